//! One connection to a backend server, and what must be done on it before a statement may run.
//!
//! A connection carries the statements of one workspace, one session at a time. The session's values
//! and prepared statements are brought to it before its statement runs; prepared statements get
//! names of the connection's own, so that sessions share them.

use crate::statement::Prepared;
use compact_str::{CompactString, format_compact};
use gcl_core::id;
use indexmap::IndexMap;
use std::time::Duration;

/// Prepared statements that a connection may hold before it is reset.
const MOST_PREPARED: usize = 64;

/// Session values by name.
pub type Values = IndexMap<CompactString, CompactString>;

/// A command that waits for its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Drops values and prepared statements.
    Reset,
    /// Sets a value.
    Set(CompactString, CompactString),
    /// Prepares a statement.
    Prepare(Prepared),
    /// Opens the transaction.
    Begin,
    /// Runs the caller's statement.
    Statement,
    /// Rolls back for a session that has left.
    Rollback,
    /// Asks for the server's role and position.
    Report,
}

/// Whether a connection can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is being opened.
    Opening,
    /// It is open.
    Open,
}

/// A connection to a backend server.
#[derive(Clone, Debug)]
pub struct Connection {
    /// The server.
    pub server: id::Server,
    /// The workspace whose statements it carries.
    pub workspace: id::Workspace,
    /// Whether it can be used.
    pub phase: Phase,
    /// The session that holds it.
    pub session: Option<id::Session>,
    /// The command in flight, and when it was sent.
    pub step: Option<(Step, Duration)>,
    /// Whether a transaction is open on it.
    pub in_transaction: bool,
    /// When it was last taken or given back.
    pub used: Duration,
    values: Values,
    prepared: IndexMap<Prepared, CompactString>,
}

impl Connection {
    /// A connection that is about to be opened.
    #[must_use]
    pub fn new(server: id::Server, workspace: id::Workspace, now: Duration) -> Self {
        Self {
            server,
            workspace,
            phase: Phase::Opening,
            session: None,
            step: None,
            in_transaction: false,
            used: now,
            values: Values::new(),
            prepared: IndexMap::new(),
        }
    }

    /// Whether a session can take it now.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Open) && self.session.is_none() && self.step.is_none()
    }

    /// Whether `values` can be reached without a reset.
    #[must_use]
    pub fn fits(&self, values: &Values) -> bool {
        self.values.keys().all(|name| values.contains_key(name))
    }

    /// What must be done before a statement of a session with `values` may run, if anything.
    #[must_use]
    pub fn prelude(&self, values: &Values, prepared: Option<&Prepared>) -> Option<Step> {
        let crowded = self.prepared.len() >= MOST_PREPARED;
        let lacks = prepared.is_some_and(|prepared| !self.prepared.contains_key(prepared));
        if !self.in_transaction && (!self.fits(values) || (crowded && lacks)) {
            return Some(Step::Reset);
        }
        let differs = values.iter().find(|(name, value)| self.values.get(*name) != Some(*value));
        if let Some((name, value)) = differs {
            return Some(Step::Set(name.clone(), value.clone()));
        }
        prepared.filter(|_| lacks).map(|prepared| Step::Prepare(prepared.clone()))
    }

    /// The connection's name for a statement that is prepared on it.
    #[must_use]
    pub fn name_of(&self, prepared: &Prepared) -> Option<&CompactString> {
        self.prepared.get(prepared)
    }

    /// The name that the next prepared statement gets.
    #[must_use]
    pub fn next_name(&self) -> CompactString {
        format_compact!("g{}", self.prepared.len())
    }

    /// Takes note of a command that succeeded.
    pub fn on_done(&mut self, step: Step) {
        match step {
            Step::Reset => {
                self.values.clear();
                self.prepared.clear();
            }
            Step::Set(name, value) => {
                self.values.insert(name, value);
            }
            Step::Prepare(prepared) => {
                let name = self.next_name();
                self.prepared.insert(prepared, name);
            }
            Step::Begin | Step::Statement | Step::Rollback | Step::Report => {}
        }
    }
}
