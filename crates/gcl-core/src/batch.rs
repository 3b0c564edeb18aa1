//! The unit that an entry sends to a home (see [`crate::run`]): the caller's messages up to one
//! `Sync`.
//!
//! A batch is self-contained: it carries the text of each prepared statement that it uses, so that
//! it can run on any connection. A connection skips a `Parse` that it has already executed.

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Statement text with the parameter types that the caller declared.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Prepared {
    /// The SQL text.
    pub sql: String,
    /// Type OIDs, zero where the server infers them.
    pub types: Vec<u32>,
}

/// The object of a `Describe`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// A statement, by its index in the batch.
    Statement(usize),
    /// A portal, by its name on the connection.
    Portal(CompactString),
}

/// One message of the extended protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Prepares the statement at an index of the batch.
    Parse(usize),
    /// Binds parameters to a statement.
    Bind {
        /// The name of the portal, empty for the unnamed one.
        portal: CompactString,
        /// The statement's index in the batch.
        statement: usize,
        /// Format codes of the parameters.
        formats: Vec<i16>,
        /// Parameter values, `None` for null.
        parameters: Vec<Option<Bytes>>,
        /// Format codes of the result columns.
        results: Vec<i16>,
    },
    /// Describes a statement or portal.
    Describe(Target),
    /// Runs a portal.
    Execute {
        /// The name of the portal.
        portal: CompactString,
        /// The maximum number of rows to return, zero for all.
        max_rows: i32,
    },
    /// Closes a portal.
    ClosePortal(CompactString),
    /// Acknowledges the closing of a statement whose name exists only at the entry.
    CloseStatement,
}

/// The caller's messages up to one `Sync`, or one simple query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Batch {
    /// A simple query.
    Simple(String),
    /// Messages of the extended protocol.
    Extended {
        /// The statements that the steps refer to by index.
        statements: Vec<Prepared>,
        /// The messages in order.
        steps: Vec<Step>,
    },
}

impl Batch {
    /// Bytes of statement text and parameters in the batch.
    #[must_use]
    pub fn size(&self) -> usize {
        match self {
            Self::Simple(sql) => sql.len(),
            Self::Extended { statements, steps } => {
                let text = statements.iter().map(|prepared| prepared.sql.len()).sum::<usize>();
                text + steps.iter().map(step_size).sum::<usize>()
            }
        }
    }
}

fn step_size(step: &Step) -> usize {
    match step {
        Step::Bind { parameters, .. } => parameters.iter().flatten().map(Bytes::len).sum(),
        _ => 0,
    }
}

/// A message from the server to the client, forwarded without being parsed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The message's type byte.
    pub tag: u8,
    /// The message's body, without its length.
    pub body: Bytes,
}

/// Transaction status of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open and has failed.
    Failed,
}

impl Status {
    /// The status byte of `ReadyForQuery`.
    #[must_use]
    pub const fn byte(self) -> u8 {
        match self {
            Self::Idle => b'I',
            Self::Open => b'T',
            Self::Failed => b'E',
        }
    }

    /// The status of a `ReadyForQuery` byte.
    #[must_use]
    pub const fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            b'I' => Some(Self::Idle),
            b'T' => Some(Self::Open),
            b'E' => Some(Self::Failed),
            _ => None,
        }
    }
}
