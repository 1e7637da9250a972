//! HTTP/1.1 server side of one client connection: reads requests and writes responses, within time limits.

use super::connection_table::FIRST_REQUEST_WINDOW;
use super::request::RequestError;
use super::serving_state::ServingState;
use crate::net::upstream::MAX_BODY_BYTES;
use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::CONTENT_LENGTH;
use actix_http::{HttpMessage, Request, Response, ResponseBuilder, ServiceConfig, StatusCode};
use bytes::{Bytes, BytesMut};
use std::future::Future;
use std::mem::MaybeUninit;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout};

/// Time without a request after which a connection is closed.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a request after which a connection is closed on standby. Connections in use are closed by their
/// responses.
const STANDBY_IDLE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time limit for a request head, from its first byte: 2 s for the client and 0.5 s for the network.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum length of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Minimum rate of a request body, in bytes per second: half the rate of the slowest client.
const MIN_BODY_BYTES_PER_SEC: f64 = 32.0 * 1024.0;
/// Time added to the limit of a request body, for the arrival of the first bytes.
const BODY_START_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for writing a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for reading and discarding bytes before a connection is closed. The kernel resets a connection that is
/// closed with unread bytes, and the client can lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of bytes discarded before a connection is closed.
const MAX_LINGER_BYTES: usize = 4 * MAX_BODY_BYTES;
/// Minimum buffer space for a read, in bytes.
const READ_BYTES: usize = 2048;

/// Body of the error response when [`HEAD_TIMEOUT`] expires.
const HEAD_TIMEOUT_REASON: &str = "request head not complete within 2.5 s of its first byte";
/// Body of the error response when the time limit of a request body expires.
const BODY_TIMEOUT_REASON: &str =
    "request body not complete within its time limit of 1 s plus 1 s per 32 KiB";

/// The connection has ended: the client closed it, an I/O error occurred or a time limit expired.
pub(super) struct Disconnected;

/// Reason why no complete request was read.
pub(super) enum ReadError {
    Disconnected,
    /// The request is invalid, and the client gets an error response.
    Invalid(RequestError),
}

impl From<RequestError> for ReadError {
    fn from(error: RequestError) -> Self {
        ReadError::Invalid(error)
    }
}

/// Request head and complete body.
pub(super) struct IncomingRequest {
    pub(super) head: Request,
    pub(super) body: Bytes,
}

/// Response, and whether the connection may serve further requests after it.
pub(super) struct OutgoingResponse {
    pub(super) head: ResponseBuilder,
    pub(super) body: Bytes,
    pub(super) keep_alive: bool,
}

impl OutgoingResponse {
    pub(super) fn empty(status: StatusCode) -> Self {
        OutgoingResponse { head: Response::build(status), body: Bytes::new(), keep_alive: true }
    }
}

/// HTTP/1.1 server side of one client connection.
pub(super) struct HttpStream {
    stream: TcpStream,
    codec: Codec,
    state: watch::Receiver<ServingState>,
    /// Bytes read and not decoded yet.
    buffer: BytesMut,
}

impl HttpStream {
    pub(super) fn new(
        stream: TcpStream,
        config: ServiceConfig,
        state: watch::Receiver<ServingState>,
    ) -> Self {
        let codec = Codec::new(config);
        HttpStream { stream, codec, state, buffer: BytesMut::with_capacity(READ_BYTES) }
    }

    /// Waits for the first byte of a request on a connection that is idle since `idle_since`. The time limit depends on
    /// the serving state and on whether the connection has served a request before.
    pub(super) async fn wait_for_request(
        &mut self,
        idle_since: Instant,
        has_served: bool,
    ) -> Result<(), Disconnected> {
        while self.buffer.is_empty() {
            let deadline = match *self.state.borrow_and_update() {
                ServingState::Active | ServingState::Draining => idle_since + IDLE_TIMEOUT,
                ServingState::Standby { since } => idle_since.max(since) + STANDBY_IDLE_TIMEOUT,
                ServingState::HandedOver { since } if has_served => since,
                // The first request of a new connection may be in transit.
                ServingState::HandedOver { since } => since.max(idle_since + FIRST_REQUEST_WINDOW),
            };
            tokio::select! {
                biased;
                read = self.stream.read_buf(&mut self.buffer) => {
                    read.ok().filter(|n| *n > 0).ok_or(Disconnected)?;
                }
                Ok(()) = self.state.changed() => {}
                () = sleep_until(deadline.into()) => {
                    if self.has_no_unread_bytes() || deadline + IDLE_TIMEOUT < Instant::now() {
                        return Err(Disconnected);
                    }
                    tokio::task::yield_now().await;
                }
            }
        }
        Ok(())
    }

    /// Whether the connection is open and the kernel holds no unread bytes. The runtime may not have been notified yet
    /// of a request that has just arrived; closing the connection would lose that request.
    fn has_no_unread_bytes(&self) -> bool {
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Reads the head and the body of the next request, each within its time limit.
    pub(super) async fn read_request(&mut self) -> Result<IncomingRequest, ReadError> {
        let head = with_timeout(HEAD_TIMEOUT, HEAD_TIMEOUT_REASON, self.read_head()).await?;
        let length = head.headers().get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.trim().parse().ok());
        if length.is_some_and(|length: u64| length > MAX_BODY_BYTES as u64) {
            return Err(body_too_long());
        }
        if self.codec.message_type() == MessageType::None {
            return Ok(IncomingRequest { head, body: Bytes::new() });
        }
        if head.head().expect() {
            let _ = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        }
        let max_bytes = length.map_or(MAX_BODY_BYTES as f64, |length| length as f64);
        let limit = BODY_START_TIMEOUT + Duration::from_secs_f64(max_bytes / MIN_BODY_BYTES_PER_SEC);
        let body = with_timeout(limit, BODY_TIMEOUT_REASON, self.read_body()).await?;
        Ok(IncomingRequest { head, body })
    }

    async fn read_head(&mut self) -> Result<Request, ReadError> {
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Item(request))) => return Ok(request),
                Ok(None) if self.buffer.len() < MAX_HEAD_BYTES => self.fill().await?,
                Ok(None) | Err(ParseError::TooLarge) => {
                    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                    return Err(RequestError::new(status, "request head longer than 16 KiB").into());
                }
                Ok(Some(Message::Chunk(_))) | Err(_) => {
                    return Err(RequestError::bad_request("malformed HTTP/1.1 request head").into())
                }
            }
        }
    }

    async fn read_body(&mut self) -> Result<Bytes, ReadError> {
        let mut body = BytesMut::new();
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
                Ok(Some(Message::Chunk(Some(chunk)))) if body.len() + chunk.len() > MAX_BODY_BYTES => {
                    return Err(body_too_long())
                }
                Ok(Some(Message::Chunk(Some(chunk)))) => body.extend_from_slice(&chunk),
                Ok(None) => self.fill().await?,
                Ok(Some(Message::Item(_))) | Err(_) => {
                    return Err(
                        RequestError::bad_request("malformed chunked encoding of the request body").into()
                    )
                }
            }
        }
    }

    async fn fill(&mut self) -> Result<(), ReadError> {
        self.buffer.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(ReadError::Disconnected),
            Ok(_) => Ok(()),
        }
    }

    /// Resolves when the client closes the connection. Pipelined bytes are buffered, up to the maximum length of a
    /// request; beyond it nothing is read, and a disconnect goes unnoticed.
    pub(super) async fn disconnected(&mut self) {
        while self.buffer.len() < MAX_HEAD_BYTES + MAX_BODY_BYTES {
            if self.fill().await.is_err() {
                return;
            }
        }
        std::future::pending().await
    }

    /// Writes a response within [`WRITE_TIMEOUT`].
    pub(super) async fn write(&mut self, response: OutgoingResponse) -> Result<(), Disconnected> {
        timeout(WRITE_TIMEOUT, self.write_all(response)).await.map_err(|_| Disconnected)?
    }

    async fn write_all(&mut self, response: OutgoingResponse) -> Result<(), Disconnected> {
        let OutgoingResponse { mut head, body, .. } = response;
        let mut out = BytesMut::with_capacity(256 + body.len());
        let head = head.message_body(()).map_err(|_| Disconnected)?;
        let size = BodySize::Sized(body.len() as u64);
        self.codec.encode(Message::Item((head, size)), &mut out).map_err(|_| Disconnected)?;
        out.extend_from_slice(&body);
        self.stream.write_all(&out).await.map_err(|_| Disconnected)
    }

    /// Whether the connection may serve further requests after the last response.
    pub(super) fn is_keep_alive(&self) -> bool {
        self.codec.keep_alive()
    }

    /// Shuts down the sending side, then reads and discards bytes until the client closes the connection,
    /// [`LINGER_TIMEOUT`] expires or [`MAX_LINGER_BYTES`] were read.
    pub(super) async fn linger(&mut self) {
        let _ = self.stream.shutdown().await;
        let _ = timeout(LINGER_TIMEOUT, async {
            let mut discarded = 0;
            while discarded < MAX_LINGER_BYTES {
                self.buffer.clear();
                if self.fill().await.is_err() {
                    break;
                }
                discarded += self.buffer.len();
            }
        })
        .await;
    }
}

/// Rejects a request with status 408 and this reason if a part of it is not complete within `limit`.
async fn with_timeout<T>(
    limit: Duration,
    reason: &'static str,
    part: impl Future<Output = Result<T, ReadError>>,
) -> Result<T, ReadError> {
    let timed_out = RequestError::new(StatusCode::REQUEST_TIMEOUT, reason);
    timeout(limit, part).await.unwrap_or(Err(timed_out.into()))
}

fn body_too_long() -> ReadError {
    RequestError::new(StatusCode::PAYLOAD_TOO_LARGE, "request body longer than 64 KiB").into()
}
