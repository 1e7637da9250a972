//! Owns connections to workers: one attempt of a request on one of them, and those that stand idle. It must never send
//! a request a second time, take for an answer what is not the whole answer to that request, or use a connection on
//! which anything is unread.

use crate::http::{self, quiet};
use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message, MessageType};
use actix_http::header::{
    HeaderMap, HeaderName, HeaderValue, CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING,
};
use actix_http::uri::Uri;
use actix_http::{Method, RequestHead, ResponseHead, ServiceConfig, StatusCode};
use bytes::{Bytes, BytesMut};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use whinstall::Ending;

/// A connection comes up within this: a worker that is down says nothing.
const DIAL: Duration = Duration::from_millis(200);
/// The longest body of an answer.
const BODY_MOST: usize = 16 * 1024 * 1024;
/// Idle connections are looked at this often.
pub const LOOK: Duration = Duration::from_millis(250);
/// Before anything is known of when workers close idle connections.
const IDLE_FIRST: Duration = Duration::from_millis(2500);
/// Part of the known time that a connection may stand idle before what must not run twice is sent on it...
const IDLE_ONCE: f64 = 0.7;
/// ...and before anything is.
const IDLE_ANY: f64 = 0.9;

/// A request as it came, to be sent on in any number of attempts.
pub struct Forward {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers, without those of the connection and the key.
    pub headers: HeaderMap,
    /// Its body, if it has one.
    pub body: Option<Bytes>,
    /// Its id.
    pub id: HeaderValue,
    /// May it run more than once?
    pub repeatable: bool,
    /// When its client leaves.
    pub deadline: Instant,
}

/// A worker's whole answer.
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those of the connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// How an attempt ended.
pub struct Ended {
    /// For the module.
    pub ending: Ending,
    /// The worker's answer, where there is one to pass on.
    pub reply: Option<Reply>,
    /// Another worker answered at this address.
    pub misdirected: bool,
}

impl Ended {
    fn with(ending: Ending) -> Self {
        Ended { ending, reply: None, misdirected: false }
    }
}

struct Idle {
    stream: TcpStream,
    open: Open,
    since: Instant,
    /// What the worker said of how long it keeps it.
    keeps: Option<Duration>,
}

/// Connections to workers.
pub struct Courier {
    idle: RefCell<HashMap<Arc<str>, Vec<Idle>>>,
    open: Rc<Cell<usize>>,
    most: usize,
    /// The shortest time after which workers were seen to close idle connections.
    learned: Cell<Option<Duration>>,
    config: ServiceConfig,
    /// Connections opened so far.
    pub opened: Cell<u64>,
}

struct Open(Rc<Cell<usize>>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

enum Broken {
    /// The connection ended, or broke.
    Ended,
    /// What came is no answer to be passed on.
    Garbled,
}

impl From<std::io::Error> for Broken {
    fn from(_: std::io::Error) -> Self {
        Broken::Ended
    }
}

impl Courier {
    /// Holds so many connections at the most.
    pub fn new(most: usize) -> Self {
        Courier {
            idle: RefCell::default(),
            open: Rc::default(),
            most,
            learned: Cell::new(None),
            config: http::config(),
            opened: Cell::new(0),
        }
    }

    /// How long a connection may stand idle before something is sent on it.
    fn usable(&self, idle: &Idle, repeatable: bool) -> bool {
        let known = idle.keeps.or(self.learned.get());
        let part = if repeatable { IDLE_ANY } else { IDLE_ONCE };
        let most = known.map_or(IDLE_FIRST, |known| known.mul_f64(part));
        let most = if repeatable && known.is_none() { 4 * most } else { most };
        idle.since.elapsed() < most && quiet(&idle.stream)
    }

    fn take(&self, worker: &Arc<str>, repeatable: bool) -> Option<Idle> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(worker)?;
        let mut taken = None;
        while let Some(last) = idle.pop() {
            if self.usable(&last, repeatable) {
                taken = Some(last);
                break;
            }
            if quiet(&last.stream) {
                // Good for what may run twice only: it goes back, and so do all that are older.
                idle.push(last);
                break;
            }
        }
        taken
    }

    fn give_back(&self, worker: &Arc<str>, stream: TcpStream, keeps: Option<Duration>, open: Open) {
        if quiet(&stream) {
            let idle = Idle { stream, open, since: Instant::now(), keeps };
            self.idle.borrow_mut().entry(Arc::clone(worker)).or_default().push(idle);
        }
    }

    /// Closes the idle connections to a worker.
    pub fn close(&self, worker: &str) {
        self.idle.borrow_mut().remove(worker);
    }

    /// Looks at the idle connections: those that were closed go, and tell how long they were kept.
    pub fn look(&self) {
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|i| {
                let age = i.since.elapsed();
                let known = i.keeps.or(self.learned.get());
                let keep = quiet(&i.stream);
                if !keep && age > Duration::from_millis(500) && i.keeps.is_none() {
                    self.learned.set(Some(self.learned.get().map_or(age, |l| l.min(age))));
                }
                keep && known.is_none_or(|k| age < k.mul_f64(IDLE_ANY))
            });
            !idle.is_empty()
        });
    }

    /// Sends a request once and waits for its whole answer. `may_begin` is asked as the first byte is to be written.
    pub async fn attempt(
        &self,
        worker: &Arc<str>,
        address: SocketAddr,
        forward: &Forward,
        tenant: Option<&str>,
        within: Duration,
        may_begin: impl Fn() -> bool,
    ) -> Ended {
        let written = Cell::new(false);
        let sent = self.converse(worker, address, forward, tenant, &written, may_begin);
        match tokio::time::timeout(within, sent).await {
            Ok(ended) => ended,
            Err(_) if written.get() => Ended::with(Ending::Timeout),
            Err(_) => Ended::with(Ending::ConnectFailed),
        }
    }

    async fn converse(
        &self,
        worker: &Arc<str>,
        address: SocketAddr,
        forward: &Forward,
        tenant: Option<&str>,
        written: &Cell<bool>,
        may_begin: impl Fn() -> bool,
    ) -> Ended {
        let (mut stream, open) = match self.take(worker, forward.repeatable) {
            Some(idle) => (idle.stream, idle.open),
            None => {
                if self.open.get() >= self.most {
                    self.make_room();
                }
                self.open.set(self.open.get() + 1);
                let open = Open(Rc::clone(&self.open));
                self.opened.set(self.opened.get() + 1);
                match tokio::time::timeout(DIAL, TcpStream::connect(address)).await {
                    Ok(Ok(stream)) => {
                        let _ = stream.set_nodelay(true);
                        (stream, open)
                    }
                    _ => return Ended::with(Ending::ConnectFailed),
                }
            }
        };
        // The last moment at which a worker that is about to leave can be spared.
        if !may_begin() {
            return Ended::with(Ending::Moot);
        }
        let mut codec = ClientCodec::new(self.config.clone());
        let Some(mut out) = encode(&mut codec, forward, tenant, worker) else {
            return Ended::with(Ending::Moot);
        };
        while !out.is_empty() {
            match stream.write_buf(&mut out).await {
                Ok(n) if n > 0 => written.set(true),
                // Of a request that is cut off somewhere the worker may make what it likes.
                _ if written.get() => return Ended::with(Ending::Reset),
                _ => return Ended::with(Ending::ConnectFailed),
            }
        }
        match receive(codec, &mut stream, &forward.id).await {
            Ok((reply, keeps, reusable)) => {
                if reusable {
                    self.give_back(worker, stream, keeps, open);
                }
                judge(reply)
            }
            Err(Broken::Garbled) => Ended::with(Ending::Error),
            Err(Broken::Ended) => Ended::with(Ending::Reset),
        }
    }

    /// Closes the connection that stood idle longest.
    fn make_room(&self) {
        let mut all = self.idle.borrow_mut();
        let oldest = all.iter().filter_map(|(w, i)| Some((i.first()?.since, Arc::clone(w)))).min();
        if let Some(idle) = oldest.and_then(|(_, worker)| all.get_mut(&worker)) {
            idle.remove(0);
        }
    }
}

/// A request as it goes to a worker.
fn encode(
    codec: &mut ClientCodec,
    forward: &Forward,
    tenant: Option<&str>,
    worker: &str,
) -> Option<BytesMut> {
    let mut head = RequestHead::default();
    (head.method, head.uri) = (forward.method.clone(), forward.uri.clone());
    head.headers = forward.headers.clone();
    let left = forward.deadline.saturating_duration_since(Instant::now()).as_millis().max(1);
    let set = [("x-remaining-ms", Some(left.to_string())), ("x-target-instance", Some(worker.to_owned()))];
    for (name, value) in set.into_iter().chain([("x-tenant", tenant.map(str::to_owned))]) {
        head.headers.remove(name);
        if let Some(value) = value {
            head.headers.insert(HeaderName::from_static(name), HeaderValue::from_str(&value).ok()?);
        }
    }
    let body = forward.body.clone().unwrap_or_default();
    let size = if forward.body.is_some() { BodySize::Sized(body.len() as u64) } else { BodySize::None };
    let mut out = BytesMut::with_capacity(512 + body.len());
    codec.encode(Message::Item((head.into(), size)), &mut out).ok()?;
    out.extend_from_slice(&body);
    Some(out)
}

async fn more(stream: &mut TcpStream, read: &mut BytesMut) -> Result<(), Broken> {
    read.reserve(4096);
    match stream.read_buf(read).await? {
        0 => Err(Broken::Ended),
        _ => Ok(()),
    }
}

/// Reads the answer to the request of this id; answers to others that come ahead of it belong to nobody.
async fn receive(
    mut codec: ClientCodec,
    stream: &mut TcpStream,
    id: &HeaderValue,
) -> Result<(Reply, Option<Duration>, bool), Broken> {
    let mut read = BytesMut::with_capacity(2048);
    let mut reusable = true;
    loop {
        let (head, body, framed, back) = one(codec, stream, &mut read).await?;
        codec = back;
        let others = head.headers.get("x-attempt-id").is_some_and(|told| told != id);
        if others {
            tracing::warn!("a surplus answer of a worker came first");
            reusable = false;
            if !framed {
                return Err(Broken::Garbled);
            }
            continue;
        }
        reusable &= codec.keep_alive() && framed && read.is_empty();
        let status = head.status;
        if !framed || status.is_success() && !head.headers.contains_key("x-server-seal") {
            return Err(Broken::Garbled);
        }
        if head.headers.contains_key(CONTENT_ENCODING) {
            return Err(Broken::Garbled);
        }
        let keeps = head.headers.get("keep-alive").and_then(|v| keep_alive(v.to_str().ok()?));
        let mut headers = head.headers;
        for name in
            ["connection", "keep-alive", "transfer-encoding", "content-length", "date", "trailer", "upgrade"]
        {
            headers.remove(name);
        }
        return Ok((Reply { status, headers, body }, keeps, reusable));
    }
}

/// One whole answer, whether it says how long it is, and the codec for what comes after it.
async fn one(
    mut codec: ClientCodec,
    stream: &mut TcpStream,
    read: &mut BytesMut,
) -> Result<(ResponseHead, Bytes, bool, ClientCodec), Broken> {
    let head = loop {
        match codec.decode(read).map_err(|_| Broken::Garbled)? {
            None => more(stream, read).await?,
            Some(head) if head.status == StatusCode::SWITCHING_PROTOCOLS => return Err(Broken::Garbled),
            Some(head) if head.status.is_informational() => {}
            Some(head) => break head,
        }
    };
    let lengths: Vec<_> = head.headers.get_all(CONTENT_LENGTH).collect();
    let chunked =
        head.headers.get(TRANSFER_ENCODING).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"chunked"));
    let other = head.headers.contains_key(TRANSFER_ENCODING) && !chunked;
    if lengths.len() > 1 || other || chunked && !lengths.is_empty() {
        return Err(Broken::Garbled);
    }
    let bodiless = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let framed = chunked || !lengths.is_empty() || bodiless;
    if !framed || codec.message_type() == MessageType::None {
        // The end of the connection would be its end: whether it is whole can't be told.
        return Ok((head, Bytes::new(), framed, codec));
    }
    let mut payload = codec.into_payload_codec();
    let mut body = BytesMut::new();
    loop {
        match payload.decode(read).map_err(|_| Broken::Garbled)? {
            Some(Some(chunk)) => {
                if body.len() + chunk.len() > BODY_MOST {
                    return Err(Broken::Garbled);
                }
                body.extend_from_slice(&chunk);
            }
            Some(None) => break,
            None => more(stream, read).await?,
        }
    }
    Ok((head, body.freeze(), framed, payload.into_message_codec()))
}

/// Seconds in `Keep-Alive: timeout=5`, less what its roundness may hide.
fn keep_alive(value: &str) -> Option<Duration> {
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: f64 = timeout.trim().parse().ok()?;
    Duration::try_from_secs_f64((seconds - 0.5).max(0.0)).ok()
}

/// What a whole answer means.
fn judge(reply: Reply) -> Ended {
    let unrun =
        reply.headers.contains_key("x-not-executed") || reply.status == StatusCode::MISDIRECTED_REQUEST;
    let misdirected = reply.status == StatusCode::MISDIRECTED_REQUEST;
    if unrun {
        return Ended { ending: Ending::Full, reply: None, misdirected };
    }
    let promise = matches!(reply.status.as_u16(), 408 | 429 | 503);
    let ending = match reply.status.as_u16() {
        200..=499 if !promise => Ending::Ok,
        _ => Ending::Error,
    };
    // Without the worker's word for it such a status would promise what nobody knows.
    Ended { ending, reply: Some(reply).filter(|_| !promise), misdirected }
}
