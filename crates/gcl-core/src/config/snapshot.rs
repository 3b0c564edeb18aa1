//! The configuration at one revision, with derived indexes.

use super::{
    document::Document,
    object::{Database, Domain, Key, Labels, Object, Rule, Server, Service, Token, Workspace},
    placement::Placement,
};
use crate::{id, store};
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Prefix of every configuration key in the store.
pub const PREFIX: &str = "gcl/config/";

/// Key written by every change that may move route keys, so that of two concurrent ones only one
/// succeeds.
pub const GUARD: &str = "gcl/config/guard";

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
    /// The store's revision up to which every change is included.
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
    /// The revision of the last change that may have moved route keys.
    pub guard: id::Revision,
    /// Removed objects by store key, with the revision of the removal.
    pub removed: IndexMap<CompactString, Versioned<Object>>,
    /// Servers of each database; derived by [`Snapshot::rebuild_indexes`].
    #[serde(skip)]
    pub groups: IndexMap<id::Database, Vec<id::Server>>,
    /// Placement of each service; derived by [`Snapshot::rebuild_indexes`].
    #[serde(skip)]
    pub placements: IndexMap<id::Service, Placement>,
}

/// The store key of an object.
#[must_use]
pub fn store_key(object: &Object) -> CompactString {
    let (kind, name) = kind_and_name(object);
    format_compact!("{PREFIX}{kind}/{name}")
}

/// The kind and name of an object.
#[must_use]
pub fn kind_and_name(object: &Object) -> (&'static str, &str) {
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
    /// Inserts or replaces an object at the revision of its change, unless a newer change is known.
    pub fn put(&mut self, revision: id::Revision, object: Object) {
        let key = store_key(&object);
        if self.revision_of(&key) > revision {
            return;
        }
        self.removed.swap_remove(&key);
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

    /// Removes the object at a store key, unless a newer change is known.
    pub fn delete(&mut self, revision: id::Revision, key: &str) {
        let Some(object) = self.object(key) else {
            return;
        };
        self.remove(revision, object.value);
    }

    /// Records the removal of an object, unless a newer change is known.
    pub fn remove(&mut self, revision: id::Revision, object: Object) {
        let key = store_key(&object);
        if self.revision_of(&key) > revision {
            return;
        }
        let (kind, name) = kind_and_name(&object);
        match kind {
            "domain" => drop(self.domains.shift_remove(name)),
            "service" => drop(self.services.shift_remove(name)),
            "database" => drop(self.databases.shift_remove(name)),
            "server" => drop(self.servers.shift_remove(name)),
            "workspace" => drop(self.workspaces.shift_remove(name)),
            "key" => drop(self.keys.shift_remove(name)),
            "rule" => drop(self.rules.shift_remove(name)),
            _ => drop(self.tokens.shift_remove(name)),
        }
        self.removed.insert(key, Versioned { revision, value: object });
    }

    /// Applies a change of the store; returns whether the configuration changed.
    pub fn apply(&mut self, change: &store::Change) -> bool {
        match change {
            store::Change::Put(entry) if entry.key == GUARD => {
                let newer = entry.revision > self.guard;
                self.guard = self.guard.max(entry.revision);
                newer
            }
            store::Change::Put(entry) => {
                let Some(document) = Document::decode(&entry.value) else {
                    return false;
                };
                if store_key(&document.object) != entry.key
                    || self.revision_of(&entry.key) >= entry.revision
                {
                    return false;
                }
                if document.removed {
                    self.remove(entry.revision, document.object);
                } else {
                    self.put(entry.revision, document.object);
                }
                true
            }
            store::Change::Deleted { key, revision } => {
                let known = self.object(key).is_some_and(|object| object.revision < *revision);
                self.delete(*revision, key);
                known
            }
        }
    }

    /// The object in force at a store key.
    #[must_use]
    pub fn object(&self, key: &str) -> Option<Versioned<Object>> {
        let (kind, name) = key.strip_prefix(PREFIX)?.split_once('/')?;
        match kind {
            "domain" => to_object(self.domains.get(name), Object::Domain),
            "service" => to_object(self.services.get(name), Object::Service),
            "database" => to_object(self.databases.get(name), Object::Database),
            "server" => to_object(self.servers.get(name), Object::Server),
            "workspace" => to_object(self.workspaces.get(name), Object::Workspace),
            "key" => to_object(self.keys.get(name), Object::Key),
            "rule" => to_object(self.rules.get(name), Object::Rule),
            "token" => to_object(self.tokens.get(name), Object::Token),
            _ => None,
        }
    }

    /// The revision of the last known change of a store key, zero for none.
    #[must_use]
    pub fn revision_of(&self, key: &str) -> id::Revision {
        if key == GUARD {
            return self.guard;
        }
        let removed = self.removed.get(key).map_or(0, |object| object.revision);
        removed.max(self.revision_in_force(key))
    }

    fn revision_in_force(&self, key: &str) -> id::Revision {
        let split = key.strip_prefix(PREFIX).and_then(|rest| rest.split_once('/'));
        let Some((kind, name)) = split else {
            return 0;
        };
        match kind {
            "domain" => revision(&self.domains, name),
            "service" => revision(&self.services, name),
            "database" => revision(&self.databases, name),
            "server" => revision(&self.servers, name),
            "workspace" => revision(&self.workspaces, name),
            "key" => revision(&self.keys, name),
            "rule" => revision(&self.rules, name),
            "token" => revision(&self.tokens, name),
            _ => 0,
        }
    }

    /// All objects in force, by kind and within a kind in order of insertion.
    #[must_use]
    pub fn objects(&self) -> Vec<Versioned<Object>> {
        let mut all = Vec::new();
        extend_objects(&mut all, &self.domains, Object::Domain);
        extend_objects(&mut all, &self.services, Object::Service);
        extend_objects(&mut all, &self.databases, Object::Database);
        extend_objects(&mut all, &self.servers, Object::Server);
        extend_objects(&mut all, &self.workspaces, Object::Workspace);
        extend_objects(&mut all, &self.keys, Object::Key);
        extend_objects(&mut all, &self.rules, Object::Rule);
        extend_objects(&mut all, &self.tokens, Object::Token);
        all
    }

    /// All entries as the store would list them, including removed objects.
    #[must_use]
    pub fn entries(&self) -> Vec<store::Entry> {
        let present = self.objects().into_iter().map(|object| entry(object, false));
        let removed = self.removed.values().map(|object| entry(object.clone(), true));
        let guard = (self.guard > 0).then(|| store::Entry {
            key: GUARD.into(),
            value: Bytes::new(),
            revision: self.guard,
            lease: 0,
        });
        present.chain(removed).chain(guard).collect()
    }

    /// The changes that turn this configuration into a listing of the store at a revision.
    #[must_use]
    pub fn diff(&self, entries: Vec<store::Entry>, revision: id::Revision) -> Vec<store::Change> {
        let listed: IndexMap<CompactString, id::Revision> =
            entries.iter().map(|entry| (entry.key.clone(), entry.revision)).collect();
        let deleted = self.objects().into_iter().map(|object| store_key(&object.value));
        let deleted = deleted.filter(|key| !listed.contains_key(key));
        let mut changes: Vec<store::Change> =
            deleted.map(|key| store::Change::Deleted { key, revision }).collect();
        let newer =
            entries.into_iter().filter(|entry| self.revision_of(&entry.key) < entry.revision);
        changes.extend(newer.map(store::Change::Put));
        changes.sort_by_key(store::Change::revision);
        changes
    }

    /// Rebuilds the derived indexes; to be called after a series of changes.
    pub fn rebuild_indexes(&mut self) {
        self.groups.clear();
        for (name, server) in &self.servers {
            let group = self.groups.entry(server.value.database.clone()).or_default();
            group.push(name.clone());
        }
        for group in self.groups.values_mut() {
            group.sort_unstable();
        }
        self.placements = Placement::derive_all(self);
    }

    /// The revision at which an object was removed, zero if no removal is known.
    #[must_use]
    pub fn removed_at(&self, kind: &str, name: &str) -> id::Revision {
        let key = format_compact!("{PREFIX}{kind}/{name}");
        self.removed.get(&key).map_or(0, |object| object.revision)
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

    /// The region of a failure domain, empty if unknown.
    #[must_use]
    pub fn region(&self, domain: &str) -> &str {
        self.domains.get(domain).map_or("", |versioned| &versioned.value.region)
    }
}

/// The labels of an object.
#[must_use]
pub const fn labels(object: &Object) -> &Labels {
    match object {
        Object::Domain(value) => &value.labels,
        Object::Service(value) => &value.labels,
        Object::Database(value) => &value.labels,
        Object::Server(value) => &value.labels,
        Object::Workspace(value) => &value.labels,
        Object::Key(value) => &value.labels,
        Object::Rule(value) => &value.labels,
        Object::Token(value) => &value.labels,
    }
}

/// The labels of an object, mutable.
#[must_use]
pub const fn labels_mut(object: &mut Object) -> &mut Labels {
    match object {
        Object::Domain(value) => &mut value.labels,
        Object::Service(value) => &mut value.labels,
        Object::Database(value) => &mut value.labels,
        Object::Server(value) => &mut value.labels,
        Object::Workspace(value) => &mut value.labels,
        Object::Key(value) => &mut value.labels,
        Object::Rule(value) => &mut value.labels,
        Object::Token(value) => &mut value.labels,
    }
}

type Map<T> = IndexMap<CompactString, Versioned<T>>;

fn put<T>(map: &mut Map<T>, name: CompactString, revision: id::Revision, value: T) {
    map.insert(name, Versioned { revision, value });
}

fn revision<T>(map: &Map<T>, name: &str) -> id::Revision {
    map.get(name).map_or(0, |versioned| versioned.revision)
}

fn to_object<T: Clone>(
    versioned: Option<&Versioned<T>>,
    kind: fn(T) -> Object,
) -> Option<Versioned<Object>> {
    let versioned = versioned?;
    Some(Versioned { revision: versioned.revision, value: kind(versioned.value.clone()) })
}

fn extend_objects<T: Clone>(all: &mut Vec<Versioned<Object>>, map: &Map<T>, kind: fn(T) -> Object) {
    all.extend(map.values().filter_map(|versioned| to_object(Some(versioned), kind)));
}

fn entry(object: Versioned<Object>, removed: bool) -> store::Entry {
    let key = store_key(&object.value);
    let document = Document { removed, ..Document::new(object.value) };
    store::Entry { key, value: document.encode(), revision: object.revision, lease: 0 }
}
