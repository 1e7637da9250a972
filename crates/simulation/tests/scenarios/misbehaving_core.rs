//! Deliberate protocol violations of core nodes, which the auditor and the history check must detect: a node answers from
//! its own state without contacting the others.

use googletest::prelude::*;
use whinstall_simulation::misbehaving_core::Misbehaviour;
use whinstall_simulation::operators::OperatorLoad;
use whinstall_simulation::severe_faults::SevereFault;
use whinstall_simulation::trials::{control, play, severe, FaultSchedule};
use whinstall_simulation::DeploymentPlan;

/// The kinds of the violations found over several seeds.
fn violation_kinds(
    misbehaviour: Option<Misbehaviour>,
    plan: &DeploymentPlan,
    days: &FaultSchedule,
) -> Vec<String> {
    let kinds = (16_000..16_004).flat_map(|seed| {
        let world = play(seed, DeploymentPlan { misbehaviour, ..plan.clone() }, days);
        world.auditor.violations
    });
    kinds.map(|text| text.split([' ', ':']).next().unwrap_or_default().to_owned()).collect()
}

fn busy_plan(invalid_fraction: f64) -> DeploymentPlan {
    let operator_load = OperatorLoad {
        operators: 4,
        pause: 0.3,
        reads: 0.2,
        twin_fraction: 0.0,
        shared_key_fraction: 0.0,
        invalid_fraction,
        labels: 3,
        ..OperatorLoad::default()
    };
    DeploymentPlan { length: 22.0, operator_load, ..control(3, 1) }
}

/// The quota leader is partitioned, with operators on its side.
fn leader_partitioned() -> FaultSchedule {
    let (edges, workers, operators) = (vec![0], vec![0], vec![1, 2]);
    vec![severe(6.0, SevereFault::PartitionQuotaLeader { edges, workers, operators, secs: 8.0 })]
}

#[gtest]
fn history_check_detects_stale_reads_of_a_partitioned_leader() {
    let (plan, days) = (busy_plan(0.0), leader_partitioned());
    expect_that!(violation_kinds(None, &plan, &days), is_empty());
    expect_that!(violation_kinds(Some(Misbehaviour::LeaderReads), &plan, &days), contains(eq("HISTORY")));
}

#[gtest]
fn history_check_detects_local_reads_of_a_follower() {
    // With long delays a follower learns of a commit later than the operator.
    let plan = DeploymentPlan { delay: 0.008, jitter: 0.03, ..busy_plan(0.0) };
    expect_that!(violation_kinds(None, &plan, &Vec::new()), is_empty());
    expect_that!(
        violation_kinds(Some(Misbehaviour::FollowerReads), &plan, &Vec::new()),
        contains(eq("HISTORY"))
    );
}

#[gtest]
fn monitor_detects_rejections_by_a_partitioned_leader() {
    let (plan, days) = (busy_plan(0.5), leader_partitioned());
    expect_that!(violation_kinds(None, &plan, &days), is_empty());
    expect_that!(violation_kinds(Some(Misbehaviour::LeaderRefuses), &plan, &days), contains(eq("ISOLATED")));
}
