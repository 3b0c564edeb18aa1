//! Statements that this daemon runs as a host for the callers of other daemons.
//!
//! The daemon that forwards a caller's statements is called the entry here, also if it is a host
//! itself. Each operation gets a session here that ends with it. Its context from the session at
//! the entry comes with the operation's first statement. The entry has checked key and route; the
//! workspace's rate is counted here.

use crate::{
    caller::Reply,
    drain,
    effect::Effects,
    line::Line,
    link::{self, Answer, Begin, Call, Response, Run},
    load,
    session::{self, Open, Session, Transaction},
    state::State as Daemon,
};
use gcl_core::{
    batch::Status,
    code::{Code, Fault},
    id,
    time::Now,
};
use indexmap::IndexMap;
use std::{sync::Arc, time::Duration};

/// Set in the ids of these sessions; the shell's counter for sessions of callers never reaches it.
const REMOTE_BIT: u64 = 1 << 63;
/// Upper bound for a statement's timeout; a route with a longer one was corrupted in transit.
const MAX_STATEMENT_TIME: Duration = Duration::from_hours(1);
/// Most operations of other daemons at a time, well above what a host has slots and time for.
const MAX_SESSIONS: usize = 8_192;
/// Retry-after beyond it.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Largest answer that is forwarded to an entry, in bytes of rows.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// The origin of a statement that is run for another daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The stream that it arrived on.
    pub link: link::Id,
    /// The session at the entry.
    pub session: id::Session,
    /// The last [`Run::serial`].
    pub serial: u64,
}

/// Sessions here by stream and session at the entry.
pub type Sessions = IndexMap<(link::Id, id::Session), id::Session>;

/// Runs a statement for an entry.
pub fn on_run(daemon: &mut Daemon, now: Now, fx: &mut Effects, link: link::Id, run: Run) {
    let (remaining, urgency) = (run.remaining, run.urgency);
    let Run { session: entry_session, serial, begin, values, prepared, query, .. } = run;
    let existing = daemon.remote_sessions.get(&(link, entry_session)).copied();
    let origin = Origin { link, session: entry_session, serial };
    let session = match (begin, existing) {
        (None, Some(session)) => session,
        (None, None) => {
            let fault = Fault::new(Code::TransactionLost, "the transaction is not known here");
            return refuse(fx, origin, Status::Failed, fault);
        }
        (Some(begin), stale) => {
            if let Some(stale) = stale {
                session::remove(daemon, now, fx, stale);
            }
            if !drain::accepts_work(daemon, now) {
                let fault = Fault::new(Code::Draining, "the host stops");
                return refuse(fx, origin, Status::Idle, fault);
            }
            if daemon.remote_sessions.len() >= MAX_SESSIONS {
                let fault = Fault::new(Code::QueueFull, "the host runs too many operations");
                return refuse(fx, origin, Status::Idle, fault.retry_after(FULL_RETRY_AFTER));
            }
            open_session(daemon, now, origin, begin)
        }
    };
    let Some(state) = daemon.sessions.get_mut(&session) else {
        return;
    };
    if state.request.is_some() {
        let fault = Fault::new(Code::Protocol, "a statement of the session is under way");
        return refuse(fx, origin, state.transaction.status(), fault);
    }
    state.origin = Some(origin);
    if let Err(fault) = daemon.storage.receive(state, values, prepared, query.text.len()) {
        fx.log(Line::failure("statement refused").with("request", &query.id).with("fault", &fault));
        return session::answer(daemon, now, fx, session, vec![Reply::Error(fault)]);
    }
    let log_line = Line::routine("taken for an entry").with("request", &query.id);
    fx.log(log_line.with("link", link).with("session", session));
    session::run_remote(daemon, now, fx, session, query, (remaining, urgency));
}

fn open_session(daemon: &mut Daemon, now: Now, origin: Origin, begin: Begin) -> id::Session {
    let Begin { workspace, mut route, floor, transaction } = begin;
    if route.timeout > MAX_STATEMENT_TIME || route.target_latency > MAX_STATEMENT_TIME {
        let route = Arc::make_mut(&mut route);
        route.timeout = route.timeout.min(MAX_STATEMENT_TIME);
        route.target_latency = route.target_latency.min(MAX_STATEMENT_TIME);
    }
    let session = daemon.next_id() | REMOTE_BIT;
    let mut state = Session { workspace, origin: Some(origin), ..Session::default() };
    if let Some(floor) = floor {
        state.floors.insert(route.database.clone(), floor);
    }
    state.service.clone_from(&route.rule);
    state.remote_route = Some(Arc::clone(&route));
    if let Some((read_only, age)) = transaction {
        let since = now.mono.saturating_sub(age);
        state.transaction = Transaction::Open(Box::new(Open::new(read_only, route, since, false)));
    }
    daemon.sessions.insert(session, state);
    daemon.remote_sessions.insert((origin.link, origin.session), session);
    session
}

fn refuse(fx: &mut Effects, origin: Origin, status: Status, fault: Fault) {
    let answer = Answer {
        session: origin.session,
        serial: origin.serial,
        replies: vec![Reply::Error(fault)],
        status,
        mark: None,
        floor: None,
        load: None,
    };
    fx.link(Call::Respond(origin.link, Response::Answer(Box::new(answer))));
}

/// Answers a statement of an entry, and removes the session if its operation has ended.
pub fn answer(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    origin: Origin,
    mut replies: Vec<Reply>,
) {
    let Some(state) = daemon.sessions.get(&session) else {
        return;
    };
    if row_bytes(&replies) > MAX_ANSWER_BYTES {
        let fault = Fault::new(Code::AnswerTooLarge, "the rows are too many to pass on");
        replies = vec![Reply::Error(fault)];
    }
    let database = state.remote_route.as_ref().map(|route| &route.database);
    let load = database.and_then(|database| load::of_database(daemon, now, database));
    let answer = Answer {
        session: origin.session,
        serial: origin.serial,
        replies,
        status: state.transaction.status(),
        mark: state.mark,
        floor: state.floors.values().max().copied(),
        load,
    };
    let finished = answer.status != Status::Open;
    fx.link(Call::Respond(origin.link, Response::Answer(Box::new(answer))));
    if finished {
        session::remove(daemon, now, fx, session);
    }
}

fn row_bytes(replies: &[Reply]) -> usize {
    let rows = replies.iter().map(|reply| match reply {
        Reply::Row(row) => row.len(),
        _ => 0,
    });
    rows.sum()
}

/// Handles an entry's request to end what one of its sessions has running here.
pub fn on_abort(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    link: link::Id,
    session: id::Session,
) {
    if let Some(session) = daemon.remote_sessions.get(&(link, session)).copied() {
        session::remove(daemon, now, fx, session);
    }
}

/// Handles the end of an entry's stream: its sessions here end.
pub fn on_stream_closed(daemon: &mut Daemon, now: Now, fx: &mut Effects, link: link::Id) {
    let closed = daemon.remote_sessions.iter().filter(|((from, _), _)| *from == link);
    let closed: Vec<_> = closed.map(|(_, session)| *session).collect();
    for session in closed {
        session::remove(daemon, now, fx, session);
    }
}

/// Removes a session that has ended from the index.
pub fn on_session_removed(daemon: &mut Daemon, origin: Origin) {
    daemon.remote_sessions.swap_remove(&(origin.link, origin.session));
}
