//! Properties of replication: merging is commutative, associative and idempotent; replicas converge after any
//! schedule of lost, reordered, repeated and partial messages once the links work; and memory stays within its
//! limits.

use super::replica::*;
use crate::identifiers::{CustomerId, HostId};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::sync::Arc;

fn origin(n: usize, incarnation: u64) -> Origin {
    Origin { name: format!("g{n}").into(), incarnation }
}

fn customer(n: u8) -> CustomerId {
    CustomerId(Arc::from(format!("c{n}")))
}

/// Usage of which the counter has acknowledged half.
fn admitted(units: f64) -> RowValue {
    RowValue::Usage { units, acknowledged: units / 2.0 }
}

/// Units of a customer in window 7 that all origins except the local one admitted.
fn remote_units(replica: &Replica, n: u8) -> f64 {
    let held = replica.remote_usage(&customer(n), 7);
    held.others + held.previous_incarnations
}

fn usage_key(n: u8, window: i64) -> Key {
    Key::Usage(customer(n), window)
}

/// An event in a fleet of four members.
#[derive(Clone, Debug)]
enum Step {
    /// A member admits units of a customer: member, customer, units.
    Admit(usize, u8, u8),
    /// A member sends another the changes that it lacks: sender, receiver, maximum number of rows. The message is
    /// kept.
    Send(usize, usize, usize),
    /// A kept message is delivered to its receiver, or to another member. It may be delivered again later.
    Deliver(usize, Option<usize>),
    /// A member crashes and restarts under its name with an empty replica.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4usize, 0..3u8, 1..9u8).prop_map(|(member, who, units)| Step::Admit(member, who, units)),
        4 => (0..4usize, 0..4usize, 1..5usize).prop_map(|(from, to, max_rows)| Step::Send(from, to, max_rows)),
        4 => (0..64usize, proptest::option::of(0..4usize)).prop_map(|(n, to)| Step::Deliver(n, to)),
        1 => (0..4usize).prop_map(Step::Restart),
    ]
}

struct Fleet {
    members: Vec<Replica>,
    incarnations: Vec<u64>,
    /// Units that the present incarnation of each member admitted, by customer.
    own_units: Vec<[f64; 3]>,
    /// Messages sent so far, each with its receiver.
    messages: Vec<(usize, Delta)>,
}

impl Fleet {
    fn new() -> Self {
        let members = (0..4).map(|n| Replica::new(origin(n, 1), ReplicaLimits::default())).collect();
        Fleet { members, incarnations: vec![1; 4], own_units: vec![[0.0; 3]; 4], messages: Vec::new() }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Admit(member, who, units) => {
                let own_units = &mut self.own_units[member][who as usize];
                *own_units += f64::from(units);
                let value = admitted(*own_units);
                assert!(self.members[member].record(100.0, usage_key(who, 7), value, 30.0));
            }
            Step::Send(from, to, max_rows) => {
                let digest = self.members[to].digest();
                let (deltas, _) = self.members[from].deltas_for(100.0, &digest, max_rows, max_rows);
                self.messages.extend(deltas.into_iter().map(|delta| (to, delta)));
            }
            Step::Deliver(n, other_receiver) => {
                if let Some((to, delta)) = self.messages.get(n % self.messages.len().max(1)).cloned() {
                    self.members[other_receiver.unwrap_or(to)].merge(100.0, delta);
                }
            }
            Step::Restart(member) => {
                self.incarnations[member] += 1;
                self.own_units[member] = [0.0; 3];
                self.members[member] =
                    Replica::new(origin(member, self.incarnations[member]), ReplicaLimits::default());
            }
        }
    }

    /// Exchanges small messages between all members over working links until no replica changes.
    fn converge(&mut self) {
        for _ in 0..64 {
            let mut changes = 0;
            for to in 0..4 {
                for from in 0..4 {
                    let digest = self.members[to].digest();
                    let (deltas, _) = self.members[from].deltas_for(100.0, &digest, 3, from);
                    for delta in deltas {
                        let before = self.members[to].digest();
                        self.members[to].merge(100.0, delta);
                        changes += usize::from(self.members[to].digest() != before);
                    }
                }
            }
            if changes == 0 {
                return;
            }
        }
        panic!("the replicas do not converge within 64 rounds");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, ..ProptestConfig::default() })]

    /// After any schedule of lost, repeated, reordered and misdelivered messages, once the links work, all replicas
    /// are equal, and no unit that a live incarnation admitted is missing or counted twice.
    #[test]
    fn replicas_converge_after_any_schedule(steps in proptest::collection::vec(step(), 0..80)) {
        let mut fleet = Fleet::new();
        for step in &steps {
            fleet.apply(step);
        }
        fleet.converge();
        let held = |member: &Replica| member.digest().into_iter().filter(|(_, upto)| *upto > 0).collect::<Digest>();
        let digest = held(&fleet.members[0]);
        for (n, member) in fleet.members.iter().enumerate() {
            prop_assert_eq!(&held(member), &digest);
            for who in 0..3 {
                let all = remote_units(member, who) + fleet.own_units[n][who as usize];
                let first = remote_units(&fleet.members[0], who) + fleet.own_units[0][who as usize];
                prop_assert_eq!(all, first);
                let live_units: f64 = fleet.own_units.iter().map(|own| own[who as usize]).sum();
                prop_assert!(all >= live_units, "{} of {}", all, live_units);
            }
        }
    }

    /// At no time does any replica show more usage than was admitted.
    #[test]
    fn no_replica_shows_more_than_was_admitted(steps in proptest::collection::vec(step(), 0..80)) {
        let mut fleet = Fleet::new();
        let mut admitted = [0.0; 3];
        for step in &steps {
            if let Step::Admit(_, who, units) = step {
                admitted[*who as usize] += f64::from(*units);
            }
            fleet.apply(step);
            for member in &fleet.members {
                for who in 0..3 {
                    prop_assert!(remote_units(member, who) <= admitted[who as usize]);
                }
            }
        }
    }

    /// Deltas merged in any order and any number of times give the same replica.
    #[test]
    fn merging_is_commutative_and_idempotent(
        units in proptest::collection::vec((0..3u8, 1..9u8), 1..20),
        order in proptest::collection::vec(0..64usize, 0..60),
    ) {
        let mut writer = Replica::new(origin(0, 1), ReplicaLimits::default());
        let (mut own, mut deltas) = ([0.0; 3], Vec::new());
        for (who, more) in &units {
            own[*who as usize] += f64::from(*more);
            writer.record(100.0, usage_key(*who, 7), admitted(own[*who as usize]), 30.0);
            let sent_version = deltas.iter().map(|delta: &Delta| delta.through_version).max().unwrap_or(0);
            let known = Digest::from([(origin(0, 1), sent_version)]);
            deltas.extend(writer.deltas_for(100.0, &known, 64, 0).0);
        }
        let mut any_order = Replica::new(origin(1, 1), ReplicaLimits::default());
        for n in &order {
            any_order.merge(100.0, deltas[n % deltas.len()].clone());
        }
        let mut in_order = any_order.clone();
        for delta in &deltas {
            in_order.merge(100.0, delta.clone());
        }
        for delta in deltas.iter().rev().chain(&deltas).chain(deltas.iter().rev()) {
            any_order.merge(100.0, delta.clone());
        }
        prop_assert_eq!(any_order.digest(), in_order.digest());
        for who in 0..3 {
            prop_assert_eq!(remote_units(&any_order, who), own[who as usize]);
            prop_assert_eq!(remote_units(&in_order, who), own[who as usize]);
        }
    }

    /// Rows, origins and the memory of forgotten origins stay within their limits, whatever is merged.
    #[test]
    fn memory_is_bounded(
        deltas in proptest::collection::vec((0..40usize, 1..4u64, 0..200u8, 0..9i64, 0.0..1e4f64), 0..300),
    ) {
        let limits = ReplicaLimits {
            rows_per_origin: 16,
            remote_origins: 8,
            retention_secs: 20.0,
            forget_after_secs: 30.0,
            ..ReplicaLimits::default()
        };
        let mut replica = Replica::new(origin(0, 1), limits);
        for (n, (member, incarnation, who, window, expires_at)) in deltas.into_iter().enumerate() {
            let now = n as f64;
            let row = Row { key: usage_key(who, window), version: n as u64 + 1, expires_at, value: admitted(1.0) };
            let rows = vec![row];
            let (origin, through_version) = (origin(member, incarnation), n as u64 + 1);
            replica.merge(now, Delta { origin, after_version: 0, through_version, rows });
            replica.record(now, usage_key(who, window), admitted(now), 1e9);
            replica.sweep(now, &BTreeSet::new());
            prop_assert!(replica.lags(now).count() <= limits.remote_origins + 1);
            prop_assert!(replica.row_count() <= (limits.remote_origins + 1) * limits.rows_per_origin);
        }
        replica.sweep(1e6, &BTreeSet::new());
        prop_assert_eq!((replica.row_count(), replica.lags(1e6).count()), (0, 1));
    }
}

/// Deltas that are invalid, incomplete or written under the local origin are rejected and change nothing.
#[test]
fn invalid_deltas_change_nothing() {
    let mut replica = Replica::new(origin(0, 2), ReplicaLimits::default());
    replica.record(100.0, usage_key(1, 7), admitted(3.0), 30.0);
    let row = |version, expires_at, value| Row { key: usage_key(1, 7), version, expires_at, value };
    let delta =
        |origin, after_version, through_version, rows| Delta { origin, after_version, through_version, rows };
    let health = NodeHealth {
        started_at: 0.0,
        failure_rate: 0.5,
        latency_ratio: 1.0,
        evidence_age_secs: 0.0,
        recorded_at: 100.0,
    };
    for (invalid, why) in [
        (delta(origin(0, 2), 0, 9, vec![row(9, 120.0, admitted(8.0))]), "rows of the local origin"),
        (delta(origin(1, 1), 5, 4, vec![row(4, 120.0, admitted(8.0))]), "ends before it begins"),
        (delta(origin(1, 1), 0, 4, vec![row(5, 120.0, admitted(8.0))]), "a version after its end"),
        (delta(origin(1, 1), 0, 4, vec![row(1, 120.0, admitted(f64::NAN))]), "not a number"),
        (delta(origin(1, 1), 0, 4, vec![row(1, 120.0, admitted(-1.0))]), "negative units"),
        (delta(origin(1, 1), 0, 4, vec![row(1, f64::INFINITY, admitted(1.0))]), "never expires"),
        (
            delta(origin(1, 1), 0, 4, vec![row(1, 120.0, RowValue::Health(health))]),
            "node health under a usage key",
        ),
    ] {
        assert_eq!(replica.merge(100.0, invalid).rejected, 1, "{why}");
        assert_eq!(remote_units(&replica, 1), 0.0, "{why}");
        assert_eq!(replica.digest().get(&origin(1, 1)).copied().unwrap_or(0), 0, "{why}");
    }
    // A delta that starts after the held version is rejected; the next digest requests the missing changes.
    let mut replica = Replica::new(origin(0, 2), ReplicaLimits::default());
    assert_eq!(
        replica.merge(100.0, delta(origin(1, 1), 5, 9, vec![row(8, 120.0, admitted(2.0))])).rejected,
        1
    );
    assert!(!replica.digest().contains_key(&origin(1, 1)));
}

/// A row from an origin whose clock is far ahead is kept no longer than the retention limit.
#[test]
fn a_clock_far_ahead_does_not_extend_retention() {
    let mut replica = Replica::new(origin(0, 1), ReplicaLimits::default());
    let row = Row { key: usage_key(1, 7), version: 1, expires_at: 1e9, value: admitted(2.0) };
    replica
        .merge(100.0, Delta { origin: origin(1, 1), after_version: 0, through_version: 1, rows: vec![row] });
    replica.sweep(100.0 + ReplicaLimits::default().retention_secs - 1.0, &BTreeSet::new());
    assert_eq!(remote_units(&replica, 1), 2.0);
    replica.sweep(100.0 + ReplicaLimits::default().retention_secs + 1.0, &BTreeSet::new());
    assert_eq!(remote_units(&replica, 1), 0.0);
}

/// A restarted gatekeeper receives the usage of its previous incarnation from its peers, apart from its own. A
/// forgotten incarnation is not taken again.
#[test]
fn a_previous_incarnation_counts_until_it_is_forgotten() {
    let limits = ReplicaLimits::default();
    let mut previous = Replica::new(origin(0, 1), limits);
    previous.record(100.0, usage_key(1, 7), admitted(5.0), 30.0);
    let mut peer = Replica::new(origin(1, 1), limits);
    let (deltas, has_more) = previous.deltas_for(100.0, &peer.digest(), 64, 0);
    assert!(!has_more);
    for delta in deltas.clone() {
        peer.merge(100.0, delta);
    }
    let mut restarted = Replica::new(origin(0, 2), limits);
    for delta in peer.deltas_for(101.0, &restarted.digest(), 64, 0).0 {
        restarted.merge(101.0, delta);
    }
    let usage = restarted.remote_usage(&customer(1), 7);
    assert_eq!(usage, RemoteUsage { others: 0.0, previous_incarnations: 5.0, acknowledged: 2.5 });
    assert_eq!(peer.remote_usage(&customer(1), 7).others, 5.0, "for a peer it is usage of another member");
    peer.sweep(100.0 + limits.forget_after_secs + 1.0, &BTreeSet::new());
    for delta in deltas {
        assert_eq!(peer.merge(100.0 + limits.forget_after_secs + 2.0, delta).applied, 0);
    }
    assert!(!peer.digest().contains_key(&origin(0, 1)));
}

/// Of the reports on a node the one with the freshest evidence wins, of equally fresh ones the worse; reports on
/// another incarnation of the node do not count.
#[test]
fn the_freshest_report_on_the_present_incarnation_wins() {
    let mut replica = Replica::new(origin(0, 1), ReplicaLimits::default());
    let node = HostId(Arc::from("n0"));
    let mut report = |from: usize, started_at, failure_rate, evidence_age_secs, recorded_at| {
        let value = RowValue::Health(NodeHealth {
            started_at,
            failure_rate,
            latency_ratio: 1.0,
            evidence_age_secs,
            recorded_at,
        });
        let row = Row { key: Key::Health(node.clone()), version: 1, expires_at: 140.0, value };
        replica.merge(
            100.0,
            Delta { origin: origin(from, 1), after_version: 0, through_version: 1, rows: vec![row] },
        );
    };
    report(1, 50.0, 0.9, 0.0, 99.0);
    report(2, 80.0, 0.1, 5.0, 98.0);
    report(3, 80.0, 0.2, 1.0, 98.0);
    report(4, 80.0, 0.4, 1.0, 98.0);
    let health = replica.remote_health(100.0, &node, 80.0).map(|(health, age)| (health.failure_rate, age));
    assert_eq!(health, Some((0.4, 3.0)));
    assert_eq!(replica.remote_health(100.0, &node, 50.0).map(|(health, _)| health.failure_rate), Some(0.9));
    assert_eq!(replica.remote_health(100.0, &node, 90.0), None);
}

/// Sends `count` heartbeats, one per 0.5 s from `start`, from `writer` to `reader`. Messages take `delay_secs`; the
/// clock of the writer is ahead by `clock_offset` seconds.
fn send_heartbeats(
    reader: &mut Replica,
    writer: &mut Replica,
    start: f64,
    count: usize,
    delay_secs: f64,
    clock_offset: f64,
) {
    for n in 0..count {
        let now = start + 0.5 * n as f64;
        writer.record(now + clock_offset, Key::Heartbeat, RowValue::Heartbeat(now - 90.0), 60.0);
        for delta in writer.deltas_for(now + clock_offset, &reader.digest(), 64, 0).0 {
            reader.merge(now + delay_secs, delta);
        }
    }
}

/// The lag behind an origin is derived from its heartbeats: whatever the offset between the clocks, it is known from
/// the second heartbeat on and grows while none arrive.
#[test]
fn a_replica_is_fresh_while_heartbeats_arrive() {
    for clock_offset in [0.0, -50.0, 3600.0] {
        let mut reader = Replica::new(origin(0, 1), ReplicaLimits::default());
        let mut writer = Replica::new(origin(1, 1), ReplicaLimits::default());
        let lag = |r: &Replica, now| r.lags(now).map(|lag| lag.seconds).fold(0.0, f64::max);
        send_heartbeats(&mut reader, &mut writer, 100.0, 1, 0.1, clock_offset);
        assert_eq!(
            (lag(&reader, 100.1), reader.fresh_fraction(100.1, 2)),
            (f64::INFINITY, 0.0),
            "unknown after one heartbeat"
        );
        send_heartbeats(&mut reader, &mut writer, 100.5, 8, 0.1, clock_offset);
        assert!(lag(&reader, 104.1) < 0.01, "{clock_offset}: {}", lag(&reader, 104.1));
        assert_eq!((reader.fresh_fraction(104.9, 2), reader.fresh_fraction(104.9, 5)), (1.0, 0.25));
        assert_eq!(reader.fresh_fraction(105.4, 2), 0.0, "{clock_offset}: no heartbeat for over a second");
        // A heartbeat that arrives late shows the lag of its delay.
        send_heartbeats(&mut reader, &mut writer, 104.5, 1, 3.0, clock_offset);
        assert!((lag(&reader, 107.5) - 2.9).abs() < 0.01, "{clock_offset}: {}", lag(&reader, 107.5));
        assert_eq!(reader.fresh_fraction(107.5, 2), 0.0);
        // A member that has left admits nothing more, so the replica of it stays fresh.
        writer.record(108.0 + clock_offset, Key::Left, RowValue::Left, 60.0);
        for delta in writer.deltas_for(108.0 + clock_offset, &reader.digest(), 64, 0).0 {
            reader.merge(108.1, delta);
        }
        assert_eq!(reader.fresh_fraction(120.0, 2), 1.0, "{clock_offset}: the member has left");
    }
}

/// Of two incarnations of a name the last one counts for freshness, and versions that only another member holds are
/// reported as missing.
#[test]
fn the_last_incarnation_counts_and_missing_versions_are_reported() {
    let mut reader = Replica::new(origin(0, 1), ReplicaLimits::default());
    let mut writer = Replica::new(origin(1, 1), ReplicaLimits::default());
    send_heartbeats(&mut reader, &mut writer, 100.0, 3, 0.1, 0.0);
    let mut restarted = Replica::new(origin(1, 2), ReplicaLimits::default());
    send_heartbeats(&mut reader, &mut restarted, 101.2, 1, 0.1, 0.0);
    assert_eq!(reader.fresh_fraction(101.3, 2), 0.0, "the lag behind the new incarnation is unknown");
    send_heartbeats(&mut reader, &mut restarted, 101.7, 2, 0.1, 0.0);
    assert_eq!(reader.fresh_fraction(102.3, 2), 1.0);
    reader.observe_digest(&Digest::from([(origin(1, 2), 9)]));
    let missing: Vec<u64> = reader.lags(102.3).map(|lag| lag.missing_versions).collect();
    assert_eq!(missing, [0, 0, 6]);
}

/// Node health is written again when it changes by a quantization step or its evidence is newer by the minimum
/// interval, not with each response of the node.
#[test]
fn node_health_is_not_written_for_each_response() {
    let mut replica = Replica::new(origin(0, 1), ReplicaLimits::default());
    let node = || HostId(Arc::from("n0"));
    let health = |failure_rate, recorded_at| NodeHealth {
        started_at: 50.0,
        failure_rate,
        latency_ratio: 1.6,
        evidence_age_secs: 0.0,
        recorded_at,
    };
    for n in 0..20 {
        let now = 100.0 + 0.05 * f64::from(n);
        assert!(replica.record_health(now, node(), health(0.5 + 0.001 * f64::from(n), now), 2.0));
    }
    assert_eq!(replica.digest()[&origin(0, 1)], 1);
    replica.record_health(101.1, node(), health(0.8, 101.1), 2.0);
    replica.record_health(103.2, node(), health(0.8, 103.2), 2.0);
    assert_eq!(replica.digest()[&origin(0, 1)], 3);
    assert_eq!(replica.remotely_observed_nodes().len(), 0, "own observations are not remote ones");
}

/// With small messages every origin is served in turn, even if each has enough changes to fill a message.
#[test]
fn no_origin_starves_with_small_messages() {
    let mut writer = Replica::new(origin(9, 1), ReplicaLimits::default());
    let mut reader = Replica::new(origin(8, 1), ReplicaLimits::default());
    for round in 0..12u64 {
        for n in 0..4 {
            let value = admitted(1.0 + round as f64);
            let rows = (0..8).map(|who| Row {
                key: usage_key(who, 7),
                version: 8 * round + u64::from(who) + 1,
                expires_at: 140.0,
                value,
            });
            let delta = Delta {
                origin: origin(n, 1),
                after_version: 8 * round,
                through_version: 8 * round + 8,
                rows: rows.collect(),
            };
            writer.merge(100.0, delta);
        }
        for delta in writer.deltas_for(100.0, &reader.digest(), 10, round as usize).0 {
            reader.merge(100.0, delta);
        }
    }
    let versions: Vec<u64> =
        (0..4).map(|n| reader.digest().get(&origin(n, 1)).copied().unwrap_or(0)).collect();
    assert!(versions.iter().all(|version| *version >= 8 * 7), "{versions:?}");
    assert!(writer.deltas_for(100.0, &reader.digest(), 0, 0).0.is_empty(), "nothing is sent without room");
}

/// The usage totals follow the rows as these are replaced, expire and are forgotten, and each change is reported
/// once.
#[test]
fn usage_totals_follow_the_rows() {
    let (mut reader, mut writer) = (
        Replica::new(origin(0, 1), ReplicaLimits::default()),
        Replica::new(origin(1, 1), ReplicaLimits::default()),
    );
    let mut replicate = |writer: &mut Replica, now| {
        for delta in writer.deltas_for(now, &reader.digest(), 64, 0).0 {
            reader.merge(now, delta);
        }
        reader.sweep(now, &BTreeSet::new());
        let mut changed = reader.take_changed_usage();
        changed.sort_by(|a, b| a.0.cmp(&b.0));
        changed
            .iter()
            .map(|((_, window), usage)| (*window, usage.others, usage.acknowledged))
            .collect::<Vec<_>>()
    };
    writer.record(100.0, usage_key(1, 7), admitted(4.0), 5.0);
    writer.record(100.0, usage_key(1, 8), admitted(2.0), 30.0);
    assert_eq!(replicate(&mut writer, 100.0), [(7, 4.0, 2.0), (8, 2.0, 1.0)]);
    assert_eq!(replicate(&mut writer, 101.0), []);
    writer.record(102.0, usage_key(1, 7), admitted(6.0), 5.0);
    assert_eq!(replicate(&mut writer, 102.0), [(7, 6.0, 3.0)]);
    assert_eq!(replicate(&mut writer, 108.0), [(7, 0.0, 0.0)], "expired");
    assert_eq!(replicate(&mut writer, 1000.0), [(8, 0.0, 0.0)], "forgotten");
}
