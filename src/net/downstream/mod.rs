//! The client-facing side: accepts connections, turns requests into sessions and writes the one response to each,
//! on actix-http's codec.
//!
//! It decides nothing about a session and delays no response. A malformed request never reaches the core, and a
//! connection with an accepted request on it is never evicted.

mod accept;
mod connection;
mod connection_table;
mod http_stream;
mod request;
mod serving_state;
#[cfg(test)]
mod tests;

pub use request::{ForwardedRequest, RequestRules};
pub use serving_state::ServingState;

use super::endpoints::EndpointTable;
use super::CoreSender;
use actix_http::{KeepAlive, ServiceConfig, ServiceConfigBuilder};
use connection_table::ConnectionTable;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// The listener and what all its connections share.
pub struct Listener {
    core: CoreSender,
    endpoints: Rc<EndpointTable>,
    rules: RefCell<Rc<RequestRules>>,
    max_connections: Cell<usize>,
    max_retry_after: Cell<Duration>,
    http_config: ServiceConfig,
    connections: Rc<ConnectionTable>,
    state: watch::Sender<ServingState>,
}

impl Listener {
    /// A listener that submits sessions to this core. `max_retry_after` is what it advises when it denies a request
    /// for want of connections.
    pub fn new(
        core: CoreSender,
        endpoints: Rc<EndpointTable>,
        rules: RequestRules,
        max_connections: usize,
        max_retry_after: Duration,
    ) -> Rc<Self> {
        Rc::new(Listener {
            core,
            endpoints,
            rules: RefCell::new(Rc::new(rules)),
            max_connections: Cell::new(max_connections),
            max_retry_after: Cell::new(max_retry_after),
            http_config: ServiceConfigBuilder::new().keep_alive(KeepAlive::Os).build(),
            connections: Rc::default(),
            state: watch::Sender::new(ServingState::Active),
        })
    }

    /// Enters a state, if the current one permits it ([`ServingState::can_transition_to`]).
    pub fn set_state(&self, new: ServingState) {
        self.state.send_if_modified(|state| {
            let is_permitted = state.can_transition_to(&new);
            if is_permitted {
                *state = new;
            }
            is_permitted
        });
    }

    /// The current state.
    pub fn state(&self) -> ServingState {
        *self.state.borrow()
    }

    /// Whether responses close their connections.
    fn is_closing(&self) -> bool {
        self.state() != ServingState::Active
    }

    /// Validates further requests by these rules. Classes that were removed stay valid for a short time, for the
    /// requests that are on their way.
    pub fn update_rules(&self, rules: RequestRules, max_retry_after: Duration) {
        let mut current = self.rules.borrow_mut();
        *current = Rc::new(rules.replacing(&current));
        self.max_retry_after.set(max_retry_after);
    }

    /// Changes the limit on connections; open ones beyond it are evicted as others are accepted.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// Open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Whether any request has been received in part.
    pub fn is_reading(&self) -> bool {
        self.connections.is_reading()
    }

    /// Whether any session is in progress or its response not yet written. A request received in part is not a
    /// session yet.
    pub fn is_busy(&self) -> bool {
        self.connections.is_busy()
    }
}
