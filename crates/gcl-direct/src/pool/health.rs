//! Whether the way to a server works.

use std::time::Duration;

/// What this daemon knows of the way to a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Since when nothing has succeeded, if the last thing failed.
    pub failing: Option<Duration>,
    /// Failures since then.
    pub failures: u32,
    /// When something last succeeded.
    pub succeeded: Duration,
    /// Whether the server's host itself said so when something last failed.
    pub refused: bool,
}
