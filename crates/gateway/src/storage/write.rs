//! Writes batches: each call of [`ReplicaStore::write`] is one transaction, synced when it returns.

use super::schema::{encode, to_sql_integer};
use super::{LogBounds, ReplicaStore, StorageError, WriteBatch};
use crate::consensus::{Entry, LogWrite};
use crate::discovery::{Worker, WorkerPhase};
use crate::protocol::LogCommand;
use rusqlite::params;

/// Maximum number of stale snapshot rows that one write deletes, so that no write waits for the deletion of an entire
/// snapshot.
const STALE_ROWS_PER_WRITE: i64 = 4;

impl ReplicaStore {
    /// Writes the batches, in order, in one transaction that is synced when this returns.
    ///
    /// After an error no part of the batches is on the disk, and the same call can be repeated. Writes that would leave
    /// a gap in the log are refused, because a log with a gap can't be opened again.
    pub fn write(&mut self, batches: &[WriteBatch]) -> Result<(), StorageError> {
        self.roll_back_if_open()?;
        self.execute("BEGIN IMMEDIATE", params![])?;
        let bounds_before = self.log_bounds;
        let written = self
            .delete_stale_rows(STALE_ROWS_PER_WRITE)
            .and_then(|()| batches.iter().try_for_each(|batch| self.write_batch(batch)))
            .and_then(|()| self.execute("COMMIT", params![]));
        if written.is_err() {
            self.log_bounds = bounds_before;
            // The disk may be full: discard the staged rows, and delete them to free space for the retry.
            (self.staged, self.staging_paused, self.no_stale_chunks) = (None, true, false);
            self.roll_back_if_open()?;
            self.delete_stale_rows(i64::MAX)?;
        }
        written
    }

    /// Rolls back an open transaction. One stays open if an earlier rollback failed.
    fn roll_back_if_open(&self) -> Result<(), StorageError> {
        if !self.db.is_autocommit() {
            self.db.execute_batch("ROLLBACK")?;
        }
        Ok(())
    }

    fn write_batch(&mut self, batch: &WriteBatch) -> Result<(), StorageError> {
        for write in &batch.log_writes {
            match write {
                LogWrite::HardState { term, vote } => {
                    let vote = vote.as_ref().map(encode).transpose()?;
                    let params = params![to_sql_integer(*term)?, vote];
                    self.execute("UPDATE meta SET term = ?1, vote = ?2", params)?;
                }
                LogWrite::Append(entries) => self.append(entries)?,
                LogWrite::Snapshot { snapshot, replaces_log } => {
                    self.install_snapshot(snapshot, *replaces_log)?
                }
            }
        }
        if let Some(chunk) = batch.snapshot_chunk.as_ref().filter(|_| !self.staging_paused) {
            self.stage_chunk(chunk)?;
        }
        batch.workers.iter().try_for_each(|worker| self.write_worker(worker))
    }

    fn write_worker(&self, worker: &Worker) -> Result<(), StorageError> {
        match worker.phase {
            WorkerPhase::Serving | WorkerPhase::Draining => self.execute(
                "INSERT OR REPLACE INTO workers VALUES (?1, ?2)",
                params![&*worker.id, encode(worker)?],
            ),
            WorkerPhase::Unresponsive | WorkerPhase::Departed => {
                self.execute("DELETE FROM workers WHERE id = ?1", params![&*worker.id])
            }
        }
    }

    /// Appends consecutive entries. Existing entries from the first new index on are deleted.
    fn append(&mut self, entries: &[Entry<LogCommand>]) -> Result<(), StorageError> {
        let Some(first) = entries.first() else { return Ok(()) };
        let LogBounds { snapshot_index, last_index } = self.log_bounds;
        if first.index <= snapshot_index || first.index > last_index + 1 {
            return Err(StorageError::AppendOutOfRange { index: first.index, snapshot_index, last_index });
        }
        self.execute("DELETE FROM log WHERE idx >= ?1", params![to_sql_integer(first.index)?])?;
        for (entry, expected) in entries.iter().zip(first.index..) {
            if entry.index != expected {
                return Err(StorageError::NonConsecutiveAppend { index: entry.index, expected });
            }
            self.log_bounds.last_index = expected;
            let (index, term) = (to_sql_integer(entry.index)?, to_sql_integer(entry.term)?);
            self.execute(
                "INSERT INTO log VALUES (?1, ?2, ?3)",
                params![index, term, encode(&entry.payload)?],
            )?;
        }
        Ok(())
    }

    pub(super) fn execute(&self, sql: &str, params: impl rusqlite::Params) -> Result<(), StorageError> {
        self.db.prepare_cached(sql)?.execute(params)?;
        Ok(())
    }
}
