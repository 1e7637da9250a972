use super::*;
use proptest::prelude::*;

pub(crate) const S: ModeSettings =
    ModeSettings { span: 1.0, lost_after: 0.3, settle: 0.5, watch: 1.0, watch_most: 8.0 };

fn run(e: &mut Evidence, t: &mut f64, seconds: f64, came: impl Fn(u64) -> Option<Came>) -> Vec<Mode> {
    let mut seen = vec![e.mode().0];
    for n in 0..(seconds / 0.02).round() as u64 {
        *t += 0.02;
        match came(n % 8) {
            Some(c) => e.came(*t, n % 8, c, &S),
            None => e.step(*t, &S),
        }
        if seen.last() != Some(&e.mode().0) {
            seen.push(e.mode().0);
        }
    }
    seen
}

#[test]
fn each_mode_has_its_way_in_and_out() {
    use Mode::*;
    let good = |_| Some(Came::InTime);
    for (trouble, expected) in
        [(Some(Came::Not), Lost), (Some(Came::Late), Late), (Some(Came::Fallen), Replaced)]
    {
        let (mut e, mut t) = (Evidence::default(), 0.0);
        assert_eq!(run(&mut e, &mut t, 2.0, good), [InStep]);
        assert_eq!(run(&mut e, &mut t, 3.0, |_| trouble).last(), Some(&expected));
        let out = run(&mut e, &mut t, 4.0, good);
        assert_eq!(out, [expected, Rejoined, InStep], "{out:?}");
    }
    let (mut e, mut t) = (Evidence::default(), 0.0);
    run(&mut e, &mut t, 1.0, good);
    let seen = run(&mut e, &mut t, 3.0, |n| Some(if n % 2 == 0 { Came::Not } else { Came::InTime }));
    assert_eq!(seen, [InStep, Split]);
    assert_eq!(run(&mut e, &mut t, 4.0, good), [Split, Rejoined, InStep]);
}

#[test]
fn a_call_or_two_lost_is_no_trouble() {
    let (mut e, mut t) = (Evidence::default(), 0.0);
    let seen = run(&mut e, &mut t, 5.0, |n| Some(if n == 3 { Came::Not } else { Came::InTime }));
    assert_eq!(seen, [Mode::InStep], "one name of eight failing is no split");
    let (mut e, mut t) = (Evidence::default(), 0.0);
    e.came(0.0, 1, Came::Not, &S);
    e.came(0.1, 2, Came::Not, &S);
    assert_eq!(run(&mut e, &mut t, 3.0, |_| None), [Mode::InStep], "two unanswered calls");
}

#[test]
fn a_relapse_is_watched_longer() {
    let (mut e, mut t) = (Evidence::default(), 0.0);
    let mut times = Vec::new();
    for _ in 0..4 {
        run(&mut e, &mut t, 1.0, |_| Some(Came::Not));
        assert_eq!(e.mode().0, Mode::Lost);
        while e.mode().0 != Mode::Rejoined {
            run(&mut e, &mut t, 0.1, |_| Some(Came::InTime));
        }
        let from = t;
        let mut probe = e.clone();
        let mut until = t;
        while probe.mode().0 == Mode::Rejoined {
            run(&mut probe, &mut until, 0.1, |_| Some(Came::InTime));
        }
        times.push(until - from);
    }
    assert!(times.windows(2).all(|w| w[1] > w[0] * 1.5), "{times:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whatever came before, answers in time end in step, and stay so.
    #[test]
    fn settled_input_settles(
        history in prop::collection::vec((0u64..20, 0u8..5, 0.0f64..0.3), 0..200),
    ) {
        let (mut e, mut t) = (Evidence::default(), 0.0);
        for (name, came, dt) in history {
            t += dt;
            let came = [Came::InTime, Came::Late, Came::Not, Came::Fallen, Came::Not][came as usize];
            e.came(t, name, came, &S);
        }
        run(&mut e, &mut t, 14.0, |_| Some(Came::InTime));
        prop_assert_eq!(e.mode().0, Mode::InStep);
        prop_assert_eq!(run(&mut e, &mut t, 3.0, |_| Some(Came::InTime)), [Mode::InStep]);
    }
}
