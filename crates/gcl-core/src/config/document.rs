//! The stored form of an object: the object and the change that wrote it.
//!
//! The key of a removed object stays in the store with the removal marked, so that a daemon that
//! lists the store later learns the revision of the removal. A bare object, as loaded by hand, is
//! accepted too.

use super::object::Object;
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// An object as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the change that wrote it, chosen by the operator's tool.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub change: CompactString,
    /// Name of the operator's token.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub operator: CompactString,
    /// Whether the object was removed.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub removed: bool,
    /// The object, or its last version if it was removed.
    pub object: Object,
}

impl Document {
    /// A document for an object in force.
    #[must_use]
    pub fn new(object: Object) -> Self {
        Self {
            change: CompactString::default(),
            operator: CompactString::default(),
            removed: false,
            object,
        }
    }

    /// Decodes a stored value; `None` if it is not an object.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        let document = serde_json::from_slice(value);
        document.ok().or_else(|| serde_json::from_slice(value).ok().map(Self::new))
    }

    /// Encodes the document as the value to store.
    ///
    /// # Panics
    /// Never: objects are plain data with text keys, which can always be written as JSON.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).expect("objects are plain data with text keys").into()
    }
}
