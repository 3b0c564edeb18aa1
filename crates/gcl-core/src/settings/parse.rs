//! Parses settings from JSON with comments and reports the position of each fault.

use super::{
    Settings, check,
    schema::{Field, SETTINGS, Shape},
};
use crate::jsonc::parse_options;
use indexmap::IndexMap;
use jsonc_parser::{
    CollectOptions,
    ast::{Object, Value},
    common::Ranged as _,
    parse_to_ast, parse_to_serde_value,
};
use std::net::SocketAddr;

/// Longest name in bytes.
const NAME_BYTES: usize = 63;
/// Scheme of the store's URL.
const SCHEME: &str = "http://";

/// A fault in the settings.
pub use crate::jsonc::Fault as Problem;

/// The settings, or every fault that was found.
pub type Result<T> = std::result::Result<T, Vec<Problem>>;

/// How fields that are not in the schema are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strictness {
    /// Unknown fields are faults.
    Strict,
    /// Unknown fields are ignored: another program writes the file and may add more of them.
    Lenient,
}

/// Parses settings from JSON with comments.
///
/// # Errors
/// Every fault with its line and column, in the order of the text.
pub fn parse(text: &str) -> Result<Settings> {
    let mut validator = check_fields(text, SETTINGS, Strictness::Strict)?;
    validator.finish()?;
    let settings = parse_to_serde_value(text, &parse_options());
    let settings: Settings = settings.map_err(|error| vec![Problem::syntax(text, &error)])?;
    for (path, detail) in check::check(&settings) {
        validator.fault(validator.offset_of(&path), detail);
    }
    validator.finish()?;
    Ok(settings)
}

/// Validates a text against a schema.
///
/// # Errors
/// Every fault with its line and column, in the order of the text.
pub fn validate(text: &str, fields: &'static [Field], strictness: Strictness) -> Result<()> {
    check_fields(text, fields, strictness)?.finish()
}

fn check_fields<'a>(
    text: &'a str,
    fields: &'static [Field],
    strictness: Strictness,
) -> Result<Validator<'a>> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &parse_options());
    let value = parsed.map_err(|error| vec![Problem::syntax(text, &error)])?.value;
    let mut validator =
        Validator { text, strictness, problems: Vec::new(), offsets: IndexMap::new() };
    match &value {
        Some(Value::Object(object)) => validator.object("", object, fields),
        Some(other) => validator.fault(other.start(), "the settings are an object".to_owned()),
        None => validator.fault(0, "the settings are empty".to_owned()),
    }
    Ok(validator)
}

/// Validates a syntax tree against the schema.
struct Validator<'a> {
    text: &'a str,
    strictness: Strictness,
    /// Byte offsets and texts of the faults.
    problems: Vec<(usize, String)>,
    /// Byte offsets of the fields that were found, by path.
    offsets: IndexMap<String, usize>,
}

impl Validator<'_> {
    /// Byte offset of a field, or of the object that would contain it.
    fn offset_of(&self, path: &str) -> usize {
        let object = path.rsplit_once('.').map(|(object, _)| object);
        let offset = self.offsets.get(path).or_else(|| self.offsets.get(object?));
        offset.copied().unwrap_or(0)
    }

    fn fault(&mut self, at: usize, detail: String) {
        self.problems.push((at, detail));
    }

    /// Fails with the faults found so far, in the order of the text.
    fn finish(&mut self) -> Result<()> {
        self.problems.sort_by_key(|(at, _)| *at);
        if self.problems.is_empty() {
            return Ok(());
        }
        Err(self
            .problems
            .iter()
            .map(|(at, detail)| Problem::at(self.text, *at, detail.into()))
            .collect())
    }

    fn object(&mut self, prefix: &str, object: &Object<'_>, fields: &'static [Field]) {
        let mut seen: Vec<&str> = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let path = format!("{prefix}{name}");
            let at = property.range.start;
            if seen.contains(&name) {
                self.fault(at, format!("{path} is given twice"));
                continue;
            }
            seen.push(name);
            match fields.iter().find(|field| field.name == name) {
                Some(field) => self.field(path, &property.value, field),
                None if self.strictness == Strictness::Lenient => {}
                None => self.fault(at, format!("{path} is not a setting")),
            }
        }
        for field in fields.iter().filter(|field| field.required && !seen.contains(&field.name)) {
            self.fault(object.range.start, format!("{prefix}{} is missing", field.name));
        }
    }

    fn field(&mut self, path: String, value: &Value<'_>, field: &'static Field) {
        let at = value.start();
        match (&field.shape, value) {
            (_, Value::NullKeyword(_)) if !field.required && nullable(&field.shape) => {}
            (Shape::Object(fields), Value::Object(object)) => {
                self.object(&format!("{path}."), object, fields);
            }
            (Shape::List(fields), Value::Array(array)) => {
                for (index, element) in array.elements.iter().enumerate() {
                    let path = format!("{path}[{index}]");
                    match element {
                        Value::Object(object) => self.object(&format!("{path}."), object, fields),
                        other => self.fault(other.start(), format!("{path} is an object")),
                    }
                    self.offsets.insert(path, element.start());
                }
            }
            (shape, value) => {
                if let Err(expected) = check_scalar(shape, value) {
                    self.fault(at, format!("{path} is {expected}"));
                }
            }
        }
        self.offsets.insert(path, at);
    }
}

/// Whether `null` is accepted for an optional field of this type, as if the field were absent.
const fn nullable(shape: &Shape) -> bool {
    matches!(shape, Shape::Address | Shape::Path | Shape::Object(_))
}

/// Checks a single value; the error describes what is expected.
fn check_scalar(shape: &Shape, value: &Value<'_>) -> std::result::Result<(), String> {
    let text = value.as_string_lit().map(|text| text.value.as_ref());
    let (good, expected) = match shape {
        Shape::Name => (text.is_some_and(is_name), EXPECTED_NAME.to_owned()),
        Shape::Path => (text.is_some_and(|text| !text.is_empty()), "a path".to_owned()),
        Shape::Address => (text.is_some_and(is_address), "an \"ip:port\"".to_owned()),
        Shape::Url => (text.is_some_and(is_url), "a URL like \"http://ip:port\"".to_owned()),
        Shape::Flag => (value.as_boolean_lit().is_some(), "true or false".to_owned()),
        Shape::Decimal { unit, max } => {
            let number = value.as_number_lit().and_then(|number| number.value.parse().ok());
            let good = number.is_some_and(|number: f64| (0.0..=f64::from(*max)).contains(&number));
            (good, format!("a number from 0 to {max}{}", with_space(unit)))
        }
        Shape::Names => (names(value), "an object whose values are names".to_owned()),
        Shape::Ports => (ports(value), "a list of the first and the last port".to_owned()),
        Shape::Object(_) => (false, "an object".to_owned()),
        Shape::List(_) => (false, "a list".to_owned()),
        Shape::Number { unit, range } => {
            let number = value.as_number_lit().and_then(|number| number.value.parse().ok());
            let good = number.is_some_and(|number: u64| range.contains(&number));
            let (min, max) = (range.start(), range.end());
            (good, format!("a whole number from {min} to {max}{}", with_space(unit)))
        }
    };
    if good { Ok(()) } else { Err(expected) }
}

fn with_space(unit: &str) -> String {
    if unit.is_empty() { String::new() } else { format!(" {unit}") }
}

fn names(value: &Value<'_>) -> bool {
    let name = |value: &Value<'_>| value.as_string_lit().is_some_and(|text| is_name(&text.value));
    let object = value.as_object();
    object.is_some_and(|object| object.properties.iter().all(|entry| name(&entry.value)))
}

fn ports(value: &Value<'_>) -> bool {
    let port = |value: &Value<'_>| value.as_number_lit()?.value.parse::<u16>().ok();
    let ports = value.as_array().map(|array| array.elements.iter().map(port));
    let ports: Option<Vec<u16>> = ports.and_then(Iterator::collect);
    ports.is_some_and(|ports| matches!(*ports, [first, last] if first <= last))
}

/// What is expected of a name.
const EXPECTED_NAME: &str = "a name of 1 to 63 letters, digits, dots, hyphens and underscores";

fn is_name(text: &str) -> bool {
    let good = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'-' | b'_');
    (1..=NAME_BYTES).contains(&text.len()) && text.bytes().all(good)
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok()
}

fn is_url(text: &str) -> bool {
    let rest = text.strip_prefix(SCHEME).map(|rest| rest.trim_end_matches('/'));
    rest.is_some_and(|rest| !rest.is_empty() && !rest.contains(['/', ' ', '?', '#', '@']))
}
