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
    pub disturbed_at: f64,
    settled_since: Option<f64>,
    isolated_since: BTreeMap<usize, f64>,
    /// When each operator came to reach most of the core.
    reach_since: HashMap<usize, f64>,
    edge_reach_since: HashMap<usize, f64>,
    /// The same, settled or not; and since when most of the core is joined.
    edge_outer_since: HashMap<usize, f64>,
    majority_since: Option<f64>,
    /// The highest number that any life of a gatekeeper served by.
    served_ever: HashMap<(usize, usize), u64>,
    /// Lives of gatekeepers that heard a core machine that was not cut off.
    edges_in_contact: HashSet<(usize, u64)>,
    /// Numbers that gatekeepers served by.
    served: HashMap<(usize, u64, usize), u64>,
    contents: HashMap<(usize, u64), u64>,
    overdue_changes: HashSet<usize>,
    pub reported: HashSet<(u64, String)>,
    /// Who answered as the counter lately.
    quota_leaders: Vec<(f64, usize)>,
    /// Those that came lately: since when they are in touch with most of the core.
    pub joining: BTreeMap<usize, f64>,
    /// When those that were removed were gone.
    pub removed_at: BTreeMap<usize, f64>,
    /// Operators' lists of the core, by when each came to be.
    pub core_lists: Vec<(f64, Vec<usize>)>,
    /// Losses that wait for a moment of a snapshot.
    pub pending_snapshot_crashes: Vec<super::severe_faults::SnapshotCrash>,
    /// How often each moment of a snapshot came, and how many losses came at one.
    pub snapshot_stages: BTreeMap<usize, u64>,
    pub snapshot_crashes: u64,
    /// What waits for the next order to be confirmed, until then.
    pub armed_crash: Option<(f64, PendingCrash)>,
    pub quota_leader_changes: u64,
    /// Who counted in each term: machine and life.
    quota_leader_by_term: BTreeMap<u64, (usize, u64)>,
    pub settled_for: f64,
}

impl InvariantMonitor {
    /// Who answered last as the counter.
    pub fn quota_leader(&self) -> Option<usize> {
        self.quota_leaders.last().map(|c| c.1)
    }

    /// Did this one ever answer as the counter?
    pub fn was_quota_leader(&self, core: usize) -> bool {
        self.quota_leaders.iter().any(|c| c.1 == core)
    }

    /// This content was seen under this number of a register.
    pub fn check_content(
        &mut self,
        now: f64,
        label: usize,
        version: u64,
        content: u64,
        seen: &str,
        violations: &mut Vec<String>,
    ) {
        let held = *self.contents.entry((label, version)).or_insert(content);
        if held != content && self.reported.insert((content, format!("number {label}"))) {
            violations.push(format!(
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

    fn can_exchange(&self, a: Participant, b: Participant) -> bool {
        self.links.reaches(a, b) && self.links.reaches(b, a)
    }

    pub fn cores_connected(&self, a: usize, b: usize) -> bool {
        a == b || self.can_exchange(Participant::Core(a), Participant::Core(b))
    }

    pub fn listed_cores(&self) -> Vec<usize> {
        (0..self.cores.len()).filter(|n| self.cores[*n].listed).collect()
    }

    /// The operator's list without those that had no time to join yet.
    fn joined_cores(&self) -> Vec<usize> {
        self.listed_cores().into_iter().filter(|n| !self.invariants.joining.contains_key(n)).collect()
    }

    /// The same with those that were removed so lately that they may still count.
    fn joined_and_leaving_cores(&self) -> Vec<usize> {
        let joined = self.joined_cores();
        // One that has its successor counts no more.
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

    /// The largest set of core machines that run, reach each other and have disks that work, if most are in it.
    pub fn connected_majority(&self) -> Option<BTreeSet<usize>> {
        let (listed, joined, leaving) =
            (self.listed_cores(), self.joined_cores(), self.joined_and_leaving_cores());
        let hangs = |n: &usize| self.cores[*n].disk.hangs(self.now).is_some();
        let up: Vec<usize> = listed.iter().copied().filter(|n| self.runs(*n) && !hangs(n)).collect();
        let sets = (1u32..1 << up.len()).map(|bits| {
            let some = up.iter().enumerate().filter(move |(i, _)| bits & (1 << i) != 0);
            some.map(|(_, n)| *n).collect::<BTreeSet<usize>>()
        });
        let whole =
            |set: &BTreeSet<usize>| set.iter().all(|a| set.iter().all(|b| self.cores_connected(*a, *b)));
        let of = |set: &BTreeSet<usize>, list: &[usize]| list.iter().filter(|n| set.contains(n)).count();
        let largest = sets.filter(whole).max_by_key(|set| (of(set, &joined), set.len()))?;
        let most = |list: &[usize]| 2 * of(&largest, list) > list.len();
        (most(&joined) && most(&leaving)).then_some(largest)
    }

    /// Is most of the core out of reach from where this machine is, whether it runs itself or not? However those are
    /// counted that had no time to join.
    fn is_isolated(&self, n: usize) -> bool {
        let far = |list: &[usize]| {
            let there =
                list.iter().filter(|m| **m == n || self.runs(**m) && self.cores_connected(n, **m)).count();
            2 * there <= list.len()
        };
        far(&self.listed_cores()) && far(&self.joined_cores())
    }

    /// Those that came lately join once they were in touch with most of the core for long enough.
    fn update_joining_cores(&mut self, most: Option<&BTreeSet<usize>>) {
        for (n, since) in std::mem::take(&mut self.invariants.joining) {
            let there =
                self.runs(n) && most.is_some_and(|set| set.iter().all(|m| self.cores_connected(n, *m)));
            let since = if there { since } else { self.now };
            if self.now - since < self.plan.resync {
                self.invariants.joining.insert(n, since);
            }
        }
    }

    /// Seconds that a core machine has been out of contact with most of the core.
    pub fn isolated_for(&self, n: usize) -> Option<f64> {
        let since = self.invariants.isolated_since.get(&n).filter(|_| self.is_isolated(n));
        since.map(|at| self.now - at)
    }

    /// A core machine answers an operator.
    pub fn operator_answered(&mut self, core: usize, status: u16) {
        let now = self.now;
        if let Some(for_s) = self.isolated_for(core).filter(|s| *s > LEASE + EVERY) {
            if status != 503 && status != 307 {
                let text = format!("APART {now:.3}: core {core}, cut off for {for_s:.3} s, answers {status}");
                self.auditor.violations.push(text);
            }
        }
    }

    /// A core machine answers a worker's call: one that is cut off can't tell those who send to it.
    pub fn worker_answered(&mut self, core: usize, status: u16) {
        self.check_handout(core, Some("a worker's acknowledgement").filter(|_| status == 200));
    }

    /// A core machine hands something out that only one in touch with most may.
    pub fn check_handout(&mut self, core: usize, what: Option<&str>) {
        let now = self.now;
        let Some(what) = what else { return };
        if let Some(for_s) = self.isolated_for(core).filter(|s| *s > LEASE + EVERY) {
            let text = format!("APART {now:.3}: core {core}, cut off for {for_s:.3} s, hands out {what}");
            self.auditor.violations.push(text);
        }
    }

    /// A core machine answers a gatekeeper as the counter.
    pub fn quota_leader_responded(&mut self, core: usize, term: u64) {
        // One machine a term, and none answers once a later one has.
        let incarnation = self.cores[core].incarnation;
        let held = *self.invariants.quota_leader_by_term.entry(term).or_insert((core, incarnation));
        let newest = self.invariants.quota_leader_by_term.keys().next_back().copied().unwrap_or(term);
        if held != (core, incarnation) || newest > term {
            let text = format!(
                "COUNTER {:.3}: core {core} counts in term {term}, {held:?} did, {newest} is the newest",
                self.now
            );
            self.auditor.violations.push(text);
        }
        let (now, seen) = (self.now, &mut self.invariants.quota_leaders);
        if let Some(last) = seen.last_mut().filter(|l| l.1 == core) {
            last.0 = now;
            return;
        }
        self.invariants.quota_leader_changes += 1;
        if let [.., (before, first), _] = seen[..] {
            if first == core && now - before < OVERLAP {
                self.auditor
                    .violations
                    .push(format!("COUNTER {now:.3}: cores {core} and {} at once", seen[seen.len() - 1].1));
            }
        }
        seen.push((now, core));
    }

    /// A gatekeeper hears a core machine.
    pub fn note_contact(&mut self, edge: usize, core: usize) {
        if self.isolated_for(core).is_none_or(|secs| secs <= LEASE) {
            self.invariants.edges_in_contact.insert((edge, self.edges[edge].incarnation));
        }
    }

    pub fn check_invariants(&mut self) {
        self.schedule_after(EVERY, SimulationEvent::InvariantCheck);
        let (now, most) = (self.now, self.connected_majority());
        self.update_joining_cores(most.as_ref());
        let settled = most.is_some() && now > self.invariants.disturbed_at + CONTACT;
        match settled {
            true => {
                self.invariants.settled_since.get_or_insert(now);
                self.invariants.settled_for += EVERY;
            }
            false => self.invariants.settled_since = None,
        }
        for n in 0..self.cores.len() {
            match self.is_isolated(n) {
                true => drop(self.invariants.isolated_since.entry(n).or_insert(now)),
                false => drop(self.invariants.isolated_since.remove(&n)),
            }
        }
        for operator in 0..=self.plan.operator_load.operators {
            let whole = |most: &BTreeSet<usize>| {
                most.iter().all(|n| self.can_exchange(Participant::Operator(operator), Participant::Core(*n)))
            };
            match most.as_ref().is_some_and(whole) {
                true => drop(self.invariants.reach_since.entry(operator).or_insert(now)),
                false => drop(self.invariants.reach_since.remove(&operator)),
            }
        }
        self.invariants.majority_since =
            self.invariants.majority_since.or(Some(now)).filter(|_| most.is_some());
        self.check_response_times();
        let due = (
            self.confirmed_orders(0.0, SETTLE),
            match self.invariants.majority_since {
                Some(since) => self.confirmed_orders(since, SETTLE + STRETCH),
                None => Vec::new(),
            },
        );
        for n in 0..self.edges.len() {
            self.check_edge(n, most.as_ref(), (&due.0, &due.1));
        }
    }

    /// A proper order has its answer in time, in one stretch in which the core is settled.
    fn check_response_times(&mut self) {
        let Some(settled) = self.invariants.settled_since else { return };
        let mut waiting = std::mem::take(&mut self.operator_records.waiting);
        waiting.retain(|n| self.operator_records.orders[*n].unanswered());
        for n in waiting.clone() {
            let o = &self.operator_records.orders[n];
            let rival = o.rival.map(|r| &self.operator_records.orders[r]);
            // Of two under one number one is owed an answer.
            let beaten = rival.is_some_and(|r| !r.unanswered() || r.began < o.began);
            if o.sort == ChangeValidity::Invalid || beaten {
                continue;
            }
            let Some(reach) = self.invariants.reach_since.get(&(o.operator + 1)) else { continue };
            let since = o.began.max(settled).max(*reach);
            if self.now > since + ACK + 0.05 && self.invariants.overdue_changes.insert(n) {
                let (now, began) = (self.now, o.began);
                self.auditor
                    .violations
                    .push(format!("ACK {now:.3}: order {n} of {began:.3} has no answer since {since:.3}"));
            }
        }
        self.operator_records.waiting = waiting;
        let reach = self.invariants.reach_since.get(&0).copied();
        if let Some((began, reach)) = self.operator.waits.zip(reach) {
            let since = began.max(settled).max(reach).max(self.lost_responses.0);
            if self.now > since + ACK + 0.05 && self.invariants.overdue_changes.insert(usize::MAX) {
                let now = self.now;
                self.auditor
                    .violations
                    .push(format!("ACK {now:.3}: the change of {began:.3} has no answer since {since:.3}"));
            }
        }
    }

    fn check_edge(
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
    fn confirmed_orders(&self, since: f64, ago: f64) -> Vec<ExpectedVersion> {
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

    /// The core was touched: it is not settled for a while.
    pub fn mark_core_disturbed(&mut self) {
        self.invariants.disturbed_at = self.now;
        self.invariants.settled_since = None;
    }

    /// What can be told at the end: the history as a whole.
    pub fn check_history(&mut self) {
        if self.plan.operator_load.operators == 0 {
            return;
        }
        let proper = self.operator_records.orders.iter().filter(|o| o.sort == ChangeValidity::Proper);
        let writes: Vec<Write> = proper
            .map(|o| Write {
                from: o.began,
                to: o.confirmed.unwrap_or(f64::INFINITY),
                labels: o.labels.clone(),
                number: o.version,
                content: o.content,
            })
            .collect();
        if let Err(why) = history::check(&writes, &self.operator_records.reads) {
            self.auditor.violations.push(format!("HISTORY: {why}"));
        }
        if !self.operator_records.read_at_end {
            self.auditor.violations.push("UNREAD: no operator could read at the end".into());
        }
    }

    /// Is there a process for this?
    pub fn has_process(&self, who: NodeRef) -> bool {
        match who {
            NodeRef::Core(n) => self.cores[n].core.is_some(),
            NodeRef::Edge(n) => self.edges[n].edge.is_some(),
        }
    }
}
