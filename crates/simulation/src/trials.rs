//! Plays a scenario over many seeds and reports the violations of each seed.

use super::faults::Fault;
use super::operators::OperatorLoad;
use super::partitions::{Direction, Partition};
use super::severe_faults::SevereFault;
use super::{DeploymentPlan, SimulationEvent, World};

/// Faults of a simulated day, each with its time in simulated seconds.
pub type FaultSchedule = Vec<(f64, Fault)>;

/// A deployment with three concurrent operators that change the configuration all day, and little client traffic.
pub fn control(cores: usize, losses: usize) -> DeploymentPlan {
    let operator_load = OperatorLoad {
        operators: 3,
        twin_fraction: 0.0,
        shared_key_fraction: 0.0,
        pause: 1.0,
        ..OperatorLoad::default()
    };
    DeploymentPlan {
        cores,
        losses,
        edges: 3,
        workers: 2,
        rate: 6.0,
        length: 34.0,
        steps: Some(5),
        operator_load,
        ..DeploymentPlan::default()
    }
}

/// Schedules a severe fault at `at` simulated seconds.
pub fn severe(at: f64, severe: SevereFault) -> (f64, Fault) {
    (at, Fault::Severe(severe))
}

/// Partitions `cores`, with one edge node, two workers and one operator on their side, from everyone else.
pub fn cut(at: f64, cores: &[usize], way: Direction, secs: f64) -> (f64, Fault) {
    severe(at, SevereFault::Partition { cut: Partition::side(cores, &[0], &[0, 4], &[1], way), secs })
}

/// Kills a core node, wipes its disk, and restarts it on an empty disk after `down` seconds.
pub fn wiped(at: f64, core: usize, down: f64) -> (f64, Fault) {
    (at, Fault::KillCore { core, down, power: true, wipe: true })
}

/// Plays one day with these faults and runs the checks of the end of the day.
pub fn play(seed: u64, plan: DeploymentPlan, days: &[(f64, Fault)]) -> World {
    let mut world = World::new(seed, plan);
    for (at, fault) in days {
        world.schedule_at(*at, SimulationEvent::Fault(fault.clone()));
    }
    let length = world.plan.length;
    world.play(length - 4.0);
    world.request_final_reads();
    world.play(length);
    world.auditor.check_end_of_day();
    world.check_history();
    if let Some(at) = world.invariants.pending_snapshot_crashes.first() {
        world.auditor.violations.push(format!(
            "SCENARIO: the stage of the scheduled crash {at:?} was never reached; stages reached: {:?}",
            world.invariants.snapshot_stages
        ));
    }
    world
}

/// Summarizes how long repairs took: their number, the median and the longest.
pub fn repair_time_summary(took: &mut [f64]) -> String {
    took.sort_by(f64::total_cmp);
    let (median, longest) = (took.get(took.len() / 2), took.last());
    let seconds = |s: Option<&f64>| s.map_or("-".into(), |s| format!("{s:.2} s"));
    format!("{} core repairs: median {}, longest {}", took.len(), seconds(median), seconds(longest))
}

/// Plays a scenario on each seed and returns the number of confirmed changes. Panics with a summary of the violations
/// and their seeds if any seed violated an invariant.
pub fn trial(
    seeds: std::ops::Range<u64>,
    scenario: impl Fn(u64, &mut fastrand::Rng) -> (DeploymentPlan, FaultSchedule),
) -> usize {
    trial_with(seeds, scenario, |_| None)
}

/// Plays a scenario as [`trial`] does, with `extra_check` as a further check at the end of each day.
pub fn trial_with(
    seeds: std::ops::Range<u64>,
    scenario: impl Fn(u64, &mut fastrand::Rng) -> (DeploymentPlan, FaultSchedule),
    extra_check: impl Fn(&World) -> Option<String>,
) -> usize {
    let (mut failed, many) = (Vec::new(), seeds.end - seeds.start);
    let (mut confirmed, mut reads, mut took) = (0, 0, Vec::new());
    for seed in seeds {
        let (plan, days) = scenario(seed, &mut fastrand::Rng::with_seed(seed));
        let mut world = play(seed, plan, &days);
        let found = extra_check(&world);
        world.auditor.violations.extend(found);
        if std::env::var_os("TWICE").is_some() {
            let (plan, days) = scenario(seed, &mut fastrand::Rng::with_seed(seed));
            let again = play(seed, plan, &days);
            let common = &world.auditor.violations
                [..again.auditor.violations.len().min(world.auditor.violations.len())];
            assert_eq!(
                common, again.auditor.violations,
                "seed {seed} is not deterministic: its second run differs"
            );
            assert_eq!(
                world.operator_records.answers, again.operator_records.answers,
                "seed {seed} is not deterministic: its second run differs"
            );
        }
        confirmed += world.operator_records.orders.iter().filter(|o| o.confirmed_at.is_some()).count();
        reads += world.operator_records.reads.len();
        took.extend(&world.repairs.took);
        if !world.auditor.violations.is_empty() {
            failed.push((seed, world.auditor.violations));
        }
    }
    println!("{many} seeds, {confirmed} changes confirmed, {reads} reads, {} seeds failed", failed.len());
    println!("{}", repair_time_summary(&mut took));
    assert!(failed.is_empty(), "{}", violation_summary(&failed, many));
    confirmed
}

/// Summarizes violations by kind (the first word of the text): the number of seeds, the first seed and its violation.
pub fn violation_summary(failed: &[(u64, Vec<String>)], many: u64) -> String {
    let mut kinds = std::collections::BTreeMap::<&str, (u32, u64, &String)>::new();
    for (seed, violations) in failed {
        let mut seen = std::collections::BTreeSet::new();
        for text in violations {
            let kind = text.split([' ', ':']).next().unwrap_or_default();
            if seen.insert(kind) {
                kinds.entry(kind).or_insert((0, *seed, text)).0 += 1;
            }
        }
    }
    let kinds = kinds
        .iter()
        .map(|(kind, (n, seed, text))| format!("  {kind} on {n} seeds, first on seed {seed}: {text}"));
    format!(
        "{} of {many} seeds violated an invariant\n{}",
        failed.len(),
        kinds.collect::<Vec<_>>().join("\n")
    )
}
