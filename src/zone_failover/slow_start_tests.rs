//! Tests of slow start and backoff.

use super::*;

const SETTINGS: SlowStartSettings =
    SlowStartSettings { window_secs: 10.0, jitter: 0.2, backoff_secs: 1.0, max_backoff_secs: 16.0 };

#[test]
fn factor_rises_linearly_over_the_jittered_window() {
    let mut s = SlowStart::new(&SETTINGS, 1.0);
    assert_eq!(s.window_secs(&SETTINGS), 12.0);
    s.begin(5.0);
    assert_eq!(s.factor(5.0, &SETTINGS), 0.0);
    assert!((s.factor(11.0, &SETTINGS) - 0.5).abs() < 1e-12);
    assert_eq!(s.factor(20.0, &SETTINGS), 1.0);
    assert_eq!(SlowStart::new(&SETTINGS, 0.0).window_secs(&SETTINGS), 8.0);
}

#[test]
fn flaps_double_the_backoff_until_the_zone_is_stable() {
    let mut s = SlowStart::new(&SETTINGS, 0.5);
    s.eject(0.0, &SETTINGS);
    assert_eq!(s.backoff_secs(&SETTINGS), 1.0, "a first ejection is no flap");
    for (flaps, at) in [(1, 3.0), (2, 6.0), (3, 9.0), (4, 12.0), (4, 15.0)] {
        s.begin(at - 1.0);
        s.eject(at, &SETTINGS);
        assert_eq!(s.backoff_secs(&SETTINGS), f64::from(1 << flaps.min(4)).min(16.0));
    }
    s.begin(20.0);
    s.reset_backoff_if_stable(31.0, &SETTINGS);
    assert!(s.is_complete(31.0, &SETTINGS));
    assert_eq!(s.flaps, 5, "complete, but not yet stable");
    s.reset_backoff_if_stable(47.0, &SETTINGS);
    assert!(s.is_complete(47.0, &SETTINGS));
    assert_eq!(s.flaps, 0);
}
