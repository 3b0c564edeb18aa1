//! A statement that a backend server is to run: admission, placement, tries, and its one outcome.
//!
//! A statement is tried again only where that cannot run it twice: nothing of it was sent, the server
//! said that nothing ran, or it only reads outside a transaction. A write or commit whose answer is
//! lost ends in doubt. Closing a connection rolls back what is open on it, so a transaction that is
//! lost before its commit was sent is certainly not kept.

mod attempt;
mod outcome;
mod run;

pub use self::{
    attempt::{attempt, on_leader, on_retry, on_shed, on_unserved},
    outcome::{drop_server, on_answer, on_closed, on_lost},
    run::{drive, on_connection, on_prepared},
};

use crate::{
    caller::Reply,
    config::Route,
    effect::Effects,
    forward, gossip, limit,
    line::Line,
    place::Need,
    pool,
    session::{self, Transaction},
    state::State as Daemon,
    statement::{Access, Query, Statement},
    timer,
};
use gcl_core::{
    code::{Code, Fault, Result},
    id,
    mark::Mark,
    time::Now,
};
use std::{sync::Arc, time::Duration};

/// Part of a statement's time that it may wait for a server or a connection, in percent. A server
/// needs the rest, and a caller that is refused by then still has the time to ask elsewhere.
const WAIT_PERCENT: u32 = 45;
/// When to come back after a refusal for lack of slots.
const BUSY_RETRY: Duration = Duration::from_millis(250);
/// How long a statement that a server could not run may wait for another one, at least.
const RETRY_WAIT: Duration = Duration::from_millis(150);

/// The outcome of a statement that a server ran.
pub const SERVED: &str = "served";

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
    /// A host has it, under this serial number.
    Away(id::Daemon, u64),
}

/// The terms on which an operation may run.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Its route.
    pub route: Arc<Route>,
    /// Whether it was counted in its workspace's rate.
    pub admitted: bool,
    /// What is left of the statement's time, where that is less than the route's.
    pub left: Option<Duration>,
}

impl Admission {
    /// To a route.
    #[must_use]
    pub fn to(route: &Arc<Route>, admitted: bool) -> Self {
        Self { route: Arc::clone(route), admitted, left: None }
    }
}

/// A statement to run.
#[derive(Clone, Debug)]
pub struct Order {
    /// The statement.
    pub query: Query,
    /// What it does.
    pub access: Access,
    /// On which terms.
    pub admission: Admission,
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
    /// Hosts that could not serve it.
    pub passed: Vec<id::Daemon>,
    /// Whether it was counted in its workspace's rate.
    pub admitted: bool,
    /// What the server must have.
    pub need: Need,
    /// The log position that the server must have reached.
    pub after: Option<Mark>,
}

/// Admits an operation of a session to its route.
///
/// # Errors
/// The refusal for the caller.
pub fn admit(
    daemon: &Daemon,
    fx: &mut Effects,
    session: id::Session,
    request: &str,
) -> Result<Admission> {
    let outcome = check(daemon, session);
    if let Err(fault) = &outcome {
        fx.count("gcl_refused", fault.code.text().trim());
        let workspace = daemon.sessions.get(&session).map(|entry| entry.workspace.clone());
        let line = Line::failure("operation refused").with("request", request);
        let line = line.with("session", session).with("members", daemon.members.len());
        let version = daemon.config.as_ref().map_or(0, |config| config.version);
        let line = line.with("version", version);
        let line = line.with("workspace", workspace.unwrap_or_default());
        fx.log(line.with("fault", fault));
    }
    outcome
}

/// The route of an operation. Whoever sends its first statement to a server counts it in the workspace's
/// rate, be it this daemon or a home.
fn check(daemon: &Daemon, session: id::Session) -> Result<Admission> {
    let gone = || Fault::new(Code::Protocol, "the session has ended");
    let entry = daemon.sessions.get(&session).ok_or_else(gone)?;
    let config = daemon.config.as_ref();
    let route = config.and_then(|config| config.routes.get(&entry.service)).cloned();
    let route = route.ok_or_else(|| Fault::new(Code::UnknownService, "the route was removed"))?;
    Ok(Admission { route, admitted: false, left: None })
}

/// Counts an operation in its workspace's rate.
fn count(daemon: &mut Daemon, now: Now, name: &id::Workspace, route: &Route) -> Result<()> {
    let workspace = daemon.config.as_ref().and_then(|config| config.workspaces.get(name));
    if let (false, Some(workspace)) = (route.public, workspace) {
        let fleet = gossip::fleet(daemon, now, name);
        let bounds = &daemon.settings.bounds;
        let quota = limit::quota(*workspace, bounds);
        let (taken, tell) = daemon.limit.try_acquire(now.mono, bounds, name, quota, fleet);
        if tell {
            gossip::send_soon(daemon, now);
        }
        if let Err(wait) = taken {
            let fault = Fault::new(Code::RateLimited, "the workspace is over its rate");
            return Err(fault.retry_after(wait));
        }
    }
    Ok(())
}

/// Starts a statement.
pub fn start(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session, order: Order) {
    let Order { query, access, admission: Admission { route, admitted, left } } = order;
    let Some(entry) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let time = left.map_or(route.timeout, |left| left.min(route.timeout));
    let deadline = now.mono + time;
    let wait_until = now.mono + time * WAIT_PERCENT / 100;
    let (connection, host) = match &entry.transaction {
        Transaction::Open(open) => (open.connection, open.host.clone()),
        _ => (None, None),
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
        passed: Vec::new(),
        admitted,
        need: Need::Primary,
        after: None,
    });
    daemon.timers.arm(timer::Key::Deadline(session), wait_until);
    match (connection, host) {
        (Some(connection), _) => drive(daemon, now, fx, session, connection),
        (None, Some(host)) => forward::send(daemon, now, fx, session, &host),
        (None, None) => attempt(daemon, now, fx, session),
    }
}

/// The statement of a session.
pub fn of(daemon: &mut Daemon, session: id::Session) -> Option<&mut Request> {
    daemon.sessions.get_mut(&session)?.request.as_mut()
}

/// Gives a statement that a host has until `due`.
pub fn await_answer(daemon: &mut Daemon, session: id::Session, due: Duration) {
    daemon.timers.arm(timer::Key::Deadline(session), due);
}

/// Tries a statement again that no host has run.
pub fn again(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    let Some(request) = of(daemon, session) else {
        return;
    };
    request.stage = Stage::Waiting;
    request.wait_until = request.wait_until.max(now.mono + RETRY_WAIT).min(request.deadline);
    let until = request.wait_until;
    daemon.timers.arm(timer::Key::Deadline(session), until);
    attempt(daemon, now, fx, session);
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
        Stage::Away(host, _) => forward::on_timeout(daemon, now, fx, session, &host),
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
    let line = line.with("workspace", &entry.workspace).with("members", daemon.members.len());
    let line = line.with("database", &request.route.database);
    let line = line.with("need", format_args!("{:?}", request.need)).mark("after", request.after);
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
        Stage::Away(host, _) => forward::abort(daemon, fx, session, host),
    }
}

/// Ends a statement and reports how.
pub fn finish(
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
        let line = if outcome == SERVED { Line::routine("ended") } else { Line::failure("ended") };
        let line = line.with("request", &request.query.id).with("rule", &request.route.rule);
        fx.log(line.with("outcome", outcome).millis("took", took));
    }
}
