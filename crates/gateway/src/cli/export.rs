//! `export`: converts the items on a disk to the body of one configuration call that a new system can import. The disk
//! belongs to a member of a permanently lost core, or to a release before the replicated log. The command works on a copy
//! of the disk and exports every item, including removed ones.

use super::CommandError;
use crate::configuration::{ConfigItem, ConfigState, ItemKind, ItemSet};
use crate::consensus::EntryPayload;
use crate::control_plane::decode_snapshot_config;
use crate::protocol::LogCommand;
use crate::storage::{ReplicaStore, StorageError, DATABASE_FILE, LEGACY_DATABASE_FILE, WAL_FILE};
use rusqlite::Connection;
use serde_json::{json, Map, Value};
use std::path::{Path, PathBuf};

/// Name of a removed tenant that stands for those whose names are unknown, so that a system that imports the call keeps
/// requiring credentials.
const UNKNOWN_TENANT: &str = "removed tenants of unknown names";

/// Failure to export a disk. Nothing on the disk was changed.
#[derive(Debug, displaydoc::Display)]
pub enum ExportError {
    /// failed to copy the data folder: {0}
    Io(std::io::Error),
    /// failed to read the database: {0}
    Database(rusqlite::Error),
    /// corrupt data on the disk: {0}
    Corrupt(String),
    /// failed to open the disk of a member: {0}
    Replica(StorageError),
    /// {0} contains neither replica.sqlite nor toolroom.sqlite
    NoDisk(String),
}

impl std::error::Error for ExportError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ExportError::Io(error) => Some(error),
            ExportError::Database(error) => Some(error),
            ExportError::Replica(error) => Some(error),
            ExportError::Corrupt(_) | ExportError::NoDisk(_) => None,
        }
    }
}

impl From<std::io::Error> for ExportError {
    fn from(error: std::io::Error) -> Self {
        ExportError::Io(error)
    }
}

impl From<rusqlite::Error> for ExportError {
    fn from(error: rusqlite::Error) -> Self {
        ExportError::Database(error)
    }
}

/// A temporary folder, which is removed on drop.
struct TemporaryCopy(PathBuf);

impl TemporaryCopy {
    /// Copies the named files, as far as they exist, to a new temporary folder.
    fn of(folder: &Path, names: &[&str]) -> Result<Self, ExportError> {
        let name = format!("whinstall-export-{}-{:x}", std::process::id(), fastrand::u64(..));
        let copy = TemporaryCopy(std::env::temp_dir().join(name));
        std::fs::create_dir(&copy.0)?;
        for name in names {
            if folder.join(name).try_exists()? {
                std::fs::copy(folder.join(name), copy.0.join(name))?;
            }
        }
        Ok(copy)
    }
}

impl Drop for TemporaryCopy {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The exported items of a disk.
#[derive(Debug)]
pub struct Export {
    /// The body of the configuration call.
    pub call: Value,
    /// Description of the disk, with the index up to which its entries are known to be committed.
    pub origin: Value,
}

impl std::fmt::Display for Export {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.call.fmt(f)
    }
}

/// Runs the command: prints the call or writes it to the file `out`, and prints the origin to standard error.
pub(super) fn run(data: Option<String>, out: Option<String>) -> Result<(), CommandError> {
    let data = data.ok_or(CommandError::MissingDataFolder)?;
    let export = match export(data.as_ref()) {
        Ok(export) => export,
        Err(error) => return Err(CommandError::Export(data, error)),
    };
    eprintln!("{}", export.origin);
    match out {
        None => println!("{export}"),
        Some(out) => {
            if let Err(error) = std::fs::write(&out, export.to_string()) {
                return Err(CommandError::File(out, error));
            }
        }
    }
    Ok(())
}

/// Exports a copy of the disk in `folder`. No process may use the disk meanwhile; otherwise the copy could be
/// inconsistent.
pub fn export(folder: &Path) -> Result<Export, ExportError> {
    if folder.join(LEGACY_DATABASE_FILE).try_exists()? {
        return export_legacy(folder);
    }
    if folder.join(DATABASE_FILE).try_exists()? {
        return export_member(folder);
    }
    Err(ExportError::NoDisk(folder.display().to_string()))
}

/// Exports the disk of a member: the snapshot and the complete log. A single disk does not show which entries after the
/// snapshot are committed, so all of them are applied. Every acknowledged entry is in the most up-to-date log of any
/// majority of the members.
fn export_member(folder: &Path) -> Result<Export, ExportError> {
    let copy = TemporaryCopy::of(folder, &[DATABASE_FILE, WAL_FILE])?;
    let (store, stored) = ReplicaStore::open(&copy.0, false).map_err(ExportError::Replica)?;
    drop(store);
    check_integrity(&Connection::open(copy.0.join(DATABASE_FILE))?)?;
    let snapshot = stored.raft_state.snapshot.as_ref();
    let mut state = match snapshot {
        Some(snapshot) => {
            decode_snapshot_config(&snapshot.data).map_err(|e| ExportError::Corrupt(e.to_string()))?
        }
        None => ConfigState::default(),
    };
    let (snapshot_index, snapshot_term) = snapshot.map_or((0, 0), |s| (s.index, s.term));
    let mut members = snapshot.map(|s| s.voters.clone()).unwrap_or_default();
    let mut calls_after_snapshot = 0;
    for entry in &stored.raft_state.entries {
        match &entry.payload {
            EntryPayload::Command(LogCommand::Configure(change)) => {
                calls_after_snapshot += 1;
                state.apply(entry.index, change);
            }
            EntryPayload::Command(LogCommand::ConfigureAndRecordRemovals(change)) => {
                calls_after_snapshot += 1;
                state.record_removals();
                state.apply(entry.index, change);
            }
            EntryPayload::ConfChange(changed) => members.clone_from(changed),
            EntryPayload::Command(LogCommand::Shares(_) | LogCommand::Shutdown(_))
            | EntryPayload::TermStart => {}
        }
    }
    let last = stored.raft_state.entries.last();
    let mut items = ItemSet::default();
    for item in state.all_items() {
        items.merge((**item).clone());
    }
    let has_tenants = items.iter().any(|item| item.kind == ItemKind::Tenant);
    if state.has_had_tenants() && !has_tenants {
        // All tenants were removed so long ago that their names are unknown.
        items.merge(ConfigItem { label: UNKNOWN_TENANT.into(), ..ConfigItem::unnamed_removed_tenant() });
    }
    let names: Vec<String> = members.iter().map(|m| format!("{}/{:x}", m.ip, m.disk)).collect();
    let origin = json!({
        "disk": format!("{:x}", stored.disk_id),
        "members": names,
        "last_term": last.map_or(snapshot_term, |entry| entry.term),
        "last_index": last.map_or(snapshot_index, |entry| entry.index),
        "committed_up_to_at_least": snapshot_index,
        "calls_behind_that": calls_after_snapshot,
        "items": state.active_items().count(),
        "dropped": state.all_items().count() - state.active_items().count(),
    });
    Ok(Export { call: import_call(&items), origin })
}

fn check_integrity(database: &Connection) -> Result<(), ExportError> {
    let result: String = database.query_row("PRAGMA quick_check(1)", [], |row| row.get(0))?;
    match result.as_str() {
        "ok" => Ok(()),
        _ => Err(ExportError::Corrupt(result)),
    }
}

/// Exports the disk of a release before the replicated log.
fn export_legacy(folder: &Path) -> Result<Export, ExportError> {
    let (wal, journal) = (format!("{LEGACY_DATABASE_FILE}-wal"), format!("{LEGACY_DATABASE_FILE}-journal"));
    let copy = TemporaryCopy::of(folder, &[LEGACY_DATABASE_FILE, &wal, &journal])?;
    let database = Connection::open(copy.0.join(LEGACY_DATABASE_FILE))?;
    check_integrity(&database)?;
    let mut items = ItemSet::default();
    let mut query = database.prepare("SELECT item FROM items")?;
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

/// Builds the body of the call that sets all active items and removes all removed items, each with its stored version.
pub fn import_call(items: &ItemSet) -> Value {
    let mut upsert = items.to_json();
    let mut remove: Map<String, Value> = Map::new();
    for kind in [ItemKind::Route, ItemKind::Tenant, ItemKind::Service, ItemKind::Saturation] {
        // The column format can't distinguish a null field from a missing one, so items with null fields are written as
        // objects.
        if kind != ItemKind::Saturation
            && items.active_items(kind).any(|(_, body)| body.to_map().values().any(Value::is_null))
        {
            upsert[kind.set_name()] =
                items.active_items(kind).map(|(_, body)| Value::Object(body.to_map())).collect();
        }
        let removed = items.iter().filter(|i| i.kind == kind && i.body.is_none());
        let records: Vec<Value> = removed.map(|i| json!([i.label, format!("r{}", i.version)])).collect();
        if !records.is_empty() {
            let columns = ["label", "revision"];
            remove.insert(kind.set_name().into(), json!({ "columns": columns, "records": records }));
        }
    }
    json!({ "upsert": upsert, "remove": remove })
}
