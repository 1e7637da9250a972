//! The leader: replication of entries and snapshots, and commitment.
//!
//! Commitment (Raft paper, 5.3 and 5.4.2): an entry of the leader's own term is committed once it is durable
//! on a majority; entries of earlier terms are committed only together with one of these, since a majority of
//! copies alone does not keep a later leader from overwriting them (figure 8).

use super::leader_transfer::LeaderTransfer;
use super::progress::{Progress, SnapshotTransfer};
use super::raft::Role;
use super::read_index::PendingRead;
use super::{
    Entry, EntryPayload, Index, InjectedFault, LogPosition, Message, Millis, NodeId, Raft, Snapshot, Term,
};
use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;

/// Broadcasts whose sending times are kept. A response to an older one counts as no contact.
const MAX_TRACKED_HEARTBEATS: usize = 256;
/// Chunks of a snapshot count as lost if none is acknowledged for this many heartbeat intervals.
const CHUNK_RETRY_HEARTBEATS: Millis = 4;

/// A broadcast, and when it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct SentHeartbeat {
    pub seq: u64,
    pub sent_at: Millis,
}

/// State of a leader, from its election to the end of its leadership.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct LeaderState {
    /// All voters and learners but this member.
    pub peers: BTreeMap<NodeId, Progress>,
    /// The latest broadcasts, oldest first.
    pub sent_heartbeats: VecDeque<SentHeartbeat>,
    /// Number of the latest broadcast.
    pub heartbeat_seq: u64,
    /// Index of the no-op that this leader appended first.
    pub term_start_index: Index,
    /// Reads that wait for their confirmation, oldest first.
    pub pending_reads: Vec<PendingRead>,
    /// Once a transfer has begun, this leadership takes no proposals and holds no lease until it ends.
    pub transfer: Option<LeaderTransfer>,
    /// When the latest broadcast was sent.
    pub broadcast_at: Millis,
    pub elected_at: Millis,
    /// The current disk of each machine that announced itself: other members at its address are lost disks.
    pub current_disks: BTreeMap<IpAddr, u64>,
}

impl<C: Clone> Raft<C> {
    /// A majority has voted for this candidate.
    pub(super) fn become_leader(&mut self, now: Millis) {
        let last_index = self.log.last_index();
        let others = self.voters().into_iter().filter(|id| *id != self.id);
        let peers = others.map(|id| (id, Progress::new(now, last_index))).collect();
        self.role = Role::Leader(LeaderState {
            peers,
            term_start_index: last_index + 1,
            elected_at: now,
            ..LeaderState::default()
        });
        self.leader_id = Some(self.id);
        self.append_and_broadcast(now, EntryPayload::TermStart);
    }

    /// Appends an entry to the leader's log and replicates it.
    pub(super) fn append_and_broadcast(&mut self, now: Millis, payload: EntryPayload<C>) -> LogPosition {
        let position = LogPosition { index: self.log.last_index() + 1, term: self.term };
        self.append_to_log(vec![Entry { term: position.term, index: position.index, payload }]);
        self.broadcast(now);
        self.advance(now);
        position
    }

    /// Sends each peer the entries that it lacks, or a heartbeat.
    pub(super) fn broadcast(&mut self, now: Millis) {
        let Role::Leader(leader) = &mut self.role else { return };
        leader.heartbeat_seq += 1;
        leader.broadcast_at = now;
        leader.sent_heartbeats.push_back(SentHeartbeat { seq: leader.heartbeat_seq, sent_at: now });
        while leader.sent_heartbeats.len() > MAX_TRACKED_HEARTBEATS {
            leader.sent_heartbeats.pop_front();
        }
        for to in leader.peers.keys().copied().collect::<Vec<_>>() {
            self.replicate_to(now, to, true);
        }
    }

    /// Sends a peer the entries that it lacks, or, if they are compacted, chunks of a snapshot.
    /// `is_heartbeat`: sends something in any case.
    pub(super) fn replicate_to(&mut self, now: Millis, to: NodeId, is_heartbeat: bool) {
        let snapshot_index = self.log.snapshot_position().index;
        let (last_index, term, leader_commit) = (self.log.last_index(), self.term, self.commit_index);
        let has_current_state = self.has_current_state(now);
        let Role::Leader(leader) = &mut self.role else { return };
        let heartbeat_seq = leader.heartbeat_seq;
        let Some(progress) = leader.peers.get_mut(&to) else { return };
        if progress.next_index <= snapshot_index || progress.transfer.is_some() {
            return self.send_snapshot_chunks(now, to, is_heartbeat);
        }
        if !is_heartbeat && progress.next_index > last_index {
            return;
        }
        let prev_index = progress.next_index - 1;
        let Some(prev_term) = self.log.term(prev_index) else { return };
        let entries = self.log.entries_from(prev_index + 1, self.config.max_entries_per_append);
        progress.next_index += entries.len() as Index;
        let prev_log = LogPosition { index: prev_index, term: prev_term };
        let echoed_clock = progress.follower_clock.filter(|_| has_current_state);
        let message =
            Message::AppendEntries { term, prev_log, entries, leader_commit, echoed_clock, heartbeat_seq };
        self.send(to, message);
    }

    /// Sends the next chunks of a snapshot, as many as may be in flight.
    fn send_snapshot_chunks(&mut self, now: Millis, to: NodeId, is_heartbeat: bool) {
        let Some(latest) = self.log.snapshot.clone() else { return };
        let (term, chunk_bytes) = (self.term, self.config.snapshot_chunk_bytes as u64);
        let window_bytes = self.config.max_chunks_in_flight as u64 * chunk_bytes;
        let chunk_retry_timeout = CHUNK_RETRY_HEARTBEATS * self.config.heartbeat_interval;
        let Role::Leader(leader) = &mut self.role else { return };
        let heartbeat_seq = leader.heartbeat_seq;
        let Some(progress) = leader.peers.get_mut(&to) else { return };
        let transfer = progress.transfer.get_or_insert_with(|| SnapshotTransfer::new(now, latest));
        transfer.rewind_if_stuck(now, chunk_retry_timeout);
        let total_bytes = transfer.total_bytes();
        let window_end = transfer.acked_bytes + window_bytes;
        let mut messages = Vec::new();
        // If the window is full, a heartbeat is a chunk without bytes at the next chunk's offset.
        while (transfer.sent_bytes < total_bytes && transfer.sent_bytes < window_end)
            || (is_heartbeat && messages.is_empty())
        {
            let offset = transfer.sent_bytes;
            let is_window_open = offset < window_end;
            let end = if is_window_open { (offset + chunk_bytes).min(total_bytes) } else { offset };
            let Snapshot { index, term: last_included_term, voters, data } = &transfer.snapshot;
            messages.push(Message::InstallSnapshot {
                term,
                heartbeat_seq,
                last_included_index: *index,
                last_included_term: *last_included_term,
                voters: voters.clone(),
                offset,
                total_bytes,
                data: data.slice(offset as usize..end as usize),
            });
            transfer.sent_bytes = end;
        }
        for message in messages {
            self.send(to, message);
        }
    }

    /// Records the contact that a response proves: it confirms the leadership as of the sending of the
    /// broadcast that it names. Returns whether the response is for this leader in this
    /// term, and so is to be handled.
    pub(super) fn accept_response(
        &mut self,
        now: Millis,
        from: NodeId,
        term: Term,
        heartbeat_seq: u64,
    ) -> bool {
        if term > self.term {
            self.step_down(now, term);
            return false;
        }
        if term < self.term && !self.has_fault(InjectedFault::AcceptStaleResponse) {
            return false;
        }
        let by_arrival = self.has_fault(InjectedFault::LeaseFromResponseArrival);
        let Role::Leader(leader) = &mut self.role else { return false };
        let Some(progress) = leader.peers.get_mut(&from) else { return false };
        progress.heard_at = now;
        if heartbeat_seq > progress.acked_heartbeat_seq {
            progress.acked_heartbeat_seq = heartbeat_seq;
            // A broadcast that is not tracked any more is older than any that counts for a lease.
            if let Some(sent) = leader.sent_heartbeats.iter().find(|sent| sent.seq == heartbeat_seq) {
                progress.contact_at = progress.contact_at.max(if by_arrival { now } else { sent.sent_at });
            }
        }
        true
    }

    /// Keeps a follower's clock, to echo it in the next message.
    pub(super) fn record_follower_clock(&mut self, from: NodeId, follower_clock: Millis) {
        if let Role::Leader(leader) = &mut self.role {
            if let Some(progress) = leader.peers.get_mut(&from) {
                progress.follower_clock = Some(follower_clock);
            }
        }
    }

    pub(super) fn handle_append_response(&mut self, now: Millis, from: NodeId, index: Index, success: bool) {
        let last_index = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.peers.get_mut(&from) else { return };
        if success {
            progress.match_index = progress.match_index.max(index.min(last_index));
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            let match_index = progress.match_index;
            if progress.transfer.as_ref().is_some_and(|t| match_index >= t.snapshot.index) {
                progress.transfer = None;
            }
        } else {
            // The hint may be delayed: a follower never loses entries that it has acknowledged.
            progress.next_index = (index + 1).clamp(progress.match_index + 1, last_index + 1);
            progress.transfer = None;
        }
        self.advance(now);
        self.replicate_to(now, from, false);
        self.send_timeout_now();
    }

    pub(super) fn handle_snapshot_response(
        &mut self,
        now: Millis,
        from: NodeId,
        last_included_index: Index,
        next_offset: u64,
    ) {
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.peers.get_mut(&from) else { return };
        let transfer = progress.transfer.as_mut();
        if let Some(transfer) = transfer.filter(|t| t.snapshot.index == last_included_index) {
            transfer.acknowledge(now, next_offset);
        }
        self.advance(now);
        self.replicate_to(now, from, false);
    }

    /// Commits what a majority has on disk, and releases the reads that a majority has confirmed.
    pub(super) fn advance(&mut self, now: Millis) {
        if !self.is_leader() {
            return;
        }
        self.advance_commit_index(now);
        self.release_reads();
    }

    fn advance_commit_index(&mut self, now: Millis) {
        let replicated = self.quorum_value(self.durable_index(), |progress| progress.match_index);
        let is_own_term = self.log.term(replicated) == Some(self.term)
            || self.has_fault(InjectedFault::CommitEarlierTermByCount);
        if replicated > self.commit_index && is_own_term {
            self.commit_index = replicated;
            self.apply_committed();
            self.finish_conf_change(now);
            // The followers learn the new commit index at once: they serve from what they have applied.
            self.broadcast(now);
        }
    }

    /// The periodic work of a leader.
    pub(super) fn tick_leader(&mut self, now: Millis) {
        if !self.has_quorum_contact(now) && !self.has_fault(InjectedFault::SkipCheckQuorum) {
            // A majority may have elected another leader by now (dissertation, 6.2).
            return self.step_down(now, self.term);
        }
        let Role::Leader(leader) = &self.role else { return };
        let is_heartbeat_due = now >= leader.broadcast_at + self.config.heartbeat_interval;
        if leader.transfer.as_ref().is_some_and(|t| now > t.started_at + self.config.election_timeout) {
            // The transfer failed. Its target may still start the election at any time, without regard to the
            // lease, so this leadership can't be resumed.
            return self.step_down(now, self.term);
        }
        if is_heartbeat_due {
            self.broadcast(now);
        }
        if self.is_disk_stalled(now) {
            self.transfer_leadership(now);
        }
        self.change_configuration(now);
    }
}
