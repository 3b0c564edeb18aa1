//! Replacement of primaries: of one that is gone, and of one that is about to leave.
//!
//! Any daemon may move a primary. It writes its intention to the store under a condition, so that of
//! two that try only one goes on, and the write's revision is the fencing token. From then on no
//! daemon gains the right to the old primary. The mover waits until every daemon that was listed
//! has acknowledged that it uses the old primary no more, or has lost its lease, and only then asks
//! the platform to promote. A mover that dies leaves its intention; another daemon replaces it by
//! one of its own, with a higher revision.

mod attempt;
mod evidence;
mod restate;

pub use self::{
    attempt::on_promoted,
    evidence::{Cause, Evidence, Successor, is_agreed, is_failing, is_silent, successor},
    restate::on_era,
};

use self::{
    attempt::{Attempt, advance},
    restate::{confirmed, restate},
};
use crate::{
    directory::{self, Entry},
    effect::Effects,
    era,
    gossip::{self, Announcement},
    group::{self, Intention, Leader, Move},
    lease::Release,
    line::Line,
    member,
    place::Need,
    pool, request, right,
    session::Transaction,
    state::State as Daemon,
    store::{Call, Result, Topic, Written},
    timer,
};
use bytes::Bytes;
use gcl_core::{id, mark::Mark, rendezvous, time::Now};
use indexmap::IndexMap;
use std::time::Duration;

/// Time between the ranks of daemons that may move the same primary.
const RANK_STEP: Duration = Duration::from_millis(120);
/// Ranks after which all daemons move at the same time.
const MOST_RANKS: u32 = 8;
/// How long a primary that is moved while it works goes on: transactions may end, and statements of
/// their own are still served. All daemons give it up at about the same time, so that nobody's
/// callers wait for the transactions of another daemon.
const RELEASE_PATIENCE: Duration = Duration::from_millis(600);
/// Time after which another daemon replaces an intention whose mover may still live.
const TAKEOVER_PATIENCE: Duration = Duration::from_secs(18);
/// Time after which an intention is replaced whose mover is gone.
const ORPHAN_PATIENCE: Duration = Duration::from_millis(800);
/// Time between two looks at something unsettled.
const STEP: Duration = Duration::from_millis(150);

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

fn watch_of<'a>(daemon: &'a mut Daemon, database: &id::Database) -> &'a mut Watch {
    daemon.failover.watches.entry(database.clone()).or_default()
}

/// Looks at all databases.
pub fn review_all(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let databases: Vec<_> = daemon.groups.keys().cloned().collect();
    for database in databases {
        review(daemon, now, fx, &database);
    }
}

/// Looks at the moves of primaries that are under way.
pub fn review_moves(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let open = |database: &id::Database| {
        let moved = daemon.groups.get(database).is_some_and(|group| group.moved.is_some());
        moved && !settled(daemon, database)
    };
    let databases: Vec<_> = daemon.groups.keys().filter(|name| open(name)).cloned().collect();
    for database in databases {
        review(daemon, now, fx, &database);
    }
}

/// Looks at a database's primary, and does what is due for it.
pub fn review(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    note_leader(daemon, now, database);
    restate(daemon, now, fx, database);
    release_old(daemon, now, fx, database);
    advance(daemon, now, fx, database);
    let cause = cause(daemon, now, database);
    let rank = rank(daemon, database);
    let watch = watch_of(daemon, database);
    let Some(cause) = cause else {
        watch.doubt = None;
        return probe(daemon, now, fx, database);
    };
    let since = match watch.doubt {
        Some((known, since)) if known == cause => since,
        _ => now.mono,
    };
    watch.doubt = Some((cause, since));
    if watch.call.is_some() || watch.attempt.is_some() {
        return;
    }
    if matches!(cause, Cause::Gone | Cause::Silent) {
        gossip::raise_suspicion(daemon, now);
    }
    let evidence = gather(daemon, now, fx, database, cause);
    let detour = match cause {
        Cause::Gone | Cause::Silent => gossip::relay_delay(daemon),
        _ => Duration::ZERO,
    };
    let due = since + evidence.patience() + detour + RANK_STEP * rank;
    if now.mono >= due {
        claim(daemon, now, fx, database, cause);
    }
    daemon.timers.arm_by(timer::Key::Failover(database.clone()), now.mono + STEP);
}

/// Takes note of a new primary. What failed at it before it led says nothing about it now.
fn note_leader(daemon: &mut Daemon, now: Now, database: &id::Database) {
    let Leader::Known(server) = right::leader(daemon, database) else {
        return;
    };
    let restored = era::is_restored(daemon, now);
    let Some(group) = daemon.groups.get_mut(database) else {
        return;
    };
    // It leads until it is moved, whatever a copy of the store says of it later.
    if let Some(moved) = group.moved.as_ref().filter(|it| restored && it.intention.to == server) {
        group.done = moved.revision;
    }
    if group.last.as_ref() != Some(&server) {
        let pool = daemon.pools.entry(server.clone()).or_default();
        pool.on_success(now);
        pool.failed_until = now.mono;
        group.last = Some(server);
    }
}

/// Asks the other servers of a database whose primary fails, to tell its fault from this daemon's.
fn probe(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Leader::Known(server) = right::leader(daemon, database) else {
        return;
    };
    let health = daemon.pools.get(&server).map(|pool| pool.health).unwrap_or_default();
    if !is_failing(health, now.mono) {
        return;
    }
    gossip::raise_suspicion(daemon, now);
    for candidate in successors(daemon, now, database, &server) {
        pool::ask(daemon, now, fx, &candidate.server);
    }
    daemon.timers.arm_by(timer::Key::Failover(database.clone()), now.mono + STEP);
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
            let (answering, others) = gossip::reachability(daemon, now, &server);
            let agreed = is_agreed(health.refused, answering, others);
            (silent && agreed).then_some(Cause::Silent)
        }
        Leader::Moving => stalled(daemon, now, group).then_some(Cause::Stalled),
        Leader::Unknown if group.last.is_some() => Some(Cause::Gone),
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
    if is_former(daemon, moved) {
        return age >= ORPHAN_PATIENCE;
    }
    let author = daemon.members.get(&moved.intention.by);
    let orphan = author.is_none_or(|it| it.record.incarnation != moved.intention.incarnation);
    let lost = !daemon.directory.contains_key(&moved.intention.to);
    (orphan || lost) && age >= ORPHAN_PATIENCE || age >= TAKEOVER_PATIENCE
}

/// Whether a move was begun in an earlier era of the store. It is not ordered any more: its fencing
/// token may be lower than that of a move by a daemon that does not know of it.
fn is_former(daemon: &Daemon, moved: &Move) -> bool {
    era::of(moved.revision) < daemon.era.current
}

/// Gathers what is known about a primary in doubt, and asks its successors for their positions.
fn gather(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    cause: Cause,
) -> Evidence {
    let from = superseded(daemon, database);
    let candidates = successors(daemon, now, database, &from);
    for candidate in candidates.iter().filter(|it| it.reached) {
        pool::ask(daemon, now, fx, &candidate.server);
    }
    let seen = seen(daemon, &from);
    let best = successor(candidates);
    let (known, heard) = gossip::peer_counts(daemon, now);
    Evidence {
        cause,
        refused: daemon.pools.get(&from).is_some_and(|pool| pool.health.refused),
        complete: heard >= known,
        behind: best.is_none_or(|best| best.mark < seen),
    }
}

/// The newest log position that this daemon knows of at a primary.
fn seen(daemon: &Daemon, server: &str) -> Option<Mark> {
    let own = daemon.pools.get(server).and_then(|pool| pool.mark);
    own.max(daemon.gossip.mark(server))
}

/// The server that a move takes the lead from, empty for none.
fn superseded(daemon: &Daemon, database: &str) -> id::Server {
    let Some(group) = daemon.groups.get(database) else {
        return id::Server::default();
    };
    match (group::leader(group, &daemon.directory, database), &group.moved) {
        (Leader::Known(server), _) => server,
        // The target was perhaps never told to take over.
        (Leader::Moving, Some(moved)) if is_former(daemon, moved) => moved.intention.from.clone(),
        (Leader::Moving, Some(moved)) => moved.intention.to.clone(),
        _ => group.last.clone().unwrap_or_default(),
    }
}

/// Writes the intention to move a primary.
fn claim(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database, cause: Cause) {
    let from = superseded(daemon, database);
    let expected = daemon.groups.get(database).map_or(0, |group| group.written);
    let known = confirmed(daemon, now, database);
    let Some(to) = known.or_else(|| successor(successors(daemon, now, database, &from))) else {
        let line = Line::state_change("no server can take over").with("database", database);
        return fx.log(line.with("from", from).with("cause", format_args!("{cause:?}")));
    };
    let line = Line::state_change("moving the primary").with("database", database);
    let line = line.with("from", &from).mark("seen", seen(daemon, &from));
    let line = line.with("to", &to.server).mark("has", to.mark);
    fx.log(line.with("expected", expected).with("cause", format_args!("{cause:?}")));
    let intention = Intention {
        from,
        to: to.server,
        by: daemon.settings.daemon.clone(),
        incarnation: daemon.incarnation,
        planned: cause == Cause::Leaving,
    };
    let record = group::Record { intention, era: daemon.era.current, order: 0 };
    write(daemon, fx, database, &record, expected);
}

fn write(
    daemon: &mut Daemon,
    fx: &mut Effects,
    database: &id::Database,
    record: &group::Record,
    expected: id::Revision,
) {
    let value = match serde_json::to_vec(record) {
        Ok(value) => Bytes::from(value),
        Err(error) => {
            return fx.log(Line::state_change("intention cannot be encoded").with("error", error));
        }
    };
    let call = daemon.next_id();
    watch_of(daemon, database).call = Some(call);
    fx.store(Call::Write { call, key: group::key(database), expected, value, lease: 0 });
}

fn candidate(daemon: &Daemon, now: Now, server: &id::Server, entry: &Entry) -> Successor {
    let pool = daemon.pools.get(server);
    let failed =
        pool.is_some_and(|pool| now.mono < pool.failed_until || pool.health.failing.is_some());
    Successor {
        server: server.clone(),
        reached: !failed,
        mark: pool.and_then(|pool| pool.received.max(pool.mark)),
        distance: daemon.settings.distance(&entry.domain),
    }
}

fn successors(
    daemon: &Daemon,
    now: Now,
    database: &id::Database,
    from: &id::Server,
) -> Vec<Successor> {
    let servers = directory::servers(&daemon.directory, database);
    // A superseded primary that does not know it yet would be taken for the new one at once.
    let able = servers
        .filter(|(server, entry)| !entry.draining && !entry.claims_primary && *server != from);
    able.map(|(server, entry)| candidate(daemon, now, server, entry)).collect()
}

/// Takes note that a server told its log position when it was asked at `sent`.
pub fn on_report(daemon: &mut Daemon, now: Now, server: &id::Server, sent: Duration) {
    if let Some(entry) = daemon.directory.get(server) {
        let database = entry.database.clone();
        let mark = daemon.pools.get(server).and_then(|pool| pool.mark);
        if let Some(mark) = mark.filter(|_| right::covers(daemon, now, &database, server)) {
            daemon.groups.entry(database.clone()).or_default().history.observe(sent, mark);
        }
        let key = timer::Key::Failover(database);
        daemon.timers.arm_by(key, now.mono);
    }
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
    let line = Line::state_change("intention written").with("database", &database);
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
    watch_of(daemon, database).attempt = own.then(|| Attempt::new(revision, now.mono));
    daemon.timers.arm_by(timer::Key::Failover(database.clone()), now.mono);
    if own {
        gossip::send_now(daemon, now);
    }
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
        let patient = moved.intention.planned && moved.awaited;
        if patient && now.since(moved.seen) < RELEASE_PATIENCE {
            let due = moved.seen + RELEASE_PATIENCE;
            return daemon.timers.arm_by(timer::Key::Failover(database.clone()), due);
        }
        let held = held(daemon, database);
        if let Some(group) = daemon.groups.get_mut(database) {
            group.released = true;
        }
        for (session, connection) in held {
            request::on_lost(daemon, now, fx, session, connection, "the primary is being moved");
        }
        requeue(daemon, now, fx, database, &from);
    }
    if gossip::loans_ended(daemon, now, database, revision) {
        let mark = daemon.pools.get(&from).and_then(|pool| pool.mark);
        member::acknowledge(daemon, now, fx, database, Release { revision, mark });
    } else {
        daemon.timers.arm_by(timer::Key::Failover(database.clone()), now.mono + STEP);
    }
}

/// Takes note of an intention that another daemon knows.
pub fn on_told(daemon: &mut Daemon, now: Now, fx: &mut Effects, known: &Announcement) {
    let awaited = right::holds_own(daemon, now);
    let group = daemon.groups.entry(known.database.clone()).or_default();
    let revision = group.moved.as_ref().map_or(0, |moved| moved.revision);
    if known.revision > revision {
        if era::of(known.revision) == daemon.era.current {
            group.written = group.written.max(known.revision);
        }
        group.learn(known.intention.clone(), known.revision, now.mono, awaited);
        let line = Line::state_change("told of a move").with("database", &known.database);
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

/// Sessions that use any server as the primary of a database.
fn held(daemon: &Daemon, database: &id::Database) -> Vec<(id::Session, id::Connection)> {
    let users = daemon.connections.iter().filter_map(|(connection, known)| {
        let entry = daemon.directory.get(&known.server)?;
        (entry.database == *database).then_some((known.session?, *connection))
    });
    let as_primary = users.filter(|(session, _)| {
        daemon.sessions.get(session).is_some_and(|entry| {
            match (&entry.transaction, &entry.request) {
                (Transaction::Open(open), _) => open.on_primary,
                (_, Some(request)) => request.need == Need::Primary,
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

/// Whether this daemon knows who leads a database.
#[must_use]
pub fn settled(daemon: &Daemon, database: &str) -> bool {
    matches!(right::leader(daemon, database), Leader::Known(_))
}
