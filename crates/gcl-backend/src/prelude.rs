//! The session variables that a batch needs on its connection.

use compact_str::CompactString;
use gcl_core::{batch::Status, id::Term};
use indexmap::IndexMap;
use std::{
    collections::HashSet,
    sync::{Mutex, PoisonError},
};

/// Most assignments that are remembered as accepted.
const MOST_ACCEPTED: usize = 4_096;

/// Session variables by name.
pub type Variables = IndexMap<CompactString, CompactString>;

/// Assignments that a server has accepted before.
#[derive(Debug, Default)]
pub struct Accepted(Mutex<HashSet<(CompactString, CompactString)>>);

impl Accepted {
    fn holds(&self, name: &CompactString, value: &CompactString) -> bool {
        let accepted = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        accepted.contains(&(name.clone(), value.clone()))
    }

    fn learn(&self, variables: &Variables) {
        let mut accepted = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if accepted.len() + variables.len() > MOST_ACCEPTED {
            accepted.clear();
        }
        accepted.extend(variables.iter().map(|(name, value)| (name.clone(), value.clone())));
    }
}

/// What a batch needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Wanted {
    /// The session's variables.
    pub variables: Variables,
    /// The term that writes are pinned to; `None` leaves it.
    pub term: Option<Term>,
    /// Whether transactions are read-only.
    pub read_only: bool,
}

/// Assignments to run before a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prelude {
    /// The statements.
    pub sql: String,
    /// Whether the server may refuse one of them, so that the batch must wait for the answer.
    pub risky: bool,
    wanted: Wanted,
}

/// The variables as they stand on a connection.
#[derive(Clone, Debug, Default)]
pub struct Session {
    /// The transaction status.
    pub status: Status,
    /// Whether the variables are in doubt and have to be reset first.
    pub dirty: bool,
    now: Wanted,
    /// Whether variables were set in the open transaction, so that its rollback undoes them.
    within: bool,
}

impl Session {
    /// The assignments that lead to what a batch needs, `None` if there are none to make.
    ///
    /// A transaction's read-only mode is fixed when it begins, so an open one keeps its own. A
    /// failed one takes no assignment.
    pub fn prelude(&self, mut wanted: Wanted, accepted: &Accepted) -> Option<Prelude> {
        if self.status == Status::Failed {
            return None;
        }
        let idle = self.status == Status::Idle;
        let reset = self.dirty && idle;
        let now = if reset { Wanted::default() } else { self.now.clone() };
        if !idle {
            wanted.read_only = now.read_only;
        }
        wanted.term = wanted.term.or(now.term);
        let mut statements: Vec<String> = Vec::new();
        if reset {
            statements.push("RESET ALL".to_owned());
        }
        for name in now.variables.keys().filter(|name| !wanted.variables.contains_key(*name)) {
            statements.push(format!("RESET {name}"));
        }
        let mut risky = false;
        for (name, value) in &wanted.variables {
            if now.variables.get(name) != Some(value) {
                risky |= !accepted.holds(name, value);
                statements.push(format!("SET {name} = {}", literal(value)));
            }
        }
        if let Some(term) = wanted.term.filter(|_| wanted.term != now.term) {
            statements.push(format!("SET goldcrest.term = {term}"));
        }
        if wanted.read_only != now.read_only {
            let mode = if wanted.read_only { "on" } else { "off" };
            statements.push(format!("SET default_transaction_read_only = {mode}"));
        }
        let sql = statements.join("; ");
        (!sql.is_empty()).then_some(Prelude { sql, risky, wanted })
    }

    /// Takes the word that the assignments were made.
    pub fn confirm(&mut self, prelude: Prelude, accepted: &Accepted) {
        accepted.learn(&prelude.wanted.variables);
        self.now = prelude.wanted;
        if self.status == Status::Idle {
            self.dirty = false;
        } else {
            self.within = true;
        }
    }

    /// Takes the status after a batch.
    pub fn settle(&mut self, status: Status) {
        if status == Status::Idle && self.within {
            self.within = false;
            self.dirty = true;
        }
        self.status = status;
    }

    /// Takes the word that the connection was reset.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// Whether a variable's name can stand in a statement as it is.
pub fn is_name(name: &str) -> bool {
    let is_part = |part: &str| {
        part.starts_with(|c: char| c.is_ascii_alphabetic() || c == '_')
            && part.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
    };
    name.split('.').all(is_part)
}

/// A string literal, safe whatever the server's string settings are.
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
