//! The driver of the edge role. It connects the state machine in [`crate::data_plane`] to sockets and the clock. The
//! state machine makes all decisions on requests; the driver rejects only requests that the configuration does not allow.

mod client_connections;
mod dispatch;
mod drain;
mod readiness;
mod request;

use crate::data_plane::{EdgeNode, Effect, Event};
use crate::runtime::edge_loop::{run_ticks, EdgeDriver, EdgeLoop};
use crate::runtime::load_reports::LoadReportSocket;
use crate::runtime::{Clock, ProcessSignal, RunError, SignalListener};
use crate::settings::Settings;
use crate::transport::http_server::BodyBudget;
use crate::transport::peer_link::{LinkEventMapper, PeerLinks};
use crate::transport::upstream_pool::{UpstreamPool, IDLE_SWEEP_INTERVAL};
use request::PendingRequest;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::net::TcpListener;
use tokio::sync::watch;
use whinstall::RequestId;

/// Divisor of the process's memory limit that gives the memory for request bodies in flight.
const BODY_MEMORY_DIVISOR: usize = 4;
/// Number of file descriptors reserved for files, links to peers and listeners, and thus not available for connections
/// of clients and to workers.
const RESERVED_DESCRIPTORS: usize = 300;
/// Minimum number of file descriptors for connections of clients and to workers together, regardless of the settings.
const MIN_DESCRIPTORS: usize = 64;

/// A running edge: the state machine and the resources on which its effects are executed.
struct EdgeServer {
    edge: EdgeLoop,
    /// Outgoing links to core machines.
    links: PeerLinks,
    /// Requests whose client is waiting or that have an attempt in flight.
    pending: RefCell<HashMap<RequestId, PendingRequest>>,
    upstreams: UpstreamPool,
    load_reports: LoadReportSocket,
    next_request: Cell<u64>,
    /// Time at which idle client connections are closed; `None` until the process drains.
    closes_idle_at: watch::Sender<Option<Instant>>,
    /// Number of open client connections.
    client_connections: Cell<usize>,
    max_client_connections: usize,
    body_budget: Rc<BodyBudget>,
}

impl EdgeDriver for EdgeServer {
    fn edge(&self) -> &EdgeLoop {
        &self.edge
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Connect(ip) => self.connect(ip),
            Effect::Disconnect(ip) => self.links.close(ip),
            Effect::Send(ip, message) => self.links.send(ip, message),
            Effect::Dispatch { id, attempt, worker, address, timeout_secs } => {
                let timeout = Duration::from_secs_f64(timeout_secs.max(0.0));
                self.dispatch(id, attempt, worker, address, timeout);
            }
            Effect::CancelAttempt(id, attempt) => self.cancel_attempt(&id, attempt),
            Effect::Respond(id, response) => self.resolve(&id, response),
            Effect::CloseIdleConnections(worker) => self.upstreams.close_idle(&worker.0),
            Effect::SendLoadReport(edges, report) => {
                self.load_reports.send(&edges, &report);
            }
        }
    }
}

impl EdgeServer {
    /// Opens a link to a core machine. Messages from the link are passed to the state machine as events.
    fn connect(self: &Rc<Self>, ip: IpAddr) {
        let this = Rc::clone(self);
        let events =
            LinkEventMapper { up: Event::LinkUp, received: Event::CoreMessage, down: Event::LinkDown };
        self.links.open(ip, events.for_peer(ip, move |event| this.handle(event)));
    }

    /// Runs the ticks and closes upstream connections that have been idle for too long; never returns.
    async fn run_ticks(self: Rc<Self>) {
        let mut swept_at = Instant::now();
        run_ticks(self, |server, _| {
            if swept_at.elapsed() >= IDLE_SWEEP_INTERVAL {
                swept_at = Instant::now();
                server.upstreams.sweep_idle();
            }
        })
        .await;
    }

    /// Passes the load reports of other edges to the state machine; never returns.
    async fn receive_load_reports(self: Rc<Self>) {
        self.load_reports
            .receive(|received| {
                if let Some(report) = received.report {
                    self.handle(Event::PeerLoad(received.from, report));
                }
            })
            .await;
    }
}

/// Creates a number that distinguishes this run of the process from all others on any machine: nanoseconds since the
/// epoch combined with a random number.
fn new_incarnation() -> u64 {
    SystemTime::UNIX_EPOCH.elapsed().map_or(0, |d| d.as_nanos() as u64) ^ fastrand::u64(..)
}

/// Runs the edge role until the process receives a signal to end.
///
/// Fails before the first client is served if a setting is missing, a signal handler can't be installed, or an address
/// can't be bound.
pub async fn run(settings: Settings) -> Result<(), RunError> {
    // Signal handlers are installed before any client can connect: an unhandled signal would end the process together
    // with all of its connections.
    let mut signals = SignalListener::new().map_err(RunError::Signals)?;
    let missing = RunError::MissingSetting;
    let front_address = settings.front_address.ok_or(missing("network.endpoints.front_http"))?;
    let readiness_address = settings.readiness_address.ok_or(missing("network.endpoints.ready_port"))?;
    let server = start(settings).await?;
    let readiness_listener = TcpListener::bind(readiness_address).await.map_err(RunError::Listen)?;
    let client_listener = TcpListener::bind(front_address).await.map_err(RunError::Listen)?;
    server.update(|node, _, effects| node.start(effects));
    tokio::task::spawn_local(readiness::serve(Rc::clone(&server), readiness_listener));
    tokio::task::spawn_local(client_connections::accept(Rc::clone(&server), client_listener));
    tokio::task::spawn_local(Rc::clone(&server).receive_load_reports());
    tokio::task::spawn_local(Rc::clone(&server).run_ticks());
    while let ProcessSignal::Reload(settings) = signals.next().await {
        server.update(|node, _, effects| node.update_settings(*settings, effects));
    }
    drain::drain(&server).await;
    Ok(())
}

/// Creates the server, which does not accept connections yet.
async fn start(settings: Settings) -> Result<Rc<EdgeServer>, RunError> {
    let incarnation = new_incarnation();
    tracing::info!(node = settings.node, incarnation, "edge role starting");
    let port = settings.internal_port;
    let descriptors = settings.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_DESCRIPTORS);
    let body_budget = BodyBudget::new(settings.memory_bytes as usize / BODY_MEMORY_DIVISOR);
    let load_reports = LoadReportSocket::bind(settings.ip, port).await.map_err(RunError::Listen)?;
    Ok(Rc::new(EdgeServer {
        edge: EdgeLoop::new(EdgeNode::new(settings, incarnation), Clock::start()),
        links: PeerLinks::new(port),
        pending: RefCell::default(),
        upstreams: UpstreamPool::new(descriptors / 2),
        load_reports,
        next_request: Cell::new(1),
        closes_idle_at: watch::Sender::new(None),
        client_connections: Cell::new(0),
        max_client_connections: descriptors / 2,
        body_budget,
    }))
}
