//! Owns the small reader of paths over JSON: where in an operator's body something stands, and what is wrong there.
//! It must never know what a configuration means.

use serde::de::{Error, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::{Map, Value};
use std::fmt;
use std::time::Duration;

/// What is wrong at a place of a body.
#[derive(Clone, Debug, PartialEq, displaydoc::Display)]
pub enum JsonPathError {
    /// not JSON: {0}
    NotJson(String),
    /// {0}: missing
    Missing(String),
    /// {0}: not {1}
    Invalid(String, &'static str),
}

/// A value and the path that leads to it.
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
    /// The root of a body.
    pub fn root(value: &'a Value) -> Self {
        JsonNode { value, path: Path::Root }
    }

    /// The value itself.
    pub fn value(&self) -> &'a Value {
        self.value
    }

    /// Its path, for messages.
    pub fn path(&self) -> String {
        self.path.to_string()
    }

    fn invalid<T>(&self, what: &'static str) -> Result<T, JsonPathError> {
        Err(JsonPathError::Invalid(self.path(), what))
    }

    /// A field that may be missing or null.
    pub fn optional(&self, name: &'a str) -> Option<JsonNode<'a>> {
        let value = self.value.get(name).filter(|v| !v.is_null())?;
        Some(JsonNode { value, path: Path::Field(Box::new(self.path.clone()), name) })
    }

    /// A field that must be there.
    pub fn required(&self, name: &'a str) -> Result<JsonNode<'a>, JsonPathError> {
        self.optional(name).ok_or_else(|| JsonPathError::Missing(format!("{}.{name}", self.path)))
    }

    /// The elements of a list.
    pub fn elements(&self) -> Result<Vec<JsonNode<'a>>, JsonPathError> {
        let Some(list) = self.value.as_array() else { return self.invalid("a list") };
        let at = |(n, value)| JsonNode { value, path: Path::Index(Box::new(self.path.clone()), n) };
        Ok(list.iter().enumerate().map(at).collect())
    }

    /// The fields of an object.
    pub fn object(&self) -> Result<&'a Map<String, Value>, JsonPathError> {
        self.value.as_object().map_or_else(|| self.invalid("an object"), Ok)
    }

    /// A text.
    pub fn as_str(&self) -> Result<&'a str, JsonPathError> {
        self.value.as_str().map_or_else(|| self.invalid("a text"), Ok)
    }

    /// A text that says something.
    pub fn as_non_empty_str(&self) -> Result<&'a str, JsonPathError> {
        let text = self.as_str()?;
        if text.trim().is_empty() {
            return self.invalid("a name");
        }
        Ok(text)
    }

    /// A number that is finite and not below nought.
    pub fn as_non_negative(&self) -> Result<f64, JsonPathError> {
        let amount = self.value.as_f64().filter(|x| x.is_finite() && *x >= 0.0);
        amount.map_or_else(|| self.invalid("a number of at least 0"), Ok)
    }

    /// True or false.
    pub fn as_bool(&self) -> Result<bool, JsonPathError> {
        self.value.as_bool().map_or_else(|| self.invalid("true or false"), Ok)
    }

    /// A time, as `2500ms` or `2.5s`.
    pub fn as_duration(&self) -> Result<Duration, JsonPathError> {
        let told = self.value.as_str().and_then(parse_duration);
        told.map_or_else(|| self.invalid("a time such as 2500ms or 2.5s"), Ok)
    }

    /// A version, as `r12`.
    pub fn as_version(&self) -> Result<u64, JsonPathError> {
        let told = self.value.as_str().and_then(parse_version);
        told.map_or_else(|| self.invalid("a version such as r12"), Ok)
    }
}

/// A body as JSON. A field given twice is an error: one of the two would be dropped unseen.
pub fn parse(body: &[u8]) -> Result<Value, JsonPathError> {
    let once: Once = serde_json::from_slice(body).map_err(|e| JsonPathError::NotJson(e.to_string()))?;
    Ok(once.0)
}

/// A value whose objects have each field once.
struct Once(Value);

impl<'de> Deserialize<'de> for Once {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_any(OnceVisitor).map(Once)
    }
}

struct OnceVisitor;

impl<'de> Visitor<'de> for OnceVisitor {
    type Value = Value;

    fn expecting(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "JSON")
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
        while let Some(Once(value)) = list.next_element()? {
            values.push(value);
        }
        Ok(values.into())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some((name, Once(value))) = fields.next_entry::<String, Once>()? {
            if object.contains_key(&name) {
                return Err(A::Error::custom(format!("{name:?} comes twice")));
            }
            object.insert(name, value);
        }
        Ok(object.into())
    }
}

/// A time in text: a number and `ms` or `s`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let text = text.trim();
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1e-3),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let number: f64 = number.trim().parse().ok()?;
    Duration::try_from_secs_f64(number * unit).ok()
}

/// A version in text: `r` and a number.
pub fn parse_version(text: &str) -> Option<u64> {
    text.strip_prefix('r')?.parse().ok()
}
