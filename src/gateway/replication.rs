//! Replicated state: exports this gateway's usage and observations, and applies those of other gateways. Without
//! replication nothing of this is called. Nothing here refuses a request.

use crate::fleet::budget::Ppm;
use crate::fleet::replica::{NodeHealth, RemoteUsage};
use crate::gateway::interface::Plan;
use crate::gateway::state::{counter_key, Customer, FailureStats, Gateway, Host};
use crate::identifiers::{CustomerId, HostId};
use std::collections::BTreeMap;

/// Usage of one customer in one window at this gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct WindowUsage {
    /// The customer.
    pub customer: CustomerId,
    /// Number of the window, identical at every gateway.
    pub window: i64,
    /// Units charged here; within a window they only grow, except for settlements of estimates.
    pub units: f64,
    /// Units of this gateway that the counter has acknowledged, including those that stand for unreported ones.
    pub acknowledged_units: f64,
    /// End of the next window, in Unix seconds; the usage is not needed afterwards.
    pub expires_at: f64,
}

/// What this gateway reports to the others, and what it requests of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalState {
    /// Usage in windows that have not expired.
    pub usage: Vec<WindowUsage>,
    /// Hosts that perform badly, by this gateway's own observations.
    pub host_health: Vec<(HostId, NodeHealth)>,
    /// Hosts that this gateway has no observations of since their last start, with the time of that start; 0: long ago.
    pub unobserved_hosts: Vec<(HostId, f64)>,
    /// Demand for ceilings that are divided over the fleet.
    pub ceiling_demand: Vec<(CustomerId, Ppm)>,
}

/// What the replicas of other gateways hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RemoteState {
    /// Usage by customer and window, where it has changed. The default value: it has expired.
    pub usage: Vec<((CustomerId, i64), RemoteUsage)>,
    /// Observations of hosts that this gateway has none of, with the age of each in seconds.
    pub host_health: Vec<(HostId, NodeHealth, f64)>,
    /// Fraction of the other gateways whose replicas are fresh, 0 to 1.
    pub fresh_fraction: f64,
}

/// Usage of the other gateways, as replicated so far.
#[derive(Default)]
pub(crate) struct ReplicatedUsage {
    by_window: BTreeMap<(CustomerId, i64), RemoteUsage>,
    /// Fraction of the other gateways whose replicas are fresh, 0 to 1.
    pub(crate) fresh_fraction: f64,
    /// When the counter was last called because the replicas were ahead of its last total.
    probed_at: f64,
}

impl ReplicatedUsage {
    fn get(&self, customer: &CustomerId, window: i64) -> RemoteUsage {
        self.by_window.get(&(customer.clone(), window)).copied().unwrap_or_default()
    }

    /// Fraction of a customer's quota that the gateways with fresh replicas may spend together, this one included; 0 if
    /// there are no fresh replicas.
    pub(crate) fn quota_fraction(&self, gateway_count: f64) -> f64 {
        let gateway_count = gateway_count.max(1.0);
        if self.fresh_fraction > 0.0 {
            (1.0 + (gateway_count - 1.0) * self.fresh_fraction.min(1.0)) / gateway_count
        } else {
            0.0
        }
    }

    /// Units that a customer that is new at this gateway owes from the previous window: all replicated usage of that
    /// window beyond what the rate has added since. A known customer's opening balance accounts for them already.
    pub(crate) fn owed(&self, customer: &CustomerId, window: i64, plan: &Plan) -> f64 {
        let previous = self.get(customer, window - 1);
        (previous.others + previous.previous_incarnations - plan.rate * Gateway::window_secs(plan)).max(0.0)
    }
}

impl Customer {
    /// Applies the replicated usage of the current and the previous window. Usage within a window never shrinks, also
    /// if a replica is forgotten meanwhile. Units that an earlier incarnation charged count as this gateway's own,
    /// because they have used up its share.
    pub(crate) fn apply_replicated(&mut self, usage: &ReplicatedUsage, id: &CustomerId) {
        let RemoteUsage { others, previous_incarnations, .. } = usage.get(id, self.window);
        self.remote_units = self.remote_units.max(others);
        self.own_units += (previous_incarnations - self.predecessor_units).max(0.0);
        self.predecessor_units = self.predecessor_units.max(previous_incarnations);
        // Usage of the previous window that was not known at its end is owed now.
        let late = (usage.get(id, self.window - 1).others - self.previous_remote_units).max(0.0);
        self.previous_remote_units += late;
        self.opening_balance -= late;
    }
}

/// A host performs badly if more than this fraction of its attempts fails.
const BAD_FAILURE_RATIO: f64 = 0.3;
/// A host performs badly if the ratio of its actual to its expected latency is above this.
const BAD_SLOWNESS: f64 = 1.5;
/// Observations are reported until this age, in seconds.
const MAX_OBSERVATION_AGE_SECS: f64 = 20.0;
/// Hosts whose observations are reported, at the most; those that perform worst take precedence.
const MAX_REPORTED_HOSTS: usize = 64;

/// Probes of the counter per second over all gateways, at the most.
const MAX_COUNTER_PROBES_PER_SEC: f64 = 20.0;
/// Interval between two probes of one gateway in seconds, at the least.
const MIN_COUNTER_PROBE_INTERVAL_SECS: f64 = 0.4;
/// The counter is probed for a customer whose replicated usage exceeds the last total by this many units.
const COUNTER_PROBE_EXCESS_UNITS: f64 = 4.0;

impl Host {
    /// Whether this gateway has no observations of its own. Those of other gateways have no outcomes.
    fn is_unobserved(&self) -> bool {
        match self.class_failures.is_empty() {
            true => self.slowness_at == f64::NEG_INFINITY,
            false => self.class_failures.iter().all(|x| x.outcomes == 0.0),
        }
    }

    /// This gateway's own observations of the host, if it performs badly.
    fn bad_health(&self, now: f64) -> Option<NodeHealth> {
        let own = self.class_failures.iter().filter(|x| x.outcomes > 0.0);
        let (failures, outcomes) = own.clone().fold((0.0, 0.0), |(failures, outcomes), x| {
            (failures + x.failure_ratio * x.outcomes, outcomes + x.outcomes)
        });
        let observed_at = own.map(|x| x.updated_at).fold(self.slowness_at, f64::max);
        let health = NodeHealth {
            started_at: self.started_at.unwrap_or(0.0),
            failure_rate: if outcomes > 0.0 { failures / outcomes } else { 0.0 },
            latency_ratio: if self.slowness_at.is_finite() { self.slowness } else { 1.0 },
            evidence_age_secs: (now - observed_at).max(0.0),
            recorded_at: now,
        };
        let is_bad = health.failure_rate > BAD_FAILURE_RATIO || health.latency_ratio > BAD_SLOWNESS;
        (!self.is_unobserved() && is_bad && health.evidence_age_secs < MAX_OBSERVATION_AGE_SECS)
            .then_some(health)
    }
}

impl Gateway {
    /// Applies the replicated usage of a customer that sends a request of `units`, because the customer or its window
    /// may be new at this gateway.
    pub(crate) fn merge_remote_usage(&mut self, id: &CustomerId, units: f64) {
        self.record_ceiling_demand(id, units);
        if !self.remote_usage.by_window.is_empty() {
            if let Some(c) = self.customers.get_mut(id) {
                c.apply_replicated(&self.remote_usage, id);
            }
        }
    }

    /// What this gateway reports to the others, and what it requests of them.
    pub fn local_state(&self) -> LocalState {
        let charged = self
            .customers
            .iter()
            .filter(|(_, c)| c.own_units > c.predecessor_units && self.settings.plans[c.plan].rate > 0.0);
        let usage = charged.map(|(id, c)| {
            let length = Gateway::window_secs(&self.settings.plans[c.plan]);
            let acknowledged = self.guard.acknowledged_units(&counter_key('q', id, c.window));
            WindowUsage {
                customer: id.clone(),
                window: c.window,
                units: c.own_units - c.predecessor_units,
                acknowledged_units: acknowledged.max(0.0),
                expires_at: (c.window as f64 + 2.0 - c.window_offset) * length,
            }
        });
        let usage = usage.filter(|usage| usage.expires_at > self.now).collect();
        let bad = self.hosts.iter().filter_map(|(id, h)| Some((id.clone(), h.bad_health(self.now)?)));
        let mut host_health: Vec<(HostId, NodeHealth)> = bad.collect();
        host_health.sort_by(|a, b| {
            (b.1.failure_rate, b.1.latency_ratio)
                .partial_cmp(&(a.1.failure_rate, a.1.latency_ratio))
                .unwrap_or(a.0.cmp(&b.0))
        });
        host_health.truncate(MAX_REPORTED_HOSTS);
        let unobserved = self.hosts.iter().filter(|(_, h)| h.is_unobserved());
        let unobserved_hosts = unobserved.map(|(id, h)| (id.clone(), h.started_at.unwrap_or(0.0))).collect();
        LocalState { usage, host_health, unobserved_hosts, ceiling_demand: self.ceiling_demand() }
    }

    /// Applies what the replicas of other gateways hold. Observations of a host are used only until this gateway has
    /// its own.
    pub fn apply_remote_state(&mut self, state: RemoteState) {
        self.remote_usage.fresh_fraction = state.fresh_fraction;
        for ((id, window), usage) in state.usage {
            let key = (id, window);
            if usage == RemoteUsage::default() {
                self.remote_usage.by_window.remove(&key);
            } else {
                self.remote_usage.by_window.insert(key.clone(), usage);
            }
            let Some(c) = self.customers.get_mut(&key.0) else { continue };
            c.apply_replicated(&self.remote_usage, &key.0);
            if c.window == window {
                self.guard.set_acknowledged_to_others(&counter_key('q', &key.0, window), usage.acknowledged);
            }
        }
        self.probe_counter();
        let classes = self.settings.classes.len();
        for (id, health, age) in state.host_health {
            let at = self.now - age;
            let host = self.hosts.get_mut(&id).filter(|h| h.is_unobserved() && h.slowness_at < at);
            let Some(h) = host else { continue };
            (h.slowness, h.slowness_at) = (health.latency_ratio, at);
            h.class_failures.clear();
            h.class_failures.resize_with(classes, || FailureStats {
                failure_ratio: health.failure_rate,
                outcomes: 0.0,
                updated_at: at,
            });
        }
    }

    /// Schedules a call to the counter for the customer whose replicated usage exceeds the last total most. If the
    /// counter is split into two views, the answer shows it. Probes are rare, because without a fault they show nothing
    /// that the next total would not.
    fn probe_counter(&mut self) {
        let interval = (f64::from(self.settings.replicas) / MAX_COUNTER_PROBES_PER_SEC)
            .max(MIN_COUNTER_PROBE_INTERVAL_SECS);
        if !self.settings.uses_counter || self.now - self.remote_usage.probed_at < interval {
            return;
        }
        let excess = |(id, c): (&CustomerId, &Customer)| {
            let remote = self.remote_usage.get(id, c.window).acknowledged;
            let own = self.guard.acknowledged_units(&counter_key('q', id, c.window));
            let excess = remote + own - c.total?;
            (remote > 0.0 && excess >= COUNTER_PROBE_EXCESS_UNITS && c.calling_units == 0.0)
                .then(|| (excess, id.clone()))
        };
        let largest = self.customers.iter().filter_map(excess).max_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((_, id)) = largest {
            self.remote_usage.probed_at = self.now;
            let now = self.now;
            self.customers.entry(id.clone()).and_modify(|c| c.sync_at = now);
            self.schedule(&id);
        }
    }
}
