//! Answers of workers cut, ended and silent at every byte, surplus ones, and what is no answer at all.

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

/// How what a worker says ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Close,
    Reset,
    Silence,
}

/// A worker's side as it is told to be: what can be read, piece by piece, and how much it takes.
struct Scripted {
    says: VecDeque<Bytes>,
    end: End,
    /// Bytes that are taken before it breaks.
    takes: usize,
    took: Vec<u8>,
}

impl AsyncRead for Scripted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        match (self.says.pop_front(), self.end) {
            (Some(piece), _) => {
                to.put_slice(&piece);
                Poll::Ready(Ok(()))
            }
            (None, End::Close) => Poll::Ready(Ok(())),
            (None, End::Reset) => Poll::Ready(Err(Error::from(ErrorKind::ConnectionReset))),
            (None, End::Silence) => Poll::Pending,
        }
    }
}

impl AsyncWrite for Scripted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        from: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let takes = from.len().min(self.takes);
        if takes == 0 {
            return Poll::Ready(Err(Error::from(ErrorKind::BrokenPipe)));
        }
        self.takes -= takes;
        self.took.extend_from_slice(&from[..takes]);
        Poll::Ready(Ok(takes))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

pub fn local<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

pub fn forward(method: Method, body: Option<Bytes>, repeatable: bool) -> ForwardedRequest {
    ForwardedRequest {
        method,
        uri: Uri::from_static("/a?b=c"),
        headers: HeaderMap::new(),
        body,
        id: HeaderValue::from_static("id-1"),
        is_idempotent: repeatable,
        deadline: Instant::now() + Duration::from_secs(60),
    }
}

/// What is compared of an answer: status, body, may the connection be used again?
type Seen = (u16, String, bool);

struct Player {
    config: ServiceConfig,
}

impl Player {
    /// The outcome of one exchange; `Ok(None)`: it still waits.
    fn play(
        &self,
        method: Method,
        says: &[&[u8]],
        end: End,
    ) -> std::result::Result<Option<Seen>, ExchangeError> {
        let mut worker = Scripted {
            says: says.iter().filter(|p| !p.is_empty()).map(|p| Bytes::copy_from_slice(p)).collect(),
            end,
            takes: usize::MAX,
            took: Vec::new(),
        };
        let (told, _) = self.send(&forward(method, None, false), &mut worker);
        told
    }

    fn send(
        &self,
        forward: &ForwardedRequest,
        worker: &mut Scripted,
    ) -> (std::result::Result<Option<Seen>, ExchangeError>, bool) {
        let mut codec = ClientCodec::new(self.config.clone());
        let out = encode(&mut codec, forward, Some("t1"), "i-1").expect("it can be written");
        let written = Cell::new(false);
        let told = {
            let mut exchange = std::pin::pin!(exchange(worker, codec, out, &forward.id, &written));
            // What is scripted is there at once: what is not ready after this waits for ever.
            exchange.as_mut().poll(&mut Context::from_waker(std::task::Waker::noop()))
        };
        let told = match told {
            Poll::Pending => Ok(None),
            Poll::Ready(Err(broken)) => Err(broken),
            Poll::Ready(Ok(ExchangeResult { response, is_reusable, .. })) => {
                let body = String::from_utf8_lossy(&response.body).into_owned();
                Ok(Some((response.status.as_u16(), body, is_reusable)))
            }
        };
        (told, written.get())
    }
}

fn player<T>(with: impl FnOnce(Player) -> T) -> T {
    local(async { with(Player { config: http_server::service_config() }) })
}

const OURS: &str = "X-Attempt-Id: id-1\r\nX-Server-Seal: s\r\n";
const OTHERS: &str = "X-Attempt-Id: id-0\r\nX-Server-Seal: s\r\n";

pub fn good() -> String {
    format!("HTTP/1.1 200 OK\r\n{OURS}Content-Length: 6\r\n\r\npapers")
}

pub fn surplus() -> String {
    format!("HTTP/1.1 200 OK\r\n{OTHERS}Content-Length: 6\r\n\r\nothers")
}

fn chunked(id: &str, body: &str) -> String {
    let (a, b) = body.split_at(2);
    format!("HTTP/1.1 200 OK\r\n{id}Transfer-Encoding: chunked\r\n\r\n2\r\n{a}\r\n4;x=y\r\n{b}\r\n0\r\n\r\n")
}

/// What a worker says up to the end of the answer that belongs to the request, and what is to be seen of it.
fn answers() -> Vec<(&'static str, Method, String, Seen)> {
    let seen = |status, body: &str, reusable| (status, body.to_owned(), reusable);
    let get = || Method::GET;
    vec![
        ("a length", get(), good(), seen(200, "papers", true)),
        ("chunks", get(), chunked(OURS, "papers"), seen(200, "papers", true)),
        ("100 ahead", get(), "HTTP/1.1 100 Continue\r\n\r\n".to_owned() + &good(), seen(200, "papers", true)),
        (
            "103 ahead, twice",
            get(),
            "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n".repeat(2) + &good(),
            seen(200, "papers", true),
        ),
        ("204", get(), format!("HTTP/1.1 204 No Content\r\n{OURS}\r\n"), seen(204, "", true)),
        (
            "204 with a length",
            get(),
            format!("HTTP/1.1 204 No Content\r\n{OURS}Content-Length: 4\r\n\r\n"),
            seen(204, "", false),
        ),
        ("304", get(), format!("HTTP/1.1 304 Not Modified\r\n{OURS}\r\n"), seen(304, "", true)),
        (
            "304 with a length",
            get(),
            format!("HTTP/1.1 304 Not Modified\r\n{OURS}Content-Length: 9\r\n\r\n"),
            seen(304, "", false),
        ),
        (
            "to HEAD",
            Method::HEAD,
            format!("HTTP/1.1 200 OK\r\n{OURS}Content-Length: 900\r\n\r\n"),
            seen(200, "", true),
        ),
        ("empty", get(), format!("HTTP/1.1 200 OK\r\n{OURS}Content-Length: 0\r\n\r\n"), seen(200, "", true)),
        (
            "500",
            get(),
            format!("HTTP/1.1 500 Oops\r\n{OURS}Content-Length: 4\r\n\r\noops"),
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
            good().replace("OK\r\n", "OK\r\nConnection: close\r\n"),
            seen(200, "papers", false),
        ),
        ("of HTTP/1.0", get(), good().replace("HTTP/1.1", "HTTP/1.0"), seen(200, "papers", false)),
        ("a surplus one first", get(), surplus() + &good(), seen(200, "papers", false)),
        ("surplus chunks first", get(), chunked(OTHERS, "others") + &good(), seen(200, "papers", false)),
        (
            "two surplus ones first",
            get(),
            surplus() + &chunked(OTHERS, "others") + &good(),
            seen(200, "papers", false),
        ),
        (
            "a surplus refusal first",
            get(),
            "HTTP/1.1 503 Full\r\nX-Attempt-Id: id-0\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                .to_owned()
                + &good(),
            seen(200, "papers", false),
        ),
        (
            "100, a surplus one, 100",
            get(),
            format!("HTTP/1.1 100 C\r\n\r\n{}HTTP/1.1 100 C\r\n\r\n{}", surplus(), good()),
            seen(200, "papers", false),
        ),
    ]
}

#[gtest]
fn only_the_whole_answer_to_this_request_is_taken_wherever_it_is_cut_or_ends() {
    player(|player| {
        let mut cuts = 0;
        for (what, method, text, seen) in answers() {
            let bytes = text.as_bytes();
            for cut in 0..=bytes.len() {
                for end in [End::Close, End::Reset, End::Silence] {
                    cuts += 2;
                    // Whole, in two pieces...
                    let told = player.play(method.clone(), &[&bytes[..cut], &bytes[cut..]], end);
                    assert_that!(told, ok(some(eq(&seen))), "{what}, cut at {cut}, {end:?}");
                    // ...and ended before its end: never an answer.
                    let told = player.play(method.clone(), &[&bytes[..cut]], end);
                    match end {
                        _ if cut == bytes.len() => assert_that!(told, ok(some(eq(&seen)))),
                        End::Silence => assert_that!(told, ok(none()), "{what}, silent at {cut}"),
                        _ => assert_that!(
                            told,
                            err(eq(&ExchangeError::ConnectionLost)),
                            "{what}, {end:?} at {cut}"
                        ),
                    }
                }
                // In three pieces.
                for second in cut..=bytes.len().min(cut + 40) {
                    cuts += 1;
                    let pieces = [&bytes[..cut], &bytes[cut..second], &bytes[second..]];
                    assert_that!(player.play(method.clone(), &pieces, End::Silence), ok(some(eq(&seen))));
                }
            }
            let single: Vec<&[u8]> = bytes.chunks(1).collect();
            assert_that!(player.play(method.clone(), &single, End::Silence), ok(some(eq(&seen))), "{what}");
            // Whatever comes close behind it is not unread on a connection that is used again.
            for behind in [surplus(), good(), "\r\n".into(), "x".into(), "HTTP/1.1 100 C\r\n\r\n".into()] {
                let all = text.clone() + &behind;
                let (status, body, _) = seen.clone();
                let told = player.play(method.clone(), &[all.as_bytes()], End::Silence);
                assert_that!(told, ok(some(eq(&(status, body, false)))), "{what}, then {behind}");
            }
        }
        println!("{} answers, {cuts} cuts", answers().len());
    });
}

#[gtest]
fn what_is_no_answer_to_this_request_is_never_one() {
    let head = |more: &str| format!("HTTP/1.1 200 OK\r\n{more}\r\n");
    let six = "Content-Length: 6\r\n";
    let bad = [
        ("no id", head(&format!("X-Server-Seal: s\r\n{six}")) + "papers"),
        ("an empty id", head(&format!("X-Attempt-Id:\r\nX-Server-Seal: s\r\n{six}")) + "papers"),
        ("two ids", head(&format!("X-Attempt-Id: id-0\r\n{OURS}{six}")) + "papers"),
        ("two ids, ours first", head(&format!("{OURS}X-Attempt-Id: id-0\r\n{six}")) + "papers"),
        ("more than our id", head(&format!("X-Attempt-Id: id-11\r\nX-Server-Seal: s\r\n{six}")) + "papers"),
        ("no stamp", head(&format!("X-Attempt-Id: id-1\r\n{six}")) + "papers"),
        ("not run and yet well", head(&format!("{OURS}X-Not-Executed: 1\r\n{six}")) + "papers"),
        ("a refusal of nobody", "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".into()),
        ("a 421 of nobody", "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n".into()),
        ("encoded", head(&format!("{OURS}Content-Encoding: gzip\r\n{six}")) + "papers"),
        ("no length", head(OURS) + "papers"),
        ("no length in HTTP/1.0", head(OURS).replace("HTTP/1.1", "HTTP/1.0") + "papers"),
        ("two lengths", head(&format!("{OURS}{six}{six}")) + "papers"),
        ("two other lengths", head(&format!("{OURS}{six}Content-Length: 3\r\n")) + "papers"),
        ("a bad length", head(&format!("{OURS}Content-Length: six\r\n")) + "papers"),
        (
            "a length and chunks",
            head(&format!("{OURS}{six}Transfer-Encoding: chunked\r\n")) + "6\r\npapers\r\n0\r\n\r\n",
        ),
        ("other coding", head(&format!("{OURS}Transfer-Encoding: gzip\r\n")) + "papers"),
        (
            "two codings",
            head(&format!("{OURS}Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"))
                + "0\r\n\r\n",
        ),
        ("a bad chunk", head(&format!("{OURS}Transfer-Encoding: chunked\r\n")) + "zz\r\npapers\r\n0\r\n\r\n"),
        (
            "a longer chunk",
            head(&format!("{OURS}Transfer-Encoding: chunked\r\n")) + "2\r\npapers\r\n0\r\n\r\n",
        ),
        ("another protocol", format!("HTTP/1.1 101 Up\r\n{OURS}\r\n") + &good()),
        ("100 with a body", "HTTP/1.1 100 C\r\nContent-Length: 6\r\n\r\nothers".to_owned() + &good()),
        (
            "a surplus 304 with a length",
            format!("HTTP/1.1 304 N\r\n{OTHERS}Content-Length: 6\r\n\r\n") + &good(),
        ),
        ("a surplus one without a length", format!("HTTP/1.1 200 OK\r\n{OTHERS}\r\n") + &good()),
        ("bytes left by another", "ers".to_owned() + &good()),
        ("the rest of a head", format!("Seal: s\r\n{six}\r\npapers") + &good()),
        ("nonsense", "nonsense\r\n\r\n".into()),
        ("binary", "\0\u{1}\u{2}\r\n\r\n".into()),
        ("HTTP/2", "HTTP/2.0 200 OK\r\n\r\n".into()),
        ("no such status", good().replace("200", "099")),
    ];
    player(|player| {
        let mut cuts = 0;
        for (what, text) in &bad {
            let bytes = text.as_bytes();
            for cut in 0..=bytes.len() {
                for end in [End::Close, End::Reset, End::Silence] {
                    cuts += 2;
                    let told = player.play(Method::GET, &[&bytes[..cut], &bytes[cut..]], end);
                    match end {
                        End::Silence => assert_that!(told, not(ok(some(anything()))), "{what}, cut at {cut}"),
                        _ => assert_that!(told, err(anything()), "{what}, cut at {cut}, {end:?}"),
                    }
                    let told = player.play(Method::GET, &[&bytes[..cut]], end);
                    assert_that!(told, not(ok(some(anything()))), "{what}, {end:?} at {cut}");
                }
            }
        }
        println!("{} that are none, {cuts} cuts", bad.len());
    });
}

#[gtest]
fn a_longer_or_surplus_answer_never_reaches_into_the_next_request() {
    // What was left on a connection by the request before, at each byte of it, and then our answer.
    player(|player| {
        let mut cuts = 0;
        for left in
            [surplus(), chunked(OTHERS, "others"), "HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno".into()]
        {
            for from in 0..left.len() {
                cuts += 1;
                let all = left[from..].to_owned() + &good();
                let told = player.play(Method::GET, &[all.as_bytes()], End::Close);
                let ours = told.as_ref().is_ok_and(|t| t.as_ref().is_some_and(|t| t.1 == "papers" && !t.2));
                assert_that!(ours || told.is_err(), eq(true), "{told:?} from {from} of {left}");
            }
        }
        println!("{cuts} cuts");
    });
}

#[gtest]
fn a_request_is_written_once_and_whole_or_counts_as_sent_from_its_first_byte() {
    player(|player| {
        let forward = forward(Method::POST, Some(Bytes::from_static(b"form-42")), false);
        let worker = |takes, says: String| Scripted {
            says: VecDeque::from([Bytes::from(says)]),
            end: End::Reset,
            takes,
            took: Vec::new(),
        };
        let mut whole = worker(usize::MAX, good());
        expect_that!(player.send(&forward, &mut whole).0, ok(some(eq(&(200, "papers".into(), true)))));
        let text = String::from_utf8_lossy(&whole.took).to_ascii_lowercase();
        expect_that!(text, starts_with("post /a?b=c http/1.1\r\n"));
        expect_that!(text, ends_with("\r\n\r\nform-42"));
        let turned =
            "HTTP/1.1 503 Full\r\nX-Attempt-Id: id-1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        for takes in 0..whole.took.len() {
            let mut cut = worker(takes, String::new());
            let (told, written) = player.send(&forward, &mut cut);
            let expected = if takes == 0 { ExchangeError::NotSent } else { ExchangeError::ConnectionLost };
            expect_that!(told, err(eq(&expected)), "{takes}");
            expect_that!((written, cut.took.len()), eq((takes > 0, takes)));
            // A worker that turns it away before it has read all of it is heard.
            let mut cut = worker(takes, turned.into());
            let (told, _) = player.send(&forward, &mut cut);
            match takes {
                0 => expect_that!(told, err(eq(&ExchangeError::NotSent))),
                _ => expect_that!(told, ok(some(eq(&(503, String::new(), false))))),
            }
        }
        println!("{} cuts", whole.took.len());
    });
}

#[gtest]
fn a_head_without_an_end_is_no_answer_and_takes_no_more_room_than_a_bound() {
    player(|player| {
        let line = "X-Long: 0123456789abcdef\r\n".repeat(40);
        let mut says = vec![b"HTTP/1.1 200 OK\r\n".as_slice()];
        says.extend(std::iter::repeat_n(line.as_bytes(), 1000));
        expect_that!(player.play(Method::GET, &says, End::Silence), err(eq(&ExchangeError::InvalidResponse)));
    });
}

/// Guards what a worker runs: method, target and headers as the client wrote them, to the byte, or a refusal.
#[gtest]
fn what_a_client_asks_for_reaches_the_worker_unchanged_or_not_at_all() {
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
    let (mut passed, mut refused) = (0, Vec::new());
    for method in ["GET", "POST", "PURGE", "get", "M-SEARCH", "OPTIONS"] {
        for target in targets {
            let text = format!(
                "{method} {target} HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nx-b: \t two  words\r\nX-A: 2\r\n\r\n"
            );
            let told = local(async {
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
                let whole =
                    connection.read_request(&bounds, &http_server::BodyBudget::new(4096)).await.ok()?;
                let (method, uri) = (whole.head.method().clone(), whole.head.uri().clone());
                let headers = whole.head.headers().clone();
                let forward = ForwardedRequest { uri, headers, ..forward(method, None, false) };
                encode(&mut ClientCodec::new(http_server::service_config()), &forward, None, "i-1")
            });
            let Some(told) = told else {
                refused.push(target);
                continue;
            };
            let told = String::from_utf8_lossy(&told).into_owned();
            let lines: Vec<&str> = told.lines().collect();
            // A host may stand ahead of the path.
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
    refused.sort_unstable();
    refused.dedup();
    expect_that!(passed, eq(6 * 18));
    let strange = ["/a#b", "/a?b#c", "/a?q=\"s\"", "/a?\u{e4}=\u{20ac}", "/\u{e4}", "a"];
    expect_that!(refused, eq(&strange));
}
