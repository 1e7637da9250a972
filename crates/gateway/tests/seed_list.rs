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

/// One deployment: its ports are the same on all machines.
struct Site {
    folder: PathBuf,
    ports: [u16; 4],
    /// Addresses are 127.0.NET.n.
    net: u8,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    fn new(name: &str, net: u8) -> Self {
        let folder = std::env::temp_dir().join(format!("whinstall-seeds-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        Site { folder, ports: [free_port(), free_port(), free_port(), free_port()], net }
    }

    fn ip(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 0, self.net, n)
    }

    /// Where machine `n` serves: its inner port, clients, readiness, control.
    fn at(&self, n: u8) -> [SocketAddr; 4] {
        self.ports.map(|port| (self.ip(n), port).into())
    }

    fn settings(&self, n: u8, role: &str, seeds: &[u8], cold: bool) -> String {
        let [inner, front, ready, control] = self.at(n);
        let endpoints = match role {
            "edge" => format!("front_http = \"{front}\"\nready_port = \"{ready}\""),
            _ => format!("control_port = \"{control}\""),
        };
        let data = self.folder.join(format!("data-{n}"));
        std::fs::create_dir_all(&data).expect("a folder");
        let seeds: Vec<String> = seeds.iter().map(|n| self.at(*n)[3].to_string()).collect();
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

    fn run(&self, n: u8, role: &str, seeds: &[u8], cold: bool) -> Process {
        std::fs::write(self.file(n), self.settings(n, role, seeds, cold)).expect("written");
        let child = Command::new(env!("CARGO_BIN_EXE_whinstall-gateway"))
            .arg(role)
            .env("WHINSTALL_NODE_FILE", self.file(n))
            .stderr(std::fs::File::create(self.folder.join(format!("{n}.log"))).expect("a file"))
            .stdin(Stdio::null())
            .spawn();
        Process { child: child.expect("it starts") }
    }

    fn logged(&self, n: u8, line: &str) -> bool {
        std::fs::read_to_string(self.folder.join(format!("{n}.log"))).unwrap_or_default().contains(line)
    }

    /// Sends a configuration without workers to the core machine until it is taken.
    fn configure(&self, n: u8) {
        let body = r#"{"upsert":{"service_set":[{"label":"s1","revision":"r1"}]}}"#;
        let head = "POST /whinstall/configuration/amend HTTP/1.1\r\nHost: c\r\nConnection: close\r\n";
        let call = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        wait_until("a configuration is taken", || status(&send_and_receive(self.at(n)[3], &call)) == 200);
    }

    fn readiness(&self, n: u8) -> u16 {
        let ask = "GET /whinstall/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        status(&send_and_receive(self.at(n)[2], ask))
    }

    fn is_ready(&self, n: u8) -> bool {
        self.readiness(n) == 200
    }
}

/// Something else that listens at a machine's address: it says this and no more, and ends no connection.
struct Stranger {
    taken: Arc<Mutex<Vec<TcpStream>>>,
    stop: Arc<Mutex<bool>>,
    at: SocketAddr,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Stranger {
    fn new(at: SocketAddr, says: &'static [u8]) -> Self {
        let listener = TcpListener::bind(at).expect("it listens");
        let (taken, stop) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(false)));
        let (took, stopped) = (Arc::clone(&taken), Arc::clone(&stop));
        let thread = std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                if *stopped.lock().expect("whole") {
                    return;
                }
                let _ = stream.write_all(says);
                took.lock().expect("whole").push(stream);
            }
        });
        Stranger { taken, stop, at, thread: Some(thread) }
    }

    fn met(&self) -> usize {
        self.taken.lock().expect("whole").len()
    }

    /// It takes no more; those that it took stay as they are.
    fn stops_listening(&mut self) {
        *self.stop.lock().expect("whole") = true;
        let _ = TcpStream::connect(self.at);
        let _ = self.thread.take().map(std::thread::JoinHandle::join);
    }
}

impl Drop for Stranger {
    fn drop(&mut self) {
        self.stops_listening();
    }
}

#[gtest]
fn unusable_seeds_do_not_hold_up_the_start() {
    let site = Site::new("strangers", 11);
    // 1: a gatekeeper, 2: nobody, 3: talks of something else, 4: says nothing and never ends, 5: another gatekeeper.
    let (nonsense, mut silent) =
        (Stranger::new(site.at(3)[0], b"220 mail.example ready\r\n"), Stranger::new(site.at(4)[0], b""));
    let seeds = [1, 2, 3, 4, 5];
    let _gates = [site.run(1, "edge", &seeds, false), site.run(5, "edge", &seeds, false)];
    // Each is given up and tried again.
    wait_until("strangers are met again", || nonsense.met() > 4 && silent.met() > 4);
    expect_that!([site.readiness(1), site.readiness(5)], eq([503, 503]));
    // A core machine gets the address of the silent one. Connections to that one still stand.
    silent.stops_listening();
    let core = site.run(4, "core", &[4], true);
    site.configure(4);
    wait_until("ready", || site.is_ready(1) && site.is_ready(5));
    // It is killed; its address goes to nobody, and a successor is at another seed's address.
    drop(core);
    let data = |n| site.folder.join(format!("data-{n}"));
    let (_, _) = (site.settings(2, "core", &[2], false), std::fs::remove_dir_all(data(2)));
    let _successor = site.run(2, "core", &[2], true);
    site.configure(2);
    wait_until("still ready", || site.is_ready(1) && site.is_ready(5));
}

#[gtest]
fn a_core_machine_restarts_from_its_disk_with_unusable_seeds() {
    let site = Site::new("disk", 12);
    let first = site.run(1, "core", &[1], true);
    site.configure(1);
    drop(first);
    let _strangers =
        [Stranger::new(site.at(3)[0], b"\x00\x00\x00\x03abc"), Stranger::new(site.at(4)[0], b"")];
    let _again = site.run(1, "core", &[2, 3, 4], false);
    let read = "GET /whinstall/configuration/read HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n";
    wait_until("it reads", || send_and_receive(site.at(1)[3], read).contains("\"s1\""));
}

#[gtest]
fn a_changed_settings_file_is_loaded_once_it_is_complete() {
    let site = Site::new("file", 13);
    let _core = site.run(1, "core", &[1], true);
    site.configure(1);
    let _edge = site.run(2, "edge", &[9], false);
    wait_until("it serves", || site.readiness(2) == 503);
    let whole = site.settings(2, "edge", &[9, 1], false);
    let cut = whole.find("seed_list").expect("a list") + 14;
    std::fs::write(site.file(2), &whole[..cut]).expect("written");
    wait_until("half of it is refused", || site.logged(2, "settings rejected, keeping the previous ones"));
    expect_that!(site.readiness(2), eq(503));
    std::fs::write(site.file(2), &whole).expect("written");
    wait_until("ready", || site.is_ready(2));
    expect_that!(site.logged(2, "settings reloaded"), eq(true));
}

#[gtest]
fn sighup_reloads_the_seed_list() {
    let site = Site::new("signal", 14);
    let _core = site.run(1, "core", &[1], true);
    site.configure(1);
    let edge = site.run(2, "edge", &[9], false);
    wait_until("it serves", || site.readiness(2) == 503);
    // By another name first, so that it is never seen in part.
    let making = site.folder.join("making");
    std::fs::write(&making, site.settings(2, "edge", &[1], false)).expect("written");
    std::fs::rename(making, site.file(2)).expect("renamed");
    let told = Command::new("kill").arg("-HUP").arg(edge.child.id().to_string()).status();
    expect_that!(told.expect("kill runs").success(), eq(true));
    wait_until("ready", || site.is_ready(2));
}
