//! Calls to the platform's key-value store and their events.

use crate::id;
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The id of a lease in the store.
pub type Lease = u64;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: CompactString,
    /// The value.
    #[serde(with = "crate::value")]
    pub value: Bytes,
    /// The revision of the key's last change.
    pub revision: id::Revision,
    /// The lease that the key is attached to, zero for none.
    pub lease: Lease,
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The key was created or changed.
    Put(Entry),
    /// The key was deleted.
    Deleted {
        /// The key.
        key: CompactString,
        /// The revision of the deletion.
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

/// An operation of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Reads a key.
    Get(CompactString),
    /// Reads all keys with a prefix, as of one revision.
    List(CompactString),
    /// Writes a key if the revision of its last change is `expected`, zero for a missing key.
    Put {
        /// The key.
        key: CompactString,
        /// The revision of the key's last change.
        expected: id::Revision,
        /// The new value.
        #[serde(with = "crate::value")]
        value: Bytes,
        /// The lease to attach the key to, zero for none.
        lease: Lease,
    },
    /// Writes a key and touches a guard key at one revision, if the last change of each is as
    /// expected.
    Swap {
        /// The guard key.
        guard: CompactString,
        /// The expected revision of the guard's last change, zero for a missing key.
        held: id::Revision,
        /// The key.
        key: CompactString,
        /// The expected revision of the key's last change, zero for a missing key.
        expected: id::Revision,
        /// The new value.
        #[serde(with = "crate::value")]
        value: Bytes,
    },
    /// Deletes a key if the revision of its last change is `expected`.
    Delete {
        /// The key.
        key: CompactString,
        /// The revision of the key's last change.
        expected: id::Revision,
    },
    /// Creates a lease with a time to live.
    Grant(Duration),
    /// Renews a lease.
    Renew(Lease),
    /// Revokes a lease and deletes its keys.
    Revoke(Lease),
    /// Watches a prefix from a revision onwards, until the watch is lost.
    Watch {
        /// The prefix.
        prefix: CompactString,
        /// The first revision to report.
        from: id::Revision,
    },
    /// Reads the platform's list of VMs, which lags behind the actual fleet.
    Vms,
    /// Ends a watch; there is no answer.
    Unwatch(id::Call),
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The id of the call, repeated in the answer and in all events of a watch.
    pub call: id::Call,
    /// The operation.
    pub op: Op,
    /// How long to wait for the answer; does not end a watch.
    pub timeout: Duration,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The daemon's name.
    pub daemon: id::Daemon,
    /// The failure domain.
    pub domain: id::Domain,
    /// Address of the daemon's peer port, `ip:port`.
    pub address: CompactString,
    /// Whether the platform is about to stop the VM.
    pub leaving: bool,
}

/// A successful answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The key, if it exists, and the store's revision.
    Value(Option<Entry>, id::Revision),
    /// The keys, and the store's revision.
    List(Vec<Entry>, id::Revision),
    /// The change was made at this revision.
    Changed(id::Revision),
    /// The expected revision did not match; the key's current entry, and the store's revision.
    Conflict(Option<Entry>, id::Revision),
    /// The id of the lease that was created or renewed.
    Lease(Lease),
    /// The lease does not exist or has expired.
    NoLease,
    /// The list of VMs.
    Vms(Vec<Vm>),
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// The store was unreachable: the call had no effect.
    Unreached,
    /// The answer was lost: the change may have taken effect.
    Lost,
    /// The store refused the call, for example because of its rate limit.
    Refused,
    /// The revision to watch from was compacted; the keys must be listed again.
    Compacted,
}

/// An event of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A call ended, or the watch that it had started.
    Answered {
        /// The call.
        call: id::Call,
        /// The result of the call.
        result: std::result::Result<Reply, Failure>,
    },
    /// A watch reported changes, or progress without changes.
    Watched {
        /// The watch.
        call: id::Call,
        /// The changes in order.
        changes: Vec<Change>,
        /// The revision up to which all changes have been reported.
        revision: id::Revision,
    },
}
