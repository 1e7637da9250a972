//! Owns the configuration on the core: operators' calls on their way through the log, what is applied, reads. A call is
//! judged once, at its place in the log, the same at each member. It must never answer what is not committed, nor
//! refuse or read before most of the core was in touch in the present term.

use super::{error_body, CallId, ConnectionId, CoreContext, Effect};
use crate::configuration::state::ChangeOutcome;
use crate::configuration::{ConfigChange, ConfigItem, ConfigState};
use crate::consensus::{Index, LogPosition, NodeId, Raft, Term};
use crate::control_plane::event_journal::JournalEvent;
use crate::protocol::{LogCommand, OperatorRequest, OperatorResponse, PeerMessage};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

/// A call that finds no leader, or too few others, is answered by then, so that its caller moves on: seconds.
const CALL_WITHIN: f64 = 0.85;

/// Who hears the answer.
#[derive(Clone, Copy, Debug)]
enum Waiter {
    /// A call here.
    Own(CallId),
    /// Another core machine, for a call there.
    Remote(ConnectionId, u64),
}

/// A call whose place in the log is known.
struct Placed {
    term: Term,
    waiter: Waiter,
    until: f64,
}

/// Wanted: that enough disks hold the log up to here.
struct Copying {
    index: Index,
    waiter: Waiter,
    until: f64,
}

/// The configuration on this machine.
#[derive(Default)]
pub struct ConfigurationService {
    /// All that is applied here.
    pub state: ConfigState,
    placed: BTreeMap<Index, Placed>,
    copying: Vec<Copying>,
    /// Reads and refusals that wait for most to be in touch, by the log's number of the read.
    reads: BTreeMap<u64, (Waiter, Option<String>, f64)>,
    /// Calls that the leader was told of.
    passed: BTreeMap<u64, (CallId, f64)>,
    /// Reads that wait until this much is applied here.
    behind: Vec<(Index, CallId, f64)>,
    /// Applied up to here.
    pub applied: Index,
}

impl ConfigurationService {
    /// With the state as of an entry.
    pub fn new(state: ConfigState, applied: Index) -> Self {
        ConfigurationService { state, applied, ..ConfigurationService::default() }
    }

    /// A call of an operator.
    pub fn call(
        &mut self,
        now: f64,
        call: CallId,
        wish: OperatorRequest,
        (raft, shared): (&mut Raft<LogCommand>, &mut CoreContext),
        out: &mut Vec<Effect>,
    ) {
        if raft.is_leader() {
            return self.lead(now, Waiter::Own(call), wish, (raft, shared), out);
        }
        let leader =
            raft.leader(shared.log_time(now)).map(|id| id.ip).filter(|ip| shared.is_reachable(now, ip));
        let Some(ip) = leader else {
            // Cut off, or between two leaders: the caller goes on to another machine.
            return out.push(Effect::Respond(call, 503, error_body("no leader is in touch")));
        };
        let ask = shared.next_id();
        self.passed.insert(ask, (call, now + CALL_WITHIN));
        out.push(Effect::SendToPeer(ip, PeerMessage::ForwardRequest { request_id: ask, request: wish }));
    }

    /// Another core machine passes a call on.
    pub fn forwarded(
        &mut self,
        now: f64,
        (conn, ask): (ConnectionId, u64),
        wish: OperatorRequest,
        parts: (&mut Raft<LogCommand>, &mut CoreContext),
        out: &mut Vec<Effect>,
    ) {
        self.lead(now, Waiter::Remote(conn, ask), wish, parts, out);
    }

    fn lead(
        &mut self,
        now: f64,
        waiter: Waiter,
        wish: OperatorRequest,
        (raft, shared): (&mut Raft<LogCommand>, &mut CoreContext),
        out: &mut Vec<Effect>,
    ) {
        let (ms, until) = (shared.log_time(now), now + CALL_WITHIN);
        let place = match wish {
            OperatorRequest::Amend(order) => {
                raft.propose(ms, LogCommand::Configure(order)).map(|LogPosition { index, term }| {
                    self.placed.insert(index, Placed { term, waiter, until });
                })
            }
            OperatorRequest::Read => raft.read_index(ms).map(|read| {
                self.reads.insert(read, (waiter, None, until));
            }),
            OperatorRequest::Reject(why) => raft.read_index(ms).map(|read| {
                self.reads.insert(read, (waiter, Some(why), until));
            }),
        };
        if place.is_none() {
            self.answer(waiter, OperatorResponse::Undetermined("no leader here".into()), shared, out);
        }
    }

    /// The leader's answer to a call that was passed on.
    pub fn told(
        &mut self,
        ask: u64,
        answer: OperatorResponse,
        shared: &mut CoreContext,
        out: &mut Vec<Effect>,
    ) {
        if let Some((call, _)) = self.passed.remove(&ask) {
            self.answer(Waiter::Own(call), answer, shared, out);
        }
    }

    fn answer(
        &mut self,
        waiter: Waiter,
        answer: OperatorResponse,
        shared: &mut CoreContext,
        out: &mut Vec<Effect>,
    ) {
        let call = match waiter {
            Waiter::Remote(conn, ask) => {
                return out.push(Effect::SendToSession(
                    conn,
                    PeerMessage::ForwardResponse { request_id: ask, response: answer },
                ))
            }
            Waiter::Own(call) => call,
        };
        let (status, body) = match answer {
            OperatorResponse::Accepted => (200, json!({})),
            OperatorResponse::Rejected(status, why) => (status, error_body(why)),
            OperatorResponse::Undetermined(why) => (503, error_body(why)),
            OperatorResponse::Read(index) if self.applied >= index => (200, self.state.to_json()),
            OperatorResponse::Read(index) => {
                // The leader was ahead of this machine: once this has caught up.
                return self.behind.push((index, call, shared.now + CALL_WITHIN));
            }
        };
        out.push(Effect::Respond(call, status, body));
    }

    /// An order is committed: it is judged, and what it changes is returned, with the index of the last change before.
    pub fn apply(
        &mut self,
        (index, term): (Index, Term),
        order: &ConfigChange,
        (raft, shared): (&Raft<LogCommand>, &mut CoreContext),
        out: &mut Vec<Effect>,
    ) -> Option<(Index, Vec<Arc<ConfigItem>>)> {
        let before = self.state.last_change_index();
        let outcome = self.state.apply(index, order);
        self.applied = index;
        let (answer, changed) = match outcome {
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
        match &answer {
            OperatorResponse::Rejected(status, error) => {
                tracing::warn!(index, status, error, "refused a configuration");
                shared.journal.append(shared.now, JournalEvent::Refused(error.clone()));
            }
            OperatorResponse::Accepted => {
                let versions = changed.iter().map(|i| format!("{}=r{}", i.label, i.version));
                let items = versions.collect::<Vec<_>>().join(" ");
                tracing::info!(index, items, "takes a configuration");
                for item in &changed {
                    shared.journal.append(shared.now, JournalEvent::Item((**item).clone()));
                }
            }
            _ => {}
        }
        if let Some(placed) = self.placed.remove(&index) {
            match answer {
                // Another leader's entry stands where this call was to be: what became of it is not known here.
                _ if placed.term != term => {
                    let unclear = OperatorResponse::Undetermined("the lead changed".into());
                    self.answer(placed.waiter, unclear, shared, out);
                }
                OperatorResponse::Accepted => {
                    self.copying.push(Copying { index, waiter: placed.waiter, until: placed.until });
                    self.copied(raft, shared, out);
                }
                answer => self.answer(placed.waiter, answer, shared, out),
            }
        }
        (!changed.is_empty()).then_some((before, changed))
    }

    /// Something may have been copied, or applied: whoever waits for it hears.
    pub fn copied(&mut self, raft: &Raft<LogCommand>, shared: &mut CoreContext, out: &mut Vec<Effect>) {
        if !self.copying.is_empty() && raft.is_leader() {
            for waiting in std::mem::take(&mut self.copying) {
                let holders = raft.voters_with(waiting.index);
                let ips: Vec<IpAddr> = holders.iter().map(|id: &NodeId| id.ip).collect();
                if shared.survives_tolerated_losses(ips.iter()) {
                    tracing::info!(index = waiting.index, copies = ips.len(), "acknowledges a configuration");
                    shared.journal.append(shared.now, JournalEvent::Acknowledged(ips.len()));
                    self.answer(waiting.waiter, OperatorResponse::Accepted, shared, out);
                } else {
                    self.copying.push(waiting);
                }
            }
        }
        let applied = self.applied;
        if self.behind.iter().any(|b| b.0 <= applied) {
            let (ready, rest) = std::mem::take(&mut self.behind).into_iter().partition(|b| b.0 <= applied);
            self.behind = rest;
            let ready: Vec<(Index, CallId, f64)> = ready;
            out.extend(
                ready.into_iter().map(|(_, call, _)| Effect::Respond(call, 200, self.state.to_json())),
            );
        }
    }

    /// Most of the core was in touch since a read was asked for.
    pub fn ready(&mut self, read: u64, shared: &mut CoreContext, out: &mut Vec<Effect>) {
        let Some((waiter, refusal, _)) = self.reads.remove(&read) else { return };
        let answer = match refusal {
            Some(why) => {
                tracing::warn!(why, "refused a call that can't be read");
                shared.journal.append(shared.now, JournalEvent::Refused(why.clone()));
                OperatorResponse::Rejected(400, why)
            }
            None => OperatorResponse::Read(self.applied),
        };
        self.answer(waiter, answer, shared, out);
    }

    /// Calls that were not decided in time are left without a clear answer.
    pub fn tick(&mut self, now: f64, shared: &mut CoreContext, out: &mut Vec<Effect>) {
        let mut late: Vec<(Waiter, &'static str)> = Vec::new();
        self.placed.retain(|_, p| keep(p.until > now, p.waiter, "commit", &mut late));
        self.copying.retain(|c| keep(c.until > now, c.waiter, "synced copies", &mut late));
        self.reads.retain(|_, r| keep(r.2 > now, r.0, "contact with most", &mut late));
        self.passed.retain(|_, p| keep(p.1 > now, Waiter::Own(p.0), "the leader", &mut late));
        self.behind.retain(|b| keep(b.2 > now, Waiter::Own(b.1), "catching up", &mut late));
        for (waiter, step) in late {
            tracing::warn!(step, "a call waited too long");
            shared.journal.append(now, JournalEvent::Unanswered(step));
            self.answer(
                waiter,
                OperatorResponse::Undetermined(format!("waited too long for {step}")),
                shared,
                out,
            );
        }
    }

    /// Calls that wait for the log here.
    pub fn waiting(&self) -> usize {
        self.placed.len() + self.copying.len() + self.reads.len()
    }
}

fn keep(in_time: bool, waiter: Waiter, step: &'static str, late: &mut Vec<(Waiter, &'static str)>) -> bool {
    if !in_time {
        late.push((waiter, step));
    }
    in_time
}
