//! Concurrent operators: two changes with one version, lost responses, changes that are sent again long after.

use googletest::prelude::*;
use whinstall_simulation::faults::Fault;
use whinstall_simulation::operators::OperatorLoad;
use whinstall_simulation::trials::{control, trial, FaultSchedule};
use whinstall_simulation::DeploymentPlan;

fn plan(cores: usize, operator_load: OperatorLoad) -> DeploymentPlan {
    DeploymentPlan {
        operator_load: OperatorLoad { operators: 4, pause: 0.4, until: 13.0, ..operator_load },
        length: 20.0,
        ..control(cores, (cores - 1) / 2)
    }
}

/// Faults that hit the core repeatedly, mostly its leader.
fn repeated_faults(rng: &mut fastrand::Rng, cores: usize) -> FaultSchedule {
    let mut days = Vec::new();
    let mut at = 4.0 + rng.f64();
    while at < 14.0 {
        let (core, secs) = (rng.usize(0..cores), 0.3 + 1.2 * rng.f64());
        days.push((
            at,
            match rng.usize(0..6) {
                0 => Fault::StallDisk { core, secs },
                1 => Fault::KillAllCores { down: 0.3 + 0.5 * rng.f64() },
                2 => Fault::Freeze { who: whinstall_simulation::network::NodeRef::Core(core), secs },
                3 => Fault::PartitionCore { core, secs, one_way: rng.bool() },
                n => Fault::KillCore { core, down: secs, power: n == 4, wipe: false },
            },
        ));
        at += secs + 1.0 + rng.f64();
    }
    days
}

#[gtest]
fn at_most_one_of_two_changes_with_one_version_is_confirmed() {
    let operator_load = OperatorLoad {
        twin_fraction: 1.0,
        invalid_fraction: 0.0,
        shared_key_fraction: 0.0,
        ..OperatorLoad::default()
    };
    trial(12_000..12_005, |_, _| (plan(3, operator_load.clone()), Vec::new()));
}

#[gtest]
fn at_most_one_is_confirmed_with_lost_responses_and_restarts() {
    let operator_load = OperatorLoad {
        twin_fraction: 0.7,
        lost_fraction: 0.4,
        shared_key_fraction: 0.0,
        ..OperatorLoad::default()
    };
    trial(12_100..12_108, |_, rng| (plan(3, operator_load.clone()), repeated_faults(rng, 3)));
}

#[gtest]
fn resent_change_is_confirmed_again_across_leader_changes_and_restarts() {
    let operator_load = OperatorLoad {
        twin_fraction: 0.0,
        lost_fraction: 0.5,
        resend_fraction: 1.0,
        shared_key_fraction: 0.0,
        labels: 3,
        ..OperatorLoad::default()
    };
    trial(12_200..12_208, |seed, rng| {
        let cores = 3 + 2 * (seed as usize % 2);
        (plan(cores, operator_load.clone()), repeated_faults(rng, cores))
    });
}

#[gtest]
fn conflicting_changes_on_four_distant_cores_with_eight_in_flight() {
    let operator_load = OperatorLoad {
        twin_fraction: 0.8,
        resend_fraction: 0.7,
        lost_fraction: 0.2,
        labels: 3,
        ..OperatorLoad::default()
    };
    trial(12_300..12_305, |_, rng| {
        (
            DeploymentPlan { delay: 0.008, jitter: 0.004, ..plan(4, operator_load.clone()) },
            repeated_faults(rng, 4),
        )
    });
}

#[gtest]
fn credential_is_given_to_one_tenant_only() {
    let operator_load = OperatorLoad {
        twin_fraction: 0.0,
        shared_key_fraction: 0.8,
        resend_fraction: 0.0,
        ..OperatorLoad::default()
    };
    trial(12_400..12_405, |_, _| {
        let operator_load =
            OperatorLoad { operators: 4, at_once: 1, pause: 1.0, until: 10.0, ..operator_load.clone() };
        (DeploymentPlan { operator_load, length: 16.0, ..control(3, 1) }, Vec::new())
    });
}

#[gtest]
fn invalid_changes_are_never_confirmed() {
    let operator_load = OperatorLoad {
        twin_fraction: 0.0,
        shared_key_fraction: 0.0,
        invalid_fraction: 0.6,
        lost_fraction: 0.3,
        ..OperatorLoad::default()
    };
    trial(12_500..12_504, |_, rng| (plan(3, operator_load.clone()), repeated_faults(rng, 3)));
}

/// A change is sent to two core nodes at once and forwarded to the leader twice, while leaders fail.
#[gtest]
fn change_sent_to_two_cores_is_applied_once_and_confirmed_by_both() {
    let operator_load = OperatorLoad {
        twin_fraction: 0.2,
        lost_fraction: 0.3,
        resend_fraction: 0.3,
        shared_key_fraction: 0.0,
        duplicate_fraction: 0.8,
        labels: 3,
        ..OperatorLoad::default()
    };
    trial(12_600..12_606, |seed, rng| {
        let cores = 3 + 2 * (seed as usize % 2);
        (plan(cores, operator_load.clone()), repeated_faults(rng, cores))
    });
}
