//! The decision module's clock.

use std::time::{Duration, Instant, SystemTime};

/// Monotonic Unix time: the system clock is read once at the start, and elapsed monotonic time is added. Unix time
/// aligns the quota windows of all gatekeepers and is comparable with the start times of nodes.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix_at_start: Duration,
}

impl Clock {
    /// Creates a clock that starts at the current time of the system clock.
    pub fn start() -> Self {
        let unix_at_start = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix_at_start }
    }

    /// Time since the Unix epoch.
    pub fn now(&self) -> Duration {
        self.unix_at_start + self.started.elapsed()
    }
}
