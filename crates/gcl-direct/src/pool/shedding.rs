//! Load shedding: statements queued at a server that cannot serve them in time are refused or
//! retried elsewhere at once, instead of waiting for their deadline.

use super::{INITIAL_LATENCY, max_running, serving_order};
use crate::{
    effect::Effects,
    queue::{self, Waiter},
    request,
    state::State as Daemon,
};
use gcl_core::{id, time::Now};

/// Refuses the statements whose expected wait in a home's queue exceeds their remaining time, since
/// more urgent statements that arrived later go ahead of them. The least urgent come last in the
/// serving order, so they are refused first.
pub(super) fn shed(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let concurrency = max_running(daemon, server);
    if concurrency == usize::MAX {
        return;
    }
    let service_time = daemon.pools.get(server).map_or(INITIAL_LATENCY, |pool| pool.latency);
    let until = |waiter: &Waiter| {
        let state = daemon.sessions.get(&waiter.session);
        state.and_then(|state| state.request.as_ref()).map_or(now.mono, |it| it.queue_deadline)
    };
    let serving_order = serving_order(daemon, now, server);
    let times = serving_order.iter().map(|waiter| until(waiter).saturating_sub(now.mono));
    let late = queue::past_deadline(times, service_time, concurrency);
    let late: Vec<_> =
        late.into_iter().map(|(index, wait)| (serving_order[index].session, wait)).collect();
    for (session, wait) in late {
        request::on_shed(daemon, now, fx, session, server, wait);
    }
}

/// Removes all statements from a server's queue and retries them, if no connection to the server is
/// left.
pub fn reroute_waiting(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let Some(pool) = daemon.pools.get_mut(server) else {
        return;
    };
    if !pool.connections.is_empty() {
        return;
    }
    let waiters = std::mem::take(&mut pool.waiting);
    for waiter in waiters {
        request::on_rerouted(daemon, now, fx, waiter.session, server);
    }
}
