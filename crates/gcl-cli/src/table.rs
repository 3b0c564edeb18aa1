//! Formats answers of a daemon as text tables.

use gcl_core::{
    config::snapshot::{Versioned, kind_and_name, labels},
    operation::api::{History, Listing, Moves, Outcome, Overview, Report, Status, Wait},
};
use std::fmt::Write as _;

/// A table with a header row.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a header and no rows.
    pub fn new(head: &[&str]) -> Self {
        Self { rows: vec![head.iter().map(|cell| (*cell).to_owned()).collect()] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Renders the table with aligned columns.
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
            let line = cells.collect::<Vec<_>>().join("  ");
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{}", line.trim_end());
        }
        text
    }
}

/// Formats a list of objects.
pub fn listing(listing: &Listing) -> String {
    let mut table = Table::new(&["KIND", "NAME", "REVISION", "LABELS", "OBJECT"]);
    for Versioned { revision, value } in &listing.objects {
        let (kind, name) = kind_and_name(value);
        let labels = labels(value).iter().map(|(label, value)| format!("{label}={value}"));
        let labels = labels.collect::<Vec<_>>().join(",");
        let object = fields(value);
        table.row(vec![kind.to_owned(), name.to_owned(), revision.to_string(), labels, object]);
    }
    format!("{}revision {}\n", table.render(), listing.revision)
}

/// Formats the fields of an object that have no column of their own.
fn fields(object: &gcl_core::config::object::Object) -> String {
    let Ok(serde_json::Value::Object(fields)) = serde_json::to_value(object) else {
        return String::new();
    };
    let in_columns = ["kind", "name", "labels", "hash"];
    let fields = fields
        .iter()
        .filter(|(name, value)| !in_columns.contains(&name.as_str()) && !value.is_null());
    fields.map(|(name, value)| format!("{name}={value}")).collect::<Vec<_>>().join(" ")
}

/// Formats the outcome of a change.
pub fn report(report: &Report) -> String {
    let mut table = Table::new(&["OBJECT", "STATUS", "REVISION", "CODE"]);
    for Outcome { key, status, revision, code, .. } in &report.results {
        let status = format!("{status:?}").to_lowercase();
        let code = code.map(|code| format!("G{code}")).unwrap_or_default();
        let key = key.strip_prefix("gcl/config/").unwrap_or(key).to_owned();
        table.row(vec![key, status, revision.to_string(), code]);
    }
    let mut text = table.render();
    for Outcome { key, ours, theirs, status, .. } in &report.results {
        if *status == Status::Conflict {
            let _ = writeln!(text, "{key}\n  asked for: {}", json(ours.as_ref()));
            let _ = writeln!(text, "  in force:  {}", json(theirs.as_ref()));
        }
    }
    for moved in &report.moved {
        let _ = writeln!(
            text,
            "service {} workspace {}: of {} route keys tried, {} would move and {} would take no \
             writes",
            moved.service, moved.workspace, moved.sampled, moved.moved, moved.closed
        );
    }
    if let Some(refusal) = &report.refusal {
        let _ = writeln!(text, "apply would be refused: {refusal}");
    }
    let _ = writeln!(text, "change {}", report.change);
    text
}

fn json<T: serde::Serialize>(value: Option<&T>) -> String {
    value
        .map_or_else(|| "none".to_owned(), |value| serde_json::to_string(value).unwrap_or_default())
}

/// Formats the changes in a daemon's history.
pub fn history(history: &History) -> String {
    let mut table = Table::new(&["REVISION", "OBJECT", "CHANGE", "OPERATOR", ""]);
    for event in &history.events {
        let removed = if event.removed { "removed" } else { "" };
        let key = event.key.strip_prefix("gcl/config/").unwrap_or(&event.key).to_owned();
        table.row(vec![
            event.revision.to_string(),
            key,
            event.change.to_string(),
            event.operator.to_string(),
            removed.to_owned(),
        ]);
    }
    format!("{}every change after revision {}\n", table.render(), history.since)
}

/// Formats the state of a daemon.
pub fn overview(overview: &Overview) -> String {
    let age =
        |age: Option<u64>| age.map_or_else(|| "never".to_owned(), |age| format!("{age} ms ago"));
    let role = match (&overview.parent, overview.relay) {
        (_, true) => "follows the store".to_owned(),
        (Some(parent), _) => format!("asks {parent}"),
        (None, _) => "asks nobody yet".to_owned(),
    };
    let mut text = format!(
        "daemon    {} in {}{}\nrevision  {} (last change {})\nconfirmed {} (by the store itself: \
         {})\nspread    {role}\n\n",
        overview.daemon,
        overview.domain,
        if overview.draining { ", draining" } else { "" },
        overview.revision,
        overview.applied,
        age(overview.age_ms),
        age(overview.direct_age_ms),
    );
    let mut members = Table::new(&["MEMBER", "DOMAIN", "ALIVE", "REVISION"]);
    for member in &overview.members {
        let revision = member.revision.map_or_else(|| "?".to_owned(), |held| held.to_string());
        members.row(vec![
            member.daemon.to_string(),
            member.domain.to_string(),
            member.alive.to_string(),
            revision,
        ]);
    }
    let mut homes = Table::new(&["SERVER", "DATABASE", "HOME", "ROLE"]);
    for home in &overview.homes {
        let daemon = home.daemon.as_ref().map(ToString::to_string).unwrap_or_default();
        let role = if home.primary { "primary" } else { "" }.to_owned();
        homes.row(vec![home.server.to_string(), home.database.to_string(), daemon, role]);
    }
    text.push_str(&members.render());
    text.push('\n');
    text.push_str(&homes.render());
    text
}

/// Formats whether a revision is in force everywhere, else the daemons where it is not.
pub fn wait(wait: &Wait) -> String {
    if wait.in_force {
        return format!("revision {} is in force everywhere\n", wait.revision);
    }
    let mut table = Table::new(&["NOT YET IN", "HOLDS"]);
    for behind in &wait.behind {
        let held = behind.revision.map_or_else(|| "?".to_owned(), |held| held.to_string());
        table.row(vec![behind.daemon.to_string(), held]);
    }
    table.render()
}

/// Formats the moves of primaries that were started or refused.
pub fn moves(moves: &Moves) -> String {
    let mut table = Table::new(&["DATABASE", "TO", "REFUSED"]);
    for moved in &moves.moves {
        let to = moved.to.as_ref().map(ToString::to_string).unwrap_or_default();
        let refusal = moved.refusal.as_ref().map(ToString::to_string).unwrap_or_default();
        table.row(vec![moved.database.to_string(), to, refusal]);
    }
    table.render()
}
