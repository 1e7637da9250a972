//! Crash-safe creation of the database: written under a temporary name, synced, then renamed.

use super::{schema, StorageError, DATABASE_FILE, WAL_FILE};
use rusqlite::Connection;
use std::fs::File;
use std::hash::{BuildHasher, RandomState};
use std::io::ErrorKind;
use std::path::Path;
use std::time::SystemTime;

/// Name of the database until its creation is complete.
const TEMPORARY_DATABASE: &str = "replica.making";
/// Files that an interrupted creation may leave: the database, and the journals that SQLite may create beside it.
const TEMPORARY_FILES: [&str; 4] =
    [TEMPORARY_DATABASE, "replica.making-wal", "replica.making-journal", "replica.making-shm"];

/// Creates the database with the disk's identity, and its empty write-ahead log. Even if this is interrupted, a
/// database named [`DATABASE_FILE`] is complete and its write-ahead log exists. The caller has to sync the folder
/// afterwards.
pub(super) fn create_database(folder: &Path, disk_id: u64) -> Result<(), StorageError> {
    remove_temporary_files(folder)?;
    let temporary = folder.join(TEMPORARY_DATABASE);
    let db = Connection::open(&temporary)?;
    db.pragma_update(None, "locking_mode", "EXCLUSIVE")?;
    db.pragma_update(None, "journal_mode", "MEMORY")?;
    schema::create_tables(&db, disk_id)?;
    // The journal mode is written to the header of the database, so the write-ahead log is still empty.
    db.pragma_update(None, "journal_mode", "WAL")?;
    db.close().map_err(|(_, e)| e)?;
    File::open(&temporary)?.sync_all()?;
    File::create(folder.join(WAL_FILE))?.sync_all()?;
    sync_folder(folder)?;
    std::fs::rename(temporary, folder.join(DATABASE_FILE))?;
    Ok(())
}

fn remove_temporary_files(folder: &Path) -> std::io::Result<()> {
    for name in TEMPORARY_FILES {
        match std::fs::remove_file(folder.join(name)) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e),
            _ => {}
        }
    }
    Ok(())
}

/// Makes the creation, renaming and removal of files in this folder durable.
pub(super) fn sync_folder(folder: &Path) -> std::io::Result<()> {
    File::open(folder)?.sync_all()
}

/// A random 64-bit identity for a new disk, practically unique among all disks. Never 0, which identifies the first
/// disks of the seeds.
pub(super) fn new_disk_id() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_nanos());
    RandomState::new().hash_one((now, std::process::id(), fastrand::u64(..))).max(1)
}
