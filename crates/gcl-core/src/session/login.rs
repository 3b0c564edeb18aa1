//! The way from an opened connection to a session that takes requests.

use super::{Phase, Session, draining, end, option, reply};
use crate::{
    batch::Status,
    caller::{Effect, Reply, Secret},
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

/// Takes a new connection.
pub(super) fn on_opened(daemon: &mut Daemon, now: Now, fx: &mut Effects, id: id::Session) {
    let session = Session { active: now.mono, ..Session::default() };
    daemon.session.sessions.insert(id, session);
    let bound = Duration::from_millis(daemon.settings.bounds.login_ms);
    fx.arm(timer::Key::Login(id), now.mono + bound);
}

/// Notes a connection that the listener refused.
pub(super) fn on_refused(fx: &mut Effects, id: id::Session, address: SocketAddr, code: Code) {
    fx.count("goldcrest_logins_total", "refused", 1);
    fx.record(Line {
        code: Some(code),
        session: Some(id),
        reason: format_compact!("refused a connection from {}", address.ip()),
        ..Line::new(record::Kind::Login)
    });
}

/// Takes the startup packet.
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
    if let Err(fault) = take(session, parameters) {
        return end(daemon, now, fx, id, &fault);
    }
    if route::admits_without_key(&daemon.config.snapshot, &session.workspace, &session.service) {
        return welcome(daemon, now, fx, id);
    }
    session.phase = Phase::Password;
    fx.reply(id, vec![Reply::AskPassword]);
}

fn take(session: &mut Session, parameters: Parameters) -> Result<()> {
    for (name, value) in parameters {
        match name.as_str() {
            "user" => session.workspace = value,
            "database" => session.service = value,
            "options" => option::set_all(session, &value)?,
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

/// Takes the key.
pub(super) fn on_password(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    id: id::Session,
    secret: &Secret,
) {
    let Some(session) = daemon.session.sessions.get(&id) else { return };
    if session.phase != Phase::Password {
        let fault = Fault::new(Code::Protocol, "a password that was not asked for");
        return end(daemon, now, fx, id, &fault);
    }
    match admit(daemon, now, session, secret) {
        Ok(key) => {
            if let Some(session) = daemon.session.sessions.get_mut(&id) {
                session.key = key;
            }
            welcome(daemon, now, fx, id);
        }
        Err(fault) => end(daemon, now, fx, id, &fault),
    }
}

fn admit(daemon: &Daemon, now: Now, session: &Session, secret: &Secret) -> Result<id::Key> {
    let snapshot = &daemon.config.snapshot;
    let key = key::authenticate(snapshot, &session.workspace, secret)?;
    key::fresh(daemon, now, &session.workspace)?;
    if !snapshot.services.contains_key(&session.service) {
        return Err(Fault::new(Code::UnknownService, "no such database service"));
    }
    Ok(key)
}

fn welcome(daemon: &mut Daemon, now: Now, fx: &mut Effects, id: id::Session) {
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
    replies.extend(option::reported(session));
    replies.push(reply::token(session));
    // A session whose number has outgrown the field gets one that names no session.
    let process = i32::try_from(id).unwrap_or(-1);
    replies.push(Reply::CancelKey { process, secret: session.secret });
    replies.push(Reply::Ready(Status::Idle));
    fx.caller(id, Effect::Send(replies));
}
