//! Tests of typed access and of references.

use super::super::{grammar::parse, resolve, ConfigError};
use super::*;

fn read(text: &str) -> (f64, String, Vec<ConfigError>) {
    let tree = match resolve(&parse(text).unwrap()) {
        Ok(t) => t,
        Err(e) => return (0.0, String::new(), e),
    };
    let errors = ErrorList::default();
    let r = Reader::new(&tree, "", &errors).unwrap();
    let x = r.number("x", 1.0, 0.0..=10.0);
    let mode = r.choice("mode", "zone", &[("zone", "zone"), ("networks", "networks")]).to_string();
    r.finish();
    (x, mode, errors.into_sorted())
}

#[test]
fn wrong_types_ranges_choices_and_unknown_fields_are_reported() {
    assert_eq!(read("").0, 1.0, "the default");
    assert_eq!(read("x: 3\nmode: \"networks\"").1, "networks");
    let (x, _, errors) = read("x: 11\nmode: \"zones\"\ny: 1\n");
    assert_eq!(x, 1.0);
    let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
    assert_eq!(messages.len(), 3, "{messages:?}");
    assert!(messages[0].starts_with("1:4: x: 11 is out of range"), "{}", messages[0]);
    assert!(
        messages[1].starts_with("2:7: mode: \"zones\" is invalid: must be one of \"zone\", \"networks\""),
        "{}",
        messages[1]
    );
    assert!(messages[2].starts_with("3:1: y: unknown field"), "{}", messages[2]);
    let (_, _, errors) = read("x: \"3\"");
    assert!(errors[0].message.contains("must be a number, not text"));
}

#[test]
fn references_are_resolved_and_circular_ones_reported() {
    assert_eq!(read("base: {n: 4}\nx: base.n").0, 4.0);
    let (_, _, errors) = read("x: nowhere.y");
    assert!(errors[0].message.contains("has no field `nowhere.y`"), "{errors:?}");
    let (_, _, errors) = read("a: b\nb: a\nx: a");
    assert!(errors.iter().all(|e| e.message.contains("circular reference")), "{errors:?}");
}
