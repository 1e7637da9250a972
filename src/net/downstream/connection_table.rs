//! The open connections, and the eviction of idle ones when there are too many.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A client sends the first request on a new connection within this, even over a slow network.
pub(super) const FIRST_REQUEST_WINDOW: Duration = Duration::from_millis(250);
/// Evictions are logged once in this time at the most.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The state of an open connection.
pub(super) struct ConnectionState {
    /// Whether a request on it has been answered.
    pub(super) has_served: Cell<bool>,
    /// Whether an accepted request on it has not been answered in full.
    is_busy: Cell<bool>,
    /// Whether a request has been received at least in part and not been answered.
    pub(super) is_reading: Cell<bool>,
    /// Since when `is_busy` has had its value.
    pub(super) idle_since: Cell<Instant>,
    /// Tells the connection to close.
    pub(super) evicted: Notify,
}

/// Which connections are evicted first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionOrder {
    /// It never sent anything.
    Unused,
    /// It was used and is idle.
    Idle,
    /// A request is being received, perhaps slowly. From here on the client would lose a request, so these are
    /// evicted only at the limit.
    Reading,
    /// It was just accepted, and its first request may be on the way.
    New,
}

impl ConnectionState {
    fn eviction_order(&self) -> EvictionOrder {
        if self.is_reading.get() {
            EvictionOrder::Reading
        } else if self.has_served.get() {
            EvictionOrder::Idle
        } else if self.idle_since.get().elapsed() < FIRST_REQUEST_WINDOW {
            EvictionOrder::New
        } else {
            EvictionOrder::Unused
        }
    }
}

/// The open connections by their serial number.
#[derive(Default)]
pub(super) struct ConnectionTable {
    connections: RefCell<HashMap<u64, Rc<ConnectionState>>>,
    /// Connections accepted so far.
    accepted: Cell<u64>,
    busy: Cell<usize>,
    /// A connection has closed.
    closed: Notify,
    evictions: Cell<EvictionLog>,
}

/// Evictions that have not been logged yet, and when they last were.
#[derive(Clone, Copy, Default)]
struct EvictionLog {
    pending: usize,
    logged: Option<Instant>,
}

impl ConnectionTable {
    pub(super) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    pub(super) fn is_busy(&self) -> bool {
        self.busy.get() > 0
    }

    pub(super) fn is_reading(&self) -> bool {
        self.connections.borrow().values().any(|c| c.is_reading.get())
    }

    /// Waits until there are fewer connections than `limit` says.
    pub(super) async fn wait_below(&self, limit: impl Fn() -> usize) {
        while self.len() >= limit() {
            self.closed.notified().await;
        }
    }

    /// Adds a connection; it is removed when the guard is dropped.
    pub(super) fn register(table: &Rc<Self>) -> ConnectionGuard {
        let number = table.accepted.get();
        table.accepted.set(number + 1);
        let state = Rc::new(ConnectionState {
            has_served: Cell::new(false),
            is_busy: Cell::new(false),
            is_reading: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            evicted: Notify::new(),
        });
        table.connections.borrow_mut().insert(number, Rc::clone(&state));
        ConnectionGuard { table: Rc::clone(table), number, state }
    }

    /// Evicts the connection that comes first in [`EvictionOrder`] and has been idle longest. One with an accepted
    /// request is never evicted, and one whose client would lose a request only if the table is full.
    pub(super) fn evict_one(&self, is_full: bool) {
        let mut connections = self.connections.borrow_mut();
        let candidates = connections.iter().filter(|(_, c)| !c.is_busy.get());
        let first = candidates.min_by_key(|(_, c)| (c.eviction_order(), c.idle_since.get()));
        let first = first.filter(|(_, c)| is_full || c.eviction_order() < EvictionOrder::Reading);
        let Some(number) = first.map(|(number, _)| *number) else { return };
        if let Some(connection) = connections.remove(&number) {
            connection.evicted.notify_one();
        }
        self.log_eviction();
    }

    fn log_eviction(&self) {
        let EvictionLog { pending, logged } = self.evictions.get();
        let is_due = logged.is_none_or(|at| at.elapsed() > LOG_INTERVAL);
        if is_due {
            tracing::info!(connections = pending + 1, "evicted silent or idle connections");
        }
        self.evictions.set(if is_due {
            EvictionLog { pending: 0, logged: Some(Instant::now()) }
        } else {
            EvictionLog { pending: pending + 1, logged }
        });
    }
}

/// A connection's entry in the table. Its drop removes the entry and all that it was counted for.
pub(super) struct ConnectionGuard {
    table: Rc<ConnectionTable>,
    number: u64,
    pub(super) state: Rc<ConnectionState>,
}

impl ConnectionGuard {
    /// Records whether an accepted request is on the connection.
    pub(super) fn set_busy(&self, is_busy: bool) {
        let was_busy = self.state.is_busy.replace(is_busy);
        let busy = &self.table.busy;
        busy.set(busy.get() + usize::from(is_busy) - usize::from(was_busy));
        self.state.idle_since.set(Instant::now());
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.set_busy(false);
        self.table.connections.borrow_mut().remove(&self.number);
        self.table.closed.notify_one();
    }
}
