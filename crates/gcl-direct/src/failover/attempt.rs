//! A move by this daemon, from the intention in the store to the promotion.

use super::watch_of;
use crate::{
    effect::{Effect, Effects},
    era,
    failover::evidence::Cause,
    gossip,
    group::{self, Leader},
    lease,
    line::Line,
    pool,
    state::State as Daemon,
    store::Call,
    timer,
};
use gcl_core::{
    code::{Code, Fault},
    id,
    mark::Mark,
    time::Now,
};
use std::time::Duration;

/// Time after which a daemon that neither acknowledges nor loses its lease is made to lose it.
const REVOKE_PATIENCE: Duration = Duration::from_secs(8);
/// Time after which a promotion that brought no primary is ordered again.
const PROMOTE_PATIENCE: Duration = Duration::from_millis(2500);
/// Orders of one promotion before another server is taken.
const MOST_ORDERS: u32 = 3;
/// Age of an intention beyond which its promotion is not ordered any more, since another daemon may
/// replace it.
const MOST_AGE: Duration = Duration::from_secs(15);
/// How long the target may catch up with what daemons saw at the old primary.
const CATCH_UP: Duration = Duration::from_millis(2500);
/// Time between two looks at a move.
const STEP: Duration = Duration::from_millis(60);

/// A move by this daemon.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    revision: id::Revision,
    since: Duration,
    revoked: Option<Duration>,
    released: Option<Duration>,
    ordered: Option<Duration>,
    accepted: bool,
    orders: u32,
}

impl Attempt {
    /// A move whose intention is written.
    pub(super) const fn new(revision: id::Revision, since: Duration) -> Self {
        Self {
            revision,
            since,
            revoked: None,
            released: None,
            ordered: None,
            accepted: false,
            orders: 0,
        }
    }
}

fn attempt_of<'a>(daemon: &'a mut Daemon, database: &id::Database) -> Option<&'a mut Attempt> {
    watch_of(daemon, database).attempt.as_mut()
}

/// Goes on with a move by this daemon.
pub(super) fn advance(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(attempt) = attempt_of(daemon, database).cloned() else {
        return;
    };
    let Some(group) = daemon.groups.get(database) else {
        return;
    };
    let leader = group::leader(group, &daemon.directory, database);
    let own_released = group.released;
    let newest = group.moved.as_ref().filter(|moved| moved.revision == attempt.revision);
    let Some((from, to)) =
        newest.map(|moved| (moved.intention.from.clone(), moved.intention.to.clone()))
    else {
        watch_of(daemon, database).attempt = None;
        return;
    };
    if matches!(leader, Leader::Known(_)) {
        let line = Line::state_change("primary moved").with("database", database).with("to", &to);
        fx.log(line.millis("took", now.since(attempt.since)));
        fx.observe("gcl_failover_seconds", database, now.since(attempt.since));
        watch_of(daemon, database).attempt = None;
        return;
    }
    daemon.timers.arm_by(timer::Key::Failover(database.clone()), now.mono + STEP);
    let listed = daemon.follow.own_revision() >= attempt.revision;
    // Daemons that are not listed in a new era may still use the old primary.
    if !listed
        || !era::is_settled(daemon, now)
        || !daemon.lease.holds(now.mono)
        || now.since(attempt.since) > MOST_AGE
    {
        return;
    }
    let waiting = still_using(daemon, database, attempt.revision);
    let quiet = attempt.revoked.is_none_or(|at| now.since(at) >= lease::TIME);
    let lent = !gossip::loans_ended(daemon, now, database, attempt.revision);
    if !waiting.is_empty() && now.since(attempt.since) >= REVOKE_PATIENCE {
        revoke(daemon, now, fx, database, &waiting);
    }
    if !waiting.is_empty() || !quiet || lent || !own_released {
        return;
    }
    if let Some(attempt) = attempt_of(daemon, database) {
        attempt.released.get_or_insert(now.mono);
    }
    let seen = seen(daemon, database, &from, attempt.revision);
    let received = daemon.pools.get(&to).and_then(|pool| pool.received.max(pool.mark));
    let late = attempt.released.is_some_and(|at| now.since(at) >= CATCH_UP);
    if received < seen && !late {
        return pool::ask(daemon, now, fx, &to);
    }
    if received < seen {
        let line = Line::state_change("successor lacks commits").with("database", database);
        fx.log(line.with("to", &to).mark("has", received).mark("seen", seen));
    }
    order(daemon, now, fx, database, &attempt, to);
}

/// The newest log position that any daemon saw at the old primary.
fn seen(
    daemon: &Daemon,
    database: &id::Database,
    from: &id::Server,
    revision: id::Revision,
) -> Option<Mark> {
    let own = daemon.pools.get(from).and_then(|pool| pool.mark);
    let written = daemon.members.values().filter_map(|member| {
        let release = member.record.acknowledged.get(database)?;
        release.mark.filter(|_| release.revision == revision)
    });
    own.max(daemon.gossip.mark(from)).max(written.max())
}

/// Daemons that may still use the old primary: they are listed and have not acknowledged.
///
/// One that started again counts as well, since it may know of a loan that its earlier life gave.
fn still_using(
    daemon: &Daemon,
    database: &id::Database,
    revision: id::Revision,
) -> Vec<id::Daemon> {
    let others = daemon.members.iter().filter(|(name, _)| **name != daemon.settings.daemon);
    let using = others.filter(|(name, other)| {
        let written = other.record.acknowledged.get(database).map_or(0, |it| it.revision);
        let told = daemon.gossip.acknowledged(name, other.record.incarnation, database);
        written.max(told.revision) < revision
    });
    using.map(|(name, _)| name.clone()).collect()
}

fn revoke(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    waiting: &[id::Daemon],
) {
    let Some(attempt) = attempt_of(daemon, database).filter(|it| it.revoked.is_none()) else {
        return;
    };
    attempt.revoked = Some(now.mono);
    for name in waiting {
        if let Some(other) = daemon.members.get(name) {
            let line =
                Line::state_change("lease of a silent daemon ended").with("database", database);
            fx.log(line.with("member", name).with("lease", other.lease));
            fx.store(Call::Revoke(other.lease));
        }
    }
}

/// Orders the promotion, again if it brought no primary.
fn order(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    attempt: &Attempt,
    to: id::Server,
) {
    if attempt.ordered.is_some_and(|at| now.since(at) < PROMOTE_PATIENCE) {
        return;
    }
    let leads = daemon.directory.get(&to).is_some_and(|entry| entry.claims_primary);
    if attempt.accepted && leads {
        return on_confirmed(daemon, now, database, &to);
    }
    if attempt.orders >= MOST_ORDERS {
        let line = Line::state_change("promotion without effect").with("database", database);
        fx.log(line.with("to", &to).with("orders", attempt.orders));
        return super::claim(daemon, now, fx, database, Cause::Stalled);
    }
    let line = Line::state_change("promotion ordered").with("database", database).with("to", &to);
    fx.log(line.with("fence", attempt.revision).millis("waited", now.since(attempt.since)));
    if let Some(attempt) = attempt_of(daemon, database) {
        attempt.ordered = Some(now.mono);
        attempt.orders += 1;
    }
    fx.push(Effect::Promote { database: database.clone(), server: to, fence: attempt.revision });
}

/// Takes note that a server that registered itself as primary before its promotion was ordered leads:
/// a promotion that was due would have taken effect by now.
fn on_confirmed(daemon: &mut Daemon, now: Now, database: &id::Database, to: &id::Server) {
    let Some(group) = daemon.groups.get_mut(database) else {
        return;
    };
    let moved = group.moved.as_ref().filter(|moved| moved.intention.to == *to);
    if let Some(revision) = moved.map(|moved| moved.revision) {
        group.done = revision;
        gossip::send_now(daemon, now);
    }
}

/// Takes the platform's answer to an order to promote.
pub fn on_promoted(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    result: std::result::Result<(), Fault>,
) {
    let Err(fault) = result else {
        if let Some(attempt) = attempt_of(daemon, database) {
            attempt.accepted = true;
        }
        return fx.log(Line::state_change("promotion accepted").with("database", database));
    };
    let line = Line::state_change("promotion failed").with("database", database);
    fx.log(line.with("fault", &fault));
    if fault.code == Code::Conflict && daemon.lease.holds(now.mono) {
        return super::claim(daemon, now, fx, database, Cause::Stalled);
    }
    if let Some(attempt) = attempt_of(daemon, database) {
        attempt.ordered = Some(now.mono.saturating_sub(PROMOTE_PATIENCE / 2));
    }
}
