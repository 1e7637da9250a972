//! The quota leader's account of one edge node.

use super::allocation::Allocation;
use super::{QuotaCounterConfig, TenantId};
use std::collections::BTreeMap;

/// Upper bound, in seconds, for the network delay of a sync response.
const MAX_RESPONSE_DELAY_SECS: f64 = 0.1;

/// Account of one incarnation of an edge node. Times are in seconds of the caller's clock.
#[derive(Clone, Debug)]
pub struct EdgeAccount {
    pub incarnation: u64,
    pub last_sync_secs: f64,
    /// Time up to which the spending by standing shares is reserved.
    pub reserved_until_secs: f64,
    /// Whether the edge node synced within the contact timeout.
    pub in_contact: bool,
    /// Number of allocations that come from an earlier leader's record and were not reported since.
    pub unreported_count: usize,
    pub allocations: BTreeMap<TenantId, Allocation>,
}

impl EdgeAccount {
    /// Opens the account of an edge node that is in contact at `now`.
    pub fn new(now: f64, incarnation: u64, recorded: BTreeMap<TenantId, Allocation>) -> Self {
        EdgeAccount {
            incarnation,
            last_sync_secs: now,
            reserved_until_secs: now,
            in_contact: true,
            unreported_count: recorded.len(),
            allocations: recorded,
        }
    }

    /// Time from which the edge node may be spending its standing shares, unless it syncs again. The edge node counts
    /// its contact timeout from when it sent the last sync that got a response. That may be the sync before the last
    /// one received here, so this time is earlier by a sync interval and the delay of a response.
    pub fn may_spend_shares_from_secs(&self, config: &QuotaCounterConfig) -> f64 {
        let grace = config.contact_timeout_secs - config.sync_interval_secs - MAX_RESPONSE_DELAY_SECS;
        self.last_sync_secs + grace.max(0.0)
    }

    /// Time at which the standing shares have expired.
    pub fn shares_expire_at_secs(&self, config: &QuotaCounterConfig) -> f64 {
        self.last_sync_secs + config.share_expiry_secs + config.sync_interval_secs
    }
}
