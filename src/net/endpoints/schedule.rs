//! What to request from discovery next, and when.
//!
//! All gatekeepers of a fleet run the same schedule and often start or fail at the same moment. So none of them may
//! request more than it lacks, or retry at a fixed interval.

use super::EndpointList;
use crate::net::outcome::ExchangeOutcome;
use actix_http::uri::PathAndQuery;
use std::time::Duration;

/// Path of discovery's list.
pub(super) const LIST_PATH: &str = "/v1/endpoints";
/// A watch request is answered after this at the latest, with or without changes. Short, as an update that is not
/// received counts as delivered 2 s after it.
pub(super) const WATCH_WAIT: Duration = Duration::from_secs(5);
/// Time beyond [`WATCH_WAIT`] after which a watch request has failed.
const WATCH_SLACK: Duration = Duration::from_secs(1);
/// Timeout of a request for the full list.
pub(super) const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Upper bound of the backoff after the first failure; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// The initial backoff is at least this for each gatekeeper of the fleet: when all of them lose discovery at once,
/// together they must not send more than it can handle.
const BACKOFF_PER_GATEKEEPER: Duration = Duration::from_millis(60);
/// The backoff grows to this many times the initial one, or to [`MAX_BACKOFF`] if that is longer.
const MAX_BACKOFF_FACTOR: u32 = 8;
/// See [`MAX_BACKOFF_FACTOR`].
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Upper bound of the delay before the first request.
const MAX_START_DELAY: Duration = Duration::from_millis(500);

/// The state of the watch: the revision it continues from, and the failures since the last response.
pub(super) struct PollSchedule {
    /// The revision held, if a watch can continue from it.
    revision: Option<u64>,
    /// Failures since the last response.
    failures: u32,
    /// Gatekeepers of the fleet, this one included.
    replicas: u32,
    rng: fastrand::Rng,
}

impl PollSchedule {
    /// Starts from the revision of a configured list.
    pub(super) fn new(revision: u64, replicas: u32, seed: u64) -> Self {
        PollSchedule { revision: Some(revision), failures: 0, replicas, rng: fastrand::Rng::with_seed(seed) }
    }

    /// The target of the next request and its timeout.
    pub(super) fn next_request(&self) -> (PathAndQuery, Duration) {
        match self.revision {
            None => (PathAndQuery::from_static(LIST_PATH), LIST_TIMEOUT),
            Some(revision) => {
                let target = format!("{LIST_PATH}?after={revision}&wait_ms={}", WATCH_WAIT.as_millis());
                (PathAndQuery::try_from(target).expect("digits make a path"), WATCH_WAIT + WATCH_SLACK)
            }
        }
    }

    /// The delay before the first request, so that a fleet that starts at once does not send it at the same moment.
    /// It is short, as an old list costs requests until the first response: the gatekeepers of a lost zone once
    /// came back and sent for seconds to nodes that were long gone.
    pub(super) fn start_delay(&mut self) -> Duration {
        (BACKOFF_PER_GATEKEEPER * self.replicas).min(MAX_START_DELAY).mul_f64(self.rng.f64())
    }

    /// Records a list and returns whether it may be applied. A lower revision than the one held comes from another
    /// incarnation of discovery, and its changes do not say what was there before them: the full list is requested
    /// instead.
    pub(super) fn on_list(&mut self, list: &EndpointList) -> bool {
        let is_restarted = !list.all && self.revision.is_some_and(|held| list.rev < held);
        (self.revision, self.failures) = (Some(list.rev).filter(|_| !is_restarted), 0);
        !is_restarted
    }

    /// Records a failed request and returns the backoff before the next. After a rejection the watch continues from
    /// its revision: discovery is alive. (A hundred gatekeepers once requested the full list every 100 ms instead,
    /// in step, and discovery, which handles a few hundred requests a second, rejected all of them for good.)
    /// Timeouts and broken connections prove nothing, and a new incarnation may count from zero: then the full list
    /// comes first.
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

    /// Discovery is at another address, where revisions are counted independently: the full list comes first.
    pub(super) fn on_moved(&mut self) {
        self.revision = None;
    }
}
