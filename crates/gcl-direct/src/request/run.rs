//! Running a statement on its connection: first the session's values and prepared statements are
//! set up, then the transaction is opened, then the statement is sent.
//!
//! A transaction lives on one connection. Until its first statement is sent, it can be set up again
//! on another one. After that, a setup command that fails ends it.

use super::{Stage, attempt::retry, outcome::fail_transaction};
use crate::{
    backend::{Command, Refusal},
    cold,
    connection::{Connection, Step},
    effect::Effects,
    line::Line,
    placement::Need,
    pool,
    session::Transaction,
    state::State as Daemon,
    statement::{Access, Prepared, Query, Statement},
    timer,
};
use gcl_core::{id, mark::Mark, time::Now};

/// Handles the assignment of a connection to a queued statement.
pub fn on_connection(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    connection: id::Connection,
) {
    let Some(state) = daemon.sessions.get_mut(&session) else {
        return pool::release(daemon, now, fx, connection);
    };
    if let Some(request) = state.request.as_mut() {
        request.stage = Stage::Preparing(connection);
        if let Transaction::Open(open) = &mut state.transaction {
            open.connection = Some(connection);
            open.on_primary = request.need == Need::Primary;
        }
        let waited = now.since(request.arrived);
        fx.observe("gcl_queue_seconds", &request.route.rule, waited);
        fx.observe("gcl_priority_queue_seconds", &request.urgency.route.to_string(), waited);
    }
    advance(daemon, now, fx, session, connection);
}

/// Sends the next command for a statement on its connection.
pub fn advance(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    connection: id::Connection,
) {
    let Some(server) = daemon.connections.get(&connection).map(|conn| conn.server.clone()) else {
        return;
    };
    if let Some(at) = cold::next_room(daemon, now, &server) {
        daemon.timers.arm(timer::Key::Retry(session), at);
        return;
    }
    let (Some(state), Some(conn)) =
        (daemon.sessions.get_mut(&session), daemon.connections.get(&connection))
    else {
        return;
    };
    let Some(request) = state.request.as_mut() else {
        return;
    };
    let prepared = match &request.query.statement {
        Statement::Execute { name, .. } => state.prepared.get(name),
        _ => None,
    };
    if let Some(step) = conn.next_setup_step(&state.values, prepared) {
        let command = match &step {
            Step::Set(name, value) => Command::Set { name: name.clone(), value: value.clone() },
            Step::Prepare(prepared) => {
                Command::Prepare { name: conn.next_statement_name(), prepared: prepared.clone() }
            }
            _ => Command::Reset,
        };
        return pool::send(daemon, now, fx, connection, step, command);
    }
    let min_position = request.min_position;
    if let Transaction::Open(open) = &mut state.transaction {
        if !conn.in_transaction && open.started {
            let reason = "the server ended the transaction";
            return fail_transaction(daemon, now, fx, session, reason);
        }
        if !conn.in_transaction {
            let command = Command::Begin { read_only: open.read_only, min_position };
            return pool::send(daemon, now, fx, connection, Step::Begin, command);
        }
        open.started = true;
        open.wrote |= request.access == Access::Write;
    }
    let command = statement_command(&request.query, conn, prepared, min_position);
    request.stage = Stage::Sent(connection);
    daemon.timers.arm(timer::Key::Deadline(session), request.deadline);
    pool::send(daemon, now, fx, connection, Step::Statement, command);
}

/// The command that runs a statement on a connection that is set up for it.
fn statement_command(
    query: &Query,
    conn: &Connection,
    prepared: Option<&Prepared>,
    min_position: Option<Mark>,
) -> Command {
    let id = query.id.clone();
    let min_position = min_position.filter(|_| !conn.in_transaction);
    match (&query.statement, prepared.and_then(|it| conn.statement_name(it))) {
        (Statement::Execute { parameters, .. }, Some(name)) => Command::Execute {
            id,
            min_position,
            name: name.clone(),
            parameters: parameters.clone(),
        },
        _ => Command::Forward { id, min_position, text: query.text.clone() },
    }
}

/// Handles the end of a command that set up a connection for a statement.
pub fn on_setup_answered(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    connection: id::Connection,
    (step, refusal): (&Step, Option<&Refusal>),
) {
    let Some(refusal) = refusal else {
        return advance(daemon, now, fx, session, connection);
    };
    let server = daemon.connections.get(&connection).map(|conn| conn.server.clone());
    let Some(server) = server else {
        return;
    };
    log_refused_step(daemon, fx, session, connection, (step, refusal));
    if has_started(daemon, session) {
        return fail_transaction(daemon, now, fx, session, refusal.name());
    }
    detach(daemon, now, fx, session, connection);
    retry(daemon, now, fx, session, &server, refusal.name());
}

/// Whether a statement of a session's transaction was sent, so that it can only go on where it runs.
fn has_started(daemon: &Daemon, session: id::Session) -> bool {
    let state = daemon.sessions.get(&session);
    state.is_some_and(|state| matches!(&state.transaction, Transaction::Open(open) if open.started))
}

/// Logs a refused setup command with the state of the session's transaction.
fn log_refused_step(
    daemon: &Daemon,
    fx: &mut Effects,
    session: id::Session,
    connection: id::Connection,
    (step, refusal): (&Step, &Refusal),
) {
    fx.count("gcl_setup_refused", step.name());
    let state = daemon.sessions.get(&session);
    let Some(request) = state.and_then(|state| state.request.as_ref()) else {
        return;
    };
    let server = daemon.connections.get(&connection).map(|conn| conn.server.clone());
    let line = Line::failure("setup refused by the server").with("request", &request.query.id);
    let line = line.with("server", server.unwrap_or_default()).with("connection", connection);
    let line = line.with("step", step.name()).with("reason", refusal.name());
    fx.log(line.with("transaction_started", has_started(daemon, session)));
}

/// Releases the connection of a session that continues without it.
fn detach(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    connection: id::Connection,
) {
    if let Some(state) = daemon.sessions.get_mut(&session)
        && let Transaction::Open(open) = &mut state.transaction
    {
        open.connection = None;
    }
    pool::release(daemon, now, fx, connection);
}
