//! The operator removes the last tenant: from then on no request has a known credential, and each still needs one.

use googletest::prelude::*;
use serde_json::{json, Value};
use whinstall_simulation::faults::Fault;
use whinstall_simulation::scripted_operator::{ScriptedChange, ScriptedStart};
use whinstall_simulation::severe_faults::SevereFault;
use whinstall_simulation::trials::{severe, trial_with, wiped, FaultSchedule};
use whinstall_simulation::{DeploymentPlan, World};

/// The tenants that the primary operator's first change sets.
const TENANTS: [&str; 3] = ["big", "small", "free"];
/// When the first tenant is removed, in simulated seconds; the others follow.
const REMOVED_AT: f64 = 5.0;
/// Seconds between the acknowledgement of a change and the next one.
const PAUSE: f64 = 0.5;
/// Items of other kinds that are removed after the tenants in some of the days: more than the core remembers with their
/// names (4,096).
const OTHER_REMOVALS: usize = 4_400;
const LENGTH: f64 = 32.0;

/// Removes the tenants one after the other, then, if asked for, many routes at once.
fn script(has_other_removals: bool) -> Vec<ScriptedChange> {
    let removal = |label: &str| json!({ "label": label, "revision": "r1000" });
    let change = |n: usize, body: Value| {
        let start = if n == 0 { ScriptedStart::At(REMOVED_AT) } else { ScriptedStart::AfterPrevious(PAUSE) };
        ScriptedChange::new(&body, start)
    };
    let tenants = TENANTS.iter().enumerate();
    let mut script: Vec<_> = tenants
        .map(|(n, label)| change(n, json!({ "remove": { "tenant_set": [removal(label)] } })))
        .collect();
    if has_other_removals {
        let routes: Vec<Value> = (0..OTHER_REMOVALS).map(|n| removal(&format!("route-{n}"))).collect();
        script.push(change(TENANTS.len(), json!({ "remove": { "route_set": routes } })));
    }
    script
}

/// No client traffic: without tenants none of it could be attributed to one.
fn plan(has_other_removals: bool) -> DeploymentPlan {
    DeploymentPlan {
        edges: 3,
        workers: 1,
        rate: 1e-6,
        length: LENGTH,
        steps: Some(1),
        script: script(has_other_removals),
        ..DeploymentPlan::default()
    }
}

/// Whether all removals were acknowledged, and each edge node, with the routes in force, requires a credential and knows
/// none.
fn check_edges(world: &World) -> Option<String> {
    let unanswered = world.plan.script.iter().position(|change| change.acknowledged_at.is_none());
    if let Some(unanswered) = unanswered {
        return Some(format!("ACK: scripted change {unanswered} is not acknowledged"));
    }
    for (n, node) in world.edges.iter().enumerate() {
        let Some(edge) = &node.edge else { return Some(format!("SCENARIO: edge {n} does not run")) };
        let config = &edge.active_config;
        if config.match_route("shop.example", "/read/x").is_none() || !config.tenants_by_label().is_empty() {
            return Some(format!("SETTLE: edge {n} does not have the configuration"));
        }
        if !config.requires_credentials {
            return Some(format!("ROUTE: edge {n} runs requests with any key"));
        }
    }
    None
}

/// Guards against credentials that are no longer checked once the last tenant is removed: at edge nodes that were there,
/// and at those that start later.
#[gtest]
fn credentials_stay_required_once_the_last_tenant_is_removed() {
    let scenario = |seed: u64, rng: &mut fastrand::Rng| {
        let late = (12.0 + 6.0 * rng.f64(), Fault::KillEdge { edge: 0, down: 1.0 });
        let many = (14.0, Fault::KillManyEdges { edges: 3, down: 2.0, dark: false });
        let days: [FaultSchedule; 3] = [vec![], vec![late], vec![many]];
        (plan(false), days[seed as usize % 3].clone())
    };
    trial_with(16_200..16_206, scenario, check_edges);
}

/// Guards against a core that forgets that there were tenants: their tombstones are dropped, and then each core node loses
/// its disk or is replaced, or all are killed, before the edge nodes start again.
#[gtest]
fn credentials_stay_required_after_restarts_and_dropped_tombstones() {
    let scenario = |seed: u64, rng: &mut fastrand::Rng| {
        let mut days = FaultSchedule::new();
        for core in 0..3 {
            let at = 8.5 + 4.6 * core as f64 + 0.1 * rng.f64();
            match seed % 4 {
                0 => days.push(wiped(at, core, 0.3)),
                1 => days.push(severe(at, SevereFault::ReplaceCore { core, later: 0.3 })),
                2 => days.push((at, Fault::KillAllCores { down: 0.5 })),
                _ => {
                    days.push(severe(at, SevereFault::Blackout { down: 0.5, wipe: vec![core], edges: true }))
                }
            }
        }
        days.push((23.0, Fault::KillManyEdges { edges: 3, down: 1.0, dark: false }));
        (plan((seed / 4).is_multiple_of(2)), days)
    };
    trial_with(16_300..16_308, scenario, check_edges);
}
