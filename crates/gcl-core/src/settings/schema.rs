//! The fields of the settings, each with its kind and range.

use std::ops::RangeInclusive;

/// The type of a field's value.
#[derive(Clone, Debug)]
pub enum Shape {
    /// A name of letters, digits, dots, hyphens and underscores.
    Name,
    /// The path of a file.
    Path,
    /// An IP address and port.
    Address,
    /// The base URL of the store.
    Url,
    /// A boolean.
    Flag,
    /// A non-negative number in a unit, which may have a fraction.
    Decimal {
        /// The unit, empty for a ratio or a count.
        unit: &'static str,
        /// The largest value accepted.
        max: u32,
    },
    /// An object whose values are names.
    Names,
    /// The first and the last port of a range.
    Ports,
    /// A whole number in a unit.
    Number {
        /// The unit, empty for a count.
        unit: &'static str,
        /// The values accepted.
        range: RangeInclusive<u64>,
    },
    /// An object with fields of its own.
    Object(&'static [Field]),
    /// A list of objects.
    List(&'static [Field]),
}

/// A field of an object.
#[derive(Clone, Debug)]
pub struct Field {
    /// Its name.
    pub name: &'static str,
    /// The type of its value.
    pub shape: Shape,
    /// Whether it is required.
    pub required: bool,
}

/// A required field.
#[must_use]
pub const fn required(name: &'static str, shape: Shape) -> Field {
    Field { name, shape, required: true }
}

/// An optional field.
#[must_use]
pub const fn optional(name: &'static str, shape: Shape) -> Field {
    Field { name, shape, required: false }
}

const fn count(name: &'static str, max: u64) -> Field {
    optional(name, Shape::Number { unit: "", range: 1..=max })
}

const fn bytes(name: &'static str, min: u64, max: u64) -> Field {
    optional(name, Shape::Number { unit: "bytes", range: min..=max })
}

const fn time(name: &'static str, min: u64, max: u64) -> Field {
    optional(name, Shape::Number { unit: "ms", range: min..=max })
}

/// Milliseconds of a minute.
const MINUTE: u64 = 60_000;
/// Milliseconds of an hour.
const HOUR: u64 = 60 * MINUTE;
/// Bytes of a mebibyte.
const MEBIBYTE: u64 = 1 << 20;

const LISTEN: &[Field] = &[
    required("caller", Shape::Address),
    required("peer", Shape::Address),
    required("operator", Shape::Address),
];

const TLS: &[Field] = &[
    required("certificate", Shape::Path),
    required("key", Shape::Path),
    optional("authority", Shape::Path),
];

const SEED: &[Field] = &[
    required("daemon", Shape::Name),
    required("domain", Shape::Name),
    required("address", Shape::Address),
];

const BOUNDS: &[Field] = &[
    count("connections", 200_000),
    count("connections_per_address", 200_000),
    count("half_open", 200_000),
    bytes("message_bytes", 1 << 10, 256 * MEBIBYTE),
    bytes("answer_bytes", 1 << 10, 1024 * MEBIBYTE),
    time("login_ms", 10, 10 * MINUTE),
    time("read_ms", 10, 10 * MINUTE),
    time("write_ms", 10, 10 * MINUTE),
    time("idle_ms", 10, 168 * HOUR),
    time("transaction_idle_ms", 10, 24 * HOUR),
    time("request_ms", 10, 24 * HOUR),
    time("drain_ms", 10, HOUR),
    count("queue", 100_000),
    time("freshness_ms", 100, HOUR),
];

/// The fields of the settings.
pub const SETTINGS: &[Field] = &[
    required("daemon", Shape::Name),
    required("domain", Shape::Name),
    required("region", Shape::Name),
    required("listen", Shape::Object(LISTEN)),
    optional("advertise", Shape::Address),
    required("store", Shape::Url),
    optional("seeds", Shape::List(SEED)),
    optional("bounds", Shape::Object(BOUNDS)),
    optional("caller_tls", Shape::Object(TLS)),
    optional("peer_tls", Shape::Object(TLS)),
    optional("operator_tls", Shape::Object(TLS)),
    optional("plain_caller", Shape::Flag),
    optional("plain_operator", Shape::Flag),
];

/// Every field by its path, such as `bounds.idle_ms` or `seeds[].daemon`.
#[must_use]
pub fn paths() -> Vec<(String, &'static Field)> {
    let mut list = Vec::new();
    collect("", SETTINGS, &mut list);
    list
}

fn collect(prefix: &str, fields: &'static [Field], list: &mut Vec<(String, &'static Field)>) {
    for field in fields {
        let path = format!("{prefix}{}", field.name);
        list.push((path.clone(), field));
        match field.shape {
            Shape::Object(inner) => collect(&format!("{path}."), inner, list),
            Shape::List(inner) => collect(&format!("{path}[]."), inner, list),
            _ => {}
        }
    }
}
