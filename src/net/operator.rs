//! The operator endpoint: staff send one line per connection and get one line back.
//!
//! The endpoint runs on a separate thread, so that it responds under any load, and serves at most
//! [`MAX_CONNECTIONS`] connections. It never waits for the core: it reports the last recorded status and forwards
//! commands.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Maximum number of connections. A further one closes the oldest: operators' commands complete within milliseconds.
const MAX_CONNECTIONS: usize = 8;
/// Descriptors reserved for the endpoint: connections, its listener, and its thread's poller.
pub const RESERVED_DESCRIPTORS: usize = MAX_CONNECTIONS + 8;
/// Maximum length of a line, in bytes.
const MAX_LINE_BYTES: usize = 128;
/// Time within which an operator must send a complete line.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which an operator must receive the response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which input is discarded after the response, so that unread bytes do not reset the connection.
const LINGER_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// An operator's command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Stop attracting clients.
    Standby,
    /// Serve clients again.
    Active,
}

/// The status that the endpoint reports.
#[derive(Default)]
pub struct Status {
    /// Whether this process has been able to serve at any time so far.
    pub can_serve: AtomicBool,
    /// Whether this process is on standby.
    pub is_standby: AtomicBool,
}

/// The response to a line, and the command in it that changes something.
fn respond(line: &[u8], status: &Status) -> (&'static str, Option<Command>) {
    let is_standby = status.is_standby.load(Ordering::Relaxed);
    match line.trim_ascii() {
        b"status" if !status.can_serve.load(Ordering::Relaxed) => ("400 cannot serve yet\n", None),
        b"status" if is_standby => ("200 can serve, on standby\n", None),
        b"status" => ("200 can serve\n", None),
        b"standby" if is_standby => ("200 on standby already\n", None),
        b"standby" => ("200 on standby\n", Some(Command::Standby)),
        b"active" if !is_standby => ("200 active already\n", None),
        b"active" => ("200 active\n", Some(Command::Active)),
        _ => ("400 no such call: status, standby or active\n", None),
    }
}

/// Serves the endpoint at this address on a thread of its own, for as long as the program runs. Returns the address
/// with its port.
///
/// # Errors
/// The address cannot be bound, or the thread cannot be started.
pub fn start(
    address: SocketAddr,
    status: Arc<Status>,
    commands: UnboundedSender<Command>,
) -> std::io::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let serve = async move {
        match TcpListener::from_std(listener) {
            Ok(listener) => serve(listener, status, commands).await,
            Err(error) => tracing::error!(%error, "operator endpoint failed to start"),
        }
    };
    std::thread::Builder::new().name("operator".into()).spawn(move || runtime.block_on(serve))?;
    Ok(address)
}

async fn serve(listener: TcpListener, status: Arc<Status>, commands: UnboundedSender<Command>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    // Oldest first; dropping a sender closes its connection. Those of finished connections are closed.
    let mut connections = VecDeque::<oneshot::Sender<()>>::new();
    loop {
        let (stream, _) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(%error, "operator endpoint: connection not accepted");
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        connections.retain(|connection| !connection.is_closed());
        if permits.available_permits() == 0 {
            drop(connections.pop_front());
        }
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let (close, closed) = oneshot::channel();
        connections.push_back(close);
        let connection = Connection { stream, status: Arc::clone(&status), _permit: permit };
        tokio::spawn(connection.serve(commands.clone(), closed));
    }
}

/// One connection: a line and the response.
struct Connection {
    stream: TcpStream,
    status: Arc<Status>,
    _permit: OwnedSemaphorePermit,
}

/// Input of an operator.
enum Line {
    Complete(Vec<u8>),
    TooLong,
}

impl Connection {
    async fn serve(mut self, commands: UnboundedSender<Command>, closed: oneshot::Receiver<()>) {
        let line = tokio::select! {
            biased;
            line = timeout(READ_TIMEOUT, self.read_line()) => line.ok().flatten(),
            _ = closed => None,
        };
        let (text, command) = match &line {
            Some(Line::Complete(line)) => respond(line, &self.status),
            Some(Line::TooLong) => ("400 line too long\n", None),
            None => return,
        };
        if let Some(command) = command {
            self.status.is_standby.store(command == Command::Standby, Ordering::Relaxed);
            let _ = commands.send(command);
        }
        let written = timeout(WRITE_TIMEOUT, self.stream.write_all(text.as_bytes())).await;
        if written.is_ok_and(|w| w.is_ok()) {
            let _ = self.stream.shutdown().await;
            let _ = timeout(LINGER_TIMEOUT, self.discard_input()).await;
        }
    }

    /// Reads a line; `None` if the operator disconnects without one. The end of input ends a line, too.
    async fn read_line(&mut self) -> Option<Line> {
        let mut line = Vec::with_capacity(MAX_LINE_BYTES + 1);
        loop {
            if let Some(end) = line.iter().position(|b| *b == b'\n') {
                line.truncate(end);
                return Some(Line::Complete(line));
            }
            if line.len() > MAX_LINE_BYTES {
                return Some(Line::TooLong);
            }
            let mut part = [0; MAX_LINE_BYTES];
            let count = self.stream.read(&mut part).await.ok()?;
            if count == 0 {
                return (!line.is_empty()).then_some(Line::Complete(line));
            }
            line.extend_from_slice(&part[..count]);
        }
    }

    async fn discard_input(&mut self) {
        while self.stream.read(&mut [0; 256]).await.is_ok_and(|n| n > 0) {}
    }
}
