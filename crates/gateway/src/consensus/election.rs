//! Elections: terms, PreVote and votes.
//!
//! Election Safety (Raft paper, 5.2): a member grants at most one vote in a term, and the vote is durable
//! before it is sent, so at most one candidate gets a majority. Leader Completeness (5.4): a vote goes only
//! to a candidate whose log is at least as up to date, so a new leader has all committed entries. PreVote
//! (dissertation, 9.6) and the rule that nobody votes while it hears a leader (dissertation, 4.2.3) keep
//! members that were cut off from deposing a leader.

use super::quorum::is_majority;
use super::raft::Role;
use super::{InjectedFault, LastLogPosition, Message, Millis, NodeId, Raft, Term};
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The time that enters the draw of an election timeout counts in steps of this many milliseconds.
const TIMEOUT_DRAW_STEP: Millis = 64;

/// Content of a [`Message::RequestVote`].
#[derive(Clone, Copy)]
pub(super) struct VoteRequest {
    pub term: Term,
    pub last_log: LastLogPosition,
    pub is_pre_vote: bool,
    pub leader_transfer: bool,
}

impl<C: Clone> Raft<C> {
    /// Restarts the election timer, at a pseudo-random time between one and two election timeouts from now.
    pub(super) fn reset_election_deadline(&mut self, now: Millis) {
        // Pseudo-random, so that votes are seldom split (Raft paper, 5.2), but the same in every run: drawn
        // by member, term and time.
        let mut hasher = DefaultHasher::new();
        (self.id, self.term, now / TIMEOUT_DRAW_STEP).hash(&mut hasher);
        let election_timeout = self.config.election_timeout;
        self.election_deadline = now + election_timeout + hasher.finish() % election_timeout.max(1);
    }

    /// Becomes a follower: `term` is newer, or a leader or the loss of the quorum ends this member's own
    /// role.
    pub(super) fn step_down(&mut self, now: Millis, term: Term) {
        if term > self.term {
            self.set_hard_state(term, None);
            self.forget_leader();
        }
        if self.role != Role::Follower {
            if self.is_leader() {
                self.leader_id = None;
            }
            self.role = Role::Follower;
            self.reset_election_deadline(now);
        }
    }

    /// Discards the state that belongs to the leader of one term.
    fn forget_leader(&mut self) {
        self.leader_id = None;
        self.verified_index = 0;
        self.seen_heartbeat_seq = 0;
        self.incoming_snapshot = None;
    }

    /// Asks whether a majority would vote for this member, without raising the term.
    pub(super) fn start_pre_vote(&mut self, now: Millis) {
        if self.has_fault(InjectedFault::SkipPreVote) {
            return self.campaign(now, false);
        }
        self.reset_election_deadline(now);
        self.leader_id = None;
        let votes = BTreeSet::from([self.id]);
        self.role = Role::Candidate { is_pre_vote: true, votes };
        self.request_votes(true, false);
        self.count_votes(now);
    }

    /// Starts an election in a new term; `leader_transfer`: the leader asked for it. The candidate's own vote
    /// counts once it is durable ([`Raft::on_persisted`]).
    pub(super) fn campaign(&mut self, now: Millis, leader_transfer: bool) {
        self.reset_election_deadline(now);
        self.forget_leader();
        self.set_hard_state(self.term + 1, Some(self.id));
        self.role = Role::Candidate { is_pre_vote: false, votes: BTreeSet::new() };
        self.request_votes(false, leader_transfer);
        if self.has_fault(InjectedFault::SendBeforeHardStateSync)
            || self.has_fault(InjectedFault::HardStateNotWritten)
        {
            self.vote_for_self(now);
        }
    }

    fn request_votes(&mut self, pre_vote: bool, leader_transfer: bool) {
        let term = if pre_vote { self.term + 1 } else { self.term };
        let last_log = self.log.last_position();
        let candidate = self.id;
        for to in self.voters().into_iter().filter(|id| *id != candidate) {
            self.send(to, Message::RequestVote { term, last_log, pre_vote, leader_transfer });
        }
    }

    /// Handles [`Message::TimeoutNow`]: the leader transfers its leadership to this member.
    pub(super) fn handle_timeout_now(&mut self, now: Millis, term: Term) {
        if term == self.term && !self.is_leader() && self.voters().contains(&self.id) {
            self.campaign(now, true);
        }
    }

    /// Counts the candidate's own vote, which is durable.
    pub(super) fn vote_for_self(&mut self, now: Millis) {
        if let Role::Candidate { is_pre_vote: false, votes } = &mut self.role {
            votes.insert(self.id);
        }
        self.count_votes(now);
    }

    pub(super) fn handle_request_vote(&mut self, now: Millis, from: NodeId, request: VoteRequest) {
        let VoteRequest { term, last_log, is_pre_vote, leader_transfer } = request;
        if !leader_transfer && self.is_bound_to_leader(now, from) {
            if is_pre_vote {
                self.respond_to_vote(from, self.term, is_pre_vote, false);
            }
            return;
        }
        let is_up_to_date =
            last_log >= self.log.last_position() || self.has_fault(InjectedFault::IgnoreLogRecency);
        if is_pre_vote {
            let granted = term > self.term && is_up_to_date;
            let term = if granted { term } else { self.term };
            return self.respond_to_vote(from, term, is_pre_vote, granted);
        }
        if term > self.term {
            self.step_down(now, term);
        }
        let has_vote_left =
            self.vote.is_none_or(|vote| vote == from) || self.has_fault(InjectedFault::VoteTwice);
        let granted = term == self.term && has_vote_left && !self.is_leader() && is_up_to_date;
        if granted {
            if self.vote.is_none() {
                self.set_hard_state(term, Some(from));
            }
            self.reset_election_deadline(now);
        }
        self.respond_to_vote(from, self.term, is_pre_vote, granted);
    }

    /// Whether a leader other than `candidate` may rely on this member not voting: then a request has no
    /// effect, not even on the term. A leader that campaigns for a later term no longer relies
    /// on its lease.
    fn is_bound_to_leader(&self, now: Millis, candidate: NodeId) -> bool {
        let hears_other = self.hears_leader(now)
            && self.leader_id != Some(candidate)
            && !self.has_fault(InjectedFault::VoteDespiteLeader);
        let bound_by_restart = self.is_bound_by_restart(now) && self.vote != Some(candidate);
        let leads = self.is_leader() && self.has_quorum_contact(now);
        leads || hears_other || bound_by_restart
    }

    fn respond_to_vote(&mut self, to: NodeId, term: Term, pre_vote: bool, granted: bool) {
        self.send(to, Message::RequestVoteResponse { term, pre_vote, granted });
    }

    pub(super) fn handle_vote_response(
        &mut self,
        now: Millis,
        from: NodeId,
        term: Term,
        pre_vote: bool,
        granted: bool,
    ) {
        if !granted {
            if term > self.term {
                self.step_down(now, term);
            }
            return;
        }
        let expected_term = if pre_vote { self.term + 1 } else { self.term };
        if term != expected_term {
            return;
        }
        match &mut self.role {
            Role::Candidate { is_pre_vote, votes } if *is_pre_vote == pre_vote => {
                votes.insert(from);
            }
            _ => return,
        }
        self.count_votes(now);
    }

    /// If a majority has granted its votes, starts the election after a PreVote, or becomes leader after an
    /// election.
    fn count_votes(&mut self, now: Millis) {
        let Role::Candidate { is_pre_vote, votes } = &self.role else { return };
        let (is_pre_vote, voters) = (*is_pre_vote, self.voters());
        if !is_majority(voters.intersection(votes).count(), voters.len()) {
            return;
        }
        if is_pre_vote {
            self.campaign(now, false);
        } else {
            self.become_leader(now);
        }
    }
}
