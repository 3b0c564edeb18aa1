//! What the store holds for an object: the object with the change that wrote it.
//!
//! A removed object keeps its key with the removal marked, so that the revision of the removal is
//! known to a daemon that lists the store later. A bare object, as loaded by hand, is read too.

use super::object::Object;
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// An object as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The change that wrote it, chosen by the operator's tool.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub change: CompactString,
    /// The name of the operator's token.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub operator: CompactString,
    /// Whether the object was removed.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub removed: bool,
    /// The object, as it was last.
    pub object: Object,
}

impl Document {
    /// A document that puts an object in force.
    #[must_use]
    pub fn new(object: Object) -> Self {
        Self {
            change: CompactString::default(),
            operator: CompactString::default(),
            removed: false,
            object,
        }
    }

    /// Reads a stored value; nothing if it is no object.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        let document = serde_json::from_slice(value);
        document.ok().or_else(|| serde_json::from_slice(value).ok().map(Self::new))
    }

    /// The value to store.
    ///
    /// # Panics
    /// Never: objects are plain data with text keys, which always have a JSON form.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).expect("objects are plain data with text keys").into()
    }
}
