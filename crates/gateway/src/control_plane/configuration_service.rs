//! The configuration service: submits operators' calls and workers' shutdown announcements to the replicated log, and
//! holds the configuration and the announcements that are applied at this node.
//!
//! A call at a follower is forwarded to the leader. The leader proposes a change as a log entry. Every member evaluates
//! the committed entry in the same way, so the position in the log alone decides whether a change is accepted or
//! rejected. The leader acknowledges an accepted change only once enough disks hold it to survive the tolerated losses,
//! which may be more than a majority. The same holds for a shutdown announcement, which is always accepted. Reads and
//! rejections need no entry, but after the call has arrived a majority has to confirm the leader (Raft paper, 8):
//! without this, a deposed leader could respond from stale state.
//!
//! A call without an outcome after `CALL_TIMEOUT_SECS` gets 503. It may or may not take effect, and can be retried.

use super::{error_body, CallId, ConnectionId, CoreContext, Effect};
use crate::configuration::state::ChangeOutcome;
use crate::configuration::{ConfigChange, ConfigItem, ConfigState};
use crate::consensus::{Index, LogPosition, NodeId, Raft, Term};
use crate::control_plane::event_journal::JournalEvent;
use crate::discovery::{AnnouncedShutdowns, ShutdownAnnouncement};
use crate::protocol::{LeaderRequest, LeaderResponse, LogCommand, PeerMessage, REMOVAL_RECORD_VERSION};
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter};
use std::net::IpAddr;
use std::sync::Arc;

/// Seconds after which a call without an outcome gets 503, so that its caller can still try another node.
const CALL_TIMEOUT_SECS: f64 = 0.85;

/// What a call waits for. The texts of `Display` are part of the operators' interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitStage {
    /// A majority to commit the call's entry.
    Commit,
    /// Enough synced copies of the call's entry to survive the tolerated losses.
    SyncedCopies,
    /// A majority to confirm the leader.
    QuorumContact,
    /// The response of the leader to which the call was forwarded.
    LeaderResponse,
    /// This node to apply what the leader had committed at the time of the read.
    LocalApply,
}

impl WaitStage {
    /// What did not happen in time, for the error response.
    fn description(self) -> &'static str {
        match self {
            WaitStage::Commit => "a majority to commit the change",
            WaitStage::SyncedCopies => "enough core nodes to sync the change",
            WaitStage::QuorumContact => "a majority to confirm the leader",
            WaitStage::LeaderResponse => "the response of the leader",
            WaitStage::LocalApply => "this node to catch up with the leader",
        }
    }
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

/// Origin of a call, which determines where the response is sent.
#[derive(Clone, Copy, Debug)]
enum CallOrigin {
    /// A call that a client made at this node.
    Local(CallId),
    /// A call that another core node forwarded here.
    Forwarded { conn: ConnectionId, request_id: u64 },
}

/// A change or an announcement whose entry is in the log but not committed yet.
struct ProposedChange {
    /// Term of the entry. If the committed entry at the same index has another term, this entry was overwritten.
    term: Term,
    origin: CallOrigin,
    deadline: f64,
}

/// An accepted change or announcement that is not known to be on enough disks yet.
struct UnreplicatedChange {
    index: Index,
    /// The announcement; `None` for a change of the configuration.
    announcement: Option<ShutdownAnnouncement>,
    origin: CallOrigin,
    deadline: f64,
}

/// A read or a rejection that waits for a majority to confirm the leader.
struct PendingRead {
    origin: CallOrigin,
    /// The reason, if the call is to be rejected; `None` for a read.
    rejection: Option<String>,
    deadline: f64,
}

/// A call that a client made at this node and that was forwarded to the leader.
struct ForwardedCall {
    call: CallId,
    deadline: f64,
}

/// A read at this node that waits until the entry at `index` is applied locally.
struct LaggingRead {
    index: Index,
    call: CallId,
    deadline: f64,
}

/// A committed change that altered the configuration.
pub struct AppliedChange {
    /// Index of the previous entry that altered the configuration.
    pub previous: Index,
    /// The altered items in their new state.
    pub items: Vec<Arc<ConfigItem>>,
}

/// The configuration at this node, and the calls that wait for the log. Times are in seconds of the event clock.
#[derive(Default)]
pub struct ConfigurationService {
    /// The applied configuration.
    pub state: ConfigState,
    /// The applied shutdown announcements.
    pub shutdowns: AnnouncedShutdowns,
    /// Proposed changes by the index of their entries.
    proposed: BTreeMap<Index, ProposedChange>,
    unreplicated: Vec<UnreplicatedChange>,
    /// Pending reads and rejections by the log's number of the read.
    pending_reads: BTreeMap<u64, PendingRead>,
    /// Forwarded calls by request id.
    forwarded: BTreeMap<u64, ForwardedCall>,
    lagging_reads: Vec<LaggingRead>,
    /// Index of the last applied entry.
    pub applied: Index,
}

impl ConfigurationService {
    /// Starts with the configuration and the announcements as of the entry `applied`.
    pub fn new(state: ConfigState, shutdowns: AnnouncedShutdowns, applied: Index) -> Self {
        ConfigurationService { state, shutdowns, applied, ..ConfigurationService::default() }
    }

    /// Handles a call of an operator or a worker at this node. The leader submits it to the log; any other node forwards
    /// it to the leader. If no leader is reachable the caller gets 503 at once and may retry at another node.
    pub fn handle_call(
        &mut self,
        call: CallId,
        request: LeaderRequest,
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
            // This node is partitioned from the leader, or none is elected at present.
            return out.push(Effect::Respond(call, 503, error_body("no reachable leader of the core")));
        };
        let request_id = context.next_id();
        self.forwarded.insert(request_id, ForwardedCall { call, deadline: now + CALL_TIMEOUT_SECS });
        out.push(Effect::SendToPeer(leader, PeerMessage::ForwardRequest { request_id, request }));
    }

    /// Handles a call that another core node forwarded to this node as the leader.
    pub fn handle_forwarded(
        &mut self,
        conn: ConnectionId,
        request_id: u64,
        request: LeaderRequest,
        raft: &mut Raft<LogCommand>,
        context: &mut CoreContext,
        out: &mut Vec<Effect>,
    ) {
        self.submit(CallOrigin::Forwarded { conn, request_id }, request, raft, context, out);
    }

    /// Submits a call to the log. The outcome is undetermined if this node is not the leader, or not any more.
    fn submit(
        &mut self,
        origin: CallOrigin,
        request: LeaderRequest,
        raft: &mut Raft<LogCommand>,
        context: &mut CoreContext,
        out: &mut Vec<Effect>,
    ) {
        let log_time = context.log_time(context.now);
        let deadline = context.now + CALL_TIMEOUT_SECS;
        let is_submitted = match request {
            LeaderRequest::Amend(change) => {
                let command = self.configure_command(change, context);
                self.await_commit(raft.propose(log_time, command), origin, deadline)
            }
            LeaderRequest::AnnounceShutdown(announcement) => match self.shutdowns.index_of(&announcement) {
                // Recorded before: what is missing, at most, are copies of that entry.
                Some(index) if raft.is_leader() => {
                    let announcement = Some(announcement);
                    self.unreplicated.push(UnreplicatedChange { index, announcement, origin, deadline });
                    true
                }
                _ => {
                    let position = raft.propose(log_time, LogCommand::Shutdown(announcement));
                    self.await_commit(position, origin, deadline)
                }
            },
            LeaderRequest::Read => self
                .await_quorum(raft.read_index(log_time), PendingRead { origin, rejection: None, deadline }),
            LeaderRequest::Reject(reason) => {
                let rejection = Some(reason);
                self.await_quorum(raft.read_index(log_time), PendingRead { origin, rejection, deadline })
            }
        };
        if !is_submitted {
            let response = LeaderResponse::Undetermined("this core node is not the leader".into());
            self.respond(origin, response, context, out);
        }
    }

    /// The command for a change. Members begin to record removed names as soon as all of them can decode that command.
    fn configure_command(&self, change: ConfigChange, context: &CoreContext) -> LogCommand {
        match self.state.records_removals() || !context.all_voters_support(REMOVAL_RECORD_VERSION) {
            true => LogCommand::Configure(change),
            false => LogCommand::ConfigureAndRecordRemovals(change),
        }
    }

    fn await_commit(&mut self, proposed: Option<LogPosition>, origin: CallOrigin, deadline: f64) -> bool {
        if let Some(LogPosition { index, term }) = proposed {
            self.proposed.insert(index, ProposedChange { term, origin, deadline });
        }
        proposed.is_some()
    }

    fn await_quorum(&mut self, read: Option<u64>, pending: PendingRead) -> bool {
        if let Some(read) = read {
            self.pending_reads.insert(read, pending);
        }
        read.is_some()
    }

    /// Handles the leader's response to a forwarded call.
    pub fn handle_forward_response(
        &mut self,
        request_id: u64,
        response: LeaderResponse,
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
        response: LeaderResponse,
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
            LeaderResponse::Accepted => (200, json!({})),
            LeaderResponse::Rejected(status, reason) => (status, error_body(reason)),
            LeaderResponse::Undetermined(reason) => (503, error_body(reason)),
            LeaderResponse::Read(index) if self.applied >= index => (200, self.state.to_json()),
            LeaderResponse::Read(index) => {
                // This node has not applied yet what the leader has committed.
                let deadline = context.now + CALL_TIMEOUT_SECS;
                return self.lagging_reads.push(LaggingRead { index, call, deadline });
            }
        };
        out.push(Effect::Respond(call, status, body));
    }

    /// Applies a committed change, and responds to its call if that waits at this node. Returns `None` if the change
    /// was rejected or altered nothing.
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
            ChangeOutcome::Applied(items) => (LeaderResponse::Accepted, items),
            ChangeOutcome::AlreadyApplied => (LeaderResponse::Accepted, Vec::new()),
            ChangeOutcome::Conflict(error) => (LeaderResponse::Rejected(409, error.to_string()), Vec::new()),
            ChangeOutcome::Invalid(error) => (LeaderResponse::Rejected(400, error.to_string()), Vec::new()),
            ChangeOutcome::Indeterminate(forgotten) => {
                (LeaderResponse::Undetermined(forgotten.to_string()), Vec::new())
            }
        };
        record_outcome(position.index, &response, &changed, context);
        self.resolve_proposed(position, response, None, context, out);
        self.complete_ready(raft, context, out);
        (!changed.is_empty()).then_some(AppliedChange { previous, items: changed })
    }

    /// Records a committed shutdown announcement. The response to its call, if that waits at this node, follows once
    /// enough disks hold the entry.
    pub fn apply_shutdown(
        &mut self,
        position: LogPosition,
        announcement: &ShutdownAnnouncement,
        context: &mut CoreContext,
        out: &mut Vec<Effect>,
    ) {
        self.shutdowns.record(position.index, announcement);
        self.applied = position.index;
        let announcement = Some(announcement.clone());
        self.resolve_proposed(position, LeaderResponse::Accepted, announcement, context, out);
    }

    /// Resolves what was proposed at this position, if anything, now that an entry at its index is committed.
    fn resolve_proposed(
        &mut self,
        position: LogPosition,
        response: LeaderResponse,
        announcement: Option<ShutdownAnnouncement>,
        context: &mut CoreContext,
        out: &mut Vec<Effect>,
    ) {
        let Some(ProposedChange { term, origin, deadline }) = self.proposed.remove(&position.index) else {
            return;
        };
        if term != position.term {
            // Another leader's entry replaced the proposed one. The response leaves the outcome open, so that the
            // caller retries.
            let response = LeaderResponse::Undetermined("leadership changed before the commit".into());
            return self.respond(origin, response, context, out);
        }
        match response {
            LeaderResponse::Accepted => {
                let index = position.index;
                self.unreplicated.push(UnreplicatedChange { index, announcement, origin, deadline });
            }
            response => self.respond(origin, response, context, out),
        }
    }

    /// Responds to calls whose condition is met. Must be called whenever entries may have been replicated or applied.
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
            record_acknowledgement(&change, holders.len(), context);
            self.respond(change.origin, LeaderResponse::Accepted, context, out);
        }
    }

    /// Completes a read or a rejection: a majority has confirmed the leader since it was submitted.
    pub fn complete_read(&mut self, read: u64, context: &mut CoreContext, out: &mut Vec<Effect>) {
        let Some(pending) = self.pending_reads.remove(&read) else { return };
        let response = match pending.rejection {
            Some(reason) => {
                tracing::warn!(why = reason, "invalid configuration call rejected");
                context.journal.append(context.now, JournalEvent::Rejected(reason.clone()));
                LeaderResponse::Rejected(400, reason)
            }
            None => LeaderResponse::Read(self.applied),
        };
        self.respond(pending.origin, response, context, out);
    }

    /// Periodic work: responds to calls whose deadline has passed. Their outcome is undetermined, since they may still
    /// take effect.
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
            let reason = format!("timed out waiting for {}", stage.description());
            let response = LeaderResponse::Undetermined(reason);
            self.respond(origin, response, context, out);
        }
    }

    /// Number of calls that wait for the log at this node.
    pub fn waiting_calls(&self) -> usize {
        self.proposed.len() + self.unreplicated.len() + self.pending_reads.len()
    }
}

/// Logs the acknowledgement of a change or an announcement and appends that of a change to the event journal.
fn record_acknowledgement(change: &UnreplicatedChange, copies: usize, context: &mut CoreContext) {
    let index = change.index;
    if let Some(ShutdownAnnouncement { worker_id, phase }) = &change.announcement {
        tracing::info!(worker = %worker_id, ?phase, index, copies, "acknowledged worker shutdown");
        return;
    }
    tracing::info!(index, copies, "configuration acknowledged");
    context.journal.append(context.now, JournalEvent::Acknowledged { copies });
}

/// Logs the outcome of a committed change and appends it to the event journal. Every member does this, also while it
/// catches up.
fn record_outcome(
    index: Index,
    response: &LeaderResponse,
    changed: &[Arc<ConfigItem>],
    context: &mut CoreContext,
) {
    match response {
        LeaderResponse::Rejected(status, error) => {
            tracing::warn!(index, status, error, "configuration rejected");
            context.journal.append(context.now, JournalEvent::Rejected(error.clone()));
        }
        LeaderResponse::Accepted => {
            let versions = changed.iter().map(|i| format!("{}=r{}", i.label, i.version));
            let items = versions.collect::<Vec<_>>().join(" ");
            tracing::info!(index, items, "configuration applied");
            for item in changed {
                context.journal.append(context.now, JournalEvent::Item((**item).clone()));
            }
        }
        LeaderResponse::Undetermined(_) | LeaderResponse::Read(_) => {}
    }
}
