//! Everything that one daemon knows.

use crate::{
    config::Config, connection::Connection, directory::Directory, drain, era, failover, feed,
    gossip, group::Group, guest, home, lease, limit, link, news, pool::Pool, role,
    session::Session, settings::Settings, timer, watch,
};
use gcl_core::{id, random::Random};
use indexmap::IndexMap;
use std::sync::Arc;

/// Another daemon, as the store lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// What it says of itself.
    pub record: lease::Record,
    /// The lease that its key hangs on.
    pub lease: gcl_core::store::Lease,
    /// The revision of its key.
    pub revision: id::Revision,
}

/// The state of one daemon.
#[derive(Clone, Debug)]
pub struct State {
    /// Its settings.
    pub settings: Settings,
    /// This life of the daemon.
    pub incarnation: id::Incarnation,
    /// Its source of randomness.
    pub random: Random,
    /// The last id that was handed out for a connection or call.
    pub last_id: u64,
    /// Armed timers.
    pub timers: timer::Service,
    /// Whether this daemon is a host.
    pub role: role::State,
    /// What an entry has learnt from hosts.
    pub news: news::State,
    /// The ways to hosts.
    pub link: link::State,
    /// What this daemon carries as a home.
    pub home: home::State,
    /// Other daemons' callers whose statements this one runs.
    pub guests: guest::Guests,
    /// Databases whose primary's position is asked for at another host.
    pub feed: feed::State,
    /// The configuration in force.
    pub config: Option<Arc<Config>>,
    /// Backend servers.
    pub directory: Directory,
    /// Hosts, as the store lists them or, to an entry, a host tells.
    pub members: IndexMap<id::Daemon, Member>,
    /// How the store is followed.
    pub watch: watch::State,
    /// The store's era.
    pub era: era::State,
    /// This daemon's lease.
    pub lease: lease::State,
    /// What other daemons tell.
    pub gossip: gossip::State,
    /// Databases.
    pub groups: IndexMap<id::Database, Group>,
    /// Primaries in doubt and moves under way.
    pub failover: failover::State,
    /// Callers' sessions.
    pub sessions: IndexMap<id::Session, Session>,
    /// Connections to backend servers.
    pub connections: IndexMap<id::Connection, Connection>,
    /// What is known of each backend server's connections.
    pub pools: IndexMap<id::Server, Pool>,
    /// Rates of workspaces.
    pub limit: limit::State,
    /// How far a planned stop is.
    pub drain: drain::State,
    /// Whether the daemon has reported itself ready.
    pub ready: bool,
}

impl State {
    /// The state of a daemon that has just started; `seed` is drawn at random by the shell.
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
            news: news::State::default(),
            link: link::State::default(),
            home: home::State::default(),
            guests: guest::Guests::new(),
            feed: feed::State::new(),
            config: None,
            directory: Directory::default(),
            members: IndexMap::new(),
            watch: watch::State::default(),
            era: era::State::default(),
            lease: lease::State::default(),
            gossip: gossip::State::default(),
            groups: IndexMap::new(),
            failover: failover::State::default(),
            sessions: IndexMap::new(),
            connections: IndexMap::new(),
            pools: IndexMap::new(),
            limit: limit::State::default(),
            drain: drain::State::default(),
            ready: false,
        }
    }

    /// An id for a connection or call.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
