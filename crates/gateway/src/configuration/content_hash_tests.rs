//! When two versions have the same content: whatever the spelling, and on disks of earlier builds too.

use super::content_hash::{semantic_hash, verbatim_hash};
use super::state::ChangeOutcome;
use super::{parse_change, ConfigItem, ConfigState, ItemKind};
use googletest::prelude::*;
use serde_json::{json, Value};

/// 200 with an effect, 200 without, 409.
fn outcome_name(outcome: &ChangeOutcome) -> &'static str {
    match outcome {
        ChangeOutcome::Applied(_) => "applied",
        ChangeOutcome::AlreadyApplied => "already applied",
        ChangeOutcome::Conflict(_) => "conflict",
        _ => "other",
    }
}

/// A change that is sent again in another spelling, or through another client, has the same content.
#[gtest]
fn equivalent_spellings_have_the_same_content() {
    let read = |body: Value| parse_change(body.to_string().as_bytes()).expect("readable");
    let columns = ["label", "hostname", "path_prefix", "route_class", "cutoff", "target", "rank", "mixture"];
    let route = |more: Value| {
        let mut body = json!({ "label": "r1", "hostname": "a.example", "path_prefix": "/x/", "cutoff": "2500ms",
            "route_class": "effectful", "target": "400ms", "rank": 2, "revision": "r7",
            "mixture": [{ "service_ref": "s1", "gain": 90 }, { "service_ref": "s2", "gain": 10 }] });
        body.as_object_mut().expect("one").extend(more.as_object().expect("one").clone());
        body
    };
    let changes = |routes: Vec<Value>, tenants: Vec<Value>| {
        read(json!({ "upsert": { "route_set": routes, "tenant_set": tenants,
            "service_set": [{ "label": "s1", "revision": "r7" }, { "label": "s2", "revision": "r7" }],
            "saturation": { "header_deadline": "3000ms", "idle_cutoff": "15000ms", "revision": "r7" } } }))
    };
    let tenant = json!({ "label": "t1", "credentials": ["k1", "k2"], "rate_per_s": 10, "revision": "r7" });
    let first = changes(vec![route(json!({}))], vec![tenant.clone()]);
    let mut base = ConfigState::default();
    assert_that!(outcome_name(&base.apply(1, &first)), eq("applied"));
    let parts = |a: Value, b: Value| json!({ "mixture": [a, b] });
    let (s1, s2) = (json!({ "service_ref": "s1", "gain": 90 }), json!({ "gain": 10.0, "service_ref": "s2" }));
    let same = [
        json!({ "cutoff": "2.5s", "target": "0.4s" }),
        json!({ "cutoff": " 2500.0 ms", "rank": 2.0 }),
        json!({ "revision": "r07", "hostname": "A.Example", "unkeyed": false }),
        json!({ "service_ref": null, "max_attempts": null }),
        parts(s2.clone(), s1.clone()),
        parts(json!({ "service_ref": "s1", "gain": 9e1, "more": null }), s2.clone()),
    ];
    let other = [
        json!({ "cutoff": "2501ms" }),
        json!({ "cutoff": "2.5000001s" }),
        json!({ "cutoff": null }),
        json!({ "hostname": "b.example" }),
        json!({ "unkeyed": true }),
        json!({ "max_attempts": 2 }),
        parts(s1.clone(), json!({ "service_ref": "s2", "gain": 11 })),
        parts(json!({ "service_ref": "s2", "gain": 90 }), json!({ "service_ref": "s1", "gain": 10 })),
    ];
    for (expected, fields) in
        same.iter().map(|f| ("already applied", f)).chain(other.iter().map(|f| ("conflict", f)))
    {
        let change = changes(vec![route(fields.clone())], vec![tenant.clone()]);
        expect_that!(outcome_name(&base.clone().apply(2, &change)), eq(expected), "{fields}");
        // Also once it is superseded.
        let mut later = base.clone();
        let higher = read(json!({ "upsert": { "route_set": [route(json!({ "revision": "r9" }))] } }));
        expect_that!(outcome_name(&later.apply(2, &higher)), eq("applied"));
        expect_that!(outcome_name(&later.apply(3, &change)), eq(expected), "{fields}");
    }
    for (expected, fields) in [
        ("already applied", json!({ "credentials": ["k2", "k1"], "burst_size": 0 })),
        ("already applied", json!({ "rate_per_s": 10.0, "burst_size": null, "rank": null })),
        ("conflict", json!({ "credentials": ["k1"] })),
        ("conflict", json!({ "rate_per_s": 0 })),
    ] {
        let mut tenant = tenant.clone();
        tenant.as_object_mut().expect("one").extend(fields.as_object().expect("one").clone());
        expect_that!(
            outcome_name(&base.clone().apply(2, &changes(vec![route(json!({}))], vec![tenant]))),
            eq(expected),
            "{fields}"
        );
    }
    // Records in any order of columns, with null for what is left out.
    let record = json!(["r1", "a.example", "/x/", "effectful", "2.5s", "0.4s", 2, [s1, s2]]);
    let (mut columns, mut record) = (columns.to_vec(), record.as_array().expect("one").clone());
    columns.extend(["revision", "service_ref"]);
    record.extend([json!("r7"), Value::Null]);
    for turn in 0..columns.len() {
        columns.rotate_left(1);
        record.rotate_left(1);
        let change = read(json!({ "upsert": { "route_set": { "columns": columns, "records": [record] } } }));
        expect_that!(outcome_name(&base.clone().apply(2, &change)), eq("already applied"), "{turn}");
    }
    // One version in two spellings within a change.
    let twice = changes(vec![route(same[0].clone()), route(same[2].clone())], vec![]);
    expect_that!(outcome_name(&ConfigState::default().apply(1, &twice)), eq("applied"));
}

/// Disks of earlier builds have hashes of the fields as they were sent; what they confirmed is confirmed again.
#[gtest]
fn verbatim_hash_of_an_earlier_build_still_matches() {
    let body = json!({ "label": "t", "credentials": ["k2", "k1"], "revision": "r5" });
    let change = [ConfigItem {
        kind: ItemKind::Tenant,
        label: "t".into(),
        version: 5,
        body: body.as_object().map(Into::into),
    }];
    let mut state = ConfigState::default();
    assert_that!(outcome_name(&state.apply(1, &change)), eq("applied"));
    let body = body.as_object();
    let (now, before) = (semantic_hash(body), verbatim_hash(body));
    let bytes = state.encode();
    let [now, before] = [now, before].map(|hash| rmp_serde::to_vec(&hash).expect("encoded"));
    let at = bytes.windows(now.len()).position(|w| w == now).expect("there");
    let old = [&bytes[..at], &before, &bytes[at + now.len()..]].concat();
    let mut state = ConfigState::decode(&old).expect("decoded");
    expect_that!(outcome_name(&state.apply(2, &change)), eq("already applied"));
}
