//! The event journal of a core node: the latest `MAX_EVENTS` events in memory, in the order in which they happened, for
//! `GET /whinstall/journal`. The journal is for diagnosis only; no decision of the system depends on it.

use super::configuration_service::WaitStage;
use crate::configuration::ConfigItem;
use crate::discovery::{MergeOutcome, Worker, WorkerPhase, WorkerRegistry};
use serde_json::{json, Value};
use std::collections::VecDeque;

/// Number of events that are kept; older ones are dropped.
pub(crate) const MAX_EVENTS: usize = 2000;

/// An event at this node.
#[derive(Clone, Debug)]
pub enum JournalEvent {
    /// A configuration item was applied.
    Item(ConfigItem),
    /// A worker is new or has changed, as reported by itself or by another core node.
    Worker(Worker),
    /// An operator's call was rejected, with the reason.
    Rejected(String),
    /// A configuration change was acknowledged.
    Acknowledged {
        /// Core nodes that had it on their disks.
        copies: usize,
    },
    /// A call timed out at this stage.
    TimedOut(WaitStage),
    /// This node acquired the quota lease, or lost it.
    QuotaLease {
        /// Whether this node holds the lease from now on.
        is_held: bool,
    },
    /// This node installed a leader's snapshot.
    SnapshotInstalled,
    /// This node became the leader of the log, or lost leadership.
    Leadership {
        /// Whether this node is the leader from now on.
        is_leader: bool,
        /// The current term.
        term: u64,
    },
    /// The voters of the log changed to these, each as address/disk.
    Voters(Vec<String>),
    /// The process was suspended.
    Suspended {
        /// Seconds between the ticks before and after the suspension.
        secs: f64,
    },
}

impl JournalEvent {
    fn render(&self) -> Value {
        match self {
            JournalEvent::Item(i) => {
                json!({ "item": i.label, "list": i.kind.set_name(), "revision": format!("r{}", i.version), "dropped": i.body.is_none() })
            }
            JournalEvent::Worker(w) => {
                json!({ "worker": &*w.id, "service_ref": &*w.service, "phase": phase_name(w.phase), "call_count": w.heartbeat_seq })
            }
            JournalEvent::Rejected(reason) => json!({ "refused": reason }),
            JournalEvent::Acknowledged { copies } => json!({ "acknowledged": true, "copies": copies }),
            JournalEvent::TimedOut(stage) => json!({ "too_few_in_time": stage.to_string() }),
            JournalEvent::QuotaLease { is_held } => json!({ "holds_counter": is_held }),
            JournalEvent::SnapshotInstalled => json!({ "caught_up": true }),
            JournalEvent::Leadership { is_leader, term } => json!({ "leads": is_leader, "term": term }),
            JournalEvent::Voters(voters) => json!({ "voters": voters }),
            JournalEvent::Suspended { secs } => json!({ "was_away_s": secs }),
        }
    }
}

/// Name of a phase in the operators' interface.
fn phase_name(phase: WorkerPhase) -> &'static str {
    match phase {
        WorkerPhase::Serving => "settled",
        WorkerPhase::Draining => "decaying",
        WorkerPhase::Unresponsive => "silent",
        WorkerPhase::Departed => "gone",
    }
}

struct JournalEntry {
    /// Sequence number, from 1 in the order of appending.
    number: u64,
    /// Time of the event, in seconds of the event clock.
    at: f64,
    event: JournalEvent,
}

/// The latest events, the newest last.
#[derive(Default)]
pub struct EventJournal {
    entries: VecDeque<JournalEntry>,
    /// Number of events appended so far, including dropped ones.
    appended: u64,
}

impl EventJournal {
    /// Appends an event that happened at `now`, and drops the oldest beyond `MAX_EVENTS`.
    pub fn append(&mut self, now: f64, event: JournalEvent) {
        self.appended += 1;
        self.entries.push_back(JournalEntry { number: self.appended, at: now, event });
        while self.entries.len() > MAX_EVENTS {
            self.entries.pop_front();
        }
    }

    /// Merges a worker into the registry, and appends an event if that changed the worker's entry. Heartbeats of an
    /// unchanged worker cause no event. `retention_secs` is the time for which the registry keeps a worker that has
    /// departed or is unresponsive.
    pub fn merge_worker(
        &mut self,
        now: f64,
        worker: Worker,
        registry: &mut WorkerRegistry,
        retention_secs: f64,
    ) -> MergeOutcome {
        let outcome = registry.merge(now, worker.clone(), retention_secs);
        if outcome == MergeOutcome::Changed {
            self.append(now, JournalEvent::Worker(worker));
        }
        outcome
    }

    /// The journal as JSON. The age of each event is in seconds, rounded to milliseconds.
    pub fn render(&self, now: f64) -> Value {
        let render_entry = |entry: &JournalEntry| {
            let mut rendered = entry.event.render();
            rendered["number"] = json!(entry.number);
            rendered["age_s"] = json!(((now - entry.at) * 1e3).round() / 1e3);
            rendered
        };
        json!({ "appended": self.appended, "facts": self.entries.iter().map(render_entry).collect::<Vec<_>>() })
    }
}

#[cfg(test)]
#[path = "event_journal_tests.rs"]
mod tests;
