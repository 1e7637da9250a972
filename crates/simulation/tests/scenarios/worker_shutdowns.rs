//! A worker announces its shutdown, a heartbeat that it sent before arrives seconds late, and core nodes fail in between.
//!
//! The auditor's DRAIN check guards all of these days: no edge node in contact with a settled core sends requests to the
//! worker once its shutdown is acknowledged. Each day also checks that it brought the order of events about.

use googletest::prelude::*;
use whinstall_gateway::discovery::WorkerPhase;
use whinstall_simulation::faults::Fault;
use whinstall_simulation::severe_faults::SevereFault;
use whinstall_simulation::trials::{severe, trial_with, wiped, FaultSchedule};
use whinstall_simulation::{DeploymentPlan, World};

/// When the worker announces its shutdown, in simulated seconds.
const ANNOUNCED_AT: f64 = 7.0;
/// Seconds after its announcement until the worker ends.
const SERVES_ON: f64 = 30.0;
/// Seconds, from the announcement, within which a settled core acknowledges it (`ack_bound`).
const ACKNOWLEDGED_WITHIN: f64 = 5.0;

fn plan(length: f64) -> DeploymentPlan {
    DeploymentPlan { edges: 3, workers: 2, rate: 40.0, length, ..DeploymentPlan::default() }
}

/// Worker 0 sends a heartbeat that arrives at `late_at`, and announces its shutdown right after.
fn shutdown_with_late_heartbeat(phase: WorkerPhase, late_at: f64) -> FaultSchedule {
    let sent_at = ANNOUNCED_AT - 0.1;
    vec![
        (sent_at, Fault::DelayHeartbeat { worker: 0, secs: late_at - sent_at }),
        (ANNOUNCED_AT, Fault::AnnounceShutdown { worker: 0, phase, serves_on: SERVES_ON }),
    ]
}

/// The phase that the worker of this seed announces.
fn announced_phase(seed: u64) -> WorkerPhase {
    [WorkerPhase::Departed, WorkerPhase::Draining][seed as usize % 2]
}

/// Whether the announcement of this worker was acknowledged in time, and its late heartbeat after that.
fn check_order_of_events(world: &World, worker: usize) -> Option<String> {
    let worker = &world.workers[worker];
    let is_acknowledged =
        worker.drain_acknowledged_at.is_some_and(|at| at < ANNOUNCED_AT + ACKNOWLEDGED_WITHIN);
    (!is_acknowledged || worker.late_heartbeats_taken != 1).then(|| {
        format!(
            "SCENARIO: announcement acknowledged at {:?}, {} late heartbeats taken",
            worker.drain_acknowledged_at, worker.late_heartbeats_taken
        )
    })
}

/// Guards against an acknowledged shutdown that only the memory of the core processes holds: all of them are killed and
/// return at once, with one edge node, before the late heartbeat arrives.
#[gtest]
fn shutdown_survives_a_kill_of_all_cores() {
    let scenario = |seed: u64, _: &mut fastrand::Rng| {
        let mut days = shutdown_with_late_heartbeat(announced_phase(seed), 12.5);
        days.push((8.0, Fault::KillAllCores { down: 0.5 }));
        days.push((8.0, Fault::KillEdge { edge: 0, down: 0.5 }));
        (plan(24.0), days)
    };
    trial_with(15_000..15_010, scenario, |world| check_order_of_events(world, 0));
}

/// Guards against an acknowledged shutdown that is not synced: all machines lose power right after the acknowledgement,
/// one of them also its disk.
#[gtest]
fn shutdown_survives_a_loss_of_all_power_and_one_disk() {
    let scenario = |seed: u64, rng: &mut fastrand::Rng| {
        let mut days = shutdown_with_late_heartbeat(announced_phase(seed), 14.0);
        let wipe = [vec![], vec![rng.usize(0..3)]][seed as usize / 2 % 2].clone();
        days.push(severe(ANNOUNCED_AT + 0.05, SevereFault::Blackout { down: 0.5, wipe, edges: true }));
        (plan(26.0), days)
    };
    // The acknowledgement may not have left the core node when the power fails; the worker then repeats its call.
    trial_with(15_100..15_112, scenario, |world| check_order_of_events(world, 0));
}

/// Guards against a shutdown that new members and nodes with an empty disk never learn: each core node in turn loses its
/// disk or is replaced, so that none is left that was there at the acknowledgement.
#[gtest]
fn shutdown_is_passed_on_to_new_members() {
    let scenario = |seed: u64, rng: &mut fastrand::Rng| {
        let mut days = shutdown_with_late_heartbeat(announced_phase(seed), 29.0);
        for core in 0..3 {
            let at = 8.5 + 6.0 * core as f64 + rng.f64();
            days.push(match seed / 2 % 3 {
                0 => wiped(at, core, 0.5),
                1 => severe(at, SevereFault::LoseAndReplaceCore { core, later: 0.5 }),
                _ => severe(at, SevereFault::ReplaceCore { core, later: 0.5 }),
            });
        }
        days.push((28.0, Fault::KillEdge { edge: 1, down: 0.3 }));
        (plan(40.0), days)
    };
    trial_with(15_200..15_212, scenario, |world| check_order_of_events(world, 0));
}

/// Guards against a shutdown that ends with a leader: the leader fails right after the announcement, and the next one
/// too, before the late heartbeat arrives.
#[gtest]
fn shutdown_survives_the_loss_of_two_leaders() {
    let scenario = |seed: u64, rng: &mut fastrand::Rng| {
        let mut days = shutdown_with_late_heartbeat(announced_phase(seed), 18.0);
        for at in [ANNOUNCED_AT + 0.2 * rng.f64(), 11.5] {
            let kill = Fault::KillCore { core: 0, down: 1.0, power: !seed.is_multiple_of(3), wipe: false };
            days.push(severe(at, SevereFault::AtQuotaLeader(Box::new(kill))));
        }
        days.push((16.0, Fault::KillManyEdges { edges: 3, down: 0.3, dark: false }));
        (plan(30.0), days)
    };
    trial_with(15_300..15_310, scenario, |world| check_order_of_events(world, 0));
}

/// Guards against a departure that leaves no trace because no heartbeat of the worker has arrived before it: the first
/// one arrives after the acknowledgement, in some days also after a kill of all core processes.
#[gtest]
fn departure_before_the_first_heartbeat_is_recorded() {
    let worker = 3 * plan(0.0).workers;
    let scenario = |seed: u64, _: &mut fastrand::Rng| {
        let mut days = vec![
            (6.0, Fault::AddSilentWorker { service: 0 }),
            (6.9, Fault::DelayHeartbeat { worker, secs: 5.6 }),
            (
                ANNOUNCED_AT,
                Fault::AnnounceShutdown { worker, phase: WorkerPhase::Departed, serves_on: SERVES_ON },
            ),
        ];
        if seed.is_multiple_of(2) {
            days.push((8.0, Fault::KillAllCores { down: 0.5 }));
        }
        (plan(24.0), days)
    };
    trial_with(15_400..15_410, scenario, |world| check_order_of_events(world, worker));
}
