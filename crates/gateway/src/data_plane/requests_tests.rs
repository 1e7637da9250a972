//! Random sequences of requests, worker responses, disconnects and a shutdown at an edge node with real decision modules.
//! Every request must get exactly one final response, and the response must be true of the request.

use super::*;
use crate::configuration::parse_change;
use crate::data_plane::drain::Unanswered;
use crate::data_plane::Event;
use crate::discovery::{Worker, WorkerPhase};
use crate::protocol::PeerMessage;
use crate::settings::Settings;
use googletest::prelude::*;
use std::collections::BTreeMap;

const CONFIG: &str = r#"{"upsert":{"route_set":{"columns":["label","hostname","path_prefix","route_class","cutoff","target","rank","max_attempts","revision","service_ref"],"records":[
["r1","a.example","/once/","effectful","1500ms","400ms",0,2,"r1","s1"],["r2","a.example","/any/","idempotent","1500ms","400ms",1,3,"r1","s1"]]},
"tenant_set":{"columns":["label","credentials","rate_per_s","burst_size","revision"],"records":[["free",["key-free"],0,0,"r1"],["held",["key-held"],5,5,"r1"]]},
"service_set":{"columns":["label","probe_path","revision"],"records":[["s1","/health","r1"]]}}}"#;

fn worker(n: usize, phase: WorkerPhase, heartbeat_seq: u64) -> Worker {
    Worker {
        id: format!("i-{n}").into(),
        service: "s1".into(),
        address: ([10, 9, 0, n as u8 + 1], 80).into(),
        zone: "a".into(),
        capacity: 2,
        phase,
        warmup_ms: 0,
        heartbeat_seq,
    }
}

/// One request as observed by its client and by workers.
#[derive(Default)]
struct Observed {
    is_idempotent: bool,
    received_at: f64,
    in_flight: BTreeMap<u32, HostId>,
    /// Number of attempts that were dispatched.
    dispatches: usize,
    may_have_run: bool,
    complete_responses: Vec<u32>,
    has_disconnected: bool,
    response: Option<FinalResponse>,
}

/// An edge node, and what its clients and workers observe.
struct Scenario {
    edge: EdgeNode,
    now: f64,
    observed: BTreeMap<String, Observed>,
    rng: fastrand::Rng,
    heartbeat_seq: u64,
    is_shut_down: bool,
    /// When the drain ends, in seconds; infinite without a drain.
    drain_ends_at: f64,
}

impl Scenario {
    fn new(seed: u64, workers: usize) -> Self {
        let settings =
            Settings::from_toml(include_str!("../../tests/fixtures/settings.toml")).expect("settings");
        let rng = fastrand::Rng::with_seed(seed);
        let mut scenario = Scenario {
            edge: EdgeNode::new(settings, seed),
            now: 1000.0,
            observed: BTreeMap::new(),
            rng,
            heartbeat_seq: 1,
            is_shut_down: false,
            drain_ends_at: f64::INFINITY,
        };
        let core = "10.0.1.1".parse().expect("an address");
        scenario.call_edge(|edge, _, out| edge.start(out));
        let items = parse_change(CONFIG.as_bytes()).expect("valid");
        let workers = (0..workers).map(|n| worker(n, WorkerPhase::Serving, 1)).collect();
        for msg in [
            PeerMessage::ConfigUpdate { previous: None, index: 1, items },
            PeerMessage::WorkerUpdates(workers),
        ] {
            scenario.call_edge(|edge, now, out| edge.handle(now, Event::CoreMessage(core, msg), out));
        }
        scenario
    }

    /// Calls the edge node and handles the effects. Returns the attempts that were dispatched, with their timeouts in
    /// seconds.
    fn call_edge(
        &mut self,
        call: impl FnOnce(&mut EdgeNode, f64, &mut Vec<Effect>),
    ) -> Vec<(RequestId, u32, f64)> {
        let mut out = Vec::new();
        call(&mut self.edge, self.now, &mut out);
        let mut dispatched = Vec::new();
        for effect in out {
            match effect {
                Effect::Dispatch { id, attempt, worker, timeout_secs, .. } => {
                    let observed = self.observed.get_mut(&*id.0).expect("known");
                    assert_that!(
                        !observed.is_idempotent && (observed.may_have_run || !observed.in_flight.is_empty()),
                        eq(false),
                        "{id:?}"
                    );
                    assert_that!(observed.response, none(), "{id:?} is dispatched after its response");
                    observed.dispatches += 1;
                    assert_that!(observed.dispatches, le(if observed.is_idempotent { 3 } else { 2 }));
                    // The timeout of an attempt does not end before the client's wait or the drain.
                    assert_that!(
                        timeout_secs,
                        ge((observed.received_at + 1.0).min(self.drain_ends_at) - self.now - 1e-9)
                    );
                    observed.in_flight.insert(attempt, worker);
                    dispatched.push((id, attempt, timeout_secs));
                }
                Effect::CancelAttempt(id, attempt) => {
                    let observed = self.observed.get_mut(&*id.0).expect("known");
                    assert_that!(observed.is_idempotent, eq(true), "{id:?} is cancelled");
                    if observed.in_flight.contains_key(&attempt) {
                        dispatched.extend(self.end_attempt(&id, attempt, Ending::Cancelled, None));
                    }
                }
                Effect::Respond(id, response) => self.record_response(&id, response),
                _ => {}
            }
        }
        dispatched
    }

    fn record_response(&mut self, id: &RequestId, response: FinalResponse) {
        let observed = self.observed.get_mut(&*id.0).expect("known");
        assert_that!(
            (&observed.response, observed.has_disconnected),
            eq((&None, false)),
            "{id:?}: {response:?}"
        );
        match &response {
            FinalResponse::RateLimited(_) | FinalResponse::NotExecuted(_) => {
                assert_that!(
                    observed.may_have_run || !observed.in_flight.is_empty(),
                    eq(false),
                    "{id:?}: {response:?}"
                );
            }
            FinalResponse::Upstream(attempt) => {
                assert_that!(observed.complete_responses, contains(eq(attempt)))
            }
            // An attempt may still be in flight here, because the process exits.
            FinalResponse::TimedOut if self.is_shut_down => {
                assert_that!(observed.may_have_run || !observed.in_flight.is_empty(), eq(true));
            }
            FinalResponse::UpstreamFailed | FinalResponse::TimedOut => {
                assert_that!(observed.may_have_run, eq(true))
            }
        }
        observed.response = Some(response);
    }

    fn receive(&mut self, n: usize, path: &str, key: &str) {
        let config = Arc::clone(&self.edge.active_config);
        let route = config.match_route("a.example", path).cloned().expect("a route");
        let tenant = config.tenant_by_credential(key).cloned();
        let id = RequestId(format!("{n}").into());
        let observed =
            Observed { is_idempotent: route.is_idempotent, received_at: self.now, ..Default::default() };
        self.observed.insert(n.to_string(), observed);
        let incoming = IncomingRequest { id, route, tenant, remaining_secs: 1.0 };
        self.call_edge(|edge, now, out| edge.on_request(now, incoming, out));
    }

    fn end_attempt(
        &mut self,
        id: &RequestId,
        attempt: u32,
        ending: Ending,
        response_ok: Option<bool>,
    ) -> Vec<(RequestId, u32, f64)> {
        let observed = self.observed.get_mut(&*id.0).expect("known");
        let host = observed.in_flight.remove(&attempt).expect("in flight");
        observed.may_have_run |= !ending.never_ran();
        observed.complete_responses.extend(response_ok.map(|_| attempt));
        let report = AttemptReport { id, attempt, worker: &host, ending, response_ok };
        self.call_edge(|edge, now, out| edge.on_attempt_end(now, report, out))
    }

    fn disconnect(&mut self, n: usize) {
        let id = RequestId(n.to_string().into());
        self.observed.get_mut(&n.to_string()).expect("known").has_disconnected = true;
        self.call_edge(|edge, now, out| edge.on_client_disconnect(now, &id, out));
    }

    /// Picks a random attempt in flight, if there is any.
    fn random_attempt(&mut self) -> Option<(RequestId, u32)> {
        let attempts =
            self.observed.iter().flat_map(|(id, o)| o.in_flight.keys().map(move |a| (id.clone(), *a)));
        let attempts: Vec<_> = attempts.collect();
        self.rng.choice(attempts).map(|(id, attempt)| (RequestId(id.into()), attempt))
    }

    /// Advances the clock and ends attempts whose time is up with a timeout.
    fn advance(&mut self, secs: f64) {
        self.now += secs;
        self.call_edge(|edge, now, out| edge.handle(now, Event::Tick, out));
        let overdue = self.observed.iter().filter(|(_, o)| self.now >= o.received_at + 1.0);
        let overdue: Vec<_> =
            overdue.flat_map(|(id, o)| o.in_flight.keys().map(move |a| (id.clone(), *a))).collect();
        for (id, attempt) in overdue {
            if self.observed[&id].in_flight.contains_key(&attempt) {
                self.end_attempt(&RequestId(id.into()), attempt, Ending::Timeout, None);
            }
        }
    }

    fn random_step(&mut self, n: usize, workers: usize) {
        match self.rng.u32(0..20) {
            0..=6 => {
                let path = ["/once/x", "/any/x"][self.rng.usize(0..2)];
                let key = if self.rng.u32(0..8) == 0 { "key-held" } else { "key-free" };
                self.receive(n, path, key);
            }
            7..=14 => {
                let Some((id, attempt)) = self.random_attempt() else { return };
                let (ending, response_ok) = [
                    (Ending::Ok, Some(true)),
                    (Ending::Error, Some(false)),
                    (Ending::Error, None),
                    (Ending::Reset, None),
                    (Ending::Full, None),
                    (Ending::ConnectFailed, None),
                    (Ending::NotSent, None),
                ][self.rng.usize(0..7)];
                self.end_attempt(&id, attempt, ending, response_ok);
            }
            15 => {
                let unanswered =
                    self.observed.iter().filter(|(_, o)| o.response.is_none() && !o.has_disconnected);
                let unanswered: Vec<usize> = unanswered.filter_map(|(id, _)| id.parse().ok()).collect();
                if let Some(n) = self.rng.choice(unanswered) {
                    self.disconnect(n);
                }
            }
            16 => {
                self.heartbeat_seq += 1;
                let phase = match self.rng.u32(0..12) {
                    0 => WorkerPhase::Draining,
                    1..=3 => WorkerPhase::Unresponsive,
                    _ => WorkerPhase::Serving,
                };
                // The first updates are of the initial workers only; later, most updates are of additional workers.
                let n = self.rng.usize(0..workers)
                    + 16 * self.rng.usize(0..4) * (self.heartbeat_seq as usize / 8);
                let updates = vec![worker(n % 250, phase, self.heartbeat_seq)];
                let core = "10.0.1.1".parse().expect("an address");
                self.call_edge(|edge, now, out| {
                    edge.handle(now, Event::CoreMessage(core, PeerMessage::WorkerUpdates(updates)), out)
                });
            }
            17 => {
                let host = HostId(format!("i-{}", self.rng.usize(0..workers)).into());
                self.call_edge(|edge, now, out| edge.on_misdirected(now, &host, out));
            }
            _ => self.advance(0.07),
        }
    }
}

#[gtest]
fn random_sequences_keep_every_invariant_and_leave_no_request_pending() {
    let (mut requests, mut responses) = (0, BTreeMap::<&str, usize>::new());
    for seed in 0..400 {
        let workers = 2 + seed as usize % 6;
        let mut scenario = Scenario::new(seed, workers);
        for n in 0..300 {
            if n == 200 {
                // SIGTERM begins the drain; waiting requests continue as before.
                scenario.edge.begin_drain(scenario.now);
            }
            scenario.random_step(n, workers);
        }
        if seed % 2 == 0 {
            // The process exits: every request is answered at once, even with attempts in flight.
            scenario.is_shut_down = true;
            scenario.call_edge(|edge, _, out| edge.respond_to_all(out));
            assert_that!(scenario.edge.unanswered(), eq(Unanswered::default()), "seed {seed}");
        }
        for _ in 0..30 {
            scenario.advance(0.1);
        }
        assert_that!(scenario.edge.pending_count(), eq(0), "seed {seed}");
        for (id, observed) in &scenario.observed {
            assert_that!(
                observed.has_disconnected || observed.response.is_some(),
                eq(true),
                "seed {seed}: {id}"
            );
            let kind = match &observed.response {
                None => "client disconnected",
                Some(FinalResponse::Upstream(_)) => "upstream response",
                Some(FinalResponse::RateLimited(_)) => "rate limited",
                Some(FinalResponse::NotExecuted(_)) => "not executed",
                Some(FinalResponse::UpstreamFailed) => "upstream failed",
                Some(FinalResponse::TimedOut) => "timed out",
            };
            (requests, *responses.entry(kind).or_default()) =
                (requests + 1, responses.get(kind).unwrap_or(&0) + 1);
        }
    }
    println!("{requests} requests: {responses:?}");
    expect_that!(responses.len(), eq(6));
}

#[gtest]
fn non_idempotent_attempts_are_not_cancelled_on_disconnect_or_drain() {
    for path in ["/once/x", "/any/x"] {
        let mut scenario = Scenario::new(1, 3);
        scenario.receive(1, path, "key-free");
        scenario.edge.begin_drain(scenario.now);
        expect_that!(scenario.observed["1"].in_flight.len(), eq(1));
        scenario.disconnect(1);
        // Only the attempt of the idempotent request is cancelled. Neither request is dispatched again or answered.
        expect_that!(scenario.observed["1"].in_flight.len(), eq(usize::from(path == "/once/x")));
        if let Some((id, attempt)) = scenario.random_attempt() {
            scenario.end_attempt(&id, attempt, Ending::Full, None);
        }
        expect_that!((scenario.observed["1"].dispatches, scenario.edge.pending_count()), eq((1, 0)));
    }
}

#[gtest]
fn a_drain_accepts_requests_that_can_end_in_time_and_rejects_the_rest() {
    let mut scenario = Scenario::new(1, 3);
    let drain = scenario.edge.begin_drain(scenario.now);
    scenario.drain_ends_at = drain.ends_at;
    // The latency target is 0.4 s, and clients wait 1 s. All requests are accepted before `closes_at`, because the platform
    // may not have noticed the drain yet.
    let latest_accepted = drain.ends_at - 0.15 - 0.8 - 1e-6;
    let times = [
        scenario.now,
        drain.closes_at - 0.01,
        drain.closes_at,
        latest_accepted,
        latest_accepted + 0.01,
        drain.ends_at + 0.1,
    ];
    for (n, (at, is_accepted)) in times.into_iter().zip([true, true, true, true, false, false]).enumerate() {
        scenario.now = at;
        scenario.receive(n, "/once/x", "key-free");
        let observed = &scenario.observed[&n.to_string()];
        expect_that!(observed.in_flight.len(), eq(usize::from(is_accepted)), "{n}");
        expect_that!(
            matches!(observed.response, Some(FinalResponse::NotExecuted(_))),
            eq(!is_accepted),
            "{n}"
        );
        // The worker must respond before the drain ends.
        let route =
            scenario.edge.active_config.match_route("a.example", "/once/x").cloned().expect("a route");
        let limits = scenario.edge.time_limits(scenario.now, &route, 1.0);
        expect_that!(at + limits.upstream_secs, le(drain.ends_at - 0.1));
        if let Some((id, attempt)) = scenario.random_attempt() {
            scenario.end_attempt(&id, attempt, Ending::Ok, Some(true));
        }
    }
}

#[gtest]
fn drain_times_fit_every_grace_period() {
    let mut settings =
        Settings::from_toml(include_str!("../../tests/fixtures/settings.toml")).expect("settings");
    for grace_ms in [0, 1, 200, 1000, 2000, 3000, 6000, 30_000] {
        settings.envelope.grace_period = std::time::Duration::from_millis(grace_ms);
        let grace_secs = grace_ms as f64 / 1e3;
        let drain = crate::data_plane::drain::Drain::new(1000.0, &settings);
        expect_that!((drain.closes_at, drain.ends_at), (ge(1000.0), ge(drain.closes_at)), "{grace_ms}");
        expect_that!(drain.ends_at, le(1000.0 + grace_secs), "{grace_ms}");
        // The drain takes at least five sixths of the grace period, so that attempts are not cut off earlier.
        expect_that!(drain.ends_at, ge(1000.0 + grace_secs * 5.0 / 6.0 - 1e-9), "{grace_ms}");
    }
}
