//! Loans of the authority to use primaries.

use super::{LOAN_MARGIN, MAX_LOAN, MIN_PERIOD, digest, digest::Echo, send};
use crate::{authority, effect::Effects, line::Line, state::State as Daemon};
use gcl_core::{id, time::Now};
use std::time::Duration;

/// Remaining lease time below which loans are requested.
const LOAN_THRESHOLD: Duration = Duration::from_millis(4200);

/// Whether no daemon uses a database's old primary through a loan from this daemon: each borrower
/// has acknowledged the intention, or its loan has expired.
#[must_use]
pub fn loans_ended(
    daemon: &Daemon,
    now: Now,
    database: &id::Database,
    revision: id::Revision,
) -> bool {
    // An earlier incarnation of this daemon may have made loans.
    if now.mono < MAX_LOAN {
        return false;
    }
    let peers = &daemon.gossip.peers;
    let mut borrowing = peers.iter().filter(|(_, peer)| now.mono < peer.lent_until);
    borrowing.all(|(name, peer)| {
        let acknowledged = daemon.gossip.acknowledged(name, peer.digest.incarnation, database);
        acknowledged.revision >= revision
    })
}

/// Whether this daemon has held a lease that is now close to expiry or expired.
pub(super) fn needs_loan(daemon: &Daemon, now: Now) -> bool {
    let left = daemon.lease.expires_at().saturating_sub(now.mono);
    daemon.lease.record.incarnation != 0 && daemon.lease.revision != 0 && left < LOAN_THRESHOLD
}

/// Answers a loan request at once if this daemon can lend. Without that condition, two daemons that
/// both request loans would answer each other without end.
pub(super) fn lend(daemon: &mut Daemon, now: Now, fx: &mut Effects, to: &id::Daemon) {
    let can_lend = daemon.lease.is_valid(now.mono) && !daemon.lease.is_overdue(now.mono);
    let peer = daemon.gossip.peers.entry(to.clone()).or_default();
    if can_lend && now.since(peer.loan_answered_at) >= MIN_PERIOD {
        peer.loan_answered_at = now.mono;
        let answer = digest(daemon, now);
        send(daemon, now, fx, to, answer);
    }
}

/// Accepts a loan of a peer's authority.
pub(super) fn borrow(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    loan: Duration,
    echo: Echo,
) {
    // A malformed digest may carry larger values: a loan never exceeds `MAX_LOAN`, nor does an
    // echoed send time lie in the future.
    let until = (echo.sent.min(now.mono) + loan.min(MAX_LOAN)).saturating_sub(LOAN_MARGIN);
    if until <= now.mono || until <= daemon.gossip.loan_until {
        return;
    }
    if !authority::is_held(daemon, now) {
        let line = Line::state_change("right borrowed").with("lender", from);
        fx.log(line.millis("left", until.saturating_sub(now.mono)));
    }
    daemon.gossip.loan_until = until;
}
