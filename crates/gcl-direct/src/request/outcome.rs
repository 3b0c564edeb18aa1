//! Outcomes of statements: answers, refusals and lost connections, and what the caller is sent.

use super::{BUSY_RETRY_AFTER, SERVED, Stage, attempt::retry, finish};
use crate::{
    authority,
    backend::{Answer, Refusal},
    caller::Reply,
    effect::Effects,
    line::Line,
    placement::Need,
    pool,
    session::{self, Transaction},
    state::State as Daemon,
    statement::{Access, Statement},
    steering,
};
use gcl_core::{
    batch::Status,
    code::{Code, Fault},
    id,
    mark::Mark,
    time::Now,
};
use std::time::Duration;

/// How long reads avoid a server after its queue was full.
const BUSY_BACKOFF: Duration = Duration::from_millis(100);
/// How long reads avoid a replica after it was behind their log position.
const BEHIND_BACKOFF: Duration = Duration::from_millis(60);

/// Handles a server's answer to a caller's statement.
pub fn on_answer(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    (connection, sent): (id::Connection, Duration),
    answer: Answer,
) {
    let Some(server) = daemon.connections.get(&connection).map(|conn| conn.server.clone()) else {
        return;
    };
    let Some(state) = daemon.sessions.get_mut(&session) else {
        return pool::release(daemon, now, fx, connection);
    };
    let Some(request) = state.request.as_ref() else {
        return;
    };
    let database = request.route.database.clone();
    state.mark = answer.mark.or(state.mark);
    let failed = matches!(answer.result, Err(Refusal::Failed(_) | Refusal::Timeout));
    if failed || answer.result.is_ok() {
        steering::observe(daemon, now, fx, session, (&server, sent), failed);
    }
    let authoritative = authority::accepts_answer(daemon, now, &database, &server);
    if let (true, Some(mark)) = (authoritative, answer.mark) {
        daemon.groups.entry(database).or_default().history.observe(sent, mark);
    }
    match answer.result {
        Ok(receipt) => {
            let mut replies: Vec<_> = answer.rows.into_iter().map(Reply::Row).collect();
            replies.push(Reply::Complete(Some(receipt)));
            succeed(daemon, now, fx, session, (connection, authoritative), answer.mark, replies);
        }
        Err(refusal) => {
            on_refusal(daemon, now, fx, session, (connection, &server), refusal, answer.status);
        }
    }
}

/// Answers the caller with a success. The outcome counts as lost instead if the server ran the
/// statement as primary and may have been superseded since.
fn succeed(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    (connection, authoritative): (id::Connection, bool),
    mark: Option<Mark>,
    replies: Vec<Reply>,
) {
    let Some(state) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let Some(request) = state.request.as_ref() else {
        return;
    };
    let (on_primary, wrote) = match &state.transaction {
        Transaction::Open(open) => (open.on_primary, open.wrote),
        _ => (request.need == Need::Primary, request.access == Access::Write),
    };
    if on_primary && !authoritative {
        return on_lost(daemon, now, fx, session, connection, "the right to the primary has ended");
    }
    let committed = match &state.transaction {
        Transaction::Open(_) => request.query.statement == Statement::Commit,
        _ => true,
    };
    if let (true, true, Some(mark)) = (committed, wrote, mark) {
        let floor = state.floors.entry(request.route.database.clone()).or_default();
        *floor = mark.max(*floor);
    }
    finish(daemon, now, fx, session, SERVED);
    if committed {
        let ended = daemon.connections.get(&connection);
        debug_assert!(ended.is_none_or(|conn| !conn.in_transaction));
        if let Some(state) = daemon.sessions.get_mut(&session) {
            state.transaction = Transaction::None;
        }
        pool::release(daemon, now, fx, connection);
    }
    session::answer(daemon, now, fx, session, replies);
}

/// Handles a server's report that a statement did not succeed.
fn on_refusal(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    (connection, server): (id::Connection, &id::Server),
    refusal: Refusal,
    status: Status,
) {
    let state = daemon.sessions.get(&session);
    let request = state.and_then(|state| state.request.as_ref());
    let (Some(state), Some(request)) = (state, request) else {
        return;
    };
    let reads = request.access == Access::Read;
    let autocommit = matches!(state.transaction, Transaction::None);
    let commit = request.query.statement == Statement::Commit;
    let line = Line::failure("refused by the server").with("request", &request.query.id);
    let line = line.with("server", server).with("reason", refusal.name());
    fx.log(line.mark("after", request.min_position).mark("position", state.mark));
    match (&refusal, daemon.pools.get_mut(server)) {
        (Refusal::Behind, Some(pool)) => pool.behind_until = now.mono + BEHIND_BACKOFF,
        (Refusal::Busy, Some(pool)) => pool.busy_until = now.mono + BUSY_BACKOFF,
        _ => {}
    }
    if autocommit && (refusal.not_run() || (reads && !matches!(refusal, Refusal::Malformed(_)))) {
        pool::release(daemon, now, fx, connection);
        return retry(daemon, now, fx, session, server, refusal.name());
    }
    let reply = match refusal {
        Refusal::Failed(text) => Reply::Failed(text),
        Refusal::Malformed(text) => Reply::Error(Fault::new(Code::Protocol, text)),
        Refusal::Timeout if autocommit || commit => {
            Reply::Error(Fault::new(Code::Timeout, "the server stopped the statement"))
        }
        other => {
            let fault = Fault::new(Code::TransactionLost, other.name());
            Reply::Error(fault.retry_after(BUSY_RETRY_AFTER))
        }
    };
    finish(daemon, now, fx, session, "failed");
    if autocommit {
        pool::release(daemon, now, fx, connection);
    } else {
        let ended = commit || status == Status::Idle;
        let next = if ended { Transaction::None } else { Transaction::Failed };
        session::end_transaction(daemon, now, fx, session, next);
    }
    session::answer(daemon, now, fx, session, vec![reply]);
}

/// Ends a transaction that cannot go on, before the session's current statement was sent. The caller is
/// promised that nothing of it is kept.
pub(super) fn fail_transaction(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    reason: &str,
) {
    let Some(request) = super::current(daemon, session) else {
        return;
    };
    let commit = request.query.statement == Statement::Commit;
    let next = if commit { Transaction::None } else { Transaction::Failed };
    finish(daemon, now, fx, session, "failed");
    session::end_transaction(daemon, now, fx, session, next);
    let fault = Fault::new(Code::TransactionLost, reason).retry_after(BUSY_RETRY_AFTER);
    session::answer(daemon, now, fx, session, vec![Reply::Error(fault)]);
}

/// Handles the loss of a statement's connection, or of the authority to use the primary that ran
/// it.
pub fn on_lost(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    connection: id::Connection,
    reason: &str,
) {
    let server = daemon.connections.get(&connection).map(|conn| conn.server.clone());
    pool::close(daemon, fx, connection);
    observe_lost(daemon, now, fx, session, server.as_ref());
    let Some(state) = daemon.sessions.get_mut(&session) else {
        return;
    };
    let Some(request) = state.request.as_ref() else {
        return session::fail_transaction(daemon, now, fx, session, reason);
    };
    let sent = matches!(request.stage, Stage::Sent(_));
    let line = Line::failure("connection lost").with("request", &request.query.id);
    let line = line.with("server", server.as_deref().unwrap_or_default());
    fx.log(line.with("sent", sent).with("reason", reason));
    let server = server.unwrap_or_default();
    let in_doubt = || Reply::Error(Fault::new(Code::OutcomeUnknown, reason));
    match &mut state.transaction {
        Transaction::Open(open) => {
            let commit = request.query.statement == Statement::Commit;
            let reply = if commit && sent && open.wrote {
                in_doubt()
            } else {
                Reply::Error(
                    Fault::new(Code::TransactionLost, reason).retry_after(BUSY_RETRY_AFTER),
                )
            };
            let next = if commit { Transaction::None } else { Transaction::Failed };
            state.transaction = next;
            finish(daemon, now, fx, session, "lost");
            session::answer(daemon, now, fx, session, vec![reply]);
        }
        _ if sent && request.access == Access::Write => {
            finish(daemon, now, fx, session, "in doubt");
            session::answer(daemon, now, fx, session, vec![in_doubt()]);
        }
        _ => retry(daemon, now, fx, session, &server, "connection lost"),
    }
}

/// Records that a read which had been sent to a server was lost there.
fn observe_lost(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    server: Option<&id::Server>,
) {
    let request = daemon.sessions.get(&session).and_then(|state| state.request.as_ref());
    let sent = request.is_some_and(|request| matches!(request.stage, Stage::Sent(_)));
    if let (Some(server), true) = (server, sent) {
        steering::observe(daemon, now, fx, session, (server, now.mono), true);
    }
}

/// Closes all connections to a server that is gone or was restarted.
pub fn disconnect_server(
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
    daemon.outlier.forget(server);
    pool::reroute_waiting(daemon, now, fx, server);
}

/// Handles the end of a connection.
pub fn on_closed(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    connection: id::Connection,
    reason: &str,
) {
    match daemon.connections.get(&connection).map(|conn| conn.session) {
        Some(Some(session)) => on_lost(daemon, now, fx, session, connection, reason),
        Some(None) => pool::close(daemon, fx, connection),
        None => {}
    }
}
