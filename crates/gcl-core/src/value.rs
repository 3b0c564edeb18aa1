//! Serialises bytes as text where they are text, and as a list of numbers otherwise.
//!
//! Values of the store are JSON documents, which as lists of numbers would take four times the room
//! in messages and traces.

use bytes::Bytes;
use serde::{Deserializer, Serialize, Serializer, de};
use std::{fmt, str};

/// Writes bytes.
///
/// # Errors
/// Those of the serialiser.
pub fn serialize<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    match str::from_utf8(bytes) {
        Ok(text) => serializer.serialize_str(text),
        Err(_) => bytes.as_ref().serialize(serializer),
    }
}

/// Reads bytes.
///
/// # Errors
/// When there is neither text nor a list of numbers up to 255.
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
