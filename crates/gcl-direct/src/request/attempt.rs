//! The tries of a statement: what it needs of a server, which one it goes to, and when it is tried
//! again.

use super::{BUSY_RETRY, RETRY_WAIT, Stage, count, refuse};
use crate::{
    directory,
    effect::Effects,
    failover,
    forward::{self, Choice},
    home, lease,
    line::Line,
    place::{self, Candidate, Need},
    pool, position,
    queue::Waiter,
    right,
    role::Role,
    session::Transaction,
    state::State as Daemon,
    timer,
};
use gcl_core::{
    code::{Code, Fault, Result},
    id,
    mark::Mark,
    time::Now,
};
use std::{sync::Arc, time::Duration};

/// Tries of one statement, the first included.
const MOST_TRIES: u32 = 6;
/// Time before a statement is tried again where nothing else has changed.
const RETRY: Duration = Duration::from_millis(40);
/// Time before a statement looks for a primary again, unless one appears before that.
const PRIMARY_RETRY: Duration = Duration::from_millis(250);

/// What a statement that has no connection needs of a server.
enum Wanted {
    /// The primary.
    Primary,
    /// Any server that has reached this log position.
    Position(Mark),
    /// A log position that the primary's region has to tell first.
    Unknown,
}

fn needs(daemon: &mut Daemon, now: Now, session: id::Session) -> Option<Wanted> {
    let entry = daemon.sessions.get(&session)?;
    let request = entry.request.as_ref()?;
    let began = match &entry.transaction {
        Transaction::Open(open) => open.began,
        _ => request.arrived,
    };
    let age = request.route.freshness.max_age().filter(|_| !entry.writes(request));
    let Some(age) = age else {
        return Some(Wanted::Primary);
    };
    let group = daemon.groups.get(&request.route.database);
    let database = request.route.database.clone();
    let seen = group.and_then(|group| group.history.covering(began.saturating_sub(age)));
    let floor = entry.floors.get(&request.route.database).copied();
    let far = home::is_enabled(daemon) && {
        let primary = home::location(daemon, &database).primary;
        primary.is_some_and(|domain| daemon.settings.distance(&domain) > 1)
    };
    if far || !(home::is_enabled(daemon) || daemon.home.is_home(&database)) {
        position::subscribe(daemon, now, &database);
    }
    Some(match seen {
        Some(seen) => Wanted::Position(floor.map_or(seen, |floor| floor.max(seen))),
        None if far => Wanted::Unknown,
        None => Wanted::Primary,
    })
}

/// Looks for a server for a statement and queues it there.
pub fn attempt(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    let Some(request) = super::of(daemon, session) else {
        return;
    };
    request.stage = Stage::Waiting;
    request.tries += 1;
    if request.tries > MOST_TRIES {
        let fault = Fault::new(Code::ServerLost, "no server could run the statement");
        return refuse(daemon, now, fx, session, fault.retry_after(BUSY_RETRY));
    }
    match forward::choose(daemon, now, session) {
        Choice::Local => {}
        Choice::Host(host) => {
            return forward::send(daemon, now, fx, session, &host);
        }
        Choice::Unavailable => {
            return wait_or_refuse(daemon, now, fx, session, forward::unavailable());
        }
    }
    if let Err(fault) = admit(daemon, now, session) {
        return refuse(daemon, now, fx, session, fault);
    }
    attempt_here(daemon, now, fx, session);
}

/// Counts the operation of a statement in its workspace's rate, unless it is already.
fn admit(daemon: &mut Daemon, now: Now, session: id::Session) -> Result<()> {
    let Some(entry) = daemon.sessions.get_mut(&session) else {
        return Ok(());
    };
    let Some(request) = entry.request.as_mut().filter(|request| !request.admitted) else {
        return Ok(());
    };
    request.admitted = true;
    if let Transaction::Open(open) = &mut entry.transaction {
        open.admitted = true;
    }
    let (workspace, route) = (entry.workspace.clone(), Arc::clone(&request.route));
    count(daemon, now, &workspace, &route)
}

/// Looks for a server that this daemon sends a statement to itself.
fn attempt_here(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    let Some(wanted) = needs(daemon, now, session) else {
        return;
    };
    let (need, after) = match wanted {
        Wanted::Primary => (Need::Primary, None),
        Wanted::Position(mark) => (Need::Recent, Some(mark)),
        Wanted::Unknown => (Need::Recent, None),
    };
    let Some(request) = super::of(daemon, session) else {
        return;
    };
    (request.need, request.after) = (need, after);
    if matches!(wanted, Wanted::Unknown) {
        let fault = Fault::new(Code::NoReplica, "no recent position of the primary is known");
        return elsewhere(daemon, now, fx, session, fault.retry_after(BUSY_RETRY));
    }
    match choose(daemon, now, session, need) {
        Ok(server) => match forward::home_for_server(daemon, now, session, &server) {
            Some(host) => forward::send(daemon, now, fx, session, &host),
            None => queue_at(daemon, now, fx, session, &server),
        },
        Err(fault) => elsewhere(daemon, now, fx, session, fault),
    }
}

/// Leaves a statement that this daemon cannot send to a server to another host where one may, and
/// has it wait otherwise. An entry that sent it is told at once, and asks the other host itself.
fn elsewhere(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session, fault: Fault) {
    let Some(entry) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let reads = entry.request.as_ref().is_some_and(|request| request.need == Need::Recent);
    let guest = entry.guest.is_some();
    let may_pass = (home::is_enabled(daemon) || guest)
        && (reads || fault.code == Code::ServerLost || !right::holds(daemon, now));
    if may_pass && guest {
        return refuse(daemon, now, fx, session, fault);
    }
    let own = daemon.settings.daemon.clone();
    match super::of(daemon, session) {
        Some(request) if may_pass && !request.passed.contains(&own) => {
            request.passed.push(own);
            attempt(daemon, now, fx, session);
        }
        _ => wait_or_refuse(daemon, now, fx, session, fault),
    }
}

/// The server for a statement.
fn choose(daemon: &Daemon, now: Now, session: id::Session, need: Need) -> Result<id::Server> {
    let none = || Fault::new(Code::NoReplica, "no server is known").retry_after(BUSY_RETRY);
    let entry = daemon.sessions.get(&session).ok_or_else(none)?;
    let request = entry.request.as_ref().ok_or_else(none)?;
    let database = &request.route.database;
    let primary = match entry.transaction {
        Transaction::None => right::primary_for_statement(daemon, now, database),
        _ => right::primary(daemon, now, database),
    };
    if need == Need::Primary {
        return primary.and_then(|server| reached(daemon, now, server));
    }
    let leader = primary.ok();
    let mut candidates = Vec::new();
    for (server, known) in directory::servers(&daemon.directory, database) {
        let pool = daemon.pools.get(server);
        let failed = pool.is_some_and(|pool| now.mono < pool.failed_until.max(pool.busy_until));
        let leads = leader.as_ref() == Some(server);
        let behind = !leads && pool.is_some_and(|pool| now.mono < pool.behind_until);
        // What another region's home can serve is left to it.
        let far = home::is_enabled(daemon) && daemon.settings.distance(&known.domain) > 1;
        if far || known.draining || failed || behind || request.avoided.contains(server) {
            continue;
        }
        candidates.push(Candidate {
            server,
            leads,
            distance: daemon.settings.distance(&known.domain),
            load: pool.map_or(0, |pool| pool::load(daemon, pool)),
            warm: pool.is_some_and(|pool| pool::is_warm(daemon, pool, &entry.workspace)),
            latency: pool.map_or_else(|| pool::Pool::default().latency, |pool| pool.latency),
        });
    }
    place::choose(need, &candidates).cloned().ok_or_else(none)
}

/// A primary that this daemon reaches. Where there are homes, another one may where this one does not.
fn reached(daemon: &Daemon, now: Now, server: id::Server) -> Result<id::Server> {
    let health = daemon.pools.get(&server).map(|pool| pool.health).unwrap_or_default();
    if home::routes_to_home(daemon, &server) && failover::is_failing(health, now.mono) {
        let fault = Fault::new(Code::ServerLost, "the primary does not answer");
        return Err(fault.retry_after(BUSY_RETRY));
    }
    Ok(server)
}

fn queue_at(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    server: &id::Server,
) {
    let Some(entry) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let workspace = entry.workspace.clone();
    let Some(request) = entry.request.as_mut() else {
        return;
    };
    request.stage = Stage::Queued(server.clone());
    let line = Line::routine("placed").with("request", &request.query.id);
    let line = line.with("server", server).mark("after", request.after);
    fx.log(line.with("try", request.tries).with("need", format_args!("{:?}", request.need)));
    let waiter = Waiter {
        session,
        workspace,
        priority: request.route.priority,
        arrived: request.arrived,
        target: request.arrived + request.route.target_latency,
    };
    let remaining = request.wait_until.saturating_sub(now.mono);
    let wait = pool::expected_wait(daemon, now, server, &waiter);
    if wait > remaining {
        return on_shed(daemon, now, fx, session, wait);
    }
    pool::enqueue(daemon, now, fx, server, waiter);
}

/// Refuses a statement that would wait for too long.
pub fn on_shed(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    wait: Duration,
) {
    let fault = Fault::new(Code::QueueFull, "the queue is longer than the time left");
    refuse(daemon, now, fx, session, fault.retry_after(wait));
}

/// Tries again later while there is hope within the statement's time, and refuses it otherwise.
fn wait_or_refuse(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    fault: Fault,
) {
    let hopeless = match daemon.role.current {
        Role::Entry => !daemon.discovery.is_fresh(now),
        _ => !right::holds(daemon, now) && daemon.lease.stage == lease::Stage::Held,
    };
    let request = daemon.sessions.get_mut(&session).and_then(|entry| entry.request.as_mut());
    let Some(request) = request else {
        return;
    };
    if hopeless || now.mono + PRIMARY_RETRY >= request.wait_until {
        return refuse(daemon, now, fx, session, fault);
    }
    // The wait for a primary is no try of a server.
    request.tries -= 1;
    request.avoided.clear();
    request.passed.clear();
    daemon.timers.arm(timer::Key::Retry(session), now.mono + PRIMARY_RETRY);
}

/// Tries a waiting statement again.
pub fn on_retry(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    let request = daemon.sessions.get(&session).and_then(|entry| entry.request.as_ref());
    if request.is_some_and(|request| request.stage == Stage::Waiting) {
        attempt(daemon, now, fx, session);
    }
}

/// Has the statements that wait for a database's primary look for it again.
pub fn on_leader(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let waiting = daemon.sessions.iter().filter(|(_, entry)| {
        let waits = entry.request.as_ref().filter(|request| request.stage == Stage::Waiting);
        waits.is_some_and(|request| request.route.database == *database)
    });
    let waiting: Vec<_> = waiting.map(|(name, _)| *name).collect();
    for session in waiting {
        attempt(daemon, now, fx, session);
    }
}

/// Tries a statement again of which nothing has run, at another server where there is one.
pub(super) fn retry(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    server: &id::Server,
    reason: &str,
) {
    let Some(request) = daemon.sessions.get_mut(&session).and_then(|entry| entry.request.as_mut())
    else {
        return;
    };
    fx.count("gcl_tried_again", reason);
    let line = Line::routine("tried again").with("request", &request.query.id);
    fx.log(line.with("server", server).with("reason", reason).with("try", request.tries));
    request.stage = Stage::Waiting;
    request.wait_until = request.wait_until.max(now.mono + RETRY_WAIT).min(request.deadline);
    daemon.timers.arm(timer::Key::Deadline(session), request.wait_until);
    if request.need == Need::Recent && !request.avoided.contains(server) {
        request.avoided.push(server.clone());
        return attempt(daemon, now, fx, session);
    }
    daemon.timers.arm(timer::Key::Retry(session), now.mono + RETRY);
}

/// Takes note that the server whose queue a statement waited in cannot serve it.
pub fn on_unserved(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    server: &id::Server,
) {
    retry(daemon, now, fx, session, server, "no connection");
}
