//! Timers: parts subscribe by a key, and the key comes back as an event.
//!
//! Arming a key again moves it, so a part never holds more than one timer for one purpose.

use crate::id;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a timer is for; one timer lives for each key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Key {
    /// The daemon's regular work.
    Tick,
    /// A login must be complete.
    Login(id::Session),
    /// A session has been idle too long.
    Idle(id::Session),
    /// A request's deadline at its entry.
    Deadline(id::Request),
    /// A request's next try.
    Retry(id::Request),
    /// A queued request's deadline at the home of a server.
    Queue(id::Server),
    /// A transaction has been idle too long at its home.
    Transaction(id::Transaction),
    /// Regular questions to a database group.
    Group(id::Database),
    /// The end of a step in a failover.
    Failover(id::Database),
    /// Membership probes.
    Probe,
    /// Spread of the configuration.
    Config,
    /// Seats of the rate limits.
    Seat,
    /// The record's anchor.
    Anchor,
    /// An operator's request ends.
    Operation(id::Operation),
}

/// What the timer service is to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Fires `key` at the monotonic time `at`, replacing an earlier one.
    Arm {
        /// The key.
        key: Key,
        /// Monotonic time since the daemon started.
        at: Duration,
    },
    /// Forgets the key.
    Cancel(Key),
}
