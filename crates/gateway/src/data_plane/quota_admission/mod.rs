//! Admission by quota at one edge node.
//!
//! The quota leader grants quota units to each edge node ahead of requests. A request is admitted at once if a granted unit
//! is unused; other requests wait for the answer to the next sync (module `sync`). While the leader is unreachable, a
//! tenant's standing share applies instead (module `standing_share`) until it expires.
//!
//! Invariants: no more requests are admitted than were granted or, while disconnected, than the standing shares allow.
//! Grants and shares of an earlier leader are void once a later leader has answered; the term is the fencing token. The
//! caller passes the time, in seconds of a monotonic clock.

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

/// Parameters of quota admission, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaAdmissionConfig {
    /// Time between two regular syncs, in seconds.
    pub sync_interval_secs: f64,
    /// Time without an answer from the quota leader, in seconds, after which standing shares apply instead of grants.
    pub sync_timeout_secs: f64,
    /// Time after the last answered sync, in seconds, after which standing shares expire.
    pub share_lifetime_secs: f64,
    /// Fraction of a quota that may be admitted beyond the quota in every horizon, in addition to `overshoot_requests`.
    pub overshoot_ratio: f64,
    /// Number of requests that may be admitted beyond a quota in every horizon, in addition to `overshoot_ratio`.
    pub overshoot_requests: f64,
    /// Length of the horizon over which the overshoot is bounded, in seconds.
    pub horizon_secs: f64,
}

/// Decision on the admission of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// The request is admitted, and charged if its tenant has a quota.
    Admit,
    /// The request must wait for the answer to the sync [`QuotaAdmission::next_sync_id`].
    WaitForGrant,
    /// The request is over the quota; the client may retry after this many seconds.
    Reject(f64),
}

/// Progress of a request's wait for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantState {
    /// The request is new and has not waited.
    NotRequested,
    /// The quota leader has answered the sync for which the request waited.
    Answered,
    /// The quota leader did not answer in time.
    TimedOut,
}

/// Quota accounts of all tenants at one edge node.
#[derive(Clone, Debug)]
pub struct QuotaAdmission {
    config: QuotaAdmissionConfig,
    node: Box<str>,
    tenants: BTreeMap<Arc<str>, TenantAccount>,
    /// When the last answered sync was sent, in seconds of the clock that is passed in.
    last_sync_at: f64,
    /// When the first answered sync was sent, in seconds of the clock that is passed in.
    first_sync_at: Option<f64>,
    /// The highest term in which a leader has answered.
    term: u64,
    next_regular_sync_at: f64,
    pending_sync: Option<PendingSync>,
    /// Tenants that the last sync reported.
    reported: Vec<Arc<str>>,
    /// Tenants that the next regular sync may have to report.
    tracked: BTreeSet<Arc<str>>,
    /// Tenants with requests that wait for a grant.
    waiting: BTreeSet<Arc<str>>,
    /// Whether the next sync must report the usage of every tracked tenant.
    needs_full_sync: bool,
    /// Id of the last sync that was sent; 0 if none was.
    last_sync_id: u64,
    /// Whether a request waits for a sync that has not been sent.
    is_sync_wanted: bool,
    /// Upper bound on the number of edge nodes; 0 if unknown.
    edge_count: u32,
}

impl QuotaAdmission {
    /// Creates the quota accounts of the edge node with this name. Until the first sync is answered, no request of a tenant
    /// with a quota is admitted.
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
            last_sync_id: 0,
            is_sync_wanted: false,
            edge_count: 0,
        }
    }

    /// Sets the number of edge nodes; 0 if unknown.
    pub fn set_edge_count(&mut self, edge_count: u32) {
        self.edge_count = edge_count;
    }

    /// Replaces the parameters.
    pub fn update_config(&mut self, config: QuotaAdmissionConfig) {
        self.config = config;
    }

    /// Whether the standing shares have expired, so that no request of a tenant with a quota is admitted.
    pub fn are_shares_expired(&self, now: f64) -> bool {
        now - self.last_sync_at > self.config.share_lifetime_secs
    }

    /// Whether standing shares apply because the quota leader has not answered within the sync timeout.
    pub fn is_disconnected(&self, now: f64) -> bool {
        now - self.last_sync_at > self.config.sync_timeout_secs
    }

    /// The highest term in which a leader has answered.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Decides on a request of a tenant, and charges a unit if the request is admitted. After
    /// [`AdmissionDecision::WaitForGrant`], the caller calls this once more with another [`GrantState`].
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
        let tokens_updated_at = self.first_sync_at.unwrap_or(now);
        let new_account =
            || TenantAccount::new(tokens_updated_at, standing_share::initial_slot_position(&self.node, name));
        let account = self.tenants.entry(Arc::clone(name)).or_insert_with(new_account);
        if is_disconnected {
            // Unused grants expire as soon as this node is disconnected, so that the next leader need not wait until no
            // node can spend them. The next sync reports the expiry to that leader.
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

    /// Refunds the unit that was charged for a request which has not run.
    pub fn refund(&mut self, name: &str) {
        if let Some(account) = self.tenants.get_mut(name) {
            account.charged -= 1;
            account.track(name, &mut self.tracked);
        }
    }

    /// Records that a request no longer waits for a grant: it is decided, or its client has disconnected. Must be called
    /// exactly once for each [`AdmissionDecision::WaitForGrant`].
    pub fn grant_wait_ended(&mut self, name: &str) {
        if let Some(account) = self.tenants.get_mut(name) {
            account.waiting = account.waiting.saturating_sub(1);
            if account.waiting == 0 {
                self.waiting.remove(name);
            }
        }
    }
}
