//! Shared by the socket tests: the gatekeeper as a process and scripted peers around it, all on loopback and
//! ephemeral ports. Tests wait for events, never for a fixed time, and all waits have one bound ([`BOUND`]). Each test
//! file uses only a part, so unused items here are not dead code.
#![allow(dead_code)]

#[allow(dead_code)]
mod peer;

pub use peer::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver};

/// A quota counter that answers 1 to every call: enough for tests with one customer.
pub fn start_counter() -> ScriptedPeer {
    ScriptedPeer::start(|_| ScriptedReply::Ok("1"))
}

/// A node's entry on discovery's list.
pub fn endpoint_entry(uid: &str, address: SocketAddr, state: &str) -> String {
    endpoint_entry_in_zone(uid, address, state, "hall-a")
}

/// A node's entry on discovery's list, in this zone.
pub fn endpoint_entry_in_zone(uid: &str, address: SocketAddr, state: &str, hall: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"{hall}","model":"std","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// Discovery's response.
pub fn endpoint_list(rev: u32, all: bool, nodes: &[String]) -> String {
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, nodes.join(","))
}

/// A discovery that sends this full list and then no changes.
pub fn start_static_discovery(whole: String) -> ScriptedPeer {
    ScriptedPeer::start(move |call| match call.start.contains("after=") {
        true => ScriptedReply::NoResponse,
        false => ScriptedReply::Raw(ok_response(&whole)),
    })
}

/// The gatekeeper's configuration.
pub fn configuration(known: &str, discovery: SocketAddr, counter: SocketAddr, sockets: u32) -> String {
    let settings = include_str!("settings.json");
    format!(
        r#"{{"name":"g0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"counter":"{counter}","known":{known},"settings":{settings}}}"#
    )
}

/// The gatekeeper's process.
pub struct Gatekeeper {
    child: Child,
    pub address: SocketAddr,
    path: PathBuf,
    log: Receiver<String>,
}

impl Gatekeeper {
    /// Starts it with these nodes, a quota counter and a discovery without changes.
    pub fn in_front_of(nodes: &[&ScriptedPeer]) -> Gatekeeper {
        let lines: Vec<_> = nodes
            .iter()
            .enumerate()
            .map(|(n, p)| endpoint_entry(&format!("n{n}"), p.address, "SERVING"))
            .collect();
        let whole = endpoint_list(1, true, &lines);
        let (known, discovery) = (whole.clone(), start_static_discovery(whole));
        Gatekeeper::start(&known, discovery.address, start_counter().address, 1024)
    }

    /// Starts it with these peers.
    pub fn start(known: &str, discovery: SocketAddr, counter: SocketAddr, sockets: u32) -> Gatekeeper {
        Gatekeeper::start_with(known, discovery, counter, sockets, &[])
    }

    /// Starts it with these peers and command-line arguments.
    pub fn start_with(
        known: &str,
        discovery: SocketAddr,
        counter: SocketAddr,
        sockets: u32,
        args: &[&str],
    ) -> Gatekeeper {
        Gatekeeper::start_configured(&configuration(known, discovery, counter, sockets), args)
    }

    /// Starts it with this configuration and command-line arguments.
    pub fn start_configured(configuration: &str, args: &[&str]) -> Gatekeeper {
        Gatekeeper::start_in(&temporary_directory(), configuration, args)
    }

    /// Starts it with this `$TMPDIR`, configuration and command-line arguments.
    pub fn start_in(directory: &Path, configuration: &str, args: &[&str]) -> Gatekeeper {
        Gatekeeper::start_and_read(directory, configuration, args).0
    }

    /// Starts it with this configuration and arguments; also returns what it logged before it served.
    pub fn start_and_take_log(configuration: &str, args: &[&str]) -> (Gatekeeper, Vec<String>) {
        Gatekeeper::start_and_read(&temporary_directory(), configuration, args)
    }

    fn start_and_read(directory: &Path, configuration: &str, args: &[&str]) -> (Gatekeeper, Vec<String>) {
        let path = Gatekeeper::file(configuration);
        let mut child = Gatekeeper::run(directory, &path, args);
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines().map_while(Result::ok);
        let mut before = Vec::new();
        let line = lines.by_ref().find(|l| {
            before.push(l.clone());
            l.contains("serving name=")
        });
        let line = line.expect("it says where it serves");
        let address = line.split("listen=").nth(1).and_then(|a| a.trim().parse().ok()).expect("an address");
        // The log is read to the end, as a full pipe would block the process.
        let (sender, log) = channel();
        std::thread::spawn(move || lines.for_each(|line| drop(sender.send(line))));
        (Gatekeeper { child, address, path, log }, before)
    }

    /// Starts the program with this configuration.
    pub fn spawn(configuration: &str) -> Child {
        Gatekeeper::run(&temporary_directory(), &Gatekeeper::file(configuration), &[])
    }

    /// Starts the program with this configuration and command-line arguments.
    pub fn spawn_with(configuration: &str, args: &[&str]) -> Child {
        Gatekeeper::run(&temporary_directory(), &Gatekeeper::file(configuration), args)
    }

    /// Writes an operators' settings file.
    pub fn write_settings_file(text: &str) -> PathBuf {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("settings-{}.cue", unique()));
        std::fs::write(&path, text).expect("a file");
        path
    }

    /// The lines of its log so far that were not returned before.
    pub fn take_log(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    /// Waits for the next line of its log that contains all these texts.
    pub fn wait_for_log(&self, words: &[&str]) -> String {
        let until = std::time::Instant::now() + BOUND;
        loop {
            let left = until.saturating_duration_since(std::time::Instant::now());
            let line = self.log.recv_timeout(left).unwrap_or_else(|_| panic!("it does not log {words:?}"));
            if words.iter().all(|w| line.contains(w)) {
                return line;
            }
        }
    }

    fn file(configuration: &str) -> PathBuf {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("configuration-{}.json", unique()));
        std::fs::write(&path, configuration).expect("a file");
        path
    }

    fn run(directory: &Path, path: &Path, args: &[&str]) -> Child {
        Command::new(env!("CARGO_BIN_EXE_whinstall"))
            .args(args)
            .env("ROUTER_CONFIG", path)
            .env("TMPDIR", directory)
            .env_remove("ROUTER_OPERATOR")
            .env_remove("RUST_LOG")
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the gatekeeper starts")
    }

    /// Writes this as its configuration, sends SIGHUP and waits for a line of its log that contains this text.
    pub fn sighup(&self, configuration: &str, words: &str) {
        std::fs::write(&self.path, configuration).expect("a file");
        self.signal("HUP");
        self.wait_for_log(&[words]);
    }

    pub fn connect(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("it listens");
        stream.set_read_timeout(Some(BOUND)).expect("a bound");
        Client(BufReader::new(stream))
    }

    pub fn sigterm(&self) {
        self.signal("TERM");
    }

    /// Sends a signal, by its name without SIG.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("/bin/sh").arg("-c").arg(kill).status().expect("kill runs").success());
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().expect("it exits")
    }
}

impl Drop for Gatekeeper {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An empty directory of its own.
pub fn temporary_directory() -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("d{}-{}", std::process::id(), unique()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("a directory");
    path
}

fn unique() -> usize {
    static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed)
}

/// A client's connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Writes this text unchanged.
    pub fn write(&mut self, text: &str) -> &mut Self {
        self.0.get_mut().write_all(text.as_bytes()).expect("it takes it");
        self
    }

    /// Sends a preview for this customer, a number of 16 hex digits.
    pub fn preview_for(&mut self, id: &str, customer: u32) -> &mut Self {
        self.write(&format!(
            "GET /preview/a%20b?client={customer:016x}&x=1 HTTP/1.1\r\n{}\r\n",
            headers(id, "preview", "4")
        ))
    }

    /// Sends a preview, which is idempotent.
    pub fn preview(&mut self, id: &str) -> &mut Self {
        self.write(&format!(
            "GET /preview/a%20b?client=00000000b4d65521&x=1 HTTP/1.1\r\n{}\r\n",
            headers(id, "preview", "4")
        ))
    }

    /// Sends an issue, which is not idempotent.
    pub fn issue(&mut self, id: &str, body: &str) -> &mut Self {
        let (headers, length) = (headers(id, "issue", "6"), body.len());
        self.write(&format!(
            "POST /issue?client=00000000b4d65521 HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
        ))
    }

    /// Reads the next response.
    pub fn read_response(&mut self) -> Message {
        Message::read(&mut self.0).expect("an answer")
    }

    /// Whether the connection is closed without a further response.
    pub fn is_closed(&mut self) -> bool {
        Message::read(&mut self.0).is_none()
    }
}

/// The headers of a session.
pub fn headers(id: &str, class: &str, timeout: &str) -> String {
    format!(
        "Host: api.internal\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\nX-Contract: standard\r\nRequest-Timeout: {timeout}\r\nX-Metering: units=1,spread=1,first=0\r\n"
    )
}
