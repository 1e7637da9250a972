//! Both programs as they are, on loopback, with a worker that says what it is told to: what clients, workers and
//! operators see on their sockets.

mod common;

use common::cluster::{good, Whole};
use common::{hear, say, status, until, BOUND};
use googletest::prelude::*;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

#[gtest]
fn what_goes_on_is_the_workers_whole_answer_and_nothing_else() {
    let whole = Whole::start("answers");
    whole.configure();
    whole.worker();
    until("ready", || whole.is_ready());

    whole.answers(&good("id-1", "papers"));
    let answer =
        whole.ask("/once/x?q=1", "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-Tenant: forged\r\n", "");
    expect_that!(status(&answer), eq(200));
    expect_that!(answer.to_ascii_lowercase(), contains_substring("x-server-seal: seal-id-1"));
    expect_that!(answer, ends_with("papers"));
    let heard = whole.last().to_ascii_lowercase();
    for sent in [
        "get /once/x?q=1 http/1.1",
        "host: a.example",
        "x-attempt-id: id-1",
        "x-tenant: t1",
        "x-target-instance: i-1",
    ] {
        expect_that!(heard, contains_substring(sent));
    }
    for kept in ["key-1", "api-key", "forged", "x-hop"] {
        expect_that!(heard, not(contains_substring(kept)));
    }

    whole.ask("/once/x", "Transfer-Encoding: chunked\r\n", "4\r\nform\r\n3\r\n-42\r\n0\r\n\r\n");
    expect_that!(whole.last(), ends_with("\r\n\r\nform-42"));
    whole.ask("/once/x", "Content-Length: 7\r\n", "form-42");
    expect_that!(whole.last(), ends_with("\r\n\r\nform-42"));

    // An answer to another request comes first: it belongs to nobody.
    whole.answers(&(good("id-0", "others") + &good("id-1", "papers")));
    expect_that!(whole.ask("/once/x", "", ""), ends_with("papers"));
    // Bytes after a whole answer: they belong to nobody, and the next request gets none of them.
    whole.answers(&(good("id-1", "papers") + &good("id-9", "others")));
    expect_that!(whole.ask("/once/x", "", ""), ends_with("papers"));
    whole.answers(&good("id-1", "next"));
    expect_that!(whole.ask("/once/x", "", ""), ends_with("next"));

    // What is not the worker's whole answer is never passed on, nor is what may have run promised not to have.
    let seal = "X-Attempt-Id: id-1\r\nX-Server-Seal: s\r\n";
    for bad in [
        format!("HTTP/1.1 200 OK\r\n{seal}Content-Length: 9\r\n\r\npapCUT"),
        format!("HTTP/1.1 200 OK\r\n{seal}Transfer-Encoding: chunked\r\n\r\n3\r\npap\r\nCUT"),
        format!("HTTP/1.1 200 OK\r\n{seal}\r\npapersCUT"),
        format!("HTTP/1.1 200 OK\r\n{seal}Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\npap"),
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nContent-Length: 3\r\n\r\npap".into(),
        "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n".into(),
        // Nobody's: believed by none, be it a success or a refusal.
        "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 3\r\n\r\npap".into(),
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".into(),
        "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n".into(),
        "nonsense\r\n\r\nCUT".into(),
        "CUT".into(),
    ] {
        whole.answers(&bad);
        let before = whole.heard.lock().expect("whole").len();
        let answer = whole.ask("/once/x", "", "");
        expect_that!(status(&answer), eq(502), "{bad}: {answer}");
        expect_that!(answer, not(contains_substring("pap")));
        expect_that!(whole.heard.lock().expect("whole").len(), eq(before + 1), "once only: {bad}");
    }
    // Its own word that it has not run.
    whole.answers(
        "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: id-1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    );
    let answer = whole.ask("/once/x", "", "");
    expect_that!(status(&answer), eq(503));
    expect_that!(answer, contains_substring("retry-after: "));
    // A failure of its own goes on as it is.
    whole.answers(
        "HTTP/1.1 500 Oops\r\nX-Attempt-Id: id-1\r\nX-Server-Seal: s5\r\nContent-Length: 4\r\n\r\noops",
    );
    let answer = whole.ask("/once/x", "", "");
    expect_that!(status(&answer), eq(500));
    expect_that!(answer, ends_with("oops"));
}

#[gtest]
fn bad_input_of_every_caller_gets_a_clear_error_and_harms_nothing() {
    let whole = Whole::start("bad");
    whole.configure();
    whole.worker();
    until("ready", || whole.is_ready());
    whole.answers(&good("id-1", "papers"));
    let front = |text: &str| status(&say(whole.front, text));
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
    for (what, text, expected) in cases {
        expect_that!(front(&text), eq(expected), "{what}");
    }
    expect_that!(whole.heard.lock().expect("whole").len(), eq(0), "none of it reached the worker");

    let beat = "/whinstall/instances/i-2/heartbeat";
    let calls = [
        ("/whinstall/configuration/amend", "{\"upsert\":", 400),
        ("/whinstall/configuration/amend", "{\"upsert\":{\"unknown_set\":{}}}", 400),
        (beat, "{}", 400),
        (beat, "{\"service_ref\":\"s1\",\"address\":\"nowhere\",\"phase\":\"settled\",\"zone_name\":\"a\",\"call_count\":1}", 400),
        (beat, "{\"service_ref\":\"s1\",\"address\":\"127.0.0.1:9\",\"phase\":\"odd\",\"zone_name\":\"a\",\"call_count\":1}", 400),
        ("/whinstall/unknown", "{}", 404),
        ("/whinstall/instances/nobody/departure", "{}", 200),
    ];
    for (path, body, expected) in calls {
        let answer = whole.call(path, body);
        expect_that!(status(&answer), eq(expected), "{path} {body}");
        if expected == 400 {
            expect_that!(answer, contains_substring("\"fault\":\""));
        }
    }
    for path in ["/whinstall/instances//heartbeat", "/whinstall/instances/a/b/heartbeat"] {
        expect_that!(status(&whole.call(path, "{}")), not(eq(200)), "{path}");
    }
    expect_that!(whole.ask("/once/x", "", ""), ends_with("papers"));
    // How the core stands, by the operators' command.
    let told = Command::new(env!("CARGO_BIN_EXE_whinstall-gateway"))
        .args(["status", "--at", &whole.control.to_string()])
        .output()
        .expect("it runs");
    let told = String::from_utf8_lossy(&told.stdout).into_owned();
    for word in ["\"role\": \"leader\"", "\"term\": 1", "\"holds_counter\": true", "\"members\": ["] {
        expect_that!(told, contains_substring(word));
    }
    // What happened is told.
    let journal =
        say(whole.control, "GET /whinstall/journal HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n");
    for word in ["\"item\":\"r1\"", "\"worker\":\"i-1\"", "\"acknowledged\":true", "\"holds_counter\":true"] {
        expect_that!(journal, contains_substring(word));
    }
}

/// Asks for a fifth of the quota: the next request is due 5 ms later.
fn is_served(whole: &Whole) {
    let asked = Instant::now();
    expect_that!(whole.ask("/once/x", "", ""), ends_with("papers"));
    until("the next is due", || asked.elapsed() >= Duration::from_millis(5));
}

#[gtest]
fn the_core_comes_back_with_what_its_disk_holds_and_a_drain_breaks_nothing_off() {
    let mut whole = Whole::start("ends");
    whole.configure();
    whole.worker();
    until("ready", || whole.is_ready());
    let read = whole.call("/whinstall/configuration/read", "");
    expect_that!(read, contains_substring("\"r-1\"").or(contains_substring("\"r1\"")));

    // Killed and back: all is there, and the gatekeeper serves on all the while.
    whole.answers(&good("id-1", "papers"));
    // A tenant's share at a gatekeeper stands once the core's disks have it on record: within a second of its first
    // request.
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(1) {
        is_served(&whole);
    }
    whole.core = None;
    is_served(&whole);
    whole.core = Some(whole.run("core", "again"));
    let body = |answer: &str| answer.split("\r\n\r\n").nth(1).unwrap_or_default().to_owned();
    until("it is read again", || {
        is_served(&whole);
        body(&whole.call("/whinstall/configuration/read", "")) == body(&read)
    });

    // SIGTERM: not ready, an answer that is owed still comes and says that the connection ends, then the end.
    let mut client = TcpStream::connect(whole.front).expect("it listens");
    client.set_read_timeout(Some(BOUND)).expect("a bound");
    let request = "GET /any/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-1\r\nX-Remaining-Ms: 2000\r\nApi-Key: key-1\r\n\r\n";
    whole.terminate();
    client.write_all(request.as_bytes()).expect("taken");
    let answer = hear(&mut client);
    expect_that!(answer, ends_with("papers"));
    expect_that!(answer.to_ascii_lowercase(), contains_substring("connection: close"));
    whole.ends();
}

#[gtest]
fn what_waits_when_its_client_or_this_process_is_to_end_runs_once_and_is_answered_if_it_can_be() {
    let mut whole = Whole::start("waits");
    whole.configure();
    whole.worker();
    until("ready", || whole.is_ready());
    // Clients that leave while their requests are at work: nothing is sent a second time, and nobody else hears.
    whole.answers("HELD");
    for (n, path) in ["/once/x", "/any/x"].into_iter().enumerate() {
        let client = whole.asks(path);
        whole.hears(n + 1);
        drop(client);
    }
    // The next ones come on connections of their own, as the others' still wait.
    let mut clients: Vec<TcpStream> = Vec::new();
    for path in ["/once/y", "/any/y"] {
        clients.push(whole.asks(path));
        whole.hears(2 + clients.len());
    }
    // SIGTERM while they wait: the worker's answers come, whole, and say that the connections end.
    whole.terminate();
    whole.answers(&good("id-1", "papers"));
    for client in &mut clients {
        let answer = hear(client);
        expect_that!(status(&answer), eq(200));
        expect_that!(answer, ends_with("papers"));
        expect_that!(answer.to_ascii_lowercase(), contains_substring("connection: close"));
    }
    whole.ends();
    expect_that!(whole.heard.lock().expect("whole").len(), eq(4));
}

#[gtest]
fn the_command_line_says_what_it_takes() {
    let run = |args: &[&str]| {
        Command::new(env!("CARGO_BIN_EXE_whinstall-gateway")).args(args).output().expect("it runs")
    };
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let help = run(&["--help"]);
    expect_that!(help.status.code(), some(eq(0)));
    for word in ["edge", "core", "check", "WHINSTALL_NODE_FILE"] {
        expect_that!(text(&help.stdout), contains_substring(word));
    }
    // No role, nor one that deploy files named before.
    for name in ["hammer", "jig", "anvil"] {
        expect_that!(run(&[name]).status.code(), some(eq(2)), "{name}");
    }
    expect_that!(run(&["--odd"]).status.code(), some(eq(2)));
    let place = std::env::temp_dir().join(format!("whinstall-check-{}", std::process::id()));
    let check = |option: &str, body: &str| {
        std::fs::write(&place, body).expect("written");
        run(&["check", option, &place.display().to_string()])
    };
    let bad =
        check("--config", r#"{"upsert":{"tenant_set":{"columns":["label","revision"],"records":[["t1"]]}}}"#);
    expect_that!(bad.status.code(), some(eq(1)));
    expect_that!(text(&bad.stderr), contains_substring("tenant_set.records[0]"));
    expect_that!(check("--config", r#"{"upsert":{}}"#).status.code(), some(eq(0)));
    let bad = check("--settings", "[self]\nnode_name = 3\n");
    expect_that!(bad.status.code(), some(eq(1)));
    expect_that!(text(&bad.stderr), contains_substring("self."));
    let _ = std::fs::remove_file(Path::new(&place));
}
