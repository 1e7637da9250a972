//! Compares the incrementally updated state of the quota counter with the recomputed state: the totals over edge nodes,
//! and the record of ceilings that the core folds from changes. The seeded runs contain incarnations that end, periods
//! without syncs, changes of leader and lost responses.

use crate::control_plane::quota_counter::{EdgeIdentity, PreviousLeaders, QuotaCounter, QuotaCounterConfig};
use crate::protocol::ShareCeilings;
use crate::protocol::{TenantLimit, TenantUsage};
use googletest::prelude::*;
use std::collections::BTreeMap;

const CONFIG: QuotaCounterConfig =
    QuotaCounterConfig { contact_timeout_secs: 0.7, share_expiry_secs: 15.0, sync_interval_secs: 0.25 };
const TENANTS: [&str; 4] = ["ann", "bob", "cem", "dan"];

fn limits(name: &str) -> Option<TenantLimit> {
    let rate = 5.0 * (1 + TENANTS.iter().position(|t| *t == name)?) as f64;
    Some(TenantLimit { rate, burst: 2.0 * rate })
}

/// What an edge node holds of a tenant's quota, by the last response.
#[derive(Clone, Copy, Default)]
struct ReceivedGrant {
    charged: i64,
    charge_limit: i64,
    standing_share: f32,
}

#[derive(Default)]
struct EdgeModel {
    incarnation: u64,
    term: u64,
    grants: BTreeMap<&'static str, ReceivedGrant>,
}

struct RandomRun {
    rng: fastrand::Rng,
    now: f64,
    counter: QuotaCounter,
    edges: Vec<EdgeModel>,
    committed: ShareCeilings,
    uncommitted: Option<ShareCeilings>,
}

impl RandomRun {
    fn new(seed: u64) -> Self {
        let committed = ShareCeilings::default();
        let counter = QuotaCounter::new(CONFIG, 1, 0.0, PreviousLeaders::Recorded(&committed));
        let edges = (0..6).map(|_| EdgeModel::default()).collect();
        RandomRun {
            rng: fastrand::Rng::with_seed(seed),
            now: 0.0,
            counter,
            edges,
            committed,
            uncommitted: None,
        }
    }

    fn sync(&mut self, n: usize) {
        let rng = &mut self.rng;
        let edge = &mut self.edges[n];
        let mut usage = Vec::new();
        for tenant in TENANTS {
            if rng.f64() < 0.4 {
                let grant = edge.grants.entry(tenant).or_default();
                let max_charge = (grant.charge_limit - grant.charged).max(0) + i64::from(rng.u8(..) < 9);
                grant.charged += rng.i64(0..=max_charge);
                usage.push(TenantUsage {
                    tenant: tenant.into(),
                    charged: grant.charged,
                    demand: if rng.u8(..) < 40 { 0.0 } else { 9.0 * rng.f32() * rng.f32() },
                    standing_share: grant.standing_share,
                    unused_grant: (grant.charge_limit - grant.charged).max(0) as u32,
                    waiting: u32::from(rng.u8(..) < 80),
                });
            }
        }
        let name = format!("g{n}");
        let grants = self.counter.sync(
            self.now,
            EdgeIdentity { node: &name, incarnation: edge.incarnation },
            edge.term,
            &usage,
            &limits,
        );
        let response_arrives = rng.u8(..) < 230;
        if let Some(grants) = grants.filter(|_| response_arrives) {
            if edge.term < self.counter.term() {
                edge.grants.values_mut().for_each(|g| (g.charge_limit, g.standing_share) = (g.charged, 0.0));
                edge.term = self.counter.term();
            }
            for (received, tenant) in
                grants.iter().filter_map(|g| Some((g, TENANTS.iter().find(|n| **n == g.tenant)?)))
            {
                let grant = edge.grants.entry(tenant).or_default();
                (grant.charge_limit, grant.standing_share) = (received.charge_limit, received.standing_share);
            }
        }
    }

    fn step(&mut self) {
        self.now += 0.3 * self.rng.f64().powi(3);
        let n = self.rng.usize(0..self.edges.len());
        match self.rng.u32(0..400) {
            0 => {
                // The next leader starts from the committed record. The last proposed one may or may not be committed.
                let last = self.uncommitted.take().filter(|_| self.rng.bool());
                last.iter().for_each(|record| self.committed.apply(record));
                let previous = match self.rng.u8(..) < 200 {
                    true => PreviousLeaders::Recorded(&self.committed),
                    false => PreviousLeaders::Unrecorded,
                };
                self.counter = QuotaCounter::new(CONFIG, self.counter.term() + 1, self.now, previous);
            }
            1..=6 => {
                self.edges[n] =
                    EdgeModel { incarnation: self.edges[n].incarnation + 1, ..EdgeModel::default() }
            }
            7 => self.now += 18.0 * self.rng.f64(),
            8..=40 => self.counter.tick(self.now, &limits),
            41..=80 if self.uncommitted.is_none() && self.counter.has_unrecorded_changes() => {
                self.uncommitted = Some(self.counter.next_record());
            }
            81..=160 => {
                if let Some(record) = self.uncommitted.take() {
                    self.counter.record_committed(record.sequence);
                    self.committed.apply(&record);
                }
            }
            _ => self.sync(n),
        }
    }
}

/// Totals that drift from the allocations of the edge nodes would break the rate bound.
#[gtest]
fn incremental_totals_equal_recomputed_totals() {
    for seed in 0..60 {
        let mut run = RandomRun::new(seed);
        for step in 0..1500 {
            run.step();
            assert_eq!(run.counter.totals(), run.counter.recomputed_totals(), "seed {seed}, step {step}");
        }
    }
}

/// The next leader starts from the record that the core folded from changes, so that must equal the full record.
#[gtest]
fn folded_changes_equal_the_full_record() {
    let mut compared = 0;
    for seed in 100..160 {
        let mut run = RandomRun::new(seed);
        for step in 0..1500 {
            run.step();
            if run.uncommitted.is_none() && step % 7 == 0 {
                let mut folded = run.committed.clone();
                let mut counter = run.counter.clone();
                folded.apply(&counter.next_record());
                let full = run.counter.full_record();
                let non_empty_edges = |record: &ShareCeilings| {
                    record.edges.iter().filter(|e| !e.ceilings.is_empty()).cloned().collect::<Vec<_>>()
                };
                assert_eq!(non_empty_edges(&folded), non_empty_edges(&full), "seed {seed}, step {step}");
                compared += usize::from(!non_empty_edges(&full).is_empty());
            }
        }
    }
    expect_that!(compared, gt(1000));
}
