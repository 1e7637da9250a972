//! Operators' calls on the sockets of a real core machine: in pieces, in chunks, cut off, pipelined, concurrent.

use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Nothing here takes longer.
const TIMEOUT: Duration = Duration::from_secs(20);

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
    /// A core of one machine, which leads.
    fn start(name: &str) -> Self {
        let port =
            || TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address").port();
        let folder = std::env::temp_dir().join(format!("whinstall-calls-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(folder.join("data")).expect("a folder");
        let (data, inner) = (folder.join("data"), port());
        let control = SocketAddr::from(([127, 0, 0, 1], port()));
        let settings = format!(
            "[self]\nnode_name = \"c\"\nip_addr = \"127.0.0.1\"\nzone_name = \"a\"\nregion_name = \"r\"\n\
             cold_start = true\ndata_path = {data:?}\n[network]\ninternal_ports = [{inner}, {inner}]\n\
             seed_list = [\"{control}\"]\n[network.endpoints]\ncontrol_port = \"{control}\"\n[network.zones]\na = \"r\"\n\
             [constraints.envelope]\nretry_slack = 62\nquota_margin = 20\ngrace_period = \"4s\"\n"
        );
        std::fs::write(folder.join("c.toml"), settings).expect("written");
        let log = std::fs::File::create(folder.join("c.log")).expect("a file");
        let child = Command::new(env!("CARGO_BIN_EXE_whinstall-gateway"))
            .arg("core")
            .env("WHINSTALL_NODE_FILE", folder.join("c.toml"))
            .stderr(log)
            .stdin(Stdio::null())
            .spawn();
        let core = CoreProcess { child: child.expect("it starts"), folder, control };
        let begun = Instant::now();
        while core.call(&post_change("s", 1, 1)).0 != 200 {
            assert!(begun.elapsed() < TIMEOUT, "no change is accepted");
            std::thread::yield_now();
        }
        core
    }

    fn open(&self) -> Option<TcpStream> {
        let stream = TcpStream::connect(self.control).ok()?;
        stream.set_read_timeout(Some(TIMEOUT)).expect("a bound");
        Some(stream)
    }

    fn call(&self, text: &str) -> (u16, String) {
        let Some(mut stream) = self.open() else { return (0, String::new()) };
        let _ = stream.write_all(text.as_bytes());
        read_response(&mut stream)
    }

    fn read(&self) -> String {
        let (status, body) = retry_unavailable(|| self.call(READ));
        assert_that!(status, eq(200));
        body
    }
}

const READ: &str = "GET /whinstall/configuration/read HTTP/1.1\r\nHost: c\r\n\r\n";
const AMEND: &str =
    "POST /whinstall/configuration/amend HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\n";

fn change_body(label: &str, version: u64, content: u64) -> String {
    format!(
        r#"{{"upsert":{{"service_set":{{"columns":["label","conn_limit","revision"],"records":[["{label}",{content},"r{version}"]]}}}}}}"#
    )
}

fn post(body: &str) -> String {
    format!("{AMEND}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn post_change(label: &str, version: u64, content: u64) -> String {
    post(&change_body(label, version, content))
}

fn chunks(body: &str, size: usize, end: &str) -> String {
    let pieces =
        body.as_bytes().chunks(size).map(|c| format!("{:x}\r\n{}\r\n", c.len(), String::from_utf8_lossy(c)));
    format!("{AMEND}Transfer-Encoding: chunked\r\n\r\n{}{end}", pieces.collect::<String>())
}

/// Reads the next response, and not a byte more. Its status and body; 0 if the connection ends first.
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

/// Sends `text` and reads the next response.
fn exchange(stream: &mut TcpStream, text: &str) -> (u16, String) {
    stream.write_all(text.as_bytes()).expect("taken");
    read_response(stream)
}

/// Repeats a call while it gets 503: on a busy machine a change may not be decided in time.
fn retry_unavailable<T>(mut call: impl FnMut() -> (u16, T)) -> (u16, T) {
    let begun = Instant::now();
    loop {
        let told = call();
        if told.0 != 503 || begun.elapsed() > TIMEOUT {
            return told;
        }
    }
}

#[gtest]
fn calls_are_applied_completely_or_not_at_all() {
    let core = CoreProcess::start("whole");
    // On one connection, each after the other.
    let mut one = core.open().expect("open");
    let big: Vec<String> = (0..5000).map(|n| format!(r#"["big-{n}",1,"r1"]"#)).collect();
    let big = format!(
        r#"{{"upsert":{{"service_set":{{"columns":["label","conn_limit","revision"],"records":[{}]}}}}}}"#,
        big.join(",")
    );
    let cases = [
        ("not JSON", post("{\"upsert\":"), 400),
        ("after it", post_change("s", 2, 1), 200),
        ("in chunks", chunks(&change_body("s", 3, 1), 7, "0\r\n\r\n"), 200),
        ("in single bytes, with trailers", chunks(&change_body("s", 4, 1), 1, "0\r\nX-T: 1\r\n\r\n"), 200),
        ("no body", post(""), 400),
        ("another method", post("{}").replacen("POST", "PUT", 1), 404),
        ("another path", post("{}").replacen("amend", "amend/", 1), 404),
        (
            "its own again, spelled otherwise",
            post(&change_body("s", 4, 1).replace("\"r4\"", "\"r04\"").replace(",1,", ",1.0,")),
            200,
        ),
        ("other content under its number", post_change("s", 4, 2), 409),
        ("an older one again", post_change("s", 2, 1), 200),
        ("other content of an older one", post_change("s", 2, 2), 409),
        ("large", post(&big), 200),
        ("large in chunks, again", chunks(&big, 9000, "0\r\n\r\n"), 200),
        ("a read", READ.into(), 200),
    ];
    for (what, text, expected) in cases {
        expect_that!(retry_unavailable(|| exchange(&mut one, &text)).0, eq(expected), "{what}");
    }
    // Sent close together: answered in their order.
    let mut version = 4;
    let heard = retry_unavailable(|| {
        version += 2;
        let (first, second) = (post_change("s", version - 1, 1), post_change("s", version, 1));
        let mut heard = vec![exchange(&mut one, &[&first, READ, &second, READ].concat())];
        heard.extend((0..3).map(|_| read_response(&mut one)));
        let unclear = heard.iter().map(|h| h.0).find(|status| *status == 503);
        (unclear.unwrap_or(200), heard)
    });
    let shows = |n: usize, version: u64| heard.1[n].1.contains(&format!("\"r{version}\""));
    expect_that!(heard.1.iter().map(|h| h.0).collect::<Vec<_>>(), eq(&[200; 4]));
    expect_that!((shows(1, version - 1), shows(3, version)), eq((true, true)));
    // Its body is asked for before it is sent.
    let body = change_body("s", version + 1, 1);
    let head = format!("{AMEND}Expect: 100-continue\r\nContent-Length: {}\r\n\r\n", body.len());
    let told = retry_unavailable(|| {
        expect_that!(exchange(&mut one, &head).0, eq(100));
        exchange(&mut one, &body)
    });
    expect_that!(told.0, eq(200));
    // Cut off somewhere, though what came is JSON by itself: nothing of it is in force.
    let whole = post_change("s", 99, 1);
    let padded = post(&(change_body("s", 98, 1) + " "));
    let chunked = chunks(&change_body("s", 97, 1), 4096, "0\r\n\r\n");
    let ends =
        |text: &str, from: usize| (from..text.len()).step_by(5).chain([text.len() - 1]).collect::<Vec<_>>();
    for text in [&whole, &padded, &chunked] {
        for end in ends(text, text.len() - 60) {
            let mut cut = core.open().expect("open");
            cut.write_all(&text.as_bytes()[..end]).expect("taken");
            cut.shutdown(std::net::Shutdown::Write).expect("shut");
            expect_that!(read_response(&mut cut).0, not(eq(200)), "cut at {end} of {text}");
        }
    }
    let stands = core.read();
    for version in ["\"r97\"", "\"r98\"", "\"r99\""] {
        expect_that!(stands.contains(version), eq(false), "{version}");
    }
    expect_that!(stands.contains(&format!("\"r{}\"", version + 1)), eq(true));
}

#[gtest]
fn of_concurrent_changes_under_one_version_one_content_is_accepted() {
    let core = CoreProcess::start("race");
    for version in 2..22 {
        let told: Vec<(u64, u16)> = std::thread::scope(|scope| {
            let call =
                |n: u64| (n / 2, retry_unavailable(|| core.call(&post_change("s", version, 10 + n / 2))).0);
            let calls: Vec<_> = (0..8).map(|n| scope.spawn(move || call(n))).collect();
            calls.into_iter().map(|c| c.join().expect("heard")).collect()
        });
        let confirmed: Vec<u64> = told.iter().filter(|t| t.1 == 200).map(|t| t.0).collect();
        expect_that!(confirmed, len(eq(2)), "{told:?}");
        expect_that!(confirmed.iter().all(|c| *c == confirmed[0]), eq(true), "{told:?}");
        expect_that!(told.iter().filter(|t| t.1 == 409).count(), eq(6), "{told:?}");
        let stands = core.read();
        expect_that!(stands.contains(&format!("{}", confirmed[0])), eq(true));
    }
}
