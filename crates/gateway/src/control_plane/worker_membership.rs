//! The core node's view of the workers: it merges their reports, replicates shutdown announcements before they are
//! acknowledged, exchanges heartbeats and digests with its peers, and detects workers that fell silent.
//!
//! Workers are not in the replicated log: their reports merge in any order (see [`WorkerRegistry`]) and are spread
//! best-effort. Two invariants:
//! - A worker's announced shutdown is acknowledged only once enough core nodes hold it in memory that no tolerated loss
//!   of nodes can forget it ([`CoreContext::survives_tolerated_losses`]).
//! - A worker is declared unresponsive only by a node that was itself in contact with a majority of the core for the
//!   whole of the worker's timeout ([`WorkerMembership::is_complete`]).

use super::change_tracker::ChangeTracker;
use super::{error_body, CallId, CoreContext, Effect};
use crate::control_plane::event_journal::{EventJournal, JournalEvent};
use crate::discovery::{MergeOutcome, Worker, WorkerPhase, WorkerRegistry};
use crate::protocol::PeerMessage;
use crate::settings::Settings;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;

/// A worker times out after this many missed heartbeats.
const MISSED_HEARTBEATS: f64 = 4.0;
/// Unresponsive and departed workers are remembered for this long, so that delayed heartbeats don't revive them:
/// seconds.
const ENDED_WORKER_KEEP_SECS: f64 = 60.0;
/// Heartbeats received here are reported to the peers this often: seconds.
const HEARTBEAT_REPORT_INTERVAL_SECS: f64 = 0.5;
/// A shutdown announcement that is not replicated within this time is refused, so that the worker can call another core
/// node: seconds.
const REPLICATION_TIMEOUT_SECS: f64 = 0.8;
/// A peer whose digest differs in the same way this often in a row is sent all workers...
const RESEND_AFTER_MISMATCHES: u32 = 3;
/// ...but no more often than this: seconds.
const RESEND_INTERVAL_SECS: f64 = 1.0;
/// Acknowledged shutdowns are forgotten beyond this number; a repeated announcement is then replicated again.
const MAX_ACKNOWLEDGED_SHUTDOWNS: usize = 10_000;

/// A shutdown announcement that waits for enough core nodes to hold it.
struct PendingReplication {
    call: CallId,
    held_by: BTreeSet<IpAddr>,
    deadline_secs: f64,
    worker_id: String,
    phase: WorkerPhase,
}

/// How a peer's worker digest differed from the local one.
struct DigestMismatch {
    /// The peer's digest XOR the local one, at its last ping; 0: equal.
    difference: u64,
    /// Pings in a row with this difference.
    repeats: u32,
    resent_secs: f64,
}

/// What [`WorkerMembership::merge`] found out.
pub struct MergedWorkers {
    /// Workers that are new or changed here.
    pub changed: Vec<Worker>,
    /// Workers that the sender took for unresponsive and that were heard from here since.
    pub contested: Vec<Worker>,
}

/// The workers, as this core node knows them.
pub struct WorkerMembership {
    /// Their latest reports.
    pub registry: WorkerRegistry,
    changes: ChangeTracker<Arc<str>>,
    heartbeat_interval_secs: f64,
    /// By request id.
    pending: BTreeMap<u64, PendingReplication>,
    /// Shutdowns that enough core nodes hold, by worker id.
    acknowledged: BTreeMap<String, WorkerPhase>,
    /// Heartbeats received here since the last report to the peers: call counts by worker id.
    unreported_heartbeats: BTreeMap<String, u64>,
    heartbeats_reported_secs: f64,
    /// Since when this node has been in contact with a majority of the core without a break.
    in_majority_since_secs: Option<f64>,
    /// By core node.
    mismatches: BTreeMap<IpAddr, DigestMismatch>,
}

impl WorkerMembership {
    /// Starts with the workers of the disk, as if all had just been heard from and none were in slow start.
    pub fn new(settings: &Settings, now: f64, workers: Vec<Worker>) -> Self {
        let mut registry = WorkerRegistry::default();
        for worker in workers {
            registry.merge(now, Worker { warmup_ms: 0, ..worker }, ENDED_WORKER_KEEP_SECS);
        }
        WorkerMembership {
            registry,
            changes: ChangeTracker::default(),
            heartbeat_interval_secs: settings.heartbeat.as_secs_f64(),
            pending: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            unreported_heartbeats: BTreeMap::new(),
            heartbeats_reported_secs: 0.0,
            in_majority_since_secs: None,
            mismatches: BTreeMap::new(),
        }
    }

    /// Merges reports, of a worker itself or of another core node.
    pub fn merge(&mut self, now: f64, workers: Vec<Worker>, journal: &mut EventJournal) -> MergedWorkers {
        let (mut changed, mut contested) = (Vec::new(), Vec::new());
        for worker in workers {
            let (id, reported_phase) = (worker.id.clone(), worker.phase);
            match journal.merge_worker(now, worker, &mut self.registry, ENDED_WORKER_KEEP_SECS) {
                MergeOutcome::Changed => {
                    let Some(known) = self.registry.get(&id) else { continue };
                    tracing::info!(worker = %known.id, service = %known.service, phase = ?known.phase, "worker changed");
                    self.changes.record(&known.id);
                    changed.push(known.clone());
                }
                MergeOutcome::Stale if reported_phase == WorkerPhase::Unresponsive => {
                    contested
                        .extend(self.registry.get(&id).filter(|w| w.phase <= WorkerPhase::Draining).cloned());
                }
                MergeOutcome::Stale | MergeOutcome::Refreshed => {}
            }
        }
        MergedWorkers { changed, contested }
    }

    /// A worker sent its heartbeat to this node: it goes into the next report to the peers.
    pub fn record_heartbeat(&mut self, worker: &Worker) {
        self.unreported_heartbeats.insert(worker.id.to_string(), worker.heartbeat_seq);
    }

    /// A peer reported heartbeats: call counts by worker id.
    pub fn record_peer_heartbeats(&mut self, now: f64, heartbeats: &[(String, u64)]) {
        for (id, heartbeat_seq) in heartbeats {
            self.registry.record_heartbeat(now, id, *heartbeat_seq);
        }
    }

    /// The report of a known worker's departure; `None`: it is unknown here.
    pub fn departure_of(&self, id: &str) -> Option<Worker> {
        let known = self.registry.get(id)?;
        Some(Worker { phase: WorkerPhase::Departed, heartbeat_seq: known.heartbeat_seq + 1, ..known.clone() })
    }

    /// Replicates a worker's shutdown announcement, and replies to its call once enough core nodes hold it: at once if
    /// they are known to.
    pub fn replicate_shutdown(
        &mut self,
        now: f64,
        call: CallId,
        worker: Worker,
        shared: &mut CoreContext,
        out: &mut Vec<Effect>,
    ) {
        if self.acknowledged.get(&*worker.id).is_some_and(|phase| *phase >= worker.phase) {
            return out.push(Effect::Respond(call, 200, json!({})));
        }
        let request_id = shared.next_id();
        let pending = PendingReplication {
            call,
            held_by: BTreeSet::from([shared.me.ip]),
            deadline_secs: now + REPLICATION_TIMEOUT_SECS,
            worker_id: worker.id.to_string(),
            phase: worker.phase,
        };
        self.pending.insert(request_id, pending);
        for ip in shared.peers() {
            let workers = vec![worker.clone()];
            out.push(Effect::SendToPeer(ip, PeerMessage::ReplicateWorkers { request_id, workers }));
        }
        // One node may be enough.
        self.confirm_replication(shared.me.ip, request_id, shared, out);
    }

    /// A core node holds the announcement of this request. Ignored once the call has its reply.
    pub fn confirm_replication(
        &mut self,
        ip: IpAddr,
        request_id: u64,
        shared: &CoreContext,
        out: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.get_mut(&request_id) else { return };
        pending.held_by.insert(ip);
        if shared.survives_tolerated_losses(pending.held_by.iter()) {
            tracing::info!(worker = pending.worker_id, phase = ?pending.phase, "acknowledged worker shutdown");
            out.push(Effect::Respond(pending.call, 200, json!({})));
            if let Some(done) = self.pending.remove(&request_id) {
                self.acknowledged.insert(done.worker_id, done.phase);
            }
        }
    }

    /// Compares a peer's digest of the workers with the local one. Returns whether the peer is to be sent all workers:
    /// the digests keep differing in the same way. While an update is on its way to one of the two they differ in
    /// another way each time.
    pub fn should_resend_all(&mut self, now: f64, peer: IpAddr, digest: u64) -> bool {
        let difference = digest ^ self.registry.digest();
        let initial = DigestMismatch { difference: 0, repeats: 0, resent_secs: f64::NEG_INFINITY };
        let mismatch = self.mismatches.entry(peer).or_insert(initial);
        mismatch.repeats = match difference {
            0 => 0,
            same if same == mismatch.difference => mismatch.repeats + 1,
            _ => 1,
        };
        mismatch.difference = difference;
        let resend =
            mismatch.repeats >= RESEND_AFTER_MISMATCHES && now - mismatch.resent_secs > RESEND_INTERVAL_SECS;
        if resend {
            (mismatch.repeats, mismatch.resent_secs) = (0, now);
        }
        resend
    }

    /// The number of the last change.
    pub fn last_change(&self) -> u64 {
        self.changes.last_change()
    }

    /// Workers that changed after this change; `None`: the difference is no longer known.
    pub fn changed_since(&self, change: u64) -> Option<Vec<Worker>> {
        let changed = self.changes.changed_since(change)?;
        Some(changed.filter_map(|id| self.registry.get(id).cloned()).collect())
    }

    /// Whether every live worker is known here: this node has been in contact with a majority of the core for a
    /// worker's whole timeout, so each has sent a heartbeat that reached it.
    pub fn is_complete(&self, now: f64) -> bool {
        self.in_majority_since_secs.is_some_and(|since| now - since > self.worker_timeout_secs())
    }

    fn worker_timeout_secs(&self) -> f64 {
        MISSED_HEARTBEATS * self.heartbeat_interval_secs
    }

    /// Restarts every worker's timeout: this process was paused and received nothing meanwhile.
    pub fn reset_timeouts(&mut self, now: f64) {
        self.in_majority_since_secs = None;
        self.registry.reset_timeouts(now);
    }

    /// Periodic work: replication timeouts, the report of heartbeats, expiry. Returns workers that became unresponsive.
    pub fn tick(&mut self, now: f64, shared: &mut CoreContext, out: &mut Vec<Effect>) -> Vec<Worker> {
        self.refuse_late_replications(now, out);
        self.report_heartbeats(now, shared, out);
        self.in_majority_since_secs = match shared.has_majority(now) {
            true => self.in_majority_since_secs.or(Some(now)),
            false => None,
        };
        for id in self.registry.remove_ended(now) {
            self.changes.forget(&id);
        }
        if self.acknowledged.len() > MAX_ACKNOWLEDGED_SHUTDOWNS {
            self.acknowledged.clear();
        }
        if !self.is_complete(now) {
            return Vec::new();
        }
        self.expire_workers(now, shared, out)
    }

    fn refuse_late_replications(&mut self, now: f64, out: &mut Vec<Effect>) {
        let late = self.pending.iter().filter(|(_, p)| p.deadline_secs <= now).map(|(id, _)| *id);
        for request_id in late.collect::<Vec<_>>() {
            let Some(pending) = self.pending.remove(&request_id) else { continue };
            tracing::warn!(worker = pending.worker_id, "worker shutdown not replicated in time");
            out.push(Effect::Respond(pending.call, 503, error_body("too few core machines in time")));
        }
    }

    fn report_heartbeats(&mut self, now: f64, shared: &CoreContext, out: &mut Vec<Effect>) {
        let due = now - self.heartbeats_reported_secs >= HEARTBEAT_REPORT_INTERVAL_SECS;
        if due && !self.unreported_heartbeats.is_empty() {
            self.heartbeats_reported_secs = now;
            let heartbeats: Vec<(String, u64)> =
                std::mem::take(&mut self.unreported_heartbeats).into_iter().collect();
            for ip in shared.peers() {
                out.push(Effect::SendToPeer(ip, PeerMessage::Heartbeats(heartbeats.clone())));
            }
        }
    }

    /// Marks workers whose heartbeats timed out as unresponsive and tells the peers.
    fn expire_workers(&mut self, now: f64, shared: &mut CoreContext, out: &mut Vec<Effect>) -> Vec<Worker> {
        let unresponsive = self.registry.expire(now, self.worker_timeout_secs(), ENDED_WORKER_KEEP_SECS);
        if !unresponsive.is_empty() {
            for worker in &unresponsive {
                tracing::warn!(worker = %worker.id, service = %worker.service, "worker heartbeats timed out");
                self.changes.record(&worker.id);
                shared.journal.append(now, JournalEvent::Worker(worker.clone()));
            }
            for ip in shared.peers() {
                out.push(Effect::SendToPeer(ip, PeerMessage::WorkerUpdates(unresponsive.clone())));
            }
        }
        unresponsive
    }
}
