//! Tests of which events the journal keeps.

use crate::control_plane::event_journal::{EventJournal, JournalEvent, MAX_EVENTS};
use crate::discovery::{Worker, WorkerPhase, WorkerRegistry};
use googletest::prelude::*;
use serde_json::json;

fn worker(heartbeat_seq: u64, port: u16) -> Worker {
    Worker {
        id: "i-1".into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], port).into(),
        zone: "a".into(),
        capacity: 1,
        phase: WorkerPhase::Serving,
        warmup_ms: 0,
        heartbeat_seq,
    }
}

/// The journal's memory is bounded, and events stay in order.
#[gtest]
fn newest_events_are_kept_and_unchanged_workers_are_not_recorded() {
    let (mut journal, mut registry) = (EventJournal::default(), WorkerRegistry::default());
    for n in 1..=MAX_EVENTS as u64 + 10 {
        // The second report is stale, and the third changes only the sequence number: neither is recorded.
        for heartbeat_seq in [2 * n, 2 * n, 2 * n + 1] {
            journal.merge_worker(n as f64, worker(heartbeat_seq, n as u16), &mut registry, 60.0);
        }
    }
    let rendered = journal.render(MAX_EVENTS as f64 + 20.0);
    expect_that!(rendered["appended"], eq(&json!(MAX_EVENTS + 10)));
    let events = rendered["facts"].as_array().expect("a list");
    expect_that!(events.len(), eq(MAX_EVENTS));
    expect_that!(events[0]["call_count"], eq(&json!(22)));
    expect_that!(events[MAX_EVENTS - 1]["age_s"], eq(&json!(10.0)));
    expect_that!(registry.get("i-1").map(|w| w.address.port()), some(eq(MAX_EVENTS as u16 + 10)));
    journal.append(MAX_EVENTS as f64 + 20.0, JournalEvent::Voters(vec!["10.0.0.1/0".into()]));
    expect_that!(
        journal.render(MAX_EVENTS as f64 + 20.0)["facts"][MAX_EVENTS - 1]["voters"][0],
        eq(&json!("10.0.0.1/0"))
    );
}
