//! Upstream attempts: sends a pending request to the worker that the state machine chose, and reports how it ended.

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
    /// Starts an attempt at a worker, which ends with the worker's complete response, a failure, after `timeout`, or
    /// when it is cancelled. Never repeated here: whether it may be retried is the state machine's decision.
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

    /// Tells the state machine how an attempt ended. `outcome` is `None` if it was cancelled: the worker may have run
    /// the request, to an unknown extent.
    fn attempt_ended(
        self: &Rc<Self>,
        id: &RequestId,
        attempt: u32,
        worker: &HostId,
        outcome: Option<AttemptOutcome>,
    ) {
        let (ending, succeeded) = match outcome {
            None => (Ending::Cancelled, None),
            Some(outcome) => {
                if outcome.misdirected {
                    self.update(|node, now, effects| node.on_misdirected(now, worker, effects));
                }
                let succeeded = outcome.response.is_some().then_some(outcome.ending == Ending::Ok);
                if let Some(request) = self.pending.borrow_mut().get_mut(id) {
                    request.attempts.remove(&attempt);
                    request.responses.extend(outcome.response.map(|response| (attempt, response)));
                }
                (outcome.ending, succeeded)
            }
        };
        let report = AttemptReport { id, attempt, worker, ending, response_ok: succeeded };
        self.update(|node, now, effects| node.on_attempt_end(now, report, effects));
        self.forget_if_finished(id);
    }

    /// Cancels an attempt: dropping its sender ends the task that waits for it.
    pub(super) fn cancel_attempt(&self, id: &RequestId, attempt: u32) {
        let cancel = self.pending.borrow_mut().get_mut(id).and_then(|r| r.attempts.remove(&attempt));
        drop(cancel);
    }
}
