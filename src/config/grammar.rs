//! The grammar of operators' settings files: a CUE-like text of records, read by `winnow` into a tree of
//! values that each know their line and column. It owns the syntax only; it must never know what a field
//! means, which fields exist or what range a number may take (that is `check.rs`).
//!
//! The form:
//!
//! ```text
//! // a comment runs to the end of the line
//! halls: {
//!     "hall-a": { zone: "hall-a", weight: 2 }
//!     spill: target: 0.8          // `a: b: v` is `a: { b: v }`
//!     hold: [1, 2.5, 4]
//!     own: halls.default          // a reference to another field, by its path
//! }
//! ```
//!
//! Fields are separated by commas or line ends; the file itself is a record without braces. A label appears
//! once in its record.

use winnow::ascii::{digit1, multispace1};
use winnow::combinator::{alt, cut_err, delimited, opt, preceded, repeat};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{any, none_of, one_of, take_till, take_while};

/// Where something stands in the text, both from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct Pos {
    /// Its line.
    pub line: u32,
    /// Its column, in characters.
    pub column: u32,
}

impl std::fmt::Display for Pos {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// A value where it was written.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// What it is.
    pub value: Value,
    /// Where it starts.
    pub at: Pos,
}

/// A field of a record.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// Its label.
    pub label: String,
    /// Where the label stands.
    pub at: Pos,
    /// Its value.
    pub node: Node,
}

/// The values of the language.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Text in double quotes.
    Text(String),
    /// A number; always finite.
    Number(f64),
    /// `true` or `false`.
    Bool(bool),
    /// `null`: the field is given and empty.
    Null,
    /// `[a, b]`.
    List(Vec<Node>),
    /// `{ a: 1 }`, labels in the order written.
    Record(Vec<Field>),
    /// A path to another field, as `halls.a.weight`; resolved before any check.
    Reference(Vec<String>),
}

impl Value {
    /// The name of its kind, for messages.
    pub fn kind(&self) -> &'static str {
        match self {
            Value::Text(_) => "text",
            Value::Number(_) => "number",
            Value::Bool(_) => "bool",
            Value::Null => "null",
            Value::List(_) => "list",
            Value::Record(_) => "record",
            Value::Reference(_) => "reference",
        }
    }
}

/// A text that is no settings file, with where and why.
#[derive(Clone, Debug, PartialEq)]
pub struct SyntaxError {
    /// Where it stops making sense.
    pub at: Pos,
    /// What was wanted there.
    pub message: String,
}

type In<'a> = LocatingSlice<&'a str>;

/// Reads a whole file: a record without braces.
pub fn parse(text: &str) -> Result<Node, SyntaxError> {
    let lines = Lines::new(text);
    let mut input = LocatingSlice::new(text);
    let result = (gap, |i: &mut In<'_>| fields(i, &lines, None), gap).parse_next(&mut input);
    let done = input.is_empty();
    match result {
        Ok((_, fields, _)) if done => {
            Ok(Node { value: Value::Record(fields), at: Pos { line: 1, column: 1 } })
        }
        Ok(_) => Err(SyntaxError {
            at: lines.pos(input.current_token_start()),
            message: "expected a field".into(),
        }),
        Err(e) => {
            let e = e.into_inner().unwrap_or_else(|_| ContextError::new());
            let message = describe(&e);
            Err(SyntaxError { at: lines.pos(input.current_token_start()), message })
        }
    }
}

/// What a winnow error says, in one line.
fn describe(e: &ContextError) -> String {
    let wanted: Vec<String> = e
        .context()
        .filter_map(|c| match c {
            StrContext::Expected(StrContextValue::Description(d)) => Some((*d).to_string()),
            StrContext::Expected(StrContextValue::CharLiteral(c)) => Some(format!("`{c}`")),
            StrContext::Expected(StrContextValue::StringLiteral(s)) => Some(format!("`{s}`")),
            StrContext::Label(l) => Some((*l).to_string()),
            _ => None,
        })
        .collect();
    match wanted.as_slice() {
        [] => "not understood".into(),
        [one] => format!("expected {one}"),
        many => format!("expected {}", many.join(" or ")),
    }
}

/// Offsets to lines and columns.
struct Lines {
    starts: Vec<usize>,
    text: String,
}

impl Lines {
    fn new(text: &str) -> Self {
        let starts = std::iter::once(0).chain(text.match_indices('\n').map(|(i, _)| i + 1)).collect();
        Lines { starts, text: text.to_string() }
    }

    fn pos(&self, offset: usize) -> Pos {
        let line = self.starts.partition_point(|&s| s <= offset).max(1);
        let start = self.starts[line - 1];
        let column = self.text.get(start..offset).map_or(1, |s| s.chars().count() + 1);
        Pos { line: line as u32, column: column as u32 }
    }
}

fn expect(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

/// Blanks and comments, line ends included.
fn gap(i: &mut In<'_>) -> ModalResult<()> {
    repeat(0.., alt((multispace1.void(), ("//", take_till(0.., '\n')).void()))).parse_next(i)
}

/// Blanks and comments on one line.
fn inline_gap(i: &mut In<'_>) -> ModalResult<()> {
    repeat(0.., alt((take_while(1.., [' ', '\t', '\r']).void(), ("//", take_till(0.., '\n')).void())))
        .parse_next(i)
}

fn identifier(i: &mut In<'_>) -> ModalResult<String> {
    (one_of(|c: char| c.is_ascii_alphabetic() || c == '_' || c == '#'), take_while(0.., is_word))
        .take()
        .map(str::to_string)
        .parse_next(i)
}

fn is_word(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '_' || c == '-'
}

fn text(i: &mut In<'_>) -> ModalResult<String> {
    let piece = alt((
        preceded(
            '\\',
            cut_err(alt(('n'.value('\n'), 't'.value('\t'), '"'.value('"'), '\\'.value('\\'))))
                .context(expect("an escape: \\n \\t \\\" \\\\")),
        ),
        none_of(['"', '\\', '\n']),
    ));
    delimited('"', repeat(0.., piece), cut_err('"').context(expect("`\"` to end the text"))).parse_next(i)
}

fn number(i: &mut In<'_>) -> ModalResult<f64> {
    let digits = (
        opt(one_of(['-', '+'])),
        digit1,
        opt(('.', digit1)),
        opt((one_of(['e', 'E']), opt(one_of(['-', '+'])), digit1)),
    );
    digits
        .take()
        .verify_map(|s: &str| s.parse::<f64>().ok().filter(|x| x.is_finite()))
        .context(expect("a number"))
        .parse_next(i)
}

fn label(i: &mut In<'_>) -> ModalResult<String> {
    alt((text, identifier)).context(expect("a label")).parse_next(i)
}

fn value(i: &mut In<'_>, lines: &Lines) -> ModalResult<Node> {
    let at = lines.pos(i.current_token_start());
    let first = winnow::combinator::peek(any).context(expect("a value")).parse_next(i)?;
    let value = match first {
        '"' => Value::Text(text(i)?),
        '{' => {
            '{'.parse_next(i)?;
            gap(i)?;
            let fields = fields(i, lines, Some('}'))?;
            gap(i)?;
            cut_err('}').context(expect("`}` or a field")).parse_next(i)?;
            Value::Record(fields)
        }
        '[' => {
            '['.parse_next(i)?;
            let mut items = Vec::new();
            loop {
                gap(i)?;
                if opt(']').parse_next(i)?.is_some() {
                    break;
                }
                items.push(value(i, lines)?);
                gap(i)?;
                if opt(',').parse_next(i)?.is_none() {
                    gap(i)?;
                    cut_err(']').context(expect("`,` or `]`")).parse_next(i)?;
                    break;
                }
            }
            Value::List(items)
        }
        '-' | '+' | '0'..='9' => Value::Number(cut_err(number).parse_next(i)?),
        _ => {
            let word = cut_err(identifier).context(expect("a value")).parse_next(i)?;
            match word.as_str() {
                "true" => Value::Bool(true),
                "false" => Value::Bool(false),
                "null" => Value::Null,
                _ => {
                    let rest: Vec<String> = repeat(0.., preceded('.', cut_err(label))).parse_next(i)?;
                    Value::Reference(std::iter::once(word).chain(rest).collect())
                }
            }
        }
    };
    Ok(Node { value, at })
}

/// The fields of a record, up to `close` or the end of the text.
fn fields(i: &mut In<'_>, lines: &Lines, close: Option<char>) -> ModalResult<Vec<Field>> {
    let mut out: Vec<Field> = Vec::new();
    loop {
        gap(i)?;
        let next = winnow::combinator::peek(opt(any)).parse_next(i)?;
        if next.is_none() || next == close {
            return Ok(out);
        }
        let field = field(i, lines)?;
        if let Some(twice) = out.iter().find(|f| f.label == field.label) {
            let message = format!("`{}` is given twice; first at {}", field.label, twice.at);
            return Err(ErrMode::Cut(ContextError::new().add_context(
                i,
                &i.checkpoint(),
                StrContext::Label(leak(message)),
            )));
        }
        out.push(field);
        inline_gap(i)?;
        let separated = opt(alt((','.void(), '\n'.void()))).parse_next(i)?.is_some();
        let next = winnow::combinator::peek(opt(any)).parse_next(i)?;
        if !separated && next.is_some() && next != close {
            return Err(ErrMode::Cut(ContextError::new().add_context(
                i,
                &i.checkpoint(),
                expect("`,` or a new line"),
            )));
        }
    }
}

/// A message that winnow's context can hold; errors are few and end the read.
fn leak(message: String) -> &'static str {
    Box::leak(message.into_boxed_str())
}

/// `label: value`, where the value may itself be `label: value`.
fn field(i: &mut In<'_>, lines: &Lines) -> ModalResult<Field> {
    let at = lines.pos(i.current_token_start());
    let label = label(i)?;
    inline_gap(i)?;
    cut_err(':').context(expect("`:` after the label")).parse_next(i)?;
    inline_gap(i)?;
    // `a: b: 1`: a label, then a colon, is a nested field.
    let checkpoint = i.checkpoint();
    let nested = opt((label_only, inline_gap, ':')).parse_next(i)?;
    let node = if nested.is_some() {
        i.reset(&checkpoint);
        let inner_at = lines.pos(i.current_token_start());
        let inner = field(i, lines)?;
        Node { value: Value::Record(vec![inner]), at: inner_at }
    } else {
        i.reset(&checkpoint);
        value(i, lines)?
    };
    Ok(Field { label, at, node })
}

/// A label that is not a keyword value.
fn label_only(i: &mut In<'_>) -> ModalResult<String> {
    label.verify(|l: &String| !matches!(l.as_str(), "true" | "false" | "null")).parse_next(i)
}

use winnow::error::AddContext;
use winnow::stream::Stream;

#[cfg(test)]
mod tests {
    use super::*;

    fn record(node: &Node) -> &[Field] {
        match &node.value {
            Value::Record(f) => f,
            other => panic!("a record, not {other:?}"),
        }
    }

    #[test]
    fn reads_records_lists_and_references() {
        let text =
            "// top\na: 1\nb: { c: \"x\\ty\", d: [1, -2.5e1, true, null] }\ne: f: g: b.c\n\"h-i\": []\n";
        let top = parse(text).expect("reads");
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
    fn errors_name_line_and_column() {
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
}
