//! Session table: client requests that await a result or have attempts in flight.

use super::message::{SessionResult, Transport};
use super::timers::TimerKey;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use whinstall::RequestId;

/// A client request from its arrival until the result is sent and no attempt is in flight.
pub(super) struct Session<T: Transport> {
    pub(super) request: Rc<T::Request>,
    /// Sender of the result; `None` once the result is sent or the client has disconnected.
    pub(super) result: Option<oneshot::Sender<SessionResult<T::Response>>>,
    /// Deadline of the client, on the core's clock.
    pub(super) deadline: Duration,
    /// Timer that fails the session if no other event finishes it in time.
    pub(super) overdue_timer: TimerKey,
    /// Maximum number of attempts, from the settings in force when the session started.
    pub(super) max_attempts: usize,
    /// Cancellation sender of each attempt, by attempt number; `None` once the attempt has ended.
    pub(super) attempts: Vec<Option<oneshot::Sender<()>>>,
}

impl<T: Transport> Session<T> {
    fn is_finished(&self) -> bool {
        self.result.is_none() && self.attempts.iter().all(Option::is_none)
    }
}

/// Sessions indexed by request id.
pub(super) struct SessionTable<T: Transport>(HashMap<RequestId, Session<T>>);

impl<T: Transport> SessionTable<T> {
    pub(super) fn new() -> Self {
        SessionTable(HashMap::new())
    }

    pub(super) fn contains(&self, id: &RequestId) -> bool {
        self.0.contains_key(id)
    }

    pub(super) fn insert(&mut self, id: RequestId, session: Session<T>) {
        self.0.insert(id, session);
    }

    pub(super) fn get_mut(&mut self, id: &RequestId) -> Option<&mut Session<T>> {
        self.0.get_mut(id)
    }

    /// Whether the client of the session still waits for the result.
    pub(super) fn awaits_result(&self, id: &RequestId) -> bool {
        self.0.get(id).is_some_and(|s| s.result.is_some())
    }

    /// Sends the result; no effect if a result was sent before or the client has disconnected.
    pub(super) fn finish(&mut self, id: &RequestId, result: SessionResult<T::Response>) {
        if let Some(sender) = self.0.get_mut(id).and_then(|s| s.result.take()) {
            let _ = sender.send(result);
        }
    }

    /// Whether the attempt is in flight.
    pub(super) fn is_in_flight(&self, id: &RequestId, number: u32) -> bool {
        let attempt = self.0.get(id).and_then(|s| s.attempts.get(number as usize));
        attempt.is_some_and(Option::is_some)
    }

    /// Records that the attempt has ended.
    pub(super) fn attempt_finished(&mut self, id: &RequestId, number: u32) {
        if let Some(attempt) = self.0.get_mut(id).and_then(|s| s.attempts.get_mut(number as usize)) {
            *attempt = None;
        }
    }

    /// Cancels an attempt in flight. The attempt counts as in flight until its outcome is reported.
    pub(super) fn cancel_attempt(&mut self, id: &RequestId, number: u32) {
        let attempt = self.0.get_mut(id).and_then(|s| s.attempts.get_mut(number as usize)?.as_mut());
        if let Some(cancel) = attempt {
            let (closed_sender, _) = oneshot::channel();
            let _ = std::mem::replace(cancel, closed_sender).send(());
        }
    }

    /// Removes the session if no result is pending and no attempt is in flight. Returns the key of the overdue timer,
    /// which the caller removes.
    pub(super) fn remove_if_finished(&mut self, id: &RequestId) -> Option<TimerKey> {
        self.0.get(id).filter(|s| s.is_finished())?;
        self.0.remove(id).map(|s| s.overdue_timer)
    }
}
