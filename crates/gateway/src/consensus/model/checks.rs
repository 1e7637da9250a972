//! The searches through the model. The faults that are put in are in `model_faults`.
//!
//! Each search says its bounds, and whether it closed (all states within the bounds were seen) or was bounded by a number of
//! states. `MODEL_STATES` states at the most in the long form.

use super::invariants::Fault;
use super::*;
use crate::consensus::*;
use stateright::{Checker, Model};
use std::time::Instant;

pub(super) const U: u8 = UNBOUNDED;
pub(super) const NONE: Budget = Budget {
    proposals: 0,
    crashes: 0,
    wipes: 0,
    beats: 0,
    reads: 0,
    compactions: 0,
    transfers: 0,
    repeats: 0,
    joins: 0,
    changes: 0,
};

/// Looks at all that may be, or at so many states.
pub(super) fn search(what: &str, core: Core, cap: usize, reached: &[&'static str]) {
    let start = Instant::now();
    let checker =
        core.checker().threads(bound("MODEL_THREADS", 4) as usize).target_state_count(cap).spawn_bfs().join();
    let discoveries = checker.discoveries();
    println!(
        "{what}: {} states, {} unique, depth {}, {:.1} s, {}, reached {:?}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
        start.elapsed().as_secs_f64(),
        if checker.state_count() < cap { "closed" } else { "bounded" },
        discoveries.keys().collect::<Vec<_>>(),
    );
    if let Some(path) = discoveries.get(FAULTLESS) {
        panic!("{what}: {:?} after {:#?}", path.last_state().fault, path.clone().into_actions());
    }
    for name in reached {
        assert!(discoveries.contains_key(name), "{what}: never reached: {name}");
    }
}

/// What walks came by: entries committed, leaderships that committed, changes of members, snapshots installed.
#[derive(Debug, Default)]
struct Seen {
    committed: usize,
    terms: usize,
    members: usize,
    installed: usize,
}

type Found = Option<(Fault, u64, Vec<Action>)>;

/// One walk at random, and where it ends.
fn walk_from(core: &Core, seed: u64, steps: usize) -> ((Found, Seen), World) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut world = core.init_states().remove(0);
    let (mut trace, mut actions) = (Vec::new(), Vec::new());
    for _ in 0..steps {
        actions.clear();
        core.actions(&world, &mut actions);
        // Work is commoner than trouble.
        let calm = |a: &Action| matches!(a, Action::Deliver(_) | Action::Sync(_));
        if rng.u8(..) < 160 && actions.iter().any(calm) {
            actions.retain(calm);
        }
        if actions.is_empty() {
            break;
        }
        let action = actions.swap_remove(rng.usize(..actions.len()));
        if let Some(next) = core.step(&world, &action) {
            world = next;
            trace.push(action);
        }
        if let Some(fault) = world.fault {
            return ((Some((fault, seed, trace)), Seen::default()), world);
        }
    }
    let entries = world.agreed.iter().filter(|(index, _)| **index > 1);
    let seen = Seen {
        committed: entries.clone().count(),
        terms: entries.clone().map(|(_, e)| e.0).collect::<BTreeSet<_>>().len(),
        members: entries.filter(|(_, e)| matches!(e.1, EntryPayload::Members(_))).count(),
        installed: world.machines.iter().filter(|m| m.installed).count(),
    };
    ((None, seen), world)
}

/// Walks at random, far beyond what a search reaches; the first fault and the steps to it.
fn walks(core: &Core, seeds: std::ops::Range<u64>, steps: usize) -> (Found, Seen) {
    let mut all = Seen::default();
    for seed in seeds {
        let ((found, seen), _) = walk_from(core, seed, steps);
        if found.is_some() {
            return (found, all);
        }
        all.committed += seen.committed;
        all.terms += seen.terms;
        all.members += seen.members;
        all.installed += seen.installed;
    }
    (None, all)
}

pub(super) const ALL: &[usize] = &[0, 1, 2, 3, 4];

/// Three machines; the first leads in term 1, and all is quiet.
pub(super) fn quiet(core: Core) -> Core {
    let world = core.led(core.first(), 0, ALL);
    Core { begin: Some(world), ..core }
}

/// And it has committed a command that the third machine has not heard of.
pub(super) fn ahead(core: Core) -> Core {
    let core = quiet(core);
    let world = core.begin.clone().expect("begins");
    let world = core.settled(core.after(world, &[Action::Propose(0)]), &[0, 1], true);
    Core { begin: Some(world), ..core }
}

/// The third machine lacks a command that the first has cut behind a snapshot.
pub(super) fn cut(budget: Budget, core: Core) -> Core {
    let core = ahead(Core { budget, ..core });
    let world = core.begin.clone().expect("begins");
    let world = core.after(world, &[Action::Compact(0)]);
    let world = core.settled(world, &[0, 1], true);
    Core { begin: Some(world), ..core }
}

pub(super) fn timed(core: Core) -> Core {
    quiet(Core { slow: Some(0), eager: true, ..core })
}

pub(super) fn bound(name: &str, without: u64) -> u64 {
    std::env::var(name).ok().and_then(|s| s.parse().ok()).unwrap_or(without)
}

fn parts() -> Vec<(&'static str, Core, &'static [&'static str])> {
    let second: &[&str] = &["a second leader commits"];
    let installed: &[&str] = &["a snapshot is installed"];
    let member: &[&str] = &["a member is another"];
    let two = Core { candidates: &[0, 1], ..Core::default() };
    let one = Core { candidates: &[1], ..Core::default() };
    let (crashes, proposals, reads, transfers) = (1, 1, 1, 1);
    let leadership = Core { budget: Budget { crashes, ..NONE }, ..two.clone() };
    let commit = Core { terms: 3, candidates: &[1, 2], ..Core::default() };
    let commit = Core { budget: Budget { proposals, crashes, ..NONE }, ..commit };
    let swift = Core { eager: true, ..one.clone() };
    let budget = Budget { wipes: 1, joins: 2, changes: 3, beats: 1, ..NONE };
    let members = Core { machines: 4, budget, ..swift.clone() };
    let repair = Budget { wipes: 1, joins: 1, changes: 2, ..NONE };
    let repair = Core { candidates: &[], budget: repair, ..swift.clone() };
    let still = Core { candidates: &[], ..Core::default() };
    let lease = |budget| timed(Core { candidates: &[1, 2], budget, ..Core::default() });
    let budget = Budget { reads, crashes, proposals, ..NONE };
    // Narrower ones, so that crashes, lost disks and hand-overs are seen to the end somewhere.
    let crash = Budget { crashes, ..NONE };
    let commit_one =
        Core { candidates: &[2], budget: Budget { proposals, crashes, ..NONE }, ..Core::default() };
    let lost = Budget { wipes: 1, joins: 1, changes: 2, ..NONE };
    let lost = Core { machines: 4, budget: lost, ..swift.clone() };
    let cut_swift = Core { eager: true, ..one.clone() };
    let lease_one = |budget| timed(Core { candidates: &[1], budget, ..Core::default() });
    let read = Core { budget: Budget { reads, ..NONE }, ..swift.clone() };
    let pieces = Budget { beats: U, repeats: 1, ..NONE };
    vec![
        ("leadership, synced at once", Core { eager: true, ..two }, second),
        ("leadership", leadership, &[]),
        ("commit, one candidate", quiet(Core { budget: Budget { proposals, ..NONE }, ..swift }), second),
        ("commit", ahead(commit), &[]),
        ("commit, one candidate, 1 crash", ahead(commit_one), second),
        ("membership, one leader", quiet(repair), member),
        ("membership", quiet(members), member),
        ("membership, fewer changes", quiet(lost), member),
        ("snapshot, no election", cut(Budget { crashes, beats: U, ..NONE }, still), installed),
        ("snapshot", cut(Budget { crashes, ..pieces }, one.clone()), installed),
        ("snapshot, synced at once", cut(Budget { crashes, ..pieces }, cut_swift), installed),
        ("fencing, one candidate", timed(one.clone()), second),
        ("fencing, hand-over", lease(Budget { transfers, ..NONE }), second),
        ("fencing, crash", lease(Budget { crashes, beats: 1, ..NONE }), second),
        ("fencing, hand-over, one candidate", lease_one(Budget { transfers, ..NONE }), second),
        ("fencing, crash, one candidate", lease_one(crash), second),
        ("reads, one candidate", quiet(read), second),
        (
            "reads, one crash",
            quiet(Core { budget: Budget { reads, crashes, ..NONE }, ..one.clone() }),
            second,
        ),
        ("reads", quiet(Core { budget, ..one }), &[]),
    ]
}

fn search_all(cap: usize) {
    let only = std::env::var("MODEL_PART").unwrap_or_default();
    for (what, core, reached) in parts().into_iter().filter(|p| p.0.contains(&only)) {
        search(what, core, cap, reached);
    }
}

#[test]
fn what_may_be_is_well() {
    search_all(50_000);
}

/// `MODEL_STATES` for each part; `MODEL_PART`: only those whose names hold this; `MODEL_THREADS`.
#[test]
#[ignore = "long: cargo test -p whinstall-gateway consensus::model -- --ignored --nocapture"]
fn what_may_be_is_well_long() {
    search_all(bound("MODEL_STATES", 400_000) as usize);
}

/// Bounds wide, all kinds of trouble at once.
fn wide() -> Vec<(&'static str, Core)> {
    let budget = Budget {
        proposals: 6,
        crashes: 4,
        wipes: 1,
        beats: U,
        reads: 0,
        compactions: 3,
        transfers: 2,
        repeats: 4,
        joins: U,
        changes: 6,
    };
    let all = Core { terms: 6, last: 16, lane: 3, budget, ..Core::default() };
    let timed = Budget { wipes: 0, joins: 0, changes: 0, reads: 3, ..budget };
    vec![
        ("three machines", all.clone()),
        ("five machines, three seeds", Core { machines: 5, terms: 8, ..all.clone() }),
        (
            "five seeds",
            Core { machines: 5, seeds: 5, least: 5, budget: Budget { wipes: 2, ..budget }, ..all.clone() },
        ),
        ("four seeds, one spare", Core { machines: 5, seeds: 4, ..all.clone() }),
        ("reads", Core { budget: Budget { reads: 5, ..budget }, ..all.clone() }),
        ("clocks", Core { slow: Some(0), eager: false, budget: timed, ..all }),
    ]
}

fn walk_all(seeds: u64) {
    for (what, core) in wide() {
        let start = Instant::now();
        let (found, seen) = walks(&core, 0..seeds, 400);
        println!("walks, {what}: {seeds} of 400 steps, {:.1} s, {seen:?}", start.elapsed().as_secs_f64());
        assert!(found.is_none(), "{what}: {found:#?}");
        assert!(seen.committed > 0 && seen.terms > 0, "{what}: nothing happens");
    }
}

#[test]
fn walks_at_random_find_nothing() {
    walk_all(60);
}

/// `MODEL_WALKS` seeds for each of the wide bounds.
#[test]
#[ignore = "long: cargo test -p whinstall-gateway consensus::model -- --ignored --nocapture"]
fn walks_at_random_find_nothing_long() {
    walk_all(bound("MODEL_WALKS", 2_000));
}

/// Trouble is over: who runs can all talk. Does it come to rest with one leader, all machines voting and all caught up?
fn comes_to_rest(core: &Core, mut world: World) -> Result<(), String> {
    world.wire.clear();
    for _ in 0..20 {
        let lead = |w: &World| {
            (0..w.machines.len())
                .filter(|m| w.machines[*m].raft.leads())
                .max_by_key(|m| w.machines[*m].raft.term())
        };
        for m in 0..world.machines.len() {
            let raft = &world.machines[m].raft;
            if lead(&world).is_none() && raft.members().contains(&raft.me()) {
                world = core.led(world, m, ALL);
            }
        }
        let Some(leader) = lead(&world) else { continue };
        let there: Vec<NodeId> = world.machines.iter().map(|m| m.raft.me()).collect();
        let mut upkeep = vec![Action::Beat(leader)];
        for (m, id) in there.iter().enumerate().filter(|(m, _)| *m != leader) {
            if !world.machines[leader].raft.members().contains(id) {
                upkeep.push(Action::Join(leader, m, id.disk));
            }
        }
        world = core.settled(core.after(world, &upkeep), ALL, true);
        if world.machines[leader].raft.leads() {
            world = core.settled(core.after(world, &[Action::Change(leader, None)]), ALL, true);
        }
        let raft = &world.machines[leader].raft;
        let all = raft.members().into_iter().eq(there.iter().copied());
        let same =
            world.machines.iter().all(|m| m.applied == raft.commit() && raft.commit() == raft.log.last());
        if raft.leads() && all && same && world.fault.is_none() {
            return Ok(());
        }
    }
    let tell = |m: &std::sync::Arc<Machine>| {
        let raft = &m.raft;
        (raft.me(), raft.term(), raft.leads(), raft.commit(), raft.log.last(), raft.members())
    };
    Err(format!("{:?}: {:#?}", world.fault, world.machines.iter().map(tell).collect::<Vec<_>>()))
}

#[test]
fn after_any_walk_all_machines_vote_and_catch_up() {
    // A hand-over that came to nothing ends by time, which these machines don't have.
    let untimed = wide().into_iter().filter(|(_, core)| core.slow.is_none());
    for (what, core) in untimed {
        let core = Core { budget: Budget { transfers: 0, ..core.budget }, ..core };
        for seed in 0..bound("MODEL_RESTS", 30) {
            let ((found, _), world) = walk_from(&core, seed, 300);
            assert!(found.is_none(), "{what}: {found:#?}");
            if let Err(told) = comes_to_rest(&core, world) {
                panic!("{what}, seed {seed}: {told}");
            }
        }
    }
}

/// A machine that loses its disk again in the midst of its repair: the other two, whole all the while, go on.
#[test]
fn a_disk_lost_twice_in_its_repair_stops_nobody() {
    let core = quiet(Core::default());
    let world = core.begin.clone().expect("begins");
    let repair = |world: World, disk: u64| {
        let world = core.after(world, &[Action::Wipe(1), Action::Join(0, 1, disk)]);
        let mut world = core.settled(world, ALL, true);
        // As far as it may come with the new disk: what the leader adds next is not heard by it any more.
        for _ in 0..3 {
            world = core.settled(core.after(world, &[Action::Change(0, None)]), &[0, 2], true);
        }
        world
    };
    let world = repair(repair(world, 1), 2);
    let mut world = core.settled(core.after(world, &[Action::Join(0, 1, 2)]), ALL, true);
    for _ in 0..4 {
        world = core.settled(core.after(world, &[Action::Change(0, None), Action::Beat(0)]), ALL, true);
    }
    let leader = &world.machines[0].raft;
    let names: Vec<u64> = leader.members().iter().map(|id| id.disk).collect();
    assert_eq!(names, [0, 2, 0], "commit {} of {}", leader.commit(), leader.log.last());
    assert_eq!(leader.commit(), leader.log.last());
}

/// A leader that has not seen the repair begin ends it none the less: who has another disk now does not vote under the
/// old one, also where no machine may be missed.
#[test]
fn a_repair_is_ended_by_the_next_leader() {
    let core = quiet(Core { least: 5, ..Core::default() });
    let world = core.begin.clone().expect("begins");
    let mut world = core.settled(core.after(world, &[Action::Wipe(1), Action::Join(0, 1, 1)]), ALL, true);
    // The repair is half done; then another machine leads.
    world = core.settled(core.after(world, &[Action::Change(0, None)]), ALL, true);
    world = core.led(world, 2, ALL);
    for _ in 0..4 {
        let leader = &world.machines[2].raft;
        if !leader.members().contains(&world.machines[1].raft.me()) {
            // It hears no leader, and says that it is there.
            world = core.settled(core.after(world, &[Action::Join(2, 1, 1)]), ALL, true);
        }
        world = core.settled(core.after(world, &[Action::Beat(2), Action::Change(2, None)]), ALL, true);
    }
    let names: Vec<u64> = world.machines[2].raft.members().iter().map(|id| id.disk).collect();
    assert_eq!(names, [0, 1, 0]);
}
