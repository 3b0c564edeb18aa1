//! This daemon's lease in the store, and the right to use primaries that it carries.
//!
//! Whoever replaces a primary first writes its intention to the store, and then waits until every
//! daemon that the store lists has acknowledged it or has lost its lease. A daemon may therefore
//! use the primary it knows for as long as its lease certainly holds: from the moment the last
//! renewal was *sent* for the granted time, on a clock that also counts suspension. A daemon that
//! comes back after its lease ended reads the intentions again before it has the right again.

use crate::store::Written;
use compact_str::{CompactString, format_compact};
use gcl_core::{id, mark::Mark, store::Lease};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time of a lease. It outlasts the store's usual outages of a few seconds, and bounds the wait for
/// a daemon that has gone without a word.
pub const TIME: Duration = Duration::from_secs(6);
/// Time between renewals; several may fail before the lease ends.
pub const RENEWAL: Duration = Duration::from_millis(1200);
/// Time before the next try after a failed call.
pub const RETRY: Duration = Duration::from_millis(400);
/// Age of the last renewal at which the store is taken to be out of reach.
const OVERDUE: Duration = Duration::from_millis(2500);
/// What the right ends before the lease, for the way of an answer through the daemon.
const MARGIN: Duration = Duration::from_millis(150);

/// Prefix of the daemons' keys.
pub const PREFIX: &str = "goldcrest/daemon/";

/// What a daemon says of itself in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// This life of the daemon.
    pub incarnation: id::Incarnation,
    /// Where it hears other daemons, `ip:port`.
    pub address: CompactString,
    /// Its failure domain.
    pub domain: id::Domain,
    /// What its VM can carry, in thousandths of a core.
    #[serde(default)]
    pub millicores: u32,
    /// What it has acknowledged for each database.
    pub acknowledged: IndexMap<id::Database, Release>,
}

/// A daemon's word that it uses no primary that an intention supersedes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The intention's revision.
    pub revision: id::Revision,
    /// The newest log position that the daemon saw at the old primary.
    pub mark: Option<Mark>,
}

/// The key of a daemon.
#[must_use]
pub fn key(daemon: &str) -> CompactString {
    format_compact!("{PREFIX}{daemon}")
}

/// How far the daemon is in gaining its right.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// No lease.
    #[default]
    None,
    /// A lease is asked for.
    Asked,
    /// The daemon's key is being written.
    Writing,
    /// The intentions are being read.
    Reading,
    /// The right holds as long as the lease.
    Held,
}

/// This daemon's lease.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// How far it is.
    pub stage: Stage,
    /// The lease.
    pub lease: Lease,
    /// The time that the store granted.
    pub time: Duration,
    /// When the call was sent that last began the lease's time.
    pub since: Duration,
    /// When the last renewal was sent.
    pub sent: Duration,
    /// The revision of the daemon's key, zero for absent.
    pub revision: id::Revision,
    /// The write of the daemon's key in flight.
    pub call: Option<id::Call>,
    /// What the daemon's key says, or is to say.
    pub record: Record,
    /// Whether the record changed since it was last sent.
    pub changed: bool,
    /// When a lease of the store's earlier era would have ended.
    former: Duration,
}

impl State {
    /// When the right ends unless it is renewed.
    #[must_use]
    pub fn until(&self) -> Duration {
        if self.stage == Stage::Held {
            self.former.max((self.since + self.time).saturating_sub(MARGIN))
        } else {
            self.former
        }
    }

    /// Whether a renewal is overdue, as when the store is away.
    #[must_use]
    pub fn overdue(&self, now: Duration) -> bool {
        now.saturating_sub(self.since) > OVERDUE
    }

    /// Whether the lease certainly holds.
    #[must_use]
    pub fn holds(&self, now: Duration) -> bool {
        now < self.until()
    }

    /// Forgets a lease that has ended.
    pub fn end(&mut self) {
        self.stage = Stage::None;
        self.lease = 0;
        self.call = None;
    }

    /// Forgets a lease that the store has lost with its earlier era. What it allows ends when it would
    /// have run out, which those who move primaries wait for.
    pub fn forsake(&mut self) {
        self.former = self.until();
        self.revision = 0;
        self.end();
    }

    /// Takes the end of a write of the daemon's key; true when it was made.
    pub fn on_written(&mut self, written: Written) -> bool {
        self.call = None;
        match written {
            Written::Done(revision) => {
                self.revision = revision;
                true
            }
            Written::NoLease => {
                self.end();
                false
            }
            Written::Conflict => false,
        }
    }
}
