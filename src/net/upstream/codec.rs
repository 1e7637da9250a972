//! HTTP/1.1 codec of upstream connections: encodes a request and reads its response.
//!
//! Only complete responses are accepted. A response that is framed ambiguously, has a body longer than
//! [`MAX_BODY_BYTES`] or is truncated is an error, and its connection is not reused.

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

/// Maximum number of bytes of an invalid response that are logged.
const MAX_LOGGED_BYTES: usize = 200;

/// Encodes a request to a peer, with its `Host` header.
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

/// Reads the final response to a request. Also returns whether the connection may be reused.
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
    // Bytes after a response belong to no request: a later response on this connection could not be matched to its
    // request.
    Ok((response(&head, body), is_reusable && buffer.is_empty()))
}

/// Reads the head of the final response, skipping informational (1xx) responses.
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
                // The peer may not send the final response until the informational one is acknowledged, and the kernel
                // delays acknowledgements by up to 40 ms.
                #[cfg(target_os = "linux")]
                let _ = stream.set_quickack(true);
            }
            Some(head) => return Ok(head),
        }
    }
}

/// Reads a body that is delimited by the close of the connection. A reset of the connection is an error.
async fn read_until_close(stream: &mut TcpStream, mut body: BytesMut) -> Result<Bytes, ExchangeError> {
    while body.len() <= MAX_BODY_BYTES && stream.read_buf(&mut body).await? > 0 {}
    if body.len() > MAX_BODY_BYTES {
        return Err(ExchangeError::InvalidResponse);
    }
    Ok(body.freeze())
}

/// Reads a body that is delimited by `Content-Length` or chunked encoding.
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

/// Reads more bytes of a response. End of file is an error, as the response is truncated.
async fn fill(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<(), ExchangeError> {
    if stream.read_buf(buffer).await? == 0 {
        return Err(ExchangeError::ConnectionLost);
    }
    Ok(())
}

/// Whether a response carries `Connection: close`.
fn announces_close(head: &ResponseHead) -> bool {
    let mut values = head.headers.get_all(header::CONNECTION).filter_map(|v| v.to_str().ok());
    values.any(|v| v.split(',').any(|token| token.trim().eq_ignore_ascii_case("close")))
}

/// Logs an invalid response and returns the error.
fn invalid(error: &dyn std::fmt::Debug, buffer: &BytesMut) -> ExchangeError {
    let read = String::from_utf8_lossy(&buffer[..buffer.len().min(MAX_LOGGED_BYTES)]);
    tracing::debug!(?error, %read, "cannot decode an upstream response");
    ExchangeError::InvalidResponse
}

/// Delimiter of a response body.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BodyFraming {
    ContentLength,
    Chunked,
    /// Neither: no body, or a body that is delimited by the close of the connection.
    UntilClose,
}

impl BodyFraming {
    fn of(head: &ResponseHead) -> Result<Self, ExchangeError> {
        let length = head.headers.get(header::CONTENT_LENGTH);
        let length = length.map(|v| v.to_str().ok().and_then(|v| v.trim().parse::<usize>().ok()));
        match (length, head.headers.contains_key(header::TRANSFER_ENCODING)) {
            // A longer body is rejected unread: a peer may announce several GB and keep sending.
            (Some(Some(length)), false) if length <= MAX_BODY_BYTES => Ok(BodyFraming::ContentLength),
            (None, true) => Ok(BodyFraming::Chunked),
            (None, false) if head.status != StatusCode::OK => Ok(BodyFraming::UntilClose),
            // Only if the peer announced the close: otherwise a truncated body would count as complete.
            (None, false) if announces_close(head) => Ok(BodyFraming::UntilClose),
            (content_length, has_transfer_encoding) => {
                tracing::debug!(
                    ?content_length,
                    has_transfer_encoding,
                    max_body_bytes = MAX_BODY_BYTES,
                    headers = ?head.headers,
                    "upstream response rejected: ambiguous framing, or body longer than the limit"
                );
                Err(ExchangeError::InvalidResponse)
            }
        }
    }
}
