//! Which core machines a gatekeeper reaches for.

use super::{EdgeNode, Effect, Event, TICK_SECS};
use crate::protocol::{NodeLocation, PeerMessage};
use crate::settings::Settings;
use googletest::prelude::*;
use std::net::IpAddr;

fn ip(n: u8) -> IpAddr {
    [10, 0, 1, n].into()
}

fn members(of: &[u8]) -> PeerMessage {
    PeerMessage::CoreNodes(
        of.iter().map(|n| NodeLocation { ip: ip(*n), zone: "a".into(), region: "r".into() }).collect(),
    )
}

/// Guards a gatekeeper whose core machine was replaced, and its address given to something that takes connections and
/// talks of something else: that address is not reached for any more; seeds and machines that are named always are.
#[gtest]
fn an_address_that_belongs_to_somebody_else_is_forgotten() {
    let mut settings =
        Settings::from_toml(include_str!("../../tests/fixtures/settings.toml")).expect("settings");
    settings.seeds = vec![(ip(1), 80).into(), (ip(4), 80).into()];
    let mut edge = EdgeNode::new(settings, 1);
    let (mut now, mut out) = (1000.0, Vec::new());
    edge.start(&mut out);
    edge.handle(now, Event::LinkUp(ip(1)), &mut out);
    edge.handle(now, Event::CoreMessage(ip(1), members(&[1, 2, 3])), &mut out);
    let reached = |out: &[Effect], n| out.iter().any(|e| matches!(e, Effect::Connect(to) if *to == ip(n)));
    expect_that!([1, 2, 3, 4].map(|n| reached(&out, n)), eq([true; 4]));
    edge.handle(now, Event::CoreMessage(ip(1), members(&[1, 3])), &mut out);
    out.clear();
    let mut up = false;
    for tick in 0..1400 {
        now += TICK_SECS;
        edge.handle(now, Event::Tick, &mut out);
        // The one that is no core machine any more, a seed that is none, and one that is named and down: connections that
        // are taken, and end after a silence.
        if tick % 33 == 0 {
            up = !up;
            for n in [2, 4] {
                edge.handle(now, if up { Event::LinkUp(ip(n)) } else { Event::LinkDown(ip(n)) }, &mut out);
            }
        }
        if tick % 10 == 0 {
            let pong = PeerMessage::Pong {
                quota_leader: None,
                edge_count: 1,
                core_count: 1,
                workers_complete: true,
            };
            edge.handle(now, Event::CoreMessage(ip(1), pong), &mut out);
        }
    }
    let left = |n| out.iter().filter(|e| matches!(e, Effect::Disconnect(from) if *from == ip(n))).count();
    expect_that!([1, 2, 3, 4].map(left), eq([0, 1, 0, 0]));
    // Named again, it is reached for again.
    out.clear();
    edge.handle(now, Event::CoreMessage(ip(1), members(&[1, 2, 3])), &mut out);
    expect_that!(reached(&out, 2), eq(true));
}
