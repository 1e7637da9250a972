//! What gatekeepers are told of core machines.

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

/// Core machines that the gatekeeper on connection 1 is told of by these.
fn told(out: &[Effect]) -> Vec<IpAddr> {
    let of = |effect: &Effect| match effect {
        Effect::SendToSession(1, PeerMessage::CoreNodes(members)) => members.iter().map(|m| m.ip).collect(),
        _ => Vec::new(),
    };
    out.iter().flat_map(of).collect()
}

/// Guards a gatekeeper whose list names one machine, started beside it before that one heard of any other (an empty disk,
/// cut off): it has to hear of the others, or it is alone once that one is replaced.
#[gtest]
fn a_gatekeeper_hears_of_machines_that_are_heard_after_it_came() {
    let mut settings =
        Settings::from_toml(include_str!("../../tests/fixtures/settings.toml")).expect("settings");
    (settings.ip, settings.seeds, settings.cold_start) = (ip(3), vec![(ip(3), 80).into()], false);
    let held = LoadedState { disk_id: 7, is_new: true, ..LoadedState::default() };
    let mut core = CoreNode::new(1000.0, settings, held).expect("a core");
    let mut out = Vec::new();
    core.start(&mut out);
    core.handle(1000.0, Event::SessionMessage(1, hello("edge-0", [10, 0, 2, 1].into(), false)), &mut out);
    expect_that!(told(&out), elements_are![eq(&ip(3))]);
    // Two others reach it at once; nothing was heard of them on a connection of its own yet.
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
    expect_that!(told(&out), unordered_elements_are![eq(&ip(1)), eq(&ip(2)), eq(&ip(3))]);
    // And is not told the same again.
    out.clear();
    for now in ticks(1000.7) {
        core.handle(now, Event::Tick, &mut out);
    }
    expect_that!(told(&out), is_empty());
}

/// A core machine and gatekeepers beside it, with what is said between them counted in bytes.
struct Cell {
    now: f64,
    core: CoreNode,
    edges: Vec<Gate>,
    next: ConnectionId,
    /// Bytes that the core said to gatekeepers, by the message's kind.
    said: BTreeMap<&'static str, usize>,
}

struct Gate {
    edge: EdgeNode,
    conn: ConnectionId,
    /// What was said to it waits: it does not read.
    lags: bool,
    waits: Vec<PeerMessage>,
}

fn settings() -> Settings {
    let mut settings =
        Settings::from_toml(include_str!("../../tests/fixtures/settings.toml")).expect("settings");
    (settings.ip, settings.seeds, settings.cold_start) = (ip(1), vec![(ip(1), 80).into()], true);
    settings
}

fn kind(msg: &PeerMessage) -> &'static str {
    match msg {
        PeerMessage::ConfigUpdate { previous: None, .. } => "configuration",
        PeerMessage::ConfigUpdate { .. } => "change",
        PeerMessage::WorkerUpdates(_) => "news",
        PeerMessage::WorkerSnapshot { .. } => "workers",
        PeerMessage::EdgeNodes { .. } => "gatekeepers",
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
        call_count: calls,
    }
}

impl Cell {
    fn new() -> Self {
        let core = CoreNode::new(1000.0, settings(), LoadedState::default()).expect("a core");
        let mut cell = Cell { now: 1000.0, core, edges: Vec::new(), next: 1, said: BTreeMap::new() };
        let mut out = Vec::new();
        cell.core.start(&mut out);
        cell.carry_out(out);
        cell.play(3.0);
        assert!(cell.core.raft.is_leader());
        cell
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Persist(put) => self.event(Event::Persisted(put.sequence)),
                Effect::SendToSession(conn, msg) => {
                    *self.said.entry(kind(&msg)).or_default() += encode(&msg).len();
                    let Some(n) = self.edges.iter().position(|g| g.conn == conn) else { continue };
                    match self.edges[n].lags {
                        true => self.edges[n].waits.push(msg),
                        false => self.tell(n, data_plane::Event::CoreMessage(ip(1), msg)),
                    }
                }
                _ => {}
            }
        }
    }

    fn event(&mut self, event: Event) {
        let mut out = Vec::new();
        self.core.handle(self.now, event, &mut out);
        self.carry_out(out);
    }

    fn tell(&mut self, n: usize, event: data_plane::Event) {
        let mut out = Vec::new();
        self.edges[n].edge.handle(self.now, event, &mut out);
        for effect in out {
            if let data_plane::Effect::Send(_, msg) = effect {
                self.event(Event::SessionMessage(self.edges[n].conn, msg));
            }
        }
    }

    /// A gatekeeper starts, or opens its connection again.
    fn joins(&mut self, n: Option<usize>) -> usize {
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
            self.edges.push(Gate { edge, conn, lags: false, waits: Vec::new() });
            n
        });
        if self.edges[n].conn != conn {
            self.event(Event::SessionClosed(self.edges[n].conn));
            self.tell(n, data_plane::Event::LinkDown(ip(1)));
            (self.edges[n].conn, self.edges[n].waits) = (conn, Vec::new());
        }
        self.tell(n, data_plane::Event::LinkUp(ip(1)));
        n
    }

    fn play(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += TICK_SECS;
            self.event(Event::Tick);
            for n in 0..self.edges.len() {
                if !self.edges[n].lags {
                    self.tell(n, data_plane::Event::Tick);
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

    fn beats(&mut self, n: usize, calls: u64) {
        self.event(Event::ApiCall(1 << 20, ApiCommand::Heartbeat(worker(n, calls))));
    }

    fn said(&self, kind: &str) -> usize {
        self.said.get(kind).copied().unwrap_or(0)
    }

    fn agree(&self) -> bool {
        let of = |e: &EdgeNode| match e.ping_message(ip(1)) {
            PeerMessage::Ping { config_index: config, workers_digest: workers, .. } => (config, workers),
            _ => (0, 0),
        };
        let mine =
            (self.core.configuration.state.last_change_index(), self.core.membership.registry.digest());
        self.edges.iter().all(|g| of(&g.edge) == mine)
    }
}

/// Guards a gatekeeper that came before the core had listened for long enough: it hears that no worker is lacking.
#[gtest]
fn that_all_workers_are_known_is_told_by_itself() {
    let mut cell = Cell::new();
    cell.configure(2);
    let n = cell.joins(None);
    cell.play(1.0);
    expect_that!(cell.edges[n].edge.is_ready(cell.now), eq(false), "workers may be unheard of yet");
    cell.play(8.0);
    expect_that!(cell.edges[n].edge.is_ready(cell.now), eq(true));
}

/// Guards the core at a start: what it tells of gatekeepers grows with each one that each hears of once, and no faster.
#[gtest]
fn each_gatekeeper_hears_of_each_other_once() {
    let told = |many: usize| {
        let mut cell = Cell::new();
        for _ in 0..many {
            cell.joins(None);
            cell.play(TICK_SECS);
        }
        cell.play(2.0);
        expect_that!(cell.core.edges.count(), eq(many));
        let all = cell.edges.iter().all(|g| g.edge.peer_count() == many - 1);
        expect_that!(all, eq(true), "{many}: all are known");
        cell.said("gatekeepers")
    };
    for many in [10, 40, 160] {
        // An address takes 15 bytes at the most, each message some 20.
        expect_that!(told(many), le(many * many * (15 + 20)), "{many}");
    }
}

/// Guards the core where links break: one that is back and knows all is told nothing again, nor is anybody of it.
#[gtest]
fn a_gatekeeper_that_is_back_is_no_newcomer() {
    let mut cell = Cell::new();
    cell.configure(50);
    (0..20).for_each(|n| cell.beats(n, 1));
    for _ in 0..10 {
        cell.joins(None);
    }
    cell.play(3.0);
    expect_that!(cell.agree(), eq(true));
    cell.said.clear();
    for round in 0..5 {
        (0..20).for_each(|n| cell.beats(n, 2 + round));
        (0..10).for_each(|n| {
            cell.joins(Some(n));
        });
        cell.play(1.0);
    }
    expect_that!(cell.said("configuration") + cell.said("workers") + cell.said("news"), eq(0));
    // Its connection is new, and so is what was said on it of the others: once, to itself.
    expect_that!(cell.said("gatekeepers"), le(5 * 10 * (10 * 15 + 30)));
    expect_that!(cell.agree(), eq(true));
}

/// Guards the core's memory: one that does not read is told no more, and then what stands, not all that came between.
#[gtest]
fn a_link_that_lags_is_not_filled_further() {
    let mut cell = Cell::new();
    cell.core.context.settings.memory_bytes = 1 << 20;
    cell.configure(20);
    let n = cell.joins(None);
    cell.play(3.0);
    cell.edges[n].lags = true;
    let mut most = 0;
    for round in 0..200 {
        (0..20).for_each(|n| cell.beats(20 * round + n, 1));
        cell.change(round as u64 + 2);
        cell.play(TICK_SECS);
        most = most.max(cell.edges[n].waits.iter().map(|m| encode(m).len()).sum::<usize>());
    }
    // 131 KB by the memory, and what one message may go beyond it.
    expect_that!(most, all![gt(50_000), le(140_000)]);
    // It reads again.
    cell.edges[n].lags = false;
    cell.said.clear();
    for msg in std::mem::take(&mut cell.edges[n].waits) {
        cell.tell(n, data_plane::Event::CoreMessage(ip(1), msg));
    }
    cell.play(3.0);
    expect_that!(cell.agree(), eq(true));
    expect_that!(cell.said("configuration"), gt(0), "it had missed changes");
}

/// Guards the links at many workers: while news goes round, lists differ all the time, and none is told whole.
#[gtest]
fn whole_lists_are_told_only_where_something_is_lacked() {
    let mut cell = Cell::new();
    (0..300).for_each(|n| cell.beats(n, 1));
    for _ in 0..5 {
        cell.joins(None);
    }
    cell.play(8.0);
    cell.said.clear();
    // Another core machine's news reaches the gatekeepers ahead of this one each time.
    for round in 0..200 {
        let news = PeerMessage::WorkerUpdates(vec![worker(300 + round, 1)]);
        for n in 0..5 {
            cell.tell(n, data_plane::Event::CoreMessage(ip(2), news.clone()));
        }
        cell.play(TICK_SECS);
        cell.event(Event::ApiCall(1 << 20, ApiCommand::Heartbeat(worker(300 + round, 1))));
        (0..300).for_each(|n| cell.beats(n, 2 + round as u64));
    }
    cell.play(2.0);
    expect_that!(cell.agree(), eq(true));
    expect_that!(cell.said("workers"), eq(0));
    // One that holds a worker which nobody knows is told all, once.
    cell.tell(0, data_plane::Event::CoreMessage(ip(2), PeerMessage::WorkerUpdates(vec![worker(9999, 1)])));
    cell.play(5.0);
    expect_that!(cell.agree(), eq(true));
    expect_that!(cell.said("workers"), all![gt(0), lt(100 * 600)]);
}
