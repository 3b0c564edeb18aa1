//! Backend servers that restart under their id.
//!
//! Such a server has none of the log, connections and prepared statements that it had, and its
//! counts start anew. Everything that was remembered of it is discarded here, and nowhere else. A
//! restart becomes known by the server's entry in the store, by the digest of a daemon that has seen
//! a newer entry, or by an answer with a position below one that was received before the request was
//! sent: within one incarnation positions only grow.
//!
//! The newest position of a primary is not only a fact about that server: callers were told that the
//! commits up to it are kept. It is therefore kept for the database ([`Group::acknowledged`]), and
//! bounds the choice of a successor. Floors of sessions and the positions that reads need are facts
//! about the database as well.
//!
//! [`Group::acknowledged`]: crate::group::Group::acknowledged

use crate::{
    connection::Connection,
    effect::Effects,
    gossip::Reachability,
    group::Group,
    line::Line,
    pool::{self, Pool},
    quorum, request,
    state::State as Daemon,
};
use gcl_core::{id, mark::Mark, time::Now};
use indexmap::IndexMap;
use std::time::Duration;

/// How long digests report a restart: a lost digest or two do not matter.
const REPORTED_FOR: Duration = Duration::from_secs(5);

/// How a restart became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The server's entry in the store.
    Store,
    /// The digest of another daemon.
    Digest,
    /// An answer whose position is below an earlier one.
    Answer,
}

impl Source {
    const fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Digest => "digest",
            Self::Answer => "answer",
        }
    }
}

/// Servers that restarted recently, and when this daemon learned of it.
pub type State = IndexMap<id::Server, Duration>;

/// Discards everything that is remembered of a server's earlier incarnation, its connections
/// included.
pub fn discard(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    source: Source,
) {
    daemon.restarts.retain(|_, at| now.since(*at) < REPORTED_FOR);
    daemon.restarts.insert(server.clone(), now.mono);
    discard_positions(daemon, now, fx, server, source);
    request::disconnect_server(daemon, now, fx, server, "the server started again");
}

/// Discards what was measured and learned at a server. Its queue and connections are kept.
fn discard_positions(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    source: Source,
) {
    quorum::on_restarted(daemon, now, server);
    let Some(pool) = daemon.pools.get_mut(server) else {
        return;
    };
    let before = Pool {
        connections: std::mem::take(&mut pool.connections),
        waiting: std::mem::take(&mut pool.waiting),
        ..Pool::default()
    };
    let before = std::mem::replace(pool, before);
    let line = Line::state_change("server state discarded").with("server", server);
    let line = line.with("source", source.name()).mark("applied", before.mark);
    fx.log(line.mark("received", before.received).with("connections", pool.connections.len()));
    fx.count("gcl_server_restarts", source.name());
    keep_acknowledged(daemon, server, before.mark);
}

/// Keeps the newest position of a server for its database, if it was the primary.
fn keep_acknowledged(daemon: &mut Daemon, server: &id::Server, mark: Option<Mark>) {
    let entry = daemon.directory.get(server);
    if let Some(group) = entry.and_then(|entry| daemon.groups.get_mut(&entry.database))
        && was_primary(group, server)
    {
        group.acknowledged = group.acknowledged.max(mark);
    }
}

/// Records that a server's entry lapsed, before what is known of the server is dropped. With
/// synchronous replicas its commits are held elsewhere as well; without, those that no other server
/// has are lost with it, and nothing is gained by waiting for them.
pub fn on_gone(daemon: &mut Daemon, now: Now, server: &id::Server) {
    quorum::on_gone(daemon, now, server);
    let database = daemon.directory.get(server).map(|entry| &entry.database);
    if database.is_some_and(|database| quorum::is_synchronous(daemon, database)) {
        let mark = daemon.pools.get(server).and_then(|pool| pool.mark);
        keep_acknowledged(daemon, server, mark);
    }
}

/// Whether a server was recently the primary of a database.
fn was_primary(group: &Group, server: &id::Server) -> bool {
    let moved = group.latest_move.as_ref().map(|moved| &moved.intention.from);
    group.last_primary.as_ref() == Some(server) || moved == Some(server)
}

/// Handles a position in the answer to a request that was sent at `sent`, before it is recorded.
pub fn on_position(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    connection: id::Connection,
    sent: Duration,
    (mark, received): (Option<Mark>, Option<Mark>),
) {
    let Some(server) = daemon.connections.get(&connection).map(|conn| conn.server.clone()) else {
        return;
    };
    let Some(pool) = daemon.pools.get_mut(&server) else {
        return;
    };
    let is_below = |new: Option<Mark>, known: Option<Mark>| new.is_some() && new < known;
    if sent >= pool.observed_at && (is_below(mark, pool.mark) || is_below(received, pool.received))
    {
        // Connections older than this one lead to the earlier incarnation. Statements in flight on
        // them get their outcome when they close.
        let older = pool.connections.iter().copied().filter(|id| *id < connection);
        let older: Vec<_> = older.collect();
        discard_positions(daemon, now, fx, &server, Source::Answer);
        for id in older {
            if daemon.connections.get(&id).is_some_and(Connection::is_idle) {
                pool::close(daemon, fx, id);
            }
        }
    }
    if let Some(pool) = daemon.pools.get_mut(&server)
        && (mark > pool.mark || received > pool.received)
    {
        pool.observed_at = now.mono;
    }
}

/// The start times of the servers that a digest reports about, and of those that restarted recently.
#[must_use]
pub fn report(daemon: &Daemon, now: Now, primaries: &[Reachability]) -> Vec<(id::Server, u64)> {
    let recent = daemon.restarts.iter().filter(|(_, at)| now.since(**at) < REPORTED_FOR);
    let recent = recent.map(|(server, _)| server);
    let reported = primaries.iter().map(|report| &report.server);
    let reported = reported.filter(|server| !daemon.restarts.contains_key(*server));
    let started = recent.chain(reported).filter_map(|server| {
        let entry = daemon.directory.get(server)?;
        Some((server.clone(), entry.started_ms))
    });
    started.collect()
}

/// Handles the start times of servers in another daemon's digest.
pub fn on_report(daemon: &mut Daemon, now: Now, fx: &mut Effects, started: &[(id::Server, u64)]) {
    for (server, started_ms) in started {
        if let Some(entry) = daemon.directory.get_mut(server)
            && entry.started_ms < *started_ms
        {
            // The store's entry, when it arrives, then reports nothing new.
            entry.started_ms = *started_ms;
            discard(daemon, now, fx, server, Source::Digest);
        }
    }
}

/// Whether a digest's report about a server concerns an earlier incarnation of it.
#[must_use]
pub fn is_outdated(daemon: &Daemon, started: &[(id::Server, u64)], server: &id::Server) -> bool {
    let reported = started.iter().find(|(name, _)| name == server);
    let known = daemon.directory.get(server).map(|entry| entry.started_ms);
    // An older release reports no start times.
    reported.is_some_and(|(_, started_ms)| known.is_some_and(|known| *started_ms < known))
}
