//! The faults that a scenario may hold, and the simulated disk: what is synced, what is in flight, and what a loss of power
//! or of the disk leaves.

use super::invariants::CONTACT;
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
/// Fields that recur: `secs` is how long it lasts and `down` after how many seconds a process comes back; `power` means
/// that unsynced writes may be lost, `wipe` that the disk is lost, `dark` that the other ends hear nothing of it.
#[allow(missing_docs)] // The fields are explained above.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Killed; back after so many seconds. `power`: unsynced writes go; `wipe`: the disk, too.
    KillCore { core: usize, down: f64, power: bool, wipe: bool },
    /// An edge node is killed.
    KillEdge { edge: usize, down: f64 },
    /// The first so many are killed at once; `dark`: those at the other ends hear nothing of it.
    KillManyEdges { edges: usize, down: f64, dark: bool },
    /// Cut off from the other core nodes.
    PartitionCore { core: usize, secs: f64, one_way: bool },
    /// Cut off from the core.
    PartitionEdge { edge: usize, secs: f64 },
    /// No write of the disk completes for a while.
    StallDisk { core: usize, secs: f64 },
    /// A process does not run for a while.
    Freeze { who: NodeRef, secs: f64 },
    /// All core processes are killed at the same moment.
    KillAllCores { down: f64 },
    /// Every machine loses power; the disks of some are lost.
    PowerOffAll { down: f64, wipe: Vec<usize> },
    /// A worker is killed, for good.
    CrashWorker { worker: usize, dark: bool },
    /// Says that it leaves, and leaves.
    DrainWorker { worker: usize },
    /// What operators call their worst days.
    Severe(SevereFault),
    /// One tenant sends this many times its usual.
    TenantSurge { times: f64, secs: f64 },
}

/// A core node's disk.
#[derive(Default)]
pub struct SimulatedDisk {
    /// What is synced.
    pub held: LoadedState,
    /// Writes that are not synced yet, in order.
    pub writing: Vec<WriteBatch>,
    /// What is there of a snapshot that is not written yet.
    ahead: Option<(SnapshotId, Vec<u8>)>,
    /// Does the database stand?
    made: bool,
    /// Is it being made?
    making: bool,
    /// Is the mark of the first start there, and is it synced?
    mark: Option<bool>,
    /// When the writes so far are synced.
    pub free_at: f64,
    /// No write completes before this time.
    pub stalled_until: f64,
    /// It takes no more bytes until then, whatever is restarted.
    pub full_until: f64,
}

/// Bytes of snapshots in a put: what takes longer than a sync.
pub fn size(put: &WriteBatch) -> usize {
    let part = put.snapshot_chunk.as_ref().map(|p| (p.offset as usize, p.data.len()));
    let whole = put.log_writes.iter().map(|w| match w {
        LogWrite::Snapshot { snapshot, .. } => snapshot.data.len(),
        _ => 0,
    });
    part.map_or(0, |p| p.1) + whole.sum::<usize>()
}

impl SimulatedDisk {
    /// What a process that starts finds; a new disk gets its identity first.
    pub fn open(&mut self, first: bool, rng: &mut fastrand::Rng) -> LoadedState {
        self.held.is_new = !std::mem::replace(&mut self.made, true);
        if self.held.is_new {
            self.held.disk_id = if first || self.mark.is_some() { 0 } else { rng.u64(1..) };
        }
        (self.making, self.mark) = (false, None);
        self.held.clone()
    }

    /// Begins to make the database, if there is none.
    pub fn makes(&mut self) -> bool {
        self.making = !self.made;
        self.making
    }

    /// Until when it takes nothing, if so.
    pub fn hangs(&self, now: f64) -> Option<f64> {
        Some(self.stalled_until.max(self.full_until)).filter(|until| *until > now)
    }

    /// All up to this write is synced.
    pub fn land(&mut self, put: u64) {
        let (done, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.writing).into_iter().partition(|w| w.sequence <= put);
        self.writing = rest;
        for put in done {
            self.take(put);
        }
    }

    fn take(&mut self, put: WriteBatch) {
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
                    // What was put ahead is not written again: it counts as it is.
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

    /// The process is gone: of what was not synced each write is there or not; after a loss of power none may be.
    pub fn crash(&mut self, power: bool, wipe: bool, rng: &mut fastrand::Rng) {
        for put in std::mem::take(&mut self.writing) {
            if !power || rng.bool() {
                self.take(put);
            } else {
                break;
            }
        }
        (self.free_at, self.stalled_until, self.ahead) = (0.0, 0.0, None);
        self.making = false;
        if self.mark == Some(false) && power && rng.bool() {
            self.mark = None;
        }
        if wipe {
            *self = SimulatedDisk::default();
        }
    }
}

impl World {
    /// Its disk is ready: the process begins.
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

    /// A step in the making of a new disk is done: the mark is there, is synced, the database stands.
    pub(super) fn advance_disk_creation(&mut self, n: usize, incarnation: u64, told: bool) {
        let node = &mut self.cores[n];
        if node.incarnation != incarnation || !node.disk.making {
            return;
        }
        match node.disk.mark {
            None if told => node.disk.mark = Some(false),
            Some(false) => node.disk.mark = Some(true),
            _ => {
                let settings = Settings { cold_start: told, ..self.settings(NodeRef::Core(n)) };
                return self.start_core(n, settings);
            }
        }
        self.schedule_after(
            self.plan.disk_creation_step,
            SimulationEvent::CreatingDisk(n, incarnation, told),
        );
    }

    /// The rules that a edge node keeps while it is in touch wait for so long.
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
                self.unsettled_until = self.unsettled_until.max(self.now + down + CONTACT);
                self.schedule_after(*down, SimulationEvent::Boot(NodeRef::Core(*core)));
            }
            Fault::KillEdge { edge, down } => self.kill_edge(*edge, *down, false),
            Fault::KillManyEdges { edges, down, dark } => {
                (0..*edges).for_each(|n| self.kill_edge(n, *down, *dark))
            }
            Fault::PartitionCore { core, secs, one_way } => {
                self.links.cut_core(*core, *one_way, true);
                self.mark_core_disturbed();
                self.unsettled_until = self.unsettled_until.max(self.now + secs + CONTACT);
                self.schedule_after(*secs, SimulationEvent::Repair(fault.clone()));
            }
            Fault::PartitionEdge { edge, secs } => {
                self.links.cut_edge(*edge, true);
                self.mark_edge_faulty_for(*edge, secs + CONTACT);
                self.schedule_after(*secs, SimulationEvent::Repair(fault.clone()));
            }
            Fault::StallDisk { core, secs } => {
                self.cores[*core].disk.stalled_until = self.now + secs;
                self.mark_core_disturbed();
                self.unsettled_until = self.unsettled_until.max(self.now + secs + CONTACT);
            }
            Fault::Freeze { who, secs } => {
                self.set_frozen(*who, true);
                match who {
                    NodeRef::Core(_) => {
                        self.unsettled_until = self.unsettled_until.max(self.now + secs + CONTACT)
                    }
                    NodeRef::Edge(n) => self.mark_edge_faulty_for(*n, secs + CONTACT),
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
            Fault::Severe(severe) => self.inject_severe_fault(severe.clone()),
            Fault::TenantSurge { times, secs } => {
                self.hot_tenant = TenantSurge { until: self.now + secs, factor: *times }
            }
        }
    }

    fn kill_edge(&mut self, n: usize, down: f64, dark: bool) {
        self.kill(NodeRef::Edge(n), dark);
        self.mark_edge_faulty_for(n, down + CONTACT);
        self.schedule_after(down, SimulationEvent::Boot(NodeRef::Edge(n)));
    }

    /// Kills the processes of all listed core nodes: one that was removed, or was lost for good, has none that could come
    /// back.
    fn kill_all_cores(&mut self, down: f64) {
        for n in self.listed_cores() {
            self.kill(NodeRef::Core(n), false);
            self.cores[n].disk.crash(false, false, &mut self.rng);
            self.schedule_after(down, SimulationEvent::Boot(NodeRef::Core(n)));
        }
        self.unsettled_until = self.unsettled_until.max(self.now + down + CONTACT);
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
        self.unsettled_until = self.unsettled_until.max(self.now + down + CONTACT);
    }

    /// Stops a process, or lets it run again with the events that it missed.
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
