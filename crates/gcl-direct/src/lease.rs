//! This daemon's lease in the store, and the authority to use primaries that it grants.
//!
//! A daemon that replaces a primary first writes its intention to the store, and then waits until
//! every daemon listed there has acknowledged it or lost its lease. A daemon may therefore use the
//! primary it knows while its lease is certainly valid: for the granted time after the last renewal
//! was *sent*, on a clock that also counts suspension. A daemon whose lease ended reads the
//! intentions again before it regains the authority.

use crate::{settings::Bounds, store::Written};
use compact_str::{CompactString, format_compact};
use gcl_core::{id, mark::Mark, store::Lease};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Duration of a lease. It outlasts the store's usual outages of a few seconds, and bounds the wait
/// for a daemon that has failed.
const TTL: Duration = Duration::from_secs(6);
/// Interval between renewals; several may fail before the lease ends.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(1200);
/// Delay before a failed call is retried.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Age of the last renewal at which the store is considered unavailable.
const OVERDUE_AGE: Duration = Duration::from_millis(2500);
/// How long before the lease the authority ends, to cover a response's time through the daemon.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// Prefix of the daemons' keys.
pub const PREFIX: &str = "goldcrest/daemon/";

/// A daemon's registration in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The daemon's incarnation.
    pub incarnation: id::Incarnation,
    /// Address for peer connections, `ip:port`.
    pub address: CompactString,
    /// Its failure domain.
    pub domain: id::Domain,
    /// CPU capacity of its VM, in thousandths of a core.
    #[serde(default)]
    pub millicores: u32,
    /// The move that it last acknowledged for each database.
    pub acknowledged: IndexMap<id::Database, Acknowledgement>,
}

/// A daemon's acknowledgement that it no longer uses the primary superseded by an intention.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// The intention's revision.
    pub revision: id::Revision,
    /// The newest log position that the daemon saw at the old primary.
    pub mark: Option<Mark>,
}

/// Duration of the leases that daemons request.
#[must_use]
pub fn duration(bounds: &Bounds) -> Duration {
    TTL.max(bounds.lease_min)
}

/// The key of a daemon's registration.
#[must_use]
pub fn key(daemon: &str) -> CompactString {
    format_compact!("{PREFIX}{daemon}")
}

/// Progress towards the authority to use primaries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// No lease.
    #[default]
    None,
    /// A lease was requested.
    Requested,
    /// The registration is being written.
    Writing,
    /// The intentions are being read.
    Reading,
    /// The authority holds as long as the lease.
    Held,
}

/// State of this daemon's lease.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Current stage.
    pub stage: Stage,
    /// The lease, zero for none.
    pub lease: Lease,
    /// Duration granted by the store.
    pub ttl: Duration,
    /// When the grant or renewal that the current duration counts from was sent.
    pub granted_at: Duration,
    /// When the last grant or renewal was sent.
    pub last_sent: Duration,
    /// Whether a renewal is in flight.
    pub renewing: bool,
    /// The revision of the registration, zero for absent.
    pub revision: id::Revision,
    /// The write of the registration in flight.
    pub write: Option<id::Call>,
    /// The registration as written or still to be written.
    pub record: Record,
    /// Whether the registration has unwritten changes.
    pub dirty: bool,
    /// When the authority of a lease of an earlier era ends.
    former_expiry: Duration,
}

impl State {
    /// When the authority ends unless it is renewed.
    #[must_use]
    pub fn expires_at(&self) -> Duration {
        if self.stage == Stage::Held {
            self.former_expiry.max((self.granted_at + self.ttl).saturating_sub(RESPONSE_MARGIN))
        } else {
            self.former_expiry
        }
    }

    /// Whether a renewal is overdue, for example while the store is unavailable.
    #[must_use]
    pub fn is_overdue(&self, now: Duration) -> bool {
        now.saturating_sub(self.granted_at) > OVERDUE_AGE
    }

    /// Whether the lease is certainly valid.
    #[must_use]
    pub fn is_valid(&self, now: Duration) -> bool {
        now < self.expires_at()
    }

    /// Clears a lease that has ended.
    pub fn clear(&mut self) {
        self.stage = Stage::None;
        self.lease = 0;
        self.write = None;
        self.renewing = false;
    }

    /// Clears a lease and its authority before either has ended.
    pub fn give_up(&mut self) {
        self.former_expiry = Duration::ZERO;
        self.clear();
    }

    /// Clears a lease that the store lost with its earlier era. Its authority remains until its
    /// original expiry, which daemons that move primaries wait for.
    pub fn abandon(&mut self) {
        self.former_expiry = self.expires_at();
        self.revision = 0;
        self.clear();
    }

    /// Handles the outcome of a write of the registration. Returns whether it was written.
    pub fn on_written(&mut self, written: Written) -> bool {
        self.write = None;
        match written {
            Written::Done(revision) => {
                self.revision = revision;
                true
            }
            Written::NoLease => {
                self.clear();
                false
            }
            Written::Conflict => false,
        }
    }
}
