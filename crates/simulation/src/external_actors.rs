//! Workers, clients and the operator, as PROTOCOL has them.

use super::partitions::Participant;
use super::{CallOrigin, ControlCall, SimulationEvent, WorkerAttempt, World};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use whinstall::{Ending, HostId, RequestId};
use whinstall_gateway::configuration::{parse_change, ItemKind};
use whinstall_gateway::control_plane::{self, ApiCommand};
use whinstall_gateway::data_plane::requests::{AttemptReport, FinalResponse, IncomingRequest};
use whinstall_gateway::discovery::{Worker, WorkerPhase};

/// A worker.
pub struct SimulatedWorker {
    pub id: Arc<str>,
    pub service: usize,
    pub zone: String,
    pub address: SocketAddr,
    pub alive: bool,
    pub dark: bool,
    pub phase: WorkerPhase,
    pub calls: u64,
    pub core: usize,
    pub busy: usize,
    pub queue: VecDeque<WorkerAttempt>,
    pub acked: Option<f64>,
    departing: bool,
}

pub const SERVICES: [&str; 3] = ["planer", "lathe", "drill"];
const SLOTS: usize = 3;
const QUEUE: usize = 4;

impl SimulatedWorker {
    pub fn new(n: usize, service: usize, zone: &str) -> Self {
        SimulatedWorker {
            id: format!("i-{n}").into(),
            service,
            zone: zone.into(),
            address: ([10, 9, 0, n as u8 + 1], 80).into(),
            alive: true,
            dark: false,
            phase: WorkerPhase::Serving,
            calls: 0,
            core: n,
            busy: 0,
            queue: VecDeque::new(),
            acked: None,
            departing: false,
        }
    }

    pub fn leaves(&mut self) {
        self.phase = WorkerPhase::Draining;
    }
}

/// The operator.
#[derive(Default)]
pub struct Operator {
    step: u64,
    version: u64,
    core: usize,
    pub read: Option<u16>,
    /// Since when its change has no answer.
    pub waits: Option<f64>,
    pub done: bool,
}

impl World {
    // Calls to the core.

    pub fn call(&mut self, core: usize, by: CallOrigin) {
        let id = self.rng.u64(..);
        let core = self.listed_core_from(core);
        let call = ControlCall { id, core, by };
        self.calls.insert(id, call.clone());
        let delay = self.delay();
        self.schedule_after(delay, SimulationEvent::CallArrives(core, call));
        self.schedule_after(1.0, SimulationEvent::CallTimedOut(id));
    }

    pub fn call_arrives(&mut self, core: usize, call: ControlCall) {
        if self.cores[core].core.is_none() {
            return;
        }
        if !self.links.reaches(self.sender(&call.by), Participant::Core(core)) {
            return;
        }
        let command = match &call.by {
            CallOrigin::Heartbeat(n) => ApiCommand::Heartbeat(self.heartbeat_of(*n)),
            CallOrigin::Departure(n) => ApiCommand::Departure(self.workers[*n].id.to_string()),
            CallOrigin::PrimaryChange(items) => ApiCommand::Amend(items.clone()),
            CallOrigin::Change { order, .. } => {
                ApiCommand::Amend(self.operator_records.orders[*order].items.clone())
            }
            CallOrigin::Read { .. } => ApiCommand::Read,
            CallOrigin::PrimaryRead => {
                self.auditor.reads(self.now);
                ApiCommand::Read
            }
        };
        self.pending.insert((core, call.id), call.id);
        if self.misbehaving_response(core, &call, &command) {
            return;
        }
        self.core_event(core, control_plane::Event::ApiCall(call.id, command));
    }

    fn heartbeat_of(&mut self, n: usize) -> Worker {
        let w = &self.workers[n];
        Worker {
            id: Arc::clone(&w.id),
            service: SERVICES[w.service].into(),
            address: w.address,
            zone: w.zone.as_str().into(),
            capacity: SLOTS as u32,
            phase: w.phase,
            warmup_ms: 0,
            call_count: w.calls,
        }
    }

    fn is_operator_call(&self, call: &ControlCall) -> bool {
        matches!(self.sender(&call.by), Participant::Operator(_))
    }

    pub fn core_responded(&mut self, core: usize, call: u64, status: u16, body: &serde_json::Value) {
        let Some(id) = self.pending.remove(&(core, call)) else { return };
        self.digest.reply(self.now, core, status);
        let Some(call) = self.calls.get(&id).cloned() else { return };
        if self.is_operator_call(&call) {
            self.operator_answered(core, status);
        }
        if matches!(call.by, CallOrigin::Heartbeat(_) | CallOrigin::Departure(_)) {
            self.worker_answered(core, status);
        }
        if let CallOrigin::Change { order, .. } = call.by {
            self.change_responded(order, core, status);
        }
        let operator = matches!(call.by, CallOrigin::Change { .. } | CallOrigin::Read { .. });
        let deaf = Some(self.lost_responses.1)
            .filter(|_| self.now < self.lost_responses.0 && self.is_operator_call(&call));
        let part = deaf
            .or(Some(self.plan.operator_load.lost_fraction).filter(|_| operator))
            .filter(|_| !self.operator.done);
        let lost = part.is_some_and(|part| self.rng.f64() < part);
        if lost || !self.links.reaches(Participant::Core(core), self.sender(&call.by)) {
            return;
        }
        if let (CallOrigin::Read { .. }, 200) = (&call.by, status) {
            self.read_answered(call.id, body);
        }
        if let (CallOrigin::PrimaryRead, 200) = (&call.by, status) {
            self.auditor.read_back(body);
        }
        if let (CallOrigin::Heartbeat(n), 200) = (&call.by, status) {
            if self.workers[*n].phase == WorkerPhase::Draining && self.workers[*n].acked.is_none() {
                self.workers[*n].acked = Some(self.now);
                self.auditor.leaving(&self.workers[*n].id, self.now);
            }
        }
        if let (CallOrigin::PrimaryChange(items), 200) = (&call.by, status) {
            self.auditor.acknowledged(self.now, items);
        }
        let delay = self.delay();
        self.schedule_after(delay, SimulationEvent::CallAnswered(call, status));
    }

    pub fn call_returned(&mut self, call: ControlCall, status: u16) {
        if self.calls.remove(&call.id).is_none() {
            return;
        }
        if let CallOrigin::Change { .. } = call.by {
            return self.change_returned(call, status);
        }
        if status != 200 && status != 400 && status != 409 {
            return self.call_failed(call);
        }
        match call.by {
            CallOrigin::Heartbeat(n) => {
                let leaving =
                    self.workers[n].phase == WorkerPhase::Draining && self.workers[n].acked.is_some();
                if leaving && !self.workers[n].departing {
                    self.workers[n].departing = true;
                    self.schedule_after(2.8, SimulationEvent::WorkerDeparts(n));
                }
                let wait = 1.4 + 0.2 * self.rng.f64();
                self.schedule_after(wait, SimulationEvent::HeartbeatDue(n));
            }
            CallOrigin::Departure(_) => {}
            CallOrigin::PrimaryChange(_) if status != 200 => {
                let text = format!("REFUSED {:.3}: a valid change gets {status}", self.now);
                self.auditor.violations.push(text);
            }
            CallOrigin::Change { .. } => {}
            CallOrigin::Read { operator, from } => self.read_returned(call.id, operator, from),
            CallOrigin::PrimaryChange(_) => {
                self.operator.waits = None;
                let wait = 0.3 + 0.8 * self.rng.f64();
                self.schedule_after(wait, SimulationEvent::OperatorActs);
            }
            CallOrigin::PrimaryRead => self.operator.read = Some(status),
        }
    }

    pub fn call_failed(&mut self, call: ControlCall) {
        let pause = 0.1 + 0.2 * self.rng.f64();
        match call.by.clone() {
            CallOrigin::Change { .. } => self.change_failed(call),
            CallOrigin::Read { operator, .. } => {
                let from = self.now;
                self.call(call.core + 1, CallOrigin::Read { operator, from });
            }
            CallOrigin::Heartbeat(n) => {
                self.workers[n].core = call.core + 1;
                self.schedule_after(0.01, SimulationEvent::HeartbeatDue(n));
            }
            CallOrigin::Departure(_) => {}
            // Unchanged, to another one.
            CallOrigin::PrimaryChange(_) => self.retry_call(call, pause),
            CallOrigin::PrimaryRead => self.call(call.core + 1, CallOrigin::PrimaryRead),
        }
    }

    /// The same call again, to another one.
    pub fn retry_call(&mut self, call: ControlCall, pause: f64) {
        let at = self.now + pause;
        let id = self.rng.u64(..);
        let core = self.listed_core_from(call.core + 1);
        let call = ControlCall { id, core, by: call.by };
        self.calls.insert(id, call.clone());
        self.schedule_at(at, SimulationEvent::CallArrives(core, call));
        self.schedule_at(at + 1.0, SimulationEvent::CallTimedOut(id));
    }

    pub fn read_back(&mut self) {
        self.operator.done = true;
        for operator in 0..self.plan.operator_load.operators {
            self.operator_turn(super::operators::OperatorStep::Read(operator));
        }
        self.call(0, CallOrigin::PrimaryRead);
    }

    pub fn send_heartbeat(&mut self, n: usize) {
        if !self.workers[n].alive {
            return;
        }
        self.workers[n].calls += 1;
        let core = self.workers[n].core;
        self.call(core, CallOrigin::Heartbeat(n));
    }

    pub fn send_departure(&mut self, n: usize) {
        let core = self.workers[n].core;
        self.call(core, CallOrigin::Departure(n));
        self.workers[n].alive = false;
        // Its address goes to a new worker of another service.
        let (service, address, zone) = ((self.workers[n].service + 1) % 3, self.workers[n].address, "b");
        let fresh = self.workers.len();
        let mut worker = SimulatedWorker::new(fresh, service, zone);
        worker.address = address;
        self.workers.push(worker);
        self.schedule_after(2.0, SimulationEvent::HeartbeatDue(fresh));
    }

    // The operator.

    pub fn submit_primary_change(&mut self) {
        if self.operator.done {
            return;
        }
        if self.plan.steps.is_some_and(|most| self.operator.step >= most) {
            return;
        }
        let (step, version) = (self.operator.step, self.operator.version + 1 + self.rng.u64(0..3));
        (self.operator.step, self.operator.version) = (step + 1, version);
        let route = |label: &str, path: &str, class: &str, service: &str| {
            serde_json::json!([
                label,
                "shop.example",
                path,
                class,
                "1000ms",
                "400ms",
                1,
                2,
                service,
                format!("r{version}")
            ])
        };
        let columns =
            ["label", "hostname", "path_prefix", "route_class", "cutoff", "target", "rank", "max_attempts"];
        let columns: Vec<&str> = columns.into_iter().chain(["service_ref", "revision"]).collect();
        let rev = format!("r{version}");
        let body = if step == 0 {
            let mut services: Vec<_> =
                SERVICES.iter().map(|s| serde_json::json!([s, "/health", rev, null])).collect();
            let bulk = |n: usize| serde_json::json!([format!("bulk-{n}"), "/health", rev, "b".repeat(2048)]);
            services.extend((0..self.plan.bulk).map(bulk));
            let quota = Some(self.plan.quota).filter(|_| !self.plan.unlimited);
            let small = quota.map(|_| 6);
            serde_json::json!({"upsert": {
                "route_set": {"columns": columns, "records": [
                    route("r-read", "/read/", "idempotent", "planer"),
                    route("r-write", "/write/", "effectful", "lathe"),
                    route("r-flip", "/flip/", "effectful", "drill"),
                ]},
                "tenant_set": {"columns": ["label", "credentials", "rate_per_s", "burst_size", "revision"], "records": [
                    ["big", ["key-big"], quota, quota, rev], ["small", ["key-small"], small, small, rev],
                    ["free", ["key-free"], null, null, rev],
                ]},
                "service_set": {"columns": ["label", "probe_path", "revision", "note"], "records": services},
                "saturation": {"header_max_bytes": 16384, "revision": rev},
            }})
        } else {
            let service = SERVICES[(step % 2 + 1) as usize];
            let added = format!("r-{step}");
            serde_json::json!({"upsert": {"route_set": {"columns": columns, "records": [
                route("r-flip", "/flip/", "effectful", service),
                route(&added, &format!("/{step}/"), "idempotent", "planer"),
            ]}}, "remove": {"route_set": [{"label": format!("r-{}", step / 2), "revision": rev}]}})
        };
        let items = parse_change(body.to_string().as_bytes()).expect("a valid call");
        for item in items.iter().filter(|i| i.kind == ItemKind::Route && i.label == "r-flip") {
            let service = item.body.as_ref().map(|b| b.route_services().concat());
            self.auditor.sent(item.version, &service.unwrap_or_default());
        }
        self.auditor.told(&items);
        self.operator.waits = Some(self.now);
        let core = self.operator.core + self.rng.usize(0..3);
        self.call(core, CallOrigin::PrimaryChange(items));
    }

    // Clients.

    pub fn send_client_request(&mut self) {
        let hot = if self.now < self.hot_tenant.0 { self.hot_tenant.1 } else { 1.0 };
        let big = 0.4 * hot;
        let all = big + 0.6;
        let wait = -(1.0 - self.rng.f64()).ln() / (self.plan.rate * all);
        self.schedule_after(wait, SimulationEvent::ClientRequest);
        let draw = self.rng.f64() * all;
        let key = if draw < big {
            "key-big"
        } else if draw < big + 0.05 {
            "key-small"
        } else {
            "key-free"
        };
        let path = ["/read/x", "/write/x", "/flip/x"][self.rng.usize(0..3)];
        let now = |n: usize| 1000.0 + (self.now - self.edges[n].booted_at) * self.edges[n].clock_rate;
        let ready = |n: &usize| self.edges[*n].edge.as_ref().is_some_and(|e| e.is_ready(now(*n)));
        let edges: Vec<usize> =
            (0..self.edges.len()).filter(ready).filter(|n| !self.edges[*n].frozen).collect();
        if edges.is_empty() {
            return;
        }
        let n = edges[self.rng.usize(0..edges.len())];
        let request = self.auditor.asked(self.now, n, self.edges[n].incarnation, key, path);
        let id = RequestId(request.to_string().into());
        let incarnation = self.edges[n].incarnation;
        self.asked.insert((n, incarnation, id.clone()), request);
        let mut turned = false;
        self.edge_call(n, |edge, now, out| {
            let view = Arc::clone(&edge.active_config);
            let Some(route) = view.match_route("shop.example:80", path).cloned() else {
                turned = true;
                return;
            };
            let Some(tenant) = view.tenant_by_credential(key).cloned() else {
                turned = true;
                return;
            };
            edge.on_request(
                now,
                IncomingRequest { id: id.clone(), route, tenant: Some(tenant), remaining_secs: 1.0 },
                out,
            );
        });
        if turned {
            self.auditor.turned_back(request);
        }
    }

    pub fn attempt_dispatched(
        &mut self,
        n: usize,
        incarnation: u64,
        id: RequestId,
        attempt: u32,
        worker: HostId,
        within: f64,
    ) {
        let Some(request) = self.asked.get(&(n, incarnation, id.clone())).copied() else { return };
        let Some(index) = self.workers.iter().position(|w| w.id == worker.0) else { return };
        let hit = WorkerAttempt {
            edge: n,
            incarnation,
            id: id.clone(),
            attempt,
            worker: index,
            host: worker,
            request,
        };
        self.open.insert((n, incarnation, id, attempt));
        let delay = self.delay();
        self.schedule_after(delay, SimulationEvent::AttemptArrives(hit.clone()));
        self.schedule_after(within, SimulationEvent::AttemptEnded(hit, Ending::Timeout, false));
    }

    pub fn attempt_cancelled(&mut self, n: usize, incarnation: u64, id: RequestId, attempt: u32) {
        let Some(request) = self.asked.get(&(n, incarnation, id.clone())).copied() else { return };
        let hit =
            WorkerAttempt { edge: n, incarnation, id, attempt, worker: 0, host: HostId("".into()), request };
        self.schedule_after(0.0, SimulationEvent::AttemptEnded(hit, Ending::Cancelled, false));
    }

    /// A request reaches the address where its worker was.
    pub fn attempt_arrives(&mut self, hit: WorkerAttempt) {
        if !self.links.reaches(Participant::Edge(hit.edge), Participant::Worker(hit.worker)) {
            return;
        }
        let back = self.delay();
        let address = self.workers[hit.worker].address;
        let Some(there) = self.workers.iter().rposition(|w| w.address == address && (w.alive || w.dark))
        else {
            return self
                .schedule_after(back, SimulationEvent::AttemptEnded(hit, Ending::ConnectFailed, false));
        };
        if self.workers[there].dark {
            return self
                .schedule_after(0.2, SimulationEvent::AttemptEnded(hit, Ending::ConnectFailed, false));
        }
        if there != hit.worker {
            return self.schedule_after(back, SimulationEvent::AttemptEnded(hit, Ending::Full, true));
        }
        let edge = &self.edges[hit.edge];
        let in_touch = self.now > edge.faulty_until && self.now > self.unsettled_until;
        self.auditor.arrives(self.now, &hit, &self.workers[there].id, in_touch);
        let w = &mut self.workers[there];
        if w.busy < SLOTS {
            self.run(there, hit);
        } else if w.queue.len() < QUEUE {
            w.queue.push_back(hit);
        } else {
            self.schedule_after(back, SimulationEvent::AttemptEnded(hit, Ending::Full, false));
        }
    }

    fn run(&mut self, n: usize, hit: WorkerAttempt) {
        self.workers[n].busy += 1;
        let edge = &self.edges[hit.edge];
        let calm = self.now > edge.faulty_until && self.now > self.unsettled_until;
        self.auditor.runs(self.now, &hit, SERVICES[self.workers[n].service], calm);
        let work = 0.03 + 0.06 * self.rng.f64();
        self.schedule_after(work, SimulationEvent::WorkerFinishes(n, hit));
    }

    pub fn finish_work(&mut self, n: usize, hit: WorkerAttempt) {
        let lost = self.rng.f64() < self.plan.lost_answers;
        let w = &mut self.workers[n];
        w.busy -= 1;
        let (alive, next) = (w.alive, w.queue.pop_front());
        if let Some(next) = next.filter(|_| alive) {
            self.run(n, next);
        }
        if !self.links.reaches(Participant::Worker(n), Participant::Edge(hit.edge)) {
            return;
        }
        let back = self.delay();
        let ending = if lost || !alive { Ending::Reset } else { Ending::Ok };
        self.schedule_after(back, SimulationEvent::AttemptEnded(hit, ending, false));
    }

    pub fn attempt_ended(&mut self, hit: WorkerAttempt, ending: Ending, misdirected: bool) {
        if !self.open.remove(&(hit.edge, hit.incarnation, hit.id.clone(), hit.attempt)) {
            return;
        }
        if self.edges[hit.edge].incarnation != hit.incarnation || self.edges[hit.edge].edge.is_none() {
            return;
        }
        if self.edges[hit.edge].frozen {
            self.open.insert((hit.edge, hit.incarnation, hit.id.clone(), hit.attempt));
            return self.schedule_after(0.05, SimulationEvent::AttemptEnded(hit, ending, misdirected));
        }
        let whole = (ending == Ending::Ok).then_some(true);
        self.edge_call(hit.edge, |edge, now, out| {
            if misdirected {
                edge.on_misdirected(now, &hit.host, out);
            }
            let (id, attempt, worker) = (&hit.id, hit.attempt, &hit.host);
            let report = AttemptReport { id, attempt, worker, ending, response_ok: whole };
            edge.on_attempt_end(now, report, out);
        });
    }

    pub fn answered(&mut self, n: usize, incarnation: u64, id: RequestId, answer: FinalResponse) {
        if let Some(request) = self.asked.get(&(n, incarnation, id)) {
            let calm = self.now > self.edges[n].faulty_until;
            self.auditor.answered(self.now, *request, &answer, calm);
        }
    }
}
