//! Severe faults: partitions between groups, replaced nodes, restarts next to a partitioned node, slow and full disks.
//! Steps of the wall clock are not simulated, because no state machine reads it.

use super::faults::Fault;
use super::network::NodeRef;
use super::partitions::{Direction, Participant, Partition};
pub use super::snapshot_crashes::{CrashTarget, PendingCrash, SnapshotCrash, SnapshotStage};
use super::world::ResponseLoss;
use super::{SimulationEvent, World};
use whinstall_gateway::control_plane;

/// A fault that combines several failures or waits for a condition.
///
/// Fields that recur: `secs` is the duration in seconds, `down` the number of seconds until a process restarts, `later` the
/// number until a successor starts; `power` means that unsynced writes may be lost, `wipe` that disks are lost, `seeds`
/// are the nodes in the new `seed_list`, `part` is a fraction.
#[allow(missing_docs)] // The fields are explained above.
#[derive(Clone, Debug, PartialEq)]
pub enum SevereFault {
    /// A partition between these sides.
    Partition { cut: Partition, secs: f64 },
    /// The core node that last responded as the quota leader is partitioned, with these callers on its side.
    PartitionQuotaLeader { edges: Vec<usize>, workers: Vec<usize>, operators: Vec<usize>, secs: f64 },
    /// The quota leader is partitioned from all others, or with `pair` from the next core node only.
    PartitionLeader { way: Direction, pair: bool, secs: f64 },
    /// A core node is killed and restarts with `seeds` as its `seed_list`.
    RestartCore { core: usize, down: f64, power: bool, wipe: bool, seeds: Vec<usize> },
    /// An edge node is killed and restarts with `seeds` as its `seed_list`.
    RestartEdge { edge: usize, down: f64, seeds: Vec<usize> },
    /// A core node gets SIGTERM and ends within a second; a successor with an empty disk at a new address starts `later`
    /// seconds after the signal.
    ReplaceCore { core: usize, later: f64 },
    /// `ReplaceCore` for the core node that last responded as the quota leader.
    ReplaceQuotaLeader { later: f64 },
    /// A core node with an empty disk starts at a new address.
    AddCore,
    /// A core node gets SIGTERM, ends within a second and never returns.
    RemoveCore { core: usize },
    /// `RemoveCore` for the core node that last responded as the quota leader.
    RemoveQuotaLeader,
    /// A core node loses power and its disk for good and gets no successor.
    LoseCore { core: usize },
    /// Each sync of a core node's disk takes `each` seconds, for `secs` seconds.
    SlowDisk { core: usize, each: f64, secs: f64 },
    /// `Blackout` right after the next change is confirmed; one disk is lost, at least half of the time that of
    /// the node that confirmed the change.
    BlackoutAfterAck { down: f64, edges: bool },
    /// Nodes lose power at a stage of a snapshot.
    AtSnapshot(SnapshotCrash),
    /// The core node that confirms the next change and `more` others lose power right after, with their disks if `wipe`.
    CrashAfterAck { down: f64, wipe: bool, more: usize },
    /// A core node gets SIGTERM, ends within a second and restarts with its disk `down` seconds later.
    RestartGracefully { core: usize, down: f64 },
    /// A core node loses power and its disk for good; a successor at a new address starts `later` seconds after.
    LoseAndReplaceCore { core: usize, later: f64 },
    /// Running nodes reload settings that name other seeds.
    ReloadSettings { who: Vec<NodeRef>, seeds: Vec<usize> },
    /// The fraction `part` of the responses to operators is lost for `secs` seconds.
    LoseResponses { part: f64, secs: f64 },
    /// The fraction `part` of a node's connections is reset.
    ResetConnections { who: NodeRef, part: f64 },
    /// A core node runs only a fifth of the time for `secs` seconds.
    Throttle { core: usize, secs: f64 },
    /// A core node's disk is full for `secs` seconds, also across restarts of the process.
    DiskFull { core: usize, secs: f64 },
    /// Another fault, redirected to the core node that last responded as the quota leader.
    AtQuotaLeader(Box<Fault>),
    /// All core nodes lose power, and all edge nodes if `edges`; the disks of the core nodes in `wipe` are lost.
    Blackout { down: f64, wipe: Vec<usize>, edges: bool },
}

impl Fault {
    /// Redirects the fault to the core node `at`; faults without a target stay as they are.
    fn at(mut self, at: usize) -> Self {
        match &mut self {
            Fault::KillCore { core, .. }
            | Fault::StallDisk { core, .. }
            | Fault::PartitionCore { core, .. } => *core = at,
            Fault::Freeze { who, .. } => *who = NodeRef::Core(at),
            Fault::Severe(
                SevereFault::RestartGracefully { core, .. } | SevereFault::Throttle { core, .. },
            ) => *core = at,
            Fault::Severe(SevereFault::DiskFull { core, .. } | SevereFault::SlowDisk { core, .. }) => {
                *core = at
            }
            _ => {}
        }
        self
    }
}

impl World {
    pub(crate) fn cut(&mut self, cut: Partition, secs: f64) {
        for party in &cut.inside {
            if let Participant::Edge(n) = party {
                self.mark_edge_faulty_for(*n, secs + 3.0);
            }
        }
        self.links.cuts.push(cut.clone());
        self.mark_core_faulty_for(secs, 3.0);
        self.schedule_after(secs, SimulationEvent::PartitionHeals(cut));
    }

    /// Ends a partition.
    pub fn heal_partition(&mut self, cut: &Partition) {
        if let Some(at) = self.links.cuts.iter().position(|c| c == cut) {
            self.links.cuts.remove(at);
        }
        self.mark_core_disturbed();
    }

    /// Injects a severe fault now, and schedules its end.
    pub fn inject_severe_fault(&mut self, severe: SevereFault) {
        match severe {
            SevereFault::Partition { cut, secs } => self.cut(cut, secs),
            SevereFault::PartitionQuotaLeader { edges, workers, operators, secs } => {
                let holder = self.invariants.quota_leader().unwrap_or(0);
                self.cut(Partition::side(&[holder], &edges, &workers, &operators, Direction::Both), secs);
            }
            SevereFault::PartitionLeader { way, pair, secs } => self.cut_leader(way, pair, secs),
            SevereFault::RestartCore { core, down, power, wipe, seeds } => {
                self.restart_core(core, down, power, wipe, seeds)
            }
            SevereFault::RestartEdge { edge, down, seeds } => {
                self.kill(NodeRef::Edge(edge), false);
                self.edges[edge].seeds = seeds;
                self.mark_edge_faulty_for(edge, down + 3.0);
                self.schedule_after(down, SimulationEvent::Boot(NodeRef::Edge(edge)));
            }
            SevereFault::ReplaceCore { core, later } => self.replace_core(core, later),
            SevereFault::ReplaceQuotaLeader { later } => self.replace_core(self.listed_quota_leader(), later),
            SevereFault::AddCore => self.add_core(),
            SevereFault::RemoveCore { core } => self.terminate_core(core),
            SevereFault::RemoveQuotaLeader => self.terminate_core(self.listed_quota_leader()),
            SevereFault::LoseCore { core } => {
                self.lose_core(core);
                self.mark_core_faulty_for(0.0, self.plan.resync);
            }
            SevereFault::SlowDisk { core, each, secs } => self.slow_disk(core, each, secs),
            SevereFault::AtSnapshot(at) => self.invariants.pending_snapshot_crashes.push(at),
            SevereFault::BlackoutAfterAck { down, edges } => {
                self.arm_crash(PendingCrash::Blackout { down, edges })
            }
            SevereFault::CrashAfterAck { down, wipe, more } => {
                self.arm_crash(PendingCrash::Hit { down, wipe, more })
            }
            SevereFault::RestartGracefully { core, down } => self.restart_core_gracefully(core, down),
            SevereFault::LoseAndReplaceCore { core, later } => self.lose_and_replace_core(core, later),
            SevereFault::ReloadSettings { who, seeds } => {
                who.into_iter().for_each(|who| self.reload_settings(who, &seeds))
            }
            SevereFault::LoseResponses { part, secs } => {
                self.lost_responses = ResponseLoss { until: self.now + secs, fraction: part }
            }
            SevereFault::ResetConnections { who, part } => {
                self.reset_some(who, part);
                match who {
                    NodeRef::Core(_) => self.mark_core_faulty_for(0.0, 3.0),
                    NodeRef::Edge(n) => self.mark_edge_faulty_for(n, 3.0),
                }
            }
            SevereFault::Throttle { core, secs } => self.throttle_core(core, secs),
            SevereFault::DiskFull { core, secs } => {
                self.cores[core].disk.full_until = self.now + secs;
                self.mark_core_faulty_for(secs, 3.0);
            }
            SevereFault::AtQuotaLeader(fault) => self.inject_fault(fault.at(self.listed_quota_leader())),
            SevereFault::Blackout { down, wipe, edges } => self.blackout(down, &wipe, edges),
        }
    }

    /// The core node that responded last as the quota leader, if it is still listed; otherwise the first listed one.
    fn listed_quota_leader(&self) -> usize {
        let leader = self.invariants.quota_leader().filter(|n| self.cores[*n].listed);
        leader.unwrap_or(self.listed_core_from(0))
    }

    /// Partitions the quota leader, from the next core node only (`pair`) or from all others outside its side.
    fn cut_leader(&mut self, way: Direction, pair: bool, secs: f64) {
        let leader = self.invariants.quota_leader().unwrap_or(0);
        let other = Participant::Core(self.listed_core_from(leader + 1));
        let side = Partition::side(&[leader], &[0], &[0, 4], &[1], way);
        let only = Partition { inside: vec![Participant::Core(leader)], others: Some(vec![other]), way };
        self.cut(if pair { only } else { side }, secs);
    }

    fn restart_core(&mut self, core: usize, down: f64, power: bool, wipe: bool, seeds: Vec<usize>) {
        if !self.cores[core].listed {
            return;
        }
        self.kill(NodeRef::Core(core), power);
        self.cores[core].disk.crash(power, wipe, &mut self.rng);
        self.cores[core].seeds = seeds;
        self.mark_core_faulty_for(down, self.plan.resync);
        self.schedule_after(down, SimulationEvent::Boot(NodeRef::Core(core)));
    }

    fn restart_core_gracefully(&mut self, core: usize, down: f64) {
        if !self.cores[core].listed || !self.has_process(NodeRef::Core(core)) {
            return;
        }
        self.core_event(core, control_plane::Event::Shutdown);
        let (incarnation, late) = (self.cores[core].incarnation, 0.1 + 0.8 * self.rng.f64());
        self.schedule_after(late, SimulationEvent::ProcessExited(core, incarnation));
        self.mark_core_faulty_for(late + down, 4.0);
        self.schedule_after(late + down, SimulationEvent::Boot(NodeRef::Core(core)));
    }

    /// Ends a core node; a successor with an empty disk starts `later` seconds after.
    fn replace_core(&mut self, core: usize, later: f64) {
        self.terminate_core(core);
        self.schedule_after(later, SimulationEvent::Fault(Fault::Severe(SevereFault::AddCore)));
    }

    /// A core node loses power and its disk.
    fn lose_core(&mut self, core: usize) {
        self.kill(NodeRef::Core(core), true);
        self.cores[core].disk.crash(true, true, &mut self.rng);
    }

    fn lose_and_replace_core(&mut self, core: usize, later: f64) {
        self.lose_core(core);
        self.cores[core].listed = false;
        self.invariants.removed_at.insert(core, self.now);
        self.mark_core_faulty_for(later, 4.0);
        self.rewrite_seed_lists();
        self.schedule_after(later, SimulationEvent::Fault(Fault::Severe(SevereFault::AddCore)));
    }

    /// Stalls the disk for `each` seconds, again and again until `secs` are over.
    fn slow_disk(&mut self, core: usize, each: f64, secs: f64) {
        self.cores[core].disk.stalled_until = self.now + each;
        self.mark_core_faulty_for(each, 3.0);
        if secs > each {
            let later = SevereFault::SlowDisk { core, each, secs: secs - 1.5 * each };
            self.schedule_after(1.5 * each, SimulationEvent::Fault(Fault::Severe(later)));
        }
    }

    /// Freezes the process for most of each fifth of a second until `secs` are over.
    fn throttle_core(&mut self, core: usize, secs: f64) {
        self.inject_fault(Fault::Freeze { who: NodeRef::Core(core), secs: 0.16 });
        if secs > 0.2 {
            let rest = SevereFault::Throttle { core, secs: secs - 0.2 };
            self.schedule_after(0.2, SimulationEvent::Fault(Fault::Severe(rest)));
        }
    }

    /// All core nodes lose power, and all edge nodes if `edges`; the disks in `wipe` are lost.
    fn blackout(&mut self, down: f64, wipe: &[usize], edges: bool) {
        for n in self.listed_cores() {
            self.kill(NodeRef::Core(n), true);
            self.cores[n].disk.crash(true, wipe.contains(&n), &mut self.rng);
            let late = 0.2 * self.rng.f64();
            self.schedule_after(down + late, SimulationEvent::Boot(NodeRef::Core(n)));
        }
        for n in (0..self.edges.len()).filter(|_| edges) {
            self.kill(NodeRef::Edge(n), true);
            self.mark_edge_faulty_for(n, down + 4.0);
            self.schedule_after(down, SimulationEvent::Boot(NodeRef::Edge(n)));
        }
        self.mark_core_faulty_for(down + 0.2, self.plan.resync);
    }
}
