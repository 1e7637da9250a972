//! Adapter between the core and zone failover.
//!
//! [`ZoneBalancer`] feeds [`ZoneFailover`] with what the core observes (the endpoint list, dispatch outcomes,
//! timeouts, the offered rate) and turns its plan into the host weights that the decision module applies. States
//! and shares are decided in [`whinstall::zone_failover`], hosts in the decision module; nothing here does I/O.

use super::outcome::ExchangeOutcome;
use std::collections::BTreeMap;
use std::time::Duration;
use whinstall::zone_failover::{
    Endpoint, LoadPlan, Observation, OfferedLoad, ZoneFailover, ZoneFailoverSettings, ZoneLoad, ZoneState,
};
use whinstall::{Availability, Event, HostEntry, HostId, ListScope};

/// Time constant of the offered rate, in seconds.
const RATE_TIME_CONSTANT_SECS: f64 = 2.0;
/// Relative change of a host's factor above which new weights are published.
const FACTOR_CHANGE: f64 = 0.02;
/// Absolute change of a share at which new weights are published.
const SHARE_CHANGE: f64 = FACTOR_CHANGE / 4.0;
/// A share below one by less than this counts as one.
const SHARE_EPSILON: f64 = 1e-9;

/// Weights of hosts for the decision module.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneWeights {
    /// Factor on the capacity of each host; 0: the host receives nothing.
    pub factors: Vec<(HostId, f64)>,
    /// Fraction of the load that goes to hosts with another zone label; `None`: the decision module prefers
    /// local hosts.
    pub remote_share: Option<f64>,
    /// Fraction of the load that no zone takes and that is rejected at once.
    pub unassigned: f64,
}

impl ZoneWeights {
    /// The event that hands the weights to the decision module.
    pub fn into_event(self) -> Event {
        Event::ZoneShares {
            capacity_factors: self.factors,
            remote_share: self.remote_share,
            unassigned: self.unassigned,
        }
    }

    /// Whether the difference to `new` is too small to be published.
    fn is_close_to(&self, new: &ZoneWeights) -> bool {
        let close = |a: f64, b: f64| (a - b).abs() < SHARE_CHANGE;
        let remote_share_close = match (self.remote_share, new.remote_share) {
            (Some(a), Some(b)) => close(a, b),
            (a, b) => a == b,
        };
        // A factor that changes from or to zero is always published.
        let factor_close =
            |a: f64, b: f64| ((a == 0.0) == (b == 0.0)) && (a - b).abs() <= FACTOR_CHANGE * a.max(b);
        let mut pairs = self.factors.iter().zip(&new.factors);
        remote_share_close
            && close(self.unassigned, new.unassigned)
            && self.factors.len() == new.factors.len()
            && pairs.all(|((host, a), (new_host, b))| host == new_host && factor_close(*a, *b))
    }
}

/// Exponentially decaying event rate.
#[derive(Clone, Copy, Debug)]
struct DecayingRate {
    per_sec: f64,
    updated_secs: f64,
}

impl DecayingRate {
    fn at(&self, now_secs: f64) -> f64 {
        self.per_sec * (-(now_secs - self.updated_secs).max(0.0) / RATE_TIME_CONSTANT_SECS).exp()
    }

    fn add(&mut self, now_secs: f64, events: f64) {
        let per_sec = self.at(now_secs) + events / RATE_TIME_CONSTANT_SECS;
        *self = DecayingRate { per_sec, updated_secs: now_secs };
    }
}

/// The gatekeeper whose load is distributed.
#[derive(Clone, Debug, PartialEq)]
pub struct Gatekeeper {
    /// Zone label of the gatekeeper in its main settings.
    pub zone_label: String,
    /// Index of the gatekeeper in the fleet, from 0.
    pub ordinal: u32,
    /// Number of gatekeepers in the fleet.
    pub fleet_size: u32,
}

/// Zone failover of one gatekeeper, with the inputs that it is fed from.
pub struct ZoneBalancer {
    failover: ZoneFailover,
    gatekeeper: Gatekeeper,
    detection_timeout: Duration,
    endpoint_rate_per_sec: f64,
    endpoints: BTreeMap<HostId, Endpoint>,
    /// Dispatches a second offered to this gatekeeper, rejected ones included.
    offered: DecayingRate,
    /// Requests rejected as unassigned, as last reported by the core.
    rejected_total: u64,
    published: Option<ZoneWeights>,
    /// Zone states as last logged.
    logged_states: Vec<ZoneState>,
}

impl ZoneBalancer {
    /// Starts without endpoints.
    pub fn new(settings: ZoneFailoverSettings, gatekeeper: Gatekeeper, now: Duration) -> Self {
        // Multiples of the golden ratio spread the jitter evenly over the gatekeepers, however many there are.
        let jitter_unit =
            (f64::from(gatekeeper.ordinal) * whinstall::identifiers::GOLDEN_RATIO_FRACTION).fract();
        let now_secs = now.as_secs_f64();
        ZoneBalancer {
            detection_timeout: settings.detection_timeout,
            endpoint_rate_per_sec: settings.endpoint_rate_per_sec,
            failover: ZoneFailover::new(settings, &gatekeeper.zone_label, jitter_unit, now_secs),
            gatekeeper,
            endpoints: BTreeMap::new(),
            offered: DecayingRate { per_sec: 0.0, updated_secs: now_secs },
            rejected_total: 0,
            published: None,
            logged_states: Vec::new(),
        }
    }

    /// Replaces the settings after a reload. The endpoint list and the offered rate are kept; zone states and
    /// observations start anew.
    pub fn with_settings(self, settings: ZoneFailoverSettings, now: Duration) -> Self {
        let mut balancer = ZoneBalancer::new(settings, self.gatekeeper, now);
        balancer.endpoints = self.endpoints;
        balancer.apply_endpoints(now);
        (balancer.offered, balancer.rejected_total) = (self.offered, self.rejected_total);
        balancer
    }

    /// How long a dispatch may go without a response before it counts as timed out.
    pub fn detection_timeout(&self) -> Duration {
        self.detection_timeout
    }

    /// Applies a change of the endpoint list.
    pub fn update_endpoints(&mut self, now: Duration, scope: ListScope, entries: &[HostEntry]) {
        match scope {
            ListScope::Unavailable => return,
            ListScope::Update => {}
            _ => self.endpoints.clear(),
        }
        for entry in entries {
            match entry.availability {
                Availability::Gone => self.endpoints.remove(&entry.host),
                _ => self.endpoints.insert(entry.host.clone(), endpoint(entry)),
            };
        }
        self.apply_endpoints(now);
    }

    fn apply_endpoints(&mut self, now: Duration) {
        let endpoints: Vec<Endpoint> = self.endpoints.values().cloned().collect();
        self.failover.update_endpoints(now.as_secs_f64(), &endpoints);
    }

    /// Records that a dispatch began.
    pub fn dispatch_started(&mut self, now: Duration) {
        self.offered.add(now.as_secs_f64(), 1.0);
    }

    /// Records how many requests the decision module has rejected so far as unassigned.
    pub fn record_rejected(&mut self, now: Duration, total: u64) {
        let new = total.saturating_sub(std::mem::replace(&mut self.rejected_total, total));
        if new > 0 {
            self.offered.add(now.as_secs_f64(), new as f64);
        }
    }

    /// Records the outcome of a dispatch.
    pub fn dispatch_ended(&mut self, now: Duration, host: &HostId, end: ExchangeOutcome, took: Duration) {
        let now_secs = now.as_secs_f64();
        if let Some(observation) = end.zone_observation(took, self.detection_timeout) {
            self.failover.record(now_secs, &host.0, observation);
        }
        if end == ExchangeOutcome::Answered {
            self.failover.record_latency(now_secs, &host.0, took.as_secs_f64());
        }
    }

    /// Records that a dispatch has had no response for the detection timeout.
    pub fn dispatch_timed_out(&mut self, now: Duration, host: &HostId) {
        self.failover.record(now.as_secs_f64(), &host.0, Observation::TimedOut);
    }

    /// Advances zone failover to `now`. Returns the new weights if they differ noticeably from those returned
    /// last.
    pub fn poll_weights(&mut self, now: Duration) -> Option<ZoneWeights> {
        let now_secs = now.as_secs_f64();
        self.failover.advance(now_secs);
        let offered = OfferedLoad {
            rate_per_sec: self.offered.at(now_secs),
            gatekeepers: self.gatekeeper.fleet_size,
            endpoint_rate_per_sec: self.endpoint_rate_per_sec,
        };
        let plan = self.failover.limited_plan(now_secs, &offered).plan;
        self.log_state_changes(&plan);
        let weights = self.weights(&plan);
        if self.published.as_ref().is_some_and(|published| published.is_close_to(&weights)) {
            return None;
        }
        self.published = Some(weights.clone());
        Some(weights)
    }

    /// Logs each zone whose state changed. A zone that is new in the plan is logged only if it is not healthy.
    fn log_state_changes(&mut self, plan: &LoadPlan) {
        let states: Vec<ZoneState> = plan.zones.iter().map(|zone| zone.state).collect();
        for (index, zone) in plan.zones.iter().enumerate() {
            let previous = self.logged_states.get(index).copied().unwrap_or(ZoneState::Healthy);
            if previous != zone.state {
                let name = self.failover.zone_names().get(index).map_or("?", String::as_str);
                tracing::warn!(
                    zone = name,
                    %previous,
                    current = %zone.state,
                    share = zone.share,
                    isolated = plan.is_isolated,
                    "zone state changed"
                );
            }
        }
        self.logged_states = states;
    }

    fn weights(&self, plan: &LoadPlan) -> ZoneWeights {
        let capacity = self.failover.ready_capacity();
        let local_takes_all = local_takes_all(plan, self.failover.local_zone());
        let zone_factors = zone_factors(plan, &capacity, local_takes_all);
        let mut factors = Vec::with_capacity(self.endpoints.len());
        let (mut local_share, mut remote_share) = (0.0, 0.0);
        for (host, endpoint) in &self.endpoints {
            let Some(zone) = self.failover.zone_of(endpoint) else { continue };
            factors.push((host.clone(), zone_factors.get(zone).copied().unwrap_or(0.0)));
            if endpoint.is_ready && capacity[zone] > 0.0 {
                let is_local = endpoint.zone_label == self.gatekeeper.zone_label;
                let share = if is_local { &mut local_share } else { &mut remote_share };
                *share += plan.zones[zone].share * endpoint.capacity / capacity[zone];
            }
        }
        let total = local_share + remote_share;
        let is_exact = self.failover.enforces_remote_share() && !local_takes_all && total > 0.0;
        let remote_share = is_exact.then(|| remote_share / total);
        ZoneWeights { factors, remote_share, unassigned: plan.unassigned }
    }
}

/// The endpoint that an entry of the host list describes.
fn endpoint(entry: &HostEntry) -> Endpoint {
    Endpoint {
        name: entry.host.0.to_string(),
        zone_label: entry.zone.clone(),
        address: entry.host.0.parse::<std::net::SocketAddr>().ok().map(|address| address.ip()),
        capacity: entry.nominal_capacity,
        is_ready: entry.availability == Availability::Ready,
    }
}

/// Whether the local zone takes all load.
fn local_takes_all(plan: &LoadPlan, local: Option<usize>) -> bool {
    local.and_then(|zone| plan.zones.get(zone)).is_some_and(|zone| zone.share >= 1.0 - SHARE_EPSILON)
}

/// Factor on the capacity of each zone's hosts.
///
/// While the local zone takes all load, the decision module's own preference for local hosts applies, and
/// hosts keep their capacity (factor 1); only an ejected zone receives nothing, and a recovering one its usable
/// fraction. Otherwise the factor of a zone is its share of the load over its share of the capacity.
///
/// Shares alone would confine every gatekeeper to its local zone while that is healthy. With zones of different
/// sizes, and gatekeepers spread unevenly over them, that lowers the served fraction: from 0.92 to 0.76 on a day
/// with failing hosts.
fn zone_factors(plan: &LoadPlan, capacity: &[f64], local_takes_all: bool) -> Vec<f64> {
    let total_capacity: f64 = capacity.iter().sum();
    let factor = |(zone, &capacity): (&ZoneLoad, &f64)| match zone.state {
        ZoneState::Ejected => 0.0,
        ZoneState::Recovering if local_takes_all => zone.usable,
        _ if local_takes_all => 1.0,
        _ => {
            let capacity_share = capacity / total_capacity.max(1e-9);
            if capacity_share > 0.0 {
                zone.share / capacity_share
            } else {
                0.0
            }
        }
    };
    plan.zones.iter().zip(capacity).map(factor).collect()
}

#[cfg(test)]
#[path = "zone_failover_tests.rs"]
mod tests;
