//! Owns what a gatekeeper serves by: routes by host and longest prefix, keys to tenants, bounds on clients; folded
//! from the items. It must never be changed but by folding anew.

use super::items::{Items, Kind};
use crate::paths::time;
use serde_json::{Map, Value};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub label: Arc<str>,
    /// What a path must begin with.
    pub prefix: String,
    /// May its requests run more than once?
    pub repeatable: bool,
    /// The longest that a request is held.
    pub cutoff: Option<Duration>,
    /// An answer within this earns its full worth.
    pub target: Duration,
    /// 0 is the highest.
    pub rank: u32,
    /// Where its requests go, with weights.
    pub mixture: Vec<(Arc<str>, f64)>,
    /// The most workers that one request is sent to.
    pub max_attempts: u32,
    /// Does it need no key?
    pub unkeyed: bool,
    version: u64,
}

impl Route {
    /// The service for a request, by a draw from 0 to 1.
    pub fn service(&self, draw: f64) -> Option<&Arc<str>> {
        let sum: f64 = self.mixture.iter().map(|m| m.1).sum();
        let mut at = draw * sum;
        let hit = self.mixture.iter().find(|m| {
            at -= m.1;
            at < 0.0
        });
        hit.or(self.mixture.iter().rev().find(|m| m.1 > 0.0)).map(|m| &m.0)
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub label: Arc<str>,
    /// Goes before that of the route.
    pub rank: Option<u32>,
    /// Requests a second; 0: no limit.
    pub rate: f64,
    /// Requests on top.
    pub burst: f64,
}

/// Bounds on clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Saturation {
    /// The longest head.
    pub header_bytes: usize,
    /// The longest body.
    pub body_bytes: usize,
    /// A head is whole within this.
    pub header_deadline: Duration,
    /// A connection may be idle for this long.
    pub idle_cutoff: Duration,
}

/// What a gatekeeper serves by.
#[derive(Clone, Debug)]
pub struct View {
    hosts: HashMap<String, Vec<Arc<Route>>>,
    keys: HashMap<String, Arc<Tenant>>,
    tenants: HashMap<Arc<str>, Arc<Tenant>>,
    /// Does the configuration hold tenants, so that keys are asked for?
    pub keyed: bool,
    /// Bounds on clients.
    pub saturation: Saturation,
}

fn text<'a>(body: &'a Map<String, Value>, name: &str) -> &'a str {
    body.get(name).and_then(Value::as_str).unwrap_or_default()
}

fn number(body: &Map<String, Value>, name: &str) -> Option<f64> {
    body.get(name).and_then(Value::as_f64)
}

fn duration(body: &Map<String, Value>, name: &str) -> Option<Duration> {
    body.get(name).and_then(Value::as_str).and_then(time)
}

impl View {
    /// Folds the items that stand.
    pub fn fold(items: &Items) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for (label, body) in items.standing(Kind::Route) {
            let part = |p: &Value| Some((p.get("service_ref")?.as_str()?.into(), p.get("gain")?.as_f64()?));
            let mixture = body.get("mixture").and_then(Value::as_array).into_iter().flatten();
            let mut mixture: Vec<(Arc<str>, f64)> = mixture.filter_map(part).collect();
            if mixture.is_empty() {
                mixture.push((text(body, "service_ref").into(), 1.0));
            }
            let route = Route {
                label: label.into(),
                prefix: text(body, "path_prefix").into(),
                repeatable: text(body, "route_class") == "idempotent",
                cutoff: duration(body, "cutoff"),
                target: duration(body, "target").unwrap_or(Duration::from_secs(1)),
                rank: number(body, "rank").unwrap_or(0.0) as u32,
                mixture,
                max_attempts: number(body, "max_attempts").map_or(1, |n| n.max(1.0) as u32),
                unkeyed: body.get("unkeyed").and_then(Value::as_bool).unwrap_or(false),
                version: items.version(Kind::Route, label).unwrap_or(0),
            };
            hosts.entry(text(body, "hostname").to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            // The longest prefix first; of the same place the newer route.
            routes.sort_by(|a, b| b.prefix.len().cmp(&a.prefix.len()).then(b.version.cmp(&a.version)));
        }
        let (mut keys, mut tenants) = (HashMap::new(), HashMap::new());
        let mut by_version: Vec<_> = items.standing(Kind::Tenant).collect();
        by_version.sort_by_key(|(label, _)| items.version(Kind::Tenant, label));
        for (label, body) in by_version {
            let tenant = Arc::new(Tenant {
                label: label.into(),
                rank: number(body, "rank").map(|n| n as u32),
                rate: number(body, "rate_per_s").unwrap_or(0.0),
                burst: number(body, "burst_size").unwrap_or(0.0),
            });
            tenants.insert(Arc::clone(&tenant.label), Arc::clone(&tenant));
            // Where two operators gave a key to two tenants at once, the newer version has it, everywhere.
            for key in body.get("credentials").and_then(Value::as_array).into_iter().flatten() {
                keys.insert(key.as_str().unwrap_or_default().to_owned(), Arc::clone(&tenant));
            }
        }
        let saturation = items.standing(Kind::Saturation).next().map(|s| s.1.clone()).unwrap_or_default();
        View {
            hosts,
            keys,
            keyed: !tenants.is_empty(),
            tenants,
            saturation: Saturation {
                header_bytes: number(&saturation, "header_max_bytes").unwrap_or(16384.0) as usize,
                body_bytes: number(&saturation, "body_max_bytes").unwrap_or(1048576.0) as usize,
                header_deadline: duration(&saturation, "header_deadline").unwrap_or(Duration::from_secs(3)),
                idle_cutoff: duration(&saturation, "idle_cutoff").unwrap_or(Duration::from_secs(15)),
            },
        }
    }

    /// The route of a request: of the host's routes the one with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()));
        let name = name.map_or(host, |(name, _)| name).to_ascii_lowercase();
        self.hosts.get(&name)?.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// The tenant that holds a key.
    pub fn tenant(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.keys.get(key)
    }

    /// The tenants by name.
    pub fn tenants(&self) -> &HashMap<Arc<str>, Arc<Tenant>> {
        &self.tenants
    }

    /// The routes that stand.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}
