//! State that all parts of the core role share: this node's identity and settings, the core nodes that it knows, and
//! which of them are reachable.
//!
//! Only voters count towards a majority. Other known nodes never do, not even seeds: otherwise a node with an empty
//! disk and a partitioned node could together act as the core.

use crate::consensus::Millis;
use crate::control_plane::event_journal::EventJournal;
use crate::protocol::NodeLocation;
use crate::settings::Settings;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;

/// Seconds since the last message within which a core node counts as reachable.
const REACHABLE_WITHIN_SECS: f64 = 1.2;
/// Seconds since the last message within which a core node that is not a voter is advertised to other nodes.
const ADVERTISED_WITHIN_SECS: f64 = 10.0;
/// Seconds without a message after which a core node that is neither a voter nor a seed is forgotten.
const FORGET_AFTER_SECS: f64 = 60.0;
/// Upper bound, in milliseconds, of the random time at which the log's clock starts.
const EPOCH_UPPER_BOUND_MS: Millis = 1 << 40;
/// Granularity, in milliseconds, of the random time at which the log's clock starts. Over four hours, so that the
/// clocks of two incarnations with different epochs seldom overlap.
const EPOCH_STEP_MS: Millis = 1 << 24;

/// Result of [`CoreContext::learn_node`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LearnOutcome {
    /// The node was unknown.
    NewNode,
    /// The node was known without its location.
    NewLocation,
    /// The node and its location were known.
    Unchanged,
}

/// State that the parts of the core role share.
pub struct CoreContext {
    /// The settings in force.
    pub settings: Settings,
    /// This node.
    pub me: NodeLocation,
    /// Known core nodes by address: this one, voters, seeds, and nodes learned from others or recently heard.
    pub known_nodes: BTreeMap<IpAddr, NodeLocation>,
    /// Addresses of the log's voters.
    pub voters: BTreeSet<IpAddr>,
    /// Time of the last message from each core node, in seconds of the event clock.
    pub last_heard: HashMap<IpAddr, f64>,
    /// Protocol version of each core node that has named one.
    protocol_versions: HashMap<IpAddr, u64>,
    /// Time at which each core node became known, in seconds of the event clock. Used for forgetting nodes that were
    /// never heard.
    learned_at: HashMap<IpAddr, f64>,
    /// Start time of this process, in seconds of the event clock.
    pub started: f64,
    /// Time of the event that is being handled, in seconds of the event clock.
    pub now: f64,
    /// The latest events at this node, for diagnosis.
    pub journal: EventJournal,
    /// The last id that [`CoreContext::next_id`] returned.
    last_id: u64,
    /// Reading of the log's clock at time 0 of the event clock.
    epoch: Millis,
}

impl CoreContext {
    /// Creates a context in which this node and the seeds are the known core nodes.
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
            protocol_versions: HashMap::new(),
            learned_at: HashMap::new(),
            started: now,
            now,
            journal: EventJournal::default(),
            last_id: 0,
            epoch: fastrand::u64(..EPOCH_UPPER_BOUND_MS) & !(EPOCH_STEP_MS - 1),
        }
    }

    /// Returns an id for a request or a write batch. Ids increase, and are unique within this incarnation of the
    /// process.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Time of the log's clock, in milliseconds. Each incarnation of the process starts that clock at a random epoch,
    /// so that the log recognises timestamps of earlier incarnations as foreign.
    pub fn log_time(&self, now: f64) -> Millis {
        self.epoch + (now * 1e3) as Millis
    }

    /// Identifies this incarnation of the process: differs for every start.
    pub fn incarnation(&self) -> u64 {
        (self.started * 1e6) as u64
    }

    /// Addresses of the other known core nodes.
    pub fn peers(&self) -> Vec<IpAddr> {
        self.known_nodes.keys().copied().filter(|ip| *ip != self.me.ip).collect()
    }

    /// Whether the node at `ip` is reachable: this node itself, or one heard within `REACHABLE_WITHIN_SECS`.
    pub fn is_reachable(&self, now: f64, ip: &IpAddr) -> bool {
        let last_heard = self.last_heard.get(ip);
        *ip == self.me.ip || last_heard.is_some_and(|at| now - at <= REACHABLE_WITHIN_SECS)
    }

    /// Whether a majority of the voters is reachable.
    pub fn has_majority(&self, now: f64) -> bool {
        let reachable = self.voters.iter().filter(|ip| self.is_reachable(now, ip)).count();
        2 * reachable > self.voters.len()
    }

    /// Records the protocol version that a core node's ping named.
    pub fn record_protocol_version(&mut self, ip: IpAddr, version: u64) {
        self.protocol_versions.insert(ip, version);
    }

    /// Whether a voter, or another core node in contact, is of a release before this protocol version. Such nodes exist
    /// during a rolling upgrade.
    pub fn has_release_before(&self, protocol_version: u64) -> bool {
        let is_present = |ip: &IpAddr| self.voters.contains(ip) || self.is_reachable(self.now, ip);
        self.protocol_versions.iter().any(|(ip, version)| *version < protocol_version && is_present(ip))
    }

    /// Whether all voters are known to be of this protocol version or a later one, and no core node in contact is of an
    /// earlier one.
    pub fn all_voters_support(&self, protocol_version: u64) -> bool {
        let is_known = |ip: &IpAddr| *ip == self.me.ip || self.protocol_versions.contains_key(ip);
        self.voters.iter().all(is_known) && !self.has_release_before(protocol_version)
    }

    /// Whether data on these nodes survives every loss that the settings tolerate. True if they are more nodes, in more
    /// zones and in more regions, than may be lost at the same time.
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

    /// Adds a core node, or its location if only that was unknown. A known location is never replaced.
    pub fn learn_node(&mut self, node: NodeLocation) -> LearnOutcome {
        let known = self.known_nodes.get(&node.ip);
        let is_known = known.is_some_and(|known| !known.zone.is_empty() || node.zone.is_empty());
        if node.ip == self.me.ip || is_known {
            return LearnOutcome::Unchanged;
        }
        let outcome = if known.is_none() { LearnOutcome::NewNode } else { LearnOutcome::NewLocation };
        self.learned_at.insert(node.ip, self.now);
        self.known_nodes.insert(node.ip, node);
        outcome
    }

    /// The core nodes that this node advertises to others: itself, the voters, and those that it heard within
    /// `ADVERTISED_WITHIN_SECS`.
    pub fn advertised_nodes(&self) -> Vec<NodeLocation> {
        let was_heard_recently =
            |ip: &IpAddr| self.last_heard.get(ip).is_some_and(|at| self.now - at < ADVERTISED_WITHIN_SECS);
        let is_advertised = |node: &&NodeLocation| {
            node.ip == self.me.ip || self.voters.contains(&node.ip) || was_heard_recently(&node.ip)
        };
        self.known_nodes.values().filter(is_advertised).cloned().collect()
    }

    /// Forgets nodes that are neither voters nor seeds and were not heard for `FORGET_AFTER_SECS`. Returns their
    /// addresses.
    pub fn forget_stale_nodes(&mut self) -> Vec<IpAddr> {
        let seeds: BTreeSet<IpAddr> = self.settings.seeds.iter().map(|seed| seed.ip()).collect();
        let last_contact = |ip: &IpAddr| {
            self.last_heard.get(ip).or(self.learned_at.get(ip)).copied().unwrap_or(self.started)
        };
        let (now, me) = (self.now, self.me.ip);
        let is_stale = |ip: &&IpAddr| {
            **ip != me
                && !self.voters.contains(ip)
                && !seeds.contains(ip)
                && now - last_contact(ip) > FORGET_AFTER_SECS
        };
        let stale: Vec<IpAddr> = self.known_nodes.keys().filter(is_stale).copied().collect();
        for ip in &stale {
            self.known_nodes.remove(ip);
            self.last_heard.remove(ip);
            self.learned_at.remove(ip);
            self.protocol_versions.remove(ip);
        }
        stale
    }
}
