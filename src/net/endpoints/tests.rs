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

/// Protects discovery from the whole fleet: it handles 20 requests a second, in turn, and rejects one that has
/// waited for 2 s but works on it all the same. With a fixed interval of 100 ms, a hundred gatekeepers that start at
/// once send ten requests a second for good, and hardly any of them is ever answered.
#[test]
fn a_fleet_that_starts_at_once_is_answered_by_a_slow_discovery() {
    for replicas in [3, 30, 100, 300] {
        let mut fleet: Vec<PollSchedule> =
            (0..replicas).map(|n| schedule(replicas, u64::from(n) + 7)).collect();
        let mut requests: std::collections::BinaryHeap<_> =
            (0..replicas as usize).map(|n| std::cmp::Reverse((fleet[n].start_delay(), n))).collect();
        let (mut free, mut answered, mut sent) = (Duration::ZERO, 0, 0);
        while let Some(std::cmp::Reverse((at, n))) = requests.pop().filter(|r| r.0 .0 < LIST_TIMEOUT * 120) {
            sent += 1;
            let begun = free.max(at);
            free = begun + Duration::from_millis(50);
            let is_late = begun - at > LIST_TIMEOUT;
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

/// A watch continues from the revision held while discovery lives; what may be another incarnation is asked for the
/// full list.
#[test]
fn the_full_list_is_requested_only_where_the_watch_cannot_continue() {
    let is_full = |s: &PollSchedule| s.next_request().0.as_str() == LIST_PATH;
    let mut s = schedule(100, 1);
    assert!(!is_full(&s), "it starts from the configured revision");
    s.on_failure(ExchangeOutcome::UnexpectedStatus);
    assert!(!is_full(&s), "rejected");
    assert!(s.on_list(&list(45, false)) && !is_full(&s));
    assert!(!s.on_list(&list(7, false)) && is_full(&s), "another incarnation counts from zero");
    assert!(s.on_list(&list(7, true)) && !is_full(&s));
    for outcome in
        [ExchangeOutcome::ConnectionLost, ExchangeOutcome::NotSent, ExchangeOutcome::InvalidResponse]
    {
        s.on_failure(outcome);
        assert!(is_full(&s), "{outcome:?}");
        s.on_list(&list(7, true));
    }
}
