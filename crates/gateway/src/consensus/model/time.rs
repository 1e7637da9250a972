//! Owns what the model does to times, rounds and numbers of writes, so that none grows. It must never change what may come
//! of them: only their differences matter to the code, and what is older than any span is all the same.

use super::{Machine, ELECTION, NOW};
use crate::consensus::*;

/// Numbers of writes count from the last one that is synced.
pub(super) fn renumber(own: &mut Machine) {
    let synced = own.raft.synced;
    let raft = &mut own.raft;
    raft.number -= synced;
    raft.hard = raft.hard.saturating_sub(synced);
    raft.unsynced.iter_mut().for_each(|u| u.number -= synced);
    raft.waiting.iter_mut().filter(|w| w.0 != u64::MAX).for_each(|w| w.0 -= synced);
    own.writing.iter_mut().for_each(|w| w.0 -= synced);
    raft.synced = 0;
}

/// Nothing is remembered of when something was.
pub(super) fn without_time(raft: &mut Raft<u8>, rounds: bool) {
    (raft.heard, raft.sure, raft.told_commit, raft.started, raft.election_at) = (None, None, 0, 0, 0);
    raft.unsynced.iter_mut().for_each(|u| u.since = 0);
    if !rounds {
        raft.heard_round = 0;
    }
    let Role::Leader(leader) = &mut raft.role else { return };
    (leader.since, leader.sent) = (0, 0);
    leader.rounds.clear();
    if let Some(transfer) = &mut leader.transfer {
        transfer.1 = 0;
    }
    if !rounds {
        leader.round = 0;
    }
    for p in leader.peers.values_mut() {
        (p.heard, p.contact) = (0, 0);
        if !rounds {
            p.round = 0;
        }
        if let Some(pieces) = &mut p.pieces {
            pieces.at = 0;
        }
    }
}

/// Each time that is remembered.
fn times(raft: &mut Raft<u8>, mut each: impl FnMut(&mut Millis)) {
    each(&mut raft.started);
    raft.heard.iter_mut().for_each(&mut each);
    raft.unsynced.iter_mut().for_each(|u| each(&mut u.since));
    let Role::Leader(leader) = &mut raft.role else { return };
    each(&mut leader.since);
    each(&mut leader.sent);
    leader.rounds.iter_mut().for_each(|r| each(&mut r.1));
    leader.transfer.iter_mut().for_each(|t| each(&mut t.1));
    for p in leader.peers.values_mut() {
        each(&mut p.heard);
        each(&mut p.contact);
    }
}

pub(super) fn older(raft: &mut Raft<u8>) {
    times(raft, |at| *at = at.saturating_sub(1));
    forget(raft);
}

/// What is so old that it changes nothing is all the same.
pub(super) fn forget(raft: &mut Raft<u8>) {
    (raft.sure, raft.told_commit, raft.election_at) = (None, 0, 0);
    raft.unsynced.iter_mut().for_each(|u| u.since = 0);
    times(raft, |at| *at = (*at).max(NOW - ELECTION - 1));
    raft.heard = raft.heard.filter(|at| NOW < at + ELECTION);
    if let Role::Leader(leader) = &mut raft.role {
        // These are looked at by nothing that happens here.
        leader.sent = 0;
        leader.transfer.iter_mut().for_each(|t| t.1 = 0);
        while leader.rounds.front().is_some_and(|r| r.1 < NOW - ELECTION) {
            leader.rounds.pop_front();
        }
    }
}
