//! The state machine: the outcome of each change, that a confirmed one is never rejected, that the active items are
//! valid, that members agree, and that nothing grows without bound.

use super::active_config::ActiveItem;
use super::change::{find_violations, validate_change, ChangeError};
use super::content_hash::{semantic_hash, verbatim_hash};
use super::state::{ChangeOutcome, ConfigStateError, MAX_SUPERSEDED_VERSIONS, MAX_TOMBSTONES};
use super::{ActiveConfig, ConfigItem, ConfigState, ItemFields, ItemKind, ItemSet};
use googletest::prelude::*;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, HashMap};

fn upserted(kind: ItemKind, label: &str, version: u64, body: Value) -> ConfigItem {
    ConfigItem { kind, label: label.into(), version, body: body.as_object().map(ItemFields::from) }
}

pub(super) fn removed(kind: ItemKind, label: &str, version: u64) -> ConfigItem {
    ConfigItem { kind, label: label.into(), version, body: None }
}

pub(super) fn service(label: &str, version: u64, limit: u64) -> ConfigItem {
    upserted(ItemKind::Service, label, version, json!({ "label": label, "conn_limit": limit }))
}

pub(super) fn route(label: &str, version: u64, service: &str) -> ConfigItem {
    let body = json!({ "label": label, "hostname": "a.example", "path_prefix": "/", "service_ref": service });
    upserted(ItemKind::Route, label, version, body)
}

pub(super) fn tenant(label: &str, version: u64, keys: &[&str]) -> ConfigItem {
    upserted(ItemKind::Tenant, label, version, json!({ "label": label, "credentials": keys }))
}

/// 200 with an effect, 200 without, 409, 400, 503.
pub(super) fn outcome_name(outcome: &ChangeOutcome) -> &'static str {
    match outcome {
        ChangeOutcome::Applied(_) => "applied",
        ChangeOutcome::AlreadyApplied => "already applied",
        ChangeOutcome::Conflict(_) => "conflict",
        ChangeOutcome::Invalid(_) => "invalid",
        ChangeOutcome::Indeterminate(_) => "indeterminate",
    }
}

fn merge<'a>(items: &mut ItemSet, news: impl IntoIterator<Item = &'a ConfigItem>) {
    for item in news {
        items.merge(item.clone());
    }
}

/// Superseded versions that the states under generated changes remember: few, so that they forget some.
const SMALL_HISTORY_LIMIT: usize = 100;

/// An empty state that remembers few superseded versions.
fn small_state(records_removals: bool) -> ConfigState {
    let mut state = ConfigState::with_history_limit(SMALL_HISTORY_LIMIT);
    if records_removals {
        state.record_removals();
    }
    state
}

/// The change as it is read from a log on the disk.
fn encode_and_decode(change: &[ConfigItem]) -> Vec<ConfigItem> {
    rmp_serde::from_slice(&rmp_serde::to_vec(change).expect("encoded")).expect("decoded")
}

/// Generates changes over a few names, whose versions mostly rise; some in bulk, so that there are too many tombstones.
struct ChangeGenerator {
    rng: fastrand::Rng,
    clock: u64,
    bulk: bool,
}

impl ChangeGenerator {
    fn item(&mut self) -> ConfigItem {
        let version =
            (self.clock + self.rng.u64(0..6)).saturating_sub(self.rng.u64(0..3) * self.rng.u64(0..60));
        let n = self.rng.u32(0..5);
        let some_service = |rng: &mut fastrand::Rng| format!("s{}", rng.u32(0..4));
        match self.rng.u32(0..20) {
            0..=2 => removed(ItemKind::Route, &format!("r{n}"), version),
            3..=4 => removed(ItemKind::Tenant, &format!("t{n}"), version),
            5..=6 => removed(ItemKind::Service, &some_service(&mut self.rng), version),
            7..=10 => service(&some_service(&mut self.rng), version, self.rng.u64(0..2)),
            11..=14 => {
                let mut item = route(&format!("r{n}"), version, &some_service(&mut self.rng));
                if self.rng.bool() {
                    let (one, two) = (some_service(&mut self.rng), some_service(&mut self.rng));
                    let parts = [one, two].map(|s| json!({ "service_ref": s, "gain": 1 }));
                    let fields = item.body.iter().flat_map(ItemFields::to_map);
                    item.body =
                        Some(ItemFields::from(&fields.chain([("mixture".into(), json!(parts))]).collect()));
                }
                item
            }
            15..=18 => {
                let keys: Vec<String> =
                    (0..self.rng.u32(0..3)).map(|_| format!("k{}", self.rng.u32(0..9))).collect();
                tenant(&format!("t{n}"), version, &keys.iter().map(String::as_str).collect::<Vec<_>>())
            }
            _ => upserted(ItemKind::Saturation, "", version, json!({ "body_max_bytes": self.rng.u32(0..2) })),
        }
    }

    fn change(&mut self) -> Vec<ConfigItem> {
        self.clock += self.rng.u64(0..4);
        if self.bulk && self.rng.u32(0..12) == 0 {
            let version = self.clock;
            let kind = self.rng.choice([ItemKind::Route, ItemKind::Tenant]).expect("one");
            let any = |_| removed(kind, &format!("b{}", self.rng.u32(0..30_000)), version);
            return (0..400).map(any).collect();
        }
        (0..self.rng.u32(1..6)).map(|_| self.item()).collect()
    }
}

/// The table of docs/control.md: each way a version can compare, in a change that is valid and one that isn't.
#[gtest]
fn each_version_comparison_has_its_outcome() {
    let mut base = ConfigState::default();
    for (index, change) in [
        vec![service("s1", 5, 1), tenant("t1", 5, &["k1"]), tenant("t2", 5, &["k2"])],
        // Superseded; its content would share a credential with an active tenant.
        vec![tenant("t1", 9, &["k3"])],
        vec![tenant("t2", 9, &["k1"])],
        vec![service("s2", 5, 1), route("r1", 5, "s2")],
        vec![route("r1", 9, "s1"), removed(ItemKind::Service, "s2", 9)],
    ]
    .iter()
    .enumerate()
    {
        assert_that!(outcome_name(&base.apply(index as u64 + 1, change)), eq("applied"));
    }
    assert_that!(base.last_change_index(), eq(5));
    let cases = [
        ("lower, confirmed before", vec![tenant("t2", 5, &["k2"])], "already applied"),
        ("lower, confirmed before, invalid today", vec![tenant("t1", 5, &["k1"])], "already applied"),
        ("lower, confirmed before, names what is gone", vec![route("r1", 5, "s2")], "already applied"),
        ("lower, number not seen", vec![tenant("t2", 7, &["k8"])], "already applied"),
        ("lower, number not seen, would be invalid", vec![tenant("t2", 7, &["k3"])], "already applied"),
        ("lower, number not seen, names what is gone", vec![route("r1", 7, "s2")], "already applied"),
        ("lower, number not seen, names what never was", vec![route("r1", 7, "s9")], "invalid"),
        ("the same beside a higher one", vec![route("r1", 7, "s9"), tenant("t2", 10, &["k1"])], "invalid"),
        (
            "lower, number not seen, with its service",
            vec![route("r1", 7, "s9"), service("s9", 7, 1)],
            "applied",
        ),
        ("lower, number has another content", vec![tenant("t2", 5, &["k8"])], "conflict"),
        ("equal and same", vec![tenant("t2", 9, &["k1"])], "already applied"),
        ("equal, other, valid", vec![tenant("t2", 9, &["k8"])], "conflict"),
        ("equal, other, invalid", vec![tenant("t2", 9, &["k3"])], "conflict"),
        ("equal, set against drop", vec![removed(ItemKind::Tenant, "t2", 9)], "conflict"),
        ("equal, drop against set", vec![service("s2", 9, 1)], "conflict"),
        ("equal, both dropped", vec![removed(ItemKind::Service, "s2", 9)], "already applied"),
        ("higher, valid", vec![tenant("t2", 10, &["k1", "k8"])], "applied"),
        ("higher, same content", vec![tenant("t2", 10, &["k1"])], "applied"),
        ("higher, shares a key", vec![tenant("t2", 10, &["k3"])], "invalid"),
        ("higher, unknown service", vec![route("r1", 10, "s2")], "invalid"),
        ("higher, drops a service in use", vec![removed(ItemKind::Service, "s1", 10)], "invalid"),
        ("a key changes hands", vec![tenant("t1", 10, &["k1"]), tenant("t2", 10, &["k3"])], "applied"),
        (
            "a service goes with its route",
            vec![removed(ItemKind::Service, "s1", 10), removed(ItemKind::Route, "r1", 10)],
            "applied",
        ),
        ("one of two conflicts", vec![tenant("t1", 10, &["k9"]), tenant("t2", 9, &["k8"])], "conflict"),
        ("conflict goes before invalid", vec![route("r1", 10, "s2"), tenant("t2", 9, &["k8"])], "conflict"),
        ("one of two invalid", vec![tenant("t1", 10, &["k9"]), route("r1", 10, "s2")], "invalid"),
        (
            "a name twice: the higher holds",
            vec![tenant("t1", 11, &["k9"]), tenant("t1", 10, &["k8"])],
            "applied",
        ),
        ("a name twice, same", vec![tenant("t1", 10, &["k8"]), tenant("t1", 10, &["k8"])], "applied"),
        (
            "a name twice, equal and other",
            vec![tenant("t1", 10, &["k8"]), tenant("t1", 10, &["k9"])],
            "conflict",
        ),
        ("nothing", vec![], "already applied"),
    ];
    for (what, change, expected) in cases {
        let mut state = base.clone();
        let outcome = state.apply(6, &change);
        expect_that!(outcome_name(&outcome), eq(expected), "{what}: {outcome:?}");
        match outcome {
            ChangeOutcome::Applied(_) => expect_that!(state.last_change_index(), eq(6), "{what}"),
            ChangeOutcome::AlreadyApplied => expect_that!(state.to_json(), eq(&base.to_json()), "{what}"),
            _ => expect_that!(state, eq(&base), "{what}"),
        }
        if matches!(expected, "applied" | "already applied") {
            expect_that!(outcome_name(&state.apply(7, &change)), eq("already applied"), "{what}: again");
        }
        if what.starts_with("a name twice: ") {
            expect_that!(
                state.body(ItemKind::Tenant, "t1").expect("stands")["credentials"],
                eq(&json!(["k9"]))
            );
            expect_that!(outcome_name(&state.apply(8, &[tenant("t1", 10, &["k7"])])), eq("conflict"));
        }
    }
}

/// A confirmed change that is sent again at any later time is neither rejected nor applied twice; a version has one
/// content; the current version of a name never falls; each conflict has a reason.
#[gtest]
fn confirmed_change_is_never_rejected_when_resent() {
    let mut seen: BTreeMap<&str, u32> = BTreeMap::new();
    let mut again: BTreeMap<&str, u32> = BTreeMap::new();
    for (seed, records_removals) in (0..60).flat_map(|seed| [(seed, false), (seed, true)]) {
        let mut generator =
            ChangeGenerator { rng: fastrand::Rng::with_seed(seed), clock: 0, bulk: seed % 3 == 0 };
        let (mut state, mut sent) = (small_state(records_removals), Vec::<(Vec<ConfigItem>, bool)>::new());
        let mut contents: HashMap<(ItemKind, String, u64), u64> = HashMap::new();
        let mut highest: HashMap<(ItemKind, String), ConfigItem> = HashMap::new();
        for index in 1..500 {
            if sent.is_empty() || generator.rng.bool() {
                let change = generator.change();
                sent.push((change, false));
            }
            // The newest, or any that was ever sent.
            let at = if generator.rng.bool() { sent.len() - 1 } else { generator.rng.usize(0..sent.len()) };
            let (change, confirmed) = &mut sent[at];
            let outcome = state.apply(index, change);
            *seen.entry(outcome_name(&outcome)).or_default() += 1;
            if *confirmed {
                *again.entry(outcome_name(&outcome)).or_default() += 1;
                assert_that!(
                    matches!(outcome, ChangeOutcome::AlreadyApplied | ChangeOutcome::Indeterminate(_)),
                    eq(true),
                    "{outcome:?}"
                );
            }
            let name = |i: &ConfigItem| (i.kind, i.label.clone());
            let number = |i: &ConfigItem| (i.kind, i.label.clone(), i.version);
            let hash = |i: &ConfigItem| semantic_hash(i.body.as_ref().map(ItemFields::to_map).as_ref());
            if let ChangeOutcome::Applied(items) = &outcome {
                for item in items {
                    let before = highest.insert(name(item), (**item).clone());
                    assert_that!(before.is_none_or(|b| b.version < item.version), eq(true), "{item:?}");
                }
            }
            match outcome {
                ChangeOutcome::Applied(_) | ChangeOutcome::AlreadyApplied => {
                    *confirmed = true;
                    for item in change.iter() {
                        let held = contents.insert(number(item), hash(item));
                        assert_that!(held.is_none_or(|h| h == hash(item)), eq(true), "{item:?}");
                        assert_that!(highest[&name(item)].version, ge(item.version));
                    }
                }
                ChangeOutcome::Conflict(_) => {
                    let mut own: HashMap<_, u64> = HashMap::new();
                    let ground = change.iter().any(|i| {
                        let held = contents.get(&number(i)).copied();
                        held.or(own.insert(number(i), hash(i))).is_some_and(|h| h != hash(i))
                    });
                    assert_that!(ground, eq(true), "{change:?}");
                }
                _ => {}
            }
        }
        let active: BTreeSet<_> = state.active_items().map(|i| (i.kind, &i.label, i.version)).collect();
        let expected = highest.values().filter(|i| i.body.is_some());
        assert_that!(active, eq(&expected.map(|i| (i.kind, &i.label, i.version)).collect::<BTreeSet<_>>()));
    }
    println!("outcomes {seen:?}, of changes confirmed before {again:?}");
    expect_that!(seen, len(eq(5)));
    expect_that!(again, len(eq(2)));
}

/// Validation through the lookups agrees with validation of a whole copy, and the active items are always valid.
#[gtest]
fn incremental_validation_agrees_with_full_validation() {
    let mut compared: BTreeMap<&str, u32> = BTreeMap::new();
    for seed in 0..150 {
        let mut generator =
            ChangeGenerator { rng: fastrand::Rng::with_seed(1000 + seed), clock: 0, bulk: false };
        let (mut state, mut items) =
            (ConfigState::with_history_limit(SMALL_HISTORY_LIMIT), ItemSet::default());
        let mut stood = BTreeSet::new();
        for index in 1..120 {
            let change = generator.change();
            // A service that never existed in any state.
            let never = |s: String| {
                !stood.contains(&s) && !change.iter().any(|i| i.kind == ItemKind::Service && i.label == s)
            };
            let routes = change.iter().filter(|i| i.kind == ItemKind::Route).filter_map(|i| i.body.as_ref());
            let lost = routes.flat_map(ItemFields::route_services).any(never);
            let (before, full) = (state.clone(), validate_change(&items, &change));
            let outcome = state.apply(index, &change);
            match (&outcome, full) {
                (ChangeOutcome::Applied(_), Ok(news)) => {
                    assert_that!(news, not(is_empty()));
                    merge(&mut items, &news);
                    assert_that!(state.to_json(), eq(&items.to_json()));
                }
                (ChangeOutcome::AlreadyApplied, Ok(news)) => assert_that!(news, is_empty()),
                (ChangeOutcome::Invalid(fault), Err(_)) => {
                    let mut after = items.clone();
                    merge(&mut after, &change);
                    let named = match fault {
                        ChangeError::SharedCredential(..) => find_violations(&after)
                            .iter()
                            .any(|f| matches!(f, ChangeError::SharedCredential(..))),
                        fault => find_violations(&after).contains(fault),
                    };
                    assert_that!(named, eq(true), "{fault}");
                }
                (ChangeOutcome::Invalid(ChangeError::UnknownService { service, .. }), Ok(_)) => {
                    assert_that!(never(service.clone()), eq(true), "{change:?}");
                }
                (ChangeOutcome::Conflict(_) | ChangeOutcome::Indeterminate(_), _) => {}
                (outcome, full) => panic!("{change:?}: {outcome:?}, on clones {full:?}"),
            }
            match outcome {
                ChangeOutcome::Applied(_) | ChangeOutcome::AlreadyApplied => {
                    assert_that!(lost, eq(false), "{change:?}");
                    let services = change.iter().filter(|i| i.kind == ItemKind::Service);
                    stood.extend(services.map(|i| i.label.clone()));
                }
                _ => assert_that!(state, eq(&before)),
            }
            assert_that!(find_violations(&items), is_empty());
            *compared.entry(outcome_name(&outcome)).or_default() += 1;
        }
    }
    println!("compared {compared:?}");
    expect_that!(compared["applied"], gt(1000));
    expect_that!(compared["invalid"], gt(1000));
}

/// Members don't differ, whether they read the log from a disk or started from a snapshot.
#[gtest]
fn members_encode_the_same_bytes() {
    for (seed, records_removals) in (0..12).flat_map(|seed| [(seed, false), (seed, true)]) {
        let mut generator =
            ChangeGenerator { rng: fastrand::Rng::with_seed(2000 + seed), clock: 0, bulk: seed % 4 == 0 };
        let changes: Vec<Vec<ConfigItem>> = (0..400).map(|_| generator.change()).collect();
        let (mut one, mut other) = (small_state(records_removals), small_state(records_removals));
        for (index, change) in (1..).zip(&changes) {
            let outcome = one.apply(index, change);
            assert_that!(other.apply(index, &encode_and_decode(change)), eq(&outcome));
            if index % 37 == 0 {
                let bytes = one.encode();
                assert_that!(other.encode(), eq(&bytes));
                // Including lookups, history and tombstones.
                other = ConfigState::decode_bounded(&bytes, SMALL_HISTORY_LIMIT).expect("decoded");
                assert_that!(other, eq(&one));
                assert_that!(other.to_json(), eq(&one.to_json()));
            }
        }
    }
}

/// A snapshot that is torn, or was written by another build, is never used.
#[gtest]
fn truncated_or_extended_state_is_refused() {
    let mut generator = ChangeGenerator { rng: fastrand::Rng::with_seed(5), clock: 0, bulk: false };
    let mut state = ConfigState::default();
    for index in 1..60 {
        let _ = state.apply(index, &generator.change());
    }
    let bytes = state.encode();
    for end in 0..bytes.len() {
        expect_that!(ConfigState::decode(&bytes[..end]), err(anything()), "cut at {end}");
    }
    for more in [1, 7, bytes.len()] {
        let longer = [&bytes[..], &bytes[..more]].concat();
        expect_that!(ConfigState::decode(&longer), err(eq(&ConfigStateError::Surplus(more))));
    }
    expect_that!(ConfigState::decode(&[&[9], &bytes[1..]].concat()), err(eq(&ConfigStateError::Format(9))));
    // Two tenants with one key; a route without its service (a route's bytes come first).
    let shared = [tenant("t1", 1, &["k1"]), tenant("t2", 1, &["k2"])];
    let orphan = [route("r", 1, "k2"), service("k2", 1, 1)];
    for (change, last) in [(shared, true), (orphan, false)] {
        let mut state = ConfigState::default();
        expect_that!(outcome_name(&state.apply(1, &change)), eq("applied"));
        let mut bytes = state.encode().to_vec();
        let mut found = bytes.windows(2).enumerate().filter(|(_, w)| w == b"k2").map(|(at, _)| at);
        let at = if last { found.next_back() } else { found.next() }.expect("there");
        bytes[at + 1] = b'1';
        expect_that!(
            ConfigState::decode(&bytes),
            err(matches_pattern!(ConfigStateError::Inconsistent { .. }))
        );
    }
}

/// Contents compare equal exactly where earlier builds and other members find them equal.
#[gtest]
fn verbatim_hash_ignores_layout_only() {
    let hash = |text: &str| verbatim_hash(serde_json::from_str::<Value>(text).expect("JSON").as_object());
    let same = hash(r#"{"a":1,"b":[true,"x"],"c":{"d":-2,"e":0.5}}"#);
    for text in [
        r#"{"c":{"e":5e-1,"d":-2.0},"b":[true,"x"],"a":1.0}"#,
        r#"{ "a": 1, "b": [true, "\u0078"], "c": {"d": -2, "e": 0.5}, "left out": null }"#,
    ] {
        expect_that!(hash(text), eq(same), "{text}");
    }
    for text in [
        r#"{"a":2,"b":[true,"x"],"c":{"d":-2,"e":0.5}}"#,
        r#"{"a":1,"b":["x",true],"c":{"d":-2,"e":0.5}}"#,
        r#"{"a":1,"b":[true,"x"],"c":{"d":-2,"e":0.25}}"#,
        r#"{"a":"1","b":[true,"x"],"c":{"d":-2,"e":0.5}}"#,
        r#"{"a":1,"b":[true,"x",null],"c":{"d":-2,"e":0.5}}"#,
        "{}",
    ] {
        expect_that!(hash(text), not(eq(same)), "{text}");
    }
    // On disks since the first build: these never change.
    expect_that!(verbatim_hash(None), eq(whinstall::identifiers::fnv1a("dropped")));
    expect_that!(hash("{}"), eq(whinstall::identifiers::fnv1a("{0")));
    expect_that!(
        same,
        eq(whinstall::identifiers::fnv1a(r##"{3"1:a#1;"1:b[2t"1:x"1:c{2"1:d#-2;"1:e~3fe0000000000000;"##))
    );
}

/// What either bound forgets is indeterminate, never confirmed with another content, and a name that was forgotten
/// doesn't come back under an old version.
#[gtest]
fn forgotten_versions_are_indeterminate() {
    let mut state = ConfigState::default();
    // One is current; three more than are remembered were superseded.
    let newest = MAX_SUPERSEDED_VERSIONS as u64 + 1 + 3;
    for version in 1..=newest {
        expect_that!(outcome_name(&state.apply(version, &[service("s", version, version)])), eq("applied"));
    }
    for version in 1..=newest {
        let expected = if version <= 3 { ["indeterminate"; 2] } else { ["already applied", "conflict"] };
        expect_that!(
            outcome_name(&state.apply(99, &[service("s", version, version)])),
            eq(expected[0]),
            "{version}"
        );
        expect_that!(
            outcome_name(&state.apply(99, &[service("s", version, 0)])),
            eq(expected[1]),
            "{version}"
        );
    }
    let many = MAX_TOMBSTONES as u64 + 10;
    let label = |n: u64| format!("t{n}");
    for n in 1..=many {
        expect_that!(outcome_name(&state.apply(100 + n, &[tenant(&label(n), n, &["k"])])), eq("applied"));
        expect_that!(
            outcome_name(&state.apply(100 + n, &[removed(ItemKind::Tenant, &label(n), n + 1)])),
            eq("applied")
        );
    }
    for n in [1, 10] {
        expect_that!(outcome_name(&state.apply(9999, &[tenant(&label(n), n, &["k"])])), eq("indeterminate"));
        expect_that!(
            outcome_name(&state.apply(9999, &[removed(ItemKind::Tenant, &label(n), n + 1)])),
            eq("indeterminate")
        );
        // Above the forgotten versions the name is as new; its old versions stay forgotten.
        expect_that!(outcome_name(&state.apply(9999, &[tenant(&label(n), n + 20, &[])])), eq("applied"));
        expect_that!(outcome_name(&state.apply(9999, &[tenant(&label(n), n, &["x"])])), eq("indeterminate"));
    }
    expect_that!(outcome_name(&state.apply(9999, &[tenant(&label(11), 11, &["k"])])), eq("already applied"));
    expect_that!(
        outcome_name(&state.apply(9999, &[service("new", 1, 1)])),
        eq("applied"),
        "each kind forgets for itself"
    );
}

/// What is stored is bounded by the number of names, not by that of all changes ever made.
#[gtest]
fn encoded_size_is_bounded() {
    let (mut state, mut rng) = (ConfigState::default(), fastrand::Rng::with_seed(11));
    let mut sizes = Vec::new();
    for index in 1..=60_000_u64 {
        let n = rng.u32(0..300);
        let key = rng.u32(0..1000);
        let change = match rng.u32(0..6) {
            0 => vec![removed(ItemKind::Tenant, &format!("t{n}"), index)],
            // Names that occur once.
            1 => vec![removed(ItemKind::Tenant, &format!("once{index}"), index)],
            _ => (n..n + 5)
                .map(|n| tenant(&format!("t{}", n % 300), index, &[&format!("key-{}-{key}", n % 300)]))
                .collect(),
        };
        assert_that!(outcome_name(&state.apply(index, &change)), eq("applied"));
        if matches!(index, 3_000 | 30_000 | 60_000) {
            sizes.push(state.encode().len());
            println!("{index} changes of 300 tenants: {} bytes encoded", sizes[sizes.len() - 1]);
            // A superseded version takes at most 3 x 9 bytes and a header, an item here under 120.
            expect_that!(
                sizes[sizes.len() - 1],
                le(MAX_SUPERSEDED_VERSIONS * 28 + (300 + MAX_TOMBSTONES) * 120)
            );
        }
    }
    // The history is full at 30,000; from there only the numbers themselves get longer.
    expect_that!(sizes[2] * 20, le(sizes[1] * 21));
    let back = ConfigState::decode(&state.encode()).expect("decoded");
    expect_that!(back, eq(&state));
}

/// A view with the changed kinds rebuilt equals one built anew, in whatever order the items come.
#[gtest]
fn incremental_view_equals_full_view() {
    for seed in 0..20 {
        let mut generator =
            ChangeGenerator { rng: fastrand::Rng::with_seed(3000 + seed), clock: 0, bulk: false };
        let (mut state, mut items, mut view) =
            (ConfigState::default(), ItemSet::default(), ActiveConfig::default());
        for index in 1..150 {
            let ChangeOutcome::Applied(changed) = state.apply(index, &generator.change()) else { continue };
            merge(&mut items, changed.iter().map(|i| &**i));
            let kinds = changed.iter().map(|i| i.kind).collect();
            let parts: Vec<ActiveItem> =
                state.active_items().filter_map(|i| ActiveItem::from_item(i)).collect();
            view = view.with_changed_kinds(parts.iter(), &kinds);
            assert_that!(view, eq(&ActiveConfig::from_item_set(&items)));
            let mut shuffled: Vec<&ConfigItem> = items.iter().collect();
            generator.rng.shuffle(&mut shuffled);
            assert_that!(ActiveConfig::from_items(shuffled.into_iter()), eq(&view));
        }
    }
}

/// A change that was delayed while a few names changed all the time (a partition of half a minute, hundreds of changes)
/// has a definite outcome, sent for the first time or again, and its rival of the same version has another one.
#[gtest]
fn change_superseded_many_times_has_a_definite_outcome() {
    let mut state = ConfigState::default();
    let early = |content| [service("s", 1, content)];
    expect_that!(outcome_name(&state.apply(1, &[service("s", 2, 0), service("t", 1, 0)])), eq("applied"));
    for index in 3..20_000 {
        expect_that!(
            outcome_name(&state.apply(index, &[service("s", index, 0), service("t", index, 0)])),
            eq("applied")
        );
    }
    let mut other = ConfigState::decode(&state.encode()).expect("decoded");
    for state in [&mut state, &mut other] {
        expect_that!(
            outcome_name(&state.apply(20_000, &early(7))),
            eq("already applied"),
            "for the first time"
        );
        expect_that!(outcome_name(&state.apply(20_001, &early(7))), eq("already applied"), "again");
        expect_that!(outcome_name(&state.apply(20_002, &early(8))), eq("conflict"), "its rival");
        expect_that!(outcome_name(&state.apply(20_003, &[service("t", 3, 0)])), eq("already applied"));
        expect_that!(outcome_name(&state.apply(20_004, &[service("t", 3, 1)])), eq("conflict"));
    }
    expect_that!(other, eq(&state));
}
