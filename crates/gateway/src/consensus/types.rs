//! The data model of the replicated log: identities, entries, snapshots and the state that survives a
//! restart.
//!
//! Everything here that derives `Serialize` is stored on disk or sent to peers as MessagePack. Struct fields
//! are encoded by position and enum variants by name, so fields must not be reordered, and a renamed variant
//! keeps its old name in `#[serde(rename)]`.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::IpAddr;

/// Election term: a logical clock that only grows; at most one leader is elected in each (Raft paper, 5.1 and
/// 5.2).
pub type Term = u64;
/// Position of an entry in the log. The first entry has index 1; 0 stands for "before the log".
pub type Index = u64;
/// Milliseconds: a point in time of this process's monotonic clock, or a duration.
pub type Millis = u64;

/// Identity of a member: one incarnation of the disk of a core machine.
///
/// A machine that lost its disk has lost its vote and its log, so it must not go on under the old identity:
/// it comes back with a new `disk` and joins as a new member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// The machine's address.
    pub ip: IpAddr,
    /// Distinguishes this disk from earlier ones of the same machine; 0 for the disks of the seed members at
    /// the first start.
    pub disk: u64,
}

/// The voting members of a configuration.
pub type VoterSet = BTreeSet<NodeId>;

/// Index and term of one entry. By the Log Matching Property (Raft paper, 5.3) two logs that contain an entry
/// at the same position are identical up to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    /// The entry's index.
    pub index: Index,
    /// The term in which it was created.
    pub term: Term,
}

/// How up to date a log is: position of its last entry, the term first.
///
/// The derived order is that of the election restriction (Raft paper, 5.4.1): the log with the later last
/// term is more up to date; of two with the same last term, the longer one is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LastLogPosition {
    /// Term of the last entry.
    pub term: Term,
    /// Index of the last entry.
    pub index: Index,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryPayload<C> {
    /// The no-op that a leader appends first. Once it is committed, so is everything before it, and the
    /// leader may serve reads, change the configuration and hold its lease.
    TermStart,
    /// A single-server configuration change: from this entry on, committed or not, these are the voters. It
    /// differs from the configuration before it by at most one member.
    #[serde(rename = "Members")]
    ConfChange(VoterSet),
    /// A command for the state machine.
    Command(C),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry<C> {
    /// Term of the leader that created this entry.
    pub term: Term,
    /// Position of this entry in the log.
    pub index: Index,
    /// Content of this entry.
    pub payload: EntryPayload<C>,
}

/// The state machine's state after all entries up to `index`; replaces these entries in a compacted log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that it covers ("last included index").
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// The configuration as of that entry.
    pub voters: VoterSet,
    /// The state machine's state, in its own encoding.
    pub data: Bytes,
}

/// The state on disk when the process started.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PersistedState<C> {
    /// The latest term that was written.
    pub term: Term,
    /// The candidate or leader that has this member's vote in that term.
    pub vote: Option<NodeId>,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without a gap.
    pub entries: Vec<Entry<C>>,
}

impl<C> Default for PersistedState<C> {
    fn default() -> Self {
        PersistedState { term: 0, vote: None, snapshot: None, entries: Vec::new() }
    }
}
