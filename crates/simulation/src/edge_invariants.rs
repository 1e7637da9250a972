//! Invariants of edge nodes: when one may be ready, and which versions of the configuration it may and must serve.

use super::invariants::{ExpectedVersion, CHECK_INTERVAL_SECS, CONTACT_SECS};
use super::operators::{content, ChangeValidity};
use super::partitions::Participant;
use super::World;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The observable state of an edge node at one check.
struct ObservedEdge {
    edge: usize,
    incarnation: u64,
    is_ready: bool,
    /// Contents of the operators' routes, by register.
    routes: BTreeMap<usize, u64>,
}

impl World {
    /// Checks one edge node. `due` must be served by nodes that were in contact with a settled core for long enough,
    /// `due_outer` by those that were in contact with a majority, settled or not.
    pub(crate) fn check_edge(
        &mut self,
        n: usize,
        most: Option<&BTreeSet<usize>>,
        (due, due_outer): (&[ExpectedVersion], &[ExpectedVersion]),
    ) {
        let Some(observed) = self.observe_edge(n) else {
            self.invariants.edge_reach_since.remove(&n);
            self.invariants.edge_outer_since.remove(&n);
            return;
        };
        self.update_edge_contact(n, most);
        let mut violations = Vec::new();
        self.check_edge_readiness(&observed, &mut violations);
        self.check_edge_progress(&observed, &mut violations);
        let now = self.now;
        let in_touch = |since: &HashMap<usize, f64>| since.get(&n).is_some_and(|at| now - *at > CONTACT_SECS);
        let in_touch_settled = in_touch(&self.invariants.edge_reach_since);
        let in_touch_outer = in_touch(&self.invariants.edge_outer_since);
        for (_, due) in
            [(in_touch_settled, due), (in_touch_outer, due_outer)].iter().filter(|(held, _)| *held)
        {
            self.check_edge_is_current(&observed, due, &mut violations);
        }
        for content in observed.routes.values() {
            self.check_not_rejected(*content, "served");
        }
        self.auditor.violations.extend(violations);
    }

    fn observe_edge(&self, n: usize) -> Option<ObservedEdge> {
        let node = &self.edges[n];
        let edge = node.edge.as_ref()?;
        let clock = 1000.0 + (self.now - node.booted_at) * node.clock_rate;
        let routes = edge.active_config.routes().filter_map(|r| {
            let label = r.label.strip_prefix("x-")?.parse::<usize>().ok()?;
            Some((label, content(&r.path_prefix)?))
        });
        let (incarnation, is_ready) = (node.incarnation, edge.is_ready(clock));
        Some(ObservedEdge { edge: n, incarnation, is_ready, routes: routes.collect() })
    }

    /// Notes since when the node reaches the whole majority.
    fn update_edge_contact(&mut self, n: usize, most: Option<&BTreeSet<usize>>) {
        let (now, node) = (self.now, &self.edges[n]);
        let reaches = |core: &usize| self.can_exchange(Participant::Edge(n), Participant::Core(*core));
        let steady =
            most.is_some_and(|most| most.iter().all(reaches)) && !node.frozen && now > node.faulty_until;
        match steady && self.invariants.settled_since.is_some() {
            true => drop(self.invariants.edge_reach_since.entry(n).or_insert(now)),
            false => drop(self.invariants.edge_reach_since.remove(&n)),
        }
        match steady {
            true => drop(self.invariants.edge_outer_since.entry(n).or_insert(now)),
            false => drop(self.invariants.edge_outer_since.remove(&n)),
        }
    }

    /// READY: a node is ready only after this incarnation was in contact with a core node that was not isolated.
    fn check_edge_readiness(&mut self, observed: &ObservedEdge, violations: &mut Vec<String>) {
        let (now, n, incarnation) = (self.now, observed.edge, observed.incarnation);
        if !self.invariants.edges_in_contact.contains(&(n, incarnation))
            && observed.is_ready
            && self.invariants.reported.insert((incarnation, format!("ready {n}")))
        {
            violations.push(format!(
                "READY {now:.3}: edge {n} is ready without contact with a core node in the majority"
            ));
        }
    }

    /// BACK: an incarnation never goes back to a lower version, or drops a register. BEHIND: a ready node never serves a
    /// lower version than an earlier incarnation did.
    fn check_edge_progress(&mut self, observed: &ObservedEdge, violations: &mut Vec<String>) {
        let (now, n, incarnation) = (self.now, observed.edge, observed.incarnation);
        for (label, content) in &observed.routes {
            let Some(order) = self.operator_records.orders.get(*content as usize) else { continue };
            let version = order.version;
            self.invariants.check_content(now, *label, version, *content, "served", violations);
            let held = self.invariants.served.entry((n, incarnation, *label)).or_default();
            if *held > version {
                violations
                    .push(format!("BACK {now:.3}: edge {n} serves x-{label} by r{version} after r{held}"));
            }
            *held = version;
            let ever = self.invariants.served_ever.entry((n, *label)).or_default();
            if observed.is_ready
                && *ever > version
                && self.invariants.reported.insert((*ever, format!("ever {n} {label}")))
            {
                let text = format!("BEHIND {now:.3}: edge {n}, ready, serves x-{label} by r{version}");
                violations.push(format!("{text}, an earlier incarnation served r{ever}"));
            }
            *ever = version.max(*ever);
        }
        let dropped = self.invariants.served.iter().filter(|((e, l, label), v)| {
            (*e, *l) == (n, incarnation) && **v > 0 && !observed.routes.contains_key(label)
        });
        let dropped: Vec<usize> = dropped.map(|((_, _, label), _)| *label).collect();
        for label in dropped {
            violations.push(format!("BACK {now:.3}: edge {n} no longer serves x-{label}"));
            self.invariants.served.remove(&(n, incarnation, label));
        }
    }

    /// SETTLE: the node serves each of these versions or a higher one.
    fn check_edge_is_current(
        &mut self,
        observed: &ObservedEdge,
        due: &[ExpectedVersion],
        violations: &mut Vec<String>,
    ) {
        let (now, n, incarnation) = (self.now, observed.edge, observed.incarnation);
        for (label, version, at) in due {
            let served = self.invariants.served.get(&(n, incarnation, *label)).copied().unwrap_or(0);
            if served < *version && self.invariants.reported.insert((*version, format!("settle {n} {label}")))
            {
                violations.push(format!(
                    "SETTLE {now:.3}: edge {n} serves x-{label} by r{served}, r{version} since {at:.3}"
                ));
            }
        }
    }

    /// The highest version of each register that was confirmed at least `ago` seconds ago, but not before `since`.
    pub(crate) fn confirmed_orders(&self, since: f64, ago: f64) -> Vec<ExpectedVersion> {
        let mut newest: BTreeMap<usize, (u64, f64)> = BTreeMap::new();
        for o in self.operator_records.orders.iter().filter(|o| o.validity == ChangeValidity::Proper) {
            let at = o.confirmed_at.filter(|at| *at >= since && self.now - at > ago + CHECK_INTERVAL_SECS);
            let Some(at) = at else { continue };
            for label in &o.labels {
                let held = newest.entry(*label).or_insert((o.version, at));
                if held.0 < o.version {
                    *held = (o.version, at);
                }
            }
        }
        newest.into_iter().map(|(l, (v, at))| (l, v, at)).collect()
    }
}
