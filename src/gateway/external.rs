//! Inputs of an embedder that manages the retry budget itself or knows the load of other gateways. Nothing here decides
//! on a request.

use crate::gateway::state::Gateway;
use crate::identifiers::HostId;

impl Gateway {
    /// Sets the number of retries and hedged attempts that may be sent until the next call, rounded down. This replaces
    /// the retry budget of this gateway.
    pub fn set_retry_allowance(&mut self, attempts: f64) {
        self.retry_tokens = attempts.max(0.0).floor();
    }

    /// Sets the number of hosts that are compared for an attempt, at least two. More than two are useful only if the
    /// load of other gateways is known.
    pub fn set_candidate_count(&mut self, candidates: usize) {
        self.candidate_count = candidates.max(2);
    }

    /// Sets the number of attempts that other gateways have in flight at a host.
    pub fn set_remote_in_flight(&mut self, host: &HostId, attempts: u32) {
        let mean_latency = self.mean_latency();
        if let Some(h) = self.hosts.get_mut(host) {
            h.remote_work = f64::from(attempts) * mean_latency;
        }
    }
}
