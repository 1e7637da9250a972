//! HTTP/1.1 on an upstream connection: encodes one request and reads the one response to it.
//!
//! A response is accepted only as a whole. One that is framed ambiguously, is longer than [`MAX_BODY_BYTES`] or
//! breaks off is an error, and its connection is not reused.

use super::{ExchangeError, Peer, Request, Response, MAX_BODY_BYTES};
use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{self, HeaderValue};
use actix_http::uri::Uri;
use actix_http::{RequestHead, ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Bytes of an invalid response that are logged.
const MAX_LOGGED_BYTES: usize = 200;

/// Encodes a request for a peer.
pub(super) fn encode(
    codec: &mut ClientCodec,
    peer: &Peer,
    request: Request,
) -> Result<BytesMut, ExchangeError> {
    let mut head = RequestHead::default();
    (head.method, head.uri) = (request.method, Uri::from(request.target));
    let host = HeaderValue::from_str(&peer.address.to_string()).map_err(|_| ExchangeError::ConnectionLost)?;
    head.headers.insert(header::HOST, host);
    for (name, value) in request.headers {
        head.headers.insert(name, value);
    }
    let size = match request.body.len() {
        0 => BodySize::None,
        length => BodySize::Sized(length as u64),
    };
    let mut out = BytesMut::with_capacity(512 + request.body.len());
    codec.encode(Message::Item((head.into(), size)), &mut out)?;
    out.extend_from_slice(&request.body);
    Ok(out)
}

/// Reads the one response; also returns whether the connection may be reused.
pub(super) async fn read_response(
    mut codec: ClientCodec,
    stream: &mut TcpStream,
) -> Result<(Response, bool), ExchangeError> {
    let mut buffer = BytesMut::with_capacity(1024);
    let head = read_head(&mut codec, stream, &mut buffer).await?;
    let framing = BodyFraming::of(&head)?;
    let mut is_reusable = codec.keep_alive() && framing != BodyFraming::UntilClose;
    let body = if framing == BodyFraming::UntilClose && head.status == StatusCode::OK {
        read_until_close(stream, std::mem::take(&mut buffer)).await?
    } else if codec.message_type() != MessageType::None {
        let mut codec = codec.into_payload_codec();
        let body = read_framed_body(&mut codec, stream, &mut buffer).await?;
        is_reusable &= codec.keep_alive();
        body
    } else {
        Bytes::new()
    };
    // Bytes after a response belong to no request, and neither does anything that follows on this connection.
    Ok((response(&head, body), is_reusable && buffer.is_empty()))
}

/// Reads the head of the final response, skipping informational ones.
async fn read_head(
    codec: &mut ClientCodec,
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
) -> Result<ResponseHead, ExchangeError> {
    loop {
        match codec.decode(buffer).map_err(|e| invalid(&e, buffer))? {
            None => fill(stream, buffer).await?,
            Some(head) if head.status.is_informational() => {
                let has_body = codec.message_type() != MessageType::None;
                if head.status == StatusCode::SWITCHING_PROTOCOLS || has_body {
                    return Err(ExchangeError::InvalidResponse);
                }
                // The peer may hold the final response back until its informational one is acknowledged, which
                // the kernel would delay by 40 ms.
                #[cfg(target_os = "linux")]
                let _ = stream.set_quickack(true);
            }
            Some(head) => return Ok(head),
        }
    }
}

/// Reads a body that ends with its connection. A reset is no end, and fails.
async fn read_until_close(stream: &mut TcpStream, mut body: BytesMut) -> Result<Bytes, ExchangeError> {
    while body.len() <= MAX_BODY_BYTES && stream.read_buf(&mut body).await? > 0 {}
    if body.len() > MAX_BODY_BYTES {
        return Err(ExchangeError::InvalidResponse);
    }
    Ok(body.freeze())
}

/// Reads a body with a length or in chunks.
async fn read_framed_body(
    codec: &mut ClientPayloadCodec,
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
) -> Result<Bytes, ExchangeError> {
    let mut body = BytesMut::new();
    loop {
        match codec.decode(buffer).map_err(|e| invalid(&e, buffer))? {
            None => fill(stream, buffer).await?,
            Some(None) => return Ok(body.freeze()),
            Some(Some(chunk)) if body.len() + chunk.len() > MAX_BODY_BYTES => {
                return Err(ExchangeError::InvalidResponse)
            }
            Some(Some(chunk)) => body.extend_from_slice(&chunk),
        }
    }
}

fn response(head: &ResponseHead, body: Bytes) -> Response {
    let not_started = head.headers.get("not-started").is_some_and(|v| v.as_bytes() == b"1");
    let usage = head.headers.get("x-meter").and_then(|v| v.to_str().ok()?.trim().parse::<f64>().ok());
    let usage_percent = usage.filter(|percent| percent.is_finite() && *percent >= 0.0);
    Response { status: head.status, not_started, usage_percent, body }
}

/// Reads more of a response. End of file is an error here: a response that is cut off is not complete.
async fn fill(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<(), ExchangeError> {
    if stream.read_buf(buffer).await? == 0 {
        return Err(ExchangeError::ConnectionLost);
    }
    Ok(())
}

/// Whether a response announces that its connection ends with it.
fn announces_close(head: &ResponseHead) -> bool {
    let mut values = head.headers.get_all(header::CONNECTION).filter_map(|v| v.to_str().ok());
    values.any(|v| v.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")))
}

fn invalid(error: &dyn std::fmt::Debug, buffer: &BytesMut) -> ExchangeError {
    let read = String::from_utf8_lossy(&buffer[..buffer.len().min(MAX_LOGGED_BYTES)]);
    tracing::debug!(?error, %read, "invalid upstream response");
    ExchangeError::InvalidResponse
}

/// How a response delimits its body.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BodyFraming {
    ContentLength,
    Chunked,
    /// It has no body, or one that only the end of the connection delimits.
    UntilClose,
}

impl BodyFraming {
    fn of(head: &ResponseHead) -> Result<Self, ExchangeError> {
        let length = head.headers.get(header::CONTENT_LENGTH);
        let length = length.map(|v| v.to_str().ok().and_then(|v| v.trim().parse::<usize>().ok()));
        match (length, head.headers.contains_key(header::TRANSFER_ENCODING)) {
            // A longer body is not read at all: a response once claimed 3 GB and kept sending.
            (Some(Some(length)), false) if length <= MAX_BODY_BYTES => Ok(BodyFraming::ContentLength),
            (None, true) => Ok(BodyFraming::Chunked),
            (None, false) if head.status != StatusCode::OK => Ok(BodyFraming::UntilClose),
            // Only if the peer announced the close: otherwise a broken connection would pass for the end.
            (None, false) if announces_close(head) => Ok(BodyFraming::UntilClose),
            framing => {
                tracing::debug!(?framing, headers = ?head.headers, "upstream response with unusable framing");
                Err(ExchangeError::InvalidResponse)
            }
        }
    }
}
