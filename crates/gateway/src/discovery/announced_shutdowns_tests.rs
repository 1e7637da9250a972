//! What the record of announcements retains, and what it makes of reports.

use super::*;
use googletest::prelude::*;

fn announcement(id: &str, phase: ShutdownPhase) -> ShutdownAnnouncement {
    ShutdownAnnouncement { worker_id: id.into(), phase }
}

fn reported(id: &str, phase: WorkerPhase) -> Worker {
    Worker {
        id: id.into(),
        service: "planer".into(),
        address: ([10, 0, 3, 1], 80).into(),
        zone: "a".into(),
        capacity: 3,
        phase,
        warmup_ms: 0,
        heartbeat_seq: 1,
    }
}

/// Guards against a report that takes a worker back behind the phase that it announced.
#[gtest]
fn report_is_restricted_to_the_latest_announced_phase() {
    use WorkerPhase::{Departed, Draining, Serving, Unresponsive};
    let restricted = |shutdowns: &AnnouncedShutdowns| {
        [Serving, Draining, Unresponsive, Departed]
            .map(|phase| shutdowns.restrict(reported("i-1", phase)).phase)
    };
    let mut shutdowns = AnnouncedShutdowns::default();
    shutdowns.record(3, &announcement("i-2", ShutdownPhase::Departed));
    expect_that!(restricted(&shutdowns), eq([Serving, Draining, Unresponsive, Departed]));
    shutdowns.record(4, &announcement("i-1", ShutdownPhase::Draining));
    expect_that!(restricted(&shutdowns), eq([Draining, Draining, Unresponsive, Departed]));
    shutdowns.record(5, &announcement("i-1", ShutdownPhase::Departed));
    // A repeated or earlier announcement changes nothing.
    shutdowns.record(6, &announcement("i-1", ShutdownPhase::Draining));
    shutdowns.record(7, &announcement("i-1", ShutdownPhase::Departed));
    expect_that!(restricted(&shutdowns), eq([Departed; 4]));
    expect_that!(shutdowns.index_of(&announcement("i-1", ShutdownPhase::Draining)), some(eq(5)));
    expect_that!(shutdowns.index_of(&announcement("i-3", ShutdownPhase::Draining)), none());
}

/// Guards against a record without a bound, and against one that forgets late announcements first.
#[gtest]
fn earliest_announcement_is_forgotten_beyond_the_bound() {
    let mut shutdowns = AnnouncedShutdowns::default();
    let retained = MAX_ANNOUNCED_SHUTDOWNS as u64;
    for index in 1..=retained {
        shutdowns.record(index, &announcement(&format!("i-{index}"), ShutdownPhase::Draining));
    }
    shutdowns.record(retained + 1, &announcement("i-1", ShutdownPhase::Departed));
    shutdowns.record(retained + 2, &announcement("i-next", ShutdownPhase::Departed));
    expect_that!(shutdowns.len(), eq(MAX_ANNOUNCED_SHUTDOWNS));
    for (id, is_retained) in [("i-1", true), ("i-2", false), ("i-3", true), ("i-next", true)] {
        let index = shutdowns.index_of(&announcement(id, ShutdownPhase::Draining));
        expect_that!(index.is_some(), eq(is_retained), "{id}");
    }
}

/// Guards against a decoded record that forgets other announcements than the encoded one would have.
#[gtest]
fn record_is_the_same_after_encoding() {
    let mut shutdowns = AnnouncedShutdowns::default();
    for (index, id) in [(4, "i-2"), (9, "i-1"), (11, "i-3")] {
        shutdowns.record(index, &announcement(id, ShutdownPhase::Draining));
    }
    shutdowns.record(12, &announcement("i-2", ShutdownPhase::Departed));
    let encoded = rmp_serde::to_vec(&shutdowns).expect("encoded");
    let decoded: AnnouncedShutdowns = rmp_serde::from_slice(&encoded).expect("decoded");
    expect_that!(decoded, eq(&shutdowns));
}
