//! Simulated edges: many real edge state machines in one process, without clients.
//!
//! Each has its own address and its own links to a real core. They do all the work that a real edge does for the
//! control plane.

use super::operator::ROUTES_A_HOST;
use super::{children, CapacityError};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use whinstall::{Ending, HostId, RequestId};
use whinstall_gateway::data_plane::requests::{AttemptReport, FinalResponse, IncomingRequest};
use whinstall_gateway::data_plane::{EdgeNode, Effect, Event};
use whinstall_gateway::protocol::{self, PeerMessage};
use whinstall_gateway::runtime::edge_loop::{run_ticks, EdgeDriver, EdgeLoop};
use whinstall_gateway::runtime::load_reports::LoadReportSocket;
use whinstall_gateway::settings::Settings;
use whinstall_gateway::transport::peer_link::{LinkEvent, PeerLinks};

/// The host and path of the route whose `target` tells which change is in force.
pub const PROBE: (&str, &str) = ("probe.example", "/probe/");

/// The job of a process of simulated edges.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Job {
    /// Settings of each, in TOML.
    pub settings: Vec<String>,
    /// Requests a second at each.
    pub requests_per_s: f64,
    /// Tenants and routes that the requests are spread over.
    pub tenants: u32,
    /// As `tenants`.
    pub routes: u32,
    /// A worker takes so long for a request: milliseconds.
    pub work_ms: u64,
    /// Are load reports sent to the other edges?
    #[serde(rename = "tell")]
    pub exchanges_load_reports: bool,
    /// Number of edges that count their messages.
    pub counted: usize,
}

/// Messages and bytes, with the length ahead, without the heads of packets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MessageCount {
    /// Messages.
    pub messages: u64,
    /// Bytes.
    pub bytes: u64,
}

/// The activation of a change.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Activation {
    /// Edges that have it in force.
    pub edges: usize,
    /// When the last one had: seconds of the epoch.
    pub last_at: f64,
}

/// What such a process has seen between `begin` and `end`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Edges in it.
    #[serde(rename = "gates")]
    pub edges: usize,
    /// Edges that counted their messages.
    pub counted: usize,
    /// Seconds.
    pub seconds: f64,
    /// By kind, with `said` or `heard` ahead, over those that counted.
    pub kinds: BTreeMap<String, MessageCount>,
    /// Syncs by the core machine that they were sent to, over those that counted: most go to the leader.
    pub syncs: BTreeMap<String, u64>,
    /// By number of the change.
    pub in_force: BTreeMap<u64, Activation>,
    /// Requests: asked, answered by a worker, beyond the quota, refused or failed.
    pub requests: [u64; 4],
    /// Longest time between two quota grants of a leader, over those that count: seconds.
    pub uncounted_s: f64,
    /// Links that went down.
    #[serde(rename = "downs")]
    pub link_downs: u64,
    /// Largest delay of a tick: seconds.
    pub late_s: f64,
}

impl Report {
    fn add(&mut self, kind: String, bytes: usize) {
        let count = self.kinds.entry(kind).or_default();
        count.messages += 1;
        count.bytes += bytes as u64;
    }
}

struct Run {
    job: Job,
    report: RefCell<Report>,
    clock: whinstall_gateway::runtime::Clock,
}

struct SimulatedEdge {
    edge: EdgeLoop,
    links: PeerLinks,
    load_reports: LoadReportSocket,
    counts: bool,
    next: Cell<u64>,
    counted_at: Cell<f64>,
    in_flight: RefCell<HashMap<(RequestId, u32), tokio::task::AbortHandle>>,
    run: Rc<Run>,
}

/// The name of a message's kind, as it stands in its bytes.
fn kind(bytes: &[u8]) -> &str {
    let at = if bytes.get(4).is_some_and(|b| *b == 0x81) { 5 } else { 4 };
    let Some(length) = bytes.get(at).filter(|b| **b & 0xe0 == 0xa0).map(|b| usize::from(b & 0x1f)) else {
        return "?";
    };
    bytes.get(at + 1..at + 1 + length).and_then(|name| std::str::from_utf8(name).ok()).unwrap_or("?")
}

impl EdgeDriver for SimulatedEdge {
    fn edge(&self) -> &EdgeLoop {
        &self.edge
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Connect(ip) => self.connect(ip),
            Effect::Disconnect(ip) => self.links.close(ip),
            Effect::Send(ip, msg) => {
                self.count("said", &msg, ip);
                self.links.send(ip, msg);
            }
            Effect::Dispatch { id, attempt, worker, .. } => self.dispatch(id, attempt, worker),
            Effect::CancelAttempt(id, attempt) => {
                let begun = self.in_flight.borrow_mut().remove(&(id.clone(), attempt));
                if let Some(begun) = begun {
                    begun.abort();
                }
            }
            Effect::Respond(_, answer) => {
                let place = match answer {
                    FinalResponse::Upstream(_) => 1,
                    FinalResponse::RateLimited(_) => 2,
                    _ => 3,
                };
                self.run.report.borrow_mut().requests[place] += 1;
            }
            Effect::SendLoadReport(to, load) if self.run.job.exchanges_load_reports => {
                let Some(bytes) = self.load_reports.send(&to, &load) else { return };
                to.iter().for_each(|_| self.count_datagram("said", bytes));
            }
            Effect::SendLoadReport(..) | Effect::CloseIdleConnections(_) => {}
        }
    }
}

impl SimulatedEdge {
    fn count(&self, way: &str, msg: &PeerMessage, to: IpAddr) {
        if !self.counts {
            return;
        }
        if matches!(msg, PeerMessage::QuotaGrants { is_leader: true, .. }) {
            let now = self.run.clock.now();
            let mut report = self.run.report.borrow_mut();
            report.uncounted_s = report.uncounted_s.max(now - self.counted_at.replace(now));
        }
        let bytes = protocol::encode(msg);
        let name = kind(&bytes);
        let mut report = self.run.report.borrow_mut();
        if name == "Sync" && way == "said" {
            *report.syncs.entry(to.to_string()).or_default() += 1;
        }
        report.add(format!("{way} {name}"), bytes.len());
    }

    fn count_datagram(&self, way: &str, bytes: usize) {
        if self.counts {
            self.run.report.borrow_mut().add(format!("{way} Load (datagram)"), bytes);
        }
    }

    fn connect(self: &Rc<Self>, ip: IpAddr) {
        let this = Rc::clone(self);
        self.links.open(ip, move |happens| match happens {
            LinkEvent::Up => this.handle(Event::LinkUp(ip)),
            LinkEvent::Received(msg) => {
                this.count("heard", &msg, ip);
                this.handle_core_message(Event::CoreMessage(ip, msg));
            }
            LinkEvent::Down => {
                this.run.report.borrow_mut().link_downs += 1;
                this.handle(Event::LinkDown(ip));
            }
        });
    }

    /// Handles a message of the core, and records when a new configuration is in force.
    fn handle_core_message(self: &Rc<Self>, event: Event) {
        let before = Arc::clone(&self.edge.node.borrow().active_config);
        self.handle(event);
        let view = Arc::clone(&self.edge.node.borrow().active_config);
        if Arc::ptr_eq(&before, &view) {
            return;
        }
        let number = |view: &whinstall_gateway::configuration::ActiveConfig| {
            view.match_route(PROBE.0, PROBE.1).map_or(0, |route| route.latency_target.as_millis() as u64)
        };
        let (was, is) = (number(&before), number(&view));
        let mut report = self.run.report.borrow_mut();
        for number in was + 1..=is {
            let activation = report.in_force.entry(number).or_default();
            activation.edges += 1;
            activation.last_at = children::epoch();
        }
    }

    /// Simulates an attempt: the worker answers after `work_ms`.
    fn dispatch(self: &Rc<Self>, id: RequestId, attempt: u32, worker: HostId) {
        let this = Rc::clone(self);
        let key = (id.clone(), attempt);
        let work = Duration::from_millis(self.run.job.work_ms);
        let begun = tokio::task::spawn_local(async move {
            tokio::time::sleep(work).await;
            this.in_flight.borrow_mut().remove(&(id.clone(), attempt));
            this.update(|edge, now, out| {
                let (id, worker, ending) = (&id, &worker, Ending::Ok);
                let report = AttemptReport { id, attempt, worker, ending, response_ok: Some(true) };
                edge.on_attempt_end(now, report, out);
            });
        });
        self.in_flight.borrow_mut().insert(key, begun.abort_handle());
    }

    /// Starts a request with a random tenant and route.
    fn start_request(self: &Rc<Self>) {
        let job = &self.run.job;
        let view = Arc::clone(&self.edge.node.borrow().active_config);
        let number = fastrand::u32(..job.routes.max(1));
        let host = format!("h{}.example", number / ROUTES_A_HOST);
        let Some(route) = view.match_route(&host, &format!("/p{number}/x")).cloned() else { return };
        let tenant =
            view.tenant_by_credential(&format!("key-{}", fastrand::u32(..job.tenants.max(1)))).cloned();
        let id = RequestId(self.next.get().to_string().into());
        self.next.set(self.next.get() + 1);
        self.run.report.borrow_mut().requests[0] += 1;
        let arrival = IncomingRequest { id, route, tenant, remaining_secs: 2.0 };
        self.update(|edge, now, out| edge.on_request(now, arrival, out));
    }

    async fn receive_load_reports(self: Rc<Self>) {
        self.load_reports
            .receive(|received| {
                self.count_datagram("heard", received.length);
                if let Some(load) = received.report {
                    self.handle(Event::PeerLoad(received.from, load));
                }
            })
            .await;
    }

    async fn tick(self: Rc<Self>) {
        run_ticks(self, |simulated, late| {
            let mut report = simulated.run.report.borrow_mut();
            report.late_s = report.late_s.max(late);
        })
        .await;
    }

    async fn generate_requests(self: Rc<Self>) {
        let rate = self.run.job.requests_per_s;
        let mut at = tokio::time::Instant::now();
        loop {
            at += Duration::from_secs_f64(-(1.0 - fastrand::f64()).ln() / rate);
            tokio::time::sleep_until(at).await;
            self.start_request();
        }
    }

    fn is_ready(&self) -> bool {
        self.edge.is_ready()
    }
}

/// Starts one edge.
async fn start_edge(run: &Rc<Run>, number: usize) -> Result<Rc<SimulatedEdge>, CapacityError> {
    let settings = Settings::from_toml(&run.job.settings[number]);
    let settings = settings.map_err(|e| CapacityError::Child(e.to_string()))?;
    let port = settings.internal_port;
    let load_reports = LoadReportSocket::bind(settings.ip, port).await.map_err(CapacityError::Socket)?;
    let simulated = Rc::new(SimulatedEdge {
        edge: EdgeLoop::new(EdgeNode::new(settings, fastrand::u64(..)), run.clock),
        links: PeerLinks::new(port),
        load_reports,
        counts: number < run.job.counted,
        next: Cell::new(1),
        counted_at: Cell::new(f64::INFINITY),
        in_flight: RefCell::default(),
        run: Rc::clone(run),
    });
    simulated.update(|edge, _, out| edge.start(out));
    tokio::task::spawn_local(Rc::clone(&simulated).receive_load_reports());
    tokio::task::spawn_local(Rc::clone(&simulated).tick());
    Ok(simulated)
}

/// Runs simulated edges until standard input ends; the commands `begin` and `end` bound what is reported.
pub async fn run(job: Job) -> Result<(), CapacityError> {
    let run =
        Rc::new(Run { job, report: RefCell::default(), clock: whinstall_gateway::runtime::Clock::start() });
    let mut edges = Vec::new();
    for number in 0..run.job.settings.len() {
        edges.push(start_edge(&run, number).await?);
        // Spreads the starts, as with real machines.
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let mut commands = children::commands();
    let (mut ready, mut begun) = (false, tokio::time::Instant::now());
    loop {
        let command = tokio::select! {
            command = commands.recv() => match command {
                Some(command) => command,
                None => return Ok(()),
            },
            () = tokio::time::sleep(Duration::from_millis(50)), if !ready => {
                ready = edges.iter().all(|g| g.is_ready());
                if ready {
                    children::send_line("ready");
                }
                continue;
            }
        };
        match command.as_str() {
            // Requests run ahead of what is measured, so that nothing is learned in it.
            "ask" if run.job.requests_per_s > 0.0 => edges.iter().for_each(|simulated| {
                tokio::task::spawn_local(Rc::clone(simulated).generate_requests());
            }),
            "begin" => {
                *run.report.borrow_mut() = Report::default();
                begun = tokio::time::Instant::now();
            }
            "end" => {
                let mut report = run.report.borrow_mut();
                (report.edges, report.counted) = (edges.len(), run.job.counted.min(edges.len()));
                report.seconds = begun.elapsed().as_secs_f64();
                children::send_line(&serde_json::to_string(&*report).unwrap_or_default());
            }
            _ => {}
        }
    }
}
