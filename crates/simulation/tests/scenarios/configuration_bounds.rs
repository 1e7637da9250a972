//! The repair bound at its limit: the next loss comes exactly `resync_bound` after the previous node is back, or after a
//! successor's start, in every configuration that a deployment may have.

use googletest::prelude::*;
use whinstall_simulation::severe_faults::SevereFault;
use whinstall_simulation::trials::{control, severe, trial, wiped, FaultSchedule};
use whinstall_simulation::DeploymentPlan;

const SIZES: [(usize, usize); 4] = [(3, 1), (4, 1), (5, 1), (5, 2)];

/// The configuration of a seed; seeds enumerate core nodes and losses, `resync_bound`, sync times, delays between zones.
fn plan_for_seed(seed: u64) -> DeploymentPlan {
    let n = seed as usize;
    let (cores, losses) = SIZES[n % 4];
    let resync = [4.0, 6.0][n / 4 % 2];
    let sync = [0.002, 0.005][n / 8 % 2];
    let delay = [0.0005, 0.003, 0.006][n / 16 % 3];
    let plan = control(cores, losses);
    let length = 6.0 + 5.0 * (resync + 1.5) + 10.0;
    DeploymentPlan {
        resync,
        sync,
        delay,
        jitter: delay / 4.0,
        seed_delay: 3.0,
        length,
        steps: Some(3),
        ..plan
    }
}

/// Seconds until just after `resync_bound`.
fn resync_elapsed(plan: &DeploymentPlan) -> f64 {
    plan.resync + 0.01
}

fn five_disk_losses(seed: u64, rng: &mut fastrand::Rng) -> (DeploymentPlan, FaultSchedule) {
    let plan = plan_for_seed(seed);
    let (first, mut at) = (rng.usize(0..plan.cores), 6.0);
    let mut days = FaultSchedule::new();
    for n in 0..5 {
        let down = 0.3 + rng.f64();
        days.push(wiped(at, (first + n) % plan.cores, down));
        at += down + resync_elapsed(&plan);
    }
    (plan, days)
}

/// Replaces core nodes by SIGTERM and a successor at a new address, every other time the quota leader, and loses a disk in
/// between.
fn five_replacements(seed: u64, rng: &mut fastrand::Rng) -> (DeploymentPlan, FaultSchedule) {
    let plan = plan_for_seed(seed);
    let mut days = FaultSchedule::new();
    let mut at = 6.0;
    for n in 0..5 {
        let later = 1.2 * rng.f64();
        let holder = n % 2 == 1;
        match n {
            2 => days.push(wiped(at, plan.cores, later)),
            _ if holder => days.push(severe(at, SevereFault::ReplaceQuotaLeader { later })),
            _ => days.push(severe(at, SevereFault::ReplaceCore { core: n / 2, later })),
        }
        at += later + resync_elapsed(&plan);
    }
    (plan, days)
}

/// Starts the successor first and removes the old node after `resync_bound`; the old node stops counting as a member, and
/// another node is lost soon after.
fn successor_before_removal(seed: u64, rng: &mut fastrand::Rng) -> (DeploymentPlan, FaultSchedule) {
    let plan = plan_for_seed(seed);
    let cores = plan.cores;
    let holder = rng.bool();
    let removed = 6.0 + resync_elapsed(&plan);
    let remove = if holder { SevereFault::RemoveQuotaLeader } else { SevereFault::RemoveCore { core: 0 } };
    let lost = removed + 0.9 + 1.5 * rng.f64();
    let down = 0.3 + rng.f64();
    let again = lost + down + resync_elapsed(&plan);
    let mut days = vec![severe(6.0, SevereFault::AddCore), severe(removed, remove)];
    // The remaining nodes: the new one, and the last of the original ones unless that was the quota leader.
    days.push(wiped(lost, cores, down));
    days.push(severe(again, SevereFault::ReplaceQuotaLeader { later: 0.5 }));
    days.push(wiped(again + 0.5 + resync_elapsed(&plan), cores + 1, 0.5));
    (plan, days)
}

/// CI runs a third of the configurations in the three tests; all of them run by hand with
/// `cargo test --release -p whinstall-simulation every_configuration -- --ignored --nocapture`.
#[gtest]
fn five_consecutive_disk_losses() {
    trial(48_000..48_008, |seed, rng| five_disk_losses(seed * 5, rng));
}

#[gtest]
fn five_consecutive_core_replacements() {
    trial(48_100..48_108, |seed, rng| five_replacements(seed * 5, rng));
}

#[gtest]
fn core_removed_after_its_successor_joined_then_another_lost() {
    trial(48_200..48_208, |seed, rng| successor_before_removal(seed * 5, rng));
}

#[gtest]
#[ignore = "all configurations: run by hand"]
fn every_configuration() {
    for scenario in [five_disk_losses, five_replacements, successor_before_removal] {
        trial(48_000..48_096, scenario);
    }
}
