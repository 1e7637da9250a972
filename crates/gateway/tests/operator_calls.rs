//! Operators' calls to a real core process over its socket: split, chunked, truncated, pipelined and concurrent calls.

use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Upper bound on each single wait.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A core process, which is killed on drop.
struct CoreProcess {
    child: Child,
    folder: PathBuf,
    control: SocketAddr,
}

impl Drop for CoreProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl CoreProcess {
    /// Starts a core of one node, and waits until that node is the leader and accepts a change.
    fn start(name: &str) -> Self {
        let free_port = || {
            TcpListener::bind("127.0.0.1:0")
                .expect("a port is free")
                .local_addr()
                .expect("the listener has an address")
                .port()
        };
        let folder = std::env::temp_dir().join(format!("whinstall-calls-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(folder.join("data")).expect("the folder is created");
        let (data, internal_port) = (folder.join("data"), free_port());
        let control = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let settings = format!(
            "[self]\nnode_name = \"c\"\nip_addr = \"127.0.0.1\"\nzone_name = \"a\"\nregion_name = \"r\"\n\
             cold_start = true\ndata_path = {data:?}\n[network]\ninternal_ports = [{internal_port}, {internal_port}]\n\
             seed_list = [\"{control}\"]\n[network.endpoints]\ncontrol_port = \"{control}\"\n[network.zones]\na = \"r\"\n\
             [constraints.envelope]\nretry_slack = 62\nquota_margin = 20\ngrace_period = \"4s\"\n"
        );
        std::fs::write(folder.join("c.toml"), settings).expect("the file is written");
        let log = std::fs::File::create(folder.join("c.log")).expect("the log file is created");
        let child = Command::new(env!("CARGO_BIN_EXE_whinstall-gateway"))
            .arg("core")
            .env("WHINSTALL_NODE_FILE", folder.join("c.toml"))
            .stderr(log)
            .stdin(Stdio::null())
            .spawn();
        let core = CoreProcess { child: child.expect("the process starts"), folder, control };
        let started_at = Instant::now();
        while core.call(&post_change("s", 1, 1)).0 != 200 {
            assert!(started_at.elapsed() < TIMEOUT, "no change was accepted within {TIMEOUT:?}");
            std::thread::yield_now();
        }
        core
    }

    fn connect(&self) -> Option<TcpStream> {
        let stream = TcpStream::connect(self.control).ok()?;
        stream.set_read_timeout(Some(TIMEOUT)).expect("the timeout is valid");
        Some(stream)
    }

    /// Sends a call on a new connection. Returns the status and body; status 0 if there is no response.
    fn call(&self, text: &str) -> (u16, String) {
        let Some(mut stream) = self.connect() else { return (0, String::new()) };
        let _ = stream.write_all(text.as_bytes());
        read_response(&mut stream)
    }

    /// Reads the configuration.
    fn read(&self) -> String {
        let (status, body) = retry_unavailable(|| self.call(READ_REQUEST));
        assert_that!(status, eq(200));
        body
    }
}

const READ_REQUEST: &str = "GET /whinstall/configuration/read HTTP/1.1\r\nHost: c\r\n\r\n";
/// Head of a configuration change, without its length and the empty line.
const AMEND_HEAD: &str =
    "POST /whinstall/configuration/amend HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\n";

fn change_body(label: &str, version: u64, content: u64) -> String {
    format!(
        r#"{{"upsert":{{"service_set":{{"columns":["label","conn_limit","revision"],"records":[["{label}",{content},"r{version}"]]}}}}}}"#
    )
}

fn post(body: &str) -> String {
    format!("{AMEND_HEAD}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn post_change(label: &str, version: u64, content: u64) -> String {
    post(&change_body(label, version, content))
}

/// Builds a configuration change with a chunked body. `end`: last chunk and trailers.
fn post_chunked(body: &str, chunk_size: usize, end: &str) -> String {
    let chunks = body
        .as_bytes()
        .chunks(chunk_size)
        .map(|c| format!("{:x}\r\n{}\r\n", c.len(), String::from_utf8_lossy(c)));
    format!("{AMEND_HEAD}Transfer-Encoding: chunked\r\n\r\n{}{end}", chunks.collect::<String>())
}

/// Reads the next response and no byte beyond. Returns the status and body; status 0 if the connection ends first.
fn read_response(stream: &mut TcpStream) -> (u16, String) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return (0, String::new()),
        }
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let length = head.split("content-length: ").nth(1).and_then(|l| l.lines().next()?.trim().parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    match stream.read_exact(&mut body) {
        Ok(()) => (status, String::from_utf8_lossy(&body).into_owned()),
        Err(_) => (0, String::new()),
    }
}

/// Sends `text` and reads the next response. Returns the status and body; status 0 if the connection ends first.
fn exchange(stream: &mut TcpStream, text: &str) -> (u16, String) {
    stream.write_all(text.as_bytes()).expect("the call is sent");
    read_response(stream)
}

/// Repeats a call while its status is 503, for up to [`TIMEOUT`]. On a busy machine, a change may not be committed in time.
fn retry_unavailable<T>(mut call: impl FnMut() -> (u16, T)) -> (u16, T) {
    let started_at = Instant::now();
    loop {
        let response = call();
        if response.0 != 503 || started_at.elapsed() > TIMEOUT {
            return response;
        }
    }
}

#[gtest]
fn calls_are_applied_completely_or_not_at_all() {
    let core = CoreProcess::start("complete");
    // All calls use one connection, one after the other.
    let mut connection = core.connect().expect("the core accepts connections");
    let records: Vec<String> = (0..5000).map(|n| format!(r#"["big-{n}",1,"r1"]"#)).collect();
    let large_body = format!(
        r#"{{"upsert":{{"service_set":{{"columns":["label","conn_limit","revision"],"records":[{}]}}}}}}"#,
        records.join(",")
    );
    let cases = [
        ("not JSON", post("{\"upsert\":"), 400),
        ("a change after a rejected call", post_change("s", 2, 1), 200),
        ("chunked", post_chunked(&change_body("s", 3, 1), 7, "0\r\n\r\n"), 200),
        (
            "chunks of one byte, with trailers",
            post_chunked(&change_body("s", 4, 1), 1, "0\r\nX-T: 1\r\n\r\n"),
            200,
        ),
        ("no body", post(""), 400),
        ("another method", post("{}").replacen("POST", "PUT", 1), 404),
        ("another path", post("{}").replacen("amend", "amend/", 1), 404),
        (
            "the current version again, with equivalent spelling",
            post(&change_body("s", 4, 1).replace("\"r4\"", "\"r04\"").replace(",1,", ",1.0,")),
            200,
        ),
        ("other content under the current version", post_change("s", 4, 2), 409),
        ("an older version again", post_change("s", 2, 1), 200),
        ("other content under an older version", post_change("s", 2, 2), 409),
        ("large", post(&large_body), 200),
        ("large and chunked, again", post_chunked(&large_body, 9000, "0\r\n\r\n"), 200),
        ("a read", READ_REQUEST.into(), 200),
    ];
    for (case, text, expected) in cases {
        expect_that!(retry_unavailable(|| exchange(&mut connection, &text)).0, eq(expected), "{case}");
    }
    // Pipelined calls are answered in their order.
    let mut version = 4;
    let (_, responses) = retry_unavailable(|| {
        version += 2;
        let (first, second) = (post_change("s", version - 1, 1), post_change("s", version, 1));
        let mut responses =
            vec![exchange(&mut connection, &[&first, READ_REQUEST, &second, READ_REQUEST].concat())];
        responses.extend((0..3).map(|_| read_response(&mut connection)));
        let unavailable = responses.iter().map(|r| r.0).find(|status| *status == 503);
        (unavailable.unwrap_or(200), responses)
    });
    let has_version = |n: usize, version: u64| responses[n].1.contains(&format!("\"r{version}\""));
    expect_that!(responses.iter().map(|r| r.0).collect::<Vec<_>>(), eq(&[200; 4]));
    expect_that!((has_version(1, version - 1), has_version(3, version)), eq((true, true)));
    // The server sends `100 Continue` before the client sends the body.
    let body = change_body("s", version + 1, 1);
    let head = format!("{AMEND_HEAD}Expect: 100-continue\r\nContent-Length: {}\r\n\r\n", body.len());
    let (status, _) = retry_unavailable(|| {
        expect_that!(exchange(&mut connection, &head).0, eq(100));
        exchange(&mut connection, &body)
    });
    expect_that!(status, eq(200));
    // A truncated call has no effect, even if the received part of the body is valid JSON.
    let complete = post_change("s", 99, 1);
    let padded = post(&(change_body("s", 98, 1) + " "));
    let chunked = post_chunked(&change_body("s", 97, 1), 4096, "0\r\n\r\n");
    let truncated_lengths =
        |text: &str, min: usize| (min..text.len()).step_by(5).chain([text.len() - 1]).collect::<Vec<_>>();
    for text in [&complete, &padded, &chunked] {
        for length in truncated_lengths(text, text.len() - 60) {
            let mut truncated = core.connect().expect("the core accepts connections");
            truncated.write_all(&text.as_bytes()[..length]).expect("the call is sent");
            truncated.shutdown(std::net::Shutdown::Write).expect("the connection is shut down");
            expect_that!(read_response(&mut truncated).0, not(eq(200)), "{length} bytes of {text}");
        }
    }
    let configuration = core.read();
    for version in ["\"r97\"", "\"r98\"", "\"r99\""] {
        expect_that!(configuration.contains(version), eq(false), "{version}");
    }
    expect_that!(configuration.contains(&format!("\"r{}\"", version + 1)), eq(true));
}

#[gtest]
fn of_concurrent_changes_under_one_version_one_content_is_accepted() {
    let core = CoreProcess::start("race");
    for version in 2..22 {
        let outcomes: Vec<(u64, u16)> = std::thread::scope(|scope| {
            let call =
                |n: u64| (n / 2, retry_unavailable(|| core.call(&post_change("s", version, 10 + n / 2))).0);
            let calls: Vec<_> = (0..8).map(|n| scope.spawn(move || call(n))).collect();
            calls.into_iter().map(|c| c.join().expect("the call returns")).collect()
        });
        let accepted: Vec<u64> = outcomes.iter().filter(|o| o.1 == 200).map(|o| o.0).collect();
        expect_that!(accepted, len(eq(2)), "{outcomes:?}");
        expect_that!(accepted.iter().all(|content| *content == accepted[0]), eq(true), "{outcomes:?}");
        expect_that!(outcomes.iter().filter(|o| o.1 == 409).count(), eq(6), "{outcomes:?}");
        let configuration = core.read();
        expect_that!(configuration.contains(&format!("{}", accepted[0])), eq(true));
    }
}
