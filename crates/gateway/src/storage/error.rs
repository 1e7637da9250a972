//! Errors of a core node's disk.

use super::schema::StoredRecord;
use super::{DATABASE_FILE, WAL_FILE};
use crate::consensus::{Index, Term};

/// Failure to open, read or write the database.
///
/// [`Database`](StorageError::Database) and [`DataFolder`](StorageError::DataFolder) may be temporary (the disk is
/// full, a file is locked) and can be retried. All others persist until an operator repairs or replaces the disk, or
/// are errors of the caller: [`write`](super::ReplicaStore::write) refuses data that could not be read back.
#[derive(Debug, displaydoc::Display)]
#[ignore_extra_doc_attributes]
pub enum StorageError {
    /// database error: {0}
    ///
    /// An error of SQLite.
    Database(rusqlite::Error),
    /// data folder error: {0}
    ///
    /// An error of the file system beside SQLite: creating, renaming or syncing files.
    DataFolder(std::io::Error),
    /// the disk's format is {0}, which this version of the program does not support
    UnsupportedFormat(i64),
    /// {0} is a database of a release before the replicated log; use `whinstall-gateway export` to migrate its items
    LegacyDatabase(String),
    /// corrupt data on the disk: found {present} without {missing}
    ///
    /// The database is usable only with its write-ahead log; only one of the two was copied, or one was lost.
    MissingFile {
        /// The file that is there.
        present: &'static str,
        /// The file that is not.
        missing: &'static str,
    },
    /// corrupt data on the disk: replica.sqlite is empty (0 bytes)
    EmptyDatabase,
    /// corrupt data on the disk: replica.sqlite is in journal mode {0}, expected wal
    JournalMode(String),
    /// corrupt data on the disk: no identity, table meta is empty
    MissingIdentity,
    /// corrupt data on the disk: {column} is negative: {value}
    ///
    /// All numbers are written as 0 or above, except for the disk's identity.
    NegativeNumber {
        /// Meaning of the number.
        column: &'static str,
        /// The number.
        value: i64,
    },
    /// number out of range: {0} exceeds the largest SQLite integer, 9223372036854775807
    ///
    /// SQLite's integers are signed, so 63 bits are available.
    NumberTooLarge(u64),
    /// number out of range: snapshot index {0} is too large to derive row numbers from it
    IndexTooLarge(Index),
    /// write refused: failed to encode a record: {0}
    Encode(rmp_serde::encode::Error),
    /// corrupt data on the disk: failed to decode {record}: {source}
    Decode {
        /// The record.
        record: StoredRecord,
        /// The decoder's error.
        source: rmp_serde::decode::Error,
    },
    /// corrupt data on the disk: the log is not contiguous, entry {index} follows index {previous}
    GapInLog {
        /// The entry found.
        index: Index,
        /// The entry before it, or the snapshot's index.
        previous: Index,
    },
    /// corrupt data on the disk: term {term} of entry {index} is lower than the preceding term {previous}
    TermDecreases {
        /// The entry's term.
        term: Term,
        /// The entry.
        index: Index,
        /// The term of the entry before it, or of the snapshot.
        previous: Term,
    },
    /// write refused: can't append entry {index} to a log with snapshot index {snapshot_index}, last index {last_index}
    ///
    /// The append would leave a gap, or replace entries that the snapshot covers.
    AppendOutOfRange {
        /// The first entry to append.
        index: Index,
        /// Index of the snapshot.
        snapshot_index: Index,
        /// Index of the last entry.
        last_index: Index,
    },
    /// write refused: an append contains entry {index} where entry {expected} is expected
    ///
    /// The entries of one append must be consecutive.
    NonConsecutiveAppend {
        /// The entry given.
        index: Index,
        /// The entry that should be there.
        expected: Index,
    },
    /// write refused: the snapshot at index {index} is older than the stored one at index {current}
    ///
    /// Only a snapshot that replaces the log may be older than the stored one.
    SnapshotGoesBack {
        /// The new snapshot's index.
        index: Index,
        /// Index of the stored snapshot.
        current: Index,
    },
    /// corrupt data on the disk: the snapshot's size is negative: {0} bytes
    InvalidSnapshotSize(i64),
    /// corrupt data on the disk: part {0} of the snapshot is missing
    MissingSnapshotRow(i64),
    /// corrupt data on the disk: the snapshot has {found} bytes, expected {expected}
    SnapshotSizeMismatch {
        /// Bytes in the snapshot's rows.
        found: usize,
        /// Size that is stored with the snapshot.
        expected: usize,
    },
}

impl StorageError {
    /// The database exists, but not its write-ahead log.
    pub(super) fn database_without_wal() -> Self {
        StorageError::MissingFile { present: DATABASE_FILE, missing: WAL_FILE }
    }

    /// The write-ahead log exists, but not its database.
    pub(super) fn wal_without_database() -> Self {
        StorageError::MissingFile { present: WAL_FILE, missing: DATABASE_FILE }
    }
}

impl std::error::Error for StorageError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StorageError::Database(e) => Some(e),
            StorageError::DataFolder(e) => Some(e),
            StorageError::Encode(e) => Some(e),
            StorageError::Decode { source, .. } => Some(source),
            _ => None,
        }
    }
}

impl From<rusqlite::Error> for StorageError {
    fn from(e: rusqlite::Error) -> Self {
        StorageError::Database(e)
    }
}

impl From<std::io::Error> for StorageError {
    fn from(e: std::io::Error) -> Self {
        StorageError::DataFolder(e)
    }
}
