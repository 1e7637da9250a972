//! The state space for the model checker: which actions are possible in a state, and the properties.

use super::*;
use crate::consensus::raft::Role;
use stateright::{Model, Property};

/// The property that no invariant is violated.
pub(super) const NO_VIOLATION: &str = "no violation";
/// Something is committed in the second term or a later one.
pub(super) const SECOND_LEADER_COMMITS: &str = "a second leader commits";
/// A configuration change is committed.
pub(super) const CONFIGURATION_CHANGES: &str = "a configuration change is committed";
pub(super) const SNAPSHOT_INSTALLED: &str = "a snapshot is installed";
const COMMAND_COMMITTED: &str = "a command is committed";

impl Model for ClusterModel {
    type State = ClusterState;
    type Action = Action;

    fn init_states(&self) -> Vec<ClusterState> {
        let start = self.start.clone().map(|state| ClusterState { budget: self.budget, ..state });
        vec![start.unwrap_or_else(|| self.new_cluster())]
    }

    fn actions(&self, state: &ClusterState, actions: &mut Vec<Action>) {
        if state.violation.is_some() {
            return;
        }
        let budget = &state.budget;
        let positions = 0..state.network.len();
        actions.extend(positions.clone().map(Action::Deliver));
        if budget.duplicates > 0 && budget.duplicates != UNBOUNDED {
            actions.extend(positions.map(Action::DeliverDuplicate));
        }
        for m in 0..state.machines.len() {
            self.member_actions(state, m, actions);
            self.leader_actions(state, m, actions);
        }
        if self.slow_clock.is_some() {
            actions.push(Action::Tick);
        }
    }

    fn next_state(&self, state: &ClusterState, action: Action) -> Option<ClusterState> {
        self.step(state, &action).filter(|next| next != state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_VIOLATION, |_, state: &ClusterState| state.violation.is_none()),
            Property::sometimes(SECOND_LEADER_COMMITS, |_, state: &ClusterState| {
                state.committed.values().any(|entry| entry.term >= 2)
            }),
            Property::sometimes(COMMAND_COMMITTED, |_, state: &ClusterState| {
                state.committed.values().any(|entry| matches!(entry.payload, EntryPayload::Command(_)))
            }),
            Property::sometimes(CONFIGURATION_CHANGES, |_, state: &ClusterState| {
                // The entry at index 1 is the initial configuration.
                let mut later = state.committed.iter().filter(|(index, _)| **index > 1);
                later.any(|(_, entry)| matches!(entry.payload, EntryPayload::ConfChange(_)))
            }),
            Property::sometimes(SNAPSHOT_INSTALLED, |_, state: &ClusterState| {
                state.machines.iter().any(|machine| machine.has_installed_snapshot)
            }),
        ]
    }
}

impl ClusterModel {
    /// Adds the actions that are possible for any member.
    fn member_actions(&self, state: &ClusterState, m: usize, actions: &mut Vec<Action>) {
        let (budget, machine) = (&state.budget, &state.machines[m]);
        let raft = &machine.raft;
        if !machine.disk_queue.is_empty() {
            actions.push(Action::FinishWrite(m));
        }
        let is_bound = raft.hears_leader(NOW) || raft.is_bound_by_restart(NOW);
        let may_campaign = self.candidates.contains(&m) && raft.term < self.max_term && !raft.is_leader();
        if may_campaign && raft.voters().contains(&raft.id) && !is_bound {
            actions.push(Action::Campaign(m));
        }
        if budget.crashes > 0 {
            let crash = |kept_writes| Action::Crash { machine: m, kept_writes };
            actions.extend((0..=machine.disk_queue.len()).map(crash));
        }
        if budget.disk_losses > 0 {
            actions.push(Action::LoseDisk(m));
        }
        if budget.compactions > 0 && machine.applied_index > raft.log.snapshot_position().index {
            actions.push(Action::Compact(m));
        }
    }

    /// Adds the actions that are possible only for a leader.
    fn leader_actions(&self, state: &ClusterState, m: usize, actions: &mut Vec<Action>) {
        let (budget, raft) = (&state.budget, &state.machines[m].raft);
        let Role::Leader(leader) = &raft.role else { return };
        let may_append = raft.log.last_index() < self.max_index;
        let others = (0..self.machine_count).filter(|other| *other != m);
        if budget.broadcasts > 0 {
            actions.push(Action::Broadcast(m));
        }
        if budget.proposals > 0 && may_append {
            actions.push(Action::Propose(m));
        }
        if budget.reads > 0 {
            actions.push(Action::Read(m));
        }
        if budget.transfers > 0 && leader.transfer.is_none() {
            actions.push(Action::Transfer(m));
        }
        if budget.joins > 0 {
            // With its current disk, or late with one that is lost.
            for joining in others.clone() {
                let disks = 0..=state.machines[joining].raft.id.disk;
                actions.extend(disks.map(|disk| Action::Join { machine: m, joining, disk }));
            }
        }
        if budget.conf_changes > 0 && may_append {
            let change = |silent| Action::ChangeConfiguration { leader: m, silent };
            actions.extend(others.map(Some).chain([None]).map(change));
        }
    }
}
