//! Records of share ceilings: what the replicated log has committed, and the content of the next record.
//!
//! A standing share rises only up to its committed ceiling, which a majority of the core has stored. The next leader
//! therefore knows an upper bound for every share that may be spent.

use super::{QuotaCounter, TenantId};
use crate::protocol::{EdgeCeilings, ShareCeilings, TenantCeiling};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Keys of ceilings: edge node and tenant.
pub type CeilingKeys = BTreeSet<(Arc<str>, TenantId)>;

/// Progress of recording the ceilings in the log.
#[derive(Clone, Debug, Default)]
pub struct RecordProgress {
    /// Sequence number of the last proposed record; 0 before the first.
    sequence: u64,
    /// Ceilings in proposed records that may not be committed yet.
    uncommitted: CeilingKeys,
    /// Ceilings that changed since the last proposed record.
    pub changed: CeilingKeys,
    /// Edge nodes that were removed since the last proposed record.
    pub ended_edges: BTreeSet<Arc<str>>,
}

impl QuotaCounter {
    /// Whether the next record would differ from the last proposed one.
    pub fn has_unrecorded_changes(&self) -> bool {
        let record = &self.record;
        record.sequence == 0 || !record.changed.is_empty() || !record.ended_edges.is_empty()
    }

    /// Returns the next record of the ceilings, for the caller to propose to the log. Once the record is committed the
    /// caller calls [`QuotaCounter::record_committed`]. The first record of a leader is full; later ones list the
    /// changes.
    pub fn next_record(&mut self) -> ShareCeilings {
        let is_full = self.record.sequence == 0;
        self.record.sequence += 1;
        let mut listed = std::mem::take(&mut self.record.changed);
        // Ceilings of earlier records that may not be committed are listed again.
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

    /// The log has committed the record of this sequence number: shares may rise to its ceilings. Ignored for any
    /// record but the last one, since a later record lists the uncommitted ceilings again.
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

    /// A full record, like the first one of a leader.
    #[cfg(test)]
    pub fn full_record(&self) -> ShareCeilings {
        let mut copy = self.clone();
        copy.record.sequence = 0;
        copy.next_record()
    }
}

/// Rounds `x` up to an `f32`: a recorded ceiling must not be below the share that it bounds.
fn round_up(x: f64) -> f32 {
    let near = x as f32;
    if f64::from(near) < x {
        near.next_up()
    } else {
        near
    }
}
