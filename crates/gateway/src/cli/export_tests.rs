//! The way back when most of the core is lost for good: from a disk that is left, by a call, to a new core.

use crate::cli::export::{export, ExportError};
use crate::configuration::parse_change;
use crate::control_plane::{ApiCommand, CoreNode, Effect, Event, TICK_SECS};
use crate::settings::Settings;
use crate::storage::tests::Folder;
use crate::storage::{ReplicaStore, WriteBatch, DATABASE_FILE, WAL_FILE};
use googletest::prelude::*;
use serde_json::{json, Value};
use std::path::Path;

/// A core of one machine, on a real disk, by a clock of its own.
pub(crate) struct One {
    pub(crate) core: CoreNode,
    store: ReplicaStore,
    now: f64,
    replies: Vec<(u16, Value)>,
}

impl One {
    pub(crate) fn start(data: &Path) -> Self {
        let mut settings =
            Settings::from_toml(include_str!("../../tests/fixtures/settings.toml")).expect("settings");
        settings.ip = [10, 0, 1, 1].into();
        (settings.seeds, settings.cold_start) = (vec![(settings.ip, 80).into()], true);
        settings.tolerance.machines = 0;
        let (store, held) = ReplicaStore::open(data, settings.is_first_seed()).expect("a disk");
        let core = CoreNode::new(1000.0, settings, held).expect("a core");
        let mut one = One { core, store, now: 1000.0, replies: Vec::new() };
        let mut out = Vec::new();
        one.core.start(&mut out);
        one.carry_out(out);
        for _ in 0..60 {
            one.now += TICK_SECS;
            one.event(Event::Tick);
        }
        assert!(one.core.raft.is_leader());
        one
    }

    fn event(&mut self, event: Event) {
        let mut out = Vec::new();
        self.core.handle(self.now, event, &mut out);
        self.carry_out(out);
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        let puts: Vec<WriteBatch> = effects
            .iter()
            .filter_map(|e| match e {
                Effect::Persist(put) => Some(put.clone()),
                _ => None,
            })
            .collect();
        let replies = effects.into_iter().filter_map(|e| match e {
            Effect::Respond(_, status, body) => Some((status, body)),
            _ => None,
        });
        self.replies.extend(replies);
        if let Some(last) = puts.last().map(|p| p.sequence) {
            self.store.write(&puts).expect("written");
            self.event(Event::Persisted(last));
        }
    }

    /// The answer to a call; cuts of the log come with ticks.
    pub(crate) fn call(&mut self, command: ApiCommand) -> (u16, Value) {
        self.replies.clear();
        self.event(Event::ApiCall(1, command));
        self.now += TICK_SECS;
        self.event(Event::Tick);
        self.replies.pop().unwrap_or((0, Value::Null))
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

/// A disk with a snapshot, a log behind it, changed and dropped items; the last answer to a read.
fn worn(data: &Path) -> Value {
    let mut one = One::start(data);
    for round in 0..600 {
        expect_that!(one.amend(&services(&[service(round % 40, round + 1)])), eq(200));
    }
    let route = |label: &str| {
        json!({ "label": label, "hostname": "a", "path_prefix": format!("/{label}/"),
        "route_class": "effectful", "service_ref": "s0", "cutoff": "900ms", "revision": "r7" })
    };
    let tenant = json!({ "label": "t1", "credentials": ["k1", "k2"], "rate_per_s": 10.5, "revision": "r3" });
    let more = json!({ "upsert": { "route_set": [route("a"), route("b")], "tenant_set": [tenant] } });
    expect_that!(one.amend(&more), eq(200));
    let drop = json!({ "remove": {
        "route_set": [{ "label": "b", "revision": "r8" }], "service_set": [{ "label": "s9", "revision": "r1000" }],
    }});
    expect_that!(one.amend(&drop), eq(200));
    let (entries, behind) = (one.core.raft.entry_count(), one.core.raft.snapshot_index());
    expect_that!((entries, behind), (gt(10), gt(100)), "a snapshot, and a log behind it");
    one.call(ApiCommand::Read).1
}

#[gtest]
fn what_a_disk_holds_goes_on_in_a_new_core() {
    let (old, new) = (Folder::new("old"), Folder::new("new"));
    let stood = worn(&old.0);
    let files = || [DATABASE_FILE, WAL_FILE].map(|n| std::fs::read(old.0.join(n)).expect("a file"));
    let was = files();
    let exported = export(&old.0).expect("exported");
    expect_that!(files() == was, eq(true), "the disk stays as it was");
    let origin = &exported.origin;
    expect_that!(origin["committed_up_to_at_least"].as_u64(), some(gt(100)));
    expect_that!(origin["last_index"].as_u64(), some(gt(600)));
    expect_that!(origin["calls_behind_that"].as_u64(), some(gt(2)));
    expect_that!((origin["items"].as_u64(), origin["dropped"].as_u64()), (some(eq(41)), some(eq(2))));
    expect_that!(origin["members"][0].as_str(), some(eq("10.0.1.1/0")));

    let mut one = One::start(&new.0);
    let call = parse_change(exported.to_string().as_bytes()).expect("a call");
    expect_that!(one.call(ApiCommand::Amend(call.clone())).0, eq(200));
    let (status, stands) = one.call(ApiCommand::Read);
    expect_that!(status, eq(200));
    expect_that!(stands, eq(&stood));
    // Again, as after an answer that was lost.
    expect_that!(one.call(ApiCommand::Amend(call)).0, eq(200));
    // What comes late changes nothing, and revives nothing.
    expect_that!(one.amend(&services(&[service(9, 410), service(3, 4)])), eq(200));
    let route = json!({ "label": "b", "hostname": "a", "path_prefix": "/b/", "route_class": "effectful",
        "service_ref": "s0", "cutoff": "900ms", "revision": "r7" });
    expect_that!(one.amend(&json!({ "upsert": { "route_set": [route] } })), eq(200));
    expect_that!(one.call(ApiCommand::Read).1, eq(&stood));
    // A version that is held stays one content.
    let other = json!({ "label": "s3", "probe_path": "/other", "revision": "r564" });
    expect_that!(one.amend(&services(&[other])), eq(409));
    // And what is new is taken.
    expect_that!(one.amend(&services(&[service(9, 1001)])), eq(200));
}

#[gtest]
fn a_torn_or_foreign_disk_is_refused() {
    let old = Folder::new("torn");
    worn(&old.0);
    let (database, log) = (old.0.join(DATABASE_FILE), old.0.join(WAL_FILE));
    let whole = [std::fs::read(&database).expect("a file"), std::fs::read(&log).expect("a file")];
    let refused = |what: &str, why: &str| {
        let error = export(&old.0).err().map(|e| e.to_string()).unwrap_or_default();
        expect_that!(error, contains_substring(why), "{what}");
    };
    let put = |database_bytes: &[u8], log_bytes: &[u8]| {
        std::fs::write(&database, database_bytes).expect("written");
        std::fs::write(&log, log_bytes).expect("written");
    };
    std::fs::remove_file(&log).expect("removed");
    refused("no write-ahead log", "without");
    put(&[], &whole[1]);
    refused("cut to nothing", "cut to nothing");
    put(&whole[0][..whole[0].len() / 2], &[]);
    expect_that!(export(&old.0).is_err(), eq(true), "cut in half");
    put(b"some other file, long enough to have a head of one hundred bytes, which a database begins with, and more", &[]);
    refused("no database", "not a database");
    // A page holds something else: refused, but for pages that nothing lies in.
    put(&whole[0], &[]);
    let unharmed = export(&old.0).expect("exported").to_string();
    let mut refusals = 0;
    for page in 0..whole[0].len() / 4096 {
        let mut bytes = whole[0].clone();
        bytes[page * 4096..(page + 1) * 4096].fill(0x5a);
        put(&bytes, &[]);
        match export(&old.0) {
            Ok(export) => expect_that!(export.to_string(), eq(&unharmed), "page {page}"),
            Err(_) => refusals += 1,
        }
    }
    expect_that!(refusals, gt(5));
    put(&whole[0], &whole[1]);
    expect_that!(export(&old.0).is_ok(), eq(true));
    std::fs::remove_file(&database).expect("removed");
    expect_that!(export(&old.0).err(), some(matches_pattern!(ExportError::NoDisk(_))));
}
