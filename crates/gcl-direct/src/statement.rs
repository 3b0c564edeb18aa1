//! Statements of callers, as parsed and classified by the protocol adapter.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// What a statement does to the data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Access {
    /// Reads.
    Read,
    /// Writes.
    Write,
}

/// A prepared statement, independent of the name that a session gave it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Prepared {
    /// What it does.
    pub access: Access,
    /// The statement without its parameters.
    pub template: CompactString,
}

/// A caller's statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether it only reads.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads or writes; the text is forwarded unchanged.
    Data(Access),
    /// Sets a session value.
    Set {
        /// The value's name.
        name: CompactString,
        /// The value.
        value: CompactString,
    },
    /// Prepares a statement.
    Prepare {
        /// The session's name for it.
        name: CompactString,
        /// The statement.
        prepared: Prepared,
    },
    /// Executes a prepared statement.
    Execute {
        /// The session's name for it.
        name: CompactString,
        /// The parameters as sent by the caller.
        parameters: CompactString,
    },
    /// Deallocates a prepared statement.
    Deallocate {
        /// The session's name for it.
        name: CompactString,
    },
    /// Not a statement of the protocol.
    Unknown,
}

/// A statement as a caller sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// The id that the caller gave it.
    pub id: CompactString,
    /// The parsed statement.
    pub statement: Statement,
    /// Its text.
    pub text: CompactString,
}
