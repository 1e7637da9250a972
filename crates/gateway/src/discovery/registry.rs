//! Owns the list of workers: lives by id, what each said last, who left, who fell silent. Merging is by call count, so
//! copies that heard the same calls in any order agree. Pure; time is passed in. It must never call a worker dead on
//! the word of a machine that was itself out of touch.

use super::worker::{Worker, WorkerPhase};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A worker and when it was last heard of.
#[derive(Clone, Debug)]
struct Entry {
    worker: Worker,
    heard: f64,
    /// When it was taken to be warm.
    warm_at: f64,
}

/// What a merge did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Nothing new.
    Old,
    /// Only heard of again.
    Refreshed,
    /// Its phase, address or life is news to those who use it.
    Changed,
}

/// The workers that are known.
#[derive(Clone, Debug, Default)]
pub struct WorkerRegistry {
    map: BTreeMap<Arc<str>, Entry>,
    /// Those that fell silent or left, kept so that late calls don't revive them: ids by when to forget.
    ended: BTreeMap<u64, Vec<Arc<str>>>,
    digest: u64,
}

impl WorkerRegistry {
    /// The same where the same workers stand alike; those that ended don't count.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// One of them.
    pub fn get(&self, id: &str) -> Option<&Worker> {
        self.map.get(id).map(|e| &e.worker)
    }

    /// All of them.
    pub fn all(&self) -> impl Iterator<Item = &Worker> {
        self.map.values().map(|e| &e.worker)
    }

    /// When it is warm, in the time that was passed in.
    pub fn warm_at(&self, id: &str) -> f64 {
        self.map.get(id).map_or(0.0, |e| e.warm_at)
    }

    fn counts(worker: &Worker) -> u64 {
        if worker.phase <= WorkerPhase::Draining {
            worker.hash()
        } else {
            0
        }
    }

    /// Takes what was heard of a worker at `now` (seconds); entries of ended ones are kept for `keep`.
    pub fn merge(&mut self, now: f64, worker: Worker, keep: f64) -> MergeOutcome {
        let warm_at = now + f64::from(worker.warmup_ms) / 1e3;
        let id = Arc::clone(&worker.id);
        let Some(entry) = self.map.get_mut(&id) else {
            self.digest ^= Self::counts(&worker);
            let ended = worker.phase > WorkerPhase::Draining;
            self.map.insert(Arc::clone(&id), Entry { worker, heard: now, warm_at });
            if ended {
                self.forget_later(now + keep, id);
            }
            return MergeOutcome::Changed;
        };
        if !worker.is_after(&entry.worker) {
            return MergeOutcome::Old;
        }
        entry.heard = now;
        let same = (worker.phase, worker.address, worker.capacity)
            == (entry.worker.phase, entry.worker.address, entry.worker.capacity);
        if same {
            entry.worker.call_count = worker.call_count;
            return MergeOutcome::Refreshed;
        }
        self.digest ^= Self::counts(&entry.worker) ^ Self::counts(&worker);
        let ended = worker.phase > WorkerPhase::Draining;
        entry.worker = worker;
        entry.warm_at = entry.warm_at.max(warm_at);
        if ended {
            self.forget_later(now + keep, id);
        }
        MergeOutcome::Changed
    }

    fn forget_later(&mut self, at: f64, id: Arc<str>) {
        self.ended.entry((at * 1e3) as u64).or_default().push(id);
    }

    /// Heard of, by another core machine, up to this call. One that is unknown here, or was taken for silent, is
    /// told whole by whoever knows it.
    pub fn alive(&mut self, now: f64, id: &str, calls: u64) {
        let Some(entry) = self.map.get_mut(id) else { return };
        if entry.worker.phase <= WorkerPhase::Draining && calls > entry.worker.call_count {
            (entry.worker.call_count, entry.heard) = (calls, now);
        }
    }

    /// All were heard of just now: the machine itself was away, and nobody's silence counts.
    pub fn excuse(&mut self, now: f64) {
        self.map.values_mut().for_each(|e| e.heard = now);
    }

    /// Workers that were silent for longer than `most`: they are held as silent from now on, and returned.
    pub fn expire(&mut self, now: f64, most: f64, keep: f64) -> Vec<Worker> {
        let late =
            self.map.values().filter(|e| e.worker.phase <= WorkerPhase::Draining && now - e.heard > most);
        let late: Vec<Worker> =
            late.map(|e| Worker { phase: WorkerPhase::Unresponsive, ..e.worker.clone() }).collect();
        for worker in &late {
            if let Some(entry) = self.map.get_mut(&worker.id) {
                self.digest ^= Self::counts(&entry.worker);
                entry.worker.phase = WorkerPhase::Unresponsive;
            }
            self.forget_later(now + keep, Arc::clone(&worker.id));
        }
        late
    }

    /// Forgets those that ended long ago; returned: their ids.
    pub fn sweep(&mut self, now: f64) -> Vec<Arc<str>> {
        let mut forgotten = Vec::new();
        while let Some(first) = self.ended.first_entry().filter(|e| (*e.key() as f64) < now * 1e3) {
            for id in first.remove() {
                let ended = self.map.get(&id).is_some_and(|e| e.worker.phase > WorkerPhase::Draining);
                if ended {
                    self.map.remove(&id);
                    forgotten.push(id);
                }
            }
        }
        forgotten
    }
}
