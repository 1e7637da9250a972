//! The carrier of the copies: a listener for the other gatekeepers and a round every so often to a few of them, over
//! HTTP/1.1 on the codec already here, bodies in CBOR. It owns the one replica. It must never hold the core up, speak
//! to a gatekeeper of another fleet or version, or let one peer take more than a message's bounds.
//!
//! `POST /fleet/v1/exchange`: both sides say up to which change of each origin they hold everything, and send what
//! the other lacks. 409 with one line: of another fleet or version.

use super::core::Input;
use super::ending::ConnectionEnd;
use super::exchange::{Bounds, Exchanger, Peer, Request, BODY_MOST};
use super::Inputs;
use actix_http::uri::PathAndQuery;
use actix_http::{HttpService, Method, Response, StatusCode};
use actix_service::{fn_service, Service, ServiceFactory};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use whinstall::fleet::replica::{Bounds as ReplicaBounds, Digest, Key, Origin, Piece, Replica, Said};
use whinstall::fleet::FleetSettings;

/// The version of the messages below.
const VERSION: u32 = 1;
const EXCHANGE_AT: &str = "/fleet/v1/exchange";
/// A peer has this many rounds to answer, and no less than the second figure.
const ROUNDS_TO_ANSWER: f64 = 5.0;
const ANSWER_LEAST: Duration = Duration::from_millis(250);
/// Connections of other gatekeepers at a time.
const GUESTS: usize = 32;
/// A guest's connection ends after this.
const GUEST_MOST: Duration = Duration::from_secs(30);

#[derive(Serialize, Deserialize)]
struct Message {
    version: u32,
    cluster: String,
    from: Origin,
    digest: Digest,
    pieces: Vec<Piece>,
}

/// What is held, and with whom it is kept.
pub struct Fleet {
    settings: FleetSettings,
    me: Origin,
    replica: RefCell<Replica>,
    /// What each peer held when it last answered.
    known: RefCell<HashMap<SocketAddr, Digest>>,
    /// Peers that answered last time they were asked.
    answering: RefCell<BTreeSet<SocketAddr>>,
    exchanger: Exchanger,
    queue: Inputs,
    guests: Cell<usize>,
    clock: super::core::Clock,
    rng: RefCell<fastrand::Rng>,
}

impl Fleet {
    /// This life of the gatekeeper of this name, in this fleet.
    pub fn new(
        settings: FleetSettings,
        name: &str,
        seed: u64,
        clock: super::core::Clock,
        queue: Inputs,
    ) -> Rc<Self> {
        let incarnation = clock.now().as_micros() as u64;
        let me = Origin { name: Arc::from(name), incarnation };
        let dial = Duration::from_secs_f64(settings.round).max(ANSWER_LEAST);
        Rc::new(Fleet {
            replica: RefCell::new(Replica::new(me.clone(), ReplicaBounds::default())),
            exchanger: Exchanger::new(dial, Duration::from_secs(10), settings.peers.len().clamp(1, GUESTS)),
            me,
            settings,
            known: RefCell::default(),
            answering: RefCell::default(),
            queue,
            guests: Cell::new(0),
            clock,
            rng: RefCell::new(fastrand::Rng::with_seed(seed ^ 0x5eed)),
        })
    }

    fn now(&self) -> f64 {
        self.clock.now().as_secs_f64()
    }

    fn message(&self, theirs: Option<&Digest>) -> Bytes {
        let replica = self.replica.borrow();
        let rows = self.settings.rows as usize;
        let pieces = theirs.map_or(Vec::new(), |t| replica.lacks(self.now(), t, rows).0);
        let (cluster, from) = (self.settings.cluster.clone(), self.me.clone());
        let message = Message { version: VERSION, cluster, from, digest: replica.digest(), pieces };
        let mut out = Vec::new();
        match ciborium::into_writer(&message, &mut out) {
            Ok(()) => out.into(),
            Err(_) => Bytes::new(),
        }
    }

    /// A message as it came, or why it is none of this fleet's.
    fn read(&self, body: &[u8]) -> Result<Message, String> {
        let message: Message = ciborium::from_reader(body).map_err(|_| "no message".to_owned())?;
        if message.version != VERSION {
            return Err(format!("version {} does not fit {VERSION}", message.version));
        }
        if message.cluster != self.settings.cluster {
            return Err(format!("fleet {:?} is not {:?}", message.cluster, self.settings.cluster));
        }
        if message.from.name == self.me.name && message.from.incarnation != self.me.incarnation {
            return Err(format!("{:?} is taken by another process that lives", message.from.name));
        }
        Ok(message)
    }

    fn merge(&self, pieces: Vec<Piece>) {
        let (now, mut replica) = (self.now(), self.replica.borrow_mut());
        for piece in pieces {
            replica.merge(now, piece);
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
        if request.path() != EXCHANGE_AT || *request.method() != Method::POST {
            return said(StatusCode::NOT_FOUND, "no such call".into());
        }
        let (mut payload, mut body) = (request.take_payload(), BytesMut::new());
        while let Some(Ok(part)) = payload.next().await {
            if body.len() + part.len() > BODY_MOST {
                return said(StatusCode::PAYLOAD_TOO_LARGE, "message too long".into());
            }
            body.extend_from_slice(&part);
        }
        match self.read(&body) {
            Ok(message) => {
                self.merge(message.pieces);
                Response::with_body(StatusCode::OK, self.message(Some(&message.digest)))
            }
            Err(why) => {
                tracing::warn!(why, "fleet: a message is turned away");
                said(StatusCode::CONFLICT, why)
            }
        }
    }

    /// Asks one peer. What a message had no room for goes with a later round's.
    async fn ask(self: Rc<Self>, at: SocketAddr) {
        let within = Duration::from_secs_f64(self.settings.round * ROUNDS_TO_ANSWER).max(ANSWER_LEAST);
        let peer = Peer { name: at.to_string().into(), address: at };
        let known = self.known.borrow().get(&at).cloned();
        let mut request = Request::plain(Method::POST, PathAndQuery::from_static(EXCHANGE_AT));
        request.body = self.message(known.as_ref());
        let bounds = Bounds { within, may_begin: Box::new(|| true) };
        let (end, reply) = self.exchanger.exchange(&peer, request, bounds, std::future::pending()).await;
        let read = match (end, reply) {
            (ConnectionEnd::Answered, Some(reply)) => self.read(&reply.body),
            (_, Some(reply)) => Err(String::from_utf8_lossy(&reply.body).into_owned()),
            (end, None) => Err(format!("{end:?}")),
        };
        let answered = match read {
            Ok(message) => {
                self.merge(message.pieces);
                self.known.borrow_mut().insert(at, message.digest);
                true
            }
            Err(why) => {
                self.known.borrow_mut().remove(&at);
                if self.answering.borrow().contains(&at) {
                    tracing::warn!(peer = %at, why, "fleet: a peer does not answer");
                }
                false
            }
        };
        let mut answering = self.answering.borrow_mut();
        let before = if answered { !answering.insert(at) } else { answering.remove(&at) };
        if answered && !before {
            tracing::info!(peer = %at, answering = answering.len(), "fleet: a peer answers");
        }
    }

    /// Keeps the copies equal, and tells the core what others spent, for as long as the program runs.
    pub async fn rounds(self: Rc<Self>) {
        let (mut told, round) = (Instant::now(), self.settings.round);
        loop {
            let jitter = 0.8 + 0.4 * self.rng.borrow_mut().f64();
            tokio::time::sleep(Duration::from_secs_f64(round * jitter)).await;
            let (to, spending) = oneshot::channel();
            let _ = self.queue.send(Input::Spending(to));
            let Ok(spending) = spending.await else { return };
            let now = self.now();
            {
                let mut replica = self.replica.borrow_mut();
                for s in spending {
                    replica.note(now, Key::Spent(s.customer, s.window), Said::Units(s.units), s.until - now);
                }
                replica.sweep(now, &BTreeSet::new());
                let _ = self.queue.send(Input::Elsewhere(replica.all_spent_elsewhere()));
            }
            let mut peers = self.settings.peers.clone();
            self.rng.borrow_mut().shuffle(&mut peers);
            for peer in peers.into_iter().take(self.settings.fanout as usize) {
                actix_rt::spawn(Rc::clone(&self).ask(peer));
            }
            if told.elapsed().as_secs_f64() > self.settings.tell {
                told = Instant::now();
                let (replica, answering) = (self.replica.borrow(), self.answering.borrow().len());
                let tally = replica.tally();
                let oldest = replica.lag(now).map(|l| l.2).fold(0.0, f64::max);
                let (taken, known, refused) = (tally.taken, tally.known, tally.refused);
                let (origins, rows) = (replica.lag(now).count(), replica.rows());
                tracing::info!(
                    answering,
                    origins,
                    rows,
                    taken,
                    known,
                    refused,
                    oldest_s = oldest,
                    "fleet: copies"
                );
            }
        }
    }
}
