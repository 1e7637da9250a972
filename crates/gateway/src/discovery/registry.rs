//! The worker registry: the latest report of every worker incarnation.
//!
//! Which of two reports of a worker is later goes by heartbeat number and phase ([`Worker::supersedes`]), not by when they
//! arrive, so replicas that received the same heartbeats agree, in whatever order these came. Pure: the caller passes the
//! time, in seconds of its own clock.

use super::worker::{Worker, WorkerPhase};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A worker and when it was last heard from.
#[derive(Clone, Debug)]
struct RegisteredWorker {
    worker: Worker,
    last_heard_secs: f64,
    slow_start_ends_secs: f64,
}

/// What [`WorkerRegistry::merge`] did with a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The registry holds the same or a later report.
    Stale,
    /// Another heartbeat of an unchanged worker.
    Refreshed,
    /// A new worker, or its phase, address or capacity changed.
    Changed,
}

/// The workers that are known.
#[derive(Clone, Debug, Default)]
pub struct WorkerRegistry {
    workers: BTreeMap<Arc<str>, RegisteredWorker>,
    /// When entries of unresponsive and departed workers are removed: ids by time in milliseconds. They are kept until
    /// then so that a delayed heartbeat does not revive them.
    removals: BTreeMap<u64, Vec<Arc<str>>>,
    digest: u64,
}

impl WorkerRegistry {
    /// A digest of the live workers (serving or draining) and their phases, for anti-entropy: equal where they are
    /// equal.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The worker of this id.
    pub fn get(&self, id: &str) -> Option<&Worker> {
        self.workers.get(id).map(|w| &w.worker)
    }

    /// All workers, by id; with those that are unresponsive or departed until their entries are removed.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values().map(|w| &w.worker)
    }

    /// When a worker's slow start ends, in seconds of the caller's clock; 0 for an unknown one.
    pub fn slow_start_ends_secs(&self, id: &str) -> f64 {
        self.workers.get(id).map_or(0.0, |w| w.slow_start_ends_secs)
    }

    /// Merges a report that arrived at `now`; the entry of an unresponsive or departed worker is kept for `keep_secs`.
    pub fn merge(&mut self, now: f64, worker: Worker, keep_secs: f64) -> MergeOutcome {
        let slow_start_ends_secs = now + f64::from(worker.warmup_ms) / 1e3;
        let id = Arc::clone(&worker.id);
        let ended = !worker.is_live();
        let Some(known) = self.workers.get_mut(&id) else {
            self.digest ^= Self::digest_of(&worker);
            let entry = RegisteredWorker { worker, last_heard_secs: now, slow_start_ends_secs };
            self.workers.insert(Arc::clone(&id), entry);
            if ended {
                self.schedule_removal(now + keep_secs, id);
            }
            return MergeOutcome::Changed;
        };
        if !worker.supersedes(&known.worker) {
            return MergeOutcome::Stale;
        }
        known.last_heard_secs = now;
        let unchanged = (worker.phase, worker.address, worker.capacity)
            == (known.worker.phase, known.worker.address, known.worker.capacity);
        if unchanged {
            known.worker.heartbeat_seq = worker.heartbeat_seq;
            return MergeOutcome::Refreshed;
        }
        self.digest ^= Self::digest_of(&known.worker) ^ Self::digest_of(&worker);
        known.worker = worker;
        known.slow_start_ends_secs = known.slow_start_ends_secs.max(slow_start_ends_secs);
        if ended {
            self.schedule_removal(now + keep_secs, id);
        }
        MergeOutcome::Changed
    }

    /// Another core node received heartbeats of this worker up to `heartbeat_seq`. Ignored for a worker that is unknown
    /// here or no longer live: its full report follows from a node that has it.
    pub fn record_heartbeat(&mut self, now: f64, id: &str, heartbeat_seq: u64) {
        let Some(known) = self.workers.get_mut(id) else { return };
        if known.worker.is_live() && heartbeat_seq > known.worker.heartbeat_seq {
            (known.worker.heartbeat_seq, known.last_heard_secs) = (heartbeat_seq, now);
        }
    }

    /// Counts every worker as heard from now: this process was paused, so its own silence proves nothing about them.
    pub fn reset_timeouts(&mut self, now: f64) {
        self.workers.values_mut().for_each(|w| w.last_heard_secs = now);
    }

    /// Marks live workers that were not heard from for more than `timeout_secs` as unresponsive, and returns them;
    /// their entries are kept for `keep_secs`.
    pub fn expire(&mut self, now: f64, timeout_secs: f64, keep_secs: f64) -> Vec<Worker> {
        let timed_out =
            self.workers.values().filter(|w| w.worker.is_live() && now - w.last_heard_secs > timeout_secs);
        let timed_out: Vec<Worker> =
            timed_out.map(|w| Worker { phase: WorkerPhase::Unresponsive, ..w.worker.clone() }).collect();
        for worker in &timed_out {
            if let Some(known) = self.workers.get_mut(&worker.id) {
                self.digest ^= Self::digest_of(&known.worker);
                known.worker.phase = WorkerPhase::Unresponsive;
            }
            self.schedule_removal(now + keep_secs, Arc::clone(&worker.id));
        }
        timed_out
    }

    /// Removes the entries of unresponsive and departed workers whose time is over, and returns their ids.
    pub fn remove_ended(&mut self, now: f64) -> Vec<Arc<str>> {
        let mut removed = Vec::new();
        while let Some(due) = self.removals.first_entry().filter(|e| (*e.key() as f64) < now * 1e3) {
            for id in due.remove() {
                // One that was revived since stays.
                if self.workers.get(&id).is_some_and(|w| !w.worker.is_live()) {
                    self.workers.remove(&id);
                    removed.push(id);
                }
            }
        }
        removed
    }

    /// A worker's part in the digest: none once it is no longer live.
    fn digest_of(worker: &Worker) -> u64 {
        if worker.is_live() {
            worker.phase_hash()
        } else {
            0
        }
    }

    fn schedule_removal(&mut self, at_secs: f64, id: Arc<str>) {
        self.removals.entry((at_secs * 1e3) as u64).or_default().push(id);
    }
}
