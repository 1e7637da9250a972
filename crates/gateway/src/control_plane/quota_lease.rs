//! The quota lease of this core node: while it leads the replicated log and its leader lease stands, it runs the quota
//! counter.
//!
//! Invariant: a sync is answered only under a valid lease, and each answer carries the term (fencing token), so that an
//! edge node ignores a delayed answer of an earlier leader.

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

/// Changed share ceilings are recorded this often at most: seconds.
const MIN_RECORD_INTERVAL_SECS: f64 = 0.3;

/// No node led the core before this term, so none granted anything.
const FIRST_TERM: Term = 1;

/// What the replicated log says of share ceilings at a moment.
pub struct CeilingLog<'a> {
    /// The last record that is applied.
    pub last_record: Option<&'a ShareCeilings>,
    /// Whether another may be proposed now: none is on its way.
    pub can_record: bool,
}

/// The quota lease of this core node.
pub struct QuotaLease {
    config: QuotaCounterConfig,
    /// Runs while the lease is held.
    counter: Option<QuotaCounter>,
    recorded_secs: f64,
    /// Whether the process shuts down; then the lease is not acquired again.
    is_released: bool,
}

impl QuotaLease {
    /// Starts without the lease.
    pub fn new(settings: &Settings) -> Self {
        let config = QuotaCounterConfig {
            contact_timeout_secs: QUOTA_CONTACT_TIMEOUT_SECS,
            share_expiry_secs: standing_share_expiry_secs(settings.envelope.quota_horizon),
            sync_interval_secs: QUOTA_SYNC_INTERVAL_SECS,
        };
        QuotaLease { config, counter: None, recorded_secs: f64::NEG_INFINITY, is_released: false }
    }

    /// Counts an edge node's usage and returns its grants. `leader_term` is the term in which this node holds the
    /// leader lease, if it does; `seen_term` the highest term of a leader that answered the edge node. `None`: this
    /// node does not hold the quota lease, or there is a later leader.
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

    /// A majority of the core has stored this record.
    pub fn record_committed(&mut self, record: &ShareCeilings) {
        if let Some(counter) = self.counter.as_mut().filter(|c| c.term() == record.term) {
            counter.record_committed(record.sequence);
        }
    }

    /// Gives up the lease for good: this process shuts down.
    pub fn release(&mut self) {
        (self.is_released, self.counter) = (true, None);
    }

    /// Periodic work: acquires and loses the quota lease with the leader lease, and runs the counter's own periodic
    /// work. Returns share ceilings that are to be recorded now.
    pub fn tick(
        &mut self,
        now: f64,
        leader_term: Option<Term>,
        log: CeilingLog,
        shared: &mut CoreContext,
        limits: LimitLookup,
    ) -> Option<ShareCeilings> {
        let leader_term = leader_term.filter(|_| !self.is_released);
        if self.counter.as_ref().is_some_and(|c| leader_term != Some(c.term())) {
            tracing::warn!("lost quota lease");
            shared.journal.append(now, JournalEvent::QuotaLease { is_held: false });
            self.counter = None;
        }
        let term = leader_term?;
        if self.counter.is_none() {
            tracing::info!(term, has_record = log.last_record.is_some(), "acquired quota lease");
            shared.journal.append(now, JournalEvent::QuotaLease { is_held: true });
            self.counter = Some(self.start_counter(now, term, log.last_record));
        }
        let counter = self.counter.as_mut()?;
        counter.tick(now, limits);
        let is_due = now - self.recorded_secs >= MIN_RECORD_INTERVAL_SECS;
        if !log.can_record || !counter.has_unrecorded_changes() || !is_due {
            return None;
        }
        self.recorded_secs = now;
        Some(counter.next_record())
    }

    fn start_counter(&self, now: f64, term: Term, last_record: Option<&ShareCeilings>) -> QuotaCounter {
        // Shares rise only by committed records, so where the log has none there are no shares.
        let no_shares = ShareCeilings::default();
        let previous = match (term, last_record) {
            (FIRST_TERM, None) => PreviousLeaders::None,
            (_, record) => PreviousLeaders::Recorded(record.unwrap_or(&no_shares)),
        };
        QuotaCounter::new(self.config, term, now, previous)
    }
}
