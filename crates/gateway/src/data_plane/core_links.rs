//! Links to the core nodes and the messages received over them: lists of core and edge nodes, configuration updates, workers
//! and quota grants.

use super::{EdgeNode, Effect};
use crate::configuration::replica::ReplicaUpdate;
use crate::configuration::{ConfigItem, ItemKind};
use crate::protocol::{NodeLocation, PeerMessage};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;

/// Time after the last message, in seconds, for which the link to a core node is kept that is neither a seed nor listed by
/// another core node.
const LINK_RETENTION_SECS: f64 = 60.0;

/// State of the link to one core node.
#[derive(Clone, Debug, Default)]
pub(super) struct CoreLink {
    pub(super) is_up: bool,
    /// When the last message arrived on the current connection, in seconds of the clock that is passed in.
    pub(super) last_heard_at: f64,
    /// The quota leader that this core node last reported.
    pub(super) quota_leader: Option<IpAddr>,
    /// Number of edge nodes that this core node last reported.
    edge_count: u32,
    /// Core nodes that this core node last listed.
    core_nodes: Vec<IpAddr>,
    /// Edge nodes that this core node listed, with their zones.
    edge_nodes: BTreeMap<IpAddr, Arc<str>>,
    /// Number of messages received on the current connection, reported to the core node for flow control.
    messages_received: u64,
    /// When the last message arrived on any connection, in seconds of the clock that is passed in. Until the first message:
    /// when the link was first checked for obsolescence.
    last_seen_at: f64,
}

impl EdgeNode {
    /// Opens a link to a core node if there is none.
    pub(super) fn open_link(&mut self, ip: IpAddr, out: &mut Vec<Effect>) {
        self.links.entry(ip).or_insert_with(|| {
            out.push(Effect::Connect(ip));
            CoreLink::default()
        });
    }

    pub(super) fn on_link_up(&mut self, ip: IpAddr, out: &mut Vec<Effect>) {
        let hello = PeerMessage::Hello {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            location: own_location(&self.settings),
            is_core: false,
        };
        let link = self.links.entry(ip).or_default();
        (link.is_up, link.messages_received) = (true, 0);
        out.push(Effect::Send(ip, hello));
        out.push(Effect::Send(ip, self.ping_message(ip)));
    }

    pub(super) fn on_link_down(&mut self, now: f64, ip: IpAddr) {
        let link = std::mem::take(self.links.entry(ip).or_default());
        let was_quota_leader = link.quota_leader == Some(ip);
        // The edge nodes that the core node listed are kept, so that the loss of a core node does not by itself remove edge
        // nodes. They do not count while the link is down.
        let (last_seen_at, edge_nodes) = (link.last_seen_at, link.edge_nodes);
        self.links.insert(ip, CoreLink { last_seen_at, edge_nodes, ..CoreLink::default() });
        if was_quota_leader {
            self.quota.on_leader_lost(now);
        }
    }

    /// Builds a ping to a core node. The ping tells that node the version of the configuration and a digest of the workers
    /// that this node holds, from which it decides what to send, and the number of messages received, for flow control.
    pub fn ping_message(&self, ip: IpAddr) -> PeerMessage {
        PeerMessage::Ping {
            config_index: self.replica.index(),
            workers_digest: self.registry.digest(),
            received: self.links.get(&ip).map_or(0, |l| l.messages_received),
        }
    }

    pub(super) fn on_core_message(&mut self, now: f64, ip: IpAddr, msg: PeerMessage, out: &mut Vec<Effect>) {
        let link = self.links.entry(ip).or_default();
        (link.last_heard_at, link.last_seen_at) = (now, now);
        link.messages_received += 1;
        match msg {
            PeerMessage::CoreNodes(nodes) => {
                link.core_nodes = nodes.iter().map(|n| n.ip).collect();
                for NodeLocation { ip, .. } in nodes {
                    self.open_link(ip, out);
                }
            }
            PeerMessage::Pong { quota_leader, edge_count, workers_complete, .. } => {
                (link.quota_leader, link.edge_count) = (quota_leader, edge_count);
                self.has_complete_workers |= workers_complete;
                self.update_edge_count();
                self.sync_quota(now, out);
            }
            PeerMessage::EdgeNodes { is_full, present, removed } => {
                self.on_edge_nodes(ip, is_full, present, &removed)
            }
            PeerMessage::ConfigUpdate { previous, index, items } => {
                let is_ping_due = self.on_config_update(previous, index, items);
                if is_ping_due {
                    // The core sends the next part of a large configuration once a ping confirms this one. Without an
                    // immediate ping, each part would wait for the next regular ping.
                    out.push(Effect::Send(ip, self.ping_message(ip)));
                }
            }
            PeerMessage::WorkerUpdates(workers) => self.apply_workers(now, workers, out),
            PeerMessage::WorkerSnapshot { workers, complete } => {
                self.on_worker_snapshot(now, workers, complete, out)
            }
            PeerMessage::QuotaGrants { request_id, term, is_leader: true, grants } => {
                if self.quota.on_grants(now, request_id, term, &grants) {
                    self.has_quota_answer = true;
                    self.decide_waiting(now, request_id, out);
                }
                self.sync_quota(now, out);
            }
            PeerMessage::QuotaGrants { is_leader: false, .. } => {
                link.quota_leader = None;
                self.quota.on_leader_lost(now);
            }
            _ => {}
        }
    }

    /// Sets the number of edge nodes to the highest number that any core node reports. The number decreases only once all
    /// connected core nodes report fewer.
    fn update_edge_count(&mut self) {
        let highest = self.links.values().map(|l| l.edge_count).max().unwrap_or(0);
        if highest != self.edge_count {
            self.edge_count = highest;
            self.quota.set_edge_count(highest);
            self.services.values_mut().for_each(|s| s.set_edge_count(highest));
        }
    }

    /// Applies a core node's update of its list of edge nodes. The load table uses the union of the lists of all connected
    /// core nodes.
    fn on_edge_nodes(
        &mut self,
        ip: IpAddr,
        is_full: bool,
        present: Vec<(String, Vec<IpAddr>)>,
        removed: &[IpAddr],
    ) {
        let link = self.links.entry(ip).or_default();
        if is_full {
            link.edge_nodes.clear();
        }
        for (zone, ips) in present {
            let zone: Arc<str> = zone.into();
            link.edge_nodes.extend(ips.into_iter().map(|ip| (ip, Arc::clone(&zone))));
        }
        for ip in removed {
            link.edge_nodes.remove(ip);
        }
        let listed = self.links.values().filter(|l| l.is_up).flat_map(|l| &l.edge_nodes);
        let edge_nodes: BTreeMap<IpAddr, &str> = listed.map(|(ip, zone)| (*ip, &**zone)).collect();
        self.loads.set_edge_nodes(edge_nodes);
    }

    /// Applies a configuration update. Returns whether a ping should tell the core at once which version this node holds.
    fn on_config_update(&mut self, previous: Option<u64>, index: u64, items: Vec<ConfigItem>) -> bool {
        let (is_full, count) = (previous.is_none(), items.len());
        let kinds: BTreeSet<ItemKind> = items.iter().map(|i| i.kind).collect();
        match self.replica.apply_update(previous, index, items) {
            ReplicaUpdate::Applied => {
                let config = match is_full {
                    true => self.active_config.with_all_items(self.replica.active_items(), &kinds),
                    false => self.active_config.with_changed_kinds(self.replica.active_items(), &kinds),
                };
                self.active_config = Arc::new(config);
                tracing::info!(index, items = count, "configuration applied");
            }
            // An earlier update is missing; the core resends it after the next ping.
            ReplicaUpdate::Gap => {}
            ReplicaUpdate::Stale => return false,
        }
        is_full || self.replica.index() < index
    }

    /// Closes links to core nodes that were replaced: no message for [`LINK_RETENTION_SECS`], not a seed, and listed by no
    /// connected core node. An accepted connection does not keep a link, because the address may now belong to another
    /// program.
    pub(super) fn close_obsolete_links(&mut self, now: f64, out: &mut Vec<Effect>) {
        for link in self.links.values_mut().filter(|l| l.last_seen_at == 0.0) {
            link.last_seen_at = now;
        }
        let is_listed = |ip: &IpAddr| self.links.values().any(|l| l.is_up && l.core_nodes.contains(ip));
        let is_seed = |ip: &IpAddr| self.settings.seeds.iter().any(|s| s.ip() == *ip);
        let is_obsolete = |(ip, l): &(&IpAddr, &CoreLink)| {
            now - l.last_seen_at > LINK_RETENTION_SECS && !is_seed(ip) && !is_listed(ip)
        };
        let obsolete: Vec<IpAddr> = self.links.iter().filter(is_obsolete).map(|(ip, _)| *ip).collect();
        for ip in obsolete {
            self.links.remove(&ip);
            out.push(Effect::Disconnect(ip));
        }
    }
}

/// Location of this node, as reported to its peers.
pub(super) fn own_location(settings: &crate::settings::Settings) -> NodeLocation {
    NodeLocation { ip: settings.ip, zone: settings.zone.clone(), region: settings.region.clone() }
}
