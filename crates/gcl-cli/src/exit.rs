//! How the tool ends.

use std::{fmt, process::ExitCode};

/// Why the tool did not do what was asked.
#[derive(Clone, Debug)]
pub enum Failure {
    /// The daemon refused.
    Refused(String),
    /// Some objects were not changed; the report has been printed.
    Incomplete,
    /// The command line or a file is wrong.
    Usage(String),
    /// The daemon did not answer.
    Unreachable(String),
    /// Someone else changed an object; the report has been printed.
    Conflict,
    /// A change may or may not have been made; the report has been printed.
    Unknown,
    /// A revision is not in force everywhere; the report has been printed.
    Behind,
}

/// The outcome of a command.
pub type Result<T> = std::result::Result<T, Failure>;

impl Failure {
    /// The process's exit code.
    pub fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Refused(_) | Self::Incomplete | Self::Behind => 1,
            Self::Usage(_) => 2,
            Self::Unreachable(_) => 3,
            Self::Conflict => 4,
            Self::Unknown => 5,
        })
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Incomplete => f.write_str("not every object was changed"),
            Self::Refused(text) | Self::Usage(text) => f.write_str(text),
            Self::Unreachable(text) => write!(f, "the daemon did not answer: {text}"),
            Self::Conflict => f.write_str("an object was changed by someone else"),
            Self::Unknown => f.write_str("a change may or may not have been made; look again"),
            Self::Behind => f.write_str("the revision is not in force everywhere"),
        }
    }
}

impl std::error::Error for Failure {}
