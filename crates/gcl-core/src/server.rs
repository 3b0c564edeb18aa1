//! Calls to backend servers and their events.
//!
//! Data connections carry callers' statements. One control connection per server carries the five
//! control questions of [`Ask`]. The adapter behind it is thin, so that another interface to
//! database groups can replace it.

use crate::{
    batch::{Batch, Frame, Status},
    id,
    mark::Mark,
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// The role of a server in its group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Accepts writes at its term.
    Primary,
    /// Applies the log of a primary.
    #[default]
    Replica,
}

/// The state that a server reports about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The highest term that the server has accepted or was fenced at.
    pub term: id::Term,
    /// The server's role at that term.
    pub role: Role,
    /// The last log entry that the server has stored durably.
    pub received: Mark,
    /// The last log entry that is visible to reads on the server.
    pub applied: Mark,
}

/// A control question: a status query or a command to a server, answered by a [`Report`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// Requests a report.
    Status,
    /// Requests a report as soon as the server holds `mark`, or after `wait`.
    Await {
        /// The mark to wait for.
        mark: Mark,
        /// The maximum wait.
        wait: Duration,
    },
    /// Raises the server's term; refused unless strictly higher. Afterwards the server accepts no
    /// write and no replication of a lower term.
    Fence(id::Term),
    /// Makes the server primary at a term at which it was fenced. It begins the term with a log
    /// entry of its own, so that the newest entry of a primary's log is never of an earlier term.
    Promote(id::Term),
    /// Makes the server replicate from a primary at a term.
    Follow {
        /// The term.
        term: id::Term,
        /// The primary's name.
        server: id::Server,
        /// The primary's address.
        address: SocketAddr,
    },
}

/// Why a control question failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// The server refused; its current report.
    Refused(Report),
    /// The answer was lost, for the given reason; the question may have taken effect.
    Lost(CompactString),
}

/// How an attempt to run a batch ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Completion {
    /// The server answered in full, up to `ReadyForQuery`.
    Answered {
        /// The messages for the caller.
        frames: Vec<Frame>,
        /// The transaction status after the batch.
        status: Status,
        /// The mark of the commit, or for a read on a replica the applied mark that it saw.
        mark: Option<Mark>,
        /// SQLSTATE of the first error, if any.
        error: Option<CompactString>,
    },
    /// The batch ran, but its answer exceeded the size limit and was discarded.
    TooLarge {
        /// The transaction status after the batch.
        status: Status,
        /// The mark of the commit.
        mark: Option<Mark>,
    },
    /// The connection was lost.
    Lost {
        /// Whether any byte of the batch may have reached the server.
        sent: bool,
    },
}

/// An event on the connections to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A data connection is open.
    Opened(id::Connection),
    /// A data connection could not be opened.
    Failed {
        /// The connection.
        connection: id::Connection,
        /// Whether the server is at its connection limit.
        full: bool,
    },
    /// A batch ended.
    Ended {
        /// The connection.
        connection: id::Connection,
        /// The request.
        request: id::Request,
        /// How it ended.
        ended: Completion,
    },
    /// The reset of a data connection ended; the connection is closed if it failed.
    Reset {
        /// The connection.
        connection: id::Connection,
        /// Whether the connection can be reused.
        clean: bool,
    },
    /// A data connection was closed while no batch was running.
    Closed(id::Connection),
    /// A control question ended.
    Answered {
        /// The question.
        question: id::Question,
        /// The report, or why there is none.
        result: std::result::Result<Report, Failure>,
    },
}

/// A call to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Opens a data connection.
    Open {
        /// The id of the new connection.
        connection: id::Connection,
        /// The server's address.
        address: SocketAddr,
    },
    /// Runs a batch on a data connection.
    Run {
        /// The connection.
        connection: id::Connection,
        /// The request, repeated in the answer.
        request: id::Request,
        /// For writes, the term at which the server must be primary.
        term: Option<id::Term>,
        /// Whether the batch must not write.
        read_only: bool,
        /// Session variables to set first.
        variables: Vec<(CompactString, CompactString)>,
        /// The caller's id of a write, stored in the same transaction.
        idempotency: Option<id::Idempotency>,
        /// The messages.
        batch: Batch,
    },
    /// Asks the server to cancel the batch that is running on a data connection.
    Cancel(id::Connection),
    /// Rolls back and discards session state.
    Reset(id::Connection),
    /// Closes a data connection.
    Close(id::Connection),
    /// Sends a control question on the server's control connection.
    Ask {
        /// The question's id.
        question: id::Question,
        /// The server's address.
        address: SocketAddr,
        /// The question.
        ask: Ask,
        /// How long to wait for the answer.
        timeout: Duration,
    },
}
