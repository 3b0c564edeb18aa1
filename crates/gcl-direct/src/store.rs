//! The reducer's view of the platform's store: three topics, conditional writes, and leases.
//!
//! A topic is followed by reading all of it and then watching it repeatedly, each time from the
//! revision of the previous response. The reducer requests each step, and so sets the pace.

use crate::{config::Config, directory::Entry, evacuation};
use bytes::Bytes;
use compact_str::CompactString;
use gcl_core::{code::Fault, id, store::Lease};
use std::time::Duration;

pub use gcl_core::store::Failure;

/// Prefix of all keys that the daemons write.
pub const COORDINATION_PREFIX: &str = "goldcrest/";

/// Number of times the store was restored; see [`crate::era`]. Zero while it does not report one.
pub type Era = u64;

/// The result of a store call.
pub type Result<T> = std::result::Result<T, Failure>;

/// A set of keys that a daemon follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Topic {
    /// What the operators wrote: the configuration and the evacuated failure domains.
    Operator,
    /// Backend servers.
    Servers,
    /// The daemons' coordination keys: registrations, intentions and markers.
    Coordination,
}

impl Topic {
    /// All topics.
    pub const ALL: [Self; 3] = [Self::Operator, Self::Servers, Self::Coordination];

    /// A short name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Operator => "configuration",
            Self::Servers => "servers",
            Self::Coordination => "own keys",
        }
    }
}

/// A coordination key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: CompactString,
    /// Its value, `None` if it was removed.
    pub value: Option<Bytes>,
    /// The revision of its last change.
    pub revision: id::Revision,
    /// The lease it is attached to, zero for none.
    pub lease: Lease,
}

/// Contents of a topic, from a read or a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum Contents {
    /// What the operators wrote.
    Operator {
        /// The configuration, or why it could not be read; `None` if there is none or it did not
        /// change.
        config: Option<std::result::Result<Box<Config>, Fault>>,
        /// Evacuations of failure domains.
        evacuations: Vec<evacuation::Change>,
    },
    /// Servers; `None` for a removed one, a fault for an entry without a usable server.
    Servers(Vec<(id::Server, Option<std::result::Result<Entry, Fault>>)>),
    /// Coordination keys.
    Coordination(Vec<Item>),
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reads a topic.
    Read(Topic),
    /// Waits for changes of a topic after a revision.
    Watch(Topic, id::Revision),
    /// Writes a coordination key if its revision is `expected`, zero for absent.
    Write {
        /// The call's id.
        call: id::Call,
        /// The key.
        key: CompactString,
        /// The revision of the key's last change.
        expected: id::Revision,
        /// The value.
        value: Bytes,
        /// The lease to attach it to, zero for none.
        lease: Lease,
    },
    /// Requests a lease of this duration.
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

/// The outcome of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// Written at this revision.
    Done(id::Revision),
    /// The key had changed.
    Conflict,
    /// The lease had ended.
    NoLease,
}

/// A response of the store, and its era.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The era, zero if none was reported, as for a call without a response.
    pub era: Era,
    /// The response.
    pub event: Event,
}

/// A response of the store. Its revisions are orders as defined by [`crate::era::order`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The result of a read, with its revision.
    Read(Topic, Result<(Contents, id::Revision)>),
    /// The result of a watch from a revision: changes, and the revision to continue from.
    Watched(Topic, id::Revision, Result<(Contents, id::Revision)>),
    /// The result of a write.
    Written(id::Call, Result<Written>),
    /// The result of a lease request: the lease and its granted duration.
    Granted(Result<(Lease, Duration)>),
    /// The result of a renewal: false if the lease had ended.
    Renewed(Lease, Result<bool>),
    /// The result of the end of a lease.
    Revoked(Lease, Result<()>),
}

impl Event {
    /// The same call without its response.
    #[must_use]
    pub fn into_lost(self) -> Self {
        let failure = Failure::Lost;
        match self {
            Self::Read(topic, _) => Self::Read(topic, Err(failure)),
            Self::Watched(topic, after, _) => Self::Watched(topic, after, Err(failure)),
            Self::Written(call, _) => Self::Written(call, Err(failure)),
            Self::Granted(_) => Self::Granted(Err(failure)),
            Self::Renewed(lease, _) => Self::Renewed(lease, Err(failure)),
            Self::Revoked(lease, _) => Self::Revoked(lease, Err(failure)),
        }
    }
}
