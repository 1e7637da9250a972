//! Typed reading of JSON bodies. Each error names the path of the value that is at fault, such as
//! `$.upsert.route_set[3].cutoff`.

use serde::de::{Error, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::{Map, Value};
use std::fmt;
use std::time::Duration;

/// What is wrong with a body, and at which path.
#[derive(Clone, Debug, PartialEq, displaydoc::Display)]
pub enum JsonPathError {
    /// not JSON: {0}
    NotJson(String),
    /// {0}: missing
    Missing(String),
    /// {0}: not {1}
    Invalid(String, &'static str),
}

impl std::error::Error for JsonPathError {}

/// A value in a body, with its path.
#[derive(Clone)]
pub struct JsonNode<'a> {
    value: &'a Value,
    path: Path<'a>,
}

#[derive(Clone)]
enum Path<'a> {
    Root,
    Field(Box<Path<'a>>, &'a str),
    Index(Box<Path<'a>>, usize),
}

impl fmt::Display for Path<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Path::Root => write!(f, "$"),
            Path::Field(path, name) => write!(f, "{path}.{name}"),
            Path::Index(path, index) => write!(f, "{path}[{index}]"),
        }
    }
}

impl<'a> JsonNode<'a> {
    /// The whole body, at path `$`.
    pub fn root(value: &'a Value) -> Self {
        JsonNode { value, path: Path::Root }
    }

    /// The value itself.
    pub fn value(&self) -> &'a Value {
        self.value
    }

    /// The path of the value, for messages.
    pub fn path(&self) -> String {
        self.path.to_string()
    }

    /// The error that this value is not what it should be, such as `a list`.
    fn invalid<T>(&self, expected: &'static str) -> Result<T, JsonPathError> {
        Err(JsonPathError::Invalid(self.path(), expected))
    }

    /// The field of this name; `None` if it is missing or null, or this is no object.
    pub fn optional(&self, name: &'a str) -> Option<JsonNode<'a>> {
        let value = self.value.get(name).filter(|v| !v.is_null())?;
        Some(JsonNode { value, path: Path::Field(Box::new(self.path.clone()), name) })
    }

    /// The field of this name; an error if it is missing or null.
    pub fn required(&self, name: &'a str) -> Result<JsonNode<'a>, JsonPathError> {
        self.optional(name).ok_or_else(|| JsonPathError::Missing(format!("{}.{name}", self.path)))
    }

    /// The elements, if this is a list.
    pub fn elements(&self) -> Result<Vec<JsonNode<'a>>, JsonPathError> {
        let Some(list) = self.value.as_array() else { return self.invalid("a list") };
        let element = |(n, value)| JsonNode { value, path: Path::Index(Box::new(self.path.clone()), n) };
        Ok(list.iter().enumerate().map(element).collect())
    }

    /// The fields, if this is an object.
    pub fn object(&self) -> Result<&'a Map<String, Value>, JsonPathError> {
        self.value.as_object().map_or_else(|| self.invalid("an object"), Ok)
    }

    /// The text, if this is one.
    pub fn as_str(&self) -> Result<&'a str, JsonPathError> {
        self.value.as_str().map_or_else(|| self.invalid("a text"), Ok)
    }

    /// The text, if it holds more than white space.
    pub fn as_non_empty_str(&self) -> Result<&'a str, JsonPathError> {
        let text = self.as_str()?;
        if text.trim().is_empty() {
            return self.invalid("a name");
        }
        Ok(text)
    }

    /// The number, if it is finite and not negative.
    pub fn as_non_negative(&self) -> Result<f64, JsonPathError> {
        let number = self.value.as_f64().filter(|x| x.is_finite() && *x >= 0.0);
        number.map_or_else(|| self.invalid("a number of at least 0"), Ok)
    }

    /// The truth value, if this is one.
    pub fn as_bool(&self) -> Result<bool, JsonPathError> {
        self.value.as_bool().map_or_else(|| self.invalid("true or false"), Ok)
    }

    /// The duration, if this is a text such as `2500ms` or `2.5s`.
    pub fn as_duration(&self) -> Result<Duration, JsonPathError> {
        let duration = self.value.as_str().and_then(parse_duration);
        duration.map_or_else(|| self.invalid("a time such as 2500ms or 2.5s"), Ok)
    }

    /// The version, if this is a text such as `r12`.
    pub fn as_version(&self) -> Result<u64, JsonPathError> {
        let version = self.value.as_str().and_then(parse_version);
        version.map_or_else(|| self.invalid("a version such as r12"), Ok)
    }
}

/// Parses a body. A field that an object has twice is an error: `serde_json` alone would silently drop one of the two.
pub fn parse(body: &[u8]) -> Result<Value, JsonPathError> {
    let body: UniqueFields =
        serde_json::from_slice(body).map_err(|e| JsonPathError::NotJson(e.to_string()))?;
    Ok(body.0)
}

/// A value whose objects have each field once.
struct UniqueFields(Value);

impl<'de> Deserialize<'de> for UniqueFields {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(UniqueFieldsVisitor).map(UniqueFields)
    }
}

struct UniqueFieldsVisitor;

impl<'de> Visitor<'de> for UniqueFieldsVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "JSON")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, truth: bool) -> Result<Value, E> {
        Ok(truth.into())
    }

    fn visit_i64<E>(self, n: i64) -> Result<Value, E> {
        Ok(n.into())
    }

    fn visit_u64<E>(self, n: u64) -> Result<Value, E> {
        Ok(n.into())
    }

    fn visit_f64<E>(self, x: f64) -> Result<Value, E> {
        Ok(x.into())
    }

    fn visit_str<E>(self, text: &str) -> Result<Value, E> {
        Ok(text.into())
    }

    fn visit_string<E>(self, text: String) -> Result<Value, E> {
        Ok(text.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Value, A::Error> {
        let mut values = Vec::new();
        while let Some(UniqueFields(value)) = list.next_element()? {
            values.push(value);
        }
        Ok(values.into())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some((name, UniqueFields(value))) = fields.next_entry::<String, UniqueFields>()? {
            if object.contains_key(&name) {
                return Err(A::Error::custom(format!("{name:?} comes twice")));
            }
            object.insert(name, value);
        }
        Ok(object.into())
    }
}

/// Parses a duration: a number and `ms` or `s`. `None` if it is neither, negative, or too long for a [`Duration`].
pub fn parse_duration(text: &str) -> Option<Duration> {
    let text = text.trim();
    let (number, unit_s) = match text.strip_suffix("ms") {
        Some(number) => (number, 1e-3),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let number: f64 = number.trim().parse().ok()?;
    Duration::try_from_secs_f64(number * unit_s).ok()
}

/// Parses a version: `r` and a number.
pub fn parse_version(text: &str) -> Option<u64> {
    text.strip_prefix('r')?.parse().ok()
}
