//! Snapshots of megabytes: made, sent, taken and written in small steps while the log goes on. And what each step costs
//! at the largest size: `cargo test --release -p whinstall-gateway measure_a_repair -- --ignored --nocapture`.

use super::super::{CoreNode, Effect, Event, TICK};
use super::{decode, SnapshotReceiver, SnapshotWriter, STEP};
use crate::configuration::{ConfigItem, ConfigState, ItemFields, ItemKind};
use crate::consensus::LogWrite;
use crate::protocol::PeerMessage;
use crate::settings::Settings;
use crate::storage::{ReplicaStore, WriteBatch, SNAPSHOT_CHUNK_BYTES};
use googletest::prelude::*;
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;
use std::path::PathBuf;
use std::time::Instant;

fn item(kind: ItemKind, label: String, version: u64, mut body: Value) -> ConfigItem {
    (body["label"], body["revision"]) = (json!(label), json!(format!("r{version}")));
    ConfigItem { kind, label, version, body: body.as_object().map(ItemFields::from) }
}

fn tenant(n: usize, version: u64) -> ConfigItem {
    let key = |part: usize| format!("{:020x}", (n * 2 + part).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let body =
        json!({ "credentials": [key(0), key(1)], "rank": 0, "rate_per_s": 122, "burst_size": version });
    item(ItemKind::Tenant, format!("tenant{n:06}"), version, body)
}

/// A configuration of so many tenants, with an eighth as many routes.
fn configuration(tenants: usize) -> Vec<ConfigItem> {
    let services = tenants / 120 + 1;
    let service = |n: usize| format!("srv{:04}a", n % services);
    let route = |n: usize| {
        let parts =
            json!([{ "service_ref": service(n), "gain": 90 }, { "service_ref": service(n + 1), "gain": 10 }]);
        let body = json!({ "hostname": format!("h{}.example", n / 4), "path_prefix": format!("/lepu{n}/"),
            "route_class": "idempotent", "cutoff": "2500ms", "target": "400ms", "rank": 2, "mixture": parts,
            "max_attempts": 2, "unkeyed": false });
        item(ItemKind::Route, format!("r-{n:07}"), 7, body)
    };
    let whole =
        |n| item(ItemKind::Service, service(n), 7, json!({ "probe_path": "/health", "conn_limit": 130 }));
    let services = (0..services).map(whole);
    services.chain((0..tenants / 8).map(route)).chain((0..tenants).map(|n| tenant(n, 7))).collect()
}

/// Bytes of a state, made while the state changes, are those of the state as it was; taken in pieces cut anywhere they
/// give it again, and each part that goes to the disk ahead goes on from the last.
#[gtest]
fn a_snapshot_is_what_was_when_it_began_however_it_is_cut() {
    let mut state = ConfigState::default();
    let _ = state.apply(1, &configuration(3000));
    let was = state.clone();
    let mut making = SnapshotWriter::new((1, 1), &state, None, 0);
    let (mut ahead, mut index) = (Vec::new(), 1);
    while let Some(part) = making.step() {
        expect_that!(part.offset, eq(ahead.len() as u64));
        expect_that!(part.data.len() % SNAPSHOT_CHUNK_BYTES, eq(0));
        expect_that!(part.data.len(), le(STEP + SNAPSHOT_CHUNK_BYTES));
        ahead.extend_from_slice(&part.data);
        index += 1;
        let _ = state.apply(index, &[tenant(index as usize * 97 % 3000, 7 + index)]);
    }
    let bytes = making.finish();
    expect_that!(index, gt(2));
    expect_that!(bytes.starts_with(&ahead), eq(true));
    assert_that!(decode(&bytes).expect("decoded").0 == was, eq(true));
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut taking, mut come, mut ahead) = (SnapshotReceiver::new((1, 1)), 0, Vec::new());
        while come < bytes.len() {
            come = (come + rng.usize(1..200_000)).min(bytes.len());
            if let Some(part) = taking.come(&bytes[..come]) {
                expect_that!(part.offset, eq(ahead.len() as u64));
                ahead.extend_from_slice(&part.data);
            }
        }
        expect_that!(bytes.starts_with(&ahead), eq(true));
        assert_that!(taking.finish(&bytes).expect("decoded").0 == was, eq(true));
    }
    let mut taking = SnapshotReceiver::new((1, 1));
    let _ = taking.come(&bytes[..bytes.len() - 1]);
    expect_that!(taking.finish(&bytes[..bytes.len() - 1]).is_err(), eq(true));
    expect_that!(decode(&[&bytes[..], &[0]].concat()).is_err(), eq(true));
    expect_that!(decode(&[&[9], &bytes[1..]].concat()).is_err(), eq(true));
    // As it was told at once before.
    let whole = rmp_serde::to_vec(&(was.encode(), None::<u8>)).expect("encoded");
    expect_that!(decode(&whole).expect("decoded").0 == was, eq(true));
}

struct Node {
    core: Option<CoreNode>,
    store: Option<ReplicaStore>,
    folder: PathBuf,
}

/// Three core machines in one thread, on their real disks, with a network that has no delay. What each event costs is
/// kept, by what it was.
struct Three {
    nodes: Vec<Node>,
    now: f64,
    queue: VecDeque<(usize, Event)>,
    costs: BTreeMap<&'static str, Vec<f64>>,
    /// Bytes of the largest put that has something of a snapshot, and how many there were.
    parts: (usize, usize),
    replies: Vec<u16>,
}

fn ip(n: usize) -> IpAddr {
    [10, 0, 1, n as u8 + 1].into()
}

impl Three {
    fn new(name: &str) -> Self {
        let folder = |n: usize| {
            std::env::temp_dir().join(format!("whinstall-three-{}-{name}-{n}", std::process::id()))
        };
        let nodes = (0..3).map(|n| Node { core: None, store: None, folder: folder(n) }).collect();
        let (queue, costs, replies) = Default::default();
        let mut three = Three { nodes, now: 1000.0, queue, costs, parts: (0, 0), replies };
        (0..3).for_each(|n| three.start(n, true));
        three
    }

    fn cost(&mut self, what: &'static str, since: Instant) {
        self.costs.entry(what).or_default().push(since.elapsed().as_secs_f64() * 1e3);
    }

    /// With an empty disk, or the one that it had.
    fn start(&mut self, n: usize, empty: bool) {
        let mut settings =
            Settings::from_toml(include_str!("../../tests/fixtures/settings.toml")).expect("settings");
        (settings.ip, settings.cold_start) = (ip(n), self.now == 1000.0);
        settings.seeds = (0..3).map(|n| (ip(n), 80).into()).collect();
        (self.nodes[n].core, self.nodes[n].store) = (None, None);
        if empty {
            let _ = std::fs::remove_dir_all(&self.nodes[n].folder);
            std::fs::create_dir_all(&self.nodes[n].folder).expect("a folder");
        }
        let since = Instant::now();
        let (store, held) =
            ReplicaStore::open(&self.nodes[n].folder, settings.is_first_seed()).expect("opens");
        self.cost("open a disk", since);
        let since = Instant::now();
        let mut core = CoreNode::new(self.now, settings, held).expect("a core");
        self.cost("start", since);
        let mut out = Vec::new();
        core.start(&mut out);
        (self.nodes[n].core, self.nodes[n].store) = (Some(core), Some(store));
        self.carry_out(n, out);
        for m in (0..3).filter(|m| *m != n && self.nodes[*m].core.is_some()) {
            self.queue.push_back((m, Event::LinkUp(ip(n))));
        }
    }

    fn carry_out(&mut self, n: usize, out: Vec<Effect>) {
        let machine = |ip: IpAddr| match ip {
            IpAddr::V4(v4) => usize::from(v4.octets()[3]) - 1,
            IpAddr::V6(_) => unreachable!("no such machine"),
        };
        for effect in out {
            match effect {
                Effect::Connect(to) => self.queue.push_back((n, Event::LinkUp(to))),
                // Connections are told by who opened them.
                Effect::SendToPeer(to, msg) => {
                    self.queue.push_back((machine(to), Event::SessionMessage(n as u64, msg)))
                }
                Effect::SendToSession(conn, msg) => {
                    self.queue.push_back((conn as usize, Event::PeerMessage(ip(n), msg)))
                }
                Effect::Respond(_, status, _) => self.replies.push(status),
                Effect::Persist(put) => self.persist(n, put),
                Effect::Disconnect(_) => {}
            }
        }
    }

    fn persist(&mut self, n: usize, put: WriteBatch) {
        let cut = put.log_writes.iter().any(|w| matches!(w, LogWrite::Snapshot { .. }));
        let what = match (&put.snapshot_chunk, cut) {
            (Some(_), _) => "write a part of a snapshot",
            (None, true) => "write a snapshot's end and cut the log",
            (None, false) => "write anything else",
        };
        if let Some(part) = &put.snapshot_chunk {
            self.parts = (self.parts.0.max(part.data.len()), self.parts.1 + 1);
        }
        let since = Instant::now();
        let store = self.nodes[n].store.as_mut().expect("a disk");
        store.write(std::slice::from_ref(&put)).expect("writes");
        self.cost(what, since);
        self.queue.push_back((n, Event::Persisted(put.sequence)));
    }

    fn work(&mut self) {
        while let Some((n, event)) = self.queue.pop_front() {
            let what = match &event {
                Event::Tick => "tick (with a step of a snapshot's making)",
                Event::Persisted(_) => "a sync is done",
                Event::SessionMessage(
                    _,
                    PeerMessage::Consensus {
                        message: crate::consensus::Message::InstallSnapshot { .. }, ..
                    },
                ) => "take a piece",
                Event::SessionMessage(
                    _,
                    PeerMessage::Consensus {
                        message: crate::consensus::Message::InstallSnapshotResponse { .. },
                        ..
                    },
                ) => "send pieces",
                Event::ApiCall(..) => "a call",
                _ => "anything else",
            };
            // As it comes off the wire.
            let wire = match &event {
                Event::SessionMessage(_, msg) | Event::PeerMessage(_, msg) => {
                    Some(crate::protocol::encode(msg))
                }
                _ => None,
            };
            let since = Instant::now();
            if let Some(wire) = &wire {
                let read = crate::protocol::decode(&mut bytes::BytesMut::from(&wire[..]));
                assert!(matches!(read, Ok(Some(_))));
            }
            let (mut out, now) = (Vec::new(), self.now);
            let Some(core) = self.nodes[n].core.as_mut() else { continue };
            core.handle(now, event, &mut out);
            self.cost(what, since);
            self.carry_out(n, out);
        }
    }

    /// Ticks until that holds; seconds of the simulated clock.
    fn until(&mut self, mut holds: impl FnMut(&Three) -> bool) -> f64 {
        let since = self.now;
        while !holds(self) {
            assert!(self.now < since + 60.0, "it never holds");
            self.now += TICK;
            (0..3)
                .filter(|n| self.nodes[*n].core.is_some())
                .for_each(|n| self.queue.push_back((n, Event::Tick)));
            self.work();
        }
        self.now - since
    }

    fn core(&self, n: usize) -> &CoreNode {
        self.nodes[n].core.as_ref().expect("it runs")
    }

    fn leader(&self) -> Option<usize> {
        (0..3).find(|n| self.nodes[*n].core.as_ref().is_some_and(|c| c.raft.is_leader()))
    }

    fn amend(&mut self, items: Vec<ConfigItem>) {
        let said = self.replies.len();
        let leader = self.leader().expect("a leader");
        self.queue.push_back((leader, Event::ApiCall(1, super::super::ApiCommand::Amend(items))));
        self.work();
        self.until(|t| t.replies.len() > said);
    }

    /// Costs by what they were for, and none of what came before.
    fn print(&mut self, about: &str) {
        println!("{about}");
        for (what, mut costs) in std::mem::take(&mut self.costs) {
            costs.sort_by(f64::total_cmp);
            let (sum, most) = (costs.iter().sum::<f64>(), costs[costs.len() - 1]);
            println!("  {what}: {} times, {sum:.1} ms in all, longest {most:.1} ms, at 0.3 of a processor {:.1} ms",
                costs.len(), most / 0.3);
        }
    }

    /// One is configured, cut, lost and repaired; seconds of the simulated clock that the repair took.
    fn life(&mut self, tenants: usize) -> f64 {
        self.until(|t| {
            t.leader().is_some_and(|l| t.core(l).raft.holds_lease(t.core(l).context.log_time(t.now)))
        });
        self.print("start");
        self.amend(configuration(tenants));
        self.print("the first call");
        let cut = |t: &Three| (0..3).all(|n| t.core(n).raft.snapshot_index() > 0);
        let took = self.until(cut);
        self.print(&format!("cut the log: {took:.2} s"));
        let lost = (self.leader().expect("a leader") + 1) % 3;
        (self.nodes[lost].core, self.nodes[lost].store) = (None, None);
        self.until(|t| t.now > 1012.0);
        self.amend(vec![tenant(5, 9)]);
        self.costs.clear();
        self.parts = (0, 0);
        self.start(lost, true);
        let took = self.until(|t| {
            let core = t.core(lost);
            core.raft.voters().contains(&core.raft.id())
                && core.configuration.state == t.core((lost + 1) % 3).configuration.state
        });
        self.print(&format!("repair of a lost disk: {took:.2} s of simulated time"));
        self.start(lost, false);
        self.print("start again");
        took
    }
}

impl Drop for Three {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.store = None;
            let _ = std::fs::remove_dir_all(&node.folder);
        }
    }
}

/// Guards heartbeats and entries against waiting for a snapshot: nothing of it that goes to a disk is large.
#[gtest]
fn a_lost_disk_is_repaired_in_small_steps() {
    let mut three = Three::new("steps");
    expect_that!(three.life(2500), le(2.0));
    // A window of pieces may have come before the first is looked at.
    expect_that!(three.parts.0, le(128 * 1024));
    expect_that!(three.parts.1, gt(2));
    expect_that!(three.replies, each(eq(&200)));
}

#[test]
#[ignore = "prints times; by hand, in release"]
fn measure_a_repair() {
    let mut three = Three::new("measure");
    let took = three.life(37_000);
    println!(
        "repaired after {took:.2} s of simulated time, in {} parts; snapshot of {} bytes",
        three.parts.1,
        three.core(0).configuration.state.encode().len()
    );
}

/// Disk, start-up and state by the number of changes ever made; eight under way at once.
#[test]
#[ignore = "prints figures; by hand, in release"]
fn measure_thousands_of_changes() {
    let mut three = Three::new("thousands");
    three
        .until(|t| t.leader().is_some_and(|l| t.core(l).raft.holds_lease(t.core(l).context.log_time(t.now))));
    three.amend(configuration(300));
    let mut made = 0;
    for most in [300, 3_000] {
        while made < most {
            let (leader, said) = (three.leader().expect("a leader"), three.replies.len());
            for n in 0..8 {
                made += 1;
                let order = vec![tenant((made * 7 + n) % 300, 10 + made as u64)];
                three.queue.push_back((leader, Event::ApiCall(1, super::super::ApiCommand::Amend(order))));
            }
            three.work();
            // A tick at the least: the log is cut by and by.
            let tick = three.now;
            three.until(|t| t.now > tick && t.replies.len() >= said + 8);
        }
        three.costs.clear();
        three.start(0, false);
        let folder = std::fs::read_dir(&three.nodes[0].folder).expect("a folder");
        let disk: u64 = folder.map(|f| f.expect("a file").metadata().expect("a file").len()).sum();
        let leader = three.leader().unwrap_or(1);
        let state = three.core(leader).configuration.state.encode().len();
        let raft = &three.core(0).raft;
        let (entries, base) = (raft.entry_count(), raft.snapshot_index());
        three.print(&format!(
            "{made} changes: {disk} bytes of disk, state of {state} bytes, {entries} entries behind {base}"
        ));
        three.until(|t| t.leader().is_some());
    }
}
