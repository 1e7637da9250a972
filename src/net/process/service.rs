//! The running service: division of descriptors, takeover from a predecessor, handover and drain.

use super::descriptors::{DescriptorBudget, MIN_DESCRIPTORS};
use crate::net::core::CoreMessage;
use crate::net::counter::CounterClient;
use crate::net::downstream::{Listener, ServingState};
use crate::net::hot_restart::{Handover, Predecessor, Successor};
use crate::net::upstream::UpstreamClient;
use crate::net::{operator, CoreSender};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// Minimum duration of a drain: after SIGTERM, clients open connections for up to 0.4 s, and requests that arrive
/// within 0.7 s must be served.
const MIN_DRAIN: Duration = Duration::from_millis(750);
/// Interval at which a draining process checks for remaining connections and requests.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The parts of the service that start and stop together; clones share them.
#[derive(Clone)]
pub(super) struct Service {
    pub(super) listener: Rc<Listener>,
    pub(super) nodes: Rc<UpstreamClient>,
    pub(super) counter: CounterClient,
    pub(super) core: CoreSender,
    /// Descriptors for clients, nodes, the counter and [`super::descriptors::RESERVED_DESCRIPTORS`].
    pub(super) descriptors: usize,
}

impl Service {
    /// Divides this number of descriptors among clients, nodes and the counter.
    fn set_descriptors(&self, descriptors: usize) {
        let budget = DescriptorBudget::new(descriptors.max(MIN_DESCRIPTORS));
        self.listener.set_max_connections(budget.clients);
        self.nodes.set_max_connections(budget.nodes);
        self.counter.upstream().set_max_connections(budget.counter);
    }

    /// Number of open connections to clients, nodes and the counter.
    fn open_connections(&self) -> usize {
        self.listener.open_connections()
            + self.nodes.open_connections()
            + self.counter.upstream().open_connections()
    }

    /// Starts to accept: at once, or with a predecessor after its handover or exit.
    pub(super) async fn start_accepting(
        self,
        socket: TcpListener,
        predecessor: Option<Predecessor>,
        status: Arc<operator::Status>,
    ) {
        let Some(mut predecessor) = predecessor else {
            actix_rt::spawn(Rc::clone(&self.listener).serve(socket));
            return;
        };
        tracing::info!("waiting for the handover from the serving process");
        match predecessor.receive_handover().await {
            Some(handover) => self.take_over(handover, &status),
            None => {
                tracing::warn!("the serving process exited without a handover: serving without its state")
            }
        }
        actix_rt::spawn(Rc::clone(&self.listener).serve(socket));
        // Accepting does not wait for the exit of the old process. After it, all descriptors belong to this one.
        actix_rt::spawn(async move {
            predecessor.confirm().await;
            tracing::info!("the old process has exited");
            self.set_descriptors(self.descriptors);
        });
    }

    fn take_over(&self, handover: Handover, status: &operator::Status) {
        let Handover { state, is_standby, descriptors } = handover;
        tracing::info!(customers = state.customers.len(), descriptors, "taking over");
        self.set_descriptors(self.descriptors.saturating_sub(descriptors));
        let _ = self.core.send(CoreMessage::ImportState(Box::new(state)));
        if is_standby && !status.is_standby.swap(true, Ordering::Relaxed) {
            self.listener.set_state(ServingState::Standby { since: Instant::now() });
        }
    }

    /// Hands over to the successor. Returns whether the successor accepts connections from now on; if not, this
    /// process must continue to serve.
    pub(super) async fn hand_over(&self, successor: &Successor) -> bool {
        let is_standby = matches!(self.listener.state(), ServingState::Standby { .. });
        self.listener.set_state(ServingState::HandedOver { since: Instant::now() });
        self.nodes.close_idle();
        let (sender, state) = oneshot::channel();
        let _ = self.core.send(CoreMessage::ExportState(sender));
        let Ok(state) = state.await else { return false };
        let handover = Handover { state, is_standby, descriptors: self.open_connections() };
        let taken = successor.hand_over(&handover).await;
        tracing::info!(taken, customers = handover.state.customers.len(), "handover to the new process");
        if !taken {
            let _ = self.core.send(CoreMessage::ResumeState(Box::new(handover.state)));
        }
        taken
    }

    /// After a handover: serves what this process accepted until all connections are closed.
    pub(super) async fn wait_until_closed(&self) {
        while self.listener.open_connections() > 0 {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }

    /// Without a handover: serves what this process has accepted, and what arrives within [`MIN_DRAIN`].
    pub(super) async fn drain(&self) {
        self.listener.set_state(ServingState::Draining);
        tokio::time::sleep(MIN_DRAIN).await;
        while self.listener.is_busy() || self.listener.is_reading() {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }
}
