//! Calls at a core node that has no contact with a majority, or that has just started.

use crate::configuration::{ConfigItem, ItemFields, ItemKind};
use crate::control_plane::{ApiCommand, CoreContext, CoreNode, Effect, Event, TICK_SECS};
use crate::discovery::{Worker, WorkerPhase};
use crate::protocol::{PeerMessage, CORE_PROTOCOL_VERSION, REMOVAL_RECORD_VERSION, SHUTDOWN_RECORD_VERSION};
use crate::settings::Settings;
use crate::storage::LoadedState;
use googletest::prelude::*;
use serde_json::json;
use std::net::IpAddr;

/// Seconds between two pings that reach the node under test.
const PING_INTERVAL_SECS: f64 = 0.3;

fn ip(n: u8) -> IpAddr {
    IpAddr::from([10, 0, 1, n])
}

/// The first of these seeds, five seconds after the first start of the system. The disk syncs at once, and no other
/// node responds.
fn started_node(seeds: &[u8]) -> CoreNode {
    let mut settings =
        Settings::from_toml(include_str!("../../tests/fixtures/settings.toml")).expect("settings");
    (settings.ip, settings.cold_start) = (ip(1), true);
    settings.seeds = seeds.iter().map(|n| (ip(*n), 80).into()).collect();
    settings.tolerance.machines = (seeds.len() - 1) / 2;
    let mut core = CoreNode::new(1000.0, settings, LoadedState::default()).expect("a core node");
    let mut out = Vec::new();
    core.start(&mut out);
    run(&mut core, 1000.0, 1005.0, out);
    core
}

/// Ticks from `from` to `to`. Write batches are synced before the next tick.
fn run(core: &mut CoreNode, from: f64, to: f64, mut out: Vec<Effect>) {
    let mut now = from;
    while now < to {
        for effect in std::mem::take(&mut out) {
            if let Effect::Persist(batch) = effect {
                core.handle(now, Event::Persisted(batch.sequence), &mut out);
            }
        }
        core.handle(now, Event::Tick, &mut out);
        now += TICK_SECS;
    }
}

/// Like [`run`], with pings from the second seed.
fn run_with_peer(core: &mut CoreNode, from: f64, to: f64) {
    let mut now = from;
    while now < to {
        let ping = PeerMessage::Ping { config_index: 0, workers_digest: 0, received: CORE_PROTOCOL_VERSION };
        let mut out = Vec::new();
        core.handle(now, Event::PeerMessage(ip(2), ping), &mut out);
        run(core, now, now + PING_INTERVAL_SECS, out);
        now += PING_INTERVAL_SECS;
    }
}

/// HTTP statuses of the immediate responses to a call.
fn call(core: &mut CoreNode, now: f64, command: ApiCommand) -> Vec<u16> {
    let mut out = Vec::new();
    core.handle(now, Event::ApiCall(7, command), &mut out);
    statuses(&out)
}

fn statuses(out: &[Effect]) -> Vec<u16> {
    let status = |e: &Effect| if let Effect::Respond(7, status, _) = e { Some(*status) } else { None };
    out.iter().filter_map(status).collect()
}

fn heartbeat(id: &str) -> Worker {
    Worker {
        id: id.into(),
        service: "planer".into(),
        address: ([10, 0, 3, 1], 80).into(),
        zone: "a".into(),
        capacity: 3,
        phase: WorkerPhase::Serving,
        warmup_ms: 0,
        heartbeat_seq: 1,
    }
}

/// A node without contact with a majority must not reject a call that it can't decode: a node of a newer release may be
/// able to.
#[gtest]
fn malformed_call_is_left_undetermined_without_a_majority() {
    for (seeds, status) in [(&[1][..], 400), (&[1, 2, 3][..], 503)] {
        let mut core = started_node(seeds);
        let statuses = call(&mut core, 1006.0, ApiCommand::Malformed("no address".into()));
        expect_that!(statuses, elements_are![eq(&status)]);
    }
}

/// Guards against an acknowledged departure that no disk holds: of a node that has just started or of one that knows every
/// worker, and of an unknown worker as well. Only what is committed is acknowledged.
#[gtest]
fn departure_is_acknowledged_only_once_it_is_committed() {
    let departure = || ApiCommand::Departure("i-unknown".into());
    let mut core = started_node(&[1, 2, 3]);
    // From now on two of three core nodes are in contact, but none leads.
    for until in [1006.0, 1013.0] {
        run_with_peer(&mut core, 1005.0, until);
        expect_that!(call(&mut core, until, departure()), elements_are![eq(&503)]);
    }
    let mut single = started_node(&[1]);
    let mut out = Vec::new();
    single.handle(1006.0, Event::ApiCall(7, departure()), &mut out);
    expect_that!(statuses(&out), is_empty());
    let sequence = |e: &Effect| if let Effect::Persist(batch) = e { Some(batch.sequence) } else { None };
    let written = out.iter().filter_map(sequence).max().expect("a write of the announcement");
    out.clear();
    single.handle(1006.1, Event::Persisted(written), &mut out);
    expect_that!(statuses(&out), elements_are![eq(&200)]);
}

/// Guards against a departure that leaves nothing behind because no heartbeat of the worker has arrived before it.
#[gtest]
fn late_first_heartbeat_of_a_departed_worker_registers_no_serving_worker() {
    let mut core = started_node(&[1]);
    let mut out = Vec::new();
    core.handle(1006.0, Event::ApiCall(7, ApiCommand::Departure("i-1".into())), &mut out);
    run(&mut core, 1006.0, 1006.2, out);
    expect_that!(call(&mut core, 1007.0, ApiCommand::Heartbeat(heartbeat("i-1"))), elements_are![eq(&200)]);
    expect_that!(call(&mut core, 1007.0, ApiCommand::Heartbeat(heartbeat("i-2"))), elements_are![eq(&200)]);
    let phase = |id: &str| core.membership.registry.get(id).map(|worker| worker.phase);
    expect_that!(phase("i-1"), some(eq(WorkerPhase::Departed)));
    expect_that!(phase("i-2"), some(eq(WorkerPhase::Serving)));
}

/// Guards against a restarted node that takes a late heartbeat before it knows which workers have departed meanwhile.
#[gtest]
fn heartbeat_is_refused_until_the_node_has_caught_up() {
    let mut core = started_node(&[1, 2, 3]);
    run_with_peer(&mut core, 1005.0, 1006.0);
    expect_that!(call(&mut core, 1006.0, ApiCommand::Heartbeat(heartbeat("i-1"))), elements_are![eq(&503)]);
    expect_that!(core.membership.registry.get("i-1").is_none(), eq(true));
}

/// Guards against an entry in the log that a core node of an earlier release can't decode, during a rolling upgrade.
#[gtest]
fn shutdown_is_not_recorded_beside_a_core_node_of_an_earlier_release() {
    let mut core = started_node(&[1]);
    let mut out = Vec::new();
    let ping = |version| PeerMessage::Ping { config_index: 0, workers_digest: 0, received: version };
    for (version, refused) in [(0, true), (CORE_PROTOCOL_VERSION, false)] {
        core.handle(1006.0, Event::PeerMessage(ip(2), ping(version)), &mut out);
        let statuses = call(&mut core, 1006.0, ApiCommand::Departure("i-1".into()));
        expect_that!(statuses.contains(&503), eq(refused));
    }
}

/// Guards against members that disagree during a rolling upgrade: removed names are recorded from an entry on that no
/// core node of an earlier release can decode, so not before every voter is known to be able to.
#[gtest]
fn removals_are_recorded_only_once_every_voter_can_decode_the_entry() {
    let service = |version| ConfigItem {
        kind: ItemKind::Service,
        label: "s".into(),
        version,
        body: json!({ "label": "s" }).as_object().map(ItemFields::from),
    };
    let ping = |version| PeerMessage::Ping { config_index: 0, workers_digest: 0, received: version };
    let mut core = started_node(&[1]);
    for (version, is_recording) in [(SHUTDOWN_RECORD_VERSION, false), (REMOVAL_RECORD_VERSION, true)] {
        let mut out = Vec::new();
        core.handle(1006.0, Event::PeerMessage(ip(2), ping(version)), &mut out);
        core.handle(1006.0, Event::ApiCall(7, ApiCommand::Amend(vec![service(version)])), &mut out);
        run(&mut core, 1006.0, 1006.2, out);
        expect_that!(core.configuration.state.last_change_index(), gt(0));
        expect_that!(core.configuration.state.records_removals(), eq(is_recording), "version {version}");
    }
    // A voter that has not named its version yet may be of an earlier release.
    let mut context = CoreContext::new(1000.0, core.context.settings.clone());
    context.voters = [ip(1), ip(2), ip(3)].into();
    for (peer, version, is_supported) in
        [(2, 2, false), (3, 1, false), (3, 2, true), (2, 1, false), (2, CORE_PROTOCOL_VERSION, true)]
    {
        context.record_protocol_version(ip(peer), version);
        expect_that!(
            context.all_voters_support(REMOVAL_RECORD_VERSION),
            eq(is_supported),
            "{peer}: {version}"
        );
    }
}
