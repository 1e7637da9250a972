//! Scenarios of the gatekeeper as a process, over loopback sockets and with scripted peers. Each test guards against
//! one kind of failure.

mod common;

use common::*;
use insta::assert_snapshot;
use std::time::{Duration, Instant};

const READY: &str = "GET /ready HTTP/1.1\r\nHost: api.internal\r\n\r\n";

fn join_lines(lines: impl IntoIterator<Item = String>) -> String {
    lines.into_iter().collect::<Vec<_>>().join("\n")
}

#[test]
fn requests_and_answers_pass_unchanged() {
    let node = ScriptedPeer::start(|_| ScriptedReply::Ok("drafted"));
    let gatekeeper = Gatekeeper::in_front_of(&[&node]);
    let mut client = gatekeeper.connect();
    let responses = [client.preview("r1").read_response(), client.issue("r2", "{\"n\": 1}").read_response()]
        .map(|a| a.summary());
    let forwarded = [node.next_request(), node.next_request()];
    let ids = forwarded.iter().map(|m| m.header("request-id").unwrap_or("none").to_owned());
    let forwarded = forwarded.iter().map(Message::summary);
    assert_snapshot!(join_lines(responses.into_iter().chain(forwarded).chain(ids)), @r#"
    200 OK [drafted]
    200 OK [drafted]
    GET /preview/a%20b?client=00000000b4d65521&x=1 []
    POST /issue?client=00000000b4d65521 [{"n": 1}]
    r1
    r2
    "#);
}

/// A malformed request is rejected before the decision module sees it, whichever customer it names. The connection is
/// closed, so pipelined requests after the malformed one are not served.
#[test]
fn malformed_requests_never_reach_the_module() {
    let node = ScriptedPeer::start(|_| ScriptedReply::Ok("drafted"));
    let gatekeeper = Gatekeeper::in_front_of(&[&node]);
    let valid =
        format!("GET /preview?client=00000000b4d65521 HTTP/1.1\r\n{}\r\n", headers("r1", "preview", "4"));
    let issue = |extra: &str| {
        format!("POST /issue?client=00000000b4d65521 HTTP/1.1\r\n{}{extra}", headers("r2", "issue", "4"))
    };
    let with = |from: &str, to: &str| valid.replace(from, to);
    let malformed = [
        "nonsense\r\n\r\n".to_owned(),
        with("Host", &format!("A: {}\r\nHost", "x".repeat(20_000))),
        with("Request-Id: r1\r\n", ""),
        with("client=00000000b4d65521", "client=5"),
        with("client=00000000b4d65521", "client=0000000200000000"),
        with("Request-Timeout: 4", "Request-Timeout: NaN"),
        with("Request-Class: preview", "Request-Class: viewing"),
        with("Request-Class: preview", "Request-Class: issue"),
        with("GET", "POST"),
        with("GET", "DELETE"),
        with("X-Contract: standard", "X-Contract: stolen"),
        with("units=1,", ""),
        with("units=1,", "units=0,"),
        with("units=1,", "units=inf,"),
        with("units=1,", "units=3,"),
        with("spread=1", "spread=2"),
        with("first=0", "first=1"),
        issue("Content-Length: -8\r\n\r\ncontract"),
        issue("Content-Length: 8\r\nContent-Length: 9\r\n\r\ncontract"),
        issue("Content-Length: 8\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        issue("Content-Length: 60000000\r\n\r\n"),
        issue(&format!("Transfer-Encoding: chunked\r\n\r\n11170\r\n{}", "x".repeat(0x11170))),
        issue("Content-Length: 60000\r\n\r\nhalf"),
    ];
    let responses = malformed.map(|text| {
        let mut client = gatekeeper.connect();
        let response = client.write(&text).write(&valid).read_response();
        assert!(client.is_closed(), "{text}");
        response.summary()
    });
    assert_snapshot!(join_lines(responses), @"
    400 Bad Request [malformed HTTP/1.1 request head]
    431 Request Header Fields Too Large [request head longer than 16 KiB]
    400 Bad Request [header Request-Id is missing]
    400 Bad Request [query parameter client is missing or not 16 lowercase hexadecimal digits of a number below 2^33]
    400 Bad Request [query parameter client is missing or not 16 lowercase hexadecimal digits of a number below 2^33]
    400 Bad Request [header Request-Timeout is missing or not a number of seconds that is 0 or more]
    400 Bad Request [header Request-Class names an unknown class]
    400 Bad Request [first segment of the path differs from header Request-Class]
    400 Bad Request [wrong method or body: idempotent classes require GET without a body, other classes require POST]
    405 Method Not Allowed [unsupported method: only GET and POST are accepted]
    400 Bad Request [header X-Contract names an unknown plan]
    400 Bad Request [header X-Metering is missing or invalid: units must be above 0 and at most the configured maximum, spread from 1 to the number of gatekeepers, first below that number]
    400 Bad Request [header X-Metering is missing or invalid: units must be above 0 and at most the configured maximum, spread from 1 to the number of gatekeepers, first below that number]
    400 Bad Request [header X-Metering is missing or invalid: units must be above 0 and at most the configured maximum, spread from 1 to the number of gatekeepers, first below that number]
    400 Bad Request [header X-Metering is missing or invalid: units must be above 0 and at most the configured maximum, spread from 1 to the number of gatekeepers, first below that number]
    400 Bad Request [header X-Metering is missing or invalid: units must be above 0 and at most the configured maximum, spread from 1 to the number of gatekeepers, first below that number]
    400 Bad Request [header X-Metering is missing or invalid: units must be above 0 and at most the configured maximum, spread from 1 to the number of gatekeepers, first below that number]
    400 Bad Request [malformed HTTP/1.1 request head]
    400 Bad Request [malformed HTTP/1.1 request head]
    400 Bad Request [malformed HTTP/1.1 request head]
    413 Payload Too Large [request body longer than 64 KiB]
    413 Payload Too Large [request body longer than 64 KiB]
    408 Request Timeout [request body not complete within its time limit of 1 s plus 1 s per 32 KiB]
    ");
    // A timeout that is too long to be added to the current time must not end the core.
    let long_timeout = valid.replace("Request-Timeout: 4", "Request-Timeout: 1e18");
    assert_eq!(gatekeeper.connect().write(&long_timeout).read_response().body, "drafted");
    assert_eq!(node.take_requests().len(), 1);
}

/// A `once` request must not run twice. Whether an attempt may have run depends on its response: it did not run if the
/// node says so, and it may have run after any other error.
#[test]
fn a_once_request_is_retried_only_if_it_never_ran() {
    let invalid = [
        "HTTP/1.1 two hundred\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: nine\r\n\r\nissued",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nsix\r\nissued\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
        &ok_response(&"x".repeat(70_000)),
    ];
    let invalid = invalid.map(|text| (ScriptedReply::Raw(text.into()), "HTTP/1.1 502 Bad Gateway", 1));
    let refused = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n";
    let others = [
        (ScriptedReply::Close, "HTTP/1.1 502 Bad Gateway", 1),
        // A truncated body must not pass for a complete one.
        (
            ScriptedReply::ThenClose("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nissu"),
            "HTTP/1.1 502 Bad Gateway",
            1,
        ),
        // A body that ends with the connection is complete if the response announces the close.
        (
            ScriptedReply::ThenClose("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nissued"),
            "HTTP/1.1 200 OK",
            1,
        ),
        (ScriptedReply::ThenClose("HTTP/1.1 200 OK\r\n\r\nissued"), "HTTP/1.1 502 Bad Gateway", 1),
        (ScriptedReply::Raw(format!("{refused}\r\n")), "HTTP/1.1 502 Bad Gateway", 1),
        (ScriptedReply::Raw(format!("{refused}Not-Started: 1\r\n\r\n")), "HTTP/1.1 200 OK", 2),
    ];
    for (reply, status, sends) in invalid.into_iter().chain(others) {
        // The first attempt gets this reply, whichever node it goes to.
        let first = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
        let node = || {
            let (first, reply) = (first.clone(), reply.clone());
            ScriptedPeer::start(move |_| match first.swap(false, std::sync::atomic::Ordering::Relaxed) {
                true => reply.clone(),
                false => ScriptedReply::Ok("issued"),
            })
        };
        let (a, b) = (node(), node());
        let gatekeeper = Gatekeeper::in_front_of(&[&a, &b]);
        let response = gatekeeper.connect().issue("r1", "contract").read_response();
        assert_eq!(
            (response.start.as_str(), a.take_requests().len() + b.take_requests().len()),
            (status, sends)
        );
    }
}

/// A request that could not connect to its node cannot have run, so it is sent to another node.
#[test]
fn a_once_request_is_retried_after_a_refused_connection() {
    let unused =
        std::net::TcpListener::bind("127.0.0.77:0").expect("a port").local_addr().expect("an address");
    let node = ScriptedPeer::start(|_| ScriptedReply::Ok("issued"));
    let known = endpoint_list(
        1,
        true,
        &[endpoint_entry("n0", unused, "SERVING"), endpoint_entry("n1", node.address, "SERVING")],
    );
    let gatekeeper = Gatekeeper::start(&known, unused, start_counter().address, 1024);
    let mut client = gatekeeper.connect();
    for id in ["r1", "r2", "r3", "r4", "r5"] {
        assert_eq!(client.issue(id, "contract").read_response().body, "issued");
    }
}

/// Two attempts of a request must not be in flight together: the connection of the first attempt is closed while the
/// second is still unanswered. The first attempt may take the full latency target until the module has learnt how long
/// a preview takes, so some previews are answered beforehand.
#[test]
fn an_unanswered_attempt_is_cancelled_before_the_next_is_answered() {
    let (body, second) = delayed_reply();
    let mut replies = vec![second, ScriptedReply::NoResponse];
    replies.extend(vec![ScriptedReply::Ok("known"); 6]);
    let replies = std::sync::Mutex::new(replies);
    let node = ScriptedPeer::start(move |_| {
        replies.lock().expect("no holder panics").pop().unwrap_or(ScriptedReply::Close)
    });
    let known = endpoint_list(1, true, &[endpoint_entry("n0", node.address, "SERVING")]);
    let discovery = start_static_discovery(known.clone());
    let text = configuration(&known, discovery.address, start_counter().address, 1024);
    let gatekeeper = Gatekeeper::start_configured(&text.replace(r#""aimS": 1.2"#, r#""aimS": 3.0"#), &[]);
    let mut client = gatekeeper.connect();
    for n in 0..6 {
        assert_eq!(client.preview(&format!("known-{n}")).read_response().body, "known");
        node.next_request();
    }
    client.preview("r1");
    let mut is_close =
        [node.next_event(), node.next_event(), node.next_event()].map(|s| matches!(s, PeerEvent::Closed));
    is_close.sort_unstable();
    assert_eq!(is_close, [false, false, true]);
    body.send("drafted".into()).expect("the node waits");
    assert_eq!(client.read_response().body, "drafted");
}

/// Idle connections are closed; otherwise, clients that send one request and keep their connections fill the connection
/// table, and no other client is accepted. A connection with an accepted request is never closed.
#[test]
fn idle_connections_are_closed_but_never_one_with_an_accepted_request() {
    let (body, reply) = delayed_reply();
    let node = ScriptedPeer::start(move |call| match call.start.starts_with("POST") {
        true => reply.clone(),
        false => ScriptedReply::Ok("drafted"),
    });
    let gatekeeper = Gatekeeper::in_front_of(&[&node]);
    let (mut accepted, mut incomplete, mut idle) =
        (gatekeeper.connect(), gatekeeper.connect(), gatekeeper.connect());
    accepted.issue("r1", "contract");
    incomplete.write("POST /issue");
    assert_eq!(idle.preview("r2").read_response().body, "drafted");
    assert!(idle.is_closed());
    // The client may first get a response to the incomplete request.
    assert!(incomplete.is_closed() || incomplete.is_closed());
    body.send("issued".into()).expect("the node waits");
    assert_eq!(accepted.read_response().body, "issued");
}

/// A slow client's head may take up to 2 s, and its body may arrive at 64 kB/s: the limit of 2 s must not apply to both
/// together.
#[test]
fn a_request_that_arrives_slowly_is_served() {
    let node = ScriptedPeer::start(|_| ScriptedReply::Ok("issued"));
    let gatekeeper = Gatekeeper::in_front_of(&[&node]);
    let mut client = gatekeeper.connect();
    let body = "x".repeat(60_000);
    let text = headers("r1", "issue", "6");
    let text = format!("POST /issue?client=00000000b4d65521 HTTP/1.1\r\n{text}Content-Length: 60000\r\n\r\n");
    let pause = |ms| std::thread::sleep(std::time::Duration::from_millis(ms));
    for piece in text.as_bytes().chunks(text.len() / 10 + 1) {
        client.write(std::str::from_utf8(piece).expect("ASCII"));
        pause(150);
    }
    for piece in body.as_bytes().chunks(6_400) {
        client.write(std::str::from_utf8(piece).expect("ASCII"));
        pause(100);
    }
    assert_eq!(client.read_response().body, "issued");
    assert_eq!(node.next_request().body.len(), 60_000);
}

#[test]
fn a_disconnect_cancels_the_attempt() {
    let node = ScriptedPeer::start(|_| ScriptedReply::NoResponse);
    let gatekeeper = Gatekeeper::in_front_of(&[&node]);
    let mut client = gatekeeper.connect();
    client.issue("r1", "contract");
    node.next_request();
    drop(client);
    assert!(matches!(node.next_event(), PeerEvent::Closed));
}

/// The decision module ignores a request whose id is in use, so the request must be rejected: otherwise it would never
/// be answered.
#[test]
fn a_second_request_of_one_id_is_rejected() {
    let (body, reply) = delayed_reply();
    let node = ScriptedPeer::start(move |_| reply.clone());
    let gatekeeper = Gatekeeper::in_front_of(&[&node]);
    let mut first = gatekeeper.connect();
    first.issue("r1", "contract");
    node.next_request();
    assert_eq!(gatekeeper.connect().issue("r1", "contract").read_response().start, "HTTP/1.1 409 Conflict");
    body.send("issued".into()).expect("the node waits");
    assert_eq!((first.read_response().body.as_str(), node.take_requests().len()), ("issued", 0));
}

#[test]
fn a_request_over_quota_is_rejected_at_once_with_retry_after() {
    let node = ScriptedPeer::start(|_| ScriptedReply::Ok("drafted"));
    let gatekeeper = Gatekeeper::in_front_of(&[&node]);
    let mut client = gatekeeper.connect();
    let rejected =
        (0..40).map(|n| client.preview(&format!("r{n}")).read_response()).find(|a| a.body.is_empty());
    let rejected = rejected.expect("the quota ends");
    let retry_after_secs: f64 =
        rejected.header("retry-after").and_then(|s| s.parse().ok()).expect("a number of seconds");
    assert_eq!(rejected.start, "HTTP/1.1 503 Service Unavailable");
    assert!(retry_after_secs > 0.0 && retry_after_secs <= 0.5, "{retry_after_secs}");
}

/// Requests are admitted without an answer of the quota counter.
#[test]
fn requests_are_served_while_the_counter_does_not_answer() {
    let node = ScriptedPeer::start(|_| ScriptedReply::Ok("drafted"));
    let known = endpoint_list(1, true, &[endpoint_entry("n0", node.address, "SERVING")]);
    let unresponsive = ScriptedPeer::start(|_| ScriptedReply::NoResponse);
    let gatekeeper = Gatekeeper::start(&known, unresponsive.address, unresponsive.address, 1024);
    let mut client = gatekeeper.connect();
    let responses = (0..20).map(|n| client.preview(&format!("r{n}")).read_response().start);
    assert!(responses.filter(|start| start == "HTTP/1.1 200 OK").count() >= 5);
}

/// The watch of the endpoint list goes on after invalid responses, and nodes that drain get no requests.
#[test]
fn the_watch_survives_errors_and_draining_nodes_get_nothing() {
    let (a, b) =
        (ScriptedPeer::start(|_| ScriptedReply::Ok("a")), ScriptedPeer::start(|_| ScriptedReply::Ok("b")));
    let (body, next) = delayed_reply();
    let replies = std::sync::Mutex::new(vec![
        ScriptedReply::Raw("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{\"re".into()),
        ScriptedReply::Close,
        ScriptedReply::Raw(ok_response(&endpoint_list(
            7,
            true,
            &[endpoint_entry("n0", a.address, "SERVING"), endpoint_entry("n1", a.address, "DRAINING")],
        ))),
        next.clone(),
        next,
    ]);
    let discovery = ScriptedPeer::start(move |_| {
        let mut replies = replies.lock().expect("no holder panics");
        if replies.is_empty() {
            ScriptedReply::NoResponse
        } else {
            replies.remove(0)
        }
    });
    let known = endpoint_list(1, true, &[endpoint_entry("n0", b.address, "DRAINING")]);
    let gatekeeper = Gatekeeper::start(&known, discovery.address, start_counter().address, 1024);
    let calls = |n: usize| join_lines((0..n).map(|_| discovery.next_request().start));
    // The watch from the version of the configuration gets a truncated response. The next call is closed, and the one
    // after it gets the full list. The last call shows that the list was accepted.
    assert_snapshot!(calls(4), @"
    GET /v1/endpoints?after=1&wait_ms=5000 HTTP/1.1
    GET /v1/endpoints HTTP/1.1
    GET /v1/endpoints HTTP/1.1
    GET /v1/endpoints?after=7&wait_ms=5000 HTTP/1.1
    ");
    let mut client = gatekeeper.connect();
    assert_eq!(client.preview("r1").read_response().body, "a");
    // The node n0 moves to another address.
    body.send(endpoint_list(8, false, &[endpoint_entry("n0", b.address, "SERVING")]))
        .expect("discovery waits");
    assert_snapshot!(calls(1), @"GET /v1/endpoints?after=8&wait_ms=5000 HTTP/1.1");
    assert_eq!(client.preview("r2").read_response().body, "b");
    // The node n0 drains, and no other node is left.
    body.send(endpoint_list(9, false, &[endpoint_entry("n0", b.address, "DRAINING")]))
        .expect("discovery waits");
    assert_snapshot!(calls(1), @"GET /v1/endpoints?after=9&wait_ms=5000 HTTP/1.1");
    assert_eq!(client.preview("r3").read_response().start, "HTTP/1.1 503 Service Unavailable");
    assert_eq!((a.take_requests().len(), b.take_requests().len()), (1, 1));
}

/// SIGHUP reloads the configuration: discovery and the counter are at other addresses afterwards, and requests in
/// progress go on. A signal that is not handled would end the program.
#[test]
fn sighup_moves_discovery_and_counter_and_affects_no_request_in_progress() {
    let (body, reply) = delayed_reply();
    let (old, new) =
        (ScriptedPeer::start(move |_| reply.clone()), ScriptedPeer::start(|_| ScriptedReply::Ok("new")));
    // Each discovery has versions of its own, and leaves watches from them unanswered.
    let discovery = |version, uid, node: &ScriptedPeer| {
        let full_list = endpoint_list(version, true, &[endpoint_entry(uid, node.address, "SERVING")]);
        ScriptedPeer::start(move |call| {
            match call.start.contains("after=") && !call.start.contains("after=0") {
                true => ScriptedReply::NoResponse,
                false => ScriptedReply::Raw(ok_response(&full_list)),
            }
        })
    };
    let (before, after) = (discovery(41, "n0", &old), discovery(3, "n1", &new));
    let (first, second) = (start_counter(), start_counter());
    let known = endpoint_list(0, true, &[]);
    let gatekeeper = Gatekeeper::start(&known, before.address, first.address, 1024);
    let two_calls = |peer: &ScriptedPeer| [peer.next_request().start, peer.next_request().start];
    let watch = |version| format!("GET /v1/endpoints?after={version}&wait_ms=5000 HTTP/1.1");
    assert_eq!(two_calls(&before), [watch(0), watch(41)]);
    let mut accepted = gatekeeper.connect();
    accepted.issue("r1", "contract");
    old.next_request();
    let valid = configuration(&known, after.address, second.address, 1024);
    gatekeeper.sighup(&valid[..valid.len() - 1], "keeping the current one");
    gatekeeper.sighup(&valid, "configuration reloaded");
    assert_eq!(two_calls(&after), ["GET /v1/endpoints HTTP/1.1".to_owned(), watch(3)]);
    let mut client = gatekeeper.connect();
    for n in 0..8 {
        assert_eq!(client.preview(&format!("p{n}")).read_response().body, "new");
    }
    // Charges of a quota window that has ended are no longer reported. If the customer's window ends between the
    // previews and the call to the counter that they cause, only requests of the next window cause one.
    let start = Instant::now();
    let mut further = 8..;
    let call = loop {
        if let Some(call) = second.next_request_within(Duration::from_secs(2)) {
            break call;
        }
        assert!(start.elapsed() < BOUND, "no call to the second counter within {BOUND:?}");
        gatekeeper.connect().preview(&format!("p{}", further.next().expect("unbounded"))).read_response();
    };
    assert!(call.start.starts_with("POST /counters/"));
    body.send("issued".into()).expect("the node waits");
    assert_eq!(accepted.read_response().body, "issued");
}

#[test]
fn sigterm_finishes_accepted_requests() {
    let (body, reply) = delayed_reply();
    let reply = std::sync::Mutex::new(Some(reply));
    let node = ScriptedPeer::start(move |_| {
        reply.lock().expect("no holder panics").take().unwrap_or(ScriptedReply::Ok("late"))
    });
    let mut gatekeeper = Gatekeeper::in_front_of(&[&node]);
    let (mut accepted, mut idle) = (gatekeeper.connect(), gatekeeper.connect());
    accepted.issue("r1", "contract");
    node.next_request();
    gatekeeper.sigterm();
    // The gatekeeper is not ready once the signal has arrived. Requests that still come are served.
    while gatekeeper.connect().write(READY).read_response().start.contains("200") {}
    let late = gatekeeper.connect().preview("r2").read_response();
    let on_idle = idle.preview("r3").read_response();
    body.send("issued".into()).expect("the node waits");
    let response = accepted.read_response();
    let responses =
        [&late, &on_idle, &response].map(|r| format!("{} {:?}", r.summary(), r.header("connection")));
    assert_snapshot!(join_lines(responses), @r#"
    200 OK [late] Some("close")
    200 OK [late] Some("close")
    200 OK [issued] Some("close")
    "#);
    assert!(accepted.is_closed() && idle.is_closed());
    assert!(gatekeeper.wait_for_exit().success());
}

#[test]
fn an_invalid_configuration_fails_the_start_with_a_message() {
    let output = Gatekeeper::spawn("{\"name\":\"g0\"}").wait_with_output().expect("the program exits");
    let message = String::from_utf8(output.stderr).expect("UTF-8");
    assert_eq!(output.status.code(), Some(1));
    assert!(message.starts_with("whinstall: ") && message.contains("missing field `listen`"), "{message}");
}
