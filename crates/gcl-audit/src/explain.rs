//! What happened to one request.

use crate::read::{Entry, Place};
use gcl_core::record::Line;
use serde::Serialize;

/// A line about the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Step {
    /// Where the line stands.
    pub place: String,
    /// The daemon that wrote it.
    pub daemon: String,
    /// Wall-clock milliseconds since the Unix epoch, on that daemon's VM.
    pub wall_ms: u64,
    /// The line.
    pub line: Line,
}

/// Gathers the lines about one request.
#[derive(Clone, Debug)]
pub struct Search {
    request: String,
    steps: Vec<Step>,
}

impl Search {
    /// Searches for a request by its hexadecimal id.
    #[must_use]
    pub fn new(request: &str) -> Self {
        let request = request.trim_start_matches("0x").to_ascii_lowercase();
        Self { request: format!("{request:0>32}"), steps: Vec::new() }
    }

    /// Looks at one line.
    pub fn line(&mut self, place: &Place, entry: &Entry) {
        let Entry::Record(sealed) = entry else { return };
        if !sealed.line.contains(&self.request) {
            return;
        }
        let Ok(line) = serde_json::from_str::<Line>(&sealed.line) else { return };
        if line.request == self.request {
            let step = Step {
                place: place.to_string(),
                daemon: sealed.daemon.to_string(),
                wall_ms: sealed.wall_ms,
                line,
            };
            self.steps.push(step);
        }
    }

    /// The lines found, by time and daemon.
    #[must_use]
    pub fn finish(mut self) -> Vec<Step> {
        self.steps.sort_by(|a, b| (a.wall_ms, &a.daemon).cmp(&(b.wall_ms, &b.daemon)));
        self.steps
    }
}
