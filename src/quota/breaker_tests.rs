use super::*;
use proptest::prelude::*;

const S: BreakerSettings = BreakerSettings { failures: 2, first: 0.1, most: 1.0 };

#[test]
fn opens_after_two_and_tries_one_at_a_time() {
    let mut b = Breaker::default();
    b.failed(0.0, 0.5, &S);
    assert!(b.admits(0.0, &S), "one failure is none");
    b.failed(0.0, 0.5, &S);
    assert!(!b.admits(0.09, &S) && b.admits(0.11, &S));
    b.sent(&S);
    assert!(!b.admits(0.2, &S), "one trial");
    b.failed(0.2, 0.5, &S);
    assert!(!b.admits(0.39, &S) && b.admits(0.41, &S), "twice as long");
    b.sent(&S);
    b.succeeded();
    assert!(b.admits(0.41, &S) && !b.is_open(&S));
}

proptest! {
    /// Trials against a counter that never answers: never more than one for each half of the first wait, and
    /// from some point on no more than one for each half of the longest.
    #[test]
    fn trials_are_bounded(units in prop::collection::vec(0.0f64..1.0, 400)) {
        let (mut b, mut trials, mut late) = (Breaker::default(), 0, 0);
        for n in 0..20_000 {
            let now = f64::from(n) * 0.001;
            if b.admits(now, &S) {
                b.sent(&S);
                b.failed(now, units[trials % units.len()], &S);
                trials += 1;
                late += usize::from(now > 10.0);
            }
        }
        prop_assert!(late <= 21 && trials <= 50, "{trials}, {late} late");
    }
}
