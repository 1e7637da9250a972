//! A circuit breaker for calls of one kind: closed while they are answered, open for a while after some in a row
//! were not, then half open for one trial. Each failed trial doubles the wait, jittered by a draw of the caller's,
//! so that many gatekeepers do not meet a returning counter at once. It owns that arithmetic only, and must never
//! read a clock or draw a number itself.

/// What a breaker is set by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BreakerSettings {
    /// Failures in a row that open it.
    pub failures: u32,
    /// Seconds until its first trial.
    pub first: f64,
    /// The longest wait for a trial, in seconds.
    pub most: f64,
}

/// One breaker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Breaker {
    /// Failures since the last success.
    failures: u32,
    /// No call before this.
    until: f64,
    /// A trial is out.
    trial: bool,
}

impl Breaker {
    /// May a call go out at `now`? While it is half open, one at a time may.
    pub fn admits(&self, now: f64, s: &BreakerSettings) -> bool {
        !self.is_open(s) || (now >= self.until && !self.trial)
    }

    /// When the next call may be tried; a time that has passed: now.
    pub fn next(&self, s: &BreakerSettings) -> f64 {
        if self.is_open(s) {
            self.until
        } else {
            f64::NEG_INFINITY
        }
    }

    /// A call goes out.
    pub fn sent(&mut self, s: &BreakerSettings) {
        self.trial = self.is_open(s);
    }

    /// A call was answered.
    pub fn succeeded(&mut self) {
        *self = Breaker::default();
    }

    /// A call failed at `now`; `unit` in [0, 1) is the caller's draw: waits lie between half and one and a half.
    pub fn failed(&mut self, now: f64, unit: f64, s: &BreakerSettings) {
        self.failures = self.failures.saturating_add(1);
        self.trial = false;
        if let Some(doublings) = self.failures.checked_sub(s.failures) {
            let wait = (s.first * 2f64.powi(doublings.min(30) as i32)).min(s.most.max(s.first));
            self.until = now + wait * (0.5 + unit.clamp(0.0, 1.0));
        }
    }

    /// Is it open, or half open?
    pub fn is_open(&self, s: &BreakerSettings) -> bool {
        self.failures >= s.failures.max(1)
    }
}

#[cfg(test)]
#[path = "breaker_tests.rs"]
mod tests;
