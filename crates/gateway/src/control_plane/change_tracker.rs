//! Which keys of a list changed after which change number, so that a receiver that knows the list up to a number can be
//! sent the difference. Each key is held once, with its latest change, so memory is bounded by the list.
//!
//! Invariant: a difference is complete or refused. Once a key is forgotten, receivers that have not seen its last
//! change get no difference any more ([`ChangeTracker::changed_since`] returns `None`) and need the full list.

use std::collections::BTreeMap;

/// Numbers the changes of a list.
#[derive(Clone, Debug)]
pub struct ChangeTracker<K> {
    last_change: u64,
    keys_by_change: BTreeMap<u64, K>,
    change_by_key: BTreeMap<K, u64>,
    /// The highest change number of a forgotten key.
    forgotten_up_to: u64,
}

impl<K> Default for ChangeTracker<K> {
    fn default() -> Self {
        ChangeTracker {
            last_change: 0,
            keys_by_change: BTreeMap::new(),
            change_by_key: BTreeMap::new(),
            forgotten_up_to: 0,
        }
    }
}

impl<K: Clone + Ord> ChangeTracker<K> {
    /// The number of the last change; 0 before the first.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Records a change of this key.
    pub fn record(&mut self, key: &K) {
        self.last_change += 1;
        if let Some(earlier) = self.change_by_key.insert(key.clone(), self.last_change) {
            self.keys_by_change.remove(&earlier);
        }
        self.keys_by_change.insert(self.last_change, key.clone());
    }

    /// Forgets a key that is no longer on the list.
    pub fn forget(&mut self, key: &K) {
        if let Some(change) = self.change_by_key.remove(key) {
            self.keys_by_change.remove(&change);
            self.forgotten_up_to = self.forgotten_up_to.max(change);
        }
    }

    /// The keys that changed after this number, in the order of their changes; `None`: one of them may be forgotten, so
    /// the full list is needed.
    pub fn changed_since(&self, change: u64) -> Option<impl Iterator<Item = &K>> {
        (change >= self.forgotten_up_to).then(|| self.keys_by_change.range(change + 1..).map(|(_, key)| key))
    }
}
