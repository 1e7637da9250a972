//! Owns what a gatekeeper serves by: routes by host and longest prefix, keys to tenants, bounds on clients; folded
//! from parts, one of each item. It must never be changed but by folding anew, nor keep an item's JSON.

use super::change::tenant_credentials;
#[cfg(test)]
use super::item::ItemSet;
use super::item::{ConfigItem, ItemKind};
use crate::json_path::parse_duration;
use serde_json::{Map, Value};
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub label: Arc<str>,
    /// What a path must begin with.
    pub path_prefix: String,
    /// May its requests run more than once?
    pub is_idempotent: bool,
    /// The longest that a request is held.
    pub timeout: Option<Duration>,
    /// An answer within this earns its full worth.
    pub latency_target: Duration,
    /// 0 is the highest.
    pub priority: u32,
    /// Where its requests go, with weights.
    pub service_weights: Vec<(Arc<str>, f64)>,
    /// The most workers that one request is sent to.
    pub max_attempts: u32,
    /// Does it need no key?
    pub allows_anonymous: bool,
    version: u64,
}

impl Route {
    /// The service for a request, by a draw from 0 to 1.
    pub fn pick_service(&self, draw: f64) -> Option<&Arc<str>> {
        let sum: f64 = self.service_weights.iter().map(|m| m.1).sum();
        let mut at = draw * sum;
        let hit = self.service_weights.iter().find(|m| {
            at -= m.1;
            at < 0.0
        });
        hit.or(self.service_weights.iter().rev().find(|m| m.1 > 0.0)).map(|m| &m.0)
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub label: Arc<str>,
    /// Goes before that of the route.
    pub priority: Option<u32>,
    /// Requests a second; 0: no limit.
    pub requests_per_sec: f64,
    /// Requests on top.
    pub burst: f64,
    version: u64,
}

/// Bounds on clients.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientLimits {
    /// The longest head.
    pub max_header_bytes: usize,
    /// The longest body.
    pub max_body_bytes: usize,
    /// A head is whole within this.
    pub header_timeout: Duration,
    /// A connection may be idle for this long.
    pub idle_timeout: Duration,
}

/// What a gatekeeper serves by.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveConfig {
    hosts: Arc<HashMap<Arc<str>, Vec<Arc<Route>>>>,
    keys: Arc<HashMap<Arc<str>, Arc<Tenant>>>,
    tenants: Arc<HashMap<Arc<str>, Arc<Tenant>>>,
    /// Does the configuration hold tenants, so that keys are asked for?
    pub requires_credentials: bool,
    /// Bounds on clients.
    pub client_limits: ClientLimits,
}

fn text<'a>(body: &'a Map<String, Value>, name: &str) -> &'a str {
    body.get(name).and_then(Value::as_str).unwrap_or_default()
}

fn number(body: &Map<String, Value>, name: &str) -> Option<f64> {
    body.get(name).and_then(Value::as_f64)
}

fn duration(body: &Map<String, Value>, name: &str) -> Option<Duration> {
    body.get(name).and_then(Value::as_str).and_then(parse_duration)
}

/// What is served by of one item that stands: a tenth of the item's memory (a JSON object takes some 2 KB).
#[derive(Clone, Debug, PartialEq)]
pub enum ActiveItem {
    /// A route, with its host in lower case.
    Route(Arc<str>, Arc<Route>),
    /// A tenant, with its keys.
    Tenant(Arc<Tenant>, Box<[Arc<str>]>),
    /// Nothing is served by a service's item.
    Service,
    /// Bounds on clients.
    Saturation(Box<ClientLimits>),
}

impl ActiveItem {
    /// Of an item; `None`: it is dropped.
    pub fn from_item(item: &ConfigItem) -> Option<Self> {
        let body = &item.body.as_ref()?.to_map();
        Some(match item.kind {
            ItemKind::Route => ActiveItem::Route(
                text(body, "hostname").to_ascii_lowercase().into(),
                Arc::new(route(item, body)),
            ),
            ItemKind::Tenant => {
                let tenant = Tenant {
                    label: item.label.as_str().into(),
                    priority: number(body, "rank").map(|n| n as u32),
                    requests_per_sec: number(body, "rate_per_s").unwrap_or(0.0),
                    burst: number(body, "burst_size").unwrap_or(0.0),
                    version: item.version,
                };
                ActiveItem::Tenant(Arc::new(tenant), tenant_credentials(body).map(Into::into).collect())
            }
            ItemKind::Service => ActiveItem::Service,
            ItemKind::Saturation => ActiveItem::Saturation(Box::new(saturation(Some(body)))),
        })
    }

    fn kind(&self) -> ItemKind {
        match self {
            ActiveItem::Route(..) => ItemKind::Route,
            ActiveItem::Tenant(..) => ItemKind::Tenant,
            ActiveItem::Service => ItemKind::Service,
            ActiveItem::Saturation(_) => ItemKind::Saturation,
        }
    }
}

fn route(item: &ConfigItem, body: &Map<String, Value>) -> Route {
    let part = |p: &Value| Some((p.get("service_ref")?.as_str()?.into(), p.get("gain")?.as_f64()?));
    let mixture = body.get("mixture").and_then(Value::as_array).into_iter().flatten();
    let mut mixture: Vec<(Arc<str>, f64)> = mixture.filter_map(part).collect();
    if mixture.is_empty() {
        mixture.push((text(body, "service_ref").into(), 1.0));
    }
    Route {
        label: item.label.as_str().into(),
        path_prefix: text(body, "path_prefix").into(),
        is_idempotent: text(body, "route_class") == "idempotent",
        timeout: duration(body, "cutoff"),
        latency_target: duration(body, "target").unwrap_or(Duration::from_secs(1)),
        priority: number(body, "rank").unwrap_or(0.0) as u32,
        service_weights: mixture,
        max_attempts: number(body, "max_attempts").map_or(1, |n| n.max(1.0) as u32),
        allows_anonymous: body.get("unkeyed").and_then(Value::as_bool).unwrap_or(false),
        version: item.version,
    }
}

fn fold_routes(routes: Vec<(&Arc<str>, &Arc<Route>)>) -> HashMap<Arc<str>, Vec<Arc<Route>>> {
    let mut hosts: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
    for (host, route) in routes {
        hosts.entry(Arc::clone(host)).or_default().push(Arc::clone(route));
    }
    for routes in hosts.values_mut() {
        // The longest prefix first; of the same place the newer route.
        let place = |r: &Route| (Reverse(r.path_prefix.len()), Reverse(r.version));
        routes.sort_by(|a, b| place(a).cmp(&place(b)).then_with(|| a.label.cmp(&b.label)));
    }
    hosts
}

type Tenants = HashMap<Arc<str>, Arc<Tenant>>;

/// By key and by name.
fn fold_tenants(mut tenants: Vec<(&Arc<Tenant>, &[Arc<str>])>) -> (Tenants, Tenants) {
    let mut by_key = HashMap::with_capacity(tenants.iter().map(|t| t.1.len()).sum());
    let mut by_label = HashMap::with_capacity(tenants.len());
    tenants.sort_by(|(a, _), (b, _)| (a.version, &a.label).cmp(&(b.version, &b.label)));
    for (tenant, keys) in tenants {
        by_label.insert(Arc::clone(&tenant.label), Arc::clone(tenant));
        // Where two operators gave a key to two tenants at once, the newer version has it, everywhere.
        for key in keys {
            by_key.insert(Arc::clone(key), Arc::clone(tenant));
        }
    }
    (by_key, by_label)
}

fn saturation(body: Option<&Map<String, Value>>) -> ClientLimits {
    let amount = |name| body.and_then(|b| number(b, name)).map(|n| n as usize);
    let time = |name| body.and_then(|b| duration(b, name));
    ClientLimits {
        max_header_bytes: amount("header_max_bytes").unwrap_or(16384),
        max_body_bytes: amount("body_max_bytes").unwrap_or(1048576),
        header_timeout: time("header_deadline").unwrap_or(Duration::from_secs(3)),
        idle_timeout: time("idle_cutoff").unwrap_or(Duration::from_secs(15)),
    }
}

impl Default for ActiveConfig {
    /// Of nothing.
    fn default() -> Self {
        ActiveConfig {
            hosts: Arc::default(),
            keys: Arc::default(),
            tenants: Arc::default(),
            requires_credentials: false,
            client_limits: saturation(None),
        }
    }
}

impl ActiveConfig {
    /// Folds the items that stand.
    #[cfg(test)]
    pub fn from_item_set(items: &ItemSet) -> Self {
        ActiveConfig::from_items(items.iter())
    }

    /// Folds the items that stand, given in any order, each name once; those dropped are passed over.
    #[cfg(test)]
    pub fn from_items<'a>(items: impl Iterator<Item = &'a ConfigItem>) -> Self {
        let parts: Vec<ActiveItem> = items.filter_map(ActiveItem::from_item).collect();
        ActiveConfig::from_active_items(parts.iter())
    }

    /// Folds the parts of all items that stand, given in any order.
    pub fn from_active_items<'a>(parts: impl Iterator<Item = &'a ActiveItem>) -> Self {
        let all = [ItemKind::Route, ItemKind::Tenant, ItemKind::Service, ItemKind::Saturation];
        ActiveConfig::default().with_changed_kinds(parts, &BTreeSet::from(all))
    }

    /// The view after a change: `changed` kinds are folded from `parts` (of all items that stand, as for
    /// [`View::fold_parts`]), the others are shared with this view. Equal to a full fold if `changed` names the kind of
    /// every item that changed.
    pub fn with_changed_kinds<'a>(
        &self,
        parts: impl Iterator<Item = &'a ActiveItem>,
        changed: &BTreeSet<ItemKind>,
    ) -> Self {
        let (mut routes, mut tenants, mut bounds) = (Vec::new(), Vec::new(), None);
        for part in parts.filter(|p| changed.contains(&p.kind())) {
            match part {
                ActiveItem::Route(host, route) => routes.push((host, route)),
                ActiveItem::Tenant(tenant, keys) => tenants.push((tenant, &**keys)),
                ActiveItem::Service => {}
                ActiveItem::Saturation(saturation) => bounds = bounds.or(Some(saturation)),
            }
        }
        let mut view = self.clone();
        if changed.contains(&ItemKind::Route) {
            view.hosts = Arc::new(fold_routes(routes));
        }
        if changed.contains(&ItemKind::Tenant) {
            let (by_key, by_label) = fold_tenants(tenants);
            view.requires_credentials = !by_label.is_empty();
            (view.keys, view.tenants) = (Arc::new(by_key), Arc::new(by_label));
        }
        if changed.contains(&ItemKind::Saturation) {
            view.client_limits = bounds.map_or_else(|| saturation(None), |s| (**s).clone());
        }
        view
    }

    /// The route of a request: of the host's routes the one with the longest prefix that begins the path.
    pub fn match_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()));
        let name = name.map_or(host, |(name, _)| name).to_ascii_lowercase();
        self.hosts.get(name.as_str())?.iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// The tenant that holds a key.
    pub fn tenant_by_credential(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.keys.get(key)
    }

    /// The tenants by name.
    pub fn tenants_by_label(&self) -> &HashMap<Arc<str>, Arc<Tenant>> {
        &self.tenants
    }

    /// The routes that stand.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}
