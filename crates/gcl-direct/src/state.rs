//! The complete state of one daemon.

use crate::{
    balance, cold,
    config::Config,
    connection::Connection,
    directory::Directory,
    discovery, drain, era, evacuation, failover, gossip,
    group::Group,
    home, lease, limit, link, outlier,
    pool::Pool,
    position, remote, restart, revocation, role,
    session::{Session, storage::Storage},
    settings::Settings,
    timer, watch,
};
use gcl_core::{id, random::Random};
use indexmap::IndexMap;
use std::sync::Arc;

/// A host, as listed in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The value that it writes under its key.
    pub record: lease::Record,
    /// The lease that its key is attached to.
    pub lease: gcl_core::store::Lease,
    /// The store revision of its key.
    pub revision: id::Revision,
}

/// The state of one daemon.
#[derive(Clone, Debug)]
pub struct State {
    /// Its settings.
    pub settings: Settings,
    /// Drawn at random for each start of the process.
    pub incarnation: id::Incarnation,
    /// Random number generator.
    pub random: Random,
    /// The last id that was assigned.
    pub last_id: u64,
    /// Armed timers.
    pub timers: timer::Service,
    /// Whether this daemon is a host.
    pub role: role::State,
    /// What an entry has discovered from hosts.
    pub discovery: discovery::State,
    /// What homes last reported of their load.
    pub balance: balance::Reports,
    /// Streams to hosts.
    pub link: link::State,
    /// The databases that this daemon is home of.
    pub home: home::State,
    /// Sessions of other daemons whose statements this one runs.
    pub remote_sessions: remote::Sessions,
    /// Databases whose primary's position is polled at another host.
    pub positions: position::State,
    /// The configuration in force.
    pub config: Option<Arc<Config>>,
    /// Backend servers.
    pub directory: Directory,
    /// Evacuated failure domains.
    pub evacuation: evacuation::State,
    /// Servers that restarted recently.
    pub restarts: restart::State,
    /// Cold servers.
    pub cold: cold::State,
    /// Hosts, as listed in the store or, on an entry, as reported by a host.
    pub members: IndexMap<id::Daemon, Member>,
    /// Watches of the store.
    pub watch: watch::State,
    /// The store's era.
    pub era: era::State,
    /// This daemon's lease.
    pub lease: lease::State,
    /// Recorded revocations of leases.
    pub revocation: revocation::State,
    /// What other daemons report in gossip.
    pub gossip: gossip::State,
    /// The servers and primary of each database.
    pub groups: IndexMap<id::Database, Group>,
    /// Suspected primaries and moves in progress.
    pub failover: failover::State,
    /// Callers' sessions.
    pub sessions: IndexMap<id::Session, Session>,
    /// Memory for what sessions keep.
    pub storage: Storage,
    /// Connections to backend servers.
    pub connections: IndexMap<id::Connection, Connection>,
    /// Connection pools of backend servers.
    pub pools: IndexMap<id::Server, Pool>,
    /// Servers that are slower than others or fail more.
    pub outlier: outlier::State,
    /// Rate limits of workspaces.
    pub limit: limit::State,
    /// Progress of a graceful shutdown.
    pub drain: drain::State,
    /// Whether the daemon has reported itself ready.
    pub ready: bool,
}

impl State {
    /// The state of a daemon that has just started; the shell chooses `seed` at random.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut random = Random::new(seed);
        let incarnation = random.next() | 1;
        Self {
            settings,
            incarnation,
            random,
            last_id: 0,
            timers: timer::Service::default(),
            role: role::State::default(),
            discovery: discovery::State::default(),
            balance: balance::Reports::default(),
            link: link::State::default(),
            home: home::State::default(),
            remote_sessions: remote::Sessions::new(),
            positions: position::State::new(),
            config: None,
            directory: Directory::default(),
            evacuation: evacuation::State::default(),
            restarts: restart::State::default(),
            cold: cold::State::default(),
            members: IndexMap::new(),
            watch: watch::State::default(),
            era: era::State::default(),
            lease: lease::State::default(),
            revocation: revocation::State::default(),
            gossip: gossip::State::default(),
            groups: IndexMap::new(),
            failover: failover::State::default(),
            sessions: IndexMap::new(),
            storage: Storage::default(),
            connections: IndexMap::new(),
            pools: IndexMap::new(),
            outlier: outlier::State::default(),
            limit: limit::State::default(),
            drain: drain::State::default(),
            ready: false,
        }
    }

    /// Assigns an id to a connection, store call or statement.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
