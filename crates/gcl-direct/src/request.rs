//! A statement that a backend server is to run: admission, placement, tries, and its one outcome.
//!
//! A statement is tried again only where that cannot run it twice: nothing of it was sent, the server
//! said that nothing ran, or it only reads outside a transaction. A write or commit whose answer is
//! lost ends in doubt. Closing a connection rolls back what is open on it, so a transaction that is
//! lost before its commit was sent is certainly not kept.

use crate::{
    backend::{Answer, Command, Refusal},
    caller::Reply,
    config::Route,
    connection::Step,
    directory,
    effect::Effects,
    gossip, lease, limit,
    line::Line,
    place::{self, Candidate, Need},
    pool,
    queue::Waiter,
    right,
    session::{self, Transaction},
    state::State as Daemon,
    statement::{Access, Query, Statement},
    timer,
};
use gcl_core::{
    batch::Status,
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
/// Part of a statement's time that it may wait for a server or a connection, in percent. A server
/// needs the rest, and a caller that is refused by then still has the time to ask elsewhere.
const WAIT_PERCENT: u32 = 45;
/// Time before a statement looks for a primary again, unless one appears before that.
const PRIMARY_RETRY: Duration = Duration::from_millis(250);
/// How long a statement that a server could not run may wait for another one, at least.
const RETRY_WAIT: Duration = Duration::from_millis(150);
/// When to come back after a refusal for lack of slots.
const BUSY_RETRY: Duration = Duration::from_millis(250);
/// How long reads avoid a server whose queue was full.
const BUSY_PAUSE: Duration = Duration::from_millis(100);
/// How long reads avoid a replica that had not reached their position.
const BEHIND_PAUSE: Duration = Duration::from_millis(60);

/// Where a statement stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waits for another try.
    Waiting,
    /// It waits for a connection to a server.
    Queued(id::Server),
    /// Its connection is being prepared for it.
    Preparing(id::Connection),
    /// It was sent.
    Sent(id::Connection),
}

/// A statement under way.
#[derive(Clone, Debug)]
pub struct Request {
    /// The statement.
    pub query: Query,
    /// The route.
    pub route: Arc<Route>,
    /// What it does.
    pub access: Access,
    /// When it came.
    pub arrived: Duration,
    /// Until when it may wait to be sent.
    pub wait_until: Duration,
    /// When it must be answered.
    pub deadline: Duration,
    /// Where it stands.
    pub stage: Stage,
    /// Tries so far.
    pub tries: u32,
    /// Servers that could not serve it.
    pub avoided: Vec<id::Server>,
    /// What the server must have.
    pub need: Need,
    /// The log position that the server must have reached.
    pub after: Option<Mark>,
}

/// Admits an operation of a session: its route, and its workspace's rate.
///
/// # Errors
/// The refusal for the caller.
pub fn admit(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    request: &str,
) -> Result<Arc<Route>> {
    let outcome = check(daemon, now, session);
    if let Err(fault) = &outcome {
        fx.count("gcl_refused", fault.code.text().trim());
        let workspace = daemon.sessions.get(&session).map(|entry| entry.workspace.clone());
        let line = Line::failure("operation refused").with("request", request);
        let line = line.with("session", session).with("members", daemon.members.len());
        let line = line.with("workspace", workspace.unwrap_or_default());
        fx.log(line.with("fault", fault));
    }
    outcome
}

fn check(daemon: &mut Daemon, now: Now, session: id::Session) -> Result<Arc<Route>> {
    let gone = || Fault::new(Code::Protocol, "the session has ended");
    let entry = daemon.sessions.get(&session).ok_or_else(gone)?;
    let config = daemon.config.as_ref();
    let route = config.and_then(|config| config.routes.get(&entry.service)).cloned();
    let route = route.ok_or_else(|| Fault::new(Code::UnknownService, "the route was removed"))?;
    let workspace = config.and_then(|config| config.workspaces.get(&entry.workspace));
    if let (false, Some(workspace)) = (route.public, workspace) {
        let spread = gossip::spread(daemon, now, &entry.workspace);
        let bounds = &daemon.settings.bounds;
        let whole = limit::whole(*workspace, bounds);
        let (taken, tell) = daemon.limit.take(now.mono, bounds, &entry.workspace, whole, spread);
        if tell {
            gossip::hurry(daemon, now);
        }
        if let Err(wait) = taken {
            let fault = Fault::new(Code::RateLimited, "the workspace is over its rate");
            return Err(fault.retry_after(wait));
        }
    }
    Ok(route)
}

/// Starts a statement.
pub fn start(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    query: Query,
    route: Arc<Route>,
    access: Access,
) {
    let Some(entry) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let deadline = now.mono + route.timeout;
    let wait_until = now.mono + route.timeout * WAIT_PERCENT / 100;
    let connection = match &entry.transaction {
        Transaction::Open(open) => open.connection,
        _ => None,
    };
    let stage = connection.map_or(Stage::Waiting, Stage::Preparing);
    entry.request = Some(Request {
        query,
        route,
        access,
        arrived: now.mono,
        wait_until,
        deadline,
        stage,
        tries: 0,
        avoided: Vec::new(),
        need: Need::Primary,
        after: None,
    });
    daemon.timers.arm(timer::Key::Deadline(session), wait_until);
    match connection {
        Some(connection) => drive(daemon, now, fx, session, connection),
        None => attempt(daemon, now, fx, session),
    }
}

/// What a statement that has no connection needs of a server: the server, and the position.
fn needs(daemon: &Daemon, session: id::Session) -> Option<(Need, Option<Mark>)> {
    let entry = daemon.sessions.get(&session)?;
    let request = entry.request.as_ref()?;
    let (writes, began) = match &entry.transaction {
        Transaction::Open(open) => (!open.read_only, open.began),
        _ => (request.access == Access::Write, request.arrived),
    };
    let Some(age) = request.route.freshness.max_age().filter(|_| !writes) else {
        return Some((Need::Primary, None));
    };
    let group = daemon.groups.get(&request.route.database);
    let seen = group.and_then(|group| group.history.covering(began.saturating_sub(age)));
    Some(match seen {
        Some(seen) => {
            let floor = entry.floors.get(&request.route.database).copied();
            (Need::Recent, Some(floor.map_or(seen, |floor| floor.max(seen))))
        }
        None => (Need::Primary, None),
    })
}

/// Looks for a server for a statement and queues it there.
pub fn attempt(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    let Some((need, after)) = needs(daemon, session) else {
        return;
    };
    let Some(request) = daemon.sessions.get_mut(&session).and_then(|entry| entry.request.as_mut())
    else {
        return;
    };
    (request.need, request.after) = (need, after);
    request.stage = Stage::Waiting;
    request.tries += 1;
    if request.tries > MOST_TRIES {
        let fault = Fault::new(Code::ServerLost, "no server could run the statement");
        return refuse(daemon, now, fx, session, fault.retry_after(BUSY_RETRY));
    }
    match choose(daemon, now, session, need) {
        Ok(server) => queue_at(daemon, now, fx, session, &server),
        Err(fault) => wait_or_refuse(daemon, now, fx, session, fault),
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
        return primary;
    }
    let leader = primary.ok();
    let mut candidates = Vec::new();
    for (server, known) in directory::servers(&daemon.directory, database) {
        let pool = daemon.pools.get(server);
        let failed = pool.is_some_and(|pool| now.mono < pool.failed_until.max(pool.busy_until));
        let leads = leader.as_ref() == Some(server);
        let behind = !leads && pool.is_some_and(|pool| now.mono < pool.behind_until);
        if known.draining || failed || behind || request.avoided.contains(server) {
            continue;
        }
        candidates.push(Candidate {
            server,
            leads,
            distance: daemon.settings.distance(&known.domain),
            load: pool.map_or(0, |pool| load(daemon, pool)),
            warm: pool.is_some_and(|pool| warm(daemon, pool, &entry.workspace)),
            latency: pool.map_or_else(|| pool::Pool::default().latency, |pool| pool.latency),
        });
    }
    place::choose(need, &candidates).cloned().ok_or_else(none)
}

fn load(daemon: &Daemon, pool: &pool::Pool) -> usize {
    let known = pool.connections.iter().filter_map(|name| daemon.connections.get(name));
    pool.waiting.len() + known.filter(|known| known.session.is_some()).count()
}

fn warm(daemon: &Daemon, pool: &pool::Pool, workspace: &id::Workspace) -> bool {
    let mut known = pool.connections.iter().filter_map(|name| daemon.connections.get(name));
    known.any(|known| known.is_idle() && known.workspace == *workspace)
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
    let wait = pool::expected_wait(daemon, server, &waiter.workspace);
    if wait > remaining {
        let fault = Fault::new(Code::QueueFull, "the queue is longer than the time left");
        return refuse(daemon, now, fx, session, fault.retry_after(wait));
    }
    pool::enqueue(daemon, now, fx, server, waiter);
}

/// Tries again later while there is hope within the statement's time, and refuses it otherwise.
fn wait_or_refuse(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    fault: Fault,
) {
    let hopeless = !right::holds(daemon, now) && daemon.lease.stage == lease::Stage::Held;
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

/// Takes the connection that a queued statement waited for.
pub fn on_connection(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    connection: id::Connection,
) {
    let Some(entry) = daemon.sessions.get_mut(&session) else {
        return pool::release(daemon, now, fx, connection);
    };
    if let Some(request) = entry.request.as_mut() {
        request.stage = Stage::Preparing(connection);
        if let Transaction::Open(open) = &mut entry.transaction {
            open.connection = Some(connection);
            open.on_primary = request.need == Need::Primary;
        }
        fx.observe("gcl_queue_seconds", &request.route.rule, now.since(request.arrived));
    }
    drive(daemon, now, fx, session, connection);
}

/// Sends the next command that a statement needs on its connection.
pub fn drive(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    connection: id::Connection,
) {
    let (Some(entry), Some(known)) =
        (daemon.sessions.get_mut(&session), daemon.connections.get(&connection))
    else {
        return;
    };
    let Some(request) = entry.request.as_mut() else {
        return;
    };
    let prepared = match &request.query.statement {
        Statement::Execute { name, .. } => entry.prepared.get(name),
        _ => None,
    };
    if let Some(step) = known.prelude(&entry.values, prepared) {
        let command = match &step {
            Step::Set(name, value) => Command::Set { name: name.clone(), value: value.clone() },
            Step::Prepare(prepared) => {
                Command::Prepare { name: known.next_name(), prepared: prepared.clone() }
            }
            _ => Command::Reset,
        };
        return pool::send(daemon, now, fx, connection, step, command);
    }
    let after = request.after;
    if let Transaction::Open(open) = &mut entry.transaction {
        if !known.in_transaction {
            let command = Command::Begin { read_only: open.read_only, after };
            return pool::send(daemon, now, fx, connection, Step::Begin, command);
        }
        open.wrote |= request.access == Access::Write;
    }
    let id = request.query.id.clone();
    let after = after.filter(|_| !known.in_transaction);
    let command = match (&request.query.statement, prepared.and_then(|it| known.name_of(it))) {
        (Statement::Execute { parameters, .. }, Some(name)) => {
            Command::Execute { id, after, name: name.clone(), parameters: parameters.clone() }
        }
        _ => Command::Forward { id, after, text: request.query.text.clone() },
    };
    request.stage = Stage::Sent(connection);
    daemon.timers.arm(timer::Key::Deadline(session), request.deadline);
    pool::send(daemon, now, fx, connection, Step::Statement, command);
}

/// Takes the end of a command that prepared a connection for a statement.
pub fn on_prepared(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    connection: id::Connection,
    refusal: Option<&Refusal>,
) {
    let Some(refusal) = refusal else {
        return drive(daemon, now, fx, session, connection);
    };
    let server = daemon.connections.get(&connection).map(|known| known.server.clone());
    let Some(server) = server else {
        return;
    };
    detach(daemon, now, fx, session, connection);
    retry(daemon, now, fx, session, &server, refusal.name());
}

/// Takes a connection away from a session, which goes on without it.
fn detach(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    connection: id::Connection,
) {
    if let Some(entry) = daemon.sessions.get_mut(&session)
        && let Transaction::Open(open) = &mut entry.transaction
    {
        open.connection = None;
    }
    pool::release(daemon, now, fx, connection);
}

/// Tries a statement again of which nothing has run, at another server where there is one.
fn retry(
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

/// Takes the answer to a caller's statement.
pub fn on_answer(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    (connection, sent): (id::Connection, Duration),
    answer: Answer,
) {
    let Some(server) = daemon.connections.get(&connection).map(|known| known.server.clone()) else {
        return;
    };
    let Some(entry) = daemon.sessions.get_mut(&session) else {
        return pool::release(daemon, now, fx, connection);
    };
    let Some(request) = entry.request.as_ref() else {
        return;
    };
    let database = request.route.database.clone();
    entry.mark = answer.mark.or(entry.mark);
    let covered = right::covers(daemon, now, &database, &server);
    if let (true, Some(mark)) = (covered, answer.mark) {
        daemon.groups.entry(database).or_default().history.observe(sent, mark);
    }
    match answer.result {
        Ok(receipt) => {
            let mut replies: Vec<_> = answer.rows.into_iter().map(Reply::Row).collect();
            replies.push(Reply::Complete(Some(receipt)));
            succeed(daemon, now, fx, session, (connection, covered), answer.mark, replies);
        }
        Err(refusal) => {
            on_refusal(daemon, now, fx, session, (connection, &server), refusal, answer.status);
        }
    }
}

/// Passes on a success, unless the server may have been superseded as primary meanwhile.
fn succeed(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    (connection, covered): (id::Connection, bool),
    mark: Option<Mark>,
    replies: Vec<Reply>,
) {
    let Some(entry) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let Some(request) = entry.request.as_ref() else {
        return;
    };
    let (on_primary, wrote) = match &entry.transaction {
        Transaction::Open(open) => (open.on_primary, open.wrote),
        _ => (request.need == Need::Primary, request.access == Access::Write),
    };
    if on_primary && !covered {
        return on_lost(daemon, now, fx, session, connection, "the right to the primary has ended");
    }
    let committed = match &entry.transaction {
        Transaction::Open(_) => request.query.statement == Statement::Commit,
        _ => true,
    };
    if let (true, true, Some(mark)) = (committed, wrote, mark) {
        let floor = entry.floors.entry(request.route.database.clone()).or_default();
        *floor = mark.max(*floor);
    }
    finish(daemon, now, fx, session, "served");
    if committed {
        let ended = daemon.connections.get(&connection);
        debug_assert!(ended.is_none_or(|known| !known.in_transaction));
        if let Some(entry) = daemon.sessions.get_mut(&session) {
            entry.transaction = Transaction::None;
        }
        pool::release(daemon, now, fx, connection);
    }
    session::answer(daemon, now, fx, session, replies);
}

/// Acts on a server's word that a statement did not succeed.
fn on_refusal(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    (connection, server): (id::Connection, &id::Server),
    refusal: Refusal,
    status: Status,
) {
    let entry = daemon.sessions.get(&session);
    let request = entry.and_then(|entry| entry.request.as_ref());
    let (Some(entry), Some(request)) = (entry, request) else {
        return;
    };
    let reads = request.access == Access::Read;
    let alone = matches!(entry.transaction, Transaction::None);
    let commit = request.query.statement == Statement::Commit;
    let line = Line::failure("refused by the server").with("request", &request.query.id);
    let line = line.with("server", server).with("reason", refusal.name());
    fx.log(line.mark("after", request.after).mark("position", entry.mark));
    match (&refusal, daemon.pools.get_mut(server)) {
        (Refusal::Behind, Some(pool)) => pool.behind_until = now.mono + BEHIND_PAUSE,
        (Refusal::Busy, Some(pool)) => pool.busy_until = now.mono + BUSY_PAUSE,
        _ => {}
    }
    if alone && (refusal.not_run() || (reads && !matches!(refusal, Refusal::Malformed(_)))) {
        pool::release(daemon, now, fx, connection);
        return retry(daemon, now, fx, session, server, refusal.name());
    }
    let reply = match refusal {
        Refusal::Failed(text) => Reply::Failed(text),
        Refusal::Malformed(text) => Reply::Error(Fault::new(Code::Protocol, text)),
        Refusal::Timeout if alone || commit => {
            Reply::Error(Fault::new(Code::Timeout, "the server stopped the statement"))
        }
        other => {
            let fault = Fault::new(Code::TransactionLost, other.name());
            Reply::Error(fault.retry_after(BUSY_RETRY))
        }
    };
    finish(daemon, now, fx, session, "failed");
    if alone {
        pool::release(daemon, now, fx, connection);
    } else {
        let over = commit || status == Status::Idle;
        let next = if over { Transaction::None } else { Transaction::Failed };
        session::end_transaction(daemon, now, fx, session, next);
    }
    session::answer(daemon, now, fx, session, vec![reply]);
}

/// Acts on the loss of a statement's connection, or of the right to pass its answer on.
pub fn on_lost(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    connection: id::Connection,
    reason: &str,
) {
    let server = daemon.connections.get(&connection).map(|known| known.server.clone());
    pool::close(daemon, fx, connection);
    let Some(entry) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let Some(request) = entry.request.as_ref() else {
        return session::fail_transaction(daemon, now, fx, session, reason);
    };
    let sent = matches!(request.stage, Stage::Sent(_));
    let line = Line::failure("connection lost").with("request", &request.query.id);
    let line = line.with("server", server.as_deref().unwrap_or_default());
    fx.log(line.with("sent", sent).with("reason", reason));
    let server = server.unwrap_or_default();
    let doubt = || Reply::Error(Fault::new(Code::OutcomeUnknown, reason));
    match &mut entry.transaction {
        Transaction::Open(open) => {
            let commit = request.query.statement == Statement::Commit;
            let reply = if commit && sent && open.wrote {
                doubt()
            } else {
                Reply::Error(Fault::new(Code::TransactionLost, reason).retry_after(BUSY_RETRY))
            };
            let next = if commit { Transaction::None } else { Transaction::Failed };
            entry.transaction = next;
            finish(daemon, now, fx, session, "lost");
            session::answer(daemon, now, fx, session, vec![reply]);
        }
        _ if sent && request.access == Access::Write => {
            finish(daemon, now, fx, session, "in doubt");
            session::answer(daemon, now, fx, session, vec![doubt()]);
        }
        _ => retry(daemon, now, fx, session, &server, "connection lost"),
    }
}

/// Closes all connections to a server that cannot be used any more.
pub fn drop_server(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    reason: &str,
) {
    let Some(pool) = daemon.pools.get_mut(server) else {
        return;
    };
    let connections: Vec<_> = pool.connections.iter().copied().collect();
    for connection in connections {
        on_closed(daemon, now, fx, connection, reason);
    }
    pool::strand(daemon, now, fx, server);
}

/// Acts on the end of a connection.
pub fn on_closed(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    connection: id::Connection,
    reason: &str,
) {
    match daemon.connections.get(&connection).map(|known| known.session) {
        Some(Some(session)) => on_lost(daemon, now, fx, session, connection, reason),
        Some(None) => pool::close(daemon, fx, connection),
        None => {}
    }
}

/// Ends a statement whose time is over.
pub fn on_deadline(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    let request = daemon.sessions.get(&session).and_then(|entry| entry.request.as_ref());
    let Some(request) = request else {
        return;
    };
    match request.stage.clone() {
        Stage::Sent(connection) => {
            let server = daemon.connections.get(&connection).map(|known| known.server.clone());
            let pool = server.and_then(|server| daemon.pools.get_mut(&server));
            if let Some(pool) = pool
                && pool.health.succeeded + request.route.timeout <= now.mono
            {
                pool.on_failure(now, false);
            }
            on_timeout(daemon, now, fx, session, connection);
        }
        stage => {
            let fault = match stage {
                Stage::Queued(_) => Fault::new(Code::QueueFull, "no connection became free"),
                _ => Fault::new(Code::Deadline, "no server was ready in time"),
            };
            refuse(daemon, now, fx, session, fault.retry_after(BUSY_RETRY));
        }
    }
}

/// Ends a statement that a server has not answered in time.
fn on_timeout(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    connection: id::Connection,
) {
    let Some(entry) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let reads = entry.request.as_ref().is_some_and(|request| request.access == Access::Read);
    if matches!(entry.transaction, Transaction::None) && reads {
        pool::close(daemon, fx, connection);
        finish(daemon, now, fx, session, "timeout");
        let fault = Fault::new(Code::Timeout, "the server did not answer in time");
        return session::answer(daemon, now, fx, session, vec![Reply::Error(fault)]);
    }
    on_lost(daemon, now, fx, session, connection, "the server did not answer in time");
}

/// Refuses a statement of which nothing has run.
fn refuse(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session, fault: Fault) {
    let Some(entry) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let Some(request) = entry.request.clone() else {
        return;
    };
    fx.count("gcl_refused", fault.code.text().trim());
    let line = Line::failure("statement refused").with("request", &request.query.id);
    let line = line.with("tries", request.tries).with("stage", format_args!("{:?}", request.stage));
    fx.log(line.millis("waited", now.since(request.arrived)).with("fault", &fault));
    let commit = request.query.statement == Statement::Commit;
    finish(daemon, now, fx, session, "refused");
    abandon(daemon, now, fx, session, &request);
    let open = daemon.sessions.get(&session);
    if open.is_some_and(|entry| matches!(entry.transaction, Transaction::Open(_))) {
        let next = if commit { Transaction::None } else { Transaction::Failed };
        session::end_transaction(daemon, now, fx, session, next);
    }
    session::answer(daemon, now, fx, session, vec![Reply::Error(fault)]);
}

/// Gives up what a statement holds whose session goes on without it, or is gone.
pub fn abandon(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    request: &Request,
) {
    daemon.timers.cancel(&timer::Key::Deadline(session));
    daemon.timers.cancel(&timer::Key::Retry(session));
    match &request.stage {
        Stage::Waiting => {}
        Stage::Queued(server) => pool::withdraw(daemon, server, session),
        Stage::Preparing(connection) | Stage::Sent(connection) => {
            pool::release(daemon, now, fx, *connection);
        }
    }
}

/// Ends a statement and reports how.
fn finish(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    outcome: &'static str,
) {
    daemon.timers.cancel(&timer::Key::Deadline(session));
    daemon.timers.cancel(&timer::Key::Retry(session));
    let request = daemon.sessions.get_mut(&session).and_then(|entry| entry.request.take());
    if let Some(request) = request {
        let took = now.since(request.arrived);
        fx.count("gcl_statements", outcome);
        fx.observe("gcl_statement_seconds", &request.route.rule, took);
        let line = Line::routine("ended").with("request", &request.query.id);
        fx.log(line.with("outcome", outcome).millis("took", took));
    }
}
