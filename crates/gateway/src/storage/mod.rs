//! Durable storage of a core node, in SQLite: the disk's identity, term and vote, the replicated log, its snapshot, and
//! the last known workers. One thread writes ([`ReplicaStore::spawn_writer`]) and reports each write once it is synced.
//!
//! Two guarantees: nothing is reported as written before it is synced, and an unreadable disk is refused, never treated
//! as an empty one (an empty disk may vote again in a term in which it has already voted).
//!
//! # Crash safety
//!
//! The fault model is a loss of power. Each write that was not synced may, independently, be present, missing or torn;
//! the creation, renaming or removal of a file without a sync of its folder may or may not be durable. The guarantees
//! hold under this model for the following reasons:
//!
//! - **Creation** (`create.rs`). A database is created under a temporary name, with its identity, and synced; then the
//!   empty write-ahead log is created and synced, then the folder. Only then the database is renamed to
//!   [`DATABASE_FILE`], and the folder is synced again. So a database of that name is complete and has its write-ahead
//!   log beside it, and no rollback journal ever belongs to that name. No write to a file under the temporary name has
//!   been reported, so such a file can be removed.
//! - **The write-ahead log is never removed or recreated** (no checkpoint on close, no change of the journal mode), so
//!   an old one can't reappear, and a database without one is refused.
//! - **Commits.** A commit is synced in the write-ahead log. Pages are copied to the database only after that. The
//!   write-ahead log is restarted only after the database is synced, with other salts and with its header synced first.
//!   Truncating the write-ahead log needs no sync: frames behind the end carry the previous salts.
//! - **Restart.** Data that a killed process wrote without syncing it may be present at the next start. This data and
//!   the folder are synced before the data is returned to the caller.

pub mod bootstrap_marker;
#[cfg(test)]
mod bootstrap_marker_tests;
mod create;
mod error;
mod open;
mod read;
mod schema;
mod snapshots;
#[cfg(test)]
pub(crate) mod tests;
mod write;
mod writer_thread;

pub use error::StorageError;
pub use schema::{StoredRecord, SNAPSHOT_CHUNK_BYTES};

use crate::consensus::{Index, LogWrite, PersistedState, Term};
use crate::discovery::Worker;
use crate::protocol::LogCommand;
use bytes::Bytes;
use rusqlite::Connection;
use snapshots::StagedSnapshot;

/// Name of the database in the data folder.
pub const DATABASE_FILE: &str = "replica.sqlite";
/// Name of the database's write-ahead log; SQLite derives it from that of the database.
pub const WAL_FILE: &str = "replica.sqlite-wal";
/// Name of the database of releases before the replicated log; a folder that contains it is refused.
pub const LEGACY_DATABASE_FILE: &str = "toolroom.sqlite";

/// State of the disk when it was opened.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadedState {
    /// Identity of the disk, for [`NodeId::disk`](crate::consensus::NodeId::disk). Synced before it is returned; 0 only
    /// on the seeds' disks of the first start.
    pub disk_id: u64,
    /// Whether the database was created by this opening.
    pub is_new: bool,
    /// Term, vote, snapshot and log.
    pub raft_state: PersistedState<LogCommand>,
    /// Workers as they were last known, sorted by id.
    pub workers: Vec<Worker>,
}

/// Identifies a snapshot by the last log entry that it covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotId {
    /// Index of that entry.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
}

impl From<(Index, Term)> for SnapshotId {
    fn from((index, term): (Index, Term)) -> Self {
        SnapshotId { index, term }
    }
}

/// Bytes of a snapshot that is still being encoded or received, written ahead so that installing it is a short write.
/// Staged bytes have no effect until [`LogWrite::Snapshot`] installs their snapshot; otherwise they are deleted later.
#[derive(Clone, Debug)]
pub struct SnapshotChunk {
    /// The snapshot that the bytes belong to.
    pub snapshot: SnapshotId,
    /// Offset of the first byte. The bytes before it are in earlier chunks; 0 discards these and starts over.
    pub offset: u64,
    /// The bytes; the length is a multiple of [`SNAPSHOT_CHUNK_BYTES`].
    pub data: Bytes,
}

/// Writes that reach the disk atomically: all of them or none.
#[derive(Clone, Debug, Default)]
pub struct WriteBatch {
    /// Increases from batch to batch; reported when the batch is synced.
    pub sequence: u64,
    /// Writes of the replicated log, carried out in this order.
    pub log_writes: Vec<LogWrite<LogCommand>>,
    /// Workers that changed; those that are unresponsive or departed are deleted.
    pub workers: Vec<Worker>,
    /// Bytes of a snapshot that is not complete yet.
    pub snapshot_chunk: Option<SnapshotChunk>,
}

/// First and last position of the stored log.
#[derive(Clone, Copy, Debug)]
struct LogBounds {
    /// Index of the snapshot; 0: none.
    snapshot_index: Index,
    /// Index of the last entry, or of the snapshot if no entry follows it.
    last_index: Index,
}

impl LogBounds {
    fn of(loaded: &LoadedState) -> Self {
        let snapshot_index = loaded.raft_state.snapshot.as_ref().map_or(0, |s| s.index);
        let last_index = loaded.raft_state.entries.last().map_or(snapshot_index, |e| e.index);
        LogBounds { snapshot_index, last_index }
    }
}

/// The database in a data folder, locked exclusively by this process.
pub struct ReplicaStore {
    db: Connection,
    log_bounds: LogBounds,
    staged: Option<StagedSnapshot>,
    /// Set after a failed write: the disk may be full, so nothing is staged until installing a snapshot frees space.
    staging_paused: bool,
    /// Whether `snapshot_part` is known to contain no stale row.
    no_stale_chunks: bool,
}

impl ReplicaStore {
    /// Limits the size of the database to simulate a full disk.
    #[cfg(test)]
    pub(crate) fn limit_pages(&self, pages: u32) {
        let _ = self.db.pragma_update(None, "max_page_count", pages);
    }
}
