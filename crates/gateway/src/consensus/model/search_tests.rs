//! Searches of the unbroken code, part by part: each with bounds that let it see all states, or many.
//!
//! The ignored ones are long forms of the others: `MODEL_STATES` states of each part at most; `MODEL_PART`:
//! only parts whose names contain this; `MODEL_THREADS` threads.

use super::search::{env_or, search};
use super::starts::{settled, settled_with_clocks, third_lags, third_needs_snapshot};
use super::state_space::{CONFIGURATION_CHANGES, SECOND_LEADER_COMMITS, SNAPSHOT_INSTALLED};
use super::*;

/// A bounded search.
struct Part {
    name: &'static str,
    model: ClusterModel,
    /// Properties that it must reach.
    reached: &'static [&'static str],
}

const SECOND_LEADER: &[&str] = &[SECOND_LEADER_COMMITS];

fn default_model() -> ClusterModel {
    ClusterModel::default()
}

/// The second machine may campaign.
fn one_candidate() -> ClusterModel {
    ClusterModel { candidates: &[1], ..default_model() }
}

fn one_candidate_at_once() -> ClusterModel {
    ClusterModel { writes_finish_at_once: true, ..one_candidate() }
}

fn election_and_commit_parts() -> Vec<Part> {
    let two_candidates = ClusterModel { candidates: &[0, 1], ..default_model() };
    let leadership = ClusterModel { budget: Budget { crashes: 1, ..Budget::NONE }, ..two_candidates.clone() };
    let proposal = Budget { proposals: 1, ..Budget::NONE };
    let crash_and_proposal = Budget { crashes: 1, ..proposal };
    let commit =
        ClusterModel { max_term: 3, candidates: &[1, 2], budget: crash_and_proposal, ..default_model() };
    let commit_one = ClusterModel { candidates: &[2], budget: crash_and_proposal, ..default_model() };
    vec![
        Part {
            name: "leadership, synced at once",
            model: ClusterModel { writes_finish_at_once: true, ..two_candidates },
            reached: SECOND_LEADER,
        },
        Part { name: "leadership", model: leadership, reached: &[] },
        Part {
            name: "commit, one candidate",
            model: settled(ClusterModel { budget: proposal, ..one_candidate_at_once() }),
            reached: SECOND_LEADER,
        },
        Part { name: "commit", model: third_lags(commit), reached: &[] },
        Part {
            name: "commit, one candidate, 1 crash",
            model: third_lags(commit_one),
            reached: SECOND_LEADER,
        },
    ]
}

fn membership_parts() -> Vec<Part> {
    let lost_disk = Budget { disk_losses: 1, joins: 1, conf_changes: 2, ..Budget::NONE };
    let one_leader = ClusterModel { candidates: &[], budget: lost_disk, ..one_candidate_at_once() };
    let budget = Budget { joins: 2, conf_changes: 3, broadcasts: 1, ..lost_disk };
    let four_machines = ClusterModel { machine_count: 4, budget, ..one_candidate_at_once() };
    let fewer_changes = ClusterModel { budget: lost_disk, ..four_machines.clone() };
    let part = |name, model| Part { name, model: settled(model), reached: &[CONFIGURATION_CHANGES] };
    vec![
        part("membership, one leader", one_leader),
        part("membership", four_machines),
        part("membership, fewer changes", fewer_changes),
    ]
}

fn snapshot_parts() -> Vec<Part> {
    let crash = Budget { crashes: 1, broadcasts: UNBOUNDED, ..Budget::NONE };
    let with_duplicate = Budget { duplicates: 1, ..crash };
    let no_election = ClusterModel { candidates: &[], ..default_model() };
    let part = |name, budget, model| Part {
        name,
        model: third_needs_snapshot(budget, model),
        reached: &[SNAPSHOT_INSTALLED],
    };
    vec![
        part("snapshot, no election", crash, no_election),
        part("snapshot", with_duplicate, one_candidate()),
        part("snapshot, synced at once", with_duplicate, one_candidate_at_once()),
    ]
}

fn lease_parts() -> Vec<Part> {
    let transfer = Budget { transfers: 1, ..Budget::NONE };
    let crash = Budget { crashes: 1, ..Budget::NONE };
    let crash_and_broadcast = Budget { broadcasts: 1, ..crash };
    let part = |name, candidates, budget| Part {
        name,
        model: settled_with_clocks(ClusterModel { candidates, budget, ..default_model() }),
        reached: SECOND_LEADER,
    };
    vec![
        part("lease, one candidate", &[1], Budget::NONE),
        part("lease, transfer", &[1, 2], transfer),
        part("lease, crash", &[1, 2], crash_and_broadcast),
        part("lease, transfer, one candidate", &[1], transfer),
        part("lease, crash, one candidate", &[1], crash),
    ]
}

fn read_parts() -> Vec<Part> {
    let read = Budget { reads: 1, ..Budget::NONE };
    let read_and_crash = Budget { crashes: 1, ..read };
    let all = Budget { proposals: 1, ..read_and_crash };
    let part = |name, budget, model, reached| Part {
        name,
        model: settled(ClusterModel { budget, ..model }),
        reached,
    };
    vec![
        part("reads, one candidate", read, one_candidate_at_once(), SECOND_LEADER),
        part("reads, one crash", read_and_crash, one_candidate(), SECOND_LEADER),
        part("reads", all, one_candidate(), &[]),
    ]
}

fn search_all(max_states: usize) {
    let selected = std::env::var("MODEL_PART").unwrap_or_default();
    let parts =
        [election_and_commit_parts(), membership_parts(), snapshot_parts(), lease_parts(), read_parts()];
    for part in parts.into_iter().flatten().filter(|part| part.name.contains(&selected)) {
        search(part.name, part.model, max_states, part.reached);
    }
}

#[test]
fn bounded_searches_find_no_violation() {
    search_all(50_000);
}

#[test]
#[ignore = "long: cargo test -p whinstall-gateway consensus::model -- --ignored --nocapture"]
fn bounded_searches_find_no_violation_long() {
    search_all(env_or("MODEL_STATES", 400_000) as usize);
}
