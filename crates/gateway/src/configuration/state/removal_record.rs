//! The record of removed names: each name of a kind whose [`Record`](super::Record) was dropped, as a fingerprint, with
//! the version of its removal.
//!
//! An entry is kept for good: an earlier version of the item may arrive at any time, and must not bring it back. Names
//! that were never removed have no entry, so nothing about other names restricts their versions. Two names of one kind
//! with one fingerprint share an entry, that of the higher version; then versions of either name up to that one count as
//! forgotten. With n entries that happens to a new name with a probability of n / 2^64.
//!
//! An entry takes 16 bytes in memory, twice that with spare capacity, and 11 to 19 bytes in an encoded state.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Most entries in an encoded frame.
const ENTRIES_PER_FRAME: usize = 1024;
/// Bits of a fingerprint that follow those of its shard's number.
const SHARD_SHIFT: u32 = 56;

/// A removed name. Serialized by position.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct RemovedName {
    fingerprint: u64,
    /// Version of the removal.
    version: u64,
}

/// The removed names of one kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RemovalRecord {
    /// By the first byte of the fingerprint, so that an insertion moves few entries. Shared with encoders, so copied on
    /// write; each is sorted by fingerprint.
    shards: BTreeMap<u8, Arc<Vec<RemovedName>>>,
}

/// Stays the same for good: encoded states have it.
fn fingerprint(label: &str) -> u64 {
    whinstall::identifiers::fnv1a(label)
}

fn shard_number(fingerprint: u64) -> u8 {
    (fingerprint >> SHARD_SHIFT) as u8
}

impl RemovalRecord {
    /// Number of entries.
    pub(super) fn len(&self) -> usize {
        self.shards.values().map(|shard| shard.len()).sum()
    }

    /// Whether no name was recorded yet.
    pub(super) fn is_empty(&self) -> bool {
        self.shards.is_empty()
    }

    /// The version at which this name was removed; `None` if it was not.
    pub(super) fn removed_at_version(&self, label: &str) -> Option<u64> {
        let fingerprint = fingerprint(label);
        let shard = self.shards.get(&shard_number(fingerprint))?;
        let at = shard.binary_search_by_key(&fingerprint, |entry| entry.fingerprint).ok()?;
        Some(shard[at].version)
    }

    /// Records that this name was removed at this version.
    pub(super) fn insert(&mut self, label: &str, version: u64) {
        let fingerprint = fingerprint(label);
        let shard = Arc::make_mut(self.shards.entry(shard_number(fingerprint)).or_default());
        match shard.binary_search_by_key(&fingerprint, |entry| entry.fingerprint) {
            Ok(at) => shard[at].version = shard[at].version.max(version),
            Err(at) => shard.insert(at, RemovedName { fingerprint, version }),
        }
    }

    /// Adds decoded entries, which must follow those that are there. False: they don't.
    pub(super) fn append(&mut self, entries: &[RemovedName]) -> bool {
        entries.iter().all(|entry| self.append_entry(*entry))
    }

    fn append_entry(&mut self, entry: RemovedName) -> bool {
        let last = self.shards.last_key_value().and_then(|(_, shard)| shard.last());
        let is_rising = last.is_none_or(|last| last.fingerprint < entry.fingerprint);
        if is_rising {
            let shard = self.shards.entry(shard_number(entry.fingerprint)).or_default();
            Arc::make_mut(shard).push(entry);
        }
        is_rising
    }

    /// The entries as they are now, in order, for an encoder.
    pub(super) fn frames(&self) -> RemovalFrames {
        RemovalFrames { shards: self.shards.values().cloned().collect(), offset: 0 }
    }
}

/// The entries of a record that are still to be encoded.
pub(super) struct RemovalFrames {
    shards: VecDeque<Arc<Vec<RemovedName>>>,
    /// Entries of the first shard that were taken.
    offset: usize,
}

impl RemovalFrames {
    /// Takes the entries of the next frame; `None`: all were taken.
    pub(super) fn next_frame(&mut self) -> Option<Vec<RemovedName>> {
        let shard = self.shards.front()?;
        let end = shard.len().min(self.offset + ENTRIES_PER_FRAME);
        let frame = shard[self.offset..end].to_vec();
        self.offset = end;
        if end == shard.len() {
            self.shards.pop_front();
            self.offset = 0;
        }
        Some(frame)
    }
}
