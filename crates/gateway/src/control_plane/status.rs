//! Owns what operators are told of the core: who is of it, who leads, how far each is, who is out and why, what is being
//! repaired and since when. It must never decide anything.

use super::replicated_log::{tuning, ELECTION};
use super::CoreNode;
use crate::consensus::{Millis, NodeId, PeerStatus};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// How the leader sees another machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MemberState {
    /// Takes part.
    Votes,
    /// Votes, but was not heard.
    Out,
    /// Copies, and does not vote yet.
    CatchingUp,
    /// Was a member, or wanted to be one.
    Gone,
}

impl MemberState {
    fn of(votes: bool, silent: Millis) -> Self {
        match (votes, silent > ELECTION) {
            (true, false) => MemberState::Votes,
            (true, true) => MemberState::Out,
            (false, false) => MemberState::CatchingUp,
            (false, true) => MemberState::Gone,
        }
    }

    fn word(self) -> &'static str {
        match self {
            MemberState::Votes => "votes",
            MemberState::Out => "out",
            MemberState::CatchingUp => "catching up",
            MemberState::Gone => "gone",
        }
    }
}

/// Since when each other machine stands as it does, as this leader saw it.
#[derive(Default)]
pub(super) struct MemberStates(BTreeMap<NodeId, (MemberState, f64)>);

impl CoreNode {
    /// Notices how the others stand; the log is told what has changed.
    pub(super) fn note_standings(&mut self, now: f64) {
        let peers = self.raft.peer_statuses(self.context.log_time(now));
        self.member_states.0.retain(|id, _| peers.iter().any(|p| p.id == *id));
        for peer in &peers {
            let PeerStatus { id, is_voter: votes, silent_for: silent, .. } = *peer;
            let standing = MemberState::of(votes, silent);
            let was = self.member_states.0.get(&id).map(|s| s.0);
            if was == Some(standing) {
                continue;
            }
            let since = if standing == MemberState::Out { now - silent as f64 / 1e3 } else { now };
            self.member_states.0.insert(id, (standing, since));
            let member = format!("{}/{:x}", id.ip, id.disk);
            match (was, standing) {
                (_, MemberState::Out) => {
                    tracing::warn!(member, why = self.why_out(&id, &peers), "a member is out");
                }
                (Some(MemberState::Out), MemberState::Votes) => tracing::info!(member, "a member is back"),
                (Some(MemberState::CatchingUp), MemberState::Votes) => {
                    tracing::info!(member, "a machine has caught up and votes");
                }
                (_, MemberState::CatchingUp) => tracing::info!(member, "a machine catches up"),
                _ => {}
            }
        }
    }

    /// Why a member is not heard, as far as this machine can tell.
    fn why_out(&self, id: &NodeId, peers: &[PeerStatus]) -> String {
        let other =
            peers.iter().find(|p| p.id.ip == id.ip && p.id.disk != id.disk && p.silent_for <= ELECTION);
        match other {
            Some(now) => format!("its machine is there with another disk, {:x}", now.id.disk),
            None if self.connected_peers.contains(&id.ip) => {
                "its machine is connected, but says nothing of the log: it has another disk, or stands still"
                    .into()
            }
            None => "no connection: the machine or its process is down, or the network between is cut".into(),
        }
    }

    /// What goes on for a machine that does not take part.
    fn repair(&self, standing: MemberState) -> Option<String> {
        let tuning = tuning(&self.context.settings);
        match standing {
            MemberState::Out if self.raft.voters().len() > tuning.min_voters => {
                Some(format!("is taken out of the members once it is silent for {} ms", tuning.voter_removal_timeout))
            }
            MemberState::Out => Some(
                "stays a member until it is back, or its machine with an empty disk or a successor has caught up"
                    .into(),
            ),
            MemberState::CatchingUp => Some("copies the log, then votes".into()),
            MemberState::Votes | MemberState::Gone => None,
        }
    }

    fn name(&self, id: &NodeId) -> Value {
        let ip = id.ip;
        let zone = self.context.known_nodes.get(&ip).map(|m| m.zone.clone()).unwrap_or_default();
        json!({
            "node_name": self.node_name(ip),
            "address": ip.to_string(),
            "disk": format!("{:x}", id.disk),
            "zone_name": zone,
        })
    }

    /// The name of a core machine, if it has said so here.
    fn node_name(&self, ip: IpAddr) -> Option<&str> {
        if ip == self.context.me.ip {
            return Some(&self.context.settings.node);
        }
        // The newest connection from there.
        let callers = self.sessions.values().rev().find(|c| c.member == Some(ip));
        callers.map(|c| c.node.as_str())
    }

    /// Members, leader, term, applied, lag, who is out, what is repaired: for operators.
    pub fn status(&self, now: f64) -> Value {
        let ms = self.context.log_time(now);
        let (members, leader, me) = (self.raft.voters(), self.raft.leader(ms), self.raft.id());
        let peers = self.raft.peer_statuses(ms);
        let member = |id: &NodeId| {
            let mut told = self.name(id);
            let heard = self.context.last_heard.get(&id.ip).map(|at| ((now - at) * 1e3) as u64);
            told["heard_ms"] = json!(if *id == me { Some(0) } else { heard });
            told["connected"] = json!(*id == me || self.connected_peers.contains(&id.ip));
            told["leads"] = json!(Some(*id) == leader);
            told
        };
        let other = |peer: &PeerStatus| {
            let PeerStatus { id, is_voter: votes, match_index: matched, silent_for: silent } = *peer;
            let (standing, mut told) = (MemberState::of(votes, silent), self.name(&id));
            let seen = self.member_states.0.get(&id).filter(|s| s.0 == standing);
            told["votes"] = json!(votes);
            told["lag_entries"] = json!(self.raft.last_index().saturating_sub(matched));
            told["silent_ms"] = json!(silent);
            told["state"] = json!(standing.word());
            told["since_s"] = json!(seen.map(|s| ((now - s.1) * 10.0).round() / 10.0));
            if standing == MemberState::Out {
                told["why"] = json!(self.why_out(&id, &peers));
            }
            if let Some(repair) = self.repair(standing) {
                told["repair"] = json!(repair);
            }
            told
        };
        let whole = peers.iter().all(|p| MemberState::of(p.is_voter, p.silent_for) != MemberState::Out)
            && !peers.iter().any(|p| MemberState::of(p.is_voter, p.silent_for) == MemberState::CatchingUp);
        let role = match (self.raft.is_leader(), members.contains(&me)) {
            (true, _) => "leader",
            (false, true) => "follower",
            (false, false) => "learner",
        };
        json!({
            "me": self.name(&me),
            "role": role,
            "term": self.raft.term(),
            "leader": leader.map(|id| self.name(&id)),
            "attached": self.raft.is_attached(ms),
            "holds_counter": self.raft.holds_lease(ms),
            "members": members.iter().map(member).collect::<Vec<_>>(),
            "others": peers.iter().map(other).collect::<Vec<_>>(),
            // Only the leader knows.
            "whole": self.raft.is_leader().then_some(whole),
            "committed": self.raft.commit_index(),
            "applied": self.configuration.applied,
            "last": self.raft.last_index(),
            "configuration_index": self.configuration.state.last_change_index(),
            "log_entries": self.raft.entry_count(),
            "snapshot_index": self.raft.snapshot_index(),
            "snapshot_bytes": self.snapshot_bytes(),
            "calls_waiting": self.configuration.waiting(),
            "disk_hangs": self.raft.is_disk_stalled(ms),
            "gatekeepers": self.edges.count(),
            "workers_settled": self.membership.settled(now),
        })
    }
}
