//! Attempts to run a statement: which server it requires, which one it is sent to, and when it is
//! retried.

use super::{BUSY_RETRY_AFTER, MIN_RETRY_WAIT, Stage, advance, rate, refuse};
use crate::{
    authority, cold, directory, diversion,
    effect::Effects,
    evacuation, failover,
    forward::{self, Choice},
    home, lease,
    line::Line,
    placement::{Candidate, Need},
    pool, position,
    queue::{self, Waiter},
    region,
    role::Role,
    session::Transaction,
    state::State as Daemon,
    steering, timer,
};
use gcl_core::{
    code::{Code, Fault, Result},
    id,
    mark::Mark,
    time::Now,
};
use std::time::Duration;

/// Limit on the attempts of one statement, including the first.
const MAX_ATTEMPTS: u32 = 6;
/// Delay before a retry that does not go to another server.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Delay before a statement that found no server is retried, unless a primary is found earlier.
const PRIMARY_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The servers that may run a statement that has no connection yet.
enum Requirement {
    /// The primary.
    Primary,
    /// Any server that has reached a log position.
    Position(Mark),
    /// Any server that has reached a log position that this daemon does not know yet; the primary's
    /// region reports it.
    Unknown,
}

/// Determines which servers may run a statement. Subscribes to the primary's log positions if this
/// daemon does not get them otherwise.
fn requirement(daemon: &mut Daemon, now: Now, session: id::Session) -> Option<Requirement> {
    let state = daemon.sessions.get(&session)?;
    let request = state.request.as_ref()?;
    let began = match &state.transaction {
        Transaction::Open(open) => open.began,
        _ => request.arrived,
    };
    let age = request.route.freshness.max_age().filter(|_| !state.writes(request));
    let Some(age) = age else {
        return Some(Requirement::Primary);
    };
    let group = daemon.groups.get(&request.route.database);
    let database = request.route.database.clone();
    let mark = group.and_then(|group| group.history.covering(began, age));
    let floor = state.floors.get(&request.route.database).copied();
    let restricted = region::is_restricted(daemon, &request.route, &state.workspace);
    let located = home::is_enabled(daemon) || restricted;
    let primary = located.then(|| home::location(daemon, &database).primary).flatten();
    let remote = home::is_enabled(daemon)
        && primary.as_ref().is_some_and(|domain| daemon.settings.distance(domain) > 1);
    // A primary in a region that is not allowed cannot stand in for a replica.
    let barred = primary.is_some_and(|domain| {
        !region::allows_domain(daemon, &request.route, &state.workspace, &domain)
    });
    if remote || !(home::is_enabled(daemon) || daemon.home.is_home(&database)) {
        position::subscribe(daemon, now, &database);
    }
    Some(match mark {
        Some(mark) => Requirement::Position(floor.map_or(mark, |floor| floor.max(mark))),
        None if remote || barred => Requirement::Unknown,
        None => Requirement::Primary,
    })
}

/// Starts the next attempt of a statement: forwards it to a host, or queues it at a server.
pub fn attempt(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    daemon.timers.cancel(&timer::Key::Retry(session));
    let Some(request) = super::current(daemon, session) else {
        return;
    };
    request.stage = Stage::Waiting;
    request.attempts += 1;
    if request.attempts > MAX_ATTEMPTS {
        let fault = Fault::new(Code::ServerLost, "no server could run the statement");
        return refuse(daemon, now, fx, session, fault.retry_after(BUSY_RETRY_AFTER));
    }
    let choice = forward::choose(daemon, now, session);
    match diversion::divert(daemon, now, fx, session, choice) {
        Choice::Local => {}
        Choice::Host(host) => {
            return forward::send(daemon, now, fx, session, &host);
        }
        Choice::Unavailable => {
            return wait_or_refuse(daemon, now, fx, session, forward::unavailable());
        }
        Choice::NotAllowed => return refuse(daemon, now, fx, session, region::refusal()),
    }
    if rate::admit(daemon, now, fx, session) {
        attempt_locally(daemon, now, fx, session);
    }
}

/// Queues a statement at a server for one of this daemon's own connections.
fn attempt_locally(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    if let Err(fault) = check_servers(daemon, session) {
        return try_elsewhere_or_wait(daemon, now, fx, session, fault);
    }
    let Some(required) = requirement(daemon, now, session) else {
        return;
    };
    let (need, min_position) = match required {
        Requirement::Primary => (Need::Primary, None),
        Requirement::Position(mark) => (Need::Recent, Some(mark)),
        Requirement::Unknown => (Need::Recent, None),
    };
    let Some(request) = super::current(daemon, session) else {
        return;
    };
    (request.need, request.min_position) = (need, min_position);
    if matches!(required, Requirement::Unknown) {
        let fault = Fault::new(Code::NoReplica, "no recent position of the primary is known");
        return try_elsewhere_or_wait(
            daemon,
            now,
            fx,
            session,
            fault.retry_after(BUSY_RETRY_AFTER),
        );
    }
    let mut random = || if need == Need::Recent { daemon.random.next() } else { 0 };
    let random = [random(), random()];
    match choose(daemon, now, fx, session, need, random) {
        Ok(server) => match forward::home_for_server(daemon, now, session, &server) {
            Some(host) => forward::send(daemon, now, fx, session, &host),
            None => enqueue(daemon, now, fx, session, &server),
        },
        Err(fault) => try_elsewhere_or_wait(daemon, now, fx, session, fault),
    }
}

/// Tries another host for a statement that this daemon cannot send to a server, if another one may
/// run it, and otherwise lets it wait. A statement that an entry forwarded is refused at once
/// instead; the entry then asks another host itself.
fn try_elsewhere_or_wait(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    fault: Fault,
) {
    let Some(state) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let reads = state.request.as_ref().is_some_and(|request| request.need == Need::Recent);
    let is_remote = state.origin.is_some();
    let may_forward = (home::is_enabled(daemon) || is_remote)
        && (reads || fault.code == Code::ServerLost || !authority::is_held(daemon, now));
    if may_forward && is_remote {
        return refuse(daemon, now, fx, session, fault);
    }
    let own = daemon.settings.daemon.clone();
    match super::current(daemon, session) {
        Some(request) if may_forward && !request.excluded_hosts.contains(&own) => {
            request.excluded_hosts.push(own);
            attempt(daemon, now, fx, session);
        }
        _ => wait_or_refuse(daemon, now, fx, session, fault),
    }
}

/// Chooses a server for a statement.
fn choose(
    daemon: &Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    need: Need,
    random: [u64; 2],
) -> Result<id::Server> {
    let none = || Fault::new(Code::NoReplica, "no server is known").retry_after(BUSY_RETRY_AFTER);
    let state = daemon.sessions.get(&session).ok_or_else(none)?;
    let request = state.request.as_ref().ok_or_else(none)?;
    let database = &request.route.database;
    let primary = match state.transaction {
        Transaction::None => authority::primary_for_statement(daemon, now, database),
        _ => authority::primary(daemon, now, database),
    };
    let allows =
        |domain: &str| region::allows_domain(daemon, &request.route, &state.workspace, domain);
    if need == Need::Primary {
        let server = check_reachable(daemon, now, primary?)?;
        let domain = daemon.directory.get(&server).map(|entry| &entry.domain);
        if domain.is_some_and(|domain| !allows(domain)) {
            return Err(region::refusal());
        }
        return evacuation::check_primary(daemon, now, server);
    }
    let leader = primary.ok();
    let mut candidates = Vec::new();
    for (server, listed) in directory::servers(&daemon.directory, database) {
        let pool = daemon.pools.get(server);
        let failed = pool.is_some_and(|pool| now.mono < pool.failed_until.max(pool.busy_until));
        let is_primary = leader.as_ref() == Some(server);
        let behind = !is_primary && pool.is_some_and(|pool| now.mono < pool.behind_until);
        // Servers of another region are used through their home only.
        let remote = home::is_enabled(daemon) && daemon.settings.distance(&listed.domain) > 1;
        if remote
            || listed.draining
            || !allows(&listed.domain)
            || daemon.evacuation.contains(&listed.domain)
            || failed
            || behind
            || request.excluded_servers.contains(server)
            || !pool::may_connect(daemon, now, server)
        {
            continue;
        }
        candidates.push(Candidate {
            server,
            is_primary,
            distance: daemon.settings.distance(&listed.domain),
            load: pool.map_or(0, |pool| pool::load(daemon, pool)),
            slots: listed.slots,
            warm: pool.is_some_and(|pool| pool::is_warm(daemon, pool, &state.workspace)),
            is_cold: cold::is_limited(daemon, now, server),
            latency: pool.map_or_else(|| pool::Pool::default().latency, |pool| pool.latency),
            age: pool.map_or(Duration::ZERO, |pool| now.since(pool.measured)),
        });
    }
    let context = (database, request.query.id.as_str());
    let server = steering::choose(daemon, now, fx, context, &candidates, random);
    server.cloned().ok_or_else(none)
}

/// Checks that a statement may be sent to any server of its database, whatever their state.
fn check_servers(daemon: &Daemon, session: id::Session) -> Result<()> {
    let state = daemon.sessions.get(&session);
    let Some((state, request)) = state.and_then(|state| Some((state, state.request.as_ref()?)))
    else {
        return Ok(());
    };
    if !daemon.evacuation.is_known() {
        let fault = Fault::new(Code::ServerLost, "evacuated failure domains are not known yet");
        return Err(fault.retry_after(BUSY_RETRY_AFTER));
    }
    let restricted = region::is_restricted(daemon, &request.route, &state.workspace);
    if !restricted && !daemon.evacuation.is_in_force() {
        return Ok(());
    }
    let mut domains: Vec<_> = directory::servers(&daemon.directory, &request.route.database)
        .map(|(_, entry)| &entry.domain)
        .collect();
    if domains.is_empty() {
        return Ok(());
    }
    domains
        .retain(|domain| region::allows_domain(daemon, &request.route, &state.workspace, domain));
    if domains.is_empty() {
        return Err(region::refusal());
    }
    if domains.iter().all(|domain| daemon.evacuation.contains(domain)) {
        return Err(evacuation::refusal());
    }
    Ok(())
}

/// Checks that this daemon can reach a primary. Only where the primary has a home is a failing one
/// rejected: another host may still reach it.
fn check_reachable(daemon: &Daemon, now: Now, server: id::Server) -> Result<id::Server> {
    let health = daemon.pools.get(&server).map(|pool| pool.health).unwrap_or_default();
    if home::routes_to_home(daemon, &server) && failover::is_failing(health, now.mono) {
        let fault = Fault::new(Code::ServerLost, "the primary does not answer");
        return Err(fault.retry_after(BUSY_RETRY_AFTER));
    }
    if !pool::may_connect(daemon, now, &server) {
        let fault = Fault::new(Code::ServerLost, "other hosts hold the server's connections");
        return Err(fault.retry_after(BUSY_RETRY_AFTER));
    }
    Ok(server)
}

/// Queues a statement at a server, or refuses it if its expected wait is too long.
fn enqueue(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    server: &id::Server,
) {
    let Some(state) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let workspace = state.workspace.clone();
    let Some(request) = state.request.as_mut() else {
        return;
    };
    request.stage = Stage::Queued(server.clone());
    let line = Line::routine("placed").with("request", &request.query.id);
    let line = line.with("server", server).mark("after", request.min_position);
    fx.log(line.with("try", request.attempts).with("need", format_args!("{:?}", request.need)));
    fx.count("gcl_placed", server);
    let waiter = Waiter {
        session,
        workspace,
        urgency: request.urgency,
        arrived: request.arrived,
        target: request.arrived + request.route.target_latency,
    };
    let remaining = request.queue_deadline.saturating_sub(now.mono);
    let wait = pool::expected_wait(daemon, now, server, &waiter);
    if wait > remaining {
        return on_shed(daemon, now, fx, session, server, wait);
    }
    pool::enqueue(daemon, now, fx, server, waiter);
}

/// Refuses a statement whose expected wait of `wait` at a server exceeds its remaining time.
pub fn on_shed(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    server: &id::Server,
    wait: Duration,
) {
    let Some(request) = super::current(daemon, session) else {
        return;
    };
    let time = request.queue_deadline.saturating_sub(now.mono);
    fx.count("gcl_shed", &request.urgency.route.to_string());
    let line = Line::failure("statement shed").with("request", &request.query.id);
    let line = line.with("server", server).with("priority", request.urgency.route);
    let line = line.with("workspace_priority", request.urgency.workspace);
    let queue = pool::queue_time(daemon, server);
    let pool = daemon.pools.get(server);
    let line = line.with("waiting", pool.map_or(0, |pool| pool.waiting.len()));
    let line = line.millis("latency", pool.map_or(Duration::ZERO, |pool| pool.latency));
    let line = line.millis("left", time).millis("wait", wait).millis("queue", queue);
    fx.log(line);
    let after = queue::retry_after(wait, time, queue, daemon.random.next());
    let fault = Fault::new(Code::QueueFull, "the queue is longer than the time left");
    refuse(daemon, now, fx, session, fault.retry_after(after));
}

/// Retries a statement later if a server may become available within its time, and refuses it
/// otherwise.
fn wait_or_refuse(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    fault: Fault,
) {
    let unrecoverable = match daemon.role.current {
        Role::Entry => !daemon.discovery.is_fresh(now),
        _ => !authority::is_held(daemon, now) && daemon.lease.stage == lease::Stage::Held,
    };
    let request = daemon.sessions.get_mut(&session).and_then(|state| state.request.as_mut());
    let Some(request) = request else {
        return;
    };
    let final_fault = matches!(fault.code, Code::DomainEvacuated | Code::RegionNotAllowed);
    if unrecoverable || final_fault || now.mono + PRIMARY_RETRY_DELAY >= request.queue_deadline {
        return refuse(daemon, now, fx, session, fault);
    }
    // An attempt that found no server does not count.
    request.attempts -= 1;
    request.excluded_servers.clear();
    request.excluded_hosts.clear();
    daemon.timers.arm(timer::Key::Retry(session), now.mono + PRIMARY_RETRY_DELAY);
}

/// Retries a waiting statement, or goes on with one that waited for a cold server.
pub fn on_retry(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    let request = daemon.sessions.get(&session).and_then(|state| state.request.as_ref());
    match request.map(|request| request.stage.clone()) {
        Some(Stage::Waiting) => attempt(daemon, now, fx, session),
        Some(Stage::Preparing(connection)) => advance(daemon, now, fx, session, connection),
        _ => {}
    }
}

/// Retries the waiting statements of a database, whose primary may have been found.
pub fn on_primary_found(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let waiting = daemon.sessions.iter().filter(|(_, state)| {
        let waits = state.request.as_ref().filter(|request| request.stage == Stage::Waiting);
        waits.is_some_and(|request| request.route.database == *database)
    });
    let waiting: Vec<_> = waiting.map(|(session, _)| *session).collect();
    for session in waiting {
        attempt(daemon, now, fx, session);
    }
}

/// Retries a statement that is safe to repeat. One that any recent server can run goes to another.
pub(super) fn retry(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    server: &id::Server,
    reason: &str,
) {
    let Some(request) = daemon.sessions.get_mut(&session).and_then(|state| state.request.as_mut())
    else {
        return;
    };
    fx.count("gcl_tried_again", reason);
    let line = Line::routine("tried again").with("request", &request.query.id);
    fx.log(line.with("server", server).with("reason", reason).with("try", request.attempts));
    request.stage = Stage::Waiting;
    request.queue_deadline =
        request.queue_deadline.max(now.mono + MIN_RETRY_WAIT).min(request.deadline);
    daemon.timers.arm(timer::Key::Deadline(session), request.queue_deadline);
    if request.need == Need::Recent && !request.excluded_servers.contains(server) {
        request.excluded_servers.push(server.clone());
        return attempt(daemon, now, fx, session);
    }
    daemon.timers.arm(timer::Key::Retry(session), now.mono + RETRY_DELAY);
}

/// Handles the removal of a statement from the queue of a server that cannot run it.
pub fn on_rerouted(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    server: &id::Server,
) {
    retry(daemon, now, fx, session, server, "no connection");
}
