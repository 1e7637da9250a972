//! The faults that are put in and must be found by the model, each from where it needs few steps; and that the code as it
//! is has none of them from there. Faults that no search sees are in `mutant_tests`.

use super::checks::{ahead, bound, cut, quiet, search, timed, ALL, NONE, U};
use super::invariants::Fault;
use super::*;
use crate::consensus::*;
use stateright::{Checker, Model};
use std::time::Instant;

/// The fault that was put in is found, within so many states; `shortest`: by the shortest trace that there is.
fn found(what: &str, core: &Core, cap: usize, shortest: bool) -> Option<Fault> {
    let start = Instant::now();
    let (mut least, mut states) = (None, 0);
    loop {
        let any = stateright::HasDiscoveries::AnyFailures;
        let mut checker = core.clone().checker().target_state_count(cap).finish_when(any);
        if let Some((_, actions)) = &least {
            // A depth counts states: one less than this trace has.
            checker = checker.target_max_depth(Vec::len(actions));
        }
        let checker = checker.spawn_bfs().join();
        states += checker.state_count();
        let Some(path) = checker.discovery(FAULTLESS) else { break };
        least = Some((path.last_state().fault?, path.into_actions()));
        if !shortest {
            break;
        }
    }
    let steps = least.as_ref().map(|l| l.1.len());
    println!("{what}: {states} states, {:.1} s, {steps:?}: {least:?}", start.elapsed().as_secs_f64());
    least.map(|l| l.0)
}

fn with(mutant: InjectedFault, core: Core) -> Core {
    broken_by(Some(mutant), core)
}

fn without(core: Core) -> Core {
    let budget = Budget { beats: U, ..core.budget };
    broken_by(None, Core { spoken: true, budget, ..core })
}

fn broken_by(mutant: Option<InjectedFault>, core: Core) -> Core {
    let mut core = Core { mutant, ..core };
    for machine in core.begin.iter_mut().flat_map(|world| &mut world.machines) {
        std::sync::Arc::make_mut(machine).raft.break_by(core.mutant);
    }
    core
}

fn unsynced_vote() -> Core {
    Core { terms: 1, spoken: false, budget: Budget { crashes: 1, ..NONE }, ..Core::default() }
}

fn unsynced_copy() -> Core {
    let budget = Budget { proposals: 1, crashes: 1, ..NONE };
    let core = Core { candidates: &[2], spoken: false, budget, ..Core::default() };
    quiet(core)
}

/// The eighth figure of the published work: a copy of an old term on most of the disks, another one that may yet win.
fn old_term() -> Core {
    let core = Core {
        terms: 4,
        eager: true,
        candidates: &[0, 2],
        budget: Budget { beats: U, ..NONE },
        ..Core::default()
    };
    let world = core.led(core.first(), 0, ALL);
    // An entry of term 1 on the first machine only; one of term 2 on the third only.
    let world = World { wire: Vec::new(), ..core.after(world, &[Action::Propose(0)]) };
    let votes = |m: &Message<u8>| matches!(m, Message::Vote { .. } | Message::VoteReply { .. });
    let world = core.settled_where(core.after(world, &[Action::Elect(2)]), &[1, 2], true, votes);
    Core { begin: Some(world), ..core }
}

fn stale_read() -> Core {
    quiet(Core { eager: true, candidates: &[1], budget: Budget { reads: 1, ..NONE }, ..Core::default() })
}

/// Two machines have caught up and don't vote yet.
fn learners(budget: Budget) -> Core {
    let core = Core { machines: 5, eager: true, candidates: &[1], budget, ..Core::default() };
    let world = core.led(core.first(), 0, ALL);
    let world = core.settled(core.after(world, &[Action::Join(0, 3, 1), Action::Join(0, 4, 1)]), ALL, true);
    Core { begin: Some(world), ..core }
}

/// The fault of the single-server changes that was found in 2015: two leaders, each with a change of its own.
fn early_change() -> Core {
    let budget = Budget { changes: 1, ..NONE };
    let core =
        Core { machines: 5, seeds: 4, terms: 3, eager: true, candidates: &[0], budget, ..Core::default() };
    let world = core.led(core.first(), 0, ALL);
    let world = core.settled(core.after(world, &[Action::Join(0, 4, 1)]), ALL, true);
    let world = core.settled(core.after(world, &[Action::Change(0, None)]), &[0, 4], true);
    let votes = |m: &Message<u8>| matches!(m, Message::Vote { .. } | Message::VoteReply { .. });
    let world = core.settled_where(core.after(world, &[Action::Elect(1)]), &[1, 2, 3], true, votes);
    Core { begin: Some(world), ..core }
}

/// The third machine has just heard of the leader, the second one not for as long as it waits.
fn half_heard(budget: Budget) -> Core {
    let core = timed(Core { candidates: &[1], budget, ..Core::default() });
    let world = core.begin.clone().expect("begins");
    let world =
        core.settled(core.after(world, &[Action::Tick, Action::Tick, Action::Beat(0)]), &[0, 2], true);
    let world = core.after(world, &[Action::Tick, Action::Tick]);
    Core { begin: Some(world), ..core }
}

/// The third machine stood in the first term, too; nobody heard of the leader for as long as they wait.
fn outvoted(budget: Budget) -> Core {
    let core = Core { slow: Some(0), eager: true, candidates: &[2], budget, ..Core::default() };
    let world = core.after(core.first(), &[Action::Elect(0), Action::Elect(2)]);
    let world = core.settled(world, &[0, 1], true);
    let world = core.after(world, &[Action::Tick, Action::Tick, Action::Tick, Action::Tick]);
    Core { begin: Some(world), ..core }
}

/// The fourth machine has heard that it votes no more.
fn removed() -> Core {
    let budget = Budget { proposals: 1, ..NONE };
    let core = Core { machines: 4, seeds: 4, eager: true, candidates: &[1], budget, ..Core::default() };
    let world = core.led(core.first(), 0, ALL);
    let world = core.settled(core.after(world, &[Action::Change(0, Some(3))]), ALL, true);
    Core { begin: Some(world), ..core }
}

/// The first machine holds an entry of a term that came to nothing, behind one that is not known to be committed to it.
fn stale_tail() -> Core {
    let budget = Budget { beats: U, ..NONE };
    let core = Core { terms: 4, eager: true, candidates: &[], budget, ..Core::default() };
    let world = core.led(core.first(), 0, ALL);
    let untold = |m: &Message<u8>| !matches!(m, Message::Append { commit: 3.., .. });
    let world = core.settled_where(core.after(world, &[Action::Elect(1)]), ALL, true, untold);
    let votes = |m: &Message<u8>| matches!(m, Message::Vote { .. } | Message::VoteReply { .. });
    let world = core.settled_where(core.after(world, &[Action::Elect(0)]), &[0, 2], true, votes);
    // Its first try comes to nothing: that term is over.
    let world = core.settled(core.after(world, &[Action::Elect(1), Action::Elect(1)]), &[1, 2], true);
    Core { begin: Some(world), ..core }
}

/// The first machine leads again, two terms later; an answer of the second one to its first lead is on its way yet.
fn late_answer() -> Core {
    let budget = Budget { reads: 1, ..NONE };
    let mutant = Some(InjectedFault::OldAck);
    let core = Core { terms: 4, eager: true, candidates: &[2], budget, mutant, ..Core::default() };
    let mut world = core.led(core.first(), 0, ALL);
    for _ in 0..8 {
        world = core.settled(core.after(world, &[Action::Beat(0)]), ALL, true);
    }
    let words = |m: &Message<u8>| matches!(m, Message::Append { .. });
    let mut world = core.settled_where(core.after(world, &[Action::Beat(0)]), &[0, 1], false, words);
    world.wire.retain(|l| place(l.to) == 0);
    world = core.settled(core.after(world, &[Action::Elect(2)]), &[0, 2], false);
    world = core.settled(core.after(world, &[Action::Elect(0)]), &[0, 2], false);
    world.wire.retain(|l| place(l.to) == 0);
    Core { begin: Some(world), ..core }
}

/// Each fault, and what it needs.
fn faulty() -> Vec<(&'static str, Fault, Core)> {
    let lost = || {
        ahead(Core { candidates: &[2], eager: true, budget: Budget { wipes: 1, ..NONE }, ..Core::default() })
    };
    let lease = |budget| timed(Core { candidates: &[1], budget, ..Core::default() });
    let late = cut(
        Budget { beats: U, repeats: 1, ..NONE },
        Core { eager: true, candidates: &[], ..Core::default() },
    );
    let install = cut(Budget { beats: U, ..NONE }, Core { candidates: &[], ..Core::default() });
    let (crashes, transfers, beats) = (1, 1, 1);
    let margin = timed(Core { lease: 3, candidates: &[1], ..Core::default() });
    let spoken = |core| Core { spoken: true, ..core };
    let changes = Budget { changes: 2, ..NONE };
    let proposals = Budget { proposals: 1, ..NONE };
    let eager = |core| Core { eager: true, ..core };
    let bare = ahead(Core {
        candidates: &[],
        budget: Budget { compactions: 1, beats: U, ..NONE },
        ..eager(Core::default())
    });
    let lacking = ahead(Core { candidates: &[], budget: proposals, ..eager(Core::default()) });
    use Fault::*;
    use InjectedFault::*;
    vec![
        ("a vote before the sync, spoken", SpokenUnsynced, with(VoteUnsynced, spoken(unsynced_vote()))),
        ("a vote before the sync, two leaders", TwoLeaders, with(VoteUnsynced, unsynced_vote())),
        ("a copy before the sync, spoken", SpokenUnsynced, with(AppendUnsynced, spoken(unsynced_copy()))),
        ("a copy before the sync, lost", LeaderLacks, with(AppendUnsynced, unsynced_copy())),
        ("a snapshot before the sync", SpokenUnsynced, with(SnapshotUnsynced, install)),
        ("commit of an old term", LeaderLacks, with(CommitOldTerm, old_term())),
        ("a read without contact", StaleRead, with(ReadWithoutContact, stale_read())),
        ("two changes at once", Fault::TwoChanges, with(InjectedFault::TwoChanges, learners(changes))),
        ("a change before the term's commit", LeaderLacks, with(EarlyChange, early_change())),
        ("a snapshot that goes back", SnapshotWrong, with(SnapshotBack, late)),
        ("a wiped machine votes", LeaderLacks, with(WipedVotes, lost())),
        ("a short log wins", LeaderLacks, with(ShortLogWins, lost())),
        ("a young process votes", TwoLeases, with(YoungVotes, half_heard(Budget { crashes, ..NONE }))),
        ("a vote beside a leader", TwoLeases, with(HeardVotes, lease(Budget { beats, ..NONE }))),
        ("a lease beside a hand-over", TwoLeases, with(LeaseKept, lease(Budget { transfers, ..NONE }))),
        (
            "a lease from an answer's arrival",
            TwoLeases,
            with(LeaseByArrival, lease(Budget { beats, ..NONE })),
        ),
        (
            "a vote that names no leader",
            TwoLeases,
            with(VoteUnnamed, outvoted(Budget { beats, crashes, ..NONE })),
        ),
        ("a learner counts", LeaderLacks, with(LearnerCounts, learners(proposals))),
        ("a removed member counts", LeaderLacks, with(RemovedCounts, removed())),
        ("a snapshot without its members", SnapshotWrong, with(SnapshotBare, bare)),
        ("an entry that is cut off is judged", Differs, with(UnverifiedCommit, stale_tail())),
        ("a term in memory only", TwoLeaders, with(TermUnwritten, unsynced_vote())),
        ("an answer to an earlier term", StaleRead, with(OldAck, late_answer())),
        ("two votes in a term", TwoLeaders, with(VotesTwice, eager(unsynced_vote()))),
        ("entries behind a gap", Gap, with(PrevUnchecked, lacking)),
        ("a lease without a margin", TwoLeases, margin),
    ]
}

fn find_all(shortest: bool) {
    for (what, fault, core) in faulty() {
        assert_eq!(found(what, &core, 300_000, shortest), Some(fault), "{what}");
    }
}

#[test]
fn each_fault_that_is_put_in_is_found() {
    find_all(false);
}

#[test]
#[ignore = "long: cargo test -p whinstall-gateway consensus::model -- --ignored --nocapture"]
fn each_fault_that_is_put_in_is_found_by_the_shortest_trace() {
    find_all(true);
}

/// From the same starts, with the same bounds, the code as it is has no fault (but for the lease, whose fault is its length).
fn look_without_faults(cap: usize) {
    for (what, _, core) in faulty().into_iter().filter(|(_, _, core)| core.mutant.is_some()) {
        search(&format!("none of: {what}"), without(core), cap, &[]);
    }
}

#[test]
fn the_same_starts_without_faults_are_well() {
    look_without_faults(10_000);
}

#[test]
#[ignore = "long: cargo test -p whinstall-gateway consensus::model -- --ignored --nocapture"]
fn the_same_starts_without_faults_are_well_long() {
    look_without_faults(bound("MODEL_STATES", 400_000) as usize);
}
