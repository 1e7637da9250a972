//! What an embedder may set from outside: further attempts, where a budget of its own, shared with others, rules them,
//! and what other gateways have out, where they tell. It must never decide on a request.

use crate::gateway::state::Gateway;
use crate::identifiers::HostId;

impl Gateway {
    /// Further attempts that may be sent until this is told again; fractions of one count for nothing.
    pub fn set_retry_allowance(&mut self, attempts: f64) {
        self.retries = attempts.max(0.0).floor();
    }

    /// So many candidates are compared for an attempt, two at the least: more where what others have out is known.
    pub fn set_candidate_count(&mut self, candidates: usize) {
        self.draws = candidates.max(2);
    }

    /// Attempts that other gateways have out at a host.
    pub fn set_remote_in_flight(&mut self, host: &HostId, attempts: u32) {
        let mean = self.mean_latency();
        if let Some(h) = self.hosts.get_mut(host) {
            h.elsewhere = f64::from(attempts) * mean;
        }
    }
}
