//! What operators may send, and what must be turned back.

use super::active_config::ActiveItem;
use super::change::{find_violations, validate_change};
use super::replica::{ConfigReplica, ReplicaUpdate};
use super::{parse_change, ActiveConfig, ConfigItem, ItemKind, ItemSet};
use googletest::prelude::*;
use serde_json::{json, Value};

fn call(body: &Value) -> Vec<ConfigItem> {
    parse_change(body.to_string().as_bytes()).expect("readable")
}

fn route(label: &str, host: &str, prefix: &str, service: &str, revision: &str) -> Value {
    json!([label, host, prefix, "effectful", "1000ms", "400ms", 1, null, 2, false, revision, service])
}

fn routes(records: Value) -> Value {
    let columns = ["label", "hostname", "path_prefix", "route_class", "cutoff", "target", "rank", "mixture"];
    let columns: Vec<&str> =
        columns.into_iter().chain(["max_attempts", "unkeyed", "revision", "service_ref"]).collect();
    json!({ "columns": columns, "records": records })
}

fn first() -> Value {
    json!({ "upsert": {
        "route_set": routes(json!([route("r1", "a.example", "/x/", "s1", "r7"), route("r2", "a.example", "/x/y/", "s2", "r7")])),
        "tenant_set": { "columns": ["label", "credentials", "rate_per_s", "burst_size", "revision"],
            "records": [["t1", ["k1", "k2"], 10, 10, "r7"], ["t2", ["k3"], null, null, "r7"]] },
        "service_set": { "columns": ["label", "probe_path", "conn_limit", "revision"],
            "records": [["s1", "/health", 130, "r7"], ["s2", "/health", 130, "r7"]] },
        "saturation": { "header_max_bytes": 16384, "idle_cutoff": "15000ms", "revision": "r7" },
    }, "remove": { "route_set": [] } })
}

fn held(calls: &[Value]) -> ItemSet {
    let mut items = ItemSet::default();
    for body in calls {
        for item in validate_change(&items, &call(body)).expect("valid") {
            items.merge(item);
        }
    }
    items
}

/// Guards against every kind of call that PROTOCOL calls invalid, each with a message that names the place.
#[gtest]
fn every_invalid_kind_is_refused_whole() {
    let with = |change: &dyn Fn(&mut Value)| {
        let mut record = route("r9", "a.example", "/z/", "s1", "r9");
        change(&mut record);
        json!({ "upsert": { "route_set": routes(json!([record])) } })
    };
    let cases: [(&str, Value); 8] = [
        ("unknown service", with(&|r| r[11] = json!("nobody"))),
        ("add up to 0", with(&|r| r[7] = json!([{ "service_ref": "s1", "gain": 0 }]))),
        (
            "at least 0",
            with(&|r| {
                r[7] = json!([{ "service_ref": "s1", "gain": 3 }, { "service_ref": "s2", "gain": -1 }])
            }),
        ),
        ("over ten minutes", with(&|r| r[4] = json!("600001ms"))),
        ("hostname", with(&|r| r[1] = json!(""))),
        ("neither idempotent", with(&|r| r[3] = json!("odd"))),
        ("neither a service", with(&|r| r[11] = Value::Null)),
        (
            "share a key",
            json!({ "upsert": { "tenant_set": { "columns": ["label", "credentials", "revision"],
            "records": [["t9", ["k3"], "r9"]] } } }),
        ),
    ];
    let items = held(&[first()]);
    for (what, body) in cases {
        let judged =
            parse_change(body.to_string().as_bytes()).and_then(|call| validate_change(&items, &call));
        let error = judged.expect_err(what).to_string();
        expect_that!(error, contains_substring(what), "{body}");
    }
    let whole = first().to_string();
    for end in 1..whole.len() {
        expect_that!(parse_change(&whole.as_bytes()[..end]), err(anything()));
    }
    let ragged =
        json!({ "upsert": { "tenant_set": { "columns": ["label", "revision"], "records": [["t9"]] } } });
    expect_that!(parse_change(ragged.to_string().as_bytes()), err(anything()));
}

/// Guards a call of which one part would be dropped unseen and yet acknowledged.
#[gtest]
fn what_is_said_twice_is_not_read() {
    let read = |text: &str| parse_change(text.as_bytes()).map(|items| items.len()).map_err(|e| e.to_string());
    let one = r#""tenant_set":[{"label":"t1","revision":"r1"}]"#;
    let other = r#""tenant_set":[{"label":"t2","revision":"r1"}]"#;
    expect_that!(read(&format!(r#"{{"upsert":{{{one}}}}}"#)), ok(eq(&1)));
    for text in [
        format!(r#"{{"upsert":{{{one},{other}}}}}"#),
        format!(r#"{{"upsert":{{{one}}},"upsert":{{{other}}}}}"#),
        r#"{"upsert":{"tenant_set":[{"label":"t1","label":"t2","revision":"r1"}]}}"#.into(),
        r#"{"upsert":{"tenant_set":{"columns":["label","revision","label"],"records":[["t1","r1","t2"]]}}}"#
            .into(),
        r#"{"upsert":{"tenant_set":{"columns":["label","revision"],"records":[["t1","r1"]],"records":[]}}}"#
            .into(),
        r#"{"remove":{"tenant_set":[{"label":"t1","revision":"r1","revision":"r2"}]}}"#.into(),
    ] {
        expect_that!(read(&text), err(contains_substring("comes twice")), "{text}");
    }
    // All that JSON can say is read as before.
    let all = r#"{"a":[null,true,false,0,-1,18446744073709551615,-9223372036854775808,1.5,1e300,"x\u00e4\n",{},[]]}"#;
    let strict = crate::json_path::parse(all.as_bytes()).expect("JSON");
    expect_that!(strict, eq(&serde_json::from_str::<Value>(all).expect("JSON")));
}

/// Guards valid calls: what changes hands within one call, and what arrives again.
#[gtest]
fn nothing_valid_is_refused() {
    let mut items = held(&[first()]);
    let moved = json!({ "upsert": { "tenant_set": { "columns": ["label", "credentials", "revision"],
        "records": [["t2", ["k3", "k1"], "r9"], ["t1", ["k2"], "r9"]] } } });
    let both = json!({ "upsert": { "route_set": routes(json!([route("r3", "b.example", "/", "s3", "r9")])),
        "service_set": { "columns": ["label", "revision"], "records": [["s3", "r9"]] } } });
    for body in [&moved, &both] {
        for item in validate_change(&items, &call(body)).expect("valid") {
            items.merge(item);
        }
    }
    // The first call again: it has no effect, though t1 and t2 would share a key with what stands now.
    expect_that!(validate_change(&items, &call(&first())), ok(is_empty()));
    // A service that a route still names can't go alone, but it can go with its route.
    let alone = json!({ "remove": { "service_set": [{ "label": "s3", "revision": "r10" }] } });
    expect_that!(validate_change(&items, &call(&alone)), err(anything()));
    let with = json!({ "remove": { "service_set": [{ "label": "s3", "revision": "r10" }],
        "route_set": [{ "label": "r3", "revision": "r10" }] } });
    expect_that!(validate_change(&items, &call(&with)), ok(len(eq(2))));
}

/// Guards operators whose calls would be refused for ever once two of them gave a key to two tenants at once.
#[gtest]
fn what_two_operators_put_wrong_together_blocks_nobody() {
    let mut items = held(&[first()]);
    let key = |tenant: &str, revision: &str| {
        json!({ "upsert": { "tenant_set": { "columns": ["label", "credentials", "revision"],
            "records": [[tenant, ["k9"], revision]] } } })
    };
    let (one, other) = (call(&key("t1", "r11")), call(&key("t2", "r12")));
    expect_that!(validate_change(&items, &one), ok(anything()));
    expect_that!(validate_change(&items, &other), ok(anything()));
    for item in one.into_iter().chain(other) {
        items.merge(item);
    }
    expect_that!(find_violations(&items), len(eq(1)));
    // The newer version has the key, and other calls go on.
    expect_that!(
        &*ActiveConfig::from_item_set(&items).tenant_by_credential("k9").expect("held").label,
        eq("t2")
    );
    let more =
        json!({ "upsert": { "route_set": routes(json!([route("r4", "c.example", "/", "s1", "r13")])) } });
    expect_that!(validate_change(&items, &call(&more)), ok(len(eq(1))));
}

#[gtest]
fn copies_that_saw_the_same_items_in_any_order_are_equal() {
    let mut all: Vec<ConfigItem> = call(&first());
    all.extend(call(
        &json!({ "upsert": { "route_set": routes(json!([route("r1", "a.example", "/x/", "s2", "r8")])) },
        "remove": { "route_set": [{ "label": "r2", "revision": "r9" }] } }),
    ));
    let mut rng = fastrand::Rng::with_seed(7);
    let fold = |order: &[ConfigItem]| {
        let mut items = ItemSet::default();
        for item in order.iter().chain(order) {
            items.merge(item.clone());
        }
        (items.digest(), items.to_json())
    };
    let told = fold(&all);
    for _ in 0..50 {
        rng.shuffle(&mut all);
        assert_that!(fold(&all), eq(&told));
    }
}

#[gtest]
fn what_is_read_back_can_be_sent_again_and_differs_in_nothing() {
    let items = held(&[first()]);
    let read = items.to_json();
    let again = call(&json!({ "upsert": read }));
    let mut copy = ItemSet::default();
    for item in again {
        copy.merge(item);
    }
    expect_that!(copy.digest(), eq(items.digest()));
    expect_that!(copy.to_json(), eq(&read));
    expect_that!(copy.body(ItemKind::Saturation, "").expect("held")["idle_cutoff"], eq(&json!("15000ms")));
}

#[gtest]
fn the_longest_prefix_of_a_host_has_a_request() {
    let view = ActiveConfig::from_item_set(&held(&[first()]));
    let label = |host, path| view.match_route(host, path).map(|r| r.label.to_string());
    expect_that!(label("a.example", "/x/y/z"), some(eq("r2")));
    expect_that!(label("A.example:8080", "/x/z"), some(eq("r1")));
    expect_that!(label("a.example", "/x"), none());
    expect_that!(label("b.example", "/x/"), none());
}

/// Guards gatekeepers, which keep parts and no items: they serve by the same as who folds the items.
#[gtest]
fn a_gatekeepers_copy_serves_by_what_stands() {
    let mut items = held(&[first()]);
    let mut copy = ConfigReplica::default();
    expect_that!(copy.apply_update(None, 3, items.iter().cloned().collect()), eq(ReplicaUpdate::Applied));
    expect_that!(
        ActiveConfig::from_active_items(copy.active_items()),
        eq(&ActiveConfig::from_item_set(&items))
    );
    let change = call(&json!({ "upsert": {
            "route_set": routes(json!([route("r1", "A.example", "/x/", "s2", "r8")])),
            "tenant_set": { "columns": ["label", "credentials", "rank", "revision"], "records": [["t1", ["k2", "k4"], 1, "r8"]] },
            "saturation": { "body_max_bytes": 9, "revision": "r8" } },
        "remove": { "route_set": [{ "label": "r2", "revision": "r9" }], "tenant_set": [{ "label": "t2", "revision": "r9" }] } }));
    expect_that!(copy.apply_update(Some(3), 5, change.clone()), eq(ReplicaUpdate::Applied));
    for item in change {
        items.merge(item);
    }
    let view = ActiveConfig::from_active_items(copy.active_items());
    expect_that!(view, eq(&ActiveConfig::from_item_set(&items)));
    expect_that!(view.tenant_by_credential("k1"), none());
    expect_that!(view.tenant_by_credential("k3"), none());
    expect_that!(&*view.tenant_by_credential("k4").expect("held").label, eq("t1"));
    expect_that!(view.client_limits.max_body_bytes, eq(9));
    expect_that!(view.match_route("a.example", "/x/y/").map(|r| &*r.label), some(eq("r1")));
    // What stands anew as a whole: nothing of before is left.
    expect_that!(copy.apply_update(None, 7, call(&first())), eq(ReplicaUpdate::Applied));
    expect_that!(
        ActiveConfig::from_active_items(copy.active_items()),
        eq(&ActiveConfig::from_item_set(&held(&[first()])))
    );
}

/// Guards the memory of gatekeepers, which hold tens of thousands of these.
#[gtest]
fn a_part_is_small() {
    expect_that!(size_of::<ActiveItem>(), le(40));
    expect_that!(size_of::<super::active_config::Tenant>(), le(56));
}
