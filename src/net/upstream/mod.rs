//! Owns the client's side of a connection: one exchange of a request for an answer on actix-http's own client
//! codec, and the connections that wait for the next one, by the name of the peer they lead to. It must never
//! send a request a second time, take for an answer what is not the whole answer to that request, keep a
//! connection on which anything is unread, or decide what an ending means for a session.

use super::outcome::ConnectionEnd;
use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message, MessageType};
use actix_http::header::{self, HeaderValue};
use actix_http::uri::{PathAndQuery, Uri};
use actix_http::{
    KeepAlive, Method, RequestHead, ResponseHead, ServiceConfig, ServiceConfigBuilder, StatusCode,
};
use bytes::{Bytes, BytesMut};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The longest body in either direction.
pub const BODY_MOST: usize = 64 * 1024;
/// Connections that stood idle for too long, or were closed by their peer, are looked for this often.
const PRUNE_EVERY: Duration = Duration::from_secs(1);

/// Whom to talk to. The name counts, not the address: a node that came up where another stood is another peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What to send.
pub struct Request {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: PathAndQuery,
    /// Its headers beside `Host` and `Content-Length`.
    pub headers: Vec<(header::HeaderName, HeaderValue)>,
    /// Its body. No body is not an empty body: a request without one goes on as it came.
    pub body: Bytes,
}

impl Request {
    /// One with neither headers nor a body.
    pub fn plain(method: Method, target: PathAndQuery) -> Self {
        Request { method, target, headers: Vec::new(), body: Bytes::new() }
    }
}

/// A whole answer.
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Does it say that the request was not begun?
    pub not_started: bool,
    /// What it says of the customer's use over all gatekeepers, in percent of its rate.
    pub meter: Option<f64>,
    /// Its body.
    pub body: Bytes,
}

/// Bounds of an exchange.
pub struct Bounds {
    /// Waiting ends then.
    pub within: Duration,
    /// Asked as the first byte is about to be written.
    pub may_begin: Box<dyn Fn() -> bool>,
}

/// A connection, which counts as open until it is dropped. One that is still coming up counts, too: it holds a
/// descriptor.
struct Connection {
    stream: TcpStream,
    _open: Open,
}

struct Open(Rc<Cell<usize>>);

impl Open {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Open(Rc::clone(count))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Connection {
    /// Is it open, with nothing on it to be read? The system itself is asked, as the runtime may not have heard
    /// yet of what has just come.
    fn is_quiet(&self) -> bool {
        let seen = socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        seen.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// A connection that waits for its next exchange.
struct Idle {
    connection: Connection,
    address: SocketAddr,
    since: Instant,
}

/// The idle connections by peer, the one that waits longest first, and the count of all that are open.
struct Pool {
    idle: RefCell<HashMap<Arc<str>, Vec<Idle>>>,
    open: Rc<Cell<usize>>,
    most: Cell<usize>,
}

impl Pool {
    /// The connection to a peer that was used last, where there is one that can be used. What came on one since
    /// was asked for by nobody: it is closed.
    fn take(&self, peer: &Peer) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let waiting = idle.get_mut(&peer.name)?;
        let mut taken = None;
        while taken.is_none() {
            let Some(last) = waiting.pop() else { break };
            taken = Some(last.connection).filter(|c| last.address == peer.address && c.is_quiet());
        }
        if waiting.is_empty() {
            idle.remove(&peer.name);
        }
        taken
    }

    fn give_back(&self, peer: &Peer, connection: Connection) {
        if connection.is_quiet() {
            let idle = Idle { connection, address: peer.address, since: Instant::now() };
            self.idle.borrow_mut().entry(Arc::clone(&peer.name)).or_default().push(idle);
        }
    }

    /// Keeps the idle connections that `which` names and closes the others.
    fn retain(&self, which: impl Fn(&str, &Idle) -> bool) {
        self.idle.borrow_mut().retain(|name, waiting| {
            waiting.retain(|idle| which(name, idle));
            !waiting.is_empty()
        });
    }

    /// Makes room for one more connection, if need be by closing the one that stood idle longest. Closing all
    /// idle ones cost a handshake each soon after.
    fn make_room(&self) -> Option<Open> {
        if self.open.get() >= self.most.get() {
            let mut idle = self.idle.borrow_mut();
            let oldest = idle.iter().filter_map(|(name, w)| Some((w.first()?.since, name))).min();
            if let Some(name) = oldest.map(|(_, name)| Arc::clone(name)) {
                idle.entry(name).and_modify(|waiting| drop(waiting.remove(0)));
                idle.retain(|_, waiting| !waiting.is_empty());
            }
        }
        (self.open.get() < self.most.get()).then(|| Open::new(&self.open))
    }
}

/// How far an exchange has come: what was written outlives the exchange itself, which may be dropped anywhere.
#[derive(Default)]
struct Progress {
    begun: Cell<bool>,
    written: Cell<bool>,
}

/// An HTTP client whose connections are known one by one.
pub struct Exchanger {
    pool: Rc<Pool>,
    dial: Duration,
    config: ServiceConfig,
}

impl Exchanger {
    /// A client that connects within `dial`, keeps connections while idle for `idle` and holds `most`.
    pub fn new(dial: Duration, idle: Duration, most: usize) -> Self {
        let pool = Rc::new(Pool { idle: RefCell::default(), open: Rc::default(), most: Cell::new(most) });
        actix_rt::spawn(prune(Rc::downgrade(&pool), idle));
        let config = ServiceConfigBuilder::new().keep_alive(KeepAlive::Os).build();
        Exchanger { pool, dial, config }
    }

    /// Holds so many connections from now on.
    pub fn hold(&self, most: usize) {
        self.pool.most.set(most);
    }

    /// Connections that are open or coming up.
    pub fn open(&self) -> usize {
        self.pool.open.get()
    }

    /// Closes the idle connections that lead anywhere else than `leads_on` permits.
    pub fn close_unless(&self, leads_on: impl Fn(&str, SocketAddr) -> bool) {
        self.pool.retain(|name, idle| leads_on(name, idle.address));
    }

    /// Sends a request once and waits for the whole answer. However it ends but with a whole answer, the
    /// connection is closed when this returns: the peer sees the end of one dispatch before the next begins.
    /// `called_off` ends it early.
    pub async fn exchange(
        &self,
        peer: &Peer,
        request: Request,
        bounds: Bounds,
        called_off: impl Future<Output = ()>,
    ) -> (ConnectionEnd, Option<Reply>) {
        let progress = Progress::default();
        let result = tokio::select! {
            biased;
            () = called_off => Err(Failure::CalledOff),
            result = self.converse(peer, request, &bounds.may_begin, &progress) => result,
            () = tokio::time::sleep(bounds.within) => Err(Failure::TimedOut),
        };
        let written = progress.written.get();
        match result {
            Ok(reply) if reply.status == StatusCode::OK => (ConnectionEnd::Answered, Some(reply)),
            Ok(reply) if reply.status.is_client_error() => (ConnectionEnd::Rejected, Some(reply)),
            Ok(reply) => (ConnectionEnd::Declined, Some(reply)),
            Err(Failure::CalledOff) => (ConnectionEnd::CalledOff { written }, None),
            Err(Failure::TimedOut) => (ConnectionEnd::TimedOut { written }, None),
            Err(_) if !progress.begun.get() && !(bounds.may_begin)() => (ConnectionEnd::Withdrawn, None),
            Err(_) if !written => (ConnectionEnd::NeverWritten, None),
            Err(Failure::Garbled) => (ConnectionEnd::Garbled, None),
            Err(Failure::Broken) => (ConnectionEnd::Broken, None),
        }
    }

    async fn converse(
        &self,
        peer: &Peer,
        request: Request,
        may_begin: &dyn Fn() -> bool,
        progress: &Progress,
    ) -> Result<Reply, Failure> {
        let mut connection = match self.pool.take(peer) {
            Some(connection) => connection,
            None => self.connect(peer.address).await?,
        };
        // The last moment at which a node that drains meanwhile can still be spared.
        if !may_begin() {
            return Err(Failure::Broken);
        }
        let mut codec = ClientCodec::new(self.config.clone());
        let mut out = encode(&mut codec, peer, request)?;
        while !out.is_empty() {
            if connection.stream.write_buf(&mut out).await? == 0 {
                return Err(Failure::Broken);
            }
            progress.begun.set(true);
        }
        progress.written.set(true);
        let (reply, reusable) = receive(codec, &mut connection.stream).await?;
        if reusable {
            self.pool.give_back(peer, connection);
        }
        Ok(reply)
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, Failure> {
        let open = self.pool.make_room().ok_or(Failure::Broken)?;
        let stream = tokio::time::timeout(self.dial, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| Failure::Broken)??;
        let _ = stream.set_nodelay(true);
        Ok(Connection { stream, _open: open })
    }
}

/// A request as it goes on the wire.
fn encode(codec: &mut ClientCodec, peer: &Peer, request: Request) -> Result<BytesMut, Failure> {
    let mut head = RequestHead::default();
    (head.method, head.uri) = (request.method, Uri::from(request.target));
    let host = HeaderValue::from_str(&peer.address.to_string()).map_err(|_| Failure::Broken)?;
    head.headers.insert(header::HOST, host);
    for (name, value) in request.headers {
        head.headers.insert(name, value);
    }
    let size = match request.body.len() {
        0 => BodySize::None,
        length => BodySize::Sized(length as u64),
    };
    let mut out = BytesMut::with_capacity(512 + request.body.len());
    codec.encode(Message::Item((head.into(), size)), &mut out)?;
    out.extend_from_slice(&request.body);
    Ok(out)
}

/// Reads the one answer; also tells whether the connection is fit for a further exchange.
async fn receive(mut codec: ClientCodec, stream: &mut TcpStream) -> Result<(Reply, bool), Failure> {
    let mut read = BytesMut::with_capacity(1024);
    let head = loop {
        match codec.decode(&mut read).map_err(|e| garbled(&e, &read))? {
            None => more(stream, &mut read).await?,
            // Ahead of an answer others may come that tell of its progress only.
            Some(head) if head.status.is_informational() => {
                if head.status == StatusCode::SWITCHING_PROTOCOLS || codec.message_type() != MessageType::None
                {
                    return Err(Failure::Garbled);
                }
                // Its sender may hold the answer back until it is told that this came, which the system would
                // put off for 40 ms.
                #[cfg(target_os = "linux")]
                let _ = stream.set_quickack(true);
            }
            Some(head) => break head,
        }
    };
    let framing = Framing::of(&head)?;
    let not_started = head.headers.get("not-started").is_some_and(|v| v.as_bytes() == b"1");
    let meter = head.headers.get("x-meter").and_then(|v| v.to_str().ok()?.trim().parse::<f64>().ok());
    let meter = meter.filter(|percent| percent.is_finite() && *percent >= 0.0);
    let mut body = BytesMut::new();
    let mut reusable = codec.keep_alive() && framing != Framing::Unknown;
    if framing == Framing::Unknown && head.status == StatusCode::OK {
        // The end of the connection is the end of the body; a reset is none, and breaks it off.
        body = std::mem::take(&mut read);
        while body.len() <= BODY_MOST && stream.read_buf(&mut body).await? > 0 {}
        if body.len() > BODY_MOST {
            return Err(Failure::Garbled);
        }
    } else if codec.message_type() != MessageType::None {
        let mut codec = codec.into_payload_codec();
        while let Some(chunk) = loop {
            match codec.decode(&mut read).map_err(|e| garbled(&e, &read))? {
                Some(item) => break item,
                None => more(stream, &mut read).await?,
            }
        } {
            if body.len() + chunk.len() > BODY_MOST {
                return Err(Failure::Garbled);
            }
            body.extend_from_slice(&chunk);
        }
        reusable &= codec.keep_alive();
    }
    let body = body.freeze();
    // What follows an answer belongs to nobody, and neither does what comes on its connection from then on.
    Ok((Reply { status: head.status, not_started, meter, body }, reusable && read.is_empty()))
}

async fn more(stream: &mut TcpStream, read: &mut BytesMut) -> Result<(), Failure> {
    // An end of file is never the end of an answer: what breaks off is not whole.
    if stream.read_buf(read).await? == 0 {
        return Err(Failure::Broken);
    }
    Ok(())
}

/// Does this answer say that its connection ends with it?
fn ends_with_connection(head: &ResponseHead) -> bool {
    let mut said = head.headers.get_all(header::CONNECTION).filter_map(|v| v.to_str().ok());
    said.any(|v| v.split(',').any(|word| word.trim().eq_ignore_ascii_case("close")))
}

fn garbled(error: &dyn std::fmt::Debug, read: &BytesMut) -> Failure {
    let read = String::from_utf8_lossy(&read[..read.len().min(200)]);
    tracing::debug!(?error, %read, "answer cannot be read");
    Failure::Garbled
}

/// How an answer says where it ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    /// Not at all: it has no body, or one that only the connection's end would tell.
    Unknown,
}

impl Framing {
    fn of(head: &ResponseHead) -> Result<Self, Failure> {
        let length = head.headers.get(header::CONTENT_LENGTH);
        let length = length.map(|v| v.to_str().ok().and_then(|v| v.trim().parse::<usize>().ok()));
        match (length, head.headers.contains_key(header::TRANSFER_ENCODING)) {
            // A body that is too long is not waited for: one claimed 3 GB, and went on and on.
            (Some(Some(length)), false) if length <= BODY_MOST => Ok(Framing::Length),
            (None, true) => Ok(Framing::Chunked),
            (None, false) if head.status != StatusCode::OK => Ok(Framing::Unknown),
            // Only where the peer says beforehand that it ends the connection: else a break would pass for the end.
            (None, false) if ends_with_connection(head) => Ok(Framing::Unknown),
            framed => {
                tracing::debug!(?framed, headers = ?head.headers, "answer framed as none is");
                Err(Failure::Garbled)
            }
        }
    }
}

/// Closes connections that stood idle for too long or were closed by their peer, for as long as there is a pool:
/// each holds a descriptor.
async fn prune(pool: Weak<Pool>, most: Duration) {
    let mut every = tokio::time::interval(PRUNE_EVERY);
    loop {
        every.tick().await;
        let Some(pool) = pool.upgrade() else { return };
        pool.retain(|_, idle| idle.since.elapsed() < most && idle.connection.is_quiet());
    }
}

/// Why there is no whole answer.
enum Failure {
    CalledOff,
    TimedOut,
    Garbled,
    Broken,
}

impl From<io::Error> for Failure {
    fn from(_: io::Error) -> Self {
        Failure::Broken
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::peer::{ok, Peer as Scripted, Reply as Says, Seen, BOUND};

    fn peer(name: &str, scripted: &Scripted) -> Peer {
        Peer { name: name.into(), address: scripted.address }
    }

    async fn get(exchanger: &Exchanger, peer: &Peer, leave: bool) -> (ConnectionEnd, Bytes) {
        let request = Request::plain(Method::GET, PathAndQuery::from_static("/preview"));
        let bounds = Bounds { within: BOUND, may_begin: Box::new(move || leave) };
        let (end, reply) = exchanger.exchange(peer, request, bounds, std::future::pending()).await;
        (end, reply.map(|r| r.body).unwrap_or_default())
    }

    /// Guards the nodes that drain while a connection comes up, and the limit on descriptors.
    #[test]
    fn nothing_is_written_without_leave_or_without_room() {
        let scripted = Scripted::start(|_| Says::Ok("drafted"));
        let end = |most, leave| {
            actix_rt::System::new().block_on(async {
                get(&Exchanger::new(BOUND, BOUND, most), &peer("n0", &scripted), leave).await.0
            })
        };
        assert_eq!((end(1, false), end(0, true)), (ConnectionEnd::Withdrawn, ConnectionEnd::NeverWritten));
        assert_eq!(scripted.requests().len(), 0);
        assert_eq!((end(1, true), scripted.requests().len()), (ConnectionEnd::Answered, 1));
    }

    /// Guards live connections where room is short: only the one that stood idle longest gives way.
    #[test]
    fn room_is_made_by_the_connection_that_stood_idle_longest() {
        let peers = [(); 3].map(|()| Scripted::start(|_| Says::Ok("drafted")));
        actix_rt::System::new().block_on(async {
            let exchanger = Exchanger::new(BOUND, BOUND, 2);
            for (n, scripted) in peers.iter().enumerate() {
                let end = get(&exchanger, &peer(&format!("n{n}"), scripted), true).await.0;
                assert_eq!(end, ConnectionEnd::Answered);
            }
            let mut open: Vec<_> = exchanger.pool.idle.borrow().keys().map(|name| name.to_string()).collect();
            open.sort_unstable();
            assert_eq!(open, ["n1", "n2"]);
        });
    }

    /// Guards against what is not the whole answer to this request, and against good answers taken for bad ones:
    /// each is one that a node gave.
    #[test]
    fn only_the_whole_answer_to_a_request_is_taken() {
        let early = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
        let twice = ok("first") + &ok("second");
        let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n";
        let claim = format!("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{}", "x".repeat(1000));
        let answers = [
            (early.to_owned() + &ok("first"), ConnectionEnd::Answered),
            (twice, ConnectionEnd::Answered),
            (ok("first") + "noise", ConnectionEnd::Answered),
            (chunked.to_owned() + "0\r\n\r\n", ConnectionEnd::Answered),
            (chunked.to_owned() + "five\r\n", ConnectionEnd::Garbled),
            (claim, ConnectionEnd::Garbled),
            ("HTTP/1.1 200 OK\r\n\r\nfirst".to_owned(), ConnectionEnd::Garbled),
            (
                ok("first").replace("Content-Length", "Content-Length: 3\r\nContent-Length"),
                ConnectionEnd::Garbled,
            ),
        ];
        let torn = [
            ("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nfirst", ConnectionEnd::Broken),
            (chunked, ConnectionEnd::Broken),
        ];
        let answers = answers.map(|(text, end)| (Says::Raw(text), end)).into_iter();
        for (says, end) in answers.chain(torn.map(|(text, end)| (Says::Torn(text), end))) {
            let what = format!("{says:?}");
            let says = std::sync::Mutex::new(Some(says));
            let scripted =
                Scripted::start(move |_| says.lock().expect("whole").take().unwrap_or(Says::Ok("next")));
            let peer = peer("n0", &scripted);
            actix_rt::System::new().block_on(async {
                let exchanger = Exchanger::new(BOUND, BOUND, 2);
                let (first, next) = (get(&exchanger, &peer, true).await, get(&exchanger, &peer, true).await);
                let body = if end == ConnectionEnd::Answered { "first" } else { "" };
                assert_eq!((first.0, &first.1[..]), (end, body.as_bytes()), "{what}");
                assert_eq!((next.0, &next.1[..]), (ConnectionEnd::Answered, &b"next"[..]), "after {what}");
            });
        }
    }

    /// Guards against the 40 ms that a peer waits to go on after an early answer, for as long as the system puts
    /// off telling it that it came.
    #[cfg(target_os = "linux")]
    #[test]
    fn an_early_answer_costs_no_time() {
        let early = "HTTP/1.1 100 Continue\r\n\r\n".to_owned();
        let scripted = Scripted::start(move |_| Says::Parts([early.clone(), ok("drafted")]));
        actix_rt::System::new().block_on(async {
            let exchanger = Exchanger::new(BOUND, BOUND, 2);
            let mut times = Vec::new();
            for _ in 0..9 {
                let begun = Instant::now();
                let end = get(&exchanger, &peer("n0", &scripted), true).await;
                assert_eq!(end, (ConnectionEnd::Answered, "drafted".into()));
                times.push(begun.elapsed());
            }
            times.sort_unstable();
            assert!(times[4] < Duration::from_millis(30), "{times:?}");
        });
    }

    /// Guards against what comes later on a connection that is already put by, and against a node that stands
    /// where another one stood.
    #[test]
    fn a_connection_serves_its_own_peer_and_only_while_it_is_quiet() {
        let scripted = Scripted::start(|_| Says::Ok("drafted"));
        actix_rt::System::new().block_on(async {
            let exchanger = Exchanger::new(BOUND, BOUND, 4);
            let (old, new) = (peer("n0", &scripted), peer("n1", &scripted));
            for peer in [&old, &old, &new] {
                assert_eq!(get(&exchanger, peer, true).await.0, ConnectionEnd::Answered);
            }
            assert_eq!(exchanger.pool.open.get(), 2);
            exchanger.close_unless(|name, _| name == "n1");
            assert_eq!((exchanger.pool.open.get(), exchanger.pool.idle.borrow().len()), (1, 1));
            let closed =
                std::iter::from_fn(|| Some(scripted.next())).take(4).filter(|s| matches!(s, Seen::Closed));
            assert_eq!(closed.count(), 1);
        });
    }
}
