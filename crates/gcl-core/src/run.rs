//! Requests from entry to home, and their answers.
//!
//! The entry is the daemon that the caller is connected to; the home is the daemon that holds the
//! connections to the backend server.

use crate::{
    batch::{Batch, Frame, Status},
    code::Fault,
    id,
    mark::Mark,
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a statement requires of the server that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Access {
    /// The primary, acknowledged by a majority.
    Write,
    /// The primary, proven not superseded after the request arrived.
    Strong,
    /// Any server whose data is recent enough.
    Replica {
        /// The lowest log position that the replica must have applied. Without one, it must reach
        /// the primary's horizon, which is queried after the request arrived.
        floor: Option<Mark>,
        /// The maximum accepted age of the data.
        max_age: Duration,
        /// How long the home may wait for the replica to reach the floor or the age.
        wait: Duration,
    },
}

/// How a request relates to a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// A transaction of its own.
    Single,
    /// Opens a transaction, named by the request's id.
    Begin,
    /// Runs in an open transaction.
    Within(id::Transaction),
}

/// A request from an entry to the home of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request.
    pub request: id::Request,
    /// The entry's attempts to run this request, counted from one.
    pub attempt: u32,
    /// The workspace that sent it.
    pub workspace: id::Workspace,
    /// The database it runs in.
    pub database: id::Database,
    /// The server it runs on.
    pub server: id::Server,
    /// The revision of the rule that placed it.
    pub revision: id::Revision,
    /// What it requires of the server.
    pub access: Access,
    /// How it relates to a transaction.
    pub scope: Scope,
    /// Whether it commits or rolls back its transaction.
    pub ends: bool,
    /// Session variables to set on the connection first.
    pub variables: Vec<(CompactString, CompactString)>,
    /// The messages to run.
    pub batch: Batch,
    /// The caller's id of a write, which makes it idempotent.
    pub idempotency: Option<id::Idempotency>,
    /// Whether it may be sent again when its outcome is unknown.
    pub repeatable: bool,
    /// Time left until the request's deadline.
    pub budget: Duration,
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran, and its writes are held by a majority.
    Done {
        /// The messages for the caller.
        frames: Vec<Frame>,
        /// The transaction status after it.
        status: Status,
        /// The mark of its last commit, or the state that a read saw.
        mark: Option<Mark>,
    },
    /// It has not run and will not.
    NotRun(Fault),
    /// It may have run.
    Unknown(Fault),
}

/// A home's answer to a `Run`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The request answered.
    pub request: id::Request,
    /// The attempt answered.
    pub attempt: u32,
    /// The server that ran or refused it.
    pub server: id::Server,
    /// The outcome.
    pub outcome: Outcome,
    /// The newest term and primary that the home knows, if any.
    pub leader: Option<Leader>,
}

/// The primary of a database at a term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// The term.
    pub term: id::Term,
    /// The primary at that term.
    pub server: id::Server,
}
