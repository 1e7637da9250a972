//! HTTP calls of workers and operators. Configuration calls go through the replicated log and worker calls through the
//! worker membership; the event journal and the status report come from this node's own state.

use super::{CallId, CoreNode, Effect};
use crate::configuration::ConfigChange;
use crate::control_plane::events::ApiCommand;
use crate::discovery::{Worker, WorkerPhase};
use crate::protocol::OperatorRequest;
use serde_json::{json, Value};

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
                let request = OperatorRequest::Amend(ConfigChange::new(items));
                self.handle_operator_request(now, call, request, out);
            }
            ApiCommand::InvalidChange(reason) => {
                self.handle_operator_request(now, call, OperatorRequest::Reject(reason), out);
            }
            ApiCommand::Read => self.handle_operator_request(now, call, OperatorRequest::Read, out),
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
            ApiCommand::Heartbeat(worker) => self.handle_heartbeat(now, call, worker, out),
            ApiCommand::Departure(id) => self.handle_departure(now, call, &id, out),
        }
    }

    fn handle_operator_request(
        &mut self,
        now: f64,
        call: CallId,
        request: OperatorRequest,
        out: &mut Vec<Effect>,
    ) {
        self.configuration.handle_call(call, request, &mut self.raft, &mut self.context, out);
        self.process_raft_outputs(now, out);
    }

    /// Handles a heartbeat. The response to a worker that shuts down is sent only once enough core nodes hold its
    /// announcement; any other worker gets its response at once.
    fn handle_heartbeat(&mut self, now: f64, call: CallId, worker: Worker, out: &mut Vec<Effect>) {
        let is_shutting_down = worker.phase != WorkerPhase::Serving;
        self.merge_reported_worker(now, worker.clone(), out);
        self.membership.record_heartbeat(&worker);
        if is_shutting_down {
            self.membership.replicate_shutdown(now, call, worker, &mut self.context, out);
        } else {
            out.push(Effect::Respond(call, 200, json!({})));
        }
    }

    fn handle_departure(&mut self, now: f64, call: CallId, id: &str, out: &mut Vec<Effect>) {
        let Some(worker) = self.membership.departure_of(id) else {
            return out.push(self.respond_to_unknown_departure(now, call));
        };
        self.merge_reported_worker(now, worker.clone(), out);
        self.membership.replicate_shutdown(now, call, worker, &mut self.context, out);
    }

    /// Returns the response to the departure of a worker that is not in the registry. Only a node that knows every live
    /// worker acknowledges it; on any other node the worker may be missing from the registry although it is live.
    fn respond_to_unknown_departure(&self, now: f64, call: CallId) -> Effect {
        if self.context.voters.len() > 1 && !self.membership.is_complete(now) {
            return Effect::Respond(call, 503, error_body("this core node may not know every worker yet"));
        }
        Effect::Respond(call, 200, json!({}))
    }
}

#[cfg(test)]
#[path = "api_calls_tests.rs"]
mod tests;
