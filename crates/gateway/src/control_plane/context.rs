//! Owns what the parts of the core share: who this machine is, which core machines it knows, who of them is in touch. It
//! must never count a machine that is not a member of the log towards most of the core.

use crate::consensus::Millis;
use crate::control_plane::event_journal::EventJournal;
use crate::protocol::NodeLocation;
use crate::settings::Settings;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;

/// A core machine that said nothing for so long is out of touch: seconds.
const TOUCH: f64 = 1.2;
/// Others are told of a machine that was heard within this: seconds.
const LATELY: f64 = 10.0;
/// One that does not vote and was not heard for so long is forgotten: seconds.
const FORGET: f64 = 60.0;

/// What the parts of the core share.
pub struct CoreContext {
    /// Settings in force.
    pub settings: Settings,
    /// This machine.
    pub me: NodeLocation,
    /// Core machines that are known, this one included, by address: those that vote, seeds, those that were met lately.
    pub known_nodes: BTreeMap<IpAddr, NodeLocation>,
    /// Machines that vote in the log.
    pub voters: BTreeSet<IpAddr>,
    /// When each was last heard of.
    pub last_heard: HashMap<IpAddr, f64>,
    /// When those that were never heard of became known.
    met: HashMap<IpAddr, f64>,
    /// When this process started.
    pub started: f64,
    /// The time of the event at hand.
    pub now: f64,
    /// What happened here.
    pub journal: EventJournal,
    next: u64,
    epoch: Millis,
}

impl CoreContext {
    /// Knows itself and the seeds.
    pub fn new(now: f64, settings: Settings) -> Self {
        let me =
            NodeLocation { ip: settings.ip, zone: settings.zone.clone(), region: settings.region.clone() };
        let blank = |ip| NodeLocation { ip, zone: String::new(), region: String::new() };
        let mut known_nodes: BTreeMap<IpAddr, NodeLocation> =
            settings.seeds.iter().map(|s| (s.ip(), blank(s.ip()))).collect();
        known_nodes.insert(me.ip, me.clone());
        CoreContext {
            settings,
            me,
            known_nodes,
            voters: BTreeSet::new(),
            last_heard: HashMap::new(),
            met: HashMap::new(),
            started: now,
            now,
            journal: EventJournal::default(),
            next: 0,
            epoch: fastrand::u64(..1 << 40) & !0xff_ffff,
        }
    }

    /// A number that was not used before in this life.
    pub fn next_id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// The log's time: of its own for every life, so that a stamp of an earlier one is known.
    pub fn log_time(&self, now: f64) -> Millis {
        self.epoch + (now * 1e3) as Millis
    }

    /// What tells this life of the process from others.
    pub fn incarnation(&self) -> u64 {
        (self.started * 1e6) as u64
    }

    /// The other core machines that are known.
    pub fn peers(&self) -> Vec<IpAddr> {
        self.known_nodes.keys().copied().filter(|ip| *ip != self.me.ip).collect()
    }

    /// Is this one in touch?
    pub fn is_reachable(&self, now: f64, ip: &IpAddr) -> bool {
        *ip == self.me.ip || self.last_heard.get(ip).is_some_and(|at| now - at <= TOUCH)
    }

    /// Is most of the core in touch?
    pub fn has_majority(&self, now: f64) -> bool {
        let there = self.voters.iter().filter(|ip| self.is_reachable(now, ip)).count();
        2 * there > self.voters.len()
    }

    /// Would all that hold something be among these, if they were lost? By the tolerance of the settings.
    pub fn survives_tolerated_losses<'a>(&self, of: impl Iterator<Item = &'a IpAddr>) -> bool {
        let (mut machines, mut zones, mut regions) = (0, BTreeSet::new(), BTreeSet::new());
        for ip in of {
            machines += 1;
            let Some(m) = self.known_nodes.get(ip) else { continue };
            zones.insert(&m.zone);
            regions.insert(&m.region);
        }
        let t = self.settings.tolerance;
        machines > t.machines && zones.len() > t.zones && regions.len() > t.regions
    }

    /// A machine is known, or more of it than before. `Some(true)`: it is new.
    pub fn learn_node(&mut self, m: NodeLocation) -> Option<bool> {
        let held = self.known_nodes.get(&m.ip);
        if m.ip == self.me.ip || held.is_some_and(|h| !h.zone.is_empty() || m.zone.is_empty()) {
            return None;
        }
        let new = held.is_none();
        self.met.insert(m.ip, self.now);
        self.known_nodes.insert(m.ip, m);
        Some(new)
    }

    /// Machines that others may hear of from this one.
    pub fn advertised_nodes(&self) -> Vec<NodeLocation> {
        let lately = |ip: &IpAddr| self.last_heard.get(ip).is_some_and(|at| self.now - at < LATELY);
        let tell = |m: &&NodeLocation| m.ip == self.me.ip || self.voters.contains(&m.ip) || lately(&m.ip);
        self.known_nodes.values().filter(tell).cloned().collect()
    }

    /// Forgets machines that neither vote nor were heard for long, nor are seeds; returned: their addresses.
    pub fn forget_stale_nodes(&mut self) -> Vec<IpAddr> {
        let seeds: BTreeSet<IpAddr> = self.settings.seeds.iter().map(|s| s.ip()).collect();
        let since =
            |ip: &IpAddr| self.last_heard.get(ip).or(self.met.get(ip)).copied().unwrap_or(self.started);
        let (now, me) = (self.now, self.me.ip);
        let gone = |ip: &&IpAddr| {
            **ip != me && !self.voters.contains(ip) && !seeds.contains(ip) && now - since(ip) > FORGET
        };
        let gone: Vec<IpAddr> = self.known_nodes.keys().filter(gone).copied().collect();
        for ip in &gone {
            self.known_nodes.remove(ip);
            self.last_heard.remove(ip);
            self.met.remove(ip);
        }
        gone
    }
}
