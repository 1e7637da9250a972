//! Shutdowns that workers announced, as the replicated log records them.
//!
//! A worker's heartbeat may arrive seconds after the call that announced its shutdown, also at a core node that has
//! restarted since or that never heard of the worker. The record tells such a heartbeat from that of a serving worker.
//!
//! Every member applies the same entries, so all of them hold the same records and forget the same ones: neither
//! clocks nor the order in which reports arrive have a part in it.

use super::worker::{Worker, WorkerPhase};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of workers whose announcements are retained; beyond it the earliest one is forgotten. Several times the
/// workers of a large deployment, all of which may be replaced while a heartbeat is delayed. A part of the replicated
/// state machine: members with different bounds would diverge.
pub const MAX_ANNOUNCED_SHUTDOWNS: usize = 4096;

/// Phase of a shutdown that a worker announces itself. The serialized names are part of stored data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ShutdownPhase {
    /// The worker completes its requests and accepts no new ones.
    #[serde(rename = "Decaying")]
    Draining,
    /// The worker has departed.
    #[serde(rename = "Gone")]
    Departed,
}

impl From<ShutdownPhase> for WorkerPhase {
    fn from(phase: ShutdownPhase) -> Self {
        match phase {
            ShutdownPhase::Draining => WorkerPhase::Draining,
            ShutdownPhase::Departed => WorkerPhase::Departed,
        }
    }
}

/// A worker's announcement that it shuts down.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShutdownAnnouncement {
    /// Id of the worker, unique to its incarnation. No report of that worker need have arrived before.
    pub worker_id: Arc<str>,
    /// What the worker announced.
    pub phase: ShutdownPhase,
}

/// The record of one worker's latest announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ShutdownRecord {
    announcement: ShutdownAnnouncement,
    /// Index of the log entry with the announcement.
    index: u64,
}

/// The latest announcements, one for each worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<ShutdownRecord>", into = "Vec<ShutdownRecord>")]
pub struct AnnouncedShutdowns {
    records: BTreeMap<Arc<str>, ShutdownRecord>,
    /// Worker ids by the index of their record, for forgetting the earliest.
    ids_by_index: BTreeMap<u64, Arc<str>>,
}

impl AnnouncedShutdowns {
    /// Records the announcement of the log entry at `index`. An announcement of an earlier phase than the recorded one
    /// has no effect, nor has a repeated one.
    pub fn record(&mut self, index: u64, announcement: &ShutdownAnnouncement) {
        if self.index_of(announcement).is_some() {
            return;
        }
        let id = Arc::clone(&announcement.worker_id);
        let record = ShutdownRecord { announcement: announcement.clone(), index };
        if let Some(earlier) = self.records.insert(Arc::clone(&id), record) {
            self.ids_by_index.remove(&earlier.index);
        }
        self.ids_by_index.insert(index, id);
        while self.records.len() > MAX_ANNOUNCED_SHUTDOWNS {
            let Some((_, earliest)) = self.ids_by_index.pop_first() else { return };
            self.records.remove(&earliest);
        }
    }

    /// Index of the log entry that announced this phase, or a later one, of the worker's shutdown.
    pub fn index_of(&self, announcement: &ShutdownAnnouncement) -> Option<u64> {
        let record = self.records.get(&announcement.worker_id)?;
        (record.announcement.phase >= announcement.phase).then_some(record.index)
    }

    /// The worker in the later of two phases: the reported and the announced one.
    pub fn restrict(&self, worker: Worker) -> Worker {
        let Some(record) = self.records.get(&worker.id) else { return worker };
        Worker { phase: worker.phase.max(record.announcement.phase.into()), ..worker }
    }

    /// Number of workers whose announcement is retained.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no announcement is retained.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

impl From<Vec<ShutdownRecord>> for AnnouncedShutdowns {
    fn from(records: Vec<ShutdownRecord>) -> Self {
        let mut shutdowns = AnnouncedShutdowns::default();
        for record in records {
            shutdowns.record(record.index, &record.announcement);
        }
        shutdowns
    }
}

impl From<AnnouncedShutdowns> for Vec<ShutdownRecord> {
    fn from(shutdowns: AnnouncedShutdowns) -> Self {
        shutdowns.records.into_values().collect()
    }
}

#[cfg(test)]
#[path = "announced_shutdowns_tests.rs"]
mod tests;
