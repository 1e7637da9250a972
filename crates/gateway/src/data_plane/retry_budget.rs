//! The retry budget of one upstream service at this edge node.
//!
//! Invariant: in every window, over all edge nodes together, a service receives no more retries and hedged requests
//! than `ratio` of its first attempts, plus `slack`. To keep it, a node spends no slack before it knows how many edge
//! nodes there are, nor before an earlier incarnation's share of a window has expired.

use std::collections::VecDeque;

/// Limits of the retry budget, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries for each first attempt in the window.
    pub ratio: f64,
    /// Length of the sliding window, in seconds.
    pub window_secs: f64,
    /// Retries in each window beyond the ratio, over all edge nodes.
    pub slack: f64,
    /// Time from which slack may be spent: an earlier incarnation of this node may have spent its share before.
    pub slack_available_at: f64,
}

/// Part of the allowance that is used. The rest covers first attempts of edge nodes that crash: they count nowhere.
const USED_FRACTION: f64 = 0.8;

/// A lower number of edge nodes counts only after so long, in seconds: core nodes that have just started know of few,
/// while those that can't be heard keep spending their share.
const EDGE_COUNT_HOLD_SECS: f64 = 60.0;

/// Retries of one service at this edge node.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// When first attempts were sent, within the window.
    first_attempts: VecDeque<f64>,
    /// When retries were sent, within the window.
    retries: VecDeque<f64>,
    /// The highest number of edge nodes lately.
    edge_count: u32,
    /// When that number was last reported.
    edge_count_at: f64,
}

impl RetryBudget {
    fn drop_expired(times: &mut VecDeque<f64>, now: f64, window_secs: f64) {
        while times.front().is_some_and(|at| now - at > window_secs) {
            times.pop_front();
        }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self, now: f64, config: &RetryBudgetConfig) {
        Self::drop_expired(&mut self.first_attempts, now, config.window_secs);
        self.first_attempts.push_back(now);
    }

    /// Number of retries that may be sent now, given the number of edge nodes (0: not known).
    pub fn available(&mut self, now: f64, config: &RetryBudgetConfig, edge_count: u32) -> f64 {
        Self::drop_expired(&mut self.first_attempts, now, config.window_secs);
        Self::drop_expired(&mut self.retries, now, config.window_secs);
        if edge_count >= self.edge_count || now - self.edge_count_at > EDGE_COUNT_HOLD_SECS {
            (self.edge_count, self.edge_count_at) = (edge_count, now);
        }
        let may_spend_slack = edge_count > 0 && now >= config.slack_available_at;
        let slack = if may_spend_slack { config.slack / f64::from(self.edge_count) } else { 0.0 };
        let allowance = USED_FRACTION * (config.ratio * self.first_attempts.len() as f64 + slack);
        (allowance - self.retries.len() as f64).max(0.0).floor()
    }

    /// Records a retry.
    pub fn record_retry(&mut self, now: f64) {
        self.retries.push_back(now);
    }
}

#[cfg(test)]
#[path = "retry_budget_tests.rs"]
mod tests;
