//! HTTP calls of workers and operators. Configuration calls and shutdown announcements go through the replicated log and
//! heartbeats through the worker membership; the event journal and the status report come from this node's own state.

use super::{CallId, CoreNode, Effect};
use crate::configuration::ConfigChange;
use crate::control_plane::events::ApiCommand;
use crate::discovery::{ShutdownAnnouncement, ShutdownPhase, Worker, WorkerPhase};
use crate::protocol::{LeaderRequest, SHUTDOWN_RECORD_VERSION};
use serde_json::{json, Value};
use std::sync::Arc;

/// JSON body of a response that reports a failure.
pub fn error_body(text: impl ToString) -> Value {
    json!({ "fault": text.to_string() })
}

impl CoreNode {
    pub(super) fn handle_api_call(
        &mut self,
        now: f64,
        call: CallId,
        command: ApiCommand,
        out: &mut Vec<Effect>,
    ) {
        match command {
            ApiCommand::Amend(items) => {
                let request = LeaderRequest::Amend(ConfigChange::new(items));
                self.submit_to_leader(now, call, request, out);
            }
            ApiCommand::InvalidChange(reason) => {
                self.submit_to_leader(now, call, LeaderRequest::Reject(reason), out);
            }
            ApiCommand::Read => self.submit_to_leader(now, call, LeaderRequest::Read, out),
            ApiCommand::Journal => out.push(Effect::Respond(call, 200, self.context.journal.render(now))),
            ApiCommand::Status => out.push(Effect::Respond(call, 200, self.status(now))),
            // Without a majority this node's view may be outdated, so the caller has to retry at another core node.
            ApiCommand::Heartbeat(_) | ApiCommand::Departure(_) | ApiCommand::Malformed(_)
                if !self.context.has_majority(now) =>
            {
                out.push(Effect::Respond(
                    call,
                    503,
                    error_body("not in contact with a majority of the core"),
                ));
            }
            ApiCommand::Malformed(reason) => out.push(Effect::Respond(call, 400, error_body(reason))),
            ApiCommand::Heartbeat(_) if !self.has_caught_up(now) => {
                let reason = "this core node has not caught up since its start";
                out.push(Effect::Respond(call, 503, error_body(reason)));
            }
            ApiCommand::Heartbeat(worker) => self.handle_heartbeat(now, call, worker, out),
            ApiCommand::Departure(id) => self.handle_departure(now, call, &id, out),
        }
    }

    fn submit_to_leader(&mut self, now: f64, call: CallId, request: LeaderRequest, out: &mut Vec<Effect>) {
        self.configuration.handle_call(call, request, &mut self.raft, &mut self.context, out);
        self.process_raft_outputs(now, out);
    }

    /// Handles a heartbeat. The response to a worker that drains is sent only once its announcement is replicated; any
    /// other worker gets its response at once.
    fn handle_heartbeat(&mut self, now: f64, call: CallId, worker: Worker, out: &mut Vec<Effect>) {
        let (worker_id, reported_phase) = (Arc::clone(&worker.id), worker.phase);
        self.membership.record_heartbeat(&worker);
        self.merge_reported_worker(now, worker, out);
        if reported_phase == WorkerPhase::Serving {
            return out.push(Effect::Respond(call, 200, json!({})));
        }
        self.announce_shutdown(
            now,
            call,
            ShutdownAnnouncement { worker_id, phase: ShutdownPhase::Draining },
            out,
        );
    }

    /// Handles a departure. A worker that is registered here gets no more requests from now on. The announcement is
    /// replicated also for an unknown worker: its first heartbeat may still be on its way, or have reached another core
    /// node only.
    fn handle_departure(&mut self, now: f64, call: CallId, id: &str, out: &mut Vec<Effect>) {
        if let Some(worker) = self.membership.departure_of(id) {
            self.merge_reported_worker(now, worker, out);
        }
        let announcement = ShutdownAnnouncement { worker_id: id.into(), phase: ShutdownPhase::Departed };
        self.announce_shutdown(now, call, announcement, out);
    }

    /// Replicates a worker's announcement, and responds to the call once it is committed and synced. Core nodes of
    /// earlier releases can't store it; while one of them is there, nothing is acknowledged, and the worker retries.
    fn announce_shutdown(
        &mut self,
        now: f64,
        call: CallId,
        announcement: ShutdownAnnouncement,
        out: &mut Vec<Effect>,
    ) {
        if self.context.has_release_before(SHUTDOWN_RECORD_VERSION) {
            let reason = error_body("a core node of an earlier release can't record shutdowns");
            return out.push(Effect::Respond(call, 503, reason));
        }
        self.submit_to_leader(now, call, LeaderRequest::AnnounceShutdown(announcement), out);
    }
}

#[cfg(test)]
#[path = "api_calls_tests.rs"]
mod tests;
