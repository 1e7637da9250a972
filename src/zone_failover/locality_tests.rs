//! Tests of load distribution and spillover limits.

use super::*;

fn zone(is_local: bool, weight: f64, health: f64) -> ZoneInput {
    ZoneInput { is_local, weight, health }
}

#[test]
fn a_healthy_local_zone_takes_the_whole_load() {
    let s = distribute(&[zone(true, 1.0, 1.0), zone(false, 1.0, 1.0), zone(false, 1.0, 1.0)], 1.4);
    assert_eq!(s.shares, vec![1.0, 0.0, 0.0]);
    // The local zone may degrade to a health of 1 / 1.4 before anything spills.
    let s = distribute(&[zone(true, 1.0, 0.75), zone(false, 1.0, 1.0)], 1.4);
    assert_eq!(s.shares[0], 1.0);
}

#[test]
fn a_degraded_local_zone_spills_by_locality_weight() {
    let s = distribute(&[zone(true, 1.0, 0.5), zone(false, 3.0, 1.0), zone(false, 1.0, 1.0)], 1.4);
    assert!((s.shares[0] - 0.7).abs() < 1e-9);
    assert!((s.shares[1] - 0.225).abs() < 1e-9);
    assert!((s.shares[2] - 0.075).abs() < 1e-9);
    assert!(s.unassigned.abs() < 1e-9);
}

#[test]
fn load_stays_unassigned_when_the_local_zone_and_half_the_rest_are_down() {
    let s = distribute(&[zone(true, 1.0, 0.0), zone(false, 1.0, 0.5), zone(false, 1.0, 0.0)], 1.4);
    assert!((s.shares[1] - 0.35).abs() < 1e-9);
    assert!((s.unassigned - 0.65).abs() < 1e-9);
}

#[test]
fn the_spillover_limit_is_the_headroom_split_over_the_gatekeepers() {
    let headroom =
        Headroom { capacity_per_sec: 12.0, utilization: 0.5, max_utilization: 0.8, spilling_gatekeepers: 3 };
    assert_eq!(headroom.limit_per_sec(), 1.2000000000000002);
    assert_eq!(Headroom { utilization: 0.9, ..headroom }.limit_per_sec(), 0.0);
}
