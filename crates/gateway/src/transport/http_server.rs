//! The server's side of an HTTP/1.1 connection, on actix-http's codec: complete requests in, complete responses out, one
//! at a time. A request that is cut, late, too long or ambiguous is never handed on.

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::CONTENT_LENGTH;
use actix_http::{
    HttpMessage, KeepAlive, Request, Response, ResponseBuilder, ServiceConfig, ServiceConfigBuilder,
};
use actix_http::{Method, StatusCode};
use bytes::{Buf, Bytes, BytesMut};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{timeout, Instant};

/// After a response that ends a connection, what the client still sends is read and dropped for so long...
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// ...and up to so many bytes. A connection that is closed over unread bytes is reset, which can cost its client the
/// response.
const LINGER_MAX_BYTES: usize = 1024 * 1024;
/// Each write of a response must make progress within this.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// An idle connection is held open for so much longer than its idle timeout: its client counts from when it had the
/// last response.
const IDLE_SLACK: Duration = Duration::from_millis(500);
/// A connection that was just opened gets so much time for its first request, also while this process drains.
const FIRST_REQUEST_GRACE: Duration = Duration::from_secs(1);
/// While a request is served, so many bytes of the next ones are read ahead: bytes.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Room made in the buffer before each read: bytes.
const READ_BYTES: usize = 2048;
/// Room for a response's head: bytes. A longer one makes the buffer grow.
const RESPONSE_HEAD_BYTES: usize = 384;

/// Limits on a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// The longest head: bytes.
    pub max_head_bytes: usize,
    /// The longest body: bytes.
    pub max_body_bytes: usize,
    /// A head must be complete within this.
    pub head_timeout: Duration,
    /// A body must be complete within this after its head.
    pub body_timeout: Duration,
}

/// A complete request.
pub struct ReceivedRequest {
    /// Its head.
    pub head: Request,
    /// Its body; `None` if it has none, which is not the same as an empty one.
    pub body: Option<Bytes>,
    /// Its part of the [`BodyBudget`], to be kept for as long as the body.
    pub reservation: BodyReservation,
}

/// The memory that the bodies of all requests in flight may take together.
pub struct BodyBudget {
    max_bytes: usize,
    used_bytes: Cell<usize>,
}

impl BodyBudget {
    /// A budget of so many bytes.
    pub fn new(max_bytes: usize) -> Rc<Self> {
        Rc::new(BodyBudget { max_bytes, used_bytes: Cell::new(0) })
    }

    /// Reserves so many bytes; 503 if they are not free.
    fn reserve(self: &Rc<Self>, bytes: usize) -> Result<BodyReservation, HttpError> {
        let used_bytes = self.used_bytes.get().saturating_add(bytes);
        if used_bytes > self.max_bytes {
            return Err(HttpError::Rejected(
                StatusCode::SERVICE_UNAVAILABLE,
                "no room for the body: not run",
            ));
        }
        self.used_bytes.set(used_bytes);
        Ok(BodyReservation { budget: Rc::clone(self), bytes })
    }
}

/// A part of a [`BodyBudget`], freed when this is dropped.
pub struct BodyReservation {
    budget: Rc<BodyBudget>,
    bytes: usize,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.used_bytes.set(self.budget.used_bytes.get() - self.bytes);
    }
}

/// Why there is no request, or why a response was not taken.
#[derive(Debug, PartialEq, displaydoc::Display)]
pub enum HttpError {
    /// the connection has ended
    ConnectionClosed,
    /// {0}: {1}
    Rejected(StatusCode, &'static str),
}

impl std::error::Error for HttpError {}

/// The configuration of all connections.
pub fn service_config() -> ServiceConfig {
    ServiceConfigBuilder::new().keep_alive(KeepAlive::Os).build()
}

/// Whether a connection is open and nothing can be read on it. Asks the operating system: the runtime may not know yet
/// of what has just come.
pub fn is_idle(stream: &TcpStream) -> bool {
    let peeked = socket2::SockRef::from(stream).peek(&mut [std::mem::MaybeUninit::uninit()]);
    peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

/// A stream that can tell, without reading, whether anything could be read.
pub trait IdleProbe {
    /// Whether the stream is open and nothing can be read on it.
    fn is_idle(&self) -> bool;
}

impl IdleProbe for TcpStream {
    fn is_idle(&self) -> bool {
        is_idle(self)
    }
}

/// Why a wait for the next request ended.
#[derive(Debug, PartialEq, Eq)]
pub enum IdleOutcome {
    /// A request has begun.
    RequestStarted,
    /// The connection has ended or is to be closed now. No request on it is unanswered.
    Close,
}

/// A connection that a client opened.
pub struct Connection<S = TcpStream> {
    stream: S,
    codec: Codec,
    /// What was read and not decoded yet.
    buffer: BytesMut,
    /// Whether any request was read on it.
    has_served: bool,
    /// Whether the request to be answered is a `HEAD`.
    is_head_request: bool,
}

impl Connection {
    /// A connection on a TCP stream.
    pub fn new(stream: TcpStream, config: &ServiceConfig) -> Self {
        let _ = stream.set_nodelay(true);
        Connection::from_stream(stream, config)
    }
}

impl<S: AsyncRead + AsyncWrite + IdleProbe + Unpin> Connection<S> {
    /// Waits for the next request. `idle_timeout` tells how long the connection may be idle by the configuration in
    /// force; the longest value since the wait began counts. Once `closes_at` holds a moment, a connection that was
    /// ever used is closed then, if it is idle.
    pub async fn wait_idle(
        &mut self,
        idle_timeout: impl Fn() -> Duration,
        closes_at: &mut watch::Receiver<Option<std::time::Instant>>,
    ) -> IdleOutcome {
        let since = Instant::now();
        let mut longest = idle_timeout();
        loop {
            longest = longest.max(idle_timeout());
            let deadline = since + longest + IDLE_SLACK;
            let closes = closes_at.borrow_and_update().map(Instant::from_std);
            let closes =
                closes.map(|at| if self.has_served { at } else { at.max(since + FIRST_REQUEST_GRACE) });
            let deadline = closes.map_or(deadline, |closes| deadline.min(closes));
            tokio::select! {
                biased;
                readable = self.wait_readable() => {
                    return if readable.is_ok() { IdleOutcome::RequestStarted } else { IdleOutcome::Close };
                }
                Ok(()) = closes_at.changed() => {}
                () = tokio::time::sleep_until(deadline) => {
                    if longest < idle_timeout() {
                        continue;
                    }
                    if self.is_idle() {
                        return IdleOutcome::Close;
                    }
                    tokio::task::yield_now().await;
                }
            }
        }
    }

    /// Whether no byte of a further request has come.
    fn is_idle(&self) -> bool {
        self.buffer.is_empty() && self.stream.is_idle()
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Connection<S> {
    /// A connection on any stream.
    pub fn from_stream(stream: S, config: &ServiceConfig) -> Self {
        let codec = Codec::new(config.clone());
        Connection { stream, codec, buffer: BytesMut::new(), has_served: false, is_head_request: false }
    }

    /// Waits for the first byte of a request. Fails if the connection ends.
    pub async fn wait_readable(&mut self) -> Result<(), HttpError> {
        while self.buffer.is_empty() {
            self.read_more().await?;
        }
        Ok(())
    }

    /// Reads some bytes into the buffer. Fails if the connection ends.
    async fn read_more(&mut self) -> Result<(), HttpError> {
        self.buffer.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(HttpError::ConnectionClosed),
            Ok(_) => Ok(()),
        }
    }

    /// Reads the next request. The memory of its body is reserved from `budget`: all of it at once if the client states
    /// a length, or else chunk by chunk.
    ///
    /// Fails if the connection ends first, or the request is malformed or beyond `limits` or the budget. After a
    /// failure nothing more can be read on the connection; a rejected request was not run.
    pub async fn read_request(
        &mut self,
        limits: &RequestLimits,
        budget: &Rc<BodyBudget>,
    ) -> Result<ReceivedRequest, HttpError> {
        (self.has_served, self.is_head_request) = (true, false);
        let late = HttpError::Rejected(StatusCode::REQUEST_TIMEOUT, "not whole in time");
        let head = timeout(limits.head_timeout, self.read_head(limits)).await.map_err(|_| late)??;
        self.is_head_request = head.method() == Method::HEAD;
        if self.codec.message_type() == MessageType::Stream {
            // A tunnel, whose end can't be told.
            return Err(HttpError::Rejected(StatusCode::BAD_REQUEST, "no tunnels"));
        }
        let stated_length: Option<u64> =
            head.headers().get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.trim().parse().ok());
        if stated_length.is_some_and(|length| length > limits.max_body_bytes as u64) {
            return Err(BODY_TOO_LONG);
        }
        if self.codec.message_type() == MessageType::None {
            let body = stated_length.map(|_| Bytes::new());
            return Ok(ReceivedRequest { body, head, reservation: budget.reserve(0)? });
        }
        let mut reservations = vec![budget.reserve(stated_length.unwrap_or(0) as usize)?];
        if head.head().expect() {
            let _ = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        }
        let reading = self.read_body(limits, |bytes| match stated_length {
            Some(_) => Ok(()),
            None => budget.reserve(bytes).map(|reservation| reservations.push(reservation)),
        });
        let late = HttpError::Rejected(StatusCode::REQUEST_TIMEOUT, "body not whole in time");
        let body = timeout(limits.body_timeout, reading).await.map_err(|_| late)??;
        drop(reservations);
        Ok(ReceivedRequest { reservation: budget.reserve(body.len())?, head, body: Some(body) })
    }

    /// Reads the head of a request: 431 if it is too long, 400 if it is not HTTP or its target is ambiguous.
    async fn read_head(&mut self, limits: &RequestLimits) -> Result<Request, HttpError> {
        let too_long = HttpError::Rejected(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head too long");
        let bad_target = || HttpError::Rejected(StatusCode::BAD_REQUEST, "no such target");
        loop {
            if has_fragment(&self.buffer) {
                return Err(bad_target());
            }
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Item(request))) if !has_target(&request) => return Err(bad_target()),
                Ok(Some(Message::Item(request))) => return Ok(request),
                Ok(None) if self.buffer.len() <= limits.max_head_bytes => self.read_more().await?,
                Ok(None) | Err(ParseError::TooLarge) => return Err(too_long),
                Ok(Some(Message::Chunk(_))) | Err(_) => {
                    return Err(HttpError::Rejected(StatusCode::BAD_REQUEST, "not HTTP"))
                }
            }
        }
    }

    /// Reads the body of a request; `reserve` is called with the length of each chunk before it is kept.
    async fn read_body(
        &mut self,
        limits: &RequestLimits,
        mut reserve: impl FnMut(usize) -> Result<(), HttpError>,
    ) -> Result<Bytes, HttpError> {
        let mut body = BytesMut::new();
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
                Ok(Some(Message::Chunk(Some(chunk)))) if body.len() + chunk.len() > limits.max_body_bytes => {
                    return Err(BODY_TOO_LONG)
                }
                Ok(Some(Message::Chunk(Some(chunk)))) => {
                    reserve(chunk.len())?;
                    body.extend_from_slice(&chunk);
                }
                Ok(None) => self.read_more().await?,
                Ok(Some(Message::Item(_))) | Err(_) => {
                    return Err(HttpError::Rejected(StatusCode::BAD_REQUEST, "body not whole"))
                }
            }
        }
    }

    /// Resolves when the client closes the connection. Requests that it sends ahead are kept, up to 64 KiB; beyond that
    /// a disconnect is not noticed.
    pub async fn client_disconnected(&mut self) {
        while self.buffer.len() < MAX_READ_AHEAD_BYTES {
            if self.read_more().await.is_err() {
                return;
            }
        }
        std::future::pending().await
    }

    /// Writes the response to the request that was read last. Returns whether another request may be read on the
    /// connection. Fails if the client does not take it; how much of it the client got is unknown.
    pub async fn respond(&mut self, response: OutgoingResponse) -> Result<bool, HttpError> {
        let OutgoingResponse { mut head, body } = response;
        let mut out = BytesMut::with_capacity(RESPONSE_HEAD_BYTES + body.len());
        let head = head.message_body(()).map_err(|_| HttpError::ConnectionClosed)?;
        // A body after such a head would be taken for the next response.
        let has_no_body = matches!(head.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let (size, body) = match self.is_head_request || has_no_body {
            true => (BodySize::None, Bytes::new()),
            false => (BodySize::Sized(body.len() as u64), body),
        };
        self.codec.encode(Message::Item((head, size)), &mut out).map_err(|_| HttpError::ConnectionClosed)?;
        out.extend_from_slice(&body);
        while out.has_remaining() {
            match timeout(WRITE_TIMEOUT, self.stream.write_buf(&mut out)).await {
                Ok(Ok(n)) if n > 0 => {}
                _ => return Err(HttpError::ConnectionClosed),
            }
        }
        if !self.codec.keep_alive() {
            self.close_gracefully().await;
            return Ok(false);
        }
        Ok(true)
    }

    /// Closes the connection so that the client gets all that was written: reads on for a while, and drops it.
    pub async fn close_gracefully(&mut self) {
        let _ = self.stream.shutdown().await;
        let _ = timeout(LINGER_TIMEOUT, async {
            let mut dropped = 0;
            while dropped < LINGER_MAX_BYTES {
                self.buffer.clear();
                if self.read_more().await.is_err() {
                    break;
                }
                dropped += self.buffer.len();
            }
        })
        .await;
    }
}

/// A body beyond [`RequestLimits::max_body_bytes`].
const BODY_TOO_LONG: HttpError = HttpError::Rejected(StatusCode::PAYLOAD_TOO_LARGE, "body too long");

/// Whether the request line has a fragment, such as `/a#b`. Clients keep fragments to themselves; the parser drops them,
/// and a worker would get another target than the client sent.
fn has_fragment(bytes: &[u8]) -> bool {
    let start = bytes.iter().position(|b| !matches!(b, b'\r' | b'\n')).unwrap_or(bytes.len());
    let mut request_line = bytes[start..].iter().take_while(|b| **b != b'\n');
    request_line.any(|b| *b == b'#')
}

/// Whether the request line has a path, or the `*` that stands for none. A host alone is for `CONNECT` only.
fn has_target(request: &Request) -> bool {
    let uri = request.uri();
    request.method() == Method::CONNECT || uri.scheme().is_some() || uri.authority().is_none()
}

/// A response to be written.
pub struct OutgoingResponse {
    /// Status and headers.
    pub head: ResponseBuilder,
    /// The complete body.
    pub body: Bytes,
}

/// A response whose body is a text.
pub fn text_response(status: StatusCode, text: &'static str) -> OutgoingResponse {
    OutgoingResponse { head: Response::build(status), body: Bytes::from_static(text.as_bytes()) }
}

/// A response whose body is JSON. A `status` that is no HTTP status becomes 500.
pub fn json_response(status: u16, body: &serde_json::Value) -> OutgoingResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut head = Response::build(status);
    head.insert_header(("content-type", "application/json"));
    OutgoingResponse { head, body: Bytes::from(body.to_string()) }
}

/// Whether a request has this method and path.
pub fn matches_endpoint(request: &Request, method: Method, path: &str) -> bool {
    request.method() == method && request.path() == path
}

#[cfg(test)]
mod tests;
