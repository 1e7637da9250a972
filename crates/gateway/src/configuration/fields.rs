//! Owns the fields of an item as they were sent, held in few bytes: a configuration of tens of thousands of items is
//! held, told and read many times. It must never change what was sent, nor judge it.

use super::change;
use serde::de::{Deserializer, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize, Serializer};
use serde_json::{Map, Value};
use std::fmt;
use std::sync::Arc;

/// A tenant's request rate as configured.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantRate {
    /// Sustained requests per second; 0: not limited.
    pub requests_per_sec: f64,
    /// Requests that may come on top of the sustained rate; 0: not configured.
    pub burst: f64,
}

/// Fields by name, as MessagePack, sorted by name. Equal fields are equal bytes.
#[derive(Clone, PartialEq, Eq)]
pub struct ItemFields(Arc<[u8]>);

impl From<&Map<String, Value>> for ItemFields {
    fn from(map: &Map<String, Value>) -> Self {
        // Writing to memory can't fail for these types.
        ItemFields(rmp_serde::to_vec(map).unwrap_or_default().into())
    }
}

impl ItemFields {
    /// The fields, each by itself.
    pub fn to_map(&self) -> Map<String, Value> {
        // What can't be read is never taken in.
        rmp_serde::from_slice(&self.0).unwrap_or_default()
    }

    /// Bytes that they take.
    pub fn encoded_len(&self) -> usize {
        self.0.len()
    }

    /// The services that a route names.
    pub fn route_services(&self) -> Vec<String> {
        change::route_services(&self.to_map()).into_iter().map(str::to_owned).collect()
    }

    /// The keys that a tenant has.
    pub fn tenant_credentials(&self) -> Vec<String> {
        self.credentials_and_rate().0
    }

    /// The keys that a tenant has, and its quota.
    pub fn credentials_and_rate(&self) -> (Vec<String>, TenantRate) {
        #[derive(Deserialize)]
        struct Tenant<'a> {
            #[serde(borrow, default)]
            credentials: Option<Vec<&'a str>>,
            #[serde(default)]
            rate_per_s: Option<f64>,
            #[serde(default)]
            burst_size: Option<f64>,
        }
        if let Ok(read) = rmp_serde::from_slice::<Tenant>(&self.0) {
            let keys = read.credentials.into_iter().flatten().map(str::to_owned).collect();
            let rate = TenantRate {
                requests_per_sec: read.rate_per_s.unwrap_or(0.0),
                burst: read.burst_size.unwrap_or(0.0),
            };
            return (keys, rate);
        }
        // Fields of other kinds than a tenant's should be.
        let map = self.to_map();
        let number = |field: &str| map.get(field).and_then(Value::as_f64).unwrap_or(0.0);
        let keys = change::tenant_credentials(&map).map(str::to_owned).collect();
        (keys, TenantRate { requests_per_sec: number("rate_per_s"), burst: number("burst_size") })
    }
}

impl fmt::Debug for ItemFields {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.to_map().fmt(f)
    }
}

impl Serialize for ItemFields {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for ItemFields {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_any(Reader)
    }
}

struct Reader;

impl<'de> Visitor<'de> for Reader {
    type Value = ItemFields;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("the fields of an item")
    }

    fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> Result<ItemFields, E> {
        let mut reader = rmp_serde::Deserializer::new(std::io::Cursor::new(bytes));
        Plain::deserialize(&mut reader).map_err(E::custom)?;
        // A map, of any of the three lengths, and nothing behind it.
        let map = matches!(bytes.first(), Some(0x80..=0x8f | 0xde | 0xdf));
        match map && reader.position() == bytes.len() as u64 {
            true => Ok(ItemFields(bytes.into())),
            false => Err(E::custom("not the fields of an item")),
        }
    }

    /// As disks before this form have them.
    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<ItemFields, A::Error> {
        let mut fields = Map::new();
        while let Some((name, value)) = map.next_entry::<String, Value>()? {
            fields.insert(name, value);
        }
        Ok(ItemFields::from(&fields))
    }
}

/// What [`Fields::map`] can read, passed over.
struct Plain;

impl<'de> Deserialize<'de> for Plain {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_any(Plain)
    }
}

impl<'de> Visitor<'de> for Plain {
    type Value = Plain;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a value of JSON")
    }

    fn visit_bool<E>(self, _: bool) -> Result<Plain, E> {
        Ok(Plain)
    }

    fn visit_i64<E>(self, _: i64) -> Result<Plain, E> {
        Ok(Plain)
    }

    fn visit_u64<E>(self, _: u64) -> Result<Plain, E> {
        Ok(Plain)
    }

    fn visit_f64<E>(self, _: f64) -> Result<Plain, E> {
        Ok(Plain)
    }

    fn visit_str<E>(self, _: &str) -> Result<Plain, E> {
        Ok(Plain)
    }

    fn visit_unit<E>(self) -> Result<Plain, E> {
        Ok(Plain)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Plain, A::Error> {
        while list.next_element::<Plain>()?.is_some() {}
        Ok(Plain)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Plain, A::Error> {
        while map.next_entry::<Name, Plain>()?.is_some() {}
        Ok(Plain)
    }
}

/// The name of a field, passed over.
struct Name;

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_str(Name)
    }
}

impl Visitor<'_> for Name {
    type Value = Name;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a name")
    }

    fn visit_str<E>(self, _: &str) -> Result<Name, E> {
        Ok(Name)
    }
}
