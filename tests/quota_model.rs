//! Discrete-event simulation of gatekeepers and their counter: many instances of the real decision module, with a
//! modelled counter whose partitions can be unresponsive, late, split, replaced or answer garbage. Quotas and ceilings
//! are audited from the requests sent, never from the module's own state. The tests check the stated bounds; `measure`
//! prints the table of docs/quota.md: `cargo test --release --test quota_model -- --ignored --nocapture`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;
use whinstall::fleet::replica::{Key, Origin, Replica, ReplicaLimits, RowValue};
use whinstall::quota::bound::{BoundInput, ErrorBound};
use whinstall::quota::{CounterReport, QuotaSettings};
use whinstall::*;

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// SplitMix64, the simulation's only source of randomness.
struct Rng(u64);
impl Rng {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Fault of the counter, in some cases together with one of the gatekeepers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// No partition answers.
    Lost,
    /// One of two partitions does not answer, so some names are answered and others are not.
    PartitionLost,
    /// Answers take 60 ms, twice the timeout.
    Late,
    /// The counter is split in two views with a copy of its totals each. Gatekeepers of even number reach one, the
    /// others the other.
    Split,
    /// The counter loses all totals as the fault begins.
    Replaced,
    /// Every fourth answer is an implausible total.
    Garbage,
    /// The counter is lost, and every other gatekeeper restarts without its state as the fault begins.
    LostAndRestarted,
    /// The counter is lost, and the network between gatekeepers is partitioned in two halves, both of which customers
    /// reach.
    LostAndPartitioned,
}

/// Mechanisms that limit the error.
#[derive(Clone, Debug, Default)]
struct Setup {
    /// Settings of the guard; `None`: its defaults.
    quota: Option<QuotaSettings>,
    /// Whether gatekeepers replicate their usage to each other.
    replicates: bool,
}

/// Mean time between two replication rounds of a gatekeeper, in seconds.
const REPLICATION_INTERVAL_SECS: f64 = 0.2;
/// Time that an exchange between two gatekeepers takes, in seconds.
const EXCHANGE_SECS: f64 = 0.005;
/// Number of peers that a gatekeeper exchanges with in a replication round.
const PEERS_PER_ROUND: usize = 2;
/// Upper bound of the data that an exchange returns, in bytes.
const EXCHANGE_MAX_BYTES: usize = 1200;

/// When the fault begins, in seconds.
const FAULT_START_SECS: f64 = 20.0;
/// Duration of the fault, in seconds.
const FAULT_SECS: f64 = 30.0;
/// Length of a run, in seconds.
const RUN_SECS: f64 = 60.0;

/// Size of a simulated site.
#[derive(Clone, Copy)]
struct Size {
    gatekeepers: usize,
    customers: usize,
    /// Time that the counter works on a call, in seconds. The reciprocal is its capacity in calls per second.
    call_secs: f64,
}

const SMALL: Size = Size { gatekeepers: 6, customers: 60, call_secs: 0.0 };
/// Number of gatekeepers that serve a customer.
const WIDTH: usize = 3;
/// Timeout of calls to the counter, in seconds.
const COUNTER_TIMEOUT_SECS: f64 = 0.03;
/// Mean time of an attempt, in seconds.
const ATTEMPT_SECS: f64 = 0.12;
/// The gatekeepers' clocks at the start of a run, in seconds.
const CLOCK_START_SECS: f64 = 1e6;

/// Plan of most customers. It has a quota, but no ceiling.
const STANDARD: usize = 0;
/// Plan of every fourth customer. It has a quota and a ceiling.
const CABINET: usize = 1;
const PLAN_NAMES: [&str; 2] = ["standard", "cabinet"];
/// Ceiling tolerance of the cabinet plan, in units.
const CEILING_TOLERANCE: f64 = 6.0;

fn settings(ordinal: usize, gatekeepers: usize) -> Settings {
    let class = |name: &str, idempotency, gain| Class {
        name: name.into(),
        latency_target: secs(1.2),
        value: gain,
        late_value_fraction: 0.0,
        idempotency,
        key_retention: Duration::ZERO,
    };
    let standard = Plan {
        name: PLAN_NAMES[STANDARD].into(),
        rate: 2.4,
        burst: 10.0,
        max_concurrent: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_tolerance: 0.0,
        price: 1.2,
        excess_value_fraction: 0.0,
        excess_cost_fraction: 0.5,
    };
    let cabinet = Plan {
        name: PLAN_NAMES[CABINET].into(),
        rate: 15.0,
        burst: 30.0,
        ceiling_rate: 30.0,
        ceiling_burst: 60.0,
        ceiling_tolerance: CEILING_TOLERANCE,
        price: 1.6,
        excess_value_fraction: 0.1,
        excess_cost_fraction: 0.0,
        ..standard.clone()
    };
    Settings {
        replicas: gatekeepers as u32,
        ordinal: ordinal as u32,
        zone: "a".into(),
        classes: vec![class("preview", Idempotency::Repeatable, 1.0), class("issue", Idempotency::Once, 3.0)],
        plans: vec![standard, cabinet],
        uses_counter: true,
        counter_timeout: secs(COUNTER_TIMEOUT_SECS),
        units_are_estimates: false,
        max_units: 4.0,
        may_cancel: true,
        may_hedge: false,
        may_probe: false,
        max_attempts: 5,
        sends_retry_after: true,
        max_retry_after: secs(2.0),
        subscribes_to_hosts: false,
        load_reports: LoadReports::Off,
        cold_capacity_fraction: 0.22,
        overload_factor: 3.0,
        overload_duration: secs(1.0),
        warmup: secs(18.0),
        cross_zone_price: 0.0,
        probe_price: 0.0,
    }
}

/// A token bucket that audits the units sent.
#[derive(Clone)]
struct TokenBucket {
    /// Rate at which the bucket fills, in units per second.
    rate: f64,
    /// Units that the bucket holds at most.
    burst: f64,
    level: f64,
    updated_at: f64,
}

impl TokenBucket {
    fn new(rate: f64, burst: f64) -> Self {
        TokenBucket { rate, burst, level: burst, updated_at: 0.0 }
    }

    fn refill(&mut self, now: f64) {
        self.level = (self.level + self.rate * (now - self.updated_at)).min(self.burst);
        self.updated_at = now;
    }
}

/// Metered use of a customer, as a fraction of its rate. The value of a period is visible only some time after its end.
#[derive(Clone, Copy)]
struct Meter {
    /// Value of the last period.
    newest: f64,
    /// Time from which on `newest` is visible, in seconds.
    visible_from: f64,
    /// Value of the period before.
    previous: f64,
}

struct Customer {
    plan: usize,
    /// Demand over all gatekeepers, in units per second.
    demand: f64,
    /// The first of the [`WIDTH`] consecutive gatekeepers that serve the customer.
    first_gatekeeper: usize,
    /// Distribution of the requests over these gatekeepers; changes from time to time.
    weights: [f64; WIDTH],
    quota: TokenBucket,
    ceiling: TokenBucket,
    /// Units sent in the current metering period.
    period_units: f64,
    meter: Meter,
    /// Units sent beyond the quota during the fault.
    excess_units: f64,
    /// Units rejected during the fault although the quota had room for them.
    rejected_inside_quota: f64,
    /// Units requested during the fault.
    requested_units: f64,
    /// Lowest level of the ceiling's bucket in the run, in units.
    min_ceiling_level: f64,
}

/// A simulated event. Those with an incarnation are dropped if the gatekeeper has restarted since.
enum SimEvent {
    /// A customer sends a request.
    Request(usize),
    /// An attempt of a customer's request is answered.
    AttemptFinished {
        gatekeeper: usize,
        incarnation: usize,
        id: RequestId,
        attempt: u32,
        host: HostId,
        customer: usize,
    },
    Timer {
        gatekeeper: usize,
        incarnation: usize,
        token: String,
    },
    /// The counter answers in time, or the call times out.
    CounterReply {
        gatekeeper: usize,
        incarnation: usize,
        name: CounterKey,
        ending: Ending,
        total: f64,
        delay: f64,
    },
    /// The counter answers after the timeout.
    LateCounterReply {
        gatekeeper: usize,
        incarnation: usize,
        name: CounterKey,
        total: f64,
        delay: f64,
    },
    /// Replication round of a gatekeeper.
    ReplicationRound {
        gatekeeper: usize,
        incarnation: usize,
    },
    /// Data that a gatekeeper requested from a peer arrives.
    Exchange {
        gatekeeper: usize,
        peer: usize,
    },
    /// The distribution of requests over gatekeepers changes.
    ShiftWeights,
    /// A metering period ends.
    MeterPeriodEnds,
    FaultBegins,
    FaultEnds,
}

/// Results of a run, during the fault unless said otherwise.
#[derive(Debug, Clone, Default)]
struct Figures {
    /// Excess units of customers that demand less than their quota, as a fraction of the quota.
    excess_inside: f64,
    /// Excess units of customers that demand more than their quota, as a fraction of the quota.
    excess_beyond: f64,
    /// Largest excess units of a customer, as a fraction of its quota.
    max_excess: f64,
    /// Units rejected although the quota had room, as a fraction of those requested by customers inside their quota.
    rejected: f64,
    /// Calls to the counter per second.
    calls_per_sec: f64,
    /// Calls to the counter per second in the two seconds after the fault.
    calls_per_sec_after: f64,
    /// Lowest level of any ceiling's bucket in the whole run, in units. A ceiling is violated below minus its
    /// tolerance.
    min_ceiling_level: f64,
}

/// A customer's request that a gatekeeper decides on or serves.
#[derive(Clone, Copy)]
struct PendingRequest {
    customer: usize,
    /// Units to be audited as the first attempt is sent; 0 from then on.
    units: f64,
}

struct Model {
    now: f64,
    rng: Rng,
    /// Times, in microseconds, and sequence numbers of the events to come, earliest first.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// Events to come, by sequence number.
    events: BTreeMap<u64, SimEvent>,
    sequence: u64,
    size: Size,
    /// When the counter has finished the calls that it has accepted, in seconds.
    counter_busy_until: f64,
    gatekeepers: Vec<Gateway>,
    /// Number of restarts of each gatekeeper.
    incarnations: Vec<usize>,
    setup: Setup,
    replicas: Vec<Replica>,
    customers: Vec<Customer>,
    pending: BTreeMap<RequestId, PendingRequest>,
    request_count: u64,
    /// Totals of the counter, by view; the second is used only while the counter is split.
    totals: [BTreeMap<CounterKey, f64>; 2],
    fault: Fault,
    is_fault_active: bool,
    /// Number of calls that the counter has answered.
    answer_count: u64,
    /// Calls to the counter, by second.
    calls: Vec<u64>,
    /// Calls that timed out at a counter that answers, by second.
    unanswered: Vec<u64>,
}

impl Model {
    fn schedule(&mut self, at: f64, event: SimEvent) {
        self.sequence += 1;
        self.queue.push(Reverse(((at * 1e6) as u64, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn new_gatekeeper(&self, ordinal: usize, seed: u64) -> Gateway {
        let gateway = Gateway::new(settings(ordinal, self.size.gatekeepers), seed);
        match &self.setup.quota {
            Some(quota) => gateway.with_quota(quota.clone()),
            None => gateway,
        }
    }

    fn new_replica(&self, gatekeeper: usize) -> Replica {
        let origin = Origin {
            name: format!("g{gatekeeper}").into(),
            incarnation: 1 + self.incarnations[gatekeeper] as u64,
        };
        Replica::new(origin, ReplicaLimits::default())
    }

    /// Whether two gatekeepers cannot reach each other.
    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.is_fault_active && self.fault == Fault::LostAndPartitioned && a % 2 != b % 2
    }

    /// Runs a replication round: records the gatekeeper's own usage, applies that of the others, and exchanges with
    /// random peers.
    fn replication_round(&mut self, gatekeeper: usize) {
        let (now, local) = (CLOCK_START_SECS + self.now, self.gatekeepers[gatekeeper].local_state());
        let replica = &mut self.replicas[gatekeeper];
        replica.record(now, Key::Heartbeat, RowValue::Heartbeat(self.now), 60.0);
        for s in local.usage {
            let value = RowValue::Usage { units: s.units, acknowledged: s.acknowledged_units };
            replica.record(now, Key::Usage(s.customer, s.window), value, s.expires_at - now);
        }
        replica.sweep(now, &Default::default());
        let fresh_fraction = replica.fresh_fraction(now, self.size.gatekeepers as u32);
        let usage = replica.take_changed_usage();
        let state = RemoteState { usage, host_health: Vec::new(), fresh_fraction };
        self.gatekeepers[gatekeeper].apply_remote_state(state);
        for _ in 0..PEERS_PER_ROUND {
            let peer = (gatekeeper + 1 + (self.rng.next() * (self.size.gatekeepers - 1) as f64) as usize)
                % self.size.gatekeepers;
            if !self.is_partitioned(gatekeeper, peer) {
                self.schedule(self.now + EXCHANGE_SECS, SimEvent::Exchange { gatekeeper, peer });
            }
        }
        let interval = REPLICATION_INTERVAL_SECS * (0.8 + 0.4 * self.rng.next());
        let incarnation = self.incarnations[gatekeeper];
        self.schedule(self.now + interval, SimEvent::ReplicationRound { gatekeeper, incarnation });
    }

    /// Sends a gatekeeper's own new rows to a peer, and brings the gatekeeper up to date with what the peer has.
    fn exchange(&mut self, gatekeeper: usize, peer: usize) {
        let now = CLOCK_START_SECS + self.now;
        let known_by_peer = self.replicas[peer].digest();
        let own_origin = self.replicas[gatekeeper].me().clone();
        let known_version = known_by_peer.get(&own_origin).copied().unwrap_or(0);
        if let Some(delta) = self.replicas[gatekeeper].own_delta_after(now, known_version) {
            self.replicas[peer].merge(now, delta);
        }
        let digest = self.replicas[gatekeeper].digest();
        for delta in self.replicas[peer].deltas_for(now, &digest, EXCHANGE_MAX_BYTES, 0).0 {
            self.replicas[gatekeeper].merge(now, delta);
        }
    }

    /// Lets a gatekeeper handle an event, and carries out its actions.
    fn deliver(&mut self, gatekeeper: usize, event: Event) {
        let mut actions = Vec::new();
        self.gatekeepers[gatekeeper].handle(secs(CLOCK_START_SECS + self.now), event, &mut actions);
        let incarnation = self.incarnations[gatekeeper];
        for action in actions {
            match action {
                Action::Send { id, host, .. } => {
                    let Some(&PendingRequest { customer, units }) = self.pending.get(&id) else { continue };
                    if units > 0.0 {
                        self.record_sent(customer, units);
                        self.pending.insert(id.clone(), PendingRequest { customer, units: 0.0 });
                    }
                    let at = self.now + ATTEMPT_SECS * (0.7 + 0.6 * self.rng.next());
                    let finished =
                        SimEvent::AttemptFinished { gatekeeper, incarnation, id, attempt: 0, host, customer };
                    self.schedule(at, finished);
                }
                Action::Refuse { id, .. } | Action::Fail { id } => {
                    if let Some(PendingRequest { customer, units }) = self.pending.remove(&id) {
                        self.record_rejected(customer, units);
                    }
                }
                Action::AddToCounter { name, amount, .. } => self.call_counter(gatekeeper, name, amount),
                Action::SetTimer { after, token } => {
                    let at = self.now + after.as_secs_f64();
                    self.schedule(at, SimEvent::Timer { gatekeeper, incarnation, token });
                }
                _ => {}
            }
        }
    }

    fn record_sent(&mut self, customer: usize, units: f64) {
        let now = self.now;
        let c = &mut self.customers[customer];
        c.quota.refill(now);
        let inside = c.quota.level.clamp(0.0, units);
        c.quota.level -= inside;
        c.period_units += units;
        if self.is_fault_active {
            c.excess_units += units - inside;
        }
        c.ceiling.refill(now);
        c.ceiling.level -= units;
        c.min_ceiling_level = c.min_ceiling_level.min(c.ceiling.level);
    }

    fn record_rejected(&mut self, customer: usize, units: f64) {
        let c = &mut self.customers[customer];
        c.quota.refill(self.now);
        if self.is_fault_active && c.quota.level >= units {
            c.rejected_inside_quota += units;
        }
    }

    /// Simulates one call to the counter, from its arrival to the reply.
    fn call_counter(&mut self, gatekeeper: usize, name: CounterKey, amount: f64) {
        let incarnation = self.incarnations[gatekeeper];
        let second = (self.now as usize).min(self.calls.len() - 1);
        self.calls[second] += 1;
        let partition = name.0.bytes().fold(0u32, |h, b| h.wrapping_mul(31).wrapping_add(b.into())) % 2;
        let fault = if self.is_fault_active { self.fault } else { Fault::None };
        let is_unresponsive = match fault {
            Fault::Lost | Fault::LostAndRestarted | Fault::LostAndPartitioned => true,
            Fault::PartitionLost => partition == 1,
            _ => false,
        };
        if is_unresponsive {
            let (ending, total, delay) = (Ending::Timeout, 0.0, COUNTER_TIMEOUT_SECS);
            let reply = SimEvent::CounterReply { gatekeeper, incarnation, name, ending, total, delay };
            self.schedule(self.now + COUNTER_TIMEOUT_SECS, reply);
            return;
        }
        let view = usize::from(fault == Fault::Split && gatekeeper % 2 == 1);
        let total = self.totals[view].entry(name.clone()).or_default();
        *total += amount;
        let mut total = *total;
        self.answer_count += 1;
        if fault == Fault::Garbage && self.answer_count.is_multiple_of(4) {
            total = [f64::INFINITY, -5.0, 0.0, 1e15][(self.answer_count / 4 % 4) as usize];
        }
        self.counter_busy_until = self.counter_busy_until.max(self.now) + self.size.call_secs;
        let queued = (self.counter_busy_until - self.now).max(0.0);
        let delay = queued + 0.002 + 0.002 * self.rng.next();
        if fault == Fault::Late || delay > COUNTER_TIMEOUT_SECS {
            let late = if fault == Fault::Late { 2.0 * COUNTER_TIMEOUT_SECS } else { delay };
            self.unanswered[second] += 1;
            let (ending, delay) = (Ending::Timeout, COUNTER_TIMEOUT_SECS);
            let timeout = SimEvent::CounterReply {
                gatekeeper,
                incarnation,
                name: name.clone(),
                ending,
                total: 0.0,
                delay,
            };
            self.schedule(self.now + COUNTER_TIMEOUT_SECS, timeout);
            let reply = SimEvent::LateCounterReply { gatekeeper, incarnation, name, total, delay: late };
            self.schedule(self.now + late, reply);
            return;
        }
        let ending = Ending::Ok;
        let reply = SimEvent::CounterReply { gatekeeper, incarnation, name, ending, total, delay };
        self.schedule(self.now + delay, reply);
    }

    /// Sends a request of 1 to 3 units to one of the customer's gatekeepers, and schedules the next request.
    fn send_request(&mut self, customer: usize) {
        let c = &self.customers[customer];
        let units = 1.0 + (self.rng.next() * 3.0).floor();
        let mut draw = self.rng.next() * c.weights.iter().sum::<f64>();
        let mut offset = 0;
        while offset + 1 < WIDTH && draw > c.weights[offset] {
            draw -= c.weights[offset];
            offset += 1;
        }
        let gatekeeper = (c.first_gatekeeper + offset) % self.size.gatekeepers;
        let interval = -2.0 / c.demand * (1.0 - self.rng.next()).ln();
        let (plan, is_issue) = (PLAN_NAMES[c.plan], self.rng.next() < 0.42);
        self.schedule(self.now + interval, SimEvent::Request(customer));
        if self.is_fault_active {
            self.customers[customer].requested_units += units;
        }
        self.request_count += 1;
        let id = RequestId(Arc::from(format!("r{}", self.request_count)));
        self.pending.insert(id.clone(), PendingRequest { customer, units });
        let event = Event::Request {
            id,
            class: if is_issue { "issue" } else { "preview" }.into(),
            plan: plan.into(),
            customer: CustomerId(Arc::from(format!("{customer:016x}"))),
            budget: secs(3.0),
            units,
            gateway_count: WIDTH as u32,
        };
        self.deliver(gatekeeper, event);
    }

    fn process(&mut self, event: SimEvent) {
        match event {
            SimEvent::Request(customer) => self.send_request(customer),
            SimEvent::AttemptFinished { gatekeeper, incarnation, id, attempt, host, customer } => {
                self.pending.remove(&id);
                let Meter { newest, visible_from, previous } = self.customers[customer].meter;
                let metered = Some(if self.now >= visible_from { newest } else { previous });
                if self.incarnations[gatekeeper] == incarnation {
                    let (ending, elapsed) = (Ending::Ok, secs(ATTEMPT_SECS));
                    let outcome = Event::AttemptFinished {
                        id,
                        attempt,
                        host,
                        ending,
                        request_done: true,
                        elapsed,
                        cost: 0.0,
                        metered,
                    };
                    self.deliver(gatekeeper, outcome);
                }
            }
            SimEvent::Timer { gatekeeper, incarnation, token }
                if self.incarnations[gatekeeper] == incarnation =>
            {
                self.deliver(gatekeeper, Event::Timer { token });
            }
            SimEvent::CounterReply { gatekeeper, incarnation, name, ending, total, delay }
                if self.incarnations[gatekeeper] == incarnation =>
            {
                self.deliver(gatekeeper, Event::CounterReply { name, ending, total, elapsed: secs(delay) });
            }
            SimEvent::LateCounterReply { gatekeeper, incarnation, name, total, delay }
                if self.incarnations[gatekeeper] == incarnation =>
            {
                self.deliver(gatekeeper, Event::LateCounterReply { name, total, elapsed: secs(delay) });
            }
            SimEvent::ShiftWeights => {
                for c in 0..self.customers.len() {
                    self.customers[c].weights = [0.6, 0.3, 0.1].map(|w| w * (0.5 + self.rng.next()));
                    let rotation = (self.rng.next() * 3.0) as usize;
                    self.customers[c].weights.rotate_left(rotation);
                }
                self.schedule(self.now + 10.0, SimEvent::ShiftWeights);
            }
            SimEvent::MeterPeriodEnds => {
                for c in &mut self.customers {
                    let newest = c.period_units / 2.0 / c.quota.rate;
                    c.meter = Meter { newest, visible_from: self.now + 0.6, previous: c.meter.newest };
                    c.period_units = 0.0;
                }
                self.schedule(self.now + 2.0, SimEvent::MeterPeriodEnds);
            }
            SimEvent::FaultBegins => self.begin_fault(),
            SimEvent::ReplicationRound { gatekeeper, incarnation }
                if self.incarnations[gatekeeper] == incarnation =>
            {
                self.replication_round(gatekeeper);
            }
            SimEvent::Exchange { gatekeeper, peer } => self.exchange(gatekeeper, peer),
            SimEvent::FaultEnds => self.is_fault_active = false,
            _ => {}
        }
    }

    fn begin_fault(&mut self) {
        self.is_fault_active = true;
        if self.fault == Fault::Replaced {
            self.totals[0].clear();
        }
        if self.fault == Fault::Split {
            self.totals[1] = self.totals[0].clone();
        }
        if self.fault == Fault::LostAndRestarted {
            for gatekeeper in (0..self.size.gatekeepers).step_by(2) {
                self.incarnations[gatekeeper] += 1;
                self.gatekeepers[gatekeeper] = self.new_gatekeeper(gatekeeper, 77 + gatekeeper as u64);
                self.replicas[gatekeeper] = self.new_replica(gatekeeper);
                self.list_hosts(gatekeeper);
                if self.setup.replicates {
                    self.schedule(
                        self.now,
                        SimEvent::ReplicationRound { gatekeeper, incarnation: self.incarnations[gatekeeper] },
                    );
                }
            }
        }
    }

    fn list_hosts(&mut self, gatekeeper: usize) {
        let entries = (0..9)
            .map(|n| HostEntry {
                host: HostId(Arc::from(format!("h{n}"))),
                zone: "a".into(),
                group: 0,
                kind: "std".into(),
                availability: Availability::Ready,
                nominal_capacity: 1.0,
                last_start: None,
            })
            .collect();
        self.deliver(gatekeeper, Event::Hosts { scope: ListScope::Restored, entries });
    }
}

/// Calls to the counter in one second.
#[derive(Clone, Copy, Debug)]
struct CallCount {
    calls: u64,
    unanswered: u64,
}

/// SimEvent a run gave.
struct RunResult {
    figures: Figures,
    /// Report of each gatekeeper one second before the fault ends.
    reports: Vec<CounterReport>,
    /// Calls to the counter by second from the end of the fault.
    calls_after: Vec<CallCount>,
    /// Mode of the counter at each gatekeeper, some time after the fault.
    modes_after: Vec<String>,
}

fn run(fault: Fault, setup: &Setup, seed: u64) -> RunResult {
    run_sized(SMALL, fault, setup, seed, 0.0)
}

/// Runs a simulation of this size. `modes_after` are those `modes_delay_secs` after the fault.
fn run_sized(size: Size, fault: Fault, setup: &Setup, seed: u64, modes_delay_secs: f64) -> RunResult {
    let mut rng = Rng(seed);
    let customers = (0..size.customers)
        .map(|n| {
            let plan = if n % 4 == 3 { CABINET } else { STANDARD };
            let (rate, burst) = [(2.4, 10.0), (15.0, 30.0)][plan];
            // Most demand a fraction of their quota, some nearly all of it, some three times as much.
            let demand = rate * [0.3, 0.5, 0.95, 0.4, 3.0][n % 5];
            Customer {
                plan,
                demand,
                first_gatekeeper: (rng.next() * size.gatekeepers as f64) as usize,
                weights: [0.6, 0.3, 0.1],
                quota: TokenBucket::new(rate, burst),
                ceiling: TokenBucket::new(30.0, 60.0),
                period_units: 0.0,
                meter: Meter { newest: 0.0, visible_from: 0.0, previous: 0.0 },
                excess_units: 0.0,
                rejected_inside_quota: 0.0,
                requested_units: 0.0,
                min_ceiling_level: 0.0,
            }
        })
        .collect();
    let mut m = Model {
        now: 0.0,
        size,
        counter_busy_until: 0.0,
        rng,
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        sequence: 0,
        gatekeepers: Vec::new(),
        incarnations: vec![0; size.gatekeepers],
        setup: setup.clone(),
        replicas: Vec::new(),
        customers,
        pending: BTreeMap::new(),
        request_count: 0,
        totals: Default::default(),
        fault,
        is_fault_active: false,
        answer_count: 0,
        calls: vec![0; RUN_SECS as usize + 2],
        unanswered: vec![0; RUN_SECS as usize + 2],
    };
    for gatekeeper in 0..size.gatekeepers {
        let gateway = m.new_gatekeeper(gatekeeper, seed ^ gatekeeper as u64);
        m.gatekeepers.push(gateway);
        let replica = m.new_replica(gatekeeper);
        m.replicas.push(replica);
        m.list_hosts(gatekeeper);
        if setup.replicates {
            let at = REPLICATION_INTERVAL_SECS * m.rng.next();
            m.schedule(at, SimEvent::ReplicationRound { gatekeeper, incarnation: 0 });
        }
    }
    for customer in 0..m.customers.len() {
        let at = m.rng.next();
        m.schedule(at, SimEvent::Request(customer));
    }
    let fault_end = FAULT_START_SECS + FAULT_SECS;
    m.schedule(0.0, SimEvent::ShiftWeights);
    m.schedule(2.0, SimEvent::MeterPeriodEnds);
    m.schedule(FAULT_START_SECS, SimEvent::FaultBegins);
    m.schedule(fault_end, SimEvent::FaultEnds);
    let (mut reports, mut modes_after) = (Vec::new(), Vec::new());
    while let Some(Reverse((at, sequence))) = m.queue.pop() {
        m.now = (at as f64 / 1e6).max(m.now);
        if m.now > RUN_SECS {
            break;
        }
        if reports.is_empty() && m.now > fault_end - 1.0 {
            reports = m.gatekeepers.iter().map(Gateway::counter_report).collect();
        }
        if modes_after.is_empty() && m.now > fault_end + modes_delay_secs {
            modes_after =
                m.gatekeepers.iter().map(|g| g.counter_report().partitions[0].mode.clone()).collect();
        }
        let event = m.events.remove(&sequence).expect("queued");
        m.process(event);
    }
    let excess = |is_counted: &dyn Fn(&Customer) -> bool| {
        let (mut excess_units, mut quota) = (0.0, 0.0);
        for c in m.customers.iter().filter(|c| c.plan == STANDARD && is_counted(c)) {
            excess_units += c.excess_units;
            quota += c.quota.rate * FAULT_SECS;
        }
        excess_units / quota
    };
    let standard = m.customers.iter().filter(|c| c.plan == STANDARD);
    let cabinet = m.customers.iter().filter(|c| c.plan == CABINET);
    let (from, to) = (FAULT_START_SECS as usize, fault_end as usize);
    let inside = || m.customers.iter().filter(|c| c.demand < c.quota.rate);
    let figures = Figures {
        excess_inside: excess(&|c| c.demand < c.quota.rate),
        excess_beyond: excess(&|c| c.demand > c.quota.rate),
        max_excess: standard.map(|c| c.excess_units / (c.quota.rate * FAULT_SECS)).fold(0.0, f64::max),
        rejected: inside().map(|c| c.rejected_inside_quota).sum::<f64>()
            / inside().map(|c| c.requested_units).sum::<f64>(),
        calls_per_sec: m.calls[from..to].iter().sum::<u64>() as f64 / FAULT_SECS,
        calls_per_sec_after: m.calls[to..to + 2].iter().sum::<u64>() as f64 / 2.0,
        min_ceiling_level: cabinet.map(|c| c.min_ceiling_level).fold(0.0, f64::min),
    };
    let call_count = |second: usize| CallCount { calls: m.calls[second], unanswered: m.unanswered[second] };
    let calls_after = (to..RUN_SECS as usize).map(call_count).collect();
    RunResult { figures, reports, calls_after, modes_after }
}

/// Guards against a returning counter that is overloaded by a hundred gatekeepers that call it at once. The counter
/// bears 700 calls per second and was lost for half a minute. Most gatekeepers use it again within eight seconds.
#[test]
fn a_returning_counter_is_not_called_by_all_at_once() {
    let customers = if cfg!(debug_assertions) { 150 } else { 600 };
    let size = Size { gatekeepers: 100, customers, call_secs: 1.0 / 700.0 };
    let RunResult { calls_after, modes_after, .. } = run_sized(size, Fault::Lost, &Setup::default(), 1, 8.0);
    let unanswered: Vec<f64> =
        calls_after.iter().map(|c| c.unanswered as f64 / c.calls.max(1) as f64).collect();
    let recovered = modes_after.iter().filter(|m| *m == "in step" || *m == "rejoined").count();
    println!("calls by second after the fault: {calls_after:?}; {recovered} of 100 recovered after 8 s");
    assert!(calls_after[0].calls <= 700, "not all at once: {calls_after:?}");
    assert!(
        unanswered[0] < 0.1 && unanswered.iter().all(|fraction| *fraction < 0.5),
        "most calls are answered: {calls_after:?}"
    );
    assert!(recovered >= 70, "{modes_after:?}");
}

fn all_faults() -> [Fault; 9] {
    use Fault::*;
    [None, Lost, PartitionLost, Late, Split, Replaced, Garbage, LostAndRestarted, LostAndPartitioned]
}

/// Bound on the mean excess of customers that demand three times their quota, over a fault of 30 s, as a fraction of
/// the quota: the target of a tenth, and the deviation of the mean over a few seeds. The target does not cover late
/// answers and split counters (docs/quota.md).
fn max_excess_beyond(fault: Fault) -> f64 {
    match fault {
        Fault::Split => 0.50,
        Fault::Late => 0.17,
        _ => 0.13,
    }
}

/// The error bound of docs/quota.md for a customer that demands three times its quota, as a fraction of the quota. The
/// last total is a quarter of a window old, and each gatekeeper admits one largest request too many.
fn stated_bound() -> f64 {
    let (rate, burst) = (2.4, 10.0);
    let (width, total_age_secs, stale_fraction) = (WIDTH as f64, 0.25 * burst / rate, 0.34);
    let input = BoundInput {
        width,
        rate,
        burst,
        demand: 3.0 * rate,
        total_age_secs,
        stale_fraction,
        share_sum: 1.0,
        largest_request: 4.0,
    };
    ErrorBound::over(&input, FAULT_SECS).units() / (rate * FAULT_SECS)
}

/// Number of seeds that figures are averaged over, as a single run of nine heavy customers deviates by a third. Debug
/// builds are slow and use few; the table of docs/quota.md needs twelve.
const SEEDS: u64 = if cfg!(debug_assertions) { 3 } else { 12 };

/// Mean figures of a fault over the seeds, with the lowest ceiling level of all runs; and the figures of each run.
fn mean_of(fault: Fault, setup: &Setup) -> (Figures, Vec<Figures>) {
    let runs: Vec<Figures> = (1..=SEEDS).map(|seed| run(fault, setup, seed).figures).collect();
    let mean = |f: &dyn Fn(&Figures) -> f64| runs.iter().map(f).sum::<f64>() / runs.len() as f64;
    let figures = Figures {
        excess_inside: mean(&|f| f.excess_inside),
        excess_beyond: mean(&|f| f.excess_beyond),
        max_excess: mean(&|f| f.max_excess),
        rejected: mean(&|f| f.rejected),
        calls_per_sec: mean(&|f| f.calls_per_sec),
        calls_per_sec_after: mean(&|f| f.calls_per_sec_after),
        min_ceiling_level: runs.iter().map(|f| f.min_ceiling_level).fold(0.0, f64::min),
    };
    (figures, runs)
}

/// The stated error bound holds in every fault, audited from the requests sent: customers inside their quota stay
/// within it and are not rejected because of the fault, customers far beyond it stay within the target, and no ceiling
/// is exceeded by more than its tolerance.
#[test]
fn quotas_hold_within_the_stated_error_in_every_fault() {
    for fault in all_faults() {
        let (f, runs) = mean_of(fault, &Setup::default());
        let is_within_ceilings = runs.iter().all(|f| f.min_ceiling_level >= -CEILING_TOLERANCE);
        assert!(is_within_ceilings, "{fault:?} exceeds a ceiling: {f:?}");
        assert!(f.excess_inside < 0.03 && f.rejected < 0.06, "{fault:?}: {f:?}");
        assert!(f.excess_beyond <= max_excess_beyond(fault), "{fault:?}: {f:?}");
        // The formula covers the customer with the largest excess, too, but not a split counter.
        assert!(
            fault == Fault::Split || f.max_excess <= stated_bound(),
            "{fault:?}: {} exceeds the bound {}",
            f.max_excess,
            stated_bound()
        );
        assert!(f.calls_per_sec < 250.0 && f.calls_per_sec_after < 200.0, "{fault:?}: {f:?}");
    }
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig { cases: 12, failure_persistence: None, ..Default::default() })]

    /// No ceiling is exceeded by more than its tolerance, whatever the fault, the setup and the seed.
    #[test]
    fn ceilings_hold_in_any_run(fault in 0usize..9, replicates in 0usize..2, seed in 100u64..1_000_000) {
        let fault = all_faults()[fault];
        let f = run(fault, &Setup { replicates: replicates == 1, quota: None }, seed).figures;
        proptest::prop_assert!(f.min_ceiling_level >= -CEILING_TOLERANCE, "{fault:?}: {}", f.min_ceiling_level);
    }
}

/// A setup without the guard, where gatekeepers fall back to even shares of the quota.
fn without_guard() -> Setup {
    let quota = QuotaSettings { is_guarded: false, ..QuotaSettings::default() };
    Setup { quota: Some(quota), replicates: false }
}

fn with_replication() -> Setup {
    Setup { replicates: true, ..Setup::default() }
}

/// Replicated usage also bounds the error in the faults that the guard alone does not cover: late answers, a split
/// counter, and partitioned gatekeepers. Customers inside their quota are not rejected, and without a fault none is
/// detected.
#[test]
fn replication_bounds_the_error_that_the_guard_alone_does_not() {
    for fault in all_faults() {
        let (f, runs) = mean_of(fault, &with_replication());
        let is_within_ceilings = runs.iter().all(|f| f.min_ceiling_level >= -CEILING_TOLERANCE);
        assert!(is_within_ceilings, "{fault:?} exceeds a ceiling: {f:?}");
        println!("{fault:?}: {f:?}");
        assert!(f.excess_inside < 0.02 && f.rejected < 0.06, "{fault:?}: {f:?}");
        let max_excess_beyond = if fault == Fault::LostAndPartitioned { 0.10 } else { 0.04 };
        assert!(f.excess_beyond <= max_excess_beyond, "{fault:?}: {f:?}");
    }
    for seed in 1..=SEEDS {
        for report in run(Fault::None, &with_replication(), seed).reports {
            assert_eq!(report.partitions[0].mode, "in step", "a fault is detected without one");
        }
        // A view that is shared by nearly all customers of one gatekeeper can look complete to it.
        let reports = run(Fault::Split, &with_replication(), seed).reports;
        let split = reports.iter().filter(|r| r.partitions[0].mode == "split").count();
        assert!(split >= 5, "{split} of 6 gatekeepers detect the split");
    }
}

/// Without the guard the error is larger, more requests are rejected for garbage totals, and an unresponsive partition
/// slows down calls for the other.
#[test]
fn without_the_guard_the_error_is_larger() {
    let unguarded = without_guard();
    for fault in [Fault::Lost, Fault::PartitionLost, Fault::LostAndRestarted] {
        let (with, without) = (mean_of(fault, &Setup::default()).0, mean_of(fault, &unguarded).0);
        assert!(
            with.excess_beyond < 0.75 * without.excess_beyond,
            "{fault:?}: {} with the guard, {} without",
            with.excess_beyond,
            without.excess_beyond
        );
    }
    let (with, without) =
        (mean_of(Fault::Garbage, &Setup::default()).0, mean_of(Fault::Garbage, &unguarded).0);
    assert!(
        with.rejected < 0.5 * without.rejected,
        "rejected for garbage totals: {} with the guard, {} without",
        with.rejected,
        without.rejected
    );
    let (with, without) =
        (mean_of(Fault::PartitionLost, &Setup::default()).0, mean_of(Fault::PartitionLost, &unguarded).0);
    assert!(
        with.calls_per_sec > 2.0 * without.calls_per_sec,
        "calls with a partition lost: {} with the guard, {} without",
        with.calls_per_sec,
        without.calls_per_sec
    );
}

/// Each gatekeeper reports the mode that corresponds to the fault, and the healthy mode without one.
#[test]
fn gatekeepers_report_the_mode_of_each_fault() {
    for (fault, modes) in [
        (Fault::None, ["in step", "in step"]),
        (Fault::Lost, ["lost", "lost"]),
        (Fault::PartitionLost, ["split", "lost"]),
        (Fault::Late, ["late", "late"]),
        (Fault::LostAndRestarted, ["lost", "lost"]),
    ] {
        let reports = run(fault, &Setup::default(), 2).reports;
        for report in &reports {
            let partition = &report.partitions[0];
            assert!(modes.contains(&partition.mode.as_str()), "{fault:?}: {reports:?}");
            assert_eq!(partition.unverified_units > 0.0, fault != Fault::None, "{fault:?}: {reports:?}");
        }
    }
    let replaced = run(Fault::Replaced, &Setup::default(), 2).reports;
    let resent: f64 = replaced.iter().map(|r| r.partitions[0].resent_units).sum();
    assert!(resent > 0.0, "lost units are resent to a replaced counter");
    let garbage = run(Fault::Garbage, &Setup::default(), 2).reports;
    let implausible: u64 = garbage.iter().map(|r| r.partitions[0].implausible_answers).sum();
    assert!(implausible > 100, "implausible answers are counted: {implausible}");
}

#[test]
#[ignore = "prints a table: run by hand"]
fn measure() {
    println!("error bound beyond the quota, except for a split counter: {:.1}%", 100.0 * stated_bound());
    for (name, setup) in [
        ("guard and replication", with_replication()),
        ("guard", Setup::default()),
        ("even shares", without_guard()),
    ] {
        println!("{name}");
        for fault in all_faults() {
            let f = mean_of(fault, &setup).0;
            let reports = run(fault, &setup, 1).reports;
            let mode = |r: &CounterReport| {
                format!("{} {:.2}", r.partitions[0].mode, r.counted_fraction.unwrap_or(-1.0))
            };
            println!(
                "{:<18} excess inside {:>5.1}%  beyond {:>5.1}%  largest {:>5.1}%  rejected inside {:>4.1}%  \
                 calls/s {:>5.0}  after {:>5.0}  ceiling {:>5.1}  {}",
                format!("{fault:?}"),
                100.0 * f.excess_inside,
                100.0 * f.excess_beyond,
                100.0 * f.max_excess,
                100.0 * f.rejected,
                f.calls_per_sec,
                f.calls_per_sec_after,
                f.min_ceiling_level,
                reports.iter().map(mode).collect::<Vec<_>>().join(", "),
            );
        }
    }
}
