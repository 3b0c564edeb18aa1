//! The servers of one database: who leads, and what is known of each one's log.
//!
//! Until the daemons have moved the primary once, it is the one server that registers itself as
//! such. After that it is the target of the newest intention in the store, once that server has
//! registered itself as primary after the intention was written; in between there is none.

use crate::{
    directory::{self, Directory},
    era,
    observation::History,
    store::Era,
};
use compact_str::{CompactString, format_compact};
use gcl_core::id;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Prefix of the intentions' keys.
pub const PREFIX: &str = "goldcrest/group/";

/// The intention to move the primary, as it stands in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intention {
    /// The primary that nobody may use any more.
    pub from: id::Server,
    /// The server that takes over.
    pub to: id::Server,
    /// The daemon that moves it.
    pub by: id::Daemon,
    /// That daemon's life.
    pub incarnation: id::Incarnation,
    /// Whether the old primary still works and its transactions may end first.
    pub planned: bool,
}

/// An intention as it is written to the store. A store that comes back from a copy may have lost it, or
/// hold an older one, so that the revision alone does not tell which of two is newer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The intention.
    #[serde(flatten)]
    pub intention: Intention,
    /// The era in which it was written.
    #[serde(default)]
    pub era: Era,
    /// Its place in the order of intentions, if it was written once before; zero if not.
    #[serde(default)]
    pub order: id::Revision,
}

impl Record {
    /// The intention's place in the order of intentions, as it was read with a revision.
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

/// An intention as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The intention.
    pub intention: Intention,
    /// Its place in the order of intentions, which is also the fencing token of its promotion.
    pub revision: id::Revision,
    /// When this daemon first saw it.
    pub seen: Duration,
    /// Whether the mover certainly waits for this daemon to give the old primary up: it had the
    /// right by its own lease when it first saw the intention.
    pub awaited: bool,
}

/// What a daemon knows of one database.
#[derive(Clone, Debug, Default)]
pub struct Group {
    /// The newest intention.
    pub moved: Option<Move>,
    /// Whether this daemon has given up the old primary of that intention.
    pub released: bool,
    /// The newest intention whose target leads, as other daemons tell.
    pub done: id::Revision,
    /// The last change of the intention's key in the store's present era, zero for absent.
    pub written: id::Revision,
    /// The place of the intention that the key holds.
    pub held: id::Revision,
    /// Positions of the primary.
    pub history: History,
    /// The last server that was known to lead.
    pub last: Option<id::Server>,
}

impl Group {
    /// Takes note of a newer intention; see [`Move::awaited`].
    pub fn learn(
        &mut self,
        intention: Intention,
        revision: id::Revision,
        now: Duration,
        awaited: bool,
    ) {
        self.moved = Some(Move { intention, revision, seen: now, awaited });
        self.released = false;
    }
}

/// Who leads a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Leader {
    /// This server.
    Known(id::Server),
    /// The primary is being moved.
    Moving,
    /// No server, or more than one, registers itself as primary.
    Unknown,
}

/// The leader of a database.
#[must_use]
pub fn leader(group: &Group, directory: &Directory, database: &str) -> Leader {
    if let Some(moved) = &group.moved {
        let target = directory.get(&moved.intention.to);
        let took_over =
            target.is_some_and(|entry| entry.claims_primary && entry.revision > moved.revision);
        let told = target.is_some() && group.done == moved.revision;
        return if took_over || told {
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
