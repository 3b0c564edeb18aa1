//! Events and effects of connections to backend servers.

use crate::statement::Prepared;
use bytes::Bytes;
use compact_str::CompactString;
use gcl_core::{batch::Status, id, mark::Mark};

/// A request to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Runs a caller's statement, with the text as the caller sent it.
    Forward {
        /// The caller's id of it.
        id: CompactString,
        /// The least log position that the server must have reached.
        min_position: Option<Mark>,
        /// The text.
        text: CompactString,
    },
    /// Executes a caller's prepared statement under the connection's name for it.
    Execute {
        /// The caller's id of it.
        id: CompactString,
        /// The least log position that the server must have reached.
        min_position: Option<Mark>,
        /// The connection's name for the statement.
        name: CompactString,
        /// The parameters as the caller sent them.
        parameters: CompactString,
    },
    /// Opens a transaction.
    Begin {
        /// Whether it is read-only.
        read_only: bool,
        /// The least log position that the server must have reached.
        min_position: Option<Mark>,
    },
    /// Rolls the transaction back.
    Rollback,
    /// Drops the connection's session values and prepared statements.
    Reset,
    /// Sets a session value of the connection.
    Set {
        /// The value's name.
        name: CompactString,
        /// The value.
        value: CompactString,
    },
    /// Prepares a statement.
    Prepare {
        /// The connection's name for it.
        name: CompactString,
        /// The statement.
        prepared: Prepared,
    },
    /// Requests the server's role and position.
    Report,
}

/// Why a server did not carry out a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// All slots are taken and the server's queue is full; nothing ran.
    Busy,
    /// The server has not reached the least position; nothing ran.
    Behind,
    /// The server is not the primary; nothing ran.
    ReadOnly,
    /// The server is not the one that the connection named; nothing ran.
    Misdirected,
    /// The server's connection limit is reached; nothing ran.
    Full,
    /// The prepared statement does not exist on the connection; nothing ran.
    UnknownStatement,
    /// The statement ran and failed.
    Failed(CompactString),
    /// The statement ran and timed out.
    Timeout,
    /// The server could not parse the command.
    Malformed(CompactString),
}

impl Refusal {
    /// Whether the server guarantees that nothing ran.
    #[must_use]
    pub const fn not_run(&self) -> bool {
        !matches!(self, Self::Failed(_) | Self::Timeout | Self::Malformed(_))
    }

    /// A short name for logs and metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Behind => "behind",
            Self::ReadOnly => "read_only",
            Self::Misdirected => "misdirected",
            Self::Full => "full",
            Self::UnknownStatement => "unknown_statement",
            Self::Failed(_) => "failed",
            Self::Timeout => "timeout",
            Self::Malformed(_) => "malformed",
        }
    }
}

/// A server's report of its own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Whether it considers itself the primary.
    pub claims_primary: bool,
    /// The newest log position that it has received.
    pub received: Mark,
}

/// A server's complete response to one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Rows, as the server sent them.
    pub rows: Vec<Bytes>,
    /// The receipt, or the reason for its absence.
    pub result: std::result::Result<Bytes, Refusal>,
    /// The state of the connection's transaction.
    pub status: Status,
    /// The server's log position.
    pub mark: Option<Mark>,
    /// The report, if that was the command.
    pub report: Option<Report>,
}

/// An event of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// It is open; the server's log position.
    Opened(Option<Mark>),
    /// The server refused the login.
    Refused(Refusal),
    /// A command has completed.
    Answered(Answer),
    /// It was closed, or could not be opened.
    Closed {
        /// The reason, for the log.
        reason: CompactString,
        /// Whether the server or its VM closed or refused it; otherwise it timed out.
        answered: bool,
    },
}

/// An operation on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Opens it.
    Open {
        /// The server that is expected at the address.
        server: id::Server,
        /// The server's address, `ip:port`.
        address: CompactString,
        /// The database.
        database: id::Database,
        /// The workspace whose statements it carries; empty for none.
        workspace: id::Workspace,
    },
    /// Sends a command.
    Send(Command),
    /// Closes it.
    Close,
}
