//! The log line about the quota counter ([`CounterLog`]), and `whinstall report`, which summarizes a log
//! ([`of_log`]).
//!
//! Logs of older versions of the program must remain readable: the texts and fields that the summaries look for are
//! part of the log's format.

mod counter_summary;
mod fleet_summary;
#[cfg(test)]
mod tests;

use std::time::Duration;
use whinstall::quota::{CounterReport, Mode};

/// A fault that lasts is logged again at this interval.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);

/// Logs the quota counter's report when a partition's mode changes, and repeatedly while one is not healthy.
#[derive(Default)]
pub struct CounterLog {
    /// Modes of the partitions at the last update.
    modes: Vec<String>,
    /// When the report was last logged, on the core's clock.
    logged: Duration,
}

impl CounterLog {
    /// Logs the report if it is due.
    pub fn update(&mut self, now: Duration, report: CounterReport) {
        let modes: Vec<String> = report.partitions.iter().map(|p| p.mode.clone()).collect();
        let is_healthy = modes.iter().all(|m| m == Mode::Healthy.name());
        let is_changed = if self.modes.is_empty() { !is_healthy } else { modes != self.modes };
        let is_repeat = !is_healthy && now.saturating_sub(self.logged) >= REPEAT_INTERVAL;
        if is_changed || is_repeat {
            self.logged = now;
            let text = serde_json::to_string(&report).unwrap_or_default();
            // `counter_summary` finds these lines by their text and field.
            if is_healthy {
                tracing::info!(report = %text, "counter in step again");
            } else {
                tracing::warn!(report = %text, "counter in trouble");
            }
        }
        self.modes = modes;
    }
}

/// What a log says about the quota counter and about replication among gatekeepers: the changes, and the last state.
pub fn of_log(text: &str) -> String {
    counter_summary::of_log(text) + &fleet_summary::of_log(text)
}

/// The time at the start of a log line.
fn time(line: &str) -> &str {
    line.split_whitespace().next().unwrap_or("")
}
