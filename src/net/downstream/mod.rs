//! Owns the clients' side: takes connections, reads requests into sessions and writes the one answer to each, on
//! actix-http's own codec. It must never decide on a session, hold an answer back, let a request that is not as
//! it should be reach the core, or end a connection that a taken request is on.

use super::core::{Answer, Input, NewSession};
use super::endpoints::ServerTable;
use super::upstream::BODY_MOST;
use super::{Inputs, Platform};
use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::{HeaderValue, CONTENT_LENGTH};
use actix_http::uri::PathAndQuery;
use actix_http::{HttpMessage, StatusCode};
use actix_http::{
    KeepAlive, Method, Request, Response, ResponseBuilder, ServiceConfig, ServiceConfigBuilder,
};
use bytes::{Bytes, BytesMut};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Notify};
use tokio::time::{sleep_until, timeout};
use whinstall::{CustomerId, Idempotency, RequestId, Settings};

/// `Request-Timeout` runs from the client's send: this much of it has passed when a request is read, and the
/// answer must be back before the rest has.
const ON_THE_WAY: Duration = Duration::from_millis(5);
/// Nobody waits longer.
const TIMEOUT_MOST: Duration = Duration::from_secs(3600);
/// A connection with no request open on it is closed after this.
const IDLE: Duration = Duration::from_secs(2);
/// From its first byte on a head is whole within this: clients may spend 2 s on it, and the network some more.
const HEAD_WITHIN: Duration = Duration::from_millis(2500);
/// A body comes at this many bytes a second at least, half of the slowest client's pace...
const BODY_PACE: f64 = 32.0 * 1024.0;
/// ...after a first wait of this.
const BODY_BEGINS: Duration = Duration::from_secs(1);
/// Clients send their first request on a connection within this, even over a slow network.
const JUST_COME: Duration = Duration::from_millis(250);
/// The longest head.
const HEAD_MOST: usize = 16 * 1024;
/// A client takes an answer within this.
const TAKEN_WITHIN: Duration = Duration::from_secs(10);
/// After an error nothing more is heard on its connection, but for so long and so much it is read and dropped: a
/// connection closed over unread bytes is reset, which can cost its client the answer.
const LINGER: Duration = Duration::from_millis(200);
const LINGER_MOST: usize = 4 * BODY_MOST;
/// Customers' numbers are below this.
const CUSTOMERS: u64 = 1 << 33;
/// Requests of a class that went may be on their way for so long.
const PASSING: Duration = Duration::from_secs(3);
/// On standby a connection that said nothing for so long is closed: those in use have their answers close them.
const QUIET: Duration = Duration::from_millis(1000);
/// Where none of its connections can be closed, so many beyond the budget are taken, to be denied.
const CROWD: usize = 8;
/// What was closed for want of room is told this often at most.
const TELL_EVERY: Duration = Duration::from_secs(10);

/// What dispatches pass on of a request, unchanged.
pub struct Forward {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: PathAndQuery,
    /// Its `Request-Id`.
    pub id: HeaderValue,
    /// Its body.
    pub body: Bytes,
}

/// What a request may say, by the settings. What says anything else is turned back before the core hears of it:
/// nothing is to be learnt from it, all the less in another customer's name.
pub struct Terms {
    /// Classes, and whether their requests may be repeated.
    classes: HashMap<String, bool>,
    /// Those that are no longer in force, taken until then.
    passing: Option<(HashMap<String, bool>, Instant)>,
    plans: Vec<String>,
    units_top: f64,
    replicas: u32,
}

impl Terms {
    /// The terms of these settings.
    pub fn of(s: &Settings) -> Self {
        let classes = s.classes.iter().map(|c| (c.name.clone(), c.idempotency == Idempotency::Repeatable));
        let plans = s.plans.iter().map(|p| p.name.clone()).collect();
        Terms {
            classes: classes.collect(),
            passing: None,
            plans,
            units_top: s.units_top,
            replicas: s.replicas,
        }
    }

    /// May requests of this class be repeated? `None`: there is no such class.
    fn repeatable(&self, class: &str) -> Option<bool> {
        let passing = self.passing.as_ref().filter(|(_, until)| Instant::now() < *until);
        self.classes.get(class).or_else(|| passing?.0.get(class)).copied()
    }

    /// Units and spread of an `X-Metering` header.
    fn metering(&self, text: &str) -> Option<(f64, u32)> {
        let field = |name: &str| {
            let mut pairs = text.split(',').filter_map(|pair| pair.trim().split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let units = field("units")?.parse::<f64>().ok().filter(|u| *u > 0.0 && *u <= self.units_top)?;
        let spread = field("spread")?.parse().ok().filter(|n| (1..=self.replicas).contains(n))?;
        field("first")?.parse::<u32>().ok().filter(|n| *n < self.replicas)?;
        Some((units, spread))
    }
}

/// How this gatekeeper stands towards its clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stance {
    /// It takes them.
    Open,
    /// Told to be without clients: `/ready` says no, what comes is served, answers close their connections, and
    /// quiet ones are closed.
    Standby(Instant),
    /// SIGTERM: the same, but quiet connections stay, as their clients may have nowhere else to go yet.
    Draining,
    /// Another process accepts at its address: quiet connections are closed at once, and nothing is accepted.
    HandedOn(Instant),
}

/// What all connections share.
pub struct Frontend {
    queue: Inputs,
    table: Rc<ServerTable>,
    terms: RefCell<Rc<Terms>>,
    most: Cell<usize>,
    max_retry_after: Cell<Duration>,
    config: ServiceConfig,
    connections: RefCell<HashMap<u64, Rc<Connection>>>,
    /// Connections taken so far.
    taken: Cell<u64>,
    freed: Notify,
    stance: watch::Sender<Stance>,
    busy: Cell<usize>,
    /// Connections closed for want of room that are not told of yet, and when that was last told.
    unseated: Cell<(usize, Option<Instant>)>,
}

/// One open connection.
struct Connection {
    /// Has any request on it been answered?
    asked: Cell<bool>,
    /// Is a request on it that was taken and whose answer is not written out?
    busy: Cell<bool>,
    /// Has a part of a request come on it, and no answer to it?
    begun: Cell<bool>,
    /// Since when it has been without one.
    since: Cell<Instant>,
    /// Its place is needed.
    unseat: Notify,
}

/// A connection's place among all; when it ends, so does what it was counted for.
struct Seat {
    frontend: Rc<Frontend>,
    number: u64,
    connection: Rc<Connection>,
}

impl Seat {
    fn set_busy(&self, busy: bool) {
        let (count, connection) = (&self.frontend.busy, &self.connection);
        count.set(count.get() + usize::from(busy) - usize::from(connection.busy.replace(busy)));
        connection.since.set(Instant::now());
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.set_busy(false);
        self.frontend.connections.borrow_mut().remove(&self.number);
        self.frontend.freed.notify_one();
    }
}

/// What is wrong with a request that never becomes a session.
#[derive(Debug)]
struct Rejected(StatusCode, &'static str);

fn bad(why: &'static str) -> Rejected {
    Rejected(StatusCode::BAD_REQUEST, why)
}

/// Why a connection ends with no more to be said on it.
struct Gone;

/// An answer's head and body.
type Whole = (ResponseBuilder, Bytes);

fn plain(status: StatusCode) -> Whole {
    (Response::build(status), Bytes::new())
}

impl Frontend {
    /// Hands sessions to this queue and holds `most` connections.
    pub fn new(
        queue: Inputs,
        table: Rc<ServerTable>,
        terms: Terms,
        most: usize,
        max_retry_after: Duration,
    ) -> Rc<Self> {
        Rc::new(Frontend {
            queue,
            table,
            terms: RefCell::new(Rc::new(terms)),
            most: Cell::new(most),
            max_retry_after: Cell::new(max_retry_after),
            config: ServiceConfigBuilder::new().keep_alive(KeepAlive::Os).build(),
            connections: RefCell::default(),
            taken: Cell::new(0),
            freed: Notify::new(),
            stance: watch::Sender::new(Stance::Open),
            busy: Cell::new(0),
            unseated: Cell::default(),
        })
    }

    /// Stands so from now on. What was handed on or drains stays so.
    pub fn stand(&self, stance: Stance) {
        self.stance.send_if_modified(|now| {
            let ends = matches!(now, Stance::Draining | Stance::HandedOn(_));
            let ends = ends && matches!(stance, Stance::Open | Stance::Standby(_));
            // Told twice, the first time counts.
            let same = std::mem::discriminant(now) == std::mem::discriminant(&stance);
            let differs = !ends && !same;
            if differs {
                *now = stance;
            }
            differs
        });
    }

    /// How it stands.
    pub fn stance(&self) -> Stance {
        *self.stance.borrow()
    }

    /// Do answers close their connections?
    fn closing(&self) -> bool {
        self.stance() != Stance::Open
    }

    /// Requests that come from now on are read by these terms, and denials advise no longer a wait than this. What
    /// is on its way of classes that went is taken for a while more.
    pub fn retune(&self, mut terms: Terms, max_retry_after: Duration) {
        let mut held = self.terms.borrow_mut();
        let passing = held.classes.iter().filter(|(name, _)| !terms.classes.contains_key(*name));
        terms.passing = Some((passing.map(|(n, r)| (n.clone(), *r)).collect(), Instant::now() + PASSING));
        *held = Rc::new(terms);
        self.max_retry_after.set(max_retry_after);
    }

    /// Holds so many connections from now on.
    pub fn hold(&self, most: usize) {
        self.most.set(most);
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Is a part of a request here whose rest is still to come?
    pub fn reading(&self) -> bool {
        self.connections.borrow().values().any(|c| c.begun.get())
    }

    /// Is any session under way, or an answer not yet written out? A request of which a part is still to come
    /// is not taken, and keeps nobody waiting.
    pub fn busy(&self) -> bool {
        self.busy.get() > 0
    }

    /// Takes connections for as long as the program runs, but for those that come while another process accepts.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut stance = self.stance.subscribe();
        loop {
            while self.connections.borrow().len() >= self.most.get() + CROWD {
                self.freed.notified().await;
            }
            let handed_on = |s: &Stance| matches!(s, Stance::HandedOn(_));
            let accepted = tokio::select! {
                biased;
                _ = stance.wait_for(handed_on) => None,
                accepted = listener.accept() => Some(accepted),
            };
            let Some(accepted) = accepted else {
                // Never closed by this process before it ends: what waits there is the other's to take.
                let _ = stance.wait_for(|s| !handed_on(s)).await;
                continue;
            };
            match accepted {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    // Clients count what they keep open, and have only so many connections: those that stand
                    // idle are closed well before there is no room for others.
                    let open = self.connections.borrow().len();
                    if open >= self.most.get() / 2 {
                        self.unseat(open >= self.most.get());
                    }
                    actix_rt::spawn(self.seat().converse(stream));
                    // What it says is heard before the next one is taken: so a request is seen before its
                    // connection could be closed for want of room.
                    tokio::task::yield_now().await;
                }
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    fn seat(self: &Rc<Self>) -> Seat {
        let number = self.taken.get();
        self.taken.set(number + 1);
        let connection = Rc::new(Connection {
            asked: Cell::new(false),
            busy: Cell::new(false),
            begun: Cell::new(false),
            since: Cell::new(Instant::now()),
            unseat: Notify::new(),
        });
        self.connections.borrow_mut().insert(number, Rc::clone(&connection));
        Seat { frontend: Rc::clone(self), number, connection }
    }

    /// Makes room by closing the connection that has said nothing for longest: first of those that never asked
    /// for anything, then of those that did. One that a taken request is on is never closed.
    fn unseat(&self, full: bool) {
        let mut connections = self.connections.borrow_mut();
        let quiet = connections.iter().filter(|(_, c)| !c.busy.get());
        // One that has just come may be about to ask, and a head that comes slowly may be whole soon: these go last,
        // as their clients would lose a request, and only where there is no other way.
        let rank = |c: &Connection| match (c.begun.get(), c.asked.get()) {
            (true, _) => 2,
            (_, true) => 1,
            _ if c.since.get().elapsed() < JUST_COME => 3,
            _ => 0,
        };
        let first = quiet.min_by_key(|(_, c)| (rank(c), c.since.get()));
        let Some(number) = first.filter(|(_, c)| full || rank(c) < 2).map(|(n, _)| *n) else { return };
        if let Some(connection) = connections.remove(&number) {
            connection.unseat.notify_one();
        }
        let (count, told) = self.unseated.get();
        let due = told.is_none_or(|at| at.elapsed() > TELL_EVERY);
        if due {
            tracing::info!(connections = count + 1, "closed silent or idle connections to make room");
        }
        self.unseated.set(if due { (0, Some(Instant::now())) } else { (count + 1, told) });
    }

    /// Turns back, denies or hands on a request that is whole; its answer, and whether the connection may live on.
    async fn answer(
        &self,
        seat: &Seat,
        request: &Request,
        body: Bytes,
        client: &mut Client,
    ) -> Result<(Whole, bool), Gone> {
        if request.path() == "/ready" {
            let ready = self.table.can_serve() && !self.closing();
            return Ok((plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }), true));
        }
        if self.connections.borrow().len() > self.most.get() {
            return Ok((self.denied(Some(self.max_retry_after.get())), false));
        }
        let (reply, mut answer) = oneshot::channel();
        let session = match self.read(request, body, reply) {
            Ok(session) => session,
            Err(rejected) => return Ok((rejected.answer(), false)),
        };
        let id = session.id.clone();
        seat.set_busy(true);
        let _ = self.queue.send(Input::Session(Box::new(session)));
        let answer = tokio::select! {
            biased;
            answer = &mut answer => answer.unwrap_or(Answer::Failed),
            () = client.left() => {
                drop(answer);
                let _ = self.queue.send(Input::Departed(id));
                return Err(Gone);
            }
        };
        Ok((
            match answer {
                Answer::Served(body) => (Response::build(StatusCode::OK), body),
                Answer::Denied(after) => self.denied(after),
                Answer::Failed => plain(StatusCode::BAD_GATEWAY),
                Answer::Doubled => plain(StatusCode::CONFLICT),
            },
            true,
        ))
    }

    fn denied(&self, after: Option<Duration>) -> Whole {
        let mut response = Response::build(StatusCode::SERVICE_UNAVAILABLE);
        if let Some(after) = after.filter(|after| !after.is_zero()) {
            response.insert_header(("retry-after", format!("{:.3}", after.as_secs_f64())));
        }
        (response, Bytes::new())
    }

    /// Reads a request into a session.
    fn read(
        &self,
        request: &Request,
        body: Bytes,
        reply: oneshot::Sender<Answer<Bytes>>,
    ) -> Result<NewSession<Platform>, Rejected> {
        let (arrived, terms) = (Instant::now(), Rc::clone(&self.terms.borrow()));
        if !matches!(*request.method(), Method::GET | Method::POST) {
            return Err(Rejected(StatusCode::METHOD_NOT_ALLOWED, "GET or POST only"));
        }
        let id = request.headers().get("request-id").cloned().ok_or(bad("no Request-Id"))?;
        let text = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::trim);
        let word = id.to_str().ok().filter(|id| !id.is_empty()).ok_or(bad("no usable Request-Id"))?;
        let class = text("request-class").ok_or(bad("no Request-Class"))?;
        let repeatable = terms.repeatable(class).ok_or(bad("no such Request-Class"))?;
        if request.path().split('/').nth(1) != Some(class) {
            return Err(bad("a path of another class"));
        }
        if repeatable != (*request.method() == Method::GET) || repeatable && !body.is_empty() {
            return Err(bad("GET without a body for what may be repeated, POST for all else"));
        }
        let plan = text("x-contract").ok_or(bad("no X-Contract"))?;
        if !terms.plans.iter().any(|p| p == plan) {
            return Err(bad("no such X-Contract"));
        }
        let seconds = text("request-timeout").and_then(|t| t.parse::<f64>().ok());
        let timeout = seconds.filter(|s| *s >= 0.0).and_then(|s| Duration::try_from_secs_f64(s).ok());
        // Guards against a figure that no clock can add.
        let timeout = timeout.ok_or(bad("no usable Request-Timeout"))?.min(TIMEOUT_MOST);
        let metering = text("x-metering").and_then(|t| terms.metering(t));
        let (units, width) = metering.ok_or(bad("no usable X-Metering"))?;
        let customer = request.uri().query().and_then(customer).ok_or(bad("no usable client"))?;
        let target = request.uri().path_and_query().cloned().ok_or(bad("no path"))?;
        Ok(NewSession {
            id: RequestId(Arc::from(word)),
            class: class.to_owned(),
            plan: plan.to_owned(),
            customer: CustomerId(Arc::from(customer)),
            deadline: arrived + timeout.saturating_sub(ON_THE_WAY),
            units,
            width,
            request: Forward { method: request.method().clone(), target, id, body },
            reply,
        })
    }
}

impl Rejected {
    fn answer(self) -> Whole {
        tracing::debug!(why = self.1, "request rejected");
        (Response::build(self.0), Bytes::from_static(self.1.as_bytes()))
    }
}

impl Seat {
    /// Serves a connection for as long as it lasts, or until its place is needed.
    async fn converse(self, stream: TcpStream) {
        let codec = Codec::new(self.frontend.config.clone());
        let stance = self.frontend.stance.subscribe();
        let mut client = Client { stream, codec, stance, read: BytesMut::with_capacity(2048) };
        tokio::select! {
            biased;
            _ = self.exchanges(&mut client) => {}
            () = self.connection.unseat.notified() => {}
        }
    }

    /// One request after the other: what comes ahead of an answer waits for it.
    async fn exchanges(&self, client: &mut Client) -> Result<(), Gone> {
        loop {
            let connection = &self.connection;
            client.first(connection.since.get(), connection.asked.get()).await?;
            connection.begun.set(true);
            let (request, rejected) = client.request().await?;
            let ((mut response, body), live_on) = match (request, rejected) {
                (Some((request, body)), None) => self.frontend.answer(self, &request, body, client).await?,
                (_, rejected) => (rejected.unwrap_or(bad("unreadable")).answer(), false),
            };
            if !live_on || self.frontend.closing() {
                response.force_close();
            }
            let sent = timeout(TAKEN_WITHIN, client.write(response, body)).await;
            connection.asked.set(live_on);
            connection.begun.set(false);
            self.set_busy(false);
            sent.map_err(|_| Gone)??;
            if !client.codec.keep_alive() {
                client.linger().await;
                return Err(Gone);
            }
        }
    }
}

/// What takes longer than this is not whole in time.
async fn in_time<T>(
    within: Duration,
    part: impl Future<Output = Result<T, Option<Rejected>>>,
) -> Result<T, Option<Rejected>> {
    let late = Rejected(StatusCode::REQUEST_TIMEOUT, "not whole in time");
    timeout(within, part).await.unwrap_or(Err(Some(late)))
}

fn too_long() -> Option<Rejected> {
    Some(Rejected(StatusCode::PAYLOAD_TOO_LARGE, "body of over 64 KiB"))
}

/// The client's end of a connection.
struct Client {
    stream: TcpStream,
    codec: Codec,
    /// How the gatekeeper stands.
    stance: watch::Receiver<Stance>,
    /// What was read and is not used yet.
    read: BytesMut,
}

impl Client {
    /// Waits for the first byte of a request on a connection that has been quiet since then, and had one answered
    /// before (`asked`) or not. Nothing is said to who says nothing, and where the gatekeeper wants to be without
    /// clients, it is not waited for as long.
    async fn first(&mut self, since: Instant, asked: bool) -> Result<(), Gone> {
        while self.read.is_empty() {
            let end = match *self.stance.borrow_and_update() {
                Stance::Open | Stance::Draining => since + IDLE,
                Stance::Standby(at) => since.max(at) + QUIET,
                Stance::HandedOn(at) if asked => at,
                // It has just come and may be about to ask.
                Stance::HandedOn(at) => at.max(since + JUST_COME),
            };
            tokio::select! {
                biased;
                read = self.stream.read_buf(&mut self.read) => {
                    read.ok().filter(|n| *n > 0).ok_or(Gone)?;
                }
                Ok(()) = self.stance.changed() => {}
                () = sleep_until(end.into()) => {
                    // The system itself is asked: the runtime may not have heard yet of what has just come, and
                    // a connection closed over it costs its client the request.
                    let peeked = socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
                    let quiet = peeked.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
                    if quiet || end + IDLE < Instant::now() {
                        return Err(Gone);
                    }
                    tokio::task::yield_now().await;
                }
            }
        }
        Ok(())
    }

    /// The next request with its body, or what is wrong with it.
    async fn request(&mut self) -> Result<(Option<(Request, Bytes)>, Option<Rejected>), Gone> {
        match self.rest().await {
            Ok(request) => Ok((Some(request), None)),
            Err(Some(rejected)) => Ok((None, Some(rejected))),
            Err(None) => Err(Gone),
        }
    }

    /// `Err(None)`: the client has left.
    async fn rest(&mut self) -> Result<(Request, Bytes), Option<Rejected>> {
        // From its first byte on a request has its own time.
        let request = in_time(HEAD_WITHIN, self.head()).await?;
        let claimed =
            request.headers().get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.trim().parse().ok());
        if claimed.is_some_and(|length: u64| length > BODY_MOST as u64) {
            return Err(too_long());
        }
        if self.codec.message_type() == MessageType::None {
            return Ok((request, Bytes::new()));
        }
        if request.head().expect() {
            let _ = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        }
        let most = claimed.map_or(BODY_MOST as f64, |length| length as f64);
        let body = in_time(BODY_BEGINS + Duration::from_secs_f64(most / BODY_PACE), self.body()).await?;
        Ok((request, body))
    }

    async fn head(&mut self) -> Result<Request, Option<Rejected>> {
        loop {
            match self.codec.decode(&mut self.read) {
                Ok(Some(Message::Item(request))) => return Ok(request),
                Ok(None) if self.read.len() < HEAD_MOST => self.more().await?,
                Ok(None) | Err(ParseError::TooLarge) => {
                    return Err(Some(Rejected(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head too long")))
                }
                Ok(Some(Message::Chunk(_))) | Err(_) => return Err(Some(bad("not HTTP"))),
            }
        }
    }

    async fn body(&mut self) -> Result<Bytes, Option<Rejected>> {
        let mut body = BytesMut::new();
        loop {
            match self.codec.decode(&mut self.read) {
                Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
                Ok(Some(Message::Chunk(Some(chunk)))) if body.len() + chunk.len() > BODY_MOST => {
                    return Err(too_long())
                }
                Ok(Some(Message::Chunk(Some(chunk)))) => body.extend_from_slice(&chunk),
                Ok(None) => self.more().await?,
                Ok(Some(Message::Item(_))) | Err(_) => return Err(Some(bad("body not whole"))),
            }
        }
    }

    async fn more(&mut self) -> Result<(), Option<Rejected>> {
        self.read.reserve(2048);
        match self.stream.read_buf(&mut self.read).await {
            Ok(0) | Err(_) => Err(None),
            Ok(_) => Ok(()),
        }
    }

    /// Resolves when the client closes its connection. What else it sends meanwhile is kept for later, up to
    /// the longest request.
    async fn left(&mut self) {
        while self.read.len() < HEAD_MOST + BODY_MOST {
            if self.more().await.is_err() {
                return;
            }
        }
        std::future::pending().await
    }

    async fn write(&mut self, mut response: ResponseBuilder, body: Bytes) -> Result<(), Gone> {
        let mut out = BytesMut::with_capacity(256 + body.len());
        let head = response.message_body(()).map_err(|_| Gone)?;
        let size = BodySize::Sized(body.len() as u64);
        self.codec.encode(Message::Item((head, size)), &mut out).map_err(|_| Gone)?;
        out.extend_from_slice(&body);
        self.stream.write_all(&out).await.map_err(|_| Gone)
    }

    async fn linger(&mut self) {
        let _ = self.stream.shutdown().await;
        let _ = timeout(LINGER, async {
            let mut dropped = 0;
            while dropped < LINGER_MOST {
                self.read.clear();
                if self.more().await.is_err() {
                    break;
                }
                dropped += self.read.len();
            }
        })
        .await;
    }
}

/// The customer in a query: 16 hex digits.
fn customer(query: &str) -> Option<&str> {
    let value = query.split('&').find_map(|pair| pair.strip_prefix("client="))?;
    let digits = value.len() == 16 && value.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    let number = digits.then(|| u64::from_str_radix(value, 16).ok())?;
    number.filter(|n| *n < CUSTOMERS).map(|_| value)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::peer::BOUND;
    use whinstall::settings;

    async fn heard(client: &mut TcpStream) -> String {
        let mut heard = vec![0; 1024];
        let count = timeout(BOUND, client.read(&mut heard)).await.expect("something").unwrap_or(0);
        String::from_utf8_lossy(&heard[..count]).into_owned()
    }

    /// Guards those who have just come and are about to ask, and taken requests, from being closed for room.
    #[test]
    fn room_is_made_by_the_idle_then_by_the_new_and_never_by_a_taken_request() {
        let told = serde_json::from_str(include_str!("../../../tests/common/settings.json"));
        let (settings, _) = settings::read(told.expect("JSON")).expect("settings");
        let request = "GET /preview?client=00000000b4d65521 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nRequest-Class: preview\r\nX-Contract: standard\r\nRequest-Timeout: 4\r\nX-Metering: units=1,spread=1,first=0\r\n\r\n";
        actix_rt::System::new().block_on(async {
            let (queue, mut inputs) = tokio::sync::mpsc::unbounded_channel();
            let terms = Terms::of(&settings);
            let frontend = Frontend::new(queue, Rc::default(), terms, 2, Duration::from_millis(500));
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            actix_rt::spawn(frontend.serve(listener));
            let begun = Instant::now();
            let mut idle = TcpStream::connect(address).await.expect("it listens");
            idle.write_all(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n").await.expect("it takes it");
            assert!(heard(&mut idle).await.starts_with("HTTP/1.1 503"));
            let mut silent = TcpStream::connect(address).await.expect("it listens");
            // Half full, and the idle one makes way.
            assert_eq!(heard(&mut idle).await, "");
            let (mut taken, mut sessions) = (Vec::new(), Vec::new());
            for quiet in [&mut idle, &mut silent] {
                let mut client = TcpStream::connect(address).await.expect("it listens");
                client.write_all(request.as_bytes()).await.expect("it takes it");
                let input = timeout(BOUND, inputs.recv()).await.expect("an input");
                let Some(Input::Session(session)) = input else { panic!("no session") };
                assert_eq!(heard(quiet).await, "");
                taken.push(client);
                sessions.push(session);
            }
            let mut crowded = TcpStream::connect(address).await.expect("it listens");
            crowded.write_all(request.as_bytes()).await.expect("it takes it");
            let denied = heard(&mut crowded).await;
            assert!(denied.starts_with("HTTP/1.1 503") && denied.contains("retry-after: 0.500"), "{denied}");
            for (mut client, session) in taken.into_iter().zip(sessions) {
                let _ = session.reply.send(Answer::Served("drafted".into()));
                assert!(heard(&mut client).await.ends_with("drafted"));
            }
            // Later on all would have been closed as silent or idle in any case.
            assert!(begun.elapsed() < IDLE);
        });
    }

    /// Guards clients whose head comes slowly, in a crowd of others that say nothing: 359 of 434 such requests
    /// were cut off once, as whoever was silent for longest made way, half a head or not.
    #[test]
    fn half_a_head_stays_where_silent_and_idle_ones_can_make_way() {
        let told = serde_json::from_str(include_str!("../../../tests/common/settings.json"));
        let (settings, _) = settings::read(told.expect("JSON")).expect("settings");
        actix_rt::System::new().block_on(async {
            let (queue, mut inputs) = tokio::sync::mpsc::unbounded_channel();
            let frontend =
                Frontend::new(queue, Rc::default(), Terms::of(&settings), 4, Duration::from_millis(500));
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            actix_rt::spawn(Rc::clone(&frontend).serve(listener));
            let mut slow = TcpStream::connect(address).await.expect("it listens");
            slow.write_all(b"GET /preview?client=00000000b4d65521 HTT").await.expect("it takes it");
            let half = || frontend.connections.borrow().values().any(|c| c.begun.get());
            while !half() {
                tokio::task::yield_now().await;
            }
            // No longer one that has just come.
            tokio::time::sleep(JUST_COME).await;
            for n in 0..12 {
                let mut other = TcpStream::connect(address).await.expect("it listens");
                if n % 2 == 0 {
                    other.write_all(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n").await.expect("it takes it");
                    assert!(heard(&mut other).await.starts_with("HTTP/1.1 503"));
                } else {
                    tokio::time::sleep(JUST_COME).await;
                }
            }
            slow.write_all(b"P/1.1\r\nHost: h\r\nRequest-Id: r\r\nRequest-Class: preview\r\nX-Contract: standard\r\nRequest-Timeout: 4\r\nX-Metering: units=1,spread=1,first=0\r\n\r\n").await.expect("it takes it");
            let input = timeout(BOUND, inputs.recv()).await.expect("an input");
            let Some(Input::Session(session)) = input else { panic!("no session") };
            let _ = session.reply.send(Answer::Served("drafted".into()));
            assert!(heard(&mut slow).await.ends_with("drafted"));
        });
    }
}
