//! Locality-weighted load distribution over priority tiers, after Envoy's priority levels and locality weights.
//!
//! Tier 0 is the gatekeeper's local zone, tier 1 all remote zones. A tier takes
//! `min(1, overprovisioning factor × health)` of the load that the tiers before it left; within tier 1, zones
//! share by locality weight times health. What no tier takes is unassigned.
//!
//! Beside the shares, [`Headroom`] gives a limit on the spillover into a remote zone: the headroom of the zone,
//! split evenly over all gatekeepers that spill. All of them spilling at once, without knowledge of each
//! other, therefore stay within the headroom.

/// What the distribution needs of one zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneInput {
    /// Whether the zone is this gatekeeper's local zone. If several are, the first counts.
    pub is_local: bool,
    /// Locality weight of the zone; a zone whose weight is not above 0 takes no spillover.
    pub weight: f64,
    /// Fraction of the zone's capacity that is usable, slow start included, 0 to 1.
    pub health: f64,
}

/// Distribution of a gatekeeper's load. All shares and `unassigned` add up to one.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadShares {
    /// Fraction of the load for each zone, in the order of the input.
    pub shares: Vec<f64>,
    /// Fraction that no tier takes.
    pub unassigned: f64,
}

/// Distributes load over zones. An overprovisioning factor below 1 or not finite counts as 1, a health outside
/// 0 to 1 is clamped, and one that is not finite counts as 0.
pub fn distribute(zones: &[ZoneInput], overprovisioning_factor: f64) -> LoadShares {
    let health = |zone: &ZoneInput| if zone.health.is_finite() { zone.health.clamp(0.0, 1.0) } else { 0.0 };
    let factor = if overprovisioning_factor.is_finite() { overprovisioning_factor.max(1.0) } else { 1.0 };
    let local = zones.iter().position(|zone| zone.is_local);
    let local_health = local.map_or(0.0, |i| health(&zones[i]));
    let is_local = |i: usize| Some(i) == local;
    let remote: Vec<&ZoneInput> = zones
        .iter()
        .enumerate()
        .filter(|(i, zone)| !is_local(*i) && zone.weight > 0.0)
        .map(|(_, zone)| zone)
        .collect();
    let total_weight: f64 = remote.iter().map(|zone| zone.weight).sum();
    let effective_weight: f64 = remote.iter().map(|zone| zone.weight * health(zone)).sum();
    let remote_health = if total_weight > 0.0 { effective_weight / total_weight } else { 0.0 };
    let local_load = (factor * local_health).min(1.0);
    let remote_load = (factor * remote_health).min(1.0 - local_load);
    let shares: Vec<f64> = zones
        .iter()
        .enumerate()
        .map(|(i, zone)| match is_local(i) {
            true => local_load,
            false if effective_weight > 0.0 && zone.weight > 0.0 => {
                remote_load * zone.weight * health(zone) / effective_weight
            }
            false => 0.0,
        })
        .collect();
    let assigned: f64 = shares.iter().sum();
    LoadShares { shares, unassigned: (1.0 - assigned).max(0.0) }
}

/// What the spillover limit of a remote zone derives from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Headroom {
    /// Dispatches a second that the zone can serve.
    pub capacity_per_sec: f64,
    /// Utilization of the zone, as a fraction of its capacity.
    pub utilization: f64,
    /// Utilization up to which the zone takes spillover.
    pub max_utilization: f64,
    /// Number of gatekeepers that spill into it; 0 counts as 1.
    pub spilling_gatekeepers: u32,
}

impl Headroom {
    /// Dispatches a second that one gatekeeper may spill into the zone. 0 if the capacity is not finite and
    /// above 0.
    pub fn limit_per_sec(&self) -> f64 {
        let headroom = (self.max_utilization - self.utilization).max(0.0);
        if self.capacity_per_sec.is_finite() && self.capacity_per_sec > 0.0 {
            headroom * self.capacity_per_sec / f64::from(self.spilling_gatekeepers.max(1))
        } else {
            0.0
        }
    }
}

#[cfg(test)]
#[path = "locality_tests.rs"]
mod tests;
