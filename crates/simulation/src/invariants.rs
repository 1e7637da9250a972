//! The auditor's watch over the control side: is the core settled, who is apart, who may answer what. It looks at
//! answers, readiness and views, never into a core machine.

use super::history::{self, Write};
use super::network::NodeRef;
use super::operators::{content, ChangeValidity};
use super::partitions::Participant;
use super::severe_faults::PendingCrash;
use super::{SimulationEvent, World};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

const EVERY: f64 = 0.1;
/// As the settings have them: seconds.
const CONTACT: f64 = 3.0;
const ACK: f64 = 5.0;
const SETTLE: f64 = 2.5;
/// An unsettled core stretches `settle` by this at the most, where most of it runs and is joined all the while.
const STRETCH: f64 = 8.0;
/// A machine that is cut off may go on as before for so long: seconds.
const LEASE: f64 = 2.0;
/// A counter that answers, then another, then the first again within this: two at once. Seconds.
const OVERLAP: f64 = 0.5;

/// A register, the number that is to be served by, since when.
type ExpectedVersion = (usize, u64, f64);

/// What is remembered.
#[derive(Default)]
pub struct InvariantMonitor {
    /// When the core was last touched: kills, starts, cuts, pauses.
    pub touched: f64,
    settled_since: Option<f64>,
    apart_since: BTreeMap<usize, f64>,
    /// When each operator came to reach most of the core.
    reach_since: HashMap<usize, f64>,
    edge_reach_since: HashMap<usize, f64>,
    /// The same, settled or not; and since when most of the core is joined.
    edge_outer_since: HashMap<usize, f64>,
    most_since: Option<f64>,
    /// The highest number that any life of a gatekeeper served by.
    served_ever: HashMap<(usize, usize), u64>,
    /// Lives of gatekeepers that heard a core machine that was not cut off.
    met: HashSet<(usize, u64)>,
    /// Numbers that gatekeepers served by.
    served: HashMap<(usize, u64, usize), u64>,
    contents: HashMap<(usize, u64), u64>,
    late: HashSet<usize>,
    pub told: HashSet<(u64, String)>,
    /// Who answered as the counter lately.
    counters: Vec<(f64, usize)>,
    /// Those that came lately: since when they are in touch with most of the core.
    pub joining: BTreeMap<usize, f64>,
    /// When those that were removed were gone.
    pub left: BTreeMap<usize, f64>,
    /// Operators' lists of the core, by when each came to be.
    pub lists: Vec<(f64, Vec<usize>)>,
    /// Losses that wait for a moment of a snapshot.
    pub at_snapshot: Vec<super::severe_faults::SnapshotCrash>,
    /// How often each moment of a snapshot came, and how many losses came at one.
    pub moments: BTreeMap<usize, u64>,
    pub struck: u64,
    /// What waits for the next order to be confirmed, until then.
    pub trap: Option<(f64, PendingCrash)>,
    pub holders: u64,
    /// Who counted in each term: machine and life.
    terms: BTreeMap<u64, (usize, u64)>,
    pub settled_for: f64,
}

impl InvariantMonitor {
    /// Who answered last as the counter.
    pub fn holder(&self) -> Option<usize> {
        self.counters.last().map(|c| c.1)
    }

    /// Did this one ever answer as the counter?
    pub fn held(&self, core: usize) -> bool {
        self.counters.iter().any(|c| c.1 == core)
    }

    /// This content was seen under this number of a register.
    pub fn stands(
        &mut self,
        now: f64,
        label: usize,
        version: u64,
        content: u64,
        seen: &str,
        broken: &mut Vec<String>,
    ) {
        let held = *self.contents.entry((label, version)).or_insert(content);
        if held != content && self.told.insert((content, format!("number {label}"))) {
            broken.push(format!(
                "NUMBER {now:.3}: x-{label}=r{version} holds {content} as {seen}, {held} before"
            ));
        }
    }
}

impl World {
    /// Core machines that run and are there for others.
    fn runs(&self, n: usize) -> bool {
        let node = &self.cores[n];
        node.core.is_some() && !node.frozen
    }

    fn both_ways(&self, a: Participant, b: Participant) -> bool {
        self.links.reaches(a, b) && self.links.reaches(b, a)
    }

    pub fn joined(&self, a: usize, b: usize) -> bool {
        a == b || self.both_ways(Participant::Core(a), Participant::Core(b))
    }

    pub fn listed(&self) -> Vec<usize> {
        (0..self.cores.len()).filter(|n| self.cores[*n].listed).collect()
    }

    /// The operator's list without those that had no time to join yet.
    fn joined_list(&self) -> Vec<usize> {
        self.listed().into_iter().filter(|n| !self.watch.joining.contains_key(n)).collect()
    }

    /// The same with those that were removed so lately that they may still count.
    fn leaving_list(&self) -> Vec<usize> {
        let joined = self.joined_list();
        // One that has its successor counts no more.
        let counts = |at: &f64| self.now - at < self.plan.resync && joined.len() < self.plan.cores;
        let lately = self.watch.left.iter().filter(|(_, at)| counts(at)).map(|(n, _)| *n).collect::<Vec<_>>();
        joined.into_iter().chain(lately).collect()
    }

    /// The largest set of core machines that run, reach each other and have disks that work, if most are in it.
    pub fn most(&self) -> Option<BTreeSet<usize>> {
        let (listed, joined, leaving) = (self.listed(), self.joined_list(), self.leaving_list());
        let hangs = |n: &usize| self.cores[*n].disk.hangs(self.now).is_some();
        let up: Vec<usize> = listed.iter().copied().filter(|n| self.runs(*n) && !hangs(n)).collect();
        let sets = (1u32..1 << up.len()).map(|bits| {
            let some = up.iter().enumerate().filter(move |(i, _)| bits & (1 << i) != 0);
            some.map(|(_, n)| *n).collect::<BTreeSet<usize>>()
        });
        let whole = |set: &BTreeSet<usize>| set.iter().all(|a| set.iter().all(|b| self.joined(*a, *b)));
        let of = |set: &BTreeSet<usize>, list: &[usize]| list.iter().filter(|n| set.contains(n)).count();
        let largest = sets.filter(whole).max_by_key(|set| (of(set, &joined), set.len()))?;
        let most = |list: &[usize]| 2 * of(&largest, list) > list.len();
        (most(&joined) && most(&leaving)).then_some(largest)
    }

    /// Is most of the core out of reach from where this machine is, whether it runs itself or not? However those are
    /// counted that had no time to join.
    fn alone(&self, n: usize) -> bool {
        let far = |list: &[usize]| {
            let there = list.iter().filter(|m| **m == n || self.runs(**m) && self.joined(n, **m)).count();
            2 * there <= list.len()
        };
        far(&self.listed()) && far(&self.joined_list())
    }

    /// Those that came lately join once they were in touch with most of the core for long enough.
    fn watch_joins(&mut self, most: Option<&BTreeSet<usize>>) {
        for (n, since) in std::mem::take(&mut self.watch.joining) {
            let there = self.runs(n) && most.is_some_and(|set| set.iter().all(|m| self.joined(n, *m)));
            let since = if there { since } else { self.now };
            if self.now - since < self.plan.resync {
                self.watch.joining.insert(n, since);
            }
        }
    }

    /// Seconds that a core machine has been out of contact with most of the core.
    pub fn apart(&self, n: usize) -> Option<f64> {
        let since = self.watch.apart_since.get(&n).filter(|_| self.alone(n));
        since.map(|at| self.now - at)
    }

    /// A core machine answers an operator.
    pub fn operator_answered(&mut self, core: usize, status: u16) {
        let now = self.now;
        if let Some(for_s) = self.apart(core).filter(|s| *s > LEASE + EVERY) {
            if status != 503 && status != 307 {
                let text = format!("APART {now:.3}: core {core}, cut off for {for_s:.3} s, answers {status}");
                self.audit.broken.push(text);
            }
        }
    }

    /// A core machine answers a worker's call: one that is cut off can't tell those who send to it.
    pub fn worker_answered(&mut self, core: usize, status: u16) {
        self.handed_out(core, Some("a worker's acknowledgement").filter(|_| status == 200));
    }

    /// A core machine hands something out that only one in touch with most may.
    pub fn handed_out(&mut self, core: usize, what: Option<&str>) {
        let now = self.now;
        let Some(what) = what else { return };
        if let Some(for_s) = self.apart(core).filter(|s| *s > LEASE + EVERY) {
            let text = format!("APART {now:.3}: core {core}, cut off for {for_s:.3} s, hands out {what}");
            self.audit.broken.push(text);
        }
    }

    /// A core machine answers a gatekeeper as the counter.
    pub fn counted(&mut self, core: usize, term: u64) {
        // One machine a term, and none answers once a later one has.
        let life = self.cores[core].life;
        let held = *self.watch.terms.entry(term).or_insert((core, life));
        let newest = self.watch.terms.keys().next_back().copied().unwrap_or(term);
        if held != (core, life) || newest > term {
            let text = format!(
                "COUNTER {:.3}: core {core} counts in term {term}, {held:?} did, {newest} is the newest",
                self.now
            );
            self.audit.broken.push(text);
        }
        let (now, seen) = (self.now, &mut self.watch.counters);
        if let Some(last) = seen.last_mut().filter(|l| l.1 == core) {
            last.0 = now;
            return;
        }
        self.watch.holders += 1;
        if let [.., (before, first), _] = seen[..] {
            if first == core && now - before < OVERLAP {
                self.audit
                    .broken
                    .push(format!("COUNTER {now:.3}: cores {core} and {} at once", seen[seen.len() - 1].1));
            }
        }
        seen.push((now, core));
    }

    /// A gatekeeper hears a core machine.
    pub fn heard(&mut self, edge: usize, core: usize) {
        if self.apart(core).is_none_or(|secs| secs <= LEASE) {
            self.watch.met.insert((edge, self.edges[edge].life));
        }
    }

    pub fn look_round(&mut self) {
        self.after(EVERY, SimulationEvent::Watch);
        let (now, most) = (self.now, self.most());
        self.watch_joins(most.as_ref());
        let settled = most.is_some() && now > self.watch.touched + CONTACT;
        match settled {
            true => {
                self.watch.settled_since.get_or_insert(now);
                self.watch.settled_for += EVERY;
            }
            false => self.watch.settled_since = None,
        }
        for n in 0..self.cores.len() {
            match self.alone(n) {
                true => drop(self.watch.apart_since.entry(n).or_insert(now)),
                false => drop(self.watch.apart_since.remove(&n)),
            }
        }
        for operator in 0..=self.plan.crew.clerks {
            let whole = |most: &BTreeSet<usize>| {
                most.iter().all(|n| self.both_ways(Participant::Operator(operator), Participant::Core(*n)))
            };
            match most.as_ref().is_some_and(whole) {
                true => drop(self.watch.reach_since.entry(operator).or_insert(now)),
                false => drop(self.watch.reach_since.remove(&operator)),
            }
        }
        self.watch.most_since = self.watch.most_since.or(Some(now)).filter(|_| most.is_some());
        self.watch_acks();
        let due = (
            self.confirmed_orders(0.0, SETTLE),
            match self.watch.most_since {
                Some(since) => self.confirmed_orders(since, SETTLE + STRETCH),
                None => Vec::new(),
            },
        );
        for n in 0..self.edges.len() {
            self.watch_edge(n, most.as_ref(), (&due.0, &due.1));
        }
    }

    /// A proper order has its answer in time, in one stretch in which the core is settled.
    fn watch_acks(&mut self) {
        let Some(settled) = self.watch.settled_since else { return };
        let mut waiting = std::mem::take(&mut self.desk.waiting);
        waiting.retain(|n| self.desk.orders[*n].unanswered());
        for n in waiting.clone() {
            let o = &self.desk.orders[n];
            let rival = o.rival.map(|r| &self.desk.orders[r]);
            // Of two under one number one is owed an answer.
            let beaten = rival.is_some_and(|r| !r.unanswered() || r.began < o.began);
            if o.sort == ChangeValidity::Invalid || beaten {
                continue;
            }
            let Some(reach) = self.watch.reach_since.get(&(o.clerk + 1)) else { continue };
            let since = o.began.max(settled).max(*reach);
            if self.now > since + ACK + 0.05 && self.watch.late.insert(n) {
                let (now, began) = (self.now, o.began);
                self.audit
                    .broken
                    .push(format!("ACK {now:.3}: order {n} of {began:.3} has no answer since {since:.3}"));
            }
        }
        self.desk.waiting = waiting;
        let reach = self.watch.reach_since.get(&0).copied();
        if let Some((began, reach)) = self.operator.waits.zip(reach) {
            let since = began.max(settled).max(reach).max(self.deaf.0);
            if self.now > since + ACK + 0.05 && self.watch.late.insert(usize::MAX) {
                let now = self.now;
                self.audit
                    .broken
                    .push(format!("ACK {now:.3}: the change of {began:.3} has no answer since {since:.3}"));
            }
        }
    }

    fn watch_edge(
        &mut self,
        n: usize,
        most: Option<&BTreeSet<usize>>,
        (due, due_outer): (&[ExpectedVersion], &[ExpectedVersion]),
    ) {
        let (now, node) = (self.now, &self.edges[n]);
        let Some(edge) = &node.edge else {
            self.watch.edge_reach_since.remove(&n);
            self.watch.edge_outer_since.remove(&n);
            return;
        };
        let life = node.life;
        let reaches = |core: &usize| self.both_ways(Participant::Edge(n), Participant::Core(*core));
        let steady = most.is_some_and(|most| most.iter().all(reaches)) && !node.frozen && now > node.trouble;
        let clock = 1000.0 + (now - node.boot) * node.drift;
        let ready = edge.is_ready(clock);
        let routes = edge.active_config.routes().filter_map(|r| {
            let label = r.label.strip_prefix("x-")?.parse::<usize>().ok()?;
            Some((label, content(&r.path_prefix)?))
        });
        let shown: BTreeMap<usize, u64> = routes.collect();
        match steady && self.watch.settled_since.is_some() {
            true => drop(self.watch.edge_reach_since.entry(n).or_insert(now)),
            false => drop(self.watch.edge_reach_since.remove(&n)),
        }
        match steady {
            true => drop(self.watch.edge_outer_since.entry(n).or_insert(now)),
            false => drop(self.watch.edge_outer_since.remove(&n)),
        }
        let mut wrong = Vec::new();
        if !self.watch.met.contains(&(n, life))
            && ready
            && self.watch.told.insert((life, format!("ready {n}")))
        {
            wrong.push(format!("READY {now:.3}: edge {n}, which met only a core machine that is cut off"));
        }
        for (label, content) in &shown {
            let Some(order) = self.desk.orders.get(*content as usize) else { continue };
            let version = order.version;
            self.watch.stands(now, *label, version, *content, "served", &mut wrong);
            let held = self.watch.served.entry((n, life, *label)).or_default();
            if *held > version {
                wrong.push(format!("BACK {now:.3}: edge {n} serves x-{label} by r{version} after r{held}"));
            }
            *held = version;
            let ever = self.watch.served_ever.entry((n, *label)).or_default();
            if ready && *ever > version && self.watch.told.insert((*ever, format!("ever {n} {label}"))) {
                let text = format!("BEHIND {now:.3}: edge {n}, ready, serves x-{label} by r{version}");
                wrong.push(format!("{text}, a former life by r{ever}"));
            }
            *ever = version.max(*ever);
        }
        let gone = self
            .watch
            .served
            .iter()
            .filter(|((e, l, label), v)| (*e, *l) == (n, life) && **v > 0 && !shown.contains_key(label));
        let gone: Vec<usize> = gone.map(|((_, _, label), _)| *label).collect();
        for label in gone {
            wrong.push(format!("BACK {now:.3}: edge {n} serves x-{label} no more"));
            self.watch.served.remove(&(n, life, label));
        }
        let in_touch = |since: &HashMap<usize, f64>| since.get(&n).is_some_and(|at| now - *at > CONTACT);
        for (held, due) in [
            (in_touch(&self.watch.edge_reach_since), due),
            (in_touch(&self.watch.edge_outer_since), due_outer),
        ] {
            for (label, version, at) in due.iter().filter(|_| held) {
                let served = self.watch.served.get(&(n, life, *label)).copied().unwrap_or(0);
                if served < *version && self.watch.told.insert((*version, format!("settle {n} {label}"))) {
                    wrong.push(format!(
                        "SETTLE {now:.3}: edge {n} serves x-{label} by r{served}, r{version} since {at:.3}"
                    ));
                }
            }
        }
        for content in shown.values() {
            self.refused_stands(*content, "served");
        }
        self.audit.broken.extend(wrong);
    }

    /// The highest number of each register that was confirmed so long ago, but not before.
    fn confirmed_orders(&self, since: f64, ago: f64) -> Vec<ExpectedVersion> {
        let mut newest: BTreeMap<usize, (u64, f64)> = BTreeMap::new();
        for o in self.desk.orders.iter().filter(|o| o.sort == ChangeValidity::Proper) {
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

    /// The core was touched: it is not settled for a while.
    pub fn touch(&mut self) {
        self.watch.touched = self.now;
        self.watch.settled_since = None;
    }

    /// What can be told at the end: the history as a whole.
    pub fn check_history(&mut self) {
        if self.plan.crew.clerks == 0 {
            return;
        }
        let proper = self.desk.orders.iter().filter(|o| o.sort == ChangeValidity::Proper);
        let writes: Vec<Write> = proper
            .map(|o| Write {
                from: o.began,
                to: o.confirmed.unwrap_or(f64::INFINITY),
                labels: o.labels.clone(),
                number: o.version,
                content: o.content,
            })
            .collect();
        if let Err(why) = history::check(&writes, &self.desk.reads) {
            self.audit.broken.push(format!("HISTORY: {why}"));
        }
        if !self.desk.read_at_end {
            self.audit.broken.push("UNREAD: no operator could read at the end".into());
        }
    }

    /// Is there a process for this?
    pub fn there(&self, who: NodeRef) -> bool {
        match who {
            NodeRef::Core(n) => self.cores[n].core.is_some(),
            NodeRef::Edge(n) => self.edges[n].edge.is_some(),
        }
    }
}
