//! Admission by standing share while the quota leader is unreachable.
//!
//! A standing share is a token bucket: tokens accrue at the rate of the share up to a depth, and each token admits one
//! request. A share with a depth below one token is spent in time slots. A slot is the time in which the share accrues one
//! token, and that token is available only during the first fraction `depth` of the slot. The slots of different nodes
//! start evenly spread, so the tokens available at any moment add up to about the sum of the depths. If each of many nodes
//! held a full token instead, all of them together could exceed the allowed overshoot.

use super::tenant_account::TenantAccount;
use super::{AdmissionDecision, QuotaAdmissionConfig};
use crate::protocol::TenantLimit;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Fraction of the allowed overshoot that standing shares may accumulate over all edge nodes in one share lifetime. In any
/// horizon, up to 4/3 of this is spent: the full depth, and what accrues during the horizon.
const SHARE_DEPTH_FRACTION: f64 = 0.3;
/// Fraction of the allowed overshoot that tenants may spend in each horizon at edge nodes where they have no standing share,
/// over all these nodes; up to twice this in a horizon that starts at an arbitrary time. The overshoot that this and
/// [`SHARE_DEPTH_FRACTION`] leave is reserved for messages in flight.
const NO_SHARE_DEPTH_FRACTION: f64 = 0.2;
/// Depth, in tokens, from which a depth below one token is rounded up to one; the rounded token accrues while disconnected.
const MIN_ROUNDED_DEPTH: f64 = 0.5;
/// Minimum accrual rate that retry delays assume, in tokens per second.
const MIN_RETRY_RATE_PER_SEC: f64 = 0.1;
/// Upper bound on retry delays, in seconds.
const MAX_RETRY_AFTER_SECS: f64 = 2.0;

/// Inputs to admission by standing share, apart from the account.
pub(super) struct ShareContext<'a> {
    pub(super) config: QuotaAdmissionConfig,
    pub(super) limit: &'a TenantLimit,
    /// When the last answered sync was sent, in seconds of the clock that is passed in.
    pub(super) last_sync_at: f64,
    /// Upper bound on the number of edge nodes; 0 if unknown.
    pub(super) edge_count: u32,
}

/// Parameters of a token bucket.
struct TokenBucketParams {
    /// Tokens per second that accrue while disconnected.
    rate: f64,
    /// Tokens per second that accrue while connected. The rate is low, so that a series of short disconnections does not
    /// exceed the allowed overshoot.
    connected_rate: f64,
    /// Maximum number of tokens.
    depth: f64,
}

impl ShareContext<'_> {
    /// Parameters of the token bucket for a standing share of `share` units per second.
    fn bucket_params(&self, share: f64) -> TokenBucketParams {
        let (config, limit) = (&self.config, self.limit);
        let share_fraction = share / limit.rate;
        let allowed_overshoot = config.overshoot_ratio * (limit.rate * config.horizon_secs + limit.burst)
            + config.overshoot_requests;
        if share > 0.0 {
            let depth = SHARE_DEPTH_FRACTION * allowed_overshoot * share_fraction;
            return TokenBucketParams {
                rate: share,
                connected_rate: depth / config.share_lifetime_secs,
                depth,
            };
        }
        // Without a share, the tenant gets an equal part of a small allowance, which holds for up to `edge_count` nodes.
        let depth = match self.edge_count {
            0 => 0.0,
            edge_count => NO_SHARE_DEPTH_FRACTION * allowed_overshoot / f64::from(edge_count),
        };
        let rate = depth / config.horizon_secs;
        TokenBucketParams { rate, connected_rate: rate, depth }
    }
}

/// Rejects a request that lacks `missing_tokens`, with the retry delay in which they accrue at `rate`.
fn reject(missing_tokens: f64, rate: f64) -> AdmissionDecision {
    AdmissionDecision::Reject((missing_tokens / rate.max(MIN_RETRY_RATE_PER_SEC)).min(MAX_RETRY_AFTER_SECS))
}

impl TenantAccount {
    /// Decides on a request by the standing share, and charges a unit if the request is admitted.
    pub(super) fn admit_by_share(&mut self, now: f64, context: &ShareContext<'_>) -> AdmissionDecision {
        let ShareContext { config, last_sync_at, .. } = context;
        if now - last_sync_at > config.share_lifetime_secs {
            return AdmissionDecision::Reject(config.sync_interval_secs);
        }
        let TokenBucketParams { rate, connected_rate, depth } = context.bucket_params(self.standing_share);
        let connected_secs = (last_sync_at - self.tokens_updated_at).max(0.0);
        let disconnected_since = self.tokens_updated_at.max(last_sync_at + config.sync_timeout_secs);
        let disconnected_secs = (now - disconnected_since).max(0.0);
        self.tokens_updated_at = now;
        let (accrued_connected, accrued_disconnected) =
            (connected_rate * connected_secs, rate * disconnected_secs);
        if depth < 1.0 {
            if !self.advance_slots(accrued_connected, accrued_disconnected, depth) {
                let missing_tokens = match depth < MIN_ROUNDED_DEPTH {
                    true => self.slot_position.floor() + 1.0 - self.slot_position,
                    false => 1.0 - self.tokens,
                };
                return reject(missing_tokens, rate);
            }
        } else {
            if connected_secs > 0.0 {
                self.tokens = (self.tokens + accrued_connected).min(depth);
            }
            self.tokens = (self.tokens + accrued_disconnected).min(depth);
        }
        if self.tokens < 1.0 {
            return reject(1.0 - self.tokens, rate);
        }
        self.tokens -= 1.0;
        self.charged += 1;
        AdmissionDecision::Admit
    }

    /// Advances the time slots of a share with a depth below one token by the tokens that accrued. Returns whether a token is
    /// available.
    fn advance_slots(&mut self, accrued_connected: f64, accrued_disconnected: f64, depth: f64) -> bool {
        let is_rounded = depth >= MIN_ROUNDED_DEPTH;
        self.slot_position += accrued_connected + if is_rounded { 0.0 } else { accrued_disconnected };
        let slot = self.slot_position.floor();
        let has_token = slot > self.last_used_slot && self.slot_position - slot < depth;
        if accrued_connected > 0.0 || !is_rounded {
            self.tokens = f64::from(u8::from(has_token));
        }
        self.tokens = (self.tokens + if is_rounded { accrued_disconnected } else { 0.0 }).min(1.0);
        if self.tokens >= 1.0 {
            self.last_used_slot = slot;
        }
        self.tokens >= 1.0
    }
}

/// Position in the first time slot, from 0 to 1, at which a node's slots for a tenant start. The positions are spread evenly
/// over nodes, and a node has the same position in every incarnation.
pub(super) fn initial_slot_position(node: &str, tenant: &str) -> f64 {
    let mut hasher = DefaultHasher::new();
    (node, tenant).hash(&mut hasher);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}
