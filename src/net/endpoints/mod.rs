//! Owns the server table: discovery's list as this gatekeeper last heard it, and the watch that keeps it up to
//! date. It must never choose a node, and never drop what it holds because discovery is silent, fails or
//! starts anew.

use super::core::Input;
use super::outcome::ConnectionEnd;
use super::upstream::{Bounds, Exchanger, Peer, Request};
use super::Inputs;
use actix_http::uri::PathAndQuery;
use actix_http::Method;
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use whinstall::{Availability, HostEntry, HostId, ListScope};

/// Where discovery tells its list.
const LIST_AT: &str = "/v1/endpoints";
/// A watch is answered after so long, changes or not. Short, as what is not heard counts as told 2 s after it.
const WATCH: Duration = Duration::from_secs(5);
/// So much later it has failed.
const WATCH_SLACK: Duration = Duration::from_secs(1);
/// A call for the whole list has failed after this.
const LIST: Duration = Duration::from_secs(2);
/// Pause after a first failed call, at the most; it doubles with each further one...
const PAUSE: Duration = Duration::from_millis(100);
/// ...but for each gatekeeper of the fleet it is no shorter than this: together they ask for no more than discovery
/// bears, as all of them lose it at once...
const PAUSE_EACH: Duration = Duration::from_millis(60);
/// ...and up to so many times the first, or this if longer.
const PAUSE_MOST: (u32, Duration) = (8, Duration::from_secs(2));

/// The first call waits no longer than this.
const START_MOST: Duration = Duration::from_millis(500);

/// A list in discovery's form.
#[derive(Debug, Deserialize)]
pub struct List {
    rev: u64,
    #[serde(default)]
    all: bool,
    #[serde(default)]
    targets: Vec<Target>,
}

#[derive(Debug, Deserialize)]
struct Target {
    uid: String,
    #[serde(default)]
    endpoint: String,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: i64,
    state: String,
    #[serde(default = "one")]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: f64,
}

fn one() -> f64 {
    1.0
}

struct Node {
    address: SocketAddr,
    takes_work: bool,
}

/// Where the nodes are and which of them take work.
#[derive(Default)]
pub struct ServerTable(RefCell<HashMap<HostId, Node>>, Cell<bool>);

impl List {
    /// Its version.
    pub fn rev(&self) -> u64 {
        self.rev
    }
}

impl ServerTable {
    /// The address of a node on the list.
    pub fn address(&self, node: &HostId) -> Option<SocketAddr> {
        self.0.borrow().get(node).map(|n| n.address)
    }

    /// Does a connection of this node lead to where the node is?
    fn leads_on(&self, node: &str, address: SocketAddr) -> bool {
        self.0.borrow().get(node).is_some_and(|n| n.address == address)
    }

    /// May new work go there by what was last told?
    pub fn takes_work(&self, node: &HostId) -> bool {
        self.0.borrow().get(node).is_some_and(|n| n.takes_work)
    }

    /// Has discovery told anything since the start?
    pub fn told(&self) -> bool {
        self.1.get()
    }

    /// Is there any node that takes work?
    pub fn can_serve(&self) -> bool {
        self.0.borrow().values().any(|n| n.takes_work)
    }

    /// Takes over a list; returns it in the module's terms. Entries without a usable address count as gone.
    pub fn apply(&self, list: List) -> (ListScope, Vec<HostEntry>) {
        let mut nodes = self.0.borrow_mut();
        if list.all {
            nodes.clear();
        }
        let entries = list.targets.into_iter().map(|target| {
            let node = HostId(Arc::from(target.uid));
            let address = target.endpoint.parse::<SocketAddr>().ok();
            let availability = match (target.state.as_str(), address) {
                ("SERVING", Some(_)) => Availability::Ready,
                ("DRAINING", Some(_)) => Availability::Draining,
                _ => Availability::Gone,
            };
            match address.filter(|_| availability != Availability::Gone) {
                Some(address) => {
                    let takes_work = availability == Availability::Ready;
                    nodes.insert(node.clone(), Node { address, takes_work });
                }
                None => drop(nodes.remove(&node)),
            }
            let boot = Duration::try_from_secs_f64(target.boot_ms / 1e3).unwrap_or_default();
            HostEntry {
                host: node,
                zone: target.az,
                group: target.pod_group,
                kind: target.model.into(),
                availability,
                nominal: target.capacity_hint,
                // Unix time, as the module's clock is.
                last_start: Some(boot).filter(|b| !b.is_zero()),
            }
        });
        let entries = entries.collect();
        (if list.all { ListScope::Replace } else { ListScope::Update }, entries)
    }
}

/// What to ask discovery next, and when. Every gatekeeper of a fleet does the same at the same moments, so none
/// of them may ask for more than it lacks, or at a fixed pace.
struct Cadence {
    /// The version that is held, where a watch can go on from it.
    after: Option<u64>,
    /// Calls that have failed since the last answer.
    failures: u32,
    /// Gatekeepers of the fleet, this one included.
    replicas: u32,
    rng: fastrand::Rng,
}

impl Cadence {
    /// The next call, and how long to wait for its answer.
    fn call(&self) -> (PathAndQuery, Duration) {
        match self.after {
            None => (PathAndQuery::from_static(LIST_AT), LIST),
            Some(rev) => {
                let target = format!("{LIST_AT}?after={rev}&wait_ms={}", WATCH.as_millis());
                (PathAndQuery::try_from(target).expect("digits make a path"), WATCH + WATCH_SLACK)
            }
        }
    }

    /// The wait before a first call: a fleet that starts at once does not ask at the same moment. It is short: who
    /// starts with an old list goes by what discovery would have told it (a lost zone's gatekeepers came back and
    /// sent for seconds to nodes that were long gone).
    fn start(&mut self) -> Duration {
        (PAUSE_EACH * self.replicas).min(START_MOST).mul_f64(self.rng.f64())
    }

    /// A list has come. An older version than the one held is of another life of discovery, and changes alone
    /// say nothing of what it held before: then, and only then, the list is worth no more than to be asked again.
    fn told(&mut self, list: &List) -> bool {
        let other_life = !list.all && self.after.is_some_and(|held| list.rev < held);
        (self.after, self.failures) = (Some(list.rev).filter(|_| !other_life), 0);
        !other_life
    }

    /// A call has failed; returns the pause before the next. Discovery that turns a call away lives on, and the
    /// watch goes on where it was: once a hundred gatekeepers asked for the whole list every 100 ms instead, in
    /// step, and discovery, which bears a few hundred calls a second, turned all of them away for good. Silence
    /// and broken connections prove nothing, and a new life may count from nought: then the whole list comes first.
    fn failed(&mut self, end: ConnectionEnd) -> Duration {
        if end != ConnectionEnd::Declined {
            self.after = None;
        }
        let first = PAUSE.max(PAUSE_EACH * self.replicas);
        let most = PAUSE_MOST.1.max(first * PAUSE_MOST.0);
        let pause = first.saturating_mul(1 << self.failures.min(8)).min(most);
        self.failures += 1;
        pause.mul_f64(self.rng.f64())
    }
}

/// Watches discovery for as long as the program runs, wherever it is told that discovery is. Connections to
/// nodes that went, or that are elsewhere now, are closed.
pub async fn watch(
    mut discovery: tokio::sync::watch::Receiver<SocketAddr>,
    dial: Duration,
    (known, replicas, seed): (u64, u32, u64),
    table: Rc<ServerTable>,
    nodes: Rc<Exchanger>,
    queue: Inputs,
) {
    let exchanger = Exchanger::new(dial, WATCH * 2, 2);
    let mut peer = Peer { name: "discovery".into(), address: *discovery.borrow_and_update() };
    // What the configuration holds may be old, so the watch goes on from there: the whole list only where discovery
    // has begun to count anew since.
    let rng = fastrand::Rng::with_seed(!seed);
    let mut cadence = Cadence { after: Some(known), failures: 0, replicas, rng };
    let mut healthy = true;
    tracing::info!(discovery = %peer.address, known, "watching discovery");
    tokio::time::sleep(cadence.start()).await;
    loop {
        let (target, within) = cadence.call();
        let bounds = Bounds { within, may_begin: Box::new(|| true) };
        let request = Request::plain(Method::GET, target);
        let call = exchanger.exchange(&peer, request, bounds, std::future::pending());
        let (end, reply) = tokio::select! {
            biased;
            Ok(()) = discovery.changed() => {
                // Another discovery counts its versions its own way: the whole list comes first again.
                (peer.address, cadence.after, healthy) = (*discovery.borrow_and_update(), None, true);
                exchanger.close_unless(|_, address| address == peer.address);
                tracing::info!(discovery = %peer.address, "watching discovery");
                continue;
            }
            ended = call => ended,
        };
        let list =
            reply.filter(|_| end == ConnectionEnd::Answered).map(|r| serde_json::from_slice::<List>(&r.body));
        match list {
            Some(Ok(list)) => {
                if !std::mem::replace(&mut healthy, true) {
                    tracing::info!(rev = list.rev, "discovery answers again");
                }
                table.1.set(true);
                if !cadence.told(&list) {
                    tracing::warn!(rev = list.rev, "discovery counts anew: the whole list is asked for");
                    continue;
                }
                if list.all || !list.targets.is_empty() {
                    tracing::info!(
                        rev = list.rev,
                        all = list.all,
                        entries = list.targets.len(),
                        "server table told"
                    );
                    let (scope, entries) = table.apply(list);
                    nodes.close_unless(|name, address| table.leads_on(name, address));
                    let _ = queue.send(Input::ServerTable(scope, entries));
                }
            }
            failed => {
                if std::mem::replace(&mut healthy, false) {
                    let unreadable = failed.and_then(Result::err);
                    tracing::warn!(?end, ?unreadable, "discovery fails: the server table stays as it is");
                }
                // A move of discovery ends the pause; it is noticed above.
                let mut moved = discovery.clone();
                let _ = tokio::time::timeout(cadence.failed(end), moved.changed()).await;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn list(rev: u64, all: bool) -> List {
        List { rev, all, targets: Vec::new() }
    }

    fn cadence(replicas: u32, seed: u64) -> Cadence {
        Cadence { after: Some(41), failures: 0, replicas, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Guards discovery from the whole fleet: it takes 20 calls a second, in turn, turns one away that has waited
    /// for 2 s and works on it all the same. With a fixed pause of 100 ms all of a hundred gatekeepers that start
    /// at once ask ten times a second for good, and hardly any of them ever hears.
    #[test]
    fn a_fleet_that_starts_at_once_hears_from_a_discovery_that_bears_little() {
        for replicas in [3, 30, 100, 300] {
            let mut fleet: Vec<Cadence> =
                (0..replicas).map(|n| cadence(replicas, u64::from(n) + 7)).collect();
            let mut calls: std::collections::BinaryHeap<_> =
                (0..replicas as usize).map(|n| std::cmp::Reverse((fleet[n].start(), n))).collect();
            let (mut free, mut heard, mut asked) = (Duration::ZERO, 0, 0);
            while let Some(std::cmp::Reverse((at, n))) = calls.pop().filter(|c| c.0 .0 < LIST * 120) {
                asked += 1;
                let begun = free.max(at);
                free = begun + Duration::from_millis(50);
                let late = begun - at > LIST;
                heard += u32::from(!late);
                if late {
                    let pause = fleet[n].failed(ConnectionEnd::Declined);
                    calls.push(std::cmp::Reverse((at + LIST + pause, n)));
                }
            }
            assert_eq!(heard, replicas, "of {replicas}, {asked} calls");
            assert!(asked < 5 * replicas, "of {replicas}, {asked} calls");
        }
    }

    /// A watch goes on from what is held while discovery lives; what may be another life of it is asked for whole.
    #[test]
    fn the_whole_list_is_asked_for_only_where_the_watch_cannot_go_on() {
        let whole = |c: &Cadence| c.call().0.as_str() == LIST_AT;
        let mut c = cadence(100, 1);
        assert!(!whole(&c), "it starts from the version that it was left with");
        c.failed(ConnectionEnd::Declined);
        assert!(!whole(&c), "turned away");
        assert!(c.told(&list(45, false)) && !whole(&c));
        assert!(!c.told(&list(7, false)) && whole(&c), "another life counts from nought");
        assert!(c.told(&list(7, true)) && !whole(&c));
        for end in [ConnectionEnd::Broken, ConnectionEnd::NeverWritten, ConnectionEnd::Garbled] {
            c.failed(end);
            assert!(whole(&c), "{end:?}");
            c.told(&list(7, true));
        }
    }
}
