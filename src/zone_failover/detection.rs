//! What state each hall is in, derived only from what a gatekeeper really has: the server table (late, and
//! knowing only whether a process runs) and the endings of its own dispatches. It owns the evidence and the
//! states; it must never choose a node, and it never takes one silent node or one slow class for a lost hall.
//!
//! A cut hall is silent: open connections hang and new ones never come up. So the evidence of a cut is
//! *silence* (no byte back within the silence span, reported by the I/O side), from at least two distinct
//! nodes of the hall (or its only node), with no answer from any node of the hall in a whole span since the
//! first of those silences. A refused connection is no silence: something in the hall answered it. Any answer from a node
//! clears that node's silence, so a class that is slow on nodes that answer other classes never adds up to a
//! cut.

use std::collections::BTreeMap;

/// What one dispatch told of its node's hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// Bytes came back (an answer, an error, a full table): the hall is reachable.
    Answered,
    /// The connection was refused or reset at once: the hall is reachable, the node may be down.
    Refused,
    /// Nothing came back within the silence span: a connect that never came up, or a dispatch with no byte.
    Silent,
}

/// The state of a hall as this gatekeeper sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HallState {
    /// All its known nodes are on the table and none is silent.
    Whole,
    /// Some of its nodes are off the table or failing: its share shrinks with what is left.
    Thinned,
    /// Silent: no load but trials.
    Lost,
    /// Answering again after a loss, or back on the table: its load ramps.
    Returning,
}

/// What is known of one node, for its hall.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeSeen {
    pub(crate) hall: usize,
    pub(crate) nominal: f64,
    pub(crate) ready: bool,
    /// Last time it answered.
    pub(crate) answered: f64,
    /// Since when it has been silent, after its last answer.
    pub(crate) silent_since: Option<f64>,
    /// Last time a connection to it was refused, after its last answer.
    pub(crate) refused: Option<f64>,
}

/// The evidence of one hall and its state machine's place.
#[derive(Clone, Debug)]
pub(crate) struct HallSeen {
    pub(crate) state: HallState,
    pub(crate) since: f64,
    /// The most capacity (sum of nominal sizes) seen on the table: what "whole" is measured against.
    pub(crate) high_water: f64,
}

impl HallSeen {
    pub(crate) fn new(now: f64) -> Self {
        HallSeen { state: HallState::Whole, since: now, high_water: 0.0 }
    }
}

/// The evidence over all nodes, by node name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    pub(crate) nodes: BTreeMap<String, NodeSeen>,
}

/// How sure the evidence is that a hall is cut, at `now`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Reading {
    /// Capacity on the table and not refusing, over the high-water mark.
    pub(crate) health: f64,
    /// Silent on at least two nodes (or its only one), with no answer since.
    pub(crate) silent: bool,
}

impl Evidence {
    /// Notes a dispatch's ending.
    pub(crate) fn seen(&mut self, now: f64, node: &str, seen: Seen) {
        let Some(n) = self.nodes.get_mut(node) else { return };
        match seen {
            Seen::Answered => (n.answered, n.silent_since, n.refused) = (now, None, None),
            Seen::Refused => n.refused = Some(now),
            Seen::Silent => {
                n.silent_since.get_or_insert(now);
            }
        }
    }

    /// A hall begins its return: the silences that lost it are forgotten, so that only new ones count.
    pub(crate) fn forget_silence(&mut self, hall: usize) {
        self.nodes.values_mut().filter(|n| n.hall == hall).for_each(|n| n.silent_since = None);
    }

    /// Reads the evidence on one hall. `fresh` is how long a refusal counts.
    pub(crate) fn read(&self, hall: usize, high_water: f64, now: f64, fresh: f64) -> Reading {
        let nodes: Vec<&NodeSeen> = self.nodes.values().filter(|n| n.hall == hall).collect();
        let up: f64 = nodes
            .iter()
            .filter(|n| n.ready && n.silent_since.is_none() && n.refused.is_none_or(|t| now - t > fresh))
            .map(|n| n.nominal)
            .sum();
        let health = if high_water > 0.0 { (up / high_water).clamp(0.0, 1.0) } else { 0.0 };
        let silent: Vec<f64> = nodes.iter().filter_map(|n| n.silent_since).collect();
        let first = silent.iter().copied().fold(f64::INFINITY, f64::min);
        let answered = nodes.iter().map(|n| n.answered).fold(f64::NEG_INFINITY, f64::max);
        let ready = nodes.iter().filter(|n| n.ready).count().max(1);
        // A whole span without an answer after the first silence: slow starts and dying nodes are no cut.
        let silent = silent.len() >= ready.min(2) && answered < first && now - first >= fresh;
        Reading { health, silent }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn evidence(halls: &[usize]) -> Evidence {
        let mut e = Evidence::default();
        for (n, &hall) in halls.iter().enumerate() {
            e.nodes
                .insert(format!("n{n}"), NodeSeen { hall, nominal: 1.0, ready: true, ..NodeSeen::default() });
        }
        e
    }

    #[test]
    fn one_silent_node_is_no_cut() {
        let mut e = evidence(&[0, 0, 0]);
        e.seen(1.0, "n0", Seen::Silent);
        let r = e.read(0, 3.0, 1.1, 1.0);
        assert!(!r.silent);
        assert!((r.health - 2.0 / 3.0).abs() < 1e-9);
    }

    #[test]
    fn two_silent_nodes_and_no_answer_are_a_cut() {
        let mut e = evidence(&[0, 0, 0, 1]);
        e.seen(0.5, "n2", Seen::Answered);
        e.seen(1.0, "n0", Seen::Silent);
        e.seen(1.1, "n1", Seen::Silent);
        assert!(!e.read(0, 3.0, 1.9, 1.0).silent, "not yet a whole span");
        assert!(e.read(0, 3.0, 2.0, 1.0).silent);
        // An answer from the third, after the silences began, shows the hall reachable.
        e.seen(1.15, "n2", Seen::Answered);
        assert!(!e.read(0, 3.0, 2.0, 1.0).silent);
    }

    #[test]
    fn a_slow_class_on_answering_nodes_never_adds_up() {
        let mut e = evidence(&[0, 0]);
        for step in 0..20 {
            let t = f64::from(step) * 0.1;
            e.seen(t, "n0", Seen::Silent);
            e.seen(t + 0.01, "n1", Seen::Silent);
            e.seen(t + 0.05, "n0", Seen::Answered);
            e.seen(t + 0.06, "n1", Seen::Answered);
            assert!(!e.read(0, 2.0, t + 0.07, 1.0).silent);
        }
    }

    #[test]
    fn refusals_thin_but_do_not_cut() {
        let mut e = evidence(&[0, 0]);
        e.seen(1.0, "n0", Seen::Refused);
        e.seen(1.0, "n1", Seen::Refused);
        let r = e.read(0, 2.0, 1.1, 1.0);
        assert!(!r.silent);
        assert_eq!(r.health, 0.0);
        assert!(e.read(0, 2.0, 2.5, 1.0).health > 0.99, "a refusal is forgotten");
    }
}
