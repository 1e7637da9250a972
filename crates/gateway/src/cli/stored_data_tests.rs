//! Guards what earlier builds of the program stored: two small disks, committed as files, are opened, read, led from and
//! written on; their records are also encoded again, to the same bytes, so that an earlier build can read what this one
//! writes. A change of name in the code must not be seen here. How the disks were made: `write_the_disks` below.

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

/// A copy of a committed disk, under the file names that are literally those of earlier builds.
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

/// All, of one gatekeeper and of another.
fn whole_shares() -> ShareCeilings {
    let gates = vec![
        edge_ceilings("edge-1", 11, &[("t1", 2.5), ("t2", 0.75)]),
        edge_ceilings("edge-2", 22, &[("t1", 5.0)]),
    ];
    ShareCeilings { term: 1, sequence: 3, edges: gates, is_full: true, ended_edges: vec![] }
}

/// What changed since.
fn changed_shares() -> ShareCeilings {
    let gates = vec![edge_ceilings("edge-1", 11, &[("t1", 3.5), ("t2", 0.0)])];
    ShareCeilings { term: 1, sequence: 4, edges: gates, is_full: false, ended_edges: vec!["edge-2".into()] }
}

/// Both together, as the next holder of the counter took them over.
fn kept_shares() -> ShareCeilings {
    let gates = vec![edge_ceilings("edge-1", 11, &[("t1", 3.5)])];
    ShareCeilings { term: 2, sequence: 1, edges: gates, is_full: true, ended_edges: vec![] }
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

// How the disks were made.

/// What a core did, in a disk of its own; the records of shares and of members as a leader of several would write them.
fn written_on(folder: &Path, bodies: Vec<EntryPayload<LogCommand>>) {
    let (mut store, held) = ReplicaStore::open(folder, false).expect("opens");
    let last = held.raft_state.entries.last().expect("a log");
    let (term, next) = (last.term, last.index + 1);
    let entries =
        bodies.into_iter().zip(next..).map(|(payload, index)| Entry { term, index, payload }).collect();
    store
        .write(&[WriteBatch { log_writes: vec![LogWrite::Append(entries)], ..WriteBatch::default() }])
        .expect("written");
}

fn called(machine: &mut SingleCore, bodies: &[Value]) {
    for body in bodies {
        assert_eq!(machine.amend(body), 200, "{body}");
    }
}

/// The same records in a small new disk.
fn put_down(from: &Path, to: &Path) -> LoadedState {
    let (_, held) = ReplicaStore::open(from, false).expect("opens");
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to).expect("a folder");
    let (mut store, _) = ReplicaStore::open(to, true).expect("opens");
    let snapshot =
        held.raft_state.snapshot.clone().map(|snapshot| LogWrite::Snapshot { snapshot, replaces_log: true });
    let mut writes = vec![LogWrite::HardState { term: held.raft_state.term, vote: held.raft_state.vote }];
    writes.extend(snapshot);
    writes.push(LogWrite::Append(held.raft_state.entries.clone()));
    store
        .write(&[WriteBatch { log_writes: writes, workers: held.workers.clone(), ..WriteBatch::default() }])
        .expect("written");
    held
}

fn worked(machine: &mut SingleCore) {
    for worker in [
        worker("w-settled", "s1", 1, WorkerPhase::Serving, 7),
        worker("w-decaying", "s2", 2, WorkerPhase::Draining, 9),
        worker("w-left", "s2", 3, WorkerPhase::Serving, 1),
    ] {
        assert_eq!(machine.call(ApiCommand::Heartbeat(worker)).0, 200);
    }
    assert_eq!(machine.call(ApiCommand::Departure("w-left".into())).0, 200);
}

/// Not a check, and not one that is left out: this made the committed disks, by the program of commit 884c06e, before its
/// types were renamed. It writes nothing unless STORED_DATA_TO names a folder:
/// `STORED_DATA_TO=... cargo test -p <this package> write_the_disks -- --ignored`. The committed files must stay as that
/// build wrote them: made anew by a later build they would guard nothing.
#[test]
#[ignore = "makes the fixtures, checks nothing: run by hand with STORED_DATA_TO"]
fn write_the_disks() {
    let Some(to) = std::env::var_os("STORED_DATA_TO").map(PathBuf::from) else { return };
    let folder = Folder::new("write-log-only");
    let mut machine = SingleCore::start(&folder.0);
    called(&mut machine, &[first_call(), service("s3", 4), service("s3", 5), drop_all()]);
    worked(&mut machine);
    let stood = machine.call(ApiCommand::Read).1;
    drop(machine);
    let bodies = vec![
        EntryPayload::ConfChange([me(), other()].into()),
        shares(whole_shares()),
        shares(changed_shares()),
        EntryPayload::ConfChange([me()].into()),
    ];
    written_on(&folder.0, bodies);
    put_down(&folder.0, &to.join(LOG_ONLY));
    tell(&to.join(LOG_ONLY), &stood);

    let folder = Folder::new("write-snapshot");
    let mut machine = SingleCore::start(&folder.0);
    called(&mut machine, &[first_call(), service("s3", 4), drop_all()]);
    // Nearly up to a snapshot: several versions of a few items.
    let mut version = 1;
    let mut next = |machine: &mut SingleCore| {
        version += 1;
        assert!(version < 5000, "no snapshot");
        called(machine, &[service(["s4", "s5"][version as usize % 2], version)]);
    };
    while machine.core.raft.entry_count() < 500 {
        next(&mut machine);
    }
    drop(machine);
    written_on(&folder.0, vec![shares(whole_shares()), shares(changed_shares())]);
    // The next holder of the counter takes the ceilings over, and a snapshot is written before they lapse.
    let mut machine = SingleCore::start(&folder.0);
    while machine.core.raft.snapshot_index() == 0 {
        next(&mut machine);
    }
    let remove = json!({ "remove": { "service_set": [{ "label": "s4", "revision": "r9000" }] } });
    called(&mut machine, &[service("s5", 9000), remove, service("s6", 1)]);
    worked(&mut machine);
    let stood = machine.call(ApiCommand::Read).1;
    drop(machine);
    put_down(&folder.0, &to.join(SNAPSHOT));
    tell(&to.join(SNAPSHOT), &stood);
}

fn tell(to: &Path, stood: &Value) {
    let told = |name: &str, value: &Value| {
        std::fs::write(to.join(name), serde_json::to_string_pretty(value).expect("JSON") + "\n")
            .expect("written");
    };
    told("expected.json", stood);
    let exported = export(to).expect("exported");
    told("export.json", &exported.call);
    told("export-origin.json", &exported.origin);
}

// What is checked.

/// Guards names of files: a disk under another name would be taken for none.
#[gtest]
fn files_of_a_disk_have_the_names_that_they_had() {
    expect_that!(DATABASE_FILE, eq("replica.sqlite"));
    expect_that!(WAL_FILE, eq("replica.sqlite-wal"));
    expect_that!(LEGACY_DATABASE_FILE, eq("toolroom.sqlite"));
    expect_that!(bootstrap_marker::MARKER_FILE, eq("replica.bootstrap"));
}

fn workers_held() -> Vec<Worker> {
    vec![
        worker("w-decaying", "s2", 2, WorkerPhase::Draining, 9),
        worker("w-settled", "s1", 1, WorkerPhase::Serving, 7),
    ]
}

#[gtest]
fn a_stored_log_is_read_as_it_was_written() {
    let folder = copy(LOG_ONLY, "read");
    let (_, held) = ReplicaStore::open(&folder.0, false).expect("opens");
    expect_that!((held.disk_id, held.is_new), eq((0, false)));
    expect_that!((held.raft_state.term, held.raft_state.vote), eq((1, Some(me()))));
    expect_that!(held.raft_state.snapshot, none());
    expect_that!(held.workers, eq(&workers_held()));
    let log = &held.raft_state.entries;
    let places: Vec<_> = log.iter().map(|e| (e.index, e.term)).collect();
    let expected: Vec<_> = std::iter::once((1, 0)).chain((2..=11).map(|index| (index, 1))).collect();
    expect_that!(places, eq(&expected));
    let bodies: Vec<_> = log.iter().map(|e| e.payload.clone()).collect();
    assert_that!(bodies, len(eq(11)));
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
    expect_that!(bodies[0], eq(&EntryPayload::ConfChange([me()].into())));
    expect_that!(bodies[1], eq(&EntryPayload::TermStart));
    // The first of a holder of the counter: nobody has a share.
    let none = ShareCeilings { term: 1, sequence: 1, edges: vec![], is_full: true, ended_edges: vec![] };
    expect_that!(bodies[2], eq(&shares(none)));
    let named = |item: &ConfigItem| (item.kind, item.label.clone(), item.version);
    match &bodies[3] {
        EntryPayload::Command(LogCommand::Configure(order)) => expect_that!(
            order.iter().map(named).collect::<Vec<_>>(),
            unordered_elements_are![
                eq(&(ItemKind::Route, "r1".to_string(), 1)),
                eq(&(ItemKind::Route, "r2".to_string(), 1)),
                eq(&(ItemKind::Tenant, "t1".to_string(), 3)),
                eq(&(ItemKind::Service, "s1".to_string(), 1)),
                eq(&(ItemKind::Service, "s2".to_string(), u64::MAX)),
                eq(&(ItemKind::Saturation, "".to_string(), 2)),
            ]
        ),
        other => expect_that!(other, eq(&EntryPayload::TermStart), "the first order"),
    }
    expect_that!(bodies[4], eq(&sent(4)));
    expect_that!(bodies[5], eq(&sent(5)));
    expect_that!(bodies[6], eq(&dropped));
    expect_that!(bodies[7], eq(&EntryPayload::ConfChange([me(), other()].into())));
    expect_that!(bodies[8], eq(&shares(whole_shares())));
    expect_that!(bodies[9], eq(&shares(changed_shares())));
    expect_that!(bodies[10], eq(&EntryPayload::ConfChange([me()].into())));
}

#[gtest]
fn a_stored_snapshot_is_read_as_it_was_written() {
    let folder = copy(SNAPSHOT, "read");
    let (_, held) = ReplicaStore::open(&folder.0, false).expect("opens");
    expect_that!((held.disk_id, held.is_new), eq((0, false)));
    expect_that!((held.raft_state.term, held.raft_state.vote), eq((2, Some(me()))));
    expect_that!(held.workers, eq(&workers_held()));
    let snapshot = held.raft_state.snapshot.expect("a snapshot");
    expect_that!((snapshot.index, snapshot.term, snapshot.data.len()), eq((513, 2, 8002)));
    expect_that!(snapshot.voters, eq(&[me()].into()));
    let log = &held.raft_state.entries;
    let ends = (log.first().map(|e| (e.index, e.term)), log.last().map(|e| (e.index, e.term)), log.len());
    expect_that!(ends, eq((Some((514, 2)), Some((516, 2)), 3)));
    let state = decode_snapshot_config(&snapshot.data).expect("a state");
    expect_that!(state.last_change_index(), eq(513));
    // Dropped ones too.
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
    // One byte of format, the length of the shares, they, and the state: all of it as it would be written now.
    let (head, rest) = snapshot.data.split_at(5);
    let length = u32::from_be_bytes(head[1..].try_into().expect("four bytes")) as usize;
    expect_that!(head[0], eq(1));
    let told: Option<Arc<ShareCeilings>> = rmp_serde::from_slice(&rest[..length]).expect("shares");
    expect_that!(told, some(eq(&Arc::new(kept_shares()))));
    expect_that!(rmp_serde::to_vec(&told).expect("encoded"), eq(&rest[..length]));
    expect_that!(
        state.encode() == rest[length..],
        eq(true),
        "the state is encoded to other bytes than those stored"
    );
}

/// An earlier build must be able to read what this one writes, too: the same records give the same bytes.
#[gtest]
fn what_is_stored_is_encoded_to_the_bytes_stored() {
    fn bytes(record: &impl Serialize) -> Vec<u8> {
        rmp_serde::to_vec(record).expect("encoded")
    }
    for name in [LOG_ONLY, SNAPSHOT] {
        let folder = copy(name, "bytes");
        let (store, held) = ReplicaStore::open(&folder.0, false).expect("opens");
        drop(store);
        let db = Connection::open(folder.0.join("replica.sqlite")).expect("opens");
        db.pragma_update(None, "locking_mode", "EXCLUSIVE").expect("set");
        let blobs = |sql: &str| -> Vec<Vec<u8>> {
            let mut rows = db.prepare(sql).expect(sql);
            let rows = rows.query_map([], |row| row.get(0)).expect(sql);
            rows.map(|blob| blob.expect(sql)).collect()
        };
        let votes: Vec<_> = held.raft_state.vote.iter().map(bytes).collect();
        expect_that!(votes, len(eq(1)));
        expect_that!(blobs("SELECT vote FROM meta"), eq(&votes), "{name}: the vote");
        let entries: Vec<_> = held.raft_state.entries.iter().map(|e| bytes(&e.payload)).collect();
        expect_that!(blobs("SELECT entry FROM log ORDER BY idx"), eq(&entries), "{name}: the log");
        let members: Vec<_> = held.raft_state.snapshot.iter().map(|s| bytes(&s.voters)).collect();
        expect_that!(blobs("SELECT members FROM snapshot"), eq(&members), "{name}: the members");
        let workers: Vec<_> = held.workers.iter().map(bytes).collect();
        expect_that!(blobs("SELECT worker FROM workers ORDER BY id"), eq(&workers), "{name}: the workers");
    }
}

#[gtest]
fn a_core_goes_on_from_a_stored_disk() {
    for (name, changed, past) in [(LOG_ONLY, "s1", ("s3", 5)), (SNAPSHOT, "s5", ("s5", 5))] {
        let folder = copy(name, "lead");
        let mut machine = SingleCore::start(&folder.0);
        let stood = committed(name, "expected.json");
        expect_that!(machine.call(ApiCommand::Read), eq(&(200, stood.clone())), "{name}");
        // What is dropped stays so; a version that is held stays one content.
        let old = json!({ "upsert": { "service_set": [{ "label": "s3", "probe_path": "/h4", "revision": "r4" }] } });
        expect_that!(machine.amend(&old), eq(200), "{name}");
        let twin = json!({ "upsert": { "tenant_set": [{ "label": "t1", "credentials": ["k9"], "rate_per_s": 1, "revision": "r3" }] } });
        expect_that!(machine.amend(&twin), eq(409), "{name}");
        expect_that!(machine.call(ApiCommand::Read), eq(&(200, stood.clone())), "{name}");
        // That of a version that was overtaken, too.
        let other = json!({ "label": past.0, "probe_path": "/other", "revision": format!("r{}", past.1) });
        expect_that!(machine.amend(&json!({ "upsert": { "service_set": [other] } })), eq(409), "{name}");
        expect_that!(machine.amend(&service(past.0, past.1)), eq(200), "{name}");
        expect_that!(machine.call(ApiCommand::Read), eq(&(200, stood.clone())), "{name}");
        // A further order is taken, and is there after a start.
        expect_that!(machine.amend(&service(changed, 9999)), eq(200), "{name}");
        let now = machine.call(ApiCommand::Read);
        expect_that!(now.0, eq(200));
        expect_that!(now.1, not(eq(&stood)), "{name}");
        let fields = machine.core.configuration.state.body(ItemKind::Service, changed);
        let read = |field: &str| fields.as_ref().and_then(|f| f[field].as_str().map(str::to_owned));
        expect_that!(read("probe_path"), some(eq("/h9999")), "{name}");
        drop(machine);
        expect_that!(SingleCore::start(&folder.0).call(ApiCommand::Read), eq(&now), "{name}: after a start");
    }
}

#[gtest]
fn a_stored_disk_is_exported_as_it_was() {
    for name in [LOG_ONLY, SNAPSHOT] {
        let folder = copy(name, "export");
        let exported = export(&folder.0).expect("exported");
        expect_that!(exported.call, eq(&committed(name, "export.json")), "{name}");
        expect_that!(exported.origin, eq(&committed(name, "export-origin.json")), "{name}");
    }
}
