//! Crashes that are triggered by an event: a stage of a snapshot, or the confirmation of a change.

use super::faults::Fault;
use super::network::NodeRef;
use super::severe_faults::SevereFault;
use super::{SimulationEvent, World};

/// A stage in the processing of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SnapshotStage {
    /// A chunk is being written to a disk before the snapshot is committed.
    ChunkWritten,
    /// The snapshot is being committed and the log is compacted up to it.
    LogCompacted,
    /// A chunk is in transit to another core node.
    ChunkSent,
}

/// The core nodes that lose power.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CrashTarget {
    /// The node that sends the snapshot or writes it to its disk.
    Owner,
    /// The node that receives the snapshot.
    Receiver,
    /// All core nodes.
    All,
}

/// A loss of power at a stage of a snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotCrash {
    /// The stage that triggers the crash.
    pub stage: SnapshotStage,
    /// Which occurrence of the stage triggers the crash, counted from 1.
    pub nth: usize,
    /// The nodes that lose power.
    pub target: CrashTarget,
    /// Seconds until the crashed nodes restart.
    pub down: f64,
    /// Whether the next core node loses its disk `resync_bound` after the restart.
    pub wipe_next: bool,
}

/// A crash that is triggered by the confirmation of a change.
#[allow(missing_docs)] // The fields are as in SevereFault.
#[derive(Clone, Debug, PartialEq)]
pub enum PendingCrash {
    /// All core nodes lose power, and all edge nodes if `edges`.
    Blackout { down: f64, edges: bool },
    /// The core node that confirmed it loses power, and `more` others.
    Hit { down: f64, wipe: bool, more: usize },
}

impl World {
    /// Detects the snapshot stages in a write batch that goes to a disk.
    pub fn snapshot_written(&mut self, n: usize, put: &whinstall_gateway::storage::WriteBatch) {
        let cut = put
            .log_writes
            .iter()
            .any(|w| matches!(w, whinstall_gateway::consensus::LogWrite::Snapshot { .. }));
        let stage = match (&put.snapshot_chunk, cut) {
            (Some(_), _) => SnapshotStage::ChunkWritten,
            (None, true) => SnapshotStage::LogCompacted,
            (None, false) => return,
        };
        self.snapshot_stage_reached(stage, n, n);
    }

    /// Detects a snapshot chunk among the messages sent on a connection.
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
            self.snapshot_stage_reached(SnapshotStage::ChunkSent, from, key.to);
        }
    }

    pub(crate) fn snapshot_stage_reached(&mut self, stage: SnapshotStage, owner: usize, receiver: usize) {
        *self.invariants.snapshot_stages.entry(stage as usize).or_default() += 1;
        let mut waiting = std::mem::take(&mut self.invariants.pending_snapshot_crashes);
        for at in waiting.iter_mut().filter(|at| at.stage == stage) {
            at.nth = at.nth.saturating_sub(1);
        }
        let due = waiting.iter().position(|at| at.stage == stage && at.nth == 0);
        let due = due.map(|n| waiting.remove(n));
        self.invariants.pending_snapshot_crashes = waiting;
        let Some(SnapshotCrash { target, down, wipe_next, .. }) = due else { return };
        self.invariants.snapshot_crashes += 1;
        // The crash comes at a random point during the write or the transfer.
        let late = 0.01 * self.rng.f64();
        let core = if target == CrashTarget::Receiver { receiver } else { owner };
        let lost = match target {
            CrashTarget::All => {
                super::faults::Fault::Severe(SevereFault::Blackout { down, wipe: Vec::new(), edges: false })
            }
            _ => super::faults::Fault::KillCore { core, down, power: true, wipe: false },
        };
        self.schedule_after(late, SimulationEvent::Fault(lost));
        if wipe_next {
            let next = self.listed_core_from(core + 1);
            let wiped = super::faults::Fault::KillCore { core: next, down: 0.5, power: true, wipe: true };
            self.schedule_after(late + down + 0.2 + self.plan.resync, SimulationEvent::Fault(wiped));
        }
    }

    pub(crate) fn arm_crash(&mut self, crash: PendingCrash) {
        self.invariants.armed_crash = Some((self.now + 2.5, crash));
    }

    /// Triggers the armed crash, if any, after a core node confirmed a change.
    pub fn change_acknowledged(&mut self, core: usize) {
        let Some((until, crash)) = self.invariants.armed_crash.take() else { return };
        let listed = self.listed_cores();
        if self.now > until || !listed.contains(&core) {
            return;
        }
        let (down, edges) = match crash {
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
}
