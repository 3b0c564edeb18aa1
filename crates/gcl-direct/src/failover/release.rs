//! Release of an old primary by this daemon, and its acknowledgement.

use super::CHECK_INTERVAL;
use crate::{
    effect::Effects, gossip, lease::Acknowledgement, placement::Need, registration, request,
    session::Transaction, state::State as Daemon, timer,
};
use gcl_core::{id, time::Now};
use std::time::Duration;

/// How long a primary that is moved while it works remains in use: transactions may finish, and
/// single statements are still served. All daemons release it at about the same time, so that no
/// caller waits for the transactions of another daemon.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(600);

/// Releases the old primary of an intention, and acknowledges it once no daemon uses it by a loan.
pub(super) fn release(daemon: &mut Daemon, now: Now, fx: &mut Effects, database: &id::Database) {
    let Some(group) = daemon.groups.get(database) else {
        return;
    };
    let Some(moved) = &group.latest_move else {
        return;
    };
    let (revision, from, released) = (moved.revision, moved.intention.from.clone(), group.released);
    if !released {
        let may_wait = moved.intention.planned && moved.ack_awaited;
        if may_wait && now.since(moved.seen) < RELEASE_TIMEOUT {
            let due = moved.seen + RELEASE_TIMEOUT;
            return daemon.timers.arm_by(timer::Key::Failover(database.clone()), due);
        }
        let held = sessions_on_primary(daemon, database);
        if let Some(group) = daemon.groups.get_mut(database) {
            group.released = true;
        }
        for (session, connection) in held {
            request::on_lost(daemon, now, fx, session, connection, "the primary is being moved");
        }
        reroute_waiting(daemon, now, fx, database, &from);
    }
    if gossip::loans_ended(daemon, now, database, revision) {
        let mark = super::successor::own_position(daemon, database, &from);
        registration::acknowledge(daemon, now, fx, database, Acknowledgement { revision, mark });
    } else {
        daemon.timers.arm_by(timer::Key::Failover(database.clone()), now.mono + CHECK_INTERVAL);
    }
}

/// Sessions that use any server as the primary of a database.
fn sessions_on_primary(
    daemon: &Daemon,
    database: &id::Database,
) -> Vec<(id::Session, id::Connection)> {
    let users = daemon.connections.iter().filter_map(|(connection, known)| {
        let entry = daemon.directory.get(&known.server)?;
        (entry.database == *database).then_some((known.session?, *connection))
    });
    let as_primary = users.filter(|(session, _)| {
        daemon.sessions.get(session).is_some_and(|state| {
            match (&state.transaction, &state.request) {
                (Transaction::Open(open), _) => open.on_primary,
                (_, Some(request)) => request.need == Need::Primary,
                _ => false,
            }
        })
    });
    as_primary.collect()
}

/// Sends statements queued for the old primary to the new one.
fn reroute_waiting(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
    server: &id::Server,
) {
    let waiting = daemon.pools.get_mut(server).map(|pool| std::mem::take(&mut pool.waiting));
    for waiter in waiting.unwrap_or_default() {
        request::on_rerouted(daemon, now, fx, waiter.session, server);
    }
    daemon.timers.arm_by(timer::Key::Failover(database.clone()), now.mono + CHECK_INTERVAL);
}
