//! What was refused, to whom and why, over a stretch of time.

use crate::read::{Entry, Place};
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
    /// The workspace, or all.
    pub workspace: Option<id::Workspace>,
    /// First millisecond since the Unix epoch.
    pub from_ms: u64,
    /// The millisecond after the last, zero for no end.
    pub to_ms: u64,
}

/// A count of one kind of outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Row {
    /// The workspace.
    pub workspace: id::Workspace,
    /// The result, none for success.
    pub code: Option<u16>,
    /// The code's text, or `done`.
    pub text: String,
    /// How often.
    pub count: u64,
    /// The first time, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// The last time, in milliseconds since the Unix epoch.
    pub last_ms: u64,
}

/// Counts outcomes.
#[derive(Clone, Debug)]
pub struct Counter {
    options: Options,
    rows: IndexMap<(id::Workspace, Option<Code>), Row>,
}

impl Counter {
    /// A counter of what `options` select.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self { options, rows: IndexMap::new() }
    }

    /// Looks at one line.
    pub fn line(&mut self, _place: &Place, entry: &Entry) {
        let Entry::Record(sealed) = entry else { return };
        let ended = self.options.to_ms > 0 && sealed.wall_ms >= self.options.to_ms;
        if ended || sealed.wall_ms < self.options.from_ms {
            return;
        }
        let Ok(line) = serde_json::from_str::<Line>(&sealed.line) else { return };
        let wanted = self.options.workspace.as_ref().is_none_or(|name| *name == line.workspace);
        if wanted && matches!(line.kind, Kind::Outcome | Kind::Refusal | Kind::Login) {
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

    /// The rows, by workspace and code.
    #[must_use]
    pub fn finish(self) -> Vec<Row> {
        let mut rows: Vec<Row> = self.rows.into_values().collect();
        rows.sort_by(|a, b| (&a.workspace, a.code).cmp(&(&b.workspace, b.code)));
        rows
    }
}
