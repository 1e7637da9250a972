//! The faults that a scenario may inject, and the simulated disk: which writes are synced, which are in flight, and which
//! survive a loss of power or of the disk.

use super::invariants::CONTACT_SECS;
use super::network::NodeRef;
use super::severe_faults::SevereFault;
use super::world::TenantSurge;
use super::{SimulationEvent, World};
use whinstall_gateway::consensus::{LogWrite, Snapshot};
use whinstall_gateway::control_plane::{self, CoreNode};
use whinstall_gateway::discovery::WorkerPhase;
use whinstall_gateway::settings::Settings;
use whinstall_gateway::storage::{LoadedState, SnapshotId, WriteBatch};

/// A fault that is injected into a simulated day.
///
/// Fields that recur: `secs` is the duration of the fault in seconds, `down` the number of seconds until the process
/// restarts; `power` means that unsynced writes may be lost, `wipe` that the disk is lost, `dark` that peers get no
/// connection reset.
#[allow(missing_docs)] // The fields are explained above.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A core node is killed and restarts after `down` seconds.
    KillCore { core: usize, down: f64, power: bool, wipe: bool },
    /// An edge node is killed.
    KillEdge { edge: usize, down: f64 },
    /// The first `edges` edge nodes are killed at once.
    KillManyEdges { edges: usize, down: f64, dark: bool },
    /// A core node is partitioned from the other core nodes; `one_way`: only its outgoing packets are lost.
    PartitionCore { core: usize, secs: f64, one_way: bool },
    /// An edge node is partitioned from all core nodes.
    PartitionEdge { edge: usize, secs: f64 },
    /// No write to a core node's disk completes for `secs` seconds.
    StallDisk { core: usize, secs: f64 },
    /// A process is paused for `secs` seconds.
    Freeze { who: NodeRef, secs: f64 },
    /// All core processes are killed at the same moment.
    KillAllCores { down: f64 },
    /// Every machine loses power; the disks of some are lost.
    PowerOffAll { down: f64, wipe: Vec<usize> },
    /// A worker is killed and never restarts.
    CrashWorker { worker: usize, dark: bool },
    /// A worker announces its drain and leaves.
    DrainWorker { worker: usize },
    /// A worker of this service starts, and none of its heartbeats arrives on its own.
    AddSilentWorker { service: usize },
    /// A worker announces this phase (`Draining` or `Departed`) once, sends no more heartbeats, serves for another
    /// `serves_on` seconds, and ends.
    AnnounceShutdown { worker: usize, phase: WorkerPhase, serves_on: f64 },
    /// A worker sends a heartbeat that arrives `secs` seconds late.
    DelayHeartbeat { worker: usize, secs: f64 },
    /// A fault that combines several failures or waits for a condition.
    Severe(SevereFault),
    /// One tenant sends `times` times its usual load.
    TenantSurge { times: f64, secs: f64 },
}

/// A core node's disk.
#[derive(Default)]
pub struct SimulatedDisk {
    /// State that is synced: a restart after any crash finds it.
    pub held: LoadedState,
    /// Writes that are not synced yet, in order.
    pub writing: Vec<WriteBatch>,
    /// Chunks of a snapshot that were written before the snapshot itself is committed.
    ahead: Option<(SnapshotId, Vec<u8>)>,
    /// Whether the database exists.
    is_created: bool,
    /// Whether the database is being created.
    is_creating: bool,
    /// The bootstrap marker: `None` if absent, otherwise whether it is synced.
    bootstrap_marker: Option<bool>,
    /// Time at which all writes issued so far are synced.
    pub free_at: f64,
    /// No write completes before this time.
    pub stalled_until: f64,
    /// The disk is full until this time; a restart of the process does not change that.
    pub full_until: f64,
}

/// Number of snapshot bytes in a write batch, which take time beyond that of a sync.
pub fn snapshot_bytes(put: &WriteBatch) -> usize {
    let chunk_bytes = put.snapshot_chunk.as_ref().map(|p| (p.offset as usize, p.data.len()));
    let full_bytes = put.log_writes.iter().map(|w| match w {
        LogWrite::Snapshot { snapshot, .. } => snapshot.data.len(),
        _ => 0,
    });
    chunk_bytes.map_or(0, |p| p.1) + full_bytes.sum::<usize>()
}

impl SimulatedDisk {
    /// Returns the state that a starting process loads; a new disk gets its identity first.
    pub fn open(&mut self, first: bool, rng: &mut fastrand::Rng) -> LoadedState {
        self.held.is_new = !std::mem::replace(&mut self.is_created, true);
        if self.held.is_new {
            self.held.disk_id = if first || self.bootstrap_marker.is_some() { 0 } else { rng.u64(1..) };
        }
        (self.is_creating, self.bootstrap_marker) = (false, None);
        self.held.clone()
    }

    /// Starts to create the database if none exists; returns whether it did.
    pub fn start_creation(&mut self) -> bool {
        self.is_creating = !self.is_created;
        self.is_creating
    }

    /// Time until which the disk completes no write, if it is stalled or full at `now`.
    pub fn blocked_until(&self, now: f64) -> Option<f64> {
        Some(self.stalled_until.max(self.full_until)).filter(|until| *until > now)
    }

    /// Marks all writes up to this sequence number as synced.
    pub fn sync_up_to(&mut self, put: u64) {
        let (done, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.writing).into_iter().partition(|w| w.sequence <= put);
        self.writing = rest;
        for put in done {
            self.apply(put);
        }
    }

    fn apply(&mut self, put: WriteBatch) {
        for worker in put.workers {
            self.held.workers.retain(|w| w.id != worker.id);
            self.held.workers.extend(Some(worker).filter(|w| w.phase <= WorkerPhase::Draining));
        }
        let raft = &mut self.held.raft_state;
        for write in put.log_writes {
            match write {
                LogWrite::HardState { term, vote } => (raft.term, raft.vote) = (term, vote),
                LogWrite::Append(entries) => {
                    let Some(first) = entries.first().map(|e| e.index) else { continue };
                    raft.entries.retain(|e| e.index < first);
                    raft.entries.extend(entries);
                }
                LogWrite::Snapshot { snapshot, replaces_log } => {
                    raft.entries.retain(|e| !replaces_log && e.index > snapshot.index);
                    // Chunks written ahead are not written again: the snapshot keeps them as they are on the disk.
                    let of = SnapshotId { index: snapshot.index, term: snapshot.term };
                    let ahead = self.ahead.take().filter(|a| a.0 == of && a.1.len() <= snapshot.data.len());
                    let mut data = ahead.map(|a| a.1).unwrap_or_default();
                    data.extend_from_slice(&snapshot.data[data.len()..]);
                    raft.snapshot = Some(Snapshot { data: data.into(), ..snapshot });
                }
            }
        }
        if let Some(part) = put.snapshot_chunk {
            let goes_on = self.ahead.take().filter(|a| part.offset > 0 && a.0 == part.snapshot);
            let there = goes_on.map(|a| a.1).unwrap_or_default();
            let fits = part.offset == there.len() as u64;
            self.ahead = fits.then(|| (part.snapshot, [&there[..], &part.data].concat()));
        }
    }

    /// Ends the process. After a loss of power only a random prefix of the unsynced writes survives; after a kill all do.
    pub fn crash(&mut self, power: bool, wipe: bool, rng: &mut fastrand::Rng) {
        for put in std::mem::take(&mut self.writing) {
            if !power || rng.bool() {
                self.apply(put);
            } else {
                break;
            }
        }
        (self.free_at, self.stalled_until, self.ahead) = (0.0, 0.0, None);
        self.is_creating = false;
        if self.bootstrap_marker == Some(false) && power && rng.bool() {
            self.bootstrap_marker = None;
        }
        if wipe {
            *self = SimulatedDisk::default();
        }
    }
}

impl World {
    /// Starts a core node's state machine once its disk is ready.
    pub(super) fn start_core(&mut self, n: usize, settings: Settings) {
        let node = &mut self.cores[n];
        let held = node.disk.open(settings.is_first_seed(), &mut self.rng);
        let mut core = CoreNode::new(1000.0, settings, held).expect("a state that can be read");
        let mut out = Vec::new();
        core.start(&mut out);
        let incarnation = node.incarnation;
        node.core = Some(core);
        self.repair_started(n);
        self.core_effects(n, out);
        self.schedule_after(control_plane::TICK_SECS, SimulationEvent::CoreTick(n, incarnation));
    }

    /// Completes a step in the creation of a new disk: the bootstrap marker is written, is synced, the database exists.
    /// `cold_start` is whether the process was started as part of the bootstrap of the whole system.
    pub(super) fn advance_disk_creation(&mut self, n: usize, incarnation: u64, cold_start: bool) {
        let node = &mut self.cores[n];
        if node.incarnation != incarnation || !node.disk.is_creating {
            return;
        }
        match node.disk.bootstrap_marker {
            None if cold_start => node.disk.bootstrap_marker = Some(false),
            Some(false) => node.disk.bootstrap_marker = Some(true),
            _ => {
                let settings = Settings { cold_start, ..self.settings(NodeRef::Core(n)) };
                return self.start_core(n, settings);
            }
        }
        self.schedule_after(
            self.plan.disk_creation_step,
            SimulationEvent::CreatingDisk(n, incarnation, cold_start),
        );
    }

    /// Suspends the checks that apply to an edge node in contact with the core, for `secs` seconds.
    pub fn mark_edge_faulty_for(&mut self, edge: usize, secs: f64) {
        let faulty_until = &mut self.edges[edge].faulty_until;
        *faulty_until = faulty_until.max(self.now + secs);
    }

    /// Injects a fault now, and schedules its end.
    pub fn inject_fault(&mut self, fault: Fault) {
        match &fault {
            Fault::KillCore { core, down, power, wipe } => {
                self.kill(NodeRef::Core(*core), *power);
                self.cores[*core].disk.crash(*power, *wipe, &mut self.rng);
                self.unsettled_until = self.unsettled_until.max(self.now + down + CONTACT_SECS);
                self.schedule_after(*down, SimulationEvent::Boot(NodeRef::Core(*core)));
            }
            Fault::KillEdge { edge, down } => self.kill_edge(*edge, *down, false),
            Fault::KillManyEdges { edges, down, dark } => {
                (0..*edges).for_each(|n| self.kill_edge(n, *down, *dark))
            }
            Fault::PartitionCore { core, secs, one_way } => {
                self.links.cut_core(*core, *one_way, true);
                self.mark_core_disturbed();
                self.unsettled_until = self.unsettled_until.max(self.now + secs + CONTACT_SECS);
                self.schedule_after(*secs, SimulationEvent::Repair(fault.clone()));
            }
            Fault::PartitionEdge { edge, secs } => {
                self.links.cut_edge(*edge, true);
                self.mark_edge_faulty_for(*edge, secs + CONTACT_SECS);
                self.schedule_after(*secs, SimulationEvent::Repair(fault.clone()));
            }
            Fault::StallDisk { core, secs } => {
                self.cores[*core].disk.stalled_until = self.now + secs;
                self.mark_core_disturbed();
                self.unsettled_until = self.unsettled_until.max(self.now + secs + CONTACT_SECS);
            }
            Fault::Freeze { who, secs } => {
                self.set_frozen(*who, true);
                match who {
                    NodeRef::Core(_) => {
                        self.unsettled_until = self.unsettled_until.max(self.now + secs + CONTACT_SECS)
                    }
                    NodeRef::Edge(n) => self.mark_edge_faulty_for(*n, secs + CONTACT_SECS),
                }
                self.schedule_after(*secs, SimulationEvent::Repair(fault.clone()));
            }
            Fault::KillAllCores { down } => self.kill_all_cores(*down),
            Fault::PowerOffAll { down, wipe } => self.power_off_all(*down, wipe),
            Fault::CrashWorker { worker, dark } => {
                self.workers[*worker].alive = false;
                self.workers[*worker].dark = *dark;
            }
            Fault::DrainWorker { worker } => self.workers[*worker].start_drain(),
            Fault::AddSilentWorker { service } => self.add_silent_worker(*service),
            Fault::AnnounceShutdown { worker, phase, serves_on } => {
                self.announce_shutdown(*worker, *phase, *serves_on)
            }
            Fault::DelayHeartbeat { worker, secs } => self.delay_heartbeat(*worker, *secs),
            Fault::Severe(severe) => self.inject_severe_fault(severe.clone()),
            Fault::TenantSurge { times, secs } => {
                self.hot_tenant = TenantSurge { until: self.now + secs, factor: *times }
            }
        }
    }

    fn kill_edge(&mut self, n: usize, down: f64, dark: bool) {
        self.kill(NodeRef::Edge(n), dark);
        self.mark_edge_faulty_for(n, down + CONTACT_SECS);
        self.schedule_after(down, SimulationEvent::Boot(NodeRef::Edge(n)));
    }

    /// Kills the processes of all listed core nodes. Nodes that were removed or lost for good are left out, because they
    /// must not restart.
    fn kill_all_cores(&mut self, down: f64) {
        for n in self.listed_cores() {
            self.kill(NodeRef::Core(n), false);
            self.cores[n].disk.crash(false, false, &mut self.rng);
            self.schedule_after(down, SimulationEvent::Boot(NodeRef::Core(n)));
        }
        self.unsettled_until = self.unsettled_until.max(self.now + down + CONTACT_SECS);
    }

    /// Every machine loses power; the disks in `wipe` are lost.
    fn power_off_all(&mut self, down: f64, wipe: &[usize]) {
        for n in self.listed_cores() {
            self.kill(NodeRef::Core(n), true);
            self.cores[n].disk.crash(true, wipe.contains(&n), &mut self.rng);
            let late = self.rng.f64() * 0.2;
            self.schedule_after(down + late, SimulationEvent::Boot(NodeRef::Core(n)));
        }
        for n in 0..self.edges.len() {
            self.kill_edge(n, down, true);
        }
        self.unsettled_until = self.unsettled_until.max(self.now + down + CONTACT_SECS);
    }

    /// Pauses a process, or resumes it and delivers the events that arrived meanwhile.
    pub fn set_frozen(&mut self, who: NodeRef, frozen: bool) {
        match who {
            NodeRef::Core(n) => {
                let node = &mut self.cores[n];
                node.frozen = frozen;
                self.mark_core_disturbed();
                let late = if frozen { Vec::new() } else { std::mem::take(&mut self.cores[n].backlog) };
                late.into_iter().for_each(|event| self.core_event(n, event));
            }
            NodeRef::Edge(n) => self.edges[n].frozen = frozen,
        }
    }

    /// Ends a partition or a freeze.
    pub fn end_fault(&mut self, fault: Fault) {
        if matches!(fault, Fault::PartitionCore { .. }) {
            self.mark_core_disturbed();
        }
        match fault {
            Fault::PartitionCore { core, one_way, .. } => self.links.cut_core(core, one_way, false),
            Fault::PartitionEdge { edge, .. } => self.links.cut_edge(edge, false),
            Fault::Freeze { who, .. } => self.set_frozen(who, false),
            _ => {}
        }
    }
}
