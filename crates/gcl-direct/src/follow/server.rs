//! Entries of servers: as they come, lapse and come back.

use crate::{
    directory::Entry, effect::Effects, era, failover, line::Line, pool, request,
    state::State as Daemon, store::Topic, timer,
};
use gcl_core::{code::Fault, id, time::Now};
use std::time::Duration;

/// How long a lapsed entry is kept after the store was away: servers are back within two seconds.
const LAPSED_KEPT: Duration = Duration::from_millis(2500);
/// Servers that are remembered as gone.
const MOST_GONE: usize = 256;

/// Takes entries as they were read, all of them or those that changed.
pub(super) fn on_servers(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    entries: Vec<(id::Server, Option<std::result::Result<Entry, Fault>>)>,
    whole: bool,
) {
    if whole {
        let listed = |server: &id::Server| entries.iter().any(|(name, _)| name == server);
        let gone: Vec<_> = daemon.directory.keys().filter(|name| !listed(name)).cloned().collect();
        for server in gone {
            remove(daemon, now, fx, &server);
        }
    }
    for (server, entry) in entries {
        match entry {
            Some(Ok(entry)) if whole && is_outdated(daemon, now, &server, &entry) => {
                let line = Line::state_change("server entry outdated").with("server", &server);
                fx.log(line.with("revision", entry.revision));
            }
            Some(Ok(entry)) => put(daemon, now, fx, &server, entry),
            Some(Err(fault)) => {
                let line = Line::state_change("server entry refused").with("server", &server);
                fx.log(line.with("fault", fault));
                remove(daemon, now, fx, &server);
            }
            None => remove(daemon, now, fx, &server),
        }
    }
    failover::review_all(daemon, now, fx);
}

/// Whether an entry tells less than is known: the store came back from a copy a moment ago, and the
/// server has not written it again yet.
fn is_outdated(daemon: &Daemon, now: Now, server: &id::Server, entry: &Entry) -> bool {
    if era::is_restored(daemon, now) {
        return false;
    }
    let gone = daemon.follow.gone.get(server).is_some_and(|started| entry.started_ms <= *started);
    let known = daemon.directory.get(server);
    gone || known.is_some_and(|known| {
        let undone = known.draining && !entry.draining && entry.started_ms == known.started_ms;
        entry.started_ms < known.started_ms || undone
    })
}

fn put(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server, entry: Entry) {
    daemon.follow.missing.swap_remove(server);
    daemon.follow.gone.swap_remove(server);
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
    daemon.directory.insert(server.clone(), entry);
    daemon.groups.entry(database.clone()).or_default();
    if restarted {
        daemon.pools.entry(server.clone()).or_default().failed_until = now.mono;
        request::drop_server(daemon, now, fx, server, "the server started again");
    }
    if draining {
        pool::on_surplus(daemon, now, fx, server);
    }
    if leads && changed {
        request::on_leader(daemon, now, fx, &database);
    }
}

fn remove(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    if !daemon.directory.contains_key(server) {
        return;
    }
    let disturbed = daemon.follow.failed.is_some_and(|at| now.since(at) < LAPSED_KEPT);
    if disturbed && !daemon.follow.missing.contains_key(server) {
        let until = now.mono + LAPSED_KEPT;
        daemon.follow.missing.insert(server.clone(), until);
        daemon.timers.arm_by(timer::Key::Lapsed, until);
        fx.log(Line::state_change("server entry lapsed").with("server", server));
    } else if !disturbed {
        forget(daemon, now, fx, server);
    }
}

fn forget(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    daemon.follow.missing.swap_remove(server);
    fx.log(Line::state_change("server gone").with("server", server));
    request::drop_server(daemon, now, fx, server, "the server is gone");
    if let Some(entry) = daemon.directory.swap_remove(server) {
        if daemon.follow.gone.len() >= MOST_GONE {
            daemon.follow.gone.shift_remove_index(0);
        }
        daemon.follow.gone.insert(server.clone(), entry.started_ms);
    }
    daemon.pools.swap_remove(server);
}

/// Takes servers as gone whose entries have not come back; while the store is away, they are kept.
pub fn on_missing(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let away = daemon.follow.topics.get(&Topic::Servers).is_some_and(|it| it.failing.is_some());
    let due = daemon.follow.missing.iter().filter(|(_, until)| **until <= now.mono);
    let due: Vec<_> = due.map(|(server, _)| server.clone()).collect();
    for server in due {
        if away {
            daemon.follow.missing.insert(server, now.mono + LAPSED_KEPT);
        } else {
            forget(daemon, now, fx, &server);
        }
    }
    if let Some(next) = daemon.follow.missing.values().min() {
        daemon.timers.arm_by(timer::Key::Lapsed, *next);
    }
    failover::review_all(daemon, now, fx);
}
