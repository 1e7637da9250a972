//! Measures repairs: the time until a core node that starts votes and has applied all entries that any node had committed
//! when the repair could begin. This reads the state of core nodes, so it reports times and never judges results.

use super::World;
use std::collections::BTreeMap;

struct Repair {
    /// Time since when the node and a majority of the core have run without interruption.
    since: f64,
    target: u64,
    late: bool,
}

/// Repairs in progress, and the durations of completed ones.
#[derive(Default)]
pub struct RepairTimes {
    pending: BTreeMap<usize, Repair>,
    /// Seconds that each completed repair took.
    pub took: Vec<f64>,
}

impl World {
    /// The highest commit index that any core node knows.
    fn committed(&self) -> u64 {
        let known = self.cores.iter().filter_map(|n| n.core.as_ref()).map(|c| c.raft.commit_index());
        known.max().unwrap_or(0)
    }

    /// A core node restarted or joined: measures how long its repair takes.
    pub fn repair_started(&mut self, n: usize) {
        if self.cores[n].incarnation == 1 && !self.invariants.joining.contains_key(&n) {
            return;
        }
        let (since, target) = (self.now, self.committed());
        self.repairs.pending.insert(n, Repair { since, target, late: false });
    }

    /// REPAIR: checks whether a core node that started has completed its repair within `resync`.
    pub fn check_repair(&mut self, n: usize) {
        let Some(mut repair) = self.repairs.pending.remove(&n) else { return };
        let Some(core) = self.cores[n].core.as_ref().filter(|_| self.cores[n].listed) else { return };
        let holds =
            core.configuration.applied >= repair.target && core.raft.voters().contains(&core.raft.id());
        let leader = core.raft.leader(
            core.context.log_time(1000.0 + (self.now - self.cores[n].booted_at) * self.cores[n].clock_rate),
        );
        if holds && leader.is_some() {
            return self.repairs.took.push(self.now - repair.since);
        }
        let most = self.connected_majority().filter(|most| most.iter().all(|m| self.cores_connected(n, *m)));
        // The bound does not apply while more nodes are down than may be lost at once, this one included.
        let down =
            (0..self.cores.len()).filter(|m| self.cores[*m].listed && self.cores[*m].core.is_none()).count();
        let many = 1 + down > self.plan.losses;
        // A full disk suspends the bound as a stalled one does: the node can't store entries, even after a restart.
        let is_blocked = self.cores[n].disk.blocked_until(self.now).is_some();
        if most.is_none() || many || self.cores[n].frozen || is_blocked {
            (repair.since, repair.target) = (self.now, self.committed());
        }
        if self.now - repair.since > self.plan.resync && !repair.late {
            repair.late = true;
            let (now, for_s) = (self.now, self.now - repair.since);
            self.auditor
                .violations
                .push(format!("REPAIR {now:.3}: core {n} has not completed its repair after {for_s:.3} s"));
        }
        self.repairs.pending.insert(n, repair);
    }
}
