//! Owns the words that the replicated log is told in: who is in it, what an entry holds, what members say to each other,
//! what is to be written. It must never decide anything.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::IpAddr;

/// Number of a leadership; rises.
pub type Term = u64;
/// Place in the log; the first entry has 1.
pub type Index = u64;
/// Milliseconds of a steady clock.
pub type Millis = u64;

/// A member: one life of a core machine's disk. A machine that lost its disk is another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// The machine's address.
    pub ip: IpAddr,
    /// What tells this disk from those that the machine had before; 0: the seeds' disks of the first start.
    pub disk: u64,
}

/// Who votes.
pub type Members = BTreeSet<NodeId>;

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryPayload<C> {
    /// A leader's first: its term has begun, and with it its hold of the counter.
    TermStart,
    /// From here on these are the voters; differs from the set before by one.
    Members(Members),
    /// For the state machine.
    Command(C),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry<C> {
    /// Term of the leader that made it.
    pub term: Term,
    /// Its place.
    pub index: Index,
    /// What it says.
    pub body: EntryPayload<C>,
}

/// The state after all entries up to `index`, instead of these.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it covers.
    pub index: Index,
    /// That entry's term.
    pub term: Term,
    /// Who votes as of then.
    pub members: Members,
    /// The state machine's state, encoded by it.
    pub data: Bytes,
}

/// What is to be written, in this order; all of one [`Write`] list goes to the disk at once or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LogWrite<C> {
    /// The term, and who has the vote in it.
    Hard(Term, Option<NodeId>),
    /// Entries; what the log holds from the first one's index on goes.
    Append(Vec<Entry<C>>),
    /// A snapshot. Entries up to its index go. `whole`: all others go, too (it came from a leader, and the log does
    /// not go on from it).
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Does the rest of the log go?
        whole: bool,
    },
}

/// What the disk held at the start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PersistedState<C> {
    /// The term that was last written.
    pub term: Term,
    /// Who had the vote in it.
    pub vote: Option<NodeId>,
    /// The snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// Entries behind it, without a gap.
    pub log: Vec<Entry<C>>,
}

impl<C> Default for PersistedState<C> {
    fn default() -> Self {
        PersistedState { term: 0, vote: None, snapshot: None, log: Vec::new() }
    }
}

/// What members say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message<C> {
    /// Would you vote for me, or (`pre`) would you if I asked?
    Vote {
        /// The term that is asked for.
        term: Term,
        /// Term and index of the last entry of who asks.
        last: (Term, Index),
        /// Only asked beforehand: binds nobody.
        pre: bool,
        /// The leader itself has asked for this election.
        transfer: bool,
    },
    /// The answer.
    VoteReply {
        /// The term that was asked for or, where refused, the term of who answers if that is higher.
        term: Term,
        /// As asked.
        pre: bool,
        /// Is the vote given?
        granted: bool,
    },
    /// Entries behind `prev`; without entries it says only that the leader is there.
    Append {
        /// The leader's term.
        term: Term,
        /// Index and term of the entry before these.
        prev: (Index, Term),
        /// The entries.
        entries: Vec<Entry<C>>,
        /// Committed up to here.
        commit: Index,
        /// If the leader has committed in its term and was in touch with most lately: the newest stamp that it had of the
        /// one that hears this, so that a word which comes late is known.
        sure: Option<Millis>,
        /// Comes back.
        round: u64,
    },
    /// How far the log is the leader's, and on the disk.
    AppendReply {
        /// The term of who answers.
        term: Term,
        /// The newest round that was heard.
        round: u64,
        /// On the disk and equal to the leader's up to here; or, if not `matches`, the place to go on from.
        index: Index,
        /// Was the entry before those that were sent the same?
        matches: bool,
        /// The time of who answers.
        stamp: Millis,
    },
    /// A piece of a snapshot.
    Piece {
        /// The leader's term.
        term: Term,
        /// Comes back.
        round: u64,
        /// Which snapshot: index and term of the last entry that it covers, members as of then.
        index: Index,
        /// See `index`.
        last: Term,
        /// See `index`.
        members: Members,
        /// Where this piece begins.
        offset: u64,
        /// Length of the whole.
        total: u64,
        /// The bytes.
        data: Bytes,
    },
    /// How much of a snapshot has come.
    PieceReply {
        /// The term of who answers.
        term: Term,
        /// The newest round that was heard.
        round: u64,
        /// Which snapshot.
        index: Index,
        /// The next byte that is wanted.
        offset: u64,
    },
    /// The leader hands over: begin an election at once.
    TimeoutNow {
        /// The leader's term.
        term: Term,
    },
}

#[cfg(test)]
impl<C> Message<C> {
    /// The term that it carries.
    pub fn term(&self) -> Term {
        match self {
            Message::Vote { term, .. }
            | Message::VoteReply { term, .. }
            | Message::Append { term, .. }
            | Message::AppendReply { term, .. }
            | Message::Piece { term, .. }
            | Message::PieceReply { term, .. }
            | Message::TimeoutNow { term } => *term,
        }
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output<C> {
    /// Write and sync; [`super::Raft::persisted`] is told the number.
    Persist(u64, Vec<LogWrite<C>>),
    /// Say this to a member.
    Send(NodeId, Message<C>),
    /// This entry is committed: apply it. Comes in order, each once in a life.
    Apply(Entry<C>),
    /// The state is this from now on.
    Install(Snapshot),
    /// A read that was asked for under this number may be answered by what is applied now.
    ReadReady(u64),
}

/// Spans and sizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RaftConfig {
    /// A leader says that it is there this often.
    pub heartbeat: Millis,
    /// A follower that hears nothing for so long, and up to twice that, begins an election; nobody votes for another
    /// within this of hearing from a leader, or of its own start. A leader that has not heard most for so long steps down.
    pub election: Millis,
    /// A leader relies on having been heard for so long: shorter, for clocks that differ in speed.
    pub lease: Millis,
    /// A voter that was not heard for so long goes, if enough others are left.
    pub out_after: Millis,
    /// Voters that must be left: more than twice the losses that are to be borne.
    pub least: usize,
    /// Entries in a message at the most.
    pub batch: usize,
    /// Bytes of a piece of a snapshot.
    pub piece: usize,
    /// Pieces on their way at the most.
    pub window: usize,
    /// A disk that takes longer hangs.
    pub hang: Millis,
}
