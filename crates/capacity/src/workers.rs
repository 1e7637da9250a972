//! Simulated workers: they call the core as real ones do (at the platform's heartbeat interval) and, where asked to,
//! serve requests and answer at once.

use super::{children, CapacityError};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{timeout, Instant};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The job of a process of simulated workers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Job {
    /// Prefix of the ids.
    pub name: String,
    /// Group of the loopback network that their addresses are of.
    pub group: u8,
    /// Number of workers.
    pub workers: usize,
    /// Services that they are spread over.
    pub services: usize,
    /// Zones that they are spread over.
    pub zones: usize,
    /// Requests that each works on at a time.
    pub capacity: u32,
    /// Where the core is called.
    pub controls: Vec<SocketAddr>,
    /// Time between two heartbeats: milliseconds.
    #[serde(rename = "beat_ms")]
    pub heartbeat_ms: u64,
    /// Workers a second, over all of this process, that are replaced by new ones.
    #[serde(rename = "replaced_per_s")]
    pub replacements_per_s: f64,
    /// Is a new connection opened for each call?
    #[serde(rename = "fresh")]
    pub connects_per_call: bool,
    /// Do they listen and answer requests?
    pub serve: bool,
}

/// What such a process has seen between `begin` and `end`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Seconds.
    pub seconds: f64,
    /// Calls that were acknowledged.
    pub taken: u64,
    /// Calls that were not.
    pub failed: u64,
    /// Workers that were replaced.
    pub replaced: u64,
    /// Bytes of requests, and of responses.
    pub bytes: (u64, u64),
    /// Milliseconds to the acknowledgement: median, 99th percentile, longest.
    pub ms: (f64, f64, f64),
}

struct Run {
    job: Job,
    report: RefCell<Report>,
    times: RefCell<Vec<f64>>,
    incarnations: Cell<u64>,
}

struct Worker {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    calls: u64,
    control: usize,
    stream: Option<TcpStream>,
}

/// The value below which `part` of the sorted values lie; 0 without values.
pub fn percentile(sorted: &[f64], part: f64) -> f64 {
    let at = ((sorted.len() as f64 * part).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(at).copied().unwrap_or(0.0)
}

/// Reads one response with its body and returns its status.
pub async fn read_response(stream: &mut TcpStream, read: &mut Vec<u8>) -> std::io::Result<u16> {
    read.clear();
    let truncated = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
    loop {
        if stream.read_buf(read).await? == 0 {
            return Err(truncated());
        }
        let Some(end) = read.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
        let head = String::from_utf8_lossy(&read[..end]).to_ascii_lowercase();
        let length =
            head.split("content-length: ").nth(1).and_then(|l| l.lines().next()?.trim().parse().ok());
        while read.len() < end + 4 + length.unwrap_or(0) {
            if stream.read_buf(read).await? == 0 {
                return Err(truncated());
            }
        }
        return head.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or_else(truncated);
    }
}

/// Connects from an address of its own: thousands of callers at one address would run out of ports.
async fn connect(from: IpAddr, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(from, 0))?;
    socket.connect(to).await
}

impl Run {
    fn new_worker(&self, number: usize, address: SocketAddr) -> Worker {
        let incarnation = self.incarnations.get();
        self.incarnations.set(incarnation + 1);
        let job = &self.job;
        Worker {
            id: format!("{}-{incarnation}", job.name),
            service: format!("s{}", number % job.services.max(1)),
            zone: format!("z{}", number % job.zones.max(1)),
            address,
            calls: 0,
            control: number % job.controls.len().max(1),
            stream: None,
        }
    }

    async fn call(&self, worker: &mut Worker, what: &str, phase: &str) -> bool {
        worker.calls += 1;
        let Worker { id, service, zone, address, calls, .. } = &*worker;
        let capacity = self.job.capacity;
        let body = match what {
            "heartbeat" => format!(
                r#"{{"service_ref":"{service}","address":"{address}","zone_name":"{zone}","revision":"v1","capacity":{capacity},"phase":"{phase}","warmup_left":"0ms","call_count":{calls}}}"#
            ),
            _ => "{}".into(),
        };
        let length = body.len();
        let text = format!(
            "POST /whinstall/instances/{id}/{what} HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        let begun = Instant::now();
        let mut read = Vec::new();
        let stream = worker.stream.take();
        let (from, to) = (worker.address.ip(), self.job.controls[worker.control]);
        let exchange = async {
            let mut stream = match stream {
                Some(stream) => stream,
                None => connect(from, to).await?,
            };
            stream.set_nodelay(true)?;
            stream.write_all(text.as_bytes()).await?;
            let status = read_response(&mut stream, &mut read).await?;
            std::io::Result::Ok((status, stream))
        };
        let ended = timeout(CALL_TIMEOUT, exchange).await;
        let mut report = self.report.borrow_mut();
        report.bytes = (report.bytes.0 + text.len() as u64, report.bytes.1 + read.len() as u64);
        match ended {
            Ok(Ok((status, stream))) if (200..300).contains(&status) => {
                report.taken += 1;
                self.times.borrow_mut().push(begun.elapsed().as_secs_f64() * 1e3);
                worker.stream = Some(stream).filter(|_| !self.job.connects_per_call);
                true
            }
            _ => {
                report.failed += 1;
                worker.control = (worker.control + 1) % self.job.controls.len().max(1);
                false
            }
        }
    }

    async fn run_worker(self: Rc<Self>, number: usize, address: SocketAddr, replaced_every: Option<f64>) {
        let beat = Duration::from_millis(self.job.heartbeat_ms);
        let mut worker = self.new_worker(number, address);
        let mut at = Instant::now() + beat.mul_f64(fastrand::f64());
        let lifetime = |every: f64| Instant::now() + Duration::from_secs_f64(every * (0.5 + fastrand::f64()));
        // The first workers start at a random age.
        let mut ends = replaced_every.map(|every| lifetime(every * fastrand::f64()));
        loop {
            tokio::time::sleep_until(at).await;
            if ends.is_some_and(|end| Instant::now() >= end) {
                self.call(&mut worker, "heartbeat", "decaying").await;
                self.call(&mut worker, "departure", "").await;
                worker = self.new_worker(number, address);
                ends = replaced_every.map(lifetime);
                self.report.borrow_mut().replaced += 1;
            }
            let taken = self.call(&mut worker, "heartbeat", "settled").await;
            at = (at + if taken { beat } else { beat / 4 }).max(Instant::now());
        }
    }
}

/// Answers each request on a connection at once, as a worker does; requests here have no bodies.
async fn serve(mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut read = Vec::new();
    loop {
        match stream.read_buf(&mut read).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        let Some(end) = read.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
        let head = String::from_utf8_lossy(&read[..end]).into_owned();
        read.drain(..end + 4);
        let id = head.lines().find(|l| l.to_ascii_lowercase().starts_with("x-attempt-id:"));
        let id = id.and_then(|l| Some(l.split_once(':')?.1.trim())).unwrap_or_default();
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: 3e1b.07.5a2\r\nContent-Length: 400\r\n\r\n{:400}",
            ""
        );
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Runs simulated workers until standard input ends; `begin` and `end` on it bound what is reported. Where they serve, their
/// addresses are the first line.
pub async fn run(job: Job) -> Result<(), CapacityError> {
    let run = Rc::new(Run {
        job,
        report: RefCell::default(),
        times: RefCell::default(),
        incarnations: Cell::new(0),
    });
    let mut addresses = Vec::new();
    for number in 0..run.job.workers {
        let mut address = SocketAddr::new(children::address(run.job.group, number), 8080);
        if run.job.serve {
            let listener = TcpListener::bind("127.0.0.1:0").await.map_err(CapacityError::Socket)?;
            address = listener.local_addr().map_err(CapacityError::Socket)?;
            tokio::task::spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::task::spawn_local(serve(stream));
                }
            });
        }
        addresses.push(address);
        let each = run.job.workers as f64 / run.job.replacements_per_s;
        let every = (run.job.replacements_per_s > 0.0).then_some(each);
        tokio::task::spawn_local(Rc::clone(&run).run_worker(number, address, every));
    }
    if run.job.serve {
        children::send_line(&serde_json::to_string(&addresses).unwrap_or_default());
    }
    let mut commands = children::commands();
    let mut begun = Instant::now();
    while let Some(command) = commands.recv().await {
        match command.as_str() {
            "begin" => {
                begun = Instant::now();
                *run.report.borrow_mut() = Report::default();
                run.times.borrow_mut().clear();
            }
            "end" => {
                let mut times = std::mem::take(&mut *run.times.borrow_mut());
                times.sort_by(f64::total_cmp);
                let mut report = run.report.borrow_mut();
                report.seconds = begun.elapsed().as_secs_f64();
                report.ms = (percentile(&times, 0.5), percentile(&times, 0.99), percentile(&times, 1.0));
                children::send_line(&serde_json::to_string(&*report).unwrap_or_default());
            }
            _ => {}
        }
    }
    Ok(())
}
