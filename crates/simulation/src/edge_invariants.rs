//! Invariants of edge nodes: when one may be ready, and which versions of the configuration it may and must serve.

use super::invariants::{ExpectedVersion, CONTACT, EVERY};
use super::operators::{content, ChangeValidity};
use super::partitions::Participant;
use super::World;
use std::collections::{BTreeMap, BTreeSet, HashMap};

impl World {
    pub(crate) fn check_edge(
        &mut self,
        n: usize,
        most: Option<&BTreeSet<usize>>,
        (due, due_outer): (&[ExpectedVersion], &[ExpectedVersion]),
    ) {
        let (now, node) = (self.now, &self.edges[n]);
        let Some(edge) = &node.edge else {
            self.invariants.edge_reach_since.remove(&n);
            self.invariants.edge_outer_since.remove(&n);
            return;
        };
        let incarnation = node.incarnation;
        let reaches = |core: &usize| self.can_exchange(Participant::Edge(n), Participant::Core(*core));
        let steady =
            most.is_some_and(|most| most.iter().all(reaches)) && !node.frozen && now > node.faulty_until;
        let clock = 1000.0 + (now - node.booted_at) * node.clock_rate;
        let ready = edge.is_ready(clock);
        let routes = edge.active_config.routes().filter_map(|r| {
            let label = r.label.strip_prefix("x-")?.parse::<usize>().ok()?;
            Some((label, content(&r.path_prefix)?))
        });
        let shown: BTreeMap<usize, u64> = routes.collect();
        match steady && self.invariants.settled_since.is_some() {
            true => drop(self.invariants.edge_reach_since.entry(n).or_insert(now)),
            false => drop(self.invariants.edge_reach_since.remove(&n)),
        }
        match steady {
            true => drop(self.invariants.edge_outer_since.entry(n).or_insert(now)),
            false => drop(self.invariants.edge_outer_since.remove(&n)),
        }
        let mut wrong = Vec::new();
        if !self.invariants.edges_in_contact.contains(&(n, incarnation))
            && ready
            && self.invariants.reported.insert((incarnation, format!("ready {n}")))
        {
            wrong.push(format!("READY {now:.3}: edge {n}, which met only a core machine that is cut off"));
        }
        for (label, content) in &shown {
            let Some(order) = self.operator_records.orders.get(*content as usize) else { continue };
            let version = order.version;
            self.invariants.check_content(now, *label, version, *content, "served", &mut wrong);
            let held = self.invariants.served.entry((n, incarnation, *label)).or_default();
            if *held > version {
                wrong.push(format!("BACK {now:.3}: edge {n} serves x-{label} by r{version} after r{held}"));
            }
            *held = version;
            let ever = self.invariants.served_ever.entry((n, *label)).or_default();
            if ready
                && *ever > version
                && self.invariants.reported.insert((*ever, format!("ever {n} {label}")))
            {
                let text = format!("BEHIND {now:.3}: edge {n}, ready, serves x-{label} by r{version}");
                wrong.push(format!("{text}, a former life by r{ever}"));
            }
            *ever = version.max(*ever);
        }
        let gone = self.invariants.served.iter().filter(|((e, l, label), v)| {
            (*e, *l) == (n, incarnation) && **v > 0 && !shown.contains_key(label)
        });
        let gone: Vec<usize> = gone.map(|((_, _, label), _)| *label).collect();
        for label in gone {
            wrong.push(format!("BACK {now:.3}: edge {n} serves x-{label} no more"));
            self.invariants.served.remove(&(n, incarnation, label));
        }
        let in_touch = |since: &HashMap<usize, f64>| since.get(&n).is_some_and(|at| now - *at > CONTACT);
        for (held, due) in [
            (in_touch(&self.invariants.edge_reach_since), due),
            (in_touch(&self.invariants.edge_outer_since), due_outer),
        ] {
            for (label, version, at) in due.iter().filter(|_| held) {
                let served = self.invariants.served.get(&(n, incarnation, *label)).copied().unwrap_or(0);
                if served < *version
                    && self.invariants.reported.insert((*version, format!("settle {n} {label}")))
                {
                    wrong.push(format!(
                        "SETTLE {now:.3}: edge {n} serves x-{label} by r{served}, r{version} since {at:.3}"
                    ));
                }
            }
        }
        for content in shown.values() {
            self.check_not_rejected(*content, "served");
        }
        self.auditor.violations.extend(wrong);
    }

    /// The highest number of each register that was confirmed so long ago, but not before.
    pub(crate) fn confirmed_orders(&self, since: f64, ago: f64) -> Vec<ExpectedVersion> {
        let mut newest: BTreeMap<usize, (u64, f64)> = BTreeMap::new();
        for o in self.operator_records.orders.iter().filter(|o| o.sort == ChangeValidity::Proper) {
            let at = o.confirmed.filter(|at| *at >= since && self.now - at > ago + EVERY);
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
