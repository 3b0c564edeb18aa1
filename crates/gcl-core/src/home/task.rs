//! A request at its home: checks, queue, execution, and the conditions of its answer.
//!
//! A write is answered when a majority holds its mark, the log position of its commit. A strong
//! read is answered when the primary is proven not to have been superseded after the read arrived
//! and a majority holds what it read; the proof is requested while the read runs. A write that left
//! no mark has still returned data of the primary, so it needs the same proof. If a proof fails
//! inside a transaction, the transaction is rolled back.

use super::{
    Proof, Stage, Task, fate, handover,
    pool::{self, Usage, Work},
    queue::{Item, Pushed},
    transaction,
};
use crate::{
    code::{Code, Fault, Result},
    effect::Effects,
    group, id, member, peer,
    run::{Access, Answer, Outcome, Run, Scope},
    server::Call,
    state::State as Daemon,
    time::Now,
};
use std::time::Duration;

/// Suggested wait before a request is sent to another daemon or server.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(20);

impl Task {
    /// Whether it has not started.
    #[must_use]
    pub const fn is_waiting(&self) -> bool {
        matches!(self.stage, Stage::AwaitingReplica | Stage::Queued)
    }

    /// The open transaction that it belongs to.
    #[must_use]
    pub const fn transaction(&self) -> Option<id::Transaction> {
        match self.run.scope {
            Scope::Within(name) => Some(name),
            Scope::Single | Scope::Begin => None,
        }
    }
}

/// Handles a `Run` from an entry.
pub fn receive(daemon: &mut Daemon, now: Now, fx: &mut Effects, from: &id::Daemon, mut run: Run) {
    match daemon.home.history.disposition(&run) {
        fate::Disposition::New => {}
        fate::Disposition::Answered(answer) => {
            return member::send(daemon, fx, from, peer::Message::Answer(answer));
        }
        fate::Disposition::Refused => return refuse_late(daemon, fx, from, &run),
    }
    if let Some(task) = daemon.home.tasks.get(&run.request) {
        let late = run.attempt < task.run.attempt;
        redirect_answer(daemon, run.request, run.attempt, from);
        if late {
            refuse_late(daemon, fx, from, &run);
        }
        return;
    }
    if daemon.home.awaiting_majority.contains(&run.request) {
        let fault = Fault::new(Code::HomeLost, "an earlier try is not settled");
        let answer = answer(daemon, &run, Outcome::NotRun(fault.retry_after(RETRY_ELSEWHERE)));
        return member::send(daemon, fx, from, peer::Message::Answer(Box::new(answer)));
    }
    match check(daemon, now, fx, from, &mut run) {
        Ok(()) => accept(daemon, now, fx, from, run),
        Err(fault) => {
            let answer = answer(daemon, &run, Outcome::NotRun(fault));
            send(daemon, now, fx, from, answer);
            dispatch(daemon, now, fx, &run.server);
        }
    }
}

/// Refuses a copy that arrived after a later attempt or after its tombstone.
fn refuse_late(daemon: &Daemon, fx: &mut Effects, from: &id::Daemon, run: &Run) {
    let fault = Fault::new(Code::Tombstone, "a late copy of a request that was given up");
    let answer = answer(daemon, run, Outcome::NotRun(fault));
    member::send(daemon, fx, from, peer::Message::Answer(Box::new(answer)));
}

/// Sends the answer of a request in progress to `from`, as the answer to `attempt`. Returns whether
/// the request is in progress.
pub fn redirect_answer(
    daemon: &mut Daemon,
    request: id::Request,
    attempt: u32,
    from: &id::Daemon,
) -> bool {
    let Some(task) = daemon.home.tasks.get_mut(&request) else {
        return false;
    };
    task.from.clone_from(from);
    task.run.attempt = task.run.attempt.max(attempt);
    true
}

fn check(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    run: &mut Run,
) -> Result<()> {
    if let Scope::Within(name) = run.scope {
        return transaction::join(daemon, now, fx, from, run, name);
    }
    handover::check_admission(daemon, now, fx, run)?;
    match run.access {
        Access::Write => group::writable(daemon, now, &run.database, &run.server).map(drop)?,
        Access::Strong => check_primary(daemon, run, None)?,
        Access::Replica { .. } => {}
    }
    let pool = daemon.home.pools.get(&run.server);
    match pool.and_then(|pool| pool.backoff_left(now).filter(|_| !pool.can_free_connection())) {
        Some(wait) => Err(unreachable_server().retry_after(wait)),
        None => Ok(()),
    }
}

fn unreachable_server() -> Fault {
    Fault::new(Code::ServerLost, "the server accepts no connection now")
}

/// Checks that the run's server is the newest known primary, at `term` if one is given.
fn check_primary(daemon: &Daemon, run: &Run, term: Option<id::Term>) -> Result<()> {
    group::leader(daemon, &run.database)
        .filter(|leader| leader.server == run.server)
        .filter(|leader| term.is_none_or(|term| leader.term == term))
        .map(drop)
        .ok_or_else(|| Fault::new(Code::NoPrimary, "the server is not the primary"))
}

fn accept(daemon: &mut Daemon, now: Now, fx: &mut Effects, from: &id::Daemon, run: Run) {
    let (request, access) = (run.request, run.access);
    let (database, server) = (run.database.clone(), run.server.clone());
    let proves_early = match access {
        Access::Strong => true,
        Access::Write => run.scope != Scope::Single && !run.ends,
        Access::Replica { .. } => false,
    };
    let task = Task {
        from: from.clone(),
        arrived: now.mono,
        deadline: now.mono + run.budget,
        term: group::leader(daemon, &database).map(|leader| leader.term),
        stage: Stage::AwaitingReplica,
        proof: if proves_early { Proof::Requested } else { Proof::NotRequested },
        majority_held: false,
        pending_outcome: None,
        fresh_as_of: None,
        run,
    };
    daemon.home.tasks.insert(request, task);
    if proves_early {
        group::prove_leadership(daemon, now, fx, &database, request);
    }
    match access {
        Access::Write | Access::Strong => enqueue(daemon, now, fx, request),
        Access::Replica { .. } => group::await_ready(daemon, now, fx, &server, access, request),
    }
}

/// Queues a request at its server.
pub fn enqueue(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request) {
    let waiting =
        daemon.home.tasks.get_mut(&request).filter(|task| task.stage == Stage::AwaitingReplica);
    let Some(task) = waiting else { return };
    let (server, deadline) = (task.run.server.clone(), task.deadline);
    match push(daemon, now, request) {
        Ok(displaced) => {
            if let Some(other) = displaced {
                let fault = Fault::new(Code::QueueFull, "other workspaces need the queue");
                finish(daemon, now, fx, other, Outcome::NotRun(fault));
            }
            if let Some(pool) = daemon.home.pools.get_mut(&server) {
                pool::arm_by(pool, now, fx, &server, deadline);
            }
            dispatch(daemon, now, fx, &server);
        }
        Err(fault) => finish(daemon, now, fx, request, Outcome::NotRun(fault)),
    }
}

fn push(daemon: &mut Daemon, now: Now, request: id::Request) -> Result<Option<id::Request>> {
    let Some(task) = daemon.home.tasks.get(&request) else {
        return Ok(None);
    };
    let weight = super::weight(daemon, &task.run.workspace);
    let (slots, _) = super::limits(daemon, &task.run.server);
    let home = &mut daemon.home;
    let Some(task) = home.tasks.get_mut(&request) else {
        return Ok(None);
    };
    let pool = home.pools.get_mut(&task.run.server);
    let pool = pool.filter(|pool| pool.leaving_since.is_none() || task.transaction().is_some());
    let pool = pool.ok_or_else(|| {
        Fault::new(Code::HomeLost, "the server has another home").retry_after(RETRY_ELSEWHERE)
    })?;
    let begins = task.run.scope == Scope::Begin;
    let item = Item { request, deadline: task.deadline, begins };
    if task.transaction().is_some() {
        task.stage = Stage::Queued;
        pool.queue.push_in_transaction(&task.run.workspace, weight, item);
        return Ok(None);
    }
    let wait = pool.estimate_wait(&task.run.workspace, weight, slots);
    let contended = pool.executing() >= slots || !pool.queue.is_empty();
    if contended && now.mono + wait > task.deadline {
        let detail = "the queue is longer than the time that is left";
        return Err(Fault::new(Code::Deadline, detail).retry_after(wait));
    }
    let bound = daemon.settings.bounds.queue;
    match pool.queue.push(&task.run.workspace, weight, item, bound) {
        Pushed::Full => {
            let fault = Fault::new(Code::QueueFull, "the queue for the server is full");
            Err(fault.retry_after(wait))
        }
        Pushed::Queued => {
            task.stage = Stage::Queued;
            Ok(None)
        }
        Pushed::Displaced(other) => {
            task.stage = Stage::Queued;
            Ok(Some(other))
        }
    }
}

/// Starts what the server's slots and connections allow.
pub fn dispatch(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let limits = super::limits(daemon, server);
    start_resets(daemon, now, fx, server, limits.0);
    while let Some((request, charged, connection)) = take_next(daemon, server, limits) {
        start(daemon, now, fx, request, connection, charged);
    }
    start_resets(daemon, now, fx, server, limits.0);
    pool::open_for_queue(daemon, now, fx, server, limits);
    handover::advance(daemon, now, fx, server);
}

fn start_resets(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    slots: usize,
) {
    if let Some(pool) = daemon.home.pools.get_mut(server) {
        pool::start_resets(pool, now, fx, server, slots);
    }
}

fn take_next(
    daemon: &mut Daemon,
    server: &id::Server,
    (slots, capacity): (usize, usize),
) -> Option<(id::Request, Duration, id::Connection)> {
    let home = &mut daemon.home;
    let pool = home.pools.get_mut(server)?;
    if pool.executing() >= slots {
        return None;
    }
    while let Some((item, charged)) = pool.queue.pop_in_transaction() {
        let name = home.tasks.get(&item.request).and_then(Task::transaction);
        let held = name.and_then(|name| home.transactions.get(&name));
        if let Some(transaction) = held {
            return Some((item.request, charged, transaction.connection));
        }
    }
    pool.take_next(capacity)
}

fn start(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    connection: id::Connection,
    charged: Duration,
) {
    let Some(task) = daemon.home.tasks.get(&request) else {
        return;
    };
    let server = task.run.server.clone();
    match check_start(daemon, now, task) {
        Ok(term) => run(daemon, now, fx, request, connection, (charged, term)),
        Err(fault) => {
            let (workspace, name) = (task.run.workspace.clone(), task.transaction());
            if let Some(pool) = daemon.home.pools.get_mut(&server) {
                pool.queue.refund(&workspace, charged);
                if name.is_none() {
                    pool.idle.push(connection);
                }
            }
            let lost = fault.code == Code::TransactionLost;
            finish(daemon, now, fx, request, Outcome::NotRun(fault));
            if let Some(name) = name.filter(|_| lost) {
                transaction::abandon(daemon, now, fx, name);
            }
        }
    }
}

/// Repeats the checks whose result may have changed while the request waited. Returns the term of a
/// write.
fn check_start(daemon: &Daemon, now: Now, task: &Task) -> Result<Option<id::Term>> {
    let alone = task.transaction().is_none();
    if alone && !group::is_fresh(daemon, now, &task.run.server, task.run.access) {
        let fault = Fault::new(Code::NoReplica, "the replica's data grew too old in the queue");
        return Err(fault.retry_after(RETRY_ELSEWHERE));
    }
    write_term(daemon, now, task)
}

/// The term at which a write runs; a transaction keeps the term at which it began.
fn write_term(daemon: &Daemon, now: Now, task: &Task) -> Result<Option<id::Term>> {
    if task.run.access != Access::Write {
        return Ok(None);
    }
    let term = group::writable(daemon, now, &task.run.database, &task.run.server)?;
    let held = task.transaction().and_then(|name| daemon.home.transactions.get(&name));
    match held.and_then(|transaction| transaction.term) {
        Some(begun) if begun != term => {
            Err(Fault::new(Code::TransactionLost, "the primary changed; nothing was committed"))
        }
        _ => Ok(Some(term)),
    }
}

fn run(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    connection: id::Connection,
    (charged, term): (Duration, Option<id::Term>),
) {
    let Some(task) = daemon.home.tasks.get(&request) else {
        return;
    };
    let fresh_as_of = group::fresh_as_of(daemon, &task.run.server);
    let Some(task) = daemon.home.tasks.get_mut(&request) else {
        return;
    };
    task.stage = Stage::Running(connection);
    task.fresh_as_of = fresh_as_of;
    task.term = term.or(task.term);
    let work = Work {
        request,
        workspace: task.run.workspace.clone(),
        transaction: task.transaction(),
        started: now.mono,
        deadline: task.deadline,
        charged,
        abandoned: false,
    };
    let call = Call::Run {
        connection,
        request,
        term,
        read_only: task.run.access != Access::Write,
        variables: task.run.variables.clone(),
        idempotency: task.run.idempotency,
        batch: task.run.batch.clone(),
    };
    fx.observe("home_wait", task.run.workspace.clone(), now.since(task.arrived));
    fx.server(&task.run.server, call);
    if let Some(pool) = daemon.home.pools.get_mut(&task.run.server) {
        pool.set_usage(connection, Usage::Running(work));
    }
}

/// Cancels a request's statement if it is running; the connection is not used again.
pub fn cancel_running(daemon: &mut Daemon, fx: &mut Effects, request: id::Request) {
    let Some(task) = daemon.home.tasks.get(&request) else {
        return;
    };
    let Stage::Running(connection) = task.stage else {
        return;
    };
    let pool = daemon.home.pools.get_mut(&task.run.server);
    if let Some(known) = pool.and_then(|pool| pool.connections.get_mut(&connection)) {
        known.tainted = true;
        fx.server(&task.run.server, Call::Cancel(connection));
    }
}

/// Cancels a request of an entry.
pub fn on_cancel(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    request: id::Request,
) {
    let Some(task) = daemon.home.tasks.get(&request).filter(|task| task.from == *from) else {
        return;
    };
    if task.is_waiting() {
        let fault = Fault::new(Code::Cancelled, "the caller cancelled the request");
        finish(daemon, now, fx, request, Outcome::NotRun(fault));
    } else {
        cancel_running(daemon, fx, request);
    }
}

/// Ends a request and sends its answer.
pub fn finish(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    outcome: Outcome,
) {
    let Some(task) = daemon.home.tasks.swap_remove(&request) else {
        return;
    };
    if task.stage == Stage::Queued
        && let Some(pool) = daemon.home.pools.get_mut(&task.run.server)
    {
        pool.queue.remove(request);
    }
    if let Some(name) = task.transaction().filter(|_| task.is_waiting()) {
        transaction::set_idle(daemon, now, fx, name);
    }
    let answer = answer(daemon, &task.run, outcome);
    send(daemon, now, fx, &task.from, answer);
}

fn answer(daemon: &Daemon, run: &Run, outcome: Outcome) -> Answer {
    Answer {
        request: run.request,
        attempt: run.attempt,
        leader: group::leader(daemon, &run.database),
        server: run.server.clone(),
        outcome,
    }
}

fn send(daemon: &mut Daemon, now: Now, fx: &mut Effects, to: &id::Daemon, answer: Answer) {
    let kind = match &answer.outcome {
        Outcome::Done { .. } => "done",
        Outcome::NotRun(_) => "not_run",
        Outcome::Unknown(_) => "unknown",
    };
    fx.count("home_answers", kind, 1);
    daemon.home.history.record(now.mono, &answer);
    member::send(daemon, fx, to, peer::Message::Answer(Box::new(answer)));
}
