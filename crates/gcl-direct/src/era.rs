//! Ordering of store revisions across restores of the store.
//!
//! The store may be restored from a snapshot that is some seconds old. It then increments its era,
//! has lost all later writes, including leases, and reuses revisions. The reducer therefore never
//! compares bare revisions: [`order`] combines every revision from the store with its era, and all
//! decisions use the resulting number, which only increases. It is also the fencing token of
//! promotions.
//!
//! In a new era a daemon keeps its state: its lease of the earlier era remains usable until its
//! original expiry, members, servers and moves of primaries that are missing from the snapshot are
//! kept until their owners had time to write them again, and a move that only daemons still hold is
//! written again. Such leases have expired `max_lease_duration` after the era began. Until then
//! no primary is moved in the new era, and a daemon that has seen no earlier era requests no lease.
//! After that the era is settled; a key in the store records this, so that daemons that start later
//! need not wait.

use crate::{
    effect::Effects,
    failover,
    lease::{self, Stage},
    line::Line,
    revocation,
    role::Role,
    state::State as Daemon,
    store::{Call, Era, Topic},
    timer, watch,
};
use bytes::Bytes;
use gcl_core::{id, rendezvous, time::Now};
use std::time::Duration;

/// Key that records a settled era; its value is the era's number.
pub const SETTLED_KEY: &str = "goldcrest/era";
/// Bits of an order that hold the revision; the era is stored above them.
const REVISION_BITS: u32 = 40;
/// Time allowed for servers, operators and daemons to write again what the snapshot is missing.
const RESTORATION_TIME: Duration = Duration::from_millis(2500);
/// Delay between the daemons that may record the settled era, in which later ones receive the key.
const RECORD_STEP: Duration = Duration::from_millis(2500);
/// Maximum number of daemons that may record the settled era.
const MAX_RECORDERS: u32 = 5;
/// Mean delay, per listed daemon, before a daemon requests a lease in the new era.
const GRANT_STEP: Duration = Duration::from_millis(2);

/// A daemon's view of the store's era.
#[derive(Clone, Copy, Debug, Default)]
pub struct State {
    /// The newest era seen, zero while the store reports none.
    pub current: Era,
    /// When it was first seen.
    first_seen: Duration,
    /// Whether all leases of earlier eras have expired.
    settled: bool,
    /// Whether this daemon followed the store in an earlier era.
    followed_earlier: bool,
    /// Whether the store records this era as settled.
    recorded: bool,
    /// The revision of the key's last change, zero for absent.
    key_revision: id::Revision,
    /// When this daemon may record the settled era.
    record_due: Option<Duration>,
}

impl State {
    /// When the current era was first seen. From then on, moves that are missing from the snapshot
    /// may be written again.
    pub(crate) const fn first_seen(&self) -> Duration {
        self.first_seen
    }
}

/// Combines a revision with its era into a number that orders revisions across eras.
#[must_use]
pub const fn order(era: Era, revision: id::Revision) -> id::Revision {
    (era << REVISION_BITS) | self::revision(revision)
}

/// The era of an order.
#[must_use]
pub const fn of(order: id::Revision) -> Era {
    order >> REVISION_BITS
}

/// The store's revision within an order.
#[must_use]
pub const fn revision(order: id::Revision) -> id::Revision {
    order & ((1 << REVISION_BITS) - 1)
}

/// Maximum remaining duration of leases of the previous era.
fn max_lease_duration(daemon: &Daemon) -> Duration {
    lease::duration(&daemon.settings.bounds)
}

/// Whether all leases of earlier eras have expired.
#[must_use]
pub fn is_settled(daemon: &Daemon, now: Now) -> bool {
    let era = &daemon.era;
    era.current == 0 || era.settled || now.since(era.first_seen) >= max_lease_duration(daemon)
}

/// Whether live writers had time to write again what the snapshot was missing.
#[must_use]
pub fn is_restored(daemon: &Daemon, now: Now) -> bool {
    is_settled(daemon, now) || now.since(daemon.era.first_seen) >= RESTORATION_TIME
}

/// Earliest time at which this daemon may request a lease. One that has seen no earlier era cannot
/// know about a move that is missing from the snapshot and whose daemon has not yet seen the new
/// era.
#[must_use]
pub fn lease_due_at(daemon: &Daemon, now: Now) -> Duration {
    if daemon.era.followed_earlier || is_settled(daemon, now) {
        return now.mono;
    }
    daemon.era.first_seen + max_lease_duration(daemon)
}

/// Handles the era of a store response.
pub fn on_answer(daemon: &mut Daemon, now: Now, fx: &mut Effects, era: Era) {
    if era <= daemon.era.current {
        return;
    }
    let followed_earlier = daemon.watch.is_complete();
    let line = Line::state_change("store era").with("era", era).with("before", daemon.era.current);
    fx.log(line.with("witnessed", followed_earlier));
    daemon.era = State {
        current: era,
        first_seen: now.mono,
        settled: daemon.settings.bootstrap && !followed_earlier,
        followed_earlier,
        ..State::default()
    };
    let restored = now.mono + RESTORATION_TIME;
    daemon.timers.arm(timer::Key::Era, restored);
    watch::on_era(daemon, now);
    failover::on_era(daemon);
    revocation::on_era(daemon);
    if daemon.lease.stage != Stage::None {
        daemon.lease.abandon();
        let listed = u32::try_from(daemon.members.len()).unwrap_or(u32::MAX);
        let pause = daemon.random.jitter(GRANT_STEP * listed);
        daemon.timers.arm(timer::Key::Lease, now.mono + pause);
    }
}

/// Handles the key of the settled era as it was read.
pub fn on_settled_key(
    daemon: &mut Daemon,
    fx: &mut Effects,
    value: Option<&[u8]>,
    revision: id::Revision,
) {
    let era = value.and_then(|value| std::str::from_utf8(value).ok()?.parse().ok());
    if value.is_some() && era.is_none() {
        fx.log(Line::state_change("key of the settled era unreadable").with("revision", revision));
    }
    daemon.era.key_revision = value.map_or(0, |_| revision);
    daemon.era.recorded = era == Some(daemon.era.current);
    daemon.era.settled |= daemon.era.recorded;
}

/// Reads the topics again in a new era, and records the era once it is settled.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if daemon.role.current != Role::Host || daemon.era.recorded {
        return;
    }
    if !is_settled(daemon, now) {
        for topic in Topic::ALL {
            fx.store(Call::Read(topic));
        }
        let due = daemon.era.first_seen + max_lease_duration(daemon);
        return daemon.timers.arm(timer::Key::Era, due);
    }
    if !daemon.era.settled {
        daemon.era.settled = true;
        failover::review_all(daemon, now, fx);
    }
    let own = rendezvous::weight(SETTLED_KEY, &daemon.settings.daemon);
    let before = daemon.members.keys().filter(|name| rendezvous::weight(SETTLED_KEY, name) > own);
    let rank = u32::try_from(before.count()).unwrap_or(MAX_RECORDERS);
    if rank >= MAX_RECORDERS {
        return;
    }
    let record_due = *daemon.era.record_due.get_or_insert(now.mono + RECORD_STEP * rank);
    if now.mono < record_due {
        return daemon.timers.arm(timer::Key::Era, record_due);
    }
    write_settled_key(daemon, fx);
    daemon.timers.arm(timer::Key::Era, now.mono + RECORD_STEP * MAX_RECORDERS);
}

fn write_settled_key(daemon: &mut Daemon, fx: &mut Effects) {
    let call = daemon.next_id();
    let value = Bytes::from(daemon.era.current.to_string());
    let expected = daemon.era.key_revision;
    fx.store(Call::Write { call, key: SETTLED_KEY.into(), expected, value, lease: 0 });
}
