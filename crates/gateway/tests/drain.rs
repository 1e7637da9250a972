//! Graceful shutdown of a real edge process, as seen by its clients between SIGTERM and the exit of the process.

mod common;

use common::cluster::{good_response, Cluster, GRACE, HOLD};
use common::{read_response, status, wait_until, TIMEOUT};
use googletest::prelude::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Opens a connection and sends an incomplete request head. The connection counts as in use until the header deadline, so
/// that the process does not exit before.
fn send_incomplete_request(cluster: &Cluster) -> TcpStream {
    let mut client = TcpStream::connect(cluster.front_address).expect("the edge node accepts connections");
    client.set_read_timeout(Some(TIMEOUT)).expect("the timeout is valid");
    client.write_all(b"GET /any/x HTTP/1.1\r\nHost: a.ex").expect("the bytes are sent");
    client
}

fn wait_for(instant: Instant) {
    wait_until("the instant is reached", || Instant::now() >= instant);
}

#[gtest]
fn a_draining_edge_rejects_requests_that_cannot_complete_in_time() {
    let mut cluster = Cluster::start_serving("late");
    let mut incomplete = send_incomplete_request(&cluster);
    let terminated_at = cluster.terminate_edge();
    let _second_incomplete = send_incomplete_request(&cluster);
    // The platform has had time to notice the drain, but still routes a client to this node.
    wait_for(terminated_at + GRACE * 7 / 10);
    cluster.set_worker_response(HOLD);
    let mut late_client = cluster.send_request("/long/x");
    let sent_at = Instant::now();
    let response = read_response(&mut late_client);
    let elapsed = sent_at.elapsed();
    let lower = response.to_ascii_lowercase();
    expect_that!(status(&response), eq(503));
    expect_that!(lower, contains_substring("retry-after: "));
    expect_that!(lower, contains_substring("connection: close"));
    expect_that!(elapsed, lt(Duration::from_millis(500)));
    expect_that!(
        cluster.request_count(),
        eq(0),
        "a request that was rejected as not executed reached the worker"
    );
    // A request that was incomplete when the signal arrived gets a response, too.
    expect_that!(status(&read_response(&mut incomplete)), eq(408));
    cluster.assert_edge_exits();
}

#[gtest]
fn a_draining_edge_serves_requests_that_can_complete_with_a_shorter_deadline() {
    let mut cluster = Cluster::start_serving("short");
    let _incomplete = send_incomplete_request(&cluster);
    let terminated_at = cluster.terminate_edge();
    wait_for(terminated_at + GRACE * 55 / 100);
    cluster.set_worker_response(&good_response("id-1", "papers"));
    let response = read_response(&mut cluster.send_request("/long/x"));
    expect_that!(response, ends_with("papers"));
    expect_that!(response.to_ascii_lowercase(), contains_substring("connection: close"));
    let worker_request = cluster.last_request().to_ascii_lowercase();
    let remaining_ms =
        worker_request.split("x-remaining-ms: ").nth(1).and_then(|l| l.lines().next()?.parse().ok());
    let remaining = Duration::from_millis(remaining_ms.expect("the worker request has the header"));
    expect_that!(remaining, lt(GRACE * 45 / 100));
    // If a worker does not respond in that time, the client gets a final response before the process exits.
    cluster.set_worker_response(HOLD);
    let response = read_response(&mut cluster.send_request("/long/x"));
    expect_that!(status(&response), eq(504));
    cluster.assert_edge_exits();
    expect_that!(terminated_at.elapsed(), lt(GRACE));
    cluster.set_worker_response(&good_response("id-1", "papers"));
}

#[gtest]
fn requests_at_workers_get_a_final_response_before_the_process_exits() {
    let mut cluster = Cluster::start_serving("cut");
    cluster.set_worker_response(HOLD);
    let mut client = cluster.send_request("/long/x");
    cluster.wait_for_requests(1);
    let terminated_at = cluster.terminate_edge();
    let response = read_response(&mut client);
    // The request may have run: it is neither rejected as not executed nor left without a response.
    expect_that!(status(&response), eq(504));
    expect_that!(terminated_at.elapsed(), gt(GRACE * 3 / 4));
    cluster.assert_edge_exits();
    expect_that!(terminated_at.elapsed(), lt(GRACE));
    cluster.set_worker_response(&good_response("id-1", "papers"));
}
