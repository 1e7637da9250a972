//! Admission by quota at one edge node.
//!
//! The quota leader grants each edge node units ahead of time; a request that finds one is admitted at once, others wait
//! for the next sync (module `sync`). While the leader can't be reached, a tenant's standing share counts instead
//! (module `standing_share`), until it lapses.
//!
//! Invariants: no more is admitted than was granted or, while disconnected, than the standing share allows; nothing that
//! an earlier leader said counts after a later leader has answered (the term is the fencing token). Time is passed in, in
//! seconds of a steady clock.

#[cfg(test)]
mod overshoot_tests;
mod standing_share;
mod sync;
mod tenant_account;

use crate::protocol::TenantLimit;
use standing_share::ShareContext;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use sync::PendingSync;
use tenant_account::TenantAccount;

/// Limits and times of the quotas, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaAdmissionConfig {
    /// Time between two regular syncs, in seconds.
    pub sync_interval_secs: f64,
    /// Without an answer for so long, in seconds, standing shares count instead of grants.
    pub sync_timeout_secs: f64,
    /// Standing shares lapse so long after the last answered sync, in seconds.
    pub share_lifetime_secs: f64,
    /// Part of a quota that may be admitted beyond it in every horizon, ...
    pub overshoot_ratio: f64,
    /// ...together with so many requests.
    pub overshoot_requests: f64,
    /// Length of the horizon, in seconds.
    pub horizon_secs: f64,
}

/// Whether a request may pass.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// It is admitted, and charged if its tenant has a quota.
    Admit,
    /// It waits for the answer to the sync [`QuotaAdmission::next_sync_id`].
    WaitForGrant,
    /// It is over the quota; the client may retry after so many seconds.
    Reject(f64),
}

/// How far a request is with the quota leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantState {
    /// It is new.
    NotRequested,
    /// The leader has answered the sync that it waited for.
    Answered,
    /// The answer did not come in time.
    TimedOut,
}

/// The quotas of all tenants at one edge node.
#[derive(Clone, Debug)]
pub struct QuotaAdmission {
    config: QuotaAdmissionConfig,
    node: Box<str>,
    tenants: BTreeMap<Arc<str>, TenantAccount>,
    /// When the last answered sync was sent.
    last_sync_at: f64,
    /// When the first answered sync was sent.
    first_sync_at: Option<f64>,
    /// The highest term of a leader that has answered.
    term: u64,
    next_regular_sync_at: f64,
    pending_sync: Option<PendingSync>,
    /// Tenants that the last sync reported.
    reported: Vec<Arc<str>>,
    /// Tenants that the next regular sync may have to report.
    tracked: BTreeSet<Arc<str>>,
    /// Tenants of requests that wait for a grant.
    waiting: BTreeSet<Arc<str>>,
    /// Whether the next sync is to report everything.
    needs_full_sync: bool,
    last_request_id: u64,
    /// Whether a request waits for a sync that is not sent yet.
    is_sync_wanted: bool,
    /// Number of edge nodes at most; 0: not known.
    edge_count: u32,
}

impl QuotaAdmission {
    /// The quotas at the edge node of this name. Until its first sync is answered, nothing that is limited is admitted.
    pub fn new(config: QuotaAdmissionConfig, node: &str) -> Self {
        QuotaAdmission {
            config,
            node: node.into(),
            tenants: BTreeMap::new(),
            last_sync_at: f64::NEG_INFINITY,
            first_sync_at: None,
            term: 0,
            next_regular_sync_at: 0.0,
            pending_sync: None,
            reported: Vec::new(),
            tracked: BTreeSet::new(),
            waiting: BTreeSet::new(),
            needs_full_sync: false,
            last_request_id: 0,
            is_sync_wanted: false,
            edge_count: 0,
        }
    }

    /// Sets the number of edge nodes; 0: not known.
    pub fn set_edge_count(&mut self, edge_count: u32) {
        self.edge_count = edge_count;
    }

    /// Replaces the limits and times.
    pub fn update_config(&mut self, config: QuotaAdmissionConfig) {
        self.config = config;
    }

    /// Whether the standing shares have lapsed, so that nothing that is limited is admitted.
    pub fn are_shares_lapsed(&self, now: f64) -> bool {
        now - self.last_sync_at > self.config.share_lifetime_secs
    }

    /// Whether the quota leader has not answered for so long that standing shares count.
    pub fn is_disconnected(&self, now: f64) -> bool {
        now - self.last_sync_at > self.config.sync_timeout_secs
    }

    /// The highest term in which a leader has answered.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Decides on a request of a tenant, and charges it if it is admitted. After [`AdmissionDecision::WaitForGrant`] the
    /// caller asks once more, with another [`GrantState`].
    pub fn admit(
        &mut self,
        now: f64,
        name: &Arc<str>,
        limit: &TenantLimit,
        grant: GrantState,
    ) -> AdmissionDecision {
        if limit.rate <= 0.0 {
            return AdmissionDecision::Admit;
        }
        let (is_disconnected, config) = (self.is_disconnected(now), self.config);
        let saved_at = self.first_sync_at.unwrap_or(now);
        let new_account = || TenantAccount::new(saved_at, standing_share::first_turn(&self.node, name));
        let account = self.tenants.entry(Arc::clone(name)).or_insert_with(new_account);
        if is_disconnected {
            // Unused grants expire here at once: the next leader need not wait until nobody can spend them. It learns of
            // this with the next sync.
            account.charge_limit = account.charge_limit.min(account.charged);
        }
        if grant == GrantState::NotRequested {
            account.record_demand(now);
        }
        account.track(name, &mut self.tracked);
        if account.charged < account.charge_limit {
            account.charged += 1;
            return AdmissionDecision::Admit;
        }
        if is_disconnected || grant == GrantState::TimedOut {
            let (last_sync_at, edge_count) = (self.last_sync_at, self.edge_count);
            return account.admit_by_share(now, &ShareContext { config, limit, last_sync_at, edge_count });
        }
        if now < account.exhausted_until {
            return AdmissionDecision::Reject(account.exhausted_until - now);
        }
        if grant == GrantState::Answered {
            return AdmissionDecision::Reject(config.sync_interval_secs);
        }
        self.is_sync_wanted = true;
        account.waiting += 1;
        self.waiting.insert(Arc::clone(name));
        AdmissionDecision::WaitForGrant
    }

    /// Refunds the unit of a request that was charged and has not run.
    pub fn refund(&mut self, name: &str) {
        if let Some(account) = self.tenants.get_mut(name) {
            account.charged -= 1;
            account.track(name, &mut self.tracked);
        }
    }

    /// A request that waited for a grant is decided, or its client has disconnected. To be called once for each
    /// [`AdmissionDecision::WaitForGrant`].
    pub fn grant_wait_ended(&mut self, name: &str) {
        if let Some(account) = self.tenants.get_mut(name) {
            account.waiting = account.waiting.saturating_sub(1);
            if account.waiting == 0 {
                self.waiting.remove(name);
            }
        }
    }
}
