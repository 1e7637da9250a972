use super::*;
use proptest::prelude::*;

const SETTINGS: BreakerSettings = BreakerSettings { failures: 2, first_wait_secs: 0.1, max_wait_secs: 1.0 };

#[test]
fn opens_after_two_failures_and_admits_one_trial_at_a_time() {
    let mut b = Breaker::default();
    b.call_failed(0.0, 0.5, &SETTINGS);
    assert!(b.admits(0.0, &SETTINGS), "one failure does not open it");
    b.call_failed(0.0, 0.5, &SETTINGS);
    assert!(!b.admits(0.09, &SETTINGS) && b.admits(0.11, &SETTINGS));
    b.call_sent(&SETTINGS);
    assert!(!b.admits(0.2, &SETTINGS), "one trial");
    b.call_failed(0.2, 0.5, &SETTINGS);
    assert!(!b.admits(0.39, &SETTINGS) && b.admits(0.41, &SETTINGS), "twice as long");
    b.call_sent(&SETTINGS);
    b.call_succeeded();
    assert!(b.admits(0.41, &SETTINGS) && !b.is_open(&SETTINGS));
}

proptest! {
    /// Against a counter that never answers there is at most one trial per half of the first wait, and in the long
    /// run at most one per half of the maximum wait.
    #[test]
    fn trials_are_bounded(units in prop::collection::vec(0.0f64..1.0, 400)) {
        let (mut b, mut trials, mut late) = (Breaker::default(), 0, 0);
        for n in 0..20_000 {
            let now = f64::from(n) * 0.001;
            if b.admits(now, &SETTINGS) {
                b.call_sent(&SETTINGS);
                b.call_failed(now, units[trials % units.len()], &SETTINGS);
                trials += 1;
                late += usize::from(now > 10.0);
            }
        }
        prop_assert!(late <= 21 && trials <= 50, "{trials}, {late} late");
    }
}
