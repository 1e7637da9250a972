//! The tables of the database and the encoding of values in their columns. Table and column names, and the numbering of
//! snapshot rows, are the format of existing disks: they change only together with [`SCHEMA_VERSION`].

use super::StorageError;
use crate::consensus::Index;
use rusqlite::{params, Connection, OptionalExtension};
use serde::{de::DeserializeOwned, Serialize};
use std::ops::Range;

/// Version of the layout of the tables, stored in `meta.format`.
pub(super) const SCHEMA_VERSION: i64 = 1;

/// Size of the part of a snapshot in one row. SQLite assembles a row in memory, so this bounds the memory that a write
/// needs in addition to the snapshot itself.
pub const SNAPSHOT_CHUNK_BYTES: usize = 64 * 1024;

/// Distance between the first row numbers of snapshots at successive indexes: the rows of a snapshot are numbered from
/// its index times this, so that those of the next snapshot can be written while the current one's still exist.
pub(super) const ROWS_PER_SNAPSHOT: u64 = 1 << 20;

/// Table `meta` has one row: format, identity of the disk, term and vote. Table `snapshot` has at most one row; the
/// data of this snapshot is in `snapshot_part`.
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
    // The identity uses all 64 bits, so it may be stored as a negative number; reading casts it back.
    db.execute("INSERT INTO meta VALUES (1, ?1, ?2, 0, NULL)", params![SCHEMA_VERSION, disk_id as i64])?;
    db.execute_batch("COMMIT")?;
    Ok(())
}

/// Kind of a record that is stored as MessagePack, for error messages.
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

/// Converts a number to an SQLite integer, which is signed; fails above 2^63 - 1.
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

/// Row numbers that belong to the snapshot at this index.
pub(super) fn snapshot_row_range(index: Index) -> Result<Range<i64>, StorageError> {
    let first_row =
        |index: Index| index.checked_mul(ROWS_PER_SNAPSHOT).ok_or(StorageError::IndexTooLarge(index));
    Ok(to_sql_integer(first_row(index)?)?..to_sql_integer(first_row(index + 1)?)?)
}

/// Row numbers of the installed snapshot, which is at this index. Early builds numbered the rows from 0 for every
/// index; a row 0 identifies such a snapshot.
pub(super) fn stored_snapshot_row_range(db: &Connection, index: Index) -> Result<Range<i64>, StorageError> {
    let is_unnumbered =
        db.query_row("SELECT 1 FROM snapshot_part WHERE part = 0", [], |_| Ok(())).optional()?.is_some();
    snapshot_row_range(if is_unnumbered { 0 } else { index })
}
