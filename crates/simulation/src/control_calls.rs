//! Calls of workers and operators to core nodes: sent with the network's delay, answered, lost or retried at another node.

use super::partitions::Participant;
use super::{CallOrigin, ControlCall, SimulationEvent, World};
use whinstall_gateway::control_plane::{self, ApiCommand};
use whinstall_gateway::discovery::{Worker, WorkerPhase};

impl World {
    /// Sends a call to a listed core node; it times out after one second.
    pub fn call(&mut self, core: usize, by: CallOrigin) {
        let id = self.rng.u64(..);
        let core = self.listed_core_from(core);
        let call = ControlCall { id, core, by };
        self.calls.insert(id, call.clone());
        let delay = self.delay();
        self.schedule_after(delay, SimulationEvent::CallArrives(core, call));
        self.schedule_after(1.0, SimulationEvent::CallTimedOut(id));
    }

    /// A call reaches a core node, if that runs and is not partitioned from the sender.
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
            CallOrigin::Shutdown(n) if self.workers[*n].phase == WorkerPhase::Draining => {
                ApiCommand::Heartbeat(self.heartbeat_of(*n))
            }
            CallOrigin::Shutdown(n) => ApiCommand::Departure(self.workers[*n].id.to_string()),
            CallOrigin::LateHeartbeat { report, .. } => ApiCommand::Heartbeat(Worker::clone(report)),
            CallOrigin::PrimaryChange(items) => ApiCommand::Amend(items.clone()),
            CallOrigin::ScriptedChange(index) => ApiCommand::Amend(self.plan.script[*index].items.clone()),
            CallOrigin::Change { order, .. } => {
                ApiCommand::Amend(self.operator_records.orders[*order].items.clone())
            }
            CallOrigin::Read { .. } => ApiCommand::Read,
            CallOrigin::PrimaryRead => {
                self.auditor.final_read_sent(self.now);
                ApiCommand::Read
            }
        };
        self.pending.insert((core, call.id), call.id);
        if self.misbehaving_response(core, &call, &command) {
            return;
        }
        self.core_event(core, control_plane::Event::ApiCall(call.id, command));
    }

    /// The participant that sends this call.
    pub fn sender(&self, by: &CallOrigin) -> Participant {
        match by {
            CallOrigin::Heartbeat(n) | CallOrigin::Departure(n) | CallOrigin::Shutdown(n) => {
                Participant::Worker(*n)
            }
            CallOrigin::LateHeartbeat { worker, .. } => Participant::Worker(*worker),
            CallOrigin::PrimaryChange(_) | CallOrigin::ScriptedChange(_) | CallOrigin::PrimaryRead => {
                Participant::Operator(0)
            }
            CallOrigin::Change { operator, .. } | CallOrigin::Read { operator, .. } => {
                Participant::Operator(operator + 1)
            }
        }
    }

    pub(crate) fn is_operator_call(&self, call: &ControlCall) -> bool {
        matches!(self.sender(&call.by), Participant::Operator(_))
    }

    /// A core node responds to a call; the response may be lost on its way.
    pub fn core_responded(&mut self, core: usize, call: u64, status: u16, body: &serde_json::Value) {
        let Some(id) = self.pending.remove(&(core, call)) else { return };
        self.digest.reply(self.now, core, status);
        let Some(call) = self.calls.get(&id).cloned() else { return };
        if self.is_operator_call(&call) {
            self.operator_answered(core, status);
        }
        if matches!(self.sender(&call.by), Participant::Worker(_)) {
            self.worker_answered(core, status);
        }
        if let CallOrigin::Change { order, .. } = call.by {
            self.change_responded(order, core, status);
        }
        let operator = matches!(call.by, CallOrigin::Change { .. } | CallOrigin::Read { .. });
        let deaf = Some(self.lost_responses.fraction)
            .filter(|_| self.now < self.lost_responses.until && self.is_operator_call(&call));
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
            self.auditor.final_read_answered(body);
        }
        if let (CallOrigin::Heartbeat(n), 200) = (&call.by, status) {
            if self.workers[*n].phase == WorkerPhase::Draining
                && self.workers[*n].drain_acknowledged_at.is_none()
            {
                self.workers[*n].drain_acknowledged_at = Some(self.now);
                self.auditor.drain_acknowledged(&self.workers[*n].id, self.now);
            }
        }
        if let (CallOrigin::Shutdown(n), 200) = (&call.by, status) {
            self.workers[*n].drain_acknowledged_at.get_or_insert(self.now);
            self.auditor.drain_acknowledged(&self.workers[*n].id, self.now);
        }
        if let (CallOrigin::PrimaryChange(items), 200) = (&call.by, status) {
            self.auditor.acknowledged(self.now, items);
        }
        let delay = self.delay();
        self.schedule_after(delay, SimulationEvent::CallAnswered(call, status));
    }

    /// A response reaches the sender of the call.
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
                let leaving = self.workers[n].phase == WorkerPhase::Draining
                    && self.workers[n].drain_acknowledged_at.is_some();
                if leaving && !self.workers[n].departing {
                    self.workers[n].departing = true;
                    self.schedule_after(2.8, SimulationEvent::WorkerDeparts(n));
                }
                let wait = 1.4 + 0.2 * self.rng.f64();
                self.schedule_after(wait, SimulationEvent::HeartbeatDue(n));
            }
            CallOrigin::Departure(_) | CallOrigin::Shutdown(_) => {}
            CallOrigin::LateHeartbeat { worker, .. } => self.workers[worker].late_heartbeats_taken += 1,
            CallOrigin::PrimaryChange(_) if status != 200 => {
                let text = format!("REFUSED {:.3}: a valid change gets {status}", self.now);
                self.auditor.violations.push(text);
            }
            CallOrigin::ScriptedChange(index) => self.scripted_change_returned(index, status),
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

    /// A call timed out or got no definite response: it is retried at the next core node.
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
            CallOrigin::ScriptedChange(index) if !self.plan.script[index].is_retried => {}
            // The unchanged call is retried at another core node.
            CallOrigin::PrimaryChange(_)
            | CallOrigin::ScriptedChange(_)
            | CallOrigin::Shutdown(_)
            | CallOrigin::LateHeartbeat { .. } => self.retry_call(call, pause),
            CallOrigin::PrimaryRead => self.call(call.core + 1, CallOrigin::PrimaryRead),
        }
    }

    /// Sends a call again, to the next listed core node, after `pause` seconds.
    pub fn retry_call(&mut self, call: ControlCall, pause: f64) {
        let at = self.now + pause;
        let id = self.rng.u64(..);
        let core = self.listed_core_from(call.core + 1);
        let call = ControlCall { id, core, by: call.by };
        self.calls.insert(id, call.clone());
        self.schedule_at(at, SimulationEvent::CallArrives(core, call));
        self.schedule_at(at + 1.0, SimulationEvent::CallTimedOut(id));
    }
}
