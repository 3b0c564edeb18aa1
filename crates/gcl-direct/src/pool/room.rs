//! Room for another connection to a server: within this daemon's share, or in place of an idle
//! connection.

use super::{Pool, allocation, close, share::share_of};
use crate::{effect::Effects, line::Line, queue::Waiter, state::State as Daemon, timer};
use gcl_core::{id, time::Now};
use std::time::Duration;

/// The idle connections of a pool, with their workspaces.
fn idle_connections<'a>(
    daemon: &'a Daemon,
    pool: &'a Pool,
) -> impl Iterator<Item = (id::Connection, &'a id::Workspace)> {
    let open = pool.connections.iter();
    let open = open.filter_map(|id| Some((*id, daemon.connections.get(id)?)));
    open.filter(|(_, conn)| conn.is_idle()).map(|(id, conn)| (id, &conn.workspace))
}

/// Whether a connection may be opened; closes an idle one first if necessary.
pub(super) fn make_room(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    waiter: &Waiter,
) -> bool {
    let share = share_of(daemon, now, server);
    let Some(pool) = daemon.pools.get(server) else {
        return false;
    };
    if now.mono < pool.failed_until {
        daemon.timers.arm_by(timer::Key::IdleConnections(server.clone()), pool.failed_until);
        return false;
    }
    let open = pool.connections.len();
    let full = now.mono < pool.full_until;
    if !full && open < share.retained {
        return true;
    }
    let idle = idle_connections(daemon, pool);
    if let Some((idle, next)) = allocation::to_close(idle, &pool.arrivals, now.mono) {
        let conn = daemon.connections.get(&idle);
        let line = Line::routine("connection closed for another workspace").with("server", server);
        let line = line.with("connection", idle).with("open", open).with("limit", share.max);
        let line = line.with("closed", conn.map_or("", |conn| &conn.workspace));
        let line = line.millis("idle", conn.map_or(Duration::ZERO, |it| now.since(it.last_used)));
        let line = line.with("for", &waiter.workspace).with("priority", waiter.urgency.route);
        fx.log(line.millis("needed_in", next).with("full", full));
        fx.count("gcl_backend_replaced", server);
        close(daemon, fx, idle);
        return true;
    }
    if full {
        daemon.timers.arm_by(timer::Key::IdleConnections(server.clone()), pool.full_until);
    }
    !full && open < share.max
}
