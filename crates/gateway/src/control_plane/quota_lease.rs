//! Owns the counter's post on this machine: whoever leads the log, for as long as its lease stands, counts. The term is
//! told with each answer, so that a late word of an earlier holder is known. It must never answer a gatekeeper as
//! holder without the lease.

use super::CoreContext;
use crate::consensus::Term;
use crate::control_plane::event_journal::JournalEvent;
use crate::control_plane::quota_counter::{PreviousLeaders, QuotaCounter, QuotaCounterConfig};
use crate::protocol::ShareCeilings;
use crate::protocol::{
    standing_share_expiry_secs, TenantGrant, TenantLimit, TenantUsage, QUOTA_CONTACT_TIMEOUT_SECS,
    QUOTA_SYNC_INTERVAL_SECS,
};
use crate::settings::Settings;

/// Shares that changed are recorded this often at the most: seconds.
const RECORD: f64 = 0.3;
/// No machine led the core before this term, so none held the counter.
const FIRST_TERM: Term = 1;

/// The counter's post on this machine.
pub struct QuotaLease {
    terms: QuotaCounterConfig,
    /// The counter, while it is held.
    counter: Option<QuotaCounter>,
    recorded_at: f64,
    ended: bool,
}

impl QuotaLease {
    /// Nobody's.
    pub fn new(settings: &Settings) -> Self {
        let terms = QuotaCounterConfig {
            overdue: QUOTA_CONTACT_TIMEOUT_SECS,
            lapse: standing_share_expiry_secs(settings.envelope.quota_horizon),
            every: QUOTA_SYNC_INTERVAL_SECS,
        };
        QuotaLease { terms, counter: None, recorded_at: f64::NEG_INFINITY, ended: false }
    }

    /// A gatekeeper's charges, and the highest term that it knows. `None`: the counter is not held here, by `lease` (the
    /// term, while it stands), or there is a later holder.
    pub fn sync(
        &mut self,
        now: f64,
        lease: Option<Term>,
        gate: (&str, u64),
        seen: Term,
        charges: &[TenantUsage],
        limits: &dyn Fn(&str) -> Option<TenantLimit>,
    ) -> Option<Vec<TenantGrant>> {
        let counter = self.counter.as_mut().filter(|c| lease == Some(c.term()))?;
        counter.sync(now, gate, seen, charges, limits)
    }

    /// Most of the core keeps this record.
    pub fn recorded(&mut self, shares: &ShareCeilings) {
        if let Some(counter) = self.counter.as_mut().filter(|c| c.term() == shares.term) {
            counter.recorded(shares.sequence);
        }
    }

    /// This process ends: it holds nothing any more.
    pub fn end(&mut self) {
        (self.ended, self.counter) = (true, None);
    }

    /// Upkeep: takes the post with the lease, and leaves it with that. `record`: the last record in the log, and whether
    /// another may be put there now. Returned: shares to be recorded.
    pub fn tick(
        &mut self,
        now: f64,
        lease: Option<Term>,
        (record, free): (Option<&ShareCeilings>, bool),
        shared: &mut CoreContext,
        limits: &dyn Fn(&str) -> Option<TenantLimit>,
    ) -> Option<ShareCeilings> {
        let lease = lease.filter(|_| !self.ended);
        if self.counter.as_ref().is_some_and(|c| lease != Some(c.term())) {
            tracing::warn!("lost quota lease");
            shared.journal.append(now, JournalEvent::QuotaLease { is_held: false });
            self.counter = None;
        }
        let term = lease?;
        if self.counter.is_none() {
            tracing::info!(term, has_record = record.is_some(), "acquired quota lease");
            shared.journal.append(now, JournalEvent::QuotaLease { is_held: true });
            // Shares rise only by records that are committed, so where the log has none there are no shares.
            let none = ShareCeilings::default();
            let predecessors = match (term, record) {
                (FIRST_TERM, None) => PreviousLeaders::None,
                (_, record) => PreviousLeaders::Recorded(record.unwrap_or(&none)),
            };
            self.counter = Some(QuotaCounter::new(self.terms, term, now, predecessors));
        }
        let counter = self.counter.as_mut()?;
        counter.tick(now, limits);
        if !free || !counter.changed() || now - self.recorded_at < RECORD {
            return None;
        }
        self.recorded_at = now;
        Some(counter.shares())
    }
}
