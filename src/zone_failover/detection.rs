//! Outlier detection per zone, from the two sources that a gatekeeper has: the endpoint list (late, and knowing
//! only whether a process runs) and the outcomes of its own dispatches.
//!
//! A zone that is cut off from the network does not respond: open connections hang and new ones never come up.
//! A zone is therefore taken for unreachable only if all of this holds:
//!
//! - dispatches to at least two distinct endpoints of it (or to its only one) timed out, that is, no byte came
//!   back within the detection timeout, as the I/O side reports;
//! - no endpoint of the zone has responded since the first of these timeouts;
//! - a whole detection timeout has passed since then, so that slow starts and dying endpoints do not count.
//!
//! A refused connection is not a timeout: something in the zone responded. Any response of an endpoint clears its
//! timeout, so a slow request class on endpoints that respond to other classes never makes a zone unreachable.

use std::collections::BTreeMap;

/// What the outcome of one dispatch shows about the zone of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// Bytes came back (a response, an error, a full queue): the zone is reachable.
    Responded,
    /// The connection was refused or reset at once: the zone is reachable, the endpoint may be down.
    Refused,
    /// Nothing came back within the detection timeout, to a connect or to a request.
    TimedOut,
}

/// Health of a zone as this gatekeeper sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneState {
    /// All capacity that the zone ever had is listed, and no endpoint is unresponsive.
    Healthy,
    /// Some endpoints are unlisted, refusing or unresponsive: the zone's share shrinks with its health.
    Degraded,
    /// Unreachable: the zone receives no load until its backoff has passed.
    Ejected,
    /// Half-open after an ejection: the zone's load is in slow start.
    Recovering,
}

impl std::fmt::Display for ZoneState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            ZoneState::Healthy => "healthy",
            ZoneState::Degraded => "degraded",
            ZoneState::Ejected => "ejected",
            ZoneState::Recovering => "recovering",
        })
    }
}

/// What is known of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointRecord {
    /// Zone of the endpoint, by index.
    pub(crate) zone: usize,
    /// Capacity of the endpoint relative to the others.
    pub(crate) capacity: f64,
    /// Whether it accepts requests, by the endpoint list.
    pub(crate) is_ready: bool,
    /// When it last responded; minus infinity: never.
    pub(crate) responded_secs: f64,
    /// When its first dispatch since its last response timed out.
    pub(crate) timed_out_secs: Option<f64>,
    /// When it last refused a connection since its last response.
    pub(crate) refused_secs: Option<f64>,
}

impl EndpointRecord {
    /// A record of an endpoint to which nothing was sent yet.
    pub(crate) fn new(zone: usize, capacity: f64, is_ready: bool) -> Self {
        EndpointRecord {
            zone,
            capacity,
            is_ready,
            responded_secs: f64::NEG_INFINITY,
            timed_out_secs: None,
            refused_secs: None,
        }
    }

    /// Whether the endpoint counts as usable capacity. A refusal makes it unusable for `timeout_secs`.
    fn is_usable(&self, now_secs: f64, timeout_secs: f64) -> bool {
        self.is_ready
            && self.timed_out_secs.is_none()
            && self.refused_secs.is_none_or(|at| now_secs - at > timeout_secs)
    }
}

/// Detection result for one zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ZoneHealth {
    /// Usable capacity over the peak capacity of the zone, 0 to 1.
    pub(crate) health: f64,
    /// Whether the conditions of the module header hold.
    pub(crate) is_unreachable: bool,
}

/// The state of all endpoints, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutlierDetector {
    pub(crate) endpoints: BTreeMap<String, EndpointRecord>,
}

impl OutlierDetector {
    /// Records the outcome of a dispatch. Endpoints that are not listed are ignored.
    pub(crate) fn record(&mut self, now_secs: f64, endpoint: &str, observation: Observation) {
        let Some(record) = self.endpoints.get_mut(endpoint) else { return };
        match observation {
            Observation::Responded => {
                record.responded_secs = now_secs;
                record.timed_out_secs = None;
                record.refused_secs = None;
            }
            Observation::Refused => record.refused_secs = Some(now_secs),
            Observation::TimedOut => {
                record.timed_out_secs.get_or_insert(now_secs);
            }
        }
    }

    /// Clears the timeouts of a zone that becomes half-open, so that only new ones eject it again.
    pub(crate) fn clear_timeouts(&mut self, zone: usize) {
        self.endpoints.values_mut().filter(|e| e.zone == zone).for_each(|e| e.timed_out_secs = None);
    }

    /// Evaluates a zone whose capacity was `peak_capacity` at its highest.
    pub(crate) fn evaluate(
        &self,
        zone: usize,
        peak_capacity: f64,
        now_secs: f64,
        timeout_secs: f64,
    ) -> ZoneHealth {
        let endpoints: Vec<&EndpointRecord> = self.endpoints.values().filter(|e| e.zone == zone).collect();
        let usable: f64 =
            endpoints.iter().filter(|e| e.is_usable(now_secs, timeout_secs)).map(|e| e.capacity).sum();
        let health = if peak_capacity > 0.0 { (usable / peak_capacity).clamp(0.0, 1.0) } else { 0.0 };
        let timeouts: Vec<f64> = endpoints.iter().filter_map(|e| e.timed_out_secs).collect();
        let first_timeout = timeouts.iter().copied().fold(f64::INFINITY, f64::min);
        let last_response = endpoints.iter().map(|e| e.responded_secs).fold(f64::NEG_INFINITY, f64::max);
        let ready = endpoints.iter().filter(|e| e.is_ready).count().max(1);
        let is_unreachable = timeouts.len() >= ready.min(2)
            && last_response < first_timeout
            && now_secs - first_timeout >= timeout_secs;
        ZoneHealth { health, is_unreachable }
    }

    /// Listed capacity of ready endpoints, by zone, of `zones` zones.
    pub(crate) fn ready_capacity(&self, zones: usize) -> Vec<f64> {
        let mut capacity = vec![0.0; zones];
        for endpoint in self.endpoints.values().filter(|e| e.is_ready) {
            capacity[endpoint.zone] += endpoint.capacity;
        }
        capacity
    }
}

#[cfg(test)]
#[path = "detection_tests.rs"]
mod tests;
