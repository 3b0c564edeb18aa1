//! The daemon's one lease, its holder key, and the check of its clocks.
//!
//! The flexible quarter of each seat is good while the lease is. The holder key
//! `gcl/holder/<daemon>` hangs on the lease, so that others see it lapse. A pause of the process may
//! leave a lease that looks valid: when wall and monotonic time drift apart between two events, or
//! nothing was heard for long, nothing is minted until the store or a peer has answered.

use super::{
    Message,
    seat::{self, Purpose},
    tell,
};
use crate::{effect::Effects, id, state::State as Daemon, store, time::Now};
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Prefix of the holder keys.
const PREFIX: &str = "gcl/holder/";
/// Longest wait for an answer of the store.
pub const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two renewals for each daemon of the fleet, within a range.
const RENEW_PER_DAEMON: Duration = Duration::from_millis(10);
/// Shortest and longest time between two renewals.
const RENEW_RANGE: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(30));
/// Renewals within the life of a lease.
const RENEWALS: u32 = 3;
/// Part of a lease's life that is left unused for slow clocks, as a divisor.
const MARGIN_PART: u32 = 10;
/// Wait after a failed call, before jitter.
const RETRY: Duration = Duration::from_secs(1);
/// Difference between the passing of wall and monotonic time that shows a pause.
const DRIFT: Duration = Duration::from_millis(500);
/// Time without any event that shows a pause.
const SILENCE: Duration = Duration::from_secs(10);
/// Peers asked after a pause.
const PEERS_ASKED: usize = 2;

/// What may be minted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Active {
    /// The reserve of each seat.
    pub reserve: bool,
    /// The flexible part of each seat.
    pub flexible: bool,
}

/// A call about the lease.
#[derive(Clone, Debug)]
pub enum Step {
    /// Creates it.
    Grant(Duration),
    /// Writes the holder key.
    Key {
        /// When the lease was asked for.
        sent: Duration,
        /// The lease.
        lease: store::Lease,
    },
    /// Renews it.
    Renew(Duration),
}

/// The daemon's lease.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    id: Option<store::Lease>,
    life: Duration,
    until: Duration,
    key: id::Revision,
    written: bool,
    wanted: bool,
    calling: bool,
    next: Duration,
}

impl Lease {
    /// Stops renewals.
    pub const fn stop(&mut self) {
        self.wanted = false;
    }
}

/// What the holder key tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The daemon's life.
    pub incarnation: id::Incarnation,
    /// Its lease.
    pub lease: store::Lease,
}

/// The check of the clocks.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    last: Option<Now>,
    paused: bool,
    upkeep: Duration,
}

impl Clock {
    /// Notes the time of an event; tells whether the process may have been paused before it.
    pub fn seen(&mut self, now: Now) -> bool {
        let Some(last) = self.last.replace(now) else {
            return false;
        };
        let mono = now.mono.saturating_sub(last.mono);
        let drift = (last.wall + mono).abs_diff(now.wall);
        drift > DRIFT || mono > SILENCE
    }

    /// Whether regular work is due, at most once in `every`.
    pub fn upkeep_due(&mut self, now: Now, every: Duration) -> bool {
        let due = now.mono >= self.upkeep;
        if due {
            self.upkeep = now.mono + every;
        }
        due
    }
}

/// The store key of a daemon's holder record.
#[must_use]
pub fn key(daemon: &str) -> CompactString {
    format_compact!("{PREFIX}{daemon}")
}

/// What may be minted now.
#[must_use]
pub fn active(daemon: &Daemon, now: Now) -> Active {
    let reserve = !daemon.limit.clock.paused;
    let lease = &daemon.limit.lease;
    let margin = lease.life / MARGIN_PART;
    Active { reserve, flexible: reserve && lease.written && now.mono + margin < lease.until }
}

/// The lease that seats are claimed with, while it is good.
#[must_use]
pub fn current(daemon: &Daemon, now: Now) -> Option<store::Lease> {
    daemon.limit.lease.id.filter(|_| active(daemon, now).flexible)
}

fn interval(daemon: &Daemon) -> Duration {
    let members = u32::try_from(daemon.member.members.len() + 1).unwrap_or(u32::MAX);
    RENEW_PER_DAEMON.saturating_mul(members).clamp(RENEW_RANGE.0, RENEW_RANGE.1)
}

fn life(daemon: &Daemon) -> Duration {
    interval(daemon) * RENEWALS
}

/// Stops minting after a pause, and asks the store and peers whether this life is still known.
pub fn watch_clock(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if !daemon.limit.clock.seen(now) || !seat::any_held(daemon) {
        return;
    }
    fx.count("limit_pauses", "", 1);
    daemon.limit.clock.paused = true;
    daemon.limit.lease.until = Duration::ZERO;
    daemon.limit.lease.next = now.mono;
    seat::forget_borrowed(daemon);
    ask_peers(daemon, fx);
    upkeep(daemon, now, fx);
}

fn ask_peers(daemon: &Daemon, fx: &mut Effects) {
    let alive = daemon.member.members.values().filter(|member| member.alive);
    for member in alive.take(PEERS_ASKED) {
        tell(daemon, fx, &member.daemon, Message::Check);
    }
}

/// Takes a peer's word on the newest life of this daemon.
pub fn on_checked(daemon: &mut Daemon, now: Now, known: id::Incarnation) {
    if known == daemon.incarnation {
        resume(daemon, now);
    }
}

fn resume(daemon: &mut Daemon, now: Now) {
    if daemon.limit.clock.paused {
        seat::earn_all(daemon, now);
        daemon.limit.clock.paused = false;
    }
}

/// Asks for the lease.
pub fn want(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if !daemon.limit.lease.wanted {
        daemon.limit.lease.wanted = true;
        upkeep(daemon, now, fx);
    }
}

/// Gets or renews the lease when that is due.
pub fn upkeep(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let lease = &daemon.limit.lease;
    if daemon.limit.clock.paused {
        ask_peers(daemon, fx);
    }
    if !lease.wanted || lease.calling || now.mono < lease.next {
        return;
    }
    match lease.id {
        Some(id) if lease.written => {
            call(daemon, fx, store::Op::Renew(id), Step::Renew(now.mono));
        }
        _ => {
            let life = life(daemon);
            daemon.limit.lease.life = life;
            call(daemon, fx, store::Op::Grant(life), Step::Grant(now.mono));
        }
    }
}

fn call(daemon: &mut Daemon, fx: &mut Effects, op: store::Op, step: Step) {
    let call = daemon.counters.call();
    daemon.limit.lease.calling = true;
    daemon.limit.calls.insert(call, Purpose::Lease(step));
    fx.store(store::Call { call, op, timeout: STORE_TIMEOUT });
}

fn write_key(daemon: &mut Daemon, fx: &mut Effects, sent: Duration, lease: store::Lease) {
    let holder = Holder { incarnation: daemon.incarnation, lease };
    let value = serde_json::to_vec(&holder).unwrap_or_default().into();
    let key = key(&daemon.settings.daemon);
    let expected = daemon.limit.lease.key;
    let op = store::Op::Put { key, expected, value, lease };
    call(daemon, fx, op, Step::Key { sent, lease });
}

/// Takes the store's answer to a call about the lease.
pub fn on_answer(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    step: Step,
    result: &Result<store::Reply, store::Failure>,
) {
    daemon.limit.lease.calling = false;
    match (step, result) {
        (Step::Grant(sent), Ok(store::Reply::Lease(lease))) => {
            daemon.limit.lease.id = Some(*lease);
            write_key(daemon, fx, sent, *lease);
        }
        (Step::Key { sent, lease }, Ok(store::Reply::Changed(revision))) => {
            daemon.limit.lease.key = *revision;
            become_good(daemon, now, fx, sent, lease);
        }
        (Step::Key { sent, lease }, Ok(store::Reply::Conflict(entry, _))) => {
            on_conflict(daemon, now, fx, sent, lease, entry.as_ref());
        }
        (Step::Renew(sent), Ok(store::Reply::Lease(lease))) => {
            become_good(daemon, now, fx, sent, *lease);
        }
        (Step::Renew(_), Ok(store::Reply::NoLease)) => {
            seat::lose_flexible(daemon, now);
            daemon.limit.lease.id = None;
            daemon.limit.lease.written = false;
            daemon.limit.lease.next = now.mono;
            upkeep(daemon, now, fx);
        }
        _ => on_failure(daemon, now),
    }
}

fn on_failure(daemon: &mut Daemon, now: Now) {
    let wait = daemon.random.jitter(RETRY);
    daemon.limit.lease.next = now.mono + wait;
    seat::on_store_failure(daemon);
}

fn become_good(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    sent: Duration,
    lease: store::Lease,
) {
    seat::earn_all(daemon, now);
    let until = sent + daemon.limit.lease.life;
    let wait = interval(daemon);
    let jitter = daemon.random.jitter(wait / MARGIN_PART);
    let state = &mut daemon.limit.lease;
    state.id = Some(lease);
    state.until = until;
    state.written = true;
    state.next = now.mono + wait.saturating_sub(jitter);
    resume(daemon, now);
    seat::on_lease(daemon, fx);
}

/// The holder key was not as expected: an earlier write whose answer was lost, or another life.
fn on_conflict(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    sent: Duration,
    lease: store::Lease,
    entry: Option<&store::Entry>,
) {
    let known = entry.and_then(|entry| serde_json::from_slice::<Holder>(&entry.value).ok());
    let mine = Holder { incarnation: daemon.incarnation, lease };
    let superseded = known.as_ref().is_some_and(|known| {
        known.incarnation != daemon.incarnation && daemon.limit.lease.key != 0
    });
    daemon.limit.lease.key = entry.map_or(0, |entry| entry.revision);
    if known.as_ref() == Some(&mine) {
        become_good(daemon, now, fx, sent, lease);
    } else if superseded {
        seat::lose_all(daemon);
        daemon.limit.lease.wanted = false;
    } else {
        write_key(daemon, fx, sent, lease);
    }
}
