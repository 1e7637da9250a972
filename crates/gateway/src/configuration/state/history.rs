//! What is remembered of versions that are not current: superseded ones and tombstones, both bounded.

use super::{ConfigState, SupersededVersion, MAX_TOMBSTONES};
use crate::configuration::item::{ConfigItem, ItemKind};

/// What is remembered of one version of a name.
pub(super) enum Recollection {
    /// The version was confirmed, with content of this hash.
    Confirmed(u64),
    /// The version was not confirmed.
    NeverConfirmed,
    /// The version is older than the history; whether it was confirmed is not known.
    Forgotten,
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
        let forgotten_up_to = record.map_or(self.forgotten_up_to[kind as usize], |r| r.forgotten_up_to);
        match Some(version) <= forgotten_up_to {
            true => Recollection::Forgotten,
            false => Recollection::NeverConfirmed,
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

    /// Forgets tombstones over the bound, those of the lowest versions, with all that is remembered of their names.
    pub(super) fn prune_tombstones(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some((version, kind, label)) = self.tombstones.pop_first() else { return };
            if let Some(record) = self.records[kind as usize].remove(&label) {
                for superseded in &record.history {
                    self.superseded.remove(&superseded.sequence);
                }
            }
            let forgotten_up_to = &mut self.forgotten_up_to[kind as usize];
            *forgotten_up_to = (*forgotten_up_to).max(Some(version));
        }
    }
}
