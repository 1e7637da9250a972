//! The fields of an item exactly as they were sent, in a compact form: a configuration of tens of thousands of items is
//! stored, sent and read many times.

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

/// Fields by name, as a MessagePack map sorted by name, so that equal fields are equal bytes. Cheap to clone.
#[derive(Clone, PartialEq, Eq)]
pub struct ItemFields(Arc<[u8]>);

impl From<&Map<String, Value>> for ItemFields {
    fn from(map: &Map<String, Value>) -> Self {
        // Writing to memory can't fail for these types.
        ItemFields(rmp_serde::to_vec(map).unwrap_or_default().into())
    }
}

impl ItemFields {
    /// The fields as JSON.
    pub fn to_map(&self) -> Map<String, Value> {
        // Deserializing refuses what can't be read here.
        rmp_serde::from_slice(&self.0).unwrap_or_default()
    }

    /// Size in bytes.
    pub fn encoded_len(&self) -> usize {
        self.0.len()
    }

    /// The services that a route names.
    pub fn route_services(&self) -> Vec<String> {
        change::route_services(&self.to_map()).into_iter().map(str::to_owned).collect()
    }

    /// The credentials of a tenant.
    pub fn tenant_credentials(&self) -> Vec<String> {
        self.credentials_and_rate().0
    }

    /// The credentials of a tenant and its rate.
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
        if let Ok(tenant) = rmp_serde::from_slice::<Tenant>(&self.0) {
            let credentials = tenant.credentials.into_iter().flatten().map(str::to_owned).collect();
            let rate = TenantRate {
                requests_per_sec: tenant.rate_per_s.unwrap_or(0.0),
                burst: tenant.burst_size.unwrap_or(0.0),
            };
            return (credentials, rate);
        }
        // Fields of other types than a tenant's should have.
        let map = self.to_map();
        let number = |field: &str| map.get(field).and_then(Value::as_f64).unwrap_or(0.0);
        let credentials = change::tenant_credentials(&map).map(str::to_owned).collect();
        (credentials, TenantRate { requests_per_sec: number("rate_per_s"), burst: number("burst_size") })
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
        from.deserialize_any(ItemFieldsVisitor)
    }
}

struct ItemFieldsVisitor;

impl<'de> Visitor<'de> for ItemFieldsVisitor {
    type Value = ItemFields;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("the fields of an item")
    }

    fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> Result<ItemFields, E> {
        let mut deserializer = rmp_serde::Deserializer::new(std::io::Cursor::new(bytes));
        AnyJson::deserialize(&mut deserializer).map_err(E::custom)?;
        // A map (MessagePack has three markers for it), and nothing behind it.
        let is_map = matches!(bytes.first(), Some(0x80..=0x8f | 0xde | 0xdf));
        match is_map && deserializer.position() == bytes.len() as u64 {
            true => Ok(ItemFields(bytes.into())),
            false => Err(E::custom("not the fields of an item")),
        }
    }

    /// The form on disks of earlier builds.
    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<ItemFields, A::Error> {
        let mut fields = Map::new();
        while let Some((name, value)) = map.next_entry::<String, Value>()? {
            fields.insert(name, value);
        }
        Ok(ItemFields::from(&fields))
    }
}

/// Skips any value that [`ItemFields::to_map`] can read.
struct AnyJson;

impl<'de> Deserialize<'de> for AnyJson {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_any(AnyJson)
    }
}

impl<'de> Visitor<'de> for AnyJson {
    type Value = AnyJson;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a value of JSON")
    }

    fn visit_bool<E>(self, _: bool) -> Result<AnyJson, E> {
        Ok(AnyJson)
    }

    fn visit_i64<E>(self, _: i64) -> Result<AnyJson, E> {
        Ok(AnyJson)
    }

    fn visit_u64<E>(self, _: u64) -> Result<AnyJson, E> {
        Ok(AnyJson)
    }

    fn visit_f64<E>(self, _: f64) -> Result<AnyJson, E> {
        Ok(AnyJson)
    }

    fn visit_str<E>(self, _: &str) -> Result<AnyJson, E> {
        Ok(AnyJson)
    }

    fn visit_unit<E>(self) -> Result<AnyJson, E> {
        Ok(AnyJson)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<AnyJson, A::Error> {
        while list.next_element::<AnyJson>()?.is_some() {}
        Ok(AnyJson)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<AnyJson, A::Error> {
        while map.next_entry::<FieldName, AnyJson>()?.is_some() {}
        Ok(AnyJson)
    }
}

/// Skips the name of a field.
struct FieldName;

impl<'de> Deserialize<'de> for FieldName {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_str(FieldName)
    }
}

impl Visitor<'_> for FieldName {
    type Value = FieldName;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a name")
    }

    fn visit_str<E>(self, _: &str) -> Result<FieldName, E> {
        Ok(FieldName)
    }
}
