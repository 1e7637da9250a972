//! Breadth-first search through the state space.

use super::state_space::NO_VIOLATION;
use super::*;
use stateright::{Checker, Model};
use std::time::Instant;

/// A number from the environment, or this default.
pub(super) fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|s| s.parse().ok()).unwrap_or(default)
}

/// Searches all states, or `max_states` of them, and prints which: "closed" if all were seen, else "bounded".
/// Panics on a violation, and if one of the properties `reached` is not.
pub(super) fn search(name: &str, model: ClusterModel, max_states: usize, reached: &[&'static str]) {
    let start = Instant::now();
    let threads = env_or("MODEL_THREADS", 4) as usize;
    let checker = model.checker().threads(threads).target_state_count(max_states).spawn_bfs().join();
    let discoveries = checker.discoveries();
    println!(
        "{name}: {} states, {} unique, depth {}, {:.1} s, {}, reached {:?}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
        start.elapsed().as_secs_f64(),
        if checker.state_count() < max_states { "closed" } else { "bounded" },
        discoveries.keys().collect::<Vec<_>>(),
    );
    if let Some(path) = discoveries.get(NO_VIOLATION) {
        panic!("{name}: {:?} after {:#?}", path.last_state().violation, path.clone().into_actions());
    }
    for property in reached {
        assert!(discoveries.contains_key(property), "{name}: property not reached: {property}");
    }
}

/// The violation that a search of `max_states` states finds. `shortest`: goes on until there is no shorter
/// path to one.
pub(super) fn find_violation(
    name: &str,
    model: &ClusterModel,
    max_states: usize,
    shortest: bool,
) -> Option<Violation> {
    let start = Instant::now();
    let (mut found, mut states): (Option<(Violation, Vec<Action>)>, _) = (None, 0);
    loop {
        let any = stateright::HasDiscoveries::AnyFailures;
        let mut checker = model.clone().checker().target_state_count(max_states).finish_when(any);
        if let Some((_, actions)) = &found {
            // The depth counts states: this is one step less than the path that was found.
            checker = checker.target_max_depth(actions.len());
        }
        let checker = checker.spawn_bfs().join();
        states += checker.state_count();
        let Some(path) = checker.discovery(NO_VIOLATION) else { break };
        found = Some((path.last_state().violation?, path.into_actions()));
        if !shortest {
            break;
        }
    }
    let steps = found.as_ref().map(|(_, actions)| actions.len());
    println!("{name}: {states} states, {:.1} s, {steps:?}: {found:?}", start.elapsed().as_secs_f64());
    found.map(|(violation, _)| violation)
}
