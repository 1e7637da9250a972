//! Performs the outputs of a machine after an action, and checks the invariants.

use super::invariants::{check_applied, check_leader, check_snapshot};
use super::network::is_redundant;
use super::time::{clamp_times, clear_times, renumber_writes};
use super::*;

impl ClusterModel {
    /// Performs the outputs of a machine, checks the invariants, and brings the machine to its normal form.
    pub(super) fn perform_outputs(&self, state: &mut ClusterState, m: usize) {
        let mut machine = state.machines[m].clone();
        let own = Arc::make_mut(&mut machine);
        for output in own.raft.take_outputs() {
            match output {
                Output::Persist { id, writes } => own.disk_queue.push_back(DiskWrite { id, writes }),
                Output::Send { to, message } => self.send(state, own, to, message),
                Output::Apply(entry) => check_applied(state, own, entry),
                Output::InstallSnapshot(snapshot) => {
                    check_snapshot(state, own, &snapshot);
                    own.applied_index = snapshot.index;
                    own.applied = snapshot.data.to_vec();
                    own.has_installed_snapshot = true;
                }
                Output::ReadReady(read) => {
                    if own.reads.remove(&read).is_some_and(|committed| own.applied_index < committed) {
                        state.violation = Some(Violation::StaleRead);
                    }
                }
            }
        }
        if own.raft.is_leader() {
            check_leader(state, &own.raft);
        } else {
            own.reads.clear();
        }
        let snapshot_index = own.persisted.snapshot.as_ref().map_or(0, |s| s.index);
        let mut stored = own.persisted.entries.iter().zip(snapshot_index + 1..);
        if stored.any(|(entry, index)| entry.index != index) {
            state.violation = Some(Violation::GapOnDisk);
        }
        self.normalize(own);
        state.machines[m] = machine;
        let machine = &state.machines[m];
        let keeps_redundant = self.keeps_redundant_messages();
        state.network.retain(|envelope| {
            envelope.to != machine.raft.id || keeps_redundant || !is_redundant(machine, &envelope.message)
        });
        let holds_lease = |machine: &&Arc<Machine>| machine.raft.holds_lease(NOW);
        if self.slow_clock.is_some() && state.machines.iter().filter(holds_lease).count() > 1 {
            state.violation = Some(Violation::TwoLeases);
        }
    }

    /// Equates states that differ only in times and numbers that have no effect any more.
    fn normalize(&self, machine: &mut Machine) {
        if self.slow_clock.is_some() {
            clamp_times(&mut machine.raft);
        } else {
            clear_times(&mut machine.raft, self.has_heartbeat_seqs());
        }
        renumber_writes(machine);
    }
}
