//! Orders of several operators over the same names, with versions that cross, in every order in which the log may have
//! them, and each sent again at every later place.

use super::state::ChangeOutcome;
use super::{ConfigItem, ConfigState, ItemKind};
use googletest::prelude::*;
use serde_json::json;
use std::collections::BTreeMap;

/// An order: names with version and content; no content: dropped.
type Told<'a> = &'a [(&'a str, u64, Option<u64>)];

fn order(told: Told) -> Vec<ConfigItem> {
    let item = |(label, version, content): &(&str, u64, Option<u64>)| {
        let body = content.map(|limit| json!({ "label": label, "conn_limit": limit }));
        let body = body.and_then(|b| b.as_object().map(Into::into));
        ConfigItem { kind: ItemKind::Service, label: (*label).into(), version: *version, body }
    };
    told.iter().map(item).collect()
}

/// All orders of so many things.
fn permutations(many: usize) -> Vec<Vec<usize>> {
    if many == 0 {
        return vec![Vec::new()];
    }
    let shorter = permutations(many - 1);
    let longer =
        |p: &Vec<usize>| (0..many).map(|at| [&p[..at], &[many - 1], &p[at..]].concat()).collect::<Vec<_>>();
    shorter.iter().flat_map(longer).collect()
}

/// What operators have heard.
#[derive(Default)]
struct Heard {
    confirmed: Vec<usize>,
    refused: Vec<usize>,
    /// By name and version: the content that was confirmed.
    contents: BTreeMap<(String, u64), Option<u64>>,
}

impl Heard {
    /// One more answer; an operator whose order was refused sends it no more.
    fn answer(&mut self, state: &mut ConfigState, index: u64, n: usize, told: Told) {
        let before = state.clone();
        let outcome = state.apply(index, &order(told));
        match outcome {
            ChangeOutcome::Applied(_) | ChangeOutcome::AlreadyApplied => {
                assert_that!(self.refused, not(contains(eq(&n))), "{told:?} was refused");
                self.confirmed.push(n);
                for (label, version, content) in told {
                    let held = self.contents.insert(((*label).into(), *version), *content);
                    assert_that!(
                        held.is_none_or(|h| h == *content),
                        eq(true),
                        "two contents of {label}=r{version}"
                    );
                }
            }
            ChangeOutcome::Conflict(_) => {
                assert_that!(self.confirmed, not(contains(eq(&n))), "{told:?} was confirmed");
                let other = |(l, v, c): &(&str, u64, Option<u64>)| {
                    self.contents.get(&((*l).into(), *v)).is_some_and(|held| held != c)
                };
                assert_that!(told.iter().any(other), eq(true), "{told:?} is refused without ground");
                assert_that!(*state, eq(&before));
                self.refused.push(n);
            }
            other => panic!("{told:?}: {other:?}"),
        }
    }

    /// What stands is, of each name, the highest version that was confirmed.
    fn stands(&self, state: &ConfigState) {
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

/// Guards two operators under one number, orders whose versions cross, and those that were half overtaken before they
/// came, or came again.
#[gtest]
fn orders_with_crossed_versions_keep_their_word_in_every_interleaving() {
    let days: [&[Told]; 4] = [
        // Two races over three names; what the one sets highest the other sets lowest.
        &[
            &[("a", 5, Some(1)), ("b", 9, Some(1))],
            &[("a", 9, Some(2)), ("b", 5, Some(2))],
            &[("b", 9, Some(3)), ("c", 5, Some(3))],
            &[("a", 5, Some(4)), ("c", 5, Some(4))],
            &[("c", 9, Some(5)), ("a", 7, Some(5))],
            &[("b", 7, None), ("c", 7, None)],
        ],
        // Four under one number, with a fifth over and a sixth under it.
        &[
            &[("a", 7, Some(1))],
            &[("a", 7, Some(2))],
            &[("a", 7, None)],
            &[("a", 7, Some(1)), ("b", 7, Some(2))],
            &[("a", 8, Some(3))],
            &[("a", 6, Some(4)), ("b", 7, Some(2))],
        ],
        // Dropped, set again, dropped, by two who don't know of each other.
        &[
            &[("a", 1, Some(1)), ("b", 1, Some(1))],
            &[("a", 2, None), ("b", 3, Some(2))],
            &[("a", 3, Some(2)), ("b", 2, None)],
            &[("a", 4, None), ("b", 4, None)],
            &[("a", 4, None), ("b", 3, Some(9))],
            &[("a", 2, Some(8))],
        ],
        // Half overtaken, and its other half under a number that is taken.
        &[
            &[("a", 3, Some(1)), ("b", 3, Some(1)), ("c", 3, Some(1))],
            &[("a", 4, Some(2))],
            &[("b", 3, Some(2))],
            &[("c", 2, Some(3)), ("a", 5, Some(3))],
            &[("a", 5, Some(3)), ("b", 4, Some(3))],
            &[("c", 3, Some(1)), ("b", 4, Some(4))],
        ],
    ];
    let (mut courses, mut answers) = (0, [0, 0]);
    for told in days {
        for course in permutations(told.len()) {
            let (mut state, mut heard, mut index) = (ConfigState::default(), Heard::default(), 0);
            let mut apply = |state: &mut ConfigState, heard: &mut Heard, n: usize| {
                index += 1;
                heard.answer(state, index, n, told[n]);
                heard.stands(state);
            };
            for (place, n) in course.iter().enumerate() {
                apply(&mut state, &mut heard, *n);
                // Each that was confirmed comes again, at every place.
                for again in course[..=place]
                    .iter()
                    .filter(|a| heard.confirmed.contains(a))
                    .copied()
                    .collect::<Vec<_>>()
                {
                    let before = state.to_json();
                    apply(&mut state, &mut heard, again);
                    assert_that!(state.to_json(), eq(&before));
                }
            }
            courses += 1;
            answers[0] += course.iter().filter(|n| heard.confirmed.contains(n)).count();
            answers[1] += heard.refused.len();
            assert_that!(
                heard.refused.len() + course.iter().filter(|n| heard.confirmed.contains(n)).count(),
                eq(6)
            );
        }
    }
    println!("{courses} courses, {} orders confirmed, {} refused", answers[0], answers[1]);
    expect_that!(courses, eq(4 * 720));
    expect_that!(answers.into_iter().min(), some(gt(1000)));
}
