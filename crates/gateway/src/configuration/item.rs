//! Configuration items, and a set of them that keeps the highest version of each name. Merging is commutative,
//! associative and idempotent, so replicas that saw the same items in any order are equal. What an item says is not
//! validated here.

use super::fields::ItemFields;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// What an item configures. Serialized by the variant's name; ordered as declared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKind {
    /// A route.
    Route,
    /// A tenant.
    Tenant,
    /// A service.
    Service,
    /// The limits on clients; there is one item of this kind, with an empty name.
    Saturation,
}

impl ItemKind {
    /// The operator's name of the set of such items, in requests and answers.
    pub fn set_name(self) -> &'static str {
        match self {
            ItemKind::Route => "route_set",
            ItemKind::Tenant => "tenant_set",
            ItemKind::Service => "service_set",
            ItemKind::Saturation => "saturation",
        }
    }
}

/// One version of an item. Serialized by position.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigItem {
    /// Kind of the item.
    pub kind: ItemKind,
    /// Name of the item, unique within its kind.
    pub label: String,
    /// Version of the item (the operator's `revision`); a higher version replaces a lower one.
    pub version: u64,
    /// Fields of the item as they were sent; `None`: the item is removed.
    pub body: Option<ItemFields>,
}

impl ConfigItem {
    /// Stands for removed tenants whose names don't matter. No tenant of an operator has an empty name.
    pub fn unnamed_removed_tenant() -> Self {
        ConfigItem { kind: ItemKind::Tenant, label: String::new(), version: 0, body: None }
    }
}

/// The highest version of each item, removed ones included.
#[derive(Clone, Debug, Default)]
pub struct ItemSet {
    items: BTreeMap<(ItemKind, String), ConfigItem>,
    /// XOR of the items' hashes.
    digest: u64,
}

fn version_hash(item: &ConfigItem) -> u64 {
    let mut hasher = DefaultHasher::new();
    (item.kind, &item.label, item.version).hash(&mut hasher);
    hasher.finish()
}

impl ItemSet {
    /// Equal for sets with the same versions.
    #[cfg(test)]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The highest version of a name.
    pub fn version(&self, kind: ItemKind, label: &str) -> Option<u64> {
        self.items.get(&(kind, label.to_owned())).map(|i| i.version)
    }

    /// The fields of an item that is not removed.
    #[cfg(test)]
    pub fn body(&self, kind: ItemKind, label: &str) -> Option<Map<String, Value>> {
        self.items.get(&(kind, label.to_owned()))?.body.as_ref().map(ItemFields::to_map)
    }

    /// Would merging this item change anything?
    pub fn is_newer(&self, item: &ConfigItem) -> bool {
        self.version(item.kind, &item.label).is_none_or(|v| v < item.version)
    }

    /// Takes an item if its version is higher than that of the same name here; was it taken?
    pub fn merge(&mut self, item: ConfigItem) -> bool {
        if !self.is_newer(&item) {
            return false;
        }
        self.digest ^= version_hash(&item);
        if let Some(old) = self.items.insert((item.kind, item.label.clone()), item) {
            self.digest ^= version_hash(&old);
        }
        true
    }

    /// All items, the removed ones too.
    pub fn iter(&self) -> impl Iterator<Item = &ConfigItem> {
        self.items.values()
    }

    /// Names and fields of the items of a kind that are not removed.
    pub fn active_items(&self, kind: ItemKind) -> impl Iterator<Item = (&str, &ItemFields)> {
        let of_kind = self.items.iter().filter(move |((k, _), _)| *k == kind);
        of_kind.filter_map(|((_, label), item)| Some((label.as_str(), item.body.as_ref()?)))
    }

    /// The items that are not removed, in the layout of a change's `upsert`.
    pub fn to_json(&self) -> Value {
        items_to_json(self.items.values())
    }
}

/// Items in the layout of a change's `upsert`; removed ones are left out.
pub fn items_to_json<'a>(items: impl Iterator<Item = &'a ConfigItem>) -> Value {
    let mut active: [Vec<&ItemFields>; 4] = Default::default();
    for item in items {
        active[item.kind as usize].extend(&item.body);
    }
    let mut sets = Map::new();
    for kind in [ItemKind::Route, ItemKind::Tenant, ItemKind::Service] {
        sets.insert(kind.set_name().into(), to_columns_and_records(&active[kind as usize]));
    }
    if let Some(limits) = active[ItemKind::Saturation as usize].first() {
        sets.insert(ItemKind::Saturation.set_name().into(), Value::Object(limits.to_map()));
    }
    Value::Object(sets)
}

/// Columns are in the order in which the items have them first; a field that an item lacks is null.
fn to_columns_and_records(items: &[&ItemFields]) -> Value {
    let mut columns: Vec<String> = Vec::new();
    let mut records: Vec<Value> = Vec::with_capacity(items.len());
    for item in items {
        let mut fields = item.to_map();
        let mut record: Vec<Value> =
            columns.iter().map(|c| fields.remove(c).unwrap_or(Value::Null)).collect();
        for (name, value) in fields {
            columns.push(name);
            record.push(value);
        }
        records.push(Value::Array(record));
    }
    for record in records.iter_mut().filter_map(Value::as_array_mut) {
        record.resize(columns.len(), Value::Null);
    }
    serde_json::json!({ "columns": columns, "records": records })
}
