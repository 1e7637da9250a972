//! What the journal keeps, and what it leaves out.

use crate::control_plane::event_journal::{EventJournal, JournalEvent, MAX_EVENTS};
use crate::discovery::{Worker, WorkerPhase, WorkerRegistry};
use googletest::prelude::*;
use serde_json::json;

fn worker(calls: u64, port: u16) -> Worker {
    Worker {
        id: "i-1".into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], port).into(),
        zone: "a".into(),
        capacity: 1,
        phase: WorkerPhase::Serving,
        warmup_ms: 0,
        call_count: calls,
    }
}

/// Guards memory, and the order in which things are told.
#[gtest]
fn the_newest_are_kept_and_what_changes_nothing_is_not() {
    let (mut journal, mut workers) = (EventJournal::default(), WorkerRegistry::default());
    for n in 1..=MAX_EVENTS as u64 + 10 {
        // The same call twice, and one that says only that it lives: neither is kept.
        for calls in [2 * n, 2 * n, 2 * n + 1] {
            journal.worker(n as f64, worker(calls, n as u16), &mut workers, 60.0);
        }
    }
    let told = journal.tell(MAX_EVENTS as f64 + 20.0);
    expect_that!(told["appended"], eq(&json!(MAX_EVENTS + 10)));
    let facts = told["facts"].as_array().expect("a list");
    expect_that!(facts.len(), eq(MAX_EVENTS));
    expect_that!(facts[0]["call_count"], eq(&json!(22)));
    expect_that!(facts[MAX_EVENTS - 1]["age_s"], eq(&json!(10.0)));
    expect_that!(workers.get("i-1").map(|w| w.address.port()), some(eq(MAX_EVENTS as u16 + 10)));
    journal.append(MAX_EVENTS as f64 + 20.0, JournalEvent::Voters(vec!["10.0.0.1/0".into()]));
    expect_that!(
        journal.tell(MAX_EVENTS as f64 + 20.0)["facts"][MAX_EVENTS - 1]["voters"][0],
        eq(&json!("10.0.0.1/0"))
    );
}
