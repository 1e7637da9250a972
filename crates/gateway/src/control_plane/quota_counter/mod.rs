//! The quota counter, which the quota leader runs.
//!
//! For each tenant the counter keeps a token bucket, the units that each edge node was granted from the bucket, and
//! each edge node's standing share: the rate at which that node may admit requests while it can't reach a quota leader.
//!
//! Invariants:
//! - In any interval of t seconds all edge nodes together spend at most burst + rate x t units, plus the slack that
//!   docs/system.md names. For this, unused grants count against the bucket, and so does what edge nodes out of contact
//!   may spend by their standing shares.
//! - The standing shares of all incarnations of edge nodes, under all leaders, sum to at most the rate. A share rises
//!   only up to the ceiling that a majority of the core has stored ([`QuotaCounter::record_committed`]). A new leader
//!   keeps the shares that earlier leaders handed out reserved until the incarnation that holds them syncs, a newer
//!   incarnation supersedes it, or the shares expire.
//!
//! The counter does no I/O and reads no clock: callers pass the time, `now`, in seconds of a clock of their own.

mod allocation;
mod ceiling_record;
mod edge_account;
mod grant;
mod tenant_bucket;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod totals_tests;

use crate::protocol::{EdgeCeilings, ShareCeilings, TenantCeiling, TenantGrant, TenantLimit, TenantUsage};
#[cfg(test)]
use allocation::AllocationTotals;
use allocation::{from_fixed_point, Allocation};
use ceiling_record::RecordProgress;
use edge_account::EdgeAccount;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use tenant_bucket::{TenantAccount, TenantBucket};

/// Limit of a bucket while grants of an earlier leader may still be unused: the grants reported so far, and what the
/// rate yields in this many seconds.
const HANDOVER_BURST_SECS: f64 = 0.1;
/// Initial level of the buckets of a leader that is not the first. One unit admits a waiting request of a tenant that
/// is seldom used; more could exceed the quota, since the level of the earlier leader's bucket is unknown.
const SUCCESSOR_INITIAL_UNITS: f64 = 1.0;
/// Seconds without a tick after which a sync runs [`QuotaCounter::tick`] itself.
const TICK_INTERVAL_SECS: f64 = 0.05;

/// Looks up a tenant's limit by name; `None` if the tenant has no limit.
pub type LimitLookup<'a> = &'a dyn Fn(&str) -> Option<TenantLimit>;

/// The counter's timeouts, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaCounterConfig {
    /// Time without a sync after which an edge node is out of contact and spends its standing shares instead of grants.
    pub contact_timeout_secs: f64,
    /// Lifetime of an edge node's standing shares after its last sync.
    pub share_expiry_secs: f64,
    /// Approximate interval between two syncs of an edge node.
    pub sync_interval_secs: f64,
}

/// One incarnation of an edge node.
#[derive(Clone, Copy, Debug)]
pub struct EdgeIdentity<'a> {
    /// Name of the edge node.
    pub node: &'a str,
    /// Differs for every start of the edge node's process.
    pub incarnation: u64,
}

/// A tenant's index in the counter.
type TenantId = usize;

/// What is known of earlier quota leaders, whose grants and shares may still be spent. The grants are bounded by the
/// earlier leaders' own buckets.
#[derive(Clone, Copy, Debug)]
pub enum PreviousLeaders<'a> {
    /// No leader counted before: all buckets start full.
    None,
    /// The newest record of share ceilings that a majority of the core has stored. Buckets start with
    /// `SUCCESSOR_INITIAL_UNITS`.
    Recorded(&'a ShareCeilings),
    /// An earlier leader may have committed ceilings that are lost. Until all its shares have expired, the full rate
    /// counts as shared out, except for shares that edge nodes report. The quota lease never starts a counter in this
    /// way, because the log keeps the record; tests use it as the worst case.
    Unrecorded,
}

/// The quota counter of one term.
#[derive(Clone, Debug)]
pub struct QuotaCounter {
    config: QuotaCounterConfig,
    term: u64,
    started_secs: f64,
    last_tick_secs: f64,
    /// Whether no leader counted before this one.
    is_first_leader: bool,
    /// Whether the record lists every edge node that may hold a share of an earlier leader.
    has_complete_record: bool,
    tenant_ids: HashMap<Arc<str>, TenantId>,
    tenants: Vec<TenantAccount>,
    edges: BTreeMap<Arc<str>, EdgeAccount>,
    edges_in_contact: usize,
    record: RecordProgress,
}

impl QuotaCounter {
    /// Starts a counter for `term` at `now`.
    pub fn new(config: QuotaCounterConfig, term: u64, now: f64, previous: PreviousLeaders) -> Self {
        let mut counter = QuotaCounter {
            config,
            term,
            started_secs: now,
            last_tick_secs: now,
            is_first_leader: matches!(previous, PreviousLeaders::None),
            has_complete_record: !matches!(previous, PreviousLeaders::Unrecorded),
            tenant_ids: HashMap::new(),
            tenants: Vec::new(),
            edges: BTreeMap::new(),
            edges_in_contact: 0,
            record: RecordProgress::default(),
        };
        if let PreviousLeaders::Recorded(record) = previous {
            record.edges.iter().for_each(|edge| counter.reserve_recorded_shares(now, edge));
        }
        counter
    }

    /// Reserves the recorded ceilings of an edge node: each counts as a share that the edge node may be spending.
    fn reserve_recorded_shares(&mut self, now: f64, recorded: &EdgeCeilings) {
        let mut allocations = BTreeMap::new();
        for TenantCeiling { tenant, ceiling } in &recorded.ceilings {
            let ceiling = f64::from(*ceiling);
            let allocation = Allocation {
                standing_share: ceiling,
                ceiling,
                committed_ceiling: ceiling,
                ..Allocation::default()
            };
            let id = self.tenant_id(tenant);
            self.tenants[id].totals.add(&allocation, true);
            allocations.insert(id, allocation);
        }
        self.edges_in_contact += 1;
        let account = EdgeAccount::new(now, recorded.incarnation, allocations);
        self.edges.insert(recorded.node.as_str().into(), account);
    }

    /// Returns the id of the tenant of this name, and adds the tenant if it is unknown.
    fn tenant_id(&mut self, name: &str) -> TenantId {
        if let Some(id) = self.tenant_ids.get(name) {
            return *id;
        }
        let (name, id) = (Arc::<str>::from(name), self.tenants.len());
        self.tenant_ids.insert(Arc::clone(&name), id);
        self.tenants.push(TenantAccount::new(name));
        id
    }

    /// The term of the leader that runs this counter; sent with each response as fencing token.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Upper bound of the rate, in units per second, that incarnations which have not synced with this leader may be
    /// spending by shares of earlier leaders.
    fn unreported_share_rate(&self, now: f64, tenant: TenantId, rate: f64) -> f64 {
        if now - self.started_secs >= self.config.share_expiry_secs {
            return 0.0;
        }
        let account = &self.tenants[tenant];
        // All shares of earlier leaders sum to at most the rate, so incarnations that have not reported hold at most
        // the rest of the rate.
        let unreported = (rate - account.inherited.standing_shares).max(0.0);
        if !self.has_complete_record || account.is_record_incomplete {
            return unreported;
        }
        from_fixed_point(account.totals.unreported_ceilings).min(unreported)
    }

    /// Refills a tenant's bucket by its rate, less what unreported shares may be spending, and starts a new window once
    /// the current one is over.
    fn refill(&mut self, now: f64, tenant: TenantId, limit: &TenantLimit) {
        let unreported_rate = self.unreported_share_rate(now, tenant, limit.rate);
        let window = (now / limit.window_secs()).floor() as i64;
        let mut burst = limit.burst.max(1.0);
        let initial_level = match (self.is_first_leader, self.has_complete_record) {
            (true, _) => burst,
            (false, true) => SUCCESSOR_INITIAL_UNITS,
            (false, false) => 0.0,
        };
        let account = &mut self.tenants[tenant];
        if !self.is_first_leader && now - self.started_secs < self.config.contact_timeout_secs {
            // Up to a full burst of the earlier leader's grants may be unused and not reported yet, so only the
            // reported ones, and a little of the rate, may fill the bucket.
            burst = burst.min((account.inherited.grants + HANDOVER_BURST_SECS * limit.rate).max(1.0));
        }
        let last_refill_secs = self.started_secs;
        let bucket = account.bucket.get_or_insert(TenantBucket {
            window,
            window_total: 0.0,
            level: initial_level,
            last_refill_secs,
        });
        if bucket.window != window {
            (bucket.window, bucket.window_total) = (window, 0.0);
        }
        let capacity = (burst - account.totals.granted as f64).max(bucket.level);
        let rate = (limit.rate - unreported_rate).max(0.0);
        bucket.level = (bucket.level + rate * (now - bucket.last_refill_secs).max(0.0)).min(capacity);
        bucket.last_refill_secs = now;
    }

    /// Drops an edge node's allocations that come from an earlier leader's record and were not reported since: the
    /// edge node does not hold them any more.
    fn drop_unreported(&mut self, now: f64, node: &Arc<str>, limits: LimitLookup) {
        let Some(edge) = self.edges.get(node).filter(|e| e.unreported_count > 0) else { return };
        let unreported = edge.allocations.iter().filter(|(_, a)| !a.is_reported).map(|(tenant, _)| *tenant);
        for tenant in unreported.collect::<Vec<_>>() {
            if let Some(limit) = limits(&self.tenants[tenant].name).filter(|l| l.rate > 0.0) {
                self.refill(now, tenant, &limit);
            }
            let Some(edge) = self.edges.get_mut(node) else { return };
            if let Some(allocation) = edge.allocations.remove(&tenant) {
                self.tenants[tenant].totals.subtract(&allocation, edge.in_contact);
                self.record.changed.insert((Arc::clone(node), tenant));
            }
            edge.unreported_count -= 1;
        }
    }

    /// Removes an incarnation that has ended, or whose shares have expired. Its shares become available to others; its
    /// unused grants count as spent.
    fn remove_edge(&mut self, now: f64, node: &Arc<str>, limits: LimitLookup) {
        self.drop_unreported(now, node, limits);
        let Some(edge) = self.edges.remove(node) else { return };
        for (tenant, allocation) in &edge.allocations {
            self.tenants[*tenant].totals.subtract(allocation, edge.in_contact);
        }
        self.edges_in_contact -= usize::from(edge.in_contact);
        self.record.ended_edges.insert(Arc::clone(node));
    }

    fn set_in_contact(&mut self, node: &Arc<str>, in_contact: bool) {
        let Some(edge) = self.edges.get_mut(node).filter(|e| e.in_contact != in_contact) else { return };
        for (tenant, allocation) in &edge.allocations {
            let totals = &mut self.tenants[*tenant].totals;
            totals.subtract(allocation, edge.in_contact);
            totals.add(allocation, in_contact);
        }
        edge.in_contact = in_contact;
        self.edges_in_contact =
            if in_contact { self.edges_in_contact + 1 } else { self.edges_in_contact - 1 };
    }

    /// Periodic work, to be run several times per second. Reserves what edge nodes that stopped syncing may have spent
    /// by their shares since the last tick, and removes edge nodes whose shares have expired.
    pub fn tick(&mut self, now: f64, limits: LimitLookup) {
        self.last_tick_secs = now;
        let config = self.config;
        let overdue = self.edges.iter().filter(|(_, edge)| now > edge.may_spend_shares_from_secs(&config));
        let overdue: Vec<Arc<str>> = overdue.map(|(node, _)| Arc::clone(node)).collect();
        self.reserve_shares(now, &overdue, limits);
        for node in overdue {
            let Some(edge) = self.edges.get(&node) else { continue };
            let since_sync_secs = now - edge.last_sync_secs;
            if since_sync_secs > config.contact_timeout_secs {
                self.set_in_contact(&node, false);
            }
            if since_sync_secs >= config.share_expiry_secs + config.sync_interval_secs {
                self.remove_edge(now, &node, limits);
            }
        }
    }

    /// Takes from the buckets the units that these edge nodes may have spent by their shares since the previous
    /// reservation.
    fn reserve_shares(&mut self, now: f64, nodes: &[Arc<str>], limits: LimitLookup) {
        let mut reserved: BTreeMap<TenantId, f64> = BTreeMap::new();
        for node in nodes {
            let Some(edge) = self.edges.get_mut(node) else { continue };
            let from_secs = edge.reserved_until_secs.max(edge.may_spend_shares_from_secs(&self.config));
            let span_secs = now.min(edge.shares_expire_at_secs(&self.config)) - from_secs;
            if span_secs <= 0.0 {
                continue;
            }
            edge.reserved_until_secs = now;
            let held = edge.allocations.iter_mut().filter(|(_, a)| a.is_reported && a.standing_share > 0.0);
            for (tenant, allocation) in held {
                allocation.reserved_units += allocation.standing_share * span_secs;
                *reserved.entry(*tenant).or_default() += allocation.standing_share * span_secs;
            }
        }
        for (tenant, units) in reserved {
            let Some(limit) = limits(&self.tenants[tenant].name) else { continue };
            if self.tenants[tenant].bucket.is_none() {
                self.refill(now, tenant, &limit);
            }
            // The reservation precedes the refill: a full bucket would otherwise lose what the rate brought in the
            // same time.
            if let Some(bucket) = &mut self.tenants[tenant].bucket {
                bucket.level -= units;
            }
            self.refill(now, tenant, &limit);
        }
    }

    /// Handles a sync of an edge node: accounts the reported usage and returns the grants for those reported tenants
    /// that have a limit. `seen_term` is the highest term of a leader from which the edge node got a response. Returns
    /// `None` if that is a later leader; then this one must not respond with grants.
    pub fn sync(
        &mut self,
        now: f64,
        edge: EdgeIdentity,
        seen_term: u64,
        usage: &[TenantUsage],
        limits: LimitLookup,
    ) -> Option<Vec<TenantGrant>> {
        if seen_term > self.term {
            return None;
        }
        if now - self.last_tick_secs >= TICK_INTERVAL_SECS {
            self.tick(now, limits);
        }
        let node = self.register_contact(now, edge, seen_term, limits);
        let mut grants = Vec::with_capacity(usage.len());
        for reported in usage {
            let Some(limit) = limits(&reported.tenant).filter(|l| l.rate > 0.0) else { continue };
            let tenant = self.tenant_id(&reported.tenant);
            self.refill(now, tenant, &limit);
            grants.extend(self.account_usage(now, &node, tenant, reported, &limit));
        }
        Some(grants)
    }

    /// Opens or updates the account of an edge node that syncs, and removes an earlier incarnation of that node.
    /// Returns the node's name as the accounts share it.
    fn register_contact(
        &mut self,
        now: f64,
        edge: EdgeIdentity,
        seen_term: u64,
        limits: LimitLookup,
    ) -> Arc<str> {
        let EdgeIdentity { node, incarnation } = edge;
        let known = self.edges.get_key_value(node).map(|(name, _)| Arc::clone(name));
        let node: Arc<str> = known.unwrap_or_else(|| node.into());
        self.reserve_shares(now, std::slice::from_ref(&node), limits);
        if self.edges.get(&node).is_some_and(|e| e.incarnation != incarnation) {
            self.remove_edge(now, &node, limits);
        }
        if seen_term == self.term {
            // The edge node has received a response of this term, which voids all shares that this leader did not
            // grant again.
            self.drop_unreported(now, &node, limits);
        }
        if !self.edges.contains_key(&node) {
            self.edges.insert(Arc::clone(&node), EdgeAccount::new(now, incarnation, BTreeMap::new()));
            self.edges_in_contact += 1;
        }
        self.set_in_contact(&node, true);
        if let Some(edge) = self.edges.get_mut(&node) {
            (edge.last_sync_secs, edge.reserved_until_secs) = (now, now);
        }
        node
    }

    /// The incrementally updated totals, by tenant.
    #[cfg(test)]
    pub fn totals(&self) -> Vec<AllocationTotals> {
        self.tenants.iter().map(|t| t.totals).collect()
    }

    /// Totals by tenant, recomputed from all allocations.
    #[cfg(test)]
    pub fn recomputed_totals(&self) -> Vec<AllocationTotals> {
        let recompute = |id: TenantId| {
            let mut totals = AllocationTotals::default();
            for edge in self.edges.values() {
                edge.allocations.get(&id).into_iter().for_each(|a| totals.add(a, edge.in_contact));
            }
            totals
        };
        (0..self.tenants.len()).map(recompute).collect()
    }
}
