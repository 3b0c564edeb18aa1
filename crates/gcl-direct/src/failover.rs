//! Replacement of primaries: of one that is gone, and of one that is about to leave.
//!
//! Any daemon may move a primary. It writes its intention to the store under a condition, so that of
//! two that try only one goes on, and the write's revision is the fencing token. From then on no
//! daemon gains the right to the old primary. The mover waits until every daemon that was listed
//! has acknowledged that it uses the old primary no more, or has lost its lease, and only then asks
//! the platform to promote. A mover that dies leaves its intention; another daemon replaces it by
//! one of its own, with a higher revision.

use crate::{
    directory,
    effect::{Effect, Effects},
    gossip::{self, Known},
    group::{self, Intention, Leader},
    lease,
    line::Line,
    member,
    pool::Health,
    request, right,
    session::Transaction,
    state::State as Daemon,
    store::{Call, Result, Topic, Written},
    timer,
};
use bytes::Bytes;
use gcl_core::{code::Fault, id, mark::Mark, rendezvous, time::Now};
use indexmap::IndexMap;
use std::{cmp::Reverse, time::Duration};

/// Silence after which a primary that refuses connections is replaced.
const REFUSED_PATIENCE: Duration = Duration::from_millis(500);
/// Failures in that time that are needed.
const FAILURES: u32 = 2;
/// Time within which another server must have answered, so that the fault is not this daemon's.
const ELSEWHERE: Duration = Duration::from_millis(1500);
/// Time between the ranks of daemons that may move the same primary.
const RANK_STEP: Duration = Duration::from_millis(120);
/// Ranks after which all daemons move at the same time.
const MOST_RANKS: u32 = 8;
/// How long no server may register itself as primary before one is made so.
const UNKNOWN_PATIENCE: Duration = Duration::from_secs(3);
/// How long transactions may go on at a primary that is moved while it works.
const RELEASE_PATIENCE: Duration = Duration::from_millis(1200);
/// Time after which a daemon that neither acknowledges nor loses its lease is made to lose it.
const REVOKE_PATIENCE: Duration = Duration::from_secs(8);
/// Time after which a promotion that brought no primary is ordered again.
const PROMOTE_PATIENCE: Duration = Duration::from_millis(2500);
/// Orders of one promotion before another server is taken.
const MOST_ORDERS: u32 = 3;
/// Time after which another daemon replaces an intention whose mover may still live.
const TAKEOVER_PATIENCE: Duration = Duration::from_secs(18);
/// Time after which an intention is replaced whose mover is gone.
const ORPHAN_PATIENCE: Duration = Duration::from_millis(800);
/// Time between two looks at something unsettled.
const STEP: Duration = Duration::from_millis(150);

/// Why a primary is to be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Its entry is gone.
    Gone,
    /// It does not answer.
    Silent,
    /// It is about to leave.
    Leaving,
    /// A move did not come to its end.
    Stalled,
    /// There is none.
    Missing,
}

impl Cause {
    /// The time for which it must hold.
    const fn patience(self) -> Duration {
        match self {
            Self::Gone | Self::Leaving | Self::Stalled => Duration::ZERO,
            Self::Silent => REFUSED_PATIENCE,
            Self::Missing => UNKNOWN_PATIENCE,
        }
    }
}

/// A move by this daemon.
#[derive(Clone, Debug)]
struct Attempt {
    revision: id::Revision,
    since: Duration,
    revoked: Option<Duration>,
    ordered: Option<Duration>,
    orders: u32,
}

/// Doubts and moves of one database.
#[derive(Clone, Debug, Default)]
struct Watch {
    doubt: Option<(Cause, Duration)>,
    call: Option<id::Call>,
    attempt: Option<Attempt>,
}

/// Doubts and moves of this daemon.
#[derive(Clone, Debug, Default)]
pub struct State {
    watches: IndexMap<id::Database, Watch>,
}

/// Whether the way to a server shows that it is gone, and not that this daemon is cut off.
#[must_use]
pub fn is_silent(health: Health, now: Duration, elsewhere: Duration) -> bool {
    let failing = health.failing.is_some_and(|since| now.saturating_sub(since) >= REFUSED_PATIENCE);
    failing && health.failures >= FAILURES && now.saturating_sub(elsewhere) < ELSEWHERE
}

/// A server that may take over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Successor {
    /// The server.
    pub server: id::Server,
    /// Whether this daemon reaches it.
    pub reached: bool,
    /// The newest log position that it reported.
    pub mark: Option<Mark>,
    /// Its distance from this daemon.
    pub distance: u8,
}

/// The server that takes over: one that is reached, has most of the log, and is near.
#[must_use]
pub fn successor(candidates: Vec<Successor>) -> Option<id::Server> {
    let best = candidates
        .into_iter()
        .max_by_key(|it| (it.reached, it.mark, Reverse(it.distance), Reverse(it.server.clone())));
    best.map(|best| best.server)
}

/// Looks at all databases.
pub fn review_all(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let databases: Vec<_> = daemon.groups.keys().cloned().collect();
    for database in databases {
        review(daemon, now, fx, &database);
    }
}

/// Looks at a database's primary, and does what is due for it.
pub fn review(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    release_old(daemon, now, fx, database);
    advance(daemon, now, fx, database);
    let cause = cause(daemon, now, database);
    let rank = rank(daemon, database);
    let watch = daemon.failover.watches.entry(database.clone()).or_default();
    let Some(cause) = cause else {
        watch.doubt = None;
        return;
    };
    let since = match watch.doubt {
        Some((known, since)) if known == cause => since,
        _ => now.mono,
    };
    watch.doubt = Some((cause, since));
    let wait = if cause == Cause::Silent { Duration::ZERO } else { cause.patience() };
    let due = since + wait + RANK_STEP * rank;
    if watch.call.is_some() || watch.attempt.is_some() {
        return;
    }
    if now.mono >= due {
        claim(daemon, now, fx, database, cause);
    }
    daemon.timers.arm_by(timer::Key::Failover(database.clone()), due.max(now.mono + STEP));
}

/// The turn of this daemon among those that may move a primary.
fn rank(daemon: &Daemon, database: &str) -> u32 {
    let own = rendezvous::weight(database, &daemon.settings.daemon);
    let before = daemon.members.keys().filter(|name| rendezvous::weight(database, name) > own);
    u32::try_from(before.count()).unwrap_or(MOST_RANKS).min(MOST_RANKS)
}

fn cause(daemon: &Daemon, now: Now, database: &id::Database) -> Option<Cause> {
    let group = daemon.groups.get(database)?;
    if !daemon.follow.complete() || !daemon.lease.holds(now.mono) {
        return None;
    }
    match group::leader(group, &daemon.directory, database) {
        Leader::Known(server) => {
            let Some(entry) = daemon.directory.get(&server) else {
                return Some(Cause::Gone);
            };
            if entry.draining {
                return Some(Cause::Leaving);
            }
            let health = daemon.pools.get(&server)?.health;
            let silent = is_silent(health, now.mono, elsewhere(daemon, &server));
            let (answering, others) = gossip::opinions(daemon, now, &server);
            (silent && others + 1 > answering).then_some(Cause::Silent)
        }
        Leader::Moving => stalled(daemon, now, group).then_some(Cause::Stalled),
        Leader::Unknown => {
            let known = directory::servers(&daemon.directory, database).next().is_some();
            known.then_some(Cause::Missing)
        }
    }
}

/// When another server than this one last answered.
fn elsewhere(daemon: &Daemon, server: &id::Server) -> Duration {
    let others = daemon.pools.iter().filter(|(name, _)| *name != server);
    others.map(|(_, pool)| pool.health.succeeded).max().unwrap_or_default()
}

/// Whether a move does not come to its end.
fn stalled(daemon: &Daemon, now: Now, group: &group::Group) -> bool {
    let Some(moved) = &group.moved else {
        return false;
    };
    let age = now.since(moved.seen);
    let author = daemon.members.get(&moved.intention.by);
    let orphan = author.is_none_or(|it| it.record.incarnation != moved.intention.incarnation);
    let lost = !daemon.directory.contains_key(&moved.intention.to);
    (orphan || lost) && age >= ORPHAN_PATIENCE || age >= TAKEOVER_PATIENCE
}

/// Writes the intention to move a primary.
fn claim(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database, cause: Cause) {
    let group = daemon.groups.get(database);
    let from = match group.map(|group| group::leader(group, &daemon.directory, database)) {
        Some(Leader::Known(server)) => server,
        _ => group
            .and_then(|group| group.moved.as_ref())
            .map(|moved| moved.intention.to.clone())
            .unwrap_or_default(),
    };
    let expected = group.and_then(|group| group.moved.as_ref()).map_or(0, |moved| moved.revision);
    let Some(to) = successor(successors(daemon, now, database, &from)) else {
        let line = Line::belief("no server can take over").with("database", database);
        return fx.log(line.with("from", from).with("cause", format_args!("{cause:?}")));
    };
    let line = Line::belief("moving the primary").with("database", database);
    let line = line.with("from", &from).with("to", &to).with("expected", expected);
    fx.log(line.with("cause", format_args!("{cause:?}")));
    let intention = Intention {
        from,
        to,
        by: daemon.settings.daemon.clone(),
        incarnation: daemon.incarnation,
        planned: cause == Cause::Leaving,
    };
    let value = match serde_json::to_vec(&intention) {
        Ok(value) => Bytes::from(value),
        Err(error) => {
            return fx.log(Line::belief("intention cannot be encoded").with("error", error));
        }
    };
    let call = daemon.next_id();
    daemon.failover.watches.entry(database.clone()).or_default().call = Some(call);
    fx.store(Call::Write { call, key: group::key(database), expected, value, lease: 0 });
}

fn successors(
    daemon: &Daemon,
    now: Now,
    database: &id::Database,
    from: &id::Server,
) -> Vec<Successor> {
    let servers = directory::servers(&daemon.directory, database);
    let able = servers.filter(|(server, entry)| !entry.draining && *server != from);
    let candidates = able.map(|(server, entry)| {
        let pool = daemon.pools.get(server);
        let failed =
            pool.is_some_and(|pool| now.mono < pool.failed_until || pool.health.failing.is_some());
        Successor {
            server: server.clone(),
            reached: !failed,
            mark: pool.and_then(|pool| pool.mark),
            distance: daemon.settings.distance(&entry.domain),
        }
    });
    candidates.collect()
}

/// Takes the end of a write of an intention.
pub fn on_written(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    call: id::Call,
    result: Result<Written>,
) {
    let mut watches = daemon.failover.watches.iter_mut();
    let Some((database, watch)) = watches.find(|(_, watch)| watch.call == Some(call)) else {
        return;
    };
    let database = database.clone();
    watch.call = None;
    let line = Line::belief("intention written").with("database", &database);
    fx.log(line.with("result", format_args!("{result:?}")));
    // The answer may be lost although the write was made, and the list of daemons must be newer
    // than the write: both come with the daemons' keys.
    fx.store(Call::Read(Topic::Own));
    daemon.timers.arm_by(timer::Key::Failover(database), now.mono + STEP);
}

/// Takes note of a new intention.
pub fn on_intention(daemon: &mut Daemon, now: Now, database: &id::Database) {
    let Some(moved) = daemon.groups.get(database).and_then(|group| group.moved.as_ref()) else {
        return;
    };
    let own = moved.intention.by == daemon.settings.daemon
        && moved.intention.incarnation == daemon.incarnation;
    let revision = moved.revision;
    let watch = daemon.failover.watches.entry(database.clone()).or_default();
    watch.attempt = own.then_some(Attempt {
        revision,
        since: now.mono,
        revoked: None,
        ordered: None,
        orders: 0,
    });
    daemon.timers.arm_by(timer::Key::Failover(database.clone()), now.mono);
}

/// Gives up the old primary of an intention, and acknowledges that once nobody uses it by a loan.
fn release_old(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(group) = daemon.groups.get(database) else {
        return;
    };
    let Some(moved) = &group.moved else {
        return;
    };
    let (revision, from, released) = (moved.revision, moved.intention.from.clone(), group.released);
    if !released {
        let patient = moved.intention.planned && now.since(moved.seen) < RELEASE_PATIENCE;
        let held = held(daemon, database, &from);
        if patient && !held.is_empty() {
            return daemon.timers.arm_by(timer::Key::Failover(database.clone()), now.mono + STEP);
        }
        if let Some(group) = daemon.groups.get_mut(database) {
            group.released = true;
        }
        for (session, connection) in held {
            request::on_lost(daemon, now, fx, session, connection, "the primary is being moved");
        }
        requeue(daemon, now, fx, database, &from);
    }
    if gossip::loans_ended(daemon, now, database, revision) {
        member::acknowledge(daemon, now, fx, database, revision);
    } else {
        daemon.timers.arm_by(timer::Key::Failover(database.clone()), now.mono + STEP);
    }
}

/// Takes note of an intention that another daemon knows.
pub fn on_told(daemon: &mut Daemon, now: Now, fx: &mut Effects, known: &Known) {
    let group = daemon.groups.entry(known.database.clone()).or_default();
    let revision = group.moved.as_ref().map_or(0, |moved| moved.revision);
    if known.revision > revision {
        group.learn(known.intention.clone(), known.revision, now.mono);
        let line = Line::belief("told of a move").with("database", &known.database);
        let line = line.with("from", &known.intention.from).with("to", &known.intention.to);
        fx.log(line.with("revision", known.revision));
        on_intention(daemon, now, &known.database);
    }
    let group = daemon.groups.entry(known.database.clone()).or_default();
    if known.done && known.revision >= revision && group.done < known.revision {
        group.done = known.revision;
        request::on_leader(daemon, now, fx, &known.database);
    }
}

/// Sessions that use a server as the primary of a database.
fn held(
    daemon: &Daemon,
    database: &id::Database,
    server: &id::Server,
) -> Vec<(id::Session, id::Connection)> {
    let Some(pool) = daemon.pools.get(server) else {
        return Vec::new();
    };
    let users = pool.connections.iter().filter_map(|connection| {
        let session = daemon.connections.get(connection)?.session?;
        Some((session, *connection))
    });
    let as_primary = users.filter(|(session, _)| {
        daemon.sessions.get(session).is_some_and(|entry| {
            match (&entry.transaction, &entry.request) {
                (Transaction::Open(open), _) => open.on_primary && open.route.database == *database,
                (_, Some(request)) => request.need == crate::place::Need::Primary,
                _ => false,
            }
        })
    });
    as_primary.collect()
}

/// Sends statements that wait for the old primary to look for the new one.
fn requeue(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    server: &id::Server,
) {
    let waiting = daemon.pools.get_mut(server).map(|pool| std::mem::take(&mut pool.waiting));
    for waiter in waiting.unwrap_or_default() {
        request::on_unserved(daemon, now, fx, waiter.session, server);
    }
    daemon.timers.arm_by(timer::Key::Failover(database.clone()), now.mono + STEP);
}

/// Goes on with a move by this daemon.
fn advance(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(group) = daemon.groups.get(database) else {
        return;
    };
    let settled = matches!(group::leader(group, &daemon.directory, database), Leader::Known(_));
    let newest = group.moved.as_ref().map(|moved| (moved.revision, moved.intention.to.clone()));
    let Some(watch) = daemon.failover.watches.get_mut(database) else {
        return;
    };
    let Some(attempt) = watch.attempt.as_mut() else {
        return;
    };
    let Some((revision, to)) = newest.filter(|(revision, _)| *revision == attempt.revision) else {
        watch.attempt = None;
        return;
    };
    if settled {
        let line = Line::belief("primary moved").with("database", database).with("to", &to);
        fx.log(line.millis("took", now.since(attempt.since)));
        fx.observe("gcl_failover_seconds", database, now.since(attempt.since));
        watch.attempt = None;
        return;
    }
    daemon.timers.arm_by(timer::Key::Failover(database.clone()), now.mono + STEP);
    let listed = daemon.follow.own_revision() >= revision;
    let attempt = attempt.clone();
    if !listed || !daemon.lease.holds(now.mono) {
        return;
    }
    let waiting = still_using(daemon, database, revision);
    let lent = !gossip::loans_ended(daemon, now, database, revision);
    let quiet = attempt.revoked.is_none_or(|at| now.since(at) >= lease::TIME);
    let own_released = daemon.groups.get(database).is_some_and(|group| group.released);
    if waiting.is_empty() && quiet && own_released && !lent {
        order(daemon, now, fx, database, &attempt, to);
    } else if now.since(attempt.since) >= REVOKE_PATIENCE && attempt.revoked.is_none() {
        revoke(daemon, now, fx, database, &waiting);
    }
}

fn attempt_of<'a>(daemon: &'a mut Daemon, database: &id::Database) -> Option<&'a mut Attempt> {
    daemon.failover.watches.get_mut(database)?.attempt.as_mut()
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
        let written = other.record.acknowledged.get(database).copied().unwrap_or(0);
        let told = daemon.gossip.acknowledged(name, other.record.incarnation, database);
        written.max(told) < revision
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
    for name in waiting {
        if let Some(other) = daemon.members.get(name) {
            let line = Line::belief("lease of a silent daemon ended").with("database", database);
            fx.log(line.with("member", name).with("lease", other.lease));
            fx.store(Call::Revoke(other.lease));
        }
    }
    if let Some(attempt) = attempt_of(daemon, database) {
        attempt.revoked = Some(now.mono);
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
    if attempt.orders >= MOST_ORDERS {
        let line = Line::belief("promotion without effect").with("database", database);
        fx.log(line.with("to", &to).with("orders", attempt.orders));
        return claim(daemon, now, fx, database, Cause::Stalled);
    }
    let line = Line::belief("promotion ordered").with("database", database).with("to", &to);
    fx.log(line.with("fence", attempt.revision).millis("waited", now.since(attempt.since)));
    if let Some(attempt) = attempt_of(daemon, database) {
        attempt.ordered = Some(now.mono);
        attempt.orders += 1;
    }
    fx.push(Effect::Promote { database: database.clone(), server: to, fence: attempt.revision });
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
        return fx.log(Line::belief("promotion accepted").with("database", database));
    };
    let line = Line::belief("promotion failed").with("database", database);
    fx.log(line.with("fault", &fault));
    let refused = fault.code == gcl_core::code::Code::Conflict;
    if refused && daemon.lease.holds(now.mono) {
        return claim(daemon, now, fx, database, Cause::Stalled);
    }
    if let Some(attempt) = attempt_of(daemon, database) {
        attempt.ordered = Some(now.mono.saturating_sub(PROMOTE_PATIENCE / 2));
    }
}

/// Whether this daemon knows who leads a database.
#[must_use]
pub fn settled(daemon: &Daemon, database: &str) -> bool {
    matches!(right::leader(daemon, database), Leader::Known(_))
}
