//! The invariants, and the checks that detect violations.

use super::{ClusterState, Machine};
use crate::consensus::*;
use std::sync::Arc;

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Violation {
    /// Election Safety (Raft paper, 5.2).
    TwoLeadersInTerm,
    /// Leader Completeness (5.4): a leader lacks an entry that was committed in an earlier term.
    LeaderLacksCommitted,
    /// State Machine Safety (5.4.3): two entries were applied at one index.
    CommittedDiffers,
    AppliedOutOfOrder,
    /// A message claims state that is not on its sender's disk.
    SentBeforeSync,
    /// A leader began a configuration change before the previous one was committed.
    OverlappingConfChanges,
    /// Two successive configurations differ by more than one member.
    ConfChangeTooLarge,
    /// The entries on a disk are not contiguous.
    GapOnDisk,
    /// A snapshot differs from what was committed, or is not newer than what was applied.
    WrongSnapshot,
    /// A read was released without all that was committed before it began.
    StaleRead,
    TwoLeases,
}

/// An entry that some machine applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct CommittedEntry {
    pub term: Term,
    pub payload: EntryPayload<u8>,
    /// The earliest term in which a machine is known to have applied it.
    pub known_in_term: Term,
}

impl CommittedEntry {
    fn voters(&self) -> Option<&VoterSet> {
        match &self.payload {
            EntryPayload::ConfChange(voters) => Some(voters),
            _ => None,
        }
    }

    fn command(&self) -> Option<u8> {
        match self.payload {
            EntryPayload::Command(value) => Some(value),
            _ => None,
        }
    }
}

/// A machine applies an entry: the next one, and the same as everywhere.
pub(super) fn check_applied(state: &mut ClusterState, machine: &mut Machine, entry: Entry<u8>) {
    if entry.index != machine.applied_index + 1 {
        state.violation = Some(Violation::AppliedOutOfOrder);
    }
    machine.applied_index = entry.index;
    if let EntryPayload::Command(value) = entry.payload {
        machine.applied.push(value);
    }
    let committed = Arc::make_mut(&mut state.committed);
    if let EntryPayload::ConfChange(next) = &entry.payload {
        let previous = committed.range(..entry.index).rev().find_map(|(_, e)| e.voters());
        if previous.is_some_and(|previous| previous.symmetric_difference(next).count() > 1) {
            state.violation = Some(Violation::ConfChangeTooLarge);
        }
    }
    let applied =
        CommittedEntry { term: entry.term, payload: entry.payload, known_in_term: machine.raft.term };
    let known = committed.entry(entry.index).or_insert_with(|| applied.clone());
    known.known_in_term = known.known_in_term.min(applied.known_in_term);
    if (known.term, &known.payload) != (applied.term, &applied.payload) {
        state.violation = Some(Violation::CommittedDiffers);
    }
}

/// A machine installs a snapshot: newer than what it applied, and the same as the committed entries.
pub(super) fn check_snapshot(state: &mut ClusterState, machine: &Machine, snapshot: &Snapshot) {
    let covered = || state.committed.range(..=snapshot.index).map(|(_, entry)| entry);
    let is_committed = state.committed.len() as Index >= snapshot.index;
    let has_commands = covered().filter_map(CommittedEntry::command).eq(snapshot.data.iter().copied());
    let voters = covered().rev().find_map(CommittedEntry::voters);
    let has_voters = voters.is_none_or(|voters| *voters == snapshot.voters);
    let is_newer = snapshot.index > machine.applied_index;
    if !has_voters || !is_committed || !has_commands || !is_newer {
        state.violation = Some(Violation::WrongSnapshot);
    }
}

/// A machine leads: alone in its term, with all that was committed in earlier ones, and with one
/// configuration change at a time.
pub(super) fn check_leader(state: &mut ClusterState, raft: &Raft<u8>) {
    if !state.leaders.contains_key(&raft.term) {
        Arc::make_mut(&mut state.leaders).insert(raft.term, raft.id);
    }
    let snapshot_index = raft.log.snapshot_position().index;
    let lacks = |(index, entry): (&Index, &CommittedEntry)| {
        entry.known_in_term < raft.term
            && *index >= snapshot_index
            && raft.log.term(*index) != Some(entry.term)
    };
    let uncommitted = raft.log.entries_from(raft.commit_index + 1, usize::MAX);
    let changes = || uncommitted.iter().filter(|e| matches!(e.payload, EntryPayload::ConfChange(_)));
    if state.leaders[&raft.term] != raft.id {
        state.violation = Some(Violation::TwoLeadersInTerm);
    } else if state.committed.iter().any(lacks) {
        state.violation = Some(Violation::LeaderLacksCommitted);
    } else if changes().count() > 1
        && raft.commit_index >= snapshot_index.max(1)
        && changes().any(|e| e.term == raft.term)
    {
        state.violation = Some(Violation::OverlappingConfChanges);
    }
}
