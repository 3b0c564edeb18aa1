//! Authentication of sessions by key, and sessions whose key was withdrawn or given to another
//! workspace.

use super::{
    DRAINING_RETRY_AFTER, NO_CONFIG_RETRY_AFTER, Session, Transaction, refuse_and_close, remove,
};
use crate::{
    config::{Config, Route},
    drain,
    effect::Effects,
    line::Line,
    state::State as Daemon,
    statement::Query,
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
fn authenticate(config: Option<&Config>, service: &str, key: &str) -> Result<id::Workspace> {
    let Some(config) = config else {
        let fault = Fault::new(Code::StaleConfiguration, "no configuration was read yet");
        return Err(fault.retry_after(NO_CONFIG_RETRY_AFTER));
    };
    let route = config.routes.get(service);
    let route = route.ok_or_else(|| Fault::new(Code::UnknownService, "no route has this name"))?;
    workspace_of(config, route, key)
}

/// The workspace of a key on a route.
fn workspace_of(config: &Config, route: &Route, key: &str) -> Result<id::Workspace> {
    if route.public {
        return Ok(id::Workspace::default());
    }
    let workspace = config.keys.get(key).cloned();
    workspace.ok_or_else(|| Fault::new(Code::WrongKey, "no workspace has this key"))
}

/// The workspace of a session's key in the current configuration, on the route of its transaction or
/// else of its service. It remains what it was if there is no such route.
fn current_workspace(daemon: &Daemon, state: &Session) -> Result<id::Workspace> {
    let Some(config) = &daemon.config else {
        return Ok(state.workspace.clone());
    };
    let route = match &state.transaction {
        Transaction::Open(open) => Some(&open.route),
        _ => config.routes.get(&state.service),
    };
    route.map_or_else(
        || Ok(state.workspace.clone()),
        |route| workspace_of(config, route, &state.key),
    )
}

/// Checks a session's key before its next statement. If the key has changed its workspace, so does
/// the session, and a transaction that has run for the earlier one is rolled back.
///
/// # Errors
/// [`Code::WrongKey`] if the key was withdrawn.
pub(super) fn recheck(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    session: id::Session,
) -> Result<()> {
    // The entry checks the keys of the statements that it forwards.
    let Some(state) = daemon.sessions.get(&session).filter(|state| state.origin.is_none()) else {
        return Ok(());
    };
    let workspace = current_workspace(daemon, state)?;
    if workspace == state.workspace {
        return Ok(());
    }
    let version = daemon.config.as_ref().map_or(0, |config| config.version);
    let line = Line::state_change("session changes its workspace").with("session", session);
    let line = line.with("from", &state.workspace).with("to", &workspace);
    fx.log(line.with("version", version));
    fx.count("gcl_key_moved", "");
    if matches!(&state.transaction, Transaction::Open(open) if open.has_run()) {
        super::fail_transaction(daemon, now, fx, session, "the key has changed its workspace");
    }
    if let Some(state) = daemon.sessions.get_mut(&session) {
        state.workspace = workspace;
    }
    Ok(())
}

/// Closes a session whose key was withdrawn, and rolls back its transaction. A `query` is answered
/// with a fault first.
pub(super) fn close_withdrawn(
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
