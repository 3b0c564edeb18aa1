//! Conversion of values between the `PostgreSQL` protocol and `SQLite`.

use super::clock;
use bytes::Bytes;
use rusqlite::types::{ToSqlOutput, ValueRef};
use serde::{Deserialize, Serialize};

/// Hexadecimal digits.
const HEX: &[u8; 16] = b"0123456789abcdef";

/// Object ids of the supported types.
pub mod oid {
    /// `bool`.
    pub const BOOL: u32 = 16;
    /// `bytea`.
    pub const BYTEA: u32 = 17;
    /// `int8`.
    pub const INT8: u32 = 20;
    /// `int2`.
    pub const INT2: u32 = 21;
    /// `int4`.
    pub const INT4: u32 = 23;
    /// `text`.
    pub const TEXT: u32 = 25;
    /// `float4`.
    pub const FLOAT4: u32 = 700;
    /// `float8`.
    pub const FLOAT8: u32 = 701;
    /// `varchar`.
    pub const VARCHAR: u32 = 1043;
    /// `timestamptz`.
    pub const TIMESTAMPTZ: u32 = 1184;
    /// `uuid`.
    pub const UUID: u32 = 2950;
}

/// The wire format of a value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// As text.
    #[default]
    Text,
    /// As binary.
    Binary,
}

impl Format {
    /// The format at `index` of the format codes of a `Bind` message.
    #[must_use]
    pub fn at(codes: &[i16], index: usize) -> Self {
        let code = if codes.len() == 1 { codes.first() } else { codes.get(index) };
        if code == Some(&1) { Self::Binary } else { Self::Text }
    }

    /// The format's code.
    #[must_use]
    pub const fn code(self) -> i16 {
        match self {
            Self::Text => 0,
            Self::Binary => 1,
        }
    }
}

/// A value as `SQLite` stores it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// The null value.
    Null,
    /// An integer or a boolean.
    Integer(i64),
    /// A floating-point number.
    Real(f64),
    /// Text, UUIDs and timestamps included.
    Text(String),
    /// Bytes.
    Blob(Vec<u8>),
}

impl rusqlite::ToSql for Value {
    fn to_sql(&self) -> rusqlite::Result<ToSqlOutput<'_>> {
        let value = match self {
            Self::Null => ValueRef::Null,
            Self::Integer(integer) => ValueRef::Integer(*integer),
            Self::Real(real) => ValueRef::Real(*real),
            Self::Text(text) => ValueRef::Text(text.as_bytes()),
            Self::Blob(blob) => ValueRef::Blob(blob),
        };
        Ok(ToSqlOutput::Borrowed(value))
    }
}

impl From<ValueRef<'_>> for Value {
    fn from(value: ValueRef<'_>) -> Self {
        match value {
            ValueRef::Null => Self::Null,
            ValueRef::Integer(integer) => Self::Integer(integer),
            ValueRef::Real(real) => Self::Real(real),
            ValueRef::Text(text) => Self::Text(String::from_utf8_lossy(text).into_owned()),
            ValueRef::Blob(blob) => Self::Blob(blob.to_vec()),
        }
    }
}

impl Value {
    /// The type reported for a value without a declared type.
    #[must_use]
    pub const fn default_type(&self) -> u32 {
        match self {
            Self::Integer(_) => oid::INT8,
            Self::Real(_) => oid::FLOAT8,
            Self::Blob(_) => oid::BYTEA,
            Self::Text(_) | Self::Null => oid::TEXT,
        }
    }
}

/// The object id of a declared column type, if the type is supported.
#[must_use]
pub fn declared(name: &str) -> Option<u32> {
    let name = name.split('(').next().unwrap_or(name).trim().to_ascii_lowercase();
    Some(match name.as_str() {
        "bool" | "boolean" => oid::BOOL,
        "bytea" | "blob" => oid::BYTEA,
        "bigint" | "int8" | "bigserial" => oid::INT8,
        "smallint" | "int2" => oid::INT2,
        "int" | "integer" | "int4" | "serial" => oid::INT4,
        "real" | "float4" => oid::FLOAT4,
        "double precision" | "float8" | "double" => oid::FLOAT8,
        "text" => oid::TEXT,
        "varchar" | "character varying" => oid::VARCHAR,
        "timestamptz" | "timestamp with time zone" => oid::TIMESTAMPTZ,
        "uuid" => oid::UUID,
        _ => return None,
    })
}

/// Decodes a parameter. Returns `None` if its bytes are invalid for its type.
#[must_use]
pub fn decode(kind: u32, format: Format, bytes: Option<&Bytes>) -> Option<Value> {
    let Some(bytes) = bytes else {
        return Some(Value::Null);
    };
    match format {
        Format::Text => decode_text(kind, std::str::from_utf8(bytes).ok()?),
        Format::Binary => decode_binary(kind, bytes),
    }
}

fn decode_text(kind: u32, text: &str) -> Option<Value> {
    Some(match kind {
        oid::INT2 | oid::INT4 | oid::INT8 => Value::Integer(text.trim().parse().ok()?),
        oid::FLOAT4 | oid::FLOAT8 => Value::Real(text.trim().parse().ok()?),
        oid::BOOL => Value::Integer(match text.trim().to_ascii_lowercase().as_str() {
            "t" | "true" | "1" | "on" | "yes" => 1,
            "f" | "false" | "0" | "off" | "no" => 0,
            _ => return None,
        }),
        oid::BYTEA => Value::Blob(from_hex(text.strip_prefix("\\x")?)?),
        _ => Value::Text(text.to_owned()),
    })
}

fn decode_binary(kind: u32, bytes: &[u8]) -> Option<Value> {
    Some(match kind {
        oid::INT2 => Value::Integer(i16::from_be_bytes(bytes.try_into().ok()?).into()),
        oid::INT4 => Value::Integer(i32::from_be_bytes(bytes.try_into().ok()?).into()),
        oid::INT8 => Value::Integer(i64::from_be_bytes(bytes.try_into().ok()?)),
        oid::FLOAT4 => Value::Real(f32::from_be_bytes(bytes.try_into().ok()?).into()),
        oid::FLOAT8 => Value::Real(f64::from_be_bytes(bytes.try_into().ok()?)),
        oid::BOOL => Value::Integer(i64::from(*bytes.first()? != 0)),
        oid::BYTEA => Value::Blob(bytes.to_vec()),
        oid::UUID => Value::Text(uuid_text(bytes.try_into().ok()?)),
        oid::TIMESTAMPTZ => Value::Text(clock::format(i64::from_be_bytes(bytes.try_into().ok()?))),
        _ => Value::Text(std::str::from_utf8(bytes).ok()?.to_owned()),
    })
}

/// Encodes a value of a result column. Returns `None` for null.
#[must_use]
pub fn encode(value: &Value, kind: u32, format: Format) -> Option<Vec<u8>> {
    match (value, format) {
        (Value::Null, _) => None,
        (_, Format::Text) => Some(encode_text(value, kind).into_bytes()),
        (_, Format::Binary) => Some(encode_binary(value, kind)),
    }
}

fn encode_text(value: &Value, kind: u32) -> String {
    match value {
        Value::Null => String::new(),
        Value::Integer(integer) if kind == oid::BOOL => bool_text(*integer).to_owned(),
        Value::Integer(integer) => integer.to_string(),
        Value::Real(real) => real.to_string(),
        Value::Text(text) => text.clone(),
        Value::Blob(blob) => {
            let mut text = "\\x".to_owned();
            for byte in blob {
                text.extend(
                    [byte >> 4, byte & 15].map(|digit| char::from(HEX[usize::from(digit)])),
                );
            }
            text
        }
    }
}

const fn bool_text(integer: i64) -> &'static str {
    if integer == 0 { "f" } else { "t" }
}

#[expect(clippy::cast_possible_truncation, reason = "the declared type is narrower")]
fn encode_binary(value: &Value, kind: u32) -> Vec<u8> {
    match kind {
        oid::BOOL => vec![u8::from(integer(value) != 0)],
        oid::INT2 => (integer(value) as i16).to_be_bytes().to_vec(),
        oid::INT4 => (integer(value) as i32).to_be_bytes().to_vec(),
        oid::INT8 => integer(value).to_be_bytes().to_vec(),
        oid::FLOAT4 => (real(value) as f32).to_be_bytes().to_vec(),
        oid::FLOAT8 => real(value).to_be_bytes().to_vec(),
        oid::UUID => uuid_bytes(&encode_text(value, kind)),
        oid::TIMESTAMPTZ => {
            clock::parse(&encode_text(value, kind)).unwrap_or_default().to_be_bytes().to_vec()
        }
        _ => match value {
            Value::Blob(blob) => blob.clone(),
            other => encode_text(other, kind).into_bytes(),
        },
    }
}

#[expect(clippy::cast_possible_truncation, reason = "a column of integers holds integers")]
fn integer(value: &Value) -> i64 {
    match value {
        Value::Integer(integer) => *integer,
        Value::Real(real) => *real as i64,
        Value::Text(text) => text.trim().parse().unwrap_or_default(),
        Value::Null | Value::Blob(_) => 0,
    }
}

#[expect(clippy::cast_precision_loss, reason = "a column of reals holds reals")]
fn real(value: &Value) -> f64 {
    match value {
        Value::Integer(integer) => *integer as f64,
        Value::Real(real) => *real,
        Value::Text(text) => text.trim().parse().unwrap_or_default(),
        Value::Null | Value::Blob(_) => 0.0,
    }
}

fn from_hex(digits: &str) -> Option<Vec<u8>> {
    let pairs = digits.as_bytes().chunks(2);
    pairs.map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()).collect()
}

fn uuid_text(bytes: [u8; 16]) -> String {
    let digits = format!("{:032x}", u128::from_be_bytes(bytes));
    [&digits[..8], &digits[8..12], &digits[12..16], &digits[16..20], &digits[20..]].join("-")
}

fn uuid_bytes(text: &str) -> Vec<u8> {
    let digits: String = text.chars().filter(char::is_ascii_hexdigit).collect();
    u128::from_str_radix(&digits, 16).unwrap_or_default().to_be_bytes().to_vec()
}
