//! The core's timer queue.

use std::collections::BTreeMap;
use std::time::Duration;
use whinstall::{HostId, RequestId};

/// What a timer is for.
pub(super) enum Timer {
    /// A timer of the decision module, with its token.
    Module(String),
    /// The session is past its client's deadline.
    SessionOverdue(RequestId),
    /// The attempt has run for the zones' silence timeout.
    AttemptSilent { id: RequestId, number: u32, node: HostId },
    /// Zones are evaluated for their slow starts and hold-offs.
    EvaluateZones,
    /// The counter's modes are checked, to be logged.
    LogCounter,
}

/// Identifies a timer; ordered by due time, then by the order of insertion.
pub(super) type TimerKey = (Duration, u64);

/// Timers by due time.
#[derive(Default)]
pub(super) struct TimerQueue {
    timers: BTreeMap<TimerKey, Timer>,
    inserted: u64,
}

impl TimerQueue {
    /// Inserts a timer that is due at this time of the core's clock.
    pub(super) fn insert(&mut self, at: Duration, timer: Timer) -> TimerKey {
        self.inserted += 1;
        let key = (at, self.inserted);
        self.timers.insert(key, timer);
        key
    }

    /// Removes a timer, if it has not fired.
    pub(super) fn remove(&mut self, key: &TimerKey) {
        self.timers.remove(key);
    }

    /// When the next timer is due.
    pub(super) fn next_due(&self) -> Option<Duration> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes the next timer that is due by `now`.
    pub(super) fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        let first = self.timers.first_entry().filter(|e| e.key().0 <= now)?;
        Some(first.remove())
    }
}
