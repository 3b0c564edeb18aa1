//! Parses operators' object files: a JSON list with comments. Each fault has its line and column.

use super::{
    object::Object,
    snapshot::{Snapshot, store_key},
    validate,
};
use crate::{id, jsonc::parse_options, operation::api::Item};
use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use jsonc_parser::{
    CollectOptions,
    ast::{self, ObjectProp, Value},
    common::Ranged,
    parse_to_ast, parse_to_serde_value,
};

pub use crate::jsonc::Fault;

/// The contents of a file, or every fault found in it.
pub type Result<T> = std::result::Result<T, Vec<Fault>>;

/// Parses a list of objects, each bare or in the listed form `{"revision": N, "object": {..}}`.
///
/// # Errors
/// Every syntax error, invalid value and duplicate, in the order of the file.
pub fn parse(text: &str) -> Result<Vec<Item>> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &parse_options())
        .map_err(|error| vec![Fault::syntax(text, &error)])?;
    let Some(Value::Array(list)) = parsed.value else {
        return Err(vec![Fault::at(text, 0, "expected a list of objects".into())]);
    };
    let mut reader = Reader { text, seen: IndexMap::new(), faults: Vec::new() };
    let items: Vec<Item> =
        list.elements.iter().filter_map(|element| reader.item(element)).collect();
    if reader.faults.is_empty() { Ok(items) } else { Err(reader.faults) }
}

/// Parses a file that holds a whole configuration, and validates its references.
///
/// # Errors
/// Every fault, as for [`parse`]; a dangling reference is reported at the object that contains it.
pub fn parse_snapshot(text: &str) -> Result<Snapshot> {
    let items = parse(text)?;
    let mut snapshot = Snapshot::default();
    for (revision, item) in (1..).zip(items) {
        snapshot.put(revision, item.object);
        snapshot.revision = revision;
    }
    snapshot.rebuild_indexes();
    let problems = validate::snapshot(&snapshot);
    if problems.is_empty() {
        return Ok(snapshot);
    }
    let mut offsets = object_offsets(text);
    let faults = problems.into_iter().map(|problem| {
        let start = offsets.get_mut(&problem.key).map_or(0, |start| *start);
        Fault::at(text, start, format_compact!("{}: {}", problem.key, problem.fault.detail))
    });
    Err(faults.collect())
}

/// Byte offsets of the objects of a well-formed file, by store key.
fn object_offsets(text: &str) -> IndexMap<CompactString, usize> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &parse_options()).ok();
    let list = parsed.and_then(|parsed| parsed.value);
    let mut reader = Reader { text, seen: IndexMap::new(), faults: Vec::new() };
    if let Some(Value::Array(list)) = &list {
        list.elements.iter().for_each(|element| drop(reader.item(element)));
    }
    reader.seen
}

struct Reader<'a> {
    text: &'a str,
    seen: IndexMap<CompactString, usize>,
    faults: Vec<Fault>,
}

impl Reader<'_> {
    fn item(&mut self, element: &Value<'_>) -> Option<Item> {
        let Value::Object(fields) = element else {
            self.fault(element.start(), "expected an object".into());
            return None;
        };
        let item = match fields.get("object") {
            Some(ObjectProp { value: Value::Object(inner), .. }) => {
                let revision = self.revision(fields)?;
                Item { object: self.object(inner)?, revision: Some(revision) }
            }
            _ => Item { object: self.object(fields)?, revision: None },
        };
        let key = store_key(&item.object);
        for problem in validate::object(&item.object) {
            self.fault(element.start(), format_compact!("{key}: {}", problem.fault.detail));
        }
        if self.seen.insert(key.clone(), element.start()).is_some() {
            self.fault(element.start(), format_compact!("{key} occurs twice"));
        }
        Some(item)
    }

    fn revision(&mut self, fields: &ast::Object<'_>) -> Option<id::Revision> {
        for field in &fields.properties {
            if !matches!(field.name.as_str(), "object" | "revision") {
                let detail = format_compact!("unknown field `{}`", field.name.as_str());
                self.fault(field.range.start, detail);
                return None;
            }
        }
        let field = fields.get("revision").map(|field| field.value.range());
        let text = field.map_or("", |range| &self.text[range.start..range.end]);
        let revision = text.parse().ok();
        if revision.is_none() {
            self.fault(fields.range.start, "expected a revision beside the object".into());
        }
        revision
    }

    fn object(&mut self, fields: &ast::Object<'_>) -> Option<Object> {
        match parse_object(self.text, fields, None) {
            Ok(object) => Some(object),
            Err(detail) => {
                let faulty_field = faulty_field(self.text, fields, &detail);
                self.fault(faulty_field.unwrap_or(fields.range.start), detail);
                None
            }
        }
    }

    fn fault(&mut self, start: usize, detail: CompactString) {
        self.faults.push(Fault::at(self.text, start, detail));
    }
}

/// Parses an object, leaving out the field `without` if given.
fn parse_object(
    text: &str,
    fields: &ast::Object<'_>,
    without: Option<&str>,
) -> std::result::Result<Object, CompactString> {
    let source = &text[fields.range.start..fields.range.end];
    let mut value: serde_json::Value = parse_to_serde_value(source, &parse_options())
        .map_err(|error| format_compact!("{}", error.kind()))?;
    if let (Some(name), Some(map)) = (without, value.as_object_mut()) {
        map.remove(name);
    }
    serde_json::from_value(value).map_err(|error| format_compact!("{error}"))
}

/// Byte offset of the field that causes a fault: without it the object has another fault, or none.
/// Without its kind an object always has another fault, so the kind is reported only if it is
/// unknown.
fn faulty_field(text: &str, fields: &ast::Object<'_>, detail: &str) -> Option<usize> {
    if detail.starts_with("missing field") {
        return None;
    }
    let unknown_kind = detail.starts_with("unknown variant");
    let mut candidates =
        fields.properties.iter().filter(|field| (field.name.as_str() == "kind") == unknown_kind);
    let found = candidates.find(|field| {
        let rest = parse_object(text, fields, Some(field.name.as_str()));
        rest.err().is_none_or(|other| other != detail)
    });
    found.map(|field| field.range.start)
}
