use super::*;
use proptest::prelude::*;

const LIMITS: QuotaLimits = QuotaLimits { rate: 2.0, burst: 10.0 };

#[test]
fn the_fraction_is_even_then_learnt_then_decays() {
    let mut s = Share::default();
    assert_eq!(s.fraction(10.0, 4.0), 0.25);
    for _ in 0..20 {
        s.learn_window(4.0, 0.0, 9.0, 10.0);
    }
    let learnt = s.fraction(10.0, 4.0);
    assert!((0.8..0.9).contains(&learnt), "{learnt}");
    let mut last = learnt;
    for _ in 0..10 {
        s.decay(0.5);
        let now = s.fraction(10.0, 4.0);
        assert!(now < last && now > 0.25);
        last = now;
    }
    assert!(last < 0.4, "{last}");
}

#[test]
fn a_fresh_meter_overrules_the_estimate() {
    let mut s = Share::default();
    let without_meter = s.estimate_spent(2.0, 0.25, 3.0, 4.0, 0.0);
    s.record_metered(0.0, 0.1);
    assert!((s.estimate_spent(2.0, 0.25, 3.0, 4.0, 0.0) - 0.8).abs() < 1e-9);
    assert_eq!(s.use_inside_quota(0.0), Some(0.1));
    assert!(s.estimate_spent(2.0, 0.25, 3.0, 4.0, 200.0) > 0.99 * without_meter);
    assert_eq!(s.use_inside_quota(200.0), None);
    assert!(
        !s.is_limited_to_allowance(0.0, 0.5, LIMITS, 3.0, 4.0),
        "inside its quota, and demands a quarter of its rate here"
    );
    assert!(
        s.is_limited_to_allowance(0.0, 1.5, LIMITS, 3.0, 4.0),
        "demands more than half of its rate here alone"
    );
    assert!(
        !s.is_limited_to_allowance(200.0, 1.5, LIMITS, 100.0, 4.0),
        "the share is too small with a hundred gatekeepers"
    );
    s.record_metered(201.0, 5.0);
    assert!(s.is_limited_to_allowance(201.0, 0.1, LIMITS, 3.0, 4.0), "far beyond its quota");
    assert_eq!(s.use_inside_quota(201.0), None, "not all use is charged beyond the quota");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Whatever is requested where and when, the allowances of all gatekeepers together admit no more than the rate
    /// allows, and at once no more than the burst or a largest request each.
    #[test]
    fn allowances_add_up_to_the_quota(
        requests in prop::collection::vec((0usize..3, 0.0f64..0.4, 0.5f64..4.0), 1..300),
        learnt in prop::collection::vec(0.0f64..10.0, 3),
    ) {
        let (rate, burst, largest) = (2.0, 8.0, 4.0);
        let mut all = [Share::default(), Share::default(), Share::default()];
        let spent: f64 = learnt.iter().sum();
        for (s, own) in all.iter_mut().zip(&learnt) {
            s.learn_window(4.0, 0.0, *own, spent);
        }
        let (mut now, mut admitted) = (0.0, 0.0);
        let at_once: f64 = all.iter().map(|s| (s.fraction(burst, 3.0) * burst).max(largest)).sum();
        for (gatekeeper, dt, units) in requests {
            now += dt;
            if all[gatekeeper].allowance(now, QuotaLimits { rate, burst }, 3.0, largest, 0.0) >= units {
                all[gatekeeper].spend_allowance(units);
                admitted += units;
            }
            prop_assert!(admitted <= rate * now + 1e-6, "the allowances start empty");
            prop_assert!(at_once <= burst + 3.0 * largest);
        }
    }

    /// The fractions of gatekeepers that learn from the same totals sum to one, also as they decay.
    #[test]
    fn fractions_of_all_gatekeepers_sum_to_one(
        windows in prop::collection::vec(prop::collection::vec(0.0f64..10.0, 3), 1..30),
        age in 0.0f64..3.0,
    ) {
        let mut all = [Share::default(), Share::default(), Share::default()];
        for window in &windows {
            let spent: f64 = window.iter().sum();
            for (s, own) in all.iter_mut().zip(window) {
                s.learn_window(4.0, 0.0, *own, spent);
            }
        }
        all.iter_mut().for_each(|s| s.decay(age));
        let sum: f64 = all.iter().map(|s| s.fraction(10.0, 3.0)).sum();
        prop_assert!((sum - 1.0).abs() < 1e-9, "{sum}");
    }
}
