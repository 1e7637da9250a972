//! What tests of the programs as they are have in common: ports, calls on sockets, bounded waits.

// Each program of tests uses some of it.
#![allow(dead_code)]

pub mod whole;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Child;
use std::time::{Duration, Instant};

/// Nothing here takes longer.
pub const BOUND: Duration = Duration::from_secs(20);

pub fn port() -> u16 {
    TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address").port()
}

pub struct Role {
    pub child: Child,
}

impl Drop for Role {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Says one thing on a new connection and hears all that comes until it ends, or the whole of one answer.
pub fn say(to: SocketAddr, text: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(to) else { return String::new() };
    stream.set_read_timeout(Some(BOUND)).expect("a bound");
    let _ = stream.write_all(text.as_bytes());
    hear(&mut stream)
}

pub fn hear(stream: &mut TcpStream) -> String {
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

pub fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < BOUND, "{what}");
        std::thread::yield_now();
    }
}
