//! Measures the latency that one edge adds and the load it bears.
//!
//! The real edge role runs before workers that answer at once; the same client also calls these workers directly,
//! through the same loopback, in alternating rounds.

use super::arrays::serialize_as_array;
use super::children::{Process, Usage};
use super::cluster::{port, start_with, Core};
use super::machine::{LoadMonitor, MachineLoad};
use super::operator::{self, Operator, Sizes, ROUTES_A_HOST};
use super::plan::{Comparison, RoutesAndTenants};
use super::workers::{self, percentile};
use super::{children, CapacityError};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Warm-up of a round in which connections open; its requests are not counted.
const WARM_UP_S: f64 = 0.5;

/// The job of a client process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Job {
    /// Targets, one chosen at random for each request.
    pub to: Vec<SocketAddr>,
    /// Requests a second, sent regardless of earlier ones (open loop); 0: closed loop on `connections`.
    pub rate: f64,
    /// Seconds that are counted...
    pub seconds: f64,
    /// ...after these seconds of warm-up.
    #[serde(rename = "warm_s")]
    pub warm_up_s: f64,
    /// Connections, where there is no rate.
    pub connections: usize,
    /// Number of routes and tenants that the requests are spread over.
    pub routes: u32,
    /// See `routes`.
    pub tenants: u32,
}

/// Results of a client process.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Answered with 200.
    pub served: u64,
    /// Anything else.
    pub failed: u64,
    /// Seconds.
    pub seconds: f64,
    /// Milliseconds from when a request was due to its answer: median, 90th, 99th, 99.9th percentile, most.
    pub ms: [f64; 5],
}

/// Both ways, one right after the other.
#[derive(Clone, Debug, Serialize)]
pub struct Round {
    /// Direct.
    pub bare: Report,
    /// Through the edge.
    pub through: Report,
}

/// A figure of several rounds: median, least and most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Half of the rounds lie below.
    pub median: f64,
    /// The least of a round.
    pub least: f64,
    /// The most of a round.
    pub most: f64,
}

impl Spread {
    fn new(rounds: &[Round], value: impl Fn(&Round) -> f64) -> Self {
        let mut values: Vec<f64> = rounds.iter().map(value).collect();
        values.sort_by(f64::total_cmp);
        let at = |part| percentile(&values, part);
        Spread { median: at(0.5), least: at(0.0), most: at(1.0) }
    }
}

/// A figure at the median of requests and at the 99th percentile.
#[derive(Clone, Copy, Debug)]
pub struct P50AndP99 {
    /// At the median.
    pub p50: Spread,
    /// At the 99th percentile.
    pub p99: Spread,
}

serialize_as_array!(P50AndP99 { p50, p99 });

/// Requests through the edge.
#[derive(Clone, Copy, Debug)]
pub struct Served {
    /// Served requests a second.
    pub per_s: f64,
    /// Failed requests, in all.
    pub failed: u64,
}

serialize_as_array!(Served { per_s, failed });

/// Latency that the edge adds. Rounds of the two ways take turns, and
/// each is compared with the other of its pair, so that other load of the machine affects both alike.
#[derive(Clone, Debug, Serialize)]
pub struct Added {
    /// Milliseconds without it.
    pub bare_ms: P50AndP99,
    /// Milliseconds through it.
    pub through_ms: P50AndP99,
    /// Milliseconds added.
    pub added_ms: P50AndP99,
    /// Through it over without it.
    pub ratio: P50AndP99,
}

impl Added {
    fn new(rounds: &[Round]) -> Self {
        let both = |value: &dyn Fn(f64, f64) -> f64| {
            let at = |i: usize| Spread::new(rounds, |r| value(r.bare.ms[i], r.through.ms[i]));
            // `Report::ms` holds the median first and the 99th percentile third.
            P50AndP99 { p50: at(0), p99: at(2) }
        };
        Added {
            bare_ms: both(&|bare, _| bare),
            through_ms: both(&|_, through| through),
            added_ms: both(&|bare, through| through - bare),
            ratio: both(&|bare, through| through / bare.max(1e-6)),
        }
    }
}

/// One figure of the two ways.
#[derive(Clone, Debug, Serialize)]
pub struct EdgeComparison {
    /// Size of the configuration.
    pub sizes: RoutesAndTenants,
    /// Requests a second of each tenant; 0: no limit.
    pub limit: u32,
    /// Requests a second that were asked for; 0: as many as come back.
    pub rate: f64,
    /// How busy the machine was.
    pub machine: MachineLoad,
    /// The rounds, as they came.
    pub rounds: Vec<Round>,
    /// Requests through the edge.
    pub served: Served,
    /// Cores that it took without requests: its control-plane work.
    pub idle_cpu: f64,
    /// Cores that it took.
    pub cpu: f64,
    /// Cores that it waited for (runnable but not running); above a tenth of `cpu`, timings reflect the machine's load
    /// more than the edge.
    pub waited: f64,
    /// Processor milliseconds for each request.
    pub cpu_ms: f64,
    /// Peak resident bytes.
    pub memory: u64,
    /// Its descriptors.
    pub descriptors: usize,
    /// What it added.
    pub added: Added,
}

/// Idle connections by target.
type Pool = RefCell<Vec<Vec<TcpStream>>>;

async fn send_request(job: &Job, pool: &Pool, number: u64) -> std::io::Result<bool> {
    let which = fastrand::usize(..job.to.len());
    let route = fastrand::u32(..job.routes.max(1));
    let tenant = fastrand::u32(..job.tenants.max(1));
    let idle = pool.borrow_mut()[which].pop();
    let mut stream = match idle {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect(job.to[which]).await?;
            stream.set_nodelay(true)?;
            stream
        }
    };
    let text = format!(
        "GET /p{route}/2f HTTP/1.1\r\nHost: h{}.example\r\nX-Attempt-Id: a{number}\r\nX-Remaining-Ms: 2000\r\nApi-Key: key-{tenant}\r\n\r\n",
        route / ROUTES_A_HOST
    );
    stream.write_all(text.as_bytes()).await?;
    let mut read = Vec::with_capacity(1024);
    let status = workers::read_response(&mut stream, &mut read).await?;
    pool.borrow_mut()[which].push(stream);
    Ok(status == 200)
}

struct Run {
    job: Job,
    pool: Pool,
    report: RefCell<Report>,
    times: RefCell<Vec<f64>>,
    counted: tokio::time::Instant,
}

impl Run {
    async fn send(self: Rc<Self>, number: u64) {
        let sent = tokio::time::Instant::now();
        let served = send_request(&self.job, &self.pool, number).await.unwrap_or(false);
        if sent < self.counted {
            return;
        }
        let mut report = self.report.borrow_mut();
        match served {
            true => {
                report.served += 1;
                self.times.borrow_mut().push(sent.elapsed().as_secs_f64() * 1e3);
            }
            false => report.failed += 1,
        }
    }
}

/// Runs clients for the duration of the job; writes the report as one line.
pub async fn run(job: Job) -> Result<(), CapacityError> {
    let pool: Pool = RefCell::new(job.to.iter().map(|_| Vec::new()).collect());
    let begun = tokio::time::Instant::now();
    let counted = begun + Duration::from_secs_f64(job.warm_up_s);
    let end = counted + Duration::from_secs_f64(job.seconds);
    let run = Rc::new(Run { job, pool, report: RefCell::default(), times: RefCell::default(), counted });
    if run.job.rate > 0.0 {
        let (mut at, mut number) = (begun, 0);
        while at < end {
            at += Duration::from_secs_f64(-(1.0 - fastrand::f64()).ln() / run.job.rate);
            // The timer's steps are a millisecond: what is due within one goes out with what is due before it.
            if at > tokio::time::Instant::now() + Duration::from_micros(900) {
                tokio::time::sleep_until(at).await;
            }
            number += 1;
            tokio::task::spawn_local(Rc::clone(&run).send(number));
            tokio::task::yield_now().await;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    } else {
        let loops = (0..run.job.connections.max(1)).map(|c| {
            let run = Rc::clone(&run);
            tokio::task::spawn_local(async move {
                let mut number = c as u64 * 1_000_000_000;
                while tokio::time::Instant::now() < end {
                    number += 1;
                    Rc::clone(&run).send(number).await;
                }
            })
        });
        for each in loops.collect::<Vec<_>>() {
            let _ = each.await;
        }
    }
    let mut times = std::mem::take(&mut *run.times.borrow_mut());
    times.sort_by(f64::total_cmp);
    let mut report = run.report.borrow_mut();
    report.seconds = run.job.seconds;
    report.ms = [0.5, 0.9, 0.99, 0.999, 1.0].map(|part| percentile(&times, part));
    children::send_line(&serde_json::to_string(&*report).unwrap_or_default());
    Ok(())
}

fn run_clients(folder: &Path, job: &Job) -> Result<Report, CapacityError> {
    let clients = start_with(folder, "clients", "clients", job)?;
    let line = clients.line(Instant::now() + Duration::from_secs_f64(job.seconds + 20.0))?;
    serde_json::from_str(&line).map_err(|e| CapacityError::Child(format!("clients: {e}")))
}

fn is_ready(at: SocketAddr) -> bool {
    use std::io::{Read, Write};
    let request = || -> std::io::Result<bool> {
        let mut stream = std::net::TcpStream::connect(at)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /whinstall/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")?;
        let mut received = [0; 16];
        stream.read_exact(&mut received)?;
        Ok(received.starts_with(b"HTTP/1.1 200"))
    };
    request().unwrap_or(false)
}

/// Starts workers that serve requests; with their addresses.
fn start_serving_workers(
    folder: &Path,
    core: &Core,
    heartbeat_ms: u64,
) -> Result<(Process, Vec<SocketAddr>), CapacityError> {
    let job = workers::Job {
        name: "i".into(),
        group: 9,
        workers: 8,
        services: 1,
        zones: 1,
        capacity: 4000,
        controls: core.controls.clone(),
        heartbeat_ms,
        replacements_per_s: 0.0,
        connects_per_call: false,
        serve: true,
    };
    let workers = start_with(folder, "workers", "workers", &job)?;
    let line = workers.line(Instant::now() + Duration::from_secs(10))?;
    let addresses = serde_json::from_str(&line).map_err(|e| CapacityError::Child(format!("workers: {e}")))?;
    Ok((workers, addresses))
}

/// Starts a real edge and waits until it is ready; with the address that clients call.
fn start_edge(folder: &Path, core: &Core) -> Result<(Process, SocketAddr), CapacityError> {
    let at = |port| SocketAddr::new(children::address(2, 0), port);
    let (front, ready_at) = (at(port()?), at(port()?));
    let endpoints = format!("front_http = \"{front}\"\nready_port = \"{ready_at}\"\n");
    let settings = core.write("edge", &core.settings(2, 0, &endpoints))?;
    let edge = Process::start("edge", &["role", "edge"], Some(&settings), &folder.join("edge.log"))?;
    let until = Instant::now() + Duration::from_secs(40);
    while !is_ready(ready_at) {
        if Instant::now() > until {
            return Err(CapacityError::Child("the gatekeeper is not ready after 40 s".into()));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok((edge, front))
}

/// A running edge with workers behind it.
struct Setup<'a> {
    folder: &'a Path,
    plan: &'a Comparison,
    edge: Process,
    front: SocketAddr,
    workers: Vec<SocketAddr>,
    idle_cpu: f64,
}

impl Setup<'_> {
    /// Compares at one rate.
    fn compare_at(&self, rate: f64) -> Result<EdgeComparison, CapacityError> {
        let Comparison { sizes, limit, seconds, .. } = *self.plan;
        let RoutesAndTenants { routes, tenants } = sizes;
        let job = |to| Job { to, rate, seconds, warm_up_s: WARM_UP_S, connections: 64, routes, tenants };
        let (monitor, mut rounds) = (LoadMonitor::begin(), Vec::new());
        let (mut took, mut spent, mut waited) = (0.0, 0.0, 0.0);
        let mut after = Usage::default();
        for _ in 0..self.plan.rounds {
            let bare = run_clients(self.folder, &job(self.workers.clone()))?;
            let (begun, before) = (Instant::now(), self.edge.usage());
            let through = run_clients(self.folder, &job(vec![self.front]))?;
            took += begun.elapsed().as_secs_f64();
            after = self.edge.usage();
            spent += after.cpu_s - before.cpu_s;
            waited += after.waited_s - before.waited_s;
            rounds.push(Round { bare, through });
        }
        let served: u64 = rounds.iter().map(|r| r.through.served).sum();
        let failed: u64 = rounds.iter().map(|r| r.through.failed).sum();
        // Requests of the warm-up are not counted, but their processor time is.
        let requests = (served + failed) as f64 * (seconds + WARM_UP_S) / seconds;
        Ok(EdgeComparison {
            sizes,
            limit,
            rate,
            machine: monitor.end(),
            served: Served { per_s: served as f64 / (seconds * rounds.len().max(1) as f64), failed },
            added: Added::new(&rounds),
            rounds,
            idle_cpu: self.idle_cpu,
            cpu: spent / took,
            waited: waited / took,
            cpu_ms: spent / requests.max(1.0) * 1e3,
            memory: after.peak,
            descriptors: after.descriptors,
        })
    }
}

/// Compares at each rate (0: as many as come back on 64 connections), in an empty folder.
pub fn compare(folder: &Path, plan: &Comparison) -> Result<Vec<EdgeComparison>, CapacityError> {
    let Comparison { sizes: RoutesAndTenants { routes, tenants }, limit, seconds, heartbeat_ms, .. } = *plan;
    let core = Core::start(folder, 1, 1, heartbeat_ms)?;
    let body = operator::full_configuration(Sizes { routes, tenants, keys: 1, services: 1, rate: limit });
    Operator::new(core.controls.clone()).amend(&body, Duration::from_secs(60))?;
    let (_workers, workers) = start_serving_workers(folder, &core, heartbeat_ms)?;
    let (edge, front) = start_edge(folder, &core)?;
    let (begun, before) = (Instant::now(), edge.usage());
    std::thread::sleep(Duration::from_secs_f64(seconds));
    let idle_cpu = (edge.usage().cpu_s - before.cpu_s) / begun.elapsed().as_secs_f64();
    let setup = Setup { folder, plan, edge, front, workers, idle_cpu };
    plan.rates.iter().map(|rate| setup.compare_at(*rate)).collect()
}
