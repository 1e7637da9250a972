//! Owns the budget of further tries at one gatekeeper: in every window, over all gatekeepers together, a service gets
//! no more arrivals beyond the first of each request than a ratio of its requests and a slack. Pure; time is passed
//! in. It must never spend slack before it was told how many gatekeepers there are, nor what a former life of this one may
//! have spent.

use std::collections::VecDeque;

/// What it goes by, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Further tries per request.
    pub ratio: f64,
    /// Over so many seconds.
    pub window: f64,
    /// Further tries beyond, over all gatekeepers.
    pub slack: f64,
    /// Not before then: a former life of this gatekeeper may have spent its part of a window.
    pub slack_from: f64,
}

/// Part of what is allowed that is used: requests of a gatekeeper that dies count for nobody.
const USED: f64 = 0.8;

/// Fewer gatekeepers than before count only after so long: core machines that have just started know of few, and those
/// that can't be heard go on with their part. Seconds.
const GATES_KEPT: f64 = 60.0;

/// Further tries for one service at this gatekeeper.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    firsts: VecDeque<f64>,
    further: VecDeque<f64>,
    /// The most gatekeepers that there were lately, and when that was said last.
    gates: (u32, f64),
}

impl RetryBudget {
    fn turn(queue: &mut VecDeque<f64>, now: f64, window: f64) {
        while queue.front().is_some_and(|at| now - at > window) {
            queue.pop_front();
        }
    }

    /// A first try went out.
    pub fn first(&mut self, now: f64, terms: &RetryBudgetConfig) {
        Self::turn(&mut self.firsts, now, terms.window);
        self.firsts.push_back(now);
    }

    /// Further ones that may go out now, with so many gatekeepers at the most (0: not known).
    pub fn room(&mut self, now: f64, terms: &RetryBudgetConfig, gates: u32) -> f64 {
        Self::turn(&mut self.firsts, now, terms.window);
        Self::turn(&mut self.further, now, terms.window);
        if gates >= self.gates.0 || now - self.gates.1 > GATES_KEPT {
            self.gates = (gates, now);
        }
        let told = gates > 0 && now >= terms.slack_from;
        let slack = if told { terms.slack / f64::from(self.gates.0) } else { 0.0 };
        let most = USED * (terms.ratio * self.firsts.len() as f64 + slack);
        (most - self.further.len() as f64).max(0.0).floor()
    }

    /// A further one went out.
    pub fn spent(&mut self, now: f64) {
        self.further.push_back(now);
    }
}

#[cfg(test)]
#[path = "retry_budget_tests.rs"]
mod tests;
