//! HTTP/1.1 client towards the nodes, the quota counter, discovery and other gatekeepers: sends one request,
//! returns the one response to it, and pools connections by peer ([`pool`]).
//!
//! The client never sends a request a second time; what may be retried is decided by its callers, from the
//! [`ExchangeOutcome`] that it reports.

mod codec;
mod pool;
#[cfg(test)]
mod tests;

use super::outcome::ExchangeOutcome;
use actix_http::h1::ClientCodec;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::uri::PathAndQuery;
use actix_http::{KeepAlive, Method, ServiceConfig, ServiceConfigBuilder, StatusCode};
use bytes::Bytes;
use pool::{Connection, ConnectionPool};
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The longest body in either direction, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// The server that a request goes to. It is identified by name, not by address: a node that starts where another
/// one stopped is another peer, and gets none of its connections.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A request to a peer.
pub struct Request {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: PathAndQuery,
    /// Its headers beside `Host` and `Content-Length`.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Its body. If it is empty, no `Content-Length` is sent.
    pub body: Bytes,
}

impl Request {
    /// A request with neither headers nor a body.
    pub fn plain(method: Method, target: PathAndQuery) -> Self {
        Request { method, target, headers: Vec::new(), body: Bytes::new() }
    }
}

/// A complete response.
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Whether it carries `Not-Started: 1`: the peer states that it did not begin the request.
    pub not_started: bool,
    /// `X-Meter`: the customer's use over all gatekeepers, in percent of its rate.
    pub usage_percent: Option<f64>,
    /// Its body.
    pub body: Bytes,
}

/// Limits of one exchange.
pub struct ExchangeOptions {
    /// Time from the start to the complete response.
    pub timeout: Duration,
    /// Checked immediately before the first byte is written; `false` abandons the request.
    pub may_send: Box<dyn Fn() -> bool>,
}

impl ExchangeOptions {
    /// A limit of time alone.
    pub fn timeout(timeout: Duration) -> Self {
        ExchangeOptions { timeout, may_send: Box::new(|| true) }
    }
}

/// How much of a request was written. It outlives the exchange, which may be dropped at any await point.
#[derive(Default)]
struct WriteProgress {
    started: Cell<bool>,
    finished: Cell<bool>,
}

/// An HTTP/1.1 client with a connection pool.
pub struct UpstreamClient {
    pool: Rc<ConnectionPool>,
    connect_timeout: Duration,
    config: ServiceConfig,
}

impl UpstreamClient {
    /// A client with at most `max_connections` connections, each established within `connect_timeout` and closed
    /// after `idle_timeout` without use.
    pub fn new(connect_timeout: Duration, idle_timeout: Duration, max_connections: usize) -> Self {
        let pool = ConnectionPool::new(max_connections, idle_timeout);
        let config = ServiceConfigBuilder::new().keep_alive(KeepAlive::Os).build();
        UpstreamClient { pool, connect_timeout, config }
    }

    /// Changes the limit on connections; open ones beyond it are not closed.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.pool.set_max_connections(max_connections);
    }

    /// Connections that are open or being established.
    pub fn open_connections(&self) -> usize {
        self.pool.open_connections()
    }

    /// Closes the idle connections whose peer's name and address do not satisfy the predicate.
    pub fn retain_idle(&self, keep: impl Fn(&str, SocketAddr) -> bool) {
        self.pool.retain(keep);
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.pool.retain(|_, _| false);
    }

    /// Sends a request once and waits for the complete response, until `cancelled` resolves or time is up. Unless
    /// a complete response came, the connection is closed when this returns: the peer sees the end of one attempt
    /// before the next begins.
    ///
    /// The response is returned with the outcomes `Answered`, `ClientError` and `UnexpectedStatus`.
    pub async fn exchange(
        &self,
        peer: &Peer,
        request: Request,
        options: ExchangeOptions,
        cancelled: impl Future<Output = ()>,
    ) -> (ExchangeOutcome, Option<Response>) {
        let progress = WriteProgress::default();
        let result = tokio::select! {
            biased;
            () = cancelled => Err(ExchangeError::Cancelled),
            result = self.send(peer, request, &options.may_send, &progress) => result,
            () = tokio::time::sleep(options.timeout) => Err(ExchangeError::TimedOut),
        };
        let written = progress.finished.get();
        match result {
            Ok(response) if response.status == StatusCode::OK => (ExchangeOutcome::Answered, Some(response)),
            Ok(response) if response.status.is_client_error() => {
                (ExchangeOutcome::ClientError, Some(response))
            }
            Ok(response) => (ExchangeOutcome::UnexpectedStatus, Some(response)),
            Err(ExchangeError::Cancelled) => (ExchangeOutcome::Cancelled { written }, None),
            Err(ExchangeError::TimedOut) => (ExchangeOutcome::TimedOut { written }, None),
            Err(_) if !progress.started.get() && !(options.may_send)() => (ExchangeOutcome::Withdrawn, None),
            Err(_) if !written => (ExchangeOutcome::NotSent, None),
            Err(ExchangeError::InvalidResponse) => (ExchangeOutcome::InvalidResponse, None),
            Err(ExchangeError::ConnectionLost) => (ExchangeOutcome::ConnectionLost, None),
        }
    }

    async fn send(
        &self,
        peer: &Peer,
        request: Request,
        may_send: &dyn Fn() -> bool,
        progress: &WriteProgress,
    ) -> Result<Response, ExchangeError> {
        let mut connection = match self.pool.checkout(peer) {
            Some(connection) => connection,
            None => self.connect(peer.address).await?,
        };
        // The node may have begun to drain while the connection was established.
        if !may_send() {
            return Err(ExchangeError::ConnectionLost);
        }
        let mut codec = ClientCodec::new(self.config.clone());
        let mut out = codec::encode(&mut codec, peer, request)?;
        while !out.is_empty() {
            if connection.stream.write_buf(&mut out).await? == 0 {
                return Err(ExchangeError::ConnectionLost);
            }
            progress.started.set(true);
        }
        progress.finished.set(true);
        let (response, is_reusable) = codec::read_response(codec, &mut connection.stream).await?;
        if is_reusable {
            self.pool.release(peer, connection);
        }
        Ok(response)
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, ExchangeError> {
        let permit = self.pool.acquire_permit().ok_or(ExchangeError::ConnectionLost)?;
        let stream = tokio::time::timeout(self.connect_timeout, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| ExchangeError::ConnectionLost)??;
        let _ = stream.set_nodelay(true);
        Ok(Connection::new(stream, permit))
    }
}

/// Why there is no complete response.
enum ExchangeError {
    Cancelled,
    TimedOut,
    InvalidResponse,
    /// The connection could not be established, was refused for want of a permit, or broke.
    ConnectionLost,
}

impl From<io::Error> for ExchangeError {
    fn from(_: io::Error) -> Self {
        ExchangeError::ConnectionLost
    }
}
