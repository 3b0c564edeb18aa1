//! Which host carries a database's statements.
//!
//! In a fleet with more daemons than a server has connections, no daemon can keep a connection for
//! each workspace. So one host in each region is the home of a database there: it holds the
//! connections to the database's servers of that region, one for each workspace, and sees the whole
//! queue before them. It is found by weighted rendezvous hashing over the hosts that serve, so that
//! daemons which know the same hosts agree, and a host that leaves moves only what it carried. Two
//! daemons that take themselves for the same home are harmless: connections, rights and positions
//! hold at whoever sends.
//!
//! Small fleets, where every daemon is a host, keep their own connections to all servers.

use crate::{
    authority, directory, drain,
    group::Leader,
    role::{self, Role},
    state::State as Daemon,
    timer,
};
use gcl_core::{id, rendezvous, time::Now};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long a home keeps its share of the connections after another host became the home.
const HANDED_ON: Duration = Duration::from_secs(3);
/// Where a database's servers are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Site {
    /// The database.
    pub database: id::Database,
    /// The failure domain of its primary, or of the server that is about to be.
    pub primary: Option<id::Domain>,
    /// The failure domains of its servers.
    pub domains: Vec<id::Domain>,
}

/// A host that may be a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The host.
    pub name: &'a id::Daemon,
    /// Whether it is in the failure domain of one of the database's servers.
    pub near: bool,
    /// What its VM can carry, in thousandths of a core.
    pub millicores: u32,
}

/// Orders hosts of one region for a database; the first is its home there.
#[must_use]
pub fn order<'a>(database: &str, mut hosts: Vec<Candidate<'a>>) -> Vec<&'a id::Daemon> {
    hosts.sort_by_cached_key(|host| (!host.near, cost(database, host), host.name));
    hosts.into_iter().map(|host| host.name).collect()
}

/// The cost of weighted rendezvous hashing; the least wins, in proportion to the weight.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "53 bits tell hosts apart, and the cost is positive and far below 2^64"
)]
fn cost(database: &str, host: &Candidate<'_>) -> u64 {
    let drawn = (rendezvous::weight(database, host.name) as f64 + 1.0) / 2.0_f64.powi(64);
    let cost = -drawn.ln() / f64::from(host.millicores.max(1));
    (cost * 1e12) as u64
}

/// What a host carries for others.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Databases that this daemon is home of in its region, and until when if it no longer is.
    carried: IndexMap<id::Database, Option<Duration>>,
    /// Whether homes are in use.
    in_use: bool,
}

impl State {
    /// Whether this daemon is home of a database in its own region.
    #[must_use]
    pub fn carries(&self, database: &str) -> bool {
        self.carried.contains_key(database)
    }
}

/// Whether statements go to homes.
#[must_use]
pub const fn in_use(daemon: &Daemon) -> bool {
    !matches!(daemon.role.current, Role::Host) || daemon.home.in_use
}

/// Whether a server's connections are this daemon's, as the home of its database in its region or of
/// its primary.
#[must_use]
pub fn carries(daemon: &Daemon, server: &str) -> bool {
    daemon.directory.get(server).is_some_and(|entry| {
        daemon.settings.distance(&entry.domain) < 2
            && daemon.home.carries(&entry.database)
            && (daemon.home.in_use || leads(daemon, server))
    })
}

/// Whether statements for a server go to its home: all where homes are in use, else those for primaries.
#[must_use]
pub fn has_home(daemon: &Daemon, server: &str) -> bool {
    in_use(daemon) || leads(daemon, server)
}

/// Whether a database has a primary whose home is asked, and that is not being moved.
#[must_use]
pub fn has_primary(daemon: &Daemon, database: &str) -> bool {
    matches!(authority::leader(daemon, database), Leader::Known(_))
}

fn leads(daemon: &Daemon, server: &str) -> bool {
    daemon.directory.get(server).is_some_and(|entry| {
        matches!(authority::leader(daemon, &entry.database), Leader::Known(leader) if leader == *server)
    })
}

/// Finds out anew whether homes are in use, and what this daemon carries.
pub fn refresh(daemon: &mut Daemon, now: Now) {
    // A home that stops as planned carries on to its end.
    if daemon.role.current != Role::Host || daemon.drain != drain::State::Serving {
        return;
    }
    let before = daemon.home.clone();
    daemon.home.in_use = daemon.role.entries || daemon.members.len() > role::FEW;
    daemon.home.carried = carried(daemon, now);
    let after = &daemon.home;
    if (before.in_use, &before.carried) != (after.in_use, &after.carried) {
        // Connections beyond the new shares are closed.
        for server in daemon.pools.keys() {
            daemon.timers.arm_by(timer::Key::Surplus(server.clone()), now.mono);
        }
    }
}

/// The databases that this daemon is home of, and those that it was home of until just now: other
/// daemons go on sending it statements until they hear of the new home.
fn carried(daemon: &Daemon, now: Now) -> IndexMap<id::Database, Option<Duration>> {
    let Some(region) = daemon.settings.region(&daemon.settings.domain) else {
        return IndexMap::new();
    };
    let own = |database: &id::Database| {
        let site = site(daemon, database);
        let primary = site.primary.as_ref().and_then(|domain| daemon.settings.region(domain));
        if !daemon.home.in_use && primary != Some(region) {
            return false;
        }
        homes(daemon, now, &site, region).first().is_some_and(|it| **it == daemon.settings.daemon)
    };
    let kept = daemon.groups.keys().filter_map(|database| {
        let until = match daemon.home.carried.get(database) {
            _ if own(database) => None,
            // A fleet that starts has no home to hand on from: each daemon was one to itself.
            Some(_) if !daemon.home.in_use => return None,
            Some(until) => Some(until.unwrap_or(now.mono + HANDED_ON)),
            None => return None,
        };
        until.is_none_or(|until| now.mono < until).then(|| (database.clone(), until))
    });
    kept.collect()
}

/// Where a database's servers are, as far as this daemon knows.
#[must_use]
pub fn site(daemon: &Daemon, database: &id::Database) -> Site {
    if daemon.role.current != Role::Host {
        return daemon.news.site(database);
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
    let domains = servers.map(|(_, entry)| entry.domain.clone()).collect();
    Site { database: database.clone(), primary, domains }
}

/// The hosts of a region that serve, the home of a database first.
#[must_use]
pub fn homes<'a>(
    daemon: &'a Daemon,
    now: Now,
    site: &Site,
    region: &id::Region,
) -> Vec<&'a id::Daemon> {
    let there = daemon.members.iter().filter(|(name, member)| {
        daemon.settings.region(&member.record.domain) == Some(region)
            && role::serves(daemon, now, name)
    });
    let candidates = there.map(|(name, member)| Candidate {
        name,
        near: site.domains.contains(&member.record.domain),
        millicores: member.record.millicores,
    });
    order(&site.database, candidates.collect())
}
