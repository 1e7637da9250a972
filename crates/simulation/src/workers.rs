//! Simulated workers: heartbeats, departure, and attempts that they queue, run and answer.

use super::partitions::Participant;
use super::{CallOrigin, ControlCall, SimulationEvent, WorkerAttempt, World};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use whinstall::Ending;
use whinstall_gateway::discovery::{Worker, WorkerPhase};

/// A simulated worker process.
pub struct SimulatedWorker {
    /// Identifier in heartbeats.
    pub id: Arc<str>,
    /// Index of its service in [`SERVICES`].
    pub service: usize,
    /// The zone that it reports.
    pub zone: String,
    /// Address at which the worker accepts requests.
    pub address: SocketAddr,
    /// Whether it runs.
    pub alive: bool,
    /// Whether its address does not answer at all.
    pub dark: bool,
    /// The phase that it reports.
    pub phase: WorkerPhase,
    /// How many heartbeats it sent.
    pub calls: u64,
    /// The core node that it calls.
    pub core: usize,
    /// How many requests it runs.
    pub busy: usize,
    /// Attempts that wait for a slot.
    pub queue: VecDeque<WorkerAttempt>,
    /// When a core node acknowledged its drain.
    pub drain_acknowledged_at: Option<f64>,
    /// How many of its delayed heartbeats a core node acknowledged.
    pub late_heartbeats_taken: usize,
    pub(crate) departing: bool,
    /// Whether it sends no heartbeats of its own.
    is_silent: bool,
}

/// The services that workers serve.
pub const SERVICES: [&str; 3] = ["planer", "lathe", "drill"];
const SLOTS: usize = 3;
const QUEUE: usize = 4;

impl SimulatedWorker {
    /// A worker that serves.
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
            drain_acknowledged_at: None,
            late_heartbeats_taken: 0,
            departing: false,
            is_silent: false,
        }
    }

    /// The worker starts to drain.
    pub fn start_drain(&mut self) {
        self.phase = WorkerPhase::Draining;
    }
}

impl World {
    pub(crate) fn heartbeat_of(&mut self, n: usize) -> Worker {
        let w = &self.workers[n];
        Worker {
            id: Arc::clone(&w.id),
            service: SERVICES[w.service].into(),
            address: w.address,
            zone: w.zone.as_str().into(),
            capacity: SLOTS as u32,
            // A worker that departs without a drain reports itself as serving before.
            phase: if w.phase == WorkerPhase::Departed { WorkerPhase::Serving } else { w.phase },
            warmup_ms: 0,
            heartbeat_seq: w.calls,
        }
    }

    /// A worker sends its heartbeat.
    pub fn send_heartbeat(&mut self, n: usize) {
        if !self.workers[n].alive || self.workers[n].is_silent {
            return;
        }
        self.workers[n].calls += 1;
        let core = self.workers[n].core;
        self.call(core, CallOrigin::Heartbeat(n));
    }

    /// A drained worker deregisters and ends; its address goes to a new worker of another service.
    pub fn send_departure(&mut self, n: usize) {
        let core = self.workers[n].core;
        self.call(core, CallOrigin::Departure(n));
        self.workers[n].alive = false;
        let (service, address, zone) = ((self.workers[n].service + 1) % 3, self.workers[n].address, "b");
        let fresh = self.workers.len();
        let mut worker = SimulatedWorker::new(fresh, service, zone);
        worker.address = address;
        self.workers.push(worker);
        self.schedule_after(2.0, SimulationEvent::HeartbeatDue(fresh));
    }

    /// Adds a worker that no core node hears of on its own.
    pub(crate) fn add_silent_worker(&mut self, service: usize) {
        let worker = SimulatedWorker::new(self.workers.len(), service, "a");
        self.workers.push(SimulatedWorker { is_silent: true, ..worker });
    }

    /// A worker announces its shutdown, serves on for a while, and ends.
    pub(crate) fn announce_shutdown(&mut self, n: usize, phase: WorkerPhase, serves_on: f64) {
        let worker = &mut self.workers[n];
        (worker.phase, worker.is_silent) = (phase, true);
        worker.calls += 1;
        let core = worker.core;
        self.call(core, CallOrigin::Shutdown(n));
        self.schedule_after(serves_on, SimulationEvent::WorkerEnds(n));
    }

    /// A worker sends a heartbeat that arrives `secs` seconds late.
    pub(crate) fn delay_heartbeat(&mut self, n: usize, secs: f64) {
        self.workers[n].calls += 1;
        let call = ControlCall {
            id: self.rng.u64(..),
            core: self.workers[n].core,
            by: CallOrigin::LateHeartbeat { worker: n, report: Box::new(self.heartbeat_of(n)) },
        };
        self.retry_call(call, secs);
    }

    /// Handles an attempt that arrives at its worker's address, where another worker may run by now.
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
        self.auditor.attempt_arrived(self.now, &hit, &self.workers[there].id, in_touch);
        let w = &mut self.workers[there];
        if w.busy < SLOTS {
            self.run(there, hit);
        } else if w.queue.len() < QUEUE {
            w.queue.push_back(hit);
        } else {
            self.schedule_after(back, SimulationEvent::AttemptEnded(hit, Ending::Full, false));
        }
    }

    pub(crate) fn run(&mut self, n: usize, hit: WorkerAttempt) {
        self.workers[n].busy += 1;
        let edge = &self.edges[hit.edge];
        let calm = self.now > edge.faulty_until && self.now > self.unsettled_until;
        self.auditor.attempt_started(self.now, &hit, SERVICES[self.workers[n].service], calm);
        let work = 0.03 + 0.06 * self.rng.f64();
        self.schedule_after(work, SimulationEvent::WorkerFinishes(n, hit));
    }

    /// A worker finishes a request and starts the next one in its queue.
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
}
