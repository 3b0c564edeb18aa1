//! Transactions that callers hold open, as their entry sees them.
//!
//! A transaction lives on one connection of one home. When that is lost, none of the transaction
//! was committed, and the session learns it with its next statement until it ends the transaction.

use super::{Message, Pending, Submit, tell};
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
pub(super) struct Open {
    /// The transaction.
    pub transaction: id::Transaction,
    /// Where it belongs.
    pub place: Destination,
    /// The home that holds its connection.
    pub home: id::Daemon,
    /// The server that runs it.
    pub server: id::Server,
    /// What it needs of the server.
    pub access: Access,
    /// Whether its connection is gone.
    pub lost: bool,
}

/// The place of a request: its transaction's, or the one that the rules give.
pub(super) fn place(daemon: &mut Daemon, submit: &Submit) -> Result<Destination> {
    let Some(open) = daemon.request.open.get(&submit.session) else {
        return super::place(daemon, submit);
    };
    if !open.lost {
        return Ok(open.place.clone());
    }
    if matches!(submit.class, Class::Commit | Class::Rollback) {
        daemon.request.open.swap_remove(&submit.session);
    }
    Err(Fault::new(Code::TransactionLost, "the transaction was lost; none of it was committed"))
}

/// How a request relates to its session's transaction.
pub(super) fn scope(daemon: &Daemon, submit: &Submit) -> Scope {
    match daemon.request.open.get(&submit.session) {
        Some(open) => Scope::Within(open.transaction),
        None if matches!(submit.class, Class::Begin { .. }) => Scope::Begin,
        None => Scope::Single,
    }
}

/// Follows the outcome of a request of a session.
pub(super) fn track(
    daemon: &mut Daemon,
    fx: &mut Effects,
    request: id::Request,
    pending: &Pending,
    access: Access,
    outcome: &Outcome,
) {
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
                access,
                lost: false,
            };
            daemon.request.open.insert(session, open);
        }
        Outcome::Done { .. } => {}
        Outcome::NotRun(fault) => on_refusal(daemon, fx, session, fault.code),
        Outcome::Unknown(_) => {
            if matches!(pending.submit.class, Class::Commit | Class::Rollback) {
                release(daemon, fx, session);
            } else {
                lose(daemon, fx, session);
            }
        }
    }
}

fn on_refusal(daemon: &mut Daemon, fx: &mut Effects, session: id::Session, code: Code) {
    match code {
        Code::TransactionLost | Code::HomeLost | Code::ServerLost | Code::Draining => {
            lose(daemon, fx, session);
        }
        _ => {}
    }
}

/// Marks a session's transaction as lost and has its home roll it back.
pub(super) fn lose(daemon: &mut Daemon, fx: &mut Effects, session: id::Session) {
    let Some(open) = daemon.request.open.get_mut(&session).filter(|open| !open.lost) else {
        return;
    };
    open.lost = true;
    let (home, transaction) = (open.home.clone(), open.transaction);
    tell(daemon, fx, &home, Message::Release(transaction));
}

/// Forgets a session's transaction and has its home roll it back.
pub(super) fn release(daemon: &mut Daemon, fx: &mut Effects, session: id::Session) {
    if let Some(open) = daemon.request.open.swap_remove(&session) {
        tell(daemon, fx, &open.home, Message::Release(open.transaction));
    }
}
