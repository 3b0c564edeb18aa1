//! Servers that may take over from a primary, and what they and the primary have received.

use super::evidence::{Candidate, select_successor};
use crate::{
    directory::{self, Entry},
    effect::Effects,
    pool,
    state::State as Daemon,
};
use gcl_core::{id, mark::Mark, time::Now};

/// The newest log position that this daemon knows of a primary that is replaced. The last server seen
/// as primary counts as well: a move that did not complete has not superseded its commits.
pub(super) fn newest_position(daemon: &Daemon, database: &str, from: &str) -> Option<Mark> {
    own_position(daemon, database, from).max(daemon.gossip.mark(from))
}

/// The same, of this daemon's own connections.
pub(super) fn own_position(daemon: &Daemon, database: &str, from: &str) -> Option<Mark> {
    let mark = |server: &str| daemon.pools.get(server).and_then(|pool| pool.mark);
    let group = daemon.groups.get(database);
    let last = group.and_then(|group| group.last_primary.as_ref());
    let earlier = group.and_then(|group| group.acknowledged);
    mark(from).max(last.and_then(|server| mark(server))).max(earlier)
}

/// The newest log position that a server is known to have received.
pub(super) fn received(daemon: &Daemon, server: &str) -> Option<Mark> {
    daemon.pools.get(server).and_then(|pool| pool.received.max(pool.mark))
}

/// A server as a candidate, as this daemon knows it.
pub(super) fn candidate(
    daemon: &Daemon,
    now: Now,
    server: &id::Server,
    entry: &Entry,
) -> Candidate {
    let pool = daemon.pools.get(server);
    let failed = pool
        .is_some_and(|pool| now.mono < pool.failed_until || pool.health.failing_since.is_some());
    Candidate {
        server: server.clone(),
        reachable: !failed,
        mark: received(daemon, server),
        distance: daemon.settings.distance(&entry.domain),
    }
}

/// Servers that may take over a database from the server `from`.
pub(super) fn candidates(
    daemon: &Daemon,
    now: Now,
    database: &id::Database,
    from: &id::Server,
) -> Vec<Candidate> {
    let servers = directory::servers(&daemon.directory, database);
    // A superseded primary that still registers itself as one would at once count as the new one.
    let eligible = servers
        .filter(|(server, entry)| !entry.draining && !entry.claims_primary && *server != from)
        .filter(|(_, entry)| !daemon.evacuation.contains(&entry.domain));
    eligible.map(|(server, entry)| candidate(daemon, now, server, entry)).collect()
}

/// Replicas that may hold commits which the target of a move lacks, that target and earlier ones
/// included: those that are draining, and the others.
fn holders(daemon: &Daemon, now: Now, database: &id::Database) -> (Vec<Candidate>, Vec<Candidate>) {
    let servers = directory::servers(&daemon.directory, database);
    let replicas = servers
        .filter(|(_, entry)| !entry.claims_primary && !daemon.evacuation.contains(&entry.domain));
    let (draining, steady): (Vec<_>, Vec<_>) = replicas.partition(|(_, entry)| entry.draining);
    let candidates = |servers: Vec<(&id::Server, &Entry)>| {
        servers.into_iter().map(|(server, entry)| candidate(daemon, now, server, entry)).collect()
    };
    (candidates(draining), candidates(steady))
}

/// The reachable replica that has received most; a draining one only if it has more than all others.
/// The replicas are polled for their positions.
pub(super) fn newest_holder(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    database: &id::Database,
) -> Option<Candidate> {
    let (draining, steady) = holders(daemon, now, database);
    for holder in draining.iter().chain(&steady) {
        pool::poll_position(daemon, now, fx, &holder.server);
    }
    let newest = |holders: Vec<Candidate>| select_successor(holders).filter(|it| it.reachable);
    match (newest(steady), newest(draining)) {
        (Some(steady), Some(draining)) if draining.mark > steady.mark => Some(draining),
        (steady, draining) => steady.or(draining),
    }
}
