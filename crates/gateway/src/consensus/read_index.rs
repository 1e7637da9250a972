//! Linearizable reads by read index (dissertation, 6.4).
//!
//! A leader may answer a read from its state machine once it has confirmed, by a broadcast that was sent
//! after the read came in and that a majority responded to, that it was still the leader then. Every write
//! that was acknowledged before the read is committed, and a leader that has committed in its own term has
//! applied all of these.

use super::raft::Role;
use super::{InjectedFault, Millis, Output, Raft, ReadId};

/// A read that waits for its confirmation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingRead {
    pub id: ReadId,
    /// A majority must respond to this broadcast or a later one.
    pub heartbeat_seq: u64,
}

impl<C: Clone> Raft<C> {
    /// Begins a linearizable read. [`Output::ReadReady`] with the returned number says when it may be
    /// answered; it never comes if the leadership is lost before. `None` if this member is not the leader.
    pub fn read_index(&mut self, now: Millis) -> Option<ReadId> {
        let Role::Leader(_) = &self.role else { return None };
        self.last_read_id += 1;
        let id = self.last_read_id;
        self.broadcast(now);
        if let Role::Leader(leader) = &mut self.role {
            let heartbeat_seq = leader.heartbeat_seq;
            leader.pending_reads.push(PendingRead { id, heartbeat_seq });
        }
        self.advance(now);
        self.issue_writes(now);
        Some(id)
    }

    /// Releases the reads that a majority has confirmed. Before the first commit in this term none: until
    /// then the leader may not know of all that is committed.
    pub(super) fn release_reads(&mut self) {
        let confirmed_seq = match self.has_fault(InjectedFault::ReadWithoutQuorum) {
            true => u64::MAX,
            false => self.quorum_value(u64::MAX, |progress| progress.acked_heartbeat_seq),
        };
        let Role::Leader(leader) = &mut self.role else { return };
        if self.commit_index < leader.term_start_index {
            return;
        }
        let reads = std::mem::take(&mut leader.pending_reads);
        let (ready, waiting): (Vec<_>, Vec<_>) =
            reads.into_iter().partition(|read| read.heartbeat_seq <= confirmed_seq);
        leader.pending_reads = waiting;
        self.outputs.extend(ready.into_iter().map(|read| Output::ReadReady(read.id)));
    }
}
