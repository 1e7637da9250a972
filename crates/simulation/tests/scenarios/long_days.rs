//! Long days: hundreds of changes, then restarts of nodes that were down or wiped, or of all nodes; and days with random
//! faults, each at its own time.

use googletest::prelude::*;
use whinstall_simulation::faults::Fault;
use whinstall_simulation::operators::OperatorLoad;
use whinstall_simulation::partitions::{Direction, Participant, Partition};
use whinstall_simulation::severe_faults::SevereFault;
use whinstall_simulation::trials::{control, severe, trial, wiped, FaultSchedule};
use whinstall_simulation::DeploymentPlan;

/// Eight changes in flight at once, sent as fast as responses arrive.
pub fn concurrent_changes(orders: usize) -> OperatorLoad {
    let calm = OperatorLoad { operators: 4, at_once: 2, orders, pause: 0.1, ..OperatorLoad::default() };
    OperatorLoad {
        twin_fraction: 0.0,
        lost_fraction: 0.02,
        resend_fraction: 0.05,
        invalid_fraction: 0.02,
        shared_key_fraction: 0.0,
        until: 14.0,
        reads: 0.5,
        ..calm
    }
}

fn plan(orders: usize) -> DeploymentPlan {
    DeploymentPlan { length: 30.0, operator_load: concurrent_changes(orders), ..control(3, 1) }
}

#[gtest]
fn member_that_missed_300_changes_is_needed_one_resync_bound_after_its_return() {
    trial(14_000..14_003, |seed, _| {
        let away = seed as usize % 3;
        let days = vec![
            (3.0, Fault::KillCore { core: away, down: 12.0, power: seed % 2 == 0, wipe: false }),
            wiped(19.1, (away + 1) % 3, 1.0),
            wiped(24.3, (away + 2) % 3, 0.5),
        ];
        (DeploymentPlan { length: 32.0, ..plan(300) }, days)
    });
}

#[gtest]
fn wiped_member_catches_up_during_300_changes() {
    trial(14_100..14_103, |seed, _| {
        let core = seed as usize % 3;
        (
            plan(300),
            vec![wiped(6.0, core, 0.5), wiped(11.0, (core + 1) % 3, 0.5), wiped(16.0, (core + 2) % 3, 1.0)],
        )
    });
}

#[gtest]
fn all_cores_restart_after_300_changes_with_torn_last_writes() {
    trial(14_200..14_203, |_, rng| {
        let wipe = if rng.bool() { vec![rng.usize(0..3)] } else { Vec::new() };
        let dark = |at, wipe| severe(at, SevereFault::Blackout { down: 0.8, wipe, edges: true });
        let days = vec![dark(8.0, Vec::new()), dark(14.0, wipe), (20.0, Fault::KillAllCores { down: 0.5 })];
        (plan(300), days)
    });
}

#[gtest]
fn disks_are_slow_and_stall_during_changes() {
    trial(14_300..14_303, |_, rng| {
        let core = rng.usize(0..3);
        let days = vec![
            severe(4.0, SevereFault::SlowDisk { core, each: 0.25, secs: 8.0 }),
            (14.0, Fault::StallDisk { core: (core + 1) % 3, secs: 6.0 }),
        ];
        (plan(300), days)
    });
}

/// 3,000 changes, eight in flight at once, while one core node is down; that node is needed as soon as its repair bound has
/// passed. Then one node is wiped, then all lose power with torn last writes and one loses its disk, and at last all are
/// killed.
fn three_thousand_changes(seed: u64, rng: &mut fastrand::Rng) -> (DeploymentPlan, FaultSchedule) {
    let away = seed as usize % 3;
    let operator_load = OperatorLoad {
        pause: 0.0,
        until: 21.0,
        resend_fraction: 0.02,
        reads: 1.0,
        learned: true,
        ..concurrent_changes(3000)
    };
    let dark = SevereFault::Blackout { down: 0.8, wipe: vec![rng.usize(0..3)], edges: rng.bool() };
    let days = vec![
        (2.1, Fault::KillCore { core: away, down: 20.0, power: rng.bool(), wipe: false }),
        wiped(26.2, (away + 1) % 3, 0.5),
        severe(30.9, dark),
        (36.2, Fault::KillAllCores { down: 0.5 }),
    ];
    (DeploymentPlan { length: 46.0, operator_load, ..control(3, 1) }, days)
}

#[gtest]
fn day_of_3000_changes() {
    expect_that!(trial(14_800..14_801, three_thousand_changes), ge(2800));
}

/// `cargo test --release -p whinstall-simulation days_of_3000 -- --ignored --nocapture`
#[gtest]
#[ignore = "tens of thousands of changes: run by hand"]
fn days_of_3000_changes() {
    expect_that!(trial(14_800..14_820, three_thousand_changes), ge(20 * 2800));
}

/// Draws faults of every kind, within the losses that the deployment tolerates.
fn random_faults(rng: &mut fastrand::Rng, plan: &DeploymentPlan) -> FaultSchedule {
    let (mut days, mut next) = (FaultSchedule::new(), plan.cores);
    let mut listed: Vec<usize> = (0..plan.cores).collect();
    let mut at = 5.0 + 2.0 * rng.f64();
    while at < plan.length - 14.0 {
        let secs = 0.5 + 4.0 * rng.f64();
        let core = listed[rng.usize(0..listed.len())];
        let (edge, power, wipe) = (rng.usize(0..plan.edges), rng.bool(), rng.bool());
        let way = [Direction::Both, Direction::Both, Direction::Out, Direction::In][rng.usize(0..4)];
        let side = Partition::side(&[core], &[edge], &[rng.usize(0..6)], &[1 + rng.usize(0..3)], way);
        let long = 6.0 + 14.0 * rng.f64();
        let (fault, lasts) = match rng.usize(0..14) {
            0 | 1 => (Fault::Severe(SevereFault::Partition { cut: side, secs: long }), long),
            2 => {
                let (edges, workers, operators) = (vec![edge], vec![0], vec![2]);
                (
                    Fault::Severe(SevereFault::PartitionQuotaLeader {
                        edges,
                        workers,
                        operators,
                        secs: long,
                    }),
                    long,
                )
            }
            3 => {
                // The node restarts in the middle of its partition, with an edge node on its side.
                let seeds = vec![core];
                let edge_seeds = seeds.clone();
                days.push(severe(at + 3.0, SevereFault::RestartCore { core, down: 0.5, power, wipe, seeds }));
                days.push(severe(at + 4.0, SevereFault::RestartEdge { edge, down: 0.5, seeds: edge_seeds }));
                (Fault::Severe(SevereFault::Partition { cut: side, secs: long }), long)
            }
            4 | 5 if next < 12 => {
                let later = 2.0 * rng.f64();
                listed.retain(|n| *n != core);
                listed.push(next);
                next += 1;
                (Fault::Severe(SevereFault::ReplaceCore { core, later }), later.max(1.0))
            }
            6 => {
                let wipe = if rng.bool() { vec![core] } else { Vec::new() };
                let (down, edges) = (1.0, rng.bool());
                match rng.bool() {
                    true => (Fault::Severe(SevereFault::Blackout { down, wipe, edges }), 1.2),
                    // The confirmation that triggers the crash comes shortly after.
                    false => (Fault::Severe(SevereFault::BlackoutAfterAck { down, edges }), 3.0),
                }
            }
            7 => (Fault::Severe(SevereFault::SlowDisk { core, each: 0.1 + 0.3 * rng.f64(), secs }), secs),
            8 => (Fault::StallDisk { core, secs }, secs),
            9 => (Fault::KillAllCores { down: 0.3 + 0.6 * rng.f64() }, 1.0),
            10 => (Fault::Freeze { who: whinstall_simulation::network::NodeRef::Core(core), secs }, secs),
            11 if plan.cores == 3 => {
                let cut = Partition {
                    inside: vec![Participant::Core(core)],
                    others: Some(vec![Participant::Core((core + 1) % 3)]),
                    way,
                };
                (Fault::Severe(SevereFault::Partition { cut, secs }), secs)
            }
            12 => (Fault::KillEdge { edge, down: secs }, secs),
            _ => (Fault::KillCore { core, down: secs, power, wipe }, secs),
        };
        days.push((at, fault));
        // A node that returns counts as lost for a while.
        at += lasts + 4.1 + rng.f64();
    }
    days
}

/// Draws the parameters that all random days share: the number of registers and the network's delay.
pub fn draw_load_and_delay(
    rng: &mut fastrand::Rng,
    load: OperatorLoad,
    plan: DeploymentPlan,
) -> DeploymentPlan {
    let labels = 2 + rng.usize(0..6);
    let delay = if rng.u8(0..3) == 0 { 0.006 } else { 0.0005 };
    let operator_load =
        OperatorLoad { twin_fraction: 0.4, resend_fraction: 0.4, lost_fraction: 0.15, labels, ..load };
    DeploymentPlan { delay, jitter: delay / 2.0, start_spread: 0.3, operator_load, ..plan }
}

/// A day with random faults of any kind, one after the other.
pub fn random_long_day(_: u64, rng: &mut fastrand::Rng) -> (DeploymentPlan, FaultSchedule) {
    let cores = [3, 3, 3, 4, 5][rng.usize(0..5)];
    let load = OperatorLoad { operators: 4, ..OperatorLoad::default() };
    let plan = DeploymentPlan { length: 50.0, ..control(cores, (cores - 1) / 2) };
    let plan = draw_load_and_delay(rng, load, plan);
    let days = random_faults(rng, &plan);
    (plan, days)
}

#[gtest]
fn random_long_days() {
    trial(14_400..14_416, random_long_day);
}
