//! Assignment of databases to the hosts that run their statements.
//!
//! In a fleet with more daemons than a server has connections, not every daemon can keep a
//! connection for each workspace. Therefore one host in each region is the home of a database
//! there: it holds the connections to the database's servers of that region, one for each
//! workspace, and so has a single queue for them. The home is chosen by weighted rendezvous hashing
//! over the hosts that serve: daemons with the same list of hosts agree, and the loss of a host
//! reassigns only its own databases. Two daemons that both consider themselves home of a database
//! do no harm, since connection limits, authority and positions are checked by each daemon that
//! sends.
//!
//! In a small fleet every daemon is a host and keeps its own connections to all servers. There only
//! statements for a primary go to a home.

use crate::{
    authority, directory, drain, gossip,
    group::Leader,
    pool::allocation::{HELD_AFTER_LOSS, Position},
    role::{self, Role},
    state::State as Daemon,
    timer,
};
use gcl_core::{id, rendezvous, time::Now};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long a former home keeps connections after another host became the home.
const HANDOVER: Duration = HELD_AFTER_LOSS;

/// The failure domains of a database's servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Location {
    /// The database.
    pub database: id::Database,
    /// The failure domain of its primary, or of the server that is becoming the primary.
    pub primary: Option<id::Domain>,
    /// The failure domains of its servers. An evacuation does not change them, so that the home
    /// stays where the connections are.
    pub domains: Vec<id::Domain>,
    /// Those that are evacuated.
    pub evacuated: Vec<id::Domain>,
}

/// A host that is eligible as a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The host.
    pub name: &'a id::Daemon,
    /// Whether it is in the failure domain of one of the database's servers.
    pub same_domain: bool,
    /// The CPU capacity of its VM, in thousandths of a core.
    pub millicores: u32,
}

/// Ranks the hosts of one region for a database; the first is its home there.
#[must_use]
pub fn rank<'a>(database: &str, mut hosts: Vec<Candidate<'a>>) -> Vec<&'a id::Daemon> {
    hosts.sort_by_cached_key(|host| (!host.same_domain, cost(database, host), host.name));
    hosts.into_iter().map(|host| host.name).collect()
}

/// The cost of a host in weighted rendezvous hashing. The lowest wins, and hosts win in proportion
/// to their weight.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "53 bits are enough to rank hosts, and the cost is positive and far below 2^64"
)]
fn cost(database: &str, host: &Candidate<'_>) -> u64 {
    let uniform = (rendezvous::weight(database, host.name) as f64 + 1.0) / 2.0_f64.powi(64);
    let cost = -uniform.ln() / f64::from(host.millicores.max(1));
    (cost * 1e12) as u64
}

/// The databases that this host is home of.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Databases that this daemon is home of in its region; a former one with the end of its
    /// handover.
    databases: IndexMap<id::Database, Option<Duration>>,
    /// Since when it is the home of each of them.
    since: IndexMap<id::Database, Duration>,
    /// Databases that it becomes the home of when their home is lost.
    standby: IndexSet<id::Database>,
    /// Whether it reaches most hosts of its region.
    majority: bool,
    /// Whether statements of all kinds go to homes.
    enabled: bool,
}

impl State {
    /// Whether this daemon is the home of a database in its own region.
    #[must_use]
    pub fn is_home(&self, database: &str) -> bool {
        self.databases.contains_key(database)
    }
}

/// Whether statements of all kinds go to homes. Else only those for primaries do.
#[must_use]
pub const fn is_enabled(daemon: &Daemon) -> bool {
    !matches!(daemon.role.current, Role::Host) || daemon.home.enabled
}

/// Whether this daemon is the home for a server's connections: of its database in this region or,
/// in a small fleet, of its primary.
#[must_use]
pub fn is_home_for(daemon: &Daemon, server: &str) -> bool {
    daemon.directory.get(server).is_some_and(|entry| {
        daemon.settings.distance(&entry.domain) < 2
            && daemon.home.is_home(&entry.database)
            && (daemon.home.enabled || is_primary(daemon, server))
    })
}

/// What this daemon is for a server's connections, where statements of all kinds go to homes.
#[must_use]
pub fn position(daemon: &Daemon, server: &str) -> Position {
    let Some(entry) = daemon.directory.get(server) else {
        return Position::Other;
    };
    if daemon.settings.region(&daemon.settings.domain).is_none() {
        return Position::Standby;
    }
    if daemon.settings.distance(&entry.domain) > 1 {
        return Position::Other;
    }
    let (home, database) = (&daemon.home, &entry.database);
    match home.since.get(database) {
        _ if daemon.drain != drain::State::Serving => Position::Standby,
        Some(since) => Position::Home { since: *since, majority: home.majority },
        None if home.is_home(database) => Position::Former,
        None if home.standby.contains(database) => Position::Standby,
        None => Position::Other,
    }
}

/// Whether statements for a server go to a home.
#[must_use]
pub fn routes_to_home(daemon: &Daemon, server: &str) -> bool {
    is_enabled(daemon) || is_primary(daemon, server)
}

/// Whether a database has a known primary that is not being moved.
#[must_use]
pub fn has_primary(daemon: &Daemon, database: &str) -> bool {
    matches!(authority::leader(daemon, database), Leader::Known(_))
}

fn is_primary(daemon: &Daemon, server: &str) -> bool {
    daemon.directory.get(server).is_some_and(|entry| {
        matches!(
            authority::leader(daemon, &entry.database),
            Leader::Known(leader) if leader == *server
        )
    })
}

/// Recomputes which databases this daemon is home of.
pub fn refresh(daemon: &mut Daemon, now: Now) {
    if daemon.role.current != Role::Host {
        return;
    }
    // A home that drains stays the home until it exits, and closes idle connections.
    if daemon.drain != drain::State::Serving {
        return close_surplus(daemon, now);
    }
    let before = daemon.home.clone();
    daemon.home.enabled = daemon.role.has_entries || daemon.members.len() > role::MIN_HOSTS;
    daemon.home.majority = gossip::reaches_most_in_region(daemon, now);
    (daemon.home.databases, daemon.home.standby) = home_databases(daemon, now);
    let current = daemon.home.databases.iter().filter(|(_, until)| until.is_none());
    let since = current.map(|(database, _)| {
        (database.clone(), before.since.get(database).copied().unwrap_or(now.mono))
    });
    daemon.home.since = since.collect();
    let after = &daemon.home;
    if (before.enabled, before.majority, &before.databases)
        != (after.enabled, after.majority, &after.databases)
    {
        close_surplus(daemon, now);
    }
}

/// Closes idle connections beyond the new shares.
fn close_surplus(daemon: &mut Daemon, now: Now) {
    for server in daemon.pools.keys() {
        daemon.timers.arm_by(timer::Key::IdleConnections(server.clone()), now.mono);
    }
}

/// The databases that this daemon is home of, with those of which it was the home until recently:
/// other daemons send it statements until they learn of the new home. Then those that it is the
/// standby of.
fn home_databases(
    daemon: &Daemon,
    now: Now,
) -> (IndexMap<id::Database, Option<Duration>>, IndexSet<id::Database>) {
    let mut databases = (IndexMap::new(), IndexSet::new());
    let Some(region) = daemon.settings.region(&daemon.settings.domain) else {
        return databases;
    };
    let rank = |database: &id::Database| {
        let location = location(daemon, database);
        let primary = location.primary.as_ref().and_then(|domain| daemon.settings.region(domain));
        if !daemon.home.enabled && primary != Some(region) {
            return None;
        }
        let homes = homes(daemon, now, &location, region);
        homes.into_iter().position(|it| *it == daemon.settings.daemon)
    };
    let is_new = |database: &id::Database| {
        let since = daemon.home.since.get(database);
        since.is_some_and(|since| now.since(*since) < HELD_AFTER_LOSS)
    };
    for database in daemon.groups.keys() {
        let rank = rank(database);
        if rank == Some(1) {
            databases.1.insert(database.clone());
        }
        let until = match daemon.home.databases.get(database) {
            _ if rank == Some(0) => None,
            // A small fleet needs no handover: while it started, each daemon was its own home.
            Some(_) if !daemon.home.enabled => continue,
            // After a restart of the fleet each host is the home until it hears that others serve.
            Some(None) if is_new(database) => continue,
            Some(until) => Some(until.unwrap_or(now.mono + HANDOVER)),
            None => continue,
        };
        if until.is_none_or(|until| now.mono < until) {
            databases.0.insert(database.clone(), until);
        }
    }
    databases
}

/// The failure domains of a database's servers, as far as this daemon knows.
#[must_use]
pub fn location(daemon: &Daemon, database: &id::Database) -> Location {
    if daemon.role.current != Role::Host {
        return daemon.discovery.location(database);
    }
    let domain = |server: &str| daemon.directory.get(server).map(|entry| entry.domain.clone());
    let group = daemon.groups.get(database);
    let next = group.and_then(|group| group.latest_move.as_ref()).map(|moved| &moved.intention.to);
    let last = group.and_then(|group| group.last_primary.as_ref());
    let primary = match authority::leader(daemon, database) {
        Leader::Known(server) => domain(&server),
        Leader::Moving => next.and_then(|server| domain(server)),
        Leader::Unknown => last.and_then(|server| domain(server)),
    };
    let servers = directory::servers(&daemon.directory, database);
    let domains: Vec<_> = servers.map(|(_, entry)| entry.domain.clone()).collect();
    let evacuated = domains.iter().filter(|domain| daemon.evacuation.contains(domain));
    let evacuated = evacuated.cloned().collect();
    Location { database: database.clone(), primary, domains, evacuated }
}

/// The hosts of a region that serve, ranked for a database; the first is its home.
#[must_use]
pub fn homes<'a>(
    daemon: &'a Daemon,
    now: Now,
    location: &Location,
    region: &id::Region,
) -> Vec<&'a id::Daemon> {
    let serving = daemon.members.iter().filter(|(name, member)| {
        daemon.settings.region(&member.record.domain) == Some(region)
            && role::serves(daemon, now, name)
    });
    let candidates = serving.map(|(name, member)| Candidate {
        name,
        same_domain: location.domains.contains(&member.record.domain),
        millicores: member.record.millicores,
    });
    rank(&location.database, candidates.collect())
}
