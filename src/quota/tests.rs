//! Tests of the guard as a whole, with time passed in.

use super::*;
use crate::identifiers::CustomerId;
use std::sync::Arc;

fn name(n: usize) -> CounterKey {
    CounterKey(Arc::from(format!("q1:{n}")))
}

fn customer(n: usize) -> CustomerId {
    CustomerId(Arc::from(format!("c{n}")))
}

fn window_of(n: usize) -> CustomerWindow {
    CustomerWindow { customer: customer(n), window: 1 }
}

fn answered(total: f64, timeout_fraction: f64) -> CallOutcome {
    CallOutcome { ending: Ending::Ok, total, timeout_fraction }
}

fn guard() -> Guard {
    Guard::new(QuotaSettings::default(), 0.3)
}

/// Makes one call that ends after 2 ms. `total` gives the counter's answer for the amount on the wire. Returns the
/// verdict for the decision module.
fn call(
    g: &mut Guard,
    now: f64,
    n: usize,
    amount: f64,
    ending: Ending,
    total: impl Fn(f64) -> f64,
) -> Verdict {
    let added = g.call_sent(now, &name(n), window_of(n), amount, 10.0);
    g.call_finished(
        now + 0.002,
        &name(n),
        amount,
        CallOutcome { ending, total: total(added), timeout_fraction: 0.1 },
    )
}

#[test]
fn an_ordinary_answer_is_unchanged() {
    let mut g = guard();
    for n in 0..50 {
        let t = n as f64 * 0.1;
        assert_eq!(
            call(&mut g, t, 1, 1.0, Ending::Ok, |_| 2.0 * n as f64 + 1.0),
            Verdict::Total(2.0 * n as f64 + 1.0)
        );
    }
    assert_eq!(g.modes(5.0), [PartitionMode { mode: Mode::Healthy, since: 0.0 }]);
    assert_eq!(g.report(5.0).entries, 1);
}

#[test]
fn the_breaker_of_one_entry_does_not_affect_others() {
    let mut g = guard();
    for n in 0..3 {
        assert_eq!(call(&mut g, n as f64 * 0.1, 1, 1.0, Ending::Timeout, |_| 0.0), Verdict::Undetermined);
        call(&mut g, n as f64 * 0.1, 2, 1.0, Ending::Ok, |_| n as f64 + 1.0);
    }
    assert!(g.next_call_at(&name(1)) > 0.24, "open: {}", g.next_call_at(&name(1)));
    assert!(g.next_call_at(&name(2)) < 0.0 && g.next_call_at(&name(3)) < 0.0);
    assert_eq!(g.report(0.3).open_breakers, 1);
    assert_eq!(g.modes(0.3)[0].mode, Mode::Healthy, "one failing name is no split");
}

#[test]
fn partitions_have_separate_modes() {
    let mut g = Guard::new(QuotaSettings { partitions: 2, ..QuotaSettings::default() }, 0.3);
    let names_in = |g: &Guard, partition| {
        (0..100).filter(|&n| g.partition_of(&name(n)) == partition).take(4).collect::<Vec<_>>()
    };
    let (answered, unanswered) = (names_in(&g, 0), names_in(&g, 1));
    for step in 0..40 {
        let t = step as f64 * 0.05;
        call(&mut g, t, answered[step % 4], 1.0, Ending::Ok, |_| 1.0 + step as f64);
        call(&mut g, t, unanswered[step % 4], 1.0, Ending::Timeout, |_| 0.0);
    }
    let modes: Vec<Mode> = g.modes(2.0).iter().map(|m| m.mode).collect();
    assert_eq!(modes, [Mode::Healthy, Mode::Lost]);
    assert!(g.lacks_total(&name(unanswered[0])) && !g.lacks_total(&name(answered[0])));
    g.record_admitted(|| name(unanswered[0]), 3.0, false);
    g.record_admitted(|| name(answered[0]), 3.0, false);
    let report = g.report(2.0);
    assert_eq!((report.partitions[0].unverified_units, report.partitions[1].unverified_units), (0.0, 3.0));
}

#[test]
fn a_counter_that_restarts_from_zero_is_detected_and_gets_lost_units_again() {
    let mut g = guard();
    // Four customers. This gatekeeper and the others have each added 5 units for each of them.
    let mut held = [0.0f64; 4];
    let mut t = 0.0;
    let mut round = |g: &mut Guard, held: &mut [f64; 4], add: f64| {
        let mut totals = [0.0; 4];
        for n in 0..4 {
            t += 0.02;
            held[n] += g.call_sent(t, &name(n), window_of(n), add, 60.0);
            match g.call_finished(t, &name(n), add, answered(held[n], 0.1)) {
                Verdict::Total(total) => totals[n] = total,
                other => panic!("{other:?}"),
            }
        }
        totals
    };
    round(&mut g, &mut held, 5.0);
    held.iter_mut().for_each(|h| *h += 5.0);
    assert_eq!(round(&mut g, &mut held, 0.0), [10.0; 4]);
    held = [0.0; 4];
    for n in 0..5 {
        let totals = round(&mut g, &mut held, 1.0);
        let least = 10.0 + 1.0 + n as f64;
        assert!(
            totals.iter().all(|total| *total >= least - 1e-6 && *total < least + 6.0),
            "round {n}: {totals:?}"
        );
    }
    assert_eq!(g.modes(t)[0].mode, Mode::Replaced);
    let resent = g.report(t).partitions[0].resent_units;
    assert!((20.0..=24.1).contains(&resent), "each of this gatekeeper's adds once: {resent}");
    // The counter also lost what others added. They resend theirs, and the totals are complete again.
    held.iter_mut().for_each(|h| *h += 5.0);
    t += 3.0;
    let mut g2 = g.clone();
    let added = g2.call_sent(t, &name(0), window_of(0), 0.0, 60.0);
    assert_eq!(added, 0.0, "nothing is resent twice");
    assert!(
        matches!(g2.call_finished(t, &name(0), 0.0, answered(held[0], 0.1)), Verdict::Total(x) if x < 16.5)
    );
}

#[test]
fn implausible_answers_change_nothing() {
    let mut g = guard();
    call(&mut g, 0.0, 1, 4.0, Ending::Ok, |_| 10.0);
    for (n, implausible) in [f64::NAN, f64::INFINITY, -7.0, 1e200].into_iter().enumerate() {
        assert_eq!(call(&mut g, 0.1 + n as f64, 1, 0.0, Ending::Ok, |_| implausible), Verdict::Undetermined);
    }
    assert_eq!(call(&mut g, 6.0, 1, 0.0, Ending::Ok, |_| 10.0), Verdict::Total(10.0));
    assert_eq!(g.report(6.0).partitions[0].implausible_answers, 4);
}

#[test]
fn a_late_answer_is_used_once() {
    let mut g = guard();
    call(&mut g, 0.0, 1, 4.0, Ending::Ok, |_| 4.0);
    assert_eq!(call(&mut g, 0.1, 1, 2.0, Ending::Timeout, |_| 0.0), Verdict::Undetermined);
    assert_eq!(
        g.late_answer(0.3, &name(1), 9.0),
        Some(LateTotal { customer_window: window_of(1), min_spent: 9.0 })
    );
    assert_eq!(g.late_answer(0.4, &name(1), 9.0), None, "no call awaits an answer any more");
    assert_eq!(g.late_answer(0.4, &name(7), 9.0), None, "an answer to a call that was never sent");
    assert_eq!(call(&mut g, 0.5, 1, 1.0, Ending::Timeout, |_| 0.0), Verdict::Undetermined);
    assert_eq!(g.late_answer(0.6, &name(1), 0.5), None, "a total below the call's own amount proves nothing");
}

#[test]
fn a_split_counter_is_detected_by_the_meter_and_its_totals_withheld() {
    let mut g = guard();
    let mut verdicts = Vec::new();
    for w in 0..40 {
        let t = w as f64 * 0.5;
        let n = CounterKey(Arc::from(format!("q{w}:1")));
        let added = g.call_sent(t, &n, CustomerWindow { customer: customer(1), window: w }, 3.0, 10.0);
        // From the tenth window on, the totals hold only the use in this view.
        verdicts.push(g.call_finished(t + 0.4, &n, 3.0, answered(if w < 10 { 6.0 } else { added }, 0.1)));
        g.window_finished(t + 0.5, || n.clone(), WindowSpan { start: t, length_secs: 0.5 }, Some(15.0));
    }
    assert!(verdicts[..10].iter().all(|v| *v == Verdict::Total(6.0)));
    let detected = verdicts.iter().position(|v| *v == Verdict::Withheld).expect("detected");
    assert!((11..25).contains(&detected), "{detected}");
    assert_eq!(g.modes(20.0)[0].mode, Mode::Split);
}

#[test]
fn an_overloaded_counter_differs_from_one_that_lacks_some_names() {
    let mut g = guard();
    assert!(!g.answers_promptly(0.0), "no answer yet");
    for n in 0..40 {
        call(&mut g, n as f64 * 0.01, n % 2, 1.0, [Ending::Ok, Ending::Timeout][n % 2], |_| 1e3);
    }
    assert!(
        g.answers_promptly(0.5) && !g.answers_promptly(1.5),
        "prompt answers are evidence for a limited time"
    );
    for n in 0..40 {
        let t = 0.5 + n as f64 * 0.01;
        g.call_sent(t, &name(3), window_of(3), 1.0, 10.0);
        g.call_finished(t + 0.02, &name(3), 1.0, answered(1e4, 0.8));
    }
    assert!(!g.answers_promptly(0.95), "all answers are slow");
}

#[test]
fn entries_are_bounded_and_expire() {
    let mut g = Guard::new(QuotaSettings { max_entries: 64, ..QuotaSettings::default() }, 0.3);
    for n in 0..1000 {
        call(&mut g, n as f64 * 0.001, n, 1.0, Ending::Ok, |t| t);
        assert!(g.report(0.0).entries <= 64);
    }
    call(&mut g, 30.0, 0, 1.0, Ending::Ok, |t| t);
    assert_eq!(g.report(30.0).entries, 1, "expired entries are dropped");
}

#[test]
fn without_a_guard_answers_are_unchanged() {
    let mut g = Guard::new(QuotaSettings { is_guarded: false, ..QuotaSettings::default() }, 0.3);
    assert_eq!(call(&mut g, 0.0, 1, 4.0, Ending::Ok, |_| 10.0), Verdict::Total(10.0));
    assert_eq!(call(&mut g, 0.1, 1, 4.0, Ending::Ok, |_| 1.0), Verdict::Total(1.0));
    assert_eq!(call(&mut g, 0.2, 1, 4.0, Ending::Timeout, |_| 1.0), Verdict::Undetermined);
    assert_eq!((g.next_call_at(&name(1)) < 0.0, g.report(1.0).entries), (true, 0));
}
