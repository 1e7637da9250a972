//! An edge node's replica of the active configuration, as of an entry of the core's log. It never goes back to an
//! earlier entry, never applies changes that leave a gap, and keeps of an item only what requests are served by.

use super::active_config::ActiveItem;
use super::item::{ConfigItem, ItemKind};
use std::collections::BTreeMap;

/// Outcome of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaUpdate {
    /// The update is in force now.
    Applied,
    /// This update or a newer one was in force already; nothing changed.
    Stale,
    /// Earlier changes are missing, so nothing changed; the core must send a full update.
    Gap,
}

/// What requests are served by of the active items, as of an entry of the core's log.
#[derive(Clone, Debug, Default)]
pub struct ConfigReplica {
    index: u64,
    active_items: BTreeMap<(ItemKind, Box<str>), ActiveItem>,
}

impl ConfigReplica {
    /// Index of the entry that changed the configuration last; 0: no update was applied yet.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Was no update applied yet?
    pub fn is_empty(&self) -> bool {
        self.index == 0
    }

    /// All active items.
    pub fn active_items(&self) -> impl Iterator<Item = &ActiveItem> + Clone {
        self.active_items.values()
    }

    /// Applies an update as of the entry at `index`: all active items (`previous` is `None`), or those that changed
    /// since the entry at `previous`.
    pub fn apply_update(
        &mut self,
        previous: Option<u64>,
        index: u64,
        items: Vec<ConfigItem>,
    ) -> ReplicaUpdate {
        if index <= self.index {
            return ReplicaUpdate::Stale;
        }
        match previous {
            None => self.active_items.clear(),
            Some(previous) if previous != self.index => return ReplicaUpdate::Gap,
            Some(_) => {}
        }
        self.index = index;
        // Each item is dropped as soon as it is converted: as JSON, all of them take many times the memory.
        for item in items {
            let active = ActiveItem::from_item(&item);
            let name = (item.kind, item.label.into_boxed_str());
            match active {
                Some(active) => self.active_items.insert(name, active),
                None => self.active_items.remove(&name),
            };
        }
        ReplicaUpdate::Applied
    }
}
