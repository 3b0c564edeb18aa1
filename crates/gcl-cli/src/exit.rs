//! Failures and exit codes of the tool.

use std::{fmt, process::ExitCode};

/// Why a command failed.
#[derive(Clone, Debug)]
pub enum Failure {
    /// The daemon refused the request, or a check of a record or trace failed.
    Refused(String),
    /// Some objects were not changed; the report has been printed.
    Incomplete,
    /// The command line or a file is invalid.
    Usage(String),
    /// The daemon could not be reached or gave no valid answer.
    Unreachable(String),
    /// An object was changed concurrently; the report has been printed.
    Conflict,
    /// The outcome of a change is unknown; its report, if any, has been printed.
    Unknown,
    /// A revision is not in force everywhere; the daemons concerned have been printed.
    NotInForce,
}

/// The outcome of a command.
pub type Result<T> = std::result::Result<T, Failure>;

impl Failure {
    /// The process's exit code.
    pub fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Refused(_) | Self::Incomplete | Self::NotInForce => 1,
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
            Self::Unknown => f.write_str("the outcome of a change is unknown; check its objects"),
            Self::NotInForce => f.write_str("the revision is not in force everywhere"),
        }
    }
}

impl std::error::Error for Failure {}
