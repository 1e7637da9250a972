//! What an edge node and the quota leader exchange for each tenant.

use serde::{Deserialize, Serialize};

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
    /// Its standing share for the time when no leader can be reached: units a second.
    pub standing_share: f32,
    /// Milliseconds until units are available again; 0 while some are.
    pub retry_after_ms: u32,
}
