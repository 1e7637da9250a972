//! The driver of a gatekeeper's drain: waits as the state machine's [`Drain`](crate::data_plane::drain::Drain) says, and lets
//! answers go out before the process ends.

use super::EdgeServer;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Connections are looked at this often.
const LOOK: Duration = Duration::from_millis(50);
/// After the final answers, connections have so long to take them.
const FLUSH: Duration = Duration::from_millis(300);

/// Serves on until nothing is open or the time is over; nobody waits for an answer when this returns.
pub(super) async fn drain(server: &Rc<EdgeServer>) {
    let begun = server.edge.clock.now();
    let drain = server.edge.state.borrow_mut().begin_drain(begun);
    let after = |at: f64| Instant::now() + Duration::from_secs_f64((at - begun).max(0.0));
    let (closes_at, ends_at) = (after(drain.closes_at), after(drain.ends_at));
    tracing::info!(open = server.open.get(), "edge role drains");
    // Connections that rest are closed well before this process ends, or their clients lose what they send then.
    server.ending.send_replace(Some(closes_at));
    tokio::time::sleep_until(closes_at.into()).await;
    idle_by(server, ends_at).await;
    let owed = server.edge.state.borrow().unanswered();
    tracing::info!(
        open = server.open.get(),
        opened = server.courier.opened.get(),
        waiting = owed.waiting,
        at_workers = owed.at_workers,
        newest_read_s = owed.newest_received_at.map_or(0.0, |at| at - begun),
        "edge role ends"
    );
    server.with(|edge, _, out| edge.respond_to_all(out));
    idle_by(server, Instant::now() + FLUSH).await;
}

/// Waits until no client is connected and no attempt is out, but no longer than `latest`.
async fn idle_by(server: &Rc<EdgeServer>, latest: Instant) {
    while Instant::now() < latest && (server.open.get() > 0 || server.edge.state.borrow().pending_count() > 0)
    {
        tokio::time::sleep(LOOK).await;
    }
}
