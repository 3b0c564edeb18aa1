//! Lines of the record within a log.

use gcl_core::record::chain::Sealed;
use serde::Deserialize;
use std::{
    fmt,
    io::{self, BufRead},
};

/// Target that marks lines of the record in the log.
const TARGET: &str = "record";
/// Longest line of a log, in bytes.
const LINE_BYTES: u64 = 4 << 20;

/// Where a line stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The file.
    pub file: String,
    /// The line in the file, from one.
    pub number: u64,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.number)
    }
}

/// A line of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// A line of the record.
    Record(Box<Sealed>),
    /// A line that claims to belong to the record but cannot be read.
    Damaged(String),
}

/// Why a log could not be read.
#[derive(Debug)]
pub struct Error {
    /// Where reading stopped.
    pub place: Place,
    /// What the file reported.
    pub source: io::Error,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.source)
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

/// Reads a log line by line and hands on the lines of the record; gives the bytes read.
///
/// # Errors
/// The file cannot be read on.
pub fn read(file: &str, log: impl BufRead, mut each: impl FnMut(&Place, Entry)) -> Result<u64> {
    lines(file, log, |place, line| {
        if let Some(entry) = entry(line) {
            each(place, entry);
        }
    })
}

/// Reads a log line by line, in memory of a bounded size; gives the bytes read.
///
/// # Errors
/// The file cannot be read on.
pub fn lines(
    file: &str,
    mut log: impl BufRead,
    mut each: impl FnMut(&Place, &[u8]),
) -> Result<u64> {
    let mut place = Place { file: file.to_owned(), number: 0 };
    let (mut line, mut bytes) = (Vec::new(), 0);
    loop {
        place.number += 1;
        line.clear();
        let read = io::Read::take(&mut log, LINE_BYTES).read_until(b'\n', &mut line);
        match read {
            Ok(0) => return Ok(bytes),
            Ok(count) => bytes += count as u64,
            Err(source) => return Err(Error { place, source }),
        }
        each(&place, &line);
    }
}

/// The line of the record in a line of a log, if it is one.
#[must_use]
pub fn entry(line: &[u8]) -> Option<Entry> {
    match serde_json::from_slice::<Target<'_>>(line) {
        Ok(Target { target: Some(target) }) if target == TARGET => {}
        Ok(_) => return None,
        Err(error) => return damaged(line, &error),
    }
    match serde_json::from_slice::<Sealed>(line) {
        Ok(sealed) => Some(Entry::Record(Box::new(sealed))),
        Err(error) => Some(Entry::Damaged(error.to_string())),
    }
}

/// A line that is no JSON but names the record's target was one of its lines.
fn damaged(line: &[u8], error: &serde_json::Error) -> Option<Entry> {
    let text = String::from_utf8_lossy(line);
    text.contains("\"target\":\"record\"").then(|| Entry::Damaged(error.to_string()))
}
