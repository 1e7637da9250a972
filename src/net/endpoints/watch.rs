//! The watch on discovery: long-polls for changes and applies them to the endpoint table.

use super::schedule::{PollSchedule, WATCH_WAIT};
use super::{EndpointList, EndpointTable};
use crate::net::core::CoreMessage;
use crate::net::outcome::ExchangeOutcome;
use crate::net::upstream::{ExchangeOptions, Peer, Request, Response, UpstreamClient};
use crate::net::CoreSender;
use actix_http::Method;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch::Receiver;

/// Connections to discovery: the one in use, and one to the address it moved from.
const MAX_CONNECTIONS: usize = 2;

/// Parameters of the watch.
pub struct WatchOptions {
    /// Time to establish a connection.
    pub connect_timeout: Duration,
    /// Revision of the configured list, from which the watch continues.
    pub revision: u64,
    /// Gatekeepers of the fleet, this one included.
    pub replicas: u32,
    /// Seed of the schedule's jitter.
    pub seed: u64,
}

/// Watches discovery for as long as the program runs, at the address that the receiver holds. Changes go to the
/// table and the core; pooled connections of `nodes` that lead to removed or moved nodes are closed.
pub async fn watch(
    discovery: Receiver<SocketAddr>,
    options: WatchOptions,
    table: Rc<EndpointTable>,
    nodes: Rc<UpstreamClient>,
    core: CoreSender,
) {
    let mut watch = DiscoveryWatch::new(discovery, &options, table, nodes, core);
    tracing::info!(discovery = %watch.peer.address, known = options.revision, "watching discovery");
    tokio::time::sleep(watch.schedule.start_delay()).await;
    loop {
        watch.poll().await;
    }
}

struct DiscoveryWatch {
    discovery: Receiver<SocketAddr>,
    client: UpstreamClient,
    peer: Peer,
    schedule: PollSchedule,
    /// Whether the last request was answered with a usable list.
    is_healthy: bool,
    table: Rc<EndpointTable>,
    nodes: Rc<UpstreamClient>,
    core: CoreSender,
}

impl DiscoveryWatch {
    fn new(
        mut discovery: Receiver<SocketAddr>,
        options: &WatchOptions,
        table: Rc<EndpointTable>,
        nodes: Rc<UpstreamClient>,
        core: CoreSender,
    ) -> Self {
        let address = *discovery.borrow_and_update();
        DiscoveryWatch {
            discovery,
            client: UpstreamClient::new(options.connect_timeout, WATCH_WAIT * 2, MAX_CONNECTIONS),
            peer: Peer { name: "discovery".into(), address },
            // The configured list may be old, so the watch continues from its revision: the full list is needed
            // only where discovery has restarted its count since.
            schedule: PollSchedule::new(options.revision, options.replicas, !options.seed),
            is_healthy: true,
            table,
            nodes,
            core,
        }
    }

    /// One request, its result and, after a failure, the backoff.
    async fn poll(&mut self) {
        let (target, timeout) = self.schedule.next_request();
        let request = Request::plain(Method::GET, target);
        let options = ExchangeOptions::timeout(timeout);
        let exchange = self.client.exchange(&self.peer, request, options, std::future::pending());
        let (outcome, response) = tokio::select! {
            biased;
            Ok(()) = self.discovery.changed() => return self.on_moved(),
            result = exchange => result,
        };
        match parse(outcome, response) {
            Some(Ok(list)) => self.on_list(list),
            failed => self.on_failure(outcome, failed.and_then(Result::err)).await,
        }
    }

    fn on_moved(&mut self) {
        self.peer.address = *self.discovery.borrow_and_update();
        self.schedule.on_moved();
        self.is_healthy = true;
        self.client.retain_idle(|_, address| address == self.peer.address);
        tracing::info!(discovery = %self.peer.address, "watching discovery");
    }

    fn on_list(&mut self, list: EndpointList) {
        if !std::mem::replace(&mut self.is_healthy, true) {
            tracing::info!(rev = list.rev, "discovery recovered");
        }
        self.table.is_synced.set(true);
        if !self.schedule.on_list(&list) {
            tracing::warn!(rev = list.rev, "discovery revision went back: requesting the full endpoint list");
            return;
        }
        if list.is_unchanged() {
            return;
        }
        let (rev, all, entries) = (list.rev, list.all, list.targets.len());
        tracing::info!(rev, all, entries, "endpoint list updated");
        let (scope, entries) = self.table.apply(list);
        self.nodes.retain_idle(|name, address| self.table.is_at(name, address));
        let _ = self.core.send(CoreMessage::Endpoints { scope, entries });
    }

    async fn on_failure(&mut self, outcome: ExchangeOutcome, unreadable: Option<serde_json::Error>) {
        if std::mem::replace(&mut self.is_healthy, false) {
            tracing::warn!(?outcome, ?unreadable, "discovery failed: keeping the current endpoint list");
        }
        let backoff = self.schedule.on_failure(outcome);
        // A new address of discovery ends the backoff; `poll` handles it. The clone leaves the change unseen.
        let mut moved = self.discovery.clone();
        let _ = tokio::time::timeout(backoff, moved.changed()).await;
    }
}

/// The list in a response; `None` without a response of status 200.
fn parse(
    outcome: ExchangeOutcome,
    response: Option<Response>,
) -> Option<Result<EndpointList, serde_json::Error>> {
    let response = response.filter(|_| outcome == ExchangeOutcome::Answered)?;
    Some(serde_json::from_slice(&response.body))
}
