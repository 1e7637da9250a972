//! Graceful shutdown of an edge node, from SIGTERM to the exit of its process: which requests are still accepted, and
//! how those that are unanswered at its end are answered. A request is accepted only if it can be expected to end in
//! time, and none is left without a response.

use super::{EdgeNode, Effect};
use crate::settings::Settings;
use whinstall::RequestId;

/// Time until the platform stops sending clients here, in seconds: it checks readiness each second, and two checks must
/// fail.
const READINESS_LAG_SECS: f64 = 2.6;
/// The process exits so long before it would be killed, in seconds...
const EXIT_MARGIN_SECS: f64 = 0.5;
/// ...or this part of the grace period, if that is less.
const EXIT_MARGIN_MAX_FRACTION: f64 = 1.0 / 6.0;
/// After `closes_at` a request is accepted only if so many times its latency target are left: few requests take longer,
/// and those that do are ended by their workers in time.
const LATENCY_TARGETS_LEFT: f64 = 2.0;
/// Workers are told to respond so long before the drain ends, in seconds, so that their responses can be passed on.
pub(super) const WORKER_HEAD_START_SECS: f64 = 0.15;
/// Retry delay for a request that is rejected here, in seconds: another edge node serves it.
pub(super) const RETRY_AFTER_SECS: f64 = 0.01;

/// The times of a drain, in seconds of the clock that is passed in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Drain {
    /// From then on connections are not kept alive, and only requests that can be expected to end in time are accepted.
    pub closes_at: f64,
    /// Requests that are unanswered then get their final response.
    pub ends_at: f64,
}

impl Drain {
    /// A drain that begins now.
    pub fn new(now: f64, settings: &Settings) -> Self {
        let grace_secs = settings.envelope.grace_period.as_secs_f64();
        let duration_secs = grace_secs - EXIT_MARGIN_SECS.min(grace_secs * EXIT_MARGIN_MAX_FRACTION);
        Drain { closes_at: now + READINESS_LAG_SECS.min(duration_secs / 2.0), ends_at: now + duration_secs }
    }

    /// Whether a request with this latency target and so much time left is accepted.
    pub fn accepts(&self, now: f64, latency_target_secs: f64, remaining_secs: f64) -> bool {
        let expected_secs = remaining_secs.min(latency_target_secs * LATENCY_TARGETS_LEFT);
        now < self.closes_at || expected_secs <= self.ends_at - WORKER_HEAD_START_SECS - now
    }
}

/// Requests without a final response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Unanswered {
    /// Number of those without an attempt in flight: they wait for a quota grant or for a worker.
    pub waiting: usize,
    /// Number of those with an attempt in flight.
    pub at_workers: usize,
    /// When the newest of all was received, in seconds of the clock that is passed in.
    pub newest_received_at: Option<f64>,
}

impl EdgeNode {
    /// Begins the drain: the node is no longer ready, and serves as the returned times say. A drain that has begun keeps
    /// its times.
    pub fn begin_drain(&mut self, now: f64) -> Drain {
        *self.drain.get_or_insert(Drain::new(now, &self.settings))
    }

    /// Requests whose clients wait for a response.
    pub fn unanswered(&self) -> Unanswered {
        let mut unanswered = Unanswered::default();
        for request in self.requests.values().filter(|r| !r.state.is_answered()) {
            match request.state.is_in_flight() {
                true => unanswered.at_workers += 1,
                false => unanswered.waiting += 1,
            }
            let received_at = request.received_at;
            let newest =
                unanswered.newest_received_at.map_or(received_at, |newest: f64| newest.max(received_at));
            unanswered.newest_received_at = Some(newest);
        }
        unanswered
    }

    /// The process exits: answers every request, also those with an attempt in flight.
    pub fn respond_to_all(&mut self, out: &mut Vec<Effect>) {
        let pending: Vec<RequestId> = self.requests.keys().cloned().collect();
        for id in pending {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            let response = request.state.respond_now(RETRY_AFTER_SECS);
            self.settle(&id, response, out);
        }
    }
}
