//! Owns a gatekeeper's drain, from SIGTERM until its process ends: which requests are still taken, and what becomes of
//! those that have no answer by the end. It must never take a request that it could not end, nor leave one without an
//! answer.

use super::{EdgeNode, Effect};
use crate::settings::Settings;
use whinstall::RequestId;

/// The platform asks each second whether a gatekeeper is ready, and needs two misses to notice that it is not: seconds.
const NOTICE: f64 = 2.6;
/// The process ends by itself so long before it would be killed: seconds...
const MARGIN: f64 = 0.5;
/// ...but not before this part of the grace period is left.
const MARGIN_PART: f64 = 1.0 / 6.0;
/// A request is taken once the gatekeeper closes only if so many times its target are left for it: hardly any takes
/// longer, and one that does is ended by its worker in time.
const TARGETS: f64 = 2.0;
/// A worker is told to end so long before the drain does: its answer is passed on in that time.
const ANSWER_WITHIN: f64 = 0.15;
/// Another gatekeeper serves a request that is refused here: its client may come back after so long, in seconds.
pub(super) const RETRY_AFTER: f64 = 0.01;

/// The times of a drain, in seconds of the clock that is passed in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Drain {
    /// From then on connections are not kept, and a request is taken only if it can be expected to end in time.
    pub closes_at: f64,
    /// What has no answer by then gets its final one.
    pub ends_at: f64,
}

impl Drain {
    /// One that begins now.
    pub fn new(now: f64, settings: &Settings) -> Self {
        let grace = settings.envelope.grace_period.as_secs_f64();
        let lasts = grace - MARGIN.min(grace * MARGIN_PART);
        Drain { closes_at: now + NOTICE.min(lasts / 2.0), ends_at: now + lasts }
    }

    /// May a request with this target and this time left be taken?
    pub fn takes(&self, now: f64, target: f64, left: f64) -> bool {
        now < self.closes_at || left.min(target * TARGETS) <= self.ends_at - ANSWER_WITHIN - now
    }
}

/// Requests without a final answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Unanswered {
    /// Of these no attempt is at a worker: they wait for the counter or for a worker.
    pub waiting: usize,
    /// Of these an attempt is at a worker.
    pub at_workers: usize,
    /// When the newest of all was read, in seconds of the clock that is passed in.
    pub newest: Option<f64>,
}

impl EdgeNode {
    /// The process is asked to end: it is not ready any more, and serves on as the drain says.
    pub fn begin_drain(&mut self, now: f64) -> Drain {
        *self.drain.get_or_insert(Drain::new(now, &self.settings))
    }

    /// Seconds that a request which its client waits for so long has here.
    pub fn time_for(&self, now: f64, left: f64) -> f64 {
        self.drain.map_or(left, |drain| left.min(drain.ends_at - now))
    }

    /// Seconds that a worker has for it.
    pub fn work_time_for(&self, now: f64, left: f64) -> f64 {
        self.drain.map_or(left, |drain| left.min(drain.ends_at - ANSWER_WITHIN - now))
    }

    /// What is owed to clients.
    pub fn unanswered(&self) -> Unanswered {
        let mut owed = Unanswered::default();
        for request in self.requests.values().filter(|r| !r.progress.is_answered()) {
            match request.progress.is_at_worker() {
                true => owed.at_workers += 1,
                false => owed.waiting += 1,
            }
            let newest = owed.newest.map_or(request.arrived, |newest: f64| newest.max(request.arrived));
            owed.newest = Some(newest);
        }
        owed
    }

    /// The process ends: every request gets the final answer that is true of it.
    pub fn respond_to_all(&mut self, out: &mut Vec<Effect>) {
        let open: Vec<RequestId> = self.requests.keys().cloned().collect();
        for id in open {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            let answer = request.progress.abandon(RETRY_AFTER);
            self.settle(&id, answer, out);
        }
    }
}
