//! The pool of connections to workers. Each connection carries one attempt of a request at a time. An attempt writes the
//! request at most once, accepts only the complete response to that request, and returns the connection to the pool only
//! if it has no unread bytes.

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

/// Timeout of connecting to a worker. A worker whose machine is down does not refuse connections.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between two checks of the idle connections.
pub const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum idle time of a connection that a non-idempotent request may use, while the keep-alive time of the workers is
/// unknown.
const DEFAULT_MAX_IDLE: Duration = Duration::from_millis(2500);
/// Maximum idle time of a connection that an idempotent request may use, while the keep-alive time of the workers is
/// unknown.
const DEFAULT_MAX_IDLE_IDEMPOTENT: Duration = Duration::from_secs(10);
/// Maximum idle time of a connection that a non-idempotent request may use, as a fraction of the worker's keep-alive
/// time. If the worker closes the connection while the request is sent, it is unknown whether the worker executed the
/// request, and the request can't be retried.
const MAX_IDLE_FRACTION: f64 = 0.7;
/// Maximum idle time of a connection that an idempotent request may use, as a fraction of the worker's keep-alive time.
/// The fraction is larger because an idempotent request can be retried.
const MAX_IDLE_FRACTION_IDEMPOTENT: f64 = 0.9;
/// Shortest idle time after which the end of a connection is taken for an idle timeout of the worker. An earlier end has
/// another cause.
const MIN_OBSERVED_IDLE: Duration = Duration::from_millis(500);
/// Number of recent attempt ids that are remembered for each connection.
const REMEMBERED_IDS: usize = 16;

/// A client's request in the form in which it is sent to workers, in one or more attempts.
pub struct ForwardedRequest {
    /// The request method.
    pub method: Method,
    /// The path and the query.
    pub uri: Uri,
    /// The headers, without hop-by-hop headers and the API key.
    pub headers: HeaderMap,
    /// The body; `None` if the request has no body.
    pub body: Option<Bytes>,
    /// The `X-Attempt-Id`, which the worker's response must repeat.
    pub id: HeaderValue,
    /// Whether the request may be executed more than once.
    pub is_idempotent: bool,
    /// Time after which no client waits for the response.
    pub deadline: Instant,
}

/// A worker's complete response.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The status code.
    pub status: StatusCode,
    /// The headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// The outcome of an attempt. Whether the request may be retried follows from `ending` and
/// [`ForwardedRequest::is_idempotent`].
#[derive(Debug)]
pub struct AttemptOutcome {
    /// The outcome in the terms of the decision library.
    pub ending: Ending,
    /// The worker's response, if it may be forwarded to the client.
    pub response: Option<UpstreamResponse>,
    /// Whether another worker responded at this address (status 421).
    pub misdirected: bool,
}

impl AttemptOutcome {
    fn without_response(ending: Ending) -> Self {
        AttemptOutcome { ending, response: None, misdirected: false }
    }
}

/// Counts a connection in [`UpstreamPool::open`] until it is dropped.
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
    /// Hashes of the ids of the last requests on this connection. Another attempt with one of these ids must use another
    /// connection; otherwise a late duplicate response to the first attempt would be accepted for the second.
    recent_ids: VecDeque<u64>,
}

struct IdleConnection {
    connection: UpstreamConnection,
    since: Instant,
    /// Keep-alive time that the worker announced; `None` if it announced none.
    keep_alive: Option<Duration>,
}

fn hash(id: &HeaderValue) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.as_bytes().hash(&mut hasher);
    hasher.finish()
}

/// The pool of connections to workers.
pub struct UpstreamPool {
    /// Idle connections by worker, ordered by the time at which they became idle.
    idle: RefCell<HashMap<Arc<str>, Vec<IdleConnection>>>,
    /// Number of open connections, in use or idle.
    open: Rc<Cell<usize>>,
    max_open: usize,
    /// Shortest idle time after which a worker was observed to close a connection.
    observed_keep_alive: Cell<Option<Duration>>,
    config: ServiceConfig,
    /// Number of connections opened since the start of the process, including failed attempts.
    pub connections_opened: Cell<u64>,
}

impl UpstreamPool {
    /// Creates a pool that closes idle connections to stay within `max_open` connections. The number of connections in
    /// use is not limited.
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

    /// Idle time after which the worker is expected to close this connection: announced or observed; `None` if neither.
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

    /// Takes the most recently used idle connection to `worker` on which this request may be sent.
    fn checkout(&self, worker: &Arc<str>, forward: &ForwardedRequest) -> Option<UpstreamConnection> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(worker)?;
        let id = hash(&forward.id);
        let newest = idle.iter().rposition(|idle| {
            !idle.connection.recent_ids.contains(&id) && self.is_usable(idle, forward.is_idempotent)
        })?;
        Some(idle.remove(newest).connection)
    }

    /// Returns a connection to the pool, unless it has unread bytes or the worker does not keep it open.
    fn check_in(&self, worker: &Arc<str>, connection: UpstreamConnection, keep_alive: Option<Duration>) {
        if is_idle(&connection.stream) && keep_alive.is_none_or(|keep_alive| !keep_alive.is_zero()) {
            let idle = IdleConnection { connection, since: Instant::now(), keep_alive };
            self.idle.borrow_mut().entry(Arc::clone(worker)).or_default().push(idle);
        }
    }

    /// Closes all idle connections to a worker.
    pub fn close_idle(&self, worker: &str) {
        self.idle.borrow_mut().remove(worker);
    }

    /// Drops the idle connections that workers have closed or are about to close. The idle time of a connection closed by
    /// a worker updates the observed keep-alive time. Must be called every [`IDLE_SWEEP_INTERVAL`].
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

    /// Sends a request once and waits for the complete response, for at most `time_limit`. `may_send` is called
    /// immediately before the first byte is written.
    ///
    /// After `ConnectFailed` and `NotSent` nothing was written and the request may be sent to another worker. `Full`
    /// means that the worker declares that it did not execute the request. After every other failure the worker may have
    /// executed it.
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

    /// Opens a connection; `None` if connecting fails or takes longer than [`CONNECT_TIMEOUT`].
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
