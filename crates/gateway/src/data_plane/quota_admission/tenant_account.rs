//! What an edge node knows of one tenant's quota, and when the quota leader is to hear of it.

use std::collections::BTreeSet;
use std::sync::Arc;

/// Time constant of the demand estimate, in seconds.
const DEMAND_TIME_CONSTANT_SECS: f64 = 2.0;
/// Lower demand is reported as none; in requests a second.
const MIN_DEMAND: f64 = 0.05;
/// Charges to units that were granted for waiting requests are reported within so many seconds.
const LAZY_REPORT_INTERVAL_SECS: f64 = 1.0;
/// Demand is reported when it differs from the last report by this part of the sum of that and [`DEMAND_STEP`].
const DEMAND_CHANGE_RATIO: f64 = 0.5;
/// See [`DEMAND_CHANGE_RATIO`]; the quota leader's own step, in requests a second.
const DEMAND_STEP: f64 = 0.3;

/// The usage that a sync reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedUsage {
    pub(super) at: f64,
    pub(super) charged: i64,
    pub(super) waiting: u32,
    /// Requests a second.
    pub(super) demand: f64,
}

/// The account of one tenant at this edge node.
#[derive(Clone, Debug, Default)]
pub(super) struct TenantAccount {
    /// Units charged in this incarnation, less those refunded.
    pub(super) charged: i64,
    /// Units may be charged up to this.
    pub(super) charge_limit: i64,
    /// The standing share, in units a second.
    pub(super) standing_share: f64,
    /// Demand in requests a second, as of `demand_at`.
    demand: f64,
    demand_at: f64,
    /// Until then no units are available anywhere, by the leader's last answer.
    pub(super) exhausted_until: f64,
    /// Units saved up from the standing share, as of `saved_at`.
    pub(super) saved_units: f64,
    pub(super) saved_at: f64,
    /// Progress in turns (see [`super::standing_share`]), and the last turn whose unit was made available.
    pub(super) turn_position: f64,
    pub(super) last_used_turn: f64,
    /// The last report that the leader has answered.
    pub(super) acknowledged: Option<ReportedUsage>,
    /// The last report, while it is not answered.
    pub(super) unacknowledged: Option<ReportedUsage>,
    /// Whether it is to be reported in any case.
    pub(super) must_report: bool,
    /// Whether regular syncs consider it.
    pub(super) is_tracked: bool,
    /// Requests that wait for a grant.
    pub(super) waiting: u32,
}

impl TenantAccount {
    /// An account without grants. `saved_at`: since when its standing share saves up units.
    pub(super) fn new(saved_at: f64, turn_position: f64) -> Self {
        TenantAccount { saved_at, turn_position, ..TenantAccount::default() }
    }

    /// Counts a new request.
    pub(super) fn record_demand(&mut self, now: f64) {
        self.demand = self.demand_at_time(now) + 1.0 / DEMAND_TIME_CONSTANT_SECS;
        self.demand_at = now;
    }

    fn demand_at_time(&self, now: f64) -> f64 {
        self.demand * ((self.demand_at - now) / DEMAND_TIME_CONSTANT_SECS).exp()
    }

    /// Demand as it is reported, in requests a second.
    pub(super) fn reported_demand(&self, now: f64) -> f64 {
        let demand = self.demand_at_time(now);
        if demand < MIN_DEMAND {
            0.0
        } else {
            demand
        }
    }

    /// Regular syncs consider it from now on.
    pub(super) fn track(&mut self, name: &str, tracked: &mut BTreeSet<Arc<str>>) {
        if !std::mem::replace(&mut self.is_tracked, true) {
            tracked.insert(name.into());
        }
    }

    /// Units granted and not charged yet.
    pub(super) fn unused_grant(&self) -> u32 {
        self.charge_limit.saturating_sub(self.charged).clamp(0, u32::MAX.into()) as u32
    }

    /// Whether the quota leader should hear of it now.
    pub(super) fn needs_report(&self, now: f64, demand: f64) -> bool {
        if self.must_report || self.waiting > 0 || self.unacknowledged.is_some() {
            return true;
        }
        let Some(last) = self.acknowledged else { return demand > 0.0 || self.unused_grant() > 0 };
        let is_overdue = now - last.at >= LAZY_REPORT_INTERVAL_SECS;
        // Units that were granted ahead of requests are withheld from other nodes until they are reported as charged.
        let was_granted_ahead = self.charge_limit > last.charged + i64::from(last.waiting);
        let has_charges_due = self.charged != last.charged && (was_granted_ahead || is_overdue);
        let lacks_share = self.standing_share <= 0.0 && demand > 0.0 && is_overdue;
        let demand_change = (demand - last.demand).abs();
        has_charges_due
            || lacks_share
            || demand_change > DEMAND_CHANGE_RATIO * (last.demand + DEMAND_STEP)
            || demand == 0.0 && last.demand > 0.0
    }

    /// Whether the leader knows all there is to know, so that regular syncs need not consider it.
    pub(super) fn is_quiet(&self, demand: f64) -> bool {
        let is_reported = self.acknowledged.is_none_or(|last| last.charged == self.charged);
        demand <= 0.0 && self.unused_grant() == 0 && is_reported
    }
}
