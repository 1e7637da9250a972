//! Serving state of the gatekeeper.

use std::time::Instant;

/// Whether the gatekeeper accepts new clients. In all states other than `Active`, `/ready` answers 503, and requests
/// are served with responses that close the connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServingState {
    /// Normal service.
    Active,
    /// Standby, requested by an operator: idle connections are closed after a shorter timeout, to move clients away.
    Standby {
        /// Time at which the state was entered.
        since: Instant,
    },
    /// Shutdown after SIGTERM. Idle connections keep the normal timeout, as their clients may not have found another
    /// gatekeeper yet.
    Draining,
    /// A new process accepts connections at this address: this one accepts none and closes idle ones at once.
    HandedOver {
        /// Time at which the state was entered.
        since: Instant,
    },
}

impl ServingState {
    /// Whether the transition from this state to `new` is allowed. `Draining` and `HandedOver` cannot return to
    /// `Active` or `Standby`. A transition to the current state is not allowed, so that the time of entry is kept.
    pub fn can_transition_to(&self, new: &ServingState) -> bool {
        let is_same = std::mem::discriminant(self) == std::mem::discriminant(new);
        let is_ending = matches!(self, ServingState::Draining | ServingState::HandedOver { .. });
        let is_serving = matches!(new, ServingState::Active | ServingState::Standby { .. });
        !(is_same || is_ending && is_serving)
    }

    /// Whether another process accepts connections at this address.
    pub fn is_handed_over(&self) -> bool {
        matches!(self, ServingState::HandedOver { .. })
    }
}
