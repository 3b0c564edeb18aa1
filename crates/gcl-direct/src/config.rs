//! The configuration: routes, databases, workspaces and their keys.

use compact_str::CompactString;
use gcl_core::id;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// The data that a route's reads must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Freshness {
    /// Every acknowledged commit.
    Latest,
    /// Every commit acknowledged longer ago than this.
    Bounded(Duration),
    /// Like [`Freshness::Bounded`], and every commit of the same session.
    ReadYourWrites(Duration),
}

impl Freshness {
    /// The maximum staleness of a read, `None` for the latest data.
    #[must_use]
    pub const fn max_age(self) -> Option<Duration> {
        match self {
            Self::Latest => None,
            Self::Bounded(age) | Self::ReadYourWrites(age) => Some(age),
        }
    }
}

/// The database, freshness and limits of a service's statements.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The rule's name.
    pub rule: id::Rule,
    /// The database.
    pub database: id::Database,
    /// How recent the data of its reads must be.
    pub freshness: Freshness,
    /// Timeout of one statement.
    pub timeout: Duration,
    /// Target latency of a whole operation.
    pub target_latency: Duration,
    /// Priority of its statements, zero for the highest.
    pub priority: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Regions whose servers may run its statements; empty for all.
    pub regions: Regions,
}

/// Regions that statements may visit; empty for no restriction.
pub type Regions = Vec<id::Region>;

/// Properties of a database that all its servers share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Database {
    /// Maximum number of connections that one of its servers accepts.
    pub connections: usize,
    /// Statements a second that one of its servers bears while it is cold, zero for no limit.
    pub cold_rate: f64,
    /// Replicas that have received a commit before it is acknowledged. It is not part of the encoding,
    /// since an older release could not skip it: see [`crate::discovery::Update::synchronous`].
    #[serde(skip)]
    pub synchronous_replicas: usize,
}

/// The rate limit of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    /// Operations per second.
    pub rate: f64,
    /// Operations that may arrive in a burst.
    pub burst: f64,
}

/// Limits of a workspace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its rate limit, `None` for no limit.
    pub limit: Option<Rate>,
    /// Regions whose servers may run its statements; empty for all.
    pub regions: Regions,
    /// Its priority, zero for the highest. It is not part of the encoding, since an older release
    /// could not skip it: see [`crate::discovery::Update::priorities`].
    #[serde(skip)]
    pub priority: u32,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Its version, increasing with each change.
    pub version: u64,
    /// Routes by service.
    pub routes: IndexMap<id::Service, Arc<Route>>,
    /// Databases by name.
    pub databases: IndexMap<id::Database, Database>,
    /// Workspaces by name.
    pub workspaces: IndexMap<id::Workspace, Workspace>,
    /// The workspace of each key.
    pub keys: IndexMap<CompactString, id::Workspace>,
    /// Idle timeout within a transaction, `None` for no limit.
    pub transaction_idle: Option<Duration>,
}
