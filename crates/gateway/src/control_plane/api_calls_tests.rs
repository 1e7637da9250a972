//! Calls at a core node that has no contact with a majority, or that has just started.

use crate::control_plane::{ApiCommand, CoreNode, Effect, Event, TICK_SECS};
use crate::protocol::PeerMessage;
use crate::settings::Settings;
use crate::storage::LoadedState;
use googletest::prelude::*;
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
        let ping = PeerMessage::Ping { config_index: 0, workers_digest: 0, received: 0 };
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
    out.iter()
        .filter_map(|e| if let Effect::Respond(7, status, _) = e { Some(*status) } else { None })
        .collect()
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

/// An acknowledged departure is final for the worker, but a node that has just started may lack a worker that the other
/// core nodes hold as live. Such a node must not acknowledge the departure.
#[gtest]
fn unknown_departure_is_acknowledged_only_once_every_worker_is_known() {
    let departure = || ApiCommand::Departure("i-unknown".into());
    let mut single = started_node(&[1]);
    expect_that!(call(&mut single, 1006.0, departure()), elements_are![eq(&200)]);
    let mut core = started_node(&[1, 2, 3]);
    // From now on two of three core nodes are in contact.
    run_with_peer(&mut core, 1005.0, 1006.0);
    expect_that!(call(&mut core, 1006.0, departure()), elements_are![eq(&503)]);
    run_with_peer(&mut core, 1006.0, 1013.0);
    expect_that!(call(&mut core, 1013.0, departure()), elements_are![eq(&200)]);
}
