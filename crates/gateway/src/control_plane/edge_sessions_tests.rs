//! What a core node sends to edge nodes on their connections: core nodes, configuration, workers, edge directory.

use super::super::{ApiCommand, ConnectionId, CoreNode, Effect, Event, TICK_SECS};
use crate::data_plane::{self, EdgeNode};
use crate::discovery::{Worker, WorkerPhase};
use crate::protocol::{encode, NodeLocation, PeerMessage};
use crate::settings::Settings;
use crate::storage::LoadedState;
use googletest::prelude::*;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::IpAddr;

fn ip(n: u8) -> IpAddr {
    [10, 0, 1, n].into()
}

fn hello(node: &str, ip: IpAddr, is_core: bool) -> PeerMessage {
    let location = NodeLocation { ip, zone: "a".into(), region: "r".into() };
    PeerMessage::Hello { node: node.into(), incarnation: 1, location, is_core }
}

/// The core nodes that these effects send to the edge node on connection 1.
fn core_nodes_sent(out: &[Effect]) -> Vec<IpAddr> {
    let addresses = |effect: &Effect| match effect {
        Effect::SendToSession(1, PeerMessage::CoreNodes(nodes)) => nodes.iter().map(|node| node.ip).collect(),
        _ => Vec::new(),
    };
    out.iter().flat_map(addresses).collect()
}

/// An edge node that has a single seed connects to this seed before the seed knows any other core node (empty disk,
/// partition). The edge node must learn of the other core nodes later. Otherwise it can reach none once the seed is
/// replaced.
#[gtest]
fn edge_learns_of_core_nodes_heard_after_it_connected() {
    let mut settings =
        Settings::from_toml(include_str!("../../tests/fixtures/settings.toml")).expect("settings");
    (settings.ip, settings.seeds, settings.cold_start) = (ip(3), vec![(ip(3), 80).into()], false);
    let loaded = LoadedState { disk_id: 7, is_new: true, ..LoadedState::default() };
    let mut core = CoreNode::new(1000.0, settings, loaded).expect("a core");
    let mut out = Vec::new();
    core.start(&mut out);
    core.handle(1000.0, Event::SessionMessage(1, hello("edge-0", [10, 0, 2, 1].into(), false)), &mut out);
    expect_that!(core_nodes_sent(&out), elements_are![eq(&ip(3))]);
    // Two other core nodes connect to it. They are not heard yet on connections that it opened.
    for n in [1, 2] {
        core.handle(1000.1, Event::SessionMessage(u64::from(n) + 1, hello("core", ip(n), true)), &mut out);
    }
    out.clear();
    for n in [1, 2] {
        core.handle(
            1000.2,
            Event::PeerMessage(ip(n), PeerMessage::WorkersReplicated { request_id: 0 }),
            &mut out,
        );
    }
    let ticks = |from: f64| (1..=10).map(move |n| from + f64::from(n) * TICK_SECS);
    for now in ticks(1000.2) {
        core.handle(now, Event::Tick, &mut out);
    }
    expect_that!(core_nodes_sent(&out), unordered_elements_are![eq(&ip(1)), eq(&ip(2)), eq(&ip(3))]);
    // An unchanged list is not sent again.
    out.clear();
    for now in ticks(1000.7) {
        core.handle(now, Event::Tick, &mut out);
    }
    expect_that!(core_nodes_sent(&out), is_empty());
}

/// A core node and edge nodes that are connected to it. Counts the bytes that the core node sends.
struct CoreWithEdges {
    now: f64,
    core: CoreNode,
    edges: Vec<ConnectedEdge>,
    last_conn: ConnectionId,
    /// Bytes sent to edge nodes, by kind of message.
    sent_bytes: BTreeMap<&'static str, usize>,
}

struct ConnectedEdge {
    edge: EdgeNode,
    conn: ConnectionId,
    /// Whether the edge node stops reading, so that messages to it queue up in `unread`.
    is_lagging: bool,
    unread: Vec<PeerMessage>,
}

fn settings() -> Settings {
    let mut settings =
        Settings::from_toml(include_str!("../../tests/fixtures/settings.toml")).expect("settings");
    (settings.ip, settings.seeds, settings.cold_start) = (ip(1), vec![(ip(1), 80).into()], true);
    settings
}

fn message_kind(msg: &PeerMessage) -> &'static str {
    match msg {
        PeerMessage::ConfigUpdate { previous: None, .. } => "configuration",
        PeerMessage::ConfigUpdate { .. } => "configuration update",
        PeerMessage::WorkerUpdates(_) => "worker updates",
        PeerMessage::WorkerSnapshot { .. } => "workers",
        PeerMessage::EdgeNodes { .. } => "edge directory",
        _ => "other",
    }
}

fn worker(n: usize, heartbeat_seq: u64) -> Worker {
    Worker {
        id: format!("i-{n}").into(),
        service: "planer".into(),
        address: ([10, 9, (n >> 8) as u8, n as u8], 80).into(),
        zone: "a".into(),
        capacity: 1,
        phase: WorkerPhase::Serving,
        warmup_ms: 0,
        heartbeat_seq,
    }
}

impl CoreWithEdges {
    fn new() -> Self {
        let core = CoreNode::new(1000.0, settings(), LoadedState::default()).expect("a core");
        let mut cluster =
            CoreWithEdges { now: 1000.0, core, edges: Vec::new(), last_conn: 1, sent_bytes: BTreeMap::new() };
        let mut out = Vec::new();
        cluster.core.start(&mut out);
        cluster.apply_effects(out);
        cluster.run_for(3.0);
        assert!(cluster.core.raft.is_leader());
        cluster
    }

    fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Persist(batch) => self.event(Event::Persisted(batch.sequence)),
                Effect::SendToSession(conn, msg) => {
                    *self.sent_bytes.entry(message_kind(&msg)).or_default() += encode(&msg).len();
                    let Some(n) = self.edges.iter().position(|e| e.conn == conn) else { continue };
                    match self.edges[n].is_lagging {
                        true => self.edges[n].unread.push(msg),
                        false => self.deliver(n, data_plane::Event::CoreMessage(ip(1), msg)),
                    }
                }
                _ => {}
            }
        }
    }

    fn event(&mut self, event: Event) {
        let mut out = Vec::new();
        self.core.handle(self.now, event, &mut out);
        self.apply_effects(out);
    }

    fn deliver(&mut self, n: usize, event: data_plane::Event) {
        let mut out = Vec::new();
        self.edges[n].edge.handle(self.now, event, &mut out);
        for effect in out {
            if let data_plane::Effect::Send(_, msg) = effect {
                self.event(Event::SessionMessage(self.edges[n].conn, msg));
            }
        }
    }

    /// Reconnects an edge node, or starts and connects a new one if `n` is `None`. Returns the index of the edge node.
    fn connect(&mut self, n: Option<usize>) -> usize {
        self.last_conn += 1;
        let conn = self.last_conn;
        let n = n.unwrap_or_else(|| {
            let mut settings = settings();
            let n = self.edges.len();
            settings.node = format!("edge-{n}");
            settings.ip = [10, 1, (n >> 8) as u8, n as u8].into();
            settings.seeds.push((ip(2), 80).into());
            let mut edge = EdgeNode::new(settings, n as u64 + 1);
            edge.start(&mut Vec::new());
            self.edges.push(ConnectedEdge { edge, conn, is_lagging: false, unread: Vec::new() });
            n
        });
        if self.edges[n].conn != conn {
            self.event(Event::SessionClosed(self.edges[n].conn));
            self.deliver(n, data_plane::Event::LinkDown(ip(1)));
            (self.edges[n].conn, self.edges[n].unread) = (conn, Vec::new());
        }
        self.deliver(n, data_plane::Event::LinkUp(ip(1)));
        n
    }

    fn run_for(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += TICK_SECS;
            self.event(Event::Tick);
            for n in 0..self.edges.len() {
                if !self.edges[n].is_lagging {
                    self.deliver(n, data_plane::Event::Tick);
                }
            }
        }
    }

    fn configure(&mut self, items: usize) {
        let services: Vec<_> = (0..items).map(|n| json!([format!("s{n}"), "/health", "r1"])).collect();
        let routes = json!([["r1", "a.example", "/x/", "effectful", "1s", "1s", 0, 1, "r1", "s0"]]);
        let columns =
            ["label", "hostname", "path_prefix", "route_class", "cutoff", "target", "rank", "max_attempts"];
        let columns: Vec<&str> = columns.into_iter().chain(["revision", "service_ref"]).collect();
        let body = json!({ "upsert": {
            "service_set": { "columns": ["label", "probe_path", "revision"], "records": services },
            "route_set": { "columns": columns, "records": routes },
        }});
        let items = crate::configuration::parse_change(body.to_string().as_bytes()).expect("a call");
        self.event(Event::ApiCall(1, ApiCommand::Amend(items)));
    }

    fn amend_service(&mut self, version: u64) {
        let body = json!({ "upsert": { "service_set": {
            "columns": ["label", "probe_path", "revision"], "records": [["s0", "/health", format!("r{version}")]],
        }}});
        let items = crate::configuration::parse_change(body.to_string().as_bytes()).expect("a call");
        self.event(Event::ApiCall(version, ApiCommand::Amend(items)));
    }

    fn heartbeat(&mut self, n: usize, heartbeat_seq: u64) {
        self.event(Event::ApiCall(1 << 20, ApiCommand::Heartbeat(worker(n, heartbeat_seq))));
    }

    fn sent_bytes(&self, kind: &str) -> usize {
        self.sent_bytes.get(kind).copied().unwrap_or(0)
    }

    /// Whether all edge nodes have the configuration and the workers of the core node.
    fn all_edges_are_current(&self) -> bool {
        let edge_state = |edge: &EdgeNode| match edge.ping_message(ip(1)) {
            PeerMessage::Ping { config_index, workers_digest, .. } => (config_index, workers_digest),
            _ => (0, 0),
        };
        let core_state =
            (self.core.configuration.state.last_change_index(), self.core.membership.registry.digest());
        self.edges.iter().all(|connected| edge_state(&connected.edge) == core_state)
    }
}

/// An edge node may connect before the core node was in contact with a majority for a worker's timeout. The edge node
/// must learn later that its worker list is complete.
#[gtest]
fn edge_becomes_ready_once_all_workers_are_known() {
    let mut cluster = CoreWithEdges::new();
    cluster.configure(2);
    let n = cluster.connect(None);
    cluster.run_for(1.0);
    expect_that!(cluster.edges[n].edge.is_ready(cluster.now), eq(false), "some workers may be unknown yet");
    cluster.run_for(8.0);
    expect_that!(cluster.edges[n].edge.is_ready(cluster.now), eq(true));
}

/// While many edge nodes connect one after the other, the edge directory sends the address of each edge node to every
/// other one only once.
#[gtest]
fn edge_directory_sends_each_edge_once_to_every_other() {
    let directory_bytes = |edge_count: usize| {
        let mut cluster = CoreWithEdges::new();
        for _ in 0..edge_count {
            cluster.connect(None);
            cluster.run_for(TICK_SECS);
        }
        cluster.run_for(2.0);
        expect_that!(cluster.core.edges.count(), eq(edge_count));
        let all_known = cluster.edges.iter().all(|e| e.edge.peer_count() == edge_count - 1);
        expect_that!(all_known, eq(true), "{edge_count} edge nodes: all are known");
        cluster.sent_bytes("edge directory")
    };
    for edge_count in [10, 40, 160] {
        // An address takes at most 15 bytes, the rest of a message about 20.
        expect_that!(
            directory_bytes(edge_count),
            le(edge_count * edge_count * (15 + 20)),
            "{edge_count} edge nodes"
        );
    }
}

/// An edge node that reconnects with the current state is sent no state again, and its reconnection causes no message
/// to other edge nodes.
#[gtest]
fn reconnected_edge_is_sent_nothing_again() {
    let mut cluster = CoreWithEdges::new();
    cluster.configure(50);
    (0..20).for_each(|n| cluster.heartbeat(n, 1));
    for _ in 0..10 {
        cluster.connect(None);
    }
    cluster.run_for(3.0);
    expect_that!(cluster.all_edges_are_current(), eq(true));
    cluster.sent_bytes.clear();
    for round in 0..5 {
        (0..20).for_each(|n| cluster.heartbeat(n, 2 + round));
        (0..10).for_each(|n| {
            cluster.connect(Some(n));
        });
        cluster.run_for(1.0);
    }
    expect_that!(
        cluster.sent_bytes("configuration")
            + cluster.sent_bytes("workers")
            + cluster.sent_bytes("worker updates"),
        eq(0)
    );
    // Only the edge directory is sent in full on each new connection.
    expect_that!(cluster.sent_bytes("edge directory"), le(5 * 10 * (10 * 15 + 30)));
    expect_that!(cluster.all_edges_are_current(), eq(true));
}

/// Bounds the core node's memory: an edge node that does not read is sent nothing beyond its window. Once it reads
/// again it is sent the current state.
#[gtest]
fn lagging_connection_is_not_filled_beyond_its_window() {
    let mut cluster = CoreWithEdges::new();
    cluster.core.context.settings.memory_bytes = 1 << 20;
    cluster.configure(20);
    let n = cluster.connect(None);
    cluster.run_for(3.0);
    cluster.edges[n].is_lagging = true;
    let mut max_unread_bytes = 0;
    for round in 0..200 {
        (0..20).for_each(|n| cluster.heartbeat(20 * round + n, 1));
        cluster.amend_service(round as u64 + 2);
        cluster.run_for(TICK_SECS);
        let unread_bytes = cluster.edges[n].unread.iter().map(|m| encode(m).len()).sum::<usize>();
        max_unread_bytes = max_unread_bytes.max(unread_bytes);
    }
    // The window is 131 KB by the memory limit; one message may exceed it.
    expect_that!(max_unread_bytes, all![gt(50_000), le(140_000)]);
    // The edge node reads again.
    cluster.edges[n].is_lagging = false;
    cluster.sent_bytes.clear();
    for msg in std::mem::take(&mut cluster.edges[n].unread) {
        cluster.deliver(n, data_plane::Event::CoreMessage(ip(1), msg));
    }
    cluster.run_for(3.0);
    expect_that!(cluster.all_edges_are_current(), eq(true));
    expect_that!(cluster.sent_bytes("configuration"), gt(0), "the edge node had missed changes");
}

/// While updates spread, the worker digests differ all the time. The full worker list is sent only once the digests
/// differ in the same way for the divergence timeout.
#[gtest]
fn full_worker_list_is_sent_only_on_lasting_divergence() {
    let mut cluster = CoreWithEdges::new();
    (0..300).for_each(|n| cluster.heartbeat(n, 1));
    for _ in 0..5 {
        cluster.connect(None);
    }
    cluster.run_for(8.0);
    cluster.sent_bytes.clear();
    // The updates reach the edge nodes through another core node first.
    for round in 0..200 {
        let update = PeerMessage::WorkerUpdates(vec![worker(300 + round, 1)]);
        for n in 0..5 {
            cluster.deliver(n, data_plane::Event::CoreMessage(ip(2), update.clone()));
        }
        cluster.run_for(TICK_SECS);
        cluster.event(Event::ApiCall(1 << 20, ApiCommand::Heartbeat(worker(300 + round, 1))));
        (0..300).for_each(|n| cluster.heartbeat(n, 2 + round as u64));
    }
    cluster.run_for(2.0);
    expect_that!(cluster.all_edges_are_current(), eq(true));
    expect_that!(cluster.sent_bytes("workers"), eq(0));
    // An edge node with a worker that no core node knows is sent the full list.
    cluster
        .deliver(0, data_plane::Event::CoreMessage(ip(2), PeerMessage::WorkerUpdates(vec![worker(9999, 1)])));
    cluster.run_for(5.0);
    expect_that!(cluster.all_edges_are_current(), eq(true));
    expect_that!(cluster.sent_bytes("workers"), all![gt(0), lt(100 * 600)]);
}
