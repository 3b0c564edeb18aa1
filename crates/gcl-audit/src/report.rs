//! Counts completed and refused requests by workspace and result code over a period.

use crate::read::{Entry, Location};
use gcl_core::{
    code::Code,
    id,
    record::{Kind, Line},
};
use indexmap::IndexMap;
use serde::Serialize;

/// Which lines a report covers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// Only this workspace; `None` for all.
    pub workspace: Option<id::Workspace>,
    /// Start of the period, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// End of the period (exclusive), in milliseconds since the Unix epoch; zero for no end.
    pub to_ms: u64,
}

/// The count of one result code in one workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Row {
    /// The workspace.
    pub workspace: id::Workspace,
    /// The result code; `None` for success.
    pub code: Option<u16>,
    /// The code's text; `done` for success.
    pub text: String,
    /// The number of lines.
    pub count: u64,
    /// Time of the first line, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// Time of the last line, in milliseconds since the Unix epoch.
    pub last_ms: u64,
}

/// Counts lines by workspace and result code.
#[derive(Clone, Debug)]
pub struct Counter {
    options: Options,
    rows: IndexMap<(id::Workspace, Option<Code>), Row>,
}

impl Counter {
    /// Creates a counter of the lines that `options` select.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self { options, rows: IndexMap::new() }
    }

    /// Counts a line if it is selected and holds the result of a request or login.
    pub fn add(&mut self, _location: &Location, entry: &Entry) {
        let Entry::Record(sealed) = entry else { return };
        let is_after = self.options.to_ms > 0 && sealed.wall_ms >= self.options.to_ms;
        if is_after || sealed.wall_ms < self.options.from_ms {
            return;
        }
        let Ok(line) = serde_json::from_str::<Line>(&sealed.line) else { return };
        let selected = self.options.workspace.as_ref().is_none_or(|name| *name == line.workspace);
        if selected && matches!(line.kind, Kind::Outcome | Kind::Refusal | Kind::Login) {
            self.count(line, sealed.wall_ms);
        }
    }

    fn count(&mut self, line: Line, wall_ms: u64) {
        let row = self.rows.entry((line.workspace.clone(), line.code)).or_insert_with(|| Row {
            workspace: line.workspace,
            code: line.code.map(Code::number),
            text: line.code.map_or_else(|| "done".into(), |code| code.text().trim().into()),
            count: 0,
            first_ms: wall_ms,
            last_ms: wall_ms,
        });
        row.count += 1;
        row.first_ms = row.first_ms.min(wall_ms);
        row.last_ms = row.last_ms.max(wall_ms);
    }

    /// Returns the rows, sorted by workspace and code.
    #[must_use]
    pub fn finish(self) -> Vec<Row> {
        let mut rows: Vec<Row> = self.rows.into_values().collect();
        rows.sort_by(|a, b| (&a.workspace, a.code).cmp(&(&b.workspace, b.code)));
        rows
    }
}
