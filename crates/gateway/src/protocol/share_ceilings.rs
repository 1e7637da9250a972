//! The record of share ceilings that the quota leader puts into the replicated log.
//!
//! A standing share may be spent while no leader can be reached, so a later leader has to know who may hold one. The
//! invariant: an edge node's standing share never exceeds the ceiling that a majority of the core has stored for it.
//! Each record gives either all ceilings or those that changed since the record before; [`ShareCeilings::apply`] folds
//! one into the other.
//!
//! Encoded by position (MessagePack arrays), on disk and between processes: fields keep their order.

use serde::{Deserialize, Serialize};

/// The ceiling of one tenant's standing share at an edge node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantCeiling {
    /// The tenant's name.
    pub tenant: String,
    /// Units a second; 0 in a record of changes: the edge node holds no share any more.
    pub ceiling: f32,
}

/// The ceilings of one edge node's standing shares.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EdgeCeilings {
    /// The edge node's name.
    pub node: String,
    /// The incarnation of its process that the ceilings are for; another incarnation starts without any.
    pub incarnation: u64,
    /// By tenant, sorted by name.
    pub ceilings: Vec<TenantCeiling>,
}

/// A record of share ceilings, as a quota leader proposes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareCeilings {
    /// The leader's term.
    pub term: u64,
    /// Sequence number of the record within the term.
    pub sequence: u64,
    /// By edge node, sorted by name: all, or those of which something changed.
    pub edges: Vec<EdgeCeilings>,
    /// Whether `edges` lists all; otherwise what changed since the record before. Absent in records of older releases,
    /// which are full.
    #[serde(default = "full_if_absent")]
    pub is_full: bool,
    /// Edge nodes whose incarnation ended, or whose shares expired, since the record before.
    #[serde(default)]
    pub ended_edges: Vec<String>,
}

fn full_if_absent() -> bool {
    true
}

impl Default for ShareCeilings {
    fn default() -> Self {
        ShareCeilings { term: 0, sequence: 0, edges: Vec::new(), is_full: true, ended_edges: Vec::new() }
    }
}

impl ShareCeilings {
    /// Applies `next`, the record that follows this one in the log.
    pub fn apply(&mut self, next: &ShareCeilings) {
        if next.is_full {
            return self.clone_from(next);
        }
        (self.term, self.sequence) = (next.term, next.sequence);
        self.edges.retain(|edge| !next.ended_edges.contains(&edge.node));
        for changed in &next.edges {
            let edge = self.edge_mut(&changed.node, changed.incarnation);
            for TenantCeiling { tenant, ceiling } in &changed.ceilings {
                edge.set(tenant, *ceiling);
            }
        }
    }

    /// The entry of this incarnation of an edge node; one of another incarnation is emptied.
    fn edge_mut(&mut self, node: &str, incarnation: u64) -> &mut EdgeCeilings {
        let at = self.edges.partition_point(|e| *e.node < *node);
        if self.edges.get(at).is_none_or(|e| e.node != node) {
            self.edges.insert(at, EdgeCeilings { node: node.to_owned(), incarnation, ceilings: Vec::new() });
        }
        let edge = &mut self.edges[at];
        if edge.incarnation != incarnation {
            (edge.incarnation, edge.ceilings) = (incarnation, Vec::new());
        }
        edge
    }
}

impl EdgeCeilings {
    /// Sets a tenant's ceiling, or removes it if it is 0.
    fn set(&mut self, tenant: &str, ceiling: f32) {
        match self.ceilings.binary_search_by(|c| (*c.tenant).cmp(tenant)) {
            Ok(at) if ceiling <= 0.0 => drop(self.ceilings.remove(at)),
            Ok(at) => self.ceilings[at].ceiling = ceiling,
            Err(_) if ceiling <= 0.0 => {}
            Err(at) => self.ceilings.insert(at, TenantCeiling { tenant: tenant.to_owned(), ceiling }),
        }
    }
}
