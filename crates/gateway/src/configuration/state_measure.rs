//! Prints the cost of the state machine at the size of the largest site: `cargo test --release -p whinstall-gateway
//! measure_the_largest -- --nocapture`. Times are printed and not asserted. Without `--release` at a
//! tenth of that size.

use super::active_config::ActiveItem;
use super::state::{ChangeOutcome, MAX_SUPERSEDED_VERSIONS};
use super::{ActiveConfig, ConfigItem, ConfigState, ItemFields, ItemKind};
use googletest::prelude::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::time::Instant;

const SCALE_DIVISOR: u64 = if cfg!(debug_assertions) { 10 } else { 1 };
const TENANTS: u64 = 37_000 / SCALE_DIVISOR;
const ROUTES: u64 = 4_600 / SCALE_DIVISOR;
const SERVICES: u64 = 310 / SCALE_DIVISOR;

fn item(kind: ItemKind, label: String, version: u64, mut body: Value) -> ConfigItem {
    body["label"] = json!(label);
    body["revision"] = json!(format!("r{version}"));
    ConfigItem { kind, label, version, body: body.as_object().map(ItemFields::from) }
}

fn service(n: u64) -> ConfigItem {
    let body = json!({ "probe_path": "/health", "conn_limit": 130, "protocol": "h1", "tls_mode": false });
    item(ItemKind::Service, format!("srv{n:04}a"), 7, body)
}

fn route(n: u64, version: u64) -> ConfigItem {
    let service = |n: u64| format!("srv{:04}a", n % SERVICES);
    let parts =
        json!([{ "service_ref": service(n), "gain": 90 }, { "service_ref": service(n + 1), "gain": 10 }]);
    let body = json!({ "hostname": format!("h{}.example", n / 4), "path_prefix": format!("/lepu{n}/"),
        "route_class": "idempotent", "cutoff": "2500ms", "target": "400ms", "rank": 2, "mixture": parts,
        "max_attempts": 2, "unkeyed": false });
    item(ItemKind::Route, format!("r-{n:07}"), version, body)
}

fn tenant(n: u64, version: u64) -> ConfigItem {
    let key = |part: u64| format!("{:020x}", (n * 2 + part).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let body =
        json!({ "credentials": [key(0), key(1)], "rank": 0, "rate_per_s": 122, "burst_size": 122 + version });
    item(ItemKind::Tenant, format!("tenant{n:06}"), version, body)
}

fn timed<T>(what: &str, runs: u32, mut run: impl FnMut() -> T) -> T {
    let mut times_ms = Vec::new();
    let mut last = None;
    for _ in 0..runs {
        let start = Instant::now();
        last = Some(run());
        times_ms.push(start.elapsed().as_secs_f64() * 1e3);
    }
    times_ms.sort_by(f64::total_cmp);
    println!(
        "{what}: {:.3} ms (median of {runs}; most {:.3})",
        times_ms[times_ms.len() / 2],
        times_ms[times_ms.len() - 1]
    );
    last.expect("run once")
}

fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS"));
    line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok()).unwrap_or(f64::NAN) / 1024.0
}

#[gtest]
fn measure_the_largest_configuration() {
    let mut first_change: Vec<ConfigItem> = (0..SERVICES).map(service).collect();
    first_change.extend((0..ROUTES).map(|n| route(n, 7)));
    first_change.extend((0..TENANTS).map(|n| tenant(n, 7)));
    println!("{TENANTS} tenants, {ROUTES} routes, {SERVICES} services");
    let empty = resident();
    let mut state = ConfigState::default();
    let outcome = timed("apply the first change", 1, || state.apply(1, &first_change));
    expect_that!(outcome, matches_pattern!(ChangeOutcome::Applied(len(eq(first_change.len())))));
    println!("resident: {empty:.0} MiB with the change alone, {:.0} MiB with the state", resident());
    let (mut index, mut n) = (1, 0);
    let mut next = || {
        index += 1;
        n = (n + 997) % ROUTES;
        (index, n)
    };
    timed("apply one tenant's change", 201, || {
        let (index, n) = next();
        expect_that!(
            state.apply(index, &[tenant(n, 7 + index)]),
            matches_pattern!(ChangeOutcome::Applied(_))
        );
    });
    timed("apply one route's change", 201, || {
        let (index, n) = next();
        expect_that!(state.apply(index, &[route(n, 7 + index)]), matches_pattern!(ChangeOutcome::Applied(_)));
    });
    let in_use = ConfigItem { version: 9, body: None, ..service(3) };
    timed("reject a service's removal", 201, || {
        expect_that!(
            state.apply(9999, std::slice::from_ref(&in_use)),
            matches_pattern!(ChangeOutcome::Invalid(_))
        );
    });
    expect_that!(
        timed("the first change again", 5, || state.apply(9999, &first_change)),
        eq(&ChangeOutcome::AlreadyApplied)
    );
    println!("encoded before the history is full: {} bytes", state.encode().len());
    let mut superseded = 0;
    while superseded < MAX_SUPERSEDED_VERSIONS as u64 {
        for _ in 0..100 {
            let (index, n) = next();
            let change: Vec<ConfigItem> = (n..n + 50).map(|n| tenant(n, 7 + index)).collect();
            expect_that!(state.apply(index, &change), matches_pattern!(ChangeOutcome::Applied(_)));
            superseded += 50;
        }
    }
    println!("history full: {MAX_SUPERSEDED_VERSIONS} superseded versions; resident {:.0} MiB", resident());
    let bytes = timed("encode", 9, || state.encode());
    println!("encoded: {} bytes", bytes.len());
    expect_that!(timed("decode", 9, || ConfigState::decode(&bytes)), ok(eq(&state)));
    timed("clone", 9, || state.clone());
    let active = || state.active_items().map(|i| &**i);
    let view = timed("ActiveConfig::from_items", 9, || ActiveConfig::from_items(active()));
    let parts: Vec<ActiveItem> = active().filter_map(ActiveItem::from_item).collect();
    for kind in [ItemKind::Route, ItemKind::Tenant, ItemKind::Service] {
        let kinds = BTreeSet::from([kind]);
        let again = timed(&format!("ActiveConfig::with_changed_kinds of {kind:?}"), 9, || {
            view.with_changed_kinds(parts.iter(), &kinds)
        });
        expect_that!(again == view, eq(true));
    }
    timed("render", 5, || state.to_json());
}
