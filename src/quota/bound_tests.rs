use super::*;

#[test]
fn the_bound_grows_with_each_of_its_causes() {
    let i = BoundInput {
        width: 3.0,
        rate: 2.4,
        burst: 10.0,
        demand: 2.4,
        total_age_secs: 0.5,
        stale_fraction: 0.34,
        share_sum: 1.0,
        largest_request: 4.0,
    };
    let b = ErrorBound::over(&i, 30.0);
    assert!((b.unseen - 2.0 / 3.0 * 2.4 * (0.5 + 0.34 * 10.0 / 2.4)).abs() < 1e-9);
    assert_eq!((b.excess_shares, b.granularity), (0.0, 12.0));
    for worse in [
        BoundInput { width: 4.0, ..i },
        BoundInput { demand: 5.0, ..i },
        BoundInput { total_age_secs: 2.0, ..i },
        BoundInput { share_sum: 1.2, ..i },
        BoundInput { largest_request: 6.0, ..i },
    ] {
        assert!(ErrorBound::over(&worse, 30.0).units() > b.units());
    }
    assert_eq!(ErrorBound::over(&BoundInput { width: 1.0, largest_request: 0.0, ..i }, 30.0).units(), 0.0);
}
