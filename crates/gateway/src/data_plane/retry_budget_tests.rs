//! Tests of the retry budget over all edge nodes together, across restarts and with wrong numbers of edge nodes.

use super::*;
use googletest::prelude::*;

const CONFIG: RetryBudgetConfig =
    RetryBudgetConfig { ratio: 0.2, window_secs: 10.0, slack: 60.0, slack_available_at: 0.0 };

/// An edge node that spends its entire retry budget.
#[derive(Default)]
struct EdgeBudget {
    budget: RetryBudget,
    slack_available_at: f64,
}

/// Times at which all edge nodes sent first attempts and retries, in seconds.
#[derive(Default)]
struct Observed {
    first_attempts: Vec<f64>,
    retries: Vec<f64>,
}

impl Observed {
    /// Largest excess over the allowance in any window, in retries.
    fn excess(&self) -> f64 {
        let count_in_window = |times: &[f64], start: f64| {
            times.partition_point(|t| *t < start + CONFIG.window_secs) - times.partition_point(|t| *t < start)
        };
        let excess_from = |start: &f64| {
            let windows = [0.0, 0.5, 1.0]
                .map(|back| count_in_window(&self.first_attempts, start - back * CONFIG.window_secs));
            let first_attempts = windows.into_iter().max().unwrap_or(0) as f64;
            count_in_window(&self.retries, *start) as f64 - (CONFIG.ratio * first_attempts + CONFIG.slack)
        };
        self.retries.iter().map(excess_from).fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Simulates 90 s in which each edge node retries as often as its budget allows. `rate`: first attempts per second.
/// `restarts`: times and indices of edge nodes that restart. `reported`: number of edge nodes that the core reports to a
/// node at a time.
fn simulate(
    edge_count: usize,
    rate: f64,
    restarts: &[(f64, usize)],
    reported: impl Fn(usize, f64) -> u32,
) -> Observed {
    let (mut nodes, mut observed) = (Vec::new(), Observed::default());
    nodes.resize_with(edge_count, EdgeBudget::default);
    for step in 0..9000 {
        let now = f64::from(step) * 0.01;
        for (_, node) in restarts.iter().filter(|(at, _)| (*at * 100.0) as i32 == step) {
            nodes[*node] =
                EdgeBudget { slack_available_at: now + CONFIG.window_secs, ..EdgeBudget::default() };
        }
        for (n, node) in nodes.iter_mut().enumerate() {
            let config = RetryBudgetConfig { slack_available_at: node.slack_available_at, ..CONFIG };
            let is_due = (now * rate) as usize > ((now - 0.01) * rate) as usize;
            if is_due && (now * rate) as usize % edge_count == n {
                node.budget.record_first_attempt(now, &config);
                observed.first_attempts.push(now);
            }
            for _ in 0..node.budget.available(now, &config, reported(n, now)) as usize {
                node.budget.record_retry(now);
                observed.retries.push(now);
            }
        }
    }
    observed
}

#[gtest]
fn all_edge_nodes_together_stay_within_the_budget_across_restarts() {
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (edge_count, rate) = (rng.usize(1..9), [0.0, 5.0, 60.0][rng.usize(0..3)]);
        let mut restarts = Vec::new();
        for _ in 0..rng.usize(0..4) {
            // Most edge nodes restart at once, as after a power failure.
            let at = 80.0 * rng.f64();
            restarts.extend((0..edge_count).filter(|_| rng.u32(0..5) > 0).map(|n| (at, n)));
        }
        let observed = simulate(edge_count, rate, &restarts, |_, _| edge_count as u32);
        assert_that!(
            observed.excess(),
            le(0.0),
            "seed {seed}: {edge_count} edge nodes, {rate} requests/s, {restarts:?}"
        );
        // Most of the allowance is used.
        if restarts.is_empty() {
            assert_that!(observed.retries.len() as f64, ge(0.7 * (0.2 * 90.0 * rate + 6.0 * CONFIG.slack)));
        }
    }
}

#[gtest]
fn a_restarted_core_that_knows_few_edge_nodes_raises_no_share() {
    // The core restarts at 20 s. For 30 s only two of the eight edge nodes reach it; the others keep the old number.
    let reported = |n: usize, now: f64| match now {
        now if n >= 2 || !(20.0..50.0).contains(&now) => 8,
        now if now < 22.0 => 0,
        _ => 2,
    };
    expect_that!(simulate(8, 5.0, &[], reported).excess(), le(0.0));
}
