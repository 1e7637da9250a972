//! Changes of several operators to the same names, with versions that cross, in every order in which the log may have
//! them, and each one sent again at every later position.

use super::state::ChangeOutcome;
use super::{ConfigItem, ConfigState, ItemKind};
use googletest::prelude::*;
use serde_json::json;
use std::collections::BTreeMap;

/// A change: names with version and content; no content: removed.
type ChangeSpec<'a> = &'a [(&'a str, u64, Option<u64>)];

fn change(spec: ChangeSpec) -> Vec<ConfigItem> {
    let item = |(label, version, content): &(&str, u64, Option<u64>)| {
        let body = content.map(|limit| json!({ "label": label, "conn_limit": limit }));
        let body = body.and_then(|b| b.as_object().map(Into::into));
        ConfigItem { kind: ItemKind::Service, label: (*label).into(), version: *version, body }
    };
    spec.iter().map(item).collect()
}

/// All permutations of 0..count.
fn permutations(count: usize) -> Vec<Vec<usize>> {
    if count == 0 {
        return vec![Vec::new()];
    }
    let shorter = permutations(count - 1);
    let longer =
        |p: &Vec<usize>| (0..count).map(|at| [&p[..at], &[count - 1], &p[at..]].concat()).collect::<Vec<_>>();
    shorter.iter().flat_map(longer).collect()
}

/// The outcomes that operators have received.
#[derive(Default)]
struct Outcomes {
    confirmed: Vec<usize>,
    rejected: Vec<usize>,
    /// By name and version: the content that was confirmed.
    contents: BTreeMap<(String, u64), Option<u64>>,
}

impl Outcomes {
    /// Applies a change and checks its outcome; an operator whose change was rejected does not send it again.
    fn apply_and_check(&mut self, state: &mut ConfigState, index: u64, n: usize, spec: ChangeSpec) {
        let before = state.clone();
        let outcome = state.apply(index, &change(spec));
        match outcome {
            ChangeOutcome::Applied(_) | ChangeOutcome::AlreadyApplied => {
                assert_that!(self.rejected, not(contains(eq(&n))), "{spec:?} was rejected");
                self.confirmed.push(n);
                for (label, version, content) in spec {
                    let held = self.contents.insert(((*label).into(), *version), *content);
                    assert_that!(
                        held.is_none_or(|h| h == *content),
                        eq(true),
                        "two contents of {label}=r{version}"
                    );
                }
            }
            ChangeOutcome::Conflict(_) => {
                assert_that!(self.confirmed, not(contains(eq(&n))), "{spec:?} was confirmed");
                let other = |(l, v, c): &(&str, u64, Option<u64>)| {
                    self.contents.get(&((*l).into(), *v)).is_some_and(|held| held != c)
                };
                assert_that!(spec.iter().any(other), eq(true), "{spec:?} is rejected without reason");
                assert_that!(*state, eq(&before));
                self.rejected.push(n);
            }
            other => panic!("{spec:?}: {other:?}"),
        }
    }

    /// The current version of each name is the highest one that was confirmed.
    fn check_current(&self, state: &ConfigState) {
        let mut newest: BTreeMap<&str, Option<u64>> = BTreeMap::new();
        for ((label, _), content) in &self.contents {
            newest.insert(label, *content);
        }
        for (label, content) in newest {
            let held = state.body(ItemKind::Service, label).map(|b| b["conn_limit"].as_u64());
            assert_that!(held, eq(content.map(Some)), "{label}");
        }
    }
}

/// Two operators using one version, changes whose versions cross, and changes that were partly superseded before they
/// arrived, or arrived again.
#[gtest]
fn outcomes_are_consistent_in_every_interleaving() {
    let scenarios: [&[ChangeSpec]; 4] = [
        // Two races over three names; the highest version of one change is the lowest of the other.
        &[
            &[("a", 5, Some(1)), ("b", 9, Some(1))],
            &[("a", 9, Some(2)), ("b", 5, Some(2))],
            &[("b", 9, Some(3)), ("c", 5, Some(3))],
            &[("a", 5, Some(4)), ("c", 5, Some(4))],
            &[("c", 9, Some(5)), ("a", 7, Some(5))],
            &[("b", 7, None), ("c", 7, None)],
        ],
        // Four of one version, a fifth above and a sixth below it.
        &[
            &[("a", 7, Some(1))],
            &[("a", 7, Some(2))],
            &[("a", 7, None)],
            &[("a", 7, Some(1)), ("b", 7, Some(2))],
            &[("a", 8, Some(3))],
            &[("a", 6, Some(4)), ("b", 7, Some(2))],
        ],
        // Removed, set again, removed, by two operators who don't know of each other.
        &[
            &[("a", 1, Some(1)), ("b", 1, Some(1))],
            &[("a", 2, None), ("b", 3, Some(2))],
            &[("a", 3, Some(2)), ("b", 2, None)],
            &[("a", 4, None), ("b", 4, None)],
            &[("a", 4, None), ("b", 3, Some(9))],
            &[("a", 2, Some(8))],
        ],
        // Partly superseded, and partly of a version that is taken.
        &[
            &[("a", 3, Some(1)), ("b", 3, Some(1)), ("c", 3, Some(1))],
            &[("a", 4, Some(2))],
            &[("b", 3, Some(2))],
            &[("c", 2, Some(3)), ("a", 5, Some(3))],
            &[("a", 5, Some(3)), ("b", 4, Some(3))],
            &[("c", 3, Some(1)), ("b", 4, Some(4))],
        ],
    ];
    let (mut interleavings, mut answers) = (0, [0, 0]);
    for spec in scenarios {
        for interleaving in permutations(spec.len()) {
            let (mut state, mut outcomes, mut index) = (ConfigState::default(), Outcomes::default(), 0);
            let mut apply = |state: &mut ConfigState, outcomes: &mut Outcomes, n: usize| {
                index += 1;
                outcomes.apply_and_check(state, index, n, spec[n]);
                outcomes.check_current(state);
            };
            for (position, n) in interleaving.iter().enumerate() {
                apply(&mut state, &mut outcomes, *n);
                // Each that was confirmed arrives again, at every position.
                for again in interleaving[..=position]
                    .iter()
                    .filter(|a| outcomes.confirmed.contains(a))
                    .copied()
                    .collect::<Vec<_>>()
                {
                    let before = state.to_json();
                    apply(&mut state, &mut outcomes, again);
                    assert_that!(state.to_json(), eq(&before));
                }
            }
            interleavings += 1;
            answers[0] += interleaving.iter().filter(|n| outcomes.confirmed.contains(n)).count();
            answers[1] += outcomes.rejected.len();
            assert_that!(
                outcomes.rejected.len()
                    + interleaving.iter().filter(|n| outcomes.confirmed.contains(n)).count(),
                eq(6)
            );
        }
    }
    println!("{interleavings} interleavings, {} changes confirmed, {} rejected", answers[0], answers[1]);
    expect_that!(interleavings, eq(4 * 720));
    expect_that!(answers.into_iter().min(), some(gt(1000)));
}
