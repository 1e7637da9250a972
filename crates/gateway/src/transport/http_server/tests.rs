//! Requests cut at every byte, sent close together, smuggled; answers that must leave nothing behind them; connections
//! that rest. In memory, on a clock that goes on only when nothing else does.

use super::*;
use googletest::prelude::*;
use std::future::Future;
use tokio::io::DuplexStream;

impl IdleProbe for DuplexStream {
    fn is_idle(&self) -> bool {
        true
    }
}

const BOUNDS: RequestLimits = RequestLimits {
    max_head_bytes: 2048,
    max_body_bytes: 64,
    head_timeout: Duration::from_secs(3),
    body_timeout: Duration::from_secs(3),
};

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), future)
}

fn pair() -> (DuplexStream, Connection<DuplexStream>) {
    let (client, server) = tokio::io::duplex(1 << 20);
    (client, Connection::from_stream(server, &service_config()))
}

/// A request as far as anything goes by it.
type Read = (String, String, Option<Bytes>);

async fn next(connection: &mut Connection<DuplexStream>) -> Result<Read, HttpError> {
    let whole = connection.read_request(&BOUNDS, &BodyBudget::new(1 << 20)).await?;
    Ok((whole.head.method().to_string(), whole.head.uri().to_string(), whole.body))
}

/// What is read of these pieces, one after the other, up to the first that is none.
async fn read(pieces: &[&[u8]]) -> (Vec<Read>, HttpError) {
    let (mut client, mut connection) = pair();
    let send = async move {
        for piece in pieces {
            client.write_all(piece).await.expect("taken");
            tokio::task::yield_now().await;
        }
        client.shutdown().await.expect("taken");
        client
    };
    let hear = async {
        let mut all = Vec::new();
        loop {
            match next(&mut connection).await {
                Ok(one) => all.push(one),
                Err(error) => return (all, error),
            }
        }
    };
    tokio::join!(send, hear).1
}

const WHOLE: [(&str, &str, Option<&str>); 8] = [
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
fn a_request_is_whole_or_none_wherever_its_bytes_are_cut() {
    let mut cuts = 0;
    let two = WHOLE.iter().flat_map(|a| WHOLE.iter().map(move |b| vec![a, b]));
    for requests in WHOLE.iter().map(|a| vec![a]).chain(two) {
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
        let seen = |all: Vec<Read>| all.into_iter().map(|(_, uri, body)| (uri, body)).collect::<Vec<_>>();
        for cut in 0..=bytes.len() {
            cuts += 1;
            // In two pieces...
            let (all, error) = run(read(&[&bytes[..cut], &bytes[cut..]]));
            assert_that!(
                (seen(all), error),
                eq(&(expected.clone(), HttpError::ConnectionClosed)),
                "cut at {cut}"
            );
            // ...and ended in the middle: what is not whole is not served.
            let (all, error) = run(read(&[&bytes[..cut]]));
            let whole = ends.iter().filter(|end| **end <= cut).count();
            assert_that!(
                (seen(all), error),
                eq(&(expected[..whole].to_vec(), HttpError::ConnectionClosed)),
                "ends at {cut}"
            );
        }
        let single: Vec<&[u8]> = bytes.chunks(1).collect();
        assert_that!(seen(run(read(&single)).0), eq(&expected));
    }
    println!("{cuts} cuts");
}

#[gtest]
fn a_request_that_stays_silent_at_any_byte_is_turned_away_in_time() {
    for (text, ..) in WHOLE {
        for cut in 1..text.len() {
            let told = run(async {
                let (mut client, mut connection) = pair();
                client.write_all(&text.as_bytes()[..cut]).await.expect("taken");
                (next(&mut connection).await, Instant::now())
            });
            let late = matches!(told.0, Err(HttpError::Rejected(StatusCode::REQUEST_TIMEOUT, _)));
            assert_that!(late, eq(true), "{:?} at {cut}", told.0);
        }
    }
}

#[gtest]
fn nothing_is_smuggled_in_another_request() {
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
        let (all, error) = run(read(&[case.as_bytes()]));
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
        let (all, error) = run(read(&[text.as_bytes()]));
        expect_that!(all, is_empty(), "{chunks:?}");
        let bad = matches!(error, HttpError::Rejected(StatusCode::BAD_REQUEST, _));
        expect_that!(bad, eq(true), "{error:?}: {chunks:?}");
    }
    // What stands where trailers may stand is dropped with them.
    let (all, error) = run(read(&[format!("{chunked}0\r\nX: {inner}").as_bytes()]));
    expect_that!(all, elements_are![eq(&("POST".to_owned(), "/a".to_owned(), Some(Bytes::new())))]);
    expect_that!(error, eq(&HttpError::ConnectionClosed));
    println!("{} heads, 12 chunkings", cases.len());
}

#[gtest]
fn a_tunnel_is_refused_at_once() {
    for head in [
        "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n\r\n",
    ] {
        let waited = run(async {
            let (mut client, mut connection) = pair();
            let begun = Instant::now();
            client.write_all(head.as_bytes()).await.expect("taken");
            let told = next(&mut connection).await;
            expect_that!(matches!(told, Err(HttpError::Rejected(StatusCode::BAD_REQUEST, _))), eq(true));
            begun.elapsed()
        });
        expect_that!(waited, eq(Duration::ZERO));
    }
}

/// All that a client hears until its connection ends.
async fn hear(mut client: DuplexStream) -> String {
    let mut all = Vec::new();
    let _ = client.read_to_end(&mut all).await;
    String::from_utf8_lossy(&all).into_owned()
}

#[gtest]
fn an_answer_without_a_body_leaves_nothing_that_could_be_taken_for_the_next() {
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
        let heard = run(async {
            let (mut client, mut connection) = pair();
            let text = format!("{method} /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
            client.write_all(text.as_bytes()).await.expect("taken");
            for (status, body) in [(status, "body"), (StatusCode::OK, "next")] {
                next(&mut connection).await.expect("whole");
                let answered = connection.respond(good(status, body)).await;
                expect_that!(answered, ok(eq(&true)));
            }
            drop(connection);
            hear(client).await
        });
        let (first, rest) = heard.split_once("\r\n\r\n").expect("a head");
        expect_that!(first, starts_with(&*format!("HTTP/1.1 {}", status.as_u16())));
        expect_that!(rest, starts_with("HTTP/1.1 200 OK\r\n"), "{method} {status}");
        expect_that!(rest, ends_with("\r\n\r\nnext"));
    }
}

#[gtest]
fn an_answer_goes_out_whole_to_a_client_that_takes_it_slowly() {
    let heard = run(async {
        let (mut client, server) = tokio::io::duplex(16);
        let mut connection = Connection::from_stream(server, &service_config());
        client.write_all(b"GET /a HT").await.expect("taken");
        let serve = async {
            next(&mut connection).await.expect("whole");
            let body = Bytes::from(vec![b'x'; 40]);
            let answered =
                connection.respond(OutgoingResponse { head: Response::build(StatusCode::OK), body }).await;
            expect_that!(answered, ok(eq(&true)));
            drop(connection);
        };
        let take = async {
            client.write_all(b"TP/1.1\r\nHost: h\r\n\r\n").await.expect("taken");
            let mut all = Vec::new();
            // Something every four seconds: over half a minute for the whole.
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
    expect_that!(heard, ends_with(&*"x".repeat(40)));
}

#[gtest]
fn a_client_that_goes_is_noticed_and_what_it_sent_ahead_is_kept_for_its_turn() {
    run(async {
        let (mut client, mut connection) = pair();
        client.write_all(WHOLE[1].0.as_bytes()).await.expect("taken");
        expect_that!(next(&mut connection).await.map(|r| r.1), ok(eq("/b")));
        // It sends its next request, in two pieces, while it waits: that is no leaving.
        let (first, second) = WHOLE[3].0.as_bytes().split_at(70);
        for piece in [first, second] {
            client.write_all(piece).await.expect("taken");
            let left = timeout(Duration::from_secs(1), connection.client_disconnected()).await;
            expect_that!(left, err(anything()));
        }
        let answered = connection.respond(text_response(StatusCode::OK, "")).await;
        expect_that!(answered, ok(eq(&true)));
        let read = next(&mut connection).await;
        expect_that!(
            read,
            ok(eq(&("PUT".to_owned(), "/d".to_owned(), Some(Bytes::from_static(b"form-42")))))
        );
        drop(client);
        expect_that!(timeout(Duration::from_secs(1), connection.client_disconnected()).await, ok(anything()));
    });
}

/// Rests on a connection, used before or not, and sends something after a while: how it ended, and when.
fn rest(used: bool, idle: &[(u64, u64)], ends_at: Option<u64>, sends_at: Option<u64>) -> (IdleOutcome, u128) {
    run(async {
        let (mut client, mut connection) = pair();
        if used {
            client.write_all(WHOLE[0].0.as_bytes()).await.expect("taken");
            next(&mut connection).await.expect("whole");
            let answered = connection.respond(text_response(StatusCode::OK, "")).await;
            expect_that!(answered, ok(eq(&true)));
        }
        let begun = Instant::now();
        let since = || begun.elapsed().as_millis() as u64;
        let told = || {
            let last = idle.iter().rev().find(|(from, _)| *from <= since());
            Duration::from_millis(last.map_or(0, |(_, idle)| *idle))
        };
        let (end, mut ending) = watch::channel(None);
        let rest = async {
            let rested = connection.wait_idle(told, &mut ending).await;
            (rested, begun.elapsed().as_millis())
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
            rested = rest => rested,
            () = others => unreachable!(),
        }
    })
}

#[gtest]
fn a_connection_rests_as_long_as_its_client_may_think() {
    let slack = IDLE_SLACK.as_millis();
    // Taken up at four fifths, and up to the whole.
    for at in [0, 1, 12_000, 14_999, 15_000] {
        expect_that!(
            rest(true, &[(0, 15_000)], None, Some(at)),
            eq(&(IdleOutcome::RequestStarted, u128::from(at)))
        );
    }
    expect_that!(rest(true, &[(0, 15_000)], None, None), eq(&(IdleOutcome::Close, 15_000 + slack)));
    // The bound is raised while it rests: the new one counts. It is lowered: its client may not know yet.
    let raised = [(0, 15_000), (9_000, 30_000)];
    expect_that!(rest(true, &raised, None, Some(24_000)), eq(&(IdleOutcome::RequestStarted, 24_000)));
    let (over, at) = rest(true, &raised, None, None);
    expect_that!((over, at), eq(&(IdleOutcome::Close, 30_000 + slack)));
    expect_that!(
        rest(true, &[(0, 15_000), (2_000, 5_000)], None, Some(12_000)).0,
        eq(&IdleOutcome::RequestStarted)
    );
    // This process ends: what rests is closed when it is time, and not before.
    expect_that!(
        rest(true, &[(0, 15_000)], Some(2_600), Some(2_599)),
        eq(&(IdleOutcome::RequestStarted, 2_599))
    );
    expect_that!(rest(true, &[(0, 15_000)], Some(2_600), None), eq(&(IdleOutcome::Close, 2_600)));
    // One that was just opened is heard first.
    expect_that!(rest(false, &[(0, 15_000)], Some(0), Some(900)), eq(&(IdleOutcome::RequestStarted, 900)));
    expect_that!(
        rest(false, &[(0, 15_000)], Some(0), None),
        eq(&(IdleOutcome::Close, FIRST_REQUEST_GRACE.as_millis()))
    );
}

/// Guards the request behind one that ends in trailers: they are dropped, and the next one is read whole.
#[gtest]
fn trailers_are_dropped_and_what_follows_is_the_next_request() {
    let chunked = "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n";
    for trailers in ["", "X-T: 1\r\n", "X-T: 1\r\nX-U: 2\r\nX-V:\r\n"] {
        let text = format!("{chunked}{trailers}\r\n{}", WHOLE[1].0);
        for cut in 0..=text.len() {
            let (all, error) = run(read(&[&text.as_bytes()[..cut], &text.as_bytes()[cut..]]));
            let seen: Vec<_> = all.iter().map(|(_, uri, body)| (&**uri, body.as_deref())).collect();
            let expected = [("/a", Some(b"ab".as_slice())), ("/b", Some(b"hello".as_slice()))];
            assert_that!(seen, eq(&expected), "{trailers:?} cut at {cut}: {error:?}");
        }
    }
}

/// Guards a body that is refused for its length: its client is not told to send it first.
#[gtest]
fn who_waits_to_send_a_body_hears_at_once_whether_it_is_wanted() {
    for (length, told) in [("64", "HTTP/1.1 100 Continue\r\n\r\n"), ("65", "")] {
        let heard = run(async {
            let (mut client, mut connection) = pair();
            let head = format!(
                "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: {length}\r\n\r\n"
            );
            client.write_all(head.as_bytes()).await.expect("taken");
            let read = timeout(Duration::from_secs(1), next(&mut connection)).await;
            let refused = matches!(read, Ok(Err(HttpError::Rejected(StatusCode::PAYLOAD_TOO_LARGE, _))));
            expect_that!(refused, eq(told.is_empty()), "{length}");
            drop(connection);
            hear(client).await
        });
        expect_that!(heard, eq(told), "{length}");
    }
}
