//! What callers hear of a machine that is out of touch, or has just started.

use super::{ApiCommand, CoreNode, Effect, Event};
use crate::settings::Settings;
use crate::storage::LoadedState;
use googletest::prelude::*;
use std::net::IpAddr;

fn ip(n: u8) -> IpAddr {
    IpAddr::from([10, 0, 1, n])
}

/// The first of these seeds, five seconds after the first start of all; its disk is quick, the others are not there.
fn started(seeds: &[u8]) -> CoreNode {
    let mut settings =
        Settings::from_toml(include_str!("../../tests/fixtures/settings.toml")).expect("settings");
    (settings.ip, settings.cold_start) = (ip(1), true);
    settings.seeds = seeds.iter().map(|n| (ip(*n), 80).into()).collect();
    let mut core = CoreNode::new(1000.0, settings, LoadedState::default()).expect("a core");
    let mut out = Vec::new();
    core.start(&mut out);
    pass(&mut core, 1000.0, 1005.0, out);
    core
}

/// Lets time pass; what is to be persisted is at once.
fn pass(core: &mut CoreNode, from: f64, to: f64, mut out: Vec<Effect>) {
    let mut now = from;
    while now < to {
        for effect in std::mem::take(&mut out) {
            if let Effect::Persist(put) = effect {
                core.handle(now, Event::Persisted(put.sequence), &mut out);
            }
        }
        core.handle(now, Event::Tick, &mut out);
        now += super::TICK;
    }
}

/// The answers to a call.
fn replies(core: &mut CoreNode, now: f64, command: ApiCommand) -> Vec<u16> {
    let mut out = Vec::new();
    core.handle(now, Event::ApiCall(7, command), &mut out);
    out.iter()
        .filter_map(|e| if let Effect::Respond(7, status, _) = e { Some(*status) } else { None })
        .collect()
}

/// Guards "a machine that is cut off refuses nothing": what it can't read may be read elsewhere.
#[gtest]
fn a_machine_out_of_touch_leaves_also_malformed_calls_open() {
    for (seeds, status) in [(&[1][..], 400), (&[1, 2, 3][..], 503)] {
        let mut core = started(seeds);
        let replies = replies(&mut core, 1006.0, ApiCommand::Malformed("no address".into()));
        expect_that!(replies, elements_are![eq(&status)]);
    }
}

/// Guards "an acknowledged departure binds": a machine that has just started may not have heard yet of a worker that the
/// others know.
#[gtest]
fn a_departure_is_acknowledged_only_by_who_knows_every_worker() {
    let departure = || ApiCommand::Departure("i-unknown".into());
    let mut alone = started(&[1]);
    expect_that!(replies(&mut alone, 1006.0, departure()), elements_are![eq(&200)]);
    // Two of three are in touch from now on.
    let mut core = started(&[1, 2, 3]);
    let touch = |core: &mut CoreNode, from: f64, to: f64| {
        let mut now = from;
        while now < to {
            let ping = crate::protocol::PeerMessage::Ping { config_index: 0, workers_digest: 0, received: 0 };
            let mut out = Vec::new();
            core.handle(now, Event::PeerMessage(ip(2), ping), &mut out);
            pass(core, now, now + 0.3, out);
            now += 0.3;
        }
    };
    touch(&mut core, 1005.0, 1006.0);
    expect_that!(replies(&mut core, 1006.0, departure()), elements_are![eq(&503)]);
    touch(&mut core, 1006.0, 1013.0);
    expect_that!(replies(&mut core, 1013.0, departure()), elements_are![eq(&200)]);
}
