//! The platform's store as the reducer uses it: three topics to follow, conditional writes, leases.
//!
//! Following a topic is a read of all it holds and then a series of watches, each from the revision
//! of the one before. The reducer asks for each step, so that it decides the pace.

use crate::{config::Config, directory::Entry};
use bytes::Bytes;
use compact_str::CompactString;
use gcl_core::{code::Fault, id, store::Lease};
use std::time::Duration;

pub use gcl_core::store::Failure;

/// Prefix of all keys that the daemons write.
pub const OWN_PREFIX: &str = "goldcrest/";

/// How often the store has come back from a copy; see [`crate::era`]. Zero while it does not tell.
pub type Era = u64;

/// A call that has an answer, or why it has none.
pub type Result<T> = std::result::Result<T, Failure>;

/// What a daemon follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Topic {
    /// The operators' configuration.
    Config,
    /// Backend servers.
    Servers,
    /// The daemons' own keys.
    Own,
}

impl Topic {
    /// Every topic.
    pub const ALL: [Self; 3] = [Self::Config, Self::Servers, Self::Own];

    /// A short name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Config => "configuration",
            Self::Servers => "servers",
            Self::Own => "own keys",
        }
    }
}

/// One of the daemons' own keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: CompactString,
    /// Its value, `None` once it was removed.
    pub value: Option<Bytes>,
    /// The revision of its last change.
    pub revision: id::Revision,
    /// The lease it hangs on, zero for none.
    pub lease: Lease,
}

/// What a read or watch of a topic brought.
#[derive(Clone, Debug, PartialEq)]
pub enum Contents {
    /// The configuration, or why it could not be read; `None` while there is none.
    Config(Option<std::result::Result<Box<Config>, Fault>>),
    /// Servers; `None` for one that is gone, a fault for an entry that names no server to use.
    Servers(Vec<(id::Server, Option<std::result::Result<Entry, Fault>>)>),
    /// Own keys.
    Own(Vec<Item>),
}

/// A call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reads a topic.
    Read(Topic),
    /// Waits for changes of a topic after a revision.
    Watch(Topic, id::Revision),
    /// Writes an own key if its last change is `expected`, zero for absent.
    Write {
        /// The call.
        call: id::Call,
        /// The key.
        key: CompactString,
        /// The revision of the key's last change.
        expected: id::Revision,
        /// The value.
        value: Bytes,
        /// The lease to hang it on, zero for none.
        lease: Lease,
    },
    /// Asks for a lease.
    Grant(Duration),
    /// Renews a lease.
    Renew(Lease),
    /// Ends a lease and removes its keys.
    Revoke(Lease),
}

impl Call {
    /// A short name for metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Read(_) => "read",
            Self::Watch(..) => "watch",
            Self::Write { .. } => "write",
            Self::Grant(_) => "grant",
            Self::Renew(_) => "renew",
            Self::Revoke(_) => "revoke",
        }
    }
}

/// How a conditional write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// It was made, at this revision.
    Done(id::Revision),
    /// The key had changed.
    Conflict,
    /// The lease had ended.
    NoLease,
}

/// What came from the store, and the era that it belongs to.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The era, zero where none was told, as when a call was not answered.
    pub era: Era,
    /// What came.
    pub event: Event,
}

/// What came from the store. Revisions have their place in the order over all eras.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A topic was read at a revision.
    Read(Topic, Result<(Contents, id::Revision)>),
    /// A watch from a revision returned changes, and the revision to go on from.
    Watched(Topic, id::Revision, Result<(Contents, id::Revision)>),
    /// A write ended.
    Written(id::Call, Result<Written>),
    /// A lease was granted for a time.
    Granted(Result<(Lease, Duration)>),
    /// A lease was renewed; false when it had ended.
    Renewed(Lease, Result<bool>),
}

impl Event {
    /// The same call without its answer.
    #[must_use]
    pub fn lost(self) -> Self {
        let failure = Failure::Lost;
        match self {
            Self::Read(topic, _) => Self::Read(topic, Err(failure)),
            Self::Watched(topic, after, _) => Self::Watched(topic, after, Err(failure)),
            Self::Written(call, _) => Self::Written(call, Err(failure)),
            Self::Granted(_) => Self::Granted(Err(failure)),
            Self::Renewed(lease, _) => Self::Renewed(lease, Err(failure)),
        }
    }
}
