//! The load that a home reports to entries, for the choice between homes ([`crate::balance`]).

use crate::{
    authority, balance::Load, cold, directory, placement, pool::Pool, queue, state::State as Daemon,
};
use gcl_core::{id, time::Now};
use std::time::Duration;

/// The load of a database's servers in this daemon's region, if it is the home of the database and
/// has a server that takes reads.
#[must_use]
pub fn of_database(daemon: &Daemon, now: Now, database: &id::Database) -> Option<Load> {
    if !daemon.home.is_home(database) {
        return None;
    }
    let primary = authority::primary(daemon, now, database).ok();
    let mut queued = 0;
    let mut best: Option<(Duration, bool, Duration)> = None;
    for (server, listed) in directory::servers(&daemon.directory, database) {
        let pool = daemon.pools.get(server);
        if daemon.settings.distance(&listed.domain) > 1
            || listed.draining
            || daemon.evacuation.contains(&listed.domain)
            || pool.is_some_and(|pool| now.mono < pool.failed_until)
            || cold::is_limited(daemon, now, server)
        {
            continue;
        }
        queued += pool.map_or(0, |pool| pool.waiting.len());
        let wait = pool.map_or(Duration::ZERO, |pool| wait(daemon, pool, listed.slots));
        let on_primary = primary.as_ref() == Some(server);
        let penalty = if on_primary { placement::PRIMARY_PENALTY } else { Duration::ZERO };
        let candidate = (wait + penalty, on_primary, wait);
        if best.is_none_or(|known| candidate < known) {
            best = Some(candidate);
        }
    }
    best.map(|(_, on_primary, wait)| Load {
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        queued: u32::try_from(queued).unwrap_or(u32::MAX),
        on_primary,
    })
}

/// Expected wait of a statement that arrives now, for a slot and for a connection.
fn wait(daemon: &Daemon, pool: &Pool, slots: usize) -> Duration {
    let connections = pool.connections.iter().filter_map(|id| daemon.connections.get(id));
    let running = connections.filter(|conn| conn.in_flight.is_some()).count();
    let for_slot = match (running + pool.waiting.len()).checked_sub(slots) {
        Some(ahead) => queue::expected_wait(ahead, pool.latency, slots),
        None => Duration::ZERO,
    };
    let Some(ahead) = pool.waiting.len().checked_sub(1) else {
        return for_slot;
    };
    for_slot.max(queue::expected_wait(ahead, pool.hold_time, pool.connections.len()))
}
