//! Effects of the actions.

use super::time::age;
use super::*;
use crate::consensus::raft::Role;
use crate::consensus::tests::apply_writes;

fn spend(budget: &mut u8) {
    if *budget != UNBOUNDED {
        *budget -= 1;
    }
}

/// Makes a leader have heard these members just now, and the others never. `None` if it is not the leader.
fn set_heard_members(raft: &mut Raft<u8>, is_heard: impl Fn(NodeId) -> bool) -> Option<()> {
    let Role::Leader(leader) = &mut raft.role else { return None };
    for (id, progress) in &mut leader.peers {
        progress.heard_at = if is_heard(*id) { NOW } else { 0 };
    }
    Some(())
}

impl Action {
    /// The machine whose [`Raft`] is called; `None` for actions that are not exactly one call.
    fn calling_machine(&self) -> Option<usize> {
        match self {
            Action::FinishWrite(m)
            | Action::Campaign(m)
            | Action::Broadcast(m)
            | Action::Propose(m)
            | Action::Read(m)
            | Action::Compact(m)
            | Action::Transfer(m)
            | Action::Join { machine: m, .. }
            | Action::ChangeConfiguration { leader: m, .. } => Some(*m),
            Action::Deliver(_)
            | Action::DeliverDuplicate(_)
            | Action::Crash { .. }
            | Action::LoseDisk(_)
            | Action::Tick => None,
        }
    }
}

impl ClusterModel {
    /// Performs an action. Returns the machine whose outputs are to be performed, or `None` if the action is
    /// not possible.
    pub(super) fn perform(&self, state: &mut ClusterState, action: &Action) -> Option<usize> {
        match action {
            Action::Deliver(position) => self.deliver(state, *position, false),
            Action::DeliverDuplicate(position) => self.deliver(state, *position, true),
            Action::Tick => {
                self.tick_clocks(state);
                Some(0)
            }
            Action::Crash { machine, kept_writes } => {
                self.crash(state, *machine, *kept_writes);
                Some(*machine)
            }
            Action::LoseDisk(machine) => {
                self.lose_disk(state, *machine);
                Some(*machine)
            }
            _ => {
                let machine = action.calling_machine()?;
                self.call_raft(state, machine, action)?;
                Some(machine)
            }
        }
    }

    fn deliver(&self, state: &mut ClusterState, position: usize, is_duplicate: bool) -> Option<usize> {
        let envelope = state.network.get(position)?.clone();
        if is_duplicate {
            spend(&mut state.budget.duplicates);
        } else if state.budget.duplicates != UNBOUNDED {
            state.network.remove(position);
        }
        let receiver = machine_of(envelope.to);
        let machine = Arc::make_mut(&mut state.machines[receiver]);
        machine.raft.receive(NOW, envelope.from, envelope.message.clone());
        Some(receiver)
    }

    fn tick_clocks(&self, state: &mut ClusterState) {
        state.clock_phase = (state.clock_phase + 1) % 3;
        for (m, machine) in state.machines.iter_mut().enumerate() {
            if self.slow_clock != Some(m) || state.clock_phase != 1 {
                age(&mut Arc::make_mut(machine).raft);
            }
        }
    }

    fn crash(&self, state: &mut ClusterState, m: usize, kept_writes: usize) {
        spend(&mut state.budget.crashes);
        let machine = Arc::make_mut(&mut state.machines[m]);
        for write in std::mem::take(&mut machine.disk_queue).into_iter().take(kept_writes) {
            apply_writes(&mut machine.persisted, write.writes);
        }
        *machine = self.start_process(machine.raft.id, machine.persisted.clone(), true);
    }

    fn lose_disk(&self, state: &mut ClusterState, m: usize) {
        spend(&mut state.budget.disk_losses);
        let machine = Arc::make_mut(&mut state.machines[m]);
        let mut id = machine.raft.id;
        id.disk += u64::from(self.injected_fault != Some(InjectedFault::ReuseIdAfterDiskLoss));
        *machine = self.start_process(id, PersistedState::default(), true);
        state.network.retain(|envelope| envelope.to.ip != id.ip || envelope.to == id);
    }

    /// The actions that are one call of [`Raft`].
    fn call_raft(&self, state: &mut ClusterState, m: usize, action: &Action) -> Option<()> {
        let budget = &mut state.budget;
        let highest_committed = state.committed.keys().last().copied().unwrap_or(0);
        // Members whose disk is lost are not among these.
        let live: Vec<NodeId> = state.machines.iter().map(|machine| machine.raft.id).collect();
        let machine = Arc::make_mut(&mut state.machines[m]);
        let raft = &mut machine.raft;
        match action {
            Action::FinishWrite(_) => {
                let write = machine.disk_queue.pop_front()?;
                apply_writes(&mut machine.persisted, write.writes);
                raft.on_persisted(NOW, write.id);
            }
            Action::Campaign(_) => {
                raft.campaign(NOW, false);
                raft.issue_writes(NOW);
            }
            Action::Broadcast(_) => {
                spend(&mut budget.broadcasts);
                raft.broadcast(NOW);
                raft.issue_writes(NOW);
            }
            Action::Propose(_) => {
                spend(&mut budget.proposals);
                // Different for each position that a command is first proposed at.
                let value = (raft.term * 16 + raft.log.last_index()) as u8;
                raft.propose(NOW, value)?;
            }
            Action::Read(_) => {
                spend(&mut budget.reads);
                let read = raft.read_index(NOW)?;
                machine.reads.insert(read, highest_committed);
            }
            Action::Join { joining, disk, .. } => {
                spend(&mut budget.joins);
                raft.join(NOW, NodeId { ip: ip(*joining), disk: *disk });
            }
            Action::ChangeConfiguration { silent, .. } => {
                spend(&mut budget.conf_changes);
                set_heard_members(raft, |id| live.contains(&id) && Some(machine_of(id)) != *silent)?;
                raft.change_configuration(NOW);
                raft.issue_writes(NOW);
            }
            Action::Compact(_) => {
                spend(&mut budget.compactions);
                raft.compact_applied(NOW, machine.applied.clone().into());
            }
            Action::Transfer(_) => {
                spend(&mut budget.transfers);
                if self.slow_clock.is_none() {
                    // Without effect on a member that is not the leader.
                    let _ = set_heard_members(raft, |_| true);
                }
                raft.transfer_leadership(NOW);
            }
            _ => return None,
        }
        Some(())
    }
}
