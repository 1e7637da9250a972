//! Owns the mark on a core machine's disk that the whole system's first start began here, from before the database is
//! made until it stands. It must never be made, or go by, beside a database, nor outlive one.
//!
//! Only the very first start is told that it is (`cold_start`). A seed that is killed before its database has its name
//! comes back without that word; the mark keeps it. What it means is safe whenever it is found without a database:
//! nothing is said before the database stands, so this disk has given no vote and held no copy, and the identity 0 that it
//! takes is one that no other disk had at this address. The name alone is the mark, so it can't be torn. Lost (power
//! went before the sync), the disk is one of a machine that comes new. A disk that is lost takes its mark with it.

use std::fs::File;
use std::io::{ErrorKind, Result};
use std::path::Path;

/// The file.
pub(crate) const MARKER_FILE: &str = "replica.bootstrap";

/// Without a database in the folder: does the whole system begin here? So if this start is told so, and then the mark is
/// synced when this returns; or if the mark of an earlier one is there.
pub fn create_if_bootstrapping(folder: &Path, told: bool) -> Result<bool> {
    let mark = folder.join(MARKER_FILE);
    let begins = told || mark.try_exists()?;
    if begins {
        // Also one that is found: a process that was killed may not have synced it.
        File::create(mark)?.sync_all()?;
        File::open(folder)?.sync_all()?;
    }
    Ok(begins)
}

/// The database stands, by name and synced: the mark goes, for good.
pub fn remove(folder: &Path) -> Result<()> {
    match std::fs::remove_file(folder.join(MARKER_FILE)) {
        Ok(()) => File::open(folder)?.sync_all(),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(()),
        Err(e) => Err(e),
    }
}
