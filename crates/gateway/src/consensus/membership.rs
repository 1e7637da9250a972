//! Configuration changes: learners become voters, lost disks and machines that are gone are removed.
//!
//! Each change adds or removes one voter (dissertation, 4.1), so majorities before and after it overlap. That
//! holds only if changes don't overlap in time, and if a leader begins none before it has committed in its
//! own term (the correction of 2015 to the published algorithm).

use super::leader::LeaderState;
use super::progress::Progress;
use super::quorum::is_majority;
use super::raft::Role;
use super::{EntryPayload, Index, InjectedFault, Millis, NodeId, Raft, RaftConfig, VoterSet};
use std::collections::BTreeMap;

/// A learner that was silent for this many voter removal timeouts is removed.
const LEARNER_TIMEOUT_FACTOR: Millis = 4;

impl<C: Clone> Raft<C> {
    /// Handles the announcement of a core machine that hears no leader, with its current disk. A leader
    /// replicates to this member from now on, and makes it a voter once it has caught up.
    pub fn join(&mut self, now: Millis, id: NodeId) {
        if id == self.id {
            return;
        }
        let fresh = Progress::new(now, self.log.last_index());
        self.departing.remove(&id);
        let Role::Leader(leader) = &mut self.role else { return };
        leader.current_disks.insert(id.ip, id.disk);
        // Earlier disks of the same machine can't return, so they are no longer learners.
        let voters = self.log.configuration().voters;
        leader.peers.retain(|peer, _| peer.ip != id.ip || *peer == id || voters.contains(peer));
        let is_known = leader.peers.contains_key(&id);
        let progress = leader.peers.entry(id).or_insert(fresh);
        if !voters.contains(&id) {
            progress.heard_at = now;
        }
        if !is_known {
            self.replicate_to(now, id, true);
        }
        self.issue_writes(now);
    }

    /// Handles the announcement of a member that its process ends: the member may be removed at once, without
    /// waiting for the removal timeout. Every member keeps this, because any of them may become the leader.
    pub fn leave(&mut self, now: Millis, id: NodeId) {
        self.departing.retain(|_, until| now < *until);
        if id != self.id {
            self.departing.insert(id, now + self.config.voter_removal_timeout);
        }
        if let Role::Leader(_) = &self.role {
            self.change_configuration(now);
        }
        self.issue_writes(now);
    }

    /// Begins the next configuration change, if one is due and none is in progress.
    pub(super) fn change_configuration(&mut self, now: Millis) {
        if !self.may_change_configuration() {
            return;
        }
        let voters = self.voters();
        let learner_timeout = LEARNER_TIMEOUT_FACTOR * self.config.voter_removal_timeout;
        let Role::Leader(leader) = &mut self.role else { return };
        leader.peers.retain(|id, progress| voters.contains(id) || now < progress.heard_at + learner_timeout);
        let planner = ChangePlanner {
            now,
            leader_id: self.id,
            voters: &voters,
            leader,
            departing: &self.departing,
            commit_index: self.commit_index,
            config: &self.config,
        };
        if let Some(next) = planner.next_voters() {
            self.append_and_broadcast(now, EntryPayload::ConfChange(next));
        }
    }

    fn may_change_configuration(&self) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let is_change_pending = self.log.configuration().index > self.commit_index
            && !self.has_fault(InjectedFault::OverlappingConfChanges);
        let is_term_uncommitted = self.commit_index < leader.term_start_index
            && !self.has_fault(InjectedFault::ConfChangeBeforeTermCommit);
        !is_change_pending && !is_term_uncommitted && leader.transfer.is_none()
    }

    /// After a commit: a leader that the committed configuration does not contain steps down (dissertation,
    /// 4.2.2), and replicates no longer to removed members whose disk is lost.
    pub(super) fn finish_conf_change(&mut self, now: Millis) {
        let configuration = self.log.configuration();
        if configuration.index > self.commit_index {
            return;
        }
        let voters = configuration.voters;
        if !voters.contains(&self.id) {
            return self.step_down(now, self.term);
        }
        let Role::Leader(leader) = &mut self.role else { return };
        let LeaderState { peers, current_disks, .. } = leader;
        let is_superseded = |id: &NodeId| current_disks.get(&id.ip).is_some_and(|disk| *disk != id.disk);
        peers.retain(|id, _| voters.contains(id) || !is_superseded(id));
    }
}

/// Decides which change of the configuration a leader makes next.
struct ChangePlanner<'a> {
    now: Millis,
    leader_id: NodeId,
    voters: &'a VoterSet,
    leader: &'a LeaderState,
    departing: &'a BTreeMap<NodeId, Millis>,
    commit_index: Index,
    config: &'a RaftConfig,
}

impl ChangePlanner<'_> {
    /// The next configuration, if a change is due: first a lost disk is removed, then a learner that has
    /// caught up is added, then a voter that is gone is removed.
    ///
    /// A lost disk goes before the same machine's new one is added: with both of them in the configuration
    /// each further step would need all other voters, and a machine that lost its disk again during its
    /// repair would leave the configuration without a majority for good.
    fn next_voters(&self) -> Option<VoterSet> {
        let mut next = self.voters.clone();
        if let Some(id) = self.voters.iter().find(|id| self.is_superseded(id) && self.is_removable(id)) {
            next.remove(id);
        } else if let Some((id, _)) = self.leader.peers.iter().find(|(id, p)| self.is_ready_to_vote(id, p)) {
            next.insert(*id);
        } else if let Some(id) = self.voters.iter().find(|id| self.is_removable(id)) {
            next.remove(id);
        }
        (next != *self.voters && self.has_live_majority(&next)).then_some(next)
    }

    /// Whether nothing was heard of a member for this long. The leader itself is never silent.
    fn is_silent(&self, id: &NodeId, span: Millis) -> bool {
        let heard_at = |progress: &Progress| progress.heard_at;
        let last = self.leader.peers.get(id).map(heard_at);
        *id != self.leader_id && last.is_none_or(|at| self.now >= at + span)
    }

    /// Whether the member's machine has announced itself with another disk.
    fn is_superseded(&self, id: &NodeId) -> bool {
        self.leader.current_disks.get(&id.ip).is_some_and(|disk| *disk != id.disk)
    }

    fn is_departing(&self, id: &NodeId) -> bool {
        self.departing.get(id).is_some_and(|until| self.now < *until)
    }

    fn is_removable(&self, id: &NodeId) -> bool {
        if self.is_superseded(id) && self.is_silent(id, self.config.election_timeout) {
            return true;
        }
        // With two voters, one that departs can be removed, and the other continues alone. One that is only
        // silent may be cut off, and then both would continue as separate clusters.
        let leaves_enough =
            self.voters.len() > self.config.min_voters || self.voters.len() == 2 && self.is_departing(id);
        leaves_enough && (self.is_silent(id, self.config.voter_removal_timeout) || self.is_departing(id))
    }

    fn is_ready_to_vote(&self, id: &NodeId, progress: &Progress) -> bool {
        let has_voting_disk = self.voters.iter().any(|voter| voter.ip == id.ip);
        !has_voting_disk
            && !self.is_departing(id)
            && progress.match_index >= self.commit_index
            && !self.is_silent(id, self.config.election_timeout)
            && !self.is_superseded(id)
    }

    /// Whether the members that are heard now are a majority of these voters: a change must not stop the
    /// cluster.
    fn has_live_majority(&self, voters: &VoterSet) -> bool {
        let live = voters.iter().filter(|id| !self.is_silent(id, self.config.election_timeout));
        is_majority(live.count(), voters.len())
    }
}
