//! Worker membership: the core node's view of the workers. This module merges their reports, exchanges heartbeats and
//! digests with the peers, and detects workers that stopped sending heartbeats.
//!
//! Of the workers only their shutdown announcements are in the replicated log ([`AnnouncedShutdowns`]). Reports merge
//! in any order (see [`WorkerRegistry`]) and spread between core nodes best-effort.
//!
//! Invariants:
//! - No report takes a worker back behind a phase that the log has announced: [`WorkerMembership::merge`] restricts
//!   every report to it. A node therefore never lists a worker as serving once it has applied the entry of that
//!   worker's shutdown, whatever reports arrive, and in whatever order.
//! - Only a node that accepted heartbeats throughout a worker's timeout, and so was in contact with a majority of the
//!   core, declares that worker unresponsive ([`WorkerMembership::is_complete`]).

use super::change_tracker::ChangeTracker;
use super::{CoreContext, Effect};
use crate::control_plane::event_journal::{EventJournal, JournalEvent};
use crate::discovery::{AnnouncedShutdowns, MergeOutcome, Worker, WorkerPhase, WorkerRegistry};
use crate::protocol::PeerMessage;
use crate::settings::Settings;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

/// Number of missed heartbeats after which a worker times out.
const MISSED_HEARTBEATS: f64 = 4.0;
/// Seconds for which unresponsive and departed workers stay in the registry, so that delayed heartbeats don't revive
/// them.
const ENDED_WORKER_RETENTION_SECS: f64 = 60.0;
/// Shortest interval, in seconds, between two reports of received heartbeats to the peers.
const HEARTBEAT_REPORT_INTERVAL_SECS: f64 = 0.5;
/// Number of consecutive pings with the same digest difference after which a peer is sent all workers.
const MISMATCHES_BEFORE_RESEND: u32 = 3;
/// Shortest interval, in seconds, between two full worker lists for the same peer.
const MIN_RESEND_INTERVAL_SECS: f64 = 1.0;
/// Difference between a peer's worker digest and the local one.
struct DigestMismatch {
    /// XOR of the peer's digest and the local one at the peer's last ping; 0 if they were equal.
    difference: u64,
    /// Number of consecutive pings with this difference.
    repeats: u32,
    last_resend_secs: f64,
}

/// Result of [`WorkerMembership::merge`].
pub struct MergedWorkers {
    /// Workers that are new or changed here.
    pub changed: Vec<Worker>,
    /// Workers that the sender reported as unresponsive, although this node has a later report of them.
    pub contested: Vec<Worker>,
}

/// This core node's view of the workers.
pub struct WorkerMembership {
    /// Latest report of each worker.
    pub registry: WorkerRegistry,
    changes: ChangeTracker<Arc<str>>,
    heartbeat_interval_secs: f64,
    /// Heartbeats that this node received since its last report to the peers: heartbeat sequence numbers by worker id.
    unreported_heartbeats: BTreeMap<String, u64>,
    last_report_secs: f64,
    /// Time since which this node has accepted heartbeats without a break; `None` if it accepts none.
    accepting_since_secs: Option<f64>,
    /// Digest differences by core node.
    mismatches: BTreeMap<IpAddr, DigestMismatch>,
}

impl WorkerMembership {
    /// Starts with the workers from the disk. Each counts as just heard from, and as past its slow start.
    pub fn new(settings: &Settings, now: f64, workers: Vec<Worker>, shutdowns: &AnnouncedShutdowns) -> Self {
        let mut registry = WorkerRegistry::default();
        for worker in workers {
            let worker = shutdowns.restrict(Worker { warmup_ms: 0, ..worker });
            registry.merge(now, worker, ENDED_WORKER_RETENTION_SECS);
        }
        WorkerMembership {
            registry,
            changes: ChangeTracker::default(),
            heartbeat_interval_secs: settings.heartbeat.as_secs_f64(),
            unreported_heartbeats: BTreeMap::new(),
            last_report_secs: 0.0,
            accepting_since_secs: None,
            mismatches: BTreeMap::new(),
        }
    }

    /// Merges reports that come from a worker itself or from another core node, restricted by `shutdowns`.
    pub fn merge(
        &mut self,
        now: f64,
        workers: Vec<Worker>,
        shutdowns: &AnnouncedShutdowns,
        journal: &mut EventJournal,
    ) -> MergedWorkers {
        let (mut changed, mut contested) = (Vec::new(), Vec::new());
        for worker in workers {
            let worker = shutdowns.restrict(worker);
            let (id, reported_phase) = (worker.id.clone(), worker.phase);
            match journal.merge_worker(now, worker, &mut self.registry, ENDED_WORKER_RETENTION_SECS) {
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

    /// Records a heartbeat that a worker sent to this node, for the next report to the peers.
    pub fn record_heartbeat(&mut self, worker: &Worker) {
        self.unreported_heartbeats.insert(worker.id.to_string(), worker.heartbeat_seq);
    }

    /// Records heartbeats that a peer received: heartbeat sequence numbers by worker id.
    pub fn record_peer_heartbeats(&mut self, now: f64, heartbeats: &[(String, u64)]) {
        for (id, heartbeat_seq) in heartbeats {
            self.registry.record_heartbeat(now, id, *heartbeat_seq);
        }
    }

    /// Returns a report of a worker's departure, or `None` if the worker is unknown here.
    pub fn departure_of(&self, id: &str) -> Option<Worker> {
        let known = self.registry.get(id)?;
        Some(Worker { phase: WorkerPhase::Departed, heartbeat_seq: known.heartbeat_seq + 1, ..known.clone() })
    }

    /// Compares a peer's worker digest with the local one. Returns whether to send all workers to the peer, because the
    /// digests keep differing in the same way. A difference caused by updates in flight changes from ping to ping.
    pub fn should_resend_all(&mut self, now: f64, peer: IpAddr, digest: u64) -> bool {
        let difference = digest ^ self.registry.digest();
        let initial = DigestMismatch { difference: 0, repeats: 0, last_resend_secs: f64::NEG_INFINITY };
        let mismatch = self.mismatches.entry(peer).or_insert(initial);
        mismatch.repeats = match difference {
            0 => 0,
            same if same == mismatch.difference => mismatch.repeats + 1,
            _ => 1,
        };
        mismatch.difference = difference;
        let resend = mismatch.repeats >= MISMATCHES_BEFORE_RESEND
            && now - mismatch.last_resend_secs > MIN_RESEND_INTERVAL_SECS;
        if resend {
            (mismatch.repeats, mismatch.last_resend_secs) = (0, now);
        }
        resend
    }

    /// Number of the last change.
    pub fn last_change(&self) -> u64 {
        self.changes.last_change()
    }

    /// Returns the workers that changed after this change, or `None` if the difference is no longer known.
    pub fn changed_since(&self, change: u64) -> Option<Vec<Worker>> {
        let changed = self.changes.changed_since(change)?;
        Some(changed.filter_map(|id| self.registry.get(id).cloned()).collect())
    }

    /// Whether this node knows every live worker. True once it has accepted heartbeats, and so been in contact with a
    /// majority of the core, for longer than a worker's timeout: a heartbeat of each live worker has then reached it.
    pub fn is_complete(&self, now: f64) -> bool {
        self.accepting_since_secs.is_some_and(|since| now - since > self.worker_timeout_secs())
    }

    fn worker_timeout_secs(&self) -> f64 {
        MISSED_HEARTBEATS * self.heartbeat_interval_secs
    }

    /// Restarts the timeout of every worker, after this process was suspended and could not receive heartbeats.
    pub fn reset_timeouts(&mut self, now: f64) {
        self.accepting_since_secs = None;
        self.registry.reset_timeouts(now);
    }

    /// Periodic work: reports heartbeats to the peers, and expires workers. Returns the workers that became
    /// unresponsive. `accepts_heartbeats`: whether workers' heartbeats are accepted at present.
    pub fn tick(
        &mut self,
        now: f64,
        accepts_heartbeats: bool,
        context: &mut CoreContext,
        out: &mut Vec<Effect>,
    ) -> Vec<Worker> {
        self.report_heartbeats(now, context, out);
        self.accepting_since_secs = match accepts_heartbeats {
            true => self.accepting_since_secs.or(Some(now)),
            false => None,
        };
        for id in self.registry.remove_ended(now) {
            self.changes.forget(&id);
        }
        if !self.is_complete(now) {
            return Vec::new();
        }
        self.expire_workers(now, context, out)
    }

    fn report_heartbeats(&mut self, now: f64, context: &CoreContext, out: &mut Vec<Effect>) {
        let due = now - self.last_report_secs >= HEARTBEAT_REPORT_INTERVAL_SECS;
        if due && !self.unreported_heartbeats.is_empty() {
            self.last_report_secs = now;
            let heartbeats: Vec<(String, u64)> =
                std::mem::take(&mut self.unreported_heartbeats).into_iter().collect();
            for ip in context.peers() {
                out.push(Effect::SendToPeer(ip, PeerMessage::Heartbeats(heartbeats.clone())));
            }
        }
    }

    /// Marks workers whose heartbeats timed out as unresponsive, and sends them to the peers.
    fn expire_workers(&mut self, now: f64, context: &mut CoreContext, out: &mut Vec<Effect>) -> Vec<Worker> {
        let unresponsive = self.registry.expire(now, self.worker_timeout_secs(), ENDED_WORKER_RETENTION_SECS);
        if !unresponsive.is_empty() {
            for worker in &unresponsive {
                tracing::warn!(worker = %worker.id, service = %worker.service, "worker heartbeats timed out");
                self.changes.record(&worker.id);
                context.journal.append(now, JournalEvent::Worker(worker.clone()));
            }
            for ip in context.peers() {
                out.push(Effect::SendToPeer(ip, PeerMessage::WorkerUpdates(unresponsive.clone())));
            }
        }
        unresponsive
    }
}
