//! Requests at a gatekeeper with its real decision modules, under workers, clients and an end as they come: whatever is
//! drawn, each request keeps the promises of its one answer.

use super::*;
use crate::configuration::read_call;
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

fn worker(n: usize, phase: WorkerPhase, calls: u64) -> Worker {
    Worker {
        id: format!("i-{n}").into(),
        service: "s1".into(),
        address: ([10, 9, 0, n as u8 + 1], 80).into(),
        zone: "a".into(),
        capacity: 2,
        phase,
        warmup_ms: 0,
        call_count: calls,
    }
}

/// One request as those around it saw it.
#[derive(Default)]
struct Seen {
    once: bool,
    arrived: f64,
    out: BTreeMap<u32, HostId>,
    sent: usize,
    may_have_run: bool,
    whole: Vec<u32>,
    left: bool,
    answer: Option<FinalResponse>,
}

struct Day {
    edge: EdgeNode,
    now: f64,
    seen: BTreeMap<String, Seen>,
    rng: fastrand::Rng,
    calls: u64,
    abandoned: bool,
    ends_at: f64,
}

impl Day {
    fn new(seed: u64, workers: usize) -> Self {
        let settings = Settings::read(include_str!("../../tests/fixtures/settings.toml")).expect("settings");
        let rng = fastrand::Rng::with_seed(seed);
        let mut day = Day {
            edge: EdgeNode::new(settings, seed),
            now: 1000.0,
            seen: BTreeMap::new(),
            rng,
            calls: 1,
            abandoned: false,
            ends_at: f64::INFINITY,
        };
        let core = "10.0.1.1".parse().expect("an address");
        day.with(|edge, _, out| edge.start(out));
        let items = read_call(CONFIG.as_bytes()).expect("valid");
        let workers = (0..workers).map(|n| worker(n, WorkerPhase::Serving, 1)).collect();
        for msg in [
            PeerMessage::ConfigUpdate { previous: None, index: 1, items },
            PeerMessage::WorkerUpdates(workers),
        ] {
            day.with(|edge, now, out| edge.handle(now, Event::CoreMessage(core, msg), out));
        }
        day
    }

    fn with(&mut self, f: impl FnOnce(&mut EdgeNode, f64, &mut Vec<Effect>)) -> Vec<(RequestId, u32, f64)> {
        let mut out = Vec::new();
        f(&mut self.edge, self.now, &mut out);
        let mut dispatched = Vec::new();
        for effect in out {
            match effect {
                Effect::Dispatch { id, attempt, worker, timeout_secs: within, .. } => {
                    let seen = self.seen.get_mut(&*id.0).expect("known");
                    assert_that!(
                        seen.once && (seen.may_have_run || !seen.out.is_empty()),
                        eq(false),
                        "{id:?}"
                    );
                    assert_that!(seen.answer, none(), "{id:?} is answered and goes out");
                    seen.sent += 1;
                    assert_that!(seen.sent, le(if seen.once { 2 } else { 3 }));
                    // No silence ends it sooner than its client, its route or this process does.
                    assert_that!(within, ge((seen.arrived + 1.0).min(self.ends_at) - self.now - 1e-9));
                    seen.out.insert(attempt, worker);
                    dispatched.push((id, attempt, within));
                }
                Effect::CancelAttempt(id, attempt) => {
                    let seen = self.seen.get_mut(&*id.0).expect("known");
                    assert_that!(seen.once, eq(false), "{id:?} is broken off");
                    if seen.out.contains_key(&attempt) {
                        dispatched.extend(self.ended(&id, attempt, Ending::Cancelled, None));
                    }
                }
                Effect::Respond(id, answer) => self.answered(&id, answer),
                _ => {}
            }
        }
        dispatched
    }

    fn answered(&mut self, id: &RequestId, answer: FinalResponse) {
        let seen = self.seen.get_mut(&*id.0).expect("known");
        assert_that!((&seen.answer, seen.left), eq((&None, false)), "{id:?}: {answer:?}");
        match &answer {
            FinalResponse::RateLimited(_) | FinalResponse::NotExecuted(_) => {
                assert_that!(seen.may_have_run || !seen.out.is_empty(), eq(false), "{id:?}: {answer:?}");
            }
            FinalResponse::Upstream(attempt) => assert_that!(seen.whole, contains(eq(attempt))),
            // With an attempt out only where the process ends.
            FinalResponse::TimedOut if self.abandoned => {
                assert_that!(seen.may_have_run || !seen.out.is_empty(), eq(true));
            }
            FinalResponse::UpstreamFailed | FinalResponse::TimedOut => {
                assert_that!(seen.may_have_run, eq(true))
            }
        }
        seen.answer = Some(answer);
    }

    fn arrives(&mut self, n: usize, path: &str, key: &str) {
        let view = Arc::clone(&self.edge.active_config);
        let route = view.route("a.example", path).cloned().expect("a route");
        let tenant = view.tenant(key).cloned();
        let id = RequestId(format!("{n}").into());
        let seen = Seen { once: !route.repeatable, arrived: self.now, ..Default::default() };
        self.seen.insert(n.to_string(), seen);
        let arrival = IncomingRequest { id, route, tenant, remaining_secs: 1.0 };
        self.with(|edge, now, out| edge.on_request(now, arrival, out));
    }

    fn ended(
        &mut self,
        id: &RequestId,
        attempt: u32,
        ending: Ending,
        whole: Option<bool>,
    ) -> Vec<(RequestId, u32, f64)> {
        let seen = self.seen.get_mut(&*id.0).expect("known");
        let host = seen.out.remove(&attempt).expect("out");
        seen.may_have_run |= !ending.never_ran();
        seen.whole.extend(whole.map(|_| attempt));
        let report = AttemptReport { id, attempt, worker: &host, ending, response_ok: whole };
        self.with(|edge, now, out| edge.on_attempt_end(now, report, out))
    }

    fn leaves(&mut self, n: usize) {
        let id = RequestId(n.to_string().into());
        self.seen.get_mut(&n.to_string()).expect("known").left = true;
        self.with(|edge, now, out| edge.on_client_disconnect(now, &id, out));
    }

    /// One of the attempts that are out, if there is any.
    fn any(&mut self) -> Option<(RequestId, u32)> {
        let all = self.seen.iter().flat_map(|(id, s)| s.out.keys().map(move |a| (id.clone(), *a)));
        let all: Vec<_> = all.collect();
        self.rng.choice(all).map(|(id, attempt)| (RequestId(id.into()), attempt))
    }

    /// Lets time pass; what is out then is out of time.
    fn passes(&mut self, seconds: f64) {
        self.now += seconds;
        self.with(|edge, now, out| edge.handle(now, Event::Tick, out));
        let late = self.seen.iter().filter(|(_, s)| self.now >= s.arrived + 1.0);
        let late: Vec<_> = late.flat_map(|(id, s)| s.out.keys().map(move |a| (id.clone(), *a))).collect();
        for (id, attempt) in late {
            if self.seen[&id].out.contains_key(&attempt) {
                self.ended(&RequestId(id.into()), attempt, Ending::Timeout, None);
            }
        }
    }

    fn drawn(&mut self, n: usize, workers: usize) {
        match self.rng.u32(0..20) {
            0..=6 => {
                let path = ["/once/x", "/any/x"][self.rng.usize(0..2)];
                let key = if self.rng.u32(0..8) == 0 { "key-held" } else { "key-free" };
                self.arrives(n, path, key);
            }
            7..=14 => {
                let Some((id, attempt)) = self.any() else { return };
                let (ending, whole) = [
                    (Ending::Ok, Some(true)),
                    (Ending::Error, Some(false)),
                    (Ending::Error, None),
                    (Ending::Reset, None),
                    (Ending::Full, None),
                    (Ending::ConnectFailed, None),
                    (Ending::Moot, None),
                ][self.rng.usize(0..7)];
                self.ended(&id, attempt, ending, whole);
            }
            15 => {
                let here = self.seen.iter().filter(|(_, s)| s.answer.is_none() && !s.left);
                let here: Vec<usize> = here.filter_map(|(id, _)| id.parse().ok()).collect();
                if let Some(n) = self.rng.choice(here) {
                    self.leaves(n);
                }
            }
            16 => {
                self.calls += 1;
                let phase = match self.rng.u32(0..12) {
                    0 => WorkerPhase::Draining,
                    1..=3 => WorkerPhase::Unresponsive,
                    _ => WorkerPhase::Serving,
                };
                // One in four is a new life.
                let n = self.rng.usize(0..workers) + 16 * self.rng.usize(0..4) * (self.calls as usize / 8);
                let news = vec![worker(n % 250, phase, self.calls)];
                let core = "10.0.1.1".parse().expect("an address");
                self.with(|edge, now, out| {
                    edge.handle(now, Event::CoreMessage(core, PeerMessage::WorkerUpdates(news)), out)
                });
            }
            17 => {
                let host = HostId(format!("i-{}", self.rng.usize(0..workers)).into());
                self.with(|edge, now, out| edge.on_misdirected(now, &host, out));
            }
            _ => self.passes(0.07),
        }
    }
}

#[gtest]
fn drawn_courses_of_many_requests_break_no_promise_and_leave_nothing_open() {
    let (mut requests, mut answers) = (0, BTreeMap::<&str, usize>::new());
    for seed in 0..400 {
        let workers = 2 + seed as usize % 6;
        let mut day = Day::new(seed, workers);
        for n in 0..300 {
            if n == 200 {
                // SIGTERM: what waits goes on as before.
                day.edge.begin_drain(day.now);
            }
            day.drawn(n, workers);
        }
        if seed % 2 == 0 {
            // The process ends: all is answered at once, whatever is out.
            day.abandoned = true;
            day.with(|edge, _, out| edge.respond_to_all(out));
            assert_that!(day.edge.unanswered(), eq(Unanswered::default()), "seed {seed}");
        }
        for _ in 0..30 {
            day.passes(0.1);
        }
        assert_that!(day.edge.pending_count(), eq(0), "seed {seed}");
        for (id, seen) in &day.seen {
            assert_that!(seen.left || seen.answer.is_some(), eq(true), "seed {seed}: {id}");
            let kind = match &seen.answer {
                None => "left",
                Some(FinalResponse::Upstream(_)) => "worker",
                Some(FinalResponse::RateLimited(_)) => "limited",
                Some(FinalResponse::NotExecuted(_)) => "refused",
                Some(FinalResponse::UpstreamFailed) => "failed",
                Some(FinalResponse::TimedOut) => "timed out",
            };
            (requests, *answers.entry(kind).or_default()) =
                (requests + 1, answers.get(kind).unwrap_or(&0) + 1);
        }
    }
    println!("{requests} requests: {answers:?}");
    expect_that!(answers.len(), eq(6));
}

#[gtest]
fn what_may_run_only_once_goes_on_when_its_client_leaves_or_this_process_is_to_end() {
    for path in ["/once/x", "/any/x"] {
        let mut day = Day::new(1, 3);
        day.arrives(1, path, "key-free");
        day.edge.begin_drain(day.now);
        expect_that!(day.seen["1"].out.len(), eq(1));
        day.leaves(1);
        // The one is left alone, the other called off; neither is sent again or answered.
        expect_that!(day.seen["1"].out.len(), eq(usize::from(path == "/once/x")));
        if let Some((id, attempt)) = day.any() {
            day.ended(&id, attempt, Ending::Full, None);
        }
        expect_that!((day.seen["1"].sent, day.edge.pending_count()), eq((1, 0)));
    }
}

#[gtest]
fn a_drain_takes_what_it_can_end_and_refuses_the_rest_unsent() {
    let mut day = Day::new(1, 3);
    let drain = day.edge.begin_drain(day.now);
    day.ends_at = drain.ends_at;
    // Their target is 0.4 s, and they are waited for for a second. Until the platform may have noticed, all are taken.
    let latest = drain.ends_at - 0.15 - 0.8 - 1e-6;
    let times =
        [day.now, drain.closes_at - 0.01, drain.closes_at, latest, latest + 0.01, drain.ends_at + 0.1];
    for (n, (at, taken)) in times.into_iter().zip([true, true, true, true, false, false]).enumerate() {
        day.now = at;
        day.arrives(n, "/once/x", "key-free");
        let seen = &day.seen[&n.to_string()];
        expect_that!(seen.out.len(), eq(usize::from(taken)), "{n}");
        expect_that!(matches!(seen.answer, Some(FinalResponse::NotExecuted(_))), eq(!taken), "{n}");
        // Its worker is to be done before the drain is.
        let route = day.edge.active_config.route("a.example", "/once/x").cloned().expect("a route");
        let limits = day.edge.time_limits(day.now, &route, 1.0);
        expect_that!(at + limits.upstream_secs, le(drain.ends_at - 0.1));
        if let Some((id, attempt)) = day.any() {
            day.ended(&id, attempt, Ending::Ok, Some(true));
        }
    }
}

#[gtest]
fn the_times_of_a_drain_fit_every_grace_period() {
    let mut settings = Settings::read(include_str!("../../tests/fixtures/settings.toml")).expect("settings");
    for grace_ms in [0, 1, 200, 1000, 2000, 3000, 6000, 30_000] {
        settings.envelope.grace = std::time::Duration::from_millis(grace_ms);
        let grace = grace_ms as f64 / 1e3;
        let drain = crate::data_plane::drain::Drain::new(1000.0, &settings);
        expect_that!((drain.closes_at, drain.ends_at), (ge(1000.0), ge(drain.closes_at)), "{grace_ms}");
        expect_that!(drain.ends_at, le(1000.0 + grace), "{grace_ms}");
        // Whoever is broken off was at work in the last sixth.
        expect_that!(drain.ends_at, ge(1000.0 + grace * 5.0 / 6.0 - 1e-9), "{grace_ms}");
    }
}
