//! The objects that operators create, one store key each.

use crate::id;
use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Labels of an object.
pub type Labels = IndexMap<CompactString, CompactString>;

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Its name.
    pub name: id::Domain,
    /// Its region.
    pub region: id::Region,
    /// Its labels.
    #[serde(default)]
    pub labels: Labels,
}

/// A database service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name, which callers give as the database.
    pub name: id::Service,
    /// Its labels.
    #[serde(default)]
    pub labels: Labels,
}

/// A database: one replicated group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// Its name.
    pub name: id::Database,
    /// The service it belongs to.
    pub service: id::Service,
    /// Its labels.
    #[serde(default)]
    pub labels: Labels,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its name.
    pub name: id::Server,
    /// The database it holds.
    pub database: id::Database,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Most statements that it runs concurrently.
    pub slots: u32,
    /// Most connections that it accepts.
    pub connections: u32,
    /// Whether it is being taken out of service and gets no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Its labels.
    #[serde(default)]
    pub labels: Labels,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Its name, which callers give as the user.
    pub name: id::Workspace,
    /// Requests per second, over the whole fleet.
    pub rate: u32,
    /// Largest burst of requests, over the whole fleet.
    pub burst: u32,
    /// Its weight in the division of contended slots among workspaces.
    #[serde(default = "one")]
    pub weight: u32,
    /// Milliseconds for which its keys stay valid beyond the daemon's freshness bound while the
    /// configuration cannot be confirmed.
    #[serde(default)]
    pub offline_ms: u64,
    /// Its labels.
    #[serde(default)]
    pub labels: Labels,
}

const fn one() -> u32 {
    1
}

/// A key of a workspace; the secret half is not stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Its public half.
    pub name: id::Key,
    /// The workspace it gives access to.
    pub workspace: id::Workspace,
    /// SHA-256 of the secret half, hexadecimal.
    pub hash: CompactString,
    /// Whether it was withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
    /// Its labels.
    #[serde(default)]
    pub labels: Labels,
}

/// Whether a rule accepts writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The rule accepts reads and writes.
    #[default]
    Open,
    /// Writes to route keys that are about to move are rejected.
    Closing,
}

/// A routing rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Its name.
    pub name: id::Rule,
    /// The service whose requests it routes.
    pub service: id::Service,
    /// Selector over workspace labels; empty selects all.
    #[serde(default)]
    pub workspaces: CompactString,
    /// Selector over database labels; empty selects all of the service.
    #[serde(default)]
    pub databases: CompactString,
    /// Selector over the labels of the databases that route keys move to while `phase` is closing.
    #[serde(default)]
    pub next: Option<CompactString>,
    /// Whether requests need no key.
    #[serde(default)]
    pub open: bool,
    /// Default staleness bound of reads in milliseconds; zero for strong reads.
    #[serde(default)]
    pub max_age_ms: u64,
    /// Of the rules that match, the one of the highest priority applies.
    #[serde(default)]
    pub priority: i32,
    /// Whether it accepts writes.
    #[serde(default)]
    pub phase: Phase,
    /// Its labels.
    #[serde(default)]
    pub labels: Labels,
}

/// What an operator's token allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Reads status and configuration.
    Read,
    /// Changes objects other than keys and tokens.
    Change,
    /// Issues and withdraws keys.
    Keys,
}

/// An operator's token; only its hash is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Token {
    /// Its name.
    pub name: CompactString,
    /// SHA-256 of the token, hexadecimal.
    pub hash: CompactString,
    /// What it allows.
    pub roles: Vec<Role>,
    /// Its labels.
    #[serde(default)]
    pub labels: Labels,
}

/// Any object, tagged with its kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Object {
    /// A failure domain.
    Domain(Domain),
    /// A database service.
    Service(Service),
    /// A database.
    Database(Database),
    /// A backend server.
    Server(Server),
    /// A workspace.
    Workspace(Workspace),
    /// A key.
    Key(Key),
    /// A routing rule.
    Rule(Rule),
    /// An operator's token.
    Token(Token),
}
