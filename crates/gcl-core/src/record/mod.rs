//! The record: one structured line for each decision and refusal.

pub mod anchor;
pub mod chain;

use crate::{code::Code, id};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// What a line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A caller logged in or was refused.
    Login,
    /// A request was placed on a server.
    Route,
    /// A request ended.
    Outcome,
    /// A request was refused.
    Refusal,
    /// A key, rule or other object came into force.
    Config,
    /// A database changed its primary, or tried to.
    Failover,
    /// The home of a server changed.
    Placement,
    /// A daemon joined, left or was suspected.
    Member,
    /// A seat of a limit changed.
    Seat,
    /// An operator's operation.
    Operation,
    /// Lines were dropped here.
    Gap,
    /// The heads of a failure domain's chains were tied together.
    Anchor,
}

/// One line; empty fields are left out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// What the line is about.
    pub kind: Kind,
    /// The numbered result, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub code: Option<Code>,
    /// The workspace.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub workspace: id::Workspace,
    /// The public half of the key.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub key: id::Key,
    /// The caller's session.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<id::Session>,
    /// The request, in hexadecimal.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub request: CompactString,
    /// The routing rule.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub rule: id::Rule,
    /// The configuration's revision.
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
    /// Why.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub reason: CompactString,
}

impl Line {
    /// An empty line of a kind; set the fields that apply.
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

/// The text of a request id in the record.
#[must_use]
pub fn request(id: id::Request) -> CompactString {
    compact_str::format_compact!("{id:032x}")
}
