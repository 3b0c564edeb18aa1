//! The control functions of a server, as SQL functions on a control connection.

use super::{
    engine::{Column, Error, Result, Rows},
    fault,
    node::Leader,
    shared::Shared,
    sql,
    value::{Value, oid},
};
use gcl_core::{
    mark::Mark,
    server::{Report, Role},
};
use std::{str::FromStr, sync::Arc, time::Duration};

/// Maximum number of log entries in one response.
const MAX_ENTRIES: usize = 512;
/// SQLSTATE of a request for the log of a server that is not primary at the term.
const NOT_PRIMARY: &str = "55000";
/// SQLSTATE of a request from a position that the primary's log does not contain.
pub const DIVERGED: &str = "GC001";

/// A function call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    name: String,
    arguments: Vec<String>,
}

/// Finds a call of one of this module's functions in a statement.
#[must_use]
pub fn find(text: &str) -> Option<Call> {
    if !text.contains("goldcrest_") && !text.contains("standin_") {
        return None;
    }
    let tokens = sql::tokens(text);
    let is_name = |token: &&str| token.starts_with("goldcrest_") || token.starts_with("standin_");
    let at = tokens.iter().position(is_name)?;
    if tokens.get(at + 1) != Some(&"(") || !tokens[0].eq_ignore_ascii_case("select") {
        return None;
    }
    let arguments = tokens[at + 2..].iter().take_while(|token| **token != ")");
    let arguments = arguments.filter(|token| **token != ",").map(|token| sql::literal(token));
    Some(Call { name: tokens[at].to_owned(), arguments: arguments.collect() })
}

/// Executes a call.
///
/// # Errors
/// SQLSTATE 42883 for an unknown function, 22023 for an invalid argument, 42501 without a control
/// connection, or an error of the function.
pub async fn execute(shared: &Arc<Shared>, control: bool, call: &Call) -> Result<Rows> {
    match call.name.as_str() {
        "standin_fault" => {
            shared.execute(fault::parse(&call.argument::<String>(0)?)?);
            Ok(text_rows("standin_fault", ["ok".to_owned()]))
        }
        "standin_name" => Ok(text_rows("standin_name", [shared.options.name.clone()])),
        _ if !control => Err(Error::new("42501", "only on a control connection")),
        "goldcrest_status" => Ok(status(shared, true)),
        "goldcrest_await" => wait(shared, call).await,
        "goldcrest_fence" => {
            let term = call.argument(0)?;
            Ok(change(shared, |shared| shared.node().fence(term)))
        }
        "goldcrest_promote" => {
            let term = call.argument(0)?;
            Ok(change(shared, |shared| shared.node().promote(term)))
        }
        "goldcrest_follow" => {
            let (term, server, address) = (call.argument(0)?, call.argument(1)?, call.argument(2)?);
            let leader = Leader { term, server, address };
            Ok(change(shared, |shared| shared.node().follow(leader)))
        }
        "goldcrest_history" => history(shared, call),
        "goldcrest_log" => log(shared, call).await,
        name => Err(Error::new("42883", format!("no such function: {name}"))),
    }
}

impl Call {
    fn argument<T: FromStr>(&self, index: usize) -> Result<T> {
        let argument = self.arguments.get(index).and_then(|argument| argument.parse().ok());
        argument
            .ok_or_else(|| Error::new("22023", format!("bad argument {index} of {}", self.name)))
    }
}

fn change(shared: &Shared, change: impl FnOnce(&Shared) -> bool) -> Rows {
    let accepted = change(shared);
    shared.signal();
    status(shared, accepted)
}

fn status(shared: &Shared, accepted: bool) -> Rows {
    let report = shared.node().report();
    report_rows(&report, accepted)
}

fn report_rows(report: &Report, accepted: bool) -> Rows {
    let number = |number: u64| Value::Integer(i64::try_from(number).unwrap_or(i64::MAX));
    let role = match report.role {
        Role::Primary => "primary",
        Role::Replica => "replica",
    };
    let fields = [
        ("accepted", oid::BOOL, Value::Integer(i64::from(accepted))),
        ("term", oid::INT8, number(report.term)),
        ("role", oid::TEXT, Value::Text(role.to_owned())),
        ("received_term", oid::INT8, number(report.received.term)),
        ("received_position", oid::INT8, number(report.received.position)),
        ("applied_term", oid::INT8, number(report.applied.term)),
        ("applied_position", oid::INT8, number(report.applied.position)),
    ];
    let mut rows = Rows { rows: vec![Vec::new()], ..Rows::default() };
    for (name, kind, value) in fields {
        rows.columns.push(Column { name: name.to_owned(), kind });
        rows.rows[0].push(value);
    }
    rows
}

/// Waits until the log contains the mark, the term changes, or the time has passed.
async fn wait(shared: &Shared, call: &Call) -> Result<Rows> {
    let mark = Mark::new(call.argument(0)?, call.argument(1)?);
    let time = Duration::from_millis(call.argument(2)?);
    let mut changes = shared.changes();
    let term = shared.node().report().term;
    let reached = async {
        loop {
            changes.mark_unchanged();
            let (contained, now) = {
                let node = shared.node();
                (node.log().contains(mark), node.report().term)
            };
            if contained || now != term || changes.changed().await.is_err() {
                return;
            }
        }
    };
    // The report is returned whether or not the mark was reached in time.
    let _ = tokio::time::timeout(time, reached).await;
    Ok(status(shared, true))
}

fn history(shared: &Shared, call: &Call) -> Result<Rows> {
    let node = shared.node();
    if !node.is_primary_at(call.argument(0)?) {
        return Err(Error::new(NOT_PRIMARY, "not primary at this term"));
    }
    let spans = node.log().spans();
    Ok(text_rows("span", spans.iter().map(|span| format!("{}/{}", span.term, span.last))))
}

/// Returns the entries after a mark, and waits for the first one.
async fn log(shared: &Shared, call: &Call) -> Result<Rows> {
    let term = call.argument(0)?;
    let from = Mark::new(call.argument(2)?, call.argument(1)?);
    let time = Duration::from_millis(call.argument(3)?);
    let deadline = tokio::time::Instant::now() + time;
    let mut changes = shared.changes();
    loop {
        changes.mark_unchanged();
        let entries: Vec<String> = {
            let node = shared.node();
            if !node.is_primary_at(term) {
                return Err(Error::new(NOT_PRIMARY, "not primary at this term"));
            }
            if !node.log().contains(from) {
                return Err(Error::new(DIVERGED, "the log does not hold this position"));
            }
            let entries = node.log().after(from.position, MAX_ENTRIES).iter();
            entries.filter_map(|entry| serde_json::to_string(entry).ok()).collect()
        };
        let waiting = entries.is_empty();
        if waiting && let Ok(Ok(())) = tokio::time::timeout_at(deadline, changes.changed()).await {
            continue;
        }
        return Ok(text_rows("entry", entries));
    }
}

fn text_rows(name: &str, rows: impl IntoIterator<Item = String>) -> Rows {
    let columns = vec![Column { name: name.to_owned(), kind: oid::TEXT }];
    let rows = rows.into_iter().map(|text| vec![Value::Text(text)]).collect();
    Rows { columns, rows, changed: 0 }
}
