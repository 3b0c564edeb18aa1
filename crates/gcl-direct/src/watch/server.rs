//! Server entries: additions, changes and lapses.

use crate::{
    cold, directory::Entry, effect::Effects, era, failover, line::Line, pool, quorum, request,
    restart, state::State as Daemon, store::Topic, timer,
};
use gcl_core::{code::Fault, id, time::Now};
use std::time::Duration;

/// How long a lapsed entry is kept after an outage of the store; servers register again within two
/// seconds.
const LAPSED_RETENTION: Duration = Duration::from_millis(2500);
/// Maximum number of removed servers to remember.
const MAX_REMOVED: usize = 256;

/// Handles server entries, either all of them (`full`) or those that changed.
pub(super) fn on_servers(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    entries: Vec<(id::Server, Option<std::result::Result<Entry, Fault>>)>,
    full: bool,
) {
    if full {
        let listed = |server: &id::Server| entries.iter().any(|(name, _)| name == server);
        let gone: Vec<_> = daemon.directory.keys().filter(|name| !listed(name)).cloned().collect();
        for server in gone {
            on_lapsed_entry(daemon, now, fx, &server);
        }
    }
    for (server, entry) in entries {
        match entry {
            Some(Ok(entry)) if full && is_outdated(daemon, now, &server, &entry) => {
                let line = Line::state_change("server entry outdated").with("server", &server);
                fx.log(line.with("revision", entry.revision));
            }
            Some(Ok(entry)) => insert_entry(daemon, now, fx, &server, entry),
            Some(Err(fault)) => {
                let line = Line::state_change("server entry rejected").with("server", &server);
                fx.log(line.with("fault", fault));
                on_lapsed_entry(daemon, now, fx, &server);
            }
            None => on_lapsed_entry(daemon, now, fx, &server),
        }
    }
    failover::review_all(daemon, now, fx);
}

/// Whether an entry is older than the known one: the store was restored recently, and the server
/// has not written it again yet.
fn is_outdated(daemon: &Daemon, now: Now, server: &id::Server, entry: &Entry) -> bool {
    if era::is_restored(daemon, now) {
        return false;
    }
    let removed =
        daemon.watch.removed.get(server).is_some_and(|started| entry.started_ms <= *started);
    let known = daemon.directory.get(server);
    removed
        || known.is_some_and(|known| {
            let reverted =
                known.draining && !entry.draining && entry.started_ms == known.started_ms;
            entry.started_ms < known.started_ms || reverted
        })
}

fn insert_entry(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    entry: Entry,
) {
    daemon.watch.lapsed.swap_remove(server);
    daemon.watch.removed.swap_remove(server);
    let before = daemon.directory.get(server);
    let restarted = before.is_some_and(|before| {
        before.started_ms != entry.started_ms || before.address != entry.address
    });
    let changed = before.is_none_or(|before| {
        (before.draining, before.claims_primary) != (entry.draining, entry.claims_primary)
            || restarted
    });
    if changed {
        let line = Line::state_change("server seen").with("server", server);
        let line = line.with("database", &entry.database).with("domain", &entry.domain);
        let line = line.with("draining", entry.draining).with("leads", entry.claims_primary);
        fx.log(line.with("revision", entry.revision).with("restarted", restarted));
    }
    let (database, leads, draining) =
        (entry.database.clone(), entry.claims_primary, entry.draining);
    cold::on_entry(daemon, now, server, &entry);
    if database_of(daemon, server).is_some_and(|before| before != database) {
        restart::on_gone(daemon, now, server);
    } else if !daemon.directory.contains_key(server) {
        quorum::on_listed(daemon, server, entry.started_ms);
    }
    daemon.directory.insert(server.clone(), entry);
    daemon.groups.entry(database.clone()).or_default();
    if restarted {
        restart::discard(daemon, now, fx, server, restart::Source::Store);
    }
    if draining {
        pool::on_surplus(daemon, now, fx, server);
    }
    if leads && changed {
        request::on_primary_found(daemon, now, fx, &database);
    }
}

/// The database that a server is listed with so far.
fn database_of(daemon: &Daemon, server: &id::Server) -> Option<id::Database> {
    daemon.directory.get(server).map(|entry| entry.database.clone())
}

fn on_lapsed_entry(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    if !daemon.directory.contains_key(server) {
        return;
    }
    let store_failed = daemon.watch.last_failure.is_some_and(|at| now.since(at) < LAPSED_RETENTION);
    if store_failed && !daemon.watch.lapsed.contains_key(server) {
        let until = now.mono + LAPSED_RETENTION;
        daemon.watch.lapsed.insert(server.clone(), until);
        daemon.timers.arm_by(timer::Key::Lapsed, until);
        fx.log(Line::state_change("server entry lapsed").with("server", server));
    } else if !store_failed {
        remove(daemon, now, fx, server);
    }
}

fn remove(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    daemon.watch.lapsed.swap_remove(server);
    let line = Line::state_change("server gone").with("server", server);
    let pool = daemon.pools.get(server);
    let line = line.mark("applied", pool.and_then(|pool| pool.mark));
    fx.log(line.mark("received", pool.and_then(|pool| pool.received)));
    restart::on_gone(daemon, now, server);
    request::disconnect_server(daemon, now, fx, server, "the server is gone");
    if let Some(entry) = daemon.directory.swap_remove(server) {
        if daemon.watch.removed.len() >= MAX_REMOVED {
            daemon.watch.removed.shift_remove_index(0);
        }
        daemon.watch.removed.insert(server.clone(), entry.started_ms);
    }
    daemon.pools.swap_remove(server);
}

/// Removes servers whose lapsed entries have not returned; during an outage of the store they are
/// kept.
pub fn on_lapsed(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let store_failing =
        daemon.watch.topics.get(&Topic::Servers).is_some_and(|it| it.failing_since.is_some());
    let due = daemon.watch.lapsed.iter().filter(|(_, until)| **until <= now.mono);
    let due: Vec<_> = due.map(|(server, _)| server.clone()).collect();
    for server in due {
        if store_failing {
            daemon.watch.lapsed.insert(server, now.mono + LAPSED_RETENTION);
        } else {
            remove(daemon, now, fx, &server);
        }
    }
    if let Some(next) = daemon.watch.lapsed.values().min() {
        daemon.timers.arm_by(timer::Key::Lapsed, *next);
    }
    failover::review_all(daemon, now, fx);
}
