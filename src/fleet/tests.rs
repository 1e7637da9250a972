//! Properties of the copies: merging commutes, associates and repeats without effect, any schedule of loss, reorder,
//! repetition and cut pieces ends in equal copies once links hold, and nothing passes the stated bounds.

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

/// Units admitted, of which half are answered.
fn admitted(units: f64) -> RowValue {
    RowValue::Usage { units, acknowledged: units / 2.0 }
}

/// Units that others and former lives admitted of a customer in window 7.
fn elsewhere(replica: &Replica, n: u8) -> f64 {
    let held = replica.remote_usage(&customer(n), 7);
    held.others + held.previous_incarnations
}

fn spent(n: u8, window: i64) -> Key {
    Key::Usage(customer(n), window)
}

/// What happens in a fleet of four.
#[derive(Clone, Debug)]
enum Step {
    /// One admits units of a customer.
    Admit(usize, u8, u8),
    /// One writes to another what that one lacks, so many rows at the most; the message is kept.
    Write(usize, usize, usize),
    /// A kept message arrives at its receiver, or at another; it stays, to arrive again.
    Arrive(usize, Option<usize>),
    /// One dies and comes back under its name.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4usize, 0..3u8, 1..9u8).prop_map(|(at, who, units)| Step::Admit(at, who, units)),
        4 => (0..4usize, 0..4usize, 1..5usize).prop_map(|(from, to, most)| Step::Write(from, to, most)),
        4 => (0..64usize, proptest::option::of(0..4usize)).prop_map(|(n, to)| Step::Arrive(n, to)),
        1 => (0..4usize).prop_map(Step::Restart),
    ]
}

struct Fleet {
    members: Vec<Replica>,
    lives: Vec<u64>,
    /// Units that each life admitted, by customer.
    own: Vec<[f64; 3]>,
    /// Units of all lives whose rows any survivor may hold.
    messages: Vec<(usize, Delta)>,
}

impl Fleet {
    fn new() -> Self {
        let members = (0..4).map(|n| Replica::new(origin(n, 1), ReplicaLimits::default())).collect();
        Fleet { members, lives: vec![1; 4], own: vec![[0.0; 3]; 4], messages: Vec::new() }
    }

    fn play(&mut self, step: &Step) {
        match *step {
            Step::Admit(at, who, units) => {
                let spent_now = &mut self.own[at][who as usize];
                *spent_now += f64::from(units);
                let said = admitted(*spent_now);
                assert!(self.members[at].record(100.0, spent(who, 7), said, 30.0));
            }
            Step::Write(from, to, most) => {
                let digest = self.members[to].digest();
                let (pieces, _) = self.members[from].deltas_for(100.0, &digest, most, most);
                self.messages.extend(pieces.into_iter().map(|piece| (to, piece)));
            }
            Step::Arrive(n, astray) => {
                if let Some((to, piece)) = self.messages.get(n % self.messages.len().max(1)).cloned() {
                    self.members[astray.unwrap_or(to)].merge(100.0, piece);
                }
            }
            Step::Restart(at) => {
                self.lives[at] += 1;
                self.own[at] = [0.0; 3];
                self.members[at] = Replica::new(origin(at, self.lives[at]), ReplicaLimits::default());
            }
        }
    }

    /// Links hold: each asks each, in small pieces, until nothing more comes.
    fn heal(&mut self) {
        for _ in 0..64 {
            let mut news = 0;
            for to in 0..4 {
                for from in 0..4 {
                    let digest = self.members[to].digest();
                    let (pieces, _) = self.members[from].deltas_for(100.0, &digest, 3, from);
                    for piece in pieces {
                        let before = self.members[to].digest();
                        self.members[to].merge(100.0, piece);
                        news += usize::from(self.members[to].digest() != before);
                    }
                }
            }
            if news == 0 {
                return;
            }
        }
        panic!("it never comes to rest");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, ..ProptestConfig::default() })]

    /// Whatever was lost, repeated, reordered or went astray: once links hold all copies are equal, and no unit that
    /// a living one admitted is missing or counted twice.
    #[test]
    fn any_schedule_ends_in_equal_copies(steps in proptest::collection::vec(step(), 0..80)) {
        let mut fleet = Fleet::new();
        for step in &steps {
            fleet.play(step);
        }
        fleet.heal();
        let held = |member: &Replica| member.digest().into_iter().filter(|(_, upto)| *upto > 0).collect::<Digest>();
        let digest = held(&fleet.members[0]);
        for (at, member) in fleet.members.iter().enumerate() {
            prop_assert_eq!(&held(member), &digest);
            for who in 0..3 {
                let all = elsewhere(member, who) + fleet.own[at][who as usize];
                let first = elsewhere(&fleet.members[0], who) + fleet.own[0][who as usize];
                prop_assert_eq!(all, first);
                let living: f64 = fleet.own.iter().map(|own| own[who as usize]).sum();
                prop_assert!(all >= living, "{} of {}", all, living);
            }
        }
    }

    /// Never more than was admitted, at any moment and in any copy.
    #[test]
    fn no_copy_ever_tells_more_than_was_admitted(steps in proptest::collection::vec(step(), 0..80)) {
        let mut fleet = Fleet::new();
        let mut admitted = [0.0; 3];
        for step in &steps {
            if let Step::Admit(_, who, units) = step {
                admitted[*who as usize] += f64::from(*units);
            }
            fleet.play(step);
            for member in &fleet.members {
                for who in 0..3 {
                    prop_assert!(elsewhere(member, who) <= admitted[who as usize]);
                }
            }
        }
    }

    /// Pieces in any order, any number of times: the same copy.
    #[test]
    fn merging_commutes_and_repeats_without_effect(
        units in proptest::collection::vec((0..3u8, 1..9u8), 1..20),
        order in proptest::collection::vec(0..64usize, 0..60),
    ) {
        let mut writer = Replica::new(origin(0, 1), ReplicaLimits::default());
        let (mut own, mut pieces) = ([0.0; 3], Vec::new());
        for (who, more) in &units {
            own[*who as usize] += f64::from(*more);
            writer.record(100.0, spent(*who, 7), admitted(own[*who as usize]), 30.0);
            let from = pieces.iter().map(|p: &Delta| p.through_version).max().unwrap_or(0);
            let known = Digest::from([(origin(0, 1), from)]);
            pieces.extend(writer.deltas_for(100.0, &known, 64, 0).0);
        }
        let mut any = Replica::new(origin(1, 1), ReplicaLimits::default());
        for n in &order {
            any.merge(100.0, pieces[n % pieces.len()].clone());
        }
        let mut straight = any.clone();
        for piece in &pieces {
            straight.merge(100.0, piece.clone());
        }
        for piece in pieces.iter().rev().chain(&pieces).chain(pieces.iter().rev()) {
            any.merge(100.0, piece.clone());
        }
        prop_assert_eq!(any.digest(), straight.digest());
        for who in 0..3 {
            prop_assert_eq!(elsewhere(&any, who), own[who as usize]);
            prop_assert_eq!(elsewhere(&straight, who), own[who as usize]);
        }
    }

    /// Rows, origins and what is remembered of the forgotten stay within their bounds, whatever comes.
    #[test]
    fn memory_is_bounded(
        pieces in proptest::collection::vec((0..40usize, 1..4u64, 0..200u8, 0..9i64, 0.0..1e4f64), 0..300),
    ) {
        let bounds = ReplicaLimits { rows_per_origin: 16, remote_origins: 8, retention_secs: 20.0, forget_after_secs: 30.0, ..ReplicaLimits::default() };
        let mut replica = Replica::new(origin(0, 1), bounds);
        for (n, (at, life, who, window, until)) in pieces.into_iter().enumerate() {
            let now = n as f64;
            let row = Row { key: spent(who, window), version: n as u64 + 1, expires_at: until, value: admitted(1.0) };
            let rows = vec![row];
            replica.merge(now, Delta { origin: origin(at, life), after_version: 0, through_version: n as u64 + 1, rows });
            replica.record(now, spent(who, window), admitted(now), 1e9);
            replica.sweep(now, &BTreeSet::new());
            prop_assert!(replica.lags(now).count() <= bounds.remote_origins + 1);
            prop_assert!(replica.row_count() <= (bounds.remote_origins + 1) * bounds.rows_per_origin);
        }
        replica.sweep(1e6, &BTreeSet::new());
        prop_assert_eq!((replica.row_count(), replica.lags(1e6).count()), (0, 1));
    }
}

/// Garbage, half truths and rows in another's name change nothing that they do not prove.
#[test]
fn what_proves_nothing_changes_nothing() {
    let mut replica = Replica::new(origin(0, 2), ReplicaLimits::default());
    replica.record(100.0, spent(1, 7), admitted(3.0), 30.0);
    let row = |version, until, said| Row { key: spent(1, 7), version, expires_at: until, value: said };
    let piece = |origin, from, upto, rows| Delta { origin, after_version: from, through_version: upto, rows };
    let judged = NodeHealth {
        started_at: 0.0,
        failure_rate: 0.5,
        latency_ratio: 1.0,
        evidence_age_secs: 0.0,
        recorded_at: 100.0,
    };
    for (wrong, why) in [
        (piece(origin(0, 2), 0, 9, vec![row(9, 120.0, admitted(8.0))]), "this life's own rows"),
        (piece(origin(1, 1), 5, 4, vec![row(4, 120.0, admitted(8.0))]), "an end before its beginning"),
        (piece(origin(1, 1), 0, 4, vec![row(5, 120.0, admitted(8.0))]), "a change after its end"),
        (piece(origin(1, 1), 0, 4, vec![row(1, 120.0, admitted(f64::NAN))]), "no number"),
        (piece(origin(1, 1), 0, 4, vec![row(1, 120.0, admitted(-1.0))]), "less than nothing"),
        (piece(origin(1, 1), 0, 4, vec![row(1, f64::INFINITY, admitted(1.0))]), "no end"),
        (
            piece(origin(1, 1), 0, 4, vec![row(1, 120.0, RowValue::Health(judged))]),
            "a judgement of a customer",
        ),
    ] {
        assert_eq!(replica.merge(100.0, wrong).rejected, 1, "{why}");
        assert_eq!(elsewhere(&replica, 1), 0.0, "{why}");
        assert_eq!(replica.digest().get(&origin(1, 1)).copied().unwrap_or(0), 0, "{why}");
    }
    // A piece that runs ahead of what is here is left, and found again by the next digest.
    let mut replica = Replica::new(origin(0, 2), ReplicaLimits::default());
    assert_eq!(
        replica.merge(100.0, piece(origin(1, 1), 5, 9, vec![row(8, 120.0, admitted(2.0))])).rejected,
        1
    );
    assert!(!replica.digest().contains_key(&origin(1, 1)));
}

/// A clock that is far ahead does not keep a row for longer than the bound.
#[test]
fn another_clock_is_trusted_no_further_than_the_bound() {
    let mut replica = Replica::new(origin(0, 1), ReplicaLimits::default());
    let row = Row { key: spent(1, 7), version: 1, expires_at: 1e9, value: admitted(2.0) };
    replica
        .merge(100.0, Delta { origin: origin(1, 1), after_version: 0, through_version: 1, rows: vec![row] });
    replica.sweep(100.0 + ReplicaLimits::default().retention_secs - 1.0, &BTreeSet::new());
    assert_eq!(elsewhere(&replica, 1), 2.0);
    replica.sweep(100.0 + ReplicaLimits::default().retention_secs + 1.0, &BTreeSet::new());
    assert_eq!(elsewhere(&replica, 1), 0.0);
}

/// A gatekeeper that is back finds what its former self spent, on its own shelf, and a forgotten life stays forgotten.
#[test]
fn a_former_life_counts_until_it_is_forgotten() {
    let bounds = ReplicaLimits::default();
    let mut former = Replica::new(origin(0, 1), bounds);
    former.record(100.0, spent(1, 7), admitted(5.0), 30.0);
    let mut peer = Replica::new(origin(1, 1), bounds);
    let (pieces, more) = former.deltas_for(100.0, &peer.digest(), 64, 0);
    assert!(!more);
    for piece in pieces.clone() {
        peer.merge(100.0, piece);
    }
    let mut back = Replica::new(origin(0, 2), bounds);
    for piece in peer.deltas_for(101.0, &back.digest(), 64, 0).0 {
        back.merge(101.0, piece);
    }
    let held = back.remote_usage(&customer(1), 7);
    assert_eq!(held, RemoteUsage { others: 0.0, previous_incarnations: 5.0, acknowledged: 2.5 });
    assert_eq!(peer.remote_usage(&customer(1), 7).others, 5.0, "to a peer it is another's");
    peer.sweep(100.0 + bounds.forget_after_secs + 1.0, &BTreeSet::new());
    for piece in pieces {
        assert_eq!(peer.merge(100.0 + bounds.forget_after_secs + 2.0, piece).applied, 0);
    }
    assert!(!peer.digest().contains_key(&origin(0, 1)));
}

/// Of judgements of a node the freshest stands, of two as fresh the more careful, and none of another life of it.
#[test]
fn the_freshest_judgement_of_this_life_stands() {
    let mut replica = Replica::new(origin(0, 1), ReplicaLimits::default());
    let node = HostId(Arc::from("n0"));
    let mut say = |from: usize, started, fails, age, at| {
        let said = RowValue::Health(NodeHealth {
            started_at: started,
            failure_rate: fails,
            latency_ratio: 1.0,
            evidence_age_secs: age,
            recorded_at: at,
        });
        let row = Row { key: Key::Health(node.clone()), version: 1, expires_at: 140.0, value: said };
        replica.merge(
            100.0,
            Delta { origin: origin(from, 1), after_version: 0, through_version: 1, rows: vec![row] },
        );
    };
    say(1, 50.0, 0.9, 0.0, 99.0);
    say(2, 80.0, 0.1, 5.0, 98.0);
    say(3, 80.0, 0.2, 1.0, 98.0);
    say(4, 80.0, 0.4, 1.0, 98.0);
    let judged = replica.remote_health(100.0, &node, 80.0).map(|(j, age)| (j.failure_rate, age));
    assert_eq!(judged, Some((0.4, 3.0)));
    assert_eq!(replica.remote_health(100.0, &node, 50.0).map(|(j, _)| j.failure_rate), Some(0.9));
    assert_eq!(replica.remote_health(100.0, &node, 90.0), None);
}

/// A fleet of two in which the second one writes beats; a message takes so long.
fn beats(reader: &mut Replica, writer: &mut Replica, from: f64, count: usize, way: f64, clocks: f64) {
    for n in 0..count {
        let now = from + 0.5 * n as f64;
        writer.record(now + clocks, Key::Heartbeat, RowValue::Heartbeat(now - 90.0), 60.0);
        for piece in writer.deltas_for(now + clocks, &reader.digest(), 64, 0).0 {
            reader.merge(now + way, piece);
        }
    }
}

/// How old a copy is comes from its origin's beats: no clock is compared, a second beat is needed, and silence ages.
#[test]
fn a_copy_is_fresh_while_beats_come_and_ages_without() {
    for clocks in [0.0, -50.0, 3600.0] {
        let mut reader = Replica::new(origin(0, 1), ReplicaLimits::default());
        let mut writer = Replica::new(origin(1, 1), ReplicaLimits::default());
        let age = |r: &Replica, now| r.lags(now).map(|l| l.seconds).fold(0.0, f64::max);
        beats(&mut reader, &mut writer, 100.0, 1, 0.1, clocks);
        assert_eq!(
            (age(&reader, 100.1), reader.fresh_fraction(100.1, 2)),
            (f64::INFINITY, 0.0),
            "one beat tells nothing"
        );
        beats(&mut reader, &mut writer, 100.5, 8, 0.1, clocks);
        assert!(age(&reader, 104.1) < 0.01, "{clocks}: {}", age(&reader, 104.1));
        assert_eq!((reader.fresh_fraction(104.9, 2), reader.fresh_fraction(104.9, 5)), (1.0, 0.25));
        assert_eq!(reader.fresh_fraction(105.4, 2), 0.0, "{clocks}: no beat for over a second");
        // What comes late by another way is as old as it is.
        beats(&mut reader, &mut writer, 104.5, 1, 3.0, clocks);
        assert!((age(&reader, 107.5) - 2.9).abs() < 0.01, "{clocks}: {}", age(&reader, 107.5));
        assert_eq!(reader.fresh_fraction(107.5, 2), 0.0);
        // One that ended as it was told to spends no more.
        writer.record(108.0 + clocks, Key::Left, RowValue::Left, 60.0);
        for piece in writer.deltas_for(108.0 + clocks, &reader.digest(), 64, 0).0 {
            reader.merge(108.1, piece);
        }
        assert_eq!(reader.fresh_fraction(120.0, 2), 1.0, "{clocks}: it has left");
    }
}

/// Of two lives of a name the last one counts; changes that somebody holds and that are not here are told.
#[test]
fn the_last_life_counts_and_missing_changes_are_told() {
    let mut reader = Replica::new(origin(0, 1), ReplicaLimits::default());
    let mut writer = Replica::new(origin(1, 1), ReplicaLimits::default());
    beats(&mut reader, &mut writer, 100.0, 3, 0.1, 0.0);
    let mut again = Replica::new(origin(1, 2), ReplicaLimits::default());
    beats(&mut reader, &mut again, 101.2, 1, 0.1, 0.0);
    assert_eq!(reader.fresh_fraction(101.3, 2), 0.0, "its new life is not known yet");
    beats(&mut reader, &mut again, 101.7, 2, 0.1, 0.0);
    assert_eq!(reader.fresh_fraction(102.3, 2), 1.0);
    reader.observe_digest(&Digest::from([(origin(1, 2), 9)]));
    let behind: Vec<u64> = reader.lags(102.3).map(|l| l.missing_versions).collect();
    assert_eq!(behind, [0, 0, 6]);
}

/// A judgement is written again where it has changed by a step or its evidence is news, not with each answer.
#[test]
fn a_judgement_is_no_echo_of_each_answer() {
    let mut replica = Replica::new(origin(0, 1), ReplicaLimits::default());
    let node = || HostId(Arc::from("n0"));
    let judged = |fails, at| NodeHealth {
        started_at: 50.0,
        failure_rate: fails,
        latency_ratio: 1.6,
        evidence_age_secs: 0.0,
        recorded_at: at,
    };
    for n in 0..20 {
        let now = 100.0 + 0.05 * f64::from(n);
        assert!(replica.record_health(now, node(), judged(0.5 + 0.001 * f64::from(n), now), 2.0));
    }
    assert_eq!(replica.digest()[&origin(0, 1)], 1);
    replica.record_health(101.1, node(), judged(0.8, 101.1), 2.0);
    replica.record_health(103.2, node(), judged(0.8, 103.2), 2.0);
    assert_eq!(replica.digest()[&origin(0, 1)], 3);
    assert_eq!(replica.remotely_observed_nodes().len(), 0, "one's own is no other's word");
}

/// With little room each origin has its turn, however much the first ones have to say.
#[test]
fn no_origin_waits_for_ever_behind_the_first_ones() {
    let mut writer = Replica::new(origin(9, 1), ReplicaLimits::default());
    let mut reader = Replica::new(origin(8, 1), ReplicaLimits::default());
    for round in 0..12u64 {
        for n in 0..4 {
            let said = admitted(1.0 + round as f64);
            let rows = (0..8).map(|who| Row {
                key: spent(who, 7),
                version: 8 * round + u64::from(who) + 1,
                expires_at: 140.0,
                value: said,
            });
            let piece = Delta {
                origin: origin(n, 1),
                after_version: 8 * round,
                through_version: 8 * round + 8,
                rows: rows.collect(),
            };
            writer.merge(100.0, piece);
        }
        for piece in writer.deltas_for(100.0, &reader.digest(), 10, round as usize).0 {
            reader.merge(100.0, piece);
        }
    }
    let upto: Vec<u64> = (0..4).map(|n| reader.digest().get(&origin(n, 1)).copied().unwrap_or(0)).collect();
    assert!(upto.iter().all(|upto| *upto >= 8 * 7), "{upto:?}");
    assert!(writer.deltas_for(100.0, &reader.digest(), 0, 0).0.is_empty(), "no room, no rows");
}

/// The sums that are kept up are those of the rows, and what has changed is told once.
#[test]
fn sums_follow_the_rows() {
    let (mut reader, mut writer) = (
        Replica::new(origin(0, 1), ReplicaLimits::default()),
        Replica::new(origin(1, 1), ReplicaLimits::default()),
    );
    let mut pass = |writer: &mut Replica, now| {
        for piece in writer.deltas_for(now, &reader.digest(), 64, 0).0 {
            reader.merge(now, piece);
        }
        reader.sweep(now, &BTreeSet::new());
        let mut changed = reader.take_changed_usage();
        changed.sort_by(|a, b| a.0.cmp(&b.0));
        changed.iter().map(|((_, window), e)| (*window, e.others, e.acknowledged)).collect::<Vec<_>>()
    };
    writer.record(100.0, spent(1, 7), admitted(4.0), 5.0);
    writer.record(100.0, spent(1, 8), admitted(2.0), 30.0);
    assert_eq!(pass(&mut writer, 100.0), [(7, 4.0, 2.0), (8, 2.0, 1.0)]);
    assert_eq!(pass(&mut writer, 101.0), []);
    writer.record(102.0, spent(1, 7), admitted(6.0), 5.0);
    assert_eq!(pass(&mut writer, 102.0), [(7, 6.0, 3.0)]);
    assert_eq!(pass(&mut writer, 108.0), [(7, 0.0, 0.0)], "out of date");
    assert_eq!(pass(&mut writer, 1000.0), [(8, 0.0, 0.0)], "forgotten");
}
