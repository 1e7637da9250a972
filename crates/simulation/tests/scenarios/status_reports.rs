//! Status reports of the core to operators while core nodes fail and are repaired.

use googletest::prelude::*;
use serde_json::Value;
use whinstall_simulation::faults::Fault;
use whinstall_simulation::trials::control;
use whinstall_simulation::{SimulationEvent, World};

/// The status report of a core node, if the node runs.
fn status(world: &World, n: usize) -> Option<Value> {
    let node = &world.cores[n];
    let now = 1000.0 + (world.now - node.booted_at) * node.clock_rate;
    node.core.as_ref().map(|core| core.status(now))
}

/// The status report of the leader.
fn leader_status(world: &World) -> Option<Value> {
    (0..world.cores.len()).filter_map(|n| status(world, n)).find(|s| s["role"] == "leader")
}

fn entries_for<'a>(report: &'a Value, list: &str, address: &str) -> Vec<&'a Value> {
    let all = report[list].as_array().into_iter().flatten();
    all.filter(|m| m["address"] == address).collect()
}

#[gtest]
fn healthy_cores_report_the_same_status() {
    let mut world = World::new(10_500, control(3, 1));
    world.play(10.0);
    let leader = leader_status(&world).expect("a leader");
    expect_that!(leader["whole"], eq(&Value::Bool(true)));
    expect_that!(leader["others"].as_array().map(Vec::len), some(eq(2)));
    for other in leader["others"].as_array().into_iter().flatten() {
        expect_that!(other["state"].as_str(), some(eq("votes")));
        expect_that!(other["lag_entries"].as_u64(), some(le(5)));
        expect_that!(other["silent_ms"].as_u64(), some(lt(300)));
        expect_that!(other.get("why"), none());
    }
    for n in 0..3 {
        let report = status(&world, n).expect("it runs");
        for key in ["term", "leader"] {
            expect_that!(report[key], eq(&leader[key]), "{key} at {n}");
        }
        expect_that!(report["me"]["node_name"].as_str(), some(eq(format!("core-{n}").as_str())));
        let members = report["members"].as_array().cloned().unwrap_or_default();
        expect_that!(members, len(eq(3)));
        expect_that!(members.iter().filter(|m| m["leads"] == true).count(), eq(1));
        for (at, member) in members.iter().enumerate() {
            expect_that!(member["node_name"].as_str(), some(eq(format!("core-{at}").as_str())));
            expect_that!(member["disk"].as_str(), some(eq("0")));
            expect_that!(member["connected"], eq(&Value::Bool(true)));
            expect_that!(member["heard_ms"].as_u64(), some(lt(1000)));
        }
    }
}

#[gtest]
fn stopped_member_is_reported_with_its_reason() {
    let mut world = World::new(10_501, control(3, 1));
    world.play(8.0);
    let leader = leader_status(&world).expect("a leader");
    let lost = (0..3).find(|n| format!("core-{n}") != leader["me"]["node_name"]).expect("a follower");
    let fault = Fault::KillCore { core: lost, down: 100.0, power: false, wipe: false };
    world.schedule_at(8.0, SimulationEvent::Fault(fault));
    world.play(13.0);
    let report = leader_status(&world).expect("a leader");
    let address = format!("10.0.1.{}", lost + 1);
    expect_that!(report["whole"], eq(&Value::Bool(false)));
    let seen = entries_for(&report, "others", &address);
    expect_that!(seen, len(eq(1)));
    expect_that!(seen[0]["state"].as_str(), some(eq("out")));
    expect_that!(seen[0]["why"].as_str(), some(contains_substring("no connection")));
    expect_that!(seen[0]["repair"].as_str(), some(contains_substring("stays a member until")));
    expect_that!(seen[0]["since_s"].as_f64(), some(all![gt(4.0), lt(5.5)]));
    let member = entries_for(&report, "members", &address);
    expect_that!(member[0]["connected"], eq(&Value::Bool(false)));
    expect_that!(report["attached"], eq(&Value::Bool(true)), "the other two nodes keep a majority");
}

#[gtest]
fn lost_disk_is_reported_until_repaired() {
    let mut world = World::new(10_502, control(3, 1));
    world.play(8.0);
    let leader = leader_status(&world).expect("a leader");
    let lost = (0..3).find(|n| format!("core-{n}") != leader["me"]["node_name"]).expect("a follower");
    world.schedule_at(
        8.0,
        SimulationEvent::Fault(Fault::KillCore { core: lost, down: 2.0, power: true, wipe: true }),
    );
    let address = format!("10.0.1.{}", lost + 1);
    let mut states: Vec<(String, String)> = Vec::new();
    while world.now < 16.0 {
        let next = world.now + 0.01;
        world.play(next);
        for report in leader_status(&world).iter().flat_map(|l| entries_for(l, "others", &address)) {
            let word = |key: &str| report[key].as_str().unwrap_or_default().to_owned();
            let state = (word("disk"), word("state"));
            if !states.contains(&state) {
                states.push(state);
            }
        }
    }
    let words: Vec<(bool, &str)> = states.iter().map(|(disk, state)| (disk == "0", state.as_str())).collect();
    expect_that!(words.first(), some(eq(&(true, "votes"))));
    for seen in [(true, "out"), (false, "catching up"), (false, "votes")] {
        expect_that!(words.contains(&seen), eq(true), "{seen:?} of {words:?}");
    }
    let report = leader_status(&world).expect("a leader");
    expect_that!(report["whole"], eq(&Value::Bool(true)));
    let member = entries_for(&report, "members", &address);
    expect_that!(member, len(eq(1)));
    expect_that!(member[0]["disk"].as_str(), some(not(eq("0"))));
}
