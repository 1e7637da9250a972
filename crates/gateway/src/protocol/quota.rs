//! What an edge node and the quota leader exchange for each tenant, and the terms that both go by: a tenant's limit,
//! and when an edge node may spend its standing share.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An edge node reports its usage at least this often, in seconds.
pub const QUOTA_SYNC_INTERVAL_SECS: f64 = 0.25;
/// An edge node that had no answer from the quota leader for this long, in seconds, spends its standing share instead
/// of grants. The leader counts with the same time: an edge node that it has not heard for this long is out of contact.
pub const QUOTA_CONTACT_TIMEOUT_SECS: f64 = 0.7;

/// Standing shares outlast this many of the quota's horizons.
const SHARE_EXPIRY_HORIZONS: f64 = 3.0;

/// How long an edge node's standing shares stay valid after its last sync, in seconds.
pub fn standing_share_expiry_secs(quota_horizon: Duration) -> f64 {
    SHARE_EXPIRY_HORIZONS * quota_horizon.as_secs_f64()
}

/// A tenant's limit: a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantLimit {
    /// Refill: units a second.
    pub rate: f64,
    /// Capacity: units.
    pub burst: f64,
}

impl TenantLimit {
    /// Length of the window over which usage is totalled, in seconds: the time that fills the bucket, within limits.
    pub fn window_secs(&self) -> f64 {
        (self.burst / self.rate.max(1e-9)).clamp(0.5, 20.0)
    }
}

/// One tenant's usage at an edge node, reported to the quota leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantUsage {
    /// The tenant's name.
    pub tenant: String,
    /// Units charged in this incarnation of the edge node, less those taken back.
    pub charged: i64,
    /// Demand: requests a second that arrive here, admitted or not.
    pub demand: f32,
    /// The standing share that the edge node holds: units a second.
    pub standing_share: f32,
    /// Units granted and not charged yet.
    pub unused_grant: u32,
    /// Requests that wait for the leader's answer.
    pub waiting: u32,
}

/// The quota leader's answer for one tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantGrant {
    /// The tenant's name.
    pub tenant: String,
    /// Units charged in the current window over all edge nodes, as last reported.
    pub window_total: f32,
    /// The edge node may charge up to this many units in its incarnation.
    pub charge_limit: i64,
    /// Standing share of the edge node, spent while no leader can be reached: units a second.
    pub standing_share: f32,
    /// Milliseconds until units are available again; 0 while some are.
    pub retry_after_ms: u32,
}
