//! The mode of one partition of the counter, from the outcomes of calls to it: a state machine with hysteresis.
//!
//! ```text
//! Healthy -> Late, Lost, Split, Replaced      a fault; of several, the gravest
//! Late, Lost, Split, Replaced -> Recovering   answers have come in time for the settling time
//! Recovering -> Healthy                       the probation is over
//! Recovering -> Late, Lost, Split, Replaced   a relapse: the next probation is twice as long
//! ```
//!
//! A mode has no effect by itself: the guard and the decision module act on it.

use std::collections::BTreeMap;

/// The mode of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Mode {
    /// Healthy: answers come in time, and totals hold what they must.
    #[default]
    Healthy,
    /// Answers come, but after the timeout.
    Late,
    /// No answers come.
    Lost,
    /// Some names are answered and others never, or totals miss what other gatekeepers use.
    Split,
    /// Totals fell: the counter was replaced or emptied.
    Replaced,
    /// Answers come in time again. The partition is on probation before it counts as healthy.
    Recovering,
}

impl Mode {
    /// Name of the mode in log lines and reports. The names are part of the log's format, which `whinstall report`
    /// reads back.
    pub fn name(self) -> &'static str {
        match self {
            Mode::Healthy => "in step",
            Mode::Late => "late",
            Mode::Lost => "lost",
            Mode::Split => "split",
            Mode::Replaced => "replaced",
            Mode::Recovering => "rejoined",
        }
    }
}

/// Evidence about a partition from the outcome of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEvidence {
    /// Answered in time, with a plausible total.
    Answered,
    /// Answered after the timeout.
    AnsweredLate,
    /// Timed out, rejected, or not connected.
    Unanswered,
    /// Answered with less than the counter must hold, for the second time in a row.
    TotalFell,
}

/// Settings of the mode state machine, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModeSettings {
    /// Time after which evidence expires.
    pub evidence_secs: f64,
    /// Time for which a partition leaves calls unanswered before it is lost.
    pub lost_after_secs: f64,
    /// Time for which answers must come in time to end a fault.
    pub settle_secs: f64,
    /// Length of the first probation of a recovering partition. Each relapse doubles it.
    pub probation_secs: f64,
    /// Upper bound of the probation.
    pub max_probation_secs: f64,
}

/// Number of calls in a row with the same result from which on a name counts as answering or failing.
const MIN_NAME_STREAK: u32 = 2;
/// Upper bound of the names with both answers and failures in a split, as a fraction of those that only fail or only
/// answer. More of them indicate an overloaded counter.
const MAX_MIXED_FRACTION: f64 = 0.2;
/// Number of names that must fail, and number of names that must answer, for `Split`.
const MIN_SPLIT_NAMES: i32 = 2;
/// Upper bound of the number of names of which evidence is kept.
const MAX_NAMES: usize = 256;
/// Number of unanswered calls in a row needed for `Lost`.
const MIN_UNANSWERED: u32 = 3;
/// Number of late answers in a row needed for `Late`.
const MIN_LATE: u32 = 3;
/// Number of names whose totals fell needed for `Replaced`.
const MIN_FALLEN_NAMES: usize = 2;
/// Upper bound of the doublings of the probation, which has reached its maximum long before: keeps the power finite.
const MAX_DOUBLINGS: u32 = 20;

/// Recent calls of one name. Times are negative infinity before the first call.
#[derive(Clone, Copy, Debug)]
struct NameEvidence {
    /// Number of calls in a row with the result of the last one.
    streak: u32,
    answered_at: f64,
    failed_at: f64,
}

impl Default for NameEvidence {
    fn default() -> Self {
        NameEvidence { streak: 0, answered_at: f64::NEG_INFINITY, failed_at: f64::NEG_INFINITY }
    }
}

impl NameEvidence {
    fn last_at(&self) -> f64 {
        self.answered_at.max(self.failed_at)
    }

    fn record(&mut self, now: f64, is_answered: bool) {
        let was_answered = self.answered_at >= self.failed_at;
        self.streak = if was_answered == is_answered { self.streak.saturating_add(1) } else { 1 };
        *(if is_answered { &mut self.answered_at } else { &mut self.failed_at }) = now;
    }
}

/// A name whose total fell.
#[derive(Clone, Copy, Debug)]
struct FallenName {
    name_hash: u64,
    at: f64,
}

/// The mode of a partition and the evidence for it. Times are seconds on the caller's clock.
#[derive(Clone, Debug, Default)]
pub struct ModeTracker {
    mode: Mode,
    mode_since: f64,
    /// When the last answer in time came.
    answered_at: Option<f64>,
    /// When the first call failed since the last answer of any kind.
    failing_since: Option<f64>,
    /// When answers, in time or late, began again after a run of failures.
    answering_since: Option<f64>,
    /// When the last call failed.
    failed_at: Option<f64>,
    /// Number of failures since the last answer.
    unanswered: u32,
    /// Number of late answers since the last one in time.
    late: u32,
    /// Evidence by the hash of the name.
    names: BTreeMap<u64, NameEvidence>,
    fallen_names: Vec<FallenName>,
    /// Whether totals miss what the meter or replicas show.
    is_split_by_totals: bool,
    /// Number of faults during probation since the partition was last healthy.
    relapses: u32,
}

impl ModeTracker {
    /// The current mode.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// When the current mode began, in seconds on the caller's clock.
    pub fn mode_since(&self) -> f64 {
        self.mode_since
    }

    /// Whether totals missed too much when last compared.
    pub fn is_split_by_totals(&self) -> bool {
        self.is_split_by_totals
    }

    /// Records the outcome of a call for the name with this hash.
    pub fn record_call(&mut self, now: f64, name_hash: u64, evidence: CallEvidence, settings: &ModeSettings) {
        let is_answered = evidence != CallEvidence::Unanswered;
        self.bound_names(now, settings);
        self.names.entry(name_hash).or_default().record(now, is_answered);
        if is_answered && (self.unanswered >= MIN_UNANSWERED || self.answering_since.is_none()) {
            self.answering_since = Some(now);
        }
        match evidence {
            CallEvidence::Answered => self.record_in_time(now),
            CallEvidence::AnsweredLate => {
                (self.failing_since, self.unanswered) = (None, 0);
                self.late += 1;
            }
            CallEvidence::Unanswered => {
                self.failing_since.get_or_insert(now);
                self.failed_at = Some(now);
                self.unanswered += 1;
            }
            CallEvidence::TotalFell => {
                self.record_in_time(now);
                self.fallen_names.retain(|fallen| {
                    now - fallen.at <= settings.evidence_secs && fallen.name_hash != name_hash
                });
                self.fallen_names.push(FallenName { name_hash, at: now });
            }
        }
        self.step(now, settings);
    }

    /// Records whether totals miss too much of what the meter or replicas show.
    pub fn record_comparison(&mut self, now: f64, is_split: bool, settings: &ModeSettings) {
        self.is_split_by_totals = is_split;
        self.step(now, settings);
    }

    /// Enters the mode that the evidence at `now` implies.
    pub fn step(&mut self, now: f64, settings: &ModeSettings) {
        let next = self.next_mode(now, settings);
        if next == self.mode {
            return;
        }
        match (self.mode, next) {
            (Mode::Recovering, Mode::Healthy) => self.relapses = 0,
            (Mode::Recovering, _) => self.relapses += 1,
            _ => {}
        }
        (self.mode, self.mode_since) = (next, now);
    }

    fn bound_names(&mut self, now: f64, settings: &ModeSettings) {
        if self.names.len() < MAX_NAMES {
            return;
        }
        self.names.retain(|_, name| now - name.last_at() <= settings.evidence_secs);
        if self.names.len() >= MAX_NAMES {
            self.names.clear();
        }
    }

    fn record_in_time(&mut self, now: f64) {
        self.answered_at = Some(now);
        (self.failing_since, self.unanswered, self.late) = (None, 0, 0);
    }

    /// Whether some names are answered and others never. Failures from before answers began again belong to an
    /// earlier fault and do not count.
    fn is_split_by_name(&self, now: f64, settings: &ModeSettings) -> bool {
        let since = self.answering_since.unwrap_or(now).max(now - settings.evidence_secs);
        let (mut failing, mut answering, mut mixed) = (0, 0, 0);
        for name in self.names.values() {
            let is_conclusive = name.last_at() >= since && name.streak >= MIN_NAME_STREAK;
            if name.answered_at < name.failed_at {
                failing += i32::from(is_conclusive && name.failed_at > since);
            } else if name.failed_at >= since {
                mixed += 1;
            } else {
                answering += i32::from(is_conclusive);
            }
        }
        let is_mixed_rare = f64::from(mixed) <= MAX_MIXED_FRACTION * f64::from(failing + answering);
        failing >= MIN_SPLIT_NAMES && answering >= MIN_SPLIT_NAMES && is_mixed_rare
    }

    /// The gravest fault that the evidence implies.
    fn fault(&self, now: f64, settings: &ModeSettings) -> Option<Mode> {
        let is_recent = |fallen: &&FallenName| now - fallen.at <= settings.evidence_secs;
        let is_lost = self.unanswered >= MIN_UNANSWERED
            && self.failing_since.is_some_and(|at| now - at >= settings.lost_after_secs);
        let is_late =
            self.late >= MIN_LATE && self.answered_at.is_none_or(|at| now - at > settings.settle_secs);
        if is_lost {
            Some(Mode::Lost)
        } else if self.fallen_names.iter().filter(is_recent).count() >= MIN_FALLEN_NAMES {
            Some(Mode::Replaced)
        } else if self.is_split_by_totals || self.is_split_by_name(now, settings) {
            Some(Mode::Split)
        } else if is_late {
            Some(Mode::Late)
        } else {
            None
        }
    }

    /// Whether answers in time have come for long enough to end a fault.
    fn is_settled(&self, now: f64, settings: &ModeSettings) -> bool {
        self.answered_at.is_some_and(|at| now - at <= settings.evidence_secs)
            && self.failed_at.is_none_or(|at| now - at >= settings.settle_secs)
            && now - self.mode_since >= settings.settle_secs
    }

    fn next_mode(&self, now: f64, settings: &ModeSettings) -> Mode {
        if let Some(fault) = self.fault(now, settings) {
            return fault;
        }
        match self.mode {
            Mode::Healthy => Mode::Healthy,
            Mode::Recovering => {
                let doublings = self.relapses.min(MAX_DOUBLINGS) as i32;
                let probation =
                    (settings.probation_secs * 2f64.powi(doublings)).min(settings.max_probation_secs);
                if now - self.mode_since >= probation {
                    Mode::Healthy
                } else {
                    Mode::Recovering
                }
            }
            _ if self.is_settled(now, settings) => Mode::Recovering,
            mode => mode,
        }
    }
}

#[cfg(test)]
#[path = "mode_tests.rs"]
mod tests;
