//! Events and effects of callers' connections.

use crate::statement::Query;
use bytes::Bytes;
use compact_str::CompactString;
use gcl_core::{batch::Status, code::Fault, id, mark::Mark};
use serde::{Deserialize, Serialize};

/// An event on a caller's connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The caller logged in.
    Login {
        /// The requested service.
        service: id::Service,
        /// The key, empty for none.
        key: CompactString,
    },
    /// The caller sent a statement.
    Query(Query),
    /// The caller sent an invalid or oversized message.
    Malformed(Fault),
    /// The connection ended.
    Closed,
}

/// A message for the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// A row, as the server sent it.
    Row(Bytes),
    /// Success, with the server's completion message or `None` if the daemon answered by itself.
    Complete(Option<Bytes>),
    /// An error of this system.
    Error(Fault),
    /// An error of the backend server, with its original text.
    Failed(CompactString),
    /// The session is ready for the next statement; with its transaction state and log position.
    Ready(Status, Option<Mark>),
}

/// An action on a caller's connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Sends messages in order, with one flush.
    Send(Vec<Reply>),
    /// Flushes and closes.
    Close,
}
