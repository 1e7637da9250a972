//! The gatekeeper on real sockets. Sockets and the core meet in [`Platform`] alone: the platform's protocol on
//! one side of it, the core's ports on the other.

pub mod attempt;
pub mod budgets;
pub mod core;
pub mod counter;
pub mod downstream;
pub mod endpoints;
pub mod fleet;
pub mod halls;
pub mod hot_restart;
pub mod operator;
pub mod outcome;
pub mod report;
pub mod upstream;

#[cfg(test)]
#[path = "../../tests/common/peer.rs"]
#[allow(dead_code)]
mod peer;

use self::core::{CounterCall, Dispatch, Ports, Queue};
use self::downstream::Forward;
use bytes::Bytes;
use whinstall::HostId;

/// The platform's HTTP as the core's way out.
pub struct Platform {
    /// Towards the nodes.
    pub dispatcher: attempt::Dispatcher,
    /// Towards the counter.
    pub counter: counter::Counter,
}

/// The queue into the core.
pub type Inputs = Queue<Platform>;

impl Ports for Platform {
    type Request = Forward;
    type Reply = Bytes;

    fn dispatch(&self, dispatch: Dispatch<Forward>) {
        self.dispatcher.begin(dispatch);
    }

    fn count(&self, call: CounterCall) {
        self.counter.call(call);
    }

    fn close_idle(&self, node: &HostId) {
        self.dispatcher.close_idle(node);
    }
}
