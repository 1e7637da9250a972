//! Discovery of the core through the seed list, with seeds that are down, belong to another system, send nothing, are edge
//! nodes, or change while the process runs. The tests run real processes, each on its own loopback address.

mod common;

use common::{free_port, send_and_receive, status, wait_until, Process};
use googletest::prelude::*;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};

/// Index of the internal address in [`Deployment::addresses`].
const INTERNAL: usize = 0;
/// Index of the readiness address in [`Deployment::addresses`].
const READINESS: usize = 2;
/// Index of the control address in [`Deployment::addresses`].
const CONTROL: usize = 3;

/// A deployment whose ports are the same on all machines.
struct Deployment {
    folder: PathBuf,
    ports: [u16; 4],
    /// Third byte of the machines' addresses, 127.0.`subnet`.n.
    subnet: u8,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    fn new(name: &str, subnet: u8) -> Self {
        let folder = std::env::temp_dir().join(format!("whinstall-seeds-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("the folder is created");
        Deployment { folder, ports: [free_port(), free_port(), free_port(), free_port()], subnet }
    }

    fn ip(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 0, self.subnet, n)
    }

    /// Addresses of machine `n` for internal traffic, clients, readiness checks, and the control API, in this order.
    fn addresses(&self, n: u8) -> [SocketAddr; 4] {
        self.ports.map(|port| (self.ip(n), port).into())
    }

    fn settings(&self, n: u8, role: &str, seeds: &[u8], cold_start: bool) -> String {
        let [internal, front, ready, control] = self.addresses(n);
        let endpoints = match role {
            "edge" => format!("front_http = \"{front}\"\nready_port = \"{ready}\""),
            _ => format!("control_port = \"{control}\""),
        };
        let data = self.folder.join(format!("data-{n}"));
        std::fs::create_dir_all(&data).expect("the folder is created");
        let seeds: Vec<String> = seeds.iter().map(|n| self.addresses(*n)[CONTROL].to_string()).collect();
        format!(
            "[self]\nnode_name = \"m{n}\"\nip_addr = \"{}\"\nzone_name = \"a\"\nregion_name = \"r\"\n\
             cold_start = {cold_start}\ndata_path = {data:?}\n[network]\ninternal_ports = [{port}, {port}]\n\
             seed_list = {seeds:?}\n[network.endpoints]\n{endpoints}\n[network.zones]\na = \"r\"\n\
             [substrate]\nheartbeat = \"100ms\"\n",
            self.ip(n),
            port = internal.port(),
        )
    }

    fn settings_file(&self, n: u8) -> PathBuf {
        self.folder.join(format!("{n}.toml"))
    }

    fn spawn(&self, n: u8, role: &str, seeds: &[u8], cold_start: bool) -> Process {
        std::fs::write(self.settings_file(n), self.settings(n, role, seeds, cold_start))
            .expect("the file is written");
        let child = Command::new(env!("CARGO_BIN_EXE_whinstall-gateway"))
            .arg(role)
            .env("WHINSTALL_NODE_FILE", self.settings_file(n))
            .stderr(
                std::fs::File::create(self.folder.join(format!("{n}.log"))).expect("the log file is created"),
            )
            .stdin(Stdio::null())
            .spawn();
        Process { child: child.expect("the process starts") }
    }

    fn has_logged(&self, n: u8, line: &str) -> bool {
        std::fs::read_to_string(self.folder.join(format!("{n}.log"))).unwrap_or_default().contains(line)
    }

    /// Submits a configuration to core node `n`, and repeats the call until the node accepts the configuration.
    fn configure(&self, n: u8) {
        let body = r#"{"upsert":{"service_set":[{"label":"s1","revision":"r1"}]}}"#;
        let head = "POST /whinstall/configuration/amend HTTP/1.1\r\nHost: c\r\nConnection: close\r\n";
        let call = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        wait_until("the configuration is accepted", || {
            status(&send_and_receive(self.addresses(n)[CONTROL], &call)) == 200
        });
    }

    fn readiness(&self, n: u8) -> u16 {
        let request = "GET /whinstall/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        status(&send_and_receive(self.addresses(n)[READINESS], request))
    }

    fn is_ready(&self, n: u8) -> bool {
        self.readiness(n) == 200
    }
}

/// A server of another system at a machine's address. The server sends fixed bytes on each connection, and closes none.
struct ForeignServer {
    accepted: Arc<Mutex<Vec<TcpStream>>>,
    stop: Arc<Mutex<bool>>,
    address: SocketAddr,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl ForeignServer {
    fn new(address: SocketAddr, greeting: &'static [u8]) -> Self {
        let listener = TcpListener::bind(address).expect("the address is free");
        let (accepted, stop) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(false)));
        let (connections, stopped) = (Arc::clone(&accepted), Arc::clone(&stop));
        let thread = std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                if *stopped.lock().expect("not poisoned") {
                    return;
                }
                let _ = stream.write_all(greeting);
                connections.lock().expect("not poisoned").push(stream);
            }
        });
        ForeignServer { accepted, stop, address, thread: Some(thread) }
    }

    fn accepted_count(&self) -> usize {
        self.accepted.lock().expect("not poisoned").len()
    }

    /// Stops accepting connections; accepted connections stay open.
    fn stop_listening(&mut self) {
        *self.stop.lock().expect("not poisoned") = true;
        let _ = TcpStream::connect(self.address);
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
    let deployment = Deployment::new("foreign", 11);
    // Seeds 1 and 5 are edge nodes, 2 is down, 3 speaks another protocol, and 4 sends nothing and never closes a connection.
    let (other_protocol, mut unresponsive) = (
        ForeignServer::new(deployment.addresses(3)[INTERNAL], b"220 mail.example ready\r\n"),
        ForeignServer::new(deployment.addresses(4)[INTERNAL], b""),
    );
    let seeds = [1, 2, 3, 4, 5];
    let _edges = [deployment.spawn(1, "edge", &seeds, false), deployment.spawn(5, "edge", &seeds, false)];
    // Edge nodes abandon each connection to a foreign server, and connect again.
    wait_until("foreign servers are connected to again", || {
        other_protocol.accepted_count() > 4 && unresponsive.accepted_count() > 4
    });
    expect_that!([deployment.readiness(1), deployment.readiness(5)], eq([503, 503]));
    // A core node starts at the address of the unresponsive server, whose connections are still open.
    unresponsive.stop_listening();
    let core = deployment.spawn(4, "core", &[4], true);
    deployment.configure(4);
    wait_until("the edge nodes are ready", || deployment.is_ready(1) && deployment.is_ready(5));
    // The core node is killed and its address stays unused, while a new core node starts at another seed's address.
    drop(core);
    let data = |n| deployment.folder.join(format!("data-{n}"));
    let (_, _) = (deployment.settings(2, "core", &[2], false), std::fs::remove_dir_all(data(2)));
    let _new_core = deployment.spawn(2, "core", &[2], true);
    deployment.configure(2);
    wait_until("the edge nodes are still ready", || deployment.is_ready(1) && deployment.is_ready(5));
}

#[gtest]
fn a_core_node_restarts_from_its_disk_with_unusable_seeds() {
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
    wait_until("the restarted core returns the configuration", || {
        send_and_receive(deployment.addresses(1)[CONTROL], read).contains("\"s1\"")
    });
}

#[gtest]
fn a_changed_settings_file_is_loaded_once_it_is_complete() {
    let deployment = Deployment::new("file", 13);
    let _core = deployment.spawn(1, "core", &[1], true);
    deployment.configure(1);
    let _edge = deployment.spawn(2, "edge", &[9], false);
    wait_until("the edge node answers readiness checks", || deployment.readiness(2) == 503);
    let complete = deployment.settings(2, "edge", &[9, 1], false);
    let truncated_length = complete.find("seed_list").expect("the settings have a seed list") + 14;
    std::fs::write(deployment.settings_file(2), &complete[..truncated_length]).expect("the file is written");
    wait_until("the truncated settings are rejected", || {
        deployment.has_logged(2, "settings rejected, keeping the previous ones")
    });
    expect_that!(deployment.readiness(2), eq(503));
    std::fs::write(deployment.settings_file(2), &complete).expect("the file is written");
    wait_until("the edge nodes are ready", || deployment.is_ready(2));
    expect_that!(deployment.has_logged(2, "settings reloaded"), eq(true));
}

#[gtest]
fn sighup_reloads_the_seed_list() {
    let deployment = Deployment::new("signal", 14);
    let _core = deployment.spawn(1, "core", &[1], true);
    deployment.configure(1);
    let edge = deployment.spawn(2, "edge", &[9], false);
    wait_until("the edge node answers readiness checks", || deployment.readiness(2) == 503);
    // The settings are written to a temporary file and renamed, so that the process never reads a part of them.
    let temporary_file = deployment.folder.join("settings.tmp");
    std::fs::write(&temporary_file, deployment.settings(2, "edge", &[1], false))
        .expect("the file is written");
    std::fs::rename(temporary_file, deployment.settings_file(2)).expect("the file is renamed");
    let kill_status = Command::new("kill").arg("-HUP").arg(edge.child.id().to_string()).status();
    expect_that!(kill_status.expect("kill runs").success(), eq(true));
    wait_until("the edge nodes are ready", || deployment.is_ready(2));
}
