//! The store's order across its returns from a copy.
//!
//! The store may come back from a copy that is some seconds old. It then counts one era more, has lost
//! what was written since, its leases included, and gives revisions out again. So the reducer never
//! compares bare revisions: every revision that comes from the store is placed in its era by [`order`],
//! and everything that is decided by the store's order follows that number, which only rises. It is the
//! fencing token of promotions as well.
//!
//! In a new era a daemon goes on with what it knew: its lease of the earlier era may be used until it
//! would have run out, members, servers and moves of primaries that the copy lacks are kept until their
//! owners had the time to write them again, and a move that only the daemons remember is written down
//! again. What such leases allow ends [`span`] after an era began. Until then no primary is moved in the
//! new era, and a daemon that remembers no earlier era does not ask for a lease. After that the era is
//! settled, and a mark in the store spares those that start later the wait.

use crate::{
    effect::Effects,
    failover, follow,
    lease::{self, Stage},
    line::Line,
    role::Role,
    state::State as Daemon,
    store::{Call, Era, Topic},
    timer,
};
use bytes::Bytes;
use gcl_core::{id, rendezvous, time::Now};
use std::time::Duration;

/// Key of the mark of a settled era; its value is the era's number.
pub const MARK: &str = "goldcrest/era";
/// Bits of an order that hold the revision; the era stands above them.
const REVISION_BITS: u32 = 40;
/// Time in which servers, operators and daemons write again what a copy lacks.
const RESTORATION: Duration = Duration::from_millis(2500);
/// Time between the daemons that may leave the mark, in which the later ones hear of it.
const MARK_STEP: Duration = Duration::from_millis(2500);
/// Daemons that may leave the mark.
const MARKERS: u32 = 5;
/// Time before a daemon asks for a lease of the new era, for each daemon that is listed.
const GRANT_STEP: Duration = Duration::from_millis(2);

/// What a daemon knows of the store's era.
#[derive(Clone, Copy, Debug, Default)]
pub struct State {
    /// The newest era heard of, zero while the store tells none.
    pub current: Era,
    /// When it was first heard of.
    learned: Duration,
    /// Whether no lease of an earlier era lasts.
    settled: bool,
    /// Whether this daemon followed the store in an earlier era.
    witnessed: bool,
    /// Whether the store holds the mark of this era.
    marked: bool,
    /// The mark's last change, zero for absent.
    mark: id::Revision,
    /// When it is this daemon's turn to leave the mark.
    turn: Option<Duration>,
}

impl State {
    /// When moves that the store's copy lacks may be written again.
    pub(crate) const fn restating_at(&self) -> Duration {
        self.learned
    }
}

/// The place of a revision in the order over all eras.
#[must_use]
pub const fn order(era: Era, revision: id::Revision) -> id::Revision {
    (era << REVISION_BITS) | self::revision(revision)
}

/// The era of a place in that order.
#[must_use]
pub const fn of(order: id::Revision) -> Era {
    order >> REVISION_BITS
}

/// The revision of a place in that order, as the store counts it.
#[must_use]
pub const fn revision(order: id::Revision) -> id::Revision {
    order & ((1 << REVISION_BITS) - 1)
}

/// How long leases of the era before may last.
fn span(daemon: &Daemon) -> Duration {
    lease::TIME.max(daemon.settings.bounds.lease_min)
}

/// Whether no lease of an earlier era lasts.
#[must_use]
pub fn is_settled(daemon: &Daemon, now: Now) -> bool {
    let era = &daemon.era;
    era.current == 0 || era.settled || now.since(era.learned) >= span(daemon)
}

/// Whether what the copy lacked was written again, if its writer lives.
#[must_use]
pub fn is_restored(daemon: &Daemon, now: Now) -> bool {
    is_settled(daemon, now) || now.since(daemon.era.learned) >= RESTORATION
}

/// When this daemon may ask for a lease. One that remembers no earlier era cannot know of a move that
/// the copy lacks, and whose mover has not heard of the new era yet.
#[must_use]
pub fn joins_at(daemon: &Daemon, now: Now) -> Duration {
    if daemon.era.witnessed || is_settled(daemon, now) {
        return now.mono;
    }
    daemon.era.learned + span(daemon)
}

/// Takes note of the era that an answer of the store belongs to.
pub fn on_answer(daemon: &mut Daemon, now: Now, fx: &mut Effects, era: Era) {
    if era <= daemon.era.current {
        return;
    }
    let witnessed = daemon.follow.complete();
    let line = Line::state_change("store era").with("era", era).with("before", daemon.era.current);
    fx.log(line.with("witnessed", witnessed));
    daemon.era = State {
        current: era,
        learned: now.mono,
        settled: daemon.settings.bootstrap && !witnessed,
        witnessed,
        ..State::default()
    };
    let restored = now.mono + RESTORATION;
    daemon.timers.arm(timer::Key::Era, restored);
    follow::on_era(daemon, now);
    failover::on_era(daemon);
    if daemon.lease.stage != Stage::None {
        daemon.lease.forsake();
        let listed = u32::try_from(daemon.members.len()).unwrap_or(u32::MAX);
        let pause = daemon.random.jitter(GRANT_STEP * listed);
        daemon.timers.arm(timer::Key::Lease, now.mono + pause);
    }
}

/// Takes the mark as it was read.
pub fn on_mark(
    daemon: &mut Daemon,
    fx: &mut Effects,
    value: Option<&[u8]>,
    revision: id::Revision,
) {
    let era = value.and_then(|value| std::str::from_utf8(value).ok()?.parse().ok());
    if value.is_some() && era.is_none() {
        fx.log(Line::state_change("era mark unreadable").with("revision", revision));
    }
    daemon.era.mark = value.map_or(0, |_| revision);
    daemon.era.marked = era == Some(daemon.era.current);
    daemon.era.settled |= daemon.era.marked;
}

/// Goes on with a new era: reads again what was kept, and leaves the mark once the era is settled.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if daemon.role.current != Role::Host || daemon.era.marked {
        return;
    }
    if !is_settled(daemon, now) {
        fx.store(Call::Read(Topic::Own));
        fx.store(Call::Read(Topic::Servers));
        let due = daemon.era.learned + span(daemon);
        return daemon.timers.arm(timer::Key::Era, due);
    }
    if !daemon.era.settled {
        daemon.era.settled = true;
        failover::review_all(daemon, now, fx);
    }
    let own = rendezvous::weight(MARK, &daemon.settings.daemon);
    let before = daemon.members.keys().filter(|name| rendezvous::weight(MARK, name) > own);
    let rank = u32::try_from(before.count()).unwrap_or(MARKERS);
    if rank >= MARKERS {
        return;
    }
    let turn = *daemon.era.turn.get_or_insert(now.mono + MARK_STEP * rank);
    if now.mono < turn {
        return daemon.timers.arm(timer::Key::Era, turn);
    }
    mark(daemon, fx);
    daemon.timers.arm(timer::Key::Era, now.mono + MARK_STEP * MARKERS);
}

fn mark(daemon: &mut Daemon, fx: &mut Effects) {
    let call = daemon.next_id();
    let value = Bytes::from(daemon.era.current.to_string());
    let expected = daemon.era.mark;
    fx.store(Call::Write { call, key: MARK.into(), expected, value, lease: 0 });
}
