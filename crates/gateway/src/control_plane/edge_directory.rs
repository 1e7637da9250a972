//! Owns which gatekeepers there are, and which of them are news to whom. One that is back, where it was, is none. It must
//! never hold one that was not heard for long.

use super::change_tracker::ChangeTracker;
use crate::protocol::{NodeLocation, PeerMessage};
use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;

/// Gatekeepers count for so long after they were last heard of, and are known to be gone for as long: seconds.
const KEPT: f64 = 60.0;

/// The gatekeepers that were heard of lately.
#[derive(Default)]
pub struct EdgeDirectory {
    /// By name: when last heard of, where.
    gates: BTreeMap<String, (f64, NodeLocation)>,
    changes: ChangeTracker<IpAddr>,
    gone: VecDeque<(f64, IpAddr)>,
}

impl EdgeDirectory {
    /// How many there are.
    pub fn count(&self) -> usize {
        self.gates.len()
    }

    /// The number of the last change.
    pub fn last(&self) -> u64 {
        self.changes.last()
    }

    /// One says where it is.
    pub fn meet(&mut self, now: f64, node: &str, me: NodeLocation) {
        let ip = me.ip;
        match self.gates.insert(node.to_owned(), (now, me.clone())) {
            Some((_, old)) if old == me => return,
            Some((_, old)) if old.ip != ip => self.left(now, old.ip),
            _ => {}
        }
        self.changes.touch(&ip);
    }

    /// One was heard.
    pub fn heard(&mut self, now: f64, node: &str) {
        if let Some((at, _)) = self.gates.get_mut(node) {
            *at = now;
        }
    }

    fn left(&mut self, now: f64, ip: IpAddr) {
        // Another one may have its address by now.
        if !self.gates.values().any(|(_, m)| m.ip == ip) {
            self.changes.touch(&ip);
            self.gone.push_back((now, ip));
        }
    }

    /// Those that were not heard for long are gone.
    pub fn sweep(&mut self, now: f64) {
        let late = self.gates.iter().filter(|(_, (at, _))| now - at >= KEPT);
        for node in late.map(|(node, _)| node.clone()).collect::<Vec<_>>() {
            if let Some((_, member)) = self.gates.remove(&node) {
                self.left(now, member.ip);
            }
        }
        while let Some((_, ip)) = self.gone.front().filter(|(at, _)| now - at >= KEPT).copied() {
            self.gone.pop_front();
            if !self.gates.values().any(|(_, m)| m.ip == ip) {
                self.changes.forget(&ip);
            }
        }
    }

    /// What somebody lacks who knows them up to this change (`None`: nothing).
    pub fn lacked(&self, known: Option<u64>) -> PeerMessage {
        let Some(changed) = known.and_then(|number| self.changes.since(number)) else {
            let all = self.gates.values().map(|(_, m)| m);
            return PeerMessage::EdgeNodes { is_full: true, present: by_zone(all), removed: Vec::new() };
        };
        let places: BTreeMap<IpAddr, &NodeLocation> = self.gates.values().map(|(_, m)| (m.ip, m)).collect();
        let (mut here, mut gone) = (Vec::new(), Vec::new());
        for ip in changed {
            match places.get(ip) {
                Some(member) => here.push(*member),
                None => gone.push(*ip),
            }
        }
        PeerMessage::EdgeNodes { is_full: false, present: by_zone(here.into_iter()), removed: gone }
    }
}

fn by_zone<'a>(members: impl Iterator<Item = &'a NodeLocation>) -> Vec<(String, Vec<IpAddr>)> {
    let mut zones: BTreeMap<&str, Vec<IpAddr>> = BTreeMap::new();
    for member in members {
        zones.entry(&member.zone).or_default().push(member.ip);
    }
    zones.into_iter().map(|(zone, ips)| (zone.to_owned(), ips)).collect()
}
