//! Loans of the right to use primaries.

use super::{HURRY, LOAN, MARGIN, digest, digest::Echo, tell};
use crate::{effect::Effects, line::Line, right, state::State as Daemon};
use gcl_core::{id, time::Now};
use std::time::Duration;

/// What is left of the lease when loans are asked for.
const NEED: Duration = Duration::from_millis(4200);

/// Whether nobody uses a database's old primary by a loan of this daemon's right: each borrower has
/// acknowledged the intention, or its loan has run out.
#[must_use]
pub fn loans_ended(
    daemon: &Daemon,
    now: Now,
    database: &id::Database,
    revision: id::Revision,
) -> bool {
    // An earlier life of this daemon may have lent.
    if now.mono < LOAN {
        return false;
    }
    let peers = &daemon.gossip.peers;
    let mut borrowing = peers.iter().filter(|(_, peer)| now.mono < peer.lent_until);
    borrowing.all(|(name, peer)| {
        let known = daemon.gossip.acknowledged(name, peer.digest.incarnation, database);
        known.revision >= revision
    })
}

/// Whether this daemon had a lease that it may not be able to renew.
pub(super) fn needs_loan(daemon: &Daemon, now: Now) -> bool {
    let left = daemon.lease.until().saturating_sub(now.mono);
    daemon.lease.record.incarnation != 0 && daemon.lease.revision != 0 && left < NEED
}

/// Answers a daemon that asks for a loan, if there is one for it. Two that both ask would else answer
/// each other without end.
pub(super) fn lend(daemon: &mut Daemon, now: Now, fx: &mut Effects, to: &id::Daemon) {
    let able = daemon.lease.holds(now.mono) && !daemon.lease.overdue(now.mono);
    let peer = daemon.gossip.peers.entry(to.clone()).or_default();
    if able && now.since(peer.answered) >= HURRY {
        peer.answered = now.mono;
        let answer = digest(daemon, now);
        tell(daemon, now, fx, to, answer);
    }
}

/// Takes a loan of a peer's right.
pub(super) fn borrow(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    loan: Duration,
    echo: Echo,
) {
    // No lender promises more, and nothing was sent to it after now.
    let until = (echo.sent.min(now.mono) + loan.min(LOAN)).saturating_sub(MARGIN);
    if until <= now.mono || until <= daemon.gossip.loan_until {
        return;
    }
    if !right::holds(daemon, now) {
        let line = Line::state_change("right borrowed").with("lender", from);
        fx.log(line.millis("left", until.saturating_sub(now.mono)));
    }
    daemon.gossip.loan_until = until;
}
