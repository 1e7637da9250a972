//! The invariants of the control plane: whether the core is settled, which node is isolated, and who may respond with what.
//! It looks at responses, readiness and served configurations, never into a core node.

use super::history::{self, Write};
use super::operators::ChangeValidity;
use super::partitions::Participant;
use super::severe_faults::PendingCrash;
use super::{SimulationEvent, World};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

pub(crate) const EVERY: f64 = 0.1;
/// As the settings have them: seconds.
pub(crate) const CONTACT: f64 = 3.0;
pub(crate) const ACK: f64 = 5.0;
pub(crate) const SETTLE: f64 = 2.5;
/// An unsettled core stretches `settle` by this at the most, where most of it runs and is joined all the while.
pub(crate) const STRETCH: f64 = 8.0;
/// A machine that is cut off may go on as before for so long: seconds.
pub(crate) const LEASE: f64 = 2.0;
/// A counter that answers, then another, then the first again within this: two at once. Seconds.
pub(crate) const OVERLAP: f64 = 0.5;

/// A register, the number that is to be served by, since when.
pub(crate) type ExpectedVersion = (usize, u64, f64);

/// What is remembered.
#[derive(Default)]
pub struct InvariantMonitor {
    /// When the core was last touched: kills, starts, cuts, pauses.
    pub disturbed_at: f64,
    pub(crate) settled_since: Option<f64>,
    pub(crate) isolated_since: BTreeMap<usize, f64>,
    /// When each operator came to reach most of the core.
    pub(crate) reach_since: HashMap<usize, f64>,
    pub(crate) edge_reach_since: HashMap<usize, f64>,
    /// The same, settled or not; and since when most of the core is joined.
    pub(crate) edge_outer_since: HashMap<usize, f64>,
    pub(crate) majority_since: Option<f64>,
    /// The highest number that any life of a edge node served by.
    pub(crate) served_ever: HashMap<(usize, usize), u64>,
    /// Lives of edge nodes that heard a core node that was not cut off.
    pub(crate) edges_in_contact: HashSet<(usize, u64)>,
    /// Numbers that edge nodes served by.
    pub(crate) served: HashMap<(usize, u64, usize), u64>,
    pub(crate) contents: HashMap<(usize, u64), u64>,
    pub(crate) overdue_changes: HashSet<usize>,
    /// What was reported already, so that it is reported once.
    pub reported: HashSet<(u64, String)>,
    /// Who answered as the counter lately.
    pub(crate) quota_leaders: Vec<(f64, usize)>,
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
    /// How many crashes came at a stage of a snapshot.
    pub snapshot_crashes: u64,
    /// What waits for the next order to be confirmed, until then.
    pub armed_crash: Option<(f64, PendingCrash)>,
    /// How often another node responded as the quota leader.
    pub quota_leader_changes: u64,
    /// Who counted in each term: machine and life.
    pub(crate) quota_leader_by_term: BTreeMap<u64, (usize, u64)>,
    /// Seconds for which the core was settled.
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
    /// A core node answers an operator.
    pub fn operator_answered(&mut self, core: usize, status: u16) {
        let now = self.now;
        if let Some(for_s) = self.isolated_for(core).filter(|s| *s > LEASE + EVERY) {
            if status != 503 && status != 307 {
                let text = format!("APART {now:.3}: core {core}, cut off for {for_s:.3} s, answers {status}");
                self.auditor.violations.push(text);
            }
        }
    }

    /// A core node answers a worker's call: one that is cut off can't tell those who send to it.
    pub fn worker_answered(&mut self, core: usize, status: u16) {
        self.check_handout(core, Some("a worker's acknowledgement").filter(|_| status == 200));
    }

    /// A core node hands something out that only one in touch with most may.
    pub fn check_handout(&mut self, core: usize, what: Option<&str>) {
        let now = self.now;
        let Some(what) = what else { return };
        if let Some(for_s) = self.isolated_for(core).filter(|s| *s > LEASE + EVERY) {
            let text = format!("APART {now:.3}: core {core}, cut off for {for_s:.3} s, hands out {what}");
            self.auditor.violations.push(text);
        }
    }

    /// A core node answers a edge node as the counter.
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

    /// Checks the core and each edge node, and schedules the next check.
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
    pub(crate) fn check_response_times(&mut self) {
        let Some(settled) = self.invariants.settled_since else { return };
        let mut waiting = std::mem::take(&mut self.operator_records.waiting);
        waiting.retain(|n| self.operator_records.orders[*n].unanswered());
        for n in waiting.clone() {
            let o = &self.operator_records.orders[n];
            let rival = o.rival.map(|r| &self.operator_records.orders[r]);
            // Of two under one number one is owed an answer.
            let beaten = rival.is_some_and(|r| !r.unanswered() || r.began < o.began);
            if o.validity == ChangeValidity::Invalid || beaten {
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
            let since = began.max(settled).max(reach).max(self.lost_responses.until);
            if self.now > since + ACK + 0.05 && self.invariants.overdue_changes.insert(usize::MAX) {
                let now = self.now;
                self.auditor
                    .violations
                    .push(format!("ACK {now:.3}: the change of {began:.3} has no answer since {since:.3}"));
            }
        }
    }

    /// What can be told at the end: the history as a whole.
    pub fn check_history(&mut self) {
        if self.plan.operator_load.operators == 0 {
            return;
        }
        let proper = self.operator_records.orders.iter().filter(|o| o.validity == ChangeValidity::Proper);
        let writes: Vec<Write> = proper
            .map(|o| Write {
                from: o.began,
                to: o.confirmed_at.unwrap_or(f64::INFINITY),
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
}
