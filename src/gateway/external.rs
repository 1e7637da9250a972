//! What an embedder may set from outside: further attempts, where a budget of its own, shared with others, rules them.
//! It must never decide on a request.

use crate::gateway::state::Gateway;

impl Gateway {
    /// Further attempts that may be sent until this is told again; fractions of one count for nothing.
    pub fn allow_further(&mut self, attempts: f64) {
        self.retries = attempts.max(0.0).floor();
    }
}
