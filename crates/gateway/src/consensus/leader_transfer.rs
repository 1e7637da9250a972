//! Leadership transfer (dissertation, 3.10).
//!
//! The leader stops taking proposals, waits until the target has its complete log, and then sends it
//! [`Message::TimeoutNow`] to start an election. That election disregards the lease, so the leader gives its
//! lease up for the rest of its leadership.

use super::raft::Role;
use super::{InjectedFault, Message, Millis, NodeId, Raft};

/// A transfer in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct LeaderTransfer {
    pub target: NodeId,
    pub started_at: Millis,
}

impl<C: Clone> Raft<C> {
    /// Transfers the leadership to the most up-to-date voter that was heard recently, because this process
    /// ends or its disk is stalled. Has no effect on a member that is not the leader, or if no voter is
    /// available.
    pub fn transfer_leadership(&mut self, now: Millis) {
        let voters = self.voters();
        let election_timeout = self.config.election_timeout;
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.transfer.is_some() {
            return;
        }
        let candidates =
            leader.peers.iter().filter(|(id, p)| voters.contains(id) && now < p.heard_at + election_timeout);
        let Some((target, _)) = candidates.max_by_key(|(_, p)| p.match_index) else { return };
        leader.transfer = Some(LeaderTransfer { target: *target, started_at: now });
        self.send_timeout_now();
        self.issue_writes(now);
    }

    /// Sends `TimeoutNow` to the target of a transfer once its log is complete: with entries missing it could
    /// not win the election.
    pub(super) fn send_timeout_now(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let Some(LeaderTransfer { target, .. }) = leader.transfer else { return };
        let last_index = self.log.last_index();
        let is_caught_up = leader.peers.get(&target).is_some_and(|p| p.match_index >= last_index);
        if is_caught_up || self.has_fault(InjectedFault::TransferToLaggingFollower) {
            self.send(target, Message::TimeoutNow { term: self.term });
        }
    }
}
