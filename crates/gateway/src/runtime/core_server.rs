//! The driver of the core role: sockets, disk and clock around the state machine in `core`. It must never decide
//! anything.

use crate::configuration::parse_change;
use crate::control_plane::{error_body, ApiCommand, ConnectionId, CoreNode, Effect, Event, TICK_SECS};
use crate::discovery::{Worker, WorkerPhase};
use crate::json_path::{JsonNode, JsonPathError};
use crate::protocol::PeerMessage;
use crate::settings::Settings;
use crate::storage::{LoadedState, ReplicaStore, StorageError, WriteBatch};
use crate::transport::http_server::{self, BodyBudget, Connection, HttpError, RequestLimits};
use crate::transport::peer_link::{self, LinkEvent, LinkEventMapper, PeerLinks};
use actix_http::{Method, Request, StatusCode};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc as blocking;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::oneshot;

/// Bounds on calls of workers and operators.
const BOUNDS: RequestLimits = RequestLimits {
    max_head_bytes: 16 * 1024,
    max_body_bytes: 16 * 1024 * 1024,
    head_timeout: Duration::from_secs(3),
    body_timeout: Duration::from_secs(10),
};
/// Bodies may take this part of the memory: one over so many.
const BODIES_PART: usize = 8;
/// A caller's connection may be idle for this long.
const IDLE: Duration = Duration::from_secs(30);
/// A disk that can't be opened is tried again this often.
const OPEN_AGAIN: Duration = Duration::from_millis(200);
/// After SIGTERM calls under way are answered, for so long at the most.
const END_WITHIN: Duration = Duration::from_millis(900);

type Queue = UnboundedSender<PeerMessage>;

struct CoreServer {
    core: RefCell<CoreNode>,
    clock: crate::runtime::Clock,
    links: PeerLinks,
    conns: RefCell<HashMap<ConnectionId, Queue>>,
    calls: RefCell<HashMap<u64, oneshot::Sender<(u16, Value)>>>,
    disk: RefCell<Option<blocking::Sender<WriteBatch>>>,
    next: Cell<u64>,
    room: Rc<BodyBudget>,
    /// Was this process asked to end?
    ending: Cell<bool>,
}

impl CoreServer {
    fn handle(self: &Rc<Self>, event: Event) {
        let mut out = Vec::new();
        self.core.borrow_mut().handle(self.clock.now(), event, &mut out);
        self.carry_out(out);
    }

    fn carry_out(self: &Rc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Connect(ip) => self.connect(ip),
                Effect::Disconnect(ip) => self.links.close(ip),
                Effect::SendToPeer(ip, msg) => self.links.send(ip, msg),
                Effect::SendToSession(conn, msg) => {
                    if let Some(queue) = self.conns.borrow().get(&conn) {
                        let _ = queue.send(msg);
                    }
                }
                Effect::Respond(call, status, body) => {
                    if let Some(reply) = self.calls.borrow_mut().remove(&call) {
                        let _ = reply.send((status, body));
                    }
                }
                Effect::Persist(put) => {
                    if let Some(disk) = &*self.disk.borrow() {
                        let _ = disk.send(put);
                    }
                }
            }
        }
    }

    fn connect(self: &Rc<Self>, ip: IpAddr) {
        let this = Rc::clone(self);
        let events =
            LinkEventMapper { up: Event::LinkUp, received: Event::PeerMessage, down: Event::LinkDown };
        self.links.open(ip, events.for_peer(ip, move |event| this.handle(event)));
    }

    /// Serves a caller's connection.
    async fn converse(self: Rc<Self>, mut connection: Connection) {
        loop {
            match tokio::time::timeout(IDLE, connection.wait_readable()).await {
                Ok(Ok(())) => {}
                _ => return,
            }
            let (response, body) = match connection.read_request(&BOUNDS, &self.room).await {
                Ok(whole) => self.answer(&whole.head, whole.body.unwrap_or_default()).await,
                Err(HttpError::ConnectionClosed) => return,
                Err(HttpError::Rejected(status, why)) => {
                    let (mut response, body) = http_server::text_response(status, why);
                    response.force_close();
                    (response, body)
                }
            };
            // A process that ends takes no more on this connection: its caller is to know.
            let mut response = response;
            if self.ending.get() {
                response.force_close();
            }
            if !matches!(connection.respond(response, body).await, Ok(true)) || self.ending.get() {
                return;
            }
        }
    }

    async fn answer(
        self: &Rc<Self>,
        head: &Request,
        body: bytes::Bytes,
    ) -> (actix_http::ResponseBuilder, bytes::Bytes) {
        if self.ending.get() {
            // It may take longer than this process lives: its caller goes on to another machine.
            return http_server::json_response(503, &error_body("ending"));
        }
        let command = match command(head, &body) {
            Ok(Some(command)) => command,
            Ok(None) => return http_server::text_response(StatusCode::NOT_FOUND, "no such call"),
            Err(error) => {
                tracing::warn!(error, path = head.path(), "refused a call");
                ApiCommand::Malformed(error)
            }
        };
        let call = self.next.get();
        self.next.set(call + 1);
        let (reply, answer) = oneshot::channel();
        self.calls.borrow_mut().insert(call, reply);
        self.handle(Event::ApiCall(call, command));
        match answer.await {
            Ok((status, body)) => http_server::json_response(status, &body),
            Err(_) => http_server::json_response(503, &error_body("ending")),
        }
    }
}

/// The command that a call stands for; `None`: there is no such call.
fn command(head: &Request, body: &[u8]) -> Result<Option<ApiCommand>, String> {
    if http_server::matches_endpoint(head, Method::POST, "/whinstall/configuration/amend") {
        // Also a refusal wants most of the core in touch: the log's side decides when it is said.
        let read =
            parse_change(body).map_or_else(|e| ApiCommand::InvalidChange(e.to_string()), ApiCommand::Amend);
        return Ok(Some(read));
    }
    if http_server::matches_endpoint(head, Method::GET, "/whinstall/configuration/read") {
        return Ok(Some(ApiCommand::Read));
    }
    if http_server::matches_endpoint(head, Method::GET, "/whinstall/core") {
        return Ok(Some(ApiCommand::Status));
    }
    if http_server::matches_endpoint(head, Method::GET, "/whinstall/journal") {
        return Ok(Some(ApiCommand::Journal));
    }
    let Some(rest) = head.path().strip_prefix("/whinstall/instances/") else { return Ok(None) };
    match rest.split_once('/') {
        Some(("", _)) => Err("an instance without an id".into()),
        Some((id, "heartbeat")) if head.method() == Method::POST => {
            let value = crate::json_path::parse(body).map_err(|e| e.to_string())?;
            beat(id, &JsonNode::root(&value))
                .map(|w| Some(ApiCommand::Heartbeat(w)))
                .map_err(|e| e.to_string())
        }
        Some((id, "departure")) if head.method() == Method::POST => {
            Ok(Some(ApiCommand::Departure(id.into())))
        }
        _ => Ok(None),
    }
}

fn beat(id: &str, at: &JsonNode) -> Result<Worker, JsonPathError> {
    let address = at.required("address")?;
    let socket = address.as_str()?.parse();
    let phase = at.required("phase")?;
    Ok(Worker {
        id: id.into(),
        service: at.required("service_ref")?.as_non_empty_str()?.into(),
        address: socket
            .map_err(|_| JsonPathError::Invalid(address.path(), "an address such as 10.0.0.1:80"))?,
        zone: at.required("zone_name")?.as_str()?.into(),
        capacity: at.optional("capacity").map(|c| c.as_non_negative()).transpose()?.map_or(1, |c| c as u32),
        phase: match phase.as_str()? {
            "settled" => WorkerPhase::Serving,
            "decaying" => WorkerPhase::Draining,
            _ => return Err(JsonPathError::Invalid(phase.path(), "settled or decaying")),
        },
        warmup_ms: at
            .optional("warmup_left")
            .map(|t| t.as_duration())
            .transpose()?
            .map_or(0, |t| t.as_millis() as u32),
        call_count: at.required("call_count")?.as_non_negative()? as u64,
    })
}

/// Opens the disk; one that is in trouble is tried again, one that holds what can't be used is not.
async fn open(data: &Path, first: bool) -> Result<(ReplicaStore, LoadedState), StorageError> {
    loop {
        match ReplicaStore::open(data, first) {
            Err(error @ (StorageError::Database(_) | StorageError::DataFolder(_))) => {
                tracing::warn!(%error, "the disk can't be opened; trying again");
                tokio::time::sleep(OPEN_AGAIN).await;
            }
            opened => return opened,
        }
    }
}

/// Runs the core role until it is asked to end.
pub async fn run(mut settings: Settings) -> Result<(), crate::runtime::RunError> {
    // Before anything else: an unhandled signal would end the process with all that it has begun.
    let mut signals = crate::runtime::SignalListener::new().map_err(crate::runtime::RunError::Signals)?;
    let clock = crate::runtime::Clock::start();
    let control = settings
        .control_address
        .ok_or(crate::runtime::RunError::MissingSetting("network.endpoints.control_port"))?;
    let data =
        settings.data_path.clone().ok_or(crate::runtime::RunError::MissingSetting("self.data_path"))?;
    let mut opening = std::pin::pin!(open(&data, settings.is_first_seed()));
    let (store, held) = loop {
        tokio::select! {
            opened = &mut opening => break opened.map_err(crate::runtime::RunError::Storage)?,
            signal = signals.next() => match signal {
                crate::runtime::ProcessSignal::Reload(reread) => settings = *reread,
                crate::runtime::ProcessSignal::Shutdown => return Ok(()),
            },
        }
    };
    tracing::info!(
        node = settings.node,
        disk = format!("{:x}", held.disk_id),
        fresh = held.is_new,
        cold_start = settings.cold_start,
        term = held.raft_state.term,
        snapshot = held.raft_state.snapshot.as_ref().map_or(0, |s| s.index),
        entries = held.raft_state.entries.len(),
        workers = held.workers.len(),
        "core role starts"
    );
    let (port, ip) = (settings.internal_port, settings.ip);
    let room = BodyBudget::new(settings.memory_bytes as usize / BODIES_PART);
    let core = CoreNode::new(clock.now(), settings, held)
        .map_err(|e| crate::runtime::RunError::State(e.to_string()))?;
    let server = Rc::new(CoreServer {
        core: RefCell::new(core),
        clock,
        links: PeerLinks::new(port),
        conns: RefCell::default(),
        calls: RefCell::default(),
        disk: RefCell::default(),
        next: Cell::new(1),
        room,
        ending: Cell::new(false),
    });
    let (synced, mut syncs) = unbounded_channel();
    *server.disk.borrow_mut() = Some(store.spawn_writer(move |number| {
        let _ = synced.send(number);
    }));
    let inner = TcpListener::bind((ip, port)).await.map_err(crate::runtime::RunError::Listen)?;
    let control = TcpListener::bind(control).await.map_err(crate::runtime::RunError::Listen)?;
    let mut out = Vec::new();
    server.core.borrow_mut().start(&mut out);
    server.carry_out(out);
    let (opening, closing) = (Rc::clone(&server), Rc::clone(&server));
    tokio::task::spawn_local(peer_link::listen(
        inner,
        move |conn| {
            let (queue, outgoing) = unbounded_channel();
            opening.conns.borrow_mut().insert(conn, queue);
            outgoing
        },
        move |conn, happens| match happens {
            LinkEvent::Received(msg) => closing.handle(Event::SessionMessage(conn, msg)),
            LinkEvent::Down => {
                closing.conns.borrow_mut().remove(&conn);
                closing.handle(Event::SessionClosed(conn));
            }
            LinkEvent::Up => {}
        },
    ));
    let serving = Rc::clone(&server);
    tokio::task::spawn_local(async move {
        let config = http_server::service_config();
        loop {
            let connection = Connection::new(peer_link::accept_connection(&control).await, &config);
            tokio::task::spawn_local(Rc::clone(&serving).converse(connection));
        }
    });
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(TICK_SECS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => server.handle(Event::Tick),
            Some(number) = syncs.recv() => server.handle(Event::Persisted(number)),
            signal = signals.next() => match signal {
                crate::runtime::ProcessSignal::Reload(settings) => {
                    let mut out = Vec::new();
                    server.core.borrow_mut().retune(*settings, &mut out);
                    server.carry_out(out);
                }
                crate::runtime::ProcessSignal::Shutdown => break,
            },
        }
        if let Some(error) = server.core.borrow().fatal_error.as_ref().map(ToString::to_string) {
            return Err(crate::runtime::RunError::State(error));
        }
    }
    tracing::info!(
        calls = server.calls.borrow().len(),
        leads = server.core.borrow().has_leadership_to_transfer(),
        "core role drains"
    );
    server.ending.set(true);
    server.handle(Event::Shutdown);
    let _ = tokio::time::timeout(END_WITHIN, async {
        while !server.calls.borrow().is_empty() || server.core.borrow().has_leadership_to_transfer() {
            tokio::select! {
                _ = ticks.tick() => server.handle(Event::Tick),
                Some(number) = syncs.recv() => server.handle(Event::Persisted(number)),
            }
        }
        // What was just said goes out.
        tokio::time::sleep(Duration::from_millis(30)).await;
    })
    .await;
    let (calls, leads) = (server.calls.borrow().len(), server.core.borrow().has_leadership_to_transfer());
    tracing::info!(calls, leads, "core role ends");
    Ok(())
}
