//! The session token: the state that a session has seen, which its caller carries between daemons.
//!
//! A token lists for each database the newest mark (log position with its term) that the session
//! saw. It stays valid across changes of term, because marks of different terms are ordered.
//! Databases that a daemon does not know are kept, since its configuration may be behind. The text
//! is unpadded base64url of: version, flags, count, the entries, and a truncated SHA-256 of these.

use crate::{
    code::{Code, Fault, Result},
    id,
    mark::Mark,
};
use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};
use indexmap::IndexMap;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest as _, Sha256};
use std::fmt;

/// Version of the token format.
const VERSION: u8 = 1;
/// Flag of a session that has seen no other databases than the token lists.
const COMPLETE: u8 = 1;
/// Bytes of the hash that serve as the checksum.
const CHECKSUM_BYTES: usize = 4;
/// Limit on the databases in a token.
const MAX_DATABASES: usize = 64;
/// Limit on the bytes of a database's name.
const MAX_NAME_BYTES: usize = 63;
/// Limit on the bytes of a token's text.
pub const TEXT_BYTES: usize = 8192;
/// Limit on the bytes of a variable-length integer.
const MAX_VARINT_BYTES: usize = 10;

/// The newest state that a session has seen, by database; its reads must not return older data.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Floor {
    /// Whether the session is known to have seen nothing of databases without a mark.
    complete: bool,
    marks: IndexMap<id::Database, Mark>,
}

impl Floor {
    /// The floor of a session that has seen nothing.
    #[must_use]
    pub fn initial() -> Self {
        Self { complete: true, marks: IndexMap::new() }
    }

    /// The lowest mark that a server must have applied; `None` if it is unknown.
    #[must_use]
    pub fn get(&self, database: &str) -> Option<Mark> {
        let none = self.complete.then(Mark::default);
        self.marks.get(database).copied().or(none)
    }

    /// The marks by database.
    #[must_use]
    pub const fn marks(&self) -> &IndexMap<id::Database, Mark> {
        &self.marks
    }

    /// Raises the mark of a database; returns whether it increased.
    pub fn raise(&mut self, database: &id::Database, mark: Mark) -> bool {
        let known = self.marks.get(database);
        if mark.term == 0 || known.is_some_and(|known| *known >= mark) {
            return false;
        }
        if known.is_none() && self.marks.len() >= MAX_DATABASES {
            // A dropped database counts as unknown, never as unseen.
            self.marks.shift_remove_index(0);
            self.complete = false;
        }
        self.marks.insert(database.clone(), mark);
        true
    }

    /// Merges a token into the floor: marks only increase, and `complete` is that of the token.
    pub fn adopt(&mut self, token: &Self) {
        self.complete = token.complete;
        for (database, mark) in &token.marks {
            self.raise(database, *mark);
        }
    }

    /// Encodes the floor as a token.
    #[must_use]
    pub fn encode(&self) -> String {
        let listed = self.marks.iter().filter(|(name, _)| name.len() <= MAX_NAME_BYTES);
        let count = listed.clone().count();
        // A database that is not listed counts as unknown, never as unseen.
        let complete = self.complete && count == self.marks.len();
        let flags = if complete { COMPLETE } else { 0 };
        let mut bytes = vec![VERSION, flags, u8::try_from(count).unwrap_or(u8::MAX)];
        for (name, mark) in listed {
            bytes.push(u8::try_from(name.len()).unwrap_or(u8::MAX));
            bytes.extend_from_slice(name.as_bytes());
            write_varint(&mut bytes, mark.term);
            write_varint(&mut bytes, mark.position);
        }
        let sum = Sha256::digest(&bytes);
        bytes.extend_from_slice(&sum[..CHECKSUM_BYTES]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes a token; the empty one is that of a session that has seen nothing.
    ///
    /// # Errors
    /// [`Code::BadToken`] for a text that no daemon encoded.
    pub fn decode(text: &str) -> Result<Self> {
        if text.is_empty() {
            return Ok(Self::initial());
        }
        if text.len() > TEXT_BYTES {
            return Err(bad("it is too long"));
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).ok();
        let bytes = bytes.ok_or_else(|| bad("it is not base64url"))?;
        let split = bytes.len().checked_sub(CHECKSUM_BYTES).ok_or_else(truncated)?;
        let (body, sum) = bytes.split_at(split);
        if Sha256::digest(body)[..CHECKSUM_BYTES] != *sum {
            return Err(bad("its checksum is wrong"));
        }
        decode_body(&mut Reader(body))
    }
}

fn decode_body(reader: &mut Reader<'_>) -> Result<Floor> {
    if reader.byte()? != VERSION {
        return Err(bad("its version is unknown"));
    }
    let flags = reader.byte()?;
    if flags & !COMPLETE != 0 {
        return Err(bad("its flags are unknown"));
    }
    let count = usize::from(reader.byte()?);
    if count > MAX_DATABASES {
        return Err(bad("it names too many databases"));
    }
    let mut floor = Floor { complete: flags == COMPLETE, marks: IndexMap::with_capacity(count) };
    for _ in 0..count {
        let name = reader.name()?;
        let mark = Mark::new(reader.varint()?, reader.varint()?);
        if mark.term == 0 {
            return Err(bad("a term is zero"));
        }
        if floor.marks.insert(name, mark).is_some() {
            return Err(bad("it names a database twice"));
        }
    }
    if reader.0.is_empty() { Ok(floor) } else { Err(bad("it has bytes left over")) }
}

fn bad(what: &str) -> Fault {
    Fault::new(Code::BadToken, what)
}

fn truncated() -> Fault {
    bad("it is cut short")
}

fn write_varint(bytes: &mut Vec<u8>, mut number: u64) {
    loop {
        let [low, ..] = number.to_le_bytes();
        number >>= 7;
        if number == 0 {
            return bytes.push(low & 0x7f);
        }
        bytes.push(low | 0x80);
    }
}

/// The bytes that remain to be decoded.
struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn byte(&mut self) -> Result<u8> {
        let (first, rest) = self.0.split_first().ok_or_else(truncated)?;
        self.0 = rest;
        Ok(*first)
    }

    fn varint(&mut self) -> Result<u64> {
        let mut number = 0_u64;
        for index in 0..MAX_VARINT_BYTES {
            let byte = self.byte()?;
            let part = u64::from(byte & 0x7f);
            let shifted = part << (7 * index);
            if shifted >> (7 * index) != part {
                return Err(bad("a number is too large"));
            }
            number |= shifted;
            if byte & 0x80 == 0 {
                let padded = byte == 0 && index > 0;
                return if padded { Err(bad("a number is padded")) } else { Ok(number) };
            }
        }
        Err(bad("a number is too long"))
    }

    fn name(&mut self) -> Result<id::Database> {
        let length = usize::from(self.byte()?);
        if length == 0 || length > MAX_NAME_BYTES {
            return Err(bad("a name has a wrong length"));
        }
        let (name, rest) = self.0.split_at_checked(length).ok_or_else(truncated)?;
        self.0 = rest;
        let name = std::str::from_utf8(name).ok();
        name.map(id::Database::from).ok_or_else(|| bad("a name is not UTF-8"))
    }
}

impl Serialize for Floor {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.encode())
    }
}

/// Deserializes a floor from its token.
struct Visitor;

impl de::Visitor<'_> for Visitor {
    type Value = Floor;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a session token")
    }

    fn visit_str<E: de::Error>(self, v: &str) -> std::result::Result<Floor, E> {
        Floor::decode(v).map_err(E::custom)
    }
}

impl<'de> Deserialize<'de> for Floor {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        deserializer.deserialize_str(Visitor)
    }
}
