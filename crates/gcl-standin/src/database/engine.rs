//! The `SQLite` engine of a server: one database in memory, with a write and a read connection.

use super::{
    log::Statement,
    sql::{self, Text},
    value::{self, Value, oid},
};
use rusqlite::{Connection, ErrorCode, ffi};

/// Number of prepared statements cached by each connection.
const STATEMENT_CACHE_SIZE: usize = 256;

/// An SQL error as reported by the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The SQLSTATE.
    pub code: &'static str,
    /// The message.
    pub message: String,
}

impl Error {
    /// Creates an error from a SQLSTATE and a message.
    pub fn new(code: &'static str, message: impl Into<String>) -> Self {
        Self { code, message: message.into() }
    }
}

/// Result of the engine.
pub type Result<T> = std::result::Result<T, Error>;

/// A result column.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Column {
    /// Its name.
    pub name: String,
    /// Its type's object id.
    pub kind: u32,
}

/// The parameters and result columns of a statement, determined without running it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Description {
    /// Type of each parameter.
    pub parameters: Vec<u32>,
    /// The result columns.
    pub columns: Vec<Column>,
    /// Whether it cannot change data.
    pub read_only: bool,
}

/// The result of a statement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rows {
    /// The result columns.
    pub columns: Vec<Column>,
    /// The rows.
    pub rows: Vec<Vec<Value>>,
    /// Number of rows changed by a write.
    pub changed: u64,
}

/// One database in memory, kept as two copies: one with the open write transaction, and one with
/// committed data only.
///
/// Statements committed in the first are replayed in the second, so that reads neither wait for the
/// writer nor see uncommitted writes. Statements must be deterministic for that, as for the log.
#[derive(Debug)]
pub struct Engine {
    write: Connection,
    read: Connection,
}

impl Engine {
    /// Opens an empty database.
    ///
    /// # Errors
    /// An error of `SQLite`.
    pub fn open() -> Result<Self> {
        let open = || Connection::open_in_memory().map_err(|error| to_error(&error));
        let (write, read) = (open()?, open()?);
        write.set_prepared_statement_cache_capacity(STATEMENT_CACHE_SIZE);
        read.set_prepared_statement_cache_capacity(STATEMENT_CACHE_SIZE);
        Ok(Self { write, read })
    }

    /// Begins a transaction on the write connection.
    ///
    /// # Errors
    /// An error of `SQLite`.
    pub fn begin(&self) -> Result<()> {
        self.write.execute_batch("BEGIN IMMEDIATE").map_err(|error| to_error(&error))
    }

    /// Commits the open transaction, which ran `statements`.
    ///
    /// # Errors
    /// An error of `SQLite`; the transaction is rolled back then.
    pub fn commit(&self, statements: &[Statement]) -> Result<()> {
        let committed = self.write.execute_batch("COMMIT").map_err(|error| to_error(&error));
        if committed.is_err() {
            self.rollback();
            return committed;
        }
        if let Err(error) = replay(&self.read, statements) {
            tracing::error!(?error, "cannot replay a committed transaction on the read connection");
        }
        Ok(())
    }

    /// Rolls back the open transaction, if any.
    pub fn rollback(&self) {
        if !self.write.is_autocommit() {
            // Fails only if SQLite has already ended the transaction.
            drop(self.write.execute_batch("ROLLBACK"));
        }
    }

    /// Runs the statements of a log entry as one transaction.
    ///
    /// # Errors
    /// An error of `SQLite`.
    pub fn apply(&self, statements: &[Statement]) -> Result<()> {
        replay(&self.write, statements)?;
        replay(&self.read, statements)
    }

    /// Whether a statement cannot change data.
    ///
    /// # Errors
    /// An error of `SQLite`.
    pub fn is_read(&self, sql: &str) -> Result<bool> {
        let statement = self.write.prepare_cached(sql).map_err(|error| to_error(&error))?;
        Ok(statement.readonly())
    }

    /// Determines the parameters and columns of a statement. `declared` are the parameter types
    /// given by the client.
    ///
    /// # Errors
    /// An error of `SQLite`.
    pub fn describe(&self, text: &Text, declared: &[u32]) -> Result<Description> {
        let statement = self.write.prepare_cached(&text.sql).map_err(|error| to_error(&error))?;
        let read_only = statement.readonly();
        let hints = sql::hints(&text.sql);
        let kind = |number: usize| {
            let given = declared.get(number).copied().filter(|kind| *kind != 0);
            let cast = text.casts.iter().find(|cast| cast.number == number + 1);
            let cast = cast.and_then(|cast| value::declared(&cast.kind));
            let hint = hints.iter().find(|hint| hint.number == number + 1);
            let hint = hint.and_then(|hint| self.hinted_kind(&hint.column));
            given.or(cast).or(hint).unwrap_or(oid::TEXT)
        };
        let count = parameter_count(&statement).max(declared.len());
        let parameters = (0..count).map(kind).collect();
        let columns = self.columns(&statement);
        drop(statement);
        let mut description = Description { parameters, columns, read_only };
        if read_only && description.columns.iter().any(|column| column.kind == 0) {
            let samples: Vec<Value> =
                description.parameters.iter().map(|kind| sample(*kind)).collect();
            let probe = self.run(&text.sql, &samples, false).unwrap_or_default();
            infer_types(&mut description.columns, probe.rows.first());
        }
        infer_types(&mut description.columns, None);
        Ok(description)
    }

    /// Runs a statement on the write or on the read connection.
    ///
    /// # Errors
    /// An error of `SQLite`.
    pub fn run(&self, sql: &str, parameters: &[Value], write: bool) -> Result<Rows> {
        let connection = if write { &self.write } else { &self.read };
        let mut statement = connection.prepare_cached(sql).map_err(|error| to_error(&error))?;
        bind(&mut statement, parameters)?;
        let mut columns = self.columns(&statement);
        let before = connection.total_changes();
        let width = statement.column_count();
        let mut rows = Vec::new();
        let mut cursor = statement.raw_query();
        while let Some(row) = cursor.next().map_err(|error| to_error(&error))? {
            let value = |index| row.get_ref(index).map_or(Value::Null, Value::from);
            rows.push((0..width).map(value).collect());
        }
        infer_types(&mut columns, rows.first());
        infer_types(&mut columns, None);
        let changed = connection.total_changes().saturating_sub(before);
        Ok(Rows { columns, rows, changed })
    }

    fn columns(&self, statement: &rusqlite::Statement<'_>) -> Vec<Column> {
        let column = |column: rusqlite::Column<'_>| {
            let name = column.name().to_owned();
            let kind = column.decl_type().and_then(value::declared);
            let kind = kind.or_else(|| self.column_kind(min_max_argument(&name).unwrap_or(&name)));
            Column { name, kind: kind.unwrap_or(0) }
        };
        statement.columns().map(column).collect()
    }

    fn hinted_kind(&self, column: &sql::Column) -> Option<u32> {
        match column {
            sql::Column::Named(name) => self.column_kind(name),
            sql::Column::Nth { table, index } => {
                let find = "SELECT type FROM pragma_table_info(?1) WHERE cid = ?2";
                let mut statement = self.write.prepare_cached(find).ok()?;
                let index = i64::try_from(*index).ok()?;
                let kind = statement.query_row((table, index), |row| row.get::<_, String>(0));
                value::declared(&kind.ok()?)
            }
        }
    }

    fn column_kind(&self, name: &str) -> Option<u32> {
        if name.eq_ignore_ascii_case("limit") || name.eq_ignore_ascii_case("offset") {
            return Some(oid::INT8);
        }
        let find = "SELECT c.type FROM sqlite_schema s JOIN pragma_table_info(s.name) c \
                    WHERE s.type = 'table' AND c.name = ?1 COLLATE NOCASE LIMIT 1";
        let mut statement = self.write.prepare_cached(find).ok()?;
        let kind: String = statement.query_row([name], |row| row.get(0)).ok()?;
        value::declared(&kind)
    }
}

/// Runs the statements of a transaction that was committed on another connection or server.
fn replay(connection: &Connection, statements: &[Statement]) -> Result<()> {
    if statements.is_empty() {
        return Ok(());
    }
    let execute = |sql| connection.execute_batch(sql).map_err(|error| to_error(&error));
    execute("BEGIN")?;
    let ran = statements.iter().try_for_each(|statement| {
        let prepared = connection.prepare_cached(&statement.sql);
        let mut prepared = prepared.map_err(|error| to_error(&error))?;
        bind(&mut prepared, &statement.parameters)?;
        let mut rows = prepared.raw_query();
        while rows.next().map_err(|error| to_error(&error))?.is_some() {}
        Ok(())
    });
    execute(if ran.is_ok() { "COMMIT" } else { "ROLLBACK" })?;
    ran
}

fn bind(statement: &mut rusqlite::Statement<'_>, parameters: &[Value]) -> Result<()> {
    for index in 1..=statement.parameter_count() {
        let number = statement.parameter_name(index).and_then(sql::parameter).unwrap_or(index);
        let value = parameters.get(number - 1).unwrap_or(&Value::Null);
        statement.raw_bind_parameter(index, value).map_err(|error| to_error(&error))?;
    }
    Ok(())
}

/// A sample value of a type, used to infer the type of an expression's result.
const fn sample(kind: u32) -> Value {
    match kind {
        oid::BOOL | oid::INT2 | oid::INT4 | oid::INT8 => Value::Integer(0),
        oid::FLOAT4 | oid::FLOAT8 => Value::Real(0.5),
        oid::BYTEA => Value::Blob(Vec::new()),
        _ => Value::Text(String::new()),
    }
}

/// The argument of a `max` or `min`, which has the same type as the result.
fn min_max_argument(name: &str) -> Option<&str> {
    let inner = ["max(", "min("].iter().find_map(|function| name.strip_prefix(function))?;
    inner.strip_suffix(')')
}

fn parameter_count(statement: &rusqlite::Statement<'_>) -> usize {
    let number = |index| statement.parameter_name(index).and_then(sql::parameter).unwrap_or(index);
    (1..=statement.parameter_count()).map(number).max().unwrap_or(0)
}

/// Sets the type of columns without one: the default type of the value in `row`, or without a row
/// a type guessed from the column's name.
fn infer_types(columns: &mut [Column], row: Option<&Vec<Value>>) {
    for (index, column) in columns.iter_mut().enumerate().filter(|(_, column)| column.kind == 0) {
        match row.and_then(|row| row.get(index)) {
            Some(Value::Null) | None if row.is_some() => {}
            Some(value) => column.kind = value.default_type(),
            None if is_number(&column.name) => column.kind = oid::INT8,
            None => column.kind = oid::TEXT,
        }
    }
}

fn is_number(name: &str) -> bool {
    let name = name.to_ascii_lowercase();
    ["count(", "sum("].iter().any(|function| name.starts_with(function))
}

fn to_error(error: &rusqlite::Error) -> Error {
    let message = error.to_string();
    Error::new(sqlstate(error, &message), message)
}

fn sqlstate(error: &rusqlite::Error, message: &str) -> &'static str {
    match error.sqlite_error() {
        Some(inner) if inner.code == ErrorCode::ConstraintViolation => match inner.extended_code {
            ffi::SQLITE_CONSTRAINT_UNIQUE | ffi::SQLITE_CONSTRAINT_PRIMARYKEY => "23505",
            ffi::SQLITE_CONSTRAINT_NOTNULL => "23502",
            ffi::SQLITE_CONSTRAINT_FOREIGNKEY => "23503",
            ffi::SQLITE_CONSTRAINT_CHECK => "23514",
            _ => "23000",
        },
        Some(inner) if inner.code == ErrorCode::ReadOnly => "25006",
        Some(inner) if inner.code == ErrorCode::OperationInterrupted => "57014",
        _ if message.contains("no such table") => "42P01",
        _ if message.contains("no such column") => "42703",
        _ if message.contains("no such function") => "42883",
        _ if message.contains("already exists") => "42P07",
        _ if message.contains("syntax error") || message.contains("incomplete input") => "42601",
        _ => "XX000",
    }
}
