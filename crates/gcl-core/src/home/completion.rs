//! The end of a statement: what its connection is used for next, and when its answer may be sent.

use super::{
    Proof, Stage, Task,
    pool::{Usage, Work},
    task::{cancel_running, dispatch, finish},
    transaction::{self, Transaction},
};
use crate::{
    batch::Status,
    code::{Code, Fault, Result},
    effect::Effects,
    group, id,
    mark::Mark,
    run::{Access, Outcome, Scope},
    server::{Call, Completion},
    state::State as Daemon,
    time::Now,
};
use std::time::Duration;

/// SQLSTATE of a write in a read-only transaction.
const READ_ONLY: &str = "25006";
/// How long past its deadline a cancelled statement may take to end.
const CANCEL_GRACE: Duration = Duration::from_secs(2);
/// How long a connection may take to open or to reset.
const OPEN_OR_RESET_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles the end of a statement. An end that matches no running statement is a late answer; its
/// connection is not used again.
pub fn on_ended(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    (connection, request): (id::Connection, id::Request),
    ended: Completion,
) {
    let Some(work) = take_work(daemon, now, server, connection, request) else {
        return on_unexpected(daemon, now, fx, server, connection, &ended);
    };
    match ended {
        Completion::Answered { frames, status, mark, error } => {
            let kept = release_connection(daemon, now, fx, server, connection, &work, status);
            let refused = error.as_deref() == Some(READ_ONLY) && mark.is_none() && !kept;
            if refused && can_reroute(daemon, request) {
                let fault = Fault::new(Code::ReadOnly, "the statement writes");
                return finish(daemon, now, fx, request, Outcome::NotRun(fault));
            }
            let outcome = Outcome::Done { frames, status, mark };
            answer_or_wait(daemon, now, fx, request, outcome, mark, error.is_some());
        }
        Completion::TooLarge { status, mark } => {
            let work = Work { abandoned: true, ..work };
            release_connection(daemon, now, fx, server, connection, &work, status);
            let fault = Fault::new(Code::AnswerTooLarge, "the statement ran");
            answer_or_wait(daemon, now, fx, request, Outcome::Unknown(fault), mark, false);
        }
        Completion::Lost { sent } => {
            if let Some(pool) = daemon.home.pools.get_mut(server) {
                pool.remove(connection);
            }
            end_use(daemon, now, fx, Usage::Running(work), sent);
        }
    }
}

fn take_work(
    daemon: &mut Daemon,
    now: Now,
    server: &id::Server,
    connection: id::Connection,
    request: id::Request,
) -> Option<Work> {
    let pool = daemon.home.pools.get_mut(server)?;
    let work = match &pool.connections.get(&connection)?.usage {
        Usage::Running(work) if work.request == request => work.clone(),
        _ => return None,
    };
    let took = now.since(work.started);
    let weight = super::weight(daemon, &work.workspace);
    let pool = daemon.home.pools.get_mut(server)?;
    pool.record_service_time(took);
    pool.queue.settle(&work.workspace, weight, work.charged, took);
    Some(work)
}

fn on_unexpected(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    connection: id::Connection,
    ended: &Completion,
) {
    let Some(pool) = daemon.home.pools.get_mut(server) else {
        return;
    };
    if matches!(ended, Completion::Lost { .. }) {
        return on_closed(daemon, now, fx, server, connection);
    }
    let known = pool.connections.get(&connection).map(|known| &known.usage);
    if !matches!(known, None | Some(Usage::Closing(_))) {
        abort_connection(daemon, now, fx, server, connection);
    }
}

/// Closes a connection whose state is unknown, and ends the request or transaction that used it.
fn abort_connection(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    connection: id::Connection,
) {
    let pool = daemon.home.pools.get(server);
    let known = pool.and_then(|pool| pool.connections.get(&connection));
    let Some(usage) = known.map(|known| known.usage.clone()) else {
        return;
    };
    close_connection(daemon, now, fx, server, connection);
    end_use(daemon, now, fx, usage, true);
}

/// Ends what runs on a primary that was replaced. It can no longer be acknowledged, and if the old
/// primary hangs, its callers would wait until their deadlines.
pub fn on_leader_change(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(leader) = group::leader(daemon, database) else {
        return;
    };
    let group = daemon.config.snapshot.group(database);
    let replaced: Vec<id::Server> =
        group.iter().filter(|server| **server != leader.server).cloned().collect();
    for server in replaced {
        for connection in primary_connections(daemon, &server) {
            abort_connection(daemon, now, fx, &server, connection);
        }
        dispatch(daemon, now, fx, &server);
    }
}

/// The connections to a server that run a statement which needs the primary.
fn primary_connections(daemon: &Daemon, server: &id::Server) -> Vec<id::Connection> {
    let Some(pool) = daemon.home.pools.get(server) else {
        return Vec::new();
    };
    let needs_primary = |usage: &Usage| match usage {
        Usage::Running(work) => daemon
            .home
            .tasks
            .get(&work.request)
            .is_some_and(|task| !matches!(task.run.access, Access::Replica { .. })),
        _ => false,
    };
    let connections = pool.connections.iter();
    connections.filter(|(_, held)| needs_primary(&held.usage)).map(|(id, _)| *id).collect()
}

fn close_connection(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    connection: id::Connection,
) {
    if let Some(pool) = daemon.home.pools.get_mut(server) {
        let call = pool.close(now, connection);
        fx.server(server, call);
    }
}

/// Keeps the connection for its transaction, returns it to the pool, or closes it. Returns whether
/// the statement belongs to a transaction.
fn release_connection(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    connection: id::Connection,
    work: &Work,
    status: Status,
) -> bool {
    let ongoing = daemon.home.tasks.contains_key(&work.request) && !work.abandoned;
    if status != Status::Idle && ongoing {
        hold_for_transaction(daemon, now, fx, server, connection, work);
        return true;
    }
    if let Some(name) = work.transaction {
        transaction::remove(daemon, fx, name);
    }
    if status == Status::Idle {
        let pool = daemon.home.pools.get_mut(server);
        if let Some(call) = pool.and_then(|pool| pool.put_back(now, connection)) {
            fx.server(server, call);
        }
    } else {
        close_connection(daemon, now, fx, server, connection);
    }
    work.transaction.is_some()
}

fn hold_for_transaction(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    connection: id::Connection,
    work: &Work,
) {
    let name = work.transaction.unwrap_or(work.request);
    if work.transaction.is_none()
        && let Some(task) = daemon.home.tasks.get(&work.request)
    {
        let transaction = Transaction {
            server: server.clone(),
            connection,
            owner: task.from.clone(),
            workspace: work.workspace.clone(),
            access: task.run.access,
            term: task.term.filter(|_| task.run.access == Access::Write),
            in_flight: None,
        };
        transaction::open(daemon, name, transaction);
    }
    if let Some(pool) = daemon.home.pools.get_mut(server) {
        pool.set_usage(connection, Usage::Held(name));
    }
    transaction::set_idle(daemon, now, fx, name);
}

/// Whether a request may run on another server after a read-only violation: only outside a
/// transaction.
fn can_reroute(daemon: &Daemon, request: id::Request) -> bool {
    daemon.home.tasks.get(&request).is_some_and(|task| task.run.scope == Scope::Single)
}

/// Answers a request at once if its result needs no proof, else waits for the proof or the
/// majority.
fn answer_or_wait(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    outcome: Outcome,
    mark: Option<Mark>,
    failed: bool,
) {
    let Some(task) = daemon.home.tasks.get_mut(&request) else {
        return;
    };
    task.stage = Stage::Executed;
    let (access, database) = (task.run.access, task.run.database.clone());
    let from_replica = matches!(access, Access::Replica { .. });
    let ends = task.run.ends && task.transaction().is_some();
    let outcome = if too_old(now, task) { stale_answer() } else { outcome };
    if from_replica || (mark.is_none() && (failed || ends)) {
        return finish(daemon, now, fx, request, outcome);
    }
    task.pending_outcome = Some(outcome);
    if let Some(mark) = mark {
        if access == Access::Write {
            task.proof = Proof::Confirmed;
        }
        daemon.home.awaiting_majority.insert(request);
        return group::await_majority(daemon, now, fx, &database, mark, request);
    }
    task.majority_held = true;
    if task.proof == Proof::NotRequested {
        task.proof = Proof::Requested;
        return group::prove_leadership(daemon, now, fx, &database, request);
    }
    answer_if_proven(daemon, now, fx, request);
}

/// Whether a replica's answer took so long that its data may be older than the read accepts.
fn too_old(now: Now, task: &Task) -> bool {
    let Access::Replica { max_age, .. } = task.run.access else {
        return false;
    };
    task.fresh_as_of.is_none_or(|fresh_as_of| now.since(fresh_as_of) > max_age)
}

fn stale_answer() -> Outcome {
    let detail = "the replica answered too late to prove the age of its data";
    Outcome::Unknown(Fault::new(Code::OutcomeUnknown, detail))
}

fn answer_if_proven(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request) {
    let Some(task) = daemon.home.tasks.get_mut(&request) else {
        return;
    };
    if task.majority_held
        && task.proof == Proof::Confirmed
        && let Some(outcome) = task.pending_outcome.take()
    {
        finish(daemon, now, fx, request, outcome);
    }
}

/// Handles the result of the proof that the primary was not superseded.
pub fn on_leadership_proof(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    proof: Result<()>,
) {
    let Some(task) = daemon.home.tasks.get(&request).filter(|task| task.proof == Proof::Requested)
    else {
        return;
    };
    let proof = proof.and_then(|()| check_leadership(daemon, task));
    match proof {
        Ok(()) => {
            if let Some(task) = daemon.home.tasks.get_mut(&request) {
                task.proof = Proof::Confirmed;
            }
            answer_if_proven(daemon, now, fx, request);
        }
        Err(fault) => on_unproven(daemon, now, fx, request, &fault),
    }
}

/// Checks that the task ran on the newest primary, which is the one that the proof is about.
fn check_leadership(daemon: &Daemon, task: &Task) -> Result<()> {
    let leader = group::leader(daemon, &task.run.database);
    let same = leader.is_some_and(|leader| {
        leader.server == task.run.server && task.term.is_none_or(|term| term == leader.term)
    });
    same.then_some(()).ok_or_else(|| Fault::new(Code::NoPrimary, "the primary was superseded"))
}

/// Handles the result of the wait until a majority holds what a request committed or read.
pub fn on_majority(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    held: Result<()>,
) {
    let Some(task) =
        daemon.home.tasks.get_mut(&request).filter(|task| task.pending_outcome.is_some())
    else {
        return;
    };
    match held {
        Ok(()) => {
            task.majority_held = true;
            answer_if_proven(daemon, now, fx, request);
        }
        Err(fault) if task.run.access == Access::Write => {
            let fault = Fault::new(Code::MajorityUnknown, fault.detail);
            finish(daemon, now, fx, request, Outcome::Unknown(fault));
        }
        Err(fault) => on_unproven(daemon, now, fx, request, &fault),
    }
}

/// Ends a request whose answer could not be proven fresh.
fn on_unproven(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    fault: &Fault,
) {
    let Some(task) = daemon.home.tasks.get(&request) else {
        return;
    };
    let name = task.transaction().unwrap_or(request);
    let (access, scope) = (task.run.access, task.run.scope);
    let server = task.run.server.clone();
    cancel_running(daemon, fx, request);
    let outcome = if scope != Scope::Single || daemon.home.transactions.contains_key(&name) {
        transaction::abandon(daemon, now, fx, name);
        let detail = "the primary could not be proven; nothing was committed";
        Outcome::NotRun(Fault::new(Code::TransactionLost, detail))
    } else if access == Access::Write {
        Outcome::Unknown(Fault::new(Code::MajorityUnknown, fault.detail.clone()))
    } else {
        let code = if fault.code.not_run() { fault.code } else { Code::NoPrimary };
        Outcome::NotRun(Fault { code, ..fault.clone() })
    };
    finish(daemon, now, fx, request, outcome);
    dispatch(daemon, now, fx, &server);
}

/// Handles the loss of a connection that runs no statement.
pub fn on_closed(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    connection: id::Connection,
) {
    let pool = daemon.home.pools.get_mut(server);
    let Some(known) = pool.and_then(|pool| pool.remove(connection)) else {
        return;
    };
    end_use(daemon, now, fx, known.usage, true);
}

/// Ends what used a lost connection; `sent` says whether a statement may have reached the server.
fn end_use(daemon: &mut Daemon, now: Now, fx: &mut Effects, usage: Usage, sent: bool) {
    match usage {
        Usage::Held(name) => end_transaction(daemon, now, fx, name),
        Usage::Running(work) => {
            if let Some(name) = work.transaction {
                transaction::remove(daemon, fx, name);
            }
            let outcome = lost_outcome(daemon, &work, sent);
            finish(daemon, now, fx, work.request, outcome);
        }
        _ => {}
    }
}

/// Removes a transaction whose connection was lost, and refuses its queued statement.
fn end_transaction(daemon: &mut Daemon, now: Now, fx: &mut Effects, name: id::Transaction) {
    let Some(request) = transaction::remove(daemon, fx, name).and_then(|held| held.in_flight)
    else {
        return;
    };
    if daemon.home.tasks.get(&request).is_some_and(Task::is_waiting) {
        let fault = Fault::new(Code::TransactionLost, "the server connection was lost");
        finish(daemon, now, fx, request, Outcome::NotRun(fault));
    }
}

/// Outcome of a statement whose connection was lost; one that could not have committed counts as
/// not run.
fn lost_outcome(daemon: &Daemon, work: &Work, sent: bool) -> Outcome {
    let task = daemon.home.tasks.get(&work.request);
    let writes = task.is_some_and(|task| task.run.access == Access::Write);
    let detail = "the server connection was lost";
    if sent && writes {
        Outcome::Unknown(Fault::new(Code::OutcomeUnknown, detail))
    } else if work.transaction.is_some() {
        Outcome::NotRun(Fault::new(Code::TransactionLost, detail))
    } else {
        Outcome::NotRun(Fault::new(Code::ServerLost, detail))
    }
}

/// Cancels statements past their deadline, and closes connections that do not finish in time.
pub fn expire(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let Some(pool) = daemon.home.pools.get_mut(server) else {
        return;
    };
    let mut timed_out = Vec::new();
    for (connection, known) in &mut pool.connections {
        let end = match &known.usage {
            Usage::Running(work) => work.deadline + CANCEL_GRACE,
            Usage::Opening(since) | Usage::Resetting(since) => *since + OPEN_OR_RESET_TIMEOUT,
            Usage::Idle | Usage::Held(_) | Usage::AwaitingReset | Usage::Closing(_) => continue,
        };
        let late = matches!(&known.usage, Usage::Running(work) if now.mono >= work.deadline);
        if now.mono >= end {
            timed_out.push(*connection);
        } else if late && !known.tainted {
            known.tainted = true;
            fx.server(server, Call::Cancel(*connection));
        }
    }
    for connection in timed_out {
        abort_connection(daemon, now, fx, server, connection);
    }
    expire_answers(daemon, now, fx, server);
}

/// Ends requests that still wait for a replica, a proof or a majority after their deadline and the
/// grace period.
fn expire_answers(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let overdue = |task: &Task| {
        let waits = matches!(task.stage, Stage::AwaitingReplica | Stage::Executed);
        waits && task.run.server == *server && now.mono >= task.deadline + CANCEL_GRACE
    };
    let tasks = daemon.home.tasks.iter().filter(|(_, task)| overdue(task));
    let overdue: Vec<_> = tasks.map(|(request, task)| (*request, task.stage.clone())).collect();
    for (request, stage) in overdue {
        let fault = Fault::new(Code::Deadline, "the deadline passed");
        match stage {
            Stage::Executed => on_majority(daemon, now, fx, request, Err(fault)),
            _ => finish(daemon, now, fx, request, Outcome::NotRun(fault)),
        }
    }
}
