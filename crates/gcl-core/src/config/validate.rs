//! Checks objects: each by itself, and the references among them.

use super::{
    object::{Key, Object, Phase, Rule, Server, Workspace},
    selector::{Selector, is_word},
    snapshot::{Snapshot, identity, key_of, labels},
};
use crate::code::{Code, Fault};
use compact_str::{CompactString, format_compact};
use indexmap::IndexSet;

/// Longest name, label or value in bytes.
const MAX_NAME: usize = 128;
/// Most labels of an object.
const MAX_LABELS: usize = 64;
/// Length of a SHA-256 in hexadecimal.
const HASH_DIGITS: usize = 64;
/// Greatest rate, burst, slots or connections.
const MAX_COUNT: u32 = 10_000_000;
/// Greatest weight of a workspace.
const MAX_WEIGHT: u32 = 1_000;
/// Greatest age or offline time in milliseconds, one day.
const MAX_MS: u64 = 86_400_000;

/// What is wrong with an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The object's store key.
    pub key: CompactString,
    /// The code and what exactly is wrong.
    pub fault: Fault,
}

/// Problems of one object by itself.
#[must_use]
pub fn object(object: &Object) -> Vec<Problem> {
    let mut found = Found { key: key_of(object), problems: Vec::new() };
    let (_, name) = identity(object);
    found.word("name", name);
    found.check(labels(object).len() <= MAX_LABELS, "at most 64 labels");
    for (label, value) in labels(object) {
        found.word("label", label);
        found.word("value of a label", value);
    }
    match object {
        Object::Server(server) => on_server(&mut found, server),
        Object::Workspace(workspace) => on_workspace(&mut found, workspace),
        Object::Key(key) => on_key(&mut found, key),
        Object::Rule(rule) => on_rule(&mut found, rule),
        Object::Token(token) => found.hash(&token.hash),
        Object::Domain(_) | Object::Service(_) | Object::Database(_) => {}
    }
    found.problems
}

/// Problems of a whole configuration: of each object, and of references that lead nowhere.
#[must_use]
pub fn snapshot(snapshot: &Snapshot) -> Vec<Problem> {
    let objects = snapshot.objects();
    let own = objects.iter().flat_map(|versioned| object(&versioned.value));
    let references = objects.iter().flat_map(|versioned| references(snapshot, &versioned.value));
    own.chain(references).chain(addresses(snapshot)).collect()
}

/// References of one object that lead nowhere.
#[must_use]
pub fn references(snapshot: &Snapshot, object: &Object) -> Vec<Problem> {
    let mut found = Found { key: key_of(object), problems: Vec::new() };
    match object {
        Object::Database(database) => {
            found.refers(
                "service",
                &database.service,
                snapshot.services.contains_key(&database.service),
            );
        }
        Object::Server(server) => {
            let database = snapshot.databases.contains_key(&server.database);
            found.refers("database", &server.database, database);
            found.refers("domain", &server.domain, snapshot.domains.contains_key(&server.domain));
        }
        Object::Key(key) => {
            let workspace = snapshot.workspaces.contains_key(&key.workspace);
            found.refers("workspace", &key.workspace, workspace);
        }
        Object::Rule(rule) => {
            let service = snapshot.services.contains_key(&rule.service);
            found.refers("service", &rule.service, service);
            let chosen = Selector::parse(&rule.databases).is_ok_and(|selector| {
                let databases = snapshot.databases.values().map(|database| &database.value);
                let mut own = databases.filter(|database| database.service == rule.service);
                own.any(|database| selector.matches(&database.labels))
            });
            found.check(chosen, "the rule's databases select at least one of the service");
        }
        _ => {}
    }
    found.problems
}

/// Two servers cannot share an address.
fn addresses(snapshot: &Snapshot) -> Vec<Problem> {
    let mut taken = IndexSet::new();
    let servers = snapshot.servers.values().map(|server| &server.value);
    let twice = servers.filter(|server| !taken.insert(server.address));
    let problem = |server: &Server| Problem {
        key: key_of(&Object::Server(server.clone())),
        fault: Fault::new(
            Code::BadObject,
            format_compact!("address {} belongs to another server too", server.address),
        ),
    };
    twice.map(problem).collect()
}

struct Found {
    key: CompactString,
    problems: Vec<Problem>,
}

impl Found {
    fn add(&mut self, code: Code, detail: CompactString) {
        self.problems.push(Problem { key: self.key.clone(), fault: Fault::new(code, detail) });
    }

    fn check(&mut self, holds: bool, rule: &str) {
        if !holds {
            self.add(Code::BadObject, format_compact!("expected: {rule}"));
        }
    }

    fn refers(&mut self, kind: &str, name: &str, exists: bool) {
        if !exists {
            self.add(Code::NotFound, format_compact!("{kind} {name} does not exist"));
        }
    }

    fn word(&mut self, what: &str, word: &str) {
        let good = !word.is_empty() && word.len() <= MAX_NAME && word.chars().all(is_word);
        if !good {
            let detail = format_compact!(
                "{what} '{word}' is not 1 to 128 bytes of letters, digits, '-', '_', '.' and '/'"
            );
            self.add(Code::BadObject, detail);
        }
    }

    fn hash(&mut self, hash: &str) {
        let digits = hash.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        let good = hash.len() == HASH_DIGITS && digits;
        self.check(good, "hash is a SHA-256 of 64 lower-case hexadecimal digits");
    }

    fn selector(&mut self, field: &str, text: &str) {
        if let Err(error) = Selector::parse(text) {
            self.add(Code::BadObject, format_compact!("{field}: {error}"));
        }
    }
}

fn on_server(found: &mut Found, server: &Server) {
    let range = 1..=MAX_COUNT;
    found.check(range.contains(&server.slots), "slots from 1 to 10000000");
    found.check(range.contains(&server.connections), "connections from 1 to 10000000");
    found.check(server.connections >= server.slots, "at least as many connections as slots");
}

fn on_workspace(found: &mut Found, workspace: &Workspace) {
    let range = 1..=MAX_COUNT;
    found.check(range.contains(&workspace.rate), "rate from 1 to 10000000 requests a second");
    found.check(range.contains(&workspace.burst), "burst from 1 to 10000000 requests");
    found.check((1..=MAX_WEIGHT).contains(&workspace.weight), "weight from 1 to 1000");
    found.check(workspace.offline_ms <= MAX_MS, "offline_ms of at most 86400000 milliseconds");
}

fn on_key(found: &mut Found, key: &Key) {
    found.check(!key.name.contains('.'), "a key's name without a dot");
    found.hash(&key.hash);
}

fn on_rule(found: &mut Found, rule: &Rule) {
    found.selector("workspaces", &rule.workspaces);
    found.selector("databases", &rule.databases);
    if let Some(next) = &rule.next {
        found.selector("next", next);
        found.check(rule.phase == Phase::Closing, "next only while the phase is closing");
    }
    found.check(rule.max_age_ms <= MAX_MS, "max_age_ms of at most 86400000 milliseconds");
}
