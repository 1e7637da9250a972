//! Random walks of the unbroken code within wide bounds. `MODEL_WALKS`: seeds of the long form for each of
//! them.

use super::random_walk::{random_walk, random_walks, wide_models};
use super::script::drop_messages;
use super::search::env_or;
use super::*;
use std::time::Instant;

const STEPS: usize = 400;

fn walk_all(seeds: u64) {
    for (name, model) in wide_models() {
        let start = Instant::now();
        let coverage =
            random_walks(&model, 0..seeds, STEPS).unwrap_or_else(|found| panic!("{name}: {found:#?}"));
        let seconds = start.elapsed().as_secs_f64();
        println!("walks, {name}: {seeds} of {STEPS} steps, {seconds:.1} s, {coverage:?}");
        assert!(
            coverage.committed_entries > 0 && coverage.terms > 0,
            "{name}: no entry committed: {coverage:?}"
        );
    }
}

#[test]
fn random_walks_find_no_violation() {
    walk_all(60);
}

#[test]
#[ignore = "long: cargo test -p whinstall-gateway consensus::model -- --ignored --nocapture"]
fn random_walks_find_no_violation_long() {
    walk_all(env_or("MODEL_WALKS", 2_000));
}

fn current_leader(state: &ClusterState) -> Option<usize> {
    let leaders = (0..state.machines.len()).filter(|m| state.machines[*m].raft.is_leader());
    leaders.max_by_key(|m| state.machines[*m].raft.term())
}

/// Checks that without faults, with all machines reachable, the cluster becomes stable: one leader, all
/// machines are voters, and all of them are caught up.
fn comes_to_rest(model: &ClusterModel, state: ClusterState) -> Result<(), String> {
    let mut state = drop_messages(state);
    for _ in 0..20 {
        for m in 0..state.machines.len() {
            let raft = &state.machines[m].raft;
            if current_leader(&state).is_none() && raft.voters().contains(&raft.id()) {
                state = model.elect(state, m, ALL_MACHINES);
            }
        }
        let Some(leader) = current_leader(&state) else { continue };
        state = upkeep(model, state, leader);
        if is_at_rest(&state, leader) {
            return Ok(());
        }
    }
    let describe = |machine: &Arc<Machine>| {
        let raft = &machine.raft;
        (raft.id(), raft.term(), raft.is_leader(), raft.commit_index(), raft.last_index(), raft.voters())
    };
    let machines: Vec<_> = state.machines.iter().map(describe).collect();
    Err(format!("{:?}: {machines:#?}", state.violation))
}

/// A leader broadcasts, hears of the machines that don't vote, and changes the configuration.
fn upkeep(model: &ClusterModel, state: ClusterState, leader: usize) -> ClusterState {
    let mut actions = vec![Action::Broadcast(leader)];
    for (joining, machine) in state.machines.iter().enumerate().filter(|(m, _)| *m != leader) {
        let id = machine.raft.id();
        if !state.machines[leader].raft.voters().contains(&id) {
            actions.push(Action::Join { machine: leader, joining, disk: id.disk });
        }
    }
    let state = model.settle_and_drop_rest(model.after(state, &actions), ALL_MACHINES);
    if !state.machines[leader].raft.is_leader() {
        return state;
    }
    let change = Action::ChangeConfiguration { leader, silent: None };
    model.settle_and_drop_rest(model.after(state, &[change]), ALL_MACHINES)
}

fn is_at_rest(state: &ClusterState, leader: usize) -> bool {
    let raft = &state.machines[leader].raft;
    let all_vote = raft.voters().into_iter().eq(state.machines.iter().map(|m| m.raft.id()));
    let all_caught_up = state.machines.iter().all(|m| m.applied_index == raft.commit_index());
    raft.is_leader()
        && all_vote
        && all_caught_up
        && raft.commit_index() == raft.last_index()
        && state.violation.is_none()
}

#[test]
fn after_any_walk_all_machines_vote_and_catch_up() {
    // A leadership transfer that fails ends by a timeout, and these machines have no clocks.
    let without_clocks = wide_models().into_iter().filter(|(_, model)| model.slow_clock.is_none());
    for (name, model) in without_clocks {
        let model = ClusterModel { budget: Budget { transfers: 0, ..model.budget }, ..model };
        for seed in 0..env_or("MODEL_RESTS", 30) {
            let walked = random_walk(&model, seed, 300).unwrap_or_else(|found| panic!("{name}: {found:#?}"));
            if let Err(state) = comes_to_rest(&model, walked) {
                panic!("{name}, seed {seed}: {state}");
            }
        }
    }
}
