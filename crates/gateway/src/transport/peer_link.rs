//! Links between the system's own processes: TCP connections that carry [`PeerMessage`]s. A link that goes down is
//! opened again by the side that opened it; messages of one connection are never delivered on the next.

use crate::protocol::{self, PeerMessage};
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::timeout;

/// The first attempt to connect is given up after this: a machine without power does not refuse it, and may be back
/// soon...
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// ...each further one after twice as long, up to this: the machine may also be far away.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time between two attempts to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// A connection on which nothing comes for so long is given up. Peers ping each other more often.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1600);
/// Time between two attempts to accept a connection, where none can be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// A buffer that grew beyond this is freed once it is empty: complete configurations are long and rare. Bytes.
const MAX_KEPT_BUFFER: usize = 64 * 1024;
/// Room made in a buffer before each read: bytes.
const READ_BYTES: usize = 4096;

/// What happens on a link.
pub enum LinkEvent {
    /// A connection is up.
    Up,
    /// A message came.
    Received(PeerMessage),
    /// The connection is down.
    Down,
}

/// Makes the events of a state machine out of those of its links.
pub struct LinkEventMapper<E> {
    /// For [`LinkEvent::Up`].
    pub up: fn(IpAddr) -> E,
    /// For [`LinkEvent::Received`].
    pub received: fn(IpAddr, PeerMessage) -> E,
    /// For [`LinkEvent::Down`].
    pub down: fn(IpAddr) -> E,
}

impl<E> LinkEventMapper<E> {
    /// The callback for the link to this machine; `handle` gets the mapped events.
    pub fn for_peer(self, ip: IpAddr, mut handle: impl FnMut(E)) -> impl FnMut(LinkEvent) {
        move |event| {
            handle(match event {
                LinkEvent::Up => (self.up)(ip),
                LinkEvent::Received(message) => (self.received)(ip, message),
                LinkEvent::Down => (self.down)(ip),
            });
        }
    }
}

fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = socket2::SockRef::from(stream);
    #[cfg(target_os = "linux")]
    let _ = socket.set_tcp_user_timeout(Some(RECEIVE_TIMEOUT));
}

/// Receives and sends messages on a connection until it ends, or nothing comes for [`RECEIVE_TIMEOUT`].
async fn run_connection(
    stream: TcpStream,
    outgoing: &mut UnboundedReceiver<PeerMessage>,
    received: impl FnMut(PeerMessage),
) -> io::Result<()> {
    set_socket_options(&stream);
    let (reader, writer) = stream.into_split();
    tokio::select! {
        result = receive_messages(reader, received) => result,
        result = send_messages(writer, outgoing) => result,
    }
}

/// Decodes messages until the connection ends, which is an error like any other.
async fn receive_messages(
    mut reader: OwnedReadHalf,
    mut received: impl FnMut(PeerMessage),
) -> io::Result<()> {
    let mut buffer = BytesMut::with_capacity(READ_BYTES);
    loop {
        while let Some(message) =
            protocol::decode(&mut buffer).map_err(|error| io::Error::other(error.to_string()))?
        {
            received(message);
        }
        if buffer.is_empty() && buffer.capacity() > MAX_KEPT_BUFFER {
            buffer = BytesMut::new();
        }
        buffer.reserve(READ_BYTES);
        match timeout(RECEIVE_TIMEOUT, reader.read_buf(&mut buffer)).await {
            Ok(Ok(0)) | Err(_) => return Err(io::Error::from(io::ErrorKind::TimedOut)),
            Ok(result) => result?,
        };
    }
}

/// Sends messages until their queue is closed: all that wait in one write.
async fn send_messages(
    mut writer: OwnedWriteHalf,
    outgoing: &mut UnboundedReceiver<PeerMessage>,
) -> io::Result<()> {
    let mut bytes = Vec::new();
    while let Some(message) = outgoing.recv().await {
        bytes.clear();
        bytes.extend(protocol::encode(&message));
        while let Ok(message) = outgoing.try_recv() {
            bytes.extend(protocol::encode(&message));
        }
        writer.write_all(&bytes).await?;
        if bytes.capacity() > MAX_KEPT_BUFFER {
            bytes = Vec::new();
        }
    }
    Ok(())
}

/// Keeps a connection to `address` open until the queue of outgoing messages is closed.
async fn keep_connected(
    address: SocketAddr,
    mut outgoing: UnboundedReceiver<PeerMessage>,
    mut on_event: impl FnMut(LinkEvent),
) {
    let mut connect_timeout = MIN_CONNECT_TIMEOUT;
    loop {
        let connected = timeout(connect_timeout, TcpStream::connect(address)).await;
        connect_timeout = match connected {
            Err(_) if connect_timeout < MAX_CONNECT_TIMEOUT => 2 * connect_timeout,
            _ => MIN_CONNECT_TIMEOUT,
        };
        if let Ok(Ok(stream)) = connected {
            // Messages for an earlier connection are stale.
            while outgoing.try_recv().is_ok() {}
            if outgoing.is_closed() {
                return;
            }
            on_event(LinkEvent::Up);
            let received = |message| on_event(LinkEvent::Received(message));
            let ended = run_connection(stream, &mut outgoing, received).await;
            tracing::debug!(%address, error = ended.err().map(|e| e.to_string()), "peer link down");
            on_event(LinkEvent::Down);
        }
        if outgoing.is_closed() {
            return;
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Accepts the next connection. A failure, such as too few descriptors, is logged and retried.
pub async fn accept_connection(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                tracing::warn!(%error, "accept failed");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

/// The outgoing side of a link.
struct OutgoingLink {
    sender: UnboundedSender<PeerMessage>,
    is_up: Rc<Cell<bool>>,
}

/// The links that this process keeps open to core machines.
pub struct PeerLinks {
    links: RefCell<HashMap<IpAddr, OutgoingLink>>,
    port: u16,
}

impl PeerLinks {
    /// No links yet. `port` is the internal port of all core machines.
    pub fn new(port: u16) -> Self {
        PeerLinks { links: RefCell::default(), port }
    }

    /// Keeps a link to this machine open from now on, and passes what happens on it to `on_event`. Does nothing if it
    /// is kept open already.
    pub fn open(&self, ip: IpAddr, mut on_event: impl FnMut(LinkEvent) + 'static) {
        if self.links.borrow().contains_key(&ip) {
            return;
        }
        let (sender, outgoing) = unbounded_channel();
        let is_up = Rc::new(Cell::new(false));
        self.links.borrow_mut().insert(ip, OutgoingLink { sender, is_up: Rc::clone(&is_up) });
        let on_event = move |event: LinkEvent| {
            match event {
                LinkEvent::Up => is_up.set(true),
                LinkEvent::Down => is_up.set(false),
                LinkEvent::Received(_) => {}
            }
            on_event(event);
        };
        tokio::task::spawn_local(keep_connected(SocketAddr::new(ip, self.port), outgoing, on_event));
    }

    /// Closes the link to this machine for good: its task ends with the queue of outgoing messages.
    pub fn close(&self, ip: IpAddr) {
        self.links.borrow_mut().remove(&ip);
    }

    /// Sends a message to this machine. Dropped if the link is not up; lost if it goes down before it is written.
    pub fn send(&self, ip: IpAddr, message: PeerMessage) {
        if let Some(link) = self.links.borrow().get(&ip).filter(|link| link.is_up.get()) {
            let _ = link.sender.send(message);
        }
    }
}

/// Accepts links of other processes, for ever. Each gets a number; `opened` makes the queue of its outgoing messages,
/// and `on_event` gets what happens on it.
pub async fn listen(
    listener: TcpListener,
    mut opened: impl FnMut(u64) -> UnboundedReceiver<PeerMessage>,
    on_event: impl Fn(u64, LinkEvent) + Clone + 'static,
) {
    let mut number = 0;
    loop {
        let stream = accept_connection(&listener).await;
        number += 1;
        let (mut outgoing, on_event) = (opened(number), on_event.clone());
        tokio::task::spawn_local(async move {
            let received = |message| on_event(number, LinkEvent::Received(message));
            let _ = run_connection(stream, &mut outgoing, received).await;
            on_event(number, LinkEvent::Down);
        });
    }
}
