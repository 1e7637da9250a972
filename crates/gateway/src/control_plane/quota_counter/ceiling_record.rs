//! Which share ceilings the core has stored, and what the next record has to say.
//!
//! A standing share rises only up to its committed ceiling, the one that a majority of the core has stored, so that the
//! next leader knows of every share that may be spent.

use super::{QuotaCounter, TenantId};
use crate::protocol::{EdgeCeilings, ShareCeilings, TenantCeiling};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Ceilings, by edge node and tenant.
pub type CeilingKeys = BTreeSet<(Arc<str>, TenantId)>;

/// How far the ceilings are recorded.
#[derive(Clone, Debug, Default)]
pub struct RecordProgress {
    /// Sequence number of the last record; 0 before the first.
    sequence: u64,
    /// Ceilings in records that a majority may not have stored yet.
    uncommitted: CeilingKeys,
    /// Ceilings that changed since the last record.
    pub changed: CeilingKeys,
    /// Edge nodes that ended since the last record.
    pub ended_edges: BTreeSet<Arc<str>>,
}

impl QuotaCounter {
    /// Whether anything is to be recorded.
    pub fn has_unrecorded_changes(&self) -> bool {
        let record = &self.record;
        record.sequence == 0 || !record.changed.is_empty() || !record.ended_edges.is_empty()
    }

    /// The next record of the ceilings, to be stored by a majority of the core and then confirmed by
    /// [`QuotaCounter::record_committed`]. This leader's first record is full, later ones list what changed.
    pub fn next_record(&mut self) -> ShareCeilings {
        let is_full = self.record.sequence == 0;
        self.record.sequence += 1;
        let mut listed = std::mem::take(&mut self.record.changed);
        // What an earlier record listed, and a majority may not have stored, is listed again.
        listed.append(&mut self.record.uncommitted);
        if is_full {
            listed = self.all_ceilings();
        }
        let mut edges: Vec<EdgeCeilings> = Vec::new();
        for (node, tenant) in &listed {
            let Some(edge) = self.edges.get_mut(node) else { continue };
            let ceiling = edge.allocations.get_mut(tenant).map_or(0.0, |allocation| {
                allocation.proposed_ceiling = allocation.ceiling;
                round_up(allocation.ceiling)
            });
            if edges.last().is_none_or(|e| *e.node != **node) {
                let incarnation = edge.incarnation;
                edges.push(EdgeCeilings { node: node.to_string(), incarnation, ceilings: Vec::new() });
            }
            if let Some(last) = edges.last_mut() {
                let tenant = self.tenants[*tenant].name.to_string();
                last.ceilings.push(TenantCeiling { tenant, ceiling });
            }
        }
        edges.iter_mut().for_each(|e| e.ceilings.sort_by(|a, b| a.tenant.cmp(&b.tenant)));
        self.record.uncommitted = listed;
        let ended = std::mem::take(&mut self.record.ended_edges);
        let ended_edges = ended.iter().map(|node| node.to_string()).collect();
        ShareCeilings { term: self.term, sequence: self.record.sequence, edges, is_full, ended_edges }
    }

    /// A majority of the core has stored the record of this sequence number: shares may rise to its ceilings. Ignored
    /// unless it is the last one.
    pub fn record_committed(&mut self, sequence: u64) {
        if sequence != self.record.sequence {
            return;
        }
        for (node, tenant) in std::mem::take(&mut self.record.uncommitted) {
            let edge = self.edges.get_mut(&node);
            if let Some(allocation) = edge.and_then(|e| e.allocations.get_mut(&tenant)) {
                allocation.committed_ceiling = allocation.proposed_ceiling.min(allocation.ceiling);
            }
        }
    }

    fn all_ceilings(&self) -> CeilingKeys {
        let keys = self.edges.iter().flat_map(|(node, e)| e.allocations.keys().map(move |t| (node, *t)));
        keys.map(|(node, tenant)| (Arc::clone(node), tenant)).collect()
    }

    /// A full record, as the first one would be.
    #[cfg(test)]
    pub fn full_record(&self) -> ShareCeilings {
        let mut copy = self.clone();
        copy.record.sequence = 0;
        copy.next_record()
    }
}

/// The nearest `f32` that is not below `x`: a recorded ceiling must cover the share.
fn round_up(x: f64) -> f32 {
    let near = x as f32;
    if f64::from(near) < x {
        near.next_up()
    } else {
        near
    }
}
