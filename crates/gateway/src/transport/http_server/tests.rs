//! Tests of server connections: requests truncated or split at every byte, pipelining, request smuggling, responses
//! without a body, and idle connections. They run in memory on tokio's paused clock.

use super::*;
use googletest::prelude::*;
use std::future::Future;
use tokio::io::DuplexStream;

impl IdleProbe for DuplexStream {
    fn is_idle(&self) -> bool {
        true
    }
}

const LIMITS: RequestLimits = RequestLimits {
    max_head_bytes: 2048,
    max_body_bytes: 64,
    head_timeout: Duration::from_secs(3),
    body_timeout: Duration::from_secs(3),
};

fn run_paused<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), future)
}

fn connected() -> (DuplexStream, Connection<DuplexStream>) {
    let (client, server) = tokio::io::duplex(1 << 20);
    (client, Connection::from_stream(server, &service_config()))
}

/// The compared parts of a request: method, target and body.
type Summary = (String, String, Option<Bytes>);

async fn read_next(connection: &mut Connection<DuplexStream>) -> Result<Summary, HttpError> {
    let request = connection.read_request(&LIMITS, &BodyBudget::new(1 << 20)).await?;
    Ok((request.head.method().to_string(), request.head.uri().to_string(), request.body))
}

/// Sends these pieces and returns the requests read from them and the first error.
async fn read_all(pieces: &[&[u8]]) -> (Vec<Summary>, HttpError) {
    let (mut client, mut connection) = connected();
    let send = async move {
        for piece in pieces {
            client.write_all(piece).await.expect("taken");
            tokio::task::yield_now().await;
        }
        client.shutdown().await.expect("taken");
        client
    };
    let read = async {
        let mut all = Vec::new();
        loop {
            match read_next(&mut connection).await {
                Ok(one) => all.push(one),
                Err(error) => return (all, error),
            }
        }
    };
    tokio::join!(send, read).1
}

/// Valid requests with the expected target and body of each.
const REQUESTS: [(&str, &str, Option<&str>); 8] = [
    ("GET /a?b=%20c HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id-1\r\n\r\n", "/a?b=%20c", None),
    ("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello", "/b", Some("hello")),
    ("POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", "/c", Some("")),
    ("PUT /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nform\r\n3;x=y\r\n-42\r\n0\r\n\r\n", "/d", Some("form-42")),
    ("PUT /e HTTP/1.1\r\nHost: h\r\ntransfer-encoding: CHUNKED\r\n\r\n0\r\n\r\n", "/e", Some("")),
    ("POST /f HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nhi", "/f", Some("hi")),
    ("HEAD /g HTTP/1.1\r\nHost: h\r\n\r\n", "/g", None),
    ("POST /h HTTP/1.1\r\nHost: h\r\nContent-Length: 39\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n....", "/h", Some("GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n....")),
];

#[gtest]
fn a_request_cut_at_any_byte_is_read_completely_or_not_at_all() {
    let mut cuts = 0;
    let two = REQUESTS.iter().flat_map(|a| REQUESTS.iter().map(move |b| vec![a, b]));
    for requests in REQUESTS.iter().map(|a| vec![a]).chain(two) {
        let bytes = requests.iter().map(|r| r.0).collect::<String>().into_bytes();
        let expected: Vec<_> = requests
            .iter()
            .map(|r| (r.1.to_owned(), r.2.map(|b| Bytes::from_static(b.as_bytes()))))
            .collect();
        let ends: Vec<usize> = requests
            .iter()
            .scan(0, |at, r| {
                *at += r.0.len();
                Some(*at)
            })
            .collect();
        let seen = |all: Vec<Summary>| all.into_iter().map(|(_, uri, body)| (uri, body)).collect::<Vec<_>>();
        for cut in 0..=bytes.len() {
            cuts += 1;
            // The bytes arrive in two pieces.
            let (all, error) = run_paused(read_all(&[&bytes[..cut], &bytes[cut..]]));
            assert_that!(
                (seen(all), error),
                eq(&(expected.clone(), HttpError::ConnectionClosed)),
                "cut at {cut}"
            );
            // The connection ends within the bytes: an incomplete request is not returned.
            let (all, error) = run_paused(read_all(&[&bytes[..cut]]));
            let complete = ends.iter().filter(|end| **end <= cut).count();
            assert_that!(
                (seen(all), error),
                eq(&(expected[..complete].to_vec(), HttpError::ConnectionClosed)),
                "ends at {cut}"
            );
        }
        let single: Vec<&[u8]> = bytes.chunks(1).collect();
        assert_that!(seen(run_paused(read_all(&single)).0), eq(&expected));
    }
    println!("{cuts} splits");
}

#[gtest]
fn a_request_that_stalls_at_any_byte_times_out() {
    for (text, ..) in REQUESTS {
        for cut in 1..text.len() {
            let result = run_paused(async {
                let (mut client, mut connection) = connected();
                client.write_all(&text.as_bytes()[..cut]).await.expect("taken");
                (read_next(&mut connection).await, Instant::now())
            });
            let timed_out = matches!(result.0, Err(HttpError::Rejected(StatusCode::REQUEST_TIMEOUT, _)));
            assert_that!(timed_out, eq(true), "{:?} at {cut}", result.0);
        }
    }
}

#[gtest]
fn request_smuggling_is_rejected() {
    let inner = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
    let post = "POST /a HTTP/1.1\r\nHost: h\r\n";
    let length = inner.len();
    let cases = [
        format!("{post}Content-Length: {length}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{inner}"),
        format!("{post}Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n{inner}"),
        format!("{post}Content-Length: 0\r\nContent-Length: {length}\r\n\r\n{inner}"),
        format!("{post}Content-Length: 0, {length}\r\n\r\n{inner}"),
        format!("{post}Content-Length: +0\r\n\r\n{inner}"),
        format!("{post}Content-Length: -1\r\n\r\n{inner}"),
        format!("{post}Content-Length: 0x0\r\n\r\n{inner}"),
        format!("{post}Content-Length : 0\r\n\r\n{inner}"),
        format!("{post}Content-Length: 99999999999999999999999\r\n\r\n{inner}"),
        format!("{post}Transfer-Encoding: xchunked\r\n\r\n{inner}"),
        format!("{post}Transfer-Encoding: identity\r\n\r\n{inner}"),
        format!("{post}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n{inner}"),
        format!("{post}Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n{inner}"),
        format!("{post}Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n{inner}"),
        format!("{post}X-A: b\r\n c\r\n\r\n{inner}"),
        format!("{post}X-A: b\r\n\tTransfer-Encoding: chunked\r\n\r\n{inner}"),
        format!("POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{inner}"),
        format!("POST /a HTTP/1.1\r\n\r\n{inner}"),
        format!("POST /a HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n{inner}"),
        format!("POST /a HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nContent-Length: 0\r\n\r\n{inner}"),
        format!("CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n{inner}"),
        format!("GET /a\0b HTTP/1.1\r\nHost: h\r\n\r\n{inner}"),
        format!("GET /a HTTP/1.1\r\nHost: h\r\nX\0: 1\r\n\r\n{inner}"),
        format!("GET  /a HTTP/1.1\r\nHost: h\r\n\r\n{inner}"),
        format!("GET /a HTTP/2.0\r\nHost: h\r\n\r\n{inner}"),
    ];
    for case in &cases {
        let (all, error) = run_paused(read_all(&[case.as_bytes()]));
        expect_that!(all, is_empty(), "{case}");
        let bad = matches!(error, HttpError::Rejected(StatusCode::BAD_REQUEST, _));
        expect_that!(bad, eq(true), "{error:?}: {case}");
    }
    let chunked = format!("{post}Transfer-Encoding: chunked\r\n\r\n");
    for chunks in [
        "z\r\n",
        "+1\r\na\r\n0\r\n\r\n",
        "-1\r\n",
        "0x1\r\na\r\n0\r\n\r\n",
        "1\na\r\n0\r\n\r\n",
        "1 1\r\na\r\n0\r\n\r\n",
        "ffffffffffffffffff\r\n",
        "1\r\nab\r\n0\r\n\r\n",
        "1\r\na0\r\n\r\n",
        "\r\n0\r\n\r\n",
        ";\r\n",
    ] {
        let text = format!("{chunked}{chunks}{inner}");
        let (all, error) = run_paused(read_all(&[text.as_bytes()]));
        expect_that!(all, is_empty(), "{chunks:?}");
        let bad = matches!(error, HttpError::Rejected(StatusCode::BAD_REQUEST, _));
        expect_that!(bad, eq(true), "{error:?}: {chunks:?}");
    }
    // Bytes in the place of trailers are dropped with the trailers.
    let (all, error) = run_paused(read_all(&[format!("{chunked}0\r\nX: {inner}").as_bytes()]));
    expect_that!(all, elements_are![eq(&("POST".to_owned(), "/a".to_owned(), Some(Bytes::new())))]);
    expect_that!(error, eq(&HttpError::ConnectionClosed));
    println!("{} request heads, 12 chunked bodies", cases.len());
}

#[gtest]
fn tunnels_are_rejected_immediately() {
    for head in [
        "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n\r\n",
    ] {
        let waited = run_paused(async {
            let (mut client, mut connection) = connected();
            let begun = Instant::now();
            client.write_all(head.as_bytes()).await.expect("taken");
            let result = read_next(&mut connection).await;
            expect_that!(matches!(result, Err(HttpError::Rejected(StatusCode::BAD_REQUEST, _))), eq(true));
            begun.elapsed()
        });
        expect_that!(waited, eq(Duration::ZERO));
    }
}

/// Returns all bytes that a client receives until its connection ends.
async fn receive_all(mut client: DuplexStream) -> String {
    let mut all = Vec::new();
    let _ = client.read_to_end(&mut all).await;
    String::from_utf8_lossy(&all).into_owned()
}

#[gtest]
fn a_response_without_a_body_leaves_no_bytes_for_the_next() {
    let good = |status: StatusCode, body: &'static str| {
        let mut response = text_response(status, body);
        response.head.append_header(("x-server-seal", "s"));
        response
    };
    let cases = [
        ("HEAD", StatusCode::OK),
        ("HEAD", StatusCode::NOT_FOUND),
        ("GET", StatusCode::NO_CONTENT),
        ("GET", StatusCode::NOT_MODIFIED),
    ];
    for (method, status) in cases {
        let received = run_paused(async {
            let (mut client, mut connection) = connected();
            let text = format!("{method} /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
            client.write_all(text.as_bytes()).await.expect("taken");
            for (status, body) in [(status, "body"), (StatusCode::OK, "next")] {
                read_next(&mut connection).await.expect("a complete request");
                let keeps_open = connection.respond(good(status, body)).await;
                expect_that!(keeps_open, ok(eq(&true)));
            }
            drop(connection);
            receive_all(client).await
        });
        let (first, rest) = received.split_once("\r\n\r\n").expect("a head");
        expect_that!(first, starts_with(&*format!("HTTP/1.1 {}", status.as_u16())));
        expect_that!(rest, starts_with("HTTP/1.1 200 OK\r\n"), "{method} {status}");
        expect_that!(rest, ends_with("\r\n\r\nnext"));
    }
}

#[gtest]
fn a_slow_client_gets_the_complete_response() {
    let received = run_paused(async {
        let (mut client, server) = tokio::io::duplex(16);
        let mut connection = Connection::from_stream(server, &service_config());
        client.write_all(b"GET /a HT").await.expect("taken");
        let serve = async {
            read_next(&mut connection).await.expect("a complete request");
            let body = Bytes::from(vec![b'x'; 40]);
            let keeps_open =
                connection.respond(OutgoingResponse { head: Response::build(StatusCode::OK), body }).await;
            expect_that!(keeps_open, ok(eq(&true)));
            drop(connection);
        };
        let take = async {
            client.write_all(b"TP/1.1\r\nHost: h\r\n\r\n").await.expect("taken");
            let mut all = Vec::new();
            // The client reads 16 bytes every four seconds, so the response takes longer than `WRITE_TIMEOUT` in total.
            loop {
                tokio::time::sleep(Duration::from_secs(4)).await;
                if !client.read_buf(&mut all).await.is_ok_and(|n| n > 0) {
                    break;
                }
            }
            String::from_utf8_lossy(&all).into_owned()
        };
        tokio::join!(serve, take).1
    });
    expect_that!(received, ends_with(&*"x".repeat(40)));
}

#[gtest]
fn a_disconnect_is_noticed_and_pipelined_requests_are_kept() {
    run_paused(async {
        let (mut client, mut connection) = connected();
        client.write_all(REQUESTS[1].0.as_bytes()).await.expect("taken");
        expect_that!(read_next(&mut connection).await.map(|r| r.1), ok(eq("/b")));
        // A pipelined request that arrives in two pieces during the wait is not a disconnect.
        let (first, second) = REQUESTS[3].0.as_bytes().split_at(70);
        for piece in [first, second] {
            client.write_all(piece).await.expect("taken");
            let disconnected = timeout(Duration::from_secs(1), connection.client_disconnected()).await;
            expect_that!(disconnected, err(anything()));
        }
        let keeps_open = connection.respond(text_response(StatusCode::OK, "")).await;
        expect_that!(keeps_open, ok(eq(&true)));
        let read = read_next(&mut connection).await;
        expect_that!(
            read,
            ok(eq(&("PUT".to_owned(), "/d".to_owned(), Some(Bytes::from_static(b"form-42")))))
        );
        drop(client);
        expect_that!(timeout(Duration::from_secs(1), connection.client_disconnected()).await, ok(anything()));
    });
}

/// Waits for a request on an idle connection. `used`: whether the connection has served a request before. `idle`: pairs
/// of a start time and the idle timeout from then on. `ends_at`: when the process closes idle connections. `sends_at`:
/// when the client sends a byte. All times are in milliseconds. Returns the outcome and its time in milliseconds.
fn wait_idle(
    used: bool,
    idle: &[(u64, u64)],
    ends_at: Option<u64>,
    sends_at: Option<u64>,
) -> (IdleOutcome, u128) {
    run_paused(async {
        let (mut client, mut connection) = connected();
        if used {
            client.write_all(REQUESTS[0].0.as_bytes()).await.expect("taken");
            read_next(&mut connection).await.expect("a complete request");
            let keeps_open = connection.respond(text_response(StatusCode::OK, "")).await;
            expect_that!(keeps_open, ok(eq(&true)));
        }
        let begun = Instant::now();
        let since = || begun.elapsed().as_millis() as u64;
        let idle_timeout = || {
            let last = idle.iter().rev().find(|(from, _)| *from <= since());
            Duration::from_millis(last.map_or(0, |(_, idle)| *idle))
        };
        let (end, mut ending) = watch::channel(None);
        let wait = async {
            let outcome = connection.wait_idle(idle_timeout, &mut ending).await;
            (outcome, begun.elapsed().as_millis())
        };
        let others = async {
            if let Some(at) = ends_at {
                end.send_replace(Some((begun + Duration::from_millis(at)).into_std()));
            }
            if let Some(at) = sends_at {
                tokio::time::sleep_until(begun + Duration::from_millis(at)).await;
                client.write_all(b"G").await.expect("taken");
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            outcome = wait => outcome,
            () = others => unreachable!(),
        }
    })
}

#[gtest]
fn an_idle_connection_is_kept_for_its_idle_timeout_and_slack() {
    let slack = IDLE_SLACK.as_millis();
    // A request that starts within the idle timeout is read.
    for at in [0, 1, 12_000, 14_999, 15_000] {
        expect_that!(
            wait_idle(true, &[(0, 15_000)], None, Some(at)),
            eq(&(IdleOutcome::RequestStarted, u128::from(at)))
        );
    }
    expect_that!(wait_idle(true, &[(0, 15_000)], None, None), eq(&(IdleOutcome::Close, 15_000 + slack)));
    // A timeout that is raised during the wait applies at once. A lowered one does not, because the client may not know
    // it yet.
    let raised = [(0, 15_000), (9_000, 30_000)];
    expect_that!(wait_idle(true, &raised, None, Some(24_000)), eq(&(IdleOutcome::RequestStarted, 24_000)));
    let (outcome, at) = wait_idle(true, &raised, None, None);
    expect_that!((outcome, at), eq(&(IdleOutcome::Close, 30_000 + slack)));
    expect_that!(
        wait_idle(true, &[(0, 15_000), (2_000, 5_000)], None, Some(12_000)).0,
        eq(&IdleOutcome::RequestStarted)
    );
    // While the process drains, an idle connection is closed at the given time and not earlier.
    expect_that!(
        wait_idle(true, &[(0, 15_000)], Some(2_600), Some(2_599)),
        eq(&(IdleOutcome::RequestStarted, 2_599))
    );
    expect_that!(wait_idle(true, &[(0, 15_000)], Some(2_600), None), eq(&(IdleOutcome::Close, 2_600)));
    // A new connection has `FIRST_REQUEST_GRACE` for its first request.
    expect_that!(
        wait_idle(false, &[(0, 15_000)], Some(0), Some(900)),
        eq(&(IdleOutcome::RequestStarted, 900))
    );
    expect_that!(
        wait_idle(false, &[(0, 15_000)], Some(0), None),
        eq(&(IdleOutcome::Close, FIRST_REQUEST_GRACE.as_millis()))
    );
}

/// Guards the request after one that ends in trailers. The trailers are dropped, and the next request is read completely.
#[gtest]
fn trailers_are_dropped_and_the_next_request_follows() {
    let chunked = "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n";
    for trailers in ["", "X-T: 1\r\n", "X-T: 1\r\nX-U: 2\r\nX-V:\r\n"] {
        let text = format!("{chunked}{trailers}\r\n{}", REQUESTS[1].0);
        for cut in 0..=text.len() {
            let (all, error) = run_paused(read_all(&[&text.as_bytes()[..cut], &text.as_bytes()[cut..]]));
            let seen: Vec<_> = all.iter().map(|(_, uri, body)| (&**uri, body.as_deref())).collect();
            let expected = [("/a", Some(b"ab".as_slice())), ("/b", Some(b"hello".as_slice()))];
            assert_that!(seen, eq(&expected), "{trailers:?} cut at {cut}: {error:?}");
        }
    }
}

/// Guards against asking a client with `100 Continue` for a body that is then rejected for its length.
#[gtest]
fn expect_100_continue_is_decided_before_the_body_is_sent() {
    for (length, result) in [("64", "HTTP/1.1 100 Continue\r\n\r\n"), ("65", "")] {
        let received = run_paused(async {
            let (mut client, mut connection) = connected();
            let head = format!(
                "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: {length}\r\n\r\n"
            );
            client.write_all(head.as_bytes()).await.expect("taken");
            let read = timeout(Duration::from_secs(1), read_next(&mut connection)).await;
            let rejected = matches!(read, Ok(Err(HttpError::Rejected(StatusCode::PAYLOAD_TOO_LARGE, _))));
            expect_that!(rejected, eq(result.is_empty()), "{length}");
            drop(connection);
            receive_all(client).await
        });
        expect_that!(received, eq(result), "{length}");
    }
}
