//! Faults that are put into the core machines of the cluster, to show that the auditor and the check of the history see
//! them: a machine that answers by what it holds itself, without a word to the others.

use super::clerks::Crew;
use super::severe::Severe;
use super::trials::{control, play, severe, Days};
use super::{Call, Plan, World};
use crate::config::state::Outcome;
use crate::config::Order;
use crate::core::Command;
use googletest::prelude::*;

/// What is wrong with the core machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Spoiled {
    /// One that leads, or led last before it was cut off, answers reads by what it holds.
    LeaderReads,
    /// One that follows does.
    FollowerReads,
    /// One that leads, or led last before it was cut off, refuses orders by what it holds.
    LeaderRefuses,
}

impl World {
    /// Answers a call as the spoiled machine would; `false`: it goes on as usual.
    pub fn spoils(&mut self, n: usize, call: &Call, command: &Command) -> bool {
        let Some(spoiled) = self.plan.spoiled else { return false };
        let Some(core) = self.cores[n].core.as_ref() else { return false };
        let now = 1000.0 + (self.now - self.cores[n].boot) * self.cores[n].drift;
        let hears = core.raft.leader(core.shared.ms(now)).is_some();
        let led = core.raft.leads() || !hears && self.watch.held(n);
        let state = &core.keeper.state;
        let answer = match (spoiled, command) {
            (Spoiled::LeaderReads, Command::Read) if led => Some((200, state.render())),
            (Spoiled::FollowerReads, Command::Read) if !core.raft.leads() => Some((200, state.render())),
            (Spoiled::LeaderRefuses, Command::Amend(items)) if led => {
                match state.clone().apply(core.keeper.applied + 1, &Order::new(items.clone())) {
                    Outcome::Conflict(_) => Some((409, serde_json::json!({}))),
                    Outcome::Invalid(_) => Some((400, serde_json::json!({}))),
                    _ => None,
                }
            }
            _ => None,
        };
        let Some((status, body)) = answer else { return false };
        self.replied(n, call.id, status, &body);
        true
    }
}

/// What is found broken over some seeds, by kind.
fn broken(spoiled: Option<Spoiled>, plan: &Plan, days: &Days) -> Vec<String> {
    let kinds = (16_000..16_004).flat_map(|seed| {
        let world = play(seed, Plan { spoiled, ..plan.clone() }, days);
        world.audit.broken
    });
    kinds.map(|text| text.split([' ', ':']).next().unwrap_or_default().to_owned()).collect()
}

fn busy(invalid: f64) -> Plan {
    let crew = Crew {
        clerks: 4,
        pause: 0.3,
        reads: 0.2,
        twins: 0.0,
        shared: 0.0,
        invalid,
        labels: 3,
        ..Crew::default()
    };
    Plan { length: 22.0, crew, ..control(3, 1) }
}

/// Whoever leads is cut off, with an operator on its side.
fn leader_cut() -> Days {
    let (edges, workers, operators) = (vec![0], vec![0], vec![1, 2]);
    vec![severe(6.0, Severe::CutHolder { edges, workers, operators, secs: 8.0 })]
}

#[gtest]
fn a_read_by_a_leader_that_is_cut_off_is_found_by_the_history() {
    let (plan, days) = (busy(0.0), leader_cut());
    expect_that!(broken(None, &plan, &days), is_empty());
    expect_that!(broken(Some(Spoiled::LeaderReads), &plan, &days), contains(eq("HISTORY")));
}

#[gtest]
fn a_read_by_a_follower_alone_is_found_by_the_history() {
    // Far apart: a follower hears of a commit later than the operator.
    let plan = Plan { delay: 0.008, jitter: 0.03, ..busy(0.0) };
    expect_that!(broken(None, &plan, &Vec::new()), is_empty());
    expect_that!(broken(Some(Spoiled::FollowerReads), &plan, &Vec::new()), contains(eq("HISTORY")));
}

#[gtest]
fn a_refusal_by_a_leader_that_is_cut_off_is_found() {
    let (plan, days) = (busy(0.5), leader_cut());
    expect_that!(broken(None, &plan, &days), is_empty());
    expect_that!(broken(Some(Spoiled::LeaderRefuses), &plan, &days), contains(eq("APART")));
}
