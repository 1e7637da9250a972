//! A worker as its heartbeats describe it.

use serde::{Deserialize, Serialize};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

/// The state of one incarnation of a worker. Later states order after earlier ones. The variants are stored on disk and
/// sent between processes under the names of their first release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum WorkerPhase {
    /// Takes requests.
    #[serde(rename = "Settled")]
    Serving,
    /// Announced its shutdown: gets no new requests.
    #[serde(rename = "Decaying")]
    Draining,
    /// Its heartbeats timed out; a later heartbeat of the same incarnation revives it.
    #[serde(rename = "Silent")]
    Unresponsive,
    /// Departed; final for an incarnation.
    #[serde(rename = "Gone")]
    Departed,
}

/// One incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// Its id, unique to this incarnation.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// Requests that it serves concurrently.
    pub capacity: u32,
    /// Its state.
    pub phase: WorkerPhase,
    /// Milliseconds of slow start that remained when the heartbeat was sent.
    pub warmup_ms: u32,
    /// Number of the heartbeat that reported this; a higher one is later.
    #[serde(rename = "call_count")]
    pub heartbeat_seq: u64,
}

impl Worker {
    /// Whether it serves or drains: neither unresponsive nor departed.
    pub(super) fn is_live(&self) -> bool {
        self.phase <= WorkerPhase::Draining
    }

    /// Whether this report is to replace `other`, of the same incarnation. `Departed` is final. Whatever the
    /// heartbeat numbers, `Draining` replaces `Serving` and `Unresponsive`, and `Serving` never replaces `Draining`.
    /// Otherwise the later heartbeat counts, and of the same heartbeat the later phase.
    pub(super) fn supersedes(&self, other: &Worker) -> bool {
        match (other.phase, self.phase) {
            (WorkerPhase::Departed, _) => false,
            (_, WorkerPhase::Departed) => true,
            (WorkerPhase::Draining, WorkerPhase::Serving) => false,
            (WorkerPhase::Serving | WorkerPhase::Unresponsive, WorkerPhase::Draining) => true,
            _ => (self.heartbeat_seq, self.phase) > (other.heartbeat_seq, other.phase),
        }
    }

    /// A hash of id and phase.
    pub(super) fn phase_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.id, self.phase).hash(&mut hasher);
        hasher.finish()
    }
}
