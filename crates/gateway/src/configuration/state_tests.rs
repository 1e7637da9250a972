//! What each order comes to, that a confirmed one is never refused, that what stands is valid, that members agree, and
//! that nothing grows without bound.

use super::active_config::ActiveItem;
use super::change::{find_violations, validate_change, ChangeError};
use super::content_hash::{semantic_hash, verbatim_hash};
use super::state::{ChangeOutcome, ConfigStateError, MAX_SUPERSEDED_VERSIONS, MAX_TOMBSTONES};
use super::{ActiveConfig, ConfigItem, ConfigState, ItemFields, ItemKind, ItemSet};
use googletest::prelude::*;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, HashMap};

fn set(kind: ItemKind, label: &str, version: u64, body: Value) -> ConfigItem {
    ConfigItem { kind, label: label.into(), version, body: body.as_object().map(ItemFields::from) }
}

fn dropped(kind: ItemKind, label: &str, version: u64) -> ConfigItem {
    ConfigItem { kind, label: label.into(), version, body: None }
}

fn service(label: &str, version: u64, limit: u64) -> ConfigItem {
    set(ItemKind::Service, label, version, json!({ "label": label, "conn_limit": limit }))
}

fn route(label: &str, version: u64, service: &str) -> ConfigItem {
    let body = json!({ "label": label, "hostname": "a.example", "path_prefix": "/", "service_ref": service });
    set(ItemKind::Route, label, version, body)
}

fn tenant(label: &str, version: u64, keys: &[&str]) -> ConfigItem {
    set(ItemKind::Tenant, label, version, json!({ "label": label, "credentials": keys }))
}

/// 200 with an effect, 200 without, 409, 400, 503.
fn code(outcome: &ChangeOutcome) -> &'static str {
    match outcome {
        ChangeOutcome::Applied(_) => "taken",
        ChangeOutcome::AlreadyApplied => "known",
        ChangeOutcome::Conflict(_) => "conflict",
        ChangeOutcome::Invalid(_) => "invalid",
        ChangeOutcome::Indeterminate => "forgotten",
    }
}

fn merge<'a>(items: &mut ItemSet, news: impl IntoIterator<Item = &'a ConfigItem>) {
    for item in news {
        items.merge(item.clone());
    }
}

/// Overtaken versions that the states of the drawn orders remember: few, so that they forget.
const FEW: usize = 100;

/// As it is read from a log on the disk.
fn reread(order: &[ConfigItem]) -> Vec<ConfigItem> {
    rmp_serde::from_slice(&rmp_serde::to_vec(order).expect("encoded")).expect("decoded")
}

/// Orders over a few names, whose versions mostly rise; some in bulk, to bring tombstones over their bound.
struct Draw {
    rng: fastrand::Rng,
    clock: u64,
    bulk: bool,
}

impl Draw {
    fn item(&mut self) -> ConfigItem {
        let version =
            (self.clock + self.rng.u64(0..6)).saturating_sub(self.rng.u64(0..3) * self.rng.u64(0..60));
        let n = self.rng.u32(0..5);
        let some_service = |rng: &mut fastrand::Rng| format!("s{}", rng.u32(0..4));
        match self.rng.u32(0..20) {
            0..=2 => dropped(ItemKind::Route, &format!("r{n}"), version),
            3..=4 => dropped(ItemKind::Tenant, &format!("t{n}"), version),
            5..=6 => dropped(ItemKind::Service, &some_service(&mut self.rng), version),
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
            _ => set(ItemKind::Saturation, "", version, json!({ "body_max_bytes": self.rng.u32(0..2) })),
        }
    }

    fn order(&mut self) -> Vec<ConfigItem> {
        self.clock += self.rng.u64(0..4);
        if self.bulk && self.rng.u32(0..12) == 0 {
            let version = self.clock;
            let kind = self.rng.choice([ItemKind::Route, ItemKind::Tenant]).expect("one");
            let any = |_| dropped(kind, &format!("b{}", self.rng.u32(0..30_000)), version);
            return (0..400).map(any).collect();
        }
        (0..self.rng.u32(1..6)).map(|_| self.item()).collect()
    }
}

/// Guards the table of docs/control.md: each way a version can compare, in an order that is valid and one that isn't.
#[gtest]
fn what_each_pair_comes_to() {
    let mut base = ConfigState::default();
    for (index, order) in [
        vec![service("s1", 5, 1), tenant("t1", 5, &["k1"]), tenant("t2", 5, &["k2"])],
        // Overtaken, and what it said would share a key with what stands by now.
        vec![tenant("t1", 9, &["k3"])],
        vec![tenant("t2", 9, &["k1"])],
        vec![service("s2", 5, 1), route("r1", 5, "s2")],
        vec![route("r1", 9, "s1"), dropped(ItemKind::Service, "s2", 9)],
    ]
    .iter()
    .enumerate()
    {
        assert_that!(code(&base.apply(index as u64 + 1, order)), eq("taken"));
    }
    assert_that!(base.last_change_index(), eq(5));
    let cases = [
        ("lower, confirmed before", vec![tenant("t2", 5, &["k2"])], "known"),
        ("lower, confirmed before, invalid today", vec![tenant("t1", 5, &["k1"])], "known"),
        ("lower, confirmed before, names what is gone", vec![route("r1", 5, "s2")], "known"),
        ("lower, number not met", vec![tenant("t2", 7, &["k8"])], "known"),
        ("lower, number not met, would be invalid", vec![tenant("t2", 7, &["k3"])], "known"),
        ("lower, number not met, names what is gone", vec![route("r1", 7, "s2")], "known"),
        ("lower, number not met, names what never was", vec![route("r1", 7, "s9")], "invalid"),
        ("the same beside a higher one", vec![route("r1", 7, "s9"), tenant("t2", 10, &["k1"])], "invalid"),
        ("lower, number not met, with its service", vec![route("r1", 7, "s9"), service("s9", 7, 1)], "taken"),
        ("lower, number has another content", vec![tenant("t2", 5, &["k8"])], "conflict"),
        ("equal and same", vec![tenant("t2", 9, &["k1"])], "known"),
        ("equal, other, valid", vec![tenant("t2", 9, &["k8"])], "conflict"),
        ("equal, other, invalid", vec![tenant("t2", 9, &["k3"])], "conflict"),
        ("equal, set against drop", vec![dropped(ItemKind::Tenant, "t2", 9)], "conflict"),
        ("equal, drop against set", vec![service("s2", 9, 1)], "conflict"),
        ("equal, both dropped", vec![dropped(ItemKind::Service, "s2", 9)], "known"),
        ("higher, valid", vec![tenant("t2", 10, &["k1", "k8"])], "taken"),
        ("higher, same content", vec![tenant("t2", 10, &["k1"])], "taken"),
        ("higher, shares a key", vec![tenant("t2", 10, &["k3"])], "invalid"),
        ("higher, unknown service", vec![route("r1", 10, "s2")], "invalid"),
        ("higher, drops a service in use", vec![dropped(ItemKind::Service, "s1", 10)], "invalid"),
        ("a key changes hands", vec![tenant("t1", 10, &["k1"]), tenant("t2", 10, &["k3"])], "taken"),
        (
            "a service goes with its route",
            vec![dropped(ItemKind::Service, "s1", 10), dropped(ItemKind::Route, "r1", 10)],
            "taken",
        ),
        ("one of two conflicts", vec![tenant("t1", 10, &["k9"]), tenant("t2", 9, &["k8"])], "conflict"),
        ("conflict goes before invalid", vec![route("r1", 10, "s2"), tenant("t2", 9, &["k8"])], "conflict"),
        ("one of two invalid", vec![tenant("t1", 10, &["k9"]), route("r1", 10, "s2")], "invalid"),
        (
            "a name twice: the higher holds",
            vec![tenant("t1", 11, &["k9"]), tenant("t1", 10, &["k8"])],
            "taken",
        ),
        ("a name twice, same", vec![tenant("t1", 10, &["k8"]), tenant("t1", 10, &["k8"])], "taken"),
        (
            "a name twice, equal and other",
            vec![tenant("t1", 10, &["k8"]), tenant("t1", 10, &["k9"])],
            "conflict",
        ),
        ("nothing", vec![], "known"),
    ];
    for (what, order, told) in cases {
        let mut state = base.clone();
        let outcome = state.apply(6, &order);
        expect_that!(code(&outcome), eq(told), "{what}: {outcome:?}");
        match outcome {
            ChangeOutcome::Applied(_) => expect_that!(state.last_change_index(), eq(6), "{what}"),
            ChangeOutcome::AlreadyApplied => expect_that!(state.to_json(), eq(&base.to_json()), "{what}"),
            _ => expect_that!(state, eq(&base), "{what}"),
        }
        if matches!(told, "taken" | "known") {
            expect_that!(code(&state.apply(7, &order)), eq("known"), "{what}: again");
        }
        if what.starts_with("a name twice: ") {
            expect_that!(
                state.body(ItemKind::Tenant, "t1").expect("stands")["credentials"],
                eq(&json!(["k9"]))
            );
            expect_that!(code(&state.apply(8, &[tenant("t1", 10, &["k7"])])), eq("conflict"));
        }
    }
}

/// Guards operators whose confirmed order, sent again at any later time, would be refused or take effect twice; a
/// number that would stand for two contents; a name that would go back; a refusal without ground.
#[gtest]
fn an_order_once_taken_is_confirmed_again_or_left_open() {
    let mut met: BTreeMap<&str, u32> = BTreeMap::new();
    let mut again: BTreeMap<&str, u32> = BTreeMap::new();
    for seed in 0..60 {
        let mut draw = Draw { rng: fastrand::Rng::with_seed(seed), clock: 0, bulk: seed % 3 == 0 };
        let (mut state, mut sent) =
            (ConfigState::with_history_limit(FEW), Vec::<(Vec<ConfigItem>, bool)>::new());
        let mut contents: HashMap<(ItemKind, String, u64), u64> = HashMap::new();
        let mut highest: HashMap<(ItemKind, String), ConfigItem> = HashMap::new();
        for index in 1..500 {
            if sent.is_empty() || draw.rng.bool() {
                let order = draw.order();
                sent.push((order, false));
            }
            // The newest, or any that was ever sent.
            let at = if draw.rng.bool() { sent.len() - 1 } else { draw.rng.usize(0..sent.len()) };
            let (order, confirmed) = &mut sent[at];
            let outcome = state.apply(index, order);
            *met.entry(code(&outcome)).or_default() += 1;
            if *confirmed {
                *again.entry(code(&outcome)).or_default() += 1;
                assert_that!(
                    matches!(outcome, ChangeOutcome::AlreadyApplied | ChangeOutcome::Indeterminate),
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
                    for item in order.iter() {
                        let held = contents.insert(number(item), hash(item));
                        assert_that!(held.is_none_or(|h| h == hash(item)), eq(true), "{item:?}");
                        assert_that!(highest[&name(item)].version, ge(item.version));
                    }
                }
                ChangeOutcome::Conflict(_) => {
                    let mut own: HashMap<_, u64> = HashMap::new();
                    let ground = order.iter().any(|i| {
                        let held = contents.get(&number(i)).copied();
                        held.or(own.insert(number(i), hash(i))).is_some_and(|h| h != hash(i))
                    });
                    assert_that!(ground, eq(true), "{order:?}");
                }
                _ => {}
            }
        }
        let standing: BTreeSet<_> = state.active_items().map(|i| (i.kind, &i.label, i.version)).collect();
        let told = highest.values().filter(|i| i.body.is_some());
        assert_that!(standing, eq(&told.map(|i| (i.kind, &i.label, i.version)).collect::<BTreeSet<_>>()));
    }
    println!("outcomes {met:?}, of orders confirmed before {again:?}");
    expect_that!(met, len(eq(5)));
    expect_that!(again, len(eq(2)));
}

/// Guards the judging through indexes: the same as today's on clones of the whole; and what stands is always valid.
#[gtest]
fn judged_as_on_clones_of_the_whole() {
    let mut compared: BTreeMap<&str, u32> = BTreeMap::new();
    for seed in 0..150 {
        let mut draw = Draw { rng: fastrand::Rng::with_seed(1000 + seed), clock: 0, bulk: false };
        let (mut state, mut items) = (ConfigState::with_history_limit(FEW), ItemSet::default());
        let mut stood = BTreeSet::new();
        for index in 1..120 {
            let order = draw.order();
            // No state of the past can have had this service.
            let never = |s: String| {
                !stood.contains(&s) && !order.iter().any(|i| i.kind == ItemKind::Service && i.label == s)
            };
            let routes = order.iter().filter(|i| i.kind == ItemKind::Route).filter_map(|i| i.body.as_ref());
            let lost = routes.flat_map(ItemFields::route_services).any(never);
            let (before, naive) = (state.clone(), validate_change(&items, &order));
            let outcome = state.apply(index, &order);
            match (&outcome, naive) {
                (ChangeOutcome::Applied(_), Ok(news)) => {
                    assert_that!(news, not(is_empty()));
                    merge(&mut items, &news);
                    assert_that!(state.to_json(), eq(&items.to_json()));
                }
                (ChangeOutcome::AlreadyApplied, Ok(news)) => assert_that!(news, is_empty()),
                (ChangeOutcome::Invalid(fault), Err(_)) => {
                    let mut after = items.clone();
                    merge(&mut after, &order);
                    let named = match fault {
                        ChangeError::SharedCredential(..) => find_violations(&after)
                            .iter()
                            .any(|f| matches!(f, ChangeError::SharedCredential(..))),
                        fault => find_violations(&after).contains(fault),
                    };
                    assert_that!(named, eq(true), "{fault}");
                }
                (ChangeOutcome::Invalid(ChangeError::UnknownService(_, service)), Ok(_)) => {
                    assert_that!(never(service.clone()), eq(true), "{order:?}");
                }
                (ChangeOutcome::Conflict(_) | ChangeOutcome::Indeterminate, _) => {}
                (outcome, naive) => panic!("{order:?}: {outcome:?}, on clones {naive:?}"),
            }
            match outcome {
                ChangeOutcome::Applied(_) | ChangeOutcome::AlreadyApplied => {
                    assert_that!(lost, eq(false), "{order:?}");
                    let services = order.iter().filter(|i| i.kind == ItemKind::Service);
                    stood.extend(services.map(|i| i.label.clone()));
                }
                _ => assert_that!(state, eq(&before)),
            }
            assert_that!(find_violations(&items), is_empty());
            *compared.entry(code(&outcome)).or_default() += 1;
        }
    }
    println!("compared {compared:?}");
    expect_that!(compared["taken"], gt(1000));
    expect_that!(compared["invalid"], gt(1000));
}

/// Guards members that would differ: by having read the log from a disk, or by having begun from a snapshot.
#[gtest]
fn members_hold_the_same_bytes() {
    for seed in 0..12 {
        let mut draw = Draw { rng: fastrand::Rng::with_seed(2000 + seed), clock: 0, bulk: seed % 4 == 0 };
        let orders: Vec<Vec<ConfigItem>> = (0..400).map(|_| draw.order()).collect();
        let (mut one, mut other) =
            (ConfigState::with_history_limit(FEW), ConfigState::with_history_limit(FEW));
        for (index, order) in (1..).zip(&orders) {
            let outcome = one.apply(index, order);
            assert_that!(other.apply(index, &reread(order)), eq(&outcome));
            if index % 37 == 0 {
                let bytes = one.encode();
                assert_that!(other.encode(), eq(&bytes));
                // Indexes, histories, floors and tombstones too.
                other = ConfigState::decode_bounded(&bytes, FEW).expect("decoded");
                assert_that!(other, eq(&one));
                assert_that!(other.to_json(), eq(&one.to_json()));
            }
        }
    }
}

/// Guards a member that would begin from a snapshot that was torn, or that another build wrote.
#[gtest]
fn what_is_cut_or_added_to_is_no_state() {
    let mut draw = Draw { rng: fastrand::Rng::with_seed(5), clock: 0, bulk: false };
    let mut state = ConfigState::default();
    for index in 1..60 {
        let _ = state.apply(index, &draw.order());
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
    for (order, last) in [(shared, true), (orphan, false)] {
        let mut state = ConfigState::default();
        expect_that!(code(&state.apply(1, &order)), eq("taken"));
        let mut bytes = state.encode().to_vec();
        let mut found = bytes.windows(2).enumerate().filter(|(_, w)| w == b"k2").map(|(at, _)| at);
        let at = if last { found.next_back() } else { found.next() }.expect("there");
        bytes[at + 1] = b'1';
        expect_that!(ConfigState::decode(&bytes), err(matches_pattern!(ConfigStateError::Inconsistent(..))));
    }
}

/// Guards contents told apart, or taken for the same, otherwise than by an earlier build or another member.
#[gtest]
fn content_is_the_same_whatever_its_layout() {
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

/// Guards both bounds: what they forget is left open, never confirmed with another content, and a name that was
/// forgotten doesn't come back under an old number.
#[gtest]
fn what_is_forgotten_is_left_open() {
    let mut state = ConfigState::default();
    // One holds; three more than are remembered were overtaken.
    let newest = MAX_SUPERSEDED_VERSIONS as u64 + 1 + 3;
    for version in 1..=newest {
        expect_that!(code(&state.apply(version, &[service("s", version, version)])), eq("taken"));
    }
    for version in 1..=newest {
        let told = if version <= 3 { ["forgotten"; 2] } else { ["known", "conflict"] };
        expect_that!(code(&state.apply(99, &[service("s", version, version)])), eq(told[0]), "{version}");
        expect_that!(code(&state.apply(99, &[service("s", version, 0)])), eq(told[1]), "{version}");
    }
    let many = MAX_TOMBSTONES as u64 + 10;
    let label = |n: u64| format!("t{n}");
    for n in 1..=many {
        expect_that!(code(&state.apply(100 + n, &[tenant(&label(n), n, &["k"])])), eq("taken"));
        expect_that!(
            code(&state.apply(100 + n, &[dropped(ItemKind::Tenant, &label(n), n + 1)])),
            eq("taken")
        );
    }
    for n in [1, 10] {
        expect_that!(code(&state.apply(9999, &[tenant(&label(n), n, &["k"])])), eq("forgotten"));
        expect_that!(
            code(&state.apply(9999, &[dropped(ItemKind::Tenant, &label(n), n + 1)])),
            eq("forgotten")
        );
        // Above the floor it is as new, and its old numbers stay forgotten.
        expect_that!(code(&state.apply(9999, &[tenant(&label(n), n + 20, &[])])), eq("taken"));
        expect_that!(code(&state.apply(9999, &[tenant(&label(n), n, &["x"])])), eq("forgotten"));
    }
    expect_that!(code(&state.apply(9999, &[tenant(&label(11), 11, &["k"])])), eq("known"));
    expect_that!(
        code(&state.apply(9999, &[service("new", 1, 1)])),
        eq("taken"),
        "another kind has its own floor"
    );
}

/// Guards disk and memory: what is kept is bounded by the names, not by the changes ever made.
#[gtest]
fn size_does_not_grow_with_the_number_of_changes() {
    let (mut state, mut rng) = (ConfigState::default(), fastrand::Rng::with_seed(11));
    let mut sizes = Vec::new();
    for index in 1..=60_000_u64 {
        let n = rng.u32(0..300);
        let key = rng.u32(0..1000);
        let order = match rng.u32(0..6) {
            0 => vec![dropped(ItemKind::Tenant, &format!("t{n}"), index)],
            // Names that are met once.
            1 => vec![dropped(ItemKind::Tenant, &format!("once{index}"), index)],
            _ => (n..n + 5)
                .map(|n| tenant(&format!("t{}", n % 300), index, &[&format!("key-{}-{key}", n % 300)]))
                .collect(),
        };
        assert_that!(code(&state.apply(index, &order)), eq("taken"));
        if matches!(index, 3_000 | 30_000 | 60_000) {
            sizes.push(state.encode().len());
            println!("{index} changes of 300 tenants: {} bytes encoded", sizes[sizes.len() - 1]);
            // An overtaken number takes 3 x 9 bytes and a head at the most, an item here under 120.
            expect_that!(
                sizes[sizes.len() - 1],
                le(MAX_SUPERSEDED_VERSIONS * 28 + (300 + MAX_TOMBSTONES) * 120)
            );
        }
    }
    // Full at 30,000: from there only the numbers themselves get longer.
    expect_that!(sizes[2] * 20, le(sizes[1] * 21));
    let back = ConfigState::decode(&state.encode()).expect("decoded");
    expect_that!(back, eq(&state));
}

/// Guards gatekeepers: a view of the kinds that changed is the same as a full one, in whatever order items come.
#[gtest]
fn a_view_of_the_changed_kinds_is_the_whole_view() {
    for seed in 0..20 {
        let mut draw = Draw { rng: fastrand::Rng::with_seed(3000 + seed), clock: 0, bulk: false };
        let (mut state, mut items, mut view) =
            (ConfigState::default(), ItemSet::default(), ActiveConfig::default());
        for index in 1..150 {
            let ChangeOutcome::Applied(changed) = state.apply(index, &draw.order()) else { continue };
            merge(&mut items, changed.iter().map(|i| &**i));
            let kinds = changed.iter().map(|i| i.kind).collect();
            let parts: Vec<ActiveItem> =
                state.active_items().filter_map(|i| ActiveItem::from_item(i)).collect();
            view = view.with_changed_kinds(parts.iter(), &kinds);
            assert_that!(view, eq(&ActiveConfig::from_item_set(&items)));
            let mut shuffled: Vec<&ConfigItem> = items.iter().collect();
            draw.rng.shuffle(&mut shuffled);
            assert_that!(ActiveConfig::from_items(shuffled.into_iter()), eq(&view));
        }
    }
}

/// Guards an order that waited while a few names changed all the time (a cut of half a minute, hundreds of changes):
/// sent for the first time or again, it has its answer, and another one under its number hasn't that.
#[gtest]
fn an_order_that_hundreds_overtook_is_answered() {
    let mut state = ConfigState::default();
    let early = |content| [service("s", 1, content)];
    expect_that!(code(&state.apply(1, &[service("s", 2, 0), service("t", 1, 0)])), eq("taken"));
    for index in 3..20_000 {
        expect_that!(
            code(&state.apply(index, &[service("s", index, 0), service("t", index, 0)])),
            eq("taken")
        );
    }
    let mut other = ConfigState::decode(&state.encode()).expect("decoded");
    for state in [&mut state, &mut other] {
        expect_that!(code(&state.apply(20_000, &early(7))), eq("known"), "for the first time");
        expect_that!(code(&state.apply(20_001, &early(7))), eq("known"), "again");
        expect_that!(code(&state.apply(20_002, &early(8))), eq("conflict"), "its rival");
        expect_that!(code(&state.apply(20_003, &[service("t", 3, 0)])), eq("known"));
        expect_that!(code(&state.apply(20_004, &[service("t", 3, 1)])), eq("conflict"));
    }
    expect_that!(other, eq(&state));
}
