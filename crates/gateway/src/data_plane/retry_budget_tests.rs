//! What all gatekeepers together spend, whoever of them starts anew, and whatever they are told of each other.

use super::*;
use googletest::prelude::*;

const TERMS: RetryBudgetConfig = RetryBudgetConfig { ratio: 0.2, window: 10.0, slack: 60.0, slack_from: 0.0 };

/// A gatekeeper that spends all that it may.
#[derive(Default)]
struct Gate {
    budget: RetryBudget,
    slack_from: f64,
}

/// Everybody's first and further tries, with their times.
#[derive(Default)]
struct Seen {
    firsts: Vec<f64>,
    further: Vec<f64>,
}

impl Seen {
    /// The most that a window held, over what the rule allows there.
    fn excess(&self) -> f64 {
        let within = |all: &[f64], from: f64| {
            all.partition_point(|t| *t < from + TERMS.window) - all.partition_point(|t| *t < from)
        };
        let over = |at: &f64| {
            let windows = [0.0, 0.5, 1.0].map(|back| within(&self.firsts, at - back * TERMS.window));
            let firsts = windows.into_iter().max().unwrap_or(0) as f64;
            within(&self.further, *at) as f64 - (TERMS.ratio * firsts + TERMS.slack)
        };
        self.further.iter().map(over).fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Plays a minute and a half: each gatekeeper gets requests, and as many of them fail as may be tried again.
/// `told`: how many gatekeepers a gatekeeper is told of at a time.
fn play(gates: usize, rate: f64, restarts: &[(f64, usize)], told: impl Fn(usize, f64) -> u32) -> Seen {
    let (mut all, mut seen) = (Vec::new(), Seen::default());
    all.resize_with(gates, Gate::default);
    for step in 0..9000 {
        let now = f64::from(step) * 0.01;
        for (_, gate) in restarts.iter().filter(|(at, _)| (*at * 100.0) as i32 == step) {
            all[*gate] = Gate { slack_from: now + TERMS.window, ..Gate::default() };
        }
        for (n, gate) in all.iter_mut().enumerate() {
            let terms = RetryBudgetConfig { slack_from: gate.slack_from, ..TERMS };
            let due = (now * rate) as usize > ((now - 0.01) * rate) as usize;
            if due && (now * rate) as usize % gates == n {
                gate.budget.first(now, &terms);
                seen.firsts.push(now);
            }
            for _ in 0..gate.budget.room(now, &terms, told(n, now)) as usize {
                gate.budget.spent(now);
                seen.further.push(now);
            }
        }
    }
    seen
}

#[gtest]
fn all_together_stay_within_the_budget_however_often_they_start_anew() {
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (gates, rate) = (rng.usize(1..9), [0.0, 5.0, 60.0][rng.usize(0..3)]);
        let mut restarts = Vec::new();
        for _ in 0..rng.usize(0..4) {
            // Most of them together, as after a loss of power.
            let at = 80.0 * rng.f64();
            restarts.extend((0..gates).filter(|_| rng.u32(0..5) > 0).map(|n| (at, n)));
        }
        let seen = play(gates, rate, &restarts, |_, _| gates as u32);
        assert_that!(
            seen.excess(),
            le(0.0),
            "seed {seed}: {gates} gatekeepers, {rate} a second, {restarts:?}"
        );
        // And most of it is used: what is held back is held back for a reason.
        if restarts.is_empty() {
            assert_that!(seen.further.len() as f64, ge(0.7 * (0.2 * 90.0 * rate + 6.0 * TERMS.slack)));
        }
    }
}

#[gtest]
fn a_core_that_has_just_started_and_knows_of_few_raises_nobodys_part() {
    // The core was started anew at 20, and two of eight reach it for half a minute; the others go on by what they
    // were told before.
    let told = |n: usize, now: f64| match now {
        now if n >= 2 || !(20.0..50.0).contains(&now) => 8,
        now if now < 22.0 => 0,
        _ => 2,
    };
    expect_that!(play(8, 5.0, &[], told).excess(), le(0.0));
}
