//! Pool of keep-alive upstream connections, keyed by peer name.
//!
//! The connection limit covers every connection that holds a file descriptor: idle, in use or being established. A
//! connection is reused only if no unread bytes are on it and its remote address is the peer's current one.

use super::Peer;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Interval at which expired idle connections and those closed by the peer are removed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Upstream connection. Counts towards the connection limit of the pool until dropped.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    _permit: ConnectionPermit,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, permit: ConnectionPermit) -> Self {
        Connection { stream, _permit: permit }
    }

    /// Whether the connection is open and has no unread bytes. Peeks at the socket, as the runtime may not have been
    /// notified yet of bytes that have just arrived.
    fn is_reusable(&self) -> bool {
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Permit to hold one connection, counted until dropped. Acquired before connecting, as a connection that is being
/// established holds a file descriptor.
pub(super) struct ConnectionPermit(Rc<Cell<usize>>);

impl ConnectionPermit {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        ConnectionPermit(Rc::clone(open))
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Pooled connection that is not in use.
struct IdleConnection {
    connection: Connection,
    address: SocketAddr,
    /// Time at which the connection was released.
    since: Instant,
}

/// Idle connections by peer name, and the number of all connections.
pub(super) struct ConnectionPool {
    /// Idle connections of each peer, longest idle first.
    idle: RefCell<HashMap<Arc<str>, Vec<IdleConnection>>>,
    /// Number of connections that are open or being established.
    open: Rc<Cell<usize>>,
    max_connections: Cell<usize>,
}

impl ConnectionPool {
    /// Creates a pool of at most `max_connections` connections, each closed after `idle_timeout` without use.
    pub(super) fn new(max_connections: usize, idle_timeout: Duration) -> Rc<Self> {
        let pool = Rc::new(ConnectionPool {
            idle: RefCell::default(),
            open: Rc::default(),
            max_connections: Cell::new(max_connections),
        });
        actix_rt::spawn(prune(Rc::downgrade(&pool), idle_timeout));
        pool
    }

    pub(super) fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// Number of connections that are open or being established.
    pub(super) fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Takes the most recently used connection to a peer, if one is reusable. A connection that received bytes while
    /// idle is closed, as those bytes belong to no request.
    pub(super) fn checkout(&self, peer: &Peer) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let candidates = idle.get_mut(&peer.name)?;
        let mut usable = None;
        while usable.is_none() {
            let Some(last) = candidates.pop() else { break };
            usable = Some(last.connection).filter(|c| last.address == peer.address && c.is_reusable());
        }
        if candidates.is_empty() {
            idle.remove(&peer.name);
        }
        usable
    }

    /// Returns a connection to the pool for reuse. A connection with unread bytes is closed.
    pub(super) fn release(&self, peer: &Peer, connection: Connection) {
        if connection.is_reusable() {
            let idle = IdleConnection { connection, address: peer.address, since: Instant::now() };
            self.idle.borrow_mut().entry(Arc::clone(&peer.name)).or_default().push(idle);
        }
    }

    /// Closes the idle connections for whose peer name and address `keep` returns `false`.
    pub(super) fn retain(&self, keep: impl Fn(&str, SocketAddr) -> bool) {
        self.retain_idle(|name, idle| keep(name, idle.address));
    }

    fn retain_idle(&self, keep: impl Fn(&str, &IdleConnection) -> bool) {
        self.idle.borrow_mut().retain(|name, connections| {
            connections.retain(|idle| keep(name, idle));
            !connections.is_empty()
        });
    }

    /// Acquires a permit for a new connection; `None` if all connections are in use. At the limit, only the connection
    /// idle longest is closed: closing all idle ones would cost a new TCP handshake for each soon after.
    pub(super) fn acquire_permit(&self) -> Option<ConnectionPermit> {
        if self.open.get() >= self.max_connections.get() {
            let mut idle = self.idle.borrow_mut();
            let oldest = idle.iter().filter_map(|(name, c)| Some((c.first()?.since, name))).min();
            if let Some(name) = oldest.map(|(_, name)| Arc::clone(name)) {
                idle.entry(name).and_modify(|connections| drop(connections.remove(0)));
                idle.retain(|_, connections| !connections.is_empty());
            }
        }
        (self.open.get() < self.max_connections.get()).then(|| ConnectionPermit::new(&self.open))
    }

    /// Names of the peers with idle connections, sorted.
    #[cfg(test)]
    pub(super) fn idle_peers(&self) -> Vec<String> {
        let mut names: Vec<_> = self.idle.borrow().keys().map(|name| name.to_string()).collect();
        names.sort_unstable();
        names
    }
}

/// Closes connections that are idle for `idle_timeout` or were closed by their peer, until the pool is dropped. Without
/// this, connections to peers that get no more requests would keep their file descriptors.
async fn prune(pool: Weak<ConnectionPool>, idle_timeout: Duration) {
    let mut interval = tokio::time::interval(PRUNE_INTERVAL);
    loop {
        interval.tick().await;
        let Some(pool) = pool.upgrade() else { return };
        pool.retain_idle(|_, idle| idle.since.elapsed() < idle_timeout && idle.connection.is_reusable());
    }
}
