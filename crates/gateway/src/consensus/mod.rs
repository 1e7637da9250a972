//! The replicated log: one agreed order for the operators' calls, the configuration of the core itself and
//! the terms of the quota counter.
//!
//! An implementation of Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm";
//! section numbers marked "dissertation" are those of Ongaro's "Consensus: Bridging Theory and Practice")
//! with PreVote, check quorum, leases, linearizable reads by read index, single-server configuration changes,
//! leadership transfer, and log compaction with snapshots in chunks. The names are the papers' names.
//!
//! [`Raft`] is a pure state machine: it does no I/O and reads no clock. A driver passes the time in with each
//! call, feeds it messages ([`Raft::receive`]), completed writes ([`Raft::on_persisted`]) and the passing of
//! time ([`Raft::tick`]), and performs what [`Raft::take_outputs`] returns. Two properties hold for every
//! output:
//!
//! - no message claims anything (a vote, a term, a replicated entry) that is not durable on this member's
//!   disk;
//! - an entry is committed only when it is durable on a majority of the voters.
//!
//! | file | concern |
//! | --- | --- |
//! | `raft` | the state of a member, its inputs and accessors |
//! | `election` | terms, PreVote, votes |
//! | `leader`, `progress`, `quorum` | replication by the leader, what it knows of each peer, majorities |
//! | `follower` | appending entries, installing snapshots |
//! | `lease` | what leader and followers may rely on, for how long |
//! | `read_index` | linearizable reads |
//! | `membership`, `leader_transfer` | configuration changes; handing the leadership over |
//! | `persistence` | write batches, and the messages that wait for them |
//! | `log` | the log in memory |
//!
//! Design: docs/control.md.

mod config;
mod election;
mod follower;
mod injected_fault;
#[cfg(test)]
mod injected_fault_tests;
mod leader;
mod leader_transfer;
mod lease;
mod log;
mod membership;
mod message;
#[cfg(test)]
mod model;
mod output;
mod persistence;
mod progress;
mod quorum;
mod raft;
mod read_index;
#[cfg(test)]
mod tests;
mod types;

pub use config::RaftConfig;
pub use follower::IncomingSnapshot;
use injected_fault::InjectedFault;
pub use message::Message;
pub use output::{LogWrite, Output, ReadId, WriteId};
pub use progress::PeerStatus;
pub use raft::Raft;
pub use types::{
    Entry, EntryPayload, Index, LastLogPosition, LogPosition, Millis, NodeId, PersistedState, Snapshot, Term,
    VoterSet,
};
