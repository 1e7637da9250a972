//! One exchange on a connection to a worker: the request out, its response in, and what that means. A response counts
//! only if it is complete and names the request in `X-Attempt-Id`.

use super::{AttemptOutcome, ForwardedRequest, UpstreamResponse};
use crate::transport::remove_hop_by_hop;
use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message, MessageType};
use actix_http::header::{HeaderName, HeaderValue, CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{RequestHead, ResponseHead, StatusCode, Version};
use bytes::{Bytes, BytesMut};
use std::cell::Cell;
use std::pin::pin;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use whinstall::Ending;

/// The longest body of a response: bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Headers of a response that are not passed on, besides those of its connection: the client gets this edge's own date.
const NOT_FORWARDED: [&str; 1] = ["date"];
/// Headers that are passed on even if `Connection` names them.
const ALWAYS_FORWARDED: [&str; 3] = ["x-attempt-id", "x-server-seal", "x-not-executed"];

/// Room for a request's head: bytes. A longer one makes the buffer grow.
const REQUEST_HEAD_BYTES: usize = 512;
/// Room of the buffer that a response is read into: bytes. A longer one makes it grow.
const RESPONSE_BUFFER_BYTES: usize = 2048;
/// Room made in that buffer before each read: bytes.
const READ_BYTES: usize = 4096;
/// What the whole seconds of a `Keep-Alive` header may hide: seconds.
const KEEP_ALIVE_ROUNDING_S: f64 = 0.5;

/// Why there is no response. Only after [`ExchangeError::NotSent`] is it sure that the worker did not run the request.
#[derive(Debug, PartialEq, displaydoc::Display)]
pub enum ExchangeError {
    /// no byte of the request was sent
    NotSent,
    /// the connection ended or broke
    ConnectionLost,
    /// what came is no response that may be passed on
    InvalidResponse,
}

impl std::error::Error for ExchangeError {}

impl From<std::io::Error> for ExchangeError {
    fn from(_: std::io::Error) -> Self {
        ExchangeError::ConnectionLost
    }
}

/// A complete exchange.
#[derive(Debug)]
pub struct ExchangeResult {
    /// The response to the request.
    pub response: UpstreamResponse,
    /// How long the worker keeps the connection, as far as it said so.
    pub keep_alive: Option<Duration>,
    /// Whether another request may be sent on the connection: nothing on it is known to be unread.
    pub is_reusable: bool,
}

/// Which request a response belongs to, by the id that it names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOwner {
    /// The one that waits on the connection.
    ThisRequest,
    /// An earlier one: it came late, or twice.
    OtherRequest,
    /// Unknown: it names none, or several.
    Unidentified,
}

/// Which request a response with this head belongs to, on a connection where the request of this id waits.
pub fn response_owner(head: &ResponseHead, id: &HeaderValue) -> ResponseOwner {
    let mut named = head.headers.get_all("x-attempt-id");
    match (named.next(), named.next()) {
        (Some(named), None) if named.is_empty() => ResponseOwner::Unidentified,
        (Some(named), None) if named == id => ResponseOwner::ThisRequest,
        (Some(_), None) => ResponseOwner::OtherRequest,
        _ => ResponseOwner::Unidentified,
    }
}

/// Whether a complete response with this head may be believed. A success must carry the worker's `X-Server-Seal` and not
/// claim that the request was not run; no response may be encoded, which the client did not ask for.
pub fn is_acceptable(head: &ResponseHead) -> bool {
    let has = |name: &str| head.headers.contains_key(name);
    let is_consistent = !head.status.is_success() || has("x-server-seal") && !has("x-not-executed");
    is_consistent && !head.headers.contains_key(CONTENT_ENCODING)
}

/// Encodes a request for `worker`. `None` if a header value can't be written.
pub fn encode(
    codec: &mut ClientCodec,
    forward: &ForwardedRequest,
    tenant: Option<&str>,
    worker: &str,
) -> Option<BytesMut> {
    let mut head = RequestHead::default();
    (head.method, head.uri) = (forward.method.clone(), forward.uri.clone());
    head.headers = forward.headers.clone();
    let remaining_ms = forward.deadline.saturating_duration_since(Instant::now()).as_millis().max(1);
    for (name, value) in [
        ("x-remaining-ms", Some(remaining_ms.to_string())),
        ("x-target-instance", Some(worker.to_owned())),
        ("x-tenant", tenant.map(str::to_owned)),
    ] {
        head.headers.remove(name);
        if let Some(value) = value {
            head.headers.insert(HeaderName::from_static(name), HeaderValue::from_str(&value).ok()?);
        }
    }
    let body = forward.body.clone().unwrap_or_default();
    let size = if forward.body.is_some() { BodySize::Sized(body.len() as u64) } else { BodySize::None };
    let mut out = BytesMut::with_capacity(REQUEST_HEAD_BYTES + body.len());
    codec.encode(Message::Item((head.into(), size)), &mut out).ok()?;
    out.extend_from_slice(&body);
    Some(out)
}

/// Writes an encoded request and waits for its complete response. `written` is set once any byte has gone out; it is
/// valid also if this is dropped half way.
pub async fn exchange<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    codec: ClientCodec,
    mut request: BytesMut,
    id: &HeaderValue,
    written: &Cell<bool>,
) -> Result<ExchangeResult, ExchangeError> {
    let (mut reader, mut writer) = tokio::io::split(stream);
    let mut write = pin!(async {
        while !request.is_empty() {
            match writer.write_buf(&mut request).await {
                Ok(n) if n > 0 => written.set(true),
                _ => return false,
            }
        }
        true
    });
    let mut response = pin!(receive(codec, &mut reader, id));
    let is_complete = tokio::select! {
        biased;
        is_complete = &mut write => is_complete,
        // A worker may reject a request before it has read all of it.
        early = &mut response => {
            let early = early.map(|result| ExchangeResult { is_reusable: false, ..result });
            return if written.get() { early } else { Err(ExchangeError::NotSent) };
        }
    };
    if !written.get() {
        return Err(ExchangeError::NotSent);
    }
    // Also after a write that broke off: the worker may have responded to the part that it got.
    let result = response.await?;
    Ok(ExchangeResult { is_reusable: result.is_reusable && is_complete, ..result })
}

/// Reads some bytes into `buffer`. Fails if the connection ends.
async fn read_more<R: AsyncRead + Unpin>(stream: &mut R, buffer: &mut BytesMut) -> Result<(), ExchangeError> {
    buffer.reserve(READ_BYTES);
    match stream.read_buf(buffer).await? {
        0 => Err(ExchangeError::ConnectionLost),
        _ => Ok(()),
    }
}

/// Reads the response to the request of this id; complete responses to other requests ahead of it are discarded.
async fn receive<R: AsyncRead + Unpin>(
    mut codec: ClientCodec,
    stream: &mut R,
    id: &HeaderValue,
) -> Result<ExchangeResult, ExchangeError> {
    let mut buffer = BytesMut::with_capacity(RESPONSE_BUFFER_BYTES);
    let mut is_reusable = true;
    let (head, body, is_delimited) = loop {
        let response = read_response(codec, stream, &mut buffer).await?;
        codec = response.codec;
        match response_owner(&response.head, id) {
            ResponseOwner::ThisRequest => break (response.head, response.body, response.is_delimited),
            ResponseOwner::OtherRequest if response.is_delimited => {
                tracing::warn!("discarded an upstream response to another request");
                is_reusable = false;
            }
            ResponseOwner::OtherRequest => return Err(ExchangeError::InvalidResponse),
            ResponseOwner::Unidentified => {
                let status = response.head.status.as_u16();
                tracing::warn!(status, "rejected an upstream response that names no request");
                return Err(ExchangeError::InvalidResponse);
            }
        }
    };
    if !is_acceptable(&head) {
        return Err(ExchangeError::InvalidResponse);
    }
    is_reusable &=
        codec.keep_alive() && head.version == Version::HTTP_11 && is_delimited && buffer.is_empty();
    let keep_alive = head.headers.get("keep-alive").and_then(|v| parse_keep_alive(v.to_str().ok()?));
    let (status, mut headers) = (head.status, head.headers);
    remove_hop_by_hop(&mut headers, &NOT_FORWARDED, &ALWAYS_FORWARDED);
    Ok(ExchangeResult { response: UpstreamResponse { status, headers, body }, keep_alive, is_reusable })
}

/// A complete response, to whichever request.
struct CompleteResponse {
    head: ResponseHead,
    body: Bytes,
    /// Whether it is certain where it began and ended.
    is_delimited: bool,
    /// The codec for the response after it.
    codec: ClientCodec,
}

/// Reads one complete response. One whose end would be the end of the connection is invalid: it may have been cut.
async fn read_response<R: AsyncRead + Unpin>(
    mut codec: ClientCodec,
    stream: &mut R,
    buffer: &mut BytesMut,
) -> Result<CompleteResponse, ExchangeError> {
    let (head, is_delimited) = read_final_head(&mut codec, stream, buffer).await?;
    let has_no_body = codec.message_type() == MessageType::None;
    let is_chunked = is_chunked(&head)?;
    if matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        // A 304 may state the length that a body would have: whether one follows can't be told.
        let is_delimited = is_delimited && has_no_body;
        return Ok(CompleteResponse { head, body: Bytes::new(), is_delimited, codec });
    }
    if !is_chunked && !head.headers.contains_key(CONTENT_LENGTH) {
        return Err(ExchangeError::InvalidResponse);
    }
    if has_no_body {
        return Ok(CompleteResponse { head, body: Bytes::new(), is_delimited, codec });
    }
    let mut payload = codec.into_payload_codec();
    let mut body = BytesMut::new();
    loop {
        match payload.decode(buffer).map_err(|_| ExchangeError::InvalidResponse)? {
            Some(Some(chunk)) => {
                if body.len() + chunk.len() > MAX_BODY_BYTES {
                    return Err(ExchangeError::InvalidResponse);
                }
                body.extend_from_slice(&chunk);
            }
            Some(None) => break,
            None => read_more(stream, buffer).await?,
        }
    }
    let codec = payload.into_message_codec();
    Ok(CompleteResponse { head, body: body.freeze(), is_delimited, codec })
}

/// Reads heads up to one that is not informational (1xx). Returns also whether it is certain where that one began.
async fn read_final_head<R: AsyncRead + Unpin>(
    codec: &mut ClientCodec,
    stream: &mut R,
    buffer: &mut BytesMut,
) -> Result<(ResponseHead, bool), ExchangeError> {
    let mut is_delimited = true;
    loop {
        // Empty lines ahead of a head are skipped; they may be the end of something else.
        is_delimited &= !matches!(buffer.first(), Some(b'\r' | b'\n'));
        match codec.decode(buffer).map_err(|_| ExchangeError::InvalidResponse)? {
            None => read_more(stream, buffer).await?,
            Some(head) if head.status == StatusCode::SWITCHING_PROTOCOLS => {
                return Err(ExchangeError::InvalidResponse)
            }
            // An informational one has no body, whatever it says.
            Some(head) if head.status.is_informational() => {
                if codec.message_type() != MessageType::None {
                    return Err(ExchangeError::InvalidResponse);
                }
            }
            Some(head) => return Ok((head, is_delimited)),
        }
    }
}

/// Whether a response comes in chunks; an error if its headers contradict each other on its length.
fn is_chunked(head: &ResponseHead) -> Result<bool, ExchangeError> {
    let lengths = head.headers.get_all(CONTENT_LENGTH).count();
    let mut encodings = head.headers.get_all(TRANSFER_ENCODING);
    match (encodings.next(), encodings.next()) {
        (None, _) if lengths <= 1 => Ok(false),
        (Some(only), None) if lengths == 0 && only.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(ExchangeError::InvalidResponse),
    }
}

/// The time in `Keep-Alive: timeout=5`, less what its whole seconds may hide.
fn parse_keep_alive(value: &str) -> Option<Duration> {
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: f64 = timeout.trim().parse().ok()?;
    Duration::try_from_secs_f64((seconds - KEEP_ALIVE_ROUNDING_S).max(0.0)).ok()
}

/// What a complete response means. 421 and `X-Not-Executed`: not run. A 408, 429 or 503 without that would promise a
/// client that its request was not run, and is not passed on.
pub fn classify(response: UpstreamResponse) -> AttemptOutcome {
    let status = response.status.as_u16();
    let misdirected = response.status == StatusCode::MISDIRECTED_REQUEST;
    if misdirected || response.headers.contains_key("x-not-executed") {
        return AttemptOutcome { ending: Ending::Full, response: None, misdirected };
    }
    let promises_not_run = matches!(status, 408 | 429 | 503);
    let ending = match status {
        200..=499 if !promises_not_run => Ending::Ok,
        _ => Ending::Error,
    };
    let response = Some(response).filter(|_| !promises_not_run);
    AttemptOutcome { ending, response, misdirected }
}
