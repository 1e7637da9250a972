//! Connections to a worker on loopback that must not be used again: after surplus bytes, an end, a call-off, a change of
//! the worker behind the address.

use super::tests::{forward, good, local, surplus, End};
use super::*;
use bytes::BytesMut;
use googletest::prelude::*;
use std::future::Future;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// A worker on loopback: what it does with each connection, in turn.
struct Worker {
    listener: TcpListener,
    pool: UpstreamPool,
    /// The number of the next request, which is its id.
    asked: Cell<u32>,
}

impl Worker {
    async fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        Worker { listener, pool: UpstreamPool::new(8), asked: Cell::new(1) }
    }

    async fn accept(&self) -> TcpStream {
        self.listener.accept().await.expect("a connection").0
    }

    async fn ask(&self, name: &str, body: usize) -> AttemptOutcome {
        let number = self.asked.replace(self.asked.get() + 1);
        self.ask_as(&format!("id-{number}"), name, body).await
    }

    /// The same under this id.
    async fn ask_as(&self, id: &str, name: &str, body: usize) -> AttemptOutcome {
        let body = (body > 0).then(|| Bytes::from(vec![b'x'; body]));
        let id = HeaderValue::from_str(id).expect("an id");
        let mut forward = ForwardedRequest { id: id.clone(), ..forward(Method::POST, body, false) };
        forward.headers.insert("x-attempt-id".parse().expect("a name"), id);
        let name = Arc::from(name);
        let address = self.listener.local_addr().expect("an address");
        self.pool.attempt(&name, address, &forward, None, Duration::from_secs(20), || true).await
    }
}

/// Hears one whole request without a body; its id.
async fn hear(stream: &mut TcpStream) -> String {
    let mut heard = BytesMut::new();
    while !heard.ends_with(b"\r\n\r\n") {
        assert_that!(stream.read_buf(&mut heard).await, ok(gt(&0)));
    }
    let heard = String::from_utf8_lossy(&heard).to_ascii_lowercase();
    let id = heard.lines().find_map(|line| line.strip_prefix("x-attempt-id: "));
    id.expect("an id").to_owned()
}

/// Hears a request and gives it a good answer.
async fn answer_next(stream: &mut TcpStream) {
    let id = hear(stream).await;
    stream.write_all(named(&id).as_bytes()).await.expect("taken");
}

/// What `client` comes to while the worker serves, which does not end by itself.
async fn while_serving<T>(worker: impl Future<Output = ()>, client: impl Future<Output = T>) -> T {
    tokio::select! {
        result = client => result,
        () = worker => unreachable!(),
    }
}

/// A good answer to the request of this id.
fn named(id: &str) -> String {
    good().replace("id-1", id)
}

fn body(ended: &AttemptOutcome) -> String {
    let response = ended.response.as_ref().map(|r| String::from_utf8_lossy(&r.body).into_owned());
    response.unwrap_or_else(|| format!("{:?}", ended.ending))
}

#[gtest]
fn a_connection_on_which_anything_came_or_that_ended_is_not_used_again() {
    // What the worker does with its connection after a good answer, and whether it may see another request on it.
    for (behind, ends, again) in [
        ("", None, true),
        ("x", None, false),
        ("HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n", None, false),
        ("", Some(End::Close), false),
        ("", Some(End::Reset), false),
    ] {
        let opened = local(async {
            let worker = Worker::new().await;
            let turn = Notify::new();
            let serve = async {
                let mut first = worker.accept().await;
                answer_next(&mut first).await;
                turn.notified().await;
                first.write_all(behind.as_bytes()).await.expect("taken");
                let mut first = match ends {
                    None => Some(first),
                    Some(End::Reset) => {
                        first.set_zero_linger().expect("set");
                        drop(first);
                        None
                    }
                    Some(_) => {
                        drop(first);
                        None
                    }
                };
                turn.notify_one();
                let other = async {
                    match first.as_mut().filter(|_| again) {
                        Some(first) => {
                            answer_next(first).await;
                        }
                        None => {
                            let mut second = worker.accept().await;
                            answer_next(&mut second).await;
                        }
                    }
                };
                other.await;
                std::future::pending::<()>().await;
            };
            let ask = async {
                expect_that!(body(&worker.ask("i-1", 0).await), eq("papers"));
                turn.notify_one();
                tokio::task::yield_now().await;
                turn.notified().await;
                expect_that!(body(&worker.ask("i-1", 0).await), eq("papers"), "after {behind:?}, {ends:?}");
                worker.pool.connections_opened.get()
            };
            while_serving(serve, ask).await
        });
        expect_that!(opened, eq(if again { 1 } else { 2 }), "after {behind:?}, {ends:?}");
    }
}

#[gtest]
fn a_surplus_answer_that_comes_with_the_next_request_belongs_to_nobody() {
    local(async {
        let worker = Worker::new().await;
        let serve = async {
            let mut first = worker.accept().await;
            answer_next(&mut first).await;
            let id = hear(&mut first).await;
            first.write_all((surplus() + &named(&id)).as_bytes()).await.expect("taken");
            let mut second = worker.accept().await;
            answer_next(&mut second).await;
            drop(first);
            std::future::pending::<()>().await;
        };
        let ask = async {
            for opened in [1, 1, 2] {
                expect_that!(body(&worker.ask("i-1", 0).await), eq("papers"));
                expect_that!(worker.pool.connections_opened.get(), eq(opened));
            }
        };
        while_serving(serve, ask).await;
    });
}

#[gtest]
fn a_connection_whose_request_was_called_off_is_closed() {
    local(async {
        let worker = Worker::new().await;
        let heard = Notify::new();
        let serve = async {
            let mut first = worker.accept().await;
            hear(&mut first).await;
            heard.notify_one();
            // Its client has gone: the connection ends, and what is said on it reaches nobody.
            let mut rest = Vec::new();
            expect_that!(first.read_to_end(&mut rest).await, ok(eq(&0)));
            let _ = first.write_all(surplus().as_bytes()).await;
            let mut second = worker.accept().await;
            answer_next(&mut second).await;
            std::future::pending::<()>().await;
        };
        let ask = async {
            tokio::select! {
                biased;
                ended = worker.ask("i-1", 0) => panic!("{ended:?}"),
                () = heard.notified() => {}
            }
            expect_that!(body(&worker.ask("i-1", 0).await), eq("papers"));
        };
        while_serving(serve, ask).await;
        expect_that!(worker.pool.connections_opened.get(), eq(2));
    });
}

#[gtest]
fn another_worker_at_the_same_address_gets_no_connection_of_the_last_and_is_known_by_its_421() {
    local(async {
        let worker = Worker::new().await;
        let serve = async {
            let mut first = worker.accept().await;
            answer_next(&mut first).await;
            let mut second = worker.accept().await;
            let id = hear(&mut second).await;
            let misdirected = format!("HTTP/1.1 421 No\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            second.write_all(misdirected.as_bytes()).await.expect("taken");
            drop(first);
            std::future::pending::<()>().await;
        };
        let ask = async {
            expect_that!(body(&worker.ask("i-1", 0).await), eq("papers"));
            let ended = worker.ask("i-2", 0).await;
            expect_that!((ended.ending, ended.misdirected), eq((Ending::Full, true)));
            expect_that!(ended.response.is_none(), eq(true));
        };
        while_serving(serve, ask).await;
    });
}

#[gtest]
fn a_worker_that_turns_away_a_long_request_unread_is_heard() {
    local(async {
        let worker = Worker::new().await;
        let serve = async {
            let mut first = worker.accept().await;
            let mut some = [0; 512];
            expect_that!(first.read(&mut some).await, ok(gt(&0)));
            let full =
                "HTTP/1.1 503 Full\r\nX-Attempt-Id: id-1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            first.write_all(full.as_bytes()).await.expect("taken");
            // It stays open and reads no more.
            std::future::pending::<()>().await;
        };
        let ended = while_serving(serve, worker.ask("i-1", 32 << 20)).await;
        expect_that!(ended.ending, eq(Ending::Full));
    });
}

/// Guards what may run once: refused by the only worker, it goes there again, and the worker's second word on the first
/// attempt ("not run") would be taken for its word on the second, which runs.
#[gtest]
fn a_late_second_answer_to_an_earlier_attempt_is_never_taken_for_that_to_a_later_one() {
    let full = |id: &str| {
        format!("HTTP/1.1 503 Full\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
    };
    // So many other requests in between on the same connection.
    for between in [0, 1, 3] {
        local(async {
            let worker = Worker::new().await;
            let serve = async {
                let mut first = worker.accept().await;
                let id = hear(&mut first).await;
                first.write_all(full(&id).as_bytes()).await.expect("taken");
                for _ in 0..between {
                    answer_next(&mut first).await;
                }
                let on_first = async {
                    let _ = hear(&mut first).await;
                    first.write_all((full("again") + &named("again")).as_bytes()).await.expect("taken");
                };
                let on_second = async {
                    let mut second = worker.accept().await;
                    answer_next(&mut second).await;
                    std::future::pending::<()>().await;
                };
                tokio::select! {
                    () = on_first => {}
                    () = on_second => {}
                }
                std::future::pending::<()>().await;
            };
            let ask = async {
                expect_that!(worker.ask_as("again", "i-1", 0).await.ending, eq(Ending::Full));
                for _ in 0..between {
                    expect_that!(body(&worker.ask("i-1", 0).await), eq("papers"));
                }
                expect_that!(body(&worker.ask_as("again", "i-1", 0).await), eq("papers"), "{between}");
                expect_that!(worker.pool.connections_opened.get(), eq(2), "{between}");
            };
            while_serving(serve, ask).await;
        });
    }
}

/// Guards connections that a worker keeps for no time at all, and those that rested for longer than it keeps them: the
/// next request goes out on another one, also on an older one that is still good.
#[gtest]
fn a_connection_is_used_no_longer_than_its_worker_keeps_it() {
    for (keeps, again) in
        [("timeout=0", false), ("timeout=5", true), ("timeout=30, max=9", true), ("max=9", true)]
    {
        local(async {
            let worker = Worker::new().await;
            let serve = async {
                for _ in 0..2 {
                    let mut stream = worker.accept().await;
                    let id = hear(&mut stream).await;
                    let answer = named(&id).replace("OK\r\n", &format!("OK\r\nKeep-Alive: {keeps}\r\n"));
                    stream.write_all(answer.as_bytes()).await.expect("taken");
                    if again {
                        answer_next(&mut stream).await;
                    }
                }
                std::future::pending::<()>().await;
            };
            let ask = async {
                for _ in 0..2 {
                    expect_that!(body(&worker.ask("i-1", 0).await), eq("papers"));
                }
                expect_that!(worker.pool.connections_opened.get(), eq(if again { 1 } else { 2 }), "{keeps}");
            };
            while_serving(serve, ask).await;
        });
    }
}
