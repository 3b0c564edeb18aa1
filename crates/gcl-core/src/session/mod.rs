//! A caller's connection at its entry: login, messages, options and the session's floor.

use crate::{
    batch::{Batch, Status},
    caller::{Effect, Event, Reply},
    code::{Code, Fault},
    effect::Effects,
    id, key,
    mark::Mark,
    request::{self, Submit},
    run::Outcome,
    state::State as Daemon,
    statement::{self, Options},
    time::Now,
};
use compact_str::CompactString;
use indexmap::IndexMap;

/// One caller's connection.
#[derive(Clone, Debug, Default)]
pub struct Session {
    /// The workspace, once the key was accepted.
    pub workspace: id::Workspace,
    /// The public half of the key, empty on open routes.
    pub key: id::Key,
    /// The database service.
    pub service: id::Service,
    /// Options of the session.
    pub options: Options,
    /// The last acknowledged write seen, by database.
    pub floor: IndexMap<id::Database, Mark>,
    /// Variables that the caller set.
    pub variables: IndexMap<CompactString, CompactString>,
    /// The transaction status.
    pub status: Status,
    /// Whether the login is complete.
    pub welcome: bool,
}

/// The callers' connections.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The sessions by id.
    pub sessions: IndexMap<id::Session, Session>,
}

/// Acts on a caller's event.
pub fn on_event(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    event: Event,
) {
    match event {
        Event::Opened { .. } => {
            daemon.session.sessions.insert(session, Session::default());
        }
        Event::Startup(parameters) => on_startup(daemon, fx, session, parameters),
        Event::Password(secret) => on_password(daemon, fx, session, &secret),
        Event::Query(sql) => on_query(daemon, now, fx, session, sql),
        Event::Terminate | Event::Closed => {
            daemon.session.sessions.swap_remove(&session);
            request::on_session_closed(daemon, now, fx, session);
        }
        _ => fx.reply(
            session,
            vec![Reply::Error {
                fault: Fault::new(Code::NotSupported, "the message is not supported"),
                fatal: false,
            }],
        ),
    }
}

fn on_startup(
    daemon: &mut Daemon,
    fx: &mut Effects,
    id: id::Session,
    parameters: Vec<(CompactString, CompactString)>,
) {
    let Some(session) = daemon.session.sessions.get_mut(&id) else {
        return;
    };
    for (name, value) in parameters {
        match name.as_str() {
            "user" => session.workspace = value,
            "database" => session.service = value,
            _ => {}
        }
    }
    fx.reply(id, vec![Reply::AskPassword]);
}

fn on_password(
    daemon: &mut Daemon,
    fx: &mut Effects,
    id: id::Session,
    secret: &crate::caller::Secret,
) {
    let Some(session) = daemon.session.sessions.get_mut(&id) else {
        return;
    };
    match key::authenticate(&daemon.config.snapshot, &session.workspace, secret) {
        Ok(key) => {
            session.key = key;
            session.welcome = true;
            fx.reply(
                id,
                vec![
                    Reply::Welcome,
                    Reply::Parameter("server_version".into(), "16.0".into()),
                    Reply::Parameter("client_encoding".into(), "UTF8".into()),
                    Reply::Ready(Status::Idle),
                ],
            );
        }
        Err(fault) => {
            fx.reply(id, vec![Reply::Error { fault, fatal: true }]);
            fx.caller(id, Effect::Close);
        }
    }
}

fn on_query(daemon: &mut Daemon, now: Now, fx: &mut Effects, id: id::Session, sql: String) {
    let Some(session) = daemon.session.sessions.get(&id).filter(|session| session.welcome) else {
        fx.caller(id, Effect::Close);
        return;
    };
    let submit = Submit {
        session: id,
        workspace: session.workspace.clone(),
        key: session.key.clone(),
        service: session.service.clone(),
        class: statement::classify(&sql),
        options: session.options.clone(),
        floor: session.floor.clone(),
        variables: Vec::new(),
        batch: Batch::Simple(sql),
    };
    request::submit(daemon, now, fx, submit);
}

/// Takes the final outcome of a session's request.
pub fn on_outcome(
    daemon: &mut Daemon,
    _now: Now,
    fx: &mut Effects,
    id: id::Session,
    database: &id::Database,
    outcome: Outcome,
) {
    let Some(session) = daemon.session.sessions.get_mut(&id) else {
        return;
    };
    match outcome {
        Outcome::Done { frames, status, mark } => {
            session.status = status;
            if let Some(mark) = mark {
                let floor = session.floor.entry(database.clone()).or_default();
                *floor = mark.max(*floor);
            }
            fx.reply(id, vec![Reply::Frames(frames), Reply::Ready(status)]);
        }
        Outcome::NotRun(fault) | Outcome::Unknown(fault) => {
            let status = session.status;
            fx.reply(id, vec![Reply::Error { fault, fatal: false }, Reply::Ready(status)]);
        }
    }
}

/// Ends sessions whose key is no longer good.
pub fn on_config(_daemon: &mut Daemon, _now: Now, _fx: &mut Effects) {}

/// Acts on a login or idle timer.
pub fn on_timer(_daemon: &mut Daemon, _now: Now, _fx: &mut Effects, _session: id::Session) {}

/// Ends idle sessions and lets the others finish.
pub fn drain(_daemon: &mut Daemon, _now: Now, _fx: &mut Effects) {}
