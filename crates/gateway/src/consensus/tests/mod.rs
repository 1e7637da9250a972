//! Randomised runs of a small cluster, by seed: messages that are delayed, lost and reordered, disks that
//! stall, processes that are killed, disks that are lost, machines that are cut off. Checked throughout: what
//! is committed is the same on all machines permanently, reads are linearizable, and no member holds a lease
//! beside another.

mod cluster;

use self::cluster::{ip, Cluster, CONFIG};
use super::*;

/// Performs writes as a disk does.
pub(super) fn apply_writes<C: Clone>(persisted: &mut PersistedState<C>, writes: Vec<LogWrite<C>>) {
    for write in writes {
        match write {
            LogWrite::HardState { term, vote } => (persisted.term, persisted.vote) = (term, vote),
            LogWrite::Append(entries) => {
                persisted.entries.retain(|e| e.index < entries[0].index);
                persisted.entries.extend(entries);
            }
            LogWrite::Snapshot { snapshot, replaces_log } => {
                persisted.entries.retain(|e| !replaces_log && e.index > snapshot.index);
                persisted.snapshot = Some(snapshot);
            }
        }
    }
}

/// Eight faults in a row, with time to recover after each.
fn run_with_faults(seed: u64, machine_count: usize) {
    let mut cluster = Cluster::new(seed, machine_count);
    cluster.assert_recovers("at first");
    for round in 0..8 {
        let m = cluster.rng.usize(0..machine_count);
        let fault = cluster.rng.usize(0..7);
        let span = cluster.rng.u64(100..4000);
        match fault {
            0 => cluster.lose_power(m, span),
            1 => cluster.cut_off(m, 2 * span),
            2 => cluster.stall_disk(m, span),
            3 => cluster.lose_power_everywhere(None, span / 4),
            4 => cluster.transfer_leadership(span / 4),
            5 => cluster.lose_power_everywhere(Some(m).filter(|_| machine_count > 1), span / 4),
            _ => cluster.cut_off_and_kill(m, span),
        }
        cluster.assert_recovers(&format!("after round {round} of seed {seed}, fault {fault} of {m}"));
    }
}

#[test]
fn committed_entries_survive_random_faults_and_are_the_same_everywhere() {
    for seed in 0..16 {
        run_with_faults(seed, 3);
    }
    for seed in 100..108 {
        run_with_faults(seed, 4);
    }
    for seed in 200..208 {
        run_with_faults(seed, 5);
    }
    for seed in 300..306 {
        run_with_faults(seed, 1 + (seed % 2) as usize * 2);
    }
}

/// Guards leases across restarts: the leader that may rely on a member is on that member's disk before the
/// leader hears that it is followed. So after a restart the member is bound to that leader only, and not for
/// longer than the leader may rely on it.
#[test]
fn after_a_restart_a_follower_votes_for_nobody_but_its_last_leader_within_the_election_timeout() {
    let id = |n| NodeId { ip: ip(n), disk: 0 };
    let voters: VoterSet = (0..3).map(id).collect();
    let first = Entry { term: 0, index: 1, payload: EntryPayload::ConfChange(voters) };
    // Member 1 was a candidate in term 5, and lost to member 0.
    let mut persisted = PersistedState { term: 5, vote: Some(id(1)), snapshot: None, entries: vec![first] };
    let mut follower = Raft::<u64>::new(10_000, id(1), persisted.clone(), CONFIG);
    let heartbeat = Message::AppendEntries {
        term: 5,
        prev_log: LogPosition { index: 1, term: 0 },
        entries: vec![],
        leader_commit: 1,
        echoed_clock: None,
        heartbeat_seq: 1,
    };
    follower.receive(10_100, id(0), heartbeat);
    for output in follower.take_outputs() {
        match output {
            Output::Persist { writes, .. } => apply_writes(&mut persisted, writes),
            Output::Send { .. } => panic!("the member responds before its vote is on disk"),
            _ => {}
        }
    }
    assert_eq!(persisted.vote, Some(id(0)));
    let accepts_candidate = |now: Millis, candidate: NodeId| {
        let mut raft = Raft::<u64>::new(20_000, id(1), persisted.clone(), CONFIG);
        let last_log = LastLogPosition { term: 5, index: 9 };
        let request = Message::RequestVote { term: 6, last_log, pre_vote: false, leader_transfer: false };
        raft.receive(now, candidate, request);
        raft.term() == 6
    };
    assert!(!accepts_candidate(20_100, id(2)), "the leader may still rely on this member");
    assert!(accepts_candidate(20_100, id(0)), "a leader that campaigns again no longer relies on its lease");
    assert!(
        accepts_candidate(20_000 + CONFIG.election_timeout, id(2)),
        "no leader relies on this member after an election timeout"
    );
    // The member itself does not campaign before that, unless it voted for itself.
    let mut bound = Raft::<u64>::new(20_000, id(1), persisted.clone(), CONFIG);
    bound.tick(20_100);
    assert!(bound.take_outputs().is_empty());
    persisted.vote = Some(id(1));
    let mut unbound = Raft::<u64>::new(20_000, id(1), persisted, CONFIG);
    unbound.tick(20_100);
    assert_eq!(unbound.take_outputs().len(), 2, "the member asks both others for their votes at once");
}
