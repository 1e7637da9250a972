//! Schedule of discovery requests: the next request, its timeout and the backoff after failures.
//!
//! All gatekeepers of a fleet run the same schedule and often start or lose discovery at the same moment. Therefore a
//! gatekeeper requests the full list only if a watch cannot continue, and retries with random, exponential backoff.

use super::EndpointList;
use crate::net::outcome::ExchangeOutcome;
use actix_http::uri::PathAndQuery;
use std::time::Duration;

/// Path of the endpoint list at discovery.
pub(super) const LIST_PATH: &str = "/v1/endpoints";
/// Time after which discovery answers a watch request even without changes. The wait is short because an update
/// counts as delivered 2 s after it was made, even if the gatekeeper has not received it.
pub(super) const WATCH_WAIT: Duration = Duration::from_secs(5);
/// Time added to [`WATCH_WAIT`] for the timeout of a watch request.
const WATCH_SLACK: Duration = Duration::from_secs(1);
/// Timeout of a request for the full list.
pub(super) const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Upper bound of the random backoff after the first failure, doubled by each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Minimum upper bound of the initial backoff, per gatekeeper of the fleet. Limits the total request rate when all
/// gatekeepers lose discovery at once.
const BACKOFF_PER_GATEKEEPER: Duration = Duration::from_millis(60);
/// Limit of the backoff as a multiple of the initial one; [`MAX_BACKOFF`] applies instead if longer.
const MAX_BACKOFF_FACTOR: u32 = 8;
/// Limit of the backoff for small fleets, whose limit by [`MAX_BACKOFF_FACTOR`] is shorter.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Upper bound of the random delay before the first request.
const MAX_START_DELAY: Duration = Duration::from_millis(500);

/// State of the watch: the revision from which it continues, and the failures since the last list.
pub(super) struct PollSchedule {
    /// Revision of the endpoint table, if a watch can continue from it; `None` if the full list is needed.
    revision: Option<u64>,
    /// Number of failures since the last list.
    failures: u32,
    /// Number of gatekeepers in the fleet, including this one.
    replicas: u32,
    rng: fastrand::Rng,
}

impl PollSchedule {
    /// Creates a schedule whose watch continues from the revision of the configured list.
    pub(super) fn new(revision: u64, replicas: u32, seed: u64) -> Self {
        PollSchedule { revision: Some(revision), failures: 0, replicas, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Target and timeout of the next request.
    pub(super) fn next_request(&self) -> (PathAndQuery, Duration) {
        match self.revision {
            None => (PathAndQuery::from_static(LIST_PATH), LIST_TIMEOUT),
            Some(revision) => {
                let target = format!("{LIST_PATH}?after={revision}&wait_ms={}", WATCH_WAIT.as_millis());
                (
                    PathAndQuery::try_from(target).expect("a path with decimal numbers is valid"),
                    WATCH_WAIT + WATCH_SLACK,
                )
            }
        }
    }

    /// Random delay before the first request, which spreads the requests of a fleet that starts at once. The delay is
    /// short because requests fail on an outdated configured list: until the first response, a restarted gatekeeper
    /// sends to nodes that no longer exist.
    pub(super) fn start_delay(&mut self) -> Duration {
        (BACKOFF_PER_GATEKEEPER * self.replicas).min(MAX_START_DELAY).mul_f64(self.rng.f64())
    }

    /// Records a list and returns whether it may be applied. Changes with a lower revision than the current one come
    /// from another incarnation of discovery and are relative to an unknown list, so the full list is requested next.
    pub(super) fn on_list(&mut self, list: &EndpointList) -> bool {
        let is_restarted = !list.all && self.revision.is_some_and(|held| list.rev < held);
        (self.revision, self.failures) = (Some(list.rev).filter(|_| !is_restarted), 0);
        !is_restarted
    }

    /// Records a failed request and returns the backoff before the next one.
    ///
    /// After an error status the watch continues from its revision, as discovery is running. Requesting the full list
    /// instead overloads discovery: of a hundred gatekeepers that did so every 100 ms in step, all were rejected for
    /// good, as discovery handles a few hundred requests per second. After any other failure discovery may have
    /// restarted and count revisions from zero, so the full list is requested next.
    pub(super) fn on_failure(&mut self, outcome: ExchangeOutcome) -> Duration {
        if outcome != ExchangeOutcome::UnexpectedStatus {
            self.revision = None;
        }
        let initial = INITIAL_BACKOFF.max(BACKOFF_PER_GATEKEEPER * self.replicas);
        let max = MAX_BACKOFF.max(initial * MAX_BACKOFF_FACTOR);
        let backoff = initial.saturating_mul(1 << self.failures.min(8)).min(max);
        self.failures += 1;
        backoff.mul_f64(self.rng.f64())
    }

    /// Records that the address of discovery has changed. The server there counts revisions independently, so the full
    /// list is requested next.
    pub(super) fn on_moved(&mut self) {
        self.revision = None;
    }
}
