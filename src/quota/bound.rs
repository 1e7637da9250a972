//! The error bound: how many units beyond its quota a customer can be admitted while the counter is unavailable.
//!
//! All terms are in quota units. Nothing here takes part in admission: tests compare measured overshoot with the bound.
//! `docs/quota.md` has the derivation.

/// Shortest window of a customer, in seconds. A window lasts burst over rate, clamped as in the decision module.
const MIN_WINDOW_SECS: f64 = 0.5;
/// Longest window of a customer, in seconds.
const MAX_WINDOW_SECS: f64 = 20.0;
/// Lower bound of rates and quotas used as divisors, so that nothing is divided by zero.
const MIN_DIVISOR: f64 = 1e-9;

/// Inputs of the error bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundInput {
    /// Number of gatekeepers that serve the customer.
    pub width: f64,
    /// Rate of the quota, in units per second.
    pub rate: f64,
    /// Units of the quota that may be used at once.
    pub burst: f64,
    /// Demand of the customer over all gatekeepers, in units per second.
    pub demand: f64,
    /// Age of the last window total as the fault begins, in seconds: about the sync interval.
    pub total_age_secs: f64,
    /// Fraction of a window for which a total is still used without a newer one.
    pub stale_fraction: f64,
    /// Sum of the quota shares that the customer's gatekeepers assume; 1 where all learnt from the same totals.
    pub share_sum: f64,
    /// Largest request, in units.
    pub largest_request: f64,
}

/// Units beyond the quota, by cause.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ErrorBound {
    /// While the last totals are still used, no gatekeeper sees what the others admit.
    pub unseen: f64,
    /// The assumed shares sum to more than one.
    pub excess_shares: f64,
    /// One request beyond its share at each gatekeeper.
    pub granularity: f64,
}

impl ErrorBound {
    /// The bound for a fault that lasts `duration_secs`.
    pub fn over(input: &BoundInput, duration_secs: f64) -> Self {
        let width = input.width.max(1.0);
        let window_secs = (input.burst / input.rate.max(MIN_DIVISOR)).clamp(MIN_WINDOW_SECS, MAX_WINDOW_SECS);
        let blind_secs = input.total_age_secs + input.stale_fraction * window_secs;
        // A gatekeeper sees what it admits itself and misses what the others admit. None of them admits more than the
        // last total left of the burst.
        let unseen = (width - 1.0) / width * input.demand * blind_secs;
        ErrorBound {
            unseen: unseen.min((width - 1.0) * input.burst),
            excess_shares: (input.share_sum - 1.0).max(0.0) * input.rate * duration_secs,
            granularity: width * input.largest_request,
        }
    }

    /// The sum of all causes, in units.
    pub fn units(&self) -> f64 {
        self.unseen + self.excess_shares + self.granularity
    }

    /// The sum as a fraction of what the quota allows in `duration_secs`, its burst included.
    pub fn fraction_of_quota(&self, input: &BoundInput, duration_secs: f64) -> f64 {
        self.units() / (input.rate * duration_secs + input.burst).max(MIN_DIVISOR)
    }
}

#[cfg(test)]
#[path = "bound_tests.rs"]
mod tests;
