//! Finds the lines of the record about one request.

use crate::read::{Entry, Location};
use gcl_core::record::Line;
use serde::Serialize;

/// A line about the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Step {
    /// File and line number.
    pub place: String,
    /// The daemon that wrote it.
    pub daemon: String,
    /// Time on that daemon's VM, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// The line's content.
    pub line: Line,
}

/// Collects the lines about one request.
#[derive(Clone, Debug)]
pub struct Search {
    request: String,
    steps: Vec<Step>,
}

impl Search {
    /// Creates a search for a request by its hexadecimal id, with or without leading zeros and `0x`.
    #[must_use]
    pub fn new(request: &str) -> Self {
        let request = request.trim_start_matches("0x").to_ascii_lowercase();
        Self { request: format!("{request:0>32}"), steps: Vec::new() }
    }

    /// Adds a line if it is about the request.
    pub fn add(&mut self, location: &Location, entry: &Entry) {
        let Entry::Record(sealed) = entry else { return };
        if !sealed.line.contains(&self.request) {
            return;
        }
        let Ok(line) = serde_json::from_str::<Line>(&sealed.line) else { return };
        if line.request == self.request {
            let step = Step {
                place: location.to_string(),
                daemon: sealed.daemon.to_string(),
                wall_ms: sealed.wall_ms,
                line,
            };
            self.steps.push(step);
        }
    }

    /// Returns the lines found, sorted by time and daemon.
    #[must_use]
    pub fn finish(mut self) -> Vec<Step> {
        self.steps.sort_by(|a, b| (a.wall_ms, &a.daemon).cmp(&(b.wall_ms, &b.daemon)));
        self.steps
    }
}
