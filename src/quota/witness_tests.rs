use super::*;

#[test]
fn half_a_counter_is_noticed_and_a_whole_one_is_not() {
    let mut w = Witness::default();
    for n in 0..100 {
        // The meter strays by a third a window.
        let stray = [0.7, 1.0, 1.3][n % 3];
        assert!(!w.window(n as f64 * 0.3, 6.0 * stray, 6.0));
    }
    let noticed = (0..100).position(|n| w.window(30.0 + n as f64 * 0.3, 6.0, 3.0)).expect("noticed");
    assert!(noticed < 40, "{noticed} windows");
    let mended = (0..200).position(|n| !w.window(60.0 + n as f64 * 0.3, 6.0, 6.0)).expect("mended");
    assert!(mended < 60, "{mended} windows");
}

#[test]
fn too_little_tells_nothing() {
    let mut w = Witness::default();
    assert!(!w.window(0.0, 6.0, 0.0) && w.part().is_none());
    assert!(!w.window(1.0, f64::NAN, 0.0) && !w.window(2.0, 5.0, f64::INFINITY));
}

/// Others were told ever more; a whole counter holds it, but for what is taken back, a view of its own does not.
#[test]
fn answers_that_lack_what_others_were_told_name_two_views() {
    let mut w = Copied::default();
    let mut step = |n: u32, part: f64| {
        let (t, others) = (0.2 * f64::from(n), 4.0 + f64::from(n % 5));
        w.answered(t, 3.0 + others * part, (3.0, others));
        w.divided(t)
    };
    assert!((0..50).all(|n| !step(n, [1.0, 0.5, 1.2][n as usize % 3])), "what is taken back is no loss");
    let noticed = (50..70).position(|n| step(n, 0.2)).expect("noticed");
    assert!(noticed <= 8, "{noticed} answers, a fifth of a second each");
    let mended = (70..120).position(|n| !step(n, 1.0)).expect("mended");
    assert!((1..20).contains(&mended), "{mended} answers");
}

/// Little told tells nothing, one odd answer names nothing, and a trouble of which nothing is heard ends.
#[test]
fn one_odd_answer_names_no_trouble() {
    let mut w = Copied::default();
    for n in 0..20 {
        w.answered(0.5 * f64::from(n), 0.0, (1.0, 1.0));
        assert!(!w.divided(0.5 * f64::from(n)));
    }
    w.answered(32.0, 5.0, (5.0, 50.0));
    assert!(!w.divided(32.0), "one is no two");
    w.answered(32.2, f64::NAN, (5.0, 50.0));
    assert!(!w.divided(32.2), "what is no number is no answer");
    w.answered(32.4, 5.0, (5.0, 50.0));
    assert!(w.divided(32.4) && w.divided(44.0) && !w.divided(32.4 + QUIET_S + 0.1));
}
