//! Replacement of primaries that are gone or are draining.
//!
//! Any daemon may move a primary. It writes its intention to the store conditionally, so that only
//! one of two competing daemons continues; the revision of the write is the fencing token. From
//! then on no daemon gains the authority to use the old primary. The moving daemon waits until
//! every daemon that was listed has acknowledged that it no longer uses the old primary, or has
//! lost its lease, and only then requests the promotion from the platform. If the moving daemon
//! fails, another daemon replaces its intention by one with a higher revision.

mod attempt;
mod evidence;
mod release;
mod rewrite;
mod successor;
mod view;

pub use self::{
    attempt::on_promoted,
    evidence::{
        Candidate, Cause, Evidence, is_confirmed_by_peers, is_failing, is_silent, select_successor,
    },
    rewrite::on_era,
};

use self::{
    attempt::{Attempt, advance},
    release::release,
    rewrite::{registered_target, rewrite},
    successor::{candidates, newest_position},
    view::{is_stale, is_stalled, may_decide, refresh_target},
};
use crate::{
    authority, directory,
    effect::Effects,
    era,
    gossip::{self, Announcement},
    group::{self, Intention, Leader},
    home,
    line::Line,
    pool, quorum, request,
    state::State as Daemon,
    store::{Call, Result, Topic, Written},
    timer,
};
use bytes::Bytes;
use gcl_core::{id, rendezvous, time::Now};
use indexmap::IndexMap;
use std::time::Duration;

/// Delay between the ranks of daemons that may move the same primary.
const RANK_STEP: Duration = Duration::from_millis(120);
/// Daemons besides the homes that check the servers of a database whose primary is suspected.
const CHECKERS: u32 = 4;
/// Extra delay before another daemon moves the primary: those that check may all be lost.
const STANDBY_DELAY: Duration = Duration::from_secs(3);
/// Maximum rank; daemons beyond it all move at the same time.
const MAX_RANK: u32 = 8;
/// Age at which another daemon replaces an intention whose daemon may still be running.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(18);
/// Age at which an intention is replaced whose daemon is gone.
const ORPHAN_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between checks while a primary is suspected or moved.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Suspicion and move of one database's primary.
#[derive(Clone, Debug, Default)]
struct Tracker {
    /// Why the primary is suspected, and since when.
    suspected: Option<(Cause, Duration)>,
    /// The write of an intention in flight.
    call: Option<id::Call>,
    /// The move that this daemon runs.
    attempt: Option<Attempt>,
    /// Whether a move is due but the view of the store is too old to decide it.
    deferred: bool,
    /// Whether too few servers respond to determine a successor.
    undetermined: bool,
}

/// Suspicions and moves of this daemon.
#[derive(Clone, Debug, Default)]
pub struct State {
    trackers: IndexMap<id::Database, Tracker>,
}

fn tracker_mut<'a>(daemon: &'a mut Daemon, database: &id::Database) -> &'a mut Tracker {
    daemon.failover.trackers.entry(database.clone()).or_default()
}

/// Whether this daemon checks the servers of a database whose primary is suspected. In a fleet with
/// homes these are the homes and a few others: if all hosts did, the servers of many databases that
/// fail together would be busy with the connections of the checks.
#[must_use]
pub fn is_checker(daemon: &Daemon, database: &str) -> bool {
    !home::is_enabled(daemon) || rank(daemon, database) <= CHECKERS
}

/// Checks the primaries of all databases.
pub fn review_all(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let databases: Vec<_> = daemon.groups.keys().cloned().collect();
    for database in databases {
        review(daemon, now, fx, &database);
    }
}

/// Checks the primaries that are being moved.
pub fn review_moves(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let open = |database: &id::Database| {
        let moved = daemon.groups.get(database).is_some_and(|group| group.latest_move.is_some());
        moved && !has_primary(daemon, database)
    };
    let databases: Vec<_> = daemon.groups.keys().filter(|name| open(name)).cloned().collect();
    for database in databases {
        review(daemon, now, fx, &database);
    }
}

/// Checks a database's primary, and takes the next step towards its replacement.
pub fn review(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    record_primary(daemon, now, database);
    quorum::review(daemon, now, fx, database);
    rewrite(daemon, now, fx, database);
    release(daemon, now, fx, database);
    advance(daemon, now, fx, database);
    refresh_target(daemon, now, fx, database);
    let cause = cause(daemon, now, database);
    let rank = rank(daemon, database);
    let tracker = tracker_mut(daemon, database);
    let Some(cause) = cause else {
        (tracker.suspected, tracker.undetermined) = (None, false);
        return poll_others(daemon, now, fx, database);
    };
    let since = match tracker.suspected {
        // A silent primary whose entry lapses as well has been suspected since it fell silent.
        Some((known, since))
            if known == cause || (known, cause) == (Cause::Silent, Cause::Gone) =>
        {
            since
        }
        _ => now.mono,
    };
    tracker.suspected = Some((cause, since));
    if tracker.call.is_some() || tracker.attempt.is_some() {
        return;
    }
    if matches!(cause, Cause::Gone | Cause::Silent) {
        gossip::raise_suspicion(daemon, now);
    }
    let evidence = collect_evidence(daemon, now, fx, database, cause);
    let relay_delay = match cause {
        Cause::Gone | Cause::Silent => gossip::relay_delay(daemon),
        _ => Duration::ZERO,
    };
    let standby_delay = if is_checker(daemon, database) { Duration::ZERO } else { STANDBY_DELAY };
    let due = since + evidence.grace_period() + relay_delay + RANK_STEP * rank + standby_delay;
    if now.mono >= due && is_decidable(daemon, now, fx, database) {
        write_intention(daemon, now, fx, database, cause);
    }
    daemon.timers.arm_by(timer::Key::Failover(database.clone()), now.mono + CHECK_INTERVAL);
}

/// Whether a move can be decided now: by a recent view of the store, and by enough servers.
fn is_decidable(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) -> bool {
    let responds = quorum::responds(daemon, now, database);
    let undetermined = &mut tracker_mut(daemon, database).undetermined;
    if !responds && !std::mem::replace(undetermined, true) {
        quorum::log_undetermined(daemon, now, fx, database);
    }
    tracker_mut(daemon, database).undetermined = !responds;
    responds && may_decide(daemon, now, fx, database)
}

/// Records a new primary. Failures before it became primary no longer count.
fn record_primary(daemon: &mut Daemon, now: Now, database: &id::Database) {
    let Leader::Known(server) = authority::leader(daemon, database) else {
        return;
    };
    let restored = era::is_restored(daemon, now);
    let Some(group) = daemon.groups.get_mut(database) else {
        return;
    };
    // It stays primary until it is moved, whatever a restored store reports later.
    if let Some(moved) =
        group.latest_move.as_ref().filter(|it| restored && it.intention.to == server)
    {
        group.completed = moved.revision;
    }
    if group.last_primary.as_ref() != Some(&server) {
        let pool = daemon.pools.entry(server.clone()).or_default();
        pool.on_success(now);
        pool.failed_until = now.mono;
        group.last_primary = Some(server);
    }
}

/// Polls the other servers of a database whose primary fails, to distinguish its fault from this
/// daemon's.
fn poll_others(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Leader::Known(server) = authority::leader(daemon, database) else {
        return;
    };
    let health = daemon.pools.get(&server).map(|pool| pool.health).unwrap_or_default();
    if !is_failing(health, now.mono) || !is_checker(daemon, database) {
        return;
    }
    gossip::raise_suspicion(daemon, now);
    for candidate in candidates(daemon, now, database, &server) {
        pool::poll_position(daemon, now, fx, &candidate.server);
    }
    daemon.timers.arm_by(timer::Key::Failover(database.clone()), now.mono + CHECK_INTERVAL);
}

/// The rank of this daemon among those that may move a primary. Homes of the database come first:
/// they hold connections to its servers, so they know their positions.
fn rank(daemon: &Daemon, database: &str) -> u32 {
    if daemon.home.is_home(database) {
        return 0;
    }
    let own = rendezvous::weight(database, &daemon.settings.daemon);
    let before = daemon.members.keys().filter(|name| rendezvous::weight(database, name) > own);
    u32::try_from(before.count() + 1).unwrap_or(MAX_RANK).min(MAX_RANK)
}

/// How long this daemon waits before it writes a key of a database, so that daemons with a lower rank
/// do it first.
pub(crate) fn rank_delay(daemon: &Daemon, database: &str) -> Duration {
    RANK_STEP * rank(daemon, database)
}

fn cause(daemon: &Daemon, now: Now, database: &id::Database) -> Option<Cause> {
    let group = daemon.groups.get(database)?;
    if !daemon.watch.is_complete() || !daemon.lease.is_valid(now.mono) {
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
            let health = daemon.pools.get(&server).map(|pool| pool.health).unwrap_or_default();
            let silent = is_silent(health, now.mono, last_response_elsewhere(daemon, &server));
            let (answering, others) = gossip::reachability(daemon, now, &server);
            let confirmed = is_confirmed_by_peers(health.refused, answering, others);
            if silent && confirmed {
                return Some(Cause::Silent);
            }
            let evacuated = daemon.evacuation.contains(&entry.domain);
            let successors = candidates(daemon, now, database, &server);
            (evacuated && !successors.is_empty()).then_some(Cause::Evacuated)
        }
        Leader::Moving => is_stalled(daemon, now, group).then_some(Cause::Stalled),
        Leader::Unknown if group.last_primary.is_some() => Some(Cause::Gone),
        Leader::Unknown => {
            let known = directory::servers(&daemon.directory, database).next().is_some();
            known.then_some(Cause::Missing)
        }
    }
}

/// When a server other than this one last responded.
fn last_response_elsewhere(daemon: &Daemon, server: &id::Server) -> Duration {
    let others = daemon.pools.iter().filter(|(name, _)| *name != server);
    others.map(|(_, pool)| pool.health.last_success).max().unwrap_or_default()
}

/// Collects the evidence about a suspected primary, and polls the candidates for their positions.
fn collect_evidence(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    cause: Cause,
) -> Evidence {
    let from = server_to_replace(daemon, database);
    let candidates = candidates(daemon, now, database, &from);
    let checks = is_checker(daemon, database);
    for candidate in candidates.iter().filter(|it| it.reachable && checks) {
        pool::poll_position(daemon, now, fx, &candidate.server);
    }
    if checks {
        quorum::poll(daemon, now, fx, database);
    }
    let seen = newest_position(daemon, database, &from);
    let best = select_successor(candidates);
    let (known, reachable) = gossip::peer_counts(daemon, now);
    Evidence {
        cause,
        refused: daemon.pools.get(&from).is_some_and(|pool| pool.health.refused),
        all_accounted_for: reachable >= known
            || (cause == Cause::Gone && gossip::reaches_all_listed(daemon, now)),
        // In a planned move, another daemon that knows the position of a successor moves at once.
        behind: best
            .is_none_or(|best| best.mark < seen || (cause.is_planned() && best.mark.is_none())),
    }
}

/// The server that a move replaces, empty for none.
fn server_to_replace(daemon: &Daemon, database: &str) -> id::Server {
    let Some(group) = daemon.groups.get(database) else {
        return id::Server::default();
    };
    match (group::leader(group, &daemon.directory, database), &group.latest_move) {
        (Leader::Known(server), _) => server,
        // The target may never have been promoted.
        (Leader::Moving, Some(moved)) if is_stale(daemon, moved) => moved.intention.from.clone(),
        (Leader::Moving, Some(moved)) => moved.intention.to.clone(),
        _ => group.last_primary.clone().unwrap_or_default(),
    }
}

/// Writes the intention to move a primary.
fn write_intention(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    cause: Cause,
) {
    let from = server_to_replace(daemon, database);
    let expected = daemon.groups.get(database).map_or(0, |group| group.key_revision);
    let known = registered_target(daemon, now, database);
    let Some(to) = known.or_else(|| select_successor(candidates(daemon, now, database, &from)))
    else {
        let line = Line::state_change("no server can take over").with("database", database);
        return fx.log(line.with("from", from).with("cause", format_args!("{cause:?}")));
    };
    let line = Line::state_change("moving the primary").with("database", database);
    let line = line.with("from", &from).mark("seen", newest_position(daemon, database, &from));
    let line = line.with("to", &to.server).mark("has", to.mark);
    fx.log(line.with("expected", expected).with("cause", format_args!("{cause:?}")));
    write_move(daemon, fx, database, (from, to.server), cause.is_planned());
}

/// Replaces a move of this daemon that does not complete.
fn replace_move(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    if may_decide(daemon, now, fx, database) {
        write_intention(daemon, now, fx, database, Cause::Stalled);
    }
}

/// Writes the intention of this daemon to move a primary from one server to another.
fn write_move(
    daemon: &mut Daemon,
    fx: &mut Effects,
    database: &id::Database,
    (from, to): (id::Server, id::Server),
    planned: bool,
) {
    let by = daemon.settings.daemon.clone();
    let intention = Intention { from, to, by, incarnation: daemon.incarnation, planned };
    let record = group::Record { intention, era: daemon.era.current, order: 0 };
    let expected = daemon.groups.get(database).map_or(0, |group| group.key_revision);
    write_record(daemon, fx, database, &record, expected);
}

fn write_record(
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
    tracker_mut(daemon, database).call = Some(call);
    fx.store(Call::Write { call, key: group::key(database), expected, value, lease: 0 });
}

/// Moves the primary to another successor, since the one chosen first lacks commits. The old primary
/// is released already.
fn exchange_successor(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    from: id::Server,
    holder: Candidate,
) {
    if !may_decide(daemon, now, fx, database) {
        return;
    }
    let line = Line::state_change("successor exchanged").with("database", database);
    fx.log(line.with("to", &holder.server).mark("has", holder.mark));
    write_move(daemon, fx, database, (from, holder.server), false);
}

/// Handles a server's log position, requested at `sent`.
pub fn on_position(daemon: &mut Daemon, now: Now, server: &id::Server, sent: Duration) {
    if let Some(entry) = daemon.directory.get(server) {
        let database = entry.database.clone();
        let mark = daemon.pools.get(server).and_then(|pool| pool.mark);
        if let Some(mark) =
            mark.filter(|_| authority::accepts_answer(daemon, now, &database, server))
        {
            daemon.groups.entry(database.clone()).or_default().history.observe(sent, mark);
        }
        let key = timer::Key::Failover(database);
        daemon.timers.arm_by(key, now.mono);
    }
}

/// Handles the outcome of a write of an intention.
pub fn on_written(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    call: id::Call,
    result: Result<Written>,
) {
    let mut trackers = daemon.failover.trackers.iter_mut();
    let Some((database, tracker)) = trackers.find(|(_, tracker)| tracker.call == Some(call)) else {
        return;
    };
    let database = database.clone();
    tracker.call = None;
    let line = Line::state_change("intention written").with("database", &database);
    fx.log(line.with("result", format_args!("{result:?}")));
    // The response may be lost although the write was made, and the list of daemons must be newer
    // than the write. Reading the coordination keys yields both.
    fx.store(Call::Read(Topic::Coordination));
    daemon.timers.arm_by(timer::Key::Failover(database), now.mono + CHECK_INTERVAL);
}

/// Handles a new intention.
pub fn on_intention(daemon: &mut Daemon, now: Now, database: &id::Database) {
    let Some(moved) = daemon.groups.get(database).and_then(|group| group.latest_move.as_ref())
    else {
        return;
    };
    let own = moved.intention.by == daemon.settings.daemon
        && moved.intention.incarnation == daemon.incarnation;
    let revision = moved.revision;
    tracker_mut(daemon, database).attempt = own.then(|| Attempt::new(revision, now.mono));
    daemon.timers.arm_by(timer::Key::Failover(database.clone()), now.mono);
    if own {
        gossip::send_now(daemon, now);
    }
}

/// Handles an intention announced by another daemon.
pub fn on_announcement(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    announcement: &Announcement,
) {
    let ack_awaited = authority::is_held_by_lease(daemon, now);
    let group = daemon.groups.entry(announcement.database.clone()).or_default();
    let revision = group.latest_move.as_ref().map_or(0, |moved| moved.revision);
    if announcement.revision > revision {
        if era::of(announcement.revision) == daemon.era.current {
            group.key_revision = group.key_revision.max(announcement.revision);
        }
        group.set_move(
            announcement.intention.clone(),
            announcement.revision,
            now.mono,
            ack_awaited,
        );
        let line = Line::state_change("told of a move").with("database", &announcement.database);
        let line =
            line.with("from", &announcement.intention.from).with("to", &announcement.intention.to);
        fx.log(line.with("revision", announcement.revision));
        on_intention(daemon, now, &announcement.database);
    }
    let group = daemon.groups.entry(announcement.database.clone()).or_default();
    if announcement.done
        && announcement.revision >= revision
        && group.completed < announcement.revision
    {
        group.completed = announcement.revision;
        request::on_primary_found(daemon, now, fx, &announcement.database);
    }
}

/// Whether this daemon knows the primary of a database.
#[must_use]
pub fn has_primary(daemon: &Daemon, database: &str) -> bool {
    matches!(authority::leader(daemon, database), Leader::Known(_))
}
