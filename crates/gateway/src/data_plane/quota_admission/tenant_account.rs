//! Quota account of one tenant at an edge node, and the rules by which its usage is reported to the quota leader.

use std::collections::BTreeSet;
use std::sync::Arc;

/// Time constant of the demand estimate, in seconds.
const DEMAND_TIME_CONSTANT_SECS: f64 = 2.0;
/// Demand below which none is reported, in requests per second.
const MIN_DEMAND_PER_SEC: f64 = 0.05;
/// Longest time, in seconds, after which charges to units that were granted for waiting requests are reported.
const DEFERRED_REPORT_INTERVAL_SECS: f64 = 1.0;
/// Demand is reported when it differs from the last reported demand by more than this fraction of the sum of the reported
/// demand and [`DEMAND_STEP_PER_SEC`].
const DEMAND_CHANGE_RATIO: f64 = 0.5;
/// Offset for [`DEMAND_CHANGE_RATIO`], in requests per second. The quota leader adds as much to the demand of every edge
/// node.
const DEMAND_STEP_PER_SEC: f64 = 0.3;

/// Usage that a sync reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedUsage {
    /// When the sync was sent, in seconds of the clock that is passed in.
    pub(super) at: f64,
    /// Units charged in this incarnation, less those refunded.
    pub(super) charged: i64,
    /// Number of requests that waited for a grant.
    pub(super) waiting: u32,
    /// Demand in requests per second.
    pub(super) demand: f64,
}

/// Quota account of one tenant at this edge node.
#[derive(Clone, Debug, Default)]
pub(super) struct TenantAccount {
    /// Units charged in this incarnation, less those refunded.
    pub(super) charged: i64,
    /// Upper bound on `charged` that the quota leader has granted.
    pub(super) charge_limit: i64,
    /// Standing share, in units per second.
    pub(super) standing_share: f64,
    /// Estimated demand in requests per second, as of `demand_at`.
    demand: f64,
    /// When `demand` was last updated, in seconds of the clock that is passed in.
    demand_at: f64,
    /// Time until which no units are available at any node, according to the leader's last answer.
    pub(super) exhausted_until: f64,
    /// Tokens in the bucket of the standing share (see [`super::standing_share`]), as of `tokens_updated_at`.
    pub(super) tokens: f64,
    /// When `tokens` was last updated, in seconds of the clock that is passed in.
    pub(super) tokens_updated_at: f64,
    /// Position in time slots since the start, for shares with a depth below one token.
    pub(super) slot_position: f64,
    /// The last time slot whose token was made available.
    pub(super) last_used_slot: f64,
    /// The last report that the leader has answered.
    pub(super) acknowledged: Option<ReportedUsage>,
    /// The last report, while the leader has not answered it.
    pub(super) unacknowledged: Option<ReportedUsage>,
    /// Whether the next sync must report the account, whatever its usage.
    pub(super) must_report: bool,
    /// Whether regular syncs consider the account.
    pub(super) is_tracked: bool,
    /// Number of requests that wait for a grant.
    pub(super) waiting: u32,
}

impl TenantAccount {
    /// Creates an account without grants. `tokens_updated_at`: time from which tokens of the standing share accrue.
    pub(super) fn new(tokens_updated_at: f64, slot_position: f64) -> Self {
        TenantAccount { tokens_updated_at, slot_position, ..TenantAccount::default() }
    }

    /// Counts a new request in the demand estimate.
    pub(super) fn record_demand(&mut self, now: f64) {
        self.demand = self.current_demand(now) + 1.0 / DEMAND_TIME_CONSTANT_SECS;
        self.demand_at = now;
    }

    fn current_demand(&self, now: f64) -> f64 {
        self.demand * ((self.demand_at - now) / DEMAND_TIME_CONSTANT_SECS).exp()
    }

    /// Demand to report, in requests per second.
    pub(super) fn reported_demand(&self, now: f64) -> f64 {
        let demand = self.current_demand(now);
        if demand < MIN_DEMAND_PER_SEC {
            0.0
        } else {
            demand
        }
    }

    /// Lets regular syncs consider the account from now on.
    pub(super) fn track(&mut self, name: &str, tracked: &mut BTreeSet<Arc<str>>) {
        if !std::mem::replace(&mut self.is_tracked, true) {
            tracked.insert(name.into());
        }
    }

    /// Number of units that are granted and not charged yet.
    pub(super) fn unused_grant(&self) -> u32 {
        self.charge_limit.saturating_sub(self.charged).clamp(0, u32::MAX.into()) as u32
    }

    /// Whether the account should be reported to the quota leader now.
    pub(super) fn needs_report(&self, now: f64, demand: f64) -> bool {
        if self.must_report || self.waiting > 0 || self.unacknowledged.is_some() {
            return true;
        }
        let Some(last) = self.acknowledged else { return demand > 0.0 || self.unused_grant() > 0 };
        let is_overdue = now - last.at >= DEFERRED_REPORT_INTERVAL_SECS;
        // The leader withholds units that were granted ahead of requests from other nodes until they are reported as charged.
        let was_granted_ahead = self.charge_limit > last.charged + i64::from(last.waiting);
        let has_charges_due = self.charged != last.charged && (was_granted_ahead || is_overdue);
        let lacks_share = self.standing_share <= 0.0 && demand > 0.0 && is_overdue;
        let demand_change = (demand - last.demand).abs();
        has_charges_due
            || lacks_share
            || demand_change > DEMAND_CHANGE_RATIO * (last.demand + DEMAND_STEP_PER_SEC)
            || demand == 0.0 && last.demand > 0.0
    }

    /// Whether the account has no demand, no unused grant and no unreported charges, so that regular syncs need not consider
    /// the account.
    pub(super) fn is_idle(&self, demand: f64) -> bool {
        let is_reported = self.acknowledged.is_none_or(|last| last.charged == self.charged);
        demand <= 0.0 && self.unused_grant() == 0 && is_reported
    }
}
