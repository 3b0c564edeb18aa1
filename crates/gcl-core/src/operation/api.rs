//! The documents that operators send and get, shared with the command-line tool.

use crate::{
    code::Fault,
    config::{
        object::{Key, Labels, Object},
        snapshot::Versioned,
    },
    id,
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// An object to put in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// The object.
    pub object: Object,
    /// The revision of the change that it replaces, zero for none; without it the one in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<id::Revision>,
}

/// Body of `POST apply` and `POST diff`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Apply {
    /// Names the change in the record and the history.
    pub change: CompactString,
    /// What is to be in force.
    pub objects: Vec<Item>,
}

/// Body of `POST label`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Label {
    /// Names the change.
    pub change: CompactString,
    /// The kind of the objects.
    pub kind: CompactString,
    /// Selects the objects by their labels.
    pub selector: CompactString,
    /// Labels to set.
    #[serde(default)]
    pub set: Labels,
    /// Labels to remove.
    #[serde(default)]
    pub unset: Vec<CompactString>,
}

/// Body of `POST delete` and, for keys, of `POST key/withdraw`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delete {
    /// Names the change.
    pub change: CompactString,
    /// The kind of the objects.
    pub kind: CompactString,
    /// Selects the objects by their labels; it may not be empty.
    pub selector: CompactString,
}

/// Body of `POST key/issue`; the secret itself never leaves the tool that drew it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Issue {
    /// Names the change.
    pub change: CompactString,
    /// The key with the hash of its secret.
    pub key: Key,
}

/// What became of one object's change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// It would be made.
    Planned,
    /// It was made.
    Changed,
    /// It was so already.
    Unchanged,
    /// Someone else changed the object.
    Conflict,
    /// It may or may not have been made.
    Unknown,
    /// It was not made.
    Failed,
    /// It was not tried, since one before it was not made.
    Skipped,
}

/// One object's change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The object's store key.
    pub key: CompactString,
    /// What became of it.
    pub status: Status,
    /// The revision in force now, as far as it is known.
    pub revision: id::Revision,
    /// The number of the refusal's code.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub code: Option<u16>,
    /// What the operator asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ours: Option<Object>,
    /// What is in force instead, or was before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub theirs: Option<Object>,
}

/// How many sampled route keys of a workspace would move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relocation {
    /// The service.
    pub service: id::Service,
    /// The workspace.
    pub workspace: id::Workspace,
    /// Route keys that were tried.
    pub sampled: u32,
    /// Those that would be placed in another database.
    pub moved: u32,
    /// Those that would take no writes.
    pub closed: u32,
}

/// The answer to every change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The change.
    pub change: CompactString,
    /// One line for each object, in the order in which they were changed.
    pub results: Vec<Outcome>,
    /// What would move, in a dry run only.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub moved: Vec<Relocation>,
    /// Why a real run would be refused, in a dry run only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<crate::code::Fault>,
}

/// The answer to `GET get/KIND`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The configuration's revision.
    pub revision: id::Revision,
    /// The objects.
    pub objects: Vec<Versioned<Object>>,
}

/// One change that came into force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Its revision.
    pub revision: id::Revision,
    /// The object's store key.
    pub key: CompactString,
    /// The change's name.
    pub change: CompactString,
    /// The operator's token.
    pub operator: CompactString,
    /// Whether the object was removed.
    pub removed: bool,
}

/// The answer to `GET history`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The revision after which every change is listed.
    pub since: id::Revision,
    /// The changes in order.
    pub events: Vec<Event>,
}

/// Another daemon, as this one sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub daemon: id::Daemon,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether it takes part in homes.
    pub alive: bool,
    /// The configuration's revision that it last showed.
    pub revision: Option<id::Revision>,
}

/// A backend server and its home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Home {
    /// The server.
    pub server: id::Server,
    /// Its database.
    pub database: id::Database,
    /// The daemon that is its home.
    pub daemon: Option<id::Daemon>,
    /// Whether it is the primary, as far as this daemon knows.
    pub primary: bool,
}

/// The answer to `GET status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overview {
    /// The daemon that answers.
    pub daemon: id::Daemon,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether it is draining.
    pub draining: bool,
    /// The configuration's revision.
    pub revision: id::Revision,
    /// The revision of the last change of the configuration.
    pub applied: id::Revision,
    /// Milliseconds since the configuration was known to be the newest.
    pub age_ms: Option<u64>,
    /// Milliseconds since this daemon itself heard so from the store.
    pub direct_age_ms: Option<u64>,
    /// Whether it follows the store itself.
    pub relay: bool,
    /// Whom it asks otherwise.
    pub parent: Option<id::Daemon>,
    /// The other daemons.
    pub members: Vec<Peer>,
    /// Backend servers, those that the selector chose.
    pub homes: Vec<Home>,
}

/// A daemon in which a revision is not known to be in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lagging {
    /// The daemon.
    pub daemon: id::Daemon,
    /// The revision that it last showed.
    pub revision: Option<id::Revision>,
}

/// The answer to `GET config/wait`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wait {
    /// The revision waited for.
    pub revision: id::Revision,
    /// Whether it is in force in every live daemon known.
    pub in_force: bool,
    /// Where it is not.
    pub behind: Vec<Lagging>,
}

/// Body of `POST primary/move`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// Selects the databases.
    pub database: CompactString,
    /// Selects the servers of which one is to be primary.
    pub to: CompactString,
}

/// The answer to `POST primary/move`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moves {
    /// The moves, by database.
    pub moves: Vec<Switchover>,
}

/// A move that was started or refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Switchover {
    /// The database.
    pub database: id::Database,
    /// The server that is to be its primary.
    pub to: Option<id::Server>,
    /// Why nothing was started.
    pub refusal: Option<Fault>,
}
