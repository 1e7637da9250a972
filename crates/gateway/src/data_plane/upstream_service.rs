//! One upstream service at an edge node: its retry budget, and its decision module ([`whinstall::Gateway`]), which
//! receives the known workers and the progress of requests.
//!
//! The service performs no I/O. With each event it passes the number of retries that the budget allows to the module, so
//! that the module never requests a retry that would exceed the budget over all edge nodes.

use super::retry_budget::{RetryBudget, RetryBudgetConfig};
use crate::discovery::{Worker, WorkerPhase, WorkerRegistry};
use std::sync::Arc;
use std::time::Duration;
use whinstall::{
    Action, Availability, Class, CustomerId, Ending, Event, Gateway, HostEntry, HostId, Idempotency,
    ListScope, LoadReports, Plan, RequestId, Settings,
};

/// Fraction of its capacity that a worker has during slow start.
const WARMUP_CAPACITY_SHARE: f64 = 0.5;
/// Duration of slow start, in seconds. A warm-up time that the worker reports takes precedence.
const WARMUP_SECS: f64 = 3.0;

/// Number of candidate workers compared for an attempt. Comparing many candidates helps because the attempts that the other
/// edge nodes have in flight at each worker are known.
const CANDIDATES_COMPARED: usize = 6;

/// Upper bound on the attempts of a request; each route has its own bound below this.
const MAX_ATTEMPTS: u32 = 4;

/// Name of the single plan and customer in the module: quotas are enforced before requests reach it.
const ONLY_PLAN: &str = "all";

/// Properties by which the decision module distinguishes requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Whether requests of this class may run more than once.
    pub is_idempotent: bool,
    /// Latency target: a response within this time has its full value.
    pub latency_target: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
}

impl RequestClass {
    fn name(&self) -> String {
        let idempotency = if self.is_idempotent { 'r' } else { 'o' };
        format!("{idempotency}-{}-{}", self.latency_target.as_millis(), self.priority)
    }

    fn to_module_class(&self) -> Class {
        Class {
            name: self.name(),
            latency_target: self.latency_target,
            value: 1.0 / f64::from(self.priority + 1),
            late_value_fraction: 0.1,
            idempotency: if self.is_idempotent { Idempotency::Repeatable } else { Idempotency::Once },
            key_retention: Duration::ZERO,
        }
    }
}

/// Result of an attempt, as passed to the decision module.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult<'a> {
    /// The request to which the attempt belongs.
    pub id: &'a RequestId,
    /// Number of the attempt, counted from 0 for each request.
    pub attempt: u32,
    /// The worker to which the attempt was dispatched.
    pub worker: &'a HostId,
    /// Reason for the end, which also tells whether the request may have run.
    pub ending: Ending,
    /// Whether the request is answered, so that no further attempt is needed.
    pub is_answered: bool,
    /// Time since the attempt was dispatched, in seconds.
    pub elapsed_secs: f64,
}

/// State of one upstream service at this edge node.
pub struct UpstreamService {
    name: Arc<str>,
    module: Gateway,
    settings: Settings,
    classes: Vec<RequestClass>,
    retry_budget: RetryBudget,
    /// When the module's timer is due, in seconds of the clock that is passed in; infinite if the timer is not set.
    pub timer_at: f64,
}

/// Initial settings of the module; each request class is added with its first request.
fn module_settings(zone: &str, ordinal: u32, edge_count: u32) -> Settings {
    let plan = Plan {
        name: ONLY_PLAN.into(),
        rate: 0.0,
        burst: 1.0,
        max_concurrent: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_tolerance: 0.0,
        price: 1.0,
        excess_value_fraction: 0.0,
        excess_cost_fraction: 1.0,
    };
    Settings {
        replicas: edge_count.max(1),
        ordinal,
        zone: zone.into(),
        classes: Vec::new(),
        plans: vec![plan],
        uses_counter: false,
        counter_timeout: Duration::from_millis(50),
        units_are_estimates: false,
        max_units: 1.0,
        may_cancel: true,
        may_hedge: true,
        may_probe: false,
        max_attempts: MAX_ATTEMPTS,
        sends_retry_after: true,
        max_retry_after: Duration::from_secs(1),
        subscribes_to_hosts: false,
        load_reports: LoadReports::Off,
        cold_capacity_fraction: WARMUP_CAPACITY_SHARE,
        overload_factor: 2.0,
        overload_duration: Duration::from_secs(1),
        warmup: Duration::from_secs_f64(WARMUP_SECS),
        cross_zone_price: 1.0,
        probe_price: 0.0,
    }
}

/// Converts seconds to a duration; zero if `secs` is negative, infinite or not a number.
fn duration(secs: f64) -> Duration {
    Duration::try_from_secs_f64(secs).unwrap_or_default()
}

impl UpstreamService {
    /// Creates a service without known workers.
    pub fn new(name: Arc<str>, zone: &str, ordinal: u32, edge_count: u32, seed: u64) -> Self {
        let settings = module_settings(zone, ordinal, edge_count);
        let mut module = Gateway::new(settings.clone(), seed);
        module.set_candidate_count(CANDIDATES_COMPARED);
        UpstreamService {
            name,
            module,
            settings,
            classes: Vec::new(),
            retry_budget: RetryBudget::default(),
            timer_at: f64::INFINITY,
        }
    }

    /// Sets the number of edge nodes; 0 if unknown.
    pub fn set_edge_count(&mut self, edge_count: u32) {
        if self.settings.replicas != edge_count.max(1) {
            self.settings.replicas = edge_count.max(1);
            self.module.update_settings(self.settings.clone());
        }
    }

    /// Sets the workers that may receive requests: those in the registry that belong to this service and are serving.
    pub fn set_workers(&mut self, now: f64, registry: &WorkerRegistry, out: &mut Vec<Action>) {
        let serving =
            registry.workers().filter(|w| w.service == self.name && w.phase == WorkerPhase::Serving);
        let entry = |w: &Worker| HostEntry {
            host: HostId(Arc::clone(&w.id)),
            zone: w.zone.to_string(),
            group: 0,
            kind: Arc::from(""),
            availability: Availability::Ready,
            nominal_capacity: f64::from(w.capacity.max(1)),
            last_start: Some(registry.slow_start_ends_secs(&w.id) - WARMUP_SECS)
                .filter(|at| *at > 0.0)
                .map(duration),
        };
        let mut entries: Vec<HostEntry> = serving.map(entry).collect();
        entries.sort_by(|a, b| a.host.cmp(&b.host));
        self.handle(now, Event::Hosts { scope: ListScope::Replace, entries }, 0.0, out);
    }

    /// Passes an admitted request to the module. Attempts may be dispatched for another `remaining_secs`.
    pub fn on_request(
        &mut self,
        now: f64,
        id: &RequestId,
        class: &RequestClass,
        remaining_secs: f64,
        out: &mut Vec<Action>,
    ) {
        if !self.classes.contains(class) {
            self.classes.push(class.clone());
            self.settings.classes.push(class.to_module_class());
            self.module.update_settings(self.settings.clone());
        }
        let request = Event::Request {
            id: id.clone(),
            class: class.name(),
            plan: ONLY_PLAN.into(),
            customer: CustomerId(ONLY_PLAN.into()),
            budget: duration(remaining_secs),
            units: 1.0,
            gateway_count: 1,
        };
        self.handle(now, request, 0.0, out);
    }

    /// Passes the end of an attempt to the module. `retries`: number of retries that the retry budget and the request's own
    /// state allow.
    pub fn on_attempt_end(
        &mut self,
        now: f64,
        result: AttemptResult<'_>,
        retries: f64,
        out: &mut Vec<Action>,
    ) {
        let outcome = Event::AttemptFinished {
            id: result.id.clone(),
            attempt: result.attempt,
            host: result.worker.clone(),
            ending: result.ending,
            request_done: result.is_answered,
            elapsed: duration(result.elapsed_secs),
            cost: 0.0,
            metered: None,
        };
        self.handle(now, outcome, retries, out);
    }

    /// Sets the number of attempts that the other edge nodes have in flight at a worker.
    pub fn set_peer_in_flight(&mut self, worker: &Arc<str>, attempts: u32) {
        self.module.set_remote_in_flight(&HostId(Arc::clone(worker)), attempts);
    }

    /// Informs the module that a request's client has disconnected.
    pub fn on_client_disconnect(&mut self, now: f64, id: &RequestId, out: &mut Vec<Action>) {
        self.handle(now, Event::ClientDisconnected { id: id.clone() }, 0.0, out);
    }

    /// Runs the module's timer if it is due. `retries`: number of retries that the retry budget allows.
    pub fn tick(&mut self, now: f64, retries: f64, out: &mut Vec<Action>) {
        if now >= self.timer_at {
            self.timer_at = f64::INFINITY;
            self.handle(now, Event::Timer { token: "tick".into() }, retries, out);
        }
    }

    fn handle(&mut self, now: f64, event: Event, retries: f64, out: &mut Vec<Action>) {
        self.module.set_retry_allowance(retries);
        let first_new = out.len();
        self.module.handle(duration(now), event, out);
        for action in &out[first_new..] {
            if let Action::SetTimer { after, .. } = action {
                self.timer_at = self.timer_at.min(now + after.as_secs_f64());
            }
        }
    }

    /// Number of retries that the retry budget allows now.
    pub fn available_retries(&mut self, now: f64, config: &RetryBudgetConfig, edge_count: u32) -> f64 {
        self.retry_budget.available(now, config, edge_count)
    }

    /// Records that an attempt is sent. `is_first`: whether it is the first attempt of its request, and so no retry.
    pub fn record_attempt(&mut self, now: f64, is_first: bool, config: &RetryBudgetConfig) {
        match is_first {
            true => self.retry_budget.record_first_attempt(now, config),
            false => self.retry_budget.record_retry(now),
        }
    }
}
