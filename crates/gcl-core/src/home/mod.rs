//! The home of a backend server: its scarce connections, its slots and the queue for them.

use crate::{
    batch::Status,
    code::{Code, Fault, Result},
    effect::Effects,
    group, id, member, peer,
    run::{Access, Answer, Outcome, Run, Scope},
    server::{Call, Ended, Event},
    state::State as Daemon,
    time::Now,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Messages between homes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender no longer uses a server's connections.
    Released(id::Server),
}

/// A request at its home.
#[derive(Clone, Debug)]
struct Task {
    from: id::Daemon,
    run: Run,
    connection: Option<id::Connection>,
    done: Option<Outcome>,
}

/// The connections to one server.
#[derive(Clone, Debug, Default)]
struct Pool {
    open: usize,
    idle: Vec<id::Connection>,
    queue: VecDeque<id::Request>,
}

/// The servers that this daemon is home of.
#[derive(Clone, Debug, Default)]
pub struct State {
    pools: IndexMap<id::Server, Pool>,
    tasks: IndexMap<id::Request, Task>,
    transactions: IndexMap<id::Transaction, (id::Server, id::Connection)>,
}

/// Takes a request of an entry.
pub fn on_run(daemon: &mut Daemon, now: Now, fx: &mut Effects, from: &id::Daemon, run: Run) {
    let (request, access) = (run.request, run.access);
    let (database, server) = (run.database.clone(), run.server.clone());
    let task = Task { from: from.clone(), run, connection: None, done: None };
    daemon.home.tasks.insert(request, task);
    match access {
        Access::Write => enqueue(daemon, now, fx, request),
        Access::Strong => group::prove(daemon, now, fx, &database, request),
        Access::Replica { .. } => group::ready(daemon, now, fx, &server, access, request),
    }
}

/// Takes the proof that a strong read waits for.
pub fn on_proof(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    proof: Result<()>,
) {
    match proof {
        Ok(()) => enqueue(daemon, now, fx, request),
        Err(fault) => finish(daemon, fx, request, Outcome::NotRun(fault)),
    }
}

/// Takes the word that a replica is recent enough.
pub fn on_ready(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    ready: Result<()>,
) {
    on_proof(daemon, now, fx, request, ready);
}

/// Takes the word that a majority holds a commit.
pub fn on_held(
    daemon: &mut Daemon,
    _now: Now,
    fx: &mut Effects,
    request: id::Request,
    held: Result<()>,
) {
    let done = daemon.home.tasks.get_mut(&request).and_then(|task| task.done.take());
    match (held, done) {
        (Ok(()), Some(outcome)) => finish(daemon, fx, request, outcome),
        (Ok(()), None) => {}
        (Err(fault), _) => finish(daemon, fx, request, Outcome::Unknown(fault)),
    }
}

fn enqueue(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request) {
    let Some(task) = daemon.home.tasks.get(&request) else {
        return;
    };
    if let Scope::Within(transaction) = task.run.scope {
        if let Some((_, connection)) = daemon.home.transactions.get(&transaction) {
            start(daemon, now, fx, request, *connection);
        } else {
            let fault = Fault::new(Code::TransactionLost, "the transaction is gone");
            finish(daemon, fx, request, Outcome::NotRun(fault));
        }
        return;
    }
    let server = task.run.server.clone();
    daemon.home.pools.entry(server.clone()).or_default().queue.push_back(request);
    pump(daemon, now, fx, &server);
}

fn pump(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let Some(config) = daemon.config.snapshot.server(server) else {
        return;
    };
    let (address, most) = (config.address, config.connections as usize);
    let Some(pool) = daemon.home.pools.get_mut(server) else {
        return;
    };
    if !pool.queue.is_empty()
        && let Some(connection) = pool.idle.pop()
        && let Some(request) = pool.queue.pop_front()
    {
        start(daemon, now, fx, request, connection);
        return pump(daemon, now, fx, server);
    }
    if !pool.queue.is_empty() && pool.open < most {
        pool.open += 1;
        let connection = daemon.counters.connection();
        fx.server(server, Call::Open { connection, address });
    }
}

fn start(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    connection: id::Connection,
) {
    let Some(task) = daemon.home.tasks.get(&request) else {
        return;
    };
    let (database, server) = (task.run.database.clone(), task.run.server.clone());
    let term = match task.run.access {
        Access::Write => group::writable(daemon, now, &database, &server).map(Some),
        Access::Strong | Access::Replica { .. } => Ok(None),
    };
    let term = match term {
        Ok(term) => term,
        Err(fault) => {
            daemon.home.pools.entry(server).or_default().idle.push(connection);
            return finish(daemon, fx, request, Outcome::NotRun(fault));
        }
    };
    let Some(task) = daemon.home.tasks.get_mut(&request) else {
        return;
    };
    task.connection = Some(connection);
    let call = Call::Run {
        connection,
        request,
        term,
        read_only: matches!(task.run.access, Access::Replica { .. }),
        variables: task.run.variables.clone(),
        idempotency: task.run.idempotency,
        batch: task.run.batch.clone(),
    };
    fx.server(&server, call);
}

/// Acts on an event of a data connection.
pub fn on_server(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    event: Event,
) {
    let pool = daemon.home.pools.entry(server.clone()).or_default();
    match event {
        Event::Opened(connection) | Event::Reset { connection, clean: true } => {
            pool.idle.push(connection);
        }
        Event::Failed { .. } | Event::Reset { .. } => pool.open -= 1,
        Event::Closed(connection) => {
            pool.open -= 1;
            pool.idle.retain(|idle| *idle != connection);
        }
        Event::Ended { connection, request, ended } => {
            on_ended(daemon, now, fx, server, connection, request, ended);
        }
        Event::Answered { .. } => {}
    }
    pump(daemon, now, fx, server);
}

fn on_ended(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    connection: id::Connection,
    request: id::Request,
    ended: Ended,
) {
    match ended {
        Ended::Answered { frames, status, mark, .. } => {
            if status == Status::Idle {
                daemon.home.transactions.retain(|_, (_, held)| *held != connection);
                let pool = daemon.home.pools.entry(server.clone()).or_default();
                pool.idle.push(connection);
            } else {
                daemon.home.transactions.entry(request).or_insert((server.clone(), connection));
            }
            let outcome = Outcome::Done { frames, status, mark };
            let Some(task) = daemon.home.tasks.get_mut(&request) else {
                return;
            };
            match (task.run.access, mark) {
                (Access::Write, Some(mark)) => {
                    let database = task.run.database.clone();
                    task.done = Some(outcome);
                    group::hold(daemon, now, fx, &database, mark, request);
                }
                _ => finish(daemon, fx, request, outcome),
            }
        }
        Ended::TooLarge { .. } => {
            let fault = Fault::new(Code::AnswerTooLarge, "the answer is too large");
            finish(daemon, fx, request, Outcome::Unknown(fault));
        }
        Ended::Lost { sent } => {
            let fault = Fault::new(Code::OutcomeUnknown, "the server connection was lost");
            let not_run = Fault::new(Code::ServerLost, "the server connection was lost");
            let outcome = if sent { Outcome::Unknown(fault) } else { Outcome::NotRun(not_run) };
            finish(daemon, fx, request, outcome);
        }
    }
}

fn finish(daemon: &mut Daemon, fx: &mut Effects, request: id::Request, outcome: Outcome) {
    let Some(task) = daemon.home.tasks.swap_remove(&request) else {
        return;
    };
    let answer = Answer {
        request,
        attempt: task.run.attempt,
        leader: group::leader(daemon, &task.run.database),
        server: task.run.server,
        outcome,
    };
    member::send(daemon, fx, &task.from, peer::Message::Answer(Box::new(answer)));
}

/// Cancels a request of an entry.
pub fn on_cancel(
    daemon: &mut Daemon,
    _now: Now,
    fx: &mut Effects,
    _from: &id::Daemon,
    request: id::Request,
) {
    let Some(task) = daemon.home.tasks.get(&request) else {
        return;
    };
    if let Some(connection) = task.connection {
        fx.server(&task.run.server.clone(), Call::Cancel(connection));
    }
}

/// Rolls back and releases a transaction whose session ended.
pub fn on_release(
    daemon: &mut Daemon,
    _now: Now,
    fx: &mut Effects,
    _from: &id::Daemon,
    transaction: id::Transaction,
) {
    if let Some((server, connection)) = daemon.home.transactions.swap_remove(&transaction) {
        fx.server(&server, Call::Reset(connection));
    }
}

/// Tells an entry what became of a request, and refuses it from then on if it never started.
pub fn on_ask_fate(
    _daemon: &mut Daemon,
    _now: Now,
    _fx: &mut Effects,
    _from: &id::Daemon,
    _request: id::Request,
) {
}

/// Follows a change of the living daemons.
pub fn on_members(_daemon: &mut Daemon, _now: Now, _fx: &mut Effects) {}

/// Acts on a message of another home.
pub fn on_message(
    _daemon: &mut Daemon,
    _now: Now,
    _fx: &mut Effects,
    _from: &id::Daemon,
    _message: Message,
) {
}

/// Follows a change of the configuration or of the members: warms connections of new servers and
/// releases those of servers that have another home.
pub fn on_config(_daemon: &mut Daemon, _now: Now, _fx: &mut Effects) {}

/// Acts on the timer of a server's queue.
pub fn on_queue_timer(_daemon: &mut Daemon, _now: Now, _fx: &mut Effects, _server: &id::Server) {}

/// Acts on the idle timer of a transaction.
pub fn on_transaction_timer(
    _daemon: &mut Daemon,
    _now: Now,
    _fx: &mut Effects,
    _transaction: id::Transaction,
) {
}

/// Rolls back what the entries of a lost daemon held open.
pub fn on_lost(_daemon: &mut Daemon, _now: Now, _fx: &mut Effects, _lost: &id::Daemon) {}

/// Hands the servers over before the daemon stops.
pub fn drain(_daemon: &mut Daemon, _now: Now, _fx: &mut Effects) {}

/// Whether work is left that a planned stop has to wait for.
#[must_use]
pub fn busy(daemon: &Daemon) -> bool {
    !daemon.home.tasks.is_empty() || !daemon.home.transactions.is_empty()
}
