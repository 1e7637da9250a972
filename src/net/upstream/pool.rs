//! Keep-alive pool of upstream connections, keyed by the peer's name.
//!
//! The pool counts every connection that holds a descriptor: idle ones, those in use and those that are still
//! being established. It never hands out a connection on which anything is unread, and never one that leads to
//! another address than the peer's.

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

/// Interval at which idle connections are checked for expiry and for a close by the peer.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// An upstream connection. It counts against the pool's limit until it is dropped.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    _permit: ConnectionPermit,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, permit: ConnectionPermit) -> Self {
        Connection { stream, _permit: permit }
    }

    /// Whether the connection is open with nothing to read. The kernel is asked, as the runtime may not have
    /// been notified yet of bytes that have just arrived.
    fn is_quiet(&self) -> bool {
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// The right to hold one connection. A connection that is being established already holds one, as it holds a
/// descriptor.
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

/// A pooled connection between two requests.
struct IdleConnection {
    connection: Connection,
    address: SocketAddr,
    since: Instant,
}

/// Idle connections by peer, the one idle longest first, and the count of all open connections.
pub(super) struct ConnectionPool {
    idle: RefCell<HashMap<Arc<str>, Vec<IdleConnection>>>,
    open: Rc<Cell<usize>>,
    max_connections: Cell<usize>,
}

impl ConnectionPool {
    /// A pool of at most `max_connections`, which closes connections after `idle_timeout` without use.
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

    /// Connections that are open or being established.
    pub(super) fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Takes the most recently used connection to a peer, if one is usable. A connection that received bytes
    /// while idle is closed instead: nobody asked for them.
    pub(super) fn checkout(&self, peer: &Peer) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let candidates = idle.get_mut(&peer.name)?;
        let mut usable = None;
        while usable.is_none() {
            let Some(last) = candidates.pop() else { break };
            usable = Some(last.connection).filter(|c| last.address == peer.address && c.is_quiet());
        }
        if candidates.is_empty() {
            idle.remove(&peer.name);
        }
        usable
    }

    /// Puts a connection back for reuse; one with unread bytes is closed.
    pub(super) fn release(&self, peer: &Peer, connection: Connection) {
        if connection.is_quiet() {
            let idle = IdleConnection { connection, address: peer.address, since: Instant::now() };
            self.idle.borrow_mut().entry(Arc::clone(&peer.name)).or_default().push(idle);
        }
    }

    /// Keeps the idle connections whose peer's name and address satisfy the predicate; closes the others.
    pub(super) fn retain(&self, keep: impl Fn(&str, SocketAddr) -> bool) {
        self.retain_idle(|name, idle| keep(name, idle.address));
    }

    fn retain_idle(&self, keep: impl Fn(&str, &IdleConnection) -> bool) {
        self.idle.borrow_mut().retain(|name, connections| {
            connections.retain(|idle| keep(name, idle));
            !connections.is_empty()
        });
    }

    /// Permission for one more connection, at the limit by evicting the one idle longest. Only one is evicted:
    /// closing all idle connections cost a handshake each soon after. `None`: all are in use.
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

/// Closes connections that are idle for too long or were closed by their peer, for as long as the pool exists:
/// each holds a descriptor.
async fn prune(pool: Weak<ConnectionPool>, idle_timeout: Duration) {
    let mut interval = tokio::time::interval(PRUNE_INTERVAL);
    loop {
        interval.tick().await;
        let Some(pool) = pool.upgrade() else { return };
        pool.retain_idle(|_, idle| idle.since.elapsed() < idle_timeout && idle.connection.is_quiet());
    }
}
