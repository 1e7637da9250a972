//! Connections to workers: one attempt of a request at a time on each, and those that are idle. An attempt writes the
//! request at most once, takes nothing but the complete response to that request, and leaves a connection to further
//! requests only if nothing on it is unread.

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
use tokio::time::timeout;
use whinstall::Ending;

/// A connection must come up within this: a worker that is down does not refuse it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How often idle connections are checked.
pub const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// How long a connection may be idle before a request is sent on it, while it is unknown when workers close theirs.
const DEFAULT_MAX_IDLE: Duration = Duration::from_millis(2500);
/// The same for idempotent requests.
const DEFAULT_MAX_IDLE_IDEMPOTENT: Duration = Duration::from_secs(10);
/// Where it is known when the worker closes it: the fraction of that time for which a connection may be idle before a
/// request is sent on it. The worker may close it just then, and nobody knows whether it ran the request...
const MAX_IDLE_FRACTION: f64 = 0.7;
/// ...which does not matter to idempotent ones.
const MAX_IDLE_FRACTION_IDEMPOTENT: f64 = 0.9;
/// A connection that ends earlier than this has not ended for being idle.
const MIN_OBSERVED_IDLE: Duration = Duration::from_millis(500);
/// How many of the last attempt ids are remembered of each connection.
const REMEMBERED_IDS: usize = 16;

/// A client's request, to be sent to workers in any number of attempts.
pub struct ForwardedRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers, without those of the client's connection and the API key.
    pub headers: HeaderMap,
    /// Its body; `None` if it has none.
    pub body: Option<Bytes>,
    /// Its `X-Attempt-Id`, which the worker's response must name.
    pub id: HeaderValue,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// When nobody waits for its response any more.
    pub deadline: Instant,
}

/// A worker's complete response.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those of the connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// How an attempt ended. Whether it may be retried follows from `ending` and [`ForwardedRequest::is_idempotent`].
#[derive(Debug)]
pub struct AttemptOutcome {
    /// The outcome, in the terms of the decision library.
    pub ending: Ending,
    /// The worker's response, if it may be passed on to the client.
    pub response: Option<UpstreamResponse>,
    /// Whether another worker answered at this address (421).
    pub misdirected: bool,
}

impl AttemptOutcome {
    fn without_response(ending: Ending) -> Self {
        AttemptOutcome { ending, response: None, misdirected: false }
    }
}

/// One of the connections counted in [`UpstreamPool::open`].
struct OpenConnection(Rc<Cell<usize>>);

impl OpenConnection {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        OpenConnection(Rc::clone(count))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct UpstreamConnection {
    stream: TcpStream,
    #[expect(dead_code, reason = "counts the connection until it is dropped")]
    open: OpenConnection,
    /// Hashes of the ids of the last requests on it. Another attempt under one of them uses another connection: a late
    /// second response to the first would be taken for its own.
    recent_ids: VecDeque<u64>,
}

struct IdleConnection {
    connection: UpstreamConnection,
    since: Instant,
    /// How long the worker keeps it, as far as it said so.
    keep_alive: Option<Duration>,
}

fn hash(id: &HeaderValue) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.as_bytes().hash(&mut hasher);
    hasher.finish()
}

/// The connections to workers.
pub struct UpstreamPool {
    /// Idle connections by worker, in the order in which they became idle.
    idle: RefCell<HashMap<Arc<str>, Vec<IdleConnection>>>,
    /// How many are open, in use or idle.
    open: Rc<Cell<usize>>,
    max_open: usize,
    /// The shortest time after which a worker was seen to close an idle connection.
    observed_keep_alive: Cell<Option<Duration>>,
    config: ServiceConfig,
    /// How many connections were opened so far.
    pub connections_opened: Cell<u64>,
}

impl UpstreamPool {
    /// A pool that closes idle connections to stay at `max_open` connections. Those in use are not bounded.
    pub fn new(max_open: usize) -> Self {
        UpstreamPool {
            idle: RefCell::default(),
            open: Rc::default(),
            max_open,
            observed_keep_alive: Cell::new(None),
            config: http_server::service_config(),
            connections_opened: Cell::new(0),
        }
    }

    /// When the worker closes this connection, as far as anything is known of that.
    fn keep_alive_of(&self, idle: &IdleConnection) -> Option<Duration> {
        idle.keep_alive.or(self.observed_keep_alive.get())
    }

    /// Whether a request may be sent on this connection.
    fn is_usable(&self, idle: &IdleConnection, is_idempotent: bool) -> bool {
        let max_idle = match (self.keep_alive_of(idle), is_idempotent) {
            (Some(keep_alive), true) => keep_alive.mul_f64(MAX_IDLE_FRACTION_IDEMPOTENT),
            (Some(keep_alive), false) => keep_alive.mul_f64(MAX_IDLE_FRACTION),
            (None, true) => DEFAULT_MAX_IDLE_IDEMPOTENT,
            (None, false) => DEFAULT_MAX_IDLE,
        };
        idle.since.elapsed() < max_idle && is_idle(&idle.connection.stream)
    }

    /// Takes the idle connection to `worker` that was used last, of those on which this request may be sent.
    fn checkout(&self, worker: &Arc<str>, forward: &ForwardedRequest) -> Option<UpstreamConnection> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(worker)?;
        let id = hash(&forward.id);
        let newest = idle.iter().rposition(|idle| {
            !idle.connection.recent_ids.contains(&id) && self.is_usable(idle, forward.is_idempotent)
        })?;
        Some(idle.remove(newest).connection)
    }

    /// Takes a connection back, unless anything came on it or the worker does not keep it.
    fn check_in(&self, worker: &Arc<str>, connection: UpstreamConnection, keep_alive: Option<Duration>) {
        if is_idle(&connection.stream) && keep_alive.is_none_or(|keep_alive| !keep_alive.is_zero()) {
            let idle = IdleConnection { connection, since: Instant::now(), keep_alive };
            self.idle.borrow_mut().entry(Arc::clone(worker)).or_default().push(idle);
        }
    }

    /// Closes the idle connections to a worker.
    pub fn close_idle(&self, worker: &str) {
        self.idle.borrow_mut().remove(worker);
    }

    /// Drops the idle connections that workers closed or soon will, and learns from the former how long they keep them.
    /// To be called every [`IDLE_SWEEP_INTERVAL`].
    pub fn sweep_idle(&self) {
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|idle| {
                let age = idle.since.elapsed();
                let keep_alive = self.keep_alive_of(idle);
                let is_open = is_idle(&idle.connection.stream);
                if !is_open && age > MIN_OBSERVED_IDLE && idle.keep_alive.is_none() {
                    let observed = self.observed_keep_alive.get().map_or(age, |known| known.min(age));
                    self.observed_keep_alive.set(Some(observed));
                }
                is_open && keep_alive.is_none_or(|known| age < known.mul_f64(MAX_IDLE_FRACTION_IDEMPOTENT))
            });
            !idle.is_empty()
        });
    }

    /// Sends a request once and waits for the complete response, for at most `time_limit`. `may_send` is asked at the
    /// last moment before the first byte is written.
    ///
    /// `ConnectFailed` and `NotSent`: nothing was written, and the request may be sent elsewhere. `Full`: the worker says
    /// that it did not run the request. After every other failure it may have run.
    pub async fn attempt(
        &self,
        worker: &Arc<str>,
        address: SocketAddr,
        forward: &ForwardedRequest,
        tenant: Option<&str>,
        time_limit: Duration,
        may_send: impl Fn() -> bool,
    ) -> AttemptOutcome {
        let written = Cell::new(false);
        let sent = self.attempt_unbounded(worker, address, forward, tenant, &written, may_send);
        match timeout(time_limit, sent).await {
            Ok(outcome) => outcome,
            Err(_) if written.get() => AttemptOutcome::without_response(Ending::Timeout),
            Err(_) => AttemptOutcome::without_response(Ending::ConnectFailed),
        }
    }

    async fn attempt_unbounded(
        &self,
        worker: &Arc<str>,
        address: SocketAddr,
        forward: &ForwardedRequest,
        tenant: Option<&str>,
        written: &Cell<bool>,
        may_send: impl Fn() -> bool,
    ) -> AttemptOutcome {
        let connection = match self.checkout(worker, forward) {
            Some(connection) => Some(connection),
            None => self.connect(address).await,
        };
        let Some(mut connection) = connection else {
            return AttemptOutcome::without_response(Ending::ConnectFailed);
        };
        if !may_send() {
            return AttemptOutcome::without_response(Ending::NotSent);
        }
        let mut codec = ClientCodec::new(self.config.clone());
        let Some(request) = encode(&mut codec, forward, tenant, worker) else {
            return AttemptOutcome::without_response(Ending::NotSent);
        };
        match exchange(&mut connection.stream, codec, request, &forward.id, written).await {
            Ok(result) => {
                if result.is_reusable {
                    connection.recent_ids.truncate(REMEMBERED_IDS - 1);
                    connection.recent_ids.push_front(hash(&forward.id));
                    self.check_in(worker, connection, result.keep_alive);
                }
                classify(result.response)
            }
            Err(ExchangeError::NotSent) => AttemptOutcome::without_response(Ending::ConnectFailed),
            Err(ExchangeError::InvalidResponse) => AttemptOutcome::without_response(Ending::Error),
            Err(ExchangeError::ConnectionLost) => AttemptOutcome::without_response(Ending::Reset),
        }
    }

    /// Opens a connection; `None` if it does not come up within [`CONNECT_TIMEOUT`].
    async fn connect(&self, address: SocketAddr) -> Option<UpstreamConnection> {
        if self.open.get() >= self.max_open {
            self.close_longest_idle();
        }
        let open = OpenConnection::new(&self.open);
        self.connections_opened.set(self.connections_opened.get() + 1);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(UpstreamConnection { stream, open, recent_ids: VecDeque::new() })
    }

    fn close_longest_idle(&self) {
        let mut all = self.idle.borrow_mut();
        let longest =
            all.iter().filter_map(|(worker, idle)| Some((idle.first()?.since, Arc::clone(worker)))).min();
        if let Some(idle) = longest.and_then(|(_, worker)| all.get_mut(&worker)) {
            idle.remove(0);
        }
    }
}
