//! Failover between zones: the health of each zone, and the distribution of this gatekeeper's load over them.
//!
//! A zone is a failure domain of endpoints, such as a hall of a data centre. It is not the same as the zone label
//! that the endpoint list gives each endpoint: the operators' settings may group several labels into one zone,
//! or assign endpoints to zones by network.
//!
//! Transitions of a zone:
//!
//! ```text
//! Healthy <-> Degraded               some of its capacity is unusable, or usable again
//! any but Ejected -> Ejected         unreachable (see `detection`)
//! Ejected -> Recovering              its backoff has passed: half-open
//! Recovering -> Healthy or Degraded  its slow start is complete
//! ```
//!
//! Health checks are not available to a gatekeeper, so the few first dispatches of the slow start serve as
//! trials: a zone that is unreachable again is ejected again, and its backoff doubles.
//!
//! From the states, [`ZoneFailover::limited_plan`] derives shares of load by priority tier and locality weight,
//! with the spillover into remote zones limited by their headroom. The decision module (`crate::gateway`) goes on
//! to choose endpoints within these shares: nothing here chooses an endpoint, retries or rejects a request.
//!
//! All of it is pure: no clock and no I/O. Times are in seconds on the caller's clock (`_secs`), as numbers, for
//! they enter ratios and exponentials throughout.

pub mod detection;
pub mod latency;
pub mod locality;
pub mod plan;
pub mod settings;
pub mod slow_start;

pub use detection::{Observation, ZoneState};
pub use plan::{LimitedPlan, LoadPlan, OfferedLoad, ZoneLoad};
pub use settings::{SpilloverBound, ZoneFailoverSettings, ZoneLookup};

use detection::{EndpointRecord, OutlierDetector, ZoneHealth};
use latency::LatencyTracker;
use settings::ZoneDef;
use slow_start::SlowStart;

/// Tolerance within which a health below 1 counts as 1.
const HEALTH_EPSILON: f64 = 1e-9;

/// An endpoint as the endpoint list describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Name of the endpoint, unique in the list.
    pub name: String,
    /// Zone label of the endpoint.
    pub zone_label: String,
    /// Address of the endpoint, where known.
    pub address: Option<std::net::IpAddr>,
    /// Capacity of the endpoint relative to the others; a value that is not finite and above 0 counts as 1.
    pub capacity: f64,
    /// Whether the endpoint accepts requests.
    pub is_ready: bool,
}

/// State of a zone and when it was entered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneStatus {
    /// The state.
    pub state: ZoneState,
    /// When the zone entered it.
    pub since_secs: f64,
}

/// What is known of one zone.
#[derive(Clone, Debug)]
struct ZoneRecord {
    state: ZoneState,
    since_secs: f64,
    /// Highest listed capacity of ready endpoints so far, which health is relative to.
    peak_capacity: f64,
    slow_start: SlowStart,
}

/// Zone failover of one gatekeeper.
#[derive(Clone, Debug)]
pub struct ZoneFailover {
    settings: ZoneFailoverSettings,
    /// Names of the zones; their order is that of `settings.zones` and of `zones`.
    names: Vec<String>,
    zones: Vec<ZoneRecord>,
    /// The local zone, by index.
    local: Option<usize>,
    detector: OutlierDetector,
    latency: LatencyTracker,
    /// Number in [0, 1) from which the jitter of slow starts derives.
    jitter_unit: f64,
}

impl ZoneFailover {
    /// Starts with all zones of the settings healthy and without endpoints. `local_zone` applies unless the
    /// settings name the local zone; `jitter_unit` is a number in [0, 1), constant for this gatekeeper, for the
    /// jitter of slow starts.
    pub fn new(settings: ZoneFailoverSettings, local_zone: &str, jitter_unit: f64, now_secs: f64) -> Self {
        let names: Vec<String> = settings.zones.iter().map(|zone| zone.name.clone()).collect();
        let local_name = settings.local_zone.clone().unwrap_or_else(|| local_zone.to_string());
        let mut failover = ZoneFailover {
            names,
            zones: Vec::new(),
            local: None,
            settings,
            detector: OutlierDetector::default(),
            latency: LatencyTracker::default(),
            jitter_unit,
        };
        failover.zones = failover.names.iter().map(|_| failover.new_zone(now_secs)).collect();
        failover.local = failover.find_or_add(&local_name, now_secs);
        failover
    }

    fn new_zone(&self, now_secs: f64) -> ZoneRecord {
        ZoneRecord {
            state: ZoneState::Healthy,
            since_secs: now_secs,
            peak_capacity: 0.0,
            slow_start: SlowStart::new(&self.settings.slow_start, self.jitter_unit),
        }
    }

    /// Whether exactly the planned share of load goes to remote zones. Otherwise the decision module prefers
    /// local endpoints and goes to remote ones only where they are much faster. A local zone that recovers needs
    /// the exact share: preferred, it would receive its whole load at its first response.
    pub fn enforces_remote_share(&self) -> bool {
        let is_recovering = |zone: usize| self.zones[zone].state == ZoneState::Recovering;
        self.local.is_some_and(is_recovering) || self.settings.spillover_bound == SpilloverBound::Rated
    }

    /// The local zone, by index, if this gatekeeper is in one.
    pub fn local_zone(&self) -> Option<usize> {
        self.local
    }

    /// The names of all zones, in the order of [`LoadPlan::zones`].
    pub fn zone_names(&self) -> &[String] {
        &self.names
    }

    /// The zone of an endpoint, by index. `None`: its label is not known yet, or none of the networks contains
    /// its address.
    pub fn zone_of(&self, endpoint: &Endpoint) -> Option<usize> {
        let mut zones = self.settings.zones.iter();
        match self.settings.lookup {
            ZoneLookup::Label => zones
                .position(|zone| zone.labels.contains(&endpoint.zone_label))
                .or_else(|| self.index_of(&endpoint.zone_label)),
            ZoneLookup::Network => {
                let address = endpoint.address?;
                zones.position(|zone| zone.networks.iter().any(|network| network.contains(&address)))
            }
        }
    }

    fn index_of(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|known| known == name)
    }

    /// The zone of this name. With lookup by label, a zone that the settings do not define is added.
    fn find_or_add(&mut self, name: &str, now_secs: f64) -> Option<usize> {
        if name.is_empty() {
            return None;
        }
        let known = self.index_of(name);
        if known.is_some() || self.settings.lookup == ZoneLookup::Network {
            return known;
        }
        self.names.push(name.to_string());
        self.settings.zones.push(ZoneDef::implied(name));
        self.zones.push(self.new_zone(now_secs));
        Some(self.names.len() - 1)
    }

    /// Replaces the endpoint list. Endpoints that stay keep what was observed of them.
    pub fn update_endpoints(&mut self, now_secs: f64, endpoints: &[Endpoint]) {
        let mut assigned = Vec::new();
        for endpoint in endpoints {
            let zone = self.zone_of(endpoint).or_else(|| self.find_or_add(&endpoint.zone_label, now_secs));
            assigned.extend(zone.map(|zone| (endpoint, zone)));
        }
        let records = &mut self.detector.endpoints;
        records.retain(|name, _| assigned.iter().any(|(endpoint, _)| endpoint.name == *name));
        for (endpoint, zone) in assigned {
            let has_capacity = endpoint.capacity.is_finite() && endpoint.capacity > 0.0;
            let capacity = if has_capacity { endpoint.capacity } else { 1.0 };
            let new = || EndpointRecord::new(zone, capacity, endpoint.is_ready);
            let record = records.entry(endpoint.name.clone()).or_insert_with(new);
            (record.zone, record.capacity, record.is_ready) = (zone, capacity, endpoint.is_ready);
        }
        for (zone, ready) in self.ready_capacity().into_iter().enumerate() {
            let peak = &mut self.zones[zone].peak_capacity;
            *peak = peak.max(ready);
        }
        self.advance(now_secs);
    }

    /// Records the outcome of a dispatch. Endpoints that are not listed are ignored.
    pub fn record(&mut self, now_secs: f64, endpoint: &str, observation: Observation) {
        self.detector.record(now_secs, endpoint, observation);
        self.advance(now_secs);
    }

    /// Records that a dispatch was served after `latency_secs`.
    pub fn record_latency(&mut self, now_secs: f64, endpoint: &str, latency_secs: f64) {
        if let Some(record) = self.detector.endpoints.get(endpoint) {
            self.latency.record(now_secs, record.zone, latency_secs);
        }
    }

    fn evaluate(&self, zone: usize, now_secs: f64) -> ZoneHealth {
        let timeout_secs = self.settings.detection_timeout.as_secs_f64();
        self.detector.evaluate(zone, self.zones[zone].peak_capacity, now_secs, timeout_secs)
    }

    /// Advances the state machine of every zone to `now_secs`.
    pub fn advance(&mut self, now_secs: f64) {
        for zone in 0..self.zones.len() {
            let next = self.next_state(zone, now_secs);
            if next != self.zones[zone].state {
                self.enter(zone, next, now_secs);
            }
            let record = &mut self.zones[zone];
            if matches!(record.state, ZoneState::Healthy | ZoneState::Degraded) {
                record.slow_start.reset_backoff_if_stable(now_secs, &self.settings.slow_start);
            }
        }
    }

    fn next_state(&self, zone: usize, now_secs: f64) -> ZoneState {
        let record = &self.zones[zone];
        let (slow_start, settings) = (&record.slow_start, &self.settings.slow_start);
        let health = self.evaluate(zone, now_secs);
        match record.state {
            _ if record.peak_capacity <= 0.0 => ZoneState::Healthy,
            ZoneState::Ejected if now_secs - record.since_secs >= slow_start.backoff_secs(settings) => {
                ZoneState::Recovering
            }
            ZoneState::Ejected => ZoneState::Ejected,
            _ if health.is_unreachable => ZoneState::Ejected,
            ZoneState::Recovering if !slow_start.is_complete(now_secs, settings) => ZoneState::Recovering,
            _ if health.health < 1.0 - HEALTH_EPSILON => ZoneState::Degraded,
            _ => ZoneState::Healthy,
        }
    }

    fn enter(&mut self, zone: usize, state: ZoneState, now_secs: f64) {
        let record = &mut self.zones[zone];
        match state {
            ZoneState::Ejected => record.slow_start.eject(now_secs, &self.settings.slow_start),
            ZoneState::Recovering => {
                record.slow_start.begin(now_secs);
                self.detector.clear_timeouts(zone);
            }
            ZoneState::Healthy | ZoneState::Degraded => {}
        }
        (record.state, record.since_secs) = (state, now_secs);
    }

    /// The state of a zone; `None`: there is no such zone.
    pub fn status(&self, zone: usize) -> Option<ZoneStatus> {
        self.zones.get(zone).map(|record| ZoneStatus { state: record.state, since_secs: record.since_secs })
    }

    /// Listed capacity of ready endpoints, by zone.
    pub fn ready_capacity(&self) -> Vec<f64> {
        self.detector.ready_capacity(self.zones.len())
    }
}

#[cfg(test)]
mod tests;
