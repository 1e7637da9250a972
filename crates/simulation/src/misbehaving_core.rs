//! Faults put into core nodes on purpose, to show that the auditor and the history check detect them: a node that responds
//! by its own state without asking the others.

use crate::{ControlCall, World};
use whinstall_gateway::configuration::state::ChangeOutcome;
use whinstall_gateway::configuration::ConfigChange;
use whinstall_gateway::control_plane::ApiCommand;

/// What is wrong with the core nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Misbehaviour {
    /// One that leads, or led last before it was cut off, answers reads by what it holds.
    LeaderReads,
    /// One that follows does.
    FollowerReads,
    /// One that leads, or led last before it was cut off, refuses orders by what it holds.
    LeaderRefuses,
}

impl World {
    /// Answers a call as the spoiled machine would; `false`: it goes on as usual.
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
