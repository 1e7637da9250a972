//! Upstream attempts: sends a pending request to the worker that the state machine selected, and reports the outcome.

use super::EdgeServer;
use crate::data_plane::requests::AttemptReport;
use crate::runtime::edge_loop::EdgeDriver;
use crate::transport::upstream_pool::AttemptOutcome;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use whinstall::{Ending, HostId, RequestId};

impl EdgeServer {
    /// Starts an attempt at a worker. The attempt ends with the worker's complete response, with a failure, after
    /// `timeout`, or when it is cancelled. The driver never retries it: the state machine decides on retries.
    pub(super) fn dispatch(
        self: &Rc<Self>,
        id: RequestId,
        attempt: u32,
        worker: HostId,
        address: SocketAddr,
        timeout: Duration,
    ) {
        let (cancel, cancelled) = oneshot::channel::<()>();
        let (forward, tenant) = {
            let mut pending = self.pending.borrow_mut();
            let Some(request) = pending.get_mut(&id) else { return };
            request.attempts.insert(attempt, cancel);
            (Rc::clone(&request.forward), request.tenant.clone())
        };
        let this = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let may_send = || this.edge.node.borrow().is_serving(&worker);
            let sent =
                this.upstreams.attempt(&worker.0, address, &forward, tenant.as_deref(), timeout, may_send);
            let outcome = tokio::select! {
                biased;
                outcome = sent => Some(outcome),
                _ = cancelled => None,
            };
            this.attempt_ended(&id, attempt, &worker, outcome);
        });
    }

    /// Reports the outcome of an attempt to the state machine. `outcome` is `None` if the attempt was cancelled; the worker
    /// may then have executed the request wholly or in part.
    fn attempt_ended(
        self: &Rc<Self>,
        id: &RequestId,
        attempt: u32,
        worker: &HostId,
        outcome: Option<AttemptOutcome>,
    ) {
        let (ending, response_ok) = match outcome {
            None => (Ending::Cancelled, None),
            Some(outcome) => {
                if outcome.misdirected {
                    self.update(|node, now, effects| node.on_misdirected(now, worker, effects));
                }
                let response_ok = outcome.response.is_some().then_some(outcome.ending == Ending::Ok);
                if let Some(request) = self.pending.borrow_mut().get_mut(id) {
                    request.attempts.remove(&attempt);
                    request.responses.extend(outcome.response.map(|response| (attempt, response)));
                }
                (outcome.ending, response_ok)
            }
        };
        let report = AttemptReport { id, attempt, worker, ending, response_ok };
        self.update(|node, now, effects| node.on_attempt_end(now, report, effects));
        self.forget_if_finished(id);
    }

    /// Cancels an attempt by dropping its sender, which ends the task of the attempt.
    pub(super) fn cancel_attempt(&self, id: &RequestId, attempt: u32) {
        let cancel = self.pending.borrow_mut().get_mut(id).and_then(|r| r.attempts.remove(&attempt));
        drop(cancel);
    }
}
