//! Applying a change: compare its versions with what is remembered, validate, then make them current.

use super::history::Recollection;
use super::{ChangeOutcome, ConfigState, ForgottenVersion, Record};
use crate::configuration::change::ChangeError;
use crate::configuration::content_hash::{semantic_hash, verbatim_hash};
use crate::configuration::fields::ItemFields;
use crate::configuration::item::{ConfigItem, ItemKind};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// An item of a change with the hash of its content.
#[derive(Clone, Copy)]
pub(super) struct HashedItem<'a> {
    pub(super) item: &'a ConfigItem,
    hash: u64,
}

impl<'a> HashedItem<'a> {
    fn new(item: &'a ConfigItem) -> Self {
        HashedItem { item, hash: semantic_hash(item.body.as_ref().map(ItemFields::to_map).as_ref()) }
    }

    /// Does a confirmed version with this hash have this item's content? Disks of earlier builds have hashes of the
    /// fields as they were sent.
    fn matches(&self, confirmed: u64) -> bool {
        let verbatim = || verbatim_hash(self.item.body.as_ref().map(ItemFields::to_map).as_ref());
        confirmed == self.hash || confirmed == verbatim()
    }
}

/// A change's items by name, then by version.
pub(super) type ProposedVersions<'a> = BTreeMap<(ItemKind, &'a str), BTreeMap<u64, HashedItem<'a>>>;

/// Of each name the highest version in a change, where it is higher than the current one.
pub(super) type NewVersions<'a> = BTreeMap<(ItemKind, &'a str), HashedItem<'a>>;

/// A change compared with what is remembered.
struct Comparison<'a> {
    /// The versions that become current.
    new: NewVersions<'a>,
    /// All versions that were not confirmed before; includes those of `new`.
    unconfirmed: Vec<HashedItem<'a>>,
}

impl ConfigState {
    /// Applies the change of the log entry at `index`, whole or not at all; the cost depends on the size of the change
    /// alone. Where a name comes twice the higher version becomes current, and the lower one is confirmed as
    /// superseded.
    ///
    /// Precedence of the outcomes: a conflict, then an indeterminate version, then an invalid configuration.
    pub fn apply(&mut self, index: u64, change: &[ConfigItem]) -> ChangeOutcome {
        let compared = group_by_version(change)
            .and_then(|proposed| self.compare(&proposed).map(|comparison| (proposed, comparison)));
        let (proposed, Comparison { new, unconfirmed }) = match compared {
            Ok(compared) => compared,
            Err(outcome) => return outcome,
        };
        let becomes_current = |i: &ConfigItem| {
            new.get(&(i.kind, i.label.as_str())).is_some_and(|n| n.item.version == i.version)
        };
        let mut superseded = unconfirmed.iter().filter(|u| !becomes_current(u.item));
        let violation = self
            .violation_of(&new)
            .or_else(|| superseded.find_map(|u| self.violation_at_any_time(u.item, &proposed)));
        if let Some(violation) = violation {
            return ChangeOutcome::Invalid(violation);
        }
        let applied = self.make_current(index, new.into_values());
        for HashedItem { item, hash } in unconfirmed {
            self.remember_superseded(item, hash);
        }
        self.prune_superseded();
        self.prune_tombstones();
        if applied.is_empty() {
            return ChangeOutcome::AlreadyApplied;
        }
        self.last_change_index = index;
        ChangeOutcome::Applied(applied)
    }

    /// An error is the outcome of the change.
    fn compare<'a>(&self, proposed: &ProposedVersions<'a>) -> Result<Comparison<'a>, ChangeOutcome> {
        let (mut new, mut unconfirmed) = (NewVersions::new(), Vec::new());
        let mut forgotten = None;
        for (&(kind, label), versions) in proposed {
            for (&version, proposed_item) in versions {
                match self.recall(kind, label, version) {
                    // Goes before everything that is forgotten: this change can't have been confirmed.
                    Recollection::Confirmed(hash) if !proposed_item.matches(hash) => {
                        return Err(conflict(proposed_item.item));
                    }
                    Recollection::Confirmed(_) => {}
                    Recollection::Forgotten { up_to } => {
                        forgotten.get_or_insert_with(|| forgotten_version(proposed_item.item, up_to));
                    }
                    Recollection::NeverConfirmed => unconfirmed.push(*proposed_item),
                }
            }
            let current = self.current_version(kind, label);
            let highest = versions.last_key_value().map(|(_, highest)| *highest);
            if let Some(highest) = highest.filter(|h| Some(h.item.version) > current) {
                new.insert((kind, label), highest);
            }
        }
        match forgotten {
            Some(forgotten) => Err(ChangeOutcome::Indeterminate(forgotten)),
            None => Ok(Comparison { new, unconfirmed }),
        }
    }

    /// The version of a name that is current: of its active item or of its removal.
    fn current_version(&self, kind: ItemKind, label: &str) -> Option<u64> {
        let record = self.record(kind, label);
        record.map_or_else(|| self.recorded_removal(kind, label), |r| Some(r.item.version))
    }

    /// Puts these versions in force, as of the entry at `index`; returns them.
    fn make_current<'a>(
        &mut self,
        index: u64,
        new: impl Iterator<Item = HashedItem<'a>>,
    ) -> Vec<Arc<ConfigItem>> {
        let new: Vec<(u64, Arc<ConfigItem>)> =
            new.map(|HashedItem { item, hash }| (hash, Arc::new(item.clone()))).collect();
        // All old versions leave the lookups first: a credential may move from one tenant to another.
        for (_, item) in &new {
            if let Some(old) = self.records[item.kind as usize].get(&item.label).cloned() {
                self.remove_from_lookups(&old);
            }
        }
        for &(hash, ref item) in &new {
            self.set_current(index, item, hash);
        }
        new.into_iter().map(|(_, item)| item).collect()
    }

    /// Makes a version the current one of its name, and adds it to the lookups.
    fn set_current(&mut self, index: u64, item: &Arc<ConfigItem>, hash: u64) {
        let is_recorded_removal = item.body.is_none() && self.records_removals();
        let removed_at = if is_recorded_removal { index } else { 0 };
        match self.record_mut(item.kind, &item.label) {
            Some(record) => {
                let old = std::mem::replace(&mut record.item, Arc::clone(item));
                let old_hash = std::mem::replace(&mut record.hash, hash);
                record.removed_at = removed_at;
                self.remember_superseded(&old, old_hash);
            }
            None => {
                let record = Record {
                    item: Arc::clone(item),
                    hash,
                    history: VecDeque::new(),
                    forgotten_up_to: self.forgotten_version(item.kind, &item.label),
                    removed_at,
                };
                self.records[item.kind as usize].insert(item.label.clone(), Arc::new(record));
                self.remember_earlier_removal(item);
            }
        }
        if let Some(record) = self.records[item.kind as usize].get(&item.label).cloned() {
            self.add_to_lookups(&record);
        }
    }
}

/// An error is the outcome: a version comes twice with two contents.
fn group_by_version(change: &[ConfigItem]) -> Result<ProposedVersions<'_>, ChangeOutcome> {
    let mut proposed = ProposedVersions::new();
    for item in change {
        let hashed = HashedItem::new(item);
        let versions = proposed.entry((item.kind, &item.label)).or_default();
        if versions.insert(item.version, hashed).is_some_and(|other| other.hash != hashed.hash) {
            return Err(conflict(item));
        }
    }
    Ok(proposed)
}

fn forgotten_version(item: &ConfigItem, forgotten_up_to: u64) -> ForgottenVersion {
    let (set, label) = (item.kind.set_name(), item.label.clone());
    ForgottenVersion { set, label, version: item.version, forgotten_up_to }
}

fn conflict(item: &ConfigItem) -> ChangeOutcome {
    let (set, label) = (item.kind.set_name(), item.label.clone());
    ChangeOutcome::Conflict(ChangeError::VersionContentMismatch { set, label, version: item.version })
}
