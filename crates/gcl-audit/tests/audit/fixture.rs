//! Fixture: builds records.

use gcl_audit::read;
use gcl_core::record::{
    Kind, Line,
    chain::{Head, Sealed},
};

/// A record of a daemon, as lines of its log.
#[derive(Debug)]
pub struct Record {
    pub head: Head,
    pub lines: Vec<String>,
}

impl Record {
    pub fn new(daemon: &str) -> Self {
        Self { head: Head::new(daemon.into(), 7), lines: Vec::new() }
    }

    pub fn line(&mut self, wall_ms: u64, line: &Line) {
        let text = serde_json::to_string(line).expect("a line serialises to JSON");
        let sealed = self.head.seal(wall_ms, text);
        self.lines.push(log(&sealed));
    }

    /// Builds a record of `count` outcomes.
    pub fn of(daemon: &str, count: u64) -> Self {
        let mut record = Self::new(daemon);
        for number in 0..count {
            let reason = compact_str::format_compact!("outcome {number}");
            record.line(1_000 + number, &Line { reason, ..Line::new(Kind::Outcome) });
        }
        record
    }
}

/// Formats a sealed line as the daemon's log does.
pub fn log(sealed: &Sealed) -> String {
    let mut value = serde_json::to_value(sealed).expect("a sealed line serialises to JSON");
    value["target"] = "record".into();
    value["level"] = "INFO".into();
    value.to_string()
}

/// Reads the lines of the record from one log file.
pub fn read_all(lines: &[String], each: impl FnMut(&read::Location, read::Entry)) {
    let text = lines.join("\n");
    read::read("log", text.as_bytes(), each).expect("reading from memory succeeds");
}
