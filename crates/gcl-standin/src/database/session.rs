//! The session of a connection: transactions, variables and the execution of statements.

use super::{
    control,
    engine::{Column, Description, Error, Result, Rows},
    node::Acquisition,
    shared::Shared,
    sql::{self, Text},
    value::{Value, oid},
};
use gcl_core::{batch::Status, id::Term, mark::Mark};
use indexmap::IndexMap;
use std::sync::Arc;
use tokio::sync::Notify;

/// Name of the variable that restricts a session's writes to one term.
const TERM_VARIABLE: &str = "goldcrest.term";
/// Name of the variable that makes transactions read-only.
const READ_ONLY_VARIABLE: &str = "default_transaction_read_only";
/// First words of the statements that are handled here instead of by `SQLite`.
const SESSION_COMMANDS: [&str; 10] = [
    "BEGIN",
    "START",
    "COMMIT",
    "END",
    "ROLLBACK",
    "ABORT",
    "SET",
    "RESET",
    "DISCARD",
    "DEALLOCATE",
];

/// An open transaction.
#[expect(clippy::struct_excessive_bools, reason = "each holds or not by itself")]
#[derive(Clone, Copy, Debug, Default)]
struct Transaction {
    /// Whether it was opened by `BEGIN`, and not implicitly for one batch.
    explicit: bool,
    failed: bool,
    read_only: bool,
    wrote: bool,
}

/// The response to a statement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// The rows and their columns.
    pub rows: Rows,
    /// The command tag. `SELECT` is followed by the number of rows when sent.
    pub tag: String,
}

/// A session of a client.
#[derive(Debug)]
pub struct Session {
    /// Whether the control functions may be called.
    pub control: bool,
    /// Whether a transaction committed since the flag was last cleared.
    pub committed: bool,
    /// The mark of the last commit or of the last data read.
    pub mark: Mark,
    id: u64,
    shared: Arc<Shared>,
    cancel: Arc<Notify>,
    variables: IndexMap<String, String>,
    transaction: Option<Transaction>,
}

impl Session {
    /// Creates a session.
    #[must_use]
    pub fn new(shared: Arc<Shared>, id: u64, control: bool, cancel: Arc<Notify>) -> Self {
        let mark = shared.node().applied();
        let variables = IndexMap::new();
        Self { control, committed: false, mark, id, shared, cancel, variables, transaction: None }
    }

    /// The transaction status.
    #[must_use]
    pub const fn status(&self) -> Status {
        match self.transaction {
            Some(Transaction { failed: true, explicit: true, .. }) => Status::Failed,
            Some(Transaction { explicit: true, .. }) => Status::Open,
            _ => Status::Idle,
        }
    }

    /// Sets a session variable.
    pub fn set(&mut self, name: &str, value: String) {
        self.variables.insert(name.to_ascii_lowercase(), value);
    }

    /// Determines the parameters and columns of a statement.
    ///
    /// # Errors
    /// An error of `SQLite`.
    pub fn describe(&self, text: &Text, declared: &[u32]) -> Result<Description> {
        let first = first_word(&text.sql);
        if first == "SHOW" {
            let column = Column { name: "value".to_owned(), kind: oid::TEXT };
            return Ok(Description {
                columns: vec![column],
                read_only: true,
                ..Description::default()
            });
        }
        if SESSION_COMMANDS.contains(&first.as_str()) || control::find(&text.sql).is_some() {
            return Ok(Description { read_only: true, ..Description::default() });
        }
        self.shared.node().describe(text, declared)
    }

    /// Runs a statement.
    ///
    /// # Errors
    /// The error of the statement; an open transaction has failed then.
    pub async fn run(&mut self, text: &Text, parameters: &[Value]) -> Result<Reply> {
        let first = first_word(&text.sql);
        let is_end = ["COMMIT", "END", "ROLLBACK", "ABORT"].contains(&first.as_str());
        let result = if self.transaction.is_some_and(|open| open.failed) && !is_end {
            let message = "current transaction is aborted, commands ignored until end of \
                           transaction block";
            Err(Error::new("25P02", message))
        } else if SESSION_COMMANDS.contains(&first.as_str()) {
            self.command(&text.sql)
        } else if first == "SHOW" {
            self.update_mark();
            Ok(self.show(&text.sql))
        } else if let Some(call) = control::find(&text.sql) {
            self.update_mark();
            let rows = control::execute(&self.shared, self.control, &call).await;
            rows.map(|rows| Reply { rows, tag: "SELECT".to_owned() })
        } else {
            self.statement(text, parameters).await
        };
        if result.is_err() {
            self.fail();
        }
        result
    }

    /// Sets the mark to the applied one if no transaction is open.
    fn update_mark(&mut self) {
        if self.transaction.is_none() {
            self.mark = self.shared.node().applied();
        }
    }

    /// Commits the implicit transaction of a batch, if there is one.
    ///
    /// # Errors
    /// The commit failed.
    pub fn finish(&mut self) -> Result<()> {
        match self.transaction {
            Some(Transaction { explicit: false, .. }) => self.commit().map(drop),
            _ => Ok(()),
        }
    }

    /// Rolls back the writes of the transaction. One opened by `BEGIN` stays open as failed.
    pub fn fail(&mut self) {
        self.rollback_writes();
        match &mut self.transaction {
            Some(transaction) if transaction.explicit => transaction.failed = true,
            _ => self.transaction = None,
        }
    }

    fn rollback_writes(&self) {
        let mut node = self.shared.node();
        if node.is_writer(self.id) {
            node.rollback(self.id);
            drop(node);
            self.shared.signal();
        }
    }

    fn command(&mut self, sql: &str) -> Result<Reply> {
        let words = sql::words(sql);
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        match words.as_slice() {
            ["ROLLBACK" | "ABORT", rest @ ..] if rest.contains(&"TO") => {
                Err(Error::new("0A000", "savepoints are not supported"))
            }
            ["ROLLBACK" | "ABORT", ..] => {
                self.rollback_writes();
                self.transaction = None;
                Ok(tagged("ROLLBACK"))
            }
            ["COMMIT" | "END", ..] => self.commit(),
            ["SET", "TRANSACTION", rest @ ..] => Ok(self.set_transaction_modes(rest)),
            ["SET", ..] => self.assign(sql),
            ["RESET" | "DISCARD", "ALL"] => {
                self.variables.clear();
                Ok(tagged(if words[0] == "RESET" { "RESET" } else { "DISCARD ALL" }))
            }
            ["RESET", name, ..] => {
                self.variables.shift_remove(&name.to_ascii_lowercase());
                Ok(tagged("RESET"))
            }
            ["DISCARD" | "DEALLOCATE", ..] => Ok(tagged(words[0])),
            [_, rest @ ..] => Ok(self.begin(rest)),
            [] => Ok(Reply::default()),
        }
    }

    fn begin(&mut self, words: &[&str]) -> Reply {
        let transaction = self.transaction.get_or_insert_default();
        transaction.explicit = true;
        self.set_transaction_modes(words);
        tagged("BEGIN")
    }

    fn set_transaction_modes(&mut self, words: &[&str]) -> Reply {
        if let Some(transaction) = &mut self.transaction {
            transaction.read_only |= words.windows(2).any(|pair| pair == ["READ", "ONLY"]);
        }
        tagged("SET")
    }

    fn commit(&mut self) -> Result<Reply> {
        let Some(transaction) = self.transaction.take() else {
            return Ok(tagged("COMMIT"));
        };
        if transaction.failed {
            return Ok(tagged("ROLLBACK"));
        }
        if transaction.wrote {
            let mark = self.shared.node().commit(self.id, self.pin());
            self.shared.signal();
            self.mark = mark?;
            self.committed = true;
        }
        Ok(tagged("COMMIT"))
    }

    /// Executes `SET [SESSION | LOCAL] name {= | TO} value`.
    fn assign(&mut self, sql: &str) -> Result<Reply> {
        let tokens = sql::tokens(sql);
        let is_scope = |token: &&&str| {
            ["SESSION", "LOCAL"].iter().any(|scope| token.eq_ignore_ascii_case(scope))
        };
        let skip = 1 + usize::from(tokens.get(1).as_ref().is_some_and(is_scope));
        let [name, _, value @ ..] = &tokens[skip.min(tokens.len())..] else {
            return Err(Error::new("42601", "syntax error in SET"));
        };
        let value: Vec<String> = value.iter().map(|token| sql::literal(token)).collect();
        let value = value.concat();
        if name.eq_ignore_ascii_case(TERM_VARIABLE) && value.parse::<Term>().is_err() {
            return Err(Error::new("22023", "a term is a whole number"));
        }
        self.set(&sql::literal(name), value);
        Ok(tagged("SET"))
    }

    fn show(&self, sql: &str) -> Reply {
        let name = sql::tokens(sql).get(1).copied().unwrap_or_default().to_ascii_lowercase();
        let value = self.variables.get(&name).cloned().unwrap_or_default();
        let columns = vec![Column { name, kind: oid::TEXT }];
        let rows = Rows { columns, rows: vec![vec![Value::Text(value)]], changed: 0 };
        Reply { rows, tag: "SHOW".to_owned() }
    }

    fn pin(&self) -> Option<Term> {
        self.variables.get(TERM_VARIABLE).and_then(|term| term.parse().ok())
    }

    fn read_only(&self) -> bool {
        let is_on = |value: &String| ["on", "true", "1"].contains(&value.as_str());
        self.transaction.is_some_and(|open| open.read_only)
            || self.variables.get(READ_ONLY_VARIABLE).is_some_and(is_on)
    }

    async fn statement(&mut self, text: &Text, parameters: &[Value]) -> Result<Reply> {
        let cancel = Arc::clone(&self.cancel);
        tokio::select! {
            () = cancel.notified() => {
                Err(Error::new("57014", "canceling statement due to user request"))
            }
            reply = self.run_statement(text, parameters) => reply,
        }
    }

    async fn run_statement(&mut self, text: &Text, parameters: &[Value]) -> Result<Reply> {
        let reads = self.shared.node().is_read(&text.sql)?;
        if !reads {
            self.acquire_writer().await?;
        }
        let shared = Arc::clone(&self.shared);
        // The semaphore is never closed, so a permit always comes.
        let _slot = shared.slots.acquire().await;
        let delay = shared.options.statement_delay + shared.faults().slow;
        if !delay.is_zero() {
            shared.signal();
            tokio::time::sleep(delay).await;
            shared.wait_while_frozen().await;
        }
        let mut node = shared.node();
        if reads {
            let rows = node.read(self.id, &text.sql, parameters)?;
            if !node.is_writer(self.id) {
                self.mark = node.applied();
            }
            return Ok(Reply { rows, tag: "SELECT".to_owned() });
        }
        let rows = node.write(self.id, &text.sql, parameters)?;
        let tag = tag(&text.sql, rows.changed);
        Ok(Reply { rows, tag })
    }

    /// Waits until this session holds the write connection.
    async fn acquire_writer(&mut self) -> Result<()> {
        if self.read_only() {
            return Err(Error::new("25006", "cannot write in a read-only transaction"));
        }
        let mut changes = self.shared.changes();
        loop {
            changes.mark_unchanged();
            let has_written = self.transaction.is_some_and(|open| open.wrote);
            let acquisition = {
                let mut node = self.shared.node();
                if has_written && !node.is_writer(self.id) {
                    let message = "the transaction was ended by a change of term";
                    return Err(Error::new("25006", message));
                }
                node.begin(self.id, self.pin())?
            };
            if acquisition == Acquisition::Granted {
                self.transaction.get_or_insert_default().wrote = true;
                return Ok(());
            }
            // `self.shared` owns the sender, so the wait cannot fail.
            let _ = changes.changed().await;
        }
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.rollback_writes();
    }
}

fn tagged(tag: &str) -> Reply {
    Reply { tag: tag.to_owned(), rows: Rows::default() }
}

fn first_word(sql: &str) -> String {
    let sql = sql.trim_start();
    let end = sql.find(|c: char| !c.is_ascii_alphabetic()).unwrap_or(sql.len());
    sql[..end].to_ascii_uppercase()
}

fn tag(sql: &str, changed: u64) -> String {
    let words = sql::words(sql);
    match words.first().map(String::as_str) {
        Some("INSERT" | "REPLACE") => format!("INSERT 0 {changed}"),
        Some(word @ ("UPDATE" | "DELETE")) => format!("{word} {changed}"),
        Some(word @ ("CREATE" | "DROP" | "ALTER")) => {
            format!("{word} {}", words.get(1).map(String::as_str).unwrap_or_default())
        }
        Some(word) => word.to_owned(),
        None => String::new(),
    }
}
