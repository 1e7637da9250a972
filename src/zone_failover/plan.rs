//! Distribution of this gatekeeper's load over the zones: shares by tier, then the spillover limits.

use super::detection::ZoneState;
use super::locality::{self, Headroom, ZoneInput};
use super::settings::SpilloverBound;
use super::ZoneFailover;

/// The load of one zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneLoad {
    /// The state of the zone.
    pub state: ZoneState,
    /// Fraction of this gatekeeper's load that the zone takes.
    pub share: f64,
    /// Fraction of the zone's capacity that is usable: its health times its slow-start factor.
    pub usable: f64,
}

/// Distribution of this gatekeeper's load over the zones.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPlan {
    /// The zones, in the order of [`ZoneFailover::zone_names`]. Their shares and `unassigned` add up to one.
    pub zones: Vec<ZoneLoad>,
    /// Fraction of the load that no zone takes: it is rejected at once, the least valuable requests first.
    pub unassigned: f64,
    /// Whether the local zone responds while all others are ejected: this gatekeeper is itself cut off.
    pub is_isolated: bool,
}

/// Load offered to the fleet, as seen by this gatekeeper.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OfferedLoad {
    /// Dispatches a second offered to this gatekeeper, including requests that it rejected because they were
    /// unassigned. Without those the estimated utilization would fall as requests are rejected, suggest headroom
    /// that does not exist, and let the spillover back in.
    pub rate_per_sec: f64,
    /// Number of gatekeepers; 0 counts as 1.
    pub gatekeepers: u32,
    /// Dispatches a second that an endpoint of capacity 1 serves; 0: unknown, spillover is not limited.
    pub endpoint_rate_per_sec: f64,
}

/// A load plan and the spillover limits that it obeys.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitedPlan {
    /// The plan.
    pub plan: LoadPlan,
    /// Limit of each zone, in dispatches a second of this gatekeeper; infinity: none.
    pub limits_per_sec: Vec<f64>,
}

impl ZoneFailover {
    /// The distribution of load at `now_secs`, without spillover limits.
    pub fn load_plan(&self, now_secs: f64) -> LoadPlan {
        let inputs: Vec<ZoneInput> = (0..self.zones.len())
            .map(|z| ZoneInput {
                is_local: Some(z) == self.local,
                weight: self.settings.zones[z].weight,
                health: self.usable_fraction(z, now_secs),
            })
            .collect();
        let distribution = locality::distribute(&inputs, self.settings.overprovisioning_factor);
        let zones = self
            .zones
            .iter()
            .zip(distribution.shares)
            .zip(&inputs)
            .map(|((zone, share), input)| ZoneLoad { state: zone.state, share, usable: input.health })
            .collect();
        LoadPlan { zones, unassigned: distribution.unassigned, is_isolated: self.is_isolated() }
    }

    fn usable_fraction(&self, zone: usize, now_secs: f64) -> f64 {
        let record = &self.zones[zone];
        if record.state == ZoneState::Ejected || record.peak_capacity <= 0.0 {
            return 0.0;
        }
        let health = self.evaluate(zone, now_secs).health;
        health * record.slow_start.factor(now_secs, &self.settings.slow_start)
    }

    /// Whether the local zone responds while every other zone with endpoints, of which there is at least one, is
    /// ejected.
    fn is_isolated(&self) -> bool {
        let is_ejected = |zone: usize| self.zones[zone].state == ZoneState::Ejected;
        let mut others = (0..self.zones.len())
            .filter(|&zone| Some(zone) != self.local && self.zones[zone].peak_capacity > 0.0)
            .peekable();
        self.local.is_some_and(|zone| !is_ejected(zone)) && others.peek().is_some() && others.all(is_ejected)
    }

    /// The distribution of load at `now_secs` with the spillover into remote zones limited. What exceeds a limit
    /// becomes unassigned.
    ///
    /// The limit of a zone is its headroom, split over the gatekeepers that spill, and lowered as the zone's
    /// response times grow. The utilization is estimated from this gatekeeper's rate, as if load were even over
    /// the gatekeepers. The gatekeepers that spill are taken to be those of the capacity that is missing, as all
    /// gatekeepers see the same zones ejected or degraded. With [`SpilloverBound::Measured`] a limit applies only
    /// as far as the zone is congested.
    pub fn limited_plan(&self, now_secs: f64, offered: &OfferedLoad) -> LimitedPlan {
        let mut plan = self.load_plan(now_secs);
        let capacity = self.ready_capacity();
        let peak_capacity: f64 = self.zones.iter().map(|zone| zone.peak_capacity).sum();
        let mut limits_per_sec = vec![f64::INFINITY; capacity.len()];
        let has_rates = offered.endpoint_rate_per_sec > 0.0 && offered.rate_per_sec > 0.0;
        if !has_rates || peak_capacity <= 0.0 {
            return LimitedPlan { plan, limits_per_sec };
        }
        let gatekeepers = f64::from(offered.gatekeepers.max(1));
        let fleet_rate = offered.rate_per_sec * gatekeepers;
        let utilization = (fleet_rate / (offered.endpoint_rate_per_sec * peak_capacity)).max(0.0);
        let missing_capacity = self.missing_capacity(&capacity);
        let spilling_gatekeepers = (gatekeepers * missing_capacity / peak_capacity).ceil().max(1.0) as u32;
        for zone in (0..capacity.len()).filter(|&zone| Some(zone) != self.local) {
            let headroom = Headroom {
                capacity_per_sec: capacity[zone] * offered.endpoint_rate_per_sec,
                utilization,
                max_utilization: self.settings.max_spillover_utilization,
                spilling_gatekeepers,
            };
            let limit = headroom.limit_per_sec() * self.latency.limit_factor(now_secs, zone);
            let enforcement = match self.settings.spillover_bound {
                SpilloverBound::Rated => 1.0,
                SpilloverBound::Measured => self.latency.congestion(now_secs, zone),
            };
            let excess = enforcement * (plan.zones[zone].share - limit / offered.rate_per_sec).max(0.0);
            plan.unassigned += excess;
            plan.zones[zone].share -= excess;
            limits_per_sec[zone] = limit;
        }
        LimitedPlan { plan, limits_per_sec }
    }

    /// Capacity that ejected zones had and that other zones have lost.
    fn missing_capacity(&self, ready_capacity: &[f64]) -> f64 {
        let missing = |(zone, &ready): (&super::ZoneRecord, &f64)| {
            let available = if zone.state == ZoneState::Ejected { 0.0 } else { ready };
            (zone.peak_capacity - available).max(0.0)
        };
        self.zones.iter().zip(ready_capacity).map(missing).sum()
    }
}
