//! One tenant's part of a sync: accounts the usage that an edge node reports, then computes its grant and its standing
//! share.
//!
//! A grant is a fraction of the bucket, in proportion to the edge node's demand. A standing share has a fraction of the
//! rate, likewise by demand, as its target, and is bounded by what other edge nodes hold and by the committed ceiling.

use super::allocation::{from_fixed_point, Allocation};
use super::{QuotaCounter, TenantId};
use crate::protocol::{TenantGrant, TenantLimit, TenantUsage};
use std::sync::Arc;

/// Demand, in requests per second, that is added to that of every edge node, so that a tenant's first requests at a
/// node find units there.
const MIN_DEMAND_PER_SEC: f64 = 0.3;
/// Weight of the mean demand over the edge nodes in contact when the rate is split into standing shares. The mean evens
/// out that the demand at a single node varies by chance.
const MEAN_DEMAND_WEIGHT: f64 = 1.0;
/// Fraction of the rate that the target shares leave unallocated, so that one share can rise before others fall.
const UNALLOCATED_RATE_FRACTION: f64 = 0.05;
/// Number of sync intervals for which a grant covers an edge node's demand.
const GRANT_SYNC_INTERVALS: f64 = 4.0;
/// A ceiling is set to at least this multiple of the target share.
const CEILING_HEADROOM_FACTOR: f64 = 1.3;
/// A ceiling is lowered once it exceeds this multiple of the target share.
const MAX_CEILING_RATIO: f64 = 4.0;
/// Smallest ceiling, as a fraction of the rate.
const MIN_CEILING_FRACTION: f64 = 1e-4;

impl QuotaCounter {
    /// Accounts one edge node's usage of one tenant, and computes what the edge node may charge from now on. The caller
    /// has refilled the tenant's bucket.
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
                edge.unreported_count -= usize::from(!known.is_reported);
                self.tenants[tenant].totals.subtract(&known, edge.in_contact);
                known
            }
            None => Allocation::default(),
        };
        // From here on the totals cover all other edge nodes only.
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

    /// Updates the bucket and the allocation by the charged units, the unused grant and the share that an edge node
    /// reports.
    fn apply_usage(&mut self, tenant: TenantId, allocation: &mut Allocation, usage: &TenantUsage) {
        let account = &mut self.tenants[tenant];
        let Some(bucket) = &mut account.bucket else { return };
        let (share, unused) = (f64::from(usage.standing_share.max(0.0)), i64::from(usage.unused_grant));
        if allocation.is_reported {
            let charged = usage.charged - allocation.charged;
            bucket.window_total += charged.max(0) as f64;
            // Granted units that were neither charged nor are still held return to the bucket. Units charged beyond
            // the grant were charged to the standing share. Part of these is reserved already; the rest comes from
            // share that the edge node had saved up. The quota's slack covers that rest, so it must not drive the
            // bucket below zero.
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

    /// Computes what an edge node may charge from now on, and its standing share. The totals don't include
    /// `allocation`.
    fn compute_grant(
        &mut self,
        now: f64,
        tenant: TenantId,
        allocation: &mut Allocation,
        usage: &TenantUsage,
        limit: &TenantLimit,
    ) -> Option<TenantGrant> {
        let unreported_rate = self.unreported_share_rate(now, tenant, limit.rate);
        let other_demand = from_fixed_point(self.tenants[tenant].totals.demand);
        let grant = self.grant_units(tenant, allocation, usage, other_demand)?;
        let target = self.target_share(allocation, other_demand, limit.rate);
        if target > allocation.ceiling || target < allocation.ceiling / MAX_CEILING_RATIO {
            allocation.ceiling = ceiling_for(target, limit.rate).max(allocation.standing_share);
            allocation.committed_ceiling = allocation.committed_ceiling.min(allocation.ceiling);
        }
        let account = &self.tenants[tenant];
        let other_shares = from_fixed_point(account.totals.standing_shares);
        let free = (limit.rate - unreported_rate - other_shares).max(0.0);
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

    /// Takes the next grant of an edge node from the bucket.
    fn grant_units(
        &mut self,
        tenant: TenantId,
        allocation: &mut Allocation,
        usage: &TenantUsage,
        other_demand: f64,
    ) -> Option<GrantedUnits> {
        let bucket = self.tenants[tenant].bucket.as_mut()?;
        // The fair fraction is in proportion to demand, and leaves some units for other edge nodes.
        let other_edges_demand = MIN_DEMAND_PER_SEC * self.edges_in_contact.saturating_sub(1) as f64;
        let weight = allocation.demand + MIN_DEMAND_PER_SEC;
        let fair_fraction = weight / (weight + other_demand + other_edges_demand);
        let (unused, waiting) = (allocation.granted as f64, f64::from(usage.waiting));
        let needed =
            (allocation.demand * self.config.sync_interval_secs * GRANT_SYNC_INTERVALS).floor().max(waiting);
        // Waiting requests have priority: no units are held back for requests that may arrive.
        let for_waiting = (waiting - unused).min(bucket.level);
        let added = (bucket.level * fair_fraction).min(needed - unused).max(for_waiting);
        let added = added.floor().max(0.0);
        bucket.level -= added;
        let usable = if added > 0.0 { unused + added } else { unused.min(needed) };
        // The edge node charges waiting requests as soon as it receives the response.
        allocation.granted_to_waiting = added.min(waiting) as i64;
        // Units that the edge node has to return count as granted until it reports that it no longer holds them.
        allocation.granted = allocation.granted.max(usable as i64 - allocation.granted_to_waiting);
        Some(GrantedUnits { added, usable })
    }

    /// The standing share, in units per second, that corresponds to an edge node's demand.
    fn target_share(&self, allocation: &Allocation, other_demand: f64, rate: f64) -> f64 {
        let demand = allocation.demand + other_demand;
        let edges = self.edges_in_contact.max(1) as f64;
        let even = MIN_DEMAND_PER_SEC.max(MEAN_DEMAND_WEIGHT * demand / edges);
        rate * (1.0 - UNALLOCATED_RATE_FRACTION) * (allocation.demand + even) / (demand + even * edges)
    }
}

/// Units of one grant.
struct GrantedUnits {
    /// Units taken from the bucket.
    added: f64,
    /// Units that may be charged from now on, including earlier grants.
    usable: f64,
}

/// Returns a ceiling with headroom above `share`. Ceilings are the rate divided by powers of two, so that they seldom
/// change and few records are needed.
fn ceiling_for(share: f64, rate: f64) -> f64 {
    let fraction = (share * CEILING_HEADROOM_FACTOR / rate).max(MIN_CEILING_FRACTION);
    (rate * fraction.log2().ceil().exp2()).min(rate)
}
