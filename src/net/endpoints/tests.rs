use super::schedule::{PollSchedule, LIST_PATH, LIST_TIMEOUT};
use super::EndpointList;
use crate::net::outcome::ExchangeOutcome;
use std::time::Duration;

fn list(rev: u64, all: bool) -> EndpointList {
    EndpointList { rev, all, targets: Vec::new() }
}

fn schedule(replicas: u32, seed: u64) -> PollSchedule {
    PollSchedule::new(41, replicas, seed)
}

/// A fleet that starts at once must not overload discovery. The simulated discovery handles 20 requests per second in
/// order of arrival and rejects a request that has waited for more than 2 s, after the work on it. With a fixed retry
/// interval of 100 ms, a hundred gatekeepers that start at once send ten requests per second for good, and hardly any
/// of them is ever answered.
#[test]
fn a_fleet_that_starts_at_once_is_answered_by_a_slow_discovery() {
    for replicas in [3, 30, 100, 300] {
        let mut fleet: Vec<PollSchedule> =
            (0..replicas).map(|n| schedule(replicas, u64::from(n) + 7)).collect();
        let mut requests: std::collections::BinaryHeap<_> =
            (0..replicas as usize).map(|n| std::cmp::Reverse((fleet[n].start_delay(), n))).collect();
        let (mut idle_at, mut answered, mut sent) = (Duration::ZERO, 0, 0);
        while let Some(std::cmp::Reverse((at, n))) = requests.pop().filter(|r| r.0 .0 < LIST_TIMEOUT * 120) {
            sent += 1;
            let started_at = idle_at.max(at);
            idle_at = started_at + Duration::from_millis(50);
            let is_late = started_at - at > LIST_TIMEOUT;
            answered += u32::from(!is_late);
            if is_late {
                let backoff = fleet[n].on_failure(ExchangeOutcome::UnexpectedStatus);
                requests.push(std::cmp::Reverse((at + LIST_TIMEOUT + backoff, n)));
            }
        }
        assert_eq!(answered, replicas, "of {replicas}, {sent} requests");
        assert!(sent < 5 * replicas, "of {replicas}, {sent} requests");
    }
}

/// The watch continues from its revision as long as discovery runs. The full list is requested only if discovery may
/// have restarted, since its revisions then count from zero.
#[test]
fn the_full_list_is_requested_only_where_the_watch_cannot_continue() {
    let is_full = |s: &PollSchedule| s.next_request().0.as_str() == LIST_PATH;
    let mut s = schedule(100, 1);
    assert!(!is_full(&s), "the first request continues from the configured revision");
    s.on_failure(ExchangeOutcome::UnexpectedStatus);
    assert!(!is_full(&s), "a rejected request does not request the full list");
    assert!(s.on_list(&list(45, false)) && !is_full(&s));
    assert!(!s.on_list(&list(7, false)) && is_full(&s), "a lower revision requests the full list");
    assert!(s.on_list(&list(7, true)) && !is_full(&s));
    for outcome in
        [ExchangeOutcome::ConnectionLost, ExchangeOutcome::NotSent, ExchangeOutcome::InvalidResponse]
    {
        s.on_failure(outcome);
        assert!(is_full(&s), "{outcome:?}");
        s.on_list(&list(7, true));
    }
}
