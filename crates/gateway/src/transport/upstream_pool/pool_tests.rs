//! Tests of the pool with a worker on loopback. A connection must not be reused after surplus bytes, after its end, after
//! a cancelled attempt, or when another worker takes over the address.

use super::tests::{forwarded_request, good_response, run_local, surplus_response, StreamEnd};
use super::*;
use bytes::BytesMut;
use googletest::prelude::*;
use std::future::Future;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// A worker on loopback and a pool that sends attempts to it.
struct TestWorker {
    listener: TcpListener,
    pool: UpstreamPool,
    /// Number of the next request, which is part of its attempt id.
    next_id: Cell<u32>,
}

impl TestWorker {
    async fn listen() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        TestWorker { listener, pool: UpstreamPool::new(8), next_id: Cell::new(1) }
    }

    async fn accept(&self) -> TcpStream {
        self.listener.accept().await.expect("a connection").0
    }

    async fn send(&self, name: &str, body: usize) -> AttemptOutcome {
        let number = self.next_id.replace(self.next_id.get() + 1);
        self.send_as(&format!("id-{number}"), name, body).await
    }

    /// Sends a request with this attempt id.
    async fn send_as(&self, id: &str, name: &str, body: usize) -> AttemptOutcome {
        let body = (body > 0).then(|| Bytes::from(vec![b'x'; body]));
        let id = HeaderValue::from_str(id).expect("an id");
        let mut forward = ForwardedRequest { id: id.clone(), ..forwarded_request(Method::POST, body, false) };
        forward.headers.insert("x-attempt-id".parse().expect("a name"), id);
        let name = Arc::from(name);
        let address = self.listener.local_addr().expect("an address");
        self.pool.attempt(&name, address, &forward, None, Duration::from_secs(20), || true).await
    }
}

/// Reads one complete request without a body and returns its attempt id.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut received = BytesMut::new();
    while !received.ends_with(b"\r\n\r\n") {
        assert_that!(stream.read_buf(&mut received).await, ok(gt(&0)));
    }
    let received = String::from_utf8_lossy(&received).to_ascii_lowercase();
    let id = received.lines().find_map(|line| line.strip_prefix("x-attempt-id: "));
    id.expect("an id").to_owned()
}

/// Reads a request and sends a valid response.
async fn respond_to_next(stream: &mut TcpStream) {
    let id = read_request(stream).await;
    stream.write_all(good_response_to(&id).as_bytes()).await.expect("taken");
}

/// Returns the result of `client`, with `worker` running meanwhile; `worker` must not end by itself.
async fn while_serving<T>(worker: impl Future<Output = ()>, client: impl Future<Output = T>) -> T {
    tokio::select! {
        result = client => result,
        () = worker => unreachable!(),
    }
}

/// A valid response to the request with this attempt id.
fn good_response_to(id: &str) -> String {
    good_response().replace("id-1", id)
}

fn body_or_ending(outcome: &AttemptOutcome) -> String {
    let response = outcome.response.as_ref().map(|r| String::from_utf8_lossy(&r.body).into_owned());
    response.unwrap_or_else(|| format!("{:?}", outcome.ending))
}

#[gtest]
fn a_connection_with_unread_bytes_or_closed_is_not_reused() {
    // The bytes that the worker sends after a valid response, how the connection ends, and whether it is reused.
    for (suffix, end, is_reused) in [
        ("", None, true),
        ("x", None, false),
        ("HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n", None, false),
        ("", Some(StreamEnd::Close), false),
        ("", Some(StreamEnd::Reset), false),
    ] {
        let opened = run_local(async {
            let worker = TestWorker::listen().await;
            let step_done = Notify::new();
            let serve = async {
                let mut first = worker.accept().await;
                respond_to_next(&mut first).await;
                step_done.notified().await;
                first.write_all(suffix.as_bytes()).await.expect("taken");
                let mut first = match end {
                    None => Some(first),
                    Some(StreamEnd::Reset) => {
                        first.set_zero_linger().expect("set");
                        drop(first);
                        None
                    }
                    Some(_) => {
                        drop(first);
                        None
                    }
                };
                step_done.notify_one();
                let other = async {
                    match first.as_mut().filter(|_| is_reused) {
                        Some(first) => {
                            respond_to_next(first).await;
                        }
                        None => {
                            let mut second = worker.accept().await;
                            respond_to_next(&mut second).await;
                        }
                    }
                };
                other.await;
                std::future::pending::<()>().await;
            };
            let client = async {
                expect_that!(body_or_ending(&worker.send("i-1", 0).await), eq("papers"));
                step_done.notify_one();
                tokio::task::yield_now().await;
                step_done.notified().await;
                expect_that!(
                    body_or_ending(&worker.send("i-1", 0).await),
                    eq("papers"),
                    "after {suffix:?}, {end:?}"
                );
                worker.pool.connections_opened.get()
            };
            while_serving(serve, client).await
        });
        expect_that!(opened, eq(if is_reused { 1 } else { 2 }), "after {suffix:?}, {end:?}");
    }
}

#[gtest]
fn a_surplus_response_is_discarded() {
    run_local(async {
        let worker = TestWorker::listen().await;
        let serve = async {
            let mut first = worker.accept().await;
            respond_to_next(&mut first).await;
            let id = read_request(&mut first).await;
            first.write_all((surplus_response() + &good_response_to(&id)).as_bytes()).await.expect("taken");
            let mut second = worker.accept().await;
            respond_to_next(&mut second).await;
            drop(first);
            std::future::pending::<()>().await;
        };
        let client = async {
            for opened in [1, 1, 2] {
                expect_that!(body_or_ending(&worker.send("i-1", 0).await), eq("papers"));
                expect_that!(worker.pool.connections_opened.get(), eq(opened));
            }
        };
        while_serving(serve, client).await;
    });
}

#[gtest]
fn the_connection_of_a_cancelled_request_is_closed() {
    run_local(async {
        let worker = TestWorker::listen().await;
        let received = Notify::new();
        let serve = async {
            let mut first = worker.accept().await;
            read_request(&mut first).await;
            received.notify_one();
            // The attempt was cancelled, so the connection ends and a late response on it reaches no request.
            let mut rest = Vec::new();
            expect_that!(first.read_to_end(&mut rest).await, ok(eq(&0)));
            let _ = first.write_all(surplus_response().as_bytes()).await;
            let mut second = worker.accept().await;
            respond_to_next(&mut second).await;
            std::future::pending::<()>().await;
        };
        let client = async {
            tokio::select! {
                biased;
                outcome = worker.send("i-1", 0) => panic!("{outcome:?}"),
                () = received.notified() => {}
            }
            expect_that!(body_or_ending(&worker.send("i-1", 0).await), eq("papers"));
        };
        while_serving(serve, client).await;
        expect_that!(worker.pool.connections_opened.get(), eq(2));
    });
}

#[gtest]
fn a_new_worker_at_an_address_gets_no_old_connection_and_is_recognised_by_421() {
    run_local(async {
        let worker = TestWorker::listen().await;
        let serve = async {
            let mut first = worker.accept().await;
            respond_to_next(&mut first).await;
            let mut second = worker.accept().await;
            let id = read_request(&mut second).await;
            let misdirected = format!("HTTP/1.1 421 No\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            second.write_all(misdirected.as_bytes()).await.expect("taken");
            drop(first);
            std::future::pending::<()>().await;
        };
        let client = async {
            expect_that!(body_or_ending(&worker.send("i-1", 0).await), eq("papers"));
            let outcome = worker.send("i-2", 0).await;
            expect_that!((outcome.ending, outcome.misdirected), eq((Ending::Full, true)));
            expect_that!(outcome.response.is_none(), eq(true));
        };
        while_serving(serve, client).await;
    });
}

#[gtest]
fn an_early_rejection_of_an_unread_request_is_received() {
    run_local(async {
        let worker = TestWorker::listen().await;
        let serve = async {
            let mut first = worker.accept().await;
            let mut some = [0; 512];
            expect_that!(first.read(&mut some).await, ok(gt(&0)));
            let full =
                "HTTP/1.1 503 Full\r\nX-Attempt-Id: id-1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            first.write_all(full.as_bytes()).await.expect("taken");
            // The connection stays open, and the worker reads nothing more.
            std::future::pending::<()>().await;
        };
        let outcome = while_serving(serve, worker.send("i-1", 32 << 20)).await;
        expect_that!(outcome.ending, eq(Ending::Full));
    });
}

/// Guards a request that may be executed only once. Its only worker rejects it, and it is retried there. A duplicate of
/// the first response ("not executed") must not be accepted for the second attempt, which the worker executes.
#[gtest]
fn a_late_second_response_is_never_matched_to_a_retry() {
    let full = |id: &str| {
        format!("HTTP/1.1 503 Full\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
    };
    // Number of other requests on the same connection between the two attempts.
    for between in [0, 1, 3] {
        run_local(async {
            let worker = TestWorker::listen().await;
            let serve = async {
                let mut first = worker.accept().await;
                let id = read_request(&mut first).await;
                first.write_all(full(&id).as_bytes()).await.expect("taken");
                for _ in 0..between {
                    respond_to_next(&mut first).await;
                }
                let on_first = async {
                    let _ = read_request(&mut first).await;
                    first
                        .write_all((full("again") + &good_response_to("again")).as_bytes())
                        .await
                        .expect("taken");
                };
                let on_second = async {
                    let mut second = worker.accept().await;
                    respond_to_next(&mut second).await;
                    std::future::pending::<()>().await;
                };
                tokio::select! {
                    () = on_first => {}
                    () = on_second => {}
                }
                std::future::pending::<()>().await;
            };
            let client = async {
                expect_that!(worker.send_as("again", "i-1", 0).await.ending, eq(Ending::Full));
                for _ in 0..between {
                    expect_that!(body_or_ending(&worker.send("i-1", 0).await), eq("papers"));
                }
                expect_that!(
                    body_or_ending(&worker.send_as("again", "i-1", 0).await),
                    eq("papers"),
                    "{between}"
                );
                expect_that!(worker.pool.connections_opened.get(), eq(2), "{between}");
            };
            while_serving(serve, client).await;
        });
    }
}

/// Guards against requests on a connection that the worker does not keep open. After `Keep-Alive: timeout=0` the next
/// request uses another connection; after a longer timeout the connection is reused.
#[gtest]
fn a_connection_is_not_reused_beyond_its_keep_alive() {
    for (keep_alive, is_reused) in
        [("timeout=0", false), ("timeout=5", true), ("timeout=30, max=9", true), ("max=9", true)]
    {
        run_local(async {
            let worker = TestWorker::listen().await;
            let serve = async {
                for _ in 0..2 {
                    let mut stream = worker.accept().await;
                    let id = read_request(&mut stream).await;
                    let response = good_response_to(&id)
                        .replace("OK\r\n", &format!("OK\r\nKeep-Alive: {keep_alive}\r\n"));
                    stream.write_all(response.as_bytes()).await.expect("taken");
                    if is_reused {
                        respond_to_next(&mut stream).await;
                    }
                }
                std::future::pending::<()>().await;
            };
            let client = async {
                for _ in 0..2 {
                    expect_that!(body_or_ending(&worker.send("i-1", 0).await), eq("papers"));
                }
                expect_that!(
                    worker.pool.connections_opened.get(),
                    eq(if is_reused { 1 } else { 2 }),
                    "{keep_alive}"
                );
            };
            while_serving(serve, client).await;
        });
    }
}
