//! Callers' sessions: login, values, prepared statements, and the state of the transaction.
//!
//! Values and prepared statements belong to the session and are answered here; they reach a server
//! when a statement runs there. A transaction opens at a server with its first statement, so that
//! callers who rest after `BEGIN` hold no connection.

mod key;
mod transaction;

pub use self::{
    key::{admit_key, end_withdrawn, on_config},
    transaction::{Open, Transaction},
};

use self::key::login;

use crate::{
    caller::{Event, Reply},
    config::Route,
    connection::Values,
    drain,
    effect::Effects,
    forward, gossip,
    line::Line,
    pool,
    remote::{self, Origin},
    request::{self, Admission, Order, Request},
    right,
    state::State as Daemon,
    statement::{Access, Prepared, Query, Statement},
    timer,
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

/// Statements that a caller may send ahead of the answers.
const MOST_AHEAD: usize = 64;
/// When to come back while the configuration is not known.
const NO_CONFIG_RETRY: Duration = Duration::from_millis(500);
/// When to come back to a daemon that stops; the balancer takes the caller to another one.
const DRAINING_RETRY: Duration = Duration::from_millis(100);

/// A caller's session.
#[derive(Clone, Debug, Default)]
pub struct Session {
    /// The service that the caller named.
    pub service: id::Service,
    /// The caller's key.
    pub key: CompactString,
    /// The workspace, empty on public routes.
    pub workspace: id::Workspace,
    /// Values.
    pub values: Values,
    /// Prepared statements by the session's names.
    pub prepared: IndexMap<CompactString, Prepared>,
    /// The session's own last commit by database.
    pub floors: IndexMap<id::Database, Mark>,
    /// The transaction.
    pub transaction: Transaction,
    /// The statement that a server is to run.
    pub request: Option<Request>,
    /// Statements that came ahead of the answers.
    pub ahead: VecDeque<Query>,
    /// The last log position that a server reported.
    pub mark: Option<Mark>,
    /// For another daemon's caller, whose statement it runs.
    pub guest: Option<Origin>,
    /// The route of such an operation.
    pub guest_route: Option<Arc<Route>>,
}

impl Session {
    /// Whether nothing is open or under way.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.request.is_none()
            && self.ahead.is_empty()
            && matches!(self.transaction, Transaction::None)
    }

    /// Whether a statement runs where its transaction may write, or writes itself.
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

/// Acts on what a caller's connection did.
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
            fx.log(Line::failure("message refused").with("session", session).with("fault", &fault));
            refuse_and_close(daemon, now, fx, session, fault);
        }
        Event::Closed => forget(daemon, now, fx, session),
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
    forget(daemon, now, fx, session);
}

/// Forgets a session whose connection ended; the server rolls back what it had open.
pub fn forget(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    let Some(mut entry) = daemon.sessions.swap_remove(&session) else {
        return;
    };
    daemon.timers.cancel(&timer::Key::Idle(session));
    if let Some(guest) = entry.guest {
        remote::on_session_removed(daemon, guest);
    }
    if let Some(request) = entry.request.take() {
        request::abandon(daemon, now, fx, session, &request);
    }
    leave(daemon, now, fx, session, entry.transaction);
    drain::exit_if_idle(daemon, now, fx);
}

/// Gives back what a transaction holds.
fn leave(
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
    let Some(entry) = daemon.sessions.get_mut(&session) else {
        // The caller was refused, and wrote before it saw that.
        return;
    };
    if entry.request.is_none() {
        return handle(daemon, now, fx, session, query);
    }
    if entry.ahead.len() < MOST_AHEAD {
        entry.ahead.push_back(query);
    } else {
        let fault = Fault::new(Code::Protocol, "too many statements ahead of their answers");
        refuse_and_close(daemon, now, fx, session, fault);
    }
}

fn handle(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session, query: Query) {
    daemon.timers.cancel(&timer::Key::Idle(session));
    let Some(entry) = daemon.sessions.get(&session) else {
        return;
    };
    if let Err(fault) = admit_key(daemon.config.as_deref(), &entry.service, &entry.key)
        && fault.code == Code::WrongKey
        && entry.guest.is_none()
    {
        return end_withdrawn(daemon, now, fx, session, Some(&query));
    }
    let Some(entry) = daemon.sessions.get(&session) else {
        return;
    };
    match entry.transaction {
        Transaction::Lost | Transaction::Failed => on_failed(daemon, now, fx, session, &query),
        Transaction::None => outside(daemon, now, fx, session, query),
        Transaction::Open(_) => inside(daemon, now, fx, session, query),
    }
}

/// A statement after the transaction failed: only its end is accepted.
fn on_failed(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session, query: &Query) {
    let Some(entry) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let reply = match query.statement {
        Statement::Rollback => {
            entry.transaction = Transaction::None;
            Reply::Complete(None)
        }
        Statement::Commit => {
            entry.transaction = Transaction::None;
            Reply::Error(Fault::new(Code::TransactionLost, "the transaction had failed"))
        }
        _ if matches!(entry.transaction, Transaction::Lost) => {
            entry.transaction = Transaction::Failed;
            Reply::Error(Fault::new(Code::TransactionLost, "the transaction was rolled back"))
        }
        _ => Reply::Error(Fault::new(Code::Protocol, "the transaction failed; end it first")),
    };
    answer(daemon, now, fx, session, vec![reply]);
}

fn outside(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session, query: Query) {
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
        _ => local(daemon, now, fx, session, query.statement),
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
    let Admission { route, admitted, .. } = admission;
    if let Some(entry) = daemon.sessions.get_mut(&session) {
        let open = Open::new(read_only, route, now.mono, admitted);
        entry.transaction = Transaction::Open(Box::new(open));
    }
    answer(daemon, now, fx, session, vec![Reply::Complete(None)]);
}

fn inside(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session, query: Query) {
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
            let entry = daemon.sessions.get(&session);
            let Some(Transaction::Open(open)) = entry.map(|entry| &entry.transaction) else {
                return;
            };
            let admission = Admission::to(&open.route, open.admitted);
            run(daemon, now, fx, session, query, admission);
        }
        _ => local(daemon, now, fx, session, query.statement),
    }
}

/// Ends a session's transaction and gives its connection back.
pub fn end_transaction(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    next: Transaction,
) {
    let Some(entry) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let ended = std::mem::replace(&mut entry.transaction, next);
    leave(daemon, now, fx, session, ended);
}

/// Answers a statement that concerns the session alone.
fn local(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    statement: Statement,
) {
    let Some(entry) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let mut reply = Reply::Complete(None);
    match statement {
        Statement::Unknown => {
            reply = Reply::Error(Fault::new(Code::Protocol, "the statement is not known"));
        }
        Statement::Set { name, value } => {
            entry.values.insert(name, value);
        }
        Statement::Prepare { name, prepared } => {
            entry.prepared.insert(name, prepared);
        }
        Statement::Deallocate { name } if entry.prepared.swap_remove(&name).is_none() => {
            reply = Reply::Error(unknown_statement(&name));
        }
        _ => {}
    }
    answer(daemon, now, fx, session, vec![reply]);
}

fn unknown_statement(name: &str) -> Fault {
    Fault::new(Code::UnknownStatement, name)
}

/// Hands a statement to the servers.
fn run(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    query: Query,
    admission: Admission,
) {
    let Some(entry) = daemon.sessions.get(&session) else {
        return;
    };
    let access = match &query.statement {
        Statement::Data(access) => Ok(*access),
        Statement::Execute { name, .. } => match entry.prepared.get(name) {
            Some(prepared) => Ok(prepared.access),
            None => Err(unknown_statement(name)),
        },
        _ => Ok(Access::Read),
    };
    match access {
        Ok(access) => {
            request::start(daemon, now, fx, session, Order { query, access, admission });
        }
        Err(fault) => answer(daemon, now, fx, session, vec![Reply::Error(fault)]),
    }
}

/// Runs a statement of another daemon's caller, in the `left` of its time.
pub fn run_guest(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    query: Query,
    left: Duration,
) {
    daemon.timers.cancel(&timer::Key::Idle(session));
    let Some(entry) = daemon.sessions.get(&session) else {
        return;
    };
    let admission = match &entry.transaction {
        Transaction::Lost | Transaction::Failed => {
            return on_failed(daemon, now, fx, session, &query);
        }
        Transaction::Open(open) => Admission::to(&open.route, open.admitted),
        Transaction::None => match &entry.guest_route {
            Some(route) => Admission::to(route, false),
            None => return,
        },
    };
    run(daemon, now, fx, session, query, Admission { left: Some(left), ..admission });
}

/// Answers a statement, and goes on with the next one that waits.
pub fn answer(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    mut replies: Vec<Reply>,
) {
    let idle_limit = daemon.config.as_ref().and_then(|config| config.transaction_idle);
    let Some(entry) = daemon.sessions.get_mut(&session) else {
        return;
    };
    if let Some(guest) = entry.guest {
        return remote::answer(daemon, now, fx, session, guest, replies);
    }
    replies.push(entry.ready());
    fx.reply(session, replies);
    if let Some(query) = entry.ahead.pop_front() {
        return handle(daemon, now, fx, session, query);
    }
    if let (Transaction::Open(_), Some(limit)) = (&entry.transaction, idle_limit) {
        daemon.timers.arm(timer::Key::Idle(session), now.mono + limit);
    }
    if !right::holds(daemon, now) && gossip::has_serving_peer(daemon, now) {
        release_idle(daemon, now, fx, session);
    }
    drain::on_answered(daemon, now, fx, session);
}

/// Closes a session that has nothing under way, so that its caller connects to another daemon.
pub fn release_idle(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    if daemon.sessions.get(&session).is_some_and(|it| it.is_idle() && it.guest.is_none()) {
        fx.close_caller(session);
        forget(daemon, now, fx, session);
    }
}

/// Closes the sessions that have nothing under way, where others can serve them and this daemon
/// cannot.
pub fn release_all_idle(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if !gossip::has_serving_peer(daemon, now) {
        return;
    }
    let sessions: Vec<_> = daemon.sessions.keys().copied().collect();
    fx.log(Line::state_change("idle sessions released").with("sessions", sessions.len()));
    for session in sessions {
        release_idle(daemon, now, fx, session);
    }
}

/// Rolls back the transaction of a session that rested too long in it.
pub fn on_idle(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    let resting = daemon.sessions.get(&session).is_some_and(|entry| entry.request.is_none());
    if resting {
        fail_transaction(daemon, now, fx, session, "idle for too long");
    }
}

/// Rolls back a session's transaction; its caller learns that with its next statement.
pub fn fail_transaction(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    reason: &str,
) {
    let entry = daemon.sessions.get(&session);
    if entry.is_some_and(|entry| matches!(entry.transaction, Transaction::Open(_))) {
        let line = Line::failure("transaction rolled back").with("session", session);
        fx.log(line.with("reason", reason));
        end_transaction(daemon, now, fx, session, Transaction::Lost);
    }
}
