//! Graceful shutdown (drain) of an edge node, from SIGTERM to the exit of the process: which requests are still accepted,
//! and which final response unanswered requests get at the end. A request is accepted only if it can be expected to
//! complete before the drain ends, and every accepted request gets a final response.

use super::{EdgeNode, Effect};
use crate::settings::Settings;
use whinstall::RequestId;

/// Time until the platform stops routing clients to this node, in seconds: the platform checks readiness each second, and
/// stops after two failed checks.
const READINESS_LAG_SECS: f64 = 2.6;
/// Time between the end of the drain and the end of the grace period, when the process is killed; in seconds. Bounded by
/// [`EXIT_MARGIN_MAX_FRACTION`].
const EXIT_MARGIN_SECS: f64 = 0.5;
/// Upper bound on the exit margin, as a fraction of the grace period.
const EXIT_MARGIN_MAX_FRACTION: f64 = 1.0 / 6.0;
/// Multiple of its latency target that must be left for a request to be accepted after [`Drain::closes_at`]. Few requests
/// take longer, and the deadline sent to workers ends those in time.
const LATENCY_TARGETS_LEFT: f64 = 2.0;
/// Time between the deadline sent to workers and the end of the drain, in seconds, which is left for forwarding their
/// responses.
pub(super) const WORKER_HEAD_START_SECS: f64 = 0.15;
/// Retry delay for a request that is rejected during the drain, in seconds. The delay is short because another edge node
/// serves the retry.
pub(super) const RETRY_AFTER_SECS: f64 = 0.01;

/// Schedule of a drain, in seconds of the clock that is passed in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Drain {
    /// Time from which connections are not kept alive and only requests that can be expected to complete in time are
    /// accepted.
    pub closes_at: f64,
    /// Time at which all unanswered requests get their final response.
    pub ends_at: f64,
}

impl Drain {
    /// Creates the schedule of a drain that begins now.
    pub fn new(now: f64, settings: &Settings) -> Self {
        let grace_secs = settings.envelope.grace_period.as_secs_f64();
        let duration_secs = grace_secs - EXIT_MARGIN_SECS.min(grace_secs * EXIT_MARGIN_MAX_FRACTION);
        Drain { closes_at: now + READINESS_LAG_SECS.min(duration_secs / 2.0), ends_at: now + duration_secs }
    }

    /// Whether a request with this latency target is accepted, whose attempts may be dispatched for `remaining_secs`.
    pub fn accepts(&self, now: f64, latency_target_secs: f64, remaining_secs: f64) -> bool {
        let expected_secs = remaining_secs.min(latency_target_secs * LATENCY_TARGETS_LEFT);
        now < self.closes_at || expected_secs <= self.ends_at - WORKER_HEAD_START_SECS - now
    }
}

/// Counts of the requests without a final response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Unanswered {
    /// Number of requests without an attempt in flight, which wait for a quota grant or for a worker.
    pub waiting: usize,
    /// Number of requests with an attempt in flight.
    pub at_workers: usize,
    /// When the newest unanswered request was received, in seconds of the clock that is passed in.
    pub newest_received_at: Option<f64>,
}

impl EdgeNode {
    /// Begins the drain and returns its schedule: the node is no longer ready and accepts requests by this schedule. If a
    /// drain has already begun, its schedule stays.
    pub fn begin_drain(&mut self, now: f64) -> Drain {
        *self.drain.get_or_insert(Drain::new(now, &self.settings))
    }

    /// Counts the requests whose clients wait for a response.
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

    /// Answers every request, even those with an attempt in flight, because the process exits. A request that may have run
    /// gets no promise that it was not executed.
    pub fn respond_to_all(&mut self, out: &mut Vec<Effect>) {
        let pending: Vec<RequestId> = self.requests.keys().cloned().collect();
        for id in pending {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            let response = request.state.respond_now(RETRY_AFTER_SECS);
            self.settle(&id, response, out);
        }
    }
}
