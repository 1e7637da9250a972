//! Majorities of the voters.

use super::progress::Progress;
use super::raft::Role;
use super::{InjectedFault, NodeId, Raft, VoterSet};

/// Whether `count` of `voters` members are a majority. Any two majorities of one configuration, or of two
/// that differ by one member, have a member in common; all safety arguments rest on that (Raft paper, 5.2;
/// dissertation, 4.1).
pub(super) fn is_majority(count: usize, voters: usize) -> bool {
    2 * count > voters
}

/// The highest value that a majority of `voters` members has reached, of the values of all of them; the
/// default without members.
fn reached_by_majority<T: Ord + Copy + Default>(mut values: Vec<T>, voters: usize) -> T {
    values.sort_unstable();
    // In ascending order: a majority is at or above this one.
    let position = values.len().checked_sub(voters / 2 + 1);
    position.and_then(|position| values.get(position).copied()).unwrap_or_default()
}

impl<C: Clone> Raft<C> {
    /// The highest value that a majority of the voters has reached, where `own` is this leader's and
    /// `value_of` that of a peer. The default if this member is not the leader.
    pub(super) fn quorum_value<T: Ord + Copy + Default>(
        &self,
        own: T,
        value_of: impl Fn(&Progress) -> T,
    ) -> T {
        let Role::Leader(leader) = &self.role else { return T::default() };
        let voters = self.voters();
        let value = |id: &NodeId| match id {
            id if *id == self.id => own,
            id => leader.peers.get(id).map(&value_of).unwrap_or_default(),
        };
        let mut values: Vec<T> = voters.iter().map(value).collect();
        values.extend(self.wrongly_counted(&voters).iter().map(value));
        reached_by_majority(values, voters.len())
    }

    /// Peers that don't vote and that an injected fault counts none the less.
    fn wrongly_counted(&self, voters: &VoterSet) -> Vec<NodeId> {
        let counts_removed = self.has_fault(InjectedFault::CountRemovedVoters);
        if !counts_removed && !self.has_fault(InjectedFault::CountLearners) {
            return Vec::new();
        }
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        let before = self.log.voters_at(self.log.configuration().index.saturating_sub(1));
        let is_wrong = |id: &&NodeId| !voters.contains(id) && before.contains(id) == counts_removed;
        leader.peers.keys().filter(is_wrong).copied().collect()
    }
}
