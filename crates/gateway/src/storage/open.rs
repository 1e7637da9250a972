//! Opening the database of a data folder, or creating it where there is none.

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
/// The write-ahead log is truncated to this many bytes after a checkpoint.
const WAL_SIZE_LIMIT_BYTES: i64 = 2 * 1024 * 1024;
/// Memory that SQLite may use for pages of the database.
const PAGE_CACHE_KIB: i64 = 512;

impl ReplicaStore {
    /// Opens the database and reads what it holds. Where there is none, creates it: with identity 0 if
    /// `is_cold_start` (a seed at the first start of the whole system) or if such a start was interrupted here (see
    /// [`bootstrap_marker`]), else with an identity that no disk had before.
    ///
    /// Everything in the returned [`LoadedState`] is synced. On an error a disk that holds something is unchanged.
    pub fn open(folder: &Path, is_cold_start: bool) -> Result<(Self, LoadedState), StorageError> {
        refuse_legacy_database(folder)?;
        let is_new = !database_exists(folder)?;
        if is_new {
            let is_first_disk = bootstrap_marker::create_if_bootstrapping(folder, is_cold_start)?;
            create_database(folder, if is_first_disk { 0 } else { new_disk_id() })?;
        }
        // Also where the database was found: a process may have been killed between the renaming and this.
        sync_folder(folder)?;
        let db = connect(folder)?;
        let loaded = LoadedState { is_new, ..read::load(&db)? };
        // What a killed process wrote without syncing it must be durable before anybody hears of it.
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

/// Is there a database with its write-ahead log? Neither of them, or an empty log alone, is what an interrupted
/// creation leaves; any other half is refused, so that a damaged disk is never taken for a new one.
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

/// Connects with the settings that the module's crash-safety argument relies on.
fn connect(folder: &Path) -> Result<Connection, StorageError> {
    let db = Connection::open(folder.join(DATABASE_FILE))?;
    // Closing must neither checkpoint nor remove the write-ahead log.
    db.set_db_config(DbConfig::SQLITE_DBCONFIG_NO_CKPT_ON_CLOSE, true)?;
    // One process at a time, so the write-ahead log needs no shared memory.
    db.pragma_update(None, "locking_mode", "EXCLUSIVE")?;
    // Each commit is synced.
    db.pragma_update(None, "synchronous", "FULL")?;
    db.pragma_update(None, "wal_autocheckpoint", CHECKPOINT_WAL_PAGES)?;
    db.pragma_update(None, "journal_size_limit", WAL_SIZE_LIMIT_BYTES)?;
    db.pragma_update(None, "temp_store", "MEMORY")?;
    // Negative: in KiB, not in pages.
    db.pragma_update(None, "cache_size", -PAGE_CACHE_KIB)?;
    let mode: String = db.pragma_query_value(None, "journal_mode", |row| row.get(0))?;
    match mode == "wal" {
        true => Ok(db),
        false => Err(StorageError::JournalMode(mode)),
    }
}
