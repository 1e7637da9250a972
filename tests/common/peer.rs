//! Scripted peers on loopback and ephemeral ports, in place of nodes, discovery and the quota counter.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Bound of every wait, far more than anything here takes: past it, the awaited event does not happen.
pub const BOUND: Duration = Duration::from_secs(30);

/// An HTTP message as received.
#[derive(Clone, Debug)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    /// Reads a message; `None` if the connection ends instead.
    pub fn read(from: &mut BufReader<TcpStream>) -> Option<Message> {
        let mut line = || {
            let mut text = String::new();
            from.read_line(&mut text).ok().filter(|n| *n > 0).map(|_| text.trim_end().to_owned())
        };
        let start = line()?;
        let mut headers = Vec::new();
        loop {
            let text = line()?;
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

    /// The status or the request line without the version, and the body.
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
    /// Writes this text, valid or not.
    Raw(String),
    /// Writes this body with status 200 when the test sends it.
    Delayed(Arc<Mutex<Receiver<String>>>),
    /// Writes this in two parts; the kernel may hold the second until the first is acknowledged.
    TwoParts([String; 2]),
    /// Writes this and closes the connection.
    ThenClose(&'static str),
    /// Closes the connection.
    Close,
    /// Sends nothing until the gatekeeper closes the connection.
    NoResponse,
}

/// A reply that is sent later, by `send` on the returned sender.
pub fn delayed_reply() -> (Sender<String>, ScriptedReply) {
    let (say, hear) = channel();
    (say, ScriptedReply::Delayed(Arc::new(Mutex::new(hear))))
}

/// A response with status 200 and this body.
pub fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// What a peer received.
#[derive(Debug)]
pub enum PeerEvent {
    Request(Message),
    Closed,
}

/// A peer that replies by script and records what it receives.
pub struct ScriptedPeer {
    pub address: SocketAddr,
    seen: Receiver<PeerEvent>,
}

impl ScriptedPeer {
    pub fn start(script: impl Fn(&Message) -> ScriptedReply + Send + Sync + 'static) -> ScriptedPeer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (see, seen) = channel();
        let script = Arc::new(script);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (see, script) = (see.clone(), Arc::clone(&script));
                std::thread::spawn(move || converse(stream, &*script, &see));
            }
        });
        ScriptedPeer { address, seen }
    }

    /// Waits for the next event.
    pub fn next_event(&self) -> PeerEvent {
        self.seen.recv_timeout(BOUND).expect("the peer sees something")
    }

    /// Waits for the next request.
    pub fn next_request(&self) -> Message {
        loop {
            if let PeerEvent::Request(message) = self.next_event() {
                return message;
            }
        }
    }

    /// Waits for the next request, for at most this time.
    pub fn next_request_within(&self, timeout: Duration) -> Option<Message> {
        let deadline = Instant::now() + timeout;
        loop {
            match self.seen.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
                Ok(PeerEvent::Request(message)) => return Some(message),
                Ok(PeerEvent::Closed) => {}
                Err(_) => return None,
            }
        }
    }

    /// All requests so far that were not returned before.
    pub fn take_requests(&self) -> Vec<String> {
        let brief = |seen| match seen {
            PeerEvent::Request(message) => Some(message.summary()),
            PeerEvent::Closed => None,
        };
        self.seen.try_iter().filter_map(brief).collect()
    }
}

fn converse(stream: TcpStream, script: &dyn Fn(&Message) -> ScriptedReply, see: &Sender<PeerEvent>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
    let mut writer = stream;
    while let Some(message) = Message::read(&mut reader) {
        let reply = script(&message);
        let _ = see.send(PeerEvent::Request(message));
        let text = match reply {
            ScriptedReply::Ok(body) => ok_response(body),
            ScriptedReply::Raw(text) => text,
            ScriptedReply::TwoParts([first, second]) => {
                let _ = writer.write_all(first.as_bytes());
                second
            }
            ScriptedReply::Delayed(hear) => match hear.lock().expect("one listener").recv_timeout(BOUND) {
                Ok(body) => ok_response(&body),
                Err(_) => return,
            },
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
    let _ = see.send(PeerEvent::Closed);
}
