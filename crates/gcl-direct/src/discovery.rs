//! Discovery by entries ([`crate::role`]): the configuration, the locations of servers, and the
//! list of hosts.
//!
//! An entry polls the nearest host, usually one of its own failure domain, every `POLL_INTERVAL`.
//! It sends the versions that it has, so that only differences are transferred, and within the
//! failure domain. If a host does not respond, the next one is polled. An entry reads from the
//! store only the list of hosts, and only when no host responds.

use crate::{
    config::Config,
    drain,
    effect::Effects,
    home::{self, Location},
    lease,
    line::Line,
    link::{self, Call, Request, Response},
    role::{self, Role},
    state::{Member, State as Daemon},
    timer, trailing, watch,
};
use compact_str::CompactString;
use gcl_core::{id, rendezvous, time::Now};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

/// Mean interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(700);
/// The same until the first response.
const START_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest interval at which a host requests a newer configuration from other hosts.
const CONFIG_FETCH_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a response after which the next host is polled.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1100);
/// Age of the last response up to which an entry serves callers.
const MAX_AGE: Duration = Duration::from_millis(3500);
/// Time without a response from any host after which an entry becomes a host itself.
const ISOLATED_AFTER: Duration = Duration::from_secs(3);

/// A host, as reported to entries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub name: id::Daemon,
    /// Its listen address for other daemons, `ip:port`.
    pub address: CompactString,
    /// Its failure domain.
    pub domain: id::Domain,
    /// The incarnation of its process.
    pub incarnation: id::Incarnation,
    /// The CPU capacity of its VM, in thousandths of a core.
    pub millicores: u32,
    /// Whether it accepts statements.
    pub serves: bool,
}

/// Versions of the data that an entry has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The version of the configuration.
    pub config: u64,
    /// A hash of the locations.
    pub locations: u64,
    /// A hash of the hosts.
    pub hosts: u64,
}

/// The data that differs from an entry's versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The configuration, if it is newer.
    pub config: Option<Arc<Config>>,
    /// The failure domains of the servers of all databases, if they differ.
    pub locations: Option<Vec<Location>>,
    /// The hosts, if they differ.
    pub hosts: Option<Vec<Host>>,
    /// The priorities of the configuration's workspaces, without those that have the highest.
    #[serde(default, deserialize_with = "trailing::or_default")]
    pub priorities: Vec<(id::Workspace, u32)>,
    /// The number of synchronous replicas of the configuration's databases, without those that have
    /// none.
    #[serde(default, deserialize_with = "trailing::or_default")]
    pub synchronous: Vec<(id::Database, usize)>,
}

impl Update {
    /// An update with a configuration, or an empty one.
    #[must_use]
    pub fn with_config(config: Option<Arc<Config>>) -> Self {
        let workspaces = config.iter().flat_map(|config| &config.workspaces);
        let priorities = workspaces.filter(|(_, workspace)| workspace.priority > 0);
        let priorities = priorities.map(|(name, workspace)| (name.clone(), workspace.priority));
        let priorities = priorities.collect();
        let databases = config.iter().flat_map(|config| &config.databases);
        let synchronous = databases.filter(|(_, database)| database.synchronous_replicas > 0);
        let synchronous =
            synchronous.map(|(name, database)| (name.clone(), database.synchronous_replicas));
        Self { synchronous: synchronous.collect(), priorities, config, ..Self::default() }
    }

    /// Takes the configuration, with what its encoding lacks.
    #[must_use]
    pub fn take_config(&mut self) -> Option<Arc<Config>> {
        let mut config = self.config.take()?;
        if !self.priorities.is_empty() {
            let workspaces = &mut Arc::make_mut(&mut config).workspaces;
            for (name, priority) in std::mem::take(&mut self.priorities) {
                if let Some(workspace) = workspaces.get_mut(&name) {
                    workspace.priority = priority;
                }
            }
        }
        if !self.synchronous.is_empty() {
            let databases = &mut Arc::make_mut(&mut config).databases;
            for (name, replicas) in std::mem::take(&mut self.synchronous) {
                if let Some(database) = databases.get_mut(&name) {
                    database.synchronous_replicas = replicas;
                }
            }
        }
        Some(config)
    }
}

/// What an entry has discovered.
#[derive(Clone, Debug, Default)]
pub struct State {
    versions: Versions,
    locations: IndexMap<id::Database, Location>,
    serving: IndexSet<id::Daemon>,
    /// When this daemon, as a host, last requested the configuration from another.
    config_fetched: Duration,
    pending_poll: Option<(id::Daemon, Duration)>,
    last_response: Option<Duration>,
    started: Duration,
}

impl State {
    /// The failure domains of a database's servers.
    #[must_use]
    pub fn location(&self, database: &id::Database) -> Location {
        let known = self.locations.get(database).cloned();
        known.unwrap_or_else(|| Location { database: database.clone(), ..Location::default() })
    }

    /// Whether a host accepts statements.
    #[must_use]
    pub fn serves(&self, host: &str) -> bool {
        self.serving.contains(host)
    }

    /// Whether the last response is recent and a host serves.
    #[must_use]
    pub fn is_fresh(&self, now: Now) -> bool {
        self.last_response.is_some_and(|at| now.since(at) < MAX_AGE) && !self.serving.is_empty()
    }
}

fn fingerprint(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Starts to poll.
pub fn start(daemon: &mut Daemon, now: Now) {
    daemon.discovery.started = now.mono;
    daemon.timers.arm(timer::Key::Discovery, now.mono);
}

/// Polls a host, and the next one if that does not respond.
pub fn on_timer(daemon: &mut Daemon, now: Now, fx: &mut Effects) {
    if daemon.role.current != Role::Entry {
        return;
    }
    let period =
        if daemon.discovery.last_response.is_some() { POLL_INTERVAL } else { START_POLL_INTERVAL };
    let period = daemon.random.jitter(period);
    daemon.timers.arm(timer::Key::Discovery, now.mono + period);
    if let Some((host, at)) = daemon.discovery.pending_poll.clone() {
        if now.since(at) < RESPONSE_TIMEOUT {
            return;
        }
        daemon.discovery.pending_poll = None;
        link::mark_unreachable(daemon, now, fx, &host, "poll unanswered");
    }
    let silence = now.since(daemon.discovery.last_response.unwrap_or(daemon.discovery.started));
    if silence >= ISOLATED_AFTER && daemon.drain == drain::State::Serving {
        role::on_isolated(daemon, fx, silence);
    }
    if let Some(host) = host_to_poll(daemon) {
        daemon.discovery.pending_poll = Some((host.clone(), now.mono));
        let versions = daemon.discovery.versions;
        link::send(daemon, fx, &host, Request::Discover(versions));
    }
}

/// Polls the next host at once if the polled one has become unreachable.
pub fn on_unreachable(daemon: &mut Daemon, now: Now, host: &id::Daemon) {
    if daemon.discovery.pending_poll.take_if(|(polled, _)| polled == host).is_some() {
        daemon.timers.arm(timer::Key::Discovery, now.mono);
    }
}

/// The host to poll: the nearest that is not unreachable.
fn host_to_poll(daemon: &Daemon) -> Option<id::Daemon> {
    let own = &daemon.settings.daemon;
    let usable = daemon.members.iter().filter(|(name, _)| daemon.link.is_usable(name));
    let best = usable.min_by_key(|(name, member)| {
        (daemon.settings.distance(&member.record.domain), rendezvous::weight(own, name))
    });
    best.map(|(name, _)| name.clone())
}

/// Handles an entry's poll.
pub fn on_request(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    link: link::Id,
    versions: Versions,
) {
    role::on_entry_request(daemon, now, fx);
    let config = daemon.config.as_ref().filter(|config| config.version > versions.config);
    let locations: Vec<_> =
        daemon.groups.keys().map(|database| home::location(daemon, database)).collect();
    let hosts = daemon.members.iter().map(|(name, member)| Host {
        name: name.clone(),
        address: member.record.address.clone(),
        domain: member.record.domain.clone(),
        incarnation: member.record.incarnation,
        millicores: member.record.millicores,
        serves: role::serves(daemon, now, name),
    });
    let hosts: Vec<_> = hosts.collect();
    let update = Update {
        locations: (fingerprint(&locations) != versions.locations).then_some(locations),
        hosts: (fingerprint(&hosts) != versions.hosts && !hosts.is_empty()).then_some(hosts),
        ..Update::with_config(config.cloned())
    };
    fx.link(Call::Respond(link, Response::Update(Box::new(update))));
}

/// Handles the configuration version that another host reports, and requests a newer one from it.
/// This also serves hosts whose requests the store rejects.
pub fn on_version(
    daemon: &mut Daemon,
    now: Now,
    fx: &mut Effects,
    host: &id::Daemon,
    version: u64,
) {
    let own = daemon.config.as_ref().map_or(0, |config| config.version);
    if version > own && now.since(daemon.discovery.config_fetched) >= CONFIG_FETCH_INTERVAL {
        daemon.discovery.config_fetched = now.mono;
        link::send(daemon, fx, host, Request::Config(own));
    }
}

/// Handles a host's request for a configuration newer than `version`.
pub fn on_config_request(daemon: &Daemon, fx: &mut Effects, link: link::Id, version: u64) {
    let config = daemon.config.as_ref().filter(|config| config.version > version).cloned();
    let update = Update::with_config(config);
    fx.link(Call::Respond(link, Response::Update(Box::new(update))));
}

/// Handles a host's response to a poll or to a request for the configuration.
pub fn on_update(daemon: &mut Daemon, now: Now, fx: &mut Effects, mut update: Update) {
    daemon.discovery.pending_poll = None;
    let config = update.take_config();
    if daemon.role.current != Role::Entry {
        if let Some(config) = config {
            watch::on_config(daemon, now, fx, config);
        }
        return;
    }
    daemon.discovery.last_response = Some(now.mono);
    role::on_host_reachable(daemon);
    if let Some(locations) = update.locations {
        daemon.discovery.versions.locations = fingerprint(&locations);
        daemon.discovery.locations =
            locations.into_iter().map(|it| (it.database.clone(), it)).collect();
    }
    if let Some(config) = config {
        watch::on_config(daemon, now, fx, config);
        daemon.discovery.versions.config =
            daemon.config.as_ref().map_or(0, |config| config.version);
    }
    if let Some(hosts) = update.hosts {
        on_hosts(daemon, now, fx, hosts);
    }
}

fn on_hosts(daemon: &mut Daemon, now: Now, fx: &mut Effects, hosts: Vec<Host>) {
    daemon.discovery.versions.hosts = fingerprint(&hosts);
    let serving = hosts.iter().filter(|host| host.serves).map(|host| host.name.clone());
    daemon.discovery.serving = serving.collect();
    let members = hosts.into_iter().map(|host| {
        let record = lease::Record {
            incarnation: host.incarnation,
            address: host.address,
            domain: host.domain,
            millicores: host.millicores,
            acknowledged: IndexMap::new(),
        };
        (host.name, Member { record, lease: 0, revision: 0 })
    });
    daemon.members = members.collect();
    let line = Line::state_change("hosts known").with("hosts", daemon.members.len());
    fx.log(line.with("serving", daemon.discovery.serving.len()));
    role::on_members(daemon, now, fx, false);
}
