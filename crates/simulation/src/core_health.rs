//! Which core nodes run, reach each other and form a majority, as the simulation itself knows it.

use super::invariants::LEASE_SECS;
use super::network::NodeRef;
use super::partitions::Participant;
use super::World;
use std::collections::BTreeSet;

impl World {
    /// Whether a core node's process runs and is not paused.
    pub(crate) fn runs(&self, n: usize) -> bool {
        let node = &self.cores[n];
        node.core.is_some() && !node.frozen
    }

    pub(crate) fn can_exchange(&self, a: Participant, b: Participant) -> bool {
        self.links.reaches(a, b) && self.links.reaches(b, a)
    }

    /// Whether packets pass both ways between two core nodes.
    pub fn cores_connected(&self, a: usize, b: usize) -> bool {
        a == b || self.can_exchange(Participant::Core(a), Participant::Core(b))
    }

    /// The core nodes on the operators' list.
    pub fn listed_cores(&self) -> Vec<usize> {
        (0..self.cores.len()).filter(|n| self.cores[*n].listed).collect()
    }

    /// The listed core nodes without those that had no time to join yet.
    pub(crate) fn joined_cores(&self) -> Vec<usize> {
        self.listed_cores().into_iter().filter(|n| !self.invariants.joining.contains_key(n)).collect()
    }

    /// The joined core nodes and those removed so recently that they may still be members.
    pub(crate) fn joined_and_leaving_cores(&self) -> Vec<usize> {
        let joined = self.joined_cores();
        // A removed node with a successor is no longer counted.
        let counts = |at: &f64| self.now - at < self.plan.resync && joined.len() < self.plan.cores;
        let lately = self
            .invariants
            .removed_at
            .iter()
            .filter(|(_, at)| counts(at))
            .map(|(n, _)| *n)
            .collect::<Vec<_>>();
        joined.into_iter().chain(lately).collect()
    }

    /// The largest set of core nodes that run, reach each other and have working disks, if it holds a majority.
    pub fn connected_majority(&self) -> Option<BTreeSet<usize>> {
        let (listed, joined, leaving) =
            (self.listed_cores(), self.joined_cores(), self.joined_and_leaving_cores());
        let is_blocked = |n: &usize| self.cores[*n].disk.blocked_until(self.now).is_some();
        let up: Vec<usize> = listed.iter().copied().filter(|n| self.runs(*n) && !is_blocked(n)).collect();
        let sets = (1u32..1 << up.len()).map(|bits| {
            let some = up.iter().enumerate().filter(move |(i, _)| bits & (1 << i) != 0);
            some.map(|(_, n)| *n).collect::<BTreeSet<usize>>()
        });
        let is_connected =
            |set: &BTreeSet<usize>| set.iter().all(|a| set.iter().all(|b| self.cores_connected(*a, *b)));
        let of = |set: &BTreeSet<usize>, list: &[usize]| list.iter().filter(|n| set.contains(n)).count();
        let largest = sets.filter(is_connected).max_by_key(|set| (of(set, &joined), set.len()))?;
        let most = |list: &[usize]| 2 * of(&largest, list) > list.len();
        (most(&joined) && most(&leaving)).then_some(largest)
    }

    /// Whether a majority of the core is out of reach from this node, whether the node itself runs or not. This must hold
    /// both with and without the nodes that had no time to join.
    pub(crate) fn is_isolated(&self, n: usize) -> bool {
        let far = |list: &[usize]| {
            let there =
                list.iter().filter(|m| **m == n || self.runs(**m) && self.cores_connected(n, **m)).count();
            2 * there <= list.len()
        };
        far(&self.listed_cores()) && far(&self.joined_cores())
    }

    /// New core nodes count as joined after `resync` seconds of uninterrupted contact with a majority.
    pub(crate) fn update_joining_cores(&mut self, most: Option<&BTreeSet<usize>>) {
        for (n, since) in std::mem::take(&mut self.invariants.joining) {
            let there =
                self.runs(n) && most.is_some_and(|set| set.iter().all(|m| self.cores_connected(n, *m)));
            let since = if there { since } else { self.now };
            if self.now - since < self.plan.resync {
                self.invariants.joining.insert(n, since);
            }
        }
    }

    /// Seconds for which a core node has been out of contact with a majority of the core.
    pub fn isolated_for(&self, n: usize) -> Option<f64> {
        let since = self.invariants.isolated_since.get(&n).filter(|_| self.is_isolated(n));
        since.map(|at| self.now - at)
    }

    /// Records that an edge node received a message from a core node that is not isolated.
    pub fn note_contact(&mut self, edge: usize, core: usize) {
        if self.isolated_for(core).is_none_or(|secs| secs <= LEASE_SECS) {
            self.invariants.edges_in_contact.insert((edge, self.edges[edge].incarnation));
        }
    }

    /// Records a disturbance of the core, which then counts as unsettled for `CONTACT_SECS`.
    pub fn mark_core_disturbed(&mut self) {
        self.invariants.disturbed_at = self.now;
        self.invariants.settled_since = None;
    }

    /// Whether a node's process exists, paused or not.
    pub fn has_process(&self, who: NodeRef) -> bool {
        match who {
            NodeRef::Core(n) => self.cores[n].core.is_some(),
            NodeRef::Edge(n) => self.edges[n].edge.is_some(),
        }
    }
}
