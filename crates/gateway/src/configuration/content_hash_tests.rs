//! When two items say the same: whatever the spelling, on disks of earlier builds, too.

use super::content_hash::{semantic_hash, verbatim_hash};
use super::state::ChangeOutcome;
use super::{parse_change, ConfigItem, ConfigState, ItemKind};
use googletest::prelude::*;
use serde_json::{json, Value};

/// 200 with an effect, 200 without, 409.
fn code(outcome: &ChangeOutcome) -> &'static str {
    match outcome {
        ChangeOutcome::Applied(_) => "taken",
        ChangeOutcome::AlreadyApplied => "known",
        ChangeOutcome::Conflict(_) => "conflict",
        _ => "other",
    }
}

/// Guards an order that is sent again in another spelling, by another client or through another reader: the same.
#[gtest]
fn an_item_is_the_same_however_it_is_spelled() {
    let read = |body: Value| parse_change(body.to_string().as_bytes()).expect("readable");
    let columns = ["label", "hostname", "path_prefix", "route_class", "cutoff", "target", "rank", "mixture"];
    let route = |more: Value| {
        let mut body = json!({ "label": "r1", "hostname": "a.example", "path_prefix": "/x/", "cutoff": "2500ms",
            "route_class": "effectful", "target": "400ms", "rank": 2, "revision": "r7",
            "mixture": [{ "service_ref": "s1", "gain": 90 }, { "service_ref": "s2", "gain": 10 }] });
        body.as_object_mut().expect("one").extend(more.as_object().expect("one").clone());
        body
    };
    let orders = |routes: Vec<Value>, tenants: Vec<Value>| {
        read(json!({ "upsert": { "route_set": routes, "tenant_set": tenants,
            "service_set": [{ "label": "s1", "revision": "r7" }, { "label": "s2", "revision": "r7" }],
            "saturation": { "header_deadline": "3000ms", "idle_cutoff": "15000ms", "revision": "r7" } } }))
    };
    let tenant = json!({ "label": "t1", "credentials": ["k1", "k2"], "rate_per_s": 10, "revision": "r7" });
    let first = orders(vec![route(json!({}))], vec![tenant.clone()]);
    let mut base = ConfigState::default();
    assert_that!(code(&base.apply(1, &first)), eq("taken"));
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
    for (told, fields) in same.iter().map(|f| ("known", f)).chain(other.iter().map(|f| ("conflict", f))) {
        let order = orders(vec![route(fields.clone())], vec![tenant.clone()]);
        expect_that!(code(&base.clone().apply(2, &order)), eq(told), "{fields}");
        // Also once it is overtaken.
        let mut later = base.clone();
        let higher = read(json!({ "upsert": { "route_set": [route(json!({ "revision": "r9" }))] } }));
        expect_that!(code(&later.apply(2, &higher)), eq("taken"));
        expect_that!(code(&later.apply(3, &order)), eq(told), "{fields}");
    }
    for (told, fields) in [
        ("known", json!({ "credentials": ["k2", "k1"], "burst_size": 0 })),
        ("known", json!({ "rate_per_s": 10.0, "burst_size": null, "rank": null })),
        ("conflict", json!({ "credentials": ["k1"] })),
        ("conflict", json!({ "rate_per_s": 0 })),
    ] {
        let mut tenant = tenant.clone();
        tenant.as_object_mut().expect("one").extend(fields.as_object().expect("one").clone());
        expect_that!(
            code(&base.clone().apply(2, &orders(vec![route(json!({}))], vec![tenant]))),
            eq(told),
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
        let order = read(json!({ "upsert": { "route_set": { "columns": columns, "records": [record] } } }));
        expect_that!(code(&base.clone().apply(2, &order)), eq("known"), "{turn}");
    }
    // An order under two spellings at once is one.
    let twice = orders(vec![route(same[0].clone()), route(same[2].clone())], vec![]);
    expect_that!(code(&ConfigState::default().apply(1, &twice)), eq("taken"));
}

/// Guards a disk of an earlier build, whose hashes are of the fields as they were spelled: what it confirmed is
/// confirmed again.
#[gtest]
fn what_an_earlier_build_confirmed_is_known_by_its_spelling() {
    let body = json!({ "label": "t", "credentials": ["k2", "k1"], "revision": "r5" });
    let order = [ConfigItem {
        kind: ItemKind::Tenant,
        label: "t".into(),
        version: 5,
        body: body.as_object().map(Into::into),
    }];
    let mut state = ConfigState::default();
    assert_that!(code(&state.apply(1, &order)), eq("taken"));
    let body = body.as_object();
    let (now, before) = (semantic_hash(body), verbatim_hash(body));
    let bytes = state.encode();
    let [now, before] = [now, before].map(|hash| rmp_serde::to_vec(&hash).expect("encoded"));
    let at = bytes.windows(now.len()).position(|w| w == now).expect("there");
    let old = [&bytes[..at], &before, &bytes[at + now.len()..]].concat();
    let mut state = ConfigState::decode(&old).expect("decoded");
    expect_that!(code(&state.apply(2, &order)), eq("known"));
}
