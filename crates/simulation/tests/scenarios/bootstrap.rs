//! Bootstrap: any number of core nodes, in any order, some late, or with a seed that dies before the system has started.

use googletest::prelude::*;
use whinstall_simulation::faults::Fault;
use whinstall_simulation::severe_faults::SevereFault;
use whinstall_simulation::trials::{control, severe, trial, FaultSchedule};
use whinstall_simulation::{DeploymentPlan, SimulationEvent, World};

fn plan(cores: usize) -> DeploymentPlan {
    let losses = (cores - 1) / 2;
    DeploymentPlan { start_spread: 0.3, length: 20.0, ..control(cores, losses) }
}

#[gtest]
fn one_to_six_cores_bootstrap_in_any_order() {
    trial(10_000..10_012, |seed, _| (plan(1 + seed as usize % 6), Vec::new()));
}

#[gtest]
fn late_seeds_do_not_block_bootstrap() {
    trial(10_100..10_108, |seed, rng| {
        let cores = 2 + seed as usize % 5;
        let late = vec![(rng.usize(0..cores), 5.0 * rng.f64()), (rng.usize(0..cores), 2.0)];
        (DeploymentPlan { start_delays: late, length: 24.0, ..plan(cores) }, Vec::new())
    });
}

#[gtest]
fn seed_that_loses_power_before_bootstrap_returns() {
    trial(10_200..10_208, |seed, rng| {
        let cores = 3 + seed as usize % 4;
        let (core, at, down) = (rng.usize(0..cores.min(3)), 0.02 + 0.5 * rng.f64(), 0.5 + 4.0 * rng.f64());
        let fault = Fault::KillCore { core, down, power: true, wipe: rng.bool() };
        (DeploymentPlan { length: 24.0, ..plan(cores) }, vec![(at, fault)])
    });
}

#[gtest]
fn bootstrap_proceeds_without_a_lost_seed() {
    trial(10_300..10_308, |seed, rng| {
        let cores = 3 + seed as usize % 4;
        let (core, at) = (rng.usize(0..3), 0.02 + 0.5 * rng.f64());
        (plan(cores), vec![severe(at, SevereFault::LoseCore { core })])
    });
}

/// Seconds per step in the creation of a disk.
const DISK_STEP_SECS: f64 = 0.025;

/// Kills core nodes, or cuts their power, at least `from` seconds after their start. Their restarts are no longer marked as
/// part of the bootstrap.
fn stopped(rng: &mut fastrand::Rng, cores: &[usize], from: f64) -> FaultSchedule {
    let power = rng.bool();
    let mut fault = |&core: &usize| {
        let (at, down) = (0.01 + from + (0.1 - from) * rng.f64(), 0.3 + rng.f64());
        (at, Fault::KillCore { core, down, power, wipe: false })
    };
    cores.iter().map(&mut fault).collect()
}

#[gtest]
fn cores_stopped_during_their_first_start_still_bootstrap() {
    trial(10_500..10_536, |seed, rng| {
        let cores = 1 + seed as usize % 6;
        let mut hit: Vec<usize> = (0..cores).collect();
        rng.shuffle(&mut hit);
        // One, two or all nodes stop. The bootstrap marker is synced by the time it must survive a loss of power.
        hit.truncate([1, 2, cores][seed as usize / 6 % 3]);
        let days = stopped(rng, &hit, 2.0 * DISK_STEP_SECS + 0.001);
        (
            DeploymentPlan {
                disk_creation_step: DISK_STEP_SECS,
                start_spread: 0.0,
                length: 24.0,
                ..plan(cores)
            },
            days,
        )
    });
}

#[gtest]
fn seed_stopped_before_its_bootstrap_marker_joins_the_others() {
    trial(10_600..10_612, |seed, rng| {
        let cores = 3 + seed as usize % 4;
        let hit = rng.usize(0..3);
        let days = stopped(rng, &[hit], 0.0);
        (
            DeploymentPlan {
                disk_creation_step: DISK_STEP_SECS,
                start_spread: 0.0,
                length: 24.0,
                ..plan(cores)
            },
            days,
        )
    });
}

/// An edge node may connect before the core knows all workers, while a service that a route names has none. The core must
/// notify the edge node later that the set is complete; otherwise the edge node never becomes ready.
#[gtest]
fn edge_is_ready_when_a_service_has_no_worker() {
    for seed in 10_400..10_408 {
        // Either the first service has no worker, or no service has one.
        let workers = if seed % 2 == 0 { 0 } else { 4 };
        let mut world = World::new(seed, DeploymentPlan { workers, ..plan(1 + seed as usize % 5) });
        for worker in (0..3 * workers).step_by(3) {
            world.schedule_at(0.05, SimulationEvent::Fault(Fault::CrashWorker { worker, dark: false }));
        }
        world.play(20.0);
        for (n, node) in world.edges.iter().enumerate() {
            let now = 1000.0 + (world.now - node.booted_at) * node.clock_rate;
            expect_that!(node.edge.as_ref().map(|e| e.is_ready(now)), some(eq(true)), "seed {seed}, {n}");
        }
    }
}
