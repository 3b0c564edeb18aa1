//! A planned stop: callers are moved to other daemons without cutting what they have under way.
//!
//! The daemon reports at once that it is not ready. When the balancer has had the time to notice,
//! sessions are closed as they come to rest; transactions may go on for half of the grace, and what
//! runs then still gets its answer.

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
const NOTICE: Duration = Duration::from_millis(2200);
/// Part of the grace in which open transactions may go on, as a divisor.
const TRANSACTION_PART: u32 = 2;
/// What is left of the grace when the process ends whatever is open.
const RESERVE: Duration = Duration::from_millis(400);
/// Time between two looks at what is left.
const STEP: Duration = Duration::from_millis(200);

/// How far a planned stop is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// None was asked for.
    #[default]
    Serving,
    /// It began at this time.
    Draining(Duration),
    /// Nothing is left to do.
    Ended,
}

/// Begins a planned stop.
pub fn start(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if daemon.drain != State::Serving {
        return;
    }
    daemon.drain = State::Draining(now.mono);
    fx.log(Line::belief("draining").with("sessions", daemon.sessions.len()));
    gossip::send_now(daemon, now);
    let end = now.mono + daemon.settings.bounds.grace.saturating_sub(RESERVE);
    daemon.timers.arm(timer::Key::Grace, end);
    daemon.timers.arm(timer::Key::Drain, now.mono + NOTICE);
}

fn closing(daemon: &Daemon, now: Now) -> bool {
    matches!(daemon.drain, State::Draining(since) if now.since(since) >= NOTICE)
}

/// Whether callers may still log in. What begins in the second half of the grace might be cut by its
/// end, and once the daemon has ended the process lives on only for its last call to the store.
#[must_use]
pub fn admits(daemon: &Daemon, now: Now) -> bool {
    match daemon.drain {
        State::Serving => true,
        State::Draining(since) => {
            now.since(since) < daemon.settings.bounds.grace / TRANSACTION_PART
        }
        State::Ended => false,
    }
}

/// Closes a session that comes to rest while the daemon drains.
pub fn on_answered(daemon: &mut Daemon, now: Now, fx: &mut Effects, session: id::Session) {
    if closing(daemon, now) {
        session::release_idle(daemon, now, fx, session);
    }
}

/// Goes on with a planned stop.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let State::Draining(since) = daemon.drain else {
        return;
    };
    let idle = daemon.sessions.iter().filter(|(_, entry)| entry.is_idle());
    let idle: Vec<_> = idle.map(|(name, _)| *name).collect();
    for session in idle {
        on_answered(daemon, now, fx, session);
    }
    let grace = daemon.settings.bounds.grace;
    if now.since(since) >= grace / TRANSACTION_PART {
        let open = daemon.sessions.iter().filter(|(_, entry)| entry.request.is_none());
        let open: Vec<_> = open.map(|(name, _)| *name).collect();
        for session in open {
            session::fail_transaction(daemon, now, fx, session, "the daemon stops");
        }
    }
    daemon.timers.arm(timer::Key::Drain, now.mono + STEP);
    on_progress(daemon, now, fx);
}

/// Ends the process when no session is left.
pub fn on_progress(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if closing(daemon, now) && daemon.sessions.is_empty() {
        end(daemon, fx);
    }
}

/// Ends the process, and gives its lease back so that nobody waits for it.
pub fn end(daemon: &mut Daemon, fx: &mut Effects) {
    if daemon.drain == State::Ended {
        return;
    }
    daemon.drain = State::Ended;
    fx.log(Line::belief("stopped").with("sessions", daemon.sessions.len()));
    if daemon.lease.stage == Stage::Held {
        fx.store(Call::Revoke(daemon.lease.lease));
    }
    fx.push(Effect::Exit);
}
