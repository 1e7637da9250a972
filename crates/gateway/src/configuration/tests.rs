//! Which requests of operators are accepted, what is rejected, and the view and the replica at edge nodes.

use super::active_config::ActiveItem;
use super::change::{find_violations, validate_change, ChangeError};
use super::replica::{ConfigReplica, ReplicaUpdate};
use super::state::ConfigStateError;
use super::{parse_change, ActiveConfig, ConfigItem, ItemKind, ItemSet};
use googletest::prelude::*;
use serde_json::{json, Value};

fn parse(body: &Value) -> Vec<ConfigItem> {
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

fn first_change() -> Value {
    json!({ "upsert": {
        "route_set": routes(json!([route("r1", "a.example", "/x/", "s1", "r7"), route("r2", "a.example", "/x/y/", "s2", "r7")])),
        "tenant_set": { "columns": ["label", "credentials", "rate_per_s", "burst_size", "revision"],
            "records": [["t1", ["k1", "k2"], 10, 10, "r7"], ["t2", ["k3"], null, null, "r7"]] },
        "service_set": { "columns": ["label", "probe_path", "conn_limit", "revision"],
            "records": [["s1", "/health", 130, "r7"], ["s2", "/health", 130, "r7"]] },
        "saturation": { "header_max_bytes": 16384, "idle_cutoff": "15000ms", "revision": "r7" },
    }, "remove": { "route_set": [] } })
}

fn item_set(calls: &[Value]) -> ItemSet {
    let mut items = ItemSet::default();
    for body in calls {
        for item in validate_change(&items, &parse(body)).expect("valid") {
            items.merge(item);
        }
    }
    items
}

/// Every kind of request that PROTOCOL calls invalid is rejected, with a message that names the place.
#[gtest]
fn every_kind_of_invalid_change_is_rejected() {
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
    let items = item_set(&[first_change()]);
    for (what, body) in cases {
        let judged =
            parse_change(body.to_string().as_bytes()).and_then(|change| validate_change(&items, &change));
        let error = judged.expect_err(what).to_string();
        expect_that!(error, contains_substring(what), "{body}");
    }
    let whole = first_change().to_string();
    for end in 1..whole.len() {
        expect_that!(parse_change(&whole.as_bytes()[..end]), err(anything()));
    }
    let ragged =
        json!({ "upsert": { "tenant_set": { "columns": ["label", "revision"], "records": [["t9"]] } } });
    expect_that!(parse_change(ragged.to_string().as_bytes()), err(anything()));
}

/// A name that occurs twice would be ignored silently once, and yet acknowledged.
#[gtest]
fn duplicate_names_are_rejected() {
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
    // Everything else that JSON can express is read.
    let all = r#"{"a":[null,true,false,0,-1,18446744073709551615,-9223372036854775808,1.5,1e300,"x\u00e4\n",{},[]]}"#;
    let strict = crate::json_path::parse(all.as_bytes()).expect("JSON");
    expect_that!(strict, eq(&serde_json::from_str::<Value>(all).expect("JSON")));
}

/// Valid: a credential or service that moves within one change, and a change that arrives again.
#[gtest]
fn valid_changes_are_accepted() {
    let mut items = item_set(&[first_change()]);
    let moved = json!({ "upsert": { "tenant_set": { "columns": ["label", "credentials", "revision"],
        "records": [["t2", ["k3", "k1"], "r9"], ["t1", ["k2"], "r9"]] } } });
    let both = json!({ "upsert": { "route_set": routes(json!([route("r3", "b.example", "/", "s3", "r9")])),
        "service_set": { "columns": ["label", "revision"], "records": [["s3", "r9"]] } } });
    for body in [&moved, &both] {
        for item in validate_change(&items, &parse(body)).expect("valid") {
            items.merge(item);
        }
    }
    // The first change again has no effect, though its t1 and t2 would share a credential with the current ones.
    expect_that!(validate_change(&items, &parse(&first_change())), ok(is_empty()));
    // A service that a route names can't be removed alone, but together with the route.
    let alone = json!({ "remove": { "service_set": [{ "label": "s3", "revision": "r10" }] } });
    expect_that!(validate_change(&items, &parse(&alone)), err(anything()));
    let with = json!({ "remove": { "service_set": [{ "label": "s3", "revision": "r10" }],
        "route_set": [{ "label": "r3", "revision": "r10" }] } });
    expect_that!(validate_change(&items, &parse(&with)), ok(len(eq(2))));
}

/// Two operators gave one credential to two tenants at once; later changes must not be rejected for that.
#[gtest]
fn existing_violation_does_not_block_other_changes() {
    let mut items = item_set(&[first_change()]);
    let key = |tenant: &str, revision: &str| {
        json!({ "upsert": { "tenant_set": { "columns": ["label", "credentials", "revision"],
            "records": [[tenant, ["k9"], revision]] } } })
    };
    let (one, other) = (parse(&key("t1", "r11")), parse(&key("t2", "r12")));
    expect_that!(validate_change(&items, &one), ok(anything()));
    expect_that!(validate_change(&items, &other), ok(anything()));
    for item in one.into_iter().chain(other) {
        items.merge(item);
    }
    expect_that!(find_violations(&items), len(eq(1)));
    // The newer version gets the credential, and other changes are accepted.
    expect_that!(
        &*ActiveConfig::from_item_set(&items).tenant_by_credential("k9").expect("there").label,
        eq("t2")
    );
    let more =
        json!({ "upsert": { "route_set": routes(json!([route("r4", "c.example", "/", "s1", "r13")])) } });
    expect_that!(validate_change(&items, &parse(&more)), ok(len(eq(1))));
}

#[gtest]
fn merging_is_independent_of_order() {
    let mut all: Vec<ConfigItem> = parse(&first_change());
    all.extend(parse(
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
fn rendered_configuration_can_be_sent_again_unchanged() {
    let items = item_set(&[first_change()]);
    let read = items.to_json();
    let again = parse(&json!({ "upsert": read }));
    let mut replica = ItemSet::default();
    for item in again {
        replica.merge(item);
    }
    expect_that!(replica.digest(), eq(items.digest()));
    expect_that!(replica.to_json(), eq(&read));
    expect_that!(
        replica.body(ItemKind::Saturation, "").expect("there")["idle_cutoff"],
        eq(&json!("15000ms"))
    );
}

#[gtest]
fn longest_matching_prefix_wins() {
    let view = ActiveConfig::from_item_set(&item_set(&[first_change()]));
    let label = |host, path| view.match_route(host, path).map(|r| r.label.to_string());
    expect_that!(label("a.example", "/x/y/z"), some(eq("r2")));
    expect_that!(label("A.example:8080", "/x/z"), some(eq("r1")));
    expect_that!(label("a.example", "/x"), none());
    expect_that!(label("b.example", "/x/"), none());
}

/// The replica, which has no items, gives the same view as the items.
#[gtest]
fn replica_serves_the_active_items() {
    let mut items = item_set(&[first_change()]);
    let mut replica = ConfigReplica::default();
    expect_that!(replica.apply_update(None, 3, items.iter().cloned().collect()), eq(ReplicaUpdate::Applied));
    expect_that!(
        ActiveConfig::from_active_items(replica.active_items()),
        eq(&ActiveConfig::from_item_set(&items))
    );
    let change = parse(&json!({ "upsert": {
            "route_set": routes(json!([route("r1", "A.example", "/x/", "s2", "r8")])),
            "tenant_set": { "columns": ["label", "credentials", "rank", "revision"], "records": [["t1", ["k2", "k4"], 1, "r8"]] },
            "saturation": { "body_max_bytes": 9, "revision": "r8" } },
        "remove": { "route_set": [{ "label": "r2", "revision": "r9" }], "tenant_set": [{ "label": "t2", "revision": "r9" }] } }));
    expect_that!(replica.apply_update(Some(3), 5, change.clone()), eq(ReplicaUpdate::Applied));
    for item in change {
        items.merge(item);
    }
    let view = ActiveConfig::from_active_items(replica.active_items());
    expect_that!(view, eq(&ActiveConfig::from_item_set(&items)));
    expect_that!(view.tenant_by_credential("k1"), none());
    expect_that!(view.tenant_by_credential("k3"), none());
    expect_that!(&*view.tenant_by_credential("k4").expect("there").label, eq("t1"));
    expect_that!(view.client_limits.max_body_bytes, eq(9));
    expect_that!(view.match_route("a.example", "/x/y/").map(|r| &*r.label), some(eq("r1")));
    // A full update: nothing of before is left.
    expect_that!(replica.apply_update(None, 7, parse(&first_change())), eq(ReplicaUpdate::Applied));
    expect_that!(
        ActiveConfig::from_active_items(replica.active_items()),
        eq(&ActiveConfig::from_item_set(&item_set(&[first_change()])))
    );
}

/// Edge nodes have tens of thousands of these in memory.
#[gtest]
fn active_items_are_small() {
    expect_that!(size_of::<ActiveItem>(), le(40));
    expect_that!(size_of::<super::active_config::Tenant>(), le(56));
}

/// Operators get these texts over HTTP and in logs.
#[gtest]
fn error_texts_are_pinned() {
    let (path, column) = ("$.upsert".to_string(), "label".to_string());
    let duplicate = ChangeError::DuplicateColumn { path: path.clone(), column };
    expect_that!(duplicate.to_string(), eq("$.upsert: the column label comes twice"));
    let length = ChangeError::RecordLengthMismatch { path: path.clone(), values: 1, columns: 2 };
    expect_that!(length.to_string(), eq("$.upsert: 1 values for 2 columns"));
    let unknown = ChangeError::UnknownService { route: "r1".into(), service: "s1".into() };
    expect_that!(unknown.to_string(), eq("route r1 names the unknown service s1"));
    let mismatch = ChangeError::VersionContentMismatch { set: "tenant_set", label: "t1".into(), version: 7 };
    expect_that!(mismatch.to_string(), eq(r#"tenant_set "t1": r7 has another content"#));
    let shared = ChangeError::SharedCredential("t1".into(), "t2".into());
    expect_that!(shared.to_string(), eq("tenants t1 and t2 share a key"));
    expect_that!(
        [
            ChangeError::UnknownList(path.clone()),
            ChangeError::MissingService(path.clone()),
            ChangeError::ZeroTotalGain(path.clone()),
            ChangeError::DurationTooLong(path.clone()),
            ChangeError::UnknownRouteClass(path.clone()),
            ChangeError::InvalidPathPrefix(path),
        ]
        .map(|e| e.to_string()),
        elements_are![
            eq("$.upsert: unknown list"),
            eq("$.upsert: neither a service nor a mixture"),
            eq("$.upsert: gains add up to 0"),
            eq("$.upsert: over ten minutes"),
            eq("$.upsert: neither idempotent nor effectful"),
            eq("$.upsert: does not begin and end with a slash"),
        ]
    );
    let inconsistent = ConfigStateError::Inconsistent { set: "tenant_set", label: "t1".into() };
    expect_that!(
        [
            ConfigStateError::Empty,
            ConfigStateError::Format(9),
            ConfigStateError::Unreadable("why".into()),
            ConfigStateError::UnexpectedRecordCount,
            ConfigStateError::MissingRecords(3),
            ConfigStateError::Surplus(4),
            inconsistent,
        ]
        .map(|e| e.to_string()),
        elements_are![
            eq("an encoded state is empty"),
            eq("an encoded state of the unknown format 9"),
            eq("an encoded state can't be read: why"),
            eq("an encoded state can't be read: an odd frame"),
            eq("an encoded state can't be read: 3 records are missing"),
            eq("an encoded state is followed by 4 more bytes"),
            eq(r#"an encoded state contradicts itself at tenant_set "t1""#),
        ]
    );
}
