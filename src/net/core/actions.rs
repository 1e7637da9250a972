//! Passes events to the decision module and executes the actions that it returns.

use super::message::{Attempt, AttemptReport, CoreMessage, CounterCall, SessionResult, Transport};
use super::timers::Timer;
use super::Core;
use crate::net::outcome::ExchangeOutcome;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use whinstall::{Action, Event, HostId, RequestId};

impl<T: Transport> Core<T> {
    /// Passes an event to the decision module and executes the actions that it returns, in order.
    pub(super) fn handle_event(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.gateway.handle(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { id, host, timeout } => self.start_attempt(id, host, timeout),
            Action::Cancel { id, attempt } => self.sessions.cancel_attempt(&id, attempt),
            Action::Refuse { id, retry_after } => {
                self.finish_session(&id, SessionResult::Denied { retry_after });
            }
            Action::Fail { id } => self.finish_session(&id, SessionResult::Failed),
            Action::AddToCounter { name, amount, ttl } => {
                self.transport.call_counter(CounterCall { name, amount, ttl });
            }
            Action::CloseIdle { host } => self.transport.close_idle(&host),
            Action::SetTimer { after, token } => {
                let at = self.clock.now() + after;
                self.timers.insert(at, Timer::Module(token));
            }
            // Active health checks of nodes are not permitted in this deployment.
            Action::Probe { host } => {
                tracing::warn!(node = %host.0, "active health checks are not permitted: request for one ignored");
            }
            // Discovery is always watched.
            Action::Subscribe => {}
        }
    }

    fn finish_session(&mut self, id: &RequestId, result: SessionResult<T::Response>) {
        self.sessions.finish(id, result);
        self.remove_if_finished(id);
    }

    /// Starts an attempt. If the client has disconnected, the deadline has passed or no attempts are left, nothing is
    /// sent and `NotAttempted` is reported through the message queue, like any other outcome.
    fn start_attempt(&mut self, id: RequestId, node: HostId, timeout: Option<Duration>) {
        let now = self.clock.now();
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let number = session.attempts.len() as u32;
        let time_left = session.deadline.saturating_sub(now);
        let timeout = timeout.unwrap_or(time_left).min(time_left);
        let may_start =
            session.result.is_some() && !time_left.is_zero() && session.attempts.len() < session.max_attempts;
        let (cancel, cancelled) = oneshot::channel();
        session.attempts.push(Some(cancel));
        if !may_start {
            let _ = self.sender.send(CoreMessage::AttemptFinished(AttemptReport {
                id,
                number,
                node,
                outcome: ExchangeOutcome::NotAttempted,
                response: None,
                usage: None,
                elapsed: Duration::ZERO,
            }));
            return;
        }
        let request = Rc::clone(&session.request);
        if let Some(zones) = self.zones.as_mut() {
            zones.dispatch_started(now);
            let timer = Timer::DetectionTimeout { id: id.clone(), number, node: node.clone() };
            self.timers.insert(now + zones.detection_timeout(), timer);
        }
        self.transport.start_attempt(Attempt { id, number, node, request, timeout, cancelled });
    }
}
