//! Whether this daemon currently has the authority to use a database's primary.
//!
//! A daemon has it by its own lease in the store, or by a loan: a peer's short-lived grant for a
//! daemon that cannot renew its lease.

use crate::{
    gossip,
    group::{self, Leader, Move},
    state::State as Daemon,
};
use gcl_core::{
    code::{Code, Fault, Result},
    id,
    time::Now,
};
use std::time::Duration;

/// Retry-after while a primary is being moved.
const MOVING_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry-after while this daemon may not use primaries.
const NO_AUTHORITY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The primary of a database as this daemon sees it, whether or not it may use it.
#[must_use]
pub fn leader(daemon: &Daemon, database: &str) -> Leader {
    match daemon.groups.get(database) {
        Some(known) => group::leader(known, &daemon.directory, database),
        None => group::leader(&group::Group::default(), &daemon.directory, database),
    }
}

/// Whether this daemon may use primaries, by its own lease or by a loan from a peer.
#[must_use]
pub fn is_held(daemon: &Daemon, now: Now) -> bool {
    is_held_by_lease(daemon, now) || now.mono < daemon.gossip.loan_until()
}

/// Whether this daemon may use primaries by its own lease.
///
/// Once renewal of the lease is overdue, the daemon must also reach a majority of the others.
/// Otherwise, a daemon that is partitioned together with a primary would acknowledge commits that
/// no other server receives, and that are lost when the other daemons move the primary.
#[must_use]
pub fn is_held_by_lease(daemon: &Daemon, now: Now) -> bool {
    daemon.lease.is_valid(now.mono)
        && (!daemon.lease.is_overdue(now.mono) || gossip::in_majority(daemon, now))
}

/// When the authority ends unless it is renewed.
#[must_use]
pub fn expires_at(daemon: &Daemon) -> Duration {
    daemon.lease.expires_at().max(daemon.gossip.loan_until())
}

/// The primary of a database for a single statement outside a transaction. During a planned move
/// the old primary keeps serving such statements until this daemon releases it.
///
/// # Errors
/// [`Code::NoPrimary`] with the reason.
pub fn primary_for_statement(daemon: &Daemon, now: Now, database: &str) -> Result<id::Server> {
    match unreleased(daemon, now, database).filter(|moved| moved.intention.planned) {
        Some(moved) => Ok(moved.intention.from.clone()),
        None => primary(daemon, now, database),
    }
}

/// The move of a primary that this daemon has not released yet, if the moving daemon waits for it.
fn unreleased<'a>(daemon: &'a Daemon, now: Now, database: &str) -> Option<&'a Move> {
    let group = daemon.groups.get(database).filter(|group| !group.released)?;
    group.latest_move.as_ref().filter(|moved| moved.ack_awaited && is_held_by_lease(daemon, now))
}

/// The primary of a database, if this daemon may use it now.
///
/// # Errors
/// [`Code::NoPrimary`] with the reason.
pub fn primary(daemon: &Daemon, now: Now, database: &str) -> Result<id::Server> {
    if !is_held(daemon, now) {
        let fault = Fault::new(Code::NoPrimary, "the lease to use primaries is not held");
        return Err(fault.retry_after(NO_AUTHORITY_RETRY_AFTER));
    }
    match leader(daemon, database) {
        Leader::Known(server) => Ok(server),
        Leader::Moving => Err(Fault::new(Code::NoPrimary, "the primary is being moved")
            .retry_after(MOVING_RETRY_AFTER)),
        Leader::Unknown => Err(Fault::new(Code::NoPrimary, "no single server is primary")
            .retry_after(MOVING_RETRY_AFTER)),
    }
}

/// Whether a response of `server` as primary may still be forwarded.
#[must_use]
pub fn accepts_answer(daemon: &Daemon, now: Now, database: &str, server: &str) -> bool {
    if primary(daemon, now, database).is_ok_and(|primary| primary == server) {
        return true;
    }
    // Until this daemon acknowledges a move, the old primary is not superseded.
    unreleased(daemon, now, database).is_some_and(|moved| moved.intention.from == server)
}
