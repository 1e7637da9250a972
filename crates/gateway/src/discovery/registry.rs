//! The worker registry, which holds the latest report of every worker incarnation.
//!
//! Reports are ordered by heartbeat number and phase ([`Worker::supersedes`]), not by arrival, so that replicas which have
//! received the same heartbeats agree, whatever the order of arrival. The registry performs no I/O and reads no clock: the
//! caller passes the time, in seconds of a monotonic clock.

use super::worker::{Worker, WorkerPhase};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Registry entry of a worker.
#[derive(Clone, Debug)]
struct RegisteredWorker {
    worker: Worker,
    /// When the last heartbeat arrived, in seconds of the caller's clock.
    last_heard_secs: f64,
    /// When slow start ends, in seconds of the caller's clock.
    slow_start_ends_secs: f64,
}

/// Effect of a report that [`WorkerRegistry::merge`] merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The registry already holds this report or a later one; nothing changed.
    Stale,
    /// The report is a later heartbeat of an unchanged worker.
    Refreshed,
    /// The worker is new, or its phase, address or capacity changed.
    Changed,
}

/// Registry of all known workers.
#[derive(Clone, Debug, Default)]
pub struct WorkerRegistry {
    workers: BTreeMap<Arc<str>, RegisteredWorker>,
    /// Schedule for the removal of entries of unresponsive and departed workers: ids by time in milliseconds. The entries
    /// are retained until then, so that a delayed heartbeat does not register such a worker as new.
    removals: BTreeMap<u64, Vec<Arc<str>>>,
    /// XOR of [`Worker::phase_hash`] over the live workers.
    digest: u64,
}

impl WorkerRegistry {
    /// Digest of the live workers (serving or draining) and their phases, for anti-entropy. Registries with equal live
    /// workers and phases have equal digests.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the worker with this id.
    pub fn get(&self, id: &str) -> Option<&Worker> {
        self.workers.get(id).map(|w| &w.worker)
    }

    /// Iterates over all workers by id, including unresponsive and departed ones until their entries are removed.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values().map(|w| &w.worker)
    }

    /// When the slow start of a worker ends, in seconds of the caller's clock; 0 for an unknown worker.
    pub fn slow_start_ends_secs(&self, id: &str) -> f64 {
        self.workers.get(id).map_or(0.0, |w| w.slow_start_ends_secs)
    }

    /// Merges a report that arrived at `now`. The entry of an unresponsive or departed worker is retained for
    /// `retention_secs`.
    pub fn merge(&mut self, now: f64, worker: Worker, retention_secs: f64) -> MergeOutcome {
        let slow_start_ends_secs = now + f64::from(worker.warmup_ms) / 1e3;
        let id = Arc::clone(&worker.id);
        let has_ended = !worker.is_live();
        let Some(known) = self.workers.get_mut(&id) else {
            self.digest ^= Self::digest_of(&worker);
            let entry = RegisteredWorker { worker, last_heard_secs: now, slow_start_ends_secs };
            self.workers.insert(Arc::clone(&id), entry);
            if has_ended {
                self.schedule_removal(now + retention_secs, id);
            }
            return MergeOutcome::Changed;
        };
        if !worker.supersedes(&known.worker) {
            return MergeOutcome::Stale;
        }
        known.last_heard_secs = now;
        let is_unchanged = (worker.phase, worker.address, worker.capacity)
            == (known.worker.phase, known.worker.address, known.worker.capacity);
        if is_unchanged {
            known.worker.heartbeat_seq = worker.heartbeat_seq;
            return MergeOutcome::Refreshed;
        }
        self.digest ^= Self::digest_of(&known.worker) ^ Self::digest_of(&worker);
        known.worker = worker;
        known.slow_start_ends_secs = known.slow_start_ends_secs.max(slow_start_ends_secs);
        if has_ended {
            self.schedule_removal(now + retention_secs, id);
        }
        MergeOutcome::Changed
    }

    /// Records that another core node received heartbeats of this worker up to `heartbeat_seq`. Has no effect on a worker
    /// that is unknown here or no longer live; a node that holds the full report of such a worker sends that separately.
    pub fn record_heartbeat(&mut self, now: f64, id: &str, heartbeat_seq: u64) {
        let Some(known) = self.workers.get_mut(id) else { return };
        if known.worker.is_live() && heartbeat_seq > known.worker.heartbeat_seq {
            (known.worker.heartbeat_seq, known.last_heard_secs) = (heartbeat_seq, now);
        }
    }

    /// Restarts the heartbeat timeout of every worker. Must be called after this process was paused: heartbeats that it could
    /// not receive meanwhile are no evidence that workers are down.
    pub fn reset_timeouts(&mut self, now: f64) {
        self.workers.values_mut().for_each(|w| w.last_heard_secs = now);
    }

    /// Marks live workers without a heartbeat for more than `timeout_secs` as unresponsive, and returns them. Their entries
    /// are retained for `retention_secs`.
    pub fn expire(&mut self, now: f64, timeout_secs: f64, retention_secs: f64) -> Vec<Worker> {
        let timed_out =
            self.workers.values().filter(|w| w.worker.is_live() && now - w.last_heard_secs > timeout_secs);
        let timed_out: Vec<Worker> =
            timed_out.map(|w| Worker { phase: WorkerPhase::Unresponsive, ..w.worker.clone() }).collect();
        for worker in &timed_out {
            if let Some(known) = self.workers.get_mut(&worker.id) {
                self.digest ^= Self::digest_of(&known.worker);
                known.worker.phase = WorkerPhase::Unresponsive;
            }
            self.schedule_removal(now + retention_secs, Arc::clone(&worker.id));
        }
        timed_out
    }

    /// Removes the entries of unresponsive and departed workers whose retention time has passed, and returns their ids.
    pub fn remove_ended(&mut self, now: f64) -> Vec<Arc<str>> {
        let mut removed = Vec::new();
        while let Some(due) = self.removals.first_entry().filter(|e| (*e.key() as f64) < now * 1e3) {
            for id in due.remove() {
                // A worker that was revived in the meantime stays.
                if self.workers.get(&id).is_some_and(|w| !w.worker.is_live()) {
                    self.workers.remove(&id);
                    removed.push(id);
                }
            }
        }
        removed
    }

    /// Contribution of a worker to the digest; 0 for a worker that is not live.
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
