//! Links between the gateway's own processes: TCP connections that carry [`PeerMessage`]s. The side that opened a link
//! reconnects it when it goes down. Messages queued for one connection are never delivered on the next.

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

/// Timeout of the first attempt to connect. A machine without power does not refuse connections and may be back soon, so
/// the first timeouts are short.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Upper bound of the timeout to connect, which doubles with each attempt that times out. A distant machine may need
/// more than [`MIN_CONNECT_TIMEOUT`] to answer.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Delay between two attempts to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// A connection on which no byte is received for this time is closed. Peers ping each other more often than this.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1600);
/// Delay after a failed attempt to accept a connection.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// Capacity in bytes above which an empty buffer is freed. Complete configurations are long but rare, so their buffers
/// are not kept.
const MAX_KEPT_BUFFER_BYTES: usize = 64 * 1024;
/// Minimum free capacity of the read buffer before each read, in bytes.
const READ_BYTES: usize = 4096;

/// A change of a link's state, or a message received on it.
pub enum LinkEvent {
    /// The connection is established.
    Up,
    /// A message was received.
    Received(PeerMessage),
    /// The connection has ended.
    Down,
}

/// Maps [`LinkEvent`]s to the events of a state machine.
pub struct LinkEventMapper<E> {
    /// Maps [`LinkEvent::Up`].
    pub up: fn(IpAddr) -> E,
    /// Maps [`LinkEvent::Received`].
    pub received: fn(IpAddr, PeerMessage) -> E,
    /// Maps [`LinkEvent::Down`].
    pub down: fn(IpAddr) -> E,
}

impl<E> LinkEventMapper<E> {
    /// The callback for the link to the machine `ip`; it passes the mapped events to `handle`.
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

/// Receives and sends messages on a connection until it ends or no byte is received for [`RECEIVE_TIMEOUT`].
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

/// Decodes messages until the connection ends or a message can't be decoded; both are returned as errors.
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
        if buffer.is_empty() && buffer.capacity() > MAX_KEPT_BUFFER_BYTES {
            buffer = BytesMut::new();
        }
        buffer.reserve(READ_BYTES);
        match timeout(RECEIVE_TIMEOUT, reader.read_buf(&mut buffer)).await {
            Ok(Ok(0)) | Err(_) => return Err(io::Error::from(io::ErrorKind::TimedOut)),
            Ok(result) => result?,
        };
    }
}

/// Sends messages until their queue is closed. All queued messages are combined into one write.
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
        if bytes.capacity() > MAX_KEPT_BUFFER_BYTES {
            bytes = Vec::new();
        }
    }
    Ok(())
}

/// Keeps a connection to `address` open, reconnecting after failures, until the queue of outgoing messages is closed.
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
            // Messages queued for an earlier connection are stale.
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

/// Accepts the next connection. A failure, such as a lack of file descriptors, is logged and retried.
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

/// The outgoing links of this process to core machines.
pub struct PeerLinks {
    links: RefCell<HashMap<IpAddr, OutgoingLink>>,
    port: u16,
}

impl PeerLinks {
    /// Creates a set without links. `port` is the internal port of all core machines.
    pub fn new(port: u16) -> Self {
        PeerLinks { links: RefCell::default(), port }
    }

    /// Opens a link to the machine `ip`, keeps it open, and passes its events to `on_event`. Does nothing if the link
    /// exists already.
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

    /// Closes the link to the machine `ip` and removes it. The link's task ends when the queue of outgoing messages is
    /// closed.
    pub fn close(&self, ip: IpAddr) {
        self.links.borrow_mut().remove(&ip);
    }

    /// Sends a message to the machine `ip`. The message is dropped if the link is not up, and lost if the link goes down
    /// before the message is written.
    pub fn send(&self, ip: IpAddr, message: PeerMessage) {
        if let Some(link) = self.links.borrow().get(&ip).filter(|link| link.is_up.get()) {
            let _ = link.sender.send(message);
        }
    }
}

/// Accepts links from other processes; never returns. Each link is numbered. `opened` creates the queue of its outgoing
/// messages, and `on_event` receives its events.
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
