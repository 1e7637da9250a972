//! Items come and go by the thousand: each is set with its first version and removed with its second.

use googletest::prelude::*;
use serde_json::{json, Value};
use whinstall_simulation::faults::Fault;
use whinstall_simulation::scripted_operator::{ScriptedChange, ScriptedStart};
use whinstall_simulation::severe_faults::SevereFault;
use whinstall_simulation::trials::{severe, trial_with, wiped, FaultSchedule};
use whinstall_simulation::{DeploymentPlan, World};

/// Tenants, routes and services that one change sets.
const ITEMS_PER_KIND: usize = 40;
/// Rounds of one change that sets items and one that removes them. The items are over twice as many as the core
/// remembers with their names (4,096).
const ROUNDS: usize = 75;
/// When the first round begins, in simulated seconds.
const FIRST_ROUND_AT: f64 = 3.0;
/// Seconds between the acknowledgement of a change and the next one.
const PAUSE: f64 = 0.1;
/// When changes of early rounds are sent again, in simulated seconds. All items are long gone.
const REPEATED_AT: f64 = 34.0;
/// When new items are set, in simulated seconds.
const NEWCOMERS_AT: f64 = 40.0;
/// Seconds within which a settled core acknowledges a change (`ack_bound`).
const ACKNOWLEDGED_WITHIN: f64 = 5.0;
const LENGTH: f64 = 54.0;

fn items(names: &[String]) -> Value {
    let of_kind = |kind: &str, fields: &dyn Fn(&str) -> Value| -> Vec<Value> {
        let with_name = |name: &String| {
            let mut item = fields(name);
            (item["label"], item["revision"]) = (json!(format!("{kind}-{name}")), json!("r1"));
            item
        };
        names.iter().map(with_name).collect()
    };
    json!({ "upsert": {
        "tenant_set": of_kind("tenant", &|name| json!({ "credentials": [format!("key-{name}")] })),
        "service_set": of_kind("service", &|_| json!({ "probe_path": "/health" })),
        "route_set": of_kind("route", &|name| json!({ "hostname": "churn.example",
            "path_prefix": format!("/{name}/"), "route_class": "idempotent", "service_ref": "planer" })),
    } })
}

fn removals(names: &[String]) -> Value {
    let of_kind = |kind: &str| -> Vec<Value> {
        let removal = |name: &String| json!({ "label": format!("{kind}-{name}"), "revision": "r2" });
        names.iter().map(removal).collect()
    };
    json!({ "remove": { "tenant_set": of_kind("tenant"), "service_set": of_kind("service"),
        "route_set": of_kind("route") } })
}

/// All rounds one after the other, then six changes of early rounds again, some of which set items and some of which remove
/// them, then newcomers.
fn script() -> Vec<ScriptedChange> {
    let mut script = Vec::new();
    for round in 0..ROUNDS {
        let names: Vec<String> = (0..ITEMS_PER_KIND).map(|n| format!("{round}-{n}")).collect();
        let next = ScriptedStart::AfterPrevious(PAUSE);
        let start = if round == 0 { ScriptedStart::At(FIRST_ROUND_AT) } else { next };
        script.push(ScriptedChange::new(&items(&names), start));
        script.push(ScriptedChange::new(&removals(&names), next));
    }
    let rounds = script.clone();
    for (repeat, index) in [0, 1, 2, 20, 21, 60].into_iter().enumerate() {
        script.push(rounds[index].repeated_at(REPEATED_AT + repeat as f64 / 2.0));
    }
    script.push(ScriptedChange::new(&items(&["newcomer".into()]), ScriptedStart::At(NEWCOMERS_AT)));
    script
}

fn plan() -> DeploymentPlan {
    DeploymentPlan {
        edges: 3,
        workers: 2,
        rate: 6.0,
        length: LENGTH,
        steps: Some(3),
        script: script(),
        ..DeploymentPlan::default()
    }
}

/// The labels of the scripted items that the final read returned.
fn labels_read(world: &World) -> Vec<String> {
    let read = world.auditor.read.clone().unwrap_or_default();
    let mut labels = Vec::new();
    for set in ["tenant_set", "service_set", "route_set"] {
        let columns = read[set]["columns"].as_array().cloned().unwrap_or_default();
        let Some(at) = columns.iter().position(|column| column == "label") else { continue };
        let records = read[set]["records"].as_array().into_iter().flatten();
        labels.extend(records.filter_map(|record| Some(record[at].as_str()?.to_owned())));
    }
    labels.retain(|label| ["tenant-", "service-", "route-"].iter().any(|kind| label.starts_with(kind)));
    labels.sort();
    labels
}

/// Whether the rounds were over before the repeated changes, the newcomers were acknowledged in time, and they alone are
/// read back and in force at each edge node.
fn check_items(world: &World) -> Option<String> {
    let script = &world.plan.script;
    let is_unanswered = |change: &ScriptedChange| change.is_retried && change.acknowledged_at.is_none();
    if let Some(unanswered) = script.iter().position(is_unanswered) {
        let sent_at = script[unanswered].sent_at;
        return Some(format!("ACK: scripted change {unanswered}, sent at {sent_at:?}, is not acknowledged"));
    }
    let last_removal = script[2 * ROUNDS - 1].acknowledged_at;
    if last_removal.is_none_or(|at| at > REPEATED_AT) {
        return Some(format!("SCENARIO: the last items were removed at {last_removal:?}"));
    }
    let newcomers = script.last()?;
    if newcomers.acknowledged_at.is_none_or(|at| at > NEWCOMERS_AT + ACKNOWLEDGED_WITHIN) {
        let times = (newcomers.sent_at, newcomers.acknowledged_at);
        return Some(format!("ACK: new items, sent and acknowledged at {times:?}"));
    }
    let labels = labels_read(world);
    if labels != ["route-newcomer", "service-newcomer", "tenant-newcomer"] {
        return Some(format!("CONFIG: read back {labels:?}"));
    }
    let is_in_force = |edge: &whinstall_gateway::data_plane::EdgeNode| {
        let config = &edge.active_config;
        let of_churn = config.routes().filter(|route| route.label.starts_with("route-")).count();
        let is_gone = |round: usize| config.tenant_by_credential(&format!("key-{round}-0")).is_none();
        of_churn == 1 && config.tenant_by_credential("key-newcomer").is_some() && (0..ROUNDS).all(is_gone)
    };
    let edges = world.edges.iter().filter_map(|node| node.edge.as_ref());
    let behind: Vec<usize> =
        edges.enumerate().filter(|(_, edge)| !is_in_force(edge)).map(|(n, _)| n).collect();
    (!behind.is_empty()).then(|| format!("SETTLE: edge nodes {behind:?} have other items in force"))
}

/// Guards against a bound on removed items that restricts the versions of items that were never removed, and against
/// removed items that an older change brings back: in calm times, and after a restart of all core nodes.
#[gtest]
fn new_items_are_accepted_after_thousands_of_removals() {
    let scenario = |seed: u64, _: &mut fastrand::Rng| {
        let restart: FaultSchedule = vec![(31.5, Fault::KillAllCores { down: 0.5 })];
        (plan(), if seed.is_multiple_of(2) { vec![] } else { restart })
    };
    trial_with(16_000..16_004, scenario, check_items);
}

/// Guards against a record of removed items that new members and nodes with an empty disk don't get with the snapshot:
/// while items come and go and after that, core nodes lose their disks, are replaced, or all lose power.
#[gtest]
fn removed_items_stay_removed_through_snapshots_and_lost_disks() {
    let scenario = |seed: u64, rng: &mut fastrand::Rng| {
        let mut days = FaultSchedule::new();
        for core in 0..3 {
            let at = 5.0 + 7.0 * core as f64 + rng.f64();
            days.push(match seed % 3 {
                0 => wiped(at, core, 0.5),
                1 => severe(at, SevereFault::LoseAndReplaceCore { core, later: 0.5 }),
                _ => severe(at, SevereFault::ReplaceCore { core, later: 0.5 }),
            });
        }
        let wipe = [vec![], vec![rng.usize(0..3)]][seed as usize / 3 % 2].clone();
        days.push(severe(28.5, SevereFault::Blackout { down: 0.5, wipe, edges: true }));
        (plan(), days)
    };
    trial_with(16_100..16_106, scenario, check_items);
}
