//! Reads the lines of the record from a log.

use gcl_core::record::chain::Sealed;
use serde::Deserialize;
use std::{
    fmt,
    io::{self, BufRead},
};

/// Log target of the record's lines.
const TARGET: &str = "record";
/// Maximum length of a log line; longer lines are read in pieces.
const LINE_BYTES: u64 = 4 << 20;

/// Position of a line in the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The file's path.
    pub file: String,
    /// The line number, starting at one.
    pub number: u64,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.number)
    }
}

/// A log line that belongs to the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// A line of the record that was parsed.
    Record(Box<Sealed>),
    /// A line that has the record's target but cannot be parsed; holds the parser's error.
    Damaged(String),
}

/// Why a log could not be read.
#[derive(Debug)]
pub struct Error {
    /// Where reading stopped.
    pub location: Location,
    /// The underlying error.
    pub source: io::Error,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.source)
    }
}

impl std::error::Error for Error {}

/// The result of reading a log.
pub type Result<T> = std::result::Result<T, Error>;

#[derive(Deserialize)]
struct Target<'a> {
    #[serde(default, borrow)]
    target: Option<std::borrow::Cow<'a, str>>,
}

/// Calls `handle` for each line of the record in a log; returns the number of bytes read.
///
/// # Errors
/// Reading fails.
pub fn read(
    file: &str,
    log: impl BufRead,
    mut handle: impl FnMut(&Location, Entry),
) -> Result<u64> {
    lines(file, log, |location, line| {
        if let Some(entry) = entry(line) {
            handle(location, entry);
        }
    })
}

/// Calls `handle` for each line of a log, in bounded memory; returns the number of bytes read.
///
/// # Errors
/// Reading fails.
pub fn lines(
    file: &str,
    mut log: impl BufRead,
    mut handle: impl FnMut(&Location, &[u8]),
) -> Result<u64> {
    let mut location = Location { file: file.to_owned(), number: 0 };
    let (mut line, mut bytes) = (Vec::new(), 0);
    loop {
        location.number += 1;
        line.clear();
        let read = io::Read::take(&mut log, LINE_BYTES).read_until(b'\n', &mut line);
        match read {
            Ok(0) => return Ok(bytes),
            Ok(count) => bytes += count as u64,
            Err(source) => return Err(Error { location, source }),
        }
        handle(&location, &line);
    }
}

/// Parses a log line; `None` if it does not belong to the record.
#[must_use]
pub fn entry(line: &[u8]) -> Option<Entry> {
    match serde_json::from_slice::<Target<'_>>(line) {
        Ok(Target { target: Some(target) }) if target == TARGET => {}
        Ok(_) => return None,
        Err(error) => return damaged_entry(line, &error),
    }
    match serde_json::from_slice::<Sealed>(line) {
        Ok(sealed) => Some(Entry::Record(Box::new(sealed))),
        Err(error) => Some(Entry::Damaged(error.to_string())),
    }
}

/// Classifies a log line that is not valid JSON: it counts as a damaged line of the record if it
/// contains the record's target.
fn damaged_entry(line: &[u8], error: &serde_json::Error) -> Option<Entry> {
    let text = String::from_utf8_lossy(line);
    text.contains("\"target\":\"record\"").then(|| Entry::Damaged(error.to_string()))
}
