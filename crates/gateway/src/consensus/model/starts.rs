//! States that searches start from.

use super::*;

impl ClusterModel {
    pub(super) fn starting_from(self, state: ClusterState) -> ClusterModel {
        ClusterModel { start: Some(state), ..self }
    }

    fn start_state(&self) -> ClusterState {
        self.start.clone().expect("a start")
    }
}

/// The first machine leads in term 1, and no message or write is in progress.
pub(super) fn settled(model: ClusterModel) -> ClusterModel {
    let state = model.elect(model.new_cluster(), 0, ALL_MACHINES);
    model.starting_from(state)
}

/// As [`settled`], with clocks, of which the first machine's is slow.
pub(super) fn settled_with_clocks(model: ClusterModel) -> ClusterModel {
    settled(ClusterModel { slow_clock: Some(0), writes_finish_at_once: true, ..model })
}

/// As [`settled`], after the first machine has committed a command that the third has not received.
pub(super) fn third_lags(model: ClusterModel) -> ClusterModel {
    let model = settled(model);
    let state = model.after(model.start_state(), &[Action::Propose(0)]);
    let state = model.settle_and_drop_rest(state, &[0, 1]);
    model.starting_from(state)
}

/// As [`third_lags`], after the first machine has compacted that command, so that the third needs a snapshot.
pub(super) fn third_needs_snapshot(budget: Budget, model: ClusterModel) -> ClusterModel {
    let model = third_lags(ClusterModel { budget, ..model });
    let state = model.after(model.start_state(), &[Action::Compact(0)]);
    let state = model.settle_and_drop_rest(state, &[0, 1]);
    model.starting_from(state)
}
