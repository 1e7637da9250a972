//! Owns the journal of the core role: what was taken, refused, acknowledged and lost, appended in memory in the order
//! it happened. The lists of items and workers are views folded from it; of what was folded the newest part is kept,
//! for whoever asks what this process did. It must never decide anything, nor grow without bound.

use crate::configuration::Item;
use crate::discovery::registry::{Merge, Phase, Registry, Worker};
use serde_json::{json, Value};
use std::collections::VecDeque;

/// Entries that are kept.
pub(crate) const KEPT: usize = 2000;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Fact {
    /// An item was heard of, by a call or from another core machine.
    Item(Item),
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

impl Fact {
    fn tell(&self) -> Value {
        match self {
            Fact::Item(i) => {
                json!({ "item": i.label, "list": i.kind.list(), "revision": format!("r{}", i.version), "dropped": i.body.is_none() })
            }
            Fact::Worker(w) => {
                json!({ "worker": &*w.id, "service_ref": &*w.service, "phase": phase(w.phase), "call_count": w.calls })
            }
            Fact::Refused(why) => json!({ "refused": why }),
            Fact::Acknowledged(copies) => json!({ "acknowledged": true, "copies": copies }),
            Fact::Unanswered(what) => json!({ "too_few_in_time": what }),
            Fact::Holds(holds) => json!({ "holds_counter": holds }),
            Fact::CaughtUp => json!({ "caught_up": true }),
            Fact::Leads(leads, term) => json!({ "leads": leads, "term": term }),
            Fact::Voters(who) => json!({ "voters": who }),
            Fact::Away(seconds) => json!({ "was_away_s": seconds }),
        }
    }
}

fn phase(phase: Phase) -> &'static str {
    match phase {
        Phase::Settled => "settled",
        Phase::Decaying => "decaying",
        Phase::Silent => "silent",
        Phase::Gone => "gone",
    }
}

/// What happened, the newest last.
#[derive(Default)]
pub struct Journal {
    facts: VecDeque<(u64, f64, Fact)>,
    appended: u64,
}

impl Journal {
    /// Something happened at `now`.
    pub fn append(&mut self, now: f64, fact: Fact) {
        self.appended += 1;
        self.facts.push_back((self.appended, now, fact));
        while self.facts.len() > KEPT {
            self.facts.pop_front();
        }
    }

    /// Appends a worker and folds it. What only says that it lives is not kept.
    pub fn worker(&mut self, now: f64, worker: Worker, view: &mut Registry, keep: f64) -> Merge {
        let merged = view.merge(now, worker.clone(), keep);
        if merged == Merge::Changed {
            self.append(now, Fact::Worker(worker));
        }
        merged
    }

    /// What is kept, with ages in seconds.
    pub fn tell(&self, now: f64) -> Value {
        let entry = |(number, at, fact): &(u64, f64, Fact)| {
            let mut told = fact.tell();
            (told["number"], told["age_s"]) = (json!(number), json!(((now - at) * 1e3).round() / 1e3));
            told
        };
        json!({ "appended": self.appended, "facts": self.facts.iter().map(entry).collect::<Vec<_>>() })
    }
}
