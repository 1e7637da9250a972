//! Allocations: the part of one tenant's quota that one edge node holds, and the totals over all edge nodes.
//!
//! Totals are updated with each change, so that no sync iterates over all edge nodes. Rates in totals are fixed-point
//! integers: adding and later subtracting the same value leaves no rounding error, so the totals never drift from the
//! allocations.

/// Fixed-point steps in one unit per second.
const FIXED_POINT_STEPS: f64 = (1u64 << 20) as f64;

/// Converts a rate in units per second to fixed point, rounded up.
pub fn to_fixed_point(rate: f64) -> i64 {
    (rate * FIXED_POINT_STEPS).ceil() as i64
}

/// Converts a fixed-point rate to units per second.
pub fn from_fixed_point(rate: i64) -> f64 {
    rate as f64 / FIXED_POINT_STEPS
}

/// The part of one tenant's quota that one edge node holds.
#[derive(Clone, Debug, Default)]
pub struct Allocation {
    /// Whether the edge node's incarnation reported this allocation to this leader; otherwise the allocation comes from
    /// an earlier leader's record.
    pub is_reported: bool,
    /// Units charged, as last reported.
    pub charged: i64,
    /// Upper bound of the units granted and not charged yet.
    pub granted: i64,
    /// Units granted for waiting requests, which the edge node charges as soon as the response arrives.
    pub granted_to_waiting: i64,
    /// Upper bound of the standing share, in units per second: the larger of the reported share and the shares granted
    /// since that report.
    pub standing_share: f64,
    /// Ceiling, in units per second, up to which the share may rise once the ceiling is committed.
    pub ceiling: f64,
    /// Ceiling as of the last proposed record.
    pub proposed_ceiling: f64,
    /// Ceiling that a majority of the core has stored.
    pub committed_ceiling: f64,
    /// Units reserved for what the edge node may have spent by its share since its last sync.
    pub reserved_units: f64,
    /// Demand at the edge node: arriving requests per second.
    pub demand: f64,
}

/// Totals of a tenant's allocations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllocationTotals {
    /// Units granted and not charged yet.
    pub granted: i64,
    /// Standing shares of allocations that were reported to this leader: fixed-point rate.
    pub standing_shares: i64,
    /// Ceilings of allocations that were not reported to this leader: fixed-point rate.
    pub unreported_ceilings: i64,
    /// Demand at edge nodes in contact: fixed-point rate.
    pub demand: i64,
}

impl AllocationTotals {
    /// Adds an allocation to the totals.
    pub fn add(&mut self, allocation: &Allocation, in_contact: bool) {
        self.apply(allocation, in_contact, 1);
    }

    /// Subtracts an allocation; `in_contact` must be as when it was added.
    pub fn subtract(&mut self, allocation: &Allocation, in_contact: bool) {
        self.apply(allocation, in_contact, -1);
    }

    fn apply(&mut self, allocation: &Allocation, in_contact: bool, sign: i64) {
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
