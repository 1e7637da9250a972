//! Downstream side: accepts client connections, submits each valid request to the core as a session and writes the
//! one response to it, with actix-http's codec.
//!
//! All decisions about sessions are the core's, and no response is delayed here. An invalid request never reaches the
//! core, and a connection with an accepted request is never evicted.

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

/// Listener for clients, with the state that all its connections share.
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
    /// Creates a listener that submits sessions to `core`. `max_retry_after` is the `Retry-After` of requests that are
    /// denied because more than `max_connections` connections are open.
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

    /// Changes the serving state; no effect if [`ServingState::can_transition_to`] forbids it.
    pub fn set_state(&self, new: ServingState) {
        self.state.send_if_modified(|state| {
            let is_allowed = state.can_transition_to(&new);
            if is_allowed {
                *state = new;
            }
            is_allowed
        });
    }

    /// Current serving state.
    pub fn state(&self) -> ServingState {
        *self.state.borrow()
    }

    /// Whether each response closes its connection.
    fn is_closing(&self) -> bool {
        self.state() != ServingState::Active
    }

    /// Validates requests by `rules` from now on. Removed classes stay valid for a few seconds, for requests that
    /// clients sent before the change.
    pub fn update_rules(&self, rules: RequestRules, max_retry_after: Duration) {
        let mut current = self.rules.borrow_mut();
        *current = Rc::new(rules.replacing(&current));
        self.max_retry_after.set(max_retry_after);
    }

    /// Changes the limit on open connections. Connections beyond a lower limit are evicted one by one, as new ones are
    /// accepted.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Whether any connection has received a request at least in part and not answered it.
    pub fn is_reading(&self) -> bool {
        self.connections.is_reading()
    }

    /// Whether any session is in progress or has a response that is not written yet. A request that is received in
    /// part is not a session.
    pub fn is_busy(&self) -> bool {
        self.connections.is_busy()
    }
}
