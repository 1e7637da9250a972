//! The configuration as the state machine of the replicated log: what a change does is decided when its entry is
//! applied, in log order.
//!
//! Invariants:
//! - **Deterministic.** The same changes in the same order give the same bytes (`state/encoding.rs`) at each member, so
//!   no clock, random number, socket or iteration order of a hash map has any influence.
//! - **Valid.** The active items satisfy all rules between items (known services, credentials of one tenant each) after
//!   every change; a change that would break one is rejected whole.
//! - **One content per version.** A version that was confirmed once is never confirmed with another content, and a
//!   change that was confirmed once is never rejected when it is sent again.
//!
//! - **Removed items stay removed.** No version up to that of a removal ever becomes current again.
//! - **Names are independent.** What is remembered of one name restricts the versions of no other name. States in which
//!   releases before [`ConfigState::record_removals`] forgot removed names keep one restriction for all names of a kind.
//!
//! For these, each name has its current version and the hashes of confirmed versions that were superseded
//! lately. Those are bounded over all names together ([`MAX_SUPERSEDED_VERSIONS`]), the first superseded forgotten
//! first: a name that changes all the time uses what the others leave. A removed item stays as a tombstone for a while
//! ([`MAX_TOMBSTONES`]), after that as an entry of the removal record (`state/removal_record.rs`) for good. A version that
//! is older than these remember is answered with [`ChangeOutcome::Indeterminate`]; a change that is sent, or sent again,
//! before that many others superseded it always gets a definite outcome.

mod apply;
mod decoding;
mod encoding;
mod history;
mod lookups;
mod record;
mod removal_record;
mod validation;

use super::change::ChangeError;
use super::fields::TenantRate;
use super::item::{items_to_json, ConfigItem, ItemKind};
pub use decoding::StateDecoder;
pub use encoding::StateEncoder;
use record::{Record, SupersededVersion, Tombstone};
use removal_record::RemovalRecord;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Superseded versions that are remembered, over all names together; those superseded last stay.
pub const MAX_SUPERSEDED_VERSIONS: usize = 65_536;
/// Removed items that are remembered with their names and superseded versions; those removed last stay.
pub const MAX_TOMBSTONES: usize = 4096;
/// Number of [`ItemKind`]s.
const KINDS: usize = 4;

/// What a change came to. All but [`Applied`](ChangeOutcome::Applied) leave the active items as they are.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeOutcome {
    /// HTTP 200: the items that are current now and weren't before; removed ones without body.
    Applied(Vec<Arc<ConfigItem>>),
    /// HTTP 200: every version in it is current already or superseded.
    AlreadyApplied,
    /// HTTP 409: one of its versions was confirmed with another content.
    Conflict(ChangeError),
    /// HTTP 400: the configuration would be invalid with it.
    Invalid(ChangeError),
    /// HTTP 503: one of its versions is older than what is remembered, so it is not known whether it was confirmed.
    Indeterminate(ForgottenVersion),
}

/// A version of which it is not known whether it was confirmed.
#[derive(Clone, Debug, PartialEq)]
pub struct ForgottenVersion {
    /// The operator's name of the item's set.
    pub set: &'static str,
    /// Name of the item.
    pub label: String,
    /// The version.
    pub version: u64,
    /// Up to this version of the name it is not known what was confirmed. Higher ones get a definite outcome.
    pub forgotten_up_to: u64,
}

impl std::fmt::Display for ForgottenVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ForgottenVersion { set, label, version, forgotten_up_to } = self;
        write!(
            f,
            "version too old to know whether it was accepted before: {set} {label:?}: r{version}, not above \
             r{forgotten_up_to}"
        )
    }
}

/// Why bytes are not an encoded state.
#[derive(Debug, PartialEq, displaydoc::Display)]
#[ignore_extra_doc_attributes]
pub enum ConfigStateError {
    /// an encoded state is empty
    Empty,
    /// an encoded state of the unknown format {0}
    Format(u8),
    /// an encoded state can't be read: {0}
    ///
    /// A frame is no MessagePack of the expected type.
    Unreadable(String),
    /// an encoded state can't be read: an odd frame
    ///
    /// A frame without records, or with more than are announced.
    UnexpectedRecordCount,
    /// an encoded state can't be read: {0} records are missing
    MissingRecords(u64),
    /// an encoded state can't be read: {0} removed names are missing
    MissingRemovals(u64),
    /// an encoded state can't be read: its removed names are out of order
    UnorderedRemovals,
    /// an encoded state is followed by {0} more bytes
    Surplus(usize),
    /// an encoded state contradicts itself at {set} {label:?}
    Inconsistent {
        /// The operator's name of the item's set.
        set: &'static str,
        /// Name of the item.
        label: String,
    },
}

impl std::error::Error for ConfigStateError {}

/// The configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigState {
    last_change_index: u64,
    /// By kind, by name; with the removed ones. Shared with encoders, so copied on write.
    records: [BTreeMap<String, Arc<Record>>; KINDS],
    /// By kind: of names without a record or an entry of the removal record, versions up to this one may have been
    /// confirmed. Rises only as long as no removal record is kept.
    forgotten_up_to: [Option<u64>; KINDS],
    /// By kind: the removed names whose tombstones were dropped. `None`: members don't keep this record yet.
    removal_records: Option<[RemovalRecord; KINDS]>,
    /// The names of the superseded versions that are remembered, by sequence: the first one is forgotten next.
    superseded: BTreeMap<u64, (ItemKind, Arc<str>)>,
    max_superseded: usize,
    /// Sequence of the next version to be superseded.
    next_sequence: u64,
    /// Removed items that have records: the first one is forgotten next.
    tombstones: BTreeSet<Tombstone>,
    /// Active routes by the service that they name.
    routes_by_service: HashMap<String, BTreeSet<String>>,
    /// Active tenants by credential.
    tenants_by_credential: HashMap<String, Arc<ConfigItem>>,
    /// Rates of the active tenants by name; looked up all the time.
    rates_by_tenant: HashMap<String, TenantRate>,
}

impl Default for ConfigState {
    fn default() -> Self {
        ConfigState::with_history_limit(MAX_SUPERSEDED_VERSIONS)
    }
}

impl ConfigState {
    /// An empty state that remembers so many superseded versions. The limit must be the same at each member.
    pub fn with_history_limit(max_superseded: usize) -> Self {
        ConfigState {
            last_change_index: 0,
            records: Default::default(),
            forgotten_up_to: Default::default(),
            removal_records: None,
            superseded: BTreeMap::new(),
            max_superseded,
            next_sequence: 0,
            tombstones: BTreeSet::new(),
            routes_by_service: HashMap::new(),
            tenants_by_credential: HashMap::new(),
            rates_by_tenant: HashMap::new(),
        }
    }

    /// Index of the last entry that was [`ChangeOutcome::Applied`]; 0: none.
    pub fn last_change_index(&self) -> u64 {
        self.last_change_index
    }

    /// Was no change ever applied?
    pub fn is_empty(&self) -> bool {
        self.last_change_index == 0
    }

    /// Records removed names for good from now on. Must be called at the same log entry by each member, because it
    /// decides about the outcome of later changes.
    pub fn record_removals(&mut self) {
        self.removal_records.get_or_insert_default();
    }

    /// Are removed names recorded for good?
    pub fn records_removals(&self) -> bool {
        self.removal_records.is_some()
    }

    /// The active items, by kind and name.
    pub fn active_items(&self) -> impl Iterator<Item = &Arc<ConfigItem>> {
        self.all_items().filter(|i| i.body.is_some())
    }

    /// The active items and the tombstones, by kind and name.
    pub fn all_items(&self) -> impl Iterator<Item = &Arc<ConfigItem>> {
        self.records.iter().flat_map(BTreeMap::values).map(|r| &r.item)
    }

    /// Was any tenant ever set or removed? True for good: all removed tenants are remembered, each by a tombstone, by an
    /// entry of the removal record, or in `forgotten_up_to`. A removal counts, since the change that set the tenant may
    /// be delayed.
    pub fn has_had_tenants(&self) -> bool {
        let tenants = ItemKind::Tenant as usize;
        !self.records[tenants].is_empty()
            || self.removal_record(ItemKind::Tenant).is_some_and(|record| !record.is_empty())
            || self.forgotten_up_to[tenants].is_some()
    }

    /// What an edge node without a configuration is sent: the active items and, if there were tenants but none is
    /// active, a removed one, which tells it that requests need a credential.
    pub fn full_update(&self) -> Vec<ConfigItem> {
        let mut items: Vec<ConfigItem> = self.active_items().map(|item| (**item).clone()).collect();
        if self.rates_by_tenant.is_empty() && self.has_had_tenants() {
            items.push(ConfigItem::unnamed_removed_tenant());
        }
        items
    }

    /// The fields of an active item.
    #[cfg(test)]
    pub fn body(&self, kind: ItemKind, label: &str) -> Option<serde_json::Map<String, Value>> {
        self.record(kind, label)?.item.body.as_ref().map(|b| b.to_map())
    }

    /// The configured rate of an active tenant.
    pub fn tenant_rate(&self, tenant: &str) -> Option<TenantRate> {
        self.rates_by_tenant.get(tenant).copied()
    }

    /// The active items in the layout of a change's `upsert`.
    pub fn to_json(&self) -> Value {
        items_to_json(self.active_items().map(|i| &**i))
    }

    fn is_active(&self, kind: ItemKind, label: &str) -> bool {
        self.record(kind, label).is_some_and(|r| r.item.body.is_some())
    }

    fn record(&self, kind: ItemKind, label: &str) -> Option<&Record> {
        self.records[kind as usize].get(label).map(|r| &**r)
    }

    fn removal_record(&self, kind: ItemKind) -> Option<&RemovalRecord> {
        self.removal_records.as_ref().map(|records| &records[kind as usize])
    }

    fn record_mut(&mut self, kind: ItemKind, label: &str) -> Option<&mut Record> {
        // A record that an encoder shares is copied first.
        self.records[kind as usize].get_mut(label).map(Arc::make_mut)
    }
}
