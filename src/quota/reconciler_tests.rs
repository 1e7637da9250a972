use super::*;
use proptest::prelude::*;

fn total(reconciliation: Reconciliation) -> f64 {
    match reconciliation {
        Reconciliation::Total(total) | Reconciliation::Fallen(total) => total,
        Reconciliation::Implausible => f64::NAN,
    }
}

#[test]
fn totals_are_unchanged_without_a_fault() {
    let mut r = Reconciler::default();
    assert_eq!(r.call_sent(2.0), 2.0);
    assert_eq!(r.call_answered(0.0, 2.0, 5.0, 1.0), Reconciliation::Total(5.0));
    assert_eq!(r.call_answered(0.1, 1.0, 9.0, 1.0), Reconciliation::Total(9.0));
    // Settling an estimate returns a little.
    assert_eq!(r.call_answered(0.2, -0.5, 8.5, 1.0), Reconciliation::Total(8.5));
}

#[test]
fn a_replaced_counter_opens_no_second_quota_and_lost_units_are_resent_once() {
    let mut r = Reconciler::default();
    r.call_answered(0.0, 4.0, 10.0, 2.0);
    // The counter restarts from zero: after an add of 1 it answers 1.
    assert_eq!(r.call_answered(1.0, 1.0, 1.0, 2.0), Reconciliation::Fallen(11.0));
    assert_eq!(r.to_resend(), 0.0, "one contradicting answer causes no resend");
    assert!(
        matches!(r.call_answered(1.1, 1.0, 2.0, 2.0), Reconciliation::Fallen(t) if (t - 12.0).abs() < 1e-9)
    );
    assert!((r.to_resend() - 4.0).abs() < 1e-9 || (r.to_resend() - 5.0).abs() < 1e-9, "{r:?}");
    let resent = r.to_resend();
    assert_eq!(r.call_sent(1.0), 1.0 + resent);
    let after_resend = total(r.call_answered(1.2, 1.0, 2.0 + 1.0 + resent, 2.0));
    assert!((12.9..=13.1).contains(&after_resend), "{after_resend}");
    assert_eq!(r.call_sent(0.0), 0.0, "resent only once");
    // The other gatekeepers have resent theirs: the counter holds all units, and the customer is charged once.
    let after_all_resent = total(r.call_answered(3.5, 0.0, 13.0, 2.0));
    assert!((12.9..=13.1).contains(&after_all_resent), "{after_all_resent}");
}

#[test]
fn answers_that_cross_are_no_contradiction() {
    let mut r = Reconciler::default();
    r.call_sent(4.0);
    r.call_answered(0.0, 4.0, 4.0, 2.0);
    r.call_sent(1.0);
    r.call_sent(2.0);
    // The second call is applied last and answered first.
    assert_eq!(r.call_answered(0.1, 1.0, 7.0, 2.0), Reconciliation::Total(7.0));
    assert_eq!(r.call_answered(0.1, 2.0, 5.0 + 2.0 - 1.0, 2.0), Reconciliation::Total(6.0));
    assert!(!r.has_contradiction());
}

/// Guards against units that are resent to a counter that lost none. Other gatekeepers that reserve units and return
/// them make totals fall by more than half.
#[test]
fn units_that_others_return_are_no_loss() {
    let mut r = Reconciler::default();
    for n in 0..50 {
        let now = n as f64 * 0.1;
        let added = r.call_sent(0.5);
        // Others add twelve units and return them, in turn.
        let others = if n % 2 == 0 { 12.0 } else { -0.5 };
        r.call_answered(now, 0.5, 0.5 * (n + 1) as f64 + others, 2.0);
        assert_eq!((added, r.to_resend(), r.has_contradiction()), (0.5, 0.0, false));
    }
}

#[test]
fn one_implausible_answer_changes_nothing() {
    let mut r = Reconciler::default();
    r.call_answered(0.0, 4.0, 10.0, 2.0);
    assert_eq!(r.call_answered(0.5, 1.0, 0.5, 2.0), Reconciliation::Fallen(11.0));
    assert_eq!(r.call_answered(0.6, 1.0, 12.0, 2.0), Reconciliation::Total(12.0));
    assert_eq!(r.to_resend(), 0.0);
    for implausible in [f64::NAN, f64::INFINITY, -3.0, 1e300] {
        assert_eq!(r.call_answered(0.7, 0.0, implausible, 2.0), Reconciliation::Implausible);
    }
    assert_eq!(r.call_answered(0.8, 0.0, 12.0, 2.0), Reconciliation::Total(12.0));
}

#[test]
fn a_late_answer_acknowledges_its_add_once() {
    let mut r = Reconciler::default();
    r.call_answered(0.0, 4.0, 4.0, 2.0);
    r.call_undetermined(3.0);
    assert_eq!(r.own(), 7.0);
    assert_eq!(r.late_answer(3.0, 7.0), Some(7.0));
    assert_eq!(r.own(), 7.0, "acknowledged, no longer undetermined");
    assert_eq!(r.late_answer(3.0, 1.0), None, "not a total of this incarnation of the counter");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Compares the reconciler with a model of the counter, under adds of other gatekeepers, calls that are lost before
    /// or after they were applied, and any number of replacements. A reconciled total is never below the counter's
    /// total, nor below what others may return of the use ever known. No add that the counter still holds is resent.
    #[test]
    fn reconciliation_counts_each_add_once(
        steps in prop::collection::vec((0u8..10, 0.1f64..3.0), 1..120),
    ) {
        let (mut r, mut now) = (Reconciler::default(), 0.0);
        // Units that the counter holds, those of them that this gatekeeper added, and all that it ever sent.
        let (mut held, mut held_own, mut own) = (0.0f64, 0.0f64, 0.0f64);
        let mut known = 0.0f64;
        for (step, amount) in steps {
            now += 0.05;
            match step {
                0 => (held, held_own) = (0.0, 0.0),
                1 | 2 => held += amount,
                3 => {
                    own += amount;
                    let added = r.call_sent(amount);
                    (held, held_own) = (held + added, held_own + added);
                    r.call_undetermined(amount);
                }
                4 => {
                    r.call_sent(amount);
                    r.call_not_applied();
                }
                _ => {
                    own += amount;
                    let added = r.call_sent(amount);
                    (held, held_own) = (held + added, held_own + added);
                    let reconciled = total(r.call_answered(now, amount, held, 1.0));
                    prop_assert!(reconciled + 1e-3 >= held, "{reconciled} is below the counter's {held}");
                    // Others may return up to half (settling); a larger fall is a loss, and what is known stays spent.
                    prop_assert!(
                        reconciled + 1e-3 >= FALLEN_FRACTION * r.highest_total(),
                        "{reconciled} is below the known {}",
                        r.highest_total()
                    );
                    prop_assert!(r.highest_total() + 1e-3 >= known, "{} is below {known}", r.highest_total());
                    known = r.highest_total();
                }
            }
            prop_assert!(held_own <= own + 1e-3, "the counter holds {held_own} of {own} sent");
            prop_assert!(r.to_resend() <= own + 1e-3);
        }
    }
}
