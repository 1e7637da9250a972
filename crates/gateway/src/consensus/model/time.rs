//! Keeps times, numbers of broadcasts and numbers of writes from growing. The code looks only at their
//! differences, and whatever is older than every timeout has the same effect, so this takes no behaviour
//! away.

use super::{Machine, ELECTION_TIMEOUT, NOW};
use crate::consensus::raft::Role;
use crate::consensus::*;

/// Counts write batches from the last durable one.
pub(super) fn renumber_writes(machine: &mut Machine) {
    let queue = &mut machine.raft.write_queue;
    let durable = queue.last_durable;
    queue.last_issued -= durable;
    queue.hard_state_write = queue.hard_state_write.saturating_sub(durable);
    queue.pending.iter_mut().for_each(|write| write.id -= durable);
    queue.held_messages.iter_mut().filter_map(|held| held.after.as_mut()).for_each(|after| *after -= durable);
    queue.last_durable = 0;
    machine.disk_queue.iter_mut().for_each(|write| write.id -= durable);
}

/// Without clocks: forgets when anything was, and, unless they matter, the numbers of broadcasts.
pub(super) fn clear_times(raft: &mut Raft<u8>, keeps_heartbeat_seqs: bool) {
    raft.leader_heard_at = None;
    clear_unused(raft);
    raft.started_at = 0;
    if !keeps_heartbeat_seqs {
        raft.seen_heartbeat_seq = 0;
    }
    let Role::Leader(leader) = &mut raft.role else { return };
    leader.elected_at = 0;
    leader.sent_heartbeats.clear();
    if !keeps_heartbeat_seqs {
        leader.heartbeat_seq = 0;
    }
    for progress in leader.peers.values_mut() {
        (progress.heard_at, progress.contact_at) = (0, 0);
        if !keeps_heartbeat_seqs {
            progress.acked_heartbeat_seq = 0;
        }
        if let Some(transfer) = &mut progress.transfer {
            transfer.progress_at = 0;
        }
    }
}

/// Clears the times that no action of the model depends on.
fn clear_unused(raft: &mut Raft<u8>) {
    (raft.quorum_confirmed_at, raft.leader_commit, raft.election_deadline) = (None, 0, 0);
    raft.write_queue.pending.iter_mut().for_each(|write| write.issued_at = 0);
    if let Role::Leader(leader) = &mut raft.role {
        leader.broadcast_at = 0;
        leader.transfer.iter_mut().for_each(|transfer| transfer.started_at = 0);
    }
}

fn for_each_time(raft: &mut Raft<u8>, mut change: impl FnMut(&mut Millis)) {
    change(&mut raft.started_at);
    raft.leader_heard_at.iter_mut().for_each(&mut change);
    let Role::Leader(leader) = &mut raft.role else { return };
    change(&mut leader.elected_at);
    leader.sent_heartbeats.iter_mut().for_each(|sent| change(&mut sent.sent_at));
    for progress in leader.peers.values_mut() {
        change(&mut progress.heard_at);
        change(&mut progress.contact_at);
    }
}

/// With clocks: one tick passes on a machine's clock.
pub(super) fn age(raft: &mut Raft<u8>) {
    for_each_time(raft, |at| *at = at.saturating_sub(1));
    clamp_times(raft);
}

/// With clocks: whatever is older than every timeout becomes equally old.
pub(super) fn clamp_times(raft: &mut Raft<u8>) {
    clear_unused(raft);
    for_each_time(raft, |at| *at = (*at).max(NOW - ELECTION_TIMEOUT - 1));
    raft.leader_heard_at = raft.leader_heard_at.filter(|at| NOW < at + ELECTION_TIMEOUT);
    if let Role::Leader(leader) = &mut raft.role {
        while leader.sent_heartbeats.front().is_some_and(|sent| sent.sent_at < NOW - ELECTION_TIMEOUT) {
            leader.sent_heartbeats.pop_front();
        }
    }
}
