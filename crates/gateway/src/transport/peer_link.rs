//! Owns connections between the system's own processes: opens them, opens them again, cuts messages out of bytes. It
//! must never know what a message means.

use crate::protocol::{self, PeerMessage};
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::timeout;

/// A connection comes up within this, at first: a machine without power says nothing, and may have it again soon...
const DIAL_FIRST: Duration = Duration::from_millis(150);
/// ...and within twice as long each time after that, up to this: it may also be far away.
const DIAL_LAST: Duration = Duration::from_millis(1200);
/// The next try, after one that failed.
const AGAIN: Duration = Duration::from_millis(100);
/// The other side says something this often, or the connection is given up.
const SILENCE: Duration = Duration::from_millis(1600);

/// A buffer that had to grow beyond this is given back once it is empty: whole configurations are long and rare.
const BUFFER_KEPT: usize = 64 * 1024;

/// What happens on a connection.
pub enum LinkEvent {
    /// It is up.
    Up,
    /// A message came.
    Received(PeerMessage),
    /// It is down.
    Down,
}

/// What happens on the connection to a machine, as events of whoever keeps it.
pub struct LinkEventMapper<E> {
    /// It is up.
    pub up: fn(IpAddr) -> E,
    /// A message came.
    pub received: fn(IpAddr, PeerMessage) -> E,
    /// It is down.
    pub down: fn(IpAddr) -> E,
}

impl<E> LinkEventMapper<E> {
    /// Hands them on.
    pub fn for_peer(self, ip: IpAddr, mut handle: impl FnMut(E)) -> impl FnMut(LinkEvent) {
        move |happens| {
            handle(match happens {
                LinkEvent::Up => (self.up)(ip),
                LinkEvent::Received(msg) => (self.received)(ip, msg),
                LinkEvent::Down => (self.down)(ip),
            });
        }
    }
}

fn tune(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = socket2::SockRef::from(stream);
    #[cfg(target_os = "linux")]
    let _ = socket.set_tcp_user_timeout(Some(SILENCE));
}

/// Reads messages and writes what is to be said until the connection ends or nothing is heard for too long.
async fn converse(
    stream: TcpStream,
    outgoing: &mut UnboundedReceiver<PeerMessage>,
    silence: Duration,
    mut heard: impl FnMut(PeerMessage),
) -> io::Result<()> {
    tune(&stream);
    let (mut reader, mut writer) = stream.into_split();
    let read = async {
        let mut buffer = BytesMut::with_capacity(4096);
        loop {
            while let Some(msg) =
                protocol::decode(&mut buffer).map_err(|e| io::Error::other(e.to_string()))?
            {
                heard(msg);
            }
            if buffer.is_empty() && buffer.capacity() > BUFFER_KEPT {
                buffer = BytesMut::new();
            }
            buffer.reserve(4096);
            match timeout(silence, reader.read_buf(&mut buffer)).await {
                Ok(Ok(0)) | Err(_) => return Err(io::Error::from(io::ErrorKind::TimedOut)),
                Ok(result) => result?,
            };
        }
    };
    let write = async {
        let mut out = Vec::new();
        while let Some(msg) = outgoing.recv().await {
            out.clear();
            out.extend(protocol::encode(&msg));
            while let Ok(msg) = outgoing.try_recv() {
                out.extend(protocol::encode(&msg));
            }
            writer.write_all(&out).await?;
            if out.capacity() > BUFFER_KEPT {
                out = Vec::new();
            }
        }
        Ok(())
    };
    tokio::select! {
        result = read => result,
        result = write => result,
    }
}

/// Keeps a connection open for ever.
async fn keep(
    address: SocketAddr,
    mut outgoing: UnboundedReceiver<PeerMessage>,
    mut happens: impl FnMut(LinkEvent),
) {
    let mut dial = DIAL_FIRST;
    loop {
        let dialled = timeout(dial, TcpStream::connect(address)).await;
        dial = if dialled.is_err() && dial < DIAL_LAST { 2 * dial } else { DIAL_FIRST };
        if let Ok(Ok(stream)) = dialled {
            // What was to be said on an earlier connection is stale.
            while outgoing.try_recv().is_ok() {}
            if outgoing.is_closed() {
                return;
            }
            happens(LinkEvent::Up);
            let ended =
                converse(stream, &mut outgoing, SILENCE, |msg| happens(LinkEvent::Received(msg))).await;
            tracing::debug!(%address, error = ended.err().map(|e| e.to_string()), "link down");
            happens(LinkEvent::Down);
        }
        if outgoing.is_closed() {
            return;
        }
        tokio::time::sleep(AGAIN).await;
    }
}

/// The next connection that somebody opens; where none can be taken now, it is tried again.
pub async fn accept_connection(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                tracing::warn!(%error, "accept failed");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// What is to be said to a machine, and whether its connection is up: what is said while it is not is nobody's.
struct Queue {
    sender: UnboundedSender<PeerMessage>,
    up: Rc<Cell<bool>>,
}

/// The connections that this process keeps open to core machines.
pub struct PeerLinks {
    queues: RefCell<HashMap<IpAddr, Queue>>,
    port: u16,
}

impl PeerLinks {
    /// None yet; core machines hear on this port.
    pub fn new(port: u16) -> Self {
        PeerLinks { queues: RefCell::default(), port }
    }

    /// Keeps a connection to this machine open from now on.
    pub fn open(&self, ip: IpAddr, mut happens: impl FnMut(LinkEvent) + 'static) {
        if self.queues.borrow().contains_key(&ip) {
            return;
        }
        let (sender, outgoing) = unbounded_channel();
        let up = Rc::new(Cell::new(false));
        let noted = Rc::clone(&up);
        let happens = move |what: LinkEvent| {
            match what {
                LinkEvent::Up => noted.set(true),
                LinkEvent::Down => noted.set(false),
                LinkEvent::Received(_) => {}
            }
            happens(what);
        };
        self.queues.borrow_mut().insert(ip, Queue { sender, up });
        tokio::task::spawn_local(keep(SocketAddr::new(ip, self.port), outgoing, happens));
    }

    /// Ends the connection to this machine, and opens no more.
    pub fn close(&self, ip: IpAddr) {
        // The one that keeps it open ends with its queue.
        self.queues.borrow_mut().remove(&ip);
    }

    /// Says something to it.
    pub fn send(&self, ip: IpAddr, msg: PeerMessage) {
        if let Some(queue) = self.queues.borrow().get(&ip).filter(|q| q.up.get()) {
            let _ = queue.sender.send(msg);
        }
    }
}

/// Takes connections for ever. `opened` makes the queue of what is to be said on one.
pub async fn listen(
    listener: TcpListener,
    mut opened: impl FnMut(u64) -> UnboundedReceiver<PeerMessage>,
    happens: impl Fn(u64, LinkEvent) + Clone + 'static,
) {
    let mut number = 0;
    loop {
        let stream = accept_connection(&listener).await;
        number += 1;
        let (mut outgoing, happens) = (opened(number), happens.clone());
        tokio::task::spawn_local(async move {
            let heard = |msg| happens(number, LinkEvent::Received(msg));
            let _ = converse(stream, &mut outgoing, SILENCE, heard).await;
            happens(number, LinkEvent::Down);
        });
    }
}
