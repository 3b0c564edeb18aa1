//! Events and effects of callers' connections.

use crate::{
    batch::{Frame, Status},
    code::{Code, Fault},
    id, key,
};
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr};

/// A caller's key, reduced to its public half and the hash of its secret half.
///
/// The secret itself is dropped on receipt, so that no state, trace or log can contain it.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Credential {
    name: id::Key,
    hash: CompactString,
}

impl Credential {
    /// Parses a key in the form that callers send, `id.secret`.
    #[must_use]
    pub fn new(text: &str) -> Self {
        let (name, secret) = text.split_once('.').unwrap_or_default();
        Self { name: name.into(), hash: key::hash(secret).into() }
    }

    /// The public half, empty if the text is not a key.
    #[must_use]
    pub const fn name(&self) -> &id::Key {
        &self.name
    }

    /// SHA-256 of the secret half in hexadecimal.
    #[must_use]
    pub const fn hash(&self) -> &CompactString {
        &self.hash
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Credential").field("name", &self.name).finish_non_exhaustive()
    }
}

/// The kind of object that a `Describe` or `Close` refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A prepared statement.
    Statement,
    /// A portal.
    Portal,
}

/// An event on a caller's connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The connection was accepted.
    Opened {
        /// The caller's address.
        address: SocketAddr,
        /// Whether the connection is encrypted.
        encrypted: bool,
    },
    /// The listener refused the connection before its startup packet.
    Refused {
        /// The caller's address.
        address: SocketAddr,
        /// The reason.
        code: Code,
    },
    /// The startup packet: `user`, `database`, `options` and others.
    Startup(Vec<(CompactString, CompactString)>),
    /// The key, sent as the password.
    Password(Credential),
    /// A simple query.
    Query(String),
    /// Prepares a statement.
    Parse {
        /// The statement's name, empty for the unnamed one.
        name: CompactString,
        /// The SQL text.
        sql: String,
        /// Declared parameter type OIDs.
        types: Vec<u32>,
    },
    /// Binds parameters to a statement.
    Bind {
        /// The portal's name.
        portal: CompactString,
        /// The statement's name.
        statement: CompactString,
        /// Format codes of the parameters.
        formats: Vec<i16>,
        /// Parameter values.
        parameters: Vec<Option<Bytes>>,
        /// Format codes of the result columns.
        results: Vec<i16>,
    },
    /// Describes a statement or portal.
    Describe(Kind, CompactString),
    /// Runs a portal.
    Execute {
        /// The portal's name.
        portal: CompactString,
        /// The maximum number of rows to return, zero for all.
        max_rows: i32,
    },
    /// Closes a statement or portal.
    Close(Kind, CompactString),
    /// Requests the responses to the messages so far.
    Flush,
    /// Ends a batch.
    Sync,
    /// A message that the proxy does not support, by its type byte.
    Unsupported(u8),
    /// Bytes that are not a valid message of the protocol, with the reason.
    Malformed(CompactString),
    /// A message over the size limit, with its size in bytes.
    Oversized(u64),
    /// A cancel request, which arrives on a connection of its own.
    Cancel {
        /// The process number of the session to cancel.
        process: i32,
        /// The secret of that session.
        secret: i32,
    },
    /// The caller ends the session.
    Terminate,
    /// The connection ended.
    Closed,
}

/// A message for the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Requests the key.
    AskPassword,
    /// The key was accepted.
    Welcome,
    /// Reports a parameter's name and value.
    Parameter(CompactString, CompactString),
    /// The credentials that a cancel request must present.
    CancelKey {
        /// The process number.
        process: i32,
        /// The secret.
        secret: i32,
    },
    /// Messages forwarded from a backend server.
    Frames(Vec<Frame>),
    /// Acknowledges a `Parse`.
    ParseComplete,
    /// Acknowledges a `Close`.
    CloseComplete,
    /// Acknowledges an empty query.
    EmptyQuery,
    /// Completes a command that the entry ran itself, with the command tag.
    Complete(CompactString),
    /// A result with one text column and one row.
    Row {
        /// The column's name.
        column: CompactString,
        /// The value.
        value: CompactString,
    },
    /// An error.
    Error {
        /// The result code and its detail.
        fault: Fault,
        /// Whether the error ends the connection.
        fatal: bool,
    },
    /// The session is ready for the next command.
    Ready(Status),
}

/// An action on a caller's connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Sends messages in order, with one flush.
    Send(Vec<Reply>),
    /// Stops reading until the next `Send`, which bounds the messages in flight from one caller.
    Pause,
    /// Resumes reading.
    Resume,
    /// Flushes and closes.
    Close,
}
