//! The edge directory: the edge nodes that were recently in contact, with a change log from which each session is sent
//! the differences.
//!
//! An edge node that reconnects from the same location causes no change. An edge node without contact for `EXPIRY_SECS`
//! is removed. Its address stays in the change log for another `EXPIRY_SECS`, so that sessions learn of the removal.

use super::change_tracker::ChangeTracker;
use crate::protocol::{NodeLocation, PeerMessage};
use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;

/// Seconds without contact after which an edge node expires, and for which its removal then stays in the change log.
const EXPIRY_SECS: f64 = 60.0;

struct KnownEdge {
    last_heard_secs: f64,
    location: NodeLocation,
}

struct RemovedAddress {
    removed_secs: f64,
    ip: IpAddr,
}

/// Directory of the edge nodes that were recently in contact.
#[derive(Default)]
pub struct EdgeDirectory {
    edges: BTreeMap<String, KnownEdge>,
    changes: ChangeTracker<IpAddr>,
    /// Removed addresses in the order of their removal.
    removed: VecDeque<RemovedAddress>,
}

impl EdgeDirectory {
    /// Number of edge nodes.
    pub fn count(&self) -> usize {
        self.edges.len()
    }

    /// Number of the last change.
    pub fn last_change(&self) -> u64 {
        self.changes.last_change()
    }

    /// Adds an edge node that announced its location, or updates its entry.
    pub fn announce(&mut self, now: f64, node: &str, location: NodeLocation) {
        let ip = location.ip;
        let known = KnownEdge { last_heard_secs: now, location: location.clone() };
        match self.edges.insert(node.to_owned(), known) {
            Some(earlier) if earlier.location == location => return,
            Some(earlier) if earlier.location.ip != ip => self.remove_address(now, earlier.location.ip),
            _ => {}
        }
        self.changes.record(&ip);
    }

    /// Records contact with an edge node, so that it doesn't expire.
    pub fn record_contact(&mut self, now: f64, node: &str) {
        if let Some(edge) = self.edges.get_mut(node) {
            edge.last_heard_secs = now;
        }
    }

    /// Removes edge nodes without contact for `EXPIRY_SECS`, and forgets removals that are as old.
    pub fn expire(&mut self, now: f64) {
        let expired = self.edges.iter().filter(|(_, e)| now - e.last_heard_secs >= EXPIRY_SECS);
        for node in expired.map(|(node, _)| node.clone()).collect::<Vec<_>>() {
            if let Some(edge) = self.edges.remove(&node) {
                self.remove_address(now, edge.location.ip);
            }
        }
        while let Some(ip) =
            self.removed.front().filter(|r| now - r.removed_secs >= EXPIRY_SECS).map(|r| r.ip)
        {
            self.removed.pop_front();
            if !self.has_address(ip) {
                self.changes.forget(&ip);
            }
        }
    }

    /// Returns the message that updates a session from the change `known` to the last one. The message contains all
    /// edge nodes if `known` is `None` or if the difference is no longer known.
    pub fn update_since(&self, known: Option<u64>) -> PeerMessage {
        let Some(changed) = known.and_then(|change| self.changes.changed_since(change)) else {
            let all = self.edges.values().map(|e| &e.location);
            return PeerMessage::EdgeNodes {
                is_full: true,
                present: group_by_zone(all),
                removed: Vec::new(),
            };
        };
        let locations: BTreeMap<IpAddr, &NodeLocation> =
            self.edges.values().map(|e| (e.location.ip, &e.location)).collect();
        let (mut present, mut removed) = (Vec::new(), Vec::new());
        for ip in changed {
            match locations.get(ip) {
                Some(location) => present.push(*location),
                None => removed.push(*ip),
            }
        }
        PeerMessage::EdgeNodes { is_full: false, present: group_by_zone(present.into_iter()), removed }
    }

    /// Records that an edge node left this address, unless another edge node has the address by now.
    fn remove_address(&mut self, now: f64, ip: IpAddr) {
        if !self.has_address(ip) {
            self.changes.record(&ip);
            self.removed.push_back(RemovedAddress { removed_secs: now, ip });
        }
    }

    fn has_address(&self, ip: IpAddr) -> bool {
        self.edges.values().any(|e| e.location.ip == ip)
    }
}

fn group_by_zone<'a>(locations: impl Iterator<Item = &'a NodeLocation>) -> Vec<(String, Vec<IpAddr>)> {
    let mut zones: BTreeMap<&str, Vec<IpAddr>> = BTreeMap::new();
    for location in locations {
        zones.entry(&location.zone).or_default().push(location.ip);
    }
    zones.into_iter().map(|(zone, ips)| (zone.to_owned(), ips)).collect()
}
