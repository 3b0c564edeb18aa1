//! The session token: what a session has seen, carried by its caller from daemon to daemon.
//!
//! A token lists for each database the newest mark that the session saw. It is valid across changes
//! of term, because marks of different terms are ordered. Databases that a daemon does not know are
//! kept and carried on, since its configuration may be behind. The text is base64url without
//! padding of: version, flags, count, the entries, and the start of a SHA-256 over all of it.

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

/// Version of the format.
const VERSION: u8 = 1;
/// Flag of a session that has seen nothing but what the token lists.
const COMPLETE: u8 = 1;
/// Bytes of the checksum.
const CHECKSUM_BYTES: usize = 4;
/// Most databases in a token.
const DATABASES: usize = 64;
/// Most bytes of a database's name.
const NAME_BYTES: usize = 63;
/// Most bytes of a token's text.
pub const TEXT_BYTES: usize = 8192;
/// Most bytes of a variable-length number.
const VARINT_BYTES: usize = 10;

/// The last state that a session has seen, by database.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Floor {
    /// Whether the session has seen nothing of databases without a mark.
    complete: bool,
    marks: IndexMap<id::Database, Mark>,
}

impl Floor {
    /// The floor of a session that has seen nothing.
    #[must_use]
    pub fn initial() -> Self {
        Self { complete: true, marks: IndexMap::new() }
    }

    /// The least mark that a server must have applied; `None` when it is not known.
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

    /// Raises the mark of a database; gives whether it grew.
    pub fn raise(&mut self, database: &id::Database, mark: Mark) -> bool {
        let known = self.marks.get(database);
        if mark.term == 0 || known.is_some_and(|known| *known >= mark) {
            return false;
        }
        if known.is_none() && self.marks.len() >= DATABASES {
            // What is dropped is unknown from now on, never taken for unseen.
            self.marks.shift_remove_index(0);
            self.complete = false;
        }
        self.marks.insert(database.clone(), mark);
        true
    }

    /// Takes a token's word on what the session has seen; marks only grow.
    pub fn adopt(&mut self, token: &Self) {
        self.complete = token.complete;
        for (database, mark) in &token.marks {
            self.raise(database, *mark);
        }
    }

    /// The token.
    #[must_use]
    pub fn encode(&self) -> String {
        let listed = self.marks.iter().filter(|(name, _)| name.len() <= NAME_BYTES);
        let count = listed.clone().count();
        // What is not listed is unknown, never taken for unseen.
        let complete = self.complete && count == self.marks.len();
        let flags = if complete { COMPLETE } else { 0 };
        let mut bytes = vec![VERSION, flags, u8::try_from(count).unwrap_or(u8::MAX)];
        for (name, mark) in listed {
            bytes.push(u8::try_from(name.len()).unwrap_or(u8::MAX));
            bytes.extend_from_slice(name.as_bytes());
            put(&mut bytes, mark.term);
            put(&mut bytes, mark.position);
        }
        let sum = Sha256::digest(&bytes);
        bytes.extend_from_slice(&sum[..CHECKSUM_BYTES]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Reads a token; the empty one is that of a session that has seen nothing.
    ///
    /// # Errors
    /// [`Code::BadToken`] for one that no daemon made.
    pub fn decode(text: &str) -> Result<Self> {
        if text.is_empty() {
            return Ok(Self::initial());
        }
        if text.len() > TEXT_BYTES {
            return Err(bad("it is too long"));
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).ok();
        let bytes = bytes.ok_or_else(|| bad("it is not base64url"))?;
        let split = bytes.len().checked_sub(CHECKSUM_BYTES).ok_or_else(short)?;
        let (body, sum) = bytes.split_at(split);
        if Sha256::digest(body)[..CHECKSUM_BYTES] != *sum {
            return Err(bad("its checksum is wrong"));
        }
        read(&mut Reader(body))
    }
}

fn read(reader: &mut Reader<'_>) -> Result<Floor> {
    if reader.byte()? != VERSION {
        return Err(bad("its version is unknown"));
    }
    let flags = reader.byte()?;
    if flags & !COMPLETE != 0 {
        return Err(bad("its flags are unknown"));
    }
    let count = usize::from(reader.byte()?);
    if count > DATABASES {
        return Err(bad("it names too many databases"));
    }
    let mut floor = Floor { complete: flags == COMPLETE, marks: IndexMap::with_capacity(count) };
    for _ in 0..count {
        let name = reader.name()?;
        let mark = Mark::new(reader.number()?, reader.number()?);
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

fn short() -> Fault {
    bad("it is cut short")
}

fn put(bytes: &mut Vec<u8>, mut number: u64) {
    loop {
        let [low, ..] = number.to_le_bytes();
        number >>= 7;
        if number == 0 {
            return bytes.push(low & 0x7f);
        }
        bytes.push(low | 0x80);
    }
}

/// Bytes that are still to be read.
struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn byte(&mut self) -> Result<u8> {
        let (first, rest) = self.0.split_first().ok_or_else(short)?;
        self.0 = rest;
        Ok(*first)
    }

    fn number(&mut self) -> Result<u64> {
        let mut number = 0_u64;
        for index in 0..VARINT_BYTES {
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
        if length == 0 || length > NAME_BYTES {
            return Err(bad("a name has a wrong length"));
        }
        let (name, rest) = self.0.split_at_checked(length).ok_or_else(short)?;
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

/// Reads a floor from the text of its token.
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
