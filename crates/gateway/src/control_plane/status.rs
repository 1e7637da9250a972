//! Owns what operators are told of the core: who is of it, who leads, how far each is, who is out and why, what is being
//! repaired and since when. It must never decide anything.

use super::replicated_log::{tuning, ELECTION};
use super::CoreNode;
use crate::consensus::{Index, Millis, NodeId};
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

type Peer = (NodeId, bool, Index, Millis);

impl CoreNode {
    /// Notices how the others stand; the log is told what has changed.
    pub(super) fn note_standings(&mut self, now: f64) {
        let peers = self.raft.peers(self.shared.ms(now));
        self.standings.0.retain(|id, _| peers.iter().any(|p| p.0 == *id));
        for peer in &peers {
            let (id, votes, _, silent) = *peer;
            let standing = MemberState::of(votes, silent);
            let was = self.standings.0.get(&id).map(|s| s.0);
            if was == Some(standing) {
                continue;
            }
            let since = if standing == MemberState::Out { now - silent as f64 / 1e3 } else { now };
            self.standings.0.insert(id, (standing, since));
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
    fn why_out(&self, id: &NodeId, peers: &[Peer]) -> String {
        let other = peers.iter().find(|p| p.0.ip == id.ip && p.0.disk != id.disk && p.3 <= ELECTION);
        match other {
            Some((now, ..)) => format!("its machine is there with another disk, {:x}", now.disk),
            None if self.connected.contains(&id.ip) => {
                "its machine is connected, but says nothing of the log: it has another disk, or stands still"
                    .into()
            }
            None => "no connection: the machine or its process is down, or the network between is cut".into(),
        }
    }

    /// What goes on for a machine that does not take part.
    fn repair(&self, standing: MemberState) -> Option<String> {
        let tuning = tuning(&self.shared.settings);
        match standing {
            MemberState::Out if self.raft.members().len() > tuning.least => {
                Some(format!("is taken out of the members once it is silent for {} ms", tuning.out_after))
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
        let zone = self.shared.known.get(&ip).map(|m| m.zone.clone()).unwrap_or_default();
        json!({
            "node_name": self.node_name(ip),
            "address": ip.to_string(),
            "disk": format!("{:x}", id.disk),
            "zone_name": zone,
        })
    }

    /// The name of a core machine, if it has said so here.
    fn node_name(&self, ip: IpAddr) -> Option<&str> {
        if ip == self.shared.me.ip {
            return Some(&self.shared.settings.node);
        }
        // The newest connection from there.
        let callers = self.callers.values().rev().find(|c| c.core_ip == Some(ip));
        callers.map(|c| c.node.as_str())
    }

    /// Members, leader, term, applied, lag, who is out, what is repaired: for operators.
    pub fn status(&self, now: f64) -> Value {
        let ms = self.shared.ms(now);
        let (members, leader, me) = (self.raft.members(), self.raft.leader(ms), self.raft.me());
        let peers = self.raft.peers(ms);
        let member = |id: &NodeId| {
            let mut told = self.name(id);
            let heard = self.shared.heard.get(&id.ip).map(|at| ((now - at) * 1e3) as u64);
            told["heard_ms"] = json!(if *id == me { Some(0) } else { heard });
            told["connected"] = json!(*id == me || self.connected.contains(&id.ip));
            told["leads"] = json!(Some(*id) == leader);
            told
        };
        let other = |peer: &Peer| {
            let (id, votes, matched, silent) = *peer;
            let (standing, mut told) = (MemberState::of(votes, silent), self.name(&id));
            let seen = self.standings.0.get(&id).filter(|s| s.0 == standing);
            told["votes"] = json!(votes);
            told["lag_entries"] = json!(self.raft.last().saturating_sub(matched));
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
        let whole = peers.iter().all(|p| MemberState::of(p.1, p.3) != MemberState::Out)
            && !peers.iter().any(|p| MemberState::of(p.1, p.3) == MemberState::CatchingUp);
        let role = match (self.raft.leads(), members.contains(&me)) {
            (true, _) => "leader",
            (false, true) => "follower",
            (false, false) => "learner",
        };
        let (entries, base) = self.raft.held();
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
            "whole": self.raft.leads().then_some(whole),
            "committed": self.raft.commit(),
            "applied": self.keeper.applied,
            "last": self.raft.last(),
            "configuration_index": self.keeper.state.index(),
            "log_entries": entries,
            "snapshot_index": base,
            "snapshot_bytes": self.snapshot_bytes(),
            "calls_waiting": self.keeper.waiting(),
            "disk_hangs": self.raft.hangs(ms),
            "gatekeepers": self.gates.count(),
            "workers_settled": self.roster.is_complete(now),
        })
    }
}
