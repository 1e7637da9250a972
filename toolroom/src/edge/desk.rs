//! Owns requests from when they are read to their one final answer: tenant and route, quota, the module's decisions
//! carried out, and what a client hears. It must never answer 429 or 503 to what may have run and must not run twice,
//! nor hold an answer back.

use super::service::Sort;
use super::{Edge, Effect};
use crate::config::view::Route;
use crate::counter::Limit;
use crate::quota::{Asked, Verdict};
use std::sync::Arc;
use whinstall::{Action, Ending, HostId, RequestId};

/// A request waits so long for the counter at the most: seconds.
const ASK_WITHIN: f64 = 0.06;
/// The answer is on its way by so much before its client leaves: seconds.
const MARGIN: f64 = 0.008;

/// The final answer, where it is not a worker's.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// What the worker said in this attempt, as it is.
    Worker(u32),
    /// Beyond the tenant's quota; come back after so many seconds.
    Limited(f64),
    /// Not run, and it never will be; come back after so many seconds.
    Refused(f64),
    /// It may have run; a worker failed it.
    Failed,
    /// It may have run; there was no answer in time.
    TimedOut,
    /// The client has left.
    Nobody,
}

/// A request, as far as it has come.
pub struct Request {
    pub(super) service: Arc<str>,
    sort: Sort,
    tenant: Option<Arc<str>>,
    /// When its client leaves or its route's time is up.
    deadline: f64,
    most: u32,
    /// Is a unit charged for it?
    charged: bool,
    /// May it have run?
    ran: bool,
    answered: bool,
    /// Attempts of the module, and those of them that were sent.
    attempts: u32,
    sent: u32,
    out: Vec<(u32, f64)>,
    /// Waits for the counter until then, or until the sync of this number is answered.
    waits: Option<(f64, u64)>,
    /// The last attempt that came back with a whole answer of a worker that failed it.
    failure: Option<u32>,
    /// Did it end for want of time?
    late: bool,
}

/// What is known of a request as it is read.
pub struct Arrival {
    /// What it goes by here.
    pub id: RequestId,
    /// Its route.
    pub route: Arc<Route>,
    /// Its tenant, where the configuration has any.
    pub tenant: Option<Arc<crate::config::view::Tenant>>,
    /// Seconds that its client waits from now on.
    pub left: f64,
}

impl Edge {
    /// A request whose route and tenant are known.
    pub fn arrived(&mut self, now: f64, arrival: Arrival, out: &mut Vec<Effect>) {
        let Arrival { id, route, tenant, left } = arrival;
        let Some(service) = route.service(self.rng.f64()).cloned() else { return };
        let left = route.cutoff.map_or(left, |c| left.min(c.as_secs_f64())) - MARGIN;
        let rank = tenant.as_ref().and_then(|t| t.rank).unwrap_or(route.rank);
        self.service(&service);
        let request = Request {
            service,
            sort: Sort { repeatable: route.repeatable, target: route.target, rank },
            tenant: tenant.as_ref().map(|t| Arc::clone(&t.label)),
            deadline: now + left,
            most: route.max_attempts,
            charged: false,
            ran: false,
            answered: false,
            attempts: 0,
            sent: 0,
            out: Vec::new(),
            waits: None,
            failure: None,
            late: false,
        };
        if left <= 0.0 || self.requests.contains_key(&id) {
            return out.push(Effect::Answer(id, Answer::Refused(0.05)));
        }
        self.requests.insert(id.clone(), request);
        self.admit(now, &id, Asked::Not, out);
    }

    /// The ordinary path: charged against the window's total, refused at once beyond it, else to the module.
    fn admit(&mut self, now: f64, id: &RequestId, asked: Asked, out: &mut Vec<Effect>) {
        let Some(r) = self.requests.get_mut(id) else { return };
        let limits = r.tenant.as_ref().and_then(|t| self.view.tenants().get(t).cloned());
        let verdict = match (&r.tenant, limits) {
            (Some(name), Some(t)) => {
                let limit = Limit { rate: t.rate, burst: t.burst };
                let verdict = self.quota.admit(now, name, &limit, asked);
                r.charged = limit.rate > 0.0 && verdict == Verdict::Pass;
                verdict
            }
            _ => Verdict::Pass,
        };
        match verdict {
            Verdict::Pass => self.begin(now, id, out),
            Verdict::Refuse(after) => self.finish(id, Answer::Limited(after), out),
            Verdict::Ask => {
                r.waits = Some((now + ASK_WITHIN, self.quota.next_number()));
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
                self.quota.waited(tenant);
            }
            let asked = if number <= answered { Asked::Answered } else { Asked::InVain };
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
                    let attempt = r.attempts;
                    r.attempts += 1;
                    r.out.push((attempt, now));
                    self.loads.begins(now, &host.0);
                    if r.sent >= r.most {
                        // Its route allows no more workers: as if it had never been sent.
                        self.ended(now, &id, attempt, &host, Ending::Moot, None, out);
                        continue;
                    }
                    r.sent += 1;
                    let left = (r.deadline - now).max(0.0);
                    let within = timeout.map_or(left, |t| t.as_secs_f64().min(left));
                    if let Some(service) = self.services.get_mut(name) {
                        service.sent(now, attempt == 0, &self.budget);
                    }
                    let Some(worker) = self.registry.get(&host.0) else {
                        self.ended(now, &id, attempt, &host, Ending::Moot, None, out);
                        continue;
                    };
                    let address = worker.address;
                    out.push(Effect::Dispatch { id, attempt, worker: host, address, within });
                }
                Action::Cancel { id, attempt } => out.push(Effect::CallOff(id, attempt)),
                Action::Refuse { id, stay_away } => {
                    let after = stay_away.map_or(0.1, |s| s.as_secs_f64());
                    self.gave_up(&id, after, out);
                }
                Action::Fail { id } => self.gave_up(&id, 0.1, out),
                Action::Close { host } => out.push(Effect::CloseIdle(host)),
                Action::Count { .. } | Action::Probe { .. } | Action::Timer { .. } | Action::Subscribe => {}
            }
        }
    }

    /// The module has given a request up: its client hears what is true of it.
    fn gave_up(&mut self, id: &RequestId, after: f64, out: &mut Vec<Effect>) {
        let Some(r) = self.requests.get(id) else { return };
        let answer = match (r.ran, r.failure, r.late) {
            (false, ..) => Answer::Refused(after * (0.75 + 0.5 * self.rng.f64())),
            (true, Some(attempt), _) => Answer::Worker(attempt),
            (true, None, true) => Answer::TimedOut,
            (true, None, false) => Answer::Failed,
        };
        self.finish(id, answer, out);
    }

    fn finish(&mut self, id: &RequestId, answer: Answer, out: &mut Vec<Effect>) {
        let Some(r) = self.requests.get_mut(id) else { return };
        if !r.answered {
            r.answered = true;
            out.push(Effect::Answer(id.clone(), answer));
        }
        if r.charged && !r.ran && r.out.is_empty() {
            r.charged = false;
            if let Some(tenant) = &r.tenant {
                self.quota.take_back(tenant);
            }
        }
        if r.out.is_empty() {
            self.requests.remove(id);
        }
    }

    /// An attempt has ended. `whole`: there is a whole answer of the worker to pass on.
    #[allow(clippy::too_many_arguments)]
    pub fn ended(
        &mut self,
        now: f64,
        id: &RequestId,
        attempt: u32,
        worker: &HostId,
        ending: Ending,
        whole: Option<bool>,
        out: &mut Vec<Effect>,
    ) {
        let Some(r) = self.requests.get_mut(id) else { return };
        let Some(sent) = r.out.iter().find(|(a, _)| *a == attempt).map(|(_, at)| *at) else { return };
        r.out.retain(|(a, _)| *a != attempt);
        self.loads.ends(now, &worker.0);
        r.ran |= !ending.never_ran();
        r.late |= ending == Ending::Timeout;
        if whole == Some(false) {
            r.failure = Some(attempt);
        }
        let (name, done) = (Arc::clone(&r.service), ending == Ending::Ok || r.answered);
        let may = r.sent < r.most && now < r.deadline;
        if ending == Ending::Ok {
            self.finish(id, Answer::Worker(attempt), out);
        }
        let mut actions = Vec::new();
        if let Some(service) = self.services.get_mut(&name) {
            let further = if may { service.further(now, &self.budget, self.gates) } else { 0.0 };
            service.ended(now, (id, attempt, worker), ending, (done, now - sent), further, &mut actions);
        }
        self.carry_out(now, &name, actions, out);
        // Answered before, and this was the last that was out.
        if self.requests.get(id).is_some_and(|r| r.answered && r.out.is_empty()) {
            self.finish(id, Answer::Nobody, out);
        }
    }

    /// The client has left. What may run only once is left to end by itself.
    pub fn left(&mut self, now: f64, id: &RequestId, out: &mut Vec<Effect>) {
        let Some(r) = self.requests.get_mut(id) else { return };
        r.answered = true;
        if r.waits.take().is_some() {
            if let Some(tenant) = &r.tenant {
                self.quota.waited(tenant);
            }
        }
        if !r.sort.repeatable && !r.out.is_empty() {
            return;
        }
        let name = Arc::clone(&r.service);
        let mut actions = Vec::new();
        if let Some(service) = self.services.get_mut(&name) {
            service.left(now, id, &mut actions);
        }
        self.carry_out(now, &name, actions, out);
        self.finish(id, Answer::Nobody, out);
    }

    /// A worker that is not there any more: another one answered in its place.
    pub fn misdirected(&mut self, now: f64, worker: &HostId, out: &mut Vec<Effect>) {
        let Some(held) = self.registry.get(&worker.0) else { return };
        let gone = crate::registry::Worker { phase: crate::registry::Phase::Silent, ..held.clone() };
        tracing::warn!(worker = %worker.0, "another worker has its address");
        self.workers(now, vec![gone], out);
    }
}
