//! Messages of other nodes: from core nodes on the connections that this process opened, and from edge nodes and core
//! nodes on the connections that they opened. Consensus messages go to `replicated_log`, pings of edge nodes to
//! `edge_sessions`.

use super::edge_sessions::StateVersion;
use super::quota_counter::EdgeIdentity;
use super::worker_membership::MergedWorkers;
use super::{tenant_limit, ConnectionId, CoreNode, Effect};
use crate::consensus::Term;
use crate::control_plane::context::LearnOutcome;
use crate::discovery::Worker;
use crate::protocol::{NodeLocation, PeerMessage, TenantUsage};
use crate::storage::WriteBatch;
use std::net::IpAddr;

impl CoreNode {
    /// Handles the establishment of an outbound connection to a core node: identifies this node, then sends the core
    /// nodes and the workers that this node knows.
    pub(super) fn handle_link_up(&mut self, ip: IpAddr, out: &mut Vec<Effect>) {
        self.connected_peers.insert(ip);
        let hello = PeerMessage::Hello {
            node: self.context.settings.node.clone(),
            incarnation: self.context.incarnation(),
            location: self.context.me.clone(),
            is_core: true,
        };
        out.push(Effect::SendToPeer(ip, hello));
        out.push(Effect::SendToPeer(ip, PeerMessage::CoreNodes(self.context.advertised_nodes())));
        let workers: Vec<Worker> = self.membership.registry.workers().cloned().collect();
        if !workers.is_empty() {
            out.push(Effect::SendToPeer(ip, PeerMessage::WorkerSnapshot { workers, complete: false }));
        }
    }

    pub(super) fn handle_link_down(&mut self, ip: IpAddr) {
        self.context.last_heard.remove(&ip);
        self.connected_peers.remove(&ip);
    }

    /// Handles a core node's message on the connection that this process opened to it.
    pub(super) fn handle_peer_message(
        &mut self,
        now: f64,
        ip: IpAddr,
        message: PeerMessage,
        out: &mut Vec<Effect>,
    ) {
        self.context.last_heard.insert(ip, now);
        match message {
            PeerMessage::CoreNodes(nodes) => self.learn_core_nodes(nodes, out),
            PeerMessage::Ping { workers_digest, received: version, .. } => {
                self.context.record_protocol_version(ip, version);
                self.compare_workers(now, ip, workers_digest, out)
            }
            PeerMessage::ForwardResponse { request_id, response } => {
                self.configuration.handle_forward_response(request_id, response, &mut self.context, out)
            }
            _ => {}
        }
    }

    /// Anti-entropy between core nodes: sends all workers to a peer whose registry keeps differing from the local one.
    fn compare_workers(&mut self, now: f64, ip: IpAddr, peer_digest: u64, out: &mut Vec<Effect>) {
        if self.membership.should_resend_all(now, ip, peer_digest) {
            let workers = self.membership.registry.workers().cloned().collect();
            out.push(Effect::SendToPeer(ip, PeerMessage::WorkerSnapshot { workers, complete: false }));
        }
    }

    /// Handles a message on a connection that an edge node or another core node opened. Messages before the `Hello` of
    /// the connection are dropped.
    pub(super) fn handle_session_message(
        &mut self,
        now: f64,
        conn: ConnectionId,
        message: PeerMessage,
        out: &mut Vec<Effect>,
    ) {
        if let PeerMessage::Hello { node, incarnation, location, is_core } = message {
            return self.open_session(now, conn, (node, incarnation, is_core), location, out);
        }
        let Some(session) = self.sessions.get(&conn).cloned() else { return };
        if session.core_ip.is_none() {
            self.edges.record_contact(now, &session.node);
        }
        match message {
            PeerMessage::CoreNodes(nodes) => self.learn_core_nodes(nodes, out),
            PeerMessage::Consensus { from, to, message } => {
                self.handle_consensus_message(now, from, to, message, out)
            }
            PeerMessage::Join { id, forwarded } => self.handle_join(now, id, forwarded, out),
            PeerMessage::Leave { id } => {
                let log_time = self.context.log_time(now);
                self.raft.leave(log_time, id);
                self.process_raft_outputs(now, out);
            }
            PeerMessage::ForwardRequest { request_id, request } => {
                let (raft, context) = (&mut self.raft, &mut self.context);
                self.configuration.handle_forwarded(conn, request_id, request, raft, context, out);
                self.process_raft_outputs(now, out);
            }
            PeerMessage::WorkerUpdates(workers) | PeerMessage::WorkerSnapshot { workers, .. } => {
                self.merge_relayed_workers(now, workers, out)
            }
            // Sent by core nodes of earlier releases, which count the confirmations.
            PeerMessage::ReplicateWorkers { request_id, workers } => {
                self.merge_relayed_workers(now, workers, out);
                out.push(Effect::SendToSession(conn, PeerMessage::WorkersReplicated { request_id }));
            }
            // A worker that is unknown here is skipped. The digests differ then, and anti-entropy transfers the worker.
            PeerMessage::Heartbeats(heartbeats) => self.membership.record_peer_heartbeats(now, &heartbeats),
            PeerMessage::Ping { config_index, workers_digest, received } => {
                self.handle_ping(now, conn, StateVersion { config_index, workers_digest }, received, out)
            }
            PeerMessage::QuotaSync { request_id, term, usage } => {
                let edge = EdgeIdentity { node: &session.node, incarnation: session.incarnation };
                let grants = self.sync_quota(now, request_id, edge, term, &usage);
                out.push(Effect::SendToSession(conn, grants));
            }
            _ => {}
        }
    }

    /// Accounts an edge node's usage, and returns the response. Without the quota lease the response has no grants.
    fn sync_quota(
        &mut self,
        now: f64,
        request_id: u64,
        edge: EdgeIdentity,
        seen_term: Term,
        usage: &[TenantUsage],
    ) -> PeerMessage {
        let lease = self.leased_term(now);
        let limits = |tenant: &str| tenant_limit(&self.configuration.state, tenant);
        let grants = self.quota_lease.sync(now, lease, edge, seen_term, usage, &limits);
        PeerMessage::QuotaGrants {
            request_id,
            term: self.raft.term(),
            is_leader: grants.is_some(),
            grants: grants.unwrap_or_default(),
        }
    }

    /// Adds core nodes to the known ones, connects to new ones, and advertises the changed list to the sessions.
    pub(super) fn learn_core_nodes(&mut self, nodes: Vec<NodeLocation>, out: &mut Vec<Effect>) {
        let mut has_changed = false;
        for node in nodes {
            let (ip, zone) = (node.ip, node.zone.clone());
            let outcome = self.context.learn_node(node);
            has_changed |= outcome != LearnOutcome::Unchanged;
            if outcome == LearnOutcome::NewNode {
                tracing::info!(member = %ip, zone, "core node discovered");
                out.push(Effect::Connect(ip));
            }
        }
        if has_changed {
            self.advertise_core_nodes(out);
        }
    }

    /// Sends the advertised core nodes to every session if they differ from those sent last. A node that is known only
    /// from others is not advertised, so that an address without a core node doesn't spread.
    pub(super) fn advertise_core_nodes(&mut self, out: &mut Vec<Effect>) {
        let nodes = self.context.advertised_nodes();
        if nodes != self.advertised {
            for conn in self.sessions.keys() {
                out.push(Effect::SendToSession(*conn, PeerMessage::CoreNodes(nodes.clone())));
            }
            self.advertised = nodes;
        }
    }

    /// Merges the report of a worker that called this node. Changes are sent to edge nodes and to the other core nodes.
    pub(super) fn merge_reported_worker(&mut self, now: f64, worker: Worker, out: &mut Vec<Effect>) {
        let MergedWorkers { changed, .. } = self.merge_workers(now, vec![worker], out);
        self.send_worker_updates_to_peers(&changed, out);
    }

    /// Merges workers that another core node sent. Changes are sent to edge nodes. The core nodes are sent only those
    /// workers that the sender reported as unresponsive although this node has a later report.
    fn merge_relayed_workers(&mut self, now: f64, workers: Vec<Worker>, out: &mut Vec<Effect>) {
        let MergedWorkers { contested, .. } = self.merge_workers(now, workers, out);
        self.send_worker_updates_to_peers(&contested, out);
    }

    /// Merges workers into the registry, persists the changes and sends them to edge nodes. Returns the changes, and
    /// the workers that the sender wrongly holds as unresponsive.
    pub(super) fn merge_workers(
        &mut self,
        now: f64,
        workers: Vec<Worker>,
        out: &mut Vec<Effect>,
    ) -> MergedWorkers {
        let (shutdowns, journal) = (&self.configuration.shutdowns, &mut self.context.journal);
        let merged = self.membership.merge(now, workers, shutdowns, journal);
        self.persist_workers(&merged.changed, out);
        if !merged.changed.is_empty() {
            self.send_worker_updates(now, out);
        }
        merged
    }

    fn send_worker_updates_to_peers(&self, workers: &[Worker], out: &mut Vec<Effect>) {
        if workers.is_empty() {
            return;
        }
        for ip in self.context.peers() {
            out.push(Effect::SendToPeer(ip, PeerMessage::WorkerUpdates(workers.to_vec())));
        }
    }

    /// Persists workers without waiting for the sync. After a power loss the node starts with the workers that were
    /// synced, and gets the others from heartbeats and peers.
    pub(super) fn persist_workers(&mut self, workers: &[Worker], out: &mut Vec<Effect>) {
        if !workers.is_empty() {
            let number = self.context.next_id();
            let workers = workers.to_vec();
            out.push(Effect::Persist(WriteBatch { sequence: number, workers, ..WriteBatch::default() }));
        }
    }
}
