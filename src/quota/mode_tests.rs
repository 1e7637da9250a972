use super::*;
use proptest::prelude::*;

const SETTINGS: ModeSettings = ModeSettings {
    evidence_secs: 1.0,
    lost_after_secs: 0.3,
    settle_secs: 0.5,
    probation_secs: 1.0,
    max_probation_secs: 8.0,
};

fn run(
    e: &mut ModeTracker,
    t: &mut f64,
    seconds: f64,
    came: impl Fn(u64) -> Option<CallEvidence>,
) -> Vec<Mode> {
    let mut seen = vec![e.mode()];
    for n in 0..(seconds / 0.02).round() as u64 {
        *t += 0.02;
        match came(n % 8) {
            Some(c) => e.record_call(*t, n % 8, c, &SETTINGS),
            None => e.step(*t, &SETTINGS),
        }
        if seen.last() != Some(&e.mode()) {
            seen.push(e.mode());
        }
    }
    seen
}

#[test]
fn each_mode_is_entered_and_left() {
    use Mode::*;
    let good = |_| Some(CallEvidence::Answered);
    for (trouble, expected) in [
        (Some(CallEvidence::Unanswered), Lost),
        (Some(CallEvidence::AnsweredLate), Late),
        (Some(CallEvidence::TotalFell), Replaced),
    ] {
        let (mut e, mut t) = (ModeTracker::default(), 0.0);
        assert_eq!(run(&mut e, &mut t, 2.0, good), [Healthy]);
        assert_eq!(run(&mut e, &mut t, 3.0, |_| trouble).last(), Some(&expected));
        let out = run(&mut e, &mut t, 4.0, good);
        assert_eq!(out, [expected, Recovering, Healthy], "{out:?}");
    }
    let (mut e, mut t) = (ModeTracker::default(), 0.0);
    run(&mut e, &mut t, 1.0, good);
    let seen = run(&mut e, &mut t, 3.0, |n| {
        Some(if n % 2 == 0 { CallEvidence::Unanswered } else { CallEvidence::Answered })
    });
    assert_eq!(seen, [Healthy, Split]);
    assert_eq!(run(&mut e, &mut t, 4.0, good), [Split, Recovering, Healthy]);
}

#[test]
fn one_or_two_lost_calls_are_no_fault() {
    let (mut e, mut t) = (ModeTracker::default(), 0.0);
    let seen = run(&mut e, &mut t, 5.0, |n| {
        Some(if n == 3 { CallEvidence::Unanswered } else { CallEvidence::Answered })
    });
    assert_eq!(seen, [Mode::Healthy], "one name of eight failing is no split");
    let (mut e, mut t) = (ModeTracker::default(), 0.0);
    e.record_call(0.0, 1, CallEvidence::Unanswered, &SETTINGS);
    e.record_call(0.1, 2, CallEvidence::Unanswered, &SETTINGS);
    assert_eq!(run(&mut e, &mut t, 3.0, |_| None), [Mode::Healthy], "two unanswered calls");
}

#[test]
fn a_relapse_lengthens_the_probation() {
    let (mut e, mut t) = (ModeTracker::default(), 0.0);
    let mut times = Vec::new();
    for _ in 0..4 {
        run(&mut e, &mut t, 1.0, |_| Some(CallEvidence::Unanswered));
        assert_eq!(e.mode(), Mode::Lost);
        while e.mode() != Mode::Recovering {
            run(&mut e, &mut t, 0.1, |_| Some(CallEvidence::Answered));
        }
        let from = t;
        let mut probe = e.clone();
        let mut until = t;
        while probe.mode() == Mode::Recovering {
            run(&mut probe, &mut until, 0.1, |_| Some(CallEvidence::Answered));
        }
        times.push(until - from);
    }
    assert!(times.windows(2).all(|w| w[1] > w[0] * 1.5), "{times:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whatever came before, answers in time end in step, and stay so.
    #[test]
    fn answers_in_time_end_in_step(
        history in prop::collection::vec((0u64..20, 0u8..5, 0.0f64..0.3), 0..200),
    ) {
        let (mut e, mut t) = (ModeTracker::default(), 0.0);
        for (name, came, dt) in history {
            t += dt;
            let came = [CallEvidence::Answered, CallEvidence::AnsweredLate, CallEvidence::Unanswered, CallEvidence::TotalFell, CallEvidence::Unanswered][came as usize];
            e.record_call(t, name, came, &SETTINGS);
        }
        run(&mut e, &mut t, 14.0, |_| Some(CallEvidence::Answered));
        prop_assert_eq!(e.mode(), Mode::Healthy);
        prop_assert_eq!(run(&mut e, &mut t, 3.0, |_| Some(CallEvidence::Answered)), [Mode::Healthy]);
    }
}
