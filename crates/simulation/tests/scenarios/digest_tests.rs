//! Known digests of a few simulated days, for changes that must not change behaviour: renames, moves of code. A change
//! of behaviour that is meant changes them; its commit then says why, and has the new ones.

use super::basic_faults::{random_faults, run_day};
use super::snapshots;
use googletest::prelude::*;
use whinstall_simulation::faults::Fault;
use whinstall_simulation::partitions::Direction;
use whinstall_simulation::trials::{self, control, cut, wiped};
use whinstall_simulation::{DeploymentPlan, World};

/// One line of numbers, without names of the program.
fn digest_line(world: &World) -> String {
    let d = &world.digest;
    let (acknowledged, runs) = world.auditor.counts();
    let orders = world.operator_records.orders.iter().filter(|o| o.confirmed_at.is_some()).count();
    // By core node that runs: the term, the entry that is committed, the entry that changed the configuration last.
    let cores = world.cores.iter().filter_map(|c| c.core.as_ref());
    let logs: Vec<_> = cores
        .map(|c| (c.raft.term(), c.raft.commit_index(), c.configuration.state.last_change_index()))
        .collect();
    format!(
        "events {} messages {} bytes {} replies {:?} requests {:?} runs {runs} acknowledged {acknowledged} \
         orders {orders} reads {} logs {logs:?} time {} hash {:016x}",
        d.events,
        d.messages,
        d.bytes,
        d.replies,
        world.auditor.statuses(),
        world.operator_records.reads.len(),
        world.now,
        d.hash,
    )
}

#[gtest]
fn simulated_days_have_known_digests() {
    let cut_off = [
        (6.0, Fault::PartitionCore { core: 0, secs: 5.0, one_way: false }),
        (12.0, Fault::StallDisk { core: 1, secs: 3.0 }),
        (15.5, Fault::KillCore { core: 2, down: 1.5, power: true, wipe: true }),
    ];
    let two_lost = [
        (7.0, Fault::KillCore { core: 4, down: 2.0, power: true, wipe: true }),
        (14.0, Fault::PowerOffAll { down: 1.0, wipe: vec![1, 3] }),
    ];
    let far =
        DeploymentPlan { cores: 4, delay: 0.008, jitter: 0.004, length: 30.0, ..DeploymentPlan::default() };
    let faults = random_faults(&mut fastrand::Rng::with_seed(2000), &far);
    let (bulky, days) = snapshots::crashes_while_sending(14_700, &mut fastrand::Rng::with_seed(14_700));
    let side = [cut(8.0, &[0], Direction::Both, 6.0), wiped(20.0, 1, 0.5)];
    let worlds = [
        (
            "calm",
            run_day(0, DeploymentPlan { lost_answers: 0.0, quota: 40.0, ..DeploymentPlan::default() }, &[]),
        ),
        (
            "tenfold",
            run_day(10, DeploymentPlan::default(), &[(8.0, Fault::TenantSurge { times: 10.0, secs: 8.0 })]),
        ),
        ("cut off, hung, wiped", run_day(120, DeploymentPlan::default(), &cut_off)),
        (
            "two of five disks",
            run_day(110, DeploymentPlan { cores: 5, losses: 2, ..DeploymentPlan::default() }, &two_lost),
        ),
        ("drawn, far apart", run_day(2000, far, &faults)),
        ("operators", trials::play(7, control(3, 1), &side)),
        ("snapshot sent", trials::play(14_700, bulky, &days)),
    ];
    let found: String =
        worlds.iter().map(|(name, world)| format!("{name}: {}\n", digest_line(world))).collect();
    let known = include_str!("digests.txt");
    for (found, known) in found.lines().zip(known.lines().chain(std::iter::repeat(""))) {
        expect_that!(found, eq(known), "the simulated day differs from the one that is known (digests.txt)");
    }
    expect_that!(found.lines().count(), eq(known.lines().count()));
    for (name, world) in &worlds {
        expect_that!(world.auditor.violations, is_empty(), "{name}");
    }
}
