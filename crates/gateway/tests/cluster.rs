//! Behaviour of a cluster of real processes, as clients, workers and operators see it on sockets: an edge node, a core node,
//! and a worker whose responses the test sets.

mod common;

use common::cluster::{good_response, Cluster, HOLD};
use common::{read_response, send_and_receive, status, wait_until, TIMEOUT};
use googletest::prelude::*;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

#[gtest]
fn only_the_workers_complete_response_is_forwarded() {
    let cluster = Cluster::start_serving("answers");

    cluster.set_worker_response(&good_response("id-1", "papers"));
    let response = cluster.request(
        "/once/x?q=1",
        "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-Tenant: forged\r\n",
        "",
    );
    expect_that!(status(&response), eq(200));
    expect_that!(response.to_ascii_lowercase(), contains_substring("x-server-seal: seal-id-1"));
    expect_that!(response, ends_with("papers"));
    let worker_request = cluster.last_request().to_ascii_lowercase();
    for forwarded in [
        "get /once/x?q=1 http/1.1",
        "host: a.example",
        "x-attempt-id: id-1",
        "x-tenant: t1",
        "x-target-instance: i-1",
    ] {
        expect_that!(worker_request, contains_substring(forwarded));
    }
    for removed in ["key-1", "api-key", "forged", "x-hop"] {
        expect_that!(worker_request, not(contains_substring(removed)));
    }

    cluster.request("/once/x", "Transfer-Encoding: chunked\r\n", "4\r\nform\r\n3\r\n-42\r\n0\r\n\r\n");
    expect_that!(cluster.last_request(), ends_with("\r\n\r\nform-42"));
    cluster.request("/once/x", "Content-Length: 7\r\n", "form-42");
    expect_that!(cluster.last_request(), ends_with("\r\n\r\nform-42"));

    // The edge node discards a response to another request and waits for the right one.
    cluster.set_worker_response(&(good_response("id-0", "others") + &good_response("id-1", "papers")));
    expect_that!(cluster.request("/once/x", "", ""), ends_with("papers"));
    // The edge node discards bytes after a complete response, so that none of them reach the next request.
    cluster.set_worker_response(&(good_response("id-1", "papers") + &good_response("id-9", "others")));
    expect_that!(cluster.request("/once/x", "", ""), ends_with("papers"));
    cluster.set_worker_response(&good_response("id-1", "next"));
    expect_that!(cluster.request("/once/x", "", ""), ends_with("next"));

    // An incomplete or foreign response is never forwarded, and the client gets no promise that the request, which may have
    // run, was not executed.
    let seal = "X-Attempt-Id: id-1\r\nX-Server-Seal: s\r\n";
    for invalid_response in [
        format!("HTTP/1.1 200 OK\r\n{seal}Content-Length: 9\r\n\r\npapCUT"),
        format!("HTTP/1.1 200 OK\r\n{seal}Transfer-Encoding: chunked\r\n\r\n3\r\npap\r\nCUT"),
        format!("HTTP/1.1 200 OK\r\n{seal}\r\npapersCUT"),
        format!("HTTP/1.1 200 OK\r\n{seal}Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\npap"),
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nContent-Length: 3\r\n\r\npap".into(),
        "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n".into(),
        // A response without an attempt id is not trusted, whether it reports a success or a rejection.
        "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 3\r\n\r\npap".into(),
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".into(),
        "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n".into(),
        "nonsense\r\n\r\nCUT".into(),
        "CUT".into(),
    ] {
        cluster.set_worker_response(&invalid_response);
        let requests_before = cluster.request_count();
        let response = cluster.request("/once/x", "", "");
        expect_that!(status(&response), eq(502), "{invalid_response}: {response}");
        expect_that!(response, not(contains_substring("pap")));
        expect_that!(
            cluster.request_count(),
            eq(requests_before + 1),
            "sent more than once: {invalid_response}"
        );
    }
    // The worker reports that the request was not executed.
    cluster.set_worker_response(
        "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: id-1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    );
    let response = cluster.request("/once/x", "", "");
    expect_that!(status(&response), eq(503));
    expect_that!(response, contains_substring("retry-after: "));
    // An error response of the worker is forwarded unchanged.
    cluster.set_worker_response(
        "HTTP/1.1 500 Oops\r\nX-Attempt-Id: id-1\r\nX-Server-Seal: s5\r\nContent-Length: 4\r\n\r\noops",
    );
    let response = cluster.request("/once/x", "", "");
    expect_that!(status(&response), eq(500));
    expect_that!(response, ends_with("oops"));
}

#[gtest]
fn malformed_input_is_rejected_and_changes_nothing() {
    let cluster = Cluster::start_serving("bad");
    cluster.set_worker_response(&good_response("id-1", "papers"));
    let front_status = |text: &str| status(&send_and_receive(cluster.front_address, text));
    let id = "Host: a.example\r\nX-Attempt-Id: id-1\r\nX-Remaining-Ms: 2000\r\n";
    let long = "x".repeat(4000);
    let cases = [
        ("not HTTP", "nonsense and more\r\n\r\n".into(), 400),
        ("no such route", format!("GET /none/ HTTP/1.1\r\n{id}Api-Key: key-1\r\n\r\n"), 404),
        ("no such host", "GET /once/ HTTP/1.1\r\nHost: b.example\r\nApi-Key: key-1\r\n\r\n".into(), 404),
        ("no key", format!("GET /once/ HTTP/1.1\r\n{id}\r\n"), 401),
        ("a wrong key", format!("GET /once/ HTTP/1.1\r\n{id}Api-Key: key-9\r\n\r\n"), 401),
        ("two keys", format!("GET /once/ HTTP/1.1\r\n{id}Api-Key: key-1\r\nApi-Key: key-1\r\n\r\n"), 401),
        ("no id", "GET /once/ HTTP/1.1\r\nHost: a.example\r\nApi-Key: key-1\r\n\r\n".into(), 400),
        ("an empty id", "GET /once/ HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: \r\nApi-Key: key-1\r\n\r\n".into(), 400),
        ("two ids", format!("GET /once/ HTTP/1.1\r\n{id}X-Attempt-Id: id-2\r\nApi-Key: key-1\r\n\r\n"), 400),
        ("one id twice", format!("GET /once/ HTTP/1.1\r\n{id}X-Attempt-Id: id-1\r\nApi-Key: key-1\r\n\r\n"), 400),
        ("a long head", format!("GET /once/ HTTP/1.1\r\n{id}Api-Key: key-1\r\nX-Long: {long}\r\n\r\n"), 431),
        ("a long body", format!("POST /once/ HTTP/1.1\r\n{id}Api-Key: key-1\r\nContent-Length: 4097\r\n\r\n"), 413),
        (
            "two lengths",
            format!("POST /once/ HTTP/1.1\r\n{id}Api-Key: key-1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            400,
        ),
    ];
    for (case, text, expected) in cases {
        expect_that!(front_status(&text), eq(expected), "{case}");
    }
    expect_that!(cluster.request_count(), eq(0), "a malformed request reached the worker");

    let heartbeat_path = "/whinstall/instances/i-2/heartbeat";
    let calls = [
        ("/whinstall/configuration/amend", "{\"upsert\":", 400),
        ("/whinstall/configuration/amend", "{\"upsert\":{\"unknown_set\":{}}}", 400),
        (heartbeat_path, "{}", 400),
        (heartbeat_path, "{\"service_ref\":\"s1\",\"address\":\"nowhere\",\"phase\":\"settled\",\"zone_name\":\"a\",\"call_count\":1}", 400),
        (heartbeat_path, "{\"service_ref\":\"s1\",\"address\":\"127.0.0.1:9\",\"phase\":\"odd\",\"zone_name\":\"a\",\"call_count\":1}", 400),
        ("/whinstall/unknown", "{}", 404),
        ("/whinstall/instances/nobody/departure", "{}", 200),
    ];
    for (path, body, expected) in calls {
        let response = cluster.call_core(path, body);
        expect_that!(status(&response), eq(expected), "{path} {body}");
        if expected == 400 {
            expect_that!(response, contains_substring("\"fault\":\""));
        }
    }
    for path in ["/whinstall/instances//heartbeat", "/whinstall/instances/a/b/heartbeat"] {
        expect_that!(status(&cluster.call_core(path, "{}")), not(eq(200)), "{path}");
    }
    expect_that!(cluster.request("/once/x", "", ""), ends_with("papers"));
    // The status command shows the state of the core.
    let output = Command::new(env!("CARGO_BIN_EXE_whinstall-gateway"))
        .args(["status", "--at", &cluster.control_address.to_string()])
        .output()
        .expect("the command runs");
    let output = String::from_utf8_lossy(&output.stdout).into_owned();
    for word in ["\"role\": \"leader\"", "\"term\": 1", "\"holds_counter\": true", "\"members\": ["] {
        expect_that!(output, contains_substring(word));
    }
    // The event journal of the core has recorded the changes.
    let journal = send_and_receive(
        cluster.control_address,
        "GET /whinstall/journal HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n",
    );
    for word in ["\"item\":\"r1\"", "\"worker\":\"i-1\"", "\"acknowledged\":true", "\"holds_counter\":true"] {
        expect_that!(journal, contains_substring(word));
    }
}

/// Sends a request that must be served, and waits so that repeated calls use at most a fifth of the quota.
fn expect_served(cluster: &Cluster) {
    let sent_at = Instant::now();
    expect_that!(cluster.request("/once/x", "", ""), ends_with("papers"));
    wait_until("5 ms have passed since the request", || sent_at.elapsed() >= Duration::from_millis(5));
}

#[gtest]
fn a_restarted_core_has_its_state_and_a_draining_edge_completes_requests() {
    let mut cluster = Cluster::start_serving("ends");
    let read = cluster.call_core("/whinstall/configuration/read", "");
    expect_that!(read, contains_substring("\"r-1\"").or(contains_substring("\"r1\"")));

    // The core process is killed and restarted: the configuration survives, and the edge node serves in the meantime.
    cluster.set_worker_response(&good_response("id-1", "papers"));
    // The edge node can use a tenant's quota share once the core has stored the share, which takes up to a second from the
    // tenant's first request.
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(1) {
        expect_served(&cluster);
    }
    cluster.core = None;
    expect_served(&cluster);
    cluster.core = Some(cluster.spawn("core", "core-restart"));
    let body = |response: &str| response.split("\r\n\r\n").nth(1).unwrap_or_default().to_owned();
    wait_until("the restarted core returns the same configuration", || {
        expect_served(&cluster);
        body(&cluster.call_core("/whinstall/configuration/read", "")) == body(&read)
    });

    // After SIGTERM the edge node is not ready, still responds with `connection: close`, and exits.
    let mut client = TcpStream::connect(cluster.front_address).expect("the edge node accepts connections");
    client.set_read_timeout(Some(TIMEOUT)).expect("the timeout is valid");
    let request = "GET /any/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-1\r\nX-Remaining-Ms: 2000\r\nApi-Key: key-1\r\n\r\n";
    cluster.terminate_edge();
    client.write_all(request.as_bytes()).expect("the request is sent");
    let response = read_response(&mut client);
    expect_that!(response, ends_with("papers"));
    expect_that!(response.to_ascii_lowercase(), contains_substring("connection: close"));
    cluster.assert_edge_exits();
}

#[gtest]
fn requests_in_flight_run_once_and_complete_during_shutdown() {
    let mut cluster = Cluster::start_serving("waits");
    // Clients disconnect while their requests are at the worker: no request is dispatched a second time.
    cluster.set_worker_response(HOLD);
    for (n, path) in ["/once/x", "/any/x"].into_iter().enumerate() {
        let client = cluster.send_request(path);
        cluster.wait_for_requests(n + 1);
        drop(client);
    }
    // Further requests use new upstream connections, because the first requests still occupy theirs.
    let mut clients: Vec<TcpStream> = Vec::new();
    for path in ["/once/y", "/any/y"] {
        clients.push(cluster.send_request(path));
        cluster.wait_for_requests(2 + clients.len());
    }
    // SIGTERM while requests wait: clients get the complete responses of the worker, with `connection: close`.
    cluster.terminate_edge();
    cluster.set_worker_response(&good_response("id-1", "papers"));
    for client in &mut clients {
        let response = read_response(client);
        expect_that!(status(&response), eq(200));
        expect_that!(response, ends_with("papers"));
        expect_that!(response.to_ascii_lowercase(), contains_substring("connection: close"));
    }
    cluster.assert_edge_exits();
    expect_that!(cluster.request_count(), eq(4));
}

#[gtest]
fn the_command_line_reports_usage_and_faults() {
    let run = |args: &[&str]| {
        Command::new(env!("CARGO_BIN_EXE_whinstall-gateway")).args(args).output().expect("the command runs")
    };
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let help = run(&["--help"]);
    expect_that!(help.status.code(), some(eq(0)));
    for word in ["edge", "core", "check", "WHINSTALL_NODE_FILE"] {
        expect_that!(text(&help.stdout), contains_substring(word));
    }
    // Unknown roles and the role names of earlier releases are rejected.
    for name in ["hammer", "jig", "anvil"] {
        expect_that!(run(&[name]).status.code(), some(eq(2)), "{name}");
    }
    expect_that!(run(&["--odd"]).status.code(), some(eq(2)));
    let file = std::env::temp_dir().join(format!("whinstall-check-{}", std::process::id()));
    let check = |option: &str, body: &str| {
        std::fs::write(&file, body).expect("the file is written");
        run(&["check", option, &file.display().to_string()])
    };
    let rejected =
        check("--config", r#"{"upsert":{"tenant_set":{"columns":["label","revision"],"records":[["t1"]]}}}"#);
    expect_that!(rejected.status.code(), some(eq(1)));
    expect_that!(text(&rejected.stderr), contains_substring("tenant_set.records[0]"));
    expect_that!(check("--config", r#"{"upsert":{}}"#).status.code(), some(eq(0)));
    let rejected = check("--settings", "[self]\nnode_name = 3\n");
    expect_that!(rejected.status.code(), some(eq(1)));
    expect_that!(text(&rejected.stderr), contains_substring("self."));
    let _ = std::fs::remove_file(Path::new(&file));
}
