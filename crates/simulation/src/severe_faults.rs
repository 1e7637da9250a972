//! The operators' worst days: cuts between sides, machines replaced, starts beside a machine that is cut off, slow
//! disks. Steps of time of day are not among them: no state machine is told the time of day.

use super::faults::{Fault, SimulatedDisk};
use super::network::NodeRef;
use super::partitions::{Direction, Participant, Partition};
use super::{core_ip, SimulatedCore, SimulationEvent, World};
use std::net::SocketAddr;
use whinstall_gateway::control_plane;

/// A trouble of such a day.
#[derive(Clone, Debug, PartialEq)]
pub enum SevereFault {
    Cut {
        cut: Partition,
        secs: f64,
    },
    /// Cut off is whichever core machine answered last as the counter, with some of the others' callers.
    CutHolder {
        edges: Vec<usize>,
        workers: Vec<usize>,
        operators: Vec<usize>,
        secs: f64,
    },
    /// The same, from all others or from the next core machine only, one way or both.
    CutLeader {
        way: Direction,
        pair: bool,
        secs: f64,
    },
    /// Killed, back with a `seed_list` of these.
    RestartCore {
        core: usize,
        down: f64,
        power: bool,
        wipe: bool,
        seeds: Vec<usize>,
    },
    RestartEdge {
        edge: usize,
        down: f64,
        seeds: Vec<usize>,
    },
    /// SIGTERM, gone within a second; a successor with an empty disk at a new address starts so much later.
    Replace {
        core: usize,
        later: f64,
    },
    /// The same for whichever answered last as the counter.
    ReplaceHolder {
        later: f64,
    },
    /// A spare at a new address.
    Add,
    /// SIGTERM, gone within a second, for good.
    Remove {
        core: usize,
    },
    /// The same for whichever answered last as the counter.
    RemoveHolder,
    /// Loses power with its disk for good: no successor.
    Dies {
        core: usize,
    },
    /// Syncs take so long for a while.
    SlowDisk {
        core: usize,
        each: f64,
        secs: f64,
    },
    /// As `Blackout`, right after the next order is confirmed, at times with the disk of the machine that confirmed it.
    BlackoutAfterAck {
        down: f64,
        edges: bool,
    },
    /// Some lose power at a moment of the next snapshot.
    AtSnapshot(SnapshotCrash),
    /// The machine that confirms the next order loses power right after, and `more` others; its disk, too, if `wipe`.
    HitAfterAck {
        down: f64,
        wipe: bool,
        more: usize,
    },
    /// SIGTERM, gone within a second, back with its disk so much later.
    Term {
        core: usize,
        down: f64,
    },
    /// Loses power with its disk for good; a successor at a new address starts so much later.
    Succeed {
        core: usize,
        later: f64,
    },
    /// The settings of these name other seeds; read while they run.
    Reread {
        who: Vec<NodeRef>,
        seeds: Vec<usize>,
    },
    /// A part of the answers to operators is lost for a while.
    AcksLost {
        part: f64,
        secs: f64,
    },
    /// A part of a machine's connections are reset.
    Reset {
        who: NodeRef,
        part: f64,
    },
    /// Gets a fifth of its time for a while.
    Drag {
        core: usize,
        secs: f64,
    },
    /// The disk takes no more bytes for a while, whatever is restarted.
    DiskFull {
        core: usize,
        secs: f64,
    },
    /// This, at whichever core machine answered last as the counter.
    AtHolder(Box<Fault>),
    /// All core machines lose power, and all gatekeepers if `edges`; some disks are lost.
    Blackout {
        down: f64,
        wipe: Vec<usize>,
        edges: bool,
    },
}

/// What happens to a snapshot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SnapshotStage {
    /// A part of it is on its way to a machine's disk, ahead of it.
    Ahead,
    /// It is itself, and the log is cut with it.
    Cut,
    /// A piece of it is on its way to another machine.
    Sent,
}

/// Who loses power then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CrashTarget {
    /// Whose snapshot it is, or whose disk: that machine.
    Owner,
    /// To whom it is sent.
    Receiver,
    /// The whole core.
    All,
}

/// A loss of power at a moment of a snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotCrash {
    pub moment: SnapshotStage,
    /// The so-manieth time that it comes, from now.
    pub nth: usize,
    pub struck: CrashTarget,
    pub down: f64,
    /// Once those are back, `resync_bound` later, the next machine loses its disk.
    pub then: bool,
}

/// What waits for an order to be confirmed.
#[derive(Clone, Debug, PartialEq)]
pub enum PendingCrash {
    Blackout { down: f64, edges: bool },
    Hit { down: f64, wipe: bool, more: usize },
}

impl Fault {
    /// The same at this core machine.
    fn at(mut self, at: usize) -> Self {
        match &mut self {
            Fault::KillCore { core, .. } | Fault::StallDisk { core, .. } | Fault::CutCore { core, .. } => {
                *core = at
            }
            Fault::Freeze { who, .. } => *who = NodeRef::Core(at),
            Fault::Severe(SevereFault::Term { core, .. } | SevereFault::Drag { core, .. }) => *core = at,
            Fault::Severe(SevereFault::DiskFull { core, .. } | SevereFault::SlowDisk { core, .. }) => {
                *core = at
            }
            _ => {}
        }
        self
    }
}

impl World {
    /// Something of a snapshot goes to a disk.
    pub fn snapshot_written(&mut self, n: usize, put: &whinstall_gateway::storage::WriteBatch) {
        let cut = put
            .log_writes
            .iter()
            .any(|w| matches!(w, whinstall_gateway::consensus::LogWrite::Snapshot { .. }));
        let moment = match (&put.snapshot_chunk, cut) {
            (Some(_), _) => SnapshotStage::Ahead,
            (None, true) => SnapshotStage::Cut,
            (None, false) => return,
        };
        self.snapshot_stage_reached(moment, n, n);
    }

    /// Something is said on a connection: a piece of a snapshot?
    pub fn snapshot_chunk_sent(
        &mut self,
        key: super::network::LinkKey,
        msg: &whinstall_gateway::protocol::PeerMessage,
    ) {
        let whinstall_gateway::protocol::PeerMessage::Consensus {
            message: whinstall_gateway::consensus::Message::InstallSnapshot { data, .. },
            ..
        } = msg
        else {
            return;
        };
        if let (NodeRef::Core(from), false) = (key.from, data.is_empty()) {
            self.snapshot_stage_reached(SnapshotStage::Sent, from, key.to);
        }
    }

    fn snapshot_stage_reached(&mut self, moment: SnapshotStage, owner: usize, receiver: usize) {
        *self.invariants.snapshot_stages.entry(moment as usize).or_default() += 1;
        let mut waiting = std::mem::take(&mut self.invariants.pending_snapshot_crashes);
        for at in waiting.iter_mut().filter(|at| at.moment == moment) {
            at.nth = at.nth.saturating_sub(1);
        }
        let due = waiting.iter().position(|at| at.moment == moment && at.nth == 0);
        let due = due.map(|n| waiting.remove(n));
        self.invariants.pending_snapshot_crashes = waiting;
        let Some(SnapshotCrash { struck, down, then, .. }) = due else { return };
        self.invariants.snapshot_crashes += 1;
        // Somewhere in the write, or on the way.
        let late = 0.01 * self.rng.f64();
        let core = if struck == CrashTarget::Receiver { receiver } else { owner };
        let lost = match struck {
            CrashTarget::All => {
                super::faults::Fault::Severe(SevereFault::Blackout { down, wipe: Vec::new(), edges: false })
            }
            _ => super::faults::Fault::KillCore { core, down, power: true, wipe: false },
        };
        self.schedule_after(late, SimulationEvent::Fault(lost));
        if then {
            let next = self.listed_core_from(core + 1);
            let wiped = super::faults::Fault::KillCore { core: next, down: 0.5, power: true, wipe: true };
            self.schedule_after(late + down + 0.2 + self.plan.resync, SimulationEvent::Fault(wiped));
        }
    }

    /// The machine that is called: of those on the operator's list.
    pub fn listed_core_from(&self, from: usize) -> usize {
        let from = from % self.cores.len();
        let after = (from..self.cores.len()).chain(0..from);
        after.into_iter().find(|n| self.cores[*n].listed).unwrap_or(from)
    }

    /// The addresses that a `seed_list` of these holds.
    pub fn seeds(&self, who: NodeRef) -> Vec<SocketAddr> {
        let seeds = match who {
            NodeRef::Core(n) => &self.cores[n].seeds,
            NodeRef::Edge(n) => &self.edges[n].seeds,
        };
        seeds.iter().map(|n| (core_ip(*n), 80).into()).collect()
    }

    /// Three of the operator's list that run; where it lags, of those that were on it then.
    fn current_seeds(&self, but: usize) -> Vec<usize> {
        if self.plan.seed_delay > 0.0 {
            let then = self.now - self.plan.seed_delay;
            let list = self.invariants.core_lists.iter().rev().find(|(at, _)| *at <= then);
            let first = (0..self.plan.cores).collect();
            return list.map_or(first, |l| l.1.clone()).into_iter().take(3).collect();
        }
        let listed = self.listed_cores().into_iter().filter(|n| *n != but);
        let up = listed.filter(|n| self.has_process(NodeRef::Core(*n)));
        up.take(3).collect()
    }

    /// The operators' list has changed.
    fn seed_list_changed(&mut self) {
        let (now, listed) = (self.now, self.listed_cores());
        self.invariants.core_lists.push((now, listed));
        self.schedule_after(self.plan.seed_delay, SimulationEvent::SeedListsChange);
    }

    /// The files of all machines are written anew, by the operator's list as it is; read at their next start.
    pub fn rewrite_seed_lists(&mut self) {
        let seeds = self.current_seeds(usize::MAX);
        self.cores.iter_mut().for_each(|n| n.seeds.clone_from(&seeds));
        self.edges.iter_mut().for_each(|n| n.seeds.clone_from(&seeds));
    }

    fn add_core(&mut self) {
        let n = self.cores.len();
        let seeds = self.current_seeds(n);
        let clock_rate = 1.0 + 2e-4 * (self.rng.f64() - 0.5);
        let (core, incarnation, disk, booted_at, backlog) =
            (None, 0, SimulatedDisk::default(), self.now, Vec::new());
        let node = SimulatedCore {
            core,
            incarnation,
            disk,
            booted_at,
            clock_rate,
            seeds,
            frozen: false,
            cold: false,
            listed: true,
            backlog,
        };
        self.cores.push(node);
        self.invariants.joining.insert(n, self.now);
        self.schedule_after(0.0, SimulationEvent::Boot(NodeRef::Core(n)));
        self.mark_core_faulty_for(0.0, self.plan.resync);
        self.schedule_after(0.3, SimulationEvent::SeedListsChange);
        self.seed_list_changed();
    }

    /// SIGTERM now; the process is gone a little later, and nobody calls the machine any more.
    fn terminate_core(&mut self, n: usize) {
        self.core_event(n, control_plane::Event::Shutdown);
        self.cores[n].listed = false;
        self.invariants.removed_at.insert(n, self.now);
        let (incarnation, late) = (self.cores[n].incarnation, 0.3 + 0.6 * self.rng.f64());
        self.schedule_after(late, SimulationEvent::ProcessExited(n, incarnation));
        self.mark_core_faulty_for(late, self.plan.resync);
        self.seed_list_changed();
    }

    pub fn process_exited(&mut self, n: usize, incarnation: u64) {
        if self.cores[n].incarnation == incarnation && self.cores[n].core.is_some() {
            self.kill(NodeRef::Core(n), false);
            let unwritten = self.rng.bool();
            self.cores[n].disk.crash(unwritten, false, &mut self.rng);
        }
        if !self.cores[n].listed {
            self.invariants.removed_at.insert(n, self.now);
        }
        self.mark_core_disturbed();
    }

    /// The rules that hold while the core is calm wait until then.
    fn mark_core_faulty_for(&mut self, secs: f64, more: f64) {
        self.unsettled_until = self.unsettled_until.max(self.now + secs + more);
        self.mark_core_disturbed();
    }

    fn cut(&mut self, cut: Partition, secs: f64) {
        for party in &cut.inside {
            if let Participant::Edge(n) = party {
                self.mark_edge_faulty_for(*n, secs + 3.0);
            }
        }
        self.links.cuts.push(cut.clone());
        self.mark_core_faulty_for(secs, 3.0);
        self.schedule_after(secs, SimulationEvent::PartitionHeals(cut));
    }

    pub fn heal_partition(&mut self, cut: &Partition) {
        if let Some(at) = self.links.cuts.iter().position(|c| c == cut) {
            self.links.cuts.remove(at);
        }
        self.mark_core_disturbed();
    }

    fn arm_crash(&mut self, trap: PendingCrash) {
        self.invariants.armed_crash = Some((self.now + 2.5, trap));
    }

    /// Its settings change, and it is told so if it runs.
    fn reload_settings(&mut self, who: NodeRef, seeds: &[usize]) {
        // As an operator would write them: machines that are listed, more of them than may be lost.
        let named = seeds.iter().filter(|n| self.cores.get(**n).is_some_and(|c| c.listed)).copied();
        let mut seeds: Vec<usize> = Vec::new();
        for n in named.chain(self.listed_cores()) {
            if !seeds.contains(&n) && seeds.len() <= self.plan.losses.max(2) {
                seeds.push(n);
            }
        }
        match who {
            // Not there yet.
            NodeRef::Core(n) if n >= self.cores.len() => return,
            NodeRef::Core(n) => self.cores[n].seeds = seeds,
            NodeRef::Edge(n) => self.edges[n].seeds = seeds,
        }
        let (settings, mut out) = (self.settings(who), Vec::new());
        match who {
            NodeRef::Core(n) => {
                let Some(core) = self.cores[n].core.as_mut() else { return };
                core.retune(settings, &mut out);
                self.core_effects(n, out);
            }
            NodeRef::Edge(n) => {
                self.edge_call(n, |edge, _, out| edge.update_settings(settings, out));
            }
        }
    }

    /// An order is confirmed: was a fault waiting for that?
    pub fn change_acknowledged(&mut self, core: usize) {
        let Some((until, trap)) = self.invariants.armed_crash.take() else { return };
        let listed = self.listed_cores();
        if self.now > until || !listed.contains(&core) {
            return;
        }
        let (down, edges) = match trap {
            PendingCrash::Blackout { down, edges } => (down, edges),
            PendingCrash::Hit { down, wipe, more } => {
                let others = listed.into_iter().filter(|n| *n != core).take(more);
                for core in std::iter::once(core).chain(others) {
                    let late = 0.004 * self.rng.f64();
                    self.schedule_after(
                        late,
                        SimulationEvent::Fault(Fault::KillCore { core, down, power: true, wipe }),
                    );
                }
                return;
            }
        };
        let other = listed[self.rng.usize(0..listed.len())];
        let wipe = vec![if self.rng.bool() { core } else { other }];
        let late = 0.003 * self.rng.f64();
        let dark = SevereFault::Blackout { down, wipe, edges };
        self.schedule_after(late, SimulationEvent::Fault(Fault::Severe(dark)));
    }

    pub fn severe(&mut self, severe: SevereFault) {
        match severe {
            SevereFault::Cut { cut, secs } => self.cut(cut, secs),
            SevereFault::CutHolder { edges, workers, operators, secs } => {
                let holder = self.invariants.quota_leader().unwrap_or(0);
                self.cut(Partition::side(&[holder], &edges, &workers, &operators, Direction::Both), secs);
            }
            SevereFault::CutLeader { way, pair, secs } => {
                let leader = self.invariants.quota_leader().unwrap_or(0);
                let other = Participant::Core(self.listed_core_from(leader + 1));
                let side = Partition::side(&[leader], &[0], &[0, 4], &[1], way);
                let only =
                    Partition { inside: vec![Participant::Core(leader)], others: Some(vec![other]), way };
                self.cut(if pair { only } else { side }, secs);
            }
            SevereFault::RestartCore { core, down, power, wipe, seeds } => {
                if !self.cores[core].listed {
                    return;
                }
                self.kill(NodeRef::Core(core), power);
                self.cores[core].disk.crash(power, wipe, &mut self.rng);
                self.cores[core].seeds = seeds;
                self.mark_core_faulty_for(down, self.plan.resync);
                self.schedule_after(down, SimulationEvent::Boot(NodeRef::Core(core)));
            }
            SevereFault::RestartEdge { edge, down, seeds } => {
                self.kill(NodeRef::Edge(edge), false);
                self.edges[edge].seeds = seeds;
                self.mark_edge_faulty_for(edge, down + 3.0);
                self.schedule_after(down, SimulationEvent::Boot(NodeRef::Edge(edge)));
            }
            SevereFault::Replace { core, later } => {
                self.terminate_core(core);
                self.schedule_after(later, SimulationEvent::Fault(Fault::Severe(SevereFault::Add)));
            }
            SevereFault::ReplaceHolder { later } => {
                let holder = self
                    .invariants
                    .quota_leader()
                    .filter(|n| self.cores[*n].listed)
                    .unwrap_or(self.listed_core_from(0));
                self.terminate_core(holder);
                self.schedule_after(later, SimulationEvent::Fault(Fault::Severe(SevereFault::Add)));
            }
            SevereFault::Add => self.add_core(),
            SevereFault::Remove { core } => self.terminate_core(core),
            SevereFault::RemoveHolder => {
                let holder = self
                    .invariants
                    .quota_leader()
                    .filter(|n| self.cores[*n].listed)
                    .unwrap_or(self.listed_core_from(0));
                self.terminate_core(holder);
            }
            SevereFault::Dies { core } => {
                self.kill(NodeRef::Core(core), true);
                self.cores[core].disk.crash(true, true, &mut self.rng);
                self.mark_core_faulty_for(0.0, self.plan.resync);
            }
            SevereFault::SlowDisk { core, each, secs } => {
                self.cores[core].disk.stalled_until = self.now + each;
                self.mark_core_faulty_for(each, 3.0);
                if secs > each {
                    let later = SevereFault::SlowDisk { core, each, secs: secs - 1.5 * each };
                    self.schedule_after(1.5 * each, SimulationEvent::Fault(Fault::Severe(later)));
                }
            }
            SevereFault::AtSnapshot(at) => self.invariants.pending_snapshot_crashes.push(at),
            SevereFault::BlackoutAfterAck { down, edges } => {
                self.arm_crash(PendingCrash::Blackout { down, edges })
            }
            SevereFault::HitAfterAck { down, wipe, more } => {
                self.arm_crash(PendingCrash::Hit { down, wipe, more })
            }
            SevereFault::Term { core, down } => {
                if !self.cores[core].listed || !self.has_process(NodeRef::Core(core)) {
                    return;
                }
                self.core_event(core, control_plane::Event::Shutdown);
                let (incarnation, late) = (self.cores[core].incarnation, 0.1 + 0.8 * self.rng.f64());
                self.schedule_after(late, SimulationEvent::ProcessExited(core, incarnation));
                self.mark_core_faulty_for(late + down, 4.0);
                self.schedule_after(late + down, SimulationEvent::Boot(NodeRef::Core(core)));
            }
            SevereFault::Succeed { core, later } => {
                self.kill(NodeRef::Core(core), true);
                self.cores[core].disk.crash(true, true, &mut self.rng);
                self.cores[core].listed = false;
                self.invariants.removed_at.insert(core, self.now);
                self.mark_core_faulty_for(later, 4.0);
                self.rewrite_seed_lists();
                self.schedule_after(later, SimulationEvent::Fault(Fault::Severe(SevereFault::Add)));
            }
            SevereFault::Reread { who, seeds } => {
                who.into_iter().for_each(|who| self.reload_settings(who, &seeds))
            }
            SevereFault::AcksLost { part, secs } => self.lost_responses = (self.now + secs, part),
            SevereFault::Reset { who, part } => {
                self.reset_some(who, part);
                match who {
                    NodeRef::Core(_) => self.mark_core_faulty_for(0.0, 3.0),
                    NodeRef::Edge(n) => self.mark_edge_faulty_for(n, 3.0),
                }
            }
            SevereFault::Drag { core, secs } => {
                self.inject_fault(Fault::Freeze { who: NodeRef::Core(core), secs: 0.16 });
                if secs > 0.2 {
                    self.schedule_after(
                        0.2,
                        SimulationEvent::Fault(Fault::Severe(SevereFault::Drag { core, secs: secs - 0.2 })),
                    );
                }
            }
            SevereFault::DiskFull { core, secs } => {
                self.cores[core].disk.full_until = self.now + secs;
                self.mark_core_faulty_for(secs, 3.0);
            }
            SevereFault::AtHolder(fault) => {
                let holder = self
                    .invariants
                    .quota_leader()
                    .filter(|n| self.cores[*n].listed)
                    .unwrap_or(self.listed_core_from(0));
                self.inject_fault(fault.at(holder));
            }
            SevereFault::Blackout { down, wipe, edges } => {
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
    }
}
