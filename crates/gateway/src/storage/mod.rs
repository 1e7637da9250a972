//! The disk of a core node, in SQLite: the disk's identity, term and vote, the replicated log, its snapshot, and the
//! workers last known. One thread writes ([`ReplicaStore::spawn_writer`]); whoever waits for a write is told once it is
//! synced.
//!
//! Two guarantees: nothing is reported as written before it is synced, and a disk that can't be read is refused, never
//! taken for an empty one (an empty disk may vote again in a term in which it has voted).
//!
//! # Crash safety
//!
//! The fault model is a loss of power. Of writes that were not synced each may, independently, be present, missing or
//! torn; a file that was created, renamed or removed without a sync of its folder may or may not be so. Why the
//! guarantees hold nevertheless:
//!
//! - **Creation** (`create.rs`). A database is created under a temporary name, with its identity, and synced; then the
//!   empty write-ahead log is created and synced, then the folder. Only then the database is renamed to
//!   [`DATABASE_FILE`], and the folder is synced again. So a database of that name is complete and has its write-ahead
//!   log beside it, and no rollback journal ever belongs to that name. Nothing was reported of a file under the
//!   temporary name, so it is removed.
//! - **The write-ahead log is never removed or recreated** (no checkpoint on close, no change of the journal mode), so
//!   an old one can't reappear, and a database without one is refused.
//! - **Commits.** A commit is synced in the write-ahead log. Pages are copied to the database only after that. The
//!   write-ahead log is restarted only after the database is synced, with other salts and with its header synced first.
//!   Its truncation needs no sync: frames behind the end carry the previous salts.
//! - **Restart.** What a killed process wrote without syncing it is found at the next start; it is synced, with the
//!   folder, before anybody is told of it.

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

/// The database's file in the data folder.
pub const DATABASE_FILE: &str = "replica.sqlite";
/// Its write-ahead log, as SQLite names it.
pub const WAL_FILE: &str = "replica.sqlite-wal";
/// The database of the program before the replicated log; a folder that has it is refused.
pub const LEGACY_DATABASE_FILE: &str = "toolroom.sqlite";

/// What the disk held when it was opened.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadedState {
    /// Identity of the disk, for [`NodeId::disk`](crate::consensus::NodeId::disk). Synced before it is returned; 0 only
    /// on the seeds' disks of the first start.
    pub disk_id: u64,
    /// Was the database created by this opening?
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
/// They count for nothing until [`LogWrite::Snapshot`] installs it, and are deleted if it never does.
#[derive(Clone, Debug)]
pub struct SnapshotChunk {
    /// The snapshot that the bytes belong to.
    pub snapshot: SnapshotId,
    /// Offset of the first byte; those before it were in earlier chunks. 0 starts over.
    pub offset: u64,
    /// A multiple of [`SNAPSHOT_CHUNK_BYTES`] of them.
    pub data: Bytes,
}

/// Something to write, all of it or nothing.
#[derive(Clone, Debug, Default)]
pub struct WriteBatch {
    /// Rises from batch to batch; reported when the batch is synced.
    pub sequence: u64,
    /// Writes of the replicated log, carried out in this order.
    pub log_writes: Vec<LogWrite<LogCommand>>,
    /// Workers that changed; those that are unresponsive or departed are deleted.
    pub workers: Vec<Worker>,
    /// Bytes of a snapshot that is not complete yet.
    pub snapshot_chunk: Option<SnapshotChunk>,
}

/// What the stored log reaches from and to.
#[derive(Clone, Copy, Debug)]
struct LogBounds {
    /// Index of the snapshot; 0: none.
    snapshot_index: Index,
    /// Index of the last entry, or of the snapshot if there is no entry behind it.
    last_index: Index,
}

impl LogBounds {
    fn of(loaded: &LoadedState) -> Self {
        let snapshot_index = loaded.raft_state.snapshot.as_ref().map_or(0, |s| s.index);
        let last_index = loaded.raft_state.entries.last().map_or(snapshot_index, |e| e.index);
        LogBounds { snapshot_index, last_index }
    }
}

/// The database in a data folder, open for this process alone.
pub struct ReplicaStore {
    db: Connection,
    log_bounds: LogBounds,
    staged: Option<StagedSnapshot>,
    /// A write failed: nothing is staged until a snapshot is installed, which makes room.
    staging_paused: bool,
    /// No row of `snapshot_part` is stale; false where that is not known.
    no_stale_chunks: bool,
}

impl ReplicaStore {
    /// Limits the size of the database, as a disk that is full does.
    #[cfg(test)]
    pub(crate) fn limit_pages(&self, pages: u32) {
        let _ = self.db.pragma_update(None, "max_page_count", pages);
    }
}
