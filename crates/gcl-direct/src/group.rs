//! The primary of one database: which server it is, how it is moved, and its log positions.
//!
//! Until the daemons first move the primary, it is the one server that registers itself as such.
//! After that it is the target of the newest intention in the store, once that server has
//! registered itself as primary after the intention was written. In between there is no primary.
//! An intention is the record that announces a move and orders it among others.

use crate::{
    directory::{self, Directory},
    era,
    observation::History,
    quorum,
    store::Era,
};
use compact_str::{CompactString, format_compact};
use gcl_core::{id, mark::Mark};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Prefix of the intentions' keys.
pub const PREFIX: &str = "goldcrest/group/";

/// The intention to move a primary, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intention {
    /// The primary that may no longer be used.
    pub from: id::Server,
    /// The server to promote.
    pub to: id::Server,
    /// The daemon that moves the primary.
    pub by: id::Daemon,
    /// That daemon's incarnation.
    pub incarnation: id::Incarnation,
    /// Whether the old primary still works, so that its transactions may finish first.
    pub planned: bool,
}

/// An intention as written to the store. A store that was restored from a snapshot may have lost it
/// or hold an older one, so the revision alone does not determine which of two is newer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The intention.
    #[serde(flatten)]
    pub intention: Intention,
    /// The era in which it was written.
    #[serde(default)]
    pub era: Era,
    /// Its original order if it was written again after a restore, otherwise zero.
    #[serde(default)]
    pub order: id::Revision,
}

impl Record {
    /// The order of the intention, given the revision at which it was read.
    #[must_use]
    pub const fn order(&self, revision: id::Revision) -> id::Revision {
        if self.order == 0 { era::order(self.era, era::revision(revision)) } else { self.order }
    }
}

/// The key of a database's intention.
#[must_use]
pub fn key(database: &str) -> CompactString {
    format_compact!("{PREFIX}{database}")
}

/// A move of a primary, as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The intention.
    pub intention: Intention,
    /// Its order among intentions, which is also the fencing token of its promotion.
    pub revision: id::Revision,
    /// When this daemon first saw it.
    pub seen: Duration,
    /// Whether the moving daemon certainly waits for this daemon's acknowledgement: this daemon
    /// held the authority by its own lease when it first saw the intention.
    pub ack_awaited: bool,
}

/// A daemon's view of one database.
#[derive(Clone, Debug, Default)]
pub struct Group {
    /// The newest move.
    pub latest_move: Option<Move>,
    /// Whether this daemon has released the old primary of that move.
    pub released: bool,
    /// The order of the newest move whose target is known to have become primary.
    pub completed: id::Revision,
    /// The revision of the intention's key in the current era, zero for absent.
    pub key_revision: id::Revision,
    /// The order of the intention that the key holds.
    pub key_order: id::Revision,
    /// Log positions of the primary over time.
    pub history: History,
    /// The last known primary.
    pub last_primary: Option<id::Server>,
    /// The newest log position that earlier incarnations of its primaries reported, and, with
    /// synchronous replicas, those whose entries lapsed. Commits up to it may have been acknowledged,
    /// whatever those servers hold since.
    pub acknowledged: Option<Mark>,
    /// The servers that may hold acknowledged commits, if it has synchronous replicas.
    pub members: quorum::Members,
}

impl Group {
    /// Records a newer intention; see [`Move::ack_awaited`].
    pub fn set_move(
        &mut self,
        intention: Intention,
        revision: id::Revision,
        now: Duration,
        ack_awaited: bool,
    ) {
        self.latest_move = Some(Move { intention, revision, seen: now, ack_awaited });
        self.released = false;
    }
}

/// The primary of a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Leader {
    /// This server.
    Known(id::Server),
    /// The primary is being moved.
    Moving,
    /// No server, or more than one, registers itself as primary.
    Unknown,
}

/// Determines the primary of a database.
#[must_use]
pub fn leader(group: &Group, directory: &Directory, database: &str) -> Leader {
    if let Some(moved) = &group.latest_move {
        let target = directory.get(&moved.intention.to);
        let took_over =
            target.is_some_and(|entry| entry.claims_primary && entry.revision > moved.revision);
        let announced = target.is_some() && group.completed == moved.revision;
        return if took_over || announced {
            Leader::Known(moved.intention.to.clone())
        } else {
            Leader::Moving
        };
    }
    let mut primaries =
        directory::servers(directory, database).filter(|(_, entry)| entry.claims_primary);
    match (primaries.next(), primaries.next()) {
        (Some((server, _)), None) => Leader::Known(server.clone()),
        _ => Leader::Unknown,
    }
}
