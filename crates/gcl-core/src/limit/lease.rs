//! The daemon's lease in the store, its holder key, and the detection of process pauses.
//!
//! A daemon has one lease for all its seats. The flexible share of each seat may be used while the
//! lease is valid. The holder key `gcl/holder/<daemon>` is attached to the lease, so that other
//! daemons can see that it lapsed. After a pause of the process, an expired lease may still look
//! valid. A pause is assumed when wall-clock and monotonic time drift apart between two events, or
//! when there was no event for a long time. Buckets are then not refilled, and no token is spent,
//! until the store or a peer has answered.

use super::{
    Message,
    seat::{self, Purpose},
    send,
};
use crate::{effect::Effects, id, state::State as Daemon, store, time::Now};
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Prefix of the holder keys.
const PREFIX: &str = "gcl/holder/";
/// Maximum wait for an answer of the store.
pub const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two renewals per daemon in the fleet, clamped to [`RENEW_RANGE`].
const RENEW_PER_DAEMON: Duration = Duration::from_millis(10);
/// Minimum and maximum time between two renewals.
const RENEW_RANGE: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(30));
/// Number of renewals within the TTL of a lease.
const RENEWALS_PER_TTL: u32 = 3;
/// Divisor of a lease's TTL; that part of it is not used, to allow for slow clocks.
const MARGIN_DIVISOR: u32 = 10;
/// Wait after a failed call, before jitter.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum drift between wall-clock and monotonic time; more means that the process was paused.
const MAX_CLOCK_DRIFT: Duration = Duration::from_millis(500);
/// Maximum time without an event; more means that the process was paused.
const MAX_EVENT_GAP: Duration = Duration::from_secs(10);
/// Number of peers that are asked for this daemon's incarnation after a pause.
const PEERS_QUERIED: usize = 2;

/// Which shares of held seats may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Active {
    /// Whether the reserve of each held seat may be used.
    pub reserve: bool,
    /// Whether the flexible share of each held seat may be used.
    pub flexible: bool,
}

/// A store call for the lease.
#[derive(Clone, Debug)]
pub enum Step {
    /// Requests a lease, at the given time.
    Grant(Duration),
    /// Writes the holder key.
    Key {
        /// When the lease was requested.
        sent: Duration,
        /// The lease.
        lease: store::Lease,
    },
    /// Renews the lease, at the given time.
    Renew(Duration),
}

/// The state of the daemon's lease.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    id: Option<store::Lease>,
    ttl: Duration,
    expires_at: Duration,
    key_revision: id::Revision,
    key_written: bool,
    needed: bool,
    call_pending: bool,
    next_attempt: Duration,
}

impl Lease {
    /// Stops the renewals, so that the lease lapses.
    pub const fn stop_renewing(&mut self) {
        self.needed = false;
    }
}

/// The value of the holder key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The daemon's incarnation.
    pub incarnation: id::Incarnation,
    /// Its lease.
    pub lease: store::Lease,
}

/// The detection of process pauses, and the schedule of upkeep.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    last: Option<Now>,
    paused: bool,
    next_upkeep: Duration,
}

impl Clock {
    /// Records the time of an event. Returns whether the process may have been paused before it.
    pub fn observe(&mut self, now: Now) -> bool {
        let Some(last) = self.last.replace(now) else {
            return false;
        };
        let mono = now.mono.saturating_sub(last.mono);
        let drift = (last.wall + mono).abs_diff(now.wall);
        drift > MAX_CLOCK_DRIFT || mono > MAX_EVENT_GAP
    }

    /// Whether upkeep is due, at most once per `interval`.
    pub fn upkeep_due(&mut self, now: Now, interval: Duration) -> bool {
        let due = now.mono >= self.next_upkeep;
        if due {
            self.next_upkeep = now.mono + interval;
        }
        due
    }
}

/// The holder key of a daemon in the store.
#[must_use]
pub fn key(daemon: &str) -> CompactString {
    format_compact!("{PREFIX}{daemon}")
}

/// Which shares of the held seats may be used now.
#[must_use]
pub fn active(daemon: &Daemon, now: Now) -> Active {
    let reserve = !daemon.limit.clock.paused;
    let lease = &daemon.limit.lease;
    let margin = lease.ttl / MARGIN_DIVISOR;
    Active {
        reserve,
        flexible: reserve && lease.key_written && now.mono + margin < lease.expires_at,
    }
}

/// The daemon's lease while it is valid, for claims of flexible shares.
#[must_use]
pub fn current(daemon: &Daemon, now: Now) -> Option<store::Lease> {
    daemon.limit.lease.id.filter(|_| active(daemon, now).flexible)
}

fn interval(daemon: &Daemon) -> Duration {
    let members = u32::try_from(daemon.member.members.len() + 1).unwrap_or(u32::MAX);
    RENEW_PER_DAEMON.saturating_mul(members).clamp(RENEW_RANGE.0, RENEW_RANGE.1)
}

fn ttl(daemon: &Daemon) -> Duration {
    interval(daemon) * RENEWALS_PER_TTL
}

/// Suspends all grants after a pause, and asks the store and peers whether this incarnation is
/// still the latest.
pub fn check_clock(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if !daemon.limit.clock.observe(now) || !seat::any_held(daemon) {
        return;
    }
    fx.count("limit_pauses", "", 1);
    daemon.limit.clock.paused = true;
    daemon.limit.lease.expires_at = Duration::ZERO;
    daemon.limit.lease.next_attempt = now.mono;
    seat::discard_borrowed(daemon);
    query_peers(daemon, fx);
    upkeep(daemon, now, fx);
}

fn query_peers(daemon: &Daemon, fx: &mut Effects) {
    let alive = daemon.member.members.values().filter(|member| member.alive);
    for member in alive.take(PEERS_QUERIED) {
        send(daemon, fx, &member.daemon, Message::Check);
    }
}

/// Handles a peer's answer with the latest incarnation of this daemon that it knows.
pub fn on_checked(daemon: &mut Daemon, now: Now, known: id::Incarnation) {
    if known == daemon.incarnation {
        resume(daemon, now);
    }
}

fn resume(daemon: &mut Daemon, now: Now) {
    if daemon.limit.clock.paused {
        seat::refill_all(daemon, now);
        daemon.limit.clock.paused = false;
    }
}

/// Starts to acquire the lease, and keeps it renewed from then on.
pub fn acquire(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if !daemon.limit.lease.needed {
        daemon.limit.lease.needed = true;
        upkeep(daemon, now, fx);
    }
}

/// Requests or renews the lease when that is due.
pub fn upkeep(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let lease = &daemon.limit.lease;
    if daemon.limit.clock.paused {
        query_peers(daemon, fx);
    }
    if !lease.needed || lease.call_pending || now.mono < lease.next_attempt {
        return;
    }
    match lease.id {
        Some(id) if lease.key_written => {
            call(daemon, fx, store::Op::Renew(id), Step::Renew(now.mono));
        }
        _ => {
            let ttl = ttl(daemon);
            daemon.limit.lease.ttl = ttl;
            call(daemon, fx, store::Op::Grant(ttl), Step::Grant(now.mono));
        }
    }
}

fn call(daemon: &mut Daemon, fx: &mut Effects, op: store::Op, step: Step) {
    let call = daemon.counters.call();
    daemon.limit.lease.call_pending = true;
    daemon.limit.calls.insert(call, Purpose::Lease(step));
    fx.store(store::Call { call, op, timeout: STORE_TIMEOUT });
}

fn write_key(daemon: &mut Daemon, fx: &mut Effects, sent: Duration, lease: store::Lease) {
    let holder = Holder { incarnation: daemon.incarnation, lease };
    let value = serde_json::to_vec(&holder).unwrap_or_default().into();
    let key = key(&daemon.settings.daemon);
    let expected = daemon.limit.lease.key_revision;
    let op = store::Op::Put { key, expected, value, lease };
    call(daemon, fx, op, Step::Key { sent, lease });
}

/// Handles the store's answer to a call for the lease.
pub fn on_answer(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    step: Step,
    result: &Result<store::Reply, store::Failure>,
) {
    daemon.limit.lease.call_pending = false;
    match (step, result) {
        (Step::Grant(sent), Ok(store::Reply::Lease(lease))) => {
            daemon.limit.lease.id = Some(*lease);
            write_key(daemon, fx, sent, *lease);
        }
        (Step::Key { sent, lease }, Ok(store::Reply::Changed(revision))) => {
            daemon.limit.lease.key_revision = *revision;
            mark_valid(daemon, now, fx, sent, lease);
        }
        (Step::Key { sent, lease }, Ok(store::Reply::Conflict(entry, _))) => {
            on_conflict(daemon, now, fx, sent, lease, entry.as_ref());
        }
        (Step::Renew(sent), Ok(store::Reply::Lease(lease))) => {
            mark_valid(daemon, now, fx, sent, *lease);
        }
        (Step::Renew(_), Ok(store::Reply::NoLease)) => {
            seat::drop_flexible(daemon, now);
            daemon.limit.lease.id = None;
            daemon.limit.lease.key_written = false;
            daemon.limit.lease.next_attempt = now.mono;
            upkeep(daemon, now, fx);
        }
        _ => on_failure(daemon, now),
    }
}

fn on_failure(daemon: &mut Daemon, now: Now) {
    let wait = daemon.random.jitter(RETRY_INTERVAL);
    daemon.limit.lease.next_attempt = now.mono + wait;
    seat::on_store_failure(daemon);
}

fn mark_valid(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    sent: Duration,
    lease: store::Lease,
) {
    seat::refill_all(daemon, now);
    let expires_at = sent + daemon.limit.lease.ttl;
    let wait = interval(daemon);
    let jitter = daemon.random.jitter(wait / MARGIN_DIVISOR);
    let state = &mut daemon.limit.lease;
    state.id = Some(lease);
    state.expires_at = expires_at;
    state.key_written = true;
    state.next_attempt = now.mono + wait.saturating_sub(jitter);
    resume(daemon, now);
    seat::on_lease(daemon, fx);
}

/// Handles a holder key of an unexpected revision: an earlier write took effect although its answer
/// was lost, or another incarnation of this daemon wrote the key.
fn on_conflict(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    sent: Duration,
    lease: store::Lease,
    entry: Option<&store::Entry>,
) {
    let known = entry.and_then(|entry| serde_json::from_slice::<Holder>(&entry.value).ok());
    let own = Holder { incarnation: daemon.incarnation, lease };
    let superseded = known.as_ref().is_some_and(|known| {
        known.incarnation != daemon.incarnation && daemon.limit.lease.key_revision != 0
    });
    daemon.limit.lease.key_revision = entry.map_or(0, |entry| entry.revision);
    if known.as_ref() == Some(&own) {
        mark_valid(daemon, now, fx, sent, lease);
    } else if superseded {
        seat::drop_all(daemon);
        daemon.limit.lease.needed = false;
    } else {
        write_key(daemon, fx, sent, lease);
    }
}
