//! Structs that are written as JSON arrays, in the order of their fields: a compact format of `capacity.json`.

/// Implements `Serialize` as an array of the fields.
macro_rules! serialize_as_array {
    ($name:ident { $($field:ident),+ }) => {
        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                ($(&self.$field,)+).serialize(serializer)
            }
        }
    };
}
pub(crate) use serialize_as_array;
