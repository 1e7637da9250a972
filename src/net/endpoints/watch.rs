//! Watch on discovery: long-polls for changes and applies them to the endpoint table.

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

/// Maximum number of connections to discovery: one in use, and one to the address before a move.
const MAX_CONNECTIONS: usize = 2;

/// Parameters of the discovery watch.
pub struct WatchOptions {
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Revision of the configured endpoint list, from which the watch continues.
    pub revision: u64,
    /// Number of gatekeepers in the fleet, including this one.
    pub replicas: u32,
    /// Seed for the random delays of the schedule.
    pub seed: u64,
}

/// Watches discovery until the program exits, at the address that `discovery` holds. Applies changes to `table`, sends
/// them to the core and closes the idle connections of `nodes` to removed or moved nodes.
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
    /// Configured address of discovery.
    discovery: Receiver<SocketAddr>,
    client: UpstreamClient,
    peer: Peer,
    schedule: PollSchedule,
    /// Whether the last request returned a valid list. Limits log lines to changes of this state.
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
            // The watch continues from the revision of the configured list, which may be outdated. The full list is
            // needed only if discovery has restarted its revision count since.
            schedule: PollSchedule::new(options.revision, options.replicas, !options.seed),
            is_healthy: true,
            table,
            nodes,
            core,
        }
    }

    /// Sends one request and handles the result; after a failure, waits for the backoff.
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
        tracing::info!(discovery = %self.peer.address, "discovery address changed: watching the new address");
    }

    fn on_list(&mut self, list: EndpointList) {
        if !std::mem::replace(&mut self.is_healthy, true) {
            tracing::info!(rev = list.rev, "discovery returned an endpoint list again");
        }
        self.table.is_synced.set(true);
        if !self.schedule.on_list(&list) {
            tracing::warn!(
                rev = list.rev,
                "discovery sent a lower revision than before: requesting the full endpoint list"
            );
            return;
        }
        if list.is_unchanged() {
            return;
        }
        let (rev, all, entries) = (list.rev, list.all, list.targets.len());
        tracing::info!(rev, all, entries, "endpoint list updated");
        let (scope, entries) = self.table.apply(list);
        self.nodes.retain_idle(|name, address| self.table.has_address(name, address));
        let _ = self.core.send(CoreMessage::Endpoints { scope, entries });
    }

    async fn on_failure(&mut self, outcome: ExchangeOutcome, error: Option<serde_json::Error>) {
        if std::mem::replace(&mut self.is_healthy, false) {
            tracing::warn!(?outcome, ?error, "discovery request failed: keeping the current endpoint list");
        }
        let backoff = self.schedule.on_failure(outcome);
        // A change of the address ends the backoff. The clone leaves the change unseen by `self.discovery`, so that
        // `poll` handles it.
        let mut moved = self.discovery.clone();
        let _ = tokio::time::timeout(backoff, moved.changed()).await;
    }
}

/// Parses the list in a response; `None` without a response of status 200.
fn parse(
    outcome: ExchangeOutcome,
    response: Option<Response>,
) -> Option<Result<EndpointList, serde_json::Error>> {
    let response = response.filter(|_| outcome == ExchangeOutcome::Answered)?;
    Some(serde_json::from_slice(&response.body))
}
