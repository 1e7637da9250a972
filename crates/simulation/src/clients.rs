//! Simulated clients and the attempts of their requests: sent to ready edge nodes, carried to workers, and ended.

use super::{SimulationEvent, WorkerAttempt, World};
use std::sync::Arc;
use whinstall::{Ending, HostId, RequestId};
use whinstall_gateway::data_plane::requests::{AttemptReport, FinalResponse, IncomingRequest};

impl World {
    /// A client sends a request to a ready edge node, and the next request is scheduled.
    pub fn send_client_request(&mut self) {
        let hot = if self.now < self.hot_tenant.until { self.hot_tenant.factor } else { 1.0 };
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
        let request = self.auditor.request_sent(self.now, n, self.edges[n].incarnation, key, path);
        let id = RequestId(request.to_string().into());
        let incarnation = self.edges[n].incarnation;
        self.request_numbers.insert((n, incarnation, id.clone()), request);
        let mut unroutable = false;
        self.edge_call(n, |edge, now, out| {
            let view = Arc::clone(&edge.active_config);
            let Some(route) = view.match_route("shop.example:80", path).cloned() else {
                unroutable = true;
                return;
            };
            let Some(tenant) = view.tenant_by_credential(key).cloned() else {
                unroutable = true;
                return;
            };
            edge.on_request(
                now,
                IncomingRequest { id: id.clone(), route, tenant: Some(tenant), remaining_secs: 1.0 },
                out,
            );
        });
        if unroutable {
            self.auditor.request_unroutable(request);
        }
    }

    /// An edge node sends an attempt to a worker.
    pub fn attempt_dispatched(
        &mut self,
        n: usize,
        incarnation: u64,
        id: RequestId,
        attempt: u32,
        worker: HostId,
        within: f64,
    ) {
        let Some(request) = self.request_numbers.get(&(n, incarnation, id.clone())).copied() else { return };
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
        self.open_attempts.insert((n, incarnation, id, attempt));
        let delay = self.delay();
        self.schedule_after(delay, SimulationEvent::AttemptArrives(hit.clone()));
        self.schedule_after(within, SimulationEvent::AttemptEnded(hit, Ending::Timeout, false));
    }

    /// An edge node cancels an attempt.
    pub fn attempt_cancelled(&mut self, n: usize, incarnation: u64, id: RequestId, attempt: u32) {
        let Some(request) = self.request_numbers.get(&(n, incarnation, id.clone())).copied() else { return };
        let hit =
            WorkerAttempt { edge: n, incarnation, id, attempt, worker: 0, host: HostId("".into()), request };
        self.schedule_after(0.0, SimulationEvent::AttemptEnded(hit, Ending::Cancelled, false));
    }

    /// The outcome of an attempt reaches its edge node, if that incarnation still runs.
    pub fn attempt_ended(&mut self, hit: WorkerAttempt, ending: Ending, misdirected: bool) {
        if !self.open_attempts.remove(&(hit.edge, hit.incarnation, hit.id.clone(), hit.attempt)) {
            return;
        }
        if self.edges[hit.edge].incarnation != hit.incarnation || self.edges[hit.edge].edge.is_none() {
            return;
        }
        if self.edges[hit.edge].frozen {
            self.open_attempts.insert((hit.edge, hit.incarnation, hit.id.clone(), hit.attempt));
            return self.schedule_after(0.05, SimulationEvent::AttemptEnded(hit, ending, misdirected));
        }
        let response_ok = (ending == Ending::Ok).then_some(true);
        self.edge_call(hit.edge, |edge, now, out| {
            if misdirected {
                edge.on_misdirected(now, &hit.host, out);
            }
            let (id, attempt, worker) = (&hit.id, hit.attempt, &hit.host);
            let report = AttemptReport { id, attempt, worker, ending, response_ok };
            edge.on_attempt_end(now, report, out);
        });
    }

    /// An edge node answers a client.
    pub fn answered(&mut self, n: usize, incarnation: u64, id: RequestId, answer: FinalResponse) {
        if let Some(request) = self.request_numbers.get(&(n, incarnation, id)) {
            let calm = self.now > self.edges[n].faulty_until;
            self.auditor.request_answered(self.now, *request, &answer, calm);
        }
    }
}
