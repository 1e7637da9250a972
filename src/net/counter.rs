//! Client of the quota counter.
//!
//! Calls for one counter name are sent one after another, so that totals come back in call order; other names do
//! not wait for them. After its timeout, a call keeps its connection for a limited time, and a late answer is reported
//! separately. A call is never repeated, and one that may have been added is never reported as not added.

#[cfg(test)]
mod tests;

use super::core::{CoreMessage, CounterCall};
use super::outcome::ExchangeOutcome;
use super::upstream::{ExchangeOptions, Peer, Request, UpstreamClient};
use super::CoreSender;
use actix_http::uri::PathAndQuery;
use actix_http::Method;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use whinstall::CounterKey;

/// Maximum number of connections, whatever the limits. The counter accepts 32 and may still count some that were
/// just closed.
pub const MAX_CONNECTIONS: usize = 24;
/// Idle connections are closed after this, before the counter closes them after 10 s or less.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of timed-out calls that are still listened for: an unresponsive counter must not occupy all
/// connections.
const MAX_LATE_CALLS: usize = 8;
/// Bound on the absolute amount of a call.
const MAX_AMOUNT: f64 = 1e9;
/// Upper bound of the expiry of a counter entry, in milliseconds.
const MAX_EXPIRY_MS: u128 = 60_000;

/// Timeouts of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeouts {
    /// Time after which a call times out, including its time in the queue.
    pub call: Duration,
    /// Additional time for which a late answer is listened for.
    pub late: Duration,
}

/// The client of the quota counter; clones share it.
#[derive(Clone)]
pub struct CounterClient(Rc<Inner>);

struct Inner {
    client: UpstreamClient,
    address: Cell<SocketAddr>,
    call_timeout: Cell<Duration>,
    late_timeout: Duration,
    /// Timed-out calls that are still listened for.
    late_calls: Cell<usize>,
    core: CoreSender,
    /// Calls queued behind the one in flight, by name. A name has an entry while a call of it is in flight.
    queues: RefCell<HashMap<CounterKey, VecDeque<QueuedCall>>>,
}

struct QueuedCall {
    call: CounterCall,
    queued: Instant,
}

impl CounterClient {
    /// A client of the counter at `address`, with at most `max_connections` connections.
    pub fn new(
        address: SocketAddr,
        connect_timeout: Duration,
        timeouts: CallTimeouts,
        max_connections: usize,
        core: CoreSender,
    ) -> Self {
        let connect_timeout = connect_timeout.min(timeouts.call);
        CounterClient(Rc::new(Inner {
            client: UpstreamClient::new(connect_timeout, IDLE_TIMEOUT, max_connections.min(MAX_CONNECTIONS)),
            address: Cell::new(address),
            call_timeout: Cell::new(timeouts.call),
            late_timeout: timeouts.late,
            late_calls: Cell::default(),
            core,
            queues: RefCell::default(),
        }))
    }

    /// Sends further calls to this address. Calls in flight complete at the previous one.
    pub fn set_address(&self, address: SocketAddr) {
        self.0.address.set(address);
        self.0.client.retain_idle(|_, leads_to| leads_to == address);
    }

    /// Changes the timeout of further calls.
    pub fn set_call_timeout(&self, timeout: Duration) {
        self.0.call_timeout.set(timeout);
    }

    /// The HTTP client; it holds the limit and the number of connections.
    pub fn upstream(&self) -> &UpstreamClient {
        &self.0.client
    }

    /// Starts a call, or queues it behind the last one of its name. The core gets exactly one
    /// [`CoreMessage::CounterReply`] for it.
    pub fn call(&self, call: CounterCall) {
        let call = QueuedCall { call, queued: Instant::now() };
        if let Some(queue) = self.0.queues.borrow_mut().get_mut(&call.call.name) {
            queue.push_back(call);
            return;
        }
        let name = call.call.name.clone();
        self.0.queues.borrow_mut().insert(name.clone(), VecDeque::new());
        let queue = NameQueue { inner: Rc::clone(&self.0), name };
        actix_rt::spawn(async move {
            let mut next = Some(call);
            while let Some(QueuedCall { call, queued }) = next {
                // If the task panics, the call is reported as lost in transit: it may have been added.
                let mut report = ReportOnDrop::new(&queue, queued, ExchangeOutcome::ConnectionLost);
                (report.outcome, report.total) = execute(&queue.inner, &call, queued).await;
                drop(report);
                next = queue.inner.queues.borrow_mut().get_mut(&queue.name).and_then(VecDeque::pop_front);
            }
        });
    }
}

/// The calls of one name, while one of them is in flight.
struct NameQueue {
    inner: Rc<Inner>,
    name: CounterKey,
}

impl Drop for NameQueue {
    fn drop(&mut self) {
        // Empty unless the task panicked; the calls left were never sent.
        let left = self.inner.queues.borrow_mut().remove(&self.name);
        for call in left.into_iter().flatten() {
            drop(ReportOnDrop::new(self, call.queued, ExchangeOutcome::NotAttempted));
        }
    }
}

/// Reports the outcome of a call when dropped, and thus exactly once.
struct ReportOnDrop<'a> {
    queue: &'a NameQueue,
    queued: Instant,
    outcome: ExchangeOutcome,
    total: f64,
}

impl<'a> ReportOnDrop<'a> {
    fn new(queue: &'a NameQueue, queued: Instant, outcome: ExchangeOutcome) -> Self {
        ReportOnDrop { queue, queued, outcome, total: 0.0 }
    }
}

impl Drop for ReportOnDrop<'_> {
    fn drop(&mut self) {
        let (name, elapsed) = (self.queue.name.clone(), self.queued.elapsed());
        let (outcome, total) = (self.outcome, self.total);
        tracing::debug!(name = %name.0, ?outcome, total, ?elapsed, "counter call finished");
        let _ = self.queue.inner.core.send(CoreMessage::CounterReply { name, outcome, total, elapsed });
    }
}

/// Executes a call until it is answered or times out. After a timeout, a separate task listens for a late answer,
/// which proves that the call was added.
async fn execute(inner: &Rc<Inner>, call: &CounterCall, queued: Instant) -> (ExchangeOutcome, f64) {
    let timeout = inner.call_timeout.get().saturating_sub(queued.elapsed());
    if timeout.is_zero() {
        // The timeout expired in the queue, and the call was never sent.
        return (ExchangeOutcome::TimedOut { written: false }, 0.0);
    }
    let Some(target) = target(call) else { return (ExchangeOutcome::NotAttempted, 0.0) };
    let late_timeout =
        if inner.late_calls.get() < MAX_LATE_CALLS { inner.late_timeout } else { Duration::ZERO };
    let mut answer =
        Box::pin(exchange(Rc::clone(inner), inner.address.get(), target, timeout + late_timeout));
    tokio::select! {
        biased;
        result = &mut answer => return result,
        () = tokio::time::sleep(timeout), if !late_timeout.is_zero() => {}
    }
    let late_call = LateCall::new(inner);
    let name = call.name.clone();
    actix_rt::spawn(async move {
        if let (ExchangeOutcome::Answered, total) = answer.await {
            let elapsed = queued.elapsed();
            tracing::debug!(name = %name.0, total, ?elapsed, "counter call answered late");
            let _ = late_call.0.core.send(CoreMessage::LateCounterReply { name, total, elapsed });
        }
    });
    // The request may still be written after the timeout: the amount must not be added again.
    (ExchangeOutcome::TimedOut { written: true }, 0.0)
}

async fn exchange(
    inner: Rc<Inner>,
    address: SocketAddr,
    target: PathAndQuery,
    timeout: Duration,
) -> (ExchangeOutcome, f64) {
    let peer = Peer { name: "counter".into(), address };
    let request = Request::plain(Method::POST, target);
    let options = ExchangeOptions::timeout(timeout);
    match inner.client.exchange(&peer, request, options, std::future::pending()).await {
        (ExchangeOutcome::Answered, Some(response)) => match parse_total(&response.body) {
            Some(total) => (ExchangeOutcome::Answered, total),
            None => (ExchangeOutcome::InvalidResponse, 0.0),
        },
        (outcome, _) => (outcome, 0.0),
    }
}

/// A timed-out call that is still listened for, counted until it is dropped.
struct LateCall(Rc<Inner>);

impl LateCall {
    fn new(inner: &Rc<Inner>) -> Self {
        inner.late_calls.set(inner.late_calls.get() + 1);
        LateCall(Rc::clone(inner))
    }
}

impl Drop for LateCall {
    fn drop(&mut self) {
        self.0.late_calls.set(self.0.late_calls.get() - 1);
    }
}

/// The path and query of a call.
fn target(call: &CounterCall) -> Option<PathAndQuery> {
    let name = path_segment(&call.name.0);
    let amount = call.amount.clamp(-MAX_AMOUNT, MAX_AMOUNT);
    let expiry_ms = call.ttl.as_millis().clamp(1, MAX_EXPIRY_MS);
    PathAndQuery::try_from(format!("/counters/{name}?by={amount}&expire_ms={expiry_ms}")).ok()
}

fn parse_total(body: &[u8]) -> Option<f64> {
    let total: f64 = std::str::from_utf8(body).ok()?.trim().parse().ok()?;
    total.is_finite().then_some(total)
}

/// A counter name as a path segment. The counter uses it as written, so every gatekeeper must apply the same rule.
fn path_segment(name: &str) -> String {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_' | ':');
    name.chars().map(|c| if is_plain(c) { c } else { '_' }).collect()
}
