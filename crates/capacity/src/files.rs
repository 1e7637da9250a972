//! Disk usage of a core machine by content (log, snapshot, workers), read from its database after the process has
//! ended.

use super::arrays::serialize_as_array;
use rusqlite::Connection;
use serde::Serialize;
use std::path::Path;
use whinstall_gateway::storage::DATABASE_FILE;

/// Rows of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rows {
    /// Number of rows.
    pub count: u64,
    /// Their bytes.
    pub bytes: u64,
}

serialize_as_array!(Rows { count, bytes });

/// Content of the database of a core machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct DatabaseUsage {
    /// Entries of the log.
    pub log: Rows,
    /// Bytes of the snapshot.
    pub snapshot: u64,
    /// Workers.
    pub workers: Rows,
    /// Pages of the database that hold nothing now: bytes.
    pub free: u64,
}

fn parts(folder: &Path) -> rusqlite::Result<DatabaseUsage> {
    let db = Connection::open(folder.join(DATABASE_FILE))?;
    db.pragma_update(None, "locking_mode", "EXCLUSIVE")?;
    let pair = |sql: &str| db.query_row(sql, [], |row| Ok((row.get::<_, i64>(0)?, row.get::<_, i64>(1)?)));
    let rows = |(count, bytes): (i64, i64)| Rows { count: count.max(0) as u64, bytes: bytes.max(0) as u64 };
    let pragma = |name: &str| db.pragma_query_value(None, name, |row| row.get::<_, i64>(0));
    Ok(DatabaseUsage {
        log: rows(pair("SELECT count(*), coalesce(sum(length(entry)), 0) FROM log")?),
        snapshot: rows(pair("SELECT count(*), coalesce(sum(length(data)), 0) FROM snapshot_part")?).bytes,
        workers: rows(pair("SELECT count(*), coalesce(sum(length(id) + length(worker)), 0) FROM workers")?),
        free: (pragma("freelist_count")? * pragma("page_size")?).max(0) as u64,
    })
}

/// Reads the database in a folder; an error if it cannot be read.
pub fn read(folder: &Path) -> Result<DatabaseUsage, String> {
    parts(folder).map_err(|e| format!("{}: {e}", folder.display()))
}
