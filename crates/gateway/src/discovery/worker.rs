//! A worker, as described by its heartbeats.

use serde::{Deserialize, Serialize};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

/// Lifecycle phase of one worker incarnation. Later phases order after earlier ones. The serialized names differ from the
/// variants: they must stay as they are for compatibility with stored data and with peers of other versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum WorkerPhase {
    /// The worker accepts requests.
    #[serde(rename = "Settled")]
    Serving,
    /// The worker has announced its shutdown and gets no new requests.
    #[serde(rename = "Decaying")]
    Draining,
    /// The worker's heartbeats have timed out; a later heartbeat of the same incarnation revives the worker.
    #[serde(rename = "Silent")]
    Unresponsive,
    /// The worker has departed; this phase is final for an incarnation.
    #[serde(rename = "Gone")]
    Departed,
}

/// One incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// Id of the worker, unique to this incarnation.
    pub id: Arc<str>,
    /// Name of the service to which the worker belongs.
    pub service: Arc<str>,
    /// Address on which the worker listens.
    pub address: SocketAddr,
    /// Zone in which the worker runs.
    pub zone: Arc<str>,
    /// Number of requests that the worker serves concurrently.
    pub capacity: u32,
    /// Lifecycle phase of the worker.
    pub phase: WorkerPhase,
    /// Slow start that remained when the heartbeat was sent, in milliseconds.
    pub warmup_ms: u32,
    /// Sequence number of the heartbeat that this report comes from; later heartbeats have higher numbers.
    #[serde(rename = "call_count")]
    pub heartbeat_seq: u64,
}

impl Worker {
    /// Whether the worker is serving or draining, and so neither unresponsive nor departed.
    pub(super) fn is_live(&self) -> bool {
        self.phase <= WorkerPhase::Draining
    }

    /// Whether this report replaces `other`, a report of the same incarnation. `Departed` is final. Whatever the heartbeat
    /// numbers, `Draining` replaces `Serving` and `Unresponsive`, and `Serving` never replaces `Draining`. Otherwise the
    /// later heartbeat wins and, within one heartbeat, the later phase.
    pub(super) fn supersedes(&self, other: &Worker) -> bool {
        match (other.phase, self.phase) {
            (WorkerPhase::Departed, _) => false,
            (_, WorkerPhase::Departed) => true,
            (WorkerPhase::Draining, WorkerPhase::Serving) => false,
            (WorkerPhase::Serving | WorkerPhase::Unresponsive, WorkerPhase::Draining) => true,
            _ => (self.heartbeat_seq, self.phase) > (other.heartbeat_seq, other.phase),
        }
    }

    /// Hash of the worker's id and phase.
    pub(super) fn phase_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.id, self.phase).hash(&mut hasher);
        hasher.finish()
    }
}
