//! Tests of the decoding of API calls and of the error messages for malformed ones.

use super::control_api::{decode_call, DecodeError};
use crate::control_plane::ApiCommand;
use crate::discovery::WorkerPhase;
use actix_http::test::TestRequest;
use actix_http::Method;
use googletest::prelude::*;

fn decode(method: Method, path: &str, body: &str) -> std::result::Result<Option<ApiCommand>, DecodeError> {
    decode_call(&TestRequest::with_uri(path).method(method).finish(), body.as_bytes())
}

fn error_of(path: &str, body: &str) -> String {
    decode(Method::POST, path, body).err().map(|e| e.to_string()).unwrap_or_default()
}

#[gtest]
fn each_endpoint_has_its_command_and_its_method() {
    let decoded = |method, path| decode(method, path, "{}").expect("decoded");
    let amend = "/whinstall/configuration/amend";
    expect_that!(decoded(Method::POST, amend), some(matches_pattern!(ApiCommand::Amend(_))));
    let unreadable = decode(Method::POST, amend, "{").expect("decoded");
    expect_that!(unreadable, some(matches_pattern!(ApiCommand::InvalidChange(_))));
    let read = "/whinstall/configuration/read";
    expect_that!(decoded(Method::GET, read), some(matches_pattern!(ApiCommand::Read)));
    expect_that!(decoded(Method::GET, "/whinstall/core"), some(matches_pattern!(ApiCommand::Status)));
    expect_that!(decoded(Method::GET, "/whinstall/journal"), some(matches_pattern!(ApiCommand::Journal)));
    let departure = decoded(Method::POST, "/whinstall/instances/i-1/departure");
    expect_that!(departure, some(matches_pattern!(ApiCommand::Departure(_))));
    for (method, path) in [
        (Method::GET, amend),
        (Method::POST, read),
        (Method::POST, "/whinstall/core"),
        (Method::GET, "/whinstall/instances/i-1/heartbeat"),
        (Method::GET, "/whinstall/instances/i-1/departure"),
        (Method::POST, "/whinstall/instances/i-1"),
        (Method::POST, "/whinstall/instances/i-1/other"),
        (Method::POST, "/unknown"),
    ] {
        expect_that!(decoded(method.clone(), path), none(), "{method} {path}");
    }
}

#[gtest]
fn a_heartbeat_describes_a_worker() {
    let full = r#"{"service_ref":"s1","address":"10.0.0.1:80","zone_name":"a","capacity":4,"phase":"decaying","warmup_left":"250ms","call_count":7}"#;
    let path = "/whinstall/instances/i-1/heartbeat";
    let Ok(Some(ApiCommand::Heartbeat(worker))) = decode(Method::POST, path, full) else {
        panic!("a heartbeat")
    };
    expect_that!((&*worker.id, &*worker.service, &*worker.zone), eq(("i-1", "s1", "a")));
    expect_that!((worker.capacity, worker.warmup_ms, worker.heartbeat_seq), eq((4, 250, 7)));
    expect_that!(worker.phase, eq(WorkerPhase::Draining));
    let short =
        r#"{"service_ref":"s1","address":"10.0.0.1:80","zone_name":"a","phase":"settled","call_count":7}"#;
    let Ok(Some(ApiCommand::Heartbeat(worker))) = decode(Method::POST, path, short) else {
        panic!("a heartbeat")
    };
    expect_that!((worker.capacity, worker.warmup_ms), eq((1, 0)));
    expect_that!(worker.phase, eq(WorkerPhase::Serving));
}

#[gtest]
fn the_first_fault_of_a_malformed_heartbeat_is_reported() {
    let path = "/whinstall/instances/i-1/heartbeat";
    for (body, fault) in [
        ("{}", "$.address: missing"),
        (r#"{"address":1}"#, "$.address: not a text"),
        (r#"{"address":"x"}"#, "$.phase: missing"),
        (r#"{"address":"x","phase":1}"#, "$.service_ref: missing"),
        (r#"{"address":"x","phase":1,"service_ref":" "}"#, "$.service_ref: not a name"),
        (r#"{"address":"x","phase":1,"service_ref":"s"}"#, "$.address: not an address such as 10.0.0.1:80"),
        (
            r#"{"address":"10.0.0.1:80","phase":"x","service_ref":"s","zone_name":"a","capacity":-1,"warmup_left":1}"#,
            "$.capacity: not a number of at least 0",
        ),
        (
            r#"{"address":"10.0.0.1:80","phase":"x","service_ref":"s","zone_name":"a","warmup_left":1}"#,
            "$.phase: not settled or decaying",
        ),
        (
            r#"{"address":"10.0.0.1:80","phase":"settled","service_ref":"s","zone_name":"a","warmup_left":1}"#,
            "$.warmup_left: not a time such as 2500ms or 2.5s",
        ),
        (
            r#"{"address":"10.0.0.1:80","phase":"settled","service_ref":"s","zone_name":"a"}"#,
            "$.call_count: missing",
        ),
    ] {
        expect_that!(error_of(path, body), eq(fault), "{body}");
    }
    expect_that!(error_of("/whinstall/instances//heartbeat", "{}"), eq("an instance without an id"));
}
