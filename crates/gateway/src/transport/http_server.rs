//! Owns the server's side of an HTTP connection, on actix-http's codec: whole requests in, whole answers out. It must
//! never know what a request is for.

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

/// After an answer that ends a connection, so much is read and dropped for so long: a connection that is closed over
/// unread bytes is reset, which can cost its client the answer.
const LINGER: (Duration, usize) = (Duration::from_millis(300), 1024 * 1024);
/// A client takes something of an answer within this, again and again until it has all.
const TAKEN_WITHIN: Duration = Duration::from_secs(10);
/// A connection is held open for so much longer than it may rest: its client reckons from when it had the last
/// answer.
const REST_SLACK: Duration = Duration::from_millis(500);
/// A connection that was just opened gets so much time for its first request, also while this process ends.
const FIRST_WITHIN: Duration = Duration::from_secs(1);

/// Bounds on a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// The longest head.
    pub max_head_bytes: usize,
    /// The longest body.
    pub max_body_bytes: usize,
    /// A head is whole within this from its first byte.
    pub head_timeout: Duration,
    /// A body is whole within this.
    pub body_timeout: Duration,
}

/// A whole request.
pub struct ReceivedRequest {
    /// Its head.
    pub head: Request,
    /// Its body; `None`: it has none, which is not the same as an empty one.
    pub body: Option<Bytes>,
    /// Its part of what bodies may take.
    pub reservation: BodyReservation,
}

/// What bodies may take together.
pub struct BodyBudget {
    most: usize,
    used: Cell<usize>,
}

impl BodyBudget {
    /// So many bytes.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(BodyBudget { most, used: Cell::new(0) })
    }

    fn reserve(self: &Rc<Self>, bytes: usize) -> Result<BodyReservation, HttpError> {
        let used = self.used.get().saturating_add(bytes);
        if used > self.most {
            return Err(HttpError::Rejected(
                StatusCode::SERVICE_UNAVAILABLE,
                "no room for the body: not run",
            ));
        }
        self.used.set(used);
        Ok(BodyReservation { room: Rc::clone(self), bytes })
    }
}

/// A part of it, free again when this is dropped.
pub struct BodyReservation {
    room: Rc<BodyBudget>,
    bytes: usize,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.room.used.set(self.room.used.get() - self.bytes);
    }
}

/// Why there is no request.
#[derive(Debug, PartialEq, displaydoc::Display)]
pub enum HttpError {
    /// the connection has ended
    ConnectionClosed,
    /// {0}: {1}
    Rejected(StatusCode, &'static str),
}

/// How connections are served: the same for all.
pub fn service_config() -> ServiceConfig {
    ServiceConfigBuilder::new().keep_alive(KeepAlive::Os).build()
}

/// Is a connection open, with nothing on it to be read? The system itself is asked, as the runtime may not have heard
/// yet of what has just come.
pub fn is_idle(stream: &TcpStream) -> bool {
    let seen = socket2::SockRef::from(stream).peek(&mut [std::mem::MaybeUninit::uninit()]);
    seen.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
}

/// A stream that can be looked at without reading.
pub trait IdleProbe {
    /// Is it open, with nothing on it to be read?
    fn is_idle(&self) -> bool;
}

impl IdleProbe for TcpStream {
    fn is_idle(&self) -> bool {
        is_idle(self)
    }
}

/// How a connection's rest ended.
#[derive(Debug, PartialEq, Eq)]
pub enum IdleOutcome {
    /// A request begins.
    RequestStarted,
    /// The connection has ended, or is to be closed now, with nothing of it unanswered.
    Close,
}

/// A connection that somebody opened.
pub struct Connection<S = TcpStream> {
    stream: S,
    codec: Codec,
    read: BytesMut,
    /// Has any request come on it?
    used: bool,
    /// Does the request that is to be answered want a head only?
    head_only: bool,
}

impl Connection {
    /// Serves this stream.
    pub fn new(stream: TcpStream, config: &ServiceConfig) -> Self {
        let _ = stream.set_nodelay(true);
        Connection::from_stream(stream, config)
    }
}

impl<S: AsyncRead + AsyncWrite + IdleProbe + Unpin> Connection<S> {
    /// Waits for the next request, as long as the connection may rest: `idle` tells how long that is now, and the
    /// longest that it told since the rest began counts. From the moment in `ending` on, none rests that was ever
    /// used.
    pub async fn wait_idle(
        &mut self,
        idle: impl Fn() -> Duration,
        ending: &mut watch::Receiver<Option<std::time::Instant>>,
    ) -> IdleOutcome {
        let since = Instant::now();
        let mut most = idle();
        loop {
            most = most.max(idle());
            let until = since + most + REST_SLACK;
            let last = ending.borrow_and_update().map(Instant::from_std);
            let last = last.map(|end| if self.used { end } else { end.max(since + FIRST_WITHIN) });
            let until = last.map_or(until, |last| until.min(last));
            tokio::select! {
                biased;
                first = self.wait_readable() => return if first.is_ok() { IdleOutcome::RequestStarted } else { IdleOutcome::Close },
                Ok(()) = ending.changed() => {}
                () = tokio::time::sleep_until(until) => {
                    if most < idle() {
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

    /// Has anything been read, or is there anything to be read, that is not answered yet?
    fn is_idle(&self) -> bool {
        self.read.is_empty() && self.stream.is_idle()
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Connection<S> {
    /// Serves this stream.
    pub fn from_stream(stream: S, config: &ServiceConfig) -> Self {
        let codec = Codec::new(config.clone());
        Connection { stream, codec, read: BytesMut::new(), used: false, head_only: false }
    }

    /// Waits for the first byte of a request.
    pub async fn wait_readable(&mut self) -> Result<(), HttpError> {
        while self.read.is_empty() {
            self.more().await?;
        }
        Ok(())
    }

    async fn more(&mut self) -> Result<(), HttpError> {
        self.read.reserve(2048);
        match self.stream.read_buf(&mut self.read).await {
            Ok(0) | Err(_) => Err(HttpError::ConnectionClosed),
            Ok(_) => Ok(()),
        }
    }

    /// The next request, whole.
    pub async fn read_request(
        &mut self,
        bounds: &RequestLimits,
        room: &Rc<BodyBudget>,
    ) -> Result<ReceivedRequest, HttpError> {
        (self.used, self.head_only) = (true, false);
        let late = HttpError::Rejected(StatusCode::REQUEST_TIMEOUT, "not whole in time");
        let head = timeout(bounds.head_timeout, self.head(bounds)).await.map_err(|_| late)??;
        self.head_only = head.method() == Method::HEAD;
        if self.codec.message_type() == MessageType::Stream {
            // A tunnel, whose end nothing tells.
            return Err(HttpError::Rejected(StatusCode::BAD_REQUEST, "no tunnels"));
        }
        let too_long = || HttpError::Rejected(StatusCode::PAYLOAD_TOO_LARGE, "body too long");
        let claimed = head.headers().get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.trim().parse().ok());
        if claimed.is_some_and(|length: u64| length > bounds.max_body_bytes as u64) {
            return Err(too_long());
        }
        if self.codec.message_type() == MessageType::None {
            return Ok(ReceivedRequest {
                body: claimed.map(|_| Bytes::new()),
                head,
                reservation: room.reserve(0)?,
            });
        }
        let mut held = vec![room.reserve(claimed.unwrap_or(0) as usize)?];
        if head.head().expect() {
            let _ = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        }
        let late = HttpError::Rejected(StatusCode::REQUEST_TIMEOUT, "body not whole in time");
        let told = claimed.is_some();
        let reading = self.body(bounds, |bytes| match told {
            true => Ok(()),
            false => room.reserve(bytes).map(|part| held.push(part)),
        });
        let body = timeout(bounds.body_timeout, reading).await.map_err(|_| late)??;
        drop(held);
        Ok(ReceivedRequest { reservation: room.reserve(body.len())?, head, body: Some(body) })
    }

    async fn head(&mut self, bounds: &RequestLimits) -> Result<Request, HttpError> {
        let too_long = HttpError::Rejected(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head too long");
        let odd = || HttpError::Rejected(StatusCode::BAD_REQUEST, "no such target");
        loop {
            if has_fragment(&self.read) {
                return Err(odd());
            }
            match self.codec.decode(&mut self.read) {
                Ok(Some(Message::Item(request))) if !is_whole_target(&request) => return Err(odd()),
                Ok(Some(Message::Item(request))) => return Ok(request),
                Ok(None) if self.read.len() <= bounds.max_head_bytes => self.more().await?,
                Ok(None) | Err(ParseError::TooLarge) => return Err(too_long),
                Ok(Some(Message::Chunk(_))) | Err(_) => {
                    return Err(HttpError::Rejected(StatusCode::BAD_REQUEST, "not HTTP"))
                }
            }
        }
    }

    async fn body(
        &mut self,
        bounds: &RequestLimits,
        mut hold: impl FnMut(usize) -> Result<(), HttpError>,
    ) -> Result<Bytes, HttpError> {
        let mut body = BytesMut::new();
        loop {
            match self.codec.decode(&mut self.read) {
                Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
                Ok(Some(Message::Chunk(Some(chunk)))) if body.len() + chunk.len() > bounds.max_body_bytes => {
                    return Err(HttpError::Rejected(StatusCode::PAYLOAD_TOO_LARGE, "body too long"))
                }
                Ok(Some(Message::Chunk(Some(chunk)))) => {
                    hold(chunk.len())?;
                    body.extend_from_slice(&chunk);
                }
                Ok(None) => self.more().await?,
                Ok(Some(Message::Item(_))) | Err(_) => {
                    return Err(HttpError::Rejected(StatusCode::BAD_REQUEST, "body not whole"))
                }
            }
        }
    }

    /// Resolves when the other side closes. What else it sends meanwhile is kept for later, up to a bound.
    pub async fn client_disconnected(&mut self) {
        while self.read.len() < 65536 {
            if self.more().await.is_err() {
                return;
            }
        }
        std::future::pending().await
    }

    /// Writes an answer. `Ok(true)`: the connection lives on.
    pub async fn respond(&mut self, response: OutgoingResponse) -> Result<bool, HttpError> {
        let OutgoingResponse { mut head, body } = response;
        let mut out = BytesMut::with_capacity(384 + body.len());
        let head = head.message_body(()).map_err(|_| HttpError::ConnectionClosed)?;
        // What follows such a head would be taken for the next answer.
        let bare = matches!(head.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let (size, body) = match self.head_only || bare {
            true => (BodySize::None, Bytes::new()),
            false => (BodySize::Sized(body.len() as u64), body),
        };
        self.codec.encode(Message::Item((head, size)), &mut out).map_err(|_| HttpError::ConnectionClosed)?;
        out.extend_from_slice(&body);
        while out.has_remaining() {
            match timeout(TAKEN_WITHIN, self.stream.write_buf(&mut out)).await {
                Ok(Ok(n)) if n > 0 => {}
                _ => return Err(HttpError::ConnectionClosed),
            }
        }
        if !self.codec.keep_alive() {
            self.linger().await;
            return Ok(false);
        }
        Ok(true)
    }

    /// Ends the connection in order.
    pub async fn linger(&mut self) {
        let _ = self.stream.shutdown().await;
        let _ = timeout(LINGER.0, async {
            let mut dropped = 0;
            while dropped < LINGER.1 {
                self.read.clear();
                if self.more().await.is_err() {
                    break;
                }
                dropped += self.read.len();
            }
        })
        .await;
    }
}

/// Does the first line name a part of what it asks for? Such a name stays with clients; the parser drops it, and another
/// target than the one that was sent would go on.
fn has_fragment(read: &[u8]) -> bool {
    let from = read.iter().position(|b| !matches!(b, b'\r' | b'\n')).unwrap_or(read.len());
    let mut line = read[from..].iter().take_while(|b| **b != b'\n');
    line.any(|b| *b == b'#')
}

/// Is there a path, or the asterisk that stands for none? A host alone is for tunnels only.
fn is_whole_target(request: &Request) -> bool {
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

/// A response with a text.
pub fn text_response(status: StatusCode, text: &'static str) -> OutgoingResponse {
    OutgoingResponse { head: Response::build(status), body: Bytes::from_static(text.as_bytes()) }
}

/// A response in JSON. A number that is no HTTP status becomes 500.
pub fn json_response(status: u16, body: &serde_json::Value) -> OutgoingResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut head = Response::build(status);
    head.insert_header(("content-type", "application/json"));
    OutgoingResponse { head, body: Bytes::from(body.to_string()) }
}

/// Is this method and path the one?
pub fn matches_endpoint(request: &Request, method: Method, path: &str) -> bool {
    request.method() == method && request.path() == path
}

#[cfg(test)]
mod tests;
