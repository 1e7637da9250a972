//! How hard a hall is pressed, from the one thing that a gatekeeper sees of it beside its own share: how much
//! longer its answers take than answers took when nothing was pressed. It owns answer times by hall and a
//! common base, and turns them into a brake on spill; it must never loosen a limit, name a node or read a
//! clock.
//!
//! The bound on spill ([`super::locality::spill_limit`]) goes by the fleet's use as this gatekeeper's own rate
//! tells it. That is wrong wherever traffic is uneven, and nobody tells a gatekeeper so but the answers.

/// Weight of the newest answer in a hall's mean: some twenty answers, a second or two of traffic.
const ALPHA: f64 = 0.1;
/// A hall's mean counts from so many answers on...
const ENOUGH: f64 = 8.0;
/// ...and for so long after the last, in seconds.
const FRESH_S: f64 = 5.0;
/// The base follows a mean below it at once, and rises towards one above it with this time constant, in
/// seconds: what is slow for minutes is what is usual.
const RISE_S: f64 = 120.0;
/// Slowness up to which the brake is off: a mean over a mix of classes strays by a third on its own.
const FREE: f64 = 1.4;
/// Slowness up to which a hall is surely unpressed.
const EASY: f64 = 1.15;
/// Slowness from which nothing spills there.
const FULL: f64 = 2.2;

/// Answer times of one hall.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Times {
    /// Mean answer time, in seconds.
    mean: f64,
    /// Answers that it goes by, up to [`ENOUGH`].
    count: f64,
    /// When the last came.
    at: f64,
}

/// Answer times of all halls.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pressure {
    halls: Vec<Times>,
    /// Answer time of a hall that nothing presses, in seconds, and as of when.
    base: Option<(f64, f64)>,
}

impl Pressure {
    /// A node of `hall` answered a dispatch served after `took` seconds.
    pub fn answered(&mut self, now: f64, hall: usize, took: f64) {
        if !took.is_finite() || took < 0.0 {
            return;
        }
        if self.halls.len() <= hall {
            self.halls.resize(hall + 1, Times::default());
        }
        let t = &mut self.halls[hall];
        if now - t.at > FRESH_S {
            t.count = 0.0;
        }
        (t.count, t.at) = ((t.count + 1.0).min(1.0 / ALPHA), now);
        t.mean += (took - t.mean) / t.count;
        if t.count < ENOUGH {
            return;
        }
        let mean = t.mean;
        self.base = Some(match self.base {
            Some((base, at)) if mean > base => {
                (base + (mean - base) * (1.0 - ((at - now) / RISE_S).exp()).clamp(0.0, 1.0), now)
            }
            _ => (mean, now),
        });
    }

    /// How many times longer than unpressed a hall's answers take; `None`: it has answered too little lately.
    pub fn slowness(&self, now: f64, hall: usize) -> Option<f64> {
        let t = self.halls.get(hall).filter(|t| t.count >= ENOUGH && now - t.at <= FRESH_S)?;
        let (base, _) = self.base?;
        Some(if base > 0.0 { t.mean / base } else { 1.0 })
    }

    /// Part of its spill limit that a hall may take: 1 (nothing seen) down to 0.
    pub fn brake(&self, now: f64, hall: usize) -> f64 {
        self.slowness(now, hall).map_or(1.0, |s| ((FULL - s) / (FULL - FREE)).clamp(0.0, 1.0))
    }

    /// How far a hall is pressed: 0 while its answers take as long as ever, 1 once they clearly take longer.
    /// What has answered too little lately to tell is not pressed: the first of a spill will tell.
    pub fn pressed(&self, now: f64, hall: usize) -> f64 {
        self.slowness(now, hall).map_or(0.0, |s| ((s - EASY) / (FREE - EASY)).clamp(0.0, 1.0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_hall_that_slows_down_takes_less_and_then_nothing() {
        let mut p = Pressure::default();
        assert_eq!(p.brake(0.0, 1), 1.0, "nothing seen");
        for n in 0..40 {
            p.answered(f64::from(n) * 0.05, n as usize % 2, 0.1);
        }
        assert_eq!((p.brake(2.0, 0), p.brake(2.0, 1)), (1.0, 1.0));
        for n in 0..60 {
            p.answered(2.0 + f64::from(n) * 0.02, 1, 0.18);
        }
        let half = p.brake(3.2, 1);
        assert!((0.3..0.7).contains(&half), "{half}");
        for n in 0..60 {
            p.answered(3.2 + f64::from(n) * 0.02, 1, 0.4);
        }
        assert_eq!(p.brake(4.4, 1), 0.0);
        assert_eq!(p.brake(4.4, 0), 1.0, "the other hall is as it was");
        assert_eq!((p.pressed(4.4, 0), p.pressed(4.4, 1), p.pressed(4.4, 2)), (0.0, 1.0, 0.0));
        assert_eq!(p.brake(20.0, 1), 1.0, "old news is none");
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(64))]

        #[test]
        fn a_brake_is_a_part_and_steady_answers_release_it(
            takes in prop::collection::vec((0usize..3, -1.0f64..5.0, 0.0f64..2.0), 0..200),
        ) {
            let mut p = Pressure::default();
            let mut t = 0.0;
            for (hall, took, dt) in takes {
                t += dt;
                p.answered(t, hall, took);
                for h in 0..4 {
                    let b = p.brake(t, h);
                    prop_assert!((0.0..=1.0).contains(&b), "{b}");
                }
            }
            // Whatever was seen: answers that go on alike for some minutes are what is usual.
            for _ in 0..2000 {
                t += 0.25;
                p.answered(t, 0, 0.3);
            }
            prop_assert!(p.brake(t, 0) > 0.99);
        }
    }
}
