//! Owns terms and votes: who may lead. It must never give two votes in a term, nor let a log that lacks what is committed
//! lead, nor disturb a leader that is heard.

use super::*;
use std::hash::{DefaultHasher, Hash, Hasher};

impl<C: Clone> Raft<C> {
    /// Waits for a leader anew: for the span of an election, and up to twice that.
    pub(super) fn await_leader(&mut self, now: Millis) {
        // Drawn, but the same in every run: by who waits, in which term, since when.
        let mut hasher = DefaultHasher::new();
        (self.me, self.term, now / 64).hash(&mut hasher);
        self.election_at = now + self.tuning.election + hasher.finish() % self.tuning.election.max(1);
    }

    /// Has it run for less than the span within which a leader that it heard before its start may rely on that? It knows by
    /// its vote who that can be ([`Raft::follow`]): not itself.
    pub(super) fn is_young(&self, now: Millis) -> bool {
        let own = self.vote == Some(self.me) || self.broken(InjectedFault::YoungVotes);
        now < self.started + self.tuning.election && !own
    }

    /// Did it lead, or stand, before its start, so lately that nobody else does yet? Its lease ended with that life.
    pub(super) fn returns(&self, now: Millis) -> bool {
        now < self.started + self.tuning.election && self.vote == Some(self.me) && !self.hears_leader(now)
    }

    /// Another term has begun, or this one has a leader: follows.
    pub(super) fn step_down(&mut self, now: Millis, term: Term) {
        if term > self.term {
            self.set_term(term, None);
            (self.leader, self.verified, self.heard_round) = (None, 0, 0);
            self.incoming = None;
        }
        if self.role != Role::Follower {
            if self.leads() {
                self.leader = None;
            }
            self.role = Role::Follower;
            self.await_leader(now);
        }
    }

    /// Asks whether most would vote for it.
    pub(super) fn ask_around(&mut self, now: Millis) {
        if self.broken(InjectedFault::NoPreVote) {
            return self.campaign(now, false);
        }
        self.await_leader(now);
        self.leader = None;
        let votes = BTreeSet::from([self.me]);
        self.role = Role::Candidate { pre: true, votes, transfer: false };
        self.ask(true, false);
        self.count(now);
    }

    /// Stands for election.
    pub(super) fn campaign(&mut self, now: Millis, transfer: bool) {
        self.await_leader(now);
        let (leader, me) = (None, self.me);
        (self.leader, self.verified, self.heard_round, self.incoming) = (leader, 0, 0, None);
        self.set_term(self.term + 1, Some(me));
        self.role = Role::Candidate { pre: false, votes: BTreeSet::new(), transfer };
        self.ask(false, transfer);
        if self.broken(InjectedFault::VoteUnsynced) || self.broken(InjectedFault::TermUnwritten) {
            self.vote_for_self(now);
        }
    }

    fn ask(&mut self, pre: bool, transfer: bool) {
        let term = if pre { self.term + 1 } else { self.term };
        let last = self.log.end();
        let me = self.me;
        for to in self.members().into_iter().filter(|id| *id != me) {
            self.send(to, Message::Vote { term, last, pre, transfer });
        }
    }

    /// Its own vote is on the disk.
    pub(super) fn vote_for_self(&mut self, now: Millis) {
        let me = self.me;
        if let Role::Candidate { pre: false, votes, .. } = &mut self.role {
            votes.insert(me);
        }
        self.count(now);
    }

    /// Somebody asks for a vote.
    pub(super) fn asked(
        &mut self,
        now: Millis,
        from: NodeId,
        term: Term,
        last: (Term, Index),
        (pre, transfer): (bool, bool),
    ) {
        // A leader was heard within the span that it may rely on, perhaps before this process's start: nobody else is
        // let, not even to raise the term.
        // A leader that stands itself, for a later term, relies on nothing any more.
        let heard =
            self.hears_leader(now) && self.leader != Some(from) && !self.broken(InjectedFault::HeardVotes);
        let young = self.is_young(now) && self.vote != Some(from);
        let bound = !transfer && (self.leads_surely(now) || heard || young);
        if bound {
            if pre {
                self.send(from, Message::VoteReply { term: self.term, pre, granted: false });
            }
            return;
        }
        let current = last >= self.log.end() || self.broken(InjectedFault::ShortLogWins);
        if pre {
            let granted = term > self.term && current;
            let term = if granted { term } else { self.term };
            return self.send(from, Message::VoteReply { term, pre, granted });
        }
        if term > self.term {
            self.step_down(now, term);
        }
        let free = self.vote.is_none_or(|v| v == from) || self.broken(InjectedFault::VotesTwice);
        let free = free && !self.leads();
        let granted = term == self.term && free && current;
        if granted {
            if self.vote.is_none() {
                self.set_term(term, Some(from));
            }
            self.await_leader(now);
        }
        self.send(from, Message::VoteReply { term: self.term, pre, granted });
    }

    fn leads_surely(&self, now: Millis) -> bool {
        self.leads() && now < self.contact(now).saturating_add(self.tuning.election)
    }

    /// A vote came, or a refusal.
    pub(super) fn voted(&mut self, now: Millis, from: NodeId, term: Term, pre: bool, granted: bool) {
        if !granted {
            if term > self.term {
                self.step_down(now, term);
            }
            return;
        }
        let wanted = if pre { self.term + 1 } else { self.term };
        if term != wanted {
            return;
        }
        match &mut self.role {
            Role::Candidate { pre: at, votes, .. } if *at == pre => {
                votes.insert(from);
            }
            _ => return,
        }
        self.count(now);
    }

    fn count(&mut self, now: Millis) {
        let Role::Candidate { pre, votes, .. } = &self.role else { return };
        let (pre, members) = (*pre, self.members());
        if 2 * members.intersection(votes).count() <= members.len() {
            return;
        }
        match pre {
            true => self.campaign(now, false),
            false => self.begin_term(now),
        }
    }
}
