//! The token bucket of a tenant, and the usage total of the tenant's current window.

use super::allocation::AllocationTotals;
use std::sync::Arc;

/// Token bucket of one tenant.
#[derive(Clone, Debug)]
pub struct TenantBucket {
    /// Number of the current window, counted from the zero of the caller's clock.
    pub window: i64,
    /// Units charged in the current window.
    pub window_total: f64,
    /// Units that may be granted now. Negative while reservations exceed what the refill has brought.
    pub level: f64,
    /// Time of the last refill, in seconds of the caller's clock.
    pub last_refill_secs: f64,
}

/// Sums of what edge nodes reported to hold from earlier leaders.
#[derive(Clone, Copy, Debug, Default)]
pub struct InheritedAllocations {
    /// Standing shares, in units per second.
    pub standing_shares: f64,
    /// Unused grants, in units.
    pub grants: f64,
}

/// The quota leader's account of one tenant.
#[derive(Clone, Debug)]
pub struct TenantAccount {
    pub name: Arc<str>,
    /// `None` until the tenant is first used.
    pub bucket: Option<TenantBucket>,
    pub totals: AllocationTotals,
    pub inherited: InheritedAllocations,
    /// Whether an edge node reported a share above its recorded ceiling: then the record of the earlier leaders is
    /// incomplete, and can't bound the shares that are not reported yet.
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
