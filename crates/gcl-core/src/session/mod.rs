//! A caller's connection at its entry (the daemon that accepted it): login, messages, options and
//! the session's floor (the log positions that its reads require).
//!
//! A session runs one batch at a time and queues what the caller sends meanwhile. Responses
//! therefore leave in the order of the messages, and each is matched to the batch it belongs to.

mod login;
mod message;
mod option;
mod queue;
mod reply;

use crate::{
    batch::Status,
    caller::{Effect, Event, Reply},
    code::{Code, Fault},
    effect::Effects,
    id,
    record::{self, Line},
    request, route,
    run::Outcome,
    state::State as Daemon,
    statement::Options,
    time::Now,
    timer,
    token::Floor,
};
use compact_str::CompactString;
use indexmap::IndexMap;
use std::time::Duration;

/// The phase of a session's login.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// Awaiting the startup packet.
    #[default]
    Startup,
    /// Awaiting the key.
    Password,
    /// Accepting requests.
    Open,
}

/// The session of a caller's connection.
#[derive(Clone, Debug, Default)]
pub struct Session {
    /// The workspace named in the startup packet, verified once the login is complete.
    pub workspace: id::Workspace,
    /// The public half of the key, empty on open routes.
    pub key: id::Key,
    /// The database service.
    pub service: id::Service,
    /// Options of the session.
    pub options: Options,
    /// The newest log position that the session has seen, by database.
    pub floor: Floor,
    /// Server variables that the caller set.
    pub variables: IndexMap<CompactString, CompactString>,
    /// The transaction status.
    pub status: Status,
    phase: Phase,
    /// The secret that a cancel request must present.
    secret: i32,
    /// When the last message was received or the last batch completed.
    last_active: Duration,
    prepared: message::Prepared,
    queue: queue::Queue,
}

impl Session {
    /// Whether no batch is running or queued and no transaction is open.
    fn is_idle(&self) -> bool {
        self.queue.is_idle() && matches!(self.status, Status::Idle)
    }
}

/// The sessions of this daemon.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The sessions by id.
    pub sessions: IndexMap<id::Session, Session>,
}

/// Handles an event on a caller's connection.
pub fn on_event(daemon: &mut Daemon, now: Now, fx: &mut Effects, id: id::Session, event: Event) {
    if let Some(session) = daemon.session.sessions.get_mut(&id) {
        session.last_active = now.mono;
    }
    match event {
        Event::Opened { .. } => login::on_opened(daemon, now, fx, id),
        Event::Refused { address, code } => login::on_refused(fx, id, address, code),
        Event::Startup(parameters) => login::on_startup(daemon, now, fx, id, parameters),
        Event::Password(credential) => login::on_password(daemon, now, fx, id, &credential),
        Event::Cancel { process, secret } => on_cancel(daemon, now, fx, process, secret),
        Event::Terminate | Event::Closed => remove(daemon, now, fx, id),
        Event::Malformed(what) => {
            end(daemon, now, fx, id, &Fault::new(Code::Protocol, what));
        }
        Event::Oversized(bytes) => {
            let detail = compact_str::format_compact!("a message of {bytes} bytes");
            end(daemon, now, fx, id, &Fault::new(Code::TooLarge, detail));
        }
        event => message::on_message(daemon, now, fx, id, event),
    }
}

fn on_cancel(daemon: &mut Daemon, now: Now, fx: &mut Effects, process: i32, secret: i32) {
    let Ok(id) = id::Session::try_from(process) else { return };
    let session = daemon.session.sessions.get(&id);
    let authorized = session.is_some_and(|session| session.secret == secret);
    if authorized {
        request::cancel(daemon, now, fx, id);
    }
}

/// Removes a session, and cancels its requests and open transaction.
fn remove(daemon: &mut Daemon, now: Now, fx: &mut Effects, id: id::Session) {
    let Some(session) = daemon.session.sessions.swap_remove(&id) else { return };
    let timer = match session.phase {
        Phase::Open => timer::Key::Idle(id),
        Phase::Startup | Phase::Password => timer::Key::Login(id),
    };
    fx.cancel(timer);
    request::on_session_closed(daemon, now, fx, id);
}

/// Ends a session with a fatal error.
fn end(daemon: &mut Daemon, now: Now, fx: &mut Effects, id: id::Session, fault: &Fault) {
    let Some(session) = daemon.session.sessions.get(&id) else { return };
    let kind = if session.phase == Phase::Open {
        record::Kind::Refusal
    } else {
        fx.count("goldcrest_logins_total", "refused", 1);
        record::Kind::Login
    };
    fx.record(refusal_line(session, id, kind, fault));
    fx.reply(id, vec![Reply::Error { fault: fault.clone(), fatal: true }]);
    fx.caller(id, Effect::Close);
    remove(daemon, now, fx, id);
}

fn refusal_line(session: &Session, id: id::Session, kind: record::Kind, fault: &Fault) -> Line {
    Line {
        code: Some(fault.code),
        workspace: session.workspace.clone(),
        key: session.key.clone(),
        session: Some(id),
        reason: fault.detail.clone(),
        ..Line::new(kind)
    }
}

/// Handles the final outcome of a session's request.
pub fn on_outcome(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    id: id::Session,
    database: &id::Database,
    outcome: Outcome,
) {
    queue::on_outcome(daemon, now, fx, id, database, outcome);
}

/// Ends sessions whose key or open route is no longer valid in the configuration.
pub fn on_config(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let sessions = daemon.session.sessions.iter();
    let open = sessions.filter(|(_, session)| session.phase == Phase::Open);
    let ended: Vec<(id::Session, Fault)> =
        open.filter_map(|(id, session)| Some((*id, check_key(daemon, session).err()?))).collect();
    for (id, fault) in ended {
        end(daemon, now, fx, id, &fault);
    }
}

/// Checks that a session's key, or its open route, is still valid.
fn check_key(daemon: &Daemon, session: &Session) -> crate::code::Result<()> {
    let snapshot = &daemon.config.snapshot;
    if session.key.is_empty() {
        return if route::admits_without_key(snapshot, &session.workspace, &session.service) {
            Ok(())
        } else {
            Err(Fault::new(Code::WrongKey, "the route is not open any more"))
        };
    }
    let key = snapshot.keys.get(&session.key).map(|key| &key.value);
    let good = key.is_some_and(|key| !key.withdrawn && key.workspace == session.workspace);
    if good && snapshot.workspaces.contains_key(&session.workspace) {
        return Ok(());
    }
    Err(Fault::new(Code::KeyWithdrawn, "the key was withdrawn"))
}

/// Handles a login or idle timer.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, id: id::Session) {
    let Some(session) = daemon.session.sessions.get(&id) else { return };
    if session.phase != Phase::Open {
        let fault = Fault::new(Code::LoginTimeout, "the login was not completed in time");
        return end(daemon, now, fx, id, &fault);
    }
    if daemon.draining {
        return end(daemon, now, fx, id, &draining());
    }
    let timeout = Duration::from_millis(daemon.settings.bounds.idle_ms);
    let due = session.last_active + timeout;
    if due > now.mono || !session.queue.is_idle() {
        return fx.arm(timer::Key::Idle(id), due.max(now.mono + timeout / 2));
    }
    end(daemon, now, fx, id, &Fault::new(Code::IdleTimeout, "the session was idle for too long"));
}

/// Ends sessions that are idle or still logging in, and gives the others until the drain deadline
/// to finish.
pub fn drain(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let deadline = now.mono + Duration::from_millis(daemon.settings.bounds.drain_ms);
    let sessions: Vec<id::Session> = daemon.session.sessions.keys().copied().collect();
    for id in sessions {
        let Some(session) = daemon.session.sessions.get(&id) else { continue };
        match session.phase {
            Phase::Open if !session.is_idle() => fx.arm(timer::Key::Idle(id), deadline),
            _ => end(daemon, now, fx, id, &draining()),
        }
    }
}

fn draining() -> Fault {
    Fault::new(Code::Draining, "connect again to reach another daemon")
}
