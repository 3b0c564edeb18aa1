//! Open transactions at their entry.
//!
//! A transaction is bound to one connection of one home. If the connection is lost, nothing of the
//! transaction was committed, and the session's statements fail until it ends the transaction.

use super::{Message, Pending, Submission, send_message};
use crate::{
    batch::Status,
    code::{Code, Fault, Result},
    effect::Effects,
    id,
    route::Destination,
    run::{Access, Outcome, Scope},
    state::State as Daemon,
    statement::Class,
};

/// A session's open transaction.
#[derive(Clone, Debug)]
pub(super) struct Transaction {
    /// The transaction.
    pub id: id::Transaction,
    /// Its database and the rule that placed it.
    pub destination: Destination,
    /// The home that holds its connection.
    pub home: id::Daemon,
    /// The server that runs it.
    pub server: id::Server,
    /// What it requires of the server.
    pub access: Access,
    /// Whether its connection was lost.
    pub lost: bool,
}

/// The destination of a request: its transaction's, or else the one that the rules give.
pub(super) fn destination(daemon: &mut Daemon, submission: &Submission) -> Result<Destination> {
    let Some(transaction) = daemon.request.open_transactions.get(&submission.session) else {
        return super::resolve_destination(daemon, submission);
    };
    if !transaction.lost {
        return Ok(transaction.destination.clone());
    }
    if matches!(submission.class, Class::Commit | Class::Rollback) {
        daemon.request.open_transactions.swap_remove(&submission.session);
    }
    Err(Fault::new(Code::TransactionLost, "the transaction was lost; none of it was committed"))
}

/// How a request relates to its session's transaction.
pub(super) fn scope(daemon: &Daemon, submission: &Submission) -> Scope {
    match daemon.request.open_transactions.get(&submission.session) {
        Some(transaction) => Scope::Within(transaction.id),
        None if matches!(submission.class, Class::Begin { .. }) => Scope::Begin,
        None => Scope::Single,
    }
}

/// Updates a session's transaction after the outcome of one of its requests.
pub(super) fn update(
    daemon: &mut Daemon,
    fx: &mut Effects,
    request: id::Request,
    pending: &Pending,
    access: Access,
    outcome: &Outcome,
) {
    let session = pending.submission.session;
    match outcome {
        Outcome::Done { status: Status::Idle, .. } => {
            daemon.request.open_transactions.swap_remove(&session);
        }
        Outcome::Done { .. } if !daemon.request.open_transactions.contains_key(&session) => {
            let transaction = Transaction {
                id: request,
                destination: pending.destination.clone(),
                home: pending.home.clone(),
                server: pending.server.clone(),
                access,
                lost: false,
            };
            daemon.request.open_transactions.insert(session, transaction);
        }
        Outcome::Done { .. } => {}
        Outcome::NotRun(fault) => on_refusal(daemon, fx, session, fault.code),
        Outcome::Unknown(_) => {
            if matches!(pending.submission.class, Class::Commit | Class::Rollback) {
                release(daemon, fx, session);
            } else {
                mark_lost(daemon, fx, session);
            }
        }
    }
}

fn on_refusal(daemon: &mut Daemon, fx: &mut Effects, session: id::Session, code: Code) {
    match code {
        Code::TransactionLost | Code::HomeLost | Code::ServerLost | Code::Draining => {
            mark_lost(daemon, fx, session);
        }
        _ => {}
    }
}

/// Marks a session's transaction as lost and has its home roll it back.
pub(super) fn mark_lost(daemon: &mut Daemon, fx: &mut Effects, session: id::Session) {
    let Some(transaction) =
        daemon.request.open_transactions.get_mut(&session).filter(|transaction| !transaction.lost)
    else {
        return;
    };
    transaction.lost = true;
    let (home, transaction) = (transaction.home.clone(), transaction.id);
    send_message(daemon, fx, &home, Message::Release(transaction));
}

/// Removes a session's transaction and has its home roll it back.
pub(super) fn release(daemon: &mut Daemon, fx: &mut Effects, session: id::Session) {
    if let Some(transaction) = daemon.request.open_transactions.swap_remove(&session) {
        send_message(daemon, fx, &transaction.home, Message::Release(transaction.id));
    }
}
