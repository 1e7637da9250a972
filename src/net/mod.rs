//! Network layer of the gatekeeper: the process ([`process`]), the core task that owns the decision module
//! ([`mod@core`]), and the connections to clients, nodes, the quota counter, discovery and other gatekeepers.
//!
//! The core reaches the network only through [`HttpTransport`].

pub mod attempt;
pub mod budgets;
pub mod core;
pub mod counter;
pub mod downstream;
pub mod endpoints;
pub mod fleet;
pub mod hot_restart;
pub mod operator;
pub mod outcome;
pub mod process;
pub mod report;
pub mod upstream;
pub mod zone_failover;

#[cfg(test)]
#[path = "../../tests/common/peer.rs"]
#[allow(dead_code)]
mod peer;

use self::attempt::AttemptRunner;
use self::core::{Attempt, CounterCall, Transport};
use self::counter::CounterClient;
use self::downstream::ForwardedRequest;
use bytes::Bytes;
use whinstall::HostId;

/// HTTP/1.1 implementation of the core's [`Transport`].
pub struct HttpTransport {
    /// Sends attempts to nodes.
    pub attempts: AttemptRunner,
    /// Calls the quota counter.
    pub counter: CounterClient,
}

/// Sending half of the core's message queue.
pub type CoreSender = core::Sender<HttpTransport>;

impl Transport for HttpTransport {
    type Request = ForwardedRequest;
    type Response = Bytes;

    fn start_attempt(&self, attempt: Attempt<ForwardedRequest>) {
        self.attempts.start(attempt);
    }

    fn call_counter(&self, call: CounterCall) {
        self.counter.call(call);
    }

    fn close_idle(&self, node: &HostId) {
        self.attempts.close_idle(node);
    }
}
