//! Tests of the links to core nodes: to which addresses an edge node connects, and which links it closes.

use super::{EdgeNode, Effect, Event, TICK_SECS};
use crate::configuration::{ConfigItem, ItemKind};
use crate::protocol::{NodeLocation, PeerMessage};
use crate::settings::Settings;
use googletest::prelude::*;
use serde_json::{json, Value};
use std::net::IpAddr;

fn ip(n: u8) -> IpAddr {
    [10, 0, 1, n].into()
}

fn core_nodes(numbers: &[u8]) -> PeerMessage {
    PeerMessage::CoreNodes(
        numbers.iter().map(|n| NodeLocation { ip: ip(*n), zone: "a".into(), region: "r".into() }).collect(),
    )
}

/// Guards against a link that is kept forever: a core node was replaced, and its address now belongs to a program that
/// accepts connections without being a core node. The link to that address is closed. Links to seeds and to core nodes that
/// are listed by others are kept.
#[gtest]
fn an_address_reused_by_another_program_is_disconnected() {
    let mut settings =
        Settings::from_toml(include_str!("../../tests/fixtures/settings.toml")).expect("settings");
    settings.seeds = vec![(ip(1), 80).into(), (ip(4), 80).into()];
    let mut edge = EdgeNode::new(settings, 1);
    let (mut now, mut out) = (1000.0, Vec::new());
    edge.start(&mut out);
    edge.handle(now, Event::LinkUp(ip(1)), &mut out);
    edge.handle(now, Event::CoreMessage(ip(1), core_nodes(&[1, 2, 3])), &mut out);
    let is_connected =
        |out: &[Effect], n| out.iter().any(|e| matches!(e, Effect::Connect(to) if *to == ip(n)));
    expect_that!([1, 2, 3, 4].map(|n| is_connected(&out, n)), eq([true; 4]));
    edge.handle(now, Event::CoreMessage(ip(1), core_nodes(&[1, 3])), &mut out);
    out.clear();
    let mut is_up = false;
    for tick in 0..1400 {
        now += TICK_SECS;
        edge.handle(now, Event::Tick, &mut out);
        // Nodes 2 (the replaced core node) and 4 (a seed that is no core node) accept connections, send nothing, and close
        // them. Core node 3 is listed and down.
        if tick % 33 == 0 {
            is_up = !is_up;
            for n in [2, 4] {
                edge.handle(now, if is_up { Event::LinkUp(ip(n)) } else { Event::LinkDown(ip(n)) }, &mut out);
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
    let disconnects =
        |n| out.iter().filter(|e| matches!(e, Effect::Disconnect(from) if *from == ip(n))).count();
    expect_that!([1, 2, 3, 4].map(disconnects), eq([0, 1, 0, 0]));
    // Once node 2 is listed again, the edge node connects to it again.
    out.clear();
    edge.handle(now, Event::CoreMessage(ip(1), core_nodes(&[1, 2, 3])), &mut out);
    expect_that!(is_connected(&out, 2), eq(true));
}

/// Guards against an edge node that stops requiring credentials: when the last tenant is removed, when it then gets a full
/// configuration from a core node of an earlier release, which names no removed tenant, and when it has just started.
#[gtest]
fn edge_node_requires_credentials_from_the_first_tenant_on() {
    let mut settings =
        Settings::from_toml(include_str!("../../tests/fixtures/settings.toml")).expect("settings");
    settings.seeds = vec![(ip(1), 80).into()];
    let started = |incarnation| {
        let mut edge = EdgeNode::new(settings.clone(), incarnation);
        edge.start(&mut Vec::new());
        edge
    };
    let item = |kind, label: &str, version, body: Option<Value>| ConfigItem {
        kind,
        label: label.into(),
        version,
        body: body.and_then(|body| body.as_object().map(Into::into)),
    };
    let service = || item(ItemKind::Service, "s", 1, Some(json!({ "label": "s" })));
    let tenant = || item(ItemKind::Tenant, "t", 1, Some(json!({ "label": "t", "credentials": ["k"] })));
    let removed_tenant = || item(ItemKind::Tenant, "t", 2, None);
    let update = |previous, index, items| PeerMessage::ConfigUpdate { previous, index, items };
    let after = |edge: &mut EdgeNode, message| {
        edge.handle(1000.0, Event::CoreMessage(ip(1), message), &mut Vec::new());
        edge.active_config.requires_credentials
    };
    let mut edge = started(1);
    expect_that!(after(&mut edge, update(None, 1, vec![service()])), eq(false));
    expect_that!(after(&mut edge, update(Some(1), 2, vec![tenant()])), eq(true));
    expect_that!(after(&mut edge, update(Some(2), 3, vec![removed_tenant()])), eq(true));
    expect_that!(edge.active_config.tenant_by_credential("k").is_none(), eq(true));
    expect_that!(after(&mut edge, update(None, 4, vec![service()])), eq(true));
    let mut late = started(2);
    let items = vec![service(), ConfigItem::unnamed_removed_tenant()];
    expect_that!(after(&mut late, update(None, 4, items)), eq(true));
}
