//! Owns the gatekeeper's side towards the quota counter. Calls for one name go out one after another, so that
//! totals come back in call order; other names do not wait for them. A call that is given up is listened for a
//! while longer, on a connection of its own, and told of once more if it is answered. It must never repeat a call
//! or report one that may have been added as one that was not.

use super::core::{CounterCall, Input};
use super::outcome::ConnectionEnd;
use super::upstream::{Bounds, Exchanger, Peer, Request};
use super::Inputs;
use actix_http::uri::PathAndQuery;
use actix_http::Method;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use whinstall::CountName;

/// Connections held at most, whatever the limits. The counter takes 32 and may still know of some that were just
/// closed.
pub const CONNECTIONS: usize = 24;
/// Connections are kept idle for so long; the counter's own limit is about 10 s or less.
const IDLE: Duration = Duration::from_secs(4);

/// Calls that were given up and are still listened for, at the most: a silent counter must not hold all
/// connections.
const LISTENED: usize = 8;

/// What calls the counter.
#[derive(Clone)]
pub struct Counter(Rc<Inner>);

struct Inner {
    exchanger: Exchanger,
    address: Cell<SocketAddr>,
    wait: Cell<Duration>,
    /// A call is listened for so much longer than the wait.
    late: Duration,
    /// Calls listened for after their wait.
    listened: Cell<usize>,
    queue: Inputs,
    /// Calls that wait for the one before them, by name; a name is here while a call of it is out.
    lines: RefCell<HashMap<CountName, VecDeque<(CounterCall, Instant)>>>,
}

impl Counter {
    /// Calls the counter at this address on `most` connections, gives a call up after `wait` and listens for its
    /// answer for `late` more.
    pub fn new(
        address: SocketAddr,
        dial: Duration,
        (wait, late): (Duration, Duration),
        most: usize,
        queue: Inputs,
    ) -> Self {
        let exchanger = Exchanger::new(dial.min(wait), IDLE, most.min(CONNECTIONS));
        let (address, wait) = (Cell::new(address), Cell::new(wait));
        let (listened, lines) = (Cell::default(), RefCell::default());
        Counter(Rc::new(Inner { exchanger, address, wait, late, listened, queue, lines }))
    }

    /// The counter is at this address now. Calls that are out end where they began.
    pub fn moved(&self, address: SocketAddr) {
        self.0.address.set(address);
        self.0.exchanger.close_unless(|_, leads_to| leads_to == address);
    }

    /// Calls are given up after this from now on.
    pub fn wait(&self, wait: Duration) {
        self.0.wait.set(wait);
    }

    /// The connections to it.
    pub fn connections(&self) -> &Exchanger {
        &self.0.exchanger
    }

    /// Begins a call, or lines it up behind the last one of its name.
    pub fn call(&self, call: CounterCall) {
        let now = Instant::now();
        if let Some(line) = self.0.lines.borrow_mut().get_mut(&call.name) {
            line.push_back((call, now));
            return;
        }
        self.0.lines.borrow_mut().insert(call.name.clone(), VecDeque::new());
        let line = Line { inner: Rc::clone(&self.0), name: call.name.clone() };
        actix_rt::spawn(async move {
            let mut next = Some((call, now));
            while let Some((call, at)) = next {
                // Stands unless the call ends otherwise, a panic in it included: it may have been added.
                let mut report = Report { line: &line, at, end: ConnectionEnd::Broken, total: 0.0 };
                (report.end, report.total) = exchange(&line.inner, &call, at).await;
                drop(report);
                next = line.inner.lines.borrow_mut().get_mut(&line.name).and_then(VecDeque::pop_front);
            }
        });
    }
}

/// The calls of one name, while one of them is out.
struct Line {
    inner: Rc<Inner>,
    name: CountName,
}

impl Drop for Line {
    fn drop(&mut self) {
        // Nobody is left in it but after a panic; whoever is was never sent.
        let left = self.inner.lines.borrow_mut().remove(&self.name);
        for (_, at) in left.into_iter().flatten() {
            drop(Report { line: self, at, end: ConnectionEnd::NotBegun, total: 0.0 });
        }
    }
}

/// Reports a call's end when it is dropped, so exactly once.
struct Report<'a> {
    line: &'a Line,
    at: Instant,
    end: ConnectionEnd,
    total: f64,
}

impl Drop for Report<'_> {
    fn drop(&mut self) {
        let (name, end, total, took) = (self.line.name.clone(), self.end, self.total, self.at.elapsed());
        tracing::debug!(name = %name.0, ?end, total, ?took, "counter call ended");
        let _ = self.line.inner.queue.send(Input::Counted { name, end, total, took });
    }
}

/// One call, until it is answered or given up. What is given up with its last byte maybe on the way goes on in a
/// task of its own for a while; its answer proves that it was added.
async fn exchange(inner: &Rc<Inner>, call: &CounterCall, at: Instant) -> (ConnectionEnd, f64) {
    let within = inner.wait.get().saturating_sub(at.elapsed());
    if within.is_zero() {
        // It waited in line for all its time: never sent.
        return (ConnectionEnd::TimedOut { written: false }, 0.0);
    }
    let (name, amount) = (path_segment(&call.name.0), call.amount.clamp(-1e9, 1e9));
    let life = call.keep.as_millis().clamp(1, 60_000);
    let target = format!("/counters/{name}?by={amount}&expire_ms={life}");
    let Ok(target) = PathAndQuery::try_from(target) else { return (ConnectionEnd::NotBegun, 0.0) };
    let (listens, at_address) = (Rc::clone(inner), inner.address.get());
    let late = if inner.listened.get() < LISTENED { inner.late } else { Duration::ZERO };
    let mut answer = Box::pin(async move {
        let peer = Peer { name: "counter".into(), address: at_address };
        let request = Request::plain(Method::POST, target);
        let bounds = Bounds { within: within + late, may_begin: Box::new(|| true) };
        match listens.exchanger.exchange(&peer, request, bounds, std::future::pending()).await {
            (ConnectionEnd::Answered, Some(reply)) => match total(&reply.body) {
                Some(total) => (ConnectionEnd::Answered, total),
                None => (ConnectionEnd::Garbled, 0.0),
            },
            (end, _) => (end, 0.0),
        }
    });
    tokio::select! {
        biased;
        end = &mut answer => return end,
        () = tokio::time::sleep(within), if !late.is_zero() => {}
    }
    let listening = Listening::new(inner);
    let name = call.name.clone();
    actix_rt::spawn(async move {
        if let (ConnectionEnd::Answered, total) = answer.await {
            tracing::debug!(name = %name.0, total, took = ?at.elapsed(), "counter call answered late");
            let _ = listening.0.queue.send(Input::CountedLate { name, total, took: at.elapsed() });
        }
    });
    // It may be written yet, if it is not: nothing is told again.
    (ConnectionEnd::TimedOut { written: true }, 0.0)
}

/// A call that is listened for after its wait, counted until it is dropped.
struct Listening(Rc<Inner>);

impl Listening {
    fn new(inner: &Rc<Inner>) -> Self {
        inner.listened.set(inner.listened.get() + 1);
        Listening(Rc::clone(inner))
    }
}

impl Drop for Listening {
    fn drop(&mut self) {
        self.0.listened.set(self.0.listened.get() - 1);
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
mod tests {
    use super::*;
    use crate::net::peer::{held, Peer as Scripted, Reply};

    /// Guards against totals that come back out of call order: on two connections the later call of a name can
    /// overtake the earlier one.
    #[test]
    fn calls_of_one_name_wait_for_each_other_and_for_no_other_name() {
        let (say, first) = held();
        let first = std::sync::Mutex::new(Some(first));
        let peer = Scripted::start(move |call| match call.start.contains("/a?by=1&") {
            true => first.lock().expect("whole").take().unwrap_or(Reply::Hangup),
            false => Reply::Ok("7"),
        });
        actix_rt::System::new().block_on(async {
            let (queue, mut inputs) = tokio::sync::mpsc::unbounded_channel();
            let wait = Duration::from_secs(30);
            let counter = Counter::new(peer.address, wait, (wait, Duration::ZERO), CONNECTIONS, queue);
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
                    say.send("1".into()).expect("the counter hears");
                }
                told.push(format!("{} {end:?} {total}", name.0));
            }
            assert_eq!(told, ["b Answered 7", "a Answered 1", "a Answered 7"]);
            // Whatever was answered was seen, but on two connections in no order.
            let mut seen = peer.requests();
            seen.retain(|call| call.contains("/a?"));
            let calls = ["1", "-2.5"].map(|by| format!("POST /counters/a?by={by}&expire_ms=4000 []"));
            assert_eq!(seen, calls);
        });
    }

    /// Guards what a late answer still proves: the call ends when its wait is over, once, and the answer that comes
    /// after that is told as such, once.
    #[test]
    fn a_call_answered_after_its_wait_is_told_of_twice_and_counted_once() {
        let (say, reply) = held();
        let peer = Scripted::start(move |_| reply.clone());
        actix_rt::System::new().block_on(async {
            let (queue, mut inputs) = tokio::sync::mpsc::unbounded_channel();
            let (wait, late) = (Duration::from_millis(50), Duration::from_secs(30));
            let counter = Counter::new(peer.address, late, (wait, late), CONNECTIONS, queue);
            let name = CountName("a".into());
            counter.call(CounterCall { name, amount: 1.0, keep: Duration::from_secs(4) });
            let Some(Input::Counted { end, .. }) = inputs.recv().await else { panic!("no end") };
            assert_eq!(end, ConnectionEnd::TimedOut { written: true });
            say.send("9".into()).expect("the counter hears");
            let Some(Input::CountedLate { name, total, .. }) = inputs.recv().await else {
                panic!("no answer")
            };
            assert_eq!((&*name.0, total), ("a", 9.0));
            assert!(inputs.try_recv().is_err(), "nothing more");
        });
        assert_eq!(peer.requests().len(), 1);
    }
}
