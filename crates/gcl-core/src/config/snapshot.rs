//! The configuration at one revision, indexed for decisions.

use super::object::{Database, Domain, Key, Object, Rule, Server, Service, Token, Workspace};
use crate::id;
use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Prefix of every configuration key in the store.
pub const PREFIX: &str = "gcl/config/";

/// An object with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// The revision of its last change.
    pub revision: id::Revision,
    /// The object.
    pub value: T,
}

/// The configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The store's revision up to which no change is missed.
    pub revision: id::Revision,
    /// Failure domains by name.
    pub domains: IndexMap<id::Domain, Versioned<Domain>>,
    /// Database services by name.
    pub services: IndexMap<id::Service, Versioned<Service>>,
    /// Databases by name.
    pub databases: IndexMap<id::Database, Versioned<Database>>,
    /// Backend servers by name.
    pub servers: IndexMap<id::Server, Versioned<Server>>,
    /// Workspaces by name.
    pub workspaces: IndexMap<id::Workspace, Versioned<Workspace>>,
    /// Keys by public half.
    pub keys: IndexMap<id::Key, Versioned<Key>>,
    /// Routing rules by name.
    pub rules: IndexMap<id::Rule, Versioned<Rule>>,
    /// Operators' tokens by name.
    pub tokens: IndexMap<CompactString, Versioned<Token>>,
    /// Servers of each database, derived.
    #[serde(skip)]
    pub groups: IndexMap<id::Database, Vec<id::Server>>,
}

/// The store key of an object.
#[must_use]
pub fn key_of(object: &Object) -> CompactString {
    let (kind, name) = identity(object);
    format_compact!("{PREFIX}{kind}/{name}")
}

/// The kind and name of an object.
#[must_use]
pub fn identity(object: &Object) -> (&'static str, &str) {
    match object {
        Object::Domain(value) => ("domain", &value.name),
        Object::Service(value) => ("service", &value.name),
        Object::Database(value) => ("database", &value.name),
        Object::Server(value) => ("server", &value.name),
        Object::Workspace(value) => ("workspace", &value.name),
        Object::Key(value) => ("key", &value.name),
        Object::Rule(value) => ("rule", &value.name),
        Object::Token(value) => ("token", &value.name),
    }
}

impl Snapshot {
    /// Puts an object in at the revision of its change, unless a newer one is there.
    pub fn put(&mut self, revision: id::Revision, object: Object) {
        match object {
            Object::Domain(value) => put(&mut self.domains, value.name.clone(), revision, value),
            Object::Service(value) => put(&mut self.services, value.name.clone(), revision, value),
            Object::Database(value) => {
                put(&mut self.databases, value.name.clone(), revision, value);
            }
            Object::Server(value) => put(&mut self.servers, value.name.clone(), revision, value),
            Object::Workspace(value) => {
                put(&mut self.workspaces, value.name.clone(), revision, value);
            }
            Object::Key(value) => put(&mut self.keys, value.name.clone(), revision, value),
            Object::Rule(value) => put(&mut self.rules, value.name.clone(), revision, value),
            Object::Token(value) => put(&mut self.tokens, value.name.clone(), revision, value),
        }
    }

    /// Removes the object at a store key, unless it changed after `revision`.
    pub fn delete(&mut self, revision: id::Revision, key: &str) {
        let Some((kind, name)) = key.strip_prefix(PREFIX).and_then(|rest| rest.split_once('/'))
        else {
            return;
        };
        match kind {
            "domain" => delete(&mut self.domains, revision, name),
            "service" => delete(&mut self.services, revision, name),
            "database" => delete(&mut self.databases, revision, name),
            "server" => delete(&mut self.servers, revision, name),
            "workspace" => delete(&mut self.workspaces, revision, name),
            "key" => delete(&mut self.keys, revision, name),
            "rule" => delete(&mut self.rules, revision, name),
            "token" => delete(&mut self.tokens, revision, name),
            _ => {}
        }
    }

    /// Derives the indexes; call it after a series of changes.
    pub fn index(&mut self) {
        self.groups.clear();
        for (name, server) in &self.servers {
            let group = self.groups.entry(server.value.database.clone()).or_default();
            group.push(name.clone());
        }
        for group in self.groups.values_mut() {
            group.sort_unstable();
        }
    }

    /// A server by name.
    #[must_use]
    pub fn server(&self, name: &str) -> Option<&Server> {
        self.servers.get(name).map(|versioned| &versioned.value)
    }

    /// The names of a database's servers, sorted.
    #[must_use]
    pub fn group(&self, database: &str) -> &[id::Server] {
        self.groups.get(database).map_or(&[], Vec::as_slice)
    }

    /// The region of a failure domain, empty when unknown.
    #[must_use]
    pub fn region(&self, domain: &str) -> &str {
        self.domains.get(domain).map_or("", |versioned| &versioned.value.region)
    }
}

fn put<T>(
    map: &mut IndexMap<CompactString, Versioned<T>>,
    name: CompactString,
    revision: id::Revision,
    value: T,
) {
    let newer = map.get(&name).is_some_and(|old| old.revision > revision);
    if !newer {
        map.insert(name, Versioned { revision, value });
    }
}

fn delete<T>(map: &mut IndexMap<CompactString, Versioned<T>>, revision: id::Revision, name: &str) {
    let newer = map.get(name).is_some_and(|old| old.revision > revision);
    if !newer {
        map.shift_remove(name);
    }
}
