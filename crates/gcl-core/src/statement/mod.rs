//! Classifies SQL statements by their text.
//!
//! A wrong classification does no harm: a statement classified as a read runs where it cannot
//! write, and a read-only violation sends it to the primary. Statements that depend on the state of
//! a dedicated connection are refused, because backend connections are shared.

mod classify;
mod command;
mod comment;
mod lexer;
mod pure;

pub use self::{
    classify::{Analysis, Combination, analyze, classify},
    command::{Command, Value},
    comment::{parse_comment, parse_duration, set_option},
};

use crate::id;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a statement does to data and transactions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// Only reads.
    Read,
    /// Reads, but calls functions that may write.
    Call,
    /// Writes or may write.
    Write,
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is declared `READ ONLY`.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
}

/// Options of the proxy for one request, from its session and its leading comment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Options {
    /// The maximum age of data that a read accepts.
    pub max_age: Option<Duration>,
    /// Whether the request may be sent again when its outcome is unknown.
    pub repeatable: Option<bool>,
    /// The idempotency key that the caller chose for a write.
    pub request: Option<id::Idempotency>,
    /// The route key.
    pub route: Option<CompactString>,
    /// The maximum time to wait for the response.
    pub timeout: Option<Duration>,
}

impl Options {
    /// These options, with those that are not set taken from `session`.
    #[must_use]
    pub fn or(self, session: &Self) -> Self {
        Self {
            max_age: self.max_age.or(session.max_age),
            repeatable: self.repeatable.or(session.repeatable),
            request: self.request.or(session.request),
            route: self.route.or_else(|| session.route.clone()),
            timeout: self.timeout.or(session.timeout),
        }
    }
}
