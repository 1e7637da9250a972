//! Owns connections to workers: one attempt of a request on one of them, and those that stand idle. It must never send
//! a request a second time, take for an answer what is not the whole answer to that request, or use a connection on
//! which anything is unread.

pub mod exchange;
#[cfg(test)]
mod pool_tests;
#[cfg(test)]
mod tests;

use crate::transport::http_server::{self, is_idle};
use actix_http::h1::ClientCodec;
use actix_http::header::{HeaderMap, HeaderValue};
use actix_http::uri::Uri;
use actix_http::{Method, ServiceConfig, StatusCode};
use bytes::Bytes;
use exchange::{classify, encode, exchange, ExchangeError};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use whinstall::Ending;

/// A connection comes up within this: a worker that is down says nothing.
const DIAL: Duration = Duration::from_millis(200);
/// Idle connections are looked at this often.
pub const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Before anything is known of when workers close idle connections.
const IDLE_FIRST: Duration = Duration::from_millis(2500);
/// So many of the last ids that went out on a connection are remembered.
const IDS: usize = 16;
/// Part of the known time that a connection may stand idle before what must not run twice is sent on it...
const IDLE_ONCE: f64 = 0.7;
/// ...and before anything is.
const IDLE_ANY: f64 = 0.9;

/// A request as it came, to be sent on in any number of attempts.
pub struct ForwardedRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers, without those of the connection and the key.
    pub headers: HeaderMap,
    /// Its body, if it has one.
    pub body: Option<Bytes>,
    /// Its id.
    pub id: HeaderValue,
    /// May it run more than once?
    pub is_idempotent: bool,
    /// When its client leaves.
    pub deadline: Instant,
}

/// A worker's whole answer.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those of the connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptOutcome {
    /// For the module.
    pub ending: Ending,
    /// The worker's answer, where there is one to pass on.
    pub response: Option<UpstreamResponse>,
    /// Another worker answered at this address.
    pub misdirected: bool,
}

impl AttemptOutcome {
    fn with(ending: Ending) -> Self {
        AttemptOutcome { ending, response: None, misdirected: false }
    }
}

struct Idle {
    stream: TcpStream,
    open: Open,
    since: Instant,
    /// What the worker said of how long it keeps it.
    keeps: Option<Duration>,
    /// Hashes of the ids of the last requests on it. Another attempt under one of them goes elsewhere: a late second
    /// answer to the first would be taken for its own.
    ids: VecDeque<u64>,
}

fn hash(id: &HeaderValue) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.as_bytes().hash(&mut hasher);
    hasher.finish()
}

/// Connections to workers.
pub struct UpstreamPool {
    idle: RefCell<HashMap<Arc<str>, Vec<Idle>>>,
    open: Rc<Cell<usize>>,
    most: usize,
    /// The shortest time after which workers were seen to close idle connections.
    learned: Cell<Option<Duration>>,
    config: ServiceConfig,
    /// Connections opened so far.
    pub connections_opened: Cell<u64>,
}

struct Open(Rc<Cell<usize>>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl UpstreamPool {
    /// Holds so many connections at the most.
    pub fn new(most: usize) -> Self {
        UpstreamPool {
            idle: RefCell::default(),
            open: Rc::default(),
            most,
            learned: Cell::new(None),
            config: http_server::service_config(),
            connections_opened: Cell::new(0),
        }
    }

    /// How long a connection may stand idle before something is sent on it.
    fn usable(&self, idle: &Idle, repeatable: bool) -> bool {
        let known = idle.keeps.or(self.learned.get());
        let part = if repeatable { IDLE_ANY } else { IDLE_ONCE };
        let most = known.map_or(IDLE_FIRST, |known| known.mul_f64(part));
        let most = if repeatable && known.is_none() { 4 * most } else { most };
        idle.since.elapsed() < most && is_idle(&idle.stream)
    }

    /// The connection that was used last, of those on which this request may go out.
    fn take(&self, worker: &Arc<str>, forward: &ForwardedRequest) -> Option<Idle> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(worker)?;
        let id = hash(&forward.id);
        let fits = |i: &Idle| !i.ids.contains(&id) && self.usable(i, forward.is_idempotent);
        let at = idle.iter().rposition(fits)?;
        Some(idle.remove(at))
    }

    fn give_back(&self, worker: &Arc<str>, idle: Idle) {
        if is_idle(&idle.stream) && idle.keeps.is_none_or(|keeps| !keeps.is_zero()) {
            self.idle.borrow_mut().entry(Arc::clone(worker)).or_default().push(idle);
        }
    }

    /// Closes the idle connections to a worker.
    pub fn close_idle(&self, worker: &str) {
        self.idle.borrow_mut().remove(worker);
    }

    /// Looks at the idle connections: those that were closed go, and tell how long they were kept.
    pub fn sweep_idle(&self) {
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|i| {
                let age = i.since.elapsed();
                let known = i.keeps.or(self.learned.get());
                let keep = is_idle(&i.stream);
                if !keep && age > Duration::from_millis(500) && i.keeps.is_none() {
                    self.learned.set(Some(self.learned.get().map_or(age, |l| l.min(age))));
                }
                keep && known.is_none_or(|k| age < k.mul_f64(IDLE_ANY))
            });
            !idle.is_empty()
        });
    }

    /// Sends a request once and waits for its whole answer. `may_begin` is asked as the first byte is to be written.
    pub async fn attempt(
        &self,
        worker: &Arc<str>,
        address: SocketAddr,
        forward: &ForwardedRequest,
        tenant: Option<&str>,
        within: Duration,
        may_begin: impl Fn() -> bool,
    ) -> AttemptOutcome {
        let written = Cell::new(false);
        let sent = self.converse(worker, address, forward, tenant, &written, may_begin);
        match tokio::time::timeout(within, sent).await {
            Ok(ended) => ended,
            Err(_) if written.get() => AttemptOutcome::with(Ending::Timeout),
            Err(_) => AttemptOutcome::with(Ending::ConnectFailed),
        }
    }

    async fn converse(
        &self,
        worker: &Arc<str>,
        address: SocketAddr,
        forward: &ForwardedRequest,
        tenant: Option<&str>,
        written: &Cell<bool>,
        may_begin: impl Fn() -> bool,
    ) -> AttemptOutcome {
        let (mut stream, open, mut ids) = match self.take(worker, forward) {
            Some(idle) => (idle.stream, idle.open, idle.ids),
            None => {
                if self.open.get() >= self.most {
                    self.make_room();
                }
                self.open.set(self.open.get() + 1);
                let open = Open(Rc::clone(&self.open));
                self.connections_opened.set(self.connections_opened.get() + 1);
                match tokio::time::timeout(DIAL, TcpStream::connect(address)).await {
                    Ok(Ok(stream)) => {
                        let _ = stream.set_nodelay(true);
                        (stream, open, VecDeque::new())
                    }
                    _ => return AttemptOutcome::with(Ending::ConnectFailed),
                }
            }
        };
        // The last moment at which a worker that is about to leave can be spared.
        if !may_begin() {
            return AttemptOutcome::with(Ending::Moot);
        }
        let mut codec = ClientCodec::new(self.config.clone());
        let Some(out) = encode(&mut codec, forward, tenant, worker) else {
            return AttemptOutcome::with(Ending::Moot);
        };
        match exchange(&mut stream, codec, out, &forward.id, written).await {
            Ok(answer) => {
                if answer.reusable {
                    ids.truncate(IDS - 1);
                    ids.push_front(hash(&forward.id));
                    let (since, keeps) = (Instant::now(), answer.keeps);
                    self.give_back(worker, Idle { stream, open, since, keeps, ids });
                }
                classify(answer.reply)
            }
            Err(ExchangeError::NotSent) => AttemptOutcome::with(Ending::ConnectFailed),
            Err(ExchangeError::InvalidResponse) => AttemptOutcome::with(Ending::Error),
            Err(ExchangeError::ConnectionLost) => AttemptOutcome::with(Ending::Reset),
        }
    }

    /// Closes the connection that stood idle longest.
    fn make_room(&self) {
        let mut all = self.idle.borrow_mut();
        let oldest = all.iter().filter_map(|(w, i)| Some((i.first()?.since, Arc::clone(w)))).min();
        if let Some(idle) = oldest.and_then(|(_, worker)| all.get_mut(&worker)) {
            idle.remove(0);
        }
    }
}
