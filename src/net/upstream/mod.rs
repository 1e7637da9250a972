//! HTTP/1.1 client for nodes, the quota counter, discovery and other gatekeepers. Sends a request, returns its response
//! and pools connections by peer ([`pool`]).
//!
//! The client never retries a request; callers decide on retries from the [`ExchangeOutcome`].

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

/// Maximum length of a request or response body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Server that a request is sent to. Peers are identified by name, not by address: a node that starts at the address of
/// a former node is another peer and does not inherit pooled connections.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of the peer, which identifies it in the connection pool.
    pub name: Arc<str>,
    /// Address that the peer listens on.
    pub address: SocketAddr,
}

/// Request to a peer.
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: PathAndQuery,
    /// Headers other than `Host` and `Content-Length`.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Request body. Without a body, no `Content-Length` is sent.
    pub body: Bytes,
}

impl Request {
    /// Creates a request without additional headers and without a body.
    pub fn plain(method: Method, target: PathAndQuery) -> Self {
        Request { method, target, headers: Vec::new(), body: Bytes::new() }
    }
}

/// Complete response of a peer.
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the header `Not-Started: 1` is present, by which the peer states that it did not begin the request.
    pub not_started: bool,
    /// Usage of the customer over all gatekeepers, in percent of its rate (header `X-Meter`).
    pub usage_percent: Option<f64>,
    /// Response body.
    pub body: Bytes,
}

/// Limits of one exchange.
pub struct ExchangeOptions {
    /// Time limit from the start of the exchange to the complete response.
    pub timeout: Duration,
    /// Checked immediately before the first byte is written; `false` abandons the request unsent.
    pub may_send: Box<dyn Fn() -> bool>,
}

impl ExchangeOptions {
    /// Options with a timeout and without a check before sending.
    pub fn timeout(timeout: Duration) -> Self {
        ExchangeOptions { timeout, may_send: Box::new(|| true) }
    }
}

/// Progress of writing a request. Kept outside the future of the exchange, which may be dropped at any await point.
#[derive(Default)]
struct WriteProgress {
    /// Whether at least one byte was written.
    started: Cell<bool>,
    /// Whether the last byte was written.
    finished: Cell<bool>,
}

/// HTTP/1.1 client with a connection pool.
pub struct UpstreamClient {
    pool: Rc<ConnectionPool>,
    connect_timeout: Duration,
    config: ServiceConfig,
}

impl UpstreamClient {
    /// Creates a client with at most `max_connections` connections, each established within `connect_timeout` and
    /// closed after `idle_timeout` without use.
    pub fn new(connect_timeout: Duration, idle_timeout: Duration, max_connections: usize) -> Self {
        let pool = ConnectionPool::new(max_connections, idle_timeout);
        let config = ServiceConfigBuilder::new().keep_alive(KeepAlive::Os).build();
        UpstreamClient { pool, connect_timeout, config }
    }

    /// Changes the limit on connections. Open connections beyond a lower limit are not closed.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.pool.set_max_connections(max_connections);
    }

    /// Number of connections that are open or being established.
    pub fn open_connections(&self) -> usize {
        self.pool.open_connections()
    }

    /// Closes the idle connections for whose peer name and address `keep` returns `false`.
    pub fn retain_idle(&self, keep: impl Fn(&str, SocketAddr) -> bool) {
        self.pool.retain(keep);
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.pool.retain(|_, _| false);
    }

    /// Sends a request once and waits for the complete response, until `cancelled` resolves or the timeout expires.
    /// Without a complete response the connection is closed before this returns, so that the peer sees the end of one
    /// attempt before the next attempt begins.
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

/// Reason why no complete response was received.
enum ExchangeError {
    Cancelled,
    TimedOut,
    InvalidResponse,
    /// The connection could not be established, exceeded the connection limit, or broke.
    ConnectionLost,
}

impl From<io::Error> for ExchangeError {
    fn from(_: io::Error) -> Self {
        ExchangeError::ConnectionLost
    }
}
