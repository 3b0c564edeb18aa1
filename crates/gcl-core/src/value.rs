//! Serde support for bytes: serialized as a string if they are UTF-8, otherwise as a list of
//! numbers.
//!
//! Values of the store are JSON documents. As lists of numbers they would take four times the space
//! in messages and traces.

use bytes::Bytes;
use serde::{Deserializer, Serialize, Serializer, de};
use std::{fmt, str};

/// Serializes bytes as a string or a list of numbers.
///
/// # Errors
/// Any error of the serializer.
pub fn serialize<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    match str::from_utf8(bytes) {
        Ok(text) => serializer.serialize_str(text),
        Err(_) => bytes.as_ref().serialize(serializer),
    }
}

/// Deserializes bytes from a string or a list of numbers.
///
/// # Errors
/// If the value is neither a string nor a list of numbers up to 255.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    deserializer.deserialize_any(Visitor)
}

struct Visitor;

impl<'de> de::Visitor<'de> for Visitor {
    type Value = Bytes;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("text or a list of bytes")
    }

    fn visit_str<E: de::Error>(self, v: &str) -> Result<Bytes, E> {
        Ok(Bytes::copy_from_slice(v.as_bytes()))
    }

    fn visit_string<E: de::Error>(self, v: String) -> Result<Bytes, E> {
        Ok(v.into())
    }

    fn visit_bytes<E: de::Error>(self, v: &[u8]) -> Result<Bytes, E> {
        Ok(Bytes::copy_from_slice(v))
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Bytes, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = seq.next_element::<u8>()? {
            bytes.push(byte);
        }
        Ok(bytes.into())
    }
}
