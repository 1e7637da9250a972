//! Owns the items: a map from name to the highest version seen, set or dropped. Merging is commutative, associative
//! and idempotent, so copies that saw the same items in any order are equal. It must never judge what an item says.

use super::fields::ItemFields;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// What an item is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKind {
    /// A route.
    Route,
    /// A tenant.
    Tenant,
    /// A service.
    Service,
    /// The one item of bounds on clients.
    Saturation,
}

impl ItemKind {
    /// The list that holds items of this kind.
    pub fn set_name(self) -> &'static str {
        match self {
            ItemKind::Route => "route_set",
            ItemKind::Tenant => "tenant_set",
            ItemKind::Service => "service_set",
            ItemKind::Saturation => "saturation",
        }
    }
}

/// One version of an item. `body`: its fields as they were sent; `None`: dropped.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigItem {
    /// What it is.
    pub kind: ItemKind,
    /// Its name.
    pub label: String,
    /// Its version.
    pub version: u64,
    /// Its fields.
    pub body: Option<ItemFields>,
}

/// The items that hold.
#[derive(Clone, Debug, Default)]
pub struct ItemSet {
    map: BTreeMap<(ItemKind, String), ConfigItem>,
    digest: u64,
}

fn hash(item: &ConfigItem) -> u64 {
    let mut hasher = DefaultHasher::new();
    (item.kind, &item.label, item.version).hash(&mut hasher);
    hasher.finish()
}

impl ItemSet {
    /// The same at every process that holds the same versions.
    #[cfg(test)]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The version that holds for a name.
    pub fn version(&self, kind: ItemKind, label: &str) -> Option<u64> {
        self.map.get(&(kind, label.to_owned())).map(|i| i.version)
    }

    /// The fields of one item, if it stands.
    #[cfg(test)]
    pub fn body(&self, kind: ItemKind, label: &str) -> Option<Map<String, Value>> {
        self.map.get(&(kind, label.to_owned()))?.body.as_ref().map(ItemFields::to_map)
    }

    /// Would this item change anything?
    pub fn is_newer(&self, item: &ConfigItem) -> bool {
        self.version(item.kind, &item.label).is_none_or(|v| v < item.version)
    }

    /// Takes an item if its version is higher than the one held.
    pub fn merge(&mut self, item: ConfigItem) -> bool {
        if !self.is_newer(&item) {
            return false;
        }
        self.digest ^= hash(&item);
        if let Some(old) = self.map.insert((item.kind, item.label.clone()), item) {
            self.digest ^= hash(&old);
        }
        true
    }

    /// All items, the dropped ones too.
    pub fn iter(&self) -> impl Iterator<Item = &ConfigItem> {
        self.map.values()
    }

    /// The items of a kind that stand.
    pub fn active_items(&self, kind: ItemKind) -> impl Iterator<Item = (&str, &ItemFields)> {
        let of_kind = self.map.iter().filter(move |((k, _), _)| *k == kind);
        of_kind.filter_map(|((_, label), item)| Some((label.as_str(), item.body.as_ref()?)))
    }

    /// All items that stand, laid out as in the first call's set.
    pub fn to_json(&self) -> Value {
        render(self.map.values())
    }
}

/// Lays items out as in the first call's set; those dropped are left out.
pub fn render<'a>(items: impl Iterator<Item = &'a ConfigItem>) -> Value {
    let mut standing: [Vec<&ItemFields>; 4] = Default::default();
    for item in items {
        standing[item.kind as usize].extend(&item.body);
    }
    let mut out = Map::new();
    for kind in [ItemKind::Route, ItemKind::Tenant, ItemKind::Service] {
        let bodies = &standing[kind as usize];
        let mut columns: Vec<String> = Vec::new();
        let mut records: Vec<Value> = Vec::with_capacity(bodies.len());
        for body in bodies {
            let mut body = body.to_map();
            let mut record: Vec<Value> =
                columns.iter().map(|c| body.remove(c).unwrap_or(Value::Null)).collect();
            for (name, value) in body {
                columns.push(name);
                record.push(value);
            }
            records.push(Value::Array(record));
        }
        for record in records.iter_mut().filter_map(Value::as_array_mut) {
            record.resize(columns.len(), Value::Null);
        }
        out.insert(kind.set_name().into(), serde_json::json!({ "columns": columns, "records": records }));
    }
    if let Some(body) = standing[ItemKind::Saturation as usize].first() {
        out.insert(ItemKind::Saturation.set_name().into(), Value::Object(body.to_map()));
    }
    Value::Object(out)
}
