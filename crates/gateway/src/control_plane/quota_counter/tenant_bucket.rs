//! A tenant's token bucket and the total of its current window.

use super::allocation::AllocationTotals;
use std::sync::Arc;

/// The bucket of one tenant.
#[derive(Clone, Debug)]
pub struct TenantBucket {
    /// Which window is current: counted from 0 of the caller's clock.
    pub window: i64,
    /// Units charged in it.
    pub window_total: f64,
    /// Bucket level: units that may be granted now. Below 0 while reservations exceed what the rate brought.
    pub level: f64,
    /// When it was last refilled: seconds.
    pub refilled_secs: f64,
}

/// What edge nodes reported that earlier leaders had given them.
#[derive(Clone, Copy, Debug, Default)]
pub struct InheritedAllocations {
    /// Standing shares, units a second.
    pub standing_shares: f64,
    /// Unused grants, units.
    pub grants: f64,
}

/// What the quota leader keeps of one tenant.
#[derive(Clone, Debug)]
pub struct TenantAccount {
    pub name: Arc<str>,
    /// `None` until the tenant is first used.
    pub bucket: Option<TenantBucket>,
    pub totals: AllocationTotals,
    pub inherited: InheritedAllocations,
    /// An edge node reported a share above its recorded ceiling, so the record of earlier leaders is incomplete.
    pub is_record_incomplete: bool,
}

impl TenantAccount {
    /// A tenant without allocations.
    pub fn new(name: Arc<str>) -> Self {
        TenantAccount {
            name,
            bucket: None,
            totals: AllocationTotals::default(),
            inherited: InheritedAllocations::default(),
            is_record_incomplete: false,
        }
    }
}
