//! Owns the journal of the core role: what was taken, refused, acknowledged and lost, appended in memory in the order
//! it happened. The lists of items and workers are views folded from it; of what was folded the newest part is kept,
//! for whoever asks what this process did. It must never decide anything, nor grow without bound.

use crate::configuration::ConfigItem;
use crate::discovery::{MergeOutcome, Worker, WorkerPhase, WorkerRegistry};
use serde_json::{json, Value};
use std::collections::VecDeque;

/// Entries that are kept.
pub(crate) const MAX_EVENTS: usize = 2000;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum JournalEvent {
    /// An item was heard of, by a call or from another core machine.
    Item(ConfigItem),
    /// A worker was heard of.
    Worker(Worker),
    /// A call was judged invalid.
    Refused(String),
    /// Enough disks hold a call.
    Acknowledged(usize),
    /// Too few core machines answered a call in time.
    Unanswered(&'static str),
    /// This machine holds the counter from now on, or no longer.
    Holds(bool),
    /// This machine took a snapshot of the others' state.
    CaughtUp,
    /// This machine leads the log from now on, or no longer; in which term.
    Leads(bool, u64),
    /// Who votes in the log.
    Voters(Vec<String>),
    /// This process did not run for so many seconds.
    Away(f64),
}

impl JournalEvent {
    fn tell(&self) -> Value {
        match self {
            JournalEvent::Item(i) => {
                json!({ "item": i.label, "list": i.kind.set_name(), "revision": format!("r{}", i.version), "dropped": i.body.is_none() })
            }
            JournalEvent::Worker(w) => {
                json!({ "worker": &*w.id, "service_ref": &*w.service, "phase": phase(w.phase), "call_count": w.call_count })
            }
            JournalEvent::Refused(why) => json!({ "refused": why }),
            JournalEvent::Acknowledged(copies) => json!({ "acknowledged": true, "copies": copies }),
            JournalEvent::Unanswered(what) => json!({ "too_few_in_time": what }),
            JournalEvent::Holds(holds) => json!({ "holds_counter": holds }),
            JournalEvent::CaughtUp => json!({ "caught_up": true }),
            JournalEvent::Leads(leads, term) => json!({ "leads": leads, "term": term }),
            JournalEvent::Voters(who) => json!({ "voters": who }),
            JournalEvent::Away(seconds) => json!({ "was_away_s": seconds }),
        }
    }
}

fn phase(phase: WorkerPhase) -> &'static str {
    match phase {
        WorkerPhase::Serving => "settled",
        WorkerPhase::Draining => "decaying",
        WorkerPhase::Unresponsive => "silent",
        WorkerPhase::Departed => "gone",
    }
}

/// What happened, the newest last.
#[derive(Default)]
pub struct EventJournal {
    facts: VecDeque<(u64, f64, JournalEvent)>,
    appended: u64,
}

impl EventJournal {
    /// Something happened at `now`.
    pub fn append(&mut self, now: f64, fact: JournalEvent) {
        self.appended += 1;
        self.facts.push_back((self.appended, now, fact));
        while self.facts.len() > MAX_EVENTS {
            self.facts.pop_front();
        }
    }

    /// Appends a worker and folds it. What only says that it lives is not kept.
    pub fn worker(&mut self, now: f64, worker: Worker, view: &mut WorkerRegistry, keep: f64) -> MergeOutcome {
        let merged = view.merge(now, worker.clone(), keep);
        if merged == MergeOutcome::Changed {
            self.append(now, JournalEvent::Worker(worker));
        }
        merged
    }

    /// What is kept, with ages in seconds.
    pub fn tell(&self, now: f64) -> Value {
        let entry = |(number, at, fact): &(u64, f64, JournalEvent)| {
            let mut told = fact.tell();
            (told["number"], told["age_s"]) = (json!(number), json!(((now - at) * 1e3).round() / 1e3));
            told
        };
        json!({ "appended": self.appended, "facts": self.facts.iter().map(entry).collect::<Vec<_>>() })
    }
}
