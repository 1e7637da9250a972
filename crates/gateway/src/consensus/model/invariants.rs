//! Owns what must never be, and the looks that find it. It must never change a machine.

use super::{Agreed, Machine, World};
use crate::consensus::*;
use std::sync::Arc;

/// What must never be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(in crate::consensus) enum Fault {
    TwoLeaders,
    LeaderLacks,
    Differs,
    OutOfOrder,
    SpokenUnsynced,
    TwoChanges,
    Leap,
    Gap,
    SnapshotWrong,
    StaleRead,
    TwoLeases,
}

/// An entry is handed out: in order, and the same as everywhere.
pub(super) fn applied(world: &mut World, own: &mut Machine, entry: Entry<u8>) {
    if entry.index != own.applied + 1 {
        world.fault = Some(Fault::OutOfOrder);
    }
    own.applied = entry.index;
    if let EntryPayload::Command(value) = entry.body {
        own.state.push(value);
    }
    let agreed = Arc::make_mut(&mut world.agreed);
    if let EntryPayload::Members(next) = &entry.body {
        let before = agreed.range(..entry.index).rev().find_map(|(_, e)| match &e.1 {
            EntryPayload::Members(members) => Some(members),
            _ => None,
        });
        if before.is_some_and(|b| b.symmetric_difference(next).count() > 1) {
            world.fault = Some(Fault::Leap);
        }
    }
    let told = (entry.term, entry.body, own.raft.term);
    let known = agreed.entry(entry.index).or_insert_with(|| told.clone());
    known.2 = known.2.min(told.2);
    if (&known.0, &known.1) != (&told.0, &told.1) {
        world.fault = Some(Fault::Differs);
    }
}

/// Somebody leads: alone in its term, with all that was committed in earlier ones, with one change open at the most.
pub(super) fn led(world: &mut World, raft: &Raft<u8>) {
    if !world.leaders.contains_key(&raft.term) {
        Arc::make_mut(&mut world.leaders).insert(raft.term, raft.me);
    }
    let (base, _) = raft.log.base();
    let lacks = |(index, e): (&Index, &Agreed)| {
        e.2 < raft.term && *index >= base && raft.log.term(*index) != Some(e.0)
    };
    let open = raft.log.from(raft.commit + 1, usize::MAX);
    if world.leaders[&raft.term] != raft.me {
        world.fault = Some(Fault::TwoLeaders);
    } else if world.agreed.iter().any(lacks) {
        world.fault = Some(Fault::LeaderLacks);
    } else if open.iter().filter(|e| matches!(e.body, EntryPayload::Members(_))).count() > 1
        && raft.commit >= base.max(1)
        && open.iter().any(|e| e.term == raft.term && matches!(e.body, EntryPayload::Members(_)))
    {
        world.fault = Some(Fault::TwoChanges);
    }
}
