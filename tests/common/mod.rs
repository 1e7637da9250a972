//! Harness of the tests over sockets: the gatekeeper as a process and scripted peers around it, all on ephemeral
//! loopback ports. Tests wait for events instead of fixed times, and all waits have one timeout ([`BOUND`]). Each test
//! file uses only some of the items, so items without a use in one of them are not dead code.
#![allow(dead_code)]

#[allow(dead_code)]
mod peer;

pub use peer::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Instant;

/// Starts a quota counter that answers 1 to every call, which suffices for tests that do not check totals.
pub fn start_counter() -> ScriptedPeer {
    ScriptedPeer::start(|_| ScriptedReply::Ok("1"))
}

/// The entry of a node in discovery's endpoint list, in zone hall-a.
pub fn endpoint_entry(uid: &str, address: SocketAddr, state: &str) -> String {
    endpoint_entry_in_zone(uid, address, state, "hall-a")
}

/// The entry of a node in discovery's endpoint list.
pub fn endpoint_entry_in_zone(uid: &str, address: SocketAddr, state: &str, zone: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"{zone}","model":"std","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// An endpoint list as discovery sends it: the full list of a version, or, unless `is_full`, the changed entries.
pub fn endpoint_list(version: u32, is_full: bool, entries: &[String]) -> String {
    format!(r#"{{"rev":{version},"all":{is_full},"targets":[{}]}}"#, entries.join(","))
}

/// Starts a discovery that sends this full list and never a change: it leaves watches unanswered.
pub fn start_static_discovery(full_list: String) -> ScriptedPeer {
    ScriptedPeer::start(move |call| match call.start.contains("after=") {
        true => ScriptedReply::NoResponse,
        false => ScriptedReply::Raw(ok_response(&full_list)),
    })
}

/// The configuration of a gatekeeper that starts from the endpoint list `known` and may open `sockets` sockets.
pub fn configuration(known: &str, discovery: SocketAddr, counter: SocketAddr, sockets: u32) -> String {
    let settings = include_str!("settings.json");
    format!(
        r#"{{"name":"g0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"counter":"{counter}","known":{known},"settings":{settings}}}"#
    )
}

/// A process of the gatekeeper. Dropping it kills the process.
pub struct Gatekeeper {
    child: Child,
    /// Address for clients.
    pub address: SocketAddr,
    configuration_path: PathBuf,
    /// Lines of the log from the start of service on.
    log: Receiver<String>,
}

impl Gatekeeper {
    /// Starts a gatekeeper in front of these nodes, with a quota counter and a discovery that sends no changes.
    pub fn in_front_of(nodes: &[&ScriptedPeer]) -> Gatekeeper {
        let entries: Vec<_> = nodes
            .iter()
            .enumerate()
            .map(|(n, node)| endpoint_entry(&format!("n{n}"), node.address, "SERVING"))
            .collect();
        let known = endpoint_list(1, true, &entries);
        let discovery = start_static_discovery(known.clone());
        Gatekeeper::start(&known, discovery.address, start_counter().address, 1024)
    }

    /// Starts a gatekeeper with this initial endpoint list, these peers and this limit on sockets.
    pub fn start(known: &str, discovery: SocketAddr, counter: SocketAddr, sockets: u32) -> Gatekeeper {
        Gatekeeper::start_with(known, discovery, counter, sockets, &[])
    }

    /// Starts a gatekeeper as [`Gatekeeper::start`] does, with command-line arguments.
    pub fn start_with(
        known: &str,
        discovery: SocketAddr,
        counter: SocketAddr,
        sockets: u32,
        args: &[&str],
    ) -> Gatekeeper {
        Gatekeeper::start_configured(&configuration(known, discovery, counter, sockets), args)
    }

    /// Starts a gatekeeper with this configuration and command-line arguments.
    pub fn start_configured(configuration: &str, args: &[&str]) -> Gatekeeper {
        Gatekeeper::start_in(&temporary_directory(), configuration, args)
    }

    /// Starts a gatekeeper with this directory as its `$TMPDIR`. Processes with the same one find each other for hot
    /// restart.
    pub fn start_in(directory: &Path, configuration: &str, args: &[&str]) -> Gatekeeper {
        Gatekeeper::start_process(directory, configuration, args).0
    }

    /// Starts a gatekeeper, and also returns the lines of its log up to the start of service.
    pub fn start_and_take_log(configuration: &str, args: &[&str]) -> (Gatekeeper, Vec<String>) {
        Gatekeeper::start_process(&temporary_directory(), configuration, args)
    }

    fn start_process(directory: &Path, configuration: &str, args: &[&str]) -> (Gatekeeper, Vec<String>) {
        let configuration_path = Gatekeeper::write_configuration(configuration);
        let mut child = Gatekeeper::spawn_process(directory, &configuration_path, args);
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines().map_while(Result::ok);
        let mut startup_log = Vec::new();
        let line = lines.by_ref().find(|l| {
            startup_log.push(l.clone());
            l.contains("serving name=")
        });
        let line = line.expect("the gatekeeper logs its address");
        let address = line.split("listen=").nth(1).and_then(|a| a.trim().parse().ok()).expect("an address");
        // The log is read to the end, as a full pipe would block the process.
        let (sender, log) = channel();
        std::thread::spawn(move || lines.for_each(|line| drop(sender.send(line))));
        (Gatekeeper { child, address, configuration_path, log }, startup_log)
    }

    /// Starts the program with this configuration, without waiting for its service.
    pub fn spawn(configuration: &str) -> Child {
        Gatekeeper::spawn_process(
            &temporary_directory(),
            &Gatekeeper::write_configuration(configuration),
            &[],
        )
    }

    /// Starts the program with this configuration and command-line arguments, without waiting for its service.
    pub fn spawn_with(configuration: &str, args: &[&str]) -> Child {
        Gatekeeper::spawn_process(
            &temporary_directory(),
            &Gatekeeper::write_configuration(configuration),
            args,
        )
    }

    /// Writes an operators' settings file, and returns its path.
    pub fn write_settings_file(text: &str) -> PathBuf {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("settings-{}.cue", unique_number()));
        std::fs::write(&path, text).expect("a file");
        path
    }

    /// Lines of the log so far that were not returned before.
    pub fn take_log(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    /// Waits for the next line of the log that contains all these texts, for at most [`BOUND`].
    pub fn wait_for_log(&self, texts: &[&str]) -> String {
        let deadline = Instant::now() + BOUND;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let line = self.log.recv_timeout(remaining);
            let line = line.unwrap_or_else(|_| panic!("no line with {texts:?} is logged"));
            if texts.iter().all(|text| line.contains(text)) {
                return line;
            }
        }
    }

    fn write_configuration(configuration: &str) -> PathBuf {
        let path =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("configuration-{}.json", unique_number()));
        std::fs::write(&path, configuration).expect("a file");
        path
    }

    fn spawn_process(directory: &Path, configuration_path: &Path, args: &[&str]) -> Child {
        Command::new(env!("CARGO_BIN_EXE_whinstall"))
            .args(args)
            .env("ROUTER_CONFIG", configuration_path)
            .env("TMPDIR", directory)
            .env_remove("ROUTER_OPERATOR")
            .env_remove("RUST_LOG")
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the gatekeeper starts")
    }

    /// Replaces the configuration file, sends SIGHUP and waits for a line of the log that contains `text`.
    pub fn sighup(&self, configuration: &str, text: &str) {
        std::fs::write(&self.configuration_path, configuration).expect("a file");
        self.signal("HUP");
        self.wait_for_log(&[text]);
    }

    /// Opens a connection of a client.
    pub fn connect(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("the gatekeeper listens");
        stream.set_read_timeout(Some(BOUND)).expect("a timeout");
        Client(BufReader::new(stream))
    }

    pub fn sigterm(&self) {
        self.signal("TERM");
    }

    /// Sends a signal, given by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("/bin/sh").arg("-c").arg(kill).status().expect("kill runs").success());
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().expect("the process exits")
    }
}

impl Drop for Gatekeeper {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Creates an empty directory that no other test uses.
pub fn temporary_directory() -> PathBuf {
    let path =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("d{}-{}", std::process::id(), unique_number()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("a directory");
    path
}

/// A number for the name of a file or directory, unique in this test process.
fn unique_number() -> usize {
    static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed)
}

/// A connection of a client.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Writes this text unchanged.
    pub fn write(&mut self, text: &str) -> &mut Self {
        self.0.get_mut().write_all(text.as_bytes()).expect("the gatekeeper reads");
        self
    }

    /// Sends a preview, which is idempotent, for a customer: a number of 16 hexadecimal digits in the request.
    pub fn preview_for(&mut self, id: &str, customer: u32) -> &mut Self {
        self.write(&format!(
            "GET /preview/a%20b?client={customer:016x}&x=1 HTTP/1.1\r\n{}\r\n",
            headers(id, "preview", "4")
        ))
    }

    /// Sends a preview for the customer b4d65521.
    pub fn preview(&mut self, id: &str) -> &mut Self {
        self.write(&format!(
            "GET /preview/a%20b?client=00000000b4d65521&x=1 HTTP/1.1\r\n{}\r\n",
            headers(id, "preview", "4")
        ))
    }

    /// Sends an issue, which is not idempotent, for the customer b4d65521.
    pub fn issue(&mut self, id: &str, body: &str) -> &mut Self {
        let (headers, length) = (headers(id, "issue", "6"), body.len());
        self.write(&format!(
            "POST /issue?client=00000000b4d65521 HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
        ))
    }

    /// Reads the next response.
    pub fn read_response(&mut self) -> Message {
        Message::read(&mut self.0).expect("a response")
    }

    /// Waits for the next response; returns `true` if the connection closes or times out without one.
    pub fn is_closed(&mut self) -> bool {
        Message::read(&mut self.0).is_none()
    }
}

/// The headers that every request needs. `timeout` is in seconds.
pub fn headers(id: &str, class: &str, timeout: &str) -> String {
    format!(
        "Host: api.internal\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\nX-Contract: standard\r\nRequest-Timeout: {timeout}\r\nX-Metering: units=1,spread=1,first=0\r\n"
    )
}
