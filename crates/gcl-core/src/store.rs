//! The narrow interface of the platform's key-value service.

use crate::id;
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A lease of the store.
pub type Lease = u64;

/// A value with its revisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: CompactString,
    /// The value.
    #[serde(with = "crate::value")]
    pub value: Bytes,
    /// The revision of its last change.
    pub revision: id::Revision,
    /// The lease it hangs on, zero for none.
    pub lease: Lease,
}

/// A change seen by a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The key was created or changed.
    Put(Entry),
    /// The key was removed at a revision.
    Deleted {
        /// The key.
        key: CompactString,
        /// The revision of the removal.
        revision: id::Revision,
    },
}

impl Change {
    /// The key that changed.
    #[must_use]
    pub const fn key(&self) -> &CompactString {
        match self {
            Self::Put(entry) => &entry.key,
            Self::Deleted { key, .. } => key,
        }
    }

    /// The revision of the change.
    #[must_use]
    pub const fn revision(&self) -> id::Revision {
        match self {
            Self::Put(entry) => entry.revision,
            Self::Deleted { revision, .. } => *revision,
        }
    }
}

/// A question to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Reads a key.
    Get(CompactString),
    /// Reads all keys with a prefix, at one revision.
    List(CompactString),
    /// Writes a key if its last change is `expected`, zero for absent.
    Put {
        /// The key.
        key: CompactString,
        /// The revision of the key's last change.
        expected: id::Revision,
        /// The new value.
        #[serde(with = "crate::value")]
        value: Bytes,
        /// The lease to hang it on, zero for none.
        lease: Lease,
    },
    /// Writes a key and touches a guard, at one revision, if the last change of each is as expected.
    Swap {
        /// The guard.
        guard: CompactString,
        /// The revision of the guard's last change, zero for absent.
        held: id::Revision,
        /// The key.
        key: CompactString,
        /// The revision of the key's last change, zero for absent.
        expected: id::Revision,
        /// The new value.
        #[serde(with = "crate::value")]
        value: Bytes,
    },
    /// Removes a key if its last change is `expected`.
    Delete {
        /// The key.
        key: CompactString,
        /// The revision of the key's last change.
        expected: id::Revision,
    },
    /// Creates a lease.
    Grant(Duration),
    /// Renews a lease.
    Renew(Lease),
    /// Ends a lease and removes its keys.
    Revoke(Lease),
    /// Watches a prefix from a revision on, until the watch is lost.
    Watch {
        /// The prefix.
        prefix: CompactString,
        /// The first revision to report.
        from: id::Revision,
    },
    /// Reads the platform's lagging list of VMs.
    Vms,
    /// Ends a watch, without an answer.
    Unwatch(id::Call),
}

/// A call with its id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The call, matched in the answer; a watch keeps its id.
    pub call: id::Call,
    /// What is asked.
    pub op: Op,
    /// How long to wait for the answer; a watch has no end.
    pub timeout: Duration,
}

/// A VM on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The daemon's name.
    pub daemon: id::Daemon,
    /// The failure domain.
    pub domain: id::Domain,
    /// Address of the daemon's peer port, `ip:port`.
    pub address: CompactString,
    /// Whether the platform is about to stop it.
    pub leaving: bool,
}

/// A successful answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The key, if it exists, with the store's revision.
    Value(Option<Entry>, id::Revision),
    /// The keys, with the store's revision.
    List(Vec<Entry>, id::Revision),
    /// The change was made at a revision.
    Changed(id::Revision),
    /// The expectation failed; the key as it is now.
    Conflict(Option<Entry>, id::Revision),
    /// The lease.
    Lease(Lease),
    /// The lease is gone.
    NoLease,
    /// The list of VMs.
    Vms(Vec<Vm>),
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// The store was not reached: nothing happened.
    Unreached,
    /// The answer was lost: the change may have taken effect.
    Lost,
    /// The store refused the call, as over its rate.
    Refused,
    /// The revision to watch from is compacted; list again.
    Compacted,
}

/// What came from the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A call ended; for a watch, it ended the watch.
    Answered {
        /// The call.
        call: id::Call,
        /// Its result.
        result: std::result::Result<Reply, Failure>,
    },
    /// A watch saw changes, or made progress without any.
    Watched {
        /// The watch.
        call: id::Call,
        /// Changes in order.
        changes: Vec<Change>,
        /// The store's revision, up to which nothing was missed.
        revision: id::Revision,
    },
}
