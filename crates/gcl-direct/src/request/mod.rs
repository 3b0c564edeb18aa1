//! Lifecycle of a statement that runs on a backend server: admission, placement, attempts, outcome.
//!
//! Each statement has exactly one outcome. It is retried only if that cannot run it twice: it was
//! not sent, the server reported that nothing ran, or it is a read outside a transaction. A write
//! or commit whose answer is lost is in doubt: its outcome is unknown. Closing a connection rolls
//! back its open transaction, so a transaction whose connection is lost before its commit was sent
//! is certainly not committed.
//!
//! An attempt uses one of this daemon's own connections ([`crate::pool`]) or forwards the statement
//! to a host ([`crate::forward`]), usually the home of the database ([`crate::home`]).

mod attempt;
mod outcome;
mod rate;
mod run;

pub use self::{
    attempt::{attempt, on_primary_found, on_rerouted, on_retry, on_shed},
    outcome::{disconnect_server, on_answer, on_closed, on_lost},
    run::{advance, on_connection, on_setup_answered},
};

use crate::{
    caller::Reply,
    config::Route,
    effect::Effects,
    forward,
    line::Line,
    placement::Need,
    pool, queue,
    session::{self, Transaction},
    state::State as Daemon,
    statement::{Access, Query, Statement},
    timer,
    urgency::Urgency,
};
use gcl_core::{
    code::{Code, Fault, Result},
    id,
    mark::Mark,
    time::Now,
};
use std::{sync::Arc, time::Duration};

/// Share of a statement's time that it may wait for a server or a connection, in percent. The
/// server needs the rest, and a caller that is refused by then still has time to retry elsewhere.
const MAX_WAIT_PERCENT: u32 = 45;
/// Retry-after of refusals while servers are busy or unavailable.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Minimum time that a statement may wait for another server after one could not run it.
const MIN_RETRY_WAIT: Duration = Duration::from_millis(150);

/// Outcome label of a statement that a server ran successfully.
pub const SERVED: &str = "served";

/// The processing stage of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waiting for the next attempt.
    Waiting,
    /// Waiting for a connection to a server.
    Queued(id::Server),
    /// Its connection is being set up: session values, prepared statements, transaction.
    Preparing(id::Connection),
    /// Sent to the server on this connection.
    Sent(id::Connection),
    /// Forwarded to a host, with the serial number that its answer carries.
    Away(id::Daemon, u64),
}

/// The route and limits under which an operation may run.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The route of the session's service.
    pub route: Arc<Route>,
    /// Whether it was counted against its workspace's rate limit.
    pub rate_counted: bool,
    /// The statement's remaining time, if it is less than the route's timeout.
    pub remaining: Option<Duration>,
    /// The statement's urgency, if another daemon has determined it.
    pub urgency: Option<Urgency>,
}

impl Admission {
    /// An admission with the whole timeout of `route`.
    #[must_use]
    pub fn new(route: &Arc<Route>, rate_counted: bool) -> Self {
        Self { route: Arc::clone(route), rate_counted, remaining: None, urgency: None }
    }
}

/// A statement submitted to [`start`].
#[derive(Clone, Debug)]
pub struct Submission {
    /// The statement as the caller sent it.
    pub query: Query,
    /// Whether it reads or writes.
    pub access: Access,
    /// Its route and limits.
    pub admission: Admission,
}

/// A statement in progress.
#[derive(Clone, Debug)]
pub struct Request {
    /// The statement as the caller sent it.
    pub query: Query,
    /// The route that it runs on.
    pub route: Arc<Route>,
    /// Whether it reads or writes.
    pub access: Access,
    /// Its urgency.
    pub urgency: Urgency,
    /// When it arrived.
    pub arrived: Duration,
    /// When it must have been sent to a server.
    pub queue_deadline: Duration,
    /// When it must be answered.
    pub deadline: Duration,
    /// Its current stage.
    pub stage: Stage,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Servers that could not run it.
    pub excluded_servers: Vec<id::Server>,
    /// Hosts that could not run it.
    pub excluded_hosts: Vec<id::Daemon>,
    /// Whether it was counted against its workspace's rate limit.
    pub rate_counted: bool,
    /// Which servers can run it.
    pub need: Need,
    /// The log position that the server must have reached, if any.
    pub min_position: Option<Mark>,
}

/// Admits an operation of a session to its route, and logs a refusal.
///
/// # Errors
/// The session has ended, or its service has no route.
pub fn admit(
    daemon: &Daemon,
    fx: &mut Effects,
    session: id::Session,
    request: &str,
) -> Result<Admission> {
    let outcome = admission_of(daemon, session);
    if let Err(fault) = &outcome {
        fx.count("gcl_refused", fault.code.text().trim());
        let workspace = daemon.sessions.get(&session).map(|state| state.workspace.clone());
        let line = Line::failure("operation refused").with("request", request);
        let line = line.with("session", session).with("members", daemon.members.len());
        let version = daemon.config.as_ref().map_or(0, |config| config.version);
        let line = line.with("version", version);
        let line = line.with("workspace", workspace.unwrap_or_default());
        fx.log(line.with("fault", fault));
    }
    outcome
}

/// Finds the route of an operation. The operation is not counted against the workspace's rate limit
/// here, but by the daemon that sends its first statement to a server: this one, or the home that
/// the statement is forwarded to.
fn admission_of(daemon: &Daemon, session: id::Session) -> Result<Admission> {
    let gone = || Fault::new(Code::Protocol, "the session has ended");
    let state = daemon.sessions.get(&session).ok_or_else(gone)?;
    let config = daemon.config.as_ref();
    let route = config.and_then(|config| config.routes.get(&state.service)).cloned();
    let route = route.ok_or_else(|| Fault::new(Code::UnknownService, "the route was removed"))?;
    Ok(Admission::new(&route, false))
}

/// Starts running a statement on the transaction's connection or host, or on a newly chosen one.
pub fn start(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    submission: Submission,
) {
    let Submission { query, access, admission } = submission;
    let Admission { route, rate_counted, remaining, urgency } = admission;
    let Some(session_state) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let urgency = urgency.unwrap_or_else(|| {
        let config = daemon.config.as_ref();
        let workspace = config.and_then(|config| config.workspaces.get(&session_state.workspace));
        let priority = workspace.map_or(0, |workspace| workspace.priority);
        Urgency { route: route.priority, workspace: priority }
    });
    let time = remaining.map_or(route.timeout, |remaining| remaining.min(route.timeout));
    let deadline = now.mono + time;
    let queue_deadline = now.mono + time * MAX_WAIT_PERCENT / 100;
    let (connection, host) = match &session_state.transaction {
        Transaction::Open(open) => (open.connection, open.host.clone()),
        _ => (None, None),
    };
    let stage = connection.map_or(Stage::Waiting, Stage::Preparing);
    session_state.request = Some(Request {
        query,
        route,
        access,
        urgency,
        arrived: now.mono,
        queue_deadline,
        deadline,
        stage,
        attempts: 0,
        excluded_servers: Vec::new(),
        excluded_hosts: Vec::new(),
        rate_counted,
        need: Need::Primary,
        min_position: None,
    });
    daemon.timers.arm(timer::Key::Deadline(session), queue_deadline);
    match (connection, host) {
        (Some(connection), _) => advance(daemon, now, fx, session, connection),
        (None, Some(host)) => forward::send(daemon, now, fx, session, &host),
        (None, None) => attempt(daemon, now, fx, session),
    }
}

/// The statement that a session is running.
pub fn current(daemon: &mut Daemon, session: id::Session) -> Option<&mut Request> {
    daemon.sessions.get_mut(&session)?.request.as_mut()
}

/// Arms the deadline timer of a forwarded statement for `due`.
pub fn set_deadline(daemon: &mut Daemon, session: id::Session, due: Duration) {
    daemon.timers.arm(timer::Key::Deadline(session), due);
}

/// Retries a statement that a host did not run.
pub fn retry_forwarded(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    let Some(request) = current(daemon, session) else {
        return;
    };
    request.stage = Stage::Waiting;
    request.queue_deadline =
        request.queue_deadline.max(now.mono + MIN_RETRY_WAIT).min(request.deadline);
    let until = request.queue_deadline;
    daemon.timers.arm(timer::Key::Deadline(session), until);
    attempt(daemon, now, fx, session);
}

/// Handles the expiry of a statement's deadline timer.
pub fn on_deadline(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    let request = daemon.sessions.get(&session).and_then(|state| state.request.as_ref());
    let Some(request) = request else {
        return;
    };
    match request.stage.clone() {
        Stage::Sent(connection) => {
            let server = daemon.connections.get(&connection).map(|conn| conn.server.clone());
            let pool = server.and_then(|server| daemon.pools.get_mut(&server));
            if let Some(pool) = pool
                && pool.health.last_success + request.route.timeout <= now.mono
            {
                pool.on_failure(now, false);
            }
            on_timeout(daemon, now, fx, session, connection);
        }
        Stage::Away(host, _) => forward::on_timeout(daemon, now, fx, session, &host),
        Stage::Queued(server) => {
            let queue = pool::queue_time(daemon, &server);
            let random = daemon.random.next();
            let after = queue::retry_after(Duration::ZERO, Duration::ZERO, queue, random);
            let fault = Fault::new(Code::QueueFull, "no connection became free");
            refuse(daemon, now, fx, session, fault.retry_after(after));
        }
        _ => {
            let fault = Fault::new(Code::Deadline, "no server was ready in time");
            refuse(daemon, now, fx, session, fault.retry_after(BUSY_RETRY_AFTER));
        }
    }
}

/// Ends a statement that its server did not answer in time.
fn on_timeout(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    connection: id::Connection,
) {
    let Some(state) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let reads = state.request.as_ref().is_some_and(|request| request.access == Access::Read);
    if matches!(state.transaction, Transaction::None) && reads {
        pool::close(daemon, fx, connection);
        finish(daemon, now, fx, session, "timeout");
        let fault = Fault::new(Code::Timeout, "the server did not answer in time");
        return session::answer(daemon, now, fx, session, vec![Reply::Error(fault)]);
    }
    on_lost(daemon, now, fx, session, connection, "the server did not answer in time");
}

/// Refuses a statement that has not run.
fn refuse(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session, fault: Fault) {
    refuse_with(daemon, now, fx, session, fault, |line| line);
}

/// Refuses a statement that has not run, for a reason whose inputs `describe` adds to the line.
fn refuse_with(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    fault: Fault,
    describe: impl FnOnce(Line) -> Line,
) {
    let Some(state) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let Some(request) = state.request.clone() else {
        return;
    };
    fx.count("gcl_refused", fault.code.text().trim());
    let line = Line::failure("statement refused").with("request", &request.query.id);
    let line = line.with("workspace", &state.workspace).with("members", daemon.members.len());
    let line = line.with("database", &request.route.database);
    let line =
        line.with("need", format_args!("{:?}", request.need)).mark("after", request.min_position);
    let line =
        line.with("tries", request.attempts).with("stage", format_args!("{:?}", request.stage));
    let line = line.millis("waited", now.since(request.arrived)).with("fault", &fault);
    fx.log(describe(line));
    let commit = request.query.statement == Statement::Commit;
    finish(daemon, now, fx, session, "refused");
    abandon(daemon, now, fx, session, &request);
    let open = daemon.sessions.get(&session);
    if open.is_some_and(|state| matches!(state.transaction, Transaction::Open(_))) {
        let next = if commit { Transaction::None } else { Transaction::Failed };
        session::end_transaction(daemon, now, fx, session, next);
    }
    session::answer(daemon, now, fx, session, vec![Reply::Error(fault)]);
}

/// Cancels the timers of a statement that ended or whose session ended, and releases its queue
/// entry, connection or host.
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
        Stage::Queued(server) => pool::dequeue(daemon, server, session),
        Stage::Preparing(connection) | Stage::Sent(connection) => {
            pool::release(daemon, now, fx, *connection);
        }
        Stage::Away(host, _) => forward::abort(daemon, fx, session, host),
    }
}

/// Removes a statement from its session, and logs and counts its outcome.
pub fn finish(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    outcome: &'static str,
) {
    daemon.timers.cancel(&timer::Key::Deadline(session));
    daemon.timers.cancel(&timer::Key::Retry(session));
    let request = daemon.sessions.get_mut(&session).and_then(|state| state.request.take());
    if let Some(request) = request {
        let took = now.since(request.arrived);
        fx.count("gcl_statements", outcome);
        fx.observe("gcl_statement_seconds", &request.route.rule, took);
        let line = if outcome == SERVED { Line::routine("ended") } else { Line::failure("ended") };
        let line = line.with("request", &request.query.id).with("rule", &request.route.rule);
        fx.log(line.with("outcome", outcome).millis("took", took));
    }
}
