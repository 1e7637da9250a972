//! Plain records of what a gateway knows: customers, hosts, requests. Nothing here decides.

use crate::gateway::copies::Books;
use crate::gateway::interface::*;
pub(crate) use crate::identifiers::{fnv1a, GOLDEN_RATIO_FRACTION};
use crate::quota::share::Share;
use crate::quota::{CounterReport, Guard, QuotaSettings};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// A rate that forgets: an exponentially weighted sum.
#[derive(Default)]
pub(crate) struct Flow {
    /// Amount a second, as of `at`.
    pub(crate) level: f64,
    /// When it was last brought up to date.
    pub(crate) at: f64,
}

/// What this gateway knows of one customer.
#[derive(Default)]
pub(crate) struct Customer {
    /// Its plan, by index.
    pub(crate) plan: usize,
    /// Gateways through which its requests come.
    pub(crate) width: f64,
    /// Where in a window the clock's zero falls, as a part of the window.
    pub(crate) phase: f64,
    /// When its last request came.
    pub(crate) seen: f64,
    /// Number of the window that the charges below belong to.
    pub(crate) window: i64,
    /// The window's total over all gateways, as last told.
    pub(crate) total: Option<f64>,
    /// When a total was last told, of this window or an earlier one.
    pub(crate) told_at: f64,
    /// Charges not yet sent to the counter.
    pub(crate) unsynced: f64,
    /// Charges in calls that are not answered yet.
    pub(crate) calling: f64,
    /// All charges of this gateway in the window.
    pub(crate) own: f64,
    /// Units that other gateways are known to have charged in the window, by copies of their books.
    pub(crate) elsewhere: f64,
    /// Units of other gateways that were counted in the window before this one.
    pub(crate) earlier: f64,
    /// Units of the above charges of this gateway that a former life of it made, by the same.
    pub(crate) former: f64,
    /// Units that the window started with: what the earlier ones left or owe.
    pub(crate) store: f64,
    /// What its share of the quota is taken to be here, where no total tells.
    pub(crate) share: Share,
    /// What it asks at this gateway.
    pub(crate) asked: Flow,
    /// What it asked here just before, where the open cap is drawn.
    pub(crate) surge: Flow,
    /// When the next sync is due.
    pub(crate) sync_at: f64,
    /// The time that it is queued for, in microseconds.
    pub(crate) queued: Option<u64>,
    /// When the last sync was sent.
    pub(crate) called_at: f64,
    /// Its attempts out from this gateway.
    pub(crate) out: f64,
    /// Number of the count that attempts out are told to.
    pub(crate) open_window: i64,
    /// Attempts out that this count holds of this gateway.
    pub(crate) open_told: f64,
    /// Attempts out from the other gateways, as last told.
    pub(crate) others: f64,
    /// When that was told.
    pub(crate) others_at: f64,
    /// Is a call with attempts out not answered yet?
    pub(crate) open_calling: bool,
    /// When the attempts out are to be told next.
    pub(crate) open_at: f64,
    /// Units in this gateway's part of the ceiling's store.
    pub(crate) ceiling: f64,
    /// When that store was last brought up to date.
    pub(crate) ceiling_at: f64,
    /// Where ceilings are divided: what it asks here...
    pub(crate) wants: Flow,
    /// ...and the part of what is divided that was given to this gateway, until then.
    pub(crate) given: f64,
    pub(crate) given_until: f64,
}

/// A call to the counter that is not answered yet.
pub(crate) struct Call {
    /// Whose count it is.
    pub(crate) customer: CustomerId,
    /// The window it belongs to.
    pub(crate) window: i64,
    /// What it adds.
    pub(crate) amount: f64,
    /// Attempts out (true) or units (false)?
    pub(crate) open: bool,
    /// The request that waits for it, and its cost.
    pub(crate) asks: Option<(RequestId, f64)>,
}

/// How attempts of one kind ended lately: of one class at a host, or on connections idle for one span.
#[derive(Default)]
pub(crate) struct Health {
    /// Share that failed.
    pub(crate) fails: f64,
    /// Outcomes that this goes by.
    pub(crate) count: f64,
    /// When it was last brought up to date.
    pub(crate) at: f64,
}

impl Health {
    /// Notes an outcome: a share of failures over so many outcomes, which starts as if `prior` good ones had
    /// been seen.
    pub(crate) fn note(&mut self, now: f64, failed: f64, prior: f64, memory: f64, fade: f64) {
        let kept = ((self.at - now) / fade).exp();
        (self.count, self.at) = ((self.count * kept + 1.0).min(memory), now);
        self.fails = self.fails * kept + (failed - self.fails * kept) / (self.count + prior);
    }
}

/// What an attempt wants of a host.
pub(crate) struct Need {
    /// The request's class, by index.
    pub(crate) class: usize,
    /// Expected latency of the request.
    pub(crate) work: f64,
    /// Zone and cell of an attempt that may have run.
    pub(crate) bound: Option<(String, i64)>,
    /// Hosts that it was sent to already.
    pub(crate) tried: Vec<HostId>,
}

/// What this gateway knows of one host.
#[derive(Default)]
pub(crate) struct Host {
    /// Its zone.
    pub(crate) zone: String,
    /// Its cell.
    pub(crate) group: i64,
    /// Its kind of machine.
    pub(crate) kind: Arc<str>,
    /// Its size compared to the others.
    pub(crate) nominal_capacity: f64,
    /// May new work go there?
    pub(crate) ready: bool,
    /// Its last start; `None`: long ago.
    pub(crate) started: Option<f64>,
    /// When its connection was opened or last heard of; `None`: there is none.
    pub(crate) used: Option<f64>,
    /// Attempts sent before this tell nothing of it: its hall was cut off.
    pub(crate) since: f64,
    /// When it last answered anything.
    pub(crate) heard: f64,
    /// Attempts out there.
    pub(crate) out: u32,
    /// Work out there, in seconds of expected latency.
    pub(crate) work: f64,
    /// Work out there from other gateways, where these tell: seconds of expected latency.
    pub(crate) elsewhere: f64,
    /// Its answers' latency over what was expected of them.
    pub(crate) slow: f64,
    /// When that was last brought up to date.
    pub(crate) slow_at: f64,
    /// How its attempts ended lately, by class.
    pub(crate) health: Vec<Health>,
    /// Work that this cold host may be sent now.
    pub(crate) cold: f64,
    /// When that was last brought up to date.
    pub(crate) cold_at: f64,
    /// Its hall's factor on its size; `None`: no halls in force.
    pub(crate) part: Option<f64>,
}

impl Host {
    /// Nothing is known of it any more: it is new, has restarted, or was out of reach.
    pub(crate) fn forget(&mut self) {
        (self.slow_at, self.used) = (f64::NEG_INFINITY, None);
        self.health.clear();
    }
    /// The same, as it may be reached again: nor does what ends later of attempts that were sent before tell of it.
    pub(crate) fn reached(&mut self, now: f64) {
        self.forget();
        self.since = now;
    }
}

/// One attempt of a request.
pub(crate) struct Attempt {
    /// Where it went.
    pub(crate) host: HostId,
    /// Is it still out?
    pub(crate) out: bool,
    /// Has it ended in a way that does not prove that it never ran?
    pub(crate) may_have_run: bool,
    /// When it was sent.
    pub(crate) sent: f64,
    /// Work it was expected to be.
    pub(crate) work: f64,
    /// Zone of its host.
    pub(crate) zone: String,
    /// Cell of its host.
    pub(crate) group: i64,
    /// Span that its connection stood idle before, by index.
    pub(crate) idle: usize,
}

/// A request that is owed an answer or has an attempt out.
pub(crate) struct Request {
    /// Its class, by index.
    pub(crate) class: usize,
    /// Its customer.
    pub(crate) customer: CustomerId,
    /// Its units, or the guess at them.
    pub(crate) units: f64,
    /// When it came.
    pub(crate) arrived: f64,
    /// When its client gives up.
    pub(crate) deadline: f64,
    /// When a second copy may be sent.
    pub(crate) copy_at: f64,
    /// Is it answered?
    pub(crate) over: bool,
    /// Are its true units charged, or none to be?
    pub(crate) settled: bool,
    /// Its chance to pass where the counter does not answer.
    pub(crate) chance: f64,
    /// The most attempts that it may have, by the settings that it came under.
    pub(crate) most: usize,
    /// Its attempts, in the order they were sent.
    pub(crate) attempts: Vec<Attempt>,
}

/// The decisions of one gateway.
pub struct Gateway {
    /// Its settings, made sane.
    pub(crate) s: Settings,
    /// Its own generator.
    pub(crate) rng: fastrand::Rng,
    /// The time of the last event.
    pub(crate) now: f64,
    /// The time of the first one.
    pub(crate) started: Option<f64>,
    /// The time of the first request.
    pub(crate) serving: Option<f64>,
    /// When the next timer that was set is due.
    pub(crate) timer_at: f64,
    /// When the idle were last looked for.
    pub(crate) swept_at: f64,
    /// Customers by when they are to be looked at.
    pub(crate) due: BinaryHeap<Reverse<(u64, CustomerId)>>,
    /// Requests by when a second copy may be sent.
    pub(crate) copies: BinaryHeap<Reverse<(u64, RequestId)>>,
    /// The customers it knows.
    pub(crate) customers: BTreeMap<CustomerId, Customer>,
    /// What other gateways, and former lives of this one, are known to have charged and seen.
    pub(crate) elsewhere: Books,
    /// Where ceilings are divided: the part of the even share that is always this gateway's.
    pub(crate) floor: Option<f64>,
    /// What of the counter's answers may be gone by, and when it may be called.
    pub(crate) guard: Guard,
    /// Calls not answered yet, by count.
    pub(crate) calls: BTreeMap<CounterKey, VecDeque<Call>>,
    /// Calls a second that it may make.
    pub(crate) pace: f64,
    /// The pace at which calls last began to fail.
    pub(crate) pace_goal: f64,
    /// Was a call answered since the last cut?
    pub(crate) answered: bool,
    /// Units a second that its calls told.
    pub(crate) told: Flow,
    /// Units a second whose window ended before they were told.
    pub(crate) untold: Flow,
    /// Share of the last calls that were late, lost or turned away.
    pub(crate) misses: f64,
    /// When the pace was last cut.
    pub(crate) cut_at: f64,
    /// Calls a second that it would like to make.
    pub(crate) wants: Flow,
    /// Calls saved up, and as of when.
    pub(crate) allowance: (f64, f64),
    /// The hosts on its list.
    pub(crate) hosts: BTreeMap<HostId, Host>,
    /// Latency by kind of host, over what was expected.
    pub(crate) kinds: BTreeMap<Arc<str>, f64>,
    /// How attempts ended by the span that their connection stood idle before.
    pub(crate) idle: [Health; 7],
    /// Hosts with running sums of the weights that they are drawn by: own zone, others.
    pub(crate) tables: [Vec<(f64, HostId)>; 2],
    /// When these are to be made anew.
    pub(crate) table_until: f64,
    /// Size of the warm hosts together.
    pub(crate) warm_size: f64,
    /// Ready hosts, cold ones by their warmth.
    pub(crate) ready: f64,
    /// Requests that are owed an answer or have an attempt out.
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Mean latency and mean units, by class, and the answers that they go by.
    pub(crate) seen: Vec<(f64, f64, f64)>,
    /// Part of the work that goes far while the own hall is short; `None`: near first, as ever.
    pub(crate) spill: Option<f64>,
    /// Part of requests that fits in no hall.
    pub(crate) unplaced: f64,
    /// Requests refused for that so far.
    pub(crate) turned_out: u64,
    /// Work a second sent to warm hosts.
    pub(crate) sent: Flow,
    /// Answers a second.
    pub(crate) done: Flow,
    /// Attempts a second that ran out of time.
    pub(crate) lost: Flow,
    /// Mean worth for the work.
    pub(crate) density: f64,
    /// Attempts out as requests found them.
    pub(crate) queue: f64,
    /// Attempts out.
    pub(crate) out: u32,
    /// Candidates that are compared for an attempt.
    pub(crate) draws: usize,
    /// Further attempts saved up.
    pub(crate) retries: f64,
    /// Classes that are no longer in force, or not as they were, by index: requests that came under them keep them.
    pub(crate) retired: BTreeSet<usize>,
    /// Has another process of this gateway taken over? Hard ceilings are that one's to spend then.
    pub(crate) bequeathed: bool,
}

impl Gateway {
    /// One that knows nothing yet.
    pub(crate) fn blank(s: Settings, seed: u64) -> Self {
        let unit = (seed >> 11) as f64 / (1u64 << 53) as f64;
        Gateway {
            s,
            rng: fastrand::Rng::with_seed(seed),
            timer_at: f64::INFINITY,
            now: Default::default(),
            started: Default::default(),
            serving: Default::default(),
            swept_at: Default::default(),
            due: Default::default(),
            copies: Default::default(),
            customers: Default::default(),
            elsewhere: Books::default(),
            floor: None,
            guard: Guard::new(QuotaSettings::default(), unit),
            calls: Default::default(),
            pace: Default::default(),
            pace_goal: Default::default(),
            answered: Default::default(),
            told: Default::default(),
            untold: Default::default(),
            misses: Default::default(),
            cut_at: Default::default(),
            wants: Default::default(),
            allowance: Default::default(),
            hosts: Default::default(),
            kinds: Default::default(),
            idle: Default::default(),
            tables: Default::default(),
            table_until: Default::default(),
            warm_size: Default::default(),
            ready: Default::default(),
            requests: Default::default(),
            seen: Default::default(),
            spill: None,
            unplaced: 0.0,
            turned_out: 0,
            sent: Default::default(),
            done: Default::default(),
            lost: Default::default(),
            density: Default::default(),
            queue: Default::default(),
            out: Default::default(),
            draws: 2,
            retries: Default::default(),
            retired: Default::default(),
            bequeathed: false,
        }
    }
}

impl Flow {
    /// Adds an amount; it is forgotten over about `over` seconds.
    pub(crate) fn add(&mut self, now: f64, amount: f64, over: f64) {
        self.level = self.rate(now, over) + amount / over;
        self.at = now;
    }
    /// Amount a second.
    pub(crate) fn rate(&self, now: f64, over: f64) -> f64 {
        self.level * ((self.at - now) / over).exp()
    }
}

/// Of a time that may be infinite, in whole microseconds: due times in order.
pub(crate) fn micros(at: f64) -> u64 {
    (at * 1e6) as u64
}

pub(crate) fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO)
}

/// A figure from outside: never negative, never infinite.
pub(crate) fn sane(x: f64) -> f64 {
    Some(x).filter(|x| x.is_finite()).map_or(0.0, |x| x.clamp(0.0, 1e12))
}

/// Short names carry the customer, long ones its hash: a name holds 64 bytes.
pub(crate) fn count_name(kind: char, id: &CustomerId, window: i64) -> CounterKey {
    let key: &str = &id.0;
    match key.len() {
        0..=40 => CounterKey(format!("{kind}{window}:{key}").into()),
        _ => CounterKey(format!("{kind}{window}#{:016x}", fnv1a(key)).into()),
    }
}

/// Settings without figures that make no sense.
pub(crate) fn sane_settings(mut s: Settings) -> Settings {
    s.replicas = s.replicas.max(1);
    s.max_attempts = s.max_attempts.max(1);
    for plan in &mut s.plans {
        let ceiling = [&mut plan.ceiling_rate, &mut plan.ceiling_burst, &mut plan.ceiling_tolerance];
        for x in [&mut plan.rate, &mut plan.burst, &mut plan.price].into_iter().chain(ceiling) {
            *x = sane(*x);
        }
    }
    s
}

impl Customer {
    /// One of which nothing is known, with nothing due.
    pub(crate) fn new(plan: usize, width: f64, phase: f64) -> Self {
        let (never, past) = (f64::INFINITY, f64::NEG_INFINITY);
        let blank = Customer { plan, width, phase, sync_at: never, open_at: never, ..Customer::default() };
        Customer { open_window: i64::MIN, others_at: past, ..blank }
    }
    /// Seconds since its window began.
    pub(crate) fn elapsed(&self, plan: &Plan, now: f64) -> f64 {
        let window = Gateway::window_s(plan);
        (now / window + self.phase).fract() * window
    }
    /// This gateway's part of its quota where no total tells.
    pub(crate) fn part(&self, plan: &Plan) -> f64 {
        self.share.fraction(plan.burst, self.width)
    }
    /// Units that all gateways may have spent in so many seconds, where no total tells.
    pub(crate) fn guess(&self, plan: &Plan, own: f64, span: f64, now: f64) -> f64 {
        self.share.estimate_spent(plan.rate, self.part(plan), own, span, now)
    }
    /// Units known to be spent in this window: where the counter's total and the copies differ, the larger.
    pub(crate) fn spent(&self) -> f64 {
        (self.total.unwrap_or(0.0) + self.calling + self.unsynced).max(self.own + self.elsewhere)
    }
}

impl Request {
    /// One that has just come, at `arrived`, with so many seconds left and so many attempts.
    pub(crate) fn new(
        class: usize,
        customer: CustomerId,
        units: f64,
        (arrived, budget): (f64, f64),
        most: u32,
    ) -> Self {
        let (copy_at, chance, attempts) = (f64::INFINITY, 1.0, Vec::new());
        let (over, settled, deadline, most) = (false, false, arrived + budget, most as usize);
        Request { class, customer, units, arrived, deadline, copy_at, over, settled, chance, most, attempts }
    }
}

impl Class {
    /// Mean latency and mean units before any answer, which count for so many answers.
    pub(crate) fn first_guess(&self, prior: f64) -> (f64, f64, f64) {
        (self.latency_target.as_secs_f64().max(0.01) / 5.0, 2.0, prior)
    }
}

impl Settings {
    /// The class of this name, by index: the newest, where one was changed; one without a name stands for all that
    /// are not known.
    pub(crate) fn class(&self, name: &str) -> usize {
        let find = |name: &str| self.classes.iter().rposition(|c| c.name == name);
        find(name).or_else(|| find("")).unwrap_or(0)
    }
}

impl Gateway {
    /// Mean latency over the classes.
    pub(crate) fn mean_latency(&self) -> f64 {
        let (sum, count) = self.live_classes().fold((0.0, 0), |(sum, count), s| (sum + s.0, count + 1));
        sum / f64::from(count)
    }
    /// Requests refused so far because they fit in no hall: they are part of what is offered here.
    pub fn zone_rejections(&self) -> u64 {
        self.turned_out
    }
    /// The same with other settings of the counter's guard than its defaults, before anything is handled.
    pub fn with_quota(mut self, settings: QuotaSettings) -> Self {
        self.guard = Guard::new(settings, self.rng.f64());
        self
    }
    /// What operators see of the counter; modes are those of the last event.
    pub fn counter_report(&self) -> CounterReport {
        self.guard.report(self.now)
    }
    /// Mean seconds that a unit is out.
    pub(crate) fn hold(&self) -> f64 {
        let sums = self.live_classes().fold((0.0, 0.0), |sums, s| (sums.0 + s.0, sums.1 + s.1));
        sums.0 / sums.1
    }
    /// What was seen of the classes in force.
    fn live_classes(&self) -> impl Iterator<Item = &(f64, f64, f64)> {
        self.seen.iter().enumerate().filter(|(n, _)| !self.retired.contains(n)).map(|(_, s)| s)
    }
}
