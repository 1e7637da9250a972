//! Owns the record of ceilings of standing shares: what a holder of the counter tells the core of them, and how one
//! change follows another. It must never lose a ceiling that a gatekeeper may go by.

use serde::{Deserialize, Serialize};

/// A gatekeeper's name, its life, and by tenant the ceiling of its share: units a second.
pub type EdgeCeilings = (String, u64, Vec<(String, f32)>);

/// Ceilings of standing shares as a holder tells them to the other core machines, which keep the newest on their disks:
/// the next holder knows by them who may spend a share out of its sight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareCeilings {
    /// The holder's term.
    pub term: u64,
    /// Rises with each that this holder tells.
    pub number: u64,
    /// Of gatekeepers that may hold any: of all, or of those of whom something changed. Nought: no share any more.
    pub edges: Vec<EdgeCeilings>,
    /// Is that all, or what changed since the record before?
    #[serde(default = "yes")]
    pub whole: bool,
    /// Gatekeepers whose lives have ended or lapsed since the record before.
    #[serde(default)]
    pub ended: Vec<String>,
}

fn yes() -> bool {
    true
}

impl Default for ShareCeilings {
    fn default() -> Self {
        ShareCeilings { term: 0, number: 0, edges: Vec::new(), whole: true, ended: Vec::new() }
    }
}

impl ShareCeilings {
    /// What holds after `next`, the record that follows this one.
    pub fn amend(&mut self, next: &ShareCeilings) {
        if next.whole {
            return self.clone_from(next);
        }
        (self.term, self.number) = (next.term, next.number);
        self.edges.retain(|(node, _, _)| !next.ended.contains(node));
        for (node, life, parts) in &next.edges {
            let at = self.edges.partition_point(|g| g.0 < *node);
            if self.edges.get(at).is_none_or(|g| g.0 != *node) {
                self.edges.insert(at, (node.clone(), *life, Vec::new()));
            }
            let gate = &mut self.edges[at];
            if gate.1 != *life {
                (gate.1, gate.2) = (*life, Vec::new());
            }
            for (tenant, ceiling) in parts {
                match gate.2.binary_search_by(|(t, _)| t.cmp(tenant)) {
                    Ok(at) if *ceiling <= 0.0 => drop(gate.2.remove(at)),
                    Ok(at) => gate.2[at].1 = *ceiling,
                    Err(_) if *ceiling <= 0.0 => {}
                    Err(at) => gate.2.insert(at, (tenant.clone(), *ceiling)),
                }
            }
        }
    }
}
