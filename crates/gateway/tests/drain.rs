//! What clients see of a gatekeeper between SIGTERM and its end, on loopback.

mod common;

use common::cluster::{good, Whole, GRACE};
use common::{hear, status, until, BOUND};
use googletest::prelude::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

fn served(name: &str) -> Whole {
    let whole = Whole::start(name);
    whole.configure();
    whole.worker();
    until("ready", || whole.is_ready());
    whole
}

/// A connection that is in use until its head is late: while it is there the process does not end.
fn half_a_request(whole: &Whole) -> TcpStream {
    let mut client = TcpStream::connect(whole.front).expect("it listens");
    client.set_read_timeout(Some(BOUND)).expect("a bound");
    client.write_all(b"GET /any/x HTTP/1.1\r\nHost: a.ex").expect("taken");
    client
}

fn wait_until(at: Instant) {
    until("the time comes", || Instant::now() >= at);
}

#[gtest]
fn a_request_that_can_not_end_before_the_process_does_is_refused_at_once() {
    let mut whole = served("late");
    let mut half = half_a_request(&whole);
    let asked = whole.terminate();
    let _open = half_a_request(&whole);
    // The platform had its time to notice, and sends a client all the same.
    wait_until(asked + GRACE * 7 / 10);
    whole.answers("HELD");
    let mut late = whole.asks("/long/x");
    let sent = Instant::now();
    let answer = hear(&mut late);
    let took = sent.elapsed();
    let lower = answer.to_ascii_lowercase();
    expect_that!(status(&answer), eq(503));
    expect_that!(lower, contains_substring("retry-after: "));
    expect_that!(lower, contains_substring("connection: close"));
    expect_that!(took, lt(Duration::from_millis(500)));
    expect_that!(whole.heard.lock().expect("whole").len(), eq(0), "it was promised not to run");
    // What was half read when the signal came is answered too.
    expect_that!(status(&hear(&mut half)), eq(408));
    whole.ends();
}

#[gtest]
fn a_request_that_can_be_expected_to_end_is_served_and_its_worker_told_to_end_in_time() {
    let mut whole = served("short");
    let _half = half_a_request(&whole);
    let asked = whole.terminate();
    wait_until(asked + GRACE * 55 / 100);
    whole.answers(&good("id-1", "papers"));
    let answer = hear(&mut whole.asks("/long/x"));
    expect_that!(answer, ends_with("papers"));
    expect_that!(answer.to_ascii_lowercase(), contains_substring("connection: close"));
    let heard = whole.last().to_ascii_lowercase();
    let left = heard.split("x-remaining-ms: ").nth(1).and_then(|l| l.lines().next()?.parse().ok());
    let left = Duration::from_millis(left.expect("it is told"));
    expect_that!(left, lt(GRACE * 45 / 100));
    // A worker that says nothing even so: the answer is final, and comes before the end.
    whole.answers("HELD");
    let answer = hear(&mut whole.asks("/long/x"));
    expect_that!(status(&answer), eq(504));
    whole.ends();
    expect_that!(asked.elapsed(), lt(GRACE));
    whole.answers(&good("id-1", "papers"));
}

#[gtest]
fn what_is_still_at_a_worker_when_the_process_ends_gets_a_final_answer() {
    let mut whole = served("cut");
    whole.answers("HELD");
    let mut client = whole.asks("/long/x");
    whole.hears(1);
    let asked = whole.terminate();
    let answer = hear(&mut client);
    // It may have run: that is neither refused nor left open.
    expect_that!(status(&answer), eq(504));
    expect_that!(asked.elapsed(), gt(GRACE * 3 / 4));
    whole.ends();
    expect_that!(asked.elapsed(), lt(GRACE));
    whole.answers(&good("id-1", "papers"));
}
