//! Parses an operator's request and states the rules that a configuration must satisfy. [`parse_change`] checks each
//! item by itself; [`find_violations`] checks the rules between items. Nothing is applied here.

use super::item::{ConfigItem, ItemKind, ItemSet};
use crate::json_path::{JsonNode, JsonPathError};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Upper bound of a route's `cutoff` and `target`.
const MAX_ROUTE_TIMEOUT: Duration = Duration::from_secs(600);

/// Why a request is rejected (HTTP 400 or 409). Paths in the texts begin at `$`, the root of the request.
#[derive(Clone, Debug, PartialEq, displaydoc::Display)]
#[ignore_extra_doc_attributes]
pub enum ChangeError {
    /// unreadable: {0}
    ///
    /// The request is not JSON, or a field is missing or has a value of the wrong type.
    Unreadable(JsonPathError),
    /// {0}: unknown list
    ///
    /// The name of the set in the request.
    UnknownList(String),
    /// {path}: {values} values for {columns} columns
    RecordLengthMismatch {
        /// Path of the record.
        path: String,
        /// Number of values in the record.
        values: usize,
        /// Number of columns of the record's set.
        columns: usize,
    },
    /// {path}: the column {column} comes twice
    DuplicateColumn {
        /// Path of the set.
        path: String,
        /// Name of the duplicate column.
        column: String,
    },
    /// {0}: neither a service nor a mixture
    ///
    /// The path of the route.
    MissingService(String),
    /// {0}: gains add up to 0
    ///
    /// The path of the route.
    ZeroTotalGain(String),
    /// {0}: over ten minutes
    ///
    /// The path of the route's `cutoff` or `target`. The limit is `MAX_ROUTE_TIMEOUT`.
    DurationTooLong(String),
    /// {0}: neither idempotent nor effectful
    ///
    /// The path of the route.
    UnknownRouteClass(String),
    /// {0}: does not begin and end with a slash
    ///
    /// The path of the route.
    InvalidPathPrefix(String),
    /// route {route} names the unknown service {service}
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service, which does not exist or would be removed by the change.
        service: String,
    },
    /// tenants {0} and {1} share a key
    ///
    /// The names of the tenants.
    SharedCredential(String, String),
    /// {set} {label:?}: r{version} has another content
    ///
    /// The version was confirmed with different content, or the change has it twice with different content.
    VersionContentMismatch {
        /// The operator's name of the item's set.
        set: &'static str,
        /// Name of the item.
        label: String,
        /// Version of the item.
        version: u64,
    },
}

impl std::error::Error for ChangeError {}

impl From<JsonPathError> for ChangeError {
    fn from(e: JsonPathError) -> Self {
        ChangeError::Unreadable(e)
    }
}

/// Parses the items of an operator's request and checks each by itself. Rules between items are not checked here.
pub fn parse_change(body: &[u8]) -> Result<Vec<ConfigItem>, ChangeError> {
    let value = crate::json_path::parse(body)?;
    let root = JsonNode::root(&value);
    root.object()?;
    let mut items = Vec::new();
    if let Some(upserts) = root.optional("upsert") {
        for_each_set(&upserts, |kind, set| parse_upserts(kind, set, &mut items))?;
    }
    if let Some(removals) = root.optional("remove") {
        for_each_set(&removals, |kind, set| parse_removals(kind, set, &mut items))?;
    }
    Ok(items)
}

/// Calls `parse` for each set of items in an object. A set that is null counts as absent.
fn for_each_set(
    sets: &JsonNode,
    mut parse: impl FnMut(ItemKind, &JsonNode) -> Result<(), ChangeError>,
) -> Result<(), ChangeError> {
    for (name, value) in sets.object()? {
        let Some(kind) = kind_of_set(name) else { return Err(ChangeError::UnknownList(name.clone())) };
        if !value.is_null() {
            parse(kind, &sets.required(name)?)?;
        }
    }
    Ok(())
}

fn kind_of_set(name: &str) -> Option<ItemKind> {
    [ItemKind::Route, ItemKind::Tenant, ItemKind::Service, ItemKind::Saturation]
        .into_iter()
        .find(|k| k.set_name() == name)
}

fn parse_upserts(kind: ItemKind, set: &JsonNode, items: &mut Vec<ConfigItem>) -> Result<(), ChangeError> {
    if kind == ItemKind::Saturation {
        items.push(parse_item(kind, set, String::new())?);
        return Ok(());
    }
    for_each_row(set, |row, path| {
        items.push(parse_item(kind, &JsonNode::root(row), path)?);
        Ok(())
    })
}

fn parse_removals(kind: ItemKind, set: &JsonNode, items: &mut Vec<ConfigItem>) -> Result<(), ChangeError> {
    for_each_row(set, |row, _| {
        let row = JsonNode::root(row);
        let (label, version) =
            (row.required("label")?.as_non_empty_str()?, row.required("revision")?.as_version()?);
        items.push(ConfigItem { kind, label: label.into(), version, body: None });
        Ok(())
    })
}

/// Calls `visit` for each row of a set, with the row as an object and its path in the request. A set is either a list
/// of objects or an object with `columns` and `records`; a null in a record means that the field is absent.
fn for_each_row(
    set: &JsonNode,
    mut visit: impl FnMut(&Value, String) -> Result<(), ChangeError>,
) -> Result<(), ChangeError> {
    if set.value().is_array() {
        for object in set.elements()? {
            object.object()?;
            visit(object.value(), object.path())?;
        }
        return Ok(());
    }
    let columns = set.required("columns")?.elements()?;
    let columns: Vec<&str> = columns.iter().map(JsonNode::as_non_empty_str).collect::<Result<_, _>>()?;
    let mut seen = BTreeSet::new();
    if let Some(duplicate) = columns.iter().find(|name| !seen.insert(**name)) {
        return Err(ChangeError::DuplicateColumn { path: set.path(), column: (*duplicate).into() });
    }
    for record in set.required("records")?.elements()? {
        let values = record.elements()?;
        if values.len() != columns.len() {
            let (path, values, columns) = (record.path(), values.len(), columns.len());
            return Err(ChangeError::RecordLengthMismatch { path, values, columns });
        }
        let fields = columns.iter().zip(&values).filter(|(_, v)| !v.value().is_null());
        let object: Map<String, Value> = fields.map(|(c, v)| ((*c).into(), v.value().clone())).collect();
        visit(&Value::Object(object), record.path())?;
    }
    Ok(())
}

/// Parses and checks one item. `path` is the item's path in the request; the paths in `item` begin at the item, so those
/// in errors are prefixed with `path`.
fn parse_item(kind: ItemKind, item: &JsonNode, path: String) -> Result<ConfigItem, ChangeError> {
    let parse = || -> Result<ConfigItem, ChangeError> {
        let version = item.required("revision")?.as_version()?;
        let label =
            if kind == ItemKind::Saturation { "" } else { item.required("label")?.as_non_empty_str()? };
        match kind {
            ItemKind::Route => check_route(item, &path)?,
            ItemKind::Tenant => check_tenant(item)?,
            ItemKind::Service => check_service(item)?,
            ItemKind::Saturation => check_client_limits(item)?,
        }
        Ok(ConfigItem { kind, label: label.into(), version, body: Some(item.object()?.into()) })
    };
    parse().map_err(|error| match error {
        ChangeError::Unreadable(error) => ChangeError::Unreadable(prefix_path(&path, error)),
        error => error,
    })
}

/// Replaces the root `$` of a path within an item by `path`, the item's path in the request.
fn prefix_path(path: &str, error: JsonPathError) -> JsonPathError {
    match error {
        error if path.is_empty() => error,
        JsonPathError::Missing(at) => JsonPathError::Missing(format!("{path}{}", &at[1..])),
        JsonPathError::Invalid(at, what) => JsonPathError::Invalid(format!("{path}{}", &at[1..]), what),
        error => error,
    }
}

fn check_route(route: &JsonNode, path: &str) -> Result<(), ChangeError> {
    route.required("hostname")?.as_non_empty_str()?;
    let prefix = route.required("path_prefix")?.as_str()?;
    if !(prefix.starts_with('/') && prefix.ends_with('/')) {
        return Err(ChangeError::InvalidPathPrefix(path.into()));
    }
    if !matches!(route.required("route_class")?.as_str()?, "idempotent" | "effectful") {
        return Err(ChangeError::UnknownRouteClass(path.into()));
    }
    for name in ["cutoff", "target"] {
        if route.optional(name).map(|t| t.as_duration()).transpose()?.is_some_and(|t| t > MAX_ROUTE_TIMEOUT) {
            return Err(ChangeError::DurationTooLong(format!("{path}.{name}")));
        }
    }
    for name in ["rank", "max_attempts"] {
        route.optional(name).map(|n| n.as_non_negative()).transpose()?;
    }
    route.optional("unkeyed").map(|t| t.as_bool()).transpose()?;
    match (route.optional("mixture"), route.optional("service_ref")) {
        (Some(mixture), _) => {
            let mut sum = 0.0;
            for share in mixture.elements()? {
                share.required("service_ref")?.as_non_empty_str()?;
                sum += share.required("gain")?.as_non_negative()?;
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

fn check_tenant(tenant: &JsonNode) -> Result<(), ChangeError> {
    if let Some(keys) = tenant.optional("credentials") {
        for key in keys.elements()? {
            key.as_non_empty_str()?;
        }
    }
    for name in ["rank", "rate_per_s", "burst_size"] {
        tenant.optional(name).map(|n| n.as_non_negative()).transpose()?;
    }
    Ok(())
}

fn check_service(service: &JsonNode) -> Result<(), ChangeError> {
    service.optional("probe_path").map(|p| p.as_str()).transpose()?;
    service.optional("conn_limit").map(|n| n.as_non_negative()).transpose()?;
    Ok(())
}

fn check_client_limits(limits: &JsonNode) -> Result<(), ChangeError> {
    for name in ["header_max_bytes", "body_max_bytes"] {
        limits.optional(name).map(|n| n.as_non_negative()).transpose()?;
    }
    for name in ["header_deadline", "idle_cutoff"] {
        limits.optional(name).map(|t| t.as_duration()).transpose()?;
    }
    Ok(())
}

/// Validates a change against a complete configuration. A change is rejected only for violations that it introduces, not
/// for those that exist already. Returns the items of the change that would have an effect.
pub fn validate_change(current: &ItemSet, change: &[ConfigItem]) -> Result<Vec<ConfigItem>, ChangeError> {
    let mut after = current.clone();
    let effective: Vec<ConfigItem> = change.iter().filter(|i| after.merge((*i).clone())).cloned().collect();
    if effective.is_empty() {
        return Ok(effective);
    }
    let before = find_violations(current);
    match find_violations(&after).into_iter().find(|v| !before.contains(v)) {
        Some(violation) => Err(violation),
        None => Ok(effective),
    }
}

/// Violations of the rules between items: every service that a route refers to exists, and no two tenants have the same
/// credential.
pub fn find_violations(items: &ItemSet) -> Vec<ChangeError> {
    let mut violations = Vec::new();
    for (label, body) in items.active_items(ItemKind::Route) {
        for service in body.route_services() {
            let exists = items.active_items(ItemKind::Service).any(|(l, _)| l == service);
            if !exists {
                violations.push(ChangeError::UnknownService { route: label.into(), service });
            }
        }
    }
    let mut owners: BTreeMap<String, &str> = BTreeMap::new();
    for (label, body) in items.active_items(ItemKind::Tenant) {
        for credential in body.tenant_credentials() {
            if let Some(other) = owners.insert(credential, label).filter(|other| *other != label) {
                violations.push(ChangeError::SharedCredential(other.into(), label.into()));
            }
        }
    }
    violations
}

/// The services that a route refers to: those of its `mixture`, or else its `service_ref`.
pub fn route_services(route: &Map<String, Value>) -> Vec<&str> {
    let mixture = route.get("mixture").and_then(Value::as_array).into_iter().flatten();
    let mut services: Vec<&str> = mixture.filter_map(|s| s.get("service_ref")?.as_str()).collect();
    if services.is_empty() {
        services.extend(route.get("service_ref").and_then(Value::as_str));
    }
    services
}

/// The credentials of a tenant.
pub fn tenant_credentials(tenant: &Map<String, Value>) -> impl Iterator<Item = &str> {
    tenant.get("credentials").and_then(Value::as_array).into_iter().flatten().filter_map(Value::as_str)
}
