//! Graceful shutdown: callers move to other daemons without interrupted statements.
//!
//! The daemon reports at once that it is not ready. When the balancer has had time to notice, each
//! session is closed as soon as it is idle. Transactions may go on for half of the grace period; a
//! statement that runs at that point still gets its answer.

use crate::{
    effect::{Effect, Effects},
    gossip,
    lease::Stage,
    line::Line,
    session,
    state::State as Daemon,
    store::Call,
    timer,
};
use gcl_core::{id, time::Now};
use std::time::Duration;

/// Time in which the balancer notices that a daemon is not ready.
const BALANCER_DELAY: Duration = Duration::from_millis(2200);
/// Divisor of the grace period that gives the time in which open transactions may go on.
const TRANSACTION_DIVISOR: u32 = 2;
/// Remainder of the grace period at which the process exits, whatever is still open.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Interval between checks of what is still open.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Progress of the shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// No shutdown was requested.
    #[default]
    Serving,
    /// Draining since this time.
    Draining(Duration),
    /// The process exits.
    Ended,
}

/// Starts to drain.
pub fn start(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if daemon.drain != State::Serving {
        return;
    }
    daemon.drain = State::Draining(now.mono);
    fx.log(Line::state_change("draining").with("sessions", daemon.sessions.len()));
    gossip::send_now(daemon, now);
    let end = now.mono + daemon.settings.bounds.grace.saturating_sub(EXIT_MARGIN);
    daemon.timers.arm(timer::Key::Grace, end);
    daemon.timers.arm(timer::Key::Drain, now.mono + BALANCER_DELAY);
}

/// Whether the balancer has had time to notice, so that idle sessions are closed.
fn closes_idle(daemon: &Daemon, now: Now) -> bool {
    matches!(daemon.drain, State::Draining(since) if now.since(since) >= BALANCER_DELAY)
}

/// Whether new work is accepted: logins of callers and operations from other daemons. In the second
/// half of the grace period it might be interrupted by its end, and in [`State::Ended`] the process
/// only completes its last store call.
#[must_use]
pub fn accepts_work(daemon: &Daemon, now: Now) -> bool {
    match daemon.drain {
        State::Serving => true,
        State::Draining(since) => {
            now.since(since) < daemon.settings.bounds.grace / TRANSACTION_DIVISOR
        }
        State::Ended => false,
    }
}

/// Closes a session that has become idle while the daemon drains.
pub fn on_answered(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    if closes_idle(daemon, now) {
        session::close_idle(daemon, now, fx, session);
    }
}

/// Closes idle sessions, and fails open transactions in the second half of the grace period.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let State::Draining(since) = daemon.drain else {
        return;
    };
    let idle = daemon.sessions.iter().filter(|(_, state)| state.is_idle());
    let idle: Vec<_> = idle.map(|(session, _)| *session).collect();
    for session in idle {
        on_answered(daemon, now, fx, session);
    }
    let grace = daemon.settings.bounds.grace;
    if now.since(since) >= grace / TRANSACTION_DIVISOR {
        let open = daemon.sessions.iter().filter(|(_, state)| state.request.is_none());
        let open: Vec<_> = open.map(|(session, _)| *session).collect();
        for session in open {
            session::fail_transaction(daemon, now, fx, session, "the daemon stops");
        }
    }
    daemon.timers.arm(timer::Key::Drain, now.mono + CHECK_INTERVAL);
    exit_if_idle(daemon, now, fx);
}

/// Exits when no session is left.
pub fn exit_if_idle(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if closes_idle(daemon, now) && daemon.sessions.is_empty() {
        exit(daemon, fx);
    }
}

/// Gives up the authority to use primaries, ends this daemon's lease, so that others need not wait
/// for its expiry, and exits the process.
pub fn exit(daemon: &mut Daemon, fx: &mut Effects) {
    if daemon.drain == State::Ended {
        return;
    }
    daemon.drain = State::Ended;
    fx.log(Line::state_change("stopped").with("sessions", daemon.sessions.len()));
    if daemon.lease.stage == Stage::Held {
        fx.store(Call::Revoke(daemon.lease.lease));
        daemon.lease.give_up();
        daemon.timers.cancel(&timer::Key::Lease);
    }
    fx.push(Effect::Exit);
}
