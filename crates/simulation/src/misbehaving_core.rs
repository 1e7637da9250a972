//! Deliberate protocol violations of core nodes, which the auditor and the history check must detect: a node responds from
//! its own state without contacting the others.

use crate::{ControlCall, World};
use whinstall_gateway::configuration::state::ChangeOutcome;
use whinstall_gateway::configuration::ConfigChange;
use whinstall_gateway::control_plane::ApiCommand;

/// A protocol violation of the core nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Misbehaviour {
    /// The leader, or a former leader that is isolated, answers reads from its own state.
    LeaderReads,
    /// A follower answers reads from its own state.
    FollowerReads,
    /// The leader, or a former leader that is isolated, rejects changes by its own state.
    LeaderRefuses,
}

impl World {
    /// Answers a call in the plan's misbehaviour; returns `false` if the call must be handled as usual.
    pub fn misbehaving_response(&mut self, n: usize, call: &ControlCall, command: &ApiCommand) -> bool {
        let Some(misbehaviour) = self.plan.misbehaviour else { return false };
        let Some(core) = self.cores[n].core.as_ref() else { return false };
        let now = 1000.0 + (self.now - self.cores[n].booted_at) * self.cores[n].clock_rate;
        let hears = core.raft.leader(core.context.log_time(now)).is_some();
        let led = core.raft.is_leader() || !hears && self.invariants.was_quota_leader(n);
        let state = &core.configuration.state;
        let answer = match (misbehaviour, command) {
            (Misbehaviour::LeaderReads, ApiCommand::Read) if led => Some((200, state.to_json())),
            (Misbehaviour::FollowerReads, ApiCommand::Read) if !core.raft.is_leader() => {
                Some((200, state.to_json()))
            }
            (Misbehaviour::LeaderRefuses, ApiCommand::Amend(items)) if led => {
                match state.clone().apply(core.configuration.applied + 1, &ConfigChange::new(items.clone())) {
                    ChangeOutcome::Conflict(_) => Some((409, serde_json::json!({}))),
                    ChangeOutcome::Invalid(_) => Some((400, serde_json::json!({}))),
                    _ => None,
                }
            }
            _ => None,
        };
        let Some((status, body)) = answer else { return false };
        self.core_responded(n, call.id, status, &body);
        true
    }
}
