//! Faults that the stand-in injects on request, and the counter of its calls.

use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// How the service fails during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It responds that it is unavailable, and closes watches.
    Refuse,
    /// It never responds, and watches send nothing.
    Hang,
}

/// The faults in force; none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// The kind of outage, if the service is unavailable.
    pub outage: Option<Outage>,
    /// Delay added to each response, in milliseconds.
    pub slow_ms: u64,
    /// How many of the next changes take effect but lose their response.
    pub lose: u32,
    /// How many revisions reads lag behind.
    pub stale: u64,
    /// Maximum calls per second; zero for no limit.
    pub rate: u32,
}

/// Number of calls since the start, by path.
pub type Calls = BTreeMap<String, u64>;

/// Counts all calls by path, and the calls of the current second for the rate limit.
#[derive(Clone, Debug)]
pub struct CallCounter {
    calls: Calls,
    second_start: Instant,
    in_second: u32,
}

impl Default for CallCounter {
    fn default() -> Self {
        Self { calls: Calls::new(), second_start: Instant::now(), in_second: 0 }
    }
}

impl CallCounter {
    /// Counts a call and returns whether it is within `rate` calls per second.
    pub fn count(&mut self, path: &str, rate: u32) -> bool {
        *self.calls.entry(path.to_owned()).or_default() += 1;
        if self.second_start.elapsed() >= Duration::from_secs(1) {
            self.second_start = Instant::now();
            self.in_second = 0;
        }
        self.in_second += 1;
        rate == 0 || self.in_second <= rate
    }

    /// Number of calls since the start, by path.
    #[must_use]
    pub const fn calls(&self) -> &Calls {
        &self.calls
    }
}
