//! The retry budget of one upstream service at this edge node.
//!
//! Invariant: in every window, all edge nodes together send a service no more retries and hedged requests than `ratio`
//! times its first attempts, plus `slack`. To this end, a node spends no slack before it knows the number of edge nodes,
//! nor until the slack that an earlier incarnation of the node may have spent has left the window.

use std::collections::VecDeque;

/// Limits of the retry budget, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries allowed for each first attempt in the window.
    pub ratio: f64,
    /// Length of the sliding window, in seconds.
    pub window_secs: f64,
    /// Retries allowed in each window in addition to the ratio, over all edge nodes.
    pub slack: f64,
    /// Time from which this node may spend slack, in seconds of the clock that is passed in. Before, slack that an earlier
    /// incarnation of this node has spent may still count in the window.
    pub slack_available_at: f64,
}

/// Fraction of the allowance that a node spends. The rest covers the first attempts of edge nodes that crash, which no node
/// counts any more.
const USED_FRACTION: f64 = 0.8;

/// Time after which a lower number of edge nodes is used, in seconds. Core nodes that have just restarted report too few
/// edge nodes, while those that are not connected to them keep spending their shares of the slack.
const EDGE_COUNT_HOLD_SECS: f64 = 60.0;

/// Retry budget of one service at this edge node.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// Times of the first attempts in the window, in seconds of the clock that is passed in.
    first_attempts: VecDeque<f64>,
    /// Times of the retries in the window, in seconds of the clock that is passed in.
    retries: VecDeque<f64>,
    /// Highest number of edge nodes reported within [`EDGE_COUNT_HOLD_SECS`].
    edge_count: u32,
    /// When a number at least as high as `edge_count` was last reported.
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

    /// Number of retries that may be sent now, given the number of edge nodes (0 if unknown).
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
