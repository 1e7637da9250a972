//! Operators' calls on their way through the replicated log, and the configuration that is applied at this node.
//!
//! A call at a follower is forwarded to the leader. The leader proposes a change as a log entry; every member judges
//! the committed entry alike, so a change is accepted or rejected by its position in the log and by nothing else. The
//! leader acknowledges an accepted change only once enough disks hold it to survive the tolerated losses, which may be
//! more than a majority. Reads and rejections need no entry, but a majority that confirms the leader after the call
//! came (the Raft paper, section 8): a deposed leader would answer from stale state.
//!
//! A call that is not decided within `CALL_TIMEOUT_SECS` gets 503: it may or may not take effect.

use super::{error_body, CallId, ConnectionId, CoreContext, Effect};
use crate::configuration::state::ChangeOutcome;
use crate::configuration::{ConfigChange, ConfigItem, ConfigState};
use crate::consensus::{Index, LogPosition, NodeId, Raft, Term};
use crate::control_plane::event_journal::JournalEvent;
use crate::protocol::{LogCommand, OperatorRequest, OperatorResponse, PeerMessage};
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter};
use std::net::IpAddr;
use std::sync::Arc;

/// Seconds after which an undecided call is answered with 503, so that its caller can try another node in time.
const CALL_TIMEOUT_SECS: f64 = 0.85;

/// What a call waits for. The texts are part of the operators' interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitStage {
    /// A majority to commit its entry.
    Commit,
    /// Enough synced copies of its entry to survive the tolerated losses.
    SyncedCopies,
    /// A majority to confirm the leader.
    QuorumContact,
    /// The response of the leader that it was forwarded to.
    LeaderResponse,
    /// This node to apply what the leader had committed at the time of the read.
    LocalApply,
}

impl Display for WaitStage {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            WaitStage::Commit => "commit",
            WaitStage::SyncedCopies => "synced copies",
            WaitStage::QuorumContact => "contact with most",
            WaitStage::LeaderResponse => "the leader",
            WaitStage::LocalApply => "catching up",
        })
    }
}

/// Where a call came from, and so where its response goes.
#[derive(Clone, Copy, Debug)]
enum CallOrigin {
    /// A call at this node.
    Local(CallId),
    /// A call that another core node forwarded here.
    Forwarded { conn: ConnectionId, request_id: u64 },
}

/// A change whose entry is in the log but not committed.
struct ProposedChange {
    /// The term of its entry; another term at the same index means that the entry was overwritten.
    term: Term,
    origin: CallOrigin,
    deadline: f64,
}

/// An accepted change that too few disks are known to hold.
struct UnreplicatedChange {
    index: Index,
    origin: CallOrigin,
    deadline: f64,
}

/// A read or a rejection that waits for a majority to confirm the leader.
struct PendingRead {
    origin: CallOrigin,
    /// The reason, if the call is to be rejected.
    rejection: Option<String>,
    deadline: f64,
}

/// A call at this node that was forwarded to the leader.
struct ForwardedCall {
    call: CallId,
    deadline: f64,
}

/// A read at this node that waits until the entry at `index` is applied here.
struct LaggingRead {
    index: Index,
    call: CallId,
    deadline: f64,
}

/// A committed change that changed something.
pub struct AppliedChange {
    /// Index of the entry that changed the configuration before.
    pub previous: Index,
    /// The items as they are now.
    pub items: Vec<Arc<ConfigItem>>,
}

/// The configuration at this node, and the calls that wait for the log. Times are seconds of the event clock.
#[derive(Default)]
pub struct ConfigurationService {
    /// The applied configuration.
    pub state: ConfigState,
    /// By the index of their entries.
    proposed: BTreeMap<Index, ProposedChange>,
    unreplicated: Vec<UnreplicatedChange>,
    /// By the log's number of the read.
    pending_reads: BTreeMap<u64, PendingRead>,
    /// By request id.
    forwarded: BTreeMap<u64, ForwardedCall>,
    lagging_reads: Vec<LaggingRead>,
    /// Index of the last applied entry.
    pub applied: Index,
}

impl ConfigurationService {
    /// Starts with the configuration as of the entry `applied`.
    pub fn new(state: ConfigState, applied: Index) -> Self {
        ConfigurationService { state, applied, ..ConfigurationService::default() }
    }

    /// An operator's call at this node: submitted here if this node leads, else forwarded to a reachable leader.
    /// Without one the caller gets 503 at once.
    pub fn handle_call(
        &mut self,
        call: CallId,
        request: OperatorRequest,
        raft: &mut Raft<LogCommand>,
        context: &mut CoreContext,
        out: &mut Vec<Effect>,
    ) {
        if raft.is_leader() {
            return self.submit(CallOrigin::Local(call), request, raft, context, out);
        }
        let now = context.now;
        let leader = raft.leader(context.log_time(now)).map(|id| id.ip);
        let Some(leader) = leader.filter(|ip| context.is_reachable(now, ip)) else {
            // Partitioned off, or between two leaders: the caller tries another node.
            return out.push(Effect::Respond(call, 503, error_body("no leader is in touch")));
        };
        let request_id = context.next_id();
        self.forwarded.insert(request_id, ForwardedCall { call, deadline: now + CALL_TIMEOUT_SECS });
        out.push(Effect::SendToPeer(leader, PeerMessage::ForwardRequest { request_id, request }));
    }

    /// A call that another core node forwards to this one as the leader.
    pub fn handle_forwarded(
        &mut self,
        conn: ConnectionId,
        request_id: u64,
        request: OperatorRequest,
        raft: &mut Raft<LogCommand>,
        context: &mut CoreContext,
        out: &mut Vec<Effect>,
    ) {
        self.submit(CallOrigin::Forwarded { conn, request_id }, request, raft, context, out);
    }

    /// Hands a call to the log. If this node doesn't lead (any more) the call is left undetermined.
    fn submit(
        &mut self,
        origin: CallOrigin,
        request: OperatorRequest,
        raft: &mut Raft<LogCommand>,
        context: &mut CoreContext,
        out: &mut Vec<Effect>,
    ) {
        let log_time = context.log_time(context.now);
        let deadline = context.now + CALL_TIMEOUT_SECS;
        let is_submitted = match request {
            OperatorRequest::Amend(change) => {
                let position = raft.propose(log_time, LogCommand::Configure(change));
                if let Some(LogPosition { index, term }) = position {
                    self.proposed.insert(index, ProposedChange { term, origin, deadline });
                }
                position.is_some()
            }
            OperatorRequest::Read => self
                .await_quorum(raft.read_index(log_time), PendingRead { origin, rejection: None, deadline }),
            OperatorRequest::Reject(reason) => {
                let rejection = Some(reason);
                self.await_quorum(raft.read_index(log_time), PendingRead { origin, rejection, deadline })
            }
        };
        if !is_submitted {
            let response = OperatorResponse::Undetermined("no leader here".into());
            self.respond(origin, response, context, out);
        }
    }

    fn await_quorum(&mut self, read: Option<u64>, pending: PendingRead) -> bool {
        if let Some(read) = read {
            self.pending_reads.insert(read, pending);
        }
        read.is_some()
    }

    /// The leader's response to a call that was forwarded to it.
    pub fn handle_forward_response(
        &mut self,
        request_id: u64,
        response: OperatorResponse,
        context: &mut CoreContext,
        out: &mut Vec<Effect>,
    ) {
        if let Some(forwarded) = self.forwarded.remove(&request_id) {
            self.respond(CallOrigin::Local(forwarded.call), response, context, out);
        }
    }

    fn respond(
        &mut self,
        origin: CallOrigin,
        response: OperatorResponse,
        context: &mut CoreContext,
        out: &mut Vec<Effect>,
    ) {
        let call = match origin {
            CallOrigin::Local(call) => call,
            CallOrigin::Forwarded { conn, request_id } => {
                let message = PeerMessage::ForwardResponse { request_id, response };
                return out.push(Effect::SendToSession(conn, message));
            }
        };
        let (status, body) = match response {
            OperatorResponse::Accepted => (200, json!({})),
            OperatorResponse::Rejected(status, reason) => (status, error_body(reason)),
            OperatorResponse::Undetermined(reason) => (503, error_body(reason)),
            OperatorResponse::Read(index) if self.applied >= index => (200, self.state.to_json()),
            OperatorResponse::Read(index) => {
                // The leader was ahead of this node.
                let deadline = context.now + CALL_TIMEOUT_SECS;
                return self.lagging_reads.push(LaggingRead { index, call, deadline });
            }
        };
        out.push(Effect::Respond(call, status, body));
    }

    /// Applies a committed change, and responds if the call waits here. `None`: it was rejected, or changed nothing.
    pub fn apply(
        &mut self,
        position: LogPosition,
        change: &ConfigChange,
        raft: &Raft<LogCommand>,
        context: &mut CoreContext,
        out: &mut Vec<Effect>,
    ) -> Option<AppliedChange> {
        let previous = self.state.last_change_index();
        let outcome = self.state.apply(position.index, change);
        self.applied = position.index;
        let (response, changed) = match outcome {
            ChangeOutcome::Applied(items) => (OperatorResponse::Accepted, items),
            ChangeOutcome::AlreadyApplied => (OperatorResponse::Accepted, Vec::new()),
            ChangeOutcome::Conflict(error) => {
                (OperatorResponse::Rejected(409, error.to_string()), Vec::new())
            }
            ChangeOutcome::Invalid(error) => (OperatorResponse::Rejected(400, error.to_string()), Vec::new()),
            ChangeOutcome::Indeterminate => {
                (OperatorResponse::Undetermined("too old to tell what was taken".into()), Vec::new())
            }
        };
        record_outcome(position.index, &response, &changed, context);
        if let Some(proposed) = self.proposed.remove(&position.index) {
            self.resolve_proposed(position, proposed, response, raft, context, out);
        }
        (!changed.is_empty()).then_some(AppliedChange { previous, items: changed })
    }

    /// The entry at a proposed change's index is committed.
    fn resolve_proposed(
        &mut self,
        position: LogPosition,
        proposed: ProposedChange,
        response: OperatorResponse,
        raft: &Raft<LogCommand>,
        context: &mut CoreContext,
        out: &mut Vec<Effect>,
    ) {
        let ProposedChange { term, origin, deadline } = proposed;
        if term != position.term {
            // Another leader's entry took the place of this one, whose fate is unknown here.
            let response = OperatorResponse::Undetermined("the lead changed".into());
            return self.respond(origin, response, context, out);
        }
        match response {
            OperatorResponse::Accepted => {
                self.unreplicated.push(UnreplicatedChange { index: position.index, origin, deadline });
                self.complete_ready(raft, context, out);
            }
            response => self.respond(origin, response, context, out),
        }
    }

    /// Responds to calls whose wait is over. To be called whenever entries may have been replicated or applied.
    pub fn complete_ready(
        &mut self,
        raft: &Raft<LogCommand>,
        context: &mut CoreContext,
        out: &mut Vec<Effect>,
    ) {
        if !self.unreplicated.is_empty() && raft.is_leader() {
            self.acknowledge_replicated(raft, context, out);
        }
        let applied = self.applied;
        if self.lagging_reads.iter().any(|read| read.index <= applied) {
            let reads = std::mem::take(&mut self.lagging_reads);
            let (ready, lagging): (Vec<_>, Vec<_>) =
                reads.into_iter().partition(|read| read.index <= applied);
            self.lagging_reads = lagging;
            let responses =
                ready.into_iter().map(|read| Effect::Respond(read.call, 200, self.state.to_json()));
            out.extend(responses);
        }
    }

    fn acknowledge_replicated(
        &mut self,
        raft: &Raft<LogCommand>,
        context: &mut CoreContext,
        out: &mut Vec<Effect>,
    ) {
        for change in std::mem::take(&mut self.unreplicated) {
            let holders: Vec<IpAddr> =
                raft.voters_with(change.index).iter().map(|id: &NodeId| id.ip).collect();
            if !context.survives_tolerated_losses(holders.iter()) {
                self.unreplicated.push(change);
                continue;
            }
            let copies = holders.len();
            tracing::info!(index = change.index, copies, "configuration acknowledged");
            context.journal.append(context.now, JournalEvent::Acknowledged { copies });
            self.respond(change.origin, OperatorResponse::Accepted, context, out);
        }
    }

    /// A majority has confirmed the leader since this read was started.
    pub fn complete_read(&mut self, read: u64, context: &mut CoreContext, out: &mut Vec<Effect>) {
        let Some(pending) = self.pending_reads.remove(&read) else { return };
        let response = match pending.rejection {
            Some(reason) => {
                tracing::warn!(why = reason, "invalid configuration call rejected");
                context.journal.append(context.now, JournalEvent::Rejected(reason.clone()));
                OperatorResponse::Rejected(400, reason)
            }
            None => OperatorResponse::Read(self.applied),
        };
        self.respond(pending.origin, response, context, out);
    }

    /// Responds to calls whose deadline has passed: undetermined, since they may still take effect.
    pub fn tick(&mut self, context: &mut CoreContext, out: &mut Vec<Effect>) {
        let now = context.now;
        let mut expired: Vec<(CallOrigin, WaitStage)> = Vec::new();
        let mut is_in_time = |deadline: f64, origin: CallOrigin, stage: WaitStage| {
            if deadline <= now {
                expired.push((origin, stage));
            }
            deadline > now
        };
        self.proposed.retain(|_, c| is_in_time(c.deadline, c.origin, WaitStage::Commit));
        self.unreplicated.retain(|c| is_in_time(c.deadline, c.origin, WaitStage::SyncedCopies));
        self.pending_reads.retain(|_, r| is_in_time(r.deadline, r.origin, WaitStage::QuorumContact));
        self.forwarded
            .retain(|_, c| is_in_time(c.deadline, CallOrigin::Local(c.call), WaitStage::LeaderResponse));
        self.lagging_reads
            .retain(|r| is_in_time(r.deadline, CallOrigin::Local(r.call), WaitStage::LocalApply));
        for (origin, stage) in expired {
            tracing::warn!(step = %stage, "call timed out");
            context.journal.append(now, JournalEvent::TimedOut(stage));
            let response = OperatorResponse::Undetermined(format!("waited too long for {stage}"));
            self.respond(origin, response, context, out);
        }
    }

    /// How many calls wait for the log at this node.
    pub fn waiting_calls(&self) -> usize {
        self.proposed.len() + self.unreplicated.len() + self.pending_reads.len()
    }
}

/// Logs and journals what became of a committed change. Every member does, also while it catches up.
fn record_outcome(
    index: Index,
    response: &OperatorResponse,
    changed: &[Arc<ConfigItem>],
    context: &mut CoreContext,
) {
    match response {
        OperatorResponse::Rejected(status, error) => {
            tracing::warn!(index, status, error, "configuration rejected");
            context.journal.append(context.now, JournalEvent::Rejected(error.clone()));
        }
        OperatorResponse::Accepted => {
            let versions = changed.iter().map(|i| format!("{}=r{}", i.label, i.version));
            let items = versions.collect::<Vec<_>>().join(" ");
            tracing::info!(index, items, "configuration applied");
            for item in changed {
                context.journal.append(context.now, JournalEvent::Item((**item).clone()));
            }
        }
        OperatorResponse::Undetermined(_) | OperatorResponse::Read(_) => {}
    }
}
