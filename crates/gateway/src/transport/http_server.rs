//! The server side of an HTTP/1.1 connection, built on the codec of actix-http. Complete requests are read and complete
//! responses are written, one at a time. A request that is truncated, late, too long or ambiguous is never returned to
//! the caller.

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

/// Time for which bytes from the client are read and dropped after the final response on a connection. Closing a
/// connection that has unread bytes resets it, and the reset can discard the response before the client reads it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of bytes that are read and dropped within [`LINGER_TIMEOUT`].
const LINGER_MAX_BYTES: usize = 1024 * 1024;
/// Timeout of each single write of a response; a write must accept at least one byte within this time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time added to the idle timeout of a connection. The client starts its own idle timer when it receives the last
/// response, which is later than the start of this timer.
const IDLE_SLACK: Duration = Duration::from_millis(500);
/// Minimum time that a new connection has for its first request, also while this process drains.
const FIRST_REQUEST_GRACE: Duration = Duration::from_secs(1);
/// Maximum number of bytes of pipelined requests that are read ahead while a request is served.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Minimum free capacity of the read buffer before each read, in bytes.
const READ_BYTES: usize = 2048;
/// Initial buffer capacity for the head of a response, in bytes. A longer head makes the buffer grow.
const RESPONSE_HEAD_BYTES: usize = 384;

/// Limits on a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// Maximum length of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum length of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which the request head must be complete, counted from the start of the read.
    pub head_timeout: Duration,
    /// Time within which the request body must be complete, counted from the end of the head.
    pub body_timeout: Duration,
}

/// A complete request.
pub struct ReceivedRequest {
    /// Request line and headers.
    pub head: Request,
    /// The body; `None` if the request has no body, which differs from a body of zero bytes.
    pub body: Option<Bytes>,
    /// The reservation in the [`BodyBudget`]; it must be kept for as long as the body.
    pub reservation: BodyReservation,
}

/// Limits the memory that the bodies of all requests in flight use together.
pub struct BodyBudget {
    max_bytes: usize,
    used_bytes: Cell<usize>,
}

impl BodyBudget {
    /// A budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Rc<Self> {
        Rc::new(BodyBudget { max_bytes, used_bytes: Cell::new(0) })
    }

    /// Reserves memory. Fails with 503 if fewer than `bytes` are free; the request may be retried.
    fn reserve(self: &Rc<Self>, bytes: usize) -> Result<BodyReservation, HttpError> {
        let used_bytes = self.used_bytes.get().saturating_add(bytes);
        if used_bytes > self.max_bytes {
            return Err(HttpError::Rejected(
                StatusCode::SERVICE_UNAVAILABLE,
                "memory for request bodies is exhausted; the request was not executed",
            ));
        }
        self.used_bytes.set(used_bytes);
        Ok(BodyReservation { budget: Rc::clone(self), bytes })
    }
}

/// Memory reserved in a [`BodyBudget`]; it is released on drop.
pub struct BodyReservation {
    budget: Rc<BodyBudget>,
    bytes: usize,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.used_bytes.set(self.budget.used_bytes.get() - self.bytes);
    }
}

/// Failure to read a request or to write a response.
#[derive(Debug, PartialEq, displaydoc::Display)]
pub enum HttpError {
    /// connection closed
    ConnectionClosed,
    /// {0}: {1}
    Rejected(StatusCode, &'static str),
}

impl std::error::Error for HttpError {}

/// The actix-http configuration of all connections.
pub fn service_config() -> ServiceConfig {
    ServiceConfigBuilder::new().keep_alive(KeepAlive::Os).build()
}

/// Whether a connection is open and has no bytes to read. This peeks at the socket because the runtime may not have
/// processed the latest readiness event yet.
pub fn is_idle(stream: &TcpStream) -> bool {
    let peeked = socket2::SockRef::from(stream).peek(&mut [std::mem::MaybeUninit::uninit()]);
    peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

/// A stream that reports, without consuming bytes, whether bytes can be read.
pub trait IdleProbe {
    /// Whether the stream is open and has no bytes to read.
    fn is_idle(&self) -> bool;
}

impl IdleProbe for TcpStream {
    fn is_idle(&self) -> bool {
        is_idle(self)
    }
}

/// The result of waiting for the next request on a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum IdleOutcome {
    /// The first byte of a request has arrived.
    RequestStarted,
    /// The connection has ended or must be closed now. Every request on it has been answered.
    Close,
}

/// A connection that a client opened.
pub struct Connection<S = TcpStream> {
    stream: S,
    codec: Codec,
    /// Bytes that are read but not decoded yet.
    buffer: BytesMut,
    /// Whether a request has been read on this connection.
    has_served: bool,
    /// Whether the current request is a `HEAD`, whose response has no body.
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
    /// Waits for the next request. `idle_timeout` returns the idle timeout of the current configuration; the longest
    /// value since the wait began applies, because the client may not know of a shorter one. Once `closes_at` holds a
    /// time, an idle connection is closed at that time; a connection without a request so far has at least
    /// `FIRST_REQUEST_GRACE`.
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

    /// Whether no byte of a further request has arrived.
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

    /// Waits for the first byte of a request. Fails if the connection closes.
    pub async fn wait_readable(&mut self) -> Result<(), HttpError> {
        while self.buffer.is_empty() {
            self.read_more().await?;
        }
        Ok(())
    }

    /// Reads available bytes into the buffer. Fails if the connection closes.
    async fn read_more(&mut self) -> Result<(), HttpError> {
        self.buffer.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(HttpError::ConnectionClosed),
            Ok(_) => Ok(()),
        }
    }

    /// Reads the next request. The memory for the body is reserved in `budget`: the stated `Content-Length` at once, or
    /// each chunk separately if the length is not known in advance.
    ///
    /// Fails if the connection closes first, if the request is malformed, or if it exceeds `limits` or the budget. After
    /// a failure nothing more can be read on the connection. A rejected request was not executed and may be retried.
    pub async fn read_request(
        &mut self,
        limits: &RequestLimits,
        budget: &Rc<BodyBudget>,
    ) -> Result<ReceivedRequest, HttpError> {
        (self.has_served, self.is_head_request) = (true, false);
        let late = HttpError::Rejected(
            StatusCode::REQUEST_TIMEOUT,
            "request head incomplete when the head timeout expired",
        );
        let head = timeout(limits.head_timeout, self.read_head(limits)).await.map_err(|_| late)??;
        self.is_head_request = head.method() == Method::HEAD;
        if self.codec.message_type() == MessageType::Stream {
            // A tunnel has no end that the server could detect, so no further request can follow.
            return Err(HttpError::Rejected(
                StatusCode::BAD_REQUEST,
                "CONNECT and Upgrade are not supported",
            ));
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
        let late = HttpError::Rejected(
            StatusCode::REQUEST_TIMEOUT,
            "request body incomplete when the body timeout expired",
        );
        let body = timeout(limits.body_timeout, reading).await.map_err(|_| late)??;
        drop(reservations);
        Ok(ReceivedRequest { reservation: budget.reserve(body.len())?, head, body: Some(body) })
    }

    /// Reads the head of a request. Fails with 431 if the head is too long, and with 400 if it is malformed or has an
    /// ambiguous target.
    async fn read_head(&mut self, limits: &RequestLimits) -> Result<Request, HttpError> {
        let too_long = HttpError::Rejected(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "request head exceeds the size limit",
        );
        let bad_target = || {
            HttpError::Rejected(
                StatusCode::BAD_REQUEST,
                "invalid request target: expected a path without a fragment",
            )
        };
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
                    return Err(HttpError::Rejected(
                        StatusCode::BAD_REQUEST,
                        "malformed HTTP/1.1 request head",
                    ))
                }
            }
        }
    }

    /// Reads the body of a request. `reserve` is called with the length of each chunk before the chunk is stored, and its
    /// failure ends the read.
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
                    return Err(HttpError::Rejected(
                        StatusCode::BAD_REQUEST,
                        "malformed request body: invalid chunked encoding",
                    ))
                }
            }
        }
    }

    /// Resolves when the client closes the connection. Pipelined requests are buffered up to `MAX_READ_AHEAD_BYTES`;
    /// once the buffer is full, a disconnect is not detected.
    pub async fn client_disconnected(&mut self) {
        while self.buffer.len() < MAX_READ_AHEAD_BYTES {
            if self.read_more().await.is_err() {
                return;
            }
        }
        std::future::pending().await
    }

    /// Writes the response to the last request read. Returns whether another request may be read on the connection.
    /// Fails if the client does not accept the response; how much of it the client received is then unknown.
    pub async fn respond(&mut self, response: OutgoingResponse) -> Result<bool, HttpError> {
        let OutgoingResponse { mut head, body } = response;
        let mut out = BytesMut::with_capacity(RESPONSE_HEAD_BYTES + body.len());
        let head = head.message_body(()).map_err(|_| HttpError::ConnectionClosed)?;
        // The client would parse a body after such a head as the next response.
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

    /// Closes the connection in such a way that the client receives everything that was written: shuts down the write
    /// side, then reads and drops bytes for up to `LINGER_TIMEOUT`.
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

/// Rejects a body longer than [`RequestLimits::max_body_bytes`].
const BODY_TOO_LONG: HttpError =
    HttpError::Rejected(StatusCode::PAYLOAD_TOO_LARGE, "request body exceeds the size limit");

/// Whether the request line contains a fragment, such as `/a#b`. Clients must not send fragments. The parser removes
/// them, so a worker would receive a different target from the one that the client sent.
fn has_fragment(bytes: &[u8]) -> bool {
    let start = bytes.iter().position(|b| !matches!(b, b'\r' | b'\n')).unwrap_or(bytes.len());
    let mut request_line = bytes[start..].iter().take_while(|b| **b != b'\n');
    request_line.any(|b| *b == b'#')
}

/// Whether the request line has a path or `*`. A target that consists of an authority alone is valid for `CONNECT` only.
fn has_target(request: &Request) -> bool {
    let uri = request.uri();
    request.method() == Method::CONNECT || uri.scheme().is_some() || uri.authority().is_none()
}

/// A response to be written.
pub struct OutgoingResponse {
    /// Status and headers of the response.
    pub head: ResponseBuilder,
    /// The complete body.
    pub body: Bytes,
}

/// A response with a plain-text body.
pub fn text_response(status: StatusCode, text: &'static str) -> OutgoingResponse {
    OutgoingResponse { head: Response::build(status), body: Bytes::from_static(text.as_bytes()) }
}

/// A response with a JSON body. An invalid HTTP `status` becomes 500.
pub fn json_response(status: u16, body: &serde_json::Value) -> OutgoingResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut head = Response::build(status);
    head.insert_header(("content-type", "application/json"));
    OutgoingResponse { head, body: Bytes::from(body.to_string()) }
}

/// Whether a request has the given method and path.
pub fn matches_endpoint(request: &Request, method: Method, path: &str) -> bool {
    request.method() == method && request.path() == path
}

#[cfg(test)]
mod tests;
