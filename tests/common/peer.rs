//! Scripted peers on loopback and ephemeral ports: what socket tests talk to, in place of nodes, discovery and
//! the counter.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Far more than anything here takes: past it, what is waited for does not happen.
pub const BOUND: Duration = Duration::from_secs(30);

/// A message as it stood on the wire.
#[derive(Clone, Debug)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    /// Reads one, or nothing where the connection ends instead.
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

    /// The status line's code, or what the request line asks for, and the body.
    pub fn brief(&self) -> String {
        let start = self.start.trim_start_matches("HTTP/1.1 ").trim_end_matches(" HTTP/1.1");
        format!("{start} [{}]", self.body)
    }
}

/// What a scripted peer does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Writes this body with status 200.
    Ok(&'static str),
    /// Writes this, whatever it is.
    Raw(String),
    /// Writes this body with status 200 when the test lets it.
    Held(Arc<Mutex<Receiver<String>>>),
    /// Writes this in two parts, the second as soon as the system lets it, which may wait to be told of the first.
    Parts([String; 2]),
    /// Writes this and closes the connection.
    Torn(&'static str),
    /// Closes the connection.
    Hangup,
    /// Says nothing until the gatekeeper closes the connection.
    Silence,
}

/// One that is said later: by `send` on the returned end.
pub fn held() -> (Sender<String>, Reply) {
    let (say, hear) = channel();
    (say, Reply::Held(Arc::new(Mutex::new(hear))))
}

/// An answer of status 200 with this body.
pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// What a peer saw.
#[derive(Debug)]
pub enum Seen {
    Request(Message),
    Closed,
}

/// A peer that answers by script and reports what it sees.
pub struct Peer {
    pub address: SocketAddr,
    seen: Receiver<Seen>,
}

impl Peer {
    pub fn start(script: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Peer {
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
        Peer { address, seen }
    }

    /// The next thing that it sees.
    pub fn next(&self) -> Seen {
        self.seen.recv_timeout(BOUND).expect("the peer sees something")
    }

    /// The next request that it sees.
    pub fn request(&self) -> Message {
        loop {
            if let Seen::Request(message) = self.next() {
                return message;
            }
        }
    }

    /// All requests that it has seen and that were not asked for yet.
    pub fn requests(&self) -> Vec<String> {
        let brief = |seen| match seen {
            Seen::Request(message) => Some(message.brief()),
            Seen::Closed => None,
        };
        self.seen.try_iter().filter_map(brief).collect()
    }
}

fn converse(stream: TcpStream, script: &dyn Fn(&Message) -> Reply, see: &Sender<Seen>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
    let mut writer = stream;
    while let Some(message) = Message::read(&mut reader) {
        let reply = script(&message);
        let _ = see.send(Seen::Request(message));
        let text = match reply {
            Reply::Ok(body) => ok(body),
            Reply::Raw(text) => text,
            Reply::Parts([first, second]) => {
                let _ = writer.write_all(first.as_bytes());
                second
            }
            Reply::Held(hear) => match hear.lock().expect("one listener").recv_timeout(BOUND) {
                Ok(body) => ok(&body),
                Err(_) => return,
            },
            Reply::Torn(text) => {
                let _ = writer.write_all(text.as_bytes());
                return drop(writer.shutdown(Shutdown::Both));
            }
            Reply::Hangup => return drop(writer.shutdown(Shutdown::Both)),
            Reply::Silence => {
                let _ = reader.read(&mut [0]);
                break;
            }
        };
        if writer.write_all(text.as_bytes()).is_err() {
            break;
        }
    }
    let _ = see.send(Seen::Closed);
}
