//! What clients of a real edge see between SIGTERM and its exit.

mod common;

use common::cluster::{good_response, Cluster, GRACE, HOLD};
use common::{read_response, status, wait_until, TIMEOUT};
use googletest::prelude::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A connection that is in use until its head is late: while it is there the process does not end.
fn send_half_a_request(cluster: &Cluster) -> TcpStream {
    let mut client = TcpStream::connect(cluster.front_address).expect("it listens");
    client.set_read_timeout(Some(TIMEOUT)).expect("a bound");
    client.write_all(b"GET /any/x HTTP/1.1\r\nHost: a.ex").expect("taken");
    client
}

fn wait_for(at: Instant) {
    wait_until("the time comes", || Instant::now() >= at);
}

#[gtest]
fn a_draining_edge_rejects_requests_that_cannot_complete_in_time() {
    let mut cluster = Cluster::start_serving("late");
    let mut half = send_half_a_request(&cluster);
    let asked = cluster.terminate_edge();
    let _open = send_half_a_request(&cluster);
    // The platform had time to notice, and sends a client all the same.
    wait_for(asked + GRACE * 7 / 10);
    cluster.set_worker_response(HOLD);
    let mut late = cluster.send_request("/long/x");
    let sent = Instant::now();
    let response = read_response(&mut late);
    let took = sent.elapsed();
    let lower = response.to_ascii_lowercase();
    expect_that!(status(&response), eq(503));
    expect_that!(lower, contains_substring("retry-after: "));
    expect_that!(lower, contains_substring("connection: close"));
    expect_that!(took, lt(Duration::from_millis(500)));
    expect_that!(cluster.request_count(), eq(0), "it was promised not to run");
    // A request that was half read when the signal came gets a response too.
    expect_that!(status(&read_response(&mut half)), eq(408));
    cluster.assert_edge_exits();
}

#[gtest]
fn a_draining_edge_serves_requests_that_can_complete_with_a_shorter_deadline() {
    let mut cluster = Cluster::start_serving("short");
    let _half = send_half_a_request(&cluster);
    let asked = cluster.terminate_edge();
    wait_for(asked + GRACE * 55 / 100);
    cluster.set_worker_response(&good_response("id-1", "papers"));
    let response = read_response(&mut cluster.send_request("/long/x"));
    expect_that!(response, ends_with("papers"));
    expect_that!(response.to_ascii_lowercase(), contains_substring("connection: close"));
    let worker_request = cluster.last_request().to_ascii_lowercase();
    let left = worker_request.split("x-remaining-ms: ").nth(1).and_then(|l| l.lines().next()?.parse().ok());
    let left = Duration::from_millis(left.expect("it is set"));
    expect_that!(left, lt(GRACE * 45 / 100));
    // A worker that does not respond in that time: the client gets a final response before the exit.
    cluster.set_worker_response(HOLD);
    let response = read_response(&mut cluster.send_request("/long/x"));
    expect_that!(status(&response), eq(504));
    cluster.assert_edge_exits();
    expect_that!(asked.elapsed(), lt(GRACE));
    cluster.set_worker_response(&good_response("id-1", "papers"));
}

#[gtest]
fn requests_at_workers_get_a_final_response_before_the_process_exits() {
    let mut cluster = Cluster::start_serving("cut");
    cluster.set_worker_response(HOLD);
    let mut client = cluster.send_request("/long/x");
    cluster.wait_for_requests(1);
    let asked = cluster.terminate_edge();
    let response = read_response(&mut client);
    // It may have run: it is neither rejected as not run nor left without a response.
    expect_that!(status(&response), eq(504));
    expect_that!(asked.elapsed(), gt(GRACE * 3 / 4));
    cluster.assert_edge_exits();
    expect_that!(asked.elapsed(), lt(GRACE));
    cluster.set_worker_response(&good_response("id-1", "papers"));
}
