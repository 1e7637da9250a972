//! What a sync changes for one edge node and tenant: its usage is accounted, then its grant and standing share are
//! computed.
//!
//! Grants are the edge node's fair part of the bucket, by demand. Standing shares aim at a part of the rate by demand,
//! and are bounded by what other edge nodes hold and by the committed ceiling.

use super::allocation::{from_fixed_point, Allocation};
use super::{QuotaCounter, TenantId};
use crate::protocol::{TenantGrant, TenantLimit, TenantUsage};
use std::sync::Arc;

/// Every edge node is taken to have this demand beside its own, for tenants that arrive there next: requests a second.
const MIN_DEMAND_PER_SEC: f64 = 0.3;
/// Shares go by demand, with this part of the mean over edge nodes in contact added to each: demand at one node varies
/// by chance.
const EVEN_DEMAND_PART: f64 = 1.0;
/// This part of the rate is left out of the shares aimed at, so that one can rise at once while others fall later.
const UNSHARED_RATE_PART: f64 = 0.05;
/// A grant covers an edge node's demand for this many sync intervals.
const GRANT_SYNC_INTERVALS: f64 = 4.0;
/// A ceiling is set to this multiple of the share aimed at...
const CEILING_HEADROOM: f64 = 1.3;
/// ...and lowered once it is more than this multiple of it.
const MAX_CEILING_EXCESS: f64 = 4.0;
/// The smallest ceiling, as a part of the rate.
const MIN_CEILING_PART: f64 = 1e-4;

impl QuotaCounter {
    /// Accounts one edge node's usage of one tenant, and computes what it may charge from now on. The tenant's bucket
    /// is refilled already.
    pub(super) fn account_usage(
        &mut self,
        now: f64,
        node: &Arc<str>,
        tenant: TenantId,
        usage: &TenantUsage,
        limit: &TenantLimit,
    ) -> Option<TenantGrant> {
        let edge = self.edges.get_mut(node)?;
        let mut allocation = match edge.allocations.remove(&tenant) {
            Some(known) => {
                edge.unreported -= usize::from(!known.is_reported);
                self.tenants[tenant].totals.subtract(&known, edge.in_contact);
                known
            }
            None => Allocation::default(),
        };
        // From here on the totals are those of all others.
        let ceiling_before = allocation.ceiling;
        self.apply_usage(tenant, &mut allocation, usage);
        let grant = self.compute_grant(now, tenant, &mut allocation, usage, limit);
        if allocation.ceiling != ceiling_before {
            self.record.changed.insert((Arc::clone(node), tenant));
        }
        let edge = self.edges.get_mut(node)?;
        self.tenants[tenant].totals.add(&allocation, edge.in_contact);
        edge.allocations.insert(tenant, allocation);
        grant
    }

    /// Settles the bucket with what an edge node reports that it charged and holds.
    fn apply_usage(&mut self, tenant: TenantId, allocation: &mut Allocation, usage: &TenantUsage) {
        let account = &mut self.tenants[tenant];
        let Some(bucket) = &mut account.bucket else { return };
        let (share, unused) = (f64::from(usage.standing_share.max(0.0)), i64::from(usage.unused_grant));
        if allocation.is_reported {
            let charged = usage.charged - allocation.charged;
            bucket.window_total += charged.max(0) as f64;
            // What it was granted, and neither charged nor holds, comes back. What it charged beyond its grant, it
            // charged to its standing share: some of that was reserved; the rest it had saved up, which the quota's
            // slack allows and for which there must be no debt.
            let granted = allocation.granted + allocation.granted_to_waiting;
            let returned = granted - charged - unused;
            let unreserved = (-returned as f64 - allocation.reserved_units).max(0.0);
            bucket.level += if returned < 0 {
                -unreserved.min(bucket.level.max(0.0))
            } else {
                returned.min(granted) as f64
            };
        } else {
            account.inherited.standing_shares += share;
            account.inherited.grants += unused as f64;
            bucket.level -= unused as f64;
            account.is_record_incomplete |= share > allocation.ceiling;
        }
        allocation.is_reported = true;
        (allocation.charged, allocation.reserved_units) = (usage.charged, 0.0);
        (allocation.granted, allocation.granted_to_waiting) = (unused, 0);
        allocation.standing_share = share;
        allocation.demand = f64::from(usage.demand.max(0.0));
        allocation.ceiling = allocation.ceiling.max(share);
    }

    /// What an edge node may charge from now on, and its share. `allocation` is not among the totals.
    fn compute_grant(
        &mut self,
        now: f64,
        tenant: TenantId,
        allocation: &mut Allocation,
        usage: &TenantUsage,
        limit: &TenantLimit,
    ) -> Option<TenantGrant> {
        let unknown_share = self.unknown_share_rate(now, tenant, limit.rate);
        let other_demand = from_fixed_point(self.tenants[tenant].totals.demand);
        let grant = self.grant_units(tenant, allocation, usage, other_demand)?;
        let target = self.target_share(allocation, other_demand, limit.rate);
        if target > allocation.ceiling || target < allocation.ceiling / MAX_CEILING_EXCESS {
            allocation.ceiling = ceiling_for(target, limit.rate).max(allocation.standing_share);
            allocation.committed_ceiling = allocation.committed_ceiling.min(allocation.ceiling);
        }
        let account = &self.tenants[tenant];
        let other_shares = from_fixed_point(account.totals.standing_shares);
        let free = (limit.rate - unknown_share - other_shares).max(0.0);
        let allowed = allocation.committed_ceiling.max(allocation.standing_share);
        let share = target.min(free).min(allowed) as f32;
        allocation.standing_share = allocation.standing_share.max(f64::from(share));
        let bucket = account.bucket.as_ref()?;
        let is_available = bucket.level >= 1.0 || grant.added > 0.0;
        let retry_after_secs = if is_available { 0.0 } else { (1.0 - bucket.level) / limit.rate };
        Some(TenantGrant {
            tenant: usage.tenant.clone(),
            window_total: bucket.window_total as f32,
            charge_limit: usage.charged + grant.usable as i64,
            standing_share: share,
            retry_after_ms: (retry_after_secs * 1e3).ceil() as u32,
        })
    }

    /// Takes an edge node's next grant from the bucket.
    fn grant_units(
        &mut self,
        tenant: TenantId,
        allocation: &mut Allocation,
        usage: &TenantUsage,
        other_demand: f64,
    ) -> Option<GrantedUnits> {
        let bucket = self.tenants[tenant].bucket.as_mut()?;
        // Its fair part goes by demand, with some for whoever asks next.
        let other_edges_demand = MIN_DEMAND_PER_SEC * self.edges_in_contact.saturating_sub(1) as f64;
        let weight = allocation.demand + MIN_DEMAND_PER_SEC;
        let fair_part = weight / (weight + other_demand + other_edges_demand);
        let (unused, waiting) = (allocation.granted as f64, f64::from(usage.waiting));
        let needed =
            (allocation.demand * self.config.sync_interval_secs * GRANT_SYNC_INTERVALS).floor().max(waiting);
        // Waiting requests go first: no units are kept back for those that may arrive.
        let for_waiting = (waiting - unused).min(bucket.level);
        let added = (bucket.level * fair_part).min(needed - unused).max(for_waiting);
        let added = added.floor().max(0.0);
        bucket.level -= added;
        let usable = if added > 0.0 { unused + added } else { unused.min(needed) };
        // Waiting requests are charged as soon as the answer arrives.
        allocation.granted_to_waiting = added.min(waiting) as i64;
        // What it is to give back counts as granted until it reports that it does not hold it any more.
        allocation.granted = allocation.granted.max(usable as i64 - allocation.granted_to_waiting);
        Some(GrantedUnits { added, usable })
    }

    /// The standing share that an edge node's demand calls for: units a second.
    fn target_share(&self, allocation: &Allocation, other_demand: f64, rate: f64) -> f64 {
        let demand = allocation.demand + other_demand;
        let edges = self.edges_in_contact.max(1) as f64;
        let even = MIN_DEMAND_PER_SEC.max(EVEN_DEMAND_PART * demand / edges);
        rate * (1.0 - UNSHARED_RATE_PART) * (allocation.demand + even) / (demand + even * edges)
    }
}

/// Units of one grant.
struct GrantedUnits {
    /// Taken from the bucket.
    added: f64,
    /// May be charged from now on, with what was granted before.
    usable: f64,
}

/// A ceiling with headroom above this share, in powers of two of the rate so that it seldom changes.
fn ceiling_for(share: f64, rate: f64) -> f64 {
    let part = (share * CEILING_HEADROOM / rate).max(MIN_CEILING_PART);
    (rate * part.log2().ceil().exp2()).min(rate)
}
