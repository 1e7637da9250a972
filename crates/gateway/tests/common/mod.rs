//! What tests of real processes share: ports, requests on sockets, bounded waits.

// Each test program uses a part of it.
#![allow(dead_code)]

pub mod cluster;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Child;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// No single wait takes longer.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Ports for listeners: below those that the system gives to connections, so that a role which was killed finds its own
/// free again. Other programs of tests start elsewhere in the range.
const PORTS: std::ops::Range<u32> = 12_000..32_000;

/// A port on which nothing listens, different at each call.
pub fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(97);
    loop {
        let nth = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS.len() as u32;
        let port = u16::try_from(PORTS.start + nth).expect("a port");
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// A process that is killed when this is dropped.
pub struct Process {
    pub child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends `text` on a new connection, and returns what comes until the connection ends or one response is complete. Empty
/// if nothing listens there.
pub fn send_and_receive(to: SocketAddr, text: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(to) else { return String::new() };
    stream.set_read_timeout(Some(TIMEOUT)).expect("a bound");
    let _ = stream.write_all(text.as_bytes());
    read_response(&mut stream)
}

/// Reads until the connection ends or one response is complete.
pub fn read_response(stream: &mut TcpStream) -> String {
    let (mut heard, mut bytes) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => break,
            Ok(n) => heard.extend_from_slice(&bytes[..n]),
        }
        let text = String::from_utf8_lossy(&heard).to_ascii_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length =
            head.split("content-length: ").nth(1).and_then(|l| l.lines().next()?.trim().parse().ok());
        if length.is_some_and(|length: usize| body.len() >= length) {
            break;
        }
    }
    String::from_utf8_lossy(&heard).into_owned()
}

/// The status of a response; 0 if it has none.
pub fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// Waits for a condition; panics with `what` after [`TIMEOUT`].
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < TIMEOUT, "{what}");
        std::thread::yield_now();
    }
}
