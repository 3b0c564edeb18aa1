//! Tracks the session settings of a connection and changes them before a batch where needed.

use compact_str::CompactString;
use gcl_core::{batch::Status, id::Term};
use indexmap::IndexMap;
use std::{
    collections::HashSet,
    sync::{Mutex, PoisonError},
};

/// Maximum number of accepted assignments kept; the set is cleared when it would grow larger.
const MAX_ACCEPTED: usize = 4_096;

/// Session variables by name.
pub type Variables = IndexMap<CompactString, CompactString>;

/// Assignments that a server has accepted before, and which are expected to succeed again.
#[derive(Debug, Default)]
pub struct Accepted(Mutex<HashSet<(CompactString, CompactString)>>);

impl Accepted {
    fn contains(&self, name: &CompactString, value: &CompactString) -> bool {
        let accepted = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        accepted.contains(&(name.clone(), value.clone()))
    }

    fn insert(&self, variables: &Variables) {
        let mut accepted = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if accepted.len() + variables.len() > MAX_ACCEPTED {
            accepted.clear();
        }
        accepted.extend(variables.iter().map(|(name, value)| (name.clone(), value.clone())));
    }
}

/// Session settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// The session's variables.
    pub variables: Variables,
    /// The term at which the server must be primary for writes; `None` keeps the current one.
    pub term: Option<Term>,
    /// Whether transactions are read-only.
    pub read_only: bool,
}

/// Statements that change the session settings before a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prelude {
    /// The statements, as one simple query.
    pub sql: String,
    /// Whether the server may reject one of them, so that the batch must wait for the answer.
    pub may_fail: bool,
    wanted: Settings,
}

/// The session state of a connection.
#[derive(Clone, Debug, Default)]
pub struct Session {
    /// The transaction status.
    pub status: Status,
    /// Whether the settings are unknown and have to be reset first.
    pub dirty: bool,
    current: Settings,
    /// Whether settings were changed in the open transaction, so that a rollback reverts them.
    set_in_transaction: bool,
}

impl Session {
    /// The statements that change the current settings to `wanted`; `None` if there are none.
    ///
    /// The read-only mode of a transaction is fixed when it begins, so an open transaction keeps its
    /// mode. A failed transaction accepts no assignments.
    pub fn prelude(&self, mut wanted: Settings, accepted: &Accepted) -> Option<Prelude> {
        if self.status == Status::Failed {
            return None;
        }
        let idle = self.status == Status::Idle;
        let reset = self.dirty && idle;
        let current = if reset { Settings::default() } else { self.current.clone() };
        if !idle {
            wanted.read_only = current.read_only;
        }
        wanted.term = wanted.term.or(current.term);
        let mut statements: Vec<String> = Vec::new();
        if reset {
            statements.push("RESET ALL".to_owned());
        }
        for name in current.variables.keys().filter(|name| !wanted.variables.contains_key(*name)) {
            statements.push(format!("RESET {name}"));
        }
        let mut may_fail = false;
        for (name, value) in &wanted.variables {
            if current.variables.get(name) != Some(value) {
                may_fail |= !accepted.contains(name, value);
                statements.push(format!("SET {name} = {}", literal(value)));
            }
        }
        if let Some(term) = wanted.term.filter(|_| wanted.term != current.term) {
            statements.push(format!("SET goldcrest.term = {term}"));
        }
        if wanted.read_only != current.read_only {
            let mode = if wanted.read_only { "on" } else { "off" };
            statements.push(format!("SET default_transaction_read_only = {mode}"));
        }
        let sql = statements.join("; ");
        (!sql.is_empty()).then_some(Prelude { sql, may_fail, wanted })
    }

    /// Records that the server accepted a prelude.
    pub fn confirm(&mut self, prelude: Prelude, accepted: &Accepted) {
        accepted.insert(&prelude.wanted.variables);
        self.current = prelude.wanted;
        if self.status == Status::Idle {
            self.dirty = false;
        } else {
            self.set_in_transaction = true;
        }
    }

    /// Sets the transaction status after a batch.
    pub fn set_status(&mut self, status: Status) {
        if status == Status::Idle && self.set_in_transaction {
            self.set_in_transaction = false;
            self.dirty = true;
        }
        self.status = status;
    }

    /// Records that the connection was reset.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// Whether a variable's name can be used in a statement without quoting.
pub fn is_name(name: &str) -> bool {
    let is_part = |part: &str| {
        part.starts_with(|c: char| c.is_ascii_alphabetic() || c == '_')
            && part.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
    };
    name.split('.').all(is_part)
}

/// Quotes a string as a literal that is valid with any `standard_conforming_strings` setting.
pub fn literal(value: &str) -> String {
    let mut literal = String::with_capacity(value.len() + 2);
    if value.contains('\\') {
        literal.push('E');
    }
    literal.push('\'');
    for c in value.chars() {
        if c == '\'' || c == '\\' {
            literal.push(c);
        }
        literal.push(c);
    }
    literal.push('\'');
    literal
}
