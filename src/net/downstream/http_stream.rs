//! The HTTP/1.1 server side of one connection: reads requests within their time limits and writes responses.

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

/// A connection without a request is closed after this.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The same on standby; connections in use are closed by their responses.
const STANDBY_IDLE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time for a request head from its first byte: clients may take 2 s, and the network some more.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// The longest head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Minimum rate of a body, half of the slowest client's...
const MIN_BODY_BYTES_PER_SEC: f64 = 32.0 * 1024.0;
/// ...after an initial wait of this.
const BODY_START_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for a client to take a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a connection is read and discarded before it is closed: one that is closed with unread bytes is
/// reset, which can cost its client the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Bytes that are discarded at the most.
const MAX_LINGER_BYTES: usize = 4 * MAX_BODY_BYTES;
/// Buffer space for each read, in bytes.
const READ_BYTES: usize = 2048;

/// The connection is over: the client closed it, it failed or a time limit expired.
pub(super) struct Disconnected;

/// Why there is no complete request.
pub(super) enum ReadError {
    Disconnected,
    /// The client is to be told what is wrong.
    Invalid(RequestError),
}

impl From<RequestError> for ReadError {
    fn from(error: RequestError) -> Self {
        ReadError::Invalid(error)
    }
}

/// A request with its body.
pub(super) struct IncomingRequest {
    pub(super) head: Request,
    pub(super) body: Bytes,
}

/// A response, and whether the connection may serve further requests after it.
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

/// The HTTP/1.1 server side of one connection.
pub(super) struct HttpStream {
    stream: TcpStream,
    codec: Codec,
    state: watch::Receiver<ServingState>,
    /// Bytes that were read and not decoded yet.
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

    /// Waits for the first byte of a request on a connection that has been idle since then. How long depends on the
    /// serving state and on whether the connection has served a request before.
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
                // Its first request may be on the way.
                ServingState::HandedOver { since } => since.max(idle_since + FIRST_REQUEST_WINDOW),
            };
            tokio::select! {
                biased;
                read = self.stream.read_buf(&mut self.buffer) => {
                    read.ok().filter(|n| *n > 0).ok_or(Disconnected)?;
                }
                Ok(()) = self.state.changed() => {}
                () = sleep_until(deadline.into()) => {
                    if self.is_quiet() || deadline + IDLE_TIMEOUT < Instant::now() {
                        return Err(Disconnected);
                    }
                    tokio::task::yield_now().await;
                }
            }
        }
        Ok(())
    }

    /// Whether the kernel holds no bytes to read. The runtime may not have been notified yet of a request that has
    /// just arrived, and closing the connection over it would lose the request.
    fn is_quiet(&self) -> bool {
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Reads the next request with its body.
    pub(super) async fn read_request(&mut self) -> Result<IncomingRequest, ReadError> {
        let head = within(HEAD_TIMEOUT, self.read_head()).await?;
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
        let body = within(limit, self.read_body()).await?;
        Ok(IncomingRequest { head, body })
    }

    async fn read_head(&mut self) -> Result<Request, ReadError> {
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Item(request))) => return Ok(request),
                Ok(None) if self.buffer.len() < MAX_HEAD_BYTES => self.fill().await?,
                Ok(None) | Err(ParseError::TooLarge) => {
                    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                    return Err(RequestError::new(status, "head too long").into());
                }
                Ok(Some(Message::Chunk(_))) | Err(_) => {
                    return Err(RequestError::bad_request("not HTTP").into())
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
                    return Err(RequestError::bad_request("body not whole").into())
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

    /// Resolves when the client closes its connection. Pipelined bytes are buffered for later, up to the longest
    /// request.
    pub(super) async fn disconnected(&mut self) {
        while self.buffer.len() < MAX_HEAD_BYTES + MAX_BODY_BYTES {
            if self.fill().await.is_err() {
                return;
            }
        }
        std::future::pending().await
    }

    /// Writes a response within its time limit.
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

    /// Whether the connection may serve a further request after the last response.
    pub(super) fn is_keep_alive(&self) -> bool {
        self.codec.keep_alive()
    }

    /// Closes the sending side, then reads and discards for a short time.
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

/// Rejects a part of a request that is not complete within the limit.
async fn within<T>(
    limit: Duration,
    part: impl Future<Output = Result<T, ReadError>>,
) -> Result<T, ReadError> {
    let late = RequestError::new(StatusCode::REQUEST_TIMEOUT, "not whole in time");
    timeout(limit, part).await.unwrap_or(Err(late.into()))
}

fn body_too_long() -> ReadError {
    RequestError::new(StatusCode::PAYLOAD_TOO_LARGE, "body of over 64 KiB").into()
}
