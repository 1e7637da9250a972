//! The follower: appending the leader's entries and installing its snapshots.

use super::raft::Role;
use super::{
    Entry, Index, InjectedFault, LogPosition, LogWrite, Message, Millis, NodeId, Output, Raft, Snapshot,
    Term, VoterSet,
};
use bytes::Bytes;

/// Upper bound for the memory that is reserved at once for an incoming snapshot, in bytes. A larger one grows
/// as it comes.
const MAX_SNAPSHOT_RESERVATION: u64 = 64 * 1024 * 1024;

/// A snapshot that is being received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IncomingSnapshot {
    /// Position of the last entry that it covers.
    pub last_included: LogPosition,
    /// The bytes that have come so far, from the first one on.
    pub data: Vec<u8>,
}

/// Content of a [`Message::InstallSnapshot`].
pub(super) struct SnapshotChunk {
    pub last_included: LogPosition,
    pub voters: VoterSet,
    pub offset: u64,
    pub total_bytes: u64,
    pub data: Bytes,
}

impl<C: Clone> Raft<C> {
    /// Follows the sender of a leader's message. A sender of an earlier term is informed of the newer term
    /// instead. Returns whether the message is to be handled.
    pub(super) fn accept_leader(
        &mut self,
        now: Millis,
        from: NodeId,
        term: Term,
        heartbeat_seq: u64,
    ) -> bool {
        if term < self.term {
            // The old leader learns the newer term from this, once that is durable here.
            let message = Message::AppendEntriesResponse {
                term: self.term,
                heartbeat_seq: 0,
                index: 0,
                success: false,
                follower_clock: now,
            };
            self.send(from, message);
            return false;
        }
        if term > self.term || self.role != Role::Follower {
            self.step_down(now, term);
        }
        if self.vote != Some(from) && !self.has_fault(InjectedFault::FollowWithoutVote) {
            // After a restart the vote shows which leader may rely on this member (`is_bound_by_restart`).
            // Changing it within the term is safe: a majority has voted for this leader, so no other
            // candidate can win the term.
            self.set_hard_state(term, Some(from));
        }
        self.leader_id = Some(from);
        self.leader_heard_at = Some(now);
        self.seen_heartbeat_seq = self.seen_heartbeat_seq.max(heartbeat_seq);
        self.reset_election_deadline(now);
        true
    }

    /// Appends entries after the consistency check (Raft paper, 5.3).
    pub(super) fn handle_append_entries(
        &mut self,
        now: Millis,
        from: NodeId,
        prev_log: LogPosition,
        mut entries: Vec<Entry<C>>,
        leader_commit: Index,
        echoed_clock: Option<Millis>,
    ) {
        let snapshot_index = self.log.snapshot_position().index;
        let last_new_index = prev_log.index + entries.len() as Index;
        if prev_log.index < snapshot_index {
            // The snapshot covers committed entries only: there both logs are equal.
            entries.retain(|entry| entry.index > snapshot_index);
        } else if self.log.term(prev_log.index) != Some(prev_log.term)
            && !self.has_fault(InjectedFault::SkipPrevLogCheck)
        {
            return self.reject_entries(now, from, prev_log);
        }
        // Only from the first conflict on: a late message must not truncate what a newer one has appended.
        let conflict = entries.iter().position(|entry| self.log.term(entry.index) != Some(entry.term));
        if let Some(position) = conflict {
            self.append_to_log(entries.split_off(position));
        }
        self.verified_index = self.verified_index.max(last_new_index);
        self.leader_commit = self.leader_commit.max(leader_commit);
        // An echo from before the start of this process is by another clock.
        let echoed_clock = echoed_clock.filter(|at| (self.started_at..=now).contains(at));
        self.quorum_confirmed_at = self.quorum_confirmed_at.max(echoed_clock);
        self.follow_commit_index(leader_commit);
        self.acknowledge_log(now, from);
    }

    /// Commits up to the leader's commit index, but not beyond what is known to be equal to the leader's log.
    fn follow_commit_index(&mut self, leader_commit: Index) {
        let commits_unverified = self.has_fault(InjectedFault::CommitUnverifiedEntries);
        let verified = if commits_unverified { self.log.last_index() } else { self.verified_index };
        let commit_index = leader_commit.min(verified);
        if commit_index > self.commit_index {
            self.commit_index = commit_index;
            self.apply_committed();
        }
    }

    /// Rejects entries because the one before them is not in this log, with a hint where the leader should
    /// resume: the end of this log if that is before it, else the commit index, up to which both logs surely
    /// are equal.
    fn reject_entries(&mut self, now: Millis, to: NodeId, prev_log: LogPosition) {
        let before_prev = prev_log.index.saturating_sub(1);
        let last_index = self.log.last_index();
        let index = if last_index < before_prev { last_index } else { self.commit_index.min(before_prev) };
        let message = Message::AppendEntriesResponse {
            term: self.term,
            heartbeat_seq: self.seen_heartbeat_seq,
            index,
            success: false,
            follower_clock: now,
        };
        self.send(to, message);
    }

    /// Reports to the leader up to which index its log is on this disk.
    pub(super) fn acknowledge_log(&mut self, now: Millis, to: NodeId) {
        let message = Message::AppendEntriesResponse {
            term: self.term,
            heartbeat_seq: self.seen_heartbeat_seq,
            index: self.verified_index.min(self.durable_index()),
            success: true,
            follower_clock: now,
        };
        self.send(to, message);
    }

    pub(super) fn handle_install_snapshot(&mut self, now: Millis, from: NodeId, chunk: SnapshotChunk) {
        let SnapshotChunk { last_included, voters, offset, total_bytes, data } = chunk;
        let LogPosition { index, term } = last_included;
        if index <= self.commit_index && !self.has_fault(InjectedFault::InstallOlderSnapshot) {
            // The snapshot is not newer than the commit index, up to which this log is equal to the leader's.
            self.verified_index = self.verified_index.max(self.commit_index);
            return self.acknowledge_log(now, from);
        }
        let fresh = || IncomingSnapshot { last_included, data: Vec::new() };
        let incoming = self.incoming_snapshot.get_or_insert_with(fresh);
        if incoming.last_included != last_included {
            *incoming = fresh();
        }
        if incoming.data.len() as u64 == offset {
            // The memory is reserved in one step: growing it with each chunk would copy the data repeatedly.
            let missing = total_bytes.saturating_sub(offset);
            incoming.data.reserve_exact(missing.min(MAX_SNAPSHOT_RESERVATION) as usize);
            incoming.data.extend_from_slice(&data);
        }
        let next_offset = incoming.data.len() as u64;
        if next_offset < total_bytes {
            let message = Message::InstallSnapshotResponse {
                term: self.term,
                heartbeat_seq: self.seen_heartbeat_seq,
                last_included_index: index,
                next_offset,
            };
            return self.send(from, message);
        }
        let data = Bytes::from(std::mem::take(&mut incoming.data));
        self.incoming_snapshot = None;
        self.install_snapshot(Snapshot { index, term, voters, data });
        self.acknowledge_log(now, from);
    }

    /// Replaces the log up to the snapshot's index. If the log contains the snapshot's last entry, the
    /// entries after it are kept, else all are dropped (Raft paper, 7).
    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let index = snapshot.index;
        let replaces_log = self.log.term(index) != Some(snapshot.term);
        self.write_queue.add(LogWrite::Snapshot { snapshot: snapshot.clone(), replaces_log });
        self.log.compact(snapshot.clone(), replaces_log);
        self.commit_index = index;
        self.applied_index = index;
        self.verified_index = self.verified_index.max(index);
        self.leader_commit = self.leader_commit.max(index);
        self.outputs.push(Output::InstallSnapshot(snapshot));
    }
}
