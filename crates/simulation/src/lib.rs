//! A whole cluster in one process, on a simulated network, clock and disk: the state machines of the programs
//! themselves, with workers, clients and an operator as PROTOCOL has them, and an auditor for the rules. Every run is
//! told by its seed.

pub mod auditor;
pub mod digest;
pub mod external_actors;
pub mod faults;
pub mod history;
pub mod invariants;
pub mod misbehaving_core;
pub mod network;
pub mod operators;
pub mod partitions;
pub mod plan;
pub mod repair_times;
pub mod severe_faults;
pub mod trials;

use auditor::Auditor;
use digest::Digest;
use external_actors::{Operator, SimulatedWorker};
use faults::{Fault, SimulatedDisk};
use invariants::InvariantMonitor;
use network::{LinkKey, NodeRef, SimulatedLinks};
use operators::{OperatorRecords, OperatorStep};
use partitions::{Participant, Partition};
pub use plan::DeploymentPlan;
use repair_times::RepairTimes;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr};
use whinstall_gateway::configuration::ConfigItem;
use whinstall_gateway::control_plane::{self, CoreNode};
use whinstall_gateway::data_plane::{self, EdgeNode};
use whinstall_gateway::protocol::{LoadReport, PeerMessage};
use whinstall_gateway::settings::{LossTolerance, Settings};

/// What is to happen.
#[derive(Debug)]
pub enum SimulationEvent {
    CoreTick(usize, u64),
    EdgeTick(usize, u64),
    Dial(LinkKey, u64),
    DialUp(LinkKey, u64),
    DeliverMessages(LinkKey, u64, bool),
    LinkCheck,
    DiskDone(usize, u64, u64),
    HeartbeatDue(usize),
    CallArrives(usize, ControlCall),
    CallAnswered(ControlCall, u16),
    CallTimedOut(u64),
    WorkerDeparts(usize),
    ClientRequest,
    AttemptArrives(WorkerAttempt),
    WorkerFinishes(usize, WorkerAttempt),
    LoadReportArrives(usize, usize, LoadReport),
    AttemptEnded(WorkerAttempt, whinstall::Ending, bool),
    OperatorActs,
    Fault(Fault),
    Repair(Fault),
    Boot(NodeRef),
    /// The next step of making a core machine's new disk, in this life; is it told that the system starts first?
    CreatingDisk(usize, u64, bool),
    InvariantCheck,
    OperatorTurn(OperatorStep),
    /// A process that was asked to end is gone.
    ProcessExited(usize, u64),
    PartitionHeals(Partition),
    /// The operator's list changed: files are written anew.
    SeedListsChange,
}

/// A call to a core machine under way.
#[derive(Clone, Debug)]
pub struct ControlCall {
    pub id: u64,
    pub core: usize,
    pub by: CallOrigin,
}

#[derive(Clone, Debug)]
pub enum CallOrigin {
    Heartbeat(usize),
    Departure(usize),
    PrimaryChange(Vec<ConfigItem>),
    PrimaryRead,
    /// One of the clerks' orders; `again`: beside the clerk's own run of orders.
    Change {
        order: usize,
        operator: usize,
        again: bool,
    },
    /// A clerk reads.
    Read {
        operator: usize,
        from: f64,
    },
}

/// One attempt of a request at a worker.
#[derive(Clone, Debug)]
pub struct WorkerAttempt {
    pub edge: usize,
    pub incarnation: u64,
    pub id: whinstall::RequestId,
    pub attempt: u32,
    pub worker: usize,
    pub host: whinstall::HostId,
    pub request: u64,
}

pub struct SimulatedCore {
    pub core: Option<CoreNode>,
    pub incarnation: u64,
    pub disk: SimulatedDisk,
    pub booted_at: f64,
    pub clock_rate: f64,
    pub frozen: bool,
    /// What came while it was frozen, in order.
    pub backlog: Vec<control_plane::Event>,
    pub cold: bool,
    /// On the operator's list.
    pub listed: bool,
    /// Its `seed_list`.
    pub seeds: Vec<usize>,
}

pub struct SimulatedEdge {
    pub edge: Option<EdgeNode>,
    pub incarnation: u64,
    pub booted_at: f64,
    pub clock_rate: f64,
    pub frozen: bool,
    /// In trouble until then, for the rules that hold in touch.
    pub faulty_until: f64,
    pub seeds: Vec<usize>,
}

pub struct World {
    pub plan: DeploymentPlan,
    pub now: f64,
    pub rng: fastrand::Rng,
    queue: BTreeMap<(u64, u64), SimulationEvent>,
    next: u64,
    pub cores: Vec<SimulatedCore>,
    pub edges: Vec<SimulatedEdge>,
    pub workers: Vec<SimulatedWorker>,
    pub links: SimulatedLinks,
    pub calls: HashMap<u64, ControlCall>,
    pub pending: HashMap<(usize, u64), u64>,
    pub open: HashSet<(usize, u64, whinstall::RequestId, u32)>,
    pub asked: HashMap<(usize, u64, whinstall::RequestId), u64>,
    pub operator: Operator,
    pub auditor: Auditor,
    pub unsettled_until: f64,
    pub hot_tenant: (f64, f64),
    /// Until then such a part of the answers to operators is lost.
    pub lost_responses: (f64, f64),
    pub operator_records: OperatorRecords,
    pub invariants: InvariantMonitor,
    pub repairs: RepairTimes,
    pub digest: Digest,
}

pub fn core_ip(n: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 1, n as u8 + 1))
}

fn zone(n: usize) -> String {
    ["a", "b", "c"][n % 3].into()
}

impl World {
    pub fn new(seed: u64, plan: DeploymentPlan) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        // The one draw that the core makes by itself, for when it claims the counter.
        fastrand::seed(seed);
        let seeds: Vec<usize> = (0..plan.cores.min(3)).collect();
        let mut clock_rate = || 1.0 + 2e-4 * (rng.f64() - 0.5);
        let cores = (0..plan.cores).map(|_| SimulatedCore {
            core: None,
            incarnation: 0,
            disk: SimulatedDisk::default(),
            booted_at: 0.0,
            clock_rate: clock_rate(),
            frozen: false,
            backlog: Vec::new(),
            cold: true,
            listed: true,
            seeds: seeds.clone(),
        });
        let cores = cores.collect();
        let edges = (0..plan.edges).map(|_| SimulatedEdge {
            edge: None,
            incarnation: 0,
            booted_at: 0.0,
            clock_rate: clock_rate(),
            frozen: false,
            faulty_until: 0.0,
            seeds: seeds.clone(),
        });
        let edges = edges.collect();
        let workers = (0..3 * plan.workers).map(|n| SimulatedWorker::new(n, n % 3, &zone(n / 3))).collect();
        let auditor = Auditor::new(&plan);
        let mut world = World {
            now: 0.0,
            queue: BTreeMap::new(),
            next: 0,
            cores,
            edges,
            workers,
            links: SimulatedLinks::default(),
            calls: HashMap::new(),
            pending: HashMap::new(),
            open: HashSet::new(),
            asked: HashMap::new(),
            operator: Operator::default(),
            auditor,
            unsettled_until: 0.0,
            hot_tenant: (0.0, 1.0),
            lost_responses: (0.0, 0.0),
            operator_records: OperatorRecords::default(),
            invariants: InvariantMonitor::default(),
            repairs: RepairTimes::default(),
            digest: Digest::default(),
            plan,
            rng,
        };
        for n in 0..world.cores.len() {
            let late: f64 = world.plan.late.iter().filter(|l| l.0 == n).map(|l| l.1).sum();
            let spread = if world.plan.spread > 0.0 { world.plan.spread * world.rng.f64() } else { 0.0 };
            world.schedule_at(0.01 + spread + late, SimulationEvent::Boot(NodeRef::Core(n)));
        }
        for n in 0..world.edges.len() {
            world.schedule_at(0.02, SimulationEvent::Boot(NodeRef::Edge(n)));
        }
        for n in 0..world.workers.len() {
            let after = 0.3 + world.rng.f64();
            world.schedule_at(after, SimulationEvent::HeartbeatDue(n));
        }
        world.schedule_at(0.2, SimulationEvent::LinkCheck);
        world.schedule_at(1.0, SimulationEvent::OperatorActs);
        world.schedule_at(4.0, SimulationEvent::ClientRequest);
        if world.plan.operator_load.operators > 0 {
            world.schedule_at(0.1, SimulationEvent::InvariantCheck);
            world.start_operators();
        }
        world
    }

    pub fn schedule_at(&mut self, at: f64, ev: SimulationEvent) {
        self.next += 1;
        let at = at.max(self.now);
        self.queue.insert(((at * 1e6) as u64, self.next), ev);
    }

    pub fn schedule_after(&mut self, secs: f64, ev: SimulationEvent) {
        self.schedule_at(self.now + secs, ev);
    }

    /// One way over the network.
    pub fn delay(&mut self) -> f64 {
        self.plan.delay + self.plan.jitter * self.rng.f64()
    }

    pub fn settings(&self, who: NodeRef) -> Settings {
        let (n, core) = match who {
            NodeRef::Core(n) => (n, true),
            NodeRef::Edge(n) => (n, false),
        };
        let text = include_str!("../../gateway/tests/fixtures/settings.toml");
        let mut settings = Settings::from_toml(text).expect("settings");
        settings.node = format!("{}-{n}", if core { "core" } else { "edge" });
        settings.ip = if core { core_ip(n) } else { IpAddr::V4(Ipv4Addr::new(10, 0, 2, n as u8 + 1)) };
        settings.zone = zone(n);
        settings.cold_start = if core { self.cores[n].cold } else { self.edges[n].incarnation == 0 };
        settings.seeds = self.seeds(who);
        settings.envelope.resync_bound = std::time::Duration::from_secs_f64(self.plan.resync);
        settings.tolerance = LossTolerance { machines: self.plan.losses, zones: 0, regions: 0 };
        settings
    }

    fn boot(&mut self, who: NodeRef) {
        if self.has_process(who) {
            return;
        }
        if matches!(who, NodeRef::Core(_)) {
            self.mark_core_disturbed();
        }
        let settings = self.settings(who);
        match who {
            NodeRef::Core(n) => {
                let node = &mut self.cores[n];
                node.incarnation += 1;
                node.booted_at = self.now;
                node.frozen = false;
                node.backlog.clear();
                node.cold = false;
                if self.plan.disk_creation_step > 0.0 && node.disk.makes() {
                    let making = SimulationEvent::CreatingDisk(n, node.incarnation, settings.cold_start);
                    return self.schedule_after(self.plan.disk_creation_step, making);
                }
                self.start_core(n, settings);
            }
            NodeRef::Edge(n) => {
                let node = &mut self.edges[n];
                node.incarnation += 1;
                node.booted_at = self.now;
                node.frozen = false;
                let incarnation = node.incarnation;
                let mut edge = EdgeNode::new(settings, incarnation);
                let mut out = Vec::new();
                edge.start(&mut out);
                node.edge = Some(edge);
                self.edge_effects(n, out);
                self.schedule_after(data_plane::TICK_SECS, SimulationEvent::EdgeTick(n, incarnation));
            }
        }
    }

    /// Kills a process: those at the other ends hear of it at once, or (`dark`) not.
    fn kill(&mut self, who: NodeRef, dark: bool) {
        match who {
            NodeRef::Core(n) => {
                self.mark_core_disturbed();
                self.cores[n].core = None;
                self.pending.retain(|(core, _), _| *core != n);
            }
            NodeRef::Edge(n) => {
                self.edges[n].edge = None;
                self.auditor.edge_died(n, self.edges[n].incarnation);
            }
        }
        if !dark {
            self.reset_links(who);
        } else {
            self.links.forget_own(who);
        }
    }

    pub fn core_event(&mut self, n: usize, event: control_plane::Event) {
        let node = &mut self.cores[n];
        let now = 1000.0 + (self.now - node.booted_at) * node.clock_rate;
        let Some(core) = node.core.as_mut() else { return };
        if node.frozen {
            // It hears of it later; ticks that it missed don't come again.
            node.backlog.extend(Some(event).filter(|e| !matches!(e, control_plane::Event::Tick)));
            return;
        }
        let mut out = Vec::new();
        core.handle(now, event, &mut out);
        self.core_effects(n, out);
    }

    fn core_effects(&mut self, n: usize, effects: Vec<control_plane::Effect>) {
        for effect in effects {
            match effect {
                control_plane::Effect::Connect(ip) => self.connect(NodeRef::Core(n), ip),
                control_plane::Effect::SendToPeer(ip, msg) => self.send_message(NodeRef::Core(n), ip, msg),
                control_plane::Effect::SendToSession(conn, msg) => self.send_response(conn, msg),
                control_plane::Effect::Respond(call, status, body) => {
                    self.core_responded(n, call, status, &body)
                }
                control_plane::Effect::Disconnect(ip) => self.disconnect(NodeRef::Core(n), ip),
                control_plane::Effect::Persist(put) => {
                    self.snapshot_written(n, &put);
                    let (incarnation, sync) = (self.cores[n].incarnation, self.plan.sync);
                    let takes = sync + faults::size(&put) as f64 / self.plan.disk_rate;
                    let disk = &mut self.cores[n].disk;
                    let number = put.sequence;
                    disk.writing.push(put);
                    disk.free_at = disk.free_at.max(self.now).max(disk.stalled_until) + takes;
                    let at = disk.free_at;
                    self.schedule_at(at, SimulationEvent::DiskDone(n, incarnation, number));
                }
            }
        }
    }

    fn disk_done(&mut self, n: usize, incarnation: u64, put: u64) {
        let (now, node) = (self.now, &mut self.cores[n]);
        if node.incarnation != incarnation || node.core.is_none() {
            return;
        }
        if let Some(until) = node.disk.hangs(now) {
            let at = until + self.plan.sync;
            return self.schedule_at(at, SimulationEvent::DiskDone(n, incarnation, put));
        }
        node.disk.land(put);
        self.core_event(n, control_plane::Event::Persisted(put));
    }

    pub fn edge_call(&mut self, n: usize, f: impl FnOnce(&mut EdgeNode, f64, &mut Vec<data_plane::Effect>)) {
        let node = &mut self.edges[n];
        let now = 1000.0 + (self.now - node.booted_at) * node.clock_rate;
        let Some(edge) = node.edge.as_mut().filter(|_| !node.frozen) else { return };
        let mut out = Vec::new();
        f(edge, now, &mut out);
        self.edge_effects(n, out);
    }

    fn edge_effects(&mut self, n: usize, effects: Vec<data_plane::Effect>) {
        let incarnation = self.edges[n].incarnation;
        for effect in effects {
            match effect {
                data_plane::Effect::Connect(ip) => self.connect(NodeRef::Edge(n), ip),
                data_plane::Effect::Disconnect(ip) => self.disconnect(NodeRef::Edge(n), ip),
                data_plane::Effect::Send(ip, msg) => self.send_message(NodeRef::Edge(n), ip, msg),
                data_plane::Effect::Dispatch { id, attempt, worker, timeout_secs: within, .. } => {
                    self.attempt_dispatched(n, incarnation, id, attempt, worker, within);
                }
                data_plane::Effect::CancelAttempt(id, attempt) => {
                    self.attempt_cancelled(n, incarnation, id, attempt)
                }
                data_plane::Effect::Respond(id, answer) => self.answered(n, incarnation, id, answer),
                data_plane::Effect::CloseIdleConnections(_) => {}
                data_plane::Effect::SendLoadReport(to, load) => {
                    for ip in to {
                        // One in a hundred is lost.
                        if let (IpAddr::V4(v4), true) = (ip, self.rng.f64() > 0.01) {
                            let delay = self.delay();
                            let to = usize::from(v4.octets()[3]) - 1;
                            if !self.links.reaches(Participant::Edge(n), Participant::Edge(to)) {
                                continue;
                            }
                            self.schedule_after(
                                delay,
                                SimulationEvent::LoadReportArrives(n, to, load.clone()),
                            );
                        }
                    }
                }
            }
        }
    }

    fn tick_edge(&mut self, n: usize, incarnation: u64) {
        if self.edges[n].incarnation != incarnation || self.edges[n].edge.is_none() {
            return;
        }
        self.edge_call(n, |edge, now, out| edge.handle(now, data_plane::Event::Tick, out));
        let node = &self.edges[n];
        let now = 1000.0 + (self.now - node.booted_at) * node.clock_rate;
        let next = node.edge.as_ref().map_or(data_plane::TICK_SECS, |e| {
            (e.next_wakeup(now) - now).clamp(0.002, data_plane::TICK_SECS)
        });
        self.schedule_after(next, SimulationEvent::EdgeTick(n, incarnation));
    }

    /// Plays until then.
    pub fn play(&mut self, until: f64) {
        while let Some(first) = self.queue.first_entry() {
            if first.key().0 as f64 / 1e6 > until {
                break;
            }
            self.now = self.now.max(first.key().0 as f64 / 1e6);
            self.digest.event(first.key().0);
            match first.remove() {
                SimulationEvent::CoreTick(n, incarnation) => {
                    if self.cores[n].incarnation == incarnation && self.cores[n].core.is_some() {
                        self.core_event(n, control_plane::Event::Tick);
                        self.check_repair(n);
                        self.schedule_after(control_plane::TICK, SimulationEvent::CoreTick(n, incarnation));
                    }
                }
                SimulationEvent::EdgeTick(n, incarnation) => self.tick_edge(n, incarnation),
                SimulationEvent::Dial(key, incarnation) => self.dial(key, incarnation),
                SimulationEvent::DialUp(key, incarnation) => self.dial_up(key, incarnation),
                SimulationEvent::DeliverMessages(key, conn, forth) => self.deliver_next(key, conn, forth),
                SimulationEvent::LinkCheck => {
                    self.check_links();
                    self.schedule_after(0.2, SimulationEvent::LinkCheck);
                }
                SimulationEvent::DiskDone(n, incarnation, put) => self.disk_done(n, incarnation, put),
                SimulationEvent::HeartbeatDue(n) => self.send_heartbeat(n),
                SimulationEvent::CallArrives(core, call) => self.call_arrives(core, call),
                SimulationEvent::CallAnswered(call, status) => self.call_returned(call, status),
                SimulationEvent::CallTimedOut(id) => {
                    if let Some(call) = self.calls.remove(&id) {
                        self.call_failed(call);
                    }
                }
                SimulationEvent::WorkerDeparts(n) => self.send_departure(n),
                SimulationEvent::ClientRequest => self.send_client_request(),
                SimulationEvent::AttemptArrives(hit) => self.attempt_arrives(hit),
                SimulationEvent::WorkerFinishes(worker, hit) => self.finish_work(worker, hit),
                SimulationEvent::AttemptEnded(hit, ending, misdirected) => {
                    self.attempt_ended(hit, ending, misdirected)
                }
                SimulationEvent::LoadReportArrives(from, to, load) => {
                    let ip = IpAddr::V4(Ipv4Addr::new(10, 0, 2, from as u8 + 1));
                    self.edge_call(to, |edge, now, out| {
                        edge.handle(now, data_plane::Event::PeerLoad(ip, load), out)
                    });
                }
                SimulationEvent::OperatorActs => self.submit_primary_change(),
                SimulationEvent::Fault(fault) => self.inject_fault(fault),
                SimulationEvent::Repair(fault) => self.end_fault(fault),
                SimulationEvent::Boot(who) => self.boot(who),
                SimulationEvent::CreatingDisk(n, incarnation, told) => {
                    self.advance_disk_creation(n, incarnation, told)
                }
                SimulationEvent::InvariantCheck => self.check_invariants(),
                SimulationEvent::OperatorTurn(turn) => self.operator_turn(turn),
                SimulationEvent::ProcessExited(n, incarnation) => self.process_exited(n, incarnation),
                SimulationEvent::PartitionHeals(cut) => self.heal_partition(&cut),
                SimulationEvent::SeedListsChange => self.rewrite_seed_lists(),
            }
        }
        self.now = until;
    }

    /// A message counts as said to a core machine.
    pub fn deliver(&mut self, key: LinkKey, conn: u64, forth: bool, msg: PeerMessage) {
        match (key.from, forth) {
            (_, true) => self.core_event(key.to, control_plane::Event::SessionMessage(conn, msg)),
            (NodeRef::Core(n), false) => {
                self.core_event(n, control_plane::Event::PeerMessage(core_ip(key.to), msg))
            }
            (NodeRef::Edge(n), false) => {
                let ip = core_ip(key.to);
                self.note_contact(n, key.to);
                self.edge_call(n, |edge, now, out| {
                    edge.handle(now, data_plane::Event::CoreMessage(ip, msg), out)
                });
            }
        }
    }
}
