//! Tests of the store against a model in memory and against files as a loss of power may leave them, and of exporting
//! and importing the items of a disk of a release before the replicated log.

use crate::cli::export::{export, import_call, ExportError};
use crate::configuration::{parse_change, ConfigItem, ItemFields, ItemKind, ItemSet};
use crate::consensus::{Entry, EntryPayload, LogWrite, NodeId, Snapshot};
use crate::discovery::{Worker, WorkerPhase};
use crate::protocol::LogCommand;
use crate::storage::{
    LoadedState, ReplicaStore, SnapshotChunk, StorageError, StoredRecord, WriteBatch, DATABASE_FILE,
    LEGACY_DATABASE_FILE, SNAPSHOT_CHUNK_BYTES, WAL_FILE,
};
use googletest::prelude::*;
use rusqlite::Connection;
use serde_json::json;
use std::path::{Path, PathBuf};
use std::sync::mpsc;

pub(crate) struct Folder(pub(crate) PathBuf);

impl Folder {
    pub(crate) fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("whinstall-storage-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        Folder(folder)
    }

    fn file(&self, name: &str) -> Vec<u8> {
        std::fs::read(self.0.join(name)).expect("a file")
    }

    fn names(&self) -> Vec<String> {
        let files = std::fs::read_dir(&self.0).expect("a folder");
        let mut names: Vec<_> =
            files.map(|f| f.expect("a file").file_name().into_string().expect("a name")).collect();
        names.sort();
        names
    }

    fn bytes(&self) -> u64 {
        self.names().iter().map(|n| self.file(n).len() as u64).sum()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn node(disk: u64) -> NodeId {
    NodeId { ip: std::net::Ipv4Addr::new(10, 1, 0, disk as u8).into(), disk }
}

fn configure_command(label: &str, version: u64, size: usize) -> LogCommand {
    let body = json!({ "label": label, "revision": format!("r{version}"), "note": "x".repeat(size) });
    let body = body.as_object().map(ItemFields::from);
    LogCommand::Configure(
        vec![ConfigItem { kind: ItemKind::Service, label: label.into(), version, body }].into(),
    )
}

fn entry(index: u64, term: u64, size: usize) -> Entry<LogCommand> {
    let payload = match index % 7 {
        0 => EntryPayload::TermStart,
        1 => EntryPayload::ConfChange([node(0), node(index)].into()),
        _ => EntryPayload::Command(configure_command("s", index, size)),
    };
    Entry { term, index, payload }
}

fn worker(id: u64, phase: WorkerPhase, calls: u64) -> Worker {
    let address = std::net::SocketAddr::from(([10, 2, 0, 1], 80));
    let (id, service, zone) = (format!("w{id}").into(), "s".into(), "z".into());
    Worker { id, service, address, zone, capacity: 4, phase, warmup_ms: 0, heartbeat_seq: calls }
}

fn batch_of(writes: Vec<LogWrite<LogCommand>>) -> WriteBatch {
    WriteBatch { log_writes: writes, ..WriteBatch::default() }
}

fn open(folder: &Path) -> (ReplicaStore, LoadedState) {
    ReplicaStore::open(folder, true).expect("opens")
}

fn reopened_state(folder: &Path) -> LoadedState {
    LoadedState { is_new: true, ..open(folder).1 }
}

/// Reference implementation of a batch's effect, as simple as possible.
fn apply_to_model(loaded: &mut LoadedState, batch: &WriteBatch) {
    for write in &batch.log_writes {
        match write.clone() {
            LogWrite::HardState { term, vote } => {
                (loaded.raft_state.term, loaded.raft_state.vote) = (term, vote)
            }
            LogWrite::Append(entries) => {
                loaded.raft_state.entries.retain(|e| e.index < entries[0].index);
                loaded.raft_state.entries.extend(entries);
            }
            LogWrite::Snapshot { snapshot, replaces_log } => {
                loaded.raft_state.entries.retain(|e| !replaces_log && e.index > snapshot.index);
                loaded.raft_state.snapshot = Some(snapshot);
            }
        }
    }
    for worker in &batch.workers {
        loaded.workers.retain(|w| w.id != worker.id);
        if worker.phase <= WorkerPhase::Draining {
            loaded.workers.push(worker.clone());
        }
    }
    loaded.workers.sort_by(|a, b| a.id.cmp(&b.id));
}

/// Generates a random batch that a node in this state may write.
fn random_batch(rng: &mut fastrand::Rng, loaded: &LoadedState, max_bytes: usize) -> WriteBatch {
    let start = loaded.raft_state.snapshot.as_ref().map_or((0, 0), |s| (s.index, s.term));
    let last = loaded.raft_state.entries.last().map_or(start, |e| (e.index, e.term));
    let mut batch = WriteBatch::default();
    let term = loaded.raft_state.term.max(last.1).max(1);
    // The bytes depend only on the index, so that staged chunks agree with the snapshot.
    let snapshot = |rng: &mut fastrand::Rng, index, term| Snapshot {
        index,
        term,
        voters: [node(1), node(2)].into(),
        data: vec![index as u8; rng.usize(..max_bytes)].into(),
    };
    match rng.u8(..10) {
        // A new leader overwrites entries that were not committed.
        0 if !loaded.raft_state.entries.is_empty() => {
            let from = loaded.raft_state.entries[rng.usize(..loaded.raft_state.entries.len())].index;
            batch.log_writes.push(LogWrite::HardState { term: term + 1, vote: None });
            batch.log_writes.push(LogWrite::Append(
                (from..from + 2).map(|i| entry(i, term + 1, rng.usize(..max_bytes))).collect(),
            ));
        }
        1 => batch.log_writes.push(LogWrite::HardState { term: term + 1, vote: Some(node(rng.u64(..4))) }),
        // The node takes a snapshot; the log up to its index is compacted.
        2 | 3 if !loaded.raft_state.entries.is_empty() => {
            let many = loaded.raft_state.entries.len();
            let at = &loaded.raft_state.entries[if rng.bool() { many - 1 } else { rng.usize(..many) }];
            let snapshot = snapshot(rng, at.index, at.term);
            batch.log_writes.push(LogWrite::Snapshot { snapshot, replaces_log: false });
        }
        // A snapshot received from the leader.
        4 => {
            let index = rng.u64(start.0 + 1..last.0 + 9);
            let snapshot = snapshot(rng, index, term);
            batch.log_writes.push(LogWrite::Snapshot { snapshot, replaces_log: true });
        }
        5 => {
            let phase = [WorkerPhase::Serving, WorkerPhase::Draining, WorkerPhase::Departed][rng.usize(..3)];
            batch.workers.push(worker(rng.u64(..5), phase, rng.u64(..)));
        }
        // A chunk staged for a snapshot that may or may not be installed.
        6 | 7 => {
            let (of, parts) = (last, rng.usize(1..3));
            let data = vec![of.0 as u8; parts * SNAPSHOT_CHUNK_BYTES].into();
            batch.snapshot_chunk = Some(SnapshotChunk {
                snapshot: of.into(),
                offset: (rng.usize(..3) / 2 * SNAPSHOT_CHUNK_BYTES) as u64,
                data,
            });
        }
        _ => {
            let entries =
                (1..2 + rng.u64(..3)).map(|i| entry(last.0 + i, term, rng.usize(..max_bytes))).collect();
            batch.log_writes.push(LogWrite::Append(entries));
        }
    }
    if rng.bool() {
        batch.log_writes.push(LogWrite::HardState { term: term + 1, vote: Some(node(rng.u64(..4))) });
    }
    batch
}

/// Each kind of write has the model's effect, with the store reopened at any point.
#[gtest]
fn reopened_store_matches_the_model() {
    for seed in 0..8 {
        let (mut rng, folder) = (fastrand::Rng::with_seed(seed), Folder::new(&format!("model{seed}")));
        let (mut store, mut model) = open(&folder.0);
        for step in 0..150 {
            let mut batches = Vec::new();
            for _ in 0..rng.usize(1..4) {
                let batch = random_batch(&mut rng, &model, 3000);
                apply_to_model(&mut model, &batch);
                batches.push(batch);
            }
            store.write(&batches).expect("writes");
            if rng.u8(..10) == 0 {
                drop(store);
                let (again, loaded) = open(&folder.0);
                let loaded = LoadedState { is_new: !loaded.is_new, ..loaded };
                assert_that!(loaded == model, eq(true), "seed {seed} step {step}");
                store = again;
            }
        }
    }
}

/// Builds a file as a loss of power may leave it: each part of the change from `old` to `new` is present, torn or
/// missing. The first `synced_len` bytes are always those of `new`.
fn torn_file(rng: &mut fastrand::Rng, old: &[u8], new: &[u8], synced_len: usize) -> Vec<u8> {
    let keep = [old.len(), new.len(), old.len().max(new.len())][rng.usize(..3)];
    let mut file = new[..synced_len].to_vec();
    while file.len() < keep {
        let to = (file.len() + rng.usize(1..9000)).min(keep);
        let from = match rng.u8(..3) {
            0 => old,
            _ => new,
        };
        // Bytes that were never written read as zeros.
        let there = from.len().clamp(file.len(), to);
        file.extend_from_slice(from.get(file.len()..there).unwrap_or(&[]));
        file.resize(to, 0);
    }
    file
}

/// Size of the write-ahead log's header, which is synced before the frames after it are written.
const WAL_HEADER_BYTES: usize = 32;

/// A synced batch survives a loss of power during the next one: during an append, an overwrite by a new leader, a
/// compaction, a leader's snapshot, and a checkpoint of the write-ahead log to the database.
#[gtest]
fn batches_are_atomic_after_power_loss() {
    let (mut checkpoints, mut restarts, mut after, mut before) = (0, 0, 0, 0);
    for seed in 0..4 {
        let (mut rng, folder) = (fastrand::Rng::with_seed(seed), Folder::new(&format!("power{seed}")));
        let (mut store, mut model) = open(&folder.0);
        let copy = Folder::new(&format!("torn{seed}"));
        let load_copy = |db: &[u8], wal: &[u8]| {
            std::fs::write(copy.0.join(DATABASE_FILE), db).expect("a copy");
            std::fs::write(copy.0.join(WAL_FILE), wal).expect("a copy");
            reopened_state(&copy.0)
        };
        for step in 0..60 {
            let old = (folder.file(DATABASE_FILE), folder.file(WAL_FILE));
            let previous = model.clone();
            let batch = random_batch(&mut rng, &model, 200_000);
            apply_to_model(&mut model, &batch);
            store.write(&[batch]).expect("writes");
            let (current, new) = (&model, (folder.file(DATABASE_FILE), folder.file(WAL_FILE)));
            let at = format!("seed {seed} step {step}");
            let head = new.1.len().min(WAL_HEADER_BYTES);
            if old.1.get(..head) != new.1.get(..head) {
                restarts += 1;
                // Only the header is new: the write-ahead log was restarted after a checkpoint to the database.
                let wal = [&new.1[..head], old.1.get(head..).unwrap_or(&[])].concat();
                assert_that!(load_copy(&old.0, &wal) == previous, eq(true), "{at}: head");
            }
            for _ in 0..4 {
                let found = load_copy(&old.0, &torn_file(&mut rng, &old.1, &new.1, head));
                after += usize::from(found == *current);
                before += usize::from(found == previous);
                assert_that!(found == previous || found == *current, eq(true), "{at}: log");
            }
            if old.0 != new.0 {
                checkpoints += 1;
                for _ in 0..4 {
                    let db = torn_file(&mut rng, &old.0, &new.0, 0);
                    assert_that!(load_copy(&db, &new.1) == *current, eq(true), "{at}: database");
                }
            }
            assert_that!(load_copy(&new.0, &new.1) == *current, eq(true), "{at}: synced");
        }
    }
    expect_that!([checkpoints, restarts, after, before], each(gt(9)));
}

/// A database under its final name has an identity and a write-ahead log. Before the renaming no write has been
/// reported, so an interrupted creation starts over.
#[gtest]
fn power_loss_during_creation_leaves_a_complete_database_or_none() {
    let complete = Folder::new("created");
    let (_, created) = ReplicaStore::open(&complete.0, false).expect("opens");
    expect_that!(created.is_new, eq(true));
    expect_that!(created.disk_id, not(eq(0)));
    let base = complete.file(DATABASE_FILE);
    expect_that!(complete.names(), elements_are![eq(DATABASE_FILE), eq(WAL_FILE)]);
    // An interruption before the renaming leaves partial files of any size, with or without the empty write-ahead log.
    for (step, wal) in [0, 18, 512, 4096, base.len()].into_iter().zip([false, true].into_iter().cycle()) {
        let folder = Folder::new("midway");
        for name in ["replica.making", "replica.making-wal", "replica.making-journal"] {
            std::fs::write(folder.0.join(name), &base[..step]).expect("a file");
        }
        if wal {
            std::fs::write(folder.0.join(WAL_FILE), []).expect("a file");
        }
        let (_, loaded) = ReplicaStore::open(&folder.0, false).expect("opens");
        expect_that!(loaded.is_new, eq(true));
        expect_that!([0, created.disk_id].contains(&loaded.disk_id), eq(false));
        expect_that!(folder.names(), elements_are![eq(DATABASE_FILE), eq(WAL_FILE)]);
        expect_that!(ReplicaStore::open(&folder.0, true).expect("opens").1.disk_id, eq(loaded.disk_id));
    }
    // A kill just after the renaming leaves a complete database.
    let folder = Folder::new("named");
    std::fs::write(folder.0.join(DATABASE_FILE), &base).expect("a file");
    std::fs::write(folder.0.join(WAL_FILE), []).expect("a file");
    let (_, loaded) = ReplicaStore::open(&folder.0, true).expect("opens");
    expect_that!((loaded.disk_id, loaded.is_new), eq((created.disk_id, false)));
    expect_that!(ReplicaStore::open(&Folder::new("seed").0, true).expect("opens").1.disk_id, eq(0));
}

/// A damaged disk is refused, never treated as an empty one, and left unchanged.
#[gtest]
fn unreadable_disk_is_refused_and_unchanged() {
    let complete = Folder::new("readable");
    let (mut store, _) = open(&complete.0);
    let voters = [node(1)].into();
    let snapshot = Snapshot { index: 3, term: 2, voters, data: vec![7; 200_000].into() };
    let entries = (1..10).map(|i| entry(i, 2 + i / 5, 40)).collect();
    let writes = vec![LogWrite::Append(entries), LogWrite::Snapshot { snapshot, replaces_log: false }];
    store.write(&[batch_of(writes)]).expect("writes");
    drop(store);
    let corruptions = [
        ("DELETE FROM log WHERE idx = 6", "the log is not contiguous, entry 7 follows index 5"),
        ("DELETE FROM log WHERE idx = 4", "the log is not contiguous, entry 5 follows index 3"),
        ("DELETE FROM snapshot", "the log is not contiguous, entry 4 follows index 0"),
        ("UPDATE log SET term = 1 WHERE idx = 5", "term 1 of entry 5 is lower than the preceding term 2"),
        ("UPDATE log SET entry = x'c1' WHERE idx = 9", "entry 9"),
        ("UPDATE log SET entry = 5 WHERE idx = 9", "nvalid"),
        ("DELETE FROM snapshot_part WHERE part = 3 * 1048576", "part 0"),
        ("DELETE FROM snapshot_part WHERE part = 3 * 1048576 + 3", "bytes, expected 200000"),
        ("UPDATE meta SET vote = x'c1'", "the vote"),
        ("INSERT INTO workers VALUES ('a', x'c1')", "a worker"),
        ("DELETE FROM meta", "no identity"),
        ("UPDATE meta SET format = 9", "format is 9"),
        ("DROP TABLE log", "no such table"),
    ];
    let assert_refused = |folder: &Folder, why: &str| {
        let files = || folder.names().into_iter().map(|n| (folder.file(&n), n)).collect::<Vec<_>>();
        let files_before = files();
        let found = ReplicaStore::open(&folder.0, true).err().map(|e| e.to_string());
        expect_that!(found, some(contains_substring(why)));
        expect_that!(files() == files_before, eq(true), "{why}");
    };
    for (sql, why) in corruptions {
        let folder = Folder::new("broken");
        for name in [DATABASE_FILE, WAL_FILE] {
            std::fs::write(folder.0.join(name), complete.file(name)).expect("a copy");
        }
        let db = Connection::open(folder.0.join(DATABASE_FILE)).expect("opens");
        db.pragma_update(None, "locking_mode", "EXCLUSIVE").expect("set");
        db.execute_batch(sql).expect(sql);
        drop(db);
        std::fs::write(folder.0.join(WAL_FILE), []).expect("a file");
        assert_refused(&folder, why);
    }
    let alone = |name: &str, bytes: &[u8]| {
        let folder = Folder::new("alone");
        std::fs::write(folder.0.join(name), bytes).expect("a file");
        folder
    };
    assert_refused(&alone(DATABASE_FILE, &complete.file(DATABASE_FILE)), "replica.sqlite without");
    assert_refused(&alone(WAL_FILE, &complete.file(WAL_FILE)), "replica.sqlite-wal without");
    let empty = alone(DATABASE_FILE, &[]);
    std::fs::write(empty.0.join(WAL_FILE), complete.file(WAL_FILE)).expect("a copy");
    assert_refused(&empty, "replica.sqlite is empty (0 bytes)");
    let not_sqlite = alone(DATABASE_FILE, &[9; 8192]);
    std::fs::write(not_sqlite.0.join(WAL_FILE), []).expect("a file");
    assert_refused(&not_sqlite, "not a database");
}

/// A failed write returns an error, leaves no data on the disk, and leaves the connection usable.
#[gtest]
fn failed_write_leaves_no_trace_and_can_be_retried() {
    let folder = Folder::new("refused");
    let (mut store, mut model) = open(&folder.0);
    let small = |index| batch_of(vec![LogWrite::Append(vec![entry(index, 1, 50)])]);
    apply_to_model(&mut model, &small(1));
    store.write(&[small(1)]).expect("writes");
    // The disk becomes full within the transaction, after some writes succeeded.
    store.limit_pages(12);
    let large = batch_of(vec![LogWrite::Append(vec![entry(3, 1, 500_000)])]);
    for _ in 0..3 {
        expect_that!(store.write(&[small(2), large.clone()]), err(anything()));
    }
    apply_to_model(&mut model, &small(2));
    store.write(&[small(2)]).expect("a write that fits succeeds without a retry");
    // A number that is out of range is refused, and so is a log that could not be read back.
    let snapshot = |index| Snapshot { index, term: 1, voters: [node(1)].into(), data: vec![1].into() };
    for wrong in [
        vec![LogWrite::HardState { term: u64::MAX, vote: None }],
        vec![LogWrite::Append(vec![entry(4, 1, 50)])],
        vec![LogWrite::Append(vec![entry(3, 1, 50), entry(5, 1, 50)])],
        vec![LogWrite::Append(vec![entry(3, 1, 50)]), LogWrite::Append(vec![entry(5, 1, 50)])],
        vec![
            LogWrite::Snapshot { snapshot: snapshot(2), replaces_log: false },
            LogWrite::Append(vec![entry(2, 1, 50)]),
        ],
        [2, 1].map(|i| LogWrite::Snapshot { snapshot: snapshot(i), replaces_log: false }).into(),
        vec![
            LogWrite::Snapshot { snapshot: snapshot(9), replaces_log: true },
            LogWrite::Append(vec![entry(3, 1, 50)]),
        ],
    ] {
        expect_that!(store.write(&[batch_of(wrong.clone())]), err(anything()), "{wrong:?}");
    }
    store.limit_pages(100_000);
    apply_to_model(&mut model, &large);
    store.write(&[large]).expect("writes");
    drop(store);
    assert_that!(reopened_state(&folder.0) == model, eq(true));
}

#[gtest]
fn writer_thread_writes_all_batches_and_reports_the_last_sequence() {
    let folder = Folder::new("thread");
    let (store, mut model) = open(&folder.0);
    let (done, synced) = mpsc::channel();
    let sender = store.spawn_writer(move |number| {
        let _ = done.send(number);
    });
    for number in 1..=40 {
        let batch =
            WriteBatch { sequence: number, ..batch_of(vec![LogWrite::Append(vec![entry(number, 1, 100)])]) };
        apply_to_model(&mut model, &batch);
        sender.send(batch).expect("taken");
    }
    drop(sender);
    let reported: Vec<u64> = synced.iter().collect();
    expect_that!(reported.is_sorted(), eq(true));
    expect_that!(reported.last(), some(eq(&40)));
    assert_that!(reopened_state(&folder.0) == model, eq(true));
}

/// 6,000 changes with snapshots in between take less than 1.5 times the disk space of 600.
#[gtest]
fn disk_usage_stays_bounded() {
    let folder = Folder::new("bounded");
    let (mut store, _) = open(&folder.0);
    let mut sizes = Vec::new();
    for index in 1..=6000 {
        let mut writes = vec![LogWrite::Append(vec![entry(index, 1, 150)])];
        if index % 200 == 0 {
            let data = vec![index as u8; 100_000 + (index as usize * 37) % 50_000].into();
            let snapshot = Snapshot { index: index - 20, term: 1, voters: [node(1)].into(), data };
            writes.push(LogWrite::Snapshot { snapshot, replaces_log: false });
        }
        store.write(&[batch_of(writes)]).expect("writes");
        if index % 600 == 0 {
            sizes.push(folder.bytes());
        }
    }
    expect_that!(sizes, each(lt(&3_000_000)));
    expect_that!(sizes[9], lt(sizes[0] * 3 / 2));
}

/// Creates a disk of a release before the replicated log, as a killed process leaves it: with data in the write-ahead
/// log.
fn create_legacy_database(folder: &Path, items: &ItemSet) -> Connection {
    let db = Connection::open(folder.join(LEGACY_DATABASE_FILE)).expect("opens");
    db.pragma_update(None, "locking_mode", "EXCLUSIVE").expect("set");
    db.pragma_update(None, "journal_mode", "WAL").expect("set");
    db.execute_batch(
        "CREATE TABLE items (kind TEXT, label TEXT, version INTEGER, item BLOB, PRIMARY KEY (kind, label))
             WITHOUT ROWID;
         CREATE TABLE members (ip TEXT PRIMARY KEY, member BLOB) WITHOUT ROWID;
         CREATE TABLE workers (id TEXT PRIMARY KEY, worker BLOB) WITHOUT ROWID;",
    )
    .expect("tables");
    for item in items.iter() {
        let blob = rmp_serde::to_vec(item).expect("a blob");
        let row = rusqlite::params![item.kind.set_name(), item.label, item.version as i64, blob];
        db.execute("INSERT INTO items VALUES (?1, ?2, ?3, ?4)", row).expect("a row");
    }
    db
}

/// Configuration items keep their content through the upgrade from a release before the replicated log.
#[gtest]
fn legacy_items_survive_export_and_import_unchanged() {
    let sent = json!({
        "upsert": {
            "route_set": [
                { "label": "r1", "hostname": "a", "path_prefix": "/", "route_class": "effectful", "revision": "r9",
                  "service_ref": "s1", "cutoff": "900ms", "later": { "any": [1, null] } },
                { "label": "r2", "hostname": "b", "path_prefix": "/", "route_class": "idempotent", "revision": "r7",
                  "mixture": [{ "service_ref": "s1", "gain": 0.25 }, { "service_ref": "s2", "gain": 3 }] },
            ],
            "tenant_set": [{ "label": "t1", "credentials": ["k1", "k2"], "rate_per_s": 10.5, "revision": "r3" }],
            // A field whose value is null.
            "service_set": [{ "label": "s1", "probe_path": "/h", "conn_limit": null, "revision": "r8" },
                { "label": "s2", "revision": "r18446744073709551615" }],
            "saturation": { "body_max_bytes": 1000, "idle_cutoff": null, "revision": "r2" },
        },
        "remove": { "route_set": [{ "label": "r0", "revision": "r4" }],
            "service_set": [{ "label": "s0", "revision": "r5" }] },
    });
    let mut items = ItemSet::default();
    for item in parse_change(sent.to_string().as_bytes()).expect("readable") {
        items.merge(item);
    }
    let folder = Folder::new("earlier");
    let db = create_legacy_database(&folder.0, &items);
    let files = || folder.names().into_iter().map(|n| (folder.file(&n), n)).collect::<Vec<_>>();
    let files_before = files();
    expect_that!(files_before, len(eq(2)));
    let printed = export(&folder.0).expect("exported").to_string();
    let refused = ReplicaStore::open(&folder.0, true).err();
    expect_that!(
        refused,
        some(matches_pattern!(StorageError::LegacyDatabase(contains_substring(LEGACY_DATABASE_FILE))))
    );
    expect_that!(files() == files_before, eq(true), "the disk is unchanged");
    drop(db);
    let mut again = ItemSet::default();
    for item in parse_change(printed.as_bytes()).expect("readable") {
        again.merge(item);
    }
    let all = |items: &ItemSet| items.iter().cloned().collect::<Vec<_>>();
    assert_that!(all(&again), eq(&all(&items)));
    expect_that!(all(&again), len(eq(8)));
    expect_that!(import_call(&again).to_string(), eq(&printed));
}

#[gtest]
fn export_refuses_a_folder_without_a_database() {
    let folder = Folder::new("unlike");
    expect_that!(export(&folder.0).err(), some(matches_pattern!(ExportError::NoDisk(_))));
}

/// Operators and runbooks match these texts.
#[gtest]
fn error_texts_are_pinned() {
    let corrupt = |error: StorageError, cause: &str| {
        expect_that!(error.to_string(), eq(&format!("corrupt data on the disk: {cause}")));
    };
    let out_of_range = |error: StorageError, cause: &str| {
        expect_that!(error.to_string(), eq(&format!("number out of range: {cause}")));
    };
    let refused = |error: StorageError, cause: &str| {
        expect_that!(error.to_string(), eq(&format!("write refused: {cause}")));
    };
    corrupt(StorageError::database_without_wal(), "found replica.sqlite without replica.sqlite-wal");
    corrupt(StorageError::wal_without_database(), "found replica.sqlite-wal without replica.sqlite");
    corrupt(StorageError::EmptyDatabase, "replica.sqlite is empty (0 bytes)");
    corrupt(StorageError::JournalMode("off".into()), "replica.sqlite is in journal mode off, expected wal");
    corrupt(StorageError::MissingIdentity, "no identity, table meta is empty");
    corrupt(StorageError::NegativeNumber { column: "term", value: -1 }, "term is negative: -1");
    out_of_range(
        StorageError::NumberTooLarge(u64::MAX),
        "18446744073709551615 exceeds the largest SQLite integer, 9223372036854775807",
    );
    out_of_range(
        StorageError::IndexTooLarge(5),
        "snapshot index 5 is too large to derive row numbers from it",
    );
    corrupt(
        StorageError::GapInLog { index: 7, previous: 5 },
        "the log is not contiguous, entry 7 follows index 5",
    );
    let decreases = StorageError::TermDecreases { term: 1, index: 5, previous: 2 };
    corrupt(decreases, "term 1 of entry 5 is lower than the preceding term 2");
    let range = StorageError::AppendOutOfRange { index: 4, snapshot_index: 1, last_index: 2 };
    refused(range, "can't append entry 4 to a log with snapshot index 1, last index 2");
    refused(
        StorageError::NonConsecutiveAppend { index: 5, expected: 4 },
        "an append contains entry 5 where entry 4 is expected",
    );
    refused(
        StorageError::SnapshotGoesBack { index: 1, current: 2 },
        "the snapshot at index 1 is older than the stored one at index 2",
    );
    corrupt(StorageError::InvalidSnapshotSize(-3), "the snapshot's size is negative: -3 bytes");
    corrupt(StorageError::MissingSnapshotRow(2), "part 2 of the snapshot is missing");
    let size = StorageError::SnapshotSizeMismatch { found: 1, expected: 2 };
    corrupt(size, "the snapshot has 1 bytes, expected 2");
    let source = rmp_serde::from_slice::<u8>(b"").expect_err("empty");
    let text = source.to_string();
    corrupt(
        StorageError::Decode { record: StoredRecord::Vote, source },
        &format!("failed to decode the vote: {text}"),
    );
    let records = [StoredRecord::Worker, StoredRecord::SnapshotMembers, StoredRecord::LogEntry(9)];
    expect_that!(
        records.map(|r| r.to_string()),
        elements_are![eq("a worker"), eq("the snapshot's members"), eq("entry 9")]
    );
    let format = StorageError::UnsupportedFormat(9).to_string();
    expect_that!(format, eq("the disk's format is 9, which this version of the program does not support"));
}
