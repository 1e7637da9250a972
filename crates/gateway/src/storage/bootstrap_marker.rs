//! A file in the data folder that marks it as one on which the whole system's first start began. It exists from before
//! the database is created until the database stands; it is never created beside a database and never outlives one.
//!
//! Why it is needed: only the very first start is told so (`cold_start`). A seed that is killed before its database has
//! its name is restarted without `cold_start`; the marker keeps that fact.
//!
//! Why it is safe wherever it is found without a database: nothing is sent before the database stands, so this disk has
//! given no vote and acknowledged no entry, and no other disk has used the identity 0 at this address.
//!
//! Faults: the name alone is the marker, so it can't be torn. If power is lost before it is synced, the machine starts
//! as one that joins. If the disk is lost, the marker is lost with it.

use super::create::sync_folder;
use std::fs::File;
use std::io::{ErrorKind, Result};
use std::path::Path;

/// The marker's file in the data folder.
pub(crate) const MARKER_FILE: &str = "replica.bootstrap";

/// For a folder without a database: does the whole system start here for the first time? True if this start is told so
/// (`is_cold_start`) or if the marker of an interrupted one is there; the marker exists and is synced on return then.
pub fn create_if_bootstrapping(folder: &Path, is_cold_start: bool) -> Result<bool> {
    let marker = folder.join(MARKER_FILE);
    let is_bootstrapping = is_cold_start || marker.try_exists()?;
    if is_bootstrapping {
        // Also one that is found: a process that was killed may not have synced it.
        File::create(marker)?.sync_all()?;
        sync_folder(folder)?;
    }
    Ok(is_bootstrapping)
}

/// Removes the marker durably; to be called once the database has its name and is synced.
pub fn remove(folder: &Path) -> Result<()> {
    match std::fs::remove_file(folder.join(MARKER_FILE)) {
        Ok(()) => sync_folder(folder),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(()),
        Err(e) => Err(e),
    }
}
