//! Open transactions. Each holds one connection from its first statement to its end.

use super::{
    Task,
    pool::{self, Usage},
    task,
};
use crate::{
    code::{Code, Fault, Result},
    effect::Effects,
    id, route,
    run::{Access, Outcome, Run},
    server::Call,
    state::State as Daemon,
    time::Now,
    timer,
};
use std::time::Duration;

/// Low bits of a request id that count the requests of one incarnation of the entry.
const COUNTER_BITS: u32 = 64;

/// An open transaction.
#[derive(Clone, Debug)]
pub struct Transaction {
    /// Its server.
    pub server: id::Server,
    /// Its connection.
    pub connection: id::Connection,
    /// The entry of the session that opened it.
    pub owner: id::Daemon,
    /// The workspace.
    pub workspace: id::Workspace,
    /// What its statements need of the server.
    pub access: Access,
    /// The term that it writes at.
    pub term: Option<id::Term>,
    /// Its queued or running statement.
    pub in_flight: Option<id::Request>,
}

/// The incarnation of the entry that numbered a request.
#[must_use]
pub const fn entry_incarnation(request: id::Request) -> u128 {
    request >> COUNTER_BITS
}

/// Adds a statement to its transaction. A transaction that writes is rolled back when the rules
/// that placed it have changed, since its route key may have been moved to another database.
///
/// # Errors
/// [`Code::TransactionLost`] when it is gone or belongs to another session, [`Code::Protocol`]
/// while another of its statements is queued or running.
pub fn join(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    run: &mut Run,
    name: id::Transaction,
) -> Result<()> {
    let lost = || Fault::new(Code::TransactionLost, "the transaction is gone");
    let transaction = daemon.home.transactions.get(&name).ok_or_else(lost)?;
    let owned = transaction.owner == *from
        && transaction.workspace == run.workspace
        && transaction.server == run.server
        && entry_incarnation(run.request) == entry_incarnation(name);
    if !owned {
        return Err(Fault::new(
            Code::TransactionLost,
            "the transaction belongs to another session",
        ));
    }
    let writes = transaction.access == Access::Write;
    if writes && route::check_placement(&daemon.config.snapshot, run).is_err() {
        abandon(daemon, now, fx, name);
        let detail = "the routing rules changed; nothing was committed";
        return Err(Fault::new(Code::TransactionLost, detail));
    }
    let transaction = daemon.home.transactions.get_mut(&name).ok_or_else(lost)?;
    if transaction.in_flight.is_some() {
        return Err(Fault::new(Code::Protocol, "a statement of the transaction is under way"));
    }
    transaction.in_flight = Some(run.request);
    let both_read_replicas = matches!(
        (transaction.access, run.access),
        (Access::Replica { .. }, Access::Replica { .. })
    );
    if !both_read_replicas {
        run.access = transaction.access;
    }
    Ok(())
}

/// Opens a transaction on the connection that its first statement ran on.
pub fn open(daemon: &mut Daemon, name: id::Transaction, transaction: Transaction) {
    if let Some(pool) = daemon.home.pools.get_mut(&transaction.server) {
        *pool.open_transactions.entry(transaction.workspace.clone()).or_default() += 1;
    }
    daemon.home.transactions.insert(name, transaction);
}

/// Removes a transaction and returns it.
pub fn remove(daemon: &mut Daemon, fx: &mut Effects, name: id::Transaction) -> Option<Transaction> {
    let transaction = daemon.home.transactions.swap_remove(&name)?;
    fx.cancel(timer::Key::Transaction(name));
    if let Some(pool) = daemon.home.pools.get_mut(&transaction.server)
        && let Some(held) = pool.open_transactions.get_mut(&transaction.workspace)
    {
        *held -= 1;
        if *held == 0 {
            pool.open_transactions.swap_remove(&transaction.workspace);
        }
    }
    Some(transaction)
}

/// Marks a transaction as idle and arms its idle timer.
pub fn set_idle(daemon: &mut Daemon, now: Now, fx: &mut Effects, name: id::Transaction) {
    let idle = Duration::from_millis(daemon.settings.bounds.transaction_idle_ms);
    if let Some(transaction) = daemon.home.transactions.get_mut(&name) {
        transaction.in_flight = None;
        fx.arm(timer::Key::Transaction(name), now.mono + idle);
    }
}

/// Ends a transaction that its session will not continue. An idle connection is reset when a slot
/// is free; a running statement is cancelled and its connection closed when it ends.
pub fn abandon(daemon: &mut Daemon, now: Now, fx: &mut Effects, name: id::Transaction) {
    let Some(transaction) = remove(daemon, fx, name) else {
        return;
    };
    let (server, connection) = (transaction.server, transaction.connection);
    let Some(pool) = daemon.home.pools.get_mut(&server) else {
        return;
    };
    let known = pool.connections.get_mut(&connection);
    match known.map(|known| (&mut known.usage, &mut known.tainted)) {
        Some((Usage::Running(work), tainted)) => {
            work.abandoned = true;
            *tainted = true;
            fx.server(&server, Call::Cancel(connection));
        }
        Some((usage @ Usage::Held(_), _)) => {
            *usage = Usage::AwaitingReset;
        }
        _ => {}
    }
    if let Some(request) = transaction.in_flight.filter(|_| daemon.home.pools.contains_key(&server))
    {
        refuse_waiting(daemon, now, fx, request);
    }
}

/// Refuses the queued statement of an abandoned transaction.
fn refuse_waiting(daemon: &mut Daemon, now: Now, fx: &mut Effects, request: id::Request) {
    let waits = daemon.home.tasks.get(&request).is_some_and(Task::is_waiting);
    if waits {
        let fault = Fault::new(Code::TransactionLost, "the transaction was rolled back");
        task::finish(daemon, now, fx, request, Outcome::NotRun(fault));
    }
}

/// Handles the idle timer of a transaction: rolls it back.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects, name: id::Transaction) {
    let idle = daemon.home.transactions.get(&name).filter(|held| held.in_flight.is_none());
    let Some(server) = idle.map(|transaction| transaction.server.clone()) else {
        return;
    };
    fx.count("home_transactions_timed_out", server.clone(), 1);
    abandon(daemon, now, fx, name);
    task::dispatch(daemon, now, fx, &server);
}

/// Rolls back a transaction whose session ended, or abandons the statement that is to open it.
pub fn on_release(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    name: id::Transaction,
) {
    if let Some(transaction) = daemon.home.transactions.get(&name) {
        if transaction.owner == *from {
            let server = transaction.server.clone();
            abandon(daemon, now, fx, name);
            task::dispatch(daemon, now, fx, &server);
        }
        return;
    }
    let Some(task) = daemon.home.tasks.get(&name).filter(|task| task.from == *from) else {
        return;
    };
    if task.is_waiting() {
        let fault = Fault::new(Code::Cancelled, "the session ended");
        task::finish(daemon, now, fx, name, Outcome::NotRun(fault));
        return;
    }
    let server = task.run.server.clone();
    if let Some(pool) = daemon.home.pools.get_mut(&server) {
        pool::mark_abandoned(pool, name);
    }
}
