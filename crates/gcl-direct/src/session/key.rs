//! Keys that open sessions: at login, and when a new configuration no longer has them.

use super::{DRAINING_RETRY, NO_CONFIG_RETRY, Session, forget, refuse_and_close};
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
        let fault = Fault::new(Code::Draining, "the daemon stops").retry_after(DRAINING_RETRY);
        return refuse_and_close(daemon, now, fx, session, fault);
    }
    match admit_key(daemon.config.as_deref(), &service, &key) {
        Ok(workspace) => {
            let entry = Session { service, key, workspace, ..Session::default() };
            fx.reply(session, vec![entry.ready()]);
            daemon.sessions.insert(session, entry);
        }
        Err(fault) => {
            let version = daemon.config.as_ref().map_or(0, |config| config.version);
            let line = Line::failure("login refused").with("session", session);
            fx.log(line.with("service", &service).with("version", version).with("fault", &fault));
            refuse_and_close(daemon, now, fx, session, fault);
        }
    }
}

/// The workspace that a key opens at a service, empty on a public route.
///
/// # Errors
/// The service has no route, or the key opens nothing.
pub fn admit_key(config: Option<&Config>, service: &str, key: &str) -> Result<id::Workspace> {
    let Some(config) = config else {
        let fault = Fault::new(Code::StaleConfiguration, "no configuration was read yet");
        return Err(fault.retry_after(NO_CONFIG_RETRY));
    };
    let route = config.routes.get(service);
    let route = route.ok_or_else(|| Fault::new(Code::UnknownService, "no route has this name"))?;
    if route.public {
        return Ok(id::Workspace::default());
    }
    let workspace = config.keys.get(key).cloned();
    workspace.ok_or_else(|| Fault::new(Code::WrongKey, "no workspace has this key"))
}

/// Ends a session whose key was withdrawn, and rolls back its transaction.
pub fn end_withdrawn(
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
        forget(daemon, now, fx, session);
    }
}

/// Ends the sessions whose key a new configuration no longer has. Those with a statement or a
/// transaction under way are told with their next statement.
pub fn on_config(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let config = daemon.config.clone();
    let withdrawn = daemon.sessions.iter().filter(|(_, entry)| {
        let admitted = admit_key(config.as_deref(), &entry.service, &entry.key);
        entry.is_idle()
            && entry.guest.is_none()
            && admitted.is_err_and(|fault| fault.code == Code::WrongKey)
    });
    let withdrawn: Vec<_> = withdrawn.map(|(name, _)| *name).collect();
    for session in withdrawn {
        end_withdrawn(daemon, now, fx, session, None);
    }
}
