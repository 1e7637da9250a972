//! Parser of the operators' settings files: a subset of CUE without schemas or expressions. It knows the syntax
//! only; which fields exist, and what their values may be, is up to the readers.
//!
//! An example:
//!
//! ```text
//! // a comment runs to the end of the line
//! halls: {
//!     hall: "hall-a": weight: 2   // `a: b: v` is `a: { b: v }`
//!     ramp: 18
//!     hold_most: halls.ramp       // a reference to another field, by its path from the top of the file
//! }
//! ```
//!
//! Fields are separated by commas or line ends, and items of lists by commas. The file itself is a record without
//! braces. A label may appear only once in its record.

use winnow::ascii::{digit1, multispace1};
use winnow::combinator::{alt, cut_err, delimited, opt, peek, preceded, repeat};
use winnow::error::{AddContext, ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location, Stream};
use winnow::token::{any, none_of, one_of, take_till, take_while};

/// A position in the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct Pos {
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
}

impl std::fmt::Display for Pos {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// A value with its position.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The value.
    pub value: Value,
    /// Where it starts.
    pub at: Pos,
}

/// A field of a record.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// The label.
    pub label: String,
    /// Where the label starts.
    pub at: Pos,
    /// The value.
    pub node: Node,
}

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A string in double quotes.
    Text(String),
    /// A number; always finite.
    Number(f64),
    /// `true` or `false`.
    Bool(bool),
    /// `null`: the field is given and empty.
    Null,
    /// `[a, b]`.
    List(Vec<Node>),
    /// `{ a: 1 }`, in the order of the text.
    Record(Vec<Field>),
    /// The path of another field, as `halls.ramp`; [`super::resolve()`] replaces it.
    Reference(Vec<String>),
}

impl Value {
    /// The name of its type, for messages.
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

/// A syntax error.
#[derive(Clone, Debug, PartialEq)]
pub struct SyntaxError {
    /// Where parsing stopped.
    pub at: Pos,
    /// Description of what was expected there.
    pub message: String,
}

impl std::fmt::Display for SyntaxError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.at, self.message)
    }
}

impl std::error::Error for SyntaxError {}

type Input<'a> = LocatingSlice<&'a str>;

/// Parses a file: a record without braces.
///
/// # Errors
/// The first syntax error.
pub fn parse(text: &str) -> Result<Node, SyntaxError> {
    let lines = LineIndex::new(text);
    let mut input = LocatingSlice::new(text);
    let result = (gap, |i: &mut Input<'_>| fields(i, &lines, None), gap).parse_next(&mut input);
    let message = match result {
        Ok((_, fields, _)) if input.is_empty() => {
            return Ok(Node { value: Value::Record(fields), at: Pos { line: 1, column: 1 } });
        }
        Ok(_) => "expected a field".into(),
        Err(e) => describe(&e.into_inner().unwrap_or_else(|_| ContextError::new())),
    };
    Err(SyntaxError { at: lines.position(input.current_token_start()), message })
}

/// The message of a winnow error, in one line.
fn describe(e: &ContextError) -> String {
    let expected: Vec<String> = e
        .context()
        .filter_map(|c| match c {
            StrContext::Expected(StrContextValue::Description(d)) => Some((*d).to_string()),
            StrContext::Expected(StrContextValue::CharLiteral(c)) => Some(format!("`{c}`")),
            StrContext::Expected(StrContextValue::StringLiteral(s)) => Some(format!("`{s}`")),
            StrContext::Label(l) => Some((*l).to_string()),
            _ => None,
        })
        .collect();
    match expected.as_slice() {
        [] => "invalid syntax".into(),
        [single] => format!("expected {single}"),
        several => format!("expected {}", several.join(" or ")),
    }
}

/// Converts byte offsets to positions.
struct LineIndex<'a> {
    /// Offsets at which lines start.
    starts: Vec<usize>,
    text: &'a str,
}

impl<'a> LineIndex<'a> {
    fn new(text: &'a str) -> Self {
        let starts = std::iter::once(0).chain(text.match_indices('\n').map(|(i, _)| i + 1)).collect();
        LineIndex { starts, text }
    }

    fn position(&self, offset: usize) -> Pos {
        let line = self.starts.partition_point(|&s| s <= offset).max(1);
        let start = self.starts[line - 1];
        let column = self.text.get(start..offset).map_or(1, |s| s.chars().count() + 1);
        Pos { line: line as u32, column: column as u32 }
    }
}

fn expect(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

/// Skips blanks and comments, line ends included.
fn gap(i: &mut Input<'_>) -> ModalResult<()> {
    repeat(0.., alt((multispace1.void(), ("//", take_till(0.., '\n')).void()))).parse_next(i)
}

/// Skips blanks and comments on one line.
fn inline_gap(i: &mut Input<'_>) -> ModalResult<()> {
    repeat(0.., alt((take_while(1.., [' ', '\t', '\r']).void(), ("//", take_till(0.., '\n')).void())))
        .parse_next(i)
}

fn identifier(i: &mut Input<'_>) -> ModalResult<String> {
    (one_of(|c: char| c.is_ascii_alphabetic() || c == '_' || c == '#'), take_while(0.., is_word))
        .take()
        .map(str::to_string)
        .parse_next(i)
}

fn is_word(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '_' || c == '-'
}

fn text(i: &mut Input<'_>) -> ModalResult<String> {
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

fn number(i: &mut Input<'_>) -> ModalResult<f64> {
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

fn label(i: &mut Input<'_>) -> ModalResult<String> {
    alt((text, identifier)).context(expect("a label")).parse_next(i)
}

fn value(i: &mut Input<'_>, lines: &LineIndex<'_>) -> ModalResult<Node> {
    let at = lines.position(i.current_token_start());
    let first = peek(any).context(expect("a value")).parse_next(i)?;
    let value = match first {
        '"' => Value::Text(text(i)?),
        '{' => Value::Record(braced_fields(i, lines)?),
        '[' => Value::List(items(i, lines)?),
        '-' | '+' | '0'..='9' => Value::Number(cut_err(number).parse_next(i)?),
        _ => keyword_or_reference(i)?,
    };
    Ok(Node { value, at })
}

/// `{ a: 1 }`
fn braced_fields(i: &mut Input<'_>, lines: &LineIndex<'_>) -> ModalResult<Vec<Field>> {
    '{'.parse_next(i)?;
    gap(i)?;
    let fields = fields(i, lines, Some('}'))?;
    gap(i)?;
    cut_err('}').context(expect("`}` or a field")).parse_next(i)?;
    Ok(fields)
}

/// `[a, b]`, where a trailing comma is allowed.
fn items(i: &mut Input<'_>, lines: &LineIndex<'_>) -> ModalResult<Vec<Node>> {
    '['.parse_next(i)?;
    let mut items = Vec::new();
    loop {
        gap(i)?;
        if opt(']').parse_next(i)?.is_some() {
            return Ok(items);
        }
        items.push(value(i, lines)?);
        gap(i)?;
        if opt(',').parse_next(i)?.is_none() {
            gap(i)?;
            cut_err(']').context(expect("`,` or `]`")).parse_next(i)?;
            return Ok(items);
        }
    }
}

/// `true`, `false`, `null`, or the path of another field.
fn keyword_or_reference(i: &mut Input<'_>) -> ModalResult<Value> {
    let word = cut_err(identifier).context(expect("a value")).parse_next(i)?;
    Ok(match word.as_str() {
        "true" => Value::Bool(true),
        "false" => Value::Bool(false),
        "null" => Value::Null,
        _ => {
            let rest: Vec<String> = repeat(0.., preceded('.', cut_err(label))).parse_next(i)?;
            Value::Reference(std::iter::once(word).chain(rest).collect())
        }
    })
}

/// The fields of a record, up to `close` or the end of the text.
fn fields(i: &mut Input<'_>, lines: &LineIndex<'_>, close: Option<char>) -> ModalResult<Vec<Field>> {
    let mut out: Vec<Field> = Vec::new();
    loop {
        gap(i)?;
        let next = peek(opt(any)).parse_next(i)?;
        if next.is_none() || next == close {
            return Ok(out);
        }
        let field = field(i, lines)?;
        if let Some(first) = out.iter().find(|f| f.label == field.label) {
            let message = format!("`{}` is given twice; first at {}", field.label, first.at);
            return Err(failure(i, StrContext::Label(leak(message))));
        }
        out.push(field);
        inline_gap(i)?;
        let separated = opt(alt((','.void(), '\n'.void()))).parse_next(i)?.is_some();
        let next = peek(opt(any)).parse_next(i)?;
        if !separated && next.is_some() && next != close {
            return Err(failure(i, expect("`,` or a new line")));
        }
    }
}

/// An error that ends parsing at the current position.
fn failure(i: &Input<'_>, context: StrContext) -> ErrMode<ContextError> {
    ErrMode::Cut(ContextError::new().add_context(i, &i.checkpoint(), context))
}

/// Gives a message the static lifetime that winnow's context requires. At most one message is leaked per parse,
/// because the error ends the parse.
fn leak(message: String) -> &'static str {
    Box::leak(message.into_boxed_str())
}

/// `label: value`, where the value may itself be `label: value`.
fn field(i: &mut Input<'_>, lines: &LineIndex<'_>) -> ModalResult<Field> {
    let at = lines.position(i.current_token_start());
    let label = label(i)?;
    inline_gap(i)?;
    cut_err(':').context(expect("`:` after the label")).parse_next(i)?;
    inline_gap(i)?;
    // `a: b: 1`: a label, then a colon, is a nested field.
    let checkpoint = i.checkpoint();
    let nested = opt((label_only, inline_gap, ':')).parse_next(i)?;
    let node = if nested.is_some() {
        i.reset(&checkpoint);
        let inner_at = lines.position(i.current_token_start());
        let inner = field(i, lines)?;
        Node { value: Value::Record(vec![inner]), at: inner_at }
    } else {
        i.reset(&checkpoint);
        value(i, lines)?
    };
    Ok(Field { label, at, node })
}

/// A label that is not a keyword value.
fn label_only(i: &mut Input<'_>) -> ModalResult<String> {
    label.verify(|l: &String| !matches!(l.as_str(), "true" | "false" | "null")).parse_next(i)
}

#[cfg(test)]
#[path = "grammar_tests.rs"]
mod tests;
