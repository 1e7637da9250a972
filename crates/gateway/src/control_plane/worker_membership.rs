//! Owns the core's part in the list of workers: what they call, who else must know before a leaving worker hears so,
//! who has fallen silent. It must never acknowledge a worker's leaving before enough of the core knows of it.

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

/// A worker that said nothing for so many heartbeats is silent.
const SILENT_BEATS: f64 = 4.0;
/// Those that ended are remembered for so long, so that late calls don't revive them: seconds.
const KEEP: f64 = 60.0;
/// Who was heard of is told this often: seconds.
const ALIVE_EVERY: f64 = 0.5;
/// A leaving worker hears by then, so that it can call elsewhere: seconds.
const HOLD_WITHIN: f64 = 0.8;

struct Holding {
    call: CallId,
    held: BTreeSet<IpAddr>,
    until: f64,
    id: String,
    phase: WorkerPhase,
}

/// The core's list of workers.
pub struct WorkerMembership {
    /// The list.
    pub registry: WorkerRegistry,
    changes: ChangeTracker<Arc<str>>,
    beat: f64,
    holdings: BTreeMap<u64, Holding>,
    /// Workers whose leaving enough others know of.
    known: BTreeMap<String, WorkerPhase>,
    alive: BTreeMap<String, u64>,
    told_at: f64,
    /// Since when most of the core has been in touch.
    touch_since: Option<f64>,
    /// By core machine: how the lists differed last, how often in a row, when it was told all.
    differing: BTreeMap<IpAddr, (u64, u32, f64)>,
}

impl WorkerMembership {
    /// With the workers that were known before: all as if they had just been heard of.
    pub fn new(settings: &Settings, now: f64, workers: Vec<Worker>) -> Self {
        let mut registry = WorkerRegistry::default();
        for worker in workers {
            registry.merge(now, Worker { warmup_ms: 0, ..worker }, KEEP);
        }
        WorkerMembership {
            registry,
            changes: ChangeTracker::default(),
            beat: settings.heartbeat.as_secs_f64(),
            holdings: BTreeMap::new(),
            known: BTreeMap::new(),
            alive: BTreeMap::new(),
            told_at: 0.0,
            touch_since: None,
            differing: BTreeMap::new(),
        }
    }

    /// Takes news; returned: what changed here, and what others hold wrongly as silent.
    pub fn merge(
        &mut self,
        now: f64,
        workers: Vec<Worker>,
        journal: &mut EventJournal,
    ) -> (Vec<Worker>, Vec<Worker>) {
        let (mut changed, mut contested) = (Vec::new(), Vec::new());
        for worker in workers {
            let (id, phase) = (worker.id.clone(), worker.phase);
            match journal.merge_worker(now, worker, &mut self.registry, KEEP) {
                MergeOutcome::Changed => {
                    let Some(held) = self.registry.get(&id) else { continue };
                    tracing::info!(worker = %held.id, service = %held.service, phase = ?held.phase, "worker");
                    self.changes.touch(&held.id);
                    changed.push(held.clone());
                }
                MergeOutcome::Stale if phase == WorkerPhase::Unresponsive => {
                    contested
                        .extend(self.registry.get(&id).filter(|w| w.phase <= WorkerPhase::Draining).cloned());
                }
                MergeOutcome::Stale | MergeOutcome::Refreshed => {}
            }
        }
        (changed, contested)
    }

    /// A worker called here: the others are to hear that it lives.
    pub fn refreshed(&mut self, worker: &Worker) {
        self.alive.insert(worker.id.to_string(), worker.call_count);
    }

    /// Others heard of these.
    pub fn alive(&mut self, now: f64, heard: &[(String, u64)]) {
        for (id, calls) in heard {
            self.registry.record_heartbeat(now, id, *calls);
        }
    }

    /// The same worker as gone.
    pub fn departed(&self, id: &str) -> Option<Worker> {
        let held = self.registry.get(id)?;
        Some(Worker { phase: WorkerPhase::Departed, call_count: held.call_count + 1, ..held.clone() })
    }

    /// A leaving worker is answered once enough of the core knows.
    pub fn hold(
        &mut self,
        now: f64,
        call: CallId,
        worker: Worker,
        shared: &mut CoreContext,
        out: &mut Vec<Effect>,
    ) {
        if self.known.get(&*worker.id).is_some_and(|phase| *phase >= worker.phase) {
            return out.push(Effect::Respond(call, 200, json!({})));
        }
        let ask = shared.next_id();
        let held = BTreeSet::from([shared.me.ip]);
        let (id, phase) = (worker.id.to_string(), worker.phase);
        self.holdings.insert(ask, Holding { call, held, until: now + HOLD_WITHIN, id, phase });
        for ip in shared.peers() {
            out.push(Effect::SendToPeer(
                ip,
                PeerMessage::ReplicateWorkers { request_id: ask, workers: vec![worker.clone()] },
            ));
        }
        self.held(shared.me.ip, ask, shared, out);
    }

    /// One more machine knows.
    pub fn held(&mut self, ip: IpAddr, ask: u64, shared: &CoreContext, out: &mut Vec<Effect>) {
        let Some(holding) = self.holdings.get_mut(&ask) else { return };
        holding.held.insert(ip);
        if shared.survives_tolerated_losses(holding.held.iter()) {
            tracing::info!(worker = holding.id, phase = ?holding.phase, "acknowledges a leaving worker");
            out.push(Effect::Respond(holding.call, 200, json!({})));
            if let Some(done) = self.holdings.remove(&ask) {
                self.known.insert(done.id, done.phase);
            }
        }
    }

    /// Does a core machine's list go on to differ in the same way? While news is on its way to one of the two, it differs
    /// otherwise each time. Once in a while.
    pub fn differs(&mut self, now: f64, ip: IpAddr, digest: u64) -> bool {
        let by = digest ^ self.registry.digest();
        let (last, times, at) = self.differing.entry(ip).or_insert((0, 0, f64::NEG_INFINITY));
        *times = match by {
            0 => 0,
            by if by == *last => *times + 1,
            _ => 1,
        };
        *last = by;
        let tell = *times >= 3 && now - *at > 1.0;
        if tell {
            (*times, *at) = (0, now);
        }
        tell
    }

    /// The number of the last change of the list.
    pub fn last(&self) -> u64 {
        self.changes.last()
    }

    /// Workers that changed after this number; `None`: that can't be told any more.
    pub fn since(&self, number: u64) -> Option<Vec<Worker>> {
        let changed = self.changes.since(number)?;
        Some(changed.filter_map(|id| self.registry.get(id).cloned()).collect())
    }

    /// Has this machine listened for so long, in touch with most of the core, that it knows every live worker?
    pub fn settled(&self, now: f64) -> bool {
        self.touch_since.is_some_and(|at| now - at > SILENT_BEATS * self.beat)
    }

    /// Nobody's silence counts: this process was away.
    pub fn excuse(&mut self, now: f64) {
        self.touch_since = None;
        self.registry.reset_timeouts(now);
    }

    /// Upkeep; returned: workers that are silent from now on.
    pub fn tick(&mut self, now: f64, shared: &mut CoreContext, out: &mut Vec<Effect>) -> Vec<Worker> {
        let late: Vec<u64> = self.holdings.iter().filter(|(_, h)| h.until <= now).map(|(a, _)| *a).collect();
        for ask in late {
            let Some(holding) = self.holdings.remove(&ask) else { continue };
            tracing::warn!(worker = holding.id, "too few core machines know of a leaving worker in time");
            out.push(Effect::Respond(holding.call, 503, error_body("too few core machines in time")));
        }
        if now - self.told_at >= ALIVE_EVERY && !self.alive.is_empty() {
            self.told_at = now;
            let alive: Vec<(String, u64)> = std::mem::take(&mut self.alive).into_iter().collect();
            for ip in shared.peers() {
                out.push(Effect::SendToPeer(ip, PeerMessage::Heartbeats(alive.clone())));
            }
        }
        self.touch_since = match shared.has_majority(now) {
            true => self.touch_since.or(Some(now)),
            false => None,
        };
        for id in self.registry.remove_ended(now) {
            self.changes.forget(&id);
        }
        if self.known.len() > 10_000 {
            self.known.clear();
        }
        if !self.settled(now) {
            return Vec::new();
        }
        let silent = self.registry.expire(now, SILENT_BEATS * self.beat, KEEP);
        if !silent.is_empty() {
            for worker in &silent {
                tracing::warn!(worker = %worker.id, service = %worker.service, "worker fell silent");
                self.changes.touch(&worker.id);
                shared.journal.append(now, JournalEvent::Worker(worker.clone()));
            }
            for ip in shared.peers() {
                out.push(Effect::SendToPeer(ip, PeerMessage::WorkerUpdates(silent.clone())));
            }
        }
        silent
    }
}
