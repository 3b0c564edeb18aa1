//! Which servers this daemon is home of, and the handover between two homes.
//!
//! Two homes at once do not exceed a server's connections: an established home leaves a reserve of
//! them unused, and a new home starts with that reserve. The new home requests the release of the
//! server and uses the remaining connections when the earlier home has closed its own, or has been
//! dead for longer than they can last. A home that loses a server refuses queued requests, lets
//! open transactions finish within a time limit, closes its connections and releases the server.
//! Unless the daemon drains, it does so only after its own predecessors have released the server,
//! so that a release implies all earlier ones. Homes are computed again only when the members or
//! the set of servers change.

use super::{Message, pool, task, transaction};
use crate::{
    code::{Code, Fault, Result},
    effect::Effects,
    id, member, peer,
    record::{Kind, Line},
    rendezvous, route,
    run::{Outcome, Run},
    state::State as Daemon,
    time::Now,
};
use std::time::Duration;

/// How long the connections of a dead home may stay open at the server.
const DEAD_HOME_WAIT: Duration = Duration::from_secs(10);
/// Suggested wait before a request is sent to another home.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(50);

/// Checks whether a request outside an open transaction may run here.
///
/// # Errors
/// [`Code::HomeLost`], [`Code::Draining`], [`Code::ServerLost`], or an error of
/// [`route::check_placement`].
pub fn check_admission(daemon: &mut Daemon, now: Now, fx: &mut Effects, run: &Run) -> Result<()> {
    let retry_elsewhere = |code, detail| Err(Fault::new(code, detail).retry_after(RETRY_ELSEWHERE));
    let config = daemon.config.snapshot.server(&run.server);
    match config.filter(|config| config.database == run.database) {
        None => return retry_elsewhere(Code::HomeLost, "the server is not known here"),
        Some(config) if config.leaving => {
            return retry_elsewhere(Code::ServerLost, "the server is leaving");
        }
        Some(_) => route::check_placement(&daemon.config.snapshot, run)?,
    }
    if !daemon.home.pools.contains_key(&run.server)
        && member::home(daemon, &run.server).as_ref() == Some(&daemon.settings.daemon)
        && may_keep(daemon, &run.server)
    {
        acquire(daemon, now, fx, &run.server, None);
    }
    match daemon.home.pools.get(&run.server) {
        Some(pool) if pool.leaving_since.is_none() => Ok(()),
        _ if daemon.draining => retry_elsewhere(Code::Draining, "the daemon is draining"),
        _ => retry_elsewhere(Code::HomeLost, "the server has another home"),
    }
}

/// Whether a server accepts no new requests here.
#[must_use]
pub fn is_leaving(daemon: &Daemon, server: &id::Server) -> bool {
    let pool = daemon.home.pools.get(server);
    let config = daemon.config.snapshot.server(server);
    pool.is_some_and(|pool| pool.leaving_since.is_some())
        || config.is_none_or(|config| config.leaving)
}

/// Applies a configuration change.
pub fn on_config(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let servers = &daemon.config.snapshot.servers;
    let newest = servers.values().map(|server| server.revision).max().unwrap_or_default();
    let config_version = (servers.len(), newest);
    if daemon.home.config_version == config_version {
        return;
    }
    daemon.home.config_version = config_version;
    recompute(daemon, now, fx);
    let held: Vec<_> = daemon.home.pools.keys().cloned().collect();
    for server in held {
        if is_leaving(daemon, &server) {
            let fault = Fault::new(Code::ServerLost, "the server is leaving");
            refuse_queued(daemon, now, fx, &server, &fault.retry_after(RETRY_ELSEWHERE));
        }
        super::maintain(daemon, now, fx, &server);
    }
}

/// Computes the home of each relevant server, and acquires or starts to release those whose home
/// has changed.
pub fn recompute(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let me = daemon.settings.daemon.clone();
    let mut changed = Vec::new();
    for server in relevant_servers(daemon) {
        let home = member::home(daemon, &server);
        let mine = home.as_ref() == Some(&me) && may_keep(daemon, &server);
        let last_home = match home {
            Some(home) => daemon.home.known_homes.insert(server.clone(), home),
            None => daemon.home.known_homes.swap_remove(&server),
        };
        let held = daemon.home.pools.get(&server).is_some_and(|pool| pool.leaving_since.is_none());
        if mine != held {
            changed.push((server, mine, last_home));
        }
    }
    for (server, mine, last_home) in changed {
        if mine {
            acquire(daemon, now, fx, &server, last_home.filter(|last_home| *last_home != me));
        } else {
            start_release(daemon, now, fx, &server, "another daemon is the home");
        }
    }
}

/// Servers of this failure domain, of domains without a live daemon, and those with a pool here.
fn relevant_servers(daemon: &Daemon) -> Vec<id::Server> {
    let own = &daemon.settings.domain;
    let mut domains_with_daemons: Vec<&str> = vec![own];
    for member in daemon.member.members.values().filter(|member| member.alive) {
        if !domains_with_daemons.contains(&member.domain.as_str()) {
            domains_with_daemons.push(&member.domain);
        }
    }
    let held = &daemon.home.pools;
    let servers = daemon.config.snapshot.servers.iter();
    let relevant = servers.filter(|(name, server)| {
        let domain = &server.value.domain;
        domain == own
            || !domains_with_daemons.contains(&domain.as_str())
            || held.contains_key(*name)
    });
    let mut names: Vec<_> = relevant.map(|(name, _)| name.clone()).collect();
    let gone = held.keys().filter(|name| daemon.config.snapshot.server(name).is_none());
    names.extend(gone.cloned());
    names
}

/// Whether this daemon may be a server's home: while it drains, only if no other daemon can be.
fn may_keep(daemon: &Daemon, server: &id::Server) -> bool {
    !daemon.draining || next_owner(daemon, server).is_none()
}

/// The daemon that would be a server's home without this one. Unlike [`member::home`], it does not
/// prefer daemons of the server's region if there is no other in its failure domain.
fn next_owner(daemon: &Daemon, server: &id::Server) -> Option<id::Daemon> {
    let domain = &daemon.config.snapshot.server(server)?.domain;
    let alive = daemon.member.members.values().filter(|member| member.alive);
    let local = alive.clone().filter(|member| member.domain == *domain);
    let name = |member: &member::Member| member.daemon.clone();
    rendezvous::owner(server, local, |member| &member.daemon)
        .or_else(|| rendezvous::owner(server, alive, |member| &member.daemon))
        .map(name)
}

fn acquire(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    last_home: Option<id::Daemon>,
) {
    let previous = last_home.or_else(|| next_owner(daemon, server));
    let pool = daemon.home.pools.entry(server.clone()).or_default();
    pool.leaving_since = None;
    if let Some(previous) = previous {
        pool.predecessors.insert(previous, now.mono);
    } else {
        pool.takeover_complete |= pool.predecessors.is_empty();
    }
    record(fx, server, "home gained");
    request_release(daemon, now, fx, server);
    super::maintain(daemon, now, fx, server);
}

fn start_release(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    reason: &'static str,
) {
    let Some(pool) = daemon.home.pools.get_mut(server) else {
        return;
    };
    pool.leaving_since = Some(now.mono);
    record(fx, server, reason);
    let fault = Fault::new(Code::HomeLost, "the server has another home");
    refuse_queued(daemon, now, fx, server, &fault.retry_after(RETRY_ELSEWHERE));
    super::maintain(daemon, now, fx, server);
}

/// Refuses the queued requests for a server, except those of open transactions.
pub fn refuse_queued(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    server: &id::Server,
    fault: &Fault,
) {
    let pool = daemon.home.pools.get_mut(server);
    let refused = pool.map(|pool| pool.queue.clear_lanes()).unwrap_or_default();
    for request in refused {
        task::finish(daemon, now, fx, request, Outcome::NotRun(fault.clone()));
    }
}

fn record(fx: &mut Effects, server: &id::Server, reason: &'static str) {
    fx.record(Line { server: server.clone(), reason: reason.into(), ..Line::new(Kind::Placement) });
}

/// Requests the server's release from earlier homes, and stops waiting for those that have been
/// dead longer than `DEAD_HOME_WAIT`.
pub fn request_release(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let Some(pool) = daemon.home.pools.get_mut(server) else {
        return;
    };
    let members = &daemon.member.members;
    for (name, since) in &mut pool.predecessors {
        if members.get(name).is_some_and(|member| member.alive) {
            *since = now.mono;
        }
    }
    pool.predecessors.retain(|_, since| now.mono < *since + DEAD_HOME_WAIT);
    let asked: Vec<_> = pool.predecessors.keys().cloned().collect();
    finish_takeover(daemon, fx, server);
    for name in asked {
        let message = Message::Claim(server.clone());
        member::send(daemon, fx, &name, peer::Message::Home(message));
    }
}

fn finish_takeover(daemon: &mut Daemon, fx: &mut Effects, server: &id::Server) {
    if let Some(pool) = daemon.home.pools.get_mut(server)
        && pool.predecessors.is_empty()
        && !pool.takeover_complete
    {
        pool.takeover_complete = true;
        record(fx, server, "earlier homes have released the server");
    }
}

/// Handles a message from another home.
pub fn on_message(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    from: &id::Daemon,
    message: Message,
) {
    match message {
        Message::Claim(server) => match daemon.home.pools.get_mut(&server) {
            Some(pool) if pool.successors.contains(from) => {}
            Some(pool) => pool.successors.push(from.clone()),
            None => send_released(daemon, fx, from, server),
        },
        Message::Released(server) => {
            if let Some(pool) = daemon.home.pools.get_mut(&server) {
                pool.predecessors.swap_remove(from);
                finish_takeover(daemon, fx, &server);
                super::maintain(daemon, now, fx, &server);
            }
        }
    }
}

fn send_released(daemon: &Daemon, fx: &mut Effects, to: &id::Daemon, server: id::Server) {
    member::send(daemon, fx, to, peer::Message::Home(Message::Released(server)));
}

/// Advances a release: closes idle connections, rolls back transactions after the time limit, and
/// releases the server when no connection is left.
pub fn advance(daemon: &mut Daemon, now: Now, fx: &mut Effects, server: &id::Server) {
    let bound = Duration::from_millis(daemon.settings.bounds.drain_ms);
    let Some(pool) = daemon.home.pools.get_mut(server) else {
        return;
    };
    let Some(since) = pool.leaving_since else { return };
    while let Some(connection) = pool.idle.last().copied() {
        let call = pool.close(now, connection);
        fx.server(server, call);
    }
    if now.mono >= since + bound {
        let open = daemon.home.transactions.iter().filter(|(_, held)| held.server == *server);
        let open: Vec<_> = open.map(|(name, _)| *name).collect();
        for name in open {
            transaction::abandon(daemon, now, fx, name);
        }
    }
    let (slots, _) = super::limits(daemon, server);
    let Some(pool) = daemon.home.pools.get_mut(server) else {
        return;
    };
    pool::start_resets(pool, now, fx, server, slots);
    let waits = !pool.predecessors.is_empty() && !daemon.draining;
    if pool.connections.is_empty() && pool.queue.is_empty() && !waits {
        finish_release(daemon, fx, server);
    }
}

fn finish_release(daemon: &mut Daemon, fx: &mut Effects, server: &id::Server) {
    let Some(pool) = daemon.home.pools.swap_remove(server) else {
        return;
    };
    fx.cancel(crate::timer::Key::Queue(server.clone()));
    record(fx, server, "home released");
    let me = daemon.settings.daemon.clone();
    let home = member::home(daemon, server).filter(|home| *home != me);
    let mut targets = pool.successors;
    targets.extend(home.or_else(|| next_owner(daemon, server)));
    targets.sort_unstable();
    targets.dedup();
    for to in targets {
        send_released(daemon, fx, &to, server.clone());
    }
}

/// Starts to release all servers for which another daemon can be the home.
pub fn drain(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    let held: Vec<_> = daemon.home.pools.keys().cloned().collect();
    for server in held {
        if next_owner(daemon, &server).is_some() {
            start_release(daemon, now, fx, &server, "the daemon is draining");
        }
    }
}
