//! The simulated network: ordered connections to core nodes with delays, partitions that hold bytes up, and resets.

use super::partitions::{Participant, Partition};
use super::{core_ip, SimulationEvent, World};
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::net::IpAddr;
use whinstall_gateway::control_plane;
use whinstall_gateway::data_plane;
use whinstall_gateway::protocol::PeerMessage;

/// A process of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NodeRef {
    /// A core node.
    Core(usize),
    /// An edge node.
    Edge(usize),
}

impl From<NodeRef> for Participant {
    fn from(who: NodeRef) -> Self {
        match who {
            NodeRef::Core(n) => Participant::Core(n),
            NodeRef::Edge(n) => Participant::Edge(n),
        }
    }
}

/// Identifies a connection by its opener and the core node that it leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkKey {
    /// The process that opened it.
    pub from: NodeRef,
    /// The core node that it leads to.
    pub to: usize,
}

struct Link {
    conn: u64,
    /// Closed at the opener's side (`from`), though the core node may not have noticed.
    gone_here: bool,
    /// Closed at the core node's side (`to`), though the opener may not have noticed.
    gone_there: bool,
    forth: VecDeque<(f64, PeerMessage)>,
    back: VecDeque<(f64, PeerMessage)>,
    /// Time of the last message that the opener and the core node received.
    heard: (f64, f64),
}

/// All connections and partitions.
#[derive(Default)]
pub struct SimulatedLinks {
    up: BTreeMap<LinkKey, Link>,
    wanted: BTreeSet<LinkKey>,
    next: u64,
    cut_cores: Vec<(usize, bool)>,
    cut_edges: HashSet<usize>,
    /// Partitions between chosen sides.
    pub cuts: Vec<Partition>,
}

impl SimulatedLinks {
    /// Partitions a core node from the others, or heals this (`cut` is false).
    pub fn cut_core(&mut self, core: usize, one_way: bool, cut: bool) {
        match cut {
            true => self.cut_cores.push((core, one_way)),
            false => self.cut_cores.retain(|c| *c != (core, one_way)),
        }
    }

    /// Partitions an edge node from all core nodes, or heals this (`cut` is false).
    pub fn cut_edge(&mut self, edge: usize, cut: bool) {
        match cut {
            true => self.cut_edges.insert(edge),
            false => self.cut_edges.remove(&edge),
        };
    }

    /// Whether packets pass from the opener to the core node (`forth`) or in the opposite direction.
    fn passes(&self, key: LinkKey, forth: bool) -> bool {
        let (from, to) = (key.from.into(), Participant::Core(key.to));
        if forth {
            self.reaches(from, to)
        } else {
            self.reaches(to, from)
        }
    }

    /// Whether packets pass from `from` to `to`.
    pub fn reaches(&self, from: Participant, to: Participant) -> bool {
        let open = match (from, to) {
            (Participant::Edge(n), Participant::Core(_)) | (Participant::Core(_), Participant::Edge(n)) => {
                !self.cut_edges.contains(&n)
            }
            (Participant::Core(from), Participant::Core(to)) => {
                // A one-way partition drops the node's outgoing packets and lets incoming ones pass.
                !self.cut_cores.iter().any(|(c, one_way)| *c == from || *c == to && !one_way)
            }
            _ => true,
        };
        open && !self.cuts.iter().any(|cut| cut.stops(from, to))
    }

    /// Drops a process's own ends of its connections without notifying the peers.
    pub fn forget_own(&mut self, who: NodeRef) {
        for (key, link) in &mut self.up {
            link.gone_here |= key.from == who;
            link.gone_there |= NodeRef::Core(key.to) == who;
        }
        self.wanted.retain(|k| k.from != who);
    }
}

impl World {
    fn alive(&self, who: NodeRef) -> Option<u64> {
        match who {
            NodeRef::Core(n) => self.cores[n].core.as_ref().map(|_| self.cores[n].incarnation),
            NodeRef::Edge(n) => self.edges[n].edge.as_ref().map(|_| self.edges[n].incarnation),
        }
    }

    fn incarnation(&self, who: NodeRef) -> u64 {
        match who {
            NodeRef::Core(n) => self.cores[n].incarnation,
            NodeRef::Edge(n) => self.edges[n].incarnation,
        }
    }

    /// A process wants a connection to the core node at this address.
    pub fn connect(&mut self, from: NodeRef, ip: IpAddr) {
        let Some(to) = (0..self.cores.len()).find(|n| core_ip(*n) == ip) else { return };
        let key = LinkKey { from, to };
        self.links.wanted.insert(key);
        let incarnation = self.incarnation(from);
        self.schedule_after(0.001, SimulationEvent::Dial(key, incarnation));
    }

    /// A process closes its connection to the core node at this address.
    pub fn disconnect(&mut self, from: NodeRef, ip: IpAddr) {
        let Some(to) = (0..self.cores.len()).find(|n| core_ip(*n) == ip) else { return };
        let key = LinkKey { from, to };
        self.links.wanted.remove(&key);
        self.drop_link(key);
    }

    /// Tries to open a connection that is still wanted.
    pub fn dial(&mut self, key: LinkKey, incarnation: u64) {
        if self.alive(key.from) != Some(incarnation) || !self.links.wanted.contains(&key) {
            return;
        }
        let there = self.alive(NodeRef::Core(key.to)).is_some();
        let passes = self.links.passes(key, true) && self.links.passes(key, false);
        if there && passes && !self.links.up.contains_key(&key) {
            let rtt = self.delay() + self.delay();
            self.schedule_after(rtt, SimulationEvent::DialUp(key, incarnation));
        } else {
            self.schedule_after(if passes { 0.25 } else { 0.95 }, SimulationEvent::Dial(key, incarnation));
        }
    }

    /// A connection opens, if both ends still run.
    pub fn dial_up(&mut self, key: LinkKey, incarnation: u64) {
        if self.alive(key.from) != Some(incarnation) || self.alive(NodeRef::Core(key.to)).is_none() {
            return self.schedule_after(0.25, SimulationEvent::Dial(key, incarnation));
        }
        self.links.next += 1;
        let conn = self.links.next;
        let (forth, back) = Default::default();
        let heard = (self.now, self.now);
        let link = Link { conn, gone_here: false, gone_there: false, forth, back, heard };
        self.links.up.insert(key, link);
        self.notify_link_state(key, true);
    }

    /// Tells the opener that its connection is up or down.
    fn notify_link_state(&mut self, key: LinkKey, up: bool) {
        let ip = core_ip(key.to);
        match key.from {
            NodeRef::Core(n) => {
                self.core_event(
                    n,
                    if up { control_plane::Event::LinkUp(ip) } else { control_plane::Event::LinkDown(ip) },
                );
            }
            NodeRef::Edge(n) => self.edge_call(n, |edge, now, out| {
                edge.handle(
                    now,
                    if up { data_plane::Event::LinkUp(ip) } else { data_plane::Event::LinkDown(ip) },
                    out,
                );
            }),
        }
    }

    /// Sends a message on the connection that this process opened.
    pub fn send_message(&mut self, from: NodeRef, ip: IpAddr, msg: PeerMessage) {
        let Some(to) = (0..self.cores.len()).find(|n| core_ip(*n) == ip) else { return };
        self.push(LinkKey { from, to }, true, msg);
    }

    /// A core node sends a message back on a connection that was opened to it.
    pub fn send_response(&mut self, conn: u64, msg: PeerMessage) {
        let key = self.links.up.iter().find(|(_, l)| l.conn == conn).map(|(k, _)| *k);
        if let Some(key) = key {
            if let (NodeRef::Edge(_), PeerMessage::QuotaGrants { is_leader: true, term, .. }) =
                (key.from, &msg)
            {
                self.quota_leader_responded(key.to, *term);
            }
            if let NodeRef::Edge(_) = key.from {
                let what = match &msg {
                    PeerMessage::QuotaGrants { is_leader: true, .. } => Some("quota grants"),
                    PeerMessage::WorkerSnapshot { .. } => Some("the set of all workers"),
                    PeerMessage::ConfigUpdate { previous: None, .. } => Some("a full configuration"),
                    _ => None,
                };
                self.check_handout(key.to, what);
            }
            self.push(key, false, msg);
        }
    }

    fn push(&mut self, key: LinkKey, forth: bool, msg: PeerMessage) {
        self.snapshot_chunk_sent(key, &msg);
        // The message passes through the real encoding, so that one that can't be decoded fails here.
        let mut bytes = bytes::BytesMut::from(&whinstall_gateway::protocol::encode(&msg)[..]);
        self.digest.message(self.now, bytes.len());
        let msg = whinstall_gateway::protocol::decode(&mut bytes)
            .expect("a decodable message")
            .expect("a complete message");
        let at = self.now + self.delay();
        let Some(link) = self.links.up.get_mut(&key) else { return };
        let conn = link.conn;
        let queue = if forth { &mut link.forth } else { &mut link.back };
        let at = queue.back().map_or(at, |(last, _)| at.max(*last));
        queue.push_back((at, msg));
        self.schedule_at(at, SimulationEvent::DeliverMessages(key, conn, forth));
    }

    /// Delivers the next message of one direction, unless a partition or a freeze holds it up.
    pub fn deliver_next(&mut self, key: LinkKey, conn: u64, forth: bool) {
        let passes = self.links.passes(key, forth);
        let frozen = match (key.from, forth) {
            (_, true) => self.cores[key.to].frozen,
            (NodeRef::Core(n), false) => self.cores[n].frozen,
            (NodeRef::Edge(n), false) => self.edges[n].frozen,
        };
        let Some(link) = self.links.up.get_mut(&key).filter(|l| l.conn == conn) else { return };
        if if forth { link.gone_there } else { link.gone_here } {
            return;
        }
        if !passes || frozen {
            // Blocked messages stay queued in order; delivery is tried again later.
            return self.schedule_after(0.05, SimulationEvent::DeliverMessages(key, conn, forth));
        }
        let queue = if forth { &mut link.forth } else { &mut link.back };
        let Some((_, msg)) = queue.pop_front() else { return };
        if forth {
            link.heard.1 = self.now;
        } else {
            link.heard.0 = self.now;
        }
        self.deliver(key, conn, forth, msg);
    }

    fn drop_link(&mut self, key: LinkKey) {
        let Some(link) = self.links.up.remove(&key) else { return };
        if !link.gone_there {
            self.core_event(key.to, control_plane::Event::SessionClosed(link.conn));
        }
        if !link.gone_here {
            self.notify_link_state(key, false);
            let incarnation = self.incarnation(key.from);
            self.schedule_after(0.25, SimulationEvent::Dial(key, incarnation));
        }
    }

    /// Resets all connections of a process that died, as its operating system does.
    pub fn reset_links(&mut self, who: NodeRef) {
        self.links.forget_own(who);
        let keys: Vec<LinkKey> = self.links.up.keys().copied().collect();
        for key in keys.into_iter().filter(|k| k.from == who || NodeRef::Core(k.to) == who) {
            self.drop_link(key);
        }
    }

    /// Resets a random fraction `part` of a node's connections.
    pub fn reset_some(&mut self, who: NodeRef, part: f64) {
        let keys: Vec<LinkKey> = self.links.up.keys().copied().collect();
        for key in keys.into_iter().filter(|k| k.from == who || NodeRef::Core(k.to) == who) {
            if self.rng.f64() < part {
                self.drop_link(key);
            }
        }
    }

    /// Closes connections on which either end received nothing for 1.6 s.
    pub fn check_links(&mut self) {
        let silent = |l: &Link| self.now - l.heard.0 > 1.6 || self.now - l.heard.1 > 1.6;
        let late: Vec<LinkKey> = self.links.up.iter().filter(|(_, l)| silent(l)).map(|(k, _)| *k).collect();
        for key in late {
            self.drop_link(key);
        }
        // A node that restarted without resets can't reconnect until its old connections are closed here.
    }
}
