//! What passes between a caller's connection and the reducer.

use crate::{
    batch::{Frame, Status},
    code::{Code, Fault},
    id, key,
};
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr};

/// A caller's key as far as the reducer sees it: its public half, and the hash of its secret half.
///
/// The secret itself is forgotten where it is read, so that no state, trace or log can hold it.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Secret {
    name: id::Key,
    hash: CompactString,
}

impl Secret {
    /// Takes a key as the caller sent it, `id.secret`.
    #[must_use]
    pub fn new(text: &str) -> Self {
        let (name, secret) = text.split_once('.').unwrap_or_default();
        Self { name: name.into(), hash: key::hash(secret).into() }
    }

    /// The public half, empty for a text that is no key.
    #[must_use]
    pub const fn name(&self) -> &id::Key {
        &self.name
    }

    /// SHA-256 of the secret half, hexadecimal.
    #[must_use]
    pub const fn hash(&self) -> &CompactString {
        &self.hash
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Secret").field("name", &self.name).finish_non_exhaustive()
    }
}

/// What a `Describe` or `Close` names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A prepared statement.
    Statement,
    /// A portal.
    Portal,
}

/// What a caller's connection did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The connection was accepted.
    Opened {
        /// Where the caller connects from.
        address: SocketAddr,
        /// Whether the connection is encrypted.
        encrypted: bool,
    },
    /// The connection was refused before its startup.
    Refused {
        /// Where the caller connects from.
        address: SocketAddr,
        /// Why.
        code: Code,
    },
    /// The startup packet: `user`, `database`, `options` and others.
    Startup(Vec<(CompactString, CompactString)>),
    /// The key.
    Password(Secret),
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
        /// Most rows to return, zero for all.
        max_rows: i32,
    },
    /// Closes a statement or portal.
    Close(Kind, CompactString),
    /// Asks for the answers so far.
    Flush,
    /// Ends a batch.
    Sync,
    /// A message that the proxy does not carry, by its type byte.
    Unsupported(u8),
    /// Bytes that are no message of the protocol.
    Malformed(CompactString),
    /// A message over the size limit, in bytes.
    Oversized(u64),
    /// A cancel request that arrived on a connection of its own.
    Cancel {
        /// The process number of the session to cancel.
        process: i32,
        /// Its secret.
        secret: i32,
    },
    /// The caller said goodbye.
    Terminate,
    /// The connection ended.
    Closed,
}

/// A message for the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Asks for the key.
    AskPassword,
    /// The key was accepted.
    Welcome,
    /// Reports a parameter.
    Parameter(CompactString, CompactString),
    /// The numbers that a cancel request must show.
    CancelKey {
        /// The process number.
        process: i32,
        /// The secret.
        secret: i32,
    },
    /// Messages passed on from a backend server.
    Frames(Vec<Frame>),
    /// Acknowledges a `Parse`.
    ParseComplete,
    /// Acknowledges a `Close`.
    CloseComplete,
    /// Acknowledges an empty query.
    EmptyQuery,
    /// Ends a command that the entry answered itself.
    Complete(CompactString),
    /// A result with one text column and one row.
    Row {
        /// The column's name.
        column: CompactString,
        /// The value.
        value: CompactString,
    },
    /// A refusal; `fatal` ends the connection.
    Error {
        /// What was wrong.
        fault: Fault,
        /// Whether the connection ends.
        fatal: bool,
    },
    /// The session waits for the next command.
    Ready(Status),
}

/// What a caller's connection is to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Sends messages in order, flushed together.
    Send(Vec<Reply>),
    /// Stops reading until the next `Send`; bounds what a caller can have in flight.
    Pause,
    /// Reads on.
    Resume,
    /// Flushes and closes.
    Close,
}
