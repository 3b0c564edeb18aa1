//! Callers' sessions: login, session values, prepared statements and transaction state.
//!
//! Commands that set values or prepare statements are answered by the daemon itself; a server
//! receives them only when a statement runs there. A transaction is opened on a server with its
//! first statement, so callers that are idle after `BEGIN` hold no connection.

mod key;
pub mod storage;
mod transaction;

pub use self::{
    key::on_config,
    transaction::{Open, Transaction},
};

use self::key::{close_withdrawn, login, recheck};

use crate::{
    authority,
    caller::{Event, Reply},
    config::Route,
    connection::Values,
    drain,
    effect::Effects,
    forward, gossip,
    line::Line,
    pool,
    remote::{self, Origin},
    request::{self, Admission, Request, Submission},
    state::State as Daemon,
    statement::{Access, Prepared, Query, Statement},
    timer,
    urgency::Urgency,
};
use compact_str::CompactString;
use gcl_core::{
    code::{Code, Fault},
    id,
    mark::Mark,
    time::Now,
};
use indexmap::IndexMap;
use std::{collections::VecDeque, sync::Arc, time::Duration};

/// Limit on the statements that a caller may pipeline.
const MAX_PIPELINED: usize = 64;
/// Retry-after while no configuration has been read.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry-after of a draining daemon; the balancer routes the caller to another one.
const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A caller's session.
#[derive(Clone, Debug, Default)]
pub struct Session {
    /// The service named at login.
    pub service: id::Service,
    /// The key given at login.
    pub key: CompactString,
    /// The workspace of the key, empty on public routes.
    pub workspace: id::Workspace,
    /// Session values by name.
    pub values: Values,
    /// Prepared statements by their names in the session.
    pub prepared: IndexMap<CompactString, Prepared>,
    /// Size of both in bytes.
    pub stored: usize,
    /// The least log position that the session's reads must see, by database: that of its last
    /// commit (read-your-writes).
    pub floors: IndexMap<id::Database, Mark>,
    /// State of the session's transaction.
    pub transaction: Transaction,
    /// The statement in progress on a server.
    pub request: Option<Request>,
    /// Statements that arrived before earlier ones were answered.
    pub pipelined: VecDeque<Query>,
    /// The log position in the last answer of a server.
    pub mark: Option<Mark>,
    /// Where the statement came from, if another daemon forwarded it.
    pub origin: Option<Origin>,
    /// The route of a forwarded operation.
    pub remote_route: Option<Arc<Route>>,
}

impl Session {
    /// Whether the session has no open transaction and no pending statement.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.request.is_none()
            && self.pipelined.is_empty()
            && matches!(self.transaction, Transaction::None)
    }

    /// Whether a statement is a write, or runs in a transaction that may write.
    #[must_use]
    pub fn writes(&self, request: &Request) -> bool {
        match &self.transaction {
            Transaction::Open(open) => !open.read_only,
            _ => request.access == Access::Write,
        }
    }

    fn ready(&self) -> Reply {
        Reply::Ready(self.transaction.status(), self.mark)
    }
}

/// Handles an event of a caller's connection.
pub fn on_event(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    event: Event,
) {
    match event {
        Event::Login { service, key } => login(daemon, now, fx, session, service, key),
        Event::Query(query) => on_query(daemon, now, fx, session, query),
        Event::Malformed(fault) => {
            fx.log(
                Line::failure("malformed message refused")
                    .with("session", session)
                    .with("fault", &fault),
            );
            refuse_and_close(daemon, now, fx, session, fault);
        }
        Event::Closed => remove(daemon, now, fx, session),
    }
}

fn refuse_and_close(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    fault: Fault,
) {
    fx.reply(session, vec![Reply::Error(fault)]);
    fx.close_caller(session);
    remove(daemon, now, fx, session);
}

/// Removes a session whose connection ended, and rolls back its open transaction.
pub fn remove(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    let Some(mut state) = daemon.sessions.swap_remove(&session) else {
        return;
    };
    daemon.timers.cancel(&timer::Key::Idle(session));
    daemon.storage.release(state.stored);
    if let Some(origin) = state.origin {
        remote::on_session_removed(daemon, origin);
    }
    if let Some(request) = state.request.take() {
        request::abandon(daemon, now, fx, session, &request);
    }
    release_transaction(daemon, now, fx, session, state.transaction);
    drain::exit_if_idle(daemon, now, fx);
}

/// Releases the connection or host of an open transaction, which rolls it back.
fn release_transaction(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    transaction: Transaction,
) {
    let Transaction::Open(open) = transaction else {
        return;
    };
    if let Some(connection) = open.connection {
        pool::release(daemon, now, fx, connection);
    }
    if let Some(host) = open.host {
        forward::abort(daemon, fx, session, &host);
    }
}

fn on_query(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session, query: Query) {
    let Some(state) = daemon.sessions.get_mut(&session) else {
        // The session was refused and closed before the caller sent this.
        return;
    };
    if state.request.is_none() {
        return handle(daemon, now, fx, session, query);
    }
    if state.pipelined.len() < MAX_PIPELINED {
        state.pipelined.push_back(query);
    } else {
        let fault = Fault::new(Code::Protocol, "too many statements ahead of their answers");
        refuse_and_close(daemon, now, fx, session, fault);
    }
}

fn handle(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session, query: Query) {
    daemon.timers.cancel(&timer::Key::Idle(session));
    if recheck(daemon, now, fx, session).is_err() {
        return close_withdrawn(daemon, now, fx, session, Some(&query));
    }
    let Some(state) = daemon.sessions.get(&session) else {
        return;
    };
    match state.transaction {
        Transaction::RolledBack | Transaction::Failed => {
            handle_in_failed_transaction(daemon, now, fx, session, &query);
        }
        Transaction::None => handle_outside_transaction(daemon, now, fx, session, query),
        Transaction::Open(_) => handle_in_transaction(daemon, now, fx, session, query),
    }
}

/// Handles a statement in a failed transaction: only `COMMIT` and `ROLLBACK` are accepted.
fn handle_in_failed_transaction(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    query: &Query,
) {
    let Some(state) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let reply = match query.statement {
        Statement::Rollback => {
            state.transaction = Transaction::None;
            Reply::Complete(None)
        }
        Statement::Commit => {
            state.transaction = Transaction::None;
            Reply::Error(Fault::new(Code::TransactionLost, "the transaction had failed"))
        }
        _ if matches!(state.transaction, Transaction::RolledBack) => {
            state.transaction = Transaction::Failed;
            Reply::Error(Fault::new(Code::TransactionLost, "the transaction was rolled back"))
        }
        _ => Reply::Error(Fault::new(Code::Protocol, "the transaction failed; end it first")),
    };
    answer(daemon, now, fx, session, vec![reply]);
}

fn handle_outside_transaction(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    query: Query,
) {
    match &query.statement {
        Statement::Begin { read_only } => {
            let read_only = *read_only;
            match request::admit(daemon, fx, session, &query.id) {
                Ok(admitted) => begin(daemon, now, fx, session, read_only, admitted),
                Err(fault) => answer(daemon, now, fx, session, vec![Reply::Error(fault)]),
            }
        }
        Statement::Commit | Statement::Rollback => {
            let fault = Fault::new(Code::Protocol, "no transaction is open");
            answer(daemon, now, fx, session, vec![Reply::Error(fault)]);
        }
        Statement::Data(_) | Statement::Execute { .. } => {
            match request::admit(daemon, fx, session, &query.id) {
                Ok(admitted) => run(daemon, now, fx, session, query, admitted),
                Err(fault) => answer(daemon, now, fx, session, vec![Reply::Error(fault)]),
            }
        }
        _ => answer_locally(daemon, now, fx, session, query.statement),
    }
}

fn begin(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    read_only: bool,
    admission: Admission,
) {
    let Admission { route, rate_counted, .. } = admission;
    if let Some(state) = daemon.sessions.get_mut(&session) {
        let open = Open::new(read_only, route, now.mono, rate_counted);
        state.transaction = Transaction::Open(Box::new(open));
    }
    answer(daemon, now, fx, session, vec![Reply::Complete(None)]);
}

fn handle_in_transaction(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    query: Query,
) {
    match &query.statement {
        Statement::Begin { .. } => {
            let fault = Fault::new(Code::Protocol, "a transaction is open already");
            answer(daemon, now, fx, session, vec![Reply::Error(fault)]);
        }
        Statement::Rollback => {
            end_transaction(daemon, now, fx, session, Transaction::None);
            answer(daemon, now, fx, session, vec![Reply::Complete(None)]);
        }
        Statement::Data(_) | Statement::Execute { .. } | Statement::Commit => {
            let state = daemon.sessions.get(&session);
            let Some(Transaction::Open(open)) = state.map(|state| &state.transaction) else {
                return;
            };
            let admission = Admission::new(&open.route, open.rate_counted);
            run(daemon, now, fx, session, query, admission);
        }
        _ => answer_locally(daemon, now, fx, session, query.statement),
    }
}

/// Ends a session's transaction and releases its connection or host.
pub fn end_transaction(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    next: Transaction,
) {
    let Some(state) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let ended = std::mem::replace(&mut state.transaction, next);
    release_transaction(daemon, now, fx, session, ended);
}

/// Answers a statement that only changes the session's own state.
fn answer_locally(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    statement: Statement,
) {
    let Some(state) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let result = match statement {
        Statement::Unknown => Err(Fault::new(Code::Protocol, "the statement is not known")),
        Statement::Set { name, value } => daemon.storage.set(state, name, value),
        Statement::Prepare { name, prepared } => daemon.storage.prepare(state, name, prepared),
        Statement::Deallocate { name } => {
            let removed = daemon.storage.deallocate(state, &name);
            if removed { Ok(()) } else { Err(unknown_statement(&name)) }
        }
        _ => Ok(()),
    };
    let reply = match result {
        Ok(()) => Reply::Complete(None),
        Err(fault) => Reply::Error(fault),
    };
    answer(daemon, now, fx, session, vec![reply]);
}

fn unknown_statement(name: &str) -> Fault {
    Fault::new(Code::UnknownStatement, name)
}

/// Starts a statement that a server has to run.
fn run(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    query: Query,
    admission: Admission,
) {
    let Some(state) = daemon.sessions.get(&session) else {
        return;
    };
    let access = match &query.statement {
        Statement::Data(access) => Ok(*access),
        Statement::Execute { name, .. } => match state.prepared.get(name) {
            Some(prepared) => Ok(prepared.access),
            None => Err(unknown_statement(name)),
        },
        _ => Ok(Access::Read),
    };
    match access {
        Ok(access) => {
            request::start(daemon, now, fx, session, Submission { query, access, admission });
        }
        Err(fault) => answer(daemon, now, fx, session, vec![Reply::Error(fault)]),
    }
}

/// Runs a statement that another daemon forwarded, within its `remaining` time.
pub fn run_remote(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    query: Query,
    (remaining, urgency): (Duration, Option<Urgency>),
) {
    daemon.timers.cancel(&timer::Key::Idle(session));
    let Some(state) = daemon.sessions.get(&session) else {
        return;
    };
    let admission = match &state.transaction {
        Transaction::RolledBack | Transaction::Failed => {
            return handle_in_failed_transaction(daemon, now, fx, session, &query);
        }
        Transaction::Open(open) => Admission::new(&open.route, open.rate_counted),
        Transaction::None => match &state.remote_route {
            Some(route) => Admission::new(route, false),
            None => return,
        },
    };
    let admission = Admission { remaining: Some(remaining), urgency, ..admission };
    run(daemon, now, fx, session, query, admission);
}

/// Answers a statement and starts the next pipelined one.
pub fn answer(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    mut replies: Vec<Reply>,
) {
    let idle_limit = daemon.config.as_ref().and_then(|config| config.transaction_idle);
    let Some(state) = daemon.sessions.get_mut(&session) else {
        return;
    };
    if let Some(origin) = state.origin {
        return remote::answer(daemon, now, fx, session, origin, replies);
    }
    replies.push(state.ready());
    fx.reply(session, replies);
    if let Some(query) = state.pipelined.pop_front() {
        return handle(daemon, now, fx, session, query);
    }
    if let (Transaction::Open(_), Some(limit)) = (&state.transaction, idle_limit) {
        daemon.timers.arm(timer::Key::Idle(session), now.mono + limit);
    }
    if !authority::is_held(daemon, now) && gossip::has_serving_peer(daemon, now) {
        close_idle(daemon, now, fx, session);
    }
    drain::on_answered(daemon, now, fx, session);
}

/// Closes a session if it is idle, so that its caller connects to another daemon.
pub fn close_idle(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    if daemon.sessions.get(&session).is_some_and(|it| it.is_idle() && it.origin.is_none()) {
        fx.close_caller(session);
        remove(daemon, now, fx, session);
    }
}

/// Closes all idle sessions if other daemons can serve them.
pub fn close_all_idle(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if !gossip::has_serving_peer(daemon, now) {
        return;
    }
    let sessions: Vec<_> = daemon.sessions.keys().copied().collect();
    fx.log(Line::state_change("idle sessions closed").with("sessions", sessions.len()));
    for session in sessions {
        close_idle(daemon, now, fx, session);
    }
}

/// Rolls back the transaction of a session that exceeded the idle limit.
pub fn on_idle(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    let idle = daemon.sessions.get(&session).is_some_and(|state| state.request.is_none());
    if idle {
        fail_transaction(daemon, now, fx, session, "idle in transaction for too long");
    }
}

/// Rolls back a session's transaction; the next statement reports it to the caller.
pub fn fail_transaction(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    reason: &str,
) {
    let state = daemon.sessions.get(&session);
    if state.is_some_and(|state| matches!(state.transaction, Transaction::Open(_))) {
        let line = Line::failure("transaction rolled back").with("session", session);
        fx.log(line.with("reason", reason));
        end_transaction(daemon, now, fx, session, Transaction::RolledBack);
    }
}
