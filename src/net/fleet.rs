//! Transport of replication among the gatekeepers of a fleet, and of the division of ceilings.
//!
//! Owns the local [`Replica`] and [`Membership`], and connects them with sockets: datagrams carry the membership
//! protocol, a listener serves the other gatekeepers, and gossip rounds exchange rows with a few random members over
//! HTTP/1.1, with bodies in postcard.
//!
//! `POST /fleet/v2/exchange`: the request carries the digest of the requester's replica and the rows that it wrote
//! itself; the response carries the responder's digest and the rows that the requester lacks. Status 409, with a
//! one-line reason: the message belongs to another fleet or protocol version, or its sender uses the name of another
//! running process. `POST /fleet/v2/budget`: a grant request to the leader that divides ceilings ([`super::budgets`]).
//!
//! Invariants:
//! - the core is never blocked: it is reached only through its queue;
//! - messages of another fleet or protocol version change nothing;
//! - connections, message sizes and the rate of sent rows are bounded, whatever a peer does.

use super::budgets::{Budgets, BUDGET_PATH};
use super::core::CoreMessage;
use super::outcome::ExchangeOutcome;
use super::upstream::{ExchangeOptions, Peer, Request, UpstreamClient, MAX_BODY_BYTES};
use super::CoreSender;
use actix_http::header::{HeaderName, HeaderValue, CONNECTION};
use actix_http::uri::PathAndQuery;
use actix_http::{HttpService, Method, Response, StatusCode};
use actix_service::{fn_service, Service, ServiceFactory};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::oneshot;
use whinstall::fleet::membership::{Member, MemberState, Membership, MembershipEvent, SwimTimings};
use whinstall::fleet::replica::{Delta, Digest, Key, Origin, Replica, ReplicaLimits, RowValue};
use whinstall::fleet::token_bucket::TokenBucket;
use whinstall::fleet::wire::{self, Message};
use whinstall::fleet::FleetSettings;
use whinstall::{LocalState, RemoteState};

const EXCHANGE_PATH: &str = "/fleet/v2/exchange";
/// Header with the name of the requesting gatekeeper, for link tracing; the responder does not read it.
const FROM_HEADER: HeaderName = HeaderName::from_static("fleet-from");
/// Timeout of an exchange, in gossip rounds.
const EXCHANGE_TIMEOUT_ROUNDS: f64 = 5.0;
/// Lower bound of the timeouts of an exchange and of a connect, for short gossip rounds.
const MIN_EXCHANGE_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of inbound connections from other gatekeepers, and of outbound ones to them.
const MAX_CONNECTIONS: usize = 24;
/// Descriptors reserved for the fleet: the two sockets, and the connections in both directions.
pub const RESERVED_DESCRIPTORS: usize = 2 + 2 * MAX_CONNECTIONS;
/// Idle outbound connections are closed after this: in a large fleet the next exchange is with another member.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// In a fleet with more live members than this, connections to the leader are closed after each request: the leader
/// accepts [`MAX_CONNECTIONS`], and every member sends requests to it.
const MAX_MEMBERS_FOR_KEEP_ALIVE: usize = 16;
/// Maximum age of an inbound connection.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(30);
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Pause after a failed receive of a datagram.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Attempts to find a port that is free for TCP and UDP, if the port is up to the system.
const MAX_PORT_ATTEMPTS: u32 = 16;
/// Size of the receive buffer for datagrams.
const DATAGRAM_BUFFER_BYTES: usize = 2048;
/// Maximum number of rows in a message, so that it stays within [`MAX_BODY_BYTES`].
const MAX_ROWS_PER_MESSAGE: usize = 1200;
/// Number of heartbeats within the lag up to which a replica counts as fresh.
const HEARTBEATS_PER_MAX_LAG: f64 = 4.0;
/// Interval in seconds at which the health of a node is recorded again if only the age of its evidence changed.
const HEALTH_REFRESH_SECS: f64 = 3.0;
/// Interval in seconds at which expired rows are removed.
const SWEEP_INTERVAL_SECS: f64 = 0.5;
/// Interval at which rejections for the same reason are logged.
const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of different reasons that are logged within that interval.
const MAX_REJECTION_REASONS: usize = 64;
/// Maximum number of members whose lag is logged.
const MAX_LOGGED_LAGS: usize = 64;
/// Number of members that a stopping process sends its last rows to.
const LEAVE_PEERS: usize = 4;
/// Timeout of each step of leaving the fleet.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(250);

/// Version of this gatekeeper's rows up to which a member has acknowledged all of them.
#[derive(Clone, Copy)]
struct AcknowledgedVersion {
    /// Incarnation of the member that acknowledged; another one starts without rows.
    incarnation: u64,
    version: u64,
}

/// This gatekeeper's membership in its fleet.
pub struct Fleet {
    settings: FleetSettings,
    /// Configured number of gatekeepers in the fleet.
    fleet_size: u32,
    me: Origin,
    /// Start of this process, in Unix seconds.
    started_at: f64,
    replica: RefCell<Replica>,
    members: RefCell<Membership>,
    /// Present if ceilings are divided by demand.
    budgets: Option<Budgets>,
    socket: UdpSocket,
    acknowledged: RefCell<HashMap<SocketAddr, AcknowledgedVersion>>,
    /// Members whose last exchange succeeded.
    answering: RefCell<BTreeSet<SocketAddr>>,
    /// Members with an exchange in flight; there is at most one per member.
    in_exchange: RefCell<BTreeSet<SocketAddr>>,
    /// Members that were declared down and are not logged yet, with the time of the event.
    pending_down: RefCell<Vec<(Instant, Member)>>,
    send_limit: RefCell<TokenBucket>,
    /// Counts responses; rotates the origin whose rows come first when a response cannot hold all.
    response_count: Cell<usize>,
    swept_at: Cell<f64>,
    /// When each reason of a rejection was last logged.
    logged_rejections: RefCell<HashMap<String, Instant>>,
    client: UpstreamClient,
    core: CoreSender,
    inbound_connections: Cell<usize>,
    clock: super::core::Clock,
    rng: RefCell<fastrand::Rng>,
}

/// Opens the TCP listener and the UDP socket of a fleet member, both on the same port.
///
/// # Errors
/// The address cannot be bound. With port 0, further ports are tried if a port is free for TCP only.
pub async fn open(address: SocketAddr) -> std::io::Result<(TcpListener, UdpSocket)> {
    let mut attempts = 0;
    loop {
        let listener = TcpListener::bind(address).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            // The system selected a TCP port that is taken for UDP.
            Err(_) if address.port() == 0 && attempts < MAX_PORT_ATTEMPTS => attempts += 1,
            Err(error) => return Err(error),
        }
    }
}

impl Fleet {
    /// Membership of the gatekeeper `name` in a fleet of `fleet_size`; the present time becomes its incarnation.
    /// `local_address` is the address of `socket`, which is advertised unless the settings name another one.
    pub fn new(
        settings: FleetSettings,
        (name, fleet_size): (&str, u32),
        seed: u64,
        clock: super::core::Clock,
        (socket, local_address): (UdpSocket, SocketAddr),
        core: CoreSender,
    ) -> Rc<Self> {
        let start_time = clock.now();
        let me = Origin { name: Arc::from(name), incarnation: start_time.as_micros() as u64 };
        let (started_at, incarnation) = (start_time.as_secs_f64(), me.incarnation);
        let member = Member {
            name: Arc::clone(&me.name),
            incarnation,
            rejoin_count: 0,
            address: settings.advertise.unwrap_or(local_address),
        };
        let timings = SwimTimings {
            probe_interval_secs: settings.probe_interval_secs,
            suspicion_timeout_secs: settings.suspicion_timeout_secs,
            forget_after_secs: settings.forget_after_secs,
        };
        let (cluster, seeds) = (&settings.cluster, settings.seeds.clone());
        let members = Membership::new(started_at, cluster, member, seeds, timings, seed ^ incarnation);
        let connect_timeout =
            Duration::from_secs_f64(settings.gossip_interval_secs).max(MIN_EXCHANGE_TIMEOUT);
        let limits = ReplicaLimits {
            max_lag_secs: settings.max_lag_secs,
            forget_after_secs: settings.forget_after_secs,
            ..ReplicaLimits::default()
        };
        Rc::new(Fleet {
            replica: RefCell::new(Replica::new(me.clone(), limits)),
            budgets: settings.budgets.as_ref().map(|b| Budgets::new(b, &me, clock.now(), fleet_size)),
            members: RefCell::new(members),
            socket,
            client: UpstreamClient::new(connect_timeout, IDLE_TIMEOUT, MAX_CONNECTIONS),
            send_limit: RefCell::new(TokenBucket::new(started_at, settings.bytes_per_sec)),
            me,
            fleet_size,
            started_at,
            settings,
            acknowledged: RefCell::default(),
            answering: RefCell::default(),
            in_exchange: RefCell::default(),
            pending_down: RefCell::default(),
            response_count: Cell::new(seed as usize % 1024),
            swept_at: Cell::new(started_at),
            logged_rejections: RefCell::default(),
            core,
            inbound_connections: Cell::new(0),
            clock,
            rng: RefCell::new(fastrand::Rng::with_seed(seed ^ 0x5eed)),
        })
    }

    /// The present time in Unix seconds.
    fn now(&self) -> f64 {
        self.clock.now().as_secs_f64()
    }

    /// Encodes a message with these deltas and the digest of the local replica.
    fn encode_message(&self, deltas: Vec<Delta>) -> Bytes {
        let from = self.members.borrow().local_member().clone();
        let message = Message { from, digest: self.replica.borrow().digest(), deltas };
        message.encode(&self.settings.cluster).into()
    }

    /// Decodes a message of another gatekeeper of this fleet. The error is the reason for its rejection.
    fn decode_message(&self, body: &[u8]) -> Result<Message, String> {
        let message = Message::decode(body, &self.settings.cluster)?;
        if message.from.name == self.me.name && message.from.incarnation != self.me.incarnation {
            return Err(format!(
                "gatekeeper name {:?} is already used by another running process",
                message.from.name
            ));
        }
        Ok(message)
    }

    /// Merges a message into the local replica. Returns the digest of its sender.
    fn merge(&self, message: Message) -> Digest {
        let (now, mut replica) = (self.now(), self.replica.borrow_mut());
        replica.observe_digest(&message.digest);
        for delta in message.deltas {
            replica.merge(now, delta);
        }
        message.digest
    }

    /// Logs the rejection of a message, each reason at most once per [`REJECTION_LOG_INTERVAL`].
    fn log_rejection(&self, reason: &str) {
        let mut logged = self.logged_rejections.borrow_mut();
        logged.retain(|_, at| at.elapsed() < REJECTION_LOG_INTERVAL);
        if !logged.contains_key(reason) && logged.len() < MAX_REJECTION_REASONS {
            logged.insert(reason.to_owned(), Instant::now());
            tracing::warn!(reason, "fleet: message rejected");
        }
    }

    /// Sends the pending datagrams of the membership protocol and handles its events.
    fn flush_membership(&self) {
        let (outbound, events) = {
            let mut members = self.members.borrow_mut();
            (members.take_outbound(), members.take_events())
        };
        for (to, datagram) in outbound {
            // The protocol tolerates lost datagrams, so a failed send is not retried.
            let _ = self.socket.try_send_to(&datagram, to);
        }
        for event in events {
            let live_members = self.members.borrow().live_members().len();
            match event {
                MembershipEvent::Up(m) => {
                    tracing::info!(member = &*m.name, address = %m.address, live_members, "fleet: member joined")
                }
                MembershipEvent::Down(m) => {
                    self.acknowledged.borrow_mut().remove(&m.address);
                    self.answering.borrow_mut().remove(&m.address);
                    // Logged later: the row that says that the member has left may arrive after this event.
                    self.pending_down.borrow_mut().push((Instant::now(), m));
                }
                MembershipEvent::Rejoined => {
                    tracing::warn!(
                        live_members,
                        "fleet: declared down by other members while running, rejoined"
                    )
                }
            }
        }
    }

    /// Logs members that were declared down an exchange timeout ago: as left if they announced it, else as down.
    fn log_pending_down(&self) {
        let (delay, live_members) = (self.exchange_timeout(), self.members.borrow().live_members().len());
        self.pending_down.borrow_mut().retain(|(since, m)| {
            let is_due = since.elapsed() >= delay;
            if is_due {
                match self.replica.borrow().has_left(&m.origin()) {
                    true => {
                        tracing::info!(member = &*m.name, address = %m.address, live_members, "fleet: member left by a regular shutdown")
                    }
                    false => {
                        tracing::warn!(member = &*m.name, address = %m.address, live_members, "fleet: member down without a regular shutdown")
                    }
                }
            }
            !is_due
        });
    }

    /// Runs the membership protocol for as long as the program runs.
    pub async fn run_membership(self: Rc<Self>) {
        let mut buffer = [0; DATAGRAM_BUFFER_BYTES];
        loop {
            self.members.borrow_mut().run_due_timers(self.now());
            self.flush_membership();
            let wait = Duration::from_secs_f64(
                (self.members.borrow().next_timer_at() - self.now()).clamp(0.001, 1.0),
            );
            let Ok(received) = tokio::time::timeout(wait, self.socket.recv_from(&mut buffer)).await else {
                continue;
            };
            match received {
                Ok((count, _)) => {
                    let handled = self.members.borrow_mut().handle_datagram(self.now(), &buffer[..count]);
                    if let Err(reason) = handled {
                        self.log_rejection(&reason);
                    }
                }
                // Usually an ICMP error for an earlier datagram to a port on which nothing listens.
                Err(_) => tokio::time::sleep(RECEIVE_RETRY_DELAY).await,
            }
        }
    }

    /// Serves the other gatekeepers for as long as the program runs. Connections above [`MAX_CONNECTIONS`] are closed
    /// at once.
    pub async fn run_listener(self: Rc<Self>, listener: TcpListener) {
        let respond = {
            let fleet = Rc::clone(&self);
            move |request: actix_http::Request| {
                let fleet = Rc::clone(&fleet);
                async move { Ok::<_, Infallible>(fleet.respond(request).await) }
            }
        };
        let factory = HttpService::<TcpStream, _, _>::build().h1(fn_service(respond)).tcp();
        let Ok(service) = factory.new_service(()).await else { return };
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) if self.inbound_connections.get() < MAX_CONNECTIONS => stream,
                Ok(_) => continue,
                Err(error) => {
                    tracing::warn!(%error, "fleet: connection of another gatekeeper not accepted");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let _ = stream.set_nodelay(true);
            self.inbound_connections.set(self.inbound_connections.get() + 1);
            let (connection, fleet) = (service.call(stream), Rc::clone(&self));
            actix_rt::spawn(async move {
                let _ = tokio::time::timeout(MAX_CONNECTION_AGE, connection).await;
                fleet.inbound_connections.set(fleet.inbound_connections.get() - 1);
            });
        }
    }

    /// Responds to a request of another gatekeeper.
    async fn respond(&self, mut request: actix_http::Request) -> Response<Bytes> {
        let text = |status, text: String| Response::with_body(status, Bytes::from(text));
        let is_budget = request.path() == BUDGET_PATH && self.budgets.is_some();
        if !(is_budget || request.path() == EXCHANGE_PATH) || *request.method() != Method::POST {
            let paths = match self.budgets {
                Some(_) => format!("{EXCHANGE_PATH} and {BUDGET_PATH}"),
                None => EXCHANGE_PATH.to_owned(),
            };
            return text(StatusCode::NOT_FOUND, format!("not found: only POST to {paths} is served"));
        }
        let (mut payload, mut body) = (request.take_payload(), BytesMut::new());
        while let Some(Ok(chunk)) = payload.next().await {
            if body.len() + chunk.len() > MAX_BODY_BYTES {
                let reason = format!("message exceeds {MAX_BODY_BYTES} bytes");
                return text(StatusCode::PAYLOAD_TOO_LARGE, reason);
            }
            body.extend_from_slice(&chunk);
        }
        if let Some(budgets) = self.budgets.as_ref().filter(|_| is_budget) {
            return match wire::decode(&body, &self.settings.cluster) {
                Ok(request) => {
                    let response = budgets.handle_request(self.clock.now(), &request);
                    Response::with_body(
                        StatusCode::OK,
                        wire::encode(&response, &self.settings.cluster).into(),
                    )
                }
                Err(reason) => {
                    self.log_rejection(&reason);
                    text(StatusCode::CONFLICT, reason)
                }
            };
        }
        match self.decode_message(&body) {
            Ok(message) => {
                let digest = self.merge(message);
                Response::with_body(StatusCode::OK, self.missing_rows(&digest))
            }
            Err(reason) => {
                self.log_rejection(&reason);
                text(StatusCode::CONFLICT, reason)
            }
        }
    }

    /// A message with the rows that a replica with this digest lacks, within the send limit.
    fn missing_rows(&self, digest: &Digest) -> Bytes {
        let (now, mut send_limit) = (self.now(), self.send_limit.borrow_mut());
        let max_rows = send_limit.available_rows(now, MAX_ROWS_PER_MESSAGE);
        self.response_count.set(self.response_count.get().wrapping_add(1));
        let (deltas, _) = self.replica.borrow().deltas_for(now, digest, max_rows, self.response_count.get());
        let rows = deltas.iter().map(|delta| delta.rows.len()).sum();
        let message = self.encode_message(deltas);
        send_limit.charge(rows, message.len());
        message
    }

    /// Exchanges rows with a member: sends the rows written here and receives those that are missing here. Does
    /// nothing while an earlier exchange with the member is in flight.
    async fn exchange_with(self: Rc<Self>, member: Member, timeout: Duration) {
        let address = member.address;
        if !self.in_exchange.borrow_mut().insert(address) {
            return;
        }
        let peer = Peer { name: address.to_string().into(), address };
        let acknowledged = self
            .acknowledged
            .borrow()
            .get(&address)
            .filter(|acknowledged| acknowledged.incarnation == member.incarnation)
            .map_or(0, |acknowledged| acknowledged.version);
        let mut request = self.request(EXCHANGE_PATH);
        let own = self.replica.borrow().own_delta_after(self.now(), acknowledged);
        request.body = self.encode_message(own.into_iter().collect());
        let response = self.send(&peer, request, timeout).await.and_then(|body| self.decode_message(&body));
        self.in_exchange.borrow_mut().remove(&address);
        let answered = match response {
            Ok(message) => {
                let incarnation = message.from.incarnation;
                let version = self.merge(message).get(&self.me).copied().unwrap_or(0);
                let acknowledged = AcknowledgedVersion { incarnation, version };
                self.acknowledged.borrow_mut().insert(address, acknowledged);
                true
            }
            Err(reason) => {
                self.acknowledged.borrow_mut().remove(&address);
                if self.answering.borrow().contains(&address) {
                    tracing::warn!(member = &*member.name, %address, reason, "fleet: exchange with member failed");
                }
                false
            }
        };
        let mut answering = self.answering.borrow_mut();
        let was_answering = if answered { !answering.insert(address) } else { answering.remove(&address) };
        if answered && !was_answering {
            tracing::info!(member = &*member.name, %address, answering = answering.len(), "fleet: exchanges with member succeed");
        }
    }

    /// A request to another gatekeeper, without a body.
    fn request(&self, path: &'static str) -> Request {
        let mut request = Request::plain(Method::POST, PathAndQuery::from_static(path));
        if let Ok(name) = HeaderValue::from_str(&self.me.name) {
            request.headers.push((FROM_HEADER, name));
        }
        request
    }

    /// Sends a request and returns the body of the response. The error is the reason why there is none.
    async fn send(&self, peer: &Peer, request: Request, timeout: Duration) -> Result<Bytes, String> {
        let options = ExchangeOptions::timeout(timeout);
        match self.client.exchange(peer, request, options, std::future::pending()).await {
            (ExchangeOutcome::Answered, Some(response)) => Ok(response.body),
            (_, Some(response)) => {
                Err(format!("rejected by the member: {}", String::from_utf8_lossy(&response.body)))
            }
            (outcome, None) => Err(format!("no response: {outcome:?}")),
        }
    }

    /// The member that grant requests are sent to: the live member with the least name. Members may differ in their
    /// view of it; that a share is granted by one leader at a time is ensured by the allocator.
    fn leader_candidate(&self) -> Member {
        let members = self.members.borrow();
        let others = members.live_members().into_iter().filter(|m| m.name != self.me.name);
        others
            .chain([members.local_member().clone()])
            .min_by(|a, b| a.name.cmp(&b.name))
            .unwrap_or_else(|| members.local_member().clone())
    }

    /// Requests shares of ceilings from the leader for as long as the program runs. Returns at once if ceilings are
    /// not divided by demand.
    pub async fn run_budget_requests(self: Rc<Self>) {
        let Some(budgets) = &self.budgets else { return };
        let _ = self.core.send(CoreMessage::DivideCeilings(budgets.floor()));
        loop {
            let jitter = 0.8 + 0.2 * self.rng.borrow_mut().f64();
            tokio::time::sleep(budgets.request_interval().mul_f64(jitter)).await;
            self.request_shares(budgets).await;
        }
    }

    /// Sends one grant request and passes the shares in its response to the core.
    async fn request_shares(&self, budgets: &Budgets) {
        let leader = self.leader_candidate();
        let grant_request = budgets.next_request(self.clock.now(), &leader);
        let response = if leader.name == self.me.name {
            Some(budgets.handle_request(self.clock.now(), &grant_request))
        } else {
            let peer = Peer { name: leader.address.to_string().into(), address: leader.address };
            let mut request = self.request(BUDGET_PATH);
            if self.members.borrow().live_members().len() > MAX_MEMBERS_FOR_KEEP_ALIVE {
                request.headers.push((CONNECTION, HeaderValue::from_static("close")));
            }
            request.body = wire::encode(&grant_request, &self.settings.cluster).into();
            let body = self.send(&peer, request, budgets.request_interval()).await;
            body.and_then(|body| wire::decode(&body, &self.settings.cluster)).ok()
        };
        let shares = response.and_then(|response| budgets.handle_response(self.clock.now(), &response));
        if let Some(shares) = shares {
            let _ = self.core.send(CoreMessage::AssignedCeilings(shares));
        }
    }

    fn exchange_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.settings.gossip_interval_secs * EXCHANGE_TIMEOUT_ROUNDS)
            .max(MIN_EXCHANGE_TIMEOUT)
    }

    /// At most `count` live members other than this one, at random.
    fn random_members(&self, count: usize) -> Vec<Member> {
        let mut members = self.members.borrow().live_members();
        members.retain(|m| m.name != self.me.name);
        self.rng.borrow_mut().shuffle(&mut members);
        members.truncate(count);
        members
    }

    /// Records the state of the core in the local replica, and passes the state of the other gatekeepers to the core.
    fn exchange_with_core(&self, now: f64, local: LocalState) {
        if let Some(budgets) = &self.budgets {
            budgets.set_demands(&local.ceiling_demand);
        }
        let mut replica = self.replica.borrow_mut();
        let retention_secs = ReplicaLimits::default().retention_secs;
        let uptime = now - self.started_at;
        let heartbeat_interval = self.settings.max_lag_secs / HEARTBEATS_PER_MAX_LAG;
        if uptime >= replica.last_heartbeat().map_or(0.0, |last| last + heartbeat_interval) {
            replica.record(now, Key::Heartbeat, RowValue::Heartbeat(uptime), retention_secs);
        }
        for usage in local.usage {
            let value = RowValue::Usage { units: usage.units, acknowledged: usage.acknowledged_units };
            replica.record(now, Key::Usage(usage.customer, usage.window), value, usage.expires_at - now);
        }
        for (node, health) in local.host_health {
            replica.record_health(now, node, health, HEALTH_REFRESH_SECS);
        }
        if now - self.swept_at.get() > SWEEP_INTERVAL_SECS {
            self.swept_at.set(now);
            let live = self.members.borrow().live_members().into_iter().map(|m| m.name).collect();
            replica.sweep(now, &live);
        }
        let observed = replica.remotely_observed_nodes();
        let unobserved_here = local.unobserved_hosts.into_iter().filter(|(node, _)| observed.contains(node));
        let host_health = unobserved_here.filter_map(|(node, started_at)| {
            let (health, age) = replica.remote_health(now, &node, started_at)?;
            Some((node, health, age))
        });
        let host_health = host_health.collect();
        let fresh_fraction = replica.fresh_fraction(now, self.fleet_size);
        let remote = RemoteState { usage: replica.take_changed_usage(), host_health, fresh_fraction };
        let _ = self.core.send(CoreMessage::ReplicatedState(Box::new(remote)));
    }

    /// Reads the state of the core and exchanges it with the replica. Returns `false` if the core has ended.
    async fn sync_with_core(&self) -> bool {
        let (sender, local) = oneshot::channel();
        let _ = self.core.send(CoreMessage::ReadLocalState(sender));
        let Ok(local) = local.await else { return false };
        self.exchange_with_core(self.now(), local);
        true
    }

    /// Runs gossip rounds until the core has ended: each one exchanges state with the core, and rows with a few
    /// members.
    pub async fn run_gossip(self: Rc<Self>) {
        let (mut logged_at, round) = (Instant::now(), self.settings.gossip_interval_secs);
        loop {
            let jitter = 0.8 + 0.4 * self.rng.borrow_mut().f64();
            tokio::time::sleep(Duration::from_secs_f64(round * jitter)).await;
            if !self.sync_with_core().await {
                return;
            }
            self.log_pending_down();
            // Exchanges of a round are spread over it: concurrent ones would both transfer the same rows.
            let spacing = Duration::from_secs_f64(round / f64::from(self.settings.fanout));
            for (nth, member) in (0u32..).zip(self.random_members(self.settings.fanout as usize)) {
                if self.in_exchange.borrow().len() < MAX_CONNECTIONS {
                    let fleet = Rc::clone(&self);
                    actix_rt::spawn(async move {
                        tokio::time::sleep(spacing * nth).await;
                        let timeout = fleet.exchange_timeout();
                        fleet.exchange_with(member, timeout).await;
                    });
                }
            }
            if logged_at.elapsed().as_secs_f64() > self.settings.log_interval_secs {
                logged_at = Instant::now();
                self.log_state(self.now());
            }
        }
    }

    /// Logs the state of replication and of divided ceilings; `whinstall report` reads these lines.
    fn log_state(&self, now: f64) {
        if let Some(budgets) = &self.budgets {
            budgets.log_state(self.clock.now());
        }
        let replica = self.replica.borrow();
        let states: BTreeMap<_, _> =
            self.members.borrow().member_states().into_iter().map(|(m, s)| (m.name, s)).collect();
        let count = |state| states.values().filter(|s| **s == state).count();
        let others = || replica.lags(now).filter(|lag| *lag.origin != self.me);
        // Only the latest incarnation of each member can still catch up: rows of earlier ones that no replica holds
        // are lost.
        let latest: BTreeMap<_, _> = others().map(|lag| (Arc::clone(&lag.origin.name), lag)).collect();
        let live = || latest.values().filter(|lag| states.get(&lag.origin.name) != Some(&MemberState::Down));
        let worst = live().max_by(|a, b| a.seconds.total_cmp(&b.seconds));
        let (stats, (rows, sum)) = (replica.merge_stats(), replica.usage_checksum());
        let (oldest, oldest_s) = worst.map_or(("", 0.0), |lag| (&*lag.origin.name, lag.seconds));
        let lags: Vec<String> = latest
            .iter()
            .take(MAX_LOGGED_LAGS)
            .map(|(name, lag)| match (lag.has_left, lag.seconds.is_finite()) {
                (true, _) => format!("{name}:left"),
                (_, true) => format!("{name}:{:.2}/{}", lag.seconds, lag.missing_versions),
                _ => format!("{name}:?/{}", lag.missing_versions),
            })
            .collect();
        tracing::info!(
            alive = count(MemberState::Alive),
            suspected = count(MemberState::Suspected),
            down = count(MemberState::Down),
            answering = self.answering.borrow().len(),
            fresh = format!("{:.2}", replica.fresh_fraction(now, self.fleet_size)),
            origins = replica.lags(now).count(),
            rows,
            sum = format!("{sum:016x}"),
            judged = replica.remotely_observed_nodes().len(),
            taken = stats.applied,
            known = stats.already_known,
            refused = stats.rejected,
            missing = live().map(|lag| lag.missing_versions).sum::<u64>(),
            oldest,
            oldest_s = format!("{oldest_s:.2}"),
            lag = lags.join(","),
            "fleet: copies"
        );
    }

    /// Leaves the fleet at a regular shutdown: sends the last rows, and the row that announces the departure, to a few
    /// members, which spread them. Each step is bounded by [`LEAVE_TIMEOUT`].
    pub async fn leave(self: Rc<Self>) {
        let _ = tokio::time::timeout(LEAVE_TIMEOUT, self.sync_with_core()).await;
        self.replica.borrow_mut().record(
            self.now(),
            Key::Left,
            RowValue::Left,
            ReplicaLimits::default().retention_secs,
        );
        let peers = self.random_members(LEAVE_PEERS).into_iter();
        let exchanges = peers.map(|member| Rc::clone(&self).exchange_with(member, LEAVE_TIMEOUT));
        futures_util::future::join_all(exchanges).await;
        if let Some(budgets) = &self.budgets {
            budgets.leave();
            let _ = tokio::time::timeout(LEAVE_TIMEOUT, self.request_shares(budgets)).await;
        }
        self.members.borrow_mut().leave(self.now());
        self.flush_membership();
    }
}
