//! Tests of the recovery after the loss of a majority of the core: export of a remaining disk and import by a new core.

use crate::cli::export::{export, ExportError};
use crate::configuration::parse_change;
use crate::configuration::state::MAX_TOMBSTONES;
use crate::control_plane::{ApiCommand, CoreNode, Effect, Event, TICK_SECS};
use crate::settings::Settings;
use crate::storage::tests::Folder;
use crate::storage::{ReplicaStore, WriteBatch, DATABASE_FILE, WAL_FILE};
use googletest::prelude::*;
use serde_json::{json, Value};
use std::path::Path;

/// A core of one machine on a real disk, with a simulated clock.
pub(crate) struct SingleCore {
    pub(crate) core: CoreNode,
    store: ReplicaStore,
    now: f64,
    responses: Vec<(u16, Value)>,
}

impl SingleCore {
    pub(crate) fn start(data: &Path) -> Self {
        let mut settings =
            Settings::from_toml(include_str!("../../tests/fixtures/settings.toml")).expect("settings");
        settings.ip = [10, 0, 1, 1].into();
        (settings.seeds, settings.cold_start) = (vec![(settings.ip, 80).into()], true);
        settings.tolerance.machines = 0;
        let (store, stored) = ReplicaStore::open(data, settings.is_first_seed()).expect("a disk");
        let core = CoreNode::new(1000.0, settings, stored).expect("a core");
        let mut machine = SingleCore { core, store, now: 1000.0, responses: Vec::new() };
        let mut out = Vec::new();
        machine.core.start(&mut out);
        machine.carry_out(out);
        for _ in 0..60 {
            machine.now += TICK_SECS;
            machine.event(Event::Tick);
        }
        assert!(machine.core.raft.is_leader());
        machine
    }

    fn event(&mut self, event: Event) {
        let mut out = Vec::new();
        self.core.handle(self.now, event, &mut out);
        self.carry_out(out);
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        let batches: Vec<WriteBatch> = effects
            .iter()
            .filter_map(|e| match e {
                Effect::Persist(batch) => Some(batch.clone()),
                _ => None,
            })
            .collect();
        let responses = effects.into_iter().filter_map(|e| match e {
            Effect::Respond(_, status, body) => Some((status, body)),
            _ => None,
        });
        self.responses.extend(responses);
        if let Some(last) = batches.last().map(|b| b.sequence) {
            self.store.write(&batches).expect("written");
            self.event(Event::Persisted(last));
        }
    }

    /// Returns the response to a call after one more tick, in which the log may be compacted.
    pub(crate) fn call(&mut self, command: ApiCommand) -> (u16, Value) {
        self.responses.clear();
        self.event(Event::ApiCall(1, command));
        self.now += TICK_SECS;
        self.event(Event::Tick);
        self.responses.pop().unwrap_or((0, Value::Null))
    }

    pub(crate) fn amend(&mut self, body: &Value) -> u16 {
        self.call(ApiCommand::Amend(parse_change(body.to_string().as_bytes()).expect("a call"))).0
    }
}

fn service(n: usize, version: usize) -> Value {
    json!({ "label": format!("s{n}"), "probe_path": format!("/h{version}"), "conn_limit": null, "revision": format!("r{version}") })
}

fn services(all: &[Value]) -> Value {
    json!({ "upsert": { "service_set": all } })
}

/// Fills a disk with a snapshot, a log after it, and changed and removed items. Returns the last response to a read.
fn fill_disk(data: &Path) -> Value {
    let mut machine = SingleCore::start(data);
    for round in 0..600 {
        expect_that!(machine.amend(&services(&[service(round % 40, round + 1)])), eq(200));
    }
    let route = |label: &str| {
        json!({ "label": label, "hostname": "a", "path_prefix": format!("/{label}/"),
        "route_class": "effectful", "service_ref": "s0", "cutoff": "900ms", "revision": "r7" })
    };
    let tenant = json!({ "label": "t1", "credentials": ["k1", "k2"], "rate_per_s": 10.5, "revision": "r3" });
    let more = json!({ "upsert": { "route_set": [route("a"), route("b")], "tenant_set": [tenant] } });
    expect_that!(machine.amend(&more), eq(200));
    let drop = json!({ "remove": {
        "route_set": [{ "label": "b", "revision": "r8" }], "service_set": [{ "label": "s9", "revision": "r1000" }],
    }});
    expect_that!(machine.amend(&drop), eq(200));
    let raft = &machine.core.raft;
    let (entries, snapshot_index) = (raft.entry_count(), raft.snapshot_index());
    expect_that!((entries, snapshot_index), (gt(10), gt(100)), "a snapshot, and a log after it");
    machine.call(ApiCommand::Read).1
}

#[gtest]
fn an_export_restores_all_items_in_a_new_core() {
    let (old, new) = (Folder::new("old"), Folder::new("new"));
    let exported_state = fill_disk(&old.0);
    let files = || [DATABASE_FILE, WAL_FILE].map(|n| std::fs::read(old.0.join(n)).expect("a file"));
    let before = files();
    let exported = export(&old.0).expect("exported");
    expect_that!(files() == before, eq(true), "the disk is unchanged");
    let origin = &exported.origin;
    expect_that!(origin["committed_up_to_at_least"].as_u64(), some(gt(100)));
    expect_that!(origin["last_index"].as_u64(), some(gt(600)));
    expect_that!(origin["calls_behind_that"].as_u64(), some(gt(2)));
    expect_that!((origin["items"].as_u64(), origin["dropped"].as_u64()), (some(eq(41)), some(eq(2))));
    expect_that!(origin["members"][0].as_str(), some(eq("10.0.1.1/0")));

    let mut machine = SingleCore::start(&new.0);
    let call = parse_change(exported.to_string().as_bytes()).expect("a call");
    expect_that!(machine.call(ApiCommand::Amend(call.clone())).0, eq(200));
    let (status, state) = machine.call(ApiCommand::Read);
    expect_that!(status, eq(200));
    expect_that!(state, eq(&exported_state));
    // The import is repeated, as after a lost response.
    expect_that!(machine.call(ApiCommand::Amend(call)).0, eq(200));
    // Late calls of older versions change nothing, and restore no removed item.
    expect_that!(machine.amend(&services(&[service(9, 410), service(3, 4)])), eq(200));
    let route = json!({ "label": "b", "hostname": "a", "path_prefix": "/b/", "route_class": "effectful",
        "service_ref": "s0", "cutoff": "900ms", "revision": "r7" });
    expect_that!(machine.amend(&json!({ "upsert": { "route_set": [route] } })), eq(200));
    expect_that!(machine.call(ApiCommand::Read).1, eq(&exported_state));
    // A stored version is rejected with different content.
    let other = json!({ "label": "s3", "probe_path": "/other", "revision": "r564" });
    expect_that!(machine.amend(&services(&[other])), eq(409));
    // New versions are accepted.
    expect_that!(machine.amend(&services(&[service(9, 1001)])), eq(200));
}

#[gtest]
fn a_truncated_or_unrelated_disk_is_rejected() {
    let old = Folder::new("torn");
    fill_disk(&old.0);
    let (database, log) = (old.0.join(DATABASE_FILE), old.0.join(WAL_FILE));
    let intact = [std::fs::read(&database).expect("a file"), std::fs::read(&log).expect("a file")];
    let expect_rejected = |case: &str, error_part: &str| {
        let error = export(&old.0).err().map(|e| e.to_string()).unwrap_or_default();
        expect_that!(error, contains_substring(error_part), "{case}");
    };
    let write = |database_bytes: &[u8], log_bytes: &[u8]| {
        std::fs::write(&database, database_bytes).expect("written");
        std::fs::write(&log, log_bytes).expect("written");
    };
    std::fs::remove_file(&log).expect("removed");
    expect_rejected("no write-ahead log", "without");
    write(&[], &intact[1]);
    expect_rejected("empty database", "replica.sqlite is empty (0 bytes)");
    write(&intact[0][..intact[0].len() / 2], &[]);
    expect_that!(export(&old.0).is_err(), eq(true), "cut in half");
    write(b"some other file, long enough to have a head of machine hundred bytes, which a database begins with, and more", &[]);
    expect_rejected("no database", "not a database");
    // A disk with an overwritten page is rejected, unless the page holds no data.
    write(&intact[0], &[]);
    let expected = export(&old.0).expect("exported").to_string();
    let mut rejections = 0;
    for page in 0..intact[0].len() / 4096 {
        let mut bytes = intact[0].clone();
        bytes[page * 4096..(page + 1) * 4096].fill(0x5a);
        write(&bytes, &[]);
        match export(&old.0) {
            Ok(export) => expect_that!(export.to_string(), eq(&expected), "page {page}"),
            Err(_) => rejections += 1,
        }
    }
    expect_that!(rejections, gt(5));
    write(&intact[0], &intact[1]);
    expect_that!(export(&old.0).is_ok(), eq(true));
    std::fs::remove_file(&database).expect("removed");
    expect_that!(export(&old.0).err(), some(matches_pattern!(ExportError::NoDisk(_))));
}

/// Guards against a new core, set up from an exported disk, that requires no credentials because the old one removed its last
/// tenant: a short while ago, or so long ago that the tenant's name is unknown.
#[gtest]
fn imported_system_requires_credentials_as_the_exported_one_did() {
    for later_removals in [0, 2 * MAX_TOMBSTONES] {
        let folder = Folder::new(&format!("last-tenant-{later_removals}"));
        let mut machine = SingleCore::start(&folder.0);
        let tenant = json!({ "label": "t", "credentials": ["k"], "revision": "r1" });
        expect_that!(machine.amend(&json!({ "upsert": { "tenant_set": [tenant] } })), eq(200));
        let removal = |label: String| json!({ "label": label, "revision": "r2" });
        expect_that!(machine.amend(&json!({ "remove": { "tenant_set": [removal("t".into())] } })), eq(200));
        let routes: Vec<Value> = (0..later_removals).map(|n| removal(format!("r{n}"))).collect();
        expect_that!(machine.amend(&json!({ "remove": { "route_set": routes } })), eq(200));
        drop(machine);
        let call = export(&folder.0).expect("exported").call;
        let imported = Folder::new(&format!("last-tenant-imported-{later_removals}"));
        let mut machine = SingleCore::start(&imported.0);
        expect_that!(machine.core.configuration.state.has_had_tenants(), eq(false));
        expect_that!(machine.amend(&call), eq(200));
        expect_that!(machine.core.configuration.state.has_had_tenants(), eq(true), "{later_removals}");
    }
}
