//! Reads the content of a database, and refuses content that no correct write can have produced.

use super::schema::{decode, from_sql_integer, stored_snapshot_row_range, StoredRecord, SCHEMA_VERSION};
use super::{LoadedState, StorageError};
use crate::consensus::{Entry, Index, NodeId, Snapshot, Term, VoterSet};
use crate::discovery::Worker;
use crate::protocol::LogCommand;
use bytes::BytesMut;
use rusqlite::{Connection, OptionalExtension, Row};

/// The row of `meta`.
struct MetaRow {
    format: i64,
    disk: i64,
    term: i64,
    vote: Option<Vec<u8>>,
}

/// The row of `snapshot`.
struct SnapshotRow {
    index: i64,
    term: i64,
    members: Vec<u8>,
    size: i64,
}

/// Position of an entry in the log, or of the snapshot that precedes the log.
#[derive(Clone, Copy, Default)]
struct LogPosition {
    index: Index,
    term: Term,
}

/// Reads the complete state. [`LoadedState::is_new`] is always false.
pub(super) fn load(db: &Connection) -> Result<LoadedState, StorageError> {
    let meta = load_meta(db)?.ok_or(StorageError::MissingIdentity)?;
    if meta.format != SCHEMA_VERSION {
        return Err(StorageError::UnsupportedFormat(meta.format));
    }
    let mut loaded = LoadedState { disk_id: meta.disk as u64, ..LoadedState::default() };
    let raft_state = &mut loaded.raft_state;
    raft_state.term = from_sql_integer(meta.term, "term")?;
    raft_state.vote = meta.vote.map(|vote| decode::<NodeId>(&vote, StoredRecord::Vote)).transpose()?;
    raft_state.snapshot = load_snapshot(db)?;
    let snapshot = raft_state.snapshot.as_ref();
    let start = snapshot.map_or(LogPosition::default(), |s| LogPosition { index: s.index, term: s.term });
    raft_state.entries = load_log(db, start)?;
    loaded.workers = load_workers(db)?;
    Ok(loaded)
}

fn load_meta(db: &Connection) -> Result<Option<MetaRow>, StorageError> {
    let to_meta =
        |r: &Row| Ok(MetaRow { format: r.get(0)?, disk: r.get(1)?, term: r.get(2)?, vote: r.get(3)? });
    Ok(db.query_row("SELECT format, disk, term, vote FROM meta", [], to_meta).optional()?)
}

fn load_workers(db: &Connection) -> Result<Vec<Worker>, StorageError> {
    let mut query = db.prepare("SELECT worker FROM workers ORDER BY id")?;
    let mut rows = query.query([])?;
    let mut workers = Vec::new();
    while let Some(row) = rows.next()? {
        workers.push(decode(blob(row, 0)?, StoredRecord::Worker)?);
    }
    Ok(workers)
}

fn load_snapshot(db: &Connection) -> Result<Option<Snapshot>, StorageError> {
    let to_snapshot =
        |r: &Row| Ok(SnapshotRow { index: r.get(0)?, term: r.get(1)?, members: r.get(2)?, size: r.get(3)? });
    let query = "SELECT idx, term, members, size FROM snapshot";
    let Some(row) = db.query_row(query, [], to_snapshot).optional()? else { return Ok(None) };
    let size = usize::try_from(row.size).map_err(|_| StorageError::InvalidSnapshotSize(row.size))?;
    let members: VoterSet = decode(&row.members, StoredRecord::SnapshotMembers)?;
    let index = from_sql_integer(row.index, "snapshot index")?;
    let term = from_sql_integer(row.term, "snapshot term")?;
    let data = load_snapshot_data(db, index, size)?;
    Ok(Some(Snapshot { index, term, voters: members, data: data.freeze() }))
}

/// Joins the rows of the snapshot at `index`; fails if a row is missing or the total is not `size` bytes.
fn load_snapshot_data(db: &Connection, index: Index, size: usize) -> Result<BytesMut, StorageError> {
    let range = stored_snapshot_row_range(db, index)?;
    let mut query =
        db.prepare("SELECT part, data FROM snapshot_part WHERE part >= ?1 AND part < ?2 ORDER BY part")?;
    let mut rows = query.query([range.start, range.end])?;
    let mut data = BytesMut::with_capacity(size);
    let mut next = 0;
    while let Some(row) = rows.next()? {
        if row.get::<_, i64>(0)? != range.start + next {
            return Err(StorageError::MissingSnapshotRow(next));
        }
        data.extend_from_slice(blob(row, 1)?);
        next += 1;
    }
    match data.len() == size {
        true => Ok(data),
        false => Err(StorageError::SnapshotSizeMismatch { found: data.len(), expected: size }),
    }
}

/// Reads the entries after the snapshot; fails if their indexes are not contiguous or a term decreases.
fn load_log(db: &Connection, snapshot: LogPosition) -> Result<Vec<Entry<LogCommand>>, StorageError> {
    let mut query = db.prepare("SELECT idx, term, entry FROM log ORDER BY idx")?;
    let mut rows = query.query([])?;
    let mut log: Vec<Entry<LogCommand>> = Vec::new();
    let mut previous = snapshot;
    while let Some(row) = rows.next()? {
        let index = from_sql_integer(row.get(0)?, "index")?;
        let term = from_sql_integer(row.get(1)?, "term")?;
        if index != previous.index + 1 {
            return Err(StorageError::GapInLog { index, previous: previous.index });
        }
        if term < previous.term {
            return Err(StorageError::TermDecreases { term, index, previous: previous.term });
        }
        log.push(Entry { term, index, payload: decode(blob(row, 2)?, StoredRecord::LogEntry(index))? });
        previous = LogPosition { index, term };
    }
    Ok(log)
}

fn blob<'r>(row: &'r Row, column: usize) -> Result<&'r [u8], StorageError> {
    Ok(row.get_ref(column)?.as_blob().map_err(rusqlite::Error::from)?)
}
