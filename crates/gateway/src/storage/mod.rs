//! Owns what a member of the replicated log keeps on its disk, in SQLite: the disk's identity, term and vote, the log,
//! its snapshot, and workers. One thread writes; whoever waits hears once all is synced. It must never report
//! what isn't synced, and never take a disk that it can't read for an empty one.
//!
//! Why it outlives a loss of power, where writes that weren't synced are present, missing or torn each by itself, and
//! files that were made, renamed or removed without a sync of their folder are kept or lost each by itself:
//! - A database is made whole under another name, with its identity, and synced; the empty write-ahead log is made and
//!   synced, then the folder; only then the database gets its name, and the folder is synced again. So a database
//!   with its name is whole and has its log beside it, and no file of a journal ever belongs to that name. What lies
//!   under the other name was never spoken of and is thrown away.
//! - The log file is never removed and never made anew (no checkpoint at closing, no change of the journal's mode): an
//!   old one can't come back, and a database without one is refused.
//! - A commit is synced in the log. Pages go from there to the database only after that, and the log begins anew, by
//!   other salts and with its head synced first, only after the database is synced. Its cut to size is no matter: what
//!   lies behind its end has the salts of before.
//! - What a killed process wrote and did not sync is found at the next start. It is synced, with the folder, before
//!   anybody hears of it.

pub mod bootstrap_marker;
#[cfg(test)]
mod bootstrap_marker_tests;
#[cfg(test)]
pub(crate) mod tests;

use crate::consensus::{Entry, Index, LogWrite, NodeId, Snapshot, Term, VoterSet};
use crate::discovery::{Worker, WorkerPhase};
use crate::protocol::LogCommand;
use bytes::{Bytes, BytesMut};
use rusqlite::config::DbConfig;
use rusqlite::{params, Connection, OptionalExtension};
use serde::{de::DeserializeOwned, Serialize};
use std::fs::File;
use std::hash::{BuildHasher, RandomState};
use std::path::Path;
use std::sync::mpsc;
use std::time::{Duration, SystemTime};

/// The database.
pub const DATABASE_FILE: &str = "replica.sqlite";
/// Its write-ahead log, as SQLite names it.
pub const WAL_FILE: &str = "replica.sqlite-wal";
/// The database while it is made, and the journals that SQLite may put beside it.
const MAKING: [&str; 4] =
    ["replica.making", "replica.making-wal", "replica.making-journal", "replica.making-shm"];
/// The database of the program before the replicated log.
pub const LEGACY_DATABASE_FILE: &str = "toolroom.sqlite";

/// How the tables are laid out.
const FORMAT: i64 = 1;
/// Pages of the write-ahead log after which they go to the database.
const WAL_PAGES: i64 = 200;
/// The write-ahead log is cut to so many bytes after it had to grow further.
const WAL_MOST: i64 = 2 * 1024 * 1024;
/// Bytes of a snapshot in one row: rows are put together in memory.
pub const SNAPSHOT_CHUNK_BYTES: usize = 64 * 1024;
/// Rows of a snapshot are numbered from its index times this, so that those of the next one can be written beside them.
const PARTS: u64 = 1 << 20;
/// Rows of snapshots that are no more that go with one write.
const SWEEP: i64 = 4;
/// A write that the disk refused is tried again so soon.
const AGAIN: Duration = Duration::from_millis(100);
/// Every so many refusals are told.
const TOLD: u32 = 10;

/// Why the disk can't be used.
#[derive(Debug, displaydoc::Display)]
pub enum StorageError {
    /// the database: {0}
    Database(rusqlite::Error),
    /// the data folder: {0}
    DataFolder(std::io::Error),
    /// the disk holds what can't be read: {0}
    Row(String),
    /// the disk's format is {0}, of another version of this program
    UnsupportedFormat(i64),
    /// {0} is of the program before the replicated log; see `whinstall-gateway export` for how its items are taken over
    LegacyDatabase(String),
}

impl std::error::Error for StorageError {}

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

/// What the disk held at the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadedState {
    /// The disk's identity, for [`NodeId::disk`]; synced.
    pub disk_id: u64,
    /// Was it made just now?
    pub is_new: bool,
    /// The replicated log.
    pub raft_state: crate::consensus::PersistedState<LogCommand>,
    /// Workers as they were last known.
    pub workers: Vec<Worker>,
}

/// Names a snapshot by the last log entry that it covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotId {
    /// Index of that entry.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
}

impl From<(Index, Term)> for SnapshotId {
    fn from((index, term): (Index, Term)) -> Self {
        SnapshotId { index, term }
    }
}

/// Bytes of a snapshot that is still being made, or is still coming: written ahead, so that the snapshot itself is a
/// short write. They count for nothing until that is written, and are worth nothing if it never is.
#[derive(Clone, Debug)]
pub struct SnapshotChunk {
    /// The snapshot that the bytes belong to.
    pub snapshot: SnapshotId,
    /// Where these bytes begin; those before them were put ahead.
    pub offset: u64,
    /// A multiple of [`PART`] of them.
    pub data: Bytes,
}

/// Something to write.
#[derive(Clone, Debug, Default)]
pub struct WriteBatch {
    /// Its number; numbers rise.
    pub sequence: u64,
    /// Of the replicated log, in this order.
    pub log_writes: Vec<LogWrite<LogCommand>>,
    /// Workers; those that ended go.
    pub workers: Vec<Worker>,
    /// Ahead of a snapshot.
    pub snapshot_chunk: Option<SnapshotChunk>,
}

/// As SQLite counts.
fn signed(number: u64) -> Result<i64, StorageError> {
    i64::try_from(number).map_err(|_| StorageError::Row(format!("{number} is too high")))
}

fn unsigned(number: i64, what: &str) -> Result<u64, StorageError> {
    u64::try_from(number).map_err(|_| StorageError::Row(format!("{what} {number}")))
}

fn blob(record: &impl Serialize) -> Result<Vec<u8>, StorageError> {
    rmp_serde::to_vec(record).map_err(|e| StorageError::Row(e.to_string()))
}

fn read<T: DeserializeOwned>(blob: &[u8], what: &str) -> Result<T, StorageError> {
    rmp_serde::from_slice(blob).map_err(|e| StorageError::Row(format!("{what}: {e}")))
}

/// Makes what was done to names in the folder last.
fn sync(folder: &Path) -> std::io::Result<()> {
    File::open(folder)?.sync_all()
}

/// An identity that no disk had before, on any machine; never 0.
fn identity() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_nanos());
    RandomState::new().hash_one((now, std::process::id(), fastrand::u64(..))).max(1)
}

/// Makes the database with its identity. Whatever stops it midway, a database that is there is whole.
fn make(folder: &Path, disk: u64) -> Result<(), StorageError> {
    for name in MAKING {
        match std::fs::remove_file(folder.join(name)) {
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(e.into()),
            _ => {}
        }
    }
    let making = folder.join(MAKING[0]);
    let db = Connection::open(&making)?;
    db.pragma_update(None, "locking_mode", "EXCLUSIVE")?;
    db.pragma_update(None, "journal_mode", "MEMORY")?;
    db.execute_batch(
        "BEGIN;
         CREATE TABLE meta (one INTEGER PRIMARY KEY, format INTEGER, disk INTEGER, term INTEGER, vote BLOB);
         CREATE TABLE log (idx INTEGER PRIMARY KEY, term INTEGER, entry BLOB);
         CREATE TABLE snapshot (one INTEGER PRIMARY KEY, idx INTEGER, term INTEGER, members BLOB, size INTEGER);
         CREATE TABLE snapshot_part (part INTEGER PRIMARY KEY, data BLOB);
         CREATE TABLE workers (id TEXT PRIMARY KEY, worker BLOB) WITHOUT ROWID;
",
    )?;
    // The identity may be any number of 64 bits.
    db.execute("INSERT INTO meta VALUES (1, ?1, ?2, 0, NULL)", params![FORMAT, disk as i64])?;
    db.execute_batch("COMMIT")?;
    // Written to the head of the database itself, so nothing is in a write-ahead log yet.
    db.pragma_update(None, "journal_mode", "WAL")?;
    db.close().map_err(|(_, e)| e)?;
    File::open(&making)?.sync_all()?;
    File::create(folder.join(WAL_FILE))?.sync_all()?;
    sync(folder)?;
    std::fs::rename(making, folder.join(DATABASE_FILE))?;
    Ok(())
}

/// What the log reaches from and to.
#[derive(Clone, Copy, Debug)]
struct Span {
    /// Index of the snapshot; 0: none.
    behind: Index,
    /// Index of the last entry, or of the snapshot.
    last: Index,
}

/// What is there of a snapshot that is not written yet.
#[derive(Clone, Copy, Debug)]
struct Ahead {
    snapshot: SnapshotId,
    bytes: u64,
}

/// The database in a folder.
pub struct ReplicaStore {
    db: Connection,
    span: Span,
    ahead: Option<Ahead>,
    /// A write was refused: nothing is written ahead until a snapshot has made room.
    tight: bool,
    /// There may be rows of snapshots that are no more.
    swept: bool,
}

/// Numbers of the rows of a snapshot.
fn rows(index: Index) -> Result<std::ops::Range<i64>, StorageError> {
    let first = |index: Index| index.checked_mul(PARTS).ok_or(StorageError::Row(format!("index {index}")));
    Ok(signed(first(index)?)?..signed(first(index + 1)?)?)
}

impl ReplicaStore {
    /// Opens it and reads what it holds; makes it where there is none, with the identity 0 if `first` (a seed at the
    /// first start of the whole system; or one that was killed within that, see `bootstrap_mark`), else with one
    /// that was never there. All that is returned is synced. After an error nothing is changed on a disk that holds
    /// something.
    pub fn open(folder: &Path, first: bool) -> Result<(Self, LoadedState), StorageError> {
        let earlier = folder.join(LEGACY_DATABASE_FILE);
        if earlier.try_exists()? {
            return Err(StorageError::LegacyDatabase(earlier.display().to_string()));
        }
        let bytes = |name: &str| match std::fs::metadata(folder.join(name)) {
            Ok(file) => Ok(Some(file.len())),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        };
        let fresh = match (bytes(DATABASE_FILE)?, bytes(WAL_FILE)?) {
            (None, None | Some(0)) => true,
            (None, Some(_)) => return Err(StorageError::Row(format!("{WAL_FILE} without {DATABASE_FILE}"))),
            (Some(_), None) => return Err(StorageError::Row(format!("{DATABASE_FILE} without {WAL_FILE}"))),
            (Some(0), _) => return Err(StorageError::Row(format!("{DATABASE_FILE} is cut to nothing"))),
            (Some(_), Some(_)) => false,
        };
        if fresh {
            let first = bootstrap_marker::create_if_bootstrapping(folder, first)?;
            make(folder, if first { 0 } else { identity() })?;
        }
        // Also for a process that was killed between the new name and this.
        sync(folder)?;
        let db = Connection::open(folder.join(DATABASE_FILE))?;
        db.set_db_config(DbConfig::SQLITE_DBCONFIG_NO_CKPT_ON_CLOSE, true)?;
        // One process at a time, so the write-ahead log needs no shared memory; each commit is synced.
        db.pragma_update(None, "locking_mode", "EXCLUSIVE")?;
        db.pragma_update(None, "synchronous", "FULL")?;
        db.pragma_update(None, "wal_autocheckpoint", WAL_PAGES)?;
        db.pragma_update(None, "journal_size_limit", WAL_MOST)?;
        db.pragma_update(None, "temp_store", "MEMORY")?;
        db.pragma_update(None, "cache_size", -512)?;
        let mode: String = db.pragma_query_value(None, "journal_mode", |row| row.get(0))?;
        if mode != "wal" {
            return Err(StorageError::Row(format!("{DATABASE_FILE} is in journal mode {mode}")));
        }
        let held = LoadedState { is_new: fresh, ..held(&db)? };
        // What a process that was killed had written, and not synced, must last before it is spoken of.
        File::open(folder.join(WAL_FILE))?.sync_all()?;
        bootstrap_marker::remove(folder)?;
        let behind = held.raft_state.snapshot.as_ref().map_or(0, |s| s.index);
        let span = Span { behind, last: held.raft_state.entries.last().map_or(behind, |e| e.index) };
        Ok((ReplicaStore { db, span, ahead: None, tight: false, swept: false }, held))
    }

    /// Writes several puts in one transaction, synced when this returns. After an error all of it can be tried again.
    /// What would leave a log with a gap is refused: it could not be opened again.
    pub fn write(&mut self, puts: &[WriteBatch]) -> Result<(), StorageError> {
        if !self.db.is_autocommit() {
            // A roll-back that the disk refused.
            self.db.execute_batch("ROLLBACK")?;
        }
        self.execute("BEGIN IMMEDIATE", params![])?;
        let was = self.span;
        let written = self.sweep(SWEEP).and_then(|()| puts.iter().try_for_each(|put| self.put(put)));
        let written = written.and_then(|()| self.execute("COMMIT", params![]));
        if written.is_err() {
            (self.span, self.ahead, self.tight, self.swept) = (was, None, true, false);
            if !self.db.is_autocommit() {
                self.db.execute_batch("ROLLBACK")?;
            }
            // Room for when it is tried again.
            self.sweep(i64::MAX)?;
        }
        written
    }

    /// So many rows of snapshots that are no more go, or were never written whole.
    fn sweep(&mut self, most: i64) -> Result<(), StorageError> {
        if self.swept {
            return Ok(());
        }
        let (kept, ahead) = (self.kept()?, rows(self.ahead.map_or(0, |a| a.snapshot.index))?);
        let mut sweep = self.db.prepare_cached(
            "DELETE FROM snapshot_part WHERE part IN (SELECT part FROM snapshot_part
             WHERE (part < ?1 OR part >= ?2) AND (part < ?3 OR part >= ?4) LIMIT ?5)",
        )?;
        self.swept = sweep.execute(params![kept.start, kept.end, ahead.start, ahead.end, most])? == 0;
        Ok(())
    }

    /// The rows of the snapshot that stands.
    fn kept(&self) -> Result<std::ops::Range<i64>, StorageError> {
        // One that was written before rows had numbers by snapshot.
        let first =
            self.db.query_row("SELECT 1 FROM snapshot_part WHERE part = 0", [], |_| Ok(())).optional()?;
        rows(if first.is_some() { 0 } else { self.span.behind })
    }

    /// The database takes no more than so many pages; a disk that is full.
    #[cfg(test)]
    pub(crate) fn limit(&self, pages: u32) {
        let _ = self.db.pragma_update(None, "max_page_count", pages);
    }

    fn execute(&self, sql: &str, params: impl rusqlite::Params) -> Result<(), StorageError> {
        self.db.prepare_cached(sql)?.execute(params)?;
        Ok(())
    }

    fn put(&mut self, put: &WriteBatch) -> Result<(), StorageError> {
        for write in &put.log_writes {
            match write {
                LogWrite::HardState { term, vote } => {
                    let vote = vote.as_ref().map(blob).transpose()?;
                    self.execute("UPDATE meta SET term = ?1, vote = ?2", params![signed(*term)?, vote])?;
                }
                LogWrite::Append(entries) => self.append(entries)?,
                LogWrite::Snapshot { snapshot, replaces_log } => self.snapshot(snapshot, *replaces_log)?,
            }
        }
        if let Some(part) = put.snapshot_chunk.as_ref().filter(|_| !self.tight) {
            self.part(part)?;
        }
        for worker in &put.workers {
            match worker.phase {
                WorkerPhase::Serving | WorkerPhase::Draining => self.execute(
                    "INSERT OR REPLACE INTO workers VALUES (?1, ?2)",
                    params![&*worker.id, blob(worker)?],
                )?,
                WorkerPhase::Unresponsive | WorkerPhase::Departed => {
                    self.execute("DELETE FROM workers WHERE id = ?1", params![&*worker.id])?
                }
            }
        }
        Ok(())
    }

    fn append(&mut self, entries: &[Entry<LogCommand>]) -> Result<(), StorageError> {
        let Some(first) = entries.first() else { return Ok(()) };
        let Span { behind, last } = self.span;
        if first.index <= behind || first.index > last + 1 {
            return Err(StorageError::Row(format!("entry {} for a log of {behind} to {last}", first.index)));
        }
        self.execute("DELETE FROM log WHERE idx >= ?1", params![signed(first.index)?])?;
        for (entry, at) in entries.iter().zip(first.index..) {
            if entry.index != at {
                return Err(StorageError::Row(format!("entry {} in the place of {at}", entry.index)));
            }
            self.span.last = at;
            let (index, term) = (signed(entry.index)?, signed(entry.term)?);
            self.execute("INSERT INTO log VALUES (?1, ?2, ?3)", params![index, term, blob(&entry.payload)?])?;
        }
        Ok(())
    }

    fn part(&mut self, part: &SnapshotChunk) -> Result<(), StorageError> {
        // The first part begins anew, whatever is there.
        let goes_on = self.ahead.filter(|a| part.offset > 0 && a.snapshot == part.snapshot);
        let there = goes_on.map_or(0, |a| a.bytes);
        // The rows of the snapshot that stands are left alone.
        if part.offset != there
            || part.snapshot.index <= self.span.behind
            || !part.data.len().is_multiple_of(SNAPSHOT_CHUNK_BYTES)
        {
            return Ok(());
        }
        (self.swept, self.ahead) = (self.swept && goes_on.is_some(), None);
        self.parts(part.snapshot.index, there, &part.data)?;
        self.ahead = Some(Ahead { snapshot: part.snapshot, bytes: there + part.data.len() as u64 });
        Ok(())
    }

    fn parts(&self, index: Index, from: u64, data: &[u8]) -> Result<(), StorageError> {
        let first = rows(index)?.start + (from / SNAPSHOT_CHUNK_BYTES as u64) as i64;
        for (part, data) in (first..).zip(data.chunks(SNAPSHOT_CHUNK_BYTES)) {
            self.execute("INSERT OR REPLACE INTO snapshot_part VALUES (?1, ?2)", params![part, data])?;
        }
        Ok(())
    }

    fn snapshot(&mut self, snapshot: &Snapshot, whole: bool) -> Result<(), StorageError> {
        let Snapshot { index, term, voters: members, data } = snapshot;
        if *index < self.span.behind && !whole {
            return Err(StorageError::Row(format!("a snapshot of {index} after {}", self.span.behind)));
        }
        let last = if whole { 0 } else { self.span.last };
        self.span = Span { behind: *index, last: last.max(*index) };
        let ahead = self
            .ahead
            .take()
            .filter(|a| a.snapshot == (*index, *term).into() && a.bytes <= data.len() as u64);
        // What goes first makes room for what comes.
        let last = if whole { i64::MAX } else { signed(*index)? };
        self.execute("DELETE FROM log WHERE idx <= ?1", params![last])?;
        let there = ahead.map_or(0, |a| a.bytes);
        if there == 0 {
            self.execute("DELETE FROM snapshot_part", params![])?;
        }
        self.execute(
            "INSERT OR REPLACE INTO snapshot VALUES (1, ?1, ?2, ?3, ?4)",
            params![signed(*index)?, signed(*term)?, blob(members)?, data.len() as i64],
        )?;
        self.parts(*index, there, &data[there as usize..])?;
        // Of others that had this place.
        let (rows, parts) = (rows(*index)?, data.len().div_ceil(SNAPSHOT_CHUNK_BYTES) as i64);
        let more = params![rows.start + parts, rows.end];
        self.execute("DELETE FROM snapshot_part WHERE part >= ?1 AND part < ?2", more)?;
        // The others go bit by bit, one of before the numbering at once: it could be taken for this one.
        self.execute("DELETE FROM snapshot_part WHERE part < ?1", params![PARTS as i64])?;
        (self.tight, self.swept) = (false, false);
        Ok(())
    }

    /// Writes what comes, as much at a time as has come, on a thread of its own; `synced` hears of the last number.
    pub fn spawn_writer(mut self, synced: impl Fn(u64) + Send + 'static) -> mpsc::Sender<WriteBatch> {
        let (sender, puts) = mpsc::channel::<WriteBatch>();
        std::thread::spawn(move || {
            while let Ok(first) = puts.recv() {
                let batch: Vec<WriteBatch> = std::iter::once(first).chain(puts.try_iter()).collect();
                let last = batch.last().map_or(0, |p| p.sequence);
                let mut refused = 0;
                while let Err(error) = self.write(&batch) {
                    if refused % TOLD == 0 {
                        tracing::warn!(%error, refused, "the disk refuses a write; trying again");
                    }
                    refused += 1;
                    std::thread::sleep(AGAIN);
                }
                synced(last);
            }
        });
        sender
    }
}

/// Reads all that a database holds, and whether it can be so.
fn held(db: &Connection) -> Result<LoadedState, StorageError> {
    let mut found = LoadedState::default();
    type Meta = (i64, i64, i64, Option<Vec<u8>>);
    let meta: Option<Meta> = db
        .query_row("SELECT format, disk, term, vote FROM meta", [], |r| {
            Ok((r.get(0)?, r.get(1)?, r.get(2)?, r.get(3)?))
        })
        .optional()?;
    let Some((format, disk, term, vote)) = meta else {
        return Err(StorageError::Row("no identity".into()));
    };
    if format != FORMAT {
        return Err(StorageError::UnsupportedFormat(format));
    }
    found.disk_id = disk as u64;
    found.raft_state.term = unsigned(term, "term")?;
    found.raft_state.vote = vote.map(|vote| read::<NodeId>(&vote, "the vote")).transpose()?;
    found.raft_state.snapshot = snapshot(db)?;
    let behind = found.raft_state.snapshot.as_ref().map_or((0, 0), |s| (s.index, s.term));
    found.raft_state.entries = log(db, behind)?;
    let mut workers = db.prepare("SELECT worker FROM workers ORDER BY id")?;
    let mut rows = workers.query([])?;
    while let Some(row) = rows.next()? {
        found.workers.push(read(row.get_ref(0)?.as_blob().map_err(rusqlite::Error::from)?, "a worker")?);
    }
    Ok(found)
}

fn snapshot(db: &Connection) -> Result<Option<Snapshot>, StorageError> {
    type Head = (i64, i64, Vec<u8>, i64);
    let head: Option<Head> = db
        .query_row("SELECT idx, term, members, size FROM snapshot", [], |r| {
            Ok((r.get(0)?, r.get(1)?, r.get(2)?, r.get(3)?))
        })
        .optional()?;
    let Some((index, term, members, size)) = head else { return Ok(None) };
    let size = usize::try_from(size).map_err(|_| StorageError::Row(format!("a snapshot of {size} bytes")))?;
    let members: VoterSet = read(&members, "the snapshot's members")?;
    let mut data = BytesMut::with_capacity(size);
    let mut parts =
        db.prepare("SELECT part, data FROM snapshot_part WHERE part >= ?1 AND part < ?2 ORDER BY part")?;
    let first = db.query_row("SELECT 1 FROM snapshot_part WHERE part = 0", [], |_| Ok(())).optional()?;
    let own = rows(if first.is_some() { 0 } else { unsigned(index, "snapshot index")? })?;
    let mut rows = parts.query([own.start, own.end])?;
    let mut next = 0;
    while let Some(row) = rows.next()? {
        if row.get::<_, i64>(0)? != own.start + next {
            return Err(StorageError::Row(format!("part {next} of the snapshot is missing")));
        }
        data.extend_from_slice(row.get_ref(1)?.as_blob().map_err(rusqlite::Error::from)?);
        next += 1;
    }
    if data.len() != size {
        return Err(StorageError::Row(format!("{} bytes of a snapshot of {size}", data.len())));
    }
    let (index, term) = (unsigned(index, "snapshot index")?, unsigned(term, "snapshot term")?);
    Ok(Some(Snapshot { index, term, voters: members, data: data.freeze() }))
}

/// The entries behind the index and term of the snapshot.
fn log(db: &Connection, (index, term): (Index, Term)) -> Result<Vec<Entry<LogCommand>>, StorageError> {
    let mut log: Vec<Entry<LogCommand>> = Vec::new();
    let mut entries = db.prepare("SELECT idx, term, entry FROM log ORDER BY idx")?;
    let mut rows = entries.query([])?;
    let mut before = (index, term);
    while let Some(row) = rows.next()? {
        let (index, term) = (unsigned(row.get(0)?, "index")?, unsigned(row.get(1)?, "term")?);
        if index != before.0 + 1 {
            return Err(StorageError::Row(format!("entry {index} of the log comes after {}", before.0)));
        }
        if term < before.1 {
            return Err(StorageError::Row(format!("term {term} of entry {index} comes after {}", before.1)));
        }
        let body = row.get_ref(2)?.as_blob().map_err(rusqlite::Error::from)?;
        log.push(Entry { term, index, payload: read(body, &format!("entry {index}"))? });
        before = (index, term);
    }
    Ok(log)
}
