//! Time as the reducer sees it: two readings handed in with each event.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The clocks of the daemon when an event arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Now {
    /// Monotonic time since the daemon started.
    pub mono: Duration,
    /// Wall-clock time since the Unix epoch.
    pub wall: Duration,
}

impl Now {
    /// The time at `mono` after the start, with the wall clock running alike.
    #[must_use]
    pub const fn at(mono: Duration) -> Self {
        Self { mono, wall: mono }
    }

    /// Time passed since the monotonic instant `then`, zero if it lies ahead.
    #[must_use]
    pub const fn since(&self, then: Duration) -> Duration {
        self.mono.saturating_sub(then)
    }
}
