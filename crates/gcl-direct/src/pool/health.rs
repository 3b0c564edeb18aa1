//! Connectivity to a server.

use std::time::Duration;

/// Recent successes and failures in reaching a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// When the current series of failures began, if the last exchange failed.
    pub failing_since: Option<Duration>,
    /// Failures in the current series.
    pub failures: u32,
    /// When an exchange last succeeded.
    pub last_success: Duration,
    /// Whether the last failure was a refused or closed connection rather than a time-out.
    pub refused: bool,
}
