//! What the quota leader keeps of one edge node.

use super::allocation::Allocation;
use super::{QuotaCounterConfig, TenantId};
use std::collections::BTreeMap;

/// An answer is on its way to an edge node for no longer than this: seconds.
const MAX_ANSWER_DELAY_SECS: f64 = 0.1;

/// One incarnation of an edge node. Times are in seconds of the caller's clock.
#[derive(Clone, Debug)]
pub struct EdgeAccount {
    pub incarnation: u64,
    pub last_sync_secs: f64,
    /// Up to when units are reserved for its standing shares.
    pub reserved_until_secs: f64,
    /// Whether it was heard from within the contact timeout.
    pub in_contact: bool,
    /// Number of its allocations that come from an earlier leader's record.
    pub unreported: usize,
    pub allocations: BTreeMap<TenantId, Allocation>,
}

impl EdgeAccount {
    /// An edge node that is in contact from now on.
    pub fn new(now: f64, incarnation: u64, recorded: BTreeMap<TenantId, Allocation>) -> Self {
        EdgeAccount {
            incarnation,
            last_sync_secs: now,
            reserved_until_secs: now,
            in_contact: true,
            unreported: recorded.len(),
            allocations: recorded,
        }
    }

    /// From when on it may spend its standing shares, if it stays silent. It counts from when it sent the last sync
    /// that it got an answer to, which may be the one before.
    pub fn spends_shares_from_secs(&self, config: &QuotaCounterConfig) -> f64 {
        let grace = config.contact_timeout_secs - config.sync_interval_secs - MAX_ANSWER_DELAY_SECS;
        self.last_sync_secs + grace.max(0.0)
    }

    /// When its standing shares have expired.
    pub fn shares_expire_secs(&self, config: &QuotaCounterConfig) -> f64 {
        self.last_sync_secs + config.share_expiry_secs + config.sync_interval_secs
    }
}
