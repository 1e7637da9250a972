//! Owns requests from when they are read to their one final answer: tenant and route, quota, the module's decisions
//! carried out, and what a client hears. It must never answer 429 or 503 to what may have run and must not run twice,
//! nor hold an answer back.

pub use super::request_state::FinalResponse;
use super::request_state::{DispatchDecision, RequestState};
use super::upstream_service::RequestClass;
use super::{drain, EdgeNode, Effect};
use crate::configuration::active_config::Route;
use crate::data_plane::quota_admission::{AdmissionDecision, GrantState};
use crate::protocol::TenantLimit;
use std::sync::Arc;
use whinstall::{Action, Ending, HostId, RequestId};

/// A request waits so long for the counter at the most: seconds.
const ASK_WITHIN: f64 = 0.06;
/// Nothing is begun any more so shortly before the client leaves: seconds. What is out by then ends with its time and
/// not sooner, as its worker may still answer.
const MARGIN: f64 = 0.008;

/// A request, as far as it has come.
pub struct PendingRequest {
    pub(super) service: Arc<str>,
    sort: RequestClass,
    tenant: Option<Arc<str>>,
    /// When it was read.
    pub(super) arrived: f64,
    /// Shortly before its client leaves or its route's time is up.
    deadline: f64,
    pub(super) progress: RequestState,
    /// Waits for the counter until then, or until the sync of this number is answered.
    waits: Option<(f64, u64)>,
}

/// What is known of a request as it is read.
pub struct IncomingRequest {
    /// What it goes by here.
    pub id: RequestId,
    /// Its route.
    pub route: Arc<Route>,
    /// Its tenant, where the configuration has any.
    pub tenant: Option<Arc<crate::configuration::active_config::Tenant>>,
    /// Seconds that its client waits from now on.
    pub remaining_secs: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport<'a> {
    /// The request.
    pub id: &'a RequestId,
    /// Number of the attempt, counted from 0 for each request.
    pub attempt: u32,
    /// The worker it was dispatched to.
    pub worker: &'a HostId,
    /// How it ended.
    pub ending: Ending,
    /// Whether the worker's complete response is at hand, and then whether it is a success.
    pub response_ok: Option<bool>,
}

impl<'a> AttemptReport<'a> {
    /// An attempt of which no byte was sent.
    fn not_sent(id: &'a RequestId, attempt: u32, worker: &'a HostId) -> Self {
        AttemptReport { id, attempt, worker, ending: Ending::Moot, response_ok: None }
    }
}

impl EdgeNode {
    /// A request whose route and tenant are known.
    pub fn on_request(&mut self, now: f64, arrival: IncomingRequest, out: &mut Vec<Effect>) {
        let IncomingRequest { id, route, tenant, remaining_secs: left } = arrival;
        let Some(service) = route.pick_service(self.rng.f64()).cloned() else {
            return out.push(Effect::Respond(id, FinalResponse::NotExecuted(0.1)));
        };
        let left = route.timeout.map_or(left, |c| left.min(c.as_secs_f64())) - MARGIN;
        let target = route.latency_target.as_secs_f64();
        if self.drain.is_some_and(|drain| !drain.takes(now, target, left)) {
            return out.push(Effect::Respond(id, FinalResponse::NotExecuted(drain::RETRY_AFTER)));
        }
        let left = self.time_for(now, left);
        let rank = tenant.as_ref().and_then(|t| t.priority).unwrap_or(route.priority);
        self.service(&service);
        let request = PendingRequest {
            service,
            sort: RequestClass { repeatable: route.is_idempotent, target: route.latency_target, rank },
            tenant: tenant.as_ref().map(|t| Arc::clone(&t.label)),
            arrived: now,
            deadline: now + left,
            progress: RequestState::new(route.is_idempotent, route.max_attempts),
            waits: None,
        };
        if left <= 0.0 || self.requests.contains_key(&id) {
            return out.push(Effect::Respond(id, FinalResponse::NotExecuted(0.05)));
        }
        self.requests.insert(id.clone(), request);
        self.admit(now, &id, GrantState::NotRequested, out);
    }

    /// The ordinary path: charged against the window's total, refused at once beyond it, else to the module.
    fn admit(&mut self, now: f64, id: &RequestId, asked: GrantState, out: &mut Vec<Effect>) {
        let Some(r) = self.requests.get_mut(id) else { return };
        let limits = r.tenant.as_ref().and_then(|t| self.active_config.tenants_by_label().get(t).cloned());
        let (verdict, limited) = match (&r.tenant, limits) {
            (Some(name), Some(t)) => {
                let limit = TenantLimit { rate: t.requests_per_sec, burst: t.burst };
                (self.quota.admit(now, name, &limit, asked), limit.rate > 0.0)
            }
            _ => (AdmissionDecision::Admit, false),
        };
        match verdict {
            AdmissionDecision::Admit => {
                r.progress.admitted(limited);
                self.begin(now, id, out);
            }
            AdmissionDecision::Reject(after) => {
                let answer = r.progress.limited(after);
                self.settle(id, answer, out);
            }
            AdmissionDecision::WaitForGrant => {
                r.waits = Some((now + ASK_WITHIN, self.quota.next_request_id()));
                self.waiting.push(id.clone());
                self.sync(now, out);
            }
        }
    }

    /// The counter has answered the sync of this number, or (0) the wait may be over.
    pub(super) fn decide_waiting(&mut self, now: f64, answered: u64, out: &mut Vec<Effect>) {
        if self.waiting.is_empty() {
            return;
        }
        for id in std::mem::take(&mut self.waiting) {
            let Some(r) = self.requests.get_mut(&id) else { continue };
            let Some((until, number)) = r.waits else { continue };
            if now < until && number > answered {
                self.waiting.push(id);
                continue;
            }
            r.waits = None;
            if let Some(tenant) = &r.tenant {
                self.quota.grant_wait_ended(tenant);
            }
            let asked = if number <= answered { GrantState::Answered } else { GrantState::TimedOut };
            self.admit(now, &id, asked, out);
        }
    }

    fn begin(&mut self, now: f64, id: &RequestId, out: &mut Vec<Effect>) {
        let Some(r) = self.requests.get(id) else { return };
        let (name, sort, left) = (Arc::clone(&r.service), r.sort.clone(), r.deadline - now);
        let mut actions = Vec::new();
        if let Some(service) = self.services.get_mut(&name) {
            service.request(now, id, &sort, left, &mut actions);
        }
        self.carry_out(now, &name, actions, out);
        self.turn_over(id, out);
    }

    /// Carries out what a service's module decided.
    pub(super) fn carry_out(
        &mut self,
        now: f64,
        name: &Arc<str>,
        actions: Vec<Action>,
        out: &mut Vec<Effect>,
    ) {
        for action in actions {
            match action {
                Action::Send { id, host, timeout } => {
                    let Some(r) = self.requests.get_mut(&id) else { continue };
                    let sending = r.progress.dispatch(now);
                    self.loads.begins(now, &host.0);
                    let attempt = match sending {
                        DispatchDecision::Send(attempt) => attempt,
                        DispatchDecision::Withhold(attempt) => {
                            self.on_attempt_end(now, AttemptReport::not_sent(&id, attempt, &host), out);
                            continue;
                        }
                    };
                    let left = (r.deadline + MARGIN - now).max(0.0);
                    let within = timeout.map_or(left, |t| t.as_secs_f64().min(left));
                    if let Some(service) = self.services.get_mut(name) {
                        service.sent(now, attempt == 0, &self.budget);
                    }
                    let Some(worker) = self.registry.get(&host.0) else {
                        self.on_attempt_end(now, AttemptReport::not_sent(&id, attempt, &host), out);
                        continue;
                    };
                    let address = worker.address;
                    out.push(Effect::Dispatch { id, attempt, worker: host, address, timeout_secs: within });
                }
                Action::Cancel { id, attempt } => {
                    // What may run only once is never broken off.
                    if self.requests.get(&id).is_some_and(|r| r.progress.is_repeatable()) {
                        out.push(Effect::CancelAttempt(id, attempt));
                    }
                }
                Action::Refuse { id, stay_away } => {
                    let after = stay_away.map_or(0.1, |s| s.as_secs_f64());
                    self.gave_up(&id, after, out);
                }
                Action::Fail { id } => self.gave_up(&id, 0.1, out),
                Action::Close { host } => out.push(Effect::CloseIdleConnections(host)),
                Action::Count { .. } | Action::Probe { .. } | Action::Timer { .. } | Action::Subscribe => {}
            }
        }
    }

    /// The module has given a request up: its client hears what is true of it.
    fn gave_up(&mut self, id: &RequestId, after: f64, out: &mut Vec<Effect>) {
        let Some(r) = self.requests.get_mut(id) else { return };
        let answer = r.progress.give_up(after * (0.75 + 0.5 * self.rng.f64()));
        self.settle(id, answer, out);
    }

    /// All that the module decided at once is carried out.
    fn turn_over(&mut self, id: &RequestId, out: &mut Vec<Effect>) {
        let Some(r) = self.requests.get_mut(id) else { return };
        let answer = r.progress.turn_over(0.1);
        self.settle(id, answer, out);
    }

    pub(super) fn settle(&mut self, id: &RequestId, answer: Option<FinalResponse>, out: &mut Vec<Effect>) {
        let Some(r) = self.requests.get_mut(id) else { return };
        out.extend(answer.map(|answer| Effect::Respond(id.clone(), answer)));
        let due = r.progress.settle();
        if let Some(tenant) = r.tenant.as_ref().filter(|_| due.take_back) {
            self.quota.refund(tenant);
        }
        if due.over {
            self.requests.remove(id);
        }
    }

    /// An attempt has ended.
    pub fn on_attempt_end(&mut self, now: f64, ended: AttemptReport<'_>, out: &mut Vec<Effect>) {
        let AttemptReport { id, attempt, worker, ending, response_ok } = ended;
        let Some(r) = self.requests.get_mut(id) else { return };
        let Some(ended) = r.progress.ended(attempt, ending, response_ok) else { return };
        self.loads.ends(now, &worker.0);
        let (name, done, sent) = (Arc::clone(&r.service), r.progress.is_answered(), ended.sent);
        let may = r.progress.may_go_again() && now < r.deadline;
        self.settle(id, ended.answer, out);
        let mut actions = Vec::new();
        if let Some(service) = self.services.get_mut(&name) {
            let further = if may { service.further(now, &self.budget, self.gates) } else { 0.0 };
            service.ended(now, (id, attempt, worker), ending, (done, now - sent), further, &mut actions);
        }
        self.carry_out(now, &name, actions, out);
        self.turn_over(id, out);
    }

    /// The client has left. What may run only once is left to end by itself.
    pub fn on_client_disconnect(&mut self, now: f64, id: &RequestId, out: &mut Vec<Effect>) {
        let Some(r) = self.requests.get_mut(id) else { return };
        let may_call_off = r.progress.leave();
        if r.waits.take().is_some() {
            if let Some(tenant) = &r.tenant {
                self.quota.grant_wait_ended(tenant);
            }
        }
        if !may_call_off {
            return;
        }
        let name = Arc::clone(&r.service);
        let mut actions = Vec::new();
        if let Some(service) = self.services.get_mut(&name) {
            service.left(now, id, &mut actions);
        }
        self.carry_out(now, &name, actions, out);
        self.settle(id, None, out);
    }

    /// A worker that is not there any more: another one answered in its place.
    pub fn on_misdirected(&mut self, now: f64, worker: &HostId, out: &mut Vec<Effect>) {
        let Some(held) = self.registry.get(&worker.0) else { return };
        let gone =
            crate::discovery::Worker { phase: crate::discovery::WorkerPhase::Unresponsive, ..held.clone() };
        tracing::warn!(worker = %worker.0, "another worker has its address");
        self.workers(now, vec![gone], out);
    }
}

#[cfg(test)]
#[path = "requests_tests.rs"]
mod tests;
