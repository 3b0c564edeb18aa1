//! Authentication of sessions by key, and closing of sessions whose key was withdrawn.

use super::{DRAINING_RETRY_AFTER, NO_CONFIG_RETRY_AFTER, Session, refuse_and_close, remove};
use crate::{
    config::Config, drain, effect::Effects, line::Line, state::State as Daemon, statement::Query,
};
use compact_str::CompactString;
use gcl_core::{
    code::{Code, Fault, Result},
    id,
    time::Now,
};

pub(super) fn login(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    service: id::Service,
    key: CompactString,
) {
    if daemon.sessions.contains_key(&session) {
        let fault = Fault::new(Code::Protocol, "a session logs in once");
        return refuse_and_close(daemon, now, fx, session, fault);
    }
    if !drain::accepts_work(daemon, now) {
        let fault =
            Fault::new(Code::Draining, "the daemon stops").retry_after(DRAINING_RETRY_AFTER);
        return refuse_and_close(daemon, now, fx, session, fault);
    }
    match authenticate(daemon.config.as_deref(), &service, &key) {
        Ok(workspace) => {
            let state = Session { service, key, workspace, ..Session::default() };
            fx.reply(session, vec![state.ready()]);
            daemon.sessions.insert(session, state);
        }
        Err(fault) => {
            let version = daemon.config.as_ref().map_or(0, |config| config.version);
            let line = Line::failure("login refused").with("session", session);
            fx.log(line.with("service", &service).with("version", version).with("fault", &fault));
            refuse_and_close(daemon, now, fx, session, fault);
        }
    }
}

/// Finds the workspace of a key at a service; it is empty on a public route.
///
/// # Errors
/// No configuration was read yet, the service has no route, or no workspace has the key.
pub fn authenticate(config: Option<&Config>, service: &str, key: &str) -> Result<id::Workspace> {
    let Some(config) = config else {
        let fault = Fault::new(Code::StaleConfiguration, "no configuration was read yet");
        return Err(fault.retry_after(NO_CONFIG_RETRY_AFTER));
    };
    let route = config.routes.get(service);
    let route = route.ok_or_else(|| Fault::new(Code::UnknownService, "no route has this name"))?;
    if route.public {
        return Ok(id::Workspace::default());
    }
    let workspace = config.keys.get(key).cloned();
    workspace.ok_or_else(|| Fault::new(Code::WrongKey, "no workspace has this key"))
}

/// Closes a session whose key was withdrawn, and rolls back its transaction. A `query` is answered
/// with a fault first.
pub fn close_withdrawn(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
    query: Option<&Query>,
) {
    let version = daemon.config.as_ref().map_or(0, |config| config.version);
    let line = Line::state_change("session ended: key withdrawn").with("session", session);
    let line = line.with("version", version);
    fx.count("gcl_key_withdrawn", "");
    if let Some(query) = query {
        fx.log(line.with("request", &query.id));
        let fault = Fault::new(Code::KeyWithdrawn, "the key was withdrawn");
        refuse_and_close(daemon, now, fx, session, fault);
    } else {
        fx.log(line);
        fx.close_caller(session);
        remove(daemon, now, fx, session);
    }
}

/// Closes the idle sessions whose key is not in the new configuration. Those with a statement or a
/// transaction in progress are closed on their next statement.
pub fn on_config(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let config = daemon.config.clone();
    let withdrawn = daemon.sessions.iter().filter(|(_, state)| {
        let admitted = authenticate(config.as_deref(), &state.service, &state.key);
        state.is_idle()
            && state.origin.is_none()
            && admitted.is_err_and(|fault| fault.code == Code::WrongKey)
    });
    let withdrawn: Vec<_> = withdrawn.map(|(session, _)| *session).collect();
    for session in withdrawn {
        close_withdrawn(daemon, now, fx, session, None);
    }
}
