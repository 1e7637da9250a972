//! Requests at an edge node, from receipt to final response, in three phases: admission by quota, upstream attempts as
//! the service's decision module requests them, and the response to the client.
//!
//! The final response is emitted as soon as it is determined. [`request_state`](super::request_state) decides what that
//! response may promise to the client.

pub use super::request_state::FinalResponse;

use super::quota_admission::{AdmissionDecision, GrantState};
use super::request_state::{DispatchDecision, RequestState};
use super::time_limits::{TimeLimits, DISPATCH_MARGIN_SECS};
use super::upstream_service::{AttemptResult, RequestClass};
use super::{drain, EdgeNode, Effect};
use crate::configuration::active_config::{Route, Tenant};
use crate::protocol::TenantLimit;
use std::sync::Arc;
use std::time::Duration;
use whinstall::{Action, Ending, HostId, RequestId};

/// Longest time that a request waits for a quota grant, in seconds.
const GRANT_TIMEOUT_SECS: f64 = 0.06;
/// Retry delay for a request that was not executed, in seconds, unless the decision module sets another one.
const RETRY_AFTER_SECS: f64 = 0.1;
/// Retry delay for a request whose time limit has passed on arrival, in seconds.
const NO_TIME_RETRY_AFTER_SECS: f64 = 0.05;

/// The wait of a request for a quota grant.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantWait {
    /// When the wait times out, in seconds of the clock that is passed in.
    pub(super) deadline: f64,
    /// Id of the quota sync whose answer decides on the request.
    pub(super) sync_id: u64,
}

/// A request that is unanswered or has an attempt in flight.
pub struct PendingRequest {
    service: Arc<str>,
    class: RequestClass,
    pub(super) tenant: Option<Arc<str>>,
    /// When the request was received, in seconds of the clock that is passed in.
    pub(super) received_at: f64,
    /// Time after which no attempt is dispatched, in seconds of the clock that is passed in: shortly before the client
    /// stops waiting or the route's timeout passes, whichever comes first.
    dispatch_deadline: f64,
    pub(super) state: RequestState,
    /// Set while the request waits for a quota grant.
    pub(super) grant_wait: Option<GrantWait>,
}

/// A request as it is received.
pub struct IncomingRequest {
    /// Id of the request, unique at this node.
    pub id: RequestId,
    /// Route that the request matches.
    pub route: Arc<Route>,
    /// Tenant that sent the request; `None` if the configuration has no tenants.
    pub tenant: Option<Arc<Tenant>>,
    /// Time for which the client still waits, in seconds.
    pub remaining_secs: f64,
}

/// Report of the end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport<'a> {
    /// The request to which the attempt belongs.
    pub id: &'a RequestId,
    /// Number of the attempt, counted from 0 for each request.
    pub attempt: u32,
    /// The worker to which the attempt was dispatched.
    pub worker: &'a HostId,
    /// Reason for the end, which also tells whether the request may have run.
    pub ending: Ending,
    /// Whether the worker's complete response reports success; `None` if no complete response was received.
    pub response_ok: Option<bool>,
}

impl<'a> AttemptReport<'a> {
    /// Report of an attempt of which no byte was sent.
    fn not_sent(id: &'a RequestId, attempt: u32, worker: &'a HostId) -> Self {
        AttemptReport { id, attempt, worker, ending: Ending::NotSent, response_ok: None }
    }
}

impl EdgeNode {
    /// Handles a request whose route and tenant are known. A request that is rejected here has not run, and the client may
    /// retry it.
    pub fn on_request(&mut self, now: f64, incoming: IncomingRequest, out: &mut Vec<Effect>) {
        let IncomingRequest { id, route, tenant, remaining_secs } = incoming;
        let Some(service) = route.pick_service(self.rng.f64()).cloned() else {
            return out.push(Effect::Respond(id, FinalResponse::NotExecuted(RETRY_AFTER_SECS)));
        };
        let TimeLimits { dispatch_secs, .. } = self.time_limits(now, &route, remaining_secs);
        let latency_target_secs = route.latency_target.as_secs_f64();
        if self.drain.is_some_and(|drain| !drain.accepts(now, latency_target_secs, dispatch_secs)) {
            return out.push(Effect::Respond(id, FinalResponse::NotExecuted(drain::RETRY_AFTER_SECS)));
        }
        self.ensure_service(&service);
        if dispatch_secs <= 0.0 || self.requests.contains_key(&id) {
            return out.push(Effect::Respond(id, FinalResponse::NotExecuted(NO_TIME_RETRY_AFTER_SECS)));
        }
        let priority = tenant.as_ref().and_then(|t| t.priority).unwrap_or(route.priority);
        let (is_idempotent, latency_target) = (route.is_idempotent, route.latency_target);
        let request = PendingRequest {
            service,
            class: RequestClass { is_idempotent, latency_target, priority },
            tenant: tenant.as_ref().map(|t| Arc::clone(&t.label)),
            received_at: now,
            dispatch_deadline: now + dispatch_secs,
            state: RequestState::new(is_idempotent, route.max_attempts),
            grant_wait: None,
        };
        self.requests.insert(id.clone(), request);
        self.admit(now, &id, GrantState::NotRequested, out);
    }

    /// Decides on a request by its tenant's quota: charges the request and passes it to its service, rejects it, or lets it
    /// wait for a grant.
    pub(super) fn admit(&mut self, now: f64, id: &RequestId, grant: GrantState, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let tenants = self.active_config.tenants_by_label();
        let tenant = request.tenant.as_ref().and_then(|name| Some((name, tenants.get(name)?)));
        let (decision, has_quota) = match tenant {
            Some((name, tenant)) => {
                let limit = TenantLimit { rate: tenant.requests_per_sec, burst: tenant.burst };
                (self.quota.admit(now, name, &limit, grant), limit.rate > 0.0)
            }
            None => (AdmissionDecision::Admit, false),
        };
        match decision {
            AdmissionDecision::Admit => {
                request.state.admit(has_quota);
                self.start_attempts(now, id, out);
            }
            AdmissionDecision::Reject(retry_after_secs) => {
                let response = request.state.rate_limit(retry_after_secs);
                self.settle(id, response, out);
            }
            AdmissionDecision::WaitForGrant => {
                let (deadline, sync_id) = (now + GRANT_TIMEOUT_SECS, self.quota.next_sync_id());
                request.grant_wait = Some(GrantWait { deadline, sync_id });
                self.awaiting_grant.push(id.clone());
                self.sync_quota(now, out);
            }
        }
    }

    /// Passes an admitted request to its service, which requests the first attempt.
    fn start_attempts(&mut self, now: f64, id: &RequestId, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(id) else { return };
        let (name, class) = (Arc::clone(&request.service), request.class.clone());
        let remaining_secs = request.dispatch_deadline - now;
        let mut actions = Vec::new();
        if let Some(service) = self.services.get_mut(&name) {
            service.on_request(now, id, &class, remaining_secs, &mut actions);
        }
        self.apply_actions(now, &name, actions, out);
        self.give_up_if_stalled(id, out);
    }

    /// Performs the actions of a service's decision module, in their order.
    pub(super) fn apply_actions(
        &mut self,
        now: f64,
        service: &Arc<str>,
        actions: Vec<Action>,
        out: &mut Vec<Effect>,
    ) {
        for action in actions {
            match action {
                Action::Send { id, host, timeout } => self.dispatch(now, service, id, host, timeout, out),
                Action::Cancel { id, attempt } => {
                    // The worker may already run the attempt, so a non-idempotent request is never cancelled.
                    if self.requests.get(&id).is_some_and(|r| r.state.is_idempotent()) {
                        out.push(Effect::CancelAttempt(id, attempt));
                    }
                }
                Action::Refuse { id, retry_after } => {
                    let retry_after_secs = retry_after.map_or(RETRY_AFTER_SECS, |s| s.as_secs_f64());
                    self.give_up(&id, retry_after_secs, out);
                }
                Action::Fail { id } => self.give_up(&id, RETRY_AFTER_SECS, out),
                Action::CloseIdle { host } => out.push(Effect::CloseIdleConnections(host)),
                Action::AddToCounter { .. }
                | Action::Probe { .. }
                | Action::SetTimer { .. }
                | Action::Subscribe => {}
            }
        }
    }

    /// Dispatches an attempt, or ends it at once if the request's state or the registry does not allow it.
    fn dispatch(
        &mut self,
        now: f64,
        service: &Arc<str>,
        id: RequestId,
        worker: HostId,
        timeout: Option<Duration>,
        out: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let decision = request.state.begin_attempt(now);
        self.loads.begin_attempt(now, &worker.0);
        let attempt = match decision {
            DispatchDecision::Send(attempt) => attempt,
            DispatchDecision::Withhold(attempt) => {
                return self.on_attempt_end(now, AttemptReport::not_sent(&id, attempt, &worker), out);
            }
        };
        let remaining_secs = (request.dispatch_deadline + DISPATCH_MARGIN_SECS - now).max(0.0);
        let timeout_secs = timeout.map_or(remaining_secs, |t| t.as_secs_f64().min(remaining_secs));
        if let Some(service) = self.services.get_mut(service) {
            service.record_attempt(now, attempt == 0, &self.retry_budget);
        }
        let Some(address) = self.registry.get(&worker.0).map(|w| w.address) else {
            return self.on_attempt_end(now, AttemptReport::not_sent(&id, attempt, &worker), out);
        };
        out.push(Effect::Dispatch { id, attempt, worker, address, timeout_secs });
    }

    /// Gives up a request at the decision module's instruction. Retry delays are jittered by up to 25 % in either direction,
    /// so that clients do not retry all at once.
    fn give_up(&mut self, id: &RequestId, retry_after_secs: f64, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let response = request.state.give_up(retry_after_secs * (0.75 + 0.5 * self.rng.f64()));
        self.settle(id, response, out);
    }

    /// Gives up a request that has no attempt in flight and waits for nothing, once all actions are performed.
    fn give_up_if_stalled(&mut self, id: &RequestId, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let response = request.state.give_up_if_stalled(RETRY_AFTER_SECS);
        self.settle(id, response, out);
    }

    /// Emits the response, if there is one; refunds the quota unit, if that is due; and drops the request once it is
    /// finished.
    pub(super) fn settle(&mut self, id: &RequestId, response: Option<FinalResponse>, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        out.extend(response.map(|response| Effect::Respond(id.clone(), response)));
        let settlement = request.state.settle();
        if let Some(tenant) = request.tenant.as_ref().filter(|_| settlement.refund) {
            self.quota.refund(tenant);
        }
        if settlement.is_finished {
            self.requests.remove(id);
        }
    }

    /// Handles the end of an attempt. Depending on the request's state and the retry budget, another attempt may follow.
    /// Reports of attempts that are no longer in flight are ignored.
    pub fn on_attempt_end(&mut self, now: f64, report: AttemptReport<'_>, out: &mut Vec<Effect>) {
        let AttemptReport { id, attempt, worker, ending, response_ok } = report;
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(ended) = request.state.end_attempt(attempt, ending, response_ok) else { return };
        self.loads.end_attempt(now, &worker.0);
        let (name, is_answered) = (Arc::clone(&request.service), request.state.is_answered());
        let may_retry = request.state.can_dispatch() && now < request.dispatch_deadline;
        self.settle(id, ended.response, out);
        let mut actions = Vec::new();
        if let Some(service) = self.services.get_mut(&name) {
            let retries = match may_retry {
                true => service.available_retries(now, &self.retry_budget, self.edge_count),
                false => 0.0,
            };
            let elapsed_secs = now - ended.dispatched_at;
            let result = AttemptResult { id, attempt, worker, ending, is_answered, elapsed_secs };
            service.on_attempt_end(now, result, retries, &mut actions);
        }
        self.apply_actions(now, &name, actions, out);
        self.give_up_if_stalled(id, out);
    }

    /// Handles the disconnect of a request's client. Attempts in flight are cancelled if the request is idempotent;
    /// otherwise they are left to end by themselves.
    pub fn on_client_disconnect(&mut self, now: f64, id: &RequestId, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let may_cancel = request.state.client_disconnected();
        if request.grant_wait.take().is_some() {
            if let Some(tenant) = &request.tenant {
                self.quota.grant_wait_ended(tenant);
            }
        }
        if !may_cancel {
            return;
        }
        let name = Arc::clone(&request.service);
        let mut actions = Vec::new();
        if let Some(service) = self.services.get_mut(&name) {
            service.on_client_disconnect(now, id, &mut actions);
        }
        self.apply_actions(now, &name, actions, out);
        self.settle(id, None, out);
    }
}

#[cfg(test)]
#[path = "requests_tests.rs"]
mod tests;
