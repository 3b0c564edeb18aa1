//! What passes between connections to backend servers and the reducer.

use crate::statement::Prepared;
use bytes::Bytes;
use compact_str::CompactString;
use gcl_core::{batch::Status, id, mark::Mark};

/// A statement for a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// A caller's statement, with the text as the caller sent it.
    Forward {
        /// The caller's id of it.
        id: CompactString,
        /// The log position that the server must have reached.
        min_position: Option<Mark>,
        /// The text.
        text: CompactString,
    },
    /// A caller's prepared statement, under the connection's name for it.
    Execute {
        /// The caller's id of it.
        id: CompactString,
        /// The log position that the server must have reached.
        min_position: Option<Mark>,
        /// The connection's name for the statement.
        name: CompactString,
        /// The parameters as the caller sent them.
        parameters: CompactString,
    },
    /// Opens a transaction.
    Begin {
        /// Whether it only reads.
        read_only: bool,
        /// The log position that the server must have reached.
        min_position: Option<Mark>,
    },
    /// Rolls the transaction back.
    Rollback,
    /// Drops the connection's values and prepared statements.
    Reset,
    /// Sets a value of the connection.
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
    /// Asks for the server's role and position.
    Report,
}

/// Why a server did not do what it was asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// All slots are taken and its queue is full; nothing ran.
    Busy,
    /// It has not reached the position; nothing ran.
    Behind,
    /// It does not lead; nothing ran.
    ReadOnly,
    /// It is another server than the one that was named; nothing ran.
    Misdirected,
    /// It has no connection left; nothing ran.
    Full,
    /// It does not know the prepared statement; nothing ran.
    UnknownStatement,
    /// The statement ran and failed.
    Failed(CompactString),
    /// The statement ran and took too long.
    Timeout,
    /// It did not understand the statement.
    Malformed(CompactString),
}

impl Refusal {
    /// Whether the server states that nothing ran.
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

/// What a server says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Whether it sees itself as the primary.
    pub leads: bool,
    /// The newest log position that it has received.
    pub received: Mark,
}

/// A server's complete answer to one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Rows, as sent.
    pub rows: Vec<Bytes>,
    /// The receipt, or why there is none.
    pub result: std::result::Result<Bytes, Refusal>,
    /// The state of the connection's transaction.
    pub status: Status,
    /// The server's log position.
    pub mark: Option<Mark>,
    /// The report, if that was the command.
    pub report: Option<Report>,
}

/// What happened on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// It is open.
    Opened(Option<Mark>),
    /// The server refused it.
    Refused(Refusal),
    /// A command was answered.
    Answered(Answer),
    /// It ended, or could not be opened.
    Closed {
        /// Why, for the log.
        reason: CompactString,
        /// Whether the far host said so; else it fell silent.
        answered: bool,
    },
}

/// What is to be done with a connection.
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
        /// The workspace whose statements it will carry, empty for none.
        workspace: id::Workspace,
    },
    /// Sends a command.
    Send(Command),
    /// Closes it.
    Close,
}
