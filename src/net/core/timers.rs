//! The core's timer queue.

use std::collections::BTreeMap;
use std::time::Duration;
use whinstall::{HostId, RequestId};

/// Purpose of a timer.
pub(super) enum Timer {
    /// A timer that the decision module set, with the module's token.
    Module(String),
    /// The deadline of the session's client has passed.
    SessionOverdue(RequestId),
    /// The attempt has run for the detection timeout of zone failover.
    DetectionTimeout { id: RequestId, number: u32, node: HostId },
    /// Zone weights are due for re-evaluation: slow starts and backoffs progress without events.
    EvaluateZones,
    /// Mode changes of the quota counter are due to be logged.
    LogCounter,
}

/// Key of a timer: due time on the core's clock, then order of insertion.
pub(super) type TimerKey = (Duration, u64);

/// Timer queue ordered by due time.
#[derive(Default)]
pub(super) struct TimerQueue {
    timers: BTreeMap<TimerKey, Timer>,
    insert_count: u64,
}

impl TimerQueue {
    /// Inserts a timer that is due at `at` on the core's clock.
    pub(super) fn insert(&mut self, at: Duration, timer: Timer) -> TimerKey {
        self.insert_count += 1;
        let key = (at, self.insert_count);
        self.timers.insert(key, timer);
        key
    }

    /// Removes a timer; no effect if it has fired.
    pub(super) fn remove(&mut self, key: &TimerKey) {
        self.timers.remove(key);
    }

    /// Due time of the next timer.
    pub(super) fn next_due(&self) -> Option<Duration> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the next timer if it is due by `now`.
    pub(super) fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        let first = self.timers.first_entry().filter(|e| e.key().0 <= now)?;
        Some(first.remove())
    }
}
