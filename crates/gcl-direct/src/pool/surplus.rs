//! Closing of idle connections that a daemon does not retain.

use super::{POLL_INTERVAL, close, dispatch, share::share_of};
use crate::{effect::Effects, state::State as Daemon, timer};
use gcl_core::{id, time::Now};
use std::time::Duration;

/// How long a connection beyond the share may be idle.
const SURPLUS_IDLE: Duration = Duration::from_millis(300);

/// Whether a server is about to stop, is gone, or is in an evacuated failure domain.
fn is_leaving(daemon: &Daemon, server: &str) -> bool {
    let entry = daemon.directory.get(server);
    entry.is_none_or(|entry| entry.draining || daemon.evacuation.contains(&entry.domain))
}

/// Whether a server's position is polled repeatedly, so that its connection is needed again soon.
fn is_polled(daemon: &Daemon, now: Now, server: &str) -> bool {
    daemon.pools.get(server).is_some_and(|pool| {
        pool.polled > Duration::ZERO && now.since(pool.polled) < POLL_INTERVAL * 2
    })
}

/// Schedules the closing of idle connections that exceed the share or lead to a leaving server.
pub(super) fn schedule_surplus_check(daemon: &mut Daemon, now: Now, server: &id::Server) {
    let share = share_of(daemon, now, server);
    let leaving = is_leaving(daemon, server);
    let count = daemon.pools.get(server).map_or(0, |pool| pool.connections.len());
    if leaving || count > share.retained {
        let at_once = share.retained == 0 && !is_polled(daemon, now, server);
        let delay = if at_once { Duration::ZERO } else { SURPLUS_IDLE };
        daemon.timers.arm_by(timer::Key::IdleConnections(server.clone()), now.mono + delay);
    }
}

/// Closes idle connections that exceed the share or lead to a leaving server.
pub fn on_surplus(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    dispatch(daemon, now, fx, server);
    let leaving = is_leaving(daemon, server);
    let retained = if leaving { 0 } else { share_of(daemon, now, server).retained };
    let at_once = retained == 0 && !is_polled(daemon, now, server);
    let Some(pool) = daemon.pools.get(server) else {
        return;
    };
    let mut surplus = pool.connections.len().saturating_sub(retained);
    let mut expired = Vec::new();
    for id in &pool.connections {
        let idle = daemon.connections.get(id).filter(|conn| conn.is_idle());
        let Some(idle) = idle.filter(|_| surplus > 0) else {
            continue;
        };
        if at_once || now.since(idle.last_used) >= SURPLUS_IDLE {
            expired.push(*id);
            surplus -= 1;
        }
    }
    for id in expired {
        close(daemon, fx, id);
    }
    if surplus > 0 {
        let again = now.mono + SURPLUS_IDLE;
        daemon.timers.arm_by(timer::Key::IdleConnections(server.clone()), again);
    }
}
