//! Estimates for one customer at one gatekeeper while no total of the counter is usable: this gatekeeper's share of the
//! quota, the use over all gatekeepers, and the fallback allowance.
//!
//! The share is learnt from earlier totals and decays towards the even share as they age. The use over all gatekeepers
//! comes from the meter in nodes' responses, which is trusted for some seconds. What is admitted by these estimates is
//! up to the decision module.

/// Weight of the even share against learnt totals, as a fraction of the burst.
const EVEN_SHARE_WEIGHT: f64 = 0.5;
/// Time constant of the learnt share, in seconds.
const SHARE_MEMORY_SECS: f64 = 30.0;
/// Use assumed of a customer of which nothing is known, as a fraction of its rate, with the weight of one unit.
const PRIOR_USE: f64 = 0.5;
/// Time constant that smooths the metered use, in seconds. A single metering period is too short to be representative.
const METER_MEMORY_SECS: f64 = 3.0;
/// Time constant with which confidence in the metered use decays, in seconds.
const METER_CONFIDENCE_SECS: f64 = 15.0;
/// Upper bound of the metered use, as a multiple of the rate.
const MAX_METERED_USE: f64 = 10.0;
/// Confidence above which the metered use decides whether a customer is inside its quota.
const MIN_METER_CONFIDENCE: f64 = 0.5;
/// Metered use, as a fraction of the rate, below which a customer is inside its quota, so that all of its use is
/// charged. Beyond the quota some requests are served uncharged.
const INSIDE_QUOTA_USE: f64 = 0.9;
/// Demand at this gatekeeper alone, as a fraction of the rate, above which a customer may be beyond its quota whatever
/// the meter says.
const INSIDE_QUOTA_DEMAND: f64 = 0.5;
/// Upper bound of the time, in seconds, in which the allowance earns a largest request. Where it takes longer, the
/// allowance does not limit the customer.
const MAX_EARN_SECS: f64 = 10.0;
/// Metered use, as a fraction of the rate, below which it is light. Customers just below their quota would be compared
/// in their lulls only, with totals that hold a fifth more.
const LIGHT_USE: f64 = 0.6;
/// Lower bound of divisors, so that nothing is divided by zero.
const MIN_DIVISOR: f64 = 1e-9;

/// The limits of a customer's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimits {
    /// Rate, in units per second.
    pub rate: f64,
    /// Burst: units that may be used at once.
    pub burst: f64,
}

/// The estimates for one customer. Times are seconds on the caller's clock.
///
/// `Share` is part of the state handed over at a hot restart: the serialized names are fixed.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "adapter", derive(serde::Serialize, serde::Deserialize), serde(default))]
pub struct Share {
    /// Units spent through this gatekeeper in windows with a known total, decaying.
    #[cfg_attr(feature = "adapter", serde(rename = "mine"))]
    own_units: f64,
    /// Units spent over all gatekeepers in the same windows, decaying.
    #[cfg_attr(feature = "adapter", serde(rename = "ours"))]
    total_units: f64,
    /// Use over all gatekeepers by the meter, as a fraction of the rate, smoothed.
    #[cfg_attr(feature = "adapter", serde(rename = "metered"))]
    metered_use: f64,
    /// When the meter was last read.
    metered_at: f64,
    /// Units of the fallback allowance as of `allowance_at`.
    allowance: f64,
    /// When the allowance was last updated; `None` before it was first used.
    allowance_at: Option<f64>,
}

impl Default for Share {
    fn default() -> Self {
        Share {
            own_units: 0.0,
            total_units: 0.0,
            metered_use: 0.0,
            metered_at: f64::NEG_INFINITY,
            allowance: 0.0,
            allowance_at: None,
        }
    }
}

impl Share {
    /// This gatekeeper's fraction of the quota, 0 to 1: the even share over `width` gatekeepers until totals say more.
    pub fn fraction(&self, burst: f64, width: f64) -> f64 {
        let prior = EVEN_SHARE_WEIGHT * burst;
        (self.own_units + prior / width) / (self.total_units + prior).max(MIN_DIVISOR)
    }

    /// Estimates the units that all gatekeepers spent in `span_secs`: by the meter, to the degree of confidence in it,
    /// and otherwise by the `own` units spent here, where this gatekeeper's fraction is `fraction`. The prior is needed
    /// where gatekeepers are very many: one unit spent here, scaled by their number, would exhaust a quota that is
    /// nearly unused.
    pub fn estimate_spent(&self, rate: f64, fraction: f64, own: f64, span_secs: f64, now: f64) -> f64 {
        let prior = (PRIOR_USE * rate * span_secs).max(MIN_DIVISOR);
        let by_own = (1.0 + own) / (1.0 / prior + fraction);
        by_own + self.meter_confidence(now) * (self.metered_use * rate * span_secs - by_own)
    }

    /// Confidence in the meter, 0 to 1.
    pub fn meter_confidence(&self, now: f64) -> f64 {
        ((self.metered_at - now) / METER_CONFIDENCE_SECS).exp()
    }

    /// Learns from a window of `length_secs` that is over, with `spent` units of which `own` were spent here. In the
    /// `missed_windows` since, no request came through here: other gatekeepers are assumed to have gone on as before.
    pub fn learn_window(&mut self, length_secs: f64, missed_windows: f64, own: f64, spent: f64) {
        let decay = (-length_secs / SHARE_MEMORY_SECS).exp();
        self.own_units = self.own_units * decay.powf(1.0 + missed_windows) + own.min(spent);
        self.total_units = self.total_units * decay + spent;
    }

    /// Lets the fraction decay towards the even share, after no total was known for `age` time constants.
    pub fn decay(&mut self, age: f64) {
        let decay = (-age.max(0.0)).exp();
        self.own_units *= decay;
        self.total_units *= decay;
    }

    /// Records the use over all gatekeepers in the last period by the meter, as a fraction of the rate.
    pub fn record_metered(&mut self, now: f64, metered_use: f64) {
        let newest = if metered_use.is_finite() { metered_use.clamp(0.0, MAX_METERED_USE) } else { 0.0 };
        let decay = ((self.metered_at - now) / METER_MEMORY_SECS).exp();
        self.metered_use = decay * self.metered_use + (1.0 - decay) * newest;
        self.metered_at = now;
    }

    /// The fallback allowance at `now`, in units: a token bucket with this gatekeeper's fraction of the rate, and of
    /// the burst or one request of the `largest` units, whichever is more. Over all gatekeepers it adds up to the rate,
    /// and to no more at once than the burst or a largest request each.
    ///
    /// The bucket is empty when the last total was known, or else at `started`, the start of this process: a
    /// predecessor may have spent its content.
    pub fn allowance(
        &mut self,
        now: f64,
        limits: QuotaLimits,
        width: f64,
        largest: f64,
        started: f64,
    ) -> f64 {
        let fraction = self.fraction(limits.burst, width);
        let since = self.allowance_at.replace(now).unwrap_or(started);
        let max = (limits.burst * fraction).max(largest);
        self.allowance = (self.allowance + limits.rate * fraction * (now - since).max(0.0)).min(max);
        self.allowance
    }

    /// Empties the allowance, as a total is known at `now`. Should totals stop, it fills from then on.
    pub fn reset_allowance(&mut self, now: f64) {
        (self.allowance, self.allowance_at) = (0.0, Some(now));
    }

    /// Takes admitted units from the allowance, which never goes below zero.
    pub fn spend_allowance(&mut self, units: f64) {
        self.allowance = (self.allowance - units).max(0.0);
    }

    /// Metered use as a fraction of the rate; `None` unless confidence in it is high enough and it is below the quota,
    /// so that all of it is charged.
    pub fn use_inside_quota(&self, now: f64) -> Option<f64> {
        let is_trusted = self.meter_confidence(now) > MIN_METER_CONFIDENCE;
        Some(self.metered_use).filter(|metered_use| *metered_use < INSIDE_QUOTA_USE && is_trusted)
    }

    /// Whether the customer is limited to its allowance while no total is usable.
    ///
    /// The allowance does not apply in two cases:
    ///
    /// - The meter shows the customer inside its quota, and its `demand` here (units per second, rejected ones
    ///   included) is at most a fraction of its rate. The meter alone is not enough: a heavy customer that was just
    ///   rejected looks light to it.
    /// - The share here is so small that a request of the `largest` units takes long to earn. One of very many
    ///   gatekeepers has no complete request to hold back, and the estimated remainder would decide at random.
    pub fn is_limited_to_allowance(
        &self,
        now: f64,
        demand: f64,
        limits: QuotaLimits,
        width: f64,
        largest: f64,
    ) -> bool {
        let QuotaLimits { rate, burst } = limits;
        let is_share_small = rate * self.fraction(burst, width).max(1.0 / width) * MAX_EARN_SECS < largest;
        let is_demand_high = demand > INSIDE_QUOTA_DEMAND * rate;
        !is_share_small && (self.use_inside_quota(now).is_none() || is_demand_high)
    }

    /// Metered use in units per second; `None` unless it is so light that a lagging meter cannot have sampled a lull of
    /// a heavy customer. Totals may be compared with it.
    pub fn light_use(&self, now: f64, rate: f64) -> Option<f64> {
        let metered_use = self.use_inside_quota(now)?;
        (metered_use < LIGHT_USE).then_some(metered_use * rate)
    }
}

#[cfg(test)]
#[path = "share_tests.rs"]
mod tests;
