//! Network links between gatekeepers, with faults. In front of each gatekeeper stands a proxy at which all other
//! members reach it by datagram and by connection. The proxy knows which member sends and treats its traffic as the
//! test configures. Random faults are drawn from a seed.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How a link treats the traffic from one member to another.
#[derive(Clone, Copy, Debug, PartialEq)]
#[repr(u8)]
pub enum LinkBehavior {
    /// Forwards everything.
    Forward,
    /// Drops requests, responses and datagrams without notice to either side.
    Cut,
    /// Forwards requests and datagrams, and drops responses.
    CutResponses,
    /// Breaks connections after some bytes of a response. Datagrams pass.
    BreakConnections,
    /// Delays everything by [`DELAY`].
    Delay,
    /// Drops a third of the datagrams, and breaks a third of the connections at each message.
    Lossy,
}

/// The member that sends datagrams from each port.
pub type SenderPorts = Arc<Mutex<HashMap<u16, usize>>>;

struct ProxyState {
    /// Behavior for each sender.
    behaviors: Vec<AtomicU8>,
    destination: Mutex<Option<SocketAddr>>,
    sender_ports: SenderPorts,
    random: AtomicU64,
}

impl ProxyState {
    fn is(&self, from: usize, behavior: LinkBehavior) -> bool {
        self.behaviors[from].load(Ordering::SeqCst) == behavior as u8
    }

    /// Returns true in a third of the calls, drawn from the seed.
    fn one_in_three(&self) -> bool {
        let mut z = self.random.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (z ^ (z >> 27)).is_multiple_of(3)
    }
}

/// Proxy at which all other members reach one gatekeeper.
pub struct LinkProxy {
    pub address: SocketAddr,
    state: Arc<ProxyState>,
}

const DELAY: Duration = Duration::from_millis(60);

impl LinkProxy {
    /// Starts a proxy in a fleet of this many members. It drops everything until [`LinkProxy::set_destination`].
    pub fn start(members: usize, sender_ports: SenderPorts, seed: u64) -> LinkProxy {
        let (listener, socket) = loop {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            if let Ok(socket) = UdpSocket::bind(listener.local_addr().expect("an address")) {
                break (listener, socket);
            }
        };
        let address = listener.local_addr().expect("an address");
        let behaviors = (0..members).map(|_| AtomicU8::new(LinkBehavior::Forward as u8)).collect();
        let state = Arc::new(ProxyState {
            behaviors,
            destination: Mutex::new(None),
            sender_ports,
            random: AtomicU64::new(seed),
        });
        let proxy = LinkProxy { address, state: Arc::clone(&state) };
        let datagram_state = Arc::clone(&state);
        std::thread::spawn(move || forward_datagrams(&socket, &datagram_state));
        std::thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let state = Arc::clone(&state);
                std::thread::spawn(move || forward_connection(client, &state));
            }
        });
        proxy
    }

    /// Forwards to this address from now on.
    pub fn set_destination(&self, to: SocketAddr) {
        *self.state.destination.lock().expect("not poisoned") = Some(to);
    }

    /// Treats the traffic from this member so from now on.
    pub fn set_behavior(&self, from: usize, behavior: LinkBehavior) {
        self.state.behaviors[from].store(behavior as u8, Ordering::SeqCst);
    }
}

fn forward_datagrams(socket: &UdpSocket, state: &ProxyState) {
    let mut bytes = [0; 2048];
    loop {
        let Ok((count, source)) = socket.recv_from(&mut bytes) else { continue };
        let from = state.sender_ports.lock().expect("not poisoned").get(&source.port()).copied();
        let to = *state.destination.lock().expect("not poisoned");
        let (Some(from), Some(to)) = (from, to) else { continue };
        if state.is(from, LinkBehavior::Cut) || state.is(from, LinkBehavior::Lossy) && state.one_in_three() {
            continue;
        }
        if state.is(from, LinkBehavior::Delay) {
            let (socket, datagram) = (socket.try_clone().expect("a handle"), bytes[..count].to_vec());
            std::thread::spawn(move || {
                std::thread::sleep(DELAY);
                let _ = socket.send_to(&datagram, to);
            });
        } else {
            let _ = socket.send_to(&bytes[..count], to);
        }
    }
}

/// Forwards a connection. The header `fleet-from` of its first request names the sender.
fn forward_connection(mut client: TcpStream, state: &Arc<ProxyState>) {
    let (mut head, mut byte) = (Vec::new(), [0; 1]);
    while !head.ends_with(b"\r\n\r\n") && client.read(&mut byte).is_ok_and(|n| n == 1) {
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).to_lowercase();
    let from =
        text.split("fleet-from: g").nth(1).and_then(|rest| rest.split("\r\n").next()?.parse::<usize>().ok());
    let to = *state.destination.lock().expect("not poisoned");
    let (Some(from), Some(mut server)) = (from, to.and_then(|to| TcpStream::connect(to).ok())) else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    if delay_and_check(state, from, Direction::Request) && server.write_all(&head).is_err() {
        return;
    }
    if let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) {
        let response_state = Arc::clone(state);
        std::thread::spawn(move || {
            forward_bytes(server_copy, client_copy, &response_state, from, Direction::Response);
        });
        forward_bytes(client, server, state, from, Direction::Request);
    }
}

/// Direction of bytes on a connection.
#[derive(Clone, Copy, PartialEq)]
enum Direction {
    Request,
    Response,
}

/// Applies the delay of a link; returns whether the link forwards bytes in this direction.
fn delay_and_check(state: &ProxyState, from: usize, direction: Direction) -> bool {
    if state.is(from, LinkBehavior::Delay) {
        std::thread::sleep(DELAY);
    }
    !(state.is(from, LinkBehavior::Cut)
        || state.is(from, LinkBehavior::CutResponses) && direction == Direction::Response)
}

fn forward_bytes(
    mut source: TcpStream,
    mut to: TcpStream,
    state: &ProxyState,
    from: usize,
    direction: Direction,
) {
    let mut bytes = [0; 65536];
    while let Ok(count) = source.read(&mut bytes) {
        let breaks = state.is(from, LinkBehavior::BreakConnections) && direction == Direction::Response
            || state.is(from, LinkBehavior::Lossy) && state.one_in_three();
        let sent = if breaks { count.min(40) } else { count };
        if count == 0
            || delay_and_check(state, from, direction) && to.write_all(&bytes[..sent]).is_err()
            || breaks
        {
            break;
        }
    }
    let _ = (source.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
