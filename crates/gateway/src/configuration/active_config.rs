//! The view of the configuration that an edge node serves requests with: routes by host and longest path prefix, tenants
//! by credential, client limits. A view is immutable; after a change a new one is built from the [`ActiveItem`]s, one
//! per configuration item, which hold no JSON.

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

/// Latency target of a route without `target`.
const DEFAULT_LATENCY_TARGET: Duration = Duration::from_secs(1);
/// Limit on a request's head if the configuration has no `header_max_bytes`.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 * 1024;
/// Limit on a request's body if the configuration has no `body_max_bytes`.
const DEFAULT_MAX_BODY_BYTES: usize = 1024 * 1024;
/// Time limit for a request's head if the configuration has no `header_deadline`.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time of a client connection if the configuration has no `idle_cutoff`.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// A route: which service handles requests of a host and path, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route, unique among routes.
    pub label: Arc<str>,
    /// Prefix of the paths that the route matches; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may be executed more than once, and so be retried after it was sent to a worker.
    pub is_idempotent: bool,
    /// Upper bound on the time until the response; `None`: only the client's own limit applies.
    pub timeout: Option<Duration>,
    /// A response within this time has its full value to the client.
    pub latency_target: Duration,
    /// Priority in load shedding; 0 is the highest.
    pub priority: u32,
    /// Services that the route's requests go to, with their relative weights.
    pub service_weights: Vec<(Arc<str>, f64)>,
    /// Maximum number of attempts for one request, including the first.
    pub max_attempts: u32,
    /// Whether requests without a credential are accepted.
    pub allows_anonymous: bool,
    version: u64,
}

impl Route {
    /// Picks a service by weight; `draw` is uniform in 0..1. `None`: no service has a weight above 0.
    pub fn pick_service(&self, draw: f64) -> Option<&Arc<str>> {
        let sum: f64 = self.service_weights.iter().map(|w| w.1).sum();
        let mut remaining = draw * sum;
        let picked = self.service_weights.iter().find(|w| {
            remaining -= w.1;
            remaining < 0.0
        });
        // Rounding may leave `remaining` at 0 or above; then the last service with a weight is taken.
        picked.or(self.service_weights.iter().rev().find(|w| w.1 > 0.0)).map(|w| &w.0)
    }
}

/// A tenant: the customer that a request is attributed to by its credential.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant, unique among tenants.
    pub label: Arc<str>,
    /// Priority in load shedding that replaces the route's; `None`: the route's applies.
    pub priority: Option<u32>,
    /// Sustained requests per second; 0: no limit.
    pub requests_per_sec: f64,
    /// Burst allowance in requests, in addition to the sustained rate.
    pub burst: f64,
    version: u64,
}

/// Limits on client connections and requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a request's head must be complete.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// The view that requests are served with. Maps are shared between views, so that a clone is cheap.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveConfig {
    /// Routes by hostname in lower case, the longest prefix first.
    routes_by_host: Arc<HashMap<Arc<str>, Vec<Arc<Route>>>>,
    tenants_by_credential: Arc<HashMap<Arc<str>, Arc<Tenant>>>,
    tenants_by_label: Arc<HashMap<Arc<str>, Arc<Tenant>>>,
    /// Whether requests need a credential: true from the first tenant on, also once all tenants are removed. Then no
    /// credential is known. Routes with `allows_anonymous` are exempt.
    pub requires_credentials: bool,
    /// The client limits.
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

/// The part of an active item that is needed to serve requests. It takes a tenth of the memory of the item, whose JSON
/// object takes about 2 KB.
#[derive(Clone, Debug, PartialEq)]
pub enum ActiveItem {
    /// A route, with its hostname in lower case.
    Route(Arc<str>, Arc<Route>),
    /// A tenant, with its credentials.
    Tenant(Arc<Tenant>, Box<[Arc<str>]>),
    /// A service; serving requests needs none of its fields.
    Service,
    /// The client limits.
    Saturation(Box<ClientLimits>),
}

impl ActiveItem {
    /// Converts an item; `None` if the item is removed.
    pub fn from_item(item: &ConfigItem) -> Option<Self> {
        let body = &item.body.as_ref()?.to_map();
        Some(match item.kind {
            ItemKind::Route => ActiveItem::Route(
                text(body, "hostname").to_ascii_lowercase().into(),
                Arc::new(route_from(item, body)),
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
            ItemKind::Saturation => ActiveItem::Saturation(Box::new(client_limits_from(Some(body)))),
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

fn route_from(item: &ConfigItem, body: &Map<String, Value>) -> Route {
    let weight = |s: &Value| Some((s.get("service_ref")?.as_str()?.into(), s.get("gain")?.as_f64()?));
    let mixture = body.get("mixture").and_then(Value::as_array).into_iter().flatten();
    let mut service_weights: Vec<(Arc<str>, f64)> = mixture.filter_map(weight).collect();
    if service_weights.is_empty() {
        service_weights.push((text(body, "service_ref").into(), 1.0));
    }
    Route {
        label: item.label.as_str().into(),
        path_prefix: text(body, "path_prefix").into(),
        is_idempotent: text(body, "route_class") == "idempotent",
        timeout: duration(body, "cutoff"),
        latency_target: duration(body, "target").unwrap_or(DEFAULT_LATENCY_TARGET),
        priority: number(body, "rank").unwrap_or(0.0) as u32,
        service_weights,
        max_attempts: number(body, "max_attempts").map_or(1, |n| n.max(1.0) as u32),
        allows_anonymous: body.get("unkeyed").and_then(Value::as_bool).unwrap_or(false),
        version: item.version,
    }
}

fn group_routes(routes: Vec<(&Arc<str>, &Arc<Route>)>) -> HashMap<Arc<str>, Vec<Arc<Route>>> {
    let mut hosts: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
    for (host, route) in routes {
        hosts.entry(Arc::clone(host)).or_default().push(Arc::clone(route));
    }
    for routes in hosts.values_mut() {
        // The longest prefix comes first; among equal prefixes, the route with the higher version.
        let rank = |r: &Route| (Reverse(r.path_prefix.len()), Reverse(r.version));
        routes.sort_by(|a, b| rank(a).cmp(&rank(b)).then_with(|| a.label.cmp(&b.label)));
    }
    hosts
}

type TenantMap = HashMap<Arc<str>, Arc<Tenant>>;

/// Indexes the tenants by credential and by name.
fn group_tenants(mut tenants: Vec<(&Arc<Tenant>, &[Arc<str>])>) -> (TenantMap, TenantMap) {
    let mut by_credential = HashMap::with_capacity(tenants.iter().map(|t| t.1.len()).sum());
    let mut by_label = HashMap::with_capacity(tenants.len());
    tenants.sort_by(|(a, _), (b, _)| (a.version, &a.label).cmp(&(b.version, &b.label)));
    for (tenant, keys) in tenants {
        by_label.insert(Arc::clone(&tenant.label), Arc::clone(tenant));
        // If two tenants have the same credential, it belongs to the one with the higher version. Sorting by version
        // makes every node decide alike.
        for credential in keys {
            by_credential.insert(Arc::clone(credential), Arc::clone(tenant));
        }
    }
    (by_credential, by_label)
}

fn client_limits_from(body: Option<&Map<String, Value>>) -> ClientLimits {
    let amount = |name| body.and_then(|b| number(b, name)).map(|n| n as usize);
    let time = |name| body.and_then(|b| duration(b, name));
    ClientLimits {
        max_header_bytes: amount("header_max_bytes").unwrap_or(DEFAULT_MAX_HEADER_BYTES),
        max_body_bytes: amount("body_max_bytes").unwrap_or(DEFAULT_MAX_BODY_BYTES),
        header_timeout: time("header_deadline").unwrap_or(DEFAULT_HEADER_TIMEOUT),
        idle_timeout: time("idle_cutoff").unwrap_or(DEFAULT_IDLE_TIMEOUT),
    }
}

impl Default for ActiveConfig {
    /// The view of an empty configuration.
    fn default() -> Self {
        ActiveConfig {
            routes_by_host: Arc::default(),
            tenants_by_credential: Arc::default(),
            tenants_by_label: Arc::default(),
            requires_credentials: false,
            client_limits: client_limits_from(None),
        }
    }
}

impl ActiveConfig {
    /// The view of a set of items.
    #[cfg(test)]
    pub fn from_item_set(items: &ItemSet) -> Self {
        ActiveConfig::from_items(items.iter())
    }

    /// The view of these items, which may come in any order but have each name once. Of removed items only the kind
    /// counts.
    #[cfg(test)]
    pub fn from_items<'a>(items: impl Iterator<Item = &'a ConfigItem>) -> Self {
        let items: Vec<&ConfigItem> = items.collect();
        let active: Vec<ActiveItem> = items.iter().filter_map(|item| ActiveItem::from_item(item)).collect();
        let kinds = items.iter().map(|item| item.kind).collect();
        ActiveConfig::default().with_all_items(active.iter(), &kinds)
    }

    /// The view of all active items, in any order.
    pub fn from_active_items<'a>(items: impl Iterator<Item = &'a ActiveItem> + Clone) -> Self {
        let kinds = items.clone().map(ActiveItem::kind).collect();
        ActiveConfig::default().with_all_items(items, &kinds)
    }

    /// The view after an update with the full configuration: `items` are all active items, in any order, and `kinds`
    /// those of the update, also of removed items.
    pub fn with_all_items<'a>(
        &self,
        items: impl Iterator<Item = &'a ActiveItem>,
        kinds: &BTreeSet<ItemKind>,
    ) -> Self {
        let all = [ItemKind::Route, ItemKind::Tenant, ItemKind::Service, ItemKind::Saturation];
        let requires_credentials = self.requires_credentials || kinds.contains(&ItemKind::Tenant);
        ActiveConfig { requires_credentials, ..self.rebuilt(items, &BTreeSet::from(all)) }
    }

    /// The view after an update with a difference. The `changed` kinds, also those of removed items, are rebuilt from
    /// `items`, which are all active items; the other kinds are shared with this view. The result equals that of
    /// [`with_all_items`](ActiveConfig::with_all_items) if `changed` contains the kind of every item that changed.
    pub fn with_changed_kinds<'a>(
        &self,
        items: impl Iterator<Item = &'a ActiveItem>,
        changed: &BTreeSet<ItemKind>,
    ) -> Self {
        let requires_credentials = self.requires_credentials || changed.contains(&ItemKind::Tenant);
        ActiveConfig { requires_credentials, ..self.rebuilt(items, changed) }
    }

    /// This view with the `changed` kinds rebuilt from the active items.
    fn rebuilt<'a>(&self, items: impl Iterator<Item = &'a ActiveItem>, changed: &BTreeSet<ItemKind>) -> Self {
        let (mut routes, mut tenants, mut limits) = (Vec::new(), Vec::new(), None);
        for item in items.filter(|i| changed.contains(&i.kind())) {
            match item {
                ActiveItem::Route(host, route) => routes.push((host, route)),
                ActiveItem::Tenant(tenant, keys) => tenants.push((tenant, &**keys)),
                ActiveItem::Service => {}
                ActiveItem::Saturation(item) => limits = limits.or(Some(item)),
            }
        }
        let mut view = self.clone();
        if changed.contains(&ItemKind::Route) {
            view.routes_by_host = Arc::new(group_routes(routes));
        }
        if changed.contains(&ItemKind::Tenant) {
            let (by_credential, by_label) = group_tenants(tenants);
            (view.tenants_by_credential, view.tenants_by_label) =
                (Arc::new(by_credential), Arc::new(by_label));
        }
        if changed.contains(&ItemKind::Saturation) {
            view.client_limits = limits.map_or_else(|| client_limits_from(None), |s| (**s).clone());
        }
        view
    }

    /// The route of a request: the one with the longest matching prefix among the host's routes. `host` may include a
    /// port and is compared without regard to case.
    pub fn match_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let without_port = host.rsplit_once(':').filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()));
        let name = without_port.map_or(host, |(name, _)| name).to_ascii_lowercase();
        self.routes_by_host.get(name.as_str())?.iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// The tenant that a credential belongs to.
    pub fn tenant_by_credential(&self, credential: &str) -> Option<&Arc<Tenant>> {
        self.tenants_by_credential.get(credential)
    }

    /// The tenants by name.
    pub fn tenants_by_label(&self) -> &HashMap<Arc<str>, Arc<Tenant>> {
        &self.tenants_by_label
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes_by_host.values().flatten()
    }
}
