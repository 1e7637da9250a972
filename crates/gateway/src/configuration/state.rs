//! Owns the configuration as the replicated log's state machine: what an order does, decided when it is applied, in log
//! order. The same orders in the same sequence give the same bytes at each member, so it must never look at a clock, a
//! draw, a socket or the order of a hash map. What stands is valid after every order.
//!
//! Of each name it keeps the version that holds, and the contents of confirmed versions that were overtaken lately, so
//! that a number stands for one content and an order that was taken once is never refused. Those are bounded over all
//! names together, first overtaken first forgotten: a name that changes all the time takes what others leave. What is
//! dropped stays for a while as a tombstone. What is older than either remembers is answered [`Outcome::Forgotten`]:
//! whoever sends an order for the first time, or again, before so many others overtook it, always gets an answer.

mod encoding;

use super::change::ChangeError;
use super::content_hash::{semantic_hash, verbatim_hash};
use super::fields::{ItemFields, TenantRate};
use super::item::{render, ConfigItem, ItemKind};
pub use encoding::{StateDecoder, StateEncoder};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

/// Overtaken versions that are remembered of all names together, those that were overtaken last.
pub const MAX_SUPERSEDED_VERSIONS: usize = 65_536;
/// Dropped items that are remembered, those of the highest versions.
pub const MAX_TOMBSTONES: usize = 4096;
const KINDS: usize = 4;

/// What an order came to.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeOutcome {
    /// Taken (200): the items that hold now and didn't before; dropped ones without body.
    Applied(Vec<Arc<ConfigItem>>),
    /// Confirmed (200): all of it holds already or was overtaken.
    AlreadyApplied,
    /// Refused (409): a version has another content already.
    Conflict(ChangeError),
    /// Refused (400): what would stand is invalid.
    Invalid(ChangeError),
    /// Left without a clear answer (503): it may or may not have been confirmed long ago.
    Indeterminate,
}

/// Why bytes aren't a state.
#[derive(Debug, PartialEq, displaydoc::Display)]
pub enum ConfigStateError {
    /// an encoded state is empty
    Empty,
    /// an encoded state of the unknown format {0}
    Format(u8),
    /// an encoded state can't be read: {0}
    Unreadable(String),
    /// an encoded state is followed by {0} more bytes
    Surplus(usize),
    /// an encoded state contradicts itself at {0} {1:?}
    Inconsistent(&'static str, String),
}

impl std::error::Error for ConfigStateError {}

/// A confirmed version that was overtaken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Past {
    version: u64,
    hash: u64,
    /// Its place among all that were overtaken.
    place: u64,
}

/// What is known of a name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Record {
    /// What holds, and the hash of its content.
    item: Arc<ConfigItem>,
    hash: u64,
    /// Lower versions that were confirmed, rising.
    history: VecDeque<Past>,
    /// Of versions up to here that are not in `history`, it isn't known what was confirmed.
    forgotten: Option<u64>,
}

impl Record {
    /// Does it keep to what [`State::apply`] leaves?
    fn is_sound(&self) -> bool {
        let versions = || self.history.iter().map(|p| p.version).chain([self.item.version]);
        versions().zip(versions().skip(1)).all(|(a, b)| a < b) && Some(self.item.version) > self.forgotten
    }
}

/// What is known of one version of a name.
enum Memory {
    Confirmed(u64),
    Unknown,
    Forgotten,
}

/// The configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigState {
    index: u64,
    /// By kind, by name; dropped ones too.
    records: [BTreeMap<String, Arc<Record>>; KINDS],
    /// By kind: of names without a record, versions up to here may have been confirmed.
    floors: [Option<u64>; KINDS],
    /// Overtaken versions that are remembered: whose, by place, first overtaken first; how many may be; the next place.
    overtaken: BTreeMap<u64, (ItemKind, Arc<str>)>,
    history_max: usize,
    place: u64,
    /// The dropped ones, lowest versions first.
    tombstones: BTreeSet<(u64, ItemKind, String)>,
    /// Names of the standing routes that name a service.
    users: HashMap<String, BTreeSet<String>>,
    /// The standing tenant that has a key.
    owners: HashMap<String, Arc<ConfigItem>>,
    /// Of the standing tenants, by name: asked for all the time.
    quotas: HashMap<String, TenantRate>,
}

/// An order's items by name, by version, with the hashes of their contents.
type Sorted<'a> = BTreeMap<(ItemKind, &'a str), BTreeMap<u64, (u64, &'a ConfigItem)>>;

/// The hash of an item's fields as they were spelled.
fn spelled(item: &ConfigItem) -> u64 {
    verbatim_hash(item.body.as_ref().map(ItemFields::to_map).as_ref())
}

fn conflict(item: &ConfigItem) -> ChangeOutcome {
    ChangeOutcome::Conflict(ChangeError::VersionContentMismatch(
        item.kind.set_name(),
        item.label.clone(),
        item.version,
    ))
}

impl Default for ConfigState {
    fn default() -> Self {
        ConfigState::with_history_limit(MAX_SUPERSEDED_VERSIONS)
    }
}

impl ConfigState {
    /// Nothing yet; remembers so many overtaken versions. The same at each member.
    pub fn with_history_limit(history_max: usize) -> Self {
        ConfigState {
            index: 0,
            records: Default::default(),
            floors: Default::default(),
            overtaken: BTreeMap::new(),
            history_max,
            place: 0,
            tombstones: BTreeSet::new(),
            users: HashMap::new(),
            owners: HashMap::new(),
            quotas: HashMap::new(),
        }
    }

    /// Applies the entry at `index` of the log. Taken whole or not at all; costs by the size of the order alone. Of a
    /// name that comes twice the higher version holds, and the lower one is confirmed as one that was overtaken.
    pub fn apply(&mut self, index: u64, order: &[ConfigItem]) -> ChangeOutcome {
        let mut sorted = Sorted::new();
        for item in order {
            let hash = semantic_hash(item.body.as_ref().map(ItemFields::to_map).as_ref());
            let versions = sorted.entry((item.kind, &item.label)).or_default();
            if versions.insert(item.version, (hash, item)).is_some_and(|(other, _)| other != hash) {
                return conflict(item);
            }
        }
        let (mut unknown, mut higher, mut forgotten) = (Vec::new(), BTreeMap::new(), false);
        for (&(kind, label), versions) in &sorted {
            for (&version, &(hash, item)) in versions {
                match self.recall(kind, label, version) {
                    // A known difference: this order can't have been taken, whatever else is forgotten of it. Disks
                    // of earlier builds hold hashes of the fields as they were spelled.
                    Memory::Confirmed(held) if held != hash && held != spelled(item) => {
                        return conflict(item)
                    }
                    Memory::Confirmed(_) => {}
                    Memory::Forgotten => forgotten = true,
                    Memory::Unknown => unknown.push((item, hash)),
                }
            }
            let held = self.record(kind, label).map(|r| r.item.version);
            let newest = versions.last_key_value().map(|(_, newest)| *newest);
            if let Some((hash, item)) = newest.filter(|(_, i)| Some(i.version) > held) {
                higher.insert((kind, label), (hash, item));
            }
        }
        if forgotten {
            return ChangeOutcome::Indeterminate;
        }
        let holds = |i: &ConfigItem| {
            higher.get(&(i.kind, i.label.as_str())).is_some_and(|h| h.1.version == i.version)
        };
        let mut stale = unknown.iter().filter(|(i, _)| !holds(i));
        let fault = self.fault(&higher).or_else(|| stale.find_map(|(i, _)| self.never_valid(i, &sorted)));
        if let Some(fault) = fault {
            return ChangeOutcome::Invalid(fault);
        }
        let taken = self.take(higher.into_values());
        for (item, hash) in unknown {
            self.remember(item, hash);
        }
        self.forget_history();
        self.forget_tombstones();
        if taken.is_empty() {
            return ChangeOutcome::AlreadyApplied;
        }
        self.index = index;
        ChangeOutcome::Applied(taken)
    }

    /// Index of the last entry that was [`Outcome::Taken`]; 0: none.
    pub fn last_change_index(&self) -> u64 {
        self.index
    }

    /// The items that stand, by kind and name.
    pub fn active_items(&self) -> impl Iterator<Item = &Arc<ConfigItem>> {
        self.records.iter().flat_map(BTreeMap::values).map(|r| &r.item).filter(|i| i.body.is_some())
    }

    /// All items of which something is known, the dropped ones too.
    pub fn all_items(&self) -> impl Iterator<Item = &Arc<ConfigItem>> {
        self.records.iter().flat_map(BTreeMap::values).map(|r| &r.item)
    }

    /// The fields of one item, if it stands.
    #[cfg(test)]
    pub fn body(&self, kind: ItemKind, label: &str) -> Option<serde_json::Map<String, Value>> {
        self.record(kind, label)?.item.body.as_ref().map(ItemFields::to_map)
    }

    /// What a standing tenant may have.
    pub fn tenant_rate(&self, tenant: &str) -> Option<TenantRate> {
        self.quotas.get(tenant).copied()
    }

    fn stands(&self, kind: ItemKind, label: &str) -> bool {
        self.record(kind, label).is_some_and(|r| r.item.body.is_some())
    }

    /// Was nothing ever taken?
    pub fn is_empty(&self) -> bool {
        self.index == 0
    }

    /// All items that stand, laid out as in the first call's set.
    pub fn to_json(&self) -> Value {
        render(self.active_items().map(|i| &**i))
    }

    fn record(&self, kind: ItemKind, label: &str) -> Option<&Record> {
        self.records[kind as usize].get(label).map(|r| &**r)
    }

    fn record_mut(&mut self, kind: ItemKind, label: &str) -> Option<&mut Record> {
        // One that an encoder holds stays there as it is.
        self.records[kind as usize].get_mut(label).map(Arc::make_mut)
    }

    fn recall(&self, kind: ItemKind, label: &str, version: u64) -> Memory {
        let record = self.record(kind, label);
        if let Some(record) = record {
            if record.item.version == version {
                return Memory::Confirmed(record.hash);
            }
            if let Ok(at) = record.history.binary_search_by_key(&version, |p| p.version) {
                return Memory::Confirmed(record.history[at].hash);
            }
        }
        let forgotten = record.map_or(self.floors[kind as usize], |r| r.forgotten);
        if Some(version) <= forgotten {
            return Memory::Forgotten;
        }
        Memory::Unknown
    }

    /// An overtaken route that nobody confirmed has no effect; but it can't have been valid at any time if it names a
    /// service that never stood and isn't in its order.
    fn never_valid(&self, item: &ConfigItem, order: &Sorted) -> Option<ChangeError> {
        let body = item.body.as_ref().filter(|_| item.kind == ItemKind::Route)?;
        let forgotten = self.floors[ItemKind::Service as usize].is_some();
        let stood = |s: &str| forgotten || self.record(ItemKind::Service, s).is_some();
        let never = |s: &String| !stood(s) && !order.contains_key(&(ItemKind::Service, s.as_str()));
        let service = body.route_services().into_iter().find(never)?;
        Some(ChangeError::UnknownService(item.label.clone(), service))
    }

    /// What would be wrong with what stands, were these items taken. Nothing is wrong before them, so only what they
    /// touch is looked at.
    fn fault(&self, higher: &BTreeMap<(ItemKind, &str), (u64, &ConfigItem)>) -> Option<ChangeError> {
        let stands = |service: &str| match higher.get(&(ItemKind::Service, service)) {
            Some((_, item)) => item.body.is_some(),
            None => self.stands(ItemKind::Service, service),
        };
        let mut claims: HashMap<String, &str> = HashMap::new();
        for (&(kind, label), (_, item)) in higher {
            match (kind, &item.body) {
                (ItemKind::Route, Some(body)) => {
                    if let Some(service) = body.route_services().into_iter().find(|s| !stands(s)) {
                        return Some(ChangeError::UnknownService(label.into(), service));
                    }
                }
                (ItemKind::Service, None) => {
                    // The routes of this order are looked at themselves: the search ends at the first other one.
                    let mut users = self.users.get(label).into_iter().flatten();
                    if let Some(user) = users.find(|u| !higher.contains_key(&(ItemKind::Route, u.as_str()))) {
                        return Some(ChangeError::UnknownService(user.clone(), label.into()));
                    }
                }
                (ItemKind::Tenant, Some(body)) => {
                    for key in body.tenant_credentials() {
                        let owner = self.owners.get(&key).map(|o| o.label.as_str());
                        let owner = owner.filter(|o| !higher.contains_key(&(ItemKind::Tenant, *o)));
                        let other = claims.insert(key, label).or(owner).filter(|o| *o != label);
                        if let Some(other) = other {
                            let (one, two) = (other.min(label), other.max(label));
                            return Some(ChangeError::SharedCredential(one.into(), two.into()));
                        }
                    }
                }
                _ => {}
            }
        }
        None
    }

    fn take<'a>(&mut self, items: impl Iterator<Item = (u64, &'a ConfigItem)>) -> Vec<Arc<ConfigItem>> {
        let taken: Vec<(u64, Arc<ConfigItem>)> =
            items.map(|(hash, item)| (hash, Arc::new(item.clone()))).collect();
        for (_, item) in &taken {
            if let Some(old) = self.record(item.kind, &item.label).map(|r| Arc::clone(&r.item)) {
                self.leave(&old);
            }
        }
        for &(hash, ref item) in &taken {
            self.enter(item);
            let forgotten = self.floors[item.kind as usize];
            match self.record_mut(item.kind, &item.label) {
                Some(record) => {
                    let old = std::mem::replace(&mut record.item, Arc::clone(item));
                    let hash = std::mem::replace(&mut record.hash, hash);
                    self.remember(&old, hash);
                }
                None => {
                    let record = Record { item: Arc::clone(item), hash, history: VecDeque::new(), forgotten };
                    self.records[item.kind as usize].insert(item.label.clone(), Arc::new(record));
                }
            }
        }
        taken.into_iter().map(|(_, item)| item).collect()
    }

    /// Into the indexes. Returns a tenant that has one of the keys already.
    fn enter(&mut self, item: &Arc<ConfigItem>) -> Option<Arc<ConfigItem>> {
        let mut other = None;
        match (item.kind, &item.body) {
            (ItemKind::Route, Some(body)) => {
                for service in body.route_services() {
                    self.users.entry(service).or_default().insert(item.label.clone());
                }
            }
            (ItemKind::Tenant, Some(body)) => {
                let (keys, quota) = body.credentials_and_rate();
                for key in keys {
                    let owner = self.owners.insert(key, Arc::clone(item));
                    other = other.or(owner.filter(|o| o.label != item.label));
                }
                self.quotas.insert(item.label.clone(), quota);
            }
            (_, None) => {
                self.tombstones.insert((item.version, item.kind, item.label.clone()));
            }
            _ => {}
        }
        other
    }

    /// Out of the indexes.
    fn leave(&mut self, item: &ConfigItem) {
        match (item.kind, &item.body) {
            (ItemKind::Route, Some(body)) => {
                for service in body.route_services() {
                    let Some(users) = self.users.get_mut(&service) else { continue };
                    users.remove(&item.label);
                    if users.is_empty() {
                        self.users.remove(&service);
                    }
                }
            }
            (ItemKind::Tenant, Some(body)) => {
                for key in body.tenant_credentials() {
                    self.owners.remove(&key);
                }
                self.quotas.remove(&item.label);
            }
            (_, None) => {
                self.tombstones.remove(&(item.version, item.kind, item.label.clone()));
            }
            _ => {}
        }
    }

    /// This version is confirmed; if it doesn't hold, it was overtaken.
    fn remember(&mut self, item: &ConfigItem, hash: u64) {
        let place = self.place;
        let Some(record) = self.record_mut(item.kind, &item.label) else { return };
        if item.version >= record.item.version {
            return;
        }
        let at = record.history.partition_point(|p| p.version < item.version);
        record.history.insert(at, Past { version: item.version, hash, place });
        self.overtaken.insert(place, (item.kind, item.label.as_str().into()));
        self.place += 1;
    }

    fn forget_history(&mut self) {
        while self.overtaken.len() > self.history_max {
            let Some((place, (kind, label))) = self.overtaken.pop_first() else { return };
            let Some(record) = self.record_mut(kind, &label) else { continue };
            // Mostly the lowest.
            let at = record.history.iter().position(|p| p.place == place);
            if let Some(past) = at.and_then(|at| record.history.remove(at)) {
                record.forgotten = record.forgotten.max(Some(past.version));
            }
        }
    }

    fn forget_tombstones(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some((version, kind, label)) = self.tombstones.pop_first() else { return };
            if let Some(record) = self.records[kind as usize].remove(&label) {
                record.history.iter().for_each(|p| drop(self.overtaken.remove(&p.place)));
            }
            let floor = &mut self.floors[kind as usize];
            *floor = (*floor).max(Some(version));
        }
    }
}
