//! Slow start of a zone that was ejected, with exponential backoff between ejections.
//!
//! After an ejection the zone receives nothing until its backoff has passed. Its share of load then rises
//! linearly from zero to its full value over the slow-start window. Each gatekeeper stretches or shortens the
//! window by a fixed jitter of its own, so that the gatekeepers do not raise their load in step. A zone that
//! is ejected again during its slow start, or soon after it, is flapping: each flap doubles the backoff, up to
//! an upper bound, until the zone has stayed in service for that bound after its slow start.
//!
//! Pure arithmetic on times that are passed in, in seconds on the caller's clock.

/// Parameters of slow start and backoff.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartSettings {
    /// Length of the slow-start window, in seconds, before jitter.
    pub window_secs: f64,
    /// Fraction of the window by which gatekeepers differ in either direction, 0 to 0.9.
    pub jitter: f64,
    /// Backoff after a first ejection, in seconds.
    pub backoff_secs: f64,
    /// Upper bound on the backoff, in seconds.
    pub max_backoff_secs: f64,
}

/// Slow-start and backoff state of one zone.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStart {
    /// When the last slow start began; `None` if there was none, or the zone was ejected or stayed in service since.
    started_secs: Option<f64>,
    /// Flaps since the backoff was last reset.
    pub flaps: u32,
    /// This gatekeeper's factor on the window.
    jitter_factor: f64,
}

impl SlowStart {
    /// Creates the state of a zone that was never ejected. `jitter_unit` is a number in [0, 1), constant for
    /// this gatekeeper, from which its jitter derives.
    pub fn new(settings: &SlowStartSettings, jitter_unit: f64) -> Self {
        let unit = if jitter_unit.is_finite() { jitter_unit.clamp(0.0, 1.0) } else { 0.5 };
        let jitter_factor = 1.0 + settings.jitter.clamp(0.0, 0.9) * (2.0 * unit - 1.0);
        SlowStart { started_secs: None, flaps: 0, jitter_factor }
    }

    /// The current backoff, in seconds: doubled with each flap, up to the upper bound.
    pub fn backoff_secs(&self, settings: &SlowStartSettings) -> f64 {
        let doubled = settings.backoff_secs * 2f64.powi(self.flaps.min(30) as i32);
        doubled.min(settings.max_backoff_secs.max(settings.backoff_secs))
    }

    /// This gatekeeper's slow-start window, in seconds.
    pub fn window_secs(&self, settings: &SlowStartSettings) -> f64 {
        settings.window_secs.max(1e-3) * self.jitter_factor
    }

    /// Records an ejection. It counts as a flap if it comes within two windows and one backoff of the start of
    /// the last slow start.
    pub fn eject(&mut self, now_secs: f64, settings: &SlowStartSettings) {
        let flap_span = 2.0 * self.window_secs(settings) + self.backoff_secs(settings);
        if self.started_secs.is_some_and(|started| now_secs - started < flap_span) {
            self.flaps += 1;
        }
        self.started_secs = None;
    }

    /// Begins a slow start, unless one is in progress.
    pub fn begin(&mut self, now_secs: f64) {
        self.started_secs.get_or_insert(now_secs);
    }

    /// Fraction of its full share that the zone may take, 0 to 1. It rises no faster than one per window.
    pub fn factor(&self, now_secs: f64, settings: &SlowStartSettings) -> f64 {
        match self.started_secs {
            None => 1.0,
            Some(started) => ((now_secs - started) / self.window_secs(settings)).clamp(0.0, 1.0),
        }
    }

    /// Whether no slow start is in progress.
    pub fn is_complete(&self, now_secs: f64, settings: &SlowStartSettings) -> bool {
        self.started_secs.is_none_or(|started| now_secs - started >= self.window_secs(settings))
    }

    /// Resets the backoff once the zone has stayed in service for the longest backoff after its slow start.
    pub fn reset_backoff_if_stable(&mut self, now_secs: f64, settings: &SlowStartSettings) {
        let Some(started) = self.started_secs else { return };
        if now_secs - started >= self.window_secs(settings) + settings.max_backoff_secs {
            self.flaps = 0;
            self.started_secs = None;
        }
    }
}

#[cfg(test)]
#[path = "slow_start_tests.rs"]
mod tests;
