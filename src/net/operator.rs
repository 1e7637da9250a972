//! Owns the operators' door: the place where staff ask with one line a connection and hear one line. It runs on a
//! thread of its own, so that it answers whatever the load, and holds few callers. It must never decide on a
//! session or wait for the core: it says what is known and hands orders on.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Callers at once. One more ends the one that has said nothing whole for longest: a call that is meant is whole
/// within milliseconds.
const CALLERS: usize = 8;
/// Descriptors that the door holds: callers, its listener, and what its thread polls with.
pub const DESCRIPTORS: usize = CALLERS + 8;
/// The longest line.
const LINE_MOST: usize = 128;
/// A caller that has not said a whole line by then is let go.
const WHOLE_WITHIN: Duration = Duration::from_secs(10);
/// A caller takes its answer within this.
const TAKEN_WITHIN: Duration = Duration::from_secs(1);
/// After its answer a caller is heard for so long more, so that unread bytes do not cost it the answer.
const LINGER: Duration = Duration::from_millis(100);

/// What operators ask of the gatekeeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Be without clients.
    Standby,
    /// Take clients again.
    Active,
}

/// What the door says, as the gatekeeper last told.
#[derive(Default)]
pub struct Known {
    /// Could this process serve, at any time so far?
    pub can_serve: AtomicBool,
    /// Is it told to be without clients?
    pub standby: AtomicBool,
}

/// The answer to a call, and the order that it is.
fn answer(line: &[u8], known: &Known) -> (&'static str, Option<Order>) {
    let standby = known.standby.load(Ordering::Relaxed);
    match line.trim_ascii() {
        b"status" if !known.can_serve.load(Ordering::Relaxed) => ("400 cannot serve yet\n", None),
        b"status" if standby => ("200 can serve, on standby\n", None),
        b"status" => ("200 can serve\n", None),
        b"standby" if standby => ("200 on standby already\n", None),
        b"standby" => ("200 on standby\n", Some(Order::Standby)),
        b"active" if !standby => ("200 active already\n", None),
        b"active" => ("200 active\n", Some(Order::Active)),
        _ => ("400 no such call: status, standby or active\n", None),
    }
}

/// Listens at this address, on a thread of its own, for as long as the program runs.
pub fn open(
    at: SocketAddr,
    known: Arc<Known>,
    orders: UnboundedSender<Order>,
) -> std::io::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind(at)?;
    listener.set_nonblocking(true)?;
    let at = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let serve = async move {
        match TcpListener::from_std(listener) {
            Ok(listener) => serve(listener, known, orders).await,
            Err(error) => tracing::error!(%error, "the operators' door does not open"),
        }
    };
    std::thread::Builder::new().name("operator".into()).spawn(move || runtime.block_on(serve))?;
    Ok(at)
}

async fn serve(listener: TcpListener, known: Arc<Known>, orders: UnboundedSender<Order>) {
    let places = Arc::new(Semaphore::new(CALLERS));
    // Who came first is let go first; those that are done are found closed.
    let mut callers = std::collections::VecDeque::<oneshot::Sender<()>>::new();
    loop {
        let (stream, _) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(%error, "operators' door: accept failed");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        callers.retain(|caller| !caller.is_closed());
        if places.available_permits() == 0 {
            drop(callers.pop_front());
        }
        let Ok(place) = Arc::clone(&places).acquire_owned().await else { return };
        let (let_go, gone) = oneshot::channel();
        callers.push_back(let_go);
        tokio::spawn(call(stream, Arc::clone(&known), orders.clone(), place, gone));
    }
}

/// One caller: its line, and the answer.
async fn call(
    mut stream: TcpStream,
    known: Arc<Known>,
    orders: UnboundedSender<Order>,
    _place: OwnedSemaphorePermit,
    gone: oneshot::Receiver<()>,
) {
    let read = tokio::select! {
        biased;
        read = timeout(WHOLE_WITHIN, line(&mut stream)) => read.ok().flatten(),
        _ = gone => None,
    };
    let Some(line) = read else { return };
    let (text, order) = match &line {
        Some(line) => answer(line, &known),
        None => ("400 line too long\n", None),
    };
    if let Some(order) = order {
        known.standby.store(order == Order::Standby, Ordering::Relaxed);
        let _ = orders.send(order);
    }
    if timeout(TAKEN_WITHIN, stream.write_all(text.as_bytes())).await.is_ok_and(|w| w.is_ok()) {
        let _ = stream.shutdown().await;
        let _ =
            timeout(LINGER, async { while stream.read(&mut [0; 256]).await.is_ok_and(|n| n > 0) {} }).await;
    }
}

/// A whole line: `Some(None)` where it is too long, `None` where its caller left.
async fn line(stream: &mut TcpStream) -> Option<Option<Vec<u8>>> {
    let mut read = Vec::with_capacity(LINE_MOST + 1);
    loop {
        if let Some(end) = read.iter().position(|b| *b == b'\n') {
            read.truncate(end);
            return Some(Some(read));
        }
        if read.len() > LINE_MOST {
            return Some(None);
        }
        let mut part = [0; LINE_MOST];
        let count = stream.read(&mut part).await.ok()?;
        if count == 0 {
            // The caller has said all: what it said stands as a line.
            return (!read.is_empty()).then_some(Some(read));
        }
        read.extend_from_slice(&part[..count]);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Each call and its answer, told twice and out of turn included.
    #[test]
    fn calls_have_stated_answers() {
        let known = Known::default();
        let said = |line: &[u8]| answer(line, &known);
        assert_eq!(said(b"status"), ("400 cannot serve yet\n", None));
        known.can_serve.store(true, Ordering::Relaxed);
        assert_eq!(said(b"status\r"), ("200 can serve\n", None));
        assert_eq!(said(b"active"), ("200 active already\n", None));
        assert_eq!(said(b"standby").1, Some(Order::Standby));
        known.standby.store(true, Ordering::Relaxed);
        assert_eq!(said(b"standby"), ("200 on standby already\n", None));
        assert_eq!(said(b"status"), ("200 can serve, on standby\n", None));
        assert_eq!(said(b"active").1, Some(Order::Active));
        for wrong in [&b""[..], b"STATUS", b"status now", b"restart", &[0xff; 9]] {
            assert!(said(wrong).0.starts_with("400 "));
        }
    }
}
