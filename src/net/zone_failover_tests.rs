//! Tests of the adapter: host weights, and what counts as offered load.

use super::*;
use std::sync::Arc;

fn entry(n: usize, zone: &str) -> HostEntry {
    HostEntry {
        host: HostId(Arc::from(format!("127.0.0.{}:80", n + 1))),
        zone: zone.into(),
        group: 0,
        kind: "std".into(),
        availability: Availability::Ready,
        nominal_capacity: 1.0,
        last_start: None,
    }
}

/// The first of three gatekeepers, in zone a of three, with two hosts in each zone.
fn balancer(text: &str) -> ZoneBalancer {
    let settings = ZoneFailoverSettings::load(text).unwrap().unwrap();
    let gatekeeper = Gatekeeper { zone_label: "a".into(), ordinal: 0, fleet_size: 3 };
    let mut balancer = ZoneBalancer::new(settings, gatekeeper, Duration::ZERO);
    let entries: Vec<HostEntry> = (0..6).map(|n| entry(n, ["a", "b", "c"][n % 3])).collect();
    balancer.update_endpoints(Duration::ZERO, ListScope::Replace, &entries);
    balancer
}

/// The hosts of zone a.
fn local_hosts() -> [HostId; 2] {
    ["127.0.0.1:80", "127.0.0.4:80"].map(|host| HostId(Arc::from(host)))
}

#[test]
fn a_healthy_local_zone_takes_all_load_and_an_unreachable_one_fails_over() {
    let secs = Duration::from_secs_f64;
    let text = "halls: { bound: \"rated\", notice: 0.5, hold: 1, ramp: 4, ramp_jitter: 0 }";
    let local = local_hosts();
    let mut b = balancer(text);
    let ZoneWeights { factors, remote_share, unassigned } = b.poll_weights(secs(0.1)).expect("first weights");
    assert_eq!(remote_share, None, "local hosts are preferred");
    let local_factors: Vec<f64> = factors.iter().filter(|f| local.contains(&f.0)).map(|f| f.1).collect();
    assert_eq!(local_factors, [1.0, 1.0], "the choice of the decision module applies");
    assert_eq!(unassigned, 0.0);
    assert!(b.poll_weights(secs(0.2)).is_none(), "no change");
    // Both local hosts hang: the load goes to the other zones, by weight.
    for host in &local {
        b.dispatch_ended(secs(1.0), host, ExchangeOutcome::TimedOut { written: true }, secs(0.6));
    }
    // Unresponsive hosts are no capacity: the zone degrades to nothing at once, and is ejected one detection
    // timeout later.
    let ZoneWeights { factors, remote_share, .. } = b.poll_weights(secs(1.2)).expect("new weights at once");
    assert_eq!(remote_share, Some(1.0));
    for (host, factor) in factors {
        let expected = if local.contains(&host) { 0.0 } else { 1.5 };
        assert!((factor - expected).abs() < 1e-9, "{host:?} {factor}");
    }
    // A dispatch that was given up before the detection timeout does not count as timed out.
    let mut b = balancer(text);
    b.poll_weights(secs(0.1));
    for host in &local {
        b.dispatch_ended(secs(1.0), host, ExchangeOutcome::TimedOut { written: true }, secs(0.2));
    }
    assert!(b.poll_weights(secs(1.0)).is_none());
}

/// Guards the spillover limit against a feedback that lifts it: requests rejected as unassigned are not dispatched,
/// so if only dispatches count as offered load, the fleet looks less utilized the more is rejected, and the spillover
/// returns (through an outage at 75% load, the remaining zones run at full utilization despite a limit of 85%).
#[test]
fn rejected_requests_count_as_offered_load() {
    let mut b = balancer(
        "halls: { bound: \"rated\", notice: 0.5, hold: 30, ramp: 4, ramp_jitter: 0, node_rate: 10, spill_use: 0.85 }",
    );
    // 15 requests a second here, 45 in all, on six hosts of 10 a second each: 75% utilization.
    let (mut t, mut rejected, mut owed, mut dispatched) = (0.0, 0u64, 0.0, 0);
    let mut unassigned = 0.0;
    for n in 0..600 {
        t += 1.0 / 15.0;
        let now = Duration::from_secs_f64(t);
        if n == 150 {
            for host in &local_hosts() {
                b.dispatch_timed_out(now, host);
            }
        }
        owed += unassigned;
        if owed >= 1.0 {
            owed -= 1.0;
            rejected += 1;
        } else {
            b.dispatch_started(now);
            dispatched += usize::from(n >= 300);
        }
        b.record_rejected(now, rejected);
        if let Some(weights) = b.poll_weights(now) {
            unassigned = weights.unassigned;
        }
    }
    // One gatekeeper of three spills: (0.85 - 0.75) of four hosts is 4 a second, over 20 s.
    assert!((60..=110).contains(&dispatched), "{dispatched} dispatched in 20 s, the limit allows 80");
}
