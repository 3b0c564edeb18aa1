//! Structured log lines: one for each decision on a request and each change of the daemon's view of
//! the system.
//!
//! A line has the event, the request if there is one, and the inputs of the decision. The shell
//! adds time and daemon, and limits the volume by [`Priority`].

use compact_str::{CompactString, format_compact};
use gcl_core::mark::Mark;
use std::{fmt::Display, time::Duration};

/// Priority of a line when the volume is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// A step of a request that has not failed.
    Routine,
    /// Explains a failed request.
    Failure,
    /// A change of the daemon's view of the system.
    StateChange,
}

/// A log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// What happened.
    pub event: &'static str,
    /// Its priority.
    pub priority: Priority,
    /// Inputs and outcome of the decision, in order.
    pub fields: Vec<(&'static str, CompactString)>,
}

impl Line {
    /// A line about a step of a request that has not failed.
    #[must_use]
    pub const fn routine(event: &'static str) -> Self {
        Self { event, priority: Priority::Routine, fields: Vec::new() }
    }

    /// A line that explains a failed request.
    #[must_use]
    pub const fn failure(event: &'static str) -> Self {
        Self { event, priority: Priority::Failure, fields: Vec::new() }
    }

    /// A line about a change of the daemon's view of the system.
    #[must_use]
    pub const fn state_change(event: &'static str) -> Self {
        Self { event, priority: Priority::StateChange, fields: Vec::new() }
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

    /// Adds a log position as `term.position`, if there is one.
    #[must_use]
    pub fn mark(self, name: &'static str, mark: Option<Mark>) -> Self {
        match mark {
            Some(mark) => self.with(name, format_compact!("{}.{}", mark.term, mark.position)),
            None => self,
        }
    }
}
