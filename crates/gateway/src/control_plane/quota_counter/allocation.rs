//! What one edge node holds of one tenant's quota, and the totals of that over all edge nodes.
//!
//! Totals are updated with each change, so that no sync walks all edge nodes. Rates in them are fixed-point integers:
//! adding and later subtracting the same value leaves no rounding error, so totals never drift from the allocations.

/// Fixed-point steps in a unit a second.
const FIXED_POINT_STEPS: f64 = (1u64 << 20) as f64;

/// A rate (units a second) as fixed-point number, rounded up.
pub fn to_fixed_point(rate: f64) -> i64 {
    (rate * FIXED_POINT_STEPS).ceil() as i64
}

/// The rate (units a second) of a fixed-point number.
pub fn from_fixed_point(rate: i64) -> f64 {
    rate as f64 / FIXED_POINT_STEPS
}

/// What one edge node holds of one tenant's quota.
#[derive(Clone, Debug, Default)]
pub struct Allocation {
    /// Whether this incarnation reported it to this leader; otherwise it comes from an earlier leader's record.
    pub is_reported: bool,
    /// Units charged, as last reported.
    pub charged: i64,
    /// Units granted and not charged yet, at most.
    pub granted: i64,
    /// Units granted for waiting requests: charged as soon as the answer arrives.
    pub granted_to_waiting: i64,
    /// Its standing share at most, units a second: what it reported, or what it was given since if that is more.
    pub standing_share: f64,
    /// What its share may rise to, once recorded: units a second.
    pub ceiling: f64,
    /// The ceiling as of the last record that was proposed.
    pub proposed_ceiling: f64,
    /// The ceiling that a majority of the core has stored.
    pub committed_ceiling: f64,
    /// Units reserved for what it may have spent by its share since it was last heard from.
    pub reserved_units: f64,
    /// Requests a second that arrive there.
    pub demand: f64,
}

/// Totals of a tenant's allocations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllocationTotals {
    /// Units granted and not charged yet.
    pub granted: i64,
    /// Standing shares that were reported to this leader: fixed-point rate.
    pub standing_shares: i64,
    /// Ceilings of allocations that were not reported to this leader: fixed-point rate.
    pub unreported_ceilings: i64,
    /// Requests a second at edge nodes in contact: fixed-point rate.
    pub demand: i64,
}

impl AllocationTotals {
    /// Adds an allocation of an edge node.
    pub fn add(&mut self, allocation: &Allocation, in_contact: bool) {
        self.count(allocation, in_contact, 1);
    }

    /// Takes an allocation out, as it was added.
    pub fn subtract(&mut self, allocation: &Allocation, in_contact: bool) {
        self.count(allocation, in_contact, -1);
    }

    fn count(&mut self, allocation: &Allocation, in_contact: bool, sign: i64) {
        self.granted += sign * allocation.granted;
        if !allocation.is_reported {
            self.unreported_ceilings += sign * to_fixed_point(allocation.ceiling);
            return;
        }
        self.standing_shares += sign * to_fixed_point(allocation.standing_share);
        if in_contact {
            self.demand += sign * to_fixed_point(allocation.demand);
        }
    }
}
