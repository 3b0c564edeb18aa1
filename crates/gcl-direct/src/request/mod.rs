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
    attempt::{attempt, on_leader, on_retry, on_unserved},
    outcome::{drop_server, on_answer, on_closed, on_lost},
    run::{drive, on_connection, on_prepared},
};

use crate::{
    caller::Reply,
    config::Route,
    effect::Effects,
    gossip, limit,
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

/// The outcome of a statement that a server ran.
const SERVED: &str = "served";

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
        let version = daemon.config.as_ref().map_or(0, |config| config.version);
        let line = line.with("version", version);
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
        let line = if outcome == SERVED { Line::routine("ended") } else { Line::failure("ended") };
        let line = line.with("request", &request.query.id).with("rule", &request.route.rule);
        fx.log(line.with("outcome", outcome).millis("took", took));
    }
}
