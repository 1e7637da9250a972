//! Opens the database of a data folder, or creates it if none exists.

use super::create::{create_database, new_disk_id, sync_folder};
use super::{bootstrap_marker, read, LoadedState, LogBounds, ReplicaStore, StorageError};
use super::{DATABASE_FILE, LEGACY_DATABASE_FILE, WAL_FILE};
use rusqlite::config::DbConfig;
use rusqlite::Connection;
use std::fs::File;
use std::io::ErrorKind;
use std::path::Path;

/// Pages of the write-ahead log after which SQLite checkpoints them to the database.
const CHECKPOINT_WAL_PAGES: i64 = 200;
/// Size to which the write-ahead log is truncated after a checkpoint.
const WAL_SIZE_LIMIT_BYTES: i64 = 2 * 1024 * 1024;
/// Size of SQLite's page cache.
const PAGE_CACHE_KIB: i64 = 512;

impl ReplicaStore {
    /// Opens the database and reads its content. Creates the database if none exists: with identity 0 if
    /// `is_cold_start` (a seed at the first start of the system) or if such a start was interrupted on this disk (see
    /// [`bootstrap_marker`]), else with a new random identity.
    ///
    /// Everything in the returned [`LoadedState`] is synced. After an error an existing database is unchanged.
    pub fn open(folder: &Path, is_cold_start: bool) -> Result<(Self, LoadedState), StorageError> {
        refuse_legacy_database(folder)?;
        let is_new = !database_exists(folder)?;
        if is_new {
            let is_first_disk = bootstrap_marker::create_if_bootstrapping(folder, is_cold_start)?;
            create_database(folder, if is_first_disk { 0 } else { new_disk_id() })?;
        }
        // An existing database needs this too: a process may have been killed between the renaming and the sync.
        sync_folder(folder)?;
        let db = connect(folder)?;
        let loaded = LoadedState { is_new, ..read::load(&db)? };
        // Data that a killed process wrote without syncing it must be durable before it is returned.
        File::open(folder.join(WAL_FILE))?.sync_all()?;
        bootstrap_marker::remove(folder)?;
        let log_bounds = LogBounds::of(&loaded);
        let store =
            ReplicaStore { db, log_bounds, staged: None, staging_paused: false, no_stale_chunks: false };
        Ok((store, loaded))
    }
}

fn refuse_legacy_database(folder: &Path) -> Result<(), StorageError> {
    let legacy = folder.join(LEGACY_DATABASE_FILE);
    match legacy.try_exists()? {
        true => Err(StorageError::LegacyDatabase(legacy.display().to_string())),
        false => Ok(()),
    }
}

/// Whether a database with its write-ahead log exists. An interrupted creation leaves neither of them, or only an empty
/// write-ahead log. Any other incomplete pair is refused, so that a damaged disk is never treated as a new one.
fn database_exists(folder: &Path) -> Result<bool, StorageError> {
    match (file_size(folder, DATABASE_FILE)?, file_size(folder, WAL_FILE)?) {
        (None, None | Some(0)) => Ok(false),
        (None, Some(_)) => Err(StorageError::wal_without_database()),
        (Some(_), None) => Err(StorageError::database_without_wal()),
        (Some(0), _) => Err(StorageError::EmptyDatabase),
        (Some(_), Some(_)) => Ok(true),
    }
}

fn file_size(folder: &Path, name: &str) -> std::io::Result<Option<u64>> {
    match std::fs::metadata(folder.join(name)) {
        Ok(file) => Ok(Some(file.len())),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// Opens a connection with the settings on which the crash safety of this module depends.
fn connect(folder: &Path) -> Result<Connection, StorageError> {
    let db = Connection::open(folder.join(DATABASE_FILE))?;
    // Closing must neither checkpoint nor remove the write-ahead log.
    db.set_db_config(DbConfig::SQLITE_DBCONFIG_NO_CKPT_ON_CLOSE, true)?;
    // Only one process uses the database, so the write-ahead log needs no shared memory.
    db.pragma_update(None, "locking_mode", "EXCLUSIVE")?;
    // FULL: each commit is synced.
    db.pragma_update(None, "synchronous", "FULL")?;
    db.pragma_update(None, "wal_autocheckpoint", CHECKPOINT_WAL_PAGES)?;
    db.pragma_update(None, "journal_size_limit", WAL_SIZE_LIMIT_BYTES)?;
    db.pragma_update(None, "temp_store", "MEMORY")?;
    // A negative size is in KiB, a positive one in pages.
    db.pragma_update(None, "cache_size", -PAGE_CACHE_KIB)?;
    let mode: String = db.pragma_query_value(None, "journal_mode", |row| row.get(0))?;
    match mode == "wal" {
        true => Ok(db),
        false => Err(StorageError::JournalMode(mode)),
    }
}
