//! The daemon's clocks.

use gcl_core::time::Now;
use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since the daemon's start, including time in suspension: leases and loans, whose expiry
/// other daemons wait for, also run out while a VM is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { origin: boot_time() }
    }

    /// The current time.
    pub fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Now { mono: boot_time().saturating_sub(self.origin), wall }
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}
