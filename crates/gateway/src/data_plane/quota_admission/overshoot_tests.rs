//! Tests of the overshoot of a quota at edge nodes that are disconnected from the quota leader. Each source of overshoot is
//! tested by itself: tokens accumulated by standing shares, and the allowance of tenants without a share. Overshoot through
//! messages in flight is tested in `control_plane/quota_counter/tests.rs`.

use crate::data_plane::quota_admission::{
    AdmissionDecision, GrantState, QuotaAdmission, QuotaAdmissionConfig,
};
use crate::protocol::TenantLimit;
use crate::protocol::{TenantGrant, TenantUsage};
use googletest::prelude::*;
use std::sync::Arc;

const CONFIG: QuotaAdmissionConfig = QuotaAdmissionConfig {
    sync_interval_secs: 0.25,
    sync_timeout_secs: 0.7,
    share_lifetime_secs: 15.0,
    overshoot_ratio: 0.1,
    overshoot_requests: 20.0,
    horizon_secs: 5.0,
};
const LIMIT: TenantLimit = TenantLimit { rate: 100.0, burst: 100.0 };
/// Time step of the simulation, in seconds.
const STEP_SECS: f64 = 0.02;

/// Number of units that may be admitted in a horizon beyond rate × horizon + burst.
fn allowed_overshoot(limit: &TenantLimit) -> f64 {
    CONFIG.overshoot_ratio * (limit.rate * CONFIG.horizon_secs + limit.burst) + CONFIG.overshoot_requests
}

/// Creates edge nodes that know how many there are.
fn edge_nodes(count: usize) -> Vec<QuotaAdmission> {
    let edge_node = |n| QuotaAdmission::new(CONFIG, &format!("edge-{n}"));
    let mut nodes: Vec<QuotaAdmission> = (0..count).map(edge_node).collect();
    nodes.iter_mut().for_each(|node| node.set_edge_count(count as u32));
    nodes
}

/// Simulates 120 s in which all edge nodes together disconnect and reconnect repeatedly, at random times; at random times
/// demand is far above the quota. Returns the largest number of units admitted in any horizon beyond the rate of the shares.
fn max_overshoot(seed: u64, limit: &TenantLimit, shares: &[f64]) -> f64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let tenant: Arc<str> = "t".into();
    let mut nodes = edge_nodes(shares.len());
    let (mut now, mut is_connected, mut next_change, mut is_overloaded) =
        (0.0, true, 30.0 * rng.f64(), false);
    // For each step: units admitted, less the units that the shares allow while they apply.
    let mut overshoot_by_step: Vec<f64> = Vec::new();
    let mut last_contact = 0.0;
    while now < 120.0 {
        now += STEP_SECS;
        if now >= next_change {
            is_connected = !is_connected;
            next_change = now
                + if is_connected { 0.3 + 20.0 * rng.f64().powi(3) } else { 0.8 + 12.0 * rng.f64().powi(2) };
        }
        is_overloaded = if rng.f64() < 0.02 { rng.bool() } else { is_overloaded };
        let mut admitted = 0.0;
        for (node, share) in nodes.iter_mut().zip(shares) {
            if is_overloaded && node.is_disconnected(now) {
                while node.admit(now, &tenant, limit, GrantState::NotRequested) == AdmissionDecision::Admit {
                    admitted += 1.0;
                }
            } else if rng.f64() < 0.05 {
                // The node learns of the tenant's demand; nothing is granted.
                admitted += f64::from(u8::from(
                    node.admit(now, &tenant, limit, GrantState::TimedOut) == AdmissionDecision::Admit,
                ));
            }
            if let Some((sync_id, usage)) = node.begin_sync(now).filter(|_| is_connected) {
                let grant = |u: &TenantUsage| TenantGrant {
                    tenant: u.tenant.clone(),
                    window_total: 0.0,
                    charge_limit: u.charged,
                    standing_share: *share as f32,
                    retry_after_ms: 0,
                };
                node.on_grants(now, sync_id, 1, &usage.iter().map(grant).collect::<Vec<_>>());
                last_contact = now;
            }
        }
        let do_shares_apply = now - last_contact > CONFIG.sync_timeout_secs;
        let rate: f64 = if do_shares_apply { shares.iter().sum() } else { 0.0 };
        overshoot_by_step.push(admitted - rate * STEP_SECS);
    }
    let steps_per_horizon = (CONFIG.horizon_secs / STEP_SECS) as usize;
    let mut highest: f64 = 0.0;
    for start in 0..overshoot_by_step.len() {
        let mut sum = 0.0;
        for overshoot in overshoot_by_step[start..].iter().take(steps_per_horizon) {
            sum += overshoot;
            highest = highest.max(sum);
        }
    }
    highest
}

/// Shares accumulate up to 0.3 of the allowed overshoot, which takes three horizons to accrue.
#[gtest]
fn tokens_of_standing_shares_stay_within_their_part_of_the_overshoot() {
    for seed in 0..12 {
        let overshoot = max_overshoot(seed, &LIMIT, &[40.0, 30.0, 20.0, 10.0]);
        expect_that!(
            overshoot,
            all!(le(0.4 * allowed_overshoot(&LIMIT) + 1.0), ge(0.2 * allowed_overshoot(&LIMIT))),
            "seed {seed}"
        );
    }
}

/// Tenants without a share may spend 0.2 of the allowed overshoot in each horizon, and so up to twice that in a horizon that
/// starts at an arbitrary time.
#[gtest]
fn tenants_without_a_share_stay_within_their_part_of_the_overshoot() {
    for seed in 20..32 {
        let overshoot = max_overshoot(seed, &LIMIT, &[0.0; 5]);
        expect_that!(
            overshoot,
            all!(le(0.4 * allowed_overshoot(&LIMIT)), ge(0.15 * allowed_overshoot(&LIMIT))),
            "seed {seed}"
        );
    }
}

/// Guards against overshoot with many edge nodes and a small quota: one token at each of 87 nodes would allow 87 requests at
/// once, while the allowed overshoot is 26. Time slots spread the tokens over time, with a random deviation of a few tokens.
#[gtest]
fn shares_below_one_token_do_not_exceed_the_overshoot_in_total() {
    let limit = TenantLimit { rate: 10.0, burst: 10.0 };
    for seed in 40..44 {
        for share in [9.5 / 87.0, 0.0] {
            let overshoot = max_overshoot(seed, &limit, &[share; 87]);
            println!("{seed} {share} {overshoot} of {}", allowed_overshoot(&limit));
            expect_that!(overshoot, le(0.7 * allowed_overshoot(&limit)), "seed {seed}, {share} each");
        }
    }
}

/// Guards against rejecting all requests of tenants with rare requests: some requests are admitted as soon as the quota
/// leader is lost, not only once an edge node has accumulated one token.
#[gtest]
fn shares_below_one_token_admit_requests_at_once() {
    let limit = TenantLimit { rate: 2.5, burst: 2.5 };
    let mut admitted = 0;
    for n in 0..100 {
        let tenant: Arc<str> = format!("t{n}").into();
        let mut nodes = edge_nodes(11);
        let mut now = 0.0;
        while now < 60.0 {
            now += 0.25;
            for node in &mut nodes {
                node.admit(now, &tenant, &limit, GrantState::NotRequested);
                if let Some((sync_id, usage)) = node.begin_sync(now) {
                    let grant = |u: &TenantUsage| TenantGrant {
                        tenant: u.tenant.clone(),
                        window_total: 0.0,
                        charge_limit: u.charged,
                        standing_share: 2.3 / 11.0,
                        retry_after_ms: 0,
                    };
                    node.on_grants(now, sync_id, 1, &usage.iter().map(grant).collect::<Vec<_>>());
                }
            }
        }
        // One request at one edge node, just after the quota leader is lost.
        let node = &mut nodes[n % 11];
        admitted += usize::from(
            node.admit(now + 1.0, &tenant, &limit, GrantState::NotRequested) == AdmissionDecision::Admit,
        );
    }
    expect_that!(admitted, ge(40));
}
