//! The state of one server of a group: its term, role, log and data, guarded by one lock.
//!
//! `fence` and `follow` increase the term, which never decreases. Commits and replication check the
//! term under the same lock, so nothing of a lower term is accepted after a fence.

use super::{
    engine::{Description, Engine, Error, Result, Rows},
    journal::{Journal, Line},
    log::{Entry, Log, Span, Statement},
    sql::Text,
    value::Value,
};
use gcl_core::{
    id::{Position, Term},
    mark::Mark,
    server::{Report, Role},
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// SQLSTATE of a write that the server does not accept.
const READ_ONLY: &str = "25006";

/// Id of a session that may hold the write connection.
pub type Session = u64;

/// The primary that a server follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// Its term.
    pub term: Term,
    /// Its name.
    pub server: String,
    /// Its address.
    pub address: SocketAddr,
}

/// The result of an attempt to acquire the write connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquisition {
    /// The session holds the write connection.
    Granted,
    /// Another session holds it.
    Busy,
}

/// A server's state.
#[derive(Debug)]
pub struct Node {
    term: Term,
    role: Role,
    leader: Option<Leader>,
    log: Log,
    applied: Position,
    engine: Engine,
    writer: Option<Session>,
    written: Vec<Statement>,
    journal: Journal,
}

impl Node {
    /// Creates an empty replica at term zero that follows no primary.
    ///
    /// # Errors
    /// An error of `SQLite`.
    pub fn new() -> Result<Self> {
        Ok(Self {
            term: 0,
            role: Role::Replica,
            leader: None,
            log: Log::default(),
            applied: 0,
            engine: Engine::open()?,
            writer: None,
            written: Vec::new(),
            journal: Journal::default(),
        })
    }

    /// Restores a server from its journal, as a replica that continues to write the journal.
    ///
    /// # Errors
    /// An error of `SQLite`.
    pub fn restore(journal: Journal, lines: Vec<Line>) -> Result<Self> {
        let mut node = Self::new()?;
        for line in lines {
            match line {
                Line::Term(term) => node.term = term,
                Line::Follow(leader) => node.leader = Some(leader),
                Line::Entry(entry) => drop(node.log.accept(entry)),
                Line::Truncate(position) => node.log.truncate(position),
            }
        }
        while node.apply_next() {}
        node.journal = journal;
        Ok(node)
    }

    /// The server's status report.
    #[must_use]
    pub fn report(&self) -> Report {
        Report {
            term: self.term,
            role: self.role,
            received: self.log.last(),
            applied: self.applied(),
        }
    }

    /// The mark up to which reads see the data.
    #[must_use]
    pub fn applied(&self) -> Mark {
        self.log.mark(self.applied)
    }

    /// Its log.
    #[must_use]
    pub const fn log(&self) -> &Log {
        &self.log
    }

    /// The primary that it follows at its current term.
    #[must_use]
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref().filter(|leader| leader.term == self.term)
    }

    /// Increases the term. Returns false unless `term` is higher than the current one.
    pub fn fence(&mut self, term: Term) -> bool {
        let higher = term > self.term;
        if higher {
            self.enter_term(term);
        }
        higher
    }

    /// Makes the server primary at the term that it was fenced at.
    ///
    /// It appends an empty entry first, so that every mark reported by the primary has its own
    /// term.
    pub fn promote(&mut self, term: Term) -> bool {
        if term != self.term || term == 0 || self.leader().is_some() {
            return false;
        }
        if self.role == Role::Primary {
            return true;
        }
        while self.apply_next() {}
        self.role = Role::Primary;
        self.append(term, Vec::new());
        true
    }

    /// Makes the server follow a primary. Returns false if the term is lower, or if the server is
    /// primary at that term.
    pub fn follow(&mut self, leader: Leader) -> bool {
        let term = leader.term;
        if term < self.term || (term == self.term && self.role == Role::Primary) {
            return false;
        }
        if term > self.term {
            self.enter_term(term);
        }
        self.journal.write(&Line::Follow(leader.clone()));
        self.leader = Some(leader);
        true
    }

    /// Discards the state that a restart loses: an open transaction and the role of primary.
    pub fn restart(&mut self) {
        self.abort_writer();
        self.role = Role::Replica;
    }

    fn enter_term(&mut self, term: Term) {
        self.abort_writer();
        self.journal.write(&Line::Term(term));
        self.term = term;
        self.role = Role::Replica;
        self.leader = None;
    }

    fn abort_writer(&mut self) {
        self.engine.rollback();
        self.writer = None;
        self.written.clear();
    }

    /// Checks whether a session may write whose writes are restricted to the term `pin`.
    ///
    /// # Errors
    /// SQLSTATE 25006 if it may not.
    pub fn writable(&self, pin: Option<Term>) -> Result<()> {
        if self.role != Role::Primary {
            return Err(Error::new(READ_ONLY, "cannot write: this server is a replica"));
        }
        if pin.is_some_and(|pin| pin != self.term) {
            let message = format!("cannot write: this server is primary at term {}", self.term);
            return Err(Error::new(READ_ONLY, message));
        }
        Ok(())
    }

    /// Begins a transaction of a session on the write connection, if no other session holds it.
    ///
    /// # Errors
    /// SQLSTATE 25006, or an error of `SQLite`.
    pub fn begin(&mut self, session: Session, pin: Option<Term>) -> Result<Acquisition> {
        self.writable(pin)?;
        match self.writer {
            Some(writer) if writer == session => Ok(Acquisition::Granted),
            Some(_) => Ok(Acquisition::Busy),
            None => {
                self.engine.begin()?;
                self.writer = Some(session);
                Ok(Acquisition::Granted)
            }
        }
    }

    /// Whether a session holds the write connection.
    #[must_use]
    pub fn is_writer(&self, session: Session) -> bool {
        self.writer == Some(session)
    }

    /// Runs a statement of a session that holds the write connection.
    ///
    /// # Errors
    /// SQLSTATE 25006 if the session no longer holds it, or an error of `SQLite`.
    pub fn write(&mut self, session: Session, sql: &str, parameters: &[Value]) -> Result<Rows> {
        if !self.is_writer(session) {
            return Err(Error::new(READ_ONLY, "the transaction was ended by a change of term"));
        }
        let rows = self.engine.run(sql, parameters, true)?;
        self.written.push(Statement { sql: sql.to_owned(), parameters: parameters.to_vec() });
        Ok(rows)
    }

    /// Runs a read-only statement, which sees the session's own uncommitted writes.
    ///
    /// # Errors
    /// An error of `SQLite`.
    pub fn read(&self, session: Session, sql: &str, parameters: &[Value]) -> Result<Rows> {
        self.engine.run(sql, parameters, self.is_writer(session))
    }

    /// Whether a statement cannot change data.
    ///
    /// # Errors
    /// An error of `SQLite`.
    pub fn is_read(&self, sql: &str) -> Result<bool> {
        self.engine.is_read(sql)
    }

    /// Determines the parameters and columns of a statement.
    ///
    /// # Errors
    /// An error of `SQLite`.
    pub fn describe(&self, text: &Text, declared: &[u32]) -> Result<Description> {
        self.engine.describe(text, declared)
    }

    /// Commits the writes of a session.
    ///
    /// # Errors
    /// SQLSTATE 25006 if the term changed since the transaction began, or an error of `SQLite`.
    pub fn commit(&mut self, session: Session, pin: Option<Term>) -> Result<Mark> {
        if !self.is_writer(session) {
            return Err(Error::new(READ_ONLY, "the transaction was ended by a change of term"));
        }
        if let Err(error) = self.writable(pin) {
            self.abort_writer();
            return Err(error);
        }
        self.writer = None;
        let written = std::mem::take(&mut self.written);
        self.engine.commit(&written)?;
        Ok(self.append(self.term, written))
    }

    fn append(&mut self, term: Term, statements: Vec<Statement>) -> Mark {
        let mark = self.log.append(term, statements);
        self.applied = mark.position;
        self.journal_entry(mark.position);
        mark
    }

    /// Writes the entry at a position to the journal.
    fn journal_entry(&mut self, position: Position) {
        if let Some(entry) = self.log.get(position) {
            self.journal.write(&Line::Entry(entry.clone()));
        }
    }

    /// Rolls back the writes of a session, if it holds the write connection.
    pub fn rollback(&mut self, session: Session) {
        if self.is_writer(session) {
            self.abort_writer();
        }
    }

    /// Whether this server is primary at exactly `term`, so that replicas may pull from it.
    #[must_use]
    pub fn is_primary_at(&self, term: Term) -> bool {
        self.role == Role::Primary && self.term == term
    }

    /// Appends an entry of the primary followed at `term`. Returns false if the server no longer
    /// follows it or the entry is not the next one.
    pub fn accept(&mut self, term: Term, entry: Entry) -> bool {
        let position = entry.mark.position;
        let accepted = self.follows_at(term) && self.log.accept(entry);
        if accepted {
            self.journal_entry(position);
        }
        accepted
    }

    /// Whether the server follows a primary at exactly `term`.
    #[must_use]
    pub fn follows_at(&self, term: Term) -> bool {
        self.leader().is_some_and(|leader| leader.term == term)
    }

    /// Applies the next received entry. Returns false if there is none.
    pub fn apply_next(&mut self) -> bool {
        let Some(entry) = self.log.get(self.applied + 1) else {
            return false;
        };
        if let Err(error) = self.engine.apply(&entry.statements) {
            self.engine.rollback();
            tracing::error!(position = entry.mark.position, ?error, "cannot apply a log entry");
        }
        self.applied += 1;
        true
    }

    /// Applies the entries received up to a position.
    pub fn apply_to(&mut self, position: Position) {
        while self.applied < position && self.apply_next() {}
    }

    /// Truncates entries that are missing from the log of the primary followed at `term`, and
    /// rebuilds the data if some of them were applied.
    ///
    /// # Errors
    /// An error of `SQLite`.
    pub fn rewind(&mut self, term: Term, theirs: &[Span]) -> Result<()> {
        if !self.follows_at(term) {
            return Ok(());
        }
        let common = self.log.common(theirs);
        if common < self.log.last().position {
            self.journal.write(&Line::Truncate(common));
            self.log.truncate(common);
        }
        if self.applied > common {
            self.engine = Engine::open()?;
            self.applied = 0;
            while self.apply_next() {}
        }
        Ok(())
    }
}
