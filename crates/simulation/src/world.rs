//! The simulated cluster as a whole: its state, the event queue and the loop that processes events in order of time.

use crate::auditor::Auditor;
use crate::digest::Digest;
use crate::faults::SimulatedDisk;
use crate::invariants::InvariantMonitor;
use crate::network::{NodeRef, SimulatedLinks};
use crate::node::{zone, SimulatedCore, SimulatedEdge};
use crate::operators::OperatorRecords;
use crate::primary_operator::Operator;
use crate::repair_times::RepairTimes;
use crate::workers::SimulatedWorker;
use crate::{ControlCall, DeploymentPlan, SimulationEvent};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr};
use whinstall_gateway::control_plane;
use whinstall_gateway::data_plane;

/// One tenant sends `factor` times its usual load until this time.
#[derive(Clone, Copy, Debug)]
pub struct TenantSurge {
    /// When the surge ends, in simulated seconds.
    pub until: f64,
    /// The tenant's load, as a multiple of its usual load.
    pub factor: f64,
}

/// A fraction of the responses to operators is lost until this time.
#[derive(Clone, Copy, Debug)]
pub struct ResponseLoss {
    /// When the loss ends, in simulated seconds.
    pub until: f64,
    /// The fraction that is lost, from 0 to 1.
    pub fraction: f64,
}

/// The simulated cluster.
pub struct World {
    /// The deployment.
    pub plan: DeploymentPlan,
    /// Simulated seconds since the start.
    pub now: f64,
    /// All random draws but the core nodes' own.
    pub rng: fastrand::Rng,
    queue: BTreeMap<(u64, u64), SimulationEvent>,
    next: u64,
    /// Core nodes, also those that are gone.
    pub cores: Vec<SimulatedCore>,
    /// Edge nodes.
    pub edges: Vec<SimulatedEdge>,
    /// Workers, also those that are gone.
    pub workers: Vec<SimulatedWorker>,
    /// The network.
    pub links: SimulatedLinks,
    /// Calls that wait for a response, by number.
    pub calls: HashMap<u64, ControlCall>,
    /// Calls that reached a core node and have no response yet.
    pub pending: HashMap<(usize, u64), u64>,
    /// Attempts that have no outcome yet.
    pub open_attempts: HashSet<(usize, u64, whinstall::RequestId, u32)>,
    /// The auditor's numbers of requests.
    pub request_numbers: HashMap<(usize, u64, whinstall::RequestId), u64>,
    /// The primary operator.
    pub operator: Operator,
    /// The auditor of the data plane.
    pub auditor: Auditor,
    /// Until this time the checks that require a settled core are suspended.
    pub unsettled_until: f64,
    /// The surge of one tenant.
    pub hot_tenant: TenantSurge,
    /// The loss of responses to operators.
    pub lost_responses: ResponseLoss,
    /// Changes and reads of the concurrent operators, and their responses.
    pub operator_records: OperatorRecords,
    /// The monitor of the control plane.
    pub invariants: InvariantMonitor,
    /// How long repairs took.
    pub repairs: RepairTimes,
    /// Digest of the observable behaviour so far.
    pub digest: Digest,
}

impl World {
    /// A cluster by this plan, with the first events scheduled; all draws come from the seed.
    pub fn new(seed: u64, plan: DeploymentPlan) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        // The only random draw of the core itself: when it claims the quota counter.
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
            first_start: true,
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
            open_attempts: HashSet::new(),
            request_numbers: HashMap::new(),
            operator: Operator::default(),
            auditor,
            unsettled_until: 0.0,
            hot_tenant: TenantSurge { until: 0.0, factor: 1.0 },
            lost_responses: ResponseLoss { until: 0.0, fraction: 0.0 },
            operator_records: OperatorRecords::default(),
            invariants: InvariantMonitor::default(),
            repairs: RepairTimes::default(),
            digest: Digest::default(),
            plan,
            rng,
        };
        world.schedule_first_events();
        world
    }

    /// Schedules the start of all processes, the recurring checks, and the first steps of workers, clients and operators.
    fn schedule_first_events(&mut self) {
        for n in 0..self.cores.len() {
            let late: f64 = self.plan.start_delays.iter().filter(|l| l.0 == n).map(|l| l.1).sum();
            let spread =
                if self.plan.start_spread > 0.0 { self.plan.start_spread * self.rng.f64() } else { 0.0 };
            self.schedule_at(0.01 + spread + late, SimulationEvent::Boot(NodeRef::Core(n)));
        }
        for n in 0..self.edges.len() {
            self.schedule_at(0.02, SimulationEvent::Boot(NodeRef::Edge(n)));
        }
        for n in 0..self.workers.len() {
            let after = 0.3 + self.rng.f64();
            self.schedule_at(after, SimulationEvent::HeartbeatDue(n));
        }
        self.schedule_at(0.2, SimulationEvent::LinkCheck);
        self.schedule_at(1.0, SimulationEvent::OperatorActs);
        self.start_script();
        self.schedule_at(4.0, SimulationEvent::ClientRequest);
        if self.plan.operator_load.operators > 0 {
            self.schedule_at(0.1, SimulationEvent::InvariantCheck);
            self.start_operators();
        }
    }

    /// Schedules an event at this simulated time, but not in the past.
    pub fn schedule_at(&mut self, at: f64, ev: SimulationEvent) {
        self.next += 1;
        let at = at.max(self.now);
        self.queue.insert(((at * 1e6) as u64, self.next), ev);
    }

    /// Schedules an event this many seconds from now.
    pub fn schedule_after(&mut self, secs: f64, ev: SimulationEvent) {
        self.schedule_at(self.now + secs, ev);
    }

    /// Draws the one-way delay of a packet, in seconds.
    pub fn delay(&mut self) -> f64 {
        self.plan.delay + self.plan.jitter * self.rng.f64()
    }

    /// Processes events up to this simulated time.
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
                        self.schedule_after(
                            control_plane::TICK_SECS,
                            SimulationEvent::CoreTick(n, incarnation),
                        );
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
                SimulationEvent::WorkerEnds(n) => self.workers[n].alive = false,
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
                SimulationEvent::CreatingDisk(n, incarnation, cold_start) => {
                    self.advance_disk_creation(n, incarnation, cold_start)
                }
                SimulationEvent::InvariantCheck => self.check_invariants(),
                SimulationEvent::ScriptedChangeDue(index) => self.send_scripted_change(index),
                SimulationEvent::OperatorTurn(turn) => self.operator_turn(turn),
                SimulationEvent::ProcessExited(n, incarnation) => self.process_exited(n, incarnation),
                SimulationEvent::PartitionHeals(cut) => self.heal_partition(&cut),
                SimulationEvent::SeedListsChange => self.rewrite_seed_lists(),
            }
        }
        self.now = until;
    }
}
