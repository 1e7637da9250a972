//! The decision module's clock.

use std::time::{Duration, Instant, SystemTime};

/// Unix time that never jumps: the system clock is read once and only elapsed time is added. All gatekeepers thus
/// have the same windows, and a node's start time can be compared with it.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix_at_start: Duration,
}

impl Clock {
    /// Starts from the system clock.
    pub fn start() -> Self {
        let unix_at_start = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix_at_start }
    }

    /// Time since the Unix epoch.
    pub fn now(&self) -> Duration {
        self.unix_at_start + self.started.elapsed()
    }
}
