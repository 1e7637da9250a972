use super::*;

#[test]
fn the_bound_grows_with_each_of_its_causes() {
    let input = BoundInput {
        width: 3.0,
        rate: 2.4,
        burst: 10.0,
        demand: 2.4,
        total_age_secs: 0.5,
        stale_fraction: 0.34,
        share_sum: 1.0,
        largest_request: 4.0,
    };
    let bound = ErrorBound::over(&input, 30.0);
    assert!((bound.unseen - 2.0 / 3.0 * 2.4 * (0.5 + 0.34 * 10.0 / 2.4)).abs() < 1e-9);
    assert_eq!((bound.excess_shares, bound.granularity), (0.0, 12.0));
    for worse in [
        BoundInput { width: 4.0, ..input },
        BoundInput { demand: 5.0, ..input },
        BoundInput { total_age_secs: 2.0, ..input },
        BoundInput { share_sum: 1.2, ..input },
        BoundInput { largest_request: 6.0, ..input },
    ] {
        assert!(ErrorBound::over(&worse, 30.0).units() > bound.units());
    }
    assert_eq!(
        ErrorBound::over(&BoundInput { width: 1.0, largest_request: 0.0, ..input }, 30.0).units(),
        0.0
    );
}
