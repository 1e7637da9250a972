//! Both programs as they are, on loopback, with a worker that says what it is told to.

use super::{port, say, status, until, Role, BOUND};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Seconds from SIGTERM to SIGKILL, as the settings say.
const GRACE_S: u64 = 4;
/// The same.
pub const GRACE: Duration = Duration::from_secs(GRACE_S);

/// Both programs, and a worker.
pub struct Whole {
    pub folder: PathBuf,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub edge: Option<Role>,
    pub core: Option<Role>,
    pub answer: Arc<Mutex<String>>,
    pub heard: Arc<Mutex<Vec<String>>>,
}

impl Whole {
    pub fn start(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("whinstall-whole-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(folder.join("data")).expect("a folder");
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let inner = port();
        let (front, ready, control) = (address(port()), address(port()), address(port()));
        let heard = Arc::new(Mutex::new(Vec::new()));
        let answer = Arc::new(Mutex::new(String::new()));
        for (role, cold) in [("edge", true), ("core", true), ("again", false)] {
            let endpoints = match role {
                "edge" => format!("front_http = \"{front}\"\nready_port = \"{ready}\""),
                _ => format!("control_port = \"{control}\""),
            };
            let data = folder.join("data");
            let settings = format!(
                "[self]\nnode_name = \"{role}\"\nip_addr = \"127.0.0.1\"\nzone_name = \"a\"\nregion_name = \"r\"\n\
                 cold_start = {cold}\ndata_path = {data:?}\n[network]\ninternal_ports = [{inner}, {inner}]\n\
                 seed_list = [\"{control}\"]\n[network.endpoints]\n{endpoints}\n[network.zones]\na = \"r\"\n\
                 [constraints.envelope]\nretry_slack = 62\nquota_margin = 20\ngrace_period = \"{GRACE_S}s\"\n"
            );
            std::fs::write(folder.join(format!("{role}.toml")), settings).expect("written");
        }
        let mut whole = Whole { folder, front, ready, control, edge: None, core: None, answer, heard };
        whole.core = Some(whole.run("core", "core"));
        whole.edge = Some(whole.run("edge", "edge"));
        whole
    }

    pub fn run(&self, role: &str, settings: &str) -> Role {
        let log = std::fs::File::create(self.folder.join(format!("{role}.log"))).expect("a file");
        let child = Command::new(env!("CARGO_BIN_EXE_whinstall-gateway"))
            .arg(role)
            .env("WHINSTALL_NODE_FILE", self.folder.join(format!("{settings}.toml")))
            .stderr(log)
            .stdin(Stdio::null())
            .spawn();
        Role { child: child.expect("it starts") }
    }

    pub fn call(&self, path: &str, body: &str) -> String {
        let method = if body.is_empty() && path.ends_with("read") { "GET" } else { "POST" };
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
        );
        say(self.control, &(head + body))
    }

    /// A worker that answers each request with what stands in `answer`, and is announced.
    pub fn worker(&self) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (answer, heard) = (Arc::clone(&self.answer), Arc::clone(&self.heard));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (answer, heard) = (Arc::clone(&answer), Arc::clone(&heard));
                std::thread::spawn(move || serve(stream, &answer, &heard));
            }
        });
        let beat = format!(
            r#"{{"service_ref":"s1","address":"{address}","zone_name":"a","revision":"v1","capacity":4,"phase":"settled","warmup_left":"0ms","call_count":1}}"#
        );
        until("a heartbeat is taken", || {
            status(&self.call("/whinstall/instances/i-1/heartbeat", &beat)) == 200
        });
    }

    pub fn configure(&self) {
        let body = r#"{"upsert":{"route_set":{"columns":["label","hostname","path_prefix","route_class","cutoff","target","rank","max_attempts","revision","service_ref"],"records":[["r1","a.example","/once/","effectful","2000ms","400ms",0,2,"r7","s1"],["r2","a.example","/any/","idempotent","2000ms","400ms",0,2,"r7","s1"],["r3","a.example","/long/","effectful","10000ms","400ms",0,2,"r7","s1"]]},"tenant_set":{"columns":["label","credentials","rate_per_s","burst_size","revision"],"records":[["t1",["key-1"],1000,1000,"r7"]]},"service_set":{"columns":["label","probe_path","revision"],"records":[["s1","/health","r7"]]},"saturation":{"header_max_bytes":2048,"body_max_bytes":4096,"header_deadline":"3000ms","idle_cutoff":"15000ms","revision":"r7"}},"remove":{"route_set":[]}}"#;
        until("a configuration is taken", || {
            status(&self.call("/whinstall/configuration/amend", body)) == 200
        });
    }

    pub fn is_ready(&self) -> bool {
        status(&say(self.ready, "GET /whinstall/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"))
            == 200
    }

    pub fn ask(&self, path: &str, more: &str, body: &str) -> String {
        let method = if body.is_empty() { "GET" } else { "POST" };
        say(self.front, &format!(
            "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-1\r\nX-Remaining-Ms: 2000\r\nApi-Key: key-1\r\n{more}\r\n{body}"
        ))
    }

    /// Asks the gatekeeper to end; returns when, once it says that it is not ready any more.
    pub fn terminate(&self) -> Instant {
        let edge = self.edge.as_ref().expect("it runs");
        let begun = Instant::now();
        let told = Command::new("kill").arg("-TERM").arg(edge.child.id().to_string()).status();
        assert!(told.expect("kill runs").success());
        until("it is not ready any more", || !self.is_ready());
        begun
    }

    /// The gatekeeper has ended, as one that was asked to.
    pub fn ends(&mut self) {
        let edge = self.edge.as_mut().expect("it runs");
        assert!(edge.child.wait().expect("it ends").success());
    }

    pub fn answers(&self, text: &str) {
        *self.answer.lock().expect("whole") = text.into();
    }

    pub fn asks(&self, path: &str) -> TcpStream {
        self.asks_within(path, BOUND)
    }

    pub fn asks_within(&self, path: &str, left: Duration) -> TcpStream {
        let mut client = TcpStream::connect(self.front).expect("it listens");
        client.set_read_timeout(Some(BOUND)).expect("a bound");
        let request = format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-1\r\nX-Remaining-Ms: {}\r\nApi-Key: key-1\r\n\r\n", left.as_millis());
        client.write_all(request.as_bytes()).expect("taken");
        client
    }

    pub fn hears(&self, requests: usize) {
        until("the worker hears it", || self.heard.lock().expect("whole").len() == requests);
    }

    pub fn last(&self) -> String {
        self.heard.lock().expect("whole").last().cloned().unwrap_or_default()
    }
}

impl Drop for Whole {
    fn drop(&mut self) {
        (self.edge, self.core) = (None, None);
        if std::thread::panicking() {
            for role in ["core", "edge"] {
                let log = std::fs::read_to_string(self.folder.join(format!("{role}.log")));
                println!("{role}:\n{}", log.unwrap_or_default());
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Hears whole requests and answers each. `CUT` in an answer: the connection ends there. `HELD`: it waits for another.
fn serve(mut stream: TcpStream, answer: &Mutex<String>, heard: &Mutex<Vec<String>>) {
    let (mut read, mut bytes) = (Vec::new(), [0; 8192]);
    while let Ok(n) = stream.read(&mut bytes) {
        if n == 0 {
            return;
        }
        read.extend_from_slice(&bytes[..n]);
        let text = String::from_utf8_lossy(&read).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let lower = head.to_ascii_lowercase();
        let length = lower.split("content-length: ").nth(1).and_then(|l| l.lines().next()?.parse().ok());
        if body.len() < length.unwrap_or(0) {
            continue;
        }
        heard.lock().expect("whole").push(text);
        read.clear();
        let told = || answer.lock().expect("whole").clone();
        while told() == "HELD" {
            std::thread::yield_now();
        }
        let answer = told();
        let (whole, cut) = match answer.split_once("CUT") {
            Some((before, _)) => (before.to_owned(), true),
            None => (answer, false),
        };
        if stream.write_all(whole.as_bytes()).is_err() || cut {
            return;
        }
    }
}

/// A worker's good answer to the request of this id.
pub fn good(id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal-{id}\r\nContent-Length: {length}\r\n\r\n{body}")
}
