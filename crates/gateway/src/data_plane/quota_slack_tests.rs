//! What a quota may be passed by, each part by itself, at gatekeepers that no counter hears: what standing shares saved up,
//! and what tenants without a share may spend. What is on its way is in `counter_tests.rs`.

use crate::data_plane::quota_admission::{
    AdmissionDecision, GrantState, QuotaAdmission, QuotaAdmissionConfig,
};
use crate::protocol::{TenantGrant, TenantLimit};
use googletest::prelude::*;
use std::sync::Arc;

const TERMS: QuotaAdmissionConfig = QuotaAdmissionConfig {
    sync_interval_secs: 0.25,
    sync_timeout_secs: 0.7,
    share_lifetime_secs: 15.0,
    overshoot_ratio: 0.1,
    overshoot_requests: 20.0,
    horizon_secs: 5.0,
};
const LIMIT: TenantLimit = TenantLimit { rate: 100.0, burst: 100.0 };
const STEP: f64 = 0.02;

/// What the rule allows beyond rate x horizon + burst.
fn slack(limit: &TenantLimit) -> f64 {
    TERMS.overshoot_ratio * (limit.rate * TERMS.horizon_secs + limit.burst) + TERMS.overshoot_requests
}

/// Gatekeepers that know of each other.
fn gatekeepers(n: usize) -> Vec<QuotaAdmission> {
    let gatekeeper = |n| QuotaAdmission::new(TERMS, &format!("edge-{n}"));
    let mut all: Vec<QuotaAdmission> = (0..n).map(gatekeeper).collect();
    all.iter_mut().for_each(|g| g.set_edge_count(n as u32));
    all
}

/// Gatekeepers that are cut off and in touch again at the same moments, again and again, by a seed; clients ask for far
/// more than there is, at times. Returned: the most that passed in any horizon beyond the shares' rate.
fn most_beyond(seed: u64, limit: &TenantLimit, shares: &[f64]) -> f64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let tenant: Arc<str> = "t".into();
    let mut gates = gatekeepers(shares.len());
    let (mut now, mut touch, mut turn, mut hot) = (0.0, true, 30.0 * rng.f64(), false);
    // By step: what passed less what the shares' rate is for while they count.
    let mut beyond: Vec<f64> = Vec::new();
    let mut touched = 0.0;
    while now < 120.0 {
        now += STEP;
        if now >= turn {
            touch = !touch;
            turn = now + if touch { 0.3 + 20.0 * rng.f64().powi(3) } else { 0.8 + 12.0 * rng.f64().powi(2) };
        }
        hot = if rng.f64() < 0.02 { rng.bool() } else { hot };
        let mut passed = 0.0;
        for (gate, share) in gates.iter_mut().zip(shares) {
            if hot && gate.is_disconnected(now) {
                while gate.admit(now, &tenant, limit, GrantState::NotRequested) == AdmissionDecision::Admit {
                    passed += 1.0;
                }
            } else if rng.f64() < 0.05 {
                // Known to the gatekeeper, and nothing granted.
                passed += f64::from(u8::from(
                    gate.admit(now, &tenant, limit, GrantState::TimedOut) == AdmissionDecision::Admit,
                ));
            }
            if let Some((number, charges)) = gate.begin_sync(now).filter(|_| touch) {
                let total = |c: &crate::protocol::TenantUsage| TenantGrant {
                    tenant: c.tenant.clone(),
                    window_total: 0.0,
                    charge_limit: c.charged,
                    standing_share: *share as f32,
                    retry_after_ms: 0,
                };
                gate.on_grants(now, number, 1, &charges.iter().map(total).collect::<Vec<_>>());
                touched = now;
            }
        }
        let counts = now - touched > TERMS.sync_timeout_secs;
        let rate: f64 = if counts { shares.iter().sum() } else { 0.0 };
        beyond.push(passed - rate * STEP);
    }
    let span = (TERMS.horizon_secs / STEP) as usize;
    let mut most: f64 = 0.0;
    for from in 0..beyond.len() {
        let mut sum = 0.0;
        for at in beyond[from..].iter().take(span) {
            sum += at;
            most = most.max(sum);
        }
    }
    most
}

/// Guards the part for what shares save up: 0.3 of the slack at once, filling again in three horizons.
#[gtest]
fn what_standing_shares_saved_up_stays_within_its_part() {
    for seed in 0..12 {
        let beyond = most_beyond(seed, &LIMIT, &[40.0, 30.0, 20.0, 10.0]);
        expect_that!(beyond, all!(le(0.4 * slack(&LIMIT) + 1.0), ge(0.2 * slack(&LIMIT))), "seed {seed}");
    }
}

/// Guards the part for tenants that no share is held for: 0.2 of the slack in each horizon, so twice that in any.
#[gtest]
fn what_tenants_without_a_share_spend_stays_within_its_part() {
    for seed in 20..32 {
        let beyond = most_beyond(seed, &LIMIT, &[0.0; 5]);
        expect_that!(beyond, all!(le(0.4 * slack(&LIMIT)), ge(0.15 * slack(&LIMIT))), "seed {seed}");
    }
}

/// Guards many gatekeepers before a small quota: a whole unit saved up at each would be 87 at once, where all that may be
/// beyond is 26. What turns bring is spread over time; how evenly is chance, a few units.
#[gtest]
fn shares_below_a_unit_save_up_no_more_in_all() {
    let limit = TenantLimit { rate: 10.0, burst: 10.0 };
    for seed in 40..44 {
        for share in [9.5 / 87.0, 0.0] {
            let beyond = most_beyond(seed, &limit, &[share; 87]);
            println!("{seed} {share} {beyond} of {}", slack(&limit));
            expect_that!(beyond, le(0.7 * slack(&limit)), "seed {seed}, {share} each");
        }
    }
}

/// Guards tenants that ask seldom: some of what they ask passes as soon as the counter is gone, not only once each
/// gatekeeper has saved up a whole unit.
#[gtest]
fn shares_below_a_unit_serve_at_once() {
    let limit = TenantLimit { rate: 2.5, burst: 2.5 };
    let mut served = 0;
    for n in 0..100 {
        let tenant: Arc<str> = format!("t{n}").into();
        let mut gates = gatekeepers(11);
        let mut now = 0.0;
        while now < 60.0 {
            now += 0.25;
            for gate in &mut gates {
                gate.admit(now, &tenant, &limit, GrantState::NotRequested);
                if let Some((number, charges)) = gate.begin_sync(now) {
                    let total = |c: &crate::protocol::TenantUsage| TenantGrant {
                        tenant: c.tenant.clone(),
                        window_total: 0.0,
                        charge_limit: c.charged,
                        standing_share: 2.3 / 11.0,
                        retry_after_ms: 0,
                    };
                    gate.on_grants(now, number, 1, &charges.iter().map(total).collect::<Vec<_>>());
                }
            }
        }
        // One request at one gatekeeper, just after the counter is gone.
        let gate = &mut gates[n % 11];
        served += usize::from(
            gate.admit(now + 1.0, &tenant, &limit, GrantState::NotRequested) == AdmissionDecision::Admit,
        );
    }
    expect_that!(served, ge(40));
}
