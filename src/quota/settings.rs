//! Operators' settings of the counter guard: the record `counter: {...}` of a settings file.
//!
//! Field names of the record are part of the operators' interface and are fixed. Without a file the defaults apply,
//! with which the guard acts only while the counter has a fault.

use super::breaker::BreakerSettings;
use super::mode::ModeSettings;
use crate::config::{ConfigError, Reader};

/// All settings of the guard.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Whether the counter is guarded. If not, its answers are used as they are. `guard` in the file.
    pub is_guarded: bool,
    /// Partitions over which the counter spreads names, by FNV-1a of the name modulo their number. `parts` in the file.
    pub partitions: u32,
    /// Upper bound of the number of counter entries of which state is kept. `counts_most` in the file.
    pub max_entries: usize,
    /// Seconds within which gatekeepers send a replaced counter again what it lost. `retell` in the file.
    pub resend_secs: f64,
    /// Time constant with which a customer's learnt quota share decays once totals stop, in seconds. `fade` in the
    /// file.
    pub share_decay_secs: f64,
    /// Seconds after the timeout in which an answer is still accepted; 0: late answers are discarded. `late` in the
    /// file.
    pub late_answer_secs: f64,
    /// Whether totals are compared with the meter, to detect a split counter. `witness` in the file.
    pub compares_meter: bool,
    /// Circuit breaker of each counter entry. `failures`, `first_trial` and `last_trial` in the file.
    pub breaker: BreakerSettings,
    /// Modes of a partition. `span`, `lost_after`, `settle`, `watch` and `watch_most` in the file.
    pub mode: ModeSettings,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        QuotaSettings {
            is_guarded: true,
            partitions: 1,
            max_entries: 20_000,
            resend_secs: 2.0,
            share_decay_secs: 30.0,
            late_answer_secs: 1.0,
            compares_meter: true,
            breaker: BreakerSettings { failures: 3, first_wait_secs: 0.1, max_wait_secs: 1.0 },
            mode: ModeSettings {
                evidence_secs: 1.5,
                lost_after_secs: 0.3,
                settle_secs: 0.5,
                probation_secs: 2.0,
                max_probation_secs: 30.0,
            },
        }
    }
}

impl QuotaSettings {
    /// Reads the record `counter` of a settings file; `None` where the file has none. Errors are collected by the
    /// reader.
    pub fn read(top: &Reader<'_>) -> Option<QuotaSettings> {
        let record = top.record("counter")?;
        let default = QuotaSettings::default();
        let first_wait = record.number("first_trial", default.breaker.first_wait_secs, (0.01, 10.0));
        let probation = record.number("watch", default.mode.probation_secs, (0.1, 60.0));
        let settings = QuotaSettings {
            is_guarded: record.flag("guard", default.is_guarded),
            partitions: record.integer("parts", default.partitions, (1, 64)),
            max_entries: record.integer("counts_most", default.max_entries as u32, (16, 1_000_000)) as usize,
            resend_secs: record.number("retell", default.resend_secs, (0.1, 60.0)),
            share_decay_secs: record.number("fade", default.share_decay_secs, (1.0, 600.0)),
            late_answer_secs: record.number("late", default.late_answer_secs, (0.0, 10.0)),
            compares_meter: record.flag("witness", default.compares_meter),
            breaker: BreakerSettings {
                failures: record.integer("failures", default.breaker.failures, (1, 100)),
                first_wait_secs: first_wait,
                max_wait_secs: record
                    .number("last_trial", default.breaker.max_wait_secs, (0.01, 60.0))
                    .max(first_wait),
            },
            mode: ModeSettings {
                evidence_secs: record.number("span", default.mode.evidence_secs, (0.2, 60.0)),
                lost_after_secs: record.number("lost_after", default.mode.lost_after_secs, (0.05, 30.0)),
                settle_secs: record.number("settle", default.mode.settle_secs, (0.05, 30.0)),
                probation_secs: probation,
                max_probation_secs: record
                    .number("watch_most", default.mode.max_probation_secs, (0.1, 600.0))
                    .max(probation),
            },
        };
        record.finish();
        Some(settings)
    }

    /// Reads a whole settings file; `None` where it has no record `counter`.
    ///
    /// # Errors
    ///
    /// Every error of the file, with its position.
    pub fn load(text: &str) -> Result<Option<QuotaSettings>, Vec<ConfigError>> {
        crate::config::load(text, QuotaSettings::read)
    }

    /// The settings in force, as `whinstall check` prints them.
    pub fn describe(&self) -> String {
        if !self.is_guarded {
            return "counter: not guarded; its answers are used as they are\n".into();
        }
        format!(
            "counter in {} part(s); state of at most {} entries; lost units sent again within {} s; \
             learnt shares decay over {} s; late answers accepted for {} s; totals {} with the meter\n\
             circuit breaker of an entry: opens after {} failures; first trial after {} s, doubling to {} s\n\
             evidence expires after {} s; lost after {} s; settled after {} s; probation {} s, doubling to {} s\n",
            self.partitions,
            self.max_entries,
            self.resend_secs,
            self.share_decay_secs,
            self.late_answer_secs,
            if self.compares_meter { "compared" } else { "not compared" },
            self.breaker.failures,
            self.breaker.first_wait_secs,
            self.breaker.max_wait_secs,
            self.mode.evidence_secs,
            self.mode.lost_after_secs,
            self.mode.settle_secs,
            self.mode.probation_secs,
            self.mode.max_probation_secs,
        )
    }
}

#[cfg(test)]
#[path = "settings_tests.rs"]
mod tests;
