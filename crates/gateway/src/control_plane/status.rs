//! The status report for `GET /whinstall/core`: the cluster as this node sees it. The report lists the members, the
//! leader, the replication progress of each member, which members are unreachable and why, and what the leader does
//! about them. This module also logs each change of a member's state.
//!
//! The report is for operators only; no decision of the system depends on it.

use super::replicated_log::{member_name, raft_config, ELECTION_TIMEOUT_MS};
use super::CoreNode;
use crate::consensus::{NodeId, PeerStatus};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter};
use std::net::IpAddr;

/// State of another member as the leader sees it. The texts of `Display` are part of the operators' interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MemberState {
    /// A voter that was heard within the election timeout.
    Voting,
    /// A voter that was not heard for longer than the election timeout.
    Unreachable,
    /// A learner: a member that receives the log and does not vote yet.
    CatchingUp,
    /// Neither a voter nor heard within the election timeout: a former member, or a node that asked to join.
    Gone,
}

impl MemberState {
    fn of(peer: &PeerStatus) -> Self {
        match (peer.is_voter, is_unresponsive(peer)) {
            (true, false) => MemberState::Voting,
            (true, true) => MemberState::Unreachable,
            (false, false) => MemberState::CatchingUp,
            (false, true) => MemberState::Gone,
        }
    }
}

impl Display for MemberState {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            MemberState::Voting => "votes",
            MemberState::Unreachable => "out",
            MemberState::CatchingUp => "catching up",
            MemberState::Gone => "gone",
        })
    }
}

/// State of a member, with the time of its last change.
struct ObservedState {
    state: MemberState,
    /// Time since which the member is in this state, in seconds of the event clock.
    since: f64,
}

/// States of the other members as the leader last observed them; empty on other nodes.
#[derive(Default)]
pub(super) struct MemberStates(BTreeMap<NodeId, ObservedState>);

/// Whether the leader has not heard from this member for longer than the election timeout.
fn is_unresponsive(peer: &PeerStatus) -> bool {
    peer.silent_for > ELECTION_TIMEOUT_MS
}

impl CoreNode {
    /// Status of the other members; empty unless this node is the leader.
    fn peers(&self, now: f64) -> Vec<PeerStatus> {
        self.raft.peer_statuses(self.context.log_time(now))
    }

    /// Updates the observed states of the other members, and logs the changes.
    pub(super) fn track_member_states(&mut self, now: f64) {
        let peers = self.peers(now);
        self.member_states.0.retain(|id, _| peers.iter().any(|peer| peer.id == *id));
        for peer in &peers {
            let state = MemberState::of(peer);
            let previous = self.member_states.0.get(&peer.id).map(|observed| observed.state);
            if previous == Some(state) {
                continue;
            }
            let is_unreachable = state == MemberState::Unreachable;
            let since = if is_unreachable { now - peer.silent_for as f64 / 1e3 } else { now };
            self.member_states.0.insert(peer.id, ObservedState { state, since });
            self.log_state_change(peer, previous, state, &peers);
        }
    }

    fn log_state_change(
        &self,
        peer: &PeerStatus,
        previous: Option<MemberState>,
        state: MemberState,
        peers: &[PeerStatus],
    ) {
        let member = member_name(&peer.id);
        match (previous, state) {
            (_, MemberState::Unreachable) => {
                tracing::warn!(member, why = self.unreachable_reason(&peer.id, peers), "member unreachable");
            }
            (Some(MemberState::Unreachable), MemberState::Voting) => {
                tracing::info!(member, "member reachable again");
            }
            (Some(MemberState::CatchingUp), MemberState::Voting) => {
                tracing::info!(member, "learner became a voter");
            }
            (_, MemberState::CatchingUp) => tracing::info!(member, "learner is catching up"),
            _ => {}
        }
    }

    /// Probable reason why a member is unreachable, as far as this node can tell.
    fn unreachable_reason(&self, id: &NodeId, peers: &[PeerStatus]) -> String {
        let successor = peers
            .iter()
            .find(|peer| peer.id.ip == id.ip && peer.id.disk != id.disk && !is_unresponsive(peer));
        match successor {
            Some(peer) => format!("its machine is there with another disk, {:x}", peer.id.disk),
            None if self.connected_peers.contains(&id.ip) => {
                "its machine is connected, but says nothing of the log: it has another disk, or stands still"
                    .into()
            }
            None => "no connection: the machine or its process is down, or the network between is cut".into(),
        }
    }

    /// What the leader does about a member that is unreachable or catching up.
    fn repair_text(&self, state: MemberState) -> Option<String> {
        let config = raft_config(&self.context.settings);
        match state {
            MemberState::Unreachable if self.raft.voters().len() > config.min_voters => {
                Some(format!("is taken out of the members once it is silent for {} ms", config.voter_removal_timeout))
            }
            MemberState::Unreachable => Some(
                "stays a member until it is back, or its machine with an empty disk or a successor has caught up"
                    .into(),
            ),
            MemberState::CatchingUp => Some("copies the log, then votes".into()),
            MemberState::Voting | MemberState::Gone => None,
        }
    }

    fn identity_json(&self, id: &NodeId) -> Value {
        let zone = self.context.known_nodes.get(&id.ip).map(|node| node.zone.clone()).unwrap_or_default();
        json!({
            "node_name": self.node_name(id.ip),
            "address": id.ip.to_string(),
            "disk": format!("{:x}", id.disk),
            "zone_name": zone,
        })
    }

    /// Name of a core node, from the newest session of its address; `None` if there is no session.
    fn node_name(&self, ip: IpAddr) -> Option<&str> {
        if ip == self.context.me.ip {
            return Some(&self.context.settings.node);
        }
        let newest = self.sessions.values().rev().find(|session| session.core_ip == Some(ip));
        newest.map(|session| session.node.as_str())
    }

    /// A member's identity and this node's contact with it.
    fn member_json(&self, now: f64, id: &NodeId, leader: Option<NodeId>) -> Value {
        let is_me = *id == self.raft.id();
        let heard_ms = match is_me {
            true => Some(0),
            false => self.context.last_heard.get(&id.ip).map(|at| ((now - at) * 1e3) as u64),
        };
        let mut rendered = self.identity_json(id);
        rendered["heard_ms"] = json!(heard_ms);
        rendered["connected"] = json!(is_me || self.connected_peers.contains(&id.ip));
        rendered["leads"] = json!(Some(*id) == leader);
        rendered
    }

    /// A member's replication progress as the leader knows it.
    fn progress_json(&self, now: f64, peer: &PeerStatus, peers: &[PeerStatus]) -> Value {
        let state = MemberState::of(peer);
        let observed = self.member_states.0.get(&peer.id).filter(|observed| observed.state == state);
        let mut rendered = self.identity_json(&peer.id);
        rendered["votes"] = json!(peer.is_voter);
        rendered["lag_entries"] = json!(self.raft.last_index().saturating_sub(peer.match_index));
        rendered["silent_ms"] = json!(peer.silent_for);
        rendered["state"] = json!(state.to_string());
        // Rounded to tenths of a second.
        rendered["since_s"] = json!(observed.map(|o| ((now - o.since) * 10.0).round() / 10.0));
        if state == MemberState::Unreachable {
            rendered["why"] = json!(self.unreachable_reason(&peer.id, peers));
        }
        if let Some(repair) = self.repair_text(state) {
            rendered["repair"] = json!(repair);
        }
        rendered
    }

    /// The body of the response to `GET /whinstall/core`. The fields are described in docs/system-operators.md.
    pub fn status(&self, now: f64) -> Value {
        let log_time = self.context.log_time(now);
        let (members, leader, me) = (self.raft.voters(), self.raft.leader(log_time), self.raft.id());
        let peers = self.peers(now);
        let is_complete = peers
            .iter()
            .map(MemberState::of)
            .all(|state| !matches!(state, MemberState::Unreachable | MemberState::CatchingUp));
        let role = match (self.raft.is_leader(), members.contains(&me)) {
            (true, _) => "leader",
            (false, true) => "follower",
            (false, false) => "learner",
        };
        let (log_entries, snapshot_index) = (self.raft.entry_count(), self.raft.snapshot_index());
        json!({
            "me": self.identity_json(&me),
            "role": role,
            "term": self.raft.term(),
            "leader": leader.map(|id| self.identity_json(&id)),
            "attached": self.raft.has_current_state(log_time),
            "holds_counter": self.raft.holds_lease(log_time),
            "members": members.iter().map(|id| self.member_json(now, id, leader)).collect::<Vec<_>>(),
            "others": peers.iter().map(|peer| self.progress_json(now, peer, &peers)).collect::<Vec<_>>(),
            // Known on the leader only.
            "whole": self.raft.is_leader().then_some(is_complete),
            "committed": self.raft.commit_index(),
            "applied": self.configuration.applied,
            "last": self.raft.last_index(),
            "configuration_index": self.configuration.state.last_change_index(),
            "log_entries": log_entries,
            "snapshot_index": snapshot_index,
            "snapshot_bytes": self.log_driver.snapshot_bytes(),
            "calls_waiting": self.configuration.waiting_calls(),
            "disk_hangs": self.raft.is_disk_stalled(log_time),
            "gatekeepers": self.edges.count(),
            "workers_settled": self.membership.is_complete(now),
        })
    }
}
