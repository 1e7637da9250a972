//! Invariants of the control plane: whether the core is settled, which node is isolated, and which responses a node may
//! give. The checks use responses, readiness and served configurations only, never a core node's internal state.

use super::history::{self, Write};
use super::operators::ChangeValidity;
use super::partitions::Participant;
use super::severe_faults::PendingCrash;
use super::{SimulationEvent, World};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// Seconds between two checks of the invariants.
pub(crate) const CHECK_INTERVAL_SECS: f64 = 0.1;
/// The setting `contact`: seconds after a disturbance until nodes must have found each other again.
pub(crate) const CONTACT_SECS: f64 = 3.0;
/// The setting `ack_bound`: seconds within which a settled core answers a change.
pub(crate) const ACK_BOUND_SECS: f64 = 5.0;
/// The setting `settle`: seconds from the confirmation of a change until edge nodes serve it.
pub(crate) const SETTLE_BOUND_SECS: f64 = 2.5;
/// Seconds by which `settle` is extended while the core is unsettled but a majority stays connected.
pub(crate) const UNSETTLED_ALLOWANCE_SECS: f64 = 8.0;
/// Seconds for which an isolated core node may keep responding as before.
pub(crate) const LEASE_SECS: f64 = 2.0;
/// If a quota leader responds, then another, then the first again within this many seconds, two were active at once.
pub(crate) const LEADER_OVERLAP_SECS: f64 = 0.5;

/// A register, the version that must be served, and the time since when.
pub(crate) type ExpectedVersion = (usize, u64, f64);

/// Observations that the checks keep from one check to the next.
#[derive(Default)]
pub struct InvariantMonitor {
    /// Time of the last disturbance of the core: a kill, start, partition or pause.
    pub disturbed_at: f64,
    pub(crate) settled_since: Option<f64>,
    pub(crate) isolated_since: BTreeMap<usize, f64>,
    /// Time since when each operator has reached the whole connected majority of the core.
    pub(crate) reach_since: HashMap<usize, f64>,
    pub(crate) edge_reach_since: HashMap<usize, f64>,
    /// Time since when each edge node has reached a connected majority, whether the core is settled or not.
    pub(crate) edge_outer_since: HashMap<usize, f64>,
    /// Time since when a majority of the core has been connected.
    pub(crate) majority_since: Option<f64>,
    /// Highest version of each register that any incarnation of an edge node served, by edge node and register.
    pub(crate) served_ever: HashMap<(usize, usize), u64>,
    /// Incarnations of edge nodes that were contacted by a core node that was not isolated.
    pub(crate) edges_in_contact: HashSet<(usize, u64)>,
    /// Versions that edge nodes served, by edge node, incarnation and register.
    pub(crate) served: HashMap<(usize, u64, usize), u64>,
    pub(crate) contents: HashMap<(usize, u64), u64>,
    pub(crate) overdue_changes: HashSet<usize>,
    /// Violations that were reported, so that each is reported once.
    pub reported: HashSet<(u64, String)>,
    /// Core nodes that responded as the quota leader, in order, each with the time of its last response.
    pub(crate) quota_leaders: Vec<(f64, usize)>,
    /// Core nodes that were added and have had less than `resync` seconds of contact with a majority, with the start of
    /// the contact.
    pub joining: BTreeMap<usize, f64>,
    /// Time at which each removed core node ended.
    pub removed_at: BTreeMap<usize, f64>,
    /// Operators' lists of core nodes, each with the time from which it applies.
    pub core_lists: Vec<(f64, Vec<usize>)>,
    /// Crashes that wait for a stage of a snapshot.
    pub pending_snapshot_crashes: Vec<super::severe_faults::SnapshotCrash>,
    /// How often each stage of a snapshot was reached.
    pub snapshot_stages: BTreeMap<usize, u64>,
    /// How many crashes came at a stage of a snapshot.
    pub snapshot_crashes: u64,
    /// Crash that waits for the next confirmed change, with the time at which it is dropped.
    pub armed_crash: Option<(f64, PendingCrash)>,
    /// How often another node responded as the quota leader.
    pub quota_leader_changes: u64,
    /// Core node and incarnation that was the quota leader in each term.
    pub(crate) quota_leader_by_term: BTreeMap<u64, (usize, u64)>,
    /// Seconds for which the core was settled.
    pub settled_for: f64,
}

impl InvariantMonitor {
    /// The core node that last responded as the quota leader.
    pub fn quota_leader(&self) -> Option<usize> {
        self.quota_leaders.last().map(|c| c.1)
    }

    /// Whether this core node ever responded as the quota leader.
    pub fn was_quota_leader(&self, core: usize) -> bool {
        self.quota_leaders.iter().any(|c| c.1 == core)
    }

    /// NUMBER: a version of a register has one content. Records the content that was seen under this version.
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
                "NUMBER {now:.3}: x-{label}=r{version} has content {content} as {seen}, {held} earlier"
            ));
        }
    }
}

impl World {
    /// ISOLATED: an isolated core node answers operators with 503 or 307 only.
    pub fn operator_answered(&mut self, core: usize, status: u16) {
        let now = self.now;
        if let Some(for_s) = self.isolated_for(core).filter(|s| *s > LEASE_SECS + CHECK_INTERVAL_SECS) {
            if status != 503 && status != 307 {
                let text =
                    format!("ISOLATED {now:.3}: core {core}, isolated for {for_s:.3} s, answers {status}");
                self.auditor.violations.push(text);
            }
        }
    }

    /// Checks a response to a worker's call: an isolated core node must not acknowledge, because it can't notify the edge
    /// nodes that send to the worker.
    pub fn worker_answered(&mut self, core: usize, status: u16) {
        self.check_handout(core, Some("a worker's acknowledgement").filter(|_| status == 200));
    }

    /// ISOLATED: an isolated core node sends nothing that requires contact with a majority.
    pub fn check_handout(&mut self, core: usize, what: Option<&str>) {
        let now = self.now;
        let Some(what) = what else { return };
        if let Some(for_s) = self.isolated_for(core).filter(|s| *s > LEASE_SECS + CHECK_INTERVAL_SECS) {
            let text = format!("ISOLATED {now:.3}: core {core}, isolated for {for_s:.3} s, sends {what}");
            self.auditor.violations.push(text);
        }
    }

    /// COUNTER: checks a response of a core node as the quota leader.
    pub fn quota_leader_responded(&mut self, core: usize, term: u64) {
        // Each term has at most one quota leader, and none responds after the leader of a later term has.
        let incarnation = self.cores[core].incarnation;
        let held = *self.invariants.quota_leader_by_term.entry(term).or_insert((core, incarnation));
        let newest = self.invariants.quota_leader_by_term.keys().next_back().copied().unwrap_or(term);
        if held != (core, incarnation) || newest > term {
            let text = format!(
                "COUNTER {:.3}: core {core} responds as quota leader of term {term}, whose leader is {held:?}; \
                 newest term {newest}",
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
            if first == core && now - before < LEADER_OVERLAP_SECS {
                self.auditor.violations.push(format!(
                    "COUNTER {now:.3}: cores {core} and {} are quota leaders at once",
                    seen[seen.len() - 1].1
                ));
            }
        }
        seen.push((now, core));
    }

    /// Checks the core and each edge node, and schedules the next check.
    pub fn check_invariants(&mut self) {
        self.schedule_after(CHECK_INTERVAL_SECS, SimulationEvent::InvariantCheck);
        let (now, most) = (self.now, self.connected_majority());
        self.update_joining_cores(most.as_ref());
        let settled = most.is_some() && now > self.invariants.disturbed_at + CONTACT_SECS;
        match settled {
            true => {
                self.invariants.settled_since.get_or_insert(now);
                self.invariants.settled_for += CHECK_INTERVAL_SECS;
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
            let reaches_all = |most: &BTreeSet<usize>| {
                most.iter().all(|n| self.can_exchange(Participant::Operator(operator), Participant::Core(*n)))
            };
            match most.as_ref().is_some_and(reaches_all) {
                true => drop(self.invariants.reach_since.entry(operator).or_insert(now)),
                false => drop(self.invariants.reach_since.remove(&operator)),
            }
        }
        self.invariants.majority_since =
            self.invariants.majority_since.or(Some(now)).filter(|_| most.is_some());
        self.check_response_times();
        let due = (
            self.confirmed_orders(0.0, SETTLE_BOUND_SECS),
            match self.invariants.majority_since {
                Some(since) => self.confirmed_orders(since, SETTLE_BOUND_SECS + UNSETTLED_ALLOWANCE_SECS),
                None => Vec::new(),
            },
        );
        for n in 0..self.edges.len() {
            self.check_edge(n, most.as_ref(), (&due.0, &due.1));
        }
    }

    /// ACK: a valid change gets its response within `ACK_BOUND_SECS` of uninterrupted contact with a settled core.
    pub(crate) fn check_response_times(&mut self) {
        let Some(settled) = self.invariants.settled_since else { return };
        let mut waiting = std::mem::take(&mut self.operator_records.waiting);
        waiting.retain(|n| self.operator_records.orders[*n].unanswered());
        for n in waiting.clone() {
            let o = &self.operator_records.orders[n];
            let rival = o.rival.map(|r| &self.operator_records.orders[r]);
            // Of two changes with one version only the first must get a response.
            let beaten = rival.is_some_and(|r| !r.unanswered() || r.began < o.began);
            if o.validity == ChangeValidity::Invalid || beaten {
                continue;
            }
            let Some(reach) = self.invariants.reach_since.get(&(o.operator + 1)) else { continue };
            let since = o.began.max(settled).max(*reach);
            if self.now > since + ACK_BOUND_SECS + 0.05 && self.invariants.overdue_changes.insert(n) {
                let (now, began) = (self.now, o.began);
                self.auditor.violations.push(format!(
                    "ACK {now:.3}: change {n} sent at {began:.3} has no response since {since:.3}"
                ));
            }
        }
        self.operator_records.waiting = waiting;
        let reach = self.invariants.reach_since.get(&0).copied();
        if let Some((began, reach)) = self.operator.waits.zip(reach) {
            let since = began.max(settled).max(reach).max(self.lost_responses.until);
            if self.now > since + ACK_BOUND_SECS + 0.05 && self.invariants.overdue_changes.insert(usize::MAX)
            {
                let now = self.now;
                self.auditor.violations.push(format!(
                    "ACK {now:.3}: the primary change of {began:.3} has no response since {since:.3}"
                ));
            }
        }
    }

    /// Checks at the end of the day that the history is linearizable (HISTORY) and that an operator could read (UNREAD).
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
            self.auditor.violations.push("UNREAD: no operator got a response to its final read".into());
        }
    }
}
