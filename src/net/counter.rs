//! Owns the gatekeeper's side towards the quota counter. Calls for one name go out one after another, so that
//! totals come back in call order; other names do not wait for them. It must never repeat a call or report one
//! that may have been added as one that was not.

use super::core::{CounterCall, Input};
use super::ending::ConnectionEnd;
use super::exchange::{Bounds, Exchanger};
use super::Inputs;
use bytes::Bytes;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use whinstall::CountName;

/// Connections held at most. The counter takes 32 and may still know of some that were just closed.
pub const CONNECTIONS: usize = 24;
/// Connections are kept idle for so long; the counter's own limit is about 10 s or less.
const IDLE: Duration = Duration::from_secs(4);

/// What calls the counter.
pub struct Counter(Rc<Inner>);

struct Inner {
    exchanger: Exchanger,
    address: SocketAddr,
    wait: Duration,
    queue: Inputs,
    /// Calls that wait for the one before them, by name; a name is here while a call of it is out.
    lines: RefCell<HashMap<CountName, VecDeque<(CounterCall, Instant)>>>,
}

impl Counter {
    /// Calls the counter at this address and gives up after `wait`.
    pub fn new(address: SocketAddr, dial: Duration, wait: Duration, queue: Inputs) -> Self {
        let exchanger = Exchanger::new(dial.min(wait), IDLE, CONNECTIONS);
        Counter(Rc::new(Inner { exchanger, address, wait, queue, lines: RefCell::default() }))
    }

    /// Begins a call, or lines it up behind the last one of its name.
    pub fn call(&self, call: CounterCall) {
        let now = Instant::now();
        if let Some(line) = self.0.lines.borrow_mut().get_mut(&call.name) {
            line.push_back((call, now));
            return;
        }
        self.0.lines.borrow_mut().insert(call.name.clone(), VecDeque::new());
        let inner = Rc::clone(&self.0);
        actix_rt::spawn(async move {
            let name = call.name.clone();
            let mut next = Some((call, now));
            while let Some((call, at)) = next {
                let (end, total) = inner.exchange(&call, at).await;
                let (name, took) = (call.name, at.elapsed());
                tracing::debug!(name = %name.0, amount = call.amount, ?end, total, ?took, "counter call ended");
                let _ = inner.queue.send(Input::Counted { name: name.clone(), end, total, took });
                next = inner.lines.borrow_mut().get_mut(&name).and_then(VecDeque::pop_front);
            }
            inner.lines.borrow_mut().remove(&name);
        });
    }
}

impl Inner {
    async fn exchange(&self, call: &CounterCall, at: Instant) -> (ConnectionEnd, f64) {
        let within = self.wait.saturating_sub(at.elapsed());
        if within.is_zero() {
            // It waited in line for all its time: never sent.
            return (ConnectionEnd::TimedOut { written: false }, 0.0);
        }
        let (name, amount) = (path_segment(&call.name.0), call.amount.clamp(-1e9, 1e9));
        let life = call.keep.as_millis().clamp(1, 60_000);
        let url = format!("http://{}/counters/{name}?by={amount}&expire_ms={life}", self.address);
        let request = self.exchanger.client().post(url);
        let bounds = Bounds { within, may_begin: Box::new(|| true) };
        match self.exchanger.exchange(request, Bytes::new(), bounds, std::future::pending()).await {
            (ConnectionEnd::Answered, Some(reply)) => match total(&reply.body) {
                Some(total) => (ConnectionEnd::Answered, total),
                None => (ConnectionEnd::Garbled, 0.0),
            },
            (end, _) => (end, 0.0),
        }
    }
}

fn total(body: &[u8]) -> Option<f64> {
    let total: f64 = std::str::from_utf8(body).ok()?.trim().parse().ok()?;
    total.is_finite().then_some(total)
}

/// A name as it may stand in a path. The counter takes it as it is written there, so this must be the same at
/// every gatekeeper, which a fixed rule is.
fn path_segment(name: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_' | ':');
    name.chars().map(|c| if plain(c) { c } else { '_' }).collect()
}

#[cfg(test)]
#[path = "../../tests/common/peer.rs"]
#[allow(dead_code)]
mod peer;

#[cfg(test)]
mod tests {
    use super::peer::{held, Peer, Reply};
    use super::*;

    /// Guards against totals that come back out of call order: on two connections the later call of a name can
    /// overtake the earlier one.
    #[test]
    fn calls_of_one_name_wait_for_each_other_and_for_no_other_name() {
        let (say, first) = held();
        let first = std::sync::Mutex::new(Some(first));
        let peer = Peer::start(move |call| match call.start.contains("/a?by=1&") {
            true => first.lock().expect("whole").take().unwrap_or(Reply::Hangup),
            false => Reply::Ok("7"),
        });
        actix_rt::System::new().block_on(async {
            let (queue, mut inputs) = tokio::sync::mpsc::unbounded_channel();
            let wait = Duration::from_secs(30);
            let counter = Counter::new(peer.address, wait, wait, queue);
            for (name, amount) in [("a", 1.0), ("a", -2.5), ("b", 1.0)] {
                let name = CountName(name.into());
                counter.call(CounterCall { name, amount, keep: Duration::from_secs(4) });
            }
            let mut told = Vec::new();
            for _ in 0..3 {
                let Some(Input::Counted { name, end, total, .. }) = inputs.recv().await else {
                    panic!("no answer")
                };
                if told.is_empty() {
                    assert_eq!(peer.requests().len(), 2);
                    say.send("1".into()).expect("the counter hears");
                }
                told.push(format!("{} {end:?} {total}", name.0));
            }
            assert_eq!(told, ["b Answered 7", "a Answered 1", "a Answered 7"]);
            assert_eq!(peer.requests(), ["POST /counters/a?by=-2.5&expire_ms=4000 []"]);
        });
    }
}
