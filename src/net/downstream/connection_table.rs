//! Table of the open client connections, and their eviction from half of the connection limit on.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Time within which a client sends the first request on a new connection, even over a slow network.
pub(super) const FIRST_REQUEST_WINDOW: Duration = Duration::from_millis(250);
/// Minimum interval between two log lines on evictions.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// State of an open connection.
pub(super) struct ConnectionState {
    /// Whether a request on the connection has been answered.
    pub(super) has_served: Cell<bool>,
    /// Whether an accepted request on the connection has not been answered completely.
    is_busy: Cell<bool>,
    /// Whether a request has been received at least in part and not been answered.
    pub(super) is_reading: Cell<bool>,
    /// Time at which `is_busy` was last set.
    pub(super) idle_since: Cell<Instant>,
    /// Notified when the connection is evicted and must close.
    pub(super) evicted: Notify,
}

/// Eviction priority of connections; the lowest is evicted first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionOrder {
    /// No request has arrived, and the first one is overdue.
    Unused,
    /// The connection has served a request and is idle.
    Idle,
    /// A request is being received. Eviction at this priority or a higher one loses a client's request and happens only
    /// if the table is full.
    Reading,
    /// The connection was accepted within [`FIRST_REQUEST_WINDOW`], so its first request may be in transit.
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

/// Open connections by serial number.
#[derive(Default)]
pub(super) struct ConnectionTable {
    connections: RefCell<HashMap<u64, Rc<ConnectionState>>>,
    /// Number of connections accepted so far; the serial number of the next one.
    accepted: Cell<u64>,
    /// Number of connections with an accepted request that is not answered completely.
    busy: Cell<usize>,
    /// Notified when a connection is removed.
    closed: Notify,
    /// Evictions for the next log line.
    evictions: Cell<EvictionLog>,
}

/// Evictions not logged yet, and the time of the last log line.
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

    /// Waits until fewer connections than `limit()` are open.
    pub(super) async fn wait_below(&self, limit: impl Fn() -> usize) {
        while self.len() >= limit() {
            self.closed.notified().await;
        }
    }

    /// Adds a connection to the table, which is removed when the guard is dropped.
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

    /// Evicts the connection of the lowest [`EvictionOrder`] that has been idle longest. A connection with an accepted
    /// request is never evicted; one whose client would lose a request is evicted only if `is_full`.
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
            tracing::info!(
                connections = pending + 1,
                "evicted client connections without an accepted request: at least half of the limit is in use"
            );
        }
        self.evictions.set(if is_due {
            EvictionLog { pending: 0, logged: Some(Instant::now()) }
        } else {
            EvictionLog { pending: pending + 1, logged }
        });
    }
}

/// Entry of a connection in the table. Dropping the guard removes the entry and updates the counts.
pub(super) struct ConnectionGuard {
    table: Rc<ConnectionTable>,
    number: u64,
    pub(super) state: Rc<ConnectionState>,
}

impl ConnectionGuard {
    /// Records whether the connection has an accepted request that is not answered completely.
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
