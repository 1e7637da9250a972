//! How processes find the core: seeds that are down, not of this system, silent, edges themselves, or changed while the
//! process runs. Real processes, each on a loopback address of its own.

mod common;

use common::{free_port, send_and_receive, status, wait_until, Process};
use googletest::prelude::*;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};

/// Indices into [`Deployment::addresses`].
const INTERNAL: usize = 0;
const READINESS: usize = 2;
const CONTROL: usize = 3;

/// A deployment, whose ports are the same on all machines.
struct Deployment {
    folder: PathBuf,
    ports: [u16; 4],
    /// Addresses are 127.0.NET.n.
    net: u8,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    fn new(name: &str, net: u8) -> Self {
        let folder = std::env::temp_dir().join(format!("whinstall-seeds-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        Deployment { folder, ports: [free_port(), free_port(), free_port(), free_port()], net }
    }

    fn ip(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 0, self.net, n)
    }

    /// The addresses of machine `n`: internal, clients, readiness, control.
    fn addresses(&self, n: u8) -> [SocketAddr; 4] {
        self.ports.map(|port| (self.ip(n), port).into())
    }

    fn settings(&self, n: u8, role: &str, seeds: &[u8], cold: bool) -> String {
        let [inner, front, ready, control] = self.addresses(n);
        let endpoints = match role {
            "edge" => format!("front_http = \"{front}\"\nready_port = \"{ready}\""),
            _ => format!("control_port = \"{control}\""),
        };
        let data = self.folder.join(format!("data-{n}"));
        std::fs::create_dir_all(&data).expect("a folder");
        let seeds: Vec<String> = seeds.iter().map(|n| self.addresses(*n)[CONTROL].to_string()).collect();
        format!(
            "[self]\nnode_name = \"m{n}\"\nip_addr = \"{}\"\nzone_name = \"a\"\nregion_name = \"r\"\n\
             cold_start = {cold}\ndata_path = {data:?}\n[network]\ninternal_ports = [{port}, {port}]\n\
             seed_list = {seeds:?}\n[network.endpoints]\n{endpoints}\n[network.zones]\na = \"r\"\n\
             [substrate]\nheartbeat = \"100ms\"\n",
            self.ip(n),
            port = inner.port(),
        )
    }

    fn file(&self, n: u8) -> PathBuf {
        self.folder.join(format!("{n}.toml"))
    }

    fn spawn(&self, n: u8, role: &str, seeds: &[u8], cold: bool) -> Process {
        std::fs::write(self.file(n), self.settings(n, role, seeds, cold)).expect("written");
        let child = Command::new(env!("CARGO_BIN_EXE_whinstall-gateway"))
            .arg(role)
            .env("WHINSTALL_NODE_FILE", self.file(n))
            .stderr(std::fs::File::create(self.folder.join(format!("{n}.log"))).expect("a file"))
            .stdin(Stdio::null())
            .spawn();
        Process { child: child.expect("it starts") }
    }

    fn has_logged(&self, n: u8, line: &str) -> bool {
        std::fs::read_to_string(self.folder.join(format!("{n}.log"))).unwrap_or_default().contains(line)
    }

    /// Repeats a configuration call to core machine `n` until it is accepted.
    fn configure(&self, n: u8) {
        let body = r#"{"upsert":{"service_set":[{"label":"s1","revision":"r1"}]}}"#;
        let head = "POST /whinstall/configuration/amend HTTP/1.1\r\nHost: c\r\nConnection: close\r\n";
        let call = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        wait_until("a configuration is taken", || {
            status(&send_and_receive(self.addresses(n)[CONTROL], &call)) == 200
        });
    }

    fn readiness(&self, n: u8) -> u16 {
        let ask = "GET /whinstall/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        status(&send_and_receive(self.addresses(n)[READINESS], ask))
    }

    fn is_ready(&self, n: u8) -> bool {
        self.readiness(n) == 200
    }
}

/// A server of another system at a machine's address: it sends some bytes and no more, and closes no connection.
struct ForeignServer {
    accepted: Arc<Mutex<Vec<TcpStream>>>,
    stop: Arc<Mutex<bool>>,
    at: SocketAddr,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl ForeignServer {
    fn new(at: SocketAddr, says: &'static [u8]) -> Self {
        let listener = TcpListener::bind(at).expect("it listens");
        let (accepted, stop) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(false)));
        let (connections, stopped) = (Arc::clone(&accepted), Arc::clone(&stop));
        let thread = std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                if *stopped.lock().expect("not poisoned") {
                    return;
                }
                let _ = stream.write_all(says);
                connections.lock().expect("not poisoned").push(stream);
            }
        });
        ForeignServer { accepted, stop, at, thread: Some(thread) }
    }

    fn accepted_count(&self) -> usize {
        self.accepted.lock().expect("not poisoned").len()
    }

    /// Stops accepting connections; those that are accepted stay open.
    fn stop_listening(&mut self) {
        *self.stop.lock().expect("not poisoned") = true;
        let _ = TcpStream::connect(self.at);
        let _ = self.thread.take().map(std::thread::JoinHandle::join);
    }
}

impl Drop for ForeignServer {
    fn drop(&mut self) {
        self.stop_listening();
    }
}

#[gtest]
fn unusable_seeds_do_not_hold_up_the_start() {
    let deployment = Deployment::new("strangers", 11);
    // Seeds: 1 and 5 are edges, 2 is down, 3 speaks another protocol, 4 sends nothing and never closes.
    let (nonsense, mut silent) = (
        ForeignServer::new(deployment.addresses(3)[INTERNAL], b"220 mail.example ready\r\n"),
        ForeignServer::new(deployment.addresses(4)[INTERNAL], b""),
    );
    let seeds = [1, 2, 3, 4, 5];
    let _gates = [deployment.spawn(1, "edge", &seeds, false), deployment.spawn(5, "edge", &seeds, false)];
    // Each connection is given up and tried again.
    wait_until("foreign servers are tried again", || {
        nonsense.accepted_count() > 4 && silent.accepted_count() > 4
    });
    expect_that!([deployment.readiness(1), deployment.readiness(5)], eq([503, 503]));
    // A core machine gets the address of the silent server, whose connections are still open.
    silent.stop_listening();
    let core = deployment.spawn(4, "core", &[4], true);
    deployment.configure(4);
    wait_until("ready", || deployment.is_ready(1) && deployment.is_ready(5));
    // It is killed; nothing takes over its address, and a successor starts at another seed's address.
    drop(core);
    let data = |n| deployment.folder.join(format!("data-{n}"));
    let (_, _) = (deployment.settings(2, "core", &[2], false), std::fs::remove_dir_all(data(2)));
    let _successor = deployment.spawn(2, "core", &[2], true);
    deployment.configure(2);
    wait_until("still ready", || deployment.is_ready(1) && deployment.is_ready(5));
}

#[gtest]
fn a_core_machine_restarts_from_its_disk_with_unusable_seeds() {
    let deployment = Deployment::new("disk", 12);
    let first = deployment.spawn(1, "core", &[1], true);
    deployment.configure(1);
    drop(first);
    let _foreign = [
        ForeignServer::new(deployment.addresses(3)[INTERNAL], b"\x00\x00\x00\x03abc"),
        ForeignServer::new(deployment.addresses(4)[INTERNAL], b""),
    ];
    let _restarted = deployment.spawn(1, "core", &[2, 3, 4], false);
    let read = "GET /whinstall/configuration/read HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n";
    wait_until("it reads", || send_and_receive(deployment.addresses(1)[CONTROL], read).contains("\"s1\""));
}

#[gtest]
fn a_changed_settings_file_is_loaded_once_it_is_complete() {
    let deployment = Deployment::new("file", 13);
    let _core = deployment.spawn(1, "core", &[1], true);
    deployment.configure(1);
    let _edge = deployment.spawn(2, "edge", &[9], false);
    wait_until("it serves", || deployment.readiness(2) == 503);
    let complete = deployment.settings(2, "edge", &[9, 1], false);
    let cut = complete.find("seed_list").expect("a list") + 14;
    std::fs::write(deployment.file(2), &complete[..cut]).expect("written");
    wait_until("half of it is refused", || {
        deployment.has_logged(2, "settings rejected, keeping the previous ones")
    });
    expect_that!(deployment.readiness(2), eq(503));
    std::fs::write(deployment.file(2), &complete).expect("written");
    wait_until("ready", || deployment.is_ready(2));
    expect_that!(deployment.has_logged(2, "settings reloaded"), eq(true));
}

#[gtest]
fn sighup_reloads_the_seed_list() {
    let deployment = Deployment::new("signal", 14);
    let _core = deployment.spawn(1, "core", &[1], true);
    deployment.configure(1);
    let edge = deployment.spawn(2, "edge", &[9], false);
    wait_until("it serves", || deployment.readiness(2) == 503);
    // Written under another name first, so that it is never read in part.
    let making = deployment.folder.join("making");
    std::fs::write(&making, deployment.settings(2, "edge", &[1], false)).expect("written");
    std::fs::rename(making, deployment.file(2)).expect("renamed");
    let signalled = Command::new("kill").arg("-HUP").arg(edge.child.id().to_string()).status();
    expect_that!(signalled.expect("kill runs").success(), eq(true));
    wait_until("ready", || deployment.is_ready(2));
}
