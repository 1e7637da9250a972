//! Whether the gatekeeper wants clients.

use std::time::Instant;

/// Whether the gatekeeper wants clients. In every state but `Active`, `/ready` answers 503, requests are still
/// served, and their responses close the connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServingState {
    /// Serves normally.
    Active,
    /// Told by operators to be without clients: idle connections are closed soon.
    Standby {
        /// Since when.
        since: Instant,
    },
    /// Shutting down after SIGTERM. Idle connections stay, as their clients may have nowhere else to go yet.
    Draining,
    /// A new process accepts at this address: idle connections are closed at once and none are accepted.
    HandedOver {
        /// Since when.
        since: Instant,
    },
}

impl ServingState {
    /// Whether a process may go from this state to `new`. The end of service is final, and a state that is entered
    /// again keeps the time at which it was first entered.
    pub fn can_transition_to(&self, new: &ServingState) -> bool {
        let is_same = std::mem::discriminant(self) == std::mem::discriminant(new);
        let is_ending = matches!(self, ServingState::Draining | ServingState::HandedOver { .. });
        let is_return = matches!(new, ServingState::Active | ServingState::Standby { .. });
        !(is_same || is_ending && is_return)
    }

    /// Whether another process accepts at this address.
    pub fn is_handed_over(&self) -> bool {
        matches!(self, ServingState::HandedOver { .. })
    }
}
