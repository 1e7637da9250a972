//! Messages between members: the RPCs of the Raft paper as one-way messages.

use super::types::{Entry, Index, LastLogPosition, LogPosition, Millis, Term, VoterSet};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A message from one member to another. Any of them may be lost, delayed, duplicated or reordered.
///
/// `heartbeat_seq` numbers the leader's broadcasts within its term. A response carries the newest number its
/// sender has seen, which proves that the sender accepted this leader at some time after that broadcast:
/// leases and linearizable reads are built on that.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message<C> {
    /// Asks for a vote (Raft paper, 5.2), or, as a PreVote, whether one would be given.
    #[serde(rename = "Vote")]
    RequestVote {
        /// The term of the election; of a PreVote: the term that the sender would campaign in.
        term: Term,
        /// How up to date the sender's log is.
        last_log: LastLogPosition,
        /// PreVote: binds neither the sender nor the receiver, and raises no term.
        pre_vote: bool,
        /// The leader itself asked for this election ([`Message::TimeoutNow`]): its lease does not stand
        /// against it.
        leader_transfer: bool,
    },
    /// Response to [`Message::RequestVote`].
    #[serde(rename = "VoteReply")]
    RequestVoteResponse {
        /// The requested term if the vote is granted; else the responder's term.
        term: Term,
        /// Whether the request was a PreVote.
        pre_vote: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries to append after `prev_log`; without entries it is a heartbeat (Raft paper, 5.3).
    #[serde(rename = "Append")]
    AppendEntries {
        /// The leader's term.
        term: Term,
        /// Position of the entry before `entries`.
        prev_log: LogPosition,
        /// The entries, contiguous.
        entries: Vec<Entry<C>>,
        /// The leader's commit index.
        leader_commit: Index,
        /// The latest `follower_clock` of the receiver that the leader knows; only while the leader has
        /// committed in its term and is in contact with a quorum. The receiver learns from it that at that
        /// time of its own clock or later the leader was not cut off, however long this message was under
        /// way.
        echoed_clock: Option<Millis>,
        /// Number of the leader's latest broadcast.
        heartbeat_seq: u64,
    },
    /// Response to [`Message::AppendEntries`], and to a snapshot that was received completely.
    #[serde(rename = "AppendReply")]
    AppendEntriesResponse {
        /// The responder's term.
        term: Term,
        /// The newest `heartbeat_seq` that the responder has seen in this term.
        heartbeat_seq: u64,
        /// On success: the responder's log is on disk and equal to the leader's up to here. Else: a hint up
        /// to where the leader should go back.
        index: Index,
        /// Whether the responder's log contains `prev_log`.
        success: bool,
        /// The responder's clock, to be echoed by the leader.
        follower_clock: Millis,
    },
    /// A chunk of a snapshot, for a follower that needs entries which the leader has compacted (Raft paper,
    /// 7).
    #[serde(rename = "Piece")]
    InstallSnapshot {
        /// The leader's term.
        term: Term,
        /// Number of the leader's latest broadcast.
        heartbeat_seq: u64,
        /// Index of the last entry that the snapshot covers.
        last_included_index: Index,
        /// Term of that entry.
        last_included_term: Term,
        /// The configuration as of that entry.
        voters: VoterSet,
        /// Position of `data` in the snapshot, in bytes.
        offset: u64,
        /// Size of the snapshot, in bytes.
        total_bytes: u64,
        /// The chunk; empty if it only serves as a heartbeat.
        data: Bytes,
    },
    /// Response to a chunk of a snapshot that is not complete yet.
    #[serde(rename = "PieceReply")]
    InstallSnapshotResponse {
        /// The responder's term.
        term: Term,
        /// The newest `heartbeat_seq` that the responder has seen in this term.
        heartbeat_seq: u64,
        /// Index of the last entry that the snapshot covers.
        last_included_index: Index,
        /// The next byte that is wanted: all before it has been received.
        next_offset: u64,
    },
    /// Leadership transfer: the receiver is to start an election at once (Ongaro's dissertation, 3.10).
    TimeoutNow {
        /// The leader's term.
        term: Term,
    },
}

#[cfg(test)]
impl<C> Message<C> {
    /// The sender's term, or the term that a vote is asked for.
    pub fn term(&self) -> Term {
        match self {
            Message::RequestVote { term, .. }
            | Message::RequestVoteResponse { term, .. }
            | Message::AppendEntries { term, .. }
            | Message::AppendEntriesResponse { term, .. }
            | Message::InstallSnapshot { term, .. }
            | Message::InstallSnapshotResponse { term, .. }
            | Message::TimeoutNow { term } => *term,
        }
    }
}
