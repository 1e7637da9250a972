//! Owns one service at a gatekeeper: its decision module (`whinstall::Gateway`), fed with the workers that are known
//! and with what becomes of requests, and its budget of further tries. It must never know a socket, and never let the
//! module send a further try that the budget over all gatekeepers does not allow.

use crate::data_plane::retry_budget::{RetryBudget, RetryBudgetConfig};
use crate::discovery::{WorkerPhase, WorkerRegistry};
use std::sync::Arc;
use std::time::Duration;
use whinstall::{
    Action, Availability, Class, CustomerId, Ending, Event, Gateway, HostEntry, HostId, Idempotency,
    ListScope, LoadReports, Plan, RequestId, Settings,
};

/// A cold worker's part of its capacity.
const COLD_SHARE: f64 = 0.5;
/// Workers are cold for about so long; what each says of itself goes before this.
const WARM_AFTER: f64 = 3.0;

/// Candidates that are compared for an attempt: what other gatekeepers have out is known, so the best of many is good.
const COMPARED: usize = 6;

/// Each route has its own bound below this.
const ATTEMPTS_MOST: u32 = 4;

/// A class of requests: what the module tells apart.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// May they run more than once?
    pub repeatable: bool,
    /// Full worth within this.
    pub target: Duration,
    /// 0 is the highest.
    pub rank: u32,
}

impl RequestClass {
    fn name(&self) -> String {
        format!("{}-{}-{}", if self.repeatable { 'r' } else { 'o' }, self.target.as_millis(), self.rank)
    }
}

/// A service.
pub struct UpstreamService {
    name: Arc<str>,
    module: Gateway,
    settings: Settings,
    sorts: Vec<RequestClass>,
    budget: RetryBudget,
    /// When the module's timer is due.
    pub due: f64,
}

const ALL: &str = "all";

fn settings(zone: &str, ordinal: u32, gates: u32) -> Settings {
    let plan = Plan {
        name: ALL.into(),
        rate: 0.0,
        burst: 1.0,
        at_once: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        tolerance: 0.0,
        price: 1.0,
        excess_worth: 0.0,
        beyond_costs: 1.0,
    };
    Settings {
        replicas: gates.max(1),
        ordinal,
        zone: zone.into(),
        classes: Vec::new(),
        plans: vec![plan],
        may_count: false,
        count_wait: Duration::from_millis(50),
        post_paid: false,
        units_top: 1.0,
        may_cancel: true,
        may_duplicate: true,
        may_probe: false,
        max_attempts: ATTEMPTS_MOST,
        retry_after: true,
        max_retry_after: Duration::from_secs(1),
        on_request: false,
        load_reports: LoadReports::Off,
        cold_share: COLD_SHARE,
        tip_multiple: 2.0,
        fall: Duration::from_secs(1),
        warm_after: Duration::from_secs_f64(WARM_AFTER),
        cross_zone_price: 1.0,
        probe_price: 0.0,
    }
}

fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

impl UpstreamService {
    /// One of which no worker is known.
    pub fn new(name: Arc<str>, zone: &str, ordinal: u32, gates: u32, seed: u64) -> Self {
        let settings = settings(zone, ordinal, gates);
        let mut module = Gateway::new(settings.clone(), seed);
        module.compare(COMPARED);
        UpstreamService {
            name,
            module,
            settings,
            sorts: Vec::new(),
            budget: RetryBudget::default(),
            due: f64::INFINITY,
        }
    }

    /// How many gatekeepers there are.
    pub fn set_edge_count(&mut self, gates: u32) {
        if self.settings.replicas != gates.max(1) {
            self.settings.replicas = gates.max(1);
            self.module.retune(self.settings.clone());
        }
    }

    /// The workers that may be sent to.
    pub fn workers(&mut self, now: f64, registry: &WorkerRegistry, out: &mut Vec<Action>) {
        let mine = registry.workers().filter(|w| w.service == self.name && w.phase == WorkerPhase::Serving);
        let entry = |w: &crate::discovery::Worker| HostEntry {
            host: HostId(Arc::clone(&w.id)),
            zone: w.zone.to_string(),
            group: 0,
            kind: Arc::from(""),
            availability: Availability::Ready,
            nominal: f64::from(w.capacity.max(1)),
            last_start: Some(registry.slow_start_ends_secs(&w.id) - WARM_AFTER)
                .filter(|at| *at > 0.0)
                .map(span),
        };
        let mut entries: Vec<HostEntry> = mine.map(entry).collect();
        entries.sort_by(|a, b| a.host.cmp(&b.host));
        self.handle(now, Event::Hosts { scope: ListScope::Replace, entries }, 0.0, out);
    }

    /// A request that passed its quota.
    pub fn request(
        &mut self,
        now: f64,
        id: &RequestId,
        sort: &RequestClass,
        left: f64,
        out: &mut Vec<Action>,
    ) {
        if !self.sorts.contains(sort) {
            self.sorts.push(sort.clone());
            self.settings.classes.push(Class {
                name: sort.name(),
                aim: sort.target,
                gain: 1.0 / f64::from(sort.rank + 1),
                late_worth: 0.1,
                idempotency: if sort.repeatable { Idempotency::Repeatable } else { Idempotency::Once },
                key_window: Duration::ZERO,
            });
            self.module.retune(self.settings.clone());
        }
        let request = Event::Request {
            id: id.clone(),
            class: sort.name(),
            plan: ALL.into(),
            customer: CustomerId(ALL.into()),
            budget: span(left),
            units: 1.0,
            width: 1,
        };
        self.handle(now, request, 0.0, out);
    }

    /// An attempt has ended; `further`: may the request have another one by its own rules?
    pub fn ended(
        &mut self,
        now: f64,
        (id, attempt, host): (&RequestId, u32, &HostId),
        ending: Ending,
        (done, delay): (bool, f64),
        further: f64,
        out: &mut Vec<Action>,
    ) {
        let (delay, cost, metered) = (span(delay), 0.0, None);
        let (id, host) = (id.clone(), host.clone());
        self.handle(
            now,
            Event::Outcome { id, attempt, host, ending, done, delay, cost, metered },
            further,
            out,
        );
    }

    /// Attempts that other gatekeepers have out at a worker.
    pub fn elsewhere(&mut self, worker: &Arc<str>, attempts: u32) {
        self.module.out_elsewhere(&HostId(Arc::clone(worker)), attempts);
    }

    /// The client has left.
    pub fn left(&mut self, now: f64, id: &RequestId, out: &mut Vec<Action>) {
        self.handle(now, Event::Departed { id: id.clone() }, 0.0, out);
    }

    /// What is due.
    pub fn tick(&mut self, now: f64, further: f64, out: &mut Vec<Action>) {
        if now >= self.due {
            self.due = f64::INFINITY;
            self.handle(now, Event::Timer { token: "tick".into() }, further, out);
        }
    }

    fn handle(&mut self, now: f64, event: Event, further: f64, out: &mut Vec<Action>) {
        self.module.allow_further(further);
        let from = out.len();
        self.module.handle(span(now), event, out);
        for action in &out[from..] {
            if let Action::Timer { after, .. } = action {
                self.due = self.due.min(now + after.as_secs_f64());
            }
        }
    }

    /// Further tries that the budget has left.
    pub fn further(&mut self, now: f64, terms: &RetryBudgetConfig, gates: u32) -> f64 {
        self.budget.room(now, terms, gates)
    }

    /// An attempt goes out: the first of its request or a further one.
    pub fn sent(&mut self, now: f64, first: bool, terms: &RetryBudgetConfig) {
        match first {
            true => self.budget.first(now, terms),
            false => self.budget.spent(now),
        }
    }
}
