//! Why a core's disk can't be used.

use super::schema::StoredRecord;
use super::{DATABASE_FILE, WAL_FILE};
use crate::consensus::{Index, Term};

/// Why the database can't be opened, read or written.
///
/// [`Database`](StorageError::Database) and [`DataFolder`](StorageError::DataFolder) may pass (a disk that is full, a
/// file that is locked) and can be retried. All others stay until somebody looks at the disk, or are a fault of the
/// caller ([`write`](super::ReplicaStore::write) refuses what it could not read back).
#[derive(Debug, displaydoc::Display)]
#[ignore_extra_doc_attributes]
pub enum StorageError {
    /// the database: {0}
    ///
    /// An error of SQLite.
    Database(rusqlite::Error),
    /// the data folder: {0}
    ///
    /// An error of the file system beside SQLite: creating, renaming or syncing files.
    DataFolder(std::io::Error),
    /// the disk's format is {0}, of another version of this program
    UnsupportedFormat(i64),
    /// {0} is of the program before the replicated log; see `whinstall-gateway export` for how its items are taken over
    LegacyDatabase(String),
    /// the disk holds what can't be read: {present} without {missing}
    ///
    /// Database and write-ahead log belong together: one alone was copied or lost.
    MissingFile {
        /// The file that is there.
        present: &'static str,
        /// The file that is not.
        missing: &'static str,
    },
    /// the disk holds what can't be read: replica.sqlite is cut to nothing
    EmptyDatabase,
    /// the disk holds what can't be read: replica.sqlite is in journal mode {0}
    JournalMode(String),
    /// the disk holds what can't be read: no identity
    MissingIdentity,
    /// the disk holds what can't be read: {column} {value}
    ///
    /// A negative number where only 0 and above are written.
    NegativeNumber {
        /// What the number is.
        column: &'static str,
        /// The number.
        value: i64,
    },
    /// the disk holds what can't be read: {0} is too high
    ///
    /// SQLite has 63 bits for it.
    NumberTooLarge(u64),
    /// the disk holds what can't be read: index {0}
    ///
    /// Too large to number a snapshot's rows by it.
    IndexTooLarge(Index),
    /// the disk holds what can't be read: {0}
    ///
    /// A record can't be encoded.
    Encode(rmp_serde::encode::Error),
    /// the disk holds what can't be read: {record}: {source}
    Decode {
        /// Which record.
        record: StoredRecord,
        /// What is wrong with it.
        source: rmp_serde::decode::Error,
    },
    /// the disk holds what can't be read: entry {index} of the log comes after {previous}
    ///
    /// Found on the disk: the log has a gap.
    GapInLog {
        /// The entry found.
        index: Index,
        /// The entry before it, or the snapshot's index.
        previous: Index,
    },
    /// the disk holds what can't be read: term {term} of entry {index} comes after {previous}
    TermDecreases {
        /// The entry's term.
        term: Term,
        /// The entry.
        index: Index,
        /// The term of the entry before it, or of the snapshot.
        previous: Term,
    },
    /// the disk holds what can't be read: entry {index} for a log of {snapshot_index} to {last_index}
    ///
    /// Refused at writing: the append would leave a gap, or reach into the snapshot.
    AppendOutOfRange {
        /// The first entry to append.
        index: Index,
        /// Index of the snapshot.
        snapshot_index: Index,
        /// Index of the last entry.
        last_index: Index,
    },
    /// the disk holds what can't be read: entry {index} in the place of {expected}
    ///
    /// Refused at writing: the entries of one append are not consecutive.
    NonConsecutiveAppend {
        /// The entry given.
        index: Index,
        /// The entry that should be there.
        expected: Index,
    },
    /// the disk holds what can't be read: a snapshot of {index} after {current}
    ///
    /// Refused at writing: it is older than the snapshot that is stored, and does not replace the log.
    SnapshotGoesBack {
        /// The new snapshot's index.
        index: Index,
        /// Index of the stored one.
        current: Index,
    },
    /// the disk holds what can't be read: a snapshot of {0} bytes
    InvalidSnapshotSize(i64),
    /// the disk holds what can't be read: part {0} of the snapshot is missing
    MissingSnapshotRow(i64),
    /// the disk holds what can't be read: {found} bytes of a snapshot of {expected}
    SnapshotSizeMismatch {
        /// Bytes in its rows.
        found: usize,
        /// Bytes that it should have.
        expected: usize,
    },
}

impl StorageError {
    /// Only one of the two files is there.
    pub(super) fn database_without_wal() -> Self {
        StorageError::MissingFile { present: DATABASE_FILE, missing: WAL_FILE }
    }

    /// Only one of the two files is there.
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
