//! Snapshots on the disk. A large snapshot is staged: written in chunks ahead of the write that installs it, so that
//! the installation is short and log entries never wait for megabytes of snapshot data.
//!
//! Staged rows are in the row range of their own snapshot (see [`snapshot_row_range`]) and have no effect until
//! [`LogWrite::Snapshot`](crate::consensus::LogWrite::Snapshot) installs it: loading reads only rows in the range of
//! the installed snapshot. Rows of snapshots that were replaced or never installed are stale; each write deletes a few.

use super::schema::{encode, snapshot_row_range, stored_snapshot_row_range, to_sql_integer};
use super::schema::{ROWS_PER_SNAPSHOT, SNAPSHOT_CHUNK_BYTES};
use super::{LogBounds, ReplicaStore, SnapshotChunk, SnapshotId, StorageError};
use crate::consensus::{Index, Snapshot};
use rusqlite::params;

/// The part of a snapshot that is on the disk before its installation.
#[derive(Clone, Copy, Debug)]
pub(super) struct StagedSnapshot {
    snapshot: SnapshotId,
    /// Bytes staged so far, from the start; a multiple of [`SNAPSHOT_CHUNK_BYTES`].
    bytes: u64,
}

impl ReplicaStore {
    /// Stages a chunk. A chunk that does not continue the staged bytes is ignored: staging is only an optimization, and
    /// the installation writes all bytes that are not staged.
    pub(super) fn stage_chunk(&mut self, chunk: &SnapshotChunk) -> Result<(), StorageError> {
        // A chunk at offset 0 starts over and discards the bytes staged before.
        let continued = self.staged.filter(|s| chunk.offset > 0 && s.snapshot == chunk.snapshot);
        let staged_bytes = continued.map_or(0, |s| s.bytes);
        let index = chunk.snapshot.index;
        // The rows of the installed snapshot are never overwritten.
        if chunk.offset != staged_bytes
            || index <= self.log_bounds.snapshot_index
            || !chunk.data.len().is_multiple_of(SNAPSHOT_CHUNK_BYTES)
        {
            return Ok(());
        }
        // Rows that were staged before are stale unless this chunk continues them.
        self.no_stale_chunks &= continued.is_some();
        self.staged = None;
        self.insert_rows(index, staged_bytes, &chunk.data)?;
        let bytes = staged_bytes + chunk.data.len() as u64;
        self.staged = Some(StagedSnapshot { snapshot: chunk.snapshot, bytes });
        Ok(())
    }

    /// Installs a snapshot: deletes the log up to the snapshot's index (all of it if `replaces_log`), and writes the
    /// bytes that are not staged.
    pub(super) fn install_snapshot(
        &mut self,
        snapshot: &Snapshot,
        replaces_log: bool,
    ) -> Result<(), StorageError> {
        let Snapshot { index, term, voters: members, data } = snapshot;
        let current = self.log_bounds.snapshot_index;
        if *index < current && !replaces_log {
            return Err(StorageError::SnapshotGoesBack { index: *index, current });
        }
        let kept_last = if replaces_log { 0 } else { self.log_bounds.last_index };
        self.log_bounds = LogBounds { snapshot_index: *index, last_index: kept_last.max(*index) };
        let id = SnapshotId { index: *index, term: *term };
        let staged = self.staged.take().filter(|s| s.snapshot == id && s.bytes <= data.len() as u64);
        let staged_bytes = staged.map_or(0, |s| s.bytes);
        // Deletions come first, to free space for the rows that are written.
        let last_deleted = if replaces_log { i64::MAX } else { to_sql_integer(*index)? };
        self.execute("DELETE FROM log WHERE idx <= ?1", params![last_deleted])?;
        if staged_bytes == 0 {
            self.execute("DELETE FROM snapshot_part", params![])?;
        }
        self.execute(
            "INSERT OR REPLACE INTO snapshot VALUES (1, ?1, ?2, ?3, ?4)",
            params![to_sql_integer(*index)?, to_sql_integer(*term)?, encode(members)?, data.len() as i64],
        )?;
        self.insert_rows(*index, staged_bytes, &data[staged_bytes as usize..])?;
        self.delete_overlapping_rows(*index, data.len())?;
        (self.staging_paused, self.no_stale_chunks) = (false, false);
        Ok(())
    }

    /// Writes bytes of a snapshot as rows; `offset`, a multiple of [`SNAPSHOT_CHUNK_BYTES`], is that of the first byte.
    fn insert_rows(&self, index: Index, offset: u64, data: &[u8]) -> Result<(), StorageError> {
        let first = snapshot_row_range(index)?.start + (offset / SNAPSHOT_CHUNK_BYTES as u64) as i64;
        for (row, data) in (first..).zip(data.chunks(SNAPSHOT_CHUNK_BYTES)) {
            self.execute("INSERT OR REPLACE INTO snapshot_part VALUES (?1, ?2)", params![row, data])?;
        }
        Ok(())
    }

    /// Deletes the rows that loading would mistake for rows of the installed snapshot: rows of its range after its end
    /// (of an earlier, longer snapshot at the same index), and rows numbered from 0 (written by early builds).
    fn delete_overlapping_rows(&self, index: Index, size: usize) -> Result<(), StorageError> {
        let range = snapshot_row_range(index)?;
        let end = range.start + size.div_ceil(SNAPSHOT_CHUNK_BYTES) as i64;
        self.execute("DELETE FROM snapshot_part WHERE part >= ?1 AND part < ?2", params![end, range.end])?;
        self.execute("DELETE FROM snapshot_part WHERE part < ?1", params![ROWS_PER_SNAPSHOT as i64])
    }

    /// Deletes at most `max_rows` rows that belong neither to the installed snapshot nor to the staged one.
    pub(super) fn delete_stale_rows(&mut self, max_rows: i64) -> Result<(), StorageError> {
        if self.no_stale_chunks {
            return Ok(());
        }
        let installed = stored_snapshot_row_range(&self.db, self.log_bounds.snapshot_index)?;
        let staged = snapshot_row_range(self.staged.map_or(0, |s| s.snapshot.index))?;
        let mut delete = self.db.prepare_cached(
            "DELETE FROM snapshot_part WHERE part IN (SELECT part FROM snapshot_part
             WHERE (part < ?1 OR part >= ?2) AND (part < ?3 OR part >= ?4) LIMIT ?5)",
        )?;
        let params = params![installed.start, installed.end, staged.start, staged.end, max_rows];
        self.no_stale_chunks = delete.execute(params)? == 0;
        Ok(())
    }
}
