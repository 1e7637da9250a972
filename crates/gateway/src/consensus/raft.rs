//! A member of the replicated log: state, inputs and accessors. The rules of the protocol are in the sibling
//! modules, one concern each.

use super::election::VoteRequest;
use super::follower::{IncomingSnapshot, SnapshotChunk};
use super::leader::LeaderState;
use super::log::Log;
use super::persistence::{HeldMessage, WriteQueue};
use super::progress::Progress;
use super::{
    Entry, EntryPayload, Index, InjectedFault, LogPosition, LogWrite, Message, Millis, NodeId, Output,
    PeerStatus, PersistedState, RaftConfig, ReadId, Snapshot, Term, VoterSet, WriteId,
};
use std::collections::{BTreeMap, BTreeSet};

/// The role of a member in its current term (Raft paper, 5.1).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Role {
    /// Follows the leader of the term, or waits for one.
    Follower,
    /// Collects votes.
    Candidate {
        /// Whether this is a PreVote: the term is not raised yet, and the votes bind no voter.
        is_pre_vote: bool,
        /// The voters that granted their vote; includes this member once its own vote is durable.
        votes: BTreeSet<NodeId>,
    },
    /// Replicates its log to the other members.
    Leader(LeaderState),
}

/// One member of the replicated log. `C` is the state machine's command.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Raft<C> {
    pub(super) id: NodeId,
    pub(super) config: RaftConfig,
    pub(super) term: Term,
    /// The candidate that got this member's vote in `term`, or the leader that it follows.
    pub(super) vote: Option<NodeId>,
    pub(super) log: Log<C>,
    /// The highest index known to be committed; never falls, and `applied_index` <= `commit_index`.
    pub(super) commit_index: Index,
    /// The highest index that was handed out as [`Output::Apply`] or [`Output::InstallSnapshot`].
    pub(super) applied_index: Index,
    pub(super) role: Role,
    /// The leader of `term`, if it is known.
    pub(super) leader_id: Option<NodeId>,
    /// When the leader of this or an earlier term was last heard.
    pub(super) leader_heard_at: Option<Millis>,
    /// The newest broadcast of this term's leader that was seen.
    pub(super) seen_heartbeat_seq: u64,
    /// The latest time of this member's own clock at which a leader in contact with a quorum is known to have
    /// led: the newest echoed clock.
    pub(super) quorum_confirmed_at: Option<Millis>,
    /// The highest commit index that a leader has announced; may be ahead of this log.
    pub(super) leader_commit: Index,
    /// The log is equal to that of this term's leader up to here. Entries beyond it may be uncommitted ones
    /// of an earlier leader, so they don't count as committed whatever the leader's commit index is.
    pub(super) verified_index: Index,
    /// A snapshot of this term's leader, of which not all chunks have come.
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    /// Members that announced that their process ends, and until when that is remembered.
    pub(super) departing: BTreeMap<NodeId, Millis>,
    /// When this process started.
    pub(super) started_at: Millis,
    /// When an election starts unless a leader is heard before.
    pub(super) election_deadline: Millis,
    pub(super) write_queue: WriteQueue<C>,
    pub(super) last_read_id: ReadId,
    /// Outputs that the driver has not taken yet.
    pub(super) outputs: Vec<Output<C>>,
    pub(super) injected_fault: Option<InjectedFault>,
}

impl<C: Clone> Raft<C> {
    /// Creates a member from the state on its disk; a new member has an empty state.
    ///
    /// A snapshot in it is taken for applied: the driver restores the state machine from it.
    pub fn new(now: Millis, id: NodeId, persisted: PersistedState<C>, config: RaftConfig) -> Self {
        let log = Log::new(persisted.snapshot, persisted.entries);
        let snapshot_index = log.snapshot_position().index;
        let mut raft = Raft {
            id,
            config,
            term: persisted.term,
            vote: persisted.vote,
            log,
            commit_index: snapshot_index,
            applied_index: snapshot_index,
            role: Role::Follower,
            leader_id: None,
            leader_heard_at: None,
            seen_heartbeat_seq: 0,
            quorum_confirmed_at: None,
            leader_commit: 0,
            verified_index: 0,
            incoming_snapshot: None,
            departing: BTreeMap::new(),
            started_at: now,
            election_deadline: 0,
            write_queue: WriteQueue::default(),
            last_read_id: 0,
            outputs: Vec::new(),
            injected_fault: None,
        };
        raft.reset_election_deadline(now);
        if raft.may_resume_leadership(now) {
            raft.election_deadline = now;
        }
        raft
    }

    /// Starts a new cluster: appends the initial configuration. To be called on each of its members, with the
    /// same voters; has no effect on a member that has a log or a term already.
    pub fn bootstrap(&mut self, now: Millis, voters: VoterSet) {
        if self.log.last_index() > 0 || self.term > 0 {
            return;
        }
        self.append_to_log(vec![Entry { term: 0, index: 1, payload: EntryPayload::ConfChange(voters) }]);
        self.issue_writes(now);
    }

    /// Breaks a rule of the protocol from now on.
    #[cfg(test)]
    pub fn inject_fault(&mut self, fault: Option<InjectedFault>) {
        self.injected_fault = fault;
    }

    pub(super) fn has_fault(&self, fault: InjectedFault) -> bool {
        self.injected_fault == Some(fault)
    }

    /// Replaces the timing and size limits.
    pub fn set_config(&mut self, config: RaftConfig) {
        self.config = config;
    }

    // Accessors.

    /// This member's identity.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The highest index that this member knows to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// Index of the last entry, committed or not.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Index of the last entry that the snapshot covers; 0 without a snapshot.
    pub fn snapshot_index(&self) -> Index {
        self.log.snapshot_position().index
    }

    /// How many entries after the snapshot are in memory.
    pub fn entry_count(&self) -> usize {
        self.log.len()
    }

    /// Term of an entry in memory, or of the last one that the snapshot covers.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        self.log.term(index)
    }

    /// The voters of the latest configuration in the log, committed or not (dissertation, 4.1: a server
    /// always uses the latest configuration in its log).
    pub fn voters(&self) -> VoterSet {
        self.log.configuration().voters
    }

    /// Whether this member is the leader of its term. A newer leader may exist; see [`Raft::holds_lease`].
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The leader of the current term, unless it was not heard within the election timeout.
    pub fn leader(&self, now: Millis) -> Option<NodeId> {
        match &self.role {
            Role::Leader(_) => Some(self.id),
            _ => self.leader_id.filter(|_| self.hears_leader(now)),
        }
    }

    /// Replication status of each peer, voter or learner; empty if this member is not the leader.
    pub fn peer_statuses(&self, now: Millis) -> Vec<PeerStatus> {
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        let voters = self.voters();
        let status = |(id, progress): (&NodeId, &Progress)| PeerStatus {
            id: *id,
            is_voter: voters.contains(id),
            match_index: progress.match_index,
            silent_for: now.saturating_sub(progress.heard_at),
        };
        leader.peers.iter().map(status).collect()
    }

    /// The voters that are known to this leader to have all entries up to `index` on disk; empty on other
    /// members.
    pub fn voters_with(&self, index: Index) -> Vec<NodeId> {
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        let voters = self.voters();
        let others = leader.peers.iter().filter(|(id, p)| p.match_index >= index && voters.contains(id));
        let own = (self.durable_index() >= index).then_some(self.id);
        others.map(|(id, _)| *id).chain(own).collect()
    }

    /// Whether a snapshot transfer to a peer is going on. Compacting the log now would make that peer need
    /// the next snapshot as soon as it has this one.
    pub fn is_sending_snapshot(&self) -> bool {
        matches!(&self.role, Role::Leader(leader) if leader.peers.values().any(|p| p.transfer.is_some()))
    }

    /// The snapshot that is being received, as far as it has come.
    pub fn incoming_snapshot(&self) -> Option<&IncomingSnapshot> {
        self.incoming_snapshot.as_ref()
    }

    // Inputs. Each ends with `issue_writes`: what it changed becomes one atomic write batch.

    /// Lets time pass: heartbeats, elections, configuration changes. To be called several times per heartbeat
    /// interval.
    pub fn tick(&mut self, now: Millis) {
        match &self.role {
            Role::Leader(_) => self.tick_leader(now),
            _ if now >= self.election_deadline => {
                if self.voters().contains(&self.id)
                    && !self.is_disk_stalled(now)
                    && !self.is_bound_by_restart(now)
                {
                    self.start_pre_vote(now);
                    if self.may_resume_leadership(now) {
                        // The connections to the peers may not be up yet: try again soon.
                        self.election_deadline = now + self.config.heartbeat_interval;
                    }
                } else {
                    self.reset_election_deadline(now);
                }
            }
            _ => {}
        }
        self.issue_writes(now);
    }

    /// Handles a message of a member.
    pub fn receive(&mut self, now: Millis, from: NodeId, message: Message<C>) {
        match message {
            Message::RequestVote { term, last_log, pre_vote, leader_transfer } => {
                let request = VoteRequest { term, last_log, is_pre_vote: pre_vote, leader_transfer };
                self.handle_request_vote(now, from, request);
            }
            Message::RequestVoteResponse { term, pre_vote, granted } => {
                self.handle_vote_response(now, from, term, pre_vote, granted);
            }
            Message::AppendEntries {
                term,
                prev_log,
                entries,
                leader_commit,
                echoed_clock,
                heartbeat_seq,
            } => {
                if self.accept_leader(now, from, term, heartbeat_seq) {
                    self.handle_append_entries(now, from, prev_log, entries, leader_commit, echoed_clock);
                }
            }
            Message::InstallSnapshot {
                term,
                heartbeat_seq,
                last_included_index: index,
                last_included_term,
                voters,
                offset,
                total_bytes,
                data,
            } => {
                if self.accept_leader(now, from, term, heartbeat_seq) {
                    let last_included = LogPosition { index, term: last_included_term };
                    let chunk = SnapshotChunk { last_included, voters, offset, total_bytes, data };
                    self.handle_install_snapshot(now, from, chunk);
                }
            }
            Message::AppendEntriesResponse { term, heartbeat_seq, index, success, follower_clock } => {
                if self.accept_response(now, from, term, heartbeat_seq) {
                    self.record_follower_clock(from, follower_clock);
                    self.handle_append_response(now, from, index, success);
                }
            }
            Message::InstallSnapshotResponse { term, heartbeat_seq, last_included_index, next_offset } => {
                if self.accept_response(now, from, term, heartbeat_seq) {
                    self.handle_snapshot_response(now, from, last_included_index, next_offset);
                }
            }
            Message::TimeoutNow { term } => self.handle_timeout_now(now, term),
        }
        self.issue_writes(now);
    }

    /// All write batches up to this one are durable.
    pub fn on_persisted(&mut self, now: Millis, write: WriteId) {
        let released = self.write_queue.complete(write);
        self.outputs.extend(released.into_iter().map(HeldMessage::into_output));
        match &self.role {
            Role::Leader(_) => self.advance(now),
            Role::Candidate { is_pre_vote: false, .. } if self.write_queue.is_hard_state_durable() => {
                self.vote_for_self(now);
            }
            Role::Follower if self.verified_index > 0 => {
                if let Some(leader) = self.leader_id {
                    self.acknowledge_log(now, leader);
                }
            }
            _ => {}
        }
        self.issue_writes(now);
    }

    /// Appends a command to the log. Returns where: the command is committed if and only if an entry with
    /// this index and term is applied. `None` if this member is not the leader, or hands the leadership over.
    pub fn propose(&mut self, now: Millis, command: C) -> Option<LogPosition> {
        let Role::Leader(leader) = &self.role else { return None };
        if leader.transfer.is_some() {
            return None;
        }
        let position = self.append_and_broadcast(now, EntryPayload::Command(command));
        self.issue_writes(now);
        Some(position)
    }

    /// [`Raft::compact`] up to the last applied entry.
    #[cfg(test)]
    pub fn compact_applied(&mut self, now: Millis, data: bytes::Bytes) {
        self.compact(now, self.applied_index, data);
    }

    /// Compacts the log: `data`, the state machine's state as of the applied entry `index`, replaces the
    /// entries up to there (Raft paper, 7). Has no effect if a snapshot covers that entry already.
    pub fn compact(&mut self, now: Millis, index: Index, data: bytes::Bytes) {
        let index = index.min(self.applied_index);
        let is_newer = index > self.log.snapshot_position().index;
        let Some(term) = self.log.term(index).filter(|_| is_newer) else { return };
        let mut voters = self.log.voters_at(index);
        if self.has_fault(InjectedFault::SnapshotWithoutVoters) {
            voters.clear();
        }
        let snapshot = Snapshot { index, term, voters, data };
        self.write_queue.add(LogWrite::Snapshot { snapshot: snapshot.clone(), replaces_log: false });
        self.log.compact(snapshot, false);
        self.issue_writes(now);
    }

    /// Takes what is to be done since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<Output<C>> {
        std::mem::take(&mut self.outputs)
    }

    /// Hands out the entries that became committed.
    pub(super) fn apply_committed(&mut self) {
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1).cloned() else { return };
            self.applied_index += 1;
            self.outputs.push(Output::Apply(entry));
        }
    }
}
