//! Replication progress of a peer, as the leader knows it.

use super::{Index, Millis, NodeId, Snapshot};

/// Replication state of a peer: a voter, or a learner that catches up before it becomes one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Progress {
    /// The next entry to send; optimistic, and > `match_index`.
    pub next_index: Index,
    /// The peer's log is durable and equal to the leader's up to here. Never falls within a term, because the
    /// peer acknowledges only what is on its disk.
    pub match_index: Index,
    /// The newest broadcast that the peer responded to.
    pub acked_heartbeat_seq: u64,
    /// When that broadcast was sent. Leases count from the sending: the peer received it at that time or
    /// later, so it votes for nobody else until an election timeout after it.
    pub contact_at: Millis,
    /// When any response of the peer last arrived.
    pub heard_at: Millis,
    /// The peer's clock, as of its latest response.
    pub follower_clock: Option<Millis>,
    /// The snapshot transfer to this peer that is in progress.
    pub transfer: Option<SnapshotTransfer>,
}

impl Progress {
    /// A peer of which nothing is known yet in this term; `last_index` is the leader's.
    pub fn new(now: Millis, last_index: Index) -> Self {
        Progress {
            next_index: last_index + 1,
            match_index: 0,
            acked_heartbeat_seq: 0,
            contact_at: 0,
            heard_at: now,
            follower_clock: None,
            transfer: None,
        }
    }
}

/// A snapshot transfer. The transfer continues with the same snapshot even if the leader compacts meanwhile:
/// otherwise frequent compaction would keep a slow peer from ever finishing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct SnapshotTransfer {
    pub snapshot: Snapshot,
    /// Bytes sent; >= `acked_bytes`.
    pub sent_bytes: u64,
    /// Bytes that the peer has received.
    pub acked_bytes: u64,
    /// When `acked_bytes` last changed, or the transfer was started or rewound.
    pub progress_at: Millis,
}

impl SnapshotTransfer {
    pub fn new(now: Millis, snapshot: Snapshot) -> Self {
        SnapshotTransfer { snapshot, sent_bytes: 0, acked_bytes: 0, progress_at: now }
    }

    pub fn total_bytes(&self) -> u64 {
        self.snapshot.data.len() as u64
    }

    /// Rewinds to the first unacknowledged byte if there was no progress for longer than `retry_timeout`:
    /// chunks were lost.
    pub fn rewind_if_stuck(&mut self, now: Millis, retry_timeout: Millis) {
        if now > self.progress_at + retry_timeout {
            (self.sent_bytes, self.progress_at) = (self.acked_bytes, now);
        }
    }

    /// Handles a response with the offset of the next byte that the peer needs.
    pub fn acknowledge(&mut self, now: Millis, next_offset: u64) {
        if next_offset > self.acked_bytes {
            self.acked_bytes = next_offset;
            self.progress_at = now;
            self.sent_bytes = self.sent_bytes.max(next_offset);
        } else if next_offset < self.acked_bytes {
            // The peer restarted and lost the chunks that it had received: continue at the offset it asks
            // for.
            self.acked_bytes = next_offset;
            self.sent_bytes = next_offset;
            self.progress_at = now;
        }
    }
}

/// A leader's knowledge of a peer, for status reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The peer.
    pub id: NodeId,
    /// Whether the peer is a voter; otherwise it is a learner.
    pub is_voter: bool,
    /// The peer's log is durable and equal to the leader's up to this index.
    pub match_index: Index,
    /// Milliseconds since the peer's last response.
    pub silent_for: Millis,
}
