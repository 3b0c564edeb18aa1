//! One attempt of a request: chooses a server and sends the request to the server's home.

use super::{Pending, Stage, outcome, retry, transaction};
use crate::{
    code::{Code, Fault, Result},
    effect::Effects,
    group::{self, Choice, Need},
    id, member, peer,
    record::{self, Line},
    run::{Outcome, Run},
    state::State as Daemon,
    statement::Class,
    time::Now,
};

/// Starts an attempt, or handles the refusal if no server or home is available.
pub(super) fn start(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request) {
    let Some(pending) = daemon.request.pending.get(&request) else { return };
    if pending.deadline <= now.mono {
        let fault = Fault::new(Code::Deadline, "the deadline passed before the request was sent");
        return outcome::finish(daemon, now, fx, request, Outcome::NotRun(fault));
    }
    if let Err(fault) = dispatch(daemon, now, fx, request) {
        retry::after_refusal(daemon, now, fx, request, fault);
    }
}

fn dispatch(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request) -> Result<()> {
    let Some(pending) = daemon.request.pending.get(&request) else { return Ok(()) };
    let (choice, home) = match daemon.request.open_transactions.get(&pending.submission.session) {
        Some(transaction) => {
            let (server, access) = (transaction.server.clone(), transaction.access);
            (Choice { server, access, reason: "transaction" }, transaction.home.clone())
        }
        None => choose(daemon, now, fx, request)?,
    };
    send(daemon, now, fx, request, choice, home);
    Ok(())
}

fn choose(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
) -> Result<(Choice, id::Daemon)> {
    let no_home = || Fault::new(Code::HomeLost, "no daemon lives to serve the server");
    let pending = daemon.request.pending.get(&request).ok_or_else(no_home)?;
    let (database, need) = (pending.destination.database.clone(), need(pending));
    if need == Need::Write && !pending.destination.writable {
        return Err(Fault::new(Code::RouteClosed, "the route key is being moved"));
    }
    let mut choice = group::choose(daemon, now, fx, &database, need)?;
    let pending = daemon.request.pending.get(&request).ok_or_else(no_home)?;
    if pending.excluded_servers.contains(&choice.server) {
        choice = group::choose(daemon, now, fx, &database, Need::Strong)?;
    }
    let home = member::home(daemon, &choice.server).ok_or_else(no_home)?;
    Ok((choice, home))
}

fn need(pending: &Pending) -> Need {
    let max_age = pending.submission.options.max_age.unwrap_or(pending.destination.max_age);
    let accepts_age = !max_age.is_zero();
    match pending.submission.class {
        _ if pending.must_write => Need::Write,
        Class::Read | Class::Call | Class::Begin { read_only: true } if accepts_age => {
            let floor = pending.submission.floor.get(&pending.destination.database);
            Need::Bounded { floor, max_age }
        }
        Class::Read | Class::Begin { read_only: true } => Need::Strong,
        _ => Need::Write,
    }
}

fn send(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    choice: Choice,
    home: id::Daemon,
) {
    let Some(pending) = daemon.request.pending.get(&request) else { return };
    let scope = transaction::scope(daemon, &pending.submission);
    let run = Run {
        request,
        attempt: pending.attempt + 1,
        workspace: pending.submission.workspace.clone(),
        database: pending.destination.database.clone(),
        server: choice.server.clone(),
        revision: pending.destination.revision,
        access: choice.access,
        scope,
        ends: matches!(pending.submission.class, Class::Commit | Class::Rollback),
        variables: pending.submission.variables.clone(),
        batch: pending.submission.batch.clone(),
        idempotency: pending.submission.options.request,
        repeatable: pending.is_repeatable(),
        budget: pending.deadline.saturating_sub(now.mono),
    };
    fx.record(route_line(pending, &run, choice.reason));
    member::send(daemon, fx, &home, peer::Message::Run(Box::new(run)));
    if let Some(pending) = daemon.request.pending.get_mut(&request) {
        pending.attempt += 1;
        pending.stage = Stage::Sent;
        pending.access = Some(choice.access);
        pending.home = home;
        pending.server = choice.server;
    }
}

fn route_line(pending: &Pending, run: &Run, reason: &'static str) -> Line {
    Line {
        workspace: run.workspace.clone(),
        key: pending.submission.key.clone(),
        session: Some(pending.submission.session),
        request: record::format_request_id(run.request),
        rule: pending.destination.rule.clone(),
        revision: Some(run.revision),
        database: run.database.clone(),
        server: run.server.clone(),
        reason: reason.into(),
        ..Line::new(record::Kind::Route)
    }
}
