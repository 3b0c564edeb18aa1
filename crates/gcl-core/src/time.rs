//! Time as passed to the reducer: one reading of each clock with every event.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The daemon's clocks when an event arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Now {
    /// Monotonic time since the daemon started.
    pub mono: Duration,
    /// Wall-clock time since the Unix epoch.
    pub wall: Duration,
}

impl Now {
    /// The time `mono` after the start, with the wall clock set to the same value.
    #[must_use]
    pub const fn at(mono: Duration) -> Self {
        Self { mono, wall: mono }
    }

    /// Time elapsed since the monotonic time `then`, or zero if it is in the future.
    #[must_use]
    pub const fn since(&self, then: Duration) -> Duration {
        self.mono.saturating_sub(then)
    }
}
