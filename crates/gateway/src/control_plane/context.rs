//! State that all parts of the core role share: this node's identity and settings, the core nodes that it knows, and
//! which of them it is in contact with.
//!
//! Only voters count towards a majority. Nodes known by hearsay, seeds among them, never do: otherwise a wiped node
//! beside a partitioned one could act as the core.

use crate::consensus::Millis;
use crate::control_plane::event_journal::EventJournal;
use crate::protocol::NodeLocation;
use crate::settings::Settings;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;

/// A core node is reachable if it was heard within this many seconds.
const REACHABLE_WITHIN_SECS: f64 = 1.2;
/// A core node that does not vote is advertised to others if it was heard within this many seconds.
const ADVERTISED_WITHIN_SECS: f64 = 10.0;
/// A core node that neither votes nor is a seed is forgotten after this many seconds of silence.
const FORGET_AFTER_SECS: f64 = 60.0;
/// The log's clock starts at a random number of milliseconds below this...
const EPOCH_LIMIT_MS: Millis = 1 << 40;
/// ...rounded down to a multiple of this, over four hours.
const EPOCH_STEP_MS: Millis = 1 << 24;

/// What [`CoreContext::learn_node`] did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LearnOutcome {
    /// The node was unknown.
    NewNode,
    /// The node was known, but not its location.
    NewLocation,
    /// Nothing new.
    Unchanged,
}

/// What the parts of the core role share.
pub struct CoreContext {
    /// The settings in force.
    pub settings: Settings,
    /// This node.
    pub me: NodeLocation,
    /// Core nodes that are known, by address: this one, voters, seeds, and those heard of lately.
    pub known_nodes: BTreeMap<IpAddr, NodeLocation>,
    /// Addresses of the log's voters.
    pub voters: BTreeSet<IpAddr>,
    /// When each core node was last heard, in seconds of the event clock.
    pub last_heard: HashMap<IpAddr, f64>,
    /// When each core node became known; counts until it is heard for the first time.
    learned_at: HashMap<IpAddr, f64>,
    /// When this process started, in seconds of the event clock.
    pub started: f64,
    /// The time of the event at hand, in seconds of the event clock.
    pub now: f64,
    /// The latest events at this node, for diagnosis.
    pub journal: EventJournal,
    last_id: u64,
    epoch: Millis,
}

impl CoreContext {
    /// Starts with this node and the seeds as the known core nodes.
    pub fn new(now: f64, settings: Settings) -> Self {
        let me =
            NodeLocation { ip: settings.ip, zone: settings.zone.clone(), region: settings.region.clone() };
        let mut known_nodes: BTreeMap<IpAddr, NodeLocation> =
            settings.seeds.iter().map(|seed| (seed.ip(), NodeLocation::unplaced(seed.ip()))).collect();
        known_nodes.insert(me.ip, me.clone());
        CoreContext {
            settings,
            me,
            known_nodes,
            voters: BTreeSet::new(),
            last_heard: HashMap::new(),
            learned_at: HashMap::new(),
            started: now,
            now,
            journal: EventJournal::default(),
            last_id: 0,
            epoch: fastrand::u64(..EPOCH_LIMIT_MS) & !(EPOCH_STEP_MS - 1),
        }
    }

    /// An id for a request or a write batch: rising, and unique within this incarnation of the process.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// The log's clock, in milliseconds. Each incarnation of the process has a random epoch, so that a timestamp of an
    /// earlier one is recognised as foreign.
    pub fn log_time(&self, now: f64) -> Millis {
        self.epoch + (now * 1e3) as Millis
    }

    /// Tells this incarnation of the process from earlier and later ones.
    pub fn incarnation(&self) -> u64 {
        (self.started * 1e6) as u64
    }

    /// Addresses of the other known core nodes.
    pub fn peers(&self) -> Vec<IpAddr> {
        self.known_nodes.keys().copied().filter(|ip| *ip != self.me.ip).collect()
    }

    /// Whether this node has heard the one at `ip` lately. Always true of itself.
    pub fn is_reachable(&self, now: f64, ip: &IpAddr) -> bool {
        let last_heard = self.last_heard.get(ip);
        *ip == self.me.ip || last_heard.is_some_and(|at| now - at <= REACHABLE_WITHIN_SECS)
    }

    /// Whether a majority of the voters is reachable.
    pub fn has_majority(&self, now: f64) -> bool {
        let reachable = self.voters.iter().filter(|ip| self.is_reachable(now, ip)).count();
        2 * reachable > self.voters.len()
    }

    /// Whether data on these nodes outlives every loss that the settings tolerate: they are more nodes, in more zones
    /// and more regions, than may be lost at once.
    pub fn survives_tolerated_losses<'a>(&self, holders: impl Iterator<Item = &'a IpAddr>) -> bool {
        let (mut nodes, mut zones, mut regions) = (0, BTreeSet::new(), BTreeSet::new());
        for ip in holders {
            nodes += 1;
            let Some(node) = self.known_nodes.get(ip) else { continue };
            zones.insert(&node.zone);
            regions.insert(&node.region);
        }
        let tolerance = self.settings.tolerance;
        nodes > tolerance.machines && zones.len() > tolerance.zones && regions.len() > tolerance.regions
    }

    /// Takes note of a core node and its location. A location once known stays.
    pub fn learn_node(&mut self, node: NodeLocation) -> LearnOutcome {
        let known = self.known_nodes.get(&node.ip);
        let adds_nothing = known.is_some_and(|known| !known.zone.is_empty() || node.zone.is_empty());
        if node.ip == self.me.ip || adds_nothing {
            return LearnOutcome::Unchanged;
        }
        let outcome = if known.is_none() { LearnOutcome::NewNode } else { LearnOutcome::NewLocation };
        self.learned_at.insert(node.ip, self.now);
        self.known_nodes.insert(node.ip, node);
        outcome
    }

    /// The core nodes that this one tells others about: itself, the voters, and those that it has heard itself lately.
    pub fn advertised_nodes(&self) -> Vec<NodeLocation> {
        let was_heard_lately =
            |ip: &IpAddr| self.last_heard.get(ip).is_some_and(|at| self.now - at < ADVERTISED_WITHIN_SECS);
        let is_advertised = |node: &&NodeLocation| {
            node.ip == self.me.ip || self.voters.contains(&node.ip) || was_heard_lately(&node.ip)
        };
        self.known_nodes.values().filter(is_advertised).cloned().collect()
    }

    /// Forgets nodes that neither vote nor are seeds and were not heard for long; returns their addresses.
    pub fn forget_stale_nodes(&mut self) -> Vec<IpAddr> {
        let seeds: BTreeSet<IpAddr> = self.settings.seeds.iter().map(|seed| seed.ip()).collect();
        let silent_since = |ip: &IpAddr| {
            self.last_heard.get(ip).or(self.learned_at.get(ip)).copied().unwrap_or(self.started)
        };
        let (now, me) = (self.now, self.me.ip);
        let is_stale = |ip: &&IpAddr| {
            **ip != me
                && !self.voters.contains(ip)
                && !seeds.contains(ip)
                && now - silent_since(ip) > FORGET_AFTER_SECS
        };
        let stale: Vec<IpAddr> = self.known_nodes.keys().filter(is_stale).copied().collect();
        for ip in &stale {
            self.known_nodes.remove(ip);
            self.last_heard.remove(ip);
            self.learned_at.remove(ip);
        }
        stale
    }
}
