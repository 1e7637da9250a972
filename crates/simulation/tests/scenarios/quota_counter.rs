//! The quota counter after faults: within two seconds of the edge nodes' return tenants get what their quota allows, and
//! the bound of the quota holds at all times (the auditor's QUOTA).

use super::basic_faults::run_seeds;
use googletest::prelude::*;
use whinstall_simulation::faults::Fault;
use whinstall_simulation::{DeploymentPlan, World};

/// A plan in which tenants send five eighths of their quota, over all edge nodes.
fn plan() -> DeploymentPlan {
    DeploymentPlan { edges: 9, quota: 39.0, lost_answers: 0.0, length: 26.0, ..DeploymentPlan::default() }
}

fn power_off_core(at: f64, down: f64) -> Vec<(f64, Fault)> {
    (0..3).map(|core| (at, Fault::KillCore { core, down, power: true, wipe: false })).collect()
}

/// Checks that in every second from `at` on tenants are served what they send, which is within their quotas.
fn expect_served(worlds: &[World], from: f64, to: f64) {
    for (n, world) in worlds.iter().enumerate() {
        let mut at = from;
        while at < to {
            for key in ["key-big", "key-free"] {
                // The counter must reject almost nothing (429). Edge nodes may still reject some requests for other
                // reasons (503): three of twenty in a second on seeds 5081 and 5088 of the last scenario, with no 429.
                let denied = world.auditor.rate_limited_fraction(at, at + 1.0, key);
                expect_that!(denied, le(0.05), "{key} of world {n} from {at} on");
                let served = world.auditor.served_fraction(at, at + 1.0, key);
                expect_that!(served, ge(0.8), "{key} of world {n} from {at} on");
            }
            at += 1.0;
        }
    }
}

/// The core loses power, and soon after its return most edge nodes do.
#[gtest]
fn tenants_are_served_soon_after_cores_then_most_edges_lost_power() {
    let mut faults = power_off_core(8.0, 0.97);
    faults.push((10.2, Fault::KillManyEdges { edges: 8, down: 1.2, dark: true }));
    expect_served(&run_seeds(5000..5010, &plan(), &faults), 12.7, 20.0);
}

/// The edge nodes fail before the new quota leader has been in contact with any of them.
#[gtest]
fn tenants_are_served_soon_after_edges_and_cores_lost_power_together() {
    let mut faults = power_off_core(8.0, 0.97);
    faults.push((8.3, Fault::KillManyEdges { edges: 8, down: 1.2, dark: true }));
    expect_served(&run_seeds(5020..5030, &plan(), &faults), 11.5, 20.0);
}

/// Most edge nodes fail, and the core loses its record of them before they return.
#[gtest]
fn tenants_are_served_soon_after_most_edges_then_all_cores_were_killed() {
    let faults = [
        (8.0, Fault::KillManyEdges { edges: 8, down: 1.2, dark: false }),
        (8.6, Fault::KillAllCores { down: 0.5 }),
    ];
    expect_served(&run_seeds(5040..5050, &plan(), &faults), 11.2, 20.0);
}

/// The quota leader's disk is lost, and the edge nodes fail while the next leader takes over.
#[gtest]
fn tenants_are_served_soon_after_the_quota_leader_was_wiped_and_most_edges_killed() {
    let faults = [
        (8.0, Fault::KillCore { core: 0, down: 1.5, power: true, wipe: true }),
        (9.0, Fault::KillManyEdges { edges: 7, down: 1.0, dark: true }),
    ];
    expect_served(&run_seeds(5060..5070, &plan(), &faults), 12.0, 20.0);
}

/// Repeated failures: former quota leaders and ended incarnations of edge nodes must leave no quota reserved.
#[gtest]
fn no_quota_stays_reserved_after_many_restarts_and_leader_changes() {
    let mut faults = Vec::new();
    for round in 0..3 {
        let at = 7.0 + 3.0 * f64::from(round);
        faults.push((at, Fault::KillAllCores { down: 0.6 }));
        faults.push((at + 0.8, Fault::KillManyEdges { edges: 7, down: 0.8, dark: round == 1 }));
    }
    expect_served(&run_seeds(5080..5086, &plan(), &faults), 16.6, 22.0);
}

/// One tenant sends ten times its usual load all day: its quota is exhausted, and the bound holds whichever node is lost.
#[gtest]
fn quotas_hold_while_edges_and_quota_leaders_restart() {
    let hot = |quota| DeploymentPlan { quota, rate: 90.0, ..plan() };
    for (seeds, quota) in [(5100..5106, 39.0), (5110..5116, 15.0)] {
        let mut faults = power_off_core(9.0, 0.97);
        faults.push((7.0, Fault::TenantSurge { times: 10.0, secs: 14.0 }));
        faults.push((8.2, Fault::PartitionEdge { edge: 8, secs: 6.0 }));
        faults.push((8.9, Fault::PartitionEdge { edge: 7, secs: 3.0 }));
        faults.push((10.3, Fault::KillManyEdges { edges: 6, down: 1.0, dark: true }));
        faults.push((13.0, Fault::KillCore { core: 0, down: 2.0, power: true, wipe: true }));
        faults.push((14.1, Fault::KillManyEdges { edges: 6, down: 0.8, dark: false }));
        run_seeds(seeds, &hot(quota), &faults);
    }
}
