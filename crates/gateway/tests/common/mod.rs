//! Helpers for tests of real processes: free ports, HTTP exchanges on sockets, bounded waits.

// Each test program uses only some of these helpers.
#![allow(dead_code)]

pub mod cluster;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Child;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Upper bound on each single wait.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Ports for listeners. The range lies below the ephemeral ports of the system, so that a restarted process finds its port
/// free. Test programs that run at the same time start at different ports of the range.
const PORTS: std::ops::Range<u32> = 12_000..32_000;

/// Returns a port on which nothing listens; each call in a process returns another one.
pub fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first_offset = std::process::id().wrapping_mul(97);
    loop {
        let offset = first_offset.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS.len() as u32;
        let port = u16::try_from(PORTS.start + offset).expect("the port fits in 16 bits");
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// A child process that is killed on drop.
pub struct Process {
    pub child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends `request` on a new connection, and returns all that is received until the connection ends or one response is
/// complete. Returns an empty string if nothing listens at the address.
pub fn send_and_receive(address: SocketAddr, request: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else { return String::new() };
    stream.set_read_timeout(Some(TIMEOUT)).expect("the timeout is valid");
    let _ = stream.write_all(request.as_bytes());
    read_response(&mut stream)
}

/// Reads until the connection ends or one response is complete.
pub fn read_response(stream: &mut TcpStream) -> String {
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(n) => received.extend_from_slice(&buffer[..n]),
        }
        let text = String::from_utf8_lossy(&received).to_ascii_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length =
            head.split("content-length: ").nth(1).and_then(|l| l.lines().next()?.trim().parse().ok());
        if length.is_some_and(|length: usize| body.len() >= length) {
            break;
        }
    }
    String::from_utf8_lossy(&received).into_owned()
}

/// Returns the status code of a response; 0 if the response has none.
pub fn status(response: &str) -> u16 {
    response.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// Waits until a condition holds; panics after [`TIMEOUT`], naming the condition.
pub fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !holds() {
        assert!(started_at.elapsed() < TIMEOUT, "timed out after {TIMEOUT:?} waiting for: {condition}");
        std::thread::yield_now();
    }
}
