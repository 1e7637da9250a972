//! The log line about the quota counter ([`CounterLog`]), and `whinstall report`, which summarizes a log
//! ([`summarize`]).
//!
//! Logs of older versions of the program must remain readable: the texts and fields that the summaries look for are
//! part of the log's format.

mod counter_summary;
mod fleet_summary;
#[cfg(test)]
mod tests;

use std::time::Duration;
use whinstall::quota::{CounterReport, Mode};

/// Interval at which the report is logged again while a partition is not healthy.
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
                tracing::info!(report = %text, "counter in normal operation again: all partitions healthy");
            } else {
                tracing::warn!(report = %text, "counter in degraded operation: at least one partition not healthy");
            }
        }
        self.modes = modes;
    }
}

/// Summarizes a log: the changes and the last state of the quota counter and of replication among gatekeepers.
pub fn summarize(text: &str) -> String {
    counter_summary::summarize(text) + &fleet_summary::summarize(text)
}

/// The timestamp at the start of a log line.
fn timestamp(line: &str) -> &str {
    line.split_whitespace().next().unwrap_or("")
}
