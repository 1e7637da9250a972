//! The carrier of the copies: datagrams for who is there, a listener for the other gatekeepers, and a round every so
//! often in which a few of them are asked, over HTTP/1.1 on the codec already here, bodies in postcard. It owns the one
//! replica and the one view of the members. It must never hold the core up, speak to a gatekeeper of another fleet or
//! version, or let one peer take more than the bounds.
//!
//! `POST /fleet/v2/exchange`: the asker says up to which change of each origin it holds everything, and what it wrote
//! itself; the answer says the same of the other one and holds what the asker lacks. 409 with one line: of another
//! fleet or version, or under a name that another living process has.
//! `POST /fleet/v2/budget`: a request to the one that divides hard ceilings, and its answer ([`super::budgets`]).

use super::budgets::{Budgets, BUDGET_AT};
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

const EXCHANGE_AT: &str = "/fleet/v2/exchange";
/// Who asks, for whoever traces a link.
const FROM: HeaderName = HeaderName::from_static("fleet-from");
/// A peer has this many rounds to answer, and no less than the second figure.
const ROUNDS_TO_ANSWER: f64 = 5.0;
const ANSWER_LEAST: Duration = Duration::from_millis(250);
/// Connections of other gatekeepers at a time, and as many to them.
const GUESTS: usize = 24;
/// Descriptors that all of this holds at the most.
pub const DESCRIPTORS: usize = 2 + 2 * GUESTS;
/// A connection that nothing went over for so long is closed: in a large fleet the next exchange is with another one.
const IDLE: Duration = Duration::from_secs(1);
/// In a fleet of more than this a connection to the divider is closed after each request: it has all of them to hear.
const FEW: usize = 16;
/// A guest's connection ends after this.
const GUEST_MOST: Duration = Duration::from_secs(30);
/// Rows of a message at the most: they fit in its bounds.
const ROWS_MOST: usize = 1200;
/// How long it has lived is written so often in the time for which a copy is fresh.
const BEATS: f64 = 4.0;
/// A judgement of a node is written again this often, in seconds, while only its evidence is newer.
const JUDGED_S: f64 = 3.0;
/// What is out of date is looked for this often, in seconds.
const SWEEP_S: f64 = 0.5;
/// The same reason to turn something away is logged once in so long.
const REFUSED_AGAIN: Duration = Duration::from_secs(10);
/// As it ends, so many are told what it wrote last, and have so long to hear it.
const LAST_TOLD: usize = 4;
const LAST_WAIT: Duration = Duration::from_millis(250);

/// What is held, and with whom it is kept.
pub struct Fleet {
    settings: FleetSettings,
    /// Gatekeepers that the platform says there are.
    replicas: u32,
    me: Origin,
    born: f64,
    replica: RefCell<Replica>,
    members: RefCell<Membership>,
    budgets: Option<Budgets>,
    socket: UdpSocket,
    /// Up to which of this one's changes each member held everything, as it last answered, and which life of it.
    known: RefCell<HashMap<SocketAddr, (u64, u64)>>,
    /// Members that answered last time they were asked; those that are being asked.
    answering: RefCell<BTreeSet<SocketAddr>>,
    asking: RefCell<BTreeSet<SocketAddr>>,
    /// Those that were given up and are not told of yet.
    down: RefCell<Vec<(Instant, Member)>>,
    pace: RefCell<TokenBucket>,
    turn: Cell<usize>,
    swept: Cell<f64>,
    refused: RefCell<HashMap<String, Instant>>,
    exchanger: UpstreamClient,
    queue: CoreSender,
    guests: Cell<usize>,
    clock: super::core::Clock,
    rng: RefCell<fastrand::Rng>,
}

/// The sockets of a fleet: both at the same address.
///
/// # Errors
/// What the system says of the address.
pub async fn open(at: SocketAddr) -> std::io::Result<(TcpListener, UdpSocket)> {
    let mut tries = 0;
    loop {
        let listener = TcpListener::bind(at).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            // Any port will do, and this one is another's for datagrams.
            Err(_) if at.port() == 0 && tries < 16 => tries += 1,
            Err(error) => return Err(error),
        }
    }
}

impl Fleet {
    /// This life of the gatekeeper of this name, in this fleet of so many.
    pub fn new(
        settings: FleetSettings,
        (name, replicas): (&str, u32),
        seed: u64,
        clock: super::core::Clock,
        (socket, at): (UdpSocket, SocketAddr),
        queue: CoreSender,
    ) -> Rc<Self> {
        let born = clock.now();
        let me = Origin { name: Arc::from(name), incarnation: born.as_micros() as u64 };
        let (born, life) = (born.as_secs_f64(), me.incarnation);
        let member = Member {
            name: Arc::clone(&me.name),
            incarnation: life,
            rejoin_count: 0,
            address: settings.advertise.unwrap_or(at),
        };
        let times = SwimTimings {
            probe_interval_secs: settings.probe_interval_secs,
            suspicion_timeout_secs: settings.suspicion_timeout_secs,
            forget_after_secs: settings.forget_after_secs,
        };
        let (cluster, seeds) = (&settings.cluster, settings.seeds.clone());
        let members = Membership::new(born, cluster, member, seeds, times, seed ^ life);
        let dial = Duration::from_secs_f64(settings.gossip_interval_secs).max(ANSWER_LEAST);
        let bounds = ReplicaLimits {
            max_lag_secs: settings.max_lag_secs,
            forget_after_secs: settings.forget_after_secs,
            ..ReplicaLimits::default()
        };
        Rc::new(Fleet {
            replica: RefCell::new(Replica::new(me.clone(), bounds)),
            budgets: settings.budgets.as_ref().map(|b| Budgets::new(b, &me, clock.now(), replicas)),
            members: RefCell::new(members),
            socket,
            exchanger: UpstreamClient::new(dial, IDLE, GUESTS),
            pace: RefCell::new(TokenBucket::new(born, settings.bytes_per_sec)),
            me,
            replicas,
            born,
            settings,
            known: RefCell::default(),
            answering: RefCell::default(),
            asking: RefCell::default(),
            down: RefCell::default(),
            turn: Cell::new(seed as usize % 1024),
            swept: Cell::new(born),
            refused: RefCell::default(),
            queue,
            guests: Cell::new(0),
            clock,
            rng: RefCell::new(fastrand::Rng::with_seed(seed ^ 0x5eed)),
        })
    }

    fn now(&self) -> f64 {
        self.clock.now().as_secs_f64()
    }

    fn message(&self, pieces: Vec<Delta>) -> Bytes {
        let from = self.members.borrow().local_member().clone();
        let message = Message { from, digest: self.replica.borrow().digest(), deltas: pieces };
        message.encode(&self.settings.cluster).into()
    }

    /// A message as it came, or why it is none of this fleet's.
    fn read(&self, body: &[u8]) -> Result<Message, String> {
        let message = Message::decode(body, &self.settings.cluster)?;
        if message.from.name == self.me.name && message.from.incarnation != self.me.incarnation {
            return Err(format!("{:?} is taken by another process that lives", message.from.name));
        }
        Ok(message)
    }

    /// Takes a message over; up to where its sender holds everything.
    fn merge(&self, message: Message) -> Digest {
        let (now, mut replica) = (self.now(), self.replica.borrow_mut());
        replica.observe_digest(&message.digest);
        for piece in message.deltas {
            replica.merge(now, piece);
        }
        message.digest
    }

    /// Says why something was turned away, once in a while for each reason.
    fn turned_away(&self, why: &str) {
        let mut refused = self.refused.borrow_mut();
        refused.retain(|_, at| at.elapsed() < REFUSED_AGAIN);
        if !refused.contains_key(why) && refused.len() < 64 {
            refused.insert(why.to_owned(), Instant::now());
            tracing::warn!(why, "fleet: a message is turned away");
        }
    }

    /// Sends what the protocol of members wants sent, and tells what has changed.
    fn flush(&self) {
        let (outbound, news) = {
            let mut members = self.members.borrow_mut();
            (members.take_outbound(), members.take_events())
        };
        for (to, datagram) in outbound {
            // One that does not go is one that is lost on the way.
            let _ = self.socket.try_send_to(&datagram, to);
        }
        for news in news {
            let there = self.members.borrow().live_members().len();
            match news {
                MembershipEvent::Up(m) => {
                    tracing::info!(member = &*m.name, at = %m.address, there, "fleet: a member is there")
                }
                MembershipEvent::Down(m) => {
                    self.known.borrow_mut().remove(&m.address);
                    self.answering.borrow_mut().remove(&m.address);
                    // Its last row, where there is one, may come a little later than this.
                    self.down.borrow_mut().push((Instant::now(), m));
                }
                MembershipEvent::Rejoined => {
                    tracing::warn!(there, "fleet: was given up by the others, and is back")
                }
            }
        }
    }

    /// Tells of those that were given up a moment ago: gone, or left, as they said.
    fn tell_down(&self) {
        let (wait, there) = (self.within(), self.members.borrow().live_members().len());
        self.down.borrow_mut().retain(|(since, m)| {
            let ripe = since.elapsed() >= wait;
            if ripe {
                match self.replica.borrow().has_left(&m.origin()) {
                    true => {
                        tracing::info!(member = &*m.name, at = %m.address, there, "fleet: a member has left")
                    }
                    false => {
                        tracing::warn!(member = &*m.name, at = %m.address, there, "fleet: a member is gone")
                    }
                }
            }
            !ripe
        });
    }

    /// Keeps up who is there, for as long as the program runs.
    pub async fn datagrams(self: Rc<Self>) {
        let mut bytes = [0; 2048];
        loop {
            self.members.borrow_mut().run_due_timers(self.now());
            self.flush();
            let wait = Duration::from_secs_f64(
                (self.members.borrow().next_timer_at() - self.now()).clamp(0.001, 1.0),
            );
            let Ok(came) = tokio::time::timeout(wait, self.socket.recv_from(&mut bytes)).await else {
                continue;
            };
            match came {
                Ok((count, _)) => {
                    let heard = self.members.borrow_mut().handle_datagram(self.now(), &bytes[..count]);
                    if let Err(why) = heard {
                        self.turned_away(&why);
                    }
                }
                // Told of a datagram of ours that met nobody.
                Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
            }
        }
    }

    /// Listens for the others, for as long as the program runs.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        let answer = {
            let fleet = Rc::clone(&self);
            move |request: actix_http::Request| {
                let fleet = Rc::clone(&fleet);
                async move { Ok::<_, Infallible>(fleet.answer(request).await) }
            }
        };
        let factory = HttpService::<TcpStream, _, _>::build().h1(fn_service(answer)).tcp();
        let Ok(service) = factory.new_service(()).await else { return };
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) if self.guests.get() < GUESTS => stream,
                Ok(_) => continue,
                Err(error) => {
                    tracing::warn!(%error, "fleet: accept failed");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            };
            let _ = stream.set_nodelay(true);
            self.guests.set(self.guests.get() + 1);
            let (connection, fleet) = (service.call(stream), Rc::clone(&self));
            actix_rt::spawn(async move {
                let _ = tokio::time::timeout(GUEST_MOST, connection).await;
                fleet.guests.set(fleet.guests.get() - 1);
            });
        }
    }

    async fn answer(&self, mut request: actix_http::Request) -> Response<Bytes> {
        let said = |status, text: String| Response::with_body(status, Bytes::from(text));
        let budget = request.path() == BUDGET_AT && self.budgets.is_some();
        if !(budget || request.path() == EXCHANGE_AT) || *request.method() != Method::POST {
            return said(StatusCode::NOT_FOUND, "no such call".into());
        }
        let (mut payload, mut body) = (request.take_payload(), BytesMut::new());
        while let Some(Ok(part)) = payload.next().await {
            if body.len() + part.len() > MAX_BODY_BYTES {
                return said(StatusCode::PAYLOAD_TOO_LARGE, "message too long".into());
            }
            body.extend_from_slice(&part);
        }
        if let Some(budgets) = self.budgets.as_ref().filter(|_| budget) {
            return match wire::decode(&body, &self.settings.cluster) {
                Ok(asked) => {
                    let answer = budgets.answer(self.clock.now(), &asked);
                    Response::with_body(StatusCode::OK, wire::encode(&answer, &self.settings.cluster).into())
                }
                Err(why) => {
                    self.turned_away(&why);
                    said(StatusCode::CONFLICT, why)
                }
            };
        }
        match self.read(&body) {
            Ok(message) => {
                let digest = self.merge(message);
                Response::with_body(StatusCode::OK, self.lacked(&digest))
            }
            Err(why) => {
                self.turned_away(&why);
                said(StatusCode::CONFLICT, why)
            }
        }
    }

    /// What one who holds `theirs` lacks, within what may be sent now.
    fn lacked(&self, theirs: &Digest) -> Bytes {
        let (now, mut pace) = (self.now(), self.pace.borrow_mut());
        let most = pace.available_rows(now, ROWS_MOST);
        self.turn.set(self.turn.get().wrapping_add(1));
        let (pieces, _) = self.replica.borrow().deltas_for(now, theirs, most, self.turn.get());
        let rows = pieces.iter().map(|piece| piece.rows.len()).sum();
        let message = self.message(pieces);
        pace.charge(rows, message.len());
        message
    }

    /// Asks one member for what is not here, and tells it what this one wrote itself.
    async fn ask(self: Rc<Self>, member: Member, within: Duration) {
        let at = member.address;
        if !self.asking.borrow_mut().insert(at) {
            return; // it has not answered the last question yet
        }
        let peer = Peer { name: at.to_string().into(), address: at };
        let known = self
            .known
            .borrow()
            .get(&at)
            .filter(|known| known.0 == member.incarnation)
            .map_or(0, |known| known.1);
        let mut request = self.request(EXCHANGE_AT);
        let own = self.replica.borrow().own_delta_after(self.now(), known);
        request.body = self.message(own.into_iter().collect());
        let read = self.exchange(&peer, request, within).await.and_then(|body| self.read(&body));
        self.asking.borrow_mut().remove(&at);
        let answered = match read {
            Ok(message) => {
                let life = message.from.incarnation;
                let upto = self.merge(message).get(&self.me).copied().unwrap_or(0);
                self.known.borrow_mut().insert(at, (life, upto));
                true
            }
            Err(why) => {
                self.known.borrow_mut().remove(&at);
                if self.answering.borrow().contains(&at) {
                    tracing::warn!(member = &*member.name, peer = %at, why, "fleet: a peer does not answer");
                }
                false
            }
        };
        let mut answering = self.answering.borrow_mut();
        let before = if answered { !answering.insert(at) } else { answering.remove(&at) };
        if answered && !before {
            tracing::info!(member = &*member.name, peer = %at, answering = answering.len(), "fleet: a peer answers");
        }
    }

    fn request(&self, at: &'static str) -> Request {
        let mut request = Request::plain(Method::POST, PathAndQuery::from_static(at));
        if let Ok(name) = HeaderValue::from_str(&self.me.name) {
            request.headers.push((FROM, name));
        }
        request
    }

    async fn exchange(&self, peer: &Peer, request: Request, within: Duration) -> Result<Bytes, String> {
        let bounds = ExchangeOptions::timeout(within);
        match self.exchanger.exchange(peer, request, bounds, std::future::pending()).await {
            (ExchangeOutcome::Answered, Some(reply)) => Ok(reply.body),
            (_, Some(reply)) => Err(String::from_utf8_lossy(&reply.body).into_owned()),
            (end, None) => Err(format!("{end:?}")),
        }
    }

    /// The one that divides, as far as is known here: of those that are there the one with the least name.
    fn divider(&self) -> Member {
        let members = self.members.borrow();
        let others = members.live_members().into_iter().filter(|m| m.name != self.me.name);
        others
            .chain([members.local_member().clone()])
            .min_by(|a, b| a.name.cmp(&b.name))
            .unwrap_or_else(|| members.local_member().clone())
    }

    /// Asks the divider for parts of ceilings, where these are divided, for as long as the program runs.
    pub async fn budget_rounds(self: Rc<Self>) {
        let Some(budgets) = &self.budgets else { return };
        let _ = self.queue.send(CoreMessage::DivideCeilings(budgets.floor()));
        loop {
            let jitter = 0.8 + 0.2 * self.rng.borrow_mut().f64();
            tokio::time::sleep(budgets.every().mul_f64(jitter)).await;
            self.budget_round(budgets).await;
        }
    }

    async fn budget_round(&self, budgets: &Budgets) {
        let divider = self.divider();
        let asked = budgets.ask(self.clock.now(), &divider);
        let answer = if divider.name == self.me.name {
            Some(budgets.answer(self.clock.now(), &asked))
        } else {
            let peer = Peer { name: divider.address.to_string().into(), address: divider.address };
            let mut request = self.request(BUDGET_AT);
            if self.members.borrow().live_members().len() > FEW {
                request.headers.push((CONNECTION, HeaderValue::from_static("close")));
            }
            request.body = wire::encode(&asked, &self.settings.cluster).into();
            let body = self.exchange(&peer, request, budgets.every()).await;
            body.and_then(|body| wire::decode(&body, &self.settings.cluster)).ok()
        };
        if let Some(parts) = answer.and_then(|answer| budgets.answered(self.clock.now(), &answer)) {
            let _ = self.queue.send(CoreMessage::AssignedCeilings(parts));
        }
    }

    fn within(&self) -> Duration {
        Duration::from_secs_f64(self.settings.gossip_interval_secs * ROUNDS_TO_ANSWER).max(ANSWER_LEAST)
    }

    /// Some of the members that are there, at random.
    fn some(&self, most: usize) -> Vec<Member> {
        let mut members = self.members.borrow().live_members();
        members.retain(|m| m.name != self.me.name);
        self.rng.borrow_mut().shuffle(&mut members);
        members.truncate(most);
        members
    }

    /// Writes what this gatekeeper itself knows, and hands it what the others wrote.
    fn note(&self, now: f64, known: LocalState) {
        if let Some(budgets) = &self.budgets {
            budgets.wants(&known.ceiling_demand);
        }
        let mut replica = self.replica.borrow_mut();
        let keep = ReplicaLimits::default().retention_secs;
        if now - self.born
            >= replica.last_heartbeat().map_or(0.0, |lived| lived + self.settings.max_lag_secs / BEATS)
        {
            replica.record(now, Key::Heartbeat, RowValue::Heartbeat(now - self.born), keep);
        }
        for s in known.usage {
            let said = RowValue::Usage { units: s.units, acknowledged: s.acknowledged_units };
            replica.record(now, Key::Usage(s.customer, s.window), said, s.expires_at - now);
        }
        for (node, judged) in known.host_health {
            replica.record_health(now, node, judged, JUDGED_S);
        }
        if now - self.swept.get() > SWEEP_S {
            self.swept.set(now);
            let alive = self.members.borrow().live_members().into_iter().map(|m| m.name).collect();
            replica.sweep(now, &alive);
        }
        let told = replica.remotely_observed_nodes();
        let unmet = known.unobserved_hosts.into_iter().filter(|(node, _)| told.contains(node));
        let judged = unmet.filter_map(|(node, started)| {
            let (judged, age) = replica.remote_health(now, &node, started)?;
            Some((node, judged, age))
        });
        let judged = judged.collect();
        let fresh = replica.fresh_fraction(now, self.replicas);
        let copies =
            RemoteState { usage: replica.take_changed_usage(), host_health: judged, fresh_fraction: fresh };
        let _ = self.queue.send(CoreMessage::ReplicatedState(Box::new(copies)));
    }

    /// Asks the core what it knows; `false` where there is none any more.
    async fn look(&self) -> bool {
        let (to, known) = oneshot::channel();
        let _ = self.queue.send(CoreMessage::ReadLocalState(to));
        let Ok(known) = known.await else { return false };
        self.note(self.now(), known);
        true
    }

    /// Keeps the copies equal, and tells the core what others spent and saw, for as long as the program runs.
    pub async fn rounds(self: Rc<Self>) {
        let (mut told, round) = (Instant::now(), self.settings.gossip_interval_secs);
        loop {
            let jitter = 0.8 + 0.4 * self.rng.borrow_mut().f64();
            tokio::time::sleep(Duration::from_secs_f64(round * jitter)).await;
            if !self.look().await {
                return;
            }
            self.tell_down();
            // One after the other: two that are asked at once would both send the same rows.
            let apart = Duration::from_secs_f64(round / f64::from(self.settings.fanout));
            for (nth, member) in (0u32..).zip(self.some(self.settings.fanout as usize)) {
                if self.asking.borrow().len() < GUESTS {
                    let fleet = Rc::clone(&self);
                    actix_rt::spawn(async move {
                        tokio::time::sleep(apart * nth).await;
                        let within = fleet.within();
                        fleet.ask(member, within).await;
                    });
                }
            }
            if told.elapsed().as_secs_f64() > self.settings.log_interval_secs {
                told = Instant::now();
                self.tell(self.now());
            }
        }
    }

    /// How things stand, for operators.
    fn tell(&self, now: f64) {
        if let Some(budgets) = &self.budgets {
            budgets.tell(self.clock.now());
        }
        let replica = self.replica.borrow();
        let standing: BTreeMap<_, _> =
            self.members.borrow().member_states().into_iter().map(|(m, s)| (m.name, s)).collect();
        let count = |which| standing.values().filter(|s| **s == which).count();
        let others = || replica.lags(now).filter(|lag| *lag.origin != self.me);
        // A life that is over does not lag: what it wrote is here, or it is lost.
        let last: BTreeMap<_, _> = others().map(|lag| (Arc::clone(&lag.origin.name), lag)).collect();
        let living =
            || last.values().filter(|lag| standing.get(&lag.origin.name) != Some(&MemberState::Down));
        let worst = living().max_by(|a, b| a.seconds.total_cmp(&b.seconds));
        let (tally, (rows, sum)) = (replica.merge_stats(), replica.usage_checksum());
        let (oldest, oldest_s) = worst.map_or(("", 0.0), |lag| (&*lag.origin.name, lag.seconds));
        let lags: Vec<String> = last
            .iter()
            .take(64)
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
            fresh = format!("{:.2}", replica.fresh_fraction(now, self.replicas)),
            origins = replica.lags(now).count(),
            rows,
            sum = format!("{sum:016x}"),
            judged = replica.remotely_observed_nodes().len(),
            taken = tally.applied,
            known = tally.already_known,
            refused = tally.rejected,
            missing = living().map(|lag| lag.missing_versions).sum::<u64>(),
            oldest,
            oldest_s = format!("{oldest_s:.2}"),
            lag = lags.join(","),
            "fleet: copies"
        );
    }

    /// This process ends: what it wrote last, and that it ends, is told to a few, and they tell the others.
    pub async fn leave(self: Rc<Self>) {
        let _ = tokio::time::timeout(LAST_WAIT, self.look()).await;
        self.replica.borrow_mut().record(
            self.now(),
            Key::Left,
            RowValue::Left,
            ReplicaLimits::default().retention_secs,
        );
        let told = self.some(LAST_TOLD).into_iter().map(|member| Rc::clone(&self).ask(member, LAST_WAIT));
        futures_util::future::join_all(told).await;
        if let Some(budgets) = &self.budgets {
            budgets.leave();
            let _ = tokio::time::timeout(LAST_WAIT, self.budget_round(budgets)).await;
        }
        self.members.borrow_mut().leave(self.now());
        self.flush();
    }
}
