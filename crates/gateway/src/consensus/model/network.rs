//! The messages in flight.

use super::*;
use crate::consensus::raft::Role;

/// Whether a message has no effect, now or later, whatever becomes of its receiver: the term on a disk never
/// falls, and a member is candidate or leader once in a term.
pub(super) fn is_redundant(receiver: &Machine, message: &Message<u8>) -> bool {
    let (durable_term, raft) = (receiver.persisted.term, &receiver.raft);
    match message {
        Message::RequestVote { .. } | Message::AppendEntries { .. } | Message::InstallSnapshot { .. } => {
            false
        }
        Message::RequestVoteResponse { term, granted: false, .. } => *term <= durable_term,
        Message::RequestVoteResponse { term, .. } => {
            *term < durable_term || *term == durable_term && !matches!(raft.role, Role::Candidate { .. })
        }
        Message::AppendEntriesResponse { term, .. } | Message::InstallSnapshotResponse { term, .. } => {
            *term < durable_term || *term == durable_term && !raft.is_leader()
        }
        Message::TimeoutNow { term } => *term < durable_term,
    }
}

/// Whether all that a message claims is on its sender's disk.
fn is_durable(sender: &Machine, to: NodeId, message: &Message<u8>) -> bool {
    let persisted = &sender.persisted;
    match message {
        Message::RequestVote { pre_vote: true, .. } | Message::RequestVoteResponse { pre_vote: true, .. } => {
            true
        }
        Message::RequestVoteResponse { term, granted: true, .. } => {
            persisted.term > *term || (persisted.term == *term && persisted.vote == Some(to))
        }
        Message::AppendEntriesResponse { term, index, success: true, .. } => {
            let snapshot_index = persisted.snapshot.as_ref().map_or(0, |s| s.index);
            persisted.term >= *term && snapshot_index + persisted.entries.len() as Index >= *index
        }
        other => persisted.term >= other.term(),
    }
}

impl ClusterModel {
    /// This fault takes effect by messages that are redundant without it.
    pub(super) fn keeps_redundant_messages(&self) -> bool {
        self.injected_fault == Some(InjectedFault::AcceptStaleResponse)
    }

    /// Puts a message on its way, unless it is redundant or the same one is in flight already.
    pub(super) fn send(
        &self,
        state: &mut ClusterState,
        sender: &Machine,
        to: NodeId,
        mut message: Message<u8>,
    ) {
        if self.checks_durability && !is_durable(sender, to, &message) {
            state.violation = Some(Violation::SentBeforeSync);
        }
        let receiver = state.machines.get(machine_of(to)).filter(|machine| machine.raft.id == to);
        let keeps_redundant = self.keeps_redundant_messages();
        if receiver.is_none_or(|receiver| !keeps_redundant && is_redundant(receiver, &message)) {
            return;
        }
        if !self.has_heartbeat_seqs() {
            match &mut message {
                Message::AppendEntries { heartbeat_seq, .. }
                | Message::AppendEntriesResponse { heartbeat_seq, .. }
                | Message::InstallSnapshot { heartbeat_seq, .. }
                | Message::InstallSnapshotResponse { heartbeat_seq, .. } => *heartbeat_seq = 0,
                _ => {}
            }
        }
        let envelope = Envelope { from: sender.raft.id, to, message };
        if state.network.iter().any(|other| **other == envelope) {
            return;
        }
        let link = |envelope: &Envelope| (envelope.from, envelope.to);
        let this_link = link(&envelope);
        let end = state.network.partition_point(|other| link(other) <= this_link);
        state.network.insert(end, Arc::new(envelope));
        let start = state.network.partition_point(|other| link(other) < this_link);
        if end + 1 - start > self.max_in_flight {
            state.network.remove(start);
        }
    }
}
