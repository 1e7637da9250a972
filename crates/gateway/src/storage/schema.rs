//! The tables of the database and how values are put into their columns. Table and column names, and the numbering of
//! snapshot rows, are on disks in service: they change only together with [`SCHEMA_VERSION`].

use super::StorageError;
use crate::consensus::Index;
use rusqlite::{params, Connection, OptionalExtension};
use serde::{de::DeserializeOwned, Serialize};
use std::ops::Range;

/// Layout of the tables, in `meta.format`.
pub(super) const SCHEMA_VERSION: i64 = 1;

/// Bytes of a snapshot in one row. A row is assembled in memory, so this bounds what a write takes beside the snapshot.
pub const SNAPSHOT_CHUNK_BYTES: usize = 64 * 1024;

/// Rows of a snapshot are numbered from its index times this, so that the rows of the next one can be written while
/// those of the current one are still there.
pub(super) const ROWS_PER_SNAPSHOT: u64 = 1 << 20;

/// `meta` holds one row: format, identity of the disk, term and vote. `snapshot` holds at most one row; its data is in
/// `snapshot_part`.
const CREATE_TABLES: &str =
    "CREATE TABLE meta (one INTEGER PRIMARY KEY, format INTEGER, disk INTEGER, term INTEGER, vote BLOB);
     CREATE TABLE log (idx INTEGER PRIMARY KEY, term INTEGER, entry BLOB);
     CREATE TABLE snapshot (one INTEGER PRIMARY KEY, idx INTEGER, term INTEGER, members BLOB, size INTEGER);
     CREATE TABLE snapshot_part (part INTEGER PRIMARY KEY, data BLOB);
     CREATE TABLE workers (id TEXT PRIMARY KEY, worker BLOB) WITHOUT ROWID;";

/// Creates the tables, with the disk's identity, in one transaction.
pub(super) fn create_tables(db: &Connection, disk_id: u64) -> Result<(), StorageError> {
    db.execute_batch("BEGIN")?;
    db.execute_batch(CREATE_TABLES)?;
    // The identity uses all 64 bits; it is read back by the same cast.
    db.execute("INSERT INTO meta VALUES (1, ?1, ?2, 0, NULL)", params![SCHEMA_VERSION, disk_id as i64])?;
    db.execute_batch("COMMIT")?;
    Ok(())
}

/// A record that is stored as MessagePack, as errors name it.
#[derive(Clone, Copy, Debug, displaydoc::Display)]
pub enum StoredRecord {
    /// the vote
    Vote,
    /// a worker
    Worker,
    /// the snapshot's members
    SnapshotMembers,
    /// entry {0}
    LogEntry(Index),
}

/// SQLite's integers are signed.
pub(super) fn to_sql_integer(number: u64) -> Result<i64, StorageError> {
    i64::try_from(number).map_err(|_| StorageError::NumberTooLarge(number))
}

pub(super) fn from_sql_integer(value: i64, column: &'static str) -> Result<u64, StorageError> {
    u64::try_from(value).map_err(|_| StorageError::NegativeNumber { column, value })
}

pub(super) fn encode(record: &impl Serialize) -> Result<Vec<u8>, StorageError> {
    rmp_serde::to_vec(record).map_err(StorageError::Encode)
}

pub(super) fn decode<T: DeserializeOwned>(blob: &[u8], record: StoredRecord) -> Result<T, StorageError> {
    rmp_serde::from_slice(blob).map_err(|source| StorageError::Decode { record, source })
}

/// Row numbers that belong to the snapshot of this index.
pub(super) fn snapshot_row_range(index: Index) -> Result<Range<i64>, StorageError> {
    let first_row =
        |index: Index| index.checked_mul(ROWS_PER_SNAPSHOT).ok_or(StorageError::IndexTooLarge(index));
    Ok(to_sql_integer(first_row(index)?)?..to_sql_integer(first_row(index + 1)?)?)
}

/// Row numbers of the snapshot that is stored, which is of this index. An early build numbered its rows from 0,
/// whatever the index.
pub(super) fn stored_snapshot_row_range(db: &Connection, index: Index) -> Result<Range<i64>, StorageError> {
    let is_unnumbered =
        db.query_row("SELECT 1 FROM snapshot_part WHERE part = 0", [], |_| Ok(())).optional()?.is_some();
    snapshot_row_range(if is_unnumbered { 0 } else { index })
}
