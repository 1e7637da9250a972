//! Owns what an operator's call says and whether the configuration that would stand after it is valid. It must never
//! put anything into force.

use super::item::{Item, Items, Kind};
use crate::json_path::{At, PathError};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// No route may hold a request longer than this.
const CUTOFF_MOST: Duration = Duration::from_secs(600);

/// Why a call is refused.
#[derive(Clone, Debug, PartialEq, displaydoc::Display)]
pub enum CallError {
    /// unreadable: {0}
    Unreadable(PathError),
    /// {0}: unknown list
    UnknownList(String),
    /// {0}: {1} values for {2} columns
    Ragged(String, usize, usize),
    /// {0}: the column {1} comes twice
    TwiceNamed(String, String),
    /// {0}: neither a service nor a mixture
    NoService(String),
    /// {0}: gains add up to 0
    NoGain(String),
    /// {0}: over ten minutes
    TooLong(String),
    /// {0}: neither idempotent nor effectful
    OddClass(String),
    /// {0}: does not begin and end with a slash
    OddPrefix(String),
    /// route {0} names the unknown service {1}
    UnknownService(String, String),
    /// tenants {0} and {1} share a key
    SharedKey(String, String),
    /// {0} {1:?}: r{2} has another content
    OtherContent(&'static str, String, u64),
}

impl std::error::Error for CallError {}

impl From<PathError> for CallError {
    fn from(e: PathError) -> Self {
        CallError::Unreadable(e)
    }
}

/// The items of a call, each checked for itself.
pub fn read_call(body: &[u8]) -> Result<Vec<Item>, CallError> {
    let value = crate::json_path::parse(body)?;
    let root = At::root(&value);
    root.object()?;
    let mut items = Vec::new();
    if let Some(set) = root.get("upsert") {
        for (name, value) in set.object()? {
            let Some(kind) = kind(name) else { return Err(CallError::UnknownList(name.clone())) };
            if value.is_null() {
                continue;
            }
            let list = set.need(name)?;
            match kind {
                Kind::Saturation => items.push(item(kind, &list, String::new())?),
                _ => rows(&list, |row, path| {
                    items.push(item(kind, &At::root(row), path)?);
                    Ok(())
                })?,
            }
        }
    }
    if let Some(drop) = root.get("remove") {
        for (name, value) in drop.object()? {
            let Some(kind) = kind(name) else { return Err(CallError::UnknownList(name.clone())) };
            if value.is_null() {
                continue;
            }
            rows(&drop.need(name)?, |row, _| {
                let at = At::root(row);
                let (label, version) = (at.need("label")?.name()?, at.need("revision")?.version()?);
                items.push(Item { kind, label: label.into(), version, body: None });
                Ok(())
            })?;
        }
    }
    Ok(items)
}

fn kind(name: &str) -> Option<Kind> {
    [Kind::Route, Kind::Tenant, Kind::Service, Kind::Saturation].into_iter().find(|k| k.list() == name)
}

/// Hands over the rows of a list, one after the other, as objects: given so, or as columns and records.
fn rows(list: &At, mut take: impl FnMut(&Value, String) -> Result<(), CallError>) -> Result<(), CallError> {
    if list.value().is_array() {
        for object in list.list()? {
            object.object()?;
            take(object.value(), object.path())?;
        }
        return Ok(());
    }
    let columns = list.need("columns")?.list()?;
    let columns: Vec<&str> = columns.iter().map(At::name).collect::<Result<_, _>>()?;
    let mut met = BTreeSet::new();
    if let Some(twice) = columns.iter().find(|name| !met.insert(**name)) {
        return Err(CallError::TwiceNamed(list.path(), (*twice).into()));
    }
    for record in list.need("records")?.list()? {
        let values = record.list()?;
        if values.len() != columns.len() {
            return Err(CallError::Ragged(record.path(), values.len(), columns.len()));
        }
        let fields = columns.iter().zip(&values).filter(|(_, v)| !v.value().is_null());
        let object: Map<String, Value> = fields.map(|(c, v)| ((*c).into(), v.value().clone())).collect();
        take(&Value::Object(object), record.path())?;
    }
    Ok(())
}

fn item(kind: Kind, at: &At, path: String) -> Result<Item, CallError> {
    let within = |e: PathError| match e {
        PathError::Missing(at) if !path.is_empty() => PathError::Missing(format!("{path}{}", &at[1..])),
        PathError::Not(at, what) if !path.is_empty() => PathError::Not(format!("{path}{}", &at[1..]), what),
        e => e,
    };
    let check = || -> Result<Item, CallError> {
        let version = at.need("revision")?.version()?;
        let label = if kind == Kind::Saturation { "" } else { at.need("label")?.name()? };
        match kind {
            Kind::Route => route(at, &path)?,
            Kind::Tenant => tenant(at)?,
            Kind::Service => service(at)?,
            Kind::Saturation => saturation(at)?,
        }
        Ok(Item { kind, label: label.into(), version, body: Some(at.object()?.into()) })
    };
    check().map_err(|e| match e {
        CallError::Unreadable(e) => CallError::Unreadable(within(e)),
        e => e,
    })
}

fn route(at: &At, path: &str) -> Result<(), CallError> {
    at.need("hostname")?.name()?;
    let prefix = at.need("path_prefix")?.text()?;
    if !(prefix.starts_with('/') && prefix.ends_with('/')) {
        return Err(CallError::OddPrefix(path.into()));
    }
    if !matches!(at.need("route_class")?.text()?, "idempotent" | "effectful") {
        return Err(CallError::OddClass(path.into()));
    }
    for name in ["cutoff", "target"] {
        if at.get(name).map(|t| t.time()).transpose()?.is_some_and(|t| t > CUTOFF_MOST) {
            return Err(CallError::TooLong(format!("{path}.{name}")));
        }
    }
    for name in ["rank", "max_attempts"] {
        at.get(name).map(|n| n.amount()).transpose()?;
    }
    at.get("unkeyed").map(|t| t.truth()).transpose()?;
    match (at.get("mixture"), at.get("service_ref")) {
        (Some(mixture), _) => {
            let mut sum = 0.0;
            for part in mixture.list()? {
                part.need("service_ref")?.name()?;
                sum += part.need("gain")?.amount()?;
            }
            if sum <= 0.0 {
                return Err(CallError::NoGain(path.into()));
            }
        }
        (None, Some(service)) => {
            service.name()?;
        }
        (None, None) => return Err(CallError::NoService(path.into())),
    }
    Ok(())
}

fn tenant(at: &At) -> Result<(), CallError> {
    if let Some(keys) = at.get("credentials") {
        for key in keys.list()? {
            key.name()?;
        }
    }
    for name in ["rank", "rate_per_s", "burst_size"] {
        at.get(name).map(|n| n.amount()).transpose()?;
    }
    Ok(())
}

fn service(at: &At) -> Result<(), CallError> {
    at.get("probe_path").map(|p| p.text()).transpose()?;
    at.get("conn_limit").map(|n| n.amount()).transpose()?;
    Ok(())
}

fn saturation(at: &At) -> Result<(), CallError> {
    for name in ["header_max_bytes", "body_max_bytes"] {
        at.get(name).map(|n| n.amount()).transpose()?;
    }
    for name in ["header_deadline", "idle_cutoff"] {
        at.get(name).map(|t| t.time()).transpose()?;
    }
    Ok(())
}

/// Judges the whole configuration that would stand: refused is what a call would newly put wrong, not what was so
/// before it. The items that would change anything are returned.
pub fn judge(held: &Items, call: &[Item]) -> Result<Vec<Item>, CallError> {
    let mut after = held.clone();
    let news: Vec<Item> = call.iter().filter(|i| after.merge((*i).clone())).cloned().collect();
    if news.is_empty() {
        return Ok(news);
    }
    let before = faults(held);
    match faults(&after).into_iter().find(|f| !before.contains(f)) {
        Some(fault) => Err(fault),
        None => Ok(news),
    }
}

/// What is wrong between the items of a configuration.
pub fn faults(items: &Items) -> Vec<CallError> {
    let mut found = Vec::new();
    for (label, body) in items.standing(Kind::Route) {
        for service in body.services() {
            let stands = items.standing(Kind::Service).any(|(l, _)| l == service);
            if !stands {
                found.push(CallError::UnknownService(label.into(), service));
            }
        }
    }
    let mut owners: BTreeMap<String, &str> = BTreeMap::new();
    for (label, body) in items.standing(Kind::Tenant) {
        for key in body.keys() {
            if let Some(other) = owners.insert(key, label).filter(|other| *other != label) {
                found.push(CallError::SharedKey(other.into(), label.into()));
            }
        }
    }
    found
}

/// The services that a route names.
pub fn services(route: &Map<String, Value>) -> Vec<&str> {
    let mixture = route.get("mixture").and_then(Value::as_array).into_iter().flatten();
    let mut named: Vec<&str> = mixture.filter_map(|p| p.get("service_ref")?.as_str()).collect();
    if named.is_empty() {
        named.extend(route.get("service_ref").and_then(Value::as_str));
    }
    named
}

/// The keys that a tenant has.
pub fn keys(tenant: &Map<String, Value>) -> impl Iterator<Item = &str> {
    tenant.get("credentials").and_then(Value::as_array).into_iter().flatten().filter_map(Value::as_str)
}
