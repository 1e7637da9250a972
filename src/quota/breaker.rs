//! A circuit breaker for calls of one kind.
//!
//! The breaker is closed while calls are answered, open after a number of consecutive failures, and half-open once its
//! wait is over, when a single trial call may go out. Each failed trial doubles the wait, up to a maximum (exponential
//! backoff). Waits are jittered, so that many gatekeepers do not all reach a counter at the moment it returns. The
//! caller passes in time and random draws: the breaker reads no clock and has no generator.

/// Settings of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BreakerSettings {
    /// Consecutive failures that open the breaker.
    pub failures: u32,
    /// Wait until the first trial call, in seconds, before jitter.
    pub first_wait_secs: f64,
    /// Upper bound of the wait, in seconds, before jitter.
    pub max_wait_secs: f64,
}

/// One circuit breaker. Times are seconds on the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Breaker {
    /// Number of failures since the last success.
    consecutive_failures: u32,
    /// Time before which an open breaker admits no call.
    open_until: f64,
    /// Whether the trial call of a half-open breaker is in flight.
    is_trial_in_flight: bool,
}

/// Upper bound of the doublings of the wait, which has reached its maximum long before: keeps the power finite.
const MAX_DOUBLINGS: u32 = 30;

impl Breaker {
    /// Whether a call may go out at `now`. A half-open breaker admits one at a time.
    pub fn admits(&self, now: f64, settings: &BreakerSettings) -> bool {
        !self.is_open(settings) || (now >= self.open_until && !self.is_trial_in_flight)
    }

    /// The time from which a call may go out; negative infinity while the breaker is closed.
    pub fn next_call_at(&self, settings: &BreakerSettings) -> f64 {
        if self.is_open(settings) {
            self.open_until
        } else {
            f64::NEG_INFINITY
        }
    }

    /// Records that a call goes out.
    pub fn call_sent(&mut self, settings: &BreakerSettings) {
        self.is_trial_in_flight = self.is_open(settings);
    }

    /// Records that a call was answered: closes the breaker and forgets its backoff.
    pub fn call_succeeded(&mut self) {
        *self = Breaker::default();
    }

    /// Records that a call failed at `now`. `jitter` is a draw from [0, 1); the wait is scaled by 0.5 to 1.5 with it.
    pub fn call_failed(&mut self, now: f64, jitter: f64, settings: &BreakerSettings) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.is_trial_in_flight = false;
        if let Some(doublings) = self.consecutive_failures.checked_sub(settings.failures) {
            let backoff = settings.first_wait_secs * 2f64.powi(doublings.min(MAX_DOUBLINGS) as i32);
            let wait = backoff.min(settings.max_wait_secs.max(settings.first_wait_secs));
            self.open_until = now + wait * (0.5 + jitter.clamp(0.0, 1.0));
        }
    }

    /// Whether the breaker is open or half-open.
    pub fn is_open(&self, settings: &BreakerSettings) -> bool {
        self.consecutive_failures >= settings.failures.max(1)
    }
}

#[cfg(test)]
#[path = "breaker_tests.rs"]
mod tests;
