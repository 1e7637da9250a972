//! Tests of operation: the operator endpoint, standby, reload, and hot restart under load, with processes of the
//! program, signals and sockets.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const READY: &str = "GET /ready HTTP/1.1\r\nHost: api.internal\r\n\r\n";

/// A gatekeeper with an operator endpoint.
struct Operated {
    gatekeeper: Gatekeeper,
    /// Address of the operator endpoint.
    endpoint: SocketAddr,
}

/// A configuration with an operator endpoint on an ephemeral port. All processes of a hot restart use the same one.
fn operated_configuration(nodes: &[&ScriptedPeer], counter: &ScriptedPeer) -> String {
    let entries: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(n, p)| endpoint_entry(&format!("n{n}"), p.address, "SERVING"))
        .collect();
    let known = endpoint_list(1, true, &entries);
    let discovery = start_static_discovery(known.clone());
    let configuration = configuration(&known, discovery.address, counter.address, 384);
    configuration.replacen('{', "{\"operator\":\"127.0.0.1:0\",", 1)
}

impl Operated {
    fn start(directory: &Path, configuration: &str) -> Operated {
        let gatekeeper = Gatekeeper::start_in(directory, configuration, &[]);
        let line = gatekeeper.wait_for_log(&["operator endpoint listening"]);
        let endpoint =
            line.split("operator=").nth(1).and_then(|a| a.trim().parse().ok()).expect("an address");
        Operated { gatekeeper, endpoint }
    }

    /// Sends a line to the operator endpoint and returns the response.
    fn call(&self, line: &str) -> String {
        let mut stream = TcpStream::connect(self.endpoint).expect("the endpoint listens");
        stream.set_read_timeout(Some(BOUND)).expect("a timeout");
        stream.write_all(format!("{line}\n").as_bytes()).expect("the endpoint reads");
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("a response");
        response
    }

    /// Repeats a call until its response starts with this text.
    fn wait_for_response(&self, line: &str, response: &str) {
        let start = Instant::now();
        while !self.call(line).starts_with(response) {
            assert!(start.elapsed() < BOUND, "{line} is never answered with {response}");
        }
    }

    fn is_ready(&self) -> bool {
        self.gatekeeper.connect().write(READY).read_response().start.contains("200")
    }
}

/// Starts four clients that send without pause, each request on a new connection. Each returns the number of answered
/// requests, or the error of the first request without an answer.
fn start_clients(
    address: SocketAddr,
    stop: &Arc<AtomicBool>,
) -> Vec<std::thread::JoinHandle<Result<usize, String>>> {
    let client = |client: usize| {
        let stop = Arc::clone(stop);
        move || {
            let mut answered = 0;
            while !stop.load(Ordering::Relaxed) {
                let stream = TcpStream::connect(address).map_err(|e| format!("connect: {e}"))?;
                stream.set_read_timeout(Some(BOUND)).map_err(|e| e.to_string())?;
                let head = headers(&format!("c{client}-{answered}"), "preview", "4");
                let text =
                    format!("GET /preview?client={client:016x} HTTP/1.1\r\n{head}Connection: close\r\n\r\n");
                (&stream).write_all(text.as_bytes()).map_err(|e| format!("write: {e}"))?;
                let response = Message::read(&mut std::io::BufReader::new(stream));
                response.ok_or_else(|| format!("no response to request {answered} of client {client}"))?;
                answered += 1;
            }
            Ok(answered)
        }
    };
    (0..4).map(|n| std::thread::spawn(client(n))).collect()
}

/// The new process takes over the listening socket. Binding the address again would fail with "Address already in use",
/// and closing the old socket would reset the connections in its queue.
#[test]
fn a_hot_restart_under_load_loses_nothing() {
    let (body, reply) = delayed_reply();
    let node = ScriptedPeer::start(move |call| match call.start.starts_with("POST") {
        true => reply.clone(),
        false => ScriptedReply::Ok("drafted"),
    });
    let (directory, counter) = (temporary_directory(), start_counter());
    let configuration = operated_configuration(&[&node], &counter);
    let mut old = Operated::start(&directory, &configuration);
    let address = old.gatekeeper.address;
    old.wait_for_response("status", "200");
    let stop = Arc::new(AtomicBool::new(false));
    let clients = start_clients(address, &stop);
    let (mut accepted, mut idle) = (old.gatekeeper.connect(), old.gatekeeper.connect());
    accepted.issue("r1", "contract");
    assert!(idle.write(READY).read_response().start.contains("200"));
    let mut generations = Vec::new();
    for _ in 0..3 {
        let new = Operated::start(&directory, &configuration);
        assert_eq!(new.gatekeeper.address, address);
        new.wait_for_response("status", "200");
        old.gatekeeper.sigterm();
        old.gatekeeper.wait_for_log(&["handover to the new process", "taken=true"]);
        new.gatekeeper.wait_for_log(&["taking over"]);
        generations.push(std::mem::replace(&mut old, new));
    }
    // The first process answers the request that it accepted, although others have taken over since.
    assert!(idle.is_closed());
    body.send("issued".into()).expect("the node waits");
    let response = accepted.read_response();
    assert_eq!((response.body.as_str(), response.header("connection")), ("issued", Some("close")));
    for mut ended in generations {
        assert!(ended.gatekeeper.wait_for_exit().success());
    }
    old.gatekeeper.wait_for_log(&["the old process has exited"]);
    assert!(old.is_ready());
    stop.store(true, Ordering::Relaxed);
    let answered: Vec<_> = clients.into_iter().map(|c| c.join().expect("no panic")).collect();
    assert!(answered.iter().all(|a| a.as_ref().is_ok_and(|n| *n > 0)), "{answered:?}");
}

/// Units that the old process admitted count at the new one, even without a quota counter. Otherwise the quota of a
/// window is granted twice.
#[test]
fn usage_of_the_old_process_counts_at_the_new_one() {
    let node = ScriptedPeer::start(|_| ScriptedReply::Ok("drafted"));
    let (directory, unresponsive) =
        (temporary_directory(), ScriptedPeer::start(|_| ScriptedReply::NoResponse));
    let configuration = operated_configuration(&[&node], &unresponsive);
    let old = Operated::start(&directory, &configuration);
    old.wait_for_response("status", "200");
    let served = |operated: &Operated, prefix: &str| {
        let mut client = operated.gatekeeper.connect();
        (0..30).filter(|n| client.preview(&format!("{prefix}{n}")).read_response().body == "drafted").count()
    };
    // The burst is 10 units, and half a unit is added per second. Without a total, the last units are admitted at
    // random.
    let start = Instant::now();
    let first = served(&old, "a");
    assert!(first >= 5, "{first}");
    let new = Operated::start(&directory, &configuration);
    new.wait_for_response("status", "200");
    old.gatekeeper.sigterm();
    new.gatekeeper.wait_for_log(&["taking over", "customers=1"]);
    let second = served(&new, "b");
    let max = 12 + start.elapsed().as_secs() as usize / 2;
    assert!(first + second <= max, "{first} and {second}, of {max}");
}

/// Whichever of the two processes dies, the other serves.
#[test]
fn the_death_of_either_process_leaves_the_other_serving() {
    let node = ScriptedPeer::start(|_| ScriptedReply::Ok("drafted"));
    let (directory, counter) = (temporary_directory(), start_counter());
    let configuration = operated_configuration(&[&node], &counter);
    let mut old = Operated::start(&directory, &configuration);
    old.wait_for_response("status", "200");
    let mut killed = Operated::start(&directory, &configuration);
    killed.gatekeeper.signal("KILL");
    killed.gatekeeper.wait_for_exit();
    assert!(old.is_ready());
    // Another new process may start then. It takes over when the old one is killed.
    let new = Operated::start(&directory, &configuration);
    new.wait_for_response("status", "200");
    old.gatekeeper.signal("KILL");
    old.gatekeeper.wait_for_exit();
    new.gatekeeper.wait_for_log(&["exited without a handover"]);
    assert_eq!(new.gatekeeper.connect().preview("r1").read_response().body, "drafted");
    // Without a successor, a process drains on SIGTERM as in a planned restart.
    let mut killed = Operated::start(&directory, &configuration);
    killed.gatekeeper.signal("KILL");
    killed.gatekeeper.wait_for_exit();
    let mut new = new;
    new.gatekeeper.sigterm();
    new.gatekeeper.wait_for_log(&["this one continues to serve"]);
    assert_eq!(new.gatekeeper.connect().preview("r2").read_response().body, "drafted");
    assert!(new.gatekeeper.wait_for_exit().success());
}

/// A stopped process sends no listening socket: the new one listens alongside it.
#[test]
fn a_stopped_process_does_not_delay_its_successor() {
    let node = ScriptedPeer::start(|_| ScriptedReply::Ok("drafted"));
    let (directory, counter) = (temporary_directory(), start_counter());
    let configuration = operated_configuration(&[&node], &counter);
    let old = Operated::start(&directory, &configuration);
    let listen = format!("\"listen\":\"{}\"", old.gatekeeper.address);
    old.gatekeeper.signal("STOP");
    let new = Operated::start(&directory, &configuration.replace("\"listen\":\"127.0.0.1:0\"", &listen));
    assert_eq!(new.gatekeeper.address, old.gatekeeper.address);
    new.wait_for_response("status", "200");
}

/// A process of the same name at another address is no predecessor: it keeps its clients.
#[test]
fn a_process_at_another_address_takes_nothing_over() {
    let node = ScriptedPeer::start(|_| ScriptedReply::Ok("drafted"));
    let (directory, counter) = (temporary_directory(), start_counter());
    let configuration = operated_configuration(&[&node], &counter);
    let first = Operated::start(&directory, &configuration);
    let other_address = replaced(&configuration, "\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.2:0\"");
    let second = Operated::start(&directory, &other_address);
    assert_ne!(first.gatekeeper.address.ip(), second.gatekeeper.address.ip());
    second.wait_for_response("status", "200");
    assert!(first.is_ready() && second.is_ready());
}

/// Without an operator endpoint a second process cannot start at the same address, and no handover socket is left in
/// `$TMPDIR`.
#[test]
fn without_an_operator_endpoint_there_is_no_hot_restart() {
    let node = ScriptedPeer::start(|_| ScriptedReply::Ok("drafted"));
    let directory = temporary_directory();
    let configuration =
        operated_configuration(&[&node], &start_counter()).replace("\"operator\":\"127.0.0.1:0\",", "");
    let first = Gatekeeper::start_in(&directory, &configuration, &[]);
    let listen = format!("\"listen\":\"{}\"", first.address);
    let second = configuration.replace("\"listen\":\"127.0.0.1:0\"", &listen);
    let output = Gatekeeper::spawn(&second).wait_with_output().expect("the program exits");
    assert!(String::from_utf8_lossy(&output.stderr).contains("Address already in use"));
    assert_eq!(std::fs::read_dir(&directory).expect("a directory").count(), 0);
}

/// The endpoint responds within a second beside connections on which no complete line is sent.
#[test]
fn the_operator_endpoint_responds_beside_idle_connections() {
    let node = ScriptedPeer::start(|_| ScriptedReply::Ok("drafted"));
    let directory = temporary_directory();
    let operated = Operated::start(&directory, &operated_configuration(&[&node], &start_counter()));
    operated.wait_for_response("status", "200");
    let idle_connections: Vec<_> = (0..40)
        .map(|n| {
            let mut stream = TcpStream::connect(operated.endpoint).expect("the endpoint listens");
            // The endpoint closes the oldest connections to make room, so this write may fail.
            let _ = stream.write_all(if n % 2 == 0 { b"stat" } else { b"" });
            stream
        })
        .collect();
    let start = Instant::now();
    assert!(operated.call("status").starts_with("200 "));
    assert!(operated.call("stat").starts_with("400 "));
    assert!(operated.call(&"status ".repeat(200)).starts_with("400 line too long"));
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    drop(idle_connections);
}

/// On standby all client connections are closed after a while, and no request is lost. When the gatekeeper is active
/// again, connections stay open.
#[test]
fn standby_closes_client_connections_and_active_serves_again() {
    let (body, reply) = delayed_reply();
    let node = ScriptedPeer::start(move |call| match call.start.starts_with("POST") {
        true => reply.clone(),
        false => ScriptedReply::Ok("drafted"),
    });
    let directory = temporary_directory();
    let operated = Operated::start(&directory, &operated_configuration(&[&node], &start_counter()));
    operated.wait_for_response("status", "200");
    assert!(operated.call("active").starts_with("200 active already"));
    let (mut accepted, mut used, mut idle) =
        (operated.gatekeeper.connect(), operated.gatekeeper.connect(), operated.gatekeeper.connect());
    accepted.issue("r1", "contract");
    assert_eq!(used.preview("r2").read_response().header("connection"), None);
    assert_eq!(idle.preview("r3").read_response().header("connection"), None);
    assert!(operated.call("standby").starts_with("200 "));
    operated.gatekeeper.wait_for_log(&["operator command"]);
    assert!(!operated.is_ready());
    assert!(operated.call("standby").starts_with("200 on standby already"));
    // Requests that still come are served, on existing and new connections, and the response closes the connection.
    for client in [&mut used, &mut operated.gatekeeper.connect()] {
        let response = client.preview("r4").read_response();
        assert_eq!((response.body.as_str(), response.header("connection")), ("drafted", Some("close")));
        assert!(client.is_closed());
    }
    assert!(idle.is_closed());
    body.send("issued".into()).expect("the node waits");
    assert_eq!(accepted.read_response().header("connection"), Some("close"));
    assert!(operated.call("active").starts_with("200 "));
    operated.gatekeeper.wait_for_log(&["operator command"]);
    assert!(operated.is_ready());
    assert_eq!(operated.gatekeeper.connect().preview("r5").read_response().header("connection"), None);
}

/// A standby that is ordered during a hot restart also applies to the new process. SIGTERM during standby ends the old
/// process.
#[test]
fn standby_is_handed_over_to_the_new_process() {
    let node = ScriptedPeer::start(|_| ScriptedReply::Ok("drafted"));
    let directory = temporary_directory();
    let configuration = operated_configuration(&[&node], &start_counter());
    let mut old = Operated::start(&directory, &configuration);
    let new = Operated::start(&directory, &configuration);
    new.wait_for_response("status", "200");
    assert!(old.call("standby").starts_with("200 "));
    old.gatekeeper.wait_for_log(&["operator command"]);
    old.gatekeeper.sigterm();
    assert!(old.gatekeeper.wait_for_exit().success());
    new.gatekeeper.wait_for_log(&["taking over"]);
    assert!(!new.is_ready());
    assert!(new.call("active").starts_with("200 active"));
    new.gatekeeper.wait_for_log(&["operator command"]);
    assert!(new.is_ready());
}

/// Replaces the first occurrence of a text in a configuration, which must contain it.
fn replaced(configuration: &str, from: &str, to: &str) -> String {
    assert!(configuration.contains(from), "{from}");
    configuration.replacen(from, to, 1)
}

/// A reload changes the settings without a restart. Requests in progress keep the class and the number of attempts that
/// they were accepted with; new requests follow the new settings.
#[test]
fn reloaded_settings_apply_to_new_requests_only() {
    let (body, reply) = delayed_reply();
    let replies = std::sync::Mutex::new(vec![ScriptedReply::Ok("drafted"), ScriptedReply::Close, reply]);
    let node = ScriptedPeer::start(move |_| {
        replies.lock().expect("no holder panics").pop().unwrap_or(ScriptedReply::Close)
    });
    let directory = temporary_directory();
    let before = operated_configuration(&[&node], &start_counter());
    let operated = Operated::start(&directory, &before);
    operated.wait_for_response("status", "200");
    let mut open = operated.gatekeeper.connect();
    // The node closes the connection of this request after the reload. The class that the request was accepted with
    // permits a second attempt.
    open.preview("r1");
    node.next_request();
    let after = replaced(&before, r#""name": "preview", "aimS": 1.2"#, r#""name": "draft", "aimS": 2.5"#);
    let after = replaced(&after, "repeatable", "once");
    let after = replaced(&after, r#""maxAttempts": 5"#, r#""maxAttempts": 1"#);
    operated.gatekeeper.sighup(&after, "settings_changed=true");
    let draft = |id: &str| {
        let head = headers(id, "draft", "4");
        let text = format!("POST /draft?client=00000000b4d65522 HTTP/1.1\r\n{head}Content-Length: 0\r\n\r\n");
        operated.gatekeeper.connect().write(&text).read_response().start
    };
    assert_eq!(draft("r2"), "HTTP/1.1 502 Bad Gateway", "not retried: the class is `once` now");
    drop(body);
    assert_eq!(open.read_response().body, "drafted");
    // Requests of the removed class are served for a while; a class that never existed is rejected.
    assert_eq!(
        operated.gatekeeper.connect().preview("r3").read_response().start,
        "HTTP/1.1 503 Service Unavailable"
    );
    let unknown = headers("r4", "sketch", "4");
    let unknown = format!("GET /sketch?client=00000000b4d65521 HTTP/1.1\r\n{unknown}\r\n");
    assert_eq!(
        operated.gatekeeper.connect().write(&unknown).read_response().body,
        "header Request-Class names an unknown class"
    );
}

/// An invalid configuration file changes nothing, not even the valid fields in it, such as the address of discovery.
/// The log names the invalid field.
#[test]
fn an_invalid_configuration_file_changes_nothing() {
    let node = ScriptedPeer::start(|_| ScriptedReply::Ok("drafted"));
    let (other_discovery, directory) =
        (ScriptedPeer::start(|_| ScriptedReply::NoResponse), temporary_directory());
    let before = operated_configuration(&[&node], &start_counter());
    let operated = Operated::start(&directory, &before);
    operated.wait_for_response("status", "200");
    let discovery = before
        .split("\"discovery\":\"")
        .nth(1)
        .and_then(|t| t.split('"').next())
        .expect("the address of discovery");
    let moved = before.replace(discovery, &other_discovery.address.to_string());
    let invalid = [
        (String::new(), "EOF"),
        (moved[..moved.len() / 2].to_owned(), "EOF"),
        (moved[..moved.len() - 1].to_owned(), "EOF"),
        (replaced(&moved, "\"operator\":\"127.0.0.1:0\",", ""), "operator: missing"),
        (replaced(&moved, r#""connIdleS": 30.0, "#, ""), "settings.limits.connIdleS: missing"),
        (replaced(&moved, r#", "hardLimitS": 4.0"#, ""), "settings.classes[0].hardLimitS: missing"),
        (
            replaced(&moved, r#""hardLimitS": 4.0"#, r#""hardLimitS": 0"#),
            "settings.classes[0].hardLimitS: must be a number above 0",
        ),
        (
            replaced(&moved, r#""hardLimitS": 6.0"#, r#""hardLimitS": "6 s""#),
            "settings.classes[1].hardLimitS",
        ),
        (replaced(&moved, r#""hardLimitS": 6.0"#, r#""hardLimitS": null"#), "settings.classes[1].hardLimitS"),
        (
            replaced(&moved, r#""maxAttempts": 5"#, r#""maxAttempts": -1"#),
            "settings.limits.maxAttempts: must be a number above 0",
        ),
        (replaced(&moved, r#""maxAttempts": 5"#, r#""maxAttempts": "many""#), "settings.limits.maxAttempts"),
        (replaced(&moved, r#""name": "issue""#, r#""name": "preview""#), "duplicate name \"preview\""),
        (replaced(&moved, "\"once\"", "\"twice\""), "settings.classes[1].idempotency"),
    ];
    for (n, (file, field)) in invalid.into_iter().enumerate() {
        operated.gatekeeper.sighup(&file, field);
        let mut client = operated.gatekeeper.connect();
        assert_eq!(client.preview_for(&format!("r{n}"), n as u32).read_response().body, "drafted", "{field}");
    }
    assert!(other_discovery.take_requests().is_empty());
    operated.gatekeeper.sighup(&moved, "configuration reloaded");
    assert!(other_discovery.next_request().start.starts_with("GET /v1/endpoints"));
}
