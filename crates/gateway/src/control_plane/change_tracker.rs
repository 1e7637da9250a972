//! Change numbers of the keys of a list, so that a receiver which has the list up to one change can be sent the
//! difference to the present. Each key is stored once, with its latest change, so memory is bounded by the length of
//! the list.
//!
//! Invariant: a returned difference is complete. Once a key is forgotten, a receiver that has not seen the key's last
//! change gets no difference ([`ChangeTracker::changed_since`] returns `None`) and needs the full list.

use std::collections::BTreeMap;

/// Assigns consecutive numbers to the changes of a list.
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
    /// Number of the last change; 0 before the first.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Records a change of this key under the next number.
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

    /// Returns the keys that changed after this change, in the order of their changes, or `None` if one of them may be
    /// forgotten, so that the full list is needed.
    pub fn changed_since(&self, change: u64) -> Option<impl Iterator<Item = &K>> {
        (change >= self.forgotten_up_to).then(|| self.keys_by_change.range(change + 1..).map(|(_, key)| key))
    }
}
