//! Leader leases: the guarantees that a leader and its followers have, and how long they last.
//!
//! A voter that hears from a leader grants no vote within the election timeout after that (dissertation,
//! 4.2.3 and 6.4.1), so a leader that was in contact with a majority knows that no other leader is elected
//! for that time. It counts from when the heartbeat was *sent*, by its own clock, and relies on it for the
//! shorter `lease_duration`: the difference covers clocks that run at different speeds. A voter keeps the
//! promise across restarts, see [`Raft::is_bound_by_restart`].

use super::raft::Role;
use super::{InjectedFault, Millis, Raft};

impl<C: Clone> Raft<C> {
    /// Whether this member is certainly the only leader now and has committed in its term, so that it may act
    /// for the entire system.
    pub fn holds_lease(&self, now: Millis) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        // The target of a leadership transfer is elected without regard to this lease.
        (leader.transfer.is_none() || self.has_fault(InjectedFault::LeaseDuringTransfer))
            && self.commit_index >= leader.term_start_index
            && now < self.quorum_contact(now).saturating_add(self.config.lease_duration)
    }

    /// Whether the state that this member has applied is current, so that it may be handed out to nodes that
    /// have none.
    ///
    /// A leader's state is current if it has committed in its term and is in contact with a quorum. Another
    /// member's state is current if the leader was in this condition within the election timeout (by the
    /// echoed clock), and every entry that the leader reported as committed is applied here.
    pub fn has_current_state(&self, now: Millis) -> bool {
        match &self.role {
            Role::Leader(leader) => {
                self.commit_index >= leader.term_start_index && self.has_quorum_contact(now)
            }
            _ => {
                let within = |at: Millis| now < at + self.config.election_timeout;
                self.quorum_confirmed_at.is_some_and(within)
                    && self.hears_leader(now)
                    && self.applied_index >= self.leader_commit
            }
        }
    }

    /// Whether a leader was heard within the election timeout.
    pub(super) fn hears_leader(&self, now: Millis) -> bool {
        self.leader_heard_at.is_some_and(|at| now < at + self.config.election_timeout)
    }

    /// When a majority was last in contact: the latest time at or before which a broadcast was sent that each
    /// of them has responded to. This member itself counts as in contact at `now`. 0 if this member is not
    /// the leader.
    pub(super) fn quorum_contact(&self, now: Millis) -> Millis {
        let Role::Leader(leader) = &self.role else { return 0 };
        // A new leader gets an election timeout to make contact. The lease is no longer for that: it needs a
        // commit in this term, so a majority has responded to a broadcast that was sent at the election or
        // later.
        self.quorum_value(now, |progress| progress.contact_at.max(leader.elected_at))
    }

    /// Whether a majority was in contact within the election timeout ("check quorum").
    pub(super) fn has_quorum_contact(&self, now: Millis) -> bool {
        now < self.quorum_contact(now).saturating_add(self.config.election_timeout)
    }

    /// Whether this process started so lately that a leader may rely on a contact with it from before the
    /// start.
    ///
    /// The hard state names the only member that this can be: a follower records its leader as its vote
    /// ([`Raft::accept_leader`]). If that is this member itself, nobody relies on it.
    pub(super) fn is_bound_by_restart(&self, now: Millis) -> bool {
        let voted_for_self =
            self.vote == Some(self.id) || self.has_fault(InjectedFault::VoteRightAfterRestart);
        now < self.started_at + self.config.election_timeout && !voted_for_self
    }

    /// Whether this member was leader or candidate before its start, so recently that no other member leads
    /// yet. This member's own lease ended with the earlier process, so it need not wait for an election
    /// timeout before it campaigns again.
    pub(super) fn may_resume_leadership(&self, now: Millis) -> bool {
        now < self.started_at + self.config.election_timeout
            && self.vote == Some(self.id)
            && !self.hears_leader(now)
    }
}
