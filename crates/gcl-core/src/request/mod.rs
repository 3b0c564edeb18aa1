//! A request at its entry: admission, placement, tries, and its one outcome.

use crate::{
    batch::{Batch, Status},
    code::{Code, Fault, Result},
    effect::Effects,
    group::{self, Need},
    home, id,
    limit::{self, Admission},
    mark::Mark,
    member, peer,
    record::{self, Line},
    route::{self, Place},
    run::{Answer, Outcome, Run, Scope},
    session,
    state::State as Daemon,
    statement::{Class, Options},
    time::Now,
    timer,
};
use compact_str::CompactString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Messages between entry and home beside `Run` and `Answer`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Cancels a request.
    Cancel(id::Request),
    /// Rolls back and releases a transaction whose session ended.
    Release(id::Transaction),
    /// Asks a home what became of a request; a home that never started it refuses it from then on.
    AskFate {
        /// The request.
        request: id::Request,
        /// The last try that was sent to this home.
        attempt: u32,
        /// Time since the first try was sent to this home.
        age: Duration,
    },
    /// Answers [`Message::AskFate`]; a request that has ended is answered by its `Answer` again.
    Fate {
        /// The request.
        request: id::Request,
        /// What the home knows of it.
        fate: Fate,
    },
}

/// What a home knows of a request that has no answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// It is queued or running; its answer will come.
    Running,
    /// It was never started here, and the tries asked about can no longer be.
    NeverSeen,
    /// The home does not remember so far back, or no longer has the answer: it may have run.
    Forgotten,
}

/// A caller's request, as its session hands it in.
#[derive(Clone, Debug)]
pub struct Submit {
    /// The session.
    pub session: id::Session,
    /// The workspace.
    pub workspace: id::Workspace,
    /// The public half of the key, empty on open routes.
    pub key: id::Key,
    /// The database service.
    pub service: id::Service,
    /// What the statement does.
    pub class: Class,
    /// What the caller asks of the proxy.
    pub options: Options,
    /// The session's floor.
    pub floor: IndexMap<id::Database, Mark>,
    /// Session variables to set first.
    pub variables: Vec<(CompactString, CompactString)>,
    /// The messages to run.
    pub batch: Batch,
}

/// A request that has no outcome yet.
#[derive(Clone, Debug)]
struct Pending {
    submit: Submit,
    place: Place,
    scope: Scope,
    attempt: u32,
    deadline: Duration,
    home: id::Daemon,
    server: id::Server,
}

/// Where a session's open transaction lives.
#[derive(Clone, Debug)]
struct Open {
    transaction: id::Transaction,
    place: Place,
    home: id::Daemon,
    server: id::Server,
}

/// The requests and open transactions of this entry.
#[derive(Clone, Debug, Default)]
pub struct State {
    pending: IndexMap<id::Request, Pending>,
    open: IndexMap<id::Session, Open>,
}

/// Takes a request; its outcome comes by [`session::on_outcome`].
pub fn submit(daemon: &mut Daemon, now: Now, fx: &mut Effects, submit: Submit) {
    let request = daemon.counters.request();
    let route_key = submit.options.route.clone().unwrap_or_else(|| submit.workspace.clone());
    let snapshot = &daemon.config.snapshot;
    let place = match daemon.request.open.get(&submit.session) {
        Some(open) => Ok(open.place.clone()),
        None => route::place(snapshot, &submit.workspace, &submit.service, &route_key),
    };
    let place = match place {
        Ok(place) => place,
        Err(fault) => return refuse(daemon, now, fx, request, &submit, fault),
    };
    let timeout = submit.options.timeout.unwrap_or_else(|| daemon.settings.request_timeout());
    let workspace = submit.workspace.clone();
    let pending = Pending {
        scope: scope(daemon, &submit),
        submit,
        place,
        attempt: 0,
        deadline: now.mono + timeout,
        home: id::Daemon::default(),
        server: id::Server::default(),
    };
    fx.arm(timer::Key::Deadline(request), pending.deadline);
    daemon.request.pending.insert(request, pending);
    match limit::admit(daemon, now, fx, &workspace, request) {
        Admission::Granted => on_admission(daemon, now, fx, request, Ok(())),
        Admission::Refused(fault) => on_admission(daemon, now, fx, request, Err(fault)),
        Admission::Waiting => {}
    }
}

fn scope(daemon: &Daemon, submit: &Submit) -> Scope {
    match daemon.request.open.get(&submit.session) {
        Some(open) => Scope::Within(open.transaction),
        None if matches!(submit.class, Class::Begin { .. }) => Scope::Begin,
        None => Scope::Single,
    }
}

/// Takes the word of the limits on a request.
pub fn on_admission(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    admission: Result<()>,
) {
    match admission {
        Ok(()) => attempt(daemon, now, fx, request),
        Err(fault) => finish(daemon, now, fx, request, Outcome::NotRun(fault)),
    }
}

fn attempt(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request) {
    match dispatch(daemon, now, fx, request) {
        Ok(()) => {}
        Err(fault) => finish(daemon, now, fx, request, Outcome::NotRun(fault)),
    }
}

fn dispatch(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request) -> Result<()> {
    let Some(pending) = daemon.request.pending.get(&request).cloned() else {
        return Ok(());
    };
    let need = need(&pending);
    let choice = group::choose(daemon, now, fx, &pending.place.database, need)?;
    let open = daemon.request.open.get(&pending.submit.session);
    let (server, home) = if let Some(open) = open {
        (open.server.clone(), open.home.clone())
    } else {
        let home = member::home(daemon, &choice.server)
            .ok_or_else(|| Fault::new(Code::HomeLost, "no daemon lives to serve the server"))?;
        (choice.server, home)
    };
    let run = Run {
        request,
        attempt: pending.attempt + 1,
        workspace: pending.submit.workspace.clone(),
        database: pending.place.database.clone(),
        server: server.clone(),
        revision: pending.place.revision,
        access: choice.access,
        scope: pending.scope,
        ends: matches!(pending.submit.class, Class::Commit | Class::Rollback),
        variables: pending.submit.variables.clone(),
        batch: pending.submit.batch.clone(),
        idempotency: pending.submit.options.request,
        repeatable: pending.submit.options.repeatable.unwrap_or(false),
        budget: pending.deadline.saturating_sub(now.mono),
    };
    fx.record(Line {
        workspace: run.workspace.clone(),
        key: pending.submit.key.clone(),
        session: Some(pending.submit.session),
        request: record::request(request),
        rule: pending.place.rule.clone(),
        revision: Some(run.revision),
        database: run.database.clone(),
        server: server.clone(),
        reason: choice.reason.into(),
        ..Line::new(record::Kind::Route)
    });
    member::send(daemon, fx, &home, peer::Message::Run(Box::new(run)));
    if let Some(pending) = daemon.request.pending.get_mut(&request) {
        pending.attempt += 1;
        pending.home = home;
        pending.server = server;
    }
    Ok(())
}

fn need(pending: &Pending) -> Need {
    let max_age = pending.submit.options.max_age.unwrap_or(pending.place.max_age);
    match pending.submit.class {
        Class::Read | Class::Call | Class::Begin { read_only: true } if !max_age.is_zero() => {
            let floor = pending.submit.floor.get(&pending.place.database).copied();
            Need::Aged { floor, max_age }
        }
        Class::Read => Need::Strong,
        _ => Need::Write,
    }
}

/// Takes a home's answer.
pub fn on_answer(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    _from: &id::Daemon,
    answer: Answer,
) {
    let Some(pending) = daemon.request.pending.get(&answer.request) else {
        return;
    };
    if pending.attempt != answer.attempt {
        return;
    }
    let database = pending.place.database.clone();
    if let Some(leader) = answer.leader {
        group::on_leader(daemon, &database, leader);
    }
    finish(daemon, now, fx, answer.request, answer.outcome);
}

fn finish(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request, outcome: Outcome) {
    let Some(pending) = daemon.request.pending.swap_remove(&request) else {
        return;
    };
    fx.cancel(timer::Key::Deadline(request));
    track(daemon, request, &pending, &outcome);
    let session = pending.submit.session;
    session::on_outcome(daemon, now, fx, session, &pending.place.database, outcome);
}

fn track(daemon: &mut Daemon, request: id::Request, pending: &Pending, outcome: &Outcome) {
    let session = pending.submit.session;
    match outcome {
        Outcome::Done { status: Status::Idle, .. } => {
            daemon.request.open.swap_remove(&session);
        }
        Outcome::Done { .. } if !daemon.request.open.contains_key(&session) => {
            let open = Open {
                transaction: request,
                place: pending.place.clone(),
                home: pending.home.clone(),
                server: pending.server.clone(),
            };
            daemon.request.open.insert(session, open);
        }
        _ => {}
    }
}

fn refuse(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    submit: &Submit,
    fault: Fault,
) {
    fx.record(Line {
        code: Some(fault.code),
        workspace: submit.workspace.clone(),
        session: Some(submit.session),
        request: record::request(request),
        reason: fault.detail.clone(),
        ..Line::new(record::Kind::Refusal)
    });
    let none = id::Database::default();
    session::on_outcome(daemon, now, fx, submit.session, &none, Outcome::NotRun(fault));
}

/// Refuses or ends a request whose deadline passed.
pub fn on_deadline(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request) {
    let fault = Fault::new(Code::OutcomeUnknown, "no answer came before the deadline");
    finish(daemon, now, fx, request, Outcome::Unknown(fault));
}

/// Tries a request again.
pub fn on_retry(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request) {
    attempt(daemon, now, fx, request);
}

/// Cancels what a session is running.
pub fn cancel(daemon: &mut Daemon, _now: Now, fx: &mut Effects, session: id::Session) {
    let pending = daemon.request.pending.iter();
    let running = pending.filter(|(_, pending)| pending.submit.session == session);
    for (request, pending) in running {
        let message = peer::Message::Request(Message::Cancel(*request));
        member::send(daemon, fx, &pending.home, message);
    }
}

/// Gives up what a closed session has open.
pub fn on_session_closed(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    cancel(daemon, now, fx, session);
    if let Some(open) = daemon.request.open.swap_remove(&session) {
        let message = peer::Message::Request(Message::Release(open.transaction));
        member::send(daemon, fx, &open.home, message);
    }
}

/// Acts on a message between entry and home.
pub fn on_message(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    message: &Message,
) {
    match message {
        Message::Cancel(request) => home::on_cancel(daemon, now, fx, from, *request),
        Message::Release(transaction) => home::on_release(daemon, now, fx, from, *transaction),
        Message::AskFate { request, attempt, age } => {
            home::on_ask_fate(daemon, now, fx, from, (*request, *attempt), *age);
        }
        Message::Fate { request, fate } => on_fate(daemon, now, fx, from, *request, *fate),
    }
}

/// Takes a home's word on the fate of a request.
fn on_fate(
    _daemon: &mut Daemon,
    _now: Now,
    _fx: &mut Effects,
    _from: &id::Daemon,
    _request: id::Request,
    _fate: Fate,
) {
}

/// Tries again what waits for a leader of a database.
pub fn on_leader_change(
    _daemon: &mut Daemon,
    _now: Now,
    _fx: &mut Effects,
    _database: &id::Database,
) {
}

/// Resolves what was sent to a lost daemon.
pub fn on_lost(_daemon: &mut Daemon, _now: Now, _fx: &mut Effects, _lost: &id::Daemon) {}

/// Whether work is left that a planned stop has to wait for.
#[must_use]
pub fn busy(daemon: &Daemon) -> bool {
    !daemon.request.pending.is_empty() || !daemon.request.open.is_empty()
}
