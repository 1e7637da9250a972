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

fn hello(node: &str, at: IpAddr, core: bool) -> PeerMessage {
    let me = NodeLocation { ip: at, zone: "a".into(), region: "r".into() };
    PeerMessage::Hello { node: node.into(), incarnation: 1, location: me, is_core: core }
}

/// The core nodes that these effects send to the edge node on connection 1.
fn core_nodes_sent(out: &[Effect]) -> Vec<IpAddr> {
    let of = |effect: &Effect| match effect {
        Effect::SendToSession(1, PeerMessage::CoreNodes(members)) => members.iter().map(|m| m.ip).collect(),
        _ => Vec::new(),
    };
    out.iter().flat_map(of).collect()
}

/// An edge node with one seed connects to it before that seed knows any other core node (empty disk, partition). It
/// must learn of the others later, or it is on its own once the seed is replaced.
#[gtest]
fn edge_learns_of_core_nodes_heard_after_it_connected() {
    let mut settings =
        Settings::from_toml(include_str!("../../tests/fixtures/settings.toml")).expect("settings");
    (settings.ip, settings.seeds, settings.cold_start) = (ip(3), vec![(ip(3), 80).into()], false);
    let held = LoadedState { disk_id: 7, is_new: true, ..LoadedState::default() };
    let mut core = CoreNode::new(1000.0, settings, held).expect("a core");
    let mut out = Vec::new();
    core.start(&mut out);
    core.handle(1000.0, Event::SessionMessage(1, hello("edge-0", [10, 0, 2, 1].into(), false)), &mut out);
    expect_that!(core_nodes_sent(&out), elements_are![eq(&ip(3))]);
    // Two others connect to the core node, which has not heard from them on a connection of its own yet.
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
    // The same list is not sent again.
    out.clear();
    for now in ticks(1000.7) {
        core.handle(now, Event::Tick, &mut out);
    }
    expect_that!(core_nodes_sent(&out), is_empty());
}

/// A core node and edge nodes connected to it; the bytes that it sends are counted.
struct CoreWithEdges {
    now: f64,
    core: CoreNode,
    edges: Vec<ConnectedEdge>,
    next: ConnectionId,
    /// Bytes sent to edge nodes, by kind of message.
    sent_bytes: BTreeMap<&'static str, usize>,
}

struct ConnectedEdge {
    edge: EdgeNode,
    conn: ConnectionId,
    /// It does not read: messages to it queue up in `unread`.
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

fn worker(n: usize, calls: u64) -> Worker {
    Worker {
        id: format!("i-{n}").into(),
        service: "planer".into(),
        address: ([10, 9, (n >> 8) as u8, n as u8], 80).into(),
        zone: "a".into(),
        capacity: 1,
        phase: WorkerPhase::Serving,
        warmup_ms: 0,
        heartbeat_seq: calls,
    }
}

impl CoreWithEdges {
    fn new() -> Self {
        let core = CoreNode::new(1000.0, settings(), LoadedState::default()).expect("a core");
        let mut cluster =
            CoreWithEdges { now: 1000.0, core, edges: Vec::new(), next: 1, sent_bytes: BTreeMap::new() };
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
                Effect::Persist(put) => self.event(Event::Persisted(put.sequence)),
                Effect::SendToSession(conn, msg) => {
                    *self.sent_bytes.entry(message_kind(&msg)).or_default() += encode(&msg).len();
                    let Some(n) = self.edges.iter().position(|g| g.conn == conn) else { continue };
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

    /// Starts an edge node (`None`) or reconnects this one.
    fn connect(&mut self, n: Option<usize>) -> usize {
        self.next += 1;
        let conn = self.next;
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
        let of =
            ["label", "hostname", "path_prefix", "route_class", "cutoff", "target", "rank", "max_attempts"];
        let of: Vec<&str> = of.into_iter().chain(["revision", "service_ref"]).collect();
        let body = json!({ "upsert": {
            "service_set": { "columns": ["label", "probe_path", "revision"], "records": services },
            "route_set": { "columns": of, "records": routes },
        }});
        let items = crate::configuration::parse_change(body.to_string().as_bytes()).expect("a call");
        self.event(Event::ApiCall(1, ApiCommand::Amend(items)));
    }

    fn change(&mut self, version: u64) {
        let body = json!({ "upsert": { "service_set": {
            "columns": ["label", "probe_path", "revision"], "records": [["s0", "/health", format!("r{version}")]],
        }}});
        let items = crate::configuration::parse_change(body.to_string().as_bytes()).expect("a call");
        self.event(Event::ApiCall(version, ApiCommand::Amend(items)));
    }

    fn heartbeat(&mut self, n: usize, calls: u64) {
        self.event(Event::ApiCall(1 << 20, ApiCommand::Heartbeat(worker(n, calls))));
    }

    fn sent_bytes(&self, kind: &str) -> usize {
        self.sent_bytes.get(kind).copied().unwrap_or(0)
    }

    fn all_agree(&self) -> bool {
        let of = |e: &EdgeNode| match e.ping_message(ip(1)) {
            PeerMessage::Ping { config_index: config, workers_digest: workers, .. } => (config, workers),
            _ => (0, 0),
        };
        let mine =
            (self.core.configuration.state.last_change_index(), self.core.membership.registry.digest());
        self.edges.iter().all(|g| of(&g.edge) == mine)
    }
}

/// An edge node that connected before the core had listened for a worker's timeout is told later that its list is
/// complete.
#[gtest]
fn edge_is_told_once_all_workers_are_known() {
    let mut cluster = CoreWithEdges::new();
    cluster.configure(2);
    let n = cluster.connect(None);
    cluster.run_for(1.0);
    expect_that!(cluster.edges[n].edge.is_ready(cluster.now), eq(false), "workers may be unheard of yet");
    cluster.run_for(8.0);
    expect_that!(cluster.edges[n].edge.is_ready(cluster.now), eq(true));
}

/// The edge directory costs bytes for each pair of edge nodes once, and no more, as many connect at a start.
#[gtest]
fn edge_directory_sends_each_edge_once_to_every_other() {
    let directory_bytes = |many: usize| {
        let mut cluster = CoreWithEdges::new();
        for _ in 0..many {
            cluster.connect(None);
            cluster.run_for(TICK_SECS);
        }
        cluster.run_for(2.0);
        expect_that!(cluster.core.edges.count(), eq(many));
        let all = cluster.edges.iter().all(|g| g.edge.peer_count() == many - 1);
        expect_that!(all, eq(true), "{many}: all are known");
        cluster.sent_bytes("edge directory")
    };
    for many in [10, 40, 160] {
        // An address takes at most 15 bytes, each message about 20.
        expect_that!(directory_bytes(many), le(many * many * (15 + 20)), "{many}");
    }
}

/// An edge node that reconnects and holds the current state is sent nothing again, and no other edge node hears of it.
#[gtest]
fn reconnected_edge_is_sent_nothing_again() {
    let mut cluster = CoreWithEdges::new();
    cluster.configure(50);
    (0..20).for_each(|n| cluster.heartbeat(n, 1));
    for _ in 0..10 {
        cluster.connect(None);
    }
    cluster.run_for(3.0);
    expect_that!(cluster.all_agree(), eq(true));
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
    // Only the edge directory starts anew with each connection.
    expect_that!(cluster.sent_bytes("edge directory"), le(5 * 10 * (10 * 15 + 30)));
    expect_that!(cluster.all_agree(), eq(true));
}

/// Bounds the core's memory: an edge node that does not read is sent no more, and afterwards the current state.
#[gtest]
fn lagging_connection_is_not_filled_beyond_its_window() {
    let mut cluster = CoreWithEdges::new();
    cluster.core.context.settings.memory_bytes = 1 << 20;
    cluster.configure(20);
    let n = cluster.connect(None);
    cluster.run_for(3.0);
    cluster.edges[n].is_lagging = true;
    let mut most = 0;
    for round in 0..200 {
        (0..20).for_each(|n| cluster.heartbeat(20 * round + n, 1));
        cluster.change(round as u64 + 2);
        cluster.run_for(TICK_SECS);
        most = most.max(cluster.edges[n].unread.iter().map(|m| encode(m).len()).sum::<usize>());
    }
    // 131 KB by the memory limit, and up to one message beyond it.
    expect_that!(most, all![gt(50_000), le(140_000)]);
    // It reads again.
    cluster.edges[n].is_lagging = false;
    cluster.sent_bytes.clear();
    for msg in std::mem::take(&mut cluster.edges[n].unread) {
        cluster.deliver(n, data_plane::Event::CoreMessage(ip(1), msg));
    }
    cluster.run_for(3.0);
    expect_that!(cluster.all_agree(), eq(true));
    expect_that!(cluster.sent_bytes("configuration"), gt(0), "it had missed changes");
}

/// While updates spread, digests differ all the time; the full list is sent only once a difference lasts.
#[gtest]
fn full_worker_list_is_sent_only_on_lasting_divergence() {
    let mut cluster = CoreWithEdges::new();
    (0..300).for_each(|n| cluster.heartbeat(n, 1));
    for _ in 0..5 {
        cluster.connect(None);
    }
    cluster.run_for(8.0);
    cluster.sent_bytes.clear();
    // Another core node's updates reach the edge nodes first each time.
    for round in 0..200 {
        let news = PeerMessage::WorkerUpdates(vec![worker(300 + round, 1)]);
        for n in 0..5 {
            cluster.deliver(n, data_plane::Event::CoreMessage(ip(2), news.clone()));
        }
        cluster.run_for(TICK_SECS);
        cluster.event(Event::ApiCall(1 << 20, ApiCommand::Heartbeat(worker(300 + round, 1))));
        (0..300).for_each(|n| cluster.heartbeat(n, 2 + round as u64));
    }
    cluster.run_for(2.0);
    expect_that!(cluster.all_agree(), eq(true));
    expect_that!(cluster.sent_bytes("workers"), eq(0));
    // One that holds a worker which nobody else knows is sent the full list.
    cluster
        .deliver(0, data_plane::Event::CoreMessage(ip(2), PeerMessage::WorkerUpdates(vec![worker(9999, 1)])));
    cluster.run_for(5.0);
    expect_that!(cluster.all_agree(), eq(true));
    expect_that!(cluster.sent_bytes("workers"), all![gt(0), lt(100 * 600)]);
}
