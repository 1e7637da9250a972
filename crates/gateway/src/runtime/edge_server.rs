//! The driver of the edge role: sockets and clock around the state machine in `edge`. It must never decide on a
//! request; what it turns back by itself is only what no configuration allows.

mod drain;

use crate::data_plane::requests::{AttemptReport, FinalResponse, IncomingRequest};
use crate::data_plane::{EdgeNode, Effect, Event};
use crate::runtime::edge_loop::EdgeLoop;
use crate::settings::Settings;
use crate::transport::http_server::{
    self, BodyBudget, Connection, HttpError, IdleOutcome, ReceivedRequest, RequestLimits,
};
use crate::transport::peer_link::{self, LinkEventMapper, PeerLinks};
use crate::transport::upstream_pool::{
    ForwardedRequest, UpstreamPool, UpstreamResponse, IDLE_SWEEP_INTERVAL,
};
use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Response, ResponseBuilder, StatusCode};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{oneshot, watch};
use whinstall::{Ending, HostId, RequestId};

/// A body comes within this.
const BODY_WITHIN: Duration = Duration::from_secs(10);
/// Bodies of requests under way may take this part of the memory: one over so many.
const BODIES_PART: usize = 4;
/// A gatekeeper that does not know its configuration yet may know it after this: seconds.
const NOT_YET: f64 = 0.25;
/// Where a request does not say how long its client waits.
const LEFT_MOST: Duration = Duration::from_secs(30);

/// Headers that concern one connection, or are set anew.
const OWN: [&str; 14] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "api-key",
    "x-tenant",
    "x-target-instance",
];

enum Final {
    Reply(UpstreamResponse),
    Plain(FinalResponse),
}

struct Pending {
    forward: Rc<ForwardedRequest>,
    tenant: Option<Arc<str>>,
    reply: Option<oneshot::Sender<Final>>,
    replies: HashMap<u32, UpstreamResponse>,
    called_off: HashMap<u32, oneshot::Sender<()>>,
}

struct EdgeServer {
    edge: EdgeLoop,
    links: PeerLinks,
    pending: RefCell<HashMap<RequestId, Pending>>,
    courier: UpstreamPool,
    port: u16,
    hints: UdpSocket,
    next: Cell<u64>,
    ending: watch::Sender<Option<Instant>>,
    open: Cell<usize>,
    descriptors: usize,
    room: Rc<BodyBudget>,
}

impl EdgeServer {
    fn handle(self: &Rc<Self>, event: Event) {
        self.with(|edge, now, out| edge.handle(now, event, out));
    }

    fn with(self: &Rc<Self>, f: impl FnOnce(&mut EdgeNode, f64, &mut Vec<Effect>)) {
        for effect in self.edge.with(f) {
            self.carry_out(effect);
        }
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Connect(ip) => self.connect(ip),
            Effect::Disconnect(ip) => self.links.close(ip),
            Effect::Send(ip, msg) => self.links.send(ip, msg),
            Effect::Dispatch { id, attempt, worker, address, timeout_secs } => {
                self.dispatch(id, attempt, worker, address, Duration::from_secs_f64(timeout_secs.max(0.0)));
            }
            Effect::CancelAttempt(id, attempt) => {
                let called_off =
                    self.pending.borrow_mut().get_mut(&id).and_then(|p| p.called_off.remove(&attempt));
                drop(called_off);
            }
            Effect::Respond(id, answer) => {
                let mut pending = self.pending.borrow_mut();
                let Some(p) = pending.get_mut(&id) else { return };
                let told = match answer {
                    FinalResponse::Upstream(attempt) => p.replies.remove(&attempt).map(Final::Reply),
                    other => Some(Final::Plain(other)),
                };
                if let Some(reply) = p.reply.take() {
                    let _ = reply.send(told.unwrap_or(Final::Plain(FinalResponse::UpstreamFailed)));
                }
            }
            Effect::CloseIdleConnections(worker) => self.courier.close_idle(&worker.0),
            Effect::SendLoadReport(to, load) => {
                let Ok(bytes) = rmp_serde::to_vec(&load) else { return };
                for ip in to {
                    // Lost where the way is full: it is told again.
                    let _ = self.hints.try_send_to(&bytes, SocketAddr::new(ip, self.port));
                }
            }
        }
    }

    fn connect(self: &Rc<Self>, ip: IpAddr) {
        let this = Rc::clone(self);
        let events =
            LinkEventMapper { up: Event::LinkUp, received: Event::CoreMessage, down: Event::LinkDown };
        self.links.open(ip, events.for_peer(ip, move |event| this.handle(event)));
    }

    fn dispatch(
        self: &Rc<Self>,
        id: RequestId,
        attempt: u32,
        worker: HostId,
        address: SocketAddr,
        within: Duration,
    ) {
        let (call_off, called_off) = oneshot::channel::<()>();
        let (forward, tenant) = {
            let mut pending = self.pending.borrow_mut();
            let Some(p) = pending.get_mut(&id) else { return };
            p.called_off.insert(attempt, call_off);
            (Rc::clone(&p.forward), p.tenant.clone())
        };
        let this = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let may_begin = || this.edge.state.borrow().is_serving(&worker);
            let sent =
                this.courier.attempt(&worker.0, address, &forward, tenant.as_deref(), within, may_begin);
            let ended = tokio::select! {
                biased;
                ended = sent => Some(ended),
                _ = called_off => None,
            };
            let (ending, whole) = match ended {
                // May have run: nothing is known of how far it came.
                None => (Ending::Cancelled, None),
                Some(ended) => {
                    if ended.misdirected {
                        this.with(|edge, now, out| edge.on_misdirected(now, &worker, out));
                    }
                    let whole = ended.response.is_some().then_some(ended.ending == Ending::Ok);
                    if let Some(p) = this.pending.borrow_mut().get_mut(&id) {
                        p.called_off.remove(&attempt);
                        p.replies.extend(ended.response.map(|reply| (attempt, reply)));
                    }
                    (ended.ending, whole)
                }
            };
            let report = AttemptReport { id: &id, attempt, worker: &worker, ending, response_ok: whole };
            this.with(|edge, now, out| edge.on_attempt_end(now, report, out));
            this.forget(&id);
        });
    }

    /// Forgets a request that is over in all respects.
    fn forget(&self, id: &RequestId) {
        let mut pending = self.pending.borrow_mut();
        if pending.get(id).is_some_and(|p| p.reply.is_none()) && !self.edge.state.borrow().is_pending(id) {
            pending.remove(id);
        }
    }

    fn bounds(&self) -> RequestLimits {
        let edge = self.edge.state.borrow();
        let s = &edge.active_config.client_limits;
        RequestLimits {
            max_head_bytes: s.max_header_bytes,
            max_body_bytes: s.max_body_bytes,
            head_timeout: s.header_timeout,
            body_timeout: BODY_WITHIN,
        }
    }

    /// Serves a client's connection.
    async fn converse(self: Rc<Self>, mut connection: Connection) {
        let mut ending = self.ending.subscribe();
        loop {
            let idle = || self.edge.state.borrow().active_config.client_limits.idle_timeout;
            if connection.wait_idle(idle, &mut ending).await == IdleOutcome::Close {
                // Dropped, not drained: a request that comes now must not be read, or its client can't repeat it.
                return;
            }
            let bounds = self.bounds();
            let (mut response, body) = match connection.read_request(&bounds, &self.room).await {
                Ok(whole) => match self.answer(whole, &mut connection).await {
                    Some(answer) => answer,
                    None => return,
                },
                Err(HttpError::ConnectionClosed) => return,
                Err(HttpError::Rejected(status, why)) => {
                    let (mut response, body) = http_server::text_response(status, why);
                    if status == StatusCode::SERVICE_UNAVAILABLE {
                        response.insert_header(("retry-after", NOT_YET.to_string()));
                    }
                    response.force_close();
                    (response, body)
                }
            };
            if ending.borrow().is_some() {
                response.force_close();
            }
            if !matches!(connection.respond(response, body).await, Ok(true)) {
                return;
            }
        }
    }

    /// The answer to a request; `None`: its client has left.
    async fn answer(
        self: &Rc<Self>,
        whole: ReceivedRequest,
        connection: &mut Connection,
    ) -> Option<(ResponseBuilder, Bytes)> {
        let ReceivedRequest { head, body, reservation: _held } = whole;
        let view = Arc::clone(&self.edge.state.borrow().active_config);
        let host = head.headers().get("host").and_then(|h| h.to_str().ok()).unwrap_or_default();
        if !self.edge.state.borrow().is_configured() {
            return Some(plain(FinalResponse::NotExecuted(NOT_YET)));
        }
        let Some(route) = view.match_route(host, head.path()).cloned() else {
            return Some(http_server::text_response(StatusCode::NOT_FOUND, "no route"));
        };
        let tenant = match view.requires_credentials && !route.allows_anonymous {
            false => None,
            true => {
                let mut keys = head.headers().get_all("api-key");
                let key = keys.next().and_then(|k| k.to_str().ok());
                match key.and_then(|key| view.tenant_by_credential(key)).filter(|_| keys.next().is_none()) {
                    Some(tenant) => Some(Arc::clone(tenant)),
                    None => return Some(http_server::text_response(StatusCode::UNAUTHORIZED, "unknown key")),
                }
            }
        };
        // With two, or an empty one, no answer could be told to be this request's.
        let mut ids = head.headers().get_all("x-attempt-id");
        let attempt_id = match (ids.next(), ids.next()) {
            (Some(id), None) if !id.as_bytes().trim_ascii().is_empty() => id.clone(),
            _ => return Some(http_server::text_response(StatusCode::BAD_REQUEST, "not one X-Attempt-Id")),
        };
        let left = head.headers().get("x-remaining-ms").and_then(|v| v.to_str().ok()?.trim().parse().ok());
        let left = left.and_then(|ms: f64| Duration::try_from_secs_f64(ms / 1e3).ok());
        let left = left.unwrap_or(LEFT_MOST).min(LEFT_MOST * 20);
        let mut headers: HeaderMap = head.headers().clone();
        // What its sender says concerns this connection only goes no further.
        let named: Vec<String> = headers
            .get_all("connection")
            .filter_map(|v| v.to_str().ok())
            .flat_map(|v| v.split(','))
            .map(|name| name.trim().to_ascii_lowercase())
            .collect();
        for name in OWN.into_iter().chain(named.iter().map(String::as_str)) {
            if !matches!(name, "host" | "x-attempt-id") {
                headers.remove(name);
            }
        }
        let now = self.edge.clock.now();
        let limits = self.edge.state.borrow().time_limits(now, &route, left.as_secs_f64());
        let forward = Rc::new(ForwardedRequest {
            method: head.method().clone(),
            uri: head.uri().clone(),
            headers,
            body,
            id: attempt_id,
            is_idempotent: route.is_idempotent,
            deadline: Instant::now() + Duration::from_secs_f64(limits.upstream_secs.max(0.0)),
        });
        let id = RequestId(self.next.get().to_string().into());
        self.next.set(self.next.get() + 1);
        let (reply, mut told) = oneshot::channel();
        let pending = Pending {
            forward,
            tenant: tenant.as_ref().map(|t| Arc::clone(&t.label)),
            reply: Some(reply),
            replies: HashMap::new(),
            called_off: HashMap::new(),
        };
        self.pending.borrow_mut().insert(id.clone(), pending);
        let arrival = IncomingRequest { id: id.clone(), route, tenant, remaining_secs: left.as_secs_f64() };
        self.with(|edge, now, out| edge.on_request(now, arrival, out));
        let told = tokio::select! {
            biased;
            told = &mut told => told.unwrap_or(Final::Plain(FinalResponse::UpstreamFailed)),
            () = connection.client_disconnected() => {
                if let Some(p) = self.pending.borrow_mut().get_mut(&id) {
                    p.reply = None;
                }
                self.with(|edge, now, out| edge.on_client_disconnect(now, &id, out));
                self.forget(&id);
                return None;
            }
        };
        self.forget(&id);
        Some(match told {
            Final::Reply(reply) => {
                let mut response = Response::build(reply.status);
                for (name, value) in reply.headers.iter() {
                    response.append_header((name.clone(), value.clone()));
                }
                (response, reply.body)
            }
            Final::Plain(answer) => plain(answer),
        })
    }
}

/// An answer that is not a worker's.
fn plain(answer: FinalResponse) -> (ResponseBuilder, Bytes) {
    let (status, after, text) = match answer {
        FinalResponse::RateLimited(after) => (StatusCode::TOO_MANY_REQUESTS, Some(after), "beyond the quota"),
        FinalResponse::NotExecuted(after) => {
            (StatusCode::SERVICE_UNAVAILABLE, Some(after), "not run: come back")
        }
        FinalResponse::TimedOut => (StatusCode::GATEWAY_TIMEOUT, None, "no answer in time"),
        FinalResponse::UpstreamFailed | FinalResponse::Upstream(_) => {
            (StatusCode::BAD_GATEWAY, None, "failed")
        }
    };
    let (mut response, body) = http_server::text_response(status, text);
    if let Some(after) = after {
        response.insert_header(("retry-after", format!("{:.3}", after.max(0.001))));
    }
    (response, body)
}

/// Answers the platform's question whether this gatekeeper is ready.
async fn readiness(server: Rc<EdgeServer>, listener: TcpListener) {
    let config = http_server::service_config();
    let bounds = RequestLimits {
        max_head_bytes: 8192,
        max_body_bytes: 1024,
        head_timeout: Duration::from_secs(2),
        body_timeout: Duration::from_secs(2),
    };
    loop {
        let stream = peer_link::accept_connection(&listener).await;
        let (server, mut connection) = (Rc::clone(&server), Connection::new(stream, &config));
        tokio::task::spawn_local(async move {
            let idle = Duration::from_secs(10);
            while let Ok(Ok(())) = tokio::time::timeout(idle, connection.wait_readable()).await {
                let Ok(_) = connection.read_request(&bounds, &server.room).await else { return };
                let ready = server.edge.state.borrow().is_ready(server.edge.clock.now());
                let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                let (response, body) = http_server::text_response(status, "");
                if !matches!(connection.respond(response, body).await, Ok(true)) {
                    return;
                }
            }
        });
    }
}

struct OpenConnection(Rc<EdgeServer>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

async fn front(server: Rc<EdgeServer>, listener: TcpListener) {
    let config = http_server::service_config();
    loop {
        let stream = peer_link::accept_connection(&listener).await;
        if server.open.get() >= server.descriptors / 2 {
            // Closed unread: its client may come again elsewhere.
            continue;
        }
        server.open.set(server.open.get() + 1);
        let open = OpenConnection(Rc::clone(&server));
        let connection = Connection::new(stream, &config);
        tokio::task::spawn_local(async move {
            Rc::clone(&open.0).converse(connection).await;
            drop(open);
        });
    }
}

/// Runs the edge role until it is asked to end.
pub async fn run(settings: Settings) -> Result<(), crate::runtime::RunError> {
    // Before anybody can connect: an unhandled signal would end the process with all of its connections.
    let mut signals = crate::runtime::SignalListener::new().map_err(crate::runtime::RunError::Signals)?;
    let front_at = settings
        .front_address
        .ok_or(crate::runtime::RunError::MissingSetting("network.endpoints.front_http"))?;
    let ready_at = settings
        .readiness_address
        .ok_or(crate::runtime::RunError::MissingSetting("network.endpoints.ready_port"))?;
    let since = std::time::SystemTime::UNIX_EPOCH;
    let life = since.elapsed().map_or(0, |d| d.as_nanos() as u64) ^ fastrand::u64(..);
    tracing::info!(node = settings.node, life, "edge role starts");
    let port = settings.internal_port;
    let descriptors = settings.max_descriptors.saturating_sub(300).max(64);
    let room = BodyBudget::new(settings.memory_bytes as usize / BODIES_PART);
    let hints = UdpSocket::bind((settings.ip, port)).await.map_err(crate::runtime::RunError::Listen)?;
    let server = Rc::new(EdgeServer {
        edge: EdgeLoop::new(EdgeNode::new(settings, life), crate::runtime::Clock::start()),
        links: PeerLinks::new(port),
        pending: RefCell::default(),
        courier: UpstreamPool::new(descriptors / 2),
        port,
        hints,
        next: Cell::new(1),
        ending: watch::Sender::new(None),
        open: Cell::new(0),
        descriptors,
        room,
    });
    let ready = TcpListener::bind(ready_at).await.map_err(crate::runtime::RunError::Listen)?;
    let clients = TcpListener::bind(front_at).await.map_err(crate::runtime::RunError::Listen)?;
    server.with(|edge, _, out| edge.start(out));
    tokio::task::spawn_local(readiness(Rc::clone(&server), ready));
    tokio::task::spawn_local(front(Rc::clone(&server), clients));
    let hearing = Rc::clone(&server);
    tokio::task::spawn_local(async move {
        let mut bytes = vec![0; 65536];
        loop {
            match hearing.hints.recv_from(&mut bytes).await {
                Ok((length, from)) => {
                    if let Ok(load) = rmp_serde::from_slice(&bytes[..length]) {
                        hearing.handle(Event::PeerLoad(from.ip(), load));
                    }
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    });
    let ticking = Rc::clone(&server);
    tokio::task::spawn_local(async move {
        let mut looked = Instant::now();
        loop {
            ticking.handle(Event::Tick);
            if looked.elapsed() >= IDLE_SWEEP_INTERVAL {
                looked = Instant::now();
                ticking.courier.sweep_idle();
            }
            ticking.edge.due().await;
        }
    });
    while let crate::runtime::ProcessSignal::Reload(settings) = signals.next().await {
        server.with(|edge, _, out| edge.update_settings(*settings, out));
    }
    drain::drain(&server).await;
    Ok(())
}
