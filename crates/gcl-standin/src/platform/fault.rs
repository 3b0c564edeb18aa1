//! Faults that the stand-in shows on demand, and the count of its calls.

use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// How the service fails while it is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It answers that it is unavailable, and cuts watches.
    Refuse,
    /// It never answers, and watches fall silent.
    Hang,
}

/// The faults in force; the default shows none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// The service is out.
    pub outage: Option<Outage>,
    /// Milliseconds that each answer takes longer.
    pub slow_ms: u64,
    /// How many of the next changes lose their answer after the effect.
    pub lose: u32,
    /// How many revisions reads lag.
    pub stale: u64,
    /// Most calls a second, zero for no limit.
    pub rate: u32,
}

/// Calls since the start, by path.
pub type Calls = BTreeMap<String, u64>;

/// Counts calls, and those of the current second.
#[derive(Clone, Debug)]
pub struct CallCounter {
    calls: Calls,
    second: Instant,
    within: u32,
}

impl Default for CallCounter {
    fn default() -> Self {
        Self { calls: Calls::new(), second: Instant::now(), within: 0 }
    }
}

impl CallCounter {
    /// Counts a call; tells whether it is within `rate` calls a second.
    pub fn count(&mut self, path: &str, rate: u32) -> bool {
        *self.calls.entry(path.to_owned()).or_default() += 1;
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            self.within = 0;
        }
        self.within += 1;
        rate == 0 || self.within <= rate
    }

    /// Calls since the start.
    #[must_use]
    pub const fn calls(&self) -> &Calls {
        &self.calls
    }
}
