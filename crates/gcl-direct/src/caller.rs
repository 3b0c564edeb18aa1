//! What passes between a caller's connection and the reducer.

use crate::statement::Query;
use bytes::Bytes;
use compact_str::CompactString;
use gcl_core::{batch::Status, code::Fault, id, mark::Mark};
use serde::{Deserialize, Serialize};

/// What a caller's connection did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// It named the database and showed its key.
    Login {
        /// The service that the caller asks for.
        service: id::Service,
        /// The key, empty for none.
        key: CompactString,
    },
    /// It sent a statement.
    Query(Query),
    /// It sent something that is no message, or too large a one.
    Malformed(Fault),
    /// The connection ended.
    Closed,
}

/// A message for the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// A row, passed on as the server sent it.
    Row(Bytes),
    /// Success with the server's receipt, or without for what the daemon answers itself.
    Complete(Option<Bytes>),
    /// A refusal or failure.
    Error(Fault),
    /// A failure that the backend server reported, passed on with its own words.
    Failed(CompactString),
    /// The session waits for the next statement.
    Ready(Status, Option<Mark>),
}

/// What a caller's connection is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Sends messages in order, flushed together.
    Send(Vec<Reply>),
    /// Flushes and closes.
    Close,
}
