//! Scripted steps, to reach the state that a search starts from.

use super::*;

impl ClusterModel {
    /// Performs these actions, one after the other.
    pub(super) fn after(&self, state: ClusterState, actions: &[Action]) -> ClusterState {
        actions.iter().fold(state, |state, action| {
            self.step(&ClusterState { budget: Budget::SCRIPT, ..state }, action).expect("possible")
        })
    }

    /// All writes of these machines finish and all messages between them arrive, until nothing more happens.
    pub(super) fn settle(&self, state: ClusterState, machines: &[usize]) -> ClusterState {
        self.settle_matching(state, machines, |_| true)
    }

    /// As [`ClusterModel::settle`]; all other messages are lost.
    pub(super) fn settle_and_drop_rest(&self, state: ClusterState, machines: &[usize]) -> ClusterState {
        drop_messages(self.settle(state, machines))
    }

    /// As [`ClusterModel::settle`], but only such messages arrive.
    pub(super) fn settle_matching(
        &self,
        mut state: ClusterState,
        machines: &[usize],
        arrives: impl Fn(&Message<u8>) -> bool,
    ) -> ClusterState {
        for _ in 0..2000 {
            let is_deliverable = |envelope: &Arc<Envelope>| {
                machines.contains(&machine_of(envelope.from))
                    && machines.contains(&machine_of(envelope.to))
                    && arrives(&envelope.message)
            };
            let has_writes = |m: &&usize| state.machines.get(**m).is_some_and(|m| !m.disk_queue.is_empty());
            let writing = machines.iter().find(has_writes);
            let action = match (writing, state.network.iter().position(is_deliverable)) {
                (Some(m), _) => Action::FinishWrite(*m),
                (None, Some(position)) => Action::Deliver(position),
                (None, None) => break,
            };
            state = self.after(state, &[action]);
        }
        state
    }

    /// A machine campaigns, is elected by these machines and replicates its log to them.
    pub(super) fn elect(&self, state: ClusterState, candidate: usize, machines: &[usize]) -> ClusterState {
        self.settle_and_drop_rest(self.after(state, &[Action::Campaign(candidate)]), machines)
    }
}

/// All messages in flight are lost.
pub(super) fn drop_messages(state: ClusterState) -> ClusterState {
    ClusterState { network: Vec::new(), ..state }
}
