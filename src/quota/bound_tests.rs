use super::*;

#[test]
fn the_bound_grows_with_each_of_its_causes() {
    let i = BoundInput {
        width: 3.0,
        rate: 2.4,
        burst: 10.0,
        asks: 2.4,
        age: 0.5,
        stale_part: 0.34,
        parts: 1.0,
        largest: 4.0,
    };
    let b = ErrorBound::over(&i, 30.0);
    assert!((b.blind - 2.0 / 3.0 * 2.4 * (0.5 + 0.34 * 10.0 / 2.4)).abs() < 1e-9);
    assert_eq!((b.parts, b.grain), (0.0, 12.0));
    for worse in [
        BoundInput { width: 4.0, ..i },
        BoundInput { asks: 5.0, ..i },
        BoundInput { age: 2.0, ..i },
        BoundInput { parts: 1.2, ..i },
        BoundInput { largest: 6.0, ..i },
    ] {
        assert!(ErrorBound::over(&worse, 30.0).units() > b.units());
    }
    assert_eq!(ErrorBound::over(&BoundInput { width: 1.0, largest: 0.0, ..i }, 30.0).units(), 0.0);
}
