use super::*;
use proptest::prelude::*;

const SETTINGS: ModeSettings = ModeSettings {
    evidence_secs: 1.0,
    lost_after_secs: 0.3,
    settle_secs: 0.5,
    probation_secs: 1.0,
    max_probation_secs: 8.0,
};

/// Records calls of eight names in turn, one every 20 ms for `seconds`, with the evidence for each name. Returns the
/// modes in the order in which they were entered, the first one included.
fn run(
    tracker: &mut ModeTracker,
    now: &mut f64,
    seconds: f64,
    evidence: impl Fn(u64) -> Option<CallEvidence>,
) -> Vec<Mode> {
    let mut modes = vec![tracker.mode()];
    for n in 0..(seconds / 0.02).round() as u64 {
        *now += 0.02;
        match evidence(n % 8) {
            Some(evidence) => tracker.record_call(*now, n % 8, evidence, &SETTINGS),
            None => tracker.step(*now, &SETTINGS),
        }
        if modes.last() != Some(&tracker.mode()) {
            modes.push(tracker.mode());
        }
    }
    modes
}

#[test]
fn each_mode_is_entered_and_left() {
    use Mode::*;
    let answered = |_| Some(CallEvidence::Answered);
    for (fault, expected) in [
        (Some(CallEvidence::Unanswered), Lost),
        (Some(CallEvidence::AnsweredLate), Late),
        (Some(CallEvidence::TotalFell), Replaced),
    ] {
        let (mut tracker, mut now) = (ModeTracker::default(), 0.0);
        assert_eq!(run(&mut tracker, &mut now, 2.0, answered), [Healthy]);
        assert_eq!(run(&mut tracker, &mut now, 3.0, |_| fault).last(), Some(&expected));
        let recovery = run(&mut tracker, &mut now, 4.0, answered);
        assert_eq!(recovery, [expected, Recovering, Healthy], "{recovery:?}");
    }
    let (mut tracker, mut now) = (ModeTracker::default(), 0.0);
    run(&mut tracker, &mut now, 1.0, answered);
    let modes = run(&mut tracker, &mut now, 3.0, |n| {
        Some(if n % 2 == 0 { CallEvidence::Unanswered } else { CallEvidence::Answered })
    });
    assert_eq!(modes, [Healthy, Split]);
    assert_eq!(run(&mut tracker, &mut now, 4.0, answered), [Split, Recovering, Healthy]);
}

#[test]
fn one_or_two_unanswered_calls_are_no_fault() {
    let (mut tracker, mut now) = (ModeTracker::default(), 0.0);
    let modes = run(&mut tracker, &mut now, 5.0, |n| {
        Some(if n == 3 { CallEvidence::Unanswered } else { CallEvidence::Answered })
    });
    assert_eq!(modes, [Mode::Healthy], "one failing name of eight is no split");
    let (mut tracker, mut now) = (ModeTracker::default(), 0.0);
    tracker.record_call(0.0, 1, CallEvidence::Unanswered, &SETTINGS);
    tracker.record_call(0.1, 2, CallEvidence::Unanswered, &SETTINGS);
    assert_eq!(run(&mut tracker, &mut now, 3.0, |_| None), [Mode::Healthy], "two unanswered calls");
}

#[test]
fn a_relapse_lengthens_the_probation() {
    let (mut tracker, mut now) = (ModeTracker::default(), 0.0);
    let mut probations_secs = Vec::new();
    for _ in 0..4 {
        run(&mut tracker, &mut now, 1.0, |_| Some(CallEvidence::Unanswered));
        assert_eq!(tracker.mode(), Mode::Lost);
        while tracker.mode() != Mode::Recovering {
            run(&mut tracker, &mut now, 0.1, |_| Some(CallEvidence::Answered));
        }
        let begun = now;
        let mut probe = tracker.clone();
        let mut until = now;
        while probe.mode() == Mode::Recovering {
            run(&mut probe, &mut until, 0.1, |_| Some(CallEvidence::Answered));
        }
        probations_secs.push(until - begun);
    }
    assert!(probations_secs.windows(2).all(|w| w[1] > w[0] * 1.5), "{probations_secs:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// After any history, answers in time lead to the healthy mode, and the mode stays healthy.
    #[test]
    fn answers_in_time_lead_to_the_healthy_mode(
        history in prop::collection::vec((0u64..20, 0u8..5, 0.0f64..0.3), 0..200),
    ) {
        let (mut tracker, mut now) = (ModeTracker::default(), 0.0);
        for (name, kind, dt) in history {
            now += dt;
            let evidence = [
                CallEvidence::Answered,
                CallEvidence::AnsweredLate,
                CallEvidence::Unanswered,
                CallEvidence::TotalFell,
                CallEvidence::Unanswered,
            ][kind as usize];
            tracker.record_call(now, name, evidence, &SETTINGS);
        }
        run(&mut tracker, &mut now, 14.0, |_| Some(CallEvidence::Answered));
        prop_assert_eq!(tracker.mode(), Mode::Healthy);
        prop_assert_eq!(run(&mut tracker, &mut now, 3.0, |_| Some(CallEvidence::Answered)), [Mode::Healthy]);
    }
}
