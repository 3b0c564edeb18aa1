//! The audit record, also called the record: a structured line for each decision and each refusal,
//! hash-chained ([`chain`]) and anchored in the store ([`anchor`]).

pub mod anchor;
pub mod chain;

use crate::{code::Code, id};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The subject of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A caller logged in or was refused.
    Login,
    /// A request was routed to a server.
    Route,
    /// A request ended.
    Outcome,
    /// A request was refused.
    Refusal,
    /// A change of keys, rules or other configuration objects took effect.
    Config,
    /// A database changed its primary, or attempted to.
    Failover,
    /// The home of a server changed.
    Placement,
    /// A daemon joined, left or was suspected.
    Member,
    /// A seat of a rate limit changed its holder.
    Seat,
    /// An operator ran an operation.
    Operation,
    /// Lines were dropped at this point.
    Gap,
    /// The heads of a failure domain's chains were anchored.
    Anchor,
}

/// A line of the record. Empty fields are omitted from its JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// The subject of the line.
    pub kind: Kind,
    /// The result code, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub code: Option<Code>,
    /// The workspace.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub workspace: id::Workspace,
    /// The public half of the key.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub key: id::Key,
    /// The session of the caller.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<id::Session>,
    /// The request, in hexadecimal.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub request: CompactString,
    /// The routing rule.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub rule: id::Rule,
    /// The revision of the configuration.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<id::Revision>,
    /// The database.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub database: id::Database,
    /// The backend server.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub server: id::Server,
    /// The term.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub term: Option<id::Term>,
    /// The reason or the details of the event.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub reason: CompactString,
}

impl Line {
    /// A line with only its kind set.
    #[must_use]
    pub fn new(kind: Kind) -> Self {
        Self {
            kind,
            code: None,
            workspace: CompactString::default(),
            key: CompactString::default(),
            session: None,
            request: CompactString::default(),
            rule: CompactString::default(),
            revision: None,
            database: CompactString::default(),
            server: CompactString::default(),
            term: None,
            reason: CompactString::default(),
        }
    }
}

/// Formats a request id as it is written in the record.
#[must_use]
pub fn format_request_id(id: id::Request) -> CompactString {
    compact_str::format_compact!("{id:032x}")
}
