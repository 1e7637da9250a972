//! What other gateways charged and saw, by copies of their books: handed in whole, and this gateway's own handed out.
//! It owns how the copies reach the records; it must never refuse anything. Without copies nothing of this is ever
//! called.

use crate::fleet::budget::Ppm;
use crate::fleet::replica::{NodeHealth, RemoteUsage};
use crate::gateway::interface::Plan;
use crate::gateway::state::{count_name, Customer, Gateway, Health, Host};
use crate::identifiers::{CustomerId, HostId};
use std::collections::BTreeMap;

/// What this gateway charged one customer in one window.
#[derive(Clone, Debug, PartialEq)]
pub struct WindowUsage {
    /// Whom.
    pub customer: CustomerId,
    /// The window's number, the same at every gateway.
    pub window: i64,
    /// Units; within a window they only grow, but for what is settled.
    pub units: f64,
    /// Units that the counter has answered of this gateway, those that stand for untold ones among them.
    pub acknowledged_units: f64,
    /// The window and the next one are over then, in Unix seconds.
    pub expires_at: f64,
}

/// What this gateway has to tell, and what it would like to hear of.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalState {
    /// Its charges, in windows that are not over.
    pub usage: Vec<WindowUsage>,
    /// Hosts that do badly, by outcomes of its own.
    pub host_health: Vec<(HostId, NodeHealth)>,
    /// Hosts of which it has no outcome in their present life, each with its start.
    pub unobserved_hosts: Vec<(HostId, f64)>,
    /// What it wants of ceilings that are divided.
    pub ceiling_demand: Vec<(CustomerId, Ppm)>,
}

/// What the copies tell now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RemoteState {
    /// What others hold of customers' windows, where it has changed; nothing held: it is out of date.
    pub usage: Vec<((CustomerId, i64), RemoteUsage)>,
    /// Others' judgements of hosts that were asked for, each with the age of its evidence in seconds.
    pub host_health: Vec<(HostId, NodeHealth, f64)>,
    /// Part of the other gateways whose copies are fresh, 0 to 1.
    pub fresh_fraction: f64,
}

/// What was told so far.
#[derive(Default)]
pub(crate) struct Books {
    spent: BTreeMap<(CustomerId, i64), RemoteUsage>,
    pub(crate) fresh: f64,
    /// When the counter was last asked for what the copies know beyond its last total.
    probed_at: f64,
}

impl Books {
    fn of(&self, customer: &CustomerId, window: i64) -> RemoteUsage {
        self.spent.get(&(customer.clone(), window)).copied().unwrap_or_default()
    }

    /// Part of the quota of a customer that comes through so many gateways, to be shared among those whose copies are
    /// fresh; 0: none of the others'. Its last units go by chance: all see them at once, and each would take them.
    pub(crate) fn part(&self, width: f64) -> f64 {
        let width = width.max(1.0);
        if self.fresh > 0.0 {
            (1.0 + (width - 1.0) * self.fresh.min(1.0)) / width
        } else {
            0.0
        }
    }

    /// What all charged a customer, not met here before, in the window before this one and beyond what the rate gave
    /// back since: it owes that. A gateway that met it carries its own books over.
    pub(crate) fn owed(&self, customer: &CustomerId, window: i64, plan: &Plan) -> f64 {
        let before = self.of(customer, window - 1);
        (before.others + before.previous_incarnations - plan.rate * Gateway::window_s(plan)).max(0.0)
    }
}

impl Customer {
    /// Takes over what the copies tell of the window it is in. Within a window what is spent never shrinks, whoever
    /// was forgotten meanwhile. What a former life charged counts as this gateway's own: its share is spent.
    pub(crate) fn copied(&mut self, told: &Books, id: &CustomerId) {
        let RemoteUsage { others, previous_incarnations: former, .. } = told.of(id, self.window);
        self.elsewhere = self.elsewhere.max(others);
        self.own += (former - self.former).max(0.0);
        self.former = self.former.max(former);
        // What others charged in the window before and was not known as it ended is owed now.
        let late = (told.of(id, self.window - 1).others - self.earlier).max(0.0);
        self.earlier += late;
        self.store -= late;
    }
}

/// A host does badly where so much of its attempts fails...
const FAILS: f64 = 0.3;
/// ...or its answers take so much longer than expected.
const SLOW: f64 = 1.5;
/// Outcomes older than this are no news to others, in seconds.
const NEWS_S: f64 = 20.0;
/// Hosts told of at the most: the worst of them.
const JUDGED_MOST: usize = 64;

/// Over all gateways so many probes of the counter a second at the most...
const PROBES: f64 = 20.0;
/// ...and so many seconds between two of one gateway...
const PROBE_S: f64 = 0.4;
/// ...where the copies know so many units more than the last total.
const PROBE_UNITS: f64 = 4.0;

impl Host {
    /// Is nothing known of it but by others' word, if that? Hearsay counts as no outcome at all.
    fn unmet(&self) -> bool {
        match self.health.is_empty() {
            true => self.slow_at == f64::NEG_INFINITY,
            false => self.health.iter().all(|x| x.count == 0.0),
        }
    }

    /// What this gateway's own outcomes tell of it, where it does badly.
    fn judged(&self, now: f64) -> Option<NodeHealth> {
        let met = self.health.iter().filter(|x| x.count > 0.0);
        let (sum, count) = met.clone().fold((0.0, 0.0), |(s, n), x| (s + x.fails * x.count, n + x.count));
        let at = met.map(|x| x.at).fold(self.slow_at, f64::max);
        let slow = if self.slow_at.is_finite() { self.slow } else { 1.0 };
        let judged = NodeHealth {
            started_at: self.started.unwrap_or(0.0),
            failure_rate: if count > 0.0 { sum / count } else { 0.0 },
            latency_ratio: slow,
            evidence_age_secs: (now - at).max(0.0),
            recorded_at: now,
        };
        let bad = judged.failure_rate > FAILS || judged.latency_ratio > SLOW;
        (!self.unmet() && bad && judged.evidence_age_secs < NEWS_S).then_some(judged)
    }
}

impl Gateway {
    /// A customer has come, maybe for the first time or in a new window: what the copies tell of it counts at once.
    pub(crate) fn look_up(&mut self, id: &CustomerId, units: f64) {
        self.wanted(id, units);
        if !self.elsewhere.spent.is_empty() {
            if let Some(c) = self.customers.get_mut(id) {
                c.copied(&self.elsewhere, id);
            }
        }
    }

    /// What this gateway has to tell others, and what it would like to hear of.
    pub fn local_state(&self) -> LocalState {
        let customers =
            self.customers.iter().filter(|(_, c)| c.own > c.former && self.s.plans[c.plan].rate > 0.0);
        let told = customers.map(|(id, c)| {
            let length = Gateway::window_s(&self.s.plans[c.plan]);
            let until = (c.window as f64 + 2.0 - c.phase) * length;
            let units = c.own - c.former;
            let told = self.guard.acknowledged_units(&count_name('q', id, c.window)).max(0.0);
            WindowUsage {
                customer: id.clone(),
                window: c.window,
                units,
                acknowledged_units: told,
                expires_at: until,
            }
        });
        let usage = told.filter(|s| s.expires_at > self.now).collect();
        let judged = self.hosts.iter().filter_map(|(id, h)| Some((id.clone(), h.judged(self.now)?)));
        let mut judged: Vec<(HostId, NodeHealth)> = judged.collect();
        judged.sort_by(|a, b| {
            (b.1.failure_rate, b.1.latency_ratio)
                .partial_cmp(&(a.1.failure_rate, a.1.latency_ratio))
                .unwrap_or(a.0.cmp(&b.0))
        });
        judged.truncate(JUDGED_MOST);
        let unmet = self.hosts.iter().filter(|(_, h)| h.unmet());
        let unmet = unmet.map(|(id, h)| (id.clone(), h.started.unwrap_or(0.0))).collect();
        LocalState {
            usage,
            host_health: judged,
            unobserved_hosts: unmet,
            ceiling_demand: self.ceiling_demand(),
        }
    }

    /// What the copies of other gateways' books tell now.
    pub fn apply_remote_state(&mut self, told: RemoteState) {
        self.elsewhere.fresh = told.fresh_fraction;
        for ((id, window), held) in told.usage {
            let key = (id, window);
            if held == RemoteUsage::default() {
                self.elsewhere.spent.remove(&key);
            } else {
                self.elsewhere.spent.insert(key.clone(), held);
            }
            let Some(c) = self.customers.get_mut(&key.0) else { continue };
            c.copied(&self.elsewhere, &key.0);
            if c.window == window {
                self.guard.set_acknowledged_to_others(&count_name('q', &key.0, window), held.acknowledged);
            }
        }
        self.probe();
        let classes = self.s.classes.len();
        for (id, judged, age) in told.host_health {
            let at = self.now - age;
            let Some(h) = self.hosts.get_mut(&id).filter(|h| h.unmet() && h.slow_at < at) else { continue };
            (h.slow, h.slow_at) = (judged.latency_ratio, at);
            h.health.clear();
            h.health.resize_with(classes, || Health { fails: judged.failure_rate, count: 0.0, at });
        }
    }

    /// Asks the counter of one customer of which the copies know most beyond the last total: where the counter has two
    /// views, that answer shows it. Seldom, as in a calm it only tells what the next total would have told anyway.
    fn probe(&mut self) {
        let every = (f64::from(self.s.replicas) / PROBES).max(PROBE_S);
        if !self.s.uses_counter || self.now - self.elsewhere.probed_at < every {
            return;
        }
        let excess = |(id, c): (&CustomerId, &Customer)| {
            let told = self.elsewhere.of(id, c.window).acknowledged;
            let beyond = told + self.guard.acknowledged_units(&count_name('q', id, c.window)) - c.total?;
            (told > 0.0 && beyond >= PROBE_UNITS && c.calling == 0.0).then(|| (beyond, id.clone()))
        };
        let most = self.customers.iter().filter_map(excess).max_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((_, id)) = most {
            self.elsewhere.probed_at = self.now;
            let now = self.now;
            self.customers.entry(id.clone()).and_modify(|c| c.sync_at = now);
            self.schedule(&id);
        }
    }
}
