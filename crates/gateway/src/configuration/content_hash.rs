//! Owns when two items say the same: a hash of what their fields mean, however they are spelled. What it gives is kept
//! on disks and compared by members of other builds, so it must never change, nor depend on the order in which fields
//! were sent.

use crate::json_path;
use serde_json::{Map, Number, Value};
use std::fmt::Write;

/// Integers up to this are held exactly by a JSON number with a fraction, too.
const EXACT: f64 = 9_007_199_254_740_992.0;

/// The hash of an item's meaning: times, versions and hosts in one spelling, keys and services in one order, what is
/// left out for what it stands for.
pub fn semantic_hash(body: Option<&Map<String, Value>>) -> u64 {
    verbatim_hash(body.map(meaning).as_ref())
}

fn meaning(body: &Map<String, Value>) -> Map<String, Value> {
    let mut told: Map<String, Value> = body
        .iter()
        .filter(|(name, value)| !value.is_null() && !is_no_limit(name, value))
        .map(|(name, value)| (name.clone(), field(name, value)))
        .collect();
    if told.contains_key("route_class") {
        told.entry("unkeyed").or_insert(Value::Bool(false));
    }
    told
}

/// A limit of 0 is none, as if it were left out.
fn is_no_limit(name: &str, value: &Value) -> bool {
    matches!(name, "rate_per_s" | "burst_size") && value.as_f64() == Some(0.0)
}

/// One field in its one spelling; what can't be read is left as it is.
fn field(name: &str, value: &Value) -> Value {
    let text = value.as_str();
    let spelled = match (name, text, value) {
        ("cutoff" | "target" | "header_deadline" | "idle_cutoff", Some(text), _) => {
            json_path::parse_duration(text).map(|time| {
                let whole = time.as_nanos() % 1_000_000 == 0;
                let told = if whole { (time.as_millis(), "ms") } else { (time.as_nanos(), "ns") };
                Value::String(format!("{}{}", told.0, told.1))
            })
        }
        ("revision", Some(text), _) => json_path::parse_version(text).map(|n| Value::String(format!("r{n}"))),
        ("hostname", Some(text), _) => Some(Value::String(text.to_ascii_lowercase())),
        ("credentials", _, Value::Array(keys)) => {
            let mut keys: Vec<&str> = keys.iter().filter_map(Value::as_str).collect();
            keys.sort_unstable();
            keys.dedup();
            Some(keys.into())
        }
        ("mixture", _, Value::Array(parts)) => {
            let told = |part: &Value| {
                let mut part = part.clone();
                part.as_object_mut().into_iter().for_each(|p| p.retain(|_, value| !value.is_null()));
                let mut text = String::new();
                canonical(&mut text, &part);
                (text, part)
            };
            let mut parts: Vec<(String, Value)> = parts.iter().map(told).collect();
            parts.sort_by(|a, b| a.0.cmp(&b.0));
            Some(parts.into_iter().map(|p| p.1).collect())
        }
        _ => None,
    };
    spelled.unwrap_or_else(|| value.clone())
}

/// FNV-1a (64 bits) of the canonical form. All dropped items (`None`) are the same. A field that is null is left out,
/// as in a record; numbers are compared by value (`1` and `1.0` are the same).
pub fn verbatim_hash(body: Option<&Map<String, Value>>) -> u64 {
    let mut text = String::new();
    match body {
        None => text.push_str("dropped"),
        Some(body) => fields(&mut text, body.iter().filter(|(_, value)| !value.is_null())),
    }
    whinstall::identifiers::fnv1a(&text)
}

fn put(text: &mut String, part: std::fmt::Arguments) {
    // Writing to a string can't fail.
    let _ = text.write_fmt(part);
}

fn fields<'a>(text: &mut String, fields: impl Iterator<Item = (&'a String, &'a Value)>) {
    let mut fields: Vec<_> = fields.collect();
    fields.sort_by_key(|(name, _)| *name);
    put(text, format_args!("{{{}", fields.len()));
    for (name, value) in fields {
        put(text, format_args!("\"{}:{name}", name.len()));
        canonical(text, value);
    }
}

/// Unambiguous: every text and every list is told with its length.
fn canonical(text: &mut String, value: &Value) {
    match value {
        Value::Null => text.push('n'),
        Value::Bool(truth) => text.push(if *truth { 't' } else { 'f' }),
        Value::Number(n) => number(text, n),
        Value::String(s) => put(text, format_args!("\"{}:{s}", s.len())),
        Value::Array(list) => {
            put(text, format_args!("[{}", list.len()));
            list.iter().for_each(|value| canonical(text, value));
        }
        Value::Object(object) => fields(text, object.iter()),
    }
}

fn number(text: &mut String, n: &Number) {
    let whole = |x: &f64| x.fract() == 0.0 && x.abs() <= EXACT;
    match (n.as_i64(), n.as_u64(), n.as_f64()) {
        (Some(n), ..) => put(text, format_args!("#{n};")),
        (_, Some(n), _) => put(text, format_args!("#{n};")),
        (.., Some(x)) if whole(&x) => put(text, format_args!("#{};", x as i64)),
        (.., x) => put(text, format_args!("~{:x};", x.unwrap_or_default().to_bits())),
    }
}
