use super::*;

#[test]
fn a_split_counter_is_detected_and_a_complete_one_is_not() {
    let mut w = MeterComparison::default();
    for n in 0..100 {
        // The meter strays by a third a window.
        let stray = [0.7, 1.0, 1.3][n % 3];
        assert!(!w.add_window(n as f64 * 0.3, 6.0 * stray, 6.0));
    }
    let noticed = (0..100).position(|n| w.add_window(30.0 + n as f64 * 0.3, 6.0, 3.0)).expect("noticed");
    assert!(noticed < 40, "{noticed} windows");
    let mended = (0..200).position(|n| !w.add_window(60.0 + n as f64 * 0.3, 6.0, 6.0)).expect("mended");
    assert!(mended < 60, "{mended} windows");
}

#[test]
fn too_few_units_have_no_result() {
    let mut w = MeterComparison::default();
    assert!(!w.add_window(0.0, 6.0, 0.0) && w.counted_fraction().is_none());
    assert!(!w.add_window(1.0, f64::NAN, 0.0) && !w.add_window(2.0, 5.0, f64::INFINITY));
}

/// Others were told ever more; a whole counter holds it, but for what is taken back, a view of its own does not.
#[test]
fn answers_that_lack_what_others_added_reveal_a_split() {
    let mut w = ReplicaComparison::default();
    let mut step = |n: u32, part: f64| {
        let (t, others) = (0.2 * f64::from(n), 4.0 + f64::from(n % 5));
        w.add_answer(t, 3.0 + others * part, AcknowledgedUnits { own: 3.0, others });
        w.is_split(t)
    };
    assert!((0..50).all(|n| !step(n, [1.0, 0.5, 1.2][n as usize % 3])), "what is taken back is no loss");
    let noticed = (50..70).position(|n| step(n, 0.2)).expect("noticed");
    assert!(noticed <= 8, "{noticed} answers, a fifth of a second each");
    let mended = (70..120).position(|n| !step(n, 1.0)).expect("mended");
    assert!((1..20).contains(&mended), "{mended} answers");
}

/// Little told tells nothing, one odd answer names nothing, and a trouble of which nothing is heard ends.
#[test]
fn one_odd_answer_is_no_split() {
    let mut w = ReplicaComparison::default();
    for n in 0..20 {
        w.add_answer(0.5 * f64::from(n), 0.0, AcknowledgedUnits { own: 1.0, others: 1.0 });
        assert!(!w.is_split(0.5 * f64::from(n)));
    }
    w.add_answer(32.0, 5.0, AcknowledgedUnits { own: 5.0, others: 50.0 });
    assert!(!w.is_split(32.0), "one is no two");
    w.add_answer(32.2, f64::NAN, AcknowledgedUnits { own: 5.0, others: 50.0 });
    assert!(!w.is_split(32.2), "what is no number is no answer");
    w.add_answer(32.4, 5.0, AcknowledgedUnits { own: 5.0, others: 50.0 });
    assert!(w.is_split(32.4) && w.is_split(44.0) && !w.is_split(32.4 + REPLICA_QUIET_SECS + 0.1));
}
