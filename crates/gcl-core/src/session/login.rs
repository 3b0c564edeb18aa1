//! Login: from a new connection to a session that accepts requests.

use super::{Phase, Session, draining, end, option, reply};
use crate::{
    batch::Status,
    caller::{Credential, Effect, Reply},
    code::{Code, Fault, Result},
    effect::Effects,
    id, key,
    record::{self, Line},
    route,
    state::State as Daemon,
    time::Now,
    timer,
};
use compact_str::{CompactString, format_compact};
use std::{net::SocketAddr, time::Duration};

/// The parameters of a startup packet.
type Parameters = Vec<(CompactString, CompactString)>;

/// Handles a new connection and arms its login timer.
pub(super) fn on_opened(daemon: &mut Daemon, now: Now, fx: &mut Effects, id: id::Session) {
    let session = Session { last_active: now.mono, ..Session::default() };
    daemon.session.sessions.insert(id, session);
    let timeout = Duration::from_millis(daemon.settings.bounds.login_ms);
    fx.arm(timer::Key::Login(id), now.mono + timeout);
}

/// Records a connection that the listener refused.
pub(super) fn on_refused(fx: &mut Effects, id: id::Session, address: SocketAddr, code: Code) {
    fx.count("goldcrest_logins_total", "refused", 1);
    fx.record(Line {
        code: Some(code),
        session: Some(id),
        reason: format_compact!("refused a connection from {}", address.ip()),
        ..Line::new(record::Kind::Login)
    });
}

/// Handles the startup packet; requests a key unless the route is open.
pub(super) fn on_startup(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    id: id::Session,
    parameters: Parameters,
) {
    if daemon.draining {
        return end(daemon, now, fx, id, &draining());
    }
    let Some(session) = daemon.session.sessions.get_mut(&id) else { return };
    if session.phase != Phase::Startup {
        let fault = Fault::new(Code::Protocol, "a second startup packet");
        return end(daemon, now, fx, id, &fault);
    }
    if let Err(fault) = apply_parameters(session, parameters) {
        return end(daemon, now, fx, id, &fault);
    }
    if route::admits_without_key(&daemon.config.snapshot, &session.workspace, &session.service) {
        return complete_login(daemon, now, fx, id);
    }
    session.phase = Phase::Password;
    fx.reply(id, vec![Reply::AskPassword]);
}

fn apply_parameters(session: &mut Session, parameters: Parameters) -> Result<()> {
    for (name, value) in parameters {
        match name.as_str() {
            "user" => session.workspace = value,
            "database" => session.service = value,
            "options" => option::set_startup_options(session, &value)?,
            "replication" if matches!(value.as_str(), "false" | "off" | "no" | "0") => {}
            "replication" => return Err(Fault::new(Code::NotSupported, "replication")),
            _ => option::set(session, &name.to_ascii_lowercase(), &value).map(drop)?,
        }
    }
    if session.workspace.is_empty() {
        return Err(Fault::new(Code::Protocol, "the startup packet names no user"));
    }
    if session.service.is_empty() {
        session.service = session.workspace.clone();
    }
    Ok(())
}

/// Handles the key.
pub(super) fn on_password(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    id: id::Session,
    credential: &Credential,
) {
    let Some(session) = daemon.session.sessions.get(&id) else { return };
    if session.phase != Phase::Password {
        let fault = Fault::new(Code::Protocol, "a password that was not asked for");
        return end(daemon, now, fx, id, &fault);
    }
    match authorize(daemon, now, session, credential) {
        Ok(key) => {
            if let Some(session) = daemon.session.sessions.get_mut(&id) {
                session.key = key;
            }
            complete_login(daemon, now, fx, id);
        }
        Err(fault) => end(daemon, now, fx, id, &fault),
    }
}

fn authorize(
    daemon: &Daemon,
    now: Now,
    session: &Session,
    credential: &Credential,
) -> Result<id::Key> {
    let snapshot = &daemon.config.snapshot;
    let key = key::authenticate(snapshot, &session.workspace, credential)?;
    key::check_freshness(daemon, now, &session.workspace)?;
    if !snapshot.services.contains_key(&session.service) {
        return Err(Fault::new(Code::UnknownService, "no such database service"));
    }
    Ok(key)
}

fn complete_login(daemon: &mut Daemon, now: Now, fx: &mut Effects, id: id::Session) {
    let secret = (daemon.random.next() >> 32) as u32;
    let idle = Duration::from_millis(daemon.settings.bounds.idle_ms);
    let Some(session) = daemon.session.sessions.get_mut(&id) else { return };
    session.phase = Phase::Open;
    session.secret = secret.cast_signed();
    fx.cancel(timer::Key::Login(id));
    fx.arm(timer::Key::Idle(id), now.mono + idle);
    fx.count("goldcrest_logins_total", "accepted", 1);
    fx.record(Line {
        workspace: session.workspace.clone(),
        key: session.key.clone(),
        session: Some(id),
        ..Line::new(record::Kind::Login)
    });
    let mut replies = vec![Reply::Welcome];
    replies.extend(option::reported_parameters(session));
    replies.push(reply::token(session));
    // A session id too large for the field is replaced by -1, which identifies no session.
    let process = i32::try_from(id).unwrap_or(-1);
    replies.push(Reply::CancelKey { process, secret: session.secret });
    replies.push(Reply::Ready(Status::Idle));
    fx.caller(id, Effect::Send(replies));
}
