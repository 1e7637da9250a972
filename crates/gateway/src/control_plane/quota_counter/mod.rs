//! The quota counter of the quota leader: by tenant a token bucket, what each edge node was granted from it, and the
//! standing share that each may spend while no leader can be reached.
//!
//! Invariants:
//! - Over any span of t seconds no more than burst + rate x t units are spent (with the slack that docs/system.md
//!   names): unused grants, and what edge nodes out of contact may spend by their shares, count against the bucket.
//! - The shares of all incarnations of edge nodes sum to the rate at most, over all leaders. A share rises only up to
//!   the ceiling that a majority of the core has stored ([`QuotaCounter::record_committed`]); a new leader reserves
//!   what earlier leaders gave until the incarnation that holds it syncs, is superseded by another, or its shares
//!   expire.
//!
//! Pure: the caller passes the time, `now`, in seconds of its own clock.

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

/// While an earlier leader's grants may be unused, the bucket holds at most the rate of this many seconds beside the
/// grants that were reported.
const EARLY_BUCKET_SECS: f64 = 0.1;
/// A later leader's buckets start with this many units: a waiting request is admitted if its tenant is seldom used.
const LATER_LEADER_UNITS: f64 = 1.0;
/// A sync runs [`QuotaCounter::tick`] if it was not run for this long: seconds.
const TICK_INTERVAL_SECS: f64 = 0.05;

/// Looks up a tenant's limit by name; `None`: it has none.
pub type LimitLookup<'a> = &'a dyn Fn(&str) -> Option<TenantLimit>;

/// The counter's timeouts, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaCounterConfig {
    /// An edge node that has not synced for this long is out of contact: it spends its standing shares, and no grants.
    pub contact_timeout_secs: f64,
    /// Standing shares expire this long after the last sync.
    pub share_expiry_secs: f64,
    /// Edge nodes sync about this often.
    pub sync_interval_secs: f64,
}

/// One incarnation of an edge node.
#[derive(Clone, Copy, Debug)]
pub struct EdgeIdentity<'a> {
    /// Its name.
    pub node: &'a str,
    /// Differs for every start of its process.
    pub incarnation: u64,
}

/// A tenant's index in the counter.
type TenantId = usize;

/// What is known of earlier quota leaders. What they granted is bounded by their own buckets and may still be spent.
#[derive(Clone, Copy, Debug)]
pub enum PreviousLeaders<'a> {
    /// There was none: all buckets start full.
    None,
    /// There was one, and this is its newest record that a majority of the core has stored. Buckets start with one
    /// unit.
    Recorded(&'a ShareCeilings),
    /// There was one whose record may be lost: until all its shares have expired, only what edge nodes report is
    /// granted. The quota lease never starts a counter so, as the log keeps the record; tests use it as the worst case.
    Unrecorded,
}

/// The quota counter of one term.
#[derive(Clone, Debug)]
pub struct QuotaCounter {
    config: QuotaCounterConfig,
    term: u64,
    started_secs: f64,
    ticked_secs: f64,
    /// Whether no leader counted before.
    is_first: bool,
    /// Whether the record lists every edge node that may hold a share of an earlier leader.
    has_complete_record: bool,
    tenant_ids: HashMap<Arc<str>, TenantId>,
    tenants: Vec<TenantAccount>,
    edges: BTreeMap<Arc<str>, EdgeAccount>,
    edges_in_contact: usize,
    record: RecordProgress,
}

impl QuotaCounter {
    /// Starts counting at `now` in this term.
    pub fn new(config: QuotaCounterConfig, term: u64, now: f64, previous: PreviousLeaders) -> Self {
        let mut counter = QuotaCounter {
            config,
            term,
            started_secs: now,
            ticked_secs: now,
            is_first: matches!(previous, PreviousLeaders::None),
            has_complete_record: !matches!(previous, PreviousLeaders::Unrecorded),
            tenant_ids: HashMap::new(),
            tenants: Vec::new(),
            edges: BTreeMap::new(),
            edges_in_contact: 0,
            record: RecordProgress::default(),
        };
        if let PreviousLeaders::Recorded(record) = previous {
            record.edges.iter().for_each(|edge| counter.reserve_recorded(now, edge));
        }
        counter
    }

    /// Counts an edge node's recorded ceilings as shares that it may be spending.
    fn reserve_recorded(&mut self, now: f64, recorded: &EdgeCeilings) {
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

    /// The id of the tenant of this name; a new one if it is unknown.
    fn tenant_id(&mut self, name: &str) -> TenantId {
        if let Some(id) = self.tenant_ids.get(name) {
            return *id;
        }
        let (name, id) = (Arc::<str>::from(name), self.tenants.len());
        self.tenant_ids.insert(Arc::clone(&name), id);
        self.tenants.push(TenantAccount::new(name));
        id
    }

    /// The term that this counter counts in (fencing token).
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Units a second that unknown holders may spend: incarnations with shares of earlier leaders that have not synced
    /// with this one.
    fn unknown_share_rate(&self, now: f64, tenant: TenantId, rate: f64) -> f64 {
        if now - self.started_secs >= self.config.share_expiry_secs {
            return 0.0;
        }
        let account = &self.tenants[tenant];
        // All shares of earlier leaders sum to the rate at most, so others hold no more than what was not reported.
        let unreported = (rate - account.inherited.standing_shares).max(0.0);
        if !self.has_complete_record || account.is_record_incomplete {
            return unreported;
        }
        from_fixed_point(account.totals.unreported_ceilings).min(unreported)
    }

    /// Refills a tenant's bucket by its rate, less what unknown holders may spend, and starts a new window if it is
    /// due.
    fn refill(&mut self, now: f64, tenant: TenantId, limit: &TenantLimit) {
        let unknown_share = self.unknown_share_rate(now, tenant, limit.rate);
        let window = (now / limit.window_secs()).floor() as i64;
        let mut burst = limit.burst.max(1.0);
        let initial_level = match (self.is_first, self.has_complete_record) {
            (true, _) => burst,
            (false, true) => LATER_LEADER_UNITS,
            (false, false) => 0.0,
        };
        let account = &mut self.tenants[tenant];
        if !self.is_first && now - self.started_secs < self.config.contact_timeout_secs {
            // Grants of the earlier leader may be unused: as many as the burst, less those that were reported.
            burst = burst.min((account.inherited.grants + EARLY_BUCKET_SECS * limit.rate).max(1.0));
        }
        let refilled_secs = self.started_secs;
        let bucket = account.bucket.get_or_insert(TenantBucket {
            window,
            window_total: 0.0,
            level: initial_level,
            refilled_secs,
        });
        if bucket.window != window {
            (bucket.window, bucket.window_total) = (window, 0.0);
        }
        let capacity = (burst - account.totals.granted as f64).max(bucket.level);
        let rate = (limit.rate - unknown_share).max(0.0);
        bucket.level = (bucket.level + rate * (now - bucket.refilled_secs).max(0.0)).min(capacity);
        bucket.refilled_secs = now;
    }

    /// Drops an edge node's allocations that come from the record: it does not hold them any more.
    fn drop_unreported(&mut self, now: f64, node: &Arc<str>, limits: LimitLookup) {
        let Some(edge) = self.edges.get(node).filter(|e| e.unreported > 0) else { return };
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
            edge.unreported -= 1;
        }
    }

    /// An incarnation has ended, or its shares have expired. Its shares are free; what it was granted counts as spent.
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

    /// Periodic work, several times a second: reserves what silent edge nodes may have spent since the last time, and
    /// removes those whose shares have expired.
    pub fn tick(&mut self, now: f64, limits: LimitLookup) {
        self.ticked_secs = now;
        let config = self.config;
        let silent = self.edges.iter().filter(|(_, edge)| now > edge.spends_shares_from_secs(&config));
        let silent: Vec<Arc<str>> = silent.map(|(node, _)| Arc::clone(node)).collect();
        self.reserve_shares(now, &silent, limits);
        for node in silent {
            let Some(edge) = self.edges.get(&node) else { continue };
            let silence_secs = now - edge.last_sync_secs;
            if silence_secs > config.contact_timeout_secs {
                self.set_in_contact(&node, false);
            }
            if silence_secs >= config.share_expiry_secs + config.sync_interval_secs {
                self.remove_edge(now, &node, limits);
            }
        }
    }

    /// Takes from the buckets what these edge nodes may have spent by their shares since it was last reserved.
    fn reserve_shares(&mut self, now: f64, nodes: &[Arc<str>], limits: LimitLookup) {
        let mut reserved: BTreeMap<TenantId, f64> = BTreeMap::new();
        for node in nodes {
            let Some(edge) = self.edges.get_mut(node) else { continue };
            let from_secs = edge.reserved_until_secs.max(edge.spends_shares_from_secs(&self.config));
            let span_secs = now.min(edge.shares_expire_secs(&self.config)) - from_secs;
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
            // Before the refill, so that a full bucket does not lose what the rate brought in the same time.
            if let Some(bucket) = &mut self.tenants[tenant].bucket {
                bucket.level -= units;
            }
            self.refill(now, tenant, &limit);
        }
    }

    /// An edge node reports its usage and `seen_term`, the highest term of a leader that answered it. Returns its
    /// grants for the tenants that it reported and that have a limit; `None`: there is a later leader, and this one
    /// must not answer.
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
        if now - self.ticked_secs >= TICK_INTERVAL_SECS {
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

    /// Brings an edge node's account up to date as it syncs; an earlier incarnation of it ends. Returns its shared
    /// name.
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
            // It has had an answer of this term: what it held before and was not given again is void.
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

    /// The totals as they are kept, by tenant.
    #[cfg(test)]
    pub fn totals(&self) -> Vec<AllocationTotals> {
        self.tenants.iter().map(|t| t.totals).collect()
    }

    /// The same totals, summed anew over all allocations.
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
