//! The operators' list of core nodes: nodes added to it and removed from it, and the seed lists written from it.

use super::faults::SimulatedDisk;
use super::network::NodeRef;
use super::{core_ip, SimulatedCore, SimulationEvent, World};
use std::net::SocketAddr;
use whinstall_gateway::control_plane;

impl World {
    /// The first listed core node from index `from` on, wrapping around.
    pub fn listed_core_from(&self, from: usize) -> usize {
        let from = from % self.cores.len();
        let after = (from..self.cores.len()).chain(0..from);
        after.into_iter().find(|n| self.cores[*n].listed).unwrap_or(from)
    }

    /// The addresses in a node's `seed_list`.
    pub fn seeds(&self, who: NodeRef) -> Vec<SocketAddr> {
        let seeds = match who {
            NodeRef::Core(n) => &self.cores[n].seeds,
            NodeRef::Edge(n) => &self.edges[n].seeds,
        };
        seeds.iter().map(|n| (core_ip(*n), 80).into()).collect()
    }

    /// Up to three running core nodes of the operators' list. With `seed_delay`, up to three nodes of the list as it was that
    /// many seconds ago, running or not.
    pub(crate) fn current_seeds(&self, but: usize) -> Vec<usize> {
        if self.plan.seed_delay > 0.0 {
            let then = self.now - self.plan.seed_delay;
            let list = self.invariants.core_lists.iter().rev().find(|(at, _)| *at <= then);
            let first = (0..self.plan.cores).collect();
            return list.map_or(first, |l| l.1.clone()).into_iter().take(3).collect();
        }
        let listed = self.listed_cores().into_iter().filter(|n| *n != but);
        let up = listed.filter(|n| self.has_process(NodeRef::Core(*n)));
        up.take(3).collect()
    }

    /// Records a change of the operators' list of core nodes and schedules the rewrite of the seed lists.
    pub(crate) fn seed_list_changed(&mut self) {
        let (now, listed) = (self.now, self.listed_cores());
        self.invariants.core_lists.push((now, listed));
        self.schedule_after(self.plan.seed_delay, SimulationEvent::SeedListsChange);
    }

    /// Writes the seed lists of all nodes from the operators' list; a node reads its list at its next start.
    pub fn rewrite_seed_lists(&mut self) {
        let seeds = self.current_seeds(usize::MAX);
        self.cores.iter_mut().for_each(|n| n.seeds.clone_from(&seeds));
        self.edges.iter_mut().for_each(|n| n.seeds.clone_from(&seeds));
    }

    pub(crate) fn add_core(&mut self) {
        let n = self.cores.len();
        let seeds = self.current_seeds(n);
        let clock_rate = 1.0 + 2e-4 * (self.rng.f64() - 0.5);
        let (core, incarnation, disk, booted_at, backlog) =
            (None, 0, SimulatedDisk::default(), self.now, Vec::new());
        let node = SimulatedCore {
            core,
            incarnation,
            disk,
            booted_at,
            clock_rate,
            seeds,
            frozen: false,
            first_start: false,
            listed: true,
            backlog,
        };
        self.cores.push(node);
        self.invariants.joining.insert(n, self.now);
        self.schedule_after(0.0, SimulationEvent::Boot(NodeRef::Core(n)));
        self.mark_core_faulty_for(0.0, self.plan.resync);
        self.schedule_after(0.3, SimulationEvent::SeedListsChange);
        self.seed_list_changed();
    }

    /// Sends SIGTERM to a core node and takes it off the operators' list; the process ends a little later.
    pub(crate) fn terminate_core(&mut self, n: usize) {
        self.core_event(n, control_plane::Event::Shutdown);
        self.cores[n].listed = false;
        self.invariants.removed_at.insert(n, self.now);
        let (incarnation, late) = (self.cores[n].incarnation, 0.3 + 0.6 * self.rng.f64());
        self.schedule_after(late, SimulationEvent::ProcessExited(n, incarnation));
        self.mark_core_faulty_for(late, self.plan.resync);
        self.seed_list_changed();
    }

    /// Ends a process that got SIGTERM, unless it restarted since.
    pub fn process_exited(&mut self, n: usize, incarnation: u64) {
        if self.cores[n].incarnation == incarnation && self.cores[n].core.is_some() {
            self.kill(NodeRef::Core(n), false);
            let unwritten = self.rng.bool();
            self.cores[n].disk.crash(unwritten, false, &mut self.rng);
        }
        if !self.cores[n].listed {
            self.invariants.removed_at.insert(n, self.now);
        }
        self.mark_core_disturbed();
    }

    /// Suspends the checks that require a settled core, for `secs` + `more` seconds.
    pub(crate) fn mark_core_faulty_for(&mut self, secs: f64, more: f64) {
        self.unsettled_until = self.unsettled_until.max(self.now + secs + more);
        self.mark_core_disturbed();
    }

    /// Changes a node's seeds in its settings, and sends a reload if the node runs.
    pub(crate) fn reload_settings(&mut self, who: NodeRef, seeds: &[usize]) {
        // As an operator would write them: listed core nodes, more of them than may be lost at once.
        let named = seeds.iter().filter(|n| self.cores.get(**n).is_some_and(|c| c.listed)).copied();
        let mut seeds: Vec<usize> = Vec::new();
        for n in named.chain(self.listed_cores()) {
            if !seeds.contains(&n) && seeds.len() <= self.plan.losses.max(2) {
                seeds.push(n);
            }
        }
        match who {
            // The core node does not exist yet.
            NodeRef::Core(n) if n >= self.cores.len() => return,
            NodeRef::Core(n) => self.cores[n].seeds = seeds,
            NodeRef::Edge(n) => self.edges[n].seeds = seeds,
        }
        let (settings, mut out) = (self.settings(who), Vec::new());
        match who {
            NodeRef::Core(n) => {
                let Some(core) = self.cores[n].core.as_mut() else { return };
                core.apply_settings(settings, &mut out);
                self.core_effects(n, out);
            }
            NodeRef::Edge(n) => {
                self.edge_call(n, |edge, _, out| edge.update_settings(settings, out));
            }
        }
    }
}
