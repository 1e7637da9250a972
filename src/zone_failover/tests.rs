//! Tests of the zone state machine and of load plans, and their properties.

use super::locality::{Headroom, ZoneInput};
use super::slow_start::SlowStartSettings;
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

fn endpoint(n: usize, zone: &str) -> Endpoint {
    Endpoint {
        name: format!("{zone}/{n}"),
        zone_label: zone.into(),
        address: None,
        capacity: 1.0,
        is_ready: true,
    }
}

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

fn endpoints(per_zone: usize) -> Vec<Endpoint> {
    ZONES.iter().flat_map(|zone| (0..per_zone).map(move |n| endpoint(n, zone))).collect()
}

fn load(text: &str) -> ZoneFailoverSettings {
    ZoneFailoverSettings::load(text).expect("valid").expect("a `halls` record")
}

/// Zone failover of a gatekeeper in hall-a, with three zones of four endpoints each.
fn failover_with(settings: ZoneFailoverSettings) -> ZoneFailover {
    let mut f = ZoneFailover::new(settings, "hall-a", 0.5, 0.0);
    f.update_endpoints(0.0, &endpoints(4));
    f
}

fn failover() -> ZoneFailover {
    failover_with(load(FILE))
}

/// Records the same observation of every endpoint of a zone.
fn record_all(f: &mut ZoneFailover, zone: &str, now_secs: f64, observation: Observation) {
    for n in 0..4 {
        f.record(now_secs, &format!("{zone}/{n}"), observation);
    }
}

/// Makes a zone unreachable from 1 s on, by timeouts of two endpoints.
fn cut(f: &mut ZoneFailover, zone: &str) {
    f.record(1.0, &format!("{zone}/0"), Observation::TimedOut);
    f.record(1.0, &format!("{zone}/1"), Observation::TimedOut);
}

fn state(f: &ZoneFailover, zone: usize) -> ZoneState {
    f.status(zone).unwrap().state
}

fn offered(rate_per_sec: f64, gatekeepers: u32, endpoint_rate_per_sec: f64) -> OfferedLoad {
    OfferedLoad { rate_per_sec, gatekeepers, endpoint_rate_per_sec }
}

#[test]
fn settings_are_read_and_every_error_is_reported() {
    let s = load(FILE);
    assert_eq!(s.zones.len(), 3);
    assert_eq!(s.zones[1].weight, 2.0);
    assert!(s.describe().contains("hall hall-b"));
    assert_eq!(ZoneFailoverSettings::load("").unwrap(), None, "no record, no zone failover");
    let bad = r#"halls: {
    key: "networks"
    own: "hall-z"
    hall: {
        a: { networks: ["10.0.0.0/16"], weight: 0 }
        b: { networks: ["10.0.1.0/24", "nonsense"] }
        c: { weight: -1 }
    }
}"#;
    let errors = ZoneFailoverSettings::load(bad).unwrap_err();
    let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
    let messages = errors.join("\n");
    for expected in [
        "must be above 0",
        "is not a valid IP network",
        "overlaps 10.0.0.0/16",
        "out of range",
        "has no networks",
        "\"hall-z\" is not defined in `hall`",
    ] {
        assert!(messages.contains(expected), "{expected} missing from:\n{messages}");
    }
    assert!(
        errors.iter().all(|e| e.split(':').next().is_some_and(|l| l.parse::<u32>().is_ok())),
        "{messages}"
    );
    let zones = "halls: { hall: { a: { zones: [\"z\"] }, b: { zones: [\"z\"] } } }";
    assert!(ZoneFailoverSettings::load(zones).unwrap_err()[0].message.contains("already in hall"));
}

#[test]
fn endpoints_are_assigned_to_zones_by_network() {
    let text = r#"halls: { key: "networks", hall: { a: { networks: ["10.0.1.0/24"] }, b: { networks: ["fd00::/8"] } } }"#;
    let f = ZoneFailover::new(load(text), "", 0.5, 0.0);
    let at = |ip: &str| Endpoint { address: ip.parse().ok(), ..endpoint(0, "x") };
    assert_eq!(f.zone_of(&at("10.0.1.7")), Some(0));
    assert_eq!(f.zone_of(&at("fd00::1")), Some(1));
    assert_eq!(f.zone_of(&at("10.0.2.7")), None, "in no zone: selected as without zone failover");
}

#[test]
fn an_unreachable_zone_is_ejected_and_recovers_in_slow_start() {
    let mut f = failover();
    record_all(&mut f, "hall-a", 0.1, Observation::Responded);
    record_all(&mut f, "hall-b", 0.1, Observation::Responded);
    let local = f.load_plan(0.2).zones[0];
    assert_eq!((local.state, local.share), (ZoneState::Healthy, 1.0));
    // hall-b is cut off: two of its endpoints stop responding. One detection timeout later it is ejected, though
    // the endpoint list still has it.
    f.record(1.0, "hall-b/0", Observation::TimedOut);
    assert_eq!(state(&f, 1), ZoneState::Degraded, "one unresponsive endpoint does not eject");
    f.record(1.05, "hall-b/1", Observation::TimedOut);
    assert_eq!(state(&f, 1), ZoneState::Degraded, "not yet a whole detection timeout");
    f.advance(1.5);
    assert_eq!(f.status(1), Some(ZoneStatus { state: ZoneState::Ejected, since_secs: 1.5 }));
    f.advance(2.4);
    assert_eq!(state(&f, 1), ZoneState::Ejected, "in backoff");
    assert_eq!(f.load_plan(2.4).zones[1].share, 0.0);
    // Half-open after the backoff of 1 s: the share rises from zero over the slow-start window of 10 s.
    f.advance(2.5);
    assert_eq!(f.status(1), Some(ZoneStatus { state: ZoneState::Recovering, since_secs: 2.5 }));
    record_all(&mut f, "hall-b", 3.0, Observation::Responded);
    f.advance(7.5);
    assert_eq!(state(&f, 1), ZoneState::Recovering);
    // Still unreachable at the first trials: ejected again, with twice the backoff.
    let mut again = f.clone();
    again.record(7.6, "hall-b/2", Observation::TimedOut);
    again.record(7.7, "hall-b/3", Observation::TimedOut);
    again.advance(8.1);
    assert_eq!(state(&again, 1), ZoneState::Ejected);
    again.advance(10.0);
    assert_eq!(state(&again, 1), ZoneState::Ejected, "a backoff of 2 s now");
    again.advance(10.2);
    assert_eq!(state(&again, 1), ZoneState::Recovering);
    f.advance(12.6);
    assert_eq!(state(&f, 1), ZoneState::Healthy);
}

#[test]
fn an_ejected_local_zone_spills_by_weight_and_isolation_is_detected() {
    let mut f = failover();
    cut(&mut f, "hall-a");
    f.advance(1.5);
    let plan = f.load_plan(1.5);
    assert_eq!((plan.zones[0].state, plan.zones[0].share), (ZoneState::Ejected, 0.0));
    assert!((plan.zones[1].share - 2.0 / 3.0).abs() < 1e-9);
    assert!((plan.zones[2].share - 1.0 / 3.0).abs() < 1e-9);
    assert!(!plan.is_isolated);
    // The gatekeeper itself is cut off: its local zone responds, the others do not.
    let mut f = failover();
    cut(&mut f, "hall-b");
    cut(&mut f, "hall-c");
    f.advance(1.5);
    let plan = f.load_plan(1.5);
    assert!(plan.is_isolated);
    assert_eq!(plan.zones[0].share, 1.0);
}

#[test]
fn a_local_zone_with_half_its_endpoints_takes_its_overprovisioned_half() {
    let mut f = failover();
    let mut listed = endpoints(4);
    listed.retain(|e| !["hall-a/2", "hall-a/3"].contains(&e.name.as_str()));
    f.update_endpoints(1.0, &listed);
    let local = f.load_plan(1.0).zones[0];
    assert_eq!((local.state, local.share), (ZoneState::Degraded, 0.7));
}

#[test]
fn the_backoff_of_a_flapping_zone_grows_each_time() {
    let mut f = failover();
    let mut backoffs_secs = Vec::new();
    let mut now = 0.0;
    for _ in 0..4 {
        now += 1.0;
        f.record(now, "hall-b/0", Observation::TimedOut);
        f.record(now, "hall-b/1", Observation::TimedOut);
        now += 0.5;
        f.advance(now);
        assert_eq!(state(&f, 1), ZoneState::Ejected);
        // All endpoints respond every tenth of a second until the zone is half-open.
        let ejected_at = now;
        while state(&f, 1) == ZoneState::Ejected {
            now += 0.1;
            record_all(&mut f, "hall-b", now, Observation::Responded);
        }
        backoffs_secs.push(((now - ejected_at) * 10.0).round() / 10.0);
    }
    assert!(backoffs_secs.windows(2).all(|w| w[1] > w[0]), "backoffs grow: {backoffs_secs:?}");
}

#[test]
fn load_beyond_the_headroom_stays_unassigned() {
    let mut f = failover();
    cut(&mut f, "hall-a");
    f.advance(1.5);
    // Twelve endpoints of ten dispatches a second each, three gatekeepers. At 90% utilization nothing may spill.
    let LimitedPlan { plan, limits_per_sec } = f.limited_plan(1.5, &offered(36.0, 3, 10.0));
    assert_eq!(plan.zones[1].share + plan.zones[2].share, 0.0);
    assert!((plan.unassigned - 1.0).abs() < 1e-9);
    assert_eq!(limits_per_sec[1], 0.0);
    // At 40%, hall-b may take (0.8 - 0.4) x 40 dispatches a second, from the one gatekeeper that spills.
    let LimitedPlan { plan, limits_per_sec } = f.limited_plan(1.5, &offered(16.0, 3, 10.0));
    assert!((limits_per_sec[1] - 16.0).abs() < 1e-9, "{limits_per_sec:?}");
    assert!((plan.zones[1].share - 2.0 / 3.0).abs() < 1e-9, "within its limit: {plan:?}");
    // Response times of hall-b three times those of hall-c show that it is saturated, whatever the rate says.
    for n in 0..40 {
        let now = 1.5 + f64::from(n) * 0.01;
        f.record_latency(now, "hall-b/0", 0.3);
        f.record_latency(now, "hall-c/0", 0.1);
    }
    let LimitedPlan { plan, limits_per_sec } = f.limited_plan(2.0, &offered(16.0, 3, 10.0));
    assert_eq!((limits_per_sec[1], plan.zones[1].share), (0.0, 0.0));
    assert!(plan.zones[2].share > 0.3, "hall-c takes its share: {plan:?}");
    let unlimited = f.limited_plan(1.5, &offered(16.0, 3, 0.0));
    assert_eq!(unlimited.plan.unassigned, 0.0, "no endpoint rate, no limit");
}

/// With the measured bound, a limit applies only to zones whose response times show congestion.
#[test]
fn a_measured_bound_applies_only_under_congestion() {
    let mut f = failover_with(load(&FILE.replace("rated", "measured")));
    let load = offered(36.0, 3, 10.0);
    cut(&mut f, "hall-a");
    f.advance(1.5);
    assert!(f.limited_plan(1.5, &load).plan.unassigned < 1e-9, "no latency of the others known yet");
    for n in 0..40 {
        f.record_latency(1.5 + f64::from(n) * 0.01, ["hall-b/0", "hall-c/0"][n as usize % 2], 0.1);
    }
    assert!(f.limited_plan(2.0, &load).plan.unassigned < 1e-9, "both respond as usual");
    for n in 0..40 {
        f.record_latency(2.0 + f64::from(n) * 0.01, "hall-b/0", 0.3);
    }
    let plan = f.limited_plan(2.5, &load).plan;
    assert_eq!(plan.zones[1].share, 0.0, "hall-b is congested, and it has no headroom");
    assert!((plan.unassigned - 2.0 / 3.0).abs() < 1e-9);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn shares_sum_to_one(
        zones in prop::collection::vec((any::<bool>(), 0.0f64..10.0, -1.0f64..2.0), 0..6),
        overprovisioning_factor in 0.5f64..5.0,
    ) {
        let input = |&(is_local, weight, health): &(bool, f64, f64)| ZoneInput { is_local, weight, health };
        let inputs: Vec<ZoneInput> = zones.iter().map(input).collect();
        let load = locality::distribute(&inputs, overprovisioning_factor);
        let sum: f64 = load.shares.iter().sum::<f64>() + load.unassigned;
        prop_assert!((sum - 1.0).abs() < 1e-9, "{load:?}");
        prop_assert!(load.shares.iter().all(|share| *share >= 0.0 && *share <= 1.0 + 1e-12));
    }

    #[test]
    fn spillover_of_all_gatekeepers_stays_within_the_headroom(
        capacity_per_sec in 0.0f64..100.0,
        utilization in 0.0f64..1.2,
        max_utilization in 0.05f64..1.0,
        spilling_gatekeepers in 1u32..200,
    ) {
        let headroom = Headroom { capacity_per_sec, utilization, max_utilization, spilling_gatekeepers };
        let total = headroom.limit_per_sec() * f64::from(spilling_gatekeepers);
        prop_assert!(total <= (max_utilization - utilization).max(0.0) * capacity_per_sec + 1e-9);
    }

    #[test]
    fn limited_plans_stay_within_the_limits(
        rate in 0.1f64..200.0,
        gatekeepers in 1u32..100,
        endpoint_rate in 0.1f64..50.0,
        is_cut in prop::collection::vec(any::<bool>(), 3),
    ) {
        let mut f = failover();
        for (zone, _) in ZONES.iter().zip(is_cut).filter(|(_, is_cut)| *is_cut) {
            cut(&mut f, zone);
        }
        f.advance(1.5);
        let LimitedPlan { plan, limits_per_sec } =
            f.limited_plan(1.5, &offered(rate, gatekeepers, endpoint_rate));
        let shares: Vec<f64> = plan.zones.iter().map(|zone| zone.share).collect();
        for (share, limit) in shares.iter().zip(limits_per_sec).skip(1) {
            prop_assert!(share * rate <= limit + 1e-9);
        }
        let sum: f64 = shares.iter().sum::<f64>() + plan.unassigned;
        prop_assert!((sum - 1.0).abs() < 1e-9);
    }

    #[test]
    fn slow_start_never_jumps(
        steps in prop::collection::vec(0.0f64..2.0, 1..100),
        jitter_unit in 0.0f64..1.0,
        window_secs in 1.0f64..60.0,
        jitter in 0.0f64..0.9,
    ) {
        let settings = SlowStartSettings { window_secs, jitter, backoff_secs: 1.0, max_backoff_secs: 10.0 };
        let mut slow_start = SlowStart::new(&settings, jitter_unit);
        slow_start.begin(0.0);
        let (mut now, mut last) = (0.0, slow_start.factor(0.0, &settings));
        for dt in steps {
            now += dt;
            let factor = slow_start.factor(now, &settings);
            let steepest = dt / (window_secs * (1.0 - jitter));
            prop_assert!(factor >= last && factor - last <= steepest + 1e-9);
            last = factor;
        }
    }

    #[test]
    fn steady_responses_lead_to_stable_healthy_zones(
        history in prop::collection::vec((0usize..3, 0usize..4, any::<bool>()), 0..60),
    ) {
        // Any history of timeouts and responses, then steady responses of all endpoints: every zone ends healthy,
        // and no state changes any more in the last stretch.
        let mut f = failover();
        let mut now = 0.0;
        for (zone, n, timed_out) in history {
            now += 0.05;
            let observation = if timed_out { Observation::TimedOut } else { Observation::Responded };
            f.record(now, &format!("{}/{n}", ZONES[zone]), observation);
        }
        let mut late_changes = Vec::new();
        for step in 0..1200 {
            now += 0.1;
            for zone in ZONES {
                record_all(&mut f, zone, now, Observation::Responded);
            }
            if step > 900 {
                late_changes.extend((0..3).filter(|&zone| f.status(zone).unwrap().since_secs == now));
            }
        }
        prop_assert!(late_changes.is_empty(), "changed late: {late_changes:?}");
        prop_assert!((0..3).all(|zone| state(&f, zone) == ZoneState::Healthy));
    }
}
