//! Tests of compatibility with data stored by earlier builds. Two small disks, committed as files, are opened and read, and
//! a leader is run on them. Their records are also encoded again to the same bytes, so that an earlier build can read
//! data written by this one. Renamed identifiers must not change the stored form. `write_the_disks` created the disks.

use super::export_tests::SingleCore;
use crate::cli::export::export;
use crate::configuration::{ConfigItem, ItemFields, ItemKind};
use crate::consensus::{Entry, EntryPayload, LogWrite, NodeId};
use crate::control_plane::{decode_snapshot_config, ApiCommand};
use crate::discovery::{Worker, WorkerPhase};
use crate::protocol::LogCommand;
use crate::protocol::{EdgeCeilings, ShareCeilings, TenantCeiling};
use crate::storage::bootstrap_marker;
use crate::storage::tests::Folder;
use crate::storage::{LoadedState, ReplicaStore, WriteBatch, DATABASE_FILE, LEGACY_DATABASE_FILE, WAL_FILE};
use googletest::prelude::*;
use rusqlite::Connection;
use serde::Serialize;
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::sync::Arc;

const LOG_ONLY: &str = "log-only";
const SNAPSHOT: &str = "snapshot";

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/stored-data").join(name)
}

/// A copy of a committed disk. The file names are literals, as earlier builds wrote them.
fn copy(name: &str, test: &str) -> Folder {
    let folder = Folder::new(&format!("stored-{name}-{test}"));
    for file in ["replica.sqlite", "replica.sqlite-wal"] {
        std::fs::copy(fixture(name).join(file), folder.0.join(file)).expect(file);
    }
    folder
}

fn committed(name: &str, file: &str) -> Value {
    let text = std::fs::read_to_string(fixture(name).join(file)).expect(file);
    serde_json::from_str(&text).expect(file)
}

fn me() -> NodeId {
    NodeId { ip: [10, 0, 1, 1].into(), disk: 0 }
}

fn other() -> NodeId {
    NodeId { ip: [10, 0, 1, 2].into(), disk: 0x1122_3344_5566_7788 }
}

fn worker(id: &str, service: &str, last: u8, phase: WorkerPhase, calls: u64) -> Worker {
    let address = ([10, 2, 0, last], 8080).into();
    Worker {
        id: id.into(),
        service: service.into(),
        address,
        zone: "a".into(),
        capacity: 4,
        phase,
        warmup_ms: 250,
        heartbeat_seq: calls,
    }
}

fn edge_ceilings(node: &str, incarnation: u64, ceilings: &[(&str, f32)]) -> EdgeCeilings {
    let ceilings = ceilings.iter().map(|(t, c)| TenantCeiling { tenant: (*t).into(), ceiling: *c }).collect();
    EdgeCeilings { node: node.into(), incarnation, ceilings }
}

/// A full update with the ceilings of two edges.
fn full_ceilings() -> ShareCeilings {
    let edges = vec![
        edge_ceilings("edge-1", 11, &[("t1", 2.5), ("t2", 0.75)]),
        edge_ceilings("edge-2", 22, &[("t1", 5.0)]),
    ];
    ShareCeilings { term: 1, sequence: 3, edges, is_full: true, ended_edges: vec![] }
}

/// An incremental update after [`full_ceilings`].
fn incremental_ceilings() -> ShareCeilings {
    let edges = vec![edge_ceilings("edge-1", 11, &[("t1", 3.5), ("t2", 0.0)])];
    ShareCeilings { term: 1, sequence: 4, edges, is_full: false, ended_edges: vec!["edge-2".into()] }
}

/// The full update with which the next quota leader takes over both earlier updates.
fn taken_over_ceilings() -> ShareCeilings {
    let edges = vec![edge_ceilings("edge-1", 11, &[("t1", 3.5)])];
    ShareCeilings { term: 2, sequence: 1, edges, is_full: true, ended_edges: vec![] }
}

fn shares(shares: ShareCeilings) -> EntryPayload<LogCommand> {
    EntryPayload::Command(LogCommand::Shares(Arc::new(shares)))
}

fn first_call() -> Value {
    let route = |label: &str| {
        json!({ "label": label, "hostname": "a.example", "path_prefix": format!("/{label}/"), "route_class": "effectful",
            "service_ref": "s1", "cutoff": "900ms", "revision": "r1" })
    };
    let tenant = json!({ "label": "t1", "credentials": ["k1", "k2"], "rate_per_s": 10.5, "revision": "r3" });
    let services = json!([
        { "label": "s1", "probe_path": "/h", "conn_limit": null, "revision": "r1" },
        { "label": "s2", "probe_path": "/h", "later": { "any": [1, -2, 0.5, true, "text"] },
            "revision": "r18446744073709551615" },
    ]);
    let saturation = json!({ "body_max_bytes": 100_000, "revision": "r2" });
    json!({ "upsert": { "route_set": [route("r1"), route("r2")], "tenant_set": [tenant], "service_set": services,
        "saturation": saturation } })
}

fn service(label: &str, version: u64) -> Value {
    let revision = format!("r{version}");
    json!({ "upsert": { "service_set": [{ "label": label, "probe_path": format!("/h{version}"), "revision": revision }] } })
}

fn drop_all() -> Value {
    json!({ "remove": { "route_set": [{ "label": "r1", "revision": "r8" }], "service_set": [{ "label": "s3", "revision": "r9" }] } })
}

// Creation of the disks.

/// Appends these payloads to the log on a disk. They include ceilings and members as the leader of several machines would
/// write them.
fn append_to_log(folder: &Path, payloads: Vec<EntryPayload<LogCommand>>) {
    let (mut store, stored) = ReplicaStore::open(folder, false).expect("opens");
    let last = stored.raft_state.entries.last().expect("a log");
    let (term, next) = (last.term, last.index + 1);
    let entries =
        payloads.into_iter().zip(next..).map(|(payload, index)| Entry { term, index, payload }).collect();
    store
        .write(&[WriteBatch { log_writes: vec![LogWrite::Append(entries)], ..WriteBatch::default() }])
        .expect("written");
}

fn amend_all(machine: &mut SingleCore, bodies: &[Value]) {
    for body in bodies {
        assert_eq!(machine.amend(body), 200, "{body}");
    }
}

/// Writes the records of a disk to a new disk, which is smaller.
fn copy_records(from: &Path, to: &Path) -> LoadedState {
    let (_, stored) = ReplicaStore::open(from, false).expect("opens");
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to).expect("a folder");
    let (mut store, _) = ReplicaStore::open(to, true).expect("opens");
    let snapshot = stored
        .raft_state
        .snapshot
        .clone()
        .map(|snapshot| LogWrite::Snapshot { snapshot, replaces_log: true });
    let mut writes = vec![LogWrite::HardState { term: stored.raft_state.term, vote: stored.raft_state.vote }];
    writes.extend(snapshot);
    writes.push(LogWrite::Append(stored.raft_state.entries.clone()));
    store
        .write(&[WriteBatch { log_writes: writes, workers: stored.workers.clone(), ..WriteBatch::default() }])
        .expect("written");
    stored
}

fn add_workers(machine: &mut SingleCore) {
    for worker in [
        worker("w-settled", "s1", 1, WorkerPhase::Serving, 7),
        worker("w-decaying", "s2", 2, WorkerPhase::Draining, 9),
        worker("w-left", "s2", 3, WorkerPhase::Serving, 1),
    ] {
        assert_eq!(machine.call(ApiCommand::Heartbeat(worker)).0, 200);
    }
    assert_eq!(machine.call(ApiCommand::Departure("w-left".into())).0, 200);
}

/// This is a generator, not a skipped test. It created the committed disks at commit 884c06e, before the types were
/// renamed, and writes nothing unless STORED_DATA_TO names a folder:
/// `STORED_DATA_TO=FOLDER cargo test -p <this package> write_the_disks -- --ignored`. The committed files must stay as
/// that build wrote them; files written by a later build would not test compatibility with earlier ones.
#[test]
#[ignore = "makes the fixtures, checks nothing: run by hand with STORED_DATA_TO"]
fn write_the_disks() {
    let Some(to) = std::env::var_os("STORED_DATA_TO").map(PathBuf::from) else { return };
    let folder = Folder::new("write-log-only");
    let mut machine = SingleCore::start(&folder.0);
    amend_all(&mut machine, &[first_call(), service("s3", 4), service("s3", 5), drop_all()]);
    add_workers(&mut machine);
    let state_before = machine.call(ApiCommand::Read).1;
    drop(machine);
    let payloads = vec![
        EntryPayload::ConfChange([me(), other()].into()),
        shares(full_ceilings()),
        shares(incremental_ceilings()),
        EntryPayload::ConfChange([me()].into()),
    ];
    append_to_log(&folder.0, payloads);
    copy_records(&folder.0, &to.join(LOG_ONLY));
    write_expected(&to.join(LOG_ONLY), &state_before);

    let folder = Folder::new("write-snapshot");
    let mut machine = SingleCore::start(&folder.0);
    amend_all(&mut machine, &[first_call(), service("s3", 4), drop_all()]);
    // Several versions of a few items fill the log almost up to the next snapshot.
    let mut version = 1;
    let mut next = |machine: &mut SingleCore| {
        version += 1;
        assert!(version < 5000, "no snapshot");
        amend_all(machine, &[service(["s4", "s5"][version as usize % 2], version)]);
    };
    while machine.core.raft.entry_count() < 500 {
        next(&mut machine);
    }
    drop(machine);
    append_to_log(&folder.0, vec![shares(full_ceilings()), shares(incremental_ceilings())]);
    // The next quota leader takes the ceilings over, and a snapshot is written before they expire.
    let mut machine = SingleCore::start(&folder.0);
    while machine.core.raft.snapshot_index() == 0 {
        next(&mut machine);
    }
    let remove = json!({ "remove": { "service_set": [{ "label": "s4", "revision": "r9000" }] } });
    amend_all(&mut machine, &[service("s5", 9000), remove, service("s6", 1)]);
    add_workers(&mut machine);
    let state_before = machine.call(ApiCommand::Read).1;
    drop(machine);
    copy_records(&folder.0, &to.join(SNAPSHOT));
    write_expected(&to.join(SNAPSHOT), &state_before);
}

fn write_expected(to: &Path, state_before: &Value) {
    let write = |name: &str, value: &Value| {
        std::fs::write(to.join(name), serde_json::to_string_pretty(value).expect("JSON") + "\n")
            .expect("written");
    };
    write("expected.json", state_before);
    let exported = export(to).expect("exported");
    write("export.json", &exported.call);
    write("export-origin.json", &exported.origin);
}

// Tests.

/// Guards the file names of a disk. A disk with other file names would be treated as missing.
#[gtest]
fn the_file_names_of_a_disk_are_unchanged() {
    expect_that!(DATABASE_FILE, eq("replica.sqlite"));
    expect_that!(WAL_FILE, eq("replica.sqlite-wal"));
    expect_that!(LEGACY_DATABASE_FILE, eq("toolroom.sqlite"));
    expect_that!(bootstrap_marker::MARKER_FILE, eq("replica.bootstrap"));
}

fn stored_workers() -> Vec<Worker> {
    vec![
        worker("w-decaying", "s2", 2, WorkerPhase::Draining, 9),
        worker("w-settled", "s1", 1, WorkerPhase::Serving, 7),
    ]
}

#[gtest]
fn a_stored_log_is_read_as_it_was_written() {
    let folder = copy(LOG_ONLY, "read");
    let (_, stored) = ReplicaStore::open(&folder.0, false).expect("opens");
    expect_that!((stored.disk_id, stored.is_new), eq((0, false)));
    expect_that!((stored.raft_state.term, stored.raft_state.vote), eq((1, Some(me()))));
    expect_that!(stored.raft_state.snapshot, none());
    expect_that!(stored.workers, eq(&stored_workers()));
    let log = &stored.raft_state.entries;
    let positions: Vec<_> = log.iter().map(|e| (e.index, e.term)).collect();
    let expected: Vec<_> = std::iter::once((1, 0)).chain((2..=11).map(|index| (index, 1))).collect();
    expect_that!(positions, eq(&expected));
    let payloads: Vec<_> = log.iter().map(|e| e.payload.clone()).collect();
    assert_that!(payloads, len(eq(11)));
    let service = |label: &str, version, body: Option<Value>| ConfigItem {
        kind: ItemKind::Service,
        label: label.into(),
        version,
        body: body.as_ref().and_then(Value::as_object).map(ItemFields::from),
    };
    let sent = |version: u64| {
        let body =
            json!({ "label": "s3", "probe_path": format!("/h{version}"), "revision": format!("r{version}") });
        EntryPayload::Command(LogCommand::Configure(Arc::new(vec![service("s3", version, Some(body))])))
    };
    let dropped = ConfigItem { kind: ItemKind::Route, label: "r1".into(), version: 8, body: None };
    let dropped =
        EntryPayload::Command(LogCommand::Configure(Arc::new(vec![dropped, service("s3", 9, None)])));
    expect_that!(payloads[0], eq(&EntryPayload::ConfChange([me()].into())));
    expect_that!(payloads[1], eq(&EntryPayload::TermStart));
    // The first update of a quota leader is full and has no ceilings.
    let none = ShareCeilings { term: 1, sequence: 1, edges: vec![], is_full: true, ended_edges: vec![] };
    expect_that!(payloads[2], eq(&shares(none)));
    let named = |item: &ConfigItem| (item.kind, item.label.clone(), item.version);
    match &payloads[3] {
        EntryPayload::Command(LogCommand::Configure(change)) => expect_that!(
            change.iter().map(named).collect::<Vec<_>>(),
            unordered_elements_are![
                eq(&(ItemKind::Route, "r1".to_string(), 1)),
                eq(&(ItemKind::Route, "r2".to_string(), 1)),
                eq(&(ItemKind::Tenant, "t1".to_string(), 3)),
                eq(&(ItemKind::Service, "s1".to_string(), 1)),
                eq(&(ItemKind::Service, "s2".to_string(), u64::MAX)),
                eq(&(ItemKind::Saturation, "".to_string(), 2)),
            ]
        ),
        other => expect_that!(other, eq(&EntryPayload::TermStart), "the first change"),
    }
    expect_that!(payloads[4], eq(&sent(4)));
    expect_that!(payloads[5], eq(&sent(5)));
    expect_that!(payloads[6], eq(&dropped));
    expect_that!(payloads[7], eq(&EntryPayload::ConfChange([me(), other()].into())));
    expect_that!(payloads[8], eq(&shares(full_ceilings())));
    expect_that!(payloads[9], eq(&shares(incremental_ceilings())));
    expect_that!(payloads[10], eq(&EntryPayload::ConfChange([me()].into())));
}

#[gtest]
fn a_stored_snapshot_is_read_as_it_was_written() {
    let folder = copy(SNAPSHOT, "read");
    let (_, stored) = ReplicaStore::open(&folder.0, false).expect("opens");
    expect_that!((stored.disk_id, stored.is_new), eq((0, false)));
    expect_that!((stored.raft_state.term, stored.raft_state.vote), eq((2, Some(me()))));
    expect_that!(stored.workers, eq(&stored_workers()));
    let snapshot = stored.raft_state.snapshot.expect("a snapshot");
    expect_that!((snapshot.index, snapshot.term, snapshot.data.len()), eq((513, 2, 8002)));
    expect_that!(snapshot.voters, eq(&[me()].into()));
    let log = &stored.raft_state.entries;
    let ends = (log.first().map(|e| (e.index, e.term)), log.last().map(|e| (e.index, e.term)), log.len());
    expect_that!(ends, eq((Some((514, 2)), Some((516, 2)), 3)));
    let state = decode_snapshot_config(&snapshot.data).expect("a state");
    expect_that!(state.last_change_index(), eq(513));
    // The state includes removed items.
    let items: Vec<_> = state.all_items().map(|i| (i.kind, &*i.label, i.version, i.body.is_some())).collect();
    let expected = [
        (ItemKind::Route, "r1", 8, false),
        (ItemKind::Route, "r2", 1, true),
        (ItemKind::Tenant, "t1", 3, true),
        (ItemKind::Service, "s1", 1, true),
        (ItemKind::Service, "s2", u64::MAX, true),
        (ItemKind::Service, "s3", 9, false),
        (ItemKind::Service, "s4", 504, true),
        (ItemKind::Service, "s5", 503, true),
        (ItemKind::Saturation, "", 2, true),
    ];
    expect_that!(items, eq(&expected));
    // The snapshot consists of one byte for the format, the length of the ceilings, the ceilings, and the state. Each
    // part equals its present encoding.
    let (head, rest) = snapshot.data.split_at(5);
    let length = u32::from_be_bytes(head[1..].try_into().expect("four bytes")) as usize;
    expect_that!(head[0], eq(1));
    let ceilings: Option<Arc<ShareCeilings>> = rmp_serde::from_slice(&rest[..length]).expect("shares");
    expect_that!(ceilings, some(eq(&Arc::new(taken_over_ceilings()))));
    expect_that!(rmp_serde::to_vec(&ceilings).expect("encoded"), eq(&rest[..length]));
    expect_that!(
        state.encode() == rest[length..],
        eq(true),
        "the state is encoded to other bytes than those stored"
    );
}

/// Guards the ability of an earlier build to read data written by this one. The same records are encoded to the same
/// bytes.
#[gtest]
fn stored_records_are_encoded_to_the_stored_bytes() {
    fn bytes(record: &impl Serialize) -> Vec<u8> {
        rmp_serde::to_vec(record).expect("encoded")
    }
    for name in [LOG_ONLY, SNAPSHOT] {
        let folder = copy(name, "bytes");
        let (store, stored) = ReplicaStore::open(&folder.0, false).expect("opens");
        drop(store);
        let db = Connection::open(folder.0.join("replica.sqlite")).expect("opens");
        db.pragma_update(None, "locking_mode", "EXCLUSIVE").expect("set");
        let blobs = |sql: &str| -> Vec<Vec<u8>> {
            let mut rows = db.prepare(sql).expect(sql);
            let rows = rows.query_map([], |row| row.get(0)).expect(sql);
            rows.map(|blob| blob.expect(sql)).collect()
        };
        let votes: Vec<_> = stored.raft_state.vote.iter().map(bytes).collect();
        expect_that!(votes, len(eq(1)));
        expect_that!(blobs("SELECT vote FROM meta"), eq(&votes), "{name}: the vote");
        let entries: Vec<_> = stored.raft_state.entries.iter().map(|e| bytes(&e.payload)).collect();
        expect_that!(blobs("SELECT entry FROM log ORDER BY idx"), eq(&entries), "{name}: the log");
        let members: Vec<_> = stored.raft_state.snapshot.iter().map(|s| bytes(&s.voters)).collect();
        expect_that!(blobs("SELECT members FROM snapshot"), eq(&members), "{name}: the members");
        let workers: Vec<_> = stored.workers.iter().map(bytes).collect();
        expect_that!(blobs("SELECT worker FROM workers ORDER BY id"), eq(&workers), "{name}: the workers");
    }
}

#[gtest]
fn a_core_continues_from_a_stored_disk() {
    for (name, changed, past) in [(LOG_ONLY, "s1", ("s3", 5)), (SNAPSHOT, "s5", ("s5", 5))] {
        let folder = copy(name, "lead");
        let mut machine = SingleCore::start(&folder.0);
        let state_before = committed(name, "expected.json");
        expect_that!(machine.call(ApiCommand::Read), eq(&(200, state_before.clone())), "{name}");
        // A removed item stays removed, and a stored version is rejected with different content.
        let old = json!({ "upsert": { "service_set": [{ "label": "s3", "probe_path": "/h4", "revision": "r4" }] } });
        expect_that!(machine.amend(&old), eq(200), "{name}");
        let conflicting = json!({ "upsert": { "tenant_set": [{ "label": "t1", "credentials": ["k9"], "rate_per_s": 1, "revision": "r3" }] } });
        expect_that!(machine.amend(&conflicting), eq(409), "{name}");
        expect_that!(machine.call(ApiCommand::Read), eq(&(200, state_before.clone())), "{name}");
        // A superseded version is also rejected with different content.
        let other = json!({ "label": past.0, "probe_path": "/other", "revision": format!("r{}", past.1) });
        expect_that!(machine.amend(&json!({ "upsert": { "service_set": [other] } })), eq(409), "{name}");
        expect_that!(machine.amend(&service(past.0, past.1)), eq(200), "{name}");
        expect_that!(machine.call(ApiCommand::Read), eq(&(200, state_before.clone())), "{name}");
        // A further change is accepted and survives a restart.
        expect_that!(machine.amend(&service(changed, 9999)), eq(200), "{name}");
        let now = machine.call(ApiCommand::Read);
        expect_that!(now.0, eq(200));
        expect_that!(now.1, not(eq(&state_before)), "{name}");
        let fields = machine.core.configuration.state.body(ItemKind::Service, changed);
        let read = |field: &str| fields.as_ref().and_then(|f| f[field].as_str().map(str::to_owned));
        expect_that!(read("probe_path"), some(eq("/h9999")), "{name}");
        drop(machine);
        expect_that!(
            SingleCore::start(&folder.0).call(ApiCommand::Read),
            eq(&now),
            "{name}: after a restart"
        );
    }
}

#[gtest]
fn a_stored_disk_is_exported_unchanged() {
    for name in [LOG_ONLY, SNAPSHOT] {
        let folder = copy(name, "export");
        let exported = export(&folder.0).expect("exported");
        expect_that!(exported.call, eq(&committed(name, "export.json")), "{name}");
        expect_that!(exported.origin, eq(&committed(name, "export-origin.json")), "{name}");
    }
}
