//! Hashes that decide whether two versions of an item have the same content. They are stored on disks and compared by
//! nodes of other builds, so they must never change, and they don't depend on the order in which fields were sent.

use crate::json_path;
use serde_json::{Map, Number, Value};
use std::fmt::Write;
use std::time::Duration;

/// 2^53: a 64-bit float represents integers up to this exactly.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

const NANOS_PER_MS: u128 = 1_000_000;

/// Hash of what an item's fields mean, after normalization: durations, versions and hostnames in one spelling,
/// credentials and services in one order, defaults as if they were given. `None`: a removed item.
pub fn semantic_hash(body: Option<&Map<String, Value>>) -> u64 {
    verbatim_hash(body.map(normalize).as_ref())
}

fn normalize(body: &Map<String, Value>) -> Map<String, Value> {
    let mut normalized: Map<String, Value> = body
        .iter()
        .filter(|(name, value)| !value.is_null() && !is_no_limit(name, value))
        .map(|(name, value)| (name.clone(), normalize_field(name, value)))
        .collect();
    if normalized.contains_key("route_class") {
        normalized.entry("unkeyed").or_insert(Value::Bool(false));
    }
    normalized
}

/// A limit of 0 means no limit, as if it were left out.
fn is_no_limit(name: &str, value: &Value) -> bool {
    matches!(name, "rate_per_s" | "burst_size") && value.as_f64() == Some(0.0)
}

/// A field in its normalized spelling; what can't be read stays as it is.
fn normalize_field(name: &str, value: &Value) -> Value {
    let text = value.as_str();
    let normalized = match (name, text, value) {
        ("cutoff" | "target" | "header_deadline" | "idle_cutoff", Some(text), _) => {
            json_path::parse_duration(text).map(normalize_duration)
        }
        ("revision", Some(text), _) => json_path::parse_version(text).map(|n| Value::String(format!("r{n}"))),
        ("hostname", Some(text), _) => Some(Value::String(text.to_ascii_lowercase())),
        ("credentials", _, Value::Array(keys)) => {
            let mut keys: Vec<&str> = keys.iter().filter_map(Value::as_str).collect();
            keys.sort_unstable();
            keys.dedup();
            Some(keys.into())
        }
        ("mixture", _, Value::Array(shares)) => Some(normalize_mixture(shares)),
        _ => None,
    };
    normalized.unwrap_or_else(|| value.clone())
}

/// In milliseconds, or in nanoseconds where those are no integer.
fn normalize_duration(duration: Duration) -> Value {
    let is_whole_ms = duration.as_nanos().is_multiple_of(NANOS_PER_MS);
    Value::String(match is_whole_ms {
        true => format!("{}ms", duration.as_millis()),
        false => format!("{}ns", duration.as_nanos()),
    })
}

/// The shares of a mixture, without nulls, sorted by their canonical form.
fn normalize_mixture(shares: &[Value]) -> Value {
    let with_sort_key = |share: &Value| {
        let mut share = share.clone();
        share.as_object_mut().into_iter().for_each(|s| s.retain(|_, value| !value.is_null()));
        let mut text = String::new();
        canonical_value(&mut text, &share);
        (text, share)
    };
    let mut shares: Vec<(String, Value)> = shares.iter().map(with_sort_key).collect();
    shares.sort_by(|a, b| a.0.cmp(&b.0));
    shares.into_iter().map(|(_, share)| share).collect()
}

/// FNV-1a (64 bits) of the fields as they were sent, in canonical form. All removed items (`None`) have one hash. A
/// field that is null counts as left out, as in a record; numbers are compared by value (`1` and `1.0` are the same).
/// Disks of earlier builds have this hash in place of [`semantic_hash`].
pub fn verbatim_hash(body: Option<&Map<String, Value>>) -> u64 {
    let mut text = String::new();
    match body {
        None => text.push_str("dropped"),
        Some(body) => canonical_fields(&mut text, body.iter().filter(|(_, value)| !value.is_null())),
    }
    whinstall::identifiers::fnv1a(&text)
}

fn append(text: &mut String, part: std::fmt::Arguments) {
    // Writing to a string can't fail.
    let _ = text.write_fmt(part);
}

fn canonical_fields<'a>(text: &mut String, fields: impl Iterator<Item = (&'a String, &'a Value)>) {
    let mut fields: Vec<_> = fields.collect();
    fields.sort_by_key(|(name, _)| *name);
    append(text, format_args!("{{{}", fields.len()));
    for (name, value) in fields {
        append(text, format_args!("\"{}:{name}", name.len()));
        canonical_value(text, value);
    }
}

/// Appends the canonical form of a value. Unambiguous: every text and every list has its length before it.
fn canonical_value(text: &mut String, value: &Value) {
    match value {
        Value::Null => text.push('n'),
        Value::Bool(truth) => text.push(if *truth { 't' } else { 'f' }),
        Value::Number(n) => canonical_number(text, n),
        Value::String(s) => append(text, format_args!("\"{}:{s}", s.len())),
        Value::Array(list) => {
            append(text, format_args!("[{}", list.len()));
            list.iter().for_each(|value| canonical_value(text, value));
        }
        Value::Object(object) => canonical_fields(text, object.iter()),
    }
}

fn canonical_number(text: &mut String, n: &Number) {
    let is_integer = |x: &f64| x.fract() == 0.0 && x.abs() <= MAX_EXACT_INTEGER;
    match (n.as_i64(), n.as_u64(), n.as_f64()) {
        (Some(n), ..) => append(text, format_args!("#{n};")),
        (_, Some(n), _) => append(text, format_args!("#{n};")),
        (.., Some(x)) if is_integer(&x) => append(text, format_args!("#{};", x as i64)),
        (.., x) => append(text, format_args!("~{:x};", x.unwrap_or_default().to_bits())),
    }
}
