use super::*;
use proptest::prelude::*;

const SETTINGS: BreakerSettings = BreakerSettings { failures: 2, first_wait_secs: 0.1, max_wait_secs: 1.0 };

#[test]
fn opens_after_two_failures_and_admits_one_trial_at_a_time() {
    let mut breaker = Breaker::default();
    breaker.call_failed(0.0, 0.5, &SETTINGS);
    assert!(breaker.admits(0.0, &SETTINGS), "one failure does not open it");
    breaker.call_failed(0.0, 0.5, &SETTINGS);
    assert!(!breaker.admits(0.09, &SETTINGS) && breaker.admits(0.11, &SETTINGS));
    breaker.call_sent(&SETTINGS);
    assert!(!breaker.admits(0.2, &SETTINGS), "one trial at a time");
    breaker.call_failed(0.2, 0.5, &SETTINGS);
    assert!(!breaker.admits(0.39, &SETTINGS) && breaker.admits(0.41, &SETTINGS), "the wait doubles");
    breaker.call_sent(&SETTINGS);
    breaker.call_succeeded();
    assert!(breaker.admits(0.41, &SETTINGS) && !breaker.is_open(&SETTINGS));
}

proptest! {
    /// Against a counter that never answers there is at most one trial per half of the first wait, and in the long
    /// run at most one per half of the maximum wait.
    #[test]
    fn trials_are_bounded(jitters in prop::collection::vec(0.0f64..1.0, 400)) {
        let (mut breaker, mut trials, mut trials_after_10_secs) = (Breaker::default(), 0, 0);
        for n in 0..20_000 {
            let now = f64::from(n) * 0.001;
            if breaker.admits(now, &SETTINGS) {
                breaker.call_sent(&SETTINGS);
                breaker.call_failed(now, jitters[trials % jitters.len()], &SETTINGS);
                trials += 1;
                trials_after_10_secs += usize::from(now > 10.0);
            }
        }
        prop_assert!(trials_after_10_secs <= 21 && trials <= 50, "{trials}, {trials_after_10_secs} after 10 s");
    }
}
