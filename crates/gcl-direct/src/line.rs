//! Lines of the log: one for each decision that touches a request or changes what the daemon
//! believes.
//!
//! A line names what happened, the request if there is one, and the inputs of the decision. The
//! shell adds time and daemon, and bounds the volume by [`Weight`].

use compact_str::{CompactString, format_compact};
use gcl_core::mark::Mark;
use std::{fmt::Display, time::Duration};

/// How long a line is kept when there are too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Weight {
    /// Part of a request that may still go well.
    Routine,
    /// Explains a failed request.
    Failure,
    /// A change of what the daemon believes.
    Belief,
}

/// A line of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// What happened.
    pub event: &'static str,
    /// How long it is kept.
    pub weight: Weight,
    /// Inputs and outcome, in order.
    pub fields: Vec<(&'static str, CompactString)>,
}

impl Line {
    /// A line about a request that may still go well.
    #[must_use]
    pub const fn routine(event: &'static str) -> Self {
        Self { event, weight: Weight::Routine, fields: Vec::new() }
    }

    /// A line that explains a failed request.
    #[must_use]
    pub const fn failure(event: &'static str) -> Self {
        Self { event, weight: Weight::Failure, fields: Vec::new() }
    }

    /// A line about a change of what the daemon believes.
    #[must_use]
    pub const fn belief(event: &'static str) -> Self {
        Self { event, weight: Weight::Belief, fields: Vec::new() }
    }

    /// Adds a field.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Display) -> Self {
        self.fields.push((name, format_compact!("{value}")));
        self
    }

    /// Adds a duration in milliseconds.
    #[must_use]
    pub fn millis(self, name: &'static str, value: Duration) -> Self {
        self.with(name, value.as_millis())
    }

    /// Adds a log position, if there is one.
    #[must_use]
    pub fn mark(self, name: &'static str, mark: Option<Mark>) -> Self {
        match mark {
            Some(mark) => self.with(name, format_compact!("{}.{}", mark.term, mark.position)),
            None => self,
        }
    }
}
