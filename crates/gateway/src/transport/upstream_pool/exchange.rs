//! One exchange on a connection to a worker: writes the request, reads the response and classifies the outcome. A
//! response is accepted only if it is complete and repeats the request's `X-Attempt-Id`.

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

/// Maximum length of a response body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Response headers that are removed in addition to the hop-by-hop headers. The edge sets its own `date`.
const NOT_FORWARDED: [&str; 1] = ["date"];
/// Response headers that are forwarded even if `Connection` names them.
const ALWAYS_FORWARDED: [&str; 3] = ["x-attempt-id", "x-server-seal", "x-not-executed"];

/// Initial buffer capacity for the head of a request, in bytes. A longer head makes the buffer grow.
const REQUEST_HEAD_BYTES: usize = 512;
/// Initial capacity of the buffer that a response is read into, in bytes. A longer response makes the buffer grow.
const RESPONSE_BUFFER_BYTES: usize = 2048;
/// Minimum free capacity of the read buffer before each read, in bytes.
const READ_BYTES: usize = 4096;
/// Seconds subtracted from the timeout of a `Keep-Alive` header, which is rounded to whole seconds.
const KEEP_ALIVE_ROUNDING_S: f64 = 0.5;

/// Failure of an exchange. Only [`ExchangeError::NotSent`] guarantees that the worker did not execute the request.
#[derive(Debug, PartialEq, displaydoc::Display)]
pub enum ExchangeError {
    /// request not sent: the connection accepted no byte of it
    NotSent,
    /// connection lost before the response was complete
    ConnectionLost,
    /// upstream response invalid: it can't be forwarded
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
    /// Keep-alive time that the worker announced; `None` if it announced none.
    pub keep_alive: Option<Duration>,
    /// Whether another request may be sent on the connection, which is the case if it has no known unread bytes.
    pub is_reusable: bool,
}

/// The request that a response belongs to, according to its `X-Attempt-Id`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOwner {
    /// The request that is waiting on this connection.
    ThisRequest,
    /// An earlier request: the response is late or a duplicate.
    OtherRequest,
    /// Unknown: the response has no id, an empty one, or several.
    Unidentified,
}

/// Determines the request that a response with this head belongs to, where `id` is the id of the waiting request.
pub fn response_owner(head: &ResponseHead, id: &HeaderValue) -> ResponseOwner {
    let mut named = head.headers.get_all("x-attempt-id");
    match (named.next(), named.next()) {
        (Some(named), None) if named.is_empty() => ResponseOwner::Unidentified,
        (Some(named), None) if named == id => ResponseOwner::ThisRequest,
        (Some(_), None) => ResponseOwner::OtherRequest,
        _ => ResponseOwner::Unidentified,
    }
}

/// Whether a complete response with this head is acceptable. A successful response must carry the worker's
/// `X-Server-Seal` and must not claim with `X-Not-Executed` that the request was not executed. A response with
/// `Content-Encoding` is not acceptable.
pub fn is_acceptable(head: &ResponseHead) -> bool {
    let has = |name: &str| head.headers.contains_key(name);
    let is_consistent = !head.status.is_success() || has("x-server-seal") && !has("x-not-executed");
    is_consistent && !head.headers.contains_key(CONTENT_ENCODING)
}

/// Encodes a request for `worker`; `None` if a header value can't be encoded.
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

/// Writes an encoded request and waits for the complete response to it. `written` is set once any byte is written, and
/// stays valid if the returned future is dropped before it completes.
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
        // A worker may reject a request before it has read the complete request.
        early = &mut response => {
            let early = early.map(|result| ExchangeResult { is_reusable: false, ..result });
            return if written.get() { early } else { Err(ExchangeError::NotSent) };
        }
    };
    if !written.get() {
        return Err(ExchangeError::NotSent);
    }
    // The response is awaited even after a failed write: the worker may have responded to the part that it received.
    let result = response.await?;
    Ok(ExchangeResult { is_reusable: result.is_reusable && is_complete, ..result })
}

/// Reads available bytes into `buffer`. Fails if the connection closes.
async fn read_more<R: AsyncRead + Unpin>(stream: &mut R, buffer: &mut BytesMut) -> Result<(), ExchangeError> {
    buffer.reserve(READ_BYTES);
    match stream.read_buf(buffer).await? {
        0 => Err(ExchangeError::ConnectionLost),
        _ => Ok(()),
    }
}

/// Reads the response to the request with this id. Complete responses to other requests before it are discarded.
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
                tracing::warn!(status, "rejected an upstream response without exactly one X-Attempt-Id");
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

/// A complete response to any request.
struct CompleteResponse {
    head: ResponseHead,
    body: Bytes,
    /// Whether the start and the end of the response in the byte stream are certain.
    is_delimited: bool,
    /// The codec for the next response on the connection.
    codec: ClientCodec,
}

/// Reads one complete response. A response that is delimited only by the end of the connection is invalid, because
/// truncation can't be detected.
async fn read_response<R: AsyncRead + Unpin>(
    mut codec: ClientCodec,
    stream: &mut R,
    buffer: &mut BytesMut,
) -> Result<CompleteResponse, ExchangeError> {
    let (head, is_delimited) = read_final_head(&mut codec, stream, buffer).await?;
    let has_no_body = codec.message_type() == MessageType::None;
    let is_chunked = is_chunked(&head)?;
    if matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        // A 304 may state the length of the body that it omits, so it is uncertain whether a body follows.
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

/// Reads heads until one is not informational (1xx). Returns that head and whether its start in the byte stream is
/// certain.
async fn read_final_head<R: AsyncRead + Unpin>(
    codec: &mut ClientCodec,
    stream: &mut R,
    buffer: &mut BytesMut,
) -> Result<(ResponseHead, bool), ExchangeError> {
    let mut is_delimited = true;
    loop {
        // The codec skips empty lines before a head; they may be the end of another message.
        is_delimited &= !matches!(buffer.first(), Some(b'\r' | b'\n'));
        match codec.decode(buffer).map_err(|_| ExchangeError::InvalidResponse)? {
            None => read_more(stream, buffer).await?,
            Some(head) if head.status == StatusCode::SWITCHING_PROTOCOLS => {
                return Err(ExchangeError::InvalidResponse)
            }
            // An informational response has no body; one that announces a body makes the stream ambiguous.
            Some(head) if head.status.is_informational() => {
                if codec.message_type() != MessageType::None {
                    return Err(ExchangeError::InvalidResponse);
                }
            }
            Some(head) => return Ok((head, is_delimited)),
        }
    }
}

/// Whether a response uses the chunked transfer coding. Fails if its headers contradict each other on its length.
fn is_chunked(head: &ResponseHead) -> Result<bool, ExchangeError> {
    let lengths = head.headers.get_all(CONTENT_LENGTH).count();
    let mut encodings = head.headers.get_all(TRANSFER_ENCODING);
    match (encodings.next(), encodings.next()) {
        (None, _) if lengths <= 1 => Ok(false),
        (Some(only), None) if lengths == 0 && only.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(ExchangeError::InvalidResponse),
    }
}

/// Parses the timeout of a `Keep-Alive` header, such as `timeout=5`, and subtracts [`KEEP_ALIVE_ROUNDING_S`].
fn parse_keep_alive(value: &str) -> Option<Duration> {
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: f64 = timeout.trim().parse().ok()?;
    Duration::try_from_secs_f64((seconds - KEEP_ALIVE_ROUNDING_S).max(0.0)).ok()
}

/// Classifies a complete response. Status 421 or `X-Not-Executed` means that the request was not executed. A 408, 429 or
/// 503 without `X-Not-Executed` is not forwarded, because it would tell the client that the request was not executed.
pub fn classify(response: UpstreamResponse) -> AttemptOutcome {
    let status = response.status.as_u16();
    let misdirected = response.status == StatusCode::MISDIRECTED_REQUEST;
    if misdirected || response.headers.contains_key("x-not-executed") {
        return AttemptOutcome { ending: Ending::Full, response: None, misdirected };
    }
    let implies_not_executed = matches!(status, 408 | 429 | 503);
    let ending = match status {
        200..=499 if !implies_not_executed => Ending::Ok,
        _ => Ending::Error,
    };
    let response = Some(response).filter(|_| !implies_not_executed);
    AttemptOutcome { ending, response, misdirected }
}
