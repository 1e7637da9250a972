//! Owns the log in memory: a snapshot's place and the entries behind it, and who votes as of each place. It must never
//! have a gap.

use super::types::*;

/// The log from the snapshot on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Log<C> {
    /// What stands for the entries before these.
    pub snapshot: Option<Snapshot>,
    entries: Vec<Entry<C>>,
    /// Who votes from an index on, oldest first.
    members: Vec<(Index, Members)>,
}

impl<C: Clone> Log<C> {
    /// As a disk held it.
    pub fn new(snapshot: Option<Snapshot>, entries: Vec<Entry<C>>) -> Self {
        let first = snapshot.as_ref().map(|s| (s.index, s.members.clone()));
        let mut log = Log { snapshot, entries: Vec::new(), members: first.into_iter().collect() };
        log.append(entries);
        log
    }

    /// Index and term of what the snapshot ends with.
    pub fn base(&self) -> (Index, Term) {
        self.snapshot.as_ref().map_or((0, 0), |s| (s.index, s.term))
    }

    /// Index of the last entry.
    pub fn last(&self) -> Index {
        self.base().0 + self.entries.len() as Index
    }

    /// Term and index of the last entry.
    pub fn end(&self) -> (Term, Index) {
        (self.term(self.last()).unwrap_or(0), self.last())
    }

    /// The term of an entry; `None`: before the snapshot's end, or not there.
    pub fn term(&self, index: Index) -> Option<Term> {
        let (base, term) = self.base();
        if index == base {
            return Some(term);
        }
        self.get(index).map(|e| e.term)
    }

    /// An entry.
    pub fn get(&self, index: Index) -> Option<&Entry<C>> {
        self.entries.get(index.checked_sub(self.base().0 + 1)? as usize)
    }

    /// Entries from an index on, so many at the most.
    pub fn from(&self, index: Index, most: usize) -> Vec<Entry<C>> {
        let skip = index.saturating_sub(self.base().0 + 1) as usize;
        self.entries.iter().skip(skip).take(most).cloned().collect()
    }

    /// Puts entries at their places; what stood there and behind goes.
    pub fn append(&mut self, entries: Vec<Entry<C>>) {
        let Some(first) = entries.first().map(|e| e.index) else { return };
        let keep = first.saturating_sub(self.base().0 + 1) as usize;
        self.entries.truncate(keep);
        self.members.retain(|(at, _)| *at < first);
        for entry in entries {
            if let EntryPayload::Members(members) = &entry.body {
                self.members.push((entry.index, members.clone()));
            }
            self.entries.push(entry);
        }
    }

    /// Who votes, by the newest word, committed or not; and where it stands.
    pub fn members(&self) -> (Index, Members) {
        self.members.last().cloned().unwrap_or_default()
    }

    /// Who votes as of an index.
    pub fn members_at(&self, index: Index) -> Members {
        let at = self.members.iter().rev().find(|(at, _)| *at <= index);
        at.map(|m| m.1.clone()).unwrap_or_default()
    }

    /// A snapshot takes the place of what it covers; `whole`: and of all else.
    pub fn compact(&mut self, snapshot: Snapshot, whole: bool) {
        let gone = snapshot.index.saturating_sub(self.base().0) as usize;
        if whole {
            self.entries.clear();
            self.members.clear();
        } else {
            self.entries.drain(..gone.min(self.entries.len()));
            self.members.retain(|(at, _)| *at > snapshot.index);
        }
        self.members.insert(0, (snapshot.index, snapshot.members.clone()));
        self.snapshot = Some(snapshot);
    }

    /// Entries that are held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}
