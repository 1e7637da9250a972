//! Scripted peers on ephemeral loopback ports: they take the place of nodes, discovery and the quota counter.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Timeout of every wait. No awaited event takes nearly as long, so a test that reaches the timeout has failed.
pub const BOUND: Duration = Duration::from_secs(30);

/// A received HTTP message.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    /// Reads a message. Returns `None` if the connection ends or times out before the message is complete.
    pub fn read(from: &mut BufReader<TcpStream>) -> Option<Message> {
        let mut read_line = || {
            let mut text = String::new();
            from.read_line(&mut text).ok().filter(|n| *n > 0).map(|_| text.trim_end().to_owned())
        };
        let start = read_line()?;
        let mut headers = Vec::new();
        loop {
            let text = read_line()?;
            let Some((name, value)) = text.split_once(':') else { break };
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
        let mut message = Message { start, headers, body: String::new() };
        let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        from.read_exact(&mut body).ok()?;
        message.body = String::from_utf8(body).expect("UTF-8");
        Some(message)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The status or the request line without the HTTP version, followed by the body in brackets.
    pub fn summary(&self) -> String {
        let start = self.start.trim_start_matches("HTTP/1.1 ").trim_end_matches(" HTTP/1.1");
        format!("{start} [{}]", self.body)
    }
}

/// What a scripted peer does with a request.
#[derive(Clone, Debug)]
pub enum ScriptedReply {
    /// Writes this body with status 200.
    Ok(&'static str),
    /// Writes this text, which need not be valid HTTP.
    Raw(String),
    /// Writes a body with status 200 as soon as the test sends it; see [`delayed_reply`].
    Delayed(Arc<Mutex<Receiver<String>>>),
    /// Writes two texts, each with a call of its own. The kernel may delay the second until the first is acknowledged.
    TwoParts([String; 2]),
    /// Writes this text and closes the connection.
    ThenClose(&'static str),
    /// Closes the connection.
    Close,
    /// Sends nothing until the gatekeeper closes the connection.
    NoResponse,
}

/// Returns a reply that is delayed until the test sends its body over the returned channel.
pub fn delayed_reply() -> (Sender<String>, ScriptedReply) {
    let (sender, receiver) = channel();
    (sender, ScriptedReply::Delayed(Arc::new(Mutex::new(receiver))))
}

/// A response with status 200 and this body.
pub fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// An event on any connection of a scripted peer.
#[derive(Debug)]
pub enum PeerEvent {
    Request(Message),
    /// The connection ended.
    Closed,
}

/// A server that replies by script and records what it receives. Dropping it stops only the record.
pub struct ScriptedPeer {
    pub address: SocketAddr,
    events: Receiver<PeerEvent>,
}

impl ScriptedPeer {
    /// Starts a peer. `script` decides the reply to each request; it is called from a thread for each connection.
    pub fn start(script: impl Fn(&Message) -> ScriptedReply + Send + Sync + 'static) -> ScriptedPeer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, events) = channel();
        let script = Arc::new(script);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (sender, script) = (sender.clone(), Arc::clone(&script));
                std::thread::spawn(move || serve_connection(stream, &*script, &sender));
            }
        });
        ScriptedPeer { address, events }
    }

    /// Waits for the next event, for at most [`BOUND`].
    pub fn next_event(&self) -> PeerEvent {
        self.events.recv_timeout(BOUND).expect("the peer receives a request or a close")
    }

    /// Waits for the next request; skips closed connections.
    pub fn next_request(&self) -> Message {
        loop {
            if let PeerEvent::Request(message) = self.next_event() {
                return message;
            }
        }
    }

    /// Waits for the next request, for at most `timeout`; skips closed connections.
    pub fn next_request_within(&self, timeout: Duration) -> Option<Message> {
        let deadline = Instant::now() + timeout;
        loop {
            match self.events.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
                Ok(PeerEvent::Request(message)) => return Some(message),
                Ok(PeerEvent::Closed) => {}
                Err(_) => return None,
            }
        }
    }

    /// Summaries of the requests so far that were not returned before.
    pub fn take_requests(&self) -> Vec<String> {
        let summary = |event| match event {
            PeerEvent::Request(message) => Some(message.summary()),
            PeerEvent::Closed => None,
        };
        self.events.try_iter().filter_map(summary).collect()
    }
}

/// Replies to the requests of one connection until it ends.
fn serve_connection(
    stream: TcpStream,
    script: &dyn Fn(&Message) -> ScriptedReply,
    events: &Sender<PeerEvent>,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
    let mut writer = stream;
    while let Some(message) = Message::read(&mut reader) {
        let reply = script(&message);
        let _ = events.send(PeerEvent::Request(message));
        let text = match reply {
            ScriptedReply::Ok(body) => ok_response(body),
            ScriptedReply::Raw(text) => text,
            ScriptedReply::TwoParts([first, second]) => {
                let _ = writer.write_all(first.as_bytes());
                second
            }
            ScriptedReply::Delayed(body) => {
                match body.lock().expect("no receiver panics").recv_timeout(BOUND) {
                    Ok(body) => ok_response(&body),
                    Err(_) => return,
                }
            }
            ScriptedReply::ThenClose(text) => {
                let _ = writer.write_all(text.as_bytes());
                return drop(writer.shutdown(Shutdown::Both));
            }
            ScriptedReply::Close => return drop(writer.shutdown(Shutdown::Both)),
            ScriptedReply::NoResponse => {
                let _ = reader.read(&mut [0]);
                break;
            }
        };
        if writer.write_all(text.as_bytes()).is_err() {
            break;
        }
    }
    let _ = events.send(PeerEvent::Closed);
}
