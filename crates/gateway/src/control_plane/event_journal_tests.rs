//! What the journal keeps, and what it leaves out.

use crate::control_plane::event_journal::{Fact, Journal, KEPT};
use crate::discovery::registry::{Phase, Registry, Worker};
use googletest::prelude::*;
use serde_json::json;

fn worker(calls: u64, port: u16) -> Worker {
    Worker {
        id: "i-1".into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], port).into(),
        zone: "a".into(),
        capacity: 1,
        phase: Phase::Settled,
        warmup_ms: 0,
        calls,
    }
}

/// Guards memory, and the order in which things are told.
#[gtest]
fn the_newest_are_kept_and_what_changes_nothing_is_not() {
    let (mut journal, mut workers) = (Journal::default(), Registry::default());
    for n in 1..=KEPT as u64 + 10 {
        // The same call twice, and one that says only that it lives: neither is kept.
        for calls in [2 * n, 2 * n, 2 * n + 1] {
            journal.worker(n as f64, worker(calls, n as u16), &mut workers, 60.0);
        }
    }
    let told = journal.tell(KEPT as f64 + 20.0);
    expect_that!(told["appended"], eq(&json!(KEPT + 10)));
    let facts = told["facts"].as_array().expect("a list");
    expect_that!(facts.len(), eq(KEPT));
    expect_that!(facts[0]["call_count"], eq(&json!(22)));
    expect_that!(facts[KEPT - 1]["age_s"], eq(&json!(10.0)));
    expect_that!(workers.get("i-1").map(|w| w.address.port()), some(eq(KEPT as u16 + 10)));
    journal.append(KEPT as f64 + 20.0, Fact::Voters(vec!["10.0.0.1/0".into()]));
    expect_that!(journal.tell(KEPT as f64 + 20.0)["facts"][KEPT - 1]["voters"][0], eq(&json!("10.0.0.1/0")));
}
