//! What a statement does, judged by its text.
//!
//! The judgement may be wrong without harm: what is judged a read runs where it cannot write, and a
//! read-only violation sends it to the primary. What a shared connection cannot carry is refused.

mod classify;
mod command;
mod comment;
mod lexer;
mod pure;

pub use self::{
    classify::{Mix, Verdict, classify, judge},
    command::{Command, Value},
    comment::{assign, duration, leading},
};

use crate::id;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a statement does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// Only reads.
    Read,
    /// Reads, but calls functions that may write.
    Call,
    /// Writes, or may.
    Write,
    /// Opens a transaction.
    Begin {
        /// Whether the transaction promises not to write.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
}

/// What a request asks of the proxy, from its session and its leading comment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Options {
    /// Greatest age of the data that a read accepts.
    pub max_age: Option<Duration>,
    /// Whether the request may be sent again when its outcome is in doubt.
    pub repeatable: Option<bool>,
    /// The caller's id of a write.
    pub request: Option<id::Idempotency>,
    /// The route key.
    pub route: Option<CompactString>,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
}

impl Options {
    /// These options where they are given, otherwise those of `session`.
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
