//! The bootstrap marker: a file in the data folder of a seed, present while the first start of the system is in
//! progress on this disk. The marker is created before the database and removed once the database is complete and
//! synced.
//!
//! Why it is needed: the setting `cold_start` is present only at the very first start. A seed that is killed before its
//! database is complete is restarted without `cold_start`; the marker makes this start continue the bootstrap.
//!
//! Why a marker without a database is safe to act on: nothing is sent before the database is complete, so this disk has
//! granted no vote and acknowledged no entry, and no other disk has used the identity 0 at this address.
//!
//! Faults: the file's existence is the marker and its content is not read, so a torn write can't damage it. If power is
//! lost before the marker is synced, the machine starts as one that joins. If the disk is lost, so is the marker.

use super::create::sync_folder;
use std::fs::File;
use std::io::{ErrorKind, Result};
use std::path::Path;

/// Name of the marker file in the data folder.
pub(crate) const MARKER_FILE: &str = "replica.bootstrap";

/// Whether a folder without a database belongs to a seed at the first start of the system: if `is_cold_start`, or if
/// the marker of an interrupted first start exists. If true, the marker exists and is synced on return.
pub fn create_if_bootstrapping(folder: &Path, is_cold_start: bool) -> Result<bool> {
    let marker = folder.join(MARKER_FILE);
    let is_bootstrapping = is_cold_start || marker.try_exists()?;
    if is_bootstrapping {
        // An existing marker is synced too: the process that created it may have been killed before the sync.
        File::create(marker)?.sync_all()?;
        sync_folder(folder)?;
    }
    Ok(is_bootstrapping)
}

/// Removes the marker durably. Call this only once the database is renamed to its final name and synced.
pub fn remove(folder: &Path) -> Result<()> {
    match std::fs::remove_file(folder.join(MARKER_FILE)) {
        Ok(()) => sync_folder(folder),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(()),
        Err(e) => Err(e),
    }
}
