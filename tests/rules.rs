//! Tests of the decision module through its events and actions, with simulated time and fixed seeds.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use whinstall::*;

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}
fn request_id(n: usize) -> RequestId {
    RequestId(Arc::from(format!("r{n}")))
}
fn host_id(n: usize) -> HostId {
    HostId(Arc::from(format!("h{n}")))
}

fn class(name: &str, idempotency: Idempotency) -> Class {
    Class {
        name: name.into(),
        latency_target: secs(1.0),
        value: 1.0,
        late_value_fraction: 0.0,
        idempotency,
        key_retention: secs(1.5),
    }
}

fn plan(name: &str) -> Plan {
    Plan {
        name: name.into(),
        rate: 10.0,
        burst: 20.0,
        max_concurrent: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_tolerance: 0.0,
        price: 1.0,
        excess_value_fraction: 0.0,
        excess_cost_fraction: 0.5,
    }
}

fn settings() -> Settings {
    let open = Plan { rate: 0.0, burst: 0.0, max_concurrent: 4, ..plan("open") };
    let hard = Plan {
        rate: 40.0,
        burst: 80.0,
        ceiling_rate: 40.0,
        ceiling_burst: 60.0,
        ceiling_tolerance: 8.0,
        ..plan("hard")
    };
    let free = Plan { rate: 0.0, burst: 0.0, ..plan("free") };
    Settings {
        replicas: 2,
        ordinal: 0,
        zone: "a".into(),
        classes: vec![
            class("read", Idempotency::Repeatable),
            class("keyed", Idempotency::ByKey(KeyScope::All)),
            class("cell", Idempotency::ByKey(KeyScope::Cell)),
            class("order", Idempotency::Once),
        ],
        plans: vec![plan("rate"), open, hard, free],
        uses_counter: true,
        counter_timeout: secs(0.05),
        units_are_estimates: true,
        max_units: 8.0,
        may_cancel: true,
        may_hedge: false,
        may_probe: false,
        max_attempts: 4,
        sends_retry_after: true,
        max_retry_after: secs(1.0),
        subscribes_to_hosts: false,
        load_reports: LoadReports::Off,
        cold_capacity_fraction: 0.2,
        overload_factor: 2.0,
        overload_duration: secs(1.0),
        warmup: secs(15.0),
        cross_zone_price: 0.0,
        probe_price: 0.01,
    }
}

/// Just after the start of a window of customer `c`; its windows are two seconds long.
const START: f64 = 1000.64;

/// A gateway with simulated time.
struct TestGateway {
    module: Gateway,
    now: f64,
    /// Number of the last request.
    last_request: usize,
    /// Calls to the counter that are not answered yet: entry and amount.
    calls: Vec<(CounterKey, f64)>,
}

impl TestGateway {
    fn new(settings: Settings, hosts: usize) -> TestGateway {
        let mut gateway =
            TestGateway { module: Gateway::new(settings, 3), now: START, last_request: 0, calls: Vec::new() };
        gateway.update_hosts(
            ListScope::Restored,
            (0..hosts).map(|h| host_entry(h, Availability::Ready)).collect(),
        );
        gateway
    }
    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.module.handle(secs(self.now), event, &mut actions);
        for a in &actions {
            if let Action::AddToCounter { name, amount, .. } = a {
                self.calls.push((name.clone(), *amount));
            }
        }
        actions
    }
    fn update_hosts(&mut self, scope: ListScope, entries: Vec<HostEntry>) -> Vec<Action> {
        self.handle(Event::Hosts { scope, entries })
    }
    fn request(&mut self, class: &str, plan: &str, customer: &str, units: f64, width: u32) -> Vec<Action> {
        self.last_request += 1;
        self.handle(Event::Request {
            id: request_id(self.last_request),
            class: class.into(),
            plan: plan.into(),
            customer: CustomerId(Arc::from(customer)),
            budget: secs(2.0),
            units,
            gateway_count: width,
        })
    }
    fn finish_attempt(
        &mut self,
        n: usize,
        attempt: u32,
        host: &HostId,
        ending: Ending,
        cost: f64,
    ) -> Vec<Action> {
        let done = ending == Ending::Ok;
        let (id, host, elapsed) = (request_id(n), host.clone(), secs(0.05));
        self.handle(Event::AttemptFinished {
            id,
            attempt,
            host,
            ending,
            request_done: done,
            elapsed,
            cost,
            metered: None,
        })
    }
    /// Sends a request and answers it at once. Returns whether it was admitted.
    fn serve(&mut self, plan: &str, customer: &str, units: f64, width: u32) -> bool {
        let actions = self.request("read", plan, customer, units, width);
        match sent_host(&actions) {
            Some(host) => {
                self.finish_attempt(self.last_request, 0, &host, Ending::Ok, 0.0);
                true
            }
            None => false,
        }
    }
    fn tick(&mut self) -> Vec<Action> {
        self.handle(Event::Timer { token: "tick".into() })
    }
    /// Advances the time in steps of 10 ms, each with a timer event.
    fn advance(&mut self, seconds: f64) {
        for _ in 0..(seconds * 100.0).round() as usize {
            self.now += 0.01;
            self.tick();
        }
    }
    /// Ends all calls to the counter; `counter` returns the outcome and the total of each.
    fn answer_counter(&mut self, mut counter: impl FnMut(&CounterKey, f64) -> (Ending, f64)) -> Vec<Action> {
        let mut actions = Vec::new();
        for (name, amount) in std::mem::take(&mut self.calls) {
            let (ending, total) = counter(&name, amount);
            actions.extend(self.handle(Event::CounterReply { name, ending, total, elapsed: secs(0.002) }));
        }
        actions
    }
}

fn host_entry(n: usize, availability: Availability) -> HostEntry {
    let zone = if n.is_multiple_of(2) { "a" } else { "b" };
    HostEntry {
        host: host_id(n),
        zone: zone.into(),
        group: n as i64 / 2,
        kind: "".into(),
        availability,
        nominal_capacity: 1.0,
        last_start: None,
    }
}

fn sent_host(actions: &[Action]) -> Option<HostId> {
    actions.iter().find_map(|a| match a {
        Action::Send { host, .. } => Some(host.clone()),
        _ => None,
    })
}
fn is_refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}
fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// A counter without faults.
#[derive(Default)]
struct Counter(BTreeMap<CounterKey, f64>);
impl Counter {
    fn add(&mut self, name: &CounterKey, amount: f64) -> (Ending, f64) {
        let total = self.0.entry(name.clone()).or_default();
        *total += amount;
        (Ending::Ok, *total)
    }
}

// Invariants ------------------------------------------------------------------------------------------

#[test]
fn a_request_that_must_run_once_is_retried_only_if_it_never_ran() {
    for (ending, again) in [
        (Ending::Error, false),
        (Ending::Timeout, false),
        (Ending::Reset, false),
        (Ending::Cancelled, false),
        (Ending::Full, true),
        (Ending::ConnectFailed, true),
    ] {
        let mut gateway = TestGateway::new(settings(), 6);
        let host = sent_host(&gateway.request("order", "free", "c", 1.0, 2)).expect("sent");
        let actions = gateway.finish_attempt(1, 0, &host, ending, 0.0);
        assert_eq!(sent_host(&actions).is_some(), again, "{ending:?}");
        assert_eq!(is_failed(&actions), !again, "{ending:?}");
        assert!(!is_refused(&actions));
    }
}

#[test]
fn a_repeatable_request_is_retried_after_any_failure() {
    for ending in [Ending::Error, Ending::Timeout, Ending::Reset, Ending::Full, Ending::ConnectFailed] {
        let mut gateway = TestGateway::new(settings(), 6);
        let host = sent_host(&gateway.request("read", "free", "c", 1.0, 2)).expect("sent");
        let other = sent_host(&gateway.finish_attempt(1, 0, &host, ending, 0.0)).expect("again");
        assert_ne!(host, other);
    }
}

#[test]
fn a_keyed_request_is_retried_only_within_its_cell_and_key_retention() {
    for late in [false, true] {
        let mut gateway = TestGateway::new(settings(), 6);
        let host = sent_host(&gateway.request("cell", "free", "c", 1.0, 2)).expect("sent");
        gateway.now += if late { 1.45 } else { 0.3 };
        let actions = gateway.finish_attempt(1, 0, &host, Ending::Error, 0.0);
        match sent_host(&actions) {
            Some(other) => {
                assert!(!late);
                let cell = |h: &HostId| h.0[1..].parse::<usize>().expect("number") / 2;
                assert_eq!(cell(&host), cell(&other));
            }
            None => assert!(late && is_failed(&actions)),
        }
    }
}

#[test]
fn a_request_is_answered_at_its_deadline_and_not_retried() {
    let mut gateway = TestGateway::new(settings(), 1);
    for (n, class) in ["read", "keyed", "cell", "order"].into_iter().enumerate() {
        let host = sent_host(&gateway.request(class, "free", "c", 1.0, 2)).expect("sent");
        gateway.now += 2.0;
        let actions = gateway.finish_attempt(n + 1, 0, &host, Ending::Timeout, 0.0);
        let given_up = if class == "read" { is_refused(&actions) } else { is_failed(&actions) };
        assert!(given_up && sent_host(&actions).is_none(), "{class}");
        assert!(gateway.finish_attempt(n + 1, 0, &host, Ending::Ok, 0.0).is_empty(), "nothing after the end");
    }
}

/// Guards clients that are refused because of an unknown plan, a ceiling or missing hosts: without a `Retry-After`
/// they do not know when to retry.
#[test]
fn every_refusal_has_a_retry_after() {
    let mut gateway = TestGateway::new(settings(), 6);
    let mut refusals = vec![
        gateway.request("read", "no such plan", "c", 1.0, 2),
        gateway.request("read", "rate", "c", 100.0, 2),
    ];
    refusals.extend((0..40).map(|_| gateway.request("read", "hard", "d", 2.0, 2)).filter(|a| is_refused(a)));
    gateway.update_hosts(ListScope::Replace, vec![]);
    refusals.push(gateway.request("read", "free", "c", 1.0, 2));
    assert!(refusals.len() > 3);
    for actions in refusals {
        let advice = actions.iter().find_map(|a| match a {
            Action::Refuse { retry_after, .. } => *retry_after,
            _ => None,
        });
        assert!(advice.is_some_and(|s| !s.is_zero() && s <= secs(1.0)), "{actions:?}");
    }
}

#[test]
fn draining_and_unlisted_hosts_receive_nothing() {
    let mut gateway = TestGateway::new(settings(), 2);
    gateway.update_hosts(ListScope::Update, vec![host_entry(0, Availability::Draining)]);
    for _ in 0..20 {
        assert_eq!(sent_host(&gateway.request("read", "free", "c", 1.0, 2)), Some(host_id(1)));
        gateway.finish_attempt(gateway.last_request, 0, &host_id(1), Ending::Ok, 0.0);
    }
    gateway.update_hosts(ListScope::Replace, vec![host_entry(0, Availability::Ready)]);
    assert_eq!(sent_host(&gateway.request("read", "free", "c", 1.0, 2)), Some(host_id(0)));
    gateway.update_hosts(ListScope::Replace, vec![]);
    assert!(is_refused(&gateway.request("read", "free", "c", 1.0, 2)), "no host: a prompt refusal");
}

#[test]
fn a_cold_host_receives_work_by_its_warmup() {
    let mut gateway = TestGateway::new(settings(), 4);
    gateway.advance(0.1);
    for _ in 0..400 {
        gateway.advance(0.01);
        gateway.serve("free", "c", 2.0, 2);
    }
    let start = gateway.now;
    let cold = HostEntry { last_start: Some(secs(start)), ..host_entry(4, Availability::Ready) };
    gateway.update_hosts(ListScope::Update, vec![cold]);
    let mut got = 0;
    for n in 0..300 {
        gateway.advance(0.01);
        let host = sent_host(&gateway.request("read", "free", "c", 2.0, 2)).expect("sent");
        got += usize::from(host == host_id(4));
        gateway.finish_attempt(401 + n, 0, &host, Ending::Ok, 0.0);
    }
    // Each warm host receives about 70 in these three seconds; the cold one has a fifth to a third of its capacity.
    assert!((3..=25).contains(&got), "{got}");
}

/// Guards a cold host that remains alone when all warm hosts vanish: the load divided by a warm capacity of zero must
/// not give it an unlimited token bucket.
#[test]
fn a_cold_host_alone_does_not_receive_all_load() {
    let mut gateway = TestGateway::new(settings(), 4);
    for _ in 0..200 {
        gateway.now += 0.005;
        assert!(gateway.serve("free", "c", 1.0, 2));
    }
    let cold = HostEntry { last_start: Some(secs(gateway.now)), ..host_entry(9, Availability::Ready) };
    gateway.update_hosts(ListScope::Replace, vec![cold]);
    let mut sends = 0;
    for _ in 0..200 {
        gateway.now += 0.005;
        sends += usize::from(sent_host(&gateway.request("read", "free", "c", 1.0, 2)).is_some());
    }
    // Each of the four hosts received 50 requests per second; this one has a fifth of its capacity.
    assert!(sends <= 10, "{sends}");
}

#[test]
fn ceilings_hold_with_all_gateways_at_their_share_and_after_restarts() {
    let (rate, burst, tolerance) = (40.0, 60.0, 8.0);
    let mut gateways: Vec<TestGateway> = (0..3).map(|_| TestGateway::new(settings(), 4)).collect();
    let (mut level, mut lowest, mut last) = (burst, 0.0f64, START);
    for step in 0..3000 {
        let now = START + f64::from(step) * 0.002;
        level = f64::min(burst, level + (now - last) * rate);
        last = now;
        if step == 1500 {
            gateways[0] = TestGateway::new(settings(), 4);
            gateways[1] = TestGateway::new(settings(), 4);
        }
        for gateway in &mut gateways {
            gateway.now = now;
            if step == 1500 {
                gateway.tick();
            }
            if gateway.serve("hard", "c", 3.0, 3) {
                level -= 3.0;
                lowest = lowest.min(level);
            }
            gateway.answer_counter(|_, _| (Ending::Ok, 0.0)); // the ceiling must not rely on the counter
        }
    }
    assert!(lowest >= -tolerance - 1e-6, "{lowest}");
}

// Quota counter ---------------------------------------------------------------------------------------------

#[test]
fn a_customer_without_a_total_has_the_even_share() {
    let mut gateway = TestGateway::new(settings(), 4);
    let served = (0..20).filter(|_| gateway.serve("rate", "c", 2.0, 2)).count();
    assert_eq!(served, 5); // half of 20 units
}

#[test]
fn a_customer_with_a_total_has_what_other_gateways_left() {
    let mut gateway = TestGateway::new(settings(), 4);
    assert!(gateway.serve("rate", "c", 2.0, 2));
    gateway.answer_counter(|_, amount| (Ending::Ok, amount));
    let served = (0..20).filter(|_| gateway.serve("rate", "c", 2.0, 2)).count();
    assert_eq!(served, 9); // all of 20 units, 2 used
    let mut gateway = TestGateway::new(settings(), 4);
    assert!(gateway.serve("rate", "c", 2.0, 2));
    gateway.answer_counter(|_, amount| (Ending::Ok, amount + 15.0));
    let served = (0..20).filter(|_| gateway.serve("rate", "c", 2.0, 2)).count();
    assert_eq!(served, 1);
}

#[test]
fn a_counter_that_lost_its_state_does_not_grant_a_window_twice() {
    let mut gateway = TestGateway::new(settings(), 4);
    assert!(gateway.serve("rate", "c", 8.0, 2));
    gateway.answer_counter(|_, amount| (Ending::Ok, amount + 8.0));
    assert!(gateway.serve("rate", "c", 2.0, 2));
    gateway.advance(0.3);
    gateway.answer_counter(|_, amount| (Ending::Ok, amount)); // the counter has lost its state
    assert!(!gateway.serve("rate", "c", 8.0, 2), "18 + 8 units exceed 20 units and 0.3 s of the rate");
    assert!(gateway.serve("rate", "c", 1.0, 2));
}

#[test]
fn an_amount_that_timed_out_is_dropped_and_a_rejected_one_is_sent_again() {
    for (ending, again) in [(Ending::Timeout, 0.0), (Ending::Full, 4.0), (Ending::ConnectFailed, 4.0)] {
        let mut gateway = TestGateway::new(settings(), 4);
        assert!(gateway.serve("rate", "c", 4.0, 2));
        gateway.answer_counter(|_, _| (ending, 0.0));
        gateway.advance(0.4);
        let amount: f64 = gateway.calls.iter().map(|c| c.1).sum();
        assert_eq!(amount, again, "{ending:?}");
        // This gateway's own charges count whatever the counter holds.
        assert!(!gateway.serve("rate", "c", 8.5, 2), "{ending:?}: 12.5 units exceed the even share of 24");
    }
}

#[test]
fn without_an_answering_counter_the_even_share_is_served_with_few_calls() {
    let mut gateway = TestGateway::new(settings(), 4);
    let (mut served, mut calls) = (0.0, 0);
    for _ in 0..600 {
        gateway.advance(0.01);
        served += if gateway.serve("rate", "c", 1.0, 2) { 1.0 } else { 0.0 };
        calls += gateway.calls.len();
        gateway.answer_counter(|_, _| (Ending::Timeout, 0.0));
    }
    // In six seconds the quota is 20 + 60 units, half of them this gateway's. A share below the largest request is
    // admitted at random.
    assert!((30.0..=48.0).contains(&served), "{served}");
    assert!(calls < 90, "{calls}");
}

/// Guards customers with uneven demand over the gateways while the counter does not answer: with even shares a good
/// part of their quota would remain unused.
#[test]
fn without_an_answering_counter_learned_shares_are_kept() {
    let s = Settings { max_units: 1.0, ..settings() }; // no share is below one request, so nothing is admitted at random
    let mut gateways: Vec<TestGateway> = (0..2).map(|_| TestGateway::new(s.clone(), 4)).collect();
    let (mut counter, mut served) = (Counter::default(), [0, 0]);
    for step in 0..400 {
        let (g, silent) = (usize::from(step % 5 == 0), step >= 200); // one gateway receives four in five
        served[g] += usize::from(gateways[g].serve("rate", "c", 1.0, 2) && silent);
        for gateway in &mut gateways {
            gateway.advance(0.07);
            gateway.answer_counter(
                |name, amount| if silent { (Ending::Timeout, 0.0) } else { counter.add(name, amount) },
            );
        }
    }
    // The quota is 14 s at 10 units per second and a burst of 20; with even shares the busy gateway would serve 19.
    assert!(served[0] > 90 && served[0] + served[1] <= 160, "{served:?}");
}

/// Guards quotas after an outage of the counter: units that were not sent during the outage must not count as left out
/// by the call rate. Otherwise calls go on to report half as much again as is spent, and customers are refused with most
/// of their quota left.
#[test]
fn units_not_sent_during_an_outage_do_not_scale_later_reports() {
    let mut gateway = TestGateway::new(Settings { replicas: 1, ..settings() }, 4);
    let (mut counter, mut spent, mut reported) = (Counter::default(), 0.0, 0.0);
    for step in 0..900 {
        let (silent, after) = ((200..600).contains(&step), step >= 700);
        for customer in ["c", "d", "e"] {
            spent += f64::from(u8::from(gateway.serve("rate", customer, 1.0, 1) && after));
        }
        gateway.advance(0.02);
        gateway.answer_counter(|name, amount| {
            reported += if after { amount } else { 0.0 };
            if silent {
                (Ending::Timeout, 0.0)
            } else {
                counter.add(name, amount)
            }
        });
    }
    assert!(spent > 30.0 && reported < 1.15 * spent, "{reported} reported of {spent} spent");
}

/// Guards against a start within a window: the token bucket is full then, and what the rate added before the start must
/// not be added to it.
#[test]
fn a_quota_starts_with_its_burst_and_no_more() {
    let mut gateway = TestGateway { now: START + 1.5, ..TestGateway::new(settings(), 4) };
    gateway.module = Gateway::new(settings(), 3);
    gateway.update_hosts(ListScope::Restored, (0..4).map(|h| host_entry(h, Availability::Ready)).collect());
    assert_eq!((0..40).filter(|_| gateway.serve("rate", "c", 1.0, 1)).count(), 20);
}

#[test]
fn actual_units_are_settled() {
    let mut gateway = TestGateway::new(settings(), 4);
    let host = sent_host(&gateway.request("read", "rate", "c", 1.0, 1)).expect("sent");
    gateway.finish_attempt(1, 0, &host, Ending::Ok, 8.0);
    let served = (0..30).filter(|_| gateway.serve("rate", "c", 1.0, 1)).count();
    assert_eq!(served, 12);
}

#[test]
fn two_gateways_share_one_window() {
    let mut counter = Counter::default();
    let mut gateways: Vec<TestGateway> = (0..2).map(|_| TestGateway::new(settings(), 4)).collect();
    let mut served = [0usize; 5];
    for step in 0..1000 {
        let g = usize::from(step % 10 == 0); // one gateway receives nine in ten
        let gateway = &mut gateways[g];
        served[step / 200] += usize::from(gateway.serve("rate", "c", 1.0, 2));
        for gateway in &mut gateways {
            gateway.advance(0.01);
            gateway.answer_counter(|name, amount| counter.add(name, amount));
        }
    }
    let total: usize = served.iter().sum();
    assert!((90..=122).contains(&total), "{served:?}: 10 s at 10 units per second, and the ends of windows");
}

#[test]
fn the_concurrency_limit_holds_over_all_gateways() {
    let mut gateway = TestGateway::new(settings(), 4);
    assert!(sent_host(&gateway.request("read", "open", "c", 1.0, 2)).is_some());
    gateway.answer_counter(|_, amount| (Ending::Ok, amount + 2.0)); // two more at the other gateway
    assert!(sent_host(&gateway.request("read", "open", "c", 1.0, 2)).is_some());
    assert!(is_refused(&gateway.request("read", "open", "c", 1.0, 2)));
    // Without an answer of the counter: the even share, two.
    let mut gateway = TestGateway::new(settings(), 4);
    assert!(sent_host(&gateway.request("read", "open", "c", 1.0, 2)).is_some());
    assert!(sent_host(&gateway.request("read", "open", "c", 1.0, 2)).is_some());
    assert!(is_refused(&gateway.request("read", "open", "c", 1.0, 2)));
}

// Invalid input -----------------------------------------------------------------------------------------------

#[test]
fn invalid_input_is_refused_or_ignored() {
    let mut gateway = TestGateway::new(settings(), 4);
    assert!(is_refused(&gateway.request("read", "unknown", "c", 1.0, 2)));
    assert!(is_refused(&gateway.request("read", "rate", "c", 21.0, 2)), "above the largest admissible cost");
    let host = sent_host(&gateway.request("unknown", "free", "c", f64::NAN, 0))
        .expect("sent, to be run at most once");
    assert!(is_failed(&gateway.finish_attempt(3, 0, &host, Ending::Error, f64::INFINITY)));
    assert!(gateway.finish_attempt(99, 0, &host, Ending::Ok, 1.0).is_empty());
    assert!(gateway.handle(Event::ClientDisconnected { id: request_id(99) }).is_empty());
    let stray = CounterKey(Arc::from("stray"));
    gateway.handle(Event::CounterReply {
        name: stray,
        ending: Ending::Ok,
        total: f64::NAN,
        elapsed: secs(0.1),
    });
    gateway.handle(Event::Timer { token: "stray".into() });
    assert!(sent_host(&gateway.request("read", "rate", "c", -5.0, 2)).is_some());
    let id = request_id(500);
    let (class, plan, customer) = ("read".into(), "rate".into(), CustomerId(Arc::from("c")));
    let expired =
        Event::Request { id, class, plan, customer, budget: Duration::ZERO, units: 1.0, gateway_count: 2 };
    assert!(is_refused(&gateway.handle(expired)));
}

// Regressions ------------------------------------------------------------------------------------------

/// Twelve gateways each have few attempts in flight at hosts that answer ever later. Each must detect the overload by
/// itself.
#[test]
fn an_overload_caused_by_many_gateways_is_detected_by_one() {
    let mut gateway = TestGateway::new(Settings { replicas: 12, ..settings() }, 12);
    let mut out = std::collections::VecDeque::new();
    let mut refused = 0;
    for _ in 0..400 {
        gateway.advance(0.05);
        match sent_host(&gateway.request("read", "free", "c", 2.0, 2)) {
            Some(host) => out.push_back((gateway.last_request, host)),
            None => refused += 1,
        }
        // One answer for five requests: the hosts are busy with the requests of other gateways.
        if gateway.last_request.is_multiple_of(5) {
            if let Some((n, host)) = out.pop_front() {
                gateway.finish_attempt(n, 0, &host, Ending::Ok, 0.0);
            }
        }
    }
    assert!(refused > 200 && out.len() < 20, "{refused} refused, {} in flight", out.len());
}

/// Five hundred customers and a counter with a capacity of a hundred calls per second: the call rate settles near that.
#[test]
fn the_call_rate_adapts_to_the_capacity_of_the_counter() {
    let mut gateway = TestGateway::new(settings(), 4);
    let (mut calls, mut rejected) = (0, 0);
    for step in 0..1500 {
        gateway.now += 0.01;
        gateway.tick();
        for n in 0..10 {
            gateway.serve("rate", &format!("c{}", (step * 10 + n) % 500), 1.0, 2);
        }
        let mut first = true;
        let (taken, late) = (gateway.calls.len(), step >= 500);
        gateway.answer_counter(|_, amount| {
            if std::mem::take(&mut first) {
                (Ending::Ok, amount)
            } else {
                (Ending::Full, 0.0)
            }
        });
        calls += if late { taken } else { 0 };
        rejected += if late { taken.saturating_sub(1) } else { 0 };
    }
    assert!(calls > 200 && rejected * 3 < calls, "{rejected} of {calls} rejected");
}

/// A burst at the end of one window and another at the start of the next would exceed the token bucket that the quota
/// describes, so a window starts with what the previous one left or owes.
#[test]
fn a_window_starts_with_the_balance_of_the_previous_one() {
    let mut gateway = TestGateway::new(settings(), 4);
    let mut counter = Counter::default();
    gateway.advance(1.5);
    let mut served = 0;
    for _ in 0..100 {
        gateway.advance(0.01);
        served += usize::from(gateway.serve("rate", "c", 1.0, 2));
        gateway.answer_counter(|name, amount| counter.add(name, amount));
    }
    // The quota is 20 at once and 10 in one second; without the balance 40 would be admitted.
    assert!((28..=32).contains(&served), "{served}");
}

/// Requests beyond the quota are admitted only if they earn more than they cost, and only while hosts have spare
/// capacity.
#[test]
fn requests_beyond_the_quota_are_served_only_at_a_profit() {
    let paying = Plan { excess_value_fraction: 0.3, excess_cost_fraction: 0.0, ..plan("paying") };
    let mut s = settings();
    s.plans.push(paying);
    let mut gateway = TestGateway::new(s, 4);
    let beyond =
        |gateway: &mut TestGateway, plan: &str| (0..60).filter(|_| gateway.serve(plan, plan, 1.0, 1)).count();
    assert_eq!(beyond(&mut gateway, "paying"), 60);
    assert!(beyond(&mut gateway, "rate") < 40, "no profit: refused");
    for _ in 0..3 {
        assert!(sent_host(&gateway.request("read", "free", "c", 1.0, 1)).is_some());
    }
    assert!(
        !gateway.serve("paying", "paying", 1.0, 1),
        "three in flight for two hosts per gateway: no spare capacity"
    );
}

/// Nine of twelve hosts have just started: they must not count as capacity for the load of the other three.
#[test]
fn cold_hosts_count_by_their_warmup_in_overload_protection() {
    let mut gateway = TestGateway::new(Settings { replicas: 1, ..settings() }, 3);
    // Long enough for the rate of answers to be used.
    for _ in 0..4 {
        gateway.advance(0.25);
        assert!(gateway.serve("free", "c", 1.0, 1));
    }
    let started = Some(secs(gateway.now));
    let cold =
        (3..12).map(|n| HostEntry { last_start: started, ..host_entry(n, Availability::Ready) }).collect();
    gateway.update_hosts(ListScope::Update, cold);
    let sent = (0..24).filter(|_| sent_host(&gateway.request("read", "free", "c", 1.0, 1)).is_some()).count();
    assert!(sent <= 10, "{sent} in flight at three warm hosts");
}

// Random valid events with fixed seeds: every action is checked against the invariants --------------------------------

/// Model of one request, independent of the module.
#[derive(Default)]
struct RequestModel {
    class: usize,
    is_answered: bool,
    /// Host and time of each attempt in flight, by number.
    in_flight: BTreeMap<u32, (HostId, f64)>,
    /// Host and time of the attempts that may have run.
    may_have_run: Vec<(HostId, f64)>,
    next_attempt: u32,
}

fn check_invariants(
    actions: &[Action],
    now: f64,
    requests: &mut BTreeMap<RequestId, RequestModel>,
    ready: &[bool; 8],
) {
    for action in actions {
        match action {
            Action::Send { id, host, .. } => {
                let number: usize = host.0[1..].parse().expect("a listed host");
                let request = requests.get_mut(id).expect("a known request");
                assert!(
                    ready[number]
                        && !request.is_answered
                        && request.next_attempt < 4
                        && request.in_flight.is_empty(),
                    "{action:?}"
                );
                match request.class {
                    2 => assert!(request.may_have_run.iter().all(|(h, at)| {
                        let other: usize = h.0[1..].parse().expect("a listed host");
                        other / 2 == number / 2 && now - at < 1.5
                    })),
                    1 => assert!(request.may_have_run.iter().all(|(_, at)| now - at < 1.5)),
                    0 => {}
                    _ => assert!(request.may_have_run.is_empty(), "{action:?}"),
                }
                request.in_flight.insert(request.next_attempt, (host.clone(), now));
                request.next_attempt += 1;
            }
            Action::Refuse { id, .. } => {
                let request = requests.get_mut(id).expect("a known request");
                assert!(!std::mem::replace(&mut request.is_answered, true) && request.in_flight.is_empty());
                assert!(request.class < 2 || request.may_have_run.is_empty(), "{action:?}");
            }
            Action::Fail { id } => {
                let request = requests.get_mut(id).expect("a known request");
                assert!(!std::mem::replace(&mut request.is_answered, true) && request.in_flight.is_empty());
            }
            _ => {}
        }
    }
}

#[test]
fn random_events_violate_no_invariant() {
    for seed in 0..6 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut gateway = TestGateway::new(settings(), 8);
        let mut ready = [true; 8];
        let mut requests: BTreeMap<RequestId, RequestModel> = BTreeMap::new();
        for _ in 0..1500 {
            gateway.now += rng.f64() * 0.02;
            let now = gateway.now;
            let in_flight: Vec<(RequestId, u32)> = requests
                .iter()
                .flat_map(|(id, request)| request.in_flight.keys().map(move |n| (id.clone(), *n)))
                .collect();
            let actions = match rng.u32(..10) {
                0..=3 => {
                    let (class, plan) = (rng.usize(..5), rng.usize(..4));
                    requests.insert(
                        request_id(gateway.last_request + 1),
                        RequestModel { class, ..RequestModel::default() },
                    );
                    let class = ["read", "keyed", "cell", "order", "unknown"][class];
                    let plan = ["rate", "open", "hard", "free"][plan];
                    gateway.request(
                        class,
                        plan,
                        &format!("c{}", rng.u32(..6)),
                        f64::from(rng.u32(1..8)),
                        rng.u32(1..4),
                    )
                }
                4..=7 if !in_flight.is_empty() => {
                    let (id, attempt) = in_flight[rng.usize(..in_flight.len())].clone();
                    let endings =
                        [Ending::Ok, Ending::Ok, Ending::Error, Ending::Full, Ending::Timeout, Ending::Reset];
                    let ending = endings[rng.usize(..6)];
                    let request = requests.get_mut(&id).expect("known");
                    let (host, at) = request.in_flight.remove(&attempt).expect("in flight");
                    if !ending.never_ran() {
                        request.may_have_run.push((host.clone(), at));
                    }
                    let done = request.is_answered || ending == Ending::Ok;
                    request.is_answered = done;
                    let (elapsed, cost) = (secs(now - at), f64::from(rng.u32(..9)));
                    gateway.handle(Event::AttemptFinished {
                        id,
                        attempt,
                        host,
                        ending,
                        request_done: done,
                        elapsed,
                        cost,
                        metered: None,
                    })
                }
                8 => {
                    let n = rng.usize(..8);
                    ready[n] = rng.bool();
                    let state = if ready[n] { Availability::Ready } else { Availability::Gone };
                    let started = (ready[n] && rng.bool()).then(|| secs(now));
                    gateway.update_hosts(
                        ListScope::Update,
                        vec![HostEntry { last_start: started, ..host_entry(n, state) }],
                    )
                }
                9 if rng.bool() => {
                    let totals: Vec<f64> = gateway.calls.iter().map(|_| rng.f64() * 50.0 - 5.0).collect();
                    let mut n = 0;
                    let lost = rng.bool();
                    gateway.answer_counter(|_, _| {
                        n += 1;
                        (if lost { Ending::Timeout } else { Ending::Ok }, totals[n - 1])
                    })
                }
                _ => gateway.tick(),
            };
            check_invariants(&actions, now, &mut requests, &ready);
        }
        // Requests held for the counter are decided by its answer.
        let actions = gateway.answer_counter(|_, _| (Ending::Ok, 0.0));
        check_invariants(&actions, gateway.now, &mut requests, &ready);
        assert!(
            requests.values().all(|request| request.is_answered || !request.in_flight.is_empty()),
            "a request is neither answered nor in flight"
        );
    }
}

// Large fleets ----------------------------------------------------------------------------------------------------

/// If the even share is below one request, the first request of a customer is held for one answer of the counter. It is
/// served or refused by the total, or at random without one, and never sent after the client has disconnected.
#[test]
fn a_first_request_is_held_for_the_answer_of_the_counter() {
    let wide = || TestGateway::new(Settings { replicas: 200, ..settings() }, 4);
    let first = |gateway: &mut TestGateway| {
        let actions = gateway.request("read", "rate", "c", 2.0, 200);
        assert!(sent_host(&actions).is_none() && !is_refused(&actions), "held");
        assert_eq!(gateway.calls.len(), 1);
    };
    let mut gateway = wide();
    gateway.advance(3.0);
    first(&mut gateway);
    assert!(
        sent_host(&gateway.answer_counter(|_, amount| (Ending::Ok, amount + 3.0))).is_some(),
        "within the limit: served"
    );
    let mut gateway = wide();
    gateway.advance(3.0);
    first(&mut gateway);
    let actions = gateway.answer_counter(|_, amount| (Ending::Ok, amount + 90.0));
    assert!(is_refused(&actions) && sent_host(&actions).is_none(), "above the limit: refused");
    let back: f64 =
        actions.iter().map(|a| if let Action::AddToCounter { amount, .. } = a { *amount } else { 0.0 }).sum();
    gateway.advance(1.0);
    assert_eq!(back + gateway.calls.iter().map(|c| c.1).sum::<f64>(), -2.0, "the charge is taken back");
    let mut gateway = wide();
    gateway.advance(3.0);
    first(&mut gateway);
    gateway.handle(Event::ClientDisconnected { id: request_id(gateway.last_request) });
    assert!(
        sent_host(&gateway.answer_counter(|_, amount| (Ending::Ok, amount))).is_none(),
        "the client has disconnected"
    );
}

/// Runs all gateways of a fleet with one host list; each receives `rounds` requests, one every `every` seconds. Returns
/// the time and the host of each attempt.
fn run_fleet(settings: &Settings, entries: &[HostEntry], every: f64, rounds: usize) -> Vec<(f64, HostId)> {
    let mut sends = Vec::new();
    for ordinal in 0..settings.replicas {
        let mut gateway = Gateway::new(Settings { ordinal, ..settings.clone() }, u64::from(ordinal));
        let mut actions = Vec::new();
        let list = Event::Hosts { scope: ListScope::Restored, entries: entries.to_vec() };
        gateway.handle(secs(START), list, &mut actions);
        for n in 0..rounds {
            let now = START + every * (n as f64 + f64::from(ordinal) / f64::from(settings.replicas));
            let (class, plan, customer) = ("read".into(), "free".into(), CustomerId(Arc::from("c")));
            let (id, budget, units, width) = (request_id(n), secs(2.0), 2.0, settings.replicas);
            actions.clear();
            let request =
                Event::Request { id: id.clone(), class, plan, customer, budget, units, gateway_count: width };
            gateway.handle(secs(now), request, &mut actions);
            let Some(host) = sent_host(&actions) else { continue };
            sends.push((now - START, host.clone()));
            let (done, elapsed, ending) = (true, secs(0.2), Ending::Ok);
            let end = Event::AttemptFinished {
                id,
                attempt: 0,
                host,
                ending,
                request_done: done,
                elapsed,
                cost: 0.0,
                metered: None,
            };
            gateway.handle(secs(now + 0.2), end, &mut actions);
        }
    }
    sends.sort_by(|a, b| a.0.total_cmp(&b.0));
    sends
}

/// Three hundred gateways that have just started and one cold host among twenty. Each gateway's share of its capacity is
/// far below one request; minimums per gateway must not add up to an overload, and the host must not starve either.
#[test]
fn hundreds_of_gateways_send_a_cold_host_its_share_and_no_more() {
    let mut entries: Vec<HostEntry> = (1..20).map(|n| host_entry(n, Availability::Ready)).collect();
    entries.push(HostEntry { last_start: Some(secs(START)), ..host_entry(0, Availability::Ready) });
    let sends = run_fleet(&Settings { replicas: 300, ..settings() }, &entries, 0.5, 20);
    let cold: Vec<f64> = sends.iter().filter(|s| s.1 == host_id(0)).map(|s| s.0).collect();
    // 600 requests per second: a warm host takes about 40, this one a fifth of that at first and all of it after 15 s.
    for from in &cold {
        let warmth = 0.2 + 0.8 * from / 15.0;
        let within = cold.iter().filter(|at| (*from..from + 1.0).contains(at)).count() as f64;
        assert!(within < 2.0 * 40.0 * warmth, "{within} in the second from {from}");
    }
    let late = cold.iter().filter(|at| **at > 4.0).count();
    assert!(late > 60, "{late} in six seconds; a warm host receives 190, and this one can take half of that");
}

/// With many gateways and many hosts each gateway draws from a subset, so that it has recent observations of its hosts
/// and uses its connections. All gateways together must load the hosts evenly.
#[test]
fn a_large_fleet_loads_its_hosts_evenly() {
    let entries: Vec<HostEntry> = (0..60).map(|n| host_entry(n, Availability::Ready)).collect();
    let s = Settings { replicas: 100, ..settings() };
    let sends = run_fleet(&s, &entries, 0.1, 60);
    let mut loads = BTreeMap::<HostId, usize>::new();
    sends.iter().for_each(|(_, host)| *loads.entry(host.clone()).or_default() += 1);
    let (least, most) = (loads.values().min().expect("sent"), loads.values().max().expect("sent"));
    assert!(loads.len() == 60 && *least > 60 && *most < 140, "6000 over 60 hosts: {least} to {most}");
    let mut one = TestGateway::new(Settings { ordinal: 41, ..s }, 60);
    let mut hosts = std::collections::BTreeSet::new();
    for _ in 0..200 {
        one.advance(0.1);
        let host = sent_host(&one.request("read", "free", "c", 2.0, 2)).expect("sent");
        one.finish_attempt(one.last_request, 0, &host, Ending::Ok, 0.0);
        hosts.insert(host);
    }
    assert!((10..=14).contains(&hosts.len()), "{} hosts of 60", hosts.len());
}

/// A customer of many gateways while the counter does not answer: one unit here does not show that the quota is spent
/// many times over, so the metered use decides.
#[test]
fn metered_use_distinguishes_light_customers_of_many_gateways_from_heavy_ones() {
    let mut served = [0, 0, 0];
    for (part, served) in [None, Some(0.4), Some(4.0)].into_iter().zip(&mut served) {
        let mut gateway = TestGateway::new(Settings { replicas: 100, ..settings() }, 4);
        for _ in 0..60 {
            gateway.advance(0.5);
            gateway.answer_counter(|_, _| (Ending::Timeout, 0.0));
            let actions = [
                gateway.request("read", "rate", "c", 2.0, 60),
                gateway.answer_counter(|_, _| (Ending::Timeout, 0.0)),
            ];
            let Some(host) = actions.iter().find_map(|a| sent_host(a)) else { continue };
            *served += 1;
            let (id, ending, done, elapsed) =
                (request_id(gateway.last_request), Ending::Ok, true, secs(0.05));
            let (attempt, cost, metered) = (0, 0.0, part);
            gateway.handle(Event::AttemptFinished {
                id,
                attempt,
                host,
                ending,
                request_done: done,
                elapsed,
                cost,
                metered,
            });
        }
    }
    let [stranger, light, heavy] = served;
    assert!(light > 55 && heavy < 10 && (10..50).contains(&stranger), "of 60: {served:?}");
}

/// One of many gateways sends to a host only once in seconds. It must remember a failure for longer than that, or each
/// gateway fails there again and again. Afterwards the host is tried again.
#[test]
fn a_host_that_failed_once_is_avoided_for_a_quarter_of_a_minute() {
    let mut gateway = TestGateway::new(Settings { max_attempts: 1, ..settings() }, 6);
    let (mut failed, mut again) = (None, None);
    for _ in 0..400 {
        gateway.advance(0.1);
        let host = sent_host(&gateway.request("read", "free", "c", 1.0, 2)).expect("sent");
        let bad = host == host_id(0) && failed.is_none();
        again = again.or(failed.filter(|_| host == host_id(0)).map(|at: f64| gateway.now - at));
        failed = failed.or(Some(gateway.now).filter(|_| bad));
        gateway.finish_attempt(
            gateway.last_request,
            0,
            &host,
            if bad { Ending::Error } else { Ending::Ok },
            0.0,
        );
    }
    let again = again.expect("it is tried again");
    assert!((12.0..30.0).contains(&again), "after {again} s");
}

/// A host whose connection table is full refuses new connections and serves the others: it is alive. A host that
/// refuses connections and sends no response is not.
#[test]
fn a_host_that_refuses_connections_between_responses_is_not_avoided() {
    for (alive, least, most) in [(true, 40, 400), (false, 0, 12)] {
        let mut gateway = TestGateway::new(Settings { max_attempts: 1, ..settings() }, 6);
        let mut selected = 0;
        for n in 0..400 {
            gateway.advance(0.05);
            let host = sent_host(&gateway.request("read", "free", "c", 1.0, 2)).expect("sent");
            selected += usize::from(host == host_id(0));
            let refused = host == host_id(0) && (!alive || n > 40 && n % 4 == 0);
            gateway.finish_attempt(
                gateway.last_request,
                0,
                &host,
                if refused { Ending::ConnectFailed } else { Ending::Ok },
                0.0,
            );
        }
        assert!((least..=most).contains(&selected), "alive {alive}: selected {selected} times of 400");
    }
}

/// A list that is empty or lacks a host for a moment must not reset the failures of that host.
#[test]
fn an_empty_list_does_not_reset_failures() {
    let mut gateway = TestGateway::new(Settings { max_attempts: 1, ..settings() }, 6);
    let list: Vec<HostEntry> = (0..6).map(|h| host_entry(h, Availability::Ready)).collect();
    let mut selected = 0;
    for n in 0..100 {
        gateway.advance(0.05);
        if n == 50 {
            gateway.update_hosts(ListScope::Replace, Vec::new());
            assert!(is_refused(&gateway.request("read", "free", "c", 1.0, 2)), "the list is empty");
            gateway.update_hosts(ListScope::Replace, list.clone());
        }
        let host = sent_host(&gateway.request("read", "free", "c", 1.0, 2)).expect("sent");
        selected += usize::from(host == host_id(0));
        gateway.finish_attempt(
            gateway.last_request,
            0,
            &host,
            if host == host_id(0) { Ending::Error } else { Ending::Ok },
            0.0,
        );
    }
    assert_eq!(selected, 1, "the failing host is selected once");
}

/// Entries of unknown hosts, twice or in the wrong order, must cause no panic and not affect the other hosts.
#[test]
fn a_list_with_unknown_hosts_does_not_affect_the_others() {
    let mut gateway = TestGateway::new(settings(), 4);
    for availability in [Availability::Gone, Availability::Draining, Availability::Gone] {
        gateway.update_hosts(
            ListScope::Update,
            vec![host_entry(9, availability), host_entry(9, availability), host_entry(3, availability)],
        );
    }
    for _ in 0..40 {
        gateway.advance(0.1);
        let host = sent_host(&gateway.request("read", "free", "c", 1.0, 2)).expect("the other hosts serve");
        assert!(host != host_id(9) && host != host_id(3), "{host:?} must not be used");
        gateway.finish_attempt(gateway.last_request, 0, &host, Ending::Ok, 0.0);
    }
}

/// Guards hosts from wasted work: a request that takes several times the mean latency is slow at every host, and with a
/// timeout of four mean latencies a third of all preview work was discarded.
#[test]
fn the_timeout_spares_slow_requests_and_catches_lost_ones() {
    let mut gateway = TestGateway::new(settings(), 4);
    (0..200).for_each(|_| {
        gateway.advance(0.1);
        gateway.serve("free", "c", 1.0, 2);
    });
    let actions = gateway.request("read", "free", "c", 1.0, 2);
    let timeout = actions.iter().find_map(|a| match a {
        Action::Send { timeout, .. } => *timeout,
        _ => None,
    });
    let means = timeout.expect("there is time for a retry").as_secs_f64() / 0.05;
    assert!((6.0..12.0).contains(&means), "{means} mean latencies");
}

/// Hosts that fail only one class must serve the others, even if they are more than half of all hosts.
#[test]
fn a_host_that_fails_one_class_serves_the_others() {
    let mut gateway = TestGateway::new(Settings { may_hedge: false, max_attempts: 1, ..settings() }, 5);
    let (mut failed, mut served, mut others) = (0, 0, 0);
    for n in 0..400 {
        gateway.advance(0.02);
        let class = if n % 2 == 0 { "order" } else { "read" };
        let host = sent_host(&gateway.request(class, "free", "c", 1.0, 2)).expect("sent");
        let bad = host != host_id(0) && host != host_id(1);
        let fails = bad && class == "order";
        gateway.finish_attempt(
            gateway.last_request,
            0,
            &host,
            if fails { Ending::Error } else { Ending::Ok },
            0.0,
        );
        failed += usize::from(fails);
        served += usize::from(class == "order" && !fails);
        others += usize::from(class == "read" && bad);
    }
    assert!(served > 5 * failed && others > 60, "{served} orders served, {failed} failed; {others} reads");
}

/// A middlebox forgets connections that were idle for three seconds. Each host is used once in four seconds, so without
/// renewal nearly all requests are lost, and with it a handful. If the hosts are only slow, connections are kept.
#[test]
fn idle_connections_that_carry_no_response_are_renewed() {
    let run = |forgets: bool| {
        let mut gateway = TestGateway::new(Settings { max_attempts: 1, ..settings() }, 20);
        let (mut used, mut lost, mut renewed) = (BTreeMap::<HostId, f64>::new(), 0, 0);
        for n in 0..600 {
            gateway.advance(0.2);
            let actions = gateway.request("order", "free", "c", 1.0, 2);
            let host = sent_host(&actions).expect("sent");
            let close = |a: &Action, h: &HostId| matches!(a, Action::CloseIdle { host } if host == h);
            renewed += usize::from(actions.iter().any(|a| close(a, &host)));
            let idle = if actions.iter().any(|a| close(a, &host)) { None } else { used.get(&host) };
            let dead = if forgets { idle.is_some_and(|at| gateway.now - at > 3.0) } else { n % 4 == 0 };
            if dead {
                lost += 1;
                let actions = gateway.finish_attempt(gateway.last_request, 0, &host, Ending::Timeout, 0.0);
                assert!(
                    !forgets || actions.iter().any(|a| close(a, &host)),
                    "a connection without a response is closed"
                );
                used.remove(&host);
            } else {
                gateway.finish_attempt(gateway.last_request, 0, &host, Ending::Ok, 0.0);
                used.insert(host, gateway.now);
            }
        }
        (lost, renewed)
    };
    let (lost, renewed) = run(true);
    assert!(lost < 30 && renewed > 100, "{lost} lost, {renewed} renewed");
    let (_, renewed) = run(false);
    assert!(renewed < 200, "{renewed} renewed without need");
}

/// A customer with a concurrency limit of four sends 60 requests per second to a hundred gateways, each in flight for an
/// eighth of a second: 7.5 at once if all were admitted. If each gateway admitted its first one, all would be admitted.
#[test]
fn a_concurrency_limit_below_the_number_of_gateways_holds_on_average() {
    let mut gateways: Vec<TestGateway> = (0..100)
        .map(|seed| {
            let mut gateway = TestGateway::new(Settings { replicas: 100, ..settings() }, 4);
            gateway.module = Gateway::new(Settings { replicas: 100, ..settings() }, seed);
            gateway.update_hosts(
                ListScope::Restored,
                (0..4).map(|h| host_entry(h, Availability::Ready)).collect(),
            );
            gateway
        })
        .collect();
    let (mut out, mut held, mut admitted, mut calls) = (Vec::new(), 0, 0, 0);
    for n in 0..1800_usize {
        let now = START + n as f64 / 60.0;
        out.retain(|(end, at, id, host): &(f64, usize, usize, HostId)| {
            if *end <= now {
                gateways[*at].now = now;
                gateways[*at].finish_attempt(*id, 0, host, Ending::Ok, 2.0);
            }
            *end > now
        });
        let at = n * 37 % 100;
        gateways[at].now = now;
        let actions = gateways[at].request("read", "open", "c", 2.0, 100);
        calls += gateways[at].calls.drain(..).count();
        if let Some(host) = sent_host(&actions) {
            out.push((now + 0.125, at, gateways[at].last_request, host));
        }
        if n >= 600 {
            (held, admitted) = (held + out.len(), admitted + usize::from(sent_host(&actions).is_some()));
        }
    }
    let mean = held as f64 / 1200.0;
    assert!((0.8..3.0).contains(&mean) && admitted > 60, "{mean} in flight, {admitted} admitted");
    assert_eq!(calls, 0, "attempts are not reported");
}

/// Thirty hosts of two hardware types, one of them three times slower: hosts of that type that this gateway has not used
/// yet must receive less as well.
#[test]
fn an_unused_host_is_assumed_to_be_as_slow_as_its_hardware_type() {
    let mut gateway = TestGateway::new(settings(), 0);
    let hosts = |from: usize, to: usize| {
        let kind = |n: usize| Arc::from(if n.is_multiple_of(2) { "fast" } else { "slow" });
        (from..to).map(|n| HostEntry { kind: kind(n), ..host_entry(n, Availability::Ready) }).collect()
    };
    let slow = |host: &HostId| (0..60).any(|n| n % 2 == 1 && *host == host_id(n));
    gateway.update_hosts(ListScope::Replace, hosts(0, 30));
    for _ in 0..300 {
        gateway.advance(0.1);
        let host = sent_host(&gateway.request("read", "free", "c", 1.0, 2)).expect("sent");
        let elapsed = secs(if slow(&host) { 0.3 } else { 0.1 });
        let (id, ending) = (request_id(gateway.last_request), Ending::Ok);
        gateway.handle(Event::AttemptFinished {
            id,
            attempt: 0,
            host,
            ending,
            request_done: true,
            elapsed,
            cost: 0.0,
            metered: None,
        });
    }
    gateway.update_hosts(ListScope::Replace, hosts(30, 60));
    let mut new = 0;
    for _ in 0..100 {
        let host = sent_host(&gateway.request("read", "free", "c", 1.0, 2)).expect("sent");
        new += usize::from(slow(&host));
        gateway.finish_attempt(gateway.last_request, 0, &host, Ending::Cancelled, 0.0);
    }
    assert!(new < 35, "{new} of 100 to unused hosts of the slow type");
}

/// A steady load on eight hosts is admitted while all attempts are answered. When a third of them times out, a part is
/// refused, although the attempts in flight stay the same.
#[test]
fn the_latency_bar_falls_as_attempts_time_out() {
    let admitted = |lost: bool| {
        let mut gateway = TestGateway::new(Settings { replicas: 1, max_attempts: 1, ..settings() }, 8);
        let (mut out, mut passed) = (Vec::<(f64, usize, HostId)>::new(), 0);
        for n in 0..4000_usize {
            gateway.advance(0.01);
            let now = gateway.now;
            let ended: Vec<_> = out.extract_if(.., |o| o.0 <= now).collect();
            for (_, id, host) in ended {
                let silent = lost && id.is_multiple_of(3);
                let (ending, done) = if silent { (Ending::Timeout, false) } else { (Ending::Ok, true) };
                let elapsed = secs(0.19);
                let (id, cost) = (request_id(id), 0.0);
                gateway.handle(Event::AttemptFinished {
                    id,
                    attempt: 0,
                    host,
                    ending,
                    request_done: done,
                    elapsed,
                    cost,
                    metered: None,
                });
            }
            if let Some(host) = sent_host(&gateway.request("order", "free", "c", 2.0, 1)) {
                out.push((now + 0.19, gateway.last_request, host));
                passed += usize::from(n >= 2000);
            }
        }
        passed
    };
    let (all, some) = (admitted(false), admitted(true));
    assert!(all > 1900 && some < all * 9 / 10, "{all} admitted with every answer, {some} with a third lost");
}

/// A client that gives up long before its answer can arrive is refused at once, even if hosts are idle.
#[test]
fn a_request_that_cannot_be_answered_in_time_is_not_sent() {
    let mut gateway = TestGateway::new(settings(), 8);
    let mut ask = |budget: f64| {
        gateway.advance(0.5);
        gateway.last_request += 1;
        let (class, plan, customer) = ("read".into(), "free".into(), CustomerId(Arc::from("c")));
        let (id, budget) = (request_id(gateway.last_request), secs(budget));
        gateway.handle(Event::Request { id, class, plan, customer, budget, units: 4.0, gateway_count: 2 })
    };
    let short = ask(0.08);
    assert!(is_refused(&short) && sent_host(&short).is_none(), "a quarter of a second of work in 80 ms");
    let has_retry_after =
        |a: &Action| matches!(a, Action::Refuse { retry_after: Some(s), .. } if !s.is_zero());
    assert!(short.iter().any(has_retry_after), "with a Retry-After");
    assert!(sent_host(&ask(1.0)).is_some());
}

/// Guards a gateway that has just started: it has observed answers for a part of a second only, and must not divide them
/// by the time constant of the rate, which would look like overload.
#[test]
fn a_gateway_is_not_overloaded_by_its_start_alone() {
    let mut gateway = TestGateway::new(settings(), 2);
    let mut out = std::collections::VecDeque::new();
    for _ in 0..40 {
        gateway.now += 0.025;
        let actions = gateway.request("read", "free", "c", 1.0, 1);
        out.push_back((
            gateway.last_request,
            sent_host(&actions).expect("four attempts in flight are no overload"),
        ));
        if out.len() == 4 {
            let (n, host) = out.pop_front().expect("four");
            gateway.finish_attempt(n, 0, &host, Ending::Ok, 0.0);
        }
    }
}

/// The first few answers must determine the timeout; with a slowly changing average, attempts time out too early for some
/// fifty answers.
#[test]
fn the_first_answers_determine_the_timeout() {
    let mut gateway = TestGateway::new(settings(), 2);
    let mut patience = |answers: usize| {
        for _ in 0..answers {
            let actions = gateway.request("read", "free", "c", 1.0, 1);
            let (id, host) = (request_id(gateway.last_request), sent_host(&actions).expect("sent"));
            let (ending, done, elapsed) = (Ending::Ok, true, secs(0.05));
            gateway.handle(Event::AttemptFinished {
                id,
                attempt: 0,
                host,
                ending,
                request_done: done,
                elapsed,
                cost: 0.0,
                metered: None,
            });
        }
        let actions = gateway.request("read", "free", "c", 1.0, 1);
        let timeout = actions.iter().find_map(|a| match a {
            Action::Send { timeout, .. } => *timeout,
            _ => None,
        });
        timeout.expect("another host is available").as_secs_f64()
    };
    assert!(patience(0) > 0.8);
    assert!(patience(8) < 0.7);
}

/// Invalid answers and reset connections of the counter must not cut the call rate as overload does, or customers'
/// totals become stale. The amounts may have been added, so they must not be sent again.
#[test]
fn invalid_answers_of_the_counter_do_not_cut_the_call_rate_or_add_twice() {
    let mut gateway = TestGateway::new(settings(), 2);
    let mut calls = |ending: Ending| {
        let (mut count, mut amounts) = (0, 0.0);
        for step in 0..400 {
            gateway.now += 0.01;
            gateway.tick();
            gateway.serve("rate", &format!("{ending:?}{}", step % 40), 1.0, 2);
            count += gateway.calls.len();
            amounts += gateway.calls.iter().map(|c| c.1).sum::<f64>();
            gateway.answer_counter(|_, _| (ending, 0.0));
        }
        (count, amounts)
    };
    let (reset, amounts) = calls(Ending::Reset);
    let (silent, _) = calls(Ending::Timeout);
    assert!(reset > 2 * silent, "{reset} and {silent} calls");
    assert!(amounts <= 400.0, "{amounts} units sent of 400");
}

// Zones ----------------------------------------------------------------------------------------------------

/// Shares of the zones, with the capacity factors of hosts 0 to `factors.len()`.
fn zone_shares(parts: &[f64], spill: Option<f64>, unplaced: f64) -> Event {
    let parts = parts.iter().enumerate().map(|(n, part)| (host_id(n), *part)).collect();
    Event::ZoneShares { capacity_factors: parts, remote_share: spill, unassigned: unplaced }
}

/// Sends `count` requests, one after another, and returns how many each host received.
fn requests_by_host(gateway: &mut TestGateway, hosts: usize, count: usize) -> Vec<usize> {
    let mut by = vec![0; hosts];
    for _ in 0..count {
        gateway.now += 0.01;
        let host = sent_host(&gateway.request("read", "free", "c", 1.0, 2)).expect("sent");
        by[host.0[1..].parse::<usize>().expect("a number")] += 1;
        gateway.finish_attempt(gateway.last_request, 0, &host, Ending::Ok, 0.0);
    }
    by
}

/// A zone with one of its two hosts left must receive half of what a zone with two hosts receives, although the better
/// of two candidates is selected.
#[test]
fn a_zone_with_half_its_hosts_receives_half_the_load() {
    let mut gateway = TestGateway::new(settings(), 5);
    // Hosts 0 and 1 are in the lost zone, 2 in the reduced one, 3 and 4 in the complete one.
    gateway.handle(zone_shares(&[0.0, 0.0, 5.0 / 3.0, 5.0 / 3.0, 5.0 / 3.0], Some(1.0), 0.0));
    let by = requests_by_host(&mut gateway, 5, 6000);
    assert_eq!(by[0] + by[1], 0, "nothing to the lost zone: {by:?}");
    let ratio = by[2] as f64 / (by[3] + by[4]) as f64;
    assert!((0.45..0.55).contains(&ratio), "{ratio} of {by:?}");
}

/// While the own zone lacks capacity, the remote share goes to other zones, however fast local hosts are. Otherwise
/// local hosts are preferred.
#[test]
fn the_remote_share_goes_to_other_zones_and_no_more() {
    let mut gateway = TestGateway::new(Settings { cross_zone_price: 0.02, ..settings() }, 4);
    let far = |by: Vec<usize>| (by[1] + by[3]) as f64 / by.iter().sum::<usize>() as f64;
    assert!(far(requests_by_host(&mut gateway, 4, 500)) < 0.02, "local first");
    gateway.handle(zone_shares(&[1.4, 0.6, 1.4, 0.6], Some(0.3), 0.0));
    let part = far(requests_by_host(&mut gateway, 4, 3000));
    assert!((0.27..0.33).contains(&part), "{part}");
    gateway.handle(zone_shares(&[1.0, 1.0, 1.0, 1.0], None, 0.0));
    assert!(far(requests_by_host(&mut gateway, 4, 500)) < 0.02, "local first again");
}

/// A zone that was unreachable and is tried again must start without observations: the timeouts of the outage would make
/// its hosts appear twenty times slower for some 16 s after it.
#[test]
fn hosts_of_a_zone_tried_again_start_without_observations() {
    let part_of_first = |forget: bool| {
        let mut gateway = TestGateway::new(settings(), 2);
        requests_by_host(&mut gateway, 2, 200);
        for _ in 0..20 {
            gateway.now += 0.05;
            let host = sent_host(&gateway.request("order", "free", "c", 1.0, 2)).expect("sent");
            let (ending, elapsed) = match host == host_id(0) {
                true => (Ending::Timeout, secs(1.0)),
                false => (Ending::Ok, secs(0.05)),
            };
            let (id, done) = (request_id(gateway.last_request), ending == Ending::Ok);
            gateway.handle(Event::AttemptFinished {
                id,
                attempt: 0,
                host,
                ending,
                request_done: done,
                elapsed,
                cost: 0.0,
                metered: None,
            });
        }
        if forget {
            gateway.handle(zone_shares(&[0.0, 2.0], Some(1.0), 0.0));
            gateway.handle(zone_shares(&[0.02, 2.0], Some(1.0), 0.0));
        }
        gateway.handle(zone_shares(&[1.0, 1.0], None, 0.0));
        requests_by_host(&mut gateway, 2, 200)[0]
    };
    let (held, tried) = (part_of_first(false), part_of_first(true));
    assert!(
        held < 20 && (60..120).contains(&tried),
        "with the observations {held}, tried again {tried} of 200"
    );
}

/// The fraction that no zone has capacity for is refused at once with a `Retry-After`, the least valuable requests
/// first, and is counted, because it is offered load.
#[test]
fn requests_without_zone_capacity_are_refused_by_value_and_counted() {
    let dear = Plan { rate: 0.0, burst: 0.0, price: 4.0, ..plan("dear") };
    let mut s = settings();
    s.plans.push(dear);
    let mut gateway = TestGateway::new(s, 4);
    requests_by_host(&mut gateway, 4, 50);
    gateway.handle(zone_shares(&[1.0; 4], None, 0.3));
    let (mut refusals, mut by_plan) = (0, [0, 0]);
    for n in 0..4000 {
        gateway.now += 0.01;
        let plan = n % 2;
        let actions = gateway.request("read", ["free", "dear"][plan], ["c", "d"][plan], 1.0, 2);
        match sent_host(&actions) {
            Some(host) => drop(gateway.finish_attempt(gateway.last_request, 0, &host, Ending::Ok, 0.0)),
            None => {
                assert!(actions.iter().any(|a| matches!(a, Action::Refuse { retry_after: Some(_), .. })));
                refusals += 1;
                by_plan[plan] += 1;
            }
        }
    }
    assert_eq!(gateway.module.zone_rejections(), refusals);
    assert!(by_plan[0] > 3 * by_plan[1] && by_plan[0] > 800, "{by_plan:?}");
}

/// Another gateway's observations of a host, one second old.
fn remote_health(
    n: usize,
    started: f64,
    fails: f64,
    slow: f64,
) -> (HostId, whinstall::fleet::replica::NodeHealth, f64) {
    (
        host_id(n),
        whinstall::fleet::replica::NodeHealth {
            started_at: started,
            failure_rate: fails,
            latency_ratio: slow,
            evidence_age_secs: 0.5,
            recorded_at: START,
        },
        1.0,
    )
}

/// Sends 200 requests and returns how many host `n` received; its attempts end with `ending`.
fn count_requests_to(gateway: &mut TestGateway, n: usize, ending: Ending) -> usize {
    let mut count = 0;
    for _ in 0..200 {
        gateway.now += 0.01;
        let Some(host) = sent_host(&gateway.request("read", "free", "c", 1.0, 2)) else { continue };
        count += usize::from(host == host_id(n));
        let ending = if host == host_id(n) { ending } else { Ending::Ok };
        gateway.finish_attempt(gateway.last_request, 0, &host, ending, 0.0);
    }
    count
}

/// A gateway without observations of a host uses those of other gateways, replaces them by its own, and does not report
/// them as its own.
#[test]
fn observations_of_other_gateways_are_used_until_there_are_own_ones() {
    let remote_state =
        |host_health| RemoteState { host_health, fresh_fraction: 1.0, ..RemoteState::default() };
    let mut alone = TestGateway::new(settings(), 4);
    let without = count_requests_to(&mut alone, 2, Ending::Ok);
    let mut informed = TestGateway::new(settings(), 4);
    let unobserved = informed.module.local_state().unobserved_hosts;
    assert_eq!(unobserved.len(), 4, "{unobserved:?}");
    informed.module.apply_remote_state(remote_state(vec![remote_health(2, 0.0, 0.9, 1.0)]));
    assert!(informed.module.local_state().host_health.is_empty(), "received observations are not reported");
    let with = count_requests_to(&mut informed, 2, Ending::Ok);
    assert!(without > 20 && with < without / 2, "{without} without, {with} with");
    // Own outcomes take precedence over those of other gateways.
    informed.module.apply_remote_state(remote_state(vec![
        remote_health(0, 0.0, 1.0, 9.0),
        remote_health(1, 0.0, 1.0, 9.0),
    ]));
    assert!(count_requests_to(&mut informed, 0, Ending::Ok) > 20);
    // A host that fails here is reported.
    count_requests_to(&mut informed, 1, Ending::Error);
    let state = informed.module.local_state();
    let bad: Vec<_> = state.host_health.iter().map(|(id, j)| (id.clone(), j.failure_rate > 0.3)).collect();
    assert_eq!(bad, [(host_id(1), true)], "{state:?}");
}

/// Replicated usage counts against the quota: usage of the previous window that arrives late is owed, and usage of an
/// earlier incarnation counts as this gateway's own.
#[test]
fn replicated_usage_counts_whenever_it_arrives() {
    let spent = |window, others, former| {
        let remote = whinstall::fleet::replica::RemoteUsage {
            others,
            previous_incarnations: former,
            acknowledged: 0.0,
        };
        let customer = CustomerId(Arc::from("c"));
        RemoteState {
            usage: vec![((customer, window), remote)],
            host_health: Vec::new(),
            fresh_fraction: 1.0,
        }
    };
    let served = |gateway: &mut TestGateway| (0..40).filter(|_| gateway.serve("rate", "c", 1.0, 2)).count();
    let start = || {
        let mut gateway =
            TestGateway::new(Settings { uses_counter: false, units_are_estimates: false, ..settings() }, 4);
        assert!(gateway.serve("rate", "c", 1.0, 2));
        let window = gateway.module.local_state().usage[0].window;
        (gateway, window)
    };
    let (mut alone, window) = start();
    let plain = served(&mut alone);
    let (mut informed, _) = start();
    informed.module.apply_remote_state(spent(window, 15.0, 0.0));
    let with = served(&mut informed);
    assert!(
        plain > 8 && with < plain && with <= 6,
        "{plain} alone, {with} with 15 of 20 spent at other gateways"
    );
    let (mut back, _) = start();
    back.module.apply_remote_state(spent(window, 0.0, 15.0));
    assert!(served(&mut back) <= 6, "units of an earlier incarnation");
    assert!(back.module.local_state().usage[0].units < 15.0, "which are not reported again");
    // Usage of the previous window arrives in this one.
    let (mut late, _) = start();
    late.advance(2.0);
    assert!(late.serve("rate", "c", 1.0, 2));
    late.module.apply_remote_state(spent(window, 30.0, 0.0));
    let after = served(&mut late);
    assert!(after < plain, "{after} after 30 units that arrived late, {plain} without");
}
