//! The operators' settings of the counter's guard, read through the shared loader from a record `counter: {...}`.
//! It owns their names, types, defaults and ranges; it must never decide anything with them. Without a file the
//! defaults hold: the guard acts only where the counter is in trouble.

use super::breaker::BreakerSettings;
use super::mode::ModeSettings;
use crate::config::{ConfigError, Reader};

/// All the settings of the guard.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Is there a guard at all? Without one the counter's answers pass as they are.
    pub guard: bool,
    /// Parts that the counter splits names over, by FNV-1a of the name modulo their number; 1: not told.
    pub parts: u32,
    /// Counts (customers' windows) whose books are kept, at the most.
    pub counts_most: usize,
    /// Seconds over which a replaced counter is told again.
    pub retell: f64,
    /// Seconds that what was learnt of a customer's share outlives its last total by.
    pub fade: f64,
    /// Seconds that an answer after the wait is still listened for; 0: not.
    pub late: f64,
    /// Are totals compared with the meter, to notice a counter split in two views?
    pub witness: bool,
    /// Breaker of each count.
    pub breaker: BreakerSettings,
    /// Modes of a part.
    pub mode: ModeSettings,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        QuotaSettings {
            guard: true,
            parts: 1,
            counts_most: 20_000,
            retell: 2.0,
            fade: 30.0,
            late: 1.0,
            witness: true,
            breaker: BreakerSettings { failures: 3, first: 0.1, most: 1.0 },
            mode: ModeSettings { span: 1.5, lost_after: 0.3, settle: 0.5, watch: 2.0, watch_most: 30.0 },
        }
    }
}

impl QuotaSettings {
    /// Reads the record `counter` of a settings file; `None` where the file has none.
    pub fn read(top: &Reader<'_>) -> Option<QuotaSettings> {
        let r = top.record("counter")?;
        let d = QuotaSettings::default();
        let first = r.number("first_trial", d.breaker.first, (0.01, 10.0));
        let watch = r.number("watch", d.mode.watch, (0.1, 60.0));
        let settings = QuotaSettings {
            guard: r.flag("guard", d.guard),
            parts: r.whole("parts", d.parts, (1, 64)),
            counts_most: r.whole("counts_most", d.counts_most as u32, (16, 1_000_000)) as usize,
            retell: r.number("retell", d.retell, (0.1, 60.0)),
            fade: r.number("fade", d.fade, (1.0, 600.0)),
            late: r.number("late", d.late, (0.0, 10.0)),
            witness: r.flag("witness", d.witness),
            breaker: BreakerSettings {
                failures: r.whole("failures", d.breaker.failures, (1, 100)),
                first,
                most: r.number("last_trial", d.breaker.most, (0.01, 60.0)).max(first),
            },
            mode: ModeSettings {
                span: r.number("span", d.mode.span, (0.2, 60.0)),
                lost_after: r.number("lost_after", d.mode.lost_after, (0.05, 30.0)),
                settle: r.number("settle", d.mode.settle, (0.05, 30.0)),
                watch,
                watch_most: r.number("watch_most", d.mode.watch_most, (0.1, 600.0)).max(watch),
            },
        };
        r.finish();
        Some(settings)
    }

    /// Reads a whole file that holds (at least) a `counter` record.
    pub fn load(text: &str) -> Result<Option<QuotaSettings>, Vec<ConfigError>> {
        crate::config::load(text, QuotaSettings::read)
    }

    /// What is in force, for `whinstall check`.
    pub fn describe(&self) -> String {
        if !self.guard {
            return "counter: no guard; its answers pass as they are\n".into();
        }
        format!(
            "counter in {} part(s); books of {} counts at the most; told again over {} s; shares fade over {} s; \
             late answers heard for {} s; totals {} with the meter\n\
             a count is tried again after {} failures, in {} s doubling to {} s\n\
             evidence of {} s; lost after {} s; settled after {} s; watched {} s doubling to {} s\n",
            self.parts,
            self.counts_most,
            self.retell,
            self.fade,
            self.late,
            if self.witness { "compared" } else { "not compared" },
            self.breaker.failures,
            self.breaker.first,
            self.breaker.most,
            self.mode.span,
            self.mode.lost_after,
            self.mode.settle,
            self.mode.watch,
            self.mode.watch_most,
        )
    }
}

#[cfg(test)]
#[path = "settings_tests.rs"]
mod tests;
