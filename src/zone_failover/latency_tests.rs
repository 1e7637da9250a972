//! Tests of congestion by response time.

use super::*;
use proptest::prelude::*;

#[test]
fn a_congested_zone_takes_less_spillover_and_then_none() {
    let mut t = LatencyTracker::default();
    assert_eq!(t.limit_factor(0.0, 1), 1.0, "no samples");
    for n in 0..40 {
        t.record(f64::from(n) * 0.05, n as usize % 2, 0.1);
    }
    assert_eq!((t.limit_factor(2.0, 0), t.limit_factor(2.0, 1)), (1.0, 1.0));
    for n in 0..60 {
        t.record(2.0 + f64::from(n) * 0.02, 1, 0.18);
    }
    let half = t.limit_factor(3.2, 1);
    assert!((0.3..0.7).contains(&half), "{half}");
    for n in 0..60 {
        t.record(3.2 + f64::from(n) * 0.02, 1, 0.4);
    }
    assert_eq!(t.limit_factor(4.4, 1), 0.0);
    assert_eq!(t.limit_factor(4.4, 0), 1.0, "the other zone is unaffected");
    assert_eq!((t.congestion(4.4, 0), t.congestion(4.4, 1), t.congestion(4.4, 2)), (0.0, 1.0, 0.0));
    assert_eq!(t.limit_factor(20.0, 1), 1.0, "old samples are discarded");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn the_limit_factor_is_a_fraction_and_recovers_under_steady_latency(
        samples in prop::collection::vec((0usize..3, -1.0f64..5.0, 0.0f64..2.0), 0..200),
    ) {
        let mut tracker = LatencyTracker::default();
        let mut now = 0.0;
        for (zone, latency, dt) in samples {
            now += dt;
            tracker.record(now, zone, latency);
            for z in 0..4 {
                let factor = tracker.limit_factor(now, z);
                prop_assert!((0.0..=1.0).contains(&factor), "{factor}");
            }
        }
        // Whatever was recorded: a latency that stays the same for some minutes becomes the baseline.
        for _ in 0..2000 {
            now += 0.25;
            tracker.record(now, 0, 0.3);
        }
        prop_assert!(tracker.limit_factor(now, 0) > 0.99);
    }
}
