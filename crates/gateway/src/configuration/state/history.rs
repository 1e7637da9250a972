//! What is remembered of versions that are not current: superseded ones and tombstones, both bounded, and for each
//! removed name that has no tombstone any more the version of its removal.

use super::{ConfigState, SupersededVersion, Tombstone, MAX_TOMBSTONES};
use crate::configuration::content_hash::semantic_hash;
use crate::configuration::item::{ConfigItem, ItemKind};

/// What is remembered of one version of a name.
pub(super) enum Recollection {
    /// The version was confirmed, with content of this hash.
    Confirmed(u64),
    /// The version was not confirmed.
    NeverConfirmed,
    /// Whether the version was confirmed is not known, as of no version up to this one that is not in the history.
    Forgotten {
        /// The highest such version.
        up_to: u64,
    },
}

impl ConfigState {
    pub(super) fn recall(&self, kind: ItemKind, label: &str, version: u64) -> Recollection {
        let record = self.record(kind, label);
        if let Some(record) = record {
            if record.item.version == version {
                return Recollection::Confirmed(record.hash);
            }
            if let Ok(at) = record.history.binary_search_by_key(&version, |p| p.version) {
                return Recollection::Confirmed(record.history[at].hash);
            }
        }
        if record.is_none() && self.recorded_removal(kind, label) == Some(version) {
            return Recollection::Confirmed(semantic_hash(None));
        }
        let forgotten_up_to =
            record.map_or_else(|| self.forgotten_version(kind, label), |r| r.forgotten_up_to);
        match forgotten_up_to.filter(|up_to| version <= *up_to) {
            Some(up_to) => Recollection::Forgotten { up_to },
            None => Recollection::NeverConfirmed,
        }
    }

    /// Version of the removal of a name whose tombstone was dropped.
    pub(super) fn recorded_removal(&self, kind: ItemKind, label: &str) -> Option<u64> {
        self.removal_record(kind)?.removed_at_version(label)
    }

    /// Of a name without a record: up to this version it is not known what was confirmed.
    pub(super) fn forgotten_version(&self, kind: ItemKind, label: &str) -> Option<u64> {
        self.recorded_removal(kind, label).max(self.forgotten_up_to[kind as usize])
    }

    /// Can an item of this kind and name have existed at any time?
    pub(super) fn may_have_existed(&self, kind: ItemKind, label: &str) -> bool {
        self.record(kind, label).is_some() || self.forgotten_version(kind, label).is_some()
    }

    /// For a name that has just got a record again: remembers its last removal as a superseded version.
    pub(super) fn remember_earlier_removal(&mut self, item: &ConfigItem) {
        if let Some(version) = self.recorded_removal(item.kind, &item.label) {
            let removal = ConfigItem { kind: item.kind, label: item.label.clone(), version, body: None };
            self.remember_superseded(&removal, semantic_hash(None));
        }
    }

    /// Remembers that this version is confirmed, if it is lower than the current one.
    pub(super) fn remember_superseded(&mut self, item: &ConfigItem, hash: u64) {
        let sequence = self.next_sequence;
        let Some(record) = self.record_mut(item.kind, &item.label) else { return };
        if item.version >= record.item.version {
            return;
        }
        let at = record.history.partition_point(|p| p.version < item.version);
        record.history.insert(at, SupersededVersion { version: item.version, hash, sequence });
        self.superseded.insert(sequence, (item.kind, item.label.as_str().into()));
        self.next_sequence += 1;
    }

    /// Forgets superseded versions over the bound, those superseded first.
    pub(super) fn prune_superseded(&mut self) {
        while self.superseded.len() > self.max_superseded {
            let Some((sequence, (kind, label))) = self.superseded.pop_first() else { return };
            let Some(record) = self.record_mut(kind, &label) else { continue };
            // Mostly the first: versions are superseded in rising order, as a rule.
            let at = record.history.iter().position(|p| p.sequence == sequence);
            if let Some(forgotten) = at.and_then(|at| record.history.remove(at)) {
                record.forgotten_up_to = record.forgotten_up_to.max(Some(forgotten.version));
            }
        }
    }

    /// Drops the first tombstones over the bound, with all that is remembered of their names but the removal.
    pub(super) fn prune_tombstones(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some(Tombstone { version, kind, label, .. }) = self.tombstones.pop_first() else { return };
            if let Some(record) = self.records[kind as usize].remove(&label) {
                for superseded in &record.history {
                    self.superseded.remove(&superseded.sequence);
                }
            }
            match &mut self.removal_records {
                Some(records) => records[kind as usize].insert(&label, version),
                None => {
                    let forgotten_up_to = &mut self.forgotten_up_to[kind as usize];
                    *forgotten_up_to = (*forgotten_up_to).max(Some(version));
                }
            }
        }
    }
}
