//! What the cases share: a small deployment of the project's own processes on loopback addresses, and stand-ins for the
//! platform, the operator, the workers and the clients. Standard library only.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// The record of a run: lines with the time since its start, in the file and in memory.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {}", text.as_ref());
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn free_port() -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let n = NEXT.fetch_add(1, Ordering::Relaxed) + u64::from(std::process::id()) * 131;
        let port = 12_000 + (n % 18_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// The command that the deploy file gives for a role.
fn run_command(role: &str) -> Vec<String> {
    let text = std::fs::read_to_string("deploy/system.toml").expect("deploy/system.toml is readable");
    let section = text.split(&format!("[roles.{role}]")).nth(1).expect("the role is in the deploy file");
    let section = section.split("\n[").next().unwrap_or(section);
    let run = section.lines().find_map(|l| l.trim().strip_prefix("run = \"")).expect("the role has a command");
    run.trim_end_matches('"').split(' ').map(str::to_owned).collect()
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Role {
    Edge,
    Core,
}

pub struct Machine {
    pub name: String,
    pub role: Role,
    pub ip: String,
    zone: String,
    child: Option<Child>,
    starts: u32,
}

/// A small deployment: machines with an address each, the same ports on all.
pub struct Deployment {
    pub folder: PathBuf,
    pub machines: Vec<Machine>,
    pub record: Record,
    ports: [u16; 4],
    seeds: Vec<String>,
}

const ENVELOPE: &str = "seed_delay = \"3s\"\nreuse_delay = \"2s\"\ncontact = \"3000ms\"\nack_bound = \"5000ms\"\n\
resync_bound = \"4s\"\ndrain_bound = \"2500ms\"\ngrace_period = \"6s\"\nloss_slack = \"200ms\"\nsettle = \"2500ms\"\n\
revert_slack = \"250ms\"\nstretch_time = \"8000ms\"\nrevocation_closed = false\nrevoke_bound = \"5000ms\"\n\
retry_ratio = 0.2\nretry_window = \"10s\"\nretry_slack = 62\nquota_horizon = \"5s\"\nquota_overshoot = 0.1\n\
quota_margin = 20\nrecovery = \"15s\"\n";

impl Deployment {
    /// Prepares the machines; none is started yet. Zones as on the site, one core machine in each.
    pub fn new(name: &str, edges: usize, cores: usize, record: &Record) -> Self {
        let folder = std::env::temp_dir().join(format!("whinstall-review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let subnet = 16 + std::process::id() % 200;
        let zones = ["meknes-hall", "fes-hall", "elhajeb-yard"];
        let mut machines = Vec::new();
        for n in 0..edges + cores {
            let (role, class, of_class) =
                if n < cores { (Role::Core, "core", n) } else { (Role::Edge, "edge", n - cores) };
            let zone = zones[of_class % 3].to_owned();
            let name = format!("{class}-{zone}-{}", of_class / 3 + 1);
            let ip = format!("127.77.{subnet}.{}", n + 1);
            machines.push(Machine { name, role, ip, zone, child: None, starts: 0 });
        }
        let ports = [free_port(), free_port(), free_port(), free_port()];
        let core_ips = machines.iter().filter(|m| m.role == Role::Core).take(3);
        let seeds = core_ips.map(|m| format!("{}:{}", m.ip, ports[3])).collect();
        Deployment { folder, machines, record: record.clone(), ports, seeds }
    }

    fn settings(&self, machine: &Machine, cold_start: bool) -> String {
        let Machine { name, role, ip, zone, .. } = machine;
        let [internal, front, ready, control] = self.ports;
        let is_core = *role == Role::Core;
        let (class, serves) = if is_core { ("core", "controller") } else { ("edge", "edge") };
        let endpoints = match role {
            Role::Edge => format!("front_http = \"{ip}:{front}\"\nready_port = \"{ip}:{ready}\"\n"),
            Role::Core => format!("control_port = \"{ip}:{control}\"\n"),
        };
        let data = match is_core {
            true => format!("data_path = {:?}\n", self.folder.join(format!("data-{name}"))),
            false => String::new(),
        };
        format!(
            "[self]\nnode_name = \"{name}\"\nfunction = \"{class}\"\nmachine_class = \"{class}\"\n\
             served_classes = [\"{serves}\"]\nip_addr = \"{ip}\"\nzone_name = \"{zone}\"\nregion_name = \"saiss\"\n\
             loss_counted = {is_core}\ncold_start = {cold_start}\n{data}\
             [self.saturation]\ncpu_fraction = 0.3\ncore_count = 1\nmemory_cap_mb = 256\nfile_handles = 4096\n\
             link_cap_mbps = 1000.0\ndisk_cap_mb = 256\n\
             [network]\ninternal_ports = [{internal}, {internal}]\nseed_list = {:?}\n\
             [network.endpoints]\n{endpoints}[network.zones]\nmeknes-hall = \"saiss\"\nfes-hall = \"saiss\"\n\
             elhajeb-yard = \"saiss\"\n[substrate]\ndiscovery_source = \"self_report\"\nentry_kind = \"virtual_ip\"\n\
             heartbeat = \"1500ms\"\nregime = \"parts\"\n[constraints]\n\
             invariants = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"tenants\",\"quota\"]\n\
             [constraints.tolerance]\nmachine_losses = 1\nzones = 0\nregion_losses = 0\n\
             [constraints.envelope]\n{ENVELOPE}",
            self.seeds
        )
    }

    /// Starts the process of a machine, with the command of the deploy file.
    pub fn start(&mut self, n: usize) {
        let machine = &self.machines[n];
        let cold_start = machine.starts == 0;
        let file = self.folder.join(format!("{}.toml", machine.name));
        std::fs::write(&file, self.settings(machine, cold_start)).expect("the settings can be written");
        std::fs::create_dir_all(self.folder.join(format!("data-{}", machine.name))).expect("a data folder");
        let command = run_command(if machine.role == Role::Core { "core" } else { "edge" });
        let log = self.folder.join(format!("{}.log", machine.name));
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let mut process = Command::new(&command[0]);
        process.args(&command[1..]).env_clear().env("WHINSTALL_NODE_FILE", &file);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                process.env(name, value);
            }
        }
        let child = process.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn();
        let machine = &mut self.machines[n];
        match child {
            Ok(child) => {
                STARTED.lock().unwrap().push(child.id());
                machine.child = Some(child);
            }
            Err(error) => self.record.line(format!("{} does not start: {error}", machine.name)),
        }
        machine.starts += 1;
        self.record.line(format!("platform: {} started, start {}", machine.name, machine.starts));
    }

    pub fn start_all(&mut self) {
        (0..self.machines.len()).for_each(|n| self.start(n));
    }

    pub fn signal(&self, n: usize, signal: i32) {
        if let Some(child) = &self.machines[n].child {
            unsafe { kill(child.id() as i32, signal) };
        }
        self.record.line(format!("platform: signal {signal} to {}", self.machines[n].name));
    }

    /// Waits for a process that was killed or told to end.
    pub fn reap(&mut self, n: usize) {
        if let Some(mut child) = self.machines[n].child.take() {
            let status = child.wait();
            STARTED.lock().unwrap().retain(|pid| *pid != child.id());
            self.record.line(format!("platform: {} ended: {status:?}", self.machines[n].name));
        }
    }

    pub fn has_ended(&mut self, n: usize) -> bool {
        self.machines[n].child.as_mut().is_none_or(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    pub fn of_role(&self, role: Role) -> Vec<usize> {
        (0..self.machines.len()).filter(|n| self.machines[*n].role == role).collect()
    }

    pub fn control(&self, n: usize) -> SocketAddr {
        format!("{}:{}", self.machines[n].ip, self.ports[3]).parse().unwrap()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.of_role(Role::Core).into_iter().map(|n| self.control(n)).collect()
    }

    pub fn front(&self, n: usize) -> SocketAddr {
        format!("{}:{}", self.machines[n].ip, self.ports[1]).parse().unwrap()
    }

    pub fn is_ready(&self, n: usize) -> bool {
        let address: SocketAddr = format!("{}:{}", self.machines[n].ip, self.ports[2]).parse().unwrap();
        let request = "GET /whinstall/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        exchange(address, request.as_bytes(), 1000).status == 200
    }

    /// Waits until all edge machines are ready.
    pub fn wait_ready(&self, within_ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(within_ms);
        while Instant::now() < until {
            if self.of_role(Role::Edge).into_iter().all(|n| self.is_ready(n)) {
                self.record.line("platform: all edge machines are ready");
                return true;
            }
            sleep_ms(50);
        }
        self.record.line("platform: not all edge machines got ready");
        false
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut child) = machine.child.take() {
                unsafe { kill(child.id() as i32, SIGCONT) };
                let _ = child.kill();
                let _ = child.wait();
                STARTED.lock().unwrap().retain(|pid| *pid != child.id());
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// What came back for a request. `status` is 0 if no whole answer came.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// Sends a request on a new connection and reads one answer.
pub fn exchange(address: SocketAddr, request: &[u8], timeout_ms: u64) -> Answer {
    let timeout = Duration::from_millis(timeout_ms);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout) else { return Answer::default() };
    let _ = stream.set_read_timeout(Some(timeout));
    let _ = stream.set_nodelay(true);
    if stream.write_all(request).is_err() {
        return Answer::default();
    }
    read_answer(&mut stream).unwrap_or_default()
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.trim().eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Reads one message with a `Content-Length` (0 if it has none).
pub fn read_message(stream: &mut TcpStream) -> Option<(String, String)> {
    let (mut received, mut buffer) = (Vec::new(), [0; 8192]);
    loop {
        let text = String::from_utf8_lossy(&received).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = header(head, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            if body.len() >= length {
                return Some((head.to_owned(), body[..length].to_owned()));
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(n) => received.extend_from_slice(&buffer[..n]),
        }
    }
}

fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let (head, body) = read_message(stream)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer { status, head, body })
}

pub fn post(path: &str, body: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// The operator: sends a change until one of the gatekeepers acknowledges it. Returns when that was, by the record.
pub fn amend(record: &Record, controls: &[SocketAddr], body: &str, within_ms: u64) -> Option<f64> {
    let until = Instant::now() + Duration::from_millis(within_ms);
    let call = post("/whinstall/configuration/amend", body);
    let mut n = 0;
    while Instant::now() < until {
        let answer = exchange(controls[n % controls.len()], &call, 1000);
        if answer.status == 200 {
            record.line(format!("operator: 200 for {body}"));
            return Some(record.now());
        }
        if (400..500).contains(&answer.status) {
            record.line(format!("operator: {} {} for {body}", answer.status, answer.body));
            return None;
        }
        n += 1;
        sleep_ms(100);
    }
    record.line(format!("operator: no acknowledgement for {body}"));
    None
}

/// A request that a worker got: when, by the record, its `X-Attempt-Id` and its tenant.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub id: String,
    pub worker: String,
    pub tenant: String,
}

/// A worker: serves requests at once, as a sound one does, and calls the gatekeepers with its beats.
pub struct Worker {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub beats: Arc<AtomicBool>,
    call_count: Arc<AtomicU64>,
    ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    record: Record,
}

impl Worker {
    pub fn start(id: &str, service: &str, work_ms: u64, runs: &Arc<Mutex<Vec<Run>>>, record: &Record) -> Arc<Worker> {
        Self::start_by_path(id, service, &[("/", work_ms)], runs, record)
    }

    /// A worker whose work takes by the path's beginning: milliseconds.
    pub fn start_by_path(
        id: &str,
        service: &str,
        work: &[(&str, u64)],
        runs: &Arc<Mutex<Vec<Run>>>,
        record: &Record,
    ) -> Arc<Worker> {
        let work: Vec<(String, u64)> = work.iter().map(|(path, ms)| ((*path).to_owned(), *ms)).collect();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Arc::new(Worker {
            id: id.into(),
            service: service.into(),
            address: listener.local_addr().expect("an address"),
            runs: Arc::clone(runs),
            beats: Arc::new(AtomicBool::new(true)),
            call_count: Arc::new(AtomicU64::new(0)),
            ended: AtomicBool::new(false),
            connections: Mutex::new(Vec::new()),
            record: record.clone(),
        });
        let this = Arc::clone(&worker);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if this.ended.load(Ordering::SeqCst) {
                    return;
                }
                this.connections.lock().unwrap().extend(stream.try_clone());
                let (this, work) = (Arc::clone(&this), work.clone());
                thread::spawn(move || this.serve(stream, &work));
            }
        });
        worker
    }

    /// The worker ends: its connections close, and new ones are refused.
    pub fn end(&self) {
        self.beats.store(false, Ordering::SeqCst);
        self.ended.store(true, Ordering::SeqCst);
        self.record.line(format!("worker {} ends", self.id));
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, mut stream: TcpStream, work: &[(String, u64)]) {
        let _ = stream.set_nodelay(true);
        while let Some((head, _body)) = read_message(&mut stream) {
            let at = self.record.now();
            let id = header(&head, "x-attempt-id").unwrap_or_default().to_owned();
            let target = header(&head, "x-target-instance").unwrap_or_default();
            let answer = if id.is_empty() {
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned()
            } else if !target.is_empty() && target != self.id {
                format!("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            } else {
                let tenant = header(&head, "x-tenant").unwrap_or_default().to_owned();
                self.runs.lock().unwrap().push(Run { at, id: id.clone(), worker: self.id.clone(), tenant });
                let path = head.split(' ').nth(1).unwrap_or_default();
                let ms = work.iter().find(|(beginning, _)| path.starts_with(beginning)).map_or(0, |(_, ms)| *ms);
                sleep_ms(ms);
                format!(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: {}.{id}\r\nContent-Length: 4\r\n\r\ndone",
                    self.id
                )
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The bytes of the next beat; `call_count` rises with each call.
    pub fn beat_call(&self, phase: &str) -> Vec<u8> {
        let call_count = self.call_count.fetch_add(1, Ordering::SeqCst) + 1;
        post(
            &format!("/whinstall/instances/{}/heartbeat", self.id),
            &format!(
                "{{\"service_ref\":\"{}\",\"address\":\"{}\",\"zone_name\":\"fes-hall\",\"revision\":\"v1\",\"capacity\":8,\
                 \"phase\":\"{phase}\",\"warmup_left\":\"0ms\",\"call_count\":{call_count}}}",
                self.service, self.address
            ),
        )
    }

    /// Calls with one beat until a gatekeeper acknowledges it.
    pub fn beat(&self, controls: &[SocketAddr], first: usize) -> bool {
        let call = self.beat_call("settled");
        (0..controls.len()).any(|n| exchange(controls[(first + n) % controls.len()], &call, 1000).status == 200)
    }

    /// Beats every 1.5 s while `beats` is set.
    pub fn keep_beating(self: &Arc<Self>, controls: Vec<SocketAddr>) {
        let this = Arc::clone(self);
        thread::spawn(move || {
            let mut n = 0;
            while this.beats.load(Ordering::SeqCst) {
                this.beat(&controls, n);
                n += 1;
                sleep_ms(1500);
            }
        });
    }

    /// Sends the departure until a gatekeeper acknowledges it; returns when that was, by the record.
    pub fn depart(&self, controls: &[SocketAddr]) -> Option<f64> {
        let call = post(&format!("/whinstall/instances/{}/departure", self.id), "{}");
        for n in 0..12 {
            if exchange(controls[n % controls.len()], &call, 1000).status == 200 {
                self.record.line(format!("worker {}: departure acknowledged", self.id));
                return Some(self.record.now());
            }
            sleep_ms(100);
        }
        None
    }
}

/// What a client saw of one request.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: f64,
    pub id: String,
    pub status: u16,
    pub took: f64,
}

/// Sends one request of a client on a new connection.
pub fn client_request(record: &Record, front: SocketAddr, path: &str, host: &str, key: &str, id: &str, wait_ms: u64) -> Sent {
    let at = record.now();
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {id}\r\nX-Remaining-Ms: {wait_ms}\r\nApi-Key: {key}\r\n\
         Connection: close\r\n\r\n"
    );
    let answer = exchange(front, request.as_bytes(), wait_ms);
    Sent { at, id: id.into(), status: answer.status, took: record.now() - at }
}

/// Counts statuses, for the record.
pub fn by_status(sent: &[Sent]) -> String {
    let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
    sent.iter().for_each(|s| *counts.entry(s.status).or_default() += 1);
    format!("{counts:?} (status 0: no answer)")
}

/// Whether the run has the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Process ids that this run started, so that a case that is given up leaves none behind.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills processes that this run started and that have not been waited for.
pub fn end_leftovers() {
    for pid in STARTED.lock().unwrap().drain(..) {
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

/// Remembers a process that a case started by itself.
pub fn remember(pid: u32) {
    STARTED.lock().unwrap().push(pid);
}

/// Kills a process that a case started by itself, and waits for it.
pub fn end_child(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    STARTED.lock().unwrap().retain(|pid| *pid != child.id());
}

/// Writes down all that was sent, answered and run, in the order of its time.
pub fn record_all(record: &Record, sent: &[Sent], runs: &[Run]) {
    let mut lines: Vec<(f64, String)> = Vec::new();
    for Sent { at, id, status, took } in sent {
        lines.push((*at, format!("{at:8.3} sent {id}, answered {status} after {took:.3} s")));
    }
    for Run { at, id, worker, tenant } in runs {
        lines.push((*at, format!("{at:8.3} run {id} by {worker}, tenant {tenant:?}")));
    }
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    record.line("all that was sent, answered and run:");
    let mut file = record.file.lock().unwrap();
    for (_, line) in lines {
        let _ = writeln!(file, "{line}");
    }
}
