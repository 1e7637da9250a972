//! The way back for a hall that was lost: its load ramps from nothing to its share over the ramp time,
//! stretched or shortened by a jitter of this gatekeeper's own so that the fleet does not step together, and it
//! begins only once the hold-off is over. Each flap (lost again within the ramp or soon
//! after) doubles the hold-off up to its most; a hall that stays whole long enough is forgiven its flaps. It
//! owns that time arithmetic only and must never read a clock.

/// What the way back is set by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RampSettings {
    /// Seconds from the start of a return to the full share.
    pub ramp: f64,
    /// Part of `ramp` by which gatekeepers differ, either way.
    pub jitter: f64,
    /// Seconds a lost hall is left alone before it is tried again; doubles with each flap.
    pub hold: f64,
    /// The longest hold-off.
    pub hold_most: f64,
}

/// The return of one hall.
#[derive(Clone, Debug, PartialEq)]
pub struct Ramp {
    /// Since when the hall returns; `None`: not returning.
    started: Option<f64>,
    /// Flaps not yet forgiven.
    pub flaps: u32,
    /// This gatekeeper's factor on the ramp time.
    stretch: f64,
}

impl Ramp {
    /// A ramp whose jitter is drawn from `unit`, a number in [0, 1) of this gatekeeper's own.
    pub fn new(settings: &RampSettings, unit: f64) -> Self {
        let unit = if unit.is_finite() { unit.clamp(0.0, 1.0) } else { 0.5 };
        let stretch = 1.0 + settings.jitter.clamp(0.0, 0.9) * (2.0 * unit - 1.0);
        Ramp { started: None, flaps: 0, stretch }
    }

    /// The hold-off now in force.
    pub fn hold(&self, settings: &RampSettings) -> f64 {
        (settings.hold * 2f64.powi(self.flaps.min(30) as i32)).min(settings.hold_most.max(settings.hold))
    }

    /// The ramp time of this gatekeeper.
    pub fn length(&self, settings: &RampSettings) -> f64 {
        settings.ramp.max(1e-3) * self.stretch
    }

    /// The hall is lost at `now`. A loss during a return, or within a ramp time after one, is a flap.
    pub fn lost(&mut self, now: f64, settings: &RampSettings) {
        let recent =
            self.started.is_some_and(|s| now - s < 2.0 * self.length(settings) + self.hold(settings));
        if recent {
            self.flaps += 1;
        }
        self.started = None;
    }

    /// The hall begins its return at `now`.
    pub fn returning(&mut self, now: f64) {
        self.started.get_or_insert(now);
    }

    /// Part of its share that the hall may take at `now`: 0 to 1, never rising faster than the ramp.
    pub fn factor(&self, now: f64, settings: &RampSettings) -> f64 {
        match self.started {
            None => 1.0,
            Some(s) => ((now - s) / self.length(settings)).clamp(0.0, 1.0),
        }
    }

    /// Is the return over at `now`? Long whole, it is also forgiven its flaps.
    pub fn settle(&mut self, now: f64, settings: &RampSettings) -> bool {
        let Some(s) = self.started else { return true };
        if now - s >= self.length(settings) {
            if now - s >= self.length(settings) + settings.hold_most {
                self.flaps = 0;
                self.started = None;
            }
            return true;
        }
        false
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: RampSettings = RampSettings { ramp: 10.0, jitter: 0.2, hold: 1.0, hold_most: 16.0 };

    #[test]
    fn ramps_linearly_with_jitter() {
        let mut r = Ramp::new(&S, 1.0);
        assert_eq!(r.length(&S), 12.0);
        r.returning(5.0);
        assert_eq!(r.factor(5.0, &S), 0.0);
        assert!((r.factor(11.0, &S) - 0.5).abs() < 1e-12);
        assert_eq!(r.factor(20.0, &S), 1.0);
        assert_eq!(Ramp::new(&S, 0.0).length(&S), 8.0);
    }

    #[test]
    fn flaps_double_the_hold_off_and_are_forgiven() {
        let mut r = Ramp::new(&S, 0.5);
        r.lost(0.0, &S);
        assert_eq!(r.hold(&S), 1.0, "a first loss is no flap");
        for (n, t) in [(1, 3.0), (2, 6.0), (3, 9.0), (4, 12.0), (4, 15.0)] {
            r.returning(t - 1.0);
            r.lost(t, &S);
            assert_eq!(r.hold(&S), f64::from(1 << n.min(4)).min(16.0));
        }
        r.returning(20.0);
        assert!(r.settle(31.0, &S));
        assert_eq!(r.flaps, 5, "not yet forgiven");
        assert!(r.settle(47.0, &S));
        assert_eq!(r.flaps, 0);
    }
}
