//! What is remembered of one name: its current version and the earlier ones that were confirmed.

use crate::configuration::item::{ConfigItem, ItemKind};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// A confirmed version that was superseded. Serialized by position.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct SupersededVersion {
    pub(super) version: u64,
    pub(super) hash: u64,
    /// Position in the order in which versions of all names were superseded.
    pub(super) sequence: u64,
}

/// What is known of a name. Serialized by position.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Record {
    /// The current version.
    pub(super) item: Arc<ConfigItem>,
    /// Hash of its content.
    pub(super) hash: u64,
    /// Lower versions that were confirmed, rising.
    pub(super) history: VecDeque<SupersededVersion>,
    /// Highest forgotten version: up to it, only the versions in `history` are known to have been confirmed.
    pub(super) forgotten_up_to: Option<u64>,
    /// Index of the entry that removed the item; 0 for an active item, and where the removal record was not kept yet.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub(super) removed_at: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// A removed item that has a record. The order is that in which they are forgotten: those removed first go first, then,
/// as long as no removal record is kept, those of the lowest versions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Tombstone {
    pub(super) removed_at: u64,
    pub(super) version: u64,
    pub(super) kind: ItemKind,
    pub(super) label: String,
}

impl Record {
    /// `None` for an active item.
    pub(super) fn tombstone(&self) -> Option<Tombstone> {
        let ConfigItem { kind, label, version, body } = &*self.item;
        let (removed_at, version, kind) = (self.removed_at, *version, *kind);
        body.is_none().then(|| Tombstone { removed_at, version, kind, label: label.clone() })
    }

    /// Could [`ConfigState::apply`](super::ConfigState::apply) have left it like this?
    pub(super) fn is_consistent(&self) -> bool {
        let versions = || self.history.iter().map(|p| p.version).chain([self.item.version]);
        let is_rising = versions().zip(versions().skip(1)).all(|(a, b)| a < b);
        is_rising && Some(self.item.version) > self.forgotten_up_to
    }
}
