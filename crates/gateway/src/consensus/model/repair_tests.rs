//! Repairs of lost disks that are disturbed halfway.

use super::starts::settled;
use super::*;

fn voter_disks(raft: &Raft<u8>) -> Vec<u64> {
    raft.voters().iter().map(|id| id.disk).collect()
}

/// A machine loses its disk again during its repair: the other two, which have all their data, go on.
#[test]
fn a_disk_lost_twice_during_its_repair_does_not_stop_the_cluster() {
    let model = settled(ClusterModel::default());
    let change = Action::ChangeConfiguration { leader: 0, silent: None };
    let join = |disk| Action::Join { machine: 0, joining: 1, disk };
    let lose_and_repair = |state: ClusterState, disk: u64| {
        let state = model.after(state, &[Action::LoseDisk(1), join(disk)]);
        let mut state = model.settle_and_drop_rest(state, ALL_MACHINES);
        // As far as it may get with the new disk: it does not hear what the leader appends next.
        for _ in 0..3 {
            state = model.settle_and_drop_rest(model.after(state, std::slice::from_ref(&change)), &[0, 2]);
        }
        state
    };
    let state = model.start.clone().expect("a start");
    let state = lose_and_repair(lose_and_repair(state, 1), 2);
    let mut state = model.settle_and_drop_rest(model.after(state, &[join(2)]), ALL_MACHINES);
    for _ in 0..4 {
        let actions = [change.clone(), Action::Broadcast(0)];
        state = model.settle_and_drop_rest(model.after(state, &actions), ALL_MACHINES);
    }
    let leader = &state.machines[0].raft;
    let (commit_index, last_index) = (leader.commit_index(), leader.last_index());
    assert_eq!(voter_disks(leader), [0, 2, 0], "commit index {commit_index} of {last_index}");
    assert_eq!(commit_index, last_index);
}

/// A leader that did not see a repair begin ends it none the less: a machine that has another disk now does
/// not vote under the old one, even where no voter may be missing.
#[test]
fn the_next_leader_finishes_a_repair() {
    let model = settled(ClusterModel { min_voters: 5, ..ClusterModel::default() });
    let settle =
        |state, actions: &[Action]| model.settle_and_drop_rest(model.after(state, actions), ALL_MACHINES);
    let join = |machine| Action::Join { machine, joining: 1, disk: 1 };
    let change = |leader| Action::ChangeConfiguration { leader, silent: None };
    let state = model.start.clone().expect("a start");
    let state = settle(state, &[Action::LoseDisk(1), join(0)]);
    // The repair is half done; then another machine becomes leader.
    let state = settle(state, &[change(0)]);
    let mut state = model.elect(state, 2, ALL_MACHINES);
    for _ in 0..4 {
        let repaired = state.machines[1].raft.id();
        if !state.machines[2].raft.voters().contains(&repaired) {
            // The repaired machine hears no leader, so it announces itself.
            state = settle(state, &[join(2)]);
        }
        state = settle(state, &[Action::Broadcast(2), change(2)]);
    }
    assert_eq!(voter_disks(&state.machines[2].raft), [0, 1, 0]);
}
