//! What the replicated log's disk must outlive, against a model in memory and against every way that a loss of power
//! may leave its files; and the way of items from an earlier disk.

use crate::cli::export::{export, import_call, ExportError};
use crate::configuration::{parse_change, ConfigItem, ItemFields, ItemKind, ItemSet};
use crate::consensus::{Entry, EntryPayload, LogWrite, NodeId, Snapshot};
use crate::discovery::{Worker, WorkerPhase};
use crate::protocol::LogCommand;
use crate::storage::{
    LoadedState, ReplicaStore, SnapshotChunk, StorageError, WriteBatch, DATABASE_FILE, LEGACY_DATABASE_FILE,
    SNAPSHOT_CHUNK_BYTES, WAL_FILE,
};
use googletest::prelude::*;
use rusqlite::Connection;
use serde_json::json;
use std::path::{Path, PathBuf};
use std::sync::mpsc;

pub(crate) struct Folder(pub(crate) PathBuf);

impl Folder {
    pub(crate) fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("whinstall-ledger-{}-{name}", std::process::id()));
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

fn order(label: &str, version: u64, size: usize) -> LogCommand {
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
        _ => EntryPayload::Command(order("s", index, size)),
    };
    Entry { term, index, payload }
}

fn worker(id: u64, phase: WorkerPhase, calls: u64) -> Worker {
    let address = std::net::SocketAddr::from(([10, 2, 0, 1], 80));
    let (id, service, zone) = (format!("w{id}").into(), "s".into(), "z".into());
    Worker { id, service, address, zone, capacity: 4, phase, warmup_ms: 0, call_count: calls }
}

fn put(writes: Vec<LogWrite<LogCommand>>) -> WriteBatch {
    WriteBatch { log_writes: writes, ..WriteBatch::default() }
}

fn open(folder: &Path) -> (ReplicaStore, LoadedState) {
    ReplicaStore::open(folder, true).expect("opens")
}

fn content(folder: &Path) -> LoadedState {
    LoadedState { is_new: true, ..open(folder).1 }
}

/// What a put means, as simply as can be.
fn apply(held: &mut LoadedState, put: &WriteBatch) {
    for write in &put.log_writes {
        match write.clone() {
            LogWrite::HardState { term, vote } => (held.raft_state.term, held.raft_state.vote) = (term, vote),
            LogWrite::Append(entries) => {
                held.raft_state.entries.retain(|e| e.index < entries[0].index);
                held.raft_state.entries.extend(entries);
            }
            LogWrite::Snapshot { snapshot, replaces_log } => {
                held.raft_state.entries.retain(|e| !replaces_log && e.index > snapshot.index);
                held.raft_state.snapshot = Some(snapshot);
            }
        }
    }
    for worker in &put.workers {
        held.workers.retain(|w| w.id != worker.id);
        if worker.phase <= WorkerPhase::Draining {
            held.workers.push(worker.clone());
        }
    }
    held.workers.sort_by(|a, b| a.id.cmp(&b.id));
}

/// A put that a member may write next.
fn next(rng: &mut fastrand::Rng, held: &LoadedState, most: usize) -> WriteBatch {
    let behind = held.raft_state.snapshot.as_ref().map_or((0, 0), |s| (s.index, s.term));
    let last = held.raft_state.entries.last().map_or(behind, |e| (e.index, e.term));
    let mut put = WriteBatch::default();
    let term = held.raft_state.term.max(last.1).max(1);
    // The bytes by the place: what was written ahead is the same.
    let snapshot = |rng: &mut fastrand::Rng, index, term| Snapshot {
        index,
        term,
        voters: [node(1), node(2)].into(),
        data: vec![index as u8; rng.usize(..most)].into(),
    };
    match rng.u8(..10) {
        // A new leader's entries in the place of those that did not last.
        0 if !held.raft_state.entries.is_empty() => {
            let from = held.raft_state.entries[rng.usize(..held.raft_state.entries.len())].index;
            put.log_writes.push(LogWrite::HardState { term: term + 1, vote: None });
            put.log_writes.push(LogWrite::Append(
                (from..from + 2).map(|i| entry(i, term + 1, rng.usize(..most))).collect(),
            ));
        }
        1 => put.log_writes.push(LogWrite::HardState { term: term + 1, vote: Some(node(rng.u64(..4))) }),
        // A snapshot, and the log behind it cut.
        2 | 3 if !held.raft_state.entries.is_empty() => {
            let many = held.raft_state.entries.len();
            let at = &held.raft_state.entries[if rng.bool() { many - 1 } else { rng.usize(..many) }];
            let snapshot = snapshot(rng, at.index, at.term);
            put.log_writes.push(LogWrite::Snapshot { snapshot, replaces_log: false });
        }
        // A leader's snapshot.
        4 => {
            let index = rng.u64(behind.0 + 1..last.0 + 9);
            let snapshot = snapshot(rng, index, term);
            put.log_writes.push(LogWrite::Snapshot { snapshot, replaces_log: true });
        }
        5 => {
            let phase = [WorkerPhase::Serving, WorkerPhase::Draining, WorkerPhase::Departed][rng.usize(..3)];
            put.workers.push(worker(rng.u64(..5), phase, rng.u64(..)));
        }
        // Ahead of a snapshot that may come, or not.
        6 | 7 => {
            let (of, parts) = (last, rng.usize(1..3));
            let data = vec![of.0 as u8; parts * SNAPSHOT_CHUNK_BYTES].into();
            put.snapshot_chunk = Some(SnapshotChunk {
                snapshot: of.into(),
                offset: (rng.usize(..3) / 2 * SNAPSHOT_CHUNK_BYTES) as u64,
                data,
            });
        }
        _ => {
            let entries = (1..2 + rng.u64(..3)).map(|i| entry(last.0 + i, term, rng.usize(..most))).collect();
            put.log_writes.push(LogWrite::Append(entries));
        }
    }
    if rng.bool() {
        put.log_writes.push(LogWrite::HardState { term: term + 1, vote: Some(node(rng.u64(..4))) });
    }
    put
}

/// Guards every write's meaning, by the model, over reopenings at any point.
#[gtest]
fn what_is_read_back_is_what_the_model_holds() {
    for seed in 0..8 {
        let (mut rng, folder) = (fastrand::Rng::with_seed(seed), Folder::new(&format!("model{seed}")));
        let (mut store, mut model) = open(&folder.0);
        for step in 0..150 {
            let mut puts = Vec::new();
            for _ in 0..rng.usize(1..4) {
                let put = next(&mut rng, &model, 3000);
                apply(&mut model, &put);
                puts.push(put);
            }
            store.write(&puts).expect("writes");
            if rng.u8(..10) == 0 {
                drop(store);
                let (again, held) = open(&folder.0);
                let held = LoadedState { is_new: !held.is_new, ..held };
                assert_that!(held == model, eq(true), "seed {seed} step {step}");
                store = again;
            }
        }
    }
}

/// A file of which some later writes came and some didn't, each whole, torn or not at all; `whole`: up to there all is
/// as after them.
fn torn(rng: &mut fastrand::Rng, old: &[u8], new: &[u8], whole: usize) -> Vec<u8> {
    let keep = [old.len(), new.len(), old.len().max(new.len())][rng.usize(..3)];
    let mut file = new[..whole].to_vec();
    while file.len() < keep {
        let to = (file.len() + rng.usize(1..9000)).min(keep);
        let from = match rng.u8(..3) {
            0 => old,
            _ => new,
        };
        // What was never written reads as nought.
        let there = from.len().clamp(file.len(), to);
        file.extend_from_slice(from.get(file.len()..there).unwrap_or(&[]));
        file.resize(to, 0);
    }
    file
}

/// Bytes at the head of the write-ahead log that are synced before what follows.
const WAL_HEAD: usize = 32;

/// Guards each synced put against a loss of power within the next: within an append, a new leader's cut of the log, a
/// snapshot and the cut behind it, a leader's snapshot, and while pages go from the write-ahead log to the database.
#[gtest]
fn a_loss_of_power_leaves_a_whole_put_or_none() {
    let (mut checkpoints, mut restarts, mut after, mut before) = (0, 0, 0, 0);
    for seed in 0..4 {
        let (mut rng, folder) = (fastrand::Rng::with_seed(seed), Folder::new(&format!("power{seed}")));
        let (mut store, mut model) = open(&folder.0);
        let copy = Folder::new(&format!("torn{seed}"));
        let look = |db: &[u8], wal: &[u8]| {
            std::fs::write(copy.0.join(DATABASE_FILE), db).expect("a copy");
            std::fs::write(copy.0.join(WAL_FILE), wal).expect("a copy");
            content(&copy.0)
        };
        for step in 0..60 {
            let old = (folder.file(DATABASE_FILE), folder.file(WAL_FILE));
            let was = model.clone();
            let put = next(&mut rng, &model, 200_000);
            apply(&mut model, &put);
            store.write(&[put]).expect("writes");
            let (is, new) = (&model, (folder.file(DATABASE_FILE), folder.file(WAL_FILE)));
            let at = format!("seed {seed} step {step}");
            let head = new.1.len().min(WAL_HEAD);
            if old.1.get(..head) != new.1.get(..head) {
                restarts += 1;
                // The head is new and nothing else: what was in the log is in the database.
                let wal = [&new.1[..head], old.1.get(head..).unwrap_or(&[])].concat();
                assert_that!(look(&old.0, &wal) == was, eq(true), "{at}: head");
            }
            for _ in 0..4 {
                let found = look(&old.0, &torn(&mut rng, &old.1, &new.1, head));
                after += usize::from(found == *is);
                before += usize::from(found == was);
                assert_that!(found == was || found == *is, eq(true), "{at}: log");
            }
            if old.0 != new.0 {
                checkpoints += 1;
                for _ in 0..4 {
                    let db = torn(&mut rng, &old.0, &new.0, 0);
                    assert_that!(look(&db, &new.1) == *is, eq(true), "{at}: database");
                }
            }
            assert_that!(look(&new.0, &new.1) == *is, eq(true), "{at}: synced");
        }
    }
    expect_that!([checkpoints, restarts, after, before], each(gt(9)));
}

/// Guards the identity: a database that has its name has it, with its log beside it; without its name nothing was said.
#[gtest]
fn a_loss_of_power_at_the_making_leaves_a_whole_disk_or_an_empty_one() {
    let whole = Folder::new("made");
    let (_, made) = ReplicaStore::open(&whole.0, false).expect("opens");
    expect_that!(made.is_new, eq(true));
    expect_that!(made.disk_id, not(eq(0)));
    let base = whole.file(DATABASE_FILE);
    expect_that!(whole.names(), elements_are![eq(DATABASE_FILE), eq(WAL_FILE)]);
    // Stopped anywhere before the name: rests of any kind, with and without the empty log.
    for (step, wal) in [0, 18, 512, 4096, base.len()].into_iter().zip([false, true].into_iter().cycle()) {
        let folder = Folder::new("midway");
        for name in ["replica.making", "replica.making-wal", "replica.making-journal"] {
            std::fs::write(folder.0.join(name), &base[..step]).expect("a file");
        }
        if wal {
            std::fs::write(folder.0.join(WAL_FILE), []).expect("a file");
        }
        let (_, held) = ReplicaStore::open(&folder.0, false).expect("opens");
        expect_that!(held.is_new, eq(true));
        expect_that!([0, made.disk_id].contains(&held.disk_id), eq(false));
        expect_that!(folder.names(), elements_are![eq(DATABASE_FILE), eq(WAL_FILE)]);
        expect_that!(ReplicaStore::open(&folder.0, true).expect("opens").1.disk_id, eq(held.disk_id));
    }
    // Killed just after the name.
    let folder = Folder::new("named");
    std::fs::write(folder.0.join(DATABASE_FILE), &base).expect("a file");
    std::fs::write(folder.0.join(WAL_FILE), []).expect("a file");
    let (_, held) = ReplicaStore::open(&folder.0, true).expect("opens");
    expect_that!((held.disk_id, held.is_new), eq((made.disk_id, false)));
    expect_that!(ReplicaStore::open(&Folder::new("seed").0, true).expect("opens").1.disk_id, eq(0));
}

/// Guards against taking a disk that can't be read for an empty one, and against changing it.
#[gtest]
fn a_disk_that_cant_be_read_is_refused_and_left_as_it_is() {
    let whole = Folder::new("readable");
    let (mut store, _) = open(&whole.0);
    let voters = [node(1)].into();
    let snapshot = Snapshot { index: 3, term: 2, voters, data: vec![7; 200_000].into() };
    let entries = (1..10).map(|i| entry(i, 2 + i / 5, 40)).collect();
    let writes = vec![LogWrite::Append(entries), LogWrite::Snapshot { snapshot, replaces_log: false }];
    store.write(&[put(writes)]).expect("writes");
    drop(store);
    let breaks = [
        ("DELETE FROM log WHERE idx = 6", "entry 7 of the log comes after 5"),
        ("DELETE FROM log WHERE idx = 4", "entry 5 of the log comes after 3"),
        ("DELETE FROM snapshot", "entry 4 of the log comes after 0"),
        ("UPDATE log SET term = 1 WHERE idx = 5", "term 1 of entry 5 comes after 2"),
        ("UPDATE log SET entry = x'c1' WHERE idx = 9", "entry 9"),
        ("UPDATE log SET entry = 5 WHERE idx = 9", "nvalid"),
        ("DELETE FROM snapshot_part WHERE part = 3 * 1048576", "part 0"),
        ("DELETE FROM snapshot_part WHERE part = 3 * 1048576 + 3", "bytes of a snapshot of 200000"),
        ("UPDATE meta SET vote = x'c1'", "the vote"),
        ("INSERT INTO workers VALUES ('a', x'c1')", "a worker"),
        ("DELETE FROM meta", "no identity"),
        ("UPDATE meta SET format = 9", "format is 9"),
        ("DROP TABLE log", "no such table"),
    ];
    let refused = |folder: &Folder, why: &str| {
        let files = || folder.names().into_iter().map(|n| (folder.file(&n), n)).collect::<Vec<_>>();
        let was = files();
        let found = ReplicaStore::open(&folder.0, true).err().map(|e| e.to_string());
        expect_that!(found, some(contains_substring(why)));
        expect_that!(files() == was, eq(true), "{why}");
    };
    for (sql, why) in breaks {
        let folder = Folder::new("broken");
        for name in [DATABASE_FILE, WAL_FILE] {
            std::fs::write(folder.0.join(name), whole.file(name)).expect("a copy");
        }
        let db = Connection::open(folder.0.join(DATABASE_FILE)).expect("opens");
        db.pragma_update(None, "locking_mode", "EXCLUSIVE").expect("set");
        db.execute_batch(sql).expect(sql);
        drop(db);
        std::fs::write(folder.0.join(WAL_FILE), []).expect("a file");
        refused(&folder, why);
    }
    let alone = |name: &str, bytes: &[u8]| {
        let folder = Folder::new("alone");
        std::fs::write(folder.0.join(name), bytes).expect("a file");
        folder
    };
    refused(&alone(DATABASE_FILE, &whole.file(DATABASE_FILE)), "replica.sqlite without");
    refused(&alone(WAL_FILE, &whole.file(WAL_FILE)), "replica.sqlite-wal without");
    let empty = alone(DATABASE_FILE, &[]);
    std::fs::write(empty.0.join(WAL_FILE), whole.file(WAL_FILE)).expect("a copy");
    refused(&empty, "cut to nothing");
    let rubbish = alone(DATABASE_FILE, &[9; 8192]);
    std::fs::write(rubbish.0.join(WAL_FILE), []).expect("a file");
    refused(&rubbish, "not a database");
}

/// Guards against reporting what a disk refused, and against a connection that stays stuck after it.
#[gtest]
fn a_refused_write_leaves_nothing_and_is_tried_again() {
    let folder = Folder::new("refused");
    let (mut store, mut model) = open(&folder.0);
    let small = |index| put(vec![LogWrite::Append(vec![entry(index, 1, 50)])]);
    apply(&mut model, &small(1));
    store.write(&[small(1)]).expect("writes");
    // Full: within the transaction, behind writes that fitted.
    store.limit(12);
    let large = put(vec![LogWrite::Append(vec![entry(3, 1, 500_000)])]);
    for _ in 0..3 {
        expect_that!(store.write(&[small(2), large.clone()]), err(anything()));
    }
    apply(&mut model, &small(2));
    store.write(&[small(2)]).expect("what fits is written at once");
    // Too high a number is refused by itself, and so is what could not be read again.
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
        expect_that!(store.write(&[put(wrong.clone())]), err(anything()), "{wrong:?}");
    }
    store.limit(100_000);
    apply(&mut model, &large);
    store.write(&[large]).expect("writes");
    drop(store);
    assert_that!(content(&folder.0) == model, eq(true));
}

#[gtest]
fn a_thread_writes_what_comes_and_tells_the_last_number() {
    let folder = Folder::new("thread");
    let (store, mut model) = open(&folder.0);
    let (done, synced) = mpsc::channel();
    let puts = store.spawn_writer(move |number| {
        let _ = done.send(number);
    });
    for number in 1..=40 {
        let put = WriteBatch { sequence: number, ..put(vec![LogWrite::Append(vec![entry(number, 1, 100)])]) };
        apply(&mut model, &put);
        puts.send(put).expect("taken");
    }
    drop(puts);
    let told_of: Vec<u64> = synced.iter().collect();
    expect_that!(told_of.is_sorted(), eq(true));
    expect_that!(told_of.last(), some(eq(&40)));
    assert_that!(content(&folder.0) == model, eq(true));
}

/// Guards the bound on the disk: as much after 6,000 changes as after 600, whatever snapshots were written.
#[gtest]
fn the_disk_in_use_stays_bounded() {
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
        store.write(&[put(writes)]).expect("writes");
        if index % 600 == 0 {
            sizes.push(folder.bytes());
        }
    }
    expect_that!(sizes, each(lt(&3_000_000)));
    expect_that!(sizes[9], lt(sizes[0] * 3 / 2));
}

/// A disk as the program before the replicated log left it: its process killed, so part is in the write-ahead log.
fn earlier(folder: &Path, items: &ItemSet) -> Connection {
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

/// Guards what operators sent against the change of programs.
#[gtest]
fn the_items_of_an_earlier_disk_go_through_one_call_unchanged() {
    let sent = json!({
        "upsert": {
            "route_set": [
                { "label": "r1", "hostname": "a", "path_prefix": "/", "route_class": "effectful", "revision": "r9",
                  "service_ref": "s1", "cutoff": "900ms", "later": { "any": [1, null] } },
                { "label": "r2", "hostname": "b", "path_prefix": "/", "route_class": "idempotent", "revision": "r7",
                  "mixture": [{ "service_ref": "s1", "gain": 0.25 }, { "service_ref": "s2", "gain": 3 }] },
            ],
            "tenant_set": [{ "label": "t1", "credentials": ["k1", "k2"], "rate_per_s": 10.5, "revision": "r3" }],
            // One with a null of its own.
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
    let db = earlier(&folder.0, &items);
    let files = || folder.names().into_iter().map(|n| (folder.file(&n), n)).collect::<Vec<_>>();
    let was = files();
    expect_that!(was, len(eq(2)));
    let printed = export(&folder.0).expect("exported").to_string();
    let refused = ReplicaStore::open(&folder.0, true).err();
    expect_that!(
        refused,
        some(matches_pattern!(StorageError::LegacyDatabase(contains_substring(LEGACY_DATABASE_FILE))))
    );
    expect_that!(files() == was, eq(true), "the disk stays as it was");
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
fn a_folder_without_a_disk_is_not_exported() {
    let folder = Folder::new("unlike");
    expect_that!(export(&folder.0).err(), some(matches_pattern!(ExportError::NoDisk(_))));
}
