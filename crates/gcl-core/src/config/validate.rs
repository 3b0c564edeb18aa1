//! Validates objects: each by itself, and the references among them.

use super::{
    object::{Key, Object, Phase, Rule, Server, Workspace},
    selector::{Selector, is_label_char},
    snapshot::{Snapshot, kind_and_name, labels, store_key},
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

/// A problem with an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The object's store key.
    pub key: CompactString,
    /// The code and the details.
    pub fault: Fault,
}

/// Problems of one object, references aside.
#[must_use]
pub fn object(object: &Object) -> Vec<Problem> {
    let mut findings = Findings { key: store_key(object), problems: Vec::new() };
    let (_, name) = kind_and_name(object);
    findings.check_name("name", name);
    findings.require(labels(object).len() <= MAX_LABELS, "at most 64 labels");
    for (label, value) in labels(object) {
        findings.check_name("label", label);
        findings.check_name("value of a label", value);
    }
    match object {
        Object::Server(server) => check_server(&mut findings, server),
        Object::Workspace(workspace) => check_workspace(&mut findings, workspace),
        Object::Key(key) => check_key(&mut findings, key),
        Object::Rule(rule) => check_rule(&mut findings, rule),
        Object::Token(token) => findings.check_hash(&token.hash),
        Object::Domain(_) | Object::Service(_) | Object::Database(_) => {}
    }
    findings.problems
}

/// Problems of a whole configuration: of each object, dangling references and shared addresses.
#[must_use]
pub fn snapshot(snapshot: &Snapshot) -> Vec<Problem> {
    let objects = snapshot.objects();
    let own = objects.iter().flat_map(|versioned| object(&versioned.value));
    let references = objects.iter().flat_map(|versioned| references(snapshot, &versioned.value));
    own.chain(references).chain(duplicate_addresses(snapshot)).collect()
}

/// Dangling references of one object.
#[must_use]
pub fn references(snapshot: &Snapshot, object: &Object) -> Vec<Problem> {
    let mut findings = Findings { key: store_key(object), problems: Vec::new() };
    match object {
        Object::Database(database) => {
            findings.check_reference(
                "service",
                &database.service,
                snapshot.services.contains_key(&database.service),
            );
        }
        Object::Server(server) => {
            let database = snapshot.databases.contains_key(&server.database);
            findings.check_reference("database", &server.database, database);
            findings.check_reference(
                "domain",
                &server.domain,
                snapshot.domains.contains_key(&server.domain),
            );
        }
        Object::Key(key) => {
            let workspace = snapshot.workspaces.contains_key(&key.workspace);
            findings.check_reference("workspace", &key.workspace, workspace);
        }
        Object::Rule(rule) => {
            let service = snapshot.services.contains_key(&rule.service);
            findings.check_reference("service", &rule.service, service);
            let chosen = Selector::parse(&rule.databases).is_ok_and(|selector| {
                let databases = snapshot.databases.values().map(|database| &database.value);
                let mut own = databases.filter(|database| database.service == rule.service);
                own.any(|database| selector.matches(&database.labels))
            });
            findings.require(chosen, "the rule's databases select at least one of the service");
        }
        _ => {}
    }
    findings.problems
}

/// Servers whose address already belongs to another server.
fn duplicate_addresses(snapshot: &Snapshot) -> Vec<Problem> {
    let mut taken = IndexSet::new();
    let servers = snapshot.servers.values().map(|server| &server.value);
    let duplicates = servers.filter(|server| !taken.insert(server.address));
    let problem = |server: &Server| Problem {
        key: store_key(&Object::Server(server.clone())),
        fault: Fault::new(
            Code::BadObject,
            format_compact!("address {} belongs to another server too", server.address),
        ),
    };
    duplicates.map(problem).collect()
}

struct Findings {
    key: CompactString,
    problems: Vec<Problem>,
}

impl Findings {
    fn add(&mut self, code: Code, detail: CompactString) {
        self.problems.push(Problem { key: self.key.clone(), fault: Fault::new(code, detail) });
    }

    fn require(&mut self, holds: bool, rule: &str) {
        if !holds {
            self.add(Code::BadObject, format_compact!("expected: {rule}"));
        }
    }

    fn check_reference(&mut self, kind: &str, name: &str, exists: bool) {
        if !exists {
            self.add(Code::NotFound, format_compact!("{kind} {name} does not exist"));
        }
    }

    fn check_name(&mut self, what: &str, word: &str) {
        let good = !word.is_empty() && word.len() <= MAX_NAME && word.chars().all(is_label_char);
        if !good {
            let detail = format_compact!(
                "{what} '{word}' is not 1 to 128 bytes of letters, digits, '-', '_', '.' and '/'"
            );
            self.add(Code::BadObject, detail);
        }
    }

    fn check_hash(&mut self, hash: &str) {
        let digits = hash.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        let good = hash.len() == HASH_DIGITS && digits;
        self.require(good, "hash is a SHA-256 of 64 lower-case hexadecimal digits");
    }

    fn check_selector(&mut self, field: &str, text: &str) {
        if let Err(error) = Selector::parse(text) {
            self.add(Code::BadObject, format_compact!("{field}: {error}"));
        }
    }
}

fn check_server(findings: &mut Findings, server: &Server) {
    let range = 1..=MAX_COUNT;
    findings.require(range.contains(&server.slots), "slots from 1 to 10000000");
    findings.require(range.contains(&server.connections), "connections from 1 to 10000000");
    findings.require(server.connections >= server.slots, "at least as many connections as slots");
}

fn check_workspace(findings: &mut Findings, workspace: &Workspace) {
    let range = 1..=MAX_COUNT;
    findings.require(range.contains(&workspace.rate), "rate from 1 to 10000000 requests a second");
    findings.require(range.contains(&workspace.burst), "burst from 1 to 10000000 requests");
    findings.require((1..=MAX_WEIGHT).contains(&workspace.weight), "weight from 1 to 1000");
    findings.require(workspace.offline_ms <= MAX_MS, "offline_ms of at most 86400000 milliseconds");
}

fn check_key(findings: &mut Findings, key: &Key) {
    findings.require(!key.name.contains('.'), "a key's name without a dot");
    findings.check_hash(&key.hash);
}

fn check_rule(findings: &mut Findings, rule: &Rule) {
    findings.check_selector("workspaces", &rule.workspaces);
    findings.check_selector("databases", &rule.databases);
    if let Some(next) = &rule.next {
        findings.check_selector("next", next);
        findings.require(rule.phase == Phase::Closing, "next only while the phase is closing");
    }
    findings.require(rule.max_age_ms <= MAX_MS, "max_age_ms of at most 86400000 milliseconds");
}
