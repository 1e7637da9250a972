//! The guard of one gatekeeper: the state of counter entries and partitions, and the events that change it.

use super::breaker::Breaker;
use super::call::{
    interpret, unguarded_verdict, CallOutcome, CustomerWindow, LateTotal, Verdict, WindowSpan,
};
use super::mode::{CallEvidence, Mode, ModeTracker};
use super::reconciler::Reconciler;
use super::report::{CounterReport, PartitionReport};
use super::settings::QuotaSettings;
use super::split_detection::{AcknowledgedUnits, MeterComparison, ReplicaComparison};
use crate::identifiers::{fnv1a, CounterKey, Ending, GOLDEN_RATIO_FRACTION};
use std::collections::{BTreeMap, VecDeque};

/// Answers are prompt if they take less than this fraction of the timeout, on average.
const PROMPT_FRACTION: f64 = 0.25;
/// Time for which the last answer is evidence of a prompt counter, in seconds.
const PROMPT_EVIDENCE_SECS: f64 = 0.5;
/// Weight of the newest answer in the average time of answers.
const PROMPT_WEIGHT: f64 = 0.1;
/// Interval of sweeps for expired entries, in seconds.
const SWEEP_INTERVAL_SECS: f64 = 1.0;
/// Where there are too many entries, one in this many is evicted, the least recently used first.
const EVICT_ONE_IN: usize = 4;

/// Mode of a partition, and when the partition entered it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartitionMode {
    /// Current mode.
    pub mode: Mode,
    /// When the partition entered the mode, in seconds on the caller's clock.
    pub since: f64,
}

/// The state of one counter entry.
#[derive(Clone, Debug)]
struct Entry {
    customer_window: CustomerWindow,
    reconciler: Reconciler,
    breaker: Breaker,
    /// When a call for this entry was last sent or finished.
    used_at: f64,
    /// When the counter last answered in time.
    answered_at: f64,
    /// Time from which the entry may be dropped.
    expires_at: f64,
    /// Amount of the last call, if that call has timed out and no other was sent since.
    timed_out_amount: Option<f64>,
    /// Units that the counter has acknowledged to other gatekeepers, by the replicas of their usage.
    acknowledged_to_others: f64,
    /// `acknowledged_to_others` as each call in flight was sent, oldest first.
    acknowledged_at_send: VecDeque<f64>,
}

impl Entry {
    fn new(customer_window: CustomerWindow, now: f64, expires_at: f64) -> Self {
        Entry {
            customer_window,
            reconciler: Reconciler::default(),
            breaker: Breaker::default(),
            used_at: now,
            answered_at: f64::NEG_INFINITY,
            expires_at,
            timed_out_amount: None,
            acknowledged_to_others: 0.0,
            acknowledged_at_send: VecDeque::new(),
        }
    }

    /// Reconciles the outcome of the oldest call in flight. Returns no evidence where the outcome says nothing about
    /// the partition.
    fn reconcile(
        &mut self,
        now: f64,
        amount: f64,
        outcome: CallOutcome,
        resend_secs: f64,
    ) -> (Option<CallEvidence>, Verdict) {
        match outcome.ending {
            Ending::Ok => {
                self.answered_at = now;
                let reconciliation = self.reconciler.call_answered(now, amount, outcome.total, resend_secs);
                let (evidence, verdict) = interpret(reconciliation, self.reconciler.has_contradiction());
                (Some(evidence), verdict)
            }
            ending if ending.never_ran() => {
                self.reconciler.call_not_applied();
                (Some(CallEvidence::Unanswered), Verdict::NotAdded)
            }
            Ending::Reset => {
                // A broken connection says nothing about whether the counter takes other calls.
                self.reconciler.call_undetermined(amount);
                (None, Verdict::Undetermined)
            }
            _ => {
                self.reconciler.call_undetermined(amount);
                self.timed_out_amount = Some(amount);
                (Some(CallEvidence::Unanswered), Verdict::Undetermined)
            }
        }
    }
}

/// The state of one partition of the counter.
#[derive(Clone, Debug, Default)]
struct Partition {
    mode: ModeTracker,
    replicas: ReplicaComparison,
    /// Units admitted without a usable total since the mode last left `Healthy`.
    unverified_units: f64,
    /// Units admitted without a usable total over all faults.
    unverified_units_ever: f64,
    implausible_answers: u64,
    late_answers: u64,
    /// Units sent again to a counter that had lost them.
    resent_units: f64,
}

/// How quickly the counter answers.
#[derive(Clone, Copy, Debug)]
struct Promptness {
    /// Time of answers as a fraction of the timeout, as an exponential moving average.
    timeout_fraction: f64,
    answered_at: f64,
}

impl Promptness {
    fn record(&mut self, now: f64, timeout_fraction: f64) {
        let newest = if timeout_fraction.is_finite() { timeout_fraction.clamp(0.0, 1.0) } else { 1.0 };
        self.timeout_fraction += PROMPT_WEIGHT * (newest - self.timeout_fraction);
        self.answered_at = now;
    }
}

/// The guard of one gatekeeper.
#[derive(Clone, Debug)]
pub struct Guard {
    settings: QuotaSettings,
    entries: BTreeMap<CounterKey, Entry>,
    partitions: Vec<Partition>,
    meter: MeterComparison,
    swept_at: f64,
    promptness: Promptness,
    /// Jitter of the breakers' waits: a Weyl sequence through (0, 1) that starts at a different point at each
    /// gatekeeper.
    jitter: f64,
}

impl Guard {
    /// Creates a guard. `jitter`, in [0, 1), should differ between gatekeepers, so that they do not call a returning
    /// counter at the same moment.
    pub fn new(settings: QuotaSettings, jitter: f64) -> Self {
        Guard {
            entries: BTreeMap::new(),
            partitions: vec![Partition::default(); settings.partitions.max(1) as usize],
            meter: MeterComparison::default(),
            swept_at: f64::NEG_INFINITY,
            promptness: Promptness { timeout_fraction: 1.0, answered_at: f64::NEG_INFINITY },
            jitter: jitter.fract().abs(),
            settings,
        }
    }

    /// Settings of the guard.
    pub fn settings(&self) -> &QuotaSettings {
        &self.settings
    }

    /// The time from which a call for this entry may be sent; in the past where it may be sent now.
    pub fn next_call_at(&self, name: &CounterKey) -> f64 {
        match self.entries.get(name).filter(|_| self.settings.is_guarded) {
            Some(entry) => entry.breaker.next_call_at(&self.settings.breaker),
            None => f64::NEG_INFINITY,
        }
    }

    /// Records a call that is about to add `amount` for `customer_window`. The counter keeps the entry for
    /// `lifetime_secs` after the call. Returns the amount that the call must add, which includes units that a replaced
    /// counter has lost.
    pub fn call_sent(
        &mut self,
        now: f64,
        name: &CounterKey,
        customer_window: CustomerWindow,
        amount: f64,
        lifetime_secs: f64,
    ) -> f64 {
        if !self.settings.is_guarded {
            return amount;
        }
        self.sweep(now);
        let partition = self.partition_of(name);
        let expires_at = now + lifetime_secs;
        let entry =
            self.entries.entry(name.clone()).or_insert_with(|| Entry::new(customer_window, now, expires_at));
        entry.acknowledged_at_send.push_back(entry.acknowledged_to_others);
        entry.breaker.call_sent(&self.settings.breaker);
        (entry.used_at, entry.expires_at, entry.timed_out_amount) = (now, expires_at, None);
        let added = entry.reconciler.call_sent(amount);
        self.partitions[partition].resent_units += added - amount;
        added
    }

    /// Records the outcome of a call that the decision module sent with `amount`.
    pub fn call_finished(
        &mut self,
        now: f64,
        name: &CounterKey,
        amount: f64,
        outcome: CallOutcome,
    ) -> Verdict {
        let CallOutcome { ending, total, timeout_fraction } = outcome;
        let key = fnv1a(&name.0);
        let partition = self.partition_of(name);
        let Some(entry) = self.entries.get_mut(name).filter(|_| self.settings.is_guarded) else {
            return unguarded_verdict(outcome);
        };
        entry.used_at = now;
        let acknowledged = AcknowledgedUnits {
            own: entry.reconciler.acknowledged_before_oldest_call(),
            others: entry.acknowledged_at_send.pop_front().unwrap_or(0.0),
        };
        if ending == Ending::Ok {
            self.promptness.record(now, timeout_fraction);
        }
        let (evidence, verdict) = entry.reconcile(now, amount, outcome, self.settings.resend_secs);
        let Some(evidence) = evidence else { return verdict };
        if evidence == CallEvidence::Unanswered {
            self.jitter = (self.jitter + GOLDEN_RATIO_FRACTION).fract();
            entry.breaker.call_failed(now, self.jitter, &self.settings.breaker);
        } else {
            entry.breaker.call_succeeded();
        }
        if evidence == CallEvidence::Answered {
            if verdict == Verdict::Undetermined {
                self.partitions[partition].implausible_answers += 1;
            } else {
                self.compare_with_replicas(now, partition, total - amount, acknowledged);
            }
        }
        let mode = &mut self.partitions[partition].mode;
        mode.record_call(now, key, evidence, &self.settings.mode);
        // Totals of a split counter must not be used: each of its views would grant the whole quota.
        match verdict {
            Verdict::Total(_) if mode.is_split_by_totals() => Verdict::Withheld,
            verdict => verdict,
        }
    }

    /// Records the answer to a call that had timed out. Returns the lower bound of the use that it proves, if any.
    pub fn late_answer(&mut self, now: f64, name: &CounterKey, total: f64) -> Option<LateTotal> {
        let key = fnv1a(&name.0);
        let partition = self.partition_of(name);
        let entry = self.entries.get_mut(name).filter(|_| self.settings.is_guarded)?;
        let partition = &mut self.partitions[partition];
        partition.mode.record_call(now, key, CallEvidence::AnsweredLate, &self.settings.mode);
        // Once the next call of an entry is sent, it is unknown which of the two calls an answer belongs to.
        let amount = entry.timed_out_amount.take()?;
        let min_spent = entry.reconciler.late_answer(amount, total)?;
        partition.late_answers += 1;
        entry.breaker.call_succeeded();
        let late = LateTotal { customer_window: entry.customer_window.clone(), min_spent };
        Some(late).filter(|_| !partition.mode.is_split_by_totals())
    }

    /// Whether another call for this entry is needed soon, to confirm a loss or to send lost units again.
    pub fn wants_call(&self, name: &CounterKey) -> bool {
        let wants =
            |entry: &Entry| entry.reconciler.has_contradiction() || entry.reconciler.to_resend() > 0.0;
        self.entries.get(name).is_some_and(wants)
    }

    /// Records units admitted for an entry. `is_total_known` tells whether a usable total allowed them. The name is
    /// built only while there is a fault, as this runs for each admitted request.
    pub fn record_admitted(&mut self, name: impl FnOnce() -> CounterKey, units: f64, is_total_known: bool) {
        if is_total_known || units <= 0.0 || !self.has_fault() {
            return;
        }
        let partition = self.partition_of(&name());
        let partition = &mut self.partitions[partition];
        if partition.mode.mode() != Mode::Healthy {
            partition.unverified_units += units;
            partition.unverified_units_ever += units;
        }
    }

    /// Records that the window of an entry is over, and compares its total with the meter. `metered_rate` is the
    /// customer's metered use in the window, in units per second. `None` where the meter has no fresh value, or where
    /// the customer was beyond its quota, so that not all of its use was charged. A total from the first half of the
    /// window holds too few units to be compared.
    pub fn window_finished(
        &mut self,
        now: f64,
        name: impl FnOnce() -> CounterKey,
        span: WindowSpan,
        metered_rate: Option<f64>,
    ) {
        let is_compared = self.settings.is_guarded && self.settings.compares_meter;
        let Some(metered_rate) = metered_rate.filter(|_| is_compared) else { return };
        let Some(entry) = self.entries.get(&name()) else { return };
        let counted_secs = entry.answered_at - span.start;
        if counted_secs <= 0.5 * span.length_secs || counted_secs > span.length_secs {
            return;
        }
        let is_split =
            self.meter.add_window(now, metered_rate * counted_secs, entry.reconciler.highest_total());
        // The comparison is not per partition: a customer's windows are spread over all partitions.
        for partition in &mut self.partitions {
            let is_split = is_split || partition.replicas.is_split(now);
            partition.mode.record_comparison(now, is_split, &self.settings.mode);
        }
    }

    /// Sets the units of an entry that the counter has acknowledged to other gatekeepers, by the replicas of their
    /// usage. Answers to calls sent from now on must include them.
    pub fn set_acknowledged_to_others(&mut self, name: &CounterKey, units: f64) {
        if let Some(entry) = self.entries.get_mut(name).filter(|_| self.settings.is_guarded) {
            entry.acknowledged_to_others = units;
        }
    }

    /// Units of an entry that the counter has acknowledged to this gatekeeper.
    pub fn acknowledged_units(&self, name: &CounterKey) -> f64 {
        self.entries.get(name).map_or(0.0, |entry| entry.reconciler.acknowledged())
    }

    /// Whether the counter answers other calls promptly, so that an unanswered call says nothing about its capacity. An
    /// overloaded counter delays all calls; one that lacks a partition, or some names, does not.
    pub fn answers_promptly(&self, now: f64) -> bool {
        self.settings.is_guarded
            && now - self.promptness.answered_at <= PROMPT_EVIDENCE_SECS
            && self.promptness.timeout_fraction < PROMPT_FRACTION
    }

    /// Whether any partition has a fault or is on probation. Cheap enough to ask for each request.
    pub fn has_fault(&self) -> bool {
        self.partitions.iter().any(|partition| partition.mode.mode() != Mode::Healthy)
    }

    /// Whether the partition of this entry has a fault in which totals are missing or must not be used.
    pub fn lacks_total(&self, name: &CounterKey) -> bool {
        let mode = self.partitions[self.partition_of(name)].mode.mode();
        self.settings.is_guarded && matches!(mode, Mode::Lost | Mode::Late | Mode::Split)
    }

    /// Modes of all partitions at `now`.
    pub fn modes(&mut self, now: f64) -> Vec<PartitionMode> {
        self.sweep(now);
        let modes = self.partitions.iter().map(|partition| &partition.mode);
        modes.map(|mode| PartitionMode { mode: mode.mode(), since: mode.mode_since() }).collect()
    }

    /// State of the counter at `now`, for operators.
    pub fn report(&self, now: f64) -> CounterReport {
        let partitions = self.partitions.iter().enumerate().map(|(index, partition)| PartitionReport {
            partition: index as u32,
            mode: partition.mode.mode().name().to_string(),
            secs_in_mode: (now - partition.mode.mode_since()).max(0.0),
            unverified_units: partition.unverified_units,
            unverified_units_ever: partition.unverified_units_ever,
            implausible_answers: partition.implausible_answers,
            late_answers: partition.late_answers,
            resent_units: partition.resent_units,
        });
        let is_open = |entry: &&Entry| entry.breaker.is_open(&self.settings.breaker);
        CounterReport {
            partitions: partitions.collect(),
            entries: self.entries.len(),
            open_breakers: self.entries.values().filter(is_open).count(),
            counted_fraction: self.meter.counted_fraction(),
        }
    }

    /// Index of the partition that holds this name.
    pub(super) fn partition_of(&self, name: &CounterKey) -> usize {
        (fnv1a(&name.0) % self.partitions.len() as u64) as usize
    }

    fn compare_with_replicas(
        &mut self,
        now: f64,
        partition: usize,
        total: f64,
        acknowledged: AcknowledgedUnits,
    ) {
        let partition = &mut self.partitions[partition];
        partition.replicas.add_answer(now, total, acknowledged);
        let is_split = self.meter.is_split() || partition.replicas.is_split(now);
        if is_split != partition.mode.is_split_by_totals() {
            partition.mode.record_comparison(now, is_split, &self.settings.mode);
        }
    }

    /// Advances the modes of all partitions, and drops expired entries. If there are still too many, the least recently
    /// used are evicted.
    fn sweep(&mut self, now: f64) {
        let max_entries = self.settings.max_entries;
        if now - self.swept_at < SWEEP_INTERVAL_SECS && self.entries.len() < max_entries {
            return;
        }
        self.swept_at = now;
        for partition in &mut self.partitions {
            partition.mode.step(now, &self.settings.mode);
            if partition.mode.mode() == Mode::Healthy {
                partition.unverified_units = 0.0;
            }
        }
        self.entries.retain(|_, entry| now < entry.expires_at);
        if self.entries.len() >= max_entries {
            let mut times: Vec<f64> = self.entries.values().map(|entry| entry.used_at).collect();
            times.sort_unstable_by(f64::total_cmp);
            let evict_until = times[times.len() / EVICT_ONE_IN];
            self.entries.retain(|_, entry| entry.used_at > evict_until);
        }
    }
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
