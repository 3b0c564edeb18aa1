//! Request and response bodies of the operators' API, shared with the command-line tool.

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
    /// Expected revision of the object's last change, zero for none; if not given, the one known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<id::Revision>,
}

/// Body of `POST apply` and `POST diff`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Apply {
    /// Names the change in the record and the history.
    pub change: CompactString,
    /// The objects to put in force.
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

/// Body of `POST key/issue`; the secret itself never leaves the tool that generated it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Issue {
    /// Names the change.
    pub change: CompactString,
    /// The key with the hash of its secret.
    pub key: Key,
}

/// Status of one object's change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The change would be made (dry run).
    Planned,
    /// The change was made.
    Changed,
    /// The object was already as requested.
    Unchanged,
    /// Another change was made first.
    Conflict,
    /// The change may or may not have been made.
    Unknown,
    /// The change was not made.
    Failed,
    /// The change was not attempted, since an earlier one was not made.
    Skipped,
}

/// Outcome of one object's change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The object's store key.
    pub key: CompactString,
    /// The status of the change.
    pub status: Status,
    /// The revision in force now, as far as known.
    pub revision: id::Revision,
    /// The number of the code of a failure.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub code: Option<u16>,
    /// The object that the operator requested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ours: Option<Object>,
    /// The object in force instead, or before the change.
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
    /// Route keys that were sampled.
    pub sampled: u32,
    /// Those that would move to another database.
    pub moved: u32,
    /// Those whose writes would be rejected.
    pub closed: u32,
}

/// Response to every change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the change.
    pub change: CompactString,
    /// One outcome for each object, in the order of the changes.
    pub results: Vec<Outcome>,
    /// Route keys that would move; dry run only.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub moved: Vec<Relocation>,
    /// Why the change would be refused; dry run only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<crate::code::Fault>,
}

/// Response to `GET get/KIND`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The configuration's revision.
    pub revision: id::Revision,
    /// The objects.
    pub objects: Vec<Versioned<Object>>,
}

/// A change that came into force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Its revision.
    pub revision: id::Revision,
    /// The object's store key.
    pub key: CompactString,
    /// Name of the change.
    pub change: CompactString,
    /// Name of the operator's token.
    pub operator: CompactString,
    /// Whether the object was removed.
    pub removed: bool,
}

/// Response to `GET history`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The revision after which every change is listed.
    pub since: id::Revision,
    /// The changes in order.
    pub events: Vec<Event>,
}

/// Another daemon in the view of this one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub daemon: id::Daemon,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether it is considered alive and thus eligible as a home.
    pub alive: bool,
    /// The last known revision of its configuration.
    pub revision: Option<id::Revision>,
}

/// A backend server and its home, the daemon that its statements are routed to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Home {
    /// The server.
    pub server: id::Server,
    /// Its database.
    pub database: id::Database,
    /// Its home, if any.
    pub daemon: Option<id::Daemon>,
    /// Whether it is the primary, as far as this daemon knows.
    pub primary: bool,
}

/// Response to `GET status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overview {
    /// The daemon that responds.
    pub daemon: id::Daemon,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether it is draining.
    pub draining: bool,
    /// The configuration's revision.
    pub revision: id::Revision,
    /// The revision of the last change to the configuration.
    pub applied: id::Revision,
    /// Milliseconds since the configuration was last confirmed to be current.
    pub age_ms: Option<u64>,
    /// Milliseconds since the store itself last confirmed that to this daemon.
    pub direct_age_ms: Option<u64>,
    /// Whether it watches the store itself.
    pub relay: bool,
    /// The daemon that it polls otherwise.
    pub parent: Option<id::Daemon>,
    /// The other daemons.
    pub members: Vec<Peer>,
    /// The selected backend servers.
    pub homes: Vec<Home>,
}

/// A daemon where a revision is not known to be in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lagging {
    /// The daemon.
    pub daemon: id::Daemon,
    /// Its last known revision.
    pub revision: Option<id::Revision>,
}

/// Response to `GET config/wait`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wait {
    /// The revision waited for.
    pub revision: id::Revision,
    /// Whether it is in force in every known live daemon.
    pub in_force: bool,
    /// The daemons where it is not.
    pub behind: Vec<Lagging>,
}

/// Body of `POST primary/move`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// Selects the databases.
    pub database: CompactString,
    /// Selects the servers of which one is to become primary.
    pub to: CompactString,
}

/// Response to `POST primary/move`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moves {
    /// One switchover for each selected database.
    pub moves: Vec<Switchover>,
}

/// A switchover that was started or refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Switchover {
    /// The database.
    pub database: id::Database,
    /// The server that is to become its primary.
    pub to: Option<id::Server>,
    /// Why the switchover was refused.
    pub refusal: Option<Fault>,
}
