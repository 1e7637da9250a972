//! The graceful shutdown of the edge: follows the schedule of the state machine's
//! [`Drain`](crate::data_plane::drain::Drain) and sends final responses before the process ends.

use super::EdgeServer;
use crate::runtime::edge_loop::EdgeDriver;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval at which open connections and pending requests are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time that clients have to receive the last responses after these are determined.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Continues to serve until no connection is open and no request is pending, or the drain time is over. On return, every
/// waiting client has received its response or had [`FLUSH_TIMEOUT`] to receive it.
pub(super) async fn drain(server: &Rc<EdgeServer>) {
    let begun = server.edge.clock.now();
    let schedule = server.edge.node.borrow_mut().begin_drain(begun);
    let instant_of = |at: f64| Instant::now() + Duration::from_secs_f64((at - begun).max(0.0));
    let (closes_at, ends_at) = (instant_of(schedule.closes_at), instant_of(schedule.ends_at));
    tracing::info!(open = server.client_connections.get(), "edge role draining");
    // Idle connections are closed well before this process ends; otherwise clients would lose requests that they send on
    // them at that moment.
    server.closes_idle_at.send_replace(Some(closes_at));
    tokio::time::sleep_until(closes_at.into()).await;
    wait_until_idle(server, ends_at).await;
    let unanswered = server.edge.node.borrow().unanswered();
    tracing::info!(
        open = server.client_connections.get(),
        opened = server.upstreams.connections_opened.get(),
        waiting = unanswered.waiting,
        at_workers = unanswered.at_workers,
        newest_read_s = unanswered.newest_received_at.map_or(0.0, |at| at - begun),
        "edge role stopping"
    );
    server.update(|node, _, effects| node.respond_to_all(effects));
    wait_until_idle(server, Instant::now() + FLUSH_TIMEOUT).await;
}

/// Waits until no client is connected and no request is pending, or until `deadline`.
async fn wait_until_idle(server: &Rc<EdgeServer>, deadline: Instant) {
    let is_busy = || server.client_connections.get() > 0 || server.edge.node.borrow().pending_count() > 0;
    while Instant::now() < deadline && is_busy() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
