//! The log in memory: a snapshot, the entries after it without a gap, and the configuration at each index.

use super::{Entry, EntryPayload, Index, LastLogPosition, LogPosition, Snapshot, Term, VoterSet};

/// A configuration, and the index of the entry or snapshot that it is from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Configuration {
    pub index: Index,
    pub voters: VoterSet,
}

/// The log, from the snapshot on. Entry `i` of `entries` has the index `snapshot index + 1 + i`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Log<C> {
    /// Replaces the entries up to its index.
    pub snapshot: Option<Snapshot>,
    entries: Vec<Entry<C>>,
    /// The configurations of the snapshot and of the entries, oldest first.
    configurations: Vec<Configuration>,
}

impl<C: Clone> Log<C> {
    /// A log as a disk holds it.
    pub fn new(snapshot: Option<Snapshot>, entries: Vec<Entry<C>>) -> Self {
        let first = snapshot.as_ref().map(|s| Configuration { index: s.index, voters: s.voters.clone() });
        let mut log = Log { snapshot, entries: Vec::new(), configurations: first.into_iter().collect() };
        log.append(entries);
        log
    }

    /// Position of the last entry that the snapshot covers; (0, 0) without a snapshot.
    pub fn snapshot_position(&self) -> LogPosition {
        let position = |s: &Snapshot| LogPosition { index: s.index, term: s.term };
        self.snapshot.as_ref().map(position).unwrap_or_default()
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> Index {
        self.snapshot_position().index + self.entries.len() as Index
    }

    /// Position of the last entry, as elections compare it.
    pub fn last_position(&self) -> LastLogPosition {
        let index = self.last_index();
        LastLogPosition { term: self.term(index).unwrap_or(0), index }
    }

    /// Term of an entry, or of the last one that the snapshot covers. `None` for others.
    pub fn term(&self, index: Index) -> Option<Term> {
        let snapshot = self.snapshot_position();
        if index == snapshot.index {
            return Some(snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// An entry after the snapshot.
    pub fn get(&self, index: Index) -> Option<&Entry<C>> {
        self.entries.get(index.checked_sub(self.snapshot_position().index + 1)? as usize)
    }

    /// Entries from an index on, `limit` at most.
    pub fn entries_from(&self, index: Index, limit: usize) -> Vec<Entry<C>> {
        let skipped = index.saturating_sub(self.snapshot_position().index + 1) as usize;
        self.entries.iter().skip(skipped).take(limit).cloned().collect()
    }

    /// Appends contiguous entries at their indexes; entries that were there and after them are dropped.
    pub fn append(&mut self, entries: Vec<Entry<C>>) {
        let Some(first) = entries.first().map(|entry| entry.index) else { return };
        let kept = first.saturating_sub(self.snapshot_position().index + 1) as usize;
        self.entries.truncate(kept);
        self.configurations.retain(|configuration| configuration.index < first);
        for entry in entries {
            if let EntryPayload::ConfChange(voters) = &entry.payload {
                self.configurations.push(Configuration { index: entry.index, voters: voters.clone() });
            }
            self.entries.push(entry);
        }
    }

    /// The latest configuration, committed or not; empty if there is none.
    pub fn configuration(&self) -> Configuration {
        self.configurations.last().cloned().unwrap_or_default()
    }

    /// The voters as of an index.
    pub fn voters_at(&self, index: Index) -> VoterSet {
        let latest = self.configurations.iter().rev().find(|configuration| configuration.index <= index);
        latest.map(|configuration| configuration.voters.clone()).unwrap_or_default()
    }

    /// A snapshot replaces the entries that it covers; with `replaces_log` all entries.
    pub fn compact(&mut self, snapshot: Snapshot, replaces_log: bool) {
        let covered = snapshot.index.saturating_sub(self.snapshot_position().index) as usize;
        if replaces_log {
            self.entries.clear();
            self.configurations.clear();
        } else {
            self.entries.drain(..covered.min(self.entries.len()));
            self.configurations.retain(|configuration| configuration.index > snapshot.index);
        }
        let configuration = Configuration { index: snapshot.index, voters: snapshot.voters.clone() };
        self.configurations.insert(0, configuration);
        self.snapshot = Some(snapshot);
    }

    /// How many entries there are after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}
