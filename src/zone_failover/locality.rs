//! Shares of load by hall, in the field's sense of priority tiers: tier 0 is the gatekeeper's own hall, tier 1
//! the others with their locality weights. A tier takes `min(1, overprovisioning × health)` of what the tiers
//! before it left; within tier 1, halls share by weight × health. What fits in no tier is `unplaced`. Beside
//! shares, a spill limit for each hall that takes load from elsewhere: its measured headroom split evenly over
//! every gatekeeper that might spill, so that all of them spilling at once, none seeing the others, still stay
//! under it. Pure arithmetic; it must never look at a node or a clock.

/// What the tiers need of one hall.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TierInput {
    /// Is it this gatekeeper's own hall?
    pub own: bool,
    /// Its locality weight, above 0.
    pub weight: f64,
    /// Part of its capacity usable now, ramp included, 0 to 1.
    pub health: f64,
}

/// Shares of load by hall, in the order given, and the part that fits nowhere.
#[derive(Clone, Debug, PartialEq)]
pub struct Shares {
    /// Part of this gatekeeper's load for each hall.
    pub part: Vec<f64>,
    /// Part that no tier takes.
    pub unplaced: f64,
}

/// Priority load over two tiers. Shares and `unplaced` add up to one.
pub fn shares(halls: &[TierInput], overprovisioning: f64) -> Shares {
    let health = |h: &TierInput| if h.health.is_finite() { h.health.clamp(0.0, 1.0) } else { 0.0 };
    let op = if overprovisioning.is_finite() { overprovisioning.max(1.0) } else { 1.0 };
    // One own hall: the first marked so; any other marked so is taken for one of the rest.
    let own_at = halls.iter().position(|h| h.own);
    let own_health = own_at.map_or(0.0, |i| health(&halls[i]));
    let is_own = |i: usize| Some(i) == own_at;
    let others: Vec<&TierInput> =
        halls.iter().enumerate().filter(|(i, h)| !is_own(*i) && h.weight > 0.0).map(|(_, h)| h).collect();
    let weights: f64 = others.iter().map(|h| h.weight).sum();
    let tier1_health =
        if weights > 0.0 { others.iter().map(|h| h.weight * health(h)).sum::<f64>() / weights } else { 0.0 };
    let own_load = (op * own_health).min(1.0);
    let tier1_load = (op * tier1_health).min(1.0 - own_load);
    let spread: f64 = others.iter().map(|h| h.weight * health(h)).sum();
    let part = halls
        .iter()
        .enumerate()
        .map(|(i, h)| match is_own(i) {
            true => own_load,
            false if spread > 0.0 && h.weight > 0.0 => tier1_load * h.weight * health(h) / spread,
            false => 0.0,
        })
        .collect::<Vec<f64>>();
    let placed: f64 = part.iter().sum();
    Shares { part, unplaced: (1.0 - placed).max(0.0) }
}

/// Work a second that this gatekeeper may spill into a hall: its headroom under `target` use, in work a
/// second, split over `spillers` gatekeepers.
pub fn spill_limit(capacity: f64, used: f64, target: f64, spillers: u32) -> f64 {
    let headroom = (target - used).max(0.0);
    if capacity.is_finite() && capacity > 0.0 {
        headroom * capacity / f64::from(spillers.max(1))
    } else {
        0.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn hall(own: bool, weight: f64, health: f64) -> TierInput {
        TierInput { own, weight, health }
    }

    #[test]
    fn a_whole_own_hall_takes_all() {
        let s = shares(&[hall(true, 1.0, 1.0), hall(false, 1.0, 1.0), hall(false, 1.0, 1.0)], 1.4);
        assert_eq!(s.part, vec![1.0, 0.0, 0.0]);
        // Up to 1 / 1.4 of it may go before anything spills.
        let s = shares(&[hall(true, 1.0, 0.75), hall(false, 1.0, 1.0)], 1.4);
        assert_eq!(s.part[0], 1.0);
    }

    #[test]
    fn a_thinned_own_hall_spills_by_weight() {
        let s = shares(&[hall(true, 1.0, 0.5), hall(false, 3.0, 1.0), hall(false, 1.0, 1.0)], 1.4);
        assert!((s.part[0] - 0.7).abs() < 1e-9);
        assert!((s.part[1] - 0.225).abs() < 1e-9);
        assert!((s.part[2] - 0.075).abs() < 1e-9);
        assert!(s.unplaced.abs() < 1e-9);
    }

    #[test]
    fn a_lost_own_hall_and_half_the_rest_leave_some_unplaced() {
        let s = shares(&[hall(true, 1.0, 0.0), hall(false, 1.0, 0.5), hall(false, 1.0, 0.0)], 1.4);
        assert!((s.part[1] - 0.35).abs() < 1e-9);
        assert!((s.unplaced - 0.65).abs() < 1e-9);
    }

    #[test]
    fn spill_is_headroom_split_over_the_fleet() {
        assert_eq!(spill_limit(12.0, 0.5, 0.8, 3), 1.2000000000000002);
        assert_eq!(spill_limit(12.0, 0.9, 0.8, 3), 0.0);
    }
}
