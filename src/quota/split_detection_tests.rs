use super::*;

#[test]
fn a_split_counter_is_detected_and_a_complete_one_is_not() {
    let mut comparison = MeterComparison::default();
    for n in 0..100 {
        // The meter is off by up to a third in a window.
        let deviation = [0.7, 1.0, 1.3][n % 3];
        assert!(!comparison.add_window(n as f64 * 0.3, 6.0 * deviation, 6.0));
    }
    let detected =
        (0..100).position(|n| comparison.add_window(30.0 + n as f64 * 0.3, 6.0, 3.0)).expect("detected");
    assert!(detected < 40, "{detected} windows");
    let healed =
        (0..200).position(|n| !comparison.add_window(60.0 + n as f64 * 0.3, 6.0, 6.0)).expect("healed");
    assert!(healed < 60, "{healed} windows");
}

#[test]
fn too_few_units_have_no_result() {
    let mut comparison = MeterComparison::default();
    assert!(!comparison.add_window(0.0, 6.0, 0.0) && comparison.counted_fraction().is_none());
    assert!(!comparison.add_window(1.0, f64::NAN, 0.0) && !comparison.add_window(2.0, 5.0, f64::INFINITY));
}

/// A complete counter holds what it acknowledged to others, except for units that they return; one view of a split
/// counter does not.
#[test]
fn answers_that_lack_what_others_added_reveal_a_split() {
    let mut comparison = ReplicaComparison::default();
    let mut is_split = |n: u32, held_fraction: f64| {
        let (now, others) = (0.2 * f64::from(n), 4.0 + f64::from(n % 5));
        comparison.add_answer(now, 3.0 + others * held_fraction, AcknowledgedUnits { own: 3.0, others });
        comparison.is_split(now)
    };
    assert!((0..50).all(|n| !is_split(n, [1.0, 0.5, 1.2][n as usize % 3])), "returned units are no loss");
    let detected = (50..70).position(|n| is_split(n, 0.2)).expect("detected");
    assert!(detected <= 8, "{detected} answers, a fifth of a second each");
    let healed = (70..120).position(|n| !is_split(n, 1.0)).expect("healed");
    assert!((1..20).contains(&healed), "{healed} answers");
}

/// Too few acknowledged units and a single odd answer have no result, and a split expires without further comparisons.
#[test]
fn one_odd_answer_is_no_split() {
    let mut comparison = ReplicaComparison::default();
    for n in 0..20 {
        comparison.add_answer(0.5 * f64::from(n), 0.0, AcknowledgedUnits { own: 1.0, others: 1.0 });
        assert!(!comparison.is_split(0.5 * f64::from(n)));
    }
    comparison.add_answer(32.0, 5.0, AcknowledgedUnits { own: 5.0, others: 50.0 });
    assert!(!comparison.is_split(32.0), "one odd answer is not enough");
    comparison.add_answer(32.2, f64::NAN, AcknowledgedUnits { own: 5.0, others: 50.0 });
    assert!(!comparison.is_split(32.2), "an answer that is not a number is ignored");
    comparison.add_answer(32.4, 5.0, AcknowledgedUnits { own: 5.0, others: 50.0 });
    assert!(
        comparison.is_split(32.4)
            && comparison.is_split(44.0)
            && !comparison.is_split(32.4 + REPLICA_QUIET_SECS + 0.1)
    );
}
