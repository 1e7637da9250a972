//! The quota counter against the edge nodes' admission, over seeded runs with faults: incarnations that end, leaders
//! that are lost, partitions, delayed answers. The rate bound is counted exactly.

use crate::control_plane::quota_counter::{EdgeIdentity, PreviousLeaders, QuotaCounter, QuotaCounterConfig};
use crate::data_plane::quota_admission::{self, AdmissionDecision, GrantState, QuotaAdmission};
use crate::protocol::ShareCeilings;
use crate::protocol::{TenantGrant, TenantLimit, TenantUsage};
use googletest::prelude::*;
use std::collections::VecDeque;
use std::sync::Arc;

const CONFIG: QuotaCounterConfig =
    QuotaCounterConfig { contact_timeout_secs: 0.7, share_expiry_secs: 15.0, sync_interval_secs: 0.25 };
const HORIZON_SECS: f64 = 5.0;
const STEP_SECS: f64 = 0.005;
const FAULTS_UNTIL_SECS: f64 = 24.0;
const CALM_SECS: f64 = 7.0;

/// The slack that the rule allows beyond rate x horizon + burst: a part of that, and units.
const SLACK: (f64, f64) = (0.1, 20.0);

/// The admission of the edge node of this number, with this slack.
fn quota_with((overshoot, margin): (f64, f64), edge_node: usize) -> QuotaAdmission {
    let QuotaCounterConfig { sync_interval_secs, contact_timeout_secs, share_expiry_secs } = CONFIG;
    let config = quota_admission::QuotaAdmissionConfig {
        sync_interval_secs,
        sync_timeout_secs: contact_timeout_secs,
        share_lifetime_secs: share_expiry_secs,
        overshoot_ratio: overshoot,
        overshoot_requests: margin,
        horizon_secs: HORIZON_SECS,
    };
    let mut quota = QuotaAdmission::new(config, &format!("edge-{edge_node}"));
    quota.set_edge_count(8);
    quota
}

fn quota() -> QuotaAdmission {
    quota_with(SLACK, 0)
}

fn edge(node: &str, incarnation: u64) -> EdgeIdentity<'_> {
    EdgeIdentity { node, incarnation }
}

fn usage(tenant: &str, charged: i64, demand: f32, share: f32, left: u32, waits: u32) -> TenantUsage {
    TenantUsage {
        tenant: tenant.into(),
        charged,
        demand,
        standing_share: share,
        unused_grant: left,
        waiting: waits,
    }
}

struct EdgeModel {
    quota: QuotaAdmission,
    incarnation: u64,
    down_until: f64,
    unreachable_until: f64,
    /// Only answers to it are lost until then.
    answers_lost_until: f64,
    waiting: Vec<(f64, u64)>,
    /// Answers on their way: arrival, request id, term, grants.
    answers: VecDeque<(f64, u64, u64, Vec<TenantGrant>)>,
    demand: f64,
}

/// Edge nodes and one quota leader after another; one tenant.
struct ClusterModel {
    now: f64,
    rng: fastrand::Rng,
    limit: TenantLimit,
    /// As the edge nodes know it.
    slack: (f64, f64),
    tenant: Arc<str>,
    edges: Vec<EdgeModel>,
    /// Syncs on their way: arrival, edge node, incarnation, request id, seen term, usage.
    syncs: Vec<(f64, usize, u64, u64, u64, Vec<TenantUsage>)>,
    leader: Option<QuotaCounter>,
    term: u64,
    next_leader_at: f64,
    /// The record that a majority has stored; the one on its way and when it is stored; when the last was proposed.
    committed: ShareCeilings,
    uncommitted: Option<(f64, ShareCeilings)>,
    proposed_at: f64,
    admitted_at: Vec<f64>,
    asked: Vec<f64>,
}

impl ClusterModel {
    fn new(seed: u64, slack: (f64, f64)) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let rate = [6.0, 20.0, 60.0, 122.0][rng.usize(0..4)];
        let edges = 2 + rng.usize(0..7);
        let edge_node = |n| EdgeModel {
            quota: quota_with(slack, n),
            incarnation: n as u64,
            down_until: 0.0,
            unreachable_until: 0.0,
            answers_lost_until: 0.0,
            waiting: Vec::new(),
            answers: VecDeque::new(),
            demand: rate / edges as f64,
        };
        ClusterModel {
            now: 0.0,
            limit: TenantLimit { rate, burst: (rate * [0.5, 1.0, 2.0][rng.usize(0..3)]).max(1.0) },
            slack,
            tenant: "t".into(),
            edges: (0..edges).map(edge_node).collect(),
            syncs: Vec::new(),
            leader: None,
            term: 0,
            next_leader_at: 0.0,
            committed: ShareCeilings::default(),
            uncommitted: None,
            proposed_at: 0.0,
            admitted_at: Vec::new(),
            asked: Vec::new(),
            rng,
        }
    }

    /// One way over the network, in seconds; now and then much longer during the faults.
    fn delay(&mut self) -> f64 {
        let late = self.now < FAULTS_UNTIL_SECS && self.rng.f64() < 0.02;
        self.rng.f64() * if late { 0.5 } else { 0.01 }
    }

    fn lose_leader(&mut self, gap: f64) {
        // Its last record is committed or not.
        let last = self.uncommitted.take().map(|w| w.1);
        if let Some(last) = last.filter(|_| self.rng.bool()) {
            self.committed.apply(&last);
        }
        (self.leader, self.next_leader_at) = (None, self.now + gap);
    }

    fn kill(&mut self, n: usize, down: f64) {
        let edge_node = &mut self.edges[n];
        (edge_node.incarnation, edge_node.quota, edge_node.down_until) =
            (edge_node.incarnation + 100, quota_with(self.slack, n), self.now + down);
        edge_node.waiting.clear();
        edge_node.answers.clear();
    }

    /// One random fault.
    fn inject_fault(&mut self) {
        let secs = 0.1 + 4.0 * self.rng.f64() * self.rng.f64();
        let n = self.rng.usize(0..self.edges.len());
        match self.rng.usize(0..9) {
            0 | 1 => self.lose_leader(0.2 + 0.5 * secs),
            2 => self.kill(n, secs),
            3 => {
                let part = self.rng.f64();
                for n in 0..self.edges.len() {
                    if self.rng.f64() < part {
                        self.kill(n, 0.3 + secs / 2.0);
                    }
                }
            }
            4 => self.edges[n].unreachable_until = self.now + 3.0 * secs,
            5 => {
                let part = self.rng.f64();
                for n in 0..self.edges.len() {
                    if self.rng.f64() < part {
                        self.edges[n].unreachable_until = self.now + secs;
                    }
                }
            }
            6 => self.edges[n].answers_lost_until = self.now + secs.min(1.6),
            _ => {
                let total = self.limit.rate * 3.0 * self.rng.f64();
                let weights: Vec<f64> = self.edges.iter().map(|_| self.rng.f64().powi(3)).collect();
                let all: f64 = weights.iter().sum::<f64>().max(0.01);
                for (edge_node, weight) in self.edges.iter_mut().zip(weights) {
                    edge_node.demand = total * weight / all;
                }
            }
        }
    }

    fn run_leader(&mut self) {
        let (now, limit) = (self.now, self.limit);
        if self.leader.is_none() && now >= self.next_leader_at {
            self.term += 1;
            self.leader =
                Some(QuotaCounter::new(CONFIG, self.term, now, PreviousLeaders::Recorded(&self.committed)));
            self.proposed_at = -1.0;
        }
        let limits = |_: &str| Some(limit);
        let Some(leader) = &mut self.leader else { return };
        if let Some((_, record)) = self.uncommitted.take_if(|w| w.0 <= now) {
            leader.record_committed(record.sequence);
            self.committed.apply(&record);
        }
        leader.tick(now, &limits);
        if self.uncommitted.is_none()
            && now - self.proposed_at >= if leader.has_unrecorded_changes() { 0.3 } else { 5.0 }
        {
            (self.proposed_at, self.uncommitted) =
                (now, Some((now + 0.005 + 0.3 * self.rng.f64() * self.rng.f64(), leader.next_record())));
        }
    }

    fn deliver(&mut self) {
        let (now, limit) = (self.now, self.limit);
        let limits = |_: &str| Some(limit);
        let (due, rest) = std::mem::take(&mut self.syncs).into_iter().partition(|s| s.0 <= now);
        self.syncs = rest;
        let due: Vec<(f64, usize, u64, u64, u64, Vec<TenantUsage>)> = due;
        for (_, n, incarnation, number, term, charges) in due {
            if self.edges[n].unreachable_until > now || self.edges[n].incarnation != incarnation {
                continue;
            }
            let name = format!("g{n}");
            let Some(leader) = &mut self.leader else { continue };
            let Some(totals) = leader.sync(now, edge(&name, incarnation), term, &charges, &limits) else {
                continue;
            };
            let term = leader.term();
            let back = now + self.delay();
            if self.edges[n].answers_lost_until <= now {
                self.edges[n].answers.push_back((back, number, term, totals));
            }
        }
    }

    fn serve(&mut self, n: usize) {
        let (now, limit, tenant) = (self.now, self.limit, Arc::clone(&self.tenant));
        if self.edges[n].down_until > now {
            return;
        }
        let out = self.delay();
        let edge_node = &mut self.edges[n];
        let mut answered = 0;
        while let Some((_, number, term, totals)) = edge_node.answers.pop_front_if(|a| a.0 <= now) {
            if edge_node.unreachable_until <= now && edge_node.quota.on_grants(now, number, term, &totals) {
                answered = number;
            }
        }
        let mut decide: Vec<GrantState> = Vec::new();
        edge_node.waiting.retain(|(until, number)| {
            let over = *number <= answered || *until <= now;
            decide.extend(over.then_some(if *number <= answered {
                GrantState::Answered
            } else {
                GrantState::TimedOut
            }));
            !over
        });
        for _ in &decide {
            edge_node.quota.grant_wait_ended(&tenant);
        }
        let mut arrivals = edge_node.demand * STEP_SECS;
        while arrivals > 0.0 {
            if self.rng.f64() < arrivals.min(1.0) {
                decide.push(GrantState::NotRequested);
                self.asked.push(now);
            }
            arrivals -= 1.0;
        }
        for asked in decide {
            match edge_node.quota.admit(now, &tenant, &limit, asked) {
                AdmissionDecision::Admit => self.admitted_at.push(now),
                AdmissionDecision::WaitForGrant => {
                    edge_node.waiting.push((now + 0.06, edge_node.quota.next_sync_id()))
                }
                AdmissionDecision::Reject(_) => {}
            }
        }
        if let Some((number, charges)) = edge_node.quota.begin_sync(now) {
            if edge_node.unreachable_until <= now {
                self.syncs.push((
                    now + out,
                    n,
                    edge_node.incarnation,
                    number,
                    edge_node.quota.term(),
                    charges,
                ));
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP_SECS;
        self.run_leader();
        self.deliver();
        for n in 0..self.edges.len() {
            self.serve(n);
        }
    }

    fn run_faults(&mut self) {
        let mut next = 3.0;
        while self.now < FAULTS_UNTIL_SECS {
            self.step();
            if self.now >= next {
                self.inject_fault();
                next = self.now + 2.5 * self.rng.f64() * self.rng.f64();
            }
        }
    }

    /// The most units admitted in any horizon, over rate x horizon + burst and this part of the slack.
    fn used(&self, part: f64) -> f64 {
        let quota = self.limit.rate * HORIZON_SECS + self.limit.burst;
        let most = quota + part * (SLACK.0 * quota + SLACK.1);
        let within =
            |(i, at): (usize, &f64)| self.admitted_at[i..].partition_point(|p| *p < at + HORIZON_SECS);
        let worst = self.admitted_at.iter().enumerate().map(within).max().unwrap_or(0);
        worst as f64 / most
    }
}

/// Runs with faults; at the end all nodes are back. Returns the part of the bound that was used at most, and the part
/// of the demand within the quota that is served after the faults.
fn run_seed(seed: u64) -> (f64, f64, TenantLimit, usize) {
    let mut model = ClusterModel::new(seed, SLACK);
    model.run_faults();
    let (now, all) = (model.now, model.edges.len() as f64);
    model.next_leader_at = model.next_leader_at.min(now);
    for edge_node in &mut model.edges {
        (edge_node.unreachable_until, edge_node.answers_lost_until) = (now, now);
        edge_node.down_until = edge_node.down_until.min(now);
        edge_node.demand = 0.7 * model.limit.rate / all;
    }
    while model.now < FAULTS_UNTIL_SECS + CALM_SECS {
        model.step();
    }
    let from = FAULTS_UNTIL_SECS + 2.0;
    let admitted = model.admitted_at.iter().filter(|t| **t >= from).count() as f64;
    // What the quota leaves: what one token bucket, empty when the faults end, would admit.
    let (mut bucket, mut last, mut owed) = (0.0, FAULTS_UNTIL_SECS, 0.0);
    for at in model.asked.iter().filter(|t| **t >= FAULTS_UNTIL_SECS) {
        bucket = (bucket + model.limit.rate * (at - last)).min(model.limit.burst.max(1.0));
        last = *at;
        if bucket >= 1.0 {
            bucket -= 1.0;
            owed += f64::from(u8::from(*at >= from));
        }
    }
    (model.used(1.0), admitted / owed, model.limit, model.edges.len())
}

/// The bound holds over all edge nodes in any span of a horizon, and two seconds after the last fault tenants get what
/// their quota leaves. Faults: incarnations killed, alone and together; leaders lost with or without their last record;
/// edge nodes partitioned, alone and together; answers lost and delayed. Bursts are three units and more.
#[gtest]
fn rate_bound_holds_and_service_recovers_after_faults() {
    let (mut most, mut least) = (0.0f64, 1.0f64);
    for seed in 0..400 {
        let (used, served, limit, edges) = run_seed(seed);
        (most, least) = (most.max(used), least.min(served));
        expect_that!(used, le(1.0), "seed {seed}");
        expect_that!(served, ge(0.9), "seed {seed}: {limit:?}, {edges} edge nodes");
    }
    println!("most used {most}, least served {least}");
}

/// One part of the slack by itself: edge nodes that save nothing up, and have no allowance for tenants without a share,
/// exceed rate x horizon + burst only by what is on its way, a fifth of the slack.
#[gtest]
fn in_flight_grants_stay_within_their_part_of_the_slack() {
    let mut most = 0.0f64;
    for seed in 400..520 {
        let mut model = ClusterModel::new(seed, (0.0, 0.0));
        model.run_faults();
        let used = model.used(0.2);
        most = most.max(used);
        expect_that!(used, le(1.0), "seed {seed}: {:?}, {} edge nodes", model.limit, model.edges.len());
    }
    println!("most used {most}");
}

fn limits(_: &str) -> Option<TenantLimit> {
    Some(TenantLimit { rate: 100.0, burst: 100.0 })
}

/// Syncs four edge nodes with a demand of 25 a second each until their shares are recorded.
fn sync_until_shares_recorded(counter: &mut QuotaCounter, from: f64) -> (Vec<TenantGrant>, ShareCeilings) {
    let (mut last, mut record) = (Vec::new(), ShareCeilings::default());
    for round in 0..8 {
        let now = from + 0.25 * f64::from(round);
        let before = std::mem::take(&mut last);
        for n in 0..4 {
            let share = before.get(n).map_or(0.0, |t: &TenantGrant| t.standing_share);
            let charges = [usage("t", 0, 25.0, share, 0, 0)];
            let term = if round == 0 { 0 } else { counter.term() };
            let grants = counter.sync(now, edge(&format!("g{n}"), 7), term, &charges, &limits);
            last.extend(grants.expect("held"));
        }
        let next = counter.next_record();
        counter.record_committed(next.sequence);
        record.apply(&next);
    }
    (last, record)
}

/// Units that an edge node with enough waiting requests is granted at `now`.
fn units_available(counter: &QuotaCounter, now: f64) -> f64 {
    let asked =
        counter.clone().sync(now, edge("probe", 1), 0, &[usage("t", 0, 1000.0, 0.0, 0, 1000)], &limits);
    asked.expect("held")[0].charge_limit as f64
}

#[gtest]
fn delayed_answer_of_an_earlier_term_is_ignored() {
    let (mut quota, tenant) = (quota(), Arc::<str>::from("t"));
    let limit = limits("t").expect("limits");
    let total = |until, share| {
        vec![TenantGrant {
            tenant: "t".into(),
            window_total: 0.0,
            charge_limit: until,
            standing_share: share,
            retry_after_ms: 0,
        }]
    };
    // No leader has answered yet.
    expect_that!(
        quota.admit(1.0, &tenant, &limit, GrantState::NotRequested),
        eq(AdmissionDecision::Reject(0.25))
    );
    let (first, _) = quota.begin_sync(1.0).expect("a sync");
    expect_that!(quota.on_grants(1.01, first, 5, &total(1, 2.0)), eq(true));
    expect_that!(quota.admit(1.02, &tenant, &limit, GrantState::Answered), eq(AdmissionDecision::Admit));
    let (second, _) = quota.begin_sync(1.3).expect("a sync");
    // The same request id, but from an earlier leader: grant and share are ignored, and it is no contact.
    expect_that!(quota.on_grants(1.31, second, 4, &total(500, 90.0)), eq(false));
    expect_that!(quota.term(), eq(5));
    expect_that!(
        quota.admit(1.32, &tenant, &limit, GrantState::Answered),
        eq(AdmissionDecision::Reject(0.25))
    );
    expect_that!(quota.is_disconnected(1.75), eq(true));
    let (_, charges) = quota.begin_sync(2.1).expect("a sync");
    expect_that!((charges[0].charged, charges[0].standing_share, charges[0].unused_grant), eq((1, 2.0, 0)));
    // What a newer leader does not confirm is void.
    let (third, _) = quota.begin_sync(3.0).expect("a sync");
    expect_that!(quota.on_grants(3.01, third, 6, &[]), eq(true));
    let (_, charges) = quota.begin_sync(3.3).expect("a sync");
    expect_that!((charges[0].standing_share, charges[0].unused_grant), eq((0.0, 0)));
}

#[gtest]
fn leader_does_not_answer_a_sync_with_a_later_term() {
    let mut counter = QuotaCounter::new(CONFIG, 3, 0.0, PreviousLeaders::Recorded(&ShareCeilings::default()));
    expect_that!(counter.sync(1.0, edge("g", 1), 4, &[], &limits), none());
    expect_that!(counter.sync(1.0, edge("g", 1), 3, &[], &limits), some(eq(&Vec::new())));
}

#[gtest]
fn share_rises_only_up_to_the_committed_ceiling() {
    let mut counter = QuotaCounter::new(CONFIG, 1, 0.0, PreviousLeaders::Recorded(&ShareCeilings::default()));
    let share = |counter: &mut QuotaCounter, now, incarnation| {
        let charges = [usage("t", 0, 20.0, 0.0, 0, 0)];
        counter.sync(now, edge("g", incarnation), 0, &charges, &limits).expect("held")[0].standing_share
    };
    expect_that!(share(&mut counter, 1.0, 1), eq(0.0));
    let record = counter.next_record();
    expect_that!(share(&mut counter, 1.2, 1), eq(0.0));
    counter.record_committed(record.sequence);
    let risen = share(&mut counter, 1.4, 1);
    expect_that!(risen, gt(50.0));
    expect_that!(record.edges[0].ceilings[0].ceiling, ge(risen));
    // Another incarnation starts without a share.
    expect_that!(share(&mut counter, 1.6, 2), eq(0.0));
}

#[gtest]
fn shares_of_ended_incarnations_are_freed_at_once() {
    let mut first = QuotaCounter::new(CONFIG, 1, 0.0, PreviousLeaders::Recorded(&ShareCeilings::default()));
    let (totals, record) = sync_until_shares_recorded(&mut first, 0.0);
    let shares: f32 = totals.iter().map(|t| t.standing_share).sum();
    expect_that!(shares, all!(gt(90.0), le(100.0)));
    // All four may be spending out of contact with the next leader: nothing is left for others.
    let mut next = QuotaCounter::new(CONFIG, 2, 10.0, PreviousLeaders::Recorded(&record));
    expect_that!(units_available(&next, 12.0), le(5.0));
    // They restart, one after the other.
    for n in 0..4 {
        next.sync(12.0, edge(&format!("g{n}"), 8), 0, &[], &limits);
    }
    expect_that!(units_available(&next, 13.0), ge(99.0));
    // The shares of one that does not restart expire.
    let mut other = QuotaCounter::new(CONFIG, 2, 10.0, PreviousLeaders::Recorded(&record));
    for n in 0..3 {
        other.sync(12.0, edge(&format!("g{n}"), 8), 0, &[], &limits);
    }
    other.tick(26.0, &limits);
    expect_that!(units_available(&other, 27.0), ge(99.0));
}

#[gtest]
fn leader_without_record_grants_only_reported_shares_until_expiry() {
    let mut first = QuotaCounter::new(CONFIG, 1, 0.0, PreviousLeaders::Recorded(&ShareCeilings::default()));
    let (totals, _) = sync_until_shares_recorded(&mut first, 0.0);
    let mut next = QuotaCounter::new(CONFIG, 2, 10.0, PreviousLeaders::Unrecorded);
    expect_that!(units_available(&next, 14.0), eq(0.0));
    // Three of the four report their shares, and two of these end: what the fourth holds is still reserved.
    for (n, total) in totals.iter().enumerate().take(3) {
        let charges = [usage("t", 0, 0.0, total.standing_share, 0, 0)];
        next.sync(14.0, edge(&format!("g{n}"), 7), 1, &charges, &limits);
    }
    for n in 0..2 {
        next.sync(14.1, edge(&format!("g{n}"), 8), 0, &[], &limits);
    }
    let mut probed = next.clone();
    let got: f64 = (0..10).map(|k| units_available(&probed, 14.2 + 0.05 * f64::from(k))).fold(0.0, f64::max);
    expect_that!(got, all!(gt(10.0), le(60.0)));
    probed.tick(25.1, &limits);
    expect_that!(units_available(&probed, 26.5), ge(99.0));
}

#[gtest]
fn possible_spending_of_a_silent_incarnation_is_reserved_once() {
    let mut counter = QuotaCounter::new(CONFIG, 1, 0.0, PreviousLeaders::Recorded(&ShareCeilings::default()));
    sync_until_shares_recorded(&mut counter, 0.0);
    let before = units_available(&counter, 1.76);
    // Silent for two seconds: what the shares allow in these is reserved, and nothing for the time after.
    let silent = units_available(&counter, 3.75);
    expect_that!(silent, le(before + 100.0));
    for n in 0..4 {
        counter.sync(3.75, edge(&format!("g{n}"), 8), 0, &[], &limits);
    }
    expect_that!(units_available(&counter, 4.75), ge(99.0));
}

/// Units granted to an edge node that has one request waiting, sync after sync at the same time.
fn units_granted_at_once(counter: &mut QuotaCounter, now: f64) -> i64 {
    let mut charged = 0;
    loop {
        let charges = [usage("t", charged, 0.0, 0.0, 0, 1)];
        let totals = counter.sync(now, edge("g", 1), 0, &charges, &limits).expect("held");
        if totals[0].charge_limit == charged {
            return charged;
        }
        charged += 1;
    }
}

#[gtest]
fn waiting_request_at_the_start_of_a_leader_is_within_the_quota() {
    // The first leader: the whole burst is available, and no more.
    let mut first = QuotaCounter::new(CONFIG, 1, 10.0, PreviousLeaders::None);
    let burst = limits("t").expect("limited").burst as i64;
    expect_that!(units_granted_at_once(&mut first, 10.0), eq(burst));
    // A later one cannot know what is left; one unit admits a tenant that is seldom used.
    let record = ShareCeilings::default();
    let mut later = QuotaCounter::new(CONFIG, 2, 10.0, PreviousLeaders::Recorded(&record));
    expect_that!(units_granted_at_once(&mut later, 10.0), eq(1));
    // While there may be unknown shares, nothing is.
    let mut unrecorded = QuotaCounter::new(CONFIG, 2, 10.0, PreviousLeaders::Unrecorded);
    expect_that!(units_granted_at_once(&mut unrecorded, 10.0), eq(0));
}
