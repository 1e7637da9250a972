//! Tests of the parser.

use super::*;

fn record(node: &Node) -> &[Field] {
    match &node.value {
        Value::Record(f) => f,
        other => panic!("a record, not {other:?}"),
    }
}

#[test]
fn records_lists_and_references_are_parsed() {
    let text = "// top\na: 1\nb: { c: \"x\\ty\", d: [1, -2.5e1, true, null] }\ne: f: g: b.c\n\"h-i\": []\n";
    let top = parse(text).expect("valid");
    let f = record(&top);
    assert_eq!(f.iter().map(|f| f.label.as_str()).collect::<Vec<_>>(), ["a", "b", "e", "h-i"]);
    assert_eq!(f[0].node.value, Value::Number(1.0));
    let b = record(&f[1].node);
    assert_eq!(b[0].node.value, Value::Text("x\ty".into()));
    assert_eq!(b[1].node.at, Pos { line: 3, column: 20 });
    let Value::List(items) = &b[1].node.value else { panic!() };
    assert_eq!(items[1].value, Value::Number(-25.0));
    let g = record(&record(&f[2].node)[0].node);
    assert_eq!(g[0].node.value, Value::Reference(vec!["b".into(), "c".into()]));
}

#[test]
fn syntax_errors_have_line_and_column() {
    let e = parse("a: 1\nb: {\n  c: 2\n  d 3\n}\n").unwrap_err();
    assert_eq!(e.at, Pos { line: 4, column: 5 });
    assert!(e.message.contains("`:`"), "{}", e.message);
    let e = parse("a: 1 b: 2").unwrap_err();
    assert_eq!(e.at.line, 1);
    assert!(e.message.contains("new line"), "{}", e.message);
    let e = parse("a: 1\na: 2\n").unwrap_err();
    assert!(e.message.contains("twice"), "{}", e.message);
    let e = parse("a: \"open\n").unwrap_err();
    assert!(e.message.contains("end the text"), "{}", e.message);
    assert!(parse("a: [1, 2").is_err());
    assert!(parse("a: 1e999").is_err(), "not finite");
}

#[test]
fn blank_and_comment_files_are_empty_records() {
    assert_eq!(record(&parse("").unwrap()).len(), 0);
    assert_eq!(record(&parse("  // nothing\n\n").unwrap()).len(), 0);
    let trailing = parse("a: [1, 2,]\nb: {x: 1,}\n").unwrap();
    assert_eq!(record(&trailing).len(), 2);
}
