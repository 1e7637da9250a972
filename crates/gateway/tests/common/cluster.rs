//! A cluster on loopback addresses: the processes of a core node and an edge node, and a worker whose responses the test sets.

use super::{free_port, send_and_receive, status, wait_until, Process, TIMEOUT};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Grace period between SIGTERM and SIGKILL in the settings, in seconds.
const GRACE_SECS: u64 = 4;
/// Grace period between SIGTERM and SIGKILL in the settings.
pub const GRACE: Duration = Duration::from_secs(GRACE_SECS);

/// Worker response that makes the worker wait until another response is set.
pub const HOLD: &str = "HOLD";
/// Marker in a worker response at which the worker closes the connection.
pub const CUT: &str = "CUT";

/// An edge node, a core node and a worker.
pub struct Cluster {
    folder: PathBuf,
    pub front_address: SocketAddr,
    readiness_address: SocketAddr,
    pub control_address: SocketAddr,
    pub edge: Option<Process>,
    pub core: Option<Process>,
    /// Response that the worker sends to each request; see [`HOLD`] and [`CUT`].
    worker_response: Arc<Mutex<String>>,
    /// Requests that the worker has received.
    worker_requests: Arc<Mutex<Vec<String>>>,
}

impl Cluster {
    /// Starts an edge node and a core node without a configuration.
    fn start(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("whinstall-cluster-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(folder.join("data")).expect("the folder is created");
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let internal_port = free_port();
        let [front_address, readiness_address, control_address] = [(); 3].map(|()| address(free_port()));
        for (name, cold_start) in [("edge", true), ("core", true), ("core-restart", false)] {
            let endpoints = match name {
                "edge" => format!("front_http = \"{front_address}\"\nready_port = \"{readiness_address}\""),
                _ => format!("control_port = \"{control_address}\""),
            };
            let data = folder.join("data");
            let settings = format!(
                "[self]\nnode_name = \"{name}\"\nip_addr = \"127.0.0.1\"\nzone_name = \"a\"\nregion_name = \"r\"\n\
                 cold_start = {cold_start}\ndata_path = {data:?}\n[network]\ninternal_ports = [{internal_port}, {internal_port}]\n\
                 seed_list = [\"{control_address}\"]\n[network.endpoints]\n{endpoints}\n[network.zones]\na = \"r\"\n\
                 [constraints.envelope]\nretry_slack = 62\nquota_margin = 20\ngrace_period = \"{GRACE_SECS}s\"\n"
            );
            std::fs::write(folder.join(format!("{name}.toml")), settings).expect("the file is written");
        }
        let mut cluster = Cluster {
            folder,
            front_address,
            readiness_address,
            control_address,
            edge: None,
            core: None,
            worker_response: Arc::default(),
            worker_requests: Arc::default(),
        };
        cluster.core = Some(cluster.spawn("core", "core"));
        cluster.edge = Some(cluster.spawn("edge", "edge"));
        cluster
    }

    /// Starts a cluster with a configuration and a worker, and waits until the edge is ready.
    pub fn start_serving(name: &str) -> Self {
        let cluster = Cluster::start(name);
        cluster.configure();
        cluster.start_worker();
        wait_until("ready", || cluster.is_ready());
        cluster
    }

    /// Starts a process with this role and the settings file of this name.
    pub fn spawn(&self, role: &str, settings: &str) -> Process {
        let log =
            std::fs::File::create(self.folder.join(format!("{role}.log"))).expect("the log file is created");
        let child = Command::new(env!("CARGO_BIN_EXE_whinstall-gateway"))
            .arg(role)
            .env("WHINSTALL_NODE_FILE", self.folder.join(format!("{settings}.toml")))
            .stderr(log)
            .stdin(Stdio::null())
            .spawn();
        Process { child: child.expect("the process starts") }
    }

    /// Calls the control API of the core node, and returns the response.
    pub fn call_core(&self, path: &str, body: &str) -> String {
        let method = if body.is_empty() && path.ends_with("read") { "GET" } else { "POST" };
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
        );
        send_and_receive(self.control_address, &(head + body))
    }

    /// Starts the worker, and registers it with a heartbeat.
    fn start_worker(&self) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let (response, requests) = (Arc::clone(&self.worker_response), Arc::clone(&self.worker_requests));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (response, requests) = (Arc::clone(&response), Arc::clone(&requests));
                std::thread::spawn(move || run_worker(stream, &response, &requests));
            }
        });
        let heartbeat = format!(
            r#"{{"service_ref":"s1","address":"{address}","zone_name":"a","revision":"v1","capacity":4,"phase":"settled","warmup_left":"0ms","call_count":1}}"#
        );
        wait_until("the heartbeat is accepted", || {
            status(&self.call_core("/whinstall/instances/i-1/heartbeat", &heartbeat)) == 200
        });
    }

    /// Submits a configuration with three routes, a tenant and a service, and waits until the core accepts it.
    fn configure(&self) {
        let body = r#"{"upsert":{"route_set":{"columns":["label","hostname","path_prefix","route_class","cutoff","target","rank","max_attempts","revision","service_ref"],"records":[["r1","a.example","/once/","effectful","2000ms","400ms",0,2,"r7","s1"],["r2","a.example","/any/","idempotent","2000ms","400ms",0,2,"r7","s1"],["r3","a.example","/long/","effectful","10000ms","400ms",0,2,"r7","s1"]]},"tenant_set":{"columns":["label","credentials","rate_per_s","burst_size","revision"],"records":[["t1",["key-1"],1000,1000,"r7"]]},"service_set":{"columns":["label","probe_path","revision"],"records":[["s1","/health","r7"]]},"saturation":{"header_max_bytes":2048,"body_max_bytes":4096,"header_deadline":"3000ms","idle_cutoff":"15000ms","revision":"r7"}},"remove":{"route_set":[]}}"#;
        wait_until("the configuration is accepted", || {
            status(&self.call_core("/whinstall/configuration/amend", body)) == 200
        });
    }

    pub fn is_ready(&self) -> bool {
        status(&send_and_receive(
            self.readiness_address,
            "GET /whinstall/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n",
        )) == 200
    }

    /// Sends a client request with additional headers, and returns the response.
    pub fn request(&self, path: &str, extra_headers: &str, body: &str) -> String {
        let method = if body.is_empty() { "GET" } else { "POST" };
        send_and_receive(self.front_address, &format!(
            "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-1\r\nX-Remaining-Ms: 2000\r\nApi-Key: key-1\r\n{extra_headers}\r\n{body}"
        ))
    }

    /// Sends SIGTERM to the edge node, and waits until that node is not ready. Returns when the signal was sent.
    pub fn terminate_edge(&self) -> Instant {
        let edge = self.edge.as_ref().expect("the edge process runs");
        let signalled_at = Instant::now();
        let kill_status = Command::new("kill").arg("-TERM").arg(edge.child.id().to_string()).status();
        assert!(kill_status.expect("kill runs").success());
        wait_until("the edge node is not ready", || !self.is_ready());
        signalled_at
    }

    /// Waits for the edge process to exit, and asserts that it exits successfully.
    pub fn assert_edge_exits(&mut self) {
        let edge = self.edge.as_mut().expect("the edge process runs");
        assert!(edge.child.wait().expect("the process can be waited for").success());
    }

    /// Sets the response that the worker sends from now on.
    pub fn set_worker_response(&self, response: &str) {
        *self.worker_response.lock().expect("not poisoned") = response.into();
    }

    /// Sends a client request, and returns the connection on which the response will arrive.
    pub fn send_request(&self, path: &str) -> TcpStream {
        self.send_request_within(path, TIMEOUT)
    }

    /// Sends a client request with this remaining time, and returns the connection on which the response will arrive.
    pub fn send_request_within(&self, path: &str, remaining: Duration) -> TcpStream {
        let mut client = TcpStream::connect(self.front_address).expect("the edge node accepts connections");
        client.set_read_timeout(Some(TIMEOUT)).expect("the timeout is valid");
        let request = format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id-1\r\nX-Remaining-Ms: {}\r\nApi-Key: key-1\r\n\r\n", remaining.as_millis());
        client.write_all(request.as_bytes()).expect("the request is sent");
        client
    }

    /// Waits until the worker has received `count` requests.
    pub fn wait_for_requests(&self, count: usize) {
        wait_until("the worker receives the request", || self.request_count() == count);
    }

    /// Number of requests that the worker has received.
    pub fn request_count(&self) -> usize {
        self.worker_requests.lock().expect("not poisoned").len()
    }

    /// The last request that the worker has received.
    pub fn last_request(&self) -> String {
        self.worker_requests.lock().expect("not poisoned").last().cloned().unwrap_or_default()
    }
}

impl Drop for Cluster {
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

/// Reads complete requests from a connection and sends the set response to each; see [`HOLD`] and [`CUT`].
fn run_worker(mut stream: TcpStream, response: &Mutex<String>, requests: &Mutex<Vec<String>>) {
    let (mut received, mut buffer) = (Vec::new(), [0; 8192]);
    while let Ok(n) = stream.read(&mut buffer) {
        if n == 0 {
            return;
        }
        received.extend_from_slice(&buffer[..n]);
        let request = String::from_utf8_lossy(&received).into_owned();
        let Some((head, body)) = request.split_once("\r\n\r\n") else { continue };
        let lower = head.to_ascii_lowercase();
        let length = lower.split("content-length: ").nth(1).and_then(|l| l.lines().next()?.parse().ok());
        if body.len() < length.unwrap_or(0) {
            continue;
        }
        requests.lock().expect("not poisoned").push(request);
        received.clear();
        let current_response = || response.lock().expect("not poisoned").clone();
        while current_response() == HOLD {
            std::thread::yield_now();
        }
        let response = current_response();
        let (bytes_to_send, is_cut) = match response.split_once(CUT) {
            Some((before, _)) => (before.to_owned(), true),
            None => (response, false),
        };
        if stream.write_all(bytes_to_send.as_bytes()).is_err() || is_cut {
            return;
        }
    }
}

/// Builds a valid worker response to the request with this id.
pub fn good_response(id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal-{id}\r\nContent-Length: {length}\r\n\r\n{body}")
}
