//! How long it takes until a core node that starts holds all again: it votes, and has applied what was committed
//! anywhere when it could begin. Looks into core nodes, so it tells times and never what is right.

use super::World;
use std::collections::BTreeMap;

struct Repair {
    /// It runs since then, and most of the core with it.
    since: f64,
    target: u64,
    late: bool,
}

/// Repairs under way, and how long the others took.
#[derive(Default)]
pub struct RepairTimes {
    pending: BTreeMap<usize, Repair>,
    /// Seconds that each completed repair took.
    pub took: Vec<f64>,
}

impl World {
    /// All that is committed, as any machine knows.
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

    /// Looks at a machine that started.
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
        // Together with this one more may be lost than is to be borne.
        let down =
            (0..self.cores.len()).filter(|m| self.cores[*m].listed && self.cores[*m].core.is_none()).count();
        let many = 1 + down > self.plan.losses;
        // Full as well as slow: what a disk takes no bytes of can't be held, whatever is restarted on it.
        let hangs = self.cores[n].disk.blocked_until(self.now).is_some();
        if most.is_none() || many || self.cores[n].frozen || hangs {
            (repair.since, repair.target) = (self.now, self.committed());
        }
        if self.now - repair.since > self.plan.resync && !repair.late {
            repair.late = true;
            let (now, for_s) = (self.now, self.now - repair.since);
            self.auditor
                .violations
                .push(format!("REPAIR {now:.3}: core {n} does not hold all after {for_s:.3} s"));
        }
        self.repairs.pending.insert(n, repair);
    }
}
