//! State of a gateway: plain records of its customers, hosts and requests. Nothing here decides.
//!
//! Times are in seconds of the clock that events carry, as `f64`. Work is in seconds of expected latency.

use crate::gateway::interface::*;
use crate::gateway::replication::ReplicatedUsage;
pub(crate) use crate::identifiers::{fnv1a, GOLDEN_RATIO_FRACTION};
use crate::quota::share::Share;
use crate::quota::{CounterReport, Guard, QuotaSettings};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// An exponentially decaying average of a rate.
#[derive(Default)]
pub(crate) struct DecayingRate {
    /// Amount per second at `updated_at`.
    pub(crate) per_second: f64,
    /// Time of the last update.
    pub(crate) updated_at: f64,
}

/// State of one customer at this gateway.
#[derive(Default)]
pub(crate) struct Customer {
    /// Index of its plan.
    pub(crate) plan: usize,
    /// Number of gateways that receive its requests.
    pub(crate) gateway_count: f64,
    /// Offset of its windows from the clock, as a fraction of the window length.
    pub(crate) window_offset: f64,
    /// Arrival time of its last request.
    pub(crate) last_request_at: f64,
    /// Number of the window that the charges below belong to.
    pub(crate) window: i64,
    /// Total of the window over all gateways, as last reported by the counter.
    pub(crate) total: Option<f64>,
    /// When a total was last reported, for this window or an earlier one.
    pub(crate) total_at: f64,
    /// Units charged here that were not sent to the counter yet.
    pub(crate) unsynced_units: f64,
    /// Units in calls that are not answered yet.
    pub(crate) calling_units: f64,
    /// Units that this gateway charged in the window, including those of its earlier incarnations.
    pub(crate) own_units: f64,
    /// Units that other gateways charged in the window, by the replicas of their usage.
    pub(crate) remote_units: f64,
    /// Units of the previous window that other gateways charged and that the opening balance accounts for.
    pub(crate) previous_remote_units: f64,
    /// Units of `own_units` that earlier incarnations of this gateway charged, by the replicas of their usage.
    pub(crate) predecessor_units: f64,
    /// Units that the window started with: what earlier windows left unused, or overspent (negative).
    pub(crate) opening_balance: f64,
    /// Estimate of this gateway's share of the quota, used while no total is known.
    pub(crate) quota_share: Share,
    /// Demand in units at this gateway, over `DEMAND_SECS`.
    pub(crate) demand: DecayingRate,
    /// Demand in units at this gateway, over `BURST_DEMAND_SECS`; kept only where the concurrency limit is below the
    /// number of gateways.
    pub(crate) burst_demand: DecayingRate,
    /// When the next sync with the counter is due.
    pub(crate) sync_at: f64,
    /// Due time of its entry in [`Gateway::customer_timers`], in microseconds.
    pub(crate) timer_us: Option<u64>,
    /// When the last sync was sent.
    pub(crate) last_sync_at: f64,
    /// Attempts in flight from this gateway.
    pub(crate) in_flight: f64,
    /// Number of the window of the concurrency counter.
    pub(crate) concurrency_window: i64,
    /// Attempts in flight that the concurrency counter holds for this gateway in that window.
    pub(crate) reported_in_flight: f64,
    /// Attempts in flight from the other gateways, as last reported by the counter.
    pub(crate) remote_in_flight: f64,
    /// When `remote_in_flight` was reported.
    pub(crate) remote_in_flight_at: f64,
    /// Whether a call to the concurrency counter is not answered yet.
    pub(crate) is_concurrency_calling: bool,
    /// When the next call to the concurrency counter is due.
    pub(crate) concurrency_sync_at: f64,
    /// Units in this gateway's share of the ceiling's token bucket.
    pub(crate) ceiling_tokens: f64,
    /// When `ceiling_tokens` was last refilled.
    pub(crate) ceiling_tokens_at: f64,
    /// Demand in units at this gateway, over `CEILING_DEMAND_SECS`; kept only where ceilings are divided.
    pub(crate) ceiling_demand: DecayingRate,
    /// Fraction of the divided part of the ceiling that is assigned to this gateway.
    pub(crate) assigned_share: f64,
    /// When the assignment ends.
    pub(crate) assigned_until: f64,
}

/// A call to the counter that is not answered yet.
pub(crate) struct PendingCall {
    /// Customer whose counter entry it is.
    pub(crate) customer: CustomerId,
    /// Window of the counter entry.
    pub(crate) window: i64,
    /// Amount that the call adds.
    pub(crate) amount: f64,
    /// Whether it counts attempts in flight; otherwise it counts units.
    pub(crate) is_concurrency: bool,
    /// The request that is held until the answer, and its cost.
    pub(crate) held_request: Option<(RequestId, f64)>,
}

/// Recent failures of one kind of attempts: of one class at one host, or on connections of similar idle times.
#[derive(Default)]
pub(crate) struct FailureStats {
    /// Decaying fraction of the attempts that failed.
    pub(crate) failure_ratio: f64,
    /// Number of outcomes behind it, decaying and bounded. Zero with a ratio above zero: reported by another gateway.
    pub(crate) outcomes: f64,
    /// Time of the last update.
    pub(crate) updated_at: f64,
}

impl FailureStats {
    /// Records an outcome. `failed` is 1 for a failure, 0 for a success or a fraction of a failure; `prior` is the
    /// number of successes that are assumed before the first outcome; `max_outcomes` bounds the number of outcomes, so
    /// that the newest keeps its weight; `decay_secs` is the time constant.
    pub(crate) fn record(&mut self, now: f64, failed: f64, prior: f64, max_outcomes: f64, decay_secs: f64) {
        let kept = ((self.updated_at - now) / decay_secs).exp();
        (self.outcomes, self.updated_at) = ((self.outcomes * kept + 1.0).min(max_outcomes), now);
        self.failure_ratio =
            self.failure_ratio * kept + (failed - self.failure_ratio * kept) / (self.outcomes + prior);
    }
}

/// Requirements of an attempt on its host.
pub(crate) struct HostRequirements {
    /// Index of the request's class.
    pub(crate) class: usize,
    /// Expected latency of the request, in seconds.
    pub(crate) work: f64,
    /// Zone and cell of an earlier attempt that may have run.
    pub(crate) key_origin: Option<(String, i64)>,
    /// Hosts that the request was sent to already.
    pub(crate) tried: Vec<HostId>,
}

/// State of one host at this gateway.
#[derive(Default)]
pub(crate) struct Host {
    /// Zone of the host.
    pub(crate) zone: String,
    /// Cell of the host.
    pub(crate) group: i64,
    /// Hardware type.
    pub(crate) kind: Arc<str>,
    /// Capacity relative to the other hosts.
    pub(crate) nominal_capacity: f64,
    /// Whether it accepts new requests, by the host list.
    pub(crate) is_ready: bool,
    /// Last start of the host; `None`: long ago.
    pub(crate) started_at: Option<f64>,
    /// When its connection was opened or last used; `None`: there is none.
    pub(crate) connection_used_at: Option<f64>,
    /// Outcomes of attempts sent before this are ignored, because the host's zone was unreachable then.
    pub(crate) valid_since: f64,
    /// When it last sent a response of any kind.
    pub(crate) last_response_at: f64,
    /// Attempts in flight from this gateway.
    pub(crate) in_flight: u32,
    /// Work of the attempts in flight from this gateway.
    pub(crate) in_flight_work: f64,
    /// Work of the attempts in flight from other gateways, where these are known.
    pub(crate) remote_work: f64,
    /// Average ratio of actual to expected latency.
    pub(crate) slowness: f64,
    /// Time of the last update of `slowness`.
    pub(crate) slowness_at: f64,
    /// Recent failures by class.
    pub(crate) class_failures: Vec<FailureStats>,
    /// Work in the token bucket that limits the host while it is cold.
    pub(crate) cold_tokens: f64,
    /// When `cold_tokens` was last updated.
    pub(crate) cold_tokens_at: f64,
    /// Factor on its capacity by its zone's share of the load; `None`: zones have no shares.
    pub(crate) zone_factor: Option<f64>,
}

impl Host {
    /// Discards all observations, because the host is new, has restarted or was unreachable.
    pub(crate) fn reset(&mut self) {
        (self.slowness_at, self.connection_used_at) = (f64::NEG_INFINITY, None);
        self.class_failures.clear();
    }

    /// Discards all observations when the host's zone may be reachable again. Outcomes of attempts sent before `now`
    /// are ignored as well.
    pub(crate) fn reset_after_outage(&mut self, now: f64) {
        self.reset();
        self.valid_since = now;
    }
}

/// One attempt of a request.
pub(crate) struct Attempt {
    /// Host that it was sent to.
    pub(crate) host: HostId,
    /// Whether it is in flight.
    pub(crate) is_in_flight: bool,
    /// Whether it has ended without proof that the request never ran.
    pub(crate) may_have_run: bool,
    /// When it was sent.
    pub(crate) sent_at: f64,
    /// Expected latency of the request, in seconds.
    pub(crate) work: f64,
    /// Zone of its host.
    pub(crate) zone: String,
    /// Cell of its host.
    pub(crate) group: i64,
    /// Index of the idle time of its connection in [`Gateway::idle_failures`].
    pub(crate) idle_bucket: usize,
}

/// A request that is not answered yet or has an attempt in flight.
pub(crate) struct Request {
    /// Index of its class.
    pub(crate) class: usize,
    /// Customer that it is charged to.
    pub(crate) customer: CustomerId,
    /// Cost of the request in units, possibly an estimate.
    pub(crate) units: f64,
    /// Arrival time.
    pub(crate) arrived_at: f64,
    /// When its client gives up.
    pub(crate) deadline: f64,
    /// When a hedged attempt may be sent.
    pub(crate) hedge_at: f64,
    /// Whether it is answered.
    pub(crate) is_answered: bool,
    /// Whether its actual units are charged or need not be.
    pub(crate) is_settled: bool,
    /// Probability that it is admitted if the counter does not answer.
    pub(crate) admit_probability: f64,
    /// Upper bound on its attempts, by the settings in force at its arrival.
    pub(crate) max_attempts: usize,
    /// Attempts of the request, in the order in which they were sent.
    pub(crate) attempts: Vec<Attempt>,
}

/// Averages over the answers of one class.
#[derive(Clone, Copy)]
pub(crate) struct ClassStats {
    /// Mean latency in seconds.
    pub(crate) latency: f64,
    /// Mean units.
    pub(crate) units: f64,
    /// Number of answers, including those that the initial values count for.
    pub(crate) answers: f64,
}

/// The decision module of one gateway.
pub struct Gateway {
    /// Settings in force, sanitized.
    pub(crate) settings: Settings,
    /// Random number generator of this gateway.
    pub(crate) rng: fastrand::Rng,
    /// Time of the last event.
    pub(crate) now: f64,
    /// Time of the first event.
    pub(crate) started_at: Option<f64>,
    /// Time of the first request.
    pub(crate) first_request_at: Option<f64>,
    /// When the timer that was set last expires.
    pub(crate) timer_at: f64,
    /// When idle customers were last removed.
    pub(crate) swept_at: f64,
    /// Customers by due time, in microseconds.
    pub(crate) customer_timers: BinaryHeap<Reverse<(u64, CustomerId)>>,
    /// Requests by the time at which they may be hedged, in microseconds.
    pub(crate) hedge_timers: BinaryHeap<Reverse<(u64, RequestId)>>,
    /// Known customers.
    pub(crate) customers: BTreeMap<CustomerId, Customer>,
    /// Usage of other gateways, and of earlier incarnations of this one, by its replicas.
    pub(crate) remote_usage: ReplicatedUsage,
    /// Fraction of the even share of each ceiling that stays with this gateway; `None`: ceilings are shared evenly.
    pub(crate) ceiling_floor: Option<f64>,
    /// Decides which answers of the counter are valid and when the counter may be called.
    pub(crate) guard: Guard,
    /// Calls that are not answered yet, by counter entry.
    pub(crate) pending_calls: BTreeMap<CounterKey, VecDeque<PendingCall>>,
    /// Calls per second to the counter that this gateway may make.
    pub(crate) call_rate: f64,
    /// Call rate up to which slow start applies, set where calls last began to fail.
    pub(crate) call_rate_threshold: f64,
    /// Whether a call was answered since the call rate was last cut.
    pub(crate) was_answered_since_cut: bool,
    /// Units per second that were sent to the counter.
    pub(crate) reported_rate: DecayingRate,
    /// Units per second that were not sent to the counter before their window ended.
    pub(crate) unreported_rate: DecayingRate,
    /// Decaying fraction of the calls that were late, lost or rejected.
    pub(crate) miss_ratio: f64,
    /// When the call rate was last cut.
    pub(crate) call_rate_cut_at: f64,
    /// Calls per second that would be made without a limit.
    pub(crate) call_demand: DecayingRate,
    /// Calls in the token bucket that enforces the call rate.
    pub(crate) call_tokens: f64,
    /// When `call_tokens` was last refilled.
    pub(crate) call_tokens_at: f64,
    /// Known hosts.
    pub(crate) hosts: BTreeMap<HostId, Host>,
    /// Average ratio of actual to expected latency, by hardware type.
    pub(crate) kind_slowness: BTreeMap<Arc<str>, f64>,
    /// Recent failures by the idle time of the connection before the attempt; bucket 0: new or active connections.
    pub(crate) idle_failures: [FailureStats; 7],
    /// Hosts with cumulative weights for random draws: hosts of the own zone, other hosts.
    pub(crate) draw_tables: [Vec<(f64, HostId)>; 2],
    /// When `draw_tables` must be rebuilt.
    pub(crate) draw_tables_valid_until: f64,
    /// Total capacity of the warm hosts in `draw_tables`.
    pub(crate) warm_capacity: f64,
    /// Number of ready hosts, cold ones weighted by their warm-up.
    pub(crate) ready_hosts: f64,
    /// Requests that are not answered yet or have an attempt in flight.
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Averages by class.
    pub(crate) class_stats: Vec<ClassStats>,
    /// Fraction of the load that goes to other zones while the own zone lacks capacity; `None`: the own zone is
    /// preferred.
    pub(crate) remote_share: Option<f64>,
    /// Fraction of the requests that no zone has capacity for.
    pub(crate) unassigned: f64,
    /// Requests that were refused because no zone has capacity for them.
    pub(crate) zone_rejections: u64,
    /// Work per second sent to warm hosts.
    pub(crate) warm_work_rate: DecayingRate,
    /// Answers per second.
    pub(crate) answer_rate: DecayingRate,
    /// Attempts per second that timed out.
    pub(crate) timeout_rate: DecayingRate,
    /// Mean value of a request per unit of work.
    pub(crate) mean_value_density: f64,
    /// Mean number of attempts in flight at the arrival of a request.
    pub(crate) mean_in_flight: f64,
    /// Attempts in flight.
    pub(crate) in_flight: u32,
    /// Number of candidates that are compared for an attempt.
    pub(crate) candidate_count: usize,
    /// Retries and hedged attempts that the retry budget allows now.
    pub(crate) retry_tokens: f64,
    /// Indices of classes that were removed or replaced. Open requests keep the class of their arrival.
    pub(crate) retired_classes: BTreeSet<usize>,
    /// Whether another process of this gateway has taken over. Ceilings are then spent by that process only.
    pub(crate) is_exported: bool,
}

impl Gateway {
    /// A gateway without classes, hosts or customers.
    pub(crate) fn blank(settings: Settings, seed: u64) -> Self {
        let unit = (seed >> 11) as f64 / (1u64 << 53) as f64;
        Gateway {
            settings,
            rng: fastrand::Rng::with_seed(seed),
            timer_at: f64::INFINITY,
            now: Default::default(),
            started_at: Default::default(),
            first_request_at: Default::default(),
            swept_at: Default::default(),
            customer_timers: Default::default(),
            hedge_timers: Default::default(),
            customers: Default::default(),
            remote_usage: ReplicatedUsage::default(),
            ceiling_floor: None,
            guard: Guard::new(QuotaSettings::default(), unit),
            pending_calls: Default::default(),
            call_rate: Default::default(),
            call_rate_threshold: Default::default(),
            was_answered_since_cut: Default::default(),
            reported_rate: Default::default(),
            unreported_rate: Default::default(),
            miss_ratio: Default::default(),
            call_rate_cut_at: Default::default(),
            call_demand: Default::default(),
            call_tokens: Default::default(),
            call_tokens_at: Default::default(),
            hosts: Default::default(),
            kind_slowness: Default::default(),
            idle_failures: Default::default(),
            draw_tables: Default::default(),
            draw_tables_valid_until: Default::default(),
            warm_capacity: Default::default(),
            ready_hosts: Default::default(),
            requests: Default::default(),
            class_stats: Default::default(),
            remote_share: None,
            unassigned: 0.0,
            zone_rejections: 0,
            warm_work_rate: Default::default(),
            answer_rate: Default::default(),
            timeout_rate: Default::default(),
            mean_value_density: Default::default(),
            mean_in_flight: Default::default(),
            in_flight: Default::default(),
            candidate_count: 2,
            retry_tokens: Default::default(),
            retired_classes: Default::default(),
            is_exported: false,
        }
    }
}

impl DecayingRate {
    /// Adds an amount, which decays with the time constant `decay_secs`.
    pub(crate) fn add(&mut self, now: f64, amount: f64, decay_secs: f64) {
        self.per_second = self.rate(now, decay_secs) + amount / decay_secs;
        self.updated_at = now;
    }

    /// Amount per second at `now`.
    pub(crate) fn rate(&self, now: f64, decay_secs: f64) -> f64 {
        self.per_second * ((self.updated_at - now) / decay_secs).exp()
    }
}

/// A time in whole microseconds, which unlike `f64` is totally ordered. Infinity becomes `u64::MAX`.
pub(crate) fn micros(at: f64) -> u64 {
    (at * 1e6) as u64
}

/// A duration of so many seconds; zero if they are negative or not finite.
pub(crate) fn duration(secs: f64) -> Duration {
    Duration::try_from_secs_f64(secs).unwrap_or(Duration::ZERO)
}

/// Clamps a number from outside to 0..=1e12; one that is not finite becomes 0.
pub(crate) fn sanitize(x: f64) -> f64 {
    Some(x).filter(|x| x.is_finite()).map_or(0.0, |x| x.clamp(0.0, 1e12))
}

/// Key of a customer's counter entry. It holds the customer's identifier, or its hash if that is longer than 40 bytes,
/// because a key has at most 64 bytes.
pub(crate) fn counter_key(kind: char, id: &CustomerId, window: i64) -> CounterKey {
    let customer: &str = &id.0;
    match customer.len() {
        0..=40 => CounterKey(format!("{kind}{window}:{customer}").into()),
        _ => CounterKey(format!("{kind}{window}#{:016x}", fnv1a(customer)).into()),
    }
}

/// Replaces invalid numbers in settings.
pub(crate) fn sanitize_settings(mut settings: Settings) -> Settings {
    settings.replicas = settings.replicas.max(1);
    settings.max_attempts = settings.max_attempts.max(1);
    for plan in &mut settings.plans {
        let ceiling = [&mut plan.ceiling_rate, &mut plan.ceiling_burst, &mut plan.ceiling_tolerance];
        for x in [&mut plan.rate, &mut plan.burst, &mut plan.price].into_iter().chain(ceiling) {
            *x = sanitize(*x);
        }
    }
    settings
}

impl Customer {
    /// A customer without usage and without pending calls.
    pub(crate) fn new(plan: usize, gateway_count: f64, window_offset: f64) -> Self {
        let (never, past) = (f64::INFINITY, f64::NEG_INFINITY);
        Customer {
            plan,
            gateway_count,
            window_offset,
            sync_at: never,
            concurrency_sync_at: never,
            concurrency_window: i64::MIN,
            remote_in_flight_at: past,
            ..Customer::default()
        }
    }

    /// Seconds since its window began.
    pub(crate) fn window_elapsed(&self, plan: &Plan, now: f64) -> f64 {
        let window = Gateway::window_secs(plan);
        (now / window + self.window_offset).fract() * window
    }

    /// This gateway's fraction of its quota, used while no total is known.
    pub(crate) fn quota_fraction(&self, plan: &Plan) -> f64 {
        self.quota_share.fraction(plan.burst, self.gateway_count)
    }

    /// Estimates the units that all gateways spent in `span_secs`, used while no total is known. `own` is what this
    /// gateway spent in that time.
    pub(crate) fn estimate_spent(&self, plan: &Plan, own: f64, span_secs: f64, now: f64) -> f64 {
        self.quota_share.estimate_spent(plan.rate, self.quota_fraction(plan), own, span_secs, now)
    }

    /// Units known to be spent in the window: the larger of the counter's total and the sum of the replicated usage,
    /// as either may lack charges.
    pub(crate) fn spent(&self) -> f64 {
        (self.total.unwrap_or(0.0) + self.calling_units + self.unsynced_units)
            .max(self.own_units + self.remote_units)
    }
}

impl Request {
    /// A request that arrives at `arrived_at` and whose client gives up `budget` seconds later.
    pub(crate) fn new(
        class: usize,
        customer: CustomerId,
        units: f64,
        (arrived_at, budget): (f64, f64),
        max_attempts: u32,
    ) -> Self {
        Request {
            class,
            customer,
            units,
            arrived_at,
            deadline: arrived_at + budget,
            hedge_at: f64::INFINITY,
            is_answered: false,
            is_settled: false,
            admit_probability: 1.0,
            max_attempts: max_attempts as usize,
            attempts: Vec::new(),
        }
    }
}

impl Class {
    /// Averages before the first answer, which count for `prior` answers.
    pub(crate) fn initial_stats(&self, prior: f64) -> ClassStats {
        ClassStats { latency: self.latency_target.as_secs_f64().max(0.01) / 5.0, units: 2.0, answers: prior }
    }
}

impl Settings {
    /// Index of the class of this name, the newest if it was changed. The class without a name stands for all unknown
    /// ones.
    pub(crate) fn class_index(&self, name: &str) -> usize {
        let find = |name: &str| self.classes.iter().rposition(|c| c.name == name);
        find(name).or_else(|| find("")).unwrap_or(0)
    }
}

impl Gateway {
    /// Mean latency over the classes in force, in seconds.
    pub(crate) fn mean_latency(&self) -> f64 {
        let (sum, count) =
            self.active_class_stats().fold((0.0, 0), |(sum, count), s| (sum + s.latency, count + 1));
        sum / f64::from(count)
    }

    /// Number of requests refused so far because no zone has capacity for them. They count as offered load.
    pub fn zone_rejections(&self) -> u64 {
        self.zone_rejections
    }

    /// Replaces the default settings of the quota guard. To be called before the first event.
    pub fn with_quota(mut self, settings: QuotaSettings) -> Self {
        self.guard = Guard::new(settings, self.rng.f64());
        self
    }

    /// State of the counter for operators, with the modes as of the last event.
    pub fn counter_report(&self) -> CounterReport {
        self.guard.report(self.now)
    }

    /// Mean seconds for which one unit is in flight.
    pub(crate) fn mean_secs_per_unit(&self) -> f64 {
        let sums =
            self.active_class_stats().fold((0.0, 0.0), |sums, s| (sums.0 + s.latency, sums.1 + s.units));
        sums.0 / sums.1
    }

    /// Averages of the classes in force.
    fn active_class_stats(&self) -> impl Iterator<Item = &ClassStats> {
        self.class_stats.iter().enumerate().filter(|(n, _)| !self.retired_classes.contains(n)).map(|(_, s)| s)
    }
}
