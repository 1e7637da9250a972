//! Typed access to the records of a settings file: types, defaults, ranges and enumerations. Every error is
//! reported with position and field. A field that no reader asked for is an error, too, because it is most
//! likely a typo.

use super::error::ErrorList;
use super::grammar::{Field, Node, Pos, Value};
use super::resolve::join;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

/// Lower and upper bound of a number, both inclusive. Converts from `low..=high` and from `(low, high)`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range<T> {
    /// Lower bound.
    pub min: T,
    /// Upper bound.
    pub max: T,
}

impl<T> From<(T, T)> for Range<T> {
    fn from((min, max): (T, T)) -> Self {
        Range { min, max }
    }
}

impl<T> From<RangeInclusive<T>> for Range<T> {
    fn from(range: RangeInclusive<T>) -> Self {
        Range::from(range.into_inner())
    }
}

/// Reads the fields of one record. Each read marks its field as known; [`Reader::finish`] reports the rest.
///
/// Reads do not fail: on an error they report it to the [`ErrorList`] and return the default, so that one pass over a
/// file finds all of its errors.
pub struct Reader<'a> {
    fields: &'a [Field],
    at: Pos,
    path: String,
    errors: &'a ErrorList,
    known: RefCell<BTreeSet<String>>,
}

impl<'a> Reader<'a> {
    /// A reader of `node`, the value of the field `path`. `None`, with an error, if it is no record.
    pub fn new(node: &'a Node, path: &str, errors: &'a ErrorList) -> Option<Self> {
        match &node.value {
            Value::Record(fields) => Some(Reader {
                fields,
                at: node.at,
                path: path.to_string(),
                errors,
                known: RefCell::default(),
            }),
            other => {
                errors.push(node.at, path, format!("must be a record, not {}", other.kind()));
                None
            }
        }
    }

    /// The position of this record.
    pub fn at(&self) -> Pos {
        self.at
    }

    /// The path of a field of this record, from the top of the file.
    pub fn path(&self, name: &str) -> String {
        join(&self.path, name)
    }

    /// The value of a field, if it is given and not null.
    pub fn node(&self, name: &str) -> Option<&'a Node> {
        self.known.borrow_mut().insert(name.to_string());
        self.fields.iter().find(|f| f.label == name).map(|f| &f.node).filter(|n| n.value != Value::Null)
    }

    /// Reports an error about the value `node` of a field.
    pub fn error(&self, node: &Node, name: &str, message: impl Into<String>) {
        self.error_at(node.at, name, message);
    }

    /// Reports an error about a field, at a position.
    pub fn error_at(&self, at: Pos, name: &str, message: impl Into<String>) {
        self.errors.push(at, &self.path(name), message);
    }

    /// Reports that a required field is missing or empty.
    pub fn missing(&self, name: &str) {
        self.error_at(self.at, name, "required field is missing");
    }

    /// Reports an error about this record as a whole, such as one under a label that it must not have.
    pub fn refuse(&self, message: impl Into<String>) {
        self.errors.push(self.at, &self.path, message);
    }

    fn wrong_type(&self, node: &Node, name: &str, expected: &str) {
        self.error(node, name, format!("must be {expected}, not {}", node.value.kind()));
    }

    /// A number within `range`, or the default.
    pub fn number(&self, name: &str, default: f64, range: impl Into<Range<f64>>) -> f64 {
        let Some(node) = self.node(name) else { return default };
        let Range { min, max } = range.into();
        match node.value {
            Value::Number(x) if x >= min && x <= max => x,
            Value::Number(x) => {
                self.error(node, name, format!("{x} is out of range: {min} to {max}"));
                default
            }
            _ => {
                self.wrong_type(node, name, "a number");
                default
            }
        }
    }

    /// A duration, given in seconds within `range`, or the default, also in seconds. Neither may be negative.
    pub fn seconds(&self, name: &str, default_secs: f64, range_secs: impl Into<Range<f64>>) -> Duration {
        Duration::from_secs_f64(self.number(name, default_secs, range_secs))
    }

    /// An integer within `range`, or the default.
    pub fn integer(&self, name: &str, default: u32, range: impl Into<Range<u32>>) -> u32 {
        let Range { min, max } = range.into();
        let x = self.number(name, f64::from(default), f64::from(min)..=f64::from(max));
        if x.fract() != 0.0 {
            if let Some(node) = self.node(name) {
                self.error(node, name, format!("{x} must be an integer"));
            }
            return default;
        }
        x as u32
    }

    /// A boolean, or the default.
    pub fn flag(&self, name: &str, default: bool) -> bool {
        match self.node(name) {
            None => default,
            Some(Node { value: Value::Bool(b), .. }) => *b,
            Some(node) => {
                self.wrong_type(node, name, "true or false");
                default
            }
        }
    }

    /// A string, if given.
    pub fn text(&self, name: &str) -> Option<String> {
        match self.node(name)? {
            Node { value: Value::Text(t), .. } => Some(t.clone()),
            node => {
                self.wrong_type(node, name, "a text");
                None
            }
        }
    }

    /// The value of one of a fixed set of words, or the default.
    pub fn choice<T: Copy>(&self, name: &str, default: T, choices: &[(&str, T)]) -> T {
        let Some(node) = self.node(name) else { return default };
        let Value::Text(word) = &node.value else {
            self.wrong_type(node, name, "a text");
            return default;
        };
        match choices.iter().find(|c| c.0 == word) {
            Some(c) => c.1,
            None => {
                let names: Vec<String> = choices.iter().map(|c| format!("\"{}\"", c.0)).collect();
                self.error(node, name, format!("\"{word}\" is invalid: must be one of {}", names.join(", ")));
                default
            }
        }
    }

    /// The items of a list; none if it is not given.
    pub fn list(&self, name: &str) -> &'a [Node] {
        match self.node(name) {
            None => &[],
            Some(Node { value: Value::List(items), .. }) => items,
            Some(node) => {
                self.wrong_type(node, name, "a list");
                &[]
            }
        }
    }

    /// The strings of a list, with their positions. Items of other types are reported and left out.
    pub fn texts(&self, name: &str) -> Vec<(String, Pos)> {
        let mut out = Vec::new();
        for (n, item) in self.list(name).iter().enumerate() {
            match &item.value {
                Value::Text(t) => out.push((t.clone(), item.at)),
                other => self.errors.push(
                    item.at,
                    &format!("{}[{n}]", self.path(name)),
                    format!("must be a text, not {}", other.kind()),
                ),
            }
        }
        out
    }

    /// The strings of a list, parsed, with their positions. Those that do not parse are reported as no `expected`
    /// and left out.
    pub fn parsed_texts<T: FromStr>(&self, name: &str, expected: impl Display) -> Vec<(T, Pos)> {
        let mut out = Vec::new();
        for (text, at) in self.texts(name) {
            match text.parse() {
                Ok(parsed) => out.push((parsed, at)),
                Err(_) => self.error_at(at, name, format!("\"{text}\" is not a valid {expected}")),
            }
        }
        out
    }

    /// A reader of a nested record, if given.
    pub fn record(&self, name: &str) -> Option<Reader<'a>> {
        let node = self.node(name)?;
        Reader::new(node, &self.path(name), self.errors)
    }

    /// Readers of all nested records, by label, where the operators choose the labels (`hall: { a: {...} }`). All of
    /// them count as known.
    pub fn entries(&self) -> impl Iterator<Item = (&'a str, Reader<'a>)> + '_ {
        self.fields.iter().filter_map(move |f| {
            self.known.borrow_mut().insert(f.label.clone());
            Reader::new(&f.node, &self.path(&f.label), self.errors).map(|r| (f.label.as_str(), r))
        })
    }

    /// Reports every field that was not read.
    pub fn finish(self) {
        let known = self.known.borrow();
        for f in self.fields.iter().filter(|f| !known.contains(&f.label)) {
            self.errors.push(f.at, &self.path(&f.label), "unknown field");
        }
    }
}

#[cfg(test)]
#[path = "reader_tests.rs"]
mod tests;
