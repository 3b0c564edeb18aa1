//! The operators' configuration in force: routes, databases, workspaces and their keys.

use compact_str::CompactString;
use gcl_core::id;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// How recent the data must be that a route's reads see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Freshness {
    /// Every acknowledged commit.
    Latest,
    /// Every commit acknowledged longer ago than this.
    Bounded(Duration),
    /// Like [`Freshness::Bounded`], and every commit of the same session.
    OwnWrites(Duration),
}

impl Freshness {
    /// The age of data that a read accepts, `None` for the latest.
    #[must_use]
    pub const fn max_age(self) -> Option<Duration> {
        match self {
            Self::Latest => None,
            Self::Bounded(age) | Self::OwnWrites(age) => Some(age),
        }
    }
}

/// Where a service's statements go, and on which terms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The rule's name.
    pub rule: id::Rule,
    /// The database.
    pub database: id::Database,
    /// How recent its reads are.
    pub freshness: Freshness,
    /// Longest time for one statement.
    pub timeout: Duration,
    /// Time in which a whole operation should be answered.
    pub target_latency: Duration,
    /// Rank of the route's statements, zero for the highest.
    pub priority: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// What is known of a database beside its servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Database {
    /// Most connections that one of its servers accepts.
    pub connections: usize,
}

/// A workspace's share of the system.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Operations a second.
    pub rate: f64,
    /// Operations that may come at once.
    pub burst: f64,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Its version; a greater one is newer.
    pub version: u64,
    /// Routes by the service that callers name.
    pub routes: IndexMap<id::Service, Arc<Route>>,
    /// Databases by name.
    pub databases: IndexMap<id::Database, Database>,
    /// Workspaces by name.
    pub workspaces: IndexMap<id::Workspace, Workspace>,
    /// The workspace that each key opens.
    pub keys: IndexMap<CompactString, id::Workspace>,
    /// Longest rest within a transaction, none for no limit.
    pub transaction_idle: Option<Duration>,
}
