//! Read requests of operators: objects, history and the state of the daemon.

use super::{
    api::{Event, History, Home, Listing, Overview, Peer},
    plan,
};
use crate::{
    code::Result,
    config::{self, document::Document, object::Object, propagation, snapshot::GUARD},
    group, id, member,
    state::State as Daemon,
    store,
    time::Now,
};
use std::time::Duration;

/// Most servers of one overview.
const MAX_SERVERS: usize = 1000;

/// Lists the selected objects of a kind.
pub fn list(daemon: &Daemon, kind: &str, selector: &str) -> Result<Listing> {
    let snapshot = &daemon.config.snapshot;
    let objects = plan::select(snapshot, kind, selector)?;
    Ok(Listing { revision: snapshot.revision, objects })
}

/// The changes in this daemon's log.
pub fn history(daemon: &Daemon) -> History {
    let events = daemon.config.log.iter();
    let events = events.filter(|change| change.key() != GUARD).map(event).collect();
    History { since: daemon.config.log_start, events }
}

fn event(change: &store::Change) -> Event {
    let document = match change {
        store::Change::Put(entry) => Document::decode(&entry.value),
        store::Change::Deleted { .. } => None,
    };
    let removed = document.as_ref().is_none_or(|document| document.removed);
    let (name, operator) =
        document.map_or_else(Default::default, |document| (document.change, document.operator));
    Event {
        revision: change.revision(),
        key: change.key().clone(),
        change: name,
        operator,
        removed,
    }
}

/// The state of the daemon, with the selected servers.
pub fn status(daemon: &Daemon, now: Now, selector: &str) -> Result<Overview> {
    let servers = plan::select(&daemon.config.snapshot, "server", selector)?;
    let servers = servers.into_iter().take(MAX_SERVERS);
    let homes = servers.filter_map(|server| match server.value {
        Object::Server(server) => Some(Home {
            daemon: member::home(daemon, &server.name),
            primary: is_primary(daemon, &server.database, &server.name),
            server: server.name,
            database: server.database,
        }),
        _ => None,
    });
    let config = &daemon.config;
    let since = |then: Option<Duration>| then.map(|then| millis(now.since(then)));
    Ok(Overview {
        daemon: daemon.settings.daemon.clone(),
        domain: daemon.settings.domain.clone(),
        draining: daemon.draining,
        revision: config.snapshot.revision,
        applied: config.applied,
        age_ms: config::age(daemon, now).map(millis),
        direct_age_ms: since(config.store_confirmed),
        relay: config.role.relay,
        parent: config.role.parent.clone(),
        members: members(daemon),
        homes: homes.collect(),
    })
}

fn is_primary(daemon: &Daemon, database: &id::Database, server: &str) -> bool {
    group::leader(daemon, database).is_some_and(|leader| leader.server == server)
}

fn members(daemon: &Daemon) -> Vec<Peer> {
    let members = daemon.member.members.values();
    let peers = members.map(|member| Peer {
        daemon: member.daemon.clone(),
        domain: member.domain.clone(),
        alive: member.alive,
        revision: propagation::revision_of(daemon, &member.daemon),
    });
    peers.collect()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
