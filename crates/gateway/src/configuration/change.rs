//! Owns what an operator's call says and whether the configuration that would stand after it is valid. It must never
//! put anything into force.

use super::item::{ConfigItem, ItemKind, ItemSet};
use crate::json_path::{JsonNode, JsonPathError};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// No route may hold a request longer than this.
const MAX_ROUTE_TIMEOUT: Duration = Duration::from_secs(600);

/// Why a call is refused.
#[derive(Clone, Debug, PartialEq, displaydoc::Display)]
pub enum ChangeError {
    /// unreadable: {0}
    Unreadable(JsonPathError),
    /// {0}: unknown list
    UnknownList(String),
    /// {0}: {1} values for {2} columns
    RecordLengthMismatch(String, usize, usize),
    /// {0}: the column {1} comes twice
    DuplicateColumn(String, String),
    /// {0}: neither a service nor a mixture
    MissingService(String),
    /// {0}: gains add up to 0
    ZeroTotalGain(String),
    /// {0}: over ten minutes
    DurationTooLong(String),
    /// {0}: neither idempotent nor effectful
    UnknownRouteClass(String),
    /// {0}: does not begin and end with a slash
    InvalidPathPrefix(String),
    /// route {0} names the unknown service {1}
    UnknownService(String, String),
    /// tenants {0} and {1} share a key
    SharedCredential(String, String),
    /// {0} {1:?}: r{2} has another content
    VersionContentMismatch(&'static str, String, u64),
}

impl std::error::Error for ChangeError {}

impl From<JsonPathError> for ChangeError {
    fn from(e: JsonPathError) -> Self {
        ChangeError::Unreadable(e)
    }
}

/// The items of a call, each checked for itself.
pub fn parse_change(body: &[u8]) -> Result<Vec<ConfigItem>, ChangeError> {
    let value = crate::json_path::parse(body)?;
    let root = JsonNode::root(&value);
    root.object()?;
    let mut items = Vec::new();
    if let Some(set) = root.optional("upsert") {
        for (name, value) in set.object()? {
            let Some(kind) = kind(name) else { return Err(ChangeError::UnknownList(name.clone())) };
            if value.is_null() {
                continue;
            }
            let list = set.required(name)?;
            match kind {
                ItemKind::Saturation => items.push(item(kind, &list, String::new())?),
                _ => rows(&list, |row, path| {
                    items.push(item(kind, &JsonNode::root(row), path)?);
                    Ok(())
                })?,
            }
        }
    }
    if let Some(drop) = root.optional("remove") {
        for (name, value) in drop.object()? {
            let Some(kind) = kind(name) else { return Err(ChangeError::UnknownList(name.clone())) };
            if value.is_null() {
                continue;
            }
            rows(&drop.required(name)?, |row, _| {
                let at = JsonNode::root(row);
                let (label, version) =
                    (at.required("label")?.as_non_empty_str()?, at.required("revision")?.as_version()?);
                items.push(ConfigItem { kind, label: label.into(), version, body: None });
                Ok(())
            })?;
        }
    }
    Ok(items)
}

fn kind(name: &str) -> Option<ItemKind> {
    [ItemKind::Route, ItemKind::Tenant, ItemKind::Service, ItemKind::Saturation]
        .into_iter()
        .find(|k| k.set_name() == name)
}

/// Hands over the rows of a list, one after the other, as objects: given so, or as columns and records.
fn rows(
    list: &JsonNode,
    mut take: impl FnMut(&Value, String) -> Result<(), ChangeError>,
) -> Result<(), ChangeError> {
    if list.value().is_array() {
        for object in list.elements()? {
            object.object()?;
            take(object.value(), object.path())?;
        }
        return Ok(());
    }
    let columns = list.required("columns")?.elements()?;
    let columns: Vec<&str> = columns.iter().map(JsonNode::as_non_empty_str).collect::<Result<_, _>>()?;
    let mut met = BTreeSet::new();
    if let Some(twice) = columns.iter().find(|name| !met.insert(**name)) {
        return Err(ChangeError::DuplicateColumn(list.path(), (*twice).into()));
    }
    for record in list.required("records")?.elements()? {
        let values = record.elements()?;
        if values.len() != columns.len() {
            return Err(ChangeError::RecordLengthMismatch(record.path(), values.len(), columns.len()));
        }
        let fields = columns.iter().zip(&values).filter(|(_, v)| !v.value().is_null());
        let object: Map<String, Value> = fields.map(|(c, v)| ((*c).into(), v.value().clone())).collect();
        take(&Value::Object(object), record.path())?;
    }
    Ok(())
}

fn item(kind: ItemKind, at: &JsonNode, path: String) -> Result<ConfigItem, ChangeError> {
    let within = |e: JsonPathError| match e {
        JsonPathError::Missing(at) if !path.is_empty() => {
            JsonPathError::Missing(format!("{path}{}", &at[1..]))
        }
        JsonPathError::Invalid(at, what) if !path.is_empty() => {
            JsonPathError::Invalid(format!("{path}{}", &at[1..]), what)
        }
        e => e,
    };
    let check = || -> Result<ConfigItem, ChangeError> {
        let version = at.required("revision")?.as_version()?;
        let label =
            if kind == ItemKind::Saturation { "" } else { at.required("label")?.as_non_empty_str()? };
        match kind {
            ItemKind::Route => route(at, &path)?,
            ItemKind::Tenant => tenant(at)?,
            ItemKind::Service => service(at)?,
            ItemKind::Saturation => saturation(at)?,
        }
        Ok(ConfigItem { kind, label: label.into(), version, body: Some(at.object()?.into()) })
    };
    check().map_err(|e| match e {
        ChangeError::Unreadable(e) => ChangeError::Unreadable(within(e)),
        e => e,
    })
}

fn route(at: &JsonNode, path: &str) -> Result<(), ChangeError> {
    at.required("hostname")?.as_non_empty_str()?;
    let prefix = at.required("path_prefix")?.as_str()?;
    if !(prefix.starts_with('/') && prefix.ends_with('/')) {
        return Err(ChangeError::InvalidPathPrefix(path.into()));
    }
    if !matches!(at.required("route_class")?.as_str()?, "idempotent" | "effectful") {
        return Err(ChangeError::UnknownRouteClass(path.into()));
    }
    for name in ["cutoff", "target"] {
        if at.optional(name).map(|t| t.as_duration()).transpose()?.is_some_and(|t| t > MAX_ROUTE_TIMEOUT) {
            return Err(ChangeError::DurationTooLong(format!("{path}.{name}")));
        }
    }
    for name in ["rank", "max_attempts"] {
        at.optional(name).map(|n| n.as_non_negative()).transpose()?;
    }
    at.optional("unkeyed").map(|t| t.as_bool()).transpose()?;
    match (at.optional("mixture"), at.optional("service_ref")) {
        (Some(mixture), _) => {
            let mut sum = 0.0;
            for part in mixture.elements()? {
                part.required("service_ref")?.as_non_empty_str()?;
                sum += part.required("gain")?.as_non_negative()?;
            }
            if sum <= 0.0 {
                return Err(ChangeError::ZeroTotalGain(path.into()));
            }
        }
        (None, Some(service)) => {
            service.as_non_empty_str()?;
        }
        (None, None) => return Err(ChangeError::MissingService(path.into())),
    }
    Ok(())
}

fn tenant(at: &JsonNode) -> Result<(), ChangeError> {
    if let Some(keys) = at.optional("credentials") {
        for key in keys.elements()? {
            key.as_non_empty_str()?;
        }
    }
    for name in ["rank", "rate_per_s", "burst_size"] {
        at.optional(name).map(|n| n.as_non_negative()).transpose()?;
    }
    Ok(())
}

fn service(at: &JsonNode) -> Result<(), ChangeError> {
    at.optional("probe_path").map(|p| p.as_str()).transpose()?;
    at.optional("conn_limit").map(|n| n.as_non_negative()).transpose()?;
    Ok(())
}

fn saturation(at: &JsonNode) -> Result<(), ChangeError> {
    for name in ["header_max_bytes", "body_max_bytes"] {
        at.optional(name).map(|n| n.as_non_negative()).transpose()?;
    }
    for name in ["header_deadline", "idle_cutoff"] {
        at.optional(name).map(|t| t.as_duration()).transpose()?;
    }
    Ok(())
}

/// Judges the whole configuration that would stand: refused is what a call would newly put wrong, not what was so
/// before it. The items that would change anything are returned.
pub fn validate_change(held: &ItemSet, call: &[ConfigItem]) -> Result<Vec<ConfigItem>, ChangeError> {
    let mut after = held.clone();
    let news: Vec<ConfigItem> = call.iter().filter(|i| after.merge((*i).clone())).cloned().collect();
    if news.is_empty() {
        return Ok(news);
    }
    let before = find_violations(held);
    match find_violations(&after).into_iter().find(|f| !before.contains(f)) {
        Some(fault) => Err(fault),
        None => Ok(news),
    }
}

/// What is wrong between the items of a configuration.
pub fn find_violations(items: &ItemSet) -> Vec<ChangeError> {
    let mut found = Vec::new();
    for (label, body) in items.active_items(ItemKind::Route) {
        for service in body.route_services() {
            let stands = items.active_items(ItemKind::Service).any(|(l, _)| l == service);
            if !stands {
                found.push(ChangeError::UnknownService(label.into(), service));
            }
        }
    }
    let mut owners: BTreeMap<String, &str> = BTreeMap::new();
    for (label, body) in items.active_items(ItemKind::Tenant) {
        for key in body.tenant_credentials() {
            if let Some(other) = owners.insert(key, label).filter(|other| *other != label) {
                found.push(ChangeError::SharedCredential(other.into(), label.into()));
            }
        }
    }
    found
}

/// The services that a route names.
pub fn route_services(route: &Map<String, Value>) -> Vec<&str> {
    let mixture = route.get("mixture").and_then(Value::as_array).into_iter().flatten();
    let mut named: Vec<&str> = mixture.filter_map(|p| p.get("service_ref")?.as_str()).collect();
    if named.is_empty() {
        named.extend(route.get("service_ref").and_then(Value::as_str));
    }
    named
}

/// The keys that a tenant has.
pub fn tenant_credentials(tenant: &Map<String, Value>) -> impl Iterator<Item = &str> {
    tenant.get("credentials").and_then(Value::as_array).into_iter().flatten().filter_map(Value::as_str)
}
