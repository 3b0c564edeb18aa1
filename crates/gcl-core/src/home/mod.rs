//! The home of a backend server: the one daemon that opens connections to it and queues requests
//! for it.
//!
//! A server has few connections and few slots, the statements that it may run at once. The entry of
//! a request, the daemon that its caller is connected to, sends it to the home of the server that
//! is to run it. There the request passes through [`task`] (checks and queue), runs on a connection
//! of the [`pool`], and ends in [`completion`]. [`transaction`] binds connections to transactions,
//! [`fate`] keeps the outcomes of recent requests, and [`handover`] moves servers between daemons.

pub mod completion;
pub mod fate;
pub mod handover;
pub mod pool;
pub mod queue;
pub mod task;
pub mod transaction;

use self::{fate::History, pool::Pool, transaction::Transaction};
use crate::{
    code::{Code, Fault, Result},
    effect::Effects,
    group, id,
    run::{Outcome, Run},
    server::Event,
    state::State as Daemon,
    time::Now,
};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Messages between homes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender no longer uses a server's connections.
    Released(id::Server),
    /// The sender is the new home of a server and requests its release.
    Claim(id::Server),
}

/// Progress of a request at its home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waits until its replica is recent enough.
    AwaitingReplica,
    /// Waits for a slot.
    Queued,
    /// Runs on a connection.
    Running(id::Connection),
    /// Ran; its answer waits for a proof of leadership or for a majority.
    Executed,
}

/// State of the proof that the primary was not superseded after the request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// Not requested yet.
    NotRequested,
    /// Requested, without a result so far.
    Requested,
    /// Received: the primary was not superseded.
    Confirmed,
}

/// A request at its home.
#[derive(Clone, Debug)]
pub struct Task {
    from: id::Daemon,
    run: Run,
    arrived: Duration,
    deadline: Duration,
    /// The newest term when the request arrived or, once a write runs, the term of the write.
    term: Option<id::Term>,
    stage: Stage,
    proof: Proof,
    majority_held: bool,
    pending_outcome: Option<Outcome>,
    /// The replica had all writes acknowledged by this time when the statement started.
    fresh_as_of: Option<Duration>,
}

/// The servers that this daemon is home of, and their requests and transactions.
#[derive(Clone, Debug, Default)]
pub struct State {
    pools: IndexMap<id::Server, Pool>,
    tasks: IndexMap<id::Request, Task>,
    transactions: IndexMap<id::Transaction, Transaction>,
    history: History,
    /// Requests whose wait for a majority has not ended, which may be after their deadline.
    awaiting_majority: IndexSet<id::Request>,
    /// The home of each relevant server when homes were last computed.
    known_homes: IndexMap<id::Server, id::Daemon>,
    /// The number of servers and their newest revision when homes were last computed.
    config_version: (usize, id::Revision),
}

impl State {
    /// The connections to a server that this daemon is home of.
    #[must_use]
    pub fn pool(&self, server: &str) -> Option<&Pool> {
        self.pools.get(server)
    }

    /// The servers that this daemon has a connection pool for.
    pub fn servers(&self) -> impl Iterator<Item = &id::Server> {
        self.pools.keys()
    }
}

/// The slots of a server, and the maximum number of connections that this daemon may have open to
/// it.
fn limits(daemon: &Daemon, server: &id::Server) -> (usize, usize) {
    let takeover_complete =
        daemon.home.pools.get(server).is_some_and(|pool| pool.takeover_complete);
    daemon.config.snapshot.server(server).map_or((1, 0), |config| {
        let connections = config.connections as usize;
        (config.slots.max(1) as usize, pool::capacity(connections, takeover_complete))
    })
}

/// A workspace's weight in the queue.
fn weight(daemon: &Daemon, workspace: &str) -> u32 {
    let known = daemon.config.snapshot.workspaces.get(workspace);
    known.map_or(1, |known| known.value.weight)
}

/// Maintains a server's pool, starts what can start, and arms the timer.
fn maintain(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    pool::upkeep(daemon, now, fx, server);
    task::dispatch(daemon, now, fx, server);
    pool::arm(daemon, now, fx, server);
}

/// Handles a request from an entry.
pub fn on_run(daemon: &mut Daemon, now: Now, fx: &mut Effects, from: &id::Daemon, run: Run) {
    task::receive(daemon, now, fx, from, run);
}

/// Handles the result of [`group::prove_leadership`] for a request.
pub fn on_leadership_proof(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    proof: Result<()>,
) {
    completion::on_leadership_proof(daemon, now, fx, request, proof);
}

/// Handles the result of [`group::await_ready`]: whether the replica is recent enough.
pub fn on_replica_ready(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    ready: Result<()>,
) {
    let waits =
        daemon.home.tasks.get(&request).is_some_and(|task| task.stage == Stage::AwaitingReplica);
    match ready {
        Ok(()) => task::enqueue(daemon, now, fx, request),
        Err(fault) if waits => task::finish(daemon, now, fx, request, Outcome::NotRun(fault)),
        Err(_) => {}
    }
}

/// Handles the result of [`group::await_majority`]: whether a majority holds what a request
/// committed or read.
pub fn on_majority(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    request: id::Request,
    held: Result<()>,
) {
    daemon.home.awaiting_majority.swap_remove(&request);
    completion::on_majority(daemon, now, fx, request, held);
}

/// Handles an event of a data connection.
pub fn on_server(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    event: Event,
) {
    match event {
        Event::Opened(connection) => on_opened(daemon, now, fx, server, connection),
        Event::Failed { connection, full } => on_failed(daemon, now, fx, server, connection, full),
        Event::Ended { connection, request, ended } => {
            completion::on_ended(daemon, now, fx, server, (connection, request), ended);
        }
        Event::Reset { connection, clean: true } => {
            on_opened(daemon, now, fx, server, connection);
        }
        Event::Reset { connection, clean: false } | Event::Closed(connection) => {
            completion::on_closed(daemon, now, fx, server, connection);
        }
        Event::Answered { .. } => {}
    }
    task::dispatch(daemon, now, fx, server);
}

/// Makes an open and clean connection available; an unexpected one is closed.
fn on_opened(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    connection: id::Connection,
) {
    let pool = daemon.home.pools.get_mut(server);
    let expected = pool.as_ref().and_then(|pool| pool.connections.get(&connection));
    let expected = expected.is_some_and(|known| {
        matches!(known.usage, pool::Usage::Opening(_) | pool::Usage::Resetting(_))
    });
    let call = match pool {
        Some(pool) if expected => {
            pool.on_opened();
            pool.put_back(now, connection)
        }
        Some(pool) if pool.connections.contains_key(&connection) => None,
        _ => Some(crate::server::Call::Close(connection)),
    };
    if let Some(call) = call {
        fx.server(server, call);
    }
}

/// Backs off from a server that accepts no connection. Refuses the queued requests, so that their
/// entries try elsewhere, when no connection will become free.
fn on_failed(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    connection: id::Connection,
    full: bool,
) {
    let Some(pool) = daemon.home.pools.get_mut(server) else {
        return;
    };
    let wait = pool.on_failed(now, connection);
    let may_free = pool.can_free_connection();
    pool::arm_by(pool, now, fx, server, now.mono + wait);
    fx.count("home_open_failed", if full { "full" } else { "unreachable" }, 1);
    if !may_free {
        let fault = Fault::new(Code::ServerLost, "the server accepts no connection now");
        handover::refuse_queued(daemon, now, fx, server, &fault.retry_after(wait));
    }
    if !full {
        group::on_connection_failure(daemon, now, fx, server);
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
    task::on_cancel(daemon, now, fx, from, request);
}

/// Rolls back and releases a transaction whose session ended.
pub fn on_release(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    transaction: id::Transaction,
) {
    transaction::on_release(daemon, now, fx, from, transaction);
}

/// Reports to an entry the fate of a request that was submitted `age` ago, and refuses its attempts
/// up to `attempt` from then on if none has started.
pub fn on_ask_fate(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    (request, attempt): (id::Request, u32),
    age: Duration,
) {
    fate::on_ask(daemon, now, fx, from, (request, attempt), age);
}

/// Handles a message from another home.
pub fn on_message(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    message: Message,
) {
    handover::on_message(daemon, now, fx, from, message);
}

/// Applies a configuration change: opens connections to new servers and releases servers that have
/// another home.
pub fn on_config(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    handover::on_config(daemon, now, fx);
}

/// Applies a change of the members: rolls back the transactions of entries that have restarted, and
/// hands over servers whose home has changed.
pub fn on_members(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let me = daemon.settings.daemon.clone();
    let members = &daemon.member.members;
    let gone = |name: id::Transaction, owner: &id::Daemon| {
        members.get(owner).is_some_and(|member| {
            member.incarnation != 0
                && u128::from(member.incarnation) != transaction::entry_incarnation(name)
        })
    };
    let open = daemon.home.transactions.iter();
    let orphans = open.filter(|(name, held)| held.owner != me && gone(**name, &held.owner));
    let orphans: Vec<_> = orphans.map(|(name, _)| *name).collect();
    for name in orphans {
        transaction::abandon(daemon, now, fx, name);
    }
    handover::recompute(daemon, now, fx);
    let held: Vec<_> = daemon.home.pools.keys().cloned().collect();
    for server in held {
        task::dispatch(daemon, now, fx, &server);
    }
}

/// Handles the timer of a server's queue.
pub fn on_queue_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let Some(pool) = daemon.home.pools.get_mut(server) else {
        return;
    };
    let expired = pool.queue.expire(now.mono);
    let wait = pool.service_time;
    for request in expired {
        let fault = Fault::new(Code::Deadline, "the deadline passed in the queue");
        task::finish(daemon, now, fx, request, Outcome::NotRun(fault.retry_after(wait)));
    }
    completion::expire(daemon, now, fx, server);
    handover::request_release(daemon, now, fx, server);
    maintain(daemon, now, fx, server);
}

/// Handles the idle timer of a transaction.
pub fn on_transaction_timer(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    transaction: id::Transaction,
) {
    transaction::on_timer(daemon, now, fx, transaction);
}

/// Handles the loss of the stream to an entry: rolls back its open transactions and refuses its
/// waiting requests.
pub fn on_lost(daemon: &mut Daemon, now: Now, fx: &mut Effects, lost: &id::Daemon) {
    let open = daemon.home.transactions.iter().filter(|(_, held)| held.owner == *lost);
    let open: Vec<_> = open.map(|(name, _)| *name).collect();
    for name in open {
        transaction::abandon(daemon, now, fx, name);
    }
    let theirs = daemon.home.tasks.iter().filter(|(_, task)| task.from == *lost);
    let theirs: Vec<_> = theirs.map(|(request, task)| (*request, task.is_waiting())).collect();
    for (request, waits) in theirs {
        if waits {
            let fault = Fault::new(Code::HomeLost, "the stream to the entry broke");
            task::finish(daemon, now, fx, request, Outcome::NotRun(fault));
        } else {
            abandon_running(daemon, request);
        }
    }
    let held: Vec<_> = daemon.home.pools.keys().cloned().collect();
    for server in held {
        task::dispatch(daemon, now, fx, &server);
    }
}

fn abandon_running(daemon: &mut Daemon, request: id::Request) {
    let server = daemon.home.tasks.get(&request).map(|task| task.run.server.clone());
    if let Some(pool) = server.and_then(|server| daemon.home.pools.get_mut(&server)) {
        pool::mark_abandoned(pool, request);
    }
}

/// Hands servers over to other daemons before this one stops.
pub fn drain(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    handover::drain(daemon, now, fx);
}

/// Whether a planned stop has to wait for work that is left here.
#[must_use]
pub fn is_busy(daemon: &Daemon) -> bool {
    let leaving = daemon.home.pools.values().any(|pool| pool.leaving_since.is_some());
    !daemon.home.tasks.is_empty() || !daemon.home.transactions.is_empty() || leaving
}
