//! What passes between the reducer and backend servers.
//!
//! Data connections carry callers' statements. A control line per server carries the five questions
//! that a database group answers; its adapter is thin, so that another group interface can take its
//! place.

use crate::{
    batch::{Batch, Frame, Status},
    id,
    mark::Mark,
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// What a server does in its group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Accepts writes at its term.
    Primary,
    /// Applies the log of a primary.
    #[default]
    Replica,
}

/// A server's account of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The highest term that it has accepted or been fenced at.
    pub term: id::Term,
    /// Its role at that term.
    pub role: Role,
    /// The last log entry that it holds durably.
    pub received: Mark,
    /// The last log entry that its reads see.
    pub applied: Mark,
}

/// A control question to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// Asks for its report.
    Status,
    /// Asks for its report once it holds `position` at `term`, or after `wait`.
    Await {
        /// The mark to reach: its term and position.
        mark: Mark,
        /// The longest wait.
        wait: Duration,
    },
    /// Raises its term; refused unless strictly higher. It accepts no write or replication of a
    /// lower term afterwards.
    Fence(id::Term),
    /// Makes it primary at a term that it was fenced at. It begins the term with a log entry of its
    /// own, so that a position of an earlier term is never the newest of a primary's log.
    Promote(id::Term),
    /// Makes it follow a server at a term.
    Follow {
        /// The term.
        term: id::Term,
        /// The primary's name.
        server: id::Server,
        /// The primary's address.
        address: SocketAddr,
    },
}

/// Why a question got no report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// The server refused, with its present report.
    Refused(Report),
    /// No answer came; the question may have taken effect.
    Lost(CompactString),
}

/// How an attempt to run a batch ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Completion {
    /// The server answered up to `ReadyForQuery`.
    Answered {
        /// The messages for the caller.
        frames: Vec<Frame>,
        /// The transaction status after it.
        status: Status,
        /// The mark of the commit made, or the applied mark that a replica's read saw.
        mark: Option<Mark>,
        /// SQLSTATE of the first error, if any.
        error: Option<CompactString>,
    },
    /// The answer passed the size limit and was dropped; the batch ran.
    TooLarge {
        /// The transaction status after it.
        status: Status,
        /// The mark of the commit made.
        mark: Option<Mark>,
    },
    /// The connection was lost; `sent` tells whether any byte of the batch may have left.
    Lost {
        /// Whether any byte of the batch may have reached the server.
        sent: bool,
    },
}

/// What happened at a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A data connection is open.
    Opened(id::Connection),
    /// A data connection could not be opened; `full` when the server has too many.
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
    /// A data connection is reset and clean, or gone if the reset failed.
    Reset {
        /// The connection.
        connection: id::Connection,
        /// Whether it can be used again.
        clean: bool,
    },
    /// A data connection closed outside a batch.
    Closed(id::Connection),
    /// A control question ended.
    Answered {
        /// The question.
        question: id::Question,
        /// The report or the reason for none.
        result: std::result::Result<Report, Failure>,
    },
}

/// What is asked of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Opens a data connection.
    Open {
        /// The connection's new id.
        connection: id::Connection,
        /// Where the server listens.
        address: SocketAddr,
    },
    /// Runs a batch on a data connection.
    Run {
        /// The connection.
        connection: id::Connection,
        /// The request, matched in the answer.
        request: id::Request,
        /// The term that the server must be primary at, for writes.
        term: Option<id::Term>,
        /// Whether the batch must not write.
        read_only: bool,
        /// Session variables to set first.
        variables: Vec<(CompactString, CompactString)>,
        /// The caller's id of a write, recorded in the same transaction.
        idempotency: Option<id::Idempotency>,
        /// The messages.
        batch: Batch,
    },
    /// Asks the server to cancel what runs on a data connection.
    Cancel(id::Connection),
    /// Rolls back and discards session state.
    Reset(id::Connection),
    /// Closes a data connection.
    Close(id::Connection),
    /// Asks a control question on the server's control line.
    Ask {
        /// The question's id.
        question: id::Question,
        /// Where the server listens.
        address: SocketAddr,
        /// The question.
        ask: Ask,
        /// How long to wait for the answer.
        timeout: Duration,
    },
}
