//! Owns the way of items from a disk into a new system: as the body of one operator's call. The disk is of a member of the
//! replicated log whose core is lost for good, or of the program before that log. It must never change that disk, nor
//! leave an item out.

use crate::configuration::{ConfigItem, ConfigState, ItemKind, ItemSet};
use crate::consensus::EntryPayload;
use crate::control_plane::decode_snapshot_config;
use crate::protocol::LogCommand;
use crate::storage::{ReplicaStore, StorageError, DATABASE_FILE, LEGACY_DATABASE_FILE, WAL_FILE};
use rusqlite::Connection;
use serde_json::{json, Map, Value};
use std::path::{Path, PathBuf};

/// Why there is nothing to print.
#[derive(Debug, displaydoc::Display)]
pub enum ExportError {
    /// the data folder: {0}
    Io(std::io::Error),
    /// the database: {0}
    Database(rusqlite::Error),
    /// what is there can't be read: {0}
    Corrupt(String),
    /// the disk of a member: {0}
    Replica(StorageError),
    /// {0} holds no disk of a core machine
    NoDisk(String),
}

impl std::error::Error for ExportError {}

impl From<std::io::Error> for ExportError {
    fn from(e: std::io::Error) -> Self {
        ExportError::Io(e)
    }
}

impl From<rusqlite::Error> for ExportError {
    fn from(e: rusqlite::Error) -> Self {
        ExportError::Database(e)
    }
}

/// A folder that goes with it.
struct Scratch(PathBuf);

impl Scratch {
    /// With copies of these files, as far as they are there.
    fn of(folder: &Path, names: &[&str]) -> Result<Self, ExportError> {
        let name = format!("whinstall-export-{}-{:x}", std::process::id(), fastrand::u64(..));
        let scratch = Scratch(std::env::temp_dir().join(name));
        std::fs::create_dir(&scratch.0)?;
        for name in names {
            if folder.join(name).try_exists()? {
                std::fs::copy(folder.join(name), scratch.0.join(name))?;
            }
        }
        Ok(scratch)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What a disk holds: its items, the dropped ones too, as a call's body.
#[derive(Debug)]
pub struct Export {
    /// The body.
    pub call: Value,
    /// What the disk is, and how far what it holds is surely committed.
    pub origin: Value,
}

impl std::fmt::Display for Export {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.call.fmt(f)
    }
}

/// Reads a copy of a disk; the program must not be running on it.
pub fn export(folder: &Path) -> Result<Export, ExportError> {
    if folder.join(LEGACY_DATABASE_FILE).try_exists()? {
        return earlier(folder);
    }
    if folder.join(DATABASE_FILE).try_exists()? {
        return member(folder);
    }
    Err(ExportError::NoDisk(folder.display().to_string()))
}

/// The disk of a member: its snapshot and all of its log. A disk alone can't tell what is committed behind the snapshot:
/// whatever was acknowledged is in the log that is furthest of most of the members.
fn member(folder: &Path) -> Result<Export, ExportError> {
    let scratch = Scratch::of(folder, &[DATABASE_FILE, WAL_FILE])?;
    let (store, held) = ReplicaStore::open(&scratch.0, false).map_err(ExportError::Replica)?;
    drop(store);
    sound(&Connection::open(scratch.0.join(DATABASE_FILE))?)?;
    let snapshot = held.raft_state.snapshot.as_ref();
    let mut state = match snapshot {
        Some(snapshot) => {
            decode_snapshot_config(&snapshot.data).map_err(|e| ExportError::Corrupt(e.to_string()))?
        }
        None => ConfigState::default(),
    };
    let behind = snapshot.map_or((0, 0), |s| (s.index, s.term));
    let mut members = snapshot.map(|s| s.voters.clone()).unwrap_or_default();
    let mut calls = 0;
    for entry in &held.raft_state.entries {
        match &entry.payload {
            EntryPayload::Command(LogCommand::Configure(order)) => {
                calls += 1;
                state.apply(entry.index, order);
            }
            EntryPayload::ConfChange(changed) => members.clone_from(changed),
            EntryPayload::Command(LogCommand::Shares(_)) | EntryPayload::TermStart => {}
        }
    }
    let last = held.raft_state.entries.last().map_or(behind, |e| (e.index, e.term));
    let mut items = ItemSet::default();
    for item in state.all_items() {
        items.merge((**item).clone());
    }
    let names: Vec<String> = members.iter().map(|m| format!("{}/{:x}", m.ip, m.disk)).collect();
    let origin = json!({
        "disk": format!("{:x}", held.disk_id),
        "members": names,
        "last_term": last.1,
        "last_index": last.0,
        "committed_up_to_at_least": behind.0,
        "calls_behind_that": calls,
        "items": state.active_items().count(),
        "dropped": state.all_items().count() - state.active_items().count(),
    });
    Ok(Export { call: import_call(&items), origin })
}

fn sound(db: &Connection) -> Result<(), ExportError> {
    let sound: String = db.query_row("PRAGMA quick_check(1)", [], |row| row.get(0))?;
    match sound.as_str() {
        "ok" => Ok(()),
        _ => Err(ExportError::Corrupt(sound)),
    }
}

/// The disk of the program before the replicated log.
fn earlier(folder: &Path) -> Result<Export, ExportError> {
    let (wal, journal) = (format!("{LEGACY_DATABASE_FILE}-wal"), format!("{LEGACY_DATABASE_FILE}-journal"));
    let scratch = Scratch::of(folder, &[LEGACY_DATABASE_FILE, &wal, &journal])?;
    let db = Connection::open(scratch.0.join(LEGACY_DATABASE_FILE))?;
    sound(&db)?;
    let mut items = ItemSet::default();
    let mut query = db.prepare("SELECT item FROM items")?;
    let mut rows = query.query([])?;
    while let Some(row) = rows.next()? {
        let blob = row.get_ref(0)?.as_blob().map_err(rusqlite::Error::from)?;
        let item: ConfigItem =
            rmp_serde::from_slice(blob).map_err(|e| ExportError::Corrupt(e.to_string()))?;
        items.merge(item);
    }
    let origin = json!({ "disk": "of the program before the replicated log", "items": items.iter().count() });
    Ok(Export { call: import_call(&items), origin })
}

/// The call that sets what stands and drops what was dropped, in the versions held.
pub fn import_call(items: &ItemSet) -> Value {
    let mut upsert = items.to_json();
    let mut remove: Map<String, Value> = Map::new();
    for kind in [ItemKind::Route, ItemKind::Tenant, ItemKind::Service, ItemKind::Saturation] {
        // A field that was sent as null can't be told from none in columns.
        if kind != ItemKind::Saturation
            && items.active_items(kind).any(|(_, body)| body.to_map().values().any(Value::is_null))
        {
            upsert[kind.set_name()] =
                items.active_items(kind).map(|(_, body)| Value::Object(body.to_map())).collect();
        }
        let dropped = items.iter().filter(|i| i.kind == kind && i.body.is_none());
        let records: Vec<Value> = dropped.map(|i| json!([i.label, format!("r{}", i.version)])).collect();
        if !records.is_empty() {
            let columns = ["label", "revision"];
            remove.insert(kind.set_name().into(), json!({ "columns": columns, "records": records }));
        }
    }
    json!({ "upsert": upsert, "remove": remove })
}
