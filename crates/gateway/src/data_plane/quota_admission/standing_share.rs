//! Admission by standing share, while the quota leader can't be reached.
//!
//! A share is a rate at which units accrue up to a depth. Shares below one unit of depth are spent by turns: a turn is the
//! time in which the share brings one unit, and that unit is available for the first `depth` of the turn only. Nodes
//! begin their turns evenly spread, so at any moment about the sum of their depths can be spent. A whole unit at each of
//! many nodes would be more than all of them may spend together.

use super::tenant_account::TenantAccount;
use super::{AdmissionDecision, QuotaAdmissionConfig};
use crate::protocol::TenantLimit;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Part of the allowed overshoot that standing shares may save up, over all edge nodes, in the time after which they
/// lapse (so 4/3 of it in any horizon).
const SAVED_FRACTION: f64 = 0.3;
/// Part of the allowed overshoot that tenants without a share here may spend in each horizon (twice in any), over all edge
/// nodes. The rest is for what is in flight.
const UNSHARED_FRACTION: f64 = 0.2;
/// From this depth on, in units, a share is rounded up to a whole unit, which accrues while disconnected.
const MIN_ROUNDED_DEPTH: f64 = 0.5;
/// Retry delays assume that units accrue at least this fast, in units a second, ...
const MIN_RETRY_RATE: f64 = 0.1;
/// ...and are no longer than this, in seconds.
const MAX_RETRY_AFTER_SECS: f64 = 2.0;

/// What a standing share is judged by, apart from the account.
pub(super) struct ShareContext<'a> {
    pub(super) config: QuotaAdmissionConfig,
    pub(super) limit: &'a TenantLimit,
    /// When the last answered sync was sent.
    pub(super) last_sync_at: f64,
    /// Number of edge nodes at most; 0: not known.
    pub(super) edge_count: u32,
}

/// How units accrue.
struct Accrual {
    /// Units a second while disconnected.
    rate: f64,
    /// Units a second while connected: slow, so that a series of short disconnections brings no more.
    connected_rate: f64,
    /// Units that may be saved up.
    depth: f64,
}

impl ShareContext<'_> {
    fn accrual(&self, share: f64) -> Accrual {
        let (config, limit) = (&self.config, self.limit);
        let part = share / limit.rate;
        let overshoot = config.overshoot_ratio * (limit.rate * config.horizon_secs + limit.burst)
            + config.overshoot_requests;
        if share > 0.0 {
            let depth = SAVED_FRACTION * overshoot * part;
            return Accrual { rate: share, connected_rate: depth / config.share_lifetime_secs, depth };
        }
        // Without a share, the tenant has an equal part of a small allowance, safe with so many edge nodes.
        let depth = match self.edge_count {
            0 => 0.0,
            edge_count => UNSHARED_FRACTION * overshoot / f64::from(edge_count),
        };
        let rate = depth / config.horizon_secs;
        Accrual { rate, connected_rate: rate, depth }
    }
}

fn reject(missing_units: f64, rate: f64) -> AdmissionDecision {
    AdmissionDecision::Reject((missing_units / rate.max(MIN_RETRY_RATE)).min(MAX_RETRY_AFTER_SECS))
}

impl TenantAccount {
    /// Decides by the standing share, and charges the request if it is admitted.
    pub(super) fn admit_by_share(&mut self, now: f64, context: &ShareContext<'_>) -> AdmissionDecision {
        let ShareContext { config, last_sync_at, .. } = context;
        if now - last_sync_at > config.share_lifetime_secs {
            return AdmissionDecision::Reject(config.sync_interval_secs);
        }
        let Accrual { rate, connected_rate, depth } = context.accrual(self.standing_share);
        let connected_secs = (last_sync_at - self.saved_at).max(0.0);
        let disconnected_since = self.saved_at.max(last_sync_at + config.sync_timeout_secs);
        let disconnected_secs = (now - disconnected_since).max(0.0);
        self.saved_at = now;
        let (while_connected, while_disconnected) =
            (connected_rate * connected_secs, rate * disconnected_secs);
        if depth < 1.0 {
            if !self.advance_turns(while_connected, while_disconnected, depth) {
                let missing = match depth < MIN_ROUNDED_DEPTH {
                    true => self.turn_position.floor() + 1.0 - self.turn_position,
                    false => 1.0 - self.saved_units,
                };
                return reject(missing, rate);
            }
        } else {
            if connected_secs > 0.0 {
                self.saved_units = (self.saved_units + while_connected).min(depth);
            }
            self.saved_units = (self.saved_units + while_disconnected).min(depth);
        }
        if self.saved_units < 1.0 {
            return reject(1.0 - self.saved_units, rate);
        }
        self.saved_units -= 1.0;
        self.charged += 1;
        AdmissionDecision::Admit
    }

    /// Advances the turns of a share with a depth below one unit by what accrued; returns whether a unit is available.
    fn advance_turns(&mut self, while_connected: f64, while_disconnected: f64, depth: f64) -> bool {
        let is_rounded = depth >= MIN_ROUNDED_DEPTH;
        self.turn_position += while_connected + if is_rounded { 0.0 } else { while_disconnected };
        let turn = self.turn_position.floor();
        let has_unit = turn > self.last_used_turn && self.turn_position - turn < depth;
        if while_connected > 0.0 || !is_rounded {
            self.saved_units = f64::from(u8::from(has_unit));
        }
        self.saved_units = (self.saved_units + if is_rounded { while_disconnected } else { 0.0 }).min(1.0);
        if self.saved_units >= 1.0 {
            self.last_used_turn = turn;
        }
        self.saved_units >= 1.0
    }
}

/// Where a node's turns for a tenant begin, from 0 to 1: evenly spread over nodes, the same in every incarnation.
pub(super) fn first_turn(node: &str, tenant: &str) -> f64 {
    let mut hasher = DefaultHasher::new();
    (node, tenant).hash(&mut hasher);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}
