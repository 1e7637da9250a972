//! Plays a scenario over many seeds and reports the violations of each seed.

use super::faults::Fault;
use super::operators::OperatorLoad;
use super::partitions::{Direction, Partition};
use super::severe_faults::SevereFault;
use super::{DeploymentPlan, SimulationEvent, World};

/// Faults and when they come.
pub type FaultSchedule = Vec<(f64, Fault)>;

/// A deployment whose control side is under way all day, its traffic light.
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

/// A severe fault at this time.
pub fn severe(at: f64, severe: SevereFault) -> (f64, Fault) {
    (at, Fault::Severe(severe))
}

/// A core node cut off with a edge node, workers and an operator on its side.
pub fn cut(at: f64, cores: &[usize], way: Direction, secs: f64) -> (f64, Fault) {
    severe(at, SevereFault::Partition { cut: Partition::side(cores, &[0], &[0, 4], &[1], way), secs })
}

/// Killed with its disk for good or for a while.
pub fn wiped(at: f64, core: usize, down: f64) -> (f64, Fault) {
    (at, Fault::KillCore { core, down, power: true, wipe: true })
}

/// Plays one day with these faults, and makes the final checks.
pub fn play(seed: u64, plan: DeploymentPlan, days: &[(f64, Fault)]) -> World {
    let mut world = World::new(seed, plan);
    for (at, fault) in days {
        world.schedule_at(*at, SimulationEvent::Fault(fault.clone()));
    }
    let length = world.plan.length;
    world.play(length - 4.0);
    world.request_final_reads();
    world.play(length);
    world.auditor.close();
    world.check_history();
    if let Some(at) = world.invariants.pending_snapshot_crashes.first() {
        world
            .auditor
            .violations
            .push(format!("STORY: no loss came at {at:?}, of {:?}", world.invariants.snapshot_stages));
    }
    world
}

/// The middle and the longest of the times that repairs took.
pub fn times(took: &mut [f64]) -> String {
    took.sort_by(f64::total_cmp);
    let (middle, most) = (took.get(took.len() / 2), took.last());
    let tell = |s: Option<&f64>| s.map_or("-".into(), |s| format!("{s:.2} s"));
    format!("{} starts until all is held again: {}, longest {}", took.len(), tell(middle), tell(most))
}

/// Plays a scenario on each seed; all that is broken is told, with the seeds. Returned: how many orders were confirmed.
pub fn trial(
    seeds: std::ops::Range<u64>,
    story: impl Fn(u64, &mut fastrand::Rng) -> (DeploymentPlan, FaultSchedule),
) -> usize {
    trial_with(seeds, story, |_| None)
}

/// The same; `more` tells what else is broken.
pub fn trial_with(
    seeds: std::ops::Range<u64>,
    story: impl Fn(u64, &mut fastrand::Rng) -> (DeploymentPlan, FaultSchedule),
    more: impl Fn(&World) -> Option<String>,
) -> usize {
    let (mut failed, many) = (Vec::new(), seeds.end - seeds.start);
    let (mut confirmed, mut reads, mut took) = (0, 0, Vec::new());
    for seed in seeds {
        let (plan, days) = story(seed, &mut fastrand::Rng::with_seed(seed));
        let mut world = play(seed, plan, &days);
        let found = more(&world);
        world.auditor.violations.extend(found);
        if std::env::var_os("TWICE").is_some() {
            let (plan, days) = story(seed, &mut fastrand::Rng::with_seed(seed));
            let again = play(seed, plan, &days);
            let told = &world.auditor.violations
                [..again.auditor.violations.len().min(world.auditor.violations.len())];
            assert_eq!(told, again.auditor.violations, "seed {seed} differs when played again");
            assert_eq!(
                world.operator_records.answers, again.operator_records.answers,
                "seed {seed} differs when played again"
            );
        }
        confirmed += world.operator_records.orders.iter().filter(|o| o.confirmed_at.is_some()).count();
        reads += world.operator_records.reads.len();
        took.extend(&world.repairs.took);
        if !world.auditor.violations.is_empty() {
            failed.push((seed, world.auditor.violations));
        }
    }
    println!("{many} seeds, {confirmed} orders confirmed, {reads} reads, {} seeds failed", failed.len());
    println!("{}", times(&mut took));
    assert!(failed.is_empty(), "{}", told(&failed, many));
    confirmed
}

/// How many broke what, and the first of each kind.
pub fn told(failed: &[(u64, Vec<String>)], many: u64) -> String {
    let mut kinds = std::collections::BTreeMap::<&str, (u32, u64, &String)>::new();
    for (seed, broken) in failed {
        let mut seen = std::collections::BTreeSet::new();
        for text in broken {
            let kind = text.split([' ', ':']).next().unwrap_or_default();
            if seen.insert(kind) {
                kinds.entry(kind).or_insert((0, *seed, text)).0 += 1;
            }
        }
    }
    let kinds =
        kinds.iter().map(|(kind, (n, seed, text))| format!("  {kind} on {n} seeds, first {seed}: {text}"));
    format!("{} of {many} seeds broke a rule\n{}", failed.len(), kinds.collect::<Vec<_>>().join("\n"))
}
