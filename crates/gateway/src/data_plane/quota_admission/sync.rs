//! Syncs with the quota leader: each sync reports usage, and the answer carries grants and standing shares.
//!
//! At most one sync is in flight at a time. Regular syncs report every tenant with changed usage; on-demand syncs report
//! only tenants with a waiting request.

use super::tenant_account::{ReportedUsage, TenantAccount};
use super::QuotaAdmission;
use crate::protocol::{TenantGrant, TenantUsage};
use std::sync::Arc;

/// Longest time until the next sync after the leader was lost, in seconds.
const RETRY_DELAY_SECS: f64 = 0.1;

/// A sync that the quota leader has not answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingSync {
    sync_id: u64,
    sent_at: f64,
}

impl QuotaAdmission {
    /// Id of the sync whose answer decides on a request that starts to wait now.
    pub fn next_sync_id(&self) -> u64 {
        self.last_sync_id + 1
    }

    /// Makes the next sync report everything, because another node leads the quota counter.
    pub fn resync_all(&mut self) {
        self.needs_full_sync = true;
    }

    /// When the next sync is due, in seconds of the clock that is passed in.
    pub fn next_sync_at(&self, now: f64) -> f64 {
        match self.pending_sync {
            Some(PendingSync { sent_at, .. }) if now - sent_at < self.config.sync_timeout_secs => {
                sent_at + self.config.sync_timeout_secs
            }
            _ if self.is_sync_wanted => now,
            _ => self.next_regular_sync_at,
        }
    }

    /// Begins a sync if one is due. Returns the id of the sync, which the answer must carry, and the usage to report.
    pub fn begin_sync(&mut self, now: f64) -> Option<(u64, Vec<TenantUsage>)> {
        let timeout_secs = self.config.sync_timeout_secs;
        let is_pending = self.pending_sync.is_some_and(|p| now - p.sent_at < timeout_secs);
        // An on-demand sync that is sent shortly before the regular one is due replaces the regular one.
        let early_secs = if self.is_sync_wanted { self.config.sync_interval_secs / 2.0 } else { 0.0 };
        let is_regular_due = now >= self.next_regular_sync_at - early_secs;
        if is_pending || !(self.is_sync_wanted || is_regular_due) {
            return None;
        }
        let is_disconnected = self.is_disconnected(now);
        // After a timeout, another node may be the leader.
        let is_full = self.needs_full_sync || is_disconnected;
        (self.is_sync_wanted, self.needs_full_sync) = (false, false);
        if is_full {
            self.reset_reports(now, is_disconnected);
        }
        let mut names = std::mem::take(&mut self.reported);
        names.clear();
        if is_regular_due || is_full {
            self.next_regular_sync_at = now + self.config.sync_interval_secs;
            names.extend(self.tracked.iter().cloned());
        } else {
            names.extend(self.waiting.iter().cloned());
        }
        self.last_sync_id += 1;
        self.pending_sync = Some(PendingSync { sync_id: self.last_sync_id, sent_at: now });
        let mut usage = Vec::new();
        names.retain(|name| match self.report_usage(now, name) {
            Some(tenant_usage) => {
                usage.push(tenant_usage);
                true
            }
            None => false,
        });
        self.reported = names;
        Some((self.last_sync_id, usage))
    }

    /// Returns the usage of a tenant if it must be reported, and records it as unacknowledged. Stops tracking an idle tenant.
    fn report_usage(&mut self, now: f64, name: &Arc<str>) -> Option<TenantUsage> {
        let account = self.tenants.get_mut(name)?;
        let demand = account.reported_demand(now);
        if !account.needs_report(now, demand) {
            if account.is_idle(demand) {
                account.is_tracked = false;
                self.tracked.remove(name);
            }
            return None;
        }
        let TenantAccount { charged, waiting, .. } = *account;
        account.must_report = false;
        account.unacknowledged = Some(ReportedUsage { at: now, charged, waiting, demand });
        Some(TenantUsage {
            tenant: name.to_string(),
            charged,
            demand: demand as f32,
            standing_share: account.standing_share as f32,
            unused_grant: account.unused_grant(),
            waiting,
        })
    }

    /// Discards the record of reported usage, so that the usage is reported again. If this node is disconnected, also voids
    /// unused grants and expired standing shares.
    fn reset_reports(&mut self, now: f64, is_disconnected: bool) {
        let are_shares_expired = self.are_shares_expired(now);
        for (name, account) in &mut self.tenants {
            if is_disconnected && account.charge_limit > account.charged {
                (account.charge_limit, account.must_report) = (account.charged, true);
            }
            if are_shares_expired {
                account.standing_share = 0.0;
            }
            account.must_report |= account.unacknowledged.is_some()
                || account.acknowledged.is_some_and(|last| last.charged != account.charged);
            (account.acknowledged, account.unacknowledged) = (None, None);
            if account.needs_report(now, account.reported_demand(now)) {
                account.track(name, &mut self.tracked);
            }
        }
    }

    /// Applies the answer of the quota leader of this term. Returns false, and changes nothing, if the answer is not to the
    /// pending sync, or if a leader of a later term has answered before.
    pub fn on_grants(&mut self, now: f64, sync_id: u64, term: u64, grants: &[TenantGrant]) -> bool {
        if term < self.term {
            return false;
        }
        let Some(PendingSync { sent_at, .. }) = self.pending_sync.filter(|p| p.sync_id == sync_id) else {
            return false;
        };
        (self.pending_sync, self.last_sync_at) = (None, sent_at);
        self.first_sync_at.get_or_insert(sent_at);
        if term > self.term {
            self.begin_term(term);
        }
        for grant in grants {
            self.apply_grant(now, grant);
        }
        // The reports that remain unanswered are of tenants whose limits the leader does not know.
        for name in &self.reported {
            if let Some(account) = self.tenants.get_mut(name).filter(|a| a.unacknowledged.is_some()) {
                (account.acknowledged, account.unacknowledged) = (None, None);
            }
        }
        true
    }

    /// Voids grants and shares of earlier leaders, because the leader of a new term has answered. That leader knows only the
    /// usage that this sync reported.
    fn begin_term(&mut self, term: u64) {
        self.term = term;
        for account in self.tenants.values_mut() {
            account.charge_limit = account.charge_limit.min(account.charged);
            (account.standing_share, account.acknowledged) = (0.0, None);
        }
    }

    fn apply_grant(&mut self, now: f64, grant: &TenantGrant) {
        let Some(account) = self.tenants.get_mut(grant.tenant.as_str()) else { return };
        account.acknowledged = account.unacknowledged.take();
        // The leader can grant withdrawn units to other nodes only once this node reports that they are not charged.
        let is_withdrawn = grant.charge_limit < account.charge_limit;
        if is_withdrawn {
            account.track(&grant.tenant, &mut self.tracked);
        }
        account.charge_limit = grant.charge_limit;
        account.standing_share = f64::from(grant.standing_share.max(0.0));
        account.must_report |= is_withdrawn;
        account.exhausted_until = match grant.retry_after_ms {
            0 => 0.0,
            retry_after_ms => now + f64::from(retry_after_ms) / 1e3,
        };
    }

    /// Abandons the pending sync, because its receiver does not lead the quota counter or the link to it is lost. The next
    /// sync follows within `RETRY_DELAY_SECS`.
    pub fn on_leader_lost(&mut self, now: f64) {
        if self.pending_sync.take().is_some() {
            self.next_regular_sync_at = self.next_regular_sync_at.min(now + RETRY_DELAY_SECS);
        }
    }
}
