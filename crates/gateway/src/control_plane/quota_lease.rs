//! The quota lease: a core node runs the quota counter exactly while it is the leader of the replicated log and holds a
//! valid leader lease.
//!
//! Invariant: grants are given only under a valid lease, and each response carries the leader's term as fencing token,
//! so that an edge node ignores a delayed response of an earlier leader.

use super::CoreContext;
use crate::consensus::Term;
use crate::control_plane::event_journal::JournalEvent;
use crate::control_plane::quota_counter::{
    EdgeIdentity, LimitLookup, PreviousLeaders, QuotaCounter, QuotaCounterConfig,
};
use crate::protocol::{
    standing_share_expiry_secs, ShareCeilings, TenantGrant, TenantUsage, QUOTA_CONTACT_TIMEOUT_SECS,
    QUOTA_SYNC_INTERVAL_SECS,
};
use crate::settings::Settings;

/// Shortest interval, in seconds, between two records of changed share ceilings.
const MIN_RECORD_INTERVAL_SECS: f64 = 0.3;

/// The first term of the log: no earlier leader can have granted anything.
const FIRST_TERM: Term = 1;

/// State of the share ceilings in the replicated log.
pub struct CeilingRecordStatus<'a> {
    /// The last record that was applied.
    pub last_applied_record: Option<&'a ShareCeilings>,
    /// Whether another record may be proposed: no proposed record is waiting to be committed.
    pub can_propose: bool,
}

/// The quota lease of this core node.
pub struct QuotaLease {
    config: QuotaCounterConfig,
    /// The counter; `Some` while this node holds the lease.
    counter: Option<QuotaCounter>,
    last_record_secs: f64,
    /// Whether the process is shutting down, so that the lease must not be acquired again.
    is_released: bool,
}

impl QuotaLease {
    /// Starts without holding the lease.
    pub fn new(settings: &Settings) -> Self {
        let config = QuotaCounterConfig {
            contact_timeout_secs: QUOTA_CONTACT_TIMEOUT_SECS,
            share_expiry_secs: standing_share_expiry_secs(settings.envelope.quota_horizon),
            sync_interval_secs: QUOTA_SYNC_INTERVAL_SECS,
        };
        QuotaLease { config, counter: None, last_record_secs: f64::NEG_INFINITY, is_released: false }
    }

    /// Accounts an edge node's usage and returns its grants. `leader_term` is the term in which this node holds the
    /// leader lease, or `None` if it holds none. `seen_term` is the highest term of a leader from which the edge node
    /// got a response. Returns `None` if this node does not hold the quota lease, or if there is a later leader.
    pub fn sync(
        &mut self,
        now: f64,
        leader_term: Option<Term>,
        edge: EdgeIdentity,
        seen_term: Term,
        usage: &[TenantUsage],
        limits: LimitLookup,
    ) -> Option<Vec<TenantGrant>> {
        let counter = self.counter.as_mut().filter(|c| leader_term == Some(c.term()))?;
        counter.sync(now, edge, seen_term, usage, limits)
    }

    /// Tells the counter that the log has committed this record. A record of another term is ignored.
    pub fn record_committed(&mut self, record: &ShareCeilings) {
        if let Some(counter) = self.counter.as_mut().filter(|c| c.term() == record.term) {
            counter.record_committed(record.sequence);
        }
    }

    /// Releases the lease for good, because the process is shutting down.
    pub fn release(&mut self) {
        (self.is_released, self.counter) = (true, None);
    }

    /// Periodic work: acquires or loses the quota lease together with the leader lease, and runs the counter's own
    /// periodic work. Returns a record of share ceilings that the caller has to propose now, if any is due.
    pub fn tick(
        &mut self,
        now: f64,
        leader_term: Option<Term>,
        record_status: CeilingRecordStatus,
        context: &mut CoreContext,
        limits: LimitLookup,
    ) -> Option<ShareCeilings> {
        let leader_term = leader_term.filter(|_| !self.is_released);
        if self.counter.as_ref().is_some_and(|c| leader_term != Some(c.term())) {
            tracing::warn!("lost quota lease");
            context.journal.append(now, JournalEvent::QuotaLease { is_held: false });
            self.counter = None;
        }
        let term = leader_term?;
        if self.counter.is_none() {
            tracing::info!(
                term,
                has_record = record_status.last_applied_record.is_some(),
                "acquired quota lease"
            );
            context.journal.append(now, JournalEvent::QuotaLease { is_held: true });
            self.counter = Some(self.start_counter(now, term, record_status.last_applied_record));
        }
        let counter = self.counter.as_mut()?;
        counter.tick(now, limits);
        let is_due = now - self.last_record_secs >= MIN_RECORD_INTERVAL_SECS;
        if !record_status.can_propose || !counter.has_unrecorded_changes() || !is_due {
            return None;
        }
        self.last_record_secs = now;
        Some(counter.next_record())
    }

    fn start_counter(
        &self,
        now: f64,
        term: Term,
        last_applied_record: Option<&ShareCeilings>,
    ) -> QuotaCounter {
        // A share rises only up to a ceiling in a committed record, so no record means no shares.
        let no_shares = ShareCeilings::default();
        let previous = match (term, last_applied_record) {
            (FIRST_TERM, None) => PreviousLeaders::None,
            (_, record) => PreviousLeaders::Recorded(record.unwrap_or(&no_shares)),
        };
        QuotaCounter::new(self.config, term, now, previous)
    }
}
