//! Tests of outlier detection.

use super::*;

fn detector(zones: &[usize]) -> OutlierDetector {
    let mut d = OutlierDetector::default();
    for (n, &zone) in zones.iter().enumerate() {
        let record = EndpointRecord { responded_secs: 0.0, ..EndpointRecord::new(zone, 1.0, true) };
        d.endpoints.insert(format!("n{n}"), record);
    }
    d
}

#[test]
fn one_unresponsive_endpoint_does_not_make_a_zone_unreachable() {
    let mut d = detector(&[0, 0, 0]);
    d.record(1.0, "n0", Observation::TimedOut);
    let zone = d.evaluate(0, 3.0, 1.1, 1.0);
    assert!(!zone.is_unreachable);
    assert!((zone.health - 2.0 / 3.0).abs() < 1e-9);
}

#[test]
fn two_unresponsive_endpoints_without_a_response_make_a_zone_unreachable() {
    let mut d = detector(&[0, 0, 0, 1]);
    d.record(0.5, "n2", Observation::Responded);
    d.record(1.0, "n0", Observation::TimedOut);
    d.record(1.1, "n1", Observation::TimedOut);
    assert!(!d.evaluate(0, 3.0, 1.9, 1.0).is_unreachable, "not yet a whole detection timeout");
    assert!(d.evaluate(0, 3.0, 2.0, 1.0).is_unreachable);
    // A response of the third endpoint after the first timeout shows that the zone is reachable.
    d.record(1.15, "n2", Observation::Responded);
    assert!(!d.evaluate(0, 3.0, 2.0, 1.0).is_unreachable);
}

#[test]
fn a_slow_class_on_responding_endpoints_never_makes_a_zone_unreachable() {
    let mut d = detector(&[0, 0]);
    for step in 0..20 {
        let now = f64::from(step) * 0.1;
        d.record(now, "n0", Observation::TimedOut);
        d.record(now + 0.01, "n1", Observation::TimedOut);
        d.record(now + 0.05, "n0", Observation::Responded);
        d.record(now + 0.06, "n1", Observation::Responded);
        assert!(!d.evaluate(0, 2.0, now + 0.07, 1.0).is_unreachable);
    }
}

#[test]
fn refused_connections_lower_health_but_do_not_make_a_zone_unreachable() {
    let mut d = detector(&[0, 0]);
    d.record(1.0, "n0", Observation::Refused);
    d.record(1.0, "n1", Observation::Refused);
    let zone = d.evaluate(0, 2.0, 1.1, 1.0);
    assert!(!zone.is_unreachable);
    assert_eq!(zone.health, 0.0);
    assert!(d.evaluate(0, 2.0, 2.5, 1.0).health > 0.99, "a refusal expires");
}
