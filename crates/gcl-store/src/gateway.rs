//! Messages of the etcd v3 JSON gateway: 64-bit integers are text, keys and values base64.
//!
//! Fields that hold their default are left out, and unknown fields are ignored, as the gateway does
//! both.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::fmt;

/// gRPC code of a key or lease that does not exist.
pub const NOT_FOUND: u32 = 5;
/// gRPC code of a call over the service's rate.
pub const EXHAUSTED: u32 = 8;
/// gRPC code of a compacted revision.
pub const OUT_OF_RANGE: u32 = 11;
/// gRPC code of a service that cannot answer now.
pub const UNAVAILABLE: u32 = 14;

/// Bytes, base64 on the wire.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Blob(pub Vec<u8>);

impl Blob {
    /// The bytes of a text.
    #[must_use]
    pub fn text(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }

    /// The end of the range of keys that start with `prefix`.
    #[must_use]
    pub fn prefix_end(prefix: &str) -> Self {
        let mut end = prefix.as_bytes().to_vec();
        while let Some(last) = end.pop() {
            if last < u8::MAX {
                end.push(last + 1);
                return Self(end);
            }
        }
        Self(vec![0])
    }

    /// Whether there are no bytes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(de::Error::custom)
    }
}

/// A 64-bit number, text on the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Int(pub u64);

impl Int {
    /// Whether it is zero, which the gateway leaves out.
    #[must_use]
    pub const fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl Serialize for Int {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(IntVisitor)
    }
}

/// Takes a number from text or from a number.
struct IntVisitor;

impl de::Visitor<'_> for IntVisitor {
    type Value = Int;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a 64-bit number or its text")
    }

    fn visit_u64<E: de::Error>(self, v: u64) -> Result<Int, E> {
        Ok(Int(v))
    }

    fn visit_str<E: de::Error>(self, v: &str) -> Result<Int, E> {
        v.parse().map(Int).map_err(de::Error::custom)
    }
}

/// The state of the store when it answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The store's revision.
    #[serde(default, skip_serializing_if = "Int::is_zero")]
    pub revision: Int,
}

/// A key with its value and revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Blob,
    /// The revision of its creation.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub create_revision: Int,
    /// The revision of its last change.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub mod_revision: Int,
    /// How often it changed since its creation.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub version: Int,
    /// The value.
    #[serde(skip_serializing_if = "Blob::is_empty")]
    pub value: Blob,
    /// The lease it hangs on.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub lease: Int,
}

/// Reads a key, or the keys up to `range_end`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: Blob,
    /// The key after the last.
    #[serde(skip_serializing_if = "Blob::is_empty")]
    pub range_end: Blob,
    /// The revision to read at, zero for the newest.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub revision: Int,
}

/// The answer to a [`RangeRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The state of the store.
    pub header: Header,
    /// The keys.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// How many keys there are.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub count: Int,
}

/// Writes a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Blob,
    /// The value.
    #[serde(skip_serializing_if = "Blob::is_empty")]
    pub value: Blob,
    /// The lease to hang it on.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub lease: Int,
}

/// The answer to a [`PutRequest`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutResponse {
    /// The state of the store.
    pub header: Header,
}

/// Removes a key, or the keys up to `range_end`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// The first key.
    pub key: Blob,
    /// The key after the last.
    #[serde(skip_serializing_if = "Blob::is_empty")]
    pub range_end: Blob,
}

/// The answer to a [`DeleteRequest`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteResponse {
    /// The state of the store.
    pub header: Header,
    /// How many keys were removed.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub deleted: Int,
}

/// What a comparison looks at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// The number of changes.
    #[default]
    Version,
    /// The revision of the creation.
    Create,
    /// The revision of the last change.
    Mod,
}

/// How a comparison compares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Relation {
    /// Equal.
    #[default]
    Equal,
    /// Greater.
    Greater,
    /// Less.
    Less,
    /// Not equal.
    #[serde(rename = "NOT_EQUAL")]
    NotEqual,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// How to compare.
    pub result: Relation,
    /// What to compare.
    pub target: Target,
    /// The key.
    pub key: Blob,
    /// The number to compare with when the target is the version.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub version: Int,
    /// The number to compare with when the target is the creation.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub create_revision: Int,
    /// The number to compare with when the target is the last change.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub mod_revision: Int,
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOp {
    /// Reads.
    #[serde(alias = "requestRange")]
    RequestRange(RangeRequest),
    /// Writes.
    #[serde(alias = "requestPut")]
    RequestPut(PutRequest),
    /// Removes.
    #[serde(alias = "requestDeleteRange")]
    RequestDeleteRange(DeleteRequest),
}

/// One answer within a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseOp {
    /// To a read.
    ResponseRange(RangeResponse),
    /// To a write.
    ResponsePut(PutResponse),
    /// To a removal.
    ResponseDeleteRange(DeleteResponse),
}

/// Does one of two lists of operations, as the conditions tell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions, all of which have to hold.
    pub compare: Vec<Compare>,
    /// What is done when they hold.
    pub success: Vec<RequestOp>,
    /// What is done otherwise.
    pub failure: Vec<RequestOp>,
}

/// The answer to a [`TxnRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// The state of the store.
    pub header: Header,
    /// Whether the conditions held.
    pub succeeded: bool,
    /// One answer for each operation.
    pub responses: Vec<ResponseOp>,
}

/// Names a lease, and its time to live in seconds where that is asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The time to live in seconds.
    #[serde(rename = "TTL", skip_serializing_if = "Int::is_zero")]
    pub ttl: Int,
    /// The lease, zero to have one chosen.
    #[serde(rename = "ID", skip_serializing_if = "Int::is_zero")]
    pub id: Int,
}

/// The answer to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// The state of the store.
    pub header: Header,
    /// The lease.
    #[serde(rename = "ID", skip_serializing_if = "Int::is_zero")]
    pub id: Int,
    /// The time to live in seconds, zero when the lease is gone.
    #[serde(rename = "TTL", skip_serializing_if = "Int::is_zero")]
    pub ttl: Int,
}

/// Starts a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// The first key.
    pub key: Blob,
    /// The key after the last.
    #[serde(skip_serializing_if = "Blob::is_empty")]
    pub range_end: Blob,
    /// The first revision to report, zero for the next.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub start_revision: Int,
    /// Whether progress is reported when nothing changes.
    pub progress_notify: bool,
}

/// The body of a watch call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreate,
}

/// What happened to a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Kind {
    /// It was created or changed.
    #[default]
    Put,
    /// It was removed.
    Delete,
}

impl Kind {
    /// Whether it is the kind that the gateway leaves out.
    #[must_use]
    pub const fn is_put(&self) -> bool {
        matches!(self, Self::Put)
    }
}

/// A change within a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Change {
    /// What happened.
    #[serde(rename = "type", skip_serializing_if = "Kind::is_put")]
    pub kind: Kind,
    /// The key after the change.
    pub kv: KeyValue,
}

/// A line of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// The state of the store.
    pub header: Header,
    /// Whether the watch has just begun.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    /// Whether the watch has ended.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub canceled: bool,
    /// The first revision that is still there, when the watch asked for an older one.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub compact_revision: Int,
    /// Changes in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Change>,
}

/// A line of a streamed answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line<T> {
    /// What the line carries.
    pub result: T,
}

/// A refusal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Refusal {
    /// The text.
    pub error: String,
    /// The gRPC code.
    pub code: u32,
    /// The text again.
    pub message: String,
}
