//! Removed items: what is remembered of them for good, that it restricts no other name, and its size.

use super::state::{ChangeOutcome, ConfigStateError, MAX_TOMBSTONES};
use super::state_tests::{outcome_name, removed, route, service, tenant};
use super::{ActiveConfig, ConfigItem, ConfigState, ItemKind};
use googletest::prelude::*;
use std::collections::HashMap;
use std::ops::Range;

/// Version under which an item is set; it is removed with the next one.
const SET: u64 = 1;
const REMOVED: u64 = 2;
/// Most bytes of a removed name in an encoded state, with its share of a frame's length and header.
const MAX_ENCODED_BYTES: usize = 20;

fn recording_state() -> ConfigState {
    let mut state = ConfigState::default();
    state.record_removals();
    state
}

fn item_of_kind(kind: ItemKind, label: &str, version: u64) -> ConfigItem {
    match kind {
        ItemKind::Route => route(label, version, "standing"),
        ItemKind::Tenant => tenant(label, version, &[&format!("key-of-{label}")]),
        _ => service(label, version, 1),
    }
}

fn apply(state: &mut ConfigState, index: u64, change: &[ConfigItem]) -> &'static str {
    outcome_name(&state.apply(index, change))
}

/// A state in which the service `standing` is active and `count` items of each kind were set and removed, by 50 in a
/// change. Also returns the index of the last entry.
fn state_after_removals(mut state: ConfigState, count: usize) -> (ConfigState, u64) {
    assert_that!(apply(&mut state, 1, &[service("standing", SET, 1)]), eq("applied"));
    let mut index = 2;
    for kind in [ItemKind::Route, ItemKind::Tenant, ItemKind::Service] {
        let labels: Vec<String> = (0..count).map(|n| format!("item-{n}")).collect();
        let change_all = |state: &mut ConfigState, index: u64, item: &dyn Fn(&str) -> ConfigItem| {
            for (index, labels) in (index..).zip(labels.chunks(50)) {
                let change: Vec<_> = labels.iter().map(|label| item(label)).collect();
                assert_that!(apply(state, index, &change), eq("applied"));
            }
            index + labels.len().div_ceil(50) as u64
        };
        index = change_all(&mut state, index, &|label| item_of_kind(kind, label, SET));
        index = change_all(&mut state, index, &|label| removed(kind, label, REMOVED));
    }
    (state, index)
}

/// Guards against a bound on removed items that restricts the versions of other names (review/5), against removed items
/// that an older change brings back, and against either after a restart from a snapshot.
#[gtest]
fn removals_of_other_items_restrict_no_version_of_a_name() {
    let (state, index) = state_after_removals(recording_state(), 2 * MAX_TOMBSTONES);
    let decoded = ConfigState::decode(&state.encode()).expect("decoded");
    assert_that!(decoded == state, eq(true));
    for mut state in [state, decoded] {
        for kind in [ItemKind::Route, ItemKind::Tenant, ItemKind::Service] {
            for label in ["item-0", "item-4095", "item-8191"] {
                let outcome = apply(&mut state, index + 1, &[item_of_kind(kind, label, SET)]);
                expect_that!(outcome, any!(eq("indeterminate"), eq("already applied")), "{label}");
                let outcome = apply(&mut state, index + 1, &[removed(kind, label, REMOVED)]);
                expect_that!(outcome, eq("already applied"), "the removal of {label} again");
                let outcome = apply(&mut state, index + 1, &[item_of_kind(kind, label, REMOVED)]);
                expect_that!(outcome, eq("conflict"), "{label} under the version of its removal");
                expect_that!(state.body(kind, label), none());
            }
            let outcome = apply(&mut state, index + 1, &[item_of_kind(kind, "newcomer", SET)]);
            expect_that!(outcome, eq("applied"), "{kind:?}");
        }
    }
}

/// Guards against a removed name that loses its record of the removal when the name is used again.
#[gtest]
fn name_that_is_used_again_remembers_its_earlier_removal() {
    let (mut state, index) = state_after_removals(recording_state(), 2 * MAX_TOMBSTONES);
    let label = "item-7";
    for round in 0..3 {
        let (set, remove) = (10 + 10 * round, 15 + 10 * round);
        expect_that!(apply(&mut state, index, &[tenant(label, set, &["k"])]), eq("applied"));
        // The name has a record again.
        let earlier_removal = if round == 0 { REMOVED } else { set - 5 };
        let again = apply(&mut state, index, &[removed(ItemKind::Tenant, label, earlier_removal)]);
        expect_that!(again, eq("already applied"), "round {round}");
        expect_that!(apply(&mut state, index, &[tenant(label, 1, &["k"])]), eq("indeterminate"));
        expect_that!(apply(&mut state, index, &[removed(ItemKind::Tenant, label, remove)]), eq("applied"));
        // It loses its record once more.
        for n in 0..=MAX_TOMBSTONES {
            let other = removed(ItemKind::Route, &format!("other-{round}-{n}"), 1);
            assert_that!(apply(&mut state, index + 1, &[other]), eq("applied"));
        }
        for version in [set, set + 1] {
            let outcome = apply(&mut state, index + 1, &[tenant(label, version, &["k"])]);
            expect_that!(outcome, eq("indeterminate"), "r{version}");
        }
        expect_that!(state.body(ItemKind::Tenant, label), none());
        state = ConfigState::decode(&state.encode()).expect("decoded");
    }
}

/// Guards against tombstones that are dropped by version: an item that was removed just now has definite outcomes, however
/// high the versions of earlier removals of other items are.
#[gtest]
fn tombstones_of_the_latest_removals_are_kept() {
    let mut state = recording_state();
    for n in 0..2 * MAX_TOMBSTONES as u64 {
        let other = removed(ItemKind::Service, &format!("other-{n}"), 1000 + n);
        assert_that!(apply(&mut state, n + 1, &[other]), eq("applied"));
    }
    let index = 3 * MAX_TOMBSTONES as u64;
    expect_that!(apply(&mut state, index, &[service("late", SET, 1)]), eq("applied"));
    expect_that!(apply(&mut state, index + 1, &[removed(ItemKind::Service, "late", REMOVED)]), eq("applied"));
    expect_that!(apply(&mut state, index + 2, &[service("late", SET, 1)]), eq("already applied"));
    expect_that!(apply(&mut state, index + 2, &[service("late", SET, 9)]), eq("conflict"));
}

/// Guards against a removal of more items at once than have tombstones, whose repetition gets no definite answer.
#[gtest]
fn removal_of_many_items_at_once_is_confirmed_when_resent() {
    let (mut state, many) = (recording_state(), 3 * MAX_TOMBSTONES);
    let remove: Vec<_> =
        (0..many).map(|n| removed(ItemKind::Tenant, &format!("t{n}"), 1 + n as u64)).collect();
    expect_that!(apply(&mut state, 1, &remove), eq("applied"));
    let mut decoded = ConfigState::decode(&state.encode()).expect("decoded");
    expect_that!(apply(&mut state, 2, &remove), eq("already applied"));
    expect_that!(apply(&mut decoded, 2, &remove), eq("already applied"));
}

/// Guards against a route that is rejected because its service, which was removed long ago, counts as one that never was.
#[gtest]
fn superseded_route_may_name_a_service_that_was_removed_long_ago() {
    let (mut state, index) = state_after_removals(recording_state(), 2 * MAX_TOMBSTONES);
    expect_that!(apply(&mut state, index + 1, &[route("r", 9, "standing")]), eq("applied"));
    expect_that!(apply(&mut state, index + 2, &[route("r", 4, "item-0")]), eq("already applied"));
    expect_that!(apply(&mut state, index + 2, &[route("r", 5, "never-there")]), eq("invalid"));
}

/// Guards against members that disagree during and after an upgrade: what an earlier release forgot stays forgotten with
/// its one restriction for all names of a kind, on disks that it wrote too, and nothing is added to it from the entry on
/// at which removals are recorded.
#[gtest]
fn what_an_earlier_release_forgot_stays_forgotten() {
    let (before, index) = state_after_removals(ConfigState::default(), 2 * MAX_TOMBSTONES);
    let newcomer = |version| [tenant("newcomer", version, &["k"])];
    let mut earlier_release = before.clone();
    let outcome = earlier_release.apply(index + 1, &newcomer(SET));
    let ChangeOutcome::Indeterminate(forgotten) = outcome else { panic!("{outcome:?}") };
    // The text tells the operator which version is accepted.
    let text =
        "version too old to know whether it was accepted before: tenant_set \"newcomer\": r1, not above r2";
    expect_that!(forgotten.to_string(), eq(text));
    expect_that!(apply(&mut earlier_release, index + 1, &newcomer(REMOVED)), eq("indeterminate"));
    let mut from_disk = ConfigState::decode(&before.encode()).expect("decoded");
    let mut in_memory = before;
    for state in [&mut in_memory, &mut from_disk] {
        state.record_removals();
        expect_that!(apply(state, index + 1, &newcomer(REMOVED)), eq("indeterminate"));
        for n in 0..2 * MAX_TOMBSTONES as u64 {
            let remove = removed(ItemKind::Tenant, &format!("later-{n}"), 90);
            assert_that!(apply(state, index + 2 + n, &[remove]), eq("applied"));
        }
        expect_that!(apply(state, index + 99_999, &newcomer(REMOVED + 1)), eq("applied"));
        expect_that!(state.body(ItemKind::Tenant, "item-0"), none());
        expect_that!(apply(state, index + 99_999, &[tenant("item-0", SET, &["x"])]), eq("indeterminate"));
    }
    expect_that!(in_memory == from_disk, eq(true));
    expect_that!(in_memory.encode() == from_disk.encode(), eq(true));
    let decoded = ConfigState::decode(&in_memory.encode()).expect("decoded");
    expect_that!(decoded == in_memory, eq(true));
}

/// A model that remembers everything agrees: no name that was never removed is indeterminate, no version at or below the
/// highest confirmed one becomes current. Versions are drawn freely; names are removed by the thousand.
#[gtest]
fn outcomes_agree_with_an_unbounded_memory() {
    for seed in 0..4 {
        let mut rng = fastrand::Rng::with_seed(4000 + seed);
        let (mut state, mut highest) = (recording_state(), HashMap::<String, (u64, bool)>::new());
        let mut indeterminate = 0;
        for index in 1..900 {
            let is_removal = rng.u32(0..3) > 0;
            let count = if is_removal { 40 } else { 10 };
            let change: Vec<ConfigItem> = (0..count)
                .map(|_| {
                    let (label, version) = (format!("n{}", rng.u32(0..16_000)), rng.u64(1..50));
                    match is_removal {
                        true => removed(ItemKind::Service, &label, version),
                        false => service(&label, version, version),
                    }
                })
                .collect();
            let outcome = state.apply(index, &change);
            if matches!(outcome, ChangeOutcome::Indeterminate(_)) {
                let may_be_old = change
                    .iter()
                    .any(|i| highest.get(&i.label).is_some_and(|(version, _)| *version >= i.version));
                assert_that!(may_be_old, eq(true), "seed {seed}, entry {index}");
                indeterminate += 1;
            }
            for item in if let ChangeOutcome::Applied(items) = &outcome { &items[..] } else { &[] } {
                let before = highest.insert(item.label.clone(), (item.version, item.body.is_some()));
                assert_that!(before.is_none_or(|(version, _)| version < item.version), eq(true), "{item:?}");
            }
            if index % 300 == 0 {
                let decoded = ConfigState::decode(&state.encode()).expect("decoded");
                assert_that!(decoded == state, eq(true));
                state = decoded;
            }
        }
        let active = state.active_items().count();
        assert_that!(active, eq(highest.values().filter(|(_, is_active)| *is_active).count()));
        assert_that!(indeterminate, gt(10), "seed {seed}: few changes met a forgotten version");
    }
}

/// Guards against a record of removed names that grows by more than its stated bytes a name, however long names are.
#[gtest]
fn removed_name_takes_few_bytes_for_good() {
    let mut state = recording_state();
    let name = |n: usize| format!("a-name-of-some-length-{n}-{}", "x".repeat(n % 200));
    let mut sizes = Vec::new();
    for round in 0..3 {
        for n in (0..20_000).map(|n| round * 20_000 + n) {
            let remove = removed(ItemKind::Tenant, &name(n), u64::MAX / 2);
            assert_that!(apply(&mut state, n as u64 + 1, &[remove]), eq("applied"));
        }
        sizes.push(state.encode().len());
    }
    println!("encoded: {sizes:?} bytes after 20,000, 40,000 and 60,000 removals");
    for (before, after) in sizes.iter().zip(&sizes[1..]) {
        expect_that!(after - before, le(20_000 * MAX_ENCODED_BYTES));
    }
}

/// The frames of an encoded state, each with its length of four bytes.
fn frame_ranges(bytes: &[u8]) -> Vec<Range<usize>> {
    let (mut frames, mut start) = (Vec::new(), 1);
    while start < bytes.len() {
        let length: [u8; 4] = bytes[start..start + 4].try_into().expect("four bytes");
        let end = start + 4 + u32::from_be_bytes(length) as usize;
        frames.push(start..end);
        start = end;
    }
    frames
}

/// Whether requests need a credential at an edge node that gets its first configuration from this state.
fn requires_credentials_at_a_new_edge(state: &ConfigState) -> bool {
    let update = state.full_update();
    ActiveConfig::from_items(update.iter()).requires_credentials
}

/// Guards against credentials that are no longer required once the last tenant is removed (review/4): for an edge node that
/// starts then, after a restart of the core from a snapshot, once the tombstones of the tenants are dropped, and with the
/// data of earlier releases.
#[gtest]
fn credentials_stay_required_after_the_last_tenant_is_removed() {
    for records_removals in [false, true] {
        let mut state = if records_removals { recording_state() } else { ConfigState::default() };
        let check = |state: &ConfigState, is_required: bool, what: &str| {
            let decoded = ConfigState::decode(&state.encode()).expect("decoded");
            for state in [state, &decoded] {
                expect_that!(state.has_had_tenants(), eq(is_required), "{what}");
                expect_that!(requires_credentials_at_a_new_edge(state), eq(is_required), "{what}");
            }
        };
        expect_that!(apply(&mut state, 1, &[service("standing", SET, 1)]), eq("applied"));
        check(&state, false, "no tenant yet");
        let tenants = [tenant("t1", SET, &["k1"]), tenant("t2", SET, &["k2"])];
        expect_that!(apply(&mut state, 2, &tenants), eq("applied"));
        check(&state, true, "two tenants");
        for (index, label) in [(3, "t1"), (4, "t2")] {
            expect_that!(apply(&mut state, index, &[removed(ItemKind::Tenant, label, 2)]), eq("applied"));
            check(&state, true, label);
        }
        let others: Vec<_> =
            (0..2 * MAX_TOMBSTONES).map(|n| removed(ItemKind::Route, &format!("r{n}"), 9)).collect();
        expect_that!(apply(&mut state, 5, &others), eq("applied"));
        expect_that!(state.all_items().any(|item| item.kind == ItemKind::Tenant), eq(false));
        check(&state, true, "tombstones dropped");
        // A core that was upgraded then.
        state.record_removals();
        check(&state, true, "upgraded");
    }
}

/// Guards against an answer that depends on the order of arrival: the change that sets a tenant comes after its removal.
#[gtest]
fn credentials_are_required_whatever_order_a_tenant_and_its_removal_arrive_in() {
    let changes = [tenant("t", SET, &["k"]), removed(ItemKind::Tenant, "t", REMOVED)];
    for order in [[0, 1], [1, 0]] {
        let (mut state, mut view) = (recording_state(), ActiveConfig::default());
        for (index, n) in order.into_iter().enumerate() {
            if let ChangeOutcome::Applied(items) = state.apply(index as u64 + 1, &changes[n..n + 1]) {
                let kinds = items.iter().map(|item| item.kind).collect();
                view = view.with_changed_kinds([].iter(), &kinds);
            }
        }
        expect_that!(state.body(ItemKind::Tenant, "t"), none());
        expect_that!(view.requires_credentials, eq(true), "at an edge node that got each difference");
        expect_that!(requires_credentials_at_a_new_edge(&state), eq(true));
    }
}

/// A snapshot with removed names that is torn, or whose names are out of order, is never used.
#[gtest]
fn truncated_or_unordered_removal_record_is_refused() {
    let mut state = recording_state();
    let remove: Vec<_> =
        (0..MAX_TOMBSTONES + 40).map(|n| removed(ItemKind::Route, &format!("{n}-th-route"), 3)).collect();
    expect_that!(apply(&mut state, 1, &remove), eq("applied"));
    let bytes = state.encode();
    for end in (0..bytes.len()).step_by(61).chain(bytes.len() - 900..bytes.len()) {
        expect_that!(ConfigState::decode(&bytes[..end]), err(anything()), "cut at {end}");
    }
    let longer = [&bytes[..], &[0]].concat();
    expect_that!(ConfigState::decode(&longer), err(eq(&ConfigStateError::Surplus(1))));
    // Two neighbouring frames of one removed name each, swapped.
    let frames = frame_ranges(&bytes);
    let has_one_name = |frame: &Range<usize>| bytes[frame.start + 4] == 0x91;
    let pair = frames.windows(2).rev().find(|pair| pair.iter().all(has_one_name)).expect("two such frames");
    let (first, second) = (pair[0].clone(), pair[1].clone());
    let swapped =
        [&bytes[..first.start], &bytes[second.clone()], &bytes[first], &bytes[second.end..]].concat();
    expect_that!(ConfigState::decode(&swapped), err(eq(&ConfigStateError::UnorderedRemovals)));
    // A state of the earlier format has no removed names.
    expect_that!(ConfigState::decode(&[&[3], &bytes[1..]].concat()), err(eq(&ConfigStateError::Format(3))));
}
