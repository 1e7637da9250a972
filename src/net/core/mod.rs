//! The core: the one task that owns the decision module ([`Gateway`]), the sessions and all timers.
//!
//! The core is an actor: it receives messages through one queue ([`CoreMessage`]) and acts through the [`Transport`].
//! The core performs no I/O itself and is independent of HTTP and JSON.

mod actions;
mod clock;
mod message;
mod sessions;
#[cfg(test)]
mod tests;
mod timers;

pub use clock::Clock;
pub use message::{
    Attempt, AttemptReport, CoreMessage, CounterCall, NewSession, Sender, SessionResult, Transport,
};

use super::outcome::UpstreamKind;
use super::report::CounterLog;
use super::zone_failover::ZoneBalancer;
use sessions::{Session, SessionTable};
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use timers::{Timer, TimerQueue};
use tokio::sync::mpsc;
use whinstall::zone_failover::ZoneFailoverSettings;
use whinstall::{Action, Ending, Event, Gateway, HostEntry, HostId, ListScope, RequestId};

/// Time after a client's deadline at which the core fails a session that no other event has finished.
const OVERDUE_GRACE: Duration = Duration::from_millis(5);
/// Interval at which zone weights are re-evaluated: slow starts and backoffs progress without events.
const ZONE_EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which mode changes of the quota counter are logged.
const COUNTER_LOG_INTERVAL: Duration = Duration::from_millis(500);

/// State of the core task.
pub struct Core<T: Transport> {
    gateway: Gateway,
    clock: Clock,
    transport: T,
    /// Sends to this task's own queue.
    sender: Sender<T>,
    /// Maximum number of attempts of a session that starts now.
    max_attempts: usize,
    sessions: SessionTable<T>,
    timers: TimerQueue,
    /// Buffer for the actions of one event, reused to avoid an allocation for each.
    actions: Vec<Action>,
    zones: Option<ZoneBalancer>,
    counter_log: CounterLog,
}

impl<T: Transport> Core<T> {
    /// Creates the core of `gateway`; `sender` sends to the queue that [`Core::run`] receives from.
    pub fn new(gateway: Gateway, clock: Clock, transport: T, sender: Sender<T>, max_attempts: u32) -> Self {
        let mut timers = TimerQueue::default();
        timers.insert(clock.now() + COUNTER_LOG_INTERVAL, Timer::LogCounter);
        Core {
            gateway,
            clock,
            transport,
            sender,
            max_attempts: max_attempts as usize,
            sessions: SessionTable::new(),
            timers,
            actions: Vec::new(),
            zones: None,
            counter_log: CounterLog::default(),
        }
    }

    /// Enables zone failover: the decision module weights nodes by the shares of their zones.
    pub fn with_zones(mut self, zones: ZoneBalancer) -> Self {
        self.zones = Some(zones);
        self.timers.insert(self.clock.now() + ZONE_EVALUATION_INTERVAL, Timer::EvaluateZones);
        self
    }

    /// Handles messages and timers until the program exits.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<CoreMessage<T>>) {
        loop {
            let next_timer = self.next_timer();
            tokio::select! {
                biased;
                message = messages.recv() => {
                    let Some(message) = message else { return };
                    self.handle_message(message);
                    // Handles all queued messages in one wake-up.
                    while let Ok(message) = messages.try_recv() {
                        self.handle_message(message);
                    }
                }
                () = next_timer => {}
            }
            self.fire_timers();
        }
    }

    fn next_timer(&self) -> impl Future<Output = ()> {
        let delay = self.timers.next_due().map(|at| at.saturating_sub(self.clock.now()));
        async move {
            match delay {
                Some(delay) => tokio::time::sleep(delay).await,
                None => std::future::pending().await,
            }
        }
    }

    fn fire_timers(&mut self) {
        let now = self.clock.now();
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Module(token) => self.handle_event(Event::Timer { token }),
                Timer::SessionOverdue(id) => self.fail_overdue(&id),
                Timer::DetectionTimeout { id, number, node } => {
                    self.detection_timeout_expired(now, &id, number, &node);
                }
                Timer::LogCounter => {
                    self.counter_log.update(now, self.gateway.counter_report());
                    self.timers.insert(now + COUNTER_LOG_INTERVAL, Timer::LogCounter);
                }
                Timer::EvaluateZones => {
                    self.update_zone_weights();
                    self.timers.insert(now + ZONE_EVALUATION_INTERVAL, Timer::EvaluateZones);
                }
            }
        }
    }

    fn handle_message(&mut self, message: CoreMessage<T>) {
        match message {
            CoreMessage::NewSession(session) => self.start_session(*session),
            CoreMessage::ClientDisconnected(id) => self.client_disconnected(&id),
            CoreMessage::AttemptFinished(report) => self.attempt_finished(report),
            CoreMessage::CounterReply { name, outcome, total, elapsed } => {
                let ending = outcome.to_ending(UpstreamKind::Counter);
                self.handle_event(Event::CounterReply { name, ending, total, elapsed });
            }
            CoreMessage::LateCounterReply { name, total, elapsed } => {
                self.handle_event(Event::LateCounterReply { name, total, elapsed });
            }
            CoreMessage::Endpoints { scope, entries } => self.update_endpoints(scope, entries),
            CoreMessage::ZoneSettings(settings) => self.update_zone_settings(*settings),
            CoreMessage::ReadLocalState(to) => {
                let _ = to.send(self.gateway.local_state());
            }
            CoreMessage::ReplicatedState(state) => self.gateway.apply_remote_state(*state),
            CoreMessage::DivideCeilings(floor) => self.gateway.divide_ceilings(floor),
            CoreMessage::AssignedCeilings(shares) => {
                self.gateway.assign_ceilings(self.clock.now().as_secs_f64(), shares);
            }
            CoreMessage::Settings(settings) => {
                self.max_attempts = settings.max_attempts.max(1) as usize;
                self.gateway.update_settings(*settings);
            }
            CoreMessage::ExportState(to) => {
                let _ = to.send(self.gateway.export_state());
            }
            CoreMessage::ResumeState(state) => self.gateway.resume_after_export(&state),
            CoreMessage::ImportState(state) => self.gateway.import_state(*state),
        }
    }

    fn start_session(&mut self, new: NewSession<T>) {
        // The decision module ignores a request whose id is in use, so the second client would never get a result.
        if self.sessions.contains(&new.id) {
            let _ = new.result.send(SessionResult::DuplicateId);
            return;
        }
        let budget = new.deadline.saturating_duration_since(Instant::now());
        let deadline = self.clock.now() + budget;
        let overdue = Timer::SessionOverdue(new.id.clone());
        let session = Session {
            request: Rc::new(new.request),
            result: Some(new.result),
            deadline,
            overdue_timer: self.timers.insert(deadline + OVERDUE_GRACE, overdue),
            max_attempts: self.max_attempts,
            attempts: Vec::new(),
        };
        self.sessions.insert(new.id.clone(), session);
        let (id, class, plan, customer) = (new.id, new.class, new.plan, new.customer);
        self.handle_event(Event::Request {
            id,
            class,
            plan,
            customer,
            budget,
            units: new.units,
            gateway_count: new.gateway_count,
        });
    }

    fn client_disconnected(&mut self, id: &RequestId) {
        // The session is absent if it finished before the disconnect was handled. An open receiver means that the
        // session belongs to another client, which uses the same id.
        let Some(session) = self.sessions.get_mut(id) else { return };
        if session.result.take_if(|result| result.is_closed()).is_some() {
            self.handle_event(Event::ClientDisconnected { id: id.clone() });
            self.remove_if_finished(id);
        }
    }

    /// Fails a session that no other event has finished by its deadline, so that the client gets a result.
    fn fail_overdue(&mut self, id: &RequestId) {
        if self.sessions.awaits_result(id) {
            tracing::warn!(session = %id.0, "session failed: no result by the client's deadline");
            self.sessions.finish(id, SessionResult::Failed);
            self.handle_event(Event::ClientDisconnected { id: id.clone() });
            self.remove_if_finished(id);
        }
    }

    fn attempt_finished(&mut self, report: AttemptReport<T::Response>) {
        let AttemptReport { id, number, node, outcome, response, usage, elapsed } = report;
        let ending = outcome.to_ending(UpstreamKind::Node);
        tracing::debug!(session = %id.0, number, node = %node.0, ?outcome, ?elapsed, "attempt finished");
        self.sessions.attempt_finished(&id, number);
        if let Some(zones) = self.zones.as_mut() {
            zones.dispatch_ended(self.clock.now(), &node, outcome, elapsed);
        }
        if let (Ending::Ok, Some(response)) = (ending, response) {
            self.sessions.finish(&id, SessionResult::Response(response));
        }
        self.handle_event(Event::AttemptFinished {
            id: id.clone(),
            attempt: number,
            host: node,
            ending,
            request_done: !self.sessions.awaits_result(&id),
            elapsed,
            cost: 0.0,
            metered: usage,
        });
        self.update_zone_weights();
        self.remove_if_finished(&id);
    }

    /// Records a timeout for the zone of a node that has not responded for the detection timeout. The attempt goes on.
    fn detection_timeout_expired(&mut self, now: Duration, id: &RequestId, number: u32, node: &HostId) {
        if !self.sessions.is_in_flight(id, number) {
            return;
        }
        if let Some(zones) = self.zones.as_mut() {
            zones.dispatch_timed_out(now, node);
            self.update_zone_weights();
        }
    }

    fn update_endpoints(&mut self, scope: ListScope, entries: Vec<HostEntry>) {
        if let Some(zones) = self.zones.as_mut() {
            zones.update_endpoints(self.clock.now(), scope, &entries);
        }
        self.handle_event(Event::Hosts { scope, entries });
        self.update_zone_weights();
    }

    fn update_zone_settings(&mut self, settings: ZoneFailoverSettings) {
        if let Some(zones) = self.zones.take() {
            self.zones = Some(zones.with_settings(settings, self.clock.now()));
            self.update_zone_weights();
        }
    }

    /// Passes the zones' weights to the decision module if they changed.
    fn update_zone_weights(&mut self) {
        let now = self.clock.now();
        let Some(zones) = self.zones.as_mut() else { return };
        zones.record_rejected(now, self.gateway.zone_rejections());
        if let Some(weights) = zones.poll_weights(now) {
            self.handle_event(weights.into_event());
        }
    }

    fn remove_if_finished(&mut self, id: &RequestId) {
        if let Some(overdue_timer) = self.sessions.remove_if_finished(id) {
            self.timers.remove(&overdue_timer);
        }
    }
}
