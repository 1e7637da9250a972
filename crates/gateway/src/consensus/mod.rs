//! The replicated log of the core, after the published work on Raft and its thesis: one agreed order for the operators'
//! calls, the core's members and the counter's posts. Pure; time is passed in. It must never speak for what is not on
//! the disk yet, nor commit what most of the members don't hold. Design: docs/control.md.
//!
//! This file owns a member's state, what comes in and what goes out; `election`, `replicate` and `members` the rules.

mod election;
#[cfg(test)]
mod injected_fault_tests;
mod log;
mod membership;
#[cfg(test)]
mod model;
mod replication;
#[cfg(test)]
mod tests;
pub mod types;

use log::Log;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
pub use types::*;

/// A fault that tests put in, to show that they find it.
#[cfg_attr(not(test), allow(dead_code))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// Votes and terms are spoken before they are on the disk.
    VoteUnsynced,
    /// Entries of earlier terms are committed by counting copies.
    CommitOldTerm,
    /// Reads are answered without contact.
    ReadWithoutContact,
    /// A change of members does not wait for the last one.
    TwoChanges,
    /// What is acknowledged to the leader may not be on the disk yet.
    AppendUnsynced,
    /// A snapshot that came is taken though what was committed lies behind it.
    SnapshotBack,
    /// A lost disk makes no new member: the machine votes on under its old name.
    WipedVotes,
    /// A vote is given to a log that lacks what this one has.
    ShortLogWins,
    /// A process votes right after its start, whatever it promised before.
    YoungVotes,
    /// A vote is given while a leader is heard.
    HeardVotes,
    /// A leader relies on its lease though it has told another to stand.
    LeaseKept,
    /// A leader changes the members before it has committed in its own term.
    EarlyChange,
    /// A snapshot counts as held before it is on the disk.
    SnapshotUnsynced,
    /// A machine that hears no leader stands for real, without asking around first.
    NoPreVote,
    /// A leader goes on though most don't answer.
    NeverStepsDown,
    /// A lease counts from when an answer came.
    LeaseByArrival,
    /// A machine that does not vote yet counts towards most.
    LearnerCounts,
    /// A machine that votes no more counts towards most.
    RemovedCounts,
    /// A snapshot does not say who votes.
    SnapshotBare,
    /// What lies behind the leader's last word is taken for committed.
    UnverifiedCommit,
    /// A machine that lacks entries is told to stand.
    EarlyHandOver,
    /// Term and vote are kept in memory only.
    TermUnwritten,
    /// A vote on the disk does not name the leader that is followed.
    VoteUnnamed,
    /// An answer to a leader of an earlier term is taken.
    OldAck,
    /// A vote is given whoever has it already.
    VotesTwice,
    /// Entries are taken though the one before them is not there.
    PrevUnchecked,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Role {
    Follower,
    /// Asks around first, or (`pre` false) for real.
    Candidate {
        pre: bool,
        votes: BTreeSet<NodeId>,
        transfer: bool,
    },
    Leader(Leader),
}

/// What a leader knows of another machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Progress {
    /// The next entry to send.
    next: Index,
    /// On its disk and equal up to here.
    matched: Index,
    /// The newest round that it answered, and when that was sent.
    round: u64,
    contact: Millis,
    /// When it last said anything.
    heard: Millis,
    /// Its own time, as it told last.
    stamp: Option<Millis>,
    /// A snapshot on its way.
    pieces: Option<Sending>,
}

/// A snapshot on its way to a machine: the same one until it is there, whatever is cut meanwhile.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Sending {
    snapshot: Snapshot,
    /// Bytes sent.
    sent: u64,
    /// Bytes that came.
    came: u64,
    /// When there was progress last.
    at: Millis,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Leader {
    /// Voters and those that want to be, but for this machine.
    peers: BTreeMap<NodeId, Progress>,
    /// Rounds whose sending times matter still.
    rounds: VecDeque<(u64, Millis)>,
    round: u64,
    /// Its own first entry.
    first: Index,
    /// Reads that wait: number, and the round that must be answered by most.
    reads: Vec<(u64, u64)>,
    /// To whom it hands over, and since when.
    transfer: Option<(NodeId, Millis)>,
    /// The last append went out then.
    sent: Millis,
    since: Millis,
    /// Which disk a machine has now, as told by itself.
    present: BTreeMap<std::net::IpAddr, u64>,
}

/// A write that is not synced yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Unsynced {
    number: u64,
    /// The first entry in it.
    first: Option<Index>,
    since: Millis,
}

/// A snapshot that is coming.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Incoming {
    index: Index,
    last: Term,
    data: Vec<u8>,
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Raft<C> {
    me: NodeId,
    tuning: RaftConfig,
    term: Term,
    vote: Option<NodeId>,
    log: Log<C>,
    commit: Index,
    applied: Index,
    role: Role,
    leader: Option<NodeId>,
    /// When the leader of this term was last heard, and the newest round heard of it.
    heard: Option<Millis>,
    heard_round: u64,
    /// When a leader that was in touch with most was last heard.
    sure: Option<Millis>,
    /// Committed up to here, as the leader said last.
    told_commit: Index,
    /// The log is this term's leader's up to here.
    verified: Index,
    incoming: Option<Incoming>,
    /// Those that said that they end: until when that is remembered.
    leaving: BTreeMap<NodeId, Millis>,
    started: Millis,
    election_at: Millis,
    writes: Vec<LogWrite<C>>,
    number: u64,
    synced: u64,
    unsynced: VecDeque<Unsynced>,
    /// Messages wait until this write is synced: it has the term that they speak of.
    hard: u64,
    waiting: VecDeque<(u64, NodeId, Message<C>)>,
    reads: u64,
    out: Vec<Output<C>>,
    mutant: Option<InjectedFault>,
}

impl<C: Clone> Raft<C> {
    /// As its disk held it.
    pub fn new(now: Millis, me: NodeId, held: PersistedState<C>, tuning: RaftConfig) -> Self {
        let log = Log::new(held.snapshot, held.log);
        let base = log.base().0;
        let mut raft = Raft {
            me,
            tuning,
            term: held.term,
            vote: held.vote,
            log,
            commit: base,
            applied: base,
            role: Role::Follower,
            leader: None,
            heard: None,
            heard_round: 0,
            sure: None,
            told_commit: 0,
            verified: 0,
            incoming: None,
            leaving: BTreeMap::new(),
            started: now,
            election_at: 0,
            writes: Vec::new(),
            number: 0,
            synced: 0,
            unsynced: VecDeque::new(),
            hard: 0,
            waiting: VecDeque::new(),
            reads: 0,
            out: Vec::new(),
            mutant: None,
        };
        raft.await_leader(now);
        if raft.returns(now) {
            raft.election_at = now;
        }
        raft
    }

    /// The whole system starts for the first time, with these members; all of them begin so.
    pub fn bootstrap(&mut self, now: Millis, members: Members) {
        if self.log.last() > 0 || self.term > 0 {
            return;
        }
        self.put(vec![Entry { term: 0, index: 1, body: EntryPayload::Members(members) }]);
        self.flush(now);
    }

    /// Tests only: puts a fault in.
    #[cfg(test)]
    pub fn break_by(&mut self, mutant: Option<InjectedFault>) {
        self.mutant = mutant;
    }

    fn broken(&self, mutant: InjectedFault) -> bool {
        self.mutant == Some(mutant)
    }

    /// Other spans and sizes from now on.
    pub fn retune(&mut self, tuning: RaftConfig) {
        self.tuning = tuning;
    }

    // What others ask of it.

    /// Its own name.
    pub fn me(&self) -> NodeId {
        self.me
    }

    /// The present term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Committed up to here, as far as is known.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Who votes, by the newest word.
    pub fn members(&self) -> Members {
        self.log.members().1
    }

    /// Who leads, if it was heard lately.
    pub fn leader(&self, now: Millis) -> Option<NodeId> {
        match &self.role {
            Role::Leader(_) => Some(self.me),
            _ => self.leader.filter(|_| self.hears_leader(now)),
        }
    }

    /// Does this member lead?
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Leads, has committed in its term and was heard by most so lately that nobody else can: it may hold the counter.
    pub fn holds_lease(&self, now: Millis) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        (leader.transfer.is_none() || self.broken(InjectedFault::LeaseKept))
            && self.commit >= leader.first
            && now < self.contact(now).saturating_add(self.tuning.lease)
    }

    /// In touch with most of the core, and up with what most have committed: what is applied here may be handed out.
    pub fn is_attached(&self, now: Millis) -> bool {
        match &self.role {
            Role::Leader(leader) => {
                self.commit >= leader.first && now < self.contact(now).saturating_add(self.tuning.election)
            }
            _ => {
                let sure = self.sure.is_some_and(|at| now < at + self.tuning.election);
                sure && self.hears_leader(now) && self.applied >= self.told_commit
            }
        }
    }

    fn hears_leader(&self, now: Millis) -> bool {
        self.heard.is_some_and(|at| now < at + self.tuning.election)
    }

    /// The last entry's place, committed or not.
    pub fn last(&self) -> Index {
        self.log.last()
    }

    /// Entries held in memory, and the snapshot's index.
    pub fn held(&self) -> (usize, Index) {
        (self.log.len(), self.log.base().0)
    }

    /// Of each other machine that this leader knows: is it a voter, how far is its disk, how long ago was it heard.
    pub fn peers(&self, now: Millis) -> Vec<(NodeId, bool, Index, Millis)> {
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        let members = self.members();
        let tell = |(id, p): (&NodeId, &Progress)| {
            (*id, members.contains(id), p.matched, now.saturating_sub(p.heard))
        };
        leader.peers.iter().map(tell).collect()
    }

    /// Members whose disks surely hold all up to an index, as the leader knows.
    pub fn holders(&self, index: Index) -> Vec<NodeId> {
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        let members = self.members();
        let others = leader.peers.iter().filter(|(id, p)| p.matched >= index && members.contains(id));
        let own = (self.synced_index() >= index).then_some(self.me);
        others.map(|(id, _)| *id).chain(own).collect()
    }

    // What comes in.

    /// Time has passed.
    pub fn tick(&mut self, now: Millis) {
        match &self.role {
            Role::Leader(_) => self.lead(now),
            _ if now >= self.election_at => {
                if self.members().contains(&self.me) && !self.hangs(now) && !self.is_young(now) {
                    self.ask_around(now);
                    if self.returns(now) {
                        // The others may not be reached yet.
                        self.election_at = now + self.tuning.heartbeat;
                    }
                } else {
                    self.await_leader(now);
                }
            }
            _ => {}
        }
        self.flush(now);
    }

    /// What a member says.
    pub fn receive(&mut self, now: Millis, from: NodeId, message: Message<C>) {
        match message {
            Message::Vote { term, last, pre, transfer } => {
                self.asked(now, from, term, last, (pre, transfer));
            }
            Message::VoteReply { term, pre, granted } => self.voted(now, from, term, pre, granted),
            Message::Append { term, prev, entries, commit, sure, round } => {
                if self.follow(now, from, term, round) {
                    self.appended(from, prev, entries, (commit, sure), now);
                }
            }
            Message::Piece { term, round, index, last, members, offset, total, data } => {
                if self.follow(now, from, term, round) {
                    self.piece(now, from, (index, last, members), (offset, total), &data);
                }
            }
            Message::AppendReply { term, round, index, matches, stamp } => {
                if self.answered(now, from, term, round) {
                    self.stamped(from, stamp);
                    self.replied(now, from, index, matches);
                }
            }
            Message::PieceReply { term, round, index, offset } => {
                if self.answered(now, from, term, round) {
                    self.piece_came(now, from, index, offset);
                }
            }
            Message::TimeoutNow { term } => {
                if term == self.term && !self.leads() && self.members().contains(&self.me) {
                    self.campaign(now, true);
                }
            }
        }
        self.flush(now);
    }

    /// All up to this number is synced.
    pub fn persisted(&mut self, now: Millis, number: u64) {
        self.synced = self.synced.max(number);
        self.unsynced.retain(|u| u.number > number);
        while self.waiting.front().is_some_and(|w| w.0 <= number) {
            let Some((_, to, message)) = self.waiting.pop_front() else { break };
            self.out.push(Output::Send(to, message));
        }
        match &self.role {
            Role::Leader(_) => self.advance(now),
            Role::Candidate { pre: false, .. } if self.hard <= self.synced => self.vote_for_self(now),
            Role::Follower if self.verified > 0 => {
                if let Some(leader) = self.leader {
                    self.tell_matched(now, leader);
                }
            }
            _ => {}
        }
        self.flush(now);
    }

    /// A command for the log: where it would stand and in which term; `None`: this member does not lead.
    pub fn propose(&mut self, now: Millis, command: C) -> Option<(Index, Term)> {
        let Role::Leader(leader) = &self.role else { return None };
        if leader.transfer.is_some() {
            return None;
        }
        let place = self.add(now, EntryPayload::Command(command));
        self.flush(now);
        Some(place)
    }

    /// A read: [`Output::ReadReady`] tells its number once most were in touch after this call, in this term.
    pub fn read(&mut self, now: Millis) -> Option<u64> {
        let Role::Leader(_) = &self.role else { return None };
        self.reads += 1;
        let number = self.reads;
        self.broadcast(now);
        if let Role::Leader(leader) = &mut self.role {
            let round = leader.round;
            leader.reads.push((number, round));
        }
        self.advance(now);
        self.flush(now);
        Some(number)
    }

    /// Is a snapshot on its way to another machine? Cutting the log now would have it need the next one at once.
    pub fn is_sending(&self) -> bool {
        matches!(&self.role, Role::Leader(leader) if leader.peers.values().any(|p| p.pieces.is_some()))
    }

    /// A snapshot that is coming: index and term of the last entry that it covers, and what came of it.
    pub fn incoming(&self) -> Option<(Index, Term, &[u8])> {
        self.incoming.as_ref().map(|i| (i.index, i.last, &i.data[..]))
    }

    /// The term of an entry that is held, or that the snapshot ends with.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        self.log.term(index)
    }

    /// The state machine's state as of what is applied takes the place of the log up to there.
    #[cfg(test)]
    pub fn compact(&mut self, now: Millis, data: bytes::Bytes) {
        self.compact_to(now, self.applied, data);
    }

    /// The state machine's state as of this entry, which was applied, takes the place of the log up to there.
    pub fn compact_to(&mut self, now: Millis, index: Index, data: bytes::Bytes) {
        let index = index.min(self.applied);
        let Some(term) = self.log.term(index).filter(|_| index > self.log.base().0) else { return };
        let mut members = self.log.members_at(index);
        if self.broken(InjectedFault::SnapshotBare) {
            members.clear();
        }
        let snapshot = Snapshot { index, term, members, data };
        self.writes.push(LogWrite::Snapshot { snapshot: snapshot.clone(), whole: false });
        self.log.compact(snapshot, false);
        self.flush(now);
    }

    /// What is to be done since this was asked last, in order.
    pub fn take(&mut self) -> Vec<Output<C>> {
        std::mem::take(&mut self.out)
    }

    // Writing and speaking.

    /// Puts entries into the log and on their way to the disk.
    fn put(&mut self, entries: Vec<Entry<C>>) {
        self.writes.push(LogWrite::Append(entries.clone()));
        self.log.append(entries);
    }

    fn set_term(&mut self, term: Term, vote: Option<NodeId>) {
        (self.term, self.vote) = (term, vote);
        if !self.broken(InjectedFault::TermUnwritten) {
            self.writes.push(LogWrite::Hard(term, vote));
        }
    }

    /// Hands out what is to be written, as one.
    fn flush(&mut self, now: Millis) {
        if self.writes.is_empty() {
            return;
        }
        self.number += 1;
        let writes = std::mem::take(&mut self.writes);
        let first = |w: &LogWrite<C>| match w {
            LogWrite::Append(entries) => entries.first().map(|e| e.index),
            // Until it is there, nothing on the disk is the leader's.
            LogWrite::Snapshot { whole: true, .. } if !self.broken(InjectedFault::SnapshotUnsynced) => {
                Some(1)
            }
            _ => None,
        };
        let first = writes.iter().filter_map(first).min();
        if writes.iter().any(|w| matches!(w, LogWrite::Hard(..))) {
            self.hard = self.number;
            // What was said since the term changed speaks of it.
            for waiting in self.waiting.iter_mut().filter(|w| w.0 == u64::MAX) {
                waiting.0 = self.number;
            }
        }
        self.unsynced.push_back(Unsynced { number: self.number, first, since: now });
        // Ahead of the messages of this event: a driver may say these at once.
        self.out.push(Output::Persist(self.number, writes));
        if self.broken(InjectedFault::VoteUnsynced) {
            while let Some((_, to, message)) = self.waiting.pop_front() {
                self.out.push(Output::Send(to, message));
            }
        }
    }

    /// Says something, once the term that it speaks of is on the disk.
    fn send(&mut self, to: NodeId, message: Message<C>) {
        let unwritten = self.writes.iter().any(|w| matches!(w, LogWrite::Hard(..)));
        if unwritten {
            self.waiting.push_back((u64::MAX, to, message));
        } else if self.hard > self.synced && !self.broken(InjectedFault::VoteUnsynced) {
            self.waiting.push_back((self.hard, to, message));
        } else {
            self.out.push(Output::Send(to, message));
        }
    }

    /// The last entry that is surely on the disk, and all before it.
    fn synced_index(&self) -> Index {
        if self.broken(InjectedFault::AppendUnsynced) {
            return self.log.last();
        }
        let unwritten = self.writes.iter().filter_map(|w| match w {
            LogWrite::Append(entries) => entries.first().map(|e| e.index),
            LogWrite::Snapshot { whole: true, .. } if !self.broken(InjectedFault::SnapshotUnsynced) => {
                Some(1)
            }
            _ => None,
        });
        let unsynced = self.unsynced.iter().filter_map(|u| u.first).chain(unwritten).min();
        unsynced.map_or(self.log.last(), |first| first.saturating_sub(1).min(self.log.last()))
    }

    /// Does the disk hang?
    pub fn hangs(&self, now: Millis) -> bool {
        self.unsynced.front().is_some_and(|u| now > u.since + self.tuning.hang)
    }

    /// Hands on what is committed.
    fn apply(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else { return };
            self.applied += 1;
            self.out.push(Output::Apply(entry));
        }
    }
}
