//! A core node is partitioned for about twenty seconds, with callers on its side.

use googletest::prelude::*;
use whinstall_simulation::faults::Fault;
use whinstall_simulation::partitions::{Direction, Participant, Partition};
use whinstall_simulation::severe_faults::SevereFault;
use whinstall_simulation::trials::{control, cut, severe, trial, FaultSchedule};
use whinstall_simulation::DeploymentPlan;

#[gtest]
fn partitioned_core_answers_operators_only_503_while_the_others_continue() {
    trial(11_000..11_009, |seed, _| {
        (control(3, 1), vec![cut(6.0, &[seed as usize % 3], Direction::Both, 20.0)])
    });
}

#[gtest]
fn core_partitioned_one_way_violates_no_invariant() {
    trial(11_100..11_109, |seed, rng| {
        let way = if rng.bool() { Direction::Out } else { Direction::In };
        (control(3, 1), vec![cut(6.0, &[seed as usize % 3], way, 20.0)])
    });
}

#[gtest]
fn quota_leader_and_its_successor_are_partitioned() {
    trial(11_200..11_206, |_, rng| {
        let holder = |at, secs| {
            let (edges, workers, operators) = (vec![0], vec![0, 4], vec![1]);
            severe(at, SevereFault::PartitionQuotaLeader { edges, workers, operators, secs })
        };
        (control(3, 1), vec![holder(6.0, 8.0 + 2.0 * rng.f64()), holder(20.0, 6.0)])
    });
}

#[gtest]
fn partitioned_minority_of_two_answers_nothing() {
    trial(11_300..11_305, |_, rng| {
        let (one, way) = (rng.usize(0..5), [Direction::Both, Direction::Out, Direction::In][rng.usize(0..3)]);
        (control(5, 2), vec![cut(6.0, &[one, (one + 1 + rng.usize(0..4)) % 5], way, 20.0)])
    });
}

#[gtest]
fn even_split_answers_on_neither_side() {
    trial(11_400..11_404, |_, rng| {
        let one = rng.usize(0..4);
        (control(4, 1), vec![cut(6.0, &[one, (one + 1) % 4], Direction::Both, 18.0)])
    });
}

#[gtest]
fn two_cores_that_reach_each_other_only_through_the_third() {
    trial(11_500..11_508, |_, rng| {
        // The second node is the quota leader; the third, which voted for it, restarts and loses its in-memory state.
        let kill = |at, core, down| (at, Fault::KillCore { core, down, power: false, wipe: false });
        let mut days = vec![
            kill(5.0, 0, 0.6),
            severe(8.0, SevereFault::Partition { cut: Partition::pair(0, 1), secs: 12.0 }),
        ];
        for n in 0..5 {
            days.push(kill(10.0 + 2.0 * n as f64 + 0.9 * rng.f64(), 2, 0.02 + 0.2 * rng.f64()));
        }
        (DeploymentPlan { edges: 8, ..control(3, 1) }, days)
    });
}

#[gtest]
fn core_restarted_while_partitioned_does_not_trust_its_local_state() {
    trial(11_600..11_609, |seed, rng| {
        let core = seed as usize % 3;
        let (power, wipe) = (rng.bool(), seed % 2 == 0);
        let restart = SevereFault::RestartCore { core, down: 1.0, power, wipe, seeds: vec![core] };
        (control(3, 1), vec![cut(6.0, &[core], Direction::Both, 20.0), severe(12.0, restart)])
    });
}

/// An edge node's seeds begin with the partitioned core node, and the edge node reaches only that one.
fn edge_beside_partitioned_core(seed: u64, unlimited: bool) -> (DeploymentPlan, Vec<(f64, Fault)>) {
    let core = seed as usize % 3;
    let seeds = vec![core, (core + 1) % 3, (core + 2) % 3];
    let restart = SevereFault::RestartEdge { edge: 0, down: 0.5, seeds };
    let plan = control(3, 1);
    let quota = if unlimited { 1e6 } else { plan.quota };
    (
        DeploymentPlan { unlimited, quota, ..plan },
        vec![cut(6.0, &[core], Direction::Both, 20.0), severe(14.0, restart)],
    )
}

#[gtest]
fn edge_started_beside_a_partitioned_core_is_not_ready() {
    trial(11_700..11_703, |seed, _| edge_beside_partitioned_core(seed, false));
}

#[gtest]
fn edge_without_quotas_started_beside_a_partitioned_core_is_not_ready() {
    trial(11_750..11_753, |seed, _| edge_beside_partitioned_core(seed, true));
}

#[gtest]
fn new_cores_beside_a_partitioned_core_form_no_cluster_of_their_own() {
    // A spare and a wiped member start on the partitioned side: three of the seeds, but no majority of the members.
    trial(11_800..11_805, |_, rng| {
        let spares = [Participant::Core(5), Participant::Core(6)];
        let mut side = Partition::side(&[0, 1], &[0], &[0, 4], &[1], Direction::Both);
        side.inside.extend(spares);
        let days = vec![
            severe(6.0, SevereFault::Partition { cut: side, secs: 16.0 }),
            severe(
                9.0,
                SevereFault::RestartCore { core: 1, down: 0.5, power: true, wipe: true, seeds: vec![0, 1] },
            ),
            severe(12.0 + rng.f64(), SevereFault::AddCore),
        ];
        (DeploymentPlan { length: 40.0, ..control(5, 2) }, days)
    });
}

/// A leader with a one-way partition in either direction must step down and let others lead. A leader partitioned from one
/// other node only may keep or lose the leadership without harm.
#[gtest]
fn partially_partitioned_leader_yields_to_a_stable_leader() {
    trial(11_900..11_909, |seed, _| {
        let way = [Direction::Out, Direction::In, Direction::Both][seed as usize % 3];
        let (pair, cores) = (seed % 2 == 0, 3 + 2 * usize::from(seed % 9 > 6));
        let plan = control(cores, (cores - 1) / 2);
        (plan, vec![severe(6.0, SevereFault::PartitionLeader { way, pair, secs: 20.0 })])
    });
}

#[gtest]
fn two_disconnected_followers_violate_no_invariant() {
    trial(11_930..11_936, |seed, _| {
        let (one, way) =
            (seed as usize % 3, [Direction::Both, Direction::Out, Direction::In][seed as usize / 3 % 3]);
        let cut = Partition {
            inside: vec![Participant::Core(one)],
            others: Some(vec![Participant::Core((one + 1) % 3)]),
            way,
        };
        (control(3, 1), vec![severe(6.0, SevereFault::Partition { cut, secs: 20.0 })])
    });
}

/// A partition of two seconds recurs ten times, two seconds apart. A majority stays connected, so changes must be confirmed
/// nearly all the time. The core is never settled, so the invariant checks alone would require nothing here.
#[gtest]
fn changes_are_confirmed_while_a_link_flaps() {
    let confirmed = |world: &whinstall_simulation::World| {
        let mut at: Vec<f64> = world.operator_records.orders.iter().filter_map(|o| o.confirmed_at).collect();
        at.extend([6.0, 46.0]);
        at.retain(|at| (6.0..=46.0).contains(at));
        at.sort_by(f64::total_cmp);
        let pauses = at.windows(2).map(|w| (w[1] - w[0], w[0]));
        let (longest, from) = pauses.fold((0.0, 0.0), |a, b| if b.0 > a.0 { b } else { a });
        let violation = format!("STALLED {from:.3}: no change was confirmed for {longest:.3} s");
        Some(violation).filter(|_| longest > 5.0)
    };
    let scenario = |seed: u64, rng: &mut fastrand::Rng| {
        let (one, way) =
            (rng.usize(0..3), [Direction::Both, Direction::Out, Direction::In][seed as usize % 3]);
        let next = vec![Participant::Core((one + 1) % 3)];
        let cut = match seed % 2 {
            0 => Partition::side(&[one], &[0], &[0, 4], &[1], way),
            _ => Partition { inside: vec![Participant::Core(one)], others: Some(next), way },
        };
        let days = (0..10).map(|n| {
            severe(6.0 + 4.0 * f64::from(n), SevereFault::Partition { cut: cut.clone(), secs: 2.0 })
        });
        (DeploymentPlan { length: 60.0, ..control(3, 1) }, days.collect())
    };
    whinstall_simulation::trials::trial_with(11_950..11_956, scenario, confirmed);
}

/// Workers drain on both sides of a partition. An isolated core node must not acknowledge the drain, the others must, and
/// no edge node in contact sends to the worker for longer than `drain_bound` after the acknowledgement.
#[gtest]
fn draining_workers_are_acknowledged_only_by_cores_in_the_majority() {
    let acked = |world: &whinstall_simulation::World| {
        // Two workers on the majority side drain; the other workers' calls reach only the isolated core node.
        let late =
            [1, 5].into_iter().find(|n| world.workers[*n].drain_acknowledged_at.is_none_or(|at| at > 17.0));
        late.map(|n| {
            format!(
                "DRAIN_ACK: the drain of worker {n} was acknowledged at {:?}",
                world.workers[n].drain_acknowledged_at
            )
        })
    };
    let scenario = |seed: u64, _: &mut fastrand::Rng| {
        let drains = [(9.0, 0), (10.0, 1), (11.0, 4), (12.0, 5)];
        let mut days: FaultSchedule =
            drains.into_iter().map(|(at, worker)| (at, Fault::DrainWorker { worker })).collect();
        let way = [Direction::Both, Direction::Out, Direction::In][seed as usize % 3];
        days.push(cut(6.0, &[seed as usize / 3 % 3], way, 20.0));
        (DeploymentPlan { workers: 4, rate: 30.0, length: 44.0, ..control(3, 1) }, days)
    };
    whinstall_simulation::trials::trial_with(11_970..11_976, scenario, acked);
}

/// Edge nodes restart repeatedly next to an isolated core node and know only its address.
#[gtest]
fn edges_restarted_beside_a_partitioned_core_keep_their_progress() {
    trial(11_980..11_984, |seed, rng| {
        let core = seed as usize % 3;
        let mut days =
            vec![cut(6.0, &[core], [Direction::Both, Direction::Out][seed as usize / 3 % 2], 20.0)];
        for n in 0..4 {
            let at = 9.0 + 4.0 * f64::from(n) + rng.f64();
            days.push(severe(at, SevereFault::RestartEdge { edge: 0, down: 0.3, seeds: vec![core] }));
        }
        // One edge node starts just as the partition ends; another is running at that time.
        days.push(severe(25.9, SevereFault::RestartEdge { edge: 1, down: 0.3, seeds: vec![core] }));
        (DeploymentPlan { length: 44.0, ..control(3, 1) }, days)
    });
}
