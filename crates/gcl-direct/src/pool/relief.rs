//! Statements that wait at a server which cannot serve them in time: they are refused or go elsewhere at
//! once, and do not wait for their time to be over.

use super::{LATENCY_FIRST, doubt, is_doubtful, most_running, ordered, withdraw};
use crate::{
    effect::Effects,
    place::Need,
    queue::{self, Waiter},
    request,
    state::State as Daemon,
    timer,
};
use gcl_core::{id, time::Now};

/// Refuses the statements that others have pushed so far back in a home's queue that their time does
/// not suffice.
pub(super) fn shed(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let lanes = most_running(daemon, server);
    if lanes == usize::MAX {
        return;
    }
    let turn = daemon.pools.get(server).map_or(LATENCY_FIRST, |pool| pool.latency);
    let until = |waiter: &Waiter| {
        let entry = daemon.sessions.get(&waiter.session);
        entry.and_then(|entry| entry.request.as_ref()).map_or(now.mono, |it| it.wait_until)
    };
    let ordered = ordered(daemon, now, server);
    let times = ordered.iter().map(|waiter| until(waiter).saturating_sub(now.mono));
    let late = queue::late(times, turn, lanes);
    let late: Vec<_> =
        late.into_iter().map(|(place, wait)| (ordered[place].session, wait)).collect();
    for (session, wait) in late {
        request::on_shed(daemon, now, fx, session, wait);
    }
}

/// Has the pool looked at when an opening becomes overdue.
pub(super) fn watch_openings(daemon: &mut Daemon, now: Now, server: &id::Server) {
    let due = daemon.pools.get(server).and_then(|pool| doubt::due(daemon, now, pool));
    if let Some(due) = due {
        daemon.timers.arm_by(timer::Key::Surplus(server.clone()), due);
    }
}

/// Sends the waiting statements of a server in doubt elsewhere that another server can run.
pub(super) fn spare(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    watch_openings(daemon, now, server);
    let Some(pool) = daemon.pools.get(server).filter(|pool| is_doubtful(daemon, now, pool)) else {
        return;
    };
    if !doubt::has_better(daemon, now, server) {
        return;
    }
    let elsewhere = |waiter: &&Waiter| {
        let entry = daemon.sessions.get(&waiter.session);
        let request = entry.and_then(|entry| entry.request.as_ref());
        request.is_some_and(|request| request.need == Need::Recent)
    };
    let spared: Vec<_> = pool.waiting.iter().filter(elsewhere).map(|it| it.session).collect();
    for session in spared {
        withdraw(daemon, server, session);
        request::on_unserved(daemon, now, fx, session, server);
    }
}

/// Sends the waiting statements of a server elsewhere when it has no connection that could serve
/// them soon.
pub fn strand(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let Some(pool) = daemon.pools.get_mut(server) else {
        return;
    };
    if !pool.connections.is_empty() {
        return;
    }
    let stranded = std::mem::take(&mut pool.waiting);
    for waiter in stranded {
        request::on_unserved(daemon, now, fx, waiter.session, server);
    }
}
