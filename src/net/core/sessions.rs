//! The session table: clients' requests that are owed a result or have attempts in flight.

use super::message::{SessionResult, Transport};
use super::timers::TimerKey;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use whinstall::RequestId;

/// One session.
pub(super) struct Session<T: Transport> {
    pub(super) request: Rc<T::Request>,
    /// Takes the result; `None` once it is sent or the client has disconnected.
    pub(super) result: Option<oneshot::Sender<SessionResult<T::Response>>>,
    /// When its client gives up, on the core's clock.
    pub(super) deadline: Duration,
    /// The timer that ends it should nothing else do so.
    pub(super) overdue_timer: TimerKey,
    /// Attempts at the most, by the settings it started under.
    pub(super) max_attempts: usize,
    /// What cancels each attempt, in the order they started; `None` once the attempt has ended.
    pub(super) attempts: Vec<Option<oneshot::Sender<()>>>,
}

impl<T: Transport> Session<T> {
    fn is_finished(&self) -> bool {
        self.result.is_none() && self.attempts.iter().all(Option::is_none)
    }
}

/// Sessions by request id.
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

    /// Whether the session still owes its client a result.
    pub(super) fn awaits_result(&self, id: &RequestId) -> bool {
        self.0.get(id).is_some_and(|s| s.result.is_some())
    }

    /// Sends the result, unless it was sent before or the client has disconnected.
    pub(super) fn finish(&mut self, id: &RequestId, result: SessionResult<T::Response>) {
        if let Some(sender) = self.0.get_mut(id).and_then(|s| s.result.take()) {
            let _ = sender.send(result);
        }
    }

    /// Whether an attempt is in flight.
    pub(super) fn is_in_flight(&self, id: &RequestId, number: u32) -> bool {
        let attempt = self.0.get(id).and_then(|s| s.attempts.get(number as usize));
        attempt.is_some_and(Option::is_some)
    }

    /// Records the end of an attempt.
    pub(super) fn attempt_finished(&mut self, id: &RequestId, number: u32) {
        if let Some(attempt) = self.0.get_mut(id).and_then(|s| s.attempts.get_mut(number as usize)) {
            *attempt = None;
        }
    }

    /// Cancels an attempt in flight. It stays in flight until its outcome is reported.
    pub(super) fn cancel_attempt(&mut self, id: &RequestId, number: u32) {
        let attempt = self.0.get_mut(id).and_then(|s| s.attempts.get_mut(number as usize)?.as_mut());
        if let Some(cancel) = attempt {
            let (spent, _) = oneshot::channel();
            let _ = std::mem::replace(cancel, spent).send(());
        }
    }

    /// Removes a session that owes nothing and has no attempt in flight; returns its overdue timer.
    pub(super) fn remove_if_finished(&mut self, id: &RequestId) -> Option<TimerKey> {
        self.0.get(id).filter(|s| s.is_finished())?;
        self.0.remove(id).map(|s| s.overdue_timer)
    }
}
