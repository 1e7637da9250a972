//! What the counter keeps by change against the same made anew: sums over gatekeepers, and the record of ceilings that
//! the core folds from changes; by seeds, over lives that end, silences, changes of holder and lost answers.

use crate::control_plane::quota_counter::{PreviousLeaders, QuotaCounter, QuotaCounterConfig};
use crate::protocol::ShareCeilings;
use crate::protocol::{TenantLimit, TenantUsage};
use googletest::prelude::*;
use std::collections::BTreeMap;

const TERMS: QuotaCounterConfig = QuotaCounterConfig { overdue: 0.7, lapse: 15.0, every: 0.25 };
const TENANTS: [&str; 4] = ["ann", "bob", "cem", "dan"];

fn limits(name: &str) -> Option<TenantLimit> {
    let rate = 5.0 * (1 + TENANTS.iter().position(|t| *t == name)?) as f64;
    Some(TenantLimit { rate, burst: 2.0 * rate })
}

/// A gatekeeper's tenant, as it was told.
#[derive(Clone, Copy, Default)]
struct Held {
    charged: i64,
    until: i64,
    share: f32,
}

#[derive(Default)]
struct Gate {
    life: u64,
    term: u64,
    held: BTreeMap<&'static str, Held>,
}

struct Course {
    rng: fastrand::Rng,
    now: f64,
    counter: QuotaCounter,
    gates: Vec<Gate>,
    kept: ShareCeilings,
    writing: Option<ShareCeilings>,
}

impl Course {
    fn new(seed: u64) -> Self {
        let kept = ShareCeilings::default();
        let counter = QuotaCounter::new(TERMS, 1, 0.0, PreviousLeaders::Recorded(&kept));
        let gates = (0..6).map(|_| Gate::default()).collect();
        Course { rng: fastrand::Rng::with_seed(seed), now: 0.0, counter, gates, kept, writing: None }
    }

    fn sync(&mut self, n: usize) {
        let rng = &mut self.rng;
        let gate = &mut self.gates[n];
        let mut charges = Vec::new();
        for tenant in TENANTS {
            if rng.f64() < 0.4 {
                let held = gate.held.entry(tenant).or_default();
                let most = (held.until - held.charged).max(0) + i64::from(rng.u8(..) < 9);
                held.charged += rng.i64(0..=most);
                charges.push(TenantUsage {
                    tenant: tenant.into(),
                    charged: held.charged,
                    demand: if rng.u8(..) < 40 { 0.0 } else { 9.0 * rng.f32() * rng.f32() },
                    standing_share: held.share,
                    unused_grant: (held.until - held.charged).max(0) as u32,
                    waiting: u32::from(rng.u8(..) < 80),
                });
            }
        }
        let caller = format!("g{n}");
        let totals = self.counter.sync(self.now, (&caller, gate.life), gate.term, &charges, &limits);
        let heard = rng.u8(..) < 230;
        if let Some(totals) = totals.filter(|_| heard) {
            if gate.term < self.counter.term() {
                gate.held.values_mut().for_each(|h| (h.until, h.share) = (h.charged, 0.0));
                gate.term = self.counter.term();
            }
            for (told, tenant) in
                totals.iter().filter_map(|t| Some((t, TENANTS.iter().find(|n| **n == t.tenant)?)))
            {
                let held = gate.held.entry(tenant).or_default();
                (held.until, held.share) = (told.charge_limit, told.standing_share);
            }
        }
    }

    fn step(&mut self) {
        self.now += 0.3 * self.rng.f64().powi(3);
        let n = self.rng.usize(0..self.gates.len());
        match self.rng.u32(0..400) {
            0 => {
                // The next holder goes by what is kept; the last record got through or not.
                let last = self.writing.take().filter(|_| self.rng.bool());
                last.iter().for_each(|record| self.kept.apply(record));
                let known = match self.rng.u8(..) < 200 {
                    true => PreviousLeaders::Recorded(&self.kept),
                    false => PreviousLeaders::Unrecorded,
                };
                self.counter = QuotaCounter::new(TERMS, self.counter.term() + 1, self.now, known);
            }
            1..=6 => self.gates[n] = Gate { life: self.gates[n].life + 1, ..Gate::default() },
            7 => self.now += 18.0 * self.rng.f64(),
            8..=40 => self.counter.tick(self.now, &limits),
            41..=80 if self.writing.is_none() && self.counter.changed() => {
                self.writing = Some(self.counter.shares());
            }
            81..=160 => {
                if let Some(record) = self.writing.take() {
                    self.counter.recorded(record.sequence);
                    self.kept.apply(&record);
                }
            }
            _ => self.sync(n),
        }
    }
}

/// Guards the bound against sums that drift from what gatekeepers hold.
#[gtest]
fn kept_sums_equal_walked_ones_after_any_course() {
    for seed in 0..60 {
        let mut course = Course::new(seed);
        for step in 0..1500 {
            course.step();
            assert_eq!(course.counter.sums(), course.counter.walked(), "seed {seed}, step {step}");
        }
    }
}

/// Guards the next holder: what the core folds from changes is what the holder would tell whole.
#[gtest]
fn a_record_folded_from_changes_is_the_whole_one() {
    let mut told = 0;
    for seed in 100..160 {
        let mut course = Course::new(seed);
        for step in 0..1500 {
            course.step();
            if course.writing.is_none() && step % 7 == 0 {
                let mut folded = course.kept.clone();
                let mut changed = course.counter.clone();
                folded.apply(&changed.shares());
                let whole = course.counter.whole();
                let filled = |s: &ShareCeilings| {
                    s.edges.iter().filter(|g| !g.ceilings.is_empty()).cloned().collect::<Vec<_>>()
                };
                assert_eq!(filled(&folded), filled(&whole), "seed {seed}, step {step}");
                told += usize::from(!filled(&whole).is_empty());
            }
        }
    }
    expect_that!(told, gt(1000));
}
