//! Tests of an exchange with a worker: responses split, truncated and stalled at every byte, responses to other requests,
//! and invalid responses.

use super::exchange::*;
use super::*;
use actix_codec::{AsyncRead, AsyncWrite, ReadBuf};
use actix_http::HttpMessage;
use googletest::prelude::*;
use std::collections::VecDeque;
use std::future::Future;
use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};

/// The behaviour of a worker's connection after the last scripted piece.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StreamEnd {
    Close,
    Reset,
    Stall,
}

/// A scripted worker connection: the pieces that can be read from it, and the number of bytes that it accepts.
struct ScriptedWorker {
    pieces: VecDeque<Bytes>,
    end: StreamEnd,
    /// Number of bytes that the connection accepts before it breaks.
    accepts_bytes: usize,
    received: Vec<u8>,
}

impl AsyncRead for ScriptedWorker {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        match (self.pieces.pop_front(), self.end) {
            (Some(piece), _) => {
                to.put_slice(&piece);
                Poll::Ready(Ok(()))
            }
            (None, StreamEnd::Close) => Poll::Ready(Ok(())),
            (None, StreamEnd::Reset) => Poll::Ready(Err(Error::from(ErrorKind::ConnectionReset))),
            (None, StreamEnd::Stall) => Poll::Pending,
        }
    }
}

impl AsyncWrite for ScriptedWorker {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        from: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let accepts_bytes = from.len().min(self.accepts_bytes);
        if accepts_bytes == 0 {
            return Poll::Ready(Err(Error::from(ErrorKind::BrokenPipe)));
        }
        self.accepts_bytes -= accepts_bytes;
        self.received.extend_from_slice(&from[..accepts_bytes]);
        Poll::Ready(Ok(accepts_bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

pub fn run_local<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

pub fn forwarded_request(method: Method, body: Option<Bytes>, is_idempotent: bool) -> ForwardedRequest {
    ForwardedRequest {
        method,
        uri: Uri::from_static("/a?b=c"),
        headers: HeaderMap::new(),
        body,
        id: HeaderValue::from_static("id-1"),
        is_idempotent,
        deadline: Instant::now() + Duration::from_secs(60),
    }
}

/// The compared parts of a result: status, body, and whether the connection may be reused.
type Summary = (u16, String, bool);

struct ExchangeRunner {
    config: ServiceConfig,
}

impl ExchangeRunner {
    /// Runs one exchange. `Ok(None)` means that it still waits for the worker.
    fn play(
        &self,
        method: Method,
        pieces: &[&[u8]],
        end: StreamEnd,
    ) -> std::result::Result<Option<Summary>, ExchangeError> {
        let mut worker = ScriptedWorker {
            pieces: pieces.iter().filter(|p| !p.is_empty()).map(|p| Bytes::copy_from_slice(p)).collect(),
            end,
            accepts_bytes: usize::MAX,
            received: Vec::new(),
        };
        let (result, _) = self.send(&forwarded_request(method, None, false), &mut worker);
        result
    }

    fn send(
        &self,
        forward: &ForwardedRequest,
        worker: &mut ScriptedWorker,
    ) -> (std::result::Result<Option<Summary>, ExchangeError>, bool) {
        let mut codec = ClientCodec::new(self.config.clone());
        let out = encode(&mut codec, forward, Some("t1"), "i-1").expect("an encodable request");
        let written = Cell::new(false);
        let result = {
            let mut exchange = std::pin::pin!(exchange(worker, codec, out, &forward.id, &written));
            // All scripted pieces are available at once, so an exchange that is not ready after one poll waits forever.
            exchange.as_mut().poll(&mut Context::from_waker(std::task::Waker::noop()))
        };
        let result = match result {
            Poll::Pending => Ok(None),
            Poll::Ready(Err(error)) => Err(error),
            Poll::Ready(Ok(ExchangeResult { response, is_reusable, .. })) => {
                let body = String::from_utf8_lossy(&response.body).into_owned();
                Ok(Some((response.status.as_u16(), body, is_reusable)))
            }
        };
        (result, written.get())
    }
}

fn with_runner<T>(with: impl FnOnce(ExchangeRunner) -> T) -> T {
    run_local(async { with(ExchangeRunner { config: http_server::service_config() }) })
}

const THIS_REQUEST: &str = "X-Attempt-Id: id-1\r\nX-Server-Seal: s\r\n";
const OTHER_REQUEST: &str = "X-Attempt-Id: id-0\r\nX-Server-Seal: s\r\n";

pub fn good_response() -> String {
    format!("HTTP/1.1 200 OK\r\n{THIS_REQUEST}Content-Length: 6\r\n\r\npapers")
}

pub fn surplus_response() -> String {
    format!("HTTP/1.1 200 OK\r\n{OTHER_REQUEST}Content-Length: 6\r\n\r\nothers")
}

fn chunked(id: &str, body: &str) -> String {
    let (a, b) = body.split_at(2);
    format!("HTTP/1.1 200 OK\r\n{id}Transfer-Encoding: chunked\r\n\r\n2\r\n{a}\r\n4;x=y\r\n{b}\r\n0\r\n\r\n")
}

/// Valid responses to the request with the expected result of each. Some follow responses to other requests.
fn valid_responses() -> Vec<(&'static str, Method, String, Summary)> {
    let seen = |status, body: &str, reusable| (status, body.to_owned(), reusable);
    let get = || Method::GET;
    vec![
        ("a length", get(), good_response(), seen(200, "papers", true)),
        ("chunks", get(), chunked(THIS_REQUEST, "papers"), seen(200, "papers", true)),
        (
            "100 ahead",
            get(),
            "HTTP/1.1 100 Continue\r\n\r\n".to_owned() + &good_response(),
            seen(200, "papers", true),
        ),
        (
            "103 ahead, twice",
            get(),
            "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n".repeat(2) + &good_response(),
            seen(200, "papers", true),
        ),
        ("204", get(), format!("HTTP/1.1 204 No Content\r\n{THIS_REQUEST}\r\n"), seen(204, "", true)),
        (
            "204 with a length",
            get(),
            format!("HTTP/1.1 204 No Content\r\n{THIS_REQUEST}Content-Length: 4\r\n\r\n"),
            seen(204, "", false),
        ),
        ("304", get(), format!("HTTP/1.1 304 Not Modified\r\n{THIS_REQUEST}\r\n"), seen(304, "", true)),
        (
            "304 with a length",
            get(),
            format!("HTTP/1.1 304 Not Modified\r\n{THIS_REQUEST}Content-Length: 9\r\n\r\n"),
            seen(304, "", false),
        ),
        (
            "to HEAD",
            Method::HEAD,
            format!("HTTP/1.1 200 OK\r\n{THIS_REQUEST}Content-Length: 900\r\n\r\n"),
            seen(200, "", true),
        ),
        (
            "empty",
            get(),
            format!("HTTP/1.1 200 OK\r\n{THIS_REQUEST}Content-Length: 0\r\n\r\n"),
            seen(200, "", true),
        ),
        (
            "500",
            get(),
            format!("HTTP/1.1 500 Oops\r\n{THIS_REQUEST}Content-Length: 4\r\n\r\noops"),
            seen(500, "oops", true),
        ),
        (
            "404",
            get(),
            "HTTP/1.1 404 No\r\nX-Attempt-Id: id-1\r\nContent-Length: 2\r\n\r\nno".into(),
            seen(404, "no", true),
        ),
        (
            "421",
            get(),
            "HTTP/1.1 421 No\r\nX-Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n".into(),
            seen(421, "", true),
        ),
        (
            "closing",
            get(),
            good_response().replace("OK\r\n", "OK\r\nConnection: close\r\n"),
            seen(200, "papers", false),
        ),
        ("of HTTP/1.0", get(), good_response().replace("HTTP/1.1", "HTTP/1.0"), seen(200, "papers", false)),
        ("a surplus one first", get(), surplus_response() + &good_response(), seen(200, "papers", false)),
        (
            "surplus chunks first",
            get(),
            chunked(OTHER_REQUEST, "others") + &good_response(),
            seen(200, "papers", false),
        ),
        (
            "two surplus ones first",
            get(),
            surplus_response() + &chunked(OTHER_REQUEST, "others") + &good_response(),
            seen(200, "papers", false),
        ),
        (
            "a surplus rejection first",
            get(),
            "HTTP/1.1 503 Full\r\nX-Attempt-Id: id-0\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                .to_owned()
                + &good_response(),
            seen(200, "papers", false),
        ),
        (
            "100, a surplus one, 100",
            get(),
            format!("HTTP/1.1 100 C\r\n\r\n{}HTTP/1.1 100 C\r\n\r\n{}", surplus_response(), good_response()),
            seen(200, "papers", false),
        ),
    ]
}

#[gtest]
fn only_the_complete_response_to_this_request_is_accepted_at_any_cut() {
    with_runner(|runner| {
        let mut cuts = 0;
        for (what, method, text, seen) in valid_responses() {
            let bytes = text.as_bytes();
            for cut in 0..=bytes.len() {
                for end in [StreamEnd::Close, StreamEnd::Reset, StreamEnd::Stall] {
                    cuts += 2;
                    // The complete response arrives in two pieces.
                    let result = runner.play(method.clone(), &[&bytes[..cut], &bytes[cut..]], end);
                    assert_that!(result, ok(some(eq(&seen))), "{what}, cut at {cut}, {end:?}");
                    // The response is truncated, which is never accepted.
                    let result = runner.play(method.clone(), &[&bytes[..cut]], end);
                    match end {
                        _ if cut == bytes.len() => assert_that!(result, ok(some(eq(&seen)))),
                        StreamEnd::Stall => assert_that!(result, ok(none()), "{what}, stalled at {cut}"),
                        _ => assert_that!(
                            result,
                            err(eq(&ExchangeError::ConnectionLost)),
                            "{what}, {end:?} at {cut}"
                        ),
                    }
                }
                // The complete response arrives in three pieces.
                for second in cut..=bytes.len().min(cut + 40) {
                    cuts += 1;
                    let pieces = [&bytes[..cut], &bytes[cut..second], &bytes[second..]];
                    assert_that!(runner.play(method.clone(), &pieces, StreamEnd::Stall), ok(some(eq(&seen))));
                }
            }
            let single: Vec<&[u8]> = bytes.chunks(1).collect();
            assert_that!(
                runner.play(method.clone(), &single, StreamEnd::Stall),
                ok(some(eq(&seen))),
                "{what}"
            );
            // A connection with further bytes after the response is not reused.
            for suffix in [
                surplus_response(),
                good_response(),
                "\r\n".into(),
                "x".into(),
                "HTTP/1.1 100 C\r\n\r\n".into(),
            ] {
                let all = text.clone() + &suffix;
                let (status, body, _) = seen.clone();
                let result = runner.play(method.clone(), &[all.as_bytes()], StreamEnd::Stall);
                assert_that!(result, ok(some(eq(&(status, body, false)))), "{what}, then {suffix}");
            }
        }
        println!("{} responses, {cuts} splits", valid_responses().len());
    });
}

#[gtest]
fn invalid_responses_are_rejected() {
    let head = |more: &str| format!("HTTP/1.1 200 OK\r\n{more}\r\n");
    let six = "Content-Length: 6\r\n";
    let bad = [
        ("no id", head(&format!("X-Server-Seal: s\r\n{six}")) + "papers"),
        ("an empty id", head(&format!("X-Attempt-Id:\r\nX-Server-Seal: s\r\n{six}")) + "papers"),
        ("two ids", head(&format!("X-Attempt-Id: id-0\r\n{THIS_REQUEST}{six}")) + "papers"),
        (
            "two ids, this request's first",
            head(&format!("{THIS_REQUEST}X-Attempt-Id: id-0\r\n{six}")) + "papers",
        ),
        (
            "an id with a matching prefix",
            head(&format!("X-Attempt-Id: id-11\r\nX-Server-Seal: s\r\n{six}")) + "papers",
        ),
        ("no seal", head(&format!("X-Attempt-Id: id-1\r\n{six}")) + "papers"),
        (
            "a success with X-Not-Executed",
            head(&format!("{THIS_REQUEST}X-Not-Executed: 1\r\n{six}")) + "papers",
        ),
        (
            "a rejection without an id",
            "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".into(),
        ),
        ("a 421 without an id", "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n".into()),
        ("encoded", head(&format!("{THIS_REQUEST}Content-Encoding: gzip\r\n{six}")) + "papers"),
        ("no length", head(THIS_REQUEST) + "papers"),
        ("no length in HTTP/1.0", head(THIS_REQUEST).replace("HTTP/1.1", "HTTP/1.0") + "papers"),
        ("two lengths", head(&format!("{THIS_REQUEST}{six}{six}")) + "papers"),
        ("two other lengths", head(&format!("{THIS_REQUEST}{six}Content-Length: 3\r\n")) + "papers"),
        ("a bad length", head(&format!("{THIS_REQUEST}Content-Length: six\r\n")) + "papers"),
        (
            "a length and chunks",
            head(&format!("{THIS_REQUEST}{six}Transfer-Encoding: chunked\r\n")) + "6\r\npapers\r\n0\r\n\r\n",
        ),
        ("other coding", head(&format!("{THIS_REQUEST}Transfer-Encoding: gzip\r\n")) + "papers"),
        (
            "two codings",
            head(&format!("{THIS_REQUEST}Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"))
                + "0\r\n\r\n",
        ),
        (
            "a bad chunk",
            head(&format!("{THIS_REQUEST}Transfer-Encoding: chunked\r\n")) + "zz\r\npapers\r\n0\r\n\r\n",
        ),
        (
            "a longer chunk",
            head(&format!("{THIS_REQUEST}Transfer-Encoding: chunked\r\n")) + "2\r\npapers\r\n0\r\n\r\n",
        ),
        ("another protocol", format!("HTTP/1.1 101 Up\r\n{THIS_REQUEST}\r\n") + &good_response()),
        (
            "100 with a body",
            "HTTP/1.1 100 C\r\nContent-Length: 6\r\n\r\nothers".to_owned() + &good_response(),
        ),
        (
            "a surplus 304 with a length",
            format!("HTTP/1.1 304 N\r\n{OTHER_REQUEST}Content-Length: 6\r\n\r\n") + &good_response(),
        ),
        (
            "a surplus one without a length",
            format!("HTTP/1.1 200 OK\r\n{OTHER_REQUEST}\r\n") + &good_response(),
        ),
        ("the rest of a body", "ers".to_owned() + &good_response()),
        ("the rest of a head", format!("Seal: s\r\n{six}\r\npapers") + &good_response()),
        ("nonsense", "nonsense\r\n\r\n".into()),
        ("binary", "\0\u{1}\u{2}\r\n\r\n".into()),
        ("HTTP/2", "HTTP/2.0 200 OK\r\n\r\n".into()),
        ("no such status", good_response().replace("200", "099")),
    ];
    with_runner(|runner| {
        let mut cuts = 0;
        for (what, text) in &bad {
            let bytes = text.as_bytes();
            for cut in 0..=bytes.len() {
                for end in [StreamEnd::Close, StreamEnd::Reset, StreamEnd::Stall] {
                    cuts += 2;
                    let result = runner.play(Method::GET, &[&bytes[..cut], &bytes[cut..]], end);
                    match end {
                        StreamEnd::Stall => {
                            assert_that!(result, not(ok(some(anything()))), "{what}, cut at {cut}")
                        }
                        _ => assert_that!(result, err(anything()), "{what}, cut at {cut}, {end:?}"),
                    }
                    let result = runner.play(Method::GET, &[&bytes[..cut]], end);
                    assert_that!(result, not(ok(some(anything()))), "{what}, {end:?} at {cut}");
                }
            }
        }
        println!("{} invalid responses, {cuts} splits", bad.len());
    });
}

#[gtest]
fn surplus_bytes_never_reach_the_next_request() {
    // The rest of a response to the previous request, from each of its bytes on, precedes the response to this request.
    with_runner(|runner| {
        let mut cuts = 0;
        for left in [
            surplus_response(),
            chunked(OTHER_REQUEST, "others"),
            "HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno".into(),
        ] {
            for from in 0..left.len() {
                cuts += 1;
                let all = left[from..].to_owned() + &good_response();
                let result = runner.play(Method::GET, &[all.as_bytes()], StreamEnd::Close);
                let is_expected =
                    result.as_ref().is_ok_and(|t| t.as_ref().is_some_and(|t| t.1 == "papers" && !t.2));
                assert_that!(is_expected || result.is_err(), eq(true), "{result:?} from {from} of {left}");
            }
        }
        println!("{cuts} positions");
    });
}

#[gtest]
fn a_request_is_written_once_and_counts_as_sent_from_its_first_byte() {
    with_runner(|runner| {
        let forward = forwarded_request(Method::POST, Some(Bytes::from_static(b"form-42")), false);
        let worker = |accepts_bytes, pieces: String| ScriptedWorker {
            pieces: VecDeque::from([Bytes::from(pieces)]),
            end: StreamEnd::Reset,
            accepts_bytes,
            received: Vec::new(),
        };
        let mut complete = worker(usize::MAX, good_response());
        expect_that!(runner.send(&forward, &mut complete).0, ok(some(eq(&(200, "papers".into(), true)))));
        let text = String::from_utf8_lossy(&complete.received).to_ascii_lowercase();
        expect_that!(text, starts_with("post /a?b=c http/1.1\r\n"));
        expect_that!(text, ends_with("\r\n\r\nform-42"));
        let rejection =
            "HTTP/1.1 503 Full\r\nX-Attempt-Id: id-1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        for accepts_bytes in 0..complete.received.len() {
            let mut cut = worker(accepts_bytes, String::new());
            let (result, written) = runner.send(&forward, &mut cut);
            let expected =
                if accepts_bytes == 0 { ExchangeError::NotSent } else { ExchangeError::ConnectionLost };
            expect_that!(result, err(eq(&expected)), "{accepts_bytes}");
            expect_that!((written, cut.received.len()), eq((accepts_bytes > 0, accepts_bytes)));
            // A rejection that the worker sends before it has read the complete request is received.
            let mut cut = worker(accepts_bytes, rejection.into());
            let (result, _) = runner.send(&forward, &mut cut);
            match accepts_bytes {
                0 => expect_that!(result, err(eq(&ExchangeError::NotSent))),
                _ => expect_that!(result, ok(some(eq(&(503, String::new(), false))))),
            }
        }
        println!("{} positions", complete.received.len());
    });
}

#[gtest]
fn an_endless_head_is_rejected_within_a_memory_bound() {
    with_runner(|runner| {
        let line = "X-Long: 0123456789abcdef\r\n".repeat(40);
        let mut pieces = vec![b"HTTP/1.1 200 OK\r\n".as_slice()];
        pieces.extend(std::iter::repeat_n(line.as_bytes(), 1000));
        expect_that!(
            runner.play(Method::GET, &pieces, StreamEnd::Stall),
            err(eq(&ExchangeError::InvalidResponse))
        );
    });
}

/// Guards against a worker executing a request that differs from the client's. Method, target and headers are forwarded
/// byte for byte, or the request is rejected.
#[gtest]
fn a_request_reaches_the_worker_unchanged_or_not_at_all() {
    let targets = [
        "/",
        "/a",
        "/a/",
        "/a?",
        "/a?b",
        "/a?b=c&b=d",
        "/a?b=c?d",
        "/a//b///",
        "/a/../b/./c",
        "/%2e%2E/%00%ff",
        "/a;v=1,2",
        "/a+b%20c",
        "/~a/-_.!*'():@",
        "/a?x[]=1&y={z}|^`",
        "/a?q=\"s\"",
        "/\u{e4}",
        "/a?\u{e4}=\u{20ac}",
        "/a#b",
        "//a/b",
        "/a\\b",
        "*",
        "http://h/a?b",
        "/a?b#c",
        "a",
    ];
    let (mut passed, mut rejected) = (0, Vec::new());
    for method in ["GET", "POST", "PURGE", "get", "M-SEARCH", "OPTIONS"] {
        for target in targets {
            let text = format!(
                "{method} {target} HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nx-b: \t two  words\r\nX-A: 2\r\n\r\n"
            );
            let result = run_local(async {
                let (mut client, server) = tokio::io::duplex(1 << 16);
                let mut connection =
                    http_server::Connection::from_stream(server, &http_server::service_config());
                tokio::io::AsyncWriteExt::write_all(&mut client, text.as_bytes()).await.expect("taken");
                let second = Duration::from_secs(1);
                let bounds = http_server::RequestLimits {
                    max_head_bytes: 4096,
                    max_body_bytes: 64,
                    head_timeout: second,
                    body_timeout: second,
                };
                let request =
                    connection.read_request(&bounds, &http_server::BodyBudget::new(4096)).await.ok()?;
                let (method, uri) = (request.head.method().clone(), request.head.uri().clone());
                let headers = request.head.headers().clone();
                let forward = ForwardedRequest { uri, headers, ..forwarded_request(method, None, false) };
                encode(&mut ClientCodec::new(http_server::service_config()), &forward, None, "i-1")
            });
            let Some(result) = result else {
                rejected.push(target);
                continue;
            };
            let result = String::from_utf8_lossy(&result).into_owned();
            let lines: Vec<&str> = result.lines().collect();
            // An absolute target has a scheme and a host before the path.
            let path = target.strip_prefix("http://h").unwrap_or(target);
            expect_that!(lines[0], eq(&*format!("{method} {path} HTTP/1.1")), "{target}");
            let of = |name: &str| {
                let named = lines
                    .iter()
                    .filter_map(|l| l.split_once(": "))
                    .filter(|l| l.0.eq_ignore_ascii_case(name));
                named.map(|l| l.1.to_owned()).collect::<Vec<_>>()
            };
            expect_that!(of("x-a"), elements_are![eq("1"), eq("2")]);
            expect_that!(of("x-b"), elements_are![eq("two  words")]);
            passed += 1;
        }
    }
    rejected.sort_unstable();
    rejected.dedup();
    expect_that!(passed, eq(6 * 18));
    let unsupported = ["/a#b", "/a?b#c", "/a?q=\"s\"", "/a?\u{e4}=\u{20ac}", "/\u{e4}", "a"];
    expect_that!(rejected, eq(&unsupported));
}
