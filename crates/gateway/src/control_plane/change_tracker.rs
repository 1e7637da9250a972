//! Owns which keys of a list changed after which number: what somebody lacks who knows it up to a number. It holds each key
//! once, whatever changed and however often, so it never grows beyond the list. It must never tell a difference from which
//! something is left out.

use std::collections::BTreeMap;

/// The changes of a list, numbered.
#[derive(Clone, Debug)]
pub struct ChangeTracker<K> {
    last: u64,
    keys: BTreeMap<u64, K>,
    numbers: BTreeMap<K, u64>,
    /// What changed up to here is not told by differences any more.
    forgotten: u64,
}

impl<K> Default for ChangeTracker<K> {
    fn default() -> Self {
        ChangeTracker { last: 0, keys: BTreeMap::new(), numbers: BTreeMap::new(), forgotten: 0 }
    }
}

impl<K: Clone + Ord> ChangeTracker<K> {
    /// The number of the last change.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// This key changed.
    pub fn touch(&mut self, key: &K) {
        self.last += 1;
        if let Some(old) = self.numbers.insert(key.clone(), self.last) {
            self.keys.remove(&old);
        }
        self.keys.insert(self.last, key.clone());
    }

    /// This key is of no list any more: who has not heard so yet has to be told all.
    pub fn forget(&mut self, key: &K) {
        if let Some(number) = self.numbers.remove(key) {
            self.keys.remove(&number);
            self.forgotten = self.forgotten.max(number);
        }
    }

    /// The keys that changed after this number; `None`: some of them were forgotten since.
    pub fn since(&self, number: u64) -> Option<impl Iterator<Item = &K>> {
        (number >= self.forgotten).then(|| self.keys.range(number + 1..).map(|(_, key)| key))
    }
}
