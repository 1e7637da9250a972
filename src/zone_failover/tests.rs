//! The halls' state machine and its properties, with time passed in.

use super::*;
use proptest::prelude::*;

const FILE: &str = r#"
halls: {
    own: "hall-a"
    bound: "rated"
    notice: 0.5
    ramp: 10
    ramp_jitter: 0
    hold: 1
    hold_most: 8
    hall: {
        "hall-a": {}
        "hall-b": { weight: 2 }
        "hall-c": {}
    }
}
"#;

fn node(n: usize, hall: &str) -> TableNode {
    TableNode { name: format!("{hall}/{n}"), zone: hall.into(), address: None, nominal: 1.0, ready: true }
}

fn fleet(per_hall: usize) -> Vec<TableNode> {
    ["hall-a", "hall-b", "hall-c"].iter().flat_map(|h| (0..per_hall).map(move |n| node(n, h))).collect()
}

fn halls() -> Halls {
    let settings = HallSettings::load(FILE).expect("reads").expect("has halls");
    let mut h = Halls::new(settings, "hall-a", 0.5, 0.0);
    h.table(0.0, &fleet(4));
    h
}

/// Every node of a hall answers, or is silent, at `t`.
fn all(h: &mut Halls, hall: &str, t: f64, seen: Seen) {
    for n in 0..4 {
        h.seen(t, &format!("{hall}/{n}"), seen);
    }
}

#[test]
fn settings_read_and_refuse_by_name() {
    let s = HallSettings::load(FILE).unwrap().unwrap();
    assert_eq!(s.halls.len(), 3);
    assert_eq!(s.halls[1].weight, 2.0);
    assert!(s.describe().contains("hall hall-b"));
    assert_eq!(HallSettings::load("").unwrap(), None, "no file, no halls: today's behaviour");
    let bad = r#"halls: {
    key: "networks"
    own: "hall-z"
    hall: {
        a: { networks: ["10.0.0.0/16"], weight: 0 }
        b: { networks: ["10.0.1.0/24", "nonsense"] }
        c: { weight: -1 }
    }
}"#;
    let errors: Vec<String> = HallSettings::load(bad).unwrap_err().iter().map(ToString::to_string).collect();
    let said = errors.join("\n");
    for wanted in [
        "must be above 0",
        "is no IP network",
        "overlaps 10.0.0.0/16",
        "out of range",
        "has no networks",
        "\"hall-z\" is no hall",
    ] {
        assert!(said.contains(wanted), "{wanted} missing from:\n{said}");
    }
    assert!(errors.iter().all(|e| e.split(':').next().is_some_and(|l| l.parse::<u32>().is_ok())), "{said}");
    let zones = "halls: { hall: { a: { zones: [\"z\"] }, b: { zones: [\"z\"] } } }";
    assert!(HallSettings::load(zones).unwrap_err()[0].message.contains("also in hall"));
}

#[test]
fn networks_place_nodes_by_address() {
    let text = r#"halls: { key: "networks", hall: { a: { networks: ["10.0.1.0/24"] }, b: { networks: ["fd00::/8"] } } }"#;
    let h = Halls::new(HallSettings::load(text).unwrap().unwrap(), "", 0.5, 0.0);
    let at = |ip: &str| TableNode { address: ip.parse().ok(), ..node(0, "x") };
    assert_eq!(h.hall_of(&at("10.0.1.7")), Some(0));
    assert_eq!(h.hall_of(&at("fd00::1")), Some(1));
    assert_eq!(h.hall_of(&at("10.0.2.7")), None, "in no hall: today's treatment");
}

#[test]
fn a_cut_hall_is_noticed_from_dispatches_and_returns_slowly() {
    let mut h = halls();
    all(&mut h, "hall-a", 0.1, Seen::Answered);
    all(&mut h, "hall-b", 0.1, Seen::Answered);
    assert_eq!(h.plan(0.2).halls[0], (HallState::Whole, 1.0));
    // hall-b is cut: two of its nodes go silent; a whole span later it is lost, though the table lists it.
    h.seen(1.0, "hall-b/0", Seen::Silent);
    assert_eq!(h.state(1).unwrap().0, HallState::Thinned, "one silent node is no cut");
    h.seen(1.05, "hall-b/1", Seen::Silent);
    assert_eq!(h.state(1).unwrap().0, HallState::Thinned, "not yet a whole span");
    h.step(1.5);
    assert_eq!(h.state(1).unwrap(), (HallState::Lost, 1.5));
    h.step(2.4);
    assert_eq!(h.state(1).unwrap().0, HallState::Lost, "held off");
    assert_eq!(h.plan(2.4).halls[1].1, 0.0);
    // Half open after the hold-off of 1 s: the ramp starts at nothing and rises over 10 s.
    h.step(2.5);
    assert_eq!(h.state(1).unwrap(), (HallState::Returning, 2.5));
    all(&mut h, "hall-b", 3.0, Seen::Answered);
    h.step(7.5);
    assert_eq!(h.state(1).unwrap().0, HallState::Returning);
    // Still silent at its first trials: lost again, and held off twice as long.
    let mut again = h.clone();
    again.seen(7.6, "hall-b/2", Seen::Silent);
    again.seen(7.7, "hall-b/3", Seen::Silent);
    again.step(8.1);
    assert_eq!(again.state(1).unwrap().0, HallState::Lost);
    again.step(10.0);
    assert_eq!(again.state(1).unwrap().0, HallState::Lost, "2 s now");
    again.step(10.2);
    assert_eq!(again.state(1).unwrap().0, HallState::Returning);
    h.step(12.6);
    assert_eq!(h.state(1).unwrap().0, HallState::Whole);
}

#[test]
fn own_hall_lost_spills_by_weight_and_isolation_is_its_own_case() {
    let mut h = halls();
    h.seen(1.0, "hall-a/0", Seen::Silent);
    h.seen(1.0, "hall-a/1", Seen::Silent);
    h.step(1.5);
    let plan = h.plan(1.5);
    assert_eq!(plan.halls[0], (HallState::Lost, 0.0));
    assert!((plan.halls[1].1 - 2.0 / 3.0).abs() < 1e-9 && (plan.halls[2].1 - 1.0 / 3.0).abs() < 1e-9);
    assert!(!plan.isolated);
    // The gatekeeper itself is cut off: its own hall answers, the others are silent.
    let mut h = halls();
    for hall in ["hall-b", "hall-c"] {
        h.seen(1.0, &format!("{hall}/0"), Seen::Silent);
        h.seen(1.0, &format!("{hall}/1"), Seen::Silent);
    }
    h.step(1.5);
    let plan = h.plan(1.5);
    assert!(plan.isolated);
    assert_eq!(plan.halls[0].1, 1.0);
}

#[test]
fn a_hall_back_with_half_its_nodes_gets_half_its_share() {
    let mut h = halls();
    let mut table = fleet(4);
    table.retain(|n| !(n.zone == "hall-a" && (n.name.ends_with("/2") || n.name.ends_with("/3"))));
    h.table(1.0, &table);
    let plan = h.plan(1.0);
    assert_eq!(plan.halls[0], (HallState::Thinned, 0.7));
}

#[test]
fn a_flapping_hall_is_held_off_longer_each_time() {
    let mut h = halls();
    let mut holds = Vec::new();
    let mut t = 0.0;
    for _ in 0..4 {
        t += 1.0;
        h.seen(t, "hall-b/0", Seen::Silent);
        h.seen(t, "hall-b/1", Seen::Silent);
        t += 0.5;
        h.step(t);
        assert_eq!(h.state(1).unwrap().0, HallState::Lost);
        // Answers on each tenth of a second until it returns.
        let lost_at = t;
        while h.state(1).unwrap().0 == HallState::Lost {
            t += 0.1;
            all(&mut h, "hall-b", t, Seen::Answered);
        }
        holds.push(((t - lost_at) * 10.0).round() / 10.0);
    }
    assert!(holds.windows(2).all(|w| w[1] > w[0]), "hold-offs grow: {holds:?}");
}

#[test]
fn spill_into_a_full_fleet_is_unplaced() {
    let mut h = halls();
    h.seen(1.0, "hall-a/0", Seen::Silent);
    h.seen(1.0, "hall-a/1", Seen::Silent);
    h.step(1.5);
    // Twelve nodes serving ten a second each; three gatekeepers. At 90% use nothing may spill.
    let (plan, limits) = h.bounded(1.5, 36.0, 3, 10.0);
    assert_eq!(plan.halls[1].1 + plan.halls[2].1, 0.0);
    assert!((plan.unplaced - 1.0).abs() < 1e-9);
    assert_eq!(limits[1], 0.0);
    // At 40% use, hall-b may take (0.8 - 0.4) x 40 a second over the one gatekeeper that spills.
    let (plan, limits) = h.bounded(1.5, 16.0, 3, 10.0);
    assert!((limits[1] - 16.0).abs() < 1e-9, "{limits:?}");
    assert!((plan.halls[1].1 - 2.0 / 3.0).abs() < 1e-9, "under its limit: {plan:?}");
    // Answers of hall-b that take three times as long as hall-c's say that it is full, whatever the rate says.
    for n in 0..40 {
        let t = 1.5 + f64::from(n) * 0.01;
        h.served(t, "hall-b/0", 0.3);
        h.served(t, "hall-c/0", 0.1);
    }
    let (plan, limits) = h.bounded(2.0, 16.0, 3, 10.0);
    assert_eq!((limits[1], plan.halls[1].1), (0.0, 0.0));
    assert!(plan.halls[2].1 > 0.3, "hall-c takes its part: {plan:?}");
    let (plan, _) = h.bounded(1.5, 16.0, 3, 0.0);
    assert_eq!(plan.unplaced, 0.0, "no node rate: not bounded");
}

/// Measured, the bound holds only where the hall's answers show press, or tell nothing yet.
#[test]
fn a_measured_bound_waits_for_slow_answers() {
    let settings = HallSettings::load(&FILE.replace("rated", "measured")).unwrap().unwrap();
    let mut h = Halls::new(settings, "hall-a", 0.5, 0.0);
    h.table(0.0, &fleet(4));
    h.seen(1.0, "hall-a/0", Seen::Silent);
    h.seen(1.0, "hall-a/1", Seen::Silent);
    h.step(1.5);
    assert!(h.bounded(1.5, 36.0, 3, 10.0).0.unplaced < 1e-9, "nothing heard of the others yet");
    for n in 0..40 {
        h.served(1.5 + f64::from(n) * 0.01, ["hall-b/0", "hall-c/0"][n as usize % 2], 0.1);
    }
    assert!(h.bounded(2.0, 36.0, 3, 10.0).0.unplaced < 1e-9, "both answer as ever");
    for n in 0..40 {
        h.served(2.0 + f64::from(n) * 0.01, "hall-b/0", 0.3);
    }
    let (plan, _) = h.bounded(2.5, 36.0, 3, 10.0);
    assert_eq!(plan.halls[1].1, 0.0, "hall-b is pressed: its headroom, which is none, holds");
    assert!((plan.unplaced - 2.0 / 3.0).abs() < 1e-9);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn shares_sum_to_one(parts in prop::collection::vec((any::<bool>(), 0.0f64..10.0, -1.0f64..2.0), 0..6), op in 0.5f64..5.0) {
        let inputs: Vec<TierInput> = parts.iter().map(|&(own, weight, health)| TierInput { own, weight, health }).collect();
        let s = locality::shares(&inputs, op);
        let sum: f64 = s.part.iter().sum::<f64>() + s.unplaced;
        prop_assert!((sum - 1.0).abs() < 1e-9, "{s:?}");
        prop_assert!(s.part.iter().all(|p| *p >= 0.0 && *p <= 1.0 + 1e-12));
    }

    #[test]
    fn spill_from_many_gatekeepers_stays_under_the_headroom(capacity in 0.0f64..100.0, used in 0.0f64..1.2, target in 0.05f64..1.0, spillers in 1u32..200) {
        let each = locality::spill_limit(capacity, used, target, spillers);
        prop_assert!(each * f64::from(spillers) <= (target - used).max(0.0) * capacity + 1e-9);
    }

    #[test]
    fn bounded_spill_never_passes_the_limits(rate in 0.1f64..200.0, replicas in 1u32..100, node_rate in 0.1f64..50.0, cut in prop::collection::vec(any::<bool>(), 3)) {
        let mut h = halls();
        for (i, hall) in ["hall-a", "hall-b", "hall-c"].iter().enumerate().filter(|(i, _)| cut[*i]) {
            h.seen(1.0, &format!("{hall}/0"), Seen::Silent);
            h.seen(1.0 + i as f64 * 0.0, &format!("{hall}/1"), Seen::Silent);
        }
        h.step(1.5);
        let (plan, limits) = h.bounded(1.5, rate, replicas, node_rate);
        for (part, limit) in plan.halls.iter().map(|x| x.1).zip(limits).skip(1) {
            prop_assert!(part * rate <= limit + 1e-9);
        }
        let sum: f64 = plan.halls.iter().map(|x| x.1).sum::<f64>() + plan.unplaced;
        prop_assert!((sum - 1.0).abs() < 1e-9);
    }

    #[test]
    fn a_ramp_never_jumps(steps in prop::collection::vec(0.0f64..2.0, 1..100), unit in 0.0f64..1.0, ramp in 1.0f64..60.0, jitter in 0.0f64..0.9) {
        let s = slow_start::RampSettings { ramp, jitter, hold: 1.0, hold_most: 10.0 };
        let mut r = slow_start::Ramp::new(&s, unit);
        r.returning(0.0);
        let (mut t, mut last) = (0.0, r.factor(0.0, &s));
        for dt in steps {
            t += dt;
            let f = r.factor(t, &s);
            prop_assert!(f >= last && f - last <= dt / (ramp * (1.0 - jitter)) + 1e-9);
            last = f;
        }
    }

    #[test]
    fn settled_input_settles_the_states(silent in prop::collection::vec((0usize..3, 0usize..4, any::<bool>()), 0..60)) {
        // Any history of silences and answers, then every node answers steadily: every hall ends whole and
        // stays so, without a state change in the last stretch.
        let mut h = halls();
        let mut t = 0.0;
        for (hall, n, quiet) in silent {
            t += 0.05;
            let name = format!("hall-{}/{n}", ["a", "b", "c"][hall]);
            h.seen(t, &name, if quiet { Seen::Silent } else { Seen::Answered });
        }
        let mut changes = Vec::new();
        for step in 0..1200 {
            t += 0.1;
            for hall in ["hall-a", "hall-b", "hall-c"] {
                all(&mut h, hall, t, Seen::Answered);
            }
            if step > 900 {
                changes.extend((0..3).filter(|&i| h.state(i).unwrap().1 == t));
            }
        }
        prop_assert!(changes.is_empty(), "changed late: {changes:?}");
        prop_assert!((0..3).all(|i| h.state(i).unwrap().0 == HallState::Whole));
    }
}
