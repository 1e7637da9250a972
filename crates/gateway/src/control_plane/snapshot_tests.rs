//! Snapshots of several megabytes are encoded, sent, decoded and written in small steps while the log continues. The
//! duration of each step at the largest size is printed by
//! `cargo test --release -p whinstall-gateway measure_disk_repair -- --ignored --nocapture`.

use super::{decode, SnapshotError, SnapshotReceiver, SnapshotState, SnapshotWriter, STEP_BYTES};
use crate::configuration::{ConfigItem, ConfigState, ItemFields, ItemKind};
use crate::consensus::LogPosition;
use crate::consensus::LogWrite;
use crate::control_plane::{ApiCommand, CoreNode, Effect, Event, TICK_SECS};
use crate::discovery::{AnnouncedShutdowns, ShutdownAnnouncement, ShutdownPhase};
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

/// A configuration with this many tenants and an eighth as many routes.
fn configuration(tenants: usize) -> Vec<ConfigItem> {
    let services = tenants / 120 + 1;
    let service = |n: usize| format!("srv{:04}a", n % services);
    let route = |n: usize| {
        let mixture =
            json!([{ "service_ref": service(n), "gain": 90 }, { "service_ref": service(n + 1), "gain": 10 }]);
        let body = json!({ "hostname": format!("h{}.example", n / 4), "path_prefix": format!("/lepu{n}/"),
            "route_class": "idempotent", "cutoff": "2500ms", "target": "400ms", "rank": 2, "mixture": mixture,
            "max_attempts": 2, "unkeyed": false });
        item(ItemKind::Route, format!("r-{n:07}"), 7, body)
    };
    let service_item =
        |n| item(ItemKind::Service, service(n), 7, json!({ "probe_path": "/health", "conn_limit": 130 }));
    let services = (0..services).map(service_item);
    services.chain((0..tenants / 8).map(route)).chain((0..tenants).map(|n| tenant(n, 7))).collect()
}

/// A snapshot that is encoded while the state changes contains the state as of its start. Decoding it from pieces of
/// any size gives that state again, and each chunk continues the previous one.
#[gtest]
fn snapshot_holds_the_state_of_its_start_in_any_chunking() {
    let position = LogPosition { index: 1, term: 1 };
    let mut state = ConfigState::default();
    let _ = state.apply(1, &configuration(3000));
    let initial = state.clone();
    let mut shutdowns = AnnouncedShutdowns::default();
    let announcement =
        |id: &str| ShutdownAnnouncement { worker_id: id.into(), phase: ShutdownPhase::Departed };
    shutdowns.record(1, &announcement("i-1"));
    let announced = shutdowns.clone();
    let snapshot = SnapshotState { config: &state, ceilings: None, shutdowns: &shutdowns };
    let mut writer = SnapshotWriter::new(position, snapshot, 0);
    shutdowns.record(2, &announcement("i-2"));
    let (mut written, mut index) = (Vec::new(), 1);
    while let Some(chunk) = writer.next_chunk() {
        expect_that!(chunk.offset, eq(written.len() as u64));
        expect_that!(chunk.data.len() % SNAPSHOT_CHUNK_BYTES, eq(0));
        expect_that!(chunk.data.len(), le(STEP_BYTES + SNAPSHOT_CHUNK_BYTES));
        written.extend_from_slice(&chunk.data);
        index += 1;
        let _ = state.apply(index, &[tenant(index as usize * 97 % 3000, 7 + index)]);
    }
    let bytes = writer.into_bytes();
    expect_that!(index, gt(2));
    expect_that!(bytes.starts_with(&written), eq(true));
    assert_that!(decode(&bytes).expect("decoded").config == initial, eq(true));
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut receiver, mut arrived, mut written) = (SnapshotReceiver::new(position), 0, Vec::new());
        while arrived < bytes.len() {
            arrived = (arrived + rng.usize(1..200_000)).min(bytes.len());
            if let Some(chunk) = receiver.receive(&bytes[..arrived]) {
                expect_that!(chunk.offset, eq(written.len() as u64));
                written.extend_from_slice(&chunk.data);
            }
        }
        expect_that!(bytes.starts_with(&written), eq(true));
        let decoded = receiver.finish(&bytes).expect("decoded");
        assert_that!(decoded.config == initial, eq(true));
        expect_that!(decoded.shutdowns, eq(&announced));
    }
    let mut receiver = SnapshotReceiver::new(position);
    let _ = receiver.receive(&bytes[..bytes.len() - 1]);
    expect_that!(receiver.finish(&bytes[..bytes.len() - 1]).is_err(), eq(true));
    expect_that!(decode(&[&bytes[..], &[0]].concat()).is_err(), eq(true));
    let unknown_format = decode(&[&[9], &bytes[1..]].concat());
    expect_that!(matches!(unknown_format, Err(SnapshotError::Format(9))), eq(true));
    // The formats of earlier releases are still decoded.
    let sections = rmp_serde::to_vec(&None::<u8>).expect("encoded").len() + 4;
    let shutdowns = rmp_serde::to_vec(&announced).expect("encoded").len() + 4;
    let without_shutdowns = [&[1], &bytes[1..1 + sections], &bytes[1 + sections + shutdowns..]].concat();
    let decoded = decode(&without_shutdowns).expect("decoded");
    expect_that!(decoded.config == initial, eq(true));
    expect_that!(decoded.shutdowns.is_empty(), eq(true));
    let monolithic = rmp_serde::to_vec(&(initial.encode(), None::<u8>)).expect("encoded");
    expect_that!(decode(&monolithic).expect("decoded").config == initial, eq(true));
}

struct Node {
    core: Option<CoreNode>,
    store: Option<ReplicaStore>,
    folder: PathBuf,
}

/// Three core nodes in one thread, with real disks and a network without delay. Records the processing time of the
/// events by kind.
struct ThreeNodeCluster {
    nodes: Vec<Node>,
    now: f64,
    queue: VecDeque<(usize, Event)>,
    /// Processing times in milliseconds by kind of event.
    costs_ms: BTreeMap<&'static str, Vec<f64>>,
    /// Size of the largest snapshot chunk that was written, in bytes.
    largest_chunk: usize,
    chunk_count: usize,
    /// HTTP statuses of the responses to calls.
    responses: Vec<u16>,
}

fn ip(n: usize) -> IpAddr {
    [10, 0, 1, n as u8 + 1].into()
}

impl ThreeNodeCluster {
    fn new(name: &str) -> Self {
        let folder = |n: usize| {
            std::env::temp_dir().join(format!("whinstall-cluster-{}-{name}-{n}", std::process::id()))
        };
        let nodes = (0..3).map(|n| Node { core: None, store: None, folder: folder(n) }).collect();
        let (queue, costs_ms, responses) = Default::default();
        let (largest_chunk, chunk_count) = (0, 0);
        let mut cluster =
            ThreeNodeCluster { nodes, now: 1000.0, queue, costs_ms, largest_chunk, chunk_count, responses };
        (0..3).for_each(|n| cluster.start(n, true));
        cluster
    }

    fn record_cost(&mut self, kind: &'static str, since: Instant) {
        self.costs_ms.entry(kind).or_default().push(since.elapsed().as_secs_f64() * 1e3);
    }

    /// Starts a node with its previous disk, or with a new empty one.
    fn start(&mut self, n: usize, has_new_disk: bool) {
        let mut settings =
            Settings::from_toml(include_str!("../../tests/fixtures/settings.toml")).expect("settings");
        (settings.ip, settings.cold_start) = (ip(n), self.now == 1000.0);
        settings.seeds = (0..3).map(|n| (ip(n), 80).into()).collect();
        (self.nodes[n].core, self.nodes[n].store) = (None, None);
        if has_new_disk {
            let _ = std::fs::remove_dir_all(&self.nodes[n].folder);
            std::fs::create_dir_all(&self.nodes[n].folder).expect("a folder");
        }
        let since = Instant::now();
        let (store, loaded) =
            ReplicaStore::open(&self.nodes[n].folder, settings.is_first_seed()).expect("opens");
        self.record_cost("open a disk", since);
        let since = Instant::now();
        let mut core = CoreNode::new(self.now, settings, loaded).expect("a core");
        self.record_cost("start", since);
        let mut out = Vec::new();
        core.start(&mut out);
        (self.nodes[n].core, self.nodes[n].store) = (Some(core), Some(store));
        self.execute(n, out);
        for m in (0..3).filter(|m| *m != n && self.nodes[*m].core.is_some()) {
            self.queue.push_back((m, Event::LinkUp(ip(n))));
        }
    }

    fn execute(&mut self, n: usize, out: Vec<Effect>) {
        let node_index = |ip: IpAddr| match ip {
            IpAddr::V4(v4) => usize::from(v4.octets()[3]) - 1,
            IpAddr::V6(_) => unreachable!("no such node"),
        };
        for effect in out {
            match effect {
                Effect::Connect(to) => self.queue.push_back((n, Event::LinkUp(to))),
                // The id of an inbound connection is the index of the node that opened it.
                Effect::SendToPeer(to, msg) => {
                    self.queue.push_back((node_index(to), Event::SessionMessage(n as u64, msg)))
                }
                Effect::SendToSession(conn, msg) => {
                    self.queue.push_back((conn as usize, Event::PeerMessage(ip(n), msg)))
                }
                Effect::Respond(_, status, _) => self.responses.push(status),
                Effect::Persist(batch) => self.persist(n, batch),
                Effect::Disconnect(_) => {}
            }
        }
    }

    fn persist(&mut self, n: usize, batch: WriteBatch) {
        let is_compaction = batch.log_writes.iter().any(|w| matches!(w, LogWrite::Snapshot { .. }));
        let kind = match (&batch.snapshot_chunk, is_compaction) {
            (Some(_), _) => "write a snapshot chunk",
            (None, true) => "write a snapshot's end and compact the log",
            (None, false) => "write anything else",
        };
        if let Some(chunk) = &batch.snapshot_chunk {
            self.largest_chunk = self.largest_chunk.max(chunk.data.len());
            self.chunk_count += 1;
        }
        let since = Instant::now();
        let store = self.nodes[n].store.as_mut().expect("a disk");
        store.write(std::slice::from_ref(&batch)).expect("writes");
        self.record_cost(kind, since);
        self.queue.push_back((n, Event::Persisted(batch.sequence)));
    }

    /// Handles events until the queue is empty.
    fn drain_queue(&mut self) {
        while let Some((n, event)) = self.queue.pop_front() {
            let kind = match &event {
                Event::Tick => "tick (with a step of encoding a snapshot)",
                Event::Persisted(_) => "batch synced",
                Event::SessionMessage(
                    _,
                    PeerMessage::Consensus {
                        message: crate::consensus::Message::InstallSnapshot { .. }, ..
                    },
                ) => "receive a snapshot piece",
                Event::SessionMessage(
                    _,
                    PeerMessage::Consensus {
                        message: crate::consensus::Message::InstallSnapshotResponse { .. },
                        ..
                    },
                ) => "send snapshot pieces",
                Event::ApiCall(..) => "API call",
                _ => "anything else",
            };
            // The cost includes decoding the message.
            let encoded = match &event {
                Event::SessionMessage(_, msg) | Event::PeerMessage(_, msg) => {
                    Some(crate::protocol::encode(msg))
                }
                _ => None,
            };
            let since = Instant::now();
            if let Some(encoded) = &encoded {
                let decoded = crate::protocol::decode(&mut bytes::BytesMut::from(&encoded[..]));
                assert!(matches!(decoded, Ok(Some(_))));
            }
            let (mut out, now) = (Vec::new(), self.now);
            let Some(core) = self.nodes[n].core.as_mut() else { continue };
            core.handle(now, event, &mut out);
            self.record_cost(kind, since);
            self.execute(n, out);
        }
    }

    /// Ticks until the condition holds. Returns the simulated time that this took, in seconds.
    fn run_until(&mut self, mut condition: impl FnMut(&ThreeNodeCluster) -> bool) -> f64 {
        let since = self.now;
        while !condition(self) {
            assert!(self.now < since + 60.0, "the condition never holds");
            self.now += TICK_SECS;
            (0..3)
                .filter(|n| self.nodes[*n].core.is_some())
                .for_each(|n| self.queue.push_back((n, Event::Tick)));
            self.drain_queue();
        }
        self.now - since
    }

    fn core(&self, n: usize) -> &CoreNode {
        self.nodes[n].core.as_ref().expect("a running node")
    }

    fn leader(&self) -> Option<usize> {
        (0..3).find(|n| self.nodes[*n].core.as_ref().is_some_and(|c| c.raft.is_leader()))
    }

    fn amend(&mut self, items: Vec<ConfigItem>) {
        let response_count = self.responses.len();
        let leader = self.leader().expect("a leader");
        self.queue.push_back((leader, Event::ApiCall(1, ApiCommand::Amend(items))));
        self.drain_queue();
        self.run_until(|t| t.responses.len() > response_count);
    }

    /// Prints the processing times since the last print, by kind of event.
    fn print_costs(&mut self, title: &str) {
        println!("{title}");
        for (kind, mut costs) in std::mem::take(&mut self.costs_ms) {
            costs.sort_by(f64::total_cmp);
            let (sum, max) = (costs.iter().sum::<f64>(), costs[costs.len() - 1]);
            println!("  {kind}: {} times, {sum:.1} ms in total, longest {max:.1} ms, at 0.3 of a processor {:.1} ms",
                costs.len(), max / 0.3);
        }
    }

    /// Configures the cluster, waits until the logs are compacted, replaces a follower's disk and waits until the
    /// follower has caught up. Returns the simulated time that the repair took, in seconds.
    fn repair_lost_disk(&mut self, tenants: usize) -> f64 {
        self.run_until(|t| {
            t.leader().is_some_and(|l| t.core(l).raft.holds_lease(t.core(l).context.log_time(t.now)))
        });
        self.print_costs("start");
        self.amend(configuration(tenants));
        self.print_costs("the first call");
        let have_compacted = |t: &ThreeNodeCluster| (0..3).all(|n| t.core(n).raft.snapshot_index() > 0);
        let took = self.run_until(have_compacted);
        self.print_costs(&format!("compact the log: {took:.2} s"));
        let lost = (self.leader().expect("a leader") + 1) % 3;
        (self.nodes[lost].core, self.nodes[lost].store) = (None, None);
        self.run_until(|t| t.now > 1012.0);
        self.amend(vec![tenant(5, 9)]);
        self.costs_ms.clear();
        (self.largest_chunk, self.chunk_count) = (0, 0);
        self.start(lost, true);
        let took = self.run_until(|t| {
            let core = t.core(lost);
            core.raft.voters().contains(&core.raft.id())
                && core.configuration.state == t.core((lost + 1) % 3).configuration.state
        });
        self.print_costs(&format!("repair of a lost disk: {took:.2} s of simulated time"));
        self.start(lost, false);
        self.print_costs("start again");
        took
    }
}

impl Drop for ThreeNodeCluster {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.store = None;
            let _ = std::fs::remove_dir_all(&node.folder);
        }
    }
}

/// A snapshot must reach the disk in small writes, since heartbeats and entries would wait behind a large one.
#[gtest]
fn lost_disk_is_repaired_in_small_writes() {
    let mut cluster = ThreeNodeCluster::new("steps");
    expect_that!(cluster.repair_lost_disk(2500), le(2.0));
    // A full window of InstallSnapshot chunks may arrive before the first one is decoded.
    expect_that!(cluster.largest_chunk, le(128 * 1024));
    expect_that!(cluster.chunk_count, gt(2));
    expect_that!(cluster.responses, each(eq(&200)));
}

#[test]
#[ignore = "prints times; by hand, in release"]
fn measure_disk_repair() {
    let mut cluster = ThreeNodeCluster::new("measure");
    let took = cluster.repair_lost_disk(37_000);
    println!(
        "repaired after {took:.2} s of simulated time, in {} chunks; snapshot of {} bytes",
        cluster.chunk_count,
        cluster.core(0).configuration.state.encode().len()
    );
}

/// Prints disk usage, start-up time and state size by the number of changes ever made, with eight changes in flight.
#[test]
#[ignore = "prints figures; by hand, in release"]
fn measure_thousands_of_changes() {
    let mut cluster = ThreeNodeCluster::new("thousands");
    cluster.run_until(|t| {
        t.leader().is_some_and(|l| t.core(l).raft.holds_lease(t.core(l).context.log_time(t.now)))
    });
    cluster.amend(configuration(300));
    let mut made = 0;
    for target in [300, 3_000] {
        while made < target {
            let (leader, response_count) = (cluster.leader().expect("a leader"), cluster.responses.len());
            for n in 0..8 {
                made += 1;
                let change = vec![tenant((made * 7 + n) % 300, 10 + made as u64)];
                cluster.queue.push_back((leader, Event::ApiCall(1, ApiCommand::Amend(change))));
            }
            cluster.drain_queue();
            // Runs for at least one tick, so that the log is compacted.
            let since = cluster.now;
            cluster.run_until(|t| t.now > since && t.responses.len() >= response_count + 8);
        }
        cluster.costs_ms.clear();
        cluster.start(0, false);
        let folder = std::fs::read_dir(&cluster.nodes[0].folder).expect("a folder");
        let disk: u64 = folder.map(|f| f.expect("a file").metadata().expect("a file").len()).sum();
        let leader = cluster.leader().unwrap_or(1);
        let state = cluster.core(leader).configuration.state.encode().len();
        let (entries, snapshot) = (cluster.core(0).raft.entry_count(), cluster.core(0).raft.snapshot_index());
        cluster.print_costs(&format!(
            "{made} changes: {disk} bytes of disk, state of {state} bytes, {entries} entries after index {snapshot}"
        ));
        cluster.run_until(|t| t.leader().is_some());
    }
}
