//! Number of attempts in flight at each worker: those of this edge node, and those that the other edge nodes report.
//!
//! Edge nodes report over UDP. Changes are reported within milliseconds to edge nodes of the same zone, where traffic is
//! free, and a few times a second to those of other zones. As reports may be lost, the numbers may only influence the
//! choice of a worker; no invariant may depend on them.

use crate::protocol::{LoadReport, NodeLocation};
use std::collections::BTreeMap;
use std::net::IpAddr;
use whinstall::identifiers;

/// Minimum time between two reports to the own zone, in seconds for each other edge node in the zone.
const ZONE_INTERVAL_PER_NODE_SECS: f64 = 0.001;
/// Minimum time between two reports to other zones, in seconds.
const CROSS_ZONE_INTERVAL_SECS: f64 = 0.2;
/// Time after which an unchanged report is repeated, in seconds, because datagrams may be lost.
const REPEAT_INTERVAL_SECS: f64 = 0.25;
/// Time after which a report of another edge node expires, in seconds.
const REPORT_LIFETIME_SECS: f64 = 0.8;

/// Key of a worker in load reports: a hash of the worker's id.
pub type WorkerKey = u32;

/// Returns the key of the worker with this id. If the keys of two workers collide, the attempts of both are counted for
/// each.
pub fn worker_key(worker: &str) -> WorkerKey {
    identifiers::fnv1a(worker) as u32
}

/// Change in the number of attempts that the other edge nodes have in flight at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadChange {
    /// Key of the worker.
    pub worker: WorkerKey,
    /// New number of attempts in flight from all other edge nodes.
    pub in_flight: u32,
}

/// The last report of another edge node.
struct PeerLoad {
    incarnation: u64,
    sequence: u64,
    /// When the report arrived, in seconds of the clock that is passed in.
    received_at: f64,
    /// Attempts in flight by worker; empty once the report has expired.
    in_flight: Vec<(WorkerKey, u16)>,
}

/// Edge nodes that receive load reports at the same times.
struct ReportGroup {
    nodes: Vec<IpAddr>,
    /// When the next report is due, in seconds of the clock that is passed in; infinite if none is.
    due_at: f64,
    last_sent_at: f64,
}

impl ReportGroup {
    fn new() -> Self {
        ReportGroup { nodes: Vec::new(), due_at: f64::INFINITY, last_sent_at: 0.0 }
    }

    /// Schedules a report of a change, no earlier than `interval_secs` after the last report.
    fn schedule(&mut self, now: f64, interval_secs: f64) {
        self.due_at = self.due_at.min((self.last_sent_at + interval_secs).max(now));
    }

    /// Adds the nodes of the group to `receivers` if a report is due. Reports are repeated until this node has no attempt in
    /// flight (`is_idle`).
    fn take_due(&mut self, now: f64, is_idle: bool, receivers: &mut Vec<IpAddr>) {
        if now >= self.due_at {
            self.last_sent_at = now;
            self.due_at = if is_idle { f64::INFINITY } else { now + REPEAT_INTERVAL_SECS };
            receivers.extend(&self.nodes);
        }
    }
}

/// Number of attempts in flight by worker, from this edge node and from the other edge nodes.
pub struct LoadTable {
    location: NodeLocation,
    incarnation: u64,
    /// Sequence number of the last report.
    sequence: u64,
    own: BTreeMap<WorkerKey, u16>,
    peers: BTreeMap<IpAddr, PeerLoad>,
    /// Attempts in flight by worker, summed over `peers`.
    peer_totals: BTreeMap<WorkerKey, u32>,
    own_zone: ReportGroup,
    other_zones: ReportGroup,
}

impl LoadTable {
    /// Creates an empty table for the edge node at this location.
    pub fn new(location: NodeLocation, incarnation: u64) -> Self {
        LoadTable {
            location,
            incarnation,
            sequence: 0,
            own: BTreeMap::new(),
            peers: BTreeMap::new(),
            peer_totals: BTreeMap::new(),
            own_zone: ReportGroup::new(),
            other_zones: ReportGroup::new(),
        }
    }

    /// Sets the edge nodes that receive reports, with their zones. This node may be listed and is skipped.
    pub fn set_edge_nodes(&mut self, nodes: BTreeMap<IpAddr, &str>) {
        let peers = nodes.into_iter().filter(|(ip, _)| *ip != self.location.ip);
        let (in_own_zone, in_other_zones): (Vec<_>, Vec<_>) =
            peers.partition(|(_, zone)| *zone == self.location.zone);
        self.own_zone.nodes = in_own_zone.into_iter().map(|(ip, _)| ip).collect();
        self.other_zones.nodes = in_other_zones.into_iter().map(|(ip, _)| ip).collect();
    }

    /// Number of other edge nodes.
    #[cfg(test)]
    pub fn peer_count(&self) -> usize {
        self.own_zone.nodes.len() + self.other_zones.nodes.len()
    }

    fn schedule_reports(&mut self, now: f64) {
        self.own_zone.schedule(now, ZONE_INTERVAL_PER_NODE_SECS * self.own_zone.nodes.len() as f64);
        self.other_zones.schedule(now, CROSS_ZONE_INTERVAL_SECS);
    }

    /// Records that an attempt is dispatched to a worker.
    pub fn begin_attempt(&mut self, now: f64, worker: &str) {
        *self.own.entry(worker_key(worker)).or_default() += 1;
        self.schedule_reports(now);
    }

    /// Records that an attempt has ended.
    pub fn end_attempt(&mut self, now: f64, worker: &str) {
        let key = worker_key(worker);
        if let Some(in_flight) = self.own.get_mut(&key) {
            *in_flight = in_flight.saturating_sub(1);
            if *in_flight == 0 {
                self.own.remove(&key);
            }
        }
        self.schedule_reports(now);
    }

    /// When the next report is due, in seconds of the clock that is passed in; infinite if none is.
    pub fn next_report_at(&self) -> f64 {
        self.own_zone.due_at.min(self.other_zones.due_at)
    }

    /// Returns the report that is due now, with its receivers.
    pub fn take_report(&mut self, now: f64) -> Option<(Vec<IpAddr>, LoadReport)> {
        let (mut receivers, is_idle) = (Vec::new(), self.own.is_empty());
        self.own_zone.take_due(now, is_idle, &mut receivers);
        self.other_zones.take_due(now, is_idle, &mut receivers);
        if receivers.is_empty() {
            return None;
        }
        self.sequence += 1;
        let in_flight = self.own.iter().map(|(key, attempts)| (*key, *attempts)).collect();
        Some((receivers, LoadReport { incarnation: self.incarnation, sequence: self.sequence, in_flight }))
    }

    /// Applies a report of another edge node unless that report or a later one of the same incarnation was applied before.
    /// Returns the changes in the totals.
    pub fn on_report(&mut self, now: f64, from: IpAddr, report: LoadReport) -> Vec<LoadChange> {
        let LoadReport { incarnation, sequence, in_flight } = report;
        let known = self.peers.get(&from);
        if known.is_some_and(|p| p.incarnation == incarnation && p.sequence >= sequence) {
            return Vec::new();
        }
        let new = in_flight.clone();
        let old = self.peers.insert(from, PeerLoad { incarnation, sequence, received_at: now, in_flight });
        self.update_totals(old.map(|p| p.in_flight).unwrap_or_default(), new)
    }

    /// Replaces one node's attempts in the totals. Returns the changes in the totals.
    fn update_totals(&mut self, old: Vec<(WorkerKey, u16)>, new: Vec<(WorkerKey, u16)>) -> Vec<LoadChange> {
        let mut differences: BTreeMap<WorkerKey, i64> = BTreeMap::new();
        for (key, attempts) in old {
            *differences.entry(key).or_default() -= i64::from(attempts);
        }
        for (key, attempts) in new {
            *differences.entry(key).or_default() += i64::from(attempts);
        }
        let mut changes = Vec::new();
        for (worker, difference) in differences.into_iter().filter(|(_, d)| *d != 0) {
            let total = self.peer_totals.entry(worker).or_default();
            *total = (i64::from(*total) + difference).max(0) as u32;
            changes.push(LoadChange { worker, in_flight: *total });
        }
        changes
    }

    /// Drops the attempts of expired reports. Returns the changes in the totals.
    pub fn expire_reports(&mut self, now: f64) -> Vec<LoadChange> {
        let is_expired = |p: &PeerLoad| now - p.received_at > REPORT_LIFETIME_SECS && !p.in_flight.is_empty();
        let expired: Vec<IpAddr> =
            self.peers.iter().filter(|(_, p)| is_expired(p)).map(|(ip, _)| *ip).collect();
        let mut changes = Vec::new();
        for ip in expired {
            let Some(peer) = self.peers.get_mut(&ip) else { continue };
            let old = std::mem::take(&mut peer.in_flight);
            changes.extend(self.update_totals(old, Vec::new()));
        }
        self.peer_totals.retain(|_, total| *total > 0);
        changes
    }

    /// Number of attempts that the other edge nodes have in flight at a worker.
    pub fn peer_in_flight(&self, worker: &str) -> u32 {
        self.peer_totals.get(&worker_key(worker)).copied().unwrap_or(0)
    }
}
