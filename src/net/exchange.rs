//! Owns the client's side of a connection: awc with a connector of our own, whose streams record how much of a
//! request was written, and one exchange of a request for an answer on it. It must never send a request a
//! second time, follow a redirect, decompress an answer or decide what an ending means for a session.

use super::ending::ConnectionEnd;
use actix_codec::{AsyncRead, AsyncWrite, ReadBuf};
use actix_http::error::PayloadError;
use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::error::SendRequestError;
use awc::http::{StatusCode, Uri};
use awc::{Client, ClientRequest};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// The longest body in either direction.
pub const BODY_MOST: usize = 64 * 1024;
/// Connections that stood idle for too long are looked for this often.
const PRUNE_EVERY: Duration = Duration::from_secs(1);

tokio::task_local! {
    /// The exchange that is being polled: streams report to it what they write.
    static CURRENT: Rc<Mark>;
}

/// How far one exchange has come.
struct Mark {
    /// Bytes of the body that are still to be written once the head has ended.
    body_left: Cell<usize>,
    /// Bytes of the blank line that ends a head seen in a row.
    head_end: Cell<usize>,
    /// Was the last byte written?
    written: Cell<bool>,
    /// Has the first byte been let through?
    begun: Cell<bool>,
    /// May the first byte be written? Asked once.
    may_begin: Box<dyn Fn() -> bool>,
    /// The connection in use.
    socket: RefCell<Weak<Socket>>,
}

impl Mark {
    /// One at the start of a request with a body of this length.
    fn new(body: usize, may_begin: Box<dyn Fn() -> bool>) -> Self {
        Mark {
            body_left: Cell::new(body),
            head_end: Cell::new(0),
            written: Cell::new(false),
            begun: Cell::new(false),
            may_begin,
            socket: RefCell::default(),
        }
    }

    /// Takes note of bytes that the socket has taken.
    fn note(&self, bytes: &[u8]) {
        if self.written.get() {
            return;
        }
        let mut rest = bytes;
        while self.head_end.get() < 4 {
            let Some((byte, more)) = rest.split_first() else { return };
            let seen = self.head_end.get();
            self.head_end.set(match (byte, seen) {
                (b'\r', 0 | 2) | (b'\n', 1 | 3) => seen + 1,
                (b'\r', _) => 1,
                _ => 0,
            });
            rest = more;
        }
        self.body_left.set(self.body_left.get().saturating_sub(rest.len()));
        self.written.set(self.body_left.get() == 0);
    }
}

/// One TCP connection, which its pool shares with the registry of all of them.
#[derive(Debug)]
struct Socket {
    peer: SocketAddr,
    stream: RefCell<Option<TcpStream>>,
    busy: Cell<bool>,
    used: Cell<Instant>,
    open: Rc<Cell<usize>>,
}

impl Socket {
    /// Closes it at once; its pool sees an end of file and drops what is left.
    fn close(&self) {
        if self.stream.borrow_mut().take().is_some() {
            self.open.set(self.open.get() - 1);
        }
    }

    fn with<T>(
        &self,
        cx: &mut Context<'_>,
        f: impl FnOnce(Pin<&mut TcpStream>, &mut Context<'_>) -> T,
    ) -> Option<T> {
        self.stream.borrow_mut().as_mut().map(|s| f(Pin::new(s), cx))
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.close();
    }
}

/// A stream that tells the exchange in progress what was written.
#[derive(Debug)]
struct MarkedStream(Rc<Socket>);

fn closed() -> io::Error {
    io::Error::from(io::ErrorKind::NotConnected)
}

impl AsyncRead for MarkedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        // Closed under its pool: an end of file, upon which the pool drops it.
        self.0.with(cx, |s, cx| s.poll_read(cx, buf)).unwrap_or(Poll::Ready(Ok(())))
    }
}

impl AsyncWrite for MarkedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let mark = CURRENT.try_with(Rc::clone).ok();
        if let Some(mark) = mark.as_ref().filter(|m| !m.begun.get()) {
            // The last moment at which a node that drains meanwhile can still be spared.
            if !(mark.may_begin)() {
                return Poll::Ready(Err(io::Error::other("withdrawn")));
            }
            mark.begun.set(true);
            self.0.busy.set(true);
            *mark.socket.borrow_mut() = Rc::downgrade(&self.0);
        }
        let done = self.0.with(cx, |s, cx| s.poll_write(cx, buf)).unwrap_or(Poll::Ready(Err(closed())));
        if let (Poll::Ready(Ok(count)), Some(mark)) = (&done, mark) {
            mark.note(&buf[..*count]);
        }
        done
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.with(cx, |s, cx| s.poll_flush(cx)).unwrap_or(Poll::Ready(Ok(())))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.with(cx, |s, cx| s.poll_shutdown(cx)).unwrap_or(Poll::Ready(Ok(())))
    }
}

impl ActixStream for MarkedStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        let ready = self.0.with(cx, |s, cx| ActixStream::poll_read_ready(&*s, cx));
        ready.unwrap_or_else(|| Poll::Ready(Err(closed())))
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        let ready = self.0.with(cx, |s, cx| ActixStream::poll_write_ready(&*s, cx));
        ready.unwrap_or_else(|| Poll::Ready(Err(closed())))
    }
}

/// Opens the connections of one pool and knows all that are open.
struct Registry {
    sockets: RefCell<Vec<Weak<Socket>>>,
    open: Rc<Cell<usize>>,
    most: usize,
}

impl Registry {
    /// Closes the idle connections that `which` names and forgets those that are gone.
    fn close_idle(&self, which: impl Fn(&Socket) -> bool) {
        self.sockets.borrow_mut().retain(|socket| {
            let Some(socket) = socket.upgrade() else { return false };
            if !socket.busy.get() && which(&socket) {
                socket.close();
            }
            let open = socket.stream.borrow().is_some();
            open
        });
    }

    /// Makes room for one more connection, if need be by closing the one that stood idle longest. Closing all
    /// idle ones cost a handshake each soon after.
    fn make_room(&self) -> bool {
        if self.open.get() >= self.most {
            let sockets = self.sockets.borrow();
            let idle = sockets.iter().filter_map(Weak::upgrade);
            let idle = idle.filter(|s| !s.busy.get() && s.stream.borrow().is_some());
            if let Some(oldest) = idle.min_by_key(|s| s.used.get()) {
                oldest.close();
            }
        }
        self.open.get() < self.most
    }
}

#[derive(Clone)]
struct MarkedConnector(Rc<Registry>);

impl actix_service::Service<ConnectInfo<Uri>> for MarkedConnector {
    type Response = Connection<Uri, MarkedStream>;
    type Error = ConnectError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>>>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let registry = Rc::clone(&self.0);
        Box::pin(async move {
            let uri = info.request().clone();
            // Addresses only: there is no DNS to ask.
            let address = uri.authority().and_then(|a| a.as_str().parse::<SocketAddr>().ok());
            let peer = address.ok_or(ConnectError::Unresolved)?;
            if !registry.make_room() {
                return Err(ConnectError::Io(io::Error::other("no descriptor to spare")));
            }
            // Counted from here on, as a connection that is still coming up holds a descriptor, too.
            let socket = Rc::new(Socket {
                peer,
                stream: RefCell::new(None),
                busy: Cell::new(true),
                used: Cell::new(Instant::now()),
                open: Rc::clone(&registry.open),
            });
            let pending = Pending::new(&registry.open);
            let stream = TcpStream::connect(peer).await.map_err(ConnectError::Io)?;
            let _ = stream.set_nodelay(true);
            pending.keep();
            *socket.stream.borrow_mut() = Some(stream);
            registry.sockets.borrow_mut().push(Rc::downgrade(&socket));
            Ok(Connection::new(uri, MarkedStream(socket)))
        })
    }
}

/// A connection that is coming up, counted until it is given up.
struct Pending(Option<Rc<Cell<usize>>>);

impl Pending {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Pending(Some(Rc::clone(open)))
    }

    fn keep(mut self) {
        self.0 = None;
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if let Some(open) = self.0.take() {
            open.set(open.get() - 1);
        }
    }
}

/// A whole answer.
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Does it say that the request was not begun?
    pub not_started: bool,
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

/// An HTTP client whose connections are known one by one.
pub struct Exchanger {
    client: Client,
    registry: Rc<Registry>,
}

impl Exchanger {
    /// A client that connects within `dial`, keeps connections while idle for `idle` and holds `most`.
    pub fn new(dial: Duration, idle: Duration, most: usize) -> Self {
        let registry = Rc::new(Registry { sockets: RefCell::default(), open: Rc::default(), most });
        let connector = awc::Connector::new()
            .connector(MarkedConnector(Rc::clone(&registry)))
            .timeout(dial)
            .limit(0) // the registry's limit denies at once where this one would hold requests back
            .conn_keep_alive(idle)
            .conn_lifetime(Duration::from_secs(u64::from(u32::MAX)));
        let client = awc::ClientBuilder::new()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        actix_rt::spawn(prune(Rc::downgrade(&registry), idle));
        Exchanger { client, registry }
    }

    /// The client to build requests with.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Closes idle connections to a peer.
    pub fn close_idle(&self, peer: SocketAddr) {
        self.registry.close_idle(|s| s.peer == peer);
    }

    /// Sends a request once and waits for the whole answer. However it ends but with a whole answer, the
    /// connection is closed when this returns. `called_off` ends it early.
    pub async fn exchange(
        &self,
        request: ClientRequest,
        body: Bytes,
        bounds: Bounds,
        called_off: impl Future<Output = ()>,
    ) -> (ConnectionEnd, Option<Reply>) {
        let mark = Rc::new(Mark::new(body.len(), bounds.may_begin));
        let sent = CURRENT.scope(Rc::clone(&mark), async move {
            // No body is not an empty body: a request without one goes on as it came.
            let sent = if body.is_empty() { request.send() } else { request.send_body(body) };
            let mut answer = sent.await.map_err(Failure::of)?;
            let status = answer.status();
            // After such a status awc would wait for a stream that never ends.
            if status.is_informational() {
                return Err(Failure::Garbled);
            }
            let not_started = answer.headers().get("not-started").is_some_and(|v| v.as_bytes() == b"1");
            let length = answer.headers().get("content-length").and_then(|v| v.to_str().ok()?.parse().ok());
            let body = answer.body().limit(BODY_MOST).await.map_err(Failure::of_body)?;
            // awc takes a body that breaks off for a whole one.
            if length.is_some_and(|length: usize| length != body.len()) {
                return Err(Failure::Broken);
            }
            Ok(Reply { status, not_started, body })
        });
        let result = tokio::select! {
            biased;
            () = called_off => Err(Failure::CalledOff),
            result = sent => result,
            () = tokio::time::sleep(bounds.within) => Err(Failure::TimedOut),
        };
        let written = mark.written.get();
        if let Some(socket) = mark.socket.borrow().upgrade() {
            // Guards against a second copy: where there is no whole answer, the node must see the connection
            // end before the next dispatch starts, whoever still holds it.
            if result.is_err() {
                socket.close();
            }
            socket.busy.set(false);
            socket.used.set(Instant::now());
        }
        match result {
            Ok(reply) if reply.status == StatusCode::OK => (ConnectionEnd::Answered, Some(reply)),
            Ok(reply) => (ConnectionEnd::Declined, Some(reply)),
            Err(Failure::CalledOff) => (ConnectionEnd::CalledOff { written }, None),
            Err(Failure::TimedOut) => (ConnectionEnd::TimedOut { written }, None),
            Err(_) if !mark.begun.get() && !(mark.may_begin)() => (ConnectionEnd::Withdrawn, None),
            Err(_) if !written => (ConnectionEnd::NeverWritten, None),
            Err(Failure::Garbled) => (ConnectionEnd::Garbled, None),
            Err(Failure::Broken) => (ConnectionEnd::Broken, None),
        }
    }
}

/// Closes connections that stood idle for too long, for as long as there is a registry: the pool does so only
/// when it next looks at them, and meanwhile each holds a descriptor.
async fn prune(registry: Weak<Registry>, idle: Duration) {
    let mut every = tokio::time::interval(PRUNE_EVERY);
    loop {
        every.tick().await;
        let Some(registry) = registry.upgrade() else { return };
        registry.close_idle(|s| s.used.get().elapsed() > idle);
    }
}

/// Why there is no whole answer.
enum Failure {
    CalledOff,
    TimedOut,
    Garbled,
    Broken,
}

impl Failure {
    fn of(error: SendRequestError) -> Self {
        match error {
            SendRequestError::Response(e) if !matches!(e, actix_http::error::ParseError::Io(_)) => {
                Failure::Garbled
            }
            _ => Failure::Broken,
        }
    }

    fn of_body(error: PayloadError) -> Self {
        match error {
            PayloadError::Overflow | PayloadError::EncodingCorrupted => Failure::Garbled,
            _ => Failure::Broken,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::peer::{Peer, Reply, BOUND};

    /// Guards against a `once` request repeated wrongly: it has not run for certain until its last byte is out.
    #[test]
    fn a_request_is_written_with_its_last_byte_and_no_sooner() {
        let request = b"POST /issue HTTP/1.1\r\nA: \r\r\n\r\nbo\r\n\r\ndy";
        for step in 1..request.len() {
            let mark = Mark::new(8, Box::new(|| true));
            let (whole, last) = request.split_at(request.len() - 1);
            whole.chunks(step).for_each(|part| mark.note(part));
            assert!(!mark.written.get());
            mark.note(last);
            assert!(mark.written.get());
        }
    }

    /// Guards the nodes that drain while a connection comes up, and the limit on descriptors.
    #[test]
    fn nothing_is_written_without_leave_or_without_room() {
        let peer = Peer::start(|_| Reply::Ok("drafted"));
        let end = |most, leave| {
            actix_rt::System::new().block_on(async {
                let exchanger = Exchanger::new(BOUND, BOUND, most);
                let request = exchanger.client().get(format!("http://{}/preview", peer.address));
                let bounds = Bounds { within: BOUND, may_begin: Box::new(move || leave) };
                exchanger.exchange(request, Bytes::new(), bounds, std::future::pending()).await.0
            })
        };
        assert_eq!((end(1, false), end(0, true)), (ConnectionEnd::Withdrawn, ConnectionEnd::NeverWritten));
        assert_eq!(peer.requests().len(), 0);
        assert_eq!((end(1, true), peer.requests().len()), (ConnectionEnd::Answered, 1));
    }

    /// Guards live connections where room is short: only the one that stood idle longest gives way.
    #[test]
    fn room_is_made_by_the_connection_that_stood_idle_longest() {
        let peers = [(); 3].map(|()| Peer::start(|_| Reply::Ok("drafted")));
        actix_rt::System::new().block_on(async {
            let exchanger = Exchanger::new(BOUND, BOUND, 2);
            for peer in &peers {
                let request = exchanger.client().get(format!("http://{}/preview", peer.address));
                let bounds = Bounds { within: BOUND, may_begin: Box::new(|| true) };
                let end = exchanger.exchange(request, Bytes::new(), bounds, std::future::pending()).await.0;
                assert_eq!(end, ConnectionEnd::Answered);
            }
            let sockets = exchanger.registry.sockets.borrow();
            let open = sockets.iter().filter_map(Weak::upgrade).filter(|s| s.stream.borrow().is_some());
            let open: Vec<_> = open.map(|s| s.peer).collect();
            assert_eq!(open, [peers[1].address, peers[2].address]);
        });
    }
}
