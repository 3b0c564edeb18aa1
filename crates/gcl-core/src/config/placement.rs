//! Routing of one database service's requests, derived from rules, databases and workspaces.
//!
//! A placement's revision covers the service's rules and databases; where a rule selects by
//! workspace labels, [`crate::route`] adds the revision of the workspace. Daemons for which these
//! are the same route every request of that workspace to the same database.

use super::{
    object::{Database, Labels, Object, Phase, Rule},
    selector::Selector,
    snapshot::Snapshot,
};
use crate::{id, rendezvous};
use indexmap::IndexMap;
use std::{cmp::Reverse, time::Duration};

/// A database with its rendezvous hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Its name.
    pub database: id::Database,
    hash: u64,
}

/// A set of databases among which route keys are distributed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Set {
    nodes: Vec<Node>,
}

impl Set {
    fn select(databases: &[&Database], selector: &Selector) -> Self {
        let chosen = databases.iter().filter(|database| selector.matches(&database.labels));
        let mut nodes: Vec<Node> = chosen
            .map(|database| Node {
                database: database.name.clone(),
                hash: rendezvous::node_hash(&database.name),
            })
            .collect();
        nodes.sort_unstable_by(|a, b| a.database.cmp(&b.database));
        Self { nodes }
    }

    /// The database that owns a route key, given the key's hash.
    #[must_use]
    pub fn owner(&self, hash: u64) -> Option<&id::Database> {
        let owner =
            self.nodes.iter().max_by_key(|node| rendezvous::weight_of_hashes(hash, node.hash))?;
        Some(&owner.database)
    }

    /// Whether a database is in the set.
    #[must_use]
    pub fn contains(&self, database: &str) -> bool {
        self.nodes.iter().any(|node| node.database == database)
    }

    /// Whether no database is in the set.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }
}

/// A rule with its selectors parsed and its databases resolved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The rule.
    pub rule: id::Rule,
    /// Routes of higher priority are tried first.
    pub priority: i32,
    /// Selects the workspaces that it admits.
    pub workspaces: Selector,
    /// Whether requests need no key.
    pub open: bool,
    /// Staleness bound of reads that set none.
    pub max_age: Duration,
    /// The databases that requests are routed to.
    pub current: Set,
    /// The databases that route keys are about to move to; writes to keys that move are rejected.
    pub next: Option<Set>,
}

impl Route {
    /// Whether writes to a route key, given its hash, are accepted.
    #[must_use]
    pub fn writable(&self, hash: u64) -> bool {
        let next = self.next.as_ref();
        next.is_none_or(|next| next.owner(hash) == self.current.owner(hash))
    }

    /// Whether it admits a workspace, given its labels; one that does not exist is admitted by open
    /// rules only.
    #[must_use]
    pub fn admits(&self, labels: Option<&Labels>) -> bool {
        match labels {
            Some(labels) => self.workspaces.matches(labels),
            None => self.open && self.workspaces.matches(&Labels::default()),
        }
    }
}

/// The routes of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    /// Revision of the newest change or removal of a rule or database of the service.
    pub revision: id::Revision,
    /// Whether a rule selects workspaces by their labels.
    pub selects_by_label: bool,
    /// The routes in the order in which they are tried.
    pub routes: Vec<Route>,
}

impl Placement {
    /// The first route that admits a workspace, given its labels if it exists.
    #[must_use]
    pub fn route(&self, labels: Option<&Labels>) -> Option<&Route> {
        self.routes.iter().find(|route| route.admits(labels))
    }

    /// Derives the placements of all services.
    #[must_use]
    pub fn derive_all(snapshot: &Snapshot) -> IndexMap<id::Service, Self> {
        let mut all: IndexMap<id::Service, Self> = IndexMap::new();
        for service in snapshot.services.keys() {
            all.insert(service.clone(), Self::default());
        }
        let mut databases: IndexMap<&str, Vec<&Database>> = IndexMap::new();
        for database in snapshot.databases.values() {
            record_revision(&mut all, &database.value.service, database.revision);
            databases.entry(&database.value.service).or_default().push(&database.value);
        }
        for rule in snapshot.rules.values() {
            record_revision(&mut all, &rule.value.service, rule.revision);
            let in_service =
                databases.get(rule.value.service.as_str()).map_or(&[][..], Vec::as_slice);
            let route = route(in_service, &rule.value);
            if let (Some(route), Some(placement)) = (route, all.get_mut(&rule.value.service)) {
                placement.selects_by_label |= !route.workspaces.is_empty();
                placement.routes.push(route);
            }
        }
        for removed in snapshot.removed.values() {
            if let Some(service) = service_of(&removed.value) {
                record_revision(&mut all, service, removed.revision);
            }
        }
        for placement in all.values_mut() {
            placement
                .routes
                .sort_by_cached_key(|route| (Reverse(route.priority), route.rule.clone()));
        }
        all
    }
}

fn record_revision(
    all: &mut IndexMap<id::Service, Placement>,
    service: &str,
    revision: id::Revision,
) {
    if let Some(placement) = all.get_mut(service) {
        placement.revision = placement.revision.max(revision);
    }
}

fn service_of(object: &Object) -> Option<&str> {
    match object {
        Object::Database(database) => Some(&database.service),
        Object::Rule(rule) => Some(&rule.service),
        _ => None,
    }
}

/// Resolves a rule; `None`, so that it admits no request, if a selector cannot be parsed.
fn route(databases: &[&Database], rule: &Rule) -> Option<Route> {
    let set = |text: &str| Selector::parse(text).ok().map(|chosen| Set::select(databases, &chosen));
    let next = match (rule.phase, &rule.next) {
        (Phase::Open, _) => None,
        (Phase::Closing, Some(next)) => Some(set(next)?),
        (Phase::Closing, None) => Some(Set::default()),
    };
    Some(Route {
        rule: rule.name.clone(),
        priority: rule.priority,
        workspaces: Selector::parse(&rule.workspaces).ok()?,
        open: rule.open,
        max_age: Duration::from_millis(rule.max_age_ms),
        current: set(&rule.databases)?,
        next,
    })
}
