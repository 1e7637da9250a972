//! Owns one exchange on a connection to a worker: the request out, the one answer that belongs to it in, and what it
//! means. It must never take for the answer what does not name the request, is not whole, or is no answer at all.

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

/// The longest body of an answer.
const BODY_MOST: usize = 16 * 1024 * 1024;
/// Headers of a response that are not passed on, besides those of its connection: the client gets this edge's own date.
const NOT_FORWARDED: [&str; 1] = ["date"];
/// Headers that are passed on even if `Connection` names them.
const ALWAYS_FORWARDED: [&str; 3] = ["x-attempt-id", "x-server-seal", "x-not-executed"];

/// Why there is no answer.
#[derive(Debug, PartialEq)]
pub enum ExchangeError {
    /// Not a byte of the request went out.
    NotSent,
    /// The connection ended, or broke.
    ConnectionLost,
    /// What came is no answer to be passed on.
    InvalidResponse,
}

impl From<std::io::Error> for ExchangeError {
    fn from(_: std::io::Error) -> Self {
        ExchangeError::ConnectionLost
    }
}

/// The answer to a request.
#[derive(Debug)]
pub struct ExchangeResult {
    /// The answer.
    pub reply: UpstreamResponse,
    /// What the worker said of how long it keeps the connection.
    pub keeps: Option<Duration>,
    /// May another request be sent on the connection? Nothing is unread as far as was heard.
    pub reusable: bool,
}

/// Whose an answer is, by the id that it names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOwner {
    /// This request's.
    ThisRequest,
    /// Another's: it came late, or too often.
    OtherRequest,
    /// It names none, or several.
    Unidentified,
}

/// Whose is the answer with this head, on a connection where the request of this id waits?
pub fn response_owner(head: &ResponseHead, id: &HeaderValue) -> ResponseOwner {
    let mut told = head.headers.get_all("x-attempt-id");
    match (told.next(), told.next()) {
        (Some(told), None) if told.is_empty() => ResponseOwner::Unidentified,
        (Some(told), None) if told == id => ResponseOwner::ThisRequest,
        (Some(_), None) => ResponseOwner::OtherRequest,
        _ => ResponseOwner::Unidentified,
    }
}

/// Can an answer with this head be passed on, or believed, if it is whole? A success has the worker's stamp, is as the
/// client asked for it, and does not say that it has not run.
pub fn is_acceptable(head: &ResponseHead) -> bool {
    let has = |name: &str| head.headers.contains_key(name);
    let good = !head.status.is_success() || has("x-server-seal") && !has("x-not-executed");
    good && !head.headers.contains_key(CONTENT_ENCODING)
}

/// A request as it goes to a worker. `None`: it can't be written.
pub fn encode(
    codec: &mut ClientCodec,
    forward: &ForwardedRequest,
    tenant: Option<&str>,
    worker: &str,
) -> Option<BytesMut> {
    let mut head = RequestHead::default();
    (head.method, head.uri) = (forward.method.clone(), forward.uri.clone());
    head.headers = forward.headers.clone();
    let left = forward.deadline.saturating_duration_since(Instant::now()).as_millis().max(1);
    let set = [("x-remaining-ms", Some(left.to_string())), ("x-target-instance", Some(worker.to_owned()))];
    for (name, value) in set.into_iter().chain([("x-tenant", tenant.map(str::to_owned))]) {
        head.headers.remove(name);
        if let Some(value) = value {
            head.headers.insert(HeaderName::from_static(name), HeaderValue::from_str(&value).ok()?);
        }
    }
    let body = forward.body.clone().unwrap_or_default();
    let size = if forward.body.is_some() { BodySize::Sized(body.len() as u64) } else { BodySize::None };
    let mut out = BytesMut::with_capacity(512 + body.len());
    codec.encode(Message::Item((head.into(), size)), &mut out).ok()?;
    out.extend_from_slice(&body);
    Some(out)
}

/// Sends a request and waits for its whole answer. `written` tells whether any byte of it has gone out, also where this
/// is dropped on its way.
pub async fn exchange<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    codec: ClientCodec,
    mut out: BytesMut,
    id: &HeaderValue,
    written: &Cell<bool>,
) -> Result<ExchangeResult, ExchangeError> {
    let (mut reader, mut writer) = tokio::io::split(stream);
    let mut write = pin!(async {
        while !out.is_empty() {
            match writer.write_buf(&mut out).await {
                Ok(n) if n > 0 => written.set(true),
                _ => return false,
            }
        }
        true
    });
    let mut answer = pin!(receive(codec, &mut reader, id));
    let whole = tokio::select! {
        biased;
        whole = &mut write => whole,
        // A worker may turn a request away before it has read all of it.
        early = &mut answer => {
            let early = early.map(|answered| ExchangeResult { reusable: false, ..answered });
            return if written.get() { early } else { Err(ExchangeError::NotSent) };
        }
    };
    if !written.get() {
        return Err(ExchangeError::NotSent);
    }
    // Of a request that is cut off somewhere the worker may make what it likes; it may have said so.
    let answered = answer.await?;
    Ok(ExchangeResult { reusable: answered.reusable && whole, ..answered })
}

async fn more<R: AsyncRead + Unpin>(stream: &mut R, read: &mut BytesMut) -> Result<(), ExchangeError> {
    read.reserve(4096);
    match stream.read_buf(read).await? {
        0 => Err(ExchangeError::ConnectionLost),
        _ => Ok(()),
    }
}

/// Reads the answer to the request of this id; answers to others that come ahead of it belong to nobody.
async fn receive<R: AsyncRead + Unpin>(
    mut codec: ClientCodec,
    stream: &mut R,
    id: &HeaderValue,
) -> Result<ExchangeResult, ExchangeError> {
    let mut read = BytesMut::with_capacity(2048);
    let mut reusable = true;
    loop {
        let Whole { head, body, clean, codec: back } = one(codec, stream, &mut read).await?;
        codec = back;
        match response_owner(&head, id) {
            ResponseOwner::ThisRequest => {}
            ResponseOwner::OtherRequest if clean => {
                tracing::warn!("a surplus answer of a worker came first");
                reusable = false;
                continue;
            }
            ResponseOwner::OtherRequest => return Err(ExchangeError::InvalidResponse),
            ResponseOwner::Unidentified => {
                tracing::warn!(status = head.status.as_u16(), "an answer of a worker names no request");
                return Err(ExchangeError::InvalidResponse);
            }
        }
        if !is_acceptable(&head) {
            return Err(ExchangeError::InvalidResponse);
        }
        reusable &= codec.keep_alive() && head.version == Version::HTTP_11 && clean && read.is_empty();
        let keeps = head.headers.get("keep-alive").and_then(|v| keep_alive(v.to_str().ok()?));
        let (status, mut headers) = (head.status, head.headers);
        remove_hop_by_hop(&mut headers, &NOT_FORWARDED, &ALWAYS_FORWARDED);
        return Ok(ExchangeResult { reply: UpstreamResponse { status, headers, body }, keeps, reusable });
    }
}

struct Whole {
    head: ResponseHead,
    body: Bytes,
    /// It is clear where it ended.
    clean: bool,
    /// For what comes after it.
    codec: ClientCodec,
}

/// One whole answer.
async fn one<R: AsyncRead + Unpin>(
    mut codec: ClientCodec,
    stream: &mut R,
    read: &mut BytesMut,
) -> Result<Whole, ExchangeError> {
    let mut clean = true;
    let head = loop {
        // Empty lines ahead of a head are passed over; they may be the end of something else.
        clean &= !matches!(read.first(), Some(b'\r' | b'\n'));
        match codec.decode(read).map_err(|_| ExchangeError::InvalidResponse)? {
            None => more(stream, read).await?,
            Some(head) if head.status == StatusCode::SWITCHING_PROTOCOLS => {
                return Err(ExchangeError::InvalidResponse)
            }
            // One that is not final has no body, whatever it says.
            Some(head) if head.status.is_informational() => {
                if codec.message_type() != MessageType::None {
                    return Err(ExchangeError::InvalidResponse);
                }
            }
            Some(head) => break head,
        }
    };
    let lengths = head.headers.get_all(CONTENT_LENGTH).count();
    let mut encodings = head.headers.get_all(TRANSFER_ENCODING);
    let chunked = encodings.next().map(|v| v.as_bytes().eq_ignore_ascii_case(b"chunked"));
    if lengths > 1 || chunked == Some(false) || chunked.is_some() && lengths > 0 || encodings.next().is_some()
    {
        return Err(ExchangeError::InvalidResponse);
    }
    let none = codec.message_type() == MessageType::None;
    if matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        // What may follow one that says how long its body would be can't be told.
        return Ok(Whole { head, body: Bytes::new(), clean: clean && none, codec });
    }
    if chunked.is_none() && lengths == 0 {
        // The end of the connection would be its end: whether it is whole can't be told.
        return Err(ExchangeError::InvalidResponse);
    }
    if none {
        return Ok(Whole { head, body: Bytes::new(), clean, codec });
    }
    let mut payload = codec.into_payload_codec();
    let mut body = BytesMut::new();
    loop {
        match payload.decode(read).map_err(|_| ExchangeError::InvalidResponse)? {
            Some(Some(chunk)) => {
                if body.len() + chunk.len() > BODY_MOST {
                    return Err(ExchangeError::InvalidResponse);
                }
                body.extend_from_slice(&chunk);
            }
            Some(None) => break,
            None => more(stream, read).await?,
        }
    }
    Ok(Whole { head, body: body.freeze(), clean, codec: payload.into_message_codec() })
}

/// Seconds in `Keep-Alive: timeout=5`, less what its roundness may hide.
fn keep_alive(value: &str) -> Option<Duration> {
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: f64 = timeout.trim().parse().ok()?;
    Duration::try_from_secs_f64((seconds - 0.5).max(0.0)).ok()
}

/// What a whole answer means.
pub fn classify(reply: UpstreamResponse) -> AttemptOutcome {
    let misdirected = reply.status == StatusCode::MISDIRECTED_REQUEST;
    if misdirected || reply.headers.contains_key("x-not-executed") {
        return AttemptOutcome { ending: Ending::Full, response: None, misdirected };
    }
    let promise = matches!(reply.status.as_u16(), 408 | 429 | 503);
    let ending = match reply.status.as_u16() {
        200..=499 if !promise => Ending::Ok,
        _ => Ending::Error,
    };
    // Without the worker's word for it such a status would promise what nobody knows.
    AttemptOutcome { ending, response: Some(reply).filter(|_| !promise), misdirected }
}
