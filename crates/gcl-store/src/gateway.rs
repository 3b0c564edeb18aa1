//! Messages of the etcd v3 JSON gateway: 64-bit integers are strings, keys and values are base64.
//!
//! Like the gateway, these types omit fields with default values and ignore unknown fields.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::fmt;

/// gRPC status code for a key or lease that does not exist.
pub const NOT_FOUND: u32 = 5;
/// gRPC status code for a call above the store's rate limit.
pub const RESOURCE_EXHAUSTED: u32 = 8;
/// gRPC status code for a compacted revision.
pub const OUT_OF_RANGE: u32 = 11;
/// gRPC status code for a store that is unavailable.
pub const UNAVAILABLE: u32 = 14;

/// Bytes, encoded as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Blob(pub Vec<u8>);

impl Blob {
    /// The UTF-8 bytes of a text.
    #[must_use]
    pub fn text(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }

    /// The exclusive end of the range of keys with a prefix; a zero byte stands for no end.
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

    /// Whether the value is empty, in which case the gateway omits it.
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

/// A 64-bit integer, encoded as a string.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Int(pub u64);

impl Int {
    /// Whether the number is zero, in which case the gateway omits it.
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

/// Accepts a string or a number.
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

/// The header of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The store's revision at the time of the answer.
    #[serde(default, skip_serializing_if = "Int::is_zero")]
    pub revision: Int,
}

/// A key with its value and revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Blob,
    /// The revision at which the key was created.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub create_revision: Int,
    /// The revision at which the key was last modified.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub mod_revision: Int,
    /// The number of changes since the key was created.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub version: Int,
    /// The value.
    #[serde(skip_serializing_if = "Blob::is_empty")]
    pub value: Blob,
    /// The lease that the key is attached to, zero for none.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub lease: Int,
}

/// Reads one key, or all keys up to `range_end`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: Blob,
    /// The key after the last.
    #[serde(skip_serializing_if = "Blob::is_empty")]
    pub range_end: Blob,
    /// The revision to read at, zero for the latest.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub revision: Int,
}

/// The answer to a [`RangeRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The state of the store.
    pub header: Header,
    /// The matching keys.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// The number of matching keys.
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
    /// The lease to attach the key to, zero for none.
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

/// Deletes one key, or all keys up to `range_end`.
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
    /// The number of deleted keys.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub deleted: Int,
}

/// The property of a key that a comparison examines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// The number of changes since creation.
    #[default]
    Version,
    /// The creation revision.
    Create,
    /// The modification revision.
    Mod,
}

/// The operator of a comparison.
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
    /// The operator.
    pub result: Relation,
    /// The property to compare.
    pub target: Target,
    /// The key.
    pub key: Blob,
    /// The operand if the target is [`Target::Version`].
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub version: Int,
    /// The operand if the target is [`Target::Create`].
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub create_revision: Int,
    /// The operand if the target is [`Target::Mod`].
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub mod_revision: Int,
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOp {
    /// A read.
    #[serde(alias = "requestRange")]
    RequestRange(RangeRequest),
    /// A write.
    #[serde(alias = "requestPut")]
    RequestPut(PutRequest),
    /// A deletion.
    #[serde(alias = "requestDeleteRange")]
    RequestDeleteRange(DeleteRequest),
}

/// The answer to one operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseOp {
    /// The answer to a read.
    ResponseRange(RangeResponse),
    /// The answer to a write.
    ResponsePut(PutResponse),
    /// The answer to a deletion.
    ResponseDeleteRange(DeleteResponse),
}

/// Runs one of two lists of operations, depending on conditions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The conditions; all must hold for success.
    pub compare: Vec<Compare>,
    /// Operations to run if the conditions hold.
    pub success: Vec<RequestOp>,
    /// Operations to run otherwise.
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
    /// The answers, one for each operation that was run.
    pub responses: Vec<ResponseOp>,
}

/// Grants, renews or revokes a lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The requested time to live in seconds, for a grant.
    #[serde(rename = "TTL", skip_serializing_if = "Int::is_zero")]
    pub ttl: Int,
    /// The lease; zero in a grant lets the store choose the id.
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
    /// The time to live in seconds, zero if the lease does not exist.
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
    /// The first revision to report, zero for the next one.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub start_revision: Int,
    /// Whether to report progress while nothing changes.
    pub progress_notify: bool,
}

/// The body of a watch call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// The watch to create.
    pub create_request: WatchCreate,
}

/// The kind of a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Kind {
    /// The key was created or modified.
    #[default]
    Put,
    /// The key was deleted.
    Delete,
}

impl Kind {
    /// Whether this is the default kind, which the gateway omits.
    #[must_use]
    pub const fn is_put(&self) -> bool {
        matches!(self, Self::Put)
    }
}

/// A change reported by a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Change {
    /// The kind of the change.
    #[serde(rename = "type", skip_serializing_if = "Kind::is_put")]
    pub kind: Kind,
    /// The key after the change; after a deletion only its name and revision.
    pub kv: KeyValue,
}

/// A message of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// The state of the store.
    pub header: Header,
    /// Whether this message confirms the creation of the watch.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    /// Whether the watch has ended.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub canceled: bool,
    /// The oldest revision available, if the watch requested a compacted one; zero otherwise.
    #[serde(skip_serializing_if = "Int::is_zero")]
    pub compact_revision: Int,
    /// The changes, in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Change>,
}

/// One message of a streamed answer; each is on a line of its own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamItem<T> {
    /// The message.
    pub result: T,
}

/// The body of an error response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorBody {
    /// The error text.
    pub error: String,
    /// The gRPC status code.
    pub code: u32,
    /// The error text again; the gateway sends it in both fields.
    pub message: String,
}
