//! Owns a gatekeeper's copy of what stands: as of an entry of the core's log. It must never go back to an earlier entry, nor
//! take changes that don't go on from where it is, nor keep more of an item than is served by.

use super::active_config::ActiveItem;
use super::item::{ConfigItem, ItemKind};
use std::collections::BTreeMap;

/// What became of something told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaUpdate {
    /// It is in force.
    Applied,
    /// It was in force already, or something newer is.
    Stale,
    /// Changes before it are lacking.
    Gap,
}

/// Of the items that stand, as of an entry, what is served by.
#[derive(Clone, Debug, Default)]
pub struct ConfigReplica {
    index: u64,
    parts: BTreeMap<(ItemKind, Box<str>), ActiveItem>,
}

impl ConfigReplica {
    /// The entry that changed it last; 0: nothing is known.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Is nothing known at all?
    pub fn is_empty(&self) -> bool {
        self.index == 0
    }

    /// The parts of all items that stand.
    pub fn active_items(&self) -> impl Iterator<Item = &ActiveItem> {
        self.parts.values()
    }

    /// Takes all that stands as of an entry (`from`: none), or what that entry changed behind another one.
    pub fn apply_update(&mut self, from: Option<u64>, index: u64, items: Vec<ConfigItem>) -> ReplicaUpdate {
        if index <= self.index {
            return ReplicaUpdate::Stale;
        }
        match from {
            None => self.parts.clear(),
            Some(from) if from != self.index => return ReplicaUpdate::Gap,
            Some(_) => {}
        }
        self.index = index;
        // Each item goes as soon as its part is made: all of them as JSON take many times the parts' memory.
        for item in items {
            let part = ActiveItem::from_item(&item);
            let name = (item.kind, item.label.into_boxed_str());
            match part {
                Some(part) => self.parts.insert(name, part),
                None => self.parts.remove(&name),
            };
        }
        ReplicaUpdate::Applied
    }
}
