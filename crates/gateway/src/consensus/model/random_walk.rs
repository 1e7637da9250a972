//! Random walks through the state space, to states that are too deep for an exhaustive search.

use super::*;
use stateright::Model;
use std::collections::BTreeSet;
use std::ops::Range;

/// Steps out of 256 that deliver a message or finish a write, if there is one: deliveries and writes are more
/// frequent than faults.
const WORK_STEPS_OF_256: u8 = 160;

/// Protocol events that random walks covered.
#[derive(Debug, Default)]
pub(super) struct Coverage {
    pub committed_entries: usize,
    /// Terms in which something was committed.
    pub terms: usize,
    pub conf_changes: usize,
    pub installed_snapshots: usize,
}

impl Coverage {
    fn of(state: &ClusterState) -> Self {
        // The entry at index 1 is the initial configuration.
        let entries = || state.committed.iter().filter(|(index, _)| **index > 1).map(|(_, entry)| entry);
        Coverage {
            committed_entries: entries().count(),
            terms: entries().map(|entry| entry.term).collect::<BTreeSet<_>>().len(),
            conf_changes: entries().filter(|e| matches!(e.payload, EntryPayload::ConfChange(_))).count(),
            installed_snapshots: state.machines.iter().filter(|m| m.has_installed_snapshot).count(),
        }
    }

    fn add(&mut self, other: &Coverage) {
        self.committed_entries += other.committed_entries;
        self.terms += other.terms;
        self.conf_changes += other.conf_changes;
        self.installed_snapshots += other.installed_snapshots;
    }
}

/// A violation, and the walk to it.
#[derive(Debug)]
#[allow(dead_code, reason = "printed")]
pub(super) struct Counterexample {
    violation: Violation,
    seed: u64,
    actions: Vec<Action>,
}

/// Performs one random walk of `steps` steps; returns the last state, or the first violation.
pub(super) fn random_walk(
    model: &ClusterModel,
    seed: u64,
    steps: usize,
) -> Result<ClusterState, Counterexample> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut state = model.init_states().remove(0);
    let (mut path, mut actions) = (Vec::new(), Vec::new());
    for _ in 0..steps {
        actions.clear();
        model.actions(&state, &mut actions);
        let is_work = |action: &Action| matches!(action, Action::Deliver(_) | Action::FinishWrite(_));
        if rng.u8(..) < WORK_STEPS_OF_256 && actions.iter().any(is_work) {
            actions.retain(is_work);
        }
        if actions.is_empty() {
            break;
        }
        let action = actions.swap_remove(rng.usize(..actions.len()));
        if let Some(next) = model.step(&state, &action) {
            state = next;
            path.push(action);
        }
        if let Some(violation) = state.violation {
            return Err(Counterexample { violation, seed, actions: path });
        }
    }
    Ok(state)
}

/// Performs one random walk per seed; returns their coverage, or the first violation.
pub(super) fn random_walks(
    model: &ClusterModel,
    seeds: Range<u64>,
    steps: usize,
) -> Result<Coverage, Counterexample> {
    let mut coverage = Coverage::default();
    for seed in seeds {
        coverage.add(&Coverage::of(&random_walk(model, seed, steps)?));
    }
    Ok(coverage)
}

/// Wide bounds, with all kinds of faults at once.
pub(super) fn wide_models() -> Vec<(&'static str, ClusterModel)> {
    let budget = Budget {
        proposals: 6,
        crashes: 4,
        disk_losses: 1,
        broadcasts: UNBOUNDED,
        reads: 0,
        compactions: 3,
        transfers: 2,
        duplicates: 4,
        joins: UNBOUNDED,
        conf_changes: 6,
    };
    let base = ClusterModel { max_term: 6, max_index: 16, max_in_flight: 3, budget, ..Default::default() };
    let two_disk_losses = Budget { disk_losses: 2, ..budget };
    let reads = Budget { reads: 5, ..budget };
    let with_clocks = Budget { disk_losses: 0, joins: 0, conf_changes: 0, reads: 3, ..budget };
    let five_machines = ClusterModel { machine_count: 5, ..base.clone() };
    let five_seeds =
        ClusterModel { seed_count: 5, min_voters: 5, budget: two_disk_losses, ..five_machines.clone() };
    vec![
        ("three machines", base.clone()),
        ("five machines, three seeds", ClusterModel { max_term: 8, ..five_machines.clone() }),
        ("five seeds", five_seeds),
        ("four seeds, one spare", ClusterModel { seed_count: 4, ..five_machines }),
        ("reads", ClusterModel { budget: reads, ..base.clone() }),
        ("clocks", ClusterModel { slow_clock: Some(0), budget: with_clocks, ..base }),
    ]
}
