//! Owns the server table: discovery's list as this gatekeeper last heard it, and the watch that keeps it up to
//! date. It must never choose a node, and never drop what it holds because discovery is silent, fails or
//! starts anew.

use super::core::Input;
use super::ending::ConnectionEnd;
use super::exchange::{Bounds, Exchanger, Peer, Request};
use super::Inputs;
use actix_http::uri::PathAndQuery;
use actix_http::Method;
use serde::Deserialize;
use std::cell::RefCell;
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
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(100);

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
pub struct ServerTable(RefCell<HashMap<HostId, Node>>);

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

/// Watches discovery for as long as the program runs, wherever it is told that discovery is. Connections to
/// nodes that went, or that are elsewhere now, are closed.
pub async fn watch(
    mut discovery: tokio::sync::watch::Receiver<SocketAddr>,
    dial: Duration,
    known: u64,
    table: Rc<ServerTable>,
    nodes: Rc<Exchanger>,
    queue: Inputs,
) {
    let exchanger = Exchanger::new(dial, WATCH * 2, 2);
    let mut peer = Peer { name: "discovery".into(), address: *discovery.borrow_and_update() };
    // What the configuration holds may be old and of another life of discovery: the whole list comes first.
    let mut after = None;
    let mut healthy = true;
    tracing::info!(discovery = %peer.address, known, "watching discovery");
    loop {
        let (target, within) = match after {
            None => (PathAndQuery::from_static(LIST_AT), LIST),
            Some(rev) => {
                let target = format!("{LIST_AT}?after={rev}&wait_ms={}", WATCH.as_millis());
                (PathAndQuery::try_from(target).expect("digits make a path"), WATCH + WATCH_SLACK)
            }
        };
        let bounds = Bounds { within, may_begin: Box::new(|| true) };
        let request = Request::plain(Method::GET, target);
        let call = exchanger.exchange(&peer, request, bounds, std::future::pending());
        let (end, reply) = tokio::select! {
            biased;
            Ok(()) = discovery.changed() => {
                // Another discovery counts its versions its own way: the whole list comes first again.
                (peer.address, after, healthy) = (*discovery.borrow_and_update(), None, true);
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
                after = Some(list.rev);
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
                // Silence proves nothing, a new life of discovery may count from nought: ask for the whole list.
                after = None;
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
