//! Tests of the quota counter together with the edge nodes' quota admission. Seeded runs inject faults: incarnations
//! that end, lost leaders, partitions, delayed responses. Admitted units are counted exactly against the rate bound.

use crate::control_plane::quota_counter::{EdgeIdentity, PreviousLeaders, QuotaCounter, QuotaCounterConfig};
use crate::data_plane::quota_admission::{self, AdmissionDecision, GrantState, QuotaAdmission};
use crate::protocol::ShareCeilings;
use crate::protocol::{TenantGrant, TenantLimit, TenantUsage};
use googletest::prelude::*;
use std::collections::VecDeque;
use std::sync::Arc;

const CONFIG: QuotaCounterConfig =
    QuotaCounterConfig { contact_timeout_secs: 0.7, share_expiry_secs: 15.0, sync_interval_secs: 0.25 };
/// Length of the intervals over which the rate bound is checked.
const HORIZON_SECS: f64 = 5.0;
/// Simulated time of one step.
const STEP_SECS: f64 = 0.005;
/// Simulated time at which fault injection ends.
const FAULTS_UNTIL_SECS: f64 = 24.0;
/// Simulated time without faults at the end of a run.
const RECOVERY_SECS: f64 = 7.0;

/// Slack that the rate bound allows beyond rate x horizon + burst.
#[derive(Clone, Copy)]
struct Slack {
    /// Fraction of rate x horizon + burst.
    overshoot_ratio: f64,
    /// Number of requests.
    overshoot_requests: f64,
}

const SLACK: Slack = Slack { overshoot_ratio: 0.1, overshoot_requests: 20.0 };
const NO_SLACK: Slack = Slack { overshoot_ratio: 0.0, overshoot_requests: 0.0 };

/// The admission of the edge node with this number, which may use this slack.
fn quota_with(slack: Slack, edge_node: usize) -> QuotaAdmission {
    let QuotaCounterConfig { sync_interval_secs, contact_timeout_secs, share_expiry_secs } = CONFIG;
    let config = quota_admission::QuotaAdmissionConfig {
        sync_interval_secs,
        sync_timeout_secs: contact_timeout_secs,
        share_lifetime_secs: share_expiry_secs,
        overshoot_ratio: slack.overshoot_ratio,
        overshoot_requests: slack.overshoot_requests,
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

fn usage(
    tenant: &str,
    charged: i64,
    demand: f32,
    standing_share: f32,
    unused_grant: u32,
    waiting: u32,
) -> TenantUsage {
    TenantUsage { tenant: tenant.into(), charged, demand, standing_share, unused_grant, waiting }
}

/// A sync on its way to the leader.
struct SyncInFlight {
    arrives_at: f64,
    edge: usize,
    incarnation: u64,
    sync_id: u64,
    seen_term: u64,
    usage: Vec<TenantUsage>,
}

/// A response on its way to an edge node.
struct ResponseInFlight {
    arrives_at: f64,
    sync_id: u64,
    term: u64,
    grants: Vec<TenantGrant>,
}

/// A record of ceilings that is proposed and not committed.
struct ProposedRecord {
    commits_at: f64,
    record: ShareCeilings,
}

/// A request that waits for the response to the sync with this id, or to a later one.
struct WaitingRequest {
    deadline: f64,
    sync_id: u64,
}

struct EdgeModel {
    quota: QuotaAdmission,
    incarnation: u64,
    down_until: f64,
    unreachable_until: f64,
    /// Time until which responses to the edge node are lost, while its syncs arrive.
    responses_lost_until: f64,
    waiting: Vec<WaitingRequest>,
    responses: VecDeque<ResponseInFlight>,
    /// Requests per second.
    demand: f64,
}

/// Edge nodes and a sequence of quota leaders, with one tenant.
struct ClusterModel {
    now: f64,
    rng: fastrand::Rng,
    limit: TenantLimit,
    /// Slack that the edge nodes may use.
    slack: Slack,
    tenant: Arc<str>,
    edges: Vec<EdgeModel>,
    syncs: Vec<SyncInFlight>,
    leader: Option<QuotaCounter>,
    term: u64,
    next_leader_at: f64,
    /// The fold of all committed records.
    committed: ShareCeilings,
    uncommitted: Option<ProposedRecord>,
    /// Time of the last proposal of a record.
    proposed_at: f64,
    /// Times at which requests were admitted.
    admitted_at: Vec<f64>,
    /// Times at which requests arrived.
    arrived_at: Vec<f64>,
}

impl ClusterModel {
    fn new(seed: u64, slack: Slack) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let rate = [6.0, 20.0, 60.0, 122.0][rng.usize(0..4)];
        let edges = 2 + rng.usize(0..7);
        let edge_node = |n| EdgeModel {
            quota: quota_with(slack, n),
            incarnation: n as u64,
            down_until: 0.0,
            unreachable_until: 0.0,
            responses_lost_until: 0.0,
            waiting: Vec::new(),
            responses: VecDeque::new(),
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
            arrived_at: Vec::new(),
            rng,
        }
    }

    /// Draws a one-way network delay in seconds. While faults are injected, some delays are much longer.
    fn draw_delay(&mut self) -> f64 {
        let is_late = self.now < FAULTS_UNTIL_SECS && self.rng.f64() < 0.02;
        self.rng.f64() * if is_late { 0.5 } else { 0.01 }
    }

    fn lose_leader(&mut self, election_secs: f64) {
        // The last record of the lost leader may or may not be committed.
        let last = self.uncommitted.take().map(|proposed| proposed.record);
        if let Some(last) = last.filter(|_| self.rng.bool()) {
            self.committed.apply(&last);
        }
        (self.leader, self.next_leader_at) = (None, self.now + election_secs);
    }

    fn kill(&mut self, n: usize, down_secs: f64) {
        let edge_node = &mut self.edges[n];
        (edge_node.incarnation, edge_node.quota, edge_node.down_until) =
            (edge_node.incarnation + 100, quota_with(self.slack, n), self.now + down_secs);
        edge_node.waiting.clear();
        edge_node.responses.clear();
    }

    /// Injects one random fault, or redistributes the demand.
    fn inject_fault(&mut self) {
        let secs = 0.1 + 4.0 * self.rng.f64() * self.rng.f64();
        let n = self.rng.usize(0..self.edges.len());
        match self.rng.usize(0..9) {
            0 | 1 => self.lose_leader(0.2 + 0.5 * secs),
            2 => self.kill(n, secs),
            3 => {
                let fraction = self.rng.f64();
                for n in 0..self.edges.len() {
                    if self.rng.f64() < fraction {
                        self.kill(n, 0.3 + secs / 2.0);
                    }
                }
            }
            4 => self.edges[n].unreachable_until = self.now + 3.0 * secs,
            5 => {
                let fraction = self.rng.f64();
                for n in 0..self.edges.len() {
                    if self.rng.f64() < fraction {
                        self.edges[n].unreachable_until = self.now + secs;
                    }
                }
            }
            6 => self.edges[n].responses_lost_until = self.now + secs.min(1.6),
            _ => {
                let total = self.limit.rate * 3.0 * self.rng.f64();
                let weights: Vec<f64> = self.edges.iter().map(|_| self.rng.f64().powi(3)).collect();
                let total_weight: f64 = weights.iter().sum::<f64>().max(0.01);
                for (edge_node, weight) in self.edges.iter_mut().zip(weights) {
                    edge_node.demand = total * weight / total_weight;
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
        if let Some(ProposedRecord { record, .. }) = self.uncommitted.take_if(|p| p.commits_at <= now) {
            leader.record_committed(record.sequence);
            self.committed.apply(&record);
        }
        leader.tick(now, &limits);
        if self.uncommitted.is_none()
            && now - self.proposed_at >= if leader.has_unrecorded_changes() { 0.3 } else { 5.0 }
        {
            let commits_at = now + 0.005 + 0.3 * self.rng.f64() * self.rng.f64();
            (self.proposed_at, self.uncommitted) =
                (now, Some(ProposedRecord { commits_at, record: leader.next_record() }));
        }
    }

    fn deliver_syncs(&mut self) {
        let (now, limit) = (self.now, self.limit);
        let limits = |_: &str| Some(limit);
        let (due, in_flight): (Vec<SyncInFlight>, Vec<SyncInFlight>) =
            std::mem::take(&mut self.syncs).into_iter().partition(|s| s.arrives_at <= now);
        self.syncs = in_flight;
        for SyncInFlight { edge: n, incarnation, sync_id, seen_term, usage, .. } in due {
            if self.edges[n].unreachable_until > now || self.edges[n].incarnation != incarnation {
                continue;
            }
            let name = format!("g{n}");
            let Some(leader) = &mut self.leader else { continue };
            let Some(grants) = leader.sync(now, edge(&name, incarnation), seen_term, &usage, &limits) else {
                continue;
            };
            let term = leader.term();
            let arrives_at = now + self.draw_delay();
            if self.edges[n].responses_lost_until <= now {
                let response = ResponseInFlight { arrives_at, sync_id, term, grants };
                self.edges[n].responses.push_back(response);
            }
        }
    }

    /// One step of an edge node: receives responses, admits requests, and sends a sync if one is due.
    fn run_edge(&mut self, n: usize) {
        let (now, limit, tenant) = (self.now, self.limit, Arc::clone(&self.tenant));
        if self.edges[n].down_until > now {
            return;
        }
        let sync_delay = self.draw_delay();
        let edge_node = &mut self.edges[n];
        let mut last_answered = 0;
        while let Some(response) = edge_node.responses.pop_front_if(|r| r.arrives_at <= now) {
            let ResponseInFlight { sync_id, term, grants, .. } = response;
            if edge_node.unreachable_until <= now && edge_node.quota.on_grants(now, sync_id, term, &grants) {
                last_answered = sync_id;
            }
        }
        let mut to_decide: Vec<GrantState> = Vec::new();
        edge_node.waiting.retain(|WaitingRequest { deadline, sync_id }| {
            let wait_ended = *sync_id <= last_answered || *deadline <= now;
            to_decide.extend(wait_ended.then_some(if *sync_id <= last_answered {
                GrantState::Answered
            } else {
                GrantState::TimedOut
            }));
            !wait_ended
        });
        for _ in &to_decide {
            edge_node.quota.grant_wait_ended(&tenant);
        }
        let mut arrivals = edge_node.demand * STEP_SECS;
        while arrivals > 0.0 {
            if self.rng.f64() < arrivals.min(1.0) {
                to_decide.push(GrantState::NotRequested);
                self.arrived_at.push(now);
            }
            arrivals -= 1.0;
        }
        for grant_state in to_decide {
            match edge_node.quota.admit(now, &tenant, &limit, grant_state) {
                AdmissionDecision::Admit => self.admitted_at.push(now),
                AdmissionDecision::WaitForGrant => {
                    let sync_id = edge_node.quota.next_sync_id();
                    edge_node.waiting.push(WaitingRequest { deadline: now + 0.06, sync_id })
                }
                AdmissionDecision::Reject(_) => {}
            }
        }
        if let Some((sync_id, usage)) = edge_node.quota.begin_sync(now) {
            if edge_node.unreachable_until <= now {
                self.syncs.push(SyncInFlight {
                    arrives_at: now + sync_delay,
                    edge: n,
                    incarnation: edge_node.incarnation,
                    sync_id,
                    seen_term: edge_node.quota.term(),
                    usage,
                });
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP_SECS;
        self.run_leader();
        self.deliver_syncs();
        for n in 0..self.edges.len() {
            self.run_edge(n);
        }
    }

    fn run_faults(&mut self) {
        let mut next_fault_at = 3.0;
        while self.now < FAULTS_UNTIL_SECS {
            self.step();
            if self.now >= next_fault_at {
                self.inject_fault();
                next_fault_at = self.now + 2.5 * self.rng.f64() * self.rng.f64();
            }
        }
    }

    /// The largest number of units admitted in any horizon, divided by the bound: rate x horizon + burst, plus this
    /// fraction of the slack.
    fn bound_usage(&self, slack_fraction: f64) -> f64 {
        let quota = self.limit.rate * HORIZON_SECS + self.limit.burst;
        let slack = SLACK.overshoot_ratio * quota + SLACK.overshoot_requests;
        let bound = quota + slack_fraction * slack;
        let admitted_from =
            |(i, at): (usize, &f64)| self.admitted_at[i..].partition_point(|p| *p < at + HORIZON_SECS);
        let highest = self.admitted_at.iter().enumerate().map(admitted_from).max().unwrap_or(0);
        highest as f64 / bound
    }
}

/// Result of a run with faults.
struct SeedResult {
    /// Largest used fraction of the rate bound.
    bound_usage: f64,
    /// Fraction of the demand within the quota that is served after the faults.
    served: f64,
    limit: TenantLimit,
    edge_count: usize,
}

/// Runs with faults, and then without any, so that all nodes return.
fn run_seed(seed: u64) -> SeedResult {
    let mut model = ClusterModel::new(seed, SLACK);
    model.run_faults();
    let (now, edge_count) = (model.now, model.edges.len());
    model.next_leader_at = model.next_leader_at.min(now);
    for edge_node in &mut model.edges {
        (edge_node.unreachable_until, edge_node.responses_lost_until) = (now, now);
        edge_node.down_until = edge_node.down_until.min(now);
        edge_node.demand = 0.7 * model.limit.rate / edge_count as f64;
    }
    while model.now < FAULTS_UNTIL_SECS + RECOVERY_SECS {
        model.step();
    }
    let counted_from = FAULTS_UNTIL_SECS + 2.0;
    let admitted = model.admitted_at.iter().filter(|t| **t >= counted_from).count() as f64;
    // The reference is a single token bucket that is empty when the faults end.
    let (mut bucket, mut last, mut expected) = (0.0, FAULTS_UNTIL_SECS, 0.0);
    for at in model.arrived_at.iter().filter(|t| **t >= FAULTS_UNTIL_SECS) {
        bucket = (bucket + model.limit.rate * (at - last)).min(model.limit.burst.max(1.0));
        last = *at;
        if bucket >= 1.0 {
            bucket -= 1.0;
            expected += f64::from(u8::from(*at >= counted_from));
        }
    }
    let (bound_usage, limit) = (model.bound_usage(1.0), model.limit);
    SeedResult { bound_usage, served: admitted / expected, limit, edge_count }
}

/// The rate bound holds over all edge nodes in every interval of a horizon, and from two seconds after the last fault
/// tenants get what their quota allows. Faults: incarnations killed, alone and together; leaders lost with or without
/// their last record; edge nodes partitioned, alone and together; responses lost and delayed. Bursts are at least three
/// units.
#[gtest]
fn rate_bound_holds_and_service_recovers_after_faults() {
    let (mut highest_usage, mut lowest_served) = (0.0f64, 1.0f64);
    for seed in 0..400 {
        let SeedResult { bound_usage, served, limit, edge_count } = run_seed(seed);
        (highest_usage, lowest_served) = (highest_usage.max(bound_usage), lowest_served.min(served));
        expect_that!(bound_usage, le(1.0), "seed {seed}");
        expect_that!(served, ge(0.9), "seed {seed}: {limit:?}, {edge_count} edge nodes");
    }
    println!("highest usage of the bound {highest_usage}, lowest fraction served {lowest_served}");
}

/// Grants in flight may use a fifth of the slack. Edge nodes that save up no units, and have no allowance for tenants
/// without a share, exceed rate x horizon + burst by these grants only.
#[gtest]
fn in_flight_grants_stay_within_their_part_of_the_slack() {
    let mut highest_usage = 0.0f64;
    for seed in 400..520 {
        let mut model = ClusterModel::new(seed, NO_SLACK);
        model.run_faults();
        let bound_usage = model.bound_usage(0.2);
        highest_usage = highest_usage.max(bound_usage);
        let edge_count = model.edges.len();
        expect_that!(bound_usage, le(1.0), "seed {seed}: {:?}, {edge_count} edge nodes", model.limit);
    }
    println!("highest usage of the bound {highest_usage}");
}

fn limits(_: &str) -> Option<TenantLimit> {
    Some(TenantLimit { rate: 100.0, burst: 100.0 })
}

/// Syncs four edge nodes with a demand of 25 requests per second each until their shares are recorded. Returns their
/// last grants, and the fold of the records.
fn sync_until_shares_recorded(counter: &mut QuotaCounter, from: f64) -> (Vec<TenantGrant>, ShareCeilings) {
    let (mut last, mut record) = (Vec::new(), ShareCeilings::default());
    for round in 0..8 {
        let now = from + 0.25 * f64::from(round);
        let previous = std::mem::take(&mut last);
        for n in 0..4 {
            let share = previous.get(n).map_or(0.0, |grant: &TenantGrant| grant.standing_share);
            let reported = [usage("t", 0, 25.0, share, 0, 0)];
            let seen_term = if round == 0 { 0 } else { counter.term() };
            let grants = counter.sync(now, edge(&format!("g{n}"), 7), seen_term, &reported, &limits);
            last.extend(grants.expect("held"));
        }
        let next = counter.next_record();
        counter.record_committed(next.sequence);
        record.apply(&next);
    }
    (last, record)
}

/// Units that an edge node with many waiting requests would be granted at `now`. Leaves the counter unchanged.
fn units_available(counter: &QuotaCounter, now: f64) -> f64 {
    let grants =
        counter.clone().sync(now, edge("probe", 1), 0, &[usage("t", 0, 1000.0, 0.0, 0, 1000)], &limits);
    grants.expect("held")[0].charge_limit as f64
}

#[gtest]
fn delayed_response_of_an_earlier_term_is_ignored() {
    let (mut quota, tenant) = (quota(), Arc::<str>::from("t"));
    let limit = limits("t").expect("limits");
    let grants = |charge_limit, standing_share| {
        vec![TenantGrant {
            tenant: "t".into(),
            window_total: 0.0,
            charge_limit,
            standing_share,
            retry_after_ms: 0,
        }]
    };
    // No leader has responded yet.
    expect_that!(
        quota.admit(1.0, &tenant, &limit, GrantState::NotRequested),
        eq(AdmissionDecision::Reject(0.25))
    );
    let (first, _) = quota.begin_sync(1.0).expect("a sync");
    expect_that!(quota.on_grants(1.01, first, 5, &grants(1, 2.0)), eq(true));
    expect_that!(quota.admit(1.02, &tenant, &limit, GrantState::Answered), eq(AdmissionDecision::Admit));
    let (second, _) = quota.begin_sync(1.3).expect("a sync");
    // A response to the same request from an earlier leader: its grant and share are ignored, and it is no contact.
    expect_that!(quota.on_grants(1.31, second, 4, &grants(500, 90.0)), eq(false));
    expect_that!(quota.term(), eq(5));
    expect_that!(
        quota.admit(1.32, &tenant, &limit, GrantState::Answered),
        eq(AdmissionDecision::Reject(0.25))
    );
    expect_that!(quota.is_disconnected(1.75), eq(true));
    let (_, usage) = quota.begin_sync(2.1).expect("a sync");
    expect_that!((usage[0].charged, usage[0].standing_share, usage[0].unused_grant), eq((1, 2.0, 0)));
    // Grants and shares that a newer leader does not confirm are void.
    let (third, _) = quota.begin_sync(3.0).expect("a sync");
    expect_that!(quota.on_grants(3.01, third, 6, &[]), eq(true));
    let (_, usage) = quota.begin_sync(3.3).expect("a sync");
    expect_that!((usage[0].standing_share, usage[0].unused_grant), eq((0.0, 0)));
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
        let reported = [usage("t", 0, 20.0, 0.0, 0, 0)];
        counter.sync(now, edge("g", incarnation), 0, &reported, &limits).expect("held")[0].standing_share
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
    let (grants, record) = sync_until_shares_recorded(&mut first, 0.0);
    let shares: f32 = grants.iter().map(|g| g.standing_share).sum();
    expect_that!(shares, all!(gt(90.0), le(100.0)));
    // All four may be spending their shares out of contact with the next leader, so nothing is left for others.
    let mut next = QuotaCounter::new(CONFIG, 2, 10.0, PreviousLeaders::Recorded(&record));
    expect_that!(units_available(&next, 12.0), le(5.0));
    // The four edge nodes restart, one after the other.
    for n in 0..4 {
        next.sync(12.0, edge(&format!("g{n}"), 8), 0, &[], &limits);
    }
    expect_that!(units_available(&next, 13.0), ge(99.0));
    // The shares of an edge node that does not restart expire.
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
    let (grants, _) = sync_until_shares_recorded(&mut first, 0.0);
    let mut next = QuotaCounter::new(CONFIG, 2, 10.0, PreviousLeaders::Unrecorded);
    expect_that!(units_available(&next, 14.0), eq(0.0));
    // Three of the four report their shares, and two of these end. The share of the fourth is still reserved.
    for (n, grant) in grants.iter().enumerate().take(3) {
        let reported = [usage("t", 0, 0.0, grant.standing_share, 0, 0)];
        next.sync(14.0, edge(&format!("g{n}"), 7), 1, &reported, &limits);
    }
    for n in 0..2 {
        next.sync(14.1, edge(&format!("g{n}"), 8), 0, &[], &limits);
    }
    let mut probed = next.clone();
    let most: f64 = (0..10).map(|k| units_available(&probed, 14.2 + 0.05 * f64::from(k))).fold(0.0, f64::max);
    expect_that!(most, all!(gt(10.0), le(60.0)));
    probed.tick(25.1, &limits);
    expect_that!(units_available(&probed, 26.5), ge(99.0));
}

#[gtest]
fn possible_spending_of_an_unreachable_incarnation_is_reserved_once() {
    let mut counter = QuotaCounter::new(CONFIG, 1, 0.0, PreviousLeaders::Recorded(&ShareCeilings::default()));
    sync_until_shares_recorded(&mut counter, 0.0);
    let before = units_available(&counter, 1.76);
    // After two seconds without a sync, the spending that the shares allow in that time is reserved, and no later one.
    let without_syncs = units_available(&counter, 3.75);
    expect_that!(without_syncs, le(before + 100.0));
    for n in 0..4 {
        counter.sync(3.75, edge(&format!("g{n}"), 8), 0, &[], &limits);
    }
    expect_that!(units_available(&counter, 4.75), ge(99.0));
}

/// Total units granted to an edge node with one waiting request that syncs repeatedly at the same time.
fn units_granted_at_once(counter: &mut QuotaCounter, now: f64) -> i64 {
    let mut charged = 0;
    loop {
        let reported = [usage("t", charged, 0.0, 0.0, 0, 1)];
        let grants = counter.sync(now, edge("g", 1), 0, &reported, &limits).expect("held");
        if grants[0].charge_limit == charged {
            return charged;
        }
        charged += 1;
    }
}

#[gtest]
fn waiting_request_at_the_start_of_a_leader_is_within_the_quota() {
    // The first leader grants exactly the burst.
    let mut first = QuotaCounter::new(CONFIG, 1, 10.0, PreviousLeaders::None);
    let burst = limits("t").expect("limited").burst as i64;
    expect_that!(units_granted_at_once(&mut first, 10.0), eq(burst));
    // A later leader can't know what is left of the burst; one unit admits a tenant that is seldom used.
    let record = ShareCeilings::default();
    let mut later = QuotaCounter::new(CONFIG, 2, 10.0, PreviousLeaders::Recorded(&record));
    expect_that!(units_granted_at_once(&mut later, 10.0), eq(1));
    // While shares may be unknown, nothing is granted.
    let mut unrecorded = QuotaCounter::new(CONFIG, 2, 10.0, PreviousLeaders::Unrecorded);
    expect_that!(units_granted_at_once(&mut unrecorded, 10.0), eq(0));
}
