//! A connection to a backend server, and the setup that it needs before a statement may run.
//!
//! A connection carries the statements of one workspace and serves one session at a time. The
//! session's values and prepared statements are set up on it before the session's statement runs.
//! Prepared statements get names local to the connection, so that sessions can share them.

use crate::statement::Prepared;
use compact_str::{CompactString, format_compact};
use gcl_core::id;
use indexmap::IndexMap;
use std::time::Duration;

/// Limit on the prepared statements of a connection; it is reset when another one is needed.
const MAX_PREPARED: usize = 64;
/// Limit on their size in bytes; the same holds beyond it.
const MAX_PREPARED_BYTES: usize = 256 << 10;

/// Session values by name.
pub type Values = IndexMap<CompactString, CompactString>;

/// A command that is awaiting its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Clears values and prepared statements.
    Reset,
    /// Sets a value.
    Set(CompactString, CompactString),
    /// Prepares a statement.
    Prepare(Prepared),
    /// Opens the transaction.
    Begin,
    /// Runs the caller's statement.
    Statement,
    /// Rolls back the transaction of a session that released the connection.
    Rollback,
    /// Requests the server's role and log position.
    Report,
}

impl Step {
    /// A short name for logs and metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Reset => "reset",
            Self::Set(..) => "set",
            Self::Prepare(_) => "prepare",
            Self::Begin => "begin",
            Self::Statement => "statement",
            Self::Rollback => "rollback",
            Self::Report => "report",
        }
    }
}

/// Whether a connection is established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Being established.
    Opening,
    /// Established.
    Open,
}

/// A connection to a backend server.
#[derive(Clone, Debug)]
pub struct Connection {
    /// The server that it leads to.
    pub server: id::Server,
    /// The workspace whose statements it carries.
    pub workspace: id::Workspace,
    /// Whether it is established.
    pub phase: Phase,
    /// The session that it is assigned to.
    pub session: Option<id::Session>,
    /// The command in flight, and when it was sent.
    pub in_flight: Option<(Step, Duration)>,
    /// Whether it has an open transaction.
    pub in_transaction: bool,
    /// When it was last opened, assigned or released.
    pub last_used: Duration,
    values: Values,
    prepared: IndexMap<Prepared, CompactString>,
    /// Whether a setup command may have taken effect although it failed.
    is_setup_unknown: bool,
}

impl Connection {
    /// A connection that is being established.
    #[must_use]
    pub fn new(server: id::Server, workspace: id::Workspace, now: Duration) -> Self {
        Self {
            server,
            workspace,
            phase: Phase::Opening,
            session: None,
            in_flight: None,
            in_transaction: false,
            last_used: now,
            values: Values::new(),
            prepared: IndexMap::new(),
            is_setup_unknown: false,
        }
    }

    /// Whether it can be assigned to a session now.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Open) && self.session.is_none() && self.in_flight.is_none()
    }

    /// Whether the session values can be set to `values` without a reset.
    #[must_use]
    pub fn is_compatible(&self, values: &Values) -> bool {
        self.values.keys().all(|name| values.contains_key(name))
    }

    /// Whether another statement may only be prepared after a reset.
    fn is_full(&self) -> bool {
        let bytes: usize = self.prepared.keys().map(|prepared| prepared.template.len()).sum();
        self.prepared.len() >= MAX_PREPARED || bytes >= MAX_PREPARED_BYTES
    }

    /// The next setup step before a statement of a session with `values` may run, or `None` when
    /// the connection is set up.
    #[must_use]
    pub fn next_setup_step(&self, values: &Values, prepared: Option<&Prepared>) -> Option<Step> {
        let is_missing = prepared.is_some_and(|prepared| !self.prepared.contains_key(prepared));
        if !self.in_transaction && (!self.is_compatible(values) || (is_missing && self.is_full())) {
            return Some(Step::Reset);
        }
        let differs = values.iter().find(|(name, value)| self.values.get(*name) != Some(*value));
        if let Some((name, value)) = differs {
            return Some(Step::Set(name.clone(), value.clone()));
        }
        prepared.filter(|_| is_missing).map(|prepared| Step::Prepare(prepared.clone()))
    }

    /// The name of a prepared statement on this connection.
    #[must_use]
    pub fn statement_name(&self, prepared: &Prepared) -> Option<&CompactString> {
        self.prepared.get(prepared)
    }

    /// The name for the next statement to be prepared.
    #[must_use]
    pub fn next_statement_name(&self) -> CompactString {
        format_compact!("g{}", self.prepared.len())
    }

    /// Whether other sessions may use it: the session values and prepared statements that its server
    /// holds are known.
    #[must_use]
    pub const fn is_reusable(&self) -> bool {
        !self.is_setup_unknown
    }

    /// Records that a step failed after its command ran, so that it may have taken effect. Whether a
    /// transaction was opened is known from the answer.
    pub const fn on_failed(&mut self, step: &Step) {
        self.is_setup_unknown |= matches!(step, Step::Reset | Step::Set(..) | Step::Prepare(_));
    }

    /// Records the effect of a step that succeeded.
    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Reset => {
                self.values.clear();
                self.prepared.clear();
            }
            Step::Set(name, value) => {
                self.values.insert(name, value);
            }
            Step::Prepare(prepared) => {
                let name = self.next_statement_name();
                self.prepared.insert(prepared, name);
            }
            Step::Begin | Step::Statement | Step::Rollback | Step::Report => {}
        }
    }
}
